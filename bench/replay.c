#include "bench/world.h"

/* A run goes on this long after the last deadline and the last fault. */
#define TAIL_US (15 * US_PER_S)
/* A leaf is slower for this long after its start. */
#define COLD_US (10 * US_PER_S)

struct event {
	int64_t at_us;
	event_fn *run;
	void *ctx;
};

/* Events with equal times run in the order in which they were scheduled. */
static gint compare_events(gconstpointer a, gconstpointer b, gpointer ctx)
{
	const struct event *x = a, *y = b;

	return x->at_us < y->at_us ? -1 : x->at_us > y->at_us;
}

void world_schedule(struct world *w, int64_t delay_us, event_fn *run, void *ctx)
{
	struct event e = { w->now_us + delay_us, run, ctx };

	g_sequence_insert_sorted(w->events, g_memdup2(&e, sizeof(e)),
				 compare_events, NULL);
}

static void run_events(struct world *w)
{
	while (!g_sequence_is_empty(w->events)) {
		GSequenceIter *first = g_sequence_get_begin_iter(w->events);
		struct event e = *(struct event *)g_sequence_get(first);

		g_sequence_remove(first);
		w->now_us = e.at_us;
		e.run(w, e.ctx);
	}
}

static void start_leaf(struct world *w, void *ctx)
{
	struct leaf *l = ctx;

	l->is_down = false;
	l->cold_until_us = w->now_us + COLD_US;
}

static void handle_snapshot(struct world *w, void *ctx)
{
	((struct leaf *)ctx)->snapshot++;
}

/* Runs at the start and at the end of a fault. */
static void handle_fault(struct world *w, void *ctx)
{
	struct replay_fault *f = ctx;
	bool is_active = f->is_active = !f->is_active;
	uint32_t count = w->set->leaf_count;
	uint32_t domain = f->target % w->set->domain_count;
	struct leaf *l = &w->leaves[f->target % count];
	struct host *h = &w->hosts[f->target % w->host_count];

	switch (f->kind) {
	case FAULT_LEAF_SLOW:
		l->slow_factor = is_active ? f->value : 1;
		break;
	case FAULT_LEAF_DRAIN:
		l->draining_since_us = is_active ? w->now_us : 0;
		world_schedule(w, is_active ? (int64_t)(f->value * 1000) : 0,
			       is_active ? leaf_stop : start_leaf, l);
		break;
	case FAULT_DOMAIN_DOWN:
		w->domain_down[domain] = is_active;
		for (uint32_t i = 0; i < count; i++)
			if (w->leaves[i].domain == domain)
				(is_active ? leaf_stop
					   : start_leaf)(w, &w->leaves[i]);
		for (uint32_t i = 0; i < w->host_count; i++)
			if (w->hosts[i].domain == domain)
				(is_active ? host_stop
					   : host_start)(w, &w->hosts[i]);
		break;
	case FAULT_HOST_DOWN:
		(is_active ? host_stop : host_start)(w, h);
		break;
	case FAULT_HOST_PAUSE:
		h->is_paused = is_active;
		h->silent_since_us = h->is_down ? h->silent_since_us
						: w->now_us;
		host_advance(w, h);
		break;
	case FAULT_SNAPSHOT:
		for (uint32_t i = 0; is_active && i < count; i++)
			world_schedule(w, (f->end_us - f->start_us) * i / count,
				       handle_snapshot, &w->leaves[i]);
		break;
	default:
		w->fault_values[f->kind] = is_active ? f->value : 0;
	}
}

static void handle_tick(struct world *w, void *ctx)
{
	for (uint32_t i = 0; i < w->set->leaf_count; i++)
		w->leaves[i].load_history[w->now_us / US_PER_S % LOAD_HISTORY] =
			w->leaves[i].calls.length;
	for (uint32_t i = 0; i < w->host_count; i++) {
		host_renew_lease(w, &w->hosts[i]);
		host_handle_reports(w, &w->hosts[i]);
	}
	if (w->now_us < w->end_us)
		world_schedule(w, US_PER_S, handle_tick, NULL);
}

/* Numbers the hosts by taking one of each domain in turn. */
static void create_hosts(struct world *w)
{
	uint32_t index = 0;

	for (uint32_t i = 0; i < w->set->domain_count; i++)
		w->host_count += w->set->domains[i].seats;
	w->hosts = g_new0(struct host, w->host_count + 1);
	for (uint32_t seat = 0; index < w->host_count; seat++) {
		for (uint32_t i = 0; i < w->set->domain_count; i++) {
			struct host *h = &w->hosts[index];

			h->world = w;
			h->domain = i;
			h->index = index;
			h->is_down = true;
			index += seat < w->set->domains[i].seats;
		}
	}
}

static void create_leaves(struct world *w)
{
	w->leaves = g_new0(struct leaf, w->set->leaf_count);
	for (uint32_t i = 0; i < w->set->leaf_count; i++) {
		const struct leaf_object *o = &w->set->leaves[i];
		struct leaf *l = &w->leaves[i];

		l->domain = o->domain;
		l->group = &w->set->groups[w->set->shards[o->shard].group];
		l->idle_connections = g_new0(uint32_t, w->host_count);
		l->slow_factor = 1;
		l->snapshot = 1;
	}
}

static void schedule_events(struct world *w)
{
	struct replay_trace *t = w->trace;

	for (guint i = 0; i < t->faults->len; i++) {
		struct replay_fault *f =
			&g_array_index(t->faults, struct replay_fault, i);

		world_schedule(w, f->start_us, handle_fault, f);
		world_schedule(w, f->end_us, handle_fault, f);
		w->end_us = MAX(w->end_us, f->end_us + TAIL_US);
	}
	for (guint i = 0; i < t->requests->len; i++) {
		struct replay_request *r =
			&g_array_index(t->requests, struct replay_request, i);

		world_schedule(w, r->at_us, request_send, r);
		w->end_us = MAX(w->end_us, r->at_us + r->deadline_us + TAIL_US);
	}
	world_schedule(w, US_PER_S, handle_tick, NULL);
}

void replay_run(struct replay_trace *t, struct replay_counts *counts)
{
	struct world w = { .trace = t, .set = t->set, .counts = counts };

	*counts = (struct replay_counts){ 0 };
	w.events = g_sequence_new(g_free);
	w.random = g_rand_new_with_seed((guint32)t->seed);
	w.attempts = g_ptr_array_new_with_free_func(g_free);
	w.calls = g_ptr_array_new_with_free_func(g_free);
	create_hosts(&w);
	create_leaves(&w);
	for (uint32_t i = 0; i < w.host_count; i++)
		host_start(&w, &w.hosts[i]);
	schedule_events(&w);
	run_events(&w);
	for (uint32_t i = 0; i < w.host_count; i++)
		host_stop(&w, &w.hosts[i]);
	g_ptr_array_free(w.attempts, TRUE);
	g_ptr_array_free(w.calls, TRUE);
	g_sequence_free(w.events);
	g_rand_free(w.random);
	for (uint32_t i = 0; i < t->set->leaf_count; i++) {
		g_queue_clear(&w.leaves[i].calls);
		g_free(w.leaves[i].idle_connections);
	}
	g_free(w.leaves);
	g_free(w.hosts);
}
