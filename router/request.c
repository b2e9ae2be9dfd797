#include "router/internal.h"

#include <string.h>

#include "common/counter.h"
#include "common/errors.h"
#include "common/events.h"

/* Reserved before the deadline for sending the answer to the caller. */
#define ANSWER_MARGIN_US (5 * US_PER_MS)
/*
 * Reserved before the latency goal: the latency that the caller measures
 * includes the network in both directions.
 */
#define GOAL_MARGIN_US (22 * US_PER_MS)
/* Backoff for callers of refused requests, with jitter to spread them. */
#define RETRY_AFTER_MIN_US (100 * US_PER_MS)
#define RETRY_AFTER_SPREAD_US (200 * US_PER_MS)
/* Backoff after a refusal by a host that stops: other hosts have room. */
#define RETRY_AFTER_STOP_MIN_US (10 * US_PER_MS)
#define RETRY_AFTER_STOP_SPREAD_US (90 * US_PER_MS)
/*
 * Backoff after a refusal for lack of capacity, as a share of the time in which
 * the repetition can start and meet the goal, and the least such time.
 */
#define REPEAT_SHARE_MIN 0.25
#define REPEAT_SHARE_MAX 0.5
#define RETRY_AFTER_CROWD_MIN_US (15 * US_PER_MS)
/* Callers accept a backoff of up to a third of the time to their deadline. */
#define RETRY_AFTER_SHARE 0.32

/* Share of the parts that may wait if others are left out of a gather. */
#define BUSY_SHARE_MAX 0.25
/* Length of the figures of a refusal in a log line. */
#define REFUSAL_TEXT_MAX 160

static int64_t retry_after(struct router *r)
{
	return RETRY_AFTER_MIN_US +
	       g_rand_int_range(r->random, 0, RETRY_AFTER_SPREAD_US);
}

static int64_t retry_after_stop(struct router *r)
{
	return RETRY_AFTER_STOP_MIN_US +
	       g_rand_int_range(r->random, 0, RETRY_AFTER_STOP_SPREAD_US);
}

/*
 * Returns the backoff for a shard that is down or overloaded, which lasts for
 * seconds: between half of the longest backoff that callers accept and all of
 * it, with jitter.
 */
static int64_t retry_after_outage(struct router *r,
				  const struct route_request *q)
{
	double longest =
		RETRY_AFTER_SHARE * (double)(q->deadline_us - router_now(r));
	double share = g_rand_double_range(r->random, 0.5, 1);

	return MAX(RETRY_AFTER_MIN_US, (int64_t)(share * longest));
}

/*
 * Returns the backoff if most requests of the route are refused and a
 * repetition would be late: half to all of the time to the deadline, which is
 * more than callers accept. Late repetitions would be refused again, or take
 * the capacity of requests that can still meet their goals.
 */
static int64_t retry_after_shortage(struct router *r,
				    const struct route_request *q)
{
	double left = (double)(q->deadline_us - router_now(r));

	return MAX(RETRY_AFTER_MIN_US,
		   (int64_t)(g_rand_double_range(r->random, 0.5, 1) * left));
}

/*
 * Returns the backoff after a refusal for lack of capacity. The goal of the
 * caller counts from its first attempt: the repetition comes while it can still
 * be met, if there is time for that.
 */
static int64_t retry_after_crowd(struct router *r,
				 const struct route_request *q)
{
	int64_t left = q->goal_at_us - router_now(r) - request_slowest_work(q);
	double share = g_rand_double_range(r->random, REPEAT_SHARE_MIN,
					   REPEAT_SHARE_MAX);

	/* A wait beyond the goal shows that there will be no room by then. */
	if (left < RETRY_AFTER_CROWD_MIN_US ||
	    q->refusal.wait_us > q->refusal.left_us)
		return triage_class_is_scarce(&q->stats->class)
			       ? retry_after_shortage(r, q)
			       : retry_after_outage(r, q);
	return (int64_t)(share * (double)left);
}

/* Returns the upstream that a request was sent to; empty for a gather. */
static const char *upstream_name(const struct route_request *q)
{
	return q->route->shape == ROUTE_GATHER ? "" : q->parts[0].pool->name;
}

