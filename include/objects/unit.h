#ifndef OBJECTS_UNIT_H
#define OBJECTS_UNIT_H

#include "objects/objects.h"

/**
 * Placement unit: groups that some service queries together. All groups of a
 * unit have the same holders, so that one host can answer a whole query.
 */
struct placement_unit {
	/** Name of the unit's first group by name. */
	const char *name;
	/** Smallest limits of the unit's groups. */
	uint32_t slots;
	uint32_t connections;
	/** Smallest number of holders that a group asks for; 0 if none does. */
	uint32_t holders;
};

/**
 * Computes the units of a set. unit_of has room for group_count entries and
 * receives each group's index into units, which has the same room. Returns
 * the number of units.
 */
uint32_t object_set_units(const struct object_set *set, uint32_t *unit_of,
			  struct placement_unit *units);

#endif
