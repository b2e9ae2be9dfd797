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

/**
 * Sets the version of the routes in force, and the time since this host last
 * heard from the store or from its feed; negative if it never has.
 */
void route_metrics_note_routes(uint64_t version, int64_t news_age_us);

/** Sets the metrics of the limits on places. */
void route_metrics_note_places(const struct router_place_counts *c);

/** Returns all metrics as Prometheus text; free with g_free(). */
char *route_metrics_render(void);

#endif
