#include "suites.h"

#include <string.h>

#include "common/errors.h"
#include "fake_router.h"
#include "router/internal.h"

#define RECORD_A "aaaaaaaaaaaaaaaa"
#define RECORD_B "bbbbbbbbbbbbbbbb"
#define RECORD_C "cccccccccccccccc"
#define RECORD_D "dddddddddddddddd"

/* Guards against a merge that loses or repeats records or sorts them wrong. */
static void test_gather_merge(void)
{
	struct fake_router *f = fake_router_create(2);

	fake_router_start_request(f, "/search/x", 0);
	CU_ASSERT_EQUAL(f->call_count, 2);
	fake_router_end_call(f, 0, CALL_ANSWERED, 200,
			     RECORD_B RECORD_A "short");
	CU_ASSERT_EQUAL(f->answer_count, 0);
	fake_router_end_call(f, 1, CALL_ANSWERED, 200,
			     RECORD_A RECORD_D RECORD_B);
	CU_ASSERT_EQUAL(f->answer_count, 1);
	CU_ASSERT_EQUAL(f->answers[0].status, 200);
	CU_ASSERT_EQUAL(f->answers[0].stamp_count, 2);
	CU_ASSERT_EQUAL(f->answers[0].missing_count, 0);
	CU_ASSERT_EQUAL(f->answers[0].body_len, 48);
	CU_ASSERT_NSTRING_EQUAL(f->answers[0].body, RECORD_D RECORD_B RECORD_B,
				48);
	fake_router_destroy(f);
}

/* Guards against one slow shard that delays the whole answer past the goal. */
static void test_gather_goal(void)
{
	struct fake_router *f = fake_router_create(4);

	fake_router_start_request(f, "/search/x", 0);
	for (uint32_t i = 0; i < 3; i++)
		fake_router_end_call(f, i, CALL_ANSWERED, 200, RECORD_A);
	CU_ASSERT_EQUAL(f->answer_count, 0);
	fake_router_advance(f, 300 * US_PER_MS);
	CU_ASSERT_EQUAL(f->answer_count, 1);
	CU_ASSERT_EQUAL(f->answers[0].status, 200);
	CU_ASSERT_EQUAL(f->answers[0].stamp_count, 3);
	CU_ASSERT_EQUAL(f->answers[0].missing_count, 1);
	fake_router_destroy(f);
}

/*
 * Guards against answers below the minimum coverage, and against a gather that
 * keeps waiting after the goal once the minimum is reached.
 */
static void test_gather_coverage(void)
{
	struct fake_router *f = fake_router_create(4);

	fake_router_start_request(f, "/search/x", 0);
	fake_router_end_call(f, 0, CALL_ANSWERED, 200, RECORD_A);
	fake_router_end_call(f, 1, CALL_ANSWERED, 200, RECORD_A);
	fake_router_advance(f, 400 * US_PER_MS);
	CU_ASSERT_EQUAL(f->answer_count, 0);
	for (uint32_t i = 2; i < f->call_count && !f->answer_count; i++)
		fake_router_end_call(f, i, CALL_ANSWERED, 200, RECORD_C);
	CU_ASSERT_EQUAL(f->answer_count, 1);
	CU_ASSERT_EQUAL(f->answers[0].stamp_count, 3);
	fake_router_destroy(f);
}

/* Guards against a request that waits for a stalled leaf without a hedge. */
static void test_hedge(void)
{
	struct fake_router *f = fake_router_create(1);

	fake_router_start_request(f, "/get/x", 0);
	CU_ASSERT_EQUAL(f->call_count, 1);
	CU_ASSERT_STRING_EQUAL(f->calls[0].leaf_id, "s0-a");
	fake_router_advance(f, 200 * US_PER_MS);
	CU_ASSERT_EQUAL(f->call_count, 2);
	CU_ASSERT_STRING_NOT_EQUAL(f->calls[1].leaf_id, "s0-a");
	fake_router_end_call(f, 1, CALL_ANSWERED, 200, RECORD_A);
	CU_ASSERT_EQUAL(f->answer_count, 1);
	CU_ASSERT_TRUE(f->calls[0].is_cancelled);
	fake_router_destroy(f);
}

