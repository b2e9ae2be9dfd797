#include "net/http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <poll.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <glib.h>

#include "common/errors.h"
#include "common/events.h"

#define DEFAULT_MAX_BODY (1024 * 1024)
#define DEFAULT_MAX_CONNECTIONS 4096

struct http_server {
	struct MHD_Daemon *daemon;
	struct http_server_options options;
	size_t max_body;
	uint16_t port;
};

struct http_exchange {
	int refs;
	struct http_server *server;
	struct MHD_Connection *connection;
	char *method;
	char *path;
	GString *body;
	GHashTable *headers;
	bool is_too_large;
	bool is_submitted;
	/* Set by the answering thread, read after the resume. */
	struct MHD_Response *response;
	GPtrArray *reply_headers;
	unsigned int status;
	int fd;
};

static void exchange_unref(struct http_exchange *x)
{
	if (__atomic_sub_fetch(&x->refs, 1, __ATOMIC_ACQ_REL) > 0)
		return;
	if (x->response)
		MHD_destroy_response(x->response);
	g_free(x->method);
	g_free(x->path);
	g_string_free(x->body, TRUE);
	g_hash_table_destroy(x->headers);
	g_ptr_array_free(x->reply_headers, TRUE);
	g_free(x);
}

static enum MHD_Result handle_header(void *ctx, enum MHD_ValueKind kind,
				     const char *key, const char *value)
{
	struct http_exchange *x = ctx;

	if (value)
		g_hash_table_insert(x->headers, g_ascii_strdown(key, -1),
				    g_strdup(value));
	return MHD_YES;
}

static struct http_exchange *exchange_create(struct http_server *s,
					     struct MHD_Connection *connection,
					     const char *method,
					     const char *path)
{
	struct http_exchange *x = g_new0(struct http_exchange, 1);
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		connection, MHD_CONNECTION_INFO_CONNECTION_FD);

	x->refs = 1;
	x->server = s;
	x->connection = connection;
	x->method = g_strdup(method);
	x->path = g_strdup(path);
	x->body = g_string_new(NULL);
	x->fd = info ? info->connect_fd : -1;
	x->headers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	x->reply_headers = g_ptr_array_new_with_free_func(g_free);
	MHD_get_connection_values(connection, MHD_HEADER_KIND, handle_header,
				  x);
	return x;
}

static enum MHD_Result queue_too_large(struct MHD_Connection *connection)
{
	static char body[] = "{\"error\":\"E1508\",\"message\":\"request body "
			     "exceeds the limit\",\"run\":\"not_run\"}";
	struct MHD_Response *r = MHD_create_response_from_buffer(
		sizeof(body) - 1, body, MHD_RESPMEM_PERSISTENT);
	enum MHD_Result ret;

	MHD_add_response_header(r, "Content-Type", "application/json");
	ret = MHD_queue_response(connection, 413, r);
	MHD_destroy_response(r);
	event_log(EV_HTTP_REFUSE, "code=E%d", ERR_NET_BODY_SIZE);
	return ret;
}

static enum MHD_Result handle_access(void *ctx,
				     struct MHD_Connection *connection,
				     const char *url, const char *method,
				     const char *version, const char *data,
				     size_t *size, void **state)
{
	struct http_server *s = ctx;
	struct http_exchange *x = *state;

	if (!x) {
		*state = exchange_create(s, connection, method, url);
		return MHD_YES;
	}
	if (*size) {
		if (x->body->len + *size > s->max_body)
			x->is_too_large = true;
		else
			g_string_append_len(x->body, data, (gssize)*size);
		*size = 0;
		return MHD_YES;
	}
	if (x->is_too_large)
		return queue_too_large(connection);
	if (x->is_submitted)
		return MHD_queue_response(connection, x->status, x->response);
	x->is_submitted = true;
	x->refs++;
	MHD_suspend_connection(connection);
	s->options.handle_request(s->options.ctx, x);
	return MHD_YES;
}

static void handle_completed(void *ctx, struct MHD_Connection *connection,
			     void **state, enum MHD_RequestTerminationCode code)
{
	struct http_exchange *x = *state;

	*state = NULL;
	if (x)
		exchange_unref(x);
}

