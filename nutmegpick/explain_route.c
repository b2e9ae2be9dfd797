#include "nutmegpick/commands.h"

#include <argp.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>

#include "common/errors.h"
#include "nutmegpick/output.h"

#define DEFAULT_HOST "127.0.0.1:9090"
/* A host that takes longer for a question serves no requests either. */
#define ANSWER_TIMEOUT_MS 2000L
#define ANSWER_BYTES_MAX (16 << 20)

struct question_args {
	/** Where the host serves its metrics. */
	const char *address;
	const char *host;
	const char *path;
	const char *method;
	const char *organisation;
	bool is_full;
	bool is_json;
};

static const struct argp_option options[] = {
	{ "host", 'H', "IP:PORT", 0,
	  "Where the host serves its metrics (default " DEFAULT_HOST ")", 0 },
	{ "organisation", 'o', "NAME", 0, "Organisation of the caller", 0 },
	{ "method", 'm', "METHOD", 0, "Method of the request (default GET)",
	  0 },
	{ "all", 'a', NULL, 0, "List the leaves of all shards", 0 },
	{ "json", 'j', NULL, 0, "Print JSON", 0 },
	{ 0 },
};

static error_t handle_option(int key, char *arg, struct argp_state *state)
{
	struct question_args *a = state->input;

	switch (key) {
	case 'H':
		a->address = arg;
		return 0;
	case 'o':
		a->organisation = arg;
		return 0;
	case 'm':
		a->method = arg;
		return 0;
	case 'a':
		a->is_full = true;
		return 0;
	case 'j':
		a->is_json = true;
		return 0;
	case ARGP_KEY_ARG:
		if (state->arg_num == 0)
			a->host = arg;
		else if (state->arg_num == 1)
			a->path = arg;
		else
			argp_usage(state);
		return 0;
	case ARGP_KEY_END:
		if (!a->path || !*a->host || !*a->path)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	options,
	handle_option,
	"HOST PATH",
	"Asks a running host where a request with this Host header and path "
	"would go now, and why. Nothing is sent to a leaf, and no quota or "
	"budget is used.\vExit status: 0 it would be sent or wait, 1 it would "
	"be refused, 3 the host does not answer, 5 the host has no "
	"configuration, 6 the host is stopping.",
	NULL,
	NULL,
	NULL,
};

static size_t handle_write(char *data, size_t size, size_t count, void *ctx)
{
	GString *answer = ctx;

	if (answer->len + size * count > ANSWER_BYTES_MAX)
		return 0;
	g_string_append_len(answer, data, (gssize)(size * count));
	return size * count;
}

static void add_parameter(GString *url, const char *name, const char *value)
{
	char *escaped = value ? g_uri_escape_string(value, NULL, FALSE) : NULL;

	if (escaped)
		g_string_append_printf(url, "%c%s=%s",
				       strchr(url->str, '?') ? '&' : '?', name,
				       escaped);
	g_free(escaped);
}

static GString *build_url(const struct question_args *a)
{
	GString *url = g_string_new(NULL);

	g_string_printf(url, "http://%s/explain-route", a->address);
	add_parameter(url, "host", a->host);
	add_parameter(url, "path", a->path);
	add_parameter(url, "method", a->method);
	add_parameter(url, "organisation", a->organisation);
	add_parameter(url, "all", a->is_full ? "1" : NULL);
	return url;
}

/* Returns the answer of the host, or NULL with a result code. */
static json_t *ask(const struct question_args *a, int *code)
{
	GString *answer = g_string_new(NULL);
	GString *url = build_url(a);
	CURL *easy = curl_easy_init();
	json_t *document = NULL;

	curl_easy_setopt(easy, CURLOPT_URL, url->str);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, ANSWER_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, handle_write);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, answer);
	*code = -ERR_EXPLAIN_NO_ANSWER;
	if (!curl_easy_perform(easy)) {
		*code = -ERR_EXPLAIN_ANSWER;
		document = json_loadb(answer->str, answer->len, 0, NULL);
	}
	curl_easy_cleanup(easy);
	g_string_free(answer, TRUE);
	g_string_free(url, TRUE);
	return document;
}

