#ifndef NUTMEGPICKD_HOST_H
#define NUTMEGPICKD_HOST_H

#include <pthread.h>
#include <stdbool.h>

#include <glib.h>

#include "common/counter.h"
#include "common/ring.h"
#include "engine/engine.h"
#include "engine/merge.h"
#include "fleet/fleet.h"
#include "net/forward.h"
#include "net/http_server.h"
#include "net/transport.h"
#include "net/upstream.h"
#include "nutmegpickd/settings.h"

enum host_event_type {
	HOST_REQUEST,
	HOST_REPLY,
	HOST_SET,
	/** A frame of a peer. */
	HOST_FRAME,
	/** A link to a peer has closed. */
	HOST_LINK_CLOSED,
	/** Result of a store call that the fleet requested. */
	HOST_STORE_RESULT,
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
	link_id link;
	char address[PEER_ADDRESS_MAX];
	/** Frame; freed with the event. */
	void *data;
	size_t len;
	/** No frame on the closed link has reached the peer. */
	bool is_undelivered;
	uint64_t ticket;
	int code;
	uint64_t revision;
};

/** Destination of an answer: a caller, or the host that forwarded the query. */
struct origin {
	/** NULL if the query was forwarded. */
	struct http_exchange *exchange;
	/** 0 if the query came from a caller. */
	link_id link;
	uint64_t forward_id;
};

/** Query from its arrival, from a caller or another host, to its answer. */
struct host_query {
	struct host *host;
	uint64_t id;
	/** Empty once the query was cancelled, or refused at a stop. */
	struct origin origin;
	char request_id[ENGINE_ID_MAX];
	char *service;
	/** Body sent to every leaf. */
	char *leaf_body;
	size_t leaf_body_len;
	struct merge *merge;
};

/** State of the process, owned by the engine thread except for the rings. */
struct host {
	struct settings settings;
	struct np_clock clock;
	struct ring *events;
	struct engine *engine;
	struct http_server *server;
	struct upstream *upstream;
	/** NULL if no store is used. */
	struct store_thread *store_thread;
	struct object_set *set;
	/** NULL if the host has no peers. */
	struct transport *transport;
	struct peers *peers;
	struct set_transfer *transfer;
	struct fleet *fleet;
	/** Seat of this host in its failure domain, or NO_SEAT. */
	int32_t seat;
	/** Seats whose request keys this host owns, by key range. */
	GHashTable *owned_seats;
	/** The seat or a lease has changed since the table was built. */
	bool is_holder_table_stale;
	struct holder_table *holder_table;
	/** Queries that wait for another host's result, by forward id. */
	GHashTable *forwards;
	uint64_t last_forward_id;
	/** Queries in flight, by query id. */
	GHashTable *queries;
	/** Queries of leaf calls in flight, by call id. */
	GHashTable *calls;
	/**
	 * Hits of finished runs for request keys as JSON, kept to answer
	 * repeated requests; by query id.
	 */
	GHashTable *kept_hits;
	/** Wall-clock time at which the set came in force. */
	int64_t set_since_us;
	int64_t next_report_us;
	int64_t next_host_list_us;
	int64_t next_gone_check_us;
	bool is_draining;
	bool is_stopping;
	bool is_exiting;
	bool is_releasing_seat;
	/**
	 * End of the wait for other hosts' queries, then for the release of the
	 * seat.
	 */
	int64_t exit_deadline_us;
	pthread_t engine_thread;
};

/** Sends an event to the engine thread. Returns 0 or -ERR_FULL. */
int host_send_event(struct host *h, struct host_event event);

/**
 * Puts a set in force unless its version is not newer than the current one.
 * Owns the reference.
 */
void host_apply_set(struct host *h, struct object_set *set);

/** Frees events that were queued after the engine thread had ended. */
void host_drop_events(struct host *h);

/** Runs the engine thread until it gets HOST_EXIT. */
void *host_run_engine(void *host);

/** Handles a request of a caller on the engine thread. */
void query_start(struct host *h, struct http_exchange *x);

/** Handles a leaf's reply on the engine thread. */
void query_handle_reply(struct host *h, struct upstream_reply *reply);

/** Cancels queries whose callers have closed their connections. */
void query_cancel_gone(struct host *h);

/**
 * Refuses the queries in flight when the timeout of a stop has passed: those of
 * other hosts if is_forwarded is set, else those of callers.
 */
void query_refuse_all(struct host *h, bool is_forwarded);

/** Callbacks of the engine. */
extern const struct engine_ops query_engine_ops;

/**
 * Runs a request on this host that waited for another host. Returns 0, or a
 * negative result code if it was not run; the origin then stays open.
 */
int query_start_local(struct host *h, struct origin origin,
		      const struct engine_request *request);

/** Starts a query that another host forwarded. */
void query_start_forwarded(struct host *h, link_id link,
			   const struct forward_query *f);

/** Cancels a query that another host forwarded on a link. */
void query_cancel_forwarded(struct host *h, link_id link, uint64_t forward_id);

/** Returns whether an answer can still be sent. */
bool origin_is_open(const struct origin *o);

/** Sends a reply and empties the origin. */
void origin_reply(struct host *h, struct origin *o, unsigned int status,
		  uint32_t retry_after_s, const char *body, size_t len);

/** Sends an answer or a refusal. */
void answer_send(struct host_query *q, const struct engine_outcome *outcome);

/** Refuses a request; run states whether leaves may have run it. */
void answer_refuse(struct host *h, struct origin *o, const char *request_id,
		   int code, enum run_state run, int64_t retry_after_us);

/**
 * Forwards a request unless this host has to run it. A request with a key that
 * has no reachable owner waits for one. Returns 1 if the request was forwarded
 * or waits, 0 if this host has to run it, or a negative result code if it was
 * not run.
 */
int forward_start(struct host *h, struct http_exchange *x,
		  const struct engine_request *request);

/** Handles a frame that carries a query, its result or a cancel. */
void forward_handle_frame(struct host *h, const struct host_event *e,
			  const void *data, size_t len);

/** Retries or ends the queries forwarded over a link that has closed. */
void forward_handle_closed(struct host *h, const struct host_event *e);

/**
 * Ends forwarded queries whose deadline has passed or whose caller has gone,
 * and sends waiting ones to the owners of their keys.
 */
void forward_check_all(struct host *h);

/** Starts the links to peers. Returns 0 or a negative result code. */
int peers_start(struct host *h);

/** Stops the links and frees the fleet after the engine thread has ended. */
void peers_stop(struct host *h);

/** Handles a frame of another host. */
void peers_handle_frame(struct host *h, const struct host_event *e);

/** Handles a reply with the platform's host list. */
void peers_handle_host_list(struct host *h, const struct upstream_reply *reply);

/** Rebuilds the holders for a new set in force and announces it to peers. */
void peers_announce_set(struct host *h);

/** Runs timers of the fleet, of set transfers and of forwarded queries. */
void peers_advance(struct host *h);

/** Answers /healthz, /readyz, /statusz and /metrics. */
void page_send(struct host *h, struct http_exchange *x);

/** Requests the reports of this host's leaves when the interval has passed. */
void report_poll(struct host *h);

/** Handles the report of a leaf. */
void report_handle(struct host *h, const struct upstream_reply *reply);

#endif
