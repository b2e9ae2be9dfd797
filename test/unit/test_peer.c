#include "suites.h"

#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <glib.h>

#include "common/errors.h"
#include "net/transport.h"

/* One side of a link, with a record of its events. */
struct side {
	struct transport *transport;
	char address[PEER_ADDRESS_MAX];
	pthread_mutex_t lock;
	pthread_cond_t change;
	GString *frames;
	unsigned int closed;
	unsigned int undelivered;
	bool is_refusing;
	/** Limits; 0 selects the default. */
	size_t max_frame_bytes;
	size_t max_unread_bytes;
};

static int handle_hello(void *ctx, const void *data, size_t len,
			char address[PEER_ADDRESS_MAX])
{
	struct side *s = ctx;

	if (s->is_refusing || len >= PEER_ADDRESS_MAX)
		return -ERR_FRAME_VERSION;
	memcpy(address, data, len);
	address[len] = '\0';
	return 0;
}

static void handle_frame(void *ctx, link_id link, const char *address,
			 const void *data, size_t len)
{
	struct side *s = ctx;

	pthread_mutex_lock(&s->lock);
	g_string_append_len(s->frames, data, (gssize)MIN(len, 8));
	pthread_cond_broadcast(&s->change);
	pthread_mutex_unlock(&s->lock);
	if (len > 1 && *(const char *)data == '?')
		transport_reply(s->transport, link, "!", 1);
}

static void handle_closed(void *ctx, link_id link, const char *address,
			  bool is_undelivered)
{
	struct side *s = ctx;

	pthread_mutex_lock(&s->lock);
	s->closed++;
	s->undelivered += is_undelivered;
	pthread_cond_broadcast(&s->change);
	pthread_mutex_unlock(&s->lock);
}

static void start_side(struct side *s, const char *hello)
{
	struct transport_options options = {
		.address = "127.0.0.1:0",
		.clock = clock_system(),
		.hello = hello,
		.hello_len = strlen(hello),
		.max_frame_bytes = s->max_frame_bytes ? s->max_frame_bytes
						      : 1024,
		.max_unread_bytes = s->max_unread_bytes,
		/* Long enough that a busy machine causes no timeout. */
		.connect_timeout_us = 3600 * US_PER_S,
		.idle_us = 3600 * US_PER_S,
		.handle_hello = handle_hello,
		.handle_frame = handle_frame,
		.handle_closed = handle_closed,
		.ctx = s,
	};

	pthread_mutex_init(&s->lock, NULL);
	pthread_cond_init(&s->change, NULL);
	s->frames = g_string_new(NULL);
	CU_ASSERT_EQUAL_FATAL(transport_create(&s->transport, &options), 0);
	snprintf(s->address, sizeof(s->address), "127.0.0.1:%u",
		 transport_port(s->transport));
}

static void stop_side(struct side *s)
{
	transport_destroy(s->transport);
	g_string_free(s->frames, TRUE);
}

static void wait_frames(struct side *s, const char *expected)
{
	pthread_mutex_lock(&s->lock);
	while (s->frames->len < strlen(expected))
		pthread_cond_wait(&s->change, &s->lock);
	CU_ASSERT_STRING_EQUAL(s->frames->str, expected);
	pthread_mutex_unlock(&s->lock);
}

static void wait_closed(struct side *s, unsigned int count)
{
	pthread_mutex_lock(&s->lock);
	while (s->closed < count)
		pthread_cond_wait(&s->change, &s->lock);
	pthread_mutex_unlock(&s->lock);
}

/* Guards against frames lost, split or reordered on a link. */
static void test_frames_in_order(void)
{
	struct side a = { 0 };
	struct side b = { 0 };

	start_side(&b, "b");
	start_side(&a, "a");
	for (int i = 0; i < 3; i++)
		transport_send(a.transport, b.address, "xyz", 3);
	transport_send(a.transport, b.address, "?!", 2);
	wait_frames(&b, "xyzxyzxyz?!");
	wait_frames(&a, "!");
	stop_side(&a);
	stop_side(&b);
}

/*
 * Guards against frames accepted from a peer whose hello was refused, such as
 * one without a common protocol version.
 */
static void test_refused_hello(void)
{
	struct side a = { 0 };
	struct side b = { .is_refusing = true };

	start_side(&b, "b");
	start_side(&a, "a");
	transport_send(a.transport, b.address, "x", 1);
	wait_closed(&a, 1);
	CU_ASSERT_EQUAL(b.frames->len, 0);
	stop_side(&a);
	stop_side(&b);
}

