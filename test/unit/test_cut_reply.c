#include "suites.h"

#include <string.h>

#include "net/reply_reader.h"

#define ECHO "Request-Id"

/* A whole reply, and the bytes of it that end with its last head. */
struct reply_case {
	const char *head;
	const char *body;
	bool is_head;
};

static const struct reply_case cases[] = {
	{ "HTTP/1.1 200 OK\r\nRequest-Id: own\r\nContent-Length: 4\r\n\r\n",
	  "body", false },
	{ "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nRequest-Id: own\r\n\r\n", "",
	  false },
	{ "HTTP/1.1 200 OK\r\nRequest-Id: own\r\n"
	  "Transfer-Encoding: chunked\r\n\r\n",
	  "4\r\nbody\r\n0\r\n\r\n", false },
	{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
	  "Request-Id: own\r\n\r\n",
	  "1\r\nb\r\n3;x=y\r\nody\r\n0\r\nTrailer: x\r\n\r\n", false },
	{ "HTTP/1.0 200 OK\r\nRequest-Id: own\r\n\r\n", "", false },
	{ "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
	  "Request-Id: own\r\nContent-Length: 4\r\n\r\n",
	  "body", false },
	{ "HTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 200\r\n"
	  "Request-Id: own\r\n\r\n",
	  "", false },
	/* A late reply to an earlier request, then the own one. */
	{ "HTTP/1.1 200 OK\r\nRequest-Id: old\r\nContent-Length: 1\r\n\r\nx"
	  "HTTP/1.1 200 OK\r\nRequest-Id: own\r\nContent-Length: 4\r\n\r\n",
	  "body", false },
	{ "HTTP/1.1 204 No\r\nRequest-Id: own\r\nX:\r\n folded\r\n\r\n", "",
	  false },
	{ "HTTP/1.1 200 OK\r\nRequest-Id: own\r\nContent-Length: 9\r\n\r\n", "",
	  true },
	{ "HTTP/1.1 200 OK\nRequest-Id: own\nContent-Length: 4\n\n", "body",
	  false },
};

/* Reads a text in pieces, and then the end of the stream. */
static enum reply_state read_text(const struct reply_case *c, const char *text,
				  size_t len, size_t piece)
{
	const struct reply_limits limits = { .body_max_bytes = 4096,
					     .other_max_bytes = 4096 };
	enum reply_state state = REPLY_INCOMPLETE;
	struct reply_reader r;

	reply_reader_init(&r, &limits, ECHO);
	reply_reader_begin(&r, "own", c->is_head);
	for (size_t at = 0; at < len && state == REPLY_INCOMPLETE; at += piece)
		state = reply_reader_feed(&r, text + at, MIN(piece, len - at));
	if (state == REPLY_INCOMPLETE)
		state = reply_reader_feed(&r, "", 0);
	reply_reader_clear(&r);
	return state;
}

/*
 * Guards against a reply that is taken for whole although the leaf has closed
 * the connection within its head, or within a body whose end is known.
 */
static void test_cut_at_each_byte(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct reply_case *c = &cases[i];
		char *text = g_strconcat(c->head, c->body, NULL);
		size_t len = strlen(text);

		for (size_t cut = 0; cut <= len; cut++) {
			enum reply_state state = cut < len ? REPLY_BROKEN
							   : REPLY_COMPLETE;

			for (size_t piece = 1; piece <= len; piece += 7)
				CU_ASSERT_EQUAL(read_text(c, text, cut, piece),
						state);
		}
		g_free(text);
	}
}

CU_TestInfo cut_reply_tests[] = {
	{ "cut at each byte", test_cut_at_each_byte },
	CU_TEST_INFO_NULL,
};
