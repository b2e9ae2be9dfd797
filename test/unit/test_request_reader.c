#include "suites.h"

#include <string.h>

#include "net/request_reader.h"

#define HEAD "POST /a%20b?c=d HTTP/1.1\r\nHost: test\r\n"

static const struct request_limits limits = { .head_max_bytes = 256,
					      .body_max_bytes = 16 };

/** Stream of bytes, and the requests in it. */
struct stream_case {
	const char *text;
	/** Whole requests before the refusal or the end. */
	uint32_t requests;
	/** Status of the refusal, or 0. */
	unsigned int status;
	/** Body of the last whole request. */
	const char *body;
};

/* Parses a stream in pieces of some bytes. */
static void check_stream(const struct stream_case *c, size_t piece)
{
	struct request_reader r = { 0 };
	size_t len = strlen(c->text);
	uint32_t requests = 0;
	enum request_state state = REQUEST_INCOMPLETE;
	char *body = g_strdup("");

	for (size_t at = 0; at < len || r.is_complete;) {
		size_t used;

		state = request_reader_feed(&r, &limits, c->text + at,
					    MIN(piece, len - at), &used);
		at += used;
		if (state == REQUEST_REFUSED)
			break;
		if (state != REQUEST_COMPLETE)
			continue;
		struct http_request *q = request_reader_take(&r);

		requests++;
		g_free(body);
		body = g_strdup(q->body->str);
		http_request_free(q);
		CU_ASSERT_EQUAL(request_reader_memory(&r), 0);
	}
	CU_ASSERT_EQUAL(requests, c->requests);
	CU_ASSERT_EQUAL(state == REQUEST_REFUSED, c->status != 0);
	CU_ASSERT_EQUAL(r.status, c->status);
	CU_ASSERT_STRING_EQUAL(body, c->body ? c->body : "");
	if (requests != c->requests || r.status != c->status)
		printf("\npiece %zu: %u requests, status %u: %s\n", piece,
		       requests, r.status, c->text);
	g_free(body);
	request_reader_clear(&r);
}

static void check_streams(const struct stream_case *cases, size_t count)
{
	static const size_t pieces[] = { 1, 2, 3, 7, 64, 4096 };

	for (size_t i = 0; i < count; i++) {
		for (size_t k = 0; k < G_N_ELEMENTS(pieces); k++)
			check_stream(&cases[i], pieces[k]);
	}
}

/*
 * Guards against a request inside the body of another one that is run, because
 * two receivers take the length of the body from different headers.
 */
static void test_ambiguous_length(void)
{
	static const struct stream_case cases[] = {
		{ HEAD "Content-Length: 0\r\nContent-Length: 3\r\n\r\nabc", 0,
		  400 },
		{ HEAD "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 0,
		  400 },
		{ HEAD "Content-Length: 3, 3\r\n\r\nabc", 0, 400 },
		{ HEAD "Content-Length: +3\r\n\r\nabc", 0, 400 },
		{ HEAD "Content-Length: -1\r\n\r\nabc", 0, 400 },
		{ HEAD "Content-Length: 0x3\r\n\r\nabc", 0, 400 },
		{ HEAD "Content-Length:\r\n\r\nabc", 0, 400 },
		{ HEAD "Content-Length: 18446744073709551619\r\n\r\nabc", 0,
		  400 },
		{ HEAD "Content-Length : 3\r\n\r\nabc", 0, 400 },
		{ HEAD "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
		       "0\r\n\r\n",
		  0, 400 },
		{ HEAD "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n"
		       "0\r\n\r\n",
		  0, 400 },
		{ HEAD "Content-Length: 3\r\nTransfer-Encoding:\r\n chunked"
		       "\r\n\r\n0\r\n\r\n",
		  0, 400 },
		{ HEAD "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 0,
		  501 },
		{ HEAD "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n", 0,
		  501 },
		{ HEAD "Transfer-Encoding: identity\r\n"
		       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		  0, 501 },
		{ HEAD "Transfer-Encoding: chunked\r\n"
		       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		  0, 400 },
		{ HEAD "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n", 0, 400 },
		{ HEAD "Transfer-Encoding: chunked\r\n\r\nx\r\n", 0, 400 },
		{ HEAD "Transfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n", 0,
		  400 },
		{ HEAD "Host: other\r\n\r\n", 0, 400 },
	};

	check_streams(cases, G_N_ELEMENTS(cases));
}

