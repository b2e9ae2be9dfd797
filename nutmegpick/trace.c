#include "nutmegpick/trace.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/errors.h"
#include "common/hash.h"

static const char *const fault_names[] = {
	[FAULT_LEAF_SLOW] = "leaf_slow",
	[FAULT_LEAF_DRAIN] = "leaf_drain",
	[FAULT_DOMAIN_DOWN] = "domain_down",
	[FAULT_HOST_DOWN] = "host_down",
	[FAULT_HOST_PAUSE] = "host_pause",
	[FAULT_SNAPSHOT] = "snapshot",
	[FAULT_LOSS] = "loss",
	[FAULT_JITTER] = "jitter",
	[FAULT_RESET] = "reset",
	[FAULT_CROSSED] = "crossed",
	[FAULT_LATE] = "late",
	[FAULT_DUPLICATE] = "duplicate",
	[FAULT_STALE] = "stale",
	[FAULT_INVERTED] = "inverted",
};

static const char *const policy_names[] = {
	[POLICY_NUTMEGPICK] = "nutmegpick",
	[POLICY_ROUND_ROBIN] = "round_robin",
	[POLICY_NAIVE_RETRY] = "naive_retry",
};

/* Outcomes that a trace may expect of requests, and of the whole run. */
static const char *const request_outcomes[] = {
	"completed_percent",
	"completed_percent_max",
	"coverage",
	"latency_ms",
	"runs",
	"extra_percent",
};

static const char *const run_outcomes[] = {
	"slot_peak",
	"connection_peak",
#define COUNT(name) #name,
#include "bench/counts.def"
#undef COUNT
};

static bool find_name(const char *const *names, size_t count, const char *name,
		      size_t *index)
{
	for (*index = 0; *index < count; ++*index) {
		if (!strcmp(names[*index], name))
			return true;
	}
	return false;
}

static int64_t ms_to_us(double ms)
{
	return (int64_t)(ms * US_PER_MS);
}

static int add_setup(struct replay_trace *t, json_t *o)
{
	const char *path;
	const char *policy = policy_names[POLICY_NUTMEGPICK];
	double service_ms = 20;
	double region_ms = 12;
	double caller_ms = 1;
	struct fault_list faults = { 0 };
	json_int_t seed = 1;
	size_t index;
	int ret;

	if (t->set)
		return -ERR_BAD_REQUEST;
	if (json_unpack(o, "{s:s, s?s, s?I, s?F, s?F, s?F}", "set", &path,
			"policy", &policy, "seed", &seed, "service_ms",
			&service_ms, "region_delay_ms", &region_ms,
			"caller_delay_ms", &caller_ms))
		return -ERR_BAD_REQUEST;
	if (!find_name(policy_names, G_N_ELEMENTS(policy_names), policy,
		       &index))
		return -ERR_BAD_REQUEST;
	ret = object_set_load(path, &t->set, &faults);
	fault_list_clear(&faults);
	if (ret)
		return ret;
	for (uint32_t i = 0; i < t->set->service_count; i++)
		t->set->services[i].policy = (enum service_policy)index;
	t->seed = (uint64_t)seed;
	t->service_us = service_ms * US_PER_MS;
	t->region_delay_us = ms_to_us(region_ms);
	t->caller_delay_us = ms_to_us(caller_ms);
	t->setup = json_incref(o);
	return 0;
}

static int find_leaf(const struct object_set *set, const char *address,
		     uint32_t *out)
{
	for (uint32_t i = 0; i < set->leaf_count; i++) {
		if (strcmp(set->leaves[i].address, address))
			continue;
		*out = i;
		return 0;
	}
	return -ERR_BAD_REQUEST;
}

static int add_fault(struct replay_trace *t, json_t *o)
{
	struct replay_fault f = { 0 };
	json_int_t target = 0;
	const char *leaf = NULL;
	const char *kind;
	double start_ms;
	double end_ms;
	size_t index;

	if (json_unpack(o, "{s:s, s?s, s?I, s?F, s:F, s:F !}", "kind", &kind,
			"leaf", &leaf, "target", &target, "value", &f.value,
			"start_ms", &start_ms, "end_ms", &end_ms))
		return -ERR_BAD_REQUEST;
	if (!find_name(fault_names, G_N_ELEMENTS(fault_names), kind, &index))
		return -ERR_BAD_REQUEST;
	f.kind = (enum fault_kind)index;
	f.target = (uint32_t)target;
	if (f.kind <= FAULT_LEAF_DRAIN &&
	    (!leaf || find_leaf(t->set, leaf, &f.target)))
		return -ERR_BAD_REQUEST;
	f.start_us = ms_to_us(start_ms);
	f.end_us = ms_to_us(end_ms);
	g_array_append_val(t->faults, f);
	return 0;
}

static int add_expectation(struct replay_trace *t, json_t *o, int line,
			   bool is_run)
{
	struct trace_expectation e = { line, is_run, o };
	const char *const *names = is_run ? run_outcomes : request_outcomes;
	size_t count = is_run ? G_N_ELEMENTS(run_outcomes)
			      : G_N_ELEMENTS(request_outcomes);
	const char *name;
	json_t *value;
	size_t index;

	json_object_foreach (o, name, value) {
		if (!json_is_number(value) ||
		    !find_name(names, count, name, &index))
			return -ERR_BAD_REQUEST;
	}
	json_incref(o);
	g_array_append_val(t->expectations, e);
	return 0;
}

