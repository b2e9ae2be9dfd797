#include "router/internal.h"

#include "common/errors.h"
#include "common/events.h"

/* Delay before an extra call that had no budget or leaf is tried again. */
#define HEDGE_RETRY_US (15 * US_PER_MS)
/*
 * Added to the hedge delay of a part in a batch: the result of the other host
 * arrives up to this long after the time that was requested.
 */
#define BATCH_MARGIN_US (12 * US_PER_MS)
/*
 * Leaves that refused a call are tried again until the part has sent this many
 * calls.
 */
#define RETRY_REFUSED_MAX 4

/*
 * Factors on the expected wait of a part that arrives: a gather waits for the
 * slowest of its parts, and if entries of better ranks take capacity, more of
 * them may arrive meanwhile. A factor of 2 for the best rank refuses requests
 * whose room goes to lower ranks; with 1, eight hosts in a flood waste 3% of
 * the work.
 */
#define WAIT_MARGIN 2.0
#define FIRST_MARGIN 1.3
#define MARGIN_SLOWDOWN 1.05

static const char *outcome_name(enum call_outcome outcome)
{
	switch (outcome) {
	case CALL_ANSWERED:
		return "answered";
	case CALL_DECLINED:
		return "declined";
	case CALL_FAILURE:
		return "failure";
	case CALL_NOT_RUN:
		return "not_run";
	case CALL_MISDIRECTED:
		return "misdirected";
	case CALL_NOT_SENT:
		return "not_sent";
	case CALL_BROKEN:
		return "broken";
	}
	return "unknown";
}

static void release_call(struct router *r, struct leaf_call *c)
{
	g_queue_delete_link(&c->leaf->calls, c->link);
	route_leaf_unref(&r->leaves, c->leaf);
	route_stats_unref(c->stats);
	id_table_release(&r->calls, c);
}

static void unlink_call(struct route_part *p, struct leaf_call *c)
{
	for (uint32_t i = 0; i < p->call_count; i++) {
		if (p->calls[i] != c)
			continue;
		p->calls[i] = p->calls[--p->call_count];
		break;
	}
	c->part = NULL;
}

static void cancel_call(struct router *r, struct route_part *p,
			struct leaf_call *c)
{
	unlink_call(p, c);
	r->options.ops->cancel_call(r->options.ctx, c->id);
	release_call(r, c);
}

/*
 * Detaches a call of a gather instead of cancelling it. The call is short; to
 * cancel it would close its connection, which costs more than reading the reply
 * to the end.
 */
static void detach_running_call(struct router *r, struct route_part *p,
				struct leaf_call *c)
{
	unlink_call(p, c);
	if (r->options.ops->detach_call(r->options.ctx, c->id))
		release_call(r, c);
}

void part_clear(struct router *r, struct route_part *p, bool is_cancelled)
{
	router_timer_disarm(r, &p->timer);
	waiting_remove(r, p);
	while (p->call_count) {
		if (is_cancelled || p->request->route->shape != ROUTE_GATHER)
			cancel_call(r, p, p->calls[0]);
		else
			detach_running_call(r, p, p->calls[0]);
	}
	if (p->holds_planned_leaf)
		route_leaf_unref(&r->leaves, p->planned_leaf);
	leaf_reply_unref(p->reply);
	leaf_reply_unref(p->failure_reply);
	p->reply = NULL;
	p->failure_reply = NULL;
}

static void handle_late_call(struct router *r, struct router_timer *t);

static bool may_hedge(const struct route_part *p)
{
	return p->request->route->is_idempotent && !p->request->is_partial &&
	       p->run_count < p->request->route->max_attempts &&
	       p->call_count < PART_CALLS_MAX;
}

static void arm_hedge(struct router *r, struct route_part *p,
		      double work_factor, int64_t now)
{
	const struct route_request *q = p->request;
	int64_t after = route_stats_hedge_delay(
		q->stats, q->route, q->goal_at_us - now, work_factor);

	router_timer_arm(r, &p->timer, now + MAX(after, q->hedge_min_us),
			 handle_late_call);
}

/* Calls to a leaf on a slow machine are late only after a longer time. */
static int64_t late_threshold_at(const struct route_request *q,
				 const struct route_leaf *leaf, int64_t now)
{
	double usual = (double)route_stats_late_threshold(q->stats, q->route);

	return (int64_t)(usual * MAX(leaf_work_factor(leaf, now), 1));
}

