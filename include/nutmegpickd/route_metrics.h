#ifndef NUTMEGPICKD_ROUTE_METRICS_H
#define NUTMEGPICKD_ROUTE_METRICS_H

#include <stdint.h>

#include "router/router.h"

/** Counts an answer by its route ("" if none), status and duration. */
void route_metrics_note_answer(const char *route, unsigned int status,
			       int64_t us);

/**
 * Sets the metrics of a leaf that names a rate limit, and counts its calls
 * since the last report; drops them once the leaf has no limit.
 */
void route_metrics_note_leaf_rate(const struct leaf_rate_report *report);

/** Returns all metrics as Prometheus text; free with g_free(). */
char *route_metrics_render(void);

#endif
