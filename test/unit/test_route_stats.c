#include "suites.h"

#include "fake_router.h"
#include "router/internal.h"

#define SEEDS 50
#define GOAL_US (300 * US_PER_MS)
/* Calls after which a learned duration decides when a hedge is sent. */
#define LEARNED_CALLS 200

/* Puts one idempotent route in force that sends its requests to an upstream. */
static void publish(struct fake_router *f, const char *name, uint32_t upstream)
{
	struct route_table *t = route_table_create(1, 3);
	char message[128];

	t->version = router_version(f->router) + 1;
	for (uint32_t i = 0; i < 3; i++) {
		t->upstreams[i].name = g_strdup_printf("s%u", i);
		t->upstreams[i].max_connections = 64;
	}
	t->routes[0] = (struct route){
		.name = g_strdup(name),
		.host = g_strdup("example"),
		.prefix = g_strdup("/moved/"),
		.is_idempotent = true,
		.max_attempts = 2,
		.timeout_us = 5 * GOAL_US,
		.goal_us = GOAL_US,
		.targets = g_new0(struct route_target, 1),
		.target_count = 1,
	};
	t->routes[0].targets[0].upstream = upstream;
	CU_ASSERT_FATAL(!route_table_seal(t, message, sizeof(message)));
	CU_ASSERT_FATAL(!router_apply_table(f->router, t));
}

/* Sends requests whose calls take the given time. */
static void send_requests(struct fake_router *f, uint32_t count,
			  int64_t duration_us)
{
	for (uint32_t i = 0; i < count; i++) {
		fake_router_start_request(f, "/moved/x", 0);
		fake_router_advance(f, duration_us);
		fake_router_answer_all(f);
	}
}

/* Sends a request to a leaf that stalls; returns the time until the hedge. */
static int64_t measure_hedge(struct fake_router *f)
{
	int64_t start = f->time.now_us;
	uint32_t before = f->call_count;

	fake_router_start_request(f, "/moved/x", 0);
	while (f->call_count < before + 2 && f->time.now_us < start + GOAL_US)
		fake_router_advance(f, US_PER_MS);
	fake_router_answer_all(f);
	return f->time.now_us - start;
}

/*
 * Guards against hedges at the durations of the upstream that a route had
 * before. After a faster one they come too late to be answered in time.
 */
static void test_moved_route(void)
{
	int64_t unknown;

	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		struct fake_router *f = fake_router_create_seeded(3, seed);
		GRand *rand = g_rand_new_with_seed(seed);
		int64_t fast = g_rand_int_range(rand, 1, 20) * US_PER_MS;
		int64_t slow = g_rand_int_range(rand, 60, 90) * US_PER_MS;

		publish(f, "moved", 0);
		unknown = measure_hedge(f);
		send_requests(f, LEARNED_CALLS, fast);
		publish(f, "moved", 1);
		CU_ASSERT_EQUAL(measure_hedge(f), unknown);
		send_requests(f, LEARNED_CALLS, slow);
		publish(f, "moved", 2);
		CU_ASSERT_EQUAL(measure_hedge(f), unknown);
		g_rand_free(rand);
		fake_router_destroy(f);
	}
}

/* Guards against durations that are forgotten with each version. */
static void test_unchanged_route(void)
{
	struct fake_router *f = fake_router_create(3);
	int64_t learned;

	publish(f, "moved", 0);
	send_requests(f, LEARNED_CALLS, 5 * US_PER_MS);
	learned = measure_hedge(f);
	publish(f, "moved", 0);
	CU_ASSERT_EQUAL(measure_hedge(f), learned);
	fake_router_destroy(f);
}

/*
 * Guards against memory that grows with the names that routes have ever had,
 * and against state that is freed under requests in flight.
 */
static void test_names_that_go(void)
{
	struct fake_router *f = fake_router_create(3);

	for (int i = 0; i < 500; i++) {
		char name[16];

		g_snprintf(name, sizeof(name), "r%d", i);
		publish(f, name, (uint32_t)i % 3);
		fake_router_start_request(f, "/moved/x", 0);
		fake_router_start_request(f, "/moved/x", 0);
		/* The first request ends under the version after its own. */
		if (i)
			fake_router_end_call(f, f->call_count - 4,
					     CALL_ANSWERED, 200, "");
		fake_router_end_call(f, f->call_count - 1, CALL_ANSWERED, 200,
				     "");
		CU_ASSERT(g_hash_table_size(f->router->stats) <=
			  f->router->table->route_count);
	}
	fake_router_answer_all(f);
	CU_ASSERT_EQUAL(f->answer_count, 1000);
	fake_router_destroy(f);
}

CU_TestInfo route_stats_tests[] = {
	{ "moved route", test_moved_route },
	{ "unchanged route", test_unchanged_route },
	{ "names that go", test_names_that_go },
	CU_TEST_INFO_NULL,
};