static void send_call(struct router *r, struct route_part *p,
		      struct route_leaf *leaf, bool is_extra)
{
	struct route_request *q = p->request;
	int64_t now = router_now(r);
	struct leaf_call *c = id_table_take(&r->calls);
	struct router_call call;

	/* The first calls of a batch are counted by the host that sent it. */
	if (!p->sent_count && !q->is_repeat && !q->is_partial)
		extra_calls_note_first(&p->pool->extra, now);
	c->part = p;
	c->stats = route_stats_ref(q->stats);
	c->leaf = route_leaf_ref(leaf);
	c->start_us = now;
	c->late_after_us = late_threshold_at(q, leaf, now);
	c->is_extra = is_extra;
	leaf_access_note_call(r, p, leaf, is_extra);
	g_queue_push_tail(&leaf->calls, c);
	c->link = leaf->calls.tail;
	c->queued = leaf_queued_calls(leaf, now);
	p->calls[p->call_count++] = c;
	p->run_count++;
	p->sent_count++;
	if (p->tried_count < PART_TRIED_MAX)
		p->tried[p->tried_count++] = leaf;
	p->phase = PART_RUNNING;
	request_note_begun(r, q);
	if (may_hedge(p))
		arm_hedge(r, p, leaf_work_factor(leaf, now), now);
	call = (struct router_call){
		.id = c->id,
		.leaf = leaf,
		.request_id = q->request_id,
		.remaining_us = q->deadline_us - now,
		.is_idempotent = q->route->is_idempotent,
		.has_organisations = q->identity_table->has_organisations,
		.organisation = q->organisation ? q->organisation->name : NULL,
		.user = q->user,
	};
	r->options.ops->start_call(r->options.ctx, &call);
}

/** Why an extra call was sent or not. */
enum extra_result {
	EXTRA_SENT,
	EXTRA_NO_LEAF,
	/** All leaves are busy, but one is expected to be free in time. */
	EXTRA_BUSY,
	EXTRA_NO_BUDGET,
	/** First calls of the same or a better rank wait. */
	EXTRA_GIVES_WAY,
};

static bool can_end(enum triage_end end)
{
	return end == TRIAGE_IN_GOAL || end == TRIAGE_LATE;
}

/* Returns whether a call that starts now would be of use. */
static bool is_extra_useful(struct router *r, const struct route_request *q)
{
	enum triage_end end = request_end_of(r, q, 0, request_typical_work(q));

	if (!r->has_triage && q->deadline_us - router_now(r) < CALL_TIME_MIN_US)
		return false;
	/* A gather with enough answers ends at the goal. */
	if (end == TRIAGE_LATE && q->route->shape == ROUTE_GATHER)
		return !gather_has_coverage(q);
	return can_end(end);
}

/* Returns whether a wait for a busy leaf and the call there end in time. */
static bool ends_until(const struct router *r, const struct leaf_choice *choice,
		       int64_t until_us)
{
	return choice->is_busy &&
	       router_now(r) + choice->wait_us + choice->expected_us <=
		       until_us;
}

static enum triage_end end_of_choice(struct router *r,
				     const struct route_part *p,
				     const struct leaf_choice *choice)
{
	double slowdown = waiting_slowdown(r, p);
	double wait = slowdown * (double)choice->wait_us;
	int64_t work = choice->expected_us;

	wait *= slowdown >= MARGIN_SLOWDOWN ? WAIT_MARGIN : FIRST_MARGIN;
	/* A long call that ends late has kept more urgent ones from a slot. */
	if (r->has_triage && waiting_is_long(r, p))
		work = MAX(work, work_estimate_high(&p->request->stats->work));
	return request_end_of(r, p->request,
			      (int64_t)MIN(wait, (double)WAIT_MAX_US), work);
}

/*
 * Returns whether a hedge would take a long time from more urgent requests and
 * still end after the goal.
 */
static bool is_late_hedge(struct router *r, const struct route_part *p,
			  enum extra_cause cause)
{
	const struct route_request *q = p->request;

	return r->has_triage && cause == EXTRA_CAUSE_LATE &&
	       waiting_is_long(r, p) &&
	       request_end_of(r, q, 0, request_typical_work(q)) !=
		       TRIAGE_IN_GOAL;
}

/*
 * Sends an extra call. The budget is checked for budget_cause, unless
 * is_uncharged exempts the call; log_cause is the cause in the log.
 */
