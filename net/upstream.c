#include "net/upstream.h"

#include <curl/curl.h>
#include <glib.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/counter.h"
#include "common/errors.h"
#include "common/ring.h"
#include "net/leaf_pool.h"
#include "net/reply_head.h"
#include "net/upstream_reply.h"

#define DEFAULT_QUEUE_SIZE 65536
#define DEFAULT_MAX_CONNECTIONS 32
#define MAX_REPLY_SIZE (4 * 1024 * 1024)
/* Longest wait for events. */
#define POLL_MS 1000
/*
 * Longest wait while calls wait for a connection: their deadlines and the rates
 * of opening connections are checked after each wait.
 */
#define WAITING_POLL_MS 2
/*
 * Rates at which connections are opened. A host opens the connections to 100
 * leaves within a second, and a leaf that restarts gets at most LEAF_OPEN_BURST
 * connections at once from each host.
 */
#define HOST_OPENS_PER_SECOND 500.0
#define HOST_OPEN_BURST 200.0
#define LEAF_OPENS_PER_SECOND 20.0
#define LEAF_OPEN_BURST 8.0
#define MAX_EVENTS 256
/* Longer than the longest pause between the requests of a service. */
#define CONNECTION_IDLE_MAX_S 3600L
#define MAX_IDLE_HANDLES 1024

enum command_type {
	COMMAND_CALL,
	COMMAND_CANCEL,
	COMMAND_REPORT,
	COMMAND_HOST_LIST,
	COMMAND_LIMIT,
	COMMAND_STOP,
};

static struct counter opened_total = {
	.name = "nutmegpick_upstream_connections_opened_total",
	.help = "Connections opened to leaves.",
};
static struct counter postponed_total = {
	.name = "nutmegpick_upstream_calls_postponed_total",
	.help = "Calls that the connection limits sent back to the queue.",
};
static struct counter closed_by_cancel_total = {
	.name = "nutmegpick_upstream_cancels_closed_total",
	.help = "Cancelled calls that closed their connection.",
};

__attribute__((constructor)) static void register_counters(void)
{
	counter_register(&opened_total);
	counter_register(&postponed_total);
	counter_register(&closed_by_cancel_total);
}

/* Command to the thread; a call, report or host list becomes a transfer. */
struct transfer {
	enum command_type type;
	uint64_t call_id;
	char *address;
	char *request_id;
	char *shard;
	uint64_t snapshot;
	int64_t deadline_us;
	int64_t start_us;
	/* Connection limit that COMMAND_LIMIT sets. */
	uint32_t limit;
	char *body;
	size_t body_len;
	struct upstream *upstream;
	struct leaf_pool *pool;
	CURL *easy;
	struct curl_slist *headers;
	GString *reply;
	struct reply_head head;
	char *run;
	char *state;
	char *load;
	bool is_too_large;
	/* May open a connection and has not done so yet. */
	bool is_granted;
	/* The limits refused a connection; the transfer will wait again. */
	bool is_postponed;
	bool is_running;
	/* The request has begun on a connection. */
	bool is_request_begun;
	/* The first header of the reply has arrived. */
	bool is_reply_begun;
	/* Cancelled after the reply has begun: the reply will be dropped. */
	bool is_detached;
};

struct upstream {
	struct upstream_options options;
	struct ring *commands;
	CURLM *multi;
	int epoll_fd;
	/* Time of libcurl's next timer; INT64_MAX: none. */
	int64_t timer_us;
	struct rate_limit host_rate;
	/* Pools of all leaves, by address. */
	GHashTable *pools;
	/* Pools with waiting calls. */
	GHashTable *blocked_pools;
	/* Transfers by call id, waiting or running. */
	GHashTable *calls;
	/* All transfers: calls, reports and host lists. */
	GHashTable *transfers;
	/* Handles of libcurl without a transfer. */
	GPtrArray *idle_handles;
	pthread_t thread;
};

