#include <stdio.h>

#include "bench/world.h"
#include "common/errors.h"
#include "common/hash.h"

#define WALL_CLOCK_US 1700000000000000LL
#define MAX_SKEW_US (US_PER_S / 2)
#define MAX_ATTEMPTS 8
#define REPEAT_DELAY_US US_PER_S
#define CALLER_SLACK_US (100 * US_PER_MS)
#define PAUSE_POLL_US (10 * US_PER_MS)
/* Hosts and callers detect a silent host after this time. */
#define DETECTION_US (2 * US_PER_S)
#define LEASE_US (5 * US_PER_S)
#define TAKEOVER_US (6 * US_PER_S)

/* Returns whether the host has been down or paused for at least for_us. */
static bool is_silent(const struct world *w, const struct host *h,
		      int64_t for_us)
{
	return (h->is_down || h->is_paused) &&
	       w->now_us - h->silent_since_us >= for_us;
}

/*
 * Returns whether the host cannot handle the event because it is down or
 * paused. A paused host gets the event again later.
 */
static bool defer_event(struct world *w, const struct host *h, event_fn *run,
			void *ctx)
{
	if (!h->is_down && h->is_paused)
		world_schedule(w, PAUSE_POLL_US, run, ctx);
	return h->is_down || h->is_paused;
}

void host_advance(struct world *w, void *ctx)
{
	struct host *h = ctx;
	int64_t next;

	if (is_silent(w, h, 0))
		return;
	h->clock.now_us = w->now_us;
	engine_advance(h->engine);
	next = MAX(engine_next_timer(h->engine), w->now_us + 1);
	if (next == INT64_MAX ||
	    (h->timer_us > w->now_us && h->timer_us <= next))
		return;
	h->timer_us = next;
	world_schedule(w, next - w->now_us, host_advance, h);
}

static void handle_start_call(void *ctx, const struct engine_call *call)
{
	struct host *h = ctx;
	struct world *w = h->world;
	struct attempt *a = call->user;
	struct replay_request *r = a->request;
	struct call *c = g_new0(struct call, 1);

	*(a->shards[call->shard] ? &r->extra_calls : &r->needed_calls) += 1;
	a->shards[call->shard] = 1;
	c->host = h;
	c->host_epoch = h->epoch;
	c->attempt = a;
	c->result.call_id = call->call_id;
	c->leaf = &w->leaves[call->leaf];
	c->shard = call->shard;
	c->snapshot = call->snapshot;
	c->deadline_us = w->now_us + call->remaining_us;
	c->service_hash = hash_pair(w->trace->seed ^ (uint64_t)r->at_us,
				    hash_pair(c->shard, r->extra_calls));
	g_ptr_array_add(w->calls, c);
	g_hash_table_insert(h->calls, &c->result.call_id, c);
	leaf_send_call(w, c);
}

static void handle_cancel_call(void *ctx, uint64_t call_id)
{
	struct host *h = ctx;
	struct call *c = g_hash_table_lookup(h->calls, &call_id);

	if (c)
		leaf_cancel_call(h->world, c);
	g_hash_table_remove(h->calls, &call_id);
}

static void handle_reset_results(void *ctx, uint64_t query_id, void *user)
{
	struct attempt *a = user;

	a->round++;
	a->weight = a->snapshot = 0;
	a->is_mixed = false;
}

static void accept_result(struct world *w, const struct call *c)
{
	struct attempt *a = c->attempt;

	if (a->is_finished || c->is_ended || c->is_cancelled ||
	    a->shards[c->shard] == a->round || c->result.status != CALL_OK) {
		w->counts->wrong++;
		return;
	}
	a->shards[c->shard] = a->round;
	a->weight += w->set->shards[c->shard].weight;
	a->is_mixed |= a->snapshot && a->snapshot != c->result.snapshot;
	a->snapshot = c->result.snapshot;
}

/*
 * Ends a call and closes its connection, or keeps the connection as idle if the
 * call left it usable.
 */
static void end_call(struct call *c)
{
	enum call_status s = c->result.status;

	c->is_ended = true;
	g_hash_table_remove(c->host->calls, &c->result.call_id);
	if (s == CALL_CONNECT_FAILED || s == CALL_RESET || s == CALL_TIMEOUT ||
	    s == CALL_BAD_REPLY)
		call_close_connection(c);
	else if (c->leaf_epoch == c->leaf->epoch)
		c->leaf->idle_connections[c->host->index]++;
}

void host_handle_result(struct world *w, void *ctx)
{
	struct call *c = ctx;
	struct host *h = c->host;

	if (h->epoch != c->host_epoch ||
	    defer_event(w, h, host_handle_result, c))
		return;
	h->clock.now_us = w->now_us;
	if (engine_call_result(h->engine, &c->result))
		accept_result(w, c);
	if (!c->is_ended && !c->is_cancelled)
		end_call(c);
	host_advance(w, h);
}

