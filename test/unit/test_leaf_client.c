#include "suites.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/leaf_client.h"

/* The leaf stops an endless reply after this many bytes. */
#define ENDLESS_BYTES (24u * 1024 * 1024)
#define PEERS_MAX 32
/* Limit on the steps of a wait. */
#define STEPS_MAX 200000

/* End of a call as handle_end() saw it. */
struct end {
	uint64_t call_id;
	enum leaf_call_end end;
	unsigned int status;
	size_t body_len;
	/* Whether the reply has the id of the call, or none. */
	bool has_own_id;
};

/* Client under test, and the leaf's side of its connections. */
struct rig {
	int64_t now_us;
	struct leaf_client *client;
	struct leaf_endpoint *endpoint;
	int listener;
	/* Sockets of the leaf, in the order of the accepts. */
	int peers[PEERS_MAX];
	int peer_count;
	struct end ends[PEERS_MAX];
	int end_count;
};

static int64_t read_now(void *ctx)
{
	return ((struct rig *)ctx)->now_us;
}

static void handle_end(void *ctx, const struct leaf_call_result *result)
{
	struct rig *g = ctx;
	struct end *e = &g->ends[g->end_count++ % PEERS_MAX];
	const char *id =
		result->reply ? leaf_reply_header(result->reply, "Request-Id")
			      : NULL;
	char own[32];

	snprintf(own, sizeof(own), "r%llu",
		 (unsigned long long)result->call_id);
	*e = (struct end){
		.call_id = result->call_id,
		.end = result->end,
		.status = result->reply ? result->reply->status : 0,
		.body_len = result->reply ? result->reply->body->len : 0,
		.has_own_id = !id || !strcmp(id, own),
	};
}

static void rig_init_limited(struct rig *g, size_t buffered_max_bytes)
{
	struct leaf_client_options options = {
		.buffered_max_bytes = buffered_max_bytes,
		.clock = { read_now, read_now, g },
		.echo_header = "Request-Id",
		.handle_end = handle_end,
		.ctx = g,
	};
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t len = sizeof(address);

	memset(g, 0, sizeof(*g));
	g->now_us = US_PER_S;
	g->listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	CU_ASSERT_EQUAL_FATAL(bind(g->listener, (struct sockaddr *)&address,
				   sizeof(address)),
			      0);
	CU_ASSERT_EQUAL_FATAL(listen(g->listener, PEERS_MAX), 0);
	getsockname(g->listener, (struct sockaddr *)&address, &len);
	CU_ASSERT_EQUAL_FATAL(leaf_client_create(&g->client, &options), 0);
	g->endpoint = leaf_endpoint_create(g->client, &address);
}

static void rig_init(struct rig *g)
{
	rig_init_limited(g, 0);
}

static void rig_clear(struct rig *g)
{
	for (int i = 0; i < g->peer_count; i++)
		close(g->peers[i]);
	leaf_client_destroy(g->client);
	close(g->listener);
}

static void run_client_step(struct rig *g)
{
	int fd = accept4(g->listener, NULL, NULL, SOCK_NONBLOCK);

	if (fd >= 0)
		g->peers[g->peer_count++] = fd;
	leaf_client_poll(g->client, 0);
}

/* Sends a request and waits until the leaf has read from connection peer. */
static int send_request(struct rig *g, uint64_t id, int peer)
{
	static const char head[] = "GET /x HTTP/1.1\r\n\r\n";
	char request_id[32];
	char buffer[256];
	struct leaf_request r = {
		.call_id = id,
		.head = head,
		.head_len = sizeof(head) - 1,
		.request_id = request_id,
		.is_idempotent = true,
		.deadline_us = g->now_us + 5 * US_PER_S,
	};

	snprintf(request_id, sizeof(request_id), "r%llu",
		 (unsigned long long)id);
	leaf_client_send(g->endpoint, &r);
	for (int i = 0; i < STEPS_MAX; i++) {
		run_client_step(g);
		if (peer < g->peer_count &&
		    recv(g->peers[peer], buffer, sizeof(buffer), 0) > 0)
			return peer;
	}
	CU_FAIL("the request did not arrive");
	return peer;
}

/* Returns false if the client closed or did not read all of the bytes. */
static bool send_bytes(struct rig *g, int peer, const char *data, size_t len)
{
	for (int i = 0; len && i < STEPS_MAX; i++) {
		ssize_t n = send(g->peers[peer], data, len, MSG_NOSIGNAL);

		if (n < 0 && errno != EAGAIN)
			return false;
		if (n > 0) {
			data += n;
			len -= (size_t)n;
		}
		run_client_step(g);
	}
	return !len;
}

