#include "net/reply_reader.h"

#include <string.h>

#include "net/http_coding.h"

/* Memory of a header beside its characters: the entry and two blocks. */
#define HEADER_OVERHEAD (sizeof(struct http_header) + 2 * 24)
/* A buffer for the current header that has grown beyond this is replaced. */
#define HEADER_BUFFER_KEPT 4096

void reply_reader_init(struct reply_reader *r, const struct reply_limits *l,
		       const char *echo_header)
{
	memset(r, 0, sizeof(*r));
	r->limits = *l;
	r->echo_header = echo_header;
	r->field = g_string_new(NULL);
	r->value = g_string_new(NULL);
}

void reply_reader_clear(struct reply_reader *r)
{
	g_string_free(r->field, TRUE);
	g_string_free(r->value, TRUE);
	leaf_reply_unref(r->reply);
	g_free(r->request_id);
}

static void shrink_buffer(GString **buffer)
{
	if ((*buffer)->allocated_len <= HEADER_BUFFER_KEPT)
		return;
	g_string_free(*buffer, TRUE);
	*buffer = g_string_new(NULL);
}

void reply_reader_begin(struct reply_reader *r, const char *request_id,
			bool is_head)
{
	shrink_buffer(&r->field);
	shrink_buffer(&r->value);
	r->is_used = r->request_id != NULL;
	g_free(r->request_id);
	r->request_id = g_strdup(request_id ? request_id : "");
	r->is_head = is_head;
	r->other_bytes = 0;
	r->cause = NULL;
	r->is_reusable = true;
	r->is_dropping = false;
	r->is_value = false;
	r->is_for_earlier_request = false;
	r->is_complete = false;
	http_parser_init(&r->parser, HTTP_RESPONSE);
	r->parser.data = r;
}

static void flush_header(struct reply_reader *r)
{
	struct http_header h;

	if (!r->field->len)
		return;
	h.name = g_strndup(r->field->str, r->field->len);
	h.value = g_strndup(r->value->str, r->value->len);
	g_array_append_val(r->reply->headers, h);
	r->header_memory += r->field->len + r->value->len + HEADER_OVERHEAD;
	g_string_truncate(r->field, 0);
	g_string_truncate(r->value, 0);
	r->is_value = false;
}

/* Returns whether one more header may be read. */
static bool has_header_room(struct reply_reader *r)
{
	if (!r->limits.headers_max ||
	    r->reply->headers->len < r->limits.headers_max)
		return true;
	r->cause = "reply has too many headers";
	return false;
}

static int handle_message_begin(http_parser *parser)
{
	struct reply_reader *r = parser->data;

	leaf_reply_unref(r->reply);
	r->reply = leaf_reply_create();
	r->header_memory = 0;
	r->is_for_earlier_request = false;
	r->is_past_head = false;
	r->has_coding = false;
	r->is_value = false;
	g_string_truncate(r->field, 0);
	g_string_truncate(r->value, 0);
	return 0;
}

static int handle_header_field(http_parser *parser, const char *at, size_t len)
{
	struct reply_reader *r = parser->data;

	if (r->is_past_head)
		return 0;
	if (r->is_value)
		flush_header(r);
	if (!has_header_room(r))
		return 1;
	g_string_append_len(r->field, at, (gssize)len);
	return 0;
}

static int handle_header_value(http_parser *parser, const char *at, size_t len)
{
	struct reply_reader *r = parser->data;

	if (r->is_past_head)
		return 0;
	if (!r->is_value)
		http_coding_correct(parser, &r->has_coding, r->field->str,
				    r->field->len);
	r->is_value = true;
	g_string_append_len(r->value, at, (gssize)len);
	return 0;
}

/* Returns whether a reply repeats an id that is not the one of the request. */
static bool has_other_id(const struct reply_reader *r)
{
	for (guint i = 0; i < r->reply->headers->len; i++) {
		const struct http_header *h = &g_array_index(
			r->reply->headers, struct http_header, i);

		if (!g_ascii_strcasecmp(h->name, r->echo_header) &&
		    strcmp(h->value, r->request_id) != 0)
			return true;
	}
	return false;
}

/*
 * Returns whether a reply belongs to an earlier request: it repeats another id,
 * or is a success without an id. Failures without an id count as a match.
 */
static bool is_for_earlier_request(const struct reply_reader *r,
				   const char *echo)
{
	if (!*r->request_id)
		return false;
	return echo ? has_other_id(r) : r->reply->status / 100 == 2;
}

