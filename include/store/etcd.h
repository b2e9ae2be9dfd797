#ifndef STORE_ETCD_H
#define STORE_ETCD_H

#include "common/clock.h"
#include "store/store.h"

/** Adapter for the JSON gateway of etcd v3. */
struct etcd;

struct etcd_options {
	struct np_clock clock;
	/** Seed of the back-off's jitter. */
	uint32_t seed;
	/** "IP:PORT" of each endpoint; copied. */
	const char *const *endpoints;
	size_t endpoint_count;
	/** Time for a connection; 0 selects 500 ms. */
	int64_t connect_timeout_us;
	/** Time for one attempt; 0 selects 2 s. */
	int64_t attempt_timeout_us;
	/** Time for a call with its repeats; 0 selects 5 s. */
	int64_t call_timeout_us;
	/**
	 * Longest life of one watch; 0 selects 60 s. A watch is renewed after
	 * it, since a lost connection can look like a key without changes.
	 */
	int64_t watch_timeout_us;
	/** Mean of the first wait between attempts; 0 selects 50 ms. */
	int64_t backoff_us;
};

/** Returns 0, -ERR_INVAL or -ERR_NOMEM. */
int etcd_create(struct etcd **out, const struct etcd_options *options);

/** Ends all calls without replies. */
void etcd_destroy(struct etcd *e);

/** Returns the interface of the adapter; valid until etcd_destroy(). */
struct store etcd_store(struct etcd *e);

#endif
