#include "suites.h"

#include <arpa/inet.h>
#include <errno.h>
#include <pthread.h>
#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/clock.h"
#include "net/http_server.h"

#define SERVERS 16
#define CALLERS 4
#define ROUNDS 6
#define LOAD_US (50 * US_PER_MS)

#define REQUEST "GET / HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n"

struct caller {
	struct sockaddr_in address;
	pthread_t thread;
	uint32_t answered;
	/** Connections that were open and ended without an answer. */
	uint32_t broken;
};

static void handle_request(void *ctx, struct http_exchange *x)
{
	http_exchange_reply(x, 200, "text/plain", "ok", 2);
}

static bool is_answered(int fd)
{
	char reply[512];
	ssize_t len = 0;
	ssize_t n;

	if (send(fd, REQUEST, strlen(REQUEST), MSG_NOSIGNAL) < 0)
		return false;
	while (len < (ssize_t)sizeof(reply) - 1 &&
	       (n = recv(fd, reply + len, sizeof(reply) - 1 - (size_t)len, 0)) >
		       0)
		len += n;
	reply[len] = '\0';
	return strstr(reply, "\r\n\r\nok") != NULL;
}

/* Sends one request a connection until the port is closed. */
static void *run_caller(void *ctx)
{
	struct caller *c = ctx;

	for (;;) {
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

		if (connect(fd, (const struct sockaddr *)&c->address,
			    sizeof(c->address))) {
			close(fd);
			return NULL;
		}
		if (is_answered(fd))
			c->answered++;
		else
			c->broken++;
		close(fd);
	}
}

static void start_callers(struct caller *callers, uint16_t port)
{
	for (int i = 0; i < CALLERS; i++) {
		struct caller *c = &callers[i];

		*c = (struct caller){
			.address.sin_family = AF_INET,
			.address.sin_port = htons(port),
			.address.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
		};
		pthread_create(&c->thread, NULL, run_caller, c);
	}
}

/*
 * Guards against a stop that resets a connection which its caller takes as
 * open: its handshake had begun when the server ended to accept.
 */
static void test_stop_under_load(void)
{
	static struct caller callers[SERVERS][CALLERS];
	struct http_server_options options = {
		.address = "127.0.0.1:0",
		.handle_request = handle_request,
	};
	struct http_server *servers[SERVERS];
	uint32_t answered = 0;
	uint32_t broken = 0;

	for (int round = 0; round < ROUNDS; round++) {
		for (int i = 0; i < SERVERS; i++) {
			CU_ASSERT_EQUAL_FATAL(
				http_server_create(&servers[i], &options), 0);
			start_callers(callers[i], http_server_port(servers[i]));
		}
		g_usleep(LOAD_US);
		for (int i = 0; i < SERVERS; i++)
			http_server_destroy(servers[i], 5 * US_PER_S);
		for (int i = 0; i < SERVERS * CALLERS; i++) {
			struct caller *c = &callers[i / CALLERS][i % CALLERS];

			pthread_join(c->thread, NULL);
			answered += c->answered;
			broken += c->broken;
		}
	}
	CU_ASSERT_TRUE(answered > 0);
	CU_ASSERT_EQUAL(broken, 0);
}

#define BODY_CALLERS 24
#define BODY_BYTES (64u * 1024)
#define BUFFERED_BYTES (8 * BODY_BYTES)

/* Request with a body of which a part is sent. */
struct slow_caller {
	int fd;
	size_t unsent;
};

static void send_part(struct slow_caller *c, size_t len)
{
	static const char zeros[BODY_BYTES];

	for (len = MIN(len, c->unsent); len;) {
		ssize_t n = send(c->fd, zeros, len, MSG_NOSIGNAL);

		if (n <= 0)
			return;
		c->unsent -= (size_t)n;
		len -= (size_t)n;
	}
}

static void open_caller(struct slow_caller *c, uint16_t port, size_t len)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	char head[128];

	g_snprintf(head, sizeof(head),
		   "POST / HTTP/1.1\r\nHost: test\r\nConnection: close\r\n"
		   "Content-Length: %zu\r\n\r\n",
		   len);
	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	c->unsent = len;
	CU_ASSERT_EQUAL_FATAL(connect(c->fd, (struct sockaddr *)&address,
				      sizeof(address)),
			      0);
	send(c->fd, head, strlen(head), MSG_NOSIGNAL);
}

