#ifndef ROUTER_INTERNAL_H
#define ROUTER_INTERNAL_H

#include "engine/heap.h"
#include "engine/latency.h"
#include "engine/query.h"
#include "router/leaf_access.h"
#include "router/identity.h"
#include "router/router.h"
#include "router/triage.h"

/** Longer waits are cut to this, so that sums of times do not overflow. */
#define WAIT_MAX_US (INT64_MAX / 4)
/** Maximum number of calls in flight for one part. */
#define PART_CALLS_MAX 3
/** Maximum number of batches of one request; other hosts answer them. */
#define REQUEST_BATCHES_MAX 2
/** Maximum number of leaves that are recorded as tried for one part. */
#define PART_TRIED_MAX 6

/**
 * What is known of a route by its name and upstreams. It is kept when a new
 * table is put in force, unless the route is gone or has other upstreams.
 * Requests and calls hold references.
 */
struct route_stats {
	int refs;
	/** Unique within a router. */
	uint64_t id;
	char *name;
	/** Hash of the upstreams and the shape, whatever their order. */
	uint64_t upstreams_hash;
	/** Durations of answered calls. */
	struct latency call_latency;
	/** The same without the wait in the queues of the leaves. */
	struct latency call_work;
	struct work_estimate work;
	/** Class of the work, if a request was classified before. */
	uint32_t weight;
	bool has_weight;
	struct triage_class class;
	/** Not used. */
	int64_t longest_wait_us;
	/**
	 * Cached number of shards that have a usable leaf, by failure domain,
	 * and the time when they were counted.
	 */
	GHashTable *shard_counts;
	int64_t shard_counts_at_us;
	/**
	 * Position of the last request in the range of 64 bits, of which each
	 * target of a split has the part of its weight. It does not depend on
	 * the weights, so it remains valid when they change.
	 */
	uint64_t split_position;
};

/**
 * What is known of an organisation by its name. It is dropped when a table
 * without the organisation is put in force. Requests hold references.
 */
struct organisation_stats {
	int refs;
	struct triage_class class;
	struct triage_demand demand;
};

struct router_timer {
	struct heap_node node;
	void (*fire)(struct router *r, struct router_timer *t);
};

enum part_phase {
	/** No call has been sent: no leaf is free. */
	PART_WAITING,
	/** A call or a batch is in flight, or a retry is scheduled. */
	PART_RUNNING,
	PART_ANSWERED,
	PART_FAILED,
};

struct leaf_call;
struct route_request;

/** Parts of a request that are sent to another host as one batch. */
struct part_batch {
	uint64_t id;
	struct route_request *request;
	/** Further results may arrive. */
	bool is_open;
	/** Merged records and stamps of the parts received so far. */
	GByteArray *body;
	GPtrArray *stamps;
};

/** Part of a request that one upstream answers. */
struct route_part {
	struct route_request *request;
	struct upstream_pool *pool;
	enum part_phase phase;
	/**
	 * Calls in flight. call_count increases when a call is sent, and
	 * decreases when its result arrives or it is cancelled or detached.
	 * Batches are not counted.
	 */
	struct leaf_call *calls[PART_CALLS_MAX];
	uint32_t call_count;
	/** Leaf of the first call, or NULL if the part waits for one. */
	struct route_leaf *planned_leaf;
	/** part_plan() has chosen; a batch is possible only before. */
	bool is_planned;
	/** No leaf can answer in time; no call is sent. */
	bool is_infeasible;
	/**
	 * Calls that a leaf may have run. Increases when a call is sent and
	 * when the part joins a batch. Decreases when a call of the part ends
	 * with CALL_NOT_RUN, CALL_MISDIRECTED or CALL_NOT_SENT, and when the
	 * part leaves a batch that called no leaf for it. part_start() sets it
	 * to 1 if the request is a repeat and the part is feasible.
	 */
	uint32_t run_count;
	/**
	 * Calls sent, also those that no leaf ran; a batch counts as one.
	 * Starts at 0 also for a repeat, increases when a call is sent and when
	 * the part joins a batch, and never decreases.
	 */
	uint32_t sent_count;
	/**
	 * Leaves that are not chosen again for this part. A leaf is added when
	 * a call to it is sent, if there is room, and the planned leaf when the
	 * part joins a batch. A leaf of a gather is removed when a call to it
	 * ends with CALL_NOT_RUN, unless the part has sent RETRY_REFUSED_MAX
	 * calls.
	 */
	const struct route_leaf *tried[PART_TRIED_MAX];
	uint32_t tried_count;
	/** Next hedge, or next attempt to replace a failed call. */
	struct router_timer timer;
	/** Entry in the queue of the pool while the part waits. */
	struct triage_entry entry;
	/** A leaf is expected to be free only too late. */
	bool is_crowded;
	struct leaf_reply *reply;
	/** Stamp of the reply; points into the reply. */
	const char *stamp;
	/** Batch that the part belongs to, or NULL. */
	struct part_batch *batch;
	/** The part holds a reference to planned_leaf. */
	bool holds_planned_leaf;
	/** The answer is among the merged records of the batch. */
	bool is_in_batch;
	/**
	 * Of a partial request: the result of the part has been sent to the
	 * gathering host.
	 */
	bool is_sent;
	/** Last failure reply that may be passed on to the caller. */
	struct leaf_reply *failure_reply;
};

