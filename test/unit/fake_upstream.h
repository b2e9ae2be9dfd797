#ifndef TEST_UNIT_FAKE_UPSTREAM_H
#define TEST_UNIT_FAKE_UPSTREAM_H

#include <glib.h>

#include "engine/engine.h"
#include "engine/heap.h"

#define FAKE_ENGINE_CALLS_MAX 65536
#define FAKE_ENGINE_ENDS_MAX 8192
#define FAKE_LEAVES_MAX 96
#define FAKE_SLOTS 4

/** A call that the engine started. */
struct fake_engine_call {
	struct engine_call call;
	bool is_cancelled;
	bool is_answered;
	struct heap_node end_node;
};

/** Poisson stream of requests, with counts of their outcomes. */
struct fake_load {
	const char *service;
	double per_second;
	int64_t deadline_us;
	uint32_t sent;
	uint32_t in_time;
	/** Refused, failed or late. */
	uint32_t failed;
	/** Answered with all shards. */
	uint32_t complete;
	/** Answers in the last run. */
	uint32_t answered;
	/** Needed and extra calls of the finished requests. */
	uint32_t needed_calls;
	uint32_t extra_calls;
	/** Durations of the answers in the last run. */
	int64_t durations_us[FAKE_ENGINE_CALLS_MAX];
	/** Time of the next request. */
	int64_t next_us;
};

/** Leaf that runs FAKE_SLOTS calls at a time. */
struct fake_leaf {
	/** Time at which each slot becomes free. */
	int64_t free_at_us[FAKE_SLOTS];
	/** Factor on the service time; negative: calls are never answered. */
	double service_factor;
	/** Status of the leaf's replies; CALL_OK by default. */
	enum call_status status;
	bool is_draining;
	uint32_t outstanding;
	uint32_t max_outstanding;
	uint32_t calls;
};

/** Outcome that the engine delivered. */
struct fake_engine_end {
	uint64_t query_id;
	struct engine_outcome outcome;
	/** Reason of the first gap; 0 if there is none. */
	int first_gap;
};

/** Engine under a virtual clock, with a record of its actions. */
struct fake_engine {
	struct engine *engine;
	struct object_set *set;
	struct virtual_clock clock;
	struct fake_engine_call calls[FAKE_ENGINE_CALLS_MAX];
	uint32_t call_count;
	struct fake_engine_end ends[FAKE_ENGINE_ENDS_MAX];
	uint32_t end_count;
	uint32_t reset_count;
	uint32_t expired_count;
	/** Result code and Retry-After of the last submit. */
	int code;
	int64_t retry_after_us;
	/** Leaves that answer calls during fake_engine_run_loads(). */
	struct fake_leaf leaves[FAKE_LEAVES_MAX];
	int64_t service_us;
	int64_t network_us;
	/** Calls that the leaves are serving, by the time of their end. */
	struct heap call_ends;
	uint32_t index_by_slot[FAKE_ENGINE_CALLS_MAX];
	GRand *random;
	bool is_serving;
};

/**
 * Creates an engine with the services "search" and "book" on one group of
 * shards. Each shard has three replicas, and each leaf has snapshot 1. The
 * fields are added to [service.search].
 */
struct fake_engine *fake_engine_create(uint32_t shards, const char *fields);
void fake_engine_destroy(struct fake_engine *f);

/** Submits a request. Returns its query id, or 0 and sets f->code. */
uint64_t fake_engine_submit(struct fake_engine *f, const char *service,
			    int64_t deadline_us);

/** Submits a request to "book" with a key created age_us ago. */
uint64_t fake_engine_book(struct fake_engine *f, const char *key,
			  int64_t age_us);

/** Advances the clock and runs the engine's timers in order. */
void fake_engine_advance(struct fake_engine *f, int64_t us);

/** Passes the result of a call to the engine; returns what it returns. */
bool fake_engine_end_call(struct fake_engine *f, uint32_t call,
			  enum call_status status);

/** Reports a leaf's state, and one snapshot, to the engine. */
void fake_engine_report_leaf(struct fake_engine *f, obj_handle leaf,
			     enum leaf_state state, uint64_t snapshot);

/**
 * Runs loads against the leaves for a time. The counts include earlier runs,
 * but answered and durations_us (sorted) are of this run only.
 */
void fake_engine_run_loads(struct fake_engine *f, struct fake_load *loads,
			   int count, int64_t duration_us);

/** Returns a quantile of the durations in a load's last run. */
int64_t fake_load_duration_quantile(const struct fake_load *load,
				    double quantile);

/** Returns the last outcome, or an empty one if there is none. */
const struct fake_engine_end *fake_engine_last_end(const struct fake_engine *f);

#endif
