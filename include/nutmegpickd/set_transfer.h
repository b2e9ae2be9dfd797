#ifndef NUTMEGPICKD_SET_TRANSFER_H
#define NUTMEGPICKD_SET_TRANSFER_H

#include "nutmegpickd/host.h"

/** Fetches object sets from peers, chunk by chunk, and serves them to peers. */
struct set_transfer;

struct set_transfer *set_transfer_create(struct host *h);
void set_transfer_destroy(struct set_transfer *t);

/** Keeps the chunks of the set in force for peers and for later fetches. */
void set_transfer_keep_set(struct set_transfer *t,
			   const struct object_set *set);

/** Fetches a version from the host at an address. */
void set_transfer_fetch(struct set_transfer *t, const char *address,
			uint64_t version);

/** Handles a PULL frame that names a part, or a SET frame. */
void set_transfer_handle(struct set_transfer *t, const struct frame *frame);

/** Applies a set that is complete. Must not be called in fleet callbacks. */
void set_transfer_advance(struct set_transfer *t);

#endif
