#ifndef ROUTER_WORK_SHARE_H
#define ROUTER_WORK_SHARE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Share of time that a thread spends working. A host whose router thread works
 * most of the time refuses to gather for others. The number of requests is no
 * measure of this load, since the processor may be throttled.
 */
struct work_share {
	int64_t since_us;
	int64_t work_us;
	bool is_high;
};

/** Adds the time that one iteration of the thread's loop spent working. */
void work_share_note(struct work_share *w, int64_t from_us, int64_t to_us);

/** Returns whether the thread is too busy for more work. */
bool work_share_is_high(const struct work_share *w);

#endif
