#include "suites.h"

#include <string.h>

#include "common/clock.h"
#include "router/directory.h"
#include "router/work_share.h"

#define CHOICES 400

struct fixture {
	struct leaf_set leaves;
	struct host_directory directory;
	GHashTable *local_leaves;
	GRand *random;
	int64_t now_us;
};

static void fixture_init(struct fixture *g, uint32_t hosts)
{
	static char *const regions[] = { "a=north", NULL };

	leaf_set_init(&g->leaves, "self", "a", regions);
	host_directory_init(&g->directory, "self", &g->leaves);
	g->local_leaves = g_hash_table_new(g_str_hash, g_str_equal);
	g->random = g_rand_new_with_seed(1);
	g->now_us = 100 * US_PER_S;
	for (uint32_t i = 0; i < hosts; i++) {
		struct host_record r = {
			.name = g_strdup_printf("h%u", i),
			.address = g_strdup_printf("10.0.0.%u:7000", i),
			.domain = g_strdup("a"),
			.capacity = i < 3 ? 500 : 120,
		};

		host_directory_put(&g->directory, &r);
	}
}

static void fixture_clear(struct fixture *g)
{
	host_directory_clear(&g->directory);
	leaf_set_clear(&g->leaves);
	g_hash_table_destroy(g->local_leaves);
	g_rand_free(g->random);
}

/* Returns how many different hosts are chosen to gather. */
static uint32_t count_gatherers(struct fixture *g)
{
	GHashTable *seen = g_hash_table_new(NULL, NULL);
	uint32_t count;
	bool is_gatherer;

	for (int i = 0; i < CHOICES; i++) {
		struct known_host *h = host_directory_choose_gatherer(
			&g->directory, g->local_leaves, g->random, g->now_us,
			&is_gatherer);

		if (h)
			g_hash_table_add(seen, h);
	}
	count = g_hash_table_size(seen);
	g_hash_table_destroy(seen);
	return count;
}

/*
 * Guards against more gathering hosts than the load needs: each would have less
 * data on the leaves, and the leaves would hold more connections.
 */
static void test_few_gatherers(void)
{
	struct fixture g;

	fixture_init(&g, 20);
	CU_ASSERT_EQUAL(count_gatherers(&g), 2);
	fixture_clear(&g);
	fixture_init(&g, 200);
	CU_ASSERT_EQUAL(count_gatherers(&g), 2);
	CU_ASSERT_EQUAL(host_directory_count_gatherers(&g.directory, g.now_us),
			2);
	fixture_clear(&g);
}

/* Guards against gathering hosts that stay busy while others are idle. */
static void test_spread(void)
{
	struct fixture g;
	uint32_t before;

	fixture_init(&g, 100);
	host_directory_note_busy(&g.directory, g.now_us);
	before = count_gatherers(&g);
	CU_ASSERT_TRUE(before > 2);
	for (int i = 0; i < 20; i++)
		host_directory_note_busy(&g.directory, g.now_us);
	CU_ASSERT_TRUE(count_gatherers(&g) > 80);
	/* Without load the number of gathering hosts decays. */
	g.now_us += 60 * US_PER_S;
	CU_ASSERT_EQUAL(count_gatherers(&g), 2);
	fixture_clear(&g);
}

/* Guards against a busy host that accepts work, and against flapping. */
static void test_work_share(void)
{
	struct work_share w = { 0 };
	int64_t now = US_PER_S;

	for (int i = 0; i < 100; i++) {
		work_share_note(&w, now, now + 2 * US_PER_MS);
		now += 10 * US_PER_MS;
	}
	CU_ASSERT_FALSE(work_share_is_high(&w));
	for (int i = 0; i < 100; i++) {
		work_share_note(&w, now, now + 8 * US_PER_MS);
		now += 10 * US_PER_MS;
	}
	CU_ASSERT_TRUE(work_share_is_high(&w));
	for (int i = 0; i < 100; i++) {
		work_share_note(&w, now, now + 5 * US_PER_MS);
		now += 10 * US_PER_MS;
	}
	CU_ASSERT_TRUE(work_share_is_high(&w));
	for (int i = 0; i < 100; i++) {
		work_share_note(&w, now, now + 1 * US_PER_MS);
		now += 10 * US_PER_MS;
	}
	CU_ASSERT_FALSE(work_share_is_high(&w));
}

/*
 * Guards against requests that are sent to a host that stops, and against a
 * change of the hosts that own rates when it does.
 */
static void test_stopping(void)
{
	struct host_record r = {
		.name = g_strdup("h0"),
		.address = g_strdup("10.0.0.0:7000"),
		.domain = g_strdup("a"),
		.capacity = 500,
		.is_stopping = true,
	};
	struct fixture g;
	uint64_t generation;

	fixture_init(&g, 40);
	generation = g.directory.generation;
	host_directory_put(&g.directory, &r);
	CU_ASSERT_EQUAL(g.directory.generation, generation);
	for (int i = 0; i < CHOICES; i++) {
		bool is_gatherer;
		struct known_host *h = host_directory_choose_gatherer(
			&g.directory, g.local_leaves, g.random, g.now_us,
			&is_gatherer);

		CU_ASSERT(!h || strcmp(h->record.name, "h0") != 0);
	}
	fixture_clear(&g);
}

CU_TestInfo directory_tests[] = {
	{ "few gatherers", test_few_gatherers },
	{ "spread", test_spread },
	{ "stopping", test_stopping },
	{ "work share", test_work_share },
	CU_TEST_INFO_NULL,
};
