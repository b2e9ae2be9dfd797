#include "host_list.h"

#include <pthread.h>
#include <string.h>

#include <glib.h>

#include "net/http_server.h"
#include "reply.h"

struct host_list_standin {
	struct http_server *server;
	pthread_mutex_t lock;
	json_t *document;
};

static void handle_control(struct host_list_standin *s, struct http_exchange *x)
{
	size_t len;
	const char *text = http_exchange_body(x, &len);
	json_t *document = json_loadb(text, len, 0, NULL);

	if (!json_is_array(json_object_get(document, "hosts"))) {
		json_decref(document);
		reply_json(x, 400,
			   json_pack("{s:s}", "error", "hosts is no array"));
		return;
	}
	json_decref(s->document);
	s->document = document;
	reply_json(x, 200, json_object());
}

static void handle_request(void *ctx, struct http_exchange *x)
{
	struct host_list_standin *s = ctx;

	pthread_mutex_lock(&s->lock);
	if (!strcmp(http_exchange_path(x), "/control"))
		handle_control(s, x);
	else
		reply_json(x, 200, json_incref(s->document));
	pthread_mutex_unlock(&s->lock);
}

struct host_list_standin *host_list_standin_create(const char *address)
{
	struct host_list_standin *s = g_new0(struct host_list_standin, 1);
	struct http_server_options options = {
		.address = address,
		.handle_request = handle_request,
		.ctx = s,
	};

	pthread_mutex_init(&s->lock, NULL);
	s->document = json_pack("{s:[]}", "hosts");
	if (http_server_create(&s->server, &options))
		return NULL;
	return s;
}
