#include "fleet_sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/errors.h"
#include "common/events.h"

#define LOCAL_DELAY_US 250
#define DOMAIN_DELAY_US 3500
#define REGION_DELAY_US 12000
#define STORE_DELAY_US 5000

static bool is_before(const struct sim_event *a, const struct sim_event *b)
{
	return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static void push_event(struct sim *s, struct sim_event e)
{
	uint32_t at = s->event_count++;
	uint32_t parent;

	if (at == s->event_capacity) {
		s->event_capacity = s->event_capacity ? 2 * at : 1024;
		s->events =
			g_renew(struct sim_event, s->events, s->event_capacity);
	}
	e.order = s->next_order++;
	for (; at; at = parent) {
		parent = (at - 1) / 2;
		if (!is_before(&e, &s->events[parent]))
			break;
		s->events[at] = s->events[parent];
	}
	s->events[at] = e;
}

static struct sim_event pop_event(struct sim *s)
{
	struct sim_event first = s->events[0];
	struct sim_event last = s->events[--s->event_count];
	uint32_t at = 0;
	uint32_t child;

	for (; (child = 2 * at + 1) < s->event_count; at = child) {
		if (child + 1 < s->event_count &&
		    is_before(&s->events[child + 1], &s->events[child]))
			child++;
		if (!is_before(&s->events[child], &last))
			break;
		s->events[at] = s->events[child];
	}
	s->events[at] = last;
	return first;
}

static void unref_value(GBytes *value)
{
	if (value)
		g_bytes_unref(value);
}

static void clear_store_call(gpointer data)
{
	struct sim_store_call *call = data;

	unref_value(call->value);
}

static void release_event(struct sim_event *e)
{
	unref_value(e->frame);
	if (e->call)
		g_rc_box_release_full(e->call, clear_store_call);
}

static uint32_t get_region(const struct sim_host *h)
{
	return h->domain % SIM_REGIONS;
}

static bool is_partitioned(const struct sim *s, const struct sim_host *a,
			   const struct sim_host *b)
{
	return get_region(a) != get_region(b) &&
	       ((int)get_region(a) == s->cut_region ||
		(int)get_region(b) == s->cut_region);
}

static int64_t draw_delay(struct sim *s, const struct sim_host *a,
			  const struct sim_host *b)
{
	int64_t delay = LOCAL_DELAY_US;

	if (a->domain != b->domain)
		delay = get_region(a) == get_region(b) ? DOMAIN_DELAY_US
						       : REGION_DELAY_US;
	if (s->jitter_us && a->domain != b->domain)
		delay += g_rand_int_range(s->rand, 0, (int)s->jitter_us);
	return delay;
}

static void handle_send(void *ctx, const char *address, const void *data,
			size_t len)
{
	struct sim_host *from = ctx;
	struct sim *s = from->sim;
	struct sim_host *to = &s->hosts[atoi(address + 1)];

	from->sent_frames++;
	from->sent_bytes += len;
	if (is_partitioned(s, from, to) ||
	    (s->loss > 0 && from->domain != to->domain &&
	     g_rand_double(s->rand) < s->loss))
		return;
	push_event(s, (struct sim_event){ .at_us = s->clock.now_us +
						   draw_delay(s, from, to),
					  .host = to->index,

					  .kind = SIM_FRAME,
					  .frame = g_bytes_new(data, len) });
}

/* Sends a request or reply with a network delay, unless it is lost. */
static void push_message(struct sim *s, const struct sim_host *from,
			 struct sim_event e)
{
	if (is_partitioned(s, from, &s->hosts[e.host]) ||
	    g_rand_double(s->rand) < s->loss)
		return;
	e.from = from->index;
	e.at_us = s->clock.now_us + draw_delay(s, from, &s->hosts[e.host]);
	push_event(s, e);
}

static void push_store_version(struct sim *s, uint32_t host)
{
	uint64_t version = s->stale_version ? s->stale_version : s->version;

	if (s->is_store_down || !version)
		return;
	push_event(s, (struct sim_event){ .at_us = s->clock.now_us +
						   STORE_DELAY_US,
					  .host = host,
					  .kind = SIM_VERSION,
					  .version = version });
}

static void handle_fetch(void *ctx, const char *address, uint64_t version)
{
	struct sim_host *h = ctx;
	struct sim_event e = { .host = h->index,
			       .kind = SIM_FETCHED,
			       .version = version };

	h->fetch_count++;
	if (address) {
		e.host = (uint32_t)atoi(address + 1);
		e.kind = SIM_FETCH;
		push_message(h->sim, h, e);
	} else if (!h->sim->is_store_down) {
		e.at_us = h->sim->clock.now_us + STORE_DELAY_US;
		push_event(h->sim, e);
	}
}

static void handle_watch(void *ctx, bool is_wanted)
{
	struct sim_host *h = ctx;

	h->is_watching = is_wanted;
	if (is_wanted)
		push_store_version(h->sim, h->index);
}

void sim_publish(struct sim *s, uint64_t version)
{
	s->version = version;
	for (uint32_t i = 0; i < s->host_count; i++) {
		if (s->hosts[i].is_up && s->hosts[i].is_watching)
			push_store_version(s, i);
	}
}

bool sim_is_in_force(struct sim *s, uint64_t version)
{
	for (uint32_t i = 0; i < s->host_count; i++) {
		if (s->hosts[i].is_up &&
		    fleet_version(s->hosts[i].fleet) != version)
			return false;
	}
	return true;
}

static struct sim_value *find_value(struct sim *s, const char *key)
{
	for (uint32_t i = 0; i < s->value_count; i++) {
		if (!strcmp(s->values[i].key, key))
			return &s->values[i];
	}
	g_strlcpy(s->values[s->value_count].key, key, sizeof(s->values[0].key));
	return &s->values[s->value_count++];
}

static void push_store_call(struct sim *s, uint32_t host, enum sim_kind kind,
			    struct sim_store_call *call)
{
	push_event(s, (struct sim_event){
			      .at_us = s->clock.now_us + s->store_delay_us +
				       g_rand_int_range(s->rand, 500,
							2 * STORE_DELAY_US),
			      .host = host,
			      .kind = kind,
			      .call = call });
}

static void start_store_call(struct sim_host *h, uint64_t ticket,
			     const char *key, bool is_write, uint64_t revision,
			     GBytes *value)
{
	struct sim_store_call *call = g_rc_box_new0(struct sim_store_call);

	call->ticket = ticket;
	g_strlcpy(call->key, key, sizeof(call->key));
	call->is_write = is_write;
	call->revision = revision;
	call->value = value;
	h->sim->store_calls++;
	push_store_call(h->sim, h->index, SIM_STORE, call);
}

static void handle_store_get(void *ctx, uint64_t ticket, const char *key)
{
	start_store_call(ctx, ticket, key, false, 0, NULL);
}

static void handle_store_cas(void *ctx, uint64_t ticket, const char *key,
			     uint64_t revision, const void *data, size_t len)
{
	start_store_call(ctx, ticket, key, true, revision,
			 g_bytes_new(data, len));
}

static void run_write(struct sim_value *v, struct sim_store_call *call)
{
	call->code = call->revision == v->revision ? 0 : -ERR_STORE_CONFLICT;
	if (call->code)
		return;
	unref_value(v->old_value);
	v->old_value = v->value;
	v->old_revision = v->revision;
	v->value = g_bytes_ref(call->value);
	v->revision++;
}

static void run_read(struct sim *s, struct sim_value *v,
		     struct sim_store_call *call)
{
	bool is_stale = g_rand_double(s->rand) < s->stale_reads;
	GBytes *value = is_stale ? v->old_value : v->value;

	call->revision = is_stale ? v->old_revision : v->revision;
	call->code = value ? 0 : -ERR_STORE_NOT_FOUND;
	call->value = value ? g_bytes_ref(value) : NULL;
}

static void run_store_call(struct sim *s, struct sim_event *e)
{
	struct sim_store_call *call = e->call;
	struct sim_value *v = find_value(s, call->key);

	e->call = NULL;
	if (s->is_store_down)
		call->code = -ERR_STORE_DOWN;
	else if (call->is_write)
		run_write(v, call);
	else
		run_read(s, v, call);
	if (call->is_write && g_rand_double(s->rand) < s->lost_replies)
		call->code = -ERR_STORE_UNKNOWN;
	push_store_call(s, e->host, SIM_STORE_RESULT, call);
}

static void deliver_store_result(struct sim_host *h,
				 const struct sim_store_call *call)
{
	size_t len = 0;
	const void *data = NULL;

	if (call->value && !call->is_write)
		data = g_bytes_get_data(call->value, &len);
	fleet_receive_store_result(h->fleet, call->ticket, call->code,
				   call->revision, data, len);
}

static void handle_lease_changed(void *ctx, const struct lease_state *state)
{
}

static void handle_placement_changed(void *ctx, int32_t seat)
{
}

void sim_send_host_list(struct sim *s)
{
	const char **ids = g_new(const char *, s->host_count);
	uint32_t count = 0;

	for (uint32_t i = 0; i < s->host_count; i++) {
		if (s->hosts[i].is_up)
			ids[count++] = s->hosts[i].id;
	}
	for (uint32_t i = 0; i < s->host_count; i++) {
		if (s->hosts[i].is_up && !s->hosts[i].is_paused)
			fleet_set_host_list(s->hosts[i].fleet, ids, count);
	}
	g_free(ids);
}

static const struct fleet_ops fleet_ops = {
	.store_get = handle_store_get,
	.store_cas = handle_store_cas,
	.placement_changed = handle_placement_changed,
	.lease_changed = handle_lease_changed,
	.send = handle_send,
	.fetch_set = handle_fetch,
	.watch = handle_watch,
};

/* Discards the log of the simulated hosts. */
static void handle_event(void *ctx, enum event_id id, const char *fields)
{
}

void sim_create(struct sim *s, uint32_t hosts, uint32_t domains, uint32_t seed)
{
	event_set_sink(handle_event, NULL);
	memset(s, 0, sizeof(*s));
	s->clock.now_us = US_PER_S;
	s->clock.wall_offset_us = 1700000000 * US_PER_S;
	s->rand = g_rand_new_with_seed(seed);
	s->hosts = g_new0(struct sim_host, hosts);
	s->host_count = hosts;
	s->domain_count = domains;
	s->cut_region = -1;
	for (uint32_t i = 0; i < hosts; i++) {
		struct sim_host *h = &s->hosts[i];

		h->sim = s;
		h->index = i;
		h->domain = i % domains;
		sprintf(h->id, "host-%u", i);
		sprintf(h->address, "h%u", i);
	}
	for (uint32_t i = 0; i < G_N_ELEMENTS(s->seeds); i++)
		s->seeds[i] = s->hosts[i % hosts].address;
}

static void stop_host(struct sim_host *h)
{
	fleet_destroy(h->fleet);
	h->fleet = NULL;
	h->is_up = false;
	h->is_watching = false;
}

void sim_destroy(struct sim *s)
{
	event_set_sink(NULL, NULL);
	for (uint32_t i = 0; i < s->host_count; i++)
		stop_host(&s->hosts[i]);
	for (uint32_t i = 0; i < s->event_count; i++)
		release_event(&s->events[i]);
	for (uint32_t i = 0; i < s->value_count; i++) {
		unref_value(s->values[i].value);
		unref_value(s->values[i].old_value);
	}
	g_free(s->events);
	g_free(s->hosts);
	g_rand_free(s->rand);
}

static void schedule_timer(struct sim *s, struct sim_host *h)
{
	int64_t at = MAX(fleet_next_timer(h->fleet), s->clock.now_us);

	if (h->timer_us <= at && h->timer_us > s->clock.now_us)
		return;
	h->timer_us = at;
	push_event(s, (struct sim_event){ .at_us = at, .host = h->index });
}

void sim_start(struct sim *s, uint32_t host)
{
	struct sim_host *h = &s->hosts[host];
	char domain[8];
	struct fleet_options o = {
		.clock = clock_virtual(&s->clock),
		.seed = g_rand_int(s->rand),
		.ops = &fleet_ops,
		.ctx = h,
		.host = h->id,
		.address = h->address,
		.domain = domain,
		.incarnation = (uint64_t)s->clock.now_us,
		.seeds = s->seeds,
		.seed_count = G_N_ELEMENTS(s->seeds),
	};

	sprintf(domain, "d%u", h->domain);
	stop_host(h);
	if (fleet_create(&h->fleet, &o))
		abort();
	h->is_up = true;
	fleet_set_seats(h->fleet, s->seats);
	h->is_paused = false;
	h->timer_us = 0;
	schedule_timer(s, h);
}

void sim_kill(struct sim *s, uint32_t host)
{
	stop_host(&s->hosts[host]);
}

static void dispatch_event(struct sim *s, struct sim_host *h,
			   struct sim_event *e)
{
	switch (e->kind) {
	case SIM_TIMER:
		fleet_advance(h->fleet);
		return;
	case SIM_FRAME:
		fleet_receive(h->fleet, g_bytes_get_data(e->frame, NULL),
			      g_bytes_get_size(e->frame));
		return;
	case SIM_VERSION:
		fleet_receive_store_version(h->fleet, e->version);
		return;
	case SIM_FETCH:
		if (fleet_version(h->fleet) < e->version)
			return;
		push_message(s, h,
			     (struct sim_event){ .host = e->from,
						 .kind = SIM_FETCHED,
						 .version = e->version });
		return;
	case SIM_STORE:
		return;
	case SIM_STORE_RESULT:
		deliver_store_result(h, e->call);
		return;
	case SIM_FETCHED:
		fleet_mark_in_force(h->fleet, e->version);
		return;
	}
}

/* Runs an event. Returns false if it is queued again: its host is paused. */
static bool run_event(struct sim *s, struct sim_event *e)
{
	struct sim_host *h = &s->hosts[e->host];

	if (e->kind == SIM_STORE) {
		run_store_call(s, e);
		return true;
	}
	if (!h->is_up || (e->kind == SIM_TIMER && e->at_us != h->timer_us))
		return true;
	if (h->is_paused) {
		/* Try again every 50 ms until the pause ends. */
		e->at_us = s->clock.now_us + 50 * US_PER_MS;
		if (e->kind == SIM_TIMER)
			h->timer_us = e->at_us;
		push_event(s, *e);
		return false;
	}
	dispatch_event(s, h, e);
	if (s->check)
		s->check(s, h);
	schedule_timer(s, h);
	return true;
}

void sim_run(struct sim *s, int64_t us)
{
	int64_t end = s->clock.now_us + us;
	struct sim_event e;

	while (s->event_count && s->events[0].at_us <= end) {
		e = pop_event(s);
		s->clock.now_us = e.at_us;
		if (run_event(s, &e))
			release_event(&e);
	}
	s->clock.now_us = end;
}

void sim_pause(struct sim *s, uint32_t host, bool is_paused)
{
	s->hosts[host].is_paused = is_paused;
}

static bool is_fully_joined(const struct sim *s)
{
	for (uint32_t i = 0; i < s->host_count; i++) {
		const struct sim_host *h = &s->hosts[i];

		if (h->is_up &&
		    membership_size(fleet_members(h->fleet)) != s->host_count)
			return false;
	}
	return true;
}

void sim_start_all(struct sim *s)
{
	for (uint32_t i = 0; i < s->host_count; i++)
		sim_start(s, i);
	for (int i = 0; i < 1200 && !is_fully_joined(s); i++)
		sim_run(s, US_PER_S / 10);
	if (!is_fully_joined(s))
		fprintf(stderr, "not every host joined\n");
}

uint32_t sim_count_state(struct sim *s, uint32_t host, unsigned int states)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < s->host_count; i++) {
		const struct sim_host *h = &s->hosts[i];
		const struct member *m;
		unsigned int bit = SIM_UNKNOWN;

		if (!h->is_up || i == host)
			continue;
		m = membership_find(fleet_members(h->fleet), s->hosts[host].id);
		if (m)
			bit = SIM_STATE(m->info.state);
		count += (states & bit) != 0;
	}
	return count;
}
