#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "common/errors.h"
#include "common/events.h"
#include "nutmegpickd/route_internal.h"
#include "router/explain.h"

/* Hosts that are listed of those to which a request may be forwarded. */
#define LISTED_HOSTS 3
/* Outcomes that are decided before the router is asked. */
#define OUTCOME_HELD "hold"
#define OUTCOME_QUOTA_WAIT "quota_wait"
#define OUTCOME_FORWARDED "forward"

struct question {
	GHashTable *parameters;
	const char *host;
	/** Without the query, which may hold what the caller keeps secret. */
	char *path;
	const char *method;
	const char *organisation;
	bool is_full;
};

/** Parts of the answer that the router does not decide on. */
struct answer {
	struct route_explanation *explanation;
	struct quota_view quota;
	struct forward_view forward;
	bool is_held;
	/** What would happen to the request, and its refusal. */
	const char *outcome;
	unsigned int status;
	int code;
};

static json_t *to_ms(int64_t us)
{
	return json_real((double)us / US_PER_MS);
}

/* Returns null for a negative time, which stands for a time not known. */
static json_t *to_known_ms(int64_t us)
{
	return us < 0 ? json_null() : to_ms(us);
}

static json_t *to_regions(char *const *regions)
{
	json_t *out;

	if (!regions)
		return json_null();
	out = json_array();
	for (; *regions; regions++)
		json_array_append_new(out, json_string(*regions));
	return out;
}

static void set_error(json_t *out, int code)
{
	char name[16];

	g_snprintf(name, sizeof(name), "E%d", ABS(code));
	json_object_set_new(out, "error", json_string(name));
	json_object_set_new(out, "message", json_string(error_text(code)));
}

static const char *shape_name(enum route_shape shape)
{
	switch (shape) {
	case ROUTE_SINGLE:
		return "single";
	case ROUTE_SPLIT:
		return "split";
	case ROUTE_GATHER:
		break;
	}
	return "gather";
}

static json_t *describe_route(const struct route *route)
{
	if (!route)
		return json_null();
	return json_pack(
		"{s:s, s:s, s:s, s:s, s:b, s:b, s:i, s:i, s:o, s:o, s:f, s:o}",
		"name", route->name, "host", route->host, "prefix",
		route->prefix, "shape", shape_name(route->shape), "public",
		route->is_public, "idempotent", route->is_idempotent,
		"priority", (int)route->priority, "max_attempts",
		(int)route->max_attempts, "goal_ms", to_ms(route->goal_us),
		"timeout_ms", to_ms(route->timeout_us), "min_coverage",
		route->shape == ROUTE_GATHER ? route->min_coverage : 1.0,
		"regions", to_regions(route->regions));
}

static json_t *describe_organisation(const struct organisation *o)
{
	if (!o)
		return json_null();
	return json_pack("{s:s, s:o, s:o}", "name", o->name, "priority",
			 o->has_priority ? json_integer(o->priority)
					 : json_null(),
			 "regions", to_regions(o->regions));
}

static const char *quota_decision_name(enum quota_decision decision)
{
	switch (decision) {
	case QUOTA_ADMITTED:
		return "admitted";
	case QUOTA_EXCEEDED:
		return "exceeded";
	case QUOTA_WAITS:
		break;
	}
	return "wait";
}

static json_t *describe_quota(const struct answer *a)
{
	const struct organisation *o = a->explanation->organisation;

	if (!o || o->max_per_s <= 0)
		return json_null();
	return json_pack("{s:s, s:f, s:f, s:i, s:i, s:f, s:o, s:o}", "decision",
			 quota_decision_name(a->quota.decision), "max_per_s",
			 o->max_per_s, "burst", o->burst, "tokens",
			 (int)a->quota.tokens, "waiting", (int)a->quota.waiting,
			 "wanted_per_s", a->quota.wanted_per_s, "dry_ms",
			 to_ms(a->quota.dry_us), "longest_wait_ms",
			 to_ms(a->quota.longest_wait_us));
}

static const char *forward_reason_name(enum forward_reason reason)
{
	static const char *const names[] = {
		[FORWARD_ALLOWED] = "forwarded",
		[FORWARD_NOT_GATHERED] = "not_gathered",
		[FORWARD_STOPPING] = "stopping",
		[FORWARD_REGION] = "region",
		[FORWARD_GATHERS_ITSELF] = "gathers_itself",
		[FORWARD_NO_TIME] = "no_time",
	};

	return names[reason];
}

