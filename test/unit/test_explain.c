#include "suites.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "common/errors.h"
#include "common/events.h"
#include "fake_router.h"
#include "nutmegpickd/route_internal.h"
#include "router/explain.h"
#include "router/internal.h"

#define SHARDS 4
#define STEPS 400
#define QUESTIONS 100

/* Routes of fake_router_create_table(). */
enum { SEARCH, GET, PUT };

static const char *const paths[] = { "/search/x", "/get/x", "/put/x" };

static struct route_explanation *ask(struct fake_router *f, const char *path,
				     const char *organisation)
{
	struct route_question q = { .host = "example",
				    .path = path,
				    .organisation = organisation };

	return router_explain(f->router, &q);
}

static void add_organisation(struct route_table *t)
{
	route_table_add_organisations(t, 1);
	t->organisations[0].name = g_strdup("acme");
	t->organisations[0].max_per_s = 10;
	t->organisation_names = g_hash_table_new(g_str_hash, g_str_equal);
	g_hash_table_insert(t->organisation_names, t->organisations[0].name,
			    &t->organisations[0]);
	for (uint32_t i = 0; i < t->route_count; i++)
		t->routes[i].is_public = true;
}

static const struct explained_part *part_of(const struct route_explanation *e)
{
	return &g_array_index(e->parts, struct explained_part, 0);
}

/* Returns the answer to a request since others, or NULL. */
static const struct fake_answer *find_answer(const struct fake_router *f,
					     const void *user, uint32_t others)
{
	for (uint32_t i = others; i < f->answer_count; i++) {
		if (f->answers[i].user == user)
			return &f->answers[i];
	}
	return NULL;
}

/* Checks that a request does what its explanation says. */
static void check_agreement(struct fake_router *f,
			    const struct route_explanation *e, bool is_gather,
			    const struct fake_answer *answer, uint32_t calls)
{
	const struct explained_part *p = part_of(e);

	if (e->outcome == ROUTE_WOULD_DISPLACE)
		return;
	CU_ASSERT_EQUAL(answer != NULL, e->code != 0);
	if (answer) {
		CU_ASSERT_EQUAL(answer->code, e->code);
		CU_ASSERT_EQUAL(answer->status, e->status);
		CU_ASSERT_EQUAL(f->call_count, calls);
	} else if (!is_gather) {
		CU_ASSERT_EQUAL(f->call_count - calls, p->leaf != NULL);
		if (p->leaf)
			CU_ASSERT_STRING_EQUAL(f->calls[calls].leaf_id,
					       p->leaf->entry.id);
	}
}

static void save_table(GByteArray *out, GHashTable *table, size_t size)
{
	GHashTableIter iter;
	gpointer value;
	guint count = g_hash_table_size(table);

	g_byte_array_append(out, (const guint8 *)&count, sizeof(count));
	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_byte_array_append(out, value, (guint)size);
}

/* Returns a copy of all that a router knows, byte by byte. */
static GByteArray *save_state(const struct router *r)
{
	GByteArray *out = g_byte_array_new();
	GRand *random = g_rand_copy(r->random);
	guint32 next = g_rand_int(random);

	g_rand_free(random);
	g_byte_array_append(out, (const guint8 *)r, sizeof(*r));
	g_byte_array_append(out, (const guint8 *)&next, sizeof(next));
	save_table(out, r->stats, sizeof(struct route_stats));
	save_table(out, r->organisations, sizeof(struct organisation_stats));
	save_table(out, r->leaves.pools, sizeof(struct upstream_pool));
	save_table(out, r->leaves.leaves, sizeof(struct route_leaf));
	return out;
}

/** Random requests, results and changes of the leaves. */
struct session {
	struct fake_router *f;
	GRand *random;
	bool is_asked;
	uint32_t request_count;
	uint32_t outcomes[ROUTE_WOULD_BE_REFUSED + 1];
	/** What happened. */
	GString *log;
};

