#include <argp.h>
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Load generator. Each sender sends one request at a time over a keep-alive
 * connection. A sender ends when a connection is refused; a connection that
 * breaks after it was accepted counts as a failed request. With --raw, sends
 * each line of a file as one request and prints the status and the error of the
 * reply.
 */

#define REPLY_MAX 65536

struct client {
	const char *path;
	const char *body;
	long connections;
	/* Requests per sender; 0: send until a connection is refused. */
	long requests;
	bool is_idle;
	const char *raw_path;
	struct sockaddr_in address;
	unsigned long ok_count;
	unsigned long failed_count;
};

static const struct argp_option options[] = {
	{ "path", 'p', "PATH", 0, "Path of the request", 0 },
	{ "body", 'b', "TEXT", 0, "Body of the request", 0 },
	{ "connections", 'c', "N", 0, "Number of senders (default 1)", 0 },
	{ "requests", 'n', "N", 0, "Requests per sender (default: no end)", 0 },
	{ "idle", 'i', NULL, 0, "Connect, send nothing, wait for the end", 0 },
	{ "raw", 'r', "FILE", 0, "Send each line, with \\r and \\n, by itself",
	  0 },
	{ 0 },
};

static bool parse_address(const char *text, struct sockaddr_in *out)
{
	char ip[64];
	unsigned int port;

	if (sscanf(text, "%63[0-9.]:%u", ip, &port) != 2)
		return false;
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, ip, &out->sin_addr) == 1;
}

static error_t handle_option(int key, char *arg, struct argp_state *state)
{
	struct client *c = state->input;

	switch (key) {
	case 'p':
		c->path = arg;
		return 0;
	case 'b':
		c->body = arg;
		return 0;
	case 'c':
		c->connections = strtol(arg, NULL, 10);
		return 0;
	case 'n':
		c->requests = strtol(arg, NULL, 10);
		return 0;
	case 'i':
		c->is_idle = true;
		return 0;
	case 'r':
		c->raw_path = arg;
		return 0;
	case ARGP_KEY_ARG:
		if (!parse_address(arg, &c->address))
			argp_error(state, "malformed address");
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	options, handle_option, "IP:PORT", "Load for tests.", NULL, NULL, NULL,
};

static int open_connection(const struct client *c)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (!connect(fd, (const struct sockaddr *)&c->address,
		     sizeof(c->address)))
		return fd;
	close(fd);
	return -1;
}

static bool send_request(const struct client *c, int fd)
{
	char text[4096];
	int len = snprintf(text, sizeof(text),
			   "POST %s HTTP/1.1\r\nHost: test\r\n"
			   "Content-Type: application/json\r\n"
			   "Content-Length: %zu\r\n\r\n%s",
			   c->path, strlen(c->body), c->body);

	return send(fd, text, (size_t)len, MSG_NOSIGNAL) == len;
}

/* Reads a reply. Returns its status, or 0 if the connection ends first. */
static int read_reply(int fd, char *text, bool *is_closing)
{
	size_t len = 0;

	for (;;) {
		ssize_t n = recv(fd, text + len, REPLY_MAX - len, 0);
		const char *length;
		const char *end;

		if (n <= 0)
			return 0;
		len += (size_t)n;
		text[len] = '\0';
		end = strstr(text, "\r\n\r\n");
		length = strcasestr(text, "Content-Length:");
		if (!end || !length)
			continue;
		if (len <
		    (size_t)(end + 4 - text) + strtoul(length + 15, NULL, 10))
			continue;
		*is_closing = strcasestr(text, "Connection: close");
		return (int)strtol(text + 9, NULL, 10);
	}
}

static void *run_sender(void *ctx)
{
	struct client *c = ctx;
	char text[REPLY_MAX + 1];
	bool is_closing = false;
	int fd = -1;

	for (long i = 0; !c->requests || i < c->requests; i++) {
		if (fd < 0)
			fd = open_connection(c);
		if (fd < 0)
			return NULL;
		if (send_request(c, fd) &&
		    read_reply(fd, text, &is_closing) == 200) {
			__atomic_add_fetch(&c->ok_count, 1, __ATOMIC_RELAXED);
		} else {
			__atomic_add_fetch(&c->failed_count, 1,
					   __ATOMIC_RELAXED);
			is_closing = true;
		}
		if (is_closing) {
			close(fd);
			fd = -1;
		}
		is_closing = false;
	}
	if (fd >= 0)
		close(fd);
	return NULL;
}

static int hold_idle_connection(const struct client *c)
{
	int fd = open_connection(c);
	char byte;

	if (fd < 0)
		return EXIT_FAILURE;
	printf("connected\n");
	fflush(stdout);
	while (recv(fd, &byte, 1, 0) > 0)
		;
	close(fd);
	return EXIT_SUCCESS;
}

static size_t unescape_line(char *line)
{
	char *out = line;

	for (const char *in = line; *in && *in != '\n'; in++) {
		if (*in != '\\') {
			*out++ = *in;
			continue;
		}
		in++;
		*out++ = *in == 'r' ? '\r' : *in == 'n' ? '\n' : *in;
	}
	*out = '\0';
	return (size_t)(out - line);
}

static void send_raw_request(const struct client *c, char *line, int number)
{
	char text[REPLY_MAX + 1] = "";
	size_t len = unescape_line(line);
	const char *code;
	bool is_closing;
	int fd = open_connection(c);
	int status = 0;

	if (fd >= 0 && send(fd, line, len, MSG_NOSIGNAL) == (ssize_t)len)
		status = read_reply(fd, text, &is_closing);
	code = strstr(text, "\"error\":\"");
	printf("%d: %d %.5s\n", number, status, code ? code + 9 : "-");
	if (fd >= 0)
		close(fd);
}

static int send_raw_file(const struct client *c)
{
	FILE *file = fopen(c->raw_path, "r");
	char *line = NULL;
	size_t size = 0;
	int number = 0;

	if (!file)
		return EXIT_FAILURE;
	while (getline(&line, &size, file) > 0)
		send_raw_request(c, line, ++number);
	free(line);
	fclose(file);
	return EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	struct client c = { .path = "/", .body = "{}", .connections = 1 };
	pthread_t *threads;

	argp_parse(&argp, argc, argv, 0, NULL, &c);
	if (c.is_idle)
		return hold_idle_connection(&c);
	if (c.raw_path)
		return send_raw_file(&c);
	threads = calloc((size_t)c.connections, sizeof(*threads));
	for (long i = 0; i < c.connections; i++)
		pthread_create(&threads[i], NULL, run_sender, &c);
	for (long i = 0; i < c.connections; i++)
		pthread_join(threads[i], NULL);
	free(threads);
	printf("ok %lu failed %lu\n", c.ok_count, c.failed_count);
	return c.failed_count || !c.ok_count ? EXIT_FAILURE : EXIT_SUCCESS;
}