static json_t *describe_forward(const struct answer *a)
{
	const GPtrArray *hosts = a->forward.hosts;
	json_t *list = json_array();
	guint count = hosts ? hosts->len : 0;

	for (guint i = 0; i < MIN(count, LISTED_HOSTS); i++) {
		const struct known_host *h = hosts->pdata[i];

		json_array_append_new(list, json_string(h->record.name));
	}
	return json_pack("{s:s, s:i, s:o}", "reason",
			 forward_reason_name(a->forward.reason), "host_count",
			 (int)count, "hosts", list);
}

static json_t *describe_leaf(const struct explained_leaf *l,
			     const struct explained_part *p)
{
	const struct route_leaf *leaf = l->leaf;

	return json_pack(
		"{s:s, s:s, s:s?, s:s, s:o, s:o, s:o, s:b, s:b, s:b, s:i, s:b}",
		"leaf", leaf->entry.id, "domain", leaf->entry.domain, "region",
		l->region, "access", leaf_access_reason_name(l->access.reason),
		"until_ms", to_known_ms(l->wait_us), "expected_ms",
		to_ms(l->expected_us), "cost_ms", to_ms(l->cost_us),
		"last_resort", l->access.is_last_resort, "batch",
		l->access.may_join_batch, "left_free", l->is_left_free, "calls",
		(int)leaf->calls.length, "chosen", leaf == p->leaf);
}

static json_t *describe_part(const struct explained_part *p)
{
	json_t *out = json_pack("{s:s, s:s?, s:b, s:o, s:o, s:i}", "upstream",
				p->upstream, "leaf",
				p->leaf ? p->leaf->entry.id : NULL, "in_time",
				!p->is_infeasible, "wait_ms", to_ms(p->wait_us),
				"expected_ms", to_ms(p->expected_us), "waiting",
				(int)p->waiting_count);
	json_t *leaves = json_array();

	for (guint i = 0; i < p->leaves->len; i++) {
		const struct explained_leaf *l =
			&g_array_index(p->leaves, struct explained_leaf, i);

		json_array_append_new(leaves, describe_leaf(l, p));
	}
	json_object_set_new(out, "leaves", leaves);
	return out;
}

static void add_parts(json_t *out, const struct route_explanation *e)
{
	json_t *without = json_array();
	json_t *listed = json_array();

	for (guint i = 0; i < e->parts->len; i++) {
		const struct explained_part *p =
			&g_array_index(e->parts, struct explained_part, i);

		if (!p->leaf)
			json_array_append_new(without,
					      json_string(p->upstream));
		if (p->leaves)
			json_array_append_new(listed, describe_part(p));
	}
	json_object_set_new(out, "part_count", json_integer(e->parts->len));
	json_object_set_new(out, "parts_not_in_time",
			    json_integer(e->infeasible_count));
	json_object_set_new(out, "parts_without_leaf", without);
	json_object_set_new(out, "parts", listed);
}

/* Describes what this host would do with a request that it is to run itself. */
static json_t *describe_here(const struct route_explanation *e)
{
	json_t *out;

	if (!e->copy)
		return json_null();
	out = json_pack("{s:s, s:i, s:b, s:o, s:o}", "outcome",
			route_outcome_name(e->outcome), "priority",
			(int)e->priority, "triage", e->has_triage, "goal_ms",
			to_ms(e->goal_us), "deadline_ms",
			to_ms(e->deadline_us));
	if (e->has_triage)
		json_object_set_new(out, "rank", json_integer(e->rank));
	if (e->code)
		set_error(out, e->code);
	if (!e->reason)
		return out;
	json_object_update_new(
		out, json_pack("{s:s, s:o, s:o, s:o, s:i}", "reason",
			       triage_reason_name(e->reason), "wait_ms",
			       to_ms(e->wait_us), "work_ms", to_ms(e->work_us),
			       "left_ms", to_ms(e->left_us), "waiting",
			       (int)e->waiting_count));
	return out;
}

static json_t *describe_decision(const struct answer *a)
{
	json_t *out = json_pack("{s:s}", "outcome", a->outcome);

	if (!a->code)
		return out;
	json_object_set_new(out, "status", json_integer(a->status));
	set_error(out, a->code);
	return out;
}

