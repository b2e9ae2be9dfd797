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

/* Duration of the calls that the route has learned. */
#define LEARNED_US (84 * US_PER_MS)
/* Leaves enough time for a hedge after the double delay. */
#define HEDGE_GOAL_US (312 * US_PER_MS)

/* Figures of the last reply before a hedge, and the delay of the hedge. */
struct hedge_case {
	const char *text;
	/** Factor on the delay without a fourth figure. */
	double factor;
};

static const struct hedge_case hedge_cases[] = {
	{ "1,0,4,100", 1 },	{ "1,0,4,150", 1.5 }, { "1,0,4,200", 2 },
	{ "1,0,4,50", 1 },	{ "1,0,4,200%", 1 },  { "1,0,4,-200", 1 },
	{ "1,0,4,nan,200", 1 }, { "1,0,4,0", 1 },
};

/* Returns the time until the hedge of a call to a leaf that told the figures. */
static int64_t measure_hedge(const char *text)
{
	struct fake_router *f = fake_router_create(1);
	uint32_t before;
	int64_t start;

	leaf_set_remove(router_leaves(f->router), "s0-b", 0, 0);
	leaf_set_remove(router_leaves(f->router), "s0-c", 0, 0);
	f->router->table->routes[1].goal_us = HEDGE_GOAL_US;
	f->load = (struct leaf_load){ .is_known = true };
	for (int i = 0; i < 100; i++)
		run_request(f, LEARNED_US);
	f->load = read_header(200, "Nutmegpick-Server-Load", text).load;
	run_request(f, LEARNED_US);
	before = f->call_count;
	start = f->time.now_us;
	fake_router_start_request(f, "/get/x", 0);
	fake_router_put_leaf(f, "s0-b", "s0", "b", false, 2);
	while (f->call_count < before + 2 &&
	       f->time.now_us < start + HEDGE_GOAL_US)
		fake_router_advance(f, US_PER_MS);
	start = f->time.now_us - start;
	fake_router_destroy(f);
	return start;
}

/*
 * Guards against hedges of calls that are only as late as the leaf's machine is
 * slow, and against a changed delay where leaves tell no usable factor.
 */
static void test_hedge_delay(void)
{
	int64_t usual = measure_hedge("1,0,4");

	CU_ASSERT(usual >= LEARNED_US);
	for (size_t i = 0; i < G_N_ELEMENTS(hedge_cases); i++) {
		const struct hedge_case *c = &hedge_cases[i];

		CU_ASSERT_DOUBLE_EQUAL((double)measure_hedge(c->text),
				       c->factor * (double)usual, US_PER_MS);
	}
}

/* Guards against hedges on slow leaves that come too late for the goal. */
static void test_hedge_limit(void)
{
	struct fake_router *f = fake_router_create(1);
	const struct route *route = &f->router->table->routes[1];
	struct route_stats *s = route_stats_get(f->router, route);
	int64_t late = route_stats_late_threshold(s, route);
	int64_t left = 4 * late;

	CU_ASSERT_EQUAL(route_stats_hedge_delay(s, route, left, 20), 3 * late);
	/* Without enough time the delay is the same as without a factor. */
	CU_ASSERT_EQUAL(route_stats_hedge_delay(s, route, late, 20), late);
	fake_router_destroy(f);
}

CU_TestInfo load_figure_tests[] = {
	{ "load header", test_load_header },
	{ "warm-up header", test_warm_up_header },
	{ "choice", test_choice },
	{ "decay", test_decay },
	{ "hedge delay", test_hedge_delay },
	{ "hedge limit", test_hedge_limit },
	CU_TEST_INFO_NULL,
};
