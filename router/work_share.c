#include "router/work_share.h"

#include "common/clock.h"

/* Minimum time over which the share is computed. */
#define WINDOW_US (200 * US_PER_MS)
/*
 * Above HIGH_SHARE, bursts build up a queue of work for the loop. LOW_SHARE
 * adds hysteresis, so that a host does not flap between both states.
 */
#define HIGH_SHARE 0.6
#define LOW_SHARE 0.4

void work_share_note(struct work_share *w, int64_t from_us, int64_t to_us)
{
	double share;

	w->work_us += to_us - from_us;
	if (to_us - w->since_us < WINDOW_US)
		return;
	share = (double)w->work_us / (double)(to_us - w->since_us);
	if (share > HIGH_SHARE)
		w->is_high = true;
	else if (share < LOW_SHARE)
		w->is_high = false;
	w->since_us = to_us;
	w->work_us = 0;
}

bool work_share_is_high(const struct work_share *w)
{
	return w->is_high;
}
