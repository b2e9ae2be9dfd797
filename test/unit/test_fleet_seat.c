#include "suites.h"

#include <stdio.h>
#include <stdlib.h>

#include "fleet_sim.h"

static uint32_t double_seats;

/* Checks that no two running hosts of a domain hold the same seat. */
static void check_seats(struct sim *s, struct sim_host *h)
{
	int32_t seat = fleet_seat(h->fleet);

	for (uint32_t i = h->domain; i < s->host_count && seat != NO_SEAT;
	     i += s->domain_count) {
		if (i != h->index && s->hosts[i].is_up &&
		    fleet_seat(s->hosts[i].fleet) == seat)
			double_seats++;
	}
}

static void create_sim(struct sim *s, uint32_t hosts, uint32_t seats)
{
	sim_create(s, hosts, 3, 31);
	s->seats = seats;
	s->check = check_seats;
	double_seats = 0;
}

static void destroy_sim(struct sim *s)
{
	CU_ASSERT_EQUAL(double_seats, 0);
	sim_destroy(s);
}

static void run_with_lists(struct sim *s, int seconds)
{
	for (int i = 0; i < seconds; i++) {
		sim_send_host_list(s);
		sim_run(s, US_PER_S);
	}
}

static uint32_t count_seated(const struct sim *s)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < s->host_count; i++) {
		if (s->hosts[i].is_up &&
		    fleet_seat(s->hosts[i].fleet) != NO_SEAT)
			count++;
	}
	return count;
}

/*
 * Guards against hosts that join at once blocking each other by conflicting
 * writes, and against a write with a lost reply being done twice or not at all.
 */
static void test_contention(void)
{
	static const double lost[] = { 0, 0.3 };
	struct sim s;

	for (int i = 0; i < 2; i++) {
		int seconds = 0;

		create_sim(&s, 90, 30);
		s.lost_replies = lost[i];
		s.stale_reads = lost[i];
		sim_start_all(&s);
		while (count_seated(&s) < 90 && seconds++ < 60)
			run_with_lists(&s, 1);
		if (getenv("FLEET_FIGURES"))
			printf("90 hosts joining at once, %.0f%% lost replies: "
			       "all seated %d s after the join, %llu store "
			       "calls\n",
			       100 * lost[i], seconds,
			       (unsigned long long)s.store_calls);
		CU_ASSERT_EQUAL(count_seated(&s), 90);
		destroy_sim(&s);
	}
}

/*
 * Guards against a seat that stays occupied after a graceful stop, so that a
 * spare host claims it only after the absence of 20 s.
 */
static void test_release(void)
{
	struct sim s;

	create_sim(&s, 9, 2);
	sim_start_all(&s);
	run_with_lists(&s, 12);
	CU_ASSERT_EQUAL(count_seated(&s), 6);
	for (uint32_t i = 0; i < 9; i++) {
		if (fleet_seat(s.hosts[i].fleet) == NO_SEAT)
			continue;
		fleet_stop(s.hosts[i].fleet);
		run_with_lists(&s, 2);
		CU_ASSERT(fleet_is_stopped(s.hosts[i].fleet));
		sim_kill(&s, i);
		break;
	}
	run_with_lists(&s, 12);
	CU_ASSERT_EQUAL(count_seated(&s), 6);
	destroy_sim(&s);
}

/*
 * Guards against a seat that is taken over too early: while its host is listed,
 * within the first 20 s of its absence, or while no host lists arrive. Also
 * guards against a seat that is never taken over.
 */
static void test_absence(void)
{
	struct sim s;
	uint32_t lost = 0;

	create_sim(&s, 9, 2);
	sim_start_all(&s);
	run_with_lists(&s, 12);
	while (fleet_seat(s.hosts[lost].fleet) == NO_SEAT)
		lost++;
	sim_pause(&s, lost, true);
	run_with_lists(&s, 60);
	CU_ASSERT_EQUAL(count_seated(&s), 6);
	sim_kill(&s, lost);
	run_with_lists(&s, 18);
	CU_ASSERT_EQUAL(count_seated(&s), 5);
	sim_run(&s, 30 * US_PER_S);
	CU_ASSERT_EQUAL(count_seated(&s), 5);
	run_with_lists(&s, 34);
	CU_ASSERT_EQUAL(count_seated(&s), 6);
	destroy_sim(&s);
}

/*
 * Guards against seats changing during an outage of the store, and against a
 * host using its seat after a pause in which another could have claimed it.
 */
static void test_outage(void)
{
	struct sim s;

	create_sim(&s, 6, 2);
	sim_start_all(&s);
	run_with_lists(&s, 12);
	CU_ASSERT_EQUAL(count_seated(&s), 6);
	s.is_store_down = true;
	sim_pause(&s, 0, true);
	run_with_lists(&s, 15);
	sim_pause(&s, 0, false);
	run_with_lists(&s, 10);
	CU_ASSERT_EQUAL(fleet_seat(s.hosts[0].fleet), NO_SEAT);
	CU_ASSERT_EQUAL(count_seated(&s), 5);
	s.is_store_down = false;
	run_with_lists(&s, 8);
	CU_ASSERT_EQUAL(count_seated(&s), 6);
	destroy_sim(&s);
}

CU_TestInfo fleet_seat_tests[] = {
	{ "contention and lost replies", test_contention },
	{ "release", test_release },
	{ "takeover after absence", test_absence },
	{ "outage and pause", test_outage },
	CU_TEST_INFO_NULL,
};