/* Reading of the answer; fields that are missing read as "-" or 0. */

static const char *text_of(const json_t *o, const char *name)
{
	const char *text = json_string_value(json_object_get(o, name));

	return text ? text : "-";
}

static double number_of(const json_t *o, const char *name)
{
	return json_number_value(json_object_get(o, name));
}

static bool is_set(const json_t *o, const char *name)
{
	return json_is_true(json_object_get(o, name));
}

static void print_error(const json_t *o)
{
	const json_t *status = json_object_get(o, "status");

	if (!json_object_get(o, "error"))
		return;
	if (status)
		printf(", status %d", (int)json_integer_value(status));
	printf(", %s: %s", text_of(o, "error"), text_of(o, "message"));
}

static void print_list(const char *name, const json_t *list)
{
	const json_t *item;
	size_t i;

	printf(", %s", name);
	json_array_foreach (list, i, item)
		printf("%s%s", i ? "," : " ", json_string_value(item));
	if (!json_array_size(list))
		printf(" none");
}

static void print_regions(const json_t *o)
{
	const json_t *regions = json_object_get(o, "regions");

	if (json_is_array(regions))
		print_list("regions", regions);
}

static void print_host(const json_t *host)
{
	printf("host %s, domain %s, region %s, version %.0f",
	       text_of(host, "id"), text_of(host, "domain"),
	       text_of(host, "region"), number_of(host, "version"));
	if (is_set(host, "stopping"))
		printf(", stopping, %.0f ms left",
		       number_of(host, "stop_left_ms"));
	printf("\n");
}

static void print_route(const json_t *route)
{
	if (!json_is_object(route))
		return;
	printf("route %s, %s%s, %s%s, priority %.0f, goal %.0f ms, timeout "
	       "%.0f ms",
	       text_of(route, "name"), text_of(route, "host"),
	       text_of(route, "prefix"), text_of(route, "shape"),
	       is_set(route, "public") ? ", public" : "",
	       number_of(route, "priority"), number_of(route, "goal_ms"),
	       number_of(route, "timeout_ms"));
	print_regions(route);
	printf("\n");
}

static void print_organisation(const json_t *o)
{
	if (!json_is_object(o))
		return;
	printf("organisation %s", text_of(o, "name"));
	if (json_is_integer(json_object_get(o, "priority")))
		printf(", priority %.0f", number_of(o, "priority"));
	print_regions(o);
	printf("\n");
}

static void print_quota(const json_t *quota)
{
	if (!json_is_object(quota))
		return;
	printf("quota %s, rate %g/s, burst %g, tokens here %.0f, wanted here "
	       "%.1f/s, waiting %.0f, none for %.0f ms, longest wait %.0f ms\n",
	       text_of(quota, "decision"), number_of(quota, "max_per_s"),
	       number_of(quota, "burst"), number_of(quota, "tokens"),
	       number_of(quota, "wanted_per_s"), number_of(quota, "waiting"),
	       number_of(quota, "dry_ms"), number_of(quota, "longest_wait_ms"));
}

static void print_forward(const json_t *forward)
{
	printf("other hosts: %s", text_of(forward, "reason"));
	if (number_of(forward, "host_count") > 0) {
		printf(", one of %.0f", number_of(forward, "host_count"));
		print_list("such as", json_object_get(forward, "hosts"));
	}
	printf("\n");
}

static void print_here(const json_t *here)
{
	if (!json_is_object(here))
		return;
	printf("here %s, priority %.0f", text_of(here, "outcome"),
	       number_of(here, "priority"));
	if (is_set(here, "triage"))
		printf(", rank %.0f", number_of(here, "rank"));
	printf(", goal in %.0f ms, deadline in %.0f ms",
	       number_of(here, "goal_ms"), number_of(here, "deadline_ms"));
	print_error(here);
	if (json_object_get(here, "reason"))
		printf(", reason %s, wait %.0f ms, work %.0f ms, left %.0f ms, "
		       "waiting %.0f",
		       text_of(here, "reason"), number_of(here, "wait_ms"),
		       number_of(here, "work_ms"), number_of(here, "left_ms"),
		       number_of(here, "waiting"));
	printf("\n");
}