static void transfer_free(struct transfer *t)
{
	curl_slist_free_all(t->headers);
	if (t->reply)
		g_string_free(t->reply, TRUE);
	free(t->address);
	free(t->request_id);
	free(t->shard);
	free(t->body);
	free(t->run);
	free(t->state);
	free(t->load);
	free(t);
}

static size_t handle_write(char *data, size_t size, size_t count, void *ctx)
{
	struct transfer *t = ctx;

	if (t->reply->len + size * count > MAX_REPLY_SIZE) {
		t->is_too_large = true;
		return 0;
	}
	g_string_append_len(t->reply, data, (gssize)(size * count));
	return size * count;
}

static void copy_header(char **out, const char *line, size_t len,
			const char *name)
{
	size_t n = strlen(name);

	if (len <= n || strncasecmp(line, name, n))
		return;
	free(*out);
	*out = strndup(line + n, len - n);
	g_strstrip(*out);
}

static size_t handle_header(char *data, size_t size, size_t count, void *ctx)
{
	struct transfer *t = ctx;

	t->is_reply_begun = true;
	reply_head_add_line(&t->head, data, size * count);
	copy_header(&t->run, data, size * count, "Nutmegpick-Run:");
	copy_header(&t->state, data, size * count, "Nutmegpick-State:");
	copy_header(&t->load, data, size * count, "Nutmegpick-Load:");
	return size * count;
}

