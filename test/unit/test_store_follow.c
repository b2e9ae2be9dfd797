#include "suites.h"

#include <string.h>

#include "common/errors.h"
#include "common/events.h"
#include "fake_store.h"
#include "store/follow.h"
#include "store/publish.h"

/** Follower of a fake store with a virtual clock. */
struct follow_test {
	struct fake_store fake;
	struct virtual_clock clock;
	struct follower *follower;
	int set_count;
	/** Name of the first domain of the last set. */
	char domain[32];
};

static void publish_domain(struct follow_test *t, const char *name)
{
	struct publish_result r;

	fake_publish(&t->fake, name, name, &r);
	CU_ASSERT_EQUAL(r.state, PUBLISH_ACCEPTED);
	publish_result_clear(&r);
}

static void handle_set(void *ctx, struct object_set *set)
{
	struct follow_test *t = ctx;

	t->set_count++;
	g_strlcpy(t->domain, set->domains[0].name, sizeof(t->domain));
	object_set_unref(set);
}

static void start_follower(struct follow_test *t)
{
	struct follower_options o = {
		.store = &t->fake.store,
		.clock = clock_virtual(&t->clock),
		.seed = 7,
		.handle_set = handle_set,
		.ctx = t,
	};

	memset(t, 0, sizeof(*t));
	event_set_level(EVENT_ERROR + 1);
	fake_store_init(&t->fake);
	t->follower = follower_create(&o);
}

static void stop_follower(struct follow_test *t)
{
	follower_destroy(t->follower);
	fake_store_clear(&t->fake);
	event_set_level(EVENT_INFO);
}

/* Advances the virtual clock and runs each step that is due. */
static void advance_clock(struct follow_test *t, int64_t us)
{
	int64_t end = t->clock.now_us + us;

	while (t->clock.now_us < end) {
		follower_step(t->follower);
		t->clock.now_us += MAX(follower_wait_us(t->follower), 1);
	}
	follower_step(t->follower);
}

static void check_version(struct follow_test *t, uint64_t version,
			  const char *domain)
{
	CU_ASSERT_EQUAL(follower_version(t->follower), version);
	CU_ASSERT_STRING_EQUAL(t->domain, domain);
}

/* Guards against missing a version at the start or from a watch. */
static void test_versions(void)
{
	struct follow_test t;

	start_follower(&t);
	advance_clock(&t, US_PER_S);
	check_version(&t, 0, "");
	publish_domain(&t, "one");
	advance_clock(&t, US_PER_S);
	check_version(&t, 1, "one");
	publish_domain(&t, "two");
	publish_domain(&t, "three");
	advance_clock(&t, US_PER_S);
	check_version(&t, 3, "three");
	fake_store_end_watch(&t.fake, -ERR_STORE_WATCH_END);
	publish_domain(&t, "four");
	advance_clock(&t, US_PER_S);
	check_version(&t, 4, "four");
	CU_ASSERT(t.fake.is_watched);
	stop_follower(&t);
}

/* Guards against an older version that replaces a newer one. */
static void test_lower_version(void)
{
	struct publish_record r;
	struct store_reply reply = { 0 };
	struct store_get get = { .key = PUBLISH_KEY_POINTER };
	struct follow_test t;

	start_follower(&t);
	publish_domain(&t, "one");
	CU_ASSERT_EQUAL(store_get_wait(&t.fake.store, &get, &reply), 0);
	publish_domain(&t, "two");
	advance_clock(&t, US_PER_S);
	check_version(&t, 2, "two");
	fake_store_put(&t.fake, PUBLISH_KEY_POINTER, reply.entries[0].value);
	advance_clock(&t, US_PER_S);
	fake_store_end_watch(&t.fake, -ERR_STORE_WATCH_END);
	advance_clock(&t, US_PER_S);
	check_version(&t, 2, "two");
	CU_ASSERT_EQUAL(publish_read_pointer(&t.fake.store, &r), 0);
	CU_ASSERT_EQUAL(r.version, 1);
	publish_record_clear(&r);
	store_reply_clear(&reply);
	stop_follower(&t);
}

/*
 * Guards against losing the set in an outage of the store, reading too often
 * during it, and not reading the set that is published after it.
 */
static void test_outage(void)
{
	struct follow_test t;
	int before;

	start_follower(&t);
	publish_domain(&t, "one");
	advance_clock(&t, US_PER_S);
	t.fake.is_down = true;
	fake_store_end_watch(&t.fake, -ERR_STORE_DOWN);
	before = t.fake.read_count;
	advance_clock(&t, 600 * US_PER_S);
	check_version(&t, 1, "one");
	/* Backoff delays are 1 s to 3 s after a few shorter ones. */
	CU_ASSERT(t.fake.read_count - before >= 200);
	CU_ASSERT(t.fake.read_count - before <= 610);
	t.fake.is_down = false;
	publish_domain(&t, "two");
	advance_clock(&t, 4 * US_PER_S);
	check_version(&t, 2, "two");
	CU_ASSERT_EQUAL(t.set_count, 2);
	stop_follower(&t);
}

/* Guards against a damaged record or set that replaces the last good set. */
static void test_damage(void)
{
	struct publish_record r;
	struct follow_test t;
	char *key;
	char *text;

	start_follower(&t);
	publish_domain(&t, "one");
	advance_clock(&t, US_PER_S);
	fake_store_put(&t.fake, PUBLISH_KEY_POINTER, "{\"version\":9}");
	advance_clock(&t, US_PER_S);
	check_version(&t, 1, "one");
	/* An invalid set whose part has the right hash. */
	key = g_compute_checksum_for_string(G_CHECKSUM_SHA256, "{}", 2);
	text = g_strdup_printf("{\"version\":2,\"publish_id\":\"2-x\","
			       "\"author\":\"x\",\"time_ms\":1,\"bytes\":2,"
			       "\"parts\":[\"%s\"]}",
			       key);
	fake_store_put(&t.fake, PUBLISH_KEY_POINTER, text);
	advance_clock(&t, 10 * US_PER_S);
	check_version(&t, 1, "one");
	g_free(text);
	text = g_strconcat(PUBLISH_KEY_PART, key, NULL);
	fake_store_put(&t.fake, text, "{} ");
	advance_clock(&t, 10 * US_PER_S);
	check_version(&t, 1, "one");
	fake_store_put(&t.fake, text, "{}");
	advance_clock(&t, 10 * US_PER_S);
	check_version(&t, 1, "one");
	publish_domain(&t, "two");
	CU_ASSERT_EQUAL(publish_read_pointer(&t.fake.store, &r), 0);
	CU_ASSERT_EQUAL(r.version, 3);
	advance_clock(&t, 4 * US_PER_S);
	check_version(&t, 3, "two");
	publish_record_clear(&r);
	g_free(text);
	g_free(key);
	stop_follower(&t);
}

CU_TestInfo store_follow_tests[] = {
	{ "versions", test_versions },
	{ "lower version", test_lower_version },
	{ "outage", test_outage },
	{ "damage", test_damage },
	CU_TEST_INFO_NULL,
};