/* Guards against a request that runs twice though it is not idempotent. */
static void test_not_idempotent(void)
{
	struct fake_router *f = fake_router_create(1);

	fake_router_start_request(f, "/put/x", 0);
	fake_router_advance(f, 1000 * US_PER_MS);
	CU_ASSERT_EQUAL(f->call_count, 1);
	fake_router_end_call(f, 0, CALL_BROKEN, 0, NULL);
	CU_ASSERT_EQUAL(f->call_count, 1);
	CU_ASSERT_EQUAL(f->answers[0].status, 502);
	fake_router_start_request(f, "/put/x", 0);
	fake_router_end_call(f, 1, CALL_NOT_RUN, 503, NULL);
	CU_ASSERT_EQUAL(f->call_count, 3);
	fake_router_end_call(f, 2, CALL_FAILURE, 500, NULL);
	CU_ASSERT_EQUAL(f->answers[1].status, 500);
	CU_ASSERT_EQUAL(f->call_count, 3);
	fake_router_destroy(f);
}

/* Guards against status 503, "not run", for a request that may have run. */
static void test_true_refusal(void)
{
	struct fake_router *f = fake_router_create(1);

	/* The 503 of the leaf does not state that the request was not run. */
	fake_router_start_request(f, "/put/x", 0);
	fake_router_end_call(f, 0, CALL_FAILURE, 503, NULL);
	CU_ASSERT_EQUAL(f->answers[0].status, 502);
	CU_ASSERT_EQUAL(f->answers[0].retry_after_us, 0);
	fake_router_start_request(f, "/put/x", 0);
	for (uint32_t i = 1; i < f->call_count; i++)
		fake_router_end_call(f, i, CALL_NOT_SENT, 0, NULL);
	CU_ASSERT_EQUAL(f->answers[1].status, 503);
	CU_ASSERT(f->answers[1].retry_after_us > 0);
	fake_router_destroy(f);
}

/* Guards against more calls to an address that now belongs to another leaf. */
static void test_misdirected(void)
{
	struct fake_router *f = fake_router_create(1);

	fake_router_start_request(f, "/get/x", 0);
	fake_router_end_call(f, 0, CALL_MISDIRECTED, 421, NULL);
	fake_router_answer_all(f);
	leaf_set_remove(router_leaves(f->router), "s0-b", 0, f->time.now_us);
	leaf_set_remove(router_leaves(f->router), "s0-c", 0, f->time.now_us);
	for (uint32_t i = 0; i < 10; i++) {
		fake_router_advance(f, 500 * US_PER_MS);
		fake_router_start_request(f, "/get/x", 0);
	}
	CU_ASSERT_EQUAL(fake_router_calls_to(f, "s0-a"), 1);
	fake_router_put_leaf(f, "s0-a", "s0", "a", false, 9);
	fake_router_start_request(f, "/get/x", 0);
	CU_ASSERT_EQUAL(fake_router_calls_to(f, "s0-a"), 2);
	fake_router_destroy(f);
}

