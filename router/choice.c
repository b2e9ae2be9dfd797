#include "router/internal.h"

#include <math.h>
#include <string.h>

#include "common/events.h"

/* Weight of a new sample in the moving average of the call duration. */
#define DURATION_WEIGHT 0.2
/* Weight of a new sample in the moving average of the failure rate. */
#define FAILURE_WEIGHT 0.15
/*
 * Half-life of the difference between the duration at a leaf and the typical
 * duration of the route. A leaf that only paused must be used again soon: the
 * other leaves may be in another region.
 */
#define DURATION_HALF_LIFE_US (600 * US_PER_MS)
/* Half-life of the failure rate of a leaf that gets no calls. */
#define FAILURE_HALF_LIFE_US (2 * US_PER_S)
/* Half-life of the load that a leaf has reported. */
#define LOAD_HALF_LIFE_US (200 * US_PER_MS)
/* Half-life of the work factor: it changes many times a second. */
#define WORK_FACTOR_HALF_LIFE_US (200 * US_PER_MS)
/*
 * Added to the cost of a leaf in another failure domain or region: traffic
 * between them is charged by the byte.
 */
#define DOMAIN_PENALTY_US (15 * US_PER_MS)
#define REGION_PENALTY_US (35 * US_PER_MS)
/*
 * Maximum relative difference in cost that the constant preference of a host
 * for a leaf makes between equal leaves. Each host mostly calls the leaves that
 * it prefers, so a leaf holds few connections.
 */
#define PREFERENCE_SHARE 0.3
/* A failed call costs about as much as this many successful ones. */
#define FAILURE_COST 6.0
/* Slow start: factor on the expected duration until a leaf has warmed up. */
#define WARM_UP_COST 1.5
/*
 * A leaf counts as stalled when its oldest call has run for this factor times
 * the duration above which a call is late.
 */
#define STALL_FACTOR 1.5
#define STALL_COST 8.0
/* The concurrency limit of a leaf shrinks at most once in this time. */
#define SHRINK_INTERVAL_US (60 * US_PER_MS)
#define SHRINK_QUEUE_FACTOR 0.8
#define SHRINK_REFUSED_FACTOR 0.6
#define GROW_STEP 0.5
/* The same for each round of calls at a leaf that tells no load. */
#define GROW_ROUND_STEP 0.5
/*
 * Share of the shortest goal that less urgent calls may add to the queue of a
 * leaf, and the least slowdown by urgent ones for which this holds.
 */
#define QUEUE_GOAL_SHARE 0.15
#define URGENT_SLOWDOWN 1.05
/* Share of the slots of a leaf that calls longer than this goal may occupy. */
#define LONG_SHARE 0.5
/* A leaf that refused a call as full gets no calls for this time. */
#define FULL_PAUSE_US (40 * US_PER_MS)
/* Share of the shortest goal after which a call tells of longer work. */
#define OVERDUE_GOAL_SHARE 0.5
/* Duration assumed for a call without a reply, as a factor on its age. */
#define LATE_FACTOR 2
#define EJECT_FAILURES 3
#define EJECT_FIRST_US (400 * US_PER_MS)
#define EJECT_MAX_US (3 * US_PER_S)
/* Minimum of the concurrent calls that the leaves of a pool take together. */
#define CAPACITY_MIN 0.01

static double decay(int64_t age_us, int64_t half_life_us)
{
	return exp2(-(double)MAX(age_us, 0) / (double)half_life_us);
}

static double failure_rate(const struct route_leaf *leaf, int64_t now)
{
	return leaf->failure_rate *
	       decay(now - leaf->failure_rate_at_us, FAILURE_HALF_LIFE_US);
}

static struct leaf_duration *find_duration(struct route_leaf *leaf,
					   const struct route_stats *route)
{
	for (uint32_t i = 0; i < leaf->duration_count; i++) {
		if (leaf->durations[i].route_id == route->id)
			return &leaf->durations[i];
	}
	return NULL;
}

/* Estimates the calls of all hosts that run or wait at a leaf. */
static double estimated_load(const struct route_leaf *leaf, int64_t now)
{
	return (double)leaf->calls.length +
	       leaf->other_host_calls *
		       decay(now - leaf->reported_at_us, LOAD_HALF_LIFE_US);
}

double leaf_queued_calls(const struct route_leaf *leaf, int64_t now_us)
{
	double slots = MAX(leaf->entry.slots, 1);

	return MAX(estimated_load(leaf, now_us) - slots, 0);
}

