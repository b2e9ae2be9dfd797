#ifndef NUTMEGPICKD_ROUTE_INTERNAL_H
#define NUTMEGPICKD_ROUTE_INTERNAL_H

#include <pthread.h>

#include "common/ring.h"
#include "net/host_frame.h"
#include "net/http_server.h"
#include "net/leaf_client.h"
#include "net/peer.h"
#include "nutmegpickd/catalog.h"
#include "nutmegpickd/registry_thread.h"
#include "nutmegpickd/route_service.h"
#include "router/feed.h"
#include "router/router.h"
#include "router/start_hold.h"
#include "router/work_share.h"

enum route_event_type {
	ROUTE_EVENT_REQUEST,
	ROUTE_EVENT_CHANGES,
	ROUTE_EVENT_STORE,
	ROUTE_EVENT_FRAME,
	ROUTE_EVENT_LINK_CLOSED,
	ROUTE_EVENT_SETTINGS,
	ROUTE_EVENT_DRAIN,
	ROUTE_EVENT_EXIT,
};

/** Message to the router thread. */
struct route_event {
	enum route_event_type type;
	struct http_exchange *exchange;
	struct store_changes *changes;
	bool is_store_up;
	peer_link link;
	char address[PEER_ADDRESS_MAX];
	/** Of ROUTE_EVENT_FRAME; owned. */
	struct host_frame *frame;
	/** Of ROUTE_EVENT_SETTINGS. */
	uint32_t extra_calls;
	/** Of ROUTE_EVENT_LINK_CLOSED: no frame on the link was delivered. */
	bool is_undelivered;
};

/** Request that another host gathers for this one. */
struct forward {
	/** 0 if the request is not forwarded. */
	uint64_t id;
	char address[PEER_ADDRESS_MAX];
	int64_t sent_us;
	bool is_taken;
	/** A host had no time for the request already. */
	bool was_busy;
};

/** Request of a caller or of another host, from its arrival to its answer. */
struct caller_request {
	/** NULL if the request came from another host. */
	struct http_exchange *exchange;
	/** Host that asked, and its number of the request. */
	peer_link link;
	uint64_t remote_id;
	/** Frame that holds the request of another host. */
	struct host_frame *frame;
	/** Request in the router; 0 while it is forwarded. */
	uint64_t id;
	int64_t start_us;
	int64_t wait_us;
	/** Hosts that gather such requests if this is one of them, or 0. */
	uint32_t gatherers;
	/** The request waits for the first routes. */
	bool is_held;
	struct forward forward;
	GList link_node;
};

/** Batch of the router at another host. */
struct batch_link {
	uint64_t id;
	char address[PEER_ADDRESS_MAX];
	bool is_taken;
};

/** Result that came while the router was at work. */
struct late_result {
	uint64_t call_id;
	enum transfer_end end;
	struct leaf_reply *reply;
	/** What broke the transfer; a string that stays. */
	const char *cause;
};

struct route_service {
	struct settings settings;
	struct np_clock clock;
	struct ring *events;
	struct leaf_client *client;
	struct router *router;
	struct host_directory directory;
	struct catalog catalog;
	struct feed *feed;
	struct http_server *server;
	struct http_server *ready_server;
	/** NULL where no metrics are served. */
	struct http_server *metrics_server;
	struct registry_thread *registry;
	/** NULL where the host has no links to others. */
	struct peer *peer;
	/** Requests in flight. */
	GQueue requests;
	struct start_hold hold;
	struct work_share work;
	/** When the router thread last woke from its wait. */
	int64_t woke_us;
	/** The thread woke much later than it had asked for. */
	bool is_stalled;
	uint32_t held_count;
	/** Requests in flight that another host gathers, by forward id. */
	GHashTable *forwards;
	uint64_t last_forward_id;
	/** Of struct batch_link: batches at other hosts, by batch id. */
	GHashTable *batches;
	/** Of struct late_result. */
	GArray *late_results;
	GRand *random;
	bool is_draining;
	bool is_exiting;
	/** Read by the thread of the readiness check. */
	bool is_ready;
	int64_t next_sweep_us;
	int64_t next_gone_check_us;
	int64_t next_feed_us;
	int64_t next_callers_us;
	/** The server of callers is there. */
	bool is_listening;
	GString *head;
	pthread_t thread;
};

/** Sends an event to the router thread. */
void route_service_send(struct route_service *s, struct route_event event);

/* route_callers.c */
extern const struct router_ops route_router_ops;
/** Takes a request of a caller. */
void route_start_request(struct route_service *s, struct http_exchange *x);
/** Starts requests that waited for the first routes, if they are to go on. */
void route_release_held(struct route_service *s);
/** Takes a request that another host has handed on. */
void route_start_remote(struct route_service *s, peer_link link,
			struct host_frame *frame);
/** Drops a request that another host no longer needs. */
void route_cancel_remote(struct route_service *s, peer_link link, uint64_t id);
/** Drops all requests of a host. */
void route_cancel_link(struct route_service *s, peer_link link);
/** Gives a request that was forwarded to this host's own router. */
void route_run_here(struct route_service *s, struct caller_request *q,
		    bool is_repeat);
/** Ends a request with an answer. */
void route_answer(struct route_service *s, struct caller_request *q,
		  const struct router_answer *a);
/** Drops requests whose callers have closed their connections. */
void route_check_gone(struct route_service *s);

/* route_hosts.c */
extern const struct feed_ops route_feed_ops;
/** Starts the links to other hosts. Returns 0 or a negative result code. */
int route_hosts_start(struct route_service *s);
/** Hands a request to a better placed host; returns whether it did. */
bool route_forward(struct route_service *s, struct caller_request *q);
/** Tells the host that gathers that its result is not needed. */
void route_forward_cancel(struct route_service *s, struct caller_request *q);
/** Gathers here what other hosts have not taken in time. */
void route_forward_check(struct route_service *s);
/** Returns the time of the next check, or INT64_MAX. */
int64_t route_forward_next(const struct route_service *s);
/** Hands a batch of the router to a host; returns whether there is one. */
bool route_start_batch(struct route_service *s, const struct router_batch *b);
/** Tells the host that the result of a batch is not needed. */
void route_cancel_batch(struct route_service *s, uint64_t batch_id);
/** Sends the answer, or a part of it, to a request of another host. */
void route_send_gathered(struct route_service *s,
			 const struct caller_request *q,
			 const struct router_answer *a, bool is_more);
/** Takes an event of the links. */
void route_handle_frame(struct route_service *s, struct route_event *e);
void route_handle_closed(struct route_service *s, const struct route_event *e);

#endif
