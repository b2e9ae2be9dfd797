#include "router/token_lease.h"

#include <math.h>
#include <string.h>

#include <glib.h>

#define WANTED_HALF_LIFE_US (300 * US_PER_MS)
/* Shortest interval between claims, and that of claims without an answer. */
#define CLAIM_MIN_US (5 * US_PER_MS)
#define CLAIM_TIMEOUT_US (120 * US_PER_MS)
/* More tokens are claimed so long before the last ones are used or lapse. */
#define CLAIM_AHEAD_US (80 * US_PER_MS)
/* A host that wants fewer tokens claims each when it is wanted. */
#define CLAIM_AHEAD_MIN_PER_S 16.0
/* Calls may come more often for a moment than they did before. */
#define WANTED_HEADROOM 1.2
#define CLAIM_MAX 1000000.0

void token_lease_init(struct token_lease *l)
{
	memset(l, 0, sizeof(*l));
	l->claim_at_us = INT64_MAX;
}

static bool is_valid(const struct token_lot *lot, struct lease_time now)
{
	return now.monotonic_us < lot->until.monotonic_us &&
	       now.boot_us < lot->until.boot_us;
}

static void remove_first_lot(struct token_lease *l)
{
	memmove(&l->lots[0], &l->lots[1],
		sizeof(l->lots[0]) * (LEASE_LOTS - 1));
	l->lot_count--;
}

static void drop_used_lots(struct token_lease *l, struct lease_time now)
{
	while (l->lot_count &&
	       (!l->lots[0].tokens || !is_valid(&l->lots[0], now)))
		remove_first_lot(l);
}

static double decayed_wanted(const struct token_lease *l, int64_t now)
{
	return l->wanted * exp2(-(double)(now - l->wanted_at_us) /
				(double)WANTED_HALF_LIFE_US);
}

double token_lease_wanted(const struct token_lease *l, int64_t now_us)
{
	return decayed_wanted(l, now_us) * M_LN2 /
	       ((double)WANTED_HALF_LIFE_US / US_PER_S);
}

bool token_lease_is_dry(const struct token_lease *l, int64_t now_us)
{
	return now_us < l->dry_until_us;
}

bool token_lease_has_token(const struct token_lease *l, struct lease_time now)
{
	for (uint32_t i = 0; i < l->lot_count; i++) {
		if (l->lots[i].tokens && is_valid(&l->lots[i], now))
			return true;
	}
	return false;
}

uint32_t token_lease_count(const struct token_lease *l, struct lease_time now)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < l->lot_count; i++) {
		if (is_valid(&l->lots[i], now))
			sum += l->lots[i].tokens;
	}
	return sum;
}

static void schedule_claim(struct token_lease *l, int64_t now)
{
	int64_t at = MAX(now, l->claimed.monotonic_us + CLAIM_MIN_US);

	if (l->is_open)
		at = MAX(at, l->claimed.monotonic_us + CLAIM_TIMEOUT_US);
	l->claim_at_us = MIN(l->claim_at_us, MAX(at, l->dry_until_us));
}

void token_lease_claim_again(struct token_lease *l, struct lease_time now)
{
	schedule_claim(l, now.monotonic_us);
}

/*
 * Returns whether tokens are wanted so rarely that one which is claimed before
 * it is wanted would mostly lapse.
 */
static bool is_rare(const struct token_lease *l, struct lease_time now)
{
	return token_lease_wanted(l, now.monotonic_us) < CLAIM_AHEAD_MIN_PER_S;
}

/* Claims ahead of need if calls are frequent enough for it. */
static void claim_ahead(struct token_lease *l, struct lease_time now)
{
	double per_s = token_lease_wanted(l, now.monotonic_us);
	const struct token_lot *last;
	int64_t left;

	if (l->is_open || is_rare(l, now))
		return;
	last = l->lot_count ? &l->lots[l->lot_count - 1] : NULL;
	left = last ? last->until.monotonic_us - now.monotonic_us : 0;
	if (left < CLAIM_AHEAD_US ||
	    token_lease_count(l, now) < per_s * CLAIM_AHEAD_US / US_PER_S)
		schedule_claim(l, now.monotonic_us);
}

