#ifndef ENGINE_ADMISSION_H
#define ENGINE_ADMISSION_H

#include <stdbool.h>

#include <glib.h>

#include "engine/heap.h"
#include "objects/objects.h"

/** Queue of one admission class in a pool. */
struct admission_class {
	char *name;
	uint32_t worth;
	double floor_percent;
	struct heap queue;
	uint32_t in_flight;
	/** Smoothed time between two queries that left the queue. */
	int64_t interval_us;
	int64_t last_left_us;
};

/** Services that compete for the same shard groups, and their limit. */
struct admission_pool {
	char *name;
	/** Adaptive limit of queries in flight. */
	double limit;
	uint32_t in_flight;
	/** Most in flight since the limit was last adapted. */
	uint32_t peak_in_flight;
	uint32_t queued;
	/** Smoothed duration of a query. */
	int64_t service_us;
	/** Classes, highest worth first. */
	GPtrArray *classes;
	/** Place among the pools with room for queued queries. */
	struct heap_node ready;
};

struct engine;
struct query;

void admission_pool_init(struct admission_pool *p);
void admission_pool_clear(struct admission_pool *p);

/**
 * Starts or queues a query. Returns 0, or -ERR_OVERLOAD with the expected wait
 * if it could not end in time.
 */
int admission_submit(struct engine *e, struct query *q, int64_t *wait_us);

/** Takes the end of a query that was in flight or queued. */
void admission_leave(struct engine *e, struct query *q);

/** Starts queued queries of one pool that has room; returns if there was one. */
bool admission_run_next(struct engine *e);

#endif
