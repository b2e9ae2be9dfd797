#include <inttypes.h>

#include "engine/internal.h"

/* Time after a drain notice in which reports do not end the draining state. */
#define DRAIN_HOLD_US (10 * US_PER_S)

/* Typical latency while the group has too few samples. */
#define UNKNOWN_LATENCY_US 1000.0

#define CANDIDATES_MAX 32

/*
 * Reasons to avoid a usable replica. Their sum is its rank; only the replicas
 * of the lowest rank are candidates.
 */
#define RANK_TRIED_OR_SHED 1
#define RANK_EJECTED 2
/* Above every rank: no replica is usable. */
#define RANK_NONE 4

struct candidates {
	int rank;
	/** Sum of the limits of the replicas that are at their limit. */
	uint32_t busy_slot_count;
	uint32_t free_count;
	obj_handle free[CANDIDATES_MAX];
};

static double typical_latency(const struct query_shard *s)
{
	struct group_state *g =
		s->query->view->groups[query_shard_object(s)->group];
	int64_t us = latency_quantile(&g->latency, 0.5);

	return us ? (double)us : UNKNOWN_LATENCY_US;
}

static bool was_tried(const struct query_shard *s, const struct leaf *leaf)
{
	uint32_t count = MIN(s->tried_count, SHARD_TRIED_MAX);

	for (uint32_t i = 0; i < count; i++) {
		if (s->tried[i] == leaf)
			return true;
	}
	return false;
}

static bool is_usable(const struct query_shard *s, const struct leaf *leaf)
{
	return !leaf->is_draining &&
	       leaf_has_snapshot(leaf, s->query->snapshot);
}

static int rank_replica(const struct query_shard *s, const struct leaf *leaf,
			int64_t now)
{
	int rank = 0;

	if (was_tried(s, leaf) || now < leaf->shed_until_us)
		rank += RANK_TRIED_OR_SHED;
	if (leaf_is_in_ejection(leaf, now))
		rank += RANK_EJECTED;
	return rank;
}

/* Skips a leaf in slow start at random; its share of the choices grows. */
static bool is_skipped_as_cold(struct engine *e, const struct leaf *leaf,
			       int64_t now)
{
	double share = leaf_slow_start_share(leaf, now);

	return share < 1 && g_rand_double(e->random) > share;
}

static void reset_candidates(struct candidates *c, int rank)
{
	c->rank = rank;
	c->free_count = 0;
	c->busy_slot_count = 0;
}

/* Collects the replicas of the lowest rank, both free and at their limit. */
static void collect_candidates(struct engine *e, const struct query_shard *s,
			       bool skip_cold, struct candidates *out)
{
	const struct shard_object *shard = query_shard_object(s);
	struct leaf_share share = view_share(s->query->view, shard->group);
	int64_t now = engine_now(e);

	reset_candidates(out, RANK_NONE);
	for (uint32_t i = 0; i < shard->leaf_count; i++) {
		obj_handle h = shard->first_leaf + i;
		const struct leaf *leaf = s->query->view->leaves[h];
		uint32_t limit = leaf_limit(leaf, share);
		int rank;

		if (!limit || !is_usable(s, leaf))
			continue;
		rank = rank_replica(s, leaf, now);
		if (rank > out->rank)
			continue;
		if (rank < out->rank)
			reset_candidates(out, rank);
		if (leaf->outstanding >= limit) {
			out->busy_slot_count += limit;
			continue;
		}
		if (skip_cold && is_skipped_as_cold(e, leaf, now))
			continue;
		if (out->free_count < CANDIDATES_MAX)
			out->free[out->free_count++] = h;
	}
}

static obj_handle choose_of_two(struct engine *e, const struct query_shard *s,
				const struct candidates *c)
{
	struct leaf **leaves = s->query->view->leaves;
	double typical = typical_latency(s);
	int64_t now = engine_now(e);
	uint32_t a;
	uint32_t b;

	if (c->free_count == 1)
		return c->free[0];
	a = g_rand_int_range(e->random, 0, (gint32)c->free_count);
	b = g_rand_int_range(e->random, 0, (gint32)c->free_count - 1);
	b += b >= a;
	if (leaf_score(leaves[c->free[b]], typical, now) <
	    leaf_score(leaves[c->free[a]], typical, now))
		a = b;
	return c->free[a];
}

