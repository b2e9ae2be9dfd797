#include "router/token_cache.h"

#include <math.h>
#include <string.h>

#include "engine/heap.h"

/* Most tokens of a key; the owner mostly grants fewer. */
#define STANDING_MAX 16
/* Tokens are claimed for the requests that come in this time. */
#define STANDING_S 0.5
#define SPENT_HALF_LIFE_US (2 * US_PER_S)
/* A request renews the tokens of its key when the last claim has this age. */
#define RENEW_AGE_US (TOKEN_STANDING_US / 2)
/*
 * No tokens are claimed for a key whose last two requests were further apart:
 * they would mostly lapse, and count as in use until then.
 */
#define RARE_US (TOKEN_STANDING_US / 2)
/* The interval of requests is known for this time after the last one. */
#define KEPT_US (60 * US_PER_S)
/* Shortest interval between claims for a key, answered or not. */
#define CLAIM_MIN_US (100 * US_PER_MS)

struct cached_key {
	/** In the heap while a claim is due. */
	struct heap_node node;
	char *key;
	struct token_limit limit;
	/** The earlier grant, whose tokens are used first, and the later one. */
	struct token_lot lots[2];
	/** Tokens of the later grant when it arrived. */
	uint32_t granted;
	/** Tokens used and given up since the last claim. */
	uint32_t spent;
	uint32_t returned;
	/** The earliest grant of which they were; 0 if there are none. */
	uint64_t report_ticket;
	uint32_t sequence;
	struct lease_time claimed;
	int64_t dry_until_us;
	/** Tokens asked for lately, as an exponentially decaying sum. */
	double asked;
	int64_t asked_at_us;
};

struct token_cache {
	/** Of struct cached_key, by key. */
	GHashTable *keys;
	struct heap claims;
};

static void handle_free_key(gpointer data)
{
	struct cached_key *k = data;

	g_free(k->key);
	g_free(k);
}

struct token_cache *token_cache_create(void)
{
	struct token_cache *c = g_new0(struct token_cache, 1);

	c->keys = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					handle_free_key);
	return c;
}

void token_cache_free(struct token_cache *c)
{
	heap_clear(&c->claims);
	g_hash_table_destroy(c->keys);
	g_free(c);
}

static struct cached_key *get_key(struct token_cache *c,
				  const struct token_claim *claim)
{
	struct cached_key *k = g_hash_table_lookup(c->keys, claim->key);

	if (k)
		return k;
	k = g_new0(struct cached_key, 1);
	k->key = g_strdup(claim->key);
	k->limit = claim->limit;
	g_hash_table_insert(c->keys, k->key, k);
	return k;
}

static void note_report(struct cached_key *k, const struct token_lot *lot)
{
	if (!k->report_ticket)
		k->report_ticket = lot->ticket;
}

static void give_up(struct cached_key *k, struct token_lot *lot)
{
	if (lot->tokens)
		note_report(k, lot);
	k->returned += lot->tokens;
	lot->tokens = 0;
}

static void spend(struct cached_key *k, uint32_t count)
{
	for (size_t i = 0; i < G_N_ELEMENTS(k->lots) && count; i++) {
		uint32_t part = MIN(count, k->lots[i].tokens);

		if (part)
			note_report(k, &k->lots[i]);
		k->lots[i].tokens -= part;
		k->spent += part;
		count -= part;
	}
}

/* Tokens of an older limit are given up: the new one may be lower. */
static void update_limit(struct cached_key *k, const struct token_limit *limit)
{
	if (limit->version <= k->limit.version)
		return;
	if (limit->max_per_s != k->limit.max_per_s ||
	    limit->burst != k->limit.burst) {
		give_up(k, &k->lots[0]);
		give_up(k, &k->lots[1]);
	}
	k->limit = *limit;
}

/*
 * Returns whether a token that is passed on now can be used for as long as the
 * host that gets it may believe.
 */
static bool is_valid(const struct token_lot *lot, struct lease_time now)
{
	return now.monotonic_us + TOKEN_VALID_US < lot->until.monotonic_us &&
	       now.boot_us + TOKEN_VALID_US < lot->until.boot_us;
}

/* Tokens that have lapsed are not reported: the owner knows. */
static void drop_lapsed(struct cached_key *k, struct lease_time now)
{
	for (size_t i = 0; i < G_N_ELEMENTS(k->lots); i++) {
		if (!is_valid(&k->lots[i], now))
			k->lots[i].tokens = 0;
	}
}

static void schedule_claim(struct token_cache *c, struct cached_key *k,
			   int64_t at)
{
	at = MAX(at,
		 MAX(k->claimed.monotonic_us + CLAIM_MIN_US, k->dry_until_us));
	if (!k->node.position || at < k->node.key)
		heap_push(&c->claims, &k->node, at);
}

