#include "net/request_reader.h"

#include <string.h>

#include "common/errors.h"
#include "net/http_coding.h"

/* Replaces the method for the parser, which knows registered methods only. */
#define PARSED_METHOD "POST"
/* Room in the parser's own limit for the replaced method. */
#define PARSER_MARGIN_BYTES 64
#define HEADERS_RESERVED 16
/* Most bytes of empty lines before a request. */
#define EMPTY_LINES_MAX 16

void http_request_free(struct http_request *q)
{
	if (!q)
		return;
	g_string_free(q->head, TRUE);
	g_free(q->path);
	g_array_free(q->headers, TRUE);
	g_string_free(q->body, TRUE);
	g_free(q);
}

void request_reader_clear(struct request_reader *r)
{
	if (r->head)
		g_string_free(r->head, TRUE);
	http_request_free(r->request);
	memset(r, 0, sizeof(*r));
}

bool request_reader_is_begun(const struct request_reader *r)
{
	return r->head || r->request;
}

size_t request_reader_memory(const struct request_reader *r)
{
	const struct http_request *q = r->request;

	if (r->head)
		return r->head->allocated_len;
	if (!q)
		return 0;
	return q->head->allocated_len + q->body->allocated_len +
	       q->headers->len * sizeof(struct http_header);
}

struct http_request *request_reader_take(struct request_reader *r)
{
	struct http_request *q = r->request;

	r->request = NULL;
	request_reader_clear(r);
	return q;
}

static enum request_state refuse(struct request_reader *r, unsigned int status,
				 int code)
{
	r->status = status;
	r->code = code;
	return REQUEST_REFUSED;
}

static int handle_url(http_parser *parser, const char *at, size_t len)
{
	struct request_reader *r = parser->data;

	r->request->target = at;
	return 0;
}

/* The head is parsed at once, so the parser reports each text whole. */
static int handle_header_field(http_parser *parser, const char *at, size_t len)
{
	struct request_reader *r = parser->data;
	struct http_header h = { .name = (char *)at };

	/* Blanks in a name could hide it from one of the receivers. */
	if (memchr(at, ' ', len))
		return 1;
	/* Fields of a trailer are dropped. */
	if (!r->head)
		return 0;
	http_coding_correct(parser, &r->has_coding, at, len);
	g_array_append_val(r->request->headers, h);
	return 0;
}

static int handle_header_value(http_parser *parser, const char *at, size_t len)
{
	struct request_reader *r = parser->data;
	GArray *headers = r->request->headers;

	if (r->head)
		g_array_index(headers, struct http_header, headers->len - 1)
			.value = len ? (char *)at : NULL;
	return 0;
}

static int handle_headers_complete(http_parser *parser)
{
	/* The connection stays with HTTP/1.1 whatever the caller proposes. */
	parser->upgrade = 0;
	return 0;
}

static int handle_body(http_parser *parser, const char *at, size_t len)
{
	struct request_reader *r = parser->data;

	g_string_append_len(r->request->body, at, (gssize)len);
	return 0;
}

static int handle_message_complete(http_parser *parser)
{
	struct request_reader *r = parser->data;

	r->is_complete = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_url = handle_url,
	.on_header_field = handle_header_field,
	.on_header_value = handle_header_value,
	.on_headers_complete = handle_headers_complete,
	.on_body = handle_body,
	.on_message_complete = handle_message_complete,
};

/* Returns the length of the head, or 0 if its end has not arrived. */
static size_t find_head_end(const char *text, size_t len, size_t from)
{
	const char *end = text + len;
	const char *at = text + from;

	while ((at = memchr(at, '\n', (size_t)(end - at)))) {
		at++;
		if (at < end && *at == '\n')
			return (size_t)(at + 1 - text);
		if (at + 1 < end && at[0] == '\r' && at[1] == '\n')
			return (size_t)(at + 2 - text);
	}
	return 0;
}

