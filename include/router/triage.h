#ifndef ROUTER_TRIAGE_H
#define ROUTER_TRIAGE_H

#include <stdbool.h>
#include <stdint.h>

#include "engine/heap.h"

/** No call is sent with less time than this until the deadline. */
#define CALL_TIME_MIN_US (10 * US_PER_MS)

/**
 * Decides whether a request can still end in time, and which request goes first
 * where capacity is short. Reads no clock; all figures are passed in.
 */

/** Work of one call, learned from samples on a logarithmic scale. */
struct work_estimate {
	double mean_log;
	/** Mean absolute difference between a sample and mean_log. */
	double spread_log;
	/** The work that mean_log stands for, and the arithmetic mean. */
	int64_t mean_us;
	double average_us;
	int64_t at_us;
	uint64_t count;
	/** Earliest time of the next request that is admitted to learn. */
	int64_t next_trial_us;
};

void work_estimate_add(struct work_estimate *e, int64_t work_us,
		       int64_t now_us);
/** Each returns 0 if nothing is known. */
int64_t work_estimate_low(const struct work_estimate *e);
int64_t work_estimate_typical(const struct work_estimate *e);
/** Returns the arithmetic mean, from which waits follow. */
int64_t work_estimate_average(const struct work_estimate *e);
/** Returns the work that a call is unlikely to exceed. */
int64_t work_estimate_high(const struct work_estimate *e);
/** Returns the work that the slowest of several calls is expected to take. */
int64_t work_estimate_slowest(const struct work_estimate *e, uint32_t calls);
/**
 * Returns whether a request may start although the estimate excludes it, so
 * that a change of the work is noticed. Permits a few requests a second.
 */
bool work_estimate_may_try(struct work_estimate *e, int64_t now_us);

/**
 * Returns the work of a call that took duration_us at a leaf where, on average,
 * `queued` calls waited for `slots` slots; pool_work_us is the average work of
 * a call there.
 */
int64_t triage_work_of_call(int64_t duration_us, double queued, uint32_t slots,
			    int64_t pool_work_us);

/** Times by which a request must end; INT64_MAX where there is no limit. */
struct triage_limits {
	int64_t goal_at_us;
	/** Deadline of the caller or timeout of the route, if that is first. */
	int64_t deadline_us;
	/** Last moment for an answer before this host stops. */
	int64_t stop_us;
};

enum triage_end {
	TRIAGE_IN_GOAL,
	/** Between the goal and the deadline. */
	TRIAGE_LATE,
	/** After the deadline. */
	TRIAGE_TOO_LATE,
	/** Before the deadline, but after the host has stopped. */
	TRIAGE_STOPPED,
};

/** Why a request is refused although leaves are in service. */
enum triage_reason {
	TRIAGE_NOT_REFUSED,
	/** The wait for leaves is too long. */
	TRIAGE_NO_ROOM,
	/** Requests that matter more took its place. */
	TRIAGE_DISPLACED,
	/** It has not started in time to meet the goal. */
	TRIAGE_GOAL_MISSED,
	/** It can no longer end before the deadline. */
	TRIAGE_DEADLINE_MISSED,
	/** A smaller share of the more urgent requests was started. */
	TRIAGE_GAVE_WAY,
	TRIAGE_REASONS,
};

/** Returns the name of a reason, for logs and metrics. */
const char *triage_reason_name(enum triage_reason reason);

/** Work that a request starts once a wait is over. */
struct triage_work {
	int64_t wait_us;
	int64_t work_us;
	/** Shortest likely work; a request is excluded only by this. */
	int64_t least_us;
	/** Work that is assumed for the stop of the host. */
	int64_t stop_work_us;
};

/** Returns when a request that starts now would end. */
enum triage_end triage_end_of(const struct triage_limits *l,
			      const struct triage_work *w, int64_t now_us);

/** Returns the last time at which work can start and meet the goal. */
int64_t triage_latest_start(const struct triage_limits *l, int64_t work_us);

/**
 * Returns the time by which a request that has not been offered to a leaf is
 * reviewed: it is refused then unless it is certain to start.
 */
int64_t triage_hold_until(int64_t start_us, int64_t goal_us);

/* Classes: the requests of a route, of an organisation, or of all. */

/** Shares of the requests of a class that came and that were started. */
struct triage_class {
	double offered;
	double started;
	double credit;
	int64_t at_us;
};

/**
 * Notes a request that arrives. Returns whether it goes first, because too few
 * requests of the class were started in proportion to all.
 */
bool triage_class_note_offered(struct triage_class *c, struct triage_class *all,
			       int64_t now_us);
/** Notes that a request was started; was_first if it went first. */
void triage_class_note_started(struct triage_class *c, bool was_first,
			       int64_t now_us);

/** Returns whether most of the latest requests of a class were refused. */
bool triage_class_is_scarce(const struct triage_class *c);

/** Priorities beyond this number are treated alike. */
#define TRIAGE_PRIORITIES 5

/** Notes a request that was started, or refused for lack of capacity. */
void triage_class_note_end(struct triage_class *c, bool is_started,
			   int64_t now_us);
/**
 * Returns whether a request gives way to more urgent ones: of those, a smaller
 * share was started. classes are those of an upstream by priority.
 */
