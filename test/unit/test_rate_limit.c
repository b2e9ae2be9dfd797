#include "suites.h"

#include <stdio.h>
#include <string.h>

#include "fake_router.h"
#include "platform/headers.h"
#include "router/rate_shares.h"

/* The platform's rule: calls to a leaf in each span of this time. */
#define WINDOW_US (4 * US_PER_S)
#define WINDOW_FACTOR 1.5
#define WINDOW_EXTRA 5
/* Hosts count from this time after they were told. */
#define TOLD_US (500 * US_PER_MS)
#define STEP_US (5 * US_PER_MS)
#define REPLY_US (20 * US_PER_MS)
#define HOSTS_MAX 195

/** Hosts that share leaves, with one of them dividing the rate limits. */
struct hosts {
	struct fake_router *hosts[HOSTS_MAX];
	uint32_t count;
	struct rate_shares *shares;
	/** Claims are not answered. */
	bool is_owner_lost;
	uint32_t turn;
	uint32_t sent;
	/** Of int64_t: calls to s0-a from hosts that it told before. */
	GArray *arrivals;
	uint32_t seen_calls[HOSTS_MAX];
	/** When each host received the first reply of s0-a; 0 if not yet. */
	int64_t told_us[HOSTS_MAX];
};

static struct hosts *hosts_create(uint32_t count)
{
	struct hosts *h = g_new0(struct hosts, 1);

	g_assert(count && count <= HOSTS_MAX);
	h->count = count;
	h->shares = rate_shares_create();
	h->arrivals = g_array_new(FALSE, FALSE, sizeof(int64_t));
	for (uint32_t i = 0; i < count; i++) {
		h->hosts[i] = fake_router_create(1);
		router_set_host_count(h->hosts[i]->router, count);
	}
	return h;
}

static void hosts_destroy(struct hosts *h)
{
	for (uint32_t i = 0; i < h->count; i++)
		fake_router_destroy(h->hosts[i]);
	rate_shares_free(h->shares);
	g_array_free(h->arrivals, TRUE);
	g_free(h);
}

static void set_limit(struct hosts *h, const char *leaf, double per_s)
{
	for (uint32_t i = 0; i < h->count; i++)
		fake_router_set_rate_limit(h->hosts[i], leaf, per_s);
}

static void answer_claims(struct hosts *h, uint32_t i)
{
	struct fake_router *f = h->hosts[i];
	GArray *claims = f->claims;
	char name[16];

	g_snprintf(name, sizeof(name), "h%u", i);
	f->claims = g_array_new(FALSE, FALSE, sizeof(struct rate_claim));
	for (guint k = 0; k < claims->len && !h->is_owner_lost; k++) {
		const struct rate_claim *c =
			&g_array_index(claims, struct rate_claim, k);
		struct rate_grant g;

		rate_shares_claim(h->shares, name, c, 1, f->time.now_us, &g);
		router_handle_grant(f->router, &g);
	}
	g_array_free(claims, TRUE);
}

static void note_arrivals(struct hosts *h, uint32_t i)
{
	struct fake_router *f = h->hosts[i];

	for (; h->seen_calls[i] < f->call_count; h->seen_calls[i]++) {
		const struct fake_call *c = &f->calls[h->seen_calls[i]];

		if (strcmp(c->leaf_id, "s0-a"))
			continue;
		if (!h->told_us[i])
			h->told_us[i] = c->sent_us + REPLY_US;
		if (c->sent_us >= h->told_us[i] + TOLD_US)
			g_array_append_val(h->arrivals, c->sent_us);
	}
}

static void answer_calls(struct fake_router *f)
{
	for (uint32_t i = 0; i < f->call_count; i++) {
		if (f->time.now_us - f->calls[i].sent_us >= REPLY_US)
			fake_router_end_call(f, i, CALL_ANSWERED, 200,
					     "0123456789abcdef");
	}
}

