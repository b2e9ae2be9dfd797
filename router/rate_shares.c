#include "router/rate_shares.h"

#include <string.h>

#include <glib.h>

#include "common/clock.h"

/*
 * Interval at which a host claims again. It grows with the claims for all
 * keys, so that the dividing host gets at most CLAIMS_PER_S claims.
 */
#define REFRESH_MIN_US (250 * US_PER_MS)
#define CLAIMS_PER_S 100
/* A share lapses after this many intervals without a claim. */
#define VALID_INTERVALS 4
/* A claim counts for longer than its share is valid at the claiming host. */
#define CLAIM_MARGIN_US (100 * US_PER_MS)
/*
 * Smallest share of a host. A lower limit is given to one host alone:
 * each host may save up one call, and the saved calls of many hosts at once
 * would exceed a small limit.
 */
#define SHARE_MIN_PER_S 2.0
/* A lower limit is used at this rate to learn of its end. */
#define PROBE_PER_S 0.25
/* Hosts may claim more for a moment than they wanted in the last one. */
#define WANTED_HEADROOM 1.2
/* A key without claims is forgotten after this time. */
#define FORGET_US (10 * US_PER_S)

struct held_claim {
	char *host;
	double wanted_per_s;
	double share_per_s;
	int64_t until_us;
};

/** Division of the limit of one key. */
struct key_shares {
	char *key;
	int64_t epoch;
	bool is_limited;
	double limit_per_s;
	int64_t news_at_us;
	int64_t claimed_at_us;
	/** Of struct held_claim, the earliest first. */
	GPtrArray *claims;
};

struct rate_shares {
	/** Of struct key_shares, by key. */
	GHashTable *keys;
	/** Claims for all keys together, lapsed ones included. */
	uint32_t claim_count;
};

static void handle_free_claim(gpointer data)
{
	struct held_claim *c = data;

	g_free(c->host);
	g_free(c);
}

static void handle_free_key(gpointer data)
{
	struct key_shares *k = data;

	g_ptr_array_free(k->claims, TRUE);
	g_free(k->key);
	g_free(k);
}

struct rate_shares *rate_shares_create(void)
{
	struct rate_shares *s = g_new0(struct rate_shares, 1);

	s->keys = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					handle_free_key);
	return s;
}

void rate_shares_free(struct rate_shares *s)
{
	g_hash_table_destroy(s->keys);
	g_free(s);
}

/* Returns the key of a claim; a key with a newer epoch begins anew. */
static struct key_shares *get_key(struct rate_shares *s,
				  const struct rate_claim *c)
{
	struct key_shares *k = g_hash_table_lookup(s->keys, c->key);

	if (k && k->epoch >= c->epoch)
		return k;
	if (k)
		s->claim_count -= k->claims->len;
	k = g_new0(struct key_shares, 1);
	k->key = g_strdup(c->key);
	k->epoch = c->epoch;
	k->news_at_us = INT64_MIN;
	k->claims = g_ptr_array_new_with_free_func(handle_free_claim);
	g_hash_table_replace(s->keys, k->key, k);
	return k;
}

static void note_news(struct key_shares *k, const struct rate_limit_news *n,
		      int64_t now)
{
	int64_t at = now - n->age_us;

	if (at <= k->news_at_us)
		return;
	k->news_at_us = at;
	k->is_limited = n->is_limited;
	k->limit_per_s = n->per_s;
}

static void drop_lapsed_claims(struct key_shares *k, int64_t now)
{
	for (guint i = k->claims->len; i-- > 0;) {
		const struct held_claim *c = k->claims->pdata[i];

		if (now >= c->until_us)
			g_ptr_array_remove_index(k->claims, i);
	}
}

static void drop_claim(struct key_shares *k, const char *host)
{
	for (guint i = 0; i < k->claims->len; i++) {
		const struct held_claim *c = k->claims->pdata[i];

		if (strcmp(c->host, host))
			continue;
		g_ptr_array_remove_index(k->claims, i);
		return;
	}
}

static struct held_claim *get_claim(struct key_shares *k, const char *host)
{
	struct held_claim *c;

	for (guint i = 0; i < k->claims->len; i++) {
		c = k->claims->pdata[i];
		if (!strcmp(c->host, host))
			return c;
	}
	c = g_new0(struct held_claim, 1);
	c->host = g_strdup(host);
	g_ptr_array_add(k->claims, c);
	return c;
}

/* Returns how many hosts, the earliest claims first, get a share. */
static guint count_sharers(const struct key_shares *k, double total)
{
	guint most = (guint)MIN(total / SHARE_MIN_PER_S, G_MAXUINT32);

	return MIN(k->claims->len, MAX(most, 1));
}

