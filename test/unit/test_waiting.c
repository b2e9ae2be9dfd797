#include "suites.h"

#include <string.h>

#include "common/errors.h"
#include "fake_router.h"
#include "router/internal.h"

#define RECORD "0123456789abcdef"

static struct fake_router *create_router(uint32_t shards)
{
	struct fake_router *f = fake_router_create(shards);

	router_set_triage(f->router, TRIAGE_ALWAYS);
	return f;
}

static struct upstream_pool *get_pool(struct fake_router *f, const char *name)
{
	return leaf_set_get_pool(router_leaves(f->router), name);
}

static struct route_leaf *find_leaf(struct fake_router *f, const char *id)
{
	return g_hash_table_lookup(router_leaves(f->router)->leaves, id);
}

static const struct fake_answer *last_answer(const struct fake_router *f)
{
	return &f->answers[(f->answer_count - 1) % FAKE_ANSWERS_MAX];
}

/* Starts requests until one waits for a leaf, and returns its id. */
static uint64_t fill_leaves(struct fake_router *f, const char *path)
{
	uint32_t calls;
	uint64_t id;

	do {
		calls = f->call_count;
		id = fake_router_start_request(f, path, 0);
		CU_ASSERT_NOT_EQUAL_FATAL(id, 0);
	} while (f->call_count > calls);
	return id;
}

/* Sends requests whose calls take the given time. */
static void learn(struct fake_router *f, const char *path, int64_t duration_us)
{
	for (int i = 0; i < 40; i++) {
		fake_router_start_request(f, path, 0);
		fake_router_advance(f, duration_us);
		fake_router_answer_all(f);
	}
}

/* Puts a table in force with one organisation, without keys. */
static void apply_organisation(struct fake_router *f, const char *name)
{
	struct route_table *t =
		fake_router_create_table(1, router_version(f->router) + 1);
	char message[128];

	route_table_add_organisations(t, 1);
	t->organisations[0].name = g_strdup(name);
	g_assert(!route_table_seal(t, message, sizeof(message)));
	CU_ASSERT_EQUAL(router_apply_table(f->router, t), 0);
}

static uint64_t start_for(struct fake_router *f, const char *organisation)
{
	struct router_request in = {
		.id = "r",
		.host = "example",
		.path = "/get/x",
		.organisation = organisation,
	};

	return router_start(f->router, &in);
}

/*
 * Guards against a write to freed memory when a request of an organisation
 * starts that is gone from the table since the request began to wait.
 */
static void test_removed_organisation(void)
{
	struct fake_router *f = create_router(1);
	const struct route_request *q;
	uint32_t calls;
	uint64_t id;

	apply_organisation(f, "acme");
	do {
		calls = f->call_count;
		id = start_for(f, "acme");
	} while (f->call_count > calls);
	q = id_table_find(&f->router->requests, id);
	CU_ASSERT_TRUE_FATAL(q && q->organisation_stats);
	if (!q || !q->organisation_stats)
		return;
	router_apply_table(f->router, fake_router_create_table(1, 9));
	fake_router_end_call(f, 0, CALL_ANSWERED, 200, RECORD);
	CU_ASSERT_EQUAL(f->call_count, calls + 1);
	CU_ASSERT_EQUAL(q->organisation_stats->class.started, calls + 1);
	fake_router_answer_all(f);
	CU_ASSERT_EQUAL(f->answer_count, calls + 1);
	fake_router_destroy(f);
}

/*
 * Guards against a part that cannot be answered in time and yet joins a batch
 * of another host, whose leaves then work in vain.
 */
