#include "net/http_server.h"

#include <errno.h>
#include <fcntl.h>
#include <linux/filter.h>
#include <poll.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/address.h"
#include "common/clock.h"
#include "common/errors.h"
#include "common/events.h"
#include "net/http_internal.h"

#define DEFAULT_MAX_HEAD (32u * 1024)
#define DEFAULT_MAX_BODY (1024 * 1024)
#define DEFAULT_MAX_CONNECTIONS 4096
/* Share of the process's descriptors that connections of callers may take. */
#define CALLER_DESCRIPTOR_PERCENT 87
#define DEFAULT_MAX_BUFFERED (32u * 1024 * 1024)
#define EVENTS_MAX 64
/* Time for which input is dropped after a last answer. */
#define LINGER_US (1 * US_PER_S)
/* Pause of accepting when descriptors are short. */
#define ACCEPT_RETRY_US (1 * US_PER_S)
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
/* A request that has begun this recently may still come whole at the end. */
#define STOP_READING_US 100000

void http_server_wake(struct http_server *s)
{
	uint64_t one = 1;
	ssize_t n = write(s->wake_fd, &one, sizeof(one));

	/* The counter of an eventfd is full only if the thread is awake. */
	(void)n;
}

static void set_accepting(struct http_server *s, bool is_accepting)
{
	struct epoll_event e = {
		.events = is_accepting ? EPOLLIN : 0,
		.data.ptr = &s->listen_fd,
	};

	s->accept_us = is_accepting ? 0
				    : g_get_monotonic_time() + ACCEPT_RETRY_US;
	pthread_mutex_lock(&s->lock);
	if (s->listen_fd >= 0)
		epoll_ctl(s->epoll_fd, EPOLL_CTL_MOD, s->listen_fd, &e);
	pthread_mutex_unlock(&s->lock);
}

/* Returns a socket, or -1 with errno set. */
static int accept_connection(struct http_server *s)
{
	int fd = -1;

	pthread_mutex_lock(&s->lock);
	if (s->listen_fd < 0)
		errno = EAGAIN;
	else if (g_hash_table_size(s->connections) >=
		 s->options.max_connections)
		errno = EMFILE;
	else
		fd = accept4(s->listen_fd, NULL, NULL,
			     SOCK_NONBLOCK | SOCK_CLOEXEC);
	pthread_mutex_unlock(&s->lock);
	return fd;
}

static void accept_connections(struct http_server *s)
{
	int fd;

	while ((fd = accept_connection(s)) >= 0)
		http_connection_open(s, fd);
	if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS ||
	    errno == ENOMEM)
		set_accepting(s, false);
}

/* Takes over the connections that a stop has accepted. */
static void take_accepted(struct http_server *s)
{
	guint count;

	pthread_mutex_lock(&s->lock);
	count = s->accepted->len;
	pthread_mutex_unlock(&s->lock);
	for (guint i = 0; i < count; i++) {
		int fd;

		pthread_mutex_lock(&s->lock);
		fd = g_array_index(s->accepted, int, i);
		pthread_mutex_unlock(&s->lock);
		http_connection_open(s, fd);
	}
	/* A stop that counts the connections meanwhile must not miss one. */
	pthread_mutex_lock(&s->lock);
	g_array_remove_range(s->accepted, 0, count);
	pthread_mutex_unlock(&s->lock);
}

static void send_answers(struct http_server *s)
{
	GPtrArray *answered;

	pthread_mutex_lock(&s->lock);
	answered = s->answered;
	s->answered = g_ptr_array_new();
	pthread_mutex_unlock(&s->lock);
	for (guint i = 0; i < answered->len; i++) {
		struct http_exchange *x = answered->pdata[i];

		http_connection_answer(x->caller, x);
	}
	g_ptr_array_free(answered, TRUE);
}

/* Returns connections with a refusal due, or NULL. */
static GPtrArray *take_refusals(struct http_server *s)
{
	struct http_connection *c;
	GPtrArray *due = NULL;
	GHashTableIter iter;

	pthread_mutex_lock(&s->lock);
	if (s->has_refusals) {
		due = g_ptr_array_new();
		g_hash_table_iter_init(&iter, s->connections);
		while (g_hash_table_iter_next(&iter, (gpointer *)&c, NULL)) {
			if (c->is_refusal_due)
				g_ptr_array_add(due, c);
			c->is_refusal_due = false;
		}
		s->has_refusals = false;
	}
	pthread_mutex_unlock(&s->lock);
	return due;
}

