#include "fake_router.h"

#include <arpa/inet.h>
#include <string.h>

static void handle_start_call(void *ctx, const struct router_call *call)
{
	struct fake_router *f = ctx;
	struct fake_call *c = &f->calls[f->call_count % FAKE_CALLS_MAX];

	f->call_count++;
	*c = (struct fake_call){
		.id = call->id,
		.leaf = call->leaf,
		.sent_us = f->time.now_us,
		.remaining_us = call->remaining_us,
		.has_organisations = call->has_organisations,
		.is_open = true,
	};
	if (call->organisation)
		g_strlcpy(c->organisation, call->organisation,
			  sizeof(c->organisation));
	g_strlcpy(c->leaf_id, call->leaf->entry.id, sizeof(c->leaf_id));
	g_strlcpy(c->service, call->leaf->entry.service, sizeof(c->service));
	g_strlcpy(c->request_id, call->request_id, sizeof(c->request_id));
}

static void handle_cancel_call(void *ctx, uint64_t call_id)
{
	struct fake_router *f = ctx;

	for (uint32_t i = 0; i < f->call_count; i++) {
		if (f->calls[i].id != call_id)
			continue;
		f->calls[i].is_open = false;
		f->calls[i].is_cancelled = true;
	}
}

static void handle_answer(void *ctx, void *user, const struct router_answer *a)
{
	struct fake_router *f = ctx;
	struct fake_answer *out =
		&f->answers[f->answer_count++ % FAKE_ANSWERS_MAX];
	const void *body = a->reply ? a->reply->body->data : a->body;
	size_t len = a->reply ? a->reply->body->len : a->body_len;

	*out = (struct fake_answer){
		.user = user,
		.status = a->status,
		.code = a->code,
		.retry_after_us = a->retry_after_us,
		.stamp_count = a->stamp_count,
		.missing_count = a->missing_count,
		.at_us = f->time.now_us,
	};
	out->body_len = MIN(len, sizeof(out->body));
	if (out->body_len)
		memcpy(out->body, body, out->body_len);
}

static bool handle_detach_call(void *ctx, uint64_t call_id)
{
	return false;
}

static bool handle_withdraw_call(void *ctx, uint64_t call_id)
{
	struct fake_router *f = ctx;

	if (f->has_unsent_calls)
		handle_cancel_call(ctx, call_id);
	return f->has_unsent_calls;
}

static void handle_close_idle(void *ctx, struct route_leaf *leaf)
{
	struct fake_router *f = ctx;

	f->idle_close_count++;
}

static void handle_free_endpoint(void *ctx, struct route_leaf *leaf)
{
}

static bool handle_start_batch(void *ctx, const struct router_batch *b)
{
	struct fake_router *f = ctx;

	if (!f->has_other_host)
		return false;
	f->batch_id = b->id;
	f->batch_shard_count = b->shard_count;
	f->batch_count++;
	return true;
}

static void handle_cancel_batch(void *ctx, uint64_t batch_id)
{
	struct fake_router *f = ctx;

	f->batch_cancel_count++;
}

static void handle_answer_part(void *ctx, void *user,
			       const struct router_answer *a)
{
	struct fake_router *f = ctx;

	f->sent_stamp_count += a->stamp_count;
}

static void handle_claim_rates(void *ctx, const struct rate_claim *claims,
			       uint32_t count)
{
	struct fake_router *f = ctx;

	g_array_append_vals(f->claims, claims, count);
}

static void handle_claim_tokens(void *ctx, const GArray *claims)
{
	struct fake_router *f = ctx;

	for (guint i = 0; i < claims->len; i++) {
		struct token_claim c =
			g_array_index(claims, struct token_claim, i);

		c.key = g_intern_string(c.key);
		g_array_append_val(f->token_claims, c);
	}
}

static const struct router_ops ops = {
	.start_call = handle_start_call,
	.cancel_call = handle_cancel_call,
	.detach_call = handle_detach_call,
	.withdraw_call = handle_withdraw_call,
	.start_batch = handle_start_batch,
	.cancel_batch = handle_cancel_batch,
	.answer_part = handle_answer_part,
	.answer = handle_answer,
	.claim_rates = handle_claim_rates,
	.close_idle = handle_close_idle,
	.claim_tokens = handle_claim_tokens,
	.free_endpoint = handle_free_endpoint,
};

static void set_route(struct route *r, const char *name, bool is_idempotent)
{
	r->name = g_strdup(name);
	r->host = g_strdup("example");
	r->prefix = g_strdup_printf("/%s/", name);
	r->is_idempotent = is_idempotent;
	r->max_attempts = 2;
	r->timeout_us = 1500 * US_PER_MS;
	r->goal_us = 300 * US_PER_MS;
	r->top_k = 3;
	r->min_coverage = 0.75;
	r->shape = ROUTE_SINGLE;
	r->targets = g_new0(struct route_target, 64);
	r->target_count = 1;
}

struct route_table *fake_router_create_table(uint32_t shards, uint64_t version)
{
	struct route_table *t = route_table_create(3, shards);
	char message[128];

	t->version = version;
	for (uint32_t i = 0; i < shards; i++) {
		t->upstreams[i].name = g_strdup_printf("s%u", i);
		t->upstreams[i].max_connections = 64;
	}
	set_route(&t->routes[0], "search", true);
	t->routes[0].shape = ROUTE_GATHER;
	t->routes[0].target_count = shards;
	for (uint32_t i = 0; i < shards; i++)
		t->routes[0].targets[i].upstream = i;
	set_route(&t->routes[1], "get", true);
	set_route(&t->routes[2], "put", false);
	g_assert(!route_table_seal(t, message, sizeof(message)));
	return t;
}

