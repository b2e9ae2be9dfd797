#include "router/leaf_rate.h"

bool leaf_rate_note_reply(struct shared_rate *rate,
			  const struct leaf_rate_limit *limit, int64_t sent_us,
			  int64_t now_us)
{
	switch (limit->news) {
	case RATE_LIMITED:
		return shared_rate_note_limit(rate, limit->per_s, now_us);
	case RATE_UNLIMITED:
		return shared_rate_note_no_limit(rate, sent_us, now_us);
	case RATE_UNKNOWN:
		return false;
	}
	return false;
}
