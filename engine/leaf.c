#include "engine/leaf.h"

#include <glib.h>
#include <string.h>

#define LATENCY_SMOOTHING 0.2

/*
 * The true duration of a call that lost to its hedge is not known, only that it
 * is longer: without the factor a 10x straggler would seem to be 2.5x slow.
 */
#define LOST_FACTOR 1.3
/* Estimates of lost and failed calls stay below this multiple of the usual. */
#define PENALTY_MAX 20.0

/* The lowest duration rises slowly, so that a queue does not pass for it. */
#define LEAST_SMOOTHING 0.01
/*
 * Half of the way back to the usual latency is covered in this idle time, and
 * 94% in 10 s, so that a repaired leaf has work again by then.
 */
#define LATENCY_FADE_US (2.5 * US_PER_S)

/*
 * A report counts for less than half an own call and fades within 2 s: stale
 * or inverted reports can break a tie, but not herd traffic.
 */
#define REPORT_WEIGHT 0.5
#define REPORT_HALF_LOAD 4.0
#define REPORT_FADE_US (2.0 * US_PER_S)

#define RAMP_US (10.0 * US_PER_S)
#define RAMP_MIN_SHARE 0.1
/* A leaf that is cold again after this time has been restarted. */
#define RAMP_GAP_US (60 * US_PER_S)

#define SHED_FACTOR 0.7
#define SHED_MIN_US (10 * US_PER_MS)
#define SHED_MAX_US (1 * US_PER_S)

#define EJECT_FAILURES 3
#define FAILURE_FACTOR 2.0
#define EJECT_MIN_US (1 * US_PER_S)
/* Short enough for a repaired leaf to be found within 10 s. */
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
	/* Without answers the estimate returns to what is usual. */
	return typical_us + (leaf->latency_us - typical_us) / (1 + idle * idle);
}

void leaf_note_answer(struct leaf *leaf, int64_t us, double typical_us,
		      int64_t now_us)
{
	double before = leaf_latency(leaf, typical_us, now_us);
	double d = (double)MAX(us, 1);

	leaf->latency_us = before + (d - before) * LATENCY_SMOOTHING;
	leaf->latency_at_us = now_us;
	if (leaf->least_us <= 0 || d < leaf->least_us)
		leaf->least_us = d;
	else
		leaf->least_us += (d - leaf->least_us) * LEAST_SMOOTHING;
	if (leaf->allowed > 0)
		leaf->allowed += 1 / leaf->allowed;
	leaf->shed_time_us = 0;
	leaf->last_reply_us = now_us;
	leaf->failures = 0;
	leaf->eject_time_us = 0;
}

void leaf_note_lost(struct leaf *leaf, int64_t us, double typical_us,
		    int64_t now_us)
{
	double lost = MAX(leaf_latency(leaf, typical_us, now_us), (double)us);

	leaf->latency_us = MIN(lost * LOST_FACTOR, PENALTY_MAX * typical_us);
	leaf->latency_at_us = now_us;
}

void leaf_note_shed(struct leaf *leaf, int64_t now_us)
{
	double now_allowed = leaf->outstanding + 1;

	if (leaf->allowed > 0)
		now_allowed = MIN(now_allowed, leaf->allowed);
	leaf->allowed = MAX(now_allowed * SHED_FACTOR, 1);
	leaf->shed_time_us =
		CLAMP(2 * leaf->shed_time_us, SHED_MIN_US, SHED_MAX_US);
	leaf->shed_until_us = now_us + leaf->shed_time_us;
}

void leaf_note_cold(struct leaf *leaf, int64_t now_us)
{
	if (!leaf->ramp_start_us || now_us - leaf->ramp_start_us > RAMP_GAP_US)
		leaf->ramp_start_us = MAX(now_us, 1);
}

double leaf_ramp(const struct leaf *leaf, int64_t now_us)
{
	double share;

	if (!leaf->ramp_start_us)
		return 1;
	share = (double)(now_us - leaf->ramp_start_us) / RAMP_US;
	return CLAMP(share, RAMP_MIN_SHARE, 1);
}

uint32_t leaf_limit(const struct leaf *leaf, struct leaf_share share)
{
	uint32_t limit = MIN(share.slots, share.connections);

	if (leaf->is_ejected)
		return MIN(limit, 1);
	if (leaf->allowed > 0 && leaf->allowed < limit)
		return (uint32_t)leaf->allowed;
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

bool leaf_is_out(const struct leaf *leaf, int64_t now_us)
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
	leaf->eject_time_us =
		CLAMP(2 * leaf->eject_time_us, EJECT_MIN_US, EJECT_MAX_US);
	leaf->ejected_until_us = now_us + leaf->eject_time_us;
	leaf->is_ejected = true;
}
