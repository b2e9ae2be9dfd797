#include "router/leaf_rate.h"

bool leaf_rate_note_reply(struct leaf_rate *rate,
			  const struct leaf_rate_limit *limit, int64_t sent_us,
			  int64_t now_us)
{
	bool was_limited = rate->is_limited;
	double previous = rate->limit_per_s;

	if (limit->news == RATE_UNKNOWN)
		return false;
	if (limit->news == RATE_LIMITED) {
		rate->is_limited = true;
		rate->limit_per_s = limit->per_s;
		rate->news_at_us = now_us;
		return !was_limited || previous != limit->per_s;
	}
	if (!was_limited || sent_us < rate->news_at_us)
		return false;
	rate->is_limited = false;
	return true;
}

void leaf_rate_note_call(struct leaf_rate *rate, bool is_extra)
{
	if (is_extra)
		rate->extra_calls++;
	else
		rate->first_calls++;
}
