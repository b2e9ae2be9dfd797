#include "store/etcd.h"

#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <glib.h>

#include "common/errors.h"
#include "common/events.h"
#include "store/gateway.h"

#define CONNECT_TIMEOUT_US (500 * US_PER_MS)
#define ATTEMPT_TIMEOUT_US (2 * US_PER_S)
#define CALL_TIMEOUT_US (5 * US_PER_S)
#define WATCH_TIMEOUT_US (60 * US_PER_S)
#define BACKOFF_US (50 * US_PER_MS)
#define MAX_BACKOFF_US (1 * US_PER_S)
#define MAX_ATTEMPTS 8

struct etcd_call {
	struct etcd *etcd;
	uint64_t id;
	struct gateway_call gateway;
	/** Whether the call may change the store. */
	bool is_write;
	struct store_callback done;
	char *body;
	/** Bytes received so far; of a watch, those of the next message. */
	GString *reply;
	/** NULL while the call waits for its next attempt. */
	CURL *easy;
	/** Index of the endpoint of this attempt or of the next one. */
	size_t endpoint;
	int attempts;
	int64_t retry_at_us;
	int64_t deadline_us;
	/** Failure found while the reply was received; 0 or negative. */
	int fault;
};

struct etcd {
	struct np_clock clock;
	struct etcd_options options;
	char **endpoints;
	/** Index of the endpoint that new calls try first. */
	size_t endpoint;
	CURLM *multi;
	struct curl_slist *headers;
	GRand *rand;
	/** Calls by id, including those that wait for their next attempt. */
	GHashTable *calls;
	uint64_t last_id;
};

static void end_attempt(struct etcd_call *c)
{
	if (!c->easy)
		return;
	curl_multi_remove_handle(c->etcd->multi, c->easy);
	curl_easy_cleanup(c->easy);
	c->easy = NULL;
}

static void call_free(struct etcd_call *c)
{
	end_attempt(c);
	g_string_free(c->reply, TRUE);
	g_strfreev(c->gateway.reads);
	g_free(c->gateway.key);
	free(c->body);
	g_free(c);
}

static size_t handle_data(char *data, size_t size, size_t count, void *ctx)
{
	struct etcd_call *c = ctx;
	size_t len = size * count;

	if (c->reply->len + len > GATEWAY_REPLY_MAX) {
		c->fault = -ERR_STORE_REPLY_SIZE;
		return 0;
	}
	g_string_append_len(c->reply, data, (gssize)len);
	return len;
}

static long to_ms(int64_t us)
{
	return (long)MAX(us / US_PER_MS, 1);
}

static int64_t attempt_timeout(const struct etcd_call *c, int64_t now)
{
	const struct etcd_options *o = &c->etcd->options;

	if (c->gateway.call == STORE_WATCH)
		return o->watch_timeout_us;
	return MIN(o->attempt_timeout_us, c->deadline_us - now);
}

static void start_attempt(struct etcd_call *c)
{
	struct etcd *e = c->etcd;
	int64_t now = clock_now(&e->clock);
	char *url = g_strdup_printf("http://%s%s", e->endpoints[c->endpoint],
				    gateway_path(c->gateway.call));
	CURL *easy = curl_easy_init();

	c->easy = easy;
	c->attempts++;
	c->fault = 0;
	g_string_truncate(c->reply, 0);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, c->body);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, e->headers);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, handle_data);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, c);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, c);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 to_ms(e->options.connect_timeout_us));
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
			 to_ms(attempt_timeout(c, now)));
	/*
	 * libcurl sends a request again if a reused connection turns out to be
	 * closed. A write must not be sent twice, so it gets a new connection.
	 */
	if (c->is_write)
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_multi_add_handle(e->multi, easy);
	g_free(url);
}

static struct etcd_call *call_create(struct etcd *e, enum store_call call,
				     const char *key, char *body,
				     struct store_callback done)
{
	struct etcd_call *c = g_new0(struct etcd_call, 1);

	c->etcd = e;
	c->id = ++e->last_id;
	c->gateway.call = call;
	c->gateway.key = g_strdup(key);
	c->body = body;
	c->done = done;
	c->reply = g_string_new(NULL);
	c->endpoint = e->endpoint;
	c->deadline_us = clock_now(&e->clock) + e->options.call_timeout_us;
	g_hash_table_insert(e->calls, &c->id, c);
	return c;
}

