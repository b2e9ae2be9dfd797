#include "nutmegpickd/route_service.h"

#include <pthread.h>
#include <string.h>

#include "common/errors.h"
#include "common/events.h"
#include "common/ring.h"
#include "net/http_server.h"
#include "net/leaf_client.h"
#include "nutmegpickd/registry_thread.h"
#include "platform/headers.h"
#include "router/router.h"

#define EVENT_RING_SIZE 8192
/* Interval at which idle connections and late calls are looked for. */
#define SWEEP_US (100 * US_PER_MS)
/*
 * Interval at which callers that have left are looked for. Their calls must end
 * within half a second.
 */
#define GONE_CHECK_US (150 * US_PER_MS)
#define IDLE_WAIT_US (1 * US_PER_S)

enum route_event_type {
	ROUTE_EVENT_REQUEST,
	ROUTE_EVENT_NEWS,
	ROUTE_EVENT_EXIT,
};

/** Message to the router thread. */
struct route_event {
	enum route_event_type type;
	struct http_exchange *exchange;
	struct registry_news *news;
};

/** Request of a caller, from its arrival to its answer. */
struct caller_request {
	struct http_exchange *exchange;
	uint64_t id;
	GList link;
};

/** Result that came while the router was at work. */
struct late_result {
	uint64_t call_id;
	enum transfer_end end;
	struct leaf_reply *reply;
};

struct route_service {
	struct settings settings;
	struct np_clock clock;
	struct ring *events;
	struct leaf_client *client;
	struct router *router;
	struct http_server *server;
	struct http_server *ready_server;
	struct registry_thread *registry;
	/** Requests in flight. */
	GQueue requests;
	/** Of struct late_result. */
	GArray *late_results;
	bool is_in_router;
	bool has_routes;
	bool has_leaves;
	bool is_exiting;
	/** Read by the thread of the readiness check. */
	bool is_ready;
	int64_t next_sweep_us;
	int64_t next_gone_check_us;
	GString *head;
	pthread_t thread;
};

static void send_event(struct route_service *s, struct route_event event)
{
	struct route_event *e = g_new(struct route_event, 1);

	*e = event;
	while (ring_push(s->events, e))
		g_usleep(1000);
}

/* Actions of the router */

static struct leaf_endpoint *endpoint_of(struct route_service *s,
					 struct route_leaf *leaf)
{
	if (!leaf->endpoint)
		leaf->endpoint =
			leaf_endpoint_create(s->client, &leaf->entry.address);
	return leaf->endpoint;
}

static void handle_start_call(void *ctx, const struct router_call *call)
{
	struct route_service *s = ctx;
	struct caller_request *q = call->user;
	struct platform_request in = {
		.method = http_exchange_method(q->exchange),
		.target = http_exchange_target(q->exchange),
		.headers = http_exchange_headers(q->exchange),
	};
	const char *body = http_exchange_body(q->exchange, &in.body_len);
	struct leaf_request out = { 0 };

	platform_write_call(s->head, &in, call);
	out = (struct leaf_request){
		.call_id = call->id,
		.head = s->head->str,
		.head_len = s->head->len,
		.body = body,
		.body_len = in.body_len,
		.request_id = call->request_id,
		.is_head = !strcmp(in.method, "HEAD"),
		.is_idempotent = call->is_idempotent,
		.deadline_us = clock_now(&s->clock) + call->remaining_us,
	};
	leaf_client_send(endpoint_of(s, call->leaf), &out);
}

static void handle_cancel_call(void *ctx, uint64_t call_id)
{
	struct route_service *s = ctx;

	leaf_client_cancel(s->client, call_id);
}

static void handle_forget_leaf(void *ctx, struct route_leaf *leaf)
{
	if (leaf->endpoint)
		leaf_endpoint_destroy(leaf->endpoint);
	leaf->endpoint = NULL;
}

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

		if (platform_is_end_to_end(h->name))
			http_exchange_add_header(x, h->name, h->value);
	}
}

static void handle_answer(void *ctx, void *user, const struct router_answer *a)
{
	struct route_service *s = ctx;
	struct caller_request *q = user;
	const void *body = a->body;
	size_t len = a->body_len;
	char text[128];

	if (a->reply) {
		add_reply_headers(q->exchange, a->reply);
		body = a->reply->body->data;
		len = a->reply->body->len;
	} else if (a->code) {
		len = (size_t)g_snprintf(text, sizeof(text), "E%d: %s\n",
					 -a->code, error_text(a->code));
		body = text;
	}
	platform_write_answer(a, handle_answer_header, q->exchange);
	http_exchange_reply(q->exchange, a->status, NULL, body ? body : "",
			    len);
	g_queue_unlink(&s->requests, &q->link);
	g_free(q);
}