/* Guards against new calls to a draining leaf. */
static void test_draining(void)
{
	struct fake_router *f = fake_router_create(1);

	fake_router_put_leaf(f, "s0-a", "s0", "a", true, 2);
	/* An older report that arrives later must not end the draining. */
	fake_router_put_leaf(f, "s0-a", "s0", "a", false, 1);
	fake_router_start_request(f, "/get/x", 0);
	CU_ASSERT_STRING_NOT_EQUAL(f->calls[0].leaf_id, "s0-a");
	leaf_set_remove(router_leaves(f->router), "s0-b", 0, f->time.now_us);
	leaf_set_remove(router_leaves(f->router), "s0-c", 0, f->time.now_us);
	fake_router_start_request(f, "/get/x", 0);
	CU_ASSERT_STRING_EQUAL(f->calls[1].leaf_id, "s0-a");
	fake_router_answer_all(f);
	/* The leaf gets no calls after the drain time of 3 s. */
	fake_router_advance(f, 2500 * US_PER_MS);
	fake_router_start_request(f, "/get/x", 0);
	CU_ASSERT_EQUAL(f->call_count, 2);
	CU_ASSERT_EQUAL(f->answers[f->answer_count - 1].status, 503);
	fake_router_destroy(f);
}

/* Guards against more extra calls than the platform permits. */
static void test_extra_calls(void)
{
	struct extra_calls e = { 0 };
	uint32_t extra = 0;

	for (int64_t at = 0; at < 60 * US_PER_S; at += 10 * US_PER_MS) {
		extra_calls_note_first(&e, at);
		for (int i = 0; i < 5; i++)
			extra +=
				extra_calls_take(&e, EXTRA_CAUSE_FAILED, 2, at);
		/* 1,000 first calls in 10 s permit 200. */
		if (at % (10 * US_PER_S) == 0) {
			CU_ASSERT(extra <= 200);
			extra = 0;
		}
	}
}

/*
 * Guards against allowances whose sum over all hosts exceeds the common one,
 * also when other hosts have taken over the gathering within the window.
 */
static void test_allowance(void)
{
	static const uint32_t sizes[][2] = { { 7, 7 },	  { 12, 6 },
					     { 65, 6 },	  { 195, 6 },
					     { 195, 40 }, { 300, 6 },
					     { 2200, 6 }, { 2200, 2200 } };
	struct fake_router *f = fake_router_create(2);
	struct route gather = { .shape = ROUTE_GATHER };
	struct route_request q = { .route = &gather };

	f->router->options.extra_calls = 430;
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		uint32_t hosts = sizes[i][0];
		uint32_t gatherers = sizes[i][1];
		double sum;

		router_set_host_count(f->router, hosts);
		q.gatherers = gatherers;
		sum = gatherers * router_extra_allowance(f->router, &q);
		if (gatherers < hosts)
			sum *= 2;
		q.gatherers = 0;
		sum += (hosts - gatherers) *
		       router_extra_allowance(f->router, &q);
		CU_ASSERT_TRUE(sum <= 430);
		CU_ASSERT_TRUE(sum > 430 * 0.1);
	}
	fake_router_destroy(f);
}

/* Guards against a route table that is replaced by an older version. */
static void test_version(void)
{
	struct fake_router *f = fake_router_create(1);
	struct route_table *t = route_table_create(0, 0);
	char message[64];

	t->version = 1;
	CU_ASSERT_EQUAL(route_table_seal(t, message, sizeof(message)), 0);
	CU_ASSERT_EQUAL(router_apply_table(f->router, t), -ERR_ROUTE_VERSION);
	CU_ASSERT_EQUAL(router_version(f->router), 1);
	fake_router_start_request(f, "/none/x", 0);
	CU_ASSERT_EQUAL(f->answers[0].status, 404);
	fake_router_destroy(f);
}

/* Guards against calls that continue after the caller has disconnected. */
static void test_caller_left(void)
{
	struct fake_router *f = fake_router_create(3);
	uint64_t id = fake_router_start_request(f, "/search/x", 0);

	router_cancel(f->router, id);
	for (uint32_t i = 0; i < f->call_count; i++)
		CU_ASSERT_TRUE(f->calls[i].is_cancelled);
	CU_ASSERT_EQUAL(f->answer_count, 0);
	CU_ASSERT_EQUAL(router_request_count(f->router), 0);
	fake_router_destroy(f);
}

/*
 * Guards against a third call for a shard. Another host may have called a leaf
 * for the request before, and the route allows two attempts.
 */
