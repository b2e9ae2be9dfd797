#include "suites.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/clock.h"
#include "net/leaf_pool.h"
#include "net/upstream.h"

#define DEADLINE_US (60 * US_PER_S)
#define HUGE_BODY (32 * 1024 * 1024)

enum leaf_mode {
	MODE_ANSWER,
	/* Reads the request, then resets the connection. */
	MODE_RESET,
	/* Reads a part of the request, then resets the connection. */
	MODE_RESET_EARLY,
	MODE_TRUNCATE,
	/* Sends cut_text, then closes the connection. */
	MODE_CUT,
	MODE_OVERSIZE,
	/* Sends the reply to another attempt. */
	MODE_OTHER_ATTEMPT,
	/* Reads the request and waits for the end of the connection. */
	MODE_HOLD,
};

/* Leaf on a plain socket, which can break its connections. */
struct fake_leaf {
	int fd;
	char address[32];
	enum leaf_mode mode;
	char *cut_text;
	pthread_t thread;
	/* Number of requests read. */
	int request_count;
	/* Numbers of connections: open, most open at a time, ended. */
	int open_count;
	int most_open;
	int ended_count;
};

struct harness {
	struct fake_leaf leaf;
	struct upstream *upstream;
	GAsyncQueue *replies;
};

struct fake_connection {
	struct fake_leaf *leaf;
	int fd;
};

static bool read_request(int fd, char *text, size_t size)
{
	size_t len = 0;

	while (len < size - 1) {
		ssize_t n = recv(fd, text + len, size - 1 - len, 0);
		const char *end;
		const char *length;

		if (n <= 0)
			return false;
		len += (size_t)n;
		text[len] = '\0';
		end = strstr(text, "\r\n\r\n");
		length = strcasestr(text, "Content-Length:");
		if (end && length &&
		    len >= (size_t)(end + 4 - text) +
				    strtoul(length + 15, 0, 10))
			return true;
	}
	return true;
}

static void set_reset_on_close(int fd)
{
	struct linger linger = { .l_onoff = 1 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

static void send_answer(int fd, const char *request, enum leaf_mode mode)
{
	const char *name = strcasestr(request, "Nutmegpick-Attempt:");
	long long attempt = name ? strtoll(name + 19, NULL, 10) : 0;
	size_t extra = mode == MODE_TRUNCATE ? 10 : 0;
	char body[256];
	char text[512];

	snprintf(body, sizeof(body),
		 "{\"request\":\"r\",\"attempt\":%lld,\"shard\":\"s\","
		 "\"snapshot\":1,\"hits\":[]}",
		 attempt + (mode == MODE_OTHER_ATTEMPT));
	if (mode == MODE_OVERSIZE)
		extra = 64 * 1024 * 1024;
	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
		 strlen(body) + extra, body);
	send(fd, text, strlen(text), MSG_NOSIGNAL);
	memset(text, ' ', sizeof(text));
	while (mode == MODE_OVERSIZE &&
	       send(fd, text, sizeof(text), MSG_NOSIGNAL) > 0)
		;
}

static void *serve_connection(void *ctx)
{
	struct fake_connection *c = ctx;
	struct fake_leaf *leaf = c->leaf;
	char text[8192];

	while (read_request(c->fd, text,
			    leaf->mode == MODE_RESET_EARLY ? 64
							   : sizeof(text))) {
		__atomic_add_fetch(&leaf->request_count, 1, __ATOMIC_SEQ_CST);
		if (leaf->mode == MODE_HOLD)
			continue;
		if (leaf->mode == MODE_RESET ||
		    leaf->mode == MODE_RESET_EARLY) {
			set_reset_on_close(c->fd);
			break;
		}
		if (leaf->mode == MODE_CUT) {
			send(c->fd, leaf->cut_text, strlen(leaf->cut_text),
			     MSG_NOSIGNAL);
			break;
		}
		send_answer(c->fd, text, leaf->mode);
		if (leaf->mode != MODE_ANSWER)
			break;
	}
	__atomic_sub_fetch(&leaf->open_count, 1, __ATOMIC_SEQ_CST);
	close(c->fd);
	__atomic_add_fetch(&leaf->ended_count, 1, __ATOMIC_SEQ_CST);
	free(c);
	return NULL;
}

static void *accept_connections(void *ctx)
{
	struct fake_leaf *leaf = ctx;
	pthread_t thread;
	int fd;

	while ((fd = accept(leaf->fd, NULL, NULL)) >= 0) {
		struct fake_connection *c = calloc(1, sizeof(*c));
		int open = __atomic_add_fetch(&leaf->open_count, 1,
					      __ATOMIC_SEQ_CST);

		leaf->most_open = MAX(leaf->most_open, open);
		c->leaf = leaf;
		c->fd = fd;
		pthread_create(&thread, NULL, serve_connection, c);
		pthread_detach(thread);
	}
	return NULL;
}

static void handle_reply(void *ctx, struct upstream_reply *reply)
{
	g_async_queue_push(ctx, reply);
}

static void harness_init(struct harness *h, enum leaf_mode mode)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };
	struct upstream_options options = {
		.clock = clock_system(),
		.handle_reply = handle_reply,
	};
	socklen_t len = sizeof(addr);

	memset(h, 0, sizeof(*h));
	h->replies = g_async_queue_new();
	options.ctx = h->replies;
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	h->leaf.mode = mode;
	h->leaf.fd = socket(AF_INET, SOCK_STREAM, 0);
	CU_ASSERT_EQUAL_FATAL(
		bind(h->leaf.fd, (struct sockaddr *)&addr, sizeof(addr)), 0);
	CU_ASSERT_EQUAL_FATAL(listen(h->leaf.fd, 64), 0);
	getsockname(h->leaf.fd, (struct sockaddr *)&addr, &len);
	snprintf(h->leaf.address, sizeof(h->leaf.address), "127.0.0.1:%u",
		 ntohs(addr.sin_port));
	pthread_create(&h->leaf.thread, NULL, accept_connections, &h->leaf);
	CU_ASSERT_EQUAL_FATAL(upstream_create(&h->upstream, &options), 0);
}

