#ifndef TEST_UNIT_FAKE_UPSTREAM_H
#define TEST_UNIT_FAKE_UPSTREAM_H

#include "engine/engine.h"

#define FAKE_CALLS_MAX 65536
#define FAKE_ENDS_MAX 8192

/** A call that the engine started. */
struct fake_call {
	struct engine_call call;
	bool is_cancelled;
	bool is_answered;
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

/** Returns the last outcome delivered. */
const struct fake_end *fake_last(const struct fake *f);

#endif
