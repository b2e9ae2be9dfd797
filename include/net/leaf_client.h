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
 * HTTP/1.1 client for leaves, on one epoll descriptor and for one thread.
 * Connections stay open between calls and carry one call at a time.
 */
struct leaf_client;

/** Connections to one leaf. */
struct leaf_endpoint;

enum leaf_call_end {
	/** A whole reply was read. */
	LEAF_CALL_DONE,
	/** No byte of the request was written to the connection. */
	LEAF_CALL_NOT_SENT,
	/** The connection broke, timed out or carried an invalid reply. */
	LEAF_CALL_BROKEN,
};

/** Result of a call; valid during the callback. */
struct leaf_call_result {
	uint64_t call_id;
	enum leaf_call_end end;
	/** Set for LEAF_CALL_DONE only. */
	struct leaf_reply *reply;
	/** Reason for the failure; NULL for LEAF_CALL_DONE. */
	const char *cause;
};

struct leaf_request {
	uint64_t call_id;
	/** Request line and headers, up to and with the empty line. */
	const char *head;
	size_t head_len;
	const void *body;
	size_t body_len;
	/** Value that the reply repeats in echo_header; copied. */
	const char *request_id;
	/** Method HEAD, whose replies have no body. */
	bool is_head;
	/**
	 * The request may be repeated, so any idle connection may carry it.
	 * Other requests need a new one or one that was in use lately.
	 */
	bool is_idempotent;
	/** Monotonic time at which the call times out. */
	int64_t deadline_us;
};

struct leaf_client_options {
	struct np_clock clock;
	/** Header in which leaves repeat the id of the request. */
	const char *echo_header;
	/** Limits on one reply; 0 selects the default. */
	struct reply_limits limits;
	/** Limit on the memory of all replies that are read; 0: default. */
	size_t buffered_max_bytes;
	/**
	 * Called within leaf_client_poll(), leaf_client_send() and
	 * leaf_client_sweep().
	 */
	void (*handle_end)(void *ctx, const struct leaf_call_result *result);
	void *ctx;
};

struct leaf_client_counts {
	uint64_t opened;
	uint64_t reused;
	uint32_t open;
};

/**
 * Default of limits.other_max_bytes: room for heads and for some late replies
 * of a few KB.
 */
#define LEAF_OTHER_MAX_BYTES (256u * 1024)
/** Default of limits.headers_max. */
#define LEAF_HEADERS_MAX 256
/** Default of limits.body_max_bytes. */
#define LEAF_BODY_MAX_BYTES (1024u * 1024)
/** Default of buffered_max_bytes. The smallest host has 160 MB of memory. */
#define LEAF_BUFFERED_MAX_BYTES (32u * 1024 * 1024)

/** Creates a client. Returns 0 or -ERR_IO. */
int leaf_client_create(struct leaf_client **out,
		       const struct leaf_client_options *options);
void leaf_client_destroy(struct leaf_client *c);

/** Polls one more descriptor, such as that of a ring, for input. */
int leaf_client_watch_fd(struct leaf_client *c, int fd);

/**
 * Waits for at most timeout_us and handles the events of the connections.
 * Returns whether the descriptor of leaf_client_watch_fd() is readable.
 */
bool leaf_client_poll(struct leaf_client *c, int64_t timeout_us);

/** Returns the monotonic time at which the wait of the last poll ended. */
int64_t leaf_client_wakeup_us(const struct leaf_client *c);

struct leaf_endpoint *leaf_endpoint_create(struct leaf_client *c,
					   const struct sockaddr_in *address);
/** Closes all connections; calls in flight end without a callback. */
void leaf_endpoint_destroy(struct leaf_endpoint *e);

/** Closes the connections that carry no call. */
void leaf_endpoint_close_idle(struct leaf_endpoint *e);

/** Sends a request; copies the head and body. The call ends in handle_end(). */
void leaf_client_send(struct leaf_endpoint *e, const struct leaf_request *r);

/** Cancels a call without a callback and closes its connection. */
void leaf_client_cancel(struct leaf_client *c, uint64_t call_id);

/**
 * Cancels a call without a callback and returns true if nothing of the request
 * has been sent; otherwise the call goes on.
 */
bool leaf_client_withdraw_call(struct leaf_client *c, uint64_t call_id);

/**
 * Detaches a call whose result is no longer needed. If nothing of the request
 * has been sent, the call is cancelled and true is returned. Otherwise it goes
 * on for at most a second, so that its connection can be reused, and ends in
 * handle_end().
 */
bool leaf_client_detach_call(struct leaf_client *c, uint64_t call_id);

/** Closes connections idle for too long and fails calls that time out. */
void leaf_client_sweep(struct leaf_client *c);

struct leaf_client_counts leaf_client_get_counts(const struct leaf_client *c);

#endif