static bool is_stalled(const struct route_leaf *leaf, int64_t now)
{
	const struct leaf_call *c = g_queue_peek_head((GQueue *)&leaf->calls);

	return c && c->late_after_us &&
	       (double)(now - c->start_us) >
		       STALL_FACTOR * (double)c->late_after_us;
}

double leaf_work_factor(const struct route_leaf *leaf, int64_t now_us)
{
	if (!leaf->work_factor)
		return 1;
	return 1 +
	       (leaf->work_factor - 1) * decay(now_us - leaf->work_factor_at_us,
					       WORK_FACTOR_HALF_LIFE_US);
}

/*
 * Returns the duration that a call of a route which still runs at a leaf lets
 * expect. Without it, a route whose work has changed tenfold fills all slots
 * before the first of its calls ends.
 */
static double overdue_us(const struct router *r, const struct route_leaf *leaf,
			 const struct route_stats *route, int64_t now)
{
	double shortest = (double)leaf->pool->shortest_goal_us;

	if (!r->has_triage)
		return 0;
	for (const GList *l = leaf->calls.head; l; l = l->next) {
		const struct leaf_call *c = l->data;
		double age = (double)(now - c->start_us);

		if (age <= OVERDUE_GOAL_SHARE * shortest)
			return 0;
		/* An explanation asks with a copy of the statistics. */
		if (c->stats->id == route->id)
			return LATE_FACTOR * age;
	}
	return 0;
}

/*
 * Returns the expected duration of a call, with the wait for a slot and up to
 * 30 % more as the slots fill up.
 */
static double expected_us(const struct router *r, struct route_leaf *leaf,
			  const struct route_stats *route, double typical,
			  int64_t now)
{
	const struct leaf_duration *d = find_duration(leaf, route);
	double work = typical;
	double slots = MAX(leaf->entry.slots, 1);
	double busy = estimated_load(leaf, now);
	double wait = MAX(0, busy + 1 - slots) / slots;

	if (d)
		work += (d->mean_us - typical) *
			decay(now - d->at_us, DURATION_HALF_LIFE_US);
	work = MAX(work, overdue_us(r, leaf, route, now));
	if (now < leaf->cold_until_us)
		work *= WARM_UP_COST;
	work *= leaf_work_factor(leaf, now);
	return work * (1 + wait + 0.3 * pow(MIN(busy / slots, 1), 2));
}

static double cost_us(struct route_leaf *leaf, double expected, int64_t now)
{
	double cost = expected * (1 + PREFERENCE_SHARE * leaf->preference);

	if (leaf->distance == LEAF_SAME_REGION)
		cost += DOMAIN_PENALTY_US;
	else if (leaf->distance == LEAF_OTHER_REGION)
		cost += REGION_PENALTY_US;
	cost *= 1 + FAILURE_COST * failure_rate(leaf, now);
	if (is_stalled(leaf, now))
		cost *= STALL_COST;
	return cost;
}

/*
 * Returns whether a part keeps out of the queue of a leaf, because more urgent
 * calls of any host behind it would miss their goals.
 */
static bool leaves_room(const struct router *r, const struct route_part *p,
			const struct route_leaf *leaf, int64_t now)
{
	const struct upstream_pool *pool = leaf->pool;
	double slots = MAX(leaf->entry.slots, 1);
	double load = estimated_load(leaf, now);
	double wait = (load + 1 - slots) *
		      (double)work_estimate_typical(&pool->work) / slots;
	double allowed = QUEUE_GOAL_SHARE * (double)pool->shortest_goal_us;

	if (!r->has_triage)
		return false;
	if (waiting_is_long(r, p) && load + 1 > MAX(LONG_SHARE * slots, 1))
		return true;
	return wait > allowed && waiting_slowdown(r, p) > URGENT_SLOWDOWN;
}

/* What leaf_choose() learns of the leaves that it passes over. */
struct passed_over {
	/** Concurrent calls that the usable leaves take together. */
	double capacity;
	/** Shortest expected duration at a busy leaf. */
	double least_busy_us;
	/** Calls a second that the limited leaves without room take together. */
	double limited_per_s;
	/** Shortest wait for a limited leaf, and the duration of a call there. */
	int64_t limited_wait_us;
	double limited_us;
	/** Shortest time after which one of them is warm and not limited. */
	int64_t limited_end_us;
};

