#include "store.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "net/http_server.h"
#include "reply.h"
#include "store_data.h"

#define MAX_BODY (4 * 1024 * 1024)
#define WATCH_HOLD_US (10 * G_USEC_PER_SEC)
#define TICK_US 5000

enum call_kind {
	CALL_RANGE,
	CALL_TXN,
	CALL_WATCH,
	CALL_GRANT,
	CALL_KEEPALIVE,
	CALL_REVOKE,
	CALL_KINDS,
};

static const char *const call_paths[CALL_KINDS] = {
	"/v3/kv/range",	   "/v3/kv/txn",	  "/v3/watch",
	"/v3/lease/grant", "/v3/lease/keepalive", "/v3/lease/revoke",
};

/** Watch that waits for a change, or reply that is delayed until due_us. */
struct held_reply {
	struct http_exchange *exchange;
	int64_t due_us;
	/** Create request of a watch; NULL for a delayed reply. */
	json_t *create;
	int64_t from_revision;
	unsigned int status;
	json_t *document;
};

struct store_standin {
	struct http_server *server;
	pthread_mutex_t lock;
	struct store_data data;
	GPtrArray *held_replies;
	int64_t counts[CALL_KINDS];
	bool is_outage;
	/** Writes until the outage starts or a reply is lost; -1 for never. */
	int64_t writes_until_outage;
	int64_t writes_until_lost_reply;
	int64_t latency_us;
	int64_t stale_revision_count;
};

static void send_reply(struct store_standin *s, struct http_exchange *x,
		       unsigned int status, json_t *document)
{
	struct held_reply *h;

	if (!s->latency_us) {
		reply_json(x, status, document);
		return;
	}
	h = g_new0(struct held_reply, 1);
	h->exchange = x;
	h->due_us = g_get_monotonic_time() + s->latency_us;
	h->status = status;
	h->document = document;
	g_ptr_array_add(s->held_replies, h);
}

static void reply_error(struct store_standin *s, struct http_exchange *x,
			unsigned int status, int code, const char *message)
{
	send_reply(s, x, status,
		   json_pack("{s:s,s:i,s:s}", "error", message, "code", code,
			     "message", message));
}

static void reply_document(struct store_standin *s, struct http_exchange *x,
			   json_t *document)
{
	if (document)
		send_reply(s, x, 200, document);
	else
		reply_error(s, x, 400, 3, "malformed request");
}

static void reply_watch(struct store_standin *s, const struct held_reply *h,
			json_t *events)
{
	json_t *created = json_pack("{s:{s:o,s:b}}", "result", "header",
				    store_data_header(&s->data), "created", 1);
	json_t *message = events ? json_pack("{s:{s:o,s:o}}", "result",
					     "header",
					     store_data_header(&s->data),
					     "events", events)
				 : NULL;
	char *first = json_dumps(created, JSON_COMPACT);
	char *second = message ? json_dumps(message, JSON_COMPACT) : NULL;
	char *body = g_strdup_printf("%s\n%s%s", first, second ? second : "",
				     second ? "\n" : "");

	http_exchange_reply(h->exchange, 200, "application/json", body,
			    strlen(body));
	g_free(body);
	free(first);
	free(second);
	json_decref(created);
	json_decref(message);
}

/* Sends a held reply if it is due. Returns whether it was sent. */
static bool finish_held_reply(struct store_standin *s, struct held_reply *h,
			      int64_t now)
{
	json_t *events;

	if (!h->create) {
		if (h->due_us > now)
			return false;
		reply_json(h->exchange, h->status, h->document);
		return true;
	}
	events = store_data_events(&s->data, h->create, h->from_revision);
	if (!events && h->due_us > now)
		return false;
	reply_watch(s, h, events);
	json_decref(h->create);
	return true;
}

