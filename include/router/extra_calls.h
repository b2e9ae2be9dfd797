#ifndef ROUTER_EXTRA_CALLS_H
#define ROUTER_EXTRA_CALLS_H

#include <stdbool.h>
#include <stdint.h>

#define EXTRA_CALLS_BUCKETS 20

/**
 * Budget of extra calls to an upstream: calls after the first one of each
 * request, counted over a sliding window. Every host keeps to the ratio of its
 * own requests, so all hosts together keep to it without messages.
 */
struct extra_calls {
	/** Calls of each bucket, and their sums over the window. */
	uint32_t first[EXTRA_CALLS_BUCKETS];
	uint32_t extra[EXTRA_CALLS_BUCKETS];
	uint32_t first_sum;
	uint32_t extra_sum;
	/** Number of the newest bucket, counted from time 0 of the clock. */
	int64_t bucket;
};

/** Why an extra call is sent. */
enum extra_cause {
	/** The first call is late and may still be answered. */
	EXTRA_CAUSE_LATE,
	/** The first call has failed. */
	EXTRA_CAUSE_FAILED,
};

/** Counts the first call of a request. */
void extra_calls_note_first(struct extra_calls *e, int64_t now_us);

/**
 * Counts one extra call if the budget allows it; returns whether it does. The
 * allowance is the number of extra calls in the window that this host may make
 * in addition to the ratio.
 */
bool extra_calls_take(struct extra_calls *e, enum extra_cause cause,
		      double allowance, int64_t now_us);

/** Counts an extra call without a check of the budget. */
void extra_calls_charge(struct extra_calls *e, int64_t now_us);

#endif