/* Writes the figures behind a refusal for lack of time or capacity. */
static void describe_refusal(const struct router *r,
			     const struct route_request *q,
			     const struct router_answer *a, char *out,
			     size_t size)
{
	const struct triage_refusal *f = &q->refusal;

	out[0] = '\0';
	if (a->code == -ERR_ROUTE_STOPPING)
		g_snprintf(
			out, size, " left_ms=%lld expected_ms=%lld",
			(long long)(stop_time_left(r) / US_PER_MS),
			(long long)(stop_expected_duration(q->stats, q->route) /
				    US_PER_MS));
	else if (a->code == -ERR_ROUTE_LATE && f->reason)
		g_snprintf(out, size,
			   " reason=%s rank=%u wait_ms=%lld work_ms=%lld "
			   "left_ms=%lld waiting=%u",
			   triage_reason_name(f->reason),
			   triage_rank(&q->value),
			   (long long)(f->wait_us / US_PER_MS),
			   (long long)(f->work_us / US_PER_MS),
			   (long long)(f->left_us / US_PER_MS),
			   f->waiting_count);
}

static void log_request_end(const struct router *r,
			    const struct route_request *q,
			    const struct router_answer *a)
{
	bool is_ok = a->status < 400;
	bool is_denied = a->status == 401 && a->code;
	enum event_id id = is_ok			   ? EV_REQUEST_DONE
			   : a->status == 503 || is_denied ? EV_REQUEST_REFUSED
							   : EV_REQUEST_FAILED;
	const char *organisation = q->organisation ? q->organisation->name : "";
	char refusal[REFUSAL_TEXT_MAX];

	describe_refusal(r, q, a, refusal, sizeof(refusal));
	event_log(id,
		  "request=%s route=%s upstream=%s version=%llu status=%u "
		  "code=E%d parts=%u of=%u failed=%u extra=%u ms=%lld "
		  "goal_ms=%lld%s%s%s%s",
		  q->request_id, q->route->name, upstream_name(q),
		  (unsigned long long)q->table->version, a->status, -a->code,
		  q->answered_count, q->part_count, q->failed_count,
		  q->extra_call_count,
		  (long long)((router_now(r) - q->start_us) / US_PER_MS),
		  (long long)(q->route->goal_us / US_PER_MS), refusal,
		  *organisation ? " organisation=\"" : "", organisation,
		  *organisation ? "\"" : "");
}

static void release_request(struct router *r, struct route_request *q,
			    bool is_cancelled)
{
	router_timer_disarm(r, &q->timer);
	router_timer_disarm(r, &q->review_timer);
	for (uint32_t i = 0; i < q->part_count; i++)
		part_clear(r, &q->parts[i], is_cancelled);
	batch_clear_all(r, q);
	g_free(q->parts);
	route_stats_unref(q->stats);
	organisation_stats_unref(q->organisation_stats);
	g_free(q->claimed_organisation);
	route_table_unref(q->identity_table);
	route_table_unref(q->table);
	id_table_release(&r->requests, q);
}

static void finish_request(struct router *r, struct route_request *q,
			   const struct router_answer *a)
{
	log_request_end(r, q, a);
	r->options.ops->answer(r->options.ctx, q->user, a);
	release_request(r, q, false);
}

static bool may_have_run(const struct route_request *q)
{
	/* Leaves of another host may have, also if no part was started here. */
	if (q->is_repeat)
		return true;
	for (uint32_t i = 0; i < q->part_count; i++) {
		if (q->parts[i].run_count)
			return true;
	}
	return false;
}

/* Answers a request that no leaf has run and whose caller is not accepted. */
static void finish_denied_request(struct router *r, struct route_request *q)
{
	struct router_answer a = {
		.code = q->denied_code,
		.status = q->denied_status,
	};

	if (a.status == 503)
		a.retry_after_us = retry_after(r);
	finish_request(r, q, &a);
}

#define REFUSAL_COUNTER(text)                                     \
	{                                                         \
		.name = "nutmegpick_triage_refusals_total",       \
		.help = "Requests refused for lack of capacity.", \
		.label = "reason=\"" text "\"",                   \
	}

static struct counter refusals[TRIAGE_REASONS] = {
	[TRIAGE_NO_ROOM] = REFUSAL_COUNTER("room"),
	[TRIAGE_DISPLACED] = REFUSAL_COUNTER("displaced"),
	[TRIAGE_GOAL_MISSED] = REFUSAL_COUNTER("goal"),
	[TRIAGE_DEADLINE_MISSED] = REFUSAL_COUNTER("deadline"),
	[TRIAGE_GAVE_WAY] = REFUSAL_COUNTER("urgent"),
};

