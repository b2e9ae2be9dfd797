#include "net/reply_head.h"

#include <string.h>

#define STATUS_LINE_START "HTTP/"

void reply_head_add_line(struct reply_head *h, const char *line, size_t len)
{
	const size_t start = strlen(STATUS_LINE_START);

	/* The head of an interim reply is followed by another one. */
	if (len >= start && !memcmp(line, STATUS_LINE_START, start))
		h->is_complete = false;
	else if (len && (line[0] == '\n' ||
			 (line[0] == '\r' && len > 1 && line[1] == '\n')))
		h->is_complete = true;
}
