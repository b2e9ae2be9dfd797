#ifndef FLEET_OWNERS_H
#define FLEET_OWNERS_H

#include <stdbool.h>

#include "fleet/frame.h"

/**
 * Key owners that are, or were, not the host of the seat, as learned from
 * gossip. An entry with a larger epoch replaces one with a smaller epoch.
 */
struct owners;

int owners_create(struct owners **out);
void owners_destroy(struct owners *o);

/** Applies an entry and queues it for gossip if it is newer. */
void owners_apply(struct owners *o, const struct frame_key_owner *entry);

/** Writes the entries for the next frame, up to max. Returns their number. */
uint32_t owners_take_pending(struct owners *o, struct frame_key_owner *out,
			     uint32_t max);

/** Returns the owner of a seat's keys, or NULL if it is the seat's host. */
const struct frame_key_owner *owners_find(const struct owners *o,
					  const char *domain, uint16_t seat);

#endif
