#include "router/triage.h"

#include <glib.h>
#include <math.h>

#include "common/clock.h"

/*
 * Weight of a sample of the work: a function of the time since the last one, so
 * that an estimate follows within seconds whatever the rate of the calls.
 */
#define WORK_HALF_LIFE_US (2 * US_PER_S)
#define WORK_WEIGHT_MIN 0.05
#define WORK_WEIGHT_MAX 0.3
/* Samples before an estimate is used. */
#define WORK_SAMPLES_MIN 4
/* Spread assumed with the first sample, as a logarithm. */
#define WORK_FIRST_SPREAD 0.3
/*
 * Mean absolute deviations above the mean at which the slowest of 2 calls, and
 * of each further doubling, is expected.
 */
#define SLOWEST_STEP 0.5
/* Mean absolute deviations above the mean that few calls exceed. */
#define HIGH_SPREADS 2
/* Calls ahead may be longer than the call itself by this factor. */
#define SHORTEST_FACTOR 3
#define TRIAL_INTERVAL_US (250 * US_PER_MS)

/*
 * Requests that end refused and were never offered to a leaf must not have been
 * held for a quarter of their goal; most refusals are due within 100 ms.
 */
#define HOLD_GOAL_SHARE 0.2
#define HOLD_MAX_US (90 * US_PER_MS)

#define CLASS_HALF_LIFE_US (5 * US_PER_S)
/*
 * Share of the success of all requests that each class reaches. Less than a
 * quarter is not permitted, and some started requests end without success.
 */
#define CLASS_FLOOR 0.3
/*
 * Half-life of the shares that are compared with the floor. With 5 s, the share
 * of all requests before an overload counts for most of its first 10 s.
 */
#define FLOOR_HALF_LIFE_US US_PER_S
#define CREDIT_MAX 2.0
/*
 * Requests of a more urgent class that must be known to give way to it, and the
 * difference between the shares of started requests that is tolerated: 0.05 is
 * not permitted.
 */
#define CLASS_KNOWN_MIN 5.0
#define CLASS_TOLERANCE 0.02
/* Share of started requests below which repetitions are mostly refused. */
#define SCARCE_SHARE 0.5

/* Half-life of the work that each rank takes, and its largest share. */
#define TAKEN_HALF_LIFE_US (500 * US_PER_MS)
#define TAKEN_SHARE_MAX 0.8

#define RECENT_HALF_LIFE_US (2 * US_PER_S)
#define USUAL_HALF_LIFE_US (300 * US_PER_S)
/* An organisation may exceed its usual share by this factor. */
#define EXCESS_FACTOR 1.5
/* Share of the excess that counts as usual demand. */
#define EXCESS_WEIGHT 0.1
/* Time and requests for which the allowed work accumulates. */
#define ALLOWED_TIME_US (2 * US_PER_S)
#define ALLOWED_REQUESTS 4
/* No history is long enough to tell what is usual. */
#define USUAL_MIN_US (10 * US_PER_S)

/* Ranks of the requests within their usual demand, without late ones. */
#define USUAL_RANKS (TRIAGE_PRIORITIES * TRIAGE_WEIGHTS)
#define LATE_RANK (TRIAGE_RANKS - 1)
/* Work that is this much above or below that of a typical call. */
#define WEIGHT_FACTOR 1.5
/* Factor beyond a bound at which the class of the work of a route changes. */
#define WEIGHT_HYSTERESIS 1.25
/*
 * An entry that has waited for this time goes before newer entries of the next
 * better rank.
 */
#define RANK_AGE_US US_PER_S
/* Bits of the work in the key of the heap of refusals. */
#define REFUSAL_WORK_BITS 40

static double decay(int64_t age_us, int64_t half_life_us)
{
	return exp2(-(double)MAX(age_us, 0) / (double)half_life_us);
}

