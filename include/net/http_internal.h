#ifndef NET_HTTP_INTERNAL_H
#define NET_HTTP_INTERNAL_H

#include <pthread.h>

#include "net/http_server.h"
#include "net/request_reader.h"

/** Shared by the files of the HTTP server. */

enum http_phase {
	/** No byte of a request has been read. */
	HTTP_IDLE,
	HTTP_READING_HEAD,
	HTTP_READING_BODY,
	/** A whole request waits for its answer. */
	HTTP_ANSWERING,
	/** An answer or a refusal is being sent. */
	HTTP_SENDING,
	/**
	 * The answer is sent; input is dropped until the caller closes. To
	 * close with unread input would reset the connection and could lose
	 * the answer.
	 */
	HTTP_LINGERING,
	HTTP_CLOSED,
};

/**
 * Connection of a caller. Owned by the server's thread; others may hold the
 * lock and read the phase and time, or request a refusal.
 */
struct http_connection {
	struct http_server *server;
	int fd;
	enum http_phase phase;
	/** Time of the last change of the phase, or of the last bytes sent. */
	int64_t since_us;
	/** A request has arrived on the connection. */
	bool is_used;
	/** The server has shut the socket down for receiving. */
	bool is_shut_down;
	/** The socket may have input. */
	bool is_readable;
	/** What the caller still sends belongs to a request that was refused. */
	bool is_refused;
	/** The caller has ended its side, so input ends with the stream. */
	bool is_ended;
	/** The connection closes once the output is sent. */
	bool is_last;
	/**
	 * Status and code with which to refuse the request that is read; a
	 * status of 0 closes the connection. Guarded by the lock.
	 */
	bool is_refusal_due;
	unsigned int refusal_status;
	int refusal_code;
	struct request_reader reader;
	/** Bytes of the reader, as counted in the server's total. */
	size_t buffered_bytes;
	/** Bytes received behind the request that is answered, or NULL. */
	GString *input;
	/** Bytes to send, of which some are sent; NULL for none. */
	GString *output;
	size_t sent;
	/** In the server's list of heads or of lingering connections. */
	GQueue *queue;
	GList queue_link;
};

struct http_server {
	struct http_server_options options;
	struct request_limits limits;
	/** Time limits, guarded by the lock; 0 sets no limit. */
	int64_t idle_us;
	int64_t head_us;
	int64_t body_us;
	/** Idle time for which callers may reuse a connection; 0 tells none. */
	int64_t keep_alive_us;
	/** The same within the idle limit, in seconds, as replies tell it. */
	unsigned int keep_alive_s;
	/** Longest time that callers were told. */
	int64_t kept_us;
	uint16_t port;
	int epoll_fd;
	/** Wakes the thread. */
	int wake_fd;
	/** -1 once the server has stopped listening; guarded by the lock. */
	int listen_fd;
	/** When to accept again after a failure for want of descriptors, or 0. */
	int64_t accept_us;
	bool is_draining;
	/** New requests are refused: the server is being destroyed. */
	bool is_closed;
	bool is_exiting;
	/** Memory of all requests, beyond a small part of each head. */
	size_t buffered_bytes;
	/** Requests passed to handle_request() and not answered yet. */
	unsigned int unanswered_count;
	pthread_t thread;
	/** Guards the connections, and what other threads pass to this one. */
	pthread_mutex_t lock;
	GHashTable *connections;
	/** Sockets that a stop has accepted, of int. */
	GArray *accepted;
	/** Of struct http_exchange: answered by other threads. */
	GPtrArray *answered;
	/** A refusal is due on some connections. */
	bool has_refusals;
	/** Connections whose head is being read, the oldest first. */
	GQueue heads;
	/** Lingering connections, the oldest first. */
	GQueue lingering;
	/** Closed connections; pending events may refer to them. */
	GPtrArray *closed;
};

/** Owned by the callee of handle_request() until its reply. */
struct http_exchange {
	struct http_server *server;
	struct http_connection *caller;
	struct http_request *request;
	/** Bytes of the request, as counted in the server's total. */
	size_t buffered_bytes;
	bool is_first;
	/** The connection is to be closed without an answer. */
	bool is_dropped;
	/** The connection closes after the answer. */
	bool is_last;
	/** One of the headers of the answer is its date. */
	bool has_date;
	/** Headers that the answer gets, as lines. */
	GString *reply_headers;
	/** Set by the answering thread. */
	GString *reply;
};

/** Takes the request. */
struct http_exchange *http_exchange_create(struct http_connection *c,
					   struct http_request *request);
void http_exchange_free(struct http_exchange *x);

/**
 * Returns the text of a refusal, which tells that the request has not run and
 * that the connection closes.
 */
GString *http_refusal_create(unsigned int status, int code);

/** Wakes the server's thread. */
void http_server_wake(struct http_server *s);

/** Adds a connection that was accepted; called on the server's thread. */
void http_connection_open(struct http_server *s, int fd);
void http_connection_handle_event(struct http_connection *c, uint32_t events);
/** Sends the answer of an exchange and frees the exchange. */
void http_connection_answer(struct http_connection *c, struct http_exchange *x);
/**
 * Refuses the request that is being read, and closes the connection once the
 * caller has read that.
 */
void http_connection_refuse(struct http_connection *c, unsigned int status,
			    int code);
void http_connection_close(struct http_connection *c);
void http_connection_free(struct http_connection *c);
bool http_connection_is_reading(const struct http_connection *c);
bool http_connection_is_shut_down(const struct http_connection *c);

#endif
