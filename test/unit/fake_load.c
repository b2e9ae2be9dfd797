#include "fake_load.h"

#include <arpa/inet.h>
#include <math.h>
#include <string.h>

#include "common/clock.h"
#include "common/errors.h"
#include "common/events.h"
#include "router/quota.h"
#include "router/router.h"
#include "router/token_exchange.h"

#define HOSTS_MAX 8
#define SLOTS 4
#define QUEUE_MAX 24
#define LEAVES (3 * LOAD_SHARDS)
#define TICK_US 500
/* Long enough to learn what organisations usually ask for. */
#define WARM_UP_US (30 * US_PER_S)
#define RUN_US (WARM_UP_US + LOAD_SECONDS * US_PER_S)
/* Worth of a late answer. */
#define LATE_WORTH 0.15
#define WORK_SPREAD 0.25

struct load_request {
	int64_t at_us;
	int64_t first_at_us;
	uint32_t route;
	uint32_t organisation;
	/** Work of each part. */
	double work_us;
	/** Work that leaves have done for it. */
	double done_us;
	bool is_repeat;
	bool is_refused;
	/** The caller has sent another request in its place. */
	bool is_repeated;
	bool has_unknown_key;
	double worth;
	int64_t end_us;
	unsigned int status;
	int code;
	/** Of the token that it took; 0 if it took none. */
	uint64_t ticket;
};

struct load_call {
	struct load_request *request;
	uint32_t host;
	uint64_t id;
	int64_t end_us;
	bool is_cancelled;
};

struct load_leaf {
	struct load_call *running[SLOTS];
	GQueue waiting;
};

struct load_host {
	struct load_run *run;
	struct router *router;
	uint32_t number;
	/** NULL without quotas. */
	struct quota *quota;
	struct token_exchange *tokens;
	struct host_directory directory;
};

struct load_run {
	const struct load_pattern *pattern;
	struct virtual_clock time;
	GRand *random;
	struct load_host hosts[HOSTS_MAX];
	uint32_t host_count;
	struct load_leaf leaves[LEAVES];
	/** Requests by arrival; repeats are inserted. */
	GSequence *arrivals;
	GPtrArray *requests;
	/** Calls that a leaf has refused. */
	GQueue refused;
	double capacity;
	uint32_t started;
	uint32_t routed;
	uint32_t outside;
};

static const double base_work_us[] = { 28000, 9200 };
static const double base_rates[] = { 240, 180 };
static const int64_t goals_us[] = { 400 * US_PER_MS, 120 * US_PER_MS };

double load_usual_share(void)
{
	double work = base_work_us[0] * base_rates[0] +
		      base_work_us[1] * base_rates[1];

	/* The mean of a log-normal distribution exceeds its median. */
	work *= exp(WORK_SPREAD * WORK_SPREAD / 2);
	return work / (3.0 * SLOTS * US_PER_S);
}

static bool is_changed(const struct load_run *run, int64_t at_us)
{
	return at_us >= WARM_UP_US &&
	       (!run->pattern->is_short || at_us < (WARM_UP_US + RUN_US) / 2);
}

static gint compare_arrivals(gconstpointer a, gconstpointer b, gpointer ctx)
{
	const struct load_request *x = a;
	const struct load_request *y = b;

	return x->at_us < y->at_us ? -1 : x->at_us > y->at_us;
}

static void add_request(struct load_run *run, const struct load_request *q)
{
	struct load_request *copy = g_memdup2(q, sizeof(*q));

	g_ptr_array_add(run->requests, copy);
	g_sequence_insert_sorted(run->arrivals, copy, compare_arrivals, NULL);
}

static double draw_work(struct load_run *run, uint32_t route, int64_t at_us)
{
	double u = MAX(g_rand_double(run->random), 1e-9);
	double normal =
		sqrt(-2 * log(u)) * cos(2 * G_PI * g_rand_double(run->random));
	double work = base_work_us[route] * exp(WORK_SPREAD * normal);

	if (is_changed(run, at_us))
		work *= run->pattern->work *
			(route ? 1 : run->pattern->large_work);
	return work;
}