/** Why a request was refused, with the figures; for the log. */
struct triage_refusal {
	enum triage_reason reason;
	int64_t wait_us;
	int64_t work_us;
	int64_t left_us;
	uint32_t waiting_count;
	/** A leaf was free: the refusal shows no lack of capacity. */
	bool is_leaf_free;
};

/** Request in flight. */
struct route_request {
	uint64_t id;
	char request_id[REQUEST_ID_MAX];
	struct route_table *table;
	const struct route *route;
	/** What the caller has told, as in struct router_request. */
	struct credentials credentials;
	char *claimed_organisation;
	/**
	 * Organisation of the caller, in identity_table; NULL if there is none.
	 */
	const struct organisation *organisation;
	/** Newest table by which the caller was accepted. */
	struct route_table *identity_table;
	/** Value of router.identity_epoch when the caller was checked. */
	uint64_t identity_epoch;
	/**
	 * Result code and status of a request whose caller is not accepted any
	 * more, for the case that no leaf has run it; 0 otherwise.
	 */
	int denied_code;
	unsigned int denied_status;
	/** That of the organisation, or else of the route; 0 is first. */
	uint32_t priority;
	/**
	 * Regions in which leaves may be called, and the version of the table
	 * and the organisation that allow them; leaf_access.c updates them.
	 */
	uint64_t regions;
	uint64_t regions_version;
	const struct organisation *regions_organisation;
	struct route_stats *stats;
	/** Of the organisation at the arrival of the request, or NULL. */
	struct organisation_stats *organisation_stats;
	struct triage_value value;
	/** Starts although its estimated work excludes it. */
	bool is_trial;
	struct triage_refusal refusal;
	/** Next review while parts wait and no call was sent. */
	struct router_timer review_timer;
	int64_t start_us;
	/** Deadline of the caller, or the stop of this host if that is first. */
	int64_t deadline_us;
	bool is_cut_by_stop;
	/** A request that cannot be answered by this time is refused at once. */
	int64_t plan_until_us;
	/** Latency goal; a later answer has lost most of its value. */
	int64_t goal_at_us;
	/** Minimum time before a second leaf is called. */
	int64_t hedge_min_us;
	struct route_part *parts;
	uint32_t part_count;
	/** Parts in the phases PART_ANSWERED and PART_FAILED. */
	uint32_t answered_count;
	uint32_t failed_count;
	/** Calls sent in addition to the first call of each part. */
	uint32_t extra_call_count;
	/**
	 * Number of hosts that gather such requests, or 0 if this host is not
	 * one of them.
	 */
	uint32_t gatherers;
	/**
	 * Another host may have called leaves for the request before: the first
	 * calls count against the budget of extra calls.
	 */
	bool is_repeat;
	/** Batches that other hosts answer. */
	struct part_batch *batches[REQUEST_BATCHES_MAX];
	uint32_t batch_count;
	/** The request is a batch that another host has sent. */
	bool is_partial;
	/** The latency goal has passed, and the request has not ended. */
	bool is_past_goal;
	/**
	 * Several parts are being changed: request_handle_part_end() returns at
	 * once and is called again after the last change.
	 */
	bool is_updating_parts;
	struct router_timer timer;
	void *user;
};

