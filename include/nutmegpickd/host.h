#ifndef NUTMEGPICKD_HOST_H
#define NUTMEGPICKD_HOST_H

#include <pthread.h>
#include <stdbool.h>

#include <glib.h>

#include "common/counter.h"
#include "common/ring.h"
#include "engine/engine.h"
#include "engine/merge.h"
#include "net/http_server.h"
#include "net/upstream.h"
#include "nutmegpickd/settings.h"

enum host_event_type {
	HOST_REQUEST,
	HOST_REPLY,
	HOST_SET,
	HOST_DRAIN,
	HOST_STOP,
	HOST_EXIT,
};

/** Message to the engine thread. */
struct host_event {
	enum host_event_type type;
	struct http_exchange *exchange;
	struct upstream_reply *reply;
	struct object_set *set;
};

/** Query of a caller, from its arrival to its answer. */
struct host_query {
	struct host *host;
	uint64_t id;
	/** NULL once the caller has left or was refused at a stop. */
	struct http_exchange *exchange;
	char request_id[ENGINE_ID_MAX];
	char *service;
	/** Body sent to every leaf. */
	char *leaf_body;
	size_t leaf_body_len;
	struct merge *merge;
};

/** State of the process; the engine thread owns all but the rings. */
struct host {
	struct settings settings;
	struct np_clock clock;
	struct ring *events;
	struct engine *engine;
	struct http_server *server;
	struct upstream *upstream;
	/** NULL where no store is used. */
	struct store_thread *store_thread;
	struct object_set *set;
	/** Queries in flight, by query id. */
	GHashTable *queries;
	/** Queries of leaf calls in flight, by call id. */
	GHashTable *calls;
	/** JSON hits of runs for request keys, by query id. */
	GHashTable *kept_hits;
	int64_t next_report_us;
	int64_t next_gone_check_us;
	bool is_draining;
	bool is_stopping;
	bool is_exiting;
	pthread_t engine_thread;
};

/** Sends an event to the engine thread. Returns 0 or -ERR_FULL. */
int host_send(struct host *h, struct host_event event);

/** Frees events that came after the engine thread's end. */
void host_drop_events(struct host *h);

/** Runs the engine thread until it gets HOST_EXIT. */
void *host_run_engine(void *host);

/** Takes a request of a caller on the engine thread. */
void query_start(struct host *h, struct http_exchange *x);

/** Takes a leaf's reply on the engine thread. */
void query_handle_reply(struct host *h, struct upstream_reply *reply);

/** Cancels queries whose callers have closed their connections. */
void query_check_gone(struct host *h);

/** Refuses every query in flight: the time to stop has run out. */
void query_stop_all(struct host *h);

/** Callbacks of the engine. */
extern const struct engine_ops query_engine_ops;

/** Writes an answer or a refusal to the caller and frees the query. */
void answer_send(struct host_query *q, const struct engine_outcome *outcome);

/** Refuses a request that never became a query. */
void answer_refuse(struct http_exchange *x, const char *request_id, int code,
		   int64_t retry_after_us);

/** Ends a query whose calls may have run. */
void answer_abandon(struct http_exchange *x, const char *request_id, int code);

/** Answers /healthz, /readyz, /statusz and /metrics. */
void page_send(struct host *h, struct http_exchange *x);

/** Asks all leaves for their reports when the interval has passed. */
void report_poll(struct host *h);

/** Takes the report of a leaf. */
void report_handle(struct host *h, const struct upstream_reply *reply);

#endif
