#ifndef ENGINE_LEAF_H
#define ENGINE_LEAF_H

#include <stdbool.h>

#include "engine/engine.h"

#define LEAF_SNAPSHOTS_MAX 8

/** State of an upstream; outlives the object set that named it. */
struct leaf {
	char *name;
	uint64_t snapshots[LEAF_SNAPSHOTS_MAX];
	uint32_t snapshot_count;
	uint32_t outstanding;
	bool is_draining;
	/** Time of the last drain notice. */
	int64_t drain_noticed_us;
	/** Smoothed duration of calls; 0 if not known. */
	double latency_us;
	int64_t latency_at_us;
	/** Lowest recent duration: network distance and least work. */
	double least_us;
	int64_t last_reply_us;
	/** Load that the leaf reported last, and when it was measured. */
	int reported_load;
	int64_t reported_at_us;
	/** Start of the ramp of a cold leaf; 0 if it is warm. */
	int64_t ramp_start_us;
	/** Outstanding calls allowed after a shed reply; 0 is no limit. */
	double allowed;
	/** After a shed reply the leaf is avoided until this time. */
	int64_t shed_until_us;
	int64_t shed_time_us;
	uint32_t failures;
	int64_t ejected_until_us;
	int64_t eject_time_us;
	/** Ejected, or on probation after it with one call at a time. */
	bool is_ejected;
};

bool leaf_has_snapshot(const struct leaf *leaf, uint64_t snapshot);

/** Takes the snapshot list; returns whether it changed. */
bool leaf_set_snapshots(struct leaf *leaf, const uint64_t *snapshots,
			uint32_t count);

/** Adds one snapshot if there is room; returns whether it was new. */
bool leaf_add_snapshot(struct leaf *leaf, uint64_t snapshot);

/** Forgets one snapshot; returns whether the leaf held it. */
bool leaf_drop_snapshot(struct leaf *leaf, uint64_t snapshot);

/**
 * Takes the load that the leaf reported; negative if not known. An older
 * measurement than the last is ignored.
 */
void leaf_note_load(struct leaf *leaf, int load, int64_t measured_us);

/** Takes the duration of a call that was answered. */
void leaf_note_answer(struct leaf *leaf, int64_t us, double typical_us,
		      int64_t now_us);

/** Takes the time that a late call was open before it was cancelled. */
void leaf_note_lost(struct leaf *leaf, int64_t us, double typical_us,
		    int64_t now_us);

/** Lowers the allowed outstanding calls after a shed reply. */
void leaf_note_shed(struct leaf *leaf, int64_t now_us);

/** Takes a report that says `cold`; begins a ramp unless one began lately. */
void leaf_note_cold(struct leaf *leaf, int64_t now_us);

/** Returns the share of traffic that a cold leaf gets; 1 if it is warm. */
double leaf_ramp(const struct leaf *leaf, int64_t now_us);

/** Returns the most outstanding calls, given this host's share. */
uint32_t leaf_limit(const struct leaf *leaf, struct leaf_share share);

/** Returns the expected duration of a call. */
double leaf_latency(const struct leaf *leaf, double typical_us, int64_t now_us);

/** Returns the cost of one more call; the lower one of two is chosen. */
double leaf_score(const struct leaf *leaf, double typical_us, int64_t now_us);

/** Returns whether the leaf gets no work because of an ejection. */
bool leaf_is_out(const struct leaf *leaf, int64_t now_us);

/** Counts a failure; returns whether the leaf is due to be ejected. */
bool leaf_note_failure(struct leaf *leaf, double typical_us, int64_t now_us);

/** Ejects the leaf, each time for longer. */
void leaf_eject(struct leaf *leaf, int64_t now_us);

#endif
