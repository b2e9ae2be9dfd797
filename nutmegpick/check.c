#include "nutmegpick/commands.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "objects/objects.h"

static error_t handle_option(int key, char *arg, struct argp_state *state)
{
	const char **path = state->input;

	switch (key) {
	case ARGP_KEY_ARG:
		if (state->arg_num)
			argp_usage(state);
		*path = arg;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	NULL,
	handle_option,
	"PATH",
	"Checks the object set in a TOML file or a folder of TOML files.",
	NULL,
	NULL,
	NULL,
};

int command_check(int argc, char **argv)
{
	struct fault_list faults = { 0 };
	struct object_set *set = NULL;
	const char *path = NULL;
	int ret;

	argp_parse(&argp, argc, argv, 0, NULL, &path);
	ret = object_set_load(path, &set, &faults);
	for (size_t i = 0; i < faults.count; i++) {
		char *text = object_fault_format(&faults.items[i]);

		fprintf(stderr, "%s\n", text);
		free(text);
	}
	fault_list_clear(&faults);
	if (ret)
		return EXIT_FAILURE;
	printf("%s: ok: %u services, %u groups, %u shards, %u leaves\n", path,
	       set->service_count, set->group_count, set->shard_count,
	       set->leaf_count);
	object_set_unref(set);
	return EXIT_SUCCESS;
}
