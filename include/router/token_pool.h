#ifndef ROUTER_TOKEN_POOL_H
#define ROUTER_TOKEN_POOL_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"

/**
 * Tokens of rates that all hosts share, at the host that owns them. Each rate
 * has a token bucket. A grant takes tokens out of the bucket; the host that
 * claimed them may use them for TOKEN_VALID_US, counted from its claim. Caches
 * of hosts hold a few tokens for TOKEN_STANDING_US.
 */
struct token_pool;

/** Time for which a token may be used after it was claimed. */
#define TOKEN_VALID_US (300 * US_PER_MS)

/**
 * The same for the few tokens that a host keeps for requests that may come. An
 * owner leaves room for the tokens of an earlier one for so long.
 */
#define TOKEN_STANDING_US (6 * US_PER_S)

enum token_claim_kind {
	/** For requests of the claiming host. */
	TOKEN_CLAIM_USE,
	/** The same, for single tokens out of the cache of another host. */
	TOKEN_CLAIM_CACHED,
	/** For the cache of the claiming host. */
	TOKEN_CLAIM_STANDING,
};

/** What an owner grants; the sum of both parts stays within the bounds. */
enum token_part {
	/** This host must not grant: another host may do so. */
	TOKEN_PART_NONE,
	/** A small part, beside a first owner that grants all. */
	TOKEN_PART_SECOND,
	TOKEN_PART_ALL,
};

/** Bounds on the requests of all hosts together that a rate permits. */
struct token_limit {
	double max_per_s;
	double burst;
	/** Bound on the cold calls of a leaf rather than on a quota. */
	bool is_cold_leaf;
	/** Version of the configuration that sets the limit. */
	uint64_t version;
	/** Regions that divide the limit equally; 0 for one. Not sent. */
	uint32_t regions;
};

/** Claim of a host. Pointers are borrowed. */
struct token_claim {
	const char *key;
	/**
	 * The owners are hosts of its region; empty for all hosts. Of a quota:
	 * a region as of host_directory_rate_region(), whose part of the quota
	 * is claimed.
	 */
	const char *domain;
	enum token_claim_kind kind;
	struct token_limit limit;
	/** Repeated in the grant. */
	uint32_t sequence;
	uint32_t wanted;
	/** Of a cache: tokens that it has passed on since its last claim. */
	uint32_t spent;
	/** Tokens of an earlier grant that will not be used. */
	uint32_t returned;
	/** Ticket of an earlier grant, of which returned and spent tokens are.
	 */
	uint64_t returned_ticket;
};

/** Answer to a claim. Pointers are borrowed. */
struct token_grant {
	const char *key;
	uint32_t sequence;
	uint32_t tokens;
	/** Identifies the grant, for the return of its tokens. */
	uint64_t ticket;
	/** The owner has no more tokens: time until the next claim. */
	int64_t retry_us;
	/**
	 * Time in which the next claim, of another owner, will be answered; 0
	 * if not known. Not sent.
	 */
	int64_t next_answer_us;
	/** The bucket is nearly empty. Not sent. */
	bool is_low;
	/** For the cache of the claiming host. */
	bool is_standing;
	/** The host does not own the key, or its cache has too few tokens. */
	bool is_elsewhere;
};

/** Key of a bucket: each region has one of each quota. */
struct token_key {
	const char *key;
	const char *domain;
};

/** For tables with keys of struct token_key. */
unsigned int token_key_hash(const void *key);
int token_key_equal(const void *a, const void *b);

/** seed distinguishes the tickets of this pool from those of other hosts. */
struct token_pool *token_pool_create(uint32_t seed);
void token_pool_free(struct token_pool *p);

/**
 * Handles a claim. part is what this host may grant, and since_us the time from
 * which it has been allowed to do so without a break; the bucket was empty
 * then. The grant borrows the claim's key.
 */
void token_pool_claim(struct token_pool *p, const struct token_claim *claim,
		      enum token_part part, int64_t since_us, int64_t now_us,
		      struct token_grant *out);

/** Frees the buckets that are full and were not used lately. */
void token_pool_sweep(struct token_pool *p, int64_t now_us);

/** Returns the number of keys with a bucket. */
uint32_t token_pool_count(const struct token_pool *p);

#endif
