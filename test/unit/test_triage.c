#include "suites.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "router/triage.h"

#define ENTRIES 64

static void add(struct triage_queue *q, struct triage_entry *e, uint32_t rank,
		int64_t now_us, int64_t latest_us, int64_t work_us)
{
	struct triage_request r = {
		.rank = rank,
		.now_us = now_us,
		.latest_start_us = latest_us,
		.work_us = work_us,
		.request_work_us = work_us,
	};

	triage_queue_add(q, e, &r);
}

/*
 * Guards against a queue that is first in, first out, and one in which an old
 * entry of a low rank starves.
 */
static void test_order(void)
{
	struct triage_queue q = { 0 };
	struct triage_entry e[4] = { 0 };
	int64_t ms = US_PER_MS;

	add(&q, &e[0], 1, 0, 300 * ms, 28 * ms);
	add(&q, &e[1], 0, 10 * ms, 90 * ms, 9 * ms);
	add(&q, &e[2], 0, 11 * ms, 60 * ms, 9 * ms);
	CU_ASSERT_PTR_EQUAL(triage_queue_first(&q), &e[2]);
	CU_ASSERT_PTR_EQUAL(triage_queue_cheapest(&q), &e[0]);
	CU_ASSERT_EQUAL(triage_queue_work_before(&q, 0), 18 * ms);
	CU_ASSERT_EQUAL(triage_queue_work_before(&q, 1), 46 * ms);
	triage_queue_remove(&q, &e[2]);
	triage_queue_remove(&q, &e[1]);
	add(&q, &e[3], 0, 1500 * ms, 1600 * ms, 9 * ms);
	CU_ASSERT_PTR_EQUAL(triage_queue_first(&q), &e[0]);
	triage_queue_clear(&q);
}

/*
 * Guards against a list of the cheapest entries that differs from the order in
 * which they are refused, also among equal ones.
 */
static void test_cheapest(void)
{
	struct triage_queue q = { 0 };
	struct triage_entry e[ENTRIES] = { 0 };
	struct triage_entry *listed[8];
	GRand *rand = g_rand_new_with_seed(1);
	uint32_t count;

	for (int i = 0; i < ENTRIES; i++)
		add(&q, &e[i], 0, 0, US_PER_S,
		    g_rand_int_range(rand, 1, 5) * US_PER_MS);
	count = triage_queue_list_cheapest(&q, listed, G_N_ELEMENTS(listed));
	CU_ASSERT_EQUAL(count, G_N_ELEMENTS(listed));
	for (uint32_t i = 0; i < count; i++) {
		CU_ASSERT_PTR_EQUAL(triage_queue_cheapest(&q), listed[i]);
		triage_queue_remove(&q, listed[i]);
	}
	triage_queue_clear(&q);
	g_rand_free(rand);
}

/*
 * Guards against entries that are lost or sums of work that drift, over random
 * additions and removals.
 */
static void test_random_changes(void)
{
	for (guint32 seed = 1; seed <= 200; seed++) {
		GRand *rand = g_rand_new_with_seed(seed);
		struct triage_queue q = { 0 };
		struct triage_entry e[ENTRIES] = { 0 };

		for (int i = 0; i < 500; i++) {
			struct triage_entry *x =
				&e[g_rand_int_range(rand, 0, ENTRIES)];
			int64_t total = 0;
			uint32_t count = 0;

			if (g_rand_boolean(rand))
				add(&q, x, g_rand_int_range(rand, 0, 32), i, i,
				    g_rand_int_range(rand, 1, 1000));
			else
				triage_queue_remove(&q, x);
			for (int k = 0; k < ENTRIES; k++) {
				if (!e[k].order.position)
					continue;
				count++;
				total += e[k].work_us;
				CU_ASSERT_TRUE(triage_queue_work_ahead(
						       &q, &e[k]) >= 0);
			}
			CU_ASSERT_EQUAL(triage_queue_count(&q), count);
			CU_ASSERT_EQUAL(
				triage_queue_work_before(&q, TRIAGE_RANKS - 1),
				total);
		}
		triage_queue_clear(&q);
		g_rand_free(rand);
	}
}

/*
 * Guards against an estimate that takes the wait at the leaf for work, and one
 * that follows a change of the work only after minutes at a low rate.
 */
