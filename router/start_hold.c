#include "router/start_hold.h"

#include "common/clock.h"

/*
 * Longest wait from the start of the host. Hosts with an eighth of a core
 * mostly need half of it to get the first routes. The shortest deadline of a
 * caller is 600 ms.
 */
#define HOLD_US (400 * US_PER_MS)

void start_hold_init(struct start_hold *h, int64_t now_us)
{
	*h = (struct start_hold){ .until_us = now_us + HOLD_US };
}

void start_hold_note_lost(struct start_hold *h)
{
	h->is_store_lost = true;
}

void start_hold_note_stop(struct start_hold *h)
{
	h->is_stopping = true;
}

bool start_hold_is_open(const struct start_hold *h, bool has_routes,
			int64_t now_us)
{
	return !has_routes && !h->is_store_lost && !h->is_stopping &&
	       now_us < h->until_us;
}