static void finish_call(struct etcd_call *c, struct store_reply *reply)
{
	enum store_call call = c->gateway.call;
	struct store_callback done = c->done;

	if (reply->code == -ERR_STORE_UNKNOWN)
		event_log(EV_STORE_WRITE_UNKNOWN, "call=%s cause=E%d",
			  store_call_name(call), -reply->cause);
	g_hash_table_steal(c->etcd->calls, &c->id);
	call_free(c);
	store_deliver_reply(call, done, reply);
}

/* Whether a failure is final: the call had no effect, or the watch ended. */
static bool is_definite_failure(int code)
{
	return code == -ERR_STORE_REFUSED || code == -ERR_STORE_LEASE_GONE ||
	       code == -ERR_STORE_COMPACTED || code == -ERR_STORE_WATCH_END;
}

static int64_t pick_backoff(struct etcd *e, int attempts)
{
	int64_t mean = e->options.backoff_us << MIN(attempts - 1, 10);

	mean = MIN(mean, MAX_BACKOFF_US);
	return (int64_t)((double)mean * g_rand_double_range(e->rand, 0.5, 1.5));
}

static bool can_retry(const struct etcd_call *c, int code, bool is_sent)
{
	if (is_definite_failure(code) || c->attempts >= MAX_ATTEMPTS)
		return false;
	return !is_sent || !c->is_write;
}

static void fail_call(struct etcd_call *c, int code, bool is_sent)
{
	struct etcd *e = c->etcd;
	int64_t wait = pick_backoff(e, c->attempts);
	int64_t now = clock_now(&e->clock);
	struct store_reply reply = { .code = code };

	end_attempt(c);
	c->endpoint = (c->endpoint + 1) % e->options.endpoint_count;
	if (!is_definite_failure(code))
		e->endpoint = c->endpoint;
	if (can_retry(c, code, is_sent) && now + wait < c->deadline_us) {
		c->retry_at_us = now + wait;
		/* The call counter includes retries of calls that were sent. */
		if (is_sent)
			store_count_call(c->gateway.call);
		event_log(EV_STORE_RETRY, "call=%s cause=E%d endpoint=%s",
			  store_call_name(c->gateway.call), -code,
			  e->endpoints[c->endpoint]);
		return;
	}
	if (is_sent && !is_definite_failure(code) && c->is_write) {
		reply.code = -ERR_STORE_UNKNOWN;
		reply.cause = code;
	}
	finish_call(c, &reply);
}

static int classify_transfer(const struct etcd_call *c, CURLcode result)
{
	if (c->fault)
		return c->fault;
	switch (result) {
	case CURLE_OK:
		return 0;
	case CURLE_OPERATION_TIMEDOUT:
		return -ERR_STORE_TIMEOUT;
	case CURLE_PARTIAL_FILE:
	case CURLE_RECV_ERROR:
		return -ERR_STORE_REPLY_TRUNCATED;
	case CURLE_WEIRD_SERVER_REPLY:
	case CURLE_UNSUPPORTED_PROTOCOL:
	case CURLE_BAD_CONTENT_ENCODING:
		return -ERR_STORE_PROTOCOL;
	default:
		return -ERR_STORE_DOWN;
	}
}

static void finish_watch(struct etcd_call *c, int code, long status)
{
	/*
	 * A watch ends normally when its body ends or at its timeout, unless
	 * the last message is incomplete.
	 */
	if (!code || (code == -ERR_STORE_TIMEOUT && status == 200))
		code = c->reply->len ? -ERR_STORE_REPLY_TRUNCATED
				     : -ERR_STORE_WATCH_END;
	fail_call(c, code, true);
}

