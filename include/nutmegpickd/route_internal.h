#ifndef NUTMEGPICKD_ROUTE_INTERNAL_H
#define NUTMEGPICKD_ROUTE_INTERNAL_H

#include <pthread.h>

#include "common/ring.h"
#include "net/host_frame.h"
#include "net/http_server.h"
#include "net/leaf_client.h"
#include "net/transport.h"
#include "nutmegpickd/catalog.h"
#include "nutmegpickd/registry_thread.h"
#include "nutmegpickd/route_service.h"
#include "nutmegpickd/store_faults.h"
#include "router/feed.h"
#include "router/quota.h"
#include "router/rate_exchange.h"
#include "router/router.h"
#include "router/start_hold.h"
#include "router/token_exchange.h"
#include "router/work_share.h"

enum route_event_type {
	ROUTE_EVENT_REQUEST,
	/** Question to explain where a request would go. */
	ROUTE_EVENT_QUESTION,
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
	link_id link;
	char address[PEER_ADDRESS_MAX];
	/** Of ROUTE_EVENT_FRAME; owned. */
	struct host_frame *frame;
	/** Of ROUTE_EVENT_SETTINGS. */
	uint32_t extra_calls;
	bool revoke_strict;
	enum triage_mode triage;
	int64_t revoke_after_us;
	/** Of ROUTE_EVENT_DRAIN: when the last request is answered. */
	int64_t stop_us;
	/** Of ROUTE_EVENT_LINK_CLOSED: no frame on it reached the peer. */
	bool is_undelivered;
};

/** Forwarding state of a request that another host gathers for this one. */
struct gather_forward {
	/** 0 if the request is not forwarded. */
	uint64_t id;
	char address[PEER_ADDRESS_MAX];
	int64_t sent_us;
	/** The other host has accepted the request. */
	bool is_accepted;
	/** One host has already refused the request as overloaded. */
	bool was_busy;
	/** One host has handed the request back: it had no capacity in time. */
	bool was_handed_back;
};

/** Request of a caller or of another host, from its arrival to its answer. */
struct caller_request {
	/** NULL if the request came from another host. */
	struct http_exchange *exchange;
	/** Link to the host that sent the request, and the id that it uses. */
	link_id link;
	uint64_t remote_id;
	/** Frame that holds a request of another host; NULL for a caller's. */
	struct host_frame *frame;
	/** Id in the router; 0 while the request is forwarded or held. */
	uint64_t id;
	int64_t start_us;
	int64_t wait_us;
	/**
	 * Number of hosts that gather such requests; 0 if this host is none of
	 * them.
	 */
	uint32_t gatherers;
	/** What a caller of this host has told about itself. */
	struct credentials credentials;
	/**
	 * Organisation of a caller of this host when the request was last
	 * checked; NULL if there is none.
	 */
	char *organisation;
	/** The request waits for a token of the organisation's quota. */
	bool is_quota_waiting;
	/**
	 * Organisation by which the quota was asked. A newer table may have
	 * given the key to another one since.
	 */
	char *charged_organisation;
	/** Of the token that the request has taken; 0 if it needed none. */
	uint64_t quota_ticket;
	/** The request waits until this host has its first routes. */
	bool is_held;
	struct gather_forward forward;
	GList link_node;
};

/** Batch of shards that this host has sent to another host to gather. */
struct sent_batch {
	uint64_t id;
	char address[PEER_ADDRESS_MAX];
	/** The other host has accepted the batch. */
	bool is_accepted;
};