static bool has_input(const struct http_connection *c)
{
	struct pollfd p = { .fd = c->fd, .events = POLLIN };

	return poll(&p, 1, 0) > 0;
}

static void refuse_due_requests(struct http_server *s)
{
	GPtrArray *due = take_refusals(s);

	if (!due)
		return;
	for (guint i = 0; i < due->len; i++) {
		struct http_connection *c = due->pdata[i];

		if (c->phase == HTTP_SENDING && !c->refusal_status)
			http_connection_close(c);
		/* After a pause of the process the rest may have arrived. */
		else if (http_connection_is_reading(c) && !has_input(c))
			http_connection_refuse(c, c->refusal_status,
					       c->refusal_code);
	}
	g_ptr_array_free(due, TRUE);
}

static void close_lingering(struct http_server *s, int64_t now)
{
	struct http_connection *c;

	while ((c = g_queue_peek_head(&s->lingering)) &&
	       now - c->since_us >= LINGER_US)
		http_connection_close(c);
}

static void free_closed(struct http_server *s)
{
	bool is_any = s->closed->len > 0;

	for (guint i = 0; i < s->closed->len; i++)
		http_connection_free(s->closed->pdata[i]);
	g_ptr_array_set_size(s->closed, 0);
	if (s->accept_us && (is_any || g_get_monotonic_time() >= s->accept_us))
		set_accepting(s, true);
}

/* Returns the time until the next timer in ms, or -1 if there is none. */
static int next_timer_ms(const struct http_server *s)
{
	const struct http_connection *c =
		s->lingering.head ? s->lingering.head->data : NULL;
	int64_t next = INT64_MAX;
	int64_t now;

	if (c)
		next = c->since_us + LINGER_US;
	if (s->accept_us)
		next = MIN(next, s->accept_us);
	if (next == INT64_MAX)
		return -1;
	now = g_get_monotonic_time();
	return (int)((MAX(next - now, 0) + US_PER_MS - 1) / US_PER_MS);
}

static void handle_wakeup(struct http_server *s)
{
	uint64_t count;
	ssize_t n = read(s->wake_fd, &count, sizeof(count));

	(void)n;
	take_accepted(s);
	send_answers(s);
	refuse_due_requests(s);
}

static void handle_event(struct http_server *s, const struct epoll_event *e)
{
	if (e->data.ptr == &s->wake_fd)
		handle_wakeup(s);
	else if (e->data.ptr == &s->listen_fd)
		accept_connections(s);
	else
		http_connection_handle_event(e->data.ptr, e->events);
}

static void *run_server(void *ctx)
{
	struct epoll_event events[EVENTS_MAX];
	struct http_server *s = ctx;
	bool is_exiting;

	do {
		int count;

		is_exiting = __atomic_load_n(&s->is_exiting, __ATOMIC_ACQUIRE);
		count = epoll_wait(s->epoll_fd, events, EVENTS_MAX,
				   is_exiting ? 0 : next_timer_ms(s));
		for (int i = 0; i < count; i++)
			handle_event(s, &events[i]);
		if (s->lingering.head)
			close_lingering(s, g_get_monotonic_time());
		free_closed(s);
	} while (!is_exiting);
	return NULL;
}

static int open_listener(const char *address, uint16_t *port)
{
	struct sockaddr_in addr;
	socklen_t len = sizeof(addr);
	int one = 1;
	int fd;

	if (address_parse(address, &addr))
		return -ERR_INVAL;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -ERR_NET_LISTEN;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	/* A new process may start before the last one has ended. */
	setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&addr, sizeof(addr)) ||
	    listen(fd, SOMAXCONN) ||
	    getsockname(fd, (struct sockaddr *)&addr, &len)) {
		close(fd);
		return -ERR_NET_LISTEN;
	}
	*port = ntohs(addr.sin_port);
	return fd;
}

static int watch_fd(struct http_server *s, int *fd)
{
	struct epoll_event e = { .events = EPOLLIN, .data.ptr = fd };

	return epoll_ctl(s->epoll_fd, EPOLL_CTL_ADD, *fd, &e);
}

static void close_fd(int fd)
{
	if (fd >= 0)
		close(fd);
}

