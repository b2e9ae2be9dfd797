#include "common/errors.h"
#include "engine/internal.h"

/* Calls to a shard, the first included, where the service has no rule. */
#define DEFAULT_ATTEMPTS 3

static uint32_t max_attempts(const struct query *q)
{
	const struct service_object *service = query_service(q);

	if (service->retry == OBJ_NONE)
		return q->is_non_idempotent ? DEFAULT_ATTEMPTS : 1;
	return q->view->set->retries[service->retry].attempts;
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

void retry_shard(struct engine *e, struct query_shard *s,
		 const struct engine_result *result)
{
	if (!may_retry(s, result)) {
		query_miss_shard(e, s, ERR_UPSTREAM);
		return;
	}
	LOG(CALL_RETRY, "request=%s shard=%s attempt=%u", s->query->request_id,
	    query_shard_object(s)->name, s->attempts + 1);
	call_start(e, s, CALL_RETRY);
}
