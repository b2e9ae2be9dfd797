#include "net/transport.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "common/address.h"
#include "common/errors.h"
#include "common/events.h"
#include "common/ring.h"

#define DEFAULT_MAX_FRAME (2 * 1024 * 1024)
#define DEFAULT_MAX_UNREAD (32 * 1024 * 1024)
/* Largest first frame of a peer, which names its versions and address. */
#define HELLO_MAX 4096
/* A buffer of incomplete frames that has grown beyond this is replaced. */
#define BUFFER_KEPT 4096
#define DEFAULT_MAX_QUEUE (8 * 1024 * 1024)
#define DEFAULT_MAX_LINKS 512
#define DEFAULT_IDLE_US (60 * US_PER_S)
#define COMMAND_RING_SIZE 65536
#define DEFAULT_CONNECT_TIMEOUT_US (2 * US_PER_S)
#define HEADER_SIZE 4
#define READ_SIZE 65536
/* TCP_USER_TIMEOUT: a link ends if its bytes stay unacknowledged. */
#define USER_TIMEOUT_MS 2000
#define SWEEP_MS 500

struct command {
	/** Link to send on; 0 selects the one to the address. */
	link_id link;
	char address[PEER_ADDRESS_MAX];
	bool is_stop;
	size_t len;
	uint8_t data[];
};

struct link {
	link_id id;
	int fd;
	/** Listening address of the peer; empty until its hello. */
	char address[PEER_ADDRESS_MAX];
	bool is_connecting;
	/** The TCP connection was established. */
	bool was_connected;
	/** The peer's hello frame was accepted. */
	bool has_hello;
	/** EPOLLOUT is polled. */
	bool wants_write;
	int64_t opened_us;
	int64_t last_use_us;
	/** Bytes of incomplete frames. */
	GByteArray *in;
	/** Most bytes that were in the buffer. */
	guint in_peak;
	GByteArray *out;
	/** Bytes of out that are already sent. */
	size_t out_sent;
};

struct transport {
	struct transport_options options;
	struct ring *commands;
	void *hello;
	int listen_fd;
	int epoll_fd;
	uint16_t port;
	link_id last_link;
	/** Bytes of the incomplete frames of all links. */
	size_t unread_bytes;
	/** Owned links, by id. */
	GHashTable *links;
	/** Links by address; one for each peer. */
	GHashTable *by_address;
	struct transport_counts counts;
	pthread_t thread;
};

static void add_count(uint64_t *count, uint64_t n)
{
	__atomic_fetch_add(count, n, __ATOMIC_RELAXED);
}

static void set_link_events(struct transport *t, struct link *l, int operation)
{
	struct epoll_event e = {
		.events = EPOLLIN | (l->wants_write ? EPOLLOUT : 0),
		.data.u64 = l->id,
	};

	epoll_ctl(t->epoll_fd, operation, l->fd, &e);
}

static void append_frame(struct transport *t, struct link *l, const void *data,
			 size_t len)
{
	uint32_t header = htonl((uint32_t)len);

	g_byte_array_append(l->out, (const guint8 *)&header, HEADER_SIZE);
	g_byte_array_append(l->out, data, (guint)len);
	add_count(&t->counts.frames_out, 1);
}

static struct link *add_link(struct transport *t, int fd, const char *address)
{
	struct link *l = g_new0(struct link, 1);
	unsigned int timeout = USER_TIMEOUT_MS;
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
		   sizeof(timeout));
	l->id = ++t->last_link;
	l->fd = fd;
	l->was_connected = true;
	l->in = g_byte_array_new();
	l->out = g_byte_array_new();
	l->opened_us = clock_now(&t->options.clock);
	l->last_use_us = l->opened_us;
	g_hash_table_insert(t->links, &l->id, l);
	if (address) {
		g_strlcpy(l->address, address, sizeof(l->address));
		g_hash_table_insert(t->by_address, l->address, l);
	}
	append_frame(t, l, t->hello, t->options.hello_len);
	l->wants_write = true;
	set_link_events(t, l, EPOLL_CTL_ADD);
	return l;
}