/** Call to a leaf in flight. */
struct leaf_call {
	uint64_t id;
	/** NULL once the call is detached from its part. */
	struct route_part *part;
	struct route_stats *stats;
	struct route_leaf *leaf;
	/** Link of the call in the queue of the leaf. */
	GList *link;
	int64_t start_us;
	/** Duration above which the call is late; 0 if not known. */
	int64_t late_after_us;
	bool is_extra;
	/** Calls expected to wait at the leaf when the call was sent. */
	double queued;
	/** Duration without the wait at the leaf, once the call has ended. */
	int64_t work_us;
};

struct router {
	struct router_options options;
	struct leaf_set leaves;
	struct route_table *table;
	/** Increases when the callers of requests have to be checked again. */
	uint64_t identity_epoch;
	/** Keys are not to be trusted, see router_set_keys_stale(). */
	bool are_keys_stale;
	/** struct route_stats by route name. */
	GHashTable *stats;
	uint64_t last_stats_id;
	struct id_table requests;
	struct id_table calls;
	/** Open batches by id. */
	GHashTable *batches;
	uint64_t last_batch_id;
	struct heap timers;
	/** options.triage applies to the table in force. */
	bool has_triage;
	/** Pools with parts that wait for a leaf. */
	GPtrArray *waiting_pools;
	/** Requests of all routes. */
	struct triage_class class;
	struct triage_demand demand;
	/** struct organisation_stats by name. */
	GHashTable *organisations;
	/** Leaves that name a rate limit; each holds a reference. */
	GPtrArray *limited_leaves;
	/** Leaves whose calls need tokens; each holds a reference. */
	GPtrArray *cold_leaves;
	/** When the next claim of a share of their limits is due. */
	int64_t next_claims_us;
	int64_t next_sweep_us;
	/** Effects of the limits on places; the rest is not filled in. */
	struct router_place_counts place_counts;
	int64_t next_retry_us;
	uint32_t host_count;
	/** When this host stops, at the latest; INT64_MAX if it does not. */
	int64_t stop_us;
	GRand *random;
};

static inline int64_t router_now(const struct router *r)
{
	return clock_now(&r->options.clock);
}

void router_timer_arm(struct router *r, struct router_timer *t, int64_t at_us,
		      void (*fire)(struct router *r, struct router_timer *t));
void router_timer_disarm(struct router *r, struct router_timer *t);

/**
 * Returns the number of extra calls in 10 s that this host may make to an
 * upstream for requests like this one, in addition to those that the ratio
 * permits.
 */
double router_extra_allowance(const struct router *r,
			      const struct route_request *q);

/** Checks the caller of a request on a route by the table in force. */
struct identity identify_caller(const struct router *r,
				const struct router_request *request,
				const struct route *route);

/* stats.c */
struct route_stats *route_stats_get(struct router *r,
				    const struct route *route);
struct route_stats *route_stats_ref(struct route_stats *s);
void route_stats_unref(gpointer stats);
/** Drops what does not apply to the routes that have come in force. */
void route_stats_apply_table(struct router *r);
/** Picks a target of a split in proportion to the weights. */
uint32_t route_stats_pick_target(struct route_stats *s,
				 const struct route *route);
/**
 * Returns the median duration of a call, or a share of the latency goal if no
 * call has been answered yet.
 */
int64_t route_stats_typical_duration(struct route_stats *s,
				     const struct route *route);
/** Returns the duration above which a call is late. */
int64_t route_stats_late_threshold(struct route_stats *s,
				   const struct route *route);
/**
 * Returns the delay before a hedge is sent: at least the duration above which a
 * call is late, and otherwise as long as the hedge can still be answered within
 * the latency goal, which is left_us away. A leaf with a work factor above 1 is
 * given more time, up to the last moment at which a hedge that is not late can
 * still meet the goal; a factor of 1 or less changes nothing.
 */
int64_t route_stats_hedge_delay(struct route_stats *s,
				const struct route *route, int64_t left_us,
				double work_factor);

/*
 * stop.c: what a host that stops does with requests.
 *
 * Returns the time left for answers; INT64_MAX if the host does not stop.
 */
int64_t stop_time_left(const struct router *r);
/** Returns the last moment for an answer; INT64_MAX if the host does not stop. */
int64_t stop_last_answer(const struct router *r);
/** Returns how long a request of a route may take, as far as is known. */
int64_t stop_expected_duration(struct route_stats *s,
			       const struct route *route);
/** Returns whether a call that starts now is expected to end before the stop. */
bool stop_may_start(const struct router *r, struct route_stats *s,
		    const struct route *route);