static void free_server(struct http_server *s)
{
	for (guint i = 0; i < s->accepted->len; i++)
		close(g_array_index(s->accepted, int, i));
	close_fd(s->listen_fd);
	close_fd(s->wake_fd);
	close_fd(s->epoll_fd);
	g_hash_table_destroy(s->connections);
	g_array_free(s->accepted, TRUE);
	g_ptr_array_free(s->answered, TRUE);
	g_ptr_array_free(s->closed, TRUE);
	pthread_mutex_destroy(&s->lock);
	g_free(s);
}

static int start_thread(struct http_server *s)
{
	s->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	s->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (s->epoll_fd < 0 || s->wake_fd < 0 || watch_fd(s, &s->wake_fd) ||
	    watch_fd(s, &s->listen_fd) ||
	    pthread_create(&s->thread, NULL, run_server, s))
		return -ERR_NET_LISTEN;
	return 0;
}

/* Leaves descriptors for the connections on which requests are passed on. */
static unsigned int default_max_connections(void)
{
	struct rlimit files;

	if (getrlimit(RLIMIT_NOFILE, &files))
		return DEFAULT_MAX_CONNECTIONS;
	return (unsigned int)MIN(files.rlim_cur / 100 *
					 CALLER_DESCRIPTOR_PERCENT,
				 DEFAULT_MAX_CONNECTIONS);
}

static void set_defaults(struct http_server *s)
{
	struct http_server_options *o = &s->options;

	if (!o->max_buffered)
		o->max_buffered = DEFAULT_MAX_BUFFERED;
	if (!o->max_connections)
		o->max_connections = default_max_connections();
	s->limits.head_max_bytes = o->max_head ? o->max_head : DEFAULT_MAX_HEAD;
	s->limits.body_max_bytes = o->max_body ? o->max_body : DEFAULT_MAX_BODY;
}

int http_server_create(struct http_server **out,
		       const struct http_server_options *options)
{
	struct http_server *s;
	uint16_t port;
	int fd = open_listener(options->address, &port);
	int ret;

	if (fd < 0)
		return fd;
	s = g_new0(struct http_server, 1);
	s->options = *options;
	set_defaults(s);
	s->listen_fd = fd;
	s->port = port;
	pthread_mutex_init(&s->lock, NULL);
	s->connections = g_hash_table_new(NULL, NULL);
	s->accepted = g_array_new(FALSE, FALSE, sizeof(int));
	s->answered = g_ptr_array_new();
	s->closed = g_ptr_array_new();
	ret = start_thread(s);
	if (ret) {
		free_server(s);
		return ret;
	}
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
	if (l->max_head)
		__atomic_store_n(&s->limits.head_max_bytes, l->max_head,
				 __ATOMIC_RELAXED);
	__atomic_store_n(&s->limits.body_max_bytes, l->max_body,
			 __ATOMIC_RELAXED);
	pthread_mutex_lock(&s->lock);
	s->idle_us = l->idle_us;
	s->head_us = l->head_us;
	s->body_us = l->body_us;
	apply_keep_alive(s);
	pthread_mutex_unlock(&s->lock);
}

/*
 * Shuts down an idle connection and returns true, or returns false if a request
 * has arrived meanwhile. One that arrives later is refused: the server ends
 * such a connection when it reads the end of the stream.
 */
static bool shut_down(struct http_connection *c)
{
	if (has_input(c))
		return false;
	__atomic_store_n(&c->is_shut_down, true, __ATOMIC_RELAXED);
	shutdown(c->fd, SHUT_RD);
	return true;
}

/* The caller holds the lock and wakes the server's thread. */
static void request_refusal(struct http_connection *c, unsigned int status,
			    int code)
{
	c->is_refusal_due = true;
	c->refusal_status = status;
	c->refusal_code = code;
	c->server->has_refusals = true;
}

/* Returns the time limit of a connection's phase, or 0. */
static int64_t phase_limit(const struct http_connection *c)
{
	const struct http_server *s = c->server;

	switch (c->phase) {
	case HTTP_IDLE:
		return c->is_shut_down ? 0 : s->idle_us;
	case HTTP_READING_HEAD:
		return s->head_us;
	case HTTP_READING_BODY:
	case HTTP_SENDING:
		return s->body_us;
	case HTTP_ANSWERING:
	case HTTP_LINGERING:
	case HTTP_CLOSED:
		break;
	}
	return 0;
}

