#ifndef ROUTER_QUOTA_H
#define ROUTER_QUOTA_H

#include <glib.h>

#include "router/table.h"
#include "router/token_lease.h"

/**
 * Quotas of organisations at the host that receives the requests of callers.
 * Each request takes a token of its organisation before anything is sent for
 * it. Tokens are claimed from the host that owns the quota.
 */
struct quota;

enum quota_decision {
	QUOTA_ADMITTED,
	/** The request is beyond the quota. */
	QUOTA_EXCEEDED,
	/** The decision follows through a callback. */
	QUOTA_WAITS,
};

/** Request that needs a token. */
struct quota_request {
	/** Passed to the callbacks. */
	void *user;
	const struct organisation *organisation;
	/** Version of the table of the organisation. */
	uint64_t version;
	/** Latency goal of the route, as measured by the caller. */
	int64_t goal_us;
	/** Time since the arrival of the request. */
	int64_t elapsed_us;
	/** Time until the deadline. */
	int64_t left_us;
};

/** Operations of the adapter. They must not call the quotas. */
struct quota_ops {
	/** Starts a request that had to wait. */
	void (*admit)(void *ctx, void *user, uint64_t ticket);
	/** Refuses a request that had to wait. */
	void (*refuse)(void *ctx, void *user, int64_t retry_after_us);
};

struct quota_options {
	uint32_t seed;
	const struct quota_ops *ops;
	void *ctx;
};

struct quota *quota_create(const struct quota_options *options);
/** Frees the quotas; waiting requests get no decision. */
void quota_free(struct quota *q);

/**
 * Asks for a token. If the request is admitted, ticket is set for
 * quota_give_back(); if it is refused, retry_after_us is set.
 */
enum quota_decision quota_ask(struct quota *q, const struct quota_request *in,
			      struct lease_time now, uint64_t *ticket,
			      int64_t *retry_after_us);

/** What quota_ask() would decide, and the figures behind it. */
struct quota_view {
	enum quota_decision decision;
	/** Tokens that this host holds. */
	uint32_t tokens;
	/** Requests that wait for a token. */
	uint32_t waiting;
	/** Requests a second that were made of late at this host. */
	double wanted_per_s;
	/** Time for which the owner of the quota has no token. */
	int64_t dry_us;
	/** Time that a request may wait for a token. */
	int64_t longest_wait_us;
};

/** Returns what quota_ask() would decide, and changes nothing. */
struct quota_view quota_look(const struct quota *q,
			     const struct quota_request *in,
			     struct lease_time now);

/** Forgets a waiting request. */
void quota_cancel(struct quota *q, const char *organisation, const void *user);

/** Returns the token of a request that was refused and did not run. */
void quota_give_back(struct quota *q, const char *organisation, uint64_t ticket,
		     struct lease_time now);

/** Handles the answer to a claim. Ignored if the key is not known. */
void quota_handle_grant(struct quota *q, const struct token_grant *g,
			struct lease_time now);

/** Returns the time of the next claim or decision; INT64_MAX if none. */
int64_t quota_next_timer(const struct quota *q);

/**
 * Refuses the requests that have waited too long, and returns the claims that
 * are due, of struct token_claim; NULL if there are none. They borrow from the
 * quotas until the next call; free with g_array_free().
 */
GArray *quota_advance(struct quota *q, struct lease_time now);

/** Returns the organisation of a key of tokens, or NULL if it is of none. */
const char *quota_key_organisation(const char *key);

/** Counts of decisions since the start. */
struct quota_counts {
	uint64_t admitted;
	uint64_t refused;
	uint64_t given_back;
	/** Organisations with state. */
	uint32_t organisations;
};

struct quota_counts quota_counts(const struct quota *q);

#endif