static int find_class(const struct object_set *set, const char *name,
		      obj_handle *out)
{
	for (uint32_t i = 0; i < set->class_count; i++) {
		if (strcmp(set->classes[i].name, name))
			continue;
		*out = i;
		return 0;
	}
	return -ERR_BAD_REQUEST;
}

/*
 * Adds one request at at_ms. If rate (per second) is positive, adds more until
 * end_ms; the arrivals are a Poisson process.
 */
static void add_arrivals(struct replay_trace *t, struct replay_request *r,
			 double at_ms, double end_ms, double rate, int host)
{
	bool needs_key = !t->set->services[r->service].idempotent && !*r->key;
	GRand *random = g_rand_new_with_seed(
		(guint32)hash_pair(t->seed, (uint64_t)r->line));

	do {
		r->at_us = ms_to_us(at_ms);
		r->host = host < 0 ? g_rand_int(random) : (uint32_t)host;
		if (needs_key)
			snprintf(r->key, sizeof(r->key), "%d-%u", r->line,
				 t->requests->len);
		g_array_append_vals(t->requests, r, 1);
		if (rate > 0)
			at_ms -= log(1 - g_rand_double(random)) * 1000 / rate;
	} while (rate > 0 && at_ms < end_ms);
	g_rand_free(random);
}

static int add_requests(struct replay_trace *t, json_t *o, int line)
{
	struct replay_request r = { .line = line };
	const char *service;
	const char *class = NULL;
	const char *key = "";
	json_t *expect = NULL;
	double at_ms;
	double end_ms = 0;
	double rate = 0;
	double deadline_ms = 0;
	int host = -1;

	if (json_unpack(o, "{s:F, s?F, s?F, s:s, s?s, s?F, s?s, s?i, s?o !}",
			"at_ms", &at_ms, "end_ms", &end_ms, "rate", &rate,
			"service", &service, "class", &class, "deadline_ms",
			&deadline_ms, "key", &key, "host", &host, "expect",
			&expect))
		return -ERR_BAD_REQUEST;
	r.service = object_set_find_service(t->set, service);
	if (r.service == OBJ_NONE)
		return -ERR_NO_SERVICE;
	r.class = t->set->services[r.service].class;
	if (class && find_class(t->set, class, &r.class))
		return -ERR_BAD_REQUEST;
	r.deadline_us = ms_to_us(deadline_ms);
	if (!r.deadline_us)
		r.deadline_us =
			t->set->deadlines[t->set->services[r.service].deadline]
				.default_us;
	g_strlcpy(r.key, key, sizeof(r.key));
	add_arrivals(t, &r, at_ms, end_ms, rate, host);
	return expect ? add_expectation(t, expect, line, false) : 0;
}

static int add_line(struct replay_trace *t, const char *text, int line)
{
	json_t *root = json_loads(text, 0, NULL);
	int ret = -ERR_BAD_REQUEST;
	json_t *o;

	if ((o = json_object_get(root, "setup")))
		ret = add_setup(t, o);
	else if (!t->set)
		ret = -ERR_BAD_REQUEST;
	else if ((o = json_object_get(root, "fault")))
		ret = add_fault(t, o);
	else if ((o = json_object_get(root, "requests")))
		ret = add_requests(t, o, line);
	else if ((o = json_object_get(root, "expect")))
		ret = add_expectation(t, o, line, true);
	json_decref(root);
	return ret;
}

int trace_load(struct replay_trace *t, const char *path)
{
	FILE *in = fopen(path, "r");
	char *text = NULL;
	size_t size = 0;
	int ret = 0;

	memset(t, 0, sizeof(*t));
	if (!in) {
		perror(path);
		return -ERR_BAD_REQUEST;
	}
	t->requests = g_array_new(FALSE, TRUE, sizeof(struct replay_request));
	t->faults = g_array_new(FALSE, TRUE, sizeof(struct replay_fault));
	t->expectations =
		g_array_new(FALSE, TRUE, sizeof(struct trace_expectation));
	for (int line = 1; !ret && getline(&text, &size, in) > 0; line++) {
		ret = add_line(t, text, line);
		if (ret)
			fprintf(stderr, "%s:%d: %s\n", path, line,
				error_text(ret));
	}
	free(text);
	fclose(in);
	if (!ret && !t->set) {
		fprintf(stderr, "%s: no setup line\n", path);
		ret = -ERR_BAD_REQUEST;
	}
	if (ret)
		trace_clear(t);
	return ret;
}

void trace_clear(struct replay_trace *t)
{
	for (guint i = 0; i < t->expectations->len; i++)
		json_decref(g_array_index(t->expectations,
					  struct trace_expectation, i)
				    .outcome);
	g_array_free(t->expectations, TRUE);
	g_array_free(t->requests, TRUE);
	g_array_free(t->faults, TRUE);
	json_decref(t->setup);
	object_set_unref(t->set);
}
