#include "suites.h"

#include <stdio.h>
#include <string.h>

#include "fake_router.h"

/*
 * Explores orders of events at the router: every order up to a depth on a route
 * that must not be repeated, then longer random ones on all routes. After each
 * event the promises to callers are checked; a schedule that breaks one is
 * printed.
 */

#define DEPTH 5
#define RANDOM_SCHEDULES 1500
#define RANDOM_STEPS 80
#define REQUESTS_MAX 128
#define SCHEDULE_MAX (RANDOM_STEPS + 1)

enum action {
	ACTION_PUT,
	ACTION_ANSWERED,
	ACTION_NOT_RUN,
	ACTION_NOT_SENT,
	ACTION_BROKEN,
	ACTION_MISDIRECTED,
	ACTION_FAILURE,
	ACTION_WAIT_SHORT,
	ACTION_WAIT_LONG,
	ACTION_DRAIN,
	/* Only in random schedules. */
	ACTION_DECLINED,
	ACTION_GET,
	ACTION_SEARCH,
	ACTION_CANCEL,
	ACTION_REMOVE,
	ACTION_RESTART_LEAF,
	ACTION_COUNT,
};

#define EXHAUSTIVE_ACTIONS (ACTION_DRAIN + 1)

struct request {
	uint64_t id;
	bool is_put;
	bool is_left;
	uint32_t answers;
	unsigned int status;
	/** Calls that a leaf may have run. */
	uint32_t runs;
};

struct explorer {
	struct fake_router *f;
	struct request requests[REQUESTS_MAX];
	uint32_t count;
	uint32_t checked_answers;
	uint32_t seen_calls;
	int64_t sequence;
	/** Time from which each of the leaves of s0 gets no calls; 0 if it may.
	 */
	int64_t gone_us[3];
	const char *broken;
	enum action schedule[SCHEDULE_MAX];
	uint32_t steps;
};

static const char *const leaf_ids[] = { "s0-a", "s0-b", "s0-c" };
static const char *const leaf_domains[] = { "a", "b", "c" };

static void require(struct explorer *e, bool holds, const char *promise)
{
	if (!holds && !e->broken)
		e->broken = promise;
}

static struct request *find_request(struct explorer *e, const char *id)
{
	uint32_t number = (uint32_t)g_ascii_strtoull(id + 1, NULL, 10);

	return &e->requests[number - 1];
}

static void start(struct explorer *e, const char *path, bool is_put)
{
	struct request *q = &e->requests[e->count];

	if (e->count == REQUESTS_MAX)
		return;
	e->count++;
	q->is_put = is_put;
	q->id = fake_router_start(e->f, path, 0);
}

static void end_call(struct explorer *e, enum call_outcome outcome)
{
	struct fake_router *f = e->f;
	uint32_t i = 0;

	while (i < f->call_count && !f->calls[i].is_open)
		i++;
	if (i == f->call_count)
		return;
	/* What did not run is no run, whatever the router makes of it. */
	if (outcome == CALL_NOT_RUN || outcome == CALL_NOT_SENT ||
	    outcome == CALL_MISDIRECTED)
		find_request(e, f->calls[i].request_id)->runs--;
	fake_router_end(f, i, outcome,
			outcome == CALL_ANSWERED  ? 200
			: outcome == CALL_FAILURE ? 500
			: outcome == CALL_NOT_RUN ? 503
						  : 0,
			"0123456789abcdef");
}

static void drain_leaf(struct explorer *e)
{
	bool is_draining = !e->gone_us[0];

	fake_router_put(e->f, leaf_ids[0], "s0", leaf_domains[0], is_draining,
			++e->sequence);
	/* The platform permits calls for 3 s after the notice. */
	e->gone_us[0] = is_draining ? e->f->time.now_us + 3 * US_PER_S : 0;
}

static void remove_leaf(struct explorer *e)
{
	leaf_set_remove(router_leaves(e->f->router), leaf_ids[1],
			1200 * US_PER_MS, e->f->time.now_us);
	if (!e->gone_us[1])
		e->gone_us[1] = e->f->time.now_us + 3 * US_PER_S;
}

static void restart_leaf(struct explorer *e)
{
	fake_router_put(e->f, leaf_ids[1], "s0", leaf_domains[1], false,
			++e->sequence);
	e->gone_us[1] = 0;
}

static void cancel(struct explorer *e)
{
	for (uint32_t i = e->count; i-- > 0;) {
		struct request *q = &e->requests[i];

		if (!q->id || q->is_left || q->answers)
			continue;
		q->is_left = true;
		router_cancel(e->f->router, q->id);
		return;
	}
}

static void act(struct explorer *e, enum action action)
{
	static const enum call_outcome outcomes[] = {
		[ACTION_ANSWERED] = CALL_ANSWERED,
		[ACTION_NOT_RUN] = CALL_NOT_RUN,
		[ACTION_NOT_SENT] = CALL_NOT_SENT,
		[ACTION_BROKEN] = CALL_BROKEN,
		[ACTION_MISDIRECTED] = CALL_MISDIRECTED,
		[ACTION_FAILURE] = CALL_FAILURE,
		[ACTION_DECLINED] = CALL_DECLINED,
	};

	switch (action) {
	case ACTION_PUT:
		start(e, "/put/x", true);
		return;
	case ACTION_GET:
		start(e, "/get/x", false);
		return;
	case ACTION_SEARCH:
		start(e, "/search/x", false);
		return;
	case ACTION_WAIT_SHORT:
		fake_router_advance(e->f, 60 * US_PER_MS);
		return;
	case ACTION_WAIT_LONG:
		fake_router_advance(e->f, 1600 * US_PER_MS);
		return;
	case ACTION_DRAIN:
		drain_leaf(e);
		return;
	case ACTION_REMOVE:
		remove_leaf(e);
		return;
	case ACTION_RESTART_LEAF:
		restart_leaf(e);
		return;
	case ACTION_CANCEL:
		cancel(e);
		return;
	default:
		end_call(e, outcomes[action]);
	}
}