/* Ends a connection that is over its time limit; returns whether it does. */
static bool end_expired(struct http_connection *c)
{
	if (c->phase == HTTP_IDLE)
		return shut_down(c);
	if (c->is_refusal_due)
		return false;
	if (c->phase == HTTP_SENDING)
		request_refusal(c, 0, 0);
	else
		request_refusal(c, 408, ERR_NET_SLOW);
	return true;
}

void http_server_close_expired(struct http_server *s)
{
	int64_t now = g_get_monotonic_time();
	struct http_connection *c;
	GHashTableIter iter;
	uint32_t ended = 0;
	bool has_refusals;

	pthread_mutex_lock(&s->lock);
	g_hash_table_iter_init(&iter, s->connections);
	while (g_hash_table_iter_next(&iter, (gpointer *)&c, NULL)) {
		int64_t max = phase_limit(c);

		if (max && now - c->since_us > max)
			ended += end_expired(c);
	}
	has_refusals = s->has_refusals;
	pthread_mutex_unlock(&s->lock);
	if (has_refusals)
		http_server_wake(s);
	if (ended)
		event_log(EV_HTTP_SLOW, "connections=%u", ended);
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
	count = g_hash_table_size(s->connections) + s->accepted->len;
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

static void accept_pending(struct http_server *s, int listen_fd)
{
	int fd;

	while ((fd = accept4(listen_fd, NULL, NULL,
			     SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		pthread_mutex_lock(&s->lock);
		g_array_append_val(s->accepted, fd);
		pthread_mutex_unlock(&s->lock);
		http_server_wake(s);
	}
}

/* Takes the listening socket from the server's thread; returns it, or -1. */
static int take_listener(struct http_server *s)
{
	int fd;

	pthread_mutex_lock(&s->lock);
	fd = s->listen_fd;
	s->listen_fd = -1;
	if (fd >= 0)
		epoll_ctl(s->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
	pthread_mutex_unlock(&s->lock);
	return fd;
}

/*
 * Ends to accept connections: adds those whose handshakes have begun, then
 * closes the socket.
 */
static void stop_listening(struct http_server *s)
{
	int64_t end = g_get_monotonic_time() + STOP_HANDSHAKE_US;
	int fd = take_listener(s);

	if (fd < 0)
		return;
	refuse_handshakes(fd);
	do {
		accept_pending(s, fd);
		g_usleep(STOP_POLL_US);
	} while (g_get_monotonic_time() < end);
	accept_pending(s, fd);
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
		if (c->phase == HTTP_IDLE && !c->is_shut_down &&
		    now - c->since_us >= idle_us)
			shut_down(c);
	}
	pthread_mutex_unlock(&s->lock);
}

/* Refuses the requests that have not been read whole. */
static void refuse_unread_requests(struct http_server *s)
{
	int64_t now = g_get_monotonic_time();
	struct http_connection *c;
	GHashTableIter iter;
	bool has_refusals;

	pthread_mutex_lock(&s->lock);
	g_hash_table_iter_init(&iter, s->connections);
	while (g_hash_table_iter_next(&iter, (gpointer *)&c, NULL)) {
		if (http_connection_is_reading(c) &&
		    now - c->since_us >= STOP_READING_US)
			request_refusal(c, 503, ERR_STOPPING);
	}
	has_refusals = s->has_refusals;
	pthread_mutex_unlock(&s->lock);
	if (has_refusals)
		http_server_wake(s);
}

static void wait_for_connections(struct http_server *s, int64_t end_us,
				 int64_t idle_us, bool is_last)
{
	while (http_server_connection_count(s) &&
	       g_get_monotonic_time() < end_us) {
		shut_down_idle_connections(s, idle_us);
		if (is_last)
			refuse_unread_requests(s);
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

static void close_connections(struct http_server *s)
{
	GList *connections = g_hash_table_get_keys(s->connections);

	for (GList *i = connections; i; i = i->next)
		http_connection_close(i->data);
	g_list_free(connections);
	free_closed(s);
}

void http_server_destroy(struct http_server *s, int64_t timeout_us)
{
	http_server_stop(s, timeout_us, DESTROY_FLUSH_US);
	__atomic_store_n(&s->is_closed, true, __ATOMIC_SEQ_CST);
	while (__atomic_load_n(&s->unanswered_count, __ATOMIC_SEQ_CST))
		g_usleep(STOP_POLL_US);
	__atomic_store_n(&s->is_exiting, true, __ATOMIC_RELEASE);
	http_server_wake(s);
	pthread_join(s->thread, NULL);
	close_connections(s);
	free_server(s);
}
