#ifndef NUTMEGPICKD_METRICS_H
#define NUTMEGPICKD_METRICS_H

#include <stdint.h>

#include "engine/engine.h"

/** Counts a leaf call by its cause. */
void metrics_call(const struct engine_call *call);

/** Counts a query that was answered, and its duration. */
void metrics_answer(int64_t total_us);

/** Counts a refusal; code has either sign. */
void metrics_refusal(int code, enum run_state run);

/** Returns all metrics as Prometheus text; free with g_free(). */
char *metrics_render(void);

#endif