static void finish_held_replies(struct store_standin *s)
{
	int64_t now = g_get_monotonic_time();

	for (guint i = s->held_replies->len; i > 0; i--) {
		struct held_reply *h = s->held_replies->pdata[i - 1];

		if (!finish_held_reply(s, h, now))
			continue;
		g_ptr_array_remove_index(s->held_replies, i - 1);
		g_free(h);
	}
}

static void drop_held_replies(struct store_standin *s)
{
	for (guint i = 0; i < s->held_replies->len; i++) {
		struct held_reply *h = s->held_replies->pdata[i];

		http_exchange_drop(h->exchange);
		json_decref(h->create);
		json_decref(h->document);
		g_free(h);
	}
	g_ptr_array_set_size(s->held_replies, 0);
}

static void handle_watch(struct store_standin *s, struct http_exchange *x,
			 const json_t *request)
{
	json_t *create = json_object_get(request, "create_request");
	struct held_reply *h;

	if (!json_is_object(create)) {
		reply_error(s, x, 400, 3, "malformed request");
		return;
	}
	h = g_new0(struct held_reply, 1);
	h->exchange = x;
	h->create = json_incref(create);
	h->from_revision = store_data_integer(create, "start_revision");
	if (!h->from_revision)
		h->from_revision = s->data.revision + 1;
	h->due_us = g_get_monotonic_time() + WATCH_HOLD_US;
	g_ptr_array_add(s->held_replies, h);
}

static void handle_keepalive(struct store_standin *s, struct http_exchange *x,
			     const json_t *request)
{
	json_t *result = store_data_renew_lease(&s->data, request,
						g_get_monotonic_time());

	/* For a lease that does not exist, etcd replies without a TTL. */
	if (!result)
		result = json_pack("{s:o,s:O}", "header",
				   store_data_header(&s->data), "ID",
				   json_object_get(request, "ID"));
	send_reply(s, x, 200, json_pack("{s:o}", "result", result));
}

static void handle_revoke(struct store_standin *s, struct http_exchange *x,
			  const json_t *request)
{
	if (!store_data_revoke_lease(&s->data,
				     store_data_integer(request, "ID"))) {
		reply_error(s, x, 404, 5, "requested lease not found");
		return;
	}
	send_reply(s, x, 200,
		   json_pack("{s:o}", "header", store_data_header(&s->data)));
}

/* Counts a write unless left is negative; returns whether left is now 0. */
static bool count_down_write(int64_t *left)
{
	if (*left < 0)
		return false;
	return --*left == 0;
}

static void handle_txn(struct store_standin *s, struct http_exchange *x,
		       const json_t *request)
{
	int64_t before = s->data.revision;
	json_t *reply = store_data_txn(&s->data, request);
	bool is_write = s->data.revision > before;

	if (is_write && count_down_write(&s->writes_until_outage)) {
		s->is_outage = true;
		drop_held_replies(s);
	}
	if (is_write && count_down_write(&s->writes_until_lost_reply)) {
		json_decref(reply);
		http_exchange_drop(x);
		return;
	}
	reply_document(s, x, reply);
}

static void handle_call(struct store_standin *s, struct http_exchange *x,
			enum call_kind kind, const json_t *request)
{
	switch (kind) {
	case CALL_RANGE:
		reply_document(
			s, x,
			store_data_range(
				&s->data, request,
				MAX(s->data.revision - s->stale_revision_count,
				    0)));
		break;
	case CALL_TXN:
		handle_txn(s, x, request);
		break;
	case CALL_WATCH:
		handle_watch(s, x, request);
		break;
	case CALL_GRANT:
		reply_document(s, x,
			       store_data_grant_lease(&s->data, request,
						      g_get_monotonic_time()));
		break;
	case CALL_KEEPALIVE:
		handle_keepalive(s, x, request);
		break;
	default:
		handle_revoke(s, x, request);
		break;
	}
}

