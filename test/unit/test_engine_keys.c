#include "suites.h"

#include "common/errors.h"
#include "fake_upstream.h"

/* Guards against running a repeated key again, during the run or after it. */
static void test_repeat(void)
{
	struct fake_engine *f = fake_engine_create(2, "");
	uint64_t first = fake_engine_book(f, "k", 0);
	uint64_t second = fake_engine_book(f, "k", 0);

	CU_ASSERT(first && second && f->call_count == 1);
	CU_ASSERT(fake_engine_end_call(f, 0, CALL_OK));
	fake_engine_advance(f, 0);
	CU_ASSERT_EQUAL(f->end_count, 2);
	CU_ASSERT(f->ends[0].query_id == first && f->ends[0].outcome.is_kept &&
		  f->ends[0].outcome.run == RUN_DONE);
	CU_ASSERT_EQUAL(f->ends[1].outcome.duplicate_of, first);
	CU_ASSERT_EQUAL(f->ends[1].outcome.code, 0);
	fake_engine_book(f, "k", 0);
	fake_engine_advance(f, 0);
	CU_ASSERT_EQUAL(fake_engine_last_end(f)->outcome.duplicate_of, first);
	CU_ASSERT_EQUAL(f->call_count, 1);
	fake_engine_destroy(f);
}

/*
 * Guards against a non-idempotent call whose reply is lost being retried, or
 * reported as not run.
 */
static void test_unknown(void)
{
	static const enum call_status statuses[] = { CALL_RESET, CALL_TIMEOUT,
						     CALL_BAD_REPLY,
						     CALL_ERROR };

	for (size_t i = 0; i < sizeof(statuses) / sizeof(statuses[0]); i++) {
		struct fake_engine *f = fake_engine_create(2, "");

		fake_engine_book(f, "k", 0);
		fake_engine_end_call(f, 0, statuses[i]);
		fake_engine_advance(f, US_PER_S);
		CU_ASSERT_EQUAL(fake_engine_last_end(f)->outcome.run,
				RUN_UNKNOWN);
		fake_engine_book(f, "k", 0);
		fake_engine_advance(f, US_PER_S);
		CU_ASSERT_EQUAL(fake_engine_last_end(f)->outcome.code,
				-ERR_KEY_UNKNOWN);
		CU_ASSERT_EQUAL(fake_engine_last_end(f)->outcome.run,
				RUN_UNKNOWN);
		CU_ASSERT_EQUAL(f->call_count, 1);
		fake_engine_destroy(f);
	}
}

/*
 * Guards against a call that was certainly not run but is not retried, or is
 * reported as unknown.
 */
static void test_not_run(void)
{
	struct fake_engine *f = fake_engine_create(2, "");

	fake_engine_book(f, "k", 0);
	for (uint32_t i = 0; i < f->call_count; i++) {
		fake_engine_end_call(f, i,
				     i % 2 ? CALL_SHED : CALL_CONNECT_FAILED);
		fake_engine_advance(f, 20 * US_PER_MS);
	}
	fake_engine_advance(f, US_PER_S);
	CU_ASSERT(f->call_count > 1);
	CU_ASSERT_EQUAL(fake_engine_last_end(f)->outcome.run, RUN_NOT_RUN);
	/* The key can run again. */
	f->call_count = 0;
	CU_ASSERT_NOT_EQUAL(fake_engine_book(f, "k", 0), 0);
	CU_ASSERT(fake_engine_end_call(f, 0, CALL_OK));
	fake_engine_advance(f, 0);
	CU_ASSERT_EQUAL(fake_engine_last_end(f)->outcome.run, RUN_DONE);
	CU_ASSERT_EQUAL(fake_engine_last_end(f)->outcome.duplicate_of, 0);
	fake_engine_destroy(f);
}

static void check_key_refused(struct fake_engine *f, const char *key,
			      int64_t age_us)
{
	uint32_t calls = f->call_count;

	CU_ASSERT_NOT_EQUAL(fake_engine_book(f, key, age_us), 0);
	fake_engine_advance(f, 0);
	CU_ASSERT_EQUAL(fake_engine_last_end(f)->outcome.code,
			-ERR_KEY_UNKNOWN);
	CU_ASSERT_EQUAL(fake_engine_last_end(f)->outcome.run, RUN_UNKNOWN);
	CU_ASSERT_EQUAL(f->call_count, calls);
}

/*
 * Guards against running a key that an earlier owner may have run or whose
 * entry has expired, also after the wall clock is set back.
 */
static void test_window(void)
{
	struct fake_engine *f = fake_engine_create(2, "");

	check_key_refused(f, "before tenure", 9 * US_PER_S);
	check_key_refused(f, "from the future", -3 * US_PER_S);
	fake_engine_book(f, "k", -US_PER_S);
	fake_engine_end_call(f, 0, CALL_OK);
	fake_engine_advance(f, 602 * US_PER_S);
	CU_ASSERT_EQUAL(f->expired_count, 0);
	fake_engine_advance(f, 2 * US_PER_S);
	CU_ASSERT_EQUAL(f->expired_count, 1);
	check_key_refused(f, "k", 603 * US_PER_S);
	f->clock.wall_offset_us -= 10 * US_PER_S;
	check_key_refused(f, "k", 593 * US_PER_S);
	fake_engine_destroy(f);
}

/*
 * Guards against refusing first attempts after a takeover, although no earlier
 * owner can have run them, and against applying the tenure of one key range to
 * another.
 */
