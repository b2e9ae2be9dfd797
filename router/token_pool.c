#include "router/token_pool.h"

#include <math.h>
#include <string.h>

#include <glib.h>

/*
 * Tokens granted before a window of the bound may be used in it, so a rate r
 * and a bucket of b allow r * (window + TOKEN_VALID_US) + b requests in it. The
 * parts of both owners are chosen so that their sum stays within the bounds.
 *
 * Quota, 5 s: (0.98 + 0.04) * 5.3 * rate + 0.08 * rate + 1.05 * burst + 18, at
 * most (5 * rate + burst) * 1.1 + 20.
 *
 * The regions divide the quota: each has an owner of all and a second one, and
 * its buckets have the rate and the size divided by the number of regions.
 *
 * Cold leaf, 1 s: (0.98 + 0.04) * 1.3 * rate + 0.14 * rate + 5, at most
 * 1.5 * rate + 5.
 */
struct part_limits {
	/** Factor on the rate. */
	double rate;
	/** The bucket holds these factors of the rate and burst, and this. */
	double rate_s;
	double burst;
	double tokens;
};

static const struct part_limits quota_limits[] = {
	[TOKEN_PART_NONE] = { 0, 0, 0, 0 },
	[TOKEN_PART_SECOND] = { 0.04, 0.01, 0.05, 4 },
	[TOKEN_PART_ALL] = { 0.98, 0.07, 1, 14 },
};

static const struct part_limits cold_limits[] = {
	[TOKEN_PART_NONE] = { 0, 0, 0, 0 },
	[TOKEN_PART_SECOND] = { 0.04, 0.02, 0, 1 },
	[TOKEN_PART_ALL] = { 0.98, 0.12, 0, 4 },
};

/* Grants are counted by the time of the owner, in slots of this length. */
#define SLOT_US (25 * US_PER_MS)
/* Slots of which tokens may still be in use, the current one included. */
#define SLOTS ((int)(TOKEN_VALID_US / SLOT_US) + 1)
/* The same for tokens in caches. */
#define STANDING_SLOT_US (500 * US_PER_MS)
#define STANDING_SLOTS ((int)(TOKEN_STANDING_US / STANDING_SLOT_US) + 1)
/* Parts of a bucket's size that one claim of a cache, and all caches, get. */
#define STANDING_CLAIM_PART 0.17
#define STANDING_PART 0.5
/* Time until the next claim of a cache that got no tokens. */
#define STANDING_RETRY_US (1 * US_PER_S)
#define UNMET_HALF_LIFE_US (500 * US_PER_MS)
/* Bounds of the time until the next claim of a host that got too little. */
#define RETRY_FLOOR_US (20 * US_PER_MS)
#define RETRY_MIN_US (150 * US_PER_MS)
/*
 * The same for a bucket that few hosts empty: this part of the time in which it
 * fills up, for each host. Claims of several hosts may come at the same time.
 */
#define RETRY_SIZE 0.15
#define RETRY_MAX_US (1 * US_PER_S)
/* Time until a host that asked the wrong one claims again. */
#define RETRY_ELSEWHERE_US (250 * US_PER_MS)
/*
 * Time from which no window of the bound has requests with tokens of the owner
 * before this one: until the last of them have lapsed, and a window.
 */
#define REPLENISH_US (TOKEN_STANDING_US + STANDING_SLOT_US + 5 * US_PER_S)
/* A bucket with fewer tokens is nearly empty. */
#define LOW_TOKENS 2
/* A full bucket without claims is forgotten after this time. */
#define FORGET_US (10 * US_PER_S)

struct token_bucket {
	/** Its strings belong to the bucket. */
	struct token_key key;
	struct token_limit limit;
	enum token_part part;
	int64_t since_us;
	double tokens;
	int64_t tokens_at_us;
	/** Since then the bucket has had its part, or since since_us. */
	int64_t changed_at_us;
	/** Tokens granted before the bucket was replenished. */
	double granted_new;
	bool is_replenished;
	int64_t claimed_at_us;
	/** Tokens granted by slot, at the slot's number modulo SLOTS. */
	uint32_t granted[SLOTS];
	int64_t slot;
	/** Tokens in caches, in the same way. */
	uint32_t standing[STANDING_SLOTS];
	int64_t standing_slot;
	/** Claims that got too little and what they wanted, decaying. */
	double unmet_claims;
	double unmet_wanted;
	int64_t unmet_at_us;
	/** Time until the next claim, as last told to a host. */
	int64_t retry_us;
};

struct token_pool {
	/** Of struct token_bucket, by struct token_key. */
	GHashTable *buckets;
	uint32_t seed;
};

