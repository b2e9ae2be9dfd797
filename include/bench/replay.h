#ifndef BENCH_REPLAY_H
#define BENCH_REPLAY_H

#include <glib.h>
#include <jansson.h>

#include "engine/engine.h"

/** Kinds of faults; docs/traces.md defines target and value for each. */
enum fault_kind {
	FAULT_LEAF_SLOW,
	FAULT_LEAF_DRAIN,
	FAULT_DOMAIN_DOWN,
	FAULT_HOST_DOWN,
	FAULT_HOST_PAUSE,
	FAULT_SNAPSHOT,
	FAULT_LOSS,
	FAULT_JITTER,
	FAULT_RESET,
	FAULT_CROSSED,
	FAULT_LATE,
	FAULT_DUPLICATE,
	FAULT_STALE,
	FAULT_INVERTED,
	FAULT_KINDS
};

struct replay_fault {
	enum fault_kind kind;
	/** Index of the leaf, domain or host, depending on the kind. */
	uint32_t target;
	double value;
	int64_t start_us, end_us;
	bool is_active;
};

/** One request of a caller and its outcome. */
struct replay_request {
	/** Number of the trace line. */
	int line;
	int64_t at_us, deadline_us;
	/** Creation time of the request key, as sent by the caller. */
	int64_t created_us;
	obj_handle service, class;
	/** Entry host of the first attempt. */
	uint32_t host;
	char key[ENGINE_ID_MAX];
	/** 0 or the negative code of the last answer. */
	int code;
	enum run_state run;
	double coverage;
	int64_t latency_us;
	uint32_t attempts;
	/** First calls to each shard, and all other calls. */
	uint32_t needed_calls, extra_calls;
	/** Number of times that leaves began to run the request. */
	uint32_t runs;
};

/** Counts made by the simulated leaves and hosts, not taken from the engine. */
struct replay_counts {
	/**
	 * Highest ratio of requests at a leaf to its slots, and of open
	 * connections of a leaf to its connection limit.
	 */
	double slot_peak, connection_peak;
#define COUNT(name) int name;
#include "bench/counts.def"
#undef COUNT
};

struct replay_trace {
	struct object_set *set;
	uint64_t seed;
	double service_us;
	int64_t region_delay_us, caller_delay_us;
	/** Elements are struct replay_request and struct replay_fault. */
	GArray *requests, *faults;
	/** Elements are struct trace_expectation; replay_run() ignores them. */
	GArray *expectations;
	json_t *setup;
};

/** Runs the trace under a virtual clock and sets the requests' outcomes. */
void replay_run(struct replay_trace *t, struct replay_counts *counts);

#endif