/* Runs when the answer reaches the caller or the caller times out. */
static void handle_answer(struct world *w, void *ctx)
{
	struct attempt *a = ctx;
	struct replay_request *r = a->request;

	if (a->is_answered)
		return;
	a->is_answered = true;
	if (a->entry->is_down) {
		a->code = -ERR_UPSTREAM;
		a->run = RUN_UNKNOWN;
	}
	/* Report `not run` only if every attempt was answered so. */
	if (r->attempts == 1 || a->run != RUN_NOT_RUN)
		r->run = a->run;
	w->counts->false_not_run +=
		a->run == RUN_NOT_RUN &&
		(a->runs || (r->run == RUN_NOT_RUN && r->runs));
	r->code = a->code;
	r->coverage = a->code ? 0 : a->coverage;
	r->latency_us = w->now_us - r->at_us;
	if (a->code && r->key[0] && r->attempts < MAX_ATTEMPTS)
		world_schedule(w, REPEAT_DELAY_US, request_send, r);
}

static void send_answer(struct world *w, struct attempt *a, int code,
			enum run_state run)
{
	int64_t delay_us = w->trace->caller_delay_us;

	if (a->holder != a->entry)
		delay_us += world_network_delay(w, a->holder->domain,
						a->entry->domain);
	a->is_finished = true;
	if (a->is_answered)
		return;
	a->code = code;
	a->run = run;
	world_schedule(w, delay_us, handle_answer, a);
}

static void handle_finish_query(void *ctx, uint64_t query_id,
				const struct engine_outcome *out)
{
	struct world *w = ((struct host *)ctx)->world;
	struct attempt *a = out->user;

	if (!out->code && !out->duplicate_of) {
		w->counts->false_coverage += out->weight != a->weight;
		w->counts->mixed_snapshots += a->is_mixed ||
					      a->snapshot != out->snapshot;
	}
	a->coverage = (double)out->weight / (double)MAX(out->total_weight, 1);
	send_answer(w, a, out->code, out->run);
}

static const struct engine_ops ops = {
	.start_call = handle_start_call,
	.cancel_call = handle_cancel_call,
	.reset_results = handle_reset_results,
	.finish_query = handle_finish_query,
};

static void handle_request(struct world *w, void *ctx)
{
	struct attempt *a = ctx;
	struct host *h = a->holder;
	const struct replay_request *r = a->request;
	struct engine_request request = {
		.service = w->set->services[r->service].name,
		.class = w->set->classes[r->class].name,
		.deadline_us = a->deadline_us - w->now_us,
		.key_created_us = WALL_CLOCK_US + r->created_us,
		.key_range = a->key_range,
		.is_first_attempt = a->is_first,
		.user = a,
	};
	int64_t retry_after_us;
	uint64_t query_id;
	int ret = -ERR_DEADLINE;

	if (defer_event(w, h, handle_request, a))
		return;
	snprintf(request.id, sizeof(request.id), "%d-%" G_GINT64_FORMAT,
		 r->line, r->at_us);
	g_strlcpy(request.key, r->key, sizeof(request.key));
	h->clock.now_us = w->now_us;
	if (request.deadline_us > 0)
		ret = engine_submit(h->engine, &request, &query_id,
				    &retry_after_us);
	if (ret)
		send_answer(w, a, ret, RUN_NOT_RUN);
	host_advance(w, h);
}

/* A group's holders are consecutive hosts, which are in different domains. */
static struct host *get_holder(const struct world *w, obj_handle group,
			       uint32_t i)
{
	return &w->hosts[(hash_pair(group, 1) + i) % w->host_count];
}

static uint32_t count_holders(const struct world *w, obj_handle group)
{
	const struct group_object *g = &w->set->groups[group];

	return MIN(g->holders ? g->holders : g->slots, w->host_count);
}

static struct host *pick_holder(struct world *w, struct attempt *a)
{
	const char *key = a->request->key;
	obj_handle group = w->set->services[a->request->service].groups[0];
	uint32_t count = count_holders(w, group);
	uint32_t hash = *key ? (uint32_t)hash_string(key, 0)
			     : g_rand_int(w->random);
	struct host *best = get_holder(w, group, hash % count);

	if (*key) {
		a->key_range = best->index;
		return best->key_owner;
	}
	for (uint32_t i = 0; i < count; i++) {
		struct host *h = get_holder(w, group, (hash + i) % count);

		if (h == a->entry)
			return h;
		if (is_silent(w, best, DETECTION_US))
			best = h;
	}
	return best;
}

