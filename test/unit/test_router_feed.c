#include "suites.h"

#include <string.h>

#include "router/feed.h"

/* Time of a store that does not state its era. */
#define AT(n) ((struct store_time){ .revision = (n) })

/** Feed of one host; the messages that it sends are recorded. */
struct fake_feed {
	struct virtual_clock time;
	struct leaf_set leaves;
	struct host_directory directory;
	struct store_mirror mirror;
	struct feed *feed;
	char subscribed[32];
	uint32_t subscribe_count;
	uint32_t unsubscribe_count;
	uint32_t changes_sent;
	/** Items of the first piece of changes that was sent. */
	uint32_t first_items;
	/** Heartbeats that allow the receiver to follow this host. */
	uint32_t heartbeats_sent;
	/** Receiver of the last heartbeat. */
	char heartbeat_receiver[32];
	bool is_watching;
	enum feed_watch watch;
	/** Calls of note_feed_lost(). */
	uint32_t feed_lost_count;
	/** Calls of note_store_back(). */
	uint32_t store_back_count;
};

static void handle_subscribe(void *ctx, const char *address,
			     struct store_time time)
{
	struct fake_feed *f = ctx;

	g_strlcpy(f->subscribed, address, sizeof(f->subscribed));
	f->subscribe_count++;
}

static void handle_unsubscribe(void *ctx, const char *address)
{
	struct fake_feed *f = ctx;

	f->unsubscribe_count++;
}

static void handle_send_changes(void *ctx, const char *address,
				const struct store_changes *c)
{
	struct fake_feed *f = ctx;

	if (!f->changes_sent++)
		f->first_items = c->items->len;
}

static void handle_send_heartbeat(void *ctx, const char *address,
				  struct store_time time, bool is_store_up)
{
	struct fake_feed *f = ctx;

	f->heartbeats_sent += is_store_up;
	g_strlcpy(f->heartbeat_receiver, address,
		  sizeof(f->heartbeat_receiver));
}

static void handle_set_watch(void *ctx, enum feed_watch watch)
{
	struct fake_feed *f = ctx;

	f->watch = watch;
	f->is_watching = watch == FEED_WATCH_ON;
}

static void handle_store_back(void *ctx)
{
	struct fake_feed *f = ctx;

	f->store_back_count++;
}

static void handle_feed_lost(void *ctx)
{
	struct fake_feed *f = ctx;

	f->feed_lost_count++;
}

static bool is_restriction(const char *key)
{
	return g_str_has_prefix(key, "no/");
}

static const struct feed_ops ops = {
	.subscribe = handle_subscribe,
	.unsubscribe = handle_unsubscribe,
	.send_changes = handle_send_changes,
	.send_feed_heartbeat = handle_send_heartbeat,
	.set_watch = handle_set_watch,
	.note_store_back = handle_store_back,
	.note_feed_lost = handle_feed_lost,
};

static void add_host(struct fake_feed *f, const char *name, const char *domain,
		     uint32_t capacity)
{
	struct host_record r = { .name = g_strdup(name),
				 .address = g_strdup(name),
				 .domain = g_strdup(domain),
				 .capacity = capacity };

	host_directory_put(&f->directory, &r);
}

/* Adds hosts by rank: feed, standby, others; "far" is in another region. */
static struct fake_feed *create_feed(const char *self)
{
	static const char *const regions[] = { "a=here", "b=there", NULL };
	struct fake_feed *f = g_new0(struct fake_feed, 1);
	struct feed_options options = {
		.clock = clock_virtual(&f->time),
		.directory = &f->directory,
		.mirror = &f->mirror,
		.is_restriction = is_restriction,
		.ops = &ops,
		.ctx = f,
	};

	f->time.now_us = US_PER_S;
	leaf_set_init(&f->leaves, self, "a", (char **)regions);
	host_directory_init(&f->directory, self, &f->leaves);
	store_mirror_init(&f->mirror);
	f->mirror.now.revision = 10;
	feed_create(&f->feed, &options);
	add_host(f, "feed", "a", 500);
	add_host(f, "standby", "a", 400);
	add_host(f, "weak-1", "a", 120);
	add_host(f, "weak-2", "a", 120);
	add_host(f, "far", "b", 500);
	return f;
}

static void destroy_feed(struct fake_feed *f)
{
	feed_destroy(f->feed);
	store_mirror_clear(&f->mirror);
	host_directory_clear(&f->directory);
	leaf_set_clear(&f->leaves);
	g_free(f);
}

