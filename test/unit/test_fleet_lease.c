#include "suites.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/errors.h"
#include "common/events.h"
#include "fleet/lease.h"

#define HOSTS 3
#define KEYS 10
#define MAX_EVENTS 4096
#define MAX_FAULTS 6
#define RUN_TIME_US (40 * US_PER_S)
#define DEFAULT_SCHEDULES 100000
#define WALL_US (1700000000 * US_PER_S)

enum event_kind {
	MODEL_TIMER,
	MODEL_FRAME_ARRIVAL,
	MODEL_STORE_CALL,
	MODEL_STORE_RESULT,
	MODEL_KEY_SUBMIT,
	MODEL_PAUSE,
	MODEL_RESUME,
	MODEL_STORE_DOWN,
	MODEL_STORE_UP,
};

struct model_store_call {
	uint64_t ticket;
	bool is_write;
	uint64_t revision;
	int code;
	size_t len;
	char data[512];
};

struct model_event {
	int64_t at_us;
	uint32_t order;
	enum event_kind kind;
	int host;
	int key;
	struct frame_lease lease;
	enum frame_type type;
	struct model_store_call *call;
};

struct model;

struct model_host {
	struct model *model;
	struct leases *leases;
	struct updater *updater;
	struct host_ref ref;
	double clock_rate;
	int64_t skew_us;
	bool is_paused;
	int64_t timer_us;
};

/** Request key with the host and tenure that accepted it first. */
struct model_key {
	int64_t created_wall_us;
	int host;
	int64_t tenure_us;
};

/**
 * Model of three hosts with their leases, one seat, a store and callers on a
 * virtual clock. Each host has its own clock rate and wall clock skew, within
 * the limits that the leases allow for. The store holds only the seat table.
 *
 * Each schedule draws its faults from its seed: hosts pause, the store goes
 * down for a time, replies to writes are lost, store requests arrive late,
 * reads return the value before the newest one, and frames are lost, late or
 * out of order. Hosts don't restart, and the seat is not released.
 *
 * Callers submit each key several times, to any host. A key that is accepted
 * under a second host or tenure is a violation.
 */
struct model {
	GRand *rand;
	int64_t now_us;
	struct model_event events[MAX_EVENTS];
	uint32_t event_count;
	uint32_t next_order;
	struct model_host hosts[HOSTS];
	struct model_key keys[KEYS];
	bool is_store_down;
	/** Probabilities of the faults of a write, read or frame. */
	double lost_reply_chance;
	double stale_read_chance;
	double lost_frame_chance;
	double late_frame_chance;
	uint64_t revision;
	/** Lengths and data of the newest seat table and the one before it. */
	size_t value_lens[2];
	char values[2][512];
	uint32_t accepted_key_count;
	uint32_t owner_report_count;
	uint32_t violation_count;
	bool is_traced;
};

static struct model model;

static void print_trace(struct model *m, const char *what, int host,
			int64_t detail)
{
	if (m->is_traced)
		printf("  %9.6f %s host=%d %lld\n",
		       (double)m->now_us / US_PER_S, what, host,
		       (long long)detail);
}

static bool draw_chance(struct model *m, double p)
{
	return p > 0 && g_rand_double(m->rand) < p;
}

static int64_t draw_range(struct model *m, int64_t low, int64_t high)
{
	return g_rand_int_range(m->rand, (gint32)low, (gint32)high);
}

