#include "nutmegpickd/host.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "common/errors.h"
#include "common/events.h"
#include "common/hash.h"
#include "nutmegpickd/metrics.h"
#include "nutmegpickd/route.h"

#define PATH_PREFIX "/v1/services/"
#define PATH_SUFFIX "/query"
#define GONE_CHECK_US (20 * US_PER_MS)
#define MAX_TOP_K 10000

static struct counter queries_total = {
	.name = "nutmegpick_queries_total",
	.help = "Queries received from callers.",
};
__attribute__((constructor)) static void register_counters(void)
{
	counter_register(&queries_total);
}

static char *parse_service(const char *path)
{
	size_t prefix = strlen(PATH_PREFIX);
	size_t suffix = strlen(PATH_SUFFIX);
	size_t len = strlen(path);

	if (len <= prefix + suffix || strncmp(path, PATH_PREFIX, prefix) ||
	    strcmp(path + len - suffix, PATH_SUFFIX))
		return NULL;
	return strndup(path + prefix, len - prefix - suffix);
}

static bool is_valid_id(const char *text)
{
	size_t len = strlen(text);

	if (!len || len >= ENGINE_ID_MAX)
		return false;
	for (size_t i = 0; i < len; i++) {
		if (!g_ascii_isalnum(text[i]) && !strchr("._:-", text[i]))
			return false;
	}
	return true;
}

static bool parse_positive(const char *text, int64_t max, int64_t *out)
{
	char *end;

	if (!g_ascii_isdigit(*text))
		return false;
	*out = g_ascii_strtoll(text, &end, 10);
	return !*end && *out > 0 && *out <= max;
}

static void make_request_id(char *out)
{
	static uint64_t counter;
	uint64_t n = hash_pair((uint64_t)g_get_real_time(), ++counter);

	snprintf(out, ENGINE_ID_MAX, "r-%016" PRIx64, n);
}

static int parse_headers(const struct http_exchange *x,
			 struct engine_request *r)
{
	const char *id = http_exchange_header(x, "Nutmegpick-Request-Id");
	const char *deadline =
		http_exchange_header(x, "Nutmegpick-Deadline-Ms");
	const char *key = http_exchange_header(x, "Nutmegpick-Request-Key");
	const char *created = http_exchange_header(x, "Nutmegpick-Key-Created");
	const char *idempotent =
		http_exchange_header(x, "Nutmegpick-Idempotent");
	const char *attempt = http_exchange_header(x, "Nutmegpick-Key-Attempt");
	int64_t ms;

	make_request_id(r->id);
	r->class = http_exchange_header(x, "Nutmegpick-Class");
	if (id && !is_valid_id(id))
		return -ERR_BAD_REQUEST;
	if (id)
		g_strlcpy(r->id, id, sizeof(r->id));
	if (deadline && !parse_positive(deadline, 3600000, &ms))
		return -ERR_BAD_REQUEST;
	if (deadline)
		r->deadline_us = ms * US_PER_MS;
	if (key && !is_valid_id(key))
		return -ERR_BAD_REQUEST;
	if (key)
		g_strlcpy(r->key, key, sizeof(r->key));
	if (created && !parse_positive(created, INT64_MAX / 1000, &ms))
		return -ERR_BAD_REQUEST;
	if (created)
		r->key_created_us = ms * US_PER_MS;
	if (idempotent && strcmp(idempotent, "true") &&
	    strcmp(idempotent, "false"))
		return -ERR_BAD_REQUEST;
	r->is_non_idempotent = idempotent && !strcmp(idempotent, "false");
	if (attempt && !parse_positive(attempt, 1000000, &ms))
		return -ERR_BAD_REQUEST;
	r->is_first_attempt = attempt && ms == 1;
	return 0;
}

static void query_free(struct host_query *q)
{
	if (q->id)
		g_hash_table_remove(q->host->queries, &q->id);
	merge_destroy(q->merge);
	free(q->service);
	free(q->leaf_body);
	g_free(q);
}

static uint32_t service_top_k(const struct host *h, const char *name)
{
	obj_handle s = h->set ? object_set_find_service(h->set, name)
			      : OBJ_NONE;

	return s == OBJ_NONE ? 1 : h->set->services[s].top_k;
}

