#include "suites.h"

#include <string.h>

#include "common/errors.h"
#include "common/events.h"
#include "fake_router.h"
#include "router/internal.h"

#define SEEDS 400
/* Calls after which the duration of a route is known. */
#define LEARNED_CALLS 40
#define REFUSAL_MAX 1024
/* Largest amount by which a duration may be taken for longer than it is. */
#define BIN_GROWTH 1.2

/* Sends requests whose calls take the given time. */
static void learn(struct fake_router *f, const char *path, int64_t duration_us)
{
	for (uint32_t i = 0; i < LEARNED_CALLS; i++) {
		fake_router_start_request(f, path, 0);
		fake_router_advance(f, duration_us);
		fake_router_answer_all(f);
	}
}

static const struct fake_answer *last_answer(const struct fake_router *f)
{
	return &f->answers[(f->answer_count - 1) % FAKE_ANSWERS_MAX];
}

/*
 * Guards against a late request that is passed on although its work lasts
 * beyond the stop, and against refusals of those whose work does not.
 */
static void test_late_request(void)
{
	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		struct fake_router *f = fake_router_create_seeded(1, seed);
		GRand *rand = g_rand_new_with_seed(seed);
		int64_t work = g_rand_int_range(rand, 5, 1000) * US_PER_MS;
		int64_t left = g_rand_int_range(rand, 0, 1400) * US_PER_MS;
		uint32_t before;

		learn(f, "/put/x", work);
		router_stop_at(f->router, f->time.now_us + left);
		before = f->call_count;
		fake_router_start_request(f, "/put/x", 0);
		if (work > left) {
			CU_ASSERT_EQUAL(f->call_count, before);
			CU_ASSERT_EQUAL(last_answer(f)->status, 503);
			CU_ASSERT_EQUAL(last_answer(f)->code,
					-ERR_ROUTE_STOPPING);
			CU_ASSERT(last_answer(f)->retry_after_us > 0);
		} else if ((double)left >
			   BIN_GROWTH * (double)work + 50 * US_PER_MS) {
			CU_ASSERT_EQUAL(f->call_count, before + 1);
			fake_router_advance(f, work);
			fake_router_answer_all(f);
			CU_ASSERT_EQUAL(last_answer(f)->status, 200);
		}
		g_rand_free(rand);
		fake_router_destroy(f);
	}
}

/* Guards against a route of unknown duration that is taken at the last moment. */
static void test_unknown_duration(void)
{
	static const char *const paths[] = { "/put/x", "/get/x", "/search/x" };

	for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
		struct fake_router *f = fake_router_create(3);

		router_stop_at(f->router, f->time.now_us + 200 * US_PER_MS);
		fake_router_start_request(f, paths[i], 0);
		CU_ASSERT_EQUAL(f->call_count, 0);
		CU_ASSERT_EQUAL(last_answer(f)->status, 503);
		fake_router_destroy(f);
	}
}

/*
 * Guards against a request that may have run and gets no answer, or one that
 * says "not run", at the end of a stop.
 */
static void test_running_at_stop(void)
{
	struct fake_router *f = fake_router_create(4);
	int64_t stop;

	fake_router_start_request(f, "/put/x", 0);
	fake_router_start_request(f, "/get/x", 0);
	/* The answers of three shards of four are enough, of two are not. */
	fake_router_start_request(f, "/search/x", 0);
	for (uint32_t i = 2; i < 5; i++)
		fake_router_end_call(f, i, CALL_ANSWERED, 200, "");
	fake_router_start_request(f, "/search/x", 0);
	fake_router_end_call(f, 6, CALL_ANSWERED, 200, "");
	CU_ASSERT_EQUAL(f->answer_count, 0);
	stop = f->time.now_us + 150 * US_PER_MS;
	router_stop_at(f->router, stop);
	fake_router_advance(f, 149 * US_PER_MS);
	CU_ASSERT_EQUAL(f->answer_count, 0);
	fake_router_advance(f, 2 * US_PER_MS);
	CU_ASSERT_EQUAL_FATAL(f->answer_count, 4);
	for (uint32_t i = 0; i < 4; i++) {
		bool is_gathered = GPOINTER_TO_UINT(f->answers[i].user) == 3;

		CU_ASSERT_EQUAL(f->answers[i].status, is_gathered ? 200 : 502);
		CU_ASSERT_EQUAL(f->answers[i].code,
				is_gathered ? 0 : -ERR_ROUTE_STOPPING);
		CU_ASSERT_EQUAL(f->answers[i].retry_after_us, 0);
	}
	CU_ASSERT_EQUAL(router_request_count(f->router), 0);
	fake_router_destroy(f);
}

/* Keeps all leaves of a service busy with requests that do not end. */
static uint32_t fill_leaves(struct fake_router *f, const char *path)
{
	uint32_t waiting = 0;

	while (waiting < 3) {
		uint32_t before = f->call_count;

		if (!fake_router_start_request(f, path, 0))
			break;
		waiting += f->call_count == before;
	}
	return waiting;
}

/*
 * Guards against requests that wait for a leaf until the host is gone: they
 * are refused as not run, in time to go elsewhere, and not passed on any more.
 */