/** Result of a call that is queued for the router. */
struct pending_result {
	uint64_t call_id;
	enum leaf_call_end end;
	struct leaf_reply *reply;
	/** Why the call failed; a static string. */
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
	/** What this thread cannot read of its feed. */
	struct store_faults faults;
	struct feed *feed;
	struct http_server *server;
	struct http_server *ready_server;
	/** NULL if no metrics are served. */
	struct http_server *metrics_server;
	struct registry_thread *registry;
	/** NULL if the host has no links to others. */
	struct transport *transport;
	/** Requests in flight. */
	GQueue requests;
	/** Their number, as the thread that stops the service reads it. */
	guint request_count;
	struct start_hold hold;
	struct work_share work;
	/** Time at which the router thread last returned from its wait. */
	int64_t woke_us;
	/** The last wait ended more than STALL_US too late. */
	bool is_stalled;
	uint32_t held_count;
	/** When this host last heard from the store or from its feed. */
	int64_t news_us;
	/** The keys of the table are not trusted. */
	bool are_keys_stale;
	/** Requests of callers that another host gathers, by forward id. */
	GHashTable *forwards;
	uint64_t last_forward_id;
	/** Of struct sent_batch: batches on other hosts, by batch id. */
	GHashTable *batches;
	/** Of struct pending_result. */
	GArray *pending_results;
	struct rate_exchange *rates;
	struct quota *quota;
	/** What the metrics have counted. */
	struct quota_counts quota_counts;
	struct token_exchange *tokens;
	/** Whether the table of a version has rates of tokens. */
	bool has_quotas;
	/** This host followed another one when the store was last checked. */
	bool was_following;
	/** Last check of the record after a break of this host's grants. */
	int64_t checked_us;
	uint64_t quotas_version;
	GRand *random;
	bool is_draining;
	/** Every request is answered by this time; INT64_MAX before a stop. */
	int64_t stop_us;
	bool is_exiting;
	/** Read by the thread that serves the readiness check. */
	bool is_ready;
	int64_t next_sweep_us;
	int64_t next_gone_check_us;
	int64_t next_feed_us;
	int64_t next_callers_check_us;
	int64_t next_rates_sweep_us;
	/** The HTTP server for callers is running. */
	bool is_listening;
	/** Buffer for the head of a request to a leaf. */
	GString *call_head;
	pthread_t thread;
};

/** Sends an event to the router thread. */
void route_service_send_event(struct route_service *s,
			      struct route_event event);

/* route_callers.c */
extern const struct router_ops route_router_ops;
/** Starts a request of a caller, or holds it until the host has routes. */
void route_start_request(struct route_service *s, struct http_exchange *x);
/** Starts the held requests once routes are in force or the hold has ended. */
void route_release_held(struct route_service *s);
/** Starts a request that another host has forwarded. Owns the frame. */
void route_start_remote(struct route_service *s, link_id link,
			struct host_frame *frame);
/** Drops a request that another host has cancelled. */
void route_cancel_remote(struct route_service *s, link_id link, uint64_t id);
/** Drops all requests that came over a link. */
void route_cancel_link_requests(struct route_service *s, link_id link);
/**
 * Runs a request on this host's router. is_repeat means that leaves may have
 * run it for another host already.
 */
void route_run_locally(struct route_service *s, struct caller_request *q,
		       bool is_repeat);
/**
 * Finds the organisation of the caller of a request that may go to another
 * host, and removes from the request what that host must not see. Returns false
 * if the caller is not accepted; running the request here answers it.
 */
bool route_identify_caller(struct route_service *s, struct caller_request *q);
/** Sends the answer to a request and frees the request. */
void route_answer(struct route_service *s, struct caller_request *q,
		  const struct router_answer *a);
/** Starts a request whose quota was charged: forwards it or runs it here. */
void route_start_charged(struct route_service *s, struct caller_request *q);
/** Drops requests whose callers have closed their connections. */
void route_drop_gone_callers(struct route_service *s);

/* route_rates.c */
extern const struct rate_exchange_ops route_rate_ops;
/** Answers the claims of another host. */
void route_answer_claims(struct route_service *s, link_id link,
			 const char *address, const GArray *claims);

/* route_quotas.c */
void route_create_quotas(struct route_service *s);
/**
 * Charges a request of a caller to the quota of its organisation. Returns
 * whether it may start now; otherwise it waits, or is answered and freed.
 */
bool route_charge_quota(struct route_service *s, struct caller_request *q);
/** Lets a request that waits for its quota wait no longer. */
void route_cancel_quota(struct route_service *s, struct caller_request *q);
/** Returns how the quota would decide on a request; changes nothing. */
struct quota_view route_look_quota(const struct route_service *s,
				   const struct route *route,
				   const char *organisation);
