#include "nutmegpick/store_args.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/duration.h"
#include "common/errors.h"
#include "common/events.h"
#include "nutmegpick/commands.h"

static const struct argp_option options[] = {
	{ "store", 's', "IP:PORT", 0,
	  "Endpoint of the store; repeat for several (default " DEFAULT_STORE
	  ")",
	  0 },
	{ "timeout", 'w', "DURATION", 0,
	  "Longest wait for one call of the store (default 5s)", 0 },
	{ "json", 'j', NULL, 0, "Print JSON", 0 },
	{ 0 },
};

static error_t handle_option(int key, char *arg, struct argp_state *state)
{
	struct store_args *a = state->input;

	switch (key) {
	case 's':
		if (!a->endpoints)
			a->endpoints = g_ptr_array_new();
		g_ptr_array_add(a->endpoints, arg);
		return 0;
	case 'w':
		if (duration_parse(arg, &a->timeout_us) || !a->timeout_us)
			argp_error(state, "malformed duration \"%s\"", arg);
		return 0;
	case 'j':
		a->is_json = true;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

const struct argp store_argp = { options, handle_option };

void store_args_open(struct store_args *a)
{
	struct etcd_options o = {
		.clock = clock_system(),
		.seed = g_random_int(),
		.call_timeout_us = a->timeout_us,
	};
	int ret;

	/* The commands print the outcomes of store calls; do not log them. */
	event_set_level(EVENT_ERROR);
	if (!a->endpoints)
		a->endpoints = g_ptr_array_new();
	if (!a->endpoints->len)
		g_ptr_array_add(a->endpoints, (void *)DEFAULT_STORE);
	o.endpoints = (const char *const *)a->endpoints->pdata;
	o.endpoint_count = a->endpoints->len;
	ret = etcd_create(&a->etcd, &o);
	if (ret) {
		fprintf(stderr, "nutmegpick: E%d: %s\n", -ret, error_text(ret));
		exit(STATUS_STORE);
	}
	a->store = etcd_store(a->etcd);
}

void store_args_close(struct store_args *a)
{
	etcd_destroy(a->etcd);
	g_ptr_array_free(a->endpoints, TRUE);
}
