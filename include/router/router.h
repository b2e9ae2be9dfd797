#ifndef ROUTER_ROUTER_H
#define ROUTER_ROUTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"
#include "net/leaf_reply.h"
#include "router/identity.h"
#include "router/leaf_rate.h"
#include "router/leaf_set.h"
#include "router/table.h"

/**
 * Decides on requests for the operator's routes: admission, choice of leaves,
 * hedges, retries and the merge of parts. The router has no sockets and no
 * threads and reads no real clock: an adapter sends the calls and supplies the
 * clock. It is used by one thread at a time.
 */
struct router;

/** Longest request id, in bytes with the final NUL. */
#define REQUEST_ID_MAX 72

/** Request of a caller. */
struct router_request {
	char id[REQUEST_ID_MAX];
	const char *host;
	const char *path;
	/** What the caller has told about itself. */
	struct credentials credentials;
	/**
	 * Name of the organisation of the caller, if another host has checked
	 * the credentials and sent it; otherwise NULL.
	 */
	const char *organisation;
	/** Timeout set by the caller; 0 if none. */
	int64_t wait_us;
	/** Time left until the latency goal; 0 selects that of the route. */
	int64_t goal_us;
	/** Minimum time before a second leaf is called. */
	int64_t hedge_min_us;
	/** Another host may have sent the request to leaves before. */
	bool is_repeat;
	/**
	 * Names of the shards to answer if the request is a batch of another
	 * host; NULL for all shards of the route. For a batch only leaves of
	 * this failure domain are called, and each shard once. The results
	 * present at the goal are sent then, later ones as they arrive.
	 */
	const char *const *shards;
	uint32_t shard_count;
	/**
	 * Number of hosts that gather such requests, or 0 if this host is not
	 * one of them. With fewer hosts, each may make more extra calls.
	 */
	uint32_t gatherers;
	/** State of the adapter, passed to the callbacks. */
	void *user;
};

/** One call to a leaf. */
struct router_call {
	uint64_t id;
	struct route_leaf *leaf;
	const char *request_id;
	int64_t remaining_us;
	/** The request may be run more than once. */
	bool is_idempotent;
	/**
	 * Organisations are in force: what the request tells about its caller
	 * is not passed on.
	 */
	bool has_organisations;
	/** Name of the organisation of the caller, or NULL. */
	const char *organisation;
	void *user;
};

/** How a call to a leaf ended. */
enum call_outcome {
	/** Success with a complete, signed reply. */
	CALL_ANSWERED,
	/** Any other status, such as 404: not a failure of the leaf. */
	CALL_DECLINED,
	/** Failure of the leaf, which may have run the request. */
	CALL_FAILURE,
	/** The reply is marked as not executed: the leaf did not run it. */
	CALL_NOT_RUN,
	/** Refused, not run: the address belongs to another leaf. */
	CALL_MISDIRECTED,
	/** No byte of the request was sent. */
	CALL_NOT_SENT,
	/** Connection broken, reply unusable or no reply in time. */
	CALL_BROKEN,
};

/** Load that a leaf reports about itself. */
struct leaf_load {
	bool is_known;
	uint32_t running;
	uint32_t waiting;
	/**
	 * Time that work takes on the leaf's machine at present, as a factor on
	 * the usual time; 0 if the leaf does not tell.
	 */
	double work_factor;
};

/** How long a leaf remains cold, if its reply states that. */
struct leaf_warm_up {
	bool is_known;
	int64_t left_us;
};

struct router_result {
	uint64_t call_id;
	enum call_outcome outcome;
	/** NULL without a complete reply; the router adds a reference. */
	struct leaf_reply *reply;
	/** Stamp (signature) of the reply, or NULL; points into the reply. */
	const char *stamp;
	/** Why there is no reply, for the log; may be NULL. */
	const char *cause;
	struct leaf_load load;
	struct leaf_rate_limit rate_limit;
	struct leaf_warm_up warm_up;
};