/** Returns the charge of a request that was refused and did not run. */
void route_return_quota(struct route_service *s, struct caller_request *q);
/** Answers the claims of tokens of another host. */
void route_answer_token_claims(struct route_service *s, link_id link,
			       const GArray *claims);
/** Adds the latest decisions to the metrics. */
void route_report_quotas(struct route_service *s);
/** Sends the claims that are due and ends waits. */
void route_advance_quotas(struct route_service *s);
/** Tells the owner of rates when this host last heard from the store. */
void route_note_token_contact(struct route_service *s);

/* route_explain.c */
/** Path of questions on the server of the metrics. */
#define ROUTE_EXPLAIN_PATH "/explain-route"
/** Answers a question, on the router thread. */
void route_answer_question(struct route_service *s, struct http_exchange *x);
/**
 * Returns the explanation that the query of a target asks for, as JSON, and the
 * status of the answer; changes nothing. Free with free().
 */
char *route_explain(struct route_service *s, const char *target,
		    unsigned int *status);
/** Returns whether new requests are held until this host has routes. */
bool route_is_hold_open(const struct route_service *s);

/* route_hosts.c */
extern const struct feed_ops route_feed_ops;
/** Starts the links to other hosts. Returns 0 or a negative result code. */
int route_hosts_start(struct route_service *s);
/**
 * Forwards a request to the host that is to gather for its route. Returns false
 * if this host gathers itself.
 */
bool route_forward_request(struct route_service *s, struct caller_request *q);
/** Whether another host may gather for a route, or why not. */
enum forward_reason {
	FORWARD_ALLOWED,
	/** The route has one upstream, or this host has no links. */
	FORWARD_NOT_GATHERED,
	FORWARD_STOPPING,
	/** The region of this host is not allowed. */
	FORWARD_REGION,
	/** This host is one of those that gather. */
	FORWARD_GATHERS_ITSELF,
	/** The way to the other host takes too long. */
	FORWARD_NO_TIME,
};
struct forward_view {
	enum forward_reason reason;
	/** Of struct known_host: those that may gather; NULL if not listed. */
	GPtrArray *hosts;
};
/**
 * Returns whether a new request would be forwarded. The copy of the router is
 * that of an explanation; nothing else changes.
 */
struct forward_view route_look_forward(struct route_service *s,
				       struct router *copy,
				       const struct route *route,
				       const char *organisation);
/** Lets the forwarded requests end when this host stops, at the latest. */
void route_limit_forwards(struct route_service *s);
/** Sends a cancel for a forwarded request; its result is not needed. */
void route_cancel_forward(struct route_service *s, struct caller_request *q);
/**
 * Checks the timeouts of forwarded requests. A request that was not accepted in
 * time runs on this host; one that was accepted but not answered in time fails.
 */
void route_check_forwards(struct route_service *s);
/** Returns the time of the next timeout of a forward, or INT64_MAX. */
int64_t route_next_forward_check(const struct route_service *s);
/**
 * Sends a batch of the router to a host in the failure domain of the batch.
 * Returns false if there is none.
 */
bool route_start_batch(struct route_service *s, const struct router_batch *b);
/** Sends a cancel for a batch; its result is not needed. */
void route_cancel_batch(struct route_service *s, uint64_t batch_id);
/**
 * Sends the answer, or a part of it, to the host that forwarded the request.
 * is_more means that further parts follow.
 */
void route_send_result_to_sender(struct route_service *s,
				 const struct caller_request *q,
				 const struct router_answer *a, bool is_more);
/** Sends a frame to the host with an address, or on a link; frees it. */
void route_send_frame(struct route_service *s, const char *address,
		      GByteArray *frame);
void route_reply_frame(struct route_service *s, link_id link,
		       GByteArray *frame);
/** Handles a frame of another host, on the router thread. */
void route_handle_link_frame(struct route_service *s, struct route_event *e);
/** Handles the end of a link to another host, on the router thread. */
void route_handle_link_closed(struct route_service *s,
			      const struct route_event *e);

#endif
