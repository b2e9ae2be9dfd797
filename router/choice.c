#include "router/internal.h"

#include <math.h>
#include <string.h>

#include "common/events.h"

/* Weight of a new sample in the smoothed duration of a leaf's calls. */
#define DURATION_WEIGHT 0.2
/* Weight of a new sample in the smoothed share of failures. */
#define FAILURE_WEIGHT 0.15
/*
 * A deviation from the usual duration loses half of its weight in this time. A
 * leaf that has only paused must be used again soon: the other leaves may be in
 * another region.
 */
#define DURATION_HALF_LIFE_US (600 * US_PER_MS)
/* A failure rate loses half of its weight in this time without calls. */
#define FAILURE_HALF_LIFE_US (2 * US_PER_S)
/* Age at which a leaf's reported load counts half. */
#define LOAD_HALF_LIFE_US (200 * US_PER_MS)
/*
 * Time by which a leaf in another failure domain or region must be better:
 * traffic between them is paid for by the byte.
 */
#define DOMAIN_PENALTY_US (15 * US_PER_MS)
#define REGION_PENALTY_US (35 * US_PER_MS)
/*
 * Largest difference between equal leaves that comes from the host itself. Each
 * host keeps to some of them, so that a leaf holds few connections.
 */
#define PREFERENCE_SHARE 0.3
/* A failed call costs about as much as this many good ones. */
#define FAILURE_COST 6.0
/* Cost of a leaf that has just started and is still slow. */
#define WARM_UP_COST 1.5
/* A leaf is taken as stalled once its oldest call is late by this factor. */
#define STALL_FACTOR 1.5
#define STALL_COST 8.0
/* The window of a leaf shrinks at most once in this time. */
#define SHRINK_INTERVAL_US (60 * US_PER_MS)
#define SHRINK_QUEUE 0.8
#define SHRINK_SHED 0.6
#define GROW_CALLS 0.5
/* A leaf that refused a call for want of room gets none for this long. */
#define FULL_US (40 * US_PER_MS)
/* A call that has not come back is taken to last this much longer. */
#define LATE_FACTOR 2
#define EJECT_FAILURES 3
#define EJECT_FIRST_US (400 * US_PER_MS)
#define EJECT_MAX_US (3 * US_PER_S)
/*
 * An ejected leaf may serve this often if there is no other. Requests between
 * are refused at once: most of them would fail after other leaves have worked.
 */
#define PROBE_INTERVAL_US (150 * US_PER_MS)

static double decay(int64_t age_us, int64_t half_life_us)
{
	return exp2(-(double)MAX(age_us, 0) / (double)half_life_us);
}

static double failure_rate(const struct route_leaf *leaf, int64_t now)
{
	return leaf->failure_rate *
	       decay(now - leaf->failed_at_us, FAILURE_HALF_LIFE_US);
}

static struct leaf_duration *find_duration(struct route_leaf *leaf,
					   const struct route_stats *route)
{
	for (uint32_t i = 0; i < leaf->duration_count; i++) {
		if (leaf->durations[i].route == route)
			return &leaf->durations[i];
	}
	return NULL;
}

static double in_system(const struct route_leaf *leaf, int64_t now)
{
	return (double)leaf->calls.length +
	       leaf->others *
		       decay(now - leaf->reported_at_us, LOAD_HALF_LIFE_US);
}

static bool is_stalled(const struct route_leaf *leaf, int64_t now)
{
	const struct leaf_call *c = g_queue_peek_head((GQueue *)&leaf->calls);

	return c && c->late_after_us &&
	       (double)(now - c->start_us) >
		       STALL_FACTOR * (double)c->late_after_us;
}