void work_estimate_add(struct work_estimate *e, int64_t work_us, int64_t now_us)
{
	double sample = log((double)MAX(work_us, 1));
	double weight = 1 - decay(now_us - e->at_us, WORK_HALF_LIFE_US);

	weight = CLAMP(weight, WORK_WEIGHT_MIN, WORK_WEIGHT_MAX);
	if (!e->count++) {
		e->mean_log = sample;
		e->average_us = (double)work_us;
		e->spread_log = WORK_FIRST_SPREAD;
	} else {
		/* The first samples have equal weights. */
		weight = MAX(weight, 1 / (double)e->count);
		e->spread_log +=
			weight * (fabs(sample - e->mean_log) - e->spread_log);
		e->mean_log += weight * (sample - e->mean_log);
		e->average_us += weight * ((double)work_us - e->average_us);
	}
	e->mean_us = (int64_t)exp(e->mean_log);
	e->at_us = now_us;
}

static int64_t estimate_at(const struct work_estimate *e, double spreads)
{
	if (e->count < WORK_SAMPLES_MIN)
		return 0;
	return (int64_t)exp(e->mean_log + spreads * e->spread_log);
}

int64_t work_estimate_low(const struct work_estimate *e)
{
	return estimate_at(e, -1);
}

int64_t work_estimate_typical(const struct work_estimate *e)
{
	return e->count < WORK_SAMPLES_MIN ? 0 : e->mean_us;
}

int64_t work_estimate_average(const struct work_estimate *e)
{
	return e->count < WORK_SAMPLES_MIN ? 0 : (int64_t)e->average_us;
}

int64_t work_estimate_high(const struct work_estimate *e)
{
	return estimate_at(e, HIGH_SPREADS);
}

int64_t work_estimate_slowest(const struct work_estimate *e, uint32_t calls)
{
	return estimate_at(e, SLOWEST_STEP * log2(MAX(calls, 1)));
}

bool work_estimate_may_try(struct work_estimate *e, int64_t now_us)
{
	if (now_us < e->next_trial_us)
		return false;
	e->next_trial_us = now_us + TRIAL_INTERVAL_US;
	return true;
}

int64_t triage_work_of_call(int64_t duration_us, double queued, uint32_t slots,
			    int64_t pool_work_us)
{
	double duration = (double)duration_us;
	double wait = queued * (double)pool_work_us / MAX(slots, 1);

	/* The calls ahead may have been shorter than average. */
	return (int64_t)MAX(duration - wait,
			    duration / (1 + SHORTEST_FACTOR * queued));
}

enum triage_end triage_end_of(const struct triage_limits *l,
			      const struct triage_work *w, int64_t now_us)
{
	int64_t start = now_us + w->wait_us;

	if (l->stop_us != INT64_MAX && start + w->stop_work_us > l->stop_us)
		return TRIAGE_STOPPED;
	if (start + MAX(w->least_us, CALL_TIME_MIN_US) > l->deadline_us)
		return TRIAGE_TOO_LATE;
	return start + w->work_us > MIN(l->goal_at_us, l->deadline_us)
		       ? TRIAGE_LATE
		       : TRIAGE_IN_GOAL;
}

const char *triage_reason_name(enum triage_reason reason)
{
	static const char *const names[TRIAGE_REASONS] = {
		[TRIAGE_NOT_REFUSED] = "none",
		[TRIAGE_NO_ROOM] = "room",
		[TRIAGE_DISPLACED] = "displaced",
		[TRIAGE_GOAL_MISSED] = "goal",
		[TRIAGE_DEADLINE_MISSED] = "deadline",
		[TRIAGE_GAVE_WAY] = "urgent",
	};

	return names[reason];
}

int64_t triage_latest_start(const struct triage_limits *l, int64_t work_us)
{
	return MIN(l->goal_at_us, l->deadline_us) - work_us;
}