static enum extra_result send_extra(struct router *r, struct route_part *p,
				    enum extra_cause budget_cause,
				    bool is_uncharged, const char *log_cause)
{
	struct route_request *q = p->request;
	int64_t now = router_now(r);
	struct leaf_choice choice;

	if (!is_extra_useful(r, q) || !recheck_caller(r, q))
		return EXTRA_NO_LEAF;
	if ((!is_uncharged && waiting_has_rival(r, p)) ||
	    is_late_hedge(r, p, budget_cause))
		return EXTRA_GIVES_WAY;
	choice = leaf_choose(r, p);
	if (!choice.leaf && !r->has_triage)
		return ends_until(r, &choice, q->deadline_us) ? EXTRA_BUSY
							      : EXTRA_NO_LEAF;
	if (!choice.leaf)
		return choice.is_busy && can_end(end_of_choice(r, p, &choice))
			       ? EXTRA_BUSY
			       : EXTRA_NO_LEAF;
	if (!is_uncharged &&
	    !extra_calls_take(&p->pool->extra, budget_cause,
			      router_extra_allowance(r, q), now))
		return EXTRA_NO_BUDGET;
	q->extra_call_count++;
	event_log(EV_CALL_EXTRA,
		  "request=%s service=%s leaf=%s cause=%s age_ms=%lld calls=%u",
		  q->request_id, p->pool->name, choice.leaf->entry.id,
		  log_cause, (long long)((now - q->start_us) / US_PER_MS),
		  p->sent_count);
	send_call(r, p, choice.leaf, true);
	return EXTRA_SENT;
}

static void handle_failed_call(struct router *r, struct router_timer *t);

/*
 * Sends a call in place of one that failed. If there is no free leaf or no
 * budget, a part of a gather retries later; a request without a gather fails at
 * once, so that its caller can retry. If first calls go before it, it retries
 * while it can meet its goal. Returns false if the part has failed.
 */
static bool replace_call(struct router *r, struct route_part *p,
			 bool is_uncharged, const char *log_cause)
{
	const struct route_request *q = p->request;
	enum extra_result ret =
		send_extra(r, p, EXTRA_CAUSE_FAILED, is_uncharged, log_cause);

	if (ret == EXTRA_SENT || ret == EXTRA_NO_LEAF)
		return ret == EXTRA_SENT;
	if (q->route->shape != ROUTE_GATHER &&
	    (ret != EXTRA_GIVES_WAY ||
	     request_end_of(r, q, 0, request_typical_work(q)) !=
		     TRIAGE_IN_GOAL))
		return false;
	router_timer_arm(r, &p->timer, router_now(r) + HEDGE_RETRY_US,
			 handle_failed_call);
	return true;
}

static void handle_failed_call(struct router *r, struct router_timer *t)
{
	struct route_part *p = HEAP_OWNER(t, struct route_part, timer);

	if (p->call_count || replace_call(r, p, false, "failed"))
		return;
	p->phase = PART_FAILED;
	request_handle_part_end(r, p->request);
}

static void handle_late_call(struct router *r, struct router_timer *t)
{
	struct route_part *p = HEAP_OWNER(t, struct route_part, timer);

	if (!may_hedge(p) ||
	    send_extra(r, p, EXTRA_CAUSE_LATE, false, "late") == EXTRA_SENT)
		return;
	router_timer_arm(r, &p->timer, router_now(r) + HEDGE_RETRY_US,
			 handle_late_call);
}

void part_hedge_now(struct router *r, struct route_part *p)
{
	if (p->phase == PART_RUNNING && !p->call_count)
		router_timer_arm(r, &p->timer, router_now(r), handle_late_call);
}

/* Takes a part out of the queue that no call can answer any more. */
static enum part_start_result give_up_waiting(struct router *r,
					      struct route_part *p,
					      enum triage_reason reason)
{
	struct route_request *q = p->request;

	if (reason && !q->value.is_begun && !q->is_partial) {
		request_refuse(r, q, reason);
		return PART_REFUSED;
	}
	waiting_remove(r, p);
	p->phase = PART_FAILED;
	return PART_HOPELESS;
}

enum part_start_result part_try_first(struct router *r, struct route_part *p)
{
	struct route_request *q = p->request;
	struct leaf_choice choice;

