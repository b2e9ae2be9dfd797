#ifndef ROUTER_LEAF_RATE_H
#define ROUTER_LEAF_RATE_H

#include <stdbool.h>
#include <stdint.h>

#include "router/rate_shares.h"

/** What a reply tells about the rate limit of its leaf. */
enum rate_news {
	/** Nothing: the reply may not be the leaf's own, or is unusable. */
	RATE_UNKNOWN,
	RATE_UNLIMITED,
	RATE_LIMITED,
};

/** Rate limit in one reply. */
struct leaf_rate_limit {
	enum rate_news news;
	/** Calls a second from all hosts together, if news is RATE_LIMITED. */
	double per_s;
};

/**
 * Rate limit of a leaf, as this host knows it, and the host's share of it. A
 * host calls a limited leaf only as often as its share allows.
 */
struct leaf_rate {
	bool is_limited;
	/** Calls a second that the leaf accepts from all hosts together. */
	double limit_per_s;
	/** Arrival of the newest reply, at any host, that named the limit. */
	int64_t news_at_us;
	/** Calls a second that this host may send until share_until_us. */
	double share_per_s;
	int64_t share_until_us;
	/** Calls that may be sent at once, as of tokens_at_us. */
	double tokens;
	int64_t tokens_at_us;
	/**
	 * Calls that the host wanted to send, whether it did or not, as an
	 * exponentially decaying sum.
	 */
	double wanted;
	int64_t wanted_at_us;
	/**
	 * Least priority value, so the highest rank, of the calls wanted of
	 * late, and the part of them in wanted.
	 */
	uint32_t top_priority;
	double top_wanted;
	int64_t top_wanted_at_us;
	/** Calls of lower rank that may be sent at once. */
	double spare_tokens;
	/** When to claim a share; INT64_MAX while the leaf is not wanted. */
	int64_t claim_at_us;
	int64_t claimed_at_us;
	/** Until then a first share is expected. */
	int64_t awaited_until_us;
	/** Calls of this host since the last report. */
	uint32_t first_calls;
	uint32_t extra_calls;
	int64_t reported_at_us;
};

/**
 * Notes the rate limit in a reply to a call that was sent at sent_us. Returns
 * whether the limit has changed. A reply without a limit ends the limit only if
 * its call was sent after the newest reply that named one.
 */
bool leaf_rate_note_reply(struct leaf_rate *rate,
			  const struct leaf_rate_limit *limit, int64_t sent_us,
			  int64_t now_us);

/**
 * Applies a grant: its share, and its news if they are newer. Returns whether
 * the limit has changed. hosts is the number of hosts, or 0 if unknown.
 */
bool leaf_rate_apply_grant(struct leaf_rate *rate, const struct rate_grant *g,
			   uint32_t hosts, int64_t now_us);

/** Returns the calls a second that this host may send to a limited leaf. */
double leaf_rate_share(const struct leaf_rate *rate, uint32_t hosts,
		       int64_t now_us);

/** Returns the part of that which calls of a route with a priority may use. */
double leaf_rate_share_of(const struct leaf_rate *rate, uint32_t priority,
			  uint32_t hosts, int64_t now_us);

/**
 * Returns whether the limit allows a call of a route with a priority now. Calls
 * of a lower rank get what those of the highest leave of the share.
 */
bool leaf_rate_has_room(struct leaf_rate *rate, uint32_t priority,
			uint32_t hosts, int64_t now_us);

/** Returns the time until the limit allows such a call; INT64_MAX if never. */
int64_t leaf_rate_wait(struct leaf_rate *rate, uint32_t priority,
		       uint32_t hosts, int64_t now_us);

/** Counts a call to the leaf. */
void leaf_rate_note_call(struct leaf_rate *rate, uint32_t priority,
			 bool is_extra, uint32_t hosts, int64_t now_us);

/** Notes that this host wants to send a call to a limited leaf. */
void leaf_rate_note_wanted(struct leaf_rate *rate, uint32_t priority,
			   int64_t now_us);

/** Returns the calls a second that this host wants to send; 0 if few. */
double leaf_rate_wanted(const struct leaf_rate *rate, int64_t now_us);

/**
 * Fills in what to claim, and schedules the next claim. Returns false if none
 * is due.
 */
bool leaf_rate_take_claim(struct leaf_rate *rate, int64_t now_us,
			  struct rate_claim *out);

#endif
