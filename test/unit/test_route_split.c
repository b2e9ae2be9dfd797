#include "suites.h"

#include <math.h>
#include <string.h>

#include "common/errors.h"
#include "fake_router.h"
#include "platform/routes.h"

#define SEEDS 300
#define TARGETS_MAX 6
/* Largest difference between the share of a target and that of its weight. */
#define SHARE_ERROR_MAX 0.1
/* Requests over which shares have to hold. */
#define SHARE_REQUESTS 300

/* Weights of the upstreams s0, s1, ..., and the order that a route has. */
struct split {
	uint32_t count;
	uint32_t order[TARGETS_MAX];
	double weights[TARGETS_MAX];
};

/* Requests that each upstream got. */
struct split_counts {
	uint32_t of[TARGETS_MAX];
	uint32_t total;
};

static struct route_table *create_table(uint64_t version, const struct split *s)
{
	struct route_table *t = route_table_create(1, TARGETS_MAX);
	struct route *r = &t->routes[0];
	char message[128];

	t->version = version;
	for (uint32_t i = 0; i < TARGETS_MAX; i++) {
		t->upstreams[i].name = g_strdup_printf("s%u", i);
		t->upstreams[i].max_connections = 64;
	}
	*r = (struct route){
		.name = g_strdup("split"),
		.host = g_strdup("example"),
		.prefix = g_strdup("/split/"),
		.shape = ROUTE_SPLIT,
		.max_attempts = 1,
		.timeout_us = US_PER_S,
		.goal_us = US_PER_S,
		.targets = g_new0(struct route_target, s->count),
		.target_count = s->count,
	};
	for (uint32_t i = 0; i < s->count; i++)
		r->targets[i] = (struct route_target){
			.upstream = s->order[i],
			.weight = s->weights[s->order[i]],
		};
	CU_ASSERT_FATAL(!route_table_seal(t, message, sizeof(message)));
	return t;
}

static struct fake_router *create_host(guint32 seed)
{
	struct fake_router *f = fake_router_create_seeded(TARGETS_MAX, seed);

	CU_ASSERT_PTR_NOT_NULL_FATAL(f);
	return f;
}

/* Puts a split in force under the version after the last one. */
static void publish(struct fake_router *f, const struct split *s)
{
	uint64_t version = router_version(f->router) + 1;

	CU_ASSERT_FATAL(
		!router_apply_table(f->router, create_table(version, s)));
}

/* Sends requests and answers each at once, so that no leaf is ever busy. */
static void send_requests(struct fake_router *f, uint32_t count,
			  struct split_counts *out)
{
	for (uint32_t i = 0; i < count; i++) {
		uint32_t before = f->call_count;

		fake_router_start_request(f, "/split/x", 0);
		CU_ASSERT_EQUAL_FATAL(f->call_count, before + 1);
		out->of[f->calls[before].service[1] - '0']++;
		out->total++;
		fake_router_end_call(f, before, CALL_ANSWERED, 200, "");
	}
}

static void check_shares(const struct split *s, const struct split_counts *c)
{
	double total = 0;

	for (uint32_t i = 0; i < s->count; i++)
		total += s->weights[s->order[i]];
	for (uint32_t i = 0; i < s->count; i++) {
		uint32_t at = s->order[i];
		double share = (double)c->of[at] / c->total;

		CU_ASSERT(fabs(share - s->weights[at] / total) <=
			  SHARE_ERROR_MAX);
	}
}

static uint32_t count_without_weight(const struct split *s,
				     const struct split_counts *c)
{
	uint32_t with_weight = 0;

	for (uint32_t i = 0; i < s->count; i++) {
		if (s->weights[s->order[i]] > 0)
			with_weight += c->of[s->order[i]];
	}
	return c->total - with_weight;
}

/* Draws a split: weights of any unit, a third of them 0, in any order. */
static struct split draw_split(GRand *rand)
{
	static const double units[] = { 0.0001, 0.01, 1, 1, 7, 1000, 1e9 };
	double unit = units[g_rand_int_range(rand, 0, G_N_ELEMENTS(units))];
	struct split s = {
		.count = (uint32_t)g_rand_int_range(rand, 2, TARGETS_MAX + 1),
	};

	for (uint32_t i = 0; i < TARGETS_MAX; i++)
		s.order[i] = i;
	for (uint32_t i = TARGETS_MAX - 1; i; i--) {
		uint32_t k = (uint32_t)g_rand_int_range(rand, 0, (gint)i + 1);
		uint32_t swap = s.order[i];

		s.order[i] = s.order[k];
		s.order[k] = swap;
	}
	for (uint32_t i = 0; i < s.count; i++) {
		if (g_rand_int_range(rand, 0, 3))
			s.weights[s.order[i]] =
				unit * g_rand_int_range(rand, 1, 100);
	}
	if (s.weights[s.order[0]] <= 0)
		s.weights[s.order[s.count - 1]] = unit;
	return s;
}