static void test_repeat(void)
{
	struct fake_router *f = fake_router_create(2);
	struct router_request in = {
		.id = "r1",
		.host = "example",
		.path = "/search/x",
		.is_repeat = true,
	};

	router_start(f->router, &in);
	CU_ASSERT_EQUAL(f->call_count, 2);
	fake_router_end_call(f, 0, CALL_BROKEN, 0, NULL);
	fake_router_advance(f, 200 * US_PER_MS);
	CU_ASSERT_EQUAL(f->call_count, 2);
	CU_ASSERT_EQUAL(f->answers[0].status, 502);
	fake_router_destroy(f);
}

/*
 * Guards against 503 for a request that another host may have run: the status
 * states that nothing has.
 */
static void test_refused_repeat(void)
{
	struct fake_router *f = fake_router_create(2);
	struct router_request in = {
		.id = "r1",
		.host = "example",
		.path = "/search/x",
		.is_repeat = true,
	};

	leaf_set_remove(router_leaves(f->router), "s1-a", 0, f->time.now_us);
	leaf_set_remove(router_leaves(f->router), "s1-b", 0, f->time.now_us);
	leaf_set_remove(router_leaves(f->router), "s1-c", 0, f->time.now_us);
	CU_ASSERT_EQUAL(router_start(f->router, &in), 0);
	CU_ASSERT_EQUAL(f->call_count, 0);
	CU_ASSERT_EQUAL(f->answers[0].status, 502);
	router_stop_at(f->router, f->time.now_us + 1);
	CU_ASSERT_EQUAL(router_start(f->router, &in), 0);
	CU_ASSERT_EQUAL(f->answers[1].status, 502);
	fake_router_destroy(f);
}

/*
 * Guards against wasted calls: if all leaves of a shard are down or full, the
 * minimum coverage cannot be reached, and the other shards must not be called.
 */
static void test_hopeless(void)
{
	struct fake_router *f = fake_router_create(3);

	leaf_set_remove(router_leaves(f->router), "s1-a", 0, f->time.now_us);
	leaf_set_remove(router_leaves(f->router), "s1-b", 0, f->time.now_us);
	leaf_set_remove(router_leaves(f->router), "s1-c", 0, f->time.now_us);
	fake_router_start_request(f, "/search/x", 0);
	CU_ASSERT_EQUAL(f->call_count, 0);
	CU_ASSERT_EQUAL(f->answers[0].status, 503);
	CU_ASSERT(f->answers[0].retry_after_us > 0);
	fake_router_destroy(f);
}

/* Ends every open call: connections to the shard fail, others succeed. */
static void end_calls_with_shard_down(struct fake_router *f,
				      const char *service)
{
	for (uint32_t i = 0; i < f->call_count; i++) {
		if (!f->calls[i].is_open)
			continue;
		if (!strcmp(f->calls[i].service, service))
			fake_router_end_call(f, i, CALL_NOT_SENT, 0, NULL);
		else
			fake_router_end_call(f, i, CALL_ANSWERED, 200,
					     RECORD_A);
	}
}

/*
 * Guards against calls and 502 answers for requests that are certain to fail:
 * all leaves of a shard have crashed and are still in the registry. At the
 * probe interval one request tests whether a leaf is back.
 */
static void test_shard_down(void)
{
	struct fake_router *f = fake_router_create(3);
	uint32_t calls;

	for (int i = 0; i < 4; i++) {
		fake_router_start_request(f, "/search/x", 0);
		end_calls_with_shard_down(f, "s1");
	}
	calls = f->call_count;
	fake_router_start_request(f, "/search/x", 0);
	CU_ASSERT_EQUAL(f->call_count, calls);
	CU_ASSERT_EQUAL(f->answers[f->answer_count - 1].status, 503);
	CU_ASSERT(f->answers[f->answer_count - 1].retry_after_us > 0);
	fake_router_advance(f, 200 * US_PER_MS);
	fake_router_start_request(f, "/search/x", 0);
	CU_ASSERT_EQUAL(f->call_count, calls + 3);
	for (uint32_t i = calls; i < f->call_count; i++)
		fake_router_end_call(f, i, CALL_ANSWERED, 200, RECORD_A);
	CU_ASSERT_EQUAL(f->answers[f->answer_count - 1].status, 200);
	/* The leaf that answered is no longer ejected. */
	fake_router_start_request(f, "/search/x", 0);
	CU_ASSERT_EQUAL(f->call_count, calls + 6);
	fake_router_destroy(f);
}

