#include <math.h>
#include <string.h>

#include "bench/world.h"

/* Linux's shortest retransmission timeout. */
#define RETRANSMIT_US (200 * US_PER_MS)
#define LOCAL_DELAY_US 250
#define DOMAIN_DELAY_US 3500
#define LATE_DELAY_US (300 * US_PER_MS)
#define DUPLICATE_DELAY_US (5 * US_PER_MS)
#define DRAIN_NOTICE_US (3 * US_PER_S)
/* A leaf sheds new requests while it holds this many requests per slot. */
#define QUEUE_FACTOR 5
#define COLD_SLOW_FACTOR 2

static bool draw_fault(struct world *w, enum fault_kind kind)
{
	return w->fault_values[kind] > 0 &&
	       g_rand_double(w->random) < w->fault_values[kind];
}

int64_t world_base_delay(const struct world *w, obj_handle a, obj_handle b)
{
	const struct domain_object *domains = w->set->domains;

	if (a == b)
		return LOCAL_DELAY_US;
	return strcmp(domains[a].region, domains[b].region)
		       ? w->trace->region_delay_us
		       : DOMAIN_DELAY_US;
}

int64_t world_network_delay(struct world *w, obj_handle a, obj_handle b)
{
	double delay_us = (double)world_base_delay(w, a, b);
	double timeout_us = RETRANSMIT_US;

	delay_us += g_rand_double(w->random) * delay_us / 10;
	if (a != b)
		delay_us += g_rand_double(w->random) *
			    w->fault_values[FAULT_JITTER];
	for (; a != b && draw_fault(w, FAULT_LOSS); timeout_us *= 2)
		delay_us += timeout_us;
	return (int64_t)delay_us;
}

void call_close_connection(struct call *c)
{
	if (c->is_connected && c->leaf_epoch == c->leaf->epoch)
		c->leaf->open_connections--;
	c->is_connected = false;
}

int leaf_reported_load(const struct world *w, const struct leaf *l)
{
	uint32_t age = (uint32_t)w->fault_values[FAULT_STALE];
	uint32_t max_load = QUEUE_FACTOR * l->group->slots;
	uint32_t load = l->calls.length;

	if (age)
		load = l->load_history[(w->now_us / US_PER_S - age) %
				       LOAD_HISTORY];
	return (int)(w->fault_values[FAULT_INVERTED] > 0 ? max_load - load
							 : load);
}

static void send_reply(struct world *w, struct call *c, enum call_status status)
{
	int64_t delay_us =
		world_network_delay(w, c->leaf->domain, c->host->domain);

	/* No reply leaves a lost domain: the call ends by its timeout. */
	if (w->domain_down[c->leaf->domain]) {
		status = CALL_TIMEOUT;
		delay_us = MAX(c->deadline_us - w->now_us, 0);
	}
	if (status == CALL_OK && draw_fault(w, FAULT_CROSSED))
		status = CALL_BAD_REPLY;
	if (status == CALL_OK && draw_fault(w, FAULT_LATE))
		delay_us += LATE_DELAY_US;
	c->stage = CALL_DONE;
	c->result.status = status;
	c->result.snapshot = draw_fault(w, FAULT_CROSSED) ? c->leaf->snapshot
							  : c->snapshot;
	c->result.load = leaf_reported_load(w, c->leaf);
	c->result.is_draining = c->leaf->draining_since_us > 0;
	world_schedule(w, delay_us, host_handle_result, c);
	if (draw_fault(w, FAULT_DUPLICATE))
		world_schedule(w, delay_us + DUPLICATE_DELAY_US,
			       host_handle_result, c);
}

static void remove_call(struct world *w, struct call *c);

static void handle_service_end(struct world *w, void *ctx)
{
	struct call *c = ctx;

	if (c->stage != CALL_IN_SERVICE)
		return;
	remove_call(w, c);
	send_reply(w, c, c->result.status);
}

static void start_service(struct world *w, struct call *c)
{
	struct replay_request *r = c->attempt->request;
	double u = (double)(c->service_hash >> 11) * 0x1p-53;
	double service_us = w->trace->service_us * (5 - 3 * log(1 - u)) / 8;

	c->stage = CALL_IN_SERVICE;
	c->leaf->in_service++;
	r->runs++;
	w->counts->run_twice += r->key[0] && r->runs == 2;
	c->attempt->runs++;
	w->counts->false_not_run += c->attempt->is_answered &&
				    c->attempt->run == RUN_NOT_RUN;
	service_us *= c->leaf->slow_factor;
	if (c->leaf->cold_until_us > w->now_us)
		service_us *= COLD_SLOW_FACTOR;
	world_schedule(w, (int64_t)service_us, handle_service_end, c);
}

