#ifndef COMMON_RING_H
#define COMMON_RING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Bounded queue of pointers from many producer threads to one consumer thread.
 * The consumer polls a file descriptor, so that it can wait for the ring and
 * for sockets at the same time.
 */
struct ring;

/**
 * Creates a ring for at least capacity entries; its size is a power of two.
 * Returns 0 or -ERR_NOMEM.
 */
int ring_create(struct ring **out, size_t capacity);

/** Frees the ring, but not the pointers that are still queued. */
void ring_destroy(struct ring *r);

/** Queues a pointer and wakes the consumer. Returns 0 or -ERR_FULL. */
int ring_push(struct ring *r, void *item);

/** Removes and returns the oldest pointer, or NULL if the ring is empty. */
void *ring_pop(struct ring *r);

/** Returns the descriptor that becomes readable when entries are queued. */
int ring_fd(const struct ring *r);

/**
 * Resets the descriptor. Must be called before the entries are removed:
 * otherwise an entry that is queued in between may stay without a signal.
 */
void ring_clear_wakeup(struct ring *r);

/** Returns the approximate number of queued entries. */
size_t ring_size(const struct ring *r);

#endif
