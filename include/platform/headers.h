#ifndef PLATFORM_HEADERS_H
#define PLATFORM_HEADERS_H

#include <stdbool.h>

#include <glib.h>

#include "router/router.h"

/** Header that carries the id of a request, also in replies of leaves. */
#define PLATFORM_REQUEST_ID "Nutmegpick-Request-Id"
/** Time in ms that the sender will wait. */
#define PLATFORM_WAIT "Nutmegpick-Request-Deadline"
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

/** Writes the request line and headers of a call to a leaf. */
void platform_write_call(GString *out, const struct platform_request *request,
			 const struct router_call *call);

/** Returns the time in microseconds that a wait header states; 0 if none. */
int64_t platform_read_wait(const char *text);

/** Reads what a leaf's whole reply says of the call. */
void platform_read_reply(struct leaf_reply *reply,
			 struct router_result *result);

/** Returns whether a reply header is handed on to the caller. */
bool platform_is_end_to_end(const char *name);

/** Calls add() for every header of an answer that the router made. */
void platform_write_answer(const struct router_answer *a,
			   void (*add)(void *ctx, const char *name,
				       const char *value),
			   void *ctx);

#endif
