#include "suites.h"

#include <string.h>

#include "common/clock.h"
#include "router/directory.h"
#include "router/work_share.h"

#define CHOICES 400

struct fixture {
	struct leaf_set leaves;
	struct host_directory directory;
	GHashTable *local_leaves;
	GRand *random;
	int64_t now_us;
};

static void fixture_init(struct fixture *g, uint32_t hosts)
{
	static char *const regions[] = { "a=north", NULL };

	leaf_set_init(&g->leaves, "self", "a", regions);
	host_directory_init(&g->directory, "self", &g->leaves);
	g->local_leaves = g_hash_table_new(g_str_hash, g_str_equal);
	g->random = g_rand_new_with_seed(1);
	g->now_us = 100 * US_PER_S;
	for (uint32_t i = 0; i < hosts; i++) {
		struct host_record r = {
			.name = g_strdup_printf("h%u", i),
			.address = g_strdup_printf("10.0.0.%u:7000", i),
			.domain = g_strdup("a"),
			.capacity = i < 3 ? 500 : 120,
		};

		host_directory_put(&g->directory, &r);
	}
}

static void fixture_clear(struct fixture *g)
{
	host_directory_clear(&g->directory);
	leaf_set_clear(&g->leaves);
	g_hash_table_destroy(g->local_leaves);
	g_rand_free(g->random);
}

/* Returns how many different hosts are chosen to gather. */
static uint32_t count_gatherers(struct fixture *g)
{
	GHashTable *seen = g_hash_table_new(NULL, NULL);
	uint32_t count;
	bool is_gatherer;

	for (int i = 0; i < CHOICES; i++) {
		struct known_host *h = host_directory_choose_gatherer(
			&g->directory, g->local_leaves, g->random, g->now_us,
			&is_gatherer);

		if (h)
			g_hash_table_add(seen, h);
	}
	count = g_hash_table_size(seen);
	g_hash_table_destroy(seen);
	return count;
}

/*
 * Guards against more gathering hosts than the load needs: each would have less
 * data on the leaves, and the leaves would hold more connections.
 */
static void test_few_gatherers(void)
{
	struct fixture g;

	fixture_init(&g, 20);
	CU_ASSERT_EQUAL(count_gatherers(&g), 2);
	fixture_clear(&g);
	fixture_init(&g, 200);
	CU_ASSERT_EQUAL(count_gatherers(&g), 2);
	CU_ASSERT_EQUAL(host_directory_count_gatherers(&g.directory, g.now_us),
			2);
	fixture_clear(&g);
}

/* Guards against gathering hosts that stay busy while others are idle. */
static void test_spread(void)
{
	struct fixture g;
	uint32_t before;

	fixture_init(&g, 100);
	host_directory_note_busy(&g.directory, g.now_us);
	before = count_gatherers(&g);
	CU_ASSERT_TRUE(before > 2);
	for (int i = 0; i < 20; i++)
		host_directory_note_busy(&g.directory, g.now_us);
	CU_ASSERT_TRUE(count_gatherers(&g) > 80);
	/* Without load the number of gathering hosts decays. */
	g.now_us += 60 * US_PER_S;
	CU_ASSERT_EQUAL(count_gatherers(&g), 2);
	fixture_clear(&g);
}

/* Guards against a busy host that accepts work, and against flapping. */
static void test_work_share(void)
{
	struct work_share w = { 0 };
	int64_t now = US_PER_S;

	for (int i = 0; i < 100; i++) {
		work_share_note(&w, now, now + 2 * US_PER_MS);
		now += 10 * US_PER_MS;
	}
	CU_ASSERT_FALSE(work_share_is_high(&w));
	for (int i = 0; i < 100; i++) {
		work_share_note(&w, now, now + 8 * US_PER_MS);
		now += 10 * US_PER_MS;
	}
	CU_ASSERT_TRUE(work_share_is_high(&w));
	for (int i = 0; i < 100; i++) {
		work_share_note(&w, now, now + 5 * US_PER_MS);
		now += 10 * US_PER_MS;
	}
	CU_ASSERT_TRUE(work_share_is_high(&w));
	for (int i = 0; i < 100; i++) {
		work_share_note(&w, now, now + 1 * US_PER_MS);
		now += 10 * US_PER_MS;
	}
	CU_ASSERT_FALSE(work_share_is_high(&w));
}

/*
 * Guards against requests that are sent to a host that stops, and against a
 * change of the hosts that own rates when it does.
 */
