#ifndef ROUTER_ROUTER_H
#define ROUTER_ROUTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"
#include "net/leaf_reply.h"
#include "router/leaf_set.h"
#include "router/table.h"

/**
 * Decisions for requests on the operator's routes: admission, leaf choice,
 * hedges, retries and the merge of parts. The router has no sockets and no
 * threads and reads no real clock. It is used by one thread at a time.
 */
struct router;

/** Longest request id, in bytes with the final NUL. */
#define REQUEST_ID_MAX 72

/** Request of a caller. */
struct router_request {
	char id[REQUEST_ID_MAX];
	const char *host;
	const char *path;
	/** Time that the caller will wait; 0 if it did not say. */
	int64_t wait_us;
	/** Time left until the latency goal; 0 selects that of the route. */
	int64_t goal_us;
	/** No second leaf is called sooner than this. */
	int64_t hedge_min_us;
	/** Leaves may have been sent the request before, by another host. */
	bool is_repeat;
	/**
	 * Names of the shards to answer, for a part of another host's gather;
	 * NULL for all. Only leaves of this failure domain are called, none a
	 * second time. What is in at the goal is sent then, the rest as it
	 * comes.
	 */
	const char *const *shards;
	uint32_t shard_count;
	/**
	 * Hosts that gather such requests if this host is one of them, or 0:
	 * the fewer they are, the more extra calls each may make.
	 */
	uint32_t gatherers;
	/** Handle of the adapter's own state, given back in callbacks. */
	void *user;
};

/** One call to a leaf. */
struct router_call {
	uint64_t id;
	struct route_leaf *leaf;
	const char *request_id;
	int64_t remaining_us;
	/** The request must not reach a leaf twice. */
	bool is_idempotent;
	void *user;
};

/** How a call to a leaf ended. */
enum call_outcome {
	/** Success, whole and signed. */
	CALL_ANSWERED,
	/** Another status that ends the request, such as 404. */
	CALL_DECLINED,
	/** Failure of the leaf, which may have run the request. */
	CALL_FAILURE,
	/** The leaf states that it did not run the request. */
	CALL_NOT_RUN,
	/** Another leaf has the address; not run. */
	CALL_MISDIRECTED,
	/** No byte of the request was sent. */
	CALL_NOT_SENT,
	/** Connection broken, reply unusable or no reply in time. */
	CALL_BROKEN,
};

/** Load that a leaf reports of itself. */
struct leaf_load {
	bool is_known;
	uint32_t running;
	uint32_t waiting;
};

struct router_result {
	uint64_t call_id;
	enum call_outcome outcome;
	/** NULL unless a whole reply was read; the router takes a reference. */
	struct leaf_reply *reply;
	/** Signature of the reply, or NULL; points into the reply. */
	const char *stamp;
	/** Why there is no reply, for the log; may be NULL. */
	const char *cause;
	struct leaf_load load;
};

/** Answer to a caller; valid during the callback. */
struct router_answer {
	unsigned int status;
	/** Reply to hand on as it is, or NULL. */
	const struct leaf_reply *reply;
	/** Result code of a refusal or failure, or 0. */
	int code;
	/** When the caller should come back; 0 for no advice. */
	int64_t retry_after_us;
	/** Signatures of the merged parts, in the order of the shards. */
	const char *const *stamps;
	uint32_t stamp_count;
	uint32_t missing_count;
	/** Shards of the parts, where some of them were asked for. */
	const char *const *shards;
	const void *body;
	size_t body_len;
};

/** Shards that a host in another failure domain is to answer. */
struct router_batch {
	uint64_t id;
	/** Failure domain in which the leaves are. */
	const char *domain;
	const char *const *shards;
	uint32_t shard_count;
	int64_t wait_us;
	/** Time until the result has to be here. */
	int64_t goal_us;
	void *user;
};

/** In place of a signature: the shard failed, and a leaf may have run it. */
#define STAMP_FAILED ""
/** In place of a signature: the shard failed, and no leaf has run it. */
#define STAMP_NOT_RUN "-"

