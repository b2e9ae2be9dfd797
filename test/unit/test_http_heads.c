#include "suites.h"

#include <arpa/inet.h>
#include <malloc.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/clock.h"
#include "net/http_server.h"

#define HEAD_MAX 16384
/** Longest time in which an answer or a refusal is at once. */
#define AT_ONCE_S 1

/** Server that answers each request, and a count of the requests. */
struct fixture {
	struct http_server *server;
	uint32_t handled;
	/** Headers of each answer, and the length of their values. */
	uint32_t reply_headers;
	uint32_t reply_value_len;
};

static void handle_request(void *ctx, struct http_exchange *x)
{
	struct fixture *f = ctx;
	char *value = g_strnfill(f->reply_value_len, 'v');

	f->handled++;
	for (uint32_t i = 0; i < f->reply_headers; i++)
		http_exchange_add_header(x, "X-Long", value);
	http_exchange_reply(x, 200, "text/plain", "ok", 2);
	g_free(value);
}

static void start(struct fixture *f, size_t head_max)
{
	struct http_server_options options = {
		.address = "127.0.0.1:0",
		.max_head = head_max,
		.handle_request = handle_request,
		.ctx = f,
	};

	CU_ASSERT_EQUAL_FATAL(http_server_create(&f->server, &options), 0);
}

static void stop(struct fixture *f)
{
	http_server_destroy(f->server, 0);
}

static int open_connection(const struct fixture *f)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(http_server_port(f->server)),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	struct timeval limit = { .tv_sec = AT_ONCE_S };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	CU_ASSERT_EQUAL_FATAL(
		connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	return fd;
}

/* Reads a whole reply; returns its status, or 0 if there is none. */
static unsigned int read_status(int fd)
{
	GString *reply = g_string_new(NULL);
	char buffer[4096];
	unsigned int status = 0;
	ssize_t n;

	while (!g_str_has_suffix(reply->str, "\r\n\r\nok") &&
	       !g_str_has_suffix(reply->str, "}") &&
	       (n = recv(fd, buffer, sizeof(buffer), 0)) > 0)
		g_string_append_len(reply, buffer, n);
	if (g_str_has_suffix(reply->str, "ok") ||
	    g_str_has_suffix(reply->str, "}"))
		status = (unsigned int)strtoul(reply->str + 9, NULL, 10);
	g_string_free(reply, TRUE);
	return status;
}

static unsigned int ask(int fd, const char *text, size_t len)
{
	send(fd, text, len, MSG_NOSIGNAL);
	return read_status(fd);
}

/** Way to fill a head; each repeats a part between two texts. */
struct shape {
	const char *name;
	const char *before;
	const char *part;
	const char *after;
};

#define END " HTTP/1.1\r\nHost: test\r\n\r\n"

static const struct shape shapes[] = {
	{ "path", "GET /", "a", END },
	{ "arguments", "GET /?", "a&", END },
	{ "arguments with values", "GET /?", "p=v&", END },
	{ "escapes", "GET /", "%41", END },
	{ "one header", "GET / HTTP/1.1\r\nA: ", "a", "\r\n\r\n" },
	{ "headers", "GET / HTTP/1.1\r\n", "A:\r\n", "\r\n" },
	{ "headers with values", "GET / HTTP/1.1\r\n", "Name: value\r\n",
	  "\r\n" },
	{ "cookies", "GET / HTTP/1.1\r\nCookie: ", "a;", "\r\n\r\n" },
	{ "cookies with values", "GET / HTTP/1.1\r\nCookie: ",
	  "c000=vvvvvvvvvvvvvvvvvvvvvvv; ", "\r\n\r\n" },
	{ "long cookies", "GET / HTTP/1.1\r\nCookie: ",
	  "c=vvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvv; ",
	  "\r\n\r\n" },
};

