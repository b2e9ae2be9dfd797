#include "suites.h"

#include "common/errors.h"
#include "fake_upstream.h"

#define RULES "retry = \"r\"\nhedge = \"h\"\nmin_coverage = 50\n"
#define LOAD_PER_S 720.0

static struct fake_load *create_load(void)
{
	struct fake_load *load = g_new0(struct fake_load, 1);

	load->service = "search";
	load->per_second = LOAD_PER_S;
	load->deadline_us = 200 * US_PER_MS;
	return load;
}

/*
 * Guards against calls beyond this host's share of a leaf, and against waiting
 * for a free replica past the deadline.
 */
static void test_share(void)
{
	struct leaf_share share = { .connections = 2, .slots = 1 };
	struct leaf_share none = { 0 };
	struct fake_engine *f = fake_engine_create(1, RULES);

	engine_set_share(f->engine, 0, share);
	for (int i = 0; i < 6; i++)
		fake_engine_submit(f, "search", 100 * US_PER_MS);
	CU_ASSERT_EQUAL(f->call_count, 3);
	CU_ASSERT_TRUE(fake_engine_end_call(f, 0, CALL_OK));
	CU_ASSERT_EQUAL(f->call_count, 4);
	CU_ASSERT_EQUAL(f->calls[3].call.leaf, f->calls[0].call.leaf);
	fake_engine_advance(f, US_PER_S);
	CU_ASSERT_EQUAL(f->end_count, 6);
	CU_ASSERT_EQUAL(fake_engine_last_end(f)->first_gap, ERR_DEADLINE);
	engine_set_share(f->engine, 0, none);
	f->call_count = 0;
	fake_engine_submit(f, "search", 100 * US_PER_MS);
	fake_engine_advance(f, 0);
	CU_ASSERT_EQUAL(f->call_count, 0);
	CU_ASSERT_EQUAL(fake_engine_last_end(f)->outcome.run, RUN_NOT_RUN);
	fake_engine_destroy(f);
}

/* Guards against exceeding the share under overload with hedges. */
static void test_share_under_load(void)
{
	struct leaf_share share = { .connections = 8, .slots = 3 };
	struct fake_engine *f = fake_engine_create(2, RULES);
	struct fake_load *load = create_load();

	engine_set_share(f->engine, 0, share);
	load->per_second *= 5;
	f->leaves[1].service_factor = 10;
	fake_engine_run_loads(f, load, 1, 3 * US_PER_S);
	for (int i = 0; i < 6; i++)
		CU_ASSERT(f->leaves[i].max_outstanding <= 3);
	g_free(load);
	fake_engine_destroy(f);
}

/*
 * Guards against new calls to a draining leaf, also after a stale report that
 * it serves.
 */
static void test_drain(void)
{
	struct leaf_report stale = { .state = LEAF_SERVING, .load = -1 };
	uint64_t snapshot = 1;
	struct fake_engine *f = fake_engine_create(1, RULES);
	struct fake_load *load = create_load();

	fake_engine_run_loads(f, load, 1, US_PER_S);
	f->leaves[0].is_draining = true;
	fake_engine_run_loads(f, load, 1, US_PER_S / 10);
	fake_engine_report_leaf(f, 1, LEAF_DRAINING, 1);
	f->leaves[0].calls = 0;
	f->leaves[1].calls = 0;
	stale.snapshots = &snapshot;
	stale.snapshot_count = 1;
	engine_report(f->engine, &stale);
	fake_engine_run_loads(f, load, 1, US_PER_S);
	CU_ASSERT_EQUAL(f->leaves[0].calls, 0);
	CU_ASSERT_EQUAL(f->leaves[1].calls, 0);
	/* The leaf has restarted and reports cold. */
	f->leaves[0].is_draining = false;
	fake_engine_report_leaf(f, 0, LEAF_COLD, 1);
	fake_engine_run_loads(f, load, 1, US_PER_S);
	CU_ASSERT(f->leaves[0].calls > 0);
	g_free(load);
	fake_engine_destroy(f);
}

/* Guards against a cold leaf getting its full traffic without a slow start. */
static void test_cold(void)
{
	struct fake_engine *f = fake_engine_create(1, RULES);
	struct fake_load *load = create_load();

	load->per_second = 200;
	fake_engine_run_loads(f, load, 1, US_PER_S);
	fake_engine_report_leaf(f, 0, LEAF_COLD, 1);
	f->leaves[0].calls = 0;
	fake_engine_run_loads(f, load, 1, US_PER_S);
	CU_ASSERT(f->leaves[0].calls < 200 / 3 / 2);
	fake_engine_run_loads(f, load, 1, 9 * US_PER_S);
	f->leaves[0].calls = 0;
	fake_engine_run_loads(f, load, 1, US_PER_S);
	CU_ASSERT(f->leaves[0].calls > 200 / 3 / 2);
	g_free(load);
	fake_engine_destroy(f);
}

