#include "engine/internal.h"

/* Time for which reports cannot contradict a leaf's own drain notice. */
#define DRAIN_HOLD_US (10 * US_PER_S)

static bool is_usable(const struct query_shard *s, const struct leaf *leaf)
{
	return !leaf->is_draining &&
	       leaf_has_snapshot(leaf, s->query->snapshot);
}

bool replica_choose(struct engine *e, const struct query_shard *s,
		    obj_handle *leaf)
{
	const struct shard_object *shard = query_shard_object(s);
	struct leaf **leaves = s->query->view->leaves;
	uint32_t start = g_rand_int_range(e->random, 0, shard->leaf_count);

	*leaf = OBJ_NONE;
	for (uint32_t i = 0; i < shard->leaf_count; i++) {
		obj_handle h =
			shard->first_leaf + (start + i) % shard->leaf_count;

		if (!is_usable(s, leaves[h]))
			continue;
		if (*leaf == OBJ_NONE ||
		    leaves[h]->outstanding < leaves[*leaf]->outstanding)
			*leaf = h;
	}
	return *leaf != OBJ_NONE;
}

void replica_drain(struct engine *e, struct leaf *leaf, const char *source)
{
	leaf->drain_until_us = engine_now(e) + DRAIN_HOLD_US;
	if (leaf->is_draining)
		return;
	leaf->is_draining = true;
	e->snapshot_epoch++;
	LOG(LEAF_DRAIN, "leaf=%s draining=1 source=%s", leaf->name, source);
}
