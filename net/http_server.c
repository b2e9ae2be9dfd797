#include "net/http_server.h"

#include <errno.h>
#include <fcntl.h>
#include <linux/filter.h>
#include <microhttpd.h>
#include <poll.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "common/address.h"
#include "common/clock.h"
#include "common/errors.h"
#include "common/events.h"

#define DEFAULT_MAX_BODY (1024 * 1024)
#define DEFAULT_MAX_CONNECTIONS 4096
#define DEFAULT_MAX_BUFFERED (32u * 1024 * 1024)
/* Backoff of callers whose body found no room; most bodies are short. */
#define NO_ROOM_RETRY_AFTER_S "1"
/* Backoff after a refusal that concerns one connection or one host only. */
#define ELSEWHERE_RETRY_AFTER_S "0"
/* Interval at which a stop checks for remaining connections and requests. */
#define STOP_POLL_US 5000
/* Time in which a handshake that has begun ends: a round trip to callers. */
#define STOP_HANDSHAKE_US 50000
/* Time for sending the last answers when a server is destroyed. */
#define DESTROY_FLUSH_US 400000
/* Offset of the flags in a TCP header, and the flags of a first packet. */
#define TCP_FLAGS_OFFSET 13
#define TCP_FLAG_SYN_ONLY 0x02
#define TCP_FLAG_SYN_ACK 0x12
/*
 * On a stop, a connection is closed only after it has been idle for this long
 * beyond the time for which callers may reuse it: a request may be on its way,
 * and callers notice the end of a connection late.
 */
#define STOP_IDLE_US 1000000
/* A body that has begun this recently may still come whole at the last moment. */
#define STOP_BODY_US 100000

/* Connection of a caller, from its acceptance to its end. */
struct http_connection {
	int fd;
	bool is_busy;
	/* The request was read whole and waits for its answer. */
	bool is_request_read;
	/* A request has arrived on the connection. */
	bool is_used;
	/* The server has shut the socket down, fully or for receiving. */
	bool is_shut_down;
	/* The request was refused on the socket before its body was whole. */
	bool is_refused;
	/* Time of the accept, or of the last begin or end of a request. */
	int64_t idle_since_us;
};

struct http_server {
	struct MHD_Daemon *daemon;
	struct http_server_options options;
	size_t max_body;
	/* Time limits, guarded by the lock; 0 sets no limit. */
	int64_t idle_us;
	int64_t idle_and_head_us;
	int64_t body_us;
	/* Idle time for which callers may reuse a connection; 0 tells none. */
	int64_t keep_alive_us;
	/* The same within the idle limit, in seconds, as replies tell it. */
	unsigned int keep_alive_s;
	/* Longest time that callers were told. */
	int64_t kept_us;
	uint16_t port;
	bool is_draining;
	/* New requests are refused: the server is being destroyed. */
	bool is_closed;
	/* Bytes of the bodies of all requests. */
	size_t buffered_bytes;
	/* Requests passed to handle_request() and not answered yet. */
	unsigned int unanswered_count;
	/* Guards the connections, which other threads also read. */
	pthread_mutex_t lock;
	GHashTable *connections;
	/* Sockets that a stop has accepted and the library has not taken yet. */
	GHashTable *queued_fds;
};

struct http_exchange {
	int refs;
	struct http_server *server;
	struct MHD_Connection *connection;
	struct http_connection *caller;
	char *method;
	char *path;
	/* Path and query as sent. */
	char *target;
	GString *body;
	/* Of struct http_header, in the order of arrival. */
	GArray *headers;
	bool is_too_large;
	/* The bodies of all requests leave no room for this one. */
	bool is_without_room;
	/* Bytes of the body, as counted in the server's total. */
	size_t buffered_bytes;
	bool is_submitted;
	bool is_first;
	/* Set by the answering thread, read after the connection's resume. */
	struct MHD_Response *response;
	GPtrArray *reply_headers;
	unsigned int status;
};