bool triage_class_gives_way(const struct triage_class *classes,
			    uint32_t priority, int64_t now_us);

/** Work that an organisation asks for. */
struct triage_demand {
	/** Decayed sums of the work, over seconds and over minutes. */
	double recent;
	double usual;
	int64_t at_us;
	int64_t first_at_us;
	/** Work that may still be asked for before it counts as excess. */
	double allowed;
};

/**
 * Notes work that an organisation asks for; `all` is the demand of all, without
 * this work. Returns whether the work exceeds what the organisation usually
 * asks for, in proportion to the others.
 */
bool triage_demand_note(struct triage_demand *d, struct triage_demand *all,
			double work, int64_t now_us);

/* Queue of the parts that wait for the leaves of an upstream. */

/** Ranks of a queue; entries of a lower one go first. */
#define TRIAGE_RANKS 32
/** Classes of work; requests of less work use less capacity for their worth. */
#define TRIAGE_WEIGHTS 3

/** How much a request matters. */
struct triage_value {
	uint32_t priority;
	/** Class of its work, below TRIAGE_WEIGHTS. */
	uint32_t weight;
	/** The organisation asks for more than usual. */
	bool is_excess;
	/** The answer would be late. */
	bool is_late;
	/** The class of the request has been refused too often. */
	bool is_neglected;
	/** Leaves have been given parts of the request. */
	bool is_begun;
	/** The request has waited so long that it is no longer displaced. */
	bool is_certain;
	/** Only a small part of the work of the request has not begun. */
	bool is_nearly_done;
};

/** Returns the class of the work of a call, compared with a typical one. */
uint32_t triage_weight(int64_t work_us, int64_t typical_us);
/**
 * Returns the class of the work, which stays the previous one close to a bound:
 * requests of one route that change classes pass each other.
 */
uint32_t triage_weight_after(uint32_t previous, int64_t work_us,
			     int64_t typical_us);
uint32_t triage_rank(const struct triage_value *v);

/** Entry of a queue, embedded in its owner. */
struct triage_entry {
	struct heap_node order;
	struct heap_node refusal;
	uint32_t rank;
	int64_t work_us;
	/** Work ahead of the entry, less what was removed and added since. */
	int64_t ahead_us;
};

struct triage_queue {
	/** The next entry to start at the top. */
	struct heap order;
	/** The entry whose refusal costs least at the top. */
	struct heap refusal;
	/** Work of the entries of each rank that were ever added and removed. */
	int64_t added_us[TRIAGE_RANKS];
	int64_t removed_us[TRIAGE_RANKS];
	/** Decayed sums of the work that was started or queued. */
	double taken_us[TRIAGE_RANKS];
	int64_t taken_at_us;
};

/** What is known of an entry when it is queued. */
struct triage_request {
	uint32_t rank;
	int64_t now_us;
	/** Last time at which the entry can start and meet its goal. */
	int64_t latest_start_us;
	/** Work of the entry, and of all parts of its request. */
	int64_t work_us;
	int64_t request_work_us;
	/** The entry is not refused to make room for others. */
	bool is_kept;
};

void triage_queue_add(struct triage_queue *q, struct triage_entry *e,
		      const struct triage_request *r);
/** Exempts an entry from refusals. */
void triage_queue_keep(struct triage_queue *q, struct triage_entry *e);
void triage_queue_remove(struct triage_queue *q, struct triage_entry *e);
/** Returns the entry that starts next, or NULL. */
struct triage_entry *triage_queue_first(const struct triage_queue *q);
/** Returns the entry that is refused next, or NULL if none may be. */
struct triage_entry *triage_queue_cheapest(const struct triage_queue *q);
/**
 * Fills in the entries whose refusal costs least, the cheapest first, at most
 * max of them. Returns their number.
 */
uint32_t triage_queue_list_cheapest(const struct triage_queue *q,
				    struct triage_entry **out, uint32_t max);
/** Returns the work of the entries that start before a new one of a rank. */
int64_t triage_queue_work_before(const struct triage_queue *q, uint32_t rank);
/** Notes work of a rank that is started or queued. */
void triage_queue_note_taken(struct triage_queue *q, uint32_t rank,
			     int64_t work_us, int64_t now_us);
/**
 * Returns the factor by which a wait grows because entries of better ranks keep
 * arriving, if work_per_us is the work that starts in each microsecond.
 */
double triage_queue_slowdown(const struct triage_queue *q, uint32_t rank,
			     double work_per_us, int64_t now_us);
/** Estimates the work of the entries that start before an entry. */
int64_t triage_queue_work_ahead(const struct triage_queue *q,
				const struct triage_entry *e);
/**
 * Returns an entry: the first one for 0, and those near the front for small
 * numbers; NULL if there are fewer.
 */
struct triage_entry *triage_queue_at(const struct triage_queue *q,
				     uint32_t number);
/**
 * Returns whether the refusal of an entry costs callers less than that of a
 * request of the given rank and work.
 */
bool triage_is_cheaper(const struct triage_entry *e, uint32_t rank,
		       int64_t request_work_us);
uint32_t triage_queue_count(const struct triage_queue *q);
void triage_queue_clear(struct triage_queue *q);

#endif