/** Lets a request end when the host stops, at the latest. */
void stop_limit_request(const struct router *r, struct route_request *q);

/* choice.c */
/** Best leaf for a call, with the time it is expected to take. */
struct leaf_choice {
	struct route_leaf *leaf;
	int64_t expected_us;
	/** Leaves that may be called, including busy and tried ones. */
	uint32_t usable_count;
	/** No leaf was chosen, but at least one is only busy. */
	bool is_busy;
	/** Expected wait for a leaf if is_busy is set, otherwise 0. */
	int64_t wait_us;
	/** Cost by which the leaf was chosen; INFINITY without a leaf. */
	double cost;
};

struct leaf_choice leaf_choose(struct router *r, const struct route_part *part);

/** Figures by which leaf_choose() compares a leaf with others. */
struct leaf_estimate {
	/** Time that a call is expected to take. */
	int64_t expected_us;
	int64_t cost_us;
	/** The part keeps out of the queue there for more urgent calls. */
	bool is_left_free;
};

struct leaf_estimate leaf_estimate(struct router *r,
				   const struct route_part *part,
				   struct route_leaf *leaf);
/**
 * Returns the time that work is expected to take at a leaf now, as a factor on
 * the usual time.
 */
double leaf_work_factor(const struct route_leaf *leaf, int64_t now_us);
/** Updates the state of a leaf with the result of a call. */
void leaf_note_result(struct router *r, struct leaf_call *c,
		      const struct router_result *result);
/** Estimates the calls of all hosts that wait at a leaf. */
double leaf_queued_calls(const struct route_leaf *leaf, int64_t now_us);

/**
 * Notes that the part wants calls to the limited leaves that are as good as the
 * chosen one, or to all of them if none was chosen.
 */
void leaf_note_wanted(struct router *r, const struct route_part *part,
		      const struct leaf_choice *choice);

/**
 * Notes that the planned leaf of a part in a batch has not answered in time;
 * other leaves are preferred for a while.
 */
void leaf_note_late(struct router *r, const struct route_part *p);

/*
 * rates.c: the rates that hosts share at one leaf.
 *
 * Returns whether a rate limits the calls to a leaf.
 */
bool rates_is_limited(struct router *r, struct route_leaf *leaf);
/** Returns whether a rate limits the calls to any leaf. */
bool rates_has_limits(const struct router *r);
/** Returns whether the limits allow a call of a priority now. */
bool rates_has_room(struct router *r, struct route_leaf *leaf,
		    uint32_t priority);
/** Returns the time until they allow one; INT64_MAX if never. */
int64_t rates_wait(struct router *r, struct route_leaf *leaf,
		   uint32_t priority);
/** Returns the calls a second that this host may send to a limited leaf. */
double rates_share(struct router *r, struct route_leaf *leaf);
/** Returns the part of that which calls of a priority may use. */
double rates_share_of(struct router *r, struct route_leaf *leaf,
		      uint32_t priority);
/** Counts a call to a leaf. */
void rates_note_call(struct router *r, struct route_leaf *leaf,
		     uint32_t priority, bool is_extra);
/**
 * Prepares a copy of a leaf: a cold one that is not listed yet gets the state
 * of a listed one, so that no check lists or logs it.
 */
void rates_prepare_copy(const struct router *r, struct route_leaf *copy);
/** Notes the rate limit in the result of a call. */
void rates_note_result(struct router *r, const struct leaf_call *c,
		       const struct router_result *result);
/** Logs the calls to limited leaves and drops leaves that are gone. */
void rates_sweep(struct router *r);
/** Sends the claims that are due. */
void rates_claim(struct router *r);
/** Notes that a call to a limited leaf is wanted, whether it is sent or not. */
void rates_note_wanted(struct router *r, const struct route_part *p,
		       struct route_leaf *leaf);
/** Logs the limits that leave no room for a part of a request. */
void rates_log_no_room(struct router *r, const struct route_part *p);
void rates_clear(struct router *r);

/* recheck.c */
/**
 * Checks the caller of a request again, before a call, if the table in force or
 * the trust in its keys has changed. Returns whether the request may run.
 */
bool recheck_caller(struct router *r, struct route_request *q);

/* waiting.c: parts that wait for a leaf, and the requests that they are of. */
/** Returns when a part would end if it starts after a wait. */
enum triage_end request_end_of(struct router *r, const struct route_request *q,
			       int64_t wait_us, int64_t work_us);