static void close_link(struct transport *t, struct link *l)
{
	link_id id = l->id;
	bool is_undelivered = !l->was_connected;
	char address[PEER_ADDRESS_MAX];

	g_strlcpy(address, l->address, sizeof(address));
	if (g_hash_table_lookup(t->by_address, l->address) == l)
		g_hash_table_remove(t->by_address, l->address);
	g_hash_table_remove(t->links, &l->id);
	close(l->fd);
	t->unread_bytes -= l->in->len;
	g_byte_array_free(l->in, TRUE);
	g_byte_array_free(l->out, TRUE);
	g_free(l);
	t->options.handle_closed(t->options.ctx, id, address, is_undelivered);
}

static struct link *connect_link(struct transport *t, const char *address)
{
	struct sockaddr_in addr;
	struct link *l;
	int fd;

	if (address_parse(address, &addr))
		return NULL;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return NULL;
	if (connect(fd, (struct sockaddr *)&addr, sizeof(addr)) &&
	    errno != EINPROGRESS) {
		close(fd);
		return NULL;
	}
	l = add_link(t, fd, address);
	l->is_connecting = true;
	l->was_connected = false;
	return l;
}

/* Returns false if the link has failed. */
static bool write_link(struct transport *t, struct link *l)
{
	while (l->out_sent < l->out->len) {
		ssize_t n = send(l->fd, l->out->data + l->out_sent,
				 l->out->len - l->out_sent, MSG_NOSIGNAL);

		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			break;
		if (n < 0)
			return false;
		l->out_sent += (size_t)n;
		add_count(&t->counts.bytes_out, (uint64_t)n);
	}
	if (l->out_sent == l->out->len) {
		g_byte_array_set_size(l->out, 0);
		l->out_sent = 0;
	}
	if (l->wants_write != (l->out->len > 0)) {
		l->wants_write = l->out->len > 0;
		set_link_events(t, l, EPOLL_CTL_MOD);
	}
	return true;
}

static bool accept_hello(struct transport *t, struct link *l,
			 const uint8_t *data, size_t len)
{
	char address[PEER_ADDRESS_MAX] = "";
	int ret = t->options.handle_hello(t->options.ctx, data, len, address);

	if (ret < 0) {
		event_log(EV_LINK_REFUSE, "code=E%d address=%s", -ret,
			  l->address);
		return false;
	}
	l->has_hello = true;
	if (*l->address)
		return true;
	g_strlcpy(l->address, address, sizeof(l->address));
	if (!g_hash_table_lookup(t->by_address, l->address))
		g_hash_table_insert(t->by_address, l->address, l);
	return true;
}

static bool dispatch_frame(struct transport *t, struct link *l,
			   const uint8_t *data, size_t len)
{
	add_count(&t->counts.frames_in, 1);
	if (!l->has_hello)
		return accept_hello(t, l, data, len);
	t->options.handle_frame(t->options.ctx, l->id, l->address, data, len);
	return true;
}

static size_t max_frame(const struct transport *t, const struct link *l)
{
	return l->has_hello ? t->options.max_frame_bytes
			    : MIN(t->options.max_frame_bytes, HELLO_MAX);
}

/* Returns false if the peer broke the protocol. */
static bool parse_frames(struct transport *t, struct link *l)
{
	size_t done = 0;

	while (l->in->len - done >= HEADER_SIZE) {
		const uint8_t *start = l->in->data + done;
		uint32_t len;

		memcpy(&len, start, HEADER_SIZE);
		len = ntohl(len);
		if (!len || len > max_frame(t, l)) {
			event_log(EV_LINK_REFUSE, "code=E%d address=%s",
				  ERR_FRAME_SIZE, l->address);
			return false;
		}
		if (l->in->len - done < HEADER_SIZE + len)
			break;
		if (!dispatch_frame(t, l, start + HEADER_SIZE, len))
			return false;
		done += HEADER_SIZE + len;
	}
	if (done)
		g_byte_array_remove_range(l->in, 0, (guint)done);
	return true;
}

