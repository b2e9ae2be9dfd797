#include <string.h>

#include "common/errors.h"
#include "nutmegpickd/organisation_metrics.h"
#include "nutmegpickd/route_internal.h"
#include "nutmegpickd/route_metrics.h"
#include "platform/headers.h"

/*
 * Minimum time before the first hedge of a request that another host forwarded.
 * That host runs the request itself and sends a cancel if the request was not
 * accepted after 45 ms. The cancel arrives before a second leaf is called here.
 */
#define REMOTE_HEDGE_MIN_US (55 * US_PER_MS)

static struct leaf_endpoint *get_endpoint(struct route_service *s,
					  struct route_leaf *leaf)
{
	if (!leaf->endpoint)
		leaf->endpoint =
			leaf_endpoint_create(s->client, &leaf->entry.address);
	return leaf->endpoint;
}

/* Fills in the head of a request and returns its body. */
static const char *describe_request(const struct caller_request *q,
				    struct platform_request *out)
{
	if (q->frame) {
		const struct gather_request *g = &q->frame->request;

		*out = (struct platform_request){
			.method = g->method,
			.target = g->target,
			.headers = g->headers,
			.body_len = g->body_len,
		};
		return g->body;
	}
	*out = (struct platform_request){
		.method = http_exchange_method(q->exchange),
		.target = http_exchange_target(q->exchange),
		.headers = http_exchange_headers(q->exchange),
	};
	return http_exchange_body(q->exchange, &out->body_len);
}

/* Returns the id as the caller sent it; the router keeps a shorter one. */
static const char *get_request_id(const struct caller_request *q)
{
	return q->frame
		       ? q->frame->request.request_id
		       : http_exchange_header(q->exchange, PLATFORM_REQUEST_ID);
}

static void handle_start_call(void *ctx, const struct router_call *call)
{
	struct route_service *s = ctx;
	struct platform_request in;
	const char *body = describe_request(call->user, &in);
	struct leaf_request out;

	platform_write_call_head(s->call_head, &in, call);
	out = (struct leaf_request){
		.call_id = call->id,
		.head = s->call_head->str,
		.head_len = s->call_head->len,
		.body = body,
		.body_len = in.body_len,
		.request_id = get_request_id(call->user),
		.is_head = !strcmp(in.method, "HEAD"),
		.is_idempotent = call->is_idempotent,
		.deadline_us = clock_now(&s->clock) + call->remaining_us,
	};
	leaf_client_send(get_endpoint(s, call->leaf), &out);
}

static void handle_cancel_call(void *ctx, uint64_t call_id)
{
	struct route_service *s = ctx;

	leaf_client_cancel(s->client, call_id);
}

static bool handle_detach_call(void *ctx, uint64_t call_id)
{
	struct route_service *s = ctx;

	return leaf_client_detach_call(s->client, call_id);
}

static void handle_free_endpoint(void *ctx, struct route_leaf *leaf)
{
	if (leaf->endpoint)
		leaf_endpoint_destroy(leaf->endpoint);
	leaf->endpoint = NULL;
}

static bool handle_withdraw_call(void *ctx, uint64_t call_id)
{
	struct route_service *s = ctx;

	return leaf_client_withdraw_call(s->client, call_id);
}

static void handle_close_idle(void *ctx, struct route_leaf *leaf)
{
	if (leaf->endpoint)
		leaf_endpoint_close_idle(leaf->endpoint);
}

static bool handle_start_batch(void *ctx, const struct router_batch *b)
{
	return route_start_batch(ctx, b);
}

static void handle_cancel_batch(void *ctx, uint64_t batch_id)
{
	route_cancel_batch(ctx, batch_id);
}

static void handle_answer_part(void *ctx, void *user,
			       const struct router_answer *a)
{
	route_send_result_to_sender(ctx, user, a, true);
}

static void handle_claim_rates(void *ctx, const struct rate_claim *claims,
			       uint32_t count)
{
	struct route_service *s = ctx;

	rate_exchange_claim(s->rates, claims, count);
}

static void handle_claim_tokens(void *ctx, const GArray *claims)
{
	struct route_service *s = ctx;

	token_exchange_claim(s->tokens, claims);
}

static void handle_report_rate(void *ctx, const struct leaf_rate_report *report)
{
	route_metrics_note_leaf_rate(report);
}

static void handle_router_answer(void *ctx, void *user,
				 const struct router_answer *a)
{
	route_answer(ctx, user, a);
}

