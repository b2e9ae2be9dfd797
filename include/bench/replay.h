#ifndef BENCH_REPLAY_H
#define BENCH_REPLAY_H

#include <glib.h>
#include <jansson.h>

#include "engine/engine.h"

/** Kinds of faults; docs/traces.md states what target and value mean. */
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
	/** Leaf, domain or host. */
	uint32_t target;
	double value;
	int64_t start_us, end_us;
	bool is_on;
};

/** One request of a caller and what became of it. */
struct replay_request {
	/** Number of the trace line. */
	int line;
	int64_t at_us, deadline_us;
	/** Time that the caller states for the key. */
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
	uint32_t needed, extra;
	/** Times that leaves began to run the request. */
	uint32_t runs;
};

/** What the fakes count, independent of the engine's own figures. */
struct replay_counts {
	/** Most requests at a leaf per slot, and connections per limit. */
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
	/** struct replay_request by arrival, and struct replay_fault. */
	GArray *requests, *faults;
	/** Struct trace_expect, of the file's reader. */
	GArray *expects;
	json_t *setup;
};

/** Runs the trace under a virtual clock; fills in the requests' outcomes. */
void replay_run(struct replay_trace *t, struct replay_counts *counts);

#endif