/* Returns what the sharers that want less than a share each want together. */
static double sum_modest(const struct key_shares *k, guint sharers,
			 double share, guint *count)
{
	double sum = 0;

	*count = 0;
	for (guint i = 0; i < sharers; i++) {
		const struct held_claim *c = k->claims->pdata[i];

		if (c->wanted_per_s * WANTED_HEADROOM > share)
			continue;
		sum += c->wanted_per_s * WANTED_HEADROOM;
		++*count;
	}
	return sum;
}

/*
 * Returns the max-min fair share of a claim. What nobody wants is divided
 * equally, so that a sudden need does not wait for the next claim.
 */
static double fair_share(const struct key_shares *k,
			 const struct held_claim *claim, double total)
{
	guint sharers = count_sharers(k, total);
	double level = total / sharers;
	double wanted = claim->wanted_per_s * WANTED_HEADROOM;
	guint index;

	if (!g_ptr_array_find(k->claims, claim, &index) || index >= sharers)
		return 0;
	for (;;) {
		guint modest;
		double sum = sum_modest(k, sharers, level, &modest);
		double next;

		if (modest == sharers)
			return wanted + (total - sum) / sharers;
		next = (total - sum) / (sharers - modest);
		if (next <= level * (1 + 1e-9))
			return MIN(wanted, level);
		level = next;
	}
}

/* Returns the shares that other hosts hold. */
static double sum_others(const struct key_shares *k,
			 const struct held_claim *claim)
{
	double sum = 0;

	for (guint i = 0; i < k->claims->len; i++) {
		const struct held_claim *c = k->claims->pdata[i];

		if (c != claim)
			sum += c->share_per_s;
	}
	return sum;
}

static int64_t refresh_interval(const struct rate_shares *s)
{
	return MAX(REFRESH_MIN_US,
		   (int64_t)s->claim_count * US_PER_S / CLAIMS_PER_S);
}

/* Updates the claim of a host and returns its share, which it may use. */
static double divide(struct key_shares *k, const char *host,
		     const struct rate_claim *in, double part)
{
	double total = MAX(k->limit_per_s, PROBE_PER_S) * part;
	struct held_claim *c = get_claim(k, host);
	double share;

	c->wanted_per_s = in->wanted_per_s;
	share = MIN(fair_share(k, c, total), total - sum_others(k, c));
	c->share_per_s = MAX(share, 0);
	return c->share_per_s;
}

/* Adds or removes the claim of a host for a key and fills in its grant. */
static void update_claim(struct rate_shares *s, struct key_shares *k,
			 const char *host, const struct rate_claim *claim,
			 double part, int64_t now, struct rate_grant *out)
{
	guint before = k->claims->len;

	k->claimed_at_us = now;
	drop_lapsed_claims(k, now);
	note_news(k, &claim->news, now);
	if (k->is_limited && claim->wanted_per_s > 0)
		out->share_per_s = divide(k, host, claim, part);
	else
		drop_claim(k, host);
	s->claim_count += k->claims->len - before;
	out->news.is_limited = k->is_limited;
	out->news.per_s = k->limit_per_s;
	out->news.age_us = now - k->news_at_us;
	out->refresh_us = refresh_interval(s);
	out->valid_us = VALID_INTERVALS * out->refresh_us;
	if (k->is_limited && claim->wanted_per_s > 0)
		get_claim(k, host)->until_us =
			now + out->valid_us + CLAIM_MARGIN_US;
}

void rate_shares_claim(struct rate_shares *s, const char *host,
		       const struct rate_claim *claim, double part,
		       int64_t now_us, struct rate_grant *out)
{
	struct key_shares *k = get_key(s, claim);

	*out = (struct rate_grant){
		.key = claim->key,
		.epoch = claim->epoch,
		.news = claim->news,
		.refresh_us = REFRESH_MIN_US,
		.valid_us = VALID_INTERVALS * REFRESH_MIN_US,
	};
	if (claim->epoch == k->epoch)
		update_claim(s, k, host, claim, part, now_us, out);
}

void rate_shares_sweep(struct rate_shares *s, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->keys);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct key_shares *k = value;

		if (now_us - k->claimed_at_us < FORGET_US)
			continue;
		s->claim_count -= k->claims->len;
		g_hash_table_iter_remove(&iter);
	}
}

uint32_t rate_shares_key_count(const struct rate_shares *s)
{
	return g_hash_table_size(s->keys);
}