	if (!can_end(request_end_of(r, q, 0, request_typical_work(q))))
		return give_up_waiting(r, p,
				       r->has_triage ? TRIAGE_DEADLINE_MISSED
						     : TRIAGE_NOT_REFUSED);
	if (!recheck_caller(r, q))
		return give_up_waiting(r, p, TRIAGE_NOT_REFUSED);
	choice = leaf_choose(r, p);
	/* A retry that was moved may have tried all leaves that are left. */
	if (!choice.leaf && choice.is_busy)
		return PART_BLOCKED;
	if (!choice.leaf) {
		leaf_access_log_none(r, p);
		return give_up_waiting(r, p, TRIAGE_NOT_REFUSED);
	}
	if (!waiting_has_room(r, q))
		return give_up_waiting(r, p, TRIAGE_NO_ROOM);
	waiting_remove(r, p);
	send_call(r, p, choice.leaf, false);
	return PART_STARTED;
}

/* Returns whether a request is admitted only so that the estimate can follow. */
static bool is_trial(struct router *r, struct route_request *q)
{
	/* A trial of some parts only would be refused as a whole. */
	q->is_trial = q->is_trial ||
		      work_estimate_may_try(&q->stats->work, router_now(r));
	return q->is_trial;
}

/*
 * Returns whether a part that no free leaf is expected to answer within the
 * goal starts nevertheless.
 */
static bool may_be_late(struct router *r, const struct route_part *p,
			const struct leaf_choice *choice)
{
	struct route_request *q = p->request;
	int64_t end = router_now(r) + choice->wait_us + choice->expected_us;

	if (q->value.is_late && !q->is_partial && waiting_is_long(r, p))
		return choice->leaf && is_trial(r, q);
	if (!choice->leaf)
		return q->value.is_late && !q->is_partial &&
		       end <= q->plan_until_us;
	/* Without a queue at the leaf, only the estimate is against the call. */
	return q->value.is_late || q->is_partial ||
	       leaf_queued_calls(choice->leaf, router_now(r)) <= 0;
}

/* Returns the latest end of a part that is planned without triage. */
static int64_t plan_until(const struct router *r, const struct route_request *q)
{
	int64_t until = q->route->shape == ROUTE_GATHER ? q->goal_at_us
							: q->plan_until_us;

	return MIN(until, stop_last_answer(r));
}

/*
 * Returns whether a call to a free leaf starts although it is expected to end
 * after the deadline. Without a queue at the leaf, only an estimate of the work
 * excludes it.
 */
static bool may_be_too_late(struct router *r, const struct route_part *p,
			    const struct route_leaf *leaf)
{
	struct route_request *q = p->request;
	int64_t now = router_now(r);

	return (leaf_queued_calls(leaf, now) <= 0 &&
		now + work_estimate_low(&q->stats->work) <= q->deadline_us) ||
	       is_trial(r, q);
}

static bool is_feasible(struct router *r, struct route_part *p,
			const struct leaf_choice *choice)
{
	if (!choice->leaf && !choice->usable_count)
		return false;
	if (!r->has_triage)
		return choice->leaf ||
		       ends_until(r, choice, plan_until(r, p->request));
	switch (end_of_choice(r, p, choice)) {
	case TRIAGE_IN_GOAL:
		return true;
	case TRIAGE_LATE:
		p->is_crowded = !may_be_late(r, p, choice);
		return !p->is_crowded;
	case TRIAGE_TOO_LATE:
		p->is_crowded = !choice->leaf;
		return choice->leaf && may_be_too_late(r, p, choice->leaf);
	case TRIAGE_STOPPED:
		break;
	}
	return choice->leaf != NULL;
}

bool part_fits_without(struct router *r, struct route_part *p, int64_t freed_us)
{
	struct leaf_choice choice = leaf_choose(r, p);
	double drain = p->pool->drain;

	if (choice.leaf)
		return true;
	if (!choice.is_busy)
		return false;
	if (drain > 0)
		choice.wait_us = (int64_t)MAX(
			(double)choice.wait_us - (double)freed_us / drain, 0);
	return end_of_choice(r, p, &choice) == TRIAGE_IN_GOAL;
}

struct leaf_choice part_decide(struct router *r, struct route_part *p)
{
	struct leaf_choice choice = leaf_choose(r, p);