/* Returns a head of exactly len bytes. */
static GString *fill_head(const struct shape *s, size_t len)
{
	GString *head = g_string_new(s->before);

	while (head->len + strlen(s->part) + strlen(s->after) <= len)
		g_string_append(head, s->part);
	/* Bytes that extend a path or value, or a name in a list. */
	while (head->len + strlen(s->after) < len && *s->part != 'A' &&
	       *s->part != 'N')
		g_string_append_c(head, 'a');
	g_string_append(head, s->after);
	return head;
}

/*
 * Guards against heads within the limit that are refused or cut, depending on
 * their shape: many cookies and many arguments took more memory than the
 * connection had, and so did the head of the answer.
 */
static void test_heads_within_limit(void)
{
	static const size_t limits[] = { 512, 4096, HEAD_MAX, 200 * 1024 };

	for (size_t k = 0; k < G_N_ELEMENTS(limits); k++) {
		struct fixture f = { 0 };

		start(&f, limits[k]);
		for (size_t i = 0; i < G_N_ELEMENTS(shapes); i++) {
			int fd = open_connection(&f);

			/* Each length leaves other room for the answer. */
			for (size_t part = 1; part <= 16; part++) {
				GString *head = fill_head(
					&shapes[i], limits[k] * part / 16);
				unsigned int status =
					ask(fd, head->str, head->len);

				CU_ASSERT_EQUAL(status, 200);
				if (status != 200)
					printf("\n%s, %zu bytes of %zu: %u\n",
					       shapes[i].name, head->len,
					       limits[k], status);
				g_string_free(head, TRUE);
				if (status != 200)
					break;
			}
			close(fd);
		}
		stop(&f);
	}
}

/*
 * Guards against heads above the limit that are read on, or cut without an
 * answer.
 */
static void test_heads_above_limit(void)
{
	struct fixture f = { 0 };

	start(&f, HEAD_MAX);
	for (size_t i = 0; i < G_N_ELEMENTS(shapes); i++) {
		GString *head = fill_head(&shapes[i], HEAD_MAX + 64);
		int fd = open_connection(&f);

		CU_ASSERT_EQUAL(ask(fd, head->str, head->len), 431);
		close(fd);
		/* The refusal doesn't wait for the end of the head. */
		fd = open_connection(&f);
		CU_ASSERT_EQUAL(ask(fd, head->str, HEAD_MAX), 431);
		close(fd);
		g_string_free(head, TRUE);
	}
	CU_ASSERT_EQUAL(f.handled, 0);
	stop(&f);
}

/* Guards against answers that are lost because their head is long. */
static void test_long_answer_heads(void)
{
	static const uint32_t counts[] = { 1, 8, 64, 256 };

	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
		struct fixture f = { .reply_headers = counts[i],
				     .reply_value_len = 1000 };
		GString *head = fill_head(&shapes[8], HEAD_MAX);
		int fd;

		start(&f, HEAD_MAX);
		fd = open_connection(&f);
		CU_ASSERT_EQUAL(ask(fd, head->str, head->len), 200);
		CU_ASSERT_EQUAL(ask(fd, head->str, head->len), 200);
		close(fd);
		g_string_free(head, TRUE);
		stop(&f);
	}
}

#define KEPT 400
#define KEPT_BYTES_MAX 1024
#define SHORT_REQUEST "GET / HTTP/1.1\r\nHost: test\r\n\r\n"
#define PART_BYTES (HEAD_MAX / 2)

#define BUFFERED (64u * HEAD_MAX)
#define UNCOUNTED 4096

static size_t allocated_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return m.uordblks + m.hblkhd;
}

/*
 * Guards against kept connections that hold memory for the largest head: a host
 * with many of them ran out of it.
 */
