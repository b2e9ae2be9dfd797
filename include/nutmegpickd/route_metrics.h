#ifndef NUTMEGPICKD_ROUTE_METRICS_H
#define NUTMEGPICKD_ROUTE_METRICS_H

#include <stdint.h>

/** Counts an answer by its route ("" if none), status and duration. */
void route_metrics_note_answer(const char *route, unsigned int status,
			       int64_t us);

/** Returns all metrics as Prometheus text; free with g_free(). */
char *route_metrics_render(void);

#endif