static enum replica_choice choose_round_robin(struct engine *e,
					      const struct query_shard *s,
					      obj_handle *leaf)
{
	const struct shard_object *shard = query_shard_object(s);
	struct shard_state *state = s->query->view->shards[s->shard];

	for (uint32_t i = 0; i < shard->leaf_count; i++) {
		*leaf = shard->first_leaf + state->next++ % shard->leaf_count;
		if (is_usable(s, s->query->view->leaves[*leaf]))
			return CHOICE_LEAF;
	}
	return CHOICE_NONE;
}

/*
 * Returns whether waiting for a replica at its limit is expected to take less
 * time than the call to the chosen free replica.
 */
static bool is_wait_shorter(struct engine *e, const struct query_shard *s,
			    const struct candidates *c, obj_handle leaf)
{
	const struct shard_state *state = s->query->view->shards[s->shard];
	double typical = typical_latency(s);
	double wait;

	if (!c->busy_slot_count)
		return false;
	wait = (state->waiting.count + 1) * typical / c->busy_slot_count;
	return leaf_latency(s->query->view->leaves[leaf], typical,
			    engine_now(e)) > typical + wait;
}

enum replica_choice replica_choose(struct engine *e,
				   const struct query_shard *s,
				   enum call_kind kind, obj_handle *leaf)
{
	struct candidates c;

	if (!query_has_limits(s->query))
		return choose_round_robin(e, s, leaf);
	collect_candidates(e, s, true, &c);
	if (c.rank >= RANK_NONE)
		return CHOICE_NONE;
	/* A hedge to a tried, shedding or ejected replica cannot help. */
	if (kind == CALL_HEDGE && c.rank)
		return CHOICE_NONE;
	if (!c.free_count)
		collect_candidates(e, s, false, &c);
	if (!c.free_count)
		return c.busy_slot_count ? CHOICE_WAIT : CHOICE_NONE;
	*leaf = choose_of_two(e, s, &c);
	return is_wait_shorter(e, s, &c, *leaf) ? CHOICE_WAIT : CHOICE_LEAF;
}

bool replica_can_answer(struct engine *e, const struct query *q,
			obj_handle leaf)
{
	double left = (double)(q->deadline_us - engine_now(e));

	return left > 0 && left > q->view->leaves[leaf]->min_latency_us;
}

void replica_drain(struct engine *e, struct leaf *leaf, const char *source)
{
	leaf->drain_noticed_us = engine_now(e);
	if (leaf->is_draining)
		return;
	leaf->is_draining = true;
	e->snapshot_epoch++;
	LOG(LEAF_DRAIN, "leaf=%s draining=1 source=%s", leaf->name, source);
}

/*
 * At most a third of the replicas is ejected at a time. Of 2 replicas one may
 * be ejected; the only replica of a shard never is.
 */
static bool may_eject(const struct query_shard *s, const struct leaf *leaf,
		      int64_t now)
{
	const struct shard_object *shard = query_shard_object(s);
	uint32_t ejected = 0;

	for (uint32_t i = 0; i < shard->leaf_count; i++) {
		const struct leaf *other =
			s->query->view->leaves[shard->first_leaf + i];

		if (other != leaf && leaf_is_in_ejection(other, now))
			ejected++;
	}
	return shard->leaf_count > 1 && ejected < MAX(shard->leaf_count / 3, 1);
}

static void note_failure(struct engine *e, const struct call *c)
{
	int64_t now = engine_now(e);
	struct leaf *leaf = c->leaf;
	bool was_ejected = leaf_is_in_ejection(leaf, now);

	if (!leaf_note_failure(leaf, typical_latency(c->shard), now))
		return;
	if (was_ejected || !may_eject(c->shard, leaf, now))
		return;
	leaf_eject(leaf, now);
	LOG(LEAF_EJECT, "leaf=%s failures=%u until_us=%" PRId64, leaf->name,
	    leaf->failures, leaf->ejected_until_us);
}

