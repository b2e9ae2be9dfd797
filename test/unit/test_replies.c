#include "suites.h"

#include <string.h>

#include "common/errors.h"
#include "fake_router.h"
#include "net/reply_reader.h"
#include "platform/headers.h"

#define ID "Nutmegpick-Request-Id: own\r\n"
#define STAMP "Nutmegpick-Response-Stamp: st\r\n"
#define NOT_RUN "Nutmegpick-Not-Executed: 1\r\n"
#define LENGTH "Content-Length: 16\r\n"
#define BODY "\r\n0123456789abcdef"

/* What the caller of a route without a gather gets for a reply. */
enum use {
	/* The reply itself, with its own status. */
	PASSED,
	/* Status 502 or 504 of the host: a leaf may have run the request. */
	REPLACED,
	/* Status 503 of the host: no leaf has run the request. */
	REFUSED,
};

struct reply_case {
	const char *text;
	enum use use;
};

/* The rows of docs/decisions/replies.md. */
static const struct reply_case cases[] = {
	/* Successes. */
	{ "200 OK\r\n" ID STAMP LENGTH BODY, PASSED },
	{ "201 X\r\n" ID STAMP LENGTH BODY, PASSED },
	{ "206 X\r\n" ID STAMP LENGTH BODY, PASSED },
	{ "200 OK\r\n" ID STAMP "Transfer-Encoding: Chunked\r\n\r\n"
	  "10\r\n0123456789abcdef\r\n0\r\n\r\n",
	  PASSED },
	{ "200 OK\r\n" ID STAMP "Connection: close\r\n" BODY, PASSED },
	{ "200 OK\r\n" ID ID STAMP LENGTH BODY, PASSED },
	{ "103 Hints\r\nContent-Encoding: gzip\r\n\r\nHTTP/1.1 200 OK\r\n" ID
		  STAMP LENGTH BODY,
	  PASSED },
	{ "200 OK\r\n" ID STAMP "Transfer-Encoding: chunked\r\n\r\n"
	  "10\r\n0123456789abcdef\r\n0\r\nContent-Encoding: gzip\r\n\r\n",
	  PASSED },
	/* Names that begin like that of the transfer coding. */
	{ "200 OK\r\n" ID STAMP LENGTH "Transfer-Encoding-X: y\r\n" BODY,
	  PASSED },
	{ "200 OK\r\n" ID STAMP "Transfer-Encoding: chunked\r\n"
	  "Transfer-Encodings: y\r\n\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n",
	  PASSED },
	/* No stamp, or none to choose from. */
	{ "200 OK\r\n" ID LENGTH BODY, REPLACED },
	{ "200 OK\r\n" ID STAMP STAMP LENGTH BODY, REPLACED },
	{ "200 OK\r\n" ID "Nutmegpick-Response-Stamp:\r\n" LENGTH BODY,
	  REPLACED },
	{ "200 OK\r\n" ID "Transfer-Encoding: chunked\r\n\r\n"
	  "10\r\n0123456789abcdef\r\n0\r\n" STAMP "\r\n",
	  REPLACED },
	{ "500 X\r\n" ID LENGTH BODY, REPLACED },
	{ "404 X\r\n" ID LENGTH BODY, REPLACED },
	{ "500 X\r\n" ID STAMP STAMP LENGTH BODY, REPLACED },
	/* An encoded body is not the body that the leaf signed. */
	{ "200 OK\r\n" ID STAMP "Content-Encoding: gzip\r\n" LENGTH BODY,
	  REPLACED },
	{ "200 OK\r\n" ID STAMP "content-encoding:\r\n" LENGTH BODY, REPLACED },
	{ "200 OK\r\n" ID STAMP "Content-Encoding: identity\r\n" LENGTH BODY,
	  REPLACED },
	{ "201 X\r\n" ID "Content-Encoding: br\r\n" STAMP LENGTH BODY,
	  REPLACED },
	{ "200 OK\r\n" ID STAMP
	  "Transfer-Encoding: gzip\r\nConnection: close\r\n" BODY,
	  REPLACED },
	{ "200 OK\r\n" ID STAMP "Transfer-Encoding: gzip, chunked\r\n\r\n"
	  "10\r\n0123456789abcdef\r\n0\r\n\r\n",
	  REPLACED },
	{ "404 X\r\n" ID STAMP "Content-Encoding: gzip\r\n" LENGTH BODY,
	  REPLACED },
	{ "500 X\r\n" ID STAMP "Content-Encoding: gzip\r\n" LENGTH BODY,
	  REPLACED },
	/* Replies to another request. */
	{ "200 OK\r\nNutmegpick-Request-Id: old\r\n" STAMP LENGTH BODY,
	  REPLACED },
	{ "200 OK\r\n" ID "Nutmegpick-Request-Id: old\r\n" STAMP LENGTH BODY,
	  REPLACED },
	{ "200 OK\r\nNutmegpick-Request-Id: old\r\n" ID STAMP LENGTH BODY,
	  REPLACED },
	{ "200 OK\r\n" STAMP LENGTH BODY, REPLACED },
	/* Broken framing. */
	{ "200 OK\r\n" ID STAMP "Content-Length: 17\r\n" BODY, REPLACED },
	{ "200 OK\r\n" ID STAMP LENGTH "Content-Length: 9\r\n" BODY, REPLACED },
	{ "200 OK\r\n" ID STAMP LENGTH "Transfer-Encoding: chunked\r\n" BODY,
	  REPLACED },
	{ "200 OK\r\n" ID STAMP "Content-Length: -1\r\n" BODY, REPLACED },
	{ "200 OK\r\n" ID STAMP "Content-Length: x\r\n" BODY, REPLACED },
	{ "200 OK\r\n" ID STAMP "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
	  REPLACED },
	{ "101 X\r\n" ID STAMP "Connection: upgrade\r\nUpgrade: x\r\n" BODY,
	  REPLACED },
	/* A status of 000 and others that are none. */
	{ "000 X\r\n" ID STAMP LENGTH BODY, REPLACED },
	{ "000\r\n" ID STAMP LENGTH BODY, REPLACED },
	{ "000 X\r\n" ID STAMP NOT_RUN LENGTH BODY, REPLACED },
	{ "0 X\r\n" ID STAMP LENGTH BODY, REPLACED },
	{ "000 X\r\n\r\nHTTP/1.1 200 OK\r\n" ID STAMP LENGTH BODY, REPLACED },
	{ "103 X\r\n\r\nHTTP/1.1 000 X\r\n" ID STAMP LENGTH BODY, REPLACED },
	{ "-1 X\r\n" ID STAMP LENGTH BODY, REPLACED },
	{ "1000 X\r\n" ID STAMP LENGTH BODY, REPLACED },
	{ "999 X\r\n" ID STAMP LENGTH BODY, REPLACED },
	{ "103 X\r\n\r\nHTTP/2.0 200 OK\r\n" ID STAMP LENGTH BODY, REPLACED },
	{ "103 X\r\n\r\nHTTP/0.9 200 OK\r\n" ID STAMP LENGTH BODY, REPLACED },
	{ "099 X\r\n" ID STAMP LENGTH BODY, REPLACED },
	{ "600 X\r\n" ID STAMP LENGTH BODY, REPLACED },
	/* Failures that the leaf has signed. */
	{ "500 X\r\n" ID STAMP LENGTH BODY, PASSED },
	{ "504 X\r\n" ID STAMP LENGTH BODY, PASSED },
	{ "404 X\r\n" ID STAMP LENGTH BODY, PASSED },
	{ "302 X\r\n" ID STAMP LENGTH BODY, PASSED },
	/* These statuses would state that the request was not run. */
	{ "503 X\r\n" ID STAMP LENGTH BODY, REPLACED },
	{ "429 X\r\n" ID STAMP LENGTH BODY, REPLACED },
	{ "408 X\r\n" ID STAMP LENGTH BODY, REPLACED },
	/* The leaf states that it did not run the request. */
	{ "503 X\r\n" ID NOT_RUN LENGTH BODY, REFUSED },
	{ "429 X\r\n" ID STAMP NOT_RUN LENGTH BODY, REFUSED },
	{ "400 X\r\n" ID NOT_RUN LENGTH BODY, REFUSED },
	{ "421 X\r\n" ID LENGTH BODY, REFUSED },
	{ "200 X\r\n" ID STAMP NOT_RUN LENGTH BODY, REFUSED },
};