static void handle_free_bucket(gpointer data)
{
	struct token_bucket *b = data;

	g_free((char *)b->key.key);
	g_free((char *)b->key.domain);
	g_free(b);
}

guint token_key_hash(gconstpointer key)
{
	const struct token_key *k = key;

	return g_str_hash(k->key) * 31 + g_str_hash(k->domain);
}

gboolean token_key_equal(gconstpointer a, gconstpointer b)
{
	const struct token_key *x = a;
	const struct token_key *y = b;

	return !strcmp(x->key, y->key) && !strcmp(x->domain, y->domain);
}

struct token_pool *token_pool_create(uint32_t seed)
{
	struct token_pool *p = g_new0(struct token_pool, 1);

	p->seed = seed;
	p->buckets = g_hash_table_new_full(token_key_hash, token_key_equal,
					   NULL, handle_free_bucket);
	return p;
}

void token_pool_free(struct token_pool *p)
{
	g_hash_table_destroy(p->buckets);
	g_free(p);
}

static const struct part_limits *part_limits(const struct token_bucket *b)
{
	return b->limit.is_cold_leaf ? &cold_limits[b->part]
				     : &quota_limits[b->part];
}

static double bucket_rate(const struct token_bucket *b)
{
	return b->limit.max_per_s * part_limits(b)->rate /
	       MAX(b->limit.regions, 1);
}

static double bucket_size(const struct token_bucket *b)
{
	const struct part_limits *l = part_limits(b);

	return (b->limit.max_per_s * l->rate_s + b->limit.burst * l->burst +
		l->tokens) /
	       MAX(b->limit.regions, 1);
}

static void clear_old_slots(struct token_bucket *b, int64_t now)
{
	int64_t slot = now / SLOT_US;

	if (slot - b->slot >= SLOTS)
		b->slot = slot - SLOTS;
	while (b->slot < slot)
		b->granted[++b->slot % SLOTS] = 0;
}

static void clear_old_standing(struct token_bucket *b, int64_t now)
{
	int64_t slot = now / STANDING_SLOT_US;

	if (slot - b->standing_slot >= STANDING_SLOTS)
		b->standing_slot = slot - STANDING_SLOTS;
	while (b->standing_slot < slot)
		b->standing[++b->standing_slot % STANDING_SLOTS] = 0;
}

static uint32_t count_standing(const struct token_bucket *b)
{
	uint32_t sum = 0;

	for (int i = 0; i < STANDING_SLOTS; i++)
		sum += b->standing[i];
	return sum;
}

/* Returns the tokens that hosts and caches may still use. */
static double outstanding(const struct token_bucket *b)
{
	double sum = count_standing(b);

	for (int i = 0; i < SLOTS; i++)
		sum += b->granted[i];
	return sum;
}

/* Returns whether caches may still use tokens of an owner before this one. */
static bool is_new_owner(const struct token_bucket *b, int64_t now)
{
	return b->part == TOKEN_PART_ALL &&
	       now - b->since_us < TOKEN_STANDING_US + STANDING_SLOT_US;
}

static double current_size(const struct token_bucket *b, int64_t now)
{
	return bucket_size(b) * (is_new_owner(b, now) ? 1 - STANDING_PART : 1);
}

/*
 * Returns the most tokens that may be in the bucket. Those in use count as if
 * they were there, so that a return of many tokens cannot exceed its size.
 */
static double most_tokens(const struct token_bucket *b, int64_t now)
{
	double size = current_size(b, now);
	double most = size +
		      bucket_rate(b) * (double)TOKEN_VALID_US / US_PER_S -
		      outstanding(b);

	return CLAMP(most, 0, size);
}

/*
 * Adds the tokens that a bucket lacks because it was empty when this host began
 * to grant: with a low rate it would take minutes to get the first one.
 */
static void replenish(struct token_bucket *b, int64_t now)
{
	if (b->is_replenished || b->part != TOKEN_PART_ALL ||
	    b->limit.is_cold_leaf ||
	    now - MAX(b->since_us, b->changed_at_us) < REPLENISH_US)
		return;
	b->is_replenished = true;
	b->tokens = MAX(b->tokens, MIN(bucket_size(b) - b->granted_new,
				       most_tokens(b, now)));
}

/* Adds the tokens that have become available. */
static void refill(struct token_bucket *b, int64_t now)
{
	double rate = bucket_rate(b);
	double most = most_tokens(b, now);

	if (now > b->tokens_at_us && b->tokens < most)
		b->tokens =
			MIN(b->tokens + rate * (double)(now - b->tokens_at_us) /
						US_PER_S,
			    most);
	b->tokens_at_us = MAX(b->tokens_at_us, now);
	replenish(b, now);
}

