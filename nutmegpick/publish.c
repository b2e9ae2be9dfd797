#include "nutmegpick/commands.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/errors.h"
#include "nutmegpick/difference.h"
#include "nutmegpick/output.h"
#include "nutmegpick/store_args.h"
#include "store/publish.h"

struct publish_args {
	struct store_args store;
	const char *path;
	const char *settle_id;
	const char *author;
	const char *token;
	int64_t base_version;
};

static const struct argp_option options[] = {
	{ "author", 'a', "NAME", 0, "Author (default: the user's name)", 0 },
	{ "base", 'b', "VERSION", 0,
	  "Refuse if another version is in force (0: none)", 0 },
	{ "id", 'i', "TOKEN", 0,
	  "Second part of the publish id (default: random)", 0 },
	{ "settle", 'S', "ID", 0,
	  "Decide the outcome of an earlier publish with this publish id", 0 },
	{ 0 },
};

static int64_t parse_version(const char *text, struct argp_state *state)
{
	char *end;
	int64_t v = g_ascii_strtoll(text, &end, 10);

	if (*end || end == text || v < 0)
		argp_error(state, "malformed version \"%s\"", text);
	return v;
}

static error_t handle_option(int key, char *arg, struct argp_state *state)
{
	struct publish_args *a = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = &a->store;
		return 0;
	case 'a':
		a->author = arg;
		return 0;
	case 'b':
		a->base_version = parse_version(arg, state);
		return 0;
	case 'i':
		a->token = arg;
		return 0;
	case 'S':
		a->settle_id = arg;
		return 0;
	case ARGP_KEY_ARG:
		if (state->arg_num)
			argp_usage(state);
		a->path = arg;
		return 0;
	case ARGP_KEY_END:
		if (!a->path == !a->settle_id)
			argp_error(state, "either PATH or --settle is needed");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_child children[] = { { &store_argp, 0, NULL, 0 },
					      { 0 } };

static const struct argp argp = {
	options,
	handle_option,
	"PATH\n--settle ID",
	"Publishes the object set in a TOML file or a folder as the next "
	"version.\vExit status: 0 accepted, 1 refused, 2 unknown, 4 the set "
	"has faults.",
	children,
	NULL,
	NULL,
};

static char *format_settle_command(const struct publish_args *a, const char *id)
{
	GString *s = g_string_new("nutmegpick publish");

	for (guint i = 0; i < a->store.endpoints->len; i++)
		g_string_append_printf(
			s, " --store %s",
			(const char *)a->store.endpoints->pdata[i]);
	g_string_append_printf(s, " --settle %s", id);
	return g_string_free(s, FALSE);
}

/*
 * Returns the differences from the version in force to the refused set, or NULL
 * if either is missing or cannot be read.
 */
static json_t *compare_with_in_force(struct publish_args *a,
				     const struct object_set *set,
				     const struct publish_record *record)
{
	struct fault_list faults = { 0 };
	struct object_set *in_force_set = NULL;
	json_t *difference = NULL;

	if (!set || !record->version)
		return NULL;
	if (!publish_read_set(&a->store.store, record, &in_force_set,
			      &faults)) {
		difference = difference_build(in_force_set, set);
		object_set_unref(in_force_set);
	}
	fault_list_clear(&faults);
	return difference;
}

static void print_accepted(const struct publish_result *r)
{
	printf("accepted: ");
	output_print_record(&r->record);
	if (r->is_unchanged)
		printf("the set was in force already; nothing changed\n");
}

static void print_refused(const struct publish_result *r,
			  const json_t *difference)
{
	printf("refused: E%d: %s\n", -r->code, error_text(r->code));
	if (r->record.version) {
		printf("in force: ");
		output_print_record(&r->record);
	} else if (r->code == -ERR_STORE_CONFLICT) {
		printf("in force: no version\n");
	}
	if (!difference)
		return;
	printf("differences from version %" G_GUINT64_FORMAT
	       " to the refused set:\n",
	       r->record.version);
	difference_print(difference);
}

static void print_unknown(const struct publish_result *r, const char *command)
{
	printf("unknown: E%d: %s\n", -r->code, error_text(r->code));
	printf("publish id %s; this command settles it:\n  %s\n", r->publish_id,
	       command);
}

static json_t *format_result(const struct publish_result *r, json_t *difference,
			     const char *command)
{
	static const char *const states[] = { "accepted", "refused",
					      "unknown" };
	json_t *out = json_pack("{s:s}", "state", states[r->state]);

	if (r->code)
		json_object_set_new(out, "error",
				    json_sprintf("E%d", -r->code));
	if (r->publish_id)
		json_object_set_new(out, "publish_id",
				    json_string(r->publish_id));
	if (r->record.version)
		json_object_set_new(out,
				    r->state == PUBLISH_ACCEPTED ? "record"
								 : "in_force",
				    output_record(&r->record));
	if (r->state == PUBLISH_ACCEPTED)
		json_object_set_new(out, "unchanged",
				    json_boolean(r->is_unchanged));
	if (difference)
		json_object_set(out, "differences", difference);
	if (command)
		json_object_set_new(out, "settle", json_string(command));
	return out;
}

static int print_result(struct publish_args *a, const struct object_set *set,
			const struct publish_result *r)
{
	static const int statuses[] = { STATUS_OK, STATUS_REFUSED,
					STATUS_UNKNOWN };
	json_t *difference = NULL;
	char *command = NULL;

	if (r->state == PUBLISH_REFUSED)
		difference = compare_with_in_force(a, set, &r->record);
	if (r->state == PUBLISH_UNKNOWN)
		command = format_settle_command(a, r->publish_id);
	if (a->store.is_json)
		output_json(format_result(r, difference, command));
	else if (r->state == PUBLISH_ACCEPTED)
		print_accepted(r);
	else if (r->state == PUBLISH_REFUSED)
		print_refused(r, difference);
	else
		print_unknown(r, command);
	json_decref(difference);
	g_free(command);
	return statuses[r->state];
}

static int report_faults(const struct publish_args *a,
			 const struct fault_list *faults)
{
	if (a->store.is_json) {
		output_json(json_pack("{s:s,s:o}", "state", "refused", "faults",
				      output_faults(faults)));
		return STATUS_FAULTS;
	}
	output_print_faults(faults);
	printf("refused: %zu faults; nothing was published\n", faults->count);
	return STATUS_FAULTS;
}

static int publish_path(struct publish_args *a)
{
	struct publish_options o = {
		.token = a->token,
		.author = a->author ? a->author : g_get_user_name(),
		.time_ms = g_get_real_time() / 1000,
		.base_version = a->base_version,
	};
	struct fault_list faults = { 0 };
	struct object_set *set = NULL;
	struct publish_result r;
	char *token = NULL;
	int ret;

	if (object_set_load(a->path, &set, &faults)) {
		ret = report_faults(a, &faults);
		fault_list_clear(&faults);
		return ret;
	}
	if (!o.token)
		o.token = token = g_strdup_printf("%08x%08x", g_random_int(),
						  g_random_int());
	store_args_open(&a->store);
	publish_set(&a->store.store, set, &o, &r);
	ret = print_result(a, set, &r);
	publish_result_clear(&r);
	object_set_unref(set);
	store_args_close(&a->store);
	g_free(token);
	return ret;
}

static int settle_publish(struct publish_args *a)
{
	struct publish_result r;
	int ret;

	store_args_open(&a->store);
	publish_settle(&a->store.store, a->settle_id, &r);
	ret = print_result(a, NULL, &r);
	publish_result_clear(&r);
	store_args_close(&a->store);
	return ret;
}

int command_publish(int argc, char **argv)
{
	struct publish_args a = { .base_version = -1 };

	argp_parse(&argp, argc, argv, 0, NULL, &a);
	return a.settle_id ? settle_publish(&a) : publish_path(&a);
}
