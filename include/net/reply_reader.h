#ifndef NET_REPLY_READER_H
#define NET_REPLY_READER_H

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>
#include <http_parser.h>

#include "net/leaf_reply.h"

/**
 * Reads the replies on one connection to a leaf, from bytes alone. It finds the
 * reply to the request that waits among late copies of earlier ones, and bounds
 * what it takes.
 */

/** Bounds on what is read for one request. */
struct reply_limits {
	/** Largest body of the reply, in bytes. */
	size_t body_max;
	/** Most other bytes: heads, chunk sizes and replies passed over. */
	size_t other_max;
};

enum reply_state {
	REPLY_INCOMPLETE,
	/** The reply is whole; reply_reader_take() hands it out. */
	REPLY_COMPLETE,
	/** The bytes are no reply to the request; see cause. */
	REPLY_BROKEN,
};

struct reply_reader {
	struct reply_limits limits;
	/** Header in which leaves repeat the id of the request. */
	const char *echo_header;
	char *request_id;
	http_parser parser;
	struct leaf_reply *reply;
	GString *field;
	GString *value;
	size_t other_bytes;
	/** Why the state is REPLY_BROKEN. */
	const char *cause;
	/** Another request may follow on the connection. */
	bool is_reusable;
	bool is_head;
	/** The connection has carried an earlier request. */
	bool is_used;
	/** The body is read and dropped. */
	bool is_dropping;
	bool is_value;
	/** What follows are trailers: they say nothing of the reply. */
	bool is_past_head;
	/** The message belongs to an earlier request. */
	bool is_foreign;
	bool is_complete;
};

void reply_reader_init(struct reply_reader *r, const struct reply_limits *l,
		       const char *echo_header);
void reply_reader_clear(struct reply_reader *r);

/** Begins to wait for the reply to a request; the id is copied. */
void reply_reader_begin(struct reply_reader *r, const char *request_id,
			bool is_head);

/** Takes bytes; none at the end of the stream. */
enum reply_state reply_reader_feed(struct reply_reader *r, const char *data,
				   size_t len);

/** Nobody waits for the reply: its body is dropped from now on. */
void reply_reader_drop_body(struct reply_reader *r);

/** Returns the bytes of body that are held. */
size_t reply_reader_held(const struct reply_reader *r);

/** Hands out the whole reply with its reference. */
struct leaf_reply *reply_reader_take(struct reply_reader *r);

#endif
