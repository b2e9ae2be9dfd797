#include "suites.h"

#include <stdio.h>

#include "quota_sim.h"

/*
 * Runs hosts with quotas through random schedules of faults and checks the
 * bound on the requests of all hosts together after each schedule. A schedule
 * that violates it is named by its seed.
 */

#define SEEDS 300
#define FAULTS 14
/* Longest delay of a change of the host records to a host in contact. */
#define EVENT_DELAY_US (4500 * US_PER_MS)
/* Longer than a lease and the time until another host grants. */
#define LOST_US (32 * US_PER_S)
#define BOUND_FACTOR 1.1
#define BOUND_EXTRA 20
#define BOUND_WINDOW_S 5

static double bound(double rate, double burst)
{
	return (rate * BOUND_WINDOW_S + burst) * BOUND_FACTOR + BOUND_EXTRA;
}

static int64_t random_ms(struct quota_sim *s, int min, int max)
{
	return g_rand_int_range(s->random, min, max) * US_PER_MS;
}

static void inject_fault(struct quota_sim *s)
{
	uint32_t i = (uint32_t)g_rand_int_range(s->random, 0, (gint32)s->count);
	struct qsim_host *h = &s->hosts[i];
	int64_t us = random_ms(s, 200, 25000);

	switch (g_rand_int_range(s->random, 0, 10)) {
	case 0:
		quota_sim_freeze_host(s, i, us, false);
		return;
	case 1:
		quota_sim_freeze_host(s, i, us, true);
		return;
	case 2:
		quota_sim_kill_host(s, i);
		return;
	case 3:
		quota_sim_kill_host(s, i);
		quota_sim_start_host(s, i);
		return;
	case 4:
		quota_sim_stop_host(s, i);
		return;
	case 5:
		if (!h->is_running)
			quota_sim_start_host(s, i);
		return;
	case 6:
		h->cut_from_hosts_until_us = s->now_us + us;
		return;
	case 7:
		h->cut_from_store_until_us = s->now_us + us;
		if (g_rand_boolean(s->random))
			h->cut_from_hosts_until_us = s->now_us + us;
		return;
	case 8:
		s->store_away_until_us = s->now_us + us;
		return;
	case 9:
		s->lost_link[0] = (int)i;
		s->lost_link[1] =
			g_rand_int_range(s->random, 0, (gint32)s->count);
		return;
	}
}

/* Lets the load come from one host or from all, with gaps that fill buckets. */
static void change_load(struct quota_sim *s, double rate)
{
	uint32_t only =
		(uint32_t)g_rand_int_range(s->random, 0, (gint32)s->count);

	switch (g_rand_int_range(s->random, 0, 4)) {
	case 0:
		quota_sim_set_rates(s, 0, 0);
		return;
	case 1:
		quota_sim_set_rates(s, 0, 0);
		s->hosts[only].per_s[0] = 3 * rate;
		return;
	default:
		quota_sim_set_rates(s, 0, 8 * rate / s->count);
	}
}

/* Lets caches of all regions fill. */
static void settle(struct quota_sim *s, double rate)
{
	quota_sim_set_rates(s, 0, 0.6 * rate / s->count);
	quota_sim_run(s, 75 * US_PER_S);
}

/*
 * Guards against requests of an organisation beyond the bound of its quota
 * while hosts, their links and the store fail.
 */
static void test_bound(void)
{
	static const struct {
		double rate;
		double burst;
	} limits[] = {
		{ 0.5, 0 }, { 10, 0 }, { 40, 80 }, { 200, 50 }, { 400, 0 }
	};

	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		double rate = limits[seed % G_N_ELEMENTS(limits)].rate;
		double burst = limits[seed % G_N_ELEMENTS(limits)].burst;
		uint32_t hosts = 3 + seed % (QSIM_HOSTS_MAX - 3);
		struct quota_sim *s = quota_sim_create(hosts, hosts - seed % 3,
						       1, rate, burst, seed);

		/* Caches hold tokens of an owner that grants for a minute. */
		if (seed % 3 == 0)
			settle(s, rate);
		s->event_delay_us = EVENT_DELAY_US;
		for (int i = 0; i < FAULTS; i++) {
			change_load(s, rate);
			quota_sim_run(s, random_ms(s, 200, 6000));
			inject_fault(s);
		}
		if (quota_sim_most_in_window(s, 0) > bound(rate, burst))
			printf("\nseed %u: %u hosts, rate %g, burst %g, %u\n",
			       seed, hosts, rate, burst,
			       quota_sim_most_in_window(s, 0));
		CU_ASSERT_TRUE(quota_sim_most_in_window(s, 0) <=
			       bound(rate, burst));
		quota_sim_destroy(s);
	}
}