static int parse_body(struct host_query *q, const char *text, size_t len)
{
	json_t *body = json_loadb(text, len, JSON_REJECT_DUPLICATES, NULL);
	json_t *top_k = json_object_get(body, "top_k");
	json_t *leaf;
	json_int_t k = service_top_k(q->host, q->service);

	if (!json_object_get(body, "query") ||
	    (top_k && !json_is_integer(top_k))) {
		json_decref(body);
		return -ERR_BAD_REQUEST;
	}
	if (top_k)
		k = json_integer_value(top_k);
	if (k < 1 || k > MAX_TOP_K) {
		json_decref(body);
		return -ERR_BAD_REQUEST;
	}
	leaf = json_pack("{s:O,s:I}", "query", json_object_get(body, "query"),
			 "top_k", k);
	q->leaf_body = json_dumps(leaf, JSON_COMPACT);
	q->leaf_body_len = strlen(q->leaf_body);
	json_decref(leaf);
	json_decref(body);
	return merge_create(&q->merge, (size_t)k);
}

static void refuse_query(struct host_query *q, int code, int64_t retry_after_us)
{
	answer_refuse(q->host, &q->origin, q->request_id, code, RUN_NOT_RUN,
		      retry_after_us);
	query_free(q);
}

static int try_submit(struct host_query *q, struct engine_request *request,
		      int64_t *retry_after)
{
	struct host *h = q->host;
	int ret;

	request->service = q->service;
	request->user = q;
	ret = engine_submit(h->engine, request, &q->id, retry_after);
	if (ret)
		q->id = 0;
	else
		g_hash_table_insert(h->queries, &q->id, q);
	return ret;
}

static void submit_query(struct host_query *q, struct engine_request *request)
{
	int64_t retry_after = 0;
	int ret = try_submit(q, request, &retry_after);

	if (ret)
		refuse_query(q, ret, retry_after);
}

static struct host_query *create_query(struct host *h, struct origin origin,
				       char *service)
{
	struct host_query *q = g_new0(struct host_query, 1);

	q->host = h;
	q->origin = origin;
	q->service = service;
	return q;
}

void query_start(struct host *h, struct http_exchange *x)
{
	struct engine_request request = { 0 };
	struct host_query *q;
	char *service = parse_service(http_exchange_path(x));
	const char *body;
	size_t len;
	int ret;

	if (!service) {
		page_send(h, x);
		return;
	}
	counter_add(&queries_total, 1);
	q = create_query(h, (struct origin){ .exchange = x }, service);
	ret = parse_headers(x, &request);
	request.service = service;
	g_strlcpy(q->request_id, request.id, sizeof(q->request_id));
	if (!ret && strcmp(http_exchange_method(x), "POST"))
		ret = -ERR_NET_METHOD;
	body = http_exchange_body(x, &len);
	if (!ret)
		ret = parse_body(q, body, len);
	if (!ret)
		ret = forward_start(h, x, &request);
	if (!ret && h->fleet)
		route_check_holder(h, &request);
	if (ret < 0)
		refuse_query(q, ret, 0);
	else if (ret > 0)
		query_free(q);
	else
		submit_query(q, &request);
}

int query_start_local(struct host *h, struct origin origin,
		      const struct engine_request *request)
{
	struct engine_request copy = *request;
	struct host_query *q =
		create_query(h, origin, strdup(request->service));
	int64_t retry_after = 0;
	const char *body;
	size_t len;
	int ret;

	g_strlcpy(q->request_id, request->id, sizeof(q->request_id));
	body = http_exchange_body(origin.exchange, &len);
	ret = parse_body(q, body, len);
	if (!ret)
		ret = route_check_holder(h, &copy);
	if (!ret)
		ret = try_submit(q, &copy, &retry_after);
	if (ret)
		query_free(q);
	return ret;
}

void query_start_forwarded(struct host *h, link_id link,
			   const struct forward_query *f)
{
	struct engine_request request = {
		.class = f->class,
		.deadline_us = f->remaining_us,
		.key_created_us = f->key_created_us,
		.is_first_attempt = f->is_first_attempt,
		.is_non_idempotent = f->is_non_idempotent,
	};
	struct origin origin = { .link = link, .forward_id = f->id };
	struct host_query *q = create_query(h, origin, strdup(f->service));
	int ret;

	g_strlcpy(request.id, f->request_id, sizeof(request.id));
	g_strlcpy(request.key, f->key, sizeof(request.key));
	g_strlcpy(q->request_id, request.id, sizeof(q->request_id));
	request.service = q->service;
	ret = parse_body(q, f->body, f->body_len);
	if (!ret)
		ret = route_check_holder(h, &request);
	if (ret)
		refuse_query(q, ret, 0);
	else
		submit_query(q, &request);
}

