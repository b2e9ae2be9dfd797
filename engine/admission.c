#include "engine/admission.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "common/errors.h"
#include "engine/internal.h"

/*
 * Low, so that the first latencies are measured without queues at the leaves,
 * also if the host starts under overload.
 */
#define INITIAL_LIMIT 8.0
#define MIN_LIMIT 4.0

/* Latency up to this multiple of base_us does not lower the limit. */
#define TOLERANCE 2.0
/* Below this multiple of base_us the limit grows by FAST_GROWTH per window. */
#define UNLOADED_RATIO 1.25
#define FAST_GROWTH 1.25
/* Share of the difference to the target by which one window moves the limit. */
#define LIMIT_SMOOTHING 0.25
/* The limit grows only if peak_in_flight has reached this share of it. */
#define USED_SHARE 0.8

#define WINDOW_US (100 * US_PER_MS)
#define WINDOW_MIN_SAMPLES 8

/*
 * Share of the difference by which a window with a higher median raises
 * base_us. Under load it is small: an overload of 60 s at TOLERANCE times
 * base_us raises base_us by 13%.
 */
#define BASE_RISE_IDLE 0.02
#define BASE_RISE_LOADED 0.0002

/*
 * Quantile of the service's latency that is reserved for the run of a queued
 * query, and the largest share of its deadline that this may take.
 */
#define RUN_TIME_QUANTILE 0.95
#define RUN_TIME_SHARE_MAX 0.5

#define MIN_RETRY_AFTER_US (100 * US_PER_MS)

void admission_pool_init(struct admission_pool *p)
{
	p->limit = INITIAL_LIMIT;
	p->classes = g_ptr_array_new();
}

void admission_pool_clear(struct admission_pool *p)
{
	for (guint i = 0; i < p->classes->len; i++) {
		struct admission_class *c = p->classes->pdata[i];

		heap_clear(&c->queue);
		g_free(c->name);
		g_free(c);
	}
	g_ptr_array_free(p->classes, TRUE);
}

static gint compare_worth(gconstpointer a, gconstpointer b)
{
	const struct admission_class *const *x = a;
	const struct admission_class *const *y = b;

	return (*x)->worth < (*y)->worth ? 1 : -((*x)->worth > (*y)->worth);
}

static struct admission_class *add_class(struct admission_pool *p,
					 const char *name)
{
	struct admission_class *c = g_new0(struct admission_class, 1);

	c->name = g_strdup(name);
	g_ptr_array_add(p->classes, c);
	return c;
}

static struct admission_class *find_class(struct admission_pool *p,
					  const struct class_object *object)
{
	struct admission_class *c = NULL;

	for (guint i = 0; i < p->classes->len && !c; i++) {
		c = p->classes->pdata[i];
		if (strcmp(c->name, object->name))
			c = NULL;
	}
	if (!c)
		c = add_class(p, object->name);
	c->floor_percent = object->floor_percent;
	if (c->worth != object->worth) {
		c->worth = object->worth;
		g_ptr_array_sort(p->classes, compare_worth);
	}
	return c;
}

/* Returns the time reserved for the query to run once it leaves the queue. */
static int64_t estimate_run_time(struct query *q)
{
	int64_t time = latency_quantile(&q->view->services[q->service]->latency,
					RUN_TIME_QUANTILE);

	return MIN(time, (int64_t)(RUN_TIME_SHARE_MAX *
				   (q->deadline_us - q->start_us)));
}

static uint32_t count_ahead(const struct admission_pool *p,
			    const struct admission_class *c)
{
	uint32_t ahead = 0;

	for (guint i = 0; i < p->classes->len; i++) {
		const struct admission_class *other = p->classes->pdata[i];

		if (other->worth >= c->worth)
			ahead += other->queue.count;
	}
	return ahead;
}

static int64_t estimate_wait(struct engine *e, const struct query *q)
{
	const struct admission_pool *p = q->pool;
	const struct admission_class *c = q->class;
	int64_t interval;

	if (!c->queue.count)
		return (int64_t)((count_ahead(p, c) + 1) *
				 (double)p->duration_us / p->limit);
	interval =
		MAX(c->interval_us, (engine_now(e) - c->last_dequeue_us) / 2);
	return (c->queue.count + 1) * interval;
}

