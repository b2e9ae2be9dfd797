#ifndef NET_LEAF_POOL_H
#define NET_LEAF_POOL_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "net/rate_limit.h"

/**
 * Counts the connections to one leaf and limits them. A call runs on an idle
 * connection, or on a new one if the leaf's connection limit and the opening
 * rates of the leaf and of the host permit it.
 */
struct leaf_pool {
	char *address;
	/** Most connections that may be open. */
	uint32_t limit;
	/** Open connections, in use or idle. */
	uint32_t open;
	/** Connections that calls in flight are about to open. */
	uint32_t opening;
	/** Calls in flight. */
	uint32_t active;
	/** Rate of opening connections to this leaf. */
	struct rate_limit rate;
	/** Rate of opening connections from this host to all leaves; shared. */
	struct rate_limit *host_rate;
	/** Calls that wait for a connection, oldest first. */
	GQueue waiting;
};

struct leaf_pool *leaf_pool_create(const char *address, uint32_t limit,
				   double opens_per_second, double burst,
				   struct rate_limit *host_rate,
				   int64_t now_us);
void leaf_pool_destroy(struct leaf_pool *p);

/** Decision on how a call begins. */
enum pool_grant {
	POOL_WAIT,
	/** Use an idle connection. */
	POOL_REUSE,
	/** Open a connection; its token is taken already. */
	POOL_OPEN,
};

/** Begins a call, unless the limits make it wait. */
enum pool_grant leaf_pool_begin_call(struct leaf_pool *p, int64_t now_us);

/**
 * Counts a connection that a call is about to open. Returns false if the limits
 * forbid it. is_granted is set for a call that began with POOL_OPEN and has not
 * opened a connection yet, which is always permitted. Other calls open one if
 * their idle connection turns out to be closed.
 */
bool leaf_pool_add_connection(struct leaf_pool *p, bool is_granted,
			      int64_t now_us);

/** Counts a closed connection. */
void leaf_pool_remove_connection(struct leaf_pool *p);

/** Ends a call; is_granted as for leaf_pool_add_connection(). */
void leaf_pool_end_call(struct leaf_pool *p, bool is_granted);

#endif