static bool is_earlier(const struct model_event *a, const struct model_event *b)
{
	return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static void push_event(struct model *m, struct model_event e)
{
	uint32_t at = m->event_count++;
	uint32_t parent;

	if (at == MAX_EVENTS)
		abort();
	e.order = m->next_order++;
	for (; at; at = parent) {
		parent = (at - 1) / 2;
		if (!is_earlier(&e, &m->events[parent]))
			break;
		m->events[at] = m->events[parent];
	}
	m->events[at] = e;
}

static struct model_event pop_event(struct model *m)
{
	struct model_event first = m->events[0];
	struct model_event last = m->events[--m->event_count];
	uint32_t at = 0;
	uint32_t child;

	for (; (child = 2 * at + 1) < m->event_count; at = child) {
		if (child + 1 < m->event_count &&
		    is_earlier(&m->events[child + 1], &m->events[child]))
			child++;
		if (!is_earlier(&m->events[child], &last))
			break;
		m->events[at] = m->events[child];
	}
	m->events[at] = last;
	return first;
}

static int64_t handle_monotonic(void *ctx)
{
	const struct model_host *h = ctx;

	return (int64_t)((double)h->model->now_us * h->clock_rate);
}

static int64_t handle_wall(void *ctx)
{
	const struct model_host *h = ctx;

	return WALL_US + h->model->now_us + h->skew_us;
}

static void handle_send(void *ctx, const struct host_ref *to, struct frame *f)
{
	struct model_host *h = ctx;
	struct model *m = h->model;
	int64_t delay = draw_range(m, 300, 12000);

	if (draw_chance(m, m->lost_frame_chance))
		return;
	if (draw_chance(m, m->late_frame_chance))
		delay = draw_range(m, 12000, 8 * US_PER_S);
	push_event(m, (struct model_event){ .at_us = m->now_us + delay,
					    .kind = MODEL_FRAME_ARRIVAL,
					    .host = to->id[0] - 'a',
					    .type = f->type,
					    .lease = f->lease });
}

static bool handle_choose_successor(void *ctx, const char *domain,
				    uint16_t seat,
				    const struct host_ref *excluded,
				    struct host_ref *out)
{
	struct model_host *h = ctx;
	struct model *m = h->model;
	int first = (int)draw_range(m, 0, HOSTS);

	for (int i = 0; i < HOSTS; i++) {
		struct model_host *o = &m->hosts[(first + i) % HOSTS];

		if (o == h || host_ref_equals(&o->ref, excluded) ||
		    (o->is_paused && draw_chance(m, 0.8)))
			continue;
		*out = o->ref;
		return true;
	}
	return false;
}

static bool handle_is_alive(void *ctx, const struct host_ref *host)
{
	struct model_host *h = ctx;

	return !h->model->hosts[host->id[0] - 'a'].is_paused;
}

static void handle_changed(void *ctx, const struct lease_state *s)
{
	struct model_host *h = ctx;

	h->model->owner_report_count += s->is_owner && s->epoch > 1;
}

static const struct lease_ops lease_ops = { handle_send,
					    handle_choose_successor,
					    handle_is_alive, handle_changed };

static void push_store_call(struct model_host *h, uint64_t ticket,
			    bool is_write, uint64_t revision, const void *data,
			    size_t len)
{
	struct model *m = h->model;
	struct model_store_call *call = g_new0(struct model_store_call, 1);
	int64_t delay = draw_range(m, 500, 10000);

	call->ticket = ticket;
	call->is_write = is_write;
	call->revision = revision;
	call->len = len;
	if (len)
		memcpy(call->data, data, len);
	/* Some requests reach the store after the updater's timeout. */
	if (draw_chance(m, m->lost_reply_chance / 4))
		delay = draw_range(m, 10000, 8 * US_PER_S);
	push_event(m, (struct model_event){ .at_us = m->now_us + delay,
					    .kind = MODEL_STORE_CALL,
					    .host = h->ref.id[0] - 'a',
					    .call = call });
}

static void handle_store_get(void *ctx, uint64_t ticket, const char *key)
{
	push_store_call(ctx, ticket, false, 0, NULL, 0);
}

static void handle_store_cas(void *ctx, uint64_t ticket, const char *key,
			     uint64_t revision, const void *data, size_t len)
{
	push_store_call(ctx, ticket, true, revision, data, len);
}

static const struct updater_ops updater_ops = { handle_store_get,
						handle_store_cas };

static void write_value(struct model *m, const void *data, size_t len)
{
	memcpy(m->values[1], m->values[0], m->value_lens[0]);
	m->value_lens[1] = m->value_lens[0];
	memcpy(m->values[0], data, len);
	m->value_lens[0] = len;
	m->revision++;
}

static void read_value(struct model *m, struct model_store_call *call)
{
	int which = m->revision > 1 && draw_chance(m, m->stale_read_chance);

	call->revision = m->revision - (uint64_t)which;
	call->len = m->value_lens[which];
	memcpy(call->data, m->values[which], call->len);
}

static void run_store_call(struct model *m, struct model_event *e)
{
	struct model_store_call *call = e->call;

	if (m->is_store_down)
		call->code = -ERR_STORE_DOWN;
	else if (!call->is_write)
		read_value(m, call);
	else if (call->revision != m->revision)
		call->code = -ERR_STORE_CONFLICT;
	else
		write_value(m, call->data, call->len);
	print_trace(m, call->is_write ? "store write" : "store read", e->host,
		    call->code);
	if (call->is_write && draw_chance(m, m->lost_reply_chance))
		call->code = -ERR_STORE_UNKNOWN;
	e->kind = MODEL_STORE_RESULT;
	e->at_us = m->now_us + draw_range(m, 500, 10000);
	push_event(m, *e);
}

/* Submits a key and counts a violation if it is run under two tenures. */
static void submit_key(struct model *m, const struct model_event *e)
{
	struct model_host *h = &m->hosts[e->host];
	struct model_key *k = &m->keys[e->key];
	struct lease_state s;

	if (leases_check_key(h->leases, "d", 0, k->created_wall_us) ||
	    !leases_state(h->leases, "d", 0, &s))
		return;
	print_trace(m, "accept", e->host, e->key);
	if (k->host < 0)
		m->accepted_key_count++;
	else if (k->host != e->host || k->tenure_us != s.tenure_us)
		m->violation_count++;
	k->host = e->host;
	k->tenure_us = s.tenure_us;
}

static void dispatch_event(struct model *m, const struct model_event *e)
{
	struct model_host *h = &m->hosts[e->host];
	struct frame f = { .type = e->type, .lease = e->lease };

	switch (e->kind) {
	case MODEL_TIMER:
		updater_advance(h->updater);
		leases_advance(h->leases);
		return;
	case MODEL_FRAME_ARRIVAL:
		leases_receive(h->leases, &f);
		return;
	case MODEL_STORE_RESULT:
		updater_receive_result(h->updater, e->call->ticket,
				       e->call->code, e->call->revision,
				       e->call->data, e->call->len);
		return;
	default:
		submit_key(m, e);
	}
}

static void schedule_timer(struct model *m, int host)
{
	struct model_host *h = &m->hosts[host];
	int64_t due = MIN(leases_next_timer(h->leases),
			  updater_next_timer(h->updater));
	int64_t at = RUN_TIME_US + US_PER_S;

	if ((double)due / h->clock_rate < (double)at)
		at = MAX((int64_t)((double)due / h->clock_rate) + 1, m->now_us);
	if (h->timer_us == at)
		return;
	h->timer_us = at;
	push_event(m, (struct model_event){
			      .at_us = at, .kind = MODEL_TIMER, .host = host });
}

/* Begins or ends a fault. Returns false if the event is not a fault. */
static bool run_fault(struct model *m, const struct model_event *e)
{
	switch (e->kind) {
	case MODEL_PAUSE:
	case MODEL_RESUME:
		m->hosts[e->host].is_paused = e->kind == MODEL_PAUSE;
		break;
	case MODEL_STORE_DOWN:
	case MODEL_STORE_UP:
		m->is_store_down = e->kind == MODEL_STORE_DOWN;
		break;
	default:
		return false;
	}
	print_trace(m,
		    e->kind <= MODEL_RESUME ? "pause or resume"
					    : "store down or up",
		    e->host, e->kind);
	return true;
}

static void run_event(struct model *m, struct model_event *e)
{
	struct model_host *h = &m->hosts[e->host];

	if (e->kind == MODEL_STORE_CALL) {
		run_store_call(m, e);
		return;
	}
	if (run_fault(m, e) ||
	    (e->kind == MODEL_TIMER && e->at_us != h->timer_us))
		return;
	if (h->is_paused) {
		e->at_us = m->now_us + draw_range(m, 50000, 150000);
		if (e->kind == MODEL_TIMER)
			h->timer_us = e->at_us;
		push_event(m, *e);
		return;
	}
	dispatch_event(m, e);
	g_free(e->call);
	schedule_timer(m, e->host);
}

static void add_faults(struct model *m)
{
	int faults = (int)draw_range(m, 1, MAX_FAULTS);

	for (int i = 0; i < faults; i++) {
		int64_t from = draw_range(m, 0, RUN_TIME_US);
		int64_t until =
			from + draw_range(m, US_PER_S / 2, 15 * US_PER_S);
		bool is_store = draw_chance(m, 0.3);
		int host = (int)draw_range(m, 0, HOSTS);

		push_event(m, (struct model_event){
				      .at_us = from,
				      .host = host,
				      .kind = is_store ? MODEL_STORE_DOWN
						       : MODEL_PAUSE });
		push_event(m, (struct model_event){
				      .at_us = until,
				      .host = host,
				      .kind = is_store ? MODEL_STORE_UP
						       : MODEL_RESUME });
	}
	m->lost_reply_chance =
		draw_chance(m, 0.5) ? g_rand_double(m->rand) * 0.6 : 0;
	m->stale_read_chance =
		draw_chance(m, 0.3) ? g_rand_double(m->rand) * 0.5 : 0;
	m->lost_frame_chance =
		draw_chance(m, 0.3) ? g_rand_double(m->rand) * 0.3 : 0;
	m->late_frame_chance =
		draw_chance(m, 0.3) ? g_rand_double(m->rand) * 0.3 : 0;
}

static void add_keys(struct model *m)
{
	for (int i = 0; i < KEYS; i++) {
		int64_t created = draw_range(m, 0, RUN_TIME_US);
		int submits = (int)draw_range(m, 2, 7);

		m->keys[i].host = -1;
		m->keys[i].created_wall_us =
			WALL_US + created + draw_range(m, 0, LEASE_SKEW_US + 1);
		for (int k = 0; k < submits; k++)
			push_event(m,
				   (struct model_event){
					   .at_us = created +
						    draw_range(m, 0,
							       14 * US_PER_S),
					   .kind = MODEL_KEY_SUBMIT,
					   .host = (int)draw_range(m, 0, HOSTS),
					   .key = i });
	}
}

static void add_hosts(struct model *m)
{
	struct seat_record r = { .number = 0,
				 .host = { "a", 1 },
				 .owner = { "a", 1 } };
	struct seat_table t = { &r, 1, 1 };
	size_t len;
	void *data;

	for (int i = 0; i < HOSTS; i++) {
		struct model_host *h = &m->hosts[i];
		struct np_clock clock = { handle_monotonic, handle_wall, h };
		struct updater_options uo = { clock, g_rand_int(m->rand),
					      &updater_ops, h };
		struct lease_options lo = { clock,	 g_rand_int(m->rand),
					    &lease_ops,	 h,
					    NULL,	 { { 0 }, 1 },
					    8 * US_PER_S };

		h->model = m;
		h->ref = (struct host_ref){ { (char)('a' + i) }, 1 };
		h->clock_rate = 0.95 + 0.1 * g_rand_double(m->rand);
		h->skew_us = draw_range(m, 0, LEASE_SKEW_US + 1);
		h->is_paused = false;
		h->timer_us = 0;
		lo.host = h->ref;
		updater_create(&h->updater, &uo);
		lo.updater = h->updater;
		leases_create(&h->leases, &lo);
	}
	seat_table_encode(&t, &data, &len);
	write_value(m, data, len);
	free(data);
	leases_add_seat(m->hosts[0].leases, "d", &r);
	schedule_timer(m, 0);
}

static uint32_t run_schedule(struct model *m, uint32_t seed, bool is_traced)
{
	struct model_event e;

	memset(m, 0, offsetof(struct model, events));
	memset(&m->event_count, 0,
	       sizeof(*m) - offsetof(struct model, event_count));
	m->is_traced = is_traced;
	m->rand = g_rand_new_with_seed(seed);
	add_faults(m);
	add_hosts(m);
	add_keys(m);
	while (m->event_count && m->events[0].at_us <= RUN_TIME_US) {
		e = pop_event(m);
		m->now_us = e.at_us;
		run_event(m, &e);
	}
	for (uint32_t i = 0; i < m->event_count; i++)
		g_free(m->events[i].call);
	for (int i = 0; i < HOSTS; i++) {
		leases_destroy(m->hosts[i].leases);
		updater_destroy(m->hosts[i].updater);
	}
	g_rand_free(m->rand);
	return m->violation_count;
}

static void handle_log(void *ctx, enum event_id id, const char *fields)
{
	if (model.is_traced)
		printf("  %9.6f N%d %s\n", (double)model.now_us / US_PER_S, id,
		       fields);
}

/*
 * Guards against a request key being run twice: by two owners, or by one owner
 * in a later tenure, in which it no longer has an entry of the key. The first
 * failing seed prints its trace.
 */
static void test_schedules(void)
{
	const char *text = getenv("FLEET_SCHEDULES");
	uint32_t count = text ? (uint32_t)atoi(text) : DEFAULT_SCHEDULES;
	uint64_t accepted = 0, owner_reports = 0;
	uint32_t failed = 0;

	event_set_sink(handle_log, NULL);
	for (uint32_t seed = 1; seed <= count; seed++) {
		if (run_schedule(&model, seed, false) && !failed++) {
			printf("seed %u fails:\n", seed);
			run_schedule(&model, seed, true);
		}
		accepted += model.accepted_key_count;
		owner_reports += model.owner_report_count;
	}
	event_set_sink(NULL, NULL);
	if (getenv("FLEET_FIGURES") || failed)
		printf("%u schedules: %u failed, %llu keys accepted, %llu "
		       "lease reports of owners\n",
		       count, failed, (unsigned long long)accepted,
		       (unsigned long long)owner_reports);
	CU_ASSERT_EQUAL(failed, 0);
	/* Without this, leases that accept no key would pass. */
	CU_ASSERT(accepted > count);
}

CU_TestInfo fleet_lease_tests[] = {
	{ "randomized schedules", test_schedules },
	CU_TEST_INFO_NULL,
};
