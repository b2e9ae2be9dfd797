#include "suites.h"

#include <glib.h>
#include <stdio.h>

#include "fake_load.h"

#define HOSTS 3
#define SEEDS 2
/* Least worth, as a share of that of an oracle that knows all durations. */
#define WORTH_GOAL 0.9
/* The same where priorities decide nothing. */
#define FLAT_WORTH_GOAL 0.95
/* Most work of the leaves that no answer comes from. */
#define WASTED_GOAL 0.02
/* Least share of the refusals that come within 100 ms. */
#define SOON_GOAL 0.9
/* Most by which an urgent route may be served less than the other one. */
#define BEHIND_MAX 0.05
/* Least success of a route or organisation in relation to that of all. */
#define LEAST_SUCCESS 0.25

static void print_figures(const struct load_pattern *p,
			  const struct load_figures *f)
{
	fprintf(stderr,
		"load %s: worth=%.3f bound=%.3f large=%.3f small=%.3f late=%u refused=%u "
		"soon=%u held=%u failed=%u wasted=%.3f end=%.3f\n",
		p->name, f->worth / f->oracle, f->bound / f->oracle,
		(double)f->in_goal_by_route[0] / f->offered_by_route[0],
		(double)f->in_goal_by_route[1] / f->offered_by_route[1],
		f->late, f->refused, f->refused_soon, f->refused_held,
		f->failed, f->wasted_us / f->work_us,
		(double)f->in_goal_at_end / f->offered_at_end);
}

static double success(uint32_t in_goal, uint32_t offered)
{
	return offered ? (double)in_goal / offered : 1;
}

static void check_pattern(const struct load_pattern *p, double worth,
			  struct load_figures *f)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		double large;
		double small;

		load_run(p, HOSTS, seed, f);
		print_figures(p, f);
		large = success(f->in_goal_by_route[0], f->offered_by_route[0]);
		small = success(f->in_goal_by_route[1], f->offered_by_route[1]);
		CU_ASSERT_TRUE(f->worth >= worth * f->oracle);
		CU_ASSERT_TRUE(f->wasted_us <= WASTED_GOAL * f->work_us);
		CU_ASSERT_TRUE(f->refused_soon >= SOON_GOAL * f->refused);
		CU_ASSERT_TRUE(small >= large - BEHIND_MAX);
		CU_ASSERT_TRUE(MIN(large, small) >=
			       LEAST_SUCCESS *
				       success(f->in_goal_by_route[0] +
						       f->in_goal_by_route[1],
					       f->offered));
		CU_ASSERT_EQUAL(f->unanswered, 0);
	}
}

/* Guards against refusals, hedges or waits where capacity is not short. */
static void test_quiet(void)
{
	static const struct load_pattern p = { "quiet", 1, 1, 0, 1, 1 };
	struct load_figures f;

	check_pattern(&p, 1, &f);
	CU_ASSERT_EQUAL(f.refused + f.late + f.failed, 0);
}

/* Guards against work for requests that end late or without an answer. */
static void test_doubled(void)
{
	static const struct load_pattern p = { "doubled", 2, 2, 0, 1, 1 };
	struct load_figures f;

	check_pattern(&p, WORTH_GOAL, &f);
}

/* The same with equal priorities: the route of less work goes first. */
static void test_flat(void)
{
	static const struct load_pattern p = { "flat",	       2, 2, 0, 1, 1,
					       .is_flat = true };
	struct load_figures f;

	check_pattern(&p, FLAT_WORTH_GOAL, &f);
}

/* Guards against a flood of cheap requests that locks out the other route. */
static void test_flood(void)
{
	static const struct load_pattern p = { "flood", 1, 10, 0, 1, 1 };
	struct load_figures f;

	check_pattern(&p, WORTH_GOAL, &f);
}

/* Guards against an organisation whose excess displaces others' requests. */
static void test_organisation(void)
{
	static const struct load_pattern p = { "organisation", 1, 1, 8, 1, 1,
					       .is_flat = true };
	struct load_figures f;

	check_pattern(&p, FLAT_WORTH_GOAL, &f);
	CU_ASSERT_TRUE(success(f.in_goal_by_organisation[1],
			       f.offered_by_organisation[1]) >=
		       FLAT_WORTH_GOAL);
	CU_ASSERT_TRUE(success(f.in_goal_by_organisation[0],
			       f.offered_by_organisation[0]) >=
		       LEAST_SUCCESS * success(f.in_goal_by_route[0] +
						       f.in_goal_by_route[1],
					       f.offered));
}

/* Guards against an estimate that does not follow leaves that turn slow. */
static void test_slow_leaves(void)
{
	static const struct load_pattern p = { "slow leaves", 1, 1,  0,
					       2.5,	      1, 0.2 };
	struct load_figures f;

	check_pattern(&p, WORTH_GOAL, &f);
}

/* Guards against the loss of half of the capacity of one failure domain. */
static void test_domain(void)
{
	static const struct load_pattern p = {
		"domain", 1, 1, 0, 1, 1, 1 / 6.0
	};
	struct load_figures f;

	check_pattern(&p, WORTH_GOAL, &f);
}

/* Guards against callers that repeat a refused request at once. */
static void test_impatient(void)
{
	static const struct load_pattern p = {
		"impatient", 2, 2, 0, 1, 1, .is_impatient = true
	};
	struct load_figures f;

	check_pattern(&p, WORTH_GOAL, &f);
}

/* Guards against a queue that outlasts the burst which filled it. */
static void test_burst(void)
{
	static const struct load_pattern p = {
		"burst", 2.5, 2.5, 0, 1, 1, .is_short = true
	};
	struct load_figures f;

	check_pattern(&p, WORTH_GOAL, &f);
	CU_ASSERT_TRUE(f.in_goal_at_end >= 0.98 * f.offered_at_end);
}

/* Guards against a route that is locked out after its work was ten times. */
static void test_tenfold(void)
{
	static const struct load_pattern p = { "tenfold",	1, 1, 0, 1, 10,
					       .is_short = true };
	struct load_figures f;

	check_pattern(&p, WORTH_GOAL, &f);
	CU_ASSERT_TRUE(f.in_goal_at_end >= 0.98 * f.offered_at_end);
}

/* Guards against calls outside of the allowed regions when these are full. */
static void test_regions(void)
{
	static const struct load_pattern p = {
		.name = "regions",
		.large = 2,
		.small = 2,
		.organisation = 1,
		.work = 1,
		.large_work = 1,
		.skew = 1.2,
		.is_regional = true,
	};
	struct load_figures f;

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		load_run(&p, HOSTS, seed, &f);
		print_figures(&p, &f);
		CU_ASSERT_EQUAL(f.outside, 0);
		CU_ASSERT_EQUAL(f.unanswered, 0);
		CU_ASSERT_TRUE(f.in_goal_by_organisation[0] > 0);
	}
}

CU_TestInfo triage_load_tests[] = {
	{ "quiet", test_quiet },
	{ "doubled", test_doubled },
	{ "flat", test_flat },
	{ "flood", test_flood },
	{ "organisation", test_organisation },
	{ "slow leaves", test_slow_leaves },
	{ "domain", test_domain },
	{ "impatient", test_impatient },
	{ "burst", test_burst },
	{ "tenfold", test_tenfold },
	{ "regions", test_regions },
	CU_TEST_INFO_NULL,
};