static int parse_address(const char *text, struct sockaddr_in *out)
{
	const char *colon = strrchr(text, ':');
	char ip[64];
	char *end;
	long port;

	if (!colon || (size_t)(colon - text) >= sizeof(ip))
		return -ERR_INVAL;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	port = strtol(colon + 1, &end, 10);
	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	if (*end || end == colon + 1 || port < 0 || port > 65535 ||
	    inet_pton(AF_INET, ip, &out->sin_addr) != 1)
		return -ERR_INVAL;
	out->sin_port = htons((uint16_t)port);
	return 0;
}

int http_server_create(struct http_server **out,
		       const struct http_server_options *options)
{
	const unsigned int flags = MHD_USE_EPOLL_INTERNAL_THREAD |
				   MHD_ALLOW_SUSPEND_RESUME;
	const union MHD_DaemonInfo *info;
	struct http_server *s;
	struct sockaddr_in addr;

	if (parse_address(options->address, &addr))
		return -ERR_INVAL;
	s = g_new0(struct http_server, 1);
	s->options = *options;
	s->max_body = options->max_body ? options->max_body : DEFAULT_MAX_BODY;
	s->daemon = MHD_start_daemon(
		flags, 0, NULL, NULL, handle_access, s, MHD_OPTION_SOCK_ADDR,
		&addr, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
		MHD_OPTION_NOTIFY_COMPLETED, handle_completed, s,
		MHD_OPTION_CONNECTION_LIMIT,
		options->max_connections ? options->max_connections
					 : DEFAULT_MAX_CONNECTIONS,
		MHD_OPTION_END);
	if (!s->daemon) {
		g_free(s);
		return -ERR_NET_LISTEN;
	}
	info = MHD_get_daemon_info(s->daemon, MHD_DAEMON_INFO_BIND_PORT);
	s->port = info ? info->port : 0;
	*out = s;
	return 0;
}

uint16_t http_server_port(const struct http_server *s)
{
	return s->port;
}

unsigned int http_server_connection_count(const struct http_server *s)
{
	const union MHD_DaemonInfo *info = MHD_get_daemon_info(
		s->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);

	return info ? info->num_connections : 0;
}

void http_server_destroy(struct http_server *s, int64_t timeout_us)
{
	const struct timespec pause = {.tv_nsec = 10 * 1000 * 1000};
	MHD_socket fd = MHD_quiesce_daemon(s->daemon);

	while (http_server_connection_count(s) && timeout_us > 0) {
		nanosleep(&pause, NULL);
		timeout_us -= pause.tv_nsec / 1000;
	}
	MHD_stop_daemon(s->daemon);
	if (fd != MHD_INVALID_SOCKET)
		close(fd);
	g_free(s);
}

const char *http_exchange_method(const struct http_exchange *x)
{
	return x->method;
}

const char *http_exchange_path(const struct http_exchange *x)
{
	return x->path;
}

const char *http_exchange_header(const struct http_exchange *x,
				 const char *name)
{
	char *key = g_ascii_strdown(name, -1);
	const char *value = g_hash_table_lookup(x->headers, key);

	g_free(key);
	return value;
}

const char *http_exchange_body(const struct http_exchange *x, size_t *len)
{
	*len = x->body->len;
	return x->body->str;
}

int http_exchange_is_gone(const struct http_exchange *x)
{
	struct pollfd p = {.fd = x->fd, .events = POLLRDHUP};

	return poll(&p, 1, 0) > 0 &&
	       (p.revents & (POLLRDHUP | POLLHUP | POLLERR));
}

void http_exchange_add_header(struct http_exchange *x, const char *name,
			      const char *value)
{
	g_ptr_array_add(x->reply_headers, g_strdup(name));
	g_ptr_array_add(x->reply_headers, g_strdup(value));
}

void http_exchange_reply(struct http_exchange *x, unsigned int status,
			 const char *content_type, const char *body, size_t len)
{
	x->status = status;
	x->response = MHD_create_response_from_buffer(len, (void *)body,
						      MHD_RESPMEM_MUST_COPY);
	MHD_add_response_header(x->response, "Content-Type", content_type);
	for (guint i = 0; i < x->reply_headers->len; i += 2)
		MHD_add_response_header(x->response, x->reply_headers->pdata[i],
					x->reply_headers->pdata[i + 1]);
	MHD_resume_connection(x->connection);
	exchange_unref(x);
}

void http_exchange_drop(struct http_exchange *x)
{
	shutdown(x->fd, SHUT_RDWR);
	http_exchange_reply(x, 503, "text/plain", "", 0);
}
