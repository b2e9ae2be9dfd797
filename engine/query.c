#include <inttypes.h>
#include <string.h>

#include "common/errors.h"
#include "common/hash.h"
#include "engine/internal.h"

/* For a repeat of a request key whose service is no longer in the set. */
#define FALLBACK_DEADLINE_US US_PER_S

/* Largest one-way latency to callers in the two target deployments. */
#define DEFAULT_MARGIN_US (3 * US_PER_MS)
/* The margin is at most the deadline divided by this. */
#define MARGIN_DIVISOR 20

static int64_t choose_deadline(const struct query *q, int64_t asked_us)
{
	const struct deadline_object *d;

	if (q->service == OBJ_NONE)
		return asked_us > 0 ? asked_us : FALLBACK_DEADLINE_US;
	d = &q->view->set->deadlines[query_service(q)->deadline];
	return MIN(asked_us > 0 ? asked_us : d->default_us, d->max_us);
}

/* Returns the time reserved for the answer to reach the caller. */
static int64_t answer_margin(const struct engine *e, int64_t deadline_us)
{
	int64_t margin = e->options.answer_margin_us;

	return MIN(margin ? margin : DEFAULT_MARGIN_US,
		   deadline_us / MARGIN_DIVISOR);
}

struct query *query_create(struct engine *e, const struct engine_request *r,
			   struct set_view *view)
{
	struct query *q = id_table_take(&e->queries);
	uint64_t id = q->id;
	int64_t deadline;

	memset(q, 0, sizeof(*q));
	q->id = id;
	q->view = view ? view_ref(view) : NULL;
	q->service = view ? object_set_find_service(view->set, r->service)
			  : OBJ_NONE;
	q->user = r->user;
	q->key_range = r->key_range;
	q->start_us = engine_now(e);
	deadline = choose_deadline(q, r->deadline_us);
	q->deadline_us = q->start_us + deadline - answer_margin(e, deadline);
	g_strlcpy(q->request_id, r->id, sizeof(q->request_id));
	return q;
}

static void add_shard(struct query *q, obj_handle shard)
{
	struct query_shard *s = &q->shards[q->shard_count++];

	s->query = q;
	s->shard = shard;
	q->total_weight += q->view->set->shards[shard].weight;
}

static void add_all_shards(struct query *q)
{
	const struct service_object *service = query_service(q);

	for (uint32_t i = 0; i < service->group_count; i++) {
		const struct group_object *g =
			&q->view->set->groups[service->groups[i]];

		for (uint32_t j = 0; j < g->shard_count; j++)
			add_shard(q, g->first_shard + j);
	}
}

/* Chooses the shard of a request key by rendezvous hashing. */
static obj_handle choose_shard(const struct query *q, const char *key)
{
	const struct service_object *service = query_service(q);
	uint64_t key_hash = hash_string(key, 0);
	obj_handle best = OBJ_NONE;
	uint64_t best_hash = 0;

	for (uint32_t i = 0; i < service->group_count; i++) {
		const struct group_object *g =
			&q->view->set->groups[service->groups[i]];

		for (uint32_t j = 0; j < g->shard_count; j++) {
			obj_handle h = g->first_shard + j;
			uint64_t hash =
				hash_pair(key_hash, q->view->shards[h]->hash);

			if (best != OBJ_NONE && hash <= best_hash)
				continue;
			best = h;
			best_hash = hash;
		}
	}
	return best;
}

static uint32_t count_shards(const struct query *q)
{
	const struct service_object *service = query_service(q);
	uint32_t count = 0;

	if (service->fan_out == FAN_OUT_KEY)
		return 1;
	for (uint32_t i = 0; i < service->group_count; i++)
		count += q->view->set->groups[service->groups[i]].shard_count;
	return count;
}

void query_add_shards(struct query *q, const char *key)
{
	q->shards = g_new0(struct query_shard, count_shards(q));
	if (query_service(q)->fan_out == FAN_OUT_KEY)
		add_shard(q, choose_shard(q, key));
	else
		add_all_shards(q);
}

/* Records all pending shards as missing; the last of them ends the query. */
static void mark_pending_missing(struct engine *e, struct query *q, int reason)
{
	query_cancel_calls(e, q);
	for (uint32_t i = 0; i < q->shard_count; i++) {
		if (q->shards[i].phase == SHARD_PENDING)
			query_mark_shard_missing(e, &q->shards[i], reason);
	}
}

static void handle_deadline(struct engine *e, struct timer *t)
{
	mark_pending_missing(e, HEAP_OWNER(t, struct query, timer),
			     ERR_DEADLINE);
}

bool query_is_covered(const struct query *q)
{
	double needed = query_service(q)->min_coverage_percent *
			(double)q->total_weight;

	return q->weight && 100.0 * (double)q->weight >= needed;
}