static struct token_bucket *get_bucket(struct token_pool *p,
				       const struct token_claim *claim,
				       enum token_part part, int64_t since)
{
	/* The calls to a cold leaf have one bucket, whatever a claim states. */
	struct token_key key = {
		.key = claim->key,
		.domain = claim->limit.is_cold_leaf ? "" : claim->domain,
	};
	struct token_bucket *b = g_hash_table_lookup(p->buckets, &key);

	if (b)
		return b;
	b = g_new0(struct token_bucket, 1);
	b->key.key = g_strdup(key.key);
	b->key.domain = g_strdup(key.domain);
	b->limit = claim->limit;
	b->part = part;
	b->since_us = since;
	b->tokens_at_us = since;
	g_hash_table_insert(p->buckets, &b->key, b);
	return b;
}

/* A host that was not allowed to grant for a time starts with no tokens. */
static void set_part(struct token_bucket *b, enum token_part part,
		     int64_t since, int64_t now)
{
	if (b->part == part && b->since_us >= since)
		return;
	b->part = part;
	b->since_us = since;
	b->tokens = 0;
	b->tokens_at_us = MAX(b->tokens_at_us, since);
	b->changed_at_us = now;
	b->granted_new = 0;
	b->is_replenished = false;
}

/*
 * Applies a newer limit, or another number of regions. Tokens that hosts still
 * hold under the earlier limit count: with a bucket of the new size beside
 * them, a window that begins now would exceed the new limit.
 */
static void set_limit(struct token_bucket *b, const struct token_limit *limit,
		      int64_t now)
{
	struct token_limit next = limit->version > b->limit.version ? *limit
								    : b->limit;

	next.regions = limit->regions;
	if (next.version == b->limit.version &&
	    next.regions == b->limit.regions)
		return;
	refill(b, now);
	b->limit = next;
	b->tokens = MIN(b->tokens, most_tokens(b, now));
}

/* Returns the time since the grant of which a claim returns tokens. */
static int64_t ticket_age(const struct token_bucket *b,
			  const struct token_claim *claim)
{
	int64_t slot = (int64_t)(claim->returned_ticket & UINT32_MAX);
	int64_t age = (b->slot & UINT32_MAX) - slot;

	return age < 0 ? INT64_MAX : age * SLOT_US;
}

static void take_back(const struct token_pool *p, struct token_bucket *b,
		      const struct token_claim *claim)
{
	int64_t age = ticket_age(b, claim) / SLOT_US;
	uint32_t *granted;
	uint32_t count;

	/* Tokens of another process or that have lapsed are lost. */
	if (claim->returned_ticket >> 32 != p->seed || age >= SLOTS)
		return;
	granted = &b->granted[(b->slot - age) % SLOTS];
	count = MIN(claim->returned, *granted);
	*granted -= count;
	b->tokens += count;
}

/*
 * Takes tokens out of those in caches, the earliest granted first. It does not
 * matter which cache held them: tokens that were granted later count longer.
 */
static uint32_t take_standing(struct token_bucket *b, uint32_t count)
{
	uint32_t taken = 0;

	for (int i = 1; i <= STANDING_SLOTS; i++) {
		uint32_t *n =
			&b->standing[(b->standing_slot + i) % STANDING_SLOTS];
		uint32_t part = MIN(*n, count - taken);

		*n -= part;
		taken += part;
	}
	return taken;
}

/* Notes what a cache has done with its tokens, and grants it some more. */
static void fill_cache(const struct token_pool *p, struct token_bucket *b,
		       const struct token_claim *claim, int64_t now,
		       struct token_grant *out)
{
	double most = bucket_size(b) * STANDING_PART;
	double held;

	out->retry_us = STANDING_RETRY_US;
	/* A report of tokens that have lapsed would count those of others. */
	if (claim->returned_ticket >> 32 == p->seed &&
	    ticket_age(b, claim) < TOKEN_STANDING_US) {
		b->granted[b->slot % SLOTS] += take_standing(b, claim->spent);
		b->tokens += take_standing(b, claim->returned);
	}
	held = count_standing(b);
	if (b->part != TOKEN_PART_ALL || held >= most || is_new_owner(b, now))
		return;
	/* One at least: the part of a region of a small quota is below that. */
	most = MIN(most - held, MAX(bucket_size(b) * STANDING_CLAIM_PART, 1));
	/* Requests that are there come before those that may come. */
	out->tokens = (uint32_t)MIN(MIN(most, ceil(b->tokens / 4)),
				    MIN(claim->wanted,
					MAX(b->tokens - LOW_TOKENS, 0)));
	b->tokens -= out->tokens;
	b->granted_new += out->tokens;
	b->standing[b->standing_slot % STANDING_SLOTS] += out->tokens;
	if (out->tokens)
		out->retry_us = 0;
}

