#ifndef ENGINE_ADMISSION_H
#define ENGINE_ADMISSION_H

#include <stdbool.h>

#include <glib.h>

#include "engine/heap.h"
#include "objects/objects.h"

/** Queue and in-flight count of one admission class in a pool. */
struct admission_class {
	char *name;
	uint32_t worth;
	double floor_percent;
	struct heap queue;
	uint32_t in_flight;
	/**
	 * Exponential moving average of the time between two queries that leave
	 * the queue.
	 */
	int64_t interval_us;
	/**
	 * Time at which a query last left the queue to run, or the first query
	 * entered the empty queue.
	 */
	int64_t last_dequeue_us;
};

/**
 * Services that use the same shard groups share a pool, and with it one
 * concurrency limit.
 */
struct admission_pool {
	char *name;
	/** Adaptive concurrency limit: most queries in flight. */
	double limit;
	uint32_t in_flight;
	/** High-water mark of in_flight since the limit was last adapted. */
	uint32_t peak_in_flight;
	uint32_t queued;
	/** Exponential moving average of the median duration of a query. */
	int64_t duration_us;
	/** Classes, highest worth first. */
	GPtrArray *classes;
	/** Node in the engine's ready_pools. */
	struct heap_node ready;
};

struct engine;
struct query;

void admission_pool_init(struct admission_pool *p);
void admission_pool_clear(struct admission_pool *p);

/**
 * Starts or queues a query. Returns 0, or -ERR_OVERLOAD if the query could not
 * end by its deadline or the query table is full; wait_us is then the time
 * after which to retry.
 */
int admission_submit(struct engine *e, struct query *q, int64_t *wait_us);

/** Removes an ending query from its queue or from the queries in flight. */
void admission_remove_query(struct engine *e, struct query *q);

/**
 * Starts queued queries of one pool in ready_pools, up to its limit. Returns
 * whether there was such a pool.
 */
bool admission_run_next(struct engine *e);

#endif
