#include "nutmegpick/commands.h"

#include <argp.h>
#include <stdlib.h>

#include "nutmegpick/difference.h"
#include "nutmegpick/output.h"
#include "nutmegpick/store_args.h"
#include "store/publish.h"

struct show_args {
	struct store_args store;
	uint64_t version;
};

static const struct argp_option options[] = {
	{ "version", 'V', "N", 0, "Version (default: the one in force)", 0 },
	{ 0 },
};

static error_t handle_option(int key, char *arg, struct argp_state *state)
{
	struct show_args *a = state->input;
	char *end;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = &a->store;
		return 0;
	case 'V':
		a->version = g_ascii_strtoull(arg, &end, 10);
		if (*end || !a->version)
			argp_error(state, "malformed version \"%s\"", arg);
		return 0;
	case ARGP_KEY_ARG:
		argp_usage(state);
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
	NULL,
	"Prints a published object set, one field a line.\vExit status: 0 "
	"shown, 1 not published, 3 the store cannot be asked or holds a "
	"damaged set.",
	children,
	NULL,
	NULL,
};

static void print_set(const struct show_args *a,
		      const struct publish_record *record,
		      const struct object_set *set)
{
	json_t *document;
	char *text;

	if (!a->store.is_json) {
		output_print_record(record);
		set_print(set);
		return;
	}
	text = object_set_encode(set);
	document = output_record(record);
	json_object_set_new(document, "objects", json_loads(text, 0, NULL));
	output_json(document);
	free(text);
}

int command_show(int argc, char **argv)
{
	struct fault_list faults = { 0 };
	struct publish_record record;
	struct object_set *set = NULL;
	struct show_args a = { 0 };
	int ret;

	argp_parse(&argp, argc, argv, 0, NULL, &a);
	store_args_open(&a.store);
	ret = a.version
		      ? publish_read_record(&a.store.store, a.version, &record)
		      : publish_read_pointer(&a.store.store, &record);
	if (!ret)
		ret = publish_read_set(&a.store.store, &record, &set, &faults);
	if (ret) {
		output_print_faults(&faults);
		ret = output_failure(a.store.is_json, ret);
	} else {
		print_set(&a, &record, set);
		object_set_unref(set);
	}
	fault_list_clear(&faults);
	publish_record_clear(&record);
	store_args_close(&a.store);
	return ret;
}
