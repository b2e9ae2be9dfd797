#include "net/rate_limit.h"

#include <glib.h>

#include "common/clock.h"

void rate_limit_init(struct rate_limit *r, double per_second, double burst,
		     int64_t now_us)
{
	r->per_second = per_second;
	r->burst = burst;
	r->tokens = burst;
	r->updated_us = now_us;
}

bool rate_limit_has_token(struct rate_limit *r, int64_t now_us)
{
	double passed = (double)MAX(now_us - r->updated_us, 0);

	r->tokens = MIN(r->burst,
			r->tokens + passed * r->per_second / (double)US_PER_S);
	r->updated_us = MAX(now_us, r->updated_us);
	return r->tokens >= 1;
}

void rate_limit_take_token(struct rate_limit *r)
{
	r->tokens -= 1;
}

void rate_limit_return_token(struct rate_limit *r)
{
	r->tokens = MIN(r->burst, r->tokens + 1);
}