/* Joins header lines that are folded. */
static void unfold(GString *head)
{
	for (size_t i = 1; i + 1 < head->len; i++) {
		if (head->str[i] != '\n' ||
		    (head->str[i + 1] != ' ' && head->str[i + 1] != '\t'))
			continue;
		head->str[i] = ' ';
		if (head->str[i - 1] == '\r')
			head->str[i - 1] = ' ';
	}
}

static size_t measure_method(const GString *head)
{
	size_t len = 0;

	while (g_ascii_isalnum(head->str[len]) ||
	       (head->str[len] && strchr("!#$%&'*+-.^_`|~", head->str[len])))
		len++;
	return head->str[len] == ' ' ? len : 0;
}

/* Ends a text in the head, without the blanks behind it. */
static void end_text(char *text, const char *end_chars)
{
	size_t len = strcspn(text, end_chars);

	while (len && (text[len - 1] == ' ' || text[len - 1] == '\t'))
		len--;
	text[len] = '\0';
}

static void end_texts(struct http_request *q, size_t method_len)
{
	static char empty[] = "";

	q->head->str[method_len] = '\0';
	end_text((char *)q->target, " \r\n");
	for (guint i = 0; i < q->headers->len; i++) {
		struct http_header *h =
			&g_array_index(q->headers, struct http_header, i);

		if (h->value)
			end_text(h->value, "\r\n");
		else
			h->value = empty;
		end_text(h->name, ":");
	}
}

static char *decode_path(const char *target)
{
	size_t len = strcspn(target, "?");
	char *path = g_uri_unescape_segment(target, target + len, NULL);

	return path ? path : g_strndup(target, len);
}

/*
 * Applies the rules on headers that the parser leaves to its user. Returns 0 or
 * the status of a refusal.
 */
static unsigned int check_headers(struct http_request *q)
{
	uint32_t hosts = 0;
	uint32_t codings = 0;

	for (guint i = 0; i < q->headers->len; i++) {
		const struct http_header *h =
			&g_array_index(q->headers, struct http_header, i);

		if (!g_ascii_strcasecmp(h->name, "Host")) {
			hosts++;
		} else if (!g_ascii_strcasecmp(h->name, "Transfer-Encoding")) {
			if (g_ascii_strcasecmp(h->value, "chunked"))
				return 501;
			codings++;
		} else if (!g_ascii_strcasecmp(h->name, "Expect") &&
			   !g_ascii_strcasecmp(h->value, "100-continue")) {
			q->is_continue_expected = true;
		}
	}
	if (codings && q->is_http_1_0)
		return 400;
	return hosts > 1 || codings > 1 ? 400 : 0;
}

static void parse_text(struct request_reader *r, const char *text, size_t len)
{
	http_parser_execute(&r->parser, &parser_settings, text, len);
}

/* Raises the parser's limit, which holds for all parsers of the process. */
static void raise_parser_limit(size_t head_max_bytes)
{
	static uint32_t limit = HTTP_MAX_HEADER_SIZE;
	size_t wanted = head_max_bytes + PARSER_MARGIN_BYTES;
	uint32_t current = __atomic_load_n(&limit, __ATOMIC_RELAXED);

	if (wanted <= current || wanted > UINT32_MAX)
		return;
	__atomic_store_n(&limit, (uint32_t)wanted, __ATOMIC_RELAXED);
	http_parser_set_max_header_size((uint32_t)wanted);
}

static enum request_state parse_head(struct request_reader *r)
{
	struct http_request *q = g_new0(struct http_request, 1);
	size_t method_len = measure_method(r->head);
	unsigned int status;