static void read_integer(const json_t *changes, const char *field, int64_t *out)
{
	const json_t *v = json_object_get(changes, field);

	if (json_is_integer(v))
		*out = json_integer_value(v);
}

static void apply_control(struct store_standin *s, const json_t *changes)
{
	const json_t *outage = json_object_get(changes, "outage");
	int64_t latency_ms = s->latency_us / 1000;
	int64_t lease = -1;

	read_integer(changes, "outage_after_writes", &s->writes_until_outage);
	read_integer(changes, "lose_reply_of_write",
		     &s->writes_until_lost_reply);
	read_integer(changes, "stale_by", &s->stale_revision_count);
	read_integer(changes, "latency_ms", &latency_ms);
	read_integer(changes, "lapse_lease", &lease);
	s->latency_us = latency_ms * 1000;
	if (outage)
		s->is_outage = json_is_true(outage);
	if (s->is_outage)
		drop_held_replies(s);
	if (lease > 0)
		store_data_revoke_lease(&s->data, lease);
	if (lease == 0)
		store_data_expire_leases(&s->data, 0, true);
}

static void handle_counts(struct store_standin *s, struct http_exchange *x)
{
	json_t *counts = json_object();

	for (int i = 0; i < CALL_KINDS; i++)
		json_object_set_new(counts, strrchr(call_paths[i], '/') + 1,
				    json_integer(s->counts[i]));
	reply_json(x, 200, counts);
}

static void route_request(struct store_standin *s, struct http_exchange *x,
			  const json_t *request)
{
	const char *path = http_exchange_path(x);

	if (!strcmp(path, "/control")) {
		apply_control(s, request);
		reply_json(x, 200, json_object());
		return;
	}
	if (!strcmp(path, "/counts")) {
		handle_counts(s, x);
		return;
	}
	for (int i = 0; i < CALL_KINDS; i++) {
		if (strcmp(path, call_paths[i]))
			continue;
		s->counts[i]++;
		if (s->is_outage)
			http_exchange_drop(x);
		else
			handle_call(s, x, (enum call_kind)i, request);
		return;
	}
	reply_error(s, x, 404, 12, "no such path");
}

static void handle_request(void *ctx, struct http_exchange *x)
{
	struct store_standin *s = ctx;
	size_t len;
	const char *text = http_exchange_body(x, &len);
	json_t *request = json_loadb(text, len, 0, NULL);

	pthread_mutex_lock(&s->lock);
	route_request(s, x, request);
	finish_held_replies(s);
	pthread_mutex_unlock(&s->lock);
	json_decref(request);
}

static void *run_timers(void *ctx)
{
	struct store_standin *s = ctx;

	for (;;) {
		g_usleep(TICK_US);
		pthread_mutex_lock(&s->lock);
		store_data_expire_leases(&s->data, g_get_monotonic_time(),
					 false);
		finish_held_replies(s);
		pthread_mutex_unlock(&s->lock);
	}
	return NULL;
}

struct store_standin *store_standin_create(const char *address)
{
	struct store_standin *s = g_new0(struct store_standin, 1);
	struct http_server_options options = {
		.address = address,
		.max_body = MAX_BODY,
		.handle_request = handle_request,
		.ctx = s,
	};
	pthread_t thread;

	pthread_mutex_init(&s->lock, NULL);
	store_data_init(&s->data);
	s->held_replies = g_ptr_array_new();
	s->writes_until_outage = -1;
	s->writes_until_lost_reply = -1;
	if (http_server_create(&s->server, &options))
		return NULL;
	pthread_create(&thread, NULL, run_timers, s);
	return s;
}

uint16_t store_standin_port(const struct store_standin *s)
{
	return http_server_port(s->server);
}

void store_standin_control(struct store_standin *s, const json_t *changes)
{
	pthread_mutex_lock(&s->lock);
	apply_control(s, changes);
	finish_held_replies(s);
	pthread_mutex_unlock(&s->lock);
}