/* Returns the mean p99 over windows of 100 ms, with true or inverted loads. */
static int64_t measure_p99_with_reports(bool is_inverted)
{
	struct fake_engine *f = fake_engine_create(2, RULES);
	struct fake_load *load = create_load();
	int64_t sum = 0;

	fake_engine_run_loads(f, load, 1, US_PER_S);
	for (int i = 0; i < 100; i++) {
		for (uint32_t leaf = 0; leaf < 6; leaf++) {
			int n = (int)f->leaves[leaf].outstanding;
			uint64_t snapshot = 1;
			struct leaf_report report = {
				.leaf = leaf,
				.load = is_inverted ? 8 - n : n,
				.snapshots = &snapshot,
				.snapshot_count = 1,
			};

			engine_report(f->engine, &report);
		}
		fake_engine_run_loads(f, load, 1, 100 * US_PER_MS);
		sum += fake_load_duration_quantile(load, 0.99);
	}
	g_free(load);
	fake_engine_destroy(f);
	return sum / 100;
}

/*
 * Guards against inverted load reports directing traffic to the busiest leaf:
 * p99 may rise by at most 20%.
 */
static void test_inverted_reports(void)
{
	CU_ASSERT(measure_p99_with_reports(true) * 5 <=
		  measure_p99_with_reports(false) * 6);
}

/*
 * Guards against lost coverage while one leaf of each shard answers no calls,
 * and against these leaves getting no traffic 10 s after they are repaired.
 */
static void test_silent_leaves(void)
{
	struct fake_engine *f = fake_engine_create(4, RULES);
	struct fake_load *load = create_load();

	load->per_second = 480;
	fake_engine_run_loads(f, load, 1, 3 * US_PER_S);
	for (int i = 0; i < 12; i += 3)
		f->leaves[i].service_factor = -1;
	fake_engine_run_loads(f, load, 1, 3 * US_PER_S);
	load->complete = 0;
	fake_engine_run_loads(f, load, 1, 5 * US_PER_S);
	CU_ASSERT_EQUAL(load->complete, load->answered);
	/* The leaves get their traffic back within 10 s. */
	for (int i = 0; i < 12; i += 3)
		f->leaves[i].service_factor = 1;
	fake_engine_run_loads(f, load, 1, 10 * US_PER_S);
	f->leaves[0].calls = 0;
	load->failed = 0;
	fake_engine_run_loads(f, load, 1, 5 * US_PER_S);
	CU_ASSERT(f->leaves[0].calls > 5 * 480 / 3 / 2);
	CU_ASSERT_EQUAL(load->failed, 0);
	g_free(load);
	fake_engine_destroy(f);
}

/* Guards against ejecting all replicas when all of them fail. */
static void test_panic(void)
{
	struct fake_engine *f = fake_engine_create(1, "min_coverage = 50\n");
	uint32_t used = 0;

	for (uint32_t i = 0; i < 60; i++) {
		fake_engine_submit(f, "search", 100 * US_PER_MS);
		CU_ASSERT_EQUAL_FATAL(f->call_count, i + 1);
		used |= 1u << f->calls[i].call.leaf;
		fake_engine_end_call(f, i, CALL_RESET);
		fake_engine_advance(f, US_PER_MS);
	}
	CU_ASSERT_EQUAL(used, 7);
	used = 0;
	for (uint32_t i = 30; i < 60; i++)
		used |= 1u << f->calls[i].call.leaf;
	/* One of three is ejected, and two are in use. */
	CU_ASSERT_EQUAL(__builtin_popcount(used), 2);
	fake_engine_destroy(f);
}

/*
 * Guards against continuing to send many calls to a leaf that sheds load, and
 * against sending it too few after it stops shedding.
 */
static void test_shed(void)
{
	struct fake_engine *f = fake_engine_create(1, RULES);
	struct fake_load *load = create_load();

	load->per_second = 480;
	fake_engine_run_loads(f, load, 1, US_PER_S);
	f->leaves[0].status = CALL_SHED;
	f->leaves[0].calls = 0;
	fake_engine_run_loads(f, load, 1, 3 * US_PER_S);
	CU_ASSERT(f->leaves[0].calls < 100);
	f->leaves[0].status = CALL_OK;
	fake_engine_run_loads(f, load, 1, 3 * US_PER_S);
	f->leaves[0].calls = 0;
	fake_engine_run_loads(f, load, 1, US_PER_S);
	CU_ASSERT(f->leaves[0].calls > 480 / 3 / 2);
	g_free(load);
	fake_engine_destroy(f);
}

CU_TestInfo engine_replicas_tests[] = {
	{ "share", test_share },
	{ "share under load", test_share_under_load },
	{ "drain", test_drain },
	{ "cold", test_cold },
	{ "inverted reports", test_inverted_reports },
	{ "silent leaves", test_silent_leaves },
	{ "panic", test_panic },
	{ "shed", test_shed },
	CU_TEST_INFO_NULL,
};
