#ifndef TEST_UNIT_FAKE_UPSTREAM_H
#define TEST_UNIT_FAKE_UPSTREAM_H

#include <glib.h>

#include "engine/engine.h"
#include "engine/heap.h"

#define FAKE_CALLS_MAX 65536
#define FAKE_ENDS_MAX 8192
#define FAKE_LEAVES_MAX 96
#define FAKE_SLOTS 4

/** A call that the engine started. */
struct fake_call {
	struct engine_call call;
	bool is_cancelled;
	bool is_answered;
	struct heap_node done;
};

/** Poisson stream of requests and what became of them. */
struct fake_load {
	const char *service;
	double per_second;
	int64_t deadline_us;
	uint32_t sent;
	uint32_t in_time;
	/** Refused, failed or late. */
	uint32_t failed;
	/** Complete answers, and the durations of all answers. */
	uint32_t complete;
	uint32_t answered;
	uint32_t needed;
	uint32_t extra;
	int64_t durations[FAKE_CALLS_MAX];
	int64_t next_us;
};

/** Leaf with FAKE_SLOTS servers. */
struct fake_leaf {
	int64_t free_at_us[FAKE_SLOTS];
	/** Factor on the service time; negative: never answers. */
	double slowness;
	/** Status of its replies; CALL_OK at start. */
	enum call_status status;
	bool is_draining;
	uint32_t outstanding;
	uint32_t max_outstanding;
	uint32_t calls;
};

/** An outcome that the engine delivered. */
struct fake_end {
	uint64_t query_id;
	struct engine_outcome outcome;
	int first_gap;
};

/** Records the engine's actions under a virtual clock. */
struct fake {
	struct engine *engine;
	struct object_set *set;
	struct virtual_clock clock;
	struct fake_call calls[FAKE_CALLS_MAX];
	uint32_t call_count;
	struct fake_end ends[FAKE_ENDS_MAX];
	uint32_t end_count;
	uint32_t resets;
	uint32_t forgotten;
	/** Result code and advice of the last submit. */
	int code;
	int64_t retry_after_us;
	/** Leaves answer by themselves during fake_run(). */
	struct fake_leaf leaves[FAKE_LEAVES_MAX];
	int64_t service_us;
	int64_t network_us;
	struct heap done;
	uint32_t index_by_slot[FAKE_CALLS_MAX];
	GRand *random;
	bool is_serving;
};

/**
 * Creates an engine on a set with one group of shards with three replicas each
 * and the services "search" and "book", and puts snapshot 1 on every leaf.
 * The fields are added to [service.search].
 */
struct fake *fake_create(uint32_t shards, const char *fields);
void fake_destroy(struct fake *f);

/** Submits a request; returns its query id, or 0 with the code in f->code. */
uint64_t fake_submit(struct fake *f, const char *service, int64_t deadline_us);

/** Submits a request to "book" with a key made age_us before now. */
uint64_t fake_book(struct fake *f, const char *key, int64_t age_us);

/** Moves the clock and runs the engine's timers in order. */
void fake_advance(struct fake *f, int64_t us);

/** Gives the engine the end of a call. */
bool fake_reply(struct fake *f, uint32_t call, enum call_status status);

/** Reports a leaf's state and a single snapshot. */
void fake_report(struct fake *f, obj_handle leaf, enum leaf_state state,
		 uint64_t snapshot);

/**
 * Runs loads against the leaves for a time. Counters are added to; durations
 * hold the answers of the last run, sorted.
 */
void fake_run(struct fake *f, struct fake_load *loads, int count,
	      int64_t duration_us);

/** Returns a quantile of a load's last durations. */
int64_t fake_quantile(const struct fake_load *load, double quantile);

/** Returns the last outcome delivered. */
const struct fake_end *fake_last(const struct fake *f);

#endif
