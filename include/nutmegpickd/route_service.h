#ifndef NUTMEGPICKD_ROUTE_SERVICE_H
#define NUTMEGPICKD_ROUTE_SERVICE_H

#include "common/clock.h"
#include "nutmegpickd/settings.h"

/** Serves the routes of the platform's store between callers and leaves. */
struct route_service;

/** Starts all threads. Returns 0 or a negative result code. */
int route_service_start(struct route_service **out,
			const struct settings *settings, struct np_clock clock);

/**
 * Applies the settings that may change while the process runs: the budget of
 * extra calls, drain_delay and stop_timeout.
 */
void route_service_reload(struct route_service *s,
			  const struct settings *settings);

/**
 * Stops in order: turns the readiness check negative, closes the listening
 * sockets after drain_delay and waits up to stop_timeout for the requests in
 * flight.
 */
void route_service_stop(struct route_service *s);

#endif
