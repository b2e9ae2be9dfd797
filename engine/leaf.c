#include "engine/leaf.h"

#include <glib.h>
#include <string.h>

#define LATENCY_SMOOTHING 0.2

/*
 * The duration of a call that is cancelled because its hedge was answered is
 * only known to be longer than the time until then. Without this factor, the
 * estimate for a leaf that is 10 times slower would be only 2.5 times higher.
 */
#define CANCELLED_FACTOR 1.3
/*
 * Cancelled and failed calls raise the latency estimate to at most this
 * multiple of the typical latency.
 */
#define PENALTY_MAX 20.0

/* min_latency_us rises slowly, so that it does not include queueing time. */
#define MIN_LATENCY_SMOOTHING 0.01
/*
 * Without answers, the estimate returns to the typical latency: by half in this
 * time and by 94% in 10 s, so that a repaired leaf gets calls again by then.
 */
#define LATENCY_FADE_US (2.5 * US_PER_S)

/*
 * A reported load counts for less than half of one outstanding call and its
 * weight falls to 0 within 2 s. Stale or inverted reports can therefore decide
 * between equal leaves, but cannot send all traffic to one leaf.
 */
#define REPORT_WEIGHT 0.5
#define REPORT_HALF_LOAD 4.0
#define REPORT_FADE_US (2.0 * US_PER_S)

#define SLOW_START_US (10.0 * US_PER_S)
#define SLOW_START_MIN_SHARE 0.1
/* A leaf that reports cold again after this time has restarted. */
#define SLOW_START_GAP_US (60 * US_PER_S)

/* A shed reply lowers the concurrency limit by this factor. */
#define SHED_FACTOR 0.7
#define SHED_BACKOFF_MIN_US (10 * US_PER_MS)
#define SHED_BACKOFF_MAX_US (1 * US_PER_S)

/* Failures in succession after which a leaf is ejected. */
#define EJECT_FAILURES 3
/* A failure raises the latency estimate by this factor. */
#define FAILURE_FACTOR 2.0
#define EJECT_MIN_US (1 * US_PER_S)
/* Short enough that a repaired leaf gets calls again within 10 s. */
#define EJECT_MAX_US (4 * US_PER_S)

bool leaf_has_snapshot(const struct leaf *leaf, uint64_t snapshot)
{
	for (uint32_t i = 0; i < leaf->snapshot_count; i++) {
		if (leaf->snapshots[i] == snapshot)
			return true;
	}
	return false;
}

bool leaf_set_snapshots(struct leaf *leaf, const uint64_t *snapshots,
			uint32_t count)
{
	count = MIN(count, LEAF_SNAPSHOTS_MAX);
	if (count == leaf->snapshot_count &&
	    !memcmp(leaf->snapshots, snapshots, count * sizeof(*snapshots)))
		return false;
	if (count)
		memcpy(leaf->snapshots, snapshots, count * sizeof(*snapshots));
	leaf->snapshot_count = count;
	return true;
}

bool leaf_add_snapshot(struct leaf *leaf, uint64_t snapshot)
{
	if (leaf_has_snapshot(leaf, snapshot) ||
	    leaf->snapshot_count == LEAF_SNAPSHOTS_MAX)
		return false;
	leaf->snapshots[leaf->snapshot_count++] = snapshot;
	return true;
}

bool leaf_drop_snapshot(struct leaf *leaf, uint64_t snapshot)
{
	for (uint32_t i = 0; i < leaf->snapshot_count; i++) {
		if (leaf->snapshots[i] != snapshot)
			continue;
		leaf->snapshots[i] = leaf->snapshots[--leaf->snapshot_count];
		return true;
	}
	return false;
}

void leaf_note_load(struct leaf *leaf, int load, int64_t measured_us)
{
	if (load < 0 || measured_us < leaf->reported_at_us)
		return;
	leaf->reported_load = load;
	leaf->reported_at_us = measured_us;
}

double leaf_latency(const struct leaf *leaf, double typical_us, int64_t now_us)
{
	double idle = (double)(now_us - leaf->latency_at_us) / LATENCY_FADE_US;

	if (leaf->latency_us <= 0)
		return typical_us;
	return typical_us + (leaf->latency_us - typical_us) / (1 + idle * idle);
}