static void shrink_buffer(struct link *l)
{
	if (l->in->len || l->in_peak <= BUFFER_KEPT)
		return;
	g_byte_array_free(l->in, TRUE);
	l->in = g_byte_array_new();
	l->in_peak = 0;
}

/* Returns false if the link has ended or the peer broke the protocol. */
static bool read_link(struct transport *t, struct link *l)
{
	guint8 buffer[READ_SIZE];
	ssize_t n = recv(l->fd, buffer, sizeof(buffer), 0);
	size_t held = l->in->len;
	bool is_valid;

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return true;
	if (n <= 0)
		return false;
	add_count(&t->counts.bytes_in, (uint64_t)n);
	l->last_use_us = clock_now(&t->options.clock);
	g_byte_array_append(l->in, buffer, (guint)n);
	l->in_peak = MAX(l->in_peak, l->in->len);
	is_valid = parse_frames(t, l);
	t->unread_bytes += l->in->len - held;
	shrink_buffer(l);
	return is_valid;
}

static struct link *find_largest_unread(const struct transport *t)
{
	struct link *largest = NULL;
	GHashTableIter iter;
	struct link *l;

	g_hash_table_iter_init(&iter, t->links);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&l)) {
		if (!largest || l->in->len > largest->in->len)
			largest = l;
	}
	return largest;
}

/* Closes the links with the longest incomplete frames until the others fit. */
static void limit_unread_bytes(struct transport *t)
{
	while (t->unread_bytes > t->options.max_unread_bytes) {
		struct link *l = find_largest_unread(t);

		event_log(EV_LINK_REFUSE, "code=E%d address=%s bytes=%u",
			  ERR_NET_NO_ROOM, l->address, l->in->len);
		close_link(t, l);
	}
}

static bool finish_connect(struct link *l)
{
	int error = 0;
	socklen_t size = sizeof(error);

	if (!l->is_connecting)
		return true;
	l->is_connecting = false;
	l->was_connected =
		!getsockopt(l->fd, SOL_SOCKET, SO_ERROR, &error, &size) &&
		!error;
	return l->was_connected;
}

static void handle_link_event(struct transport *t, link_id id, uint32_t events)
{
	struct link *l = g_hash_table_lookup(t->links, &id);
	bool is_open = true;

	if (!l)
		return;
	if (events & (EPOLLOUT | EPOLLERR | EPOLLHUP))
		is_open = finish_connect(l);
	if (is_open && (events & EPOLLOUT))
		is_open = write_link(t, l);
	if (is_open && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)))
		is_open = read_link(t, l);
	if (!is_open)
		close_link(t, l);
	limit_unread_bytes(t);
}