/**
 * Returns whether the reply of a call may be passed on to the caller of a route
 * without a gather: as a success if the call was answered, else as a failure.
 * Other replies are replaced by an answer of this host.
 */
bool router_may_pass_on(const struct router_result *result);

/** Answer to a caller; valid during the callback. */
struct router_answer {
	unsigned int status;
	/** Reply to pass on unchanged, or NULL. */
	const struct leaf_reply *reply;
	/** Result code of a refusal or failure, or 0. */
	int code;
	/** Delay after which the caller should retry; 0 if not set. */
	int64_t retry_after_us;
	/** Stamps of the merged parts; those from batches are last. */
	const char *const *stamps;
	uint32_t stamp_count;
	uint32_t missing_count;
	/** Shards of the stamps, in the answer to a batch. */
	const char *const *shards;
	const void *body;
	size_t body_len;
};

/** Shards that a host in another failure domain is to answer. */
struct router_batch {
	uint64_t id;
	/** Failure domain of the leaves. */
	const char *domain;
	const char *const *shards;
	uint32_t shard_count;
	/** Time until the deadline of the request. */
	int64_t wait_us;
	/** Time until the other host sends the results that it has. */
	int64_t goal_us;
	/** As in struct router_call. */
	bool has_organisations;
	const char *organisation;
	void *user;
};

/** Stamp of a shard that failed and that a leaf may have run. */
#define STAMP_FAILED ""
/** Stamp of a shard that failed and that no leaf has run. */
#define STAMP_NOT_RUN "-"

/** Result of a batch. */
struct router_batch_result {
	uint64_t id;
	/** The batch was refused; no leaf was called. */
	bool is_refused;
	/** No further result of the batch follows. */
	bool is_final;
	const char *const *shards;
	/**
	 * For each of the shards the signature of its reply, or STAMP_FAILED or
	 * STAMP_NOT_RUN.
	 */
	const char *const *stamps;
	uint32_t count;
	const void *body;
	size_t body_len;
};

/** Calls of this host to a leaf with a rate limit. Strings are borrowed. */
struct leaf_rate_report {
	const char *leaf;
	const char *service;
	/** Unset at the end of the limit, with the last report. */
	bool is_limited;
	/** Calls a second: of all hosts, of this one, and wanted by this one. */
	double limit_per_s;
	double share_per_s;
	double wanted_per_s;
	/** Time since the newest reply that named the limit. */
	int64_t news_age_us;
	/** Calls since the last report. */
	uint32_t first_calls;
	uint32_t extra_calls;
};

/** Operations of the adapter. They must not call the router. */
struct router_ops {
	void (*start_call)(void *ctx, const struct router_call *call);
	/** Cancels a call; its result must not be delivered. */
	void (*cancel_call)(void *ctx, uint64_t call_id);
	/**
	 * Detaches a call whose request no longer needs it. If no byte has been
	 * sent, cancels the call and returns true; otherwise lets it finish and
	 * delivers its result.
	 */
	bool (*detach_call)(void *ctx, uint64_t call_id);
	/**
	 * Cancels a call of which no byte has been sent and returns true; its
	 * result must not be delivered. Otherwise returns false and lets the
	 * call go on. NULL if the adapter sends calls at once.
	 */
	bool (*withdraw_call)(void *ctx, uint64_t call_id);
	/**
	 * Sends a batch to a host of its failure domain; returns false if there
	 * is none. The results come through router_handle_batch_result(). NULL
	 * if the adapter has no links to other hosts.
	 */
	bool (*start_batch)(void *ctx, const struct router_batch *b);
	/** Cancels a batch whose result is not needed. */
	void (*cancel_batch)(void *ctx, uint64_t batch_id);
	/**
	 * Sends some of the results of a batch to the host that sent it;
	 * further results follow, the last of them through answer().
	 */
	void (*answer_part)(void *ctx, void *user,
			    const struct router_answer *a);
	/** Answers and ends a request; no later callback refers to it. */
	void (*answer)(void *ctx, void *user, const struct router_answer *a);
	/**
	 * Claims shares of the rate limits of leaves from the hosts that divide
	 * them. Grants come through router_handle_grant(). NULL if the adapter
	 * has no links to other hosts.
	 */
	void (*claim_rates)(void *ctx, const struct rate_claim *claims,
			    uint32_t count);
	/**
	 * Claims tokens for calls to cold leaves, as an array of struct
	 * token_claim. Grants come through router_handle_token_grant(). NULL if
	 * cold leaves are called like others.
	 */
	void (*claim_tokens)(void *ctx, const GArray *claims);
	/**
	 * Reports the calls to a leaf with a rate limit, about once a second,
	 * and the end of its limit. NULL if the adapter has no metrics.
	 */
	void (*report_rate)(void *ctx, const struct leaf_rate_report *report);
	/** Closes the idle connections to a leaf; NULL if there are none. */
	void (*close_idle)(void *ctx, struct route_leaf *leaf);
	/** Frees the adapter's state of a leaf, leaf->endpoint. */
	void (*free_endpoint)(void *ctx, struct route_leaf *leaf);
};

