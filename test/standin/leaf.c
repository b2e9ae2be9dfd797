#include "leaf.h"

#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <glib.h>

#include "behaviour.h"
#include "common/clock.h"
#include "common/hash.h"
#include "net/http_server.h"
#include "reply.h"

#define HITS_PER_REPLY 5
/* Interval at which a request checks whether its caller has left. */
#define CALLER_CHECK_US 2000

struct leaf {
	struct http_server *server;
	char *shard;
	pthread_mutex_t lock;
	pthread_cond_t wake;
	/** The lock guards this field and those below. */
	struct behaviour behaviour;
	GRand *random;
	int64_t cold_since_us;
	/** Jobs that wait for a slot. */
	GQueue *queue;
	int64_t in_service;
	int64_t thread_count;
	/** Object with an array of attempt numbers per request id. */
	json_t *executions;
	int64_t executed_count;
	int64_t refused_count;
	int64_t cancelled_count;
	int64_t report_count;
	int64_t peak_connections;
};

/** Request that waits for a slot. */
struct job {
	struct http_exchange *exchange;
	int64_t deadline_us;
};

static void reply_not_run(struct http_exchange *x, unsigned int status)
{
	http_exchange_add_header(x, "Nutmegpick-Run", "not_run");
	reply_json(x, status, json_pack("{s:s}", "run", "not_run"));
}

