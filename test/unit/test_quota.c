#include "suites.h"

#include <string.h>

#include "net/host_frame.h"
#include "router/quota.h"
#include "router/token_cache.h"

#define START_US (100 * US_PER_S)
#define GOAL_US (400 * US_PER_MS)

/** One host; the test answers its claims. */
struct fixture {
	struct quota *quota;
	struct lease_time now;
	struct organisation organisation;
	uint32_t admitted;
	uint32_t refused;
	int64_t retry_after_us;
	uint64_t ticket;
};

static void handle_admit(void *ctx, void *user, uint64_t ticket)
{
	struct fixture *f = ctx;

	f->admitted++;
	f->ticket = ticket;
}

static void handle_refuse(void *ctx, void *user, int64_t retry_after_us)
{
	struct fixture *f = ctx;

	f->refused++;
	f->retry_after_us = retry_after_us;
}

static const struct quota_ops ops = {
	.admit = handle_admit,
	.refuse = handle_refuse,
};

static void fixture_init(struct fixture *f)
{
	struct quota_options options = { .seed = 1, .ops = &ops, .ctx = f };

	memset(f, 0, sizeof(*f));
	f->now = (struct lease_time){ START_US, 2 * START_US };
	f->organisation = (struct organisation){
		.name = "acme",
		.max_per_s = 10,
		.burst = 5,
	};
	f->quota = quota_create(&options);
}

static void advance(struct fixture *f, int64_t us)
{
	f->now.monotonic_us += us;
	f->now.boot_us += us;
}

static enum quota_decision ask(struct fixture *f, int64_t goal_us)
{
	struct quota_request in = {
		.user = f,
		.organisation = &f->organisation,
		.version = 1,
		.goal_us = goal_us,
		.left_us = 2 * US_PER_S,
	};

	return quota_ask(f->quota, &in, f->now, &f->ticket, &f->retry_after_us);
}

/* Returns the claim that is due; fails the test if it is not exactly one. */
static struct token_claim take_claim(struct fixture *f)
{
	GArray *claims = quota_advance(f->quota, f->now);
	struct token_claim c;

	g_assert(claims);
	CU_ASSERT_EQUAL(claims->len, 1);
	c = g_array_index(claims, struct token_claim, 0);
	g_array_free(claims, TRUE);
	return c;
}

static void grant(struct fixture *f, const struct token_claim *c,
		  uint32_t tokens, int64_t retry_us)
{
	struct token_grant g = {
		.key = c->key,
		.sequence = c->sequence,
		.tokens = tokens,
		.ticket = 7,
		.retry_us = retry_us,
	};

	quota_handle_grant(f->quota, &g, f->now);
}

/* Guards against claims and waits of callers that have no quota. */
static void test_no_quota(void)
{
	struct fixture f;
	struct quota_request in = { .goal_us = GOAL_US };

	fixture_init(&f);
	CU_ASSERT_EQUAL(quota_ask(f.quota, &in, f.now, &f.ticket,
				  &f.retry_after_us),
			QUOTA_ADMITTED);
	f.organisation.max_per_s = 0;
	CU_ASSERT_EQUAL(ask(&f, GOAL_US), QUOTA_ADMITTED);
	CU_ASSERT_PTR_NULL(quota_advance(f.quota, f.now));
	CU_ASSERT_EQUAL(quota_next_timer(f.quota), INT64_MAX);
	quota_free(f.quota);
}

/* Guards against a first request that is refused while its claim is answered.
 */
static void test_first_request(void)
{
	struct fixture f;
	struct token_claim c;

	fixture_init(&f);
	CU_ASSERT_EQUAL(ask(&f, GOAL_US), QUOTA_WAITS);
	CU_ASSERT_EQUAL(ask(&f, GOAL_US), QUOTA_WAITS);
	c = take_claim(&f);
	CU_ASSERT_EQUAL(c.wanted, 2);
	advance(&f, 24 * US_PER_MS);
	grant(&f, &c, 3, 0);
	CU_ASSERT_EQUAL(f.admitted, 2);
	CU_ASSERT_EQUAL(ask(&f, GOAL_US), QUOTA_ADMITTED);
	CU_ASSERT_EQUAL(f.ticket, 7);
	CU_ASSERT_EQUAL(f.refused, 0);
	quota_free(f.quota);
}

/*
 * Guards against requests that wait longer than 60 ms, or than a quarter of
 * their latency goal, for an owner that does not answer.
 */
