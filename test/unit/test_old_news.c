#include "suites.h"

#include <arpa/inet.h>
#include <string.h>

#include "nutmegpickd/catalog.h"
#include "platform/store.h"
#include "router/router.h"

#define LEAF "i-1"

/* Catalog with one leaf in service. */
struct fixture {
	struct virtual_clock time;
	struct host_directory directory;
	struct catalog catalog;
};

static void handle_free_endpoint(void *ctx, struct route_leaf *leaf)
{
}

/* Applies a change of the leaf's entry; state NULL removes it. */
static void change_leaf(struct fixture *f, const char *state)
{
	struct store_changes *c = store_changes_create();
	struct store_item item = {
		.key = (char *)PLATFORM_LEAF_PREFIX LEAF,
		.time.revision = f->catalog.mirror.now.revision + 1,
	};
	char *text = g_strdup_printf(
		"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\","
		"\"version\":\"v1\",\"slots\":4,\"state\":\"%s\","
		"\"warmup_left_ms\":0,\"sequence\":%d}",
		state ? state : "", (int)item.time.revision);

	if (state) {
		item.value = (guchar *)text;
		item.value_len = strlen(text);
	}
	store_changes_add(c, &item);
	c->from = f->catalog.mirror.now;
	c->to = item.time;
	CU_ASSERT_TRUE(catalog_apply(&f->catalog, c));
	store_changes_free(c);
	g_free(text);
}

static void setup(struct fixture *f)
{
	static const struct router_ops ops = {
		.free_endpoint = handle_free_endpoint,
	};
	struct router_options options = { .ops = &ops };

	memset(f, 0, sizeof(*f));
	f->time.now_us = 100 * US_PER_S;
	options.clock = clock_virtual(&f->time);
	router_create(&f->catalog.router, &options);
	host_directory_init(&f->directory, "host",
			    router_leaves(f->catalog.router));
	f->catalog.clock = clock_virtual(&f->time);
	f->catalog.directory = &f->directory;
	store_mirror_init(&f->catalog.mirror);
	change_leaf(f, "ready");
}

static void teardown(struct fixture *f)
{
	store_mirror_clear(&f->catalog.mirror);
	host_directory_clear(&f->directory);
	router_destroy(f->catalog.router);
}

static bool is_usable(struct fixture *f)
{
	const struct route_leaf *leaf = g_hash_table_lookup(
		router_leaves(f->catalog.router)->leaves, LEAF);

	return leaf && route_leaf_is_usable(leaf, f->time.now_us);
}

/*
 * Guards against calls to leaves that left while the feed of this host was cut
 * off: the news of it is seconds old when the next feed sends it. Without such
 * a loss a leaf is still called for a while if there is no other.
 */
static void test_after_lost_feed(void)
{
	static const char *const states[] = { "draining", NULL };

	for (size_t i = 0; i < G_N_ELEMENTS(states); i++) {
		/* Time from the loss of a feed to the news; -1 for no loss. */
		for (int64_t ms = -1; ms < 3000; ms = ms < 0 ? 0 : ms + 97) {
			struct fixture f;

			setup(&f);
			if (ms >= 0)
				f.catalog.feed_lost_at_us =
					f.time.now_us - ms * US_PER_MS;
			/* The store is back as well, as far as feeds tell. */
			f.catalog.store_back_at_us = f.catalog.feed_lost_at_us;
			change_leaf(&f, states[i]);
			CU_ASSERT_EQUAL(is_usable(&f), ms < 0 || ms >= 1000);
			f.time.now_us += 2400 * US_PER_MS;
			CU_ASSERT_FALSE(is_usable(&f));
			/* The leaf, or one with its id, may come back. */
			change_leaf(&f, "ready");
			CU_ASSERT_TRUE(is_usable(&f));
			teardown(&f);
		}
	}
}

CU_TestInfo old_news_tests[] = {
	{ "after a lost feed", test_after_lost_feed },
	CU_TEST_INFO_NULL,
};