/* Guards against a sender that waits for ever for an unreachable host. */
static void test_unreachable(void)
{
	struct side a = { 0 };

	start_side(&a, "a");
	transport_send(a.transport, "127.0.0.1:1", "x", 1);
	transport_send(a.transport, "not an address", "x", 1);
	wait_closed(&a, 2);
	CU_ASSERT_EQUAL(a.undelivered, 2);
	stop_side(&a);
}

static int connect_raw(const struct side *s)
{
	struct sockaddr_in addr = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
		.sin_port = htons(transport_port(s->transport)),
	};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	CU_ASSERT_EQUAL_FATAL(
		connect(fd, (struct sockaddr *)&addr, sizeof(addr)), 0);
	return fd;
}

/*
 * Guards against allocating memory for a declared length that is too large, and
 * against accepting frames whose length is 0 or truncated.
 */
static void test_broken_lengths(void)
{
	static const unsigned char broken[][8] = {
		{ 0, 0, 0, 0 },
		{ 0xff, 0xff, 0xff, 0xff },
		{ 0, 0, 4, 1 },
		{ 'G', 'E', 'T', ' ' },
		{ 0, 0, 0, 1, 'h', 0, 0, 0 },
	};
	struct side b = { 0 };

	start_side(&b, "b");
	for (unsigned int i = 0; i < G_N_ELEMENTS(broken); i++) {
		int fd = connect_raw(&b);

		CU_ASSERT_EQUAL(write(fd, broken[i], 8), 8);
		if (i + 1 == G_N_ELEMENTS(broken))
			shutdown(fd, SHUT_WR);
		wait_closed(&b, i + 1);
		close(fd);
	}
	CU_ASSERT_EQUAL(b.frames->len, 0);
	stop_side(&b);
}

/* Sends a frame, or the start of one that is longer. */
static void write_frame(int fd, const char *data, size_t len, size_t declared)
{
	uint32_t header = htonl((uint32_t)declared);

	CU_ASSERT_EQUAL(write(fd, &header, sizeof(header)), sizeof(header));
	CU_ASSERT_EQUAL(write(fd, data, len), (ssize_t)len);
}

#define HALF_FRAME_LINKS 16

/*
 * Guards against incomplete frames of many hosts that fill the memory together,
 * and against closing a link without one.
 */
static void test_frames_of_all(void)
{
	static const char zeros[600];
	int fds[HALF_FRAME_LINKS];
	/* Room for eight frames, and for the headers of some others. */
	struct side b = { .max_unread_bytes = 8 * 604 + 64 };
	int first;

	start_side(&b, "b");
	first = connect_raw(&b);
	write_frame(first, "first", 5, 5);
	write_frame(first, "x", 1, 1);
	wait_frames(&b, "x");
	for (int i = 0; i < HALF_FRAME_LINKS; i++) {
		fds[i] = connect_raw(&b);
		write_frame(fds[i], "h", 1, 1);
		write_frame(fds[i], zeros, sizeof(zeros), 1024);
	}
	wait_closed(&b, HALF_FRAME_LINKS - 8);
	write_frame(first, "y", 1, 1);
	wait_frames(&b, "xy");
	CU_ASSERT_EQUAL(b.closed, HALF_FRAME_LINKS - 8);
	for (int i = 0; i < HALF_FRAME_LINKS; i++)
		close(fds[i]);
	close(first);
	stop_side(&b);
}

/* Guards against a first frame that is read although no host sends such. */
static void test_long_hello(void)
{
	static const char zeros[64];
	struct side b = { .max_frame_bytes = 1024 * 1024 };
	int fd;

	start_side(&b, "b");
	fd = connect_raw(&b);
	write_frame(fd, zeros, sizeof(zeros), 8192);
	wait_closed(&b, 1);
	close(fd);
	stop_side(&b);
}

#define LAST_FRAME_ROUNDS 20

/* Guards against results that a stopping host has queued and does not send. */
static void test_last_frames(void)
{
	struct side b = { 0 };

	start_side(&b, "b");
	for (unsigned int i = 0; i < LAST_FRAME_ROUNDS; i++) {
		struct side a = { 0 };

		g_string_truncate(b.frames, 0);
		start_side(&a, "a");
		transport_send(a.transport, b.address, "first", 5);
		wait_frames(&b, "first");
		transport_send(a.transport, b.address, "last", 4);
		stop_side(&a);
		wait_closed(&b, i + 1);
		CU_ASSERT_STRING_EQUAL(b.frames->str, "firstlast");
	}
	stop_side(&b);
}

CU_TestInfo peer_tests[] = {
	{ "last frames", test_last_frames },
	{ "frames in order", test_frames_in_order },
	{ "refused hello", test_refused_hello },
	{ "unreachable", test_unreachable },
	{ "broken lengths", test_broken_lengths },
	{ "frames of all", test_frames_of_all },
	{ "long hello", test_long_hello },
	CU_TEST_INFO_NULL,
};