/* Calls since the last check: to whom, and for which request. */
static void check_calls(struct explorer *e)
{
	struct fake_router *f = e->f;

	for (; e->seen_calls < f->call_count; e->seen_calls++) {
		const struct fake_call *c = &f->calls[e->seen_calls];
		struct request *q = find_request(e, c->request_id);

		require(e, !q->answers, "no call after the answer");
		require(e, !q->is_left, "no call after the caller has left");
		require(e, !q->is_put || !q->runs,
			"a request that must not be repeated runs once");
		q->runs++;
		for (size_t i = 0; i < G_N_ELEMENTS(leaf_ids); i++)
			require(e,
				strcmp(c->leaf_id, leaf_ids[i]) ||
					!e->gone_us[i] ||
					c->sent_us < e->gone_us[i],
				"a leaf that has left gets no calls");
		require(e, c->remaining_us > 0 && c->remaining_us <= 1500000,
			"a call has no more time than its request");
	}
}

static void check_answers(struct explorer *e)
{
	struct fake_router *f = e->f;

	for (; e->checked_answers < f->answer_count; e->checked_answers++) {
		const struct fake_answer *a =
			&f->answers[e->checked_answers % FAKE_ANSWERS_MAX];
		struct request *q = &e->requests[GPOINTER_TO_UINT(a->user) - 1];

		q->answers++;
		q->status = a->status;
		require(e, q->answers == 1, "a request has one answer");
		require(e, !q->is_left, "a caller that left has no answer");
		require(e, a->status != 503 || a->retry_after_us > 0,
			"a refusal says when to come back");
	}
}

static void check(struct explorer *e)
{
	check_calls(e);
	check_answers(e);
	for (uint32_t i = 0; i < e->count; i++) {
		const struct request *q = &e->requests[i];

		require(e, !q->is_put || q->status != 503 || !q->runs,
			"a refused request has not run and never will");
	}
}

static void run_step(struct explorer *e, enum action action)
{
	uint32_t calls = e->f->call_count;

	e->schedule[e->steps++] = action;
	act(e, action);
	/* A call that replaces one that did not run comes in the same step. */
	if (e->f->call_count - calls > 64)
		require(e, false, "one event causes few calls");
	check(e);
}

static void explorer_begin(struct explorer *e)
{
	memset(e, 0, sizeof(*e));
	e->f = fake_router_create(2);
	e->sequence = 10;
}

/* Every request must end by its deadline, whatever happened before. */
static bool explorer_end(struct explorer *e)
{
	fake_router_advance(e->f, 3 * US_PER_S);
	check(e);
	for (uint32_t i = 0; i < e->count; i++)
		require(e, e->requests[i].answers || e->requests[i].is_left,
			"every request is answered by its deadline");
	fake_router_destroy(e->f);
	if (!e->broken)
		return true;
	printf("\n    broken: %s; schedule:", e->broken);
	for (uint32_t i = 0; i < e->steps; i++)
		printf(" %d", e->schedule[i]);
	printf("\n");
	return false;
}

/* Guards against an order of few events that breaks a promise to callers. */
static void test_all_orders(void)
{
	struct explorer e;
	uint32_t count = 1;
	uint32_t failed = 0;

	for (int i = 0; i < DEPTH - 1; i++)
		count *= EXHAUSTIVE_ACTIONS;
	for (uint32_t n = 0; n < count && failed < 3; n++) {
		uint32_t rest = n;

		explorer_begin(&e);
		run_step(&e, ACTION_PUT);
		for (int i = 0; i < DEPTH - 1; i++) {
			run_step(&e, rest % EXHAUSTIVE_ACTIONS);
			rest /= EXHAUSTIVE_ACTIONS;
		}
		failed += !explorer_end(&e);
	}
	CU_ASSERT_EQUAL(failed, 0);
}

/* Guards against longer orders that break a promise to callers. */
static void test_random_orders(void)
{
	struct explorer e;
	uint32_t failed = 0;

	for (guint32 seed = 1; seed <= RANDOM_SCHEDULES && failed < 3; seed++) {
		GRand *random = g_rand_new_with_seed(seed);

		explorer_begin(&e);
		for (int i = 0; i < RANDOM_STEPS && !e.broken; i++)
			run_step(&e, g_rand_int_range(random, 0, ACTION_COUNT));
		if (!explorer_end(&e)) {
			printf("    seed %u\n", seed);
			failed++;
		}
		g_rand_free(random);
	}
	CU_ASSERT_EQUAL(failed, 0);
}

CU_TestInfo router_schedule_tests[] = {
	{ "all orders", test_all_orders },
	{ "random orders", test_random_orders },
	CU_TEST_INFO_NULL,
};
