#include "net/http_internal.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/errors.h"
#include "common/events.h"

#define READ_BYTES 16384
/*
 * Part of the memory of a head that is not counted, so that requests without a
 * body find room while long ones fill the limit.
 */
#define UNCOUNTED_HEAD_BYTES 4096
#define CONTINUE_REPLY "HTTP/1.1 100 Continue\r\n\r\n"

bool http_connection_is_shut_down(const struct http_connection *c)
{
	return __atomic_load_n(&c->is_shut_down, __ATOMIC_RELAXED);
}

bool http_connection_is_reading(const struct http_connection *c)
{
	return c->phase == HTTP_READING_HEAD || c->phase == HTTP_READING_BODY;
}

static void leave_queue(struct http_connection *c)
{
	if (c->queue)
		g_queue_unlink(c->queue, &c->queue_link);
	c->queue = NULL;
}

static void join_queue(struct http_connection *c, GQueue *queue)
{
	leave_queue(c);
	c->queue = queue;
	g_queue_push_tail_link(queue, &c->queue_link);
}

static void set_phase(struct http_connection *c, enum http_phase phase)
{
	pthread_mutex_lock(&c->server->lock);
	c->phase = phase;
	c->since_us = g_get_monotonic_time();
	pthread_mutex_unlock(&c->server->lock);
}

static void note_progress(struct http_connection *c)
{
	set_phase(c, c->phase);
}

static void drop_string(GString **text)
{
	if (*text)
		g_string_free(*text, TRUE);
	*text = NULL;
}

static void count_bytes(struct http_connection *c)
{
	size_t held = request_reader_memory(&c->reader) +
		      (c->input ? c->input->allocated_len : 0);

	held -= MIN(held, UNCOUNTED_HEAD_BYTES);
	__atomic_add_fetch(&c->server->buffered_bytes, held - c->buffered_bytes,
			   __ATOMIC_RELAXED);
	c->buffered_bytes = held;
}

/* Drops what was received of requests. */
static void clear_input(struct http_connection *c)
{
	request_reader_clear(&c->reader);
	drop_string(&c->input);
	count_bytes(c);
}

void http_connection_free(struct http_connection *c)
{
	clear_input(c);
	drop_string(&c->output);
	g_free(c);
}

void http_connection_close(struct http_connection *c)
{
	struct http_server *s = c->server;

	if (c->phase == HTTP_CLOSED)
		return;
	leave_queue(c);
	pthread_mutex_lock(&s->lock);
	c->phase = HTTP_CLOSED;
	g_hash_table_remove(s->connections, c);
	pthread_mutex_unlock(&s->lock);
	close(c->fd);
	g_ptr_array_add(s->closed, c);
}

void http_connection_open(struct http_server *s, int fd)
{
	struct http_connection *c = g_new0(struct http_connection, 1);
	struct epoll_event e = {
		.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET,
		.data.ptr = c,
	};
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	c->server = s;
	c->fd = fd;
	c->queue_link.data = c;
	c->since_us = g_get_monotonic_time();
	pthread_mutex_lock(&s->lock);
	g_hash_table_add(s->connections, c);
	pthread_mutex_unlock(&s->lock);
	if (epoll_ctl(s->epoll_fd, EPOLL_CTL_ADD, fd, &e))
		http_connection_close(c);
}

static void linger(struct http_connection *c)
{
	/* Not edge-triggered: one read at a time leaves others their turn. */
	struct epoll_event e = { .events = EPOLLIN, .data.ptr = c };

	shutdown(c->fd, SHUT_WR);
	epoll_ctl(c->server->epoll_fd, EPOLL_CTL_MOD, c->fd, &e);
	set_phase(c, HTTP_LINGERING);
	join_queue(c, &c->server->lingering);
}

/* A read that fills its buffer does not tell whether it has emptied the socket.
 */
static bool has_unread_input(const struct http_connection *c)
{
	int len = 0;

	if (c->input || c->is_refused)
		return true;
	return c->is_readable && !ioctl(c->fd, FIONREAD, &len) && len > 0;
}