static void test_waiting_at_stop(void)
{
	for (guint32 seed = 1; seed <= SEEDS / 4; seed++) {
		struct fake_router *f = fake_router_create_seeded(1, seed);
		GRand *rand = g_rand_new_with_seed(seed);
		int64_t work = g_rand_int_range(rand, 20, 100) * US_PER_MS;
		int64_t left = g_rand_int_range(rand, 120, 600) * US_PER_MS;
		int64_t stop;
		uint32_t waiting;
		uint32_t sent;

		learn(f, "/put/x", work);
		waiting = fill_leaves(f, "/put/x");
		CU_ASSERT(waiting > 0);
		sent = f->call_count;
		f->answer_count = 0;
		stop = f->time.now_us + left;
		router_stop_at(f->router, stop);
		fake_router_advance(f, left - work + US_PER_MS);
		CU_ASSERT_EQUAL(f->answer_count, waiting);
		for (uint32_t i = 0; i < f->answer_count; i++) {
			CU_ASSERT_EQUAL(f->answers[i].status, 503);
			CU_ASSERT_EQUAL(f->answers[i].code,
					-ERR_ROUTE_STOPPING);
		}
		/* A leaf that becomes free gets none of them. */
		fake_router_answer_all(f);
		CU_ASSERT_EQUAL(f->call_count, sent);
		CU_ASSERT_EQUAL(router_request_count(f->router), 0);
		g_rand_free(rand);
		fake_router_destroy(f);
	}
}

/*
 * Guards against a call that a leaf refused, and that is sent to another leaf
 * at a time when its work no longer ends before the stop.
 */
static void test_refused_call(void)
{
	for (guint32 seed = 1; seed <= SEEDS / 4; seed++) {
		struct fake_router *f = fake_router_create_seeded(1, seed);
		GRand *rand = g_rand_new_with_seed(seed);
		int64_t work = g_rand_int_range(rand, 50, 300) * US_PER_MS;
		bool is_late = seed % 2;
		uint32_t before;

		learn(f, "/put/x", work);
		router_stop_at(f->router, f->time.now_us + 2 * work);
		fake_router_start_request(f, "/put/x", 0);
		before = f->call_count;
		fake_router_advance(f, is_late ? work : work / 4);
		fake_router_end_call(f, before - 1, CALL_NOT_RUN, 503, NULL);
		CU_ASSERT_EQUAL(f->call_count, before + !is_late);
		if (is_late) {
			CU_ASSERT_EQUAL(last_answer(f)->status, 503);
			CU_ASSERT_EQUAL(last_answer(f)->code,
					-ERR_ROUTE_STOPPING);
		}
		g_rand_free(rand);
		fake_router_destroy(f);
	}
}

/* Ends the open calls whose time has come, in one of the ways of leaves. */
static void end_due_calls(struct fake_router *f, GRand *rand,
			  const int64_t *durations)
{
	for (uint32_t i = 0; i < f->call_count; i++) {
		const struct fake_call *c = &f->calls[i];

		if (!c->is_open || f->time.now_us < c->sent_us + durations[i])
			continue;
		switch (g_rand_int_range(rand, 0, 8)) {
		case 0:
			fake_router_end_call(f, i, CALL_NOT_RUN, 503, NULL);
			break;
		case 1:
			fake_router_end_call(f, i, CALL_BROKEN, 0, NULL);
			break;
		default:
			fake_router_end_call(f, i, CALL_ANSWERED, 200, "");
		}
	}
}

/*
 * Guards, over random requests, work, ends and moments of the stop, against a
 * request without exactly one answer when the host is gone.
 */
static void test_every_request_answered(void)
{
	static const char *const paths[] = { "/put/x", "/get/x", "/search/x" };

	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		struct fake_router *f = fake_router_create_seeded(3, seed);
		GRand *rand = g_rand_new_with_seed(seed);
		int64_t durations[FAKE_CALLS_MAX];
		int64_t stop_at = g_rand_int_range(rand, 50, 800);
		int64_t left = g_rand_int_range(rand, 0, 1000);

		for (int i = 0; i < FAKE_CALLS_MAX; i++)
			durations[i] =
				g_rand_int_range(rand, 1, i % 5 ? 100 : 2000) *
				US_PER_MS;
		for (int64_t ms = 0; ms <= stop_at + left; ms++) {
			if (ms == stop_at)
				router_stop_at(f->router,
					       f->time.now_us +
						       left * US_PER_MS);
			if (!g_rand_int_range(rand, 0, 8))
				fake_router_start_request(
					f, paths[g_rand_int_range(rand, 0, 3)],
					g_rand_int_range(rand, 0, 2000) *
						US_PER_MS);
			end_due_calls(f, rand, durations);
			fake_router_advance(f, US_PER_MS);
		}
		CU_ASSERT_EQUAL(f->answer_count, f->request_count);
		CU_ASSERT_EQUAL(router_request_count(f->router), 0);
		g_rand_free(rand);
		fake_router_destroy(f);
	}
}

static void handle_event(void *ctx, enum event_id id, const char *fields)
{
	if (id == EV_REQUEST_REFUSED)
		g_strlcpy(ctx, fields, REFUSAL_MAX);
}

/* Guards against a refusal whose line does not tell what it was decided by. */
static void test_refusal_line(void)
{
	struct fake_router *f = fake_router_create(1);
	char line[REFUSAL_MAX] = "";

	learn(f, "/put/x", 300 * US_PER_MS);
	router_stop_at(f->router, f->time.now_us + 220 * US_PER_MS);
	event_set_sink(handle_event, line);
	fake_router_start_request(f, "/put/x", 0);
	event_set_sink(NULL, NULL);
	/* 20 ms are reserved for the answer; durations are kept in bins. */
	CU_ASSERT_PTR_NOT_NULL(strstr(line, " left_ms=200 expected_ms=3"));
	fake_router_destroy(f);
}

CU_TestInfo router_stop_tests[] = {
	{ "refusal line", test_refusal_line },
	{ "late request", test_late_request },
	{ "unknown duration", test_unknown_duration },
	{ "running at stop", test_running_at_stop },
	{ "waiting at stop", test_waiting_at_stop },
	{ "refused call", test_refused_call },
	{ "every request answered", test_every_request_answered },
	CU_TEST_INFO_NULL,
};
