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

CU_TestInfo http_server_tests[] = {
	{ "stop under load", test_stop_under_load },
	{ "bodies of all", test_bodies_of_all },
	CU_TEST_INFO_NULL,
};