int64_t triage_hold_until(int64_t start_us, int64_t goal_us)
{
	return start_us +
	       MIN((int64_t)(HOLD_GOAL_SHARE * (double)goal_us), HOLD_MAX_US);
}

static void decay_class(struct triage_class *c, int64_t half_life_us,
			int64_t now_us)
{
	double factor = decay(now_us - c->at_us, half_life_us);

	c->offered *= factor;
	c->started *= factor;
	c->at_us = now_us;
}

/* Returns whether the class is started as often as the floor requires. */
static bool reaches_floor(const struct triage_class *c,
			  const struct triage_class *all)
{
	return c->started * all->offered >=
	       CLASS_FLOOR * all->started * c->offered;
}

bool triage_class_note_offered(struct triage_class *c, struct triage_class *all,
			       int64_t now_us)
{
	bool is_served;

	decay_class(c, FLOOR_HALF_LIFE_US, now_us);
	decay_class(all, FLOOR_HALF_LIFE_US, now_us);
	if (all->offered >= 1)
		c->credit += CLASS_FLOOR * MIN(all->started / all->offered, 1);
	c->credit = MIN(c->credit, CREDIT_MAX);
	/* Credit also gathers in the gaps between starts at random times. */
	is_served = c->offered > 0 && reaches_floor(c, all);
	c->offered++;
	all->offered++;
	if (is_served || c->credit < 1)
		return false;
	/* Also spent if the request is refused, so that few go first. */
	c->credit--;
	return true;
}

void triage_class_note_started(struct triage_class *c, bool was_first,
			       int64_t now_us)
{
	decay_class(c, FLOOR_HALF_LIFE_US, now_us);
	c->started++;
	if (!was_first)
		c->credit = MAX(c->credit - 1, 0);
}

bool triage_class_is_scarce(const struct triage_class *c)
{
	return c->offered >= CLASS_KNOWN_MIN &&
	       c->started < SCARCE_SHARE * c->offered;
}

void triage_class_note_end(struct triage_class *c, bool is_started,
			   int64_t now_us)
{
	decay_class(c, CLASS_HALF_LIFE_US, now_us);
	c->offered++;
	c->started += is_started;
}

bool triage_class_gives_way(const struct triage_class *classes,
			    uint32_t priority, int64_t now_us)
{
	const struct triage_class *own =
		&classes[MIN(priority, TRIAGE_PRIORITIES - 1)];

	if (own->offered <= 0)
		return false;
	for (const struct triage_class *c = classes; c < own; c++) {
		double known = c->offered *
			       decay(now_us - c->at_us, CLASS_HALF_LIFE_US);

		if (known >= CLASS_KNOWN_MIN &&
		    c->started / c->offered + CLASS_TOLERANCE <
			    own->started / own->offered)
			return true;
	}
	return false;
}

static void decay_demand(struct triage_demand *d, int64_t now_us)
{
	int64_t age = now_us - d->at_us;

	if (!d->first_at_us)
		d->first_at_us = now_us;
	d->recent *= decay(age, RECENT_HALF_LIFE_US);
	d->usual *= decay(age, USUAL_HALF_LIFE_US);
	d->at_us = now_us;
}

/* Returns a rate from a decayed sum that began at first_us. */
static double rate_of(double sum, int64_t half_life_us, int64_t first_us,
		      int64_t now_us)
{
	double window = (1 - decay(now_us - first_us, half_life_us)) *
			(double)half_life_us / G_LN2;

	return sum / MAX(window, (double)US_PER_S);
}