static void test_infeasible_in_batch(void)
{
	struct fake_router *f = create_router(8);
	struct route_leaf *leaf;
	char id[16];

	f->has_other_host = true;
	for (int i = 0; i < 5; i++) {
		g_snprintf(id, sizeof(id), "s%d-a", i);
		leaf_set_remove(router_leaves(f->router), id, 0,
				f->time.now_us);
	}
	for (int i = 0; i < 2; i++) {
		leaf = find_leaf(f, i ? "s0-b" : "s0-c");
		leaf->other_host_calls = i ? 100 : 200;
		leaf->reported_at_us = f->time.now_us;
	}
	fake_router_start_request(f, "/search/x", 0);
	CU_ASSERT_EQUAL(f->batch_shard_count, 4);
	CU_ASSERT_EQUAL(f->call_count, 3);
	fake_router_destroy(f);
}

/*
 * Guards against status 503, "not run", for a request that another host may
 * have run before it was repeated here.
 */
static void test_refused_repeat(void)
{
	struct fake_router *f = create_router(1);
	struct router_request in = {
		.id = "r",
		.host = "example",
		.path = "/get/x",
		.is_repeat = true,
	};

	leaf_set_remove(router_leaves(f->router), "s0-a", 0, f->time.now_us);
	leaf_set_remove(router_leaves(f->router), "s0-b", 0, f->time.now_us);
	leaf_set_remove(router_leaves(f->router), "s0-c", 0, f->time.now_us);
	CU_ASSERT_EQUAL(router_start(f->router, &in), 0);
	CU_ASSERT_EQUAL(f->answers[0].status, 502);
	fake_router_destroy(f);
}

/*
 * Guards against refusals without load because of a deadline that is shorter
 * than the time that a call is assumed to need at least.
 */
static void test_short_deadline(void)
{
	struct fake_router *f = create_router(1);

	for (uint32_t i = 0; i < 3; i++) {
		fake_router_start_request(f, "/get/x", 12 * US_PER_MS);
		CU_ASSERT_EQUAL(f->call_count, i + 1);
	}
	fake_router_answer_all(f);
	CU_ASSERT_EQUAL(f->answers[2].status, 200);
	fake_router_destroy(f);
}

/* Teaches that the calls of a route take longer than its timeout. */
static void learn_long_work(struct fake_router *f, const char *path)
{
	const struct route *route = router_match(f->router, "example", path);
	struct route_stats *s = route_stats_get(f->router, route);

	for (int i = 0; i < 40; i++) {
		latency_add(&s->call_work, 2 * route->timeout_us);
		work_estimate_add(&s->work, 2 * route->timeout_us,
				  f->time.now_us);
	}
}

/*
 * Guards against a gather that is refused for ever: all of its parts are
 * expected to end after the deadline, and no call corrects the estimate.
 */
static void test_trial_of_gather(void)
{
	struct fake_router *f = create_router(4);
	uint32_t calls;

	learn_long_work(f, "/search/x");
	calls = f->call_count;
	for (int i = 0; i < 40; i++) {
		fake_router_start_request(f, "/search/x", 0);
		fake_router_advance(f, 10 * US_PER_MS);
		fake_router_answer_all(f);
	}
	/* Four a second are tried until the work is known again. */
	CU_ASSERT_TRUE(f->call_count - calls >= 2 * 4);
	CU_ASSERT_EQUAL(last_answer(f)->status, 200);
	fake_router_destroy(f);
}

/*
 * Guards against less urgent requests that are refused although leaves are
 * free, because the deadlines of more urgent ones are too short for their work.
 */
static void test_work_beyond_deadline(void)
{
	struct fake_router *f = create_router(1);
	struct route_table *t = fake_router_create_table(1, 2);

	t->routes[2].priority = 1;
	router_apply_table(f->router, t);
	learn_long_work(f, "/get/x");
	for (int i = 0; i < 40; i++)
		fake_router_start_request(f, "/get/x", 0);
	for (int i = 0; i < 6; i++) {
		uint32_t calls = f->call_count;

		CU_ASSERT_NOT_EQUAL(fake_router_start_request(f, "/put/x", 0),
				    0);
		CU_ASSERT_EQUAL(f->call_count, calls + 1);
	}
	fake_router_destroy(f);
}