/*
 * A failure without an id may be a late reply to an earlier request if the
 * connection has carried one. It does not show that this request was not run.
 */
static bool is_ambiguous_failure(const struct reply_reader *r, const char *echo)
{
	return *r->request_id && !echo && r->is_used &&
	       r->reply->status / 100 > 2;
}

static bool is_body_too_long(const struct reply_reader *r)
{
	return r->parser.content_length != G_MAXUINT64 && !r->is_head &&
	       r->parser.content_length > r->limits.body_max_bytes;
}

static int handle_headers_complete(http_parser *parser)
{
	struct reply_reader *r = parser->data;
	const char *echo;

	flush_header(r);
	r->is_past_head = true;
	r->reply->status = parser->status_code;
	echo = leaf_reply_header(r->reply, r->echo_header);
	r->is_for_earlier_request = is_for_earlier_request(r, echo);
	if (parser->http_major != 1)
		r->cause = "reply has an unknown version";
	else if (parser->status_code < 100 || parser->status_code > 599)
		r->cause = "reply has an invalid status";
	else if (is_ambiguous_failure(r, echo))
		r->cause = "failure without a request id";
	else if (!r->is_for_earlier_request && is_body_too_long(r))
		r->cause = "reply body exceeds the limit";
	/* Any value but 0 and 1 stops the parser. */
	if (r->cause)
		return -1;
	return r->is_head ? 1 : 0;
}

static int handle_body(http_parser *parser, const char *at, size_t len)
{
	struct reply_reader *r = parser->data;

	if (r->is_for_earlier_request || r->is_dropping)
		return 0;
	if (r->reply->body->len + len > r->limits.body_max_bytes) {
		r->cause = "reply body exceeds the limit";
		return 1;
	}
	g_byte_array_append(r->reply->body, (const guint8 *)at, (guint)len);
	return 0;
}

static int handle_message_complete(http_parser *parser)
{
	struct reply_reader *r = parser->data;

	if (r->is_for_earlier_request || parser->status_code / 100 == 1) {
		/* More late replies may follow on this connection. */
		if (r->is_for_earlier_request)
			r->is_reusable = false;
		return 0;
	}
	r->is_complete = true;
	if (!http_should_keep_alive(parser))
		r->is_reusable = false;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = handle_message_begin,
	.on_header_field = handle_header_field,
	.on_header_value = handle_header_value,
	.on_headers_complete = handle_headers_complete,
	.on_body = handle_body,
	.on_message_complete = handle_message_complete,
};

size_t reply_reader_buffered_bytes(const struct reply_reader *r)
{
	return r->reply ? r->reply->body->len : 0;
}

size_t reply_reader_memory(const struct reply_reader *r)
{
	return reply_reader_buffered_bytes(r) + r->header_memory +
	       r->field->allocated_len + r->value->allocated_len;
}

static enum reply_state fail_reply(struct reply_reader *r, const char *cause)
{
	if (!r->cause)
		r->cause = cause;
	r->is_reusable = false;
	return REPLY_BROKEN;
}

enum reply_state reply_reader_feed(struct reply_reader *r, const char *data,
				   size_t len)
{
	size_t held = reply_reader_buffered_bytes(r);
	size_t used =
		http_parser_execute(&r->parser, &parser_settings, data, len);

	if (r->is_complete) {
		/* Bytes after the reply do not belong to a request. */
		if (used < len)
			r->is_reusable = false;
		return REPLY_COMPLETE;
	}
	if (HTTP_PARSER_ERRNO(&r->parser) != HPE_OK || r->parser.upgrade)
		return fail_reply(r, "not an HTTP reply");
	if (!len)
		return fail_reply(r, "connection closed");
	held = MAX(reply_reader_buffered_bytes(r), held) - held;
	r->other_bytes += len - MIN(held, len);
	if (r->other_bytes > r->limits.other_max_bytes)
		return fail_reply(r, "too many bytes outside the body");
	return REPLY_INCOMPLETE;
}

void reply_reader_drop_body(struct reply_reader *r)
{
	r->is_dropping = true;
	if (!r->reply)
		return;
	/* Setting the size to 0 would keep the memory of the array. */
	g_byte_array_free(r->reply->body, TRUE);
	r->reply->body = g_byte_array_new();
}

struct leaf_reply *reply_reader_take(struct reply_reader *r)
{
	struct leaf_reply *reply = r->reply;

	r->reply = NULL;
	r->header_memory = 0;
	return reply;
}