	p->planned_leaf = choice.leaf;
	p->is_crowded = false;
	p->is_infeasible = !is_feasible(r, p, &choice);
	if (!p->is_infeasible)
		return choice;
	if (p->is_crowded)
		request_note_figures(r, p->request, p, choice.wait_us,
				     choice.expected_us);
	else if (choice.leaf && !p->request->refusal.reason)
		request_note_excess_work(r, p->request, p, choice.expected_us);
	return choice;
}

bool part_plan(struct router *r, struct route_part *p)
{
	struct leaf_choice choice = part_decide(r, p);

	leaf_note_wanted(r, p, &choice);
	p->is_planned = true;
	if (p->is_infeasible)
		leaf_access_log_none(r, p);
	return !p->is_infeasible;
}

static bool is_in_open_batch(const struct route_part *p)
{
	return p->batch && p->batch->is_open;
}

/*
 * Sends the first call of a part that was planned for a batch which was not
 * sent: the rate limit of the planned leaf may leave no room for it.
 */
static void start_without_batch(struct router *r, struct route_part *p)
{
	struct leaf_choice choice = leaf_choose(r, p);

	leaf_note_wanted(r, p, &choice);
	if (choice.leaf) {
		send_call(r, p, choice.leaf, false);
	} else if (r->has_triage
			   ? choice.is_busy && end_of_choice(r, p, &choice) ==
						       TRIAGE_IN_GOAL
			   : ends_until(r, &choice, p->request->goal_at_us)) {
		waiting_add(r, p);
	} else {
		leaf_access_log_none(r, p);
		p->phase = PART_FAILED;
	}
}

void part_start(struct router *r, struct route_part *p)
{
	const struct route_request *q = p->request;
	int64_t now = router_now(r);

	if (p->is_infeasible) {
		p->phase = PART_FAILED;
		return;
	}
	if (q->is_repeat) {
		/* A leaf may have run a call of another host. */
		p->run_count = 1;
		if (p->run_count >= q->route->max_attempts ||
		    !extra_calls_take(&p->pool->extra, EXTRA_CAUSE_FAILED,
				      router_extra_allowance(r, q), now)) {
			p->phase = PART_FAILED;
			return;
		}
	}
	if (p->batch) {
		extra_calls_note_first(&p->pool->extra, now);
		p->phase = PART_RUNNING;
		/* The other host chooses the leaf. */
		arm_hedge(r, p, 1, now + BATCH_MARGIN_US);
	} else if (p->planned_leaf &&
		   leaf_access_check(r, p, p->planned_leaf, now).reason ==
			   ACCESS_ALLOWED) {
		waiting_note_taken(r, p);
		send_call(r, p, p->planned_leaf, false);
	} else if (p->planned_leaf) {
		start_without_batch(r, p);
	} else {
		waiting_add(r, p);
		waiting_shed(r, p->pool);
	}
}

/*
 * Lets a leaf that did not run a call be chosen again: it may have room before
 * the goal of the gather, or its evacuation may end.
 */
static void remove_tried(struct route_part *p, const struct route_leaf *leaf)
{
	for (uint32_t i = 0; i < p->tried_count; i++) {
		if (p->tried[i] != leaf)
			continue;
		p->tried[i] = p->tried[--p->tried_count];
		return;
	}
}

bool part_move_call(struct router *r, struct leaf_call *c)
{
	struct route_part *p = c->part;

	if (!r->options.ops->withdraw_call(r->options.ctx, c->id))
		return false;
	if (p) {
		unlink_call(p, c);
		remove_tried(p, c->leaf);
	}
	release_call(r, c);
	if (!p)
		return true;
	p->run_count--;
	if (p->call_count || is_in_open_batch(p))
		return true;
	router_timer_disarm(r, &p->timer);
	waiting_add(r, p);
	if (part_try_first(r, p) == PART_HOPELESS)
		request_handle_part_end(r, p->request);
	return true;
}

void part_end_calls(struct router *r, struct route_part *p)
{
	router_timer_disarm(r, &p->timer);
	while (p->call_count) {
		if (p->request->route->shape == ROUTE_GATHER)
			detach_running_call(r, p, p->calls[0]);
		else
			cancel_call(r, p, p->calls[0]);
	}
}