/*
 * Guards against a backoff that is too short or without jitter. A shard is down
 * for seconds: callers that retry early are refused again, and callers that
 * retry at the same moment cause a burst.
 */
static void test_retry_after(void)
{
	struct fake_router *f = fake_router_create(3);
	int64_t first = INT64_MAX;
	int64_t last = 0;

	for (int i = 0; i < 4; i++) {
		fake_router_start_request(f, "/search/x", 0);
		end_calls_with_shard_down(f, "s1");
	}
	f->answer_count = 0;
	for (int i = 0; i < 50; i++)
		fake_router_start_request(f, "/search/x", 1200 * US_PER_MS);
	for (uint32_t i = 0; i < f->answer_count; i++) {
		CU_ASSERT_EQUAL(f->answers[i].status, 503);
		first = MIN(first, f->answers[i].retry_after_us);
		last = MAX(last, f->answers[i].retry_after_us);
	}
	CU_ASSERT_EQUAL(f->answer_count, 50);
	/* Callers accept delays of at most a third of their remaining time. */
	CU_ASSERT_TRUE(last <= 400 * US_PER_MS);
	CU_ASSERT_TRUE(last > 330 * US_PER_MS);
	CU_ASSERT_TRUE(last - first > 120 * US_PER_MS);
	fake_router_destroy(f);
}

/*
 * Guards against a part that fails when its leaf cannot be reached while the
 * other leaves are busy for a moment: the whole request would fail with it.
 */
static void test_replacement_waits(void)
{
	struct fake_router *f = fake_router_create(1);
	const char *broken;
	uint32_t calls;

	for (int i = 0; i < 12; i++)
		fake_router_start_request(f, "/search/x", 0);
	calls = f->call_count;
	CU_ASSERT_EQUAL(calls, 12);
	broken = f->calls[0].leaf_id;
	fake_router_end_call(f, 0, CALL_NOT_SENT, 0, NULL);
	CU_ASSERT_EQUAL(f->answer_count, 0);
	for (uint32_t i = 1; i < calls; i++) {
		if (strcmp(f->calls[i].leaf_id, broken)) {
			fake_router_end_call(f, i, CALL_ANSWERED, 200,
					     RECORD_A);
			break;
		}
	}
	fake_router_advance(f, 20 * US_PER_MS);
	CU_ASSERT_EQUAL(f->call_count, calls + 1);
	CU_ASSERT_STRING_NOT_EQUAL(f->calls[calls].leaf_id, broken);
	fake_router_end_call(f, calls, CALL_ANSWERED, 200, RECORD_A);
	CU_ASSERT_EQUAL(f->answer_count, 2);
	CU_ASSERT_EQUAL(f->answers[1].status, 200);
	fake_router_destroy(f);
}

/*
 * Guards against a gather that fails because the only leaf of a shard was full
 * for a moment, after the other shards have done their work.
 */