/* Reads the reply; returns 1 for a success and 0 for a true refusal. */
static int finish_caller(struct slow_caller *c)
{
	char reply[1024];
	size_t len = 0;
	ssize_t n;

	send_part(c, c->unsent);
	while (len < sizeof(reply) - 1 &&
	       (n = recv(c->fd, reply + len, sizeof(reply) - 1 - len, 0)) > 0)
		len += (size_t)n;
	reply[len] = '\0';
	close(c->fd);
	if (g_str_has_prefix(reply, "HTTP/1.1 200"))
		return 1;
	CU_ASSERT(g_str_has_prefix(reply, "HTTP/1.1 503"));
	CU_ASSERT_PTR_NOT_NULL(strstr(reply, "Retry-After: "));
	CU_ASSERT_PTR_NOT_NULL(strstr(reply, "\"run\":\"not_run\""));
	return 0;
}

/*
 * Guards against the bodies of many callers that fill the memory together, and
 * against refusals once they are answered.
 */
static void test_bodies_of_all(void)
{
	struct http_server_options options = {
		.address = "127.0.0.1:0",
		.max_buffered = BUFFERED_BYTES,
		.handle_request = handle_request,
	};

	for (guint32 seed = 1; seed <= 10; seed++) {
		GRand *rand = g_rand_new_with_seed(seed);
		struct slow_caller callers[BODY_CALLERS];
		struct http_server *server;
		uint32_t served = 0;

		CU_ASSERT_EQUAL_FATAL(http_server_create(&server, &options), 0);
		for (int i = 0; i < BODY_CALLERS; i++)
			open_caller(&callers[i], http_server_port(server),
				    BODY_BYTES);
		for (int i = 0; i < 4 * BODY_CALLERS; i++)
			send_part(&callers[g_rand_int_range(rand, 0,
							    BODY_CALLERS)],
				  BODY_BYTES / 4);
		/* All but the last byte, so that no body ends before. */
		for (int i = 0; i < BODY_CALLERS; i++)
			send_part(&callers[i], callers[i].unsent
						       ? callers[i].unsent - 1
						       : 0);
		g_usleep(LOAD_US);
		for (int i = 0; i < BODY_CALLERS; i++)
			served += (uint32_t)finish_caller(&callers[i]);
		CU_ASSERT(served >= 1);
		CU_ASSERT(served < BODY_CALLERS);
		open_caller(&callers[0], http_server_port(server), BODY_BYTES);
		CU_ASSERT_EQUAL(finish_caller(&callers[0]), 1);
		http_server_destroy(server, 5 * US_PER_S);
		g_rand_free(rand);
	}
}

static int open_connection(uint16_t port)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	CU_ASSERT_EQUAL_FATAL(
		connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	return fd;
}

/* Reads one short reply; returns its length, 0 if the connection has ended. */
static size_t read_reply(int fd, char *reply, size_t size)
{
	size_t len = 0;
	ssize_t n;

	reply[0] = '\0';
	while (len < size - 1 && !strstr(reply, "\r\n\r\nok") &&
	       (n = recv(fd, reply + len, size - 1 - len, 0)) > 0) {
		len += (size_t)n;
		reply[len] = '\0';
	}
	return len;
}

#define KEPT_REQUEST "GET / HTTP/1.1\r\nHost: test\r\n\r\n"
#define KEPT_CALLERS 32
#define KEPT_S 2
#define KEPT_STOP_US (3 * US_PER_S)

/** Caller that sends a second request while the server stops. */
struct kept_caller {
	pthread_t thread;
	int fd;
	/** Pause before the second request. */
	gulong pause_us;
	bool is_told;
	bool is_answered;
	bool is_told_close;
};

static void *run_kept_caller(void *ctx)
{
	struct kept_caller *c = ctx;
	char reply[512] = "";

	g_usleep(c->pause_us);
	if (send(c->fd, KEPT_REQUEST, strlen(KEPT_REQUEST), MSG_NOSIGNAL) > 0)
		c->is_answered = read_reply(c->fd, reply, sizeof(reply)) > 0;
	c->is_told_close = c->is_answered &&
			   strstr(reply, "Connection: close\r\n") != NULL;
	close(c->fd);
	return NULL;
}

/*
 * Guards against a stop that closes idle connections which callers may still
 * use: their requests crossed the close and got no answer.
 */