void query_end_if_ready(struct engine *e, struct query *q)
{
	if (!q->pending_count) {
		query_end(e, q, 0);
		return;
	}
	if (engine_now(e) < q->early_us || !query_is_covered(q))
		return;
	LOG(QUERY_EARLY, "request=%s weight=%" PRIu64 " of=%" PRIu64,
	    q->request_id, q->weight, q->total_weight);
	mark_pending_missing(e, q, ERR_LATE);
}

static void handle_early(struct engine *e, struct timer *t)
{
	struct query *q = HEAP_OWNER(t, struct query, timer);

	timer_arm(e, t, q->deadline_us, handle_deadline);
	query_end_if_ready(e, q);
}

static void arm_query_timer(struct engine *e, struct query *q)
{
	int64_t delay = 0;

	q->early_us = INT64_MAX;
	if (query_service(q)->early_answer && query_has_limits(q) &&
	    !q->is_non_idempotent)
		delay = hedge_early_delay(q);
	if (!delay || engine_now(e) + delay >= q->deadline_us) {
		timer_arm(e, &q->timer, q->deadline_us, handle_deadline);
		return;
	}
	q->early_us = engine_now(e) + delay;
	timer_arm(e, &q->timer, q->early_us, handle_early);
}

static void start_calls(struct engine *e, struct query *q)
{
	for (uint32_t i = 0; i < q->shard_count; i++) {
		if (q->shards[i].phase == SHARD_PENDING)
			call_start(e, &q->shards[i], CALL_FIRST);
	}
}

void query_run(struct engine *e, struct query *q)
{
	q->phase = QUERY_RUNNING;
	q->pending_count = q->shard_count;
	q->snapshot = snapshot_choose(e, q, 0);
	if (!q->snapshot) {
		query_end(e, q, -ERR_NO_SNAPSHOT);
		return;
	}
	LOG(QUERY_PIN, "request=%s snapshot=%" PRIu64 " version=%" PRIu64,
	    q->request_id, q->snapshot, q->view->set->version);
	arm_query_timer(e, q);
	start_calls(e, q);
}

void query_restart(struct engine *e, struct query *q, uint64_t snapshot)
{
	LOG(QUERY_RESTART, "request=%s from=%" PRIu64 " to=%" PRIu64,
	    q->request_id, q->snapshot, snapshot);
	query_cancel_calls(e, q);
	q->restarts++;
	q->snapshot = snapshot;
	q->weight = 0;
	q->pending_count = q->shard_count;
	q->extra_calls += q->shard_count;
	budget_charge(&e->budget, q->shard_count);
	for (uint32_t i = 0; i < q->shard_count; i++) {
		q->shards[i].phase = SHARD_PENDING;
		q->shards[i].attempts = 0;
		q->shards[i].tried_count = 0;
	}
	e->options.ops->reset_results(e->options.ctx, q->id, q->user);
	arm_query_timer(e, q);
	start_calls(e, q);
}

void query_end(struct engine *e, struct query *q, int code)
{
	if (q->phase == QUERY_ENDED)
		return;
	if (q->class)
		admission_remove_query(e, q);
	timer_disarm(e, &q->timer);
	q->phase = QUERY_ENDED;
	q->code = code;
	heap_push(&e->ended, &q->ended, 0);
}

static void stop_shard_waits(struct engine *e, struct query_shard *s)
{
	struct shard_state *state = s->query->view->shards[s->shard];

	timer_disarm(e, &s->timer);
	heap_remove(&state->waiting, &s->waiting);
}

void query_release(struct engine *e, struct query *q)
{
	for (uint32_t i = 0; i < q->shard_count; i++)
		stop_shard_waits(e, &q->shards[i]);
	if (q->class && q->phase != QUERY_ENDED)
		admission_remove_query(e, q);
	timer_disarm(e, &q->timer);
	heap_remove(&e->ended, &q->ended);
	g_free(q->shards);
	q->shards = NULL;
	view_unref(q->view);
	q->view = NULL;
	q->phase = QUERY_FREE;
	id_table_release(&e->queries, q);
}

void query_mark_shard_missing(struct engine *e, struct query_shard *s,
			      int reason)
{
	struct query *q = s->query;

	s->phase = SHARD_MISSING;
	s->reason = reason;
	LOG(SHARD_GAP, "request=%s shard=%s reason=E%d", q->request_id,
	    query_shard_object(s)->name, reason);
	if (!--q->pending_count)
		query_end(e, q, 0);
}

void query_cancel_calls(struct engine *e, struct query *q)
{
	for (uint32_t i = 0; i < q->shard_count; i++) {
		struct query_shard *s = &q->shards[i];

		stop_shard_waits(e, s);
		while (s->call_count)
			call_cancel(e, s->calls[0]);
	}
}
