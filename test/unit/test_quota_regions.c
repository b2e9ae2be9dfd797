#include "suites.h"

#include <stdio.h>
#include <string.h>

#include "quota_sim.h"

/*
 * Quotas that are divided among the regions: hosts i, i + 3, i + 6 and so on
 * are of one region.
 */

#define REGIONS 3
#define HOSTS 9
/* Longest delay of a change of the host records to a host in contact. */
#define EVENT_DELAY_US (4500 * US_PER_MS)

static double bound(double rate, double burst)
{
	return (rate * 5 + burst) * 1.1 + 20;
}

/* Sends requests of an organisation through the hosts of one region only. */
static void set_region_rates(struct quota_sim *s, uint32_t region, double per_s)
{
	quota_sim_set_rates(s, 0, 0);
	for (uint32_t i = region; i < s->count; i += REGIONS)
		s->hosts[i].per_s[0] = per_s;
}

/* Sends requests through one host at the same moment. */
static void send_at_once(struct quota_sim *s, uint32_t host, uint32_t count)
{
	s->hosts[host].per_s[0] = (double)count * US_PER_S / QSIM_STEP_US;
	quota_sim_run(s, QSIM_STEP_US);
	s->hosts[host].per_s[0] = 0;
}

/* Returns the owner of the quota of o0 in a region. */
static uint32_t owner_of(struct quota_sim *s, uint32_t region)
{
	static const char *const names[] = { "=ra", "=rb", "=rc" };
	struct rate_owners o = host_directory_rate_owners(
		&s->hosts[0].directory, "q:o0", names[region]);

	return (uint32_t)g_ascii_strtoull(o.first->record.name + 1, NULL, 10);
}

/*
 * Guards against a quota that is not used if all requests come through one
 * region, or through one host of it: the parts of the other regions are claimed.
 */
static void test_one_region(void)
{
	static const double rates[] = { 2, 30, 300 };

	for (size_t i = 0; i < 2 * REGIONS * G_N_ELEMENTS(rates); i++) {
		double rate = rates[i / 6];
		struct quota_sim *s = quota_sim_create(HOSTS, HOSTS, 1, rate,
						       i % 2 ? rate : 0, 1);

		if (i % 4 < 2)
			set_region_rates(s, i % REGIONS, 5 * rate / 3);
		else
			s->hosts[i % HOSTS].per_s[0] = 5 * rate;
		quota_sim_run(s, 5 * US_PER_S);
		quota_sim_clear_counts(s);
		quota_sim_run(s, 40 * US_PER_S);
		CU_ASSERT_TRUE(s->admitted[0]->len >= 0.95 * rate * 40);
		quota_sim_destroy(s);
	}
}

/*
 * Guards against a region that gets no tokens while its owner is lost: 0.67 of
 * the quota is left at once, for all hosts and for the region alone.
 */
static void test_lost_owner(void)
{
	for (uint32_t i = 0; i < 2 * REGIONS; i++) {
		struct quota_sim *s =
			quota_sim_create(HOSTS, HOSTS, 1, 60, 0, i);

		if (i < REGIONS)
			quota_sim_set_rates(s, 0, 5 * 60.0 / HOSTS);
		else
			set_region_rates(s, i % REGIONS, 5 * 60.0 / 3);
		quota_sim_run(s, 10 * US_PER_S);
		quota_sim_kill_host(s, owner_of(s, i % REGIONS));
		quota_sim_clear_counts(s);
		quota_sim_run(s, 8 * US_PER_S);
		CU_ASSERT_TRUE(s->admitted[0]->len >= 0.67 * 60 * 8);
		quota_sim_destroy(s);
	}
}

/* Kills, stops or starts the hosts of a region, some time apart. */
static void change_region(struct quota_sim *s, uint32_t region, int change)
{
	for (uint32_t i = region; i < s->count; i += REGIONS) {
		switch (change) {
		case 0:
			quota_sim_kill_host(s, i);
			break;
		case 1:
			quota_sim_stop_host(s, i);
			break;
		default:
			if (!s->hosts[i].is_running)
				quota_sim_start_host(s, i);
		}
		quota_sim_run(s,
			      g_rand_int_range(s->random, 0, 1500) * US_PER_MS);
	}
}