static void start_query(struct engine *e, struct query *q)
{
	struct admission_pool *p = q->pool;

	p->in_flight++;
	p->peak_in_flight = MAX(p->peak_in_flight, p->in_flight);
	q->class->in_flight++;
	q->admitted_us = engine_now(e);
	LOG(QUERY_ADMIT, "request=%s class=%s in_flight=%u limit=%.0f",
	    q->request_id, q->class->name, p->in_flight, p->limit);
	query_run(e, q);
}

static void remove_queued(struct engine *e, struct query *q)
{
	heap_remove(&q->class->queue, &q->queued);
	/* The pool may be freed with the view of its last query. */
	if (!--q->pool->queued)
		heap_remove(&e->ready_pools, &q->pool->ready);
}

static void refuse_queued(struct engine *e, struct query *q)
{
	remove_queued(e, q);
	q->retry_after_us = MAX(estimate_wait(e, q), MIN_RETRY_AFTER_US);
	LOG(QUERY_REFUSE, "request=%s code=E%d class=%s queued=%u",
	    q->request_id, ERR_OVERLOAD, q->class->name, q->class->queue.count);
	query_end(e, q, -ERR_OVERLOAD);
}

static void handle_queue_timeout(struct engine *e, struct timer *t)
{
	refuse_queued(e, HEAP_OWNER(t, struct query, timer));
}

/*
 * Makes room in the full query table for a query: refuses a queued query of
 * lower worth. Returns false if there is none.
 */
static bool evict_lower_worth(struct engine *e, const struct query *q)
{
	struct admission_pool *p = q->pool;

	for (guint i = p->classes->len; i-- > 0;) {
		struct admission_class *c = p->classes->pdata[i];
		struct heap_node *top = heap_top(&c->queue);

		if (c->worth >= q->class->worth)
			return false;
		if (!top)
			continue;
		refuse_queued(e, HEAP_OWNER(top, struct query, queued));
		return true;
	}
	return false;
}

static void enqueue_query(struct engine *e, struct query *q)
{
	struct admission_class *c = q->class;

	if (!c->queue.count)
		c->last_dequeue_us = engine_now(e);
	q->phase = QUERY_QUEUED;
	q->pool->queued++;
	heap_push(&c->queue, &q->queued, 0);
	timer_arm(e, &q->timer, q->deadline_us - estimate_run_time(q),
		  handle_queue_timeout);
	LOG(QUERY_QUEUE, "request=%s class=%s queued=%u", q->request_id,
	    c->name, c->queue.count);
}

int admission_submit(struct engine *e, struct query *q, int64_t *wait_us)
{
	struct admission_pool *p = q->pool;

	q->class = find_class(p, &q->view->set->classes[q->class_handle]);
	if (e->queries.count > e->options.max_queries &&
	    !evict_lower_worth(e, q)) {
		*wait_us = MIN_RETRY_AFTER_US;
		return -ERR_OVERLOAD;
	}
	if (!query_has_limits(q) ||
	    (p->in_flight < (uint32_t)p->limit && !p->queued)) {
		start_query(e, q);
		return 0;
	}
	*wait_us = estimate_wait(e, q);
	if (engine_now(e) + *wait_us + estimate_run_time(q) > q->deadline_us) {
		*wait_us = MAX(*wait_us, MIN_RETRY_AFTER_US);
		return -ERR_OVERLOAD;
	}
	*wait_us = 0;
	enqueue_query(e, q);
	return 0;
}

static bool is_below_floor(const struct admission_pool *p,
			   const struct admission_class *c)
{
	return 100.0 * c->in_flight < c->floor_percent * p->limit;
}

/* Chooses the class of highest worth, but classes below their floor first. */
static struct admission_class *choose_class(const struct admission_pool *p)
{
	struct admission_class *first = NULL;

	for (guint i = 0; i < p->classes->len; i++) {
		struct admission_class *c = p->classes->pdata[i];

		if (!c->queue.count)
			continue;
		if (is_below_floor(p, c))
			return c;
		if (!first)
			first = c;
	}
	return first;
}