/* Adds the requests of one organisation to one route. */
static void add_arrivals(struct load_run *run, uint32_t route, uint32_t org,
			 double per_s)
{
	const struct load_pattern *p = run->pattern;
	double at = 0;

	while (at < RUN_US) {
		bool is_now = is_changed(run, (int64_t)at);
		double rate = per_s;
		struct load_request q = { .route = route, .organisation = org };

		if (is_now)
			rate *= route ? p->small : p->large;
		if (is_now && p->organisation && !org)
			rate *= p->organisation;
		at -= log(MAX(g_rand_double(run->random), 1e-9)) / rate *
		      US_PER_S;
		q.at_us = q.first_at_us = (int64_t)at;
		q.work_us = draw_work(run, route, q.at_us);
		q.has_unknown_key = p->unknown_keys > 0 &&
				    g_rand_double(run->random) <
					    p->unknown_keys;
		add_request(run, &q);
	}
}

static void handle_start_call(void *ctx, const struct router_call *call)
{
	struct load_host *h = ctx;
	const char *id = call->leaf->entry.id;
	struct load_leaf *leaf =
		&h->run->leaves[g_ascii_strtoull(id, NULL, 10)];
	struct load_call *c = g_new0(struct load_call, 1);

	if (h->run->pattern->is_regional &&
	    !g_strcmp0(call->organisation, "o0"))
		h->run->outside += call->leaf->entry.domain[0] != 'a';
	c->request = call->user;
	c->host = h->number;
	c->id = call->id;
	g_queue_push_tail(leaf->waiting.length < QUEUE_MAX ? &leaf->waiting
							   : &h->run->refused,
			  c);
}

static void cancel_in(GQueue *queue, uint32_t host, uint64_t id)
{
	for (GList *l = queue->head; l; l = l->next) {
		struct load_call *c = l->data;

		if (c->host != host || c->id != id)
			continue;
		g_free(c);
		g_queue_delete_link(queue, l);
		return;
	}
}

static void handle_cancel_call(void *ctx, uint64_t id)
{
	struct load_host *h = ctx;

	cancel_in(&h->run->refused, h->number, id);
	for (uint32_t i = 0; i < LEAVES; i++) {
		struct load_leaf *leaf = &h->run->leaves[i];

		cancel_in(&leaf->waiting, h->number, id);
		for (uint32_t k = 0; k < SLOTS; k++) {
			struct load_call *c = leaf->running[k];

			if (c && c->host == h->number && c->id == id)
				c->is_cancelled = true;
		}
	}
}

static bool handle_detach_call(void *ctx, uint64_t id)
{
	return false;
}

static void repeat(struct load_run *run, struct load_request *q,
		   int64_t after_us)
{
	struct load_request next = *q;
	int64_t timeout = q->route ? 2 * US_PER_S : 4 * US_PER_S;

	next.is_repeat = true;
	next.is_refused = false;
	next.done_us = 0;
	next.ticket = 0;
	next.at_us = run->time.now_us +
		     (run->pattern->is_impatient ? US_PER_MS : after_us);
	if (after_us > (q->at_us + timeout - run->time.now_us) / 3)
		return;
	q->is_repeated = true;
	add_request(run, &next);
}

static struct lease_time lease_now(const struct load_run *run)
{
	return (struct lease_time){ run->time.now_us, run->time.now_us };
}

static void end_request(struct load_run *run, struct load_request *q,
			unsigned int status, int code, int64_t retry_after_us)
{
	q->end_us = run->time.now_us;
	q->status = status;
	q->code = code;
	q->is_refused = status == 503 || status == 429;
	if (q->is_refused && !q->is_repeat)
		repeat(run, q, retry_after_us);
}

