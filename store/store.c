#include "store/store.h"

#include <pthread.h>
#include <string.h>

#include <glib.h>

#include "common/counter.h"
#include "common/errors.h"

/* Timeout of each store_run() of a blocking call. */
#define BLOCKING_RUN_US 1000000

#define CALLS_NAME "nutmegpick_store_calls_total"
#define CALLS_HELP "Calls of the key-value store"
#define FAILURES_NAME "nutmegpick_store_failures_total"
#define FAILURES_HELP "Calls of the key-value store that failed"

static const char *const call_names[] = {
	"get", "txn", "watch", "lease_grant", "lease_keepalive", "lease_revoke",
};

static struct counter call_counters[] = {
	{ CALLS_NAME, CALLS_HELP, "call=\"get\"" },
	{ CALLS_NAME, CALLS_HELP, "call=\"txn\"" },
	{ CALLS_NAME, CALLS_HELP, "call=\"watch\"" },
	{ CALLS_NAME, CALLS_HELP, "call=\"lease_grant\"" },
	{ CALLS_NAME, CALLS_HELP, "call=\"lease_keepalive\"" },
	{ CALLS_NAME, CALLS_HELP, "call=\"lease_revoke\"" },
};

static struct counter failure_counters[] = {
	{ FAILURES_NAME, FAILURES_HELP, "call=\"get\"" },
	{ FAILURES_NAME, FAILURES_HELP, "call=\"txn\"" },
	{ FAILURES_NAME, FAILURES_HELP, "call=\"watch\"" },
	{ FAILURES_NAME, FAILURES_HELP, "call=\"lease_grant\"" },
	{ FAILURES_NAME, FAILURES_HELP, "call=\"lease_keepalive\"" },
	{ FAILURES_NAME, FAILURES_HELP, "call=\"lease_revoke\"" },
};

static pthread_once_t counters_once = PTHREAD_ONCE_INIT;

static void register_counters(void)
{
	for (int i = 0; i < STORE_CALL_COUNT; i++)
		counter_register(&call_counters[i]);
	for (int i = 0; i < STORE_CALL_COUNT; i++)
		counter_register(&failure_counters[i]);
}

void store_count_call(enum store_call call)
{
	pthread_once(&counters_once, register_counters);
	counter_add(&call_counters[call], 1);
}

void store_get(struct store *s, const struct store_get *get,
	       struct store_callback done)
{
	store_count_call(STORE_GET);
	s->ops->get(s->ctx, get, done);
}

void store_txn(struct store *s, const struct store_txn *txn,
	       struct store_callback done)
{
	struct store_reply refused = { .code = -ERR_STORE_TOO_LARGE };

	store_count_call(STORE_TXN);
	for (size_t i = 0; i < txn->put_count; i++) {
		if (txn->puts[i].len <= STORE_VALUE_MAX)
			continue;
		store_deliver_reply(STORE_TXN, done, &refused);
		return;
	}
	s->ops->txn(s->ctx, txn, done);
}

uint64_t store_watch(struct store *s, const struct store_watch *watch,
		     struct store_callback done)
{
	store_count_call(STORE_WATCH);
	return s->ops->watch(s->ctx, watch, done);
}

void store_watch_cancel(struct store *s, uint64_t watch_id)
{
	s->ops->watch_cancel(s->ctx, watch_id);
}

void store_lease_grant(struct store *s, int64_t ttl_s,
		       struct store_callback done)
{
	store_count_call(STORE_LEASE_GRANT);
	s->ops->lease_grant(s->ctx, ttl_s, done);
}

void store_lease_keepalive(struct store *s, int64_t lease_id,
			   struct store_callback done)
{
	store_count_call(STORE_LEASE_KEEPALIVE);
	s->ops->lease_keepalive(s->ctx, lease_id, done);
}

void store_lease_revoke(struct store *s, int64_t lease_id,
			struct store_callback done)
{
	store_count_call(STORE_LEASE_REVOKE);
	s->ops->lease_revoke(s->ctx, lease_id, done);
}

void store_run(struct store *s, int64_t timeout_us)
{
	s->ops->run(s->ctx, timeout_us);
}

void store_wake(struct store *s)
{
	s->ops->wake(s->ctx);
}

struct blocking_call {
	struct store_reply *out;
	bool is_done;
};

static void handle_blocking_reply(void *ctx, struct store_reply *reply)
{
	struct blocking_call *b = ctx;

	*b->out = *reply;
	memset(reply, 0, sizeof(*reply));
	b->is_done = true;
}

int store_get_wait(struct store *s, const struct store_get *get,
		   struct store_reply *out)
{
	struct blocking_call b = { .out = out };

	store_get(s, get, (struct store_callback){ handle_blocking_reply, &b });
	while (!b.is_done)
		store_run(s, BLOCKING_RUN_US);
	return out->code;
}

int store_txn_wait(struct store *s, const struct store_txn *txn,
		   struct store_reply *out)
{
	struct blocking_call b = { .out = out };

	store_txn(s, txn, (struct store_callback){ handle_blocking_reply, &b });
	while (!b.is_done)
		store_run(s, BLOCKING_RUN_US);
	return out->code;
}

void store_reply_clear(struct store_reply *reply)
{
	for (size_t i = 0; i < reply->count; i++) {
		g_free(reply->entries[i].key);
		g_free(reply->entries[i].value);
	}
	g_free(reply->entries);
	memset(reply, 0, sizeof(*reply));
}

struct store_entry *store_reply_add(struct store_reply *reply, const char *key,
				    const char *value, size_t len)
{
	struct store_entry *e;

	reply->entries =
		g_renew(struct store_entry, reply->entries, reply->count + 1);
	e = &reply->entries[reply->count++];
	memset(e, 0, sizeof(*e));
	e->key = g_strdup(key);
	e->value = g_malloc(len + 1);
	if (len)
		memcpy(e->value, value, len);
	e->value[len] = '\0';
	e->len = len;
	return e;
}

const struct store_entry *store_reply_find(const struct store_reply *reply,
					   const char *key)
{
	for (size_t i = 0; i < reply->count; i++) {
		if (!strcmp(reply->entries[i].key, key))
			return &reply->entries[i];
	}
	return NULL;
}

void store_deliver_reply(enum store_call call, struct store_callback done,
			 struct store_reply *reply)
{
	pthread_once(&counters_once, register_counters);
	if (reply->code && reply->code != -ERR_STORE_WATCH_END)
		counter_add(&failure_counters[call], 1);
	done.handle_reply(done.ctx, reply);
	store_reply_clear(reply);
}

uint64_t store_call_count(enum store_call call)
{
	return counter_get(&call_counters[call]);
}

const char *store_call_name(enum store_call call)
{
	return call_names[call];
}
