#include "suites.h"

#include "router/token_owner.h"

#define HOSTS 4
#define START_US (1000 * US_PER_S)
#define STEP_US (500 * US_PER_MS)
#define KEY "q:o0"

struct fixture {
	struct virtual_clock time;
	struct leaf_set leaves;
	struct host_directory directory;
	struct token_owner *owner;
	bool is_store_lost;
};

static const struct token_claim claim = { .key = KEY, .domain = "" };

static void put_host(struct fixture *f, const char *name)
{
	struct host_record r = {
		.name = g_strdup(name),
		.address = g_strdup_printf("10.0.0.%s:7000", name + 1),
		.domain = g_strdup(name[1] % 2 ? "a" : "b"),
	};

	host_directory_put(&f->directory, &r);
}

/* Returns the host that comes before all others by hash, or the one after. */
static char *ranked_host(int rank)
{
	struct fixture f = { 0 };
	struct rate_owners owners;
	char *name;

	leaf_set_init(&f.leaves, "h0", "b", NULL);
	host_directory_init(&f.directory, "h0", &f.leaves);
	for (int i = 0; i < HOSTS; i++) {
		name = g_strdup_printf("h%d", i);
		put_host(&f, name);
		g_free(name);
	}
	owners = host_directory_rate_owners(&f.directory, KEY, "");
	name = g_strdup(rank ? owners.second->record.name
			     : owners.first->record.name);
	host_directory_clear(&f.directory);
	leaf_set_clear(&f.leaves);
	return name;
}

static void advance(struct fixture *f, int64_t us)
{
	for (int64_t end = f->time.now_us + us; f->time.now_us < end;) {
		f->time.now_us += STEP_US;
		if (!f->is_store_lost)
			token_owner_note_store(f->owner, f->time.now_us);
		token_owner_advance(f->owner, true);
	}
}

/* Starts the host of a rank, which knows all hosts. */
static void set_up(struct fixture *f, int rank)
{
	struct token_owner_options options = { .directory = &f->directory };
	char *self = ranked_host(rank);

	*f = (struct fixture){ .time.now_us = START_US };
	leaf_set_init(&f->leaves, self, "b", NULL);
	host_directory_init(&f->directory, self, &f->leaves);
	for (int i = 0; i < HOSTS; i++) {
		char *name = g_strdup_printf("h%d", i);

		put_host(f, name);
		g_free(name);
	}
	options.clock = clock_virtual(&f->time);
	f->owner = token_owner_create(&options);
	g_free(self);
}

static void tear_down(struct fixture *f)
{
	token_owner_free(f->owner);
	host_directory_clear(&f->directory);
	leaf_set_clear(&f->leaves);
}

static enum token_part part_of(struct fixture *f, int64_t *since)
{
	struct rate_owners owners =
		host_directory_rate_owners(&f->directory, KEY, "");

	token_owner_advance(f->owner, true);
	return token_owner_part(f->owner, &claim, &owners, since);
}

static enum token_part part(struct fixture *f)
{
	int64_t since;

	return part_of(f, &since);
}

/* Guards against grants of a host that has withdrawn its record. */
static void test_stop(void)
{
	struct fixture f;

	set_up(&f, 0);
	advance(&f, TOKEN_JOIN_US);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_ALL);
	token_owner_stop(f.owner);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_NONE);
	tear_down(&f);
}

/* Guards against grants before an owner with an older mirror has stopped. */
static void test_start(void)
{
	struct fixture f;
	int64_t since;

	set_up(&f, 0);
	advance(&f, TOKEN_JOIN_US - STEP_US);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_NONE);
	advance(&f, STEP_US);
	CU_ASSERT_EQUAL(part_of(&f, &since), TOKEN_PART_ALL);
	CU_ASSERT_EQUAL(since, START_US + TOKEN_JOIN_US);
	tear_down(&f);
}

CU_TestInfo token_owner_tests[] = {
	{ "stop", test_stop },
	{ "start", test_start },
	CU_TEST_INFO_NULL,
};