static void write_name(char *out, size_t size, uint32_t organisation)
{
	g_snprintf(out, size, "o%u", organisation);
}

static void handle_answer(void *ctx, void *user, const struct router_answer *a)
{
	struct load_host *h = ctx;
	struct load_run *run = h->run;
	struct load_request *q = user;
	double share = (double)a->stamp_count / LOAD_SHARDS;

	end_request(run, q, a->status, a->code, a->retry_after_us);
	if (q->ticket && q->is_refused) {
		char name[8];

		write_name(name, sizeof(name), q->organisation);
		quota_give_back(h->quota, name, q->ticket, lease_now(run));
	}
	if (a->status == 200)
		q->worth = share * share *
			   (q->end_us - q->first_at_us <= goals_us[q->route]
				    ? 1
				    : LATE_WORTH);
}

static void handle_free_endpoint(void *ctx, struct route_leaf *leaf)
{
}

static const struct router_ops ops = {
	.start_call = handle_start_call,
	.cancel_call = handle_cancel_call,
	.detach_call = handle_detach_call,
	.answer = handle_answer,
	.free_endpoint = handle_free_endpoint,
};

/* Returns the part of the usual load that an organisation sends. */
static double organisation_share(const struct load_pattern *p, uint32_t i)
{
	double sum = 0;

	if (!p->organisation)
		return 1;
	for (uint32_t k = 0; k < LOAD_ORGANISATIONS; k++)
		sum += pow(k + 1, -p->skew);
	return pow(i + 1, -p->skew) / sum;
}

static void fill_organisation(struct route_table *t, uint32_t i,
			      const struct load_pattern *p)
{
	struct organisation *o = &t->organisations[i];
	double usual =
		organisation_share(p, i) * (base_rates[0] + base_rates[1]);

	o->name = g_strdup_printf("o%u", i);
	o->max_per_s = o->burst = p->quota * usual;
	if (p->is_regional && !i)
		o->regions = g_strsplit("north", ",", -1);
	route_table_add_key(t, i, o->name);
}

static struct route_table *create_table(const struct load_pattern *p)
{
	static const char *const names[] = { "large", "small" };
	struct route_table *t = route_table_create(2, LOAD_SHARDS);
	char message[128];

	t->version = 1;
	for (uint32_t i = 0; i < LOAD_SHARDS; i++) {
		t->upstreams[i].name = g_strdup_printf("s%u", i);
		t->upstreams[i].max_connections = 64;
	}
	if (p->organisation)
		route_table_add_organisations(t, LOAD_ORGANISATIONS);
	for (uint32_t i = 0; i < t->organisation_count; i++)
		fill_organisation(t, i, p);
	for (uint32_t i = 0; i < 2; i++) {
		struct route *r = &t->routes[i];

		r->name = g_strdup(names[i]);
		r->host = g_strdup("example");
		r->prefix = g_strdup_printf("/%s/", names[i]);
		r->is_idempotent = true;
		r->max_attempts = 2;
		r->shape = ROUTE_GATHER;
		r->timeout_us = i ? 2 * US_PER_S : 4 * US_PER_S;
		r->goal_us = goals_us[i];
		r->priority = i || p->is_flat ? 0 : 1;
		r->top_k = 1;
		r->min_coverage = i ? 0.8 : 0.95;
		r->target_count = LOAD_SHARDS;
		r->targets = g_new0(struct route_target, LOAD_SHARDS);
		for (uint32_t k = 0; k < LOAD_SHARDS; k++)
			r->targets[k].upstream = k;
	}
	g_assert(!route_table_seal(t, message, sizeof(message)));
	return t;
}

