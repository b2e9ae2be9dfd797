#ifndef ENGINE_ENGINE_H
#define ENGINE_ENGINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"
#include "objects/objects.h"

/**
 * Decisions for queries: admission, snapshot, replica choice, hedges, retries,
 * budget, request keys and outcome. The engine has no sockets, no threads and
 * reads no real clock: events go in through functions, actions come out
 * through struct engine_ops. It is used by one thread at a time.
 */
struct engine;

/** Longest request id and request key, in bytes with the final NUL. */
#define ENGINE_ID_MAX 64

/** Whether a refused request was run by an upstream. */
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
	/** Wall time at which the caller made the key. */
	int64_t key_created_us;
	/** Key range, as in engine_set_tenure(), that the key belongs to. */
	uint32_t key_range;
	/**
	 * The caller states that it sends the key for the first time, and no
	 * other host was handed the request. Such a key cannot have run before
	 * the tenure, whenever it was made.
	 */
	bool is_first_attempt;
	/** Marks the request as non-idempotent whatever the service says. */
	bool is_non_idempotent;
	/** Handle of the adapter's own state, given back in callbacks. */
	void *user;
};

/** One leaf call to start. */
struct engine_call {
	uint64_t query_id;
	/** Unique in this engine; names the attempt in the leaf protocol. */
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
	/** A reply that fits the attempt, with hits. */
	CALL_OK,
	/** The connection could not be made; nothing was sent. */
	CALL_CONNECT_FAILED,
	/** The connection broke; bytes_sent tells whether it can have run. */
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
	/** Refused, not run: the leaf saw the deadline as passed. */
	CALL_EXPIRED,
	/** Malformed, truncated or foreign reply. */
	CALL_BAD_REPLY,
	/** Error reply of the leaf; it may have run. */
	CALL_ERROR,
};

/** Result of a leaf call. */
struct engine_result {
	uint64_t call_id;
	enum call_status status;
	/** False only if no byte of the request was handed to the leaf. */
	bool bytes_sent;
	/**
	 * Snapshot that the reply was drawn from, or that the leaf has in place
	 * of the one it refused; 0 if not known.
	 */
	uint64_t snapshot;
	/** Requests in service or queued at the leaf; negative if not known. */
	int load;
	bool is_draining;
};

/** Shard of which the answer holds nothing, and why. */
struct engine_gap {
	const char *shard;
	/** Positive result code. */
	int reason;
};

/** End of a query. Pointers are valid during the callback. */
struct engine_outcome {
	const char *request_id;
	/** 0, or the negative result code of a refusal or failure. */
	int code;
	enum run_state run;
	uint64_t snapshot;
	uint64_t config_version;
	/** Weight of the shards in the answer and of the pinned snapshot. */
	uint64_t weight;
	uint64_t total_weight;
	const struct engine_gap *gaps;
	uint32_t gap_count;
	/** Set where a later try can help; 0 otherwise. */
	int64_t retry_after_us;
	int64_t total_us;
	uint32_t needed_calls;
	uint32_t extra_calls;
	/**
	 * Query id of the earlier run of the same request key whose outcome
	 * this is; 0 if the query ran by itself. With code 0 the hits are those
	 * of that run, which the adapter keeps until forget_result().
	 */
	uint64_t duplicate_of;
	/** Repeats of the request key may name this query in duplicate_of. */
	bool is_kept;
	void *user;
};

/** Actions that the engine asks for. Callbacks must not call the engine. */
struct engine_ops {
	/** Starts one leaf call. */
	void (*start_call)(void *ctx, const struct engine_call *call);
	/** Cancels a call; its result, if any, will be dropped. */
	void (*cancel_call)(void *ctx, uint64_t call_id);
	/** Drops the hits accepted so far: the query restarts. */
	void (*reset_results)(void *ctx, uint64_t query_id, void *user);
	/** Ends the query; no further callback names it. */
	void (*finish_query)(void *ctx, uint64_t query_id,
			     const struct engine_outcome *outcome);
	/**
	 * The window of a request key has passed: no later outcome names the
	 * query in duplicate_of. NULL if the adapter keeps no hits.
	 */
	void (*forget_result)(void *ctx, uint64_t query_id);
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
	/** Most queries in flight; 0 selects 4096. */
	uint32_t max_queries;
	/** Most request keys remembered; 0 selects 65536. */
	uint32_t max_keys;
	/** Time kept for the answer's way to the caller; 0 selects 3 ms. */
	int64_t answer_margin_us;
	/**
	 * Refuses keys of ranges without a tenure. Otherwise such a tenure
	 * began when the engine was created, and its lease does not end.
	 */
	bool requires_tenure;
	/** Failure domain of this host; NULL if not known. */
	const char *domain;
};

/** What a leaf reports of itself. */
enum leaf_state {
	LEAF_SERVING,
	LEAF_COLD,
	LEAF_DRAINING,
};

struct leaf_report {
	obj_handle leaf;
	enum leaf_state state;
	int load;
	/** Age of the report when it was taken in. */
	int64_t age_us;
	const uint64_t *snapshots;
	uint32_t snapshot_count;
};

/** Creates an engine. Returns 0 or a negative result code. */
int engine_create(struct engine **out, const struct engine_options *options);
struct engine *engine_ref(struct engine *e);
void engine_unref(struct engine *e);

/**
 * Puts a set in force. Queries in flight end on the set they began with.
 * State of leaves with the same address and shard is kept.
 */
int engine_apply_set(struct engine *e, struct object_set *set);

/**
 * Sets this host's share of every leaf of a group. Without a call, the whole
 * limit of each leaf is available.
 */
int engine_set_share(struct engine *e, obj_handle group,
		     struct leaf_share share);

/**
 * Sets the tenure of a key range: keys created before start (wall time) are
 * refused unless they are first attempts, and no keyed call starts after
 * lease_until (monotonic time).
 */
void engine_set_tenure(struct engine *e, uint32_t key_range,
		       int64_t start_wall_us, int64_t lease_until_us);

/**
 * Admits a request. Returns 0 and the query id: the end of the query comes
 * through finish_query(), possibly before this function returns.
 * Returns a negative result code if the request is refused at once; it was then
 * not run, and retry_after_us tells when to try again (0: no advice). A repeat
 * of a known request key is never refused here: it waits for the run, and gets
 * its outcome through finish_query(). The same holds for a key that may have
 * run elsewhere (-ERR_KEY_UNKNOWN).
 */
int engine_submit(struct engine *e, const struct engine_request *request,
		  uint64_t *query_id, int64_t *retry_after_us);

/**
 * Takes the result of a call. Returns true if its hits belong to the answer;
 * merge them before the next event. The end of the query, if this was the last
 * call, comes at the next engine_advance().
 */
bool engine_call_result(struct engine *e, const struct engine_result *result);

/** Takes a leaf's report. */
void engine_report(struct engine *e, const struct leaf_report *report);

/**
 * Ends the query without an answer: the caller has left. Returns false if the
 * query runs for a request key: it goes on, because a repeat may ask for its
 * result, and its end comes through finish_query().
 */
bool engine_cancel(struct engine *e, uint64_t query_id);

/** Returns the monotonic time of the next timer, or INT64_MAX. */
int64_t engine_next_timer(const struct engine *e);

/** Runs timers that are due and ends finished queries. */
void engine_advance(struct engine *e);

/** Refuses new queries; those in flight go on. */
void engine_stop_admission(struct engine *e);

/** Returns the number of queries in flight. */
uint32_t engine_query_count(const struct engine *e);

#endif
