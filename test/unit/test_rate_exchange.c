#include "suites.h"

#include <stdio.h>
#include <string.h>

#include "router/leaf_rate.h"
#include "router/rate_exchange.h"

/*
 * Hosts that call one leaf, each with its own directory and clock, and links
 * between them that delay, lose and reset. The leaf names its limit in every
 * reply. Calls are counted as the platform does: not those of a host that is
 * restarted, frozen or cut off, until some time after it.
 */

#define LEAF "leaf"
#define DOMAIN "a"
#define HOSTS_MAX 8
#define STEP_US (10 * US_PER_MS)
#define LINK_US (5 * US_PER_MS)
#define EXCUSED_US (3 * US_PER_S)
#define WINDOW_US (4 * US_PER_S)
#define SETTLE_US (500 * US_PER_MS)
#define WINDOW_FACTOR 1.5
#define WINDOW_EXTRA 5

struct link_frame {
	int64_t at_us;
	uint32_t from;
	uint32_t to;
	bool is_grants;
	/** Of struct rate_claim or struct rate_grant. */
	GArray *items;
};

struct sim;

struct sim_host {
	struct sim *sim;
	uint32_t index;
	struct leaf_set leaves;
	struct host_directory directory;
	struct rate_exchange *exchange;
	struct shared_rate rate;
	int64_t frozen_until_us;
	int64_t cut_until_us;
	int64_t excused_until_us;
};

struct sim {
	struct virtual_clock time;
	uint32_t count;
	struct sim_host hosts[HOSTS_MAX];
	double limit;
	/** Of struct link_frame. */
	GQueue frames;
	/** Frames between these two hosts are lost; -1 for none. */
	int lost_link[2];
	/** Of int64_t: calls that count. */
	GArray *calls;
	uint32_t all_calls;
	GRand *random;
};

static char *host_name(uint32_t i)
{
	return g_strdup_printf("h%u", i);
}

static char *host_address(uint32_t i)
{
	return g_strdup_printf("10.0.0.%u:7000", i);
}

static uint32_t address_index(const char *address)
{
	return (uint32_t)g_ascii_strtoull(address + strlen("10.0.0."), NULL,
					  10);
}

static void put_host(struct sim_host *h, uint32_t other)
{
	struct host_record r = {
		.name = host_name(other),
		.address = host_address(other),
		.domain = g_strdup(DOMAIN),
	};

	host_directory_put(&h->directory, &r);
}

static void send_frame(struct sim *s, uint32_t from, uint32_t to,
		       bool is_grants, const GArray *items, size_t size)
{
	struct link_frame *f = g_new0(struct link_frame, 1);

	f->at_us = s->time.now_us + LINK_US;
	f->from = from;
	f->to = to;
	f->is_grants = is_grants;
	f->items = g_array_new(FALSE, FALSE, (guint)size);
	if (items->len)
		g_array_append_vals(f->items, items->data, items->len);
	g_queue_push_tail(&s->frames, f);
}

static void handle_send_claims(void *ctx, const char *address,
			       const GArray *claims)
{
	struct sim_host *h = ctx;

	send_frame(h->sim, h->index, address_index(address), false, claims,
		   sizeof(struct rate_claim));
}

static void handle_deliver_grant(void *ctx, const struct rate_grant *grant)
{
	struct sim_host *h = ctx;

	shared_rate_apply_grant(&h->rate, grant, h->sim->count,
				h->sim->time.now_us);
}

static const struct rate_exchange_ops ops = {
	.send_claims = handle_send_claims,
	.deliver_grant = handle_deliver_grant,
};

static void start_host(struct sim *s, uint32_t i)
{
	struct sim_host *h = &s->hosts[i];
	struct rate_exchange_options options = {
		.clock = clock_virtual(&s->time),
		.directory = &h->directory,
		.ops = &ops,
		.ctx = h,
	};
	char *name = host_name(i);

	h->sim = s;
	h->index = i;
	memset(&h->rate, 0, sizeof(h->rate));
	leaf_set_init(&h->leaves, name, DOMAIN, NULL);
	host_directory_init(&h->directory, name, &h->leaves);
	for (uint32_t k = 0; k < s->count; k++)
		put_host(h, k);
	h->exchange = rate_exchange_create(&options);
	g_free(name);
}

static void stop_host(struct sim_host *h)
{
	rate_exchange_free(h->exchange);
	host_directory_clear(&h->directory);
	leaf_set_clear(&h->leaves);
}

