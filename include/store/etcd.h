#ifndef STORE_ETCD_H
#define STORE_ETCD_H

#include "common/clock.h"
#include "store/store.h"

/** Adapter for the JSON gateway of etcd v3. */
struct etcd;

struct etcd_options {
	struct np_clock clock;
	/** Seed of the backoff jitter. */
	uint32_t seed;
	/** "IP:PORT" of each endpoint; etcd_create() copies them. */
	const char *const *endpoints;
	size_t endpoint_count;
	/** Timeout for connecting to an endpoint; 0 selects 500 ms. */
	int64_t connect_timeout_us;
	/** Timeout of one attempt; 0 selects 2 s. */
	int64_t attempt_timeout_us;
	/** Timeout of a call with all its attempts; 0 selects 5 s. */
	int64_t call_timeout_us;
	/**
	 * Time after which a watch ends with -ERR_STORE_WATCH_END; 0 selects
	 * 60 s. Watches are renewed regularly, since a broken connection can
	 * look like a key that does not change.
	 */
	int64_t watch_timeout_us;
	/** Mean backoff after the first attempt; 0 selects 50 ms. */
	int64_t backoff_us;
};

/** Returns 0, -ERR_INVAL or -ERR_NOMEM. */
int etcd_create(struct etcd **out, const struct etcd_options *options);

/** Cancels all calls; their callbacks are not called. */
void etcd_destroy(struct etcd *e);

/** Returns the store interface of the adapter; valid until etcd_destroy(). */
struct store etcd_store(struct etcd *e);

#endif
