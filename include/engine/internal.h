#ifndef ENGINE_INTERNAL_H
#define ENGINE_INTERNAL_H

#include <glib.h>

#include "common/events.h"
#include "engine/budget.h"
#include "engine/engine.h"
#include "engine/heap.h"
#include "engine/key_table.h"
#include "engine/query.h"
#include "engine/view.h"

/* Logs an event; evaluates the arguments only if the event is enabled. */
#define LOG(id, ...)                                     \
	do {                                             \
		if (event_is_enabled(EV_##id))           \
			event_log(EV_##id, __VA_ARGS__); \
	} while (0)

/** Time in which this host owns the keys of a range. */
struct tenure {
	int64_t start_us;
	int64_t lease_until_us;
};

struct engine {
	int refs;
	struct engine_options options;
	struct set_view *view;
	struct id_table queries;
	struct id_table calls;
	struct heap timers;
	/** Ended queries whose outcome has not been delivered yet. */
	struct heap ended;
	/** Admission pools with queued queries in which a query has ended. */
	struct heap ready_pools;
	struct key_table keys;
	struct budget budget;
	/**
	 * Incremented when a set is put in force, and when a leaf gains or
	 * loses a snapshot or starts or stops draining.
	 */
	uint64_t snapshot_epoch;
	int64_t start_wall_us;
	/** Maps a key range to its struct tenure. */
	GHashTable *tenures;
	GRand *random;
	bool is_stopping;
};

static inline int64_t engine_now(const struct engine *e)
{
	return clock_now(&e->options.clock);
}

static inline const struct service_object *query_service(const struct query *q)
{
	return &q->view->set->services[q->service];
}

static inline const struct shard_object *
query_shard_object(const struct query_shard *s)
{
	return &s->query->view->set->shards[s->shard];
}

/**
 * Returns whether limits, hedges and the retry budget apply to the query. The
 * baseline policies run without them.
 */
static inline bool query_has_limits(const struct query *q)
{
	return query_service(q)->policy == POLICY_NUTMEGPICK;
}

/* timer.c */

/** Arms a timer, or changes its time if it is armed already. */
void timer_arm(struct engine *e, struct timer *t, int64_t at_us,
	       void (*fire)(struct engine *e, struct timer *t));
void timer_disarm(struct engine *e, struct timer *t);
/** Fires the timers that are due. */
void timer_run(struct engine *e);

/*
 * query.c
 *
 * A query for which engine_submit() returned 0 ends in this order:
 * 1. query_end() puts it into engine.ended.
 * 2. engine_advance() calls outcome_deliver() for each query in engine.ended.
 * 3. outcome_deliver() calls ops->finish_query(). If the query ran a request
 *    key, it then calls request_key_store_outcome(), which delivers the
 *    outcome to the queries that wait for the run and releases them.
 * 4. outcome_deliver() calls query_release().
 * A query that engine_submit() refuses is released without an outcome. So is a
 * query that engine_cancel() cancels, unless it runs a request key: then it is
 * only marked as detached and goes through all steps.
 */

/** Allocates a query for a request; the view may be NULL. */
struct query *query_create(struct engine *e, const struct engine_request *r,
			   struct set_view *view);
/** Fills in the shards that the query goes to. */
void query_add_shards(struct query *q, const char *key);
/** Starts the calls of an admitted query. */
void query_run(struct engine *e, struct query *q);
/** Cancels all calls and starts the query again on another snapshot. */
void query_restart(struct engine *e, struct query *q, uint64_t snapshot);
/**
 * Stops the query's timer, takes it out of admission and queues it for
 * outcome_deliver(). The code is negative if the query failed as a whole; with
 * 0, outcome_deliver() derives the result code from the coverage, or copies the
 * stored outcome if the query repeats a request key. Does nothing if the query
 * has ended already.
 */
void query_end(struct engine *e, struct query *q, int code);
/** Returns whether the answer has the coverage that the service asks for. */
bool query_is_covered(const struct query *q);
/**
 * Ends the query if no shard is pending. If an early answer is due, cancels the
 * calls and records the pending shards as missing, which ends the query.
 */
void query_end_if_ready(struct engine *e, struct query *q);
/**
 * Stops the timers and waits of a query, takes it out of admission if
 * query_end() has not, and frees it. Delivers no outcome and cancels no calls.
 */
void query_release(struct engine *e, struct query *q);
/**
 * Records that a shard is missing from the answer, and why. Ends the query if
 * no other shard is pending.
 */
void query_mark_shard_missing(struct engine *e, struct query_shard *s,
			      int reason);
/**
 * Cancels the calls of the query and the timers and waits of its shards. Does
 * not end the query.
 */
void query_cancel_calls(struct engine *e, struct query *q);

/* snapshot.c */

/**
 * Returns the snapshot that leaves which are not draining hold for the highest
 * total weight of the query's shards; the newest one of several. Considers only
 * snapshots newer than newer_than. Returns 0 if there is none.
 */
uint64_t snapshot_choose(struct engine *e, const struct query *q,
			 uint64_t newer_than);

/**
 * Handles a call that the leaf refused because it no longer serves the
 * snapshot: restarts the query on a newer snapshot, or else retries the shard
 * on a replica that still has the pinned one.
 */
void snapshot_handle_gone(struct engine *e, struct query_shard *s,
			  const struct engine_result *result);

/* replica.c */

enum call_kind {
	CALL_FIRST,
	CALL_HEDGE,
	CALL_RETRY,
};

enum replica_choice {
	CHOICE_LEAF,
	/** It is better to wait for a replica that is at its limit. */
	CHOICE_WAIT,
	CHOICE_NONE,
};

/** Chooses a replica for a call. */
enum replica_choice replica_choose(struct engine *e,
				   const struct query_shard *s,
				   enum call_kind kind, obj_handle *leaf);
/** Returns whether the leaf's minimum latency still fits the deadline. */
bool replica_can_answer(struct engine *e, const struct query *q,
			obj_handle leaf);
/** Handles a drain notice; the source (reply or report) is logged. */
void replica_drain(struct engine *e, struct leaf *leaf, const char *source);
/** Updates the leaf and the budget from the result of a call. */
void replica_note_result(struct engine *e, const struct call *c,
			 const struct engine_result *result);
/** Raises the latency estimate of a leaf whose late call is cancelled. */
void replica_note_cancelled(struct engine *e, const struct call *c);
/**
 * Counts a late call as a failure if the leaf has not replied to any call since
 * it started.
 */
void replica_note_late(struct engine *e, struct call *c);
void replica_note_report(struct engine *e, struct leaf *leaf,
			 const struct leaf_report *report);

/* call.c */

/**
 * Starts a call to a replica of the shard. If all usable replicas are at their
 * limit, the shard waits; if no replica is usable, it is recorded as missing.
 */
void call_start(struct engine *e, struct query_shard *s, enum call_kind kind);
/**
 * Starts a call to the given replica. Records the shard as missing if the
 * replica cannot answer in time or the lease of the request key has ended.
 */
void call_start_on(struct engine *e, struct query_shard *s, enum call_kind kind,
		   obj_handle leaf);
/** Frees a call and its slot at the leaf, and starts a call that waits. */
void call_release(struct engine *e, struct call *c);
void call_cancel(struct engine *e, struct call *c);
/** Starts the calls that wait for a free replica of the shard. */
void call_start_waiting(struct engine *e, struct shard_state *state);
/** Returns whether the leaf may have run the request. */
bool call_may_have_run(const struct engine_result *result);
/** Returns whether the leaf refused because it lacks the call's snapshot. */
bool call_is_snapshot_refusal(const struct engine_result *result);

/* hedge.c */

/** Returns the time after which a call to the group is late; 0 if not known. */
int64_t hedge_delay(const struct query *q, obj_handle group);
/** Returns the time after which late shards may be omitted; 0 if not known. */
int64_t hedge_early_delay(const struct query *q);
/** Arms the timer after which the shard's call is late and may be hedged. */
void hedge_arm(struct engine *e, struct query_shard *s);

/* retry.c */

/** Returns the percentage of extra calls that the service may make. */
double retry_budget_percent(const struct query *q);
/** Retries a shard whose last call failed, or records it as missing. */
void retry_shard(struct engine *e, struct query_shard *s,
		 const struct engine_result *result);

/* request_key.c */

/** Returns whether the request may run at most once. */
bool request_is_non_idempotent(const struct engine *e,
			       const struct engine_request *r);
/**
 * Creates a query for a repeat of a known key, which waits for the run or gets
 * its outcome. Returns false if the key is not in the table.
 */
bool request_key_join(struct engine *e, const struct engine_request *r,
		      uint64_t *query_id);
/** Returns 0 if the key may run here, or a negative result code. */
int request_key_check(struct engine *e, const struct engine_request *r,
		      const struct query *q);
/** Returns whether the lease on the query's key range is valid now. */
bool request_key_has_lease(const struct engine *e, const struct query *q);
/**
 * Stores the outcome of a run in its key, or frees the key if the request was
 * not run. Then delivers the outcome to the queries that wait for the run and
 * releases them. Called by outcome_deliver(), which then releases q.
 */
void request_key_store_outcome(struct engine *e, struct query *q,
			       const struct engine_outcome *outcome);
/**
 * Removes a waiting query from the list of its key, because it is cancelled or
 * its deadline has passed. The caller then ends or releases the query.
 */
void request_key_remove_waiter(struct query *q);

/* outcome.c */

/**
 * Delivers the outcome of an ended query, stores it in the request key that the
 * query ran, if any, and releases the query. Called by engine_advance().
 */
void outcome_deliver(struct engine *e, struct query *q);

#endif
