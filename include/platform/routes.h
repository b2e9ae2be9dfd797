#ifndef PLATFORM_ROUTES_H
#define PLATFORM_ROUTES_H

#include <stddef.h>

#include "router/leaf_set.h"
#include "router/table.h"

/**
 * Decodes the operator's configuration to a route table. Returns 0, or
 * -ERR_ROUTE_TABLE with the faulty object and its fault in message.
 */
int platform_decode_routes(const char *data, size_t len,
			   struct route_table **out, char *message,
			   size_t message_len);

/**
 * Decodes the store's entry of a leaf; id is the entry's key without
 * PLATFORM_LEAF_PREFIX. Returns 0, or -ERR_INVAL if a field is missing or
 * invalid.
 */
int platform_decode_leaf(const char *id, const char *data, size_t len,
			 struct leaf_entry *out);

#endif
