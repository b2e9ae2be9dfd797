#include "nutmegpick/commands.h"

#include <argp.h>
#include <stdio.h>

#include "common/errors.h"
#include "nutmegpick/difference.h"
#include "nutmegpick/output.h"
#include "nutmegpick/store_args.h"
#include "store/publish.h"

struct diff_args {
	struct store_args store;
	const char *path;
};

static error_t handle_option(int key, char *arg, struct argp_state *state)
{
	struct diff_args *a = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = &a->store;
		return 0;
	case ARGP_KEY_ARG:
		if (state->arg_num)
			argp_usage(state);
		a->path = arg;
		return 0;
	case ARGP_KEY_NO_ARGS:
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
	"PATH",
	"Compares the version in force with the object set in a TOML file or "
	"a folder.\vExit status: 0 equal, 1 different, 3 the store cannot be "
	"asked, 4 the set has faults.",
	children,
	NULL,
	NULL,
};

static int print_difference(const struct diff_args *a, uint64_t version,
			    json_t *difference)
{
	int ret = difference_is_empty(difference) ? STATUS_OK : STATUS_REFUSED;

	if (a->store.is_json) {
		json_object_set_new(difference, "version",
				    json_integer((json_int_t)version));
		output_json(difference);
		return ret;
	}
	if (ret)
		difference_print(difference);
	else
		printf("equal to version %" G_GUINT64_FORMAT "\n", version);
	json_decref(difference);
	return ret;
}

static int compare_with_in_force(struct diff_args *a,
				 const struct object_set *set)
{
	struct fault_list faults = { 0 };
	struct object_set *in_force = NULL;
	struct publish_record record;
	uint64_t version;
	int ret = publish_read_pointer(&a->store.store, &record);

	if (!ret)
		ret = publish_read_set(&a->store.store, &record, &in_force,
				       &faults);
	version = record.version;
	publish_record_clear(&record);
	fault_list_clear(&faults);
	if (ret && ret != -ERR_PUBLISH_NONE)
		return output_failure(a->store.is_json, ret);
	ret = print_difference(a, version, difference_build(in_force, set));
	if (in_force)
		object_set_unref(in_force);
	return ret;
}

int command_diff(int argc, char **argv)
{
	struct fault_list faults = { 0 };
	struct object_set *set = NULL;
	struct diff_args a = { 0 };
	int ret = STATUS_FAULTS;

	argp_parse(&argp, argc, argv, 0, NULL, &a);
	if (object_set_load(a.path, &set, &faults)) {
		output_print_faults(&faults);
		fault_list_clear(&faults);
		return ret;
	}
	store_args_open(&a.store);
	ret = compare_with_in_force(&a, set);
	store_args_close(&a.store);
	object_set_unref(set);
	return ret;
}