/* Returns the concurrent calls at a leaf that its limits allow. */
static double leaf_capacity(struct router *r, struct route_leaf *leaf,
			    double expected, int64_t now)
{
	double per_s = leaf_access_rate_share(r, leaf);

	/* A duration of 0 must not be multiplied by infinity. */
	if (isinf(per_s))
		return leaf->concurrency_limit;
	return MIN(leaf->concurrency_limit, per_s * expected / US_PER_S);
}

/*
 * Notes a leaf whose shared rates leave no room until a time; false if they are
 * not known to leave any.
 */
static bool note_limited(struct router *r, const struct route_part *p,
			 struct passed_over *o, struct route_leaf *leaf,
			 double expected, int64_t until_us)
{
	int64_t now = router_now(r);

	if (until_us == INT64_MAX)
		return false;
	o->limited_per_s += leaf_access_rate_share_of(r, p, leaf);
	if (!leaf->rate.is_limited)
		o->limited_end_us = MIN(o->limited_end_us,
					MAX(leaf->cold_until_us - now, 0));
	if (until_us - now >= o->limited_wait_us)
		return true;
	o->limited_wait_us = until_us - now;
	o->limited_us = expected;
	return true;
}

/* Returns the turn of a part among those that wait, in calls of its work. */
static double part_turn(const struct router *r, const struct route_part *p,
			double own)
{
	if (!r->has_triage)
		return 1 + (double)triage_queue_count(&p->pool->waiting);
	return 1 + (double)waiting_work_before(p) / own;
}

/*
 * Returns the work that the leaves that were passed over start in each
 * microsecond. Their slots hold calls of all routes: with the work of a short
 * part alone, its wait at the leaf makes the rate appear too low.
 */
static double work_rate(const struct route_part *p, const struct passed_over *o,
			double own)
{
	double work = MAX(own, (double)work_estimate_average(&p->pool->work));

	return MAX(o->capacity, CAPACITY_MIN) * work /
	       (work + MAX(o->least_busy_us - own, 0));
}

/* Fills in the wait for the first of the leaves that were passed over. */
static void set_wait(struct router *r, struct leaf_choice *choice,
		     const struct route_part *part, const struct passed_over *o)
{
	double own = (double)request_typical_work(part->request);
	double turn = part_turn(r, part, own);
	double busy = o->least_busy_us * turn / MAX(o->capacity, CAPACITY_MIN);
	double limited = (double)o->limited_wait_us;

	if (r->has_triage && o->least_busy_us < INFINITY)
		busy = own * turn / work_rate(part, o, own);
	if (o->limited_per_s > 0)
		limited = MAX(limited, turn / o->limited_per_s * US_PER_S);
	limited = MIN(limited, (double)o->limited_end_us);
	choice->is_busy = o->least_busy_us < INFINITY ||
			  o->limited_wait_us < INT64_MAX;
	if (!choice->is_busy)
		return;
	if (o->least_busy_us < INFINITY &&
	    (o->limited_wait_us == INT64_MAX || busy <= limited)) {
		choice->wait_us = (int64_t)busy;
		choice->expected_us = (int64_t)o->least_busy_us;
		waiting_note_drain(r, part, own * turn / busy);
		return;
	}
	waiting_note_drain(r, part, own * turn / MAX(limited, 1));
	choice->wait_us = (int64_t)MIN(limited, (double)WAIT_MAX_US);
	choice->expected_us = (int64_t)o->limited_us;
}

struct leaf_choice leaf_choose(struct router *r, const struct route_part *part)
{
	struct route_stats *stats = part->request->stats;
	double typical = (double)route_stats_typical_duration(
		stats, part->request->route);
	int64_t now = router_now(r);
	struct leaf_choice choice = { .cost = INFINITY };
	struct passed_over over = { .least_busy_us = INFINITY,
				    .limited_wait_us = INT64_MAX,
				    .limited_end_us = INT64_MAX };
	bool is_best_last_resort = true;

