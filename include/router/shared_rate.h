#ifndef ROUTER_SHARED_RATE_H
#define ROUTER_SHARED_RATE_H

#include <stdbool.h>
#include <stdint.h>

#include "router/rate_shares.h"

/**
 * Rate that all hosts share, as this host knows it, and the host's share of it.
 */
struct shared_rate {
	bool is_limited;
	/** Calls a second that all hosts together may send. */
	double limit_per_s;
	/** When any host last learned of the limit from its source. */
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
	/** When to claim a share; INT64_MAX while the rate is not wanted. */
	int64_t claim_at_us;
	int64_t claimed_at_us;
	/** Until then a first share is expected. */
	int64_t awaited_until_us;
	/** Calls of this host since the last report. */
	uint32_t first_calls;
	uint32_t extra_calls;
	int64_t reported_at_us;
};

/** Notes the limit. Returns whether it has changed. */
bool shared_rate_note_limit(struct shared_rate *rate, double per_s,
			    int64_t now_us);

/**
 * Notes that the source of the limit names none any more, in its reply to a
 * call that was sent at sent_us. That ends the limit only if the call was sent
 * after the newest reply that named one. Returns whether the limit has ended.
 */
bool shared_rate_note_no_limit(struct shared_rate *rate, int64_t sent_us,
			       int64_t now_us);

/**
 * Applies a grant: its share, and its news if they are newer. Returns whether
 * the limit has changed. hosts is the number of hosts, or 0 if unknown.
 */
bool shared_rate_apply_grant(struct shared_rate *rate,
			     const struct rate_grant *g, uint32_t hosts,
			     int64_t now_us);

/** Returns the calls a second that this host may send. */
double shared_rate_share(const struct shared_rate *rate, uint32_t hosts,
			 int64_t now_us);

/** Returns the part of that which calls of a route with a priority may use. */
double shared_rate_share_of(const struct shared_rate *rate, uint32_t priority,
			    uint32_t hosts, int64_t now_us);

/**
 * Returns whether the limit allows a call of a route with a priority now. Calls
 * of a lower rank get what those of the highest leave of the share.
 */
bool shared_rate_has_room(struct shared_rate *rate, uint32_t priority,
			  uint32_t hosts, int64_t now_us);

/** Returns the time until the limit allows such a call; INT64_MAX if never. */
int64_t shared_rate_wait(struct shared_rate *rate, uint32_t priority,
			 uint32_t hosts, int64_t now_us);

/** Counts a call. */
void shared_rate_note_call(struct shared_rate *rate, uint32_t priority,
			   bool is_extra, uint32_t hosts, int64_t now_us);

/** Notes that this host wants to send a call. */
void shared_rate_note_wanted(struct shared_rate *rate, uint32_t priority,
			     int64_t now_us);

/** Returns the calls a second that this host wants to send; 0 if few. */
double shared_rate_wanted(const struct shared_rate *rate, int64_t now_us);

/**
 * Fills in what to claim, and schedules the next claim. Returns false if none
 * is due.
 */
bool shared_rate_take_claim(struct shared_rate *rate, int64_t now_us,
			    struct rate_claim *out);

#endif
