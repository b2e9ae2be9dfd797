#ifndef ENGINE_QUERY_H
#define ENGINE_QUERY_H

#include "engine/engine.h"
#include "engine/heap.h"
#include "engine/key_table.h"
#include "engine/view.h"

/** Most calls in flight to one shard of a query: the first and a hedge. */
#define SHARD_CALLS_MAX 2

/** Replicas remembered as tried, so that another one is chosen. */
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
	/** Hedge while a call is open, else back-off before a retry. */
	struct timer timer;
	int64_t token_wait_us;
	/** Place among those that wait for a free share of a replica. */
	struct heap_node waiting;
	bool is_waiting_retry;
};

enum query_phase {
	QUERY_FREE,
	/** Waits for the run of its request key by another query. */
	QUERY_WAITS_KEY,
	/** Waits for admission. */
	QUERY_QUEUED,
	QUERY_RUNNING,
	/** Its outcome is delivered at the next engine_advance(). */
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
	struct heap_node queued;
	int64_t start_us;
	/** Time at which the query left the admission queue. */
	int64_t admitted_us;
	int64_t deadline_us;
	int64_t retry_after_us;
	uint64_t snapshot;
	uint32_t restarts;
	struct query_shard *shards;
	uint32_t shard_count;
	uint32_t pending;
	uint64_t weight;
	uint64_t total_weight;
	/** Hedges, retries and calls repeated by a restart. */
	uint32_t extra_calls;
	/** After this time the query ends as soon as coverage suffices. */
	int64_t early_us;
	/** Negative result code of a query that ended without its shards. */
	int code;
	bool is_non_idempotent;
	/** A leaf may have received bytes of the request. */
	bool may_have_run;
	/** The caller has left; the run goes on for its request key. */
	bool is_detached;
	struct key_entry *key;
	struct query *next_waiter;
	/** Earlier run that answers this query; 0 if there is none. */
	uint64_t duplicate_of;
	struct timer timer;
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
	/** The hedge timer has fired. */
	bool is_late;
};

/** Table of queries, or of calls, by id. */
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
 * Takes a slot. The item begins with its uint64_t id, which is unique over the
 * life of the table; the rest keeps what its last user left.
 */
void *id_table_take(struct id_table *t);

/** Returns the item of an id, or NULL if it was released. */
void *id_table_find(const struct id_table *t, uint64_t id);

/** Releases an item; its id finds nothing from now on. */
void id_table_release(struct id_table *t, void *item);

#endif
