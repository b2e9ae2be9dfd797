#ifndef NUTMEGPICK_TRACE_H
#define NUTMEGPICK_TRACE_H

#include "bench/replay.h"

/** Outcomes that a trace line expects of its requests or of the whole run. */
struct trace_expectation {
	int line;
	bool is_run;
	json_t *outcome;
};

/**
 * Reads a trace file (docs/traces.md). Paths in the file are relative to the
 * working directory. If the file has a fault, prints the first one and returns
 * a negative result code.
 */
int trace_load(struct replay_trace *t, const char *path);
void trace_clear(struct replay_trace *t);

#endif