static void test_shed(void)
{
	struct fake_router *f = fake_router_create(1);
	uint32_t calls;

	for (int i = 0; i < 2; i++)
		leaf_set_remove(router_leaves(f->router), i ? "s0-b" : "s0-c",
				0, f->time.now_us);
	fake_router_start_request(f, "/search/x", 0);
	for (uint32_t i = 0; i < 10; i++) {
		fake_router_start_request(f, "/search/x", 0);
		fake_router_end_call(f, f->call_count - 1, CALL_ANSWERED, 200,
				     RECORD_A);
	}
	f->answer_count = 0;
	calls = f->call_count;
	fake_router_end_call(f, 0, CALL_NOT_RUN, 503, NULL);
	CU_ASSERT_EQUAL(f->answer_count, 0);
	/* The leaf is still full, so the retry is delayed. */
	CU_ASSERT_EQUAL(f->call_count, calls);
	fake_router_advance(f, 80 * US_PER_MS);
	CU_ASSERT_EQUAL(f->call_count, calls + 1);
	fake_router_end_call(f, calls, CALL_ANSWERED, 200, RECORD_A);
	CU_ASSERT_EQUAL(f->answer_count, 1);
	CU_ASSERT_EQUAL(f->answers[0].status, 200);
	fake_router_destroy(f);
}

/* Calls that the leaf of test_overload() runs at the same time. */
#define OVERLOAD_SLOTS 4
#define OVERLOAD_CALL_US (60 * US_PER_MS)

/*
 * Ends the calls that the leaf has finished: it runs OVERLOAD_SLOTS at the same
 * time, in order.
 */
static void end_due_calls(struct fake_router *f, int64_t *free_at)
{
	for (uint32_t i = 0; i < f->call_count; i++) {
		uint32_t slot = i % OVERLOAD_SLOTS;

		if (!f->calls[i].is_open ||
		    f->time.now_us < MAX(free_at[slot], f->calls[i].sent_us) +
					     OVERLOAD_CALL_US)
			continue;
		free_at[slot] = f->time.now_us;
		fake_router_end_call(f, i, CALL_ANSWERED, 200, RECORD_A);
	}
}

/*
 * Sends twice the load that the only leaf of a shard can take. Guards against a
 * queue in which every answer is late: requests that cannot be answered within
 * the goal must be refused at once, and the others answered in time.
 */
static void test_overload(void)
{
	struct fake_router *f = fake_router_create(1);
	int64_t free_at[OVERLOAD_SLOTS] = { 0 };
	uint32_t in_time = 0;
	uint32_t refused = 0;
	int64_t sent[FAKE_ANSWERS_MAX];

	leaf_set_remove(router_leaves(f->router), "s0-b", 0, f->time.now_us);
	leaf_set_remove(router_leaves(f->router), "s0-c", 0, f->time.now_us);
	for (uint32_t i = 0; i < 600; i++) {
		sent[i] = f->time.now_us;
		fake_router_start_request(f, "/search/x", 0);
		for (int k = 0; k < 7; k++) {
			fake_router_advance(f, US_PER_MS);
			end_due_calls(f, free_at);
		}
	}
	for (uint32_t i = 0; i < f->answer_count; i++) {
		const struct fake_answer *a = &f->answers[i];
		int64_t took = a->at_us - sent[GPOINTER_TO_UINT(a->user) - 1];

		in_time += a->status == 200 && took <= 300 * US_PER_MS;
		refused += a->status == 503 && !took;
	}
	/* The leaf can run 280 calls in 4.2 s; at least 90 % must be used. */
	CU_ASSERT(in_time >= 252);
	CU_ASSERT(refused > 0);
	CU_ASSERT(f->answer_count - in_time - refused <= 30);
	fake_router_destroy(f);
}

/* Eight shards; the first five have no leaf in the host's failure domain. */
static struct fake_router *create_multi_domain(void)
{
	struct fake_router *f = fake_router_create(8);
	char id[16];

	f->has_other_host = true;
	for (int i = 0; i < 5; i++) {
		g_snprintf(id, sizeof(id), "s%d-a", i);
		leaf_set_remove(router_leaves(f->router), id, 0,
				f->time.now_us);
	}
	return f;
}

