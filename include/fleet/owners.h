#ifndef FLEET_OWNERS_H
#define FLEET_OWNERS_H

#include <stdbool.h>

#include "fleet/frame.h"

/**
 * Owners of seats' request keys, for the seats whose keys are or were owned by
 * another host than the seat's. Gossip spreads the entries; one with a larger
 * epoch replaces one with a smaller epoch.
 */
struct owners;

int owners_create(struct owners **out);
void owners_destroy(struct owners *o);

/** Applies an entry and queues it for gossip if it is newer. */
void owners_apply(struct owners *o, const struct frame_key_owner *entry);

/** Writes the entries for the next frame, up to max. Returns their number. */
uint32_t owners_take_pending(struct owners *o, struct frame_key_owner *out,
			     uint32_t max);

/**
 * Returns the owner that was announced for a seat's keys, or NULL if there is
 * none: then the seat's host owns them.
 */
const struct frame_key_owner *owners_find(const struct owners *o,
					  const char *domain, uint16_t seat);

#endif
