#include "nutmegpickd/host.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "common/errors.h"
#include "nutmegpickd/metrics.h"

static const char *const run_names[] = {
	[RUN_NOT_RUN] = "not_run",
	[RUN_UNKNOWN] = "unknown",
	[RUN_DONE] = "done",
};

static unsigned int http_status(int code)
{
	switch (-code) {
	case ERR_BAD_REQUEST:
	case ERR_KEY_REQUIRED:
		return 400;
	case ERR_NO_SERVICE:
	case ERR_NET_NOT_FOUND:
		return 404;
	case ERR_NET_METHOD:
		return 405;
	case ERR_KEY_UNKNOWN:
		return 409;
	case ERR_NET_BODY_SIZE:
		return 413;
	case ERR_NOT_OWNER:
		return 421;
	case ERR_OVERLOAD:
		return 429;
	case ERR_DEADLINE:
		return 504;
	case ERR_UPSTREAM:
	case ERR_COVERAGE:
		return 502;
	default:
		return 503;
	}
}

static json_t *encode_gaps(const struct engine_outcome *o)
{
	json_t *gaps = json_array();
	char code[16];

	for (uint32_t i = 0; i < o->gap_count; i++) {
		snprintf(code, sizeof(code), "E%d", o->gaps[i].reason);
		json_array_append_new(gaps,
				      json_pack("{s:s,s:s,s:s}", "shard",
						o->gaps[i].shard, "reason",
						code, "message",
						error_text(o->gaps[i].reason)));
	}
	return gaps;
}

static json_t *encode_coverage(const struct engine_outcome *o)
{
	double percent = 0;

	if (o->total_weight)
		percent = 100.0 * (double)o->weight / (double)o->total_weight;
	return json_pack("{s:I,s:I,s:f,s:o}", "weight", (json_int_t)o->weight,
			 "total", (json_int_t)o->total_weight, "percent",
			 percent, "missing", encode_gaps(o));
}

static json_t *encode_hits(struct merge *merge)
{
	size_t count;
	const struct hit *hits = merge_sorted(merge, &count);
	json_t *array = json_array();

	for (size_t i = 0; i < count; i++)
		json_array_append_new(array, json_pack("{s:s,s:f,s:s}", "id",
						       hits[i].id, "score",
						       hits[i].score, "shard",
						       hits[i].shard));
	return array;
}

/* Returns the hits of this run, or of the run that it is a duplicate of. */
static json_t *take_hits(struct host_query *q, const struct engine_outcome *o)
{
	struct host *h = q->host;
	json_t *hits;

	if (o->duplicate_of) {
		hits = g_hash_table_lookup(h->kept_hits, &o->duplicate_of);
		return hits ? json_incref(hits) : json_array();
	}
	hits = encode_hits(q->merge);
	if (o->is_kept)
		g_hash_table_insert(h->kept_hits,
				    g_memdup2(&q->id, sizeof(q->id)),
				    json_incref(hits));
	return hits;
}

static void send_json(struct host *h, struct origin *o, unsigned int status,
		      int64_t retry_after_us, json_t *document)
{
	char *text = json_dumps(document, JSON_COMPACT);
	uint32_t seconds =
		(uint32_t)((MAX(retry_after_us, 0) + US_PER_S - 1) / US_PER_S);

	json_decref(document);
	origin_reply(h, o, status, seconds, text, strlen(text));
	free(text);
}

static json_t *encode_refusal(const char *request_id, int code,
			      enum run_state run)
{
	char number[16];

	snprintf(number, sizeof(number), "E%d", -code);
	return json_pack("{s:s,s:s,s:s,s:s}", "request", request_id, "error",
			 number, "message", error_text(code), "run",
			 run_names[run]);
}

void answer_send(struct host_query *q, const struct engine_outcome *o)
{
	json_t *document;

	if (o->code)
		metrics_count_refusal(o->code, o->run);
	else
		metrics_count_answer(o->total_us);
	if (!origin_is_open(&q->origin)) {
		if (!o->code)
			json_decref(take_hits(q, o));
		return;
	}
	if (o->code) {
		document = encode_refusal(o->request_id, o->code, o->run);
		json_object_set_new(document, "coverage", encode_coverage(o));
		send_json(q->host, &q->origin, http_status(o->code),
			  o->retry_after_us, document);
		return;
	}
	document = json_pack("{s:s,s:s,s:I,s:I,s:o,s:o,s:{s:I,s:I,s:I}}",
			     "request", o->request_id, "service", q->service,
			     "snapshot", (json_int_t)o->snapshot, "version",
			     (json_int_t)o->config_version, "coverage",
			     encode_coverage(o), "hits", take_hits(q, o),
			     "timing", "total_us", (json_int_t)o->total_us,
			     "needed_calls", (json_int_t)o->needed_calls,
			     "extra_calls", (json_int_t)o->extra_calls);
	send_json(q->host, &q->origin, 200, 0, document);
}

void answer_refuse(struct host *h, struct origin *o, const char *request_id,
		   int code, enum run_state run, int64_t retry_after_us)
{
	metrics_count_refusal(code, run);
	send_json(h, o, http_status(code), retry_after_us,
		  encode_refusal(request_id, code, run));
}
