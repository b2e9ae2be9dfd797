#include "nutmegpickd/store_thread.h"

#include <stdlib.h>

#include "common/errors.h"
#include "common/events.h"
#include "nutmegpickd/host.h"
#include "store/etcd.h"
#include "store/follow.h"

#define REQUEST_RING_SIZE 1024

/* Store call that the fleet requested. */
struct request {
	struct store_thread *thread;
	uint64_t ticket;
	char *key;
	bool is_write;
	uint64_t revision;
	char *data;
	size_t len;
};

struct store_thread {
	struct host *host;
	struct ring *requests;
	struct etcd *etcd;
	struct store store;
	struct follower *follower;
	bool is_stopping;
	bool is_active;
	pthread_t thread;
};

static void handle_set(void *ctx, struct object_set *set)
{
	struct store_thread *t = ctx;
	struct host_event e = { .type = HOST_SET, .set = set };

	while (host_send_event(t->host, e)) {
		if (__atomic_load_n(&t->is_stopping, __ATOMIC_RELAXED)) {
			object_set_unref(set);
			return;
		}
		g_usleep(1000);
	}
}

static void free_request(struct request *r)
{
	g_free(r->key);
	g_free(r->data);
	g_free(r);
}

static void send_result(struct request *r, int code,
			const struct store_entry *entry)
{
	struct host_event e = {
		.type = HOST_STORE_RESULT,
		.ticket = r->ticket,
		.code = code,
	};

	if (entry) {
		e.revision = (uint64_t)entry->mod_revision;
		e.data = g_memdup2(entry->value, entry->len);
		e.len = entry->len;
	}
	/* If the ring is full, the fleet's own timeout ends the call. */
	if (host_send_event(r->thread->host, e))
		g_free(e.data);
	free_request(r);
}

static void handle_read(void *ctx, struct store_reply *reply)
{
	struct request *r = ctx;
	const struct store_entry *entry = NULL;
	int code = reply->code;

	if (!code && reply->count)
		entry = &reply->entries[0];
	else if (!code)
		code = -ERR_STORE_NOT_FOUND;
	send_result(r, code, entry);
}

static void handle_write(void *ctx, struct store_reply *reply)
{
	int code = reply->code;

	if (!code && !reply->is_applied)
		code = -ERR_STORE_CONFLICT;
	send_result(ctx, code, NULL);
}

static void start_request(struct store_thread *t, struct request *r)
{
	const struct store_compare compare = {
		.key = r->key,
		.mod_revision = (int64_t)r->revision,
	};
	const struct store_put put = {
		.key = r->key,
		.value = r->data,
		.len = r->len,
	};
	const char *key = r->key;
	struct store_txn read = { .reads = &key, .read_count = 1 };
	struct store_txn write = {
		.compares = &compare,
		.compare_count = 1,
		.puts = &put,
		.put_count = 1,
	};

	if (r->is_write)
		store_txn(&t->store, &write,
			  (struct store_callback){ handle_write, r });
	else
		store_txn(&t->store, &read,
			  (struct store_callback){ handle_read, r });
}

static void run_requests(struct store_thread *t)
{
	struct request *r;

	ring_clear_wakeup(t->requests);
	while ((r = ring_pop(t->requests)))
		start_request(t, r);
}

static void *run_thread(void *ctx)
{
	struct store_thread *t = ctx;

	while (!__atomic_load_n(&t->is_stopping, __ATOMIC_RELAXED)) {
		follower_set_active(t->follower,
				    __atomic_load_n(&t->is_active,
						    __ATOMIC_RELAXED));
		follower_step(t->follower);
		run_requests(t);
		store_run(&t->store, follower_wait_us(t->follower));
	}
	return NULL;
}

int store_thread_start(struct store_thread **out, struct host *h)
{
	struct store_thread *t = g_new0(struct store_thread, 1);
	const struct etcd_options etcd_options = {
		.clock = h->clock,
		.seed = g_random_int(),
		.endpoints = (const char *const *)h->settings.store_endpoints,
		.endpoint_count = g_strv_length(h->settings.store_endpoints),
	};
	const struct follower_options follower_options = {
		.store = &t->store,
		.clock = h->clock,
		.seed = g_random_int(),
		.handle_set = handle_set,
		.ctx = t,
	};
	int ret = etcd_create(&t->etcd, &etcd_options);

	if (ret) {
		g_free(t);
		return ret;
	}
	t->host = h;
	ret = ring_create(&t->requests, REQUEST_RING_SIZE);
	if (ret) {
		etcd_destroy(t->etcd);
		g_free(t);
		return ret;
	}
	/* With peers, the fleet decides which hosts follow the store. */
	t->is_active = !h->fleet;
	t->store = etcd_store(t->etcd);
	t->follower = follower_create(&follower_options);
	pthread_create(&t->thread, NULL, run_thread, t);
	*out = t;
	return 0;
}

void store_thread_set_active(struct store_thread *t, bool is_active)
{
	__atomic_store_n(&t->is_active, is_active, __ATOMIC_RELAXED);
	store_wake(&t->store);
}

static void push_request(struct store_thread *t, struct request r)
{
	struct request *copy = g_memdup2(&r, sizeof(r));

	/* If the ring is full, the fleet's own timeout ends the call. */
	if (ring_push(t->requests, copy))
		free_request(copy);
	else
		store_wake(&t->store);
}

void store_thread_get(struct store_thread *t, uint64_t ticket, const char *key)
{
	push_request(t, (struct request){
				.thread = t,
				.ticket = ticket,
				.key = g_strdup(key),
			});
}

void store_thread_cas(struct store_thread *t, uint64_t ticket, const char *key,
		      uint64_t revision, const void *data, size_t len)
{
	push_request(t, (struct request){
				.thread = t,
				.ticket = ticket,
				.key = g_strdup(key),
				.is_write = true,
				.revision = revision,
				.data = g_memdup2(data, len),
				.len = len,
			});
}

void store_thread_stop(struct store_thread *t)
{
	__atomic_store_n(&t->is_stopping, true, __ATOMIC_RELAXED);
	store_wake(&t->store);
	pthread_join(t->thread, NULL);
	follower_destroy(t->follower);
	etcd_destroy(t->etcd);
	ring_destroy(t->requests);
	g_free(t);
}
