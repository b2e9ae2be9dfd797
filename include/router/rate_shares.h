#ifndef ROUTER_RATE_SHARES_H
#define ROUTER_RATE_SHARES_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Divides rates that all hosts share. One host divides the rate of a key; the
 * others claim shares from it, which lapse
 * unless they are claimed again. A host without a claim has no share, so the
 * shares of all hosts together stay within the limit.
 */
struct rate_shares;

/** What a host knows of the limit of a key. */
struct rate_limit_news {
	bool is_limited;
	/** Calls a second from all hosts together, if is_limited is set. */
	double per_s;
	/** Time since this was learned from its source. */
	int64_t age_us;
};

/** Claim of one host for a share of a limit. Pointers are borrowed. */
struct rate_claim {
	const char *key;
	/** Distinguishes successive limits of one key; a greater one is newer. */
	int64_t epoch;
	/** The owners are hosts of the region of this failure domain. */
	const char *domain;
	struct rate_limit_news news;
	/** Calls a second that the host would send; 0 returns its share. */
	double wanted_per_s;
};

/** Answer to a claim. Pointers are borrowed. */
struct rate_grant {
	const char *key;
	int64_t epoch;
	/** Newest news among the claims for the key. */
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
 * that may be divided, from 0 to 1. The grant borrows the claim's key.
 */
void rate_shares_claim(struct rate_shares *s, const char *host,
		       const struct rate_claim *claim, double part,
		       int64_t now_us, struct rate_grant *out);

/** Frees what is kept of keys without claims. */
void rate_shares_sweep(struct rate_shares *s, int64_t now_us);

/** Returns the number of keys for which hosts hold claims. */
uint32_t rate_shares_key_count(const struct rate_shares *s);

#endif