	for (guint i = 0; i < part->pool->leaves->len; i++) {
		struct route_leaf *leaf = part->pool->leaves->pdata[i];
		struct leaf_access a = leaf_access_check(r, part, leaf, now);
		double expected;
		double cost;

		if (leaf_access_is_barred(a.reason))
			continue;
		expected = expected_us(r, leaf, stats, typical, now);
		if (!a.has_room) {
			if (a.reason != ACCESS_TRIED &&
			    note_limited(r, part, &over, leaf, expected,
					 a.until_us))
				choice.usable_count++;
			continue;
		}
		choice.usable_count++;
		over.capacity += leaf_capacity(r, leaf, expected, now);
		if (a.reason == ACCESS_FULL ||
		    (a.reason == ACCESS_ALLOWED &&
		     leaves_room(r, part, leaf, now))) {
			over.least_busy_us = MIN(over.least_busy_us, expected);
			continue;
		}
		if (a.reason != ACCESS_ALLOWED ||
		    (a.is_last_resort && !is_best_last_resort))
			continue;
		cost = cost_us(leaf, expected, now);
		if (is_best_last_resort == a.is_last_resort &&
		    cost >= choice.cost)
			continue;
		choice.cost = cost;
		is_best_last_resort = a.is_last_resort;
		choice.leaf = leaf;
		choice.expected_us = (int64_t)expected;
	}
	if (!choice.leaf)
		set_wait(r, &choice, part, &over);
	return choice;
}

struct leaf_estimate leaf_estimate(struct router *r,
				   const struct route_part *part,
				   struct route_leaf *leaf)
{
	struct route_stats *stats = part->request->stats;
	double typical = (double)route_stats_typical_duration(
		stats, part->request->route);
	int64_t now = router_now(r);
	double expected = expected_us(r, leaf, stats, typical, now);

	return (struct leaf_estimate){
		.expected_us = (int64_t)expected,
		.cost_us = (int64_t)cost_us(leaf, expected, now),
		.is_left_free = leaves_room(r, part, leaf, now),
	};
}

void leaf_note_wanted(struct router *r, const struct route_part *part,
		      const struct leaf_choice *choice)
{
	struct route_stats *stats = part->request->stats;
	int64_t now = router_now(r);
	double typical;

	if (!leaf_access_has_rates(r))
		return;
	typical = (double)route_stats_typical_duration(stats,
						       part->request->route);
	for (guint i = 0; i < part->pool->leaves->len; i++) {
		struct route_leaf *leaf = part->pool->leaves->pdata[i];
		struct leaf_access a;
		double expected;

		if (!leaf_access_has_rate(r, leaf))
			continue;
		a = leaf_access_check(r, part, leaf, now);
		if (leaf_access_is_barred(a.reason) || a.may_join_batch)
			continue;
		expected = expected_us(r, leaf, stats, typical, now);
		if (cost_us(leaf, expected, now) <= choice->cost)
			leaf_access_note_wanted(r, part, leaf);
	}
}

static void update_duration(struct route_leaf *leaf,
			    const struct route_stats *route, int64_t us,
			    int64_t now)
{
	struct leaf_duration *d = find_duration(leaf, route);

	if (!d) {
		d = &leaf->durations[leaf->duration_next++ % LEAF_ROUTES_MAX];
		leaf->duration_count =
			MIN(leaf->duration_count + 1, LEAF_ROUTES_MAX);
		d->route_id = route->id;
		d->mean_us = (double)us;
	}
	d->mean_us += DURATION_WEIGHT * ((double)us - d->mean_us);
	d->at_us = now;
}

static void update_failure_rate(struct route_leaf *leaf, bool is_failure,
				int64_t now)
{
	double rate = failure_rate(leaf, now);

	leaf->failure_rate = rate + FAILURE_WEIGHT * (is_failure - rate);
	leaf->failure_rate_at_us = now;
}

static void shrink_concurrency_limit(struct route_leaf *leaf, double factor,
				     int64_t now)
{
	if (now - leaf->shrunk_at_us < SHRINK_INTERVAL_US)
		return;
	leaf->shrunk_at_us = now;
	leaf->concurrency_limit = MAX(
		1, MIN(leaf->concurrency_limit, leaf->calls.length) * factor);
}

/*
 * Lets the limit of a leaf that tells no load return to what it began with: the
 * queue at such a leaf is not known, so refusals alone do not raise it again.
 */
static void grow_without_load(struct route_leaf *leaf)
{
	double most = MIN(leaf_set_initial_concurrency(leaf),
			  leaf_access_max_calls(leaf));

	if (leaf->concurrency_limit >= most ||
	    leaf->calls.length < leaf->concurrency_limit)
		return;
	leaf->concurrency_limit =
		MIN(leaf->concurrency_limit +
			    GROW_ROUND_STEP / MAX(leaf->concurrency_limit, 1),
		    most);
}

