#ifndef NET_RATE_LIMIT_H
#define NET_RATE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/** Token bucket that bounds how often something is done. */
struct rate_limit {
	double tokens;
	double burst;
	double per_second;
	int64_t updated_us;
};

/** Starts a full bucket. */
void rate_limit_init(struct rate_limit *r, double per_second, double burst,
		     int64_t now_us);

/** Returns whether a token is there, without taking it. */
bool rate_limit_has(struct rate_limit *r, int64_t now_us);

/** Takes a token; call only after rate_limit_has(). */
void rate_limit_take(struct rate_limit *r);

/** Gives back a token that was not used. */
void rate_limit_refund(struct rate_limit *r);

#endif
