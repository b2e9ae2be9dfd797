#ifndef FLEET_CONFIG_H
#define FLEET_CONFIG_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "fleet/frame.h"
#include "fleet/membership.h"

/**
 * Version of the object set in force on this host, and the sources of newer
 * versions.
 */
struct config;

struct config_ops {
	/**
	 * Fetches a version from a peer, or from the store if address is NULL.
	 */
	void (*fetch)(void *ctx, const char *address, uint64_t version);
	/** Starts or stops watching the store for the current version. */
	void (*watch)(void *ctx, bool is_wanted);
};

struct config_options {
	struct np_clock clock;
	uint64_t seed;
	const struct config_ops *ops;
	void *ctx;
	const char *host;
	/** Member table that peers and store watchers are chosen from. */
	struct membership *membership;
};

/** Creates a state with no version in force. Returns 0 or -ERR_NOMEM. */
int config_create(struct config **out, const struct config_options *options);
void config_destroy(struct config *c);

/**
 * Takes a version announced by the peer at the address, or by the store if
 * address is NULL, and fetches it if it is newer.
 */
void config_receive_version(struct config *c, uint64_t version,
			    const char *address);

/** Reports that a fetched version passed its check and is in force here. */
void config_mark_in_force(struct config *c, uint64_t version);

/** Reports that a fetched version failed its check; prevents another fetch. */
void config_mark_refused(struct config *c, uint64_t version);

/** Reports that the fetch of a version failed; another source is tried. */
void config_fetch_failed(struct config *c, uint64_t version);

/** Runs the timers that are due. */
void config_advance(struct config *c);

/** Returns the monotonic time of the next timer. */
int64_t config_next_timer(const struct config *c);

/** Returns the version in force, or 0. */
uint64_t config_version(const struct config *c);

/** Returns whether this host watches the store for its failure domain. */
bool config_is_watching(const struct config *c);

#endif