static const struct router_ops router_ops = {
	.start_call = handle_start_call,
	.cancel_call = handle_cancel_call,
	.answer = handle_answer,
	.forget_leaf = handle_forget_leaf,
};

/* Router thread */

static void give_result(struct route_service *s, uint64_t call_id,
			enum transfer_end end, struct leaf_reply *reply)
{
	struct router_result result = {
		.call_id = call_id,
		.outcome = end == TRANSFER_NOT_SENT ? CALL_NOT_SENT
						    : CALL_BROKEN,
	};

	if (reply)
		platform_read_reply(reply, &result);
	s->is_in_router = true;
	router_call_result(s->router, &result);
	s->is_in_router = false;
}

static void handle_call_end(void *ctx, const struct leaf_transfer *t)
{
	struct route_service *s = ctx;
	struct late_result late = {
		.call_id = t->call_id,
		.end = t->end,
		.reply = t->reply ? leaf_reply_ref(t->reply) : NULL,
	};

	/* The router does not take a result within one of its own actions. */
	g_array_append_val(s->late_results, late);
}

static void give_results(struct route_service *s)
{
	for (guint i = 0; i < s->late_results->len; i++) {
		struct late_result late =
			g_array_index(s->late_results, struct late_result, i);

		give_result(s, late.call_id, late.end, late.reply);
		leaf_reply_unref(late.reply);
	}
	g_array_set_size(s->late_results, 0);
}

static void start_request(struct route_service *s, struct http_exchange *x)
{
	struct caller_request *q = g_new0(struct caller_request, 1);
	const char *id = http_exchange_header(x, PLATFORM_REQUEST_ID);
	struct router_request in = {
		.host = http_exchange_header(x, "Host"),
		.path = http_exchange_target(x),
		.wait_us = platform_read_wait(
			http_exchange_header(x, PLATFORM_WAIT)),
		.user = q,
	};
	uint64_t request_id;

	q->exchange = x;
	q->link.data = q;
	g_queue_push_tail_link(&s->requests, &q->link);
	g_strlcpy(in.id, id ? id : "", sizeof(in.id));
	request_id = router_start(s->router, &in);
	if (request_id)
		q->id = request_id;
}

static void take_news(struct route_service *s, struct registry_news *n)
{
	struct leaf_set *leaves = router_leaves(s->router);
	int64_t now = clock_now(&s->clock);

	if (n->table) {
		router_apply_table(s->router, route_table_ref(n->table));
		s->has_routes = true;
	}
	if (n->is_complete) {
		GHashTable *ids = g_hash_table_new(g_str_hash, g_str_equal);

		for (guint i = 0; i < n->entries->len; i++)
			g_hash_table_add(ids,
					 g_array_index(n->entries,
						       struct leaf_entry, i)
						 .id);
		leaf_set_retain(leaves, ids, n->grace_us, now);
		g_hash_table_destroy(ids);
		s->has_leaves = true;
	}
	for (guint i = 0; i < n->removed->len; i++)
		leaf_set_remove(leaves, n->removed->pdata[i], n->grace_us, now);
	for (guint i = 0; i < n->entries->len; i++)
		leaf_set_put(leaves,
			     &g_array_index(n->entries, struct leaf_entry, i),
			     now);
	router_leaves_changed(s->router);
	__atomic_store_n(&s->is_ready, s->has_routes && s->has_leaves,
			 __ATOMIC_RELEASE);
	registry_news_free(n);
}

static void take_events(struct route_service *s)
{
	struct route_event *e;

	ring_clear_wakeup(s->events);
	while ((e = ring_pop(s->events))) {
		switch (e->type) {
		case ROUTE_EVENT_REQUEST:
			start_request(s, e->exchange);
			break;
		case ROUTE_EVENT_NEWS:
			take_news(s, e->news);
			break;
		case ROUTE_EVENT_EXIT:
			s->is_exiting = true;
			break;
		}
		g_free(e);
	}
}

static void check_gone(struct route_service *s)
{
	GList *next;

	for (GList *i = s->requests.head; i; i = next) {
		struct caller_request *q = i->data;

		next = i->next;
		if (!http_exchange_is_gone(q->exchange))
			continue;
		router_cancel(s->router, q->id);
		g_queue_unlink(&s->requests, &q->link);
		http_exchange_drop(q->exchange);
		g_free(q);
	}
}

