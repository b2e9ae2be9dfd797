#ifndef NUTMEGPICKD_METRICS_H
#define NUTMEGPICKD_METRICS_H

#include <stdint.h>

#include "engine/engine.h"

/** Counts a leaf call as first call, hedge or retry. */
void metrics_count_call(const struct engine_call *call);

/** Counts an answered query and its duration. */
void metrics_count_answer(int64_t total_us);

/** Counts a refusal by its result code, which may have either sign. */
void metrics_count_refusal(int code, enum run_state run);

/** Returns all metrics as Prometheus text; free with g_free(). */
char *metrics_render(void);

#endif
