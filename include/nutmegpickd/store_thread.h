#ifndef NUTMEGPICKD_STORE_THREAD_H
#define NUTMEGPICKD_STORE_THREAD_H

struct host;

/** Thread that follows the published set and sends HOST_SET events. */
struct store_thread;

/** Starts the thread. Returns 0 or a negative result code. */
int store_thread_start(struct store_thread **out, struct host *h);

/** Ends all calls and joins the thread. */
void store_thread_stop(struct store_thread *t);

#endif
