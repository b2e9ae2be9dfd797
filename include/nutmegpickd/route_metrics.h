#ifndef NUTMEGPICKD_ROUTE_METRICS_H
#define NUTMEGPICKD_ROUTE_METRICS_H

#include <stdint.h>

/** Counts an answered request: its route ("" if none), status and time. */
void route_metrics_note_answer(const char *route, unsigned int status,
			       int64_t us);

/**
 * Returns all counters and histograms in the Prometheus text format; free with
 * g_free().
 */
char *route_metrics_render(void);

#endif