static void decay_unmet(struct token_bucket *b, int64_t now)
{
	double factor = exp2(-(double)(now - b->unmet_at_us) /
			     (double)UNMET_HALF_LIFE_US);

	b->unmet_wanted *= factor;
	b->unmet_claims *= factor;
	b->unmet_at_us = now;
}

/* Converts a sum that decays to its growth in a second. */
static double sum_to_rate(double sum)
{
	return sum * M_LN2 / ((double)UNMET_HALF_LIFE_US / US_PER_S);
}

/* Returns the time after which a host that gets too little claims again. */
static int64_t retry_time(struct token_bucket *b, double fair, int64_t now)
{
	double retry = (double)RETRY_MIN_US / CLAMP(fair, 1e-3, 1);
	double rate = bucket_rate(b);
	double hosts;

	if (rate <= 0)
		return RETRY_MAX_US;
	hosts = sum_to_rate(b->unmet_claims) * (double)b->retry_us / US_PER_S;
	retry = MIN(retry, RETRY_SIZE * MAX(hosts, 1) * current_size(b, now) /
				   rate * US_PER_S);
	return (int64_t)CLAMP(retry, (double)RETRY_FLOOR_US,
			      (double)RETRY_MAX_US);
}

/*
 * Takes the tokens for a claim out of the bucket. If there are too few, a host
 * gets the part of the rate that it has of the tokens that are claimed in vain
 * in a second, and more while the bucket is full.
 */
static void allot(struct token_bucket *b, uint32_t wanted, int64_t now,
		  struct token_grant *out)
{
	double fair;

	out->tokens = wanted;
	if (b->tokens < wanted) {
		decay_unmet(b, now);
		b->unmet_wanted += wanted;
		b->unmet_claims += 1;
		fair = bucket_rate(b) * wanted / sum_to_rate(b->unmet_wanted) *
		       (1 + b->tokens / MAX(bucket_size(b), 1));
		b->retry_us = retry_time(b, fair, now);
		out->retry_us = b->retry_us;
		out->tokens = (uint32_t)MIN(ceil(fair), b->tokens);
	}
	b->tokens -= out->tokens;
	b->granted_new += out->tokens;
}

void token_pool_claim(struct token_pool *p, const struct token_claim *claim,
		      enum token_part part, int64_t since_us, int64_t now_us,
		      struct token_grant *out)
{
	struct token_bucket *b;

	*out = (struct token_grant){
		.key = claim->key,
		.sequence = claim->sequence,
		.is_standing = claim->kind == TOKEN_CLAIM_STANDING,
		.is_elsewhere = part == TOKEN_PART_NONE,
		.retry_us = part == TOKEN_PART_NONE ? RETRY_ELSEWHERE_US : 0,
	};
	if (part == TOKEN_PART_NONE)
		return;
	b = get_bucket(p, claim, part, since_us);
	clear_old_slots(b, now_us);
	clear_old_standing(b, now_us);
	set_part(b, part, since_us, now_us);
	set_limit(b, &claim->limit, now_us);
	b->claimed_at_us = now_us;
	out->ticket = (uint64_t)p->seed << 32 |
		      (uint64_t)(b->slot & UINT32_MAX);
	if (claim->kind == TOKEN_CLAIM_STANDING) {
		refill(b, now_us);
		fill_cache(p, b, claim, now_us, out);
		return;
	}
	take_back(p, b, claim);
	refill(b, now_us);
	allot(b, claim->wanted, now_us, out);
	b->granted[b->slot % SLOTS] += out->tokens;
	out->is_low = b->tokens < LOW_TOKENS;
}

static bool is_forgettable(struct token_bucket *b, int64_t now)
{
	double rate = bucket_rate(b);
	/* A bucket without a rate is of an organisation that was removed. */
	double full_us = rate > 0 ? bucket_size(b) / rate * US_PER_S : 0;

	/* A new bucket is filled from since_us. */
	return now - b->claimed_at_us >= MAX((double)FORGET_US, full_us) &&
	       (double)(now - b->since_us) >= full_us && !count_standing(b);
}

void token_pool_sweep(struct token_pool *p, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, p->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (is_forgettable(value, now_us))
			g_hash_table_iter_remove(&iter);
	}
}

uint32_t token_pool_count(const struct token_pool *p)
{
	return g_hash_table_size(p->buckets);
}