/* Sends requests in turn from all hosts, at an even rate. */
static void press(struct hosts *h, const char *path, uint32_t per_s, int64_t us)
{
	int64_t start = h->hosts[0]->time.now_us;
	uint32_t sent = 0;

	g_assert(h->count);
	for (int64_t t = 0; t < us; t += STEP_US) {
		for (; sent < t * per_s / US_PER_S; sent++)
			fake_router_start_request(
				h->hosts[h->turn++ % h->count], path, 0);
		for (uint32_t i = 0; i < h->count; i++) {
			struct fake_router *f = h->hosts[i];

			answer_calls(f);
			fake_router_advance(f, start + t + STEP_US -
						       f->time.now_us);
			answer_claims(h, i);
			note_arrivals(h, i);
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

/* Returns the most calls to s0-a in a window of the rule. */
static uint32_t most_in_window(struct hosts *h)
{
	const int64_t *times;
	uint32_t most = 0;

	g_array_sort(h->arrivals, compare_times);
	times = (const int64_t *)h->arrivals->data;
	for (guint first = 0; first < h->arrivals->len; first++) {
		guint last = first;

		while (last < h->arrivals->len &&
		       times[last] < times[first] + WINDOW_US)
			last++;
		most = MAX(most, last - first);
	}
	return most;
}

static uint32_t count_answers(const struct hosts *h, unsigned int status)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < h->count; i++) {
		const struct fake_router *f = h->hosts[i];

		for (uint32_t k = 0; k < f->answer_count; k++)
			count += f->answers[k].status == status;
	}
	return count;
}

/*
 * Guards against hosts that exceed the limit of a leaf together, with limits
 * below and above one call a host, and against requests that the other leaves
 * could have served.
 */
static void test_sum_of_hosts(void)
{
	static const struct {
		uint32_t hosts;
		double limit;
		uint32_t requests_per_s;
	} cases[] = { { 1, 10, 100 },
		      { 7, 33, 200 },
		      { 7, 1, 200 },
		      { 82, 5, 400 },
		      { 195, 7, 800 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct hosts *h = hosts_create(cases[i].hosts);
		double allowed = WINDOW_FACTOR * cases[i].limit *
					 (double)WINDOW_US / US_PER_S +
				 WINDOW_EXTRA;
		uint32_t most;

		set_limit(h, "s0-a", cases[i].limit);
		press(h, "/get/x", cases[i].requests_per_s, 10 * US_PER_S);
		most = most_in_window(h);
		if (most > allowed)
			printf("\n%u hosts, limit %g: %u calls\n",
			       cases[i].hosts, cases[i].limit, most);
		CU_ASSERT_TRUE(most <= allowed);
		press(h, "/get/x", 0, US_PER_S);
		CU_ASSERT_EQUAL(count_answers(h, 200), h->sent);
		hosts_destroy(h);
	}
}

/* Guards against most of a limit left unused while callers are refused. */
static void test_limit_is_used(void)
{
	struct hosts *h = hosts_create(7);

	set_limit(h, "s0-a", 20);
	set_limit(h, "s0-b", 20);
	set_limit(h, "s0-c", 20);
	press(h, "/get/x", 200, 2 * US_PER_S);
	g_array_set_size(h->arrivals, 0);
	press(h, "/get/x", 200, 10 * US_PER_S);
	CU_ASSERT_TRUE(h->arrivals->len >= 0.8 * 20 * 10);
	hosts_destroy(h);
}

/*
 * Guards against requests that wait until their deadline though the limits of
 * all leaves leave no room for them, and against refusals that send all callers
 * back at one moment.
 */
static void test_refused_at_once(void)
{
	struct hosts *h = hosts_create(1);
	struct fake_router *f = h->hosts[0];
	int64_t first_us = 0;
	int64_t last_us = 0;
	uint32_t before_count;

	set_limit(h, "s0-a", 1);
	set_limit(h, "s0-b", 1);
	set_limit(h, "s0-c", 1);
	press(h, "/put/x", 100, 2 * US_PER_S);
	before_count = f->answer_count + router_request_count(f->router);
	for (int i = 0; i < 50; i++) {
		uint32_t before = f->answer_count;
		uint64_t id = fake_router_start_request(f, "/put/x", 0);

		if (id)
			continue;
		CU_ASSERT_EQUAL_FATAL(f->answer_count, before + 1);
		CU_ASSERT_EQUAL(f->answers[before].status, 503);
		CU_ASSERT_TRUE(f->answers[before].retry_after_us > 0);
		first_us = first_us ? MIN(first_us,
					  f->answers[before].retry_after_us)
				    : f->answers[before].retry_after_us;
		last_us = MAX(last_us, f->answers[before].retry_after_us);
	}
	CU_ASSERT_TRUE(f->answer_count >= before_count + 40);
	CU_ASSERT_TRUE(last_us - first_us > 100 * US_PER_MS);
	/* What was taken is answered, and no refused request was sent. */
	press(h, "/put/x", 0, 2 * US_PER_S);
	CU_ASSERT_EQUAL(f->answer_count, before_count + 50);
	CU_ASSERT_EQUAL(count_answers(h, 200), f->call_count);
	hosts_destroy(h);
}

/* Guards against a limit that holds on after the leaf has stopped naming it. */
static void test_limit_ends(void)
{
	struct hosts *h = hosts_create(7);

	set_limit(h, "s0-a", 2);
	set_limit(h, "s0-b", 2);
	set_limit(h, "s0-c", 2);
	press(h, "/get/x", 100, 3 * US_PER_S);
	set_limit(h, "s0-a", -1);
	set_limit(h, "s0-b", -1);
	set_limit(h, "s0-c", -1);
	press(h, "/get/x", 100, 2 * US_PER_S);
	h->sent = 0;
	for (uint32_t i = 0; i < h->count; i++) {
		h->sent += router_request_count(h->hosts[i]->router);
		h->hosts[i]->answer_count = 0;
	}
	press(h, "/get/x", 100, 2 * US_PER_S);
	press(h, "/get/x", 0, US_PER_S);
	CU_ASSERT_EQUAL(count_answers(h, 200), h->sent);
	hosts_destroy(h);
}

/* Guards against hosts that exceed a limit while nobody divides it. */
static void test_owner_lost(void)
{
	struct hosts *h = hosts_create(7);

	set_limit(h, "s0-a", 10);
	press(h, "/get/x", 200, 3 * US_PER_S);
	h->is_owner_lost = true;
	press(h, "/get/x", 200, 6 * US_PER_S);
	h->is_owner_lost = false;
	press(h, "/get/x", 200, 3 * US_PER_S);
	CU_ASSERT_TRUE(most_in_window(h) <= 65);
	press(h, "/get/x", 0, US_PER_S);
	CU_ASSERT_EQUAL(count_answers(h, 200), h->sent);
	hosts_destroy(h);
}

/* Guards against a host that uses its share after a pause of some seconds. */
static void test_pause(void)
{
	struct fake_router *f = fake_router_create(1);
	struct rate_grant grant = {
		.key = "s0-a",
		.news = { true, 100, 0 },
		.share_per_s = 100,
		.valid_us = US_PER_S,
		.refresh_us = 250 * US_PER_MS,
	};
	uint32_t calls;

	router_set_host_count(f->router, 7);
	fake_router_set_rate_limit(f, "s0-a", 100);
	fake_router_start_request(f, "/get/x", 0);
	fake_router_answer_all(f);
	router_handle_grant(f->router, &grant);
	fake_router_advance(f, 500 * US_PER_MS);
	calls = fake_router_calls_to(f, "s0-a");
	fake_router_start_request(f, "/get/x", 0);
	CU_ASSERT_EQUAL(fake_router_calls_to(f, "s0-a"), calls + 1);
	fake_router_answer_all(f);
	f->time.now_us += 3 * US_PER_S;
	for (int i = 0; i < 20; i++) {
		fake_router_start_request(f, "/get/x", 0);
		fake_router_answer_all(f);
	}
	/* Without a share, one call at most was saved up meanwhile. */
	CU_ASSERT_TRUE(fake_router_calls_to(f, "s0-a") <= calls + 2);
	fake_router_destroy(f);
}

static struct leaf_rate_limit read_limit(unsigned int status,
					 const char *const *headers)
{
	struct leaf_reply *reply = leaf_reply_create();
	struct router_result result = { 0 };

	reply->status = status;
	for (; *headers; headers += 2) {
		struct http_header h = { g_strdup(headers[0]),
					 g_strdup(headers[1]) };

		g_array_append_val(reply->headers, h);
	}
	platform_read_reply(reply, &result);
	leaf_reply_unref(reply);
	return result.rate_limit;
}

#define NAME "Server-Limit"
#define STAMPED "Nutmegpick-Response-Stamp", "s"
#define NOT_RUN "Nutmegpick-Not-Executed", "1"

/* Guards against limits that are misread, or taken from another sender. */
static void test_header(void)
{
	static const struct {
		unsigned int status;
		const char *headers[8];
		enum rate_news news;
		double per_s;
	} cases[] = {
		{ 200, { STAMPED, NAME, "31.4" }, RATE_LIMITED, 31.4 },
		{ 200, { STAMPED, "server-limit", " 7 " }, RATE_LIMITED, 7 },
		{ 200, { STAMPED, NAME, "0" }, RATE_LIMITED, 0 },
		{ 200, { STAMPED, NAME, "9", NAME, "4" }, RATE_LIMITED, 4 },
		{ 200, { STAMPED, NAME, "9, 4" }, RATE_LIMITED, 4 },
		{ 200, { STAMPED, NAME, "9", NAME, "x" }, RATE_LIMITED, 9 },
		{ 503, { NOT_RUN, NAME, "3" }, RATE_LIMITED, 3 },
		{ 204, { STAMPED, NAME, "3" }, RATE_LIMITED, 3 },
		{ 200,
		  { STAMPED, NAME, "99999999999999999999" },
		  RATE_LIMITED,
		  1e9 },
		{ 200, { STAMPED, NAME, "-1" }, RATE_UNKNOWN, 0 },
		{ 200, { STAMPED, NAME, "1e3" }, RATE_UNKNOWN, 0 },
		{ 200, { STAMPED, NAME, "0x10" }, RATE_UNKNOWN, 0 },
		{ 200, { STAMPED, NAME, "nan" }, RATE_UNKNOWN, 0 },
		{ 200, { STAMPED, NAME, "" }, RATE_UNKNOWN, 0 },
		{ 200, { STAMPED, NAME, ".5" }, RATE_UNKNOWN, 0 },
		{ 200, { STAMPED }, RATE_UNLIMITED, 0 },
		{ 404, { STAMPED }, RATE_UNLIMITED, 0 },
		{ 200, { NULL }, RATE_UNKNOWN, 0 },
		{ 503, { NOT_RUN }, RATE_UNKNOWN, 0 },
		{ 500, { STAMPED }, RATE_UNKNOWN, 0 },
		{ 421, { NAME, "3" }, RATE_UNKNOWN, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct leaf_rate_limit limit =
			read_limit(cases[i].status, cases[i].headers);

		CU_ASSERT_EQUAL(limit.news, cases[i].news);
		CU_ASSERT_DOUBLE_EQUAL(limit.per_s, cases[i].per_s, 1e-9);
	}
}

/*
 * Guards against a reply that was overtaken: one without a limit to a call that
 * was sent before the limit was named does not end it.
 */
static void test_overtaken_reply(void)
{
	struct shared_rate rate = { 0 };
	struct leaf_rate_limit limited = { RATE_LIMITED, 10 };
	struct leaf_rate_limit none = { RATE_UNLIMITED, 0 };
	struct leaf_rate_limit unusable = { RATE_UNKNOWN, 0 };

	CU_ASSERT_TRUE(leaf_rate_note_reply(&rate, &limited, 100, 200));
	CU_ASSERT_FALSE(leaf_rate_note_reply(&rate, &none, 150, 300));
	CU_ASSERT_TRUE(rate.is_limited);
	CU_ASSERT_FALSE(leaf_rate_note_reply(&rate, &unusable, 250, 300));
	CU_ASSERT_TRUE(rate.is_limited);
	CU_ASSERT_TRUE(leaf_rate_note_reply(&rate, &none, 250, 300));
	CU_ASSERT_FALSE(rate.is_limited);
}

#define TOP 1
#define LOWER 2

/* Sends a call if the share has room for it; returns how many were sent. */
static uint32_t try_call(struct shared_rate *rate, uint32_t priority,
			 int64_t now)
{
	shared_rate_note_wanted(rate, priority, now);
	if (!shared_rate_has_room(rate, priority, 7, now))
		return 0;
	shared_rate_note_call(rate, priority, false, 7, now);
	return 1;
}

/*
 * Guards against a limit whose room goes to requests of lower rank while more
 * urgent ones are refused, and against room left unused between them.
 */
static void test_ranks(void)
{
	static const struct {
		uint32_t top_per_s;
		uint32_t top_min;
		uint32_t lower_max;
	} cases[] = { { 40, 190, 10 }, { 10, 95, 110 }, { 0, 0, 205 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct shared_rate rate = { 0 };
		struct leaf_rate_limit limit = { RATE_LIMITED, 20 };
		struct rate_grant grant = { .news = { true, 20, 0 },
					    .share_per_s = 20,
					    .valid_us = 60 * US_PER_S,
					    .refresh_us = US_PER_S };
		uint32_t top = 0;
		uint32_t lower = 0;

		leaf_rate_note_reply(&rate, &limit, 0, 1);
		shared_rate_apply_grant(&rate, &grant, 7, 2);
		for (int64_t t = 0; t < 1000; t++) {
			int64_t now = t * 10 * US_PER_MS + 3;

			/* The lower rank asks first, 100 times a second. */
			lower += try_call(&rate, LOWER, now);
			if (t * cases[i].top_per_s / 100 !=
			    (t + 1) * cases[i].top_per_s / 100)
				top += try_call(&rate, TOP, now);
		}
		CU_ASSERT_TRUE(top >= cases[i].top_min);
		CU_ASSERT_TRUE(lower <= cases[i].lower_max);
		CU_ASSERT_TRUE(top + lower >= 180);
		CU_ASSERT_TRUE(top + lower <= 210);
	}
}

CU_TestInfo rate_limit_tests[] = {
	{ "sum of hosts", test_sum_of_hosts },
	{ "limit is used", test_limit_is_used },
	{ "refused at once", test_refused_at_once },
	{ "limit ends", test_limit_ends },
	{ "owner lost", test_owner_lost },
	{ "pause", test_pause },
	{ "header", test_header },
	{ "overtaken reply", test_overtaken_reply },
	{ "ranks", test_ranks },
	CU_TEST_INFO_NULL,
};
