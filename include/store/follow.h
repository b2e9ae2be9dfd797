#ifndef STORE_FOLLOW_H
#define STORE_FOLLOW_H

#include <stdbool.h>

#include "common/clock.h"
#include "objects/objects.h"
#include "store/store.h"

/**
 * Follows the published set: reads the pointer, watches it, and passes each
 * newer set to handle_set() once its parts are read and checked. All work is
 * done in the calls below and in store callbacks; there is no extra thread.
 */
struct follower;

struct follower_options {
	struct store *store;
	struct np_clock clock;
	/** Seed of the jitter of delays. */
	uint32_t seed;
	/**
	 * Receives a set and owns its one reference. Each set has a higher
	 * version than the sets before it.
	 */
	void (*handle_set)(void *ctx, struct object_set *set);
	void *ctx;
};

struct follower *follower_create(const struct follower_options *options);

/**
 * Cancels the follower's watch and frees the follower. No other store call of
 * the follower may be in flight.
 */
void follower_destroy(struct follower *f);

/**
 * Pauses or resumes the follower. A new follower is active. Pausing cancels
 * the watch, and a paused follower starts no store calls.
 */
void follower_set_active(struct follower *f, bool is_active);

/** Starts the store calls that are due; must run after each store_run(). */
void follower_step(struct follower *f);

/** Returns the time until follower_step() must run, in microseconds. */
int64_t follower_wait_us(const struct follower *f);

/** Returns the version of the last set passed to handle_set(), or 0. */
uint64_t follower_version(const struct follower *f);

#endif
