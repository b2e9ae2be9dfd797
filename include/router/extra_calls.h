#ifndef ROUTER_EXTRA_CALLS_H
#define ROUTER_EXTRA_CALLS_H

#include <stdbool.h>
#include <stdint.h>

#define EXTRA_CALLS_BUCKETS 20

/**
 * Budget of calls to an upstream beyond the first of each request, over a
 * sliding window. Every host keeps to the ratio of its own requests, so the sum
 * over hosts keeps to it without messages between them.
 */
struct extra_calls {
	uint32_t first[EXTRA_CALLS_BUCKETS];
	uint32_t extra[EXTRA_CALLS_BUCKETS];
	uint32_t first_sum;
	uint32_t extra_sum;
	/** Number of the newest bucket since the start of the clock. */
	int64_t bucket;
};

/** Why a call beyond the first is sent. */
enum extra_cause {
	/** The first call is late and may still be answered. */
	EXTRA_LATE,
	/** The first call has failed. */
	EXTRA_FAILED,
};

/** Counts the first call of a request. */
void extra_calls_note_first(struct extra_calls *e, int64_t now_us);

/**
 * Counts one extra call if the budget allows it; returns whether it does. The
 * allowance is this host's part of the calls that need no requests.
 */
bool extra_calls_take(struct extra_calls *e, enum extra_cause cause,
		      double allowance, int64_t now_us);

/** Counts an extra call that is sent in any case. */
void extra_calls_charge(struct extra_calls *e, int64_t now_us);

#endif