/** Result of a batch. */
struct router_batch_result {
	uint64_t id;
	/** No leaf was called. */
	bool is_refused;
	/** No other result of the batch follows. */
	bool is_final;
	const char *const *shards;
	/**
	 * One for each of the shards: the signature of its part, or one of the
	 * marks below.
	 */
	const char *const *stamps;
	uint32_t count;
	const void *body;
	size_t body_len;
};

/** Actions that the router asks for. Callbacks must not call the router. */
struct router_ops {
	void (*start_call)(void *ctx, const struct router_call *call);
	/** Drops a call; no result of it is wanted any more. */
	void (*cancel_call)(void *ctx, uint64_t call_id);
	/**
	 * Notes that nobody waits for a call. Drops it and returns true if
	 * nothing has been sent yet; otherwise its result comes as usual.
	 */
	bool (*let_go)(void *ctx, uint64_t call_id);
	/**
	 * Hands a batch to a host; returns false if there is none. Its result
	 * comes through router_batch_done(). NULL where there are no others.
	 */
	bool (*start_batch)(void *ctx, const struct router_batch *b);
	/** Drops a batch whose result is not needed. */
	void (*cancel_batch)(void *ctx, uint64_t batch_id);
	/**
	 * Sends some of the shards that another host asked for; the rest
	 * follows, the last of it with answer().
	 */
	void (*answer_part)(void *ctx, void *user,
			    const struct router_answer *a);
	/** Ends a request; no later callback names it. */
	void (*answer)(void *ctx, void *user, const struct router_answer *a);
	/** Frees what the adapter holds for a leaf. */
	void (*forget_leaf)(void *ctx, struct route_leaf *leaf);
};

struct router_options {
	struct np_clock clock;
	uint64_t seed;
	/** Name and failure domain of this host. */
	const char *host;
	const char *domain;
	/** Regions, as for leaf_set_init(); may be NULL. */
	char *const *domains;
	/** Extra calls in 10 s that all hosts may make besides their ratio. */
	uint32_t extra_calls;
	const struct router_ops *ops;
	void *ctx;
};

/** Creates a router. Returns 0 or a negative result code. */
int router_create(struct router **out, const struct router_options *options);
void router_destroy(struct router *r);

/**
 * Puts a newer table in force and takes over the reference. Requests in flight
 * end on the table they began with. Returns 0 or -ERR_ROUTE_VERSION.
 */
int router_apply_table(struct router *r, struct route_table *t);

/** Returns the route that a request takes, or NULL. */
const struct route *router_match(const struct router *r, const char *host,
				 const char *path);

/**
 * Returns the number of shards of a gathered route that have a leaf in service,
 * by failure domain. Valid until the next call.
 */
GHashTable *router_local_leaves(struct router *r, const struct route *route);

/** Returns the time until the goal for a request that comes now. */
int64_t router_goal_left(const struct route *route);

/** Changes options.extra_calls. */
void router_set_extra_calls(struct router *r, uint32_t extra_calls);

/** Takes the number of hosts that share the budget of extra calls. */
void router_set_host_count(struct router *r, uint32_t hosts);

/** Returns the version in force; 0 if there is none. */
uint64_t router_version(const struct router *r);

/** Returns the bounds for callers in force, or NULL if there are none yet. */
const struct caller_limits *router_caller_limits(const struct router *r);

/** Returns the leaves, which the owner of the router may change. */
struct leaf_set *router_leaves(struct router *r);

/** Tries requests that wait for a leaf again, after leaves have changed. */
void router_leaves_changed(struct router *r);

/**
 * Takes a request. The answer comes through answer(), possibly before this
 * function returns. Returns the id of the request, or 0 if it was answered.
 */
uint64_t router_start(struct router *r, const struct router_request *request);

/** Ends a request without an answer: the caller has left. */
void router_cancel(struct router *r, uint64_t request_id);

/** Takes the result of a call. */
void router_call_result(struct router *r, const struct router_result *result);

/** Takes the result of a batch; one that is not known is ignored. */
void router_batch_done(struct router *r, const struct router_batch_result *b);

/** Returns the monotonic time of the next timer, or INT64_MAX. */
int64_t router_next_timer(const struct router *r);

/** Runs timers that are due. */
void router_advance(struct router *r);

/** Returns the number of requests in flight. */
uint32_t router_request_count(const struct router *r);

#endif
