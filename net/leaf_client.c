#include "net/leaf_client.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/counter.h"
#include "common/errors.h"

#define EVENTS_MAX 64
#define READ_BYTES 16384
/* A leaf that does not accept a connection in this time counts as down. */
#define CONNECT_TIMEOUT_US (600 * US_PER_MS)
/* TCP_USER_TIMEOUT: a connection ends if its bytes stay unacknowledged. */
#define USER_TIMEOUT_MS 3000
/* Idle timeout of a connection if the leaf's Keep-Alive header names none. */
#define IDLE_DEFAULT_US (3 * US_PER_S)
/*
 * Upper limit of the idle timeout. Leaves limit their connections, and count
 * those of a host that lost power until they close them. So no connection is
 * kept for longer than it is useful.
 */
#define IDLE_MAX_US (3 * US_PER_S)
/* An idle connection is closed this long before the leaf would close it. */
#define IDLE_MARGIN_US (1 * US_PER_S)
/*
 * A leaf may drop an idle connection without notice. A request that must not
 * be repeated reuses only connections that have been idle for less than this.
 */
#define IDLE_FRESH_MAX_US (500 * US_PER_MS)
/* A leaf counts as in trouble for this time after an unusable reply. */
#define TROUBLE_US (10 * US_PER_S)
/* Smaller replies of such a leaf are left alone: little would be freed. */
#define LARGE_REPLY_BYTES (16u * 1024)
/* Timeout of a detached call, so that its connection may be reused. */
#define DETACHED_MAX_US (1 * US_PER_S)

enum connection_phase {
	CONNECTION_OPENING,
	CONNECTION_BUSY,
	CONNECTION_IDLE,
	CONNECTION_CLOSED,
};

struct leaf_connection {
	struct leaf_endpoint *endpoint;
	int fd;
	enum connection_phase phase;
	uint64_t call_id;
	int64_t deadline_us;
	int64_t opened_us;
	int64_t idle_since_us;
	int64_t idle_max_us;
	/** Part of the request that is not sent yet. */
	GByteArray *unsent;
	/** At least one byte of the request was sent. */
	bool is_request_begun;
	/** EPOLLOUT is polled. */
	bool is_writing;
	struct reply_reader reader;
	/** Memory of the reply, as counted in the client's total. */
	size_t buffered_bytes;
	GList link;
};

struct leaf_endpoint {
	struct leaf_client *client;
	struct sockaddr_in address;
	/** Connections, the most recently used first. */
	GQueue connections;
	/** When the leaf last sent an unusable reply, or 0. */
	int64_t unusable_us;
};

static struct counter unusable_total = {
	.name = "nutmegpick_leaf_replies_unusable_total",
	.help = "Leaf calls ended by an invalid reply.",
};
static struct counter overfull_total = {
	.name = "nutmegpick_leaf_replies_overfull_total",
	.help = "Leaf calls ended to limit the memory of all replies.",
};

struct leaf_client {
	struct leaf_client_options options;
	int epoll_fd;
	/** Connections by call id. */
	GHashTable *calls;
	GHashTable *endpoints;
	/** Closed connections; pending epoll events may refer to them. */
	GPtrArray *closed;
	/** Time at which the wait of the last poll ended. */
	int64_t woke_us;
	/** Memory of all replies that are read. */
	size_t buffered_bytes;
	struct leaf_client_counts counts;
};

static int64_t now_us(const struct leaf_client *c)
{
	return clock_now(&c->options.clock);
}

static void handle_free_connection(gpointer data)
{
	struct leaf_connection *n = data;

	g_byte_array_free(n->unsent, TRUE);
	reply_reader_clear(&n->reader);
	g_free(n);
}

static void close_connection(struct leaf_connection *n)
{
	struct leaf_client *c = n->endpoint->client;

	if (n->phase == CONNECTION_CLOSED)
		return;
	if (n->call_id)
		g_hash_table_remove(c->calls, &n->call_id);
	g_queue_unlink(&n->endpoint->connections, &n->link);
	n->phase = CONNECTION_CLOSED;
	close(n->fd);
	c->counts.open--;
	c->buffered_bytes -= n->buffered_bytes;
	n->buffered_bytes = 0;
	g_ptr_array_add(c->closed, n);
}

