#ifndef ROUTER_LEAF_ACCESS_H
#define ROUTER_LEAF_ACCESS_H

#include <stdbool.h>
#include <stdint.h>

struct organisation;
struct route;
struct route_leaf;
struct route_part;
struct route_request;
struct router;

/**
 * Whether a call may go to a leaf now. The reasons after ACCESS_RATE_LIMIT do
 * not depend on the number of calls.
 */
enum leaf_access_reason {
	ACCESS_ALLOWED,
	/** The part has called the leaf before. */
	ACCESS_TRIED,
	/** The leaf takes no more concurrent calls of this host. */
	ACCESS_FULL,
	/** The leaf is cold, and its rate while it is cold leaves no room. */
	ACCESS_COLD,
	/** The rate limit of the leaf leaves no room. */
	ACCESS_RATE_LIMIT,
	/** Failures in a row; the leaf gets rare calls only. */
	ACCESS_EJECTED,
	/** Draining for longer than leaves are called then. */
	ACCESS_LEAVING,
	/** Not in the registry, or another leaf has the address. */
	ACCESS_REMOVED,
	/** A batch calls only leaves of the failure domain of this host. */
	ACCESS_OTHER_DOMAIN,
	/** The failure domain of the leaf is evacuated. */
	ACCESS_EVACUATED,
	/** Neither the route nor the organisation may use the region. */
	ACCESS_OTHER_REGION,
};

struct leaf_access {
	enum leaf_access_reason reason;
	/**
	 * Monotonic time at which the reason may end; INT64_MAX if only an
	 * event ends it, such as the end of a call or a change of the store.
	 */
	int64_t until_us;
	/** The leaf is called only if there is no better one. */
	bool is_last_resort;
	/** The shared rates of the leaf leave room for a call. */
	bool has_room;
	/**
	 * The call may be sent in a batch. The host that takes the batch has
	 * shares of its own, so the rates have room here. Cold leaves are
	 * called directly, since few hosts have a share of their low rates.
	 */
	bool may_join_batch;
};

/** Value of a set of regions that allows all leaves. */
#define REGIONS_ALL UINT64_MAX

/** Returns whether a reason does not depend on the number of calls. */
static inline bool leaf_access_is_barred(enum leaf_access_reason reason)
{
	return reason > ACCESS_RATE_LIMIT;
}

/** Returns whether a call of the part may go to the leaf now. */
struct leaf_access leaf_access_check(struct router *r,
				     const struct route_part *p,
				     struct route_leaf *leaf, int64_t now_us);

/**
 * Returns whether requests that are limited to a set of regions may use a leaf:
 * the reasons that do not depend on a part and on the calls to the leaf.
 */
enum leaf_access_reason leaf_access_check_place(const struct route_leaf *leaf,
						uint64_t regions,
						int64_t now_us);

/**
 * Returns the regions that both a route and an organisation allow. The
 * organisation may be NULL.
 */
uint64_t leaf_access_regions(const struct router *r, const struct route *route,
			     const struct organisation *organisation);

/** Returns the regions that the table in force allows a part. */
uint64_t leaf_access_part_regions(const struct router *r,
				  const struct route_part *p);

/**
 * Returns the calls a second to a leaf that its shared rates grant this host,
 * for calls of all priorities or only those of the part; INFINITY if the leaf
 * has no rate.
 */
double leaf_access_rate_share(struct router *r, struct route_leaf *leaf);
double leaf_access_rate_share_of(struct router *r, const struct route_part *p,
				 struct route_leaf *leaf);

/** Returns whether a leaf has a shared rate now, or any leaf may have one. */
bool leaf_access_has_rate(struct router *r, struct route_leaf *leaf);
bool leaf_access_has_rates(const struct router *r);

/** Notes that a call to a leaf with a rate is wanted, sent or not. */
void leaf_access_note_wanted(struct router *r, const struct route_part *p,
			     struct route_leaf *leaf);

/** Counts a call to a leaf against its limits. */
void leaf_access_note_call(struct router *r, const struct route_part *p,
			   struct route_leaf *leaf, bool is_extra);

/** Returns the maximum of this host's concurrency limit at a leaf. */
double leaf_access_max_calls(const struct route_leaf *leaf);

/** Logs why no leaf can take a part, where limits are the reason. */
void leaf_access_log_none(struct router *r, const struct route_part *p);

/**
 * Returns the result code of a request that no leaf has run: that of the limit
 * which excludes all leaves of the parts without which the request fails, or
 * else the code that is passed.
 */
int leaf_access_refusal_code(struct router *r, struct route_request *q,
			     int code);

#endif
