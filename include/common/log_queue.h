#ifndef COMMON_LOG_QUEUE_H
#define COMMON_LOG_QUEUE_H

#include <stddef.h>
#include <stdint.h>

/**
 * Log writer on its own thread, so that a blocked reader of the descriptor does
 * not block the threads that log. Lines are dropped and counted if the queue is
 * full or, at level info and below, if they exceed info_bytes_per_second.
 */
struct log_queue_options {
	/** Descriptor to write to. */
	int fd;
	/** Rate limit for lines at level info and below; 0 is no limit. */
	uint32_t info_bytes_per_second;
	/** Most lines in the queue; 0 selects 4096. */
	size_t capacity;
};

/** Sends all log lines of the process through a queue. Returns 0 or -ERR_*. */
int log_queue_start(const struct log_queue_options *options);

/** Writes the queued lines and ends the thread. */
void log_queue_stop(void);

#endif