static int64_t next_wait(const struct route_service *s, int64_t now)
{
	int64_t next = MIN(router_next_timer(s->router), now + IDLE_WAIT_US);

	if (leaf_client_count(s->client).open)
		next = MIN(next, s->next_sweep_us);
	if (s->requests.length)
		next = MIN(next, s->next_gone_check_us);
	return MAX(next - now, 0);
}

static void *run(void *ctx)
{
	struct route_service *s = ctx;

	while (!s->is_exiting) {
		int64_t now = clock_now(&s->clock);

		if (leaf_client_poll(s->client, next_wait(s, now)))
			take_events(s);
		now = clock_now(&s->clock);
		if (now >= s->next_sweep_us) {
			s->next_sweep_us = now + SWEEP_US;
			leaf_client_sweep(s->client);
		}
		give_results(s);
		if (now >= s->next_gone_check_us) {
			s->next_gone_check_us = now + GONE_CHECK_US;
			check_gone(s);
		}
		router_advance(s->router);
		give_results(s);
	}
	return NULL;
}

/* Other threads */

static void handle_request(void *ctx, struct http_exchange *x)
{
	send_event(ctx, (struct route_event){ .type = ROUTE_EVENT_REQUEST,
					      .exchange = x });
}

static void handle_news(void *ctx, struct registry_news *n)
{
	send_event(ctx,
		   (struct route_event){ .type = ROUTE_EVENT_NEWS, .news = n });
}

static void handle_ready_check(void *ctx, struct http_exchange *x)
{
	struct route_service *s = ctx;
	bool is_ready = !strcmp(http_exchange_path(x), PLATFORM_READY_PATH) &&
			__atomic_load_n(&s->is_ready, __ATOMIC_ACQUIRE);

	http_exchange_reply(x, is_ready ? 200 : 503, "text/plain",
			    is_ready ? "ready\n" : "not ready\n",
			    is_ready ? 6 : 10);
}

static int start_servers(struct route_service *s)
{
	struct http_server_options options = {
		.address = s->settings.listen_http,
		.handle_request = handle_request,
		.ctx = s,
	};
	int ret = http_server_create(&s->server, &options);

	if (ret || !s->settings.listen_ready)
		return ret;
	options.address = s->settings.listen_ready;
	options.handle_request = handle_ready_check;
	return http_server_create(&s->ready_server, &options);
}

int route_service_start(struct route_service **out,
			const struct settings *settings, struct np_clock clock)
{
	struct route_service *s = g_new0(struct route_service, 1);
	struct leaf_client_options client_options = {
		.clock = clock,
		.echo_header = PLATFORM_REQUEST_ID,
		.handle_end = handle_call_end,
		.ctx = s,
	};
	struct router_options router_options = {
		.clock = clock,
		.seed = (uint64_t)clock_wall(&clock),
		.host = settings->host_id,
		.domain = settings->domain,
		.domains = settings->domains,
		.ops = &router_ops,
		.ctx = s,
	};
	struct registry_thread_options registry_options = {
		.clock = clock,
		.address = settings->registry,
		.handle_news = handle_news,
		.ctx = s,
	};
	int ret;

	s->settings = *settings;
	s->clock = clock;
	s->head = g_string_sized_new(1024);
	s->late_results = g_array_new(FALSE, TRUE, sizeof(struct late_result));
	ret = ring_create(&s->events, EVENT_RING_SIZE);
	if (!ret)
		ret = leaf_client_create(&s->client, &client_options);
	if (!ret)
		ret = leaf_client_watch(s->client, ring_fd(s->events));
	if (!ret)
		ret = router_create(&s->router, &router_options);
	if (!ret)
		ret = registry_thread_start(&s->registry, &registry_options);
	if (ret)
		return ret;
	pthread_create(&s->thread, NULL, run, s);
	ret = start_servers(s);
	*out = s;
	return ret;
}

void route_service_stop(struct route_service *s)
{
	unsigned int left;

	__atomic_store_n(&s->is_ready, false, __ATOMIC_RELEASE);
	http_server_drain(s->server);
	g_usleep((gulong)s->settings.drain_delay_us);
	left = http_server_stop(s->server, s->settings.stop_timeout_us);
	if (left)
		event_log(EV_STOP_TIMEOUT, "host=%s connections=%u",
			  s->settings.host_id, left);
	registry_thread_stop(s->registry);
	send_event(s, (struct route_event){ .type = ROUTE_EVENT_EXIT });
	pthread_join(s->thread, NULL);
}