const struct router_ops route_router_ops = {
	.start_call = handle_start_call,
	.cancel_call = handle_cancel_call,
	.detach_call = handle_detach_call,
	.withdraw_call = handle_withdraw_call,
	.start_batch = handle_start_batch,
	.cancel_batch = handle_cancel_batch,
	.answer_part = handle_answer_part,
	.answer = handle_router_answer,
	.claim_rates = handle_claim_rates,
	.claim_tokens = handle_claim_tokens,
	.report_rate = handle_report_rate,
	.close_idle = handle_close_idle,
	.free_endpoint = handle_free_endpoint,
};

static void handle_answer_header(void *ctx, const char *name, const char *value)
{
	http_exchange_add_header(ctx, name, value);
}

static void add_reply_headers(struct http_exchange *x,
			      const struct leaf_reply *reply)
{
	for (guint i = 0; i < reply->headers->len; i++) {
		const struct http_header *h =
			&g_array_index(reply->headers, struct http_header, i);

		if (platform_is_end_to_end_header(h->name))
			http_exchange_add_header(x, h->name, h->value);
	}
}

static void send_answer(struct http_exchange *x, const struct router_answer *a)
{
	const void *body = a->body;
	size_t len = a->body_len;
	char text[128];

	if (a->reply) {
		add_reply_headers(x, a->reply);
		body = a->reply->body->data;
		len = a->reply->body->len;
	} else if (a->code) {
		len = (size_t)g_snprintf(text, sizeof(text), "E%d: %s\n",
					 -a->code, error_text(a->code));
		body = text;
	}
	platform_write_answer_headers(a, handle_answer_header, x);
	http_exchange_reply(x, a->status, NULL, body ? body : "", len);
}

static void release_request(struct route_service *s, struct caller_request *q)
{
	g_queue_unlink(&s->requests, &q->link_node);
	s->held_count -= q->is_held;
	if (q->forward.id)
		g_hash_table_remove(s->forwards, &q->forward.id);
	if (q->frame)
		host_frame_clear(q->frame);
	g_free(q->frame);
	g_free(q->organisation);
	g_free(q->charged_organisation);
	g_free(q);
}

void route_answer(struct route_service *s, struct caller_request *q,
		  const struct router_answer *a)
{
	if (q->exchange) {
		const struct route *route = router_match(
			s->router, http_exchange_header(q->exchange, "Host"),
			http_exchange_target(q->exchange));

		route_metrics_note_answer(route ? route->name : "", a->status,
					  clock_now(&s->clock) - q->start_us);
		organisation_metrics_note_answer(q->organisation, a->status,
						 a->code);
		/* This host answers 401 and 503 only if nothing has run. */
		if ((a->status == 401 || a->status == 503) && !a->reply)
			route_return_quota(s, q);
		send_answer(q->exchange, a);
	} else {
		route_send_result_to_sender(s, q, a, false);
	}
	release_request(s, q);
}

static struct caller_request *create_request(struct route_service *s)
{
	struct caller_request *q = g_new0(struct caller_request, 1);

	q->start_us = clock_now(&s->clock);
	q->link_node.data = q;
	g_queue_push_tail_link(&s->requests, &q->link_node);
	return q;
}

static int64_t time_left(int64_t total_us, int64_t elapsed_us)
{
	return total_us > 0 ? MAX(total_us - elapsed_us, 1) : 0;
}

void route_run_locally(struct route_service *s, struct caller_request *q,
		       bool is_repeat)
{
	int64_t elapsed = clock_now(&s->clock) - q->start_us;
	struct router_request in = {
		.user = q,
		.credentials = q->credentials,
		.is_repeat = is_repeat,
		.gatherers = is_repeat ? 0 : q->gatherers,
	};
	const struct route *route;
	const char *id = get_request_id(q);
	uint64_t request_id;

	if (q->frame) {
		const struct gather_request *g = &q->frame->request;

		in.host = g->host;
		in.path = g->target;
		in.gatherers = g->gatherers;
		in.organisation = *g->organisation ? g->organisation : NULL;
		in.goal_us = MAX(g->goal_left_us, 1);
		in.hedge_min_us = REMOTE_HEDGE_MIN_US;
		if (g->shard_count) {
			in.shards = g->shards;
			in.shard_count = g->shard_count;
		}
	} else {
		in.host = http_exchange_header(q->exchange, "Host");
		in.path = http_exchange_target(q->exchange);
		route = router_match(s->router, in.host, in.path);
		if (route)
			in.goal_us =
				time_left(router_goal_left(route), elapsed);
	}
	g_strlcpy(in.id, id ? id : "", sizeof(in.id));
	in.wait_us = time_left(q->wait_us, elapsed);
	request_id = router_start(s->router, &in);
	/* With id 0 the request is answered, and q is freed. */
	if (request_id)
		q->id = request_id;
}