static void test_kept_connections(void)
{
	struct http_server_options options = {
		.address = "127.0.0.1:0",
		.handle_request = handle_request,
	};
	static struct kept_caller callers[KEPT_CALLERS];
	GRand *rand = g_rand_new_with_seed(35);
	struct http_server *server;
	char reply[512];

	CU_ASSERT_EQUAL_FATAL(http_server_create(&server, &options), 0);
	http_server_set_keep_alive(server, KEPT_S * US_PER_S);
	for (int i = 0; i < KEPT_CALLERS; i++) {
		struct kept_caller *c = &callers[i];

		*c = (struct kept_caller){
			.fd = open_connection(http_server_port(server)),
			.pause_us = (gulong)g_rand_int_range(rand, 0,
							     KEPT_S * US_PER_S),
		};
		/* Half of the callers have not sent anything yet. */
		c->is_told = i % 2;
		if (!c->is_told)
			continue;
		send(c->fd, KEPT_REQUEST, strlen(KEPT_REQUEST), MSG_NOSIGNAL);
		read_reply(c->fd, reply, sizeof(reply));
		CU_ASSERT_PTR_NOT_NULL(
			strstr(reply, "Keep-Alive: timeout=2\r\n"));
	}
	for (int i = 0; i < KEPT_CALLERS; i++)
		pthread_create(&callers[i].thread, NULL, run_kept_caller,
			       &callers[i]);
	CU_ASSERT_EQUAL(http_server_stop(server, KEPT_STOP_US, 0), 0);
	for (int i = 0; i < KEPT_CALLERS; i++) {
		pthread_join(callers[i].thread, NULL);
		CU_ASSERT_TRUE(callers[i].is_answered);
		CU_ASSERT_TRUE(callers[i].is_told_close);
	}
	http_server_destroy(server, US_PER_S);
	g_rand_free(rand);
}

static void handle_slow_request(void *ctx, struct http_exchange *x)
{
	uint32_t *count = ctx;

	/* Blocks the thread of the server. */
	if (!strcmp(http_exchange_path(x), "/block"))
		g_usleep(4 * LOAD_US);
	else
		(*count)++;
	http_exchange_reply(x, 200, "text/plain", "ok", 2);
}

#define BLOCK_REQUEST "GET /block HTTP/1.1\r\nHost: test\r\n\r\n"

/** Server whose thread is blocked, and a connection that is over its limit. */
struct blocked_server {
	struct http_server *server;
	uint32_t handled;
	int blocker;
	int idle;
};

static void block_server(struct blocked_server *b)
{
	struct http_server_options options = {
		.address = "127.0.0.1:0",
		.handle_request = handle_slow_request,
		.ctx = &b->handled,
	};
	struct http_limits limits = { .max_body = 100, .idle_us = LOAD_US };

	b->handled = 0;
	CU_ASSERT_EQUAL_FATAL(http_server_create(&b->server, &options), 0);
	http_server_set_limits(b->server, &limits);
	b->idle = open_connection(http_server_port(b->server));
	b->blocker = open_connection(http_server_port(b->server));
	g_usleep(2 * LOAD_US);
	send(b->blocker, BLOCK_REQUEST, strlen(BLOCK_REQUEST), MSG_NOSIGNAL);
	g_usleep(LOAD_US / 2);
}

static void destroy_blocked_server(struct blocked_server *b)
{
	close(b->idle);
	close(b->blocker);
	http_server_destroy(b->server, US_PER_S);
}

/*
 * Guards against a connection that is closed as idle while a request on it
 * waits to be read: the request was passed on, and its answer was lost.
 */
static void test_request_before_close(void)
{
	struct blocked_server b;
	char reply[512];

	block_server(&b);
	send(b.idle, KEPT_REQUEST, strlen(KEPT_REQUEST), MSG_NOSIGNAL);
	http_server_close_expired(b.server);
	CU_ASSERT(read_reply(b.idle, reply, sizeof(reply)) > 0);
	CU_ASSERT_TRUE(g_str_has_prefix(reply, "HTTP/1.1 200"));
	CU_ASSERT_EQUAL(b.handled, 1);
	destroy_blocked_server(&b);
}

/*
 * Guards against a request that is passed on although its connection has been
 * shut down: the answer could not be sent any more.
 */
