#include "suites.h"

#include "fake_router.h"
#include "platform/headers.h"
#include "router/internal.h"

#define RECORD "aaaaaaaaaaaaaaaa"

struct load_case {
	const char *text;
	bool is_known;
	uint32_t running;
	uint32_t waiting;
	double work_factor;
};

static const struct load_case cases[] = {
	/* Three figures: nothing is told of the pace. */
	{ "2,3,4", true, 2, 3, 0 },
	{ "2, 3, 4", true, 2, 3, 0 },
	/* Four. */
	{ "2,3,4,100", true, 2, 3, 1 },
	{ "2,3,4,250", true, 2, 3, 2.5 },
	{ "2,3,4, 150 ", true, 2, 3, 1.5 },
	{ "2,3,4,90.5", true, 2, 3, 0.905 },
	/* More: a later version of the platform. */
	{ "2,3,4,250,7", true, 2, 3, 2.5 },
	{ "2,3,4,250,x,y", true, 2, 3, 2.5 },
	/* A malformed figure does not take the others along. */
	{ "2,3,4,", true, 2, 3, 0 },
	{ "2,3,4,,200", true, 2, 3, 0 },
	{ "2,3,4,-200", true, 2, 3, 0 },
	{ "2,3,4,+200", true, 2, 3, 0 },
	{ "2,3,4,2e2", true, 2, 3, 0 },
	{ "2,3,4,nan", true, 2, 3, 0 },
	{ "2,3,4,0x64", true, 2, 3, 0 },
	{ "2,3,4,200%", true, 2, 3, 0 },
	{ "2,3,4;200", true, 2, 3, 0 },
	{ "2,3,4 200", true, 2, 3, 0 },
	/* Zero: no work takes no time. */
	{ "2,3,4,0", true, 2, 3, 0 },
	{ "2,3,4,0.0", true, 2, 3, 0 },
	/* Very small and very large ones are limited. */
	{ "2,3,4,1", true, 2, 3, 0.25 },
	{ "2,3,4,4000000000", true, 2, 3, 20 },
	{ "2,3,4,99999999999999999999999999", true, 2, 3, 20 },
	/* Fewer than three, or none. */
	{ "2,3", false, 0, 0, 0 },
	{ "", false, 0, 0, 0 },
	{ "x,3,4,200", false, 0, 0, 0 },
};

/*
 * Guards against a figure that is read wrong, and against an odd one that hides
 * the figures before it.
 */
static void test_parse(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct leaf_reply *reply = leaf_reply_create();
		struct http_header h = {
			.name = g_strdup("Nutmegpick-Server-Load"),
			.value = g_strdup(cases[i].text),
		};
		struct router_result result = { 0 };

		reply->status = 200;
		g_array_append_val(reply->headers, h);
		platform_read_reply(reply, &result);
		CU_ASSERT_EQUAL(result.load.is_known, cases[i].is_known);
		if (cases[i].is_known) {
			CU_ASSERT_EQUAL(result.load.running, cases[i].running);
			CU_ASSERT_EQUAL(result.load.waiting, cases[i].waiting);
		}
		CU_ASSERT_DOUBLE_EQUAL(result.load.work_factor,
				       cases[i].work_factor, 1e-9);
		leaf_reply_unref(reply);
	}
}

/* Sends one request, answers it after a time and returns the leaf. */
static const char *run_request(struct fake_router *f, int64_t us)
{
	uint32_t call = f->call_count;

	fake_router_start_request(f, "/get/x", 0);
	fake_router_advance(f, us);
	fake_router_end_call(f, call, CALL_ANSWERED, 200, RECORD);
	return f->calls[call].leaf_id;
}

/*
 * Guards against a leaf on a slow machine that goes on getting the calls, and
 * against one that is avoided long after the machine has recovered.
 */
static void test_choice(void)
{
	struct fake_router *f = fake_router_create(1);

	f->load = (struct leaf_load){ .is_known = true, .work_factor = 1 };
	CU_ASSERT_STRING_EQUAL(run_request(f, 40 * US_PER_MS), "s0-a");
	f->load.work_factor = 4;
	CU_ASSERT_STRING_EQUAL(run_request(f, 40 * US_PER_MS), "s0-a");
	f->load.work_factor = 1;
	CU_ASSERT_STRING_EQUAL(run_request(f, 40 * US_PER_MS), "s0-b");
	fake_router_advance(f, 1000 * US_PER_MS);
	CU_ASSERT_STRING_EQUAL(run_request(f, 40 * US_PER_MS), "s0-a");
	fake_router_destroy(f);
}

/*
 * Guards against a slow phase that counts twice, in the durations and in the
 * factor: the leaf would be avoided although its pace is the usual one again.
 */
static void test_counted_once(void)
{
	struct fake_router *f = fake_router_create(1);

	f->load = (struct leaf_load){ .is_known = true, .work_factor = 1 };
	for (int i = 0; i < 20; i++)
		run_request(f, 40 * US_PER_MS);
	f->load.work_factor = 4;
	CU_ASSERT_STRING_EQUAL(run_request(f, 160 * US_PER_MS), "s0-a");
	f->calls[f->call_count - 1].leaf->work_factor = 1;
	f->load.work_factor = 1;
	CU_ASSERT_STRING_EQUAL(run_request(f, 40 * US_PER_MS), "s0-a");
	fake_router_destroy(f);
}

/* Guards against a pace that outlives its half-life of 200 ms. */
static void test_decay(void)
{
	struct route_leaf leaf = { .work_factor = 3, .work_factor_at_us = 0 };

	CU_ASSERT_DOUBLE_EQUAL(leaf_work_factor(&leaf, 0), 3, 1e-9);
	CU_ASSERT_DOUBLE_EQUAL(leaf_work_factor(&leaf, 200 * US_PER_MS), 2,
			       1e-9);
	CU_ASSERT(leaf_work_factor(&leaf, 2 * US_PER_S) < 1.01);
	leaf.work_factor = 0;
	CU_ASSERT_EQUAL(leaf_work_factor(&leaf, 0), 1);
}

CU_TestInfo load_figure_tests[] = {
	{ "parse", test_parse },
	{ "choice", test_choice },
	{ "counted once", test_counted_once },
	{ "decay", test_decay },
	CU_TEST_INFO_NULL,
};
