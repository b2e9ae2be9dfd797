#include "suites.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "common/clock.h"
#include "router/rate_shares.h"

#define LEAF "leaf-1"
#define EPSILON 1e-6

struct fixture {
	struct rate_shares *shares;
	int64_t now_us;
	double limit;
};

static struct fixture fixture_create(double limit)
{
	return (struct fixture){
		.shares = rate_shares_create(),
		.now_us = 100 * US_PER_S,
		.limit = limit,
	};
}

static struct rate_grant claim(struct fixture *f, const char *host,
			       double wanted)
{
	struct rate_claim c = {
		.key = LEAF,
		.epoch = 1,
		.news = { .is_limited = true, .per_s = f->limit },
		.wanted_per_s = wanted,
	};
	struct rate_grant g;

	/* Each claim brings newer news than the one before. */
	f->now_us += 1;
	rate_shares_claim(f->shares, host, &c, 1, f->now_us, &g);
	return g;
}

static double claim_share(struct fixture *f, const char *host, double wanted)
{
	return claim(f, host, wanted).share_per_s;
}

/* Guards against a share that lies idle while another host has calls waiting. */
static void test_unused_shares(void)
{
	struct fixture f = fixture_create(30);

	CU_ASSERT_DOUBLE_EQUAL(claim_share(&f, "a", 100), 30, EPSILON);
	CU_ASSERT_DOUBLE_EQUAL(claim_share(&f, "b", 5), 0, EPSILON);
	CU_ASSERT_DOUBLE_EQUAL(claim_share(&f, "a", 100), 24, EPSILON);
	CU_ASSERT_DOUBLE_EQUAL(claim_share(&f, "b", 5), 6, EPSILON);
	/* Without need on any host, all of the limit is still divided. */
	CU_ASSERT_DOUBLE_EQUAL(claim_share(&f, "a", 1), 12.6, EPSILON);
	CU_ASSERT_DOUBLE_EQUAL(claim_share(&f, "b", 1), 15, EPSILON);
	CU_ASSERT_DOUBLE_EQUAL(claim_share(&f, "a", 1), 15, EPSILON);
	CU_ASSERT_DOUBLE_EQUAL(claim_share(&f, "b", 1), 15, EPSILON);
	rate_shares_free(f.shares);
}

/* Guards against one busy host that keeps the others from a leaf. */
static void test_fair_shares(void)
{
	struct fixture f = fixture_create(30);
	double sum = 0;

	for (int round = 0; round < 4; round++) {
		sum = claim_share(&f, "a", 1000);
		sum += claim_share(&f, "b", 20);
		sum += claim_share(&f, "c", 5);
	}
	CU_ASSERT_DOUBLE_EQUAL(claim_share(&f, "a", 1000), 12, EPSILON);
	CU_ASSERT_DOUBLE_EQUAL(claim_share(&f, "b", 20), 12, EPSILON);
	CU_ASSERT_DOUBLE_EQUAL(claim_share(&f, "c", 5), 6, EPSILON);
	CU_ASSERT_DOUBLE_EQUAL(sum, 30, EPSILON);
	rate_shares_free(f.shares);
}

