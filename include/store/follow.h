#ifndef STORE_FOLLOW_H
#define STORE_FOLLOW_H

#include <stdbool.h>

#include "common/clock.h"
#include "objects/objects.h"
#include "store/store.h"

/**
 * Follows the published set: reads the pointer, watches it, and hands out each
 * newer set once its parts are read and checked. Has no thread of its own.
 */
struct follower;

struct follower_options {
	struct store *store;
	struct np_clock clock;
	/** Seed of the jitter of waits. */
	uint32_t seed;
	/** Takes a set with one reference; its version is above all before. */
	void (*handle_set)(void *ctx, struct object_set *set);
	void *ctx;
};

struct follower *follower_create(const struct follower_options *options);

/** Ends the follower's watch; no call of it may wait for a reply. */
void follower_destroy(struct follower *f);

/**
 * Pauses or resumes the follower; a new one is active. A paused one ends its
 * watch and makes no further calls.
 */
void follower_set_active(struct follower *f, bool is_active);

/** Starts the next call if one is due; call after each store_run(). */
void follower_step(struct follower *f);

/** Returns the time until follower_step() has work, in microseconds. */
int64_t follower_wait_us(const struct follower *f);

/** Returns the version that was handed out last, or 0. */
uint64_t follower_version(const struct follower *f);

#endif