/* Waits for the end of one more call. */
static void wait_end(struct rig *g)
{
	int before = g->end_count;

	for (int i = 0; i < STEPS_MAX && g->end_count == before; i++)
		run_client_step(g);
}

/* Returns the number of bytes that the leaf sent before the client closed. */
static size_t send_endless(struct rig *g, int peer, const char *start,
			   const char *piece)
{
	size_t piece_len = strlen(piece);
	size_t sent = strlen(start);
	GString *block = g_string_new(NULL);

	while (block->len < 65536)
		g_string_append(block, piece);
	send_bytes(g, peer, start, strlen(start));
	while (sent < ENDLESS_BYTES && !g->end_count) {
		size_t len = block->len - block->len % piece_len;

		if (!send_bytes(g, peer, block->str, len))
			break;
		sent += len;
	}
	g_string_free(block, TRUE);
	return sent;
}

static void check_endless(const char *name, const char *start,
			  const char *piece, size_t max)
{
	struct rig g = { 0 };
	size_t sent;

	rig_init(&g);
	send_request(&g, 1, 0);
	sent = send_endless(&g, 0, start, piece);
	wait_end(&g);
	if (g.end_count != 1 || sent > max)
		printf("\n    %s: %zu bytes taken, %d ends\n", name, sent,
		       g.end_count);
	CU_ASSERT_EQUAL(g.end_count, 1);
	CU_ASSERT_EQUAL(g.ends[0].end, LEAF_CALL_BROKEN);
	/* max includes the bytes in the buffers of both sockets. */
	CU_ASSERT_TRUE(sent <= max);
	rig_clear(&g);
}

#define OK_HEAD "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
#define SOCKET_BYTES (8u * 1024 * 1024)

/*
 * Guards against an endless reply that fills the memory and the network. Each
 * part of a reply that has no length of its own is tried.
 */
static void test_endless_reply(void)
{
	size_t head = LEAF_OTHER_MAX_BYTES + SOCKET_BYTES;
	size_t body = LEAF_BODY_MAX_BYTES + SOCKET_BYTES;

	check_endless("header", OK_HEAD "X: ", "aaaaaaaa", head);
	check_endless("headers", OK_HEAD, "X: a\r\n", head);
	check_endless("status line", "HTTP/1.1 200 ", "OK ", head);
	check_endless("no protocol", "", "garbage ", head);
	check_endless("early hints", "", "HTTP/1.1 103 Early Hints\r\n\r\n",
		      head);
	check_endless("foreign replies", "",
		      "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\n"
		      "Content-Length: 4\r\n\r\nbody",
		      head);
	check_endless("foreign body",
		      "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\n\r\n", "body",
		      head);
	check_endless("body until close", OK_HEAD "\r\n", "body", body);
	check_endless("chunks", OK_HEAD "Transfer-Encoding: chunked\r\n\r\n",
		      "4\r\nbody\r\n", body);
	check_endless("chunk extension",
		      OK_HEAD "Transfer-Encoding: chunked\r\n\r\n4;", "ext;",
		      head);
	check_endless("trailers",
		      OK_HEAD "Transfer-Encoding: chunked\r\n\r\n0\r\n",
		      "X: a\r\n", head);
}

/* Guards against reading a body whose Content-Length exceeds the limit. */
static void test_declared_length(void)
{
	struct rig g = { 0 };

	rig_init(&g);
	send_request(&g, 1, 0);
	send_bytes(&g, 0, OK_HEAD "Content-Length: 9999999999\r\n\r\n",
		   strlen(OK_HEAD) + 30);
	wait_end(&g);
	CU_ASSERT_EQUAL(g.end_count, 1);
	CU_ASSERT_EQUAL(g.ends[0].end, LEAF_CALL_BROKEN);
	rig_clear(&g);
}

static void reply_to(struct rig *g, int peer, unsigned int status,
		     const char *id)
{
	char text[256];

	snprintf(text, sizeof(text),
		 "HTTP/1.1 %u Status\r\n%s%s%sContent-Length: 4\r\n\r\nbody",
		 status, id ? "Request-Id: " : "", id ? id : "",
		 id ? "\r\n" : "");
	send_bytes(g, peer, text, strlen(text));
}

/*
 * Guards against a second copy of a reply that arrives after the next request
 * was sent on the connection, and is taken for that request's reply.
 */