/*
 * Guards against requests to a target whose weight has become 0, and against
 * wrong shares, after any change of the weights, of their unit, and of the
 * number and order of the targets, at any moment.
 */
static void test_changed_weights(void)
{
	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		struct fake_router *f = create_host(seed);
		GRand *rand = g_rand_new_with_seed(seed);

		for (int i = 0; i < 3; i++) {
			struct split s = draw_split(rand);
			struct split_counts early = { 0 };
			struct split_counts all = { 0 };

			publish(f, &s);
			send_requests(f,
				      (uint32_t)g_rand_int_range(rand, 0, 120),
				      &early);
			CU_ASSERT_EQUAL(count_without_weight(&s, &early), 0);
			send_requests(f, SHARE_REQUESTS, &all);
			CU_ASSERT_EQUAL(count_without_weight(&s, &all), 0);
			check_shares(&s, &all);
		}
		g_rand_free(rand);
		fake_router_destroy(f);
	}
}

/*
 * Guards against shares that are wrong over a quick succession of versions,
 * each in force for a few requests only.
 */
static void test_storm_of_versions(void)
{
	for (guint32 seed = 1; seed <= SEEDS / 10; seed++) {
		struct fake_router *f = create_host(seed);
		GRand *rand = g_rand_new_with_seed(seed);
		struct split s = draw_split(rand);
		struct split_counts c = { 0 };

		while (c.total < SHARE_REQUESTS) {
			publish(f, &s);
			send_requests(f, (uint32_t)g_rand_int_range(rand, 1, 4),
				      &c);
		}
		CU_ASSERT_EQUAL(count_without_weight(&s, &c), 0);
		check_shares(&s, &c);
		g_rand_free(rand);
		fake_router_destroy(f);
	}
}

/*
 * Guards against hosts that all begin with the same target: with many hosts,
 * each gets only a few of a route's requests.
 */
static void test_few_requests_at_each_host(void)
{
	for (guint32 seed = 1; seed <= 10; seed++) {
		GRand *rand = g_rand_new_with_seed(seed);
		struct split s = draw_split(rand);
		struct split_counts c = { 0 };

		for (guint32 host = 0; host < SHARE_REQUESTS; host++) {
			struct fake_router *f =
				create_host(seed * SHARE_REQUESTS + host);

			publish(f, &s);
			send_requests(f, 1, &c);
			fake_router_destroy(f);
		}
		CU_ASSERT_EQUAL(count_without_weight(&s, &c), 0);
		check_shares(&s, &c);
		g_rand_free(rand);
	}
}

static int decode_weights(const char *a, const char *b,
			  struct route_table **out)
{
	char message[128] = "";
	char *text = g_strdup_printf(
		"{\"version\":1,\"services\":[{\"name\":\"a\"},"
		"{\"name\":\"b\"}],\"routes\":[{\"name\":\"r\","
		"\"host\":\"example\",\"prefix\":\"/\",\"kind\":"
		"\"safe\",\"timeout_ms\":1000,\"traffic_split\":["
		"{\"service\":\"a\",\"weight\":%s},"
		"{\"service\":\"b\",\"weight\":%s}]}]}",
		a, b);
	int ret = platform_decode_routes(text, strlen(text), out, message,
					 sizeof(message));

	CU_ASSERT_EQUAL(ret != 0, *message != 0);
	g_free(text);
	return ret;
}

/*
 * Guards against a configuration that is refused, and so never in force, for
 * the unit of its weights, and against weights that round to 0.
 */
static void test_decoded_weights(void)
{
	static const char *const pairs[][2] = {
		{ "1", "3" },
		{ "0.25", "0.75" },
		{ "0.0001", "0.0003" },
		{ "1e-9", "3e-9" },
		{ "3000000", "9000000" },
		{ "4000000000", "12000000000" },
		{ "1e30", "3e30" },
	};
	static const char *const refused[][2] = {
		{ "0", "0" },	 { "-1", "2" },	       { "\"1\"", "1" },
		{ "null", "1" }, { "1e308", "1e308" },
	};
	struct route_table *t;

	for (size_t i = 0; i < G_N_ELEMENTS(pairs); i++) {
		const struct route_target *targets;

		CU_ASSERT_FATAL(!decode_weights(pairs[i][0], pairs[i][1], &t));
		targets = t->routes[0].targets;
		CU_ASSERT_DOUBLE_EQUAL(targets[1].weight / targets[0].weight, 3,
				       1e-6);
		route_table_unref(t);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(refused); i++)
		CU_ASSERT_EQUAL(decode_weights(refused[i][0], refused[i][1],
					       &t),
				-ERR_ROUTE_TABLE);
}

CU_TestInfo route_split_tests[] = {
	{ "changed weights", test_changed_weights },
	{ "storm of versions", test_storm_of_versions },
	{ "few requests at each host", test_few_requests_at_each_host },
	{ "decoded weights", test_decoded_weights },
	CU_TEST_INFO_NULL,
};
