#include "router/internal.h"

#include "common/errors.h"
#include "common/events.h"

/* Interval at which a request that waits is reviewed. */
#define REVIEW_INTERVAL_US (50 * US_PER_MS)
/*
 * Share of the parts of a request that wait, up to which its worth in relation
 * to their work exceeds that of any other request.
 */
#define NEARLY_DONE_SHARE 0.25
/* Share of the goal before their latest start in which such requests go first. */
#define LAST_CHANCE_SHARE 0.5
/* Least slowdown by more urgent requests at which long calls give way. */
#define URGENT_SLOWDOWN 1.01
/* Requests that are refused at most to make room for one. */
#define DISPLACED_MAX 4
/*
 * Parts at the front of a queue that are tried at most without triage, if some
 * of them may not be sent to all leaves.
 */
#define FRONT_MAX 8
/*
 * Different limits on the leaves of waiting parts that are tried at most when a
 * leaf becomes free. Beyond that only parts without limits are.
 */
#define BLOCKED_MAX 8
/*
 * Time for which the drain of a pool is not replaced by that of a part which
 * may not be sent to all leaves: such a part sees some of the capacity only.
 */
#define DRAIN_VALID_US US_PER_S

int64_t request_typical_work(const struct route_request *q)
{
	return MAX(route_stats_typical_duration(q->stats, q->route), 1);
}

int64_t request_whole_work(const struct route_request *q)
{
	return request_typical_work(q) * q->part_count;
}

enum triage_end request_end_of(struct router *r, const struct route_request *q,
			       int64_t wait_us, int64_t work_us)
{
	struct triage_limits limits = {
		.goal_at_us = q->goal_at_us,
		.deadline_us = q->deadline_us,
		.stop_us = stop_last_answer(r),
	};
	struct triage_work work = {
		.wait_us = wait_us,
		.work_us = work_us,
		.least_us = MIN(work_estimate_low(&q->stats->work), work_us),
	};

	if (!r->has_triage)
		return stop_may_start(r, q->stats, q->route) ? TRIAGE_IN_GOAL
							     : TRIAGE_STOPPED;
	if (router_is_stopping(r))
		work.stop_work_us = stop_expected_duration(q->stats, q->route);
	return triage_end_of(&limits, &work, router_now(r));
}

void organisation_stats_unref(gpointer stats)
{
	struct organisation_stats *s = stats;

	if (s && !--s->refs)
		g_free(s);
}

/* Returns a reference to the statistics of an organisation, or NULL. */
static struct organisation_stats *
ref_organisation(struct router *r, const struct organisation *organisation)
{
	struct organisation_stats *s;

	if (!organisation)
		return NULL;
	s = g_hash_table_lookup(r->organisations, organisation->name);
	if (!s) {
		s = g_new0(struct organisation_stats, 1);
		s->refs = 1;
		g_hash_table_insert(r->organisations,
				    g_strdup(organisation->name), s);
	}
	s->refs++;
	return s;
}

/*
 * Returns the class of the work of a request among those of its priority. Calls
 * of other priorities say nothing about the order, and their number changes
 * with the load.
 */
static uint32_t weigh_request(const struct route_request *q)
{
	const struct upstream_pool *pool = q->parts[0].pool;
	uint32_t priority = MIN(q->priority, TRIAGE_PRIORITIES - 1);
	struct route_stats *s = q->stats;
	int64_t work = request_typical_work(q);
	int64_t typical = work_estimate_typical(&pool->priority_work[priority]);

	s->weight = s->has_weight
			    ? triage_weight_after(s->weight, work, typical)
			    : triage_weight(work, typical);
	s->has_weight = true;
	return s->weight;
}

