#include "nutmegpick/commands.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include <glib.h>

#include "objects/objects.h"
#include "platform/routes.h"

struct check_args {
	const char *path;
	/** The file is a route configuration in JSON, not an object set. */
	bool is_routes;
};

static const struct argp_option options[] = {
	{ "routes", 'r', NULL, 0, "Check a route configuration in JSON", 0 },
	{ 0 },
};

static error_t handle_option(int key, char *arg, struct argp_state *state)
{
	struct check_args *a = state->input;

	switch (key) {
	case 'r':
		a->is_routes = true;
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

static const struct argp argp = {
	options,
	handle_option,
	"PATH",
	"Checks the object set in a TOML file or a folder of TOML files, or the "
	"routes that operators write on the platform.",
	NULL,
	NULL,
	NULL,
};

static int check_routes(const char *path)
{
	struct route_table *table;
	char message[256];
	char *text;
	gsize len;
	int ret;

	if (!g_file_get_contents(path, &text, &len, NULL)) {
		fprintf(stderr, "%s: cannot be read\n", path);
		return EXIT_FAILURE;
	}
	ret = platform_decode_routes(text, len, &table, message,
				     sizeof(message));
	g_free(text);
	if (ret) {
		fprintf(stderr, "%s: E%d %s\n", path, -ret, message);
		return EXIT_FAILURE;
	}
	printf("%s: ok: version %llu, %u routes, %u upstreams\n", path,
	       (unsigned long long)table->version, table->route_count,
	       table->upstream_count);
	route_table_unref(table);
	return EXIT_SUCCESS;
}

static int check_objects(const char *path)
{
	struct fault_list faults = { 0 };
	struct object_set *set = NULL;
	int ret = object_set_load(path, &set, &faults);

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

int command_check(int argc, char **argv)
{
	struct check_args a = { 0 };

	argp_parse(&argp, argc, argv, 0, NULL, &a);
	return a.is_routes ? check_routes(a.path) : check_objects(a.path);
}
