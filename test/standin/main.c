#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "host_list.h"
#include "leaf.h"
#include "objects/objects.h"
#include "store.h"

struct arguments {
	const char *objects_path;
	const char *store;
	const char *host_list;
	int64_t service_us;
};

static const struct argp_option options[] = {
	{ "objects", 'o', "PATH", 0, "Start a leaf for each leaf of this set",
	  0 },
	{ "store", 's', "IP:PORT", 0, "Serve the key-value store", 0 },
	{ "host-list", 'l', "IP:PORT", 0, "Serve the host list", 0 },
	{ "service-us", 'u', "US", 0,
	  "Service time of a call in microseconds (default 3000)", 0 },
	{ 0 },
};

static error_t handle_option(int key, char *arg, struct argp_state *state)
{
	struct arguments *a = state->input;

	switch (key) {
	case 'o':
		a->objects_path = arg;
		return 0;
	case 's':
		a->store = arg;
		return 0;
	case 'l':
		a->host_list = arg;
		return 0;
	case 'u':
		a->service_us = strtoll(arg, NULL, 10);
		return 0;
	case ARGP_KEY_END:
		if (!a->objects_path && !a->store && !a->host_list)
			argp_error(state, "nothing to serve");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	options,
	handle_option,
	NULL,
	"Stand-ins for the platform and the upstreams, for demonstrations and "
	"tests.",
	NULL,
	NULL,
	NULL,
};

static int start_leaves(const struct object_set *set, int64_t service_us)
{
	for (uint32_t i = 0; i < set->leaf_count; i++) {
		const struct leaf_object *leaf = &set->leaves[i];
		const struct shard_object *shard = &set->shards[leaf->shard];
		const struct group_object *group = &set->groups[shard->group];
		struct leaf_options options = {
			.address = leaf->address,
			.shard = shard->name,
			.slots = group->slots,
			.connections = group->connections,
			.service_us = service_us,
		};

		if (!leaf_create(&options)) {
			fprintf(stderr, "leaf %s cannot listen\n",
				leaf->address);
			return -1;
		}
	}
	return 0;
}

static int start_objects(const struct arguments *a)
{
	struct fault_list faults = { 0 };
	struct object_set *set;

	if (object_set_load(a->objects_path, &set, &faults)) {
		char *text = object_fault_format(&faults.items[0]);

		fprintf(stderr, "%s\n", text);
		free(text);
		return -1;
	}
	return start_leaves(set, a->service_us);
}

static int start_platform(const struct arguments *a)
{
	if (a->store && !store_standin_create(a->store)) {
		fprintf(stderr, "store %s cannot listen\n", a->store);
		return -1;
	}
	if (a->host_list && !host_list_standin_create(a->host_list)) {
		fprintf(stderr, "host list %s cannot listen\n", a->host_list);
		return -1;
	}
	return 0;
}

int main(int argc, char **argv)
{
	struct arguments arguments = { .service_us = 3000 };
	sigset_t signals;
	int number;

	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	if (start_platform(&arguments))
		return EXIT_FAILURE;
	if (arguments.objects_path && start_objects(&arguments))
		return EXIT_FAILURE;
	printf("ready\n");
	fflush(stdout);
	sigwait(&signals, &number);
	return EXIT_SUCCESS;
}
