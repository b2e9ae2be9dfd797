#include "suites.h"

#include "common/errors.h"
#include "fake_upstream.h"

#define RULES "retry = \"r\"\nhedge = \"h\"\nmin_coverage = 50\n"

/* 60% of the capacity of 3 leaves with 4 slots of 10 ms in each shard. */
#define LOAD_PER_S 720.0

static struct fake_load *create_load(void)
{
	struct fake_load *load = g_new0(struct fake_load, 1);

	load->service = "search";
	load->per_second = LOAD_PER_S;
	load->deadline_us = 200 * US_PER_MS;
	return load;
}

/* Discards the counts of the time in which the engine measured latencies. */
static void reset_counts(struct fake_load *load)
{
	*load = (struct fake_load){
		.service = load->service,
		.per_second = load->per_second,
		.deadline_us = load->deadline_us,
	};
}

static void check_extra_share(const struct fake_load *load, double percent)
{
	CU_ASSERT(load->needed_calls > 0);
	CU_ASSERT(100.0 * load->extra_calls <= percent * load->needed_calls);
}

/*
 * Guards against one leaf that is 10 times slower raising the tail latency, and
 * against hedges beyond the budget. The load is 40% of the capacity: at 60% the
 * other two replicas of the shard run at 90%, and p99 doubles even without the
 * slow leaf.
 */
static void test_straggler(void)
{
	struct fake_engine *f = fake_engine_create(16, RULES);
	struct fake_load *load = create_load();
	int64_t healthy;

	load->per_second = LOAD_PER_S * 40 / 60;
	fake_engine_run_loads(f, load, 1, 3 * US_PER_S);
	reset_counts(load);
	fake_engine_run_loads(f, load, 1, 5 * US_PER_S);
	healthy = fake_load_duration_quantile(load, 0.99);
	check_extra_share(load, 5);
	f->leaves[4].service_factor = 10;
	reset_counts(load);
	fake_engine_run_loads(f, load, 1, 5 * US_PER_S);
	CU_ASSERT(fake_load_duration_quantile(load, 0.99) * 10 <= healthy * 13);
	CU_ASSERT_EQUAL(load->complete, load->answered);
	check_extra_share(load, 5);
	g_free(load);
	fake_engine_destroy(f);
}

/*
 * Guards against retries beyond the budget, and against shards that are missing
 * although a replica works, when one leaf of each shard fails or sheds all
 * calls.
 */
static void test_faults(void)
{
	static const enum call_status faults[] = { CALL_RESET,
						   CALL_CONNECT_FAILED,
						   CALL_ERROR, CALL_SHED };

	for (size_t i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		struct fake_engine *f = fake_engine_create(4, RULES);
		struct fake_load *load = create_load();

		fake_engine_run_loads(f, load, 1, 3 * US_PER_S);
		for (int leaf = 0; leaf < 12; leaf += 3)
			f->leaves[leaf].status = faults[i];
		reset_counts(load);
		fake_engine_run_loads(f, load, 1, 5 * US_PER_S);
		CU_ASSERT_EQUAL(load->complete, load->answered);
		check_extra_share(load, 10);
		g_free(load);
		fake_engine_destroy(f);
	}
}

/*
 * Guards against extra calls, failures or high latency that continue after two
 * of three leaves failed for 10 s and were repaired.
 */
static void test_recovery(void)
{
	struct fake_engine *f = fake_engine_create(4, RULES);
	struct fake_load *load = create_load();
	int64_t healthy;

	fake_engine_run_loads(f, load, 1, 5 * US_PER_S);
	healthy = fake_load_duration_quantile(load, 0.99);
	for (int leaf = 0; leaf < 12; leaf++)
		f->leaves[leaf].status = leaf % 3 ? CALL_ERROR : CALL_OK;
	fake_engine_run_loads(f, load, 1, 10 * US_PER_S);
	for (int leaf = 0; leaf < 12; leaf++)
		f->leaves[leaf].status = CALL_OK;
	fake_engine_run_loads(f, load, 1, 10 * US_PER_S);
	reset_counts(load);
	fake_engine_run_loads(f, load, 1, 5 * US_PER_S);
	CU_ASSERT_EQUAL(load->failed, 0);
	CU_ASSERT(fake_load_duration_quantile(load, 0.99) * 5 <= healthy * 6);
	check_extra_share(load, 5);
	g_free(load);
	fake_engine_destroy(f);
}

/* Creates an engine that has measured a call latency of 10 ms. */
static struct fake_engine *create_with_latency(uint32_t shards,
					       const char *fields)
{
	struct fake_engine *f = fake_engine_create(shards, fields);

	for (uint32_t i = 0; i < 200; i++) {
		fake_engine_submit(f, "search", 200 * US_PER_MS);
		fake_engine_advance(f, 10 * US_PER_MS);
		for (uint32_t j = 0; j < shards; j++)
			fake_engine_end_call(f, i * shards + j, CALL_OK);
		fake_engine_advance(f, 0);
	}
	f->call_count = 0;
	return f;
}