/* Reads a reply from the bytes of a leaf, as the client of leaves does. */
static void read_reply(const char *text, struct router_result *result)
{
	const struct reply_limits limits = { .body_max_bytes = 4096,
					     .other_max_bytes = 4096 };
	char *bytes = g_strconcat("HTTP/1.1 ", text, NULL);
	enum reply_state state;
	struct reply_reader r;

	reply_reader_init(&r, &limits, PLATFORM_REQUEST_ID);
	reply_reader_begin(&r, "own", false);
	state = reply_reader_feed(&r, bytes, strlen(bytes));
	if (state == REPLY_INCOMPLETE)
		state = reply_reader_feed(&r, "", 0);
	result->outcome = CALL_BROKEN;
	if (state == REPLY_COMPLETE)
		platform_read_reply(reply_reader_take(&r), result);
	reply_reader_clear(&r);
	g_free(bytes);
}

/* Ends each call of a new request with a reply; returns the answer. */
static const struct fake_answer *answer_with(struct fake_router *f,
					     const char *path, const char *text)
{
	fake_router_start_request(f, path, 0);
	for (uint32_t i = 0; i < f->call_count; i++) {
		struct router_result result = { .call_id = f->calls[i].id };

		if (!f->calls[i].is_open)
			continue;
		read_reply(text, &result);
		f->calls[i].is_open = false;
		router_call_result(f->router, &result);
		leaf_reply_unref(result.reply);
	}
	fake_router_advance(f, 2000 * US_PER_MS);
	CU_ASSERT_EQUAL_FATAL(f->answer_count, 1);
	return &f->answers[0];
}