void replica_note_late(struct engine *e, struct call *c)
{
	/* A leaf that has replied since the call started is only slow. */
	if (c->leaf->last_reply_us < c->start_us)
		note_failure(e, c);
}

void replica_note_cancelled(struct engine *e, const struct call *c)
{
	int64_t now = engine_now(e);

	leaf_note_cancelled(c->leaf, now - c->start_us,
			    typical_latency(c->shard), now);
}

static void note_answer(struct engine *e, const struct call *c)
{
	int64_t now = engine_now(e);
	int64_t us = now - c->start_us;
	obj_handle group = query_shard_object(c->shard)->group;

	latency_add(&c->shard->query->view->groups[group]->latency, us);
	leaf_note_answer(c->leaf, us, typical_latency(c->shard), now);
	if (!c->leaf->is_ejected)
		return;
	c->leaf->is_ejected = false;
	LOG(LEAF_RETURN, "leaf=%s", c->leaf->name);
}

static bool is_failure(const struct engine_result *result)
{
	switch (result->status) {
	case CALL_CONNECT_FAILED:
	case CALL_RESET:
	case CALL_TIMEOUT:
	case CALL_BAD_REPLY:
	case CALL_ERROR:
		return true;
	default:
		return false;
	}
}

static void note_refused_snapshot(struct engine *e, const struct call *c,
				  const struct engine_result *result)
{
	uint64_t refused = c->shard->query->snapshot;

	if (leaf_drop_snapshot(c->leaf, refused))
		e->snapshot_epoch++;
	/* The refusal may name the snapshot that the leaf serves now. */
	if (result->snapshot && result->snapshot != refused &&
	    leaf_add_snapshot(c->leaf, result->snapshot))
		e->snapshot_epoch++;
}

void replica_note_result(struct engine *e, const struct call *c,
			 const struct engine_result *result)
{
	struct leaf *leaf = c->leaf;
	bool has_failed = is_failure(result);

	leaf_note_load(leaf, result->load, engine_now(e));
	if (budget_note_result(&e->budget, has_failed))
		LOG(BUDGET, "faults=%d rate=%.4f", e->budget.has_faults,
		    e->budget.failure_rate);
	if (has_failed)
		note_failure(e, c);
	if (result->status == CALL_OK)
		note_answer(e, c);
	if (result->status == CALL_SHED) {
		leaf_note_shed(leaf, engine_now(e));
		LOG(LEAF_SHED, "leaf=%s allowed=%.1f", leaf->name,
		    leaf->call_limit);
	}
	if (result->is_draining || result->status == CALL_DRAINING)
		replica_drain(e, leaf, "reply");
	if (call_is_snapshot_refusal(result))
		note_refused_snapshot(e, c, result);
}

static void clear_draining(struct engine *e, struct leaf *leaf,
			   const struct leaf_report *report)
{
	int64_t since = engine_now(e) - report->age_us - leaf->drain_noticed_us;

	/* A leaf that reports cold after its drain notice has restarted. */
	if (!leaf->is_draining ||
	    since <= (report->state == LEAF_COLD ? 0 : DRAIN_HOLD_US))
		return;
	leaf->is_draining = false;
	leaf->slow_start_at_us = engine_now(e);
	e->snapshot_epoch++;
	LOG(LEAF_DRAIN, "leaf=%s draining=0 source=report", leaf->name);
}

void replica_note_report(struct engine *e, struct leaf *leaf,
			 const struct leaf_report *report)
{
	int64_t now = engine_now(e);

	leaf_note_load(leaf, report->load, now - report->age_us);
	if (leaf_set_snapshots(leaf, report->snapshots, report->snapshot_count))
		e->snapshot_epoch++;
	if (report->state == LEAF_DRAINING) {
		replica_drain(e, leaf, "report");
		return;
	}
	clear_draining(e, leaf, report);
	if (report->state == LEAF_COLD)
		leaf_note_cold(leaf, now);
}
