#include "suites.h"

#include "common/errors.h"
#include "fake_upstream.h"

/* One shard of 3 leaves with 4 slots of 10 ms each. */
#define CAPACITY_PER_S 1200.0

static struct fake_load *create_load(const char *service, double per_second)
{
	struct fake_load *load = g_new0(struct fake_load, 1);

	load->service = service;
	load->per_second = per_second;
	load->deadline_us = 200 * US_PER_MS;
	return load;
}

/* Returns answers in time per second, after 2 s in which the limit adapts. */
static double measure_goodput(double per_second)
{
	struct fake_engine *f = fake_engine_create(1, "");
	struct fake_load *load = create_load("search", per_second);
	double result;

	fake_engine_run_loads(f, load, 1, 2 * US_PER_S);
	load->in_time = 0;
	fake_engine_run_loads(f, load, 1, 10 * US_PER_S);
	result = load->in_time / 10.0;
	g_free(load);
	fake_engine_destroy(f);
	return result;
}

/*
 * Guards against goodput that falls under overload because leaves and queues
 * are busy with queries whose answers come too late.
 */
static void test_overload_goodput(void)
{
	double peak = measure_goodput(1.1 * CAPACITY_PER_S);
	double twice = measure_goodput(2 * CAPACITY_PER_S);
	double five = measure_goodput(5 * CAPACITY_PER_S);

	CU_ASSERT(peak > 0.9 * CAPACITY_PER_S);
	CU_ASSERT(twice >= 0.95 * peak);
	CU_ASSERT(five >= 0.95 * peak);
}

/* Guards against an overload of low worth displacing requests of high worth. */
static void test_worth(void)
{
	static const double factors[] = { 2, 5 };

	for (int i = 0; i < 2; i++) {
		struct fake_engine *f = fake_engine_create(1, "");
		struct fake_load *loads = g_new0(struct fake_load, 2);

		loads[0].service = "search";
		loads[0].per_second = factors[i] * CAPACITY_PER_S;
		loads[1].service = "book";
		loads[1].per_second = 0.5 * CAPACITY_PER_S;
		loads[0].deadline_us = loads[1].deadline_us = 200 * US_PER_MS;
		fake_engine_run_loads(f, loads, 2, 10 * US_PER_S);
		CU_ASSERT(loads[1].failed <= 0.001 * loads[1].sent);
		/* The floor of the class of low worth prevents starvation. */
		CU_ASSERT(loads[0].in_time > 0.05 * 10 * CAPACITY_PER_S);
		g_free(loads);
		fake_engine_destroy(f);
	}
}

/*
 * Guards against a metastable state: after an overload of 5 s, refusals or high
 * latency continue under normal load.
 */
static void test_recovery(void)
{
	struct fake_engine *f = fake_engine_create(1, "");
	struct fake_load *load = create_load("search", 0.6 * CAPACITY_PER_S);
	int64_t before;

	fake_engine_run_loads(f, load, 1, 5 * US_PER_S);
	before = fake_load_duration_quantile(load, 0.99);
	load->per_second = 5 * CAPACITY_PER_S;
	fake_engine_run_loads(f, load, 1, 5 * US_PER_S);
	load->per_second = 0.6 * CAPACITY_PER_S;
	fake_engine_run_loads(f, load, 1, 10 * US_PER_S);
	load->sent = 0;
	load->failed = 0;
	fake_engine_run_loads(f, load, 1, 5 * US_PER_S);
	CU_ASSERT_EQUAL(load->failed, 0);
	CU_ASSERT(fake_load_duration_quantile(load, 0.99) <= before * 6 / 5);
	g_free(load);
	fake_engine_destroy(f);
}

/*
 * Guards against a refusal without a retry time, and against a false run state:
 * a query that is refused in the queue was not run, and one whose calls are not
 * answered may have been.
 */
static void test_refusal(void)
{
	struct fake_engine *f = fake_engine_create(1, "");
	uint32_t refused = 0;

	for (int i = 0; i < 1000; i++) {
		if (fake_engine_submit(f, "search", 200 * US_PER_MS))
			continue;
		refused++;
		CU_ASSERT_EQUAL(f->code, -ERR_OVERLOAD);
		CU_ASSERT(f->retry_after_us > 0);
	}
	/* No call is answered, so the queued queries end without having run. */
	fake_engine_advance(f, US_PER_S);
	CU_ASSERT_EQUAL(f->end_count + refused, 1000);
	for (uint32_t i = 0; i < f->end_count; i++) {
		const struct engine_outcome *o = &f->ends[i].outcome;

		CU_ASSERT(o->run == (o->code == -ERR_OVERLOAD ? RUN_NOT_RUN
							      : RUN_UNKNOWN));
	}
	CU_ASSERT_EQUAL(engine_query_count(f->engine), 0);
	fake_engine_destroy(f);
}

CU_TestInfo engine_admission_tests[] = {
	{ "overload goodput", test_overload_goodput },
	{ "worth", test_worth },
	{ "recovery", test_recovery },
	{ "refusal", test_refusal },
	CU_TEST_INFO_NULL,
};