/*
 * Guards against a request with a revoked key that stays in the queue while
 * others wait before it.
 */
static void test_revoked_behind_others(void)
{
	struct fake_router *f = create_router(1);
	struct route_table *t = fake_router_create_table(1, 2);
	char message[128];

	route_table_add_organisations(t, 2);
	t->organisations[0].name = g_strdup("acme");
	t->organisations[1].name = g_strdup("bolt");
	g_assert(!route_table_seal(t, message, sizeof(message)));
	router_apply_table(f->router, t);
	for (uint32_t calls = UINT32_MAX; calls != f->call_count;) {
		calls = f->call_count;
		start_for(f, "acme");
	}
	CU_ASSERT_NOT_EQUAL(start_for(f, "bolt"), 0);
	apply_organisation(f, "acme");
	fake_router_advance(f, 55 * US_PER_MS);
	CU_ASSERT_EQUAL_FATAL(f->answer_count, 1);
	CU_ASSERT_EQUAL(f->answers[0].status, 401);
	CU_ASSERT_EQUAL(f->answers[0].code, -ERR_ROUTE_KEY_REVOKED);
	fake_router_destroy(f);
}

/*
 * Guards against a request that stays in the queue until a host that stops is
 * gone, because others wait before it which can still be answered.
 */
static void test_stop_behind_others(void)
{
	struct fake_router *f = create_router(1);
	uint32_t answers;

	learn(f, "/put/x", 400 * US_PER_MS);
	learn(f, "/get/x", 20 * US_PER_MS);
	fill_leaves(f, "/put/x");
	CU_ASSERT_NOT_EQUAL(fake_router_start_request(f, "/get/x", 0), 0);
	answers = f->answer_count;
	router_stop_at(f->router, f->time.now_us + 500 * US_PER_MS);
	fake_router_advance(f, 150 * US_PER_MS);
	CU_ASSERT_EQUAL(f->answer_count, answers + 1);
	CU_ASSERT_EQUAL(last_answer(f)->status, 503);
	CU_ASSERT_EQUAL(last_answer(f)->code, -ERR_ROUTE_STOPPING);
	CU_ASSERT_PTR_NOT_EQUAL(last_answer(f)->user,
				GUINT_TO_POINTER(f->request_count));
	fake_router_destroy(f);
}

/*
 * Guards against requests that are refused to make room for a gather which
 * cannot be answered, because other shards have no leaf.
 */
static void test_displaced_in_vain(void)
{
	struct fake_router *f = create_router(4);
	struct route_table *t = fake_router_create_table(4, 2);
	struct route *large = &t->routes[1];
	char id[16];

	large->shape = ROUTE_GATHER;
	large->goal_us = 900 * US_PER_MS;
	large->target_count = 2;
	large->targets[0].upstream = 2;
	large->targets[1].upstream = 3;
	router_apply_table(f->router, t);
	for (int i = 0; i < 6; i++) {
		g_snprintf(id, sizeof(id), "s%d-%c", i / 3, 'a' + i % 3);
		leaf_set_remove(router_leaves(f->router), id, 0,
				f->time.now_us);
	}
	while (fake_router_start_request(f, "/get/x", 0))
		;
	CU_ASSERT_EQUAL(f->answer_count, 1);
	CU_ASSERT_EQUAL(fake_router_start_request(f, "/search/x", 0), 0);
	CU_ASSERT_EQUAL(f->answer_count, 2);
	fake_router_destroy(f);
}

/*
 * Guards against the part of a batch, which may use the leaves of one failure
 * domain only, that makes all waits at the upstream look longer.
 */