static int64_t get_number(struct http_exchange *x, const char *header)
{
	const char *text = http_exchange_header(x, header);

	return text ? strtoll(text, NULL, 10) : 0;
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

static json_t *build_answer(const struct leaf *leaf, struct http_exchange *x,
			    int64_t snapshot, enum leaf_fault fault)
{
	const char *request = http_exchange_header(x, "Nutmegpick-Request");
	int64_t attempt = get_number(x, "Nutmegpick-Attempt");
	size_t len;

	if (fault == FAULT_CROSS) {
		request = "another-request";
		attempt++;
	}
	return json_pack("{s:s,s:I,s:s,s:I,s:o}", "request",
			 request ? request : "", "attempt", (json_int_t)attempt,
			 "shard", leaf->shard, "snapshot", (json_int_t)snapshot,
			 "hits",
			 build_hits(leaf->shard, http_exchange_body(x, &len)));
}

/*
 * Writes a reply with its whole body, or half of it, directly to the socket,
 * bypassing the HTTP server.
 */
static void write_raw_reply(struct http_exchange *x, const char *body,
			    bool is_complete)
{
	char *text =
		g_strdup_printf("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n"
				"Content-Type: application/json\r\n\r\n%s",
				strlen(body), body);
	size_t len = strlen(text) - (is_complete ? 0 : strlen(body) / 2);

	if (send(http_exchange_fd(x), text, len, MSG_NOSIGNAL) < 0)
		perror("standin: send");
	g_free(text);
}

static void send_answer(struct leaf *leaf, struct http_exchange *x,
			int64_t snapshot, enum leaf_fault fault)
{
	json_t *document = build_answer(leaf, x, snapshot, fault);
	char *text = json_dumps(document, JSON_COMPACT);

	if (fault == FAULT_DUPLICATE || fault == FAULT_TRUNCATE)
		write_raw_reply(x, text, fault == FAULT_DUPLICATE);
	if (fault == FAULT_TRUNCATE || fault == FAULT_DROP_AFTER ||
	    fault == FAULT_DROP_BEFORE)
		shutdown(http_exchange_fd(x), SHUT_RDWR);
	json_decref(document);
	http_exchange_reply(x, 200, "application/json", text, strlen(text));
	free(text);
}

/*
 * Returns the fault of the next request and counts the request against
 * fault_count; called with the lock held.
 */
static enum leaf_fault take_fault(struct leaf *leaf)
{
	struct behaviour *b = &leaf->behaviour;

	if (b->fault == FAULT_NONE || !b->fault_count)
		return FAULT_NONE;
	if (b->fault_count > 0)
		b->fault_count--;
	return b->fault;
}

static void record_execution(struct leaf *leaf, struct http_exchange *x)
{
	const char *request = http_exchange_header(x, "Nutmegpick-Request");
	json_t *attempts;

	leaf->executed_count++;
	if (!request || !leaf->behaviour.service_us)
		return;
	attempts = json_object_get(leaf->executions, request);
	if (!attempts) {
		attempts = json_array();
		json_object_set_new(leaf->executions, request, attempts);
	}
	json_array_append_new(
		attempts, json_integer(get_number(x, "Nutmegpick-Attempt")));
}

/*
 * Waits for the service time or until the caller leaves; called and returns
 * with the lock held.
 */
static void serve_request(struct leaf *leaf, struct http_exchange *x,
			  int64_t service_us)
{
	int64_t end_us = g_get_monotonic_time() + service_us;
	int64_t left_us = service_us;

	leaf->in_service++;
	while (left_us > 0) {
		pthread_mutex_unlock(&leaf->lock);
		g_usleep((gulong)MIN(left_us, CALLER_CHECK_US));
		pthread_mutex_lock(&leaf->lock);
		left_us = end_us - g_get_monotonic_time();
		if (http_exchange_is_caller_gone(x))
			break;
	}
	leaf->in_service--;
}

/*
 * Keeps a request in its slot, before it is run, until holding is switched off
 * or the caller leaves; called and returns with the lock held.
 */
static void hold_request(struct leaf *leaf, struct http_exchange *x)
{
	leaf->in_service++;
	while (leaf->behaviour.is_holding && !http_exchange_is_caller_gone(x)) {
		pthread_mutex_unlock(&leaf->lock);
		g_usleep(CALLER_CHECK_US);
		pthread_mutex_lock(&leaf->lock);
	}
	leaf->in_service--;
}

static int64_t draw_service_us(struct leaf *leaf, const struct http_exchange *x)
{
	const struct behaviour *b = &leaf->behaviour;
	int64_t age_us = g_get_monotonic_time() - leaf->cold_since_us;
	int64_t service_us = behaviour_service_us(b, leaf->random, age_us);

	return service_us + (http_exchange_is_first(x) ? b->connect_us : 0);
}

/* Runs a request; called and returns with the lock held. */
static void run_request(struct leaf *leaf, struct http_exchange *x)
{
	int64_t snapshot = get_number(x, "Nutmegpick-Snapshot");
	enum leaf_fault fault;

	if (snapshot && !behaviour_has_snapshot(&leaf->behaviour, snapshot)) {
		leaf->refused_count++;
		reply_not_run(x, 410);
		return;
	}
	if (!snapshot)
		snapshot = behaviour_newest_snapshot(&leaf->behaviour);
	fault = take_fault(leaf);
	if (fault != FAULT_DROP_BEFORE) {
		record_execution(leaf, x);
		serve_request(leaf, x, draw_service_us(leaf, x));
	}
	pthread_mutex_unlock(&leaf->lock);
	send_answer(leaf, x, snapshot, fault);
	pthread_mutex_lock(&leaf->lock);
}

static void run_job(struct leaf *leaf, struct job *job)
{
	hold_request(leaf, job->exchange);
	if (http_exchange_is_caller_gone(job->exchange)) {
		leaf->cancelled_count++;
		reply_not_run(job->exchange, 503);
	} else if (job->deadline_us &&
		   g_get_monotonic_time() > job->deadline_us) {
		leaf->refused_count++;
		reply_not_run(job->exchange, 504);
	} else {
		run_request(leaf, job->exchange);
	}
	g_free(job);
}

static void *run_slot(void *ctx)
{
	struct leaf *leaf = ctx;

	pthread_mutex_lock(&leaf->lock);
	for (;;) {
		while (g_queue_is_empty(leaf->queue) ||
		       leaf->in_service >= leaf->behaviour.slots)
			pthread_cond_wait(&leaf->wake, &leaf->lock);
		run_job(leaf, g_queue_pop_head(leaf->queue));
	}
	return NULL;
}

static void start_slots(struct leaf *leaf)
{
	pthread_t thread;

	while (leaf->thread_count < leaf->behaviour.slots) {
		pthread_create(&thread, NULL, run_slot, leaf);
		pthread_detach(thread);
		leaf->thread_count++;
	}
}

static int64_t get_reported_load(const struct leaf *leaf)
{
	return behaviour_reported_load(&leaf->behaviour,
				       (int64_t)leaf->queue->length +
					       leaf->in_service);
}

static void queue_job(struct leaf *leaf, struct http_exchange *x)
{
	int64_t ms = get_number(x, "Nutmegpick-Deadline-Ms");
	struct job *job = g_new0(struct job, 1);

	job->exchange = x;
	if (ms > 0)
		job->deadline_us = g_get_monotonic_time() + ms * US_PER_MS;
	g_queue_push_tail(leaf->queue, job);
	pthread_cond_signal(&leaf->wake);
}

static void handle_search(struct leaf *leaf, struct http_exchange *x)
{
	const struct behaviour *b = &leaf->behaviour;
	char load[24];

	snprintf(load, sizeof(load), "%lld",
		 (long long)get_reported_load(leaf));
	http_exchange_add_header(x, "Nutmegpick-Load", load);
	if (b->is_draining)
		http_exchange_add_header(x, "Nutmegpick-State", "draining");
	if (b->is_draining || b->is_shedding ||
	    leaf->queue->length >= b->queue_limit) {
		leaf->refused_count++;
		reply_not_run(x, 503);
	} else if (b->is_repartitioned) {
		leaf->refused_count++;
		reply_not_run(x, 409);
	} else if (!b->service_us && !b->fault && !b->is_holding) {
		run_request(leaf, x);
	} else {
		queue_job(leaf, x);
	}
}

static const char *get_state_name(const struct leaf *leaf)
{
	const struct behaviour *b = &leaf->behaviour;

	if (b->is_draining)
		return "draining";
	if (g_get_monotonic_time() - leaf->cold_since_us < b->cold_us)
		return "cold";
	return "serving";
}

static void handle_report(struct leaf *leaf, struct http_exchange *x)
{
	const struct behaviour *b = &leaf->behaviour;
	json_t *snapshots = json_array();

	leaf->report_count++;
	for (int i = 0; i < b->snapshot_count; i++)
		json_array_append_new(snapshots,
				      json_pack("{s:I,s:i}", "id",
						(json_int_t)b->snapshots[i],
						"layout", 1));
	reply_json(x, 200,
		   json_pack("{s:s,s:o,s:I,s:s}", "shard", leaf->shard,
			     "snapshots", snapshots, "load",
			     (json_int_t)get_reported_load(leaf), "state",
			     get_state_name(leaf)));
}

static void handle_control(struct leaf *leaf, struct http_exchange *x)
{
	size_t len;
	const char *text = http_exchange_body(x, &len);
	json_t *changes = json_loadb(text, len, 0, NULL);

	if (!json_is_object(changes) ||
	    !behaviour_update(&leaf->behaviour, changes)) {
		json_decref(changes);
		reply_json(x, 400, json_pack("{s:s}", "error", "bad control"));
		return;
	}
	if (json_object_get(changes, "cold_us"))
		leaf->cold_since_us = g_get_monotonic_time();
	json_decref(changes);
	start_slots(leaf);
	pthread_cond_broadcast(&leaf->wake);
	reply_json(x, 200, json_object());
}

static void handle_counts(const struct leaf *leaf, struct http_exchange *x)
{
	reply_json(x, 200,
		   json_pack("{s:I,s:I,s:I,s:I,s:I}", "executed",
			     (json_int_t)leaf->executed_count, "refused",
			     (json_int_t)leaf->refused_count, "cancelled",
			     (json_int_t)leaf->cancelled_count, "reports",
			     (json_int_t)leaf->report_count, "most_connections",
			     (json_int_t)leaf->peak_connections));
}

static void handle_request(void *ctx, struct http_exchange *x)
{
	struct leaf *leaf = ctx;
	const char *path = http_exchange_path(x);

	pthread_mutex_lock(&leaf->lock);
	leaf->peak_connections =
		MAX(leaf->peak_connections,
		    http_server_connection_count(leaf->server));
	if (!strcmp(path, "/search"))
		handle_search(leaf, x);
	else if (!strcmp(path, "/report"))
		handle_report(leaf, x);
	else if (!strcmp(path, "/control"))
		handle_control(leaf, x);
	else if (!strcmp(path, "/executions"))
		reply_json(x, 200, json_deep_copy(leaf->executions));
	else if (!strcmp(path, "/counts"))
		handle_counts(leaf, x);
	else
		reply_json(x, 404, json_object());
	pthread_mutex_unlock(&leaf->lock);
}

struct leaf *leaf_create(const struct leaf_options *options)
{
	struct leaf *leaf = g_new0(struct leaf, 1);
	struct http_server_options server_options = {
		.address = options->address,
		.max_connections = options->connections,
		.handle_request = handle_request,
		.ctx = leaf,
	};

	pthread_mutex_init(&leaf->lock, NULL);
	pthread_cond_init(&leaf->wake, NULL);
	leaf->shard = g_strdup(options->shard);
	leaf->queue = g_queue_new();
	leaf->executions = json_object();
	leaf->random =
		g_rand_new_with_seed((guint32)hash_string(options->address, 0));
	leaf->cold_since_us = g_get_monotonic_time();
	behaviour_init(&leaf->behaviour);
	leaf->behaviour.slots = options->slots;
	leaf->behaviour.service_us = options->service_us;
	leaf->behaviour.snapshots[0] = 1;
	leaf->behaviour.snapshot_count = 1;
	/*
	 * The server may call handle_request() before http_server_create() has
	 * set leaf->server.
	 */
	pthread_mutex_lock(&leaf->lock);
	if (http_server_create(&leaf->server, &server_options))
		return NULL;
	start_slots(leaf);
	pthread_mutex_unlock(&leaf->lock);
	return leaf;
}