static void note_dequeue(struct engine *e, struct admission_class *c)
{
	int64_t now = engine_now(e);

	c->interval_us += (now - c->last_dequeue_us - c->interval_us) / 8;
	c->last_dequeue_us = now;
}

static void start_queued(struct engine *e, struct admission_pool *p)
{
	struct admission_class *c = choose_class(p);
	struct query *q = HEAP_OWNER(heap_top(&c->queue), struct query, queued);

	remove_queued(e, q);
	note_dequeue(e, c);
	start_query(e, q);
}

bool admission_run_next(struct engine *e)
{
	struct heap_node *top = heap_top(&e->ready_pools);
	struct admission_pool *p;

	if (!top)
		return false;
	p = HEAP_OWNER(top, struct admission_pool, ready);
	heap_remove(&e->ready_pools, top);
	while (p->queued && p->in_flight < (uint32_t)p->limit)
		start_queued(e, p);
	return true;
}

static int compare_samples(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

/* The median, so that a single late shard does not lower the limit. */
static int64_t compute_median(struct service_state *s)
{
	qsort(s->window_us, s->window_count, sizeof(s->window_us[0]),
	      compare_samples);
	return s->window_us[s->window_count / 2];
}

static void update_base(struct service_state *s, int64_t median, bool is_loaded)
{
	double rise = is_loaded ? BASE_RISE_LOADED : BASE_RISE_IDLE;

	if (s->base_us <= 0 || median < (int64_t)s->base_us)
		s->base_us = (double)median;
	else
		s->base_us += ((double)median - s->base_us) * rise;
}

static void adapt_limit(struct engine *e, struct admission_pool *p,
			double ratio)
{
	bool is_used = p->peak_in_flight >= USED_SHARE * p->limit;
	double target =
		p->limit * CLAMP(TOLERANCE / ratio, 0.5, 1.0) + sqrt(p->limit);

	if (ratio < UNLOADED_RATIO)
		target = p->limit * (1 + (FAST_GROWTH - 1) / LIMIT_SMOOTHING);
	p->peak_in_flight = p->in_flight;
	if (target > p->limit && !is_used)
		return;
	p->limit += LIMIT_SMOOTHING * (target - p->limit);
	p->limit = CLAMP(p->limit, MIN_LIMIT, e->options.max_queries);
	LOG(LIMIT, "pool=%s limit=%.1f ratio=%.2f", p->name, p->limit, ratio);
}

static void end_window(struct engine *e, struct admission_pool *p,
		       struct service_state *s)
{
	int64_t median = MAX(compute_median(s), 1);

	p->duration_us += (median - p->duration_us) / 4;
	update_base(s, median, p->peak_in_flight >= p->limit / 2);
	adapt_limit(e, p, (double)median / MAX(s->base_us, 1.0));
	s->window_count = 0;
	s->window_start_us = engine_now(e);
}

static void note_duration(struct engine *e, struct query *q)
{
	struct service_state *s = q->view->services[q->service];
	int64_t now = engine_now(e);
	int64_t us = now - q->admitted_us;

	/* The duration of an early failure does not show the load. */
	if (q->code || (q->weight < q->total_weight && now < q->deadline_us))
		return;
	latency_add(&s->latency, us);
	s->window_us[s->window_count++] = us;
	if (s->window_count == SERVICE_WINDOW_MAX ||
	    (s->window_count >= WINDOW_MIN_SAMPLES &&
	     now - s->window_start_us >= WINDOW_US))
		end_window(e, q->pool, s);
}

void admission_remove_query(struct engine *e, struct query *q)
{
	struct admission_pool *p = q->pool;

	if (q->phase == QUERY_QUEUED && q->queued.position)
		remove_queued(e, q);
	if (q->phase != QUERY_RUNNING)
		return;
	p->in_flight--;
	q->class->in_flight--;
	note_duration(e, q);
	if (p->queued && !p->ready.position)
		heap_push(&e->ready_pools, &p->ready, 0);
}
