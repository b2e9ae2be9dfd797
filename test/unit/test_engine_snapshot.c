#include "suites.h"

#include "common/errors.h"
#include "fake_upstream.h"

#define RULES "retry = \"r\"\nmin_coverage = 40\n"

/* Reports two snapshots, the older of which may be 0 (none). */
static void report_two_snapshots(struct fake_engine *f, obj_handle leaf,
				 uint64_t older, uint64_t newer)
{
	uint64_t snapshots[] = { newer, older };
	struct leaf_report report = {
		.leaf = leaf,
		.load = -1,
		.snapshots = snapshots,
		.snapshot_count = older ? 2 : 1,
	};

	engine_report(f->engine, &report);
}

static void report_all_leaves(struct fake_engine *f, uint64_t older,
			      uint64_t newer)
{
	for (uint32_t i = 0; i < f->set->leaf_count; i++)
		report_two_snapshots(f, i, older, newer);
}

/*
 * Guards against lost coverage because a newer snapshot is pinned before leaves
 * of all shards have it.
 */
static void test_pin(void)
{
	struct fake_engine *f = fake_engine_create(2, RULES);

	report_two_snapshots(f, 0, 1, 2);
	fake_engine_submit(f, "search", 0);
	CU_ASSERT_EQUAL(f->calls[0].call.snapshot, 1);
	report_two_snapshots(f, 5, 0, 2);
	fake_engine_submit(f, "search", 0);
	CU_ASSERT_EQUAL(f->calls[2].call.snapshot, 2);
	CU_ASSERT_EQUAL(f->calls[2].call.leaf, 0);
	CU_ASSERT_EQUAL(f->calls[3].call.leaf, 5);
	/* A draining leaf does not count. */
	fake_engine_report_leaf(f, 5, LEAF_DRAINING, 2);
	fake_engine_submit(f, "search", 0);
	CU_ASSERT_EQUAL(f->calls[4].call.snapshot, 1);
	fake_engine_destroy(f);
}

/*
 * Guards against an answer that mixes hits of two snapshots, when a leaf
 * replaces the pinned snapshot during the query.
 */
static void test_restart(void)
{
	static const enum call_status refusals[] = { CALL_SNAPSHOT_GONE,
						     CALL_REPARTITIONED };

	for (int i = 0; i < 2; i++) {
		struct fake_engine *f = fake_engine_create(2, RULES);

		fake_engine_submit(f, "search", 0);
		report_all_leaves(f, 1, 2);
		CU_ASSERT_TRUE(fake_engine_end_call(f, 0, CALL_OK));
		CU_ASSERT_FALSE(fake_engine_end_call(f, 1, refusals[i]));
		CU_ASSERT_EQUAL(f->reset_count, 1);
		CU_ASSERT_EQUAL_FATAL(f->call_count, 4);
		CU_ASSERT_FALSE(fake_engine_end_call(f, 0, CALL_OK));
		CU_ASSERT_TRUE(fake_engine_end_call(f, 2, CALL_OK));
		CU_ASSERT_TRUE(fake_engine_end_call(f, 3, CALL_OK));
		fake_engine_advance(f, 0);
		CU_ASSERT_EQUAL(fake_engine_last_end(f)->outcome.snapshot, 2);
		CU_ASSERT_EQUAL(fake_engine_last_end(f)->outcome.weight, 200);
		CU_ASSERT_EQUAL(fake_engine_last_end(f)->outcome.extra_calls,
				2);
		fake_engine_destroy(f);
	}
}

/* Guards against unlimited restarts when the snapshots change quickly. */
static void test_restart_limit(void)
{
	struct fake_engine *f = fake_engine_create(2, RULES);
	uint32_t call = 0;

	fake_engine_submit(f, "search", 0);
	for (uint64_t snapshot = 2; snapshot < 5; snapshot++) {
		call = f->call_count;
		report_all_leaves(f, 0, snapshot);
		fake_engine_end_call(f, call - 2, CALL_OK);
		fake_engine_end_call(f, call - 1, CALL_SNAPSHOT_GONE);
	}
	CU_ASSERT_EQUAL(f->reset_count, 2);
	CU_ASSERT_EQUAL(f->call_count, 6);
	fake_engine_advance(f, US_PER_S);
	CU_ASSERT_EQUAL(fake_engine_last_end(f)->outcome.snapshot, 3);
	CU_ASSERT_EQUAL(fake_engine_last_end(f)->outcome.weight, 100);
	CU_ASSERT_EQUAL(fake_engine_last_end(f)->first_gap, ERR_SNAPSHOT_GONE);
	fake_engine_destroy(f);
}

/*
 * Guards against a missing shard when one replica has lost the pinned snapshot
 * and another one still has it.
 */
static void test_other_replica(void)
{
	struct fake_engine *f = fake_engine_create(1, RULES);
	obj_handle first;

	fake_engine_submit(f, "search", 0);
	first = f->calls[0].call.leaf;
	fake_engine_end_call(f, 0, CALL_SNAPSHOT_GONE);
	fake_engine_advance(f, 5 * US_PER_MS);
	CU_ASSERT_EQUAL_FATAL(f->call_count, 2);
	CU_ASSERT_EQUAL(f->calls[1].call.snapshot, 1);
	CU_ASSERT_NOT_EQUAL(f->calls[1].call.leaf, first);
	fake_engine_destroy(f);
}

/* Guards against a restart running a non-idempotent request twice. */
static void test_non_idempotent(void)
{
	struct engine_request request = {
		.id = "n",
		.key = "k",
		.service = "search",
		.is_non_idempotent = true,
	};
	struct fake_engine *f = fake_engine_create(2, RULES);
	int64_t retry_after;
	uint64_t id;

	request.key_created_us = f->clock.now_us + f->clock.wall_offset_us;
	engine_submit(f->engine, &request, &id, &retry_after);
	report_all_leaves(f, 0, 2);
	fake_engine_end_call(f, 0, CALL_OK);
	fake_engine_end_call(f, 1, CALL_SNAPSHOT_GONE);
	fake_engine_advance(f, US_PER_S);
	CU_ASSERT_EQUAL(f->reset_count, 0);
	CU_ASSERT_EQUAL(f->call_count, 2);
	/* The only shard of this query refused, so nothing has run. */
	fake_engine_book(f, "b", 0);
	report_all_leaves(f, 0, 3);
	fake_engine_end_call(f, 2, CALL_SNAPSHOT_GONE);
	CU_ASSERT_EQUAL_FATAL(f->call_count, 4);
	CU_ASSERT_TRUE(fake_engine_end_call(f, 3, CALL_OK));
	fake_engine_advance(f, 0);
	CU_ASSERT_EQUAL(fake_engine_last_end(f)->outcome.run, RUN_DONE);
	fake_engine_destroy(f);
}

CU_TestInfo engine_snapshot_tests[] = {
	{ "pin", test_pin },
	{ "restart", test_restart },
	{ "restart limit", test_restart_limit },
	{ "other replica", test_other_replica },
	{ "non-idempotent", test_non_idempotent },
	CU_TEST_INFO_NULL,
};
