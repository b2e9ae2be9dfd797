#include "nutmegpickd/store_thread.h"

#include <stdlib.h>

#include "common/errors.h"
#include "common/events.h"
#include "nutmegpickd/host.h"
#include "store/etcd.h"
#include "store/follow.h"

struct store_thread {
	struct host *host;
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
	struct host_event e = {.type = HOST_SET, .set = set};

	while (host_send(t->host, e)) {
		if (__atomic_load_n(&t->is_stopping, __ATOMIC_RELAXED)) {
			object_set_unref(set);
			return;
		}
		g_usleep(1000);
	}
}

static void *run_thread(void *ctx)
{
	struct store_thread *t = ctx;

	while (!__atomic_load_n(&t->is_stopping, __ATOMIC_RELAXED)) {
		follower_set_active(t->follower,
				    __atomic_load_n(&t->is_active,
						    __ATOMIC_RELAXED));
		follower_step(t->follower);
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
	/* Between hosts, the fleet decides which of them watch. */
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

void store_thread_stop(struct store_thread *t)
{
	__atomic_store_n(&t->is_stopping, true, __ATOMIC_RELAXED);
	store_wake(&t->store);
	pthread_join(t->thread, NULL);
	follower_destroy(t->follower);
	etcd_destroy(t->etcd);
	g_free(t);
}
