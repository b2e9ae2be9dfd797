#ifndef NUTMEGPICKD_STORE_THREAD_H
#define NUTMEGPICKD_STORE_THREAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct host;

/**
 * Thread that follows the published set, sends HOST_SET events and makes the
 * fleet's calls to the store.
 */
struct store_thread;

/** Starts the thread. Returns 0 or a negative result code. */
int store_thread_start(struct store_thread **out, struct host *h);

/**
 * Starts or stops following the store's current version. At the start, only a
 * host without peers follows it. A host that does not follow gets versions from
 * its peers.
 */
void store_thread_set_active(struct store_thread *t, bool is_active);

/** Reads a key; a HOST_STORE_RESULT event with the ticket has the result. */
void store_thread_get(struct store_thread *t, uint64_t ticket, const char *key);

/**
 * Writes a key if its last change was at the given revision; 0 means that the
 * key does not exist. A HOST_STORE_RESULT event with the ticket has the result.
 */
void store_thread_cas(struct store_thread *t, uint64_t ticket, const char *key,
		      uint64_t revision, const void *data, size_t len);

/** Ends all calls, joins the thread and frees it. */
void store_thread_stop(struct store_thread *t);

#endif