static void update_buffered_bytes(struct leaf_connection *n)
{
	size_t held = reply_reader_memory(&n->reader);

	n->endpoint->client->buffered_bytes += held - n->buffered_bytes;
	n->buffered_bytes = held;
}

static void finish_call(struct leaf_connection *n, enum leaf_call_end end,
			const char *cause)
{
	struct leaf_client *c = n->endpoint->client;
	struct leaf_reply *reply = reply_reader_take(&n->reader);
	struct leaf_call_result result = {
		.call_id = n->call_id,
		.end = end,
		.reply = end == LEAF_CALL_DONE ? reply : NULL,
		.cause = cause,
	};

	update_buffered_bytes(n);
	if (end == LEAF_CALL_DONE && n->reader.is_reusable) {
		g_hash_table_remove(c->calls, &n->call_id);
		n->call_id = 0;
		n->phase = CONNECTION_IDLE;
		n->idle_since_us = now_us(c);
	} else {
		close_connection(n);
	}
	if (result.call_id)
		c->options.handle_end(c->options.ctx, &result);
	leaf_reply_unref(reply);
}

static void fail_call(struct leaf_connection *n, const char *cause)
{
	finish_call(n,
		    n->is_request_begun ? LEAF_CALL_BROKEN : LEAF_CALL_NOT_SENT,
		    cause);
}

static void read_idle_timeout(struct leaf_connection *n)
{
	const char *text = leaf_reply_header(n->reader.reply, "Keep-Alive");
	const char *at = text ? strstr(text, "timeout=") : NULL;
	guint64 seconds;

	if (!at)
		return;
	seconds = g_ascii_strtoull(at + strlen("timeout="), NULL, 10);
	n->idle_max_us =
		CLAMP((int64_t)MIN(seconds, 3600) * US_PER_S - IDLE_MARGIN_US,
		      200 * US_PER_MS, IDLE_MAX_US);
}

static bool is_large_in_trouble(const struct leaf_connection *n)
{
	const struct leaf_endpoint *e = n->endpoint;

	return n->buffered_bytes >= LARGE_REPLY_BYTES && e->unusable_us &&
	       now_us(e->client) - e->unusable_us < TROUBLE_US;
}

/* Returns whether the call of a is to fail before that of b. */
static bool fails_before(const struct leaf_connection *a,
			 const struct leaf_connection *b)
{
	bool is_a_first = is_large_in_trouble(a);

	if (is_a_first != is_large_in_trouble(b))
		return is_a_first;
	return a->buffered_bytes > b->buffered_bytes;
}

static struct leaf_connection *find_largest_reply(const struct leaf_client *c)
{
	struct leaf_connection *largest = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct leaf_connection *n = value;

		if (n->reader.reply && (!largest || fails_before(n, largest)))
			largest = n;
	}
	return largest;
}

/*
 * Fails calls until the other replies fit the limit: the largest replies of
 * leaves that have sent unusable ones lately, then the largest of the others.
 */
static void limit_buffered_bytes(struct leaf_client *c)
{
	while (c->buffered_bytes > c->options.buffered_max_bytes) {
		struct leaf_connection *largest = find_largest_reply(c);

		if (!largest || !largest->buffered_bytes)
			return;
		counter_add(&overfull_total, 1);
		fail_call(largest, "all replies exceed the memory limit");
	}
}

static void handle_bytes(struct leaf_connection *n, const char *data,
			 size_t len)
{
	switch (reply_reader_feed(&n->reader, data, len)) {
	case REPLY_COMPLETE:
		/*
		 * The leaf replied before the whole request was sent, and
		 * would read the next request as the rest of this one.
		 */
		if (n->unsent->len)
			n->reader.is_reusable = false;
		read_idle_timeout(n);
		finish_call(n, LEAF_CALL_DONE, NULL);
		return;
	case REPLY_BROKEN:
		counter_add(&unusable_total, 1);
		n->endpoint->unusable_us = now_us(n->endpoint->client);
		fail_call(n, n->reader.cause);
		return;
	case REPLY_INCOMPLETE:
		update_buffered_bytes(n);
		limit_buffered_bytes(n->endpoint->client);
		return;
	}
}

