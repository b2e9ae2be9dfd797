#ifndef ROUTER_LEAF_RATE_H
#define ROUTER_LEAF_RATE_H

#include "router/shared_rate.h"

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
 * Notes the rate limit in a reply to a call that was sent at sent_us. Returns
 * whether the limit has changed.
 */
bool leaf_rate_note_reply(struct shared_rate *rate,
			  const struct leaf_rate_limit *limit, int64_t sent_us,
			  int64_t now_us);

#endif
