#ifndef ENGINE_QUERY_H
#define ENGINE_QUERY_H

#include "engine/engine.h"
#include "engine/heap.h"
#include "engine/key_table.h"
#include "engine/view.h"

/** Most calls in flight to one shard of a query: the first and a hedge. */
#define SHARD_CALLS_MAX 2

/** Most replicas recorded as tried; later calls prefer other replicas. */
#define SHARD_TRIED_MAX 4

/** Timer in the engine's heap. */
struct timer {
	struct heap_node node;
	void (*fire)(struct engine *e, struct timer *t);
};

enum shard_phase {
	SHARD_PENDING,
	SHARD_ANSWERED,
	SHARD_MISSING,
};

/** Part of a query that one shard answers. */
struct query_shard {
	struct query *query;
	obj_handle shard;
	enum shard_phase phase;
	/** Positive result code of a missing shard. */
	int reason;
	struct call *calls[SHARD_CALLS_MAX];
	uint32_t call_count;
	uint32_t attempts;
	const struct leaf *tried[SHARD_TRIED_MAX];
	uint32_t tried_count;
	/** Hedge timer while a call is in flight, otherwise retry backoff. */
	struct timer timer;
	/** Last backoff while the budget had no token for a retry. */
	int64_t token_backoff_us;
	/** Node in shard_state.waiting, while the shard waits for a replica. */
	struct heap_node waiting;
	/** The call that waits is a retry. */
	bool is_waiting_retry;
};

enum query_phase {
	QUERY_FREE,
	/** Waits until another query has run its request key. */
	QUERY_WAITS_KEY,
	/** Waits for admission. */
	QUERY_QUEUED,
	QUERY_RUNNING,
	/** query_end() was called; engine_advance() delivers the outcome. */
	QUERY_ENDED,
};

struct query {
	uint64_t id;
	uint32_t key_range;
	enum query_phase phase;
	struct set_view *view;
	obj_handle service;
	char request_id[ENGINE_ID_MAX];
	obj_handle class_handle;
	struct admission_pool *pool;
	struct admission_class *class;
	/** Node in admission_class.queue. */
	struct heap_node queued;
	int64_t start_us;
	/** Time at which the query started to run. */
	int64_t admitted_us;
	/**
	 * Time at which the query ends: the deadline less the answer margin.
	 */
	int64_t deadline_us;
	int64_t retry_after_us;
	uint64_t snapshot;
	uint32_t restarts;
	struct query_shard *shards;
	uint32_t shard_count;
	/** Shards of a running query in phase SHARD_PENDING. */
	uint32_t pending_count;
	uint64_t weight;
	uint64_t total_weight;
	/** Hedges, retries and calls repeated by a restart. */
	uint32_t extra_calls;
	/** From this time on, the query ends as soon as it is covered. */
	int64_t early_us;
	/** Negative result code of a query that failed as a whole, or 0. */
	int code;
	bool is_non_idempotent;
	/** A leaf may have run the request. */
	bool may_have_run;
	/**
	 * engine_cancel() was called, but the query runs a request key: the run
	 * continues, and its outcome is delivered as usual.
	 */
	bool is_detached;
	struct key_entry *key;
	struct query *next_waiter;
	/** Query id of the run whose outcome this query gets; 0 if none. */
	uint64_t duplicate_of;
	struct timer timer;
	/** Node in engine.ended, from query_end() to query_release(). */
	struct heap_node ended;
	void *user;
};

/** One leaf call in flight. */
struct call {
	uint64_t id;
	struct query_shard *shard;
	struct leaf *leaf;
	obj_handle leaf_handle;
	int64_t start_us;
	bool is_hedge;
	bool is_retry;
	/** The hedge timer has fired for this call. */
	bool is_late;
};

/**
 * Table of items by id. The low half of an id is the slot, the high half a
 * generation, so that the id of a released item finds nothing.
 */
struct id_table {
	void **items;
	uint32_t capacity;
	uint32_t *free_slots;
	uint32_t free_count;
	uint32_t count;
	size_t item_size;
	uint32_t generation;
};

void id_table_init(struct id_table *t, size_t item_size);
void id_table_clear(struct id_table *t);

/**
 * Allocates an item. It begins with its uint64_t id, which repeats only after
 * 2^31 - 1 allocations; the rest of the item keeps the bytes of its last use.
 */
void *id_table_take(struct id_table *t);

/** Returns the item of an id, or NULL if it was released. */
void *id_table_find(const struct id_table *t, uint64_t id);

/** Releases an item and invalidates its id. */
void id_table_release(struct id_table *t, void *item);

#endif
