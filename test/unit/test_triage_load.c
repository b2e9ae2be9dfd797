#include "suites.h"

#include <glib.h>
#include <stdio.h>

#include "fake_load.h"

#define HOSTS 3
#define SEEDS 2

/** Least worth as a share of that of the oracle, and other bounds. */
struct load_bounds {
	double worth;
	double wasted;
	/** Share of the requests of the urgent route answered in the goal. */
	double urgent;
};

static void print_figures(const struct load_pattern *p,
			  const struct load_figures *f)
{
	fprintf(stderr,
		"load %s: worth=%.3f large=%.3f small=%.3f first=%.3f "
		"others=%.3f late=%u refused=%u soon=%u held=%u failed=%u "
		"wasted=%.3f end=%.3f\n",
		p->name, f->worth / f->oracle,
		(double)f->in_goal_by_route[0] / f->offered_by_route[0],
		(double)f->in_goal_by_route[1] / f->offered_by_route[1],
		(double)f->in_goal_by_organisation[0] /
			f->offered_by_organisation[0],
		(double)f->in_goal_by_organisation[1] /
			MAX(f->offered_by_organisation[1], 1),
		f->late, f->refused, f->refused_soon, f->refused_held,
		f->failed, f->wasted_us / f->work_us,
		(double)f->in_goal_at_end / f->offered_at_end);
}

static void check_pattern(const struct load_pattern *p,
			  const struct load_bounds *b, struct load_figures *f)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		load_run(p, HOSTS, seed, f);
		print_figures(p, f);
		CU_ASSERT_TRUE(f->worth >= b->worth * f->oracle);
		CU_ASSERT_TRUE(f->wasted_us <= b->wasted * f->work_us);
		CU_ASSERT_TRUE(f->in_goal_by_route[1] >=
			       b->urgent * f->offered_by_route[1]);
		CU_ASSERT_EQUAL(f->unanswered, 0);
		CU_ASSERT_TRUE(f->refused_held <= 0.03 * f->refused);
		CU_ASSERT_TRUE(f->refused_soon >= 0.9 * f->refused);
	}
}

/* Guards against refusals, hedges or waits where capacity is not short. */
static void test_quiet(void)
{
	static const struct load_pattern p = { "quiet", 1, 1, 0, 1, 1 };
	static const struct load_bounds b = { 1, 0, 1 };
	struct load_figures f;

	check_pattern(&p, &b, &f);
	CU_ASSERT_EQUAL(f.refused + f.late + f.failed, 0);
}

/*
 * Guards against an urgent route of little work that is refused or late behind
 * a less urgent one when all routes double.
 */
static void test_doubled(void)
{
	static const struct load_pattern p = { "doubled", 2, 2, 0, 1, 1 };
	static const struct load_bounds b = { 0.9, 0.02, 0.97 };
	struct load_figures f;

	check_pattern(&p, &b, &f);
}

/* The same with equal priorities: the route of less work goes first. */
static void test_doubled_flat(void)
{
	static const struct load_pattern p = { "doubled flat", 2, 2, 0, 1, 1,
					       .is_flat = true };
	static const struct load_bounds b = { 0.9, 0.02, 0.97 };
	struct load_figures f;

	check_pattern(&p, &b, &f);
}

/* Guards against a flood of cheap requests that locks out the other route. */
static void test_flood(void)
{
	static const struct load_pattern p = { "flood", 1, 10, 0, 1, 1 };
	static const struct load_bounds b = { 0.78, 0.02, 0.57 };
	struct load_figures f;

	check_pattern(&p, &b, &f);
	/* At least a quarter of the success of all requests. */
	CU_ASSERT_TRUE((double)f.in_goal_by_route[0] / f.offered_by_route[0] >=
		       0.25 * (f.in_goal_by_route[0] + f.in_goal_by_route[1]) /
			       f.offered);
}

/* Guards against an organisation whose excess displaces others' requests. */
static void test_organisation(void)
{
	static const struct load_pattern p = { "organisation", 1, 1, 8, 1, 1,
					       .is_flat = true };
	static const struct load_bounds b = { 0.9, 0.02, 0.9 };
	struct load_figures f;

	check_pattern(&p, &b, &f);
	CU_ASSERT_TRUE(f.in_goal_by_organisation[1] >=
		       0.97 * f.offered_by_organisation[1]);
	CU_ASSERT_TRUE(f.in_goal_by_organisation[0] >=
		       0.5 * f.offered_by_organisation[0]);
}

/* Guards against work that no answer comes from where leaves are slow. */
static void test_slow_leaves(void)
{
	static const struct load_pattern p = { "slow leaves", 1, 1,  0,
					       2.5,	      1, 0.2 };
	static const struct load_bounds b = { 0.7, 0.02, 0.65 };
	struct load_figures f;

	check_pattern(&p, &b, &f);
}

/* Guards against shards with less capacity that hold up all gathers. */
static void test_domain(void)
{
	static const struct load_pattern p = {
		"domain", 1, 1, 0, 1, 1, 1 / 6.0
	};
	static const struct load_bounds b = { 0.94, 0.02, 0.97 };
	struct load_figures f;

	check_pattern(&p, &b, &f);
}

/* Guards against callers that repeat at once and fill the queue. */
static void test_impatient(void)
{
	static const struct load_pattern p = {
		"impatient", 2, 2, 0, 1, 1, .is_impatient = true
	};
	static const struct load_bounds b = { 0.9, 0.02, 0.95 };
	struct load_figures f;

	check_pattern(&p, &b, &f);
}

/* Guards against a queue that outlasts the burst which filled it. */
static void test_burst(void)
{
	static const struct load_pattern p = {
		"burst", 2.5, 2.5, 0, 1, 1, .is_short = true
	};
	static const struct load_bounds b = { 0.9, 0.02, 0.92 };
	struct load_figures f;

	check_pattern(&p, &b, &f);
	CU_ASSERT_TRUE(f.in_goal_at_end >= 0.98 * f.offered_at_end);
}

/*
 * Guards against a route that is locked out after its work was ten times as
 * much for some seconds.
 */
static void test_tenfold(void)
{
	static const struct load_pattern p = { "tenfold",	1, 1, 0, 1, 10,
					       .is_short = true };
	static const struct load_bounds b = { 0.68, 0.58, 0.72 };
	struct load_figures f;

	check_pattern(&p, &b, &f);
	CU_ASSERT_TRUE(f.in_goal_at_end >= 0.8 * f.offered_at_end);
}

CU_TestInfo triage_load_tests[] = {
	{ "quiet", test_quiet },
	{ "doubled", test_doubled },
	{ "doubled flat", test_doubled_flat },
	{ "flood", test_flood },
	{ "organisation", test_organisation },
	{ "slow leaves", test_slow_leaves },
	{ "domain", test_domain },
	{ "impatient", test_impatient },
	{ "burst", test_burst },
	{ "tenfold", test_tenfold },
	CU_TEST_INFO_NULL,
};
