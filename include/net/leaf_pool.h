#ifndef NET_LEAF_POOL_H
#define NET_LEAF_POOL_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "net/rate_limit.h"

/**
 * Accounts for the connections to one leaf. A call runs on an idle connection,
 * or on a new one while the leaf's limit and both opening rates permit.
 */
struct leaf_pool {
	char *address;
	/** Most connections that may be open. */
	uint32_t limit;
	/** Open connections, in use or idle. */
	uint32_t open;
	/** Connections that calls under way are about to open. */
	uint32_t opening;
	/** Calls under way. */
	uint32_t active;
	struct rate_limit rate;
	/** Opening rate of the whole host. */
	struct rate_limit *host_rate;
	/** Calls that wait for a connection, oldest first. */
	GQueue waiting;
};

struct leaf_pool *leaf_pool_create(const char *address, uint32_t limit,
				   double opens_per_second, double burst,
				   struct rate_limit *host_rate,
				   int64_t now_us);
void leaf_pool_destroy(struct leaf_pool *p);

/** How a call may begin. */
enum pool_grant {
	POOL_WAIT,
	/** On an idle connection. */
	POOL_REUSE,
	/** On a new connection; its token is taken. */
	POOL_OPEN,
};

/** Begins a call, unless it has to wait. */
enum pool_grant leaf_pool_begin(struct leaf_pool *p, int64_t now_us);

/**
 * Permits the opening of a connection. is_granted tells that the call began
 * with POOL_OPEN and has not opened one yet; other calls come here when their
 * idle connection was found dead.
 */
bool leaf_pool_open(struct leaf_pool *p, bool is_granted, int64_t now_us);

/** Notes that a connection was closed. */
void leaf_pool_close(struct leaf_pool *p);

/** Ends a call; is_granted as for leaf_pool_open(). */
void leaf_pool_end(struct leaf_pool *p, bool is_granted);

#endif