bool route_identify_caller(struct route_service *s, struct caller_request *q)
{
	struct router_request in = {
		.host = http_exchange_header(q->exchange, "Host"),
		.path = http_exchange_target(q->exchange),
		.credentials = q->credentials,
	};
	struct identity who = router_identify(s->router, &in);

	g_free(q->organisation);
	q->organisation = who.organisation ? g_strdup(who.organisation->name)
					   : NULL;
	if (router_has_organisations(s->router))
		http_exchange_remove_headers(q->exchange,
					     platform_is_identity_header);
	return who.verdict == IDENTITY_ACCEPTED;
}

void route_start_charged(struct route_service *s, struct caller_request *q)
{
	if (!route_identify_caller(s, q) || !route_forward_request(s, q))
		route_run_locally(s, q, false);
}

static void start_request(struct route_service *s, struct caller_request *q)
{
	if (!route_identify_caller(s, q))
		route_run_locally(s, q, false);
	else if (route_charge_quota(s, q))
		route_start_charged(s, q);
}

static void drop_request(struct route_service *s, struct caller_request *q)
{
	route_cancel_quota(s, q);
	route_cancel_forward(s, q);
	if (q->id)
		router_cancel(s->router, q->id);
	if (q->exchange)
		http_exchange_drop(q->exchange);
	release_request(s, q);
}

/*
 * Returns whether to drop a new request because its caller has closed the
 * connection. This is checked for requests that are not idempotent, and for all
 * requests after a pause of the process: those that came meanwhile are read at
 * once, and some of their callers have given up. In other cases
 * route_drop_gone_callers() finds the request.
 */
static bool is_abandoned(struct route_service *s, const struct http_exchange *x)
{
	const struct route *route =
		router_match(s->router, http_exchange_header(x, "Host"),
			     http_exchange_target(x));

	return (s->is_stalled || (route && !route->is_idempotent)) &&
	       http_exchange_is_caller_gone(x);
}

bool route_is_hold_open(const struct route_service *s)
{
	return start_hold_is_open(&s->hold, router_version(s->router),
				  clock_now(&s->clock));
}

void route_start_request(struct route_service *s, struct http_exchange *x)
{
	struct caller_request *q = create_request(s);

	q->exchange = x;
	if (is_abandoned(s, x)) {
		drop_request(s, q);
		return;
	}
	q->wait_us = platform_parse_deadline(
		http_exchange_header(x, PLATFORM_REQUEST_DEADLINE));
	q->credentials = platform_read_credentials(http_exchange_headers(x));
	if (!route_is_hold_open(s)) {
		start_request(s, q);
		return;
	}
	q->is_held = true;
	s->held_count++;
}

void route_release_held(struct route_service *s)
{
	GPtrArray *held;

	if (!s->held_count || route_is_hold_open(s))
		return;
	/* A request that starts may displace others, but none that is held. */
	held = g_ptr_array_sized_new(s->held_count);
	for (GList *i = s->requests.head; i; i = i->next) {
		struct caller_request *q = i->data;

		if (q->is_held)
			g_ptr_array_add(held, q);
	}
	for (guint i = 0; i < held->len; i++) {
		struct caller_request *q = held->pdata[i];

		q->is_held = false;
		s->held_count--;
		start_request(s, q);
	}
	g_ptr_array_free(held, TRUE);
}

void route_start_remote(struct route_service *s, link_id link,
			struct host_frame *frame)
{
	struct caller_request *q = create_request(s);

	q->link = link;
	q->remote_id = frame->request.id;
	q->frame = frame;
	q->wait_us = frame->request.wait_us;
	/*
	 * The other host passes the key on if its table names no organisations.
	 * The next table here may, while the request waits.
	 */
	q->credentials = platform_read_credentials(frame->request.headers);
	route_run_locally(s, q, false);
}

static void cancel_matching(struct route_service *s, link_id link, uint64_t id,
			    bool is_any)
{
	GList *next;

	for (GList *i = s->requests.head; i; i = next) {
		struct caller_request *q = i->data;

		next = i->next;
		if (q->link == link && (is_any || q->remote_id == id))
			drop_request(s, q);
	}
}

void route_cancel_remote(struct route_service *s, link_id link, uint64_t id)
{
	cancel_matching(s, link, id, false);
}

void route_cancel_link_requests(struct route_service *s, link_id link)
{
	cancel_matching(s, link, 0, true);
}

void route_drop_gone_callers(struct route_service *s)
{
	GList *next;

	for (GList *i = s->requests.head; i; i = next) {
		struct caller_request *q = i->data;

		next = i->next;
		if (q->exchange && http_exchange_is_caller_gone(q->exchange))
			drop_request(s, q);
	}
}