bool triage_demand_note(struct triage_demand *d, struct triage_demand *all,
			double work, int64_t now_us)
{
	int64_t age = now_us - d->at_us;
	double others_recent;
	double others_usual;
	double allowed;
	double growth = 1;
	bool is_first = !d->first_at_us;
	bool is_excess = false;

	decay_demand(d, now_us);
	decay_demand(all, now_us);
	others_recent = rate_of(MAX(all->recent - d->recent, 0),
				RECENT_HALF_LIFE_US, all->first_at_us, now_us);
	others_usual = rate_of(MAX(all->usual - d->usual, 0),
			       USUAL_HALF_LIFE_US, all->first_at_us, now_us);
	if (others_usual > 0)
		growth = MAX(growth, others_recent / others_usual);
	allowed =
		EXCESS_FACTOR * growth *
		rate_of(d->usual, USUAL_HALF_LIFE_US, all->first_at_us, now_us);
	d->allowed += allowed * (double)age;
	d->allowed = MIN(d->allowed, allowed * (double)ALLOWED_TIME_US +
					     ALLOWED_REQUESTS * work);
	/* Nothing tells yet what is usual. */
	if (is_first)
		d->allowed = ALLOWED_REQUESTS * work;
	if (now_us - all->first_at_us > USUAL_MIN_US)
		is_excess = d->allowed < work;
	if (!is_excess)
		d->allowed = MAX(d->allowed - work, 0);
	d->recent += work;
	all->recent += work;
	/* Excess must not soon become usual. */
	if (is_excess)
		work *= EXCESS_WEIGHT;
	d->usual += work;
	all->usual += work;
	return is_excess;
}

uint32_t triage_weight(int64_t work_us, int64_t typical_us)
{
	double work = (double)work_us;
	double typical = (double)typical_us;

	if (work * WEIGHT_FACTOR <= typical)
		return 0;
	return work < typical * WEIGHT_FACTOR ? 1 : 2;
}

uint32_t triage_weight_after(uint32_t previous, int64_t work_us,
			     int64_t typical_us)
{
	double work = (double)work_us;

	if (triage_weight((int64_t)(work * WEIGHT_HYSTERESIS), typical_us) ==
		    previous ||
	    triage_weight((int64_t)(work / WEIGHT_HYSTERESIS), typical_us) ==
		    previous)
		return previous;
	return triage_weight(work_us, typical_us);
}

uint32_t triage_rank(const struct triage_value *v)
{
	uint32_t rank =
		MIN(v->priority, TRIAGE_PRIORITIES - 1) * TRIAGE_WEIGHTS +
		MIN(v->weight, TRIAGE_WEIGHTS - 1);

	/* Little capacity is needed for the worth of a whole request. */
	if (v->is_nearly_done)
		return 0;
	if (v->is_neglected)
		return v->is_excess ? rank : 0;
	if (v->is_late)
		return LATE_RANK;
	return v->is_excess ? USUAL_RANKS + rank : rank;
}

static int64_t refusal_key(uint32_t rank, int64_t request_work_us)
{
	int64_t work = CLAMP(request_work_us, 0,
			     ((int64_t)1 << REFUSAL_WORK_BITS) - 1);

	return -(((int64_t)rank << REFUSAL_WORK_BITS) + work);
}

/* Returns the work of ranks below `end` that is in the queue. */
static int64_t work_below(const struct triage_queue *q, uint32_t end)
{
	int64_t work = 0;

	for (uint32_t i = 0; i < end; i++)
		work += q->added_us[i] - q->removed_us[i];
	return work;
}

/* Returns the work that was removed before and added ahead of an entry. */
static int64_t change_ahead(const struct triage_queue *q, uint32_t rank)
{
	int64_t work = -q->removed_us[rank];

	for (uint32_t i = 0; i < rank; i++)
		work += q->added_us[i] - q->removed_us[i];
	return work;
}

void triage_queue_add(struct triage_queue *q, struct triage_entry *e,
		      const struct triage_request *r)
{
	int64_t slack =
		CLAMP(r->latest_start_us - r->now_us, 0, RANK_AGE_US - 1);

	triage_queue_remove(q, e);
	e->rank = MIN(r->rank, TRIAGE_RANKS - 1);
	e->work_us = r->work_us;
	e->ahead_us = work_below(q, e->rank + 1) - change_ahead(q, e->rank);
	q->added_us[e->rank] += e->work_us;
	heap_push(&q->order, &e->order,
		  r->now_us + (int64_t)e->rank * RANK_AGE_US + slack);
	if (!r->is_kept)
		heap_push(&q->refusal, &e->refusal,
			  refusal_key(e->rank, r->request_work_us));
}