static void harness_clear(struct harness *h)
{
	upstream_destroy(h->upstream);
	shutdown(h->leaf.fd, SHUT_RDWR);
	pthread_join(h->leaf.thread, NULL);
	close(h->leaf.fd);
	while (__atomic_load_n(&h->leaf.open_count, __ATOMIC_SEQ_CST) > 0)
		g_usleep(1000);
	g_async_queue_unref(h->replies);
}

static void start_call(struct harness *h, uint64_t id, const char *body,
		       size_t len)
{
	struct upstream_call call = {
		.call_id = id,
		.address = h->leaf.address,
		.request_id = "r",
		.shard = "s",
		.snapshot = 1,
		.remaining_us = DEADLINE_US,
		.body = body,
		.body_len = len,
	};

	CU_ASSERT_EQUAL(upstream_start_call(h->upstream, &call), 0);
}

static void expect_reply(struct harness *h, enum call_status status,
			 bool is_sent)
{
	struct upstream_reply *reply = g_async_queue_pop(h->replies);

	CU_ASSERT_EQUAL(reply->result.status, status);
	CU_ASSERT_EQUAL(reply->result.is_sent, is_sent);
	upstream_reply_free(reply);
}

/*
 * Guards against a request that is reported as not run although bytes of it
 * were sent, and against accepting a reply that does not match the call.
 */
static void test_failures(void)
{
	static const struct {
		enum leaf_mode mode;
		enum call_status status;
		size_t body_len;
	} cases[] = {
		{ MODE_ANSWER, CALL_OK, 2 },
		{ MODE_RESET, CALL_RESET, 2 },
		{ MODE_RESET_EARLY, CALL_RESET, HUGE_BODY },
		{ MODE_TRUNCATE, CALL_RESET, 2 },
		{ MODE_OVERSIZE, CALL_BAD_REPLY, 2 },
		{ MODE_OTHER_ATTEMPT, CALL_BAD_REPLY, 2 },
	};
	char *body = calloc(1, HUGE_BODY);

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct harness h;

		harness_init(&h, cases[i].mode);
		start_call(&h, 1, body, cases[i].body_len);
		expect_reply(&h, cases[i].status, true);
		CU_ASSERT_EQUAL(h.leaf.request_count, 1);
		harness_clear(&h);
	}
	free(body);
}

/*
 * Guards against a connection that closes within the head of a reply and is
 * taken for a whole reply: a success, or a refusal that states "not run".
 */
static void test_cut_heads(void)
{
	static const char *const heads[] = {
		"HTTP/1.1 200 OK\r\nNutmegpick-Load: 1\r\n\r\n",
		"HTTP/1.1 503 X\r\nNutmegpick-Run: not_run\r\n\r\n",
		"HTTP/1.1 409 X\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 100 X\r\n\r\nHTTP/1.1 504 X\r\n"
		"Nutmegpick-Run: not_run\r\n\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(heads); i++) {
		for (size_t len = 1; len < strlen(heads[i]); len++) {
			struct harness h;

			harness_init(&h, MODE_CUT);
			h.leaf.cut_text = g_strndup(heads[i], len);
			start_call(&h, 1, "{}", 2);
			expect_reply(&h, CALL_RESET, true);
			harness_clear(&h);
			g_free(h.leaf.cut_text);
		}
	}
}

