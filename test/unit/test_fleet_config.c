#include "suites.h"

#include <stdio.h>
#include <stdlib.h>

#include "fleet_sim.h"

#define MAX_DELAY_US (12 * US_PER_S)

static uint64_t last_versions[2048];
static uint32_t revert_count;

static void check_version(struct sim *s, struct sim_host *h)
{
	uint64_t version = fleet_version(h->fleet);

	revert_count += version < last_versions[h->index];
	last_versions[h->index] = version;
}

static void create_sim(struct sim *s, uint32_t hosts, uint32_t seed)
{
	sim_create(s, hosts, hosts > 7 ? 6 : 3, seed);
	s->check = check_version;
	revert_count = 0;
	for (uint32_t i = 0; i < hosts; i++)
		last_versions[i] = 0;
	s->version = 1;
	sim_start_all(s);
	sim_run(s, 5 * US_PER_S);
}

static void destroy_sim(struct sim *s)
{
	CU_ASSERT_EQUAL(revert_count, 0);
	sim_destroy(s);
}

static int64_t publish_and_wait(struct sim *s, uint64_t version)
{
	int64_t start = s->clock.now_us;

	sim_publish(s, version);
	while (!sim_is_in_force(s, version) &&
	       s->clock.now_us - start < MAX_DELAY_US)
		sim_run(s, 10 * US_PER_MS);
	return s->clock.now_us - start;
}

static uint32_t count_watchers(const struct sim *s)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < s->host_count; i++)
		count += s->hosts[i].is_up && s->hosts[i].is_watching;
	return count;
}

static void print_figure(const struct sim *s, const char *what, int64_t worst)
{
	if (getenv("FLEET_FIGURES"))
		printf("%u hosts, %s: in force everywhere after at most %.2f s, "
		       "%u watches\n",
		       s->host_count, what, (double)worst / US_PER_S,
		       count_watchers(s));
}

static int64_t measure_worst(struct sim *s, uint64_t *version, int rounds)
{
	int64_t worst = 0;

	for (int i = 0; i < rounds; i++) {
		int64_t t = publish_and_wait(s, ++*version);

		worst = MAX(worst, t);
		sim_run(s, 700 * US_PER_MS);
	}
	return worst;
}

/*
 * Guards against a version that is not in force on every host within 12 s,
 * without and with frame loss, and against more or fewer than two store watches
 * per domain.
 */
static void test_in_force(void)
{
	static const uint32_t sizes[] = { 7, 50, 200, 1000 };
	/* Joining 1,000 hosts takes most of a minute. */
	int count = getenv("FLEET_FIGURES") ? 4 : 3;
	struct sim s;

	for (int i = 0; i < count; i++) {
		uint64_t version = 1;
		int64_t worst;

		create_sim(&s, sizes[i], 21);
		CU_ASSERT_EQUAL(count_watchers(&s), 2 * s.domain_count);
		worst = measure_worst(&s, &version, 5);
		print_figure(&s, "healthy", worst);
		CU_ASSERT(worst < MAX_DELAY_US);
		s.loss = 0.02;
		s.jitter_us = 50 * US_PER_MS;
		worst = measure_worst(&s, &version, 5);
		print_figure(&s, "2% loss and 50 ms jitter", worst);
		CU_ASSERT(worst < MAX_DELAY_US);
		destroy_sim(&s);
	}
}

/*
 * Guards against hosts of a region that was cut off keeping an old version
 * after they are connected again. The store is in region 0, so watches from the
 * cut region end too.
 */
static void test_region_cut(void)
{
	static const uint32_t sizes[] = { 7, 50, 200 };
	static const int64_t seconds[] = { 3600, 600, 60 };
	struct sim s;

	for (int i = 0; i < 3; i++) {
		int64_t start;

		create_sim(&s, sizes[i], 22);
		s.cut_region = 1;
		for (uint32_t h = 0; h < s.host_count; h++) {
			if (s.hosts[h].domain % SIM_REGIONS == 1)
				s.hosts[h].is_watching = false;
		}
		sim_publish(&s, 2);
		sim_run(&s, seconds[i] * US_PER_S);
		CU_ASSERT(!sim_is_in_force(&s, 2));
		s.cut_region = -1;
		start = s.clock.now_us;
		while (!sim_is_in_force(&s, 2) &&
		       s.clock.now_us - start < MAX_DELAY_US)
			sim_run(&s, 10 * US_PER_MS);
		print_figure(&s, "region back", s.clock.now_us - start);
		CU_ASSERT(sim_is_in_force(&s, 2));
		destroy_sim(&s);
	}
}

/*
 * Guards against a new host that needs the store to get a version, and against
 * one that is ready before it has a version.
 */
static void test_store_down(void)
{
	struct sim s;

	create_sim(&s, 20, 23);
	s.is_store_down = true;
	sim_kill(&s, 9);
	sim_run(&s, 4 * US_PER_S);
	last_versions[9] = 0;
	sim_start(&s, 9);
	CU_ASSERT_EQUAL(fleet_version(s.hosts[9].fleet), 0);
	sim_run(&s, 5 * US_PER_S);
	CU_ASSERT(sim_is_in_force(&s, 1));
	destroy_sim(&s);
}

/*
 * Guards against a lower version coming into force because a read of the store
 * is stale or a peer has an older version.
 */
static void test_stale_read(void)
{
	struct sim s;

	create_sim(&s, 20, 24);
	publish_and_wait(&s, 5);
	s.stale_version = 3;
	sim_publish(&s, 5);
	for (uint32_t i = 0; i < 10; i++)
		sim_kill(&s, i);
	sim_run(&s, 20 * US_PER_S);
	CU_ASSERT(sim_is_in_force(&s, 5));
	destroy_sim(&s);
}

/*
 * Guards against an object set that failed the check replacing the last good
 * one or being fetched again.
 */
static void test_refused(void)
{
	struct sim s;
	uint64_t fetches;

	create_sim(&s, 7, 25);
	fleet_mark_refused(s.hosts[3].fleet, 2);
	fetches = s.hosts[3].fetch_count;
	sim_publish(&s, 2);
	sim_run(&s, 10 * US_PER_S);
	CU_ASSERT_EQUAL(fleet_version(s.hosts[3].fleet), 1);
	CU_ASSERT_EQUAL(s.hosts[3].fetch_count, fetches);
	CU_ASSERT_EQUAL(fleet_version(s.hosts[2].fleet), 2);
	publish_and_wait(&s, 3);
	CU_ASSERT(sim_is_in_force(&s, 3));
	destroy_sim(&s);
}

CU_TestInfo fleet_config_tests[] = {
	{ "in force everywhere", test_in_force },
	{ "region cut off", test_region_cut },
	{ "store down", test_store_down },
	{ "stale read", test_stale_read },
	{ "refused set", test_refused },
	CU_TEST_INFO_NULL,
};