static void test_work(void)
{
	static const int64_t intervals_us[] = { 10 * US_PER_MS, US_PER_S };
	static const int counts[] = { 60, 10 };

	/* Six calls ahead at four slots, of 20 ms each. */
	CU_ASSERT_EQUAL(triage_work_of_call(50000, 6, 4, 20000), 20000);
	CU_ASSERT_EQUAL(triage_work_of_call(50000, 0, 4, 20000), 50000);
	for (int i = 0; i < 2; i++) {
		struct work_estimate e = { 0 };
		int64_t now = 0;

		CU_ASSERT_EQUAL(work_estimate_typical(&e), 0);
		for (int k = 0; k < 100; k++)
			work_estimate_add(&e, 28000, now += intervals_us[i]);
		CU_ASSERT_TRUE(llabs(work_estimate_typical(&e) - 28000) < 500);
		for (int k = 0; k < counts[i]; k++)
			work_estimate_add(&e, 280000, now += intervals_us[i]);
		CU_ASSERT_TRUE(work_estimate_typical(&e) > 240000);
		/* A pause of one leaf is no change of the work. */
		work_estimate_add(&e, 2800, now + US_PER_MS);
		CU_ASSERT_TRUE(work_estimate_typical(&e) > 200000);
		CU_ASSERT_TRUE(work_estimate_may_try(&e, now));
		CU_ASSERT_FALSE(work_estimate_may_try(&e, now + US_PER_MS));
	}
}

/* Guards against a limit that one of the paths would not respect. */
static void test_end(void)
{
	struct triage_limits l = { 400, 100000, INT64_MAX };
	struct triage_work w = { .wait_us = 100, .work_us = 300 };

	CU_ASSERT_EQUAL(triage_end_of(&l, &w, 0), TRIAGE_IN_GOAL);
	CU_ASSERT_EQUAL(triage_end_of(&l, &w, 1), TRIAGE_LATE);
	/* 10 ms are the least for a call. */
	CU_ASSERT_EQUAL(triage_end_of(&l, &w, 89901), TRIAGE_TOO_LATE);
	w.least_us = 90000;
	CU_ASSERT_EQUAL(triage_end_of(&l, &w, 9901), TRIAGE_TOO_LATE);
	l.stop_us = 500;
	w.stop_work_us = 401;
	CU_ASSERT_EQUAL(triage_end_of(&l, &w, 0), TRIAGE_STOPPED);
	CU_ASSERT_TRUE(triage_hold_until(0, 120000) < 30000);
	CU_ASSERT_TRUE(triage_hold_until(0, 5000000) < 100000);
}

/* Guards against a class that is refused for ever while others succeed. */
static void test_neglected(void)
{
	struct triage_class all = { 0 };
	struct triage_class low = { 0 };
	struct triage_class high = { 0 };
	uint32_t first = 0;

	for (int64_t i = 0; i < 4000; i++) {
		int64_t now = i * 5 * US_PER_MS;

		triage_class_note_offered(&high, &all, now);
		triage_class_note_started(&high, false, now);
		triage_class_note_started(&all, false, now);
		first += triage_class_note_offered(&low, &all, now);
	}
	/* Half of all succeed; an eighth of the class is a quarter of that. */
	CU_ASSERT_TRUE(first >= 4000 / 8 - 20);
	CU_ASSERT_TRUE(first <= 4000 / 6);
}

/*
 * Guards against requests that go before more urgent ones although their class
 * is served above its floor: its starts come in groups, with gaps between them.
 */
static void test_served(void)
{
	struct triage_class all = { 0 };
	struct triage_class c = { 0 };

	for (int i = 0; i < 400; i++) {
		int64_t now = i * 5 * US_PER_MS;

		CU_ASSERT_FALSE(triage_class_note_offered(&c, &all, now));
		triage_class_note_started(&all, false, now);
		for (int k = 0; k < 8 && i % 16 == 0; k++)
			triage_class_note_started(&c, false, now);
	}
	CU_ASSERT_FALSE(triage_class_is_scarce(&all));
	CU_ASSERT_TRUE(triage_class_is_scarce(&c));
}