static void end_output(struct http_connection *c)
{
	drop_string(&c->output);
	c->sent = 0;
	if (c->phase != HTTP_SENDING)
		return;
	if (!c->is_last) {
		set_phase(c, HTTP_IDLE);
		return;
	}
	if (has_unread_input(c))
		linger(c);
	else
		http_connection_close(c);
}

static void fail_output(struct http_connection *c)
{
	drop_string(&c->output);
	c->sent = 0;
	/* The connection stays until its request is answered. */
	if (c->phase != HTTP_ANSWERING)
		http_connection_close(c);
}

static void send_output(struct http_connection *c)
{
	while (c->output && c->sent < c->output->len) {
		ssize_t n = send(c->fd, c->output->str + c->sent,
				 c->output->len - c->sent, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			return;
		if (n < 0) {
			fail_output(c);
			return;
		}
		c->sent += (size_t)n;
		note_progress(c);
	}
	if (c->output)
		end_output(c);
}

static void queue_output(struct http_connection *c, GString *text)
{
	if (c->output) {
		g_string_append_len(c->output, text->str, (gssize)text->len);
		g_string_free(text, TRUE);
	} else {
		c->output = text;
	}
}

void http_connection_refuse(struct http_connection *c, unsigned int status,
			    int code)
{
	event_log(EV_HTTP_REFUSE, "code=E%d status=%u", code, status);
	leave_queue(c);
	clear_input(c);
	c->is_last = true;
	c->is_refused = true;
	set_phase(c, HTTP_SENDING);
	queue_output(c, http_refusal_create(status, code));
	send_output(c);
}

static bool is_overfull(const struct http_server *s)
{
	return __atomic_load_n(&s->buffered_bytes, __ATOMIC_RELAXED) >
	       s->options.max_buffered;
}

/*
 * Returns the request to refuse for want of room: of the unfinished heads that
 * count the one that has been read for the longest time, else the given
 * request. Returns NULL if that does not count either.
 */
static struct http_connection *choose_refused(struct http_connection *c)
{
	for (GList *i = c->server->heads.head; i; i = i->next) {
		struct http_connection *n = i->data;

		if (n->buffered_bytes)
			return n;
	}
	return c->buffered_bytes ? c : NULL;
}

static void limit_buffered_bytes(struct http_connection *c)
{
	while (is_overfull(c->server) && http_connection_is_reading(c)) {
		struct http_connection *refused = choose_refused(c);

		if (!refused)
			return;
		http_connection_refuse(refused, 503, ERR_NET_NO_ROOM);
	}
}

static void submit_request(struct http_connection *c)
{
	struct http_server *s = c->server;
	struct http_exchange *x;

	__atomic_add_fetch(&s->unanswered_count, 1, __ATOMIC_SEQ_CST);
	if (__atomic_load_n(&s->is_closed, __ATOMIC_SEQ_CST)) {
		__atomic_sub_fetch(&s->unanswered_count, 1, __ATOMIC_SEQ_CST);
		http_connection_refuse(c, 503, ERR_STOPPING);
		return;
	}
	leave_queue(c);
	x = http_exchange_create(c, request_reader_take(&c->reader));
	x->buffered_bytes = c->buffered_bytes;
	c->buffered_bytes = 0;
	c->is_used = true;
	set_phase(c, HTTP_ANSWERING);
	s->options.handle_request(s->options.ctx, x);
}

static void begin_request(struct http_connection *c)
{
	set_phase(c, HTTP_READING_HEAD);
	join_queue(c, &c->server->heads);
}

static void handle_head(struct http_connection *c)
{
	leave_queue(c);
	if (http_connection_is_shut_down(c)) {
		http_connection_refuse(c, 503, ERR_NET_CLOSING);
		return;
	}
	set_phase(c, HTTP_READING_BODY);
	if (c->reader.request->is_continue_expected && !c->reader.is_complete) {
		queue_output(c, g_string_new(CONTINUE_REPLY));
		send_output(c);
	}
}

/* Parses bytes, which end a request at most; returns the number taken. */
static size_t parse_bytes(struct http_connection *c, const char *data,
			  size_t len)
{
	struct request_limits limits = {
		.head_max_bytes = __atomic_load_n(
			&c->server->limits.head_max_bytes, __ATOMIC_RELAXED),
		.body_max_bytes = __atomic_load_n(
			&c->server->limits.body_max_bytes, __ATOMIC_RELAXED),
	};
	enum request_state state;
	size_t used;

	state = request_reader_feed(&c->reader, &limits, data, len, &used);
	if (c->phase == HTTP_IDLE && request_reader_is_begun(&c->reader))
		begin_request(c);
	count_bytes(c);
	switch (state) {
	case REQUEST_REFUSED:
		http_connection_refuse(c, c->reader.status, c->reader.code);
		break;
	case REQUEST_HEAD_READ:
		handle_head(c);
		limit_buffered_bytes(c);
		break;
	case REQUEST_COMPLETE:
		submit_request(c);
		break;
	case REQUEST_INCOMPLETE:
		limit_buffered_bytes(c);
		break;
	}
	return used;
}

static bool takes_input(const struct http_connection *c)
{
	return c->phase == HTTP_IDLE || http_connection_is_reading(c);
}

static void parse_input(struct http_connection *c, const char *data, size_t len)
{
	/* A request without a body is complete with its head. */
	while (takes_input(c) && (len || c->reader.is_complete)) {
		size_t used = parse_bytes(c, data, len);

		data += used;
		len -= used;
	}
	if (!len || c->phase != HTTP_ANSWERING)
		return;
	c->input = g_string_new_len(data, (gssize)len);
	count_bytes(c);
}

static void parse_kept_input(struct http_connection *c)
{
	GString *input = c->input;

	c->input = NULL;
	parse_input(c, input->str, input->len);
	g_string_free(input, TRUE);
}

static void read_socket(struct http_connection *c)
{
	char buffer[READ_BYTES];
	ssize_t n = recv(c->fd, buffer, sizeof(buffer), 0);

	if (n < 0 && errno == EINTR)
		return;
	if (n < 0 && errno == EAGAIN) {
		c->is_readable = false;
		return;
	}
	if (n <= 0) {
		http_connection_close(c);
		return;
	}
	/* A short read has emptied the socket, but for the end of input. */
	if ((size_t)n < sizeof(buffer))
		c->is_readable = c->is_ended;
	parse_input(c, buffer, (size_t)n);
}

/* Reads and drops input of a connection whose last answer is sent. */
static void drop_bytes(struct http_connection *c)
{
	char buffer[READ_BYTES];
	ssize_t n = recv(c->fd, buffer, sizeof(buffer), 0);

	if (!n || (n < 0 && errno != EAGAIN && errno != EINTR))
		http_connection_close(c);
}

static void read_input(struct http_connection *c)
{
	while (takes_input(c) && c->input)
		parse_kept_input(c);
	while (c->is_readable && takes_input(c))
		read_socket(c);
}

void http_connection_handle_event(struct http_connection *c, uint32_t events)
{
	if (c->phase == HTTP_CLOSED)
		return;
	if (c->phase == HTTP_LINGERING) {
		drop_bytes(c);
		return;
	}
	if (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR))
		c->is_ended = true;
	if (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR))
		c->is_readable = true;
	if (events & EPOLLOUT)
		send_output(c);
	read_input(c);
}

void http_connection_answer(struct http_connection *c, struct http_exchange *x)
{
	bool is_dropped = x->is_dropped;

	c->is_last = x->is_last;
	if (!is_dropped) {
		queue_output(c, x->reply);
		x->reply = NULL;
	}
	http_exchange_free(x);
	if (is_dropped) {
		http_connection_close(c);
		return;
	}
	set_phase(c, HTTP_SENDING);
	send_output(c);
	read_input(c);
}
