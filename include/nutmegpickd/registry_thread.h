#ifndef NUTMEGPICKD_REGISTRY_THREAD_H
#define NUTMEGPICKD_REGISTRY_THREAD_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "router/directory.h"
#include "router/feed.h"
#include "router/token_lease.h"
#include "store/mirror.h"

/**
 * Thread that calls the platform's store: lists and watches the records, and
 * keeps the record of this host published.
 */
struct registry_thread;

/** Lease on the record of this host. */
struct registry_lease {
	/** 0 if there is none. */
	uint64_t id;
	/** Start of the last call that granted or renewed it. */
	struct lease_time started;
	/**
	 * It was taken over from an earlier process of this host, which had
	 * waited until it might grant.
	 */
	bool is_inherited;
};

struct registry_thread_options {
	struct np_clock clock;
	/** IP number and port of the store. */
	const char *address;
	/** Record of this host; published only if it has an address. */
	struct host_record self;
	/** Receives changes and owns them; called on the registry thread. */
	void (*handle_changes)(void *ctx, struct store_changes *c);
	/** Called on the registry thread when the store is lost or regained. */
	void (*handle_store)(void *ctx, bool is_up);
	void *ctx;
};

/** Starts the thread. Returns 0 or a negative result code. */
int registry_thread_start(struct registry_thread **out,
			  const struct registry_thread_options *options);

/**
 * Sets how the thread watches the store. A host that receives the changes from
 * another host does not watch. When it watches again, it continues after the
 * given time. Before the first call of this function, only a host without an
 * address for links to other hosts watches.
 */
void registry_thread_set_watch(struct registry_thread *t, enum feed_watch watch,
			       struct store_time time);

/**
 * Notes a time of the store that another host has told. In a new era, the
 * record of this host is written again.
 */
void registry_thread_note_time(struct registry_thread *t,
			       struct store_time time);

/**
 * Sets the number of hosts. In a new era, they spread the writes of their
 * records over a time that grows with it.
 */
void registry_thread_set_host_count(struct registry_thread *t, uint32_t count);

/** Asks the thread to list the store before its next watch. */
void registry_thread_request_list(struct registry_thread *t);

/** Withdraws the record of this host; the thread continues to watch. */
void registry_thread_withdraw(struct registry_thread *t);

/** Asks the thread to end; a call to the store delays it by up to a second. */
void registry_thread_request_stop(struct registry_thread *t);

/** Ends and joins the thread and frees it. */
void registry_thread_stop(struct registry_thread *t);

/**
 * Returns the monotonic time at which the store last answered a list or watch;
 * 0 if it never has. May be called from any thread.
 */
int64_t registry_thread_news_us(const struct registry_thread *t);

/** Marks the record under a lease: this host has waited until it may grant. */
void registry_thread_mark_joined(struct registry_thread *t, uint64_t lease);

/** Time of the store that was current at a time of this host. */
struct registry_check {
	/** Its revision is 0 if there was no check. */
	struct store_time time;
	int64_t started_us;
};

/** Renews the record of this host at once and reads the store's time. */
void registry_thread_request_check(struct registry_thread *t);

/** Returns the last such time. May be called from any thread. */
struct registry_check registry_thread_last_check(struct registry_thread *t);

/** Returns the lease on this host's record. May be called from any thread. */
struct registry_lease registry_thread_lease(struct registry_thread *t);

#endif
