#include "net/http_internal.h"

#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

#include "common/clock.h"
#include "common/errors.h"

/* Backoff of callers whose request found no room; most bodies are short. */
#define NO_ROOM_RETRY_AFTER_S "1"
/* Backoff after a refusal that concerns one connection or one host only. */
#define ELSEWHERE_RETRY_AFTER_S "0"

struct http_exchange *http_exchange_create(struct http_connection *c,
					   struct http_request *request)
{
	struct http_exchange *x = g_new0(struct http_exchange, 1);

	x->server = c->server;
	x->caller = c;
	x->request = request;
	x->reply_headers = g_string_new(NULL);
	x->is_first = !c->is_used;
	return x;
}

void http_exchange_free(struct http_exchange *x)
{
	if (!x)
		return;
	__atomic_sub_fetch(&x->server->buffered_bytes, x->buffered_bytes,
			   __ATOMIC_RELAXED);
	http_request_free(x->request);
	g_string_free(x->reply_headers, TRUE);
	if (x->reply)
		g_string_free(x->reply, TRUE);
	g_free(x);
}

static void append_status_line(GString *out, unsigned int status)
{
	const char *text = http_status_str((enum http_status)status);

	g_string_append_printf(out, "HTTP/1.1 %u %s\r\n", status,
			       text[0] == '<' ? "Unknown" : text);
}

static void append_date(GString *out)
{
	char text[64];
	time_t now = time(NULL);
	struct tm utc;

	gmtime_r(&now, &utc);
	strftime(text, sizeof(text), "%a, %d %b %Y %H:%M:%S GMT", &utc);
	g_string_append_printf(out, "Date: %s\r\n", text);
}

GString *http_refusal_create(unsigned int status, int code)
{
	GString *out = g_string_new(NULL);
	char *body = g_strdup_printf("{\"error\":\"E%d\",\"message\":\"%s\","
				     "\"run\":\"not_run\"}",
				     code, error_text(code));

	append_status_line(out, status);
	append_date(out);
	g_string_append_printf(out,
			       "Connection: close\r\n"
			       "Content-Type: application/json\r\n"
			       "Content-Length: %zu\r\n",
			       strlen(body));
	if (status == 503)
		g_string_append_printf(out, "Retry-After: %s\r\n",
				       code == ERR_NET_NO_ROOM
					       ? NO_ROOM_RETRY_AFTER_S
					       : ELSEWHERE_RETRY_AFTER_S);
	g_string_append_printf(out, "\r\n%s", body);
	g_free(body);
	return out;
}

const char *http_exchange_method(const struct http_exchange *x)
{
	return x->request->method;
}

const char *http_exchange_path(const struct http_exchange *x)
{
	return x->request->path;
}

const char *http_exchange_target(const struct http_exchange *x)
{
	return x->request->target;
}

const GArray *http_exchange_headers(const struct http_exchange *x)
{
	return x->request->headers;
}

void http_exchange_remove_headers(struct http_exchange *x,
				  bool (*is_removed)(const char *name))
{
	GArray *headers = x->request->headers;

	for (guint i = headers->len; i-- > 0;) {
		const struct http_header *h =
			&g_array_index(headers, struct http_header, i);

		if (is_removed(h->name))
			g_array_remove_index(headers, i);
	}
}

const char *http_exchange_header(const struct http_exchange *x,
				 const char *name)
{
	const GArray *headers = x->request->headers;

	for (guint i = 0; i < headers->len; i++) {
		const struct http_header *h =
			&g_array_index(headers, struct http_header, i);

		if (!g_ascii_strcasecmp(h->name, name))
			return h->value;
	}
	return NULL;
}

const char *http_exchange_body(const struct http_exchange *x, size_t *len)
{
	*len = x->request->body->len;
	return x->request->body->str;
}

int http_exchange_is_caller_gone(const struct http_exchange *x)
{
	struct pollfd p = { .fd = x->caller->fd };

	/* After the server's own shutdown, POLLRDHUP is always set. */
	if (!http_connection_is_shut_down(x->caller))
		p.events = POLLRDHUP;
	return poll(&p, 1, 0) > 0 &&
	       (p.revents & (POLLRDHUP | POLLHUP | POLLERR));
}

int http_exchange_is_first(const struct http_exchange *x)
{
	return x->is_first;
}

int http_exchange_fd(const struct http_exchange *x)
{
	return x->caller->fd;
}

static void append_header(GString *out, const char *name, const char *value)
{
	g_string_append_printf(out, "%s: %s\r\n", name, value);
}

void http_exchange_add_header(struct http_exchange *x, const char *name,
			      const char *value)
{
	x->has_date = x->has_date || !g_ascii_strcasecmp(name, "Date");
	append_header(x->reply_headers, name, value);
}

/* Tells the caller whether, and for how long, it may reuse its connection. */
static void append_connection_headers(struct http_exchange *x, GString *out)
{
	const struct http_server *s = x->server;
	unsigned int keep_alive_s =
		__atomic_load_n(&s->keep_alive_s, __ATOMIC_RELAXED);

	x->is_last = !x->request->is_kept ||
		     __atomic_load_n(&s->is_draining, __ATOMIC_ACQUIRE) ||
		     http_connection_is_shut_down(x->caller);
	if (x->is_last) {
		append_header(out, "Connection", "close");
		return;
	}
	if (x->request->is_http_1_0)
		append_header(out, "Connection", "keep-alive");
	if (keep_alive_s)
		g_string_append_printf(out, "Keep-Alive: timeout=%u\r\n",
				       keep_alive_s);
}

/* Replies of these statuses end with the head. */
static bool has_no_body(unsigned int status)
{
	return status / 100 == 1 || status == 204 || status == 304;
}

static GString *create_reply(struct http_exchange *x, unsigned int status,
			     const char *content_type, const char *body,
			     size_t len)
{
	GString *out = g_string_sized_new(len + 512);

	append_status_line(out, status);
	if (!x->has_date)
		append_date(out);
	if (content_type)
		append_header(out, "Content-Type", content_type);
	append_connection_headers(x, out);
	g_string_append_len(out, x->reply_headers->str,
			    (gssize)x->reply_headers->len);
	if (!has_no_body(status))
		g_string_append_printf(out, "Content-Length: %zu\r\n", len);
	g_string_append(out, "\r\n");
	if (!has_no_body(status) && strcmp(x->request->method, "HEAD") != 0)
		g_string_append_len(out, body, (gssize)len);
	return out;
}

/* Passes the exchange with its answer to the server's thread, which frees it. */
static void deliver(struct http_exchange *x)
{
	struct http_server *s = x->server;
	bool is_first;

	pthread_mutex_lock(&s->lock);
	is_first = s->answered->len == 0;
	g_ptr_array_add(s->answered, x);
	pthread_mutex_unlock(&s->lock);
	if (is_first)
		http_server_wake(s);
	/* Once the count is 0, the server may be freed. */
	__atomic_sub_fetch(&s->unanswered_count, 1, __ATOMIC_SEQ_CST);
}

void http_exchange_reply(struct http_exchange *x, unsigned int status,
			 const char *content_type, const char *body, size_t len)
{
	x->reply = create_reply(x, status, content_type, body, len);
	deliver(x);
}

void http_exchange_drop(struct http_exchange *x)
{
	shutdown(x->caller->fd, SHUT_RDWR);
	x->is_dropped = true;
	deliver(x);
}