static void finish_attempt(struct etcd_call *c, CURLcode result)
{
	int code = classify_transfer(c, result);
	struct store_reply reply = { 0 };
	long sent = 0;
	long status = 0;

	curl_easy_getinfo(c->easy, CURLINFO_REQUEST_SIZE, &sent);
	curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &status);
	if (!code && status != 200)
		code = gateway_decode_error(&c->gateway, c->reply->str,
					    c->reply->len);
	if (c->gateway.call == STORE_WATCH) {
		finish_watch(c, code, status);
		return;
	}
	if (!code)
		code = gateway_decode(&c->gateway, c->reply->str, c->reply->len,
				      &reply);
	if (code) {
		store_reply_clear(&reply);
		fail_call(c, code, sent > 0);
		return;
	}
	c->etcd->endpoint = c->endpoint;
	finish_call(c, &reply);
}

static void handle_get(void *ctx, const struct store_get *get,
		       struct store_callback done)
{
	struct etcd_call *c = call_create(ctx, STORE_GET, get->key,
					  gateway_encode_get(get), done);

	c->gateway.is_prefix = get->is_prefix;
	start_attempt(c);
}

static void handle_txn(void *ctx, const struct store_txn *txn,
		       struct store_callback done)
{
	struct etcd_call *c =
		call_create(ctx, STORE_TXN, "", gateway_encode_txn(txn), done);

	c->is_write = txn->put_count > 0;
	c->gateway.put_count = txn->put_count;
	c->gateway.reads = g_new0(char *, txn->read_count + 1);
	for (size_t i = 0; i < txn->read_count; i++)
		c->gateway.reads[i] = g_strdup(txn->reads[i]);
	start_attempt(c);
}

static uint64_t handle_watch(void *ctx, const struct store_watch *watch,
			     struct store_callback done)
{
	struct etcd_call *c = call_create(ctx, STORE_WATCH, watch->key,
					  gateway_encode_watch(watch), done);

	c->gateway.is_prefix = watch->is_prefix;
	/*
	 * A watch is never retried here: the caller must first read the changes
	 * that it missed.
	 */
	c->attempts = MAX_ATTEMPTS;
	start_attempt(c);
	return c->id;
}

static void handle_watch_cancel(void *ctx, uint64_t watch_id)
{
	struct etcd *e = ctx;
	struct etcd_call *c = g_hash_table_lookup(e->calls, &watch_id);

	if (!c)
		return;
	g_hash_table_steal(e->calls, &watch_id);
	call_free(c);
}

static void handle_lease_grant(void *ctx, int64_t ttl_s,
			       struct store_callback done)
{
	struct etcd_call *c = call_create(ctx, STORE_LEASE_GRANT, "",
					  gateway_encode_grant(ttl_s), done);

	c->is_write = true;
	start_attempt(c);
}

static void handle_lease_keepalive(void *ctx, int64_t lease_id,
				   struct store_callback done)
{
	struct etcd_call *c = call_create(ctx, STORE_LEASE_KEEPALIVE, "",
					  gateway_encode_lease(lease_id), done);

	c->gateway.lease_id = lease_id;
	start_attempt(c);
}

static void handle_lease_revoke(void *ctx, int64_t lease_id,
				struct store_callback done)
{
	start_attempt(call_create(ctx, STORE_LEASE_REVOKE, "",
				  gateway_encode_lease(lease_id), done));
}

/*
 * Starts the attempts that are due. Returns the time until the next attempt,
 * at most timeout_us.
 */
static int64_t start_due_attempts(struct etcd *e, int64_t timeout_us)
{
	int64_t now = clock_now(&e->clock);
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, e->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct etcd_call *c = value;

		if (c->easy)
			continue;
		if (c->retry_at_us <= now)
			start_attempt(c);
		else
			timeout_us = MIN(timeout_us, c->retry_at_us - now);
	}
	return timeout_us;
}

/* Removes and returns the next message of a watch, one line, or NULL. */
static char *take_message(struct etcd_call *c)
{
	char *end = memchr(c->reply->str, '\n', c->reply->len);
	long status = 0;
	char *line;

	if (!end)
		return NULL;
	/* finish_attempt() decodes the body of an error reply as a whole. */
	curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &status);
	if (status != 200)
		return NULL;
	line = g_strndup(c->reply->str, (gsize)(end - c->reply->str));
	g_string_erase(c->reply, 0, end - c->reply->str + 1);
	return line;
}