static void accept_links(struct transport *t)
{
	int fd;

	while ((fd = accept4(t->listen_fd, NULL, NULL,
			     SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
		add_link(t, fd, NULL);
}

static void queue_frame(struct transport *t, struct link *l,
			const struct command *c)
{
	if (!l ||
	    l->out->len - l->out_sent + c->len > t->options.max_queue_bytes) {
		add_count(&t->counts.frames_dropped, 1);
		return;
	}
	l->last_use_us = clock_now(&t->options.clock);
	append_frame(t, l, c->data, c->len);
	if (l->is_connecting)
		return;
	/* Wait for EPOLLOUT, to send all frames of this batch together. */
	if (!l->wants_write) {
		l->wants_write = true;
		set_link_events(t, l, EPOLL_CTL_MOD);
	}
}

static void run_command(struct transport *t, const struct command *c)
{
	struct link *l;

	if (c->link) {
		queue_frame(t, g_hash_table_lookup(t->links, &c->link), c);
		return;
	}
	l = g_hash_table_lookup(t->by_address, c->address);
	if (!l)
		l = connect_link(t, c->address);
	if (!l) {
		add_count(&t->counts.frames_dropped, 1);
		t->options.handle_closed(t->options.ctx, 0, c->address, true);
		return;
	}
	queue_frame(t, l, c);
}

/* Returns false once the thread has to stop. */
static bool run_commands(struct transport *t)
{
	struct command *c;

	ring_clear_wakeup(t->commands);
	while ((c = ring_pop(t->commands))) {
		bool is_stop = c->is_stop;

		if (!is_stop)
			run_command(t, c);
		free(c);
		if (is_stop)
			return false;
	}
	return true;
}

static bool is_expired(const struct transport *t, const struct link *l,
		       int64_t now)
{
	int64_t idle = now - l->last_use_us;

	if (l->is_connecting || !l->has_hello)
		return now - l->opened_us > t->options.connect_timeout_us;
	return idle > t->options.idle_us;
}

/* Closes idle links, and the one idle longest if there are too many. */
static void sweep_links(struct transport *t)
{
	int64_t now = clock_now(&t->options.clock);
	GPtrArray *expired = g_ptr_array_new();
	struct link *oldest = NULL;
	GHashTableIter iter;
	struct link *l;

	g_hash_table_iter_init(&iter, t->links);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&l)) {
		if (is_expired(t, l, now))
			g_ptr_array_add(expired, l);
		else if (!oldest || l->last_use_us < oldest->last_use_us)
			oldest = l;
	}
	if (oldest &&
	    g_hash_table_size(t->links) - expired->len > t->options.max_links)
		g_ptr_array_add(expired, oldest);
	for (guint i = 0; i < expired->len; i++)
		close_link(t, expired->pdata[i]);
	g_ptr_array_free(expired, TRUE);
}

/* Sends what the sockets take of the frames that are still queued. */
static void flush_links(struct transport *t)
{
	GHashTableIter iter;
	struct link *l;

	g_hash_table_iter_init(&iter, t->links);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&l)) {
		if (!l->is_connecting)
			write_link(t, l);
	}
}

static void *run_thread(void *ctx)
{
	struct transport *t = ctx;
	struct epoll_event events[64];
	int64_t next_sweep = 0;

	while (run_commands(t)) {
		int n = epoll_wait(t->epoll_fd, events, 64, SWEEP_MS);

		for (int i = 0; i < n; i++) {
			uint64_t id = events[i].data.u64;

			if (!id)
				accept_links(t);
			else if (id != UINT64_MAX)
				handle_link_event(t, id, events[i].events);
		}
		if (clock_now(&t->options.clock) >= next_sweep) {
			sweep_links(t);
			next_sweep = clock_now(&t->options.clock) +
				     SWEEP_MS * US_PER_MS;
		}
	}
	flush_links(t);
	return NULL;
}

static int start_listening(struct transport *t)
{
	struct epoll_event accept_event = { .events = EPOLLIN };
	struct epoll_event wakeup_event = { .events = EPOLLIN,
					    .data.u64 = UINT64_MAX };
	struct sockaddr_in addr;
	socklen_t size = sizeof(addr);
	int one = 1;

	if (address_parse(t->options.address, &addr))
		return -ERR_INVAL;
	t->listen_fd =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	setsockopt(t->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(t->listen_fd, (struct sockaddr *)&addr, sizeof(addr)) ||
	    listen(t->listen_fd, 512) ||
	    getsockname(t->listen_fd, (struct sockaddr *)&addr, &size))
		return -ERR_NET_LISTEN;
	t->port = ntohs(addr.sin_port);
	t->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	epoll_ctl(t->epoll_fd, EPOLL_CTL_ADD, t->listen_fd, &accept_event);
	epoll_ctl(t->epoll_fd, EPOLL_CTL_ADD, ring_fd(t->commands),
		  &wakeup_event);
	return 0;
}

