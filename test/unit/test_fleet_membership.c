#include "suites.h"

#include <stdio.h>
#include <stdlib.h>

#include "common/events.h"
#include "fleet_sim.h"

#define GONE (SIM_STATE(MEMBER_DEAD) | SIM_STATE(MEMBER_LEFT) | SIM_UNKNOWN)
#define STEP_US (20 * US_PER_MS)

/* Runs until every running host has removed the host; returns the time. */
static int64_t run_until_gone(struct sim *s, uint32_t host, int64_t limit)
{
	int64_t start = s->clock.now_us;
	uint32_t running = 0;

	for (uint32_t i = 0; i < s->host_count; i++)
		running += s->hosts[i].is_up;
	while (s->clock.now_us - start < limit) {
		if (sim_count_state(s, host, GONE) == running)
			break;
		sim_run(s, STEP_US);
	}
	return s->clock.now_us - start;
}

static uint32_t count_removals(struct sim *s)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < s->host_count; i++)
		count += sim_count_state(s, i, GONE);
	return count;
}

static int64_t measure_worst_detection(uint32_t hosts, uint32_t domains,
				       uint32_t runs)
{
	int64_t worst = 0;
	struct sim s;

	for (uint32_t seed = 1; seed <= runs; seed++) {
		int64_t t;

		sim_create(&s, hosts, domains, seed);
		sim_start_all(&s);
		sim_run(&s, 5 * US_PER_S + seed * 37 * US_PER_MS);
		sim_kill(&s, seed % hosts);
		t = run_until_gone(&s, seed % hosts, 10 * US_PER_S);
		worst = MAX(worst, t);
		sim_destroy(&s);
	}
	if (getenv("FLEET_FIGURES"))
		printf("%u hosts: all removed it after at most %.2f s of %u "
		       "runs\n",
		       hosts, (double)worst / US_PER_S, runs);
	return worst;
}

/* Guards against a dead host being used for longer than 3 s. */
static void test_detection(void)
{
	CU_ASSERT(measure_worst_detection(7, 3, 40) < 3 * US_PER_S);
	CU_ASSERT(measure_worst_detection(50, 6, 20) < 3 * US_PER_S);
	CU_ASSERT(measure_worst_detection(200, 6, 10) < 3 * US_PER_S);
}

/* Guards against a host being removed because of frame loss and jitter. */
static void test_no_false_removal(void)
{
	static const uint32_t sizes[] = { 7, 50, 200 };
	struct sim s;

	for (int i = 0; i < 3; i++) {
		uint32_t removals = 0;

		sim_create(&s, sizes[i], i ? 6 : 3, 5);
		sim_start_all(&s);
		s.loss = 0.02;
		s.jitter_us = 50 * US_PER_MS;
		for (int t = 0; t < 600; t++) {
			sim_run(&s, US_PER_S);
			removals += count_removals(&s);
		}
		CU_ASSERT_EQUAL(removals, 0);
		sim_destroy(&s);
	}
}

/*
 * Guards against a paused host that stays removed after it resumes, or that
 * then removes others.
 */
static void test_pause(void)
{
	struct sim s;

	sim_create(&s, 20, 3, 3);
	sim_start_all(&s);
	sim_pause(&s, 4, true);
	sim_run(&s, 8 * US_PER_S);
	CU_ASSERT_EQUAL(sim_count_state(&s, 4, GONE), 19);
	sim_pause(&s, 4, false);
	sim_run(&s, 5 * US_PER_S);
	CU_ASSERT_EQUAL(count_removals(&s), 0);
	sim_destroy(&s);
}

static uint32_t count_removals_by(struct sim *s, uint32_t region)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < s->host_count; i++) {
		const struct sim_host *h = &s->hosts[i];
		const struct member *const *list;
		uint32_t n;

		if (h->domain % SIM_REGIONS != region)
			continue;
		list = membership_list(fleet_members(h->fleet), &n);
		for (uint32_t k = 0; k < n; k++)
			count += list[k]->info.state == MEMBER_DEAD;
	}
	return count;
}

/*
 * Guards against a region that is cut off removing the rest of the fleet, and
 * against the parts not rejoining after a partition of up to an hour.
 */
static void test_partition(void)
{
	static const uint32_t sizes[] = { 7, 50, 120 };
	static const int64_t seconds[] = { 3600, 120, 60 };
	struct sim s;

	for (int i = 0; i < 3; i++) {
		uint32_t wrong = 0;

		sim_create(&s, sizes[i], i ? 6 : 3, 11);
		sim_start_all(&s);
		sim_run(&s, 2 * US_PER_S);
		s.cut_region = 1;
		for (int t = 0; t < 150; t++) {
			sim_run(&s, t < 100 ? US_PER_S / 5
					    : seconds[i] * US_PER_S / 50);
			wrong += count_removals_by(&s, 1);
		}
		CU_ASSERT_EQUAL(wrong, 0);
		CU_ASSERT(sim_count_state(&s, 1, GONE) > 0);
		s.cut_region = -1;
		sim_run(&s, 70 * US_PER_S);
		CU_ASSERT_EQUAL(count_removals(&s), 0);
		sim_destroy(&s);
	}
}

/*
 * Guards against hosts of a lost failure domain not being removed. To the other
 * hosts such a loss looks like a partition.
 */
static void test_domain_lost(void)
{
	int64_t worst = 0;
	struct sim s;

	sim_create(&s, 60, 6, 9);
	sim_start_all(&s);
	sim_run(&s, 2 * US_PER_S);
	for (uint32_t i = 2; i < 60; i += 6)
		sim_kill(&s, i);
	for (uint32_t i = 2; i < 60; i += 6)
		worst += run_until_gone(&s, i, 10 * US_PER_S);
	if (getenv("FLEET_FIGURES"))
		printf("10 of 60 hosts lost: all removed after %.2f s\n",
		       (double)worst / US_PER_S);
	CU_ASSERT(worst < 3 * US_PER_S);
	sim_destroy(&s);
}

CU_TestInfo fleet_membership_tests[] = {
	{ "dead host detected", test_detection },
	{ "no false removal", test_no_false_removal },
	{ "paused host rejoins", test_pause },
	{ "minority removes nobody", test_partition },
	{ "failure domain lost", test_domain_lost },
	CU_TEST_INFO_NULL,
};