static void test_wait_ends(void)
{
	static const int64_t goals[] = { 400 * US_PER_MS, 120 * US_PER_MS };

	for (size_t i = 0; i < G_N_ELEMENTS(goals); i++) {
		int64_t longest = MIN(60 * US_PER_MS, goals[i] / 4);
		struct fixture f;

		fixture_init(&f);
		CU_ASSERT_EQUAL(ask(&f, goals[i]), QUOTA_WAITS);
		take_claim(&f);
		advance(&f, 24 * US_PER_MS);
		CU_ASSERT_PTR_NULL(quota_advance(f.quota, f.now));
		CU_ASSERT_EQUAL(f.refused, 0);
		CU_ASSERT_TRUE(quota_next_timer(f.quota) <= START_US + longest);
		advance(&f, longest - 24 * US_PER_MS);
		CU_ASSERT_PTR_NULL(quota_advance(f.quota, f.now));
		CU_ASSERT_EQUAL(f.refused, 1);
		CU_ASSERT_TRUE(f.retry_after_us > 0);
		quota_free(f.quota);
	}
}

/* Guards against the use of tokens that have lapsed, by either clock. */
static void test_lapsed(void)
{
	for (int suspended = 0; suspended < 2; suspended++) {
		struct fixture f;
		struct token_claim c;

		fixture_init(&f);
		ask(&f, GOAL_US);
		c = take_claim(&f);
		grant(&f, &c, 5, 0);
		CU_ASSERT_EQUAL(ask(&f, GOAL_US), QUOTA_ADMITTED);
		if (suspended)
			f.now.boot_us += TOKEN_VALID_US;
		else
			advance(&f, TOKEN_VALID_US);
		CU_ASSERT_EQUAL(ask(&f, GOAL_US), QUOTA_WAITS);
		quota_free(f.quota);
	}
}

/* Guards against the use of a grant that answers an older claim. */
static void test_late_grant(void)
{
	struct fixture f;
	struct token_claim old;
	struct token_claim c;

	fixture_init(&f);
	ask(&f, GOAL_US);
	old = take_claim(&f);
	advance(&f, 150 * US_PER_MS);
	ask(&f, GOAL_US);
	c = take_claim(&f);
	CU_ASSERT_NOT_EQUAL(old.sequence, c.sequence);
	grant(&f, &old, 5, 0);
	CU_ASSERT_EQUAL(f.admitted, 0);
	grant(&f, &c, 5, 0);
	CU_ASSERT_EQUAL(f.admitted, 1);
	/* A grant that took too long has lapsed on arrival. */
	advance(&f, TOKEN_VALID_US);
	ask(&f, GOAL_US);
	c = take_claim(&f);
	advance(&f, TOKEN_VALID_US);
	grant(&f, &c, 5, 0);
	CU_ASSERT_EQUAL(f.admitted, 1);
	quota_free(f.quota);
}

/*
 * Guards against refusals that wait, and against refused callers that return
 * all at once.
 */
static void test_refused_at_once(void)
{
	int64_t least = INT64_MAX;
	int64_t most = 0;
	struct fixture f;
	struct token_claim c;

	fixture_init(&f);
	ask(&f, GOAL_US);
	c = take_claim(&f);
	grant(&f, &c, 0, 200 * US_PER_MS);
	CU_ASSERT_EQUAL(f.refused, 1);
	for (int i = 0; i < 100; i++) {
		CU_ASSERT_EQUAL(ask(&f, GOAL_US), QUOTA_EXCEEDED);
		least = MIN(least, f.retry_after_us);
		most = MAX(most, f.retry_after_us);
	}
	CU_ASSERT_TRUE(least >= 100 * US_PER_MS);
	CU_ASSERT_TRUE(most >= 400 * US_PER_MS);
	/* Callers wait at most a third of the time that they have left. */
	CU_ASSERT_TRUE(most <= 2 * US_PER_S / 3);
	CU_ASSERT_PTR_NULL(quota_advance(f.quota, f.now));
	advance(&f, 200 * US_PER_MS);
	c = take_claim(&f);
	CU_ASSERT_TRUE(c.wanted >= 1);
	quota_free(f.quota);
}