static void test_drain_with_batch(void)
{
	static const char *const shards[] = { "s0" };
	struct fake_router *f = create_router(1);
	struct router_request in = {
		.id = "b",
		.host = "example",
		.path = "/search/x",
		.goal_us = 100 * US_PER_MS,
		.shards = shards,
		.shard_count = 1,
	};
	double drain;

	fill_leaves(f, "/get/x");
	drain = get_pool(f, "s0")->drain;
	CU_ASSERT_TRUE(drain > 0);
	router_start(f->router, &in);
	CU_ASSERT_TRUE(get_pool(f, "s0")->drain >= 0.9 * drain);
	fake_router_destroy(f);
}

/*
 * Guards against extra calls in proportion to requests that were refused in the
 * queue: no call was sent for them.
 */
static void test_budget_without_refused(void)
{
	struct fake_router *f = create_router(1);

	fill_leaves(f, "/get/x");
	fake_router_start_request(f, "/get/x", 0);
	fake_router_start_request(f, "/get/x", 0);
	CU_ASSERT_EQUAL(get_pool(f, "s0")->extra.first_sum, f->call_count);
	fake_router_end_call(f, 0, CALL_ANSWERED, 200, RECORD);
	CU_ASSERT_EQUAL(get_pool(f, "s0")->extra.first_sum, f->call_count);
	fake_router_destroy(f);
}

/*
 * Guards against a wait that is too long for the type of times and then counts
 * as none: the leaves name limits that permit next to nothing.
 */
static void test_endless_wait(void)
{
	struct fake_router *f = create_router(1);
	struct upstream_pool *pool = get_pool(f, "s0");
	const struct route_request *q;

	q = id_table_find(&f->router->requests, fill_leaves(f, "/get/x"));
	pool->drain = 1e-19;
	triage_queue_note_taken(&pool->waiting, 0, US_PER_S, f->time.now_us);
	CU_ASSERT_TRUE(waiting_time(f->router, &q->parts[0]) > US_PER_S);
	fake_router_destroy(f);
}

/*
 * Guards against less urgent calls of a route whose work has grown tenfold that
 * occupy all slots.
 */
static void test_long_calls(void)
{
	struct fake_router *f = create_router(1);
	struct route_table *t = fake_router_create_table(1, 2);
	uint32_t calls;

	t->routes[2].priority = 1;
	t->routes[2].goal_us = US_PER_S;
	router_apply_table(f->router, t);
	learn(f, "/put/x", 400 * US_PER_MS);
	learn(f, "/get/x", 20 * US_PER_MS);
	get_pool(f, "s0")->drain = 3;
	calls = f->call_count;
	for (int i = 0; i < 40; i++)
		fake_router_start_request(f, "/put/x", 0);
	/* Half of the four slots of each of three leaves. */
	CU_ASSERT_EQUAL(f->call_count - calls, 3 * 2);
	CU_ASSERT_NOT_EQUAL(fake_router_start_request(f, "/get/x", 0), 0);
	CU_ASSERT_EQUAL(f->call_count - calls, 3 * 2 + 1);
	fake_router_destroy(f);
}

/*
 * Guards against callers that are told to repeat a request after its goal while
 * most requests of the route are refused.
 */
static void test_hopeless_repeat(void)
{
	struct fake_router *f = create_router(1);
	int64_t timeout = 1500 * US_PER_MS;

	learn(f, "/get/x", 270 * US_PER_MS);
	for (int i = 0; i < 100; i++)
		fake_router_start_request(f, "/get/x", 0);
	CU_ASSERT_EQUAL(last_answer(f)->status, 503);
	CU_ASSERT_TRUE(last_answer(f)->retry_after_us > timeout / 3);
	CU_ASSERT_TRUE(last_answer(f)->retry_after_us <= timeout);
	fake_router_destroy(f);
}

/*
 * Guards against requests that wait behind calls which have become ten times as
 * long, because none of these calls has ended yet.
 */
