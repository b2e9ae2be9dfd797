#ifndef NUTMEGPICKD_ROUTE_H
#define NUTMEGPICKD_ROUTE_H

#include "nutmegpickd/host.h"

/**
 * Host that runs a query: this one, or the host on a holder's seat. A request
 * with a key may instead go to the successor that owns the keys of that seat.
 */
struct holder_route {
	/** This host runs the query; address is empty. */
	bool is_local;
	char address[PEER_ADDRESS_MAX];
	/** Index of the placement unit, and of the holder within the unit. */
	uint32_t unit;
	uint32_t holder;
	int64_t start_us;
};

/**
 * Chooses the host that runs a request. A request with a key goes to the owner
 * of the key; any other goes to a holder of its groups, but not to the host at
 * address avoid (may be NULL). A request for an unknown service stays on this
 * host. Returns 0 or -ERR_NO_HOLDER.
 */
int route_choose_host(struct host *h, const struct engine_request *request,
		      const char *avoid, struct holder_route *out);

/**
 * Checks that this host may run a request. Sets the key range of a request that
 * has a key. Returns 0 or -ERR_NOT_OWNER.
 */
int route_check_holder(struct host *h, struct engine_request *request);

/**
 * Returns whether this host may call the leaves of a group, as a holder of its
 * unit or as the owner of the keys of a holder's seat.
 */
bool route_is_holder(const struct host *h, obj_handle group);

/**
 * Records whether this host owns the request keys of a seat. The owner of
 * another host's seat may open one connection to each leaf that the seat holds.
 */
void route_set_owner(struct host *h, const char *domain, uint16_t seat,
		     bool is_owner);

/** Returns the key range of a seat, as in engine_set_tenure(). */
uint32_t route_key_range(const char *domain, uint16_t seat);

/**
 * Record the start and the end of a forwarded query, for the load and the
 * latency by which holders are chosen.
 */
void route_begin_forward(struct host *h, struct holder_route *r);
void route_end_forward(struct host *h, const struct holder_route *r,
		       bool is_answered);

/**
 * Recomputes the holders after a change of the object set, and this host's
 * shares of the leaves after a change of the set or of its seats.
 */
void route_rebuild_table(struct host *h);

/**
 * Applies the full new shares PLACEMENT_SETTLE_US after a change of the set,
 * when all hosts are assumed to have the change. Until then the smaller of the
 * old and the new share is in use.
 */
void route_settle_shares(struct host *h);

/** Frees the table of holders. */
void route_free_table(struct host *h);

#endif