static void test_stopping(void)
{
	struct host_record r = {
		.name = g_strdup("h0"),
		.address = g_strdup("10.0.0.0:7000"),
		.domain = g_strdup("a"),
		.capacity = 500,
		.is_stopping = true,
	};
	struct fixture g;
	uint64_t generation;

	fixture_init(&g, 40);
	generation = g.directory.generation;
	host_directory_put(&g.directory, &r);
	CU_ASSERT_EQUAL(g.directory.generation, generation);
	for (int i = 0; i < CHOICES; i++) {
		bool is_gatherer;
		struct known_host *h = host_directory_choose_gatherer(
			&g.directory, g.local_leaves, g.random, g.now_us,
			&is_gatherer);

		CU_ASSERT(!h || strcmp(h->record.name, "h0") != 0);
	}
	fixture_clear(&g);
}

static struct host_record moved_record(const char *domain, uint32_t capacity)
{
	return (struct host_record){
		.name = g_strdup("h0"),
		.address = g_strdup("10.0.0.0:7000"),
		.domain = g_strdup(domain),
		.capacity = capacity,
	};
}

/*
 * Guards against requests to a host that has stopped, when the failure of an
 * earlier one has been noted and that time has passed: its record remains for
 * 15 s.
 */
static void test_stopping_failed(void)
{
	struct host_record r = moved_record("a", 500);
	struct fixture g;

	r.is_stopping = true;
	fixture_init(&g, 1);
	host_directory_put(&g.directory, &r);
	known_host_avoid(host_directory_find(&g.directory, "10.0.0.0:7000"),
			 g.now_us + 3 * US_PER_S);
	CU_ASSERT_PTR_NULL(host_directory_choose_in_domain(
		&g.directory, "a", g.random, g.now_us + 4 * US_PER_S));
	r = moved_record("a", 500);
	host_directory_put(&g.directory, &r);
	CU_ASSERT_PTR_NOT_NULL(host_directory_choose_in_domain(
		&g.directory, "a", g.random, g.now_us + 4 * US_PER_S));
	fixture_clear(&g);
}

/*
 * Guards against a host that restarts in another failure domain at the same
 * address and stays in its earlier one in the mirrors of the other hosts: hosts
 * that start later would choose other owners. Its earlier place counts as that
 * of a host that has left, which the next owner waits for.
 */
static void test_moved(void)
{
	struct host_record r = moved_record("b", 500);
	const struct known_host *h;
	struct fixture g;
	uint64_t generation;
	GPtrArray *left;

	fixture_init(&g, 4);
	generation = g.directory.generation;
	host_directory_put(&g.directory, &r);
	h = host_directory_find(&g.directory, "10.0.0.0:7000");
	CU_ASSERT_STRING_EQUAL(h->record.domain, "b");
	CU_ASSERT_STRING_EQUAL(h->rate_region,
			       host_directory_rate_region(&g.directory, "b"));
	CU_ASSERT(g.directory.generation > generation);
	CU_ASSERT_EQUAL_FATAL(g.directory.gone->len, 1);
	CU_ASSERT_STRING_EQUAL(
		g_array_index(g.directory.gone, struct gone_host, 0).rate_region,
		host_directory_rate_region(&g.directory, "a"));
	left = host_directory_take_left_regions(&g.directory);
	CU_ASSERT_EQUAL(left->len, 1);
	g_ptr_array_free(left, TRUE);
	fixture_clear(&g);
}

/*
 * Guards against a host that gets another address and capacity at once, where
 * the next owner would grant a full bucket without a wait.
 */
static void test_moved_address(void)
{
	struct host_record r = moved_record("a", 120);
	struct fixture g;

	fixture_init(&g, 4);
	g_free(r.address);
	r.address = g_strdup("10.0.0.9:7000");
	host_directory_put(&g.directory, &r);
	CU_ASSERT_EQUAL_FATAL(g.directory.gone->len, 1);
	CU_ASSERT_EQUAL(
		g_array_index(g.directory.gone, struct gone_host, 0).capacity,
		500);
	fixture_clear(&g);
}

/*
 * Guards against a process that takes over a record of another capacity or
 * failure domain: it would grant keys at once that other hosts still grant.
 */
static void test_same_rank(void)
{
	struct host_record earlier = moved_record("a", 500);
	struct host_record same = moved_record("a", 500);
	struct host_record stronger = moved_record("a", 600);
	struct host_record elsewhere = moved_record("b", 500);

	CU_ASSERT_TRUE(host_record_has_same_rank(&earlier, &same));
	CU_ASSERT_FALSE(host_record_has_same_rank(&earlier, &stronger));
	CU_ASSERT_FALSE(host_record_has_same_rank(&earlier, &elsewhere));
	host_record_clear(&earlier);
	host_record_clear(&same);
	host_record_clear(&stronger);
	host_record_clear(&elsewhere);
}

CU_TestInfo directory_tests[] = {
	{ "few gatherers", test_few_gatherers },
	{ "moved", test_moved },
	{ "moved address", test_moved_address },
	{ "same rank", test_same_rank },
	{ "spread", test_spread },
	{ "stopping", test_stopping },
	{ "stopping failed", test_stopping_failed },
	{ "work share", test_work_share },
	CU_TEST_INFO_NULL,
};