static void ask_many(struct session *s)
{
	GByteArray *before = save_state(s->f->router);
	GByteArray *after;

	for (int i = 0; i < QUESTIONS; i++) {
		struct route_explanation *e =
			ask(s->f, paths[i % 3], i % 2 ? "acme" : NULL);

		route_explanation_free(e);
	}
	after = save_state(s->f->router);
	CU_ASSERT_EQUAL(before->len, after->len);
	CU_ASSERT_EQUAL(memcmp(before->data, after->data,
			       MIN(before->len, after->len)),
			0);
	g_byte_array_free(before, TRUE);
	g_byte_array_free(after, TRUE);
}

static void start(struct session *s)
{
	uint32_t path = (uint32_t)g_rand_int_range(s->random, 0, 3);
	struct fake_router *f = s->f;
	struct router_request in = {
		.id = "r",
		.host = "example",
		.path = paths[path],
		.organisation = g_rand_boolean(s->random) ? "acme" : NULL,
		.user = GUINT_TO_POINTER(++s->request_count),
	};
	struct route_explanation *e = NULL;
	uint32_t answers = f->answer_count;
	uint32_t calls = f->call_count;

	if (s->is_asked) {
		ask_many(s);
		e = ask(f, in.path, in.organisation);
	}
	router_start(f->router, &in);
	if (e) {
		check_agreement(f, e, path == SEARCH,
				find_answer(f, in.user, answers), calls);
		s->outcomes[e->outcome]++;
		route_explanation_free(e);
	}
	for (uint32_t i = calls; i < f->call_count; i++)
		g_string_append_printf(s->log, "%s ", f->calls[i].leaf_id);
	for (uint32_t i = answers; i < f->answer_count; i++)
		g_string_append_printf(s->log, "%d/%lld ", f->answers[i].code,
				       (long long)f->answers[i].retry_after_us);
	g_string_append_printf(s->log, "at %lld, claims %u %u\n",
			       (long long)f->time.now_us, f->claims->len,
			       f->token_claims->len);
}

static void end_some_calls(struct session *s)
{
	static const enum call_outcome outcomes[] = {
		CALL_ANSWERED, CALL_ANSWERED, CALL_ANSWERED,
		CALL_ANSWERED, CALL_BROKEN,   CALL_NOT_RUN,
	};
	struct fake_router *f = s->f;

	for (uint32_t i = 0; i < f->call_count; i++) {
		int at = g_rand_int_range(s->random, 0, 24);
		enum call_outcome o;

		if (!f->calls[i].is_open || at >= 6)
			continue;
		o = outcomes[at];
		f->load.waiting = (uint32_t)g_rand_int_range(s->random, 0, 4);
		f->load.work_factor = g_rand_double_range(s->random, 0.5, 2);
		fake_router_end_call(f, i, o,
				     o == CALL_ANSWERED	 ? 200
				     : o == CALL_NOT_RUN ? 503
							 : 0,
				     "0123456789abcdef");
	}
}

static void change_leaves(struct session *s, int step)
{
	struct fake_router *f = s->f;

	if (step % 40 == 10)
		fake_router_set_cold(f, "s1-a", 2 * US_PER_S);
	if (step % 50 == 20)
		router_set_evacuated(f->router, "b", step % 100 == 20);
	if (step == STEPS * 9 / 10)
		router_stop_at(f->router, f->time.now_us + US_PER_S);
}

/* Divides the requests for /put/ between two upstreams. */
static void add_split(struct route_table *t)
{
	struct route *put = &t->routes[PUT];

	put->shape = ROUTE_SPLIT;
	put->target_count = 2;
	put->targets[1].upstream = 1;
	put->targets[0].weight = 2;
	put->targets[1].weight = 1;
}

