#ifndef FLEET_CONFIG_H
#define FLEET_CONFIG_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "fleet/frame.h"
#include "fleet/membership.h"

/** Which version of the object set is in force here, and where to get more. */
struct config;

struct config_ops {
	/** Fetches a version from a peer, or from the store if address is NULL.
	 */
	void (*fetch)(void *ctx, const char *address, uint64_t version);
	/** Starts or stops watching the pointer in the store. */
	void (*watch)(void *ctx, bool is_wanted);
};

struct config_options {
	struct np_clock clock;
	uint64_t seed;
	const struct config_ops *ops;
	void *ctx;
	const char *host;
	/** Table that peers and watchers are chosen from. */
	struct membership *membership;
};

/** Creates the state with no version in force. Returns 0 or -ERR_NOMEM. */
int config_create(struct config **out, const struct config_options *options);
void config_destroy(struct config *c);

/** Takes a version that a peer, or the store if address is NULL, announced. */
void config_seen(struct config *c, uint64_t version, const char *address);

/** The fetched version passed its check and is in force here. */
void config_in_force(struct config *c, uint64_t version);

/** The fetched version failed its check; it is not fetched again. */
void config_refused(struct config *c, uint64_t version);

/** The fetch failed; another source is tried. */
void config_fetch_failed(struct config *c, uint64_t version);

/** Runs what is due. */
void config_advance(struct config *c);

/** Returns the monotonic time of the next timer. */
int64_t config_next_timer(const struct config *c);

/** Returns the version in force, or 0. */
uint64_t config_version(const struct config *c);

/** Returns whether this host is to watch the store. */
bool config_is_watching(const struct config *c);

#endif
