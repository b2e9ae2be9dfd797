#ifndef OBJECTS_UNIT_H
#define OBJECTS_UNIT_H

#include "objects/objects.h"

/**
 * Placement unit: groups that are connected by services which query several of
 * them. All groups of a unit have the same holders, so that one host can answer
 * a whole query.
 */
struct placement_unit {
	/** Smallest name of the unit's groups, in byte order. */
	const char *name;
	/** Smallest slots and connections of the unit's groups. */
	uint32_t slots;
	uint32_t connections;
	/** Smallest holders of the groups that set it; 0 if none does. */
	uint32_t holders;
};

/**
 * Computes the placement units of a set and returns their number. unit_of
 * receives each group's index into units. Both arrays need room for
 * group_count entries.
 */
uint32_t object_set_units(const struct object_set *set, uint32_t *unit_of,
			  struct placement_unit *units);

#endif