static void put_leaf(struct load_host *h, uint32_t i)
{
	struct leaf_entry e = {
		.id = g_strdup_printf("%u", i),
		.service = g_strdup_printf("s%u", i / 3),
		.domain = g_strdup_printf("%c", 'a' + i % 3),
		.slots = SLOTS,
		.sequence = 1,
	};

	e.address.sin_family = AF_INET;
	e.address.sin_port = htons(8080);
	e.address.sin_addr.s_addr = htonl(i + 1);
	leaf_set_put(router_leaves(h->router), &e, h->run->time.now_us);
}

static struct router_request describe_request(const struct load_run *run,
					      struct load_request *q)
{
	struct router_request in = {
		.host = "example",
		.path = q->route ? "/small/x" : "/large/x",
		.user = q,
	};
	char key[8] = "removed";

	if (!run->pattern->organisation)
		return in;
	if (!q->has_unknown_key)
		write_name(key, sizeof(key), q->organisation);
	in.credentials.kind = CREDENTIALS_KEY;
	in.credentials.key = key_digest_create(key, strlen(key));
	return in;
}

static int64_t goal_left(const struct load_host *h,
			 const struct load_request *q)
{
	return router_goal_left(router_match(
		h->router, "example", q->route ? "/small/x" : "/large/x"));
}

static void start_charged(struct load_host *h, struct load_request *q)
{
	struct router_request in = describe_request(h->run, q);
	int64_t waited = h->run->time.now_us - q->at_us;

	/* The wait for a token counts. */
	if (h->quota)
		in.goal_us = MAX(goal_left(h, q) - waited, 1);
	g_snprintf(in.id, sizeof(in.id), "r%u", ++h->run->routed);
	router_start(h->router, &in);
}

static void handle_admit(void *ctx, void *user, uint64_t ticket)
{
	struct load_request *q = user;

	q->ticket = ticket;
	start_charged(ctx, q);
}

static void handle_refuse(void *ctx, void *user, int64_t retry_after_us)
{
	struct load_host *h = ctx;

	end_request(h->run, user, 429, -ERR_ROUTE_QUOTA, retry_after_us);
}

static const struct quota_ops quota_ops = {
	.admit = handle_admit,
	.refuse = handle_refuse,
};

static void handle_deliver_grant(void *ctx, const struct token_grant *g)
{
	struct load_host *h = ctx;

	quota_handle_grant(h->quota, g, lease_now(h->run));
}

static const struct token_exchange_ops token_ops = {
	.deliver_grant = handle_deliver_grant,
};

/* The host owns all quotas: the exchange between hosts is not simulated. */
static void create_quotas(struct load_host *h, uint32_t seed)
{
	struct quota_options options = { .seed = seed,
					 .ops = &quota_ops,
					 .ctx = h };
	struct token_exchange_options exchange_options = {
		.clock = clock_virtual(&h->run->time),
		.directory = &h->directory,
		.seed = seed,
		.is_alone = true,
		.ops = &token_ops,
		.ctx = h,
	};
	struct host_record self = {
		.name = g_strdup("h"),
		.address = g_strdup("10.0.0.1:7000"),
		.domain = g_strdup("a"),
	};

	host_directory_init(&h->directory, "h", router_leaves(h->router));
	host_directory_put(&h->directory, &self);
	h->quota = quota_create(&options);
	h->tokens = token_exchange_create(&exchange_options);
}

static void advance_quotas(struct load_host *h)
{
	GArray *claims;

	if (!h->quota)
		return;
	token_owner_note_store(token_exchange_owner(h->tokens),
			       h->run->time.now_us);
	token_exchange_advance(h->tokens);
	claims = quota_advance(h->quota, lease_now(h->run));
	if (claims) {
		token_exchange_claim(h->tokens, claims);
		g_array_free(claims, TRUE);
	}
	token_exchange_fill_cache(h->tokens);
	token_exchange_deliver_own(h->tokens);
}

static void destroy_host(struct load_host *h)
{
	if (h->quota) {
		quota_free(h->quota);
		token_exchange_free(h->tokens);
		host_directory_clear(&h->directory);
	}
	router_destroy(h->router);
}