static void deliver_message(struct etcd_call *c, const char *line)
{
	struct store_reply reply;
	int ret = gateway_decode(&c->gateway, line, strlen(line), &reply);

	if (ret) {
		store_reply_clear(&reply);
		fail_call(c, ret, true);
	} else if (reply.count) {
		store_deliver_reply(STORE_WATCH, c->done, &reply);
	} else {
		store_reply_clear(&reply);
	}
}

/* A callback may cancel any watch, so each message looks up its call again. */
static void deliver_watch(struct etcd *e, uint64_t id)
{
	struct etcd_call *c;
	char *line;

	while ((c = g_hash_table_lookup(e->calls, &id)) && c->easy &&
	       (line = take_message(c))) {
		deliver_message(c, line);
		g_free(line);
	}
}

static void deliver_watches(struct etcd *e)
{
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, e->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct etcd_call *c = value;

		if (c->gateway.call == STORE_WATCH)
			g_array_append_val(ids, c->id);
	}
	for (guint i = 0; i < ids->len; i++)
		deliver_watch(e, g_array_index(ids, uint64_t, i));
	g_array_free(ids, TRUE);
}

static void finish_transfers(struct etcd *e)
{
	struct etcd_call *c;
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(e->multi, &left))) {
		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &c);
		finish_attempt(c, message->data.result);
	}
}

static void handle_run(void *ctx, int64_t timeout_us)
{
	struct etcd *e = ctx;
	int running;

	timeout_us = start_due_attempts(e, timeout_us);
	curl_multi_perform(e->multi, &running);
	curl_multi_poll(e->multi, NULL, 0,
			(int)((timeout_us + US_PER_MS - 1) / US_PER_MS), NULL);
	curl_multi_perform(e->multi, &running);
	deliver_watches(e);
	finish_transfers(e);
}

static void handle_wake(void *ctx)
{
	struct etcd *e = ctx;

	curl_multi_wakeup(e->multi);
}

static const struct store_ops etcd_ops = {
	.get = handle_get,
	.txn = handle_txn,
	.watch = handle_watch,
	.watch_cancel = handle_watch_cancel,
	.lease_grant = handle_lease_grant,
	.lease_keepalive = handle_lease_keepalive,
	.lease_revoke = handle_lease_revoke,
	.run = handle_run,
	.wake = handle_wake,
};

static void set_default(int64_t *value, int64_t fallback)
{
	if (!*value)
		*value = fallback;
}

static void set_defaults(struct etcd_options *o)
{
	set_default(&o->connect_timeout_us, CONNECT_TIMEOUT_US);
	set_default(&o->attempt_timeout_us, ATTEMPT_TIMEOUT_US);
	set_default(&o->call_timeout_us, CALL_TIMEOUT_US);
	set_default(&o->watch_timeout_us, WATCH_TIMEOUT_US);
	set_default(&o->backoff_us, BACKOFF_US);
}

int etcd_create(struct etcd **out, const struct etcd_options *options)
{
	struct etcd *e;

	if (!options->endpoint_count)
		return -ERR_INVAL;
	e = g_new0(struct etcd, 1);
	e->multi = curl_multi_init();
	if (!e->multi) {
		g_free(e);
		return -ERR_NOMEM;
	}
	e->options = *options;
	set_defaults(&e->options);
	e->clock = options->clock;
	e->endpoints = g_new0(char *, options->endpoint_count + 1);
	for (size_t i = 0; i < options->endpoint_count; i++)
		e->endpoints[i] = g_strdup(options->endpoints[i]);
	/*
	 * An empty Expect header stops libcurl from waiting for "100 Continue",
	 * which would cost a round trip for each part of a set.
	 */
	e->headers = curl_slist_append(NULL, "Expect:");
	e->headers =
		curl_slist_append(e->headers, "Content-Type: application/json");
	e->rand = g_rand_new_with_seed(options->seed);
	e->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	*out = e;
	return 0;
}

void etcd_destroy(struct etcd *e)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, e->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		g_hash_table_iter_steal(&iter);
		call_free(value);
	}
	g_hash_table_destroy(e->calls);
	curl_multi_cleanup(e->multi);
	curl_slist_free_all(e->headers);
	g_rand_free(e->rand);
	g_strfreev(e->endpoints);
	g_free(e);
}

struct store etcd_store(struct etcd *e)
{
	return (struct store){ .ops = &etcd_ops, .ctx = e };
}