static void test_kept_connection_memory(void)
{
	struct fixture f = { 0 };
	GString *head = fill_head(&shapes[4], HEAD_MAX);
	int fds[KEPT];
	size_t before;
	size_t idle;
	size_t part;

	start(&f, HEAD_MAX);
	before = allocated_bytes();
	for (int i = 0; i < KEPT; i++) {
		fds[i] = open_connection(&f);
		CU_ASSERT_EQUAL(
			ask(fds[i], SHORT_REQUEST, strlen(SHORT_REQUEST)), 200);
	}
	idle = allocated_bytes();
	for (int i = 0; i < KEPT; i++)
		send(fds[i], head->str, PART_BYTES, MSG_NOSIGNAL);
	g_usleep(200 * US_PER_MS);
	part = allocated_bytes();
	CU_ASSERT(idle - before < (size_t)KEPT * KEPT_BYTES_MAX);
	CU_ASSERT(part - idle <
		  (size_t)KEPT * (2 * PART_BYTES + KEPT_BYTES_MAX));
	for (int i = 0; i < KEPT; i++) {
		CU_ASSERT_EQUAL(ask(fds[i], head->str + PART_BYTES,
				    head->len - PART_BYTES),
				200);
	}
	CU_ASSERT(allocated_bytes() - before < (size_t)KEPT * KEPT_BYTES_MAX);
	for (int i = 0; i < KEPT; i++)
		close(fds[i]);
	g_string_free(head, TRUE);
	stop(&f);
}

/*
 * Guards against unfinished heads of many callers that fill the memory
 * together, and against refusals of the requests of others meanwhile.
 */
static void test_heads_of_all(void)
{
	struct fixture f = { 0 };
	struct http_server_options options = {
		.address = "127.0.0.1:0",
		.max_head = HEAD_MAX,
		.max_buffered = BUFFERED,
		.handle_request = handle_request,
		.ctx = &f,
	};
	GString *head = fill_head(&shapes[4], HEAD_MAX);
	uint32_t refused = 0;
	int fds[KEPT];
	int fd;

	CU_ASSERT_EQUAL_FATAL(http_server_create(&f.server, &options), 0);
	for (int i = 0; i < KEPT; i++) {
		fds[i] = open_connection(&f);
		send(fds[i], head->str, HEAD_MAX - 1, MSG_NOSIGNAL);
	}
	g_usleep(200 * US_PER_MS);
	fd = open_connection(&f);
	CU_ASSERT_EQUAL(ask(fd, SHORT_REQUEST, strlen(SHORT_REQUEST)), 200);
	close(fd);
	fd = open_connection(&f);
	CU_ASSERT_EQUAL(ask(fd, head->str, HEAD_MAX), 200);
	close(fd);
	for (int i = 0; i < KEPT; i++) {
		unsigned int status = ask(fds[i], head->str + HEAD_MAX - 1, 1);

		CU_ASSERT(status == 200 || status == 503);
		refused += status == 503;
		close(fds[i]);
	}
	/* A part of each head is not counted. */
	CU_ASSERT(refused >= KEPT - BUFFERED / (HEAD_MAX - UNCOUNTED));
	CU_ASSERT(refused < KEPT);
	g_string_free(head, TRUE);
	stop(&f);
}

#define FLOOD_US (300 * US_PER_MS)

/* Sends bytes without end, and reads nothing, until the connection ends. */
static void *run_flood(void *ctx)
{
	static const char zeros[64 * 1024];
	const int *fd = ctx;

	while (send(*fd, zeros, sizeof(zeros), MSG_NOSIGNAL) > 0)
		;
	return NULL;
}

/*
 * Guards against callers that send without end after a refusal, and that keep
 * the server from answering others.
 */
static void test_flood(void)
{
	static const char *const starts[] = {
		"GET / HTTP/1.1\r\nX: ",
		"\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 9999999999\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
		"ffffffff\r\n",
	};
	pthread_t threads[G_N_ELEMENTS(starts)];
	int fds[G_N_ELEMENTS(starts)];
	struct fixture f = { 0 };
	int64_t end;
	int fd;

	start(&f, HEAD_MAX);
	for (size_t i = 0; i < G_N_ELEMENTS(starts); i++) {
		fds[i] = open_connection(&f);
		send(fds[i], starts[i], strlen(starts[i]), MSG_NOSIGNAL);
		pthread_create(&threads[i], NULL, run_flood, &fds[i]);
	}
	fd = open_connection(&f);
	end = g_get_monotonic_time() + FLOOD_US;
	do {
		CU_ASSERT_EQUAL(ask(fd, SHORT_REQUEST, strlen(SHORT_REQUEST)),
				200);
	} while (g_get_monotonic_time() < end);
	close(fd);
	/* The server ends them a second after its refusal. */
	for (size_t i = 0; i < G_N_ELEMENTS(starts); i++) {
		pthread_join(threads[i], NULL);
		close(fds[i]);
	}
	stop(&f);
}