static void check_single(const struct reply_case *c, const char *path)
{
	struct fake_router *f = fake_router_create(1);
	const struct fake_answer *a = answer_with(f, path, c->text);
	unsigned int status = (unsigned int)g_ascii_strtoull(
		g_str_has_prefix(c->text, "103") ? "200" : c->text, NULL, 10);

	switch (c->use) {
	case PASSED:
		CU_ASSERT_EQUAL(a->status, status);
		CU_ASSERT_EQUAL(a->code, 0);
		CU_ASSERT_EQUAL(a->body_len, 16);
		break;
	case REPLACED:
		CU_ASSERT(a->status == 502 || a->status == 504);
		CU_ASSERT(a->code < 0);
		CU_ASSERT_EQUAL(a->retry_after_us, 0);
		break;
	case REFUSED:
		CU_ASSERT_EQUAL(a->status, 503);
		CU_ASSERT(a->code < 0);
		CU_ASSERT(a->retry_after_us > 0);
		break;
	}
	fake_router_destroy(f);
}

/*
 * Guards against a reply that reaches the caller as a success, or with the
 * leaf's stamp, although it is not the leaf's whole answer to the request.
 */
static void test_single(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		check_single(&cases[i], "/put/x");
		check_single(&cases[i], "/get/x");
	}
}

/* Guards against such a reply among the parts of a gather. */
static void test_gather(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fake_router *f = fake_router_create(2);
		bool is_part = cases[i].use == PASSED &&
			       (cases[i].text[0] == '2' ||
				g_str_has_prefix(cases[i].text, "103"));
		const struct fake_answer *a =
			answer_with(f, "/search/x", cases[i].text);

		CU_ASSERT_EQUAL(a->status == 200, is_part);
		CU_ASSERT_EQUAL(a->stamp_count, is_part ? 2 : 0);
		fake_router_destroy(f);
	}
}

CU_TestInfo reply_tests[] = {
	{ "single", test_single },
	{ "gather", test_gather },
	CU_TEST_INFO_NULL,
};