void request_classify(struct router *r, struct route_request *q)
{
	int64_t now = router_now(r);
	struct triage_value *v = &q->value;
	struct triage_class unused = r->class;

	if (!r->has_triage)
		return;
	v->priority = q->priority;
	if (q->part_count)
		v->weight = weigh_request(q);
	v->is_late = request_end_of(r, q, 0,
				    work_estimate_typical(&q->stats->work)) ==
		     TRIAGE_LATE;
	/* The host that sent a batch has counted its request. */
	if (q->is_partial)
		return;
	q->organisation_stats = ref_organisation(r, q->organisation);
	v->is_neglected =
		triage_class_note_offered(&q->stats->class, &r->class, now);
	if (!q->organisation_stats)
		return;
	/* The request is already counted among all. */
	if (triage_class_note_offered(&q->organisation_stats->class, &unused,
				      now))
		v->is_neglected = true;
	v->is_excess = triage_demand_note(&q->organisation_stats->demand,
					  &r->demand,
					  (double)request_whole_work(q), now);
}

bool request_gives_way(struct router *r, const struct route_request *q)
{
	/* The shards of a gather are mostly those of other gathers too. */
	return r->has_triage && !q->is_partial && q->part_count &&
	       !q->value.is_neglected &&
	       triage_class_gives_way(q->parts[0].pool->classes, q->priority,
				      router_now(r));
}

void request_note_class(struct router *r, const struct route_request *q,
			bool is_started)
{
	uint32_t priority = MIN(q->priority, TRIAGE_PRIORITIES - 1);

	if (r->has_triage && !q->is_partial && q->part_count)
		triage_class_note_end(&q->parts[0].pool->classes[priority],
				      is_started, router_now(r));
}

static void note_shortest_goals(struct router *r)
{
	const struct route_table *t = r->table;
	GHashTableIter iter;
	gpointer pool;

	g_hash_table_iter_init(&iter, r->leaves.pools);
	while (g_hash_table_iter_next(&iter, NULL, &pool))
		((struct upstream_pool *)pool)->shortest_goal_us = 0;
	for (uint32_t i = 0; i < t->route_count; i++) {
		const struct route *route = &t->routes[i];

		for (uint32_t k = 0; k < route->target_count; k++) {
			uint32_t at = route->targets[k].upstream;
			struct upstream_pool *p = leaf_set_get_pool(
				&r->leaves, t->upstreams[at].name);

			if (!p->shortest_goal_us ||
			    p->shortest_goal_us > route->goal_us)
				p->shortest_goal_us = route->goal_us;
		}
	}
}

void waiting_apply_table(struct router *r)
{
	GHashTableIter iter;
	gpointer name;

	note_shortest_goals(r);

	g_hash_table_iter_init(&iter, r->organisations);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		if (!route_table_find_organisation(r->table, name))
			g_hash_table_iter_remove(&iter);
	}
}

static uint32_t rank_of(const struct route_request *q)
{
	return triage_rank(&q->value);
}

bool waiting_is_empty(const struct router *r)
{
	return !r->waiting_pools->len;
}

int64_t waiting_work_before(const struct route_part *p)
{
	if (p->entry.order.position)
		return triage_queue_work_ahead(&p->pool->waiting, &p->entry);
	return triage_queue_work_before(&p->pool->waiting, rank_of(p->request));
}

bool waiting_is_long(const struct router *r, const struct route_part *p)
{
	const struct route_request *q = p->request;
	const struct upstream_pool *pool = p->pool;
	uint32_t first =
		MIN(q->priority, TRIAGE_PRIORITIES - 1) * TRIAGE_WEIGHTS;

	/* A neglected request goes first, but its calls are as long. */
	return q->route->goal_us > pool->shortest_goal_us &&
	       request_typical_work(q) > pool->shortest_goal_us &&
	       triage_queue_slowdown(&pool->waiting, first, pool->drain,
				     router_now(r)) > URGENT_SLOWDOWN;
}

double waiting_slowdown(const struct router *r, const struct route_part *p)
{
	return triage_queue_slowdown(&p->pool->waiting, rank_of(p->request),
				     p->pool->drain, router_now(r));
}

int64_t waiting_time(const struct router *r, const struct route_part *p)
{
	int64_t own = request_typical_work(p->request);
	double wait;

	if (p->pool->drain <= 0)
		return 0;
	wait = (double)(waiting_work_before(p) + own) / p->pool->drain *
	       waiting_slowdown(r, p);
	return (int64_t)MIN(wait, (double)WAIT_MAX_US);
}