/* Lets buckets and caches fill, and then uses all that there is. */
static void use_region_change(struct quota_sim *s, double rate)
{
	int64_t us = g_rand_int_range(s->random, 0, 26000) * US_PER_MS;

	quota_sim_set_rates(s, 0, 0.5 * rate / s->count);
	quota_sim_run(s, us);
	quota_sim_set_rates(s, 0, 8 * rate / s->count);
	quota_sim_run(s, 8 * US_PER_S);
	quota_sim_set_rates(s, 0, 0.5 * rate / s->count);
}

/*
 * Guards against regions whose parts exceed the quota together while a region
 * appears or is lost: hosts learn of it up to 4.5 s apart, and one host of each
 * of the other regions is cut off or paused for a while.
 */
static void test_region_changes(void)
{
	static const struct {
		double rate;
		double burst;
	} limits[] = { { 100, 0 }, { 100, 400 }, { 20, 300 } };

	for (guint32 seed = 1; seed <= 60; seed++) {
		double rate = limits[seed % 3].rate;
		double burst = limits[seed % 3].burst;
		uint32_t hosts = 5 + seed % 5;
		struct quota_sim *s =
			quota_sim_create(hosts, hosts, 1, rate, burst, seed);
		uint32_t most;

		s->event_delay_us = EVENT_DELAY_US;
		for (int i = 0; i < 6; i++) {
			uint32_t other = (uint32_t)g_rand_int_range(
				s->random, 0, (gint32)hosts);

			use_region_change(s, rate);
			change_region(s, seed / 3 % REGIONS,
				      i % 2 ? 2 : (int)seed % 2);
			if (g_rand_boolean(s->random))
				s->hosts[other].cut_from_store_until_us =
					s->now_us + 7 * US_PER_S;
			else if (s->hosts[other].is_running)
				quota_sim_freeze_host(s, other, 4 * US_PER_S,
						      seed % 2);
		}
		use_region_change(s, rate);
		most = quota_sim_most_in_window(s, 0);
		if (most > bound(rate, burst))
			printf("\nseed %u: %u hosts, rate %g, burst %g, %u\n",
			       seed, hosts, rate, burst, most);
		CU_ASSERT_TRUE(most <= bound(rate, burst));
		quota_sim_destroy(s);
	}
}

/*
 * Guards against a region that is cut off from the store and from the others
 * and grants its part while they divide the quota without it.
 */
static void test_cut_region(void)
{
	static const int64_t cuts_s[] = { 8, 22, 33, 60 };

	for (guint32 seed = 0; seed < 24; seed++) {
		struct quota_sim *s = quota_sim_create(
			HOSTS, HOSTS, 1, 100, seed % 2 ? 200 : 0, seed);

		s->event_delay_us = EVENT_DELAY_US;
		quota_sim_set_rates(s, 0, 8 * 100.0 / HOSTS);
		quota_sim_run(s, 5 * US_PER_S);
		s->cut_region = (int)seed % REGIONS;
		s->region_cut_until_us =
			s->now_us +
			cuts_s[seed % G_N_ELEMENTS(cuts_s)] * US_PER_S;
		quota_sim_run(s, 80 * US_PER_S);
		CU_ASSERT_TRUE(quota_sim_most_in_window(s, 0) <=
			       bound(100, seed % 2 ? 200 : 0));
		quota_sim_destroy(s);
	}
}

/*
 * Guards against a part of the quota that stays unused after a region was lost,
 * and after it came back.
 */
static void test_use_after_change(void)
{
	struct quota_sim *s = quota_sim_create(HOSTS, HOSTS, 1, 60, 0, 1);

	quota_sim_set_rates(s, 0, 5 * 60.0 / 6);
	for (int change = 0; change < 4; change++) {
		change_region(s, 1, change % 2 ? 2 : change / 2);
		quota_sim_run(s, 45 * US_PER_S);
		quota_sim_clear_counts(s);
		quota_sim_run(s, 20 * US_PER_S);
		CU_ASSERT_TRUE(s->admitted[0]->len >= 0.95 * 60 * 20);
	}
	quota_sim_destroy(s);
}

/*
 * Guards against refusals of many callers of one host at the same moment that
 * are below the burst of their quota.
 */
static void test_burst_at_host(void)
{
	for (uint32_t i = 0; i < HOSTS; i++) {
		struct quota_sim *s =
			quota_sim_create(HOSTS, HOSTS, 1, 40, 40, i);

		quota_sim_run(s, 20 * US_PER_S);
		for (int k = 0; k < 4; k++) {
			send_at_once(s, i, 30);
			quota_sim_run(s, 5 * US_PER_S);
		}
		CU_ASSERT_EQUAL(s->refused[0], 0);
		CU_ASSERT_EQUAL(s->admitted[0]->len, 4 * 30);
		quota_sim_destroy(s);
	}
}

