#include "leaf.h"

#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "common/hash.h"
#include "net/http_server.h"
#include "reply.h"

#define MAX_SLOTS 64
#define HITS_PER_REPLY 5

struct leaf {
	struct http_server *server;
	pthread_mutex_t lock;
	pthread_cond_t wake;
	/** Behaviour; replaced as a whole by POST /control. */
	json_t *description;
	GQueue *queue;
	int in_service;
};

static int64_t get_integer(const json_t *d, const char *field, int64_t fallback)
{
	const json_t *v = json_object_get(d, field);

	return json_is_integer(v) ? json_integer_value(v) : fallback;
}

static void refuse(struct http_exchange *x, unsigned int status)
{
	http_exchange_add_header(x, "Nutmegpick-Run", "not_run");
	reply_json(x, status, json_pack("{s:s}", "run", "not_run"));
}

static bool holds_snapshot(const json_t *description, int64_t id)
{
	json_t *item;
	size_t i;

	json_array_foreach(json_object_get(description, "snapshots"), i, item)
	{
		if (json_integer_value(item) == id)
			return true;
	}
	return false;
}

static json_t *build_hits(const char *shard, const char *query)
{
	json_t *hits = json_array();

	for (uint64_t i = 0; i < HITS_PER_REPLY; i++) {
		uint64_t h = hash_string(query, hash_string(shard, i));
		char id[32];

		snprintf(id, sizeof(id), "doc-%08x", (unsigned int)h);
		json_array_append_new(
			hits,
			json_pack("{s:s,s:f}", "id", id, "score",
				  (double)(h >> 11) / (double)(1ULL << 53)));
	}
	return hits;
}

static void answer_search(struct http_exchange *x, const json_t *description)
{
	const char *attempt = http_exchange_header(x, "Nutmegpick-Attempt");
	const char *request = http_exchange_header(x, "Nutmegpick-Request");
	const char *snapshot = http_exchange_header(x, "Nutmegpick-Snapshot");
	const char *shard =
		json_string_value(json_object_get(description, "shard"));
	int64_t id = snapshot ? strtoll(snapshot, NULL, 10) : 0;
	size_t len;

	if (id && !holds_snapshot(description, id)) {
		refuse(x, 410);
		return;
	}
	reply_json(x, 200,
		   json_pack("{s:s,s:I,s:s,s:I,s:o}", "request",
			     request ? request : "", "attempt",
			     attempt ? (json_int_t)strtoll(attempt, NULL, 10)
				     : 0,
			     "shard", shard, "snapshot", (json_int_t)id, "hits",
			     build_hits(shard, http_exchange_body(x, &len))));
}

static void *run_slot(void *ctx)
{
	struct leaf *leaf = ctx;

	for (;;) {
		struct http_exchange *x;
		json_t *description;

		pthread_mutex_lock(&leaf->lock);
		while (g_queue_is_empty(leaf->queue) ||
		       leaf->in_service >=
			       get_integer(leaf->description, "slots", 1))
			pthread_cond_wait(&leaf->wake, &leaf->lock);
		x = g_queue_pop_head(leaf->queue);
		leaf->in_service++;
		description = json_deep_copy(leaf->description);
		pthread_mutex_unlock(&leaf->lock);

		g_usleep((gulong)get_integer(description, "service_us", 1000));
		answer_search(x, description);
		json_decref(description);

		pthread_mutex_lock(&leaf->lock);
		leaf->in_service--;
		pthread_cond_broadcast(&leaf->wake);
		pthread_mutex_unlock(&leaf->lock);
	}
	return NULL;
}

static void handle_search(struct leaf *leaf, struct http_exchange *x)
{
	const char *state =
		json_string_value(json_object_get(leaf->description, "state"));
	int64_t limit = get_integer(leaf->description, "queue", 100);
	char load[16];

	snprintf(load, sizeof(load), "%u",
		 leaf->queue->length + (unsigned int)leaf->in_service);
	http_exchange_add_header(x, "Nutmegpick-Load", load);
	if (state && !strcmp(state, "draining")) {
		http_exchange_add_header(x, "Nutmegpick-State", "draining");
		refuse(x, 503);
	} else if (leaf->queue->length >= limit) {
		refuse(x, 503);
	} else {
		g_queue_push_tail(leaf->queue, x);
		pthread_cond_broadcast(&leaf->wake);
	}
}

static void handle_report(struct leaf *leaf, struct http_exchange *x)
{
	json_t *snapshots = json_array();
	const json_t *state = json_object_get(leaf->description, "state");
	json_t *item;
	size_t i;

	json_array_foreach(json_object_get(leaf->description, "snapshots"), i,
			   item)
		json_array_append_new(snapshots, json_pack("{s:O,s:i}", "id",
							   item, "layout", 1));
	reply_json(x, 200,
		   json_pack("{s:O,s:o,s:i,s:s}", "shard",
			     json_object_get(leaf->description, "shard"),
			     "snapshots", snapshots, "load",
			     leaf->queue->length + leaf->in_service, "state",
			     state ? json_string_value(state) : "serving"));
}

static void handle_control(struct leaf *leaf, struct http_exchange *x)
{
	size_t len;
	const char *text = http_exchange_body(x, &len);
	json_t *changes = json_loadb(text, len, 0, NULL);

	if (!json_is_object(changes)) {
		json_decref(changes);
		reply_json(x, 400,
			   json_pack("{s:s}", "error", "not an object"));
		return;
	}
	json_object_update(leaf->description, changes);
	json_decref(changes);
	pthread_cond_broadcast(&leaf->wake);
	reply_json(x, 200, json_object());
}

static void handle_request(void *ctx, struct http_exchange *x)
{
	struct leaf *leaf = ctx;
	const char *path = http_exchange_path(x);

	pthread_mutex_lock(&leaf->lock);
	if (!strcmp(path, "/search"))
		handle_search(leaf, x);
	else if (!strcmp(path, "/report"))
		handle_report(leaf, x);
	else if (!strcmp(path, "/control"))
		handle_control(leaf, x);
	else
		reply_json(x, 404, json_object());
	pthread_mutex_unlock(&leaf->lock);
}

struct leaf *leaf_create(const json_t *description)
{
	struct leaf *leaf = g_new0(struct leaf, 1);
	struct http_server_options options = {
		.address = json_string_value(
			json_object_get(description, "address")),
		.max_connections = (unsigned int)get_integer(
			description, "connections", 1000),
		.handle_request = handle_request,
		.ctx = leaf,
	};
	pthread_t thread;

	pthread_mutex_init(&leaf->lock, NULL);
	pthread_cond_init(&leaf->wake, NULL);
	leaf->queue = g_queue_new();
	leaf->description = json_deep_copy(description);
	if (!options.address || http_server_create(&leaf->server, &options))
		return NULL;
	for (int64_t i = 0; i < get_integer(description, "slots", 1); i++)
		pthread_create(&thread, NULL, run_slot, leaf);
	return leaf;
}
