#ifndef NUTMEGPICKD_STORE_THREAD_H
#define NUTMEGPICKD_STORE_THREAD_H

#include <stdbool.h>

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

/** Ends all calls and joins the thread. */
void store_thread_stop(struct store_thread *t);

#endif
