#ifndef ROUTER_TOKEN_CACHE_H
#define ROUTER_TOKEN_CACHE_H

#include <glib.h>

#include "router/token_lease.h"

/**
 * A few tokens of the quotas that this host was asked for lately, so that most
 * requests need not wait for the owner. They are valid for TOKEN_STANDING_US;
 * the owner counts them until they are used or have lapsed. Requests renew
 * them: a key that is not asked for is not claimed again.
 */
struct token_cache;

struct token_cache *token_cache_create(void);
void token_cache_free(struct token_cache *c);

/**
 * Answers a claim of this host. If there are too few tokens, the grant tells to
 * claim from the owner.
 */
void token_cache_claim(struct token_cache *c, const struct token_claim *claim,
		       struct lease_time now, struct token_grant *out);

/**
 * Returns the claims that are due, of struct token_claim; NULL if there are
 * none. They borrow from the cache; free with g_array_free().
 */
GArray *token_cache_take_claims(struct token_cache *c, struct lease_time now);

/** Handles the answer to such a claim. */
void token_cache_apply_grant(struct token_cache *c, const struct token_grant *g,
			     struct lease_time now);

/** Returns the time of the next claim; INT64_MAX if none is due. */
int64_t token_cache_next_claim(const struct token_cache *c);

/** Frees the keys whose tokens have lapsed. */
void token_cache_sweep(struct token_cache *c, struct lease_time now);

#endif
