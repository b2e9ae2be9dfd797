#ifndef NUTMEGPICKD_STORE_THREAD_H
#define NUTMEGPICKD_STORE_THREAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct host;

/** Thread that follows the published set and sends HOST_SET events. */
struct store_thread;

/** Starts the thread. Returns 0 or a negative result code. */
int store_thread_start(struct store_thread **out, struct host *h);

/**
 * Starts or stops following the pointer; a new thread follows it. A host that
 * does not watch learns versions from its peers.
 */
void store_thread_set_active(struct store_thread *t, bool is_active);

/**
 * Reads a key; a HOST_STORE_RESULT event with the ticket tells the result.
 */
void store_thread_get(struct store_thread *t, uint64_t ticket, const char *key);

/**
 * Writes a key if its last change is at the given revision (0: the key does
 * not exist); a HOST_STORE_RESULT event with the ticket tells the result.
 */
void store_thread_cas(struct store_thread *t, uint64_t ticket, const char *key,
		      uint64_t revision, const void *data, size_t len);

/** Ends all calls and joins the thread. */
void store_thread_stop(struct store_thread *t);

#endif
