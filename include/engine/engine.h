#ifndef ENGINE_ENGINE_H
#define ENGINE_ENGINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"
#include "objects/objects.h"

/**
 * Makes the decisions for queries: admission, snapshot, replica choice, hedges,
 * retries, retry budget, request keys and outcome. The engine has no sockets
 * and no threads and reads time only through its options' clock. The adapter
 * reports events by calling the functions below; the engine requests actions
 * through struct engine_ops. One thread at a time may use an engine.
 */
struct engine;

/** Longest request id and request key, in bytes with the final NUL. */
#define ENGINE_ID_MAX 64

/** Whether an upstream ran a request. */
enum run_state {
	RUN_NOT_RUN,
	RUN_UNKNOWN,
	RUN_DONE,
};

/** Request as it arrives from a caller or from another host. */
struct engine_request {
	char id[ENGINE_ID_MAX];
	const char *service;
	/** Admission class, or NULL for the service's own. */
	const char *class;
	/** Time left until the deadline; 0 selects the service's default. */
	int64_t deadline_us;
	/** Request key; empty if the request has none. */
	char key[ENGINE_ID_MAX];
	/** Wall time at which the caller created the key. */
	int64_t key_created_us;
	/** Key range that the key belongs to; see engine_set_tenure(). */
	uint32_t key_range;
	/**
	 * The caller states that it sends the key for the first time, and the
	 * request was forwarded to no other host. Such a key cannot have run
	 * before the tenure began, even if it was created earlier.
	 */
	bool is_first_attempt;
	/** Makes the request non-idempotent even for an idempotent service. */
	bool is_non_idempotent;
	/** The adapter's own state, passed back in callbacks. */
	void *user;
};

/** One leaf call to start. */
struct engine_call {
	uint64_t query_id;
	/** Unique in this engine; the attempt id in the leaf protocol. */
	uint64_t call_id;
	obj_handle leaf;
	obj_handle shard;
	/** Valid during the callback. */
	const char *address;
	const char *shard_name;
	const char *request_id;
	uint64_t snapshot;
	int64_t remaining_us;
	bool is_hedge;
	bool is_retry;
	/** The call must not be sent twice. */
	bool is_non_idempotent;
	void *user;
};

/** How a leaf call ended. */
enum call_status {
	/** A well-formed reply to this attempt, with hits. */
	CALL_OK,
	/** The connection could not be made; nothing was sent. */
	CALL_CONNECT_FAILED,
	/** The connection broke; the call can have run only if is_sent. */
	CALL_RESET,
	/** No reply before the deadline. */
	CALL_TIMEOUT,
	/** Refused, not run: load shed. */
	CALL_SHED,
	/** Refused, not run: the leaf is draining. */
	CALL_DRAINING,
	/** Refused, not run: the leaf no longer has the snapshot. */
	CALL_SNAPSHOT_GONE,
	/** Refused, not run: the shard was repartitioned. */
	CALL_REPARTITIONED,
	/** Refused, not run: the deadline had passed at the leaf. */
	CALL_EXPIRED,
	/** The reply is malformed, truncated or belongs to another call. */
	CALL_BAD_REPLY,
	/** Error reply of the leaf; it may have run. */
	CALL_ERROR,
};

/** Result of a leaf call. */
struct engine_result {
	uint64_t call_id;
	enum call_status status;
	/** False only if no byte of the request was sent to the leaf. */
	bool is_sent;
	/**
	 * Snapshot that the reply was computed from or, with a refusal, the
	 * snapshot that the leaf now serves; 0 if not known.
	 */
	uint64_t snapshot;
	/** Requests in service or queued at the leaf; negative if not known. */
	int load;
	bool is_draining;
};

/** Shard that is missing from the answer, and why. */
struct engine_gap {
	const char *shard;
	/** Positive result code. */
	int reason;
};

/** How a query ended. Pointers are valid during the callback. */
struct engine_outcome {
	const char *request_id;
	/** 0, or the negative result code of a refusal or failure. */
	int code;
	enum run_state run;
	uint64_t snapshot;
	uint64_t config_version;
	/** Weight of the shards in the answer. */
	uint64_t weight;
	/** Weight of all shards that the query goes to. */
	uint64_t total_weight;
	const struct engine_gap *gaps;
	uint32_t gap_count;
	/** Time after which a retry can succeed; 0 if there is no advice. */
	int64_t retry_after_us;
	int64_t total_us;
	uint32_t needed_calls;
	uint32_t extra_calls;
	/**
	 * Query id of an earlier run of the same request key, if this is the
	 * outcome of that run; 0 if the query ran itself. With code 0 the hits
	 * are those of the earlier run, which the adapter keeps until
	 * expire_result().
	 */
	uint64_t duplicate_of;
	/** Repeats of the request key may name this query in duplicate_of. */
	bool is_kept;
	void *user;
};