static void test_late_copy(void)
{
	struct rig g = { 0 };

	rig_init(&g);
	send_request(&g, 1, 0);
	reply_to(&g, 0, 200, "r1");
	wait_end(&g);
	send_request(&g, 2, 0);
	reply_to(&g, 0, 200, "r1");
	reply_to(&g, 0, 200, "r2");
	wait_end(&g);
	CU_ASSERT_EQUAL(g.end_count, 2);
	CU_ASSERT_EQUAL(g.ends[1].end, LEAF_CALL_DONE);
	CU_ASSERT_TRUE(g.ends[1].has_own_id);
	/* The connection is not used for a third request. */
	send_request(&g, 3, 1);
	CU_ASSERT_EQUAL(g.peer_count, 2);
	rig_clear(&g);
}

/* Guards against reuse of a connection that received bytes while idle. */
static void test_copy_while_idle(void)
{
	struct rig g = { 0 };

	rig_init(&g);
	send_request(&g, 1, 0);
	reply_to(&g, 0, 200, "r1");
	wait_end(&g);
	CU_ASSERT_EQUAL(leaf_client_get_counts(g.client).open, 1);
	reply_to(&g, 0, 200, "r1");
	for (int i = 0; i < STEPS_MAX && leaf_client_get_counts(g.client).open;
	     i++)
		run_client_step(&g);
	CU_ASSERT_EQUAL(leaf_client_get_counts(g.client).open, 0);
	send_request(&g, 2, 1);
	reply_to(&g, 1, 200, "r2");
	wait_end(&g);
	CU_ASSERT_EQUAL(g.end_count, 2);
	CU_ASSERT_TRUE(g.ends[1].has_own_id);
	rig_clear(&g);
}

/*
 * Guards against a late failure without an id that is taken for the reply to
 * the next request. That request may have run, and would be sent again.
 */
static void test_failure_without_id(void)
{
	struct rig g = { 0 };

	rig_init(&g);
	send_request(&g, 1, 0);
	reply_to(&g, 0, 503, NULL);
	wait_end(&g);
	CU_ASSERT_EQUAL(g.ends[0].end, LEAF_CALL_DONE);
	CU_ASSERT_EQUAL(g.ends[0].status, 503);
	send_request(&g, 2, 0);
	reply_to(&g, 0, 503, NULL);
	wait_end(&g);
	CU_ASSERT_EQUAL(g.end_count, 2);
	CU_ASSERT_EQUAL(g.ends[1].end, LEAF_CALL_BROKEN);
	rig_clear(&g);
}

/* Guards against detached calls that use their connections without limit. */
static void test_detached_call(void)
{
	struct rig g = { 0 };

	rig_init(&g);
	send_request(&g, 1, 0);
	send_bytes(&g, 0, OK_HEAD "\r\n", strlen(OK_HEAD) + 2);
	CU_ASSERT_FALSE(leaf_client_detach_call(g.client, 1));
	for (int i = 0; i < 12; i++) {
		send_bytes(&g, 0, "body", 4);
		g.now_us += 100 * US_PER_MS;
		leaf_client_sweep(g.client);
	}
	CU_ASSERT_EQUAL(g.end_count, 1);
	CU_ASSERT_EQUAL(g.ends[0].end, LEAF_CALL_BROKEN);
	CU_ASSERT_EQUAL(leaf_client_get_counts(g.client).open, 0);
	rig_clear(&g);
}

/*
 * Guards against many long replies that fill the memory together, and against
 * failing a call with a short reply to free memory for them.
 */
static void test_buffered_by_all(void)
{
	const size_t piece = 900 * 1024;
	char *body = g_malloc0(piece);
	struct rig g = { 0 };

	rig_init_limited(&g, 4 * piece);
	send_request(&g, 1, 0);
	for (uint64_t i = 2; i < PEERS_MAX; i++)
		send_request(&g, i, (int)i - 1);
	for (int i = 1; i < g.peer_count; i++) {
		char head[64];

		snprintf(head, sizeof(head),
			 "HTTP/1.1 200 OK\r\nRequest-Id: r%d\r\n\r\n", i + 1);
		send_bytes(&g, i, head, strlen(head));
		send_bytes(&g, i, body, piece);
	}
	for (int i = 0; i < STEPS_MAX && g.end_count < PEERS_MAX - 2 - 4; i++)
		run_client_step(&g);
	CU_ASSERT_TRUE(g.end_count >= PEERS_MAX - 2 - 4);
	reply_to(&g, 0, 200, "r1");
	wait_end(&g);
	for (int i = 0; i < g.end_count; i++)
		CU_ASSERT_EQUAL(g.ends[i].end == LEAF_CALL_DONE,
				g.ends[i].call_id == 1);
	g_free(body);
	rig_clear(&g);
}

/*
 * Guards against long replies that nobody waits for and that keep their memory:
 * they are in no account.
 */