static char *run_session(uint64_t seed, bool is_asked)
{
	struct session s = {
		.f = fake_router_create_seeded(SHARDS, seed),
		.random = g_rand_new_with_seed((guint32)seed),
		.is_asked = is_asked,
		.log = g_string_new(NULL),
	};

	s.f->load.is_known = true;
	fake_router_set_warm_up(s.f, 5);
	add_organisation(s.f->router->table);
	add_split(s.f->router->table);
	router_set_triage(s.f->router, seed % 2 ? TRIAGE_ALWAYS : TRIAGE_NEVER);
	router_set_host_count(s.f->router, 3);
	fake_router_set_rate_limit(s.f, "s0-a", 30);
	for (int i = 0; i < STEPS; i++) {
		fake_router_advance(s.f, g_rand_int_range(s.random, 1, 12) *
						 US_PER_MS);
		change_leaves(&s, i);
		end_some_calls(&s);
		start(&s);
	}
	fake_router_advance(s.f, 3 * US_PER_S);
	fake_router_answer_all(s.f);
	/* The session would prove little without requests of each kind. */
	if (is_asked) {
		CU_ASSERT(s.outcomes[ROUTE_WOULD_START] > 20);
		CU_ASSERT(s.outcomes[ROUTE_WOULD_BE_REFUSED] > 20);
	}
	fake_router_destroy(s.f);
	g_rand_free(s.random);
	return g_string_free(s.log, FALSE);
}

/*
 * Guards against questions that change a later decision, through learned
 * figures, tokens, random numbers or budgets, and against explanations that
 * differ from what the request then does.
 */
static void test_no_change(void)
{
	for (uint64_t seed = 1; seed <= 6; seed++) {
		char *asked = run_session(seed, true);
		char *plain = run_session(seed, false);

		CU_ASSERT_STRING_EQUAL(asked, plain);
		g_free(asked);
		g_free(plain);
	}
}

static void handle_event(void *ctx, enum event_id id, const char *fields)
{
	(*(int *)ctx)++;
}

static void check_outcome(struct fake_router *f, enum route_outcome outcome)
{
	struct route_explanation *e = ask(f, "/get/x", NULL);

	CU_ASSERT_EQUAL(e->outcome, outcome);
	route_explanation_free(e);
}

/*
 * Guards against log lines of requests that do not exist: refused questions and
 * a cold leaf that is seen for the first time log nothing.
 */
static void test_no_lines(void)
{
	struct fake_router *f = fake_router_create(2);
	int lines = 0;

	fake_router_set_warm_up(f, 5);
	fake_router_set_cold(f, "s0-a", US_PER_S);
	router_set_evacuated(f->router, "b", true);
	router_set_evacuated(f->router, "c", true);
	event_set_sink(handle_event, &lines);
	check_outcome(f, ROUTE_WOULD_WAIT);
	event_set_sink(NULL, NULL);
	CU_ASSERT_EQUAL(f->router->cold_leaves->len, 0);
	router_set_evacuated(f->router, "a", true);
	event_set_sink(handle_event, &lines);
	check_outcome(f, ROUTE_WOULD_BE_REFUSED);
	event_set_sink(NULL, NULL);
	CU_ASSERT_EQUAL(lines, 0);
	CU_ASSERT_EQUAL(router_place_counts(f->router).evacuated_parts, 0);
	fake_router_destroy(f);
}

static struct route_leaf *find_leaf(struct fake_router *f, const char *id)
{
	return g_hash_table_lookup(router_leaves(f->router)->leaves, id);
}

static void make_full(struct fake_router *f)
{
	find_leaf(f, "s0-a")->full_until_us = f->time.now_us + 40 * US_PER_MS;
}

static void make_cold(struct fake_router *f)
{
	fake_router_set_warm_up(f, 5);
	fake_router_set_cold(f, "s0-a", US_PER_S);
}

static void make_limited(struct fake_router *f)
{
	router_set_host_count(f->router, 10);
	fake_router_set_rate_limit(f, "s0-a", 1);
	fake_router_start_request(f, "/get/x", 0);
	fake_router_answer_all(f);
	CU_ASSERT_STRING_EQUAL(f->calls[0].leaf_id, "s0-a");
}

