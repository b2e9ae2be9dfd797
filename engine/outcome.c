#include <inttypes.h>

#include "common/errors.h"
#include "engine/internal.h"

static enum run_state run_state(const struct query *q, int code)
{
	if (!code)
		return RUN_DONE;
	return q->may_have_run ? RUN_UNKNOWN : RUN_NOT_RUN;
}

/* Returns the shards that are missing; free with g_free(). */
static struct engine_gap *list_gaps(const struct query *q, uint32_t *count)
{
	struct engine_gap *gaps = g_new(struct engine_gap, q->shard_count + 1);

	*count = 0;
	for (uint32_t i = 0; i < q->shard_count; i++) {
		const struct query_shard *s = &q->shards[i];

		if (s->phase == SHARD_ANSWERED)
			continue;
		gaps[*count].shard = query_shard_object(s)->name;
		gaps[(*count)++].reason = s->reason;
	}
	return gaps;
}

/* Fills in the outcome for a repeat of a request key whose run has ended. */
static void fill_repeat_outcome(const struct query *q,
				struct engine_outcome *out)
{
	*out = q->key->outcome;
	out->duplicate_of = q->duplicate_of;
	out->needed_calls = 0;
	out->extra_calls = 0;
	if (q->key->state == KEY_UNKNOWN)
		out->code = -ERR_KEY_UNKNOWN;
}

static void fill_run_outcome(struct query *q, struct engine_outcome *out,
			     struct engine_gap **gaps)
{
	out->code = q->code ? q->code
			    : (query_is_covered(q) ? 0 : -ERR_COVERAGE);
	out->run = run_state(q, out->code);
	out->snapshot = q->snapshot;
	out->weight = q->weight;
	out->total_weight = q->total_weight;
	out->config_version = q->view ? q->view->set->version : 0;
	out->retry_after_us = q->retry_after_us;
	out->needed_calls = q->shard_count;
	out->extra_calls = q->extra_calls;
	*gaps = list_gaps(q, &out->gap_count);
	out->gaps = *gaps;
}

void outcome_deliver(struct engine *e, struct query *q)
{
	struct engine_outcome out = { 0 };
	struct engine_gap *gaps = NULL;
	bool is_repeat = q->duplicate_of && !q->code;

	if (is_repeat)
		fill_repeat_outcome(q, &out);
	else
		fill_run_outcome(q, &out, &gaps);
	out.request_id = q->request_id;
	out.total_us = engine_now(e) - q->start_us;
	out.user = q->user;
	out.is_kept = q->key && !q->duplicate_of && out.run != RUN_NOT_RUN;
	LOG(QUERY_FINISH,
	    "request=%s code=E%d run=%d weight=%" PRIu64 " of=%" PRIu64
	    " total_us=%" PRId64 " duplicate_of=%" PRIu64,
	    q->request_id, -out.code, out.run, out.weight, out.total_weight,
	    out.total_us, out.duplicate_of);
	e->options.ops->finish_query(e->options.ctx, q->id, &out);
	if (q->key && !q->duplicate_of)
		request_key_store_outcome(e, q, &out);
	g_free(gaps);
	query_release(e, q);
}
