#include "suites.h"

#include <stdio.h>
#include <string.h>

#include "fake_router.h"

/*
 * Runs the router through orders of events: every order up to DEPTH on a route
 * that is not idempotent, then longer random ones on all routes. The guarantees
 * to callers are checked after each event; a schedule that violates one is
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
	bool is_cancelled;
	uint32_t answers;
	unsigned int status;
	/** Calls that a leaf may have run. */
	uint32_t runs;
};

struct explorer {
	struct fake_router *f;
	struct request requests[REQUESTS_MAX];
	uint32_t request_count;
	uint32_t checked_answers;
	uint32_t checked_calls;
	int64_t sequence;
	/** Time from which each leaf of s0 must get no calls; 0 if none. */
	int64_t no_calls_from_us[3];
	/** First guarantee that was violated, or NULL. */
	const char *violated;
	enum action schedule[SCHEDULE_MAX];
	uint32_t step_count;
};

static const char *const leaf_ids[] = { "s0-a", "s0-b", "s0-c" };
static const char *const leaf_domains[] = { "a", "b", "c" };

static void check_guarantee(struct explorer *e, bool holds,
			    const char *guarantee)
{
	if (!holds && !e->violated)
		e->violated = guarantee;
}

static struct request *find_request(struct explorer *e, const char *id)
{
	uint32_t number = (uint32_t)g_ascii_strtoull(id + 1, NULL, 10);

	return &e->requests[number - 1];
}

static void start_request(struct explorer *e, const char *path, bool is_put)
{
	struct request *q = &e->requests[e->request_count];

	if (e->request_count == REQUESTS_MAX)
		return;
	e->request_count++;
	q->is_put = is_put;
	q->id = fake_router_start_request(e->f, path, 0);
}

static void end_call(struct explorer *e, enum call_outcome outcome)
{
	struct fake_router *f = e->f;
	uint32_t i = 0;

	while (i < f->call_count && !f->calls[i].is_open)
		i++;
	if (i == f->call_count)
		return;
	/* The explorer counts runs itself, independently of the router. */
	if (outcome == CALL_NOT_RUN || outcome == CALL_NOT_SENT ||
	    outcome == CALL_MISDIRECTED)
		find_request(e, f->calls[i].request_id)->runs--;
	fake_router_end_call(f, i, outcome,
			     outcome == CALL_ANSWERED  ? 200
			     : outcome == CALL_FAILURE ? 500
			     : outcome == CALL_NOT_RUN ? 503
						       : 0,
			     "0123456789abcdef");
}

static void drain_leaf(struct explorer *e)
{
	bool is_draining = !e->no_calls_from_us[0];

	fake_router_put_leaf(e->f, leaf_ids[0], "s0", leaf_domains[0],
			     is_draining, ++e->sequence);
	/* The platform permits calls for 3 s after a leaf starts to drain. */
	e->no_calls_from_us[0] = is_draining ? e->f->time.now_us + 3 * US_PER_S
					     : 0;
}

static void remove_leaf(struct explorer *e)
{
	leaf_set_remove(router_leaves(e->f->router), leaf_ids[1],
			1200 * US_PER_MS, e->f->time.now_us);
	if (!e->no_calls_from_us[1])
		e->no_calls_from_us[1] = e->f->time.now_us + 3 * US_PER_S;
}

static void restart_leaf(struct explorer *e)
{
	fake_router_put_leaf(e->f, leaf_ids[1], "s0", leaf_domains[1], false,
			     ++e->sequence);
	e->no_calls_from_us[1] = 0;
}

static void cancel_newest(struct explorer *e)
{
	for (uint32_t i = e->request_count; i-- > 0;) {
		struct request *q = &e->requests[i];

		if (!q->id || q->is_cancelled || q->answers)
			continue;
		q->is_cancelled = true;
		router_cancel(e->f->router, q->id);
		return;
	}
}

static void run_action(struct explorer *e, enum action action)
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
		start_request(e, "/put/x", true);
		return;
	case ACTION_GET:
		start_request(e, "/get/x", false);
		return;
	case ACTION_SEARCH:
		start_request(e, "/search/x", false);
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
		cancel_newest(e);
		return;
	default:
		end_call(e, outcomes[action]);
	}
}