static void test_overdue(void)
{
	struct fake_router *f = create_router(1);

	learn(f, "/get/x", 20 * US_PER_MS);
	fill_leaves(f, "/get/x");
	CU_ASSERT_NOT_EQUAL(fake_router_start_request(f, "/get/x", 0), 0);
	fake_router_advance(f, 160 * US_PER_MS);
	CU_ASSERT_EQUAL(fake_router_start_request(f, "/get/x", 0), 0);
	CU_ASSERT_EQUAL(last_answer(f)->status, 503);
	fake_router_destroy(f);
}

/*
 * Guards against requests that are refused for one which cannot be answered in
 * time all the same.
 */
static void test_displaced_for_late(void)
{
	struct fake_router *f = create_router(1);
	struct route_request *q;
	uint32_t waiting;

	learn(f, "/get/x", 25 * US_PER_MS);
	learn(f, "/search/x", 20 * US_PER_MS);
	f->answer_count = 0;
	fill_leaves(f, "/get/x");
	for (int i = 0; i < 6; i++)
		fake_router_start_request(f, "/get/x", 0);
	q = id_table_find(&f->router->requests,
			  fake_router_start_request(f, "/search/x", 0));
	CU_ASSERT_PTR_NOT_NULL_FATAL(q);
	waiting = triage_queue_count(&get_pool(f, "s0")->waiting);
	CU_ASSERT_TRUE(waiting >= 8);
	CU_ASSERT_TRUE(waiting_displace(f->router, &q->parts[0]));
	q->goal_at_us = f->time.now_us;
	CU_ASSERT_FALSE(waiting_displace(f->router, &q->parts[0]));
	CU_ASSERT_EQUAL(triage_queue_count(&get_pool(f, "s0")->waiting),
			waiting);
	/* The queue is as before. */
	CU_ASSERT_EQUAL(get_pool(f, "s0")->waiting.refusal.count, waiting);
	fake_router_destroy(f);
}

/*
 * Guards against a request that does not start although a leaf is free, because
 * parts for the leaves of another failure domain wait before it.
 */
static void test_hidden_by_blocked(void)
{
	static const char *const shards[] = { "s0" };
	struct fake_router *f = create_router(1);
	struct router_request in = {
		.id = "b",
		.host = "example",
		.path = "/search/x",
		.goal_us = 150 * US_PER_MS,
		.shards = shards,
		.shard_count = 1,
	};
	uint32_t calls;
	uint32_t at = 0;

	learn(f, "/search/x", 5 * US_PER_MS);
	learn(f, "/get/x", 5 * US_PER_MS);
	calls = f->call_count;
	router_cancel(f->router, fill_leaves(f, "/get/x"));
	for (int i = 0; i < 12; i++)
		CU_ASSERT_NOT_EQUAL(router_start(f->router, &in), 0);
	CU_ASSERT_NOT_EQUAL(fake_router_start_request(f, "/get/x", 0), 0);
	CU_ASSERT_EQUAL(triage_queue_count(&get_pool(f, "s0")->waiting), 13);
	for (uint32_t i = calls; i < f->call_count; i++) {
		if (!strcmp(f->calls[i].leaf->entry.id, "s0-b"))
			at = i;
	}
	CU_ASSERT_TRUE_FATAL(at > 0);
	calls = f->call_count;
	fake_router_end_call(f, at, CALL_ANSWERED, 200, RECORD);
	CU_ASSERT_EQUAL(f->call_count, calls + 1);
	CU_ASSERT_EQUAL(triage_queue_count(&get_pool(f, "s0")->waiting), 12);
	fake_router_destroy(f);
}

/*
 * Guards against more limits than are remembered: the attempt to start a part
 * without limits may show that its call is a long one.
 */