/*
 * Keeps the queue of a leaf short: calls that wait in it are late for all hosts
 * and cannot move to another leaf.
 */
static void adapt_concurrency_limit(struct route_leaf *leaf,
				    const struct router_result *result,
				    int64_t now)
{
	if (result->outcome == CALL_NOT_RUN) {
		leaf->full_until_us = now + FULL_PAUSE_US;
		shrink_concurrency_limit(leaf, SHRINK_REFUSED_FACTOR, now);
	} else if (!result->load.is_known) {
		if (result->outcome == CALL_ANSWERED)
			grow_without_load(leaf);
	} else if (2 * result->load.waiting > leaf->entry.slots) {
		shrink_concurrency_limit(leaf, SHRINK_QUEUE_FACTOR, now);
	} else if (!result->load.waiting &&
		   leaf->calls.length >= leaf->concurrency_limit) {
		leaf->concurrency_limit =
			MIN(leaf->concurrency_limit + GROW_STEP,
			    leaf_access_max_calls(leaf));
	}
}

static void eject_leaf(struct route_leaf *leaf, int64_t now)
{
	int64_t time = EJECT_FIRST_US;

	for (uint32_t i = EJECT_FAILURES; i < leaf->consecutive_failures; i++)
		time = MIN(2 * time, EJECT_MAX_US);
	leaf->ejected_until_us = now + time;
	leaf->probed_at_us = now;
	event_log(EV_LEAF_EJECTED, "leaf=%s failures=%u for_ms=%lld",
		  leaf->entry.id, leaf->consecutive_failures,
		  (long long)(time / US_PER_MS));
}

/*
 * Returns how long a call would have taken at the usual pace. The duration at a
 * leaf is kept without its work factor, which expected_us() applies anew.
 */
static int64_t usual_duration(const struct router_result *result, int64_t us)
{
	double factor = result->load.work_factor;

	return factor > 0 ? (int64_t)((double)us / factor) : us;
}

static void note_load(struct route_leaf *leaf, const struct leaf_load *load,
		      int64_t now)
{
	double others = (double)load->running + (double)load->waiting -
			(double)leaf->calls.length;

	if (!load->is_known)
		return;
	leaf->other_host_calls = MAX(0, others);
	leaf->reported_at_us = now;
	if (load->work_factor <= 0)
		return;
	leaf->work_factor = load->work_factor;
	leaf->work_factor_at_us = now;
}

void leaf_note_result(struct router *r, struct leaf_call *c,
		      const struct router_result *result)
{
	struct route_leaf *leaf = c->leaf;
	int64_t now = router_now(r);
	bool is_failure = false;

	note_load(leaf, &result->load, now);
	if (result->warm_up.is_known)
		leaf_set_note_warm_up(&r->leaves, leaf, result->warm_up.left_us,
				      now);
	adapt_concurrency_limit(leaf, result, now);
	rates_note_result(r, c, result);
	switch (result->outcome) {
	case CALL_ANSWERED:
	case CALL_DECLINED:
		update_duration(leaf, c->stats,
				usual_duration(result, c->work_us), now);
		leaf->consecutive_failures = 0;
		leaf->ejected_until_us = 0;
		break;
	case CALL_NOT_RUN:
	case CALL_FAILURE:
		is_failure = true;
		break;
	case CALL_MISDIRECTED:
		/*
		 * The address belongs to another leaf. Each further call to it
		 * would count as an extra call to the service of that leaf.
		 */
		route_leaf_lose_address(leaf, now);
		break;
	case CALL_NOT_SENT:
	case CALL_BROKEN:
		is_failure = true;
		leaf->consecutive_failures++;
		break;
	}
	update_failure_rate(leaf, is_failure, now);
	if (leaf->consecutive_failures >= EJECT_FAILURES ||
	    (result->outcome == CALL_NOT_SENT &&
	     leaf->consecutive_failures >= 2))
		eject_leaf(leaf, now);
}

void leaf_note_late(struct router *r, const struct route_part *p)
{
	const struct route_request *q = p->request;
	int64_t now = router_now(r);

	/* Start from the typical duration, so one pause has a small weight. */
	if (!find_duration(p->planned_leaf, q->stats))
		update_duration(
			p->planned_leaf, q->stats,
			route_stats_typical_duration(q->stats, q->route), now);
	update_duration(p->planned_leaf, q->stats,
			LATE_FACTOR * (now - q->start_us), now);
}
