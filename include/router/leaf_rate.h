#ifndef ROUTER_LEAF_RATE_H
#define ROUTER_LEAF_RATE_H

#include <stdbool.h>
#include <stdint.h>

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

/** Rate limit of a leaf, as this host knows it. */
struct leaf_rate {
	bool is_limited;
	/** Calls a second that the leaf accepts from all hosts together. */
	double limit_per_s;
	/** Arrival of the newest reply that named the limit. */
	int64_t news_at_us;
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

/** Counts a call to the leaf. */
void leaf_rate_note_call(struct leaf_rate *rate, bool is_extra);

#endif