void request_send(struct world *w, void *ctx)
{
	struct replay_request *r = ctx;
	struct attempt *a = g_malloc0(sizeof(*a) + w->set->shard_count);
	int64_t outbound_us = w->trace->caller_delay_us;

	g_ptr_array_add(w->attempts, a);
	a->request = r;
	a->round = 2;
	for (uint32_t i = 0; i < w->host_count; i++) {
		a->entry =
			&w->hosts[(r->host + r->attempts + i) % w->host_count];
		if (!is_silent(w, a->entry, DETECTION_US))
			break;
	}
	/*
	 * A repeat of a request that is known not to have run is a new request:
	 * its key gets a new creation time.
	 */
	if (!r->attempts || r->run == RUN_NOT_RUN)
		r->created_us = w->now_us;
	r->attempts++;
	a->is_first = r->attempts == 1;
	a->code = -ERR_DEADLINE;
	a->run = RUN_UNKNOWN;
	world_schedule(w, r->deadline_us + CALLER_SLACK_US, handle_answer, a);
	if (is_silent(w, a->entry, 0))
		return;
	a->holder = pick_holder(w, a);
	if (is_silent(w, a->holder, DETECTION_US)) {
		send_answer(w, a, -ERR_UPSTREAM, RUN_NOT_RUN);
		return;
	}
	if (a->holder != a->entry)
		outbound_us += world_network_delay(w, a->entry->domain,
						   a->holder->domain);
	/* Reserve time for the way back: about as long as the way out. */
	a->deadline_us = w->now_us + r->deadline_us - outbound_us;
	world_schedule(w, outbound_us, handle_request, a);
}

void host_handle_reports(struct world *w, struct host *h)
{
	for (uint32_t i = 0; i < w->set->leaf_count; i++) {
		const struct leaf *l = &w->leaves[i];
		uint64_t snapshots[] = { l->snapshot, l->snapshot - 1 };
		struct leaf_report report = {
			.leaf = i,
			.load = leaf_reported_load(w, l),
			.age_us = world_base_delay(w, h->domain, l->domain),
			.snapshots = snapshots,
			.snapshot_count = l->snapshot > 1 ? 2 : 1,
		};

		if (l->is_down || is_silent(w, h, 0))
			continue;
		if (l->cold_until_us > w->now_us)
			report.state = LEAF_COLD;
		if (l->draining_since_us)
			report.state = LEAF_DRAINING;
		engine_report(h->engine, &report);
	}
	host_advance(w, h);
}

/* Simulates the leases of fleet/: a seat's keys have one owner at a time. */
void host_renew_lease(struct world *w, struct host *h)
{
	struct host *next = h;

	if (is_silent(w, h, 0) &&
	    (h->key_owner != h ||
	     w->now_us < h->lease_renewed_us + TAKEOVER_US))
		return;
	for (uint32_t i = 0; i < w->host_count && is_silent(w, next, 0); i++)
		next = &w->hosts[(next->index + 1) % w->host_count];
	if (is_silent(w, next, 0))
		return;
	if (h->key_owner != next)
		h->tenure_us = w->now_us + next->clock.wall_offset_us;
	h->key_owner = next;
	next->lease_renewed_us = w->now_us;
	next->clock.now_us = w->now_us;
	engine_set_tenure(next->engine, h->index, h->tenure_us,
			  w->now_us + LEASE_US);
}

static void set_shares(struct world *w, struct host *h,
		       const struct service_object *s)
{
	uint32_t count = count_holders(w, s->groups[0]);
	bool is_holder = false;

	for (uint32_t i = 0; i < count; i++)
		is_holder |= get_holder(w, s->groups[0], i) == h;
	for (uint32_t i = 0; is_holder && i < s->group_count; i++) {
		const struct group_object *g = &w->set->groups[s->groups[i]];
		struct leaf_share share = {
			.connections = g->connections / count,
			.slots = MAX(g->slots / count, 1),
		};

		engine_set_share(h->engine, s->groups[i], share);
	}
}

void host_start(struct world *w, struct host *h)
{
	struct engine_options options = {
		.clock = clock_virtual(&h->clock),
		.seed = hash_pair(w->trace->seed, h->index),
		.ops = &ops,
		.ctx = h,
		.domain = w->set->domains[h->domain].name,
	};

	if (!h->is_down)
		return;
	h->clock.now_us = w->now_us;
	h->clock.wall_offset_us = WALL_CLOCK_US - MAX_SKEW_US +
				  (int64_t)(options.seed % (2 * MAX_SKEW_US));
	h->is_down = false;
	h->epoch++;
	h->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	if (engine_create(&h->engine, &options) ||
	    engine_apply_set(h->engine, w->set))
		g_error("the engine refused the set");
	for (uint32_t i = 0; i < w->set->service_count; i++)
		set_shares(w, h, &w->set->services[i]);
	h->key_owner = NULL;
	host_renew_lease(w, h);
	host_handle_reports(w, h);
}

void host_stop(struct world *w, struct host *h)
{
	GHashTableIter iter;
	gpointer call;

	if (h->is_down)
		return;
	h->is_down = true;
	h->silent_since_us = w->now_us;
	g_hash_table_iter_init(&iter, h->calls);
	while (g_hash_table_iter_next(&iter, NULL, &call))
		leaf_cancel_call(w, call);
	g_hash_table_destroy(h->calls);
	for (uint32_t i = 0; i < w->set->leaf_count; i++) {
		w->leaves[i].open_connections -=
			w->leaves[i].idle_connections[h->index];
		w->leaves[i].idle_connections[h->index] = 0;
	}
	engine_unref(h->engine);
}
