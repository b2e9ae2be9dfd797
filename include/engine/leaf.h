#ifndef ENGINE_LEAF_H
#define ENGINE_LEAF_H

#include <stdbool.h>

#include "engine/engine.h"

#define LEAF_SNAPSHOTS_MAX 8

/**
 * State of a leaf, kept across object sets that name it. The functions below
 * take the median latency of the leaf's group as typical_us.
 */
struct leaf {
	char *name;
	uint64_t snapshots[LEAF_SNAPSHOTS_MAX];
	uint32_t snapshot_count;
	uint32_t outstanding;
	bool is_draining;
	/** Time of the last drain notice. */
	int64_t drain_noticed_us;
	/** Exponential moving average of call durations; 0 if not known. */
	double latency_us;
	/** Time at which latency_us was last updated. */
	int64_t latency_at_us;
	/** Lowest recent duration: network round trip and least work. */
	double min_latency_us;
	int64_t last_reply_us;
	/** Load that the leaf reported last, and when it was measured. */
	int reported_load;
	int64_t reported_at_us;
	/** Time at which the last slow start began; 0 if there was none. */
	int64_t slow_start_at_us;
	/** Concurrency limit after a shed reply; 0 is no limit. */
	double call_limit;
	/** After a shed reply the leaf is avoided until this time. */
	int64_t shed_until_us;
	/** Length of the last backoff after a shed reply. */
	int64_t shed_backoff_us;
	/** Failures since the last answer. */
	uint32_t failures;
	int64_t ejected_until_us;
	/** Length of the last ejection. */
	int64_t eject_duration_us;
	/**
	 * Set by an ejection until the leaf answers a call. When the ejection
	 * has ended, the leaf gets one call at a time.
	 */
	bool is_ejected;
};

bool leaf_has_snapshot(const struct leaf *leaf, uint64_t snapshot);

/** Sets the leaf's snapshots; returns whether they changed. */
bool leaf_set_snapshots(struct leaf *leaf, const uint64_t *snapshots,
			uint32_t count);

/** Adds a snapshot; returns false if the leaf has it or the list is full. */
bool leaf_add_snapshot(struct leaf *leaf, uint64_t snapshot);

/** Removes a snapshot; returns whether the leaf had it. */
bool leaf_drop_snapshot(struct leaf *leaf, uint64_t snapshot);

/**
 * Records the load that the leaf reported. Ignores a negative load, which is
 * not known, and a measurement older than the last one.
 */
void leaf_note_load(struct leaf *leaf, int load, int64_t measured_us);

/** Records the duration of a call that was answered. */
void leaf_note_answer(struct leaf *leaf, int64_t us, double typical_us,
		      int64_t now_us);

/** Records for how long a late call was open before it was cancelled. */
void leaf_note_cancelled(struct leaf *leaf, int64_t us, double typical_us,
			 int64_t now_us);

/** Lowers the concurrency limit and starts a backoff after a shed reply. */
void leaf_note_shed(struct leaf *leaf, int64_t now_us);

/**
 * Handles a report with state LEAF_COLD: begins a slow start unless one began
 * recently.
 */
void leaf_note_cold(struct leaf *leaf, int64_t now_us);

/** Returns the share of traffic for a leaf in slow start; 1 otherwise. */
double leaf_slow_start_share(const struct leaf *leaf, int64_t now_us);

/** Returns the concurrency limit of the leaf, given this host's share. */
uint32_t leaf_limit(const struct leaf *leaf, struct leaf_share share);

/** Returns the expected duration of a call. */
double leaf_latency(const struct leaf *leaf, double typical_us, int64_t now_us);

/** Returns the cost of one more call to the leaf; lower is better. */
double leaf_score(const struct leaf *leaf, double typical_us, int64_t now_us);

/** Returns whether the time of the leaf's ejection has not passed yet. */
bool leaf_is_in_ejection(const struct leaf *leaf, int64_t now_us);

/** Counts a failure; returns whether the leaf should be ejected. */
bool leaf_note_failure(struct leaf *leaf, double typical_us, int64_t now_us);

/** Ejects the leaf, for longer each time until it answers a call. */
void leaf_eject(struct leaf *leaf, int64_t now_us);

#endif