void token_lease_note_wanted(struct token_lease *l, struct lease_time now)
{
	l->wanted = decayed_wanted(l, now.monotonic_us) + 1;
	l->wanted_at_us = now.monotonic_us;
	if (token_lease_has_token(l, now))
		claim_ahead(l, now);
	else if (!is_rare(l, now) || !token_lease_is_dry(l, now.monotonic_us))
		schedule_claim(l, now.monotonic_us);
}

bool token_lease_use(struct token_lease *l, struct lease_time now,
		     uint64_t *ticket)
{
	drop_used_lots(l, now);
	for (uint32_t i = 0; i < l->lot_count; i++) {
		if (!l->lots[i].tokens || !is_valid(&l->lots[i], now))
			continue;
		l->lots[i].tokens--;
		*ticket = l->lots[i].ticket;
		return true;
	}
	return false;
}

bool token_lease_take(struct token_lease *l, struct lease_time now,
		      uint64_t *ticket)
{
	bool is_taken = token_lease_use(l, now, ticket);

	token_lease_note_wanted(l, now);
	return is_taken;
}

void token_lease_give_back(struct token_lease *l, uint64_t ticket,
			   struct lease_time now)
{
	for (uint32_t i = 0; i < l->lot_count; i++) {
		if (l->lots[i].ticket != ticket || !is_valid(&l->lots[i], now))
			continue;
		l->lots[i].tokens++;
		return;
	}
}

/*
 * Gives up the tokens of the earliest grant that are not needed until the claim
 * is answered, or all of them if there is no room for another grant.
 */
static void return_tokens(struct token_lease *l, double per_s,
			  struct token_claim *out)
{
	double needed = ceil(per_s * CLAIM_AHEAD_US / US_PER_S);
	uint32_t kept = (uint32_t)MIN(needed, CLAIM_MAX);
	struct token_lot *first = &l->lots[0];

	out->returned = 0;
	out->returned_ticket = 0;
	if (!l->lot_count)
		return;
	if (l->lot_count == LEASE_LOTS)
		kept = 0;
	out->returned_ticket = first->ticket;
	out->returned = first->tokens - MIN(kept, first->tokens);
	first->tokens -= out->returned;
	if (l->lot_count == LEASE_LOTS)
		remove_first_lot(l);
}

bool token_lease_take_claim(struct token_lease *l, uint32_t waiting,
			    struct lease_time now, struct token_claim *out)
{
	double per_s = token_lease_wanted(l, now.monotonic_us);
	double soon = 0;

	if (now.monotonic_us < l->claim_at_us)
		return false;
	l->claim_at_us = INT64_MAX;
	if (!is_rare(l, now))
		soon = per_s * WANTED_HEADROOM * TOKEN_VALID_US / US_PER_S;
	out->wanted = waiting + (uint32_t)MIN(soon, CLAIM_MAX);
	if (!out->wanted)
		return false;
	drop_used_lots(l, now);
	return_tokens(l, per_s, out);
	/* A few tokens for requests that wait may come from a cache. */
	if (waiting && is_rare(l, now) && !out->returned)
		out->kind = TOKEN_CLAIM_CACHED;
	out->sequence = ++l->sequence;
	l->claimed = now;
	l->is_open = true;
	return true;
}

bool token_lease_apply_grant(struct token_lease *l, const struct token_grant *g,
			     struct lease_time now)
{
	struct token_lot lot = {
		.tokens = g->tokens,
		.ticket = g->ticket,
		.until = { l->claimed.monotonic_us + TOKEN_VALID_US,
			   l->claimed.boot_us + TOKEN_VALID_US },
	};

	if (!l->is_open || g->sequence != l->sequence)
		return false;
	l->is_open = false;
	l->dry_until_us = now.monotonic_us + g->retry_us;
	drop_used_lots(l, now);
	if (lot.tokens && is_valid(&lot, now) && l->lot_count < LEASE_LOTS)
		l->lots[l->lot_count++] = lot;
	return true;
}