/** When requests are ordered and refused by what they are worth. */
enum triage_mode {
	/** If callers belong to organisations, which compete for capacity. */
	TRIAGE_WITH_ORGANISATIONS,
	TRIAGE_ALWAYS,
	/** Requests are served in the order in which they arrive. */
	TRIAGE_NEVER,
};

struct router_options {
	struct np_clock clock;
	uint64_t seed;
	/** Name and failure domain of this host. */
	const char *host;
	const char *domain;
	/** Regions, as for leaf_set_init(); may be NULL. */
	char *const *domains;
	/**
	 * Extra calls in 10 s that all hosts together may make to an upstream
	 * in addition to those that the ratio permits.
	 */
	uint32_t extra_calls;
	enum triage_mode triage;
	const struct router_ops *ops;
	void *ctx;
};

/** Creates a router. Returns 0 or a negative result code. */
int router_create(struct router **out, const struct router_options *options);
void router_destroy(struct router *r);

/**
 * Sets the time at which this host stops. Every request gets its answer by
 * then. From now on a request that is not expected to end before is refused as
 * not run with -ERR_ROUTE_STOPPING, when it arrives or while it waits for a
 * leaf. A request that a leaf may have run ends with status 502 at that time,
 * unless a gather has the coverage for its answer.
 */
void router_stop_at(struct router *r, int64_t stop_us);

/** Returns whether router_stop_at() was called. */
bool router_is_stopping(const struct router *r);

/**
 * Returns whether a request of a route that starts now is expected to end
 * before this host stops.
 */
bool router_may_start(struct router *r, const struct route *route);

/** Times of a request that may be forwarded to another host. */
struct router_way {
	/** Time left until the latency goal and until the deadline. */
	int64_t goal_us;
	int64_t wait_us;
	/** Time to the other host and back. */
	int64_t way_us;
};

/**
 * Returns whether a forwarded request can still end in time; otherwise this
 * host decides on it.
 */
bool router_may_forward(struct router *r, const struct route *route,
			const struct router_way *way);

/**
 * Returns whether a request of another host that was refused on arrival is
 * handed back to that host as not run, because capacity is short here.
 */
bool router_hands_back(const struct router *r, const struct router_answer *a);

/**
 * Returns whether a request that another host has handed back can still end
 * within its goal elsewhere; otherwise its caller gets the refusal.
 */
bool router_may_retry_forward(struct router *r, const struct route *route,
			      const struct router_way *way);

/**
 * Puts a newer table in force and takes over the reference. Requests in flight
 * keep the table with which they began. Returns 0 or -ERR_ROUTE_VERSION.
 */
int router_apply_table(struct router *r, struct route_table *t);

/** Returns the route that a request takes, or NULL. */
const struct route *router_match(const struct router *r, const char *host,
				 const char *path);

/** Returns the organisation with a name in the table in force, or NULL. */
const struct organisation *router_find_organisation(const struct router *r,
						    const char *name);

