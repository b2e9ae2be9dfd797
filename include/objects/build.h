#ifndef OBJECTS_BUILD_H
#define OBJECTS_BUILD_H

#include "objects/objects.h"
#include "objects/tree.h"

/** One parsed file of a set. */
struct set_source {
	const char *file;
	struct tree_node *root;
};

/**
 * Builds the tables of a set from parsed files and resolves references. Adds
 * each fault to the list, and returns the set even if there are faults.
 */
struct object_set *build_set(const struct set_source *sources, size_t count,
			     struct fault_list *faults);

/**
 * Adds faults with file and line for invalid leaf addresses and for fields that
 * contradict each other. The set must have been built from the sources without
 * faults.
 */
void check_set(const struct object_set *set, const struct set_source *sources,
	       size_t count, struct fault_list *faults);

#endif
