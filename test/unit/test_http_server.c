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

CU_TestInfo http_server_tests[] = {
	{ "stop under load", test_stop_under_load },
	CU_TEST_INFO_NULL,
};