/*
 * Guards against refusals of an organisation that may send less than one
 * request in 10 s and does so, and against a small quota that is not used.
 */
static void test_rare(void)
{
	struct quota_sim *s = quota_sim_create(HOSTS, HOSTS, 1, 0.08, 0, 1);

	s->goal_us = 120 * US_PER_MS;
	/* The buckets of new owners are empty. */
	quota_sim_run(s, 120 * US_PER_S);
	for (uint32_t i = 0; i < 40; i++) {
		send_at_once(s, i * 4 % HOSTS, 1);
		quota_sim_run(s, 14 * US_PER_S);
	}
	CU_ASSERT_EQUAL(s->refused[0], 0);
	CU_ASSERT_EQUAL(s->admitted[0]->len, 40);
	quota_sim_set_rates(s, 0, 0.2);
	quota_sim_run(s, 120 * US_PER_S);
	quota_sim_clear_counts(s);
	quota_sim_run(s, 600 * US_PER_S);
	CU_ASSERT_TRUE(s->admitted[0]->len >= 0.95 * 0.08 * 600);
	quota_sim_destroy(s);
}

/*
 * Guards against a bucket that is as full as its lower limit allows beside the
 * tokens that caches hold under the earlier one: after a change of the quota,
 * and of the number of regions.
 */
static void test_lowered_limit(void)
{
	for (uint32_t regions = 1; regions <= 3; regions += 2) {
		struct token_pool *p = token_pool_create(1);
		struct token_claim c = {
			.key = "q:o0",
			.domain = "=ra",
			.kind = TOKEN_CLAIM_STANDING,
			.limit = { .max_per_s = 1, .burst = 300, .version = 1 },
			.wanted = 1000,
		};
		int64_t now = 1000 * US_PER_S;
		uint32_t held = 0;
		struct token_grant g;

		for (int i = 0; i < 3; i++) {
			token_pool_claim(p, &c, TOKEN_PART_ALL, 0, now, &g);
			held += g.tokens;
		}
		c.kind = TOKEN_CLAIM_USE;
		c.limit.regions = regions;
		if (regions == 1) {
			c.limit.burst = 100;
			c.limit.version = 2;
		}
		CU_ASSERT_TRUE(held > 115);
		token_pool_claim(p, &c, TOKEN_PART_ALL, 0, now, &g);
		CU_ASSERT_EQUAL(g.tokens, 0);
		token_pool_free(p);
	}
}

/* A directory of hosts in three regions, and the links that are used. */
struct link_test {
	struct virtual_clock time;
	struct leaf_set leaves;
	struct host_directory directory;
	struct token_exchange *exchange;
	uint32_t links;
	uint32_t own_links;
};

static void handle_link(void *ctx, const char *address, const GArray *claims)
{
	struct link_test *t = ctx;
	const struct known_host *h =
		host_directory_find(&t->directory, address);

	t->links++;
	t->own_links += !strcmp(h->record.domain, "a");
}

static void put_host(struct link_test *t, uint32_t i, uint32_t capacity)
{
	static const char *const domains[] = { "a", "b", "c" };
	struct host_record r = {
		.name = g_strdup_printf("h%u", i),
		.address = g_strdup_printf("10.0.0.%u:7000", i),
		.domain = g_strdup(domains[i % REGIONS]),
		.capacity = capacity,
	};

	host_directory_put(&t->directory, &r);
}

static void link_test_init(struct link_test *t, uint32_t hosts)
{
	static char *regions[] = { "a=ra", "b=rb", "c=rc", NULL };
	static const struct token_exchange_ops ops = {
		.send_claims = handle_link,
	};
	struct token_exchange_options options = {
		.directory = &t->directory,
		.seed = 1,
		.ops = &ops,
		.ctx = t,
	};

	memset(t, 0, sizeof(*t));
	t->time.now_us = 1000 * US_PER_S;
	leaf_set_init(&t->leaves, "h0", "a", regions);
	host_directory_init(&t->directory, "h0", &t->leaves);
	for (uint32_t i = 0; i < hosts; i++)
		put_host(t, i, 500);
	options.clock = clock_virtual(&t->time);
	t->exchange = token_exchange_create(&options);
}