static void make_ejected(struct fake_router *f)
{
	find_leaf(f, "s0-a")->ejected_until_us = f->time.now_us + US_PER_S;
	find_leaf(f, "s0-a")->probed_at_us = f->time.now_us;
}

static void make_leaving(struct fake_router *f)
{
	fake_router_put_leaf(f, "s0-a", "s0", "a", true, 2);
	fake_router_advance(f, 2 * US_PER_S);
}

static void make_removed(struct fake_router *f)
{
	route_leaf_lose_address(find_leaf(f, "s0-a"), f->time.now_us);
}

static void make_evacuated(struct fake_router *f)
{
	router_set_evacuated(f->router, "a", true);
}

static void make_other_region(struct fake_router *f)
{
	f->router->table->routes[GET].regions = g_strsplit("south", ",", -1);
}

static void make_allowed(struct fake_router *f)
{
}

static const struct {
	void (*make)(struct fake_router *f);
	enum leaf_access_reason reason;
	const char *name;
	int64_t wait_us;
} access_cases[] = {
	{ make_allowed, ACCESS_ALLOWED, "allowed", 0 },
	{ make_full, ACCESS_FULL, "full", 40 * US_PER_MS },
	{ make_cold, ACCESS_COLD, "cold", 30 * US_PER_MS },
	{ make_limited, ACCESS_RATE_LIMIT, "rate_limit", 0 },
	{ make_ejected, ACCESS_EJECTED, "ejected", 150 * US_PER_MS },
	{ make_leaving, ACCESS_LEAVING, "leaving", -1 },
	{ make_removed, ACCESS_REMOVED, "removed", -1 },
	{ make_evacuated, ACCESS_EVACUATED, "evacuated", -1 },
	{ make_other_region, ACCESS_OTHER_REGION, "other_region", -1 },
};

/*
 * Guards against a reason that is shown for another one. A request that has not
 * started has tried no leaf and is in no batch; only the names of these reasons
 * are checked.
 */
static void test_reasons(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(access_cases); i++) {
		struct fake_router *f = fake_router_create(1);
		struct route_explanation *e;
		const struct explained_leaf *l;

		access_cases[i].make(f);
		e = ask(f, "/get/x", NULL);
		l = &g_array_index(part_of(e)->leaves, struct explained_leaf,
				   0);
		CU_ASSERT_STRING_EQUAL(l->leaf->entry.id, "s0-a");
		CU_ASSERT_EQUAL(l->access.reason, access_cases[i].reason);
		CU_ASSERT_STRING_EQUAL(
			leaf_access_reason_name(l->access.reason),
			access_cases[i].name);
		if (access_cases[i].reason != ACCESS_RATE_LIMIT)
			CU_ASSERT_EQUAL(l->wait_us, access_cases[i].wait_us);
		CU_ASSERT_EQUAL(part_of(e)->leaf == l->leaf, i == 0);
		route_explanation_free(e);
		fake_router_destroy(f);
	}
	CU_ASSERT_STRING_EQUAL(leaf_access_reason_name(ACCESS_TRIED), "tried");
	CU_ASSERT_STRING_EQUAL(leaf_access_reason_name(ACCESS_OTHER_DOMAIN),
			       "other_domain");
}

static void remove_shard(struct fake_router *f, int shard)
{
	for (int c = 'a'; c <= 'c'; c++) {
		char id[16];

		g_snprintf(id, sizeof(id), "s%d-%c", shard, c);
		leaf_set_remove(router_leaves(f->router), id, 0,
				f->time.now_us);
	}
}

