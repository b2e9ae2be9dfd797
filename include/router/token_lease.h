#ifndef ROUTER_TOKEN_LEASE_H
#define ROUTER_TOKEN_LEASE_H

#include "router/token_pool.h"

/**
 * Grants of which tokens may be left at the same time. Owners of several
 * regions may grant, and only the one that granted tokens takes them back.
 */
#define LEASE_LOTS 4

/**
 * Time by two clocks. A host may be suspended, during which the monotonic clock
 * stands still.
 */
struct lease_time {
	int64_t monotonic_us;
	int64_t boot_us;
};

/** Tokens of one grant. */
struct token_lot {
	uint32_t tokens;
	uint64_t ticket;
	struct lease_time until;
};

/**
 * Tokens of one key that this host may use, and when to claim more. A key that
 * is not wanted is not claimed.
 */
struct token_lease {
	/** The earliest first. */
	struct token_lot lots[LEASE_LOTS];
	uint32_t lot_count;
	/** Of the last claim. */
	uint32_t sequence;
	struct lease_time claimed;
	/** The last claim has not been answered. */
	bool is_open;
	/** When to claim; INT64_MAX if nothing is wanted. */
	int64_t claim_at_us;
	/** The owner has no tokens for this host until then. */
	int64_t dry_until_us;
	/** Tokens wanted lately, as an exponentially decaying sum. */
	double wanted;
	int64_t wanted_at_us;
};

void token_lease_init(struct token_lease *l);

/**
 * Takes a token for a call that is wanted now. Returns false if there is none;
 * then tokens are claimed as soon as possible.
 */
bool token_lease_take(struct token_lease *l, struct lease_time now,
		      uint64_t *ticket);

/** Returns whether a token can be taken. */
bool token_lease_has_token(const struct token_lease *l, struct lease_time now);

/** Returns the number of tokens that can be taken. */
uint32_t token_lease_count(const struct token_lease *l, struct lease_time now);

/** Notes that a token is wanted, whether it is there or not. */
void token_lease_note_wanted(struct token_lease *l, struct lease_time now);

/** Takes a token whose need was noted before. */
bool token_lease_use(struct token_lease *l, struct lease_time now,
		     uint64_t *ticket);

/** Returns a token whose call was not sent, if its grant is still valid. */
void token_lease_give_back(struct token_lease *l, uint64_t ticket,
			   struct lease_time now);

/** Returns the tokens a second that are wanted. */
double token_lease_wanted(const struct token_lease *l, int64_t now_us);

/** Claims more tokens as soon as possible. */
void token_lease_claim_again(struct token_lease *l, struct lease_time now);

/** Returns whether the owner has told that it has no tokens for a while. */
bool token_lease_is_dry(const struct token_lease *l, int64_t now_us);

/**
 * Fills in the tokens of a claim, for waiting calls and those expected soon.
 * Returns false if no claim is due.
 */
bool token_lease_take_claim(struct token_lease *l, uint32_t waiting,
			    struct lease_time now, struct token_claim *out);

/** Applies a grant. Returns false if it answers an older claim. */
bool token_lease_apply_grant(struct token_lease *l, const struct token_grant *g,
			     struct lease_time now);

#endif