/*
 * Guards against a hedge to the leaf that is late, and against the late call
 * not being cancelled once the hedge is answered.
 */
static void test_hedge(void)
{
	struct fake_engine *f = create_with_latency(1, RULES);

	fake_engine_submit(f, "search", 200 * US_PER_MS);
	fake_engine_advance(f, 9 * US_PER_MS);
	CU_ASSERT_EQUAL(f->call_count, 1);
	fake_engine_advance(f, 5 * US_PER_MS);
	CU_ASSERT_EQUAL_FATAL(f->call_count, 2);
	CU_ASSERT(f->calls[1].call.is_hedge);
	CU_ASSERT_NOT_EQUAL(f->calls[0].call.leaf, f->calls[1].call.leaf);
	CU_ASSERT_TRUE(fake_engine_end_call(f, 1, CALL_OK));
	CU_ASSERT_TRUE(f->calls[0].is_cancelled);
	CU_ASSERT_FALSE(fake_engine_end_call(f, 0, CALL_OK));
	fake_engine_advance(f, 0);
	CU_ASSERT_EQUAL(fake_engine_last_end(f)->outcome.extra_calls, 1);
	fake_engine_destroy(f);
}

/* Guards against calls to leaves that cannot answer by the deadline. */
static void test_too_late(void)
{
	struct fake_engine *f = create_with_latency(1, RULES);

	/* After 11 ms of 15 ms no leaf can answer, since a call takes 10 ms. */
	fake_engine_submit(f, "search", 15 * US_PER_MS);
	fake_engine_advance(f, US_PER_S);
	CU_ASSERT_EQUAL(f->call_count, 1);
	CU_ASSERT_EQUAL(fake_engine_last_end(f)->first_gap, ERR_DEADLINE);
	fake_engine_submit(f, "search", 5 * US_PER_MS);
	fake_engine_advance(f, US_PER_S);
	CU_ASSERT_EQUAL(f->call_count, 1);
	CU_ASSERT_EQUAL(fake_engine_last_end(f)->outcome.run, RUN_NOT_RUN);
	fake_engine_destroy(f);
}

/* Guards against the baseline policies using limits, hedges or the budget. */
static void test_baselines(void)
{
	struct fake_engine *f =
		fake_engine_create(1, "policy = \"naive_retry\"\n");

	fake_engine_submit(f, "search", 200 * US_PER_MS);
	for (uint32_t i = 0; i < f->call_count; i++)
		fake_engine_end_call(f, i, CALL_RESET);
	CU_ASSERT_EQUAL(f->call_count, 4);
	fake_engine_destroy(f);
	f = fake_engine_create(1, "policy = \"round_robin\"\n");
	for (int i = 0; i < 100; i++)
		fake_engine_submit(f, "search", 200 * US_PER_MS);
	for (uint32_t i = 0; i < f->call_count; i++) {
		CU_ASSERT_EQUAL(f->calls[i].call.leaf, i % 3);
		fake_engine_end_call(f, i, CALL_RESET);
	}
	CU_ASSERT_EQUAL(f->call_count, 100);
	fake_engine_destroy(f);
}

/* Runs one query of which 3 of 4 shards answer; returns its duration. */
static int64_t measure_partial_query(const char *fields)
{
	struct fake_engine *f = create_with_latency(4, fields);
	int64_t total;

	fake_engine_submit(f, "search", 200 * US_PER_MS);
	for (uint32_t i = 1; i < 4; i++)
		fake_engine_end_call(f, i, CALL_OK);
	fake_engine_advance(f, US_PER_S);
	CU_ASSERT_EQUAL(fake_engine_last_end(f)->outcome.weight, 300);
	total = fake_engine_last_end(f)->outcome.total_us;
	fake_engine_destroy(f);
	return total;
}

/*
 * Guards against an early answer of a service that has not enabled it, or with
 * less than its minimum coverage.
 */
static void test_early_answer(void)
{
	CU_ASSERT(measure_partial_query("hedge = \"h\"\nearly_answer = true\n"
					"min_coverage = 75\n") <
		  100 * US_PER_MS);
	CU_ASSERT(measure_partial_query("hedge = \"h\"\nmin_coverage = 75\n") >=
		  190 * US_PER_MS);
	CU_ASSERT(measure_partial_query("hedge = \"h\"\nearly_answer = true\n"
					"min_coverage = 76\n") >=
		  190 * US_PER_MS);
}

CU_TestInfo engine_extra_calls_tests[] = {
	{ "straggler", test_straggler },       { "faults", test_faults },
	{ "recovery", test_recovery },	       { "hedge", test_hedge },
	{ "too late", test_too_late },	       { "baselines", test_baselines },
	{ "early answer", test_early_answer }, CU_TEST_INFO_NULL,
};