/* Guards against charges of requests that were refused without having run. */
static void test_give_back(void)
{
	struct fixture f;
	struct token_claim c;

	fixture_init(&f);
	ask(&f, GOAL_US);
	c = take_claim(&f);
	grant(&f, &c, 1, 0);
	quota_give_back(f.quota, "acme", f.ticket, f.now);
	CU_ASSERT_EQUAL(ask(&f, GOAL_US), QUOTA_ADMITTED);
	CU_ASSERT_EQUAL(ask(&f, GOAL_US), QUOTA_WAITS);
	/* A token that has lapsed is not used again. */
	advance(&f, TOKEN_VALID_US);
	quota_give_back(f.quota, "acme", f.ticket, f.now);
	CU_ASSERT_EQUAL(ask(&f, GOAL_US), QUOTA_WAITS);
	quota_cancel(f.quota, "acme", &f);
	quota_free(f.quota);
}

static struct token_claim pool_claim(uint32_t wanted)
{
	return (struct token_claim){
		.key = "q:acme",
		.domain = "",
		.limit = { .max_per_s = 100, .burst = 50, .version = 1 },
		.wanted = wanted,
	};
}

/*
 * Guards against organisations with a low rate that get no token for a minute
 * after a host has begun to grant.
 */
static void test_pool_replenished(void)
{
	struct token_pool *p = token_pool_create(1);
	struct token_claim c = pool_claim(1);
	int64_t now = START_US + 11 * US_PER_S;
	struct token_grant g;

	c.limit.max_per_s = 0.05;
	c.limit.burst = 0;
	token_pool_claim(p, &c, TOKEN_PART_ALL, START_US, now, &g);
	CU_ASSERT_EQUAL(g.tokens, 0);
	now += US_PER_S;
	for (int i = 0; i < 14; i++) {
		token_pool_claim(p, &c, TOKEN_PART_ALL, START_US, now, &g);
		CU_ASSERT_EQUAL(g.tokens, 1);
	}
	token_pool_claim(p, &c, TOKEN_PART_ALL, START_US, now, &g);
	CU_ASSERT_EQUAL(g.tokens, 0);
	/* What was granted before is missing. */
	c.key = "q:other";
	c.limit.max_per_s = 1;
	token_pool_claim(p, &c, TOKEN_PART_ALL, START_US,
			 START_US + 6 * US_PER_S, &g);
	CU_ASSERT_EQUAL(g.tokens, 1);
	c.wanted = 13;
	token_pool_claim(p, &c, TOKEN_PART_ALL, START_US, now, &g);
	CU_ASSERT_EQUAL(g.tokens, 13);
	/* A second owner gets none, nor one that is the first from now on. */
	c.key = "q:third";
	token_pool_claim(p, &c, TOKEN_PART_SECOND, START_US, now, &g);
	CU_ASSERT_EQUAL(g.tokens, 0);
	token_pool_claim(p, &c, TOKEN_PART_ALL, START_US, now, &g);
	CU_ASSERT_EQUAL(g.tokens, 0);
	token_pool_free(p);
}

/* Guards against tokens that a new owner has before it may grant. */
static void test_pool_starts_empty(void)
{
	struct token_pool *p = token_pool_create(1);
	struct token_claim c = pool_claim(1000);
	struct token_grant g;

	token_pool_claim(p, &c, TOKEN_PART_ALL, START_US, START_US, &g);
	CU_ASSERT_EQUAL(g.tokens, 0);
	CU_ASSERT_TRUE(g.retry_us > 0);
	/* Caches may still have tokens of the owner before. */
	token_pool_claim(p, &c, TOKEN_PART_ALL, START_US, START_US + US_PER_S,
			 &g);
	CU_ASSERT_TRUE(g.tokens >= 32 && g.tokens <= 35);
	token_pool_claim(p, &c, TOKEN_PART_ALL, START_US,
			 START_US + 70 * US_PER_S, &g);
	CU_ASSERT_TRUE(g.tokens >= 60 && g.tokens <= 71);
	/* The same after a time in which another host may have granted. */
	token_pool_claim(p, &c, TOKEN_PART_ALL, START_US + 79 * US_PER_S,
			 START_US + 79 * US_PER_S, &g);
	CU_ASSERT_EQUAL(g.tokens, 0);
	token_pool_claim(p, &c, TOKEN_PART_NONE, 0, START_US + 80 * US_PER_S,
			 &g);
	CU_ASSERT_TRUE(g.is_elsewhere);
	token_pool_free(p);
}

/* Guards against returned tokens that raise the sum of all beyond the bucket.
 */
