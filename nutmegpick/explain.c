#include "nutmegpick/commands.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "common/clock.h"
#include "common/errors.h"
#include "nutmegpick/output.h"

/*
 * Changes are shown from this time before the first line of the request to its
 * last line. The longest ejection of a leaf lasts 3 s, so an ejection that is
 * in effect when the request starts is shown.
 */
#define CONTEXT_US (3 * US_PER_S)

struct explain_args {
	const char *id;
	char **files;
	bool is_json;
};

struct log_line {
	/** File name of the log; stands for the host. */
	const char *source;
	int64_t time_us;
	/** Event number and text, then the fields. */
	char *event;
	char *message;
	char *fields;
	bool is_of_request;
};

static const struct argp_option options[] = {
	{ "json", 'j', NULL, 0, "Print JSON", 0 },
	{ 0 },
};

static error_t handle_option(int key, char *arg, struct argp_state *state)
{
	struct explain_args *a = state->input;

	switch (key) {
	case 'j':
		a->is_json = true;
		return 0;
	case ARGP_KEY_ARG:
		if (a->id)
			return ARGP_ERR_UNKNOWN;
		a->id = arg;
		return 0;
	case ARGP_KEY_ARGS:
		a->files = state->argv + state->next;
		return 0;
	case ARGP_KEY_END:
		if (!a->id || !a->files)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	options,
	handle_option,
	"REQUEST-ID FILE...",
	"Prints what the logs of hosts say of a request, in order of time, with "
	"changes of its leaves and of routes shortly before. Hosts whose clocks "
	"differ may seem out of order.\vExit status: 0 found, 1 not found, 3 a "
	"file cannot be read.",
	NULL,
	NULL,
	NULL,
};

static void free_line(gpointer data)
{
	struct log_line *l = data;

	g_free(l->event);
	g_free(l->message);
	g_free(l->fields);
	g_free(l);
}

/* Returns the value of a field, or NULL; the caller frees it. */
static char *read_field(const char *fields, const char *name)
{
	size_t len = strlen(name);

	for (const char *at = fields; (at = strstr(at, name)); at += len) {
		bool is_start = at == fields || at[-1] == ' ';

		if (is_start && at[len] == '=')
			return g_strndup(at + len + 1,
					 strcspn(at + len + 1, " \n"));
	}
	return NULL;
}

/* Parses a log line. Returns NULL if the line is in another format. */
static struct log_line *parse_line(const char *text, const char *source)
{
	const char *message = strstr(text, " msg=\"");
	const char *end = message ? strstr(message + 6, "\" ") : NULL;
	char *time = read_field(text, "ts");
	char *event = read_field(text, "event");
	GDateTime *t = time ? g_date_time_new_from_iso8601(time, NULL) : NULL;
	struct log_line *l = NULL;

	if (t && event && end) {
		l = g_new0(struct log_line, 1);
		l->source = source;
		l->time_us = g_date_time_to_unix(t) * US_PER_S +
			     g_date_time_get_microsecond(t);
		l->event = g_steal_pointer(&event);
		l->message = g_strndup(message + 6, (gsize)(end - message - 6));
		l->fields = g_strstrip(g_strdup(end + 2));
	}
	if (t)
		g_date_time_unref(t);
	g_free(time);
	g_free(event);
	return l;
}

/*
 * Returns whether a line may explain the outcome of a request: a change of a
 * leaf, its rate limit, this host's share of it or its warm-up, of the routes
 * or evacuations, or of the connection to the platform's store or to the feed
 * of another host.
 */
static bool is_context_event(const struct log_line *l)
{
	static const char *const events[] = { "N701", "N704", "N707", "N714",
					      "N715", "N719", "N725", "N727",
					      "N729", "N740", "N743" };

	for (size_t i = 0; i < G_N_ELEMENTS(events); i++) {
		if (!strcmp(l->event, events[i]))
			return true;
	}
	return false;
}

/* Appends the lines of the request and all context events to lines. */
static bool read_log_file(const char *path, const char *id, GPtrArray *lines)
{
	const char *base = strrchr(path, '/');
	FILE *in = fopen(path, "r");
	char *text = NULL;
	size_t size = 0;

	if (!in) {
		perror(path);
		return false;
	}
	while (getline(&text, &size, in) > 0) {
		struct log_line *l = parse_line(text, base ? base + 1 : path);
		char *request = l ? read_field(l->fields, "request") : NULL;

		if (request)
			l->is_of_request = !strcmp(request, id);
		g_free(request);
		if (l && (l->is_of_request || is_context_event(l)))
			g_ptr_array_add(lines, l);
		else if (l)
			free_line(l);
	}
	free(text);
	fclose(in);
	return true;
}

static gint compare_lines(gconstpointer a, gconstpointer b)
{
	const struct log_line *x = *(const struct log_line *const *)a;
	const struct log_line *y = *(const struct log_line *const *)b;

	return x->time_us < y->time_us ? -1 : x->time_us > y->time_us;
}

static void add_field(GHashTable *set, const struct log_line *l,
		      const char *name)
{
	char *value = read_field(l->fields, name);

	if (value)
		g_hash_table_add(set, value);
}

/*
 * Returns whether a change was logged by a host of the request and, if it names
 * a leaf, concerns a leaf that the request used.
 */
static bool is_related(const struct log_line *l, GHashTable *hosts,
		       GHashTable *leaves)
{
	char *leaf = read_field(l->fields, "leaf");
	bool is_related = leaf ? g_hash_table_contains(leaves, leaf) : true;

	g_free(leaf);
	return is_related && g_hash_table_contains(hosts, l->source);
}

/* Removes the changes that are not related to the request or not near it. */
static void remove_unrelated_lines(GPtrArray *lines)
{
	GHashTable *leaves =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GHashTable *hosts = g_hash_table_new(g_str_hash, g_str_equal);
	int64_t first_us = INT64_MAX;
	int64_t last_us = INT64_MIN;

	for (guint i = 0; i < lines->len; i++) {
		const struct log_line *l = lines->pdata[i];

		if (!l->is_of_request)
			continue;
		first_us = MIN(first_us, l->time_us);
		last_us = MAX(last_us, l->time_us);
		g_hash_table_add(hosts, (gpointer)l->source);
		add_field(leaves, l, "leaf");
	}
	for (guint i = lines->len; i-- > 0;) {
		const struct log_line *l = lines->pdata[i];
		bool is_near = l->time_us >= first_us - CONTEXT_US &&
			       l->time_us <= last_us;

		if (!l->is_of_request &&
		    (!is_near || !is_related(l, hosts, leaves)))
			g_ptr_array_remove_index(lines, i);
	}
	g_hash_table_destroy(leaves);
	g_hash_table_destroy(hosts);
}

static int64_t find_start_us(const GPtrArray *lines)
{
	for (guint i = 0; i < lines->len; i++) {
		const struct log_line *l = lines->pdata[i];

		if (l->is_of_request)
			return l->time_us;
	}
	return 0;
}

/* Returns the text of the result code that a line names, or NULL. */
static const char *get_code_text(const struct log_line *l)
{
	char *code = read_field(l->fields, "code");
	int number = code && *code == 'E' ? atoi(code + 1) : 0;

	g_free(code);
	return number ? error_text(-number) : NULL;
}

static void print_text(const GPtrArray *lines)
{
	int64_t start_us = find_start_us(lines);

	for (guint i = 0; i < lines->len; i++) {
		const struct log_line *l = lines->pdata[i];
		const char *text = get_code_text(l);

		printf("%+8lld ms  %s  %s %s%s: %s%s%s%s\n",
		       (long long)((l->time_us - start_us) / US_PER_MS),
		       l->source, l->event, l->is_of_request ? "" : "(beside) ",
		       l->message, l->fields, text ? " (" : "",
		       text ? text : "", text ? ")" : "");
	}
}

static void print_json(const struct explain_args *a, const GPtrArray *lines)
{
	int64_t start_us = find_start_us(lines);
	json_t *out = json_array();

	for (guint i = 0; i < lines->len; i++) {
		const struct log_line *l = lines->pdata[i];

		json_array_append_new(
			out,
			json_pack("{s:I,s:s,s:s,s:s,s:s,s:b}", "ms",
				  (json_int_t)((l->time_us - start_us) /
					       US_PER_MS),
				  "source", l->source, "event", l->event,
				  "message", l->message, "fields", l->fields,
				  "of_request", l->is_of_request));
	}
	output_json(json_pack("{s:s,s:o}", "request", a->id, "lines", out));
}

int command_explain(int argc, char **argv)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(free_line);
	struct explain_args a = { 0 };
	int ret = STATUS_OK;

	argp_parse(&argp, argc, argv, 0, NULL, &a);
	for (char **file = a.files; *file && ret == STATUS_OK; file++) {
		if (!read_log_file(*file, a.id, lines))
			ret = STATUS_STORE;
	}
	remove_unrelated_lines(lines);
	g_ptr_array_sort(lines, compare_lines);
	if (ret == STATUS_OK && !lines->len) {
		fprintf(stderr, "nutmegpick: no line names request \"%s\"\n",
			a.id);
		ret = STATUS_REFUSED;
	} else if (ret == STATUS_OK && a.is_json) {
		print_json(&a, lines);
	} else if (ret == STATUS_OK) {
		print_text(lines);
	}
	g_ptr_array_free(lines, TRUE);
	return ret;
}