bool waiting_is_restricted(const struct route_part *p)
{
	const struct route_request *q = p->request;

	return q->is_partial || q->route->regions ||
	       (q->organisation && q->organisation->regions);
}

void waiting_note_drain(struct router *r, const struct route_part *p,
			double work_per_us)
{
	int64_t now = router_now(r);

	if (!waiting_is_restricted(p))
		p->pool->drain_at_us = now;
	else if (now - p->pool->drain_at_us < DRAIN_VALID_US)
		return;
	p->pool->drain = work_per_us;
}

static void note_waiting_pool(struct router *r, struct upstream_pool *pool)
{
	guint last = r->waiting_pools->len;
	bool is_waiting = triage_queue_count(&pool->waiting) > 0;

	if (is_waiting && !pool->waiting_position) {
		g_ptr_array_add(r->waiting_pools, pool);
		pool->waiting_position = last + 1;
	} else if (!is_waiting && pool->waiting_position) {
		struct upstream_pool *moved = r->waiting_pools->pdata[last - 1];

		moved->waiting_position = pool->waiting_position;
		g_ptr_array_remove_index_fast(r->waiting_pools,
					      pool->waiting_position - 1);
		pool->waiting_position = 0;
	}
}

static void enqueue(struct router *r, struct route_part *p)
{
	const struct route_request *q = p->request;
	struct triage_limits limits = { .goal_at_us = q->goal_at_us,
					.deadline_us = q->deadline_us };
	int64_t work = request_typical_work(q);
	struct triage_request in = {
		.rank = rank_of(q),
		.now_us = router_now(r),
		/* Without triage the earliest request goes first. */
		.latest_start_us = r->has_triage
					   ? triage_latest_start(&limits, work)
					   : router_now(r),
		.work_us = work,
		.request_work_us = request_whole_work(q),
		.is_kept = q->value.is_begun || q->value.is_certain ||
			   q->is_partial,
	};

	triage_queue_add(&p->pool->waiting, &p->entry, &in);
	note_waiting_pool(r, p->pool);
}

static void handle_review(struct router *r, struct router_timer *t);

static int64_t latest_start(const struct route_request *q)
{
	struct triage_limits limits = { .goal_at_us = q->goal_at_us,
					.deadline_us = q->deadline_us };

	return triage_latest_start(&limits, request_typical_work(q));
}

/* Arms the review for the first moment at which its result may differ. */
static void arm_review(struct router *r, struct route_request *q)
{
	int64_t now = router_now(r);
	int64_t hold = triage_hold_until(q->start_us, q->route->goal_us);
	int64_t latest = latest_start(q);
	int64_t at = now + REVIEW_INTERVAL_US;

	if (now < hold)
		at = MIN(at, hold);
	if (now <= latest)
		at = MIN(at, latest + 1);
	router_timer_arm(r, &q->review_timer, at, handle_review);
}

void waiting_note_taken(struct router *r, const struct route_part *p)
{
	if (!r->has_triage)
		return;
	triage_queue_note_taken(&p->pool->waiting, rank_of(p->request),
				request_typical_work(p->request),
				router_now(r));
}

void waiting_add(struct router *r, struct route_part *p)
{
	p->phase = PART_WAITING;
	waiting_note_taken(r, p);
	enqueue(r, p);
	if (r->has_triage && !p->request->review_timer.node.position)
		arm_review(r, p->request);
}

void waiting_remove(struct router *r, struct route_part *p)
{
	triage_queue_remove(&p->pool->waiting, &p->entry);
	note_waiting_pool(r, p->pool);
}