static void test_pool_returns(void)
{
	struct token_pool *p = token_pool_create(1);
	int64_t now = START_US + 10 * US_PER_S;
	struct token_claim c = pool_claim(40);
	struct token_grant g;

	token_pool_claim(p, &c, TOKEN_PART_ALL, 0, now, &g);
	CU_ASSERT_EQUAL(g.tokens, 40);
	c.wanted = 1000;
	c.returned = 500;
	c.returned_ticket = g.ticket;
	token_pool_claim(p, &c, TOKEN_PART_ALL, 0, now, &g);
	CU_ASSERT_TRUE(g.tokens <= 71);
	/* Tokens that have lapsed are not taken back. */
	now += US_PER_MS;
	c.returned = g.tokens;
	c.returned_ticket = g.ticket;
	token_pool_claim(p, &c, TOKEN_PART_ALL, START_US, now + US_PER_S, &g);
	CU_ASSERT_TRUE(g.tokens <= 71);
	token_pool_free(p);
}

#define USERS 6
#define CACHES 4

/** Tokens of one grant that a host has not used. */
struct held_tokens {
	uint32_t count;
	uint64_t ticket;
	int64_t until_us;
	int owner;
};

struct usage {
	struct token_pool *pools[2];
	/** Of the first pool. */
	struct token_cache *caches[CACHES];
	struct held_tokens held[USERS];
	/** Of int64_t: when tokens were used. */
	GArray *used;
	GRand *random;
	int64_t now_us;
	int owners;
};

static void use_tokens(struct usage *u, struct held_tokens *h, uint32_t count)
{
	if (u->now_us >= h->until_us)
		h->count = 0;
	for (count = MIN(count, h->count); count; count--, h->count--)
		g_array_append_val(u->used, u->now_us);
}

/* Claims of one of two owners, returns tokens to it and uses the others. */
static void use_pool(struct usage *u, const struct token_limit *limit)
{
	struct held_tokens *h = &u->held[g_rand_int_range(u->random, 0, USERS)];
	int owner = g_rand_int_range(u->random, 0, u->owners);
	struct token_claim c =
		pool_claim((uint32_t)g_rand_int_range(u->random, 0, 200));
	struct token_grant g;

	use_tokens(u, h, (uint32_t)g_rand_int_range(u->random, 0, 100));
	c.limit = *limit;
	if (owner == h->owner) {
		c.returned = h->count;
		c.returned_ticket = h->ticket;
	}
	token_pool_claim(u->pools[owner], &c,
			 owner ? TOKEN_PART_SECOND : TOKEN_PART_ALL, 0,
			 u->now_us, &g);
	*h = (struct held_tokens){ g.tokens, g.ticket,
				   u->now_us + TOKEN_VALID_US, owner };
	if (g_rand_boolean(u->random))
		use_tokens(u, h, g.tokens);
}

static struct lease_time usage_now(const struct usage *u)
{
	return (struct lease_time){ u->now_us, u->now_us };
}

/* Lets the caches claim; some claims and grants are lost. */
static void fill_caches(struct usage *u)
{
	for (int i = 0; i < CACHES; i++) {
		GArray *claims =
			token_cache_take_claims(u->caches[i], usage_now(u));
		struct token_grant g;

		if (!claims)
			continue;
		if (g_rand_int_range(u->random, 0, 10))
			token_pool_claim(u->pools[0],
					 &g_array_index(claims,
							struct token_claim, 0),
					 TOKEN_PART_ALL, 0, u->now_us, &g);
		if (g_rand_int_range(u->random, 0, 10))
			token_cache_apply_grant(u->caches[i], &g, usage_now(u));
		g_array_free(claims, TRUE);
	}
}

/* Takes single tokens of a cache, which are used at once or a little later. */
static void use_cache(struct usage *u, const struct token_limit *limit,
		      uint32_t count)
{
	struct token_cache *cache =
		u->caches[g_rand_int_range(u->random, 0, CACHES)];
	struct token_claim c = pool_claim(1);
	struct token_grant g;

	c.limit = *limit;
	for (; count; count--) {
		struct held_tokens *h =
			&u->held[g_rand_int_range(u->random, 0, USERS)];

		token_cache_claim(cache, &c, usage_now(u), &g);
		use_tokens(u, h, h->count);
		*h = (struct held_tokens){ g.tokens, 0,
					   u->now_us + TOKEN_VALID_US, -1 };
		if (g_rand_boolean(u->random))
			use_tokens(u, h, g.tokens);
	}
}