static double decayed_asked(const struct cached_key *k, int64_t now)
{
	return k->asked * exp2(-(double)(now - k->asked_at_us) /
			       (double)SPENT_HALF_LIFE_US);
}

/* Returns how many tokens to hold for the requests that may come. */
static uint32_t wanted_tokens(const struct cached_key *k, int64_t now)
{
	double per_s = decayed_asked(k, now) * M_LN2 /
		       ((double)SPENT_HALF_LIFE_US / US_PER_S);

	return (uint32_t)CLAMP(ceil(per_s * STANDING_S), 1, STANDING_MAX);
}

void token_cache_claim(struct token_cache *c, const struct token_claim *claim,
		       struct lease_time now, struct token_grant *out)
{
	struct cached_key *k = get_key(c, claim);
	bool is_rare = k->asked_at_us &&
		       now.monotonic_us - k->asked_at_us > RARE_US;
	uint32_t left;

	update_limit(k, &claim->limit);
	drop_lapsed(k, now);
	k->asked = decayed_asked(k, now.monotonic_us) + claim->wanted;
	k->asked_at_us = now.monotonic_us;
	*out = (struct token_grant){
		.key = claim->key,
		.sequence = claim->sequence,
	};
	left = k->lots[0].tokens + k->lots[1].tokens;
	if (left >= claim->wanted) {
		out->tokens = claim->wanted;
		spend(k, claim->wanted);
		left -= claim->wanted;
	} else {
		out->is_elsewhere = true;
	}
	if (!is_rare &&
	    (left <= k->granted / 2 ||
	     now.monotonic_us - k->claimed.monotonic_us >= RENEW_AGE_US))
		schedule_claim(c, k, now.monotonic_us);
}

/* The later grant becomes the earlier one; what is left of that is given up. */
static void take_claim(struct cached_key *k, struct lease_time now,
		       struct token_claim *out)
{
	if (k->lots[1].tokens) {
		give_up(k, &k->lots[0]);
		k->lots[0] = k->lots[1];
	}
	memset(&k->lots[1], 0, sizeof(k->lots[1]));
	*out = (struct token_claim){
		.key = k->key,
		.domain = "",
		.kind = TOKEN_CLAIM_STANDING,
		.limit = k->limit,
		.sequence = ++k->sequence,
		.wanted = wanted_tokens(k, now.monotonic_us),
		.spent = k->spent,
		.returned = k->returned,
		.returned_ticket = k->report_ticket,
	};
	k->spent = 0;
	k->returned = 0;
	k->report_ticket = 0;
	k->claimed = now;
}

GArray *token_cache_take_claims(struct token_cache *c, struct lease_time now)
{
	struct heap_node *top;
	GArray *claims = NULL;

	while ((top = heap_top(&c->claims)) && top->key <= now.monotonic_us) {
		struct cached_key *k = HEAP_OWNER(top, struct cached_key, node);
		struct token_claim claim;

		heap_remove(&c->claims, top);
		drop_lapsed(k, now);
		take_claim(k, now, &claim);
		if (!claims)
			claims = g_array_new(FALSE, FALSE, sizeof(claim));
		g_array_append_val(claims, claim);
	}
	return claims;
}

/* Tokens of another owner, or of another process, are given up. */
static void drop_other_owner(struct cached_key *k, uint64_t ticket)
{
	if (k->lots[0].ticket >> 32 == ticket >> 32)
		return;
	memset(&k->lots[0], 0, sizeof(k->lots[0]));
	k->spent = 0;
	k->returned = 0;
	k->report_ticket = 0;
}

void token_cache_apply_grant(struct token_cache *c, const struct token_grant *g,
			     struct lease_time now)
{
	struct cached_key *k = g_hash_table_lookup(c->keys, g->key);

	if (!k || g->sequence != k->sequence)
		return;
	/* An answer that comes twice is not used twice. */
	k->sequence++;
	k->dry_until_us = now.monotonic_us + g->retry_us;
	if (!g->tokens && !g->retry_us)
		schedule_claim(c, k, now.monotonic_us);
	if (!g->tokens)
		return;
	drop_other_owner(k, g->ticket);
	k->granted = g->tokens;
	k->lots[1] = (struct token_lot){
		.tokens = g->tokens,
		.ticket = g->ticket,
		.until = { k->claimed.monotonic_us + TOKEN_STANDING_US,
			   k->claimed.boot_us + TOKEN_STANDING_US },
	};
}

int64_t token_cache_next_claim(const struct token_cache *c)
{
	const struct heap_node *top = heap_top(&c->claims);

	return top ? top->key : INT64_MAX;
}

void token_cache_sweep(struct token_cache *c, struct lease_time now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->keys);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct cached_key *k = value;

		if (k->node.position ||
		    now.monotonic_us - k->asked_at_us < KEPT_US ||
		    now.monotonic_us - k->claimed.monotonic_us <
			    TOKEN_STANDING_US)
			continue;
		g_hash_table_iter_remove(&iter);
	}
}
