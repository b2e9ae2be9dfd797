#ifndef NUTMEGPICKD_REGISTRY_THREAD_H
#define NUTMEGPICKD_REGISTRY_THREAD_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "router/directory.h"
#include "router/feed.h"
#include "store/mirror.h"

/** Thread that calls the platform's store. */
struct registry_thread;

struct registry_thread_options {
	struct np_clock clock;
	/** IP number and port of the store. */
	const char *address;
	/** Record that is published for this host; no address: none is. */
	struct host_record self;
	/** Takes over the changes; called on the registry thread. */
	void (*handle_changes)(void *ctx, struct store_changes *c);
	/** Tells that the store was lost or is back. */
	void (*handle_store)(void *ctx, bool is_up);
	void *ctx;
};

/** Starts the thread. Returns 0 or a negative result code. */
int registry_thread_start(struct registry_thread **out,
			  const struct registry_thread_options *options);

/**
 * Sets how the thread watches the store. A host that gets the changes from
 * another host need not watch; it begins again after the revision. A host
 * without an address for others watches from the start, another one after this
 * was called.
 */
void registry_thread_set_watch(struct registry_thread *t, enum feed_watch watch,
			       uint64_t revision);

/** Withdraws the record of this host; the thread goes on. */
void registry_thread_withdraw(struct registry_thread *t);

/** Asks the thread to end, which takes up to a second. */
void registry_thread_end(struct registry_thread *t);

/** Ends the thread and frees it. */
void registry_thread_stop(struct registry_thread *t);

#endif
