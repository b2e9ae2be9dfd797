#include "suites.h"

#include "common/errors.h"
#include "fake_store.h"
#include "store/publish.h"

static void check_in_force(struct fake_store *f, uint64_t version,
			   const char *domain)
{
	struct fault_list faults = { 0 };
	struct publish_record record;
	struct object_set *set = NULL;

	CU_ASSERT_EQUAL_FATAL(publish_read_pointer(&f->store, &record), 0);
	CU_ASSERT_EQUAL(record.version, version);
	CU_ASSERT_EQUAL_FATAL(
		publish_read_set(&f->store, &record, &set, &faults), 0);
	CU_ASSERT_EQUAL(set->version, version);
	CU_ASSERT_STRING_EQUAL(set->domains[0].name, domain);
	object_set_unref(set);
	publish_record_clear(&record);
}

/* Guards against a large set that is split or reassembled wrongly. */
static void test_parts(void)
{
	struct object_set *set = fake_set_create("big", 4000);
	struct publish_options options = { .token = "a",
					   .author = "ann",
					   .base_version = -1 };
	struct publish_result r;
	struct fake_store f;

	fake_store_init(&f);
	publish_set(&f.store, set, &options, &r);
	CU_ASSERT_EQUAL(r.state, PUBLISH_ACCEPTED);
	CU_ASSERT(g_strv_length(r.record.parts) > 1);
	publish_result_clear(&r);
	check_in_force(&f, 1, "big");
	publish_set(&f.store, set, &options, &r);
	CU_ASSERT_EQUAL(r.state, PUBLISH_ACCEPTED);
	CU_ASSERT(r.is_unchanged);
	CU_ASSERT_EQUAL(r.record.version, 1);
	publish_result_clear(&r);
	object_set_unref(set);
	fake_store_clear(&f);
}

/*
 * Guards against reporting a publish as refused, or publishing it twice, when
 * replies of the store are lost: tries every pattern of lost writes and lost
 * replies among the first 5 writes.
 */
static void test_lost_replies(void)
{
	for (uint64_t pattern = 0; pattern < 243; pattern++) {
		struct publish_result r;
		struct fake_store f;
		uint64_t rest = pattern;

		fake_store_init(&f);
		for (int i = 0; i < 5; i++, rest /= 3) {
			f.lost_replies |= (uint64_t)(rest % 3 == 1) << i;
			f.lost_writes |= (uint64_t)(rest % 3 == 2) << i;
		}
		fake_publish(&f, "one", "ann", &r);
		if (r.state == PUBLISH_UNKNOWN) {
			char *id = g_strdup(r.publish_id);

			publish_result_clear(&r);
			f.lost_replies = 0;
			f.lost_writes = 0;
			publish_settle(&f.store, id, &r);
			g_free(id);
		}
		if (r.state == PUBLISH_ACCEPTED)
			check_in_force(&f, 1, "one");
		else
			CU_ASSERT(publish_read_pointer(&f.store, &r.record) ==
				  -ERR_PUBLISH_NONE);
		CU_ASSERT_NOT_EQUAL(r.state, PUBLISH_UNKNOWN);
		publish_result_clear(&r);
		fake_store_clear(&f);
	}
}

/* Guards against a wrong outcome when the store goes down at any step. */
static void test_outages(void)
{
	for (int step = 0; step < 3; step++) {
		for (int lost = 0; lost < 2; lost++) {
			struct publish_result r;
			struct fake_store f;
			char *id;

			fake_store_init(&f);
			f.lost_replies = lost ? 1 << 1 : 0;
			f.down_after_writes = step;
			fake_publish(&f, "one", "ann", &r);
			f.is_down = false;
			f.down_after_writes = -1;
			/* Write 0 is the part, write 1 is the pointer. */
			if (step < 2) {
				CU_ASSERT_EQUAL(r.state, PUBLISH_REFUSED);
				CU_ASSERT_EQUAL(r.code, -ERR_STORE_DOWN);
			} else {
				CU_ASSERT_EQUAL(r.state, PUBLISH_ACCEPTED);
			}
			id = g_strdup(r.publish_id);
			publish_result_clear(&r);
			publish_settle(&f.store, id, &r);
			CU_ASSERT_EQUAL(r.state, step < 2 ? PUBLISH_REFUSED
							  : PUBLISH_ACCEPTED);
			publish_result_clear(&r);
			fake_publish(&f, "one", "ann2", &r);
			CU_ASSERT_EQUAL(r.state, PUBLISH_ACCEPTED);
			CU_ASSERT_EQUAL(r.record.version, 1);
			publish_result_clear(&r);
			g_free(id);
			fake_store_clear(&f);
		}
	}
}

/* Guards against a delayed write that takes effect after publish_settle(). */
static void test_fence(void)
{
	struct publish_result r;
	struct fake_store f;

	fake_store_init(&f);
	publish_settle(&f.store, "1-ann", &r);
	CU_ASSERT_EQUAL(r.state, PUBLISH_REFUSED);
	publish_result_clear(&r);
	fake_publish(&f, "one", "ann", &r);
	CU_ASSERT_EQUAL(r.state, PUBLISH_REFUSED);
	CU_ASSERT_EQUAL(r.code, -ERR_PUBLISH_FENCED);
	publish_result_clear(&r);
	fake_publish(&f, "one", "bob", &r);
	CU_ASSERT_EQUAL(r.state, PUBLISH_ACCEPTED);
	publish_result_clear(&r);
	f.is_down = true;
	publish_settle(&f.store, "1-ann", &r);
	CU_ASSERT_EQUAL(r.state, PUBLISH_UNKNOWN);
	publish_result_clear(&r);
	publish_settle(&f.store, "one", &r);
	CU_ASSERT_EQUAL(r.code, -ERR_PUBLISH_ID);
	publish_result_clear(&r);
	fake_store_clear(&f);
}