static struct sim *sim_create(uint32_t count, double limit, guint32 seed)
{
	struct sim *s = g_new0(struct sim, 1);

	s->time.now_us = 100 * US_PER_S;
	s->count = count;
	s->limit = limit;
	s->random = g_rand_new_with_seed(seed);
	s->calls = g_array_new(FALSE, FALSE, sizeof(int64_t));
	g_queue_init(&s->frames);
	s->lost_link[0] = s->lost_link[1] = -1;
	for (uint32_t i = 0; i < count; i++)
		start_host(s, i);
	return s;
}

static void free_frame(struct link_frame *f)
{
	g_array_free(f->items, TRUE);
	g_free(f);
}

static void sim_destroy(struct sim *s)
{
	struct link_frame *f;

	while ((f = g_queue_pop_head(&s->frames)))
		free_frame(f);
	for (uint32_t i = 0; i < s->count; i++)
		stop_host(&s->hosts[i]);
	g_array_free(s->calls, TRUE);
	g_rand_free(s->random);
	g_free(s);
}

static bool is_cut(const struct sim *s, uint32_t i)
{
	return s->time.now_us < s->hosts[i].cut_until_us;
}

static void deliver_frame(struct sim *s, const struct link_frame *f)
{
	struct sim_host *h = &s->hosts[f->to];
	char *from = host_address(f->from);
	GArray *grants;

	if (f->is_grants) {
		rate_exchange_handle_grants(h->exchange, from, f->items);
	} else {
		grants = rate_exchange_answer(h->exchange, from, f->items);
		send_frame(s, f->to, f->from, true, grants,
			   sizeof(struct rate_grant));
		g_array_free(grants, TRUE);
	}
	g_free(from);
}

static bool is_lost(const struct sim *s, const struct link_frame *f)
{
	int from = (int)f->from;
	int to = (int)f->to;

	return is_cut(s, f->from) || is_cut(s, f->to) ||
	       (s->lost_link[0] == from && s->lost_link[1] == to) ||
	       (s->lost_link[0] == to && s->lost_link[1] == from);
}

/* Delivers the frames that are due; those to frozen hosts wait. */
static void deliver_frames(struct sim *s)
{
	guint count = s->frames.length;

	while (count--) {
		struct link_frame *f = g_queue_pop_head(&s->frames);

		if (is_lost(s, f)) {
			free_frame(f);
		} else if (s->time.now_us < f->at_us ||
			   s->time.now_us < s->hosts[f->to].frozen_until_us) {
			g_queue_push_tail(&s->frames, f);
		} else {
			deliver_frame(s, f);
			free_frame(f);
		}
	}
}

static void call_leaf(struct sim_host *h)
{
	struct sim *s = h->sim;
	int64_t now = s->time.now_us;
	struct leaf_rate_limit limit = { RATE_LIMITED, s->limit };

	if (h->rate.is_limited)
		shared_rate_note_wanted(&h->rate, 1, now);
	if (!shared_rate_has_room(&h->rate, 1, s->count, now))
		return;
	shared_rate_note_call(&h->rate, 1, false, s->count, now);
	leaf_rate_note_reply(&h->rate, &limit, now, now);
	s->all_calls++;
	if (now >= h->excused_until_us)
		g_array_append_val(s->calls, now);
}

static void claim_share(struct sim_host *h)
{
	struct rate_claim claim = { .key = LEAF, .domain = DOMAIN };

	if (h->rate.is_limited &&
	    shared_rate_take_claim(&h->rate, h->sim->time.now_us, &claim))
		rate_exchange_claim(h->exchange, &claim, 1);
	rate_exchange_deliver_own(h->exchange);
}

/* Advances by one step; each host wants wanted_per_s calls. */
static void sim_step(struct sim *s, double wanted_per_s)
{
	s->time.now_us += STEP_US;
	deliver_frames(s);
	for (uint32_t i = 0; i < s->count; i++) {
		struct sim_host *h = &s->hosts[i];

		if (s->time.now_us < h->frozen_until_us)
			continue;
		claim_share(h);
		if (g_rand_double(s->random) <
		    wanted_per_s * STEP_US / US_PER_S)
			call_leaf(h);
	}
}

static void sim_run(struct sim *s, double wanted_per_s, int64_t us)
{
	for (int64_t t = 0; t < us; t += STEP_US)
		sim_step(s, wanted_per_s);
}

static double allowed(const struct sim *s)
{
	return WINDOW_FACTOR * s->limit * WINDOW_US / US_PER_S + WINDOW_EXTRA;
}

