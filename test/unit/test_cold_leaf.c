#include "suites.h"

#include <string.h>

#include "fake_router.h"

/* The rule: requests to a cold leaf in any second, from all hosts together. */
#define WINDOW_US (1 * US_PER_S)
#define BOUND_FACTOR 1.5
#define BOUND_EXTRA 5
#define HOSTS_MAX 8
#define STEP_US (5 * US_PER_MS)
#define REPLY_US (20 * US_PER_MS)
#define COLD_LEAF "s0-a"
#define RATE 10.0

/** Hosts that call a cold leaf, with one pool of tokens. */
struct hosts {
	struct fake_router *hosts[HOSTS_MAX];
	uint32_t count;
	struct token_pool *pool;
	uint32_t seen_calls[HOSTS_MAX];
	/** Of int64_t: calls to the cold leaf. */
	GArray *calls;
	bool is_owner_lost;
	uint32_t sent;
	uint32_t turn;
};

static struct hosts *hosts_create(uint32_t count)
{
	struct hosts *h = g_new0(struct hosts, 1);

	h->count = count;
	h->pool = token_pool_create(1);
	h->calls = g_array_new(FALSE, FALSE, sizeof(int64_t));
	for (uint32_t i = 0; i < count; i++) {
		struct fake_router *f = fake_router_create(1);

		h->hosts[i] = f;
		router_set_host_count(f->router, count);
		fake_router_set_warm_up(f, RATE);
		fake_router_set_cold(f, COLD_LEAF, 60 * US_PER_S);
		/* No other leaf is there. */
		leaf_set_remove(router_leaves(f->router), "s0-b", 0,
				f->time.now_us);
		leaf_set_remove(router_leaves(f->router), "s0-c", 0,
				f->time.now_us);
	}
	return h;
}

static void hosts_destroy(struct hosts *h)
{
	for (uint32_t i = 0; i < h->count; i++)
		fake_router_destroy(h->hosts[i]);
	token_pool_free(h->pool);
	g_array_free(h->calls, TRUE);
	g_free(h);
}

static void answer_claims(struct hosts *h, struct fake_router *f)
{
	GArray *claims = f->token_claims;

	f->token_claims = g_array_new(FALSE, FALSE, sizeof(struct token_claim));
	for (guint i = 0; i < claims->len && !h->is_owner_lost; i++) {
		const struct token_claim *c =
			&g_array_index(claims, struct token_claim, i);
		struct token_grant g;

		token_pool_claim(h->pool, c, TOKEN_PART_ALL, 0, f->time.now_us,
				 &g);
		router_handle_token_grant(f->router, &g);
	}
	g_array_free(claims, TRUE);
}

static void answer_calls(struct hosts *h, uint32_t i)
{
	struct fake_router *f = h->hosts[i];

	for (uint32_t k = 0; k < f->call_count; k++) {
		if (f->time.now_us - f->calls[k].sent_us >= REPLY_US)
			fake_router_end_call(f, k, CALL_ANSWERED, 200,
					     "0123456789abcdef");
	}
	for (; h->seen_calls[i] < f->call_count; h->seen_calls[i]++) {
		const struct fake_call *c = &f->calls[h->seen_calls[i]];

		if (!strcmp(c->leaf_id, COLD_LEAF))
			g_array_append_val(h->calls, c->sent_us);
	}
}

static void press(struct hosts *h, uint32_t per_s, int64_t us)
{
	uint32_t sent = 0;

	for (int64_t t = 0; t < us; t += STEP_US) {
		for (; sent < t * per_s / US_PER_S; sent++)
			fake_router_start_request(
				h->hosts[h->turn++ % h->count], "/get/x", 0);
		for (uint32_t i = 0; i < h->count; i++) {
			fake_router_advance(h->hosts[i], STEP_US);
			answer_claims(h, h->hosts[i]);
			answer_calls(h, i);
		}
	}
	h->sent += sent;
}

static gint compare_times(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

static uint32_t most_in_window(struct hosts *h)
{
	const int64_t *times;
	uint32_t most = 0;
	guint first = 0;

	g_array_sort(h->calls, compare_times);
	times = (const int64_t *)(void *)h->calls->data;
	for (guint last = 0; last < h->calls->len; last++) {
		while (times[last] - times[first] >= WINDOW_US)
			first++;
		most = MAX(most, last - first + 1);
	}
	return most;
}

/*
 * Guards against hosts that send a cold leaf more requests together than it can
 * take, and against a cold leaf that gets none of them.
 */
static void test_sum_of_hosts(void)
{
	for (uint32_t count = 1; count <= HOSTS_MAX; count += 7) {
		struct hosts *h = hosts_create(count);

		press(h, 60, 10 * US_PER_S);
		CU_ASSERT_TRUE(most_in_window(h) <=
			       RATE * BOUND_FACTOR + BOUND_EXTRA);
		CU_ASSERT_TRUE(h->calls->len >= 0.8 * RATE * 10);
		hosts_destroy(h);
	}
}

/* Guards against calls to a cold leaf before there is a share of its rate. */
static void test_no_share(void)
{
	struct hosts *h = hosts_create(2);

	h->is_owner_lost = true;
	press(h, 60, 2 * US_PER_S);
	CU_ASSERT_EQUAL(h->calls->len, 0);
	h->is_owner_lost = false;
	press(h, 60, 2 * US_PER_S);
	CU_ASSERT_TRUE(h->calls->len > 0);
	hosts_destroy(h);
}

/* Guards against a limit on a leaf that is warm, or of no upstream with one. */
static void test_warm(void)
{
	struct hosts *h = hosts_create(1);

	press(h, 60, US_PER_S);
	fake_router_set_cold(h->hosts[0], COLD_LEAF, 0);
	g_array_set_size(h->calls, 0);
	press(h, 60, 2 * US_PER_S);
	CU_ASSERT_TRUE(h->calls->len >= 115);
	/* The leaf is cold again. */
	fake_router_set_cold(h->hosts[0], COLD_LEAF, 60 * US_PER_S);
	press(h, 60, 100 * US_PER_MS);
	g_array_set_size(h->calls, 0);
	press(h, 60, 4 * US_PER_S);
	CU_ASSERT_TRUE(most_in_window(h) <= RATE * BOUND_FACTOR + BOUND_EXTRA);
	/* The limit is gone. */
	fake_router_set_warm_up(h->hosts[0], 0);
	press(h, 60, 100 * US_PER_MS);
	g_array_set_size(h->calls, 0);
	press(h, 60, 2 * US_PER_S);
	CU_ASSERT_TRUE(h->calls->len >= 115);
	hosts_destroy(h);
}

/* Guards against claims for cold leaves that no request wants. */
static void test_idle(void)
{
	struct hosts *h = hosts_create(1);

	press(h, 60, US_PER_S);
	press(h, 0, 2 * US_PER_S);
	h->is_owner_lost = true;
	fake_router_advance(h->hosts[0], 5 * US_PER_S);
	CU_ASSERT_EQUAL(h->hosts[0]->token_claims->len, 0);
	hosts_destroy(h);
}

CU_TestInfo cold_leaf_tests[] = {
	{ "sum of hosts", test_sum_of_hosts },
	{ "no share", test_no_share },
	{ "warm", test_warm },
	{ "idle", test_idle },
	CU_TEST_INFO_NULL,
};
