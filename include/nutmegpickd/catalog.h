#ifndef NUTMEGPICKD_CATALOG_H
#define NUTMEGPICKD_CATALOG_H

#include "router/directory.h"
#include "router/router.h"
#include "store/mirror.h"

/** Applies the store's records of routes, leaves and hosts to the router. */
struct catalog {
	struct np_clock clock;
	struct router *router;
	struct host_directory *directory;
	struct store_mirror mirror;
	/** Time at which the store was last regained; 0 if never lost. */
	int64_t store_back_at_us;
	/** When this host lost the feed that it followed, or 0. */
	int64_t feed_lost_at_us;
	/**
	 * When the last piece of the present era's state was read; 0 if this
	 * host knew no earlier era.
	 */
	int64_t era_read_at_us;
	/** Next check of the entries that are held over. */
	int64_t next_held_check_us;
};

/**
 * Puts changes of the store in force and removes from them all items that are
 * not new. Returns false if earlier changes are missing; nothing is applied
 * then.
 */
bool catalog_apply(struct catalog *c, struct store_changes *changes);

/**
 * Takes away what the store lacks since an earlier era, once its writers have
 * had the time to write it again. Does nothing before catalog_next_timer().
 */
void catalog_drop_held(struct catalog *c);

/** Returns when catalog_drop_held() must run next, or INT64_MAX. */
int64_t catalog_next_timer(const struct catalog *c);

/**
 * Returns whether a key limits the use of the leaves, so that no host may know
 * leaves without it.
 */
bool catalog_is_restriction(const char *key);

#endif