static void link_test_clear(struct link_test *t)
{
	token_exchange_free(t->exchange);
	host_directory_clear(&t->directory);
	leaf_set_clear(&t->leaves);
}

/*
 * Guards against links to more than 24 owners, and against links to owners of
 * other regions while those of the own region have none.
 */
static void test_links(void)
{
	static const struct {
		uint32_t hosts;
		uint32_t links;
		uint32_t own_links;
	} cases[] = { { 7, 6, 2 }, { 48, 24, 15 }, { 300, 24, 24 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct link_test t;

		link_test_init(&t, cases[i].hosts);
		token_exchange_keep_links(t.exchange);
		CU_ASSERT_EQUAL(t.links, cases[i].links);
		CU_ASSERT_EQUAL(t.own_links, cases[i].own_links);
		/* Weaker hosts own no quotas. */
		put_host(&t, cases[i].hosts, 100);
		t.links = 0;
		t.time.now_us += 21 * US_PER_S;
		token_exchange_keep_links(t.exchange);
		CU_ASSERT_EQUAL(t.links, cases[i].links);
		link_test_clear(&t);
	}
}

/*
 * Guards against two owners of a quota after a host got another capacity: hosts
 * that still have its earlier record consider it the owner.
 */
static void test_capacity_change(void)
{
	struct rate_owners before;
	struct rate_owners after;
	struct link_test t;
	uint64_t generation;
	const char *name;
	GArray *gone;

	link_test_init(&t, HOSTS);
	before = host_directory_rate_owners(&t.directory, "q:o0", "");
	generation = t.directory.generation;
	name = before.first->record.name;
	put_host(&t, (uint32_t)g_ascii_strtoull(name + 1, NULL, 10), 100);
	after = host_directory_rate_owners(&t.directory, "q:o0", "");
	CU_ASSERT_PTR_EQUAL(after.first, before.second);
	CU_ASSERT_NOT_EQUAL(t.directory.generation, generation);
	gone = host_directory_take_gone(&t.directory);
	CU_ASSERT_EQUAL(gone->len, 1);
	CU_ASSERT_TRUE(gone->len == 1 &&
		       host_directory_was_before(
			       &t.directory,
			       &g_array_index(gone, struct gone_host, 0),
			       after.first, "q:o0", ""));
	g_array_free(gone, TRUE);
	link_test_clear(&t);
}

/*
 * Guards against a first request that waits longer than for one answer of the
 * owner in its region, because its own host's cache is asked before.
 */
static void test_first_answer(void)
{
	struct quota_sim *s = quota_sim_create(HOSTS, HOSTS, 1, 40, 40, 1);
	uint32_t host = (owner_of(s, 0) + REGIONS) % HOSTS;

	quota_sim_run(s, 20 * US_PER_S);
	send_at_once(s, host, 1);
	quota_sim_run(s, 2 * QSIM_STEP_US);
	CU_ASSERT_EQUAL(s->admitted[0]->len, 1);
	quota_sim_destroy(s);
}

/*
 * Guards against tokens that are held for, and messages of, requests that come
 * so seldom that the tokens would lapse.
 */
static void test_rare_messages(void)
{
	struct quota_sim *s = quota_sim_create(HOSTS, HOSTS, 1, 40, 40, 1);
	uint32_t host = (owner_of(s, 0) + REGIONS) % HOSTS;

	send_at_once(s, host, 1);
	quota_sim_run(s, 10 * US_PER_S);
	quota_sim_clear_counts(s);
	for (int i = 0; i < 5; i++) {
		send_at_once(s, host, 1);
		quota_sim_run(s, 10 * US_PER_S);
	}
	CU_ASSERT_EQUAL(s->claim_count, 5);
	CU_ASSERT_EQUAL(s->frame_count, 10);
	quota_sim_destroy(s);
}

CU_TestInfo quota_region_tests[] = {
	{ "one region", test_one_region },
	{ "lost owner", test_lost_owner },
	{ "region changes", test_region_changes },
	{ "cut region", test_cut_region },
	{ "use after change", test_use_after_change },
	{ "burst at host", test_burst_at_host },
	{ "rare", test_rare },
	{ "lowered limit", test_lowered_limit },
	{ "links", test_links },
	{ "capacity change", test_capacity_change },
	{ "first answer", test_first_answer },
	{ "rare messages", test_rare_messages },
	CU_TEST_INFO_NULL,
};
