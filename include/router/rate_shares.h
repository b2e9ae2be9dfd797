#ifndef ROUTER_RATE_SHARES_H
#define ROUTER_RATE_SHARES_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Divides the rate limits of leaves among the hosts that call them. One host
 * divides the limit of a leaf; the others claim shares from it, which lapse
 * unless they are claimed again. A host without a claim has no share, so the
 * shares of all hosts together stay within the limit.
 */
struct rate_shares;

/** What a host knows of the rate limit of a leaf. */
struct rate_limit_news {
	bool is_limited;
	/** Calls a second from all hosts together, if is_limited is set. */
	double per_s;
	/** Time since the leaf's reply that told so. */
	int64_t age_us;
};

/** Claim of one host for a share of a leaf's limit. Pointers are borrowed. */
struct rate_claim {
	const char *leaf;
	/** Start of the leaf, as in struct leaf_entry. */
	int64_t leaf_started_ms;
	/** Failure domain of the leaf; the owners are hosts of its region. */
	const char *leaf_domain;
	struct rate_limit_news news;
	/** Calls a second that the host would send; 0 returns its share. */
	double wanted_per_s;
};

/** Answer to a claim. Pointers are borrowed. */
struct rate_grant {
	const char *leaf;
	int64_t leaf_started_ms;
	/** Newest news among the claims for the leaf. */
	struct rate_limit_news news;
	/** Calls a second that the host may send; 0 for none. */
	double share_per_s;
	/** Time after which the share lapses. */
	int64_t valid_us;
	/** Time after which to claim again. */
	int64_t refresh_us;
};

struct rate_shares *rate_shares_create(void);
void rate_shares_free(struct rate_shares *s);

/**
 * Handles a claim of the host with an address. part is the share of the limit
 * that may be divided, from 0 to 1. The grant borrows the claim's leaf.
 */
void rate_shares_claim(struct rate_shares *s, const char *host,
		       const struct rate_claim *claim, double part,
		       int64_t now_us, struct rate_grant *out);

/** Frees what is kept of leaves without claims. */
void rate_shares_sweep(struct rate_shares *s, int64_t now_us);

/** Returns the number of leaves for which hosts hold claims. */
uint32_t rate_shares_leaf_count(const struct rate_shares *s);

#endif