void triage_queue_keep(struct triage_queue *q, struct triage_entry *e)
{
	heap_remove(&q->refusal, &e->refusal);
}

void triage_queue_remove(struct triage_queue *q, struct triage_entry *e)
{
	if (!e->order.position)
		return;
	heap_remove(&q->order, &e->order);
	heap_remove(&q->refusal, &e->refusal);
	q->removed_us[e->rank] += e->work_us;
}

struct triage_entry *triage_queue_first(const struct triage_queue *q)
{
	struct heap_node *n = heap_top(&q->order);

	return n ? HEAP_OWNER(n, struct triage_entry, order) : NULL;
}

struct triage_entry *triage_queue_cheapest(const struct triage_queue *q)
{
	struct heap_node *n = heap_top(&q->refusal);

	return n ? HEAP_OWNER(n, struct triage_entry, refusal) : NULL;
}

uint32_t triage_queue_list_cheapest(const struct triage_queue *q,
				    struct triage_entry **out, uint32_t max)
{
	struct heap_node *nodes[HEAP_LIST_MAX];
	uint32_t count = heap_list(&q->refusal, nodes, max);

	for (uint32_t i = 0; i < count; i++)
		out[i] = HEAP_OWNER(nodes[i], struct triage_entry, refusal);
	return count;
}

int64_t triage_queue_work_before(const struct triage_queue *q, uint32_t rank)
{
	return work_below(q, MIN(rank, TRIAGE_RANKS - 1) + 1);
}

int64_t triage_queue_work_ahead(const struct triage_queue *q,
				const struct triage_entry *e)
{
	int64_t most = work_below(q, e->rank + 1) - e->work_us;

	return CLAMP(e->ahead_us + change_ahead(q, e->rank), 0, MAX(most, 0));
}

struct triage_entry *triage_queue_at(const struct triage_queue *q,
				     uint32_t number)
{
	if (number >= q->order.count)
		return NULL;
	return HEAP_OWNER(q->order.entries[number].node, struct triage_entry,
			  order);
}

bool triage_is_cheaper(const struct triage_entry *e, uint32_t rank,
		       int64_t request_work_us)
{
	return e->refusal.key < refusal_key(rank, request_work_us);
}

void triage_queue_note_taken(struct triage_queue *q, uint32_t rank,
			     int64_t work_us, int64_t now_us)
{
	double factor = decay(now_us - q->taken_at_us, TAKEN_HALF_LIFE_US);

	for (uint32_t i = 0; i < TRIAGE_RANKS; i++)
		q->taken_us[i] *= factor;
	q->taken_us[rank] += (double)work_us;
	q->taken_at_us = now_us;
}

double triage_queue_slowdown(const struct triage_queue *q, uint32_t rank,
			     double work_per_us, int64_t now_us)
{
	double taken = 0;

	for (uint32_t i = 0; i < rank; i++)
		taken += q->taken_us[i];
	if (taken <= 0 || work_per_us <= 0)
		return 1;
	taken *= decay(now_us - q->taken_at_us, TAKEN_HALF_LIFE_US) * G_LN2 /
		 (double)TAKEN_HALF_LIFE_US;
	return 1 / (1 - MIN(taken / work_per_us, TAKEN_SHARE_MAX));
}

uint32_t triage_queue_count(const struct triage_queue *q)
{
	return q->order.count;
}

void triage_queue_clear(struct triage_queue *q)
{
	heap_clear(&q->order);
	heap_clear(&q->refusal);
}