/** Returns whether the table in force limits organisations or cold leaves. */
bool router_has_quotas(const struct router *r);

/**
 * Returns who sends a request, and whether it may run, by the table in force.
 * Every request that is started is checked; this is for requests that another
 * host is to run.
 */
struct identity router_identify(const struct router *r,
				const struct router_request *request);

/**
 * States whether keys must not be trusted, because this host may have missed
 * that some were revoked. Requests with a key are refused meanwhile.
 */
void router_set_keys_stale(struct router *r, bool are_stale);

/** Returns whether organisations are in force. */
bool router_has_organisations(const struct router *r);

/**
 * Returns the number of shards of a gathered route that have a usable leaf, by
 * failure domain. Valid until the next call.
 */
GHashTable *router_shard_counts(struct router *r, const struct route *route);

/**
 * Returns whether a request may be forwarded whole to another host of this
 * region: not if the route or the organisation is limited to other regions. The
 * organisation may be NULL.
 */
bool router_region_allows(const struct router *r, const struct route *route,
			  const char *organisation);

/**
 * Sets whether a failure domain is evacuated. No call is sent to the leaves of
 * an evacuated one; calls of which nothing was sent move to other leaves, and
 * idle connections are closed.
 */
void router_set_evacuated(struct router *r, const char *domain,
			  bool is_evacuated);

/** Limits on places that are in force, and their effects so far. */
struct router_place_counts {
	uint32_t evacuated_domains;
	/** As of the last sweep of the leaves, at most 0.25 s ago. */
	uint32_t evacuated_leaves;
	uint32_t cold_leaves;
	/** Parts that no leaf could take while each limit excluded leaves. */
	uint64_t other_region_parts;
	uint64_t evacuated_parts;
	uint64_t cold_parts;
	/** Calls that moved off evacuated leaves. */
	uint64_t moved_calls;
};

struct router_place_counts router_place_counts(const struct router *r);

/** Returns the time until the latency goal of a request that arrives now. */
int64_t router_goal_left(const struct route *route);

/** Changes options.triage. */
void router_set_triage(struct router *r, enum triage_mode mode);

/** Changes options.extra_calls. */
void router_set_extra_calls(struct router *r, uint32_t extra_calls);

/** Sets the number of hosts that share the budget of extra calls, or 0. */
void router_set_host_count(struct router *r, uint32_t hosts);

/** Returns the version of the table in force; 0 if there is none. */
uint64_t router_version(const struct router *r);

/** Returns the limits for callers in force, or NULL without a table. */
const struct caller_limits *router_caller_limits(const struct router *r);

/** Returns the leaves, which the owner of the router may change. */
struct leaf_set *router_leaves(struct router *r);

/** Retries parts that wait for a leaf, after the set of leaves has changed. */
void router_leaves_changed(struct router *r);

/**
 * Starts a request. Its answer is delivered through answer(), possibly before
 * this function returns. Returns the id of the request, or 0 if it was answered
 * already.
 */
uint64_t router_start(struct router *r, const struct router_request *request);

/** Cancels a request without an answer: its caller has disconnected. */
void router_cancel(struct router *r, uint64_t request_id);

/** Handles the result of a call. */
void router_call_result(struct router *r, const struct router_result *result);

/** Handles a result of a batch; ignored if the batch is not open. */
void router_handle_batch_result(struct router *r,
				const struct router_batch_result *b);

/** Handles the answer to a claim. */
void router_handle_grant(struct router *r, const struct rate_grant *g);

/** Handles the answer to a claim of tokens; ignored if of no cold leaf. */
void router_handle_token_grant(struct router *r, const struct token_grant *g);

/** Returns the monotonic time of the next timer, or INT64_MAX. */
int64_t router_next_timer(const struct router *r);

/** Runs the timers that are due. */
void router_advance(struct router *r);

/** Returns the number of requests in flight. */
uint32_t router_request_count(const struct router *r);

#endif
