#include "nutmegpick/commands.h"

#include <argp.h>

#include "nutmegpick/output.h"
#include "nutmegpick/store_args.h"
#include "store/publish.h"

static error_t handle_option(int key, char *arg, struct argp_state *state)
{
	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = state->input;
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
	NULL,
	handle_option,
	NULL,
	"Prints the version in force, its publish id, author and time.\vExit "
	"status: 0 printed, 1 nothing is published, 3 the store cannot be "
	"asked.",
	children,
	NULL,
	NULL,
};

int command_status(int argc, char **argv)
{
	struct publish_record record;
	struct store_args a = { 0 };
	int ret;

	argp_parse(&argp, argc, argv, 0, NULL, &a);
	store_args_open(&a);
	ret = publish_read_pointer(&a.store, &record);
	if (ret)
		ret = output_failure(a.is_json, ret);
	else if (a.is_json)
		output_json(output_record(&record));
	else
		output_print_record(&record);
	publish_record_clear(&record);
	store_args_close(&a);
	return ret;
}