/* Returns the most calls in any window. */
static uint32_t most_in_window(const struct sim *s)
{
	const int64_t *times = (const int64_t *)s->calls->data;
	guint first = 0;
	guint most = 0;

	for (guint last = 0; last < s->calls->len; last++) {
		while (times[last] - times[first] >= WINDOW_US)
			first++;
		most = MAX(most, last - first + 1);
	}
	return most;
}

static void excuse(struct sim_host *h, int64_t until_us)
{
	h->excused_until_us = MAX(h->excused_until_us, until_us + EXCUSED_US);
}

static void reset_link(struct sim *s, uint32_t a, uint32_t b)
{
	guint count = s->frames.length;
	char *address_a = host_address(a);
	char *address_b = host_address(b);

	while (count--) {
		struct link_frame *f = g_queue_pop_head(&s->frames);

		if ((f->from == a && f->to == b) ||
		    (f->from == b && f->to == a))
			free_frame(f);
		else
			g_queue_push_tail(&s->frames, f);
	}
	rate_exchange_note_closed(s->hosts[a].exchange, address_b, false);
	rate_exchange_note_closed(s->hosts[b].exchange, address_a, false);
	g_free(address_a);
	g_free(address_b);
}

static void restart_host(struct sim *s, uint32_t i)
{
	stop_host(&s->hosts[i]);
	start_host(s, i);
	excuse(&s->hosts[i], s->time.now_us);
}

static void inject_fault(struct sim *s)
{
	uint32_t i = (uint32_t)g_rand_int_range(s->random, 0, (gint32)s->count);
	struct sim_host *h = &s->hosts[i];
	int64_t until = s->time.now_us +
			g_rand_int_range(s->random, 200, 4000) * US_PER_MS;

	switch (g_rand_int_range(s->random, 0, 5)) {
	case 0:
		h->frozen_until_us = until;
		excuse(h, until);
		return;
	case 1:
		h->cut_until_us = until;
		excuse(h, until);
		return;
	case 2:
		restart_host(s, i);
		return;
	case 3:
		reset_link(s, i, (i + 1) % s->count);
		return;
	case 4:
		s->lost_link[0] = (int)i;
		s->lost_link[1] =
			g_rand_int_range(s->random, 0, (gint32)s->count);
		return;
	}
}

/*
 * Guards against calls of all hosts beyond the limit while hosts are frozen,
 * cut off, restarted and lose links, the dividing ones included.
 */
static void test_explore(void)
{
	static const double limits[] = { 0, 0.5, 1, 2, 7, 33, 200 };

	for (guint32 seed = 1; seed <= 210; seed++) {
		struct sim *s = sim_create(2 + seed % (HOSTS_MAX - 1),
					   limits[seed % G_N_ELEMENTS(limits)],
					   seed);

		sim_run(s, 40, SETTLE_US);
		g_array_set_size(s->calls, 0);
		for (int i = 0; i < 20; i++) {
			sim_run(s, g_rand_int_range(s->random, 0, 3) * 40,
				g_rand_int_range(s->random, 100, 1500) *
					US_PER_MS);
			inject_fault(s);
		}
		if (most_in_window(s) > allowed(s))
			printf("\nseed %u: limit %g, %u hosts, %u calls\n",
			       seed, s->limit, s->count, most_in_window(s));
		CU_ASSERT_TRUE(most_in_window(s) <= allowed(s));
		sim_destroy(s);
	}
}

/* Guards against a limit that is not used, or not again after the owner's end. */
static void test_owner_lost(void)
{
	for (uint32_t i = 0; i < 7; i++) {
		struct sim *s = sim_create(7, 20, 1);

		sim_run(s, 40, US_PER_S);
		s->all_calls = 0;
		sim_run(s, 40, 4 * US_PER_S);
		CU_ASSERT_TRUE(s->all_calls >= 0.8 * 20 * 4);
		s->hosts[i].cut_until_us = INT64_MAX;
		s->hosts[i].frozen_until_us = INT64_MAX;
		sim_run(s, 40, 3 * US_PER_S);
		s->all_calls = 0;
		sim_run(s, 40, 4 * US_PER_S);
		CU_ASSERT_TRUE(s->all_calls >= 0.8 * 20 * 4);
		sim_destroy(s);
	}
}

/*
 * Guards against two hosts that both divide a whole limit: one host loses its
 * link to the first owner, which all others reach.
 */