/* Guards against parts that are lost, doubled or mixed up between hosts. */
static void test_batch(void)
{
	struct fake_router *f = create_multi_domain();
	const char *shards[] = { "s0", "s1", "s2", "s3" };
	const char *stamps[] = { "t0", "t1", "t2", STAMP_NOT_RUN };
	struct router_batch_result result = {
		.shards = shards,
		.stamps = stamps,
		.count = 4,
		.body = RECORD_D RECORD_A,
		.body_len = 32,
	};

	fake_router_start_request(f, "/search/x", 0);
	CU_ASSERT_EQUAL(f->batch_shard_count, 5);
	CU_ASSERT_EQUAL(f->call_count, 3);
	for (uint32_t i = 0; i < 3; i++)
		fake_router_end_call(f, i, CALL_ANSWERED, 200, RECORD_B);
	result.id = f->batch_id;
	router_handle_batch_result(f->router, &result);
	fake_router_advance(f, US_PER_MS);
	/* This host calls s3 at once, and s4 as the budget permits. */
	CU_ASSERT(f->call_count >= 4);
	CU_ASSERT_STRING_EQUAL(f->calls[3].service, "s3");
	CU_ASSERT_STRING_NOT_EQUAL(f->calls[3].leaf_id, "s3-b");
	fake_router_answer_all(f);
	if (!f->answer_count) {
		fake_router_advance(f, 300 * US_PER_MS);
		fake_router_answer_all(f);
	}
	CU_ASSERT_EQUAL(f->answer_count, 1);
	CU_ASSERT_EQUAL(f->answers[0].status, 200);
	CU_ASSERT_EQUAL(f->answers[0].stamp_count + f->answers[0].missing_count,
			8);
	CU_ASSERT_NSTRING_EQUAL(f->answers[0].body, RECORD_D, 16);
	/* A second result of the same batch must not count again. */
	router_handle_batch_result(f->router, &result);
	CU_ASSERT_EQUAL(f->answer_count, 1);
	fake_router_destroy(f);
}

/* Guards against a shard that is merged both from a batch and its own call. */
static void test_batch_overlap(void)
{
	struct fake_router *f = create_multi_domain();
	const char *shards[] = { "s0", "s1", "s2", "s3", "s4" };
	const char *stamps[] = { "t0", "t1", "t2", "t3", "t4" };
	struct router_batch_result result = {
		.shards = shards,
		.stamps = stamps,
		.count = 5,
		.is_final = true,
		.body = RECORD_D,
		.body_len = 16,
	};
	uint32_t own = 0;

	fake_router_start_request(f, "/search/x", 0);
	fake_router_end_call(f, 0, CALL_ANSWERED, 200, RECORD_A);
	fake_router_end_call(f, 1, CALL_ANSWERED, 200, RECORD_A);
	/* The batch is late: the hedge for one shard is answered first. */
	fake_router_advance(f, 250 * US_PER_MS);
	for (uint32_t i = 3; i < f->call_count; i++) {
		if (!strcmp(f->calls[i].service, "s3"))
			own = i;
	}
	CU_ASSERT_FATAL(own);
	fake_router_end_call(f, own, CALL_ANSWERED, 200, RECORD_C);
	result.id = f->batch_id;
	router_handle_batch_result(f->router, &result);
	fake_router_end_call(f, 2, CALL_ANSWERED, 200, RECORD_A);
	CU_ASSERT_EQUAL(f->answer_count, 1);
	CU_ASSERT_EQUAL(f->answers[0].stamp_count, 8);
	CU_ASSERT_EQUAL(f->answers[0].missing_count, 0);
	/* RECORD_C from the hedge to s3 is dropped: s3 is in the batch. */
	CU_ASSERT_NSTRING_EQUAL(f->answers[0].body, RECORD_D RECORD_A RECORD_A,
				48);
	fake_router_destroy(f);
}

/*
 * Guards against a host that answers a batch by calls to leaves of other
 * failure domains, or that sends its results only at the end.
 */