static void start_queued_calls(struct world *w, struct leaf *l)
{
	GList *next;

	for (GList *i = l->calls.head; i; i = next) {
		struct call *c = i->data;

		next = i->next;
		if (l->in_service >= l->group->slots)
			return;
		if (c->stage == CALL_QUEUED && c->deadline_us > w->now_us) {
			start_service(w, c);
		} else if (c->stage == CALL_QUEUED) {
			g_queue_delete_link(&l->calls, i);
			send_reply(w, c, CALL_EXPIRED);
		}
	}
}

static void remove_call(struct world *w, struct call *c)
{
	g_queue_remove(&c->leaf->calls, c);
	c->leaf->in_service -= c->stage == CALL_IN_SERVICE;
	c->stage = CALL_DONE;
	start_queued_calls(w, c->leaf);
}

static void handle_arrival(struct world *w, void *ctx)
{
	struct call *c = ctx;
	struct leaf *l = c->leaf;
	struct replay_counts *counts = w->counts;
	bool is_reset = draw_fault(w, FAULT_RESET);
	bool is_unread = is_reset && g_rand_boolean(w->random);
	uint32_t slots = l->group->slots;

	if (c->is_cancelled)
		return;
	c->result.is_sent = !is_unread;
	if (l->is_down || c->leaf_epoch != l->epoch || is_unread) {
		send_reply(w, c, CALL_RESET);
	} else if (l->draining_since_us &&
		   w->now_us > l->draining_since_us + DRAIN_NOTICE_US) {
		send_reply(w, c, CALL_DRAINING);
	} else if (c->snapshot && c->snapshot != l->snapshot &&
		   c->snapshot + 1 != l->snapshot) {
		send_reply(w, c, CALL_SNAPSHOT_GONE);
	} else if (l->calls.length >= QUEUE_FACTOR * slots) {
		counts->sheds++;
		send_reply(w, c, CALL_SHED);
	} else {
		c->result.status = is_reset ? CALL_RESET : CALL_OK;
		c->stage = CALL_QUEUED;
		g_queue_push_tail(&l->calls, c);
		counts->slot_peak =
			MAX(counts->slot_peak, (double)l->calls.length / slots);
		start_queued_calls(w, l);
	}
}

void leaf_send_call(struct world *w, struct call *c)
{
	struct leaf *l = c->leaf;
	uint32_t *idle = &l->idle_connections[c->host->index];
	double limit = l->group->connections;
	int64_t delay_us = world_network_delay(w, c->host->domain, l->domain);

	if (l->draining_since_us &&
	    w->now_us > l->draining_since_us + DRAIN_NOTICE_US)
		w->counts->late_work++;
	c->leaf_epoch = l->epoch;
	if (!*idle && (l->is_down || l->open_connections >= limit)) {
		w->counts->connection_refusals += !l->is_down;
		send_reply(w, c, CALL_CONNECT_FAILED);
		return;
	}
	c->is_connected = true;
	if (*idle) {
		--*idle;
	} else {
		l->open_connections++;
		delay_us = 3 * delay_us + l->group->connect_cost_us;
	}
	w->counts->connection_peak =
		MAX(w->counts->connection_peak, l->open_connections / limit);
	world_schedule(w, delay_us, handle_arrival, c);
}

static void handle_cancel(struct world *w, void *ctx)
{
	struct call *c = ctx;

	call_close_connection(c);
	if (c->stage == CALL_QUEUED || c->stage == CALL_IN_SERVICE)
		remove_call(w, c);
}

void leaf_cancel_call(struct world *w, struct call *c)
{
	c->is_cancelled = true;
	world_schedule(w,
		       world_network_delay(w, c->host->domain, c->leaf->domain),
		       handle_cancel, c);
}

void leaf_stop(struct world *w, void *ctx)
{
	struct leaf *l = ctx;
	struct call *c;

	while ((c = g_queue_pop_head(&l->calls))) {
		w->counts->interrupted += !c->is_cancelled;
		send_reply(w, c, CALL_RESET);
	}
	memset(l->idle_connections, 0,
	       w->host_count * sizeof(*l->idle_connections));
	l->epoch++;
	l->in_service = l->open_connections = 0;
	l->draining_since_us = 0;
	l->is_down = true;
}
