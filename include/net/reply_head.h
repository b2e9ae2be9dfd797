#ifndef NET_REPLY_HEAD_H
#define NET_REPLY_HEAD_H

#include <stdbool.h>
#include <stddef.h>

/**
 * Notes whether the head of a reply that libcurl reads is complete. libcurl
 * reports success, with an empty body, for a reply whose connection closes
 * within its head.
 */
struct reply_head {
	bool is_complete;
};

/** Notes a line of the head, as passed to CURLOPT_HEADERFUNCTION. */
void reply_head_add_line(struct reply_head *h, const char *line, size_t len);

#endif