static void handle_readable(struct leaf_connection *n)
{
	char buffer[READ_BYTES];
	ssize_t len = recv(n->fd, buffer, sizeof(buffer), 0);

	if (len < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n->phase == CONNECTION_IDLE) {
		close_connection(n);
		return;
	}
	if (len < 0) {
		fail_call(n, "connection reset");
		return;
	}
	handle_bytes(n, buffer, (size_t)len);
}

static void set_writing(struct leaf_connection *n, bool is_writing)
{
	struct epoll_event e = {
		.events = EPOLLIN | (is_writing ? EPOLLOUT : 0),
		.data.ptr = n,
	};

	if (n->is_writing == is_writing)
		return;
	n->is_writing = is_writing;
	epoll_ctl(n->endpoint->client->epoll_fd, EPOLL_CTL_MOD, n->fd, &e);
}

/* Returns false if the connection has failed. */
static bool write_bytes(struct leaf_connection *n, const void *data, size_t len,
			size_t *sent)
{
	ssize_t ret = send(n->fd, data, len, MSG_NOSIGNAL);

	*sent = 0;
	if (ret < 0)
		return errno == EAGAIN || errno == EINTR;
	n->is_request_begun = n->is_request_begun || ret > 0;
	*sent = (size_t)ret;
	return true;
}

static void write_unsent(struct leaf_connection *n)
{
	size_t sent;

	if (!write_bytes(n, n->unsent->data, n->unsent->len, &sent)) {
		fail_call(n, "connection reset");
		return;
	}
	if (sent)
		g_byte_array_remove_range(n->unsent, 0, (guint)sent);
	set_writing(n, n->unsent->len > 0);
}

static void handle_writable(struct leaf_connection *n)
{
	socklen_t len = sizeof(int);
	int error = 0;

	if (n->phase == CONNECTION_OPENING) {
		getsockopt(n->fd, SOL_SOCKET, SO_ERROR, &error, &len);
		if (error) {
			fail_call(n, "connection refused");
			return;
		}
		n->phase = CONNECTION_BUSY;
	}
	if (n->phase == CONNECTION_BUSY && n->unsent->len)
		write_unsent(n);
	else
		set_writing(n, false);
}

static void handle_event(struct leaf_connection *n, uint32_t events)
{
	if (n->phase == CONNECTION_CLOSED)
		return;
	if (n->phase == CONNECTION_OPENING &&
	    (events & (EPOLLERR | EPOLLHUP))) {
		fail_call(n, "connection refused");
		return;
	}
	if (events & EPOLLOUT)
		handle_writable(n);
	if (n->phase != CONNECTION_CLOSED &&
	    (events & (EPOLLIN | EPOLLERR | EPOLLHUP)))
		handle_readable(n);
}

static void free_closed_connections(struct leaf_client *c)
{
	g_ptr_array_set_size(c->closed, 0);
}

bool leaf_client_poll(struct leaf_client *c, int64_t timeout_us)
{
	struct epoll_event events[EVENTS_MAX];
	bool is_other_ready = false;
	int timeout_ms = (int)CLAMP((timeout_us + 999) / 1000, 0, 60000);
	int count = epoll_wait(c->epoll_fd, events, EVENTS_MAX, timeout_ms);

	c->woke_us = now_us(c);
	for (int i = 0; i < count; i++) {
		if (!events[i].data.ptr)
			is_other_ready = true;
		else
			handle_event(events[i].data.ptr, events[i].events);
	}
	free_closed_connections(c);
	return is_other_ready;
}

int64_t leaf_client_wakeup_us(const struct leaf_client *c)
{
	return c->woke_us;
}

int leaf_client_watch_fd(struct leaf_client *c, int fd)
{
	struct epoll_event e = { .events = EPOLLIN, .data.ptr = NULL };

	if (epoll_ctl(c->epoll_fd, EPOLL_CTL_ADD, fd, &e))
		return -ERR_IO;
	return 0;
}

