#ifndef ROUTER_INTERNAL_H
#define ROUTER_INTERNAL_H

#include "engine/heap.h"
#include "engine/latency.h"
#include "engine/query.h"
#include "router/router.h"

/** Most calls under way for one part. */
#define PART_CALLS_MAX 3
/** Most hosts that answer parts of one request. */
#define REQUEST_BATCHES_MAX 2
/** Leaves remembered as tried for one part. */
#define PART_TRIED_MAX 6

/** State of a route that outlives its table. */
struct route_stats {
	char *name;
	/** Durations of answered calls. */
	struct latency calls;
	/** Longest wait that callers stated lately. */
	int64_t longest_wait_us;
	/** Shards with a leaf in service, by failure domain, and their age. */
	GHashTable *local_leaves;
	int64_t local_leaves_at_us;
	/** Requests sent to each target of a split, by upstream name. */
	GHashTable *split_sent;
};

struct router_timer {
	struct heap_node node;
	void (*fire)(struct router *r, struct router_timer *t);
};

enum part_phase {
	/** No leaf could take the call yet. */
	PART_WAITING,
	PART_RUNNING,
	PART_ANSWERED,
	PART_FAILED,
};

struct leaf_call;
struct route_request;

/** Parts of a request that another host answers together. */
struct part_batch {
	uint64_t id;
	struct route_request *request;
	/** Results may still come. */
	bool is_open;
	/** Merged records and signatures of the parts that are in. */
	GByteArray *body;
	GPtrArray *stamps;
};

/** What one upstream has to answer for a request. */
struct route_part {
	struct route_request *request;
	struct upstream_pool *pool;
	enum part_phase phase;
	struct leaf_call *calls[PART_CALLS_MAX];
	uint32_t call_count;
	/** Leaf of the first call, or NULL if the part waits for one. */
	struct route_leaf *planned;
	bool is_hopeless;
	/** Calls that a leaf may have run. */
	uint32_t runs;
	/** Calls that a leaf has received. */
	uint32_t arrivals;
	const struct route_leaf *tried[PART_TRIED_MAX];
	uint32_t tried_count;
	/** Hedge while a call is under way. */
	struct router_timer timer;
	struct leaf_reply *reply;
	const char *stamp;
	/** Batch that the part was handed out with, or NULL. */
	struct part_batch *batch;
	/** The planned leaf is held while the request runs. */
	bool is_planned_held;
	/** The answer is in the batch. */
	bool is_in_batch;
	/** The host that asked for the part has it. */
	bool is_sent;
	/** Last failure that can be handed on, if there is one. */
	struct leaf_reply *failure;
};

/** Request in flight. */
struct route_request {
	uint64_t id;
	char request_id[REQUEST_ID_MAX];
	struct route_table *table;
	const struct route *route;
	struct route_stats *stats;
	int64_t start_us;
	int64_t deadline_us;
	/** After this time an answer has lost most of its value. */
	int64_t goal_at_us;
	/** Least time before a second leaf is called. */
	int64_t hedge_min_us;
	struct route_part *parts;
	uint32_t part_count;
	uint32_t answered;
	uint32_t failed;
	uint32_t extra_calls;
	/** Hosts that gather such requests; 0 if this one is none of them. */
	uint32_t gatherers;
	/** First calls count against the budget of extra calls. */
	bool is_repeat;
	/** Other hosts answer some of the parts. */
	struct part_batch *batches[REQUEST_BATCHES_MAX];
	uint32_t batch_count;
	/** Part of another host's gather. */
	bool is_partial;
	/** The goal has passed without enough parts. */
	bool is_past_goal;
	/** Calls are being started; the end of a part is looked at later. */
	bool is_starting;
	struct router_timer timer;
	void *user;
};

/** One call to a leaf under way. */
struct leaf_call {
	uint64_t id;
	/** NULL once the part needs the call no more. */
	struct route_part *part;
	struct route_stats *stats;
	struct route_leaf *leaf;
	GList *link;
	int64_t start_us;
	/** Duration above which the call is late; 0 if not known. */
	int64_t late_after_us;
	bool is_extra;
};