__attribute__((constructor)) static void register_counters(void)
{
	for (int i = TRIAGE_NO_ROOM; i < TRIAGE_REASONS; i++)
		counter_register(&refusals[i]);
}

static void note_refusal(struct router *r, const struct route_request *q)
{
	counter_add(&refusals[q->refusal.reason], 1);
	if (!q->refusal.is_leaf_free)
		request_note_class(r, q, false);
}

/* Answers a failed request, with status 503 only if no leaf may have run it. */
static void finish_failed_request(struct router *r, struct route_request *q,
				  int code)
{
	struct router_answer a = { .code = code, .status = 502 };

	if (q->denied_code && !may_have_run(q)) {
		finish_denied_request(r, q);
		return;
	}
	if (!may_have_run(q)) {
		a.status = 503;
		code = leaf_access_refusal_code(r, q, code);
		a.code = code;
		if (code == -ERR_ROUTE_LATE && q->refusal.reason)
			note_refusal(r, q);
		if (code == -ERR_ROUTE_LATE && q->refusal.reason)
			a.retry_after_us = retry_after_crowd(r, q);
		else if (code == -ERR_ROUTE_LATE || code == -ERR_ROUTE_REGION ||
			 code == -ERR_ROUTE_EVACUATED)
			a.retry_after_us = retry_after_outage(r, q);
		else if (code == -ERR_ROUTE_STOPPING)
			a.retry_after_us = retry_after_stop(r);
		else
			a.retry_after_us = retry_after(r);
	} else if (code == -ERR_NET_TIMEOUT) {
		a.status = 504;
	}
	finish_request(r, q, &a);
}

void request_note_figures(struct router *r, struct route_request *q,
			  const struct route_part *p, int64_t wait_us,
			  int64_t work_us)
{
	q->refusal = (struct triage_refusal){
		.reason = TRIAGE_NO_ROOM,
		.wait_us = wait_us,
		.work_us = work_us,
		.left_us = q->goal_at_us - router_now(r),
		.waiting_count = triage_queue_count(&p->pool->waiting),
	};
}

void request_note_excess_work(struct router *r, struct route_request *q,
			      const struct route_part *p, int64_t work_us)
{
	request_note_figures(r, q, p, 0, work_us);
	q->refusal.reason = TRIAGE_DEADLINE_MISSED;
	q->refusal.is_leaf_free = true;
}

static const struct route_part *find_waiting_part(const struct route_request *q)
{
	for (uint32_t i = 0; i < q->part_count; i++) {
		if (q->parts[i].phase == PART_WAITING)
			return &q->parts[i];
	}
	return NULL;
}

static void note_waiting_figures(struct router *r, struct route_request *q,
				 enum triage_reason reason)
{
	const struct route_part *p = find_waiting_part(q);

	if (p)
		request_note_figures(r, q, p, waiting_time(r, p),
				     request_typical_work(q));
	q->refusal.reason = reason;
}

int request_late_code(const struct router *r)
{
	return router_is_stopping(r) ? -ERR_ROUTE_STOPPING : -ERR_ROUTE_LATE;
}

void request_refuse(struct router *r, struct route_request *q,
		    enum triage_reason reason)
{
	note_waiting_figures(r, q, reason);
	finish_failed_request(r, q, request_late_code(r));
}

static void finish_gathered(struct router *r, struct route_request *q)
{
	GPtrArray *stamps = g_ptr_array_sized_new(q->part_count);
	GPtrArray *shards = g_ptr_array_sized_new(q->part_count);
	GByteArray *body = g_byte_array_new();
	struct router_answer a = { 0 };

	gather_build_answer(r, q, &a, stamps, shards, body);
	finish_request(r, q, &a);
	g_ptr_array_free(stamps, TRUE);
	g_ptr_array_free(shards, TRUE);
	g_byte_array_free(body, TRUE);
}

/* Sends the new results to the host from which the batch came. */
static void send_partial_answer(struct router *r, struct route_request *q)
{
	GPtrArray *stamps = g_ptr_array_sized_new(q->part_count);
	GPtrArray *shards = g_ptr_array_sized_new(q->part_count);
	GByteArray *body = g_byte_array_new();
	struct router_answer a = { 0 };

	gather_build_answer(r, q, &a, stamps, shards, body);
	if (stamps->len)
		r->options.ops->answer_part(r->options.ctx, q->user, &a);
	for (uint32_t i = 0; i < q->part_count; i++)
		q->parts[i].is_sent = q->parts[i].phase == PART_ANSWERED ||
				      q->parts[i].phase == PART_FAILED;
	g_ptr_array_free(stamps, TRUE);
	g_ptr_array_free(shards, TRUE);
	g_byte_array_free(body, TRUE);
}