/** Determines how much a request that arrives matters. */
void request_classify(struct router *r, struct route_request *q);
/** Notes that a leaf or another host is given a part of the request. */
void request_note_begun(struct router *r, struct route_request *q);
/** Returns whether a request gives way to more urgent ones. */
bool request_gives_way(struct router *r, const struct route_request *q);
/** Notes a request that was started or refused for lack of capacity. */
void request_note_class(struct router *r, const struct route_request *q,
			bool is_started);
/** Returns the work that a part of a request usually takes. */
int64_t request_typical_work(const struct route_request *q);
/** Returns the work that the slowest part of a request is expected to take. */
int64_t request_slowest_work(const struct route_request *q);
/** Returns the work of a request that counts when it is refused. */
int64_t request_whole_work(const struct route_request *q);

/** Logs a request of which parts wait. */
void waiting_log(const struct router *r, const struct route_request *q);
void waiting_add(struct router *r, struct route_part *p);
void waiting_remove(struct router *r, struct route_part *p);
bool waiting_is_empty(const struct router *r);
/** Returns whether a part may not be sent to all leaves of its pool. */
bool waiting_is_restricted(const struct route_part *p);
/** Notes the work that starts in each microsecond, as far as a part sees it. */
void waiting_note_drain(struct router *r, const struct route_part *p,
			double work_per_us);
/** Returns the work that starts before a part which is not in the queue. */
int64_t waiting_work_before(const struct route_part *p);
/** Returns the remaining wait of a part in the queue. */
int64_t waiting_time(const struct router *r, const struct route_part *p);
/**
 * Returns whether a call takes longer than the shortest goal of the upstream,
 * while more urgent requests arrive: once such calls occupy all slots, requests
 * with that goal miss it.
 */
bool waiting_is_long(const struct router *r, const struct route_part *p);
/** Returns the factor on a wait for the more urgent parts that will arrive. */
double waiting_slowdown(const struct router *r, const struct route_part *p);
/** Notes that a part is started or queued for its first call. */
void waiting_note_taken(struct router *r, const struct route_part *p);
/**
 * Returns whether enough parts of a request can be answered within the goal;
 * otherwise notes the figures.
 */
bool waiting_has_room(struct router *r, struct route_request *q);
/** Returns whether waiting_displace() would let a part start in time. */
bool waiting_may_displace(struct router *r, struct route_part *p);
/**
 * Refuses waiting requests that matter less than that of a part, if this lets
 * the part start in time. Returns whether it does; may refuse none.
 */
bool waiting_displace(struct router *r, struct route_part *p);
/** Refuses requests that lost their place to others. */
void waiting_shed(struct router *r, struct upstream_pool *pool);
/** Tries to send the first calls of the parts that wait for a pool. */
void waiting_start_pool(struct router *r, struct upstream_pool *pool);
void waiting_start_all(struct router *r);
/**
 * Returns whether a first call of the same or a better rank than that of a part
 * waits for its pool.
 */
bool waiting_has_rival(const struct router *r, const struct route_part *p);
/** Drops organisations that are not in the table in force. */
void waiting_apply_table(struct router *r);
/** Takes a pointer to struct organisation_stats, or NULL. */
void organisation_stats_unref(gpointer stats);

/* part.c */
/**
 * Chooses the leaf of the first call and fills in the decision on the part,
 * without noting the wanted call or logging the decision.
 */
struct leaf_choice part_decide(struct router *r, struct route_part *p);
/**
 * Returns whether a part that arrives can be answered within the goal once
 * freed_us of the work before it is gone.
 */
bool part_fits_without(struct router *r, struct route_part *p,
		       int64_t freed_us);
/**
 * Chooses the leaf of the first call. Returns false if no leaf can answer the
 * part in time.
 */
bool part_plan(struct router *r, struct route_part *p);
/** Sends the first call of a planned part, or queues the part for a leaf. */
void part_start(struct router *r, struct route_part *p);
void part_handle_result(struct router *r, struct leaf_call *c,
			const struct router_result *result);
/**
 * Sends a call to another leaf if nothing of it has been sent, without counting
 * as an extra call. Returns whether the call was taken back.
 */
bool part_move_call(struct router *r, struct leaf_call *c);
enum part_start_result {
	PART_STARTED,
	/** No leaf is free. */
	PART_BLOCKED,
	/** The part has failed; the request has not been told. */
	PART_HOPELESS,
	/** The request was refused and is gone. */
	PART_REFUSED,
};