static void register_counters(void)
{
	static gsize is_registered;

	if (!g_once_init_enter(&is_registered))
		return;
	counter_register(&unusable_total);
	counter_register(&overfull_total);
	g_once_init_leave(&is_registered, 1);
}

static void set_default_limits(struct leaf_client_options *o)
{
	if (!o->limits.body_max_bytes)
		o->limits.body_max_bytes = LEAF_BODY_MAX_BYTES;
	if (!o->limits.headers_max)
		o->limits.headers_max = LEAF_HEADERS_MAX;
	if (!o->limits.other_max_bytes)
		o->limits.other_max_bytes = LEAF_OTHER_MAX_BYTES;
	if (!o->buffered_max_bytes)
		o->buffered_max_bytes = LEAF_BUFFERED_MAX_BYTES;
}

int leaf_client_create(struct leaf_client **out,
		       const struct leaf_client_options *options)
{
	struct leaf_client *c = g_new0(struct leaf_client, 1);

	c->options = *options;
	set_default_limits(&c->options);
	register_counters();
	c->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (c->epoll_fd < 0) {
		g_free(c);
		return -ERR_IO;
	}
	c->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	c->endpoints = g_hash_table_new(NULL, NULL);
	c->closed = g_ptr_array_new_with_free_func(handle_free_connection);
	*out = c;
	return 0;
}

struct leaf_endpoint *leaf_endpoint_create(struct leaf_client *c,
					   const struct sockaddr_in *address)
{
	struct leaf_endpoint *e = g_new0(struct leaf_endpoint, 1);

	e->client = c;
	e->address = *address;
	g_queue_init(&e->connections);
	g_hash_table_add(c->endpoints, e);
	return e;
}

void leaf_endpoint_destroy(struct leaf_endpoint *e)
{
	while (e->connections.length)
		close_connection(e->connections.head->data);
	g_hash_table_remove(e->client->endpoints, e);
	g_free(e);
}

void leaf_endpoint_close_idle(struct leaf_endpoint *e)
{
	GList *next;

	for (GList *i = e->connections.head; i; i = next) {
		struct leaf_connection *n = i->data;

		next = i->next;
		if (n->phase == CONNECTION_IDLE)
			close_connection(n);
	}
}

void leaf_client_destroy(struct leaf_client *c)
{
	GList *endpoints = g_hash_table_get_keys(c->endpoints);

	for (GList *i = endpoints; i; i = i->next)
		leaf_endpoint_destroy(i->data);
	g_list_free(endpoints);
	g_ptr_array_free(c->closed, TRUE);
	g_hash_table_destroy(c->endpoints);
	g_hash_table_destroy(c->calls);
	close(c->epoll_fd);
	g_free(c);
}

static struct leaf_connection *find_idle_connection(struct leaf_endpoint *e,
						    bool is_idempotent)
{
	int64_t now = now_us(e->client);

	for (GList *i = e->connections.head; i; i = i->next) {
		struct leaf_connection *n = i->data;
		int64_t idle = now - n->idle_since_us;

		if (n->phase == CONNECTION_IDLE && idle < n->idle_max_us &&
		    (is_idempotent || idle < IDLE_FRESH_MAX_US))
			return n;
	}
	return NULL;
}

static int open_socket(const struct sockaddr_in *address)
{
	unsigned int timeout = USER_TIMEOUT_MS;
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
		   sizeof(timeout));
	if (connect(fd, (const struct sockaddr *)address, sizeof(*address)) &&
	    errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	return fd;
}

static struct leaf_connection *open_connection(struct leaf_endpoint *e)
{
	struct leaf_client *c = e->client;
	int fd = open_socket(&e->address);
	struct leaf_connection *n;
	struct epoll_event event;

