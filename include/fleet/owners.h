#ifndef FLEET_OWNERS_H
#define FLEET_OWNERS_H

#include <stdbool.h>

#include "fleet/frame.h"

/**
 * Owners of request keys that differ, or differed, from the seat's host. Filled
 * from gossip; an entry with a larger epoch replaces a smaller one.
 */
struct owners;

int owners_create(struct owners **out);
void owners_destroy(struct owners *o);

/** Takes an entry; it is passed on if it is new here. */
void owners_apply(struct owners *o, const struct frame_key_owner *entry);

/** Writes the entries that the next frame carries. Returns their number. */
uint32_t owners_take(struct owners *o, struct frame_key_owner *out,
		     uint32_t max);

/** Returns the known owner of a seat's keys, or NULL: the seat's host. */
const struct frame_key_owner *owners_find(const struct owners *o,
					  const char *domain, uint16_t seat);

#endif
