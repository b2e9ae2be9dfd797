#include "common/errors.h"
#include "engine/internal.h"

/* Most snapshots compared in one choice; a newer one replaces the oldest. */
#define CANDIDATES_MAX 16

#define RESTARTS_MAX 2

struct candidate {
	uint64_t snapshot;
	uint64_t weight;
	/** Shard counted last, so that several replicas count it once. */
	obj_handle last_shard;
};

struct candidate_list {
	struct candidate items[CANDIDATES_MAX];
	uint32_t count;
};

static struct candidate *find_oldest(struct candidate_list *list)
{
	struct candidate *found = &list->items[0];

	for (uint32_t i = 1; i < list->count; i++) {
		if (list->items[i].snapshot < found->snapshot)
			found = &list->items[i];
	}
	return found;
}

static struct candidate *find_or_add(struct candidate_list *list,
				     uint64_t snapshot)
{
	struct candidate *c;

	for (uint32_t i = 0; i < list->count; i++) {
		if (list->items[i].snapshot == snapshot)
			return &list->items[i];
	}
	if (list->count < CANDIDATES_MAX) {
		c = &list->items[list->count++];
	} else {
		c = find_oldest(list);
		if (c->snapshot > snapshot)
			return NULL;
	}
	c->snapshot = snapshot;
	c->weight = 0;
	c->last_shard = OBJ_NONE;
	return c;
}

static void count_leaf(struct candidate_list *list, const struct leaf *leaf,
		       obj_handle shard, uint64_t weight, uint64_t newer_than)
{
	for (uint32_t i = 0; i < leaf->snapshot_count; i++) {
		struct candidate *c;

		if (leaf->snapshots[i] <= newer_than)
			continue;
		c = find_or_add(list, leaf->snapshots[i]);
		if (!c || c->last_shard == shard)
			continue;
		c->last_shard = shard;
		c->weight += weight;
	}
}

static void count_shard(struct candidate_list *list, const struct query *q,
			obj_handle shard, uint64_t newer_than)
{
	const struct shard_object *s = &q->view->set->shards[shard];

	for (uint32_t i = 0; i < s->leaf_count; i++) {
		const struct leaf *leaf = q->view->leaves[s->first_leaf + i];

		if (!leaf->is_draining)
			count_leaf(list, leaf, shard, s->weight, newer_than);
	}
}

static uint64_t choose_snapshot(const struct query *q, uint64_t newer_than)
{
	struct candidate_list list = { .count = 0 };
	const struct candidate *best = NULL;

	for (uint32_t i = 0; i < q->shard_count; i++)
		count_shard(&list, q, q->shards[i].shard, newer_than);
	for (uint32_t i = 0; i < list.count; i++) {
		const struct candidate *c = &list.items[i];

		if (!best || c->weight > best->weight ||
		    (c->weight == best->weight && c->snapshot > best->snapshot))
			best = c;
	}
	return best ? best->snapshot : 0;
}

uint64_t snapshot_choose(struct engine *e, const struct query *q,
			 uint64_t newer_than)
{
	struct service_state *service = q->view->services[q->service];

	if (newer_than || query_service(q)->fan_out == FAN_OUT_KEY)
		return choose_snapshot(q, newer_than);
	/* Within an epoch, queries to all shards get the same choice. */
	if (service->pin_epoch != e->snapshot_epoch) {
		service->pinned_snapshot = choose_snapshot(q, 0);
		service->pin_epoch = e->snapshot_epoch;
	}
	return service->pinned_snapshot;
}

static bool may_restart(struct engine *e, const struct query *q)
{
	struct service_state *service = q->view->services[q->service];
	int64_t median = latency_quantile(&service->latency, 0.5);

	/* Leaves of the other shards may have run the request. */
	if (q->is_non_idempotent && q->shard_count > 1)
		return false;
	return q->restarts < RESTARTS_MAX &&
	       engine_now(e) + median < q->deadline_us;
}

void snapshot_handle_gone(struct engine *e, struct query_shard *s,
			  const struct engine_result *result)
{
	struct query *q = s->query;
	uint64_t newer = may_restart(e, q) ? snapshot_choose(e, q, q->snapshot)
					   : 0;
	obj_handle leaf;

	if (newer) {
		query_restart(e, q, newer);
		return;
	}
	if (replica_choose(e, s, CALL_RETRY, &leaf) == CHOICE_NONE)
		query_mark_shard_missing(e, s, ERR_SNAPSHOT_GONE);
	else
		retry_shard(e, s, result);
}