/** Actions that the engine requests. Callbacks must not call the engine. */
struct engine_ops {
	/** Starts one leaf call. */
	void (*start_call)(void *ctx, const struct engine_call *call);
	/** Cancels a call; a result that still arrives for it is ignored. */
	void (*cancel_call)(void *ctx, uint64_t call_id);
	/** Drops the hits accepted so far, since the query restarts. */
	void (*reset_results)(void *ctx, uint64_t query_id, void *user);
	/**
	 * Ends the query. The only later callback with its id is
	 * expire_result().
	 */
	void (*finish_query)(void *ctx, uint64_t query_id,
			     const struct engine_outcome *outcome);
	/**
	 * Lets the adapter drop the hits of a query: the window of its request
	 * key has passed, and no later outcome names it in duplicate_of. NULL
	 * if the adapter keeps no hits.
	 */
	void (*expire_result)(void *ctx, uint64_t query_id);
};

/** Share of a leaf's connections and slots that this host may use. */
struct leaf_share {
	uint32_t connections;
	uint32_t slots;
};

struct engine_options {
	struct np_clock clock;
	uint64_t seed;
	const struct engine_ops *ops;
	void *ctx;
	/** Most queries that are running, queued or waiting; 0 selects 4096. */
	uint32_t max_queries;
	/** Most request keys in the key table; 0 selects 65536. */
	uint32_t max_keys;
	/** Time reserved for the answer to reach the caller; 0 selects 3 ms. */
	int64_t answer_margin_us;
	/**
	 * Refuses keys of ranges for which engine_set_tenure() was not called.
	 * Otherwise the tenure of such a range begins when the engine is
	 * created, and its lease does not end.
	 */
	bool requires_tenure;
	/** Failure domain of this host; NULL if not known. */
	const char *domain;
};

/** State that a leaf reports about itself. */
enum leaf_state {
	LEAF_SERVING,
	LEAF_COLD,
	LEAF_DRAINING,
};

struct leaf_report {
	obj_handle leaf;
	enum leaf_state state;
	int load;
	/** Age of the report when the engine gets it. */
	int64_t age_us;
	const uint64_t *snapshots;
	uint32_t snapshot_count;
};

/** Creates an engine. Returns 0 or a negative result code. */
int engine_create(struct engine **out, const struct engine_options *options);
struct engine *engine_ref(struct engine *e);
void engine_unref(struct engine *e);

/**
 * Puts an object set in force. Queries in flight continue with the set they
 * started with. Leaves with the same address and shard keep their state.
 * Returns 0.
 */
int engine_apply_set(struct engine *e, struct object_set *set);

/**
 * Sets this host's share of every leaf of a group. Until this is called, the
 * host may use the whole limit of each leaf. Returns 0 or -ERR_INVAL.
 */
int engine_set_share(struct engine *e, obj_handle group,
		     struct leaf_share share);

/**
 * Sets the tenure of a key range, the time in which this host owns its keys.
 * Keys created before start_wall_us are refused unless they are first attempts,
 * and no keyed call starts after lease_until_us (monotonic time).
 */
void engine_set_tenure(struct engine *e, uint32_t key_range,
		       int64_t start_wall_us, int64_t lease_until_us);

/**
 * Submits a request. Returns 0 and the query id if a query was created; a later
 * engine_advance() delivers its outcome through finish_query().
 * Returns a negative result code if the request is refused at once. It was then
 * not run, and retry_after_us is the time after which to retry (0: no advice).
 * A repeat of a known request key is never refused here: it waits for the run
 * and gets its outcome through finish_query(). A key that may have run on
 * another host ends through finish_query() too, with -ERR_KEY_UNKNOWN.
 */
int engine_submit(struct engine *e, const struct engine_request *request,
		  uint64_t *query_id, int64_t *retry_after_us);

/**
 * Handles the result of a call. Returns true if its hits belong to the answer;
 * the caller must merge them before the next event. If this was the last call
 * of the query, the outcome is delivered by the next engine_advance().
 */
bool engine_call_result(struct engine *e, const struct engine_result *result);

/** Updates the state of a leaf from its report. */
void engine_report(struct engine *e, const struct leaf_report *report);

/**
 * Cancels a query whose caller no longer waits for the answer; finish_query()
 * is not called. Returns false if the query runs for a request key. Such a
 * query is detached and continues, because a repeat of the key may ask for its
 * result; its outcome is delivered through finish_query().
 */
bool engine_cancel(struct engine *e, uint64_t query_id);

/**
 * Returns the monotonic time at which engine_advance() must run next: 0 if
 * there are outcomes to deliver or queued queries to start, INT64_MAX if there
 * is no timer.
 */
int64_t engine_next_timer(const struct engine *e);

/**
 * Fires the timers that are due, delivers outcomes, starts queued queries and
 * expires request keys.
 */
void engine_advance(struct engine *e);

/** Refuses new queries; those submitted before continue. */
void engine_stop_admission(struct engine *e);

/** Returns the number of queries without a delivered outcome. */
uint32_t engine_query_count(const struct engine *e);

#endif