static void test_request_after_close(void)
{
	struct blocked_server b;
	char reply[512];

	block_server(&b);
	http_server_close_expired(b.server);
	send(b.idle, KEPT_REQUEST, strlen(KEPT_REQUEST), MSG_NOSIGNAL);
	CU_ASSERT(read_reply(b.idle, reply, sizeof(reply)) > 0);
	CU_ASSERT_TRUE(g_str_has_prefix(reply, "HTTP/1.1 503"));
	CU_ASSERT_PTR_NOT_NULL(strstr(reply, "Connection: close\r\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(reply, "Retry-After: "));
	CU_ASSERT_EQUAL(b.handled, 0);
	destroy_blocked_server(&b);
}

/*
 * Guards against a stop that ends while a connection which it has accepted
 * itself waits for the thread of the server.
 */
static void test_accepted_by_stop(void)
{
	struct blocked_server b;
	char reply[512];
	int fd;

	block_server(&b);
	fd = open_connection(http_server_port(b.server));
	send(fd, KEPT_REQUEST, strlen(KEPT_REQUEST), MSG_NOSIGNAL);
	CU_ASSERT_EQUAL(http_server_stop(b.server, 0, 0), 3);
	CU_ASSERT(read_reply(fd, reply, sizeof(reply)) > 0);
	CU_ASSERT_TRUE(g_str_has_prefix(reply, "HTTP/1.1 200"));
	close(fd);
	destroy_blocked_server(&b);
}

/*
 * Guards against a stop that cuts a request whose body is still being read: it
 * has not run, so its caller may repeat it elsewhere.
 */
static void test_body_at_stop(void)
{
	uint32_t handled = 0;
	struct http_server_options options = {
		.address = "127.0.0.1:0",
		.handle_request = handle_slow_request,
		.ctx = &handled,
	};
	struct http_server *server;
	struct slow_caller whole;
	struct slow_caller slow;
	int64_t start;

	CU_ASSERT_EQUAL_FATAL(http_server_create(&server, &options), 0);
	open_caller(&whole, http_server_port(server), BODY_BYTES);
	open_caller(&slow, http_server_port(server), BODY_BYTES);
	send_part(&whole, BODY_BYTES);
	send_part(&slow, BODY_BYTES / 2);
	start = g_get_monotonic_time();
	/* What is left of the body arrives after the answer. */
	CU_ASSERT_EQUAL(http_server_stop(server, 4 * LOAD_US, 4 * LOAD_US), 1);
	CU_ASSERT(g_get_monotonic_time() - start < 10 * LOAD_US);
	CU_ASSERT_EQUAL(finish_caller(&whole), 1);
	CU_ASSERT_EQUAL(finish_caller(&slow), 0);
	CU_ASSERT_EQUAL(handled, 1);
	http_server_destroy(server, US_PER_S);
	CU_ASSERT_EQUAL(handled, 1);
}

/*
 * Guards against a stop that waits for, and counts, a connection that is
 * answered: the last read of its body has filled the buffer and emptied the
 * socket.
 */
static void test_full_last_read(void)
{
	uint32_t handled = 0;
	struct http_server_options options = {
		.address = "127.0.0.1:0",
		.handle_request = handle_slow_request,
		.ctx = &handled,
	};
	struct http_server *server;
	struct slow_caller c;

	CU_ASSERT_EQUAL_FATAL(http_server_create(&server, &options), 0);
	open_caller(&c, http_server_port(server), BODY_BYTES);
	/* The head is read alone, and the body in full reads. */
	g_usleep(LOAD_US);
	send_part(&c, BODY_BYTES);
	CU_ASSERT_EQUAL(http_server_stop(server, 8 * LOAD_US, 0), 0);
	CU_ASSERT_EQUAL(finish_caller(&c), 1);
	CU_ASSERT_EQUAL(handled, 1);
	http_server_destroy(server, US_PER_S);
}

CU_TestInfo http_server_tests[] = {
	{ "full last read", test_full_last_read },
	{ "kept connections", test_kept_connections },
	{ "request before close", test_request_before_close },
	{ "request after close", test_request_after_close },
	{ "accepted by stop", test_accepted_by_stop },
	{ "body at stop", test_body_at_stop },
	{ "stop under load", test_stop_under_load },
	{ "bodies of all", test_bodies_of_all },
	CU_TEST_INFO_NULL,
};
