#include "router/extra_calls.h"

#include <string.h>

/* 20 buckets cover 10 s, the window over which the platform counts. */
#define BUCKET_US 500000
/* The platform permits 0.2; the rest covers hosts that stop in the window. */
#define EXTRA_RATIO 0.18
/*
 * Ratio up to which hedges of late calls are sent. The rest is kept for failed
 * calls: they give no reply without a second call, while a late one still may.
 */
#define LATE_RATIO 0.14

static void advance_buckets(struct extra_calls *e, int64_t now_us)
{
	int64_t bucket = now_us / BUCKET_US;

	if (bucket - e->bucket >= EXTRA_CALLS_BUCKETS) {
		memset(e, 0, sizeof(*e));
		e->bucket = bucket;
		return;
	}
	while (e->bucket < bucket) {
		uint32_t i = (uint32_t)(++e->bucket % EXTRA_CALLS_BUCKETS);

		e->first_sum -= e->first[i];
		e->extra_sum -= e->extra[i];
		e->first[i] = 0;
		e->extra[i] = 0;
	}
}

void extra_calls_note_first(struct extra_calls *e, int64_t now_us)
{
	advance_buckets(e, now_us);
	e->first[e->bucket % EXTRA_CALLS_BUCKETS]++;
	e->first_sum++;
}

void extra_calls_charge(struct extra_calls *e, int64_t now_us)
{
	advance_buckets(e, now_us);
	e->extra[e->bucket % EXTRA_CALLS_BUCKETS]++;
	e->extra_sum++;
}

bool extra_calls_take(struct extra_calls *e, enum extra_cause cause,
		      double allowance, int64_t now_us)
{
	double ratio = cause == EXTRA_CAUSE_LATE ? LATE_RATIO : EXTRA_RATIO;

	advance_buckets(e, now_us);
	if (e->extra_sum + 1 > ratio * e->first_sum + allowance)
		return false;
	extra_calls_charge(e, now_us);
	return true;
}