static void advance_feed(struct fake_feed *f, int64_t us)
{
	for (int64_t i = 0; i < us; i += 50 * US_PER_MS) {
		f->time.now_us += 50 * US_PER_MS;
		feed_advance(f->feed);
	}
}

/* Guards against hosts that watch the store though they follow a feed. */
static void test_follow(void)
{
	static const char *const followers[] = { "standby", "weak-1",
						 "weak-2" };
	struct fake_feed *feed = create_feed("feed");

	for (size_t i = 0; i < G_N_ELEMENTS(followers); i++) {
		struct fake_feed *f = create_feed(followers[i]);

		feed_advance(f->feed);
		CU_ASSERT_EQUAL(f->subscribe_count, 1);
		CU_ASSERT_STRING_EQUAL(f->subscribed, "feed");
		/* The feed has some time to reply before the host watches. */
		CU_ASSERT_FALSE(f->is_watching);
		advance_feed(f, US_PER_S);
		CU_ASSERT_TRUE(f->is_watching);
		feed_handle_heartbeat(f->feed, "feed", AT(10), true);
		CU_ASSERT_FALSE(f->is_watching);
		destroy_feed(f);
	}
	feed_advance(feed->feed);
	CU_ASSERT_EQUAL(feed->subscribe_count, 0);
	CU_ASSERT_TRUE(feed->is_watching);
	destroy_feed(feed);
}

/*
 * Guards against a host that keeps following a feed that is silent or has lost
 * the store.
 */
static void test_feed_lost(void)
{
	struct fake_feed *f = create_feed("weak-1");

	feed_advance(f->feed);
	feed_handle_heartbeat(f->feed, "feed", AT(10), true);
	advance_feed(f, 2 * US_PER_S);
	CU_ASSERT_TRUE(f->is_watching);
	CU_ASSERT_STRING_EQUAL(f->subscribed, "standby");
	/* Changes that come next may be old. */
	CU_ASSERT_EQUAL(f->feed_lost_count, 1);
	feed_handle_heartbeat(f->feed, "standby", AT(10), true);
	CU_ASSERT_FALSE(f->is_watching);
	feed_handle_heartbeat(f->feed, "standby", AT(10), false);
	CU_ASSERT_TRUE(f->is_watching);
	CU_ASSERT_EQUAL(f->feed_lost_count, 2);
	destroy_feed(f);
}

/*
 * Guards against 195 hosts that all call a failing store because their feed has
 * lost it (4,583 calls in case trouble-3 of the score scenario litaleit-large),
 * and against hosts that follow the feed again too late once the store is back.
 */
static void test_store_lost(void)
{
	struct fake_feed *f = create_feed("tail");

	for (int i = 0; i < 10; i++) {
		char name[16];

		g_snprintf(name, sizeof(name), "mid-%d", i);
		add_host(f, name, "a", 200);
	}
	add_host(f, "tail", "a", 100);
	advance_feed(f, US_PER_S);
	feed_handle_heartbeat(f->feed, "feed", AT(10), true);
	CU_ASSERT_EQUAL(f->watch, FEED_WATCH_OFF);
	feed_handle_heartbeat(f->feed, "feed", AT(10), false);
	CU_ASSERT_EQUAL(f->watch, FEED_WATCH_RARELY);
	/* A host that has lost the store is not suspect: it can gather. */
	CU_ASSERT_EQUAL(
		host_directory_find(&f->directory, "feed")->suspect_until_us,
		0);
	/* The other candidates have lost the store too. */
	for (int i = 0; i < 20; i++) {
		advance_feed(f, 250 * US_PER_MS);
		feed_handle_heartbeat(f->feed, f->subscribed, AT(10), false);
	}
	CU_ASSERT_EQUAL(f->watch, FEED_WATCH_RARELY);
	CU_ASSERT_EQUAL(f->unsubscribe_count, 0);
	CU_ASSERT_EQUAL(f->store_back_count, 0);
	feed_handle_heartbeat(f->feed, "feed", AT(11), true);
	CU_ASSERT_EQUAL(f->watch, FEED_WATCH_OFF);
	CU_ASSERT_EQUAL(f->store_back_count, 1);
	destroy_feed(f);
}