/* Guards against callers that wait for good while their request is too slow. */
static void test_slow_requests(void)
{
	struct http_limits limits = {
		.max_head = HEAD_MAX,
		.max_body = 100,
		.head_us = 20 * US_PER_MS,
		.body_us = 20 * US_PER_MS,
	};
	static const char *const texts[] = {
		"GET / HTTP/1.1\r\nHost: te",
		"POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 10\r\n\r\na",
	};
	struct fixture f = { 0 };

	start(&f, HEAD_MAX);
	http_server_set_limits(f.server, &limits);
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		int fd = open_connection(&f);

		send(fd, texts[i], strlen(texts[i]), MSG_NOSIGNAL);
		g_usleep(100 * US_PER_MS);
		http_server_close_expired(f.server);
		CU_ASSERT_EQUAL(read_status(fd), 408);
		close(fd);
	}
	CU_ASSERT_EQUAL(f.handled, 0);
	stop(&f);
}

/* Guards against a caller that waits for leave to send its body. */
static void test_expected_continue(void)
{
	const char *head = "POST / HTTP/1.1\r\nHost: test\r\n"
			   "Expect: 100-continue\r\nContent-Length: 1\r\n\r\n";
	struct fixture f = { 0 };
	char reply[64];
	ssize_t len;
	int fd;

	start(&f, HEAD_MAX);
	fd = open_connection(&f);
	send(fd, head, strlen(head), MSG_NOSIGNAL);
	len = recv(fd, reply, sizeof(reply) - 1, 0);
	reply[MAX(len, 0)] = '\0';
	CU_ASSERT_STRING_EQUAL(reply, "HTTP/1.1 100 Continue\r\n\r\n");
	CU_ASSERT_EQUAL(ask(fd, "a", 1), 200);
	close(fd);
	stop(&f);
}

/*
 * Guards against a request inside the body of another one that is run, because
 * the body has two lengths.
 */
static void test_request_in_body(void)
{
	static const char *const lengths[] = {
		"Content-Length: 0\r\nContent-Length: 36\r\n\r\n",
		"Content-Length: 36\r\nContent-Length: 0\r\n\r\n",
		"Content-Length: 41\r\nTransfer-Encoding: chunked\r\n\r\n"
		"0\r\n\r\n",
		"Transfer-Encoding: chunked\r\nContent-Length: 41\r\n\r\n"
		"0\r\n\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(lengths); i++) {
		char *text = g_strconcat(
			"POST / HTTP/1.1\r\nHost: test\r\n", lengths[i],
			"GET /inside HTTP/1.1\r\nHost: a\r\n\r\n", NULL);
		struct fixture f = { 0 };
		int fd;

		start(&f, HEAD_MAX);
		fd = open_connection(&f);
		CU_ASSERT_EQUAL(ask(fd, text, strlen(text)), 400);
		/* The connection ends, so nothing of it is run later. */
		CU_ASSERT_EQUAL(read_status(fd), 0);
		CU_ASSERT_EQUAL(f.handled, 0);
		close(fd);
		g_free(text);
		stop(&f);
	}
}

CU_TestInfo http_head_tests[] = {
	{ "request in body", test_request_in_body },
	{ "heads within limit", test_heads_within_limit },
	{ "heads above limit", test_heads_above_limit },
	{ "long answer heads", test_long_answer_heads },
	{ "kept connection memory", test_kept_connection_memory },
	{ "heads of all", test_heads_of_all },
	{ "flood", test_flood },
	{ "slow requests", test_slow_requests },
	{ "expected continue", test_expected_continue },
	CU_TEST_INFO_NULL,
};
