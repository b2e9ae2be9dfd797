#include "net/upstream_reply.h"

#include <stdlib.h>
#include <string.h>

static bool has_text(const json_t *document, const char *field,
		     const char *expected)
{
	const char *text = json_string_value(json_object_get(document, field));

	return text && !strcmp(text, expected);
}

static bool has_attempt(const json_t *document, uint64_t id)
{
	const json_t *v = json_object_get(document, "attempt");

	return json_is_integer(v) && (uint64_t)json_integer_value(v) == id;
}

static bool has_snapshot(const json_t *document, uint64_t requested)
{
	const json_t *v = json_object_get(document, "snapshot");

	if (!json_is_integer(v) || json_integer_value(v) < 0)
		return false;
	return !requested || (uint64_t)json_integer_value(v) == requested;
}

static bool are_hits_valid(const json_t *hits)
{
	json_t *hit;
	size_t i;

	if (!json_is_array(hits))
		return false;
	json_array_foreach (hits, i, hit) {
		if (!json_is_string(json_object_get(hit, "id")) ||
		    !json_is_number(json_object_get(hit, "score")))
			return false;
	}
	return true;
}

static enum call_status classify_answer(const struct upstream_transfer *t,
					struct upstream_reply *reply)
{
	json_t *document =
		json_loadb(t->body, t->body_len, JSON_REJECT_DUPLICATES, NULL);
	json_t *hits = json_object_get(document, "hits");
	json_t *snapshot = json_object_get(document, "snapshot");
	enum call_status status = CALL_BAD_REPLY;

	if (has_attempt(document, reply->call_id) &&
	    has_text(document, "request", t->request_id) &&
	    has_text(document, "shard", t->shard) &&
	    has_snapshot(document, t->snapshot) && are_hits_valid(hits)) {
		reply->result.snapshot = (uint64_t)json_integer_value(snapshot);
		reply->body = json_incref(hits);
		status = CALL_OK;
	}
	json_decref(document);
	return status;
}

static enum call_status classify_status(const struct upstream_transfer *t,
					struct upstream_reply *reply)
{
	bool is_not_run = t->run && !strcmp(t->run, "not_run");

	switch (t->status) {
	case 200:
		return classify_answer(t, reply);
	case 409:
		return CALL_REPARTITIONED;
	case 410:
		return CALL_SNAPSHOT_GONE;
	case 503:
		if (!is_not_run)
			return CALL_ERROR;
		return reply->result.is_draining ? CALL_DRAINING : CALL_SHED;
	case 504:
		return is_not_run ? CALL_EXPIRED : CALL_ERROR;
	default:
		return CALL_ERROR;
	}
}

void upstream_classify_transfer(const struct upstream_transfer *t,
				struct upstream_reply *reply)
{
	struct engine_result *r = &reply->result;

	r->call_id = reply->call_id;
	r->is_sent = t->bytes_sent > 0;
	r->load = t->load ? atoi(t->load) : -1;
	r->is_draining = t->state && !strcmp(t->state, "draining");
	if (!t->is_failed)
		r->status = classify_status(t, reply);
	else if (t->is_timed_out && t->is_connected)
		r->status = CALL_TIMEOUT;
	else if (!t->is_connected)
		r->status = CALL_CONNECT_FAILED;
	else
		r->status = CALL_RESET;
}

void upstream_reply_free(struct upstream_reply *reply)
{
	json_decref(reply->body);
	free(reply->address);
	free(reply->shard);
	free(reply);
}
