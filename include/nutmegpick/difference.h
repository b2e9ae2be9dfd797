#ifndef NUTMEGPICK_DIFFERENCE_H
#define NUTMEGPICK_DIFFERENCE_H

#include <stdbool.h>

#include <jansson.h>

#include "objects/objects.h"

/**
 * Compares two sets field by field. Either may be NULL, for an empty set.
 * Returns {"added":[OBJECT], "removed":[OBJECT],
 * "changed":[{"object","field","before","after"}]}. If only one set has a
 * field, the value of the other set is null.
 */
json_t *difference_build(const struct object_set *before,
			 const struct object_set *after);

/** Returns whether the sets are equal. */
bool difference_is_empty(const json_t *difference);

/** Prints one line per difference. */
void difference_print(const json_t *difference);

/** Prints every field of a set, one per line. */
void set_print(const struct object_set *set);

#endif
