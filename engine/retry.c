#include "common/errors.h"
#include "engine/internal.h"

/*
 * Most calls to a shard, the first included: for non-idempotent requests of a
 * service without a retry rule, and for the naive_retry policy.
 */
#define DEFAULT_ATTEMPTS 3
#define NAIVE_ATTEMPTS 4

/* Backoff when the budget has no token; doubles up to the maximum. */
#define TOKEN_BACKOFF_MIN_US (2 * US_PER_MS)
#define TOKEN_BACKOFF_MAX_US (50 * US_PER_MS)

static const struct retry_object *find_retry_rule(const struct query *q)
{
	const struct service_object *service = query_service(q);

	if (service->retry == OBJ_NONE)
		return NULL;
	return &q->view->set->retries[service->retry];
}

double retry_budget_percent(const struct query *q)
{
	const struct retry_object *rule = find_retry_rule(q);

	return rule && rule->budget_percent > 0 ? rule->budget_percent : 5.0;
}

static uint32_t max_attempts(const struct query *q)
{
	const struct retry_object *rule = find_retry_rule(q);

	if (query_service(q)->policy == POLICY_NAIVE_RETRY)
		return NAIVE_ATTEMPTS;
	if (query_service(q)->policy == POLICY_ROUND_ROBIN)
		return 1;
	if (rule)
		return rule->attempts;
	return q->is_non_idempotent ? DEFAULT_ATTEMPTS : 1;
}

static bool may_retry(const struct query_shard *s,
		      const struct engine_result *result)
{
	const struct query *q = s->query;

	if (q->is_non_idempotent && call_may_have_run(result))
		return false;
	if (result->status == CALL_EXPIRED)
		return false;
	return s->attempts < max_attempts(q);
}

static void handle_retry(struct engine *e, struct timer *t);

static void schedule_retry(struct engine *e, struct query_shard *s, int64_t us)
{
	int64_t at = engine_now(e) + us;

	if (at >= s->query->deadline_us) {
		query_mark_shard_missing(e, s, ERR_UPSTREAM);
		return;
	}
	timer_arm(e, &s->timer, at, handle_retry);
}

static void send_retry(struct engine *e, struct query_shard *s)
{
	if (query_has_limits(s->query) && !budget_take_retry(&e->budget)) {
		s->token_backoff_us = CLAMP(2 * s->token_backoff_us,
					    TOKEN_BACKOFF_MIN_US,
					    TOKEN_BACKOFF_MAX_US);
		schedule_retry(e, s, s->token_backoff_us);
		return;
	}
	LOG(CALL_RETRY, "request=%s shard=%s attempt=%u", s->query->request_id,
	    query_shard_object(s)->name, s->attempts + 1);
	call_start(e, s, CALL_RETRY);
}

static void handle_retry(struct engine *e, struct timer *t)
{
	send_retry(e, HEAP_OWNER(t, struct query_shard, timer));
}

void retry_shard(struct engine *e, struct query_shard *s,
		 const struct engine_result *result)
{
	const struct retry_object *rule = find_retry_rule(s->query);
	int64_t backoff = 0;

	if (!may_retry(s, result)) {
		query_mark_shard_missing(e, s, ERR_UPSTREAM);
		return;
	}
	if (rule && query_has_limits(s->query))
		backoff = (int64_t)((double)rule->backoff_us *
				    g_rand_double_range(e->random, 0.5, 1.5));
	if (backoff)
		schedule_retry(e, s, backoff);
	else
		send_retry(e, s);
}