void request_note_begun(struct router *r, struct route_request *q)
{
	int64_t now = router_now(r);

	if (q->value.is_begun)
		return;
	q->value.is_begun = true;
	if (!r->has_triage)
		return;
	request_note_class(r, q, true);
	if (!q->is_partial) {
		bool was_first = q->value.is_neglected;

		triage_class_note_started(&q->stats->class, was_first, now);
		triage_class_note_started(&r->class, was_first, now);
		if (q->organisation_stats)
			triage_class_note_started(&q->organisation_stats->class,
						  was_first, now);
	}
	for (uint32_t i = 0; i < q->part_count; i++) {
		struct route_part *p = &q->parts[i];

		if (p->phase != PART_WAITING || !p->entry.order.position)
			continue;
		triage_queue_keep(&p->pool->waiting, &p->entry);
		if (p->entry.rank != rank_of(q))
			enqueue(r, p);
	}
}

static uint32_t count_waiting(const struct route_request *q)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < q->part_count; i++)
		count += q->parts[i].entry.order.position != 0;
	return count;
}

static void enqueue_again(struct router *r, struct route_request *q)
{
	for (uint32_t i = 0; i < q->part_count; i++) {
		if (q->parts[i].entry.order.position)
			enqueue(r, &q->parts[i]);
	}
}

/*
 * Raises the rank of a request of which few parts still wait, when they must
 * start soon for an answer within the goal.
 */
static void raise_nearly_done(struct router *r, struct route_request *q)
{
	if (q->value.is_nearly_done || q->is_partial || !q->value.is_begun ||
	    (double)(latest_start(q) - router_now(r)) >
		    LAST_CHANCE_SHARE * (double)q->route->goal_us ||
	    count_waiting(q) > NEARLY_DONE_SHARE * q->part_count)
		return;
	q->value.is_nearly_done = true;
	enqueue_again(r, q);
}

void waiting_log(const struct router *r, const struct route_request *q)
{
	const struct route_part *worst = NULL;
	int64_t longest = -1;

	if (!r->has_triage)
		return;
	for (uint32_t i = 0; i < q->part_count; i++) {
		const struct route_part *p = &q->parts[i];
		int64_t wait;

		if (!p->entry.order.position)
			continue;
		wait = waiting_time(r, p);
		if (wait <= longest)
			continue;
		longest = wait;
		worst = p;
	}
	if (!worst)
		return;
	event_log(EV_REQUEST_WAITS,
		  "request=%s route=%s parts=%u of=%u service=%s rank=%u "
		  "wait_ms=%lld work_ms=%lld left_ms=%lld waiting=%u",
		  q->request_id, q->route->name, count_waiting(q),
		  q->part_count, worst->pool->name, worst->entry.rank,
		  (long long)(longest / US_PER_MS),
		  (long long)(request_typical_work(q) / US_PER_MS),
		  (long long)((q->goal_at_us - router_now(r)) / US_PER_MS),
		  triage_queue_count(&worst->pool->waiting));
}

static bool may_do_without(const struct route_request *q, uint32_t parts)
{
	return q->route->shape == ROUTE_GATHER &&
	       gather_can_do_without(q, parts);
}

int64_t request_slowest_work(const struct route_request *q)
{
	return MAX(work_estimate_slowest(&q->stats->work, q->part_count),
		   request_typical_work(q));
}

bool waiting_has_room(struct router *r, struct route_request *q)
{
	int64_t work = request_typical_work(q);
	uint32_t late = 0;

	if (!r->has_triage || q->value.is_late || q->is_partial ||
	    q->value.is_begun || q->value.is_certain)
		return true;
	for (uint32_t i = 0; i < q->part_count; i++) {
		struct route_part *p = &q->parts[i];
		int64_t wait;

		if (p->phase != PART_WAITING || !p->entry.order.position)
			continue;
		wait = waiting_time(r, p);
		if (request_end_of(r, q, wait, work) == TRIAGE_IN_GOAL)
			continue;
		if (!late++)
			request_note_figures(r, q, p, wait, work);
	}
	return !late || may_do_without(q, late);
}

/* Leaves out the parts that can no longer be answered within the goal. */
static void drop_late_parts(struct router *r, struct route_request *q)
{
	uint32_t late = 0;

	for (uint32_t i = 0; i < q->part_count; i++)
		late += q->parts[i].phase == PART_WAITING;
	if (!late || !may_do_without(q, late))
		return;
	event_log(EV_PARTS_LEFT_OUT, "request=%s route=%s parts=%u of=%u",
		  q->request_id, q->route->name, late, q->part_count);
	for (uint32_t i = 0; i < q->part_count; i++) {
		struct route_part *p = &q->parts[i];

		if (p->phase != PART_WAITING)
			continue;
		waiting_remove(r, p);
		p->phase = PART_FAILED;
	}
}

