#ifndef NET_REPLY_READER_H
#define NET_REPLY_READER_H

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>
#include <http_parser.h>

#include "net/leaf_reply.h"

/**
 * Parser of the replies on one connection to a leaf; does no input or output.
 * It skips late replies to earlier requests on the connection, and limits the
 * bytes that it reads for one request.
 */

/** Limits on the bytes that are read for one request. */
struct reply_limits {
	/** Largest body of the reply, in bytes. */
	size_t body_max_bytes;
	/** Most other bytes: heads, chunk sizes and skipped replies. */
	size_t other_max_bytes;
	/** Most headers of a head; 0 sets no limit. */
	uint32_t headers_max;
};

enum reply_state {
	REPLY_INCOMPLETE,
	/** The reply is complete; reply_reader_take() returns it. */
	REPLY_COMPLETE,
	/** The bytes are not a valid reply to the request; cause says why. */
	REPLY_BROKEN,
};

struct reply_reader {
	struct reply_limits limits;
	/** Header in which leaves repeat the id of the request. */
	const char *echo_header;
	/** Id of the current request; NULL before the first. */
	char *request_id;
	http_parser parser;
	/** Reply that is being read. */
	struct leaf_reply *reply;
	/** Name and value of the header that is being read. */
	GString *field;
	GString *value;
	/** Memory of the headers that were read. */
	size_t header_memory;
	/** Bytes read for this request, without its buffered body. */
	size_t other_bytes;
	/** Reason for REPLY_BROKEN. */
	const char *cause;
	/** The connection may carry another request. */
	bool is_reusable;
	/** The request is a HEAD: its reply has no body. */
	bool is_head;
	/** The connection has carried an earlier request. */
	bool is_used;
	/** The body is read and discarded. */
	bool is_dropping;
	/** The value of the current header has begun. */
	bool is_value;
	/** A transfer coding was named in the head. */
	bool has_coding;
	/** The head is complete; trailers are ignored. */
	bool is_past_head;
	/** The reply that is being read belongs to an earlier request. */
	bool is_for_earlier_request;
	bool is_complete;
};

void reply_reader_init(struct reply_reader *r, const struct reply_limits *l,
		       const char *echo_header);
void reply_reader_clear(struct reply_reader *r);

/** Prepares to read the reply to a request; the id is copied. */
void reply_reader_begin(struct reply_reader *r, const char *request_id,
			bool is_head);

/** Parses bytes from the connection; len is 0 at the end of the stream. */
enum reply_state reply_reader_feed(struct reply_reader *r, const char *data,
				   size_t len);

/** Returns the memory that the reader holds for the current reply. */
size_t reply_reader_memory(const struct reply_reader *r);

/** Discards the body that was read, and what follows of it. */
void reply_reader_drop_body(struct reply_reader *r);

/** Returns the number of buffered body bytes. */
size_t reply_reader_buffered_bytes(const struct reply_reader *r);

/** Returns the reply, or NULL; the caller owns the reference. */
struct leaf_reply *reply_reader_take(struct reply_reader *r);

#endif
