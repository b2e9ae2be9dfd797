#ifndef ROUTER_START_HOLD_H
#define ROUTER_START_HOLD_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Decides whether a request that arrives before the first routes waits for
 * them. A host usually has its routes a tenth of a second after its start. If
 * the request were refused, its caller would use up one of its few attempts.
 */
struct start_hold {
	int64_t until_us;
	bool is_store_lost;
	bool is_stopping;
};

void start_hold_init(struct start_hold *h, int64_t now_us);

/** Notes that the store failed: the routes can take seconds to arrive. */
void start_hold_note_lost(struct start_hold *h);

/** Notes that the host stops: it ends before routes would be of use. */
void start_hold_note_stop(struct start_hold *h);

/** Returns whether a request that arrives now may wait for routes. */
bool start_hold_is_open(const struct start_hold *h, bool has_routes,
			int64_t now_us);

#endif