static void demote(struct router *r, struct route_request *q)
{
	q->value.is_late = true;
	enqueue_again(r, q);
}

/* Returns whether parts of other requests wait with those of a request. */
static bool has_competitors(const struct route_request *q)
{
	for (uint32_t i = 0; i < q->part_count; i++) {
		const struct route_part *p = &q->parts[i];

		if (p->phase == PART_WAITING &&
		    triage_queue_count(&p->pool->waiting) > 1)
			return true;
	}
	return false;
}

/*
 * Reviews a request that can no longer start and meet its goal. Returns false
 * if it is gone.
 */
static bool review_late(struct router *r, struct route_request *q)
{
	uint64_t id = q->id;

	if (q->value.is_begun || q->is_partial) {
		drop_late_parts(r, q);
		if (!q->value.is_late)
			demote(r, q);
		request_handle_part_end(r, q);
		return id_table_find(&r->requests, id) == q;
	}
	if (!q->value.is_late && has_competitors(q)) {
		request_refuse(r, q, TRIAGE_GOAL_MISSED);
		return false;
	}
	if (!q->value.is_late)
		demote(r, q);
	if (router_now(r) <= q->plan_until_us)
		return true;
	request_refuse(r, q, TRIAGE_DEADLINE_MISSED);
	return false;
}

static bool has_waiting_parts(const struct route_request *q)
{
	for (uint32_t i = 0; i < q->part_count; i++) {
		if (q->parts[i].phase == PART_WAITING)
			return true;
	}
	return false;
}

/* A later refusal would cost the caller too much of its goal. */
static void note_certain(struct route_request *q)
{
	if (q->value.is_certain)
		return;
	q->value.is_certain = true;
	for (uint32_t i = 0; i < q->part_count; i++)
		triage_queue_keep(&q->parts[i].pool->waiting,
				  &q->parts[i].entry);
}

/* Ends the parts that wait, and the request if its outcome is certain. */
static void fail_waiting_parts(struct router *r, struct route_request *q)
{
	for (uint32_t i = 0; i < q->part_count; i++) {
		struct route_part *p = &q->parts[i];

		if (p->phase != PART_WAITING)
			continue;
		waiting_remove(r, p);
		p->phase = PART_FAILED;
	}
	request_handle_part_end(r, q);
}

/* Returns whether work that starts now ends after the deadline or the stop. */
static bool cannot_end(struct router *r, const struct route_request *q)
{
	enum triage_end end = request_end_of(r, q, 0, request_typical_work(q));

	return end == TRIAGE_TOO_LATE || end == TRIAGE_STOPPED;
}

static void handle_review(struct router *r, struct router_timer *t)
{
	struct route_request *q =
		HEAP_OWNER(t, struct route_request, review_timer);

	if (!has_waiting_parts(q))
		return;
	if (!recheck_caller(r, q)) {
		fail_waiting_parts(r, q);
		return;
	}
	if (cannot_end(r, q)) {
		if (q->value.is_begun || q->is_partial)
			fail_waiting_parts(r, q);
		else
			request_refuse(r, q, TRIAGE_DEADLINE_MISSED);
		return;
	}
	if (router_now(r) > latest_start(q)) {
		if (!review_late(r, q))
			return;
	} else if (!waiting_has_room(r, q)) {
		request_refuse(r, q, TRIAGE_NO_ROOM);
		return;
	}
	raise_nearly_done(r, q);
	if (router_now(r) >= triage_hold_until(q->start_us, q->route->goal_us))
		note_certain(q);
	arm_review(r, q);
}

static struct route_part *part_of_entry(struct triage_entry *e)
{
	return HEAP_OWNER(e, struct route_part, entry);
}

