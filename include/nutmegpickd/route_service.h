#ifndef NUTMEGPICKD_ROUTE_SERVICE_H
#define NUTMEGPICKD_ROUTE_SERVICE_H

#include "common/clock.h"
#include "nutmegpickd/settings.h"

/** Serves the operator's routes: callers on one side, leaves on the other. */
struct route_service;

/** Starts all threads. Returns 0 or a negative result code. */
int route_service_start(struct route_service **out,
			const struct settings *settings, struct np_clock clock);

/**
 * Takes the settings that may change while the process runs: the budget of
 * extra calls and the times of a stop.
 */
void route_service_reload(struct route_service *s,
			  const struct settings *settings);

/**
 * Stops in order: readiness first, then new connections, then the requests in
 * flight, within the times of the settings.
 */
void route_service_stop(struct route_service *s);

#endif