static int failure_code(const struct router *r, const struct route_request *q)
{
	if (may_have_run(q))
		return -ERR_ROUTE_REPLY;
	return stop_may_start(r, q->stats, q->route) ? -ERR_ROUTE_NO_LEAF
						     : -ERR_ROUTE_STOPPING;
}

static void finish_single(struct router *r, struct route_request *q)
{
	const struct route_part *p = &q->parts[0];
	const struct leaf_reply *reply =
		p->phase == PART_ANSWERED ? p->reply : p->failure_reply;
	struct router_answer a = { .reply = reply };

	if (!reply) {
		finish_failed_request(r, q, failure_code(r, q));
		return;
	}
	a.status = reply->status;
	finish_request(r, q, &a);
}

static bool has_unsent_failure(const struct route_request *q)
{
	for (uint32_t i = 0; i < q->part_count; i++) {
		if (q->parts[i].phase == PART_FAILED && !q->parts[i].is_sent)
			return true;
	}
	return false;
}

static void update_gather(struct router *r, struct route_request *q)
{
	bool is_complete = q->answered_count + q->failed_count == q->part_count;

	if (q->is_partial) {
		if (is_complete)
			finish_gathered(r, q);
		else if (q->is_past_goal || has_unsent_failure(q))
			send_partial_answer(r, q);
		return;
	}
	if (!gather_can_reach_coverage(q))
		finish_failed_request(r, q, -ERR_ROUTE_COVERAGE);
	else if (is_complete || (q->is_past_goal && gather_has_coverage(q)))
		finish_gathered(r, q);
}

void request_handle_part_end(struct router *r, struct route_request *q)
{
	if (q->is_updating_parts)
		return;
	q->answered_count = 0;
	q->failed_count = 0;
	for (uint32_t i = 0; i < q->part_count; i++) {
		q->answered_count += q->parts[i].phase == PART_ANSWERED;
		q->failed_count += q->parts[i].phase == PART_FAILED;
	}
	if (q->route->shape == ROUTE_GATHER)
		update_gather(r, q);
	else if (q->answered_count + q->failed_count)
		finish_single(r, q);
}

static void handle_deadline(struct router *r, struct router_timer *t)
{
	struct route_request *q = HEAP_OWNER(t, struct route_request, timer);

	if (q->is_partial ||
	    (q->route->shape == ROUTE_GATHER && gather_has_coverage(q))) {
		finish_gathered(r, q);
		return;
	}
	finish_failed_request(r, q,
			      q->is_cut_by_stop ? -ERR_ROUTE_STOPPING
						: -ERR_NET_TIMEOUT);
}

static void handle_goal(struct router *r, struct router_timer *t)
{
	struct route_request *q = HEAP_OWNER(t, struct route_request, timer);

	q->is_past_goal = true;
	if (q->is_partial) {
		send_partial_answer(r, q);
	} else if (gather_has_coverage(q)) {
		finish_gathered(r, q);
		return;
	}
	router_timer_arm(r, t, q->deadline_us, handle_deadline);
}

static bool is_shard_requested(const struct router_request *in,
			       const char *shard)
{
	for (uint32_t i = 0; i < in->shard_count; i++) {
		if (!strcmp(in->shards[i], shard))
			return true;
	}
	return !in->shards;
}

void request_add_parts(struct router *r, struct route_request *q,
		       const struct router_request *in)
{
	const struct route *route = q->route;
	uint32_t first = 0;

	q->part_count = route->shape == ROUTE_GATHER ? route->target_count : 1;
	q->parts = g_new0(struct route_part, q->part_count);
	if (route->shape == ROUTE_SPLIT)
		first = route_stats_pick_target(q->stats, route);
	for (uint32_t i = 0, end = q->part_count, n = 0; i < end; i++) {
		const struct route_target *t = &route->targets[first + i];
		const struct route_upstream *u =
			&q->table->upstreams[t->upstream];

		if (!is_shard_requested(in, u->name)) {
			q->part_count--;
			continue;
		}
		q->parts[n].request = q;
		q->parts[n].pool = leaf_set_get_pool(&r->leaves, u->name);
		q->parts[n++].pool->max_connections = u->max_connections;
	}
}