static void test_too_many_limits(void)
{
	struct fake_router *f = create_router(1);
	struct route_table *t = fake_router_create_table(1, 2);
	struct upstream_pool *pool = get_pool(f, "s0");
	struct route_request *q;

	t->routes[1].regions = g_strsplit("north,south", ",", -1);
	t->routes[2].priority = 1;
	t->routes[2].goal_us = US_PER_S;
	router_apply_table(f->router, t);
	learn(f, "/put/x", 400 * US_PER_MS);
	learn(f, "/get/x", 20 * US_PER_MS);
	fill_leaves(f, "/get/x");
	for (int i = 0; i < 7; i++)
		fake_router_start_request(f, "/get/x", 0);
	q = id_table_find(&f->router->requests,
			  fake_router_start_request(f, "/put/x", 0));
	CU_ASSERT_PTR_NOT_NULL_FATAL(q);
	CU_ASSERT_EQUAL_FATAL(triage_queue_count(&pool->waiting), 9);
	for (uint32_t i = 0; i < 9; i++) {
		struct triage_entry *e = triage_queue_at(&pool->waiting, i);
		struct route_part *p = HEAP_OWNER(e, struct route_part, entry);

		/* Regions without a leaf tell the limits apart. */
		if (p->request != q)
			p->request->regions |= 1ULL << (40 + i);
	}
	pool->drain = 1000;
	pool->drain_at_us = f->time.now_us;
	CU_ASSERT_FALSE(waiting_is_long(f->router, &q->parts[0]));
	waiting_start_pool(f->router, pool);
	CU_ASSERT_TRUE(waiting_is_long(f->router, &q->parts[0]));
	CU_ASSERT_EQUAL(triage_queue_count(&pool->waiting), 9);
	fake_router_destroy(f);
}

/*
 * Guards against a request of another host that is handed back after something
 * has run, without triage, or when it can no longer meet its goal.
 */
static void test_hand_back(void)
{
	struct fake_router *f = create_router(1);
	const struct route *route =
		router_match(f->router, "example", "/search/x");
	struct router_answer a = { .status = 503, .code = -ERR_ROUTE_LATE };
	struct router_way way = {
		.goal_us = 100 * US_PER_MS,
		.wait_us = US_PER_S,
	};

	learn(f, "/search/x", 60 * US_PER_MS);
	CU_ASSERT_TRUE(router_hands_back(f->router, &a));
	CU_ASSERT_TRUE(router_may_retry_forward(f->router, route, &way));
	way.goal_us = 40 * US_PER_MS;
	CU_ASSERT_FALSE(router_may_retry_forward(f->router, route, &way));
	way.goal_us = 100 * US_PER_MS;
	a.status = 502;
	CU_ASSERT_FALSE(router_hands_back(f->router, &a));
	a.status = 503;
	a.code = -ERR_ROUTE_STOPPING;
	CU_ASSERT_FALSE(router_hands_back(f->router, &a));
	a.code = -ERR_ROUTE_LATE;
	router_set_triage(f->router, TRIAGE_NEVER);
	CU_ASSERT_FALSE(router_hands_back(f->router, &a));
	CU_ASSERT_FALSE(router_may_retry_forward(f->router, route, &way));
	fake_router_destroy(f);
}

CU_TestInfo waiting_tests[] = {
	{ "removed organisation", test_removed_organisation },
	{ "infeasible in batch", test_infeasible_in_batch },
	{ "refused repeat", test_refused_repeat },
	{ "short deadline", test_short_deadline },
	{ "trial of gather", test_trial_of_gather },
	{ "work beyond deadline", test_work_beyond_deadline },
	{ "revoked behind others", test_revoked_behind_others },
	{ "stop behind others", test_stop_behind_others },
	{ "displaced in vain", test_displaced_in_vain },
	{ "drain with batch", test_drain_with_batch },
	{ "budget without refused", test_budget_without_refused },
	{ "endless wait", test_endless_wait },
	{ "long calls", test_long_calls },
	{ "overdue", test_overdue },
	{ "hand back", test_hand_back },
	{ "displaced for late", test_displaced_for_late },
	{ "hidden by blocked", test_hidden_by_blocked },
	{ "too many limits", test_too_many_limits },
	{ "hopeless repeat", test_hopeless_repeat },
	CU_TEST_INFO_NULL,
};
