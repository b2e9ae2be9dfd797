#include "router/internal.h"

#include <string.h>

#include "common/events.h"

/*
 * With fewer parts than this, the leaves are called directly: their replies are
 * no larger than one merged answer with its frame.
 */
#define BATCH_PARTS_MIN 4
/* Reserved before the goal for the round trip to the other failure domain. */
#define BATCH_ROUND_TRIP_US (4 * US_PER_MS)

/* Returns whether a part is to be sent in a batch; see struct leaf_access. */
static bool is_planned_remotely(const struct route_part *p)
{
	return p->planned_leaf && !p->is_infeasible && !p->batch &&
	       p->planned_leaf->distance == LEAF_SAME_REGION &&
	       !route_leaf_is_cold(p->planned_leaf, p->request->start_us);
}

/*
 * Returns the failure domain of this region, other than this host's, that has
 * the most planned leaves of the request, and their count.
 */
static const char *most_common_domain(const struct route_request *q,
				      uint32_t *count)
{
	const char *best = NULL;

	*count = 0;
	for (uint32_t i = 0; i < q->part_count; i++) {
		const char *domain;
		uint32_t n = 0;

		if (!is_planned_remotely(&q->parts[i]))
			continue;
		domain = q->parts[i].planned_leaf->entry.domain;
		for (uint32_t k = i; k < q->part_count; k++)
			n += is_planned_remotely(&q->parts[k]) &&
			     !strcmp(q->parts[k].planned_leaf->entry.domain,
				     domain);
		if (n <= *count)
			continue;
		*count = n;
		best = domain;
	}
	return best;
}

static void free_batch(struct part_batch *b)
{
	g_byte_array_free(b->body, TRUE);
	g_ptr_array_free(b->stamps, TRUE);
	g_free(b);
}

static void add_part_to_batch(struct router *r, struct part_batch *b,
			      struct route_part *p)
{
	p->batch = b;
	p->run_count++;
	p->sent_count++;
	route_leaf_ref(p->planned_leaf);
	p->holds_planned_leaf = true;
	request_note_begun(r, p->request);
	/* A hedge must not call the same leaf. */
	p->tried[p->tried_count++] = p->planned_leaf;
}

static bool start_batch(struct router *r, struct route_request *q,
			const char *domain, uint32_t count)
{
	int64_t after = route_stats_hedge_delay(q->stats, q->route,
						q->goal_at_us - q->start_us, 1);
	struct part_batch *b = g_new0(struct part_batch, 1);
	const char **shards = g_new0(const char *, count);
	struct router_batch out = {
		.id = ++r->last_batch_id,
		.domain = domain,
		.shards = shards,
		.wait_us = q->deadline_us - q->start_us,
		.goal_us = MAX(after - BATCH_ROUND_TRIP_US, 1),
		.has_organisations = q->identity_table->has_organisations,
		.organisation = q->organisation ? q->organisation->name : NULL,
		.user = q->user,
	};
	bool is_sent;

	for (uint32_t i = 0; i < q->part_count; i++) {
		const struct route_part *p = &q->parts[i];

		if (is_planned_remotely(p) &&
		    !strcmp(p->planned_leaf->entry.domain, domain))
			shards[out.shard_count++] = p->pool->name;
	}
	is_sent = r->options.ops->start_batch(r->options.ctx, &out);
	g_free(shards);
	if (!is_sent) {
		g_free(b);
		return false;
	}
	b->id = out.id;
	b->request = q;
	b->is_open = true;
	b->body = g_byte_array_new();
	b->stamps = g_ptr_array_new_with_free_func(g_free);
	q->batches[q->batch_count++] = b;
	g_hash_table_insert(r->batches, &b->id, b);
	for (uint32_t i = 0; i < q->part_count; i++) {
		struct route_part *p = &q->parts[i];

		if (is_planned_remotely(p) &&
		    !strcmp(p->planned_leaf->entry.domain, domain))
			add_part_to_batch(r, b, p);
	}
	return true;
}

/* Without time for the way to another host, the leaves are called directly. */
static bool has_time_for_batch(struct router *r, const struct route_request *q)
{
	enum triage_end end = request_end_of(r, q, BATCH_ROUND_TRIP_US,
					     request_typical_work(q));

	return end == TRIAGE_IN_GOAL || end == TRIAGE_LATE;
}