static void create_hosts(struct load_run *run, uint64_t seed)
{
	static const enum triage_mode modes[] = {
		[LOAD_MODE_ALWAYS] = TRIAGE_ALWAYS,
		[LOAD_MODE_ORGANISATIONS] = TRIAGE_WITH_ORGANISATIONS,
		[LOAD_MODE_NEVER] = TRIAGE_NEVER,
	};
	static char *const one_region[] = { "a=r", "b=r", "c=r", NULL };
	static char *const regions[] = { "a=north", "b=south", "c=west", NULL };
	static const char *const domains[] = { "a", "b", "c" };

	for (uint32_t i = 0; i < run->host_count; i++) {
		struct load_host *h = &run->hosts[i];
		struct router_options options = {
			.clock = clock_virtual(&run->time),
			.seed = seed + i,
			.domain = domains[i % 3],
			.domains = run->pattern->is_regional ? regions
							     : one_region,
			.extra_calls = 400,
			.triage = modes[run->pattern->mode],
			.ops = &ops,
			.ctx = h,
		};

		h->run = run;
		h->number = i;
		router_create(&h->router, &options);
		router_set_host_count(h->router, run->host_count);
		router_apply_table(h->router, create_table(run->pattern));
		for (uint32_t k = 0; k < LEAVES; k++)
			put_leaf(h, k);
		if (run->pattern->quota > 0)
			create_quotas(h, (uint32_t)seed);
	}
}

static void deliver(struct load_run *run, struct load_call *c,
		    const struct load_leaf *leaf)
{
	struct router_result result = {
		.call_id = c->id,
		.outcome = leaf ? CALL_ANSWERED : CALL_NOT_RUN,
		.reply = leaf_reply_create(),
		.stamp = "stamp",
		.rate_limit = { RATE_UNLIMITED, 0 },
	};

	result.reply->status = leaf ? 200 : 503;
	if (leaf) {
		result.load.is_known = true;
		result.load.waiting = leaf->waiting.length;
		for (uint32_t k = 0; k < SLOTS; k++)
			result.load.running += leaf->running[k] != NULL;
	}
	if (!c->is_cancelled)
		router_call_result(run->hosts[c->host].router, &result);
	leaf_reply_unref(result.reply);
	g_free(c);
}

static void run_leaf(struct load_run *run, struct load_leaf *leaf)
{
	for (uint32_t k = 0; k < SLOTS; k++) {
		struct load_call *c = leaf->running[k];

		if (c && c->end_us <= run->time.now_us) {
			leaf->running[k] = NULL;
			deliver(run, c, leaf);
		}
		if (leaf->running[k] || !leaf->waiting.length)
			continue;
		c = g_queue_pop_head(&leaf->waiting);
		c->end_us = run->time.now_us + (int64_t)c->request->work_us;
		c->request->done_us += c->request->work_us;
		leaf->running[k] = c;
	}
}

/* Takes a token for a request; returns whether it may start now. */
static bool charge_request(struct load_host *h, struct load_request *q,
			   const struct organisation *o)
{
	const struct load_run *run = h->run;
	int64_t retry_after_us = 0;
	struct quota_request in = {
		.user = q,
		.organisation = o,
		.version = router_version(h->router),
		.goal_us = goal_left(h, q),
		.left_us = q->route ? 2 * US_PER_S : 4 * US_PER_S,
	};

	switch (quota_ask(h->quota, &in, lease_now(run), &q->ticket,
			  &retry_after_us)) {
	case QUOTA_ADMITTED:
		return true;
	case QUOTA_EXCEEDED:
		end_request(h->run, q, 429, -ERR_ROUTE_QUOTA, retry_after_us);
		return false;
	case QUOTA_WAITS:
		return false;
	}
	return false;
}