enum owner_change {
	CHANGE_KILL,
	CHANGE_STOP,
	CHANGE_FREEZE,
	CHANGE_SUSPEND,
	CHANGE_CUT,
	CHANGE_COUNT,
};

static void change_owner(struct quota_sim *s, uint32_t i,
			 enum owner_change change)
{
	int64_t us = LOST_US;

	switch (change) {
	case CHANGE_KILL:
		quota_sim_kill_host(s, i);
		return;
	case CHANGE_STOP:
		quota_sim_stop_host(s, i);
		return;
	case CHANGE_CUT:
		s->hosts[i].cut_from_hosts_until_us = s->now_us + us;
		s->hosts[i].cut_from_store_until_us = s->now_us + us;
		return;
	default:
		quota_sim_freeze_host(s, i, us, change == CHANGE_SUSPEND);
	}
}

/*
 * Guards against two owners that both grant all: each host in turn, so also the
 * owner, is lost for longer than its lease and comes back, while the hosts
 * learn of both up to 4.5 s apart.
 */
static void test_owner_returns(void)
{
	for (guint32 seed = 1; seed <= 24; seed++) {
		for (int change = 0; change < CHANGE_COUNT; change++) {
			struct quota_sim *s =
				quota_sim_create(4, 4, 1, 200, 0, seed);
			uint32_t i = seed % 4;
			uint32_t most;

			if (seed % 2)
				settle(s, 200);
			s->event_delay_us = EVENT_DELAY_US;
			quota_sim_set_rates(s, 0, 400);
			quota_sim_run(s, 2 * US_PER_S);
			change_owner(s, i, change);
			quota_sim_run(s, LOST_US);
			if (!s->hosts[i].is_running)
				quota_sim_start_host(s, i);
			quota_sim_run(s, 14 * US_PER_S);
			most = quota_sim_most_in_window(s, 0);
			if (most > bound(200, 0))
				printf("\nseed %u, change %d: %u\n", seed,
				       change, most);
			CU_ASSERT_TRUE(most <= bound(200, 0));
			quota_sim_destroy(s);
		}
	}
}

/*
 * Guards against a quota that is not used: with and without a burst, by one
 * host, by a few and by all.
 */
static void test_use(void)
{
	static const double rates[] = { 2, 30, 300 };
	static const uint32_t hosts[] = { 1, 4, 9 };

	for (size_t i = 0; i < 2 * 3 * G_N_ELEMENTS(rates); i++) {
		double rate = rates[i / 6];
		uint32_t users = hosts[i / 2 % 3];
		struct quota_sim *s =
			quota_sim_create(9, 9, 1, rate, i % 2 ? rate : 0, 1);

		for (uint32_t k = 0; k < users; k++)
			s->hosts[k].per_s[0] = 5 * rate / users;
		quota_sim_run(s, 5 * US_PER_S);
		quota_sim_clear_counts(s);
		quota_sim_run(s, 40 * US_PER_S);
		CU_ASSERT_TRUE(s->admitted[0]->len >= 0.95 * rate * 40);
		quota_sim_destroy(s);
	}
}

/*
 * Guards against refusals of organisations that keep within their quotas: at an
 * even load of all hosts, and with the callers of each at one host.
 */
static void test_below_quota(void)
{
	for (int spread = 0; spread < 2; spread++) {
		struct quota_sim *s = quota_sim_create(9, 9, 8, 40, 40, 1);
		uint64_t refused = 0;
		uint64_t asked = 0;

		for (uint32_t o = 0; o < 8; o++) {
			if (spread)
				quota_sim_set_rates(s, o, 25.0 / 9);
			else
				s->hosts[o].per_s[o] = 25;
		}
		quota_sim_run(s, 60 * US_PER_S);
		for (uint32_t o = 0; o < 8; o++) {
			refused += s->refused[o];
			asked += s->asked[o];
		}
		CU_ASSERT_TRUE(asked > 8 * 25 * 50);
		CU_ASSERT_TRUE(refused * 1000 <= asked);
		quota_sim_destroy(s);
	}
}