	if (fd < 0)
		return NULL;
	n = g_new0(struct leaf_connection, 1);
	n->endpoint = e;
	n->fd = fd;
	n->phase = CONNECTION_OPENING;
	n->opened_us = now_us(c);
	n->idle_max_us = IDLE_DEFAULT_US;
	n->unsent = g_byte_array_new();
	reply_reader_init(&n->reader, &c->options.limits,
			  c->options.echo_header);
	n->is_writing = true;
	n->link.data = n;
	event = (struct epoll_event){ .events = EPOLLIN | EPOLLOUT,
				      .data.ptr = n };
	epoll_ctl(c->epoll_fd, EPOLL_CTL_ADD, fd, &event);
	g_queue_push_head_link(&e->connections, &n->link);
	c->counts.opened++;
	c->counts.open++;
	return n;
}

static void begin_call(struct leaf_connection *n, const struct leaf_request *r)
{
	n->call_id = r->call_id;
	reply_reader_begin(&n->reader, r->request_id, r->is_head);
	n->deadline_us = r->deadline_us;
	n->is_request_begun = false;
	g_byte_array_set_size(n->unsent, 0);
	g_byte_array_append(n->unsent, (const guint8 *)r->head,
			    (guint)r->head_len);
	if (r->body_len)
		g_byte_array_append(n->unsent, r->body, (guint)r->body_len);
	g_hash_table_insert(n->endpoint->client->calls, &n->call_id, n);
}

void leaf_client_send(struct leaf_endpoint *e, const struct leaf_request *r)
{
	struct leaf_connection *n = find_idle_connection(e, r->is_idempotent);
	struct leaf_call_result refused = {
		.call_id = r->call_id,
		.end = LEAF_CALL_NOT_SENT,
		.cause = "cannot open a connection"
	};

	if (!n) {
		n = open_connection(e);
		if (n)
			begin_call(n, r);
		else
			e->client->options.handle_end(e->client->options.ctx,
						      &refused);
		return;
	}
	e->client->counts.reused++;
	n->phase = CONNECTION_BUSY;
	g_queue_unlink(&e->connections, &n->link);
	g_queue_push_head_link(&e->connections, &n->link);
	begin_call(n, r);
	write_unsent(n);
}

void leaf_client_cancel(struct leaf_client *c, uint64_t call_id)
{
	struct leaf_connection *n = g_hash_table_lookup(c->calls, &call_id);

	if (n)
		close_connection(n);
}

bool leaf_client_withdraw_call(struct leaf_client *c, uint64_t call_id)
{
	struct leaf_connection *n = g_hash_table_lookup(c->calls, &call_id);

	if (!n || n->is_request_begun)
		return false;
	close_connection(n);
	return true;
}

bool leaf_client_detach_call(struct leaf_client *c, uint64_t call_id)
{
	struct leaf_connection *n = g_hash_table_lookup(c->calls, &call_id);

	if (!n)
		return false;
	if (!n->is_request_begun) {
		close_connection(n);
		return true;
	}
	reply_reader_drop_body(&n->reader);
	update_buffered_bytes(n);
	n->deadline_us = MIN(n->deadline_us, now_us(c) + DETACHED_MAX_US);
	return false;
}

static void sweep_connection(struct leaf_connection *n, int64_t now)
{
	switch (n->phase) {
	case CONNECTION_OPENING:
		if (now - n->opened_us >= CONNECT_TIMEOUT_US)
			fail_call(n, "connect timeout");
		return;
	case CONNECTION_BUSY:
		if (now >= n->deadline_us)
			fail_call(n, "reply timeout");
		return;
	case CONNECTION_IDLE:
		if (now - n->idle_since_us >= n->idle_max_us)
			close_connection(n);
		return;
	case CONNECTION_CLOSED:
		return;
	}
}

void leaf_client_sweep(struct leaf_client *c)
{
	GList *endpoints = g_hash_table_get_keys(c->endpoints);
	int64_t now = now_us(c);

	for (GList *i = endpoints; i; i = i->next) {
		struct leaf_endpoint *e = i->data;
		GList *next;

		if (!g_hash_table_contains(c->endpoints, e))
			continue;
		for (GList *k = e->connections.head; k; k = next) {
			next = k->next;
			sweep_connection(k->data, now);
		}
	}
	g_list_free(endpoints);
	free_closed_connections(c);
}

struct leaf_client_counts leaf_client_get_counts(const struct leaf_client *c)
{
	return c->counts;
}