void batch_start_all(struct router *r, struct route_request *q)
{
	if (!r->options.ops->start_batch || q->route->shape != ROUTE_GATHER ||
	    q->is_partial || q->is_repeat || !has_time_for_batch(r, q))
		return;
	while (q->batch_count < REQUEST_BATCHES_MAX) {
		uint32_t count;
		const char *domain = most_common_domain(q, &count);

		if (count < BATCH_PARTS_MIN ||
		    !start_batch(r, q, domain, count))
			return;
	}
}

static void close_batch(struct router *r, struct part_batch *b)
{
	if (b->is_open)
		g_hash_table_remove(r->batches, &b->id);
	b->is_open = false;
}

void batch_clear_all(struct router *r, struct route_request *q)
{
	for (uint32_t i = 0; i < q->batch_count; i++) {
		struct part_batch *b = q->batches[i];

		if (b->is_open)
			r->options.ops->cancel_batch(r->options.ctx, b->id);
		close_batch(r, b);
		free_batch(b);
	}
	q->batch_count = 0;
}

/* Returns the stamp of a shard, or NULL if the result does not list it. */
static const char *find_stamp(const struct router_batch_result *result,
			      const char *shard)
{
	for (uint32_t i = 0; i < result->count; i++) {
		if (!strcmp(result->shards[i], shard))
			return result->stamps[i];
	}
	return NULL;
}

static bool is_signature(const char *stamp)
{
	return stamp && strcmp(stamp, STAMP_FAILED) &&
	       strcmp(stamp, STAMP_NOT_RUN);
}

/*
 * Returns whether all parts in the result are still missing from the batch, and
 * at least one of them has no answer yet.
 */
static bool is_useful(const struct part_batch *b,
		      const struct router_batch_result *result)
{
	uint32_t missing = 0;
	uint32_t received = 0;
	bool is_needed = false;

	for (uint32_t i = 0; i < result->count; i++)
		received += is_signature(result->stamps[i]);
	for (uint32_t i = 0; i < b->request->part_count; i++) {
		const struct route_part *p = &b->request->parts[i];

		if (p->batch != b || p->is_in_batch ||
		    !is_signature(find_stamp(result, p->pool->name)))
			continue;
		missing++;
		is_needed = is_needed || p->phase != PART_ANSWERED;
	}
	return received && missing == received && is_needed;
}

/*
 * Marks a part as answered by its batch and drops a reply of another leaf. The
 * merged records of the batch cannot be split by shard, so the batch replaces
 * the replies for all of its parts.
 */
static void accept_part_result(struct router *r, struct route_part *p)
{
	leaf_reply_unref(p->reply);
	p->reply = NULL;
	p->phase = PART_ANSWERED;
	p->is_in_batch = true;
	part_end_calls(r, p);
}

static void store_batch_result(struct part_batch *b,
			       const struct router_batch_result *result)
{
	g_byte_array_append(b->body, result->body, (guint)result->body_len);
	for (uint32_t i = 0; i < result->count; i++) {
		if (is_signature(result->stamps[i]))
			g_ptr_array_add(b->stamps, g_strdup(result->stamps[i]));
	}
}

static void apply_part_result(struct router *r, struct route_part *p,
			      const struct router_batch_result *result,
			      bool is_good)
{
	const char *stamp = find_stamp(result, p->pool->name);
	bool is_not_run = result->is_refused ||
			  (stamp && !strcmp(stamp, STAMP_NOT_RUN));

	if (is_signature(stamp) && is_good) {
		accept_part_result(r, p);
		return;
	}
	leaf_note_late(r, p);
	if (is_not_run || result->is_final ||
	    (stamp && !strcmp(stamp, STAMP_FAILED)))
		part_leave_batch(r, p, is_not_run);
	else
		part_hedge_now(r, p);
}

void router_handle_batch_result(struct router *r,
				const struct router_batch_result *b)
{
	struct part_batch *batch = g_hash_table_lookup(r->batches, &b->id);
	struct route_request *q;
	bool is_good;

	if (!batch)
		return;
	q = batch->request;
	is_good = !b->is_refused && is_useful(batch, b);
	if (b->is_refused || b->is_final)
		close_batch(r, batch);
	if (is_good)
		store_batch_result(batch, b);
	q->is_updating_parts = true;
	for (uint32_t i = 0; i < q->part_count; i++) {
		struct route_part *p = &q->parts[i];

		if (p->batch == batch && !p->is_in_batch)
			apply_part_result(r, p, b, is_good);
	}
	q->is_updating_parts = false;
	request_handle_part_end(r, q);
}