void fake_router_put_leaf(struct fake_router *f, const char *id,
			  const char *service, const char *domain,
			  bool is_draining, int64_t sequence)
{
	struct leaf_entry e = {
		.id = g_strdup(id),
		.service = g_strdup(service),
		.domain = g_strdup(domain),
		.slots = 4,
		.is_draining = is_draining,
		.sequence = sequence,
	};

	e.address.sin_family = AF_INET;
	e.address.sin_port = htons(8080);
	e.address.sin_addr.s_addr = g_str_hash(id);
	leaf_set_put(router_leaves(f->router), &e, f->time.now_us);
	router_leaves_changed(f->router);
}

struct fake_router *fake_router_create(uint32_t shards)
{
	return fake_router_create_seeded(shards, 1);
}

struct fake_router *fake_router_create_seeded(uint32_t shards, uint64_t seed)
{
	static const char *const domains[] = { "a", "b", "c" };
	static char *const regions[] = { "a=north", "b=north", "c=south",
					 NULL };
	struct fake_router *f = g_new0(struct fake_router, 1);
	struct router_options options = {
		.clock = clock_virtual(&f->time),
		.seed = seed,
		.domain = "a",
		.domains = regions,
		.ops = &ops,
		.ctx = f,
	};

	f->time.now_us = 100 * US_PER_S;
	f->rate_limits =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	f->claims = g_array_new(FALSE, FALSE, sizeof(struct rate_claim));
	f->token_claims = g_array_new(FALSE, FALSE, sizeof(struct token_claim));
	f->shards = shards;
	router_create(&f->router, &options);
	router_apply_table(f->router, fake_router_create_table(shards, 1));
	for (uint32_t i = 0; i < 3 * shards; i++) {
		char *service = g_strdup_printf("s%u", i / 3);
		char *id = g_strdup_printf("%s-%s", service, domains[i % 3]);

		fake_router_put_leaf(f, id, service, domains[i % 3], false, 1);
		g_free(service);
		g_free(id);
	}
	return f;
}

void fake_router_destroy(struct fake_router *f)
{
	router_destroy(f->router);
	g_hash_table_destroy(f->rate_limits);
	g_array_free(f->claims, TRUE);
	g_array_free(f->token_claims, TRUE);
	g_free(f);
}

uint64_t fake_router_start_request(struct fake_router *f, const char *path,
				   int64_t wait_us)
{
	struct router_request in = {
		.host = "example",
		.path = path,
		.wait_us = wait_us,
		.user = GUINT_TO_POINTER(++f->request_count),
	};

	g_snprintf(in.id, sizeof(in.id), "r%u", f->request_count);
	return router_start(f->router, &in);
}

void fake_router_advance(struct fake_router *f, int64_t us)
{
	int64_t end = f->time.now_us + us;

	while (f->time.now_us < end) {
		f->time.now_us += MIN(US_PER_MS, end - f->time.now_us);
		router_advance(f->router);
	}
}

void fake_router_set_rate_limit(struct fake_router *f, const char *leaf,
				double per_s)
{
	if (per_s < 0)
		g_hash_table_remove(f->rate_limits, leaf);
	else
		g_hash_table_insert(f->rate_limits, g_strdup(leaf),
				    g_memdup2(&per_s, sizeof(per_s)));
}

void fake_router_set_warm_up(struct fake_router *f, double per_s)
{
	struct route_table *t = fake_router_create_table(
		f->shards, router_version(f->router) + 1);

	for (uint32_t i = 0; i < f->shards; i++)
		t->upstreams[i].warm_up_per_s = per_s;
	router_apply_table(f->router, t);
}

void fake_router_set_cold(struct fake_router *f, const char *leaf, int64_t us)
{
	struct route_leaf *l =
		g_hash_table_lookup(router_leaves(f->router)->leaves, leaf);

	l->cold_until_us = f->time.now_us + us;
}

static struct leaf_rate_limit get_rate_limit(const struct fake_router *f,
					     const char *leaf)
{
	const double *per_s = g_hash_table_lookup(f->rate_limits, leaf);

	if (!per_s)
		return (struct leaf_rate_limit){ RATE_UNLIMITED, 0 };
	return (struct leaf_rate_limit){ RATE_LIMITED, *per_s };
}

bool fake_router_end_call(struct fake_router *f, uint32_t call,
			  enum call_outcome outcome, unsigned int status,
			  const char *body)
{
	struct fake_call *c = &f->calls[call];
	struct router_result result = { .call_id = c->id, .outcome = outcome };

	if (call >= f->call_count || !c->is_open)
		return false;
	c->is_open = false;
	if (status) {
		result.reply = leaf_reply_create();
		result.reply->status = status;
		result.stamp = "stamp";
		result.rate_limit = get_rate_limit(f, c->leaf_id);
		result.load = f->load;
		if (body)
			g_byte_array_append(result.reply->body,
					    (const guint8 *)body,
					    (guint)strlen(body));
	}
	router_call_result(f->router, &result);
	leaf_reply_unref(result.reply);
	return true;
}

void fake_router_answer_all(struct fake_router *f)
{
	for (uint32_t i = 0; i < f->call_count; i++)
		fake_router_end_call(f, i, CALL_ANSWERED, 200,
				     "0123456789abcdef");
}

uint32_t fake_router_calls_to(const struct fake_router *f, const char *id)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < f->call_count; i++)
		count += !strcmp(f->calls[i].leaf_id, id);
	return count;
}
