#ifndef NET_REQUEST_READER_H
#define NET_REQUEST_READER_H

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>
#include <http_parser.h>

#include "net/http_header.h"

/**
 * Parser of the requests on one connection of a caller; does no input or
 * output. Between requests it holds no memory. It refuses requests whose length
 * is ambiguous, since the receivers could each take another one.
 */

/** Limits on one request. */
struct request_limits {
	/** Largest head in bytes, from the method to the empty line. */
	size_t head_max_bytes;
	/** Largest body, in bytes. */
	size_t body_max_bytes;
};

struct http_request {
	/** Text of the head; method, target and headers point into it. */
	GString *head;
	const char *method;
	/** Path and query as sent. */
	const char *target;
	/** Path without the query, with escapes decoded. */
	char *path;
	/** Of struct http_header, in the order of arrival. */
	GArray *headers;
	GString *body;
	/** The caller may send further requests on the connection. */
	bool is_kept;
	bool is_http_1_0;
	/** The caller waits for an interim reply before it sends the body. */
	bool is_continue_expected;
};

enum request_state {
	REQUEST_INCOMPLETE,
	/** The head is complete, returned once; the body follows. */
	REQUEST_HEAD_READ,
	/** request_reader_take() returns the request. */
	REQUEST_COMPLETE,
	/** Status and code say why. The reader takes no more bytes. */
	REQUEST_REFUSED,
};

struct request_reader {
	http_parser parser;
	/** Bytes of empty lines before the head. */
	size_t empty_bytes;
	/** Head that is being read, or NULL. */
	GString *head;
	/** Bytes of the head in which its end is not. */
	size_t scanned;
	/** Request whose head is complete, or NULL. */
	struct http_request *request;
	/** A transfer coding was named. */
	bool has_coding;
	bool is_complete;
	/** HTTP status and result code of REQUEST_REFUSED. */
	unsigned int status;
	int code;
};

/** Frees what the reader holds and prepares it for the next request. */
void request_reader_clear(struct request_reader *r);

/**
 * Parses bytes of the connection and sets used to the number of bytes taken.
 * Others may be left if the state is not REQUEST_INCOMPLETE. After
 * REQUEST_HEAD_READ the next call may have len 0.
 */
enum request_state request_reader_feed(struct request_reader *r,
				       const struct request_limits *limits,
				       const char *data, size_t len,
				       size_t *used);

/** Returns whether a request has begun. */
bool request_reader_is_begun(const struct request_reader *r);

/** Returns the memory that the reader holds, in bytes. */
size_t request_reader_memory(const struct request_reader *r);

/** Returns the complete request, which the caller owns. */
struct http_request *request_reader_take(struct request_reader *r);

void http_request_free(struct http_request *q);

#endif