/* Uses all that the owner and the caches have. */
static void use_all(struct usage *u, const struct token_limit *limit)
{
	struct token_claim c = pool_claim(10000);
	struct token_grant g;

	c.limit = *limit;
	for (int i = 0; i < 40 && !limit->is_cold_leaf; i++)
		use_cache(u, limit, 20);
	for (int i = 0; i < USERS; i++) {
		token_pool_claim(u->pools[0], &c, TOKEN_PART_ALL, 0, u->now_us,
				 &g);
		u->held[i] = (struct held_tokens){ g.tokens, 0,
						   u->now_us + TOKEN_VALID_US,
						   0 };
		use_tokens(u, &u->held[i], g.tokens);
	}
}

static void use_in_turn(struct usage *u, const struct token_limit *limit)
{
	int action = g_rand_int_range(u->random, 0, 200);

	/* A break now and then fills the buckets and lets tokens lapse. */
	u->now_us += action ? g_rand_int_range(u->random, 0, 20000)
			    : g_rand_int_range(u->random, 1, 70) * US_PER_S;
	fill_caches(u);
	if (action < 2)
		use_all(u, limit);
	else if (action < 60 && !limit->is_cold_leaf)
		use_cache(u, limit, 1);
	else
		use_pool(u, limit);
}

static uint32_t most_used(const struct usage *u, int64_t window)
{
	const int64_t *times = (const int64_t *)(void *)u->used->data;
	guint first = 0;
	guint most = 0;

	for (guint last = 0; last < u->used->len; last++) {
		while (times[last] - times[first] >= window)
			first++;
		most = MAX(most, last - first + 1);
	}
	return most;
}

/*
 * Returns the rule for a window. The first owner alone keeps within less, so
 * that there is room for the second one.
 */
static double usage_bound(const struct token_limit *l, bool is_single)
{
	if (l->is_cold_leaf)
		return is_single ? 0.98 * 1.3 * l->max_per_s +
					   0.12 * l->max_per_s + 4
				 : 1.5 * l->max_per_s + 5;
	return is_single ? 0.98 * 5.3 * l->max_per_s + 0.07 * l->max_per_s +
				   l->burst + 14
			 : (5 * l->max_per_s + l->burst) * 1.1 + 20;
}

/*
 * Guards against more tokens in use in a window than the rule of quotas or of
 * cold leaves allows, with both owners active, tokens in caches, and tokens
 * that are returned, lapse or are kept until the end.
 */
static void test_pool_bound(void)
{
	static const double rates[] = { 0, 1, 10, 100, 1000 };

	for (guint32 seed = 1; seed <= 60; seed++) {
		struct token_limit limit = {
			.max_per_s = rates[seed % G_N_ELEMENTS(rates)],
			.burst = seed % 3 * 40,
			.is_cold_leaf = seed % 2,
			.version = 1,
		};
		int64_t window = (limit.is_cold_leaf ? 1 : 5) * US_PER_S;
		double bound = usage_bound(&limit, seed % 4 < 2);
		struct usage u = {
			.pools = { token_pool_create(1), token_pool_create(2) },
			.used = g_array_new(FALSE, FALSE, sizeof(int64_t)),
			.random = g_rand_new_with_seed(seed),
			.now_us = START_US,
			.owners = seed % 4 < 2 ? 1 : 2,
		};

		for (int i = 0; i < CACHES; i++)
			u.caches[i] = token_cache_create();
		for (int i = 0; i < 8000; i++)
			use_in_turn(&u, &limit);
		CU_ASSERT_TRUE(most_used(&u, window) <= bound);
		for (int i = 0; i < CACHES; i++)
			token_cache_free(u.caches[i]);
		token_pool_free(u.pools[0]);
		token_pool_free(u.pools[1]);
		g_array_free(u.used, TRUE);
		g_rand_free(u.random);
	}
}

static struct token_grant claim_cached(struct token_cache *c, uint32_t wanted,
				       uint64_t version, double rate,
				       struct lease_time now)
{
	struct token_claim claim = pool_claim(wanted);
	struct token_grant g;

	claim.limit.version = version;
	claim.limit.max_per_s = rate;
	token_cache_claim(c, &claim, now, &g);
	return g;
}

