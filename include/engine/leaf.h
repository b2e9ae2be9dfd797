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
	/** A report measured before this time does not end the drain. */
	int64_t drain_until_us;
};

bool leaf_has_snapshot(const struct leaf *leaf, uint64_t snapshot);

/** Takes the snapshot list; returns whether it changed. */
bool leaf_set_snapshots(struct leaf *leaf, const uint64_t *snapshots,
			uint32_t count);

/** Forgets one snapshot; returns whether the leaf held it. */
bool leaf_drop_snapshot(struct leaf *leaf, uint64_t snapshot);

#endif