	r->request = q;
	q->head = r->head;
	q->body = g_string_new(NULL);
	q->headers = g_array_sized_new(FALSE, TRUE, sizeof(struct http_header),
				       HEADERS_RESERVED);
	http_parser_init(&r->parser, HTTP_REQUEST);
	r->parser.data = r;
	unfold(r->head);
	parse_text(r, PARSED_METHOD, strlen(PARSED_METHOD));
	parse_text(r, r->head->str + method_len, r->head->len - method_len);
	/* The request owns the head now. */
	r->head = NULL;
	if (HTTP_PARSER_ERRNO(&r->parser) == HPE_INVALID_TRANSFER_ENCODING)
		return refuse(r, 501, ERR_NET_REQUEST);
	/* Texts end at a NUL, so one of them would change on the way. */
	if (!method_len || !q->target ||
	    memchr(q->head->str, '\0', q->head->len) ||
	    (HTTP_PARSER_ERRNO(&r->parser) != HPE_OK && !r->is_complete))
		return refuse(r, 400, ERR_NET_REQUEST);
	if (r->parser.http_major != 1)
		return refuse(r, 505, ERR_NET_REQUEST);
	q->is_http_1_0 = r->parser.http_minor == 0;
	end_texts(q, method_len);
	status = check_headers(q);
	if (status)
		return refuse(r, status, ERR_NET_REQUEST);
	q->method = q->head->str;
	q->path = decode_path(q->target);
	q->is_kept = http_should_keep_alive(&r->parser);
	return REQUEST_HEAD_READ;
}

/* Appends bytes to the head; sets end to its length once it is complete. */
static size_t append_head(struct request_reader *r, const char *data,
			  size_t len, size_t *end)
{
	size_t held = r->head ? r->head->len : 0;

	if (r->head) {
		g_string_append_len(r->head, data, (gssize)len);
		*end = find_head_end(r->head->str, r->head->len, r->scanned);
	} else {
		*end = find_head_end(data, len, 0);
		r->head = g_string_new_len(data, (gssize)(*end ? *end : len));
	}
	if (!*end) {
		/* The last two bytes may begin the end of the head. */
		r->scanned = r->head->len - MIN(r->head->len, 2);
		return len;
	}
	g_string_truncate(r->head, *end);
	return *end - held;
}

static size_t count_empty_lines(const char *data, size_t len)
{
	size_t n = 0;

	while (n < len && (data[n] == '\r' || data[n] == '\n'))
		n++;
	return n;
}

static enum request_state feed_head(struct request_reader *r,
				    const struct request_limits *limits,
				    const char *data, size_t len, size_t *used)
{
	size_t end;

	if (!r->head) {
		*used = count_empty_lines(data, len);
		r->empty_bytes += *used;
	}
	if (r->empty_bytes > EMPTY_LINES_MAX)
		return refuse(r, 400, ERR_NET_REQUEST);
	if (*used == len)
		return REQUEST_INCOMPLETE;
	*used += append_head(r, data + *used, len - *used, &end);
	if (end > limits->head_max_bytes ||
	    (!end && r->head->len >= limits->head_max_bytes))
		return refuse(r, 431, ERR_NET_HEAD_SIZE);
	if (!end)
		return REQUEST_INCOMPLETE;
	raise_parser_limit(limits->head_max_bytes);
	if (parse_head(r) == REQUEST_REFUSED)
		return REQUEST_REFUSED;
	if (r->parser.content_length != G_MAXUINT64 &&
	    r->parser.content_length > limits->body_max_bytes)
		return refuse(r, 413, ERR_NET_BODY_SIZE);
	return REQUEST_HEAD_READ;
}

enum request_state request_reader_feed(struct request_reader *r,
				       const struct request_limits *limits,
				       const char *data, size_t len,
				       size_t *used)
{
	*used = 0;
	if (r->status)
		return REQUEST_REFUSED;
	if (!r->request)
		return feed_head(r, limits, data, len, used);
	if (r->is_complete)
		return REQUEST_COMPLETE;
	if (!len)
		return REQUEST_INCOMPLETE;
	*used = http_parser_execute(&r->parser, &parser_settings, data, len);
	if (r->request->body->len > limits->body_max_bytes)
		return refuse(r, 413, ERR_NET_BODY_SIZE);
	if (r->is_complete)
		return REQUEST_COMPLETE;
	if (HTTP_PARSER_ERRNO(&r->parser) != HPE_OK)
		return refuse(r, 400, ERR_NET_REQUEST);
	return REQUEST_INCOMPLETE;
}