/* Guards against a long answer, and one that leaves out the shards at fault. */
static void test_gather(void)
{
	struct route_question all = { .host = "example",
				      .path = "/search/x",
				      .is_full = true };
	struct fake_router *f = fake_router_create(8);
	struct route_explanation *e;
	int listed = 0;

	remove_shard(f, 6);
	e = ask(f, "/search/x", NULL);
	CU_ASSERT_EQUAL(e->outcome, ROUTE_WOULD_START);
	CU_ASSERT_EQUAL(e->infeasible_count, 1);
	for (guint i = 0; i < e->parts->len; i++)
		listed += g_array_index(e->parts, struct explained_part, i)
				  .leaves != NULL;
	CU_ASSERT_EQUAL(listed, EXPLAINED_SHARDS);
	CU_ASSERT_PTR_NOT_NULL(
		g_array_index(e->parts, struct explained_part, 6).leaves);
	route_explanation_free(e);
	remove_shard(f, 5);
	remove_shard(f, 7);
	e = router_explain(f->router, &all);
	CU_ASSERT_EQUAL(e->code, -ERR_ROUTE_LATE);
	for (guint i = 0; i < e->parts->len; i++)
		CU_ASSERT_PTR_NOT_NULL(
			g_array_index(e->parts, struct explained_part, i)
				.leaves);
	route_explanation_free(e);
	fake_router_destroy(f);
}

/** Service without threads around the router of a fake. */
struct fixture {
	struct fake_router *f;
	struct route_service s;
};

static void handle_admit(void *ctx, void *user, uint64_t ticket)
{
}

static const struct quota_ops quota_ops = { .admit = handle_admit };

static void fixture_init(struct fixture *x)
{
	struct quota_options options = { .seed = 1, .ops = &quota_ops };

	memset(x, 0, sizeof(*x));
	x->f = fake_router_create(SHARDS);
	add_organisation(x->f->router->table);
	x->s.clock = clock_virtual(&x->f->time);
	x->s.router = x->f->router;
	x->s.quota = quota_create(&options);
	start_hold_init(&x->s.hold, 0);
}

static void fixture_clear(struct fixture *x)
{
	quota_free(x->s.quota);
	fake_router_destroy(x->f);
}

/* Returns the answer to a query; the caller frees it. */
static json_t *ask_service(struct fixture *x, const char *query,
			   unsigned int expected)
{
	char *target = g_strdup_printf(ROUTE_EXPLAIN_PATH "?%s", query);
	unsigned int status;
	char *text = route_explain(&x->s, target, &status);
	json_t *out = json_loads(text, 0, NULL);

	CU_ASSERT_EQUAL(status, expected);
	CU_ASSERT_PTR_NOT_NULL(out);
	free(text);
	g_free(target);
	return out;
}

static void check_decision(struct fixture *x, const char *query,
			   const char *outcome, const char *error)
{
	json_t *answer = ask_service(x, query, 200);
	const json_t *decision = json_object_get(answer, "decision");
	const char *code =
		json_string_value(json_object_get(decision, "error"));

	CU_ASSERT_STRING_EQUAL(
		json_string_value(json_object_get(decision, "outcome")),
		outcome);
	CU_ASSERT_STRING_EQUAL(code ? code : "", error);
	json_decref(answer);
}

/* Guards against a wrong cause of requests that reach no part. */
static void test_refusals(void)
{
	struct fixture x;

	fixture_init(&x);
	check_decision(&x, "host=example&path=/get/x", "start", "");
	check_decision(&x, "host=other&path=/get/x", "refuse", "E1603");
	check_decision(&x, "host=example&path=/none", "refuse", "E1603");
	check_decision(&x, "host=example&path=/get/x&organisation=none",
		       "refuse", "E1635");
	x.f->router->table->routes[GET].is_public = false;
	check_decision(&x, "host=example&path=/get/x", "refuse", "E1630");
	router_set_keys_stale(x.f->router, true);
	check_decision(&x, "host=example&path=/get/x&organisation=acme",
		       "refuse", "E1634");
	fixture_clear(&x);
}