/*
 * Guards against refusals of rare requests with a short latency goal: those of
 * hosts in other regions than the owner cannot wait for its answer.
 */
static void test_short_goal(void)
{
	struct quota_sim *s = quota_sim_create(9, 9, 8, 4, 4, 1);
	uint64_t refused = 0;
	uint64_t asked = 0;

	s->goal_us = 120 * US_PER_MS;
	for (uint32_t o = 0; o < 8; o++)
		quota_sim_set_rates(s, o, 2.5 / 9);
	quota_sim_run(s, 80 * US_PER_S);
	quota_sim_clear_counts(s);
	quota_sim_run(s, 300 * US_PER_S);
	for (uint32_t o = 0; o < 8; o++) {
		refused += s->refused[o];
		asked += s->asked[o];
	}
	CU_ASSERT_TRUE(asked > 8 * 2.5 * 250);
	CU_ASSERT_TRUE(refused * 1000 <= asked);
	quota_sim_destroy(s);
}

/*
 * Guards against quotas that are not used while hosts fail: 0.8 of all quotas
 * is used while one host after the other is killed and started again.
 */
static void test_use_with_faults(void)
{
	struct quota_sim *s = quota_sim_create(12, 12, 8, 30, 30, 1);
	uint64_t used = 0;

	for (uint32_t o = 0; o < 8; o++)
		quota_sim_set_rates(s, o, 5 * 30.0 / 12);
	quota_sim_run(s, 5 * US_PER_S);
	quota_sim_clear_counts(s);
	for (uint32_t i = 0; i < 12; i++) {
		quota_sim_kill_host(s, i);
		quota_sim_run(s, 10 * US_PER_S);
		quota_sim_start_host(s, i);
		quota_sim_run(s, 10 * US_PER_S);
	}
	for (uint32_t o = 0; o < 8; o++)
		used += s->admitted[o]->len;
	CU_ASSERT_TRUE((double)used >= 0.8 * 8 * 30 * 240);
	quota_sim_destroy(s);
}

/*
 * Guards against quotas that are not used while the store is away for all, for
 * organisations that ask seldom too.
 */
static void test_store_away(void)
{
	struct quota_sim *s = quota_sim_create(9, 9, 4, 30, 30, 1);
	uint64_t refused = 0;
	uint64_t asked = 0;

	for (uint32_t o = 0; o < 4; o++)
		quota_sim_set_rates(s, o, o ? 0.05 : 5 * 30.0 / 9);
	quota_sim_run(s, 10 * US_PER_S);
	s->store_away_until_us = s->now_us + 100 * US_PER_S;
	quota_sim_run(s, 10 * US_PER_S);
	quota_sim_clear_counts(s);
	quota_sim_run(s, 80 * US_PER_S);
	CU_ASSERT_TRUE(s->admitted[0]->len >= 0.9 * 30 * 80);
	for (uint32_t o = 1; o < 4; o++) {
		refused += s->refused[o];
		asked += s->asked[o];
	}
	CU_ASSERT_TRUE(asked > 50);
	CU_ASSERT_TRUE(refused * 50 <= asked);
	quota_sim_destroy(s);
}

/*
 * Guards against a start of all hosts, or of one, after which their quotas are
 * not used for long.
 */
static void test_start(void)
{
	struct quota_sim *s = quota_sim_create(9, 9, 1, 30, 30, 1);

	quota_sim_set_rates(s, 0, 5 * 30.0 / 9);
	for (uint32_t i = 0; i < 9; i++)
		quota_sim_kill_host(s, i);
	quota_sim_run(s, 20 * US_PER_S);
	for (uint32_t i = 0; i < 9; i++)
		quota_sim_start_host(s, i);
	quota_sim_run(s, 2 * US_PER_S);
	quota_sim_clear_counts(s);
	quota_sim_run(s, 4 * US_PER_S);
	CU_ASSERT_TRUE(s->admitted[0]->len >= 0.9 * 30 * 4);
	quota_sim_destroy(s);
}

/*
 * Guards against a restart of all hosts after which their quotas are not used
 * for long, in a fleet that is too large for an agreement on the records.
 */
