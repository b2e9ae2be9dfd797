#include "router/internal.h"

/* Requests whose calls take up to this quantile of durations still start. */
#define DURATION_QUANTILE 0.99
/* Reserved for sending an answer before the host ends. */
#define ANSWER_MARGIN_US (20 * US_PER_MS)

int64_t stop_expected_duration(struct route_stats *s, const struct route *route)
{
	int64_t us = latency_quantile(&s->call_latency, DURATION_QUANTILE);

	if (!us || route->shape == ROUTE_GATHER)
		us = route->goal_us;
	return us;
}

bool router_is_stopping(const struct router *r)
{
	return r->stop_us != INT64_MAX;
}

int64_t stop_last_answer(const struct router *r)
{
	return router_is_stopping(r) ? r->stop_us - ANSWER_MARGIN_US
				     : INT64_MAX;
}

int64_t stop_time_left(const struct router *r)
{
	if (!router_is_stopping(r))
		return INT64_MAX;
	return stop_last_answer(r) - router_now(r);
}

bool stop_may_start(const struct router *r, struct route_stats *s,
		    const struct route *route)
{
	struct triage_limits limits = { .goal_at_us = INT64_MAX,
					.deadline_us = INT64_MAX,
					.stop_us = stop_last_answer(r) };
	struct triage_work work = { 0 };

	if (!router_is_stopping(r))
		return true;
	work.stop_work_us = stop_expected_duration(s, route);
	return triage_end_of(&limits, &work, router_now(r)) != TRIAGE_STOPPED;
}

void stop_limit_request(const struct router *r, struct route_request *q)
{
	if (q->deadline_us <= r->stop_us)
		return;
	q->deadline_us = r->stop_us;
	q->is_cut_by_stop = true;
}

bool router_may_start(struct router *r, const struct route *route)
{
	return stop_may_start(r, route_stats_get(r, route), route);
}

void router_stop_at(struct router *r, int64_t stop_us)
{
	r->stop_us = stop_us;
	for (uint32_t i = 0; i < r->requests.capacity; i++) {
		struct route_request *q = r->requests.items[i];

		if (!q->id)
			continue;
		stop_limit_request(r, q);
		request_arm_timer(r, q);
	}
}