/* Guards against a crash without a table, and an answer for a host that stops. */
static void test_host_states(void)
{
	struct fixture x;
	struct route_table *t;
	json_t *answer;

	fixture_init(&x);
	t = x.f->router->table;
	x.f->router->table = NULL;
	check_decision(&x, "host=example&path=/get/x", "refuse", "E1604");
	start_hold_init(&x.s.hold, x.f->time.now_us);
	check_decision(&x, "host=example&path=/get/x", "hold", "");
	x.f->router->table = t;
	router_stop_at(x.f->router, x.f->time.now_us + 10 * US_PER_MS);
	check_decision(&x, "host=example&path=/get/x", "refuse", "E1610");
	answer = ask_service(&x, "host=example&path=/get/x", 200);
	CU_ASSERT_TRUE(json_is_true(
		json_object_get(json_object_get(answer, "host"), "stopping")));
	json_decref(answer);
	fixture_clear(&x);
}

/* Guards against the end of the process by a query that is not valid. */
static void test_bad_queries(void)
{
	static const char *const queries[] = {
		"",
		"host=example",
		"path=/get/x",
		"host=&path=/get/x",
		"host=%ff&path=/get/x",
		"host=\xff&path=/get/x",
		"host=%zz&path=/get/x",
		"host&path",
	};
	struct fixture x;

	fixture_init(&x);
	for (size_t i = 0; i < G_N_ELEMENTS(queries); i++) {
		json_t *answer = ask_service(&x, queries[i], 400);

		CU_ASSERT_STRING_EQUAL(
			json_string_value(json_object_get(answer, "error")),
			"E1652");
		json_decref(answer);
	}
	fixture_clear(&x);
}

/* Guards against secrets of a path or a key that is given as a name. */
static void test_secrets(void)
{
	struct fixture x;
	unsigned int status;
	char *text;

	fixture_init(&x);
	text = route_explain(&x.s,
			     ROUTE_EXPLAIN_PATH
			     "?host=example&path=/get/x%3Ftoken%3Ds3cret"
			     "&organisation=s3cret",
			     &status);
	CU_ASSERT_PTR_NULL(strstr(text, "s3cret"));
	free(text);
	fixture_clear(&x);
}

/* Takes the claim that is due and grants tokens for it. */
static void grant(struct fixture *x, uint32_t tokens, int64_t retry_us)
{
	struct lease_time now = { x->f->time.now_us, clock_boot(&x->s.clock) };
	GArray *claims = quota_advance(x->s.quota, now);
	struct token_grant g = { .key = "q:acme",
				 .tokens = tokens,
				 .ticket = 1,
				 .retry_us = retry_us };

	CU_ASSERT_PTR_NOT_NULL_FATAL(claims);
	if (!claims)
		return;
	g.sequence = g_array_index(claims, struct token_claim, 0).sequence;
	g_array_free(claims, TRUE);
	quota_handle_grant(x->s.quota, &g, now);
}

static enum quota_decision take_token(struct fixture *x)
{
	struct quota_request in = {
		.organisation = &x->f->router->table->organisations[0],
		.version = 1,
		.goal_us = 300 * US_PER_MS,
		.left_us = US_PER_S,
	};
	struct lease_time now = { x->f->time.now_us, clock_boot(&x->s.clock) };
	int64_t retry_after_us;
	uint64_t ticket;

	return quota_ask(x->s.quota, &in, now, &ticket, &retry_after_us);
}

/*
 * Guards against a question that takes a token or claims one, and against one
 * that shows a quota as free which refuses the next request.
 */