/* Checks the leaf and the request of each call since the last check. */
static void check_calls(struct explorer *e)
{
	struct fake_router *f = e->f;

	for (; e->checked_calls < f->call_count; e->checked_calls++) {
		const struct fake_call *c = &f->calls[e->checked_calls];
		struct request *q = find_request(e, c->request_id);

		check_guarantee(e, !q->answers, "no call after the answer");
		check_guarantee(e, !q->is_cancelled,
				"no call after the caller has left");
		check_guarantee(
			e, !q->is_put || !q->runs,
			"a request that must not be repeated runs once");
		q->runs++;
		for (size_t i = 0; i < G_N_ELEMENTS(leaf_ids); i++)
			check_guarantee(e,
					strcmp(c->leaf_id, leaf_ids[i]) ||
						!e->no_calls_from_us[i] ||
						c->sent_us <
							e->no_calls_from_us[i],
					"a leaf that has left gets no calls");
		check_guarantee(
			e, c->remaining_us > 0 && c->remaining_us <= 1500000,
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
		check_guarantee(e, q->answers == 1, "a request has one answer");
		check_guarantee(e, !q->is_cancelled,
				"a caller that left has no answer");
		check_guarantee(e, a->status != 503 || a->retry_after_us > 0,
				"a refusal has a retry delay");
	}
}

static void check_all(struct explorer *e)
{
	check_calls(e);
	check_answers(e);
	for (uint32_t i = 0; i < e->request_count; i++) {
		const struct request *q = &e->requests[i];

		check_guarantee(e, !q->is_put || q->status != 503 || !q->runs,
				"a refused request has not run and never will");
	}
}

static void run_step(struct explorer *e, enum action action)
{
	uint32_t calls = e->f->call_count;

	e->schedule[e->step_count++] = action;
	run_action(e, action);
	/* A retry of a call that was not run is sent in the same step. */
	if (e->f->call_count - calls > 64)
		check_guarantee(e, false, "one event causes few calls");
	check_all(e);
}

static void explorer_init(struct explorer *e)
{
	memset(e, 0, sizeof(*e));
	e->f = fake_router_create(2);
	e->sequence = 10;
}

/* Checks that every request ends by its deadline; returns false on failure. */
static bool explorer_finish(struct explorer *e)
{
	fake_router_advance(e->f, 3 * US_PER_S);
	check_all(e);
	for (uint32_t i = 0; i < e->request_count; i++)
		check_guarantee(e,
				e->requests[i].answers ||
					e->requests[i].is_cancelled,
				"every request is answered by its deadline");
	fake_router_destroy(e->f);
	if (!e->violated)
		return true;
	printf("\n    violated: %s; schedule:", e->violated);
	for (uint32_t i = 0; i < e->step_count; i++)
		printf(" %d", e->schedule[i]);
	printf("\n");
	return false;
}

/* Guards against a short order of events that violates a guarantee. */
static void test_all_orders(void)
{
	struct explorer e;
	uint32_t count = 1;
	uint32_t failed = 0;

	for (int i = 0; i < DEPTH - 1; i++)
		count *= EXHAUSTIVE_ACTIONS;
	for (uint32_t n = 0; n < count && failed < 3; n++) {
		uint32_t rest = n;

		explorer_init(&e);
		run_step(&e, ACTION_PUT);
		for (int i = 0; i < DEPTH - 1; i++) {
			run_step(&e, rest % EXHAUSTIVE_ACTIONS);
			rest /= EXHAUSTIVE_ACTIONS;
		}
		failed += !explorer_finish(&e);
	}
	CU_ASSERT_EQUAL(failed, 0);
}

/* Guards against longer orders of events that violate a guarantee. */
static void test_random_orders(void)
{
	struct explorer e;
	uint32_t failed = 0;

	for (guint32 seed = 1; seed <= RANDOM_SCHEDULES && failed < 3; seed++) {
		GRand *random = g_rand_new_with_seed(seed);

		explorer_init(&e);
		for (int i = 0; i < RANDOM_STEPS && !e.violated; i++)
			run_step(&e, g_rand_int_range(random, 0, ACTION_COUNT));
		if (!explorer_finish(&e)) {
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