void request_arm_timer(struct router *r, struct route_request *q)
{
	if (q->route->shape == ROUTE_GATHER && !q->is_past_goal &&
	    q->goal_at_us < q->deadline_us)
		router_timer_arm(r, &q->timer, q->goal_at_us, handle_goal);
	else
		router_timer_arm(r, &q->timer, q->deadline_us, handle_deadline);
}

int64_t router_goal_left(const struct route *route)
{
	return MAX(route->goal_us - GOAL_MARGIN_US, route->goal_us / 2);
}

void request_init(const struct router *r, struct route_request *q,
		  const struct router_request *in,
		  const struct request_admission *admission)
{
	const struct route *route = admission->route;
	const struct organisation *o = admission->who.organisation;
	int64_t now = router_now(r);
	int64_t wait = route->timeout_us;
	uint64_t id = q->id;

	memset(q, 0, sizeof(*q));
	q->id = id;
	g_strlcpy(q->request_id, in->id, sizeof(q->request_id));
	q->table = r->table;
	q->route = route;
	q->credentials = in->credentials;
	q->identity_table = r->table;
	q->identity_epoch = r->identity_epoch;
	q->organisation = o;
	q->priority = o && o->has_priority ? o->priority : route->priority;
	q->user = in->user;
	q->start_us = now;
	if (in->wait_us > 0)
		wait = MIN(wait, in->wait_us);
	q->deadline_us = now + MAX(wait - ANSWER_MARGIN_US, wait / 2);
	q->plan_until_us = now + (q->deadline_us - now) / 2;
	stop_limit_request(r, q);
	q->goal_at_us =
		now + (in->goal_us > 0 ? in->goal_us : router_goal_left(route));
	q->is_repeat = in->is_repeat;
	q->gatherers = in->gatherers;
	q->hedge_min_us = in->hedge_min_us;
	q->is_partial = in->shards != NULL;
}

static struct route_request *
create_request(struct router *r, const struct router_request *in,
	       const struct request_admission *admission)
{
	struct route_request *q = id_table_take(&r->requests);

	request_init(r, q, in, admission);
	route_table_ref(q->table);
	route_table_ref(q->identity_table);
	q->claimed_organisation = g_strdup(in->organisation);
	q->stats = route_stats_ref(route_stats_get(r, q->route));
	return q;
}

static uint64_t refuse_request(struct router *r,
			       const struct router_request *in,
			       unsigned int status, int code)
{
	struct router_answer a = { .status = status, .code = code };

	if (status == 503)
		a.retry_after_us = retry_after(r);
	event_log(EV_REQUEST_REFUSED,
		  "request=%s version=%llu status=%u code=E%d host=%s path=%s",
		  in->id, (unsigned long long)router_version(r), status, -code,
		  in->host ? in->host : "", in->path);
	r->options.ops->answer(r->options.ctx, in->user, &a);
	return 0;
}

/*
 * Returns whether parts without room are left out. If requests of the same rank
 * wait for many shards, the capacity is better used for those that all shards
 * can answer.
 */
static bool may_leave_out(const struct router *r, const struct route_request *q)
{
	uint32_t crowded = 0;
	uint32_t waiting = 0;

	for (uint32_t i = 0; i < q->part_count; i++) {
		const struct route_part *p = &q->parts[i];

		crowded += p->is_infeasible && p->is_crowded;
		waiting += !p->is_infeasible && waiting_has_rival(r, p);
	}
	return !crowded || waiting <= BUSY_SHARE_MAX * q->part_count;
}

bool request_can_be_answered(const struct router *r,
			     const struct route_request *q)
{
	if (q->is_partial)
		return true;
	if (q->route->shape != ROUTE_GATHER)
		return !q->failed_count;
	return gather_can_reach_coverage(q) && may_leave_out(r, q);
}

bool request_may_make_room(const struct route_part *p)
{
	return p->is_infeasible && p->is_crowded && !p->planned_leaf;
}

static bool can_lose(const struct route_request *q, uint32_t parts)
{
	return !parts || (q->route->shape == ROUTE_GATHER &&
			  gather_reaches_coverage(q, q->part_count - parts));
}

/*
 * Returns whether the refusal of other requests gives room to enough parts: no
 * request is refused for one that ends refused all the same.
 */
static bool may_get_room(struct router *r, struct route_request *q,
			 uint32_t lost)
{
	uint32_t crowded = 0;

	for (uint32_t i = 0; i < q->part_count; i++) {
		struct route_part *p = &q->parts[i];

		crowded += request_may_make_room(p) &&
			   !waiting_may_displace(r, p);
	}
	return can_lose(q, lost + crowded) && (!crowded || may_leave_out(r, q));
}

