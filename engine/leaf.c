#include "engine/leaf.h"

#include <glib.h>
#include <string.h>

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