static void start_request(struct load_run *run, struct load_request *q)
{
	struct load_host *h = &run->hosts[++run->started % run->host_count];
	struct router_request in = describe_request(run, q);
	struct identity identity = router_identify(h->router, &in);

	if (!h->quota || !identity.organisation ||
	    charge_request(h, q, identity.organisation))
		start_charged(h, q);
}

static void lose_leaves(struct load_run *run)
{
	uint32_t count = (uint32_t)(run->pattern->lost * LEAVES + 0.5);

	for (uint32_t i = 0; i < count; i++) {
		char id[8];

		/* Leaves of different shards. */
		g_snprintf(id, sizeof(id), "%u",
			   (i * 3 + i / LOAD_SHARDS) % LEAVES);
		for (uint32_t k = 0; k < run->host_count; k++)
			leaf_set_remove(router_leaves(run->hosts[k].router), id,
					0, run->time.now_us);
	}
	/* A gather needs the shards with the fewest leaves. */
	while (count > 0) {
		run->capacity -= SLOTS;
		count -= MIN(count, LOAD_SHARDS);
	}
}

static void tick(struct load_run *run)
{
	struct load_call *c;
	GSequenceIter *first;

	while ((c = g_queue_pop_head(&run->refused)))
		deliver(run, c, NULL);
	for (uint32_t i = 0; i < LEAVES; i++)
		run_leaf(run, &run->leaves[i]);
	while (first = g_sequence_get_begin_iter(run->arrivals),
	       !g_sequence_iter_is_end(first)) {
		struct load_request *q = g_sequence_get(first);

		if (q->at_us > run->time.now_us)
			break;
		g_sequence_remove(first);
		start_request(run, q);
	}
	for (uint32_t i = 0; i < run->host_count; i++) {
		advance_quotas(&run->hosts[i]);
		if (router_next_timer(run->hosts[i].router) <= run->time.now_us)
			router_advance(run->hosts[i].router);
	}
}

/* Order in which an oracle gives capacity to the requests of a second. */
struct oracle {
	const struct load_pattern *pattern;
	/** Knows the mean work of each route only, not that of a request. */
	bool is_blind;
};

static double known_work(const struct oracle *o, const struct load_request *q)
{
	return o->is_blind ? base_work_us[q->route] : q->work_us;
}

/*
 * The organisation that sends too much goes after all others: it must displace
 * its own requests first. Where the others fit into the capacity, as here, no
 * schedule that respects this serves more requests: all of the others, and
 * those of the first organisation that need the least work.
 */
static gint compare_for_oracle(gconstpointer a, gconstpointer b, gpointer ctx)
{
	const struct load_request *x = *(const struct load_request *const *)a;
	const struct load_request *y = *(const struct load_request *const *)b;
	const struct oracle *o = ctx;

	if (o->pattern->organisation && !x->organisation != !y->organisation)
		return !x->organisation ? 1 : -1;
	if (known_work(o, x) != known_work(o, y))
		return known_work(o, x) < known_work(o, y) ? -1 : 1;
	return compare_arrivals(x, y, NULL);
}

/*
 * Worth of an oracle that fills the capacity of each second with the requests
 * of the least work; no scheduler with its knowledge can do better.
 */
static double oracle_worth(const struct load_run *run, struct oracle *o)
{
	GPtrArray *sorted = g_ptr_array_new();
	double worth = 0;

	for (int64_t from = WARM_UP_US; from < RUN_US; from += US_PER_S) {
		double left =
			(is_changed(run, from) ? run->capacity : 3.0 * SLOTS) *
			US_PER_S;

		g_ptr_array_set_size(sorted, 0);
		for (guint i = 0; i < run->requests->len; i++) {
			struct load_request *q = run->requests->pdata[i];

			if (!q->is_repeat && q->at_us >= from &&
			    q->at_us < from + US_PER_S)
				g_ptr_array_add(sorted, q);
		}
		g_ptr_array_sort_with_data(sorted, compare_for_oracle, o);
		for (guint i = 0; i < sorted->len && left > 0; i++) {
			const struct load_request *q = sorted->pdata[i];

			left -= q->work_us;
			worth += left > 0;
		}
	}
	g_ptr_array_free(sorted, TRUE);
	return worth;
}