/*
 * Refuses other requests and plans parts again for which there was no room, as
 * long as enough of them may get it.
 */
static void make_room(struct router *r, struct route_request *q)
{
	uint32_t lost = 0;

	for (uint32_t i = 0; i < q->part_count; i++)
		lost += q->parts[i].is_infeasible &&
			!request_may_make_room(&q->parts[i]);
	if (request_can_be_answered(r, q) || !may_get_room(r, q, lost))
		return;
	for (uint32_t i = 0;
	     i < q->part_count && !request_can_be_answered(r, q); i++) {
		struct route_part *p = &q->parts[i];

		if (!can_lose(q, lost))
			return;
		if (!request_may_make_room(p))
			continue;
		if (waiting_displace(r, p) && part_plan(r, p))
			q->failed_count--;
		else
			lost++;
	}
}

/*
 * The review leaves these parts out if they do not start in time, and most of
 * them do.
 */
void request_keep_crowded_parts(const struct router *r, struct route_request *q)
{
	if (!r->has_triage || q->is_partial || q->route->shape != ROUTE_GATHER)
		return;
	for (uint32_t i = 0; i < q->part_count; i++) {
		struct route_part *p = &q->parts[i];

		if (!request_may_make_room(p))
			continue;
		p->is_infeasible = false;
		q->failed_count--;
	}
}

/*
 * Returns whether a request can be answered, before any leaf is called. If one
 * shard is overloaded, the work of the other shards would be wasted.
 */
static bool plan_parts(struct router *r, struct route_request *q)
{
	for (uint32_t i = 0; i < q->part_count; i++) {
		if (!part_plan(r, &q->parts[i]))
			q->failed_count++;
	}
	make_room(r, q);
	if (!request_can_be_answered(r, q))
		return false;
	request_keep_crowded_parts(r, q);
	return true;
}

struct request_admission request_admit(const struct router *r,
				       const struct router_request *in)
{
	struct request_admission a = { 0 };

	if (!r->table) {
		a.status = 503;
		a.code = -ERR_ROUTE_UNREADY;
		return a;
	}
	a.route = route_table_match(r->table, in->host, in->path);
	if (!a.route) {
		a.status = 404;
		a.code = -ERR_ROUTE_NONE;
		return a;
	}
	a.who = identify_caller(r, in, a.route);
	a.code = identity_code(a.who.verdict);
	/* Another host may have run a repeat before its key was revoked. */
	if (a.code)
		a.status = in->is_repeat ? 502 : identity_status(a.who.verdict);
	return a;
}

int request_check_arrival(struct router *r, struct route_request *q)
{
	/* A batch of another host ends with the results that it has. */
	if (!q->is_partial && !stop_may_start(r, q->stats, q->route))
		return -ERR_ROUTE_STOPPING;
	if (!request_gives_way(r, q))
		return 0;
	note_waiting_figures(r, q, TRIAGE_GAVE_WAY);
	return request_late_code(r);
}

uint64_t router_start(struct router *r, const struct router_request *in)
{
	struct request_admission admission = request_admit(r, in);
	struct route_request *q;
	uint64_t id;
	int code;

	if (admission.code)
		return refuse_request(r, in, admission.status, admission.code);
	q = create_request(r, in, &admission);
	id = q->id;
	request_add_parts(r, q, in);
	request_arm_timer(r, q);
	request_classify(r, q);
	code = request_check_arrival(r, q);
	if (!code && !plan_parts(r, q))
		code = request_late_code(r);
	if (code) {
		finish_failed_request(r, q, code);
		return 0;
	}
	q->is_updating_parts = true;
	batch_start_all(r, q);
	for (uint32_t i = 0; i < q->part_count; i++)
		part_start(r, &q->parts[i]);
	q->is_updating_parts = false;
	waiting_log(r, q);
	request_handle_part_end(r, q);
	return id_table_find(&r->requests, id) ? id : 0;
}

void router_cancel(struct router *r, uint64_t request_id)
{
	struct route_request *q = id_table_find(&r->requests, request_id);

	if (!q)
		return;
	event_log(EV_REQUEST_LEFT, "request=%s route=%s ms=%lld", q->request_id,
		  q->route->name,
		  (long long)((router_now(r) - q->start_us) / US_PER_MS));
	release_request(r, q, true);
}