static void test_memory_let_go(void)
{
	const size_t piece = 600 * 1024;
	char *body = g_malloc0(piece);
	struct mallinfo2 before;
	struct mallinfo2 after;
	struct rig g = { 0 };

	rig_init_limited(&g, PEERS_MAX * piece);
	for (uint64_t i = 1; i < PEERS_MAX; i++)
		send_request(&g, i, (int)i - 1);
	before = mallinfo2();
	for (int i = 0; i < g.peer_count; i++) {
		char head[64];

		snprintf(head, sizeof(head),
			 "HTTP/1.1 200 OK\r\nRequest-Id: r%d\r\n\r\n", i + 1);
		send_bytes(&g, i, head, strlen(head));
		send_bytes(&g, i, body, piece);
	}
	for (int i = 0; i < 1000; i++)
		run_client_step(&g);
	after = mallinfo2();
	/* Sanitizers' allocators report nothing. */
	CU_ASSERT(!before.uordblks ||
		  after.uordblks + after.hblkhd >=
			  before.uordblks + before.hblkhd +
				  (size_t)g.peer_count * piece);
	for (uint64_t i = 1; i < PEERS_MAX; i++)
		CU_ASSERT_FALSE(leaf_client_detach_call(g.client, i));
	after = mallinfo2();
	CU_ASSERT(after.uordblks + after.hblkhd <
		  before.uordblks + before.hblkhd + piece);
	CU_ASSERT_EQUAL(g.end_count, 0);
	g_free(body);
	rig_clear(&g);
}

/* Sends a request to another leaf; its connection is the last one accepted. */
static void send_to(struct rig *g, struct leaf_endpoint *e, uint64_t id)
{
	struct leaf_endpoint *own = g->endpoint;

	g->endpoint = e;
	send_request(g, id, g->peer_count);
	g->endpoint = own;
}

/* Sends the head of a reply that never ends, up to a number of bytes. */
static void send_long_head(struct rig *g, int peer, const char *line,
			   size_t len)
{
	GString *text = g_string_new("HTTP/1.1 200 OK\r\n");

	while (text->len < len)
		g_string_append(text, line);
	send_bytes(g, peer, text->str, text->len);
	g_string_free(text, TRUE);
}

/*
 * Guards against heads without end that fill the memory together, and against
 * failing the long reply of a sound leaf to free memory for them.
 */
static void test_heads_of_all(void)
{
	/* NULL stands for a line of 235 characters. */
	static const char *const lines[] = {
		"a:\n",
		"X: a\r\n",
		"Name-of-a-header: and value\r\n",
		NULL,
	};
	const size_t sound = 600 * 1024;
	char *body = g_malloc0(sound);
	char *long_line = g_strdup_printf("X: %0230d\r\n", 0);

	for (size_t k = 0; k < G_N_ELEMENTS(lines); k++) {
		struct rig g = { 0 };
		struct leaf_endpoint *bad;
		struct sockaddr_in address;
		socklen_t len = sizeof(address);

		rig_init_limited(&g, 800 * 1024);
		getsockname(g.listener, (struct sockaddr *)&address, &len);
		bad = leaf_endpoint_create(g.client, &address);
		send_request(&g, 1, 0);
		for (uint64_t i = 2; i < PEERS_MAX; i++)
			send_to(&g, bad, i);
		send_bytes(&g, 0, OK_HEAD "Content-Length: 614400\r\n\r\n",
			   strlen(OK_HEAD) + 26);
		send_bytes(&g, 0, body, sound - 1);
		send_bytes(&g, 1, "garbage", 7);
		wait_end(&g);
		for (int i = 2; i < g.peer_count; i++)
			send_long_head(&g, i, lines[k] ? lines[k] : long_line,
				       40 * 1024);
		for (int i = 0; i < 1000; i++)
			run_client_step(&g);
		send_bytes(&g, 0, body, 1);
		wait_end(&g);
		for (int i = 0; i < g.end_count; i++)
			CU_ASSERT_EQUAL(g.ends[i].end == LEAF_CALL_DONE,
					g.ends[i].call_id == 1);
		CU_ASSERT(g.end_count > 20);
		rig_clear(&g);
	}
	g_free(long_line);
	g_free(body);
}

