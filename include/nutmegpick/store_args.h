#ifndef NUTMEGPICK_STORE_ARGS_H
#define NUTMEGPICK_STORE_ARGS_H

#include <argp.h>
#include <stdbool.h>

#include <glib.h>

#include "store/etcd.h"

#define DEFAULT_STORE "127.0.0.1:2379"

/** Options of all commands that use the store, and the opened store. */
struct store_args {
	GPtrArray *endpoints;
	int64_t timeout_us;
	bool is_json;
	struct etcd *etcd;
	struct store store;
};

/** Parses --store, --timeout and --json into a struct store_args. */
extern const struct argp store_argp;

/** Opens the store; exits the process if that fails. */
void store_args_open(struct store_args *a);

void store_args_close(struct store_args *a);

#endif