static void add_header(struct transfer *t, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

static void add_header(struct transfer *t, const char *fmt, ...)
{
	char line[512];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(line, sizeof(line), fmt, ap);
	va_end(ap);
	t->headers = curl_slist_append(t->headers, line);
}

static void set_call_options(struct transfer *t, int64_t remaining_us)
{
	curl_easy_setopt(t->easy, CURLOPT_POST, 1L);
	curl_easy_setopt(t->easy, CURLOPT_POSTFIELDS, t->body);
	curl_easy_setopt(t->easy, CURLOPT_POSTFIELDSIZE_LARGE,
			 (curl_off_t)t->body_len);
	add_header(t, "Content-Type: application/json");
	add_header(t, "Expect:");
	add_header(t, "Nutmegpick-Request: %s", t->request_id);
	add_header(t, "Nutmegpick-Attempt: %" PRIu64, t->call_id);
	add_header(t, "Nutmegpick-Shard: %s", t->shard);
	if (t->snapshot)
		add_header(t, "Nutmegpick-Snapshot: %" PRIu64, t->snapshot);
	add_header(t, "Nutmegpick-Deadline-Ms: %lld",
		   (long long)(remaining_us / US_PER_MS));
}

static curl_socket_t handle_open_socket(void *ctx, curlsocktype purpose,
					struct curl_sockaddr *addr)
{
	struct transfer *t = ctx;
	int64_t now = clock_now(&t->upstream->options.clock);
	bool is_granted = t->is_granted;
	curl_socket_t fd;

	t->is_granted = false;
	if (!leaf_pool_add_connection(t->pool, is_granted, now)) {
		t->is_postponed = true;
		return CURL_SOCKET_BAD;
	}
	counter_add(&opened_total, 1);
	fd = socket(addr->family, addr->socktype | SOCK_CLOEXEC,
		    addr->protocol);
	if (fd < 0)
		leaf_pool_remove_connection(t->pool);
	return fd;
}

static int handle_close_socket(void *ctx, curl_socket_t fd)
{
	leaf_pool_remove_connection(ctx);
	return close(fd);
}

/*
 * libcurl sends a request again if a reused connection turns out to be closed,
 * although the leaf may have run the request. Aborts the transfer if a byte was
 * sent before, because only the engine may decide on another call.
 */
static int handle_request_begin(void *ctx, char *ip, char *local_ip, int port,
				int local_port)
{
	struct transfer *t = ctx;
	long sent = 0;

	curl_easy_getinfo(t->easy, CURLINFO_REQUEST_SIZE, &sent);
	if (t->is_request_begun && sent > 0)
		return CURL_PREREQFUNC_ABORT;
	t->is_request_begun = true;
	return CURL_PREREQFUNC_OK;
}

static CURL *take_handle(struct upstream *u)
{
	if (u->idle_handles->len)
		return g_ptr_array_steal_index_fast(u->idle_handles,
						    u->idle_handles->len - 1);
	return curl_easy_init();
}

static void release_handle(struct upstream *u, CURL *easy)
{
	if (u->idle_handles->len >= MAX_IDLE_HANDLES) {
		curl_easy_cleanup(easy);
		return;
	}
	curl_easy_reset(easy);
	g_ptr_array_add(u->idle_handles, easy);
}

static void set_connection_options(struct transfer *t)
{
	curl_easy_setopt(t->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(t->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(t->easy, CURLOPT_HTTP_VERSION,
			 (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(t->easy, CURLOPT_MAXAGE_CONN, CONNECTION_IDLE_MAX_S);
	curl_easy_setopt(t->easy, CURLOPT_OPENSOCKETFUNCTION,
			 handle_open_socket);
	curl_easy_setopt(t->easy, CURLOPT_OPENSOCKETDATA, t);
	curl_easy_setopt(t->easy, CURLOPT_CLOSESOCKETFUNCTION,
			 handle_close_socket);
	curl_easy_setopt(t->easy, CURLOPT_CLOSESOCKETDATA, t->pool);
	curl_easy_setopt(t->easy, CURLOPT_PREREQFUNCTION, handle_request_begin);
	curl_easy_setopt(t->easy, CURLOPT_PREREQDATA, t);
}

static const char *transfer_path(const struct transfer *t)
{
	switch (t->type) {
	case COMMAND_CALL:
		return "search";
	case COMMAND_HOST_LIST:
		return "hosts";
	default:
		return "report";
	}
}

static void start_transfer(struct upstream *u, struct transfer *t)
{
	int64_t remaining = t->deadline_us - clock_now(&u->options.clock);
	const char *path = transfer_path(t);
	char url[512];

	if (remaining < US_PER_MS)
		remaining = US_PER_MS;
	snprintf(url, sizeof(url), "http://%s/%s", t->address, path);
	t->easy = take_handle(u);
	t->reply = g_string_new(NULL);
	t->head = (struct reply_head){ 0 };
	set_connection_options(t);
	curl_easy_setopt(t->easy, CURLOPT_URL, url);
	curl_easy_setopt(t->easy, CURLOPT_PRIVATE, t);
	curl_easy_setopt(t->easy, CURLOPT_WRITEFUNCTION, handle_write);
	curl_easy_setopt(t->easy, CURLOPT_WRITEDATA, t);
	curl_easy_setopt(t->easy, CURLOPT_HEADERFUNCTION, handle_header);
	curl_easy_setopt(t->easy, CURLOPT_HEADERDATA, t);
	curl_easy_setopt(t->easy, CURLOPT_TIMEOUT_MS,
			 (long)(remaining / US_PER_MS));
	if (t->type == COMMAND_CALL)
		set_call_options(t, remaining);
	curl_easy_setopt(t->easy, CURLOPT_HTTPHEADER, t->headers);
	t->is_running = true;
	curl_multi_add_handle(u->multi, t->easy);
}

/* Stops a running transfer, which may be started again. */
static void stop_transfer(struct upstream *u, struct transfer *t)
{
	curl_multi_remove_handle(u->multi, t->easy);
	release_handle(u, t->easy);
	t->easy = NULL;
	curl_slist_free_all(t->headers);
	t->headers = NULL;
	g_string_free(t->reply, TRUE);
	t->reply = NULL;
	t->is_running = false;
	leaf_pool_end_call(t->pool, t->is_granted);
	t->is_granted = false;
}

static void remove_transfer(struct upstream *u, struct transfer *t)
{
	if (t->type == COMMAND_CALL && !t->is_detached)
		g_hash_table_remove(u->calls, &t->call_id);
	g_hash_table_remove(u->transfers, t);
	transfer_free(t);
}

static struct leaf_pool *get_leaf_pool(struct upstream *u, const char *address)
{
	struct leaf_pool *p = g_hash_table_lookup(u->pools, address);
	const struct upstream_options *o = &u->options;

	if (p)
		return p;
	p = leaf_pool_create(
		address, (uint32_t)o->max_connections_per_leaf,
		o->leaf_opens_per_second > 0 ? o->leaf_opens_per_second
					     : LEAF_OPENS_PER_SECOND,
		o->leaf_open_burst > 0 ? o->leaf_open_burst : LEAF_OPEN_BURST,
		&u->host_rate, clock_now(&o->clock));
	g_hash_table_insert(u->pools, p->address, p);
	return p;
}

static void fill_document_reply(struct transfer *t,
				const struct upstream_transfer *w,
				struct upstream_reply *reply)
{
	reply->address = strdup(t->address);
	reply->is_host_list = t->type == COMMAND_HOST_LIST;
	reply->result.status = CALL_ERROR;
	if (w->is_failed || w->status != 200)
		return;
	reply->body = json_loadb(w->body, w->body_len, 0, NULL);
	reply->result.status = reply->body ? CALL_OK : CALL_BAD_REPLY;
}

static void fill_transfer(const struct transfer *t, CURLcode code,
			  struct upstream_transfer *w)
{
	curl_off_t connect_us = 0;

	w->request_id = t->request_id;
	w->shard = t->shard;
	w->snapshot = t->snapshot;
	w->is_failed = code != CURLE_OK || !t->head.is_complete;
	w->is_timed_out = code == CURLE_OPERATION_TIMEDOUT;
	if (!t->easy)
		return;
	w->run = t->run;
	w->state = t->state;
	w->load = t->load;
	w->body = t->reply->str;
	w->body_len = t->reply->len;
	curl_easy_getinfo(t->easy, CURLINFO_REQUEST_SIZE, &w->bytes_sent);
	curl_easy_getinfo(t->easy, CURLINFO_RESPONSE_CODE, &w->status);
	curl_easy_getinfo(t->easy, CURLINFO_PRETRANSFER_TIME_T, &connect_us);
	w->is_connected = connect_us > 0 || w->bytes_sent > 0;
}

static void send_reply(struct upstream *u, struct transfer *t, CURLcode code)
{
	struct upstream_reply *reply = calloc(1, sizeof(*reply));
	struct upstream_transfer w = { 0 };

	fill_transfer(t, code, &w);
	reply->elapsed_us = clock_now(&u->options.clock) - t->start_us;
	if (t->type == COMMAND_CALL) {
		reply->call_id = t->call_id;
		upstream_classify_transfer(&w, reply);
		if (t->is_too_large)
			reply->result.status = CALL_BAD_REPLY;
	} else {
		fill_document_reply(t, &w, reply);
	}
	reply->shard = t->shard;
	t->shard = NULL;
	u->options.handle_reply(u->options.ctx, reply);
}

/* Starts the waiting calls for which the leaf's limits permit a connection. */
static void start_waiting_calls(struct upstream *u, struct leaf_pool *p)
{
	while (!g_queue_is_empty(&p->waiting)) {
		enum pool_grant grant =
			leaf_pool_begin_call(p, clock_now(&u->options.clock));
		struct transfer *t;

		if (grant == POOL_WAIT) {
			g_hash_table_add(u->blocked_pools, p);
			return;
		}
		t = g_queue_pop_head(&p->waiting);
		t->is_granted = grant == POOL_OPEN;
		start_transfer(u, t);
	}
	g_hash_table_remove(u->blocked_pools, p);
}

static void finish_transfer(struct upstream *u, struct transfer *t,
			    CURLcode code)
{
	struct leaf_pool *p = t->pool;
	bool is_postponed = t->is_postponed;

	t->is_postponed = false;
	if (is_postponed && !t->is_detached && !t->is_request_begun) {
		stop_transfer(u, t);
		counter_add(&postponed_total, 1);
		g_queue_push_head(&p->waiting, t);
		g_hash_table_add(u->blocked_pools, p);
		return;
	}
	if (!t->is_detached)
		send_reply(u, t, code);
	stop_transfer(u, t);
	remove_transfer(u, t);
	start_waiting_calls(u, p);
}

/* Fails the waiting calls whose deadline has passed. */
static void expire_waiting_calls(struct upstream *u, struct leaf_pool *p)
{
	int64_t now = clock_now(&u->options.clock);
	GList *next;

	for (GList *l = p->waiting.head; l; l = next) {
		struct transfer *t = l->data;

		next = l->next;
		if (t->deadline_us > now)
			continue;
		g_queue_delete_link(&p->waiting, l);
		send_reply(u, t, CURLE_OPERATION_TIMEDOUT);
		remove_transfer(u, t);
	}
}

static void retry_blocked_pools(struct upstream *u)
{
	GList *pools = g_hash_table_get_keys(u->blocked_pools);

	for (GList *l = pools; l; l = l->next) {
		expire_waiting_calls(u, l->data);
		start_waiting_calls(u, l->data);
	}
	g_list_free(pools);
}

static void queue_transfer(struct upstream *u, struct transfer *t)
{
	t->upstream = u;
	t->pool = get_leaf_pool(u, t->address);
	g_hash_table_add(u->transfers, t);
	if (t->type == COMMAND_CALL)
		g_hash_table_insert(u->calls, &t->call_id, t);
	g_queue_push_tail(&t->pool->waiting, t);
	start_waiting_calls(u, t->pool);
}

static void finish_transfers(struct upstream *u)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(u->multi, &left))) {
		struct transfer *t;
		CURLcode code = message->data.result;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
				  (char **)&t);
		finish_transfer(u, t, code);
	}
}

static void cancel_call(struct upstream *u, uint64_t call_id)
{
	struct transfer *t = g_hash_table_lookup(u->calls, &call_id);
	struct leaf_pool *p;

	if (!t)
		return;
	p = t->pool;
	if (t->is_reply_begun) {
		/* The leaf's work is done: let the connection be reused. */
		g_hash_table_remove(u->calls, &t->call_id);
		t->is_detached = true;
		return;
	}
	if (t->is_running) {
		counter_add(&closed_by_cancel_total, t->is_request_begun);
		stop_transfer(u, t);
	} else {
		g_queue_remove(&p->waiting, t);
	}
	remove_transfer(u, t);
	start_waiting_calls(u, p);
}

static void set_limit(struct upstream *u, const struct transfer *t)
{
	struct leaf_pool *p = get_leaf_pool(u, t->address);

	p->limit = MAX(t->limit, 1);
	start_waiting_calls(u, p);
}

/* Returns false once the thread has to stop. */
static bool run_commands(struct upstream *u)
{
	struct transfer *t;

	ring_clear_wakeup(u->commands);
	while ((t = ring_pop(u->commands))) {
		switch (t->type) {
		case COMMAND_CALL:
		case COMMAND_REPORT:
		case COMMAND_HOST_LIST:
			queue_transfer(u, t);
			break;
		case COMMAND_LIMIT:
			set_limit(u, t);
			transfer_free(t);
			break;
		case COMMAND_CANCEL:
			cancel_call(u, t->call_id);
			transfer_free(t);
			break;
		case COMMAND_STOP:
			transfer_free(t);
			return false;
		}
	}
	return true;
}

static int handle_socket(CURL *easy, curl_socket_t fd, int what, void *ctx,
			 void *known)
{
	struct upstream *u = ctx;
	struct epoll_event e = { .data.fd = fd };

	if (what == CURL_POLL_REMOVE) {
		epoll_ctl(u->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
		return 0;
	}
	if (what != CURL_POLL_OUT)
		e.events |= EPOLLIN;
	if (what != CURL_POLL_IN)
		e.events |= EPOLLOUT;
	epoll_ctl(u->epoll_fd, known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd, &e);
	curl_multi_assign(u->multi, fd, u);
	return 0;
}

static int handle_timer(CURLM *multi, long timeout_ms, void *ctx)
{
	struct upstream *u = ctx;

	u->timer_us = INT64_MAX;
	if (timeout_ms >= 0)
		u->timer_us =
			clock_now(&u->options.clock) + timeout_ms * US_PER_MS;
	return 0;
}

static int get_poll_ms(const struct upstream *u)
{
	int64_t left = u->timer_us - clock_now(&u->options.clock);
	int limit = g_hash_table_size(u->blocked_pools) ? WAITING_POLL_MS
							: POLL_MS;

	if (left <= 0)
		return 0;
	return (int)MIN((left + US_PER_MS - 1) / US_PER_MS, limit);
}

static void handle_socket_event(struct upstream *u, const struct epoll_event *e)
{
	int flags = 0;
	int running;

	if (e->data.fd == ring_fd(u->commands))
		return;
	if (e->events & (EPOLLIN | EPOLLHUP))
		flags |= CURL_CSELECT_IN;
	if (e->events & EPOLLOUT)
		flags |= CURL_CSELECT_OUT;
	if (e->events & EPOLLERR)
		flags |= CURL_CSELECT_ERR;
	curl_multi_socket_action(u->multi, e->data.fd, flags, &running);
}

static void run_due_timer(struct upstream *u)
{
	int running;

	if (clock_now(&u->options.clock) < u->timer_us)
		return;
	u->timer_us = INT64_MAX;
	curl_multi_socket_action(u->multi, CURL_SOCKET_TIMEOUT, 0, &running);
}

static void *run_thread(void *ctx)
{
	struct upstream *u = ctx;
	struct epoll_event events[MAX_EVENTS];

	while (run_commands(u)) {
		int n;

		run_due_timer(u);
		finish_transfers(u);
		retry_blocked_pools(u);
		n = epoll_wait(u->epoll_fd, events, MAX_EVENTS, get_poll_ms(u));
		for (int i = 0; i < n; i++)
			handle_socket_event(u, &events[i]);
		finish_transfers(u);
	}
	return NULL;
}

/*
 * Uses libcurl's socket interface with epoll, so that a poll costs time only
 * for the sockets with events and not for each call in flight.
 */
static int start_polling(struct upstream *u)
{
	struct epoll_event e = { .events = EPOLLIN };

	u->timer_us = INT64_MAX;
	u->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (u->epoll_fd < 0)
		return -ERR_IO;
	e.data.fd = ring_fd(u->commands);
	epoll_ctl(u->epoll_fd, EPOLL_CTL_ADD, e.data.fd, &e);
	curl_multi_setopt(u->multi, CURLMOPT_SOCKETFUNCTION, handle_socket);
	curl_multi_setopt(u->multi, CURLMOPT_SOCKETDATA, u);
	curl_multi_setopt(u->multi, CURLMOPT_TIMERFUNCTION, handle_timer);
	curl_multi_setopt(u->multi, CURLMOPT_TIMERDATA, u);
	return 0;
}

static void free_pool(gpointer p)
{
	leaf_pool_destroy(p);
}

static void set_defaults(struct upstream *u)
{
	struct upstream_options *o = &u->options;

	if (o->max_connections_per_leaf <= 0)
		o->max_connections_per_leaf = DEFAULT_MAX_CONNECTIONS;
	if (!o->queue_size)
		o->queue_size = DEFAULT_QUEUE_SIZE;
	rate_limit_init(&u->host_rate,
			o->host_opens_per_second > 0 ? o->host_opens_per_second
						     : HOST_OPENS_PER_SECOND,
			o->host_open_burst > 0 ? o->host_open_burst
					       : HOST_OPEN_BURST,
			clock_now(&o->clock));
}

int upstream_create(struct upstream **out,
		    const struct upstream_options *options)
{
	struct upstream *u = calloc(1, sizeof(*u));

	if (!u)
		return -ERR_NOMEM;
	u->options = *options;
	set_defaults(u);
	if (ring_create(&u->commands, u->options.queue_size)) {
		free(u);
		return -ERR_NOMEM;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	u->multi = curl_multi_init();
	curl_multi_setopt(u->multi, CURLMOPT_MAXCONNECTS, 65536L);
	curl_multi_setopt(u->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
	if (start_polling(u)) {
		curl_multi_cleanup(u->multi);
		ring_destroy(u->commands);
		free(u);
		return -ERR_IO;
	}
	u->pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_pool);
	u->blocked_pools = g_hash_table_new(NULL, NULL);
	u->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	u->transfers = g_hash_table_new(NULL, NULL);
	u->idle_handles = g_ptr_array_new_with_free_func(curl_easy_cleanup);
	pthread_create(&u->thread, NULL, run_thread, u);
	*out = u;
	return 0;
}

static int push_command(struct upstream *u, struct transfer *t)
{
	int ret = ring_push(u->commands, t);

	if (ret)
		transfer_free(t);
	return ret;
}

static struct transfer *create_command(enum command_type type, uint64_t call_id)
{
	struct transfer *t = calloc(1, sizeof(*t));

	t->type = type;
	t->call_id = call_id;
	return t;
}

void upstream_destroy(struct upstream *u)
{
	GHashTableIter iter;
	struct transfer *t;

	while (push_command(u, create_command(COMMAND_STOP, 0)))
		g_usleep(1000);
	pthread_join(u->thread, NULL);
	while ((t = ring_pop(u->commands)))
		transfer_free(t);
	g_hash_table_iter_init(&iter, u->transfers);
	while (g_hash_table_iter_next(&iter, (gpointer *)&t, NULL)) {
		if (t->is_running)
			stop_transfer(u, t);
		transfer_free(t);
	}
	g_hash_table_destroy(u->transfers);
	g_hash_table_destroy(u->calls);
	g_ptr_array_free(u->idle_handles, TRUE);
	curl_multi_cleanup(u->multi);
	close(u->epoll_fd);
	/* curl_multi_cleanup() closes connections, which the pools count. */
	g_hash_table_destroy(u->blocked_pools);
	g_hash_table_destroy(u->pools);
	ring_destroy(u->commands);
	free(u);
}

int upstream_start_call(struct upstream *u, const struct upstream_call *call)
{
	struct transfer *t = create_command(COMMAND_CALL, call->call_id);

	t->start_us = clock_now(&u->options.clock);
	t->deadline_us = t->start_us + call->remaining_us;
	t->address = strdup(call->address);
	t->request_id = strdup(call->request_id);
	t->shard = strdup(call->shard);
	t->snapshot = call->snapshot;
	t->body = g_memdup2(call->body, call->body_len);
	t->body_len = call->body_len;
	return push_command(u, t);
}

void upstream_cancel_call(struct upstream *u, uint64_t call_id)
{
	struct transfer *t = create_command(COMMAND_CANCEL, call_id);

	/* If the queue is full, the leaf does needless work, nothing worse. */
	push_command(u, t);
}

static int fetch_document(struct upstream *u, enum command_type type,
			  const char *address, int64_t timeout_us)
{
	struct transfer *t = create_command(type, 0);

	t->start_us = clock_now(&u->options.clock);
	t->deadline_us = t->start_us + timeout_us;
	t->address = strdup(address);
	return push_command(u, t);
}

int upstream_fetch_report(struct upstream *u, const char *address,
			  int64_t timeout_us)
{
	return fetch_document(u, COMMAND_REPORT, address, timeout_us);
}

int upstream_fetch_host_list(struct upstream *u, const char *address,
			     int64_t timeout_us)
{
	return fetch_document(u, COMMAND_HOST_LIST, address, timeout_us);
}

int upstream_set_limit(struct upstream *u, const char *address,
		       uint32_t connections)
{
	struct transfer *t = create_command(COMMAND_LIMIT, 0);

	t->address = strdup(address);
	t->limit = connections;
	return push_command(u, t);
}