static void test_restart_all(void)
{
	struct quota_sim *s = quota_sim_create(9, 9, 1, 30, 30, 1);

	s->is_large = true;
	quota_sim_set_rates(s, 0, 5 * 30.0 / 9);
	for (uint32_t i = 0; i < 9; i++)
		quota_sim_kill_host(s, i);
	quota_sim_run(s, 2 * US_PER_S);
	for (uint32_t i = 0; i < 9; i++)
		quota_sim_start_host(s, i);
	quota_sim_run(s, 7 * US_PER_S);
	quota_sim_clear_counts(s);
	quota_sim_run(s, 2 * US_PER_S);
	CU_ASSERT_TRUE(s->admitted[0]->len >= 0.9 * 30 * 2);
	quota_sim_destroy(s);
}

/* Guards against messages for organisations that are not asking. */
static void test_idle(void)
{
	struct quota_sim *s = quota_sim_create(9, 9, 8, 40, 40, 1);

	quota_sim_set_rates(s, 0, 10);
	quota_sim_run(s, 5 * US_PER_S);
	quota_sim_set_rates(s, 0, 0);
	quota_sim_run(s, 3 * US_PER_S);
	quota_sim_clear_counts(s);
	quota_sim_run(s, 20 * US_PER_S);
	CU_ASSERT_EQUAL(s->frame_count, 0);
	quota_sim_destroy(s);
}

/*
 * Guards against a lowered quota that hosts with the older table still use:
 * some hosts learn of the lower rate 4 s after the others.
 */
static void test_lowered(void)
{
	for (guint32 seed = 1; seed <= 20; seed++) {
		struct quota_sim *s = quota_sim_create(7, 7, 1, 100, 20, seed);

		s->organisations[1][0].max_per_s = 20;
		quota_sim_set_rates(s, 0, 60);
		quota_sim_run(s, 8 * US_PER_S);
		for (uint32_t i = 0; i < s->count; i++)
			s->hosts[i].version = (seed + i) % 2;
		quota_sim_run(s, 4 * US_PER_S);
		for (uint32_t i = 0; i < s->count; i++)
			s->hosts[i].version = 1;
		quota_sim_run(s, US_PER_S);
		quota_sim_clear_counts(s);
		quota_sim_run(s, 20 * US_PER_S);
		CU_ASSERT_TRUE(quota_sim_most_in_window(s, 0) <= bound(20, 20));
		CU_ASSERT_TRUE(s->admitted[0]->len >= 0.95 * 20 * 20);
		quota_sim_destroy(s);
	}
}

/* Kinds of faults of the schedules of owners; each is also tested alone. */
enum owner_fault {
	FAULT_STOP,
	FAULT_RESTART,
	FAULT_EXPIRE,
	FAULT_FREEZE,
	FAULT_SUSPEND,
	FAULT_CUT_STORE,
	FAULT_CUT_HOSTS,
	FAULT_ISLAND,
	FAULT_ISLAND_WITH_STORE,
	FAULT_STORE_AWAY,
	FAULT_STORE_AWAY_LEASES,
	FAULT_RENEWALS,
	FAULT_STORE_FOR_FEW,
	FAULT_JOIN,
	FAULT_COUNT,
};

/* A host, some hosts of all domains, or one or two domains. */
static uint32_t random_island(struct quota_sim *s)
{
	uint32_t domain = (uint32_t)g_rand_int_range(s->random, 0, 3);
	uint32_t all = (1U << s->count) - 1;
	uint32_t island = 0;

	switch (g_rand_int_range(s->random, 0, 3)) {
	case 0:
		return 1U << g_rand_int_range(s->random, 0, (gint32)s->count);
	case 1:
		return g_rand_int(s->random) & all;
	default:
		for (uint32_t i = 0; i < s->count; i++) {
			if (i % 3 == domain)
				island |= 1U << i;
		}
		return g_rand_boolean(s->random) ? island : all & ~island;
	}
}

static void start_if_down(struct quota_sim *s, uint32_t i)
{
	if (!s->hosts[i].is_running)
		quota_sim_start_host(s, i);
}

