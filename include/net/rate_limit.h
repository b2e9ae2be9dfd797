#ifndef NET_RATE_LIMIT_H
#define NET_RATE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/** Token bucket. */
struct rate_limit {
	double tokens;
	double burst;
	double per_second;
	int64_t updated_us;
};

/** Initializes a full bucket. */
void rate_limit_init(struct rate_limit *r, double per_second, double burst,
		     int64_t now_us);

/** Refills the bucket and returns whether it holds a token. */
bool rate_limit_has_token(struct rate_limit *r, int64_t now_us);

/** Takes a token; call only after rate_limit_has_token(). */
void rate_limit_take_token(struct rate_limit *r);

/** Returns an unused token to the bucket. */
void rate_limit_return_token(struct rate_limit *r);

#endif