void leaf_note_answer(struct leaf *leaf, int64_t us, double typical_us,
		      int64_t now_us)
{
	double before = leaf_latency(leaf, typical_us, now_us);
	double d = (double)MAX(us, 1);

	leaf->latency_us = before + (d - before) * LATENCY_SMOOTHING;
	leaf->latency_at_us = now_us;
	if (leaf->min_latency_us <= 0 || d < leaf->min_latency_us)
		leaf->min_latency_us = d;
	else
		leaf->min_latency_us +=
			(d - leaf->min_latency_us) * MIN_LATENCY_SMOOTHING;
	if (leaf->call_limit > 0)
		leaf->call_limit += 1 / leaf->call_limit;
	leaf->shed_backoff_us = 0;
	leaf->last_reply_us = now_us;
	leaf->failures = 0;
	leaf->eject_duration_us = 0;
}

void leaf_note_cancelled(struct leaf *leaf, int64_t us, double typical_us,
			 int64_t now_us)
{
	double estimate =
		MAX(leaf_latency(leaf, typical_us, now_us), (double)us);

	leaf->latency_us =
		MIN(estimate * CANCELLED_FACTOR, PENALTY_MAX * typical_us);
	leaf->latency_at_us = now_us;
}

void leaf_note_shed(struct leaf *leaf, int64_t now_us)
{
	double limit = leaf->outstanding + 1;

	if (leaf->call_limit > 0)
		limit = MIN(limit, leaf->call_limit);
	leaf->call_limit = MAX(limit * SHED_FACTOR, 1);
	leaf->shed_backoff_us = CLAMP(2 * leaf->shed_backoff_us,
				      SHED_BACKOFF_MIN_US, SHED_BACKOFF_MAX_US);
	leaf->shed_until_us = now_us + leaf->shed_backoff_us;
}

void leaf_note_cold(struct leaf *leaf, int64_t now_us)
{
	if (!leaf->slow_start_at_us ||
	    now_us - leaf->slow_start_at_us > SLOW_START_GAP_US)
		leaf->slow_start_at_us = MAX(now_us, 1);
}

double leaf_slow_start_share(const struct leaf *leaf, int64_t now_us)
{
	double share;

	if (!leaf->slow_start_at_us)
		return 1;
	share = (double)(now_us - leaf->slow_start_at_us) / SLOW_START_US;
	return CLAMP(share, SLOW_START_MIN_SHARE, 1);
}

uint32_t leaf_limit(const struct leaf *leaf, struct leaf_share share)
{
	uint32_t limit = MIN(share.slots, share.connections);

	if (leaf->is_ejected)
		return MIN(limit, 1);
	if (leaf->call_limit > 0 && leaf->call_limit < limit)
		return (uint32_t)leaf->call_limit;
	return limit;
}

double leaf_score(const struct leaf *leaf, double typical_us, int64_t now_us)
{
	double age = (double)(now_us - leaf->reported_at_us);
	double report = 0;

	if (age < REPORT_FADE_US)
		report = REPORT_WEIGHT * leaf->reported_load /
			 (leaf->reported_load + REPORT_HALF_LOAD) *
			 (1 - age / REPORT_FADE_US);
	return (leaf->outstanding + 1 + report) *
	       leaf_latency(leaf, typical_us, now_us);
}

bool leaf_is_in_ejection(const struct leaf *leaf, int64_t now_us)
{
	return leaf->is_ejected && now_us < leaf->ejected_until_us;
}

bool leaf_note_failure(struct leaf *leaf, double typical_us, int64_t now_us)
{
	double us = MAX(leaf_latency(leaf, typical_us, now_us), typical_us);

	leaf->latency_us = MIN(us * FAILURE_FACTOR, PENALTY_MAX * typical_us);
	leaf->latency_at_us = now_us;
	leaf->failures++;
	return leaf->is_ejected || leaf->failures >= EJECT_FAILURES;
}

void leaf_eject(struct leaf *leaf, int64_t now_us)
{
	leaf->eject_duration_us =
		CLAMP(2 * leaf->eject_duration_us, EJECT_MIN_US, EJECT_MAX_US);
	leaf->ejected_until_us = now_us + leaf->eject_duration_us;
	leaf->is_ejected = true;
}