static void exchange_unref(struct http_exchange *x)
{
	if (__atomic_sub_fetch(&x->refs, 1, __ATOMIC_ACQ_REL) > 0)
		return;
	if (x->response)
		MHD_destroy_response(x->response);
	__atomic_sub_fetch(&x->server->buffered_bytes, x->buffered_bytes,
			   __ATOMIC_RELAXED);
	g_free(x->method);
	g_free(x->path);
	g_free(x->target);
	g_string_free(x->body, TRUE);
	g_array_free(x->headers, TRUE);
	g_ptr_array_free(x->reply_headers, TRUE);
	g_free(x);
}

static enum MHD_Result handle_header(void *ctx, enum MHD_ValueKind kind,
				     const char *key, const char *value)
{
	struct http_exchange *x = ctx;
	struct http_header h = { g_strdup(key), g_strdup(value ? value : "") };

	g_array_append_val(x->headers, h);
	return MHD_YES;
}

static void handle_clear_header(gpointer data)
{
	struct http_header *h = data;

	g_free(h->name);
	g_free(h->value);
}

static struct http_connection *get_caller(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info ? info->socket_context : NULL;
}

static void set_connection_busy(struct http_server *s,
				struct http_connection *c, bool is_busy)
{
	if (!c)
		return;
	pthread_mutex_lock(&s->lock);
	c->is_busy = is_busy;
	c->is_request_read = false;
	c->idle_since_us = g_get_monotonic_time();
	pthread_mutex_unlock(&s->lock);
}

/* Returns false if the request was already refused by the stop. */
static bool mark_request_read(struct http_server *s, struct http_connection *c)
{
	bool is_refused;

	if (!c)
		return true;
	pthread_mutex_lock(&s->lock);
	is_refused = c->is_refused;
	c->is_request_read = !is_refused;
	pthread_mutex_unlock(&s->lock);
	return !is_refused;
}

static void handle_connection(void *ctx, struct MHD_Connection *connection,
			      void **state,
			      enum MHD_ConnectionNotificationCode code)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	struct http_server *s = ctx;
	struct http_connection *c = *state;

	pthread_mutex_lock(&s->lock);
	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		c = g_new0(struct http_connection, 1);
		c->fd = info ? info->connect_fd : -1;
		c->idle_since_us = g_get_monotonic_time();
		g_hash_table_add(s->connections, c);
		g_hash_table_remove(s->queued_fds, GINT_TO_POINTER(c->fd));
		*state = c;
	} else if (c) {
		g_hash_table_remove(s->connections, c);
		*state = NULL;
	}
	pthread_mutex_unlock(&s->lock);
}

static struct http_exchange *exchange_create(struct http_server *s,
					     struct MHD_Connection *connection,
					     const char *target)
{
	struct http_exchange *x = g_new0(struct http_exchange, 1);

	x->refs = 1;
	x->server = s;
	x->connection = connection;
	x->target = g_strdup(target);
	x->body = g_string_new(NULL);
	x->headers = g_array_new(FALSE, TRUE, sizeof(struct http_header));
	g_array_set_clear_func(x->headers, handle_clear_header);
	x->reply_headers = g_ptr_array_new_with_free_func(g_free);
	return x;
}

/* Called first for each request, with the target as sent. */
static void *handle_target(void *ctx, const char *target,
			   struct MHD_Connection *connection)
{
	return exchange_create(ctx, connection, target);
}

static void exchange_begin(struct http_exchange *x, const char *method,
			   const char *path)
{
	x->method = g_strdup(method);
	x->path = g_strdup(path);
	x->caller = get_caller(x->connection);
	set_connection_busy(x->server, x->caller, true);
	x->is_first = x->caller && !x->caller->is_used;
	if (x->caller)
		x->caller->is_used = true;
	MHD_get_connection_values(x->connection, MHD_HEADER_KIND, handle_header,
				  x);
}

static bool is_shut_down(const struct http_connection *c)
{
	return c && __atomic_load_n(&c->is_shut_down, __ATOMIC_RELAXED);
}