struct router {
	struct router_options options;
	struct leaf_set leaves;
	struct route_table *table;
	/** struct route_stats by route name. */
	GHashTable *stats;
	struct id_table requests;
	struct id_table calls;
	/** Open batches by id. */
	GHashTable *batches;
	uint64_t last_batch_id;
	struct heap timers;
	/** Parts that wait for a leaf, oldest first. */
	GQueue waiting;
	int64_t next_sweep_us;
	int64_t next_retry_us;
	uint32_t host_count;
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
 * Returns the extra calls to an upstream in 10 s that this host may make for
 * such requests besides the ratio.
 */
double router_extra_allowance(const struct router *r,
			      const struct route_request *q);

/* stats.c */
struct route_stats *route_stats_get(struct router *r,
				    const struct route *route);
void route_stats_free(gpointer stats);
/** Returns the index of the target that is furthest below its weight. */
uint32_t route_stats_pick_target(struct route_stats *s,
				 const struct route_table *t,
				 const struct route *route);
/** Returns the usual duration of a call, or a guess from the goal. */
int64_t route_stats_typical(struct route_stats *s, const struct route *route);
/** Returns the time after which a call is late. */
int64_t route_stats_late_after(struct route_stats *s,
			       const struct route *route);
/**
 * Returns the time after which a second leaf is called: a late call, and as
 * late as an answer within the goal, left_us away, permits.
 */
int64_t route_stats_hedge_after(struct route_stats *s,
				const struct route *route, int64_t left_us);

/* choice.c */
/** Best leaf for a call, with the time it is expected to take. */
struct leaf_choice {
	struct route_leaf *leaf;
	int64_t expected_us;
	/** Leaves that may be used at all, busy or not. */
	uint32_t usable;
	/** There is no leaf, but some are only busy. */
	bool is_busy;
	/** Expected wait for a leaf where all are busy; 0 if none is usable. */
	int64_t wait_us;
};

struct leaf_choice leaf_choose(struct router *r, const struct route_part *part);
/** Takes the end of a call into the state of its leaf. */
void leaf_note_result(struct router *r, struct leaf_call *c,
		      const struct router_result *result);

/** Notes that a call is sent to a leaf. */
void leaf_note_sent(struct router *r, struct route_leaf *leaf);

/**
 * Notes that the leaf which was planned for a part of a batch has not answered
 * in time; other leaves are preferred for a while.
 */
void leaf_note_late(struct router *r, const struct route_part *p);

/* part.c */
/**
 * Chooses the leaf of the first call. Returns false if the part cannot be
 * answered within the time.
 */
bool part_plan(struct router *r, struct route_part *p, int64_t left_us);
/** Sends the first call of a planned part, or lets it wait for a leaf. */
void part_start(struct router *r, struct route_part *p);
void part_handle_result(struct router *r, struct leaf_call *c,
			const struct router_result *result);
/** Sends calls for parts that wait for a leaf. */
void part_run_waiting(struct router *r);
/** Ends all calls of a part and releases what it holds. */
void part_clear(struct router *r, struct route_part *p, bool is_cancelled);

/** Ends the calls of a part that is answered. */
void part_end_calls(struct router *r, struct route_part *p);
/** Sends another call for a part whose batch ended without it. */
void part_leave_batch(struct router *r, struct route_part *p, bool is_refused);
/** Sends a second call at once for a part that its batch has not answered. */
void part_hedge_now(struct router *r, struct route_part *p);

/* batch.c */
/** Hands out parts whose leaves are in another failure domain of the region. */
void batch_start_all(struct router *r, struct route_request *q);
/** Ends the batches of a request. */
void batch_clear_all(struct router *r, struct route_request *q);

/* request.c */
/** Takes the end of one part. */
void request_part_ended(struct router *r, struct route_request *q);

/* gather.c */
/**
 * Answers with the parts that are in; those that were sent to the host that
 * asked for them are left out. Their shards are listed as well.
 */
void gather_answer(struct router *r, struct route_request *q,
		   struct router_answer *a, GPtrArray *stamps,
		   GPtrArray *shards, GByteArray *body);
/** Returns whether enough parts are in for an answer. */
bool gather_has_coverage(const struct route_request *q);
/** Returns whether enough parts can still come in. */
bool gather_can_cover(const struct route_request *q);

#endif