static void publish_rival(void *ctx)
{
	struct fake_store *f = ctx;
	struct publish_result r;

	f->before_write = NULL;
	fake_publish(f, "rival", "bob", &r);
	CU_ASSERT_EQUAL(r.state, PUBLISH_ACCEPTED);
	publish_result_clear(&r);
}

/*
 * Guards against overwriting a set that another client published meanwhile, and
 * against a refusal without the author of that set.
 */
static void test_race(void)
{
	for (int lost = 0; lost < 2; lost++) {
		for (int step = 0; step < 2; step++) {
			struct publish_result r;
			struct fake_store f;

			fake_store_init(&f);
			f.before_write = publish_rival;
			f.before_write_ctx = &f;
			f.before_write_number = step;
			/* Write 3 is ann's pointer, or bob's in step 1. */
			f.lost_replies = lost ? 1 << 3 : 0;
			fake_publish(&f, "one", "ann", &r);
			CU_ASSERT_EQUAL(r.state, PUBLISH_REFUSED);
			CU_ASSERT_EQUAL(r.code, -ERR_STORE_CONFLICT);
			CU_ASSERT_EQUAL(r.record.version, 1);
			CU_ASSERT_STRING_EQUAL(r.record.author, "bob");
			check_in_force(&f, 1, "rival");
			publish_result_clear(&r);
			fake_store_clear(&f);
		}
	}
}

/* Guards against a stale read taken for the version in force. */
static void test_stale_reads(void)
{
	struct publish_result r;
	struct fake_store f;
	int64_t old;

	fake_store_init(&f);
	fake_publish(&f, "one", "ann", &r);
	old = f.revision;
	publish_result_clear(&r);
	fake_publish(&f, "two", "bob", &r);
	publish_result_clear(&r);
	f.stale_revision = old;
	/* A stale read shows the first set as in force already. */
	fake_publish(&f, "one", "eve", &r);
	CU_ASSERT_EQUAL(r.state, PUBLISH_ACCEPTED);
	CU_ASSERT(!r.is_unchanged);
	CU_ASSERT_EQUAL(r.record.version, 3);
	publish_result_clear(&r);
	publish_settle(&f.store, "3-eve", &r);
	CU_ASSERT_EQUAL(r.state, PUBLISH_ACCEPTED);
	publish_result_clear(&r);
	fake_store_clear(&f);
}

/* Guards against using a damaged or incomplete set, or not repairing it. */
static void test_damage(void)
{
	static const char *const pointers[] = {
		"",
		"{}",
		"{\"version\":1}",
		"{\"version\":0,\"publish_id\":\"1-a\",\"author\":\"a\","
		"\"time_ms\":1,\"bytes\":1,\"parts\":[]}",
		"{\"version\":1,\"publish_id\":\"1-a\",\"author\":\"a\","
		"\"time_ms\":1,\"bytes\":1,\"parts\":[\"../x\"]}",
	};
	struct fault_list faults = { 0 };
	struct publish_record record;
	struct publish_result r;
	struct object_set *set;
	struct fake_store f;
	char *key;

	fake_store_init(&f);
	fake_publish(&f, "one", "ann", &r);
	key = g_strconcat(PUBLISH_KEY_PART, r.record.parts[0], NULL);
	fake_store_put(&f, key, "{}");
	CU_ASSERT_EQUAL(publish_read_set(&f.store, &r.record, &set, &faults),
			-ERR_PUBLISH_HASH);
	fake_store_put(&f, key, NULL);
	CU_ASSERT_EQUAL(publish_read_set(&f.store, &r.record, &set, &faults),
			-ERR_PUBLISH_PART);
	publish_result_clear(&r);
	fake_publish(&f, "one", "bob", &r);
	CU_ASSERT(r.is_unchanged);
	check_in_force(&f, 1, "one");
	fake_store_put(&f, key, "{}");
	publish_result_clear(&r);
	fake_publish(&f, "one", "bob", &r);
	check_in_force(&f, 1, "one");
	for (size_t i = 0; i < G_N_ELEMENTS(pointers); i++) {
		fake_store_put(&f, PUBLISH_KEY_POINTER, pointers[i]);
		CU_ASSERT_EQUAL(publish_read_pointer(&f.store, &record),
				-ERR_PUBLISH_RECORD);
	}
	g_free(key);
	publish_result_clear(&r);
	fake_store_clear(&f);
}

CU_TestInfo store_publish_tests[] = {
	{ "parts", test_parts },     { "lost replies", test_lost_replies },
	{ "outages", test_outages }, { "fence", test_fence },
	{ "race", test_race },	     { "stale reads", test_stale_reads },
	{ "damage", test_damage },   CU_TEST_INFO_NULL,
};
