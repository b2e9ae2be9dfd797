#ifndef PLATFORM_ROUTES_H
#define PLATFORM_ROUTES_H

#include <stddef.h>

#include "router/leaf_set.h"
#include "router/table.h"

/**
 * Decodes the operator's configuration. Returns 0, or -ERR_ROUTE_TABLE with
 * the object and field in message.
 */
int platform_decode_routes(const char *data, size_t len,
			   struct route_table **out, char *message,
			   size_t message_len);

/**
 * Decodes the entry of a leaf; id is the key without its prefix. Returns 0 or
 * -ERR_INVAL: the entry names no leaf that can be used.
 */
int platform_decode_leaf(const char *id, const char *data, size_t len,
			 struct leaf_entry *out);

#endif