/* Reads pieces of a reply without end with many readers. */
static void read_endless(const char *start, const char *piece)
{
	enum { READERS = 100 };
	const struct reply_limits limits = {
		.body_max_bytes = LEAF_BODY_MAX_BYTES,
		.other_max_bytes = LEAF_OTHER_MAX_BYTES,
		.headers_max = LEAF_HEADERS_MAX,
	};
	static struct reply_reader readers[READERS];
	size_t before = mallinfo2().uordblks;
	uint32_t broken = 0;
	size_t held = 0;

	for (int i = 0; i < READERS; i++) {
		reply_reader_init(&readers[i], &limits, "Request-Id");
		reply_reader_begin(&readers[i], "r1", false);
		reply_reader_feed(&readers[i], start, strlen(start));
	}
	while (broken < READERS && held < 100u * 1024 * 1024) {
		size_t used;

		broken = 0;
		held = 0;
		for (int i = 0; i < READERS; i++) {
			struct reply_reader *r = &readers[i];

			for (int n = 0; n < 50 && !r->cause; n++)
				reply_reader_feed(r, piece, strlen(piece));
			broken += r->cause != NULL;
			held += reply_reader_memory(r);
		}
		used = mallinfo2().uordblks - before;
		/* 4 KB: what a reader needs without a reply. */
		CU_ASSERT(used <= 2 * held + READERS * 4096);
	}
	for (int i = 0; i < READERS; i++)
		reply_reader_clear(&readers[i]);
}

/* Guards against memory of replies that is missing in the account of all. */
static void test_memory_counted(void)
{
	read_endless("HTTP/1.1 200 OK\r\n", "a:\n");
	read_endless("HTTP/1.1 200 OK\r\n", "Some-Header: some value\r\n");
	read_endless("HTTP/1.1 200 OK\r\nX: ", "aaaaaaaaaaaaaaaa");
	read_endless("HTTP/1.1 200 OK\r\n", "aaaaaaaaaaaaaaaa");
	read_endless("", "HTTP/1.1 103 Early\r\nLink: x\r\n\r\n");
	read_endless("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n", "body");
	read_endless("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
		     "Transfer-Encoding: chunked\r\n\r\n",
		     "4\r\nbody\r\n");
}

/*
 * Guards against a call that is taken back although a leaf may have read it,
 * and against one that reaches the leaf after it was taken back.
 */
static void test_withdrawn_call(void)
{
	static const char head[] = "GET /x HTTP/1.1\r\n\r\n";
	struct leaf_request r = {
		.call_id = 1,
		.head = head,
		.head_len = sizeof(head) - 1,
		.request_id = "r1",
		.is_idempotent = true,
		.deadline_us = 9 * US_PER_S,
	};
	struct rig g = { 0 };
	char byte;

	rig_init(&g);
	leaf_client_send(g.endpoint, &r);
	CU_ASSERT_TRUE(leaf_client_withdraw_call(g.client, 1));
	CU_ASSERT_FALSE(leaf_client_withdraw_call(g.client, 1));
	for (int i = 0; i < STEPS_MAX && !g.peer_count; i++)
		run_client_step(&g);
	CU_ASSERT_EQUAL(recv(g.peers[0], &byte, 1, 0), 0);
	send_request(&g, 2, 1);
	CU_ASSERT_FALSE(leaf_client_withdraw_call(g.client, 2));
	CU_ASSERT_EQUAL(g.end_count, 0);
	rig_clear(&g);
}

/* Guards against idle connections to a leaf that must not be called. */
static void test_close_idle(void)
{
	static const char reply[] = OK_HEAD "Content-Length: 0\r\n\r\n";
	struct rig g = { 0 };

	rig_init(&g);
	send_request(&g, 1, 0);
	leaf_endpoint_close_idle(g.endpoint);
	CU_ASSERT_EQUAL(leaf_client_get_counts(g.client).open, 1);
	send_bytes(&g, 0, reply, sizeof(reply) - 1);
	wait_end(&g);
	CU_ASSERT_EQUAL(g.ends[0].end, LEAF_CALL_DONE);
	CU_ASSERT_EQUAL(leaf_client_get_counts(g.client).open, 1);
	leaf_endpoint_close_idle(g.endpoint);
	CU_ASSERT_EQUAL(leaf_client_get_counts(g.client).open, 0);
	rig_clear(&g);
}

CU_TestInfo leaf_client_tests[] = {
	{ "withdrawn call", test_withdrawn_call },
	{ "close idle", test_close_idle },
	{ "endless reply", test_endless_reply },
	{ "declared length", test_declared_length },
	{ "late copy", test_late_copy },
	{ "copy while idle", test_copy_while_idle },
	{ "failure without id", test_failure_without_id },
	{ "let go", test_detached_call },
	{ "memory let go", test_memory_let_go },
	{ "held by all calls", test_buffered_by_all },
	{ "heads of all calls", test_heads_of_all },
	{ "memory counted", test_memory_counted },
	CU_TEST_INFO_NULL,
};