static struct route_part *part_of_refusal(const struct upstream_pool *pool)
{
	struct triage_entry *e = triage_queue_cheapest(&pool->waiting);

	return e ? part_of_entry(e) : NULL;
}

/* Returns whether the refusal of an entry may make room for a part. */
static bool may_displace(const struct route_part *victim,
			 const struct route_part *p)
{
	const struct route_request *q = p->request;

	/* The refusal of a lower rank makes no room. */
	return victim->request != q && victim->entry.rank <= rank_of(q) &&
	       triage_is_cheaper(&victim->entry, rank_of(q),
				 request_whole_work(q));
}

/*
 * Finds the entries whose refusal lets a part start in time. Returns false if
 * no permitted number of them is enough; none is needed if count is 0.
 */
static bool find_victims(struct router *r, struct route_part *p,
			 struct route_part **victims, uint32_t *count)
{
	struct triage_entry *entries[DISPLACED_MAX];
	uint32_t listed = triage_queue_list_cheapest(&p->pool->waiting, entries,
						     DISPLACED_MAX);
	bool is_enough = part_fits_without(r, p, 0);
	int64_t freed = 0;

	*count = 0;
	while (!is_enough && *count < listed) {
		struct route_part *v = part_of_entry(entries[*count]);

		if (!may_displace(v, p))
			break;
		victims[(*count)++] = v;
		freed += v->entry.work_us;
		is_enough = part_fits_without(r, p, freed);
	}
	return is_enough;
}

bool waiting_may_displace(struct router *r, struct route_part *p)
{
	struct route_part *victims[DISPLACED_MAX];
	uint32_t count;

	return find_victims(r, p, victims, &count);
}

bool waiting_displace(struct router *r, struct route_part *p)
{
	struct route_part *victims[DISPLACED_MAX];
	uint32_t count;

	if (!find_victims(r, p, victims, &count))
		return false;
	for (uint32_t i = 0; i < count; i++)
		request_refuse(r, victims[i]->request, TRIAGE_DISPLACED);
	return true;
}

void waiting_shed(struct router *r, struct upstream_pool *pool)
{
	for (uint32_t i = 0; r->has_triage && i < DISPLACED_MAX; i++) {
		struct route_part *v = part_of_refusal(pool);
		int64_t work;
		int64_t wait;

		if (!v || v->request->value.is_late)
			return;
		work = request_typical_work(v->request);
		wait = waiting_time(r, v);
		if (v->request->is_updating_parts ||
		    request_end_of(r, v->request, wait, work) == TRIAGE_IN_GOAL)
			return;
		if (waiting_has_room(r, v->request))
			return;
		request_refuse(r, v->request, TRIAGE_DISPLACED);
	}
}

/* Starts parts in the order of their arrival, without triage. */
static void start_in_order(struct router *r, struct upstream_pool *pool)
{
	uint32_t at = 0;

	while (at < FRONT_MAX) {
		struct triage_entry *e = triage_queue_at(&pool->waiting, at);
		struct route_part *p;

		if (!e)
			return;
		p = part_of_entry(e);
		switch (part_try_first(r, p)) {
		case PART_BLOCKED:
			if (!waiting_is_restricted(p))
				return;
			at++;
			break;
		case PART_HOPELESS:
			request_handle_part_end(r, p->request);
			at = 0;
			break;
		case PART_STARTED:
		case PART_REFUSED:
			at = 0;
			break;
		}
	}
}

/* Limits on the leaves of a part: parts with the same are blocked alike. */
struct part_limits {
	uint64_t regions;
	bool is_partial;
	bool is_long;
};

static struct part_limits limits_of(struct router *r,
				    const struct route_part *p)
{
	return (struct part_limits){
		.regions = leaf_access_part_regions(r, p),
		.is_partial = p->request->is_partial,
		.is_long = waiting_is_long(r, p),
	};
}

static bool has_limits(const struct part_limits *l)
{
	return l->regions != REGIONS_ALL || l->is_partial || l->is_long;
}

