#ifndef NUTMEGPICKD_ROUTE_H
#define NUTMEGPICKD_ROUTE_H

#include "nutmegpickd/host.h"

/** Where a query is run. */
struct route {
	/** This host runs it; the other fields are not set. */
	bool is_local;
	char address[PEER_ADDRESS_MAX];
	/** Index of the placement unit and of the holder in it. */
	uint32_t unit;
	uint32_t holder;
	int64_t start_us;
};

/**
 * Chooses the host that runs a request: the owner of its request key, or else
 * a holder of its groups, other than the one at address avoid (may be NULL).
 * Returns 0 or -ERR_NO_HOLDER. Requests for unknown services are local.
 */
int route_choose(struct host *h, const struct engine_request *request,
		 const char *avoid, struct route *out);

/**
 * Checks that this host may run a request and sets its key range. Returns 0 or
 * -ERR_NOT_OWNER.
 */
int route_check_holder(struct host *h, struct engine_request *request);

/** Returns whether this host may call the leaves of a group. */
bool route_is_holder(const struct host *h, obj_handle group);

/**
 * Notes whether this host owns the request keys of a seat. Ownership of
 * another host's seat comes with one connection to each leaf that the seat
 * holds.
 */
void route_set_owner(struct host *h, const char *domain, uint16_t seat,
		     bool is_owner);

/** Returns the key range of a seat, as in engine_set_tenure(). */
uint32_t route_key_range(const char *domain, uint16_t seat);

/** Notes the start and the end of a forwarded query. */
void route_begin(struct host *h, struct route *r);
void route_end(struct host *h, const struct route *r, bool is_answered);

/** Computes holders again after a change of the set or of own seats. */
void route_rebuild(struct host *h);

/** Uses the whole new shares once a change has reached all hosts. */
void route_settle(struct host *h);

/** Frees the table. */
void route_clear(struct host *h);

#endif
