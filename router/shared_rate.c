#include "router/shared_rate.h"

#include <math.h>

#include <glib.h>

#include "common/clock.h"

/* Calls that were not sent may be sent later at once, if so few. */
#define TOKENS_MIN 1.0
#define TOKENS_S 0.5
/*
 * Part of a limit that hosts without a share divide equally. The shares may
 * still be in use: such a host has lost the one that divides the limit.
 */
#define ALONE_PART 0.1
#define WANTED_HALF_LIFE_US (300 * US_PER_MS)
/* Calls of the highest rank may come more often for a moment. */
#define TOP_HEADROOM 1.1
/* A rate that is wanted more rarely needs no share. */
#define WANTED_MIN_PER_S 0.05
/* Interval of claims that are not answered. */
#define CLAIM_INTERVAL_US (250 * US_PER_MS)
/* Shortest interval between claims after the rate was not wanted for a time. */
#define CLAIM_INTERVAL_MIN_US (50 * US_PER_MS)
/* Time in which a first claim is answered, over the links of a region. */
#define GRANT_TIMEOUT_US (60 * US_PER_MS)

static void begin_limit(struct shared_rate *rate, int64_t now)
{
	rate->is_limited = true;
	rate->share_per_s = 0;
	rate->share_until_us = 0;
	rate->tokens = 0;
	rate->spare_tokens = 0;
	rate->tokens_at_us = now;
	rate->wanted = 0;
	rate->top_priority = UINT32_MAX;
	rate->top_wanted = 0;
	rate->awaited_until_us = 0;
	rate->claim_at_us = INT64_MAX;
	rate->claimed_at_us = 0;
}

bool shared_rate_note_limit(struct shared_rate *rate, double per_s,
			    int64_t now_us)
{
	bool has_changed = !rate->is_limited || rate->limit_per_s != per_s;

	if (!rate->is_limited)
		begin_limit(rate, now_us);
	rate->limit_per_s = per_s;
	rate->news_at_us = now_us;
	return has_changed;
}

bool shared_rate_note_no_limit(struct shared_rate *rate, int64_t sent_us,
			       int64_t now_us)
{
	if (!rate->is_limited || sent_us < rate->news_at_us)
		return false;
	rate->is_limited = false;
	rate->news_at_us = now_us;
	/* The next claim tells the other hosts. */
	if (rate->claimed_at_us)
		rate->claim_at_us = now_us;
	return true;
}

double shared_rate_share(const struct shared_rate *rate, uint32_t hosts,
			 int64_t now_us)
{
	if (now_us < rate->share_until_us)
		return rate->share_per_s;
	return hosts ? ALONE_PART * rate->limit_per_s / hosts : 0;
}

/* Returns a sum that decays exponentially, as of now. */
static double decayed(double sum, int64_t at_us, int64_t now)
{
	return sum * exp2(-(double)(now - at_us) / (double)WANTED_HALF_LIFE_US);
}

/* Converts such a sum of calls to calls a second. */
static double sum_to_rate(double sum)
{
	return sum * M_LN2 / ((double)WANTED_HALF_LIFE_US / US_PER_S);
}

static double top_wanted(const struct shared_rate *rate, int64_t now)
{
	return sum_to_rate(
		decayed(rate->top_wanted, rate->top_wanted_at_us, now));
}

static double add_tokens(double tokens, double per_s, int64_t us)
{
	double most = per_s > 0 ? MAX(TOKENS_MIN, per_s * TOKENS_S) : 0;

	return MIN(tokens + per_s * (double)us / US_PER_S, most);
}

/* Returns what the calls of the highest rank leave of the share. */
static double spare_share(const struct shared_rate *rate, double share,
			  int64_t now)
{
	return MAX(share - TOP_HEADROOM * top_wanted(rate, now), 0);
}

static void refill(struct shared_rate *rate, uint32_t hosts, int64_t now)
{
	double share = shared_rate_share(rate, hosts, now);
	int64_t us = now - rate->tokens_at_us;

	rate->tokens = add_tokens(rate->tokens, share, us);
	rate->spare_tokens = add_tokens(rate->spare_tokens,
					spare_share(rate, share, now), us);
	rate->tokens_at_us = now;
}

static bool is_top(const struct shared_rate *rate, uint32_t priority)
{
	return priority <= rate->top_priority;
}

double shared_rate_share_of(const struct shared_rate *rate, uint32_t priority,
			    uint32_t hosts, int64_t now_us)
{
	double share = shared_rate_share(rate, hosts, now_us);

	return is_top(rate, priority) ? share
				      : spare_share(rate, share, now_us);
}

static double tokens_for(const struct shared_rate *rate, uint32_t priority)
{
	return is_top(rate, priority) ? rate->tokens
				      : MIN(rate->tokens, rate->spare_tokens);
}

