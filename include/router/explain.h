#ifndef ROUTER_EXPLAIN_H
#define ROUTER_EXPLAIN_H

#include <glib.h>

#include "router/leaf_access.h"
#include "router/router.h"
#include "router/triage.h"

/**
 * Explains where a request would go now, and why. The question is answered by
 * the functions that decide on real requests, on a copy of the state that they
 * may change; the router itself does not change.
 */

/** Request that is not sent. */
struct route_question {
	const char *host;
	/** The query of the path is ignored. */
	const char *path;
	/** Name of the caller's organisation, or NULL. */
	const char *organisation;
	/** List the leaves of all shards, not only of a few. */
	bool is_full;
};

/** Shards of a gather of which the leaves are listed, unless all are. */
#define EXPLAINED_SHARDS 3

enum route_outcome {
	/** Every part without which the request fails has a free leaf. */
	ROUTE_WOULD_START,
	/** Parts would wait for a leaf. */
	ROUTE_WOULD_WAIT,
	/** It starts only if requests that matter less give up their place. */
	ROUTE_WOULD_DISPLACE,
	ROUTE_WOULD_BE_REFUSED,
};

/** Returns the name of an outcome, such as "start". */
const char *route_outcome_name(enum route_outcome outcome);

/** Leaf that a part might call. */
struct explained_leaf {
	/** A copy, valid until the explanation is freed. */
	const struct route_leaf *leaf;
	/** NULL if the region is not known. */
	const char *region;
	struct leaf_access access;
	/** Time until the reason may end; -1 if only an event ends it. */
	int64_t wait_us;
	int64_t expected_us;
	/** Figure by which leaves are compared; the lowest is called. */
	int64_t cost_us;
	/** Kept free for more urgent calls. */
	bool is_left_free;
};

/** Part of the request: the upstream, or one shard of a gather. */
struct explained_part {
	const char *upstream;
	/** Leaf of the first call, or NULL. */
	const struct route_leaf *leaf;
	/**
	 * No leaf is expected to answer in time. With triage, a part of a
	 * gather that only lacks room waits all the same; others are not sent.
	 */
	bool is_infeasible;
	/** Expected wait for a leaf and time of the call. */
	int64_t wait_us;
	int64_t expected_us;
	uint32_t waiting_count;
	/** Leaves that are known, usable or not. */
	uint32_t leaf_count;
	/** Of struct explained_leaf; NULL if they are not listed. */
	GArray *leaves;
};

struct route_explanation {
	enum route_outcome outcome;
	/** Status and result code of a refusal; code is 0 otherwise. */
	unsigned int status;
	int code;
	uint64_t version;
	bool is_stopping;
	/** Time for which this host still takes requests; only if it stops. */
	int64_t stop_left_us;
	/** NULL where the request has none. */
	const struct route *route;
	const struct organisation *organisation;
	uint32_t priority;
	/** Time until the goal and the deadline of a request without a limit. */
	int64_t goal_us;
	int64_t deadline_us;
	/** Requests are ordered by what they are worth. */
	bool has_triage;
	/** Rank of the request; 0 goes first. Only with triage. */
	uint32_t rank;
	/** Why and by which figures a request is refused for lack of room. */
	enum triage_reason reason;
	int64_t wait_us;
	int64_t work_us;
	int64_t left_us;
	uint32_t waiting_count;
	/** Of struct explained_part. */
	GArray *parts;
	/** Parts that cannot be answered in time. */
	uint32_t infeasible_count;
	/** Region of this host; NULL if it is not known. */
	const char *host_region;
	/**
	 * Copy of the router on which further questions on the route can be
	 * asked without effect; NULL if there is no route.
	 */
	struct router *copy;
};

/** Returns the explanation of a request; free with route_explanation_free(). */
struct route_explanation *router_explain(struct router *r,
					 const struct route_question *question);
void route_explanation_free(struct route_explanation *e);

/** Returns the name of the answer of leaf_access_check(), such as "cold". */
const char *leaf_access_reason_name(enum leaf_access_reason reason);

#endif