void query_handle_reply(struct host *h, struct upstream_reply *reply)
{
	struct host_query *q = g_hash_table_lookup(h->calls, &reply->call_id);
	bool is_accepted = engine_call_result(h->engine, &reply->result);
	json_t *hit;
	size_t i;

	g_hash_table_remove(h->calls, &reply->call_id);
	if (!is_accepted || !q)
		return;
	json_array_foreach (reply->body, i, hit) {
		const char *id = json_string_value(json_object_get(hit, "id"));
		json_t *score = json_object_get(hit, "score");

		merge_add(q->merge, id, reply->shard, json_number_value(score));
	}
}

static void abandon_query(struct host_query *q, int code)
{
	if (!origin_is_open(&q->origin))
		return;
	answer_refuse(q->host, &q->origin, q->request_id, code, RUN_UNKNOWN, 0);
	/* A run for a request key continues; handle_finish_query() ends it. */
	if (engine_cancel(q->host->engine, q->id))
		query_free(q);
}

void query_cancel_gone(struct host *h)
{
	int64_t now = clock_now(&h->clock);
	GHashTableIter iter;
	struct host_query *q;
	GPtrArray *gone;

	if (now < h->next_gone_check_us)
		return;
	h->next_gone_check_us = now + GONE_CHECK_US;
	gone = g_ptr_array_new();
	g_hash_table_iter_init(&iter, h->queries);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&q)) {
		if (q->origin.exchange &&
		    http_exchange_is_caller_gone(q->origin.exchange))
			g_ptr_array_add(gone, q);
	}
	for (guint i = 0; i < gone->len; i++)
		abandon_query(gone->pdata[i], -ERR_CANCELLED);
	g_ptr_array_free(gone, TRUE);
}

void query_cancel_forwarded(struct host *h, link_id link, uint64_t forward_id)
{
	GHashTableIter iter;
	struct host_query *q;

	g_hash_table_iter_init(&iter, h->queries);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&q)) {
		if (q->origin.link != link ||
		    q->origin.forward_id != forward_id)
			continue;
		abandon_query(q, -ERR_CANCELLED);
		return;
	}
}

void query_refuse_all(struct host *h, bool is_forwarded)
{
	GList *queries = g_hash_table_get_values(h->queries);

	for (GList *l = queries; l; l = l->next) {
		struct host_query *q = l->data;

		if ((q->origin.link != 0) == is_forwarded)
			abandon_query(q, -ERR_STOPPING);
	}
	g_list_free(queries);
}

static void handle_start_call(void *ctx, const struct engine_call *call)
{
	struct host *h = ctx;
	struct host_query *q = call->user;
	struct upstream_call c = {
		.call_id = call->call_id,
		.address = call->address,
		.request_id = call->request_id,
		.shard = call->shard_name,
		.snapshot = call->snapshot,
		.remaining_us = call->remaining_us,
		.body = q->leaf_body,
		.body_len = q->leaf_body_len,
	};
	uint64_t *id = g_memdup2(&call->call_id, sizeof(*id));

	g_hash_table_insert(h->calls, id, q);
	metrics_count_call(call);
	if (upstream_start_call(h->upstream, &c)) {
		struct upstream_reply *reply = calloc(1, sizeof(*reply));

		/* A callback must not call the engine, so an event is sent. */
		reply->call_id = call->call_id;
		reply->result.call_id = call->call_id;
		reply->result.status = CALL_CONNECT_FAILED;
		host_send_event(h, (struct host_event){ .type = HOST_REPLY,
							.reply = reply });
	}
}

static void handle_cancel_call(void *ctx, uint64_t call_id)
{
	struct host *h = ctx;

	g_hash_table_remove(h->calls, &call_id);
	upstream_cancel_call(h->upstream, call_id);
}

static void handle_reset_results(void *ctx, uint64_t query_id, void *user)
{
	struct host_query *q = user;

	merge_reset(q->merge);
}

static void handle_finish_query(void *ctx, uint64_t query_id,
				const struct engine_outcome *outcome)
{
	struct host_query *q = outcome->user;

	answer_send(q, outcome);
	query_free(q);
}

static void handle_expire_result(void *ctx, uint64_t query_id)
{
	struct host *h = ctx;

	g_hash_table_remove(h->kept_hits, &query_id);
}

const struct engine_ops query_engine_ops = {
	.start_call = handle_start_call,
	.cancel_call = handle_cancel_call,
	.reset_results = handle_reset_results,
	.finish_query = handle_finish_query,
	.expire_result = handle_expire_result,
};