/* Expected duration of a call, with the wait for a slot. */
static double expected_us(struct route_leaf *leaf,
			  const struct route_stats *route, double typical,
			  int64_t now)
{
	const struct leaf_duration *d = find_duration(leaf, route);
	double work = typical;
	double slots = MAX(leaf->entry.slots, 1);
	double busy = in_system(leaf, now);
	double wait = MAX(0, busy + 1 - slots) / slots;

	if (d)
		work += (d->mean_us - typical) *
			decay(now - d->at_us, DURATION_HALF_LIFE_US);
	if (now < leaf->warm_at_us)
		work *= WARM_UP_COST;
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

static bool is_tried(const struct route_part *p, const struct route_leaf *leaf)
{
	for (uint32_t i = 0; i < p->tried_count; i++) {
		if (p->tried[i] == leaf)
			return true;
	}
	return false;
}

/* Most calls of this host at one leaf, below its limit of connections. */
static double window_max(const struct route_leaf *leaf)
{
	uint32_t share = leaf->pool->max_connections / 8;

	return CLAMP(share, 2, 64);
}

static bool is_busy(const struct route_leaf *leaf, int64_t now)
{
	return now < leaf->full_until_us ||
	       leaf->calls.length >= MIN(leaf->window, window_max(leaf));
}

static bool is_ejected(const struct route_leaf *leaf, int64_t now)
{
	return now < leaf->ejected_until_us;
}

static bool may_choose(const struct route_part *p,
		       const struct route_leaf *leaf, int64_t now)
{
	if (!route_leaf_is_usable(leaf, now) ||
	    (p->request->is_partial && leaf->distance != LEAF_SAME_DOMAIN))
		return false;
	return !is_ejected(leaf, now) ||
	       now - leaf->probed_at_us >= PROBE_INTERVAL_US;
}

void leaf_note_sent(struct router *r, struct route_leaf *leaf)
{
	leaf->probed_at_us = router_now(r);
}

/* The wait for a leaf of a pool whose windows are all in use. */
static int64_t expected_wait(const struct upstream_pool *pool, double capacity,
			     double call_us)
{
	return (int64_t)(call_us * (pool->waiting + 1) / MAX(capacity, 1));
}

struct leaf_choice leaf_choose(struct router *r, const struct route_part *part)
{
	struct route_stats *stats = part->request->stats;
	double typical =
		(double)route_stats_typical(stats, part->request->route);
	int64_t now = router_now(r);
	struct leaf_choice choice = { 0 };
	double best = INFINITY;
	bool is_best_last_resort = true;
	double least_busy = INFINITY;
	double capacity = 0;

	for (guint i = 0; i < part->pool->leaves->len; i++) {
		struct route_leaf *leaf = part->pool->leaves->pdata[i];
		bool is_last_resort = is_ejected(leaf, now) ||
				      leaf->phase != LEAF_IN_SERVICE;
		double expected;
		double cost;

		if (!may_choose(part, leaf, now))
			continue;
		choice.usable++;
		capacity += leaf->window;
		if (is_tried(part, leaf))
			continue;
		if (is_busy(leaf, now)) {
			least_busy = MIN(least_busy, expected_us(leaf, stats,
								 typical, now));
			continue;
		}
		/* Ejected and leaving leaves serve if there is no other. */
		if (is_last_resort && !is_best_last_resort)
			continue;
		expected = expected_us(leaf, stats, typical, now);
		cost = cost_us(leaf, expected, now);
		if (is_best_last_resort == is_last_resort && cost >= best)
			continue;
		best = cost;
		is_best_last_resort = is_last_resort;
		choice.leaf = leaf;
		choice.expected_us = (int64_t)expected;
	}
	if (!choice.leaf && least_busy < INFINITY) {
		choice.is_busy = true;
		choice.expected_us = (int64_t)least_busy;
		choice.wait_us =
			expected_wait(part->pool, capacity, least_busy);
	}
	return choice;
}

static void note_duration(struct route_leaf *leaf,
			  const struct route_stats *route, int64_t us,
			  int64_t now)
{
	struct leaf_duration *d = find_duration(leaf, route);

	if (!d) {
		d = &leaf->durations[leaf->duration_next++ % LEAF_ROUTES_MAX];
		leaf->duration_count =
			MIN(leaf->duration_count + 1, LEAF_ROUTES_MAX);
		d->route = route;
		d->mean_us = (double)us;
	}
	d->mean_us += DURATION_WEIGHT * ((double)us - d->mean_us);
	d->at_us = now;
}

static void note_failure(struct route_leaf *leaf, bool is_failure, int64_t now)
{
	double rate = failure_rate(leaf, now);

	leaf->failure_rate = rate + FAILURE_WEIGHT * (is_failure - rate);
	leaf->failed_at_us = now;
}

static void shrink_window(struct route_leaf *leaf, double factor, int64_t now)
{
	if (now - leaf->shrunk_at_us < SHRINK_INTERVAL_US)
		return;
	leaf->shrunk_at_us = now;
	leaf->window = MAX(1, MIN(leaf->window, leaf->calls.length) * factor);
}

/*
 * Keeps the queue of a leaf short: what waits there is late for all hosts, and
 * cannot go to another leaf any more.
 */
static void adapt_window(struct route_leaf *leaf,
			 const struct router_result *result, int64_t now)
{
	if (result->outcome == CALL_NOT_RUN) {
		leaf->full_until_us = now + FULL_US;
		shrink_window(leaf, SHRINK_SHED, now);
	} else if (!result->load.is_known) {
		return;
	} else if (2 * result->load.waiting > leaf->entry.slots) {
		shrink_window(leaf, SHRINK_QUEUE, now);
	} else if (!result->load.waiting &&
		   leaf->calls.length >= leaf->window) {
		leaf->window = MIN(leaf->window + GROW_CALLS, window_max(leaf));
	}
}

static void eject(struct route_leaf *leaf, int64_t now)
{
	int64_t time = EJECT_FIRST_US;

	for (uint32_t i = EJECT_FAILURES; i < leaf->failures_in_row; i++)
		time = MIN(2 * time, EJECT_MAX_US);
	leaf->ejected_until_us = now + time;
	leaf->probed_at_us = now;
	event_log(EV_LEAF_EJECTED, "leaf=%s failures=%u for_ms=%lld",
		  leaf->entry.id, leaf->failures_in_row,
		  (long long)(time / US_PER_MS));
}

void leaf_note_result(struct router *r, struct leaf_call *c,
		      const struct router_result *result)
{
	struct route_leaf *leaf = c->leaf;
	int64_t now = router_now(r);
	bool is_failure = false;

	if (result->load.is_known) {
		double others = (double)result->load.running +
				(double)result->load.waiting -
				(double)leaf->calls.length;

		leaf->others = MAX(0, others);
		leaf->reported_at_us = now;
	}
	adapt_window(leaf, result, now);
	switch (result->outcome) {
	case CALL_ANSWERED:
	case CALL_DECLINED:
		note_duration(leaf, c->stats, now - c->start_us, now);
		leaf->failures_in_row = 0;
		leaf->ejected_until_us = 0;
		break;
	case CALL_NOT_RUN:
	case CALL_FAILURE:
		is_failure = true;
		break;
	case CALL_MISDIRECTED:
		/*
		 * The address belongs to another leaf. Every further call would
		 * count as an extra call to that leaf's service.
		 */
		leaf_set_lose(leaf, now);
		break;
	case CALL_NOT_SENT:
	case CALL_BROKEN:
		is_failure = true;
		leaf->failures_in_row++;
		break;
	}
	note_failure(leaf, is_failure, now);
	if (leaf->failures_in_row >= EJECT_FAILURES ||
	    (result->outcome == CALL_NOT_SENT && leaf->failures_in_row >= 2))
		eject(leaf, now);
}

void leaf_note_late(struct router *r, const struct route_part *p)
{
	const struct route_request *q = p->request;
	int64_t now = router_now(r);

	/* One pause of a leaf says little: begin with the usual duration. */
	if (!find_duration(p->planned, q->stats))
		note_duration(p->planned, q->stats,
			      route_stats_typical(q->stats, q->route), now);
	note_duration(p->planned, q->stats, LATE_FACTOR * (now - q->start_us),
		      now);
}