/* Guards against a refused connection reported as if bytes had been sent. */
static void test_refused(void)
{
	struct harness h;

	harness_init(&h, MODE_ANSWER);
	shutdown(h.leaf.fd, SHUT_RDWR);
	start_call(&h, 1, "{}", 2);
	expect_reply(&h, CALL_CONNECT_FAILED, false);
	harness_clear(&h);
}

/*
 * Guards against libcurl sending a request again on another connection after
 * the leaf has reset the first one.
 */
static void test_no_resend(void)
{
	struct harness h;

	harness_init(&h, MODE_ANSWER);
	start_call(&h, 1, "{}", 2);
	expect_reply(&h, CALL_OK, true);
	h.leaf.mode = MODE_RESET;
	start_call(&h, 2, "{}", 2);
	expect_reply(&h, CALL_RESET, true);
	CU_ASSERT_EQUAL(h.leaf.request_count, 2);
	CU_ASSERT_EQUAL(h.leaf.most_open, 1);
	harness_clear(&h);
}

/* Guards against more connections to a leaf than its limit. */
static void test_limit(void)
{
	struct harness h;

	harness_init(&h, MODE_ANSWER);
	upstream_set_limit(h.upstream, h.leaf.address, 2);
	for (uint64_t i = 1; i <= 50; i++)
		start_call(&h, i, "{}", 2);
	for (uint64_t i = 1; i <= 50; i++)
		expect_reply(&h, CALL_OK, true);
	CU_ASSERT(h.leaf.most_open <= 2);
	harness_clear(&h);
}

/*
 * Guards against cancelled calls that keep their connection open, so that the
 * leaf goes on with the work and its connection limit stays reached.
 */
static void test_cancel(void)
{
	struct harness h;

	harness_init(&h, MODE_HOLD);
	upstream_set_limit(h.upstream, h.leaf.address, 1);
	start_call(&h, 1, "{}", 2);
	start_call(&h, 2, "{}", 2);
	while (!__atomic_load_n(&h.leaf.request_count, __ATOMIC_SEQ_CST))
		g_usleep(1000);
	upstream_cancel_call(h.upstream, 2);
	upstream_cancel_call(h.upstream, 1);
	while (!__atomic_load_n(&h.leaf.ended_count, __ATOMIC_SEQ_CST))
		g_usleep(1000);
	h.leaf.mode = MODE_ANSWER;
	start_call(&h, 3, "{}", 2);
	expect_reply(&h, CALL_OK, true);
	CU_ASSERT_EQUAL(h.leaf.request_count, 2);
	harness_clear(&h);
}

/*
 * Guards against a burst of new connections after a leaf's restart, when all of
 * its connections are lost while calls wait.
 */
static void test_opening_rate(void)
{
	struct rate_limit host;
	struct leaf_pool *p;
	int opened = 0;

	rate_limit_init(&host, 1000, 1000, 0);
	p = leaf_pool_create("leaf", 100, 10, 5, &host, 0);
	for (int i = 0; i < 50; i++)
		opened += leaf_pool_begin_call(p, 0) == POOL_OPEN;
	CU_ASSERT_EQUAL(opened, 5);
	for (int i = 0; i < 5; i++)
		CU_ASSERT(leaf_pool_add_connection(p, true, 0));
	/* The leaf restarts and closes its connections; calls want new ones. */
	for (int i = 0; i < 5; i++) {
		leaf_pool_remove_connection(p);
		CU_ASSERT(!leaf_pool_add_connection(p, false, 0));
		leaf_pool_end_call(p, false);
	}
	CU_ASSERT_EQUAL(leaf_pool_begin_call(p, 0), POOL_WAIT);
	CU_ASSERT_EQUAL(leaf_pool_begin_call(p, US_PER_S / 10), POOL_OPEN);
	CU_ASSERT_EQUAL(leaf_pool_begin_call(p, US_PER_S / 10), POOL_WAIT);
	leaf_pool_destroy(p);
}

CU_TestInfo upstream_tests[] = {
	{ "failures", test_failures },
	{ "cut heads", test_cut_heads },
	{ "refused", test_refused },
	{ "no resend", test_no_resend },
	{ "limit", test_limit },
	{ "cancel", test_cancel },
	{ "opening rate", test_opening_rate },
	CU_TEST_INFO_NULL,
};