static void inject_owner_fault(struct quota_sim *s, enum owner_fault fault)
{
	uint32_t i = (uint32_t)g_rand_int_range(s->random, 0, (gint32)s->count);
	struct qsim_host *h = &s->hosts[i];
	int64_t us = random_ms(s, 200, 32000);

	switch (fault) {
	case FAULT_STOP:
		quota_sim_stop_host(s, i);
		quota_sim_run(s, random_ms(s, 6100, 9000));
		start_if_down(s, i);
		return;
	case FAULT_RESTART:
		quota_sim_kill_host(s, i);
		quota_sim_run(s, random_ms(s, 0, 14000));
		start_if_down(s, i);
		return;
	case FAULT_EXPIRE:
		quota_sim_kill_host(s, i);
		quota_sim_run(s, random_ms(s, 10000, 32000));
		start_if_down(s, i);
		return;
	case FAULT_FREEZE:
	case FAULT_SUSPEND:
		quota_sim_freeze_host(s, i, us, fault == FAULT_SUSPEND);
		return;
	case FAULT_CUT_STORE:
		h->cut_from_store_until_us = s->now_us + us;
		return;
	case FAULT_CUT_HOSTS:
		h->cut_from_hosts_until_us = s->now_us + us;
		return;
	case FAULT_ISLAND:
	case FAULT_ISLAND_WITH_STORE:
		s->island = random_island(s);
		s->island_until_us = s->now_us + 2 * us;
		s->has_island_store = fault == FAULT_ISLAND_WITH_STORE;
		return;
	case FAULT_STORE_AWAY:
	case FAULT_STORE_AWAY_LEASES:
		s->store_away_until_us = s->now_us + us;
		s->is_keeping_leases = fault == FAULT_STORE_AWAY_LEASES;
		return;
	case FAULT_RENEWALS:
		h->renewals_fail_until_us = s->now_us + us;
		return;
	case FAULT_STORE_FOR_FEW:
		for (uint32_t k = 0; k < s->count; k++) {
			if (g_rand_double(s->random) < 0.7)
				s->hosts[k].cut_from_store_until_us =
					s->now_us + us;
		}
		return;
	case FAULT_JOIN:
	case FAULT_COUNT:
		start_if_down(s, i);
		return;
	}
}

static void check_schedule(const struct quota_sim *s, double rate, double burst,
			   guint32 seed, const char *kind)
{
	uint32_t most = quota_sim_most_in_window(s, 0);

	if (s->overlap_us || most > bound(rate, burst))
		printf("\n%s, seed %u: %u hosts, rate %g, %u of %g, two owners "
		       "for %lld ms: h%u and h%u\n",
		       kind, seed, s->count, rate, most, bound(rate, burst),
		       (long long)(s->overlap_sum_us / US_PER_MS),
		       s->overlap_hosts[0], s->overlap_hosts[1]);
	CU_ASSERT_EQUAL(s->overlap_us, 0);
	CU_ASSERT_TRUE(most <= bound(rate, burst));
}

/* The seeds of a long run are read from the environment. */
static guint32 env_number(const char *name, guint32 usual)
{
	const char *text = g_getenv(name);

	return text ? (guint32)g_ascii_strtoull(text, NULL, 10) : usual;
}

static guint32 first_seed(void)
{
	return env_number("QUOTA_FIRST_SEED", 1);
}

static guint32 last_seed(guint32 usual)
{
	return first_seed() + env_number("QUOTA_SEEDS", usual) - 1;
}

static void run_owner_schedule(guint32 seed, enum owner_fault only)
{
	double rate = seed % 2 ? 200 : 30;
	uint32_t hosts = 3 + seed % (QSIM_HOSTS_MAX - 3);
	struct quota_sim *s =
		quota_sim_create(hosts, hosts - seed % 3, 1, rate, 0, seed);
	char kind[16] = "all faults";

	if (only != FAULT_COUNT)
		g_snprintf(kind, sizeof(kind), "fault %d", only);
	s->event_delay_us = EVENT_DELAY_US;
	s->is_checking_owners = true;
	s->is_large = seed % 5 < 2;
	if (seed % 4 == 0) {
		s->lost_part = 0.1;
		s->repeated_part = 0.1;
		s->delayed_part = 0.1;
	}
	quota_sim_set_rates(s, 0, 4 * rate / s->count);
	for (int i = 0; i < FAULTS; i++) {
		enum owner_fault fault = only;

		if (only == FAULT_COUNT)
			fault = (enum owner_fault)g_rand_int_range(s->random, 0,
								   FAULT_COUNT);
		quota_sim_run(s, random_ms(s, 200, 12000));
		inject_owner_fault(s, fault);
	}
	quota_sim_run(s, LOST_US);
	check_schedule(s, rate, 0, seed, kind);
	quota_sim_destroy(s);
}