static bool is_blocked(struct router *r, const struct route_part *p,
		       const struct part_limits *blocked, uint32_t count)
{
	struct part_limits l = limits_of(r, p);

	for (uint32_t i = 0; i < count; i++) {
		if (l.regions == blocked[i].regions &&
		    l.is_partial == blocked[i].is_partial &&
		    l.is_long == blocked[i].is_long)
			return true;
	}
	return count == BLOCKED_MAX && has_limits(&l);
}

/* Returns the first waiting part whose limits are not known to block it. */
static struct route_part *first_unblocked(struct router *r,
					  struct upstream_pool *pool,
					  const struct part_limits *blocked,
					  uint32_t count)
{
	struct triage_entry *first = triage_queue_first(&pool->waiting);

	/* Without blocked parts there is no need to look at all entries. */
	for (uint32_t i = 0; count && i < triage_queue_count(&pool->waiting);
	     i++) {
		struct triage_entry *e = triage_queue_at(&pool->waiting, i);

		if (!i)
			first = NULL;
		if ((!first || e->order.key < first->order.key) &&
		    !is_blocked(r, part_of_entry(e), blocked, count))
			first = e;
	}
	return first ? part_of_entry(first) : NULL;
}

void waiting_start_pool(struct router *r, struct upstream_pool *pool)
{
	struct part_limits blocked[BLOCKED_MAX];
	struct part_limits limits;
	uint32_t count = 0;
	struct route_part *p;

	if (!r->has_triage) {
		start_in_order(r, pool);
		return;
	}
	while ((p = first_unblocked(r, pool, blocked, count))) {
		switch (part_try_first(r, p)) {
		case PART_BLOCKED:
			limits = limits_of(r, p);
			/* The attempt may have made the call a long one. */
			if (!has_limits(&limits) || count == BLOCKED_MAX)
				return;
			blocked[count++] = limits;
			break;
		case PART_HOPELESS:
			request_handle_part_end(r, p->request);
			break;
		case PART_STARTED:
		case PART_REFUSED:
			break;
		}
	}
}

void waiting_start_all(struct router *r)
{
	/* The end of a request may take several pools out of the list. */
	for (guint i = r->waiting_pools->len; i > 0; i--) {
		if (i <= r->waiting_pools->len)
			waiting_start_pool(r, r->waiting_pools->pdata[i - 1]);
	}
}

bool waiting_has_rival(const struct router *r, const struct route_part *p)
{
	const struct triage_entry *first =
		triage_queue_first(&p->pool->waiting);
	struct triage_value value = p->request->value;

	value.is_nearly_done = false;
	return r->has_triage && first && first->rank <= triage_rank(&value);
}

static enum triage_end end_of_way(struct router *r, const struct route *route,
				  const struct router_way *way)
{
	struct route_stats *s = route_stats_get(r, route);
	int64_t now = router_now(r);
	struct triage_limits limits = {
		.goal_at_us = now + way->goal_us,
		.deadline_us = now + way->wait_us,
		.stop_us = stop_last_answer(r),
	};
	struct triage_work work = {
		.wait_us = way->way_us,
		.work_us = work_estimate_typical(&s->work),
		.least_us = work_estimate_low(&s->work),
	};

	if (router_is_stopping(r))
		work.stop_work_us = stop_expected_duration(s, route);
	return triage_end_of(&limits, &work, now);
}

bool router_may_forward(struct router *r, const struct route *route,
			const struct router_way *way)
{
	struct router_way without_hop = *way;
	enum triage_end end;

	if (!r->has_triage)
		return true;
	end = end_of_way(r, route, way);
	if (end != TRIAGE_LATE)
		return end == TRIAGE_IN_GOAL;
	/* Without the way the request may still meet its goal. */
	without_hop.way_us = 0;
	return end_of_way(r, route, &without_hop) == TRIAGE_LATE;
}

bool router_hands_back(const struct router *r, const struct router_answer *a)
{
	return r->has_triage && a->status == 503 && a->code == -ERR_ROUTE_LATE;
}

bool router_may_retry_forward(struct router *r, const struct route *route,
			      const struct router_way *way)
{
	return r->has_triage && end_of_way(r, route, way) == TRIAGE_IN_GOAL;
}
