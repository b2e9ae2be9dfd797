#ifndef NET_HTTP_SERVER_H
#define NET_HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "net/http_header.h"

/** HTTP/1.1 server. A request may be answered later, from any thread. */
struct http_server;

/** One request that waits for its reply. */
struct http_exchange;

struct http_server_options {
	/** IP number and port, such as "127.0.0.1:8080"; port 0 picks one. */
	const char *address;
	/** Largest head of a request in bytes; 0 selects 32 KiB. */
	size_t max_head;
	/** Largest request body in bytes; 0 selects 1 MB. */
	size_t max_body;
	/**
	 * Most memory, in bytes, of the long heads and the bodies of all
	 * requests that are read or answered; a request beyond it is refused as
	 * not run. 0 selects 32 MiB.
	 */
	size_t max_buffered;
	/**
	 * Most connections at the same time; others wait to be accepted. 0
	 * selects 4096, or 87% of the process's descriptors if that is less.
	 */
	unsigned int max_connections;
	/**
	 * Called on the server's thread with a whole request. The callee owns
	 * the exchange until http_exchange_reply() or http_exchange_drop().
	 */
	void (*handle_request)(void *ctx, struct http_exchange *x);
	void *ctx;
};

/** Starts a server. Returns 0, -ERR_INVAL or -ERR_NET_LISTEN. */
int http_server_create(struct http_server **out,
		       const struct http_server_options *options);

/** Limits on the size and the duration of callers' requests. */
struct http_limits {
	/** Largest head of a request, in bytes; 0 keeps the limit. */
	size_t max_head;
	/** Largest request body, in bytes. */
	size_t max_body;
	/** Longest time without a request on an open connection. */
	int64_t idle_us;
	/** Longest time for the head of a request, from its first byte. */
	int64_t head_us;
	/** Longest time for the body of a request. */
	int64_t body_us;
};

/**
 * Sets the limits; 0 sets no time limit. Requests over a limit are refused at
 * once, and their connections are closed. May be called from any thread.
 */
void http_server_set_limits(struct http_server *s, const struct http_limits *l);

/**
 * Tells callers in each reply for how long they may reuse an idle connection,
 * in whole seconds and at most the idle limit; 0 tells nothing. A stop keeps
 * idle connections open for this time and a second more, as far as its own time
 * allows. May be called from any thread.
 */
void http_server_set_keep_alive(struct http_server *s, int64_t keep_alive_us);

/**
 * Closes connections that are idle for too long, and refuses requests that
 * arrive too slowly. May be called from any thread.
 */
void http_server_close_expired(struct http_server *s);

/** Returns the port that the server listens on. */
uint16_t http_server_port(const struct http_server *s);

/** Adds "Connection: close" to all further replies; still accepts callers. */
void http_server_drain(struct http_server *s);

/**
 * Stops listening and waits until all connections are closed. Requests in
 * flight, and requests that callers send on open connections, are still
 * answered for up to serve_us. Then idle connections are closed and requests
 * that are not whole are refused as not run; up to flush_us further are
 * left for sending answers. Returns the number of connections left.
 */
unsigned int http_server_stop(struct http_server *s, int64_t serve_us,
			      int64_t flush_us);

/**
 * Stops and frees the server. Waits without limit for exchanges that are not
 * answered yet, and up to timeout_us for connections to end by themselves.
 */
void http_server_destroy(struct http_server *s, int64_t timeout_us);

/** Returns the number of connections, also of those that no thread serves yet. */
unsigned int http_server_connection_count(struct http_server *s);

const char *http_exchange_method(const struct http_exchange *x);
const char *http_exchange_path(const struct http_exchange *x);

/** Returns the path and query as sent. */
const char *http_exchange_target(const struct http_exchange *x);

/** Returns the headers, of struct http_header, in the order of arrival. */
const GArray *http_exchange_headers(const struct http_exchange *x);

/** Removes the request headers whose names the callback selects. */
void http_exchange_remove_headers(struct http_exchange *x,
				  bool (*is_removed)(const char *name));

/** Returns a request header's value, or NULL. */
const char *http_exchange_header(const struct http_exchange *x,
				 const char *name);

/** Returns the request body, with a NUL behind it. */
const char *http_exchange_body(const struct http_exchange *x, size_t *len);

/** Returns whether the caller has closed its connection. */
int http_exchange_is_caller_gone(const struct http_exchange *x);

/** Returns whether this is the first request on its connection. */
int http_exchange_is_first(const struct http_exchange *x);

/** Returns the connection's socket, or -1. Test servers break replies on it. */
int http_exchange_fd(const struct http_exchange *x);

/** Adds a header to the reply. */
void http_exchange_add_header(struct http_exchange *x, const char *name,
			      const char *value);

/** Closes the connection without a reply and ends the exchange. */
void http_exchange_drop(struct http_exchange *x);

/**
 * Sends the reply and ends the exchange. The body is copied; content_type may
 * be NULL.
 */
void http_exchange_reply(struct http_exchange *x, unsigned int status,
			 const char *content_type, const char *body,
			 size_t len);

#endif