static json_t *describe_answer(const struct route_service *s,
			       const struct question *q, const struct answer *a)
{
	const struct route_explanation *e = a->explanation;
	/* An unknown organisation is left out: it may be a key by mistake. */
	json_t *request = json_pack("{s:s, s:s, s:s}", "host", q->host, "path",
				    q->path, "method", q->method);
	json_t *host = json_pack(
		"{s:s?, s:s?, s:s?, s:b, s:o, s:I}", "id", s->settings.host_id,
		"domain", s->settings.domain, "region", e->host_region,
		"stopping", e->is_stopping, "stop_left_ms",
		e->is_stopping ? to_ms(e->stop_left_us) : json_null(),
		"version", (json_int_t)e->version);
	json_t *out = json_pack("{s:o, s:o, s:o, s:o, s:o, s:o, s:o, s:o}",
				"request", request, "host", host, "decision",
				describe_decision(a), "route",
				describe_route(e->route), "organisation",
				describe_organisation(e->organisation), "quota",
				describe_quota(a), "forward",
				describe_forward(a), "here", describe_here(e));

	add_parts(out, e);
	return out;
}

static void refuse(struct answer *a, unsigned int status, int code)
{
	a->outcome = route_outcome_name(ROUTE_WOULD_BE_REFUSED);
	a->status = status;
	a->code = code;
}

/* Decides in the order of route_start_request(). */
static void decide(struct answer *a)
{
	const struct route_explanation *e = a->explanation;

	if (a->is_held)
		a->outcome = OUTCOME_HELD;
	else if (!e->copy)
		refuse(a, e->status, e->code);
	else if (a->quota.decision == QUOTA_EXCEEDED)
		refuse(a, 429, -ERR_ROUTE_QUOTA);
	else if (a->quota.decision == QUOTA_WAITS)
		a->outcome = OUTCOME_QUOTA_WAIT;
	else if (a->forward.reason == FORWARD_ALLOWED)
		a->outcome = OUTCOME_FORWARDED;
	else if (e->code)
		refuse(a, e->status, e->code);
	else
		a->outcome = route_outcome_name(e->outcome);
}

static json_t *explain(struct route_service *s, const struct question *q)
{
	struct route_question question = {
		.host = q->host,
		.path = q->path,
		.organisation = q->organisation,
		.is_full = q->is_full,
	};
	struct route_explanation *e = router_explain(s->router, &question);
	struct answer a = {
		.explanation = e,
		.is_held = route_is_hold_open(s),
		.forward = { .reason = FORWARD_NOT_GATHERED },
	};
	const char *name = e->organisation ? e->organisation->name : NULL;
	json_t *out;

	if (e->copy) {
		a.quota = route_look_quota(s, e->route, name);
		a.forward = route_look_forward(s, e->copy, e->route, name);
	}
	decide(&a);
	out = describe_answer(s, q, &a);
	event_log(EV_ROUTE_EXPLAINED,
		  "version=%llu route=%s outcome=%s status=%u code=E%d",
		  (unsigned long long)e->version,
		  e->route ? e->route->name : "", a.outcome, a.status, -a.code);
	if (a.forward.hosts)
		g_ptr_array_free(a.forward.hosts, TRUE);
	route_explanation_free(e);
	return out;
}

static const char *find_parameter(const struct question *q, const char *name)
{
	const char *value =
		q->parameters ? g_hash_table_lookup(q->parameters, name) : NULL;

	return value && *value ? value : NULL;
}

static void read_question(const char *target, struct question *out)
{
	const char *query = strchr(target, '?');
	const char *path;

	*out = (struct question){ 0 };
	if (query)
		out->parameters = g_uri_parse_params(
			query + 1, -1, "&", G_URI_PARAMS_WWW_FORM, NULL);
	path = find_parameter(out, "path");
	out->host = find_parameter(out, "host");
	out->path = path ? g_strndup(path, strcspn(path, "?")) : NULL;
	out->method = find_parameter(out, "method");
	out->method = out->method ? out->method : "GET";
	out->organisation = find_parameter(out, "organisation");
	out->is_full = find_parameter(out, "all") != NULL;
}

static void clear_question(struct question *q)
{
	if (q->parameters)
		g_hash_table_destroy(q->parameters);
	g_free(q->path);
}

char *route_explain(struct route_service *s, const char *target,
		    unsigned int *status)
{
	struct question q;
	json_t *out;
	char *text;

	read_question(target, &q);
	*status = q.host && q.path ? 200 : 400;
	if (*status == 200) {
		out = explain(s, &q);
	} else {
		out = json_object();
		set_error(out, -ERR_EXPLAIN_QUESTION);
	}
	clear_question(&q);
	text = json_dumps(out, JSON_COMPACT | JSON_REAL_PRECISION(9));
	json_decref(out);
	return text;
}

void route_answer_question(struct route_service *s, struct http_exchange *x)
{
	unsigned int status;
	char *text = route_explain(s, http_exchange_target(x), &status);

	http_exchange_reply(x, status, "application/json", text, strlen(text));
	free(text);
}