/* Guards against followers of a host that does not watch the store. */
static void test_idle_candidate(void)
{
	struct fake_feed *f = create_feed("weak-1");

	feed_handle_subscribe(f->feed, "weak-2", AT(10));
	CU_ASSERT_EQUAL(f->heartbeats_sent, 0);
	feed_advance(f->feed);
	feed_handle_heartbeat(f->feed, "feed", AT(10), true);
	feed_handle_heartbeat(f->feed, "feed", AT(10), false);
	advance_feed(f, US_PER_S);
	CU_ASSERT_EQUAL(f->watch, FEED_WATCH_ON);
	f->heartbeats_sent = 0;
	feed_handle_subscribe(f->feed, "weak-2", AT(10));
	CU_ASSERT_EQUAL(f->heartbeats_sent, 1);
	destroy_feed(f);
}

/*
 * Guards against a standby that does not watch yet when the other hosts try to
 * follow it after the feed was lost: each of them would watch the store.
 */
static void test_standby(void)
{
	struct fake_feed *f = create_feed("standby");
	struct fake_feed *weak = create_feed("weak-1");

	feed_advance(f->feed);
	feed_advance(weak->feed);
	feed_handle_heartbeat(f->feed, "feed", AT(10), true);
	feed_handle_heartbeat(weak->feed, "feed", AT(10), true);
	advance_feed(f, 1450 * US_PER_MS);
	advance_feed(weak, 1450 * US_PER_MS);
	CU_ASSERT_TRUE(f->is_watching);
	CU_ASSERT_FALSE(weak->is_watching);
	feed_handle_subscribe(f->feed, "weak-1", AT(10));
	CU_ASSERT_EQUAL(f->heartbeats_sent, 1);
	/* The feed is back: the standby follows it again. */
	advance_feed(f, 5 * US_PER_S);
	CU_ASSERT_EQUAL(f->subscribe_count, 2);
	feed_handle_heartbeat(f->feed, "feed", AT(10), true);
	CU_ASSERT_FALSE(f->is_watching);
	destroy_feed(f);
	destroy_feed(weak);
}

/*
 * Guards against a follower that never gets a change: a feed that had received
 * it from another host did not send it, and only its heartbeats have the newer
 * revision.
 */
static void test_heartbeat_ahead(void)
{
	struct fake_feed *f = create_feed("weak-1");

	feed_advance(f->feed);
	feed_handle_heartbeat(f->feed, "feed", AT(10), true);
	CU_ASSERT_EQUAL(f->subscribe_count, 1);
	feed_handle_heartbeat(f->feed, "feed", AT(11), true);
	CU_ASSERT_EQUAL(f->subscribe_count, 2);
	destroy_feed(f);
}

/*
 * Guards against a feed that gets a change seconds late: the store accepts its
 * watch and never answers it (case fresh-e068 of the score scenario
 * litaleit-grown).
 */
static void test_silent_watch(void)
{
	struct fake_feed *f = create_feed("feed");

	feed_advance(f->feed);
	feed_handle_heartbeat(f->feed, "far", AT(10), true);
	advance_feed(f, US_PER_S);
	CU_ASSERT_EQUAL(f->subscribe_count, 0);
	feed_handle_heartbeat(f->feed, "far", AT(11), true);
	CU_ASSERT_EQUAL(f->subscribe_count, 0);
	advance_feed(f, US_PER_S);
	CU_ASSERT_STRING_EQUAL(f->subscribed, "far");
	CU_ASSERT_EQUAL(f->subscribe_count, f->unsubscribe_count);
	CU_ASSERT_TRUE(f->is_watching);
	f->mirror.now.revision = 11;
	f->subscribe_count = 0;
	advance_feed(f, 2 * US_PER_S);
	CU_ASSERT_EQUAL(f->subscribe_count, 0);
	destroy_feed(f);
}

/* Guards against feeds that get no heartbeats from feeds of other regions. */
static void test_feed_heartbeats(void)
{
	struct fake_feed *f = create_feed("feed");
	struct fake_feed *weak = create_feed("weak-1");

	advance_feed(f, US_PER_S);
	CU_ASSERT_STRING_EQUAL(f->heartbeat_receiver, "far");
	advance_feed(weak, US_PER_S);
	CU_ASSERT_STRING_EQUAL(weak->heartbeat_receiver, "");
	destroy_feed(f);
	destroy_feed(weak);
}