static void fill_cache(struct token_cache *c, uint32_t tokens,
		       struct lease_time now)
{
	GArray *claims = token_cache_take_claims(c, now);
	struct token_grant g = { .key = "q:acme",
				 .tokens = tokens,
				 .ticket = 1,
				 .is_standing = true };

	g_assert(claims);
	g.sequence = g_array_index(claims, struct token_claim, 0).sequence;
	token_cache_apply_grant(c, &g, now);
	/* The same answer does not count twice. */
	token_cache_apply_grant(c, &g, now);
	g_array_free(claims, TRUE);
}

/*
 * Guards against a cache that gives what it does not have: more tokens than the
 * owner granted, lapsed ones by either clock, or those of a higher limit.
 */
static void test_cache(void)
{
	for (int i = 0; i < 4; i++) {
		struct token_cache *c = token_cache_create();
		struct lease_time now = { START_US, 2 * START_US };
		struct token_grant g = claim_cached(c, 1, 1, 100, now);

		CU_ASSERT_TRUE(g.is_elsewhere);
		CU_ASSERT_EQUAL(g.retry_us, 0);
		fill_cache(c, 3, now);
		g = claim_cached(c, 2, 1, 100, now);
		CU_ASSERT_EQUAL(g.tokens, 2);
		CU_ASSERT_FALSE(g.is_elsewhere);
		if (i == 1)
			now.monotonic_us += TOKEN_STANDING_US;
		else if (i == 2)
			now.boot_us += TOKEN_STANDING_US;
		g = claim_cached(c, 1, 1 + (i == 3), i == 3 ? 10 : 100, now);
		CU_ASSERT_EQUAL(g.tokens, i ? 0 : 1);
		g = claim_cached(c, 1, 2, 100, now);
		CU_ASSERT_EQUAL(g.tokens, 0);
		CU_ASSERT_TRUE(g.is_elsewhere);
		token_cache_free(c);
	}
}

/* Guards against claims for a cache that no host asks. */
static void test_cache_idle(void)
{
	struct token_cache *c = token_cache_create();
	struct lease_time now = { START_US, 2 * START_US };

	claim_cached(c, 1, 1, 100, now);
	fill_cache(c, 3, now);
	CU_ASSERT_EQUAL(token_cache_next_claim(c), INT64_MAX);
	now.monotonic_us += 61 * US_PER_S;
	CU_ASSERT_PTR_NULL(token_cache_take_claims(c, now));
	token_cache_sweep(c, now);
	token_cache_free(c);
}

/* Guards against buckets that are kept for ever, or forgotten while in use. */
static void test_pool_sweep(void)
{
	struct token_pool *p = token_pool_create(1);
	struct token_claim c = pool_claim(1000);
	int64_t now = START_US + US_PER_S;
	struct token_grant g;

	token_pool_claim(p, &c, TOKEN_PART_ALL, START_US, now, &g);
	token_pool_sweep(p, now + 5 * US_PER_S);
	CU_ASSERT_EQUAL(token_pool_count(p), 1);
	token_pool_sweep(p, now + 11 * US_PER_S);
	CU_ASSERT_EQUAL(token_pool_count(p), 0);
	token_pool_free(p);
}