/* Guards against many hosts that each save up a call for a small limit. */
static void test_small_limits(void)
{
	static const struct {
		double limit;
		uint32_t hosts;
		uint32_t sharers;
	} cases[] = { { 1, 7, 1 }, { 7, 195, 3 }, { 0, 7, 1 }, { 31, 7, 7 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture f = fixture_create(cases[i].limit);
		uint32_t sharers = 0;
		double sum = 0;

		for (uint32_t n = 0; n < 4 * cases[i].hosts; n++) {
			char host[16];
			double share;

			g_snprintf(host, sizeof(host), "h%u",
				   n % cases[i].hosts);
			share = claim_share(&f, host, 10);
			if (n < 3 * cases[i].hosts)
				continue;
			sharers += share > 0;
			sum += share;
		}
		CU_ASSERT_EQUAL(sharers, cases[i].sharers);
		CU_ASSERT_DOUBLE_EQUAL(sum, MAX(cases[i].limit, 0.25), EPSILON);
		rate_shares_free(f.shares);
	}
}

/* Guards against the share of a lost host that is never used again. */
static void test_lost_host(void)
{
	struct fixture f = fixture_create(30);
	struct rate_grant lost = claim(&f, "a", 100);
	int64_t start = f.now_us;

	while (claim_share(&f, "b", 100) < 30)
		f.now_us += 50 * US_PER_MS;
	CU_ASSERT_TRUE(f.now_us > start + lost.valid_us);
	CU_ASSERT_TRUE(f.now_us < start + lost.valid_us + 200 * US_PER_MS);
	/* A host that needs nothing returns its share at once. */
	CU_ASSERT_DOUBLE_EQUAL(claim_share(&f, "b", 0), 0, EPSILON);
	CU_ASSERT_DOUBLE_EQUAL(claim_share(&f, "a", 100), 30, EPSILON);
	rate_shares_free(f.shares);
}

/*
 * Guards against news of a limit that reach only the hosts which call the leaf,
 * and against older news that overtake newer ones.
 */
static void test_news(void)
{
	struct fixture f = fixture_create(30);
	struct rate_claim c = { .key = LEAF, .epoch = 1 };
	struct rate_grant g;

	claim(&f, "a", 10);
	f.now_us += 500 * US_PER_MS;
	c.news = (struct rate_limit_news){ true, 10, 100 * US_PER_MS };
	rate_shares_claim(f.shares, "b", &c, 1, f.now_us, &g);
	CU_ASSERT_DOUBLE_EQUAL(g.news.per_s, 10, EPSILON);
	c.news = (struct rate_limit_news){ true, 30, 200 * US_PER_MS };
	c.wanted_per_s = 5;
	rate_shares_claim(f.shares, "c", &c, 1, f.now_us, &g);
	CU_ASSERT_DOUBLE_EQUAL(g.news.per_s, 10, EPSILON);
	CU_ASSERT_EQUAL(g.news.age_us, 100 * US_PER_MS);
	/* The limit has ended: no host needs a share. */
	c.news = (struct rate_limit_news){ false, 0, 0 };
	rate_shares_claim(f.shares, "b", &c, 1, f.now_us, &g);
	c.news = (struct rate_limit_news){ true, 10, 100 * US_PER_MS };
	rate_shares_claim(f.shares, "c", &c, 1, f.now_us, &g);
	CU_ASSERT_FALSE(g.news.is_limited);
	/* A restarted leaf begins anew; claims for the old one get nothing. */
	c.epoch = 2;
	rate_shares_claim(f.shares, "b", &c, 1, f.now_us, &g);
	CU_ASSERT_TRUE(g.news.is_limited);
	CU_ASSERT_DOUBLE_EQUAL(g.share_per_s, 10, EPSILON);
	c.epoch = 1;
	rate_shares_claim(f.shares, "c", &c, 1, f.now_us, &g);
	CU_ASSERT_DOUBLE_EQUAL(g.share_per_s, 0, EPSILON);
	/* Leaves without claims are forgotten. */
	CU_ASSERT_EQUAL(rate_shares_key_count(f.shares), 1);
	rate_shares_sweep(f.shares, f.now_us + 11 * US_PER_S);
	CU_ASSERT_EQUAL(rate_shares_key_count(f.shares), 0);
	rate_shares_free(f.shares);
}

/*
 * Guards against more claims than the dividing host can handle, for one leaf or
 * for many.
 */
static void test_refresh_grows(void)
{
	struct fixture f = fixture_create(30);
	int64_t refresh = 0;

	for (int i = 0; i < 2200; i++) {
		char host[16];

		g_snprintf(host, sizeof(host), "h%d", i);
		refresh = claim(&f, host, 1).refresh_us;
	}
	CU_ASSERT_EQUAL(refresh, 22 * US_PER_S);
	rate_shares_free(f.shares);
	f = fixture_create(30);
	for (int i = 0; i < 50; i++) {
		char leaf[16];
		struct rate_claim c = {
			.key = leaf,
			.news = { .is_limited = true, .per_s = 30 },
			.wanted_per_s = 10,
		};
		struct rate_grant g;

		g_snprintf(leaf, sizeof(leaf), "leaf-%d", i);
		rate_shares_claim(f.shares, "a", &c, 1, f.now_us, &g);
		rate_shares_claim(f.shares, "b", &c, 1, f.now_us, &g);
		refresh = g.refresh_us;
	}
	CU_ASSERT_EQUAL(refresh, US_PER_S);
	/* Forgotten leaves do not count. */
	f.now_us += 11 * US_PER_S;
	rate_shares_sweep(f.shares, f.now_us);
	CU_ASSERT_EQUAL(claim(&f, "a", 1).refresh_us, 250 * US_PER_MS);
	rate_shares_free(f.shares);
}

#define EXPLORED_HOSTS 8
#define EXPLORED_SEEDS 300
#define EXPLORED_STEPS 400

/* Share of a host, which it uses until it lapses or is replaced. */
struct used_share {
	double per_s;
	int64_t until_us;
};

static double sum_used(const struct used_share *used, int64_t now)
{
	double sum = 0;

	for (int i = 0; i < EXPLORED_HOSTS; i++)
		sum += now < used[i].until_us ? used[i].per_s : 0;
	return sum;
}

/*
 * Guards against shares that add up to more than the limit: claims in any
 * order, lost grants, silent hosts and changes of the limit. After a limit has
 * fallen, shares of the older one may be used until they lapse. A host that is
 * cut off, so that a grant is lost, is not counted until its next grant.
 */
static void test_explore(void)
{
	for (guint32 seed = 1; seed <= EXPLORED_SEEDS; seed++) {
		GRand *random = g_rand_new_with_seed(seed);
		struct fixture f = fixture_create(1 + seed % 40);
		struct used_share used[EXPLORED_HOSTS] = { 0 };
		double highest = f.limit;
		int64_t lowered_us = 0;
		bool is_kept = true;

		for (int step = 0; step < EXPLORED_STEPS && is_kept; step++) {
			int i = g_rand_int_range(random, 0, EXPLORED_HOSTS);
			double wanted = g_rand_int_range(random, 0, 40);
			struct rate_grant g;
			char host[8];

			f.now_us += g_rand_int_range(random, 0, 60000);
			if (!g_rand_int_range(random, 0, 40)) {
				highest = MAX(highest, f.limit);
				f.limit = g_rand_int_range(random, 1, 60);
				lowered_us = f.now_us;
			}
			g_snprintf(host, sizeof(host), "h%d", i);
			g = claim(&f, host, wanted);
			/* One grant in five is lost. */
			used[i] = (struct used_share){ 0 };
			if (g_rand_int_range(random, 0, 5))
				used[i] = (struct used_share){
					g.share_per_s, f.now_us + g.valid_us
				};
			if (f.now_us - lowered_us > g.valid_us)
				highest = f.limit;
			is_kept = sum_used(used, f.now_us) <=
				  MAX(highest, f.limit) + EPSILON;
		}
		if (!is_kept)
			printf("\nseed %u exceeds the limit\n", seed);
		CU_ASSERT_TRUE(is_kept);
		rate_shares_free(f.shares);
		g_rand_free(random);
	}
}

CU_TestInfo rate_shares_tests[] = {
	{ "unused shares", test_unused_shares },
	{ "fair shares", test_fair_shares },
	{ "small limits", test_small_limits },
	{ "lost host", test_lost_host },
	{ "news", test_news },
	{ "refresh grows", test_refresh_grows },
	{ "explore", test_explore },
	CU_TEST_INFO_NULL,
};