static void free_transport(struct transport *t)
{
	if (t->listen_fd >= 0)
		close(t->listen_fd);
	if (t->epoll_fd >= 0)
		close(t->epoll_fd);
	g_hash_table_destroy(t->by_address);
	g_hash_table_destroy(t->links);
	ring_destroy(t->commands);
	free(t->hello);
	g_free(t);
}

int transport_create(struct transport **out,
		     const struct transport_options *options)
{
	struct transport *t = g_new0(struct transport, 1);
	int ret;

	t->options = *options;
	if (!t->options.max_frame_bytes)
		t->options.max_frame_bytes = DEFAULT_MAX_FRAME;
	if (!t->options.max_unread_bytes)
		t->options.max_unread_bytes = DEFAULT_MAX_UNREAD;
	if (!t->options.max_queue_bytes)
		t->options.max_queue_bytes = DEFAULT_MAX_QUEUE;
	if (!t->options.max_links)
		t->options.max_links = DEFAULT_MAX_LINKS;
	if (!t->options.connect_timeout_us)
		t->options.connect_timeout_us = DEFAULT_CONNECT_TIMEOUT_US;
	if (!t->options.idle_us)
		t->options.idle_us = DEFAULT_IDLE_US;
	t->hello = g_memdup2(options->hello, options->hello_len);
	t->listen_fd = -1;
	t->epoll_fd = -1;
	t->links = g_hash_table_new(g_int64_hash, g_int64_equal);
	t->by_address = g_hash_table_new(g_str_hash, g_str_equal);
	ret = ring_create(&t->commands, COMMAND_RING_SIZE);
	if (!ret)
		ret = start_listening(t);
	if (ret) {
		free_transport(t);
		return ret;
	}
	pthread_create(&t->thread, NULL, run_thread, t);
	*out = t;
	return 0;
}

static int push_command(struct transport *t, link_id link, const char *address,
			const void *data, size_t len, bool is_stop)
{
	struct command *c = malloc(sizeof(*c) + len);

	if (!c)
		return -ERR_NOMEM;
	c->link = link;
	c->is_stop = is_stop;
	c->len = len;
	g_strlcpy(c->address, address, sizeof(c->address));
	if (len)
		memcpy(c->data, data, len);
	if (ring_push(t->commands, c)) {
		free(c);
		return -ERR_FULL;
	}
	return 0;
}

void transport_destroy(struct transport *t)
{
	GHashTableIter iter;
	struct command *c;
	struct link *l;

	while (push_command(t, 0, "", NULL, 0, true))
		g_usleep(1000);
	pthread_join(t->thread, NULL);
	while ((c = ring_pop(t->commands)))
		free(c);
	g_hash_table_iter_init(&iter, t->links);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&l)) {
		close(l->fd);
		g_byte_array_free(l->in, TRUE);
		g_byte_array_free(l->out, TRUE);
		g_hash_table_iter_steal(&iter);
		g_free(l);
	}
	free_transport(t);
}

uint16_t transport_port(const struct transport *t)
{
	return t->port;
}

int transport_send(struct transport *t, const char *address, const void *data,
		   size_t len)
{
	return push_command(t, 0, address, data, len, false);
}

int transport_reply(struct transport *t, link_id link, const void *data,
		    size_t len)
{
	return push_command(t, link, "", data, len, false);
}

struct transport_counts transport_get_counts(const struct transport *t)
{
	struct transport_counts c = {
		.frames_in =
			__atomic_load_n(&t->counts.frames_in, __ATOMIC_RELAXED),
		.frames_out = __atomic_load_n(&t->counts.frames_out,
					      __ATOMIC_RELAXED),
		.bytes_in =
			__atomic_load_n(&t->counts.bytes_in, __ATOMIC_RELAXED),
		.bytes_out =
			__atomic_load_n(&t->counts.bytes_out, __ATOMIC_RELAXED),
		.frames_dropped = __atomic_load_n(&t->counts.frames_dropped,
						  __ATOMIC_RELAXED),
	};

	return c;
}