/* Guards against fields that are lost between hosts, and large frames. */
static void test_frames(void)
{
	struct token_claim claim = pool_claim(3);
	struct token_grant grant = {
		.key = "q:acme",
		.sequence = 70000,
		.tokens = 12,
		.ticket = UINT64_MAX,
		.retry_us = 150000,
		.is_standing = true,
		.is_elsewhere = true,
	};
	GArray *list = g_array_new(FALSE, FALSE, sizeof(claim));
	struct host_frame f;
	GByteArray *frame;

	claim.sequence = 70000;
	claim.kind = TOKEN_CLAIM_STANDING;
	claim.spent = 9;
	claim.returned = 2;
	claim.returned_ticket = UINT64_MAX - 1;
	g_array_append_val(list, claim);
	frame = host_frame_token_claims(list);
	CU_ASSERT_TRUE(frame->len < 64);
	CU_ASSERT_EQUAL_FATAL(host_frame_decode(frame->data, frame->len, &f),
			      0);
	CU_ASSERT_EQUAL_FATAL(f.token_claims->len, 1);
	claim = g_array_index(f.token_claims, struct token_claim, 0);
	CU_ASSERT_STRING_EQUAL(claim.key, "q:acme");
	CU_ASSERT_STRING_EQUAL(claim.domain, "");
	CU_ASSERT_DOUBLE_EQUAL(claim.limit.max_per_s, 100, 0);
	CU_ASSERT_DOUBLE_EQUAL(claim.limit.burst, 50, 0);
	CU_ASSERT_EQUAL(claim.limit.version, 1);
	CU_ASSERT_EQUAL(claim.sequence, 70000);
	CU_ASSERT_EQUAL(claim.wanted, 3);
	CU_ASSERT_EQUAL(claim.kind, TOKEN_CLAIM_STANDING);
	CU_ASSERT_EQUAL(claim.spent, 9);
	CU_ASSERT_EQUAL(claim.returned, 2);
	CU_ASSERT_EQUAL(claim.returned_ticket, UINT64_MAX - 1);
	host_frame_clear(&f);
	g_byte_array_free(frame, TRUE);
	g_array_free(list, TRUE);
	list = g_array_new(FALSE, FALSE, sizeof(grant));
	g_array_append_val(list, grant);
	frame = host_frame_token_grants(list);
	CU_ASSERT_TRUE(frame->len < 64);
	CU_ASSERT_EQUAL_FATAL(host_frame_decode(frame->data, frame->len, &f),
			      0);
	CU_ASSERT_EQUAL_FATAL(f.token_grants->len, 1);
	grant = g_array_index(f.token_grants, struct token_grant, 0);
	CU_ASSERT_EQUAL(grant.sequence, 70000);
	CU_ASSERT_EQUAL(grant.tokens, 12);
	CU_ASSERT_EQUAL(grant.ticket, UINT64_MAX);
	CU_ASSERT_EQUAL(grant.retry_us, 150000);
	CU_ASSERT_TRUE(grant.is_standing);
	CU_ASSERT_TRUE(grant.is_elsewhere);
	host_frame_clear(&f);
	g_byte_array_free(frame, TRUE);
	g_array_free(list, TRUE);
	frame = host_frame_token_view(
		&(struct token_view){ .hash = UINT64_MAX,
				      .has_gone = true,
				      .is_answer = true,
				      .store_age_us = 5200001,
				      .store_steady_us = 9000001,
				      .is_deferring = true,
				      .asked_us = INT64_MAX / 8 });
	CU_ASSERT_EQUAL_FATAL(host_frame_decode(frame->data, frame->len, &f),
			      0);
	CU_ASSERT_EQUAL(f.token_view.hash, UINT64_MAX);
	CU_ASSERT_TRUE(f.token_view.has_gone);
	CU_ASSERT_FALSE(f.token_view.has_store);
	CU_ASSERT_TRUE(f.token_view.is_answer);
	CU_ASSERT_EQUAL(f.token_view.store_age_us, 5200001);
	CU_ASSERT_EQUAL(f.token_view.store_steady_us, 9000001);
	CU_ASSERT_EQUAL(f.token_view.asked_us, INT64_MAX / 8);
	CU_ASSERT_TRUE(f.token_view.is_deferring);
	host_frame_clear(&f);
	g_byte_array_free(frame, TRUE);
	frame = host_frame_token_release(&(struct token_release){
		.key = "q:a", .domain = "d", .lease = UINT64_MAX });
	CU_ASSERT_EQUAL_FATAL(host_frame_decode(frame->data, frame->len, &f),
			      0);
	CU_ASSERT_STRING_EQUAL(f.token_release.key, "q:a");
	CU_ASSERT_STRING_EQUAL(f.token_release.domain, "d");
	CU_ASSERT_EQUAL(f.token_release.lease, UINT64_MAX);
	CU_ASSERT_FALSE(f.token_release.is_answer);
	host_frame_clear(&f);
	g_byte_array_free(frame, TRUE);
}

CU_TestInfo quota_tests[] = {
	{ "no quota", test_no_quota },
	{ "first request", test_first_request },
	{ "wait ends", test_wait_ends },
	{ "lapsed", test_lapsed },
	{ "late grant", test_late_grant },
	{ "refused at once", test_refused_at_once },
	{ "give back", test_give_back },
	{ "pool starts empty", test_pool_starts_empty },
	{ "pool replenished", test_pool_replenished },
	{ "pool returns", test_pool_returns },
	{ "pool bound", test_pool_bound },
	{ "cache", test_cache },
	{ "cache idle", test_cache_idle },
	{ "pool sweep", test_pool_sweep },
	{ "frames", test_frames },
	CU_TEST_INFO_NULL,
};
