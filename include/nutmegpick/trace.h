#ifndef NUTMEGPICK_TRACE_H
#define NUTMEGPICK_TRACE_H

#include "bench/replay.h"

/** Outcomes that a line states of its requests, or of the whole run. */
struct trace_expect {
	int line;
	bool is_run;
	json_t *outcome;
};

/**
 * Reads a trace file (docs/traces.md); paths in it are relative to the current
 * folder. Prints the first fault and returns a negative result code.
 */
int trace_load(struct replay_trace *t, const char *path);
void trace_clear(struct replay_trace *t);

#endif