/* Guards against two hosts that follow each other. */
static void test_no_chain(void)
{
	struct fake_feed *f = create_feed("weak-1");

	feed_advance(f->feed);
	feed_handle_heartbeat(f->feed, "feed", AT(10), true);
	feed_handle_subscribe(f->feed, "weak-2", AT(10));
	CU_ASSERT_EQUAL(f->heartbeats_sent, 0);
	destroy_feed(f);
}

static struct store_changes *create_changes(uint64_t from, uint64_t to,
					    const char *key, uint64_t revision,
					    bool is_deleted)
{
	struct store_changes *c = store_changes_create();
	struct store_item i = { .key = (char *)key,
				.value = is_deleted ? NULL : (guchar *)"v",
				.value_len = 1,
				.time.revision = revision };

	c->from.revision = from;
	c->to.revision = to;
	store_changes_add(c, &i);
	return c;
}

/* Guards against changes that are lost or applied twice or out of order. */
static void test_mirror(void)
{
	struct store_mirror m;
	struct store_changes *c;

	store_mirror_init(&m);
	c = create_changes(0, 5, "a", 4, false);
	CU_ASSERT_TRUE(store_mirror_apply(&m, c));
	store_changes_free(c);
	c = create_changes(5, 8, "a", 7, true);
	CU_ASSERT_TRUE(store_mirror_apply(&m, c));
	CU_ASSERT_EQUAL(c->items->len, 1);
	CU_ASSERT_TRUE(store_mirror_apply(&m, c));
	CU_ASSERT_EQUAL(c->items->len, 0);
	store_changes_free(c);
	c = create_changes(9, 10, "b", 10, false);
	CU_ASSERT_FALSE(store_mirror_apply(&m, c));
	store_changes_free(c);
	c = store_mirror_since(&m, AT(5));
	CU_ASSERT_EQUAL(c->items->len, 1);
	CU_ASSERT_EQUAL(c->to.revision, 8);
	store_changes_free(c);
	c = create_changes(0, 12, "b", 11, false);
	c->is_complete = true;
	CU_ASSERT_TRUE(store_mirror_apply(&m, c));
	CU_ASSERT_EQUAL(m.now.revision, 12);
	store_changes_free(c);
	store_mirror_clear(&m);
}

static void add_value(struct store_changes *c, const char *key, gsize len,
		      uint64_t revision)
{
	struct store_item i = {
		.key = (char *)key,
		.value = g_malloc0(len),
		.value_len = len,
		.time.revision = revision,
	};

	store_changes_add(c, &i);
	g_free(i.value);
}

/*
 * Guards against a host that starts, knows leaves from the first piece of the
 * changes and calls one that a restriction of a later piece excludes.
 */
static void test_restrictions_first(void)
{
	struct fake_feed *f = create_feed("feed");
	struct store_changes *c = store_changes_create();

	c->from.revision = 10;
	c->to.revision = 14;
	add_value(c, "leaf", 700 * 1024, 11);
	add_value(c, "other", 700 * 1024, 12);
	add_value(c, "no/domain", 2, 13);
	add_value(c, "no/large", 1024 * 1024, 14);
	feed_handle_subscribe(f->feed, "weak-1", AT(10));
	feed_publish(f->feed, c);
	CU_ASSERT_EQUAL(f->changes_sent, 3);
	CU_ASSERT_EQUAL(f->first_items, 2);
	store_changes_free(c);
	destroy_feed(f);
}

/*
 * Guards against a follower that stays behind its feed, and asks with each
 * heartbeat, after changes of which this host uses none.
 */
static void test_no_items(void)
{
	struct fake_feed *f = create_feed("feed");

	feed_handle_subscribe(f->feed, "weak-1", AT(10));
	CU_ASSERT_EQUAL(f->changes_sent, 0);
	feed_handle_subscribe(f->feed, "weak-1", AT(9));
	CU_ASSERT_EQUAL(f->changes_sent, 1);
	destroy_feed(f);
}

CU_TestInfo router_feed_tests[] = {
	{ "no items", test_no_items },
	{ "restrictions first", test_restrictions_first },
	{ "follow", test_follow },
	{ "feed lost", test_feed_lost },
	{ "store lost", test_store_lost },
	{ "idle candidate", test_idle_candidate },
	{ "standby", test_standby },
	{ "pulse ahead", test_heartbeat_ahead },
	{ "no chain", test_no_chain },
	{ "mute watch", test_silent_watch },
	{ "feed pulses", test_feed_heartbeats },
	{ "mirror", test_mirror },
	CU_TEST_INFO_NULL,
};