static void print_leaf(const json_t *l)
{
	const json_t *until = json_object_get(l, "until_ms");

	printf("  %c %s, %s, region %s, %s", is_set(l, "chosen") ? '*' : ' ',
	       text_of(l, "leaf"), text_of(l, "domain"), text_of(l, "region"),
	       text_of(l, "access"));
	if (strcmp(text_of(l, "access"), "allowed") && json_is_number(until))
		printf(" for %.0f ms", json_number_value(until));
	printf(", expected %.1f ms, cost %.1f ms, calls %.0f%s%s%s\n",
	       number_of(l, "expected_ms"), number_of(l, "cost_ms"),
	       number_of(l, "calls"),
	       is_set(l, "last_resort") ? ", last resort" : "",
	       is_set(l, "batch") ? ", may go in a batch" : "",
	       is_set(l, "left_free") ? ", left free" : "");
}

static void print_part(const json_t *part)
{
	const json_t *leaf;
	size_t i;

	printf("upstream %s: leaf %s, wait %.0f ms, expected %.1f ms, waiting "
	       "%.0f%s\n",
	       text_of(part, "upstream"), text_of(part, "leaf"),
	       number_of(part, "wait_ms"), number_of(part, "expected_ms"),
	       number_of(part, "waiting"),
	       is_set(part, "in_time") ? "" : ", not in time");
	json_array_foreach (json_object_get(part, "leaves"), i, leaf)
		print_leaf(leaf);
}

static void print_parts(const json_t *answer)
{
	const json_t *without = json_object_get(answer, "parts_without_leaf");
	const json_t *part;
	size_t i;

	if (number_of(answer, "part_count") > 1) {
		printf("shards %.0f, not in time %.0f",
		       number_of(answer, "part_count"),
		       number_of(answer, "parts_not_in_time"));
		print_list("without a leaf", without);
		printf("\n");
	}
	json_array_foreach (json_object_get(answer, "parts"), i, part)
		print_part(part);
}

static void print_text(const json_t *answer)
{
	const json_t *request = json_object_get(answer, "request");
	const json_t *decision = json_object_get(answer, "decision");

	printf("%s %s%s: %s", text_of(request, "method"),
	       text_of(request, "host"), text_of(request, "path"),
	       text_of(decision, "outcome"));
	print_error(decision);
	printf("\n");
	print_host(json_object_get(answer, "host"));
	print_route(json_object_get(answer, "route"));
	print_organisation(json_object_get(answer, "organisation"));
	print_quota(json_object_get(answer, "quota"));
	print_forward(json_object_get(answer, "forward"));
	print_here(json_object_get(answer, "here"));
	print_parts(answer);
}

static int status_of(const json_t *answer)
{
	const json_t *host = json_object_get(answer, "host");

	if (!number_of(host, "version"))
		return STATUS_UNREADY;
	if (is_set(host, "stopping"))
		return STATUS_STOPPING;
	return json_object_get(json_object_get(answer, "decision"), "error")
		       ? STATUS_REFUSED
		       : STATUS_OK;
}

/* Returns whether a document is the answer to a question. */
static bool is_answer(const json_t *document)
{
	return json_is_object(json_object_get(document, "decision")) &&
	       json_is_object(json_object_get(document, "host"));
}

int command_explain_route(int argc, char **argv)
{
	struct question_args a = { .address = DEFAULT_HOST };
	json_t *answer;
	int code;
	int ret;

	argp_parse(&argp, argc, argv, 0, NULL, &a);
	answer = ask(&a, &code);
	if (!is_answer(answer)) {
		json_decref(answer);
		return output_failure(a.is_json, code);
	}
	ret = status_of(answer);
	if (a.is_json) {
		output_json(answer);
		return ret;
	}
	print_text(answer);
	if (ret == STATUS_STOPPING)
		output_failure(false, -ERR_EXPLAIN_STOPPING);
	json_decref(answer);
	return ret;
}
