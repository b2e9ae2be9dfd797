#ifndef COMMON_LOG_QUEUE_H
#define COMMON_LOG_QUEUE_H

#include <stddef.h>
#include <stdint.h>

/**
 * Writes log lines on a thread of its own, so that a reader that has stopped
 * delays nobody. Lines that find the queue full, and lines of level info above
 * the bound of bytes a second, are dropped and counted.
 */
struct log_queue_options {
	/** Descriptor to write to. */
	int fd;
	/** Most bytes a second of lines at level info; 0 is no bound. */
	uint32_t info_bytes_per_second;
	/** Most lines in the queue; 0 selects 4096. */
	size_t capacity;
};

/** Sends all log lines of the process through a queue. Returns 0 or -ERR_*. */
int log_queue_start(const struct log_queue_options *options);

/** Writes what is queued and ends the thread. */
void log_queue_stop(void);

#endif
