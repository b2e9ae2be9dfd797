#ifndef TEST_UNIT_FAKE_ROUTER_H
#define TEST_UNIT_FAKE_ROUTER_H

#include "common/clock.h"
#include "router/router.h"

#define FAKE_CALLS_MAX 4096
#define FAKE_ANSWERS_MAX 1024

struct fake_call {
	uint64_t id;
	struct route_leaf *leaf;
	char leaf_id[16];
	char service[16];
	char request_id[16];
	/** Empty if the request has none. */
	char organisation[16];
	bool has_organisations;
	int64_t sent_us;
	int64_t remaining_us;
	bool is_open;
	bool is_cancelled;
};

struct fake_answer {
	void *user;
	unsigned int status;
	int code;
	int64_t retry_after_us;
	uint32_t stamp_count;
	uint32_t missing_count;
	char body[256];
	size_t body_len;
	int64_t at_us;
};

/** Router with a virtual clock; its calls and answers are recorded. */
struct fake_router {
	struct virtual_clock time;
	struct router *router;
	struct fake_call calls[FAKE_CALLS_MAX];
	uint32_t call_count;
	struct fake_answer answers[FAKE_ANSWERS_MAX];
	uint32_t answer_count;
	uint32_t request_count;
	/** Whether another host accepts batches. */
	bool has_other_host;
	uint64_t batch_id;
	uint32_t batch_shard_count;
	uint32_t batch_count;
	uint32_t batch_cancel_count;
	/** Nothing has been sent yet of any open call. */
	bool has_unsent_calls;
	/** Load in every reply. */
	struct leaf_load load;
	/** Leaves whose idle connections were closed. */
	uint32_t idle_close_count;
	/** Stamps sent by answer_part(), before the end of a request. */
	uint32_t sent_stamp_count;
	/** Rate limits that leaves name in their replies, as text by leaf. */
	GHashTable *rate_limits;
	/** Of struct rate_claim: claims that were not answered yet. */
	GArray *claims;
	/** Of struct token_claim, the same; their keys are interned. */
	GArray *token_claims;
	uint32_t shards;
};

/**
 * Creates a router with three leaves for each of `shards` shards, s0, s1, ...,
 * named s0-a to s0-c, in the domains a to c; the host is in a. Route /search/
 * gathers all shards, /get/ and /put/ go to s0, and /put/ is not idempotent.
 */
struct fake_router *fake_router_create(uint32_t shards);
/** Creates such a route table; that of a new router has version 1. */
struct route_table *fake_router_create_table(uint32_t shards, uint64_t version);
/** The same with a seed; the seed is 1 otherwise. */
struct fake_router *fake_router_create_seeded(uint32_t shards, uint64_t seed);
void fake_router_destroy(struct fake_router *f);

/** Adds or updates a leaf. */
void fake_router_put_leaf(struct fake_router *f, const char *id,
			  const char *service, const char *domain,
			  bool is_draining, int64_t sequence);

/** Starts a request and returns its id; 0 if it was answered at once. */
uint64_t fake_router_start_request(struct fake_router *f, const char *path,
				   int64_t wait_us);

/** Advances the clock in steps of 1 ms and runs the timers. */
void fake_router_advance(struct fake_router *f, int64_t us);

/**
 * Sets the rate limit that a leaf names in the replies of
 * fake_router_end_call(); a negative one sets none.
 */
void fake_router_set_rate_limit(struct fake_router *f, const char *leaf,
				double per_s);

/** Puts a table in force with a limit on the calls to cold leaves. */
void fake_router_set_warm_up(struct fake_router *f, double per_s);

/** Lets a leaf be cold for a time from now on. */
void fake_router_set_cold(struct fake_router *f, const char *leaf, int64_t us);

/** Ends a call. Returns false if it is not open. */
bool fake_router_end_call(struct fake_router *f, uint32_t call,
			  enum call_outcome outcome, unsigned int status,
			  const char *body);

/** Answers every open call with success. */
void fake_router_answer_all(struct fake_router *f);

/** Returns the number of calls to a leaf. */
uint32_t fake_router_calls_to(const struct fake_router *f, const char *id);

#endif
