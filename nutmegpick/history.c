#include "nutmegpick/commands.h"

#include <argp.h>

#include "nutmegpick/output.h"
#include "nutmegpick/store_args.h"
#include "store/publish.h"

#define DEFAULT_LIMIT 20

struct history_args {
	struct store_args store;
	uint64_t limit;
};

static const struct argp_option options[] = {
	{ "limit", 'n', "N", 0, "Number of versions (default 20)", 0 },
	{ 0 },
};

static error_t handle_option(int key, char *arg, struct argp_state *state)
{
	struct history_args *a = state->input;
	char *end;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = &a->store;
		return 0;
	case 'n':
		a->limit = g_ascii_strtoull(arg, &end, 10);
		if (*end || !a->limit)
			argp_error(state, "malformed number \"%s\"", arg);
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
	"Lists published versions, newest first.\vExit status: 0 listed, 1 "
	"nothing is published, 3 the store cannot be asked.",
	children,
	NULL,
	NULL,
};

static void add_record(json_t *list, const struct publish_record *record)
{
	if (list)
		json_array_append_new(list, output_record(record));
	else
		output_print_record(record);
}

int command_history(int argc, char **argv)
{
	struct history_args a = { .limit = DEFAULT_LIMIT };
	struct publish_record record;
	json_t *list;
	uint64_t version;
	int ret;

	argp_parse(&argp, argc, argv, 0, NULL, &a);
	store_args_open(&a.store);
	list = a.store.is_json ? json_array() : NULL;
	ret = publish_read_pointer(&a.store.store, &record);
	version = record.version;
	while (!ret) {
		add_record(list, &record);
		publish_record_clear(&record);
		if (!--version || !--a.limit)
			break;
		ret = publish_read_record(&a.store.store, version, &record);
	}
	if (ret)
		ret = output_failure(a.store.is_json, ret);
	else if (list)
		output_json(json_incref(list));
	json_decref(list);
	store_args_close(&a.store);
	return ret;
}