/** Tries to send the first call of a part that waits. */
enum part_start_result part_try_first(struct router *r, struct route_part *p);
/**
 * Cancels or detaches the calls of a part and releases its replies. The calls
 * of a request that its caller has cancelled are always cancelled.
 */
void part_clear(struct router *r, struct route_part *p, bool is_cancelled);

/** Detaches or cancels the remaining calls of an answered part. */
void part_end_calls(struct router *r, struct route_part *p);
/**
 * Takes a part out of a batch that did not answer it and sends a call instead.
 * is_refused means that no leaf was called for the part.
 */
void part_leave_batch(struct router *r, struct route_part *p, bool is_refused);
/** Sends a hedge at once for a part that its batch has not answered yet. */
void part_hedge_now(struct router *r, struct route_part *p);

/* batch.c */
/**
 * Sends parts whose planned leaves are in other failure domains of the region
 * to hosts of those domains.
 */
void batch_start_all(struct router *r, struct route_request *q);
/** Cancels the open batches of a request and frees all of its batches. */
void batch_clear_all(struct router *r, struct route_request *q);

/* request.c */
/** Route and caller of a request that arrives, or why it is refused. */
struct request_admission {
	const struct route *route;
	struct identity who;
	/** Status and result code of the refusal; code is 0 without one. */
	unsigned int status;
	int code;
};

struct request_admission request_admit(const struct router *r,
				       const struct router_request *in);
/**
 * Fills in what is known of a request at its arrival. The request takes over no
 * reference.
 */
void request_init(const struct router *r, struct route_request *q,
		  const struct router_request *in,
		  const struct request_admission *admission);
/** Adds the parts of a request; picks the target of a split. */
void request_add_parts(struct router *r, struct route_request *q,
		       const struct router_request *in);
/**
 * Returns the result code with which a request is refused before its parts are
 * planned, or 0. Sets the reason if it is refused for lack of capacity.
 */
int request_check_arrival(struct router *r, struct route_request *q);
/** Returns the result code of a refusal for lack of time or capacity. */
int request_late_code(const struct router *r);
/**
 * Returns whether the refusal of other requests may give room to a part that
 * has none.
 */
bool request_may_make_room(const struct route_part *p);
/** Returns whether enough parts are feasible for an answer. */
bool request_can_be_answered(const struct router *r,
			     const struct route_request *q);
/**
 * Lets the parts of an admitted gather wait that have no room and that the
 * coverage can do without; only with triage.
 */
void request_keep_crowded_parts(const struct router *r,
				struct route_request *q);
/** Arms the timer of a request for its goal or its deadline. */
void request_arm_timer(struct router *r, struct route_request *q);
/**
 * Refuses a request that no leaf has run, for lack of capacity or time; the
 * reason is for the log.
 */
void request_refuse(struct router *r, struct route_request *q,
		    enum triage_reason reason);
/** Notes the figures of a part behind a refusal. */
void request_note_figures(struct router *r, struct route_request *q,
			  const struct route_part *p, int64_t wait_us,
			  int64_t work_us);
/** Notes those of a part whose work alone takes longer than the deadline. */
void request_note_excess_work(struct router *r, struct route_request *q,
			      const struct route_part *p, int64_t work_us);
/** Counts the ended parts; ends the request if its outcome is certain. */
void request_handle_part_end(struct router *r, struct route_request *q);

/* gather.c */
/**
 * Fills in an answer with the merged records of the answered parts. The answer
 * to a partial request also lists its failed parts, and leaves out parts whose
 * results were sent before. The answer points into stamps, shards and body.
 */
void gather_build_answer(struct router *r, struct route_request *q,
			 struct router_answer *a, GPtrArray *stamps,
			 GPtrArray *shards, GByteArray *body);
/** Returns whether a number of parts reaches the minimum coverage. */
bool gather_reaches_coverage(const struct route_request *q, uint32_t parts);
/** Returns whether the answered parts reach the minimum coverage. */
bool gather_has_coverage(const struct route_request *q);
/** Returns whether the parts that have not failed reach that coverage. */
bool gather_can_reach_coverage(const struct route_request *q);
/** Returns whether they do if that many more parts fail. */
bool gather_can_do_without(const struct route_request *q, uint32_t parts);

#endif