bool shared_rate_has_room(struct shared_rate *rate, uint32_t priority,
			  uint32_t hosts, int64_t now_us)
{
	if (!rate->is_limited)
		return true;
	refill(rate, hosts, now_us);
	return tokens_for(rate, priority) >= 1;
}

int64_t shared_rate_wait(struct shared_rate *rate, uint32_t priority,
			 uint32_t hosts, int64_t now_us)
{
	double share = shared_rate_share_of(rate, priority, hosts, now_us);

	if (shared_rate_has_room(rate, priority, hosts, now_us))
		return 0;
	if (now_us < rate->awaited_until_us)
		return rate->awaited_until_us - now_us;
	if (share <= 0)
		return INT64_MAX;
	return (int64_t)MIN((1 - tokens_for(rate, priority)) / share * US_PER_S,
			    (double)INT64_MAX / 4);
}

void shared_rate_note_call(struct shared_rate *rate, uint32_t priority,
			   bool is_extra, uint32_t hosts, int64_t now_us)
{
	if (is_extra)
		rate->extra_calls++;
	else
		rate->first_calls++;
	if (!rate->is_limited)
		return;
	refill(rate, hosts, now_us);
	rate->tokens -= 1;
	if (!is_top(rate, priority))
		rate->spare_tokens -= 1;
}

double shared_rate_wanted(const struct shared_rate *rate, int64_t now_us)
{
	double per_s =
		sum_to_rate(decayed(rate->wanted, rate->wanted_at_us, now_us));

	return per_s < WANTED_MIN_PER_S ? 0 : per_s;
}

static void note_top_wanted(struct shared_rate *rate, uint32_t priority,
			    int64_t now)
{
	bool is_forgotten = top_wanted(rate, now) < WANTED_MIN_PER_S;

	if (priority > rate->top_priority && !is_forgotten)
		return;
	if (priority != rate->top_priority) {
		rate->top_priority = priority;
		rate->top_wanted = 0;
	}
	rate->top_wanted =
		decayed(rate->top_wanted, rate->top_wanted_at_us, now) + 1;
	rate->top_wanted_at_us = now;
}

void shared_rate_note_wanted(struct shared_rate *rate, uint32_t priority,
			     int64_t now_us)
{
	note_top_wanted(rate, priority, now_us);
	rate->wanted = decayed(rate->wanted, rate->wanted_at_us, now_us) + 1;
	rate->wanted_at_us = now_us;
	if (rate->claim_at_us != INT64_MAX)
		return;
	rate->claim_at_us =
		MAX(now_us, rate->claimed_at_us + CLAIM_INTERVAL_MIN_US);
	rate->awaited_until_us = rate->claim_at_us + GRANT_TIMEOUT_US;
}

bool shared_rate_take_claim(struct shared_rate *rate, int64_t now_us,
			    struct rate_claim *out)
{
	double wanted = rate->is_limited ? shared_rate_wanted(rate, now_us) : 0;

	if (now_us < rate->claim_at_us)
		return false;
	out->news.is_limited = rate->is_limited;
	out->news.per_s = rate->limit_per_s;
	out->news.age_us = now_us - rate->news_at_us;
	out->wanted_per_s = wanted;
	rate->claimed_at_us = now_us;
	/* The claim of nothing returns the share and is the last one. */
	rate->claim_at_us = wanted > 0 ? now_us + CLAIM_INTERVAL_US : INT64_MAX;
	return true;
}

static bool apply_news(struct shared_rate *rate,
		       const struct rate_limit_news *n, int64_t now)
{
	int64_t at = now - n->age_us;
	double previous = rate->limit_per_s;

	if (at <= rate->news_at_us)
		return false;
	rate->news_at_us = at;
	rate->is_limited = n->is_limited;
	if (n->is_limited)
		rate->limit_per_s = n->per_s;
	else
		rate->claim_at_us = INT64_MAX;
	return !rate->is_limited || rate->limit_per_s != previous;
}

bool shared_rate_apply_grant(struct shared_rate *rate,
			     const struct rate_grant *g, uint32_t hosts,
			     int64_t now_us)
{
	bool has_changed;

	if (!rate->is_limited)
		return false;
	has_changed = apply_news(rate, &g->news, now_us);
	rate->awaited_until_us = 0;
	refill(rate, hosts, now_us);
	rate->share_per_s = g->share_per_s;
	rate->share_until_us = now_us + g->valid_us;
	refill(rate, hosts, now_us);
	if (rate->claim_at_us != INT64_MAX)
		rate->claim_at_us = rate->claimed_at_us + g->refresh_us;
	return has_changed;
}
