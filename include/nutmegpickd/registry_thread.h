#ifndef NUTMEGPICKD_REGISTRY_THREAD_H
#define NUTMEGPICKD_REGISTRY_THREAD_H

#include <glib.h>

#include "common/clock.h"
#include "router/leaf_set.h"
#include "router/table.h"

/** News of the platform's store; passed on as one unit. */
struct registry_news {
	/** Newest route table, or NULL. */
	struct route_table *table;
	/** Of struct leaf_entry, oldest first. */
	GArray *entries;
	/** Ids of leaves whose entries are gone or cannot be read. */
	GPtrArray *removed;
	/** The entries are all that the store holds. */
	bool is_complete;
	/** Time for which removed leaves may still be used. */
	int64_t grace_us;
};

void registry_news_free(struct registry_news *n);

/** Thread that follows routes and leaves in the platform's store. */
struct registry_thread;

struct registry_thread_options {
	struct np_clock clock;
	/** IP number and port of the store. */
	const char *address;
	/** Takes over the news; called on the registry thread. */
	void (*handle_news)(void *ctx, struct registry_news *n);
	void *ctx;
};

/** Starts the thread. Returns 0 or a negative result code. */
int registry_thread_start(struct registry_thread **out,
			  const struct registry_thread_options *options);
/** Ends the thread without waiting for a call under way. */
void registry_thread_stop(struct registry_thread *t);

#endif