/* Tells the caller whether, and for how long, it may reuse its connection. */
static void add_connection_headers(const struct http_server *s,
				   const struct http_connection *c,
				   struct MHD_Response *r)
{
	unsigned int keep_alive_s =
		__atomic_load_n(&s->keep_alive_s, __ATOMIC_RELAXED);
	char text[32];

	if (__atomic_load_n(&s->is_draining, __ATOMIC_ACQUIRE) ||
	    is_shut_down(c)) {
		MHD_add_response_header(r, "Connection", "close");
		return;
	}
	if (!keep_alive_s)
		return;
	g_snprintf(text, sizeof(text), "timeout=%u", keep_alive_s);
	MHD_add_response_header(r, "Keep-Alive", text);
}

static char *refusal_body(int code)
{
	return g_strdup_printf("{\"error\":\"E%d\",\"message\":\"%s\","
			       "\"run\":\"not_run\"}",
			       code, error_text(code));
}

static enum MHD_Result queue_refusal(const struct http_server *s,
				     struct MHD_Connection *connection,
				     unsigned int status, int code)
{
	char *body = refusal_body(code);
	struct MHD_Response *r = MHD_create_response_from_buffer(
		strlen(body), body, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result ret;

	MHD_add_response_header(r, "Content-Type", "application/json");
	if (status == 503)
		MHD_add_response_header(r, "Retry-After",
					code == ERR_NET_NO_ROOM
						? NO_ROOM_RETRY_AFTER_S
						: ELSEWHERE_RETRY_AFTER_S);
	add_connection_headers(s, get_caller(connection), r);
	ret = MHD_queue_response(connection, status, r);
	MHD_destroy_response(r);
	g_free(body);
	event_log(EV_HTTP_REFUSE, "code=E%d", code);
	return ret;
}

/* Drops what was read of a body; the rest is read and dropped as well. */
static void drop_body(struct http_exchange *x)
{
	g_string_free(x->body, TRUE);
	x->body = g_string_new(NULL);
	__atomic_sub_fetch(&x->server->buffered_bytes, x->buffered_bytes,
			   __ATOMIC_RELAXED);
	x->buffered_bytes = 0;
}

static void append_body(struct http_exchange *x, const char *data, size_t size)
{
	struct http_server *s = x->server;

	if (x->is_too_large || x->is_without_room)
		return;
	if (x->body->len + size >
	    __atomic_load_n(&s->max_body, __ATOMIC_RELAXED)) {
		x->is_too_large = true;
		drop_body(x);
		return;
	}
	x->buffered_bytes += size;
	if (__atomic_add_fetch(&s->buffered_bytes, size, __ATOMIC_RELAXED) >
	    s->options.max_buffered) {
		x->is_without_room = true;
		drop_body(x);
		return;
	}
	g_string_append_len(x->body, data, (gssize)size);
}

static enum MHD_Result submit_request(struct http_server *s,
				      struct http_exchange *x)
{
	__atomic_add_fetch(&s->unanswered_count, 1, __ATOMIC_SEQ_CST);
	if (__atomic_load_n(&s->is_closed, __ATOMIC_SEQ_CST)) {
		__atomic_sub_fetch(&s->unanswered_count, 1, __ATOMIC_SEQ_CST);
		return queue_refusal(s, x->connection, 503, ERR_STOPPING);
	}
	x->is_submitted = true;
	x->refs++;
	MHD_suspend_connection(x->connection);
	s->options.handle_request(s->options.ctx, x);
	return MHD_YES;
}

static enum MHD_Result handle_access(void *ctx,
				     struct MHD_Connection *connection,
				     const char *url, const char *method,
				     const char *version, const char *data,
				     size_t *size, void **state)
{
	struct http_server *s = ctx;
	struct http_exchange *x = *state;

	if (!x->method) {
		exchange_begin(x, method, url);
		if (!is_shut_down(x->caller))
			return MHD_YES;
		mark_request_read(s, x->caller);
		return queue_refusal(s, connection, 503, ERR_NET_CLOSING);
	}
	if (*size) {
		append_body(x, data, *size);
		*size = 0;
		return MHD_YES;
	}
	if (x->is_submitted)
		return MHD_queue_response(connection, x->status, x->response);
	if (!mark_request_read(s, x->caller))
		return MHD_NO;
	if (x->is_without_room)
		return queue_refusal(s, connection, 503, ERR_NET_NO_ROOM);
	if (x->is_too_large)
		return queue_refusal(s, connection, 413, ERR_NET_BODY_SIZE);
	return submit_request(s, x);
}

static void handle_completed(void *ctx, struct MHD_Connection *connection,
			     void **state, enum MHD_RequestTerminationCode code)
{
	struct http_exchange *x = *state;

	*state = NULL;
	if (!x)
		return;
	set_connection_busy(ctx, x->caller, false);
	exchange_unref(x);
}

int http_server_create(struct http_server **out,
		       const struct http_server_options *options)
{
	const unsigned int flags = MHD_USE_EPOLL_INTERNAL_THREAD |
				   MHD_ALLOW_SUSPEND_RESUME;
	const union MHD_DaemonInfo *info;
	struct http_server *s;
	struct sockaddr_in addr;

	if (address_parse(options->address, &addr))
		return -ERR_INVAL;
	s = g_new0(struct http_server, 1);
	s->options = *options;
	if (!s->options.max_buffered)
		s->options.max_buffered = DEFAULT_MAX_BUFFERED;
	s->max_body = options->max_body ? options->max_body : DEFAULT_MAX_BODY;
	pthread_mutex_init(&s->lock, NULL);
	s->connections = g_hash_table_new_full(NULL, NULL, g_free, NULL);
	s->queued_fds = g_hash_table_new(NULL, NULL);
	s->daemon = MHD_start_daemon(
		flags, 0, NULL, NULL, handle_access, s, MHD_OPTION_SOCK_ADDR,
		&addr, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
		MHD_OPTION_URI_LOG_CALLBACK, handle_target, s,
		MHD_OPTION_CONNECTION_TIMEOUT, options->idle_timeout_s,
		MHD_OPTION_NOTIFY_COMPLETED, handle_completed, s,
		MHD_OPTION_NOTIFY_CONNECTION, handle_connection, s,
		MHD_OPTION_CONNECTION_LIMIT,
		options->max_connections ? options->max_connections
					 : DEFAULT_MAX_CONNECTIONS,
		MHD_OPTION_END);
	if (!s->daemon) {
		g_hash_table_destroy(s->connections);
		g_hash_table_destroy(s->queued_fds);
		g_free(s);
		return -ERR_NET_LISTEN;
	}
	info = MHD_get_daemon_info(s->daemon, MHD_DAEMON_INFO_BIND_PORT);
	s->port = info ? info->port : 0;
	*out = s;
	return 0;
}

/* The caller holds the lock. */
static void apply_keep_alive(struct http_server *s)
{
	int64_t us = s->keep_alive_us;

	if (s->idle_us)
		us = MIN(us, s->idle_us);
	s->kept_us = MAX(s->kept_us, us);
	__atomic_store_n(&s->keep_alive_s, (unsigned int)(us / US_PER_S),
			 __ATOMIC_RELAXED);
}

void http_server_set_limits(struct http_server *s, const struct http_limits *l)
{
	__atomic_store_n(&s->max_body, l->max_body, __ATOMIC_RELAXED);
	pthread_mutex_lock(&s->lock);
	s->idle_us = l->idle_us;
	s->idle_and_head_us = l->idle_us + l->head_us;
	s->body_us = l->body_us;
	apply_keep_alive(s);
	pthread_mutex_unlock(&s->lock);
}

/*
 * A slow head of a request counts as idle time, because the library reports a
 * request only when its head is complete.
 */
static bool is_expired(const struct http_server *s,
		       const struct http_connection *c, int64_t now)
{
	int64_t max = c->is_busy ? s->body_us : s->idle_and_head_us;

	return max && !c->is_shut_down && !c->is_request_read &&
	       now - c->idle_since_us > max;
}

/*
 * Shuts down a connection and returns true, or returns false if a request is
 * being received on one that was idle. One that arrives later is refused: the
 * library ends such a connection when it reads the end of the stream, even if a
 * request waits for its answer.
 */
static bool shut_down(struct http_connection *c)
{
	struct pollfd p = { .fd = c->fd, .events = POLLIN };

	if (!c->is_busy && poll(&p, 1, 0) > 0)
		return false;
	__atomic_store_n(&c->is_shut_down, true, __ATOMIC_RELAXED);
	shutdown(c->fd, c->is_busy ? SHUT_RDWR : SHUT_RD);
	return true;
}

void http_server_close_expired(struct http_server *s)
{
	int64_t now = g_get_monotonic_time();
	struct http_connection *c;
	GHashTableIter iter;
	uint32_t closed = 0;

	pthread_mutex_lock(&s->lock);
	g_hash_table_iter_init(&iter, s->connections);
	while (g_hash_table_iter_next(&iter, (gpointer *)&c, NULL)) {
		if (!is_expired(s, c, now))
			continue;
		closed += shut_down(c);
	}
	pthread_mutex_unlock(&s->lock);
	if (closed)
		event_log(EV_HTTP_SLOW, "connections=%u", closed);
}

void http_server_set_keep_alive(struct http_server *s, int64_t keep_alive_us)
{
	pthread_mutex_lock(&s->lock);
	s->keep_alive_us = keep_alive_us;
	apply_keep_alive(s);
	pthread_mutex_unlock(&s->lock);
}

uint16_t http_server_port(const struct http_server *s)
{
	return s->port;
}

unsigned int http_server_connection_count(struct http_server *s)
{
	unsigned int count;

	pthread_mutex_lock(&s->lock);
	count = g_hash_table_size(s->connections) +
		g_hash_table_size(s->queued_fds);
	pthread_mutex_unlock(&s->lock);
	return count;
}

void http_server_drain(struct http_server *s)
{
	__atomic_store_n(&s->is_draining, true, __ATOMIC_RELEASE);
}

/*
 * Drops the packets that begin a handshake; the caller's kernel sends them
 * again and finds the port closed. A handshake that has begun goes on: the
 * caller may take its connection as open, and close() would reset it.
 */
static void refuse_handshakes(int fd)
{
	struct sock_filter code[] = {
		BPF_STMT(BPF_LD | BPF_B | BPF_ABS, TCP_FLAGS_OFFSET),
		BPF_STMT(BPF_ALU | BPF_AND | BPF_K, TCP_FLAG_SYN_ACK),
		BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, TCP_FLAG_SYN_ONLY, 0, 1),
		BPF_STMT(BPF_RET | BPF_K, 0),
		BPF_STMT(BPF_RET | BPF_K, UINT32_MAX),
	};
	struct sock_fprog program = {
		.len = G_N_ELEMENTS(code),
		.filter = code,
	};

	setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
}