static void test_first_attempt(void)
{
	struct fake_engine *f = fake_engine_create(2, "");
	int64_t wall = f->clock.now_us + f->clock.wall_offset_us;
	struct engine_request r = {
		.id = "r",
		.service = "book",
		.key = "k",
		.key_created_us = wall,
		.key_range = 7,
	};
	int64_t wait;
	uint64_t id;

	engine_set_tenure(f->engine, 7, wall, INT64_MAX);
	CU_ASSERT_EQUAL(engine_submit(f->engine, &r, &id, &wait), 0);
	fake_engine_advance(f, 0);
	CU_ASSERT_EQUAL(fake_engine_last_end(f)->outcome.code,
			-ERR_KEY_UNKNOWN);
	CU_ASSERT_EQUAL(f->call_count, 0);
	r.is_first_attempt = true;
	CU_ASSERT_EQUAL(engine_submit(f->engine, &r, &id, &wait), 0);
	CU_ASSERT_EQUAL(f->call_count, 1);
	/* A repeat is not a first attempt; it finds the entry of the key. */
	r.is_first_attempt = false;
	CU_ASSERT_EQUAL(engine_submit(f->engine, &r, &id, &wait), 0);
	CU_ASSERT_EQUAL(f->call_count, 1);
	/* The tenure of the other range begins with the engine. */
	CU_ASSERT_NOT_EQUAL(fake_engine_book(f, "other", 0), 0);
	CU_ASSERT_EQUAL(f->call_count, 2);
	fake_engine_destroy(f);
}

/* Guards against starting a keyed call after the key lease has lapsed. */
static void test_lease(void)
{
	struct fake_engine *f = fake_engine_create(2, "");
	int64_t now = f->clock.now_us;

	engine_set_tenure(f->engine, 0, 0, now + 10 * US_PER_MS);
	fake_engine_book(f, "k", 0);
	CU_ASSERT_EQUAL(f->call_count, 1);
	f->clock.now_us += 10 * US_PER_MS;
	fake_engine_end_call(f, 0, CALL_SHED);
	fake_engine_advance(f, US_PER_S);
	CU_ASSERT_EQUAL(f->call_count, 1);
	CU_ASSERT_EQUAL(fake_engine_last_end(f)->outcome.run, RUN_NOT_RUN);
	CU_ASSERT_EQUAL(fake_engine_book(f, "k2", 0), 0);
	CU_ASSERT_EQUAL(f->code, -ERR_LEASE_LAPSED);
	fake_engine_destroy(f);
}

/*
 * Guards against cancelling the run of a key when its caller disconnects: a
 * repeat may still need the outcome, also after admission has stopped.
 */
static void test_caller_lost(void)
{
	struct fake_engine *f = fake_engine_create(2, "");
	uint64_t first = fake_engine_book(f, "k", 0);
	uint64_t waiter = fake_engine_book(f, "k", 0);

	CU_ASSERT_FALSE(engine_cancel(f->engine, first));
	CU_ASSERT_TRUE(engine_cancel(f->engine, waiter));
	CU_ASSERT(fake_engine_end_call(f, 0, CALL_OK));
	fake_engine_advance(f, 0);
	CU_ASSERT_EQUAL(f->end_count, 1);
	engine_stop_admission(f->engine);
	CU_ASSERT_NOT_EQUAL(fake_engine_book(f, "k", 0), 0);
	fake_engine_advance(f, 0);
	CU_ASSERT_EQUAL(fake_engine_last_end(f)->outcome.duplicate_of, first);
	fake_engine_destroy(f);
}

/* Guards against request keys being spread over only one or two shards. */
static void test_shard_by_key(void)
{
	struct fake_engine *f = fake_engine_create(8, "");
	uint32_t seen = 0;
	char key[8] = "k0";

	for (int i = 0; i < 10; i++) {
		key[1] = (char)('0' + i);
		fake_engine_book(f, key, 0);
		fake_engine_end_call(f, i, CALL_OK);
		fake_engine_advance(f, 0);
		seen |= 1u << f->calls[i].call.shard;
	}
	CU_ASSERT_EQUAL(f->call_count, 10);
	CU_ASSERT(__builtin_popcount(seen) > 2);
	fake_engine_destroy(f);
}

/*
 * Guards against merging a reply of an unknown call, a second reply of a call
 * or a reply computed from another snapshot.
 */
static void test_foreign_replies(void)
{
	struct fake_engine *f = fake_engine_create(2, "min_coverage = 100\n");
	struct engine_result foreign = { .call_id = 12345, .status = CALL_OK };

	fake_engine_submit(f, "search", 50 * US_PER_MS);
	CU_ASSERT_FALSE(engine_call_result(f->engine, &foreign));
	CU_ASSERT_TRUE(fake_engine_end_call(f, 0, CALL_OK));
	CU_ASSERT_FALSE(fake_engine_end_call(f, 0, CALL_OK));
	f->calls[1].call.snapshot = 99;
	CU_ASSERT_FALSE(fake_engine_end_call(f, 1, CALL_OK));
	fake_engine_advance(f, US_PER_S);
	CU_ASSERT_EQUAL(fake_engine_last_end(f)->outcome.code, -ERR_COVERAGE);
	CU_ASSERT_EQUAL(fake_engine_last_end(f)->outcome.weight, 100);
	CU_ASSERT_EQUAL(fake_engine_last_end(f)->outcome.run, RUN_UNKNOWN);
	fake_engine_destroy(f);
}

CU_TestInfo engine_keys_tests[] = {
	{ "repeat", test_repeat },
	{ "unknown", test_unknown },
	{ "not run", test_not_run },
	{ "window", test_window },
	{ "first attempt", test_first_attempt },
	{ "lease", test_lease },
	{ "caller lost", test_caller_lost },
	{ "shard by key", test_shard_by_key },
	{ "foreign replies", test_foreign_replies },
	CU_TEST_INFO_NULL,
};
