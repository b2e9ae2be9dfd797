#include "nutmegpick/output.h"

#include <stdio.h>
#include <stdlib.h>

#include <glib.h>

#include "common/errors.h"
#include "nutmegpick/commands.h"

void output_json(json_t *document)
{
	char *text = json_dumps(document, JSON_COMPACT);

	printf("%s\n", text);
	free(text);
	json_decref(document);
}

static char *format_time(int64_t time_ms)
{
	GDateTime *t = g_date_time_new_from_unix_utc(time_ms / 1000);
	char *text = t ? g_date_time_format(t, "%Y-%m-%dT%H:%M:%SZ")
		       : g_strdup("-");

	if (t)
		g_date_time_unref(t);
	return text;
}

json_t *output_record(const struct publish_record *r)
{
	char *time = format_time(r->time_ms);
	json_t *document = json_pack("{s:I,s:s,s:s,s:s}", "version",
				     (json_int_t)r->version, "publish_id",
				     r->publish_id, "author", r->author, "time",
				     time);

	g_free(time);
	return document;
}

void output_print_record(const struct publish_record *r)
{
	char *time = format_time(r->time_ms);

	printf("version %" G_GUINT64_FORMAT ", publish id %s, author %s, %s\n",
	       r->version, r->publish_id, r->author, time);
	g_free(time);
}

int output_failure(bool is_json, int code)
{
	char *name = g_strdup_printf("E%d", -code);

	if (is_json)
		output_json(json_pack("{s:s,s:s}", "error", name, "message",
				      error_text(code)));
	else
		fprintf(stderr, "nutmegpick: %s: %s\n", name, error_text(code));
	g_free(name);
	return code == -ERR_PUBLISH_NONE ? STATUS_REFUSED : STATUS_STORE;
}

json_t *output_faults(const struct fault_list *faults)
{
	json_t *out = json_array();

	for (size_t i = 0; i < faults->count; i++) {
		char *text = object_fault_format(&faults->items[i]);

		json_array_append_new(out, json_string(text));
		free(text);
	}
	return out;
}

void output_print_faults(const struct fault_list *faults)
{
	for (size_t i = 0; i < faults->count; i++) {
		char *text = object_fault_format(&faults->items[i]);

		fprintf(stderr, "%s\n", text);
		free(text);
	}
}