/* Guards against refusals of proper requests. */
static void test_proper_requests(void)
{
	static const struct stream_case cases[] = {
		{ HEAD "\r\n", 1, 0 },
		{ "\r\n\r\n" HEAD "\r\n" HEAD "\r\n\r\n", 2, 0 },
		{ HEAD "Content-Length: 3\r\n\r\nabc" HEAD "\r\n", 2, 0 },
		{ HEAD "\r\n" HEAD "Content-Length: 3\r\n\r\nabc", 2, 0,
		  "abc" },
		{ HEAD "Transfer-Encoding: chunked\r\n\r\n"
		       "3;a=b\r\nabc\r\n1\r\nd\r\n0\r\nX: y\r\n\r\n",
		  1, 0, "abcd" },
		{ HEAD "Transfer-Encoding: Chunked \r\n\r\n"
		       "1\r\nd\r\n0\r\n\r\n",
		  1, 0, "d" },
		{ "get-it /x HTTP/1.1\r\nHost: test\r\nUpgrade: h2c\r\n"
		  "Connection: Upgrade\r\nContent-Length: 1\r\n\r\na",
		  1, 0, "a" },
		{ HEAD "Transfer-Encoding-X: y\r\nContent-Length: 1\r\n\r\na",
		  1, 0, "a" },
		{ HEAD "Content-Length-X: 9\r\nTransfer-Encodings: z\r\n\r\n",
		  1, 0 },
		{ HEAD
		  "Transfer-Encoding: chunked\r\nTransfer-Encoding-X: y\r\n"
		  "\r\n1\r\na\r\n0\r\n\r\n",
		  1, 0, "a" },
		{ "CONNECT /x HTTP/1.1\r\n\r\n" HEAD "\r\n", 2, 0 },
		{ "GET / HTTP/1.1\nHost: test\nA:b\n\n", 1, 0 },
		{ "GET /x HTTP/1.0\r\n\r\n", 1, 0 },
		{ HEAD "Content-Length: 16\r\n\r\n0123456789abcdef", 1, 0,
		  "0123456789abcdef" },
	};

	check_streams(cases, G_N_ELEMENTS(cases));
}

/* Guards against requests over a limit that are read on. */
static void test_over_limit(void)
{
	char text[1024];
	struct stream_case cases[] = {
		{ HEAD "Content-Length: 17\r\n\r\n", 0, 413 },
		{ HEAD "Transfer-Encoding: chunked\r\n\r\n"
		       "10\r\n0123456789abcdef\r\n1\r\n0",
		  0, 413 },
		{ "GET / HTTP/2.0\r\n\r\n", 0, 505 },
		{ "GET /\r\n\r\n", 0, 505 },
		{ "\x16\x03\x01 x\r\n\r\n", 0, 400 },
		{ HEAD ": x\r\n\r\n", 0, 400 },
		{ HEAD "A b: x\r\n\r\n", 0, 400 },
		{ "\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n", 0, 400 },
		{ text, 0, 431 },
	};

	memset(text, 'a', sizeof(text) - 1);
	text[sizeof(text) - 1] = '\0';
	check_streams(cases, G_N_ELEMENTS(cases));
}

static const char *find_value(const struct http_request *q, const char *name)
{
	for (guint i = 0; i < q->headers->len; i++) {
		const struct http_header *h =
			&g_array_index(q->headers, struct http_header, i);

		if (!strcmp(h->name, name))
			return h->value;
	}
	return "missing";
}

/* Guards against texts of a request that change on the way. */
static void test_texts(void)
{
	const char *text = "M-x /a%2fb?c=%64&e HTTP/1.1\r\nHost: test\r\n"
			   "Empty:\r\nBlank: \t \r\nFolded: a\r\n b\r\n"
			   "Last:  c : d \t\r\n\r\n";
	struct request_reader r = { 0 };
	struct http_request *q;
	size_t used;

	CU_ASSERT_EQUAL(request_reader_feed(&r, &limits, text, strlen(text),
					    &used),
			REQUEST_HEAD_READ);
	CU_ASSERT_EQUAL(used, strlen(text));
	CU_ASSERT_EQUAL(request_reader_feed(&r, &limits, NULL, 0, &used),
			REQUEST_COMPLETE);
	q = request_reader_take(&r);
	CU_ASSERT_STRING_EQUAL(q->method, "M-x");
	CU_ASSERT_STRING_EQUAL(q->target, "/a%2fb?c=%64&e");
	CU_ASSERT_STRING_EQUAL(q->path, "/a/b");
	CU_ASSERT_EQUAL(q->headers->len, 5);
	CU_ASSERT_STRING_EQUAL(find_value(q, "Host"), "test");
	CU_ASSERT_STRING_EQUAL(find_value(q, "Empty"), "");
	CU_ASSERT_STRING_EQUAL(find_value(q, "Blank"), "");
	CU_ASSERT_STRING_EQUAL(find_value(q, "Folded"), "a   b");
	CU_ASSERT_STRING_EQUAL(find_value(q, "Last"), "c : d");
	CU_ASSERT_TRUE(q->is_kept);
	http_request_free(q);
}

/* Guards against a text that is cut at a NUL on the way. */
static void test_nul(void)
{
	static const char text[] = HEAD "A: b\0c\r\n\r\n";

	for (size_t i = 0; i < sizeof(text) - 5; i++) {
		struct request_reader r = { 0 };
		char bytes[sizeof(text)];
		size_t used;

		memcpy(bytes, text, sizeof(text));
		bytes[i] = '\0';
		CU_ASSERT_EQUAL(request_reader_feed(&r, &limits, bytes,
						    sizeof(text) - 1, &used),
				REQUEST_REFUSED);
		CU_ASSERT_EQUAL(r.status, 400);
		request_reader_clear(&r);
	}
}

CU_TestInfo request_reader_tests[] = {
	{ "ambiguous length", test_ambiguous_length },
	{ "proper requests", test_proper_requests },
	{ "over limit", test_over_limit },
	{ "texts", test_texts },
	{ "nul", test_nul },
	CU_TEST_INFO_NULL,
};
