#include "suites.h"

#include <glib.h>
#include <stdio.h>

#include "fake_load.h"

#define HOSTS 3
#define SEEDS 2

/** Pattern with bounds on its figures. */
struct load_case {
	struct load_pattern pattern;
	/** Least worth, as a share of that of the oracle. */
	double worth;
	/** Most wasted work, as a share of all work. */
	double wasted;
	/** Least share of the requests of the urgent route in the goal. */
	double urgent;
};

static void print_figures(const struct load_pattern *p,
			  const struct load_figures *f)
{
	fprintf(stderr,
		"load %s: worth=%.3f large=%.3f small=%.3f late=%u refused=%u "
		"soon=%u held=%u failed=%u wasted=%.3f\n",
		p->name, f->worth / f->oracle,
		(double)f->in_goal_by_route[0] / f->offered_by_route[0],
		(double)f->in_goal_by_route[1] / f->offered_by_route[1],
		f->late, f->refused, f->refused_soon, f->refused_held,
		f->failed, f->wasted_us / f->work_us);
}

static void check_case(const struct load_case *c, struct load_figures *f)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		load_run(&c->pattern, HOSTS, seed, f);
		print_figures(&c->pattern, f);
		CU_ASSERT_TRUE(f->worth >= c->worth * f->oracle);
		CU_ASSERT_TRUE(f->wasted_us <= c->wasted * f->work_us);
		CU_ASSERT_TRUE(f->in_goal_by_route[1] >=
			       c->urgent * f->offered_by_route[1]);
		CU_ASSERT_EQUAL(f->unanswered, 0);
		CU_ASSERT_TRUE(f->refused_held <= 0.03 * f->refused);
		CU_ASSERT_TRUE(f->refused_soon >= 0.9 * f->refused);
	}
}

/* Guards against refusals, hedges or waits where capacity is not short. */
static void test_quiet(void)
{
	static const struct load_case c = {
		{ "quiet", 1, 1, 0, 1, 1 }, 1, 0, 1
	};
	struct load_figures f;

	check_case(&c, &f);
	CU_ASSERT_EQUAL(f.refused + f.late + f.failed, 0);
}

/*
 * Guards against urgent requests of little work that are late or refused behind
 * others where capacity is short, and against work that no answer comes from.
 */
static void test_overload(void)
{
	static const struct load_case cases[] = {
		{ { "doubled", 2, 2, 0, 1, 1 }, 0.9, 0.02, 0.97 },
		/* With equal priorities the route of less work goes first. */
		{ { "flat", 2, 2, 0, 1, 1, .is_flat = true }, 0.9, 0.02, 0.97 },
		{ { "slow leaves", 1, 1, 0, 2.5, 1, 0.2 }, 0.7, 0.02, 0.65 },
		{ { "domain", 1, 1, 0, 1, 1, 1 / 6.0 }, 0.94, 0.02, 0.97 },
		{ { "impatient", 2, 2, 0, 1, 1, .is_impatient = true },
		  0.9,
		  0.02,
		  0.95 },
	};
	struct load_figures f;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		check_case(&cases[i], &f);
}

/* Guards against a flood of cheap requests that locks out the other route. */
static void test_flood(void)
{
	static const struct load_case c = {
		{ "flood", 1, 10, 0, 1, 1 }, 0.78, 0.02, 0.57
	};
	struct load_figures f;

	check_case(&c, &f);
	/* At least a quarter of the success of all requests. */
	CU_ASSERT_TRUE((double)f.in_goal_by_route[0] / f.offered_by_route[0] >=
		       0.25 * (f.in_goal_by_route[0] + f.in_goal_by_route[1]) /
			       f.offered);
}

/* Guards against an organisation whose excess displaces others' requests. */
static void test_organisation(void)
{
	static const struct load_case c = { { "organisation", 1, 1, 8, 1, 1,
					      .is_flat = true },
					    0.9,
					    0.02,
					    0.9 };
	struct load_figures f;

	check_case(&c, &f);
	CU_ASSERT_TRUE(f.in_goal_by_organisation[1] >=
		       0.97 * f.offered_by_organisation[1]);
	CU_ASSERT_TRUE(f.in_goal_by_organisation[0] >=
		       0.5 * f.offered_by_organisation[0]);
}

/*
 * Guards against a queue that outlasts the burst which filled it, and against a
 * route that is locked out after its work was ten times as much.
 */
static void test_recovery(void)
{
	static const struct load_case burst = { { "burst", 2.5, 2.5, 0, 1, 1,
						  .is_short = true },
						0.9,
						0.02,
						0.92 };
	static const struct load_case tenfold = { { "tenfold", 1, 1, 0, 1, 10,
						    .is_short = true },
						  0.68,
						  0.58,
						  0.72 };
	struct load_figures f;

	check_case(&burst, &f);
	CU_ASSERT_TRUE(f.in_goal_at_end >= 0.98 * f.offered_at_end);
	check_case(&tenfold, &f);
	CU_ASSERT_TRUE(f.in_goal_at_end >= 0.8 * f.offered_at_end);
}

CU_TestInfo triage_load_tests[] = {
	{ "quiet", test_quiet },       { "overload", test_overload },
	{ "flood", test_flood },       { "organisation", test_organisation },
	{ "recovery", test_recovery }, CU_TEST_INFO_NULL,
};
