#include "suites.h"

#include "fake_router.h"
#include "platform/headers.h"
#include "router/internal.h"

/* Value of Nutmegpick-Server-Load, and the factor that it tells. */
struct load_case {
	const char *text;
	double work_factor;
	bool is_unknown;
};

static const struct load_case load_cases[] = {
	/* Three figures, four, and more of a later version. */
	{ "2,3,4", 0 },
	{ "2,3,4,100", 1 },
	{ "2,3,4, 150 ", 1.5 },
	{ "2,3,4,90.5", 0.905 },
	{ "2,3,4,250,x,y", 2.5 },
	/* A malformed figure does not take the others along. */
	{ "2,3,4,", 0 },
	{ "2,3,4,,200", 0 },
	{ "2,3,4,-200", 0 },
	{ "2,3,4,2e2", 0 },
	{ "2,3,4,nan", 0 },
	{ "2,3,4,200%", 0 },
	{ "2,3,4 200", 0 },
	/* Zero, very small and very large. */
	{ "2,3,4,0", 0 },
	{ "2,3,4,1", 0.25 },
	{ "2,3,4,99999999999999999999999999", 20 },
	/* Fewer than three. */
	{ "2,3", 0, true },
	{ "x,3,4,200", 0, true },
};

/* Value of Nutmegpick-Warmup-Ms; -1 us if nothing is told. */
struct warm_up_case {
	const char *text;
	unsigned int status;
	int64_t left_us;
};

static const struct warm_up_case warm_up_cases[] = {
	{ "2500", 200, 2500 * US_PER_MS },
	{ "0", 503, 0 },
	{ "99999999999999999999999", 200, 24 * 3600 * US_PER_S },
	{ "-1", 200, -1 },
	{ "1e3", 200, -1 },
	/* Another leaf has sent it. */
	{ "2500", 421, -1 },
};

static struct router_result read_header(unsigned int status, const char *name,
					const char *value)
{
	struct leaf_reply *reply = leaf_reply_create();
	struct http_header h = { .name = g_strdup(name),
				 .value = g_strdup(value) };
	struct router_result result = { 0 };

	reply->status = status;
	g_array_append_val(reply->headers, h);
	platform_read_reply(reply, &result);
	leaf_reply_unref(reply);
	return result;
}

/*
 * Guards against a figure that is read wrong, and against an odd one that hides
 * the figures before it.
 */
static void test_load_header(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(load_cases); i++) {
		const struct load_case *c = &load_cases[i];
		struct leaf_load load =
			read_header(200, "Nutmegpick-Server-Load", c->text).load;

		CU_ASSERT_EQUAL(load.is_known, !c->is_unknown);
		CU_ASSERT(c->is_unknown ||
			  (load.running == 2 && load.waiting == 3));
		CU_ASSERT_DOUBLE_EQUAL(load.work_factor, c->work_factor, 1e-9);
	}
}

/* Guards against odd values, and against what another leaf says of itself. */
static void test_warm_up_header(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(warm_up_cases); i++) {
		const struct warm_up_case *c = &warm_up_cases[i];
		struct leaf_warm_up w =
			read_header(c->status, "nutmegpick-warmup-ms", c->text)
				.warm_up;

		CU_ASSERT_EQUAL(w.is_known ? w.left_us : -1, c->left_us);
	}
}

/* Sends one request, answers it after a time and returns the leaf. */
static struct route_leaf *run_request(struct fake_router *f, int64_t us)
{
	uint32_t call = f->call_count;

	fake_router_start_request(f, "/get/x", 0);
	fake_router_advance(f, us);
	fake_router_end_call(f, call, CALL_ANSWERED, 200, "0123456789abcdef");
	return f->calls[call].leaf;
}

/*
 * Guards against a leaf on a slow machine that goes on getting the calls, and
 * against one that is avoided long after the machine has recovered, because its
 * slow phase also counts in the durations.
 */
static void test_choice(void)
{
	struct fake_router *f = fake_router_create(1);
	struct route_leaf *leaf;

	f->load = (struct leaf_load){ .is_known = true, .work_factor = 1 };
	leaf = run_request(f, 40 * US_PER_MS);
	for (int i = 0; i < 20; i++)
		CU_ASSERT_PTR_EQUAL(run_request(f, 40 * US_PER_MS), leaf);
	f->load.work_factor = 4;
	CU_ASSERT_PTR_EQUAL(run_request(f, 160 * US_PER_MS), leaf);
	f->load.work_factor = 1;
	CU_ASSERT_PTR_NOT_EQUAL(run_request(f, 40 * US_PER_MS), leaf);
	leaf->work_factor = 1;
	CU_ASSERT_PTR_EQUAL(run_request(f, 40 * US_PER_MS), leaf);
	fake_router_destroy(f);
}

/* Guards against a pace that outlives its half-life of 200 ms. */
static void test_decay(void)
{
	struct route_leaf leaf = { .work_factor = 3 };

	CU_ASSERT_DOUBLE_EQUAL(leaf_work_factor(&leaf, 0), 3, 1e-9);
	CU_ASSERT_DOUBLE_EQUAL(leaf_work_factor(&leaf, 200 * US_PER_MS), 2,
			       1e-9);
	leaf.work_factor = 0;
	CU_ASSERT_EQUAL(leaf_work_factor(&leaf, 0), 1);
}

CU_TestInfo load_figure_tests[] = {
	{ "load header", test_load_header },
	{ "warm-up header", test_warm_up_header },
	{ "choice", test_choice },
	{ "decay", test_decay },
	CU_TEST_INFO_NULL,
};