/*
 * Guards against two hosts that grant all of a quota, at any moment, while
 * hosts stop, restart, expire, join and are cut off, each fault alone.
 */
static void test_owner_faults(void)
{
	for (guint32 seed = first_seed(); seed <= last_seed(4); seed++) {
		for (int fault = 0; fault < FAULT_COUNT; fault++)
			run_owner_schedule(seed, (enum owner_fault)fault);
	}
}

/* The same with faults of all kinds that overlap. */
static void test_owner_schedules(void)
{
	for (guint32 seed = first_seed(); seed <= last_seed(60); seed++)
		run_owner_schedule(seed, FAULT_COUNT);
}

/* Changes of single hosts, one host after the other. */
static void change_hosts(struct quota_sim *s, enum owner_fault fault,
			 int64_t step_us)
{
	for (uint32_t i = 0; i < s->count; i++) {
		switch (fault) {
		case FAULT_STOP:
			quota_sim_stop_host(s, i);
			break;
		case FAULT_RESTART:
		case FAULT_EXPIRE:
			quota_sim_kill_host(s, i);
			break;
		case FAULT_FREEZE:
			quota_sim_freeze_host(s, i, step_us, false);
			break;
		default:
			s->hosts[i].cut_from_store_until_us =
				s->now_us + step_us;
			s->hosts[i].cut_from_hosts_until_us =
				s->now_us + step_us;
		}
		quota_sim_run(s, step_us);
		start_if_down(s, i);
		quota_sim_run(s, 40 * US_PER_S - step_us);
	}
}

/*
 * Guards against quotas that are not used while single hosts stop in order, are
 * restarted, fail for longer than their lease, stand still and are cut off.
 */
static void test_use_with_changes(void)
{
	static const struct {
		enum owner_fault fault;
		int64_t us;
	} changes[] = {
		{ FAULT_STOP, 8 * US_PER_S },
		{ FAULT_RESTART, 3 * US_PER_S },
		{ FAULT_EXPIRE, 25 * US_PER_S },
		{ FAULT_FREEZE, 6 * US_PER_S },
		{ FAULT_CUT_HOSTS, 8 * US_PER_S },
	};

	for (size_t k = 0; k < 2 * G_N_ELEMENTS(changes); k++) {
		enum owner_fault fault = changes[k / 2].fault;
		struct quota_sim *s =
			quota_sim_create(9, 9, 4, 30, 0, (guint32)k / 2 + 1);
		double least = 1;

		s->is_checking_owners = true;
		s->is_large = k % 2;

		for (uint32_t o = 0; o < 4; o++)
			quota_sim_set_rates(s, o, 5 * 30.0 / 9);
		quota_sim_run(s, 5 * US_PER_S);
		quota_sim_clear_counts(s);
		change_hosts(s, fault, changes[k / 2].us);
		for (uint32_t o = 0; o < 4; o++)
			least = MIN(least, s->admitted[o]->len / (30 * 360.0));
		if (g_getenv("QUOTA_USE"))
			printf("\nuse, fault %d, large %d: %.3f, no owner for "
			       "%.1f s\n",
			       fault, s->is_large, least,
			       360 - (double)s->owned_us / US_PER_S);
		CU_ASSERT_TRUE(least >= 0.8);
		quota_sim_destroy(s);
	}
}

CU_TestInfo quota_schedule_tests[] = {
	{ "bound", test_bound },
	{ "owner returns", test_owner_returns },
	{ "use", test_use },
	{ "below quota", test_below_quota },
	{ "short goal", test_short_goal },
	{ "use with faults", test_use_with_faults },
	{ "store away", test_store_away },
	{ "start", test_start },
	{ "restart all", test_restart_all },
	{ "idle", test_idle },
	{ "lowered", test_lowered },
	{ "use with changes", test_use_with_changes },
	{ "owner faults", test_owner_faults },
	{ "owner schedules", test_owner_schedules },
	CU_TEST_INFO_NULL,
};