static void test_quota(void)
{
	const char *query = "host=example&path=/get/x&organisation=acme";
	struct fixture x;

	fixture_init(&x);
	for (int i = 0; i < QUESTIONS; i++)
		check_decision(&x, query, "quota_wait", "");
	CU_ASSERT_EQUAL(quota_counts(x.s.quota).organisations, 0);
	CU_ASSERT_EQUAL(quota_next_timer(x.s.quota), INT64_MAX);
	CU_ASSERT_EQUAL(take_token(&x), QUOTA_WAITS);
	grant(&x, 2, US_PER_S);
	for (int i = 0; i < QUESTIONS; i++)
		check_decision(&x, query, "start", "");
	CU_ASSERT_EQUAL(take_token(&x), QUOTA_ADMITTED);
	for (int i = 0; i < QUESTIONS; i++)
		check_decision(&x, query, "refuse", "E1640");
	CU_ASSERT_EQUAL(take_token(&x), QUOTA_EXCEEDED);
	CU_ASSERT_EQUAL(quota_counts(x.s.quota).refused, 1);
	fixture_clear(&x);
}

/*
 * Guards against an explanation that does not see calls which last longer than
 * expected, and shows as started what is refused because of them.
 */
static void test_overdue(void)
{
	struct fake_router *f = fake_router_create(1);
	uint32_t calls;

	router_set_triage(f->router, TRIAGE_ALWAYS);
	for (int i = 0; i < 40; i++) {
		fake_router_start_request(f, paths[GET], 0);
		fake_router_advance(f, 20 * US_PER_MS);
		fake_router_answer_all(f);
	}
	do {
		calls = f->call_count;
		fake_router_start_request(f, paths[GET], 0);
	} while (f->call_count > calls);
	fake_router_advance(f, 160 * US_PER_MS);
	check_outcome(f, ROUTE_WOULD_BE_REFUSED);
	CU_ASSERT_EQUAL(fake_router_start_request(f, paths[GET], 0), 0);
	fake_router_destroy(f);
}

/* Returns whether a part of a request that starts waits for a leaf. */
static bool waits_for_leaf(struct fake_router *f, const char *path)
{
	uint64_t id = fake_router_start_request(f, path, 0);
	const struct route_request *q = id_table_find(&f->router->requests, id);
	bool is_waiting = false;

	CU_ASSERT_PTR_NOT_NULL_FATAL(q);
	for (uint32_t i = 0; q && i < q->part_count; i++)
		is_waiting = is_waiting || q->parts[i].phase == PART_WAITING;
	router_cancel(f->router, id);
	return is_waiting;
}

/*
 * Guards against a gather that is shown as started while one of its parts waits
 * without room in time.
 */
static void test_crowded_part(void)
{
	struct fake_router *f = fake_router_create(8);
	bool has_crowded = false;

	router_set_triage(f->router, TRIAGE_ALWAYS);
	for (int i = 0; i < 40; i++) {
		fake_router_start_request(f, paths[GET], 0);
		fake_router_start_request(f, paths[SEARCH], 0);
		fake_router_advance(f, 60 * US_PER_MS);
		fake_router_answer_all(f);
	}
	for (int i = 0; i < 80; i++) {
		struct route_explanation *e = ask(f, paths[SEARCH], NULL);

		CU_ASSERT_EQUAL(e->outcome, waits_for_leaf(f, paths[SEARCH])
						    ? ROUTE_WOULD_WAIT
						    : ROUTE_WOULD_START);
		has_crowded = has_crowded || e->infeasible_count;
		route_explanation_free(e);
		fake_router_start_request(f, paths[GET], 0);
	}
	CU_ASSERT_TRUE(has_crowded);
	fake_router_destroy(f);
}

CU_TestInfo explain_tests[] = {
	{ "crowded part", test_crowded_part },
	{ "no change", test_no_change },
	{ "overdue", test_overdue },
	{ "no lines", test_no_lines },
	{ "reasons", test_reasons },
	{ "gather", test_gather },
	{ "refusals", test_refusals },
	{ "host states", test_host_states },
	{ "bad queries", test_bad_queries },
	{ "secrets", test_secrets },
	{ "quota", test_quota },
	CU_TEST_INFO_NULL,
};
