#ifndef PLATFORM_HEADERS_H
#define PLATFORM_HEADERS_H

#include <stdbool.h>

#include <glib.h>

#include "router/identity.h"
#include "router/router.h"

/** Header with the id of a request; leaves repeat it in their replies. */
#define PLATFORM_REQUEST_ID "Nutmegpick-Request-Id"
/** Header with the time in ms for which the sender waits for the reply. */
#define PLATFORM_REQUEST_DEADLINE "Nutmegpick-Request-Deadline"
/** Path of the readiness check. */
#define PLATFORM_READY_PATH "/-/ready"

/** Request of a caller, with its headers in the order of arrival. */
struct platform_request {
	const char *method;
	/** Path and query as sent. */
	const char *target;
	/** Of struct http_header. */
	const GArray *headers;
	size_t body_len;
};

/** Writes the request line and the headers of a call to a leaf. */
void platform_write_call_head(GString *out,
			      const struct platform_request *request,
			      const struct router_call *call);

/** Parses a PLATFORM_REQUEST_DEADLINE value to microseconds; 0 if unusable. */
int64_t platform_parse_deadline(const char *text);

/**
 * Returns what a request tells about its caller. Of a key, only the digest is
 * returned. headers is of struct http_header.
 */
struct credentials platform_read_credentials(const GArray *headers);

/**
 * Returns whether a header of a request tells who its caller is. Where
 * organisations are in force it goes neither to a leaf nor to another host.
 */
bool platform_is_identity_header(const char *name);

/** Sets the fields of a result that the leaf's whole reply tells. */
void platform_read_reply(struct leaf_reply *reply,
			 struct router_result *result);

/** Returns whether a header of a leaf's reply is passed on to the caller. */
bool platform_is_end_to_end_header(const char *name);

/** Calls add() for each header that the router itself adds to an answer. */
void platform_write_answer_headers(const struct router_answer *a,
				   void (*add)(void *ctx, const char *name,
					       const char *value),
				   void *ctx);

#endif