static void count_request(const struct load_request *q,
			  struct load_figures *out)
{
	bool is_in_goal = q->worth > LATE_WORTH;
	bool is_other = q->organisation > 0;

	out->worth += q->worth;
	out->work_us += q->done_us;
	out->in_goal_by_route[q->route] += is_in_goal;
	out->in_goal_by_organisation[is_other] += is_in_goal;
	out->late += q->worth > 0 && !is_in_goal;
	out->unanswered += !q->end_us;
	out->failed += !q->worth && !q->is_refused;
	if (!is_in_goal)
		out->wasted_us += q->done_us;
	if (q->is_refused) {
		out->refused++;
		out->refused_held += q->end_us - q->at_us >
				     goals_us[q->route] / 4;
		out->refused_soon += q->end_us - q->at_us <= 100 * US_PER_MS;
	}
	if (q->first_at_us >= (WARM_UP_US + RUN_US) / 2)
		out->in_goal_at_end += is_in_goal;
	if (q->is_repeat)
		return;
	out->offered++;
	out->offered_by_route[q->route]++;
	out->offered_by_organisation[is_other]++;
	out->offered_at_end += q->first_at_us >= (WARM_UP_US + RUN_US) / 2;
}

static void report_outcome(const struct load_pattern *p,
			   const struct load_request *q)
{
	struct load_outcome o = {
		.route = q->route,
		.organisation = q->organisation,
		.status = q->status,
		.code = q->code,
		.is_in_goal = q->worth > LATE_WORTH,
		.worth = q->worth,
	};

	if (p->handle_outcome && !q->is_repeated)
		p->handle_outcome(p->ctx, &o);
}

static void handle_event(void *ctx, enum event_id id, const char *fields)
{
}

void load_run(const struct load_pattern *pattern, uint32_t hosts, uint64_t seed,
	      struct load_figures *out)
{
	struct load_run run = {
		.pattern = pattern,
		.host_count = hosts,
		.capacity = 3.0 * SLOTS,
		.random = g_rand_new_with_seed((guint32)seed),
		.arrivals = g_sequence_new(NULL),
		.requests = g_ptr_array_new_with_free_func(g_free),
	};
	uint32_t orgs = pattern->organisation ? LOAD_ORGANISATIONS : 1;

	event_set_sink(handle_event, NULL);
	create_hosts(&run, seed);
	for (uint32_t i = 0; i < 2 * orgs; i++)
		add_arrivals(&run, i % 2, i / 2,
			     base_rates[i % 2] *
				     organisation_share(pattern, i / 2));
	for (; run.time.now_us < RUN_US + 5 * US_PER_S;
	     run.time.now_us += TICK_US) {
		if (run.time.now_us == WARM_UP_US)
			lose_leaves(&run);
		tick(&run);
	}
	memset(out, 0, sizeof(*out));
	for (guint i = 0; i < run.requests->len; i++) {
		const struct load_request *q = run.requests->pdata[i];

		if (q->first_at_us < WARM_UP_US)
			continue;
		count_request(q, out);
		report_outcome(pattern, q);
	}
	out->outside = run.outside;
	out->oracle = oracle_worth(&run, &(struct oracle){ pattern, false });
	out->bound = oracle_worth(&run, &(struct oracle){ pattern, true });
	for (uint32_t i = 0; i < hosts; i++)
		destroy_host(&run.hosts[i]);
	event_set_sink(NULL, NULL);
	g_sequence_free(run.arrivals);
	g_ptr_array_free(run.requests, TRUE);
	g_rand_free(run.random);
}