static void test_batch_remote(void)
{
	struct fake_router *f = fake_router_create(4);
	const char *shards[] = { "s1", "s2" };
	struct router_request in = {
		.id = "r1",
		.host = "example",
		.path = "/search/x",
		.goal_us = 60 * US_PER_MS,
		.shards = shards,
		.shard_count = 2,
	};

	router_start(f->router, &in);
	CU_ASSERT_EQUAL(f->call_count, 2);
	CU_ASSERT_STRING_EQUAL(f->calls[0].leaf_id, "s1-a");
	fake_router_end_call(f, 0, CALL_ANSWERED, 200, RECORD_A);
	CU_ASSERT_EQUAL(f->sent_stamp_count, 0);
	fake_router_advance(f, 70 * US_PER_MS);
	CU_ASSERT_EQUAL(f->sent_stamp_count, 1);
	CU_ASSERT_EQUAL(f->call_count, 2);
	fake_router_end_call(f, 1, CALL_FAILURE, 500, NULL);
	CU_ASSERT_EQUAL(f->answer_count, 1);
	CU_ASSERT_EQUAL(f->answers[0].stamp_count, 1);
	fake_router_destroy(f);
}

/*
 * Guards against a service whose leaves tell no load and which, after some
 * seconds of refusals, stays at a part of its capacity with idle leaves.
 */
static void test_recovery_without_load(void)
{
	for (guint32 seed = 1; seed <= 50; seed++) {
		struct fake_router *f = fake_router_create_seeded(1, seed);
		GRand *rand = g_rand_new_with_seed(seed);
		int64_t duration = g_rand_int_range(rand, 5, 60) * US_PER_MS;
		int refusals = g_rand_int_range(rand, 20, 400);
		uint32_t before;

		for (int i = 0; i < refusals; i++) {
			fake_router_start_request(f, "/put/x", 0);
			fake_router_end_call(f, f->call_count - 1, CALL_NOT_RUN,
					     503, NULL);
			fake_router_end_call(f, f->call_count - 1, CALL_NOT_RUN,
					     503, NULL);
			fake_router_advance(f, g_rand_int_range(rand, 1, 80) *
						       US_PER_MS);
		}
		/* Load beyond what the three leaves take: 4 slots each. */
		for (int i = 0; i < 60; i++) {
			for (int k = 0; k < 12; k++)
				fake_router_start_request(f, "/put/x", 0);
			fake_router_advance(f, duration);
			fake_router_answer_all(f);
		}
		fake_router_advance(f, 2000 * US_PER_MS);
		fake_router_answer_all(f);
		before = f->call_count;
		for (int k = 0; k < 12; k++)
			fake_router_start_request(f, "/put/x", 0);
		CU_ASSERT_EQUAL(f->call_count, before + 12);
		g_rand_free(rand);
		fake_router_destroy(f);
	}
}

CU_TestInfo router_tests[] = {
	{ "gather merge", test_gather_merge },
	{ "gather goal", test_gather_goal },
	{ "gather coverage", test_gather_coverage },
	{ "hedge", test_hedge },
	{ "not idempotent", test_not_idempotent },
	{ "true refusal", test_true_refusal },
	{ "misdirected", test_misdirected },
	{ "draining", test_draining },
	{ "extra calls", test_extra_calls },
	{ "allowance", test_allowance },
	{ "version", test_version },
	{ "caller left", test_caller_left },
	{ "repeat", test_repeat },
	{ "refused repeat", test_refused_repeat },
	{ "hopeless", test_hopeless },
	{ "shard down", test_shard_down },
	{ "retry after", test_retry_after },
	{ "replacement waits", test_replacement_waits },
	{ "shed", test_shed },
	{ "overload", test_overload },
	{ "batch", test_batch },
	{ "batch overlap", test_batch_overlap },
	{ "batch remote", test_batch_remote },
	{ "recovery without load", test_recovery_without_load },
	CU_TEST_INFO_NULL,
};