/*
 * Guards against a route that changes its class of work from one request to the
 * next, so that its requests pass each other.
 */
static void test_weight(void)
{
	CU_ASSERT_EQUAL(triage_weight(100, 149), 1);
	CU_ASSERT_EQUAL(triage_weight(100, 151), 0);
	CU_ASSERT_EQUAL(triage_weight_after(1, 100, 151), 1);
	CU_ASSERT_EQUAL(triage_weight_after(0, 100, 149), 0);
	CU_ASSERT_EQUAL(triage_weight_after(1, 100, 190), 0);
	CU_ASSERT_EQUAL(triage_weight_after(0, 100, 119), 1);
	CU_ASSERT_EQUAL(triage_weight_after(0, 400, 100), 2);
}

/* Guards against a route without a floor because its requests are late. */
static void test_late_neglected(void)
{
	struct triage_value v = { .priority = 1, .is_late = true };

	CU_ASSERT_EQUAL(triage_rank(&v), TRIAGE_RANKS - 1);
	v.is_neglected = true;
	CU_ASSERT_EQUAL(triage_rank(&v), 0);
}

/* Guards against a route that succeeds more often than a more urgent one. */
static void test_gives_way(void)
{
	struct triage_class c[TRIAGE_PRIORITIES] = { 0 };

	CU_ASSERT_FALSE(triage_class_gives_way(c, 1, 0));
	for (int i = 0; i < 20; i++) {
		triage_class_note_end(&c[0], i % 2, 0);
		triage_class_note_end(&c[1], i % 4, 0);
	}
	CU_ASSERT_TRUE(triage_class_gives_way(c, 1, 0));
	CU_ASSERT_FALSE(triage_class_gives_way(c, 0, 0));
	/* Old refusals say nothing. */
	CU_ASSERT_FALSE(triage_class_gives_way(c, 1, 60 * US_PER_S));
}

/*
 * Guards against an organisation whose excess displaces the requests of others,
 * and against excess where the demand of all has doubled.
 */
static void test_demand(void)
{
	struct triage_demand all = { 0 };
	struct triage_demand d[4] = { 0 };
	uint32_t excess[4] = { 0 };

	for (int64_t ms = 1; ms < 80000; ms += 10) {
		bool is_flood = ms > 60000;
		bool is_doubled = ms > 40000 && ms < 50000;

		if (ms == 45001)
			memset(excess, 0, sizeof(excess));
		if (ms == 50001)
			for (int i = 0; i < 4; i++)
				CU_ASSERT_TRUE(excess[i] < 100);
		if (ms == 60001)
			memset(excess, 0, sizeof(excess));
		for (int i = 0; i < 4; i++) {
			int n = is_doubled ? 2 : is_flood && !i ? 8 : 1;

			while (n--)
				excess[i] += triage_demand_note(
					&d[i], &all, 1000, ms * US_PER_MS);
		}
	}
	CU_ASSERT_TRUE(excess[0] > 16000 / 2);
	for (int i = 1; i < 4; i++)
		CU_ASSERT_EQUAL(excess[i], 0);
}

/*
 * Guards against an organisation of few requests whose first ones count as
 * excess, like those of an organisation that sends far too many.
 */
static void test_rare_demand(void)
{
	struct triage_demand all = { 0 };
	struct triage_demand often = { 0 };
	struct triage_demand rare = { 0 };
	uint32_t excess = 0;

	for (int64_t ms = 1; ms < 900000; ms += 10) {
		triage_demand_note(&often, &all, 1000, ms * US_PER_MS);
		if (ms % 100000 == 30001)
			excess += triage_demand_note(&rare, &all, 1000,
						     ms * US_PER_MS);
	}
	CU_ASSERT_EQUAL(excess, 0);
}

CU_TestInfo triage_tests[] = {
	{ "order", test_order },
	{ "cheapest", test_cheapest },
	{ "random changes", test_random_changes },
	{ "work", test_work },
	{ "end", test_end },
	{ "neglected", test_neglected },
	{ "served", test_served },
	{ "weight", test_weight },
	{ "late neglected", test_late_neglected },
	{ "gives way", test_gives_way },
	{ "demand", test_demand },
	{ "rare demand", test_rare_demand },
	CU_TEST_INFO_NULL,
};
