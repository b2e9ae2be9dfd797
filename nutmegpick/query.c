#include "nutmegpick/commands.h"

#include <argp.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>

struct query_arguments {
	const char *host;
	const char *deadline_ms;
	const char *key;
	const char *created_ms;
	const char *attempt;
	const char *class;
	const char *service;
	const char *query;
	long top_k;
	bool is_json;
};

static const struct argp_option options[] = {
	{ "host", 'H', "IP:PORT", 0, "Entry host (default 127.0.0.1:8080)", 0 },
	{ "deadline-ms", 'd', "MS", 0, "Deadline in milliseconds", 0 },
	{ "key", 'k', "KEY", 0, "Request key of a non-idempotent request", 0 },
	{ "created", 'C', "MS", 0,
	  "Time at which the key was made, for a repeat (default: now)", 0 },
	{ "attempt", 'a', "N", 0,
	  "Number of this attempt with the key (default 1)", 0 },
	{ "class", 'c', "NAME", 0, "Admission class", 0 },
	{ "top", 't', "N", 0, "Number of hits", 0 },
	{ "json", 'j', NULL, 0, "Print the reply as JSON", 0 },
	{ 0 },
};

static error_t handle_option(int key, char *arg, struct argp_state *state)
{
	struct query_arguments *a = state->input;

	switch (key) {
	case 'H':
		a->host = arg;
		return 0;
	case 'd':
		a->deadline_ms = arg;
		return 0;
	case 'k':
		a->key = arg;
		return 0;
	case 'C':
		a->created_ms = arg;
		return 0;
	case 'a':
		a->attempt = arg;
		return 0;
	case 'c':
		a->class = arg;
		return 0;
	case 't':
		a->top_k = strtol(arg, NULL, 10);
		return 0;
	case 'j':
		a->is_json = true;
		return 0;
	case ARGP_KEY_ARG:
		if (state->arg_num == 0)
			a->service = arg;
		else if (state->arg_num == 1)
			a->query = arg;
		else
			argp_usage(state);
		return 0;
	case ARGP_KEY_END:
		if (!a->query)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	options,
	handle_option,
	"SERVICE QUERY",
	"Sends a query, as JSON or plain text, to a service.",
	NULL,
	NULL,
	NULL,
};

static size_t handle_write(char *data, size_t size, size_t count, void *ctx)
{
	g_string_append_len(ctx, data, (gssize)(size * count));
	return size * count;
}

static char *build_body(const struct query_arguments *a)
{
	json_t *query = json_loads(a->query, JSON_DECODE_ANY, NULL);
	json_t *body;
	char *text;

	if (!query)
		query = json_string(a->query);
	body = json_pack("{s:o}", "query", query);
	if (a->top_k > 0)
		json_object_set_new(body, "top_k", json_integer(a->top_k));
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	return text;
}

static struct curl_slist *add_header(struct curl_slist *list, const char *name,
				     const char *value)
{
	char *line;

	if (!value)
		return list;
	line = g_strdup_printf("%s: %s", name, value);
	list = curl_slist_append(list, line);
	g_free(line);
	return list;
}

static struct curl_slist *build_headers(const struct query_arguments *a)
{
	struct curl_slist *list = NULL;
	char created[32];

	list = add_header(list, "Nutmegpick-Deadline-Ms", a->deadline_ms);
	list = add_header(list, "Nutmegpick-Class", a->class);
	list = add_header(list, "Nutmegpick-Request-Key", a->key);
	if (a->key) {
		g_snprintf(created, sizeof(created), "%" G_GINT64_FORMAT,
			   g_get_real_time() / 1000);
		list = add_header(list, "Nutmegpick-Key-Created",
				  a->created_ms ? a->created_ms : created);
		list = add_header(list, "Nutmegpick-Key-Attempt", a->attempt);
	}
	return list;
}

static void print_answer(const json_t *answer)
{
	const json_t *coverage = json_object_get(answer, "coverage");
	const json_t *missing = json_object_get(coverage, "missing");
	json_t *item;
	size_t i;

	printf("snapshot %lld, coverage %.2f%%, %lld us\n",
	       (long long)json_integer_value(
		       json_object_get(answer, "snapshot")),
	       json_number_value(json_object_get(coverage, "percent")),
	       (long long)json_integer_value(json_object_get(
		       json_object_get(answer, "timing"), "total_us")));
	json_array_foreach (missing, i, item)
		printf("missing %s: %s\n",
		       json_string_value(json_object_get(item, "shard")),
		       json_string_value(json_object_get(item, "message")));
	json_array_foreach (json_object_get(answer, "hits"), i, item)
		printf("%8.5f  %s  (%s)\n",
		       json_number_value(json_object_get(item, "score")),
		       json_string_value(json_object_get(item, "id")),
		       json_string_value(json_object_get(item, "shard")));
}

static void print_refusal(const json_t *reply)
{
	const char *message =
		json_string_value(json_object_get(reply, "message"));
	const char *error = json_string_value(json_object_get(reply, "error"));
	const char *run = json_string_value(json_object_get(reply, "run"));

	fprintf(stderr, "nutmegpick: %s: %s (run: %s)\n", error ? error : "-",
		message ? message : "malformed reply", run ? run : "unknown");
}

static int print_reply(const struct query_arguments *a, const GString *reply,
		       long status)
{
	json_t *document = json_loadb(reply->str, reply->len, 0, NULL);
	/* A connection that closes within the head looks like an empty body. */
	bool is_answer = status == 200 && json_is_object(document);

	if (a->is_json)
		printf("%s\n", reply->str);
	else if (is_answer)
		print_answer(document);
	else
		print_refusal(document);
	json_decref(document);
	return is_answer ? EXIT_SUCCESS : EXIT_FAILURE;
}

static int send_query(const struct query_arguments *a)
{
	GString *reply = g_string_new(NULL);
	struct curl_slist *headers = build_headers(a);
	char *url = g_strdup_printf("http://%s/v1/services/%s/query", a->host,
				    a->service);
	char *body = build_body(a);
	CURL *easy = curl_easy_init();
	int ret = EXIT_FAILURE;
	long status = 0;
	CURLcode code;

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, handle_write);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, reply);
	code = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	if (code)
		fprintf(stderr, "nutmegpick: %s: %s\n", a->host,
			curl_easy_strerror(code));
	else
		ret = print_reply(a, reply, status);
	curl_easy_cleanup(easy);
	curl_slist_free_all(headers);
	g_string_free(reply, TRUE);
	g_free(url);
	free(body);
	return ret;
}

int command_query(int argc, char **argv)
{
	struct query_arguments a = { .host = "127.0.0.1:8080", .attempt = "1" };

	argp_parse(&argp, argc, argv, 0, NULL, &a);
	return send_query(&a);
}
