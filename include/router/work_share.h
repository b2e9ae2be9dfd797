#ifndef ROUTER_WORK_SHARE_H
#define ROUTER_WORK_SHARE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Share of the time in which a thread is at work. A host whose router is mostly
 * at work takes no gathers for others; its processor may have been slowed, so
 * the count of requests says little.
 */
struct work_share {
	int64_t since_us;
	int64_t work_us;
	bool is_high;
};

/** Takes one turn of the thread's loop: at work from one time to another. */
void work_share_note(struct work_share *w, int64_t from_us, int64_t to_us);

/** Returns whether the thread has little time left for more work. */
bool work_share_is_high(const struct work_share *w);

#endif
