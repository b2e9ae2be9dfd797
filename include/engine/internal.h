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

/* Arguments are not evaluated when the event is disabled. */
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
	/** Queries whose outcome is to be delivered. */
	struct heap ended;
	/** Admission pools with room for queued queries. */
	struct heap ready_pools;
	struct key_table keys;
	struct budget budget;
	/** Advances when a leaf gains or loses a snapshot or starts to drain. */
	uint64_t snapshot_epoch;
	int64_t start_wall_us;
	/** Tenures by key range. */
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

/** The baseline policies run without limits, hedges and budgets. */
static inline bool query_has_limits(const struct query *q)
{
	return query_service(q)->policy == POLICY_NUTMEGPICK;
}

/* timer.c */

/** Arms or moves a timer. */
void timer_arm(struct engine *e, struct timer *t, int64_t at_us,
	       void (*fire)(struct engine *e, struct timer *t));
void timer_disarm(struct engine *e, struct timer *t);
/** Fires the timers that are due. */
void timer_run(struct engine *e);

/* query.c */

/** Takes a query slot for a request; the view may be NULL. */
struct query *query_create(struct engine *e, const struct engine_request *r,
			   struct set_view *view);
/** Fills in the shards that the query goes to. */
void query_add_shards(struct query *q, const char *key);
/** Starts the calls of an admitted query. */
void query_run(struct engine *e, struct query *q);
/** Starts all calls again on another snapshot. */
void query_restart(struct engine *e, struct query *q, uint64_t snapshot);
/** Ends a query; its outcome follows at the next engine_advance(). */
void query_end(struct engine *e, struct query *q, int code);
/** Returns whether the answer has the coverage that the service asks for. */
bool query_is_covered(const struct query *q);
/** Ends the query if no shard is pending, or if an early answer is due. */
void query_check_end(struct engine *e, struct query *q);
/** Releases the slot of a query whose outcome was delivered. */
void query_release(struct engine *e, struct query *q);
/** Records that a shard is missing from the answer, and why. */
void query_miss_shard(struct engine *e, struct query_shard *s, int reason);
/** Cancels all calls and timers of the query. */
void query_cancel_calls(struct engine *e, struct query *q);

/* snapshot.c */

/**
 * Returns the newest snapshot with the highest reachable weight over the
 * query's shards, or 0. Only snapshots newer than the given one count.
 */
uint64_t snapshot_choose(struct engine *e, const struct query *q,
			 uint64_t newer_than);

/** Takes a call that the leaf refused because its snapshot has changed. */
void snapshot_handle_gone(struct engine *e, struct query_shard *s,
			  const struct engine_result *result);

/* replica.c */

enum call_kind {
	CALL_FIRST,
	CALL_HEDGE,
	CALL_RETRY,
};

enum choice {
	CHOICE_LEAF,
	/** All usable replicas are at the limit of their shares. */
	CHOICE_WAIT,
	CHOICE_NONE,
};

/** Chooses a replica for a call. */
enum choice replica_choose(struct engine *e, const struct query_shard *s,
			   enum call_kind kind, obj_handle *leaf);
/** Returns whether the leaf's fastest answer would still be in time. */
bool replica_can_answer(struct engine *e, const struct query *q,
			obj_handle leaf);
/** Takes a drain notice. */
void replica_drain(struct engine *e, struct leaf *leaf, const char *source);
/** Takes the end of a call that is still in the table. */
void replica_note_result(struct engine *e, const struct call *c,
			 const struct engine_result *result);
/** Takes a late call that is cancelled. */
void replica_note_lost(struct engine *e, const struct call *c);
/** Takes a call that is open for longer than usual. */
void replica_note_late(struct engine *e, struct call *c);
void replica_note_report(struct engine *e, struct leaf *leaf,
			 const struct leaf_report *report);

/* call.c */

/**
 * Starts a call to a replica of the shard. Without a free share it waits for
 * one; without a replica the shard is recorded as missing.
 */
void call_start(struct engine *e, struct query_shard *s, enum call_kind kind);
/** Starts a call to the given replica, if it can still answer in time. */
void call_start_on(struct engine *e, struct query_shard *s, enum call_kind kind,
		   obj_handle leaf);
/** Takes a call out of the table and off its leaf. */
void call_release(struct engine *e, struct call *c);
void call_cancel(struct engine *e, struct call *c);
/** Starts calls that wait for a replica of the shard. */
void call_serve_waiting(struct engine *e, struct shard_slot *slot);
/** Returns whether the leaf may have run the request. */
bool call_may_have_run(const struct engine_result *result);
/** Returns whether the leaf no longer serves the snapshot that was named. */
bool call_is_snapshot_refusal(const struct engine_result *result);

/* hedge.c */

/** Returns the time after which a call to the group is late; 0: not known. */
int64_t hedge_delay(const struct query *q, obj_handle group);
/** Returns the time after which late shards may be left out; 0: not known. */
int64_t hedge_early_delay(const struct query *q);
/** Arms the timer that hedges the shard's call. */
void hedge_arm(struct engine *e, struct query_shard *s);

/* retry.c */

/** Returns the service's extra calls in percent of needed calls. */
double retry_budget_percent(const struct query *q);
/** Retries a shard whose call failed, or records the shard as missing. */
void retry_shard(struct engine *e, struct query_shard *s,
		 const struct engine_result *result);

/* request_key.c */

/** Returns whether the request may run at most once. */
bool request_is_non_idempotent(const struct engine *e,
			       const struct engine_request *r);
/** Answers a request whose key is known; returns false if it is not known. */
bool request_key_join(struct engine *e, const struct engine_request *r,
		      uint64_t *query_id);
/** Returns 0 if the key may run, or the negative result code of a refusal. */
int request_key_check(struct engine *e, const struct engine_request *r,
		      const struct query *q);
/** Returns whether the key leases of the query's groups are valid now. */
bool request_key_has_lease(const struct engine *e, const struct query *q);
/** Settles the key of a run and answers the requests that wait for it. */
void request_key_settle(struct engine *e, struct query *q,
			const struct engine_outcome *outcome);
/** Takes a waiting query off its key. */
void request_key_leave(struct query *q);

/* outcome.c */

/** Delivers the outcome of an ended query and releases it. */
void outcome_deliver(struct engine *e, struct query *q);

#endif