static void test_one_link_lost(void)
{
	for (uint32_t other = 0; other < 7; other++) {
		struct sim *s = sim_create(7, 20, 1);
		struct rate_owners owners = host_directory_rate_owners(
			&s->hosts[0].directory, LEAF, DOMAIN);
		uint32_t first = address_index(owners.first->record.address);

		sim_run(s, 40, US_PER_S);
		g_array_set_size(s->calls, 0);
		s->lost_link[0] = (int)first;
		s->lost_link[1] = (int)other;
		sim_run(s, 40, 10 * US_PER_S);
		CU_ASSERT_TRUE(most_in_window(s) <= allowed(s));
		sim_destroy(s);
	}
}

/*
 * Guards against hosts that ask another owner after each reset of a link, while
 * the first one is well.
 */
static void test_link_resets(void)
{
	struct sim *s = sim_create(7, 20, 1);
	struct rate_owners owners = host_directory_rate_owners(
		&s->hosts[0].directory, LEAF, DOMAIN);
	uint32_t first = address_index(owners.first->record.address);

	sim_run(s, 40, US_PER_S);
	g_array_set_size(s->calls, 0);
	for (int i = 0; i < 20; i++) {
		for (uint32_t k = 0; k < s->count; k++)
			reset_link(s, first, k);
		sim_run(s, 40, 400 * US_PER_MS);
	}
	CU_ASSERT_TRUE(most_in_window(s) <= 1.1 * 20 * 4);
	CU_ASSERT_TRUE(s->calls->len >= 0.6 * 20 * 8);
	sim_destroy(s);
}

/* Guards against calls that hosts saved up while idle and send all at once. */
static void test_bursts(void)
{
	static const double limits[] = { 1, 7, 20, 100 };

	for (size_t i = 0; i < G_N_ELEMENTS(limits); i++) {
		struct sim *s = sim_create(8, limits[i], 1);

		sim_run(s, 40, US_PER_S);
		g_array_set_size(s->calls, 0);
		for (int k = 0; k < 20; k++) {
			sim_run(s, 1,
				g_rand_int_range(s->random, 100, 4000) *
					US_PER_MS);
			sim_run(s, 100,
				g_rand_int_range(s->random, 100, 2000) *
					US_PER_MS);
		}
		CU_ASSERT_TRUE(most_in_window(s) <= allowed(s));
		sim_destroy(s);
	}
}

/* Guards against hosts that do not agree on the owners of a limit. */
static void test_owners(void)
{
	static char *const regions[] = { "a=north", "b=north", "c=south",
					 NULL };
	static const char *const domains[] = { "a", "b", "c" };
	struct leaf_set leaves;
	struct host_directory one;
	struct host_directory other;
	GHashTable *seen = g_hash_table_new(NULL, NULL);

	leaf_set_init(&leaves, "h0", "a", regions);
	host_directory_init(&one, "h0", &leaves);
	host_directory_init(&other, "h5", &leaves);
	for (uint32_t i = 0; i < 12; i++) {
		for (int k = 0; k < 2; k++) {
			uint32_t n = k ? 11 - i : i;
			struct host_record r = {
				.name = host_name(n),
				.address = host_address(n),
				.domain = g_strdup(domains[n % 3]),
			};

			host_directory_put(k ? &other : &one, &r);
		}
	}
	for (uint32_t i = 0; i < 100; i++) {
		char *leaf = g_strdup_printf("leaf-%u", i);
		struct rate_owners a =
			host_directory_rate_owners(&one, leaf, "b");
		struct rate_owners b =
			host_directory_rate_owners(&other, leaf, "b");

		CU_ASSERT_STRING_EQUAL(a.first->record.name,
				       b.first->record.name);
		CU_ASSERT_STRING_EQUAL(a.second->record.name,
				       b.second->record.name);
		CU_ASSERT_STRING_NOT_EQUAL(a.first->record.name,
					   a.second->record.name);
		CU_ASSERT_STRING_NOT_EQUAL(a.first->record.domain, "c");
		g_hash_table_add(seen, a.first);
		g_free(leaf);
	}
	/* The eight hosts of the region share the work. */
	CU_ASSERT_EQUAL(g_hash_table_size(seen), 8);
	g_hash_table_destroy(seen);
	host_directory_clear(&one);
	host_directory_clear(&other);
	leaf_set_clear(&leaves);
}

CU_TestInfo rate_exchange_tests[] = {
	{ "explore", test_explore },
	{ "owner lost", test_owner_lost },
	{ "one link lost", test_one_link_lost },
	{ "link resets", test_link_resets },
	{ "bursts", test_bursts },
	{ "owners", test_owners },
	CU_TEST_INFO_NULL,
};
