#ifndef NET_LEAF_CLIENT_H
#define NET_LEAF_CLIENT_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"
#include "net/leaf_reply.h"
#include "net/reply_reader.h"

/**
 * HTTP/1.1 client for leaves on one epoll descriptor. It is used by one thread.
 * Connections are kept open between calls and carry one call at a time.
 */
struct leaf_client;

/** Connections to one leaf. */
struct leaf_endpoint;

enum transfer_end {
	/** A whole reply was read. */
	TRANSFER_DONE,
	/** No byte of the request was handed to the connection. */
	TRANSFER_NOT_SENT,
	/** The connection broke, or its bytes were no reply. */
	TRANSFER_BROKEN,
};

/** End of a call; valid during the callback. */
struct leaf_transfer {
	uint64_t call_id;
	enum transfer_end end;
	/** Set if the transfer is done. */
	struct leaf_reply *reply;
	/** What broke the transfer. */
	const char *cause;
};

struct leaf_request {
	uint64_t call_id;
	/** Request line and headers with the empty line at the end. */
	const char *head;
	size_t head_len;
	const void *body;
	size_t body_len;
	/** Value that the reply repeats in echo_header; copied. */
	const char *request_id;
	/** The reply to HEAD has no body. */
	bool is_head;
	/** The request may be repeated: an idle connection is good enough. */
	bool is_idempotent;
	/** Monotonic time after which the call is given up. */
	int64_t deadline_us;
};

struct leaf_client_options {
	struct np_clock clock;
	/** Header in which leaves repeat the id of the request. */
	const char *echo_header;
	/** Bounds on one reply; 0 selects the default. */
	struct reply_limits limits;
	/** Most bytes of bodies held for all calls under way; 0 as above. */
	size_t held_max;
	/** Called within leaf_client_poll() and leaf_client_send(). */
	void (*handle_end)(void *ctx, const struct leaf_transfer *t);
	void *ctx;
};

struct leaf_client_counts {
	uint64_t opened;
	uint64_t reused;
	uint32_t open;
};

/** Default of limits.other_max: some late copies of a few KB, and heads. */
#define LEAF_HEAD_MAX_BYTES (256u * 1024)
/** Default of limits.body_max. */
#define LEAF_BODY_MAX_BYTES (1024u * 1024)
/** Default of held_max; the smallest host has 160 MB. */
#define LEAF_HELD_MAX_BYTES (32u * 1024 * 1024)

/** Creates a client. Returns 0 or -ERR_IO. */
int leaf_client_create(struct leaf_client **out,
		       const struct leaf_client_options *options);
void leaf_client_destroy(struct leaf_client *c);

/** Watches a foreign descriptor, such as that of a ring, for input. */
int leaf_client_watch(struct leaf_client *c, int fd);

/**
 * Waits for at most timeout_us and handles what has arrived. Returns whether
 * the foreign descriptor is readable.
 */
bool leaf_client_poll(struct leaf_client *c, int64_t timeout_us);

/** Returns the monotonic time at which the wait of the last poll ended. */
int64_t leaf_client_woke_us(const struct leaf_client *c);

struct leaf_endpoint *leaf_endpoint_create(struct leaf_client *c,
					   const struct sockaddr_in *address);
/** Closes all connections; calls under way end without a callback. */
void leaf_endpoint_destroy(struct leaf_endpoint *e);

/**
 * Sends a request. The head and body are copied where they cannot be sent at
 * once. The end comes through handle_end().
 */
void leaf_client_send(struct leaf_endpoint *e, const struct leaf_request *r);

/** Drops a call and closes its connection. */
void leaf_client_cancel(struct leaf_client *c, uint64_t call_id);

/**
 * Takes note that nobody waits for a call any more. One of which nothing has
 * been sent is dropped without a callback, and true is returned. Another goes
 * on for a second at most, so that its connection can be used again.
 */
bool leaf_client_let_go(struct leaf_client *c, uint64_t call_id);

/** Closes idle connections and gives up calls that are out of time. */
void leaf_client_sweep(struct leaf_client *c);

struct leaf_client_counts leaf_client_count(const struct leaf_client *c);

#endif