static void set_queued(struct http_server *s, int fd, bool is_queued)
{
	pthread_mutex_lock(&s->lock);
	if (is_queued)
		g_hash_table_add(s->queued_fds, GINT_TO_POINTER(fd));
	else
		g_hash_table_remove(s->queued_fds, GINT_TO_POINTER(fd));
	pthread_mutex_unlock(&s->lock);
}

static void accept_queued(struct http_server *s, int fd)
{
	struct sockaddr_in addr;
	socklen_t len = sizeof(addr);
	int c;

	while ((c = accept4(fd, (struct sockaddr *)&addr, &len,
			    SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		set_queued(s, c, true);
		if (MHD_add_connection(s->daemon, c, (struct sockaddr *)&addr,
				       len) != MHD_YES)
			set_queued(s, c, false);
		len = sizeof(addr);
	}
}

/*
 * Ends to accept connections: adds those whose handshakes have begun, then
 * closes the socket.
 */
static void stop_listening(struct http_server *s)
{
	int64_t end = g_get_monotonic_time() + STOP_HANDSHAKE_US;
	MHD_socket fd = MHD_quiesce_daemon(s->daemon);

	if (fd == MHD_INVALID_SOCKET)
		return;
	refuse_handshakes(fd);
	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
	do {
		accept_queued(s, fd);
		g_usleep(STOP_POLL_US);
	} while (g_get_monotonic_time() < end);
	accept_queued(s, fd);
	close(fd);
}

static void shut_down_idle_connections(struct http_server *s, int64_t idle_us)
{
	int64_t now = g_get_monotonic_time();
	struct http_connection *c;
	GHashTableIter iter;

	pthread_mutex_lock(&s->lock);
	g_hash_table_iter_init(&iter, s->connections);
	while (g_hash_table_iter_next(&iter, (gpointer *)&c, NULL)) {
		if (!c->is_busy && !c->is_shut_down &&
		    now - c->idle_since_us >= idle_us)
			shut_down(c);
	}
	pthread_mutex_unlock(&s->lock);
}

/*
 * Answers on the socket, since the library takes no response before a body has
 * ended. The rest of the body is read and dropped: to close with unread bytes
 * would reset the connection and lose the answer.
 */
static void refuse_on_socket(struct http_connection *c)
{
	char *body = refusal_body(ERR_STOPPING);
	char *text = g_strdup_printf("HTTP/1.1 503 Service Unavailable\r\n"
				     "Connection: close\r\n"
				     "Content-Type: application/json\r\n"
				     "Content-Length: %zu\r\n"
				     "Retry-After: " ELSEWHERE_RETRY_AFTER_S
				     "\r\n\r\n%s",
				     strlen(body), body);

	if (send(c->fd, text, strlen(text), MSG_NOSIGNAL | MSG_DONTWAIT) < 0)
		event_log(EV_HTTP_REFUSE, "code=E%d error=%s", ERR_STOPPING,
			  g_strerror(errno));
	else
		event_log(EV_HTTP_REFUSE, "code=E%d", ERR_STOPPING);
	shutdown(c->fd, SHUT_WR);
	g_free(text);
	g_free(body);
}

/* Refuses the requests whose bodies have not been read whole. */
static void refuse_unread_bodies(struct http_server *s)
{
	int64_t now = g_get_monotonic_time();
	struct http_connection *c;
	GHashTableIter iter;

	pthread_mutex_lock(&s->lock);
	g_hash_table_iter_init(&iter, s->connections);
	while (g_hash_table_iter_next(&iter, (gpointer *)&c, NULL)) {
		if (!c->is_busy || c->is_request_read || c->is_refused ||
		    now - c->idle_since_us < STOP_BODY_US)
			continue;
		c->is_refused = true;
		refuse_on_socket(c);
	}
	pthread_mutex_unlock(&s->lock);
}

static void wait_for_connections(struct http_server *s, int64_t end_us,
				 int64_t idle_us, bool is_last)
{
	while (http_server_connection_count(s) &&
	       g_get_monotonic_time() < end_us) {
		shut_down_idle_connections(s, idle_us);
		if (is_last)
			refuse_unread_bodies(s);
		g_usleep(STOP_POLL_US);
	}
}

static int64_t kept_time(struct http_server *s)
{
	int64_t us;

	pthread_mutex_lock(&s->lock);
	us = s->kept_us;
	pthread_mutex_unlock(&s->lock);
	return us;
}

unsigned int http_server_stop(struct http_server *s, int64_t serve_us,
			      int64_t flush_us)
{
	int64_t serve_end = g_get_monotonic_time() + serve_us;

	http_server_drain(s);
	stop_listening(s);
	wait_for_connections(s, serve_end, kept_time(s) + STOP_IDLE_US, false);
	wait_for_connections(s, serve_end + flush_us, 0, true);
	return http_server_connection_count(s);
}

void http_server_destroy(struct http_server *s, int64_t timeout_us)
{
	http_server_stop(s, timeout_us, DESTROY_FLUSH_US);
	__atomic_store_n(&s->is_closed, true, __ATOMIC_SEQ_CST);
	while (__atomic_load_n(&s->unanswered_count, __ATOMIC_SEQ_CST))
		g_usleep(STOP_POLL_US);
	MHD_stop_daemon(s->daemon);
	g_hash_table_destroy(s->connections);
	g_hash_table_destroy(s->queued_fds);
	pthread_mutex_destroy(&s->lock);
	g_free(s);
}

const char *http_exchange_method(const struct http_exchange *x)
{
	return x->method;
}

const char *http_exchange_path(const struct http_exchange *x)
{
	return x->path;
}

void http_exchange_remove_headers(struct http_exchange *x,
				  bool (*is_removed)(const char *name))
{
	for (guint i = x->headers->len; i-- > 0;) {
		const struct http_header *h =
			&g_array_index(x->headers, struct http_header, i);

		if (is_removed(h->name))
			g_array_remove_index(x->headers, i);
	}
}

const char *http_exchange_header(const struct http_exchange *x,
				 const char *name)
{
	for (guint i = 0; i < x->headers->len; i++) {
		const struct http_header *h =
			&g_array_index(x->headers, struct http_header, i);

		if (!g_ascii_strcasecmp(h->name, name))
			return h->value;
	}
	return NULL;
}

const char *http_exchange_target(const struct http_exchange *x)
{
	return x->target;
}

const GArray *http_exchange_headers(const struct http_exchange *x)
{
	return x->headers;
}

const char *http_exchange_body(const struct http_exchange *x, size_t *len)
{
	*len = x->body->len;
	return x->body->str;
}

int http_exchange_is_caller_gone(const struct http_exchange *x)
{
	struct pollfd p = { .fd = x->caller ? x->caller->fd : -1 };

	/* After the server's own shutdown, POLLRDHUP is always set. */
	if (x->caller && !is_shut_down(x->caller))
		p.events = POLLRDHUP;
	return poll(&p, 1, 0) > 0 &&
	       (p.revents & (POLLRDHUP | POLLHUP | POLLERR));
}

int http_exchange_is_first(const struct http_exchange *x)
{
	return x->is_first;
}

int http_exchange_fd(const struct http_exchange *x)
{
	return x->caller ? x->caller->fd : -1;
}

void http_exchange_add_header(struct http_exchange *x, const char *name,
			      const char *value)
{
	g_ptr_array_add(x->reply_headers, g_strdup(name));
	g_ptr_array_add(x->reply_headers, g_strdup(value));
}

void http_exchange_reply(struct http_exchange *x, unsigned int status,
			 const char *content_type, const char *body, size_t len)
{
	struct http_server *s = x->server;

	x->status = status;
	x->response = MHD_create_response_from_buffer(len, (void *)body,
						      MHD_RESPMEM_MUST_COPY);
	if (content_type)
		MHD_add_response_header(x->response, "Content-Type",
					content_type);
	add_connection_headers(s, x->caller, x->response);
	for (guint i = 0; i < x->reply_headers->len; i += 2)
		MHD_add_response_header(x->response, x->reply_headers->pdata[i],
					x->reply_headers->pdata[i + 1]);
	MHD_resume_connection(x->connection);
	exchange_unref(x);
	/* Once the count is 0, the server may be freed. */
	__atomic_sub_fetch(&s->unanswered_count, 1, __ATOMIC_SEQ_CST);
}

void http_exchange_drop(struct http_exchange *x)
{
	if (x->caller)
		shutdown(x->caller->fd, SHUT_RDWR);
	http_exchange_reply(x, 503, "text/plain", "", 0);
}