/* Learns the work of a call from its duration and the load of the leaf. */
static void note_work(struct router *r, struct leaf_call *c,
		      const struct router_result *result)
{
	struct upstream_pool *pool = c->leaf->pool;
	int64_t now = router_now(r);
	int64_t duration = now - c->start_us;
	double queued = c->queued;

	c->work_us = duration;
	if (result->load.is_known)
		queued = (queued + result->load.waiting) / 2;
	if (r->has_triage)
		c->work_us = triage_work_of_call(
			duration, queued, c->leaf->entry.slots,
			work_estimate_average(&pool->work));
	if (result->outcome != CALL_ANSWERED)
		return;
	latency_add(&c->stats->call_latency, duration);
	latency_add(&c->stats->call_work, c->work_us);
	if (!r->has_triage)
		return;
	work_estimate_add(&c->stats->work, c->work_us, now);
	work_estimate_add(&pool->work, c->work_us, now);
	if (c->part)
		work_estimate_add(
			&pool->priority_work[MIN(c->part->request->priority,
						 TRIAGE_PRIORITIES - 1)],
			c->work_us, now);
}

static void accept_reply(struct router *r, struct route_part *p,
			 const struct router_result *result)
{
	p->reply = leaf_reply_ref(result->reply);
	p->stamp = result->stamp;
	p->phase = PART_ANSWERED;
	part_end_calls(r, p);
	request_handle_part_end(r, p->request);
}

static bool may_retry(const struct route_part *p, enum call_outcome outcome)
{
	const struct route *route = p->request->route;

	if (p->call_count || p->run_count >= route->max_attempts ||
	    p->request->is_partial)
		return false;
	if (outcome == CALL_DECLINED)
		return route->shape == ROUTE_GATHER;
	return route->is_idempotent || !p->run_count;
}

/* Returns whether a status states that the request was not run. */
static bool is_not_run_status(unsigned int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

bool router_may_pass_on(const struct router_result *result)
{
	switch (result->outcome) {
	case CALL_ANSWERED:
		return true;
	case CALL_FAILURE:
	case CALL_DECLINED:
		return result->reply && result->stamp &&
		       !is_not_run_status(result->reply->status);
	case CALL_NOT_RUN:
	case CALL_MISDIRECTED:
	case CALL_NOT_SENT:
	case CALL_BROKEN:
		break;
	}
	return false;
}

static void handle_failure(struct router *r, struct route_part *p,
			   const struct route_leaf *leaf,
			   const struct router_result *result)
{
	struct route_request *q = p->request;

	event_log(EV_CALL_FAILED,
		  "request=%s service=%s outcome=%s status=%u cause=\"%s\"",
		  q->request_id, p->pool->name, outcome_name(result->outcome),
		  result->reply ? result->reply->status : 0,
		  result->cause ? result->cause : "");
	if (result->outcome == CALL_NOT_RUN &&
	    q->route->shape == ROUTE_GATHER &&
	    p->sent_count < RETRY_REFUSED_MAX)
		remove_tried(p, leaf);
	if (result->outcome == CALL_NOT_RUN ||
	    result->outcome == CALL_MISDIRECTED ||
	    result->outcome == CALL_NOT_SENT)
		p->run_count--;
	else if (router_may_pass_on(result)) {
		leaf_reply_unref(p->failure_reply);
		p->failure_reply = leaf_reply_ref(result->reply);
	}
	if (may_retry(p, result->outcome) &&
	    replace_call(r, p, result->outcome == CALL_NOT_SENT,
			 outcome_name(result->outcome)))
		return;
	if (p->call_count || is_in_open_batch(p))
		return;
	p->phase = PART_FAILED;
	router_timer_disarm(r, &p->timer);
	request_handle_part_end(r, q);
}

void part_leave_batch(struct router *r, struct route_part *p, bool is_refused)
{
	p->batch = NULL;
	if (is_refused)
		p->run_count--;
	if (p->phase != PART_RUNNING || p->call_count)
		return;
	if (p->run_count < p->request->route->max_attempts &&
	    replace_call(r, p, is_refused, "batch"))
		return;
	p->phase = PART_FAILED;
	router_timer_disarm(r, &p->timer);
}

void part_handle_result(struct router *r, struct leaf_call *c,
			const struct router_result *result)
{
	struct route_part *p = c->part;
	const struct route_leaf *leaf = c->leaf;

	note_work(r, c, result);
	leaf_note_result(r, c, result);
	if (p)
		unlink_call(p, c);
	release_call(r, c);
	if (!p)
		return;
	if (result->outcome == CALL_ANSWERED)
		accept_reply(r, p, result);
	else
		handle_failure(r, p, leaf, result);
}
