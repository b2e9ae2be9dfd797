#include "suites.h"

#include <math.h>
#include <string.h>

#include "common/errors.h"
#include "net/host_frame.h"
#include "net/http_header.h"

static int decode_frame(GByteArray *frame, struct host_frame *out)
{
	int ret = host_frame_decode(frame->data, frame->len, out);

	g_byte_array_free(frame, TRUE);
	return ret;
}

static GArray *create_headers(void)
{
	GArray *headers = g_array_new(FALSE, TRUE, sizeof(struct http_header));
	struct http_header list[] = { { "Host", "example" }, { "Accept", "" } };

	g_array_append_vals(headers, list, 2);
	return headers;
}

/* Guards against a gather request whose fields change between hosts. */
static void test_gather(void)
{
	GArray *headers = create_headers();
	struct gather_request g = {
		.id = 7,
		.request_id = "9c41d07be2a35f68",
		.version = 1ULL << 40,
		.wait_us = 1500000,
		.goal_left_us = 278000,
		.method = "GET",
		.host = "example",
		.target = "/a/b?c=d",
		.headers = headers,
		.body = "x\0y",
		.body_len = 3,
		.gatherers = 6,
		.organisation = "acme",
	};
	struct host_frame f;

	CU_ASSERT_EQUAL_FATAL(decode_frame(host_frame_gather(&g), &f), 0);
	CU_ASSERT_EQUAL(f.type, HOST_GATHER);
	CU_ASSERT_EQUAL(f.request.id, 7);
	CU_ASSERT_STRING_EQUAL(f.request.request_id, g.request_id);
	CU_ASSERT_EQUAL(f.request.version, g.version);
	CU_ASSERT_EQUAL(f.request.wait_us, g.wait_us);
	CU_ASSERT_EQUAL(f.request.gatherers, 6);
	CU_ASSERT_STRING_EQUAL(f.request.organisation, "acme");
	CU_ASSERT_EQUAL(f.request.goal_left_us, g.goal_left_us);
	CU_ASSERT_STRING_EQUAL(f.request.target, g.target);
	CU_ASSERT_EQUAL(f.request.headers->len, 2);
	CU_ASSERT_STRING_EQUAL(
		g_array_index(f.request.headers, struct http_header, 1).name,
		"Accept");
	CU_ASSERT_EQUAL(f.request.body_len, 3);
	CU_ASSERT_EQUAL(memcmp(f.request.body, "x\0y", 3), 0);
	host_frame_clear(&f);
	g_array_free(headers, TRUE);
}

/* Guards against a gather result whose fields are lost between hosts. */
static void test_gathered(void)
{
	const char *stamps[] = { "s1", "s2" };
	struct gather_result r = {
		.id = 8,
		.status = 502,
		.code = -ERR_ROUTE_COVERAGE,
		.stamps = stamps,
		.stamp_count = 2,
		.missing_count = 1,
		.body = "0123456789abcdef",
		.body_len = 16,
	};
	struct host_frame f;

	CU_ASSERT_EQUAL_FATAL(decode_frame(host_frame_gather_result(&r), &f),
			      0);
	CU_ASSERT_EQUAL(f.result.status, 502);
	CU_ASSERT_EQUAL(f.result.code, -ERR_ROUTE_COVERAGE);
	CU_ASSERT_EQUAL(f.result.stamp_count, 2);
	CU_ASSERT_STRING_EQUAL(f.result.stamps[1], "s2");
	CU_ASSERT_EQUAL(f.result.missing_count, 1);
	CU_ASSERT_EQUAL(f.result.body_len, 16);
	host_frame_clear(&f);
}

/* Guards against a caller that loses the backoff of a request handed back. */
static void test_handed_back(void)
{
	struct gather_result r = {
		.id = 9,
		.code = -ERR_ROUTE_LATE,
		.retry_after_us = 70000,
	};
	struct host_frame f;

	CU_ASSERT_EQUAL_FATAL(decode_frame(host_frame_gather_result(&r), &f),
			      0);
	CU_ASSERT_EQUAL(f.result.status, 0);
	CU_ASSERT_EQUAL(f.result.code, -ERR_ROUTE_LATE);
	CU_ASSERT_EQUAL(f.result.retry_after_us, 70000);
	host_frame_clear(&f);
}

/* Guards against store changes, deletions included, lost between hosts. */
static void test_changes(void)
{
	struct store_item put = { "a", (guchar *)"v\0w", 3, { 0, 12 } };
	struct store_item deleted = { "b", NULL, 0, { 0, 13 } };
	struct store_changes *c = store_changes_create();
	struct host_frame f;
	struct store_item *items;

	c->from.revision = 11;
	c->to.revision = 13;
	store_changes_set_era(c, 2);
	c->is_complete = true;
	store_changes_add(c, &put);
	store_changes_add(c, &deleted);
	CU_ASSERT_EQUAL_FATAL(decode_frame(host_frame_changes(c), &f), 0);
	CU_ASSERT_EQUAL(f.changes->from.revision, 11);
	CU_ASSERT_EQUAL(f.changes->to.revision, 13);
	CU_ASSERT_EQUAL(f.changes->from.era, 2);
	CU_ASSERT_EQUAL(f.changes->to.era, 2);
	CU_ASSERT_TRUE(f.changes->is_complete);
	CU_ASSERT_EQUAL_FATAL(f.changes->items->len, 2);
	items = (struct store_item *)f.changes->items->data;
	CU_ASSERT_STRING_EQUAL(items[0].key, "a");
	CU_ASSERT_EQUAL(items[0].value_len, 3);
	CU_ASSERT_EQUAL(items[0].time.revision, 12);
	CU_ASSERT_EQUAL(items[0].time.era, 2);
	CU_ASSERT_PTR_NULL(items[1].value);
	host_frame_clear(&f);
	store_changes_free(c);
}

/*
 * Guards against followers that lose a whole feed with one of its items, and
 * ask for the same one again for ever.
 */
static void test_odd_item(void)
{
	static const guint8 key[] = { 0xa1, 'b' };
	/* Replaces bytes of the item b, which begins with its key. */
	static const struct {
		int at;
		guint8 byte;
	} changes[] = {
		{ 1, 0 },    /* a NUL in the key */
		{ 0, 0xcc }, /* a number for a key */
		{ 2, 0xc0 }, /* no revision */
		{ 2, 0xff }, /* a revision below 0 */
		{ 3, 0xc0 }, /* neither a value nor a deletion */
		{ 3, 0xc2 }, /* a deletion with a value */
	};
	struct store_item items[] = {
		{ "a", (guchar *)"v", 1, { 0, 12 } },
		{ "b", (guchar *)"v", 1, { 0, 13 } },
		{ "c", NULL, 0, { 0, 14 } },
	};
	struct store_changes *c = store_changes_create();

	c->to.revision = 14;
	for (size_t i = 0; i < G_N_ELEMENTS(items); i++)
		store_changes_add(c, &items[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(changes); i++) {
		GByteArray *frame = host_frame_changes(c);
		guint8 *b = memmem(frame->data, frame->len, key, sizeof(key));
		struct host_frame f;
		struct store_item *read;

		b[changes[i].at] = changes[i].byte;
		CU_ASSERT_EQUAL_FATAL(decode_frame(frame, &f), 0);
		CU_ASSERT_EQUAL(f.unread_count, 1);
		CU_ASSERT_EQUAL(f.changes->to.revision, 14);
		CU_ASSERT_EQUAL_FATAL(f.changes->items->len, 2);
		read = (struct store_item *)f.changes->items->data;
		CU_ASSERT_STRING_EQUAL(read[0].key, "a");
		CU_ASSERT_EQUAL(read[0].time.revision, 12);
		CU_ASSERT_STRING_EQUAL(read[1].key, "c");
		CU_ASSERT_PTR_NULL(read[1].value);
		host_frame_clear(&f);
	}
	store_changes_free(c);
}

/*
 * Guards against hosts that cannot talk to those of earlier releases, which
 * state no era.
 */
static void test_no_era(void)
{
	static const uint8_t subscribe[] = { 0x92, HOST_SUBSCRIBE, 7 };
	static const uint8_t heartbeat[] = { 0x93, HOST_HEARTBEAT, 9, 0xc3 };
	static const uint8_t changes[] = { 0x94, HOST_CHANGES, 8, 9, 0x90 };
	struct host_frame f;

	CU_ASSERT_EQUAL_FATAL(
		host_frame_decode(subscribe, sizeof(subscribe), &f), 0);
	CU_ASSERT_EQUAL(f.time.revision, 7);
	CU_ASSERT_EQUAL(f.time.era, 0);
	host_frame_clear(&f);
	CU_ASSERT_EQUAL_FATAL(
		host_frame_decode(heartbeat, sizeof(heartbeat), &f), 0);
	CU_ASSERT_EQUAL(f.time.revision, 9);
	CU_ASSERT_EQUAL(f.time.era, 0);
	CU_ASSERT_TRUE(f.is_store_up);
	host_frame_clear(&f);
	CU_ASSERT_EQUAL_FATAL(host_frame_decode(changes, sizeof(changes), &f),
			      0);
	CU_ASSERT_EQUAL(f.changes->to.era, 0);
	CU_ASSERT_FALSE(f.changes->is_complete);
	host_frame_clear(&f);
}

/* Guards against eras that are lost between hosts. */
static void test_era(void)
{
	struct store_time time = { 3, 12 };
	struct host_frame f;

	CU_ASSERT_EQUAL_FATAL(decode_frame(host_frame_subscribe(time), &f), 0);
	CU_ASSERT_EQUAL(store_time_compare(f.time, time), 0);
	host_frame_clear(&f);
	CU_ASSERT_EQUAL_FATAL(
		decode_frame(host_frame_heartbeat(time, true), &f), 0);
	CU_ASSERT_EQUAL(store_time_compare(f.time, time), 0);
	host_frame_clear(&f);
}

/* Guards against claims and grants whose fields are lost between hosts. */
static void test_rates(void)
{
	struct rate_claim claim = {
		.key = "leaf-1",
		.epoch = 1700000000000,
		.domain = "a",
		.news = { true, 31.5, 2000 },
		.wanted_per_s = 60.25,
	};
	struct rate_grant grant = {
		.key = "leaf-1",
		.epoch = 1700000000000,
		.news = { false, 0, 10 },
		.share_per_s = 4.5,
		.valid_us = 1000000,
		.refresh_us = 250000,
	};
	GArray *list = g_array_new(FALSE, FALSE, sizeof(claim));
	struct host_frame f;
	struct rate_claim *c;
	struct rate_grant *g;

	g_array_append_val(list, claim);
	g_array_append_val(list, claim);
	CU_ASSERT_EQUAL_FATAL(decode_frame(host_frame_rate_claims(list), &f),
			      0);
	CU_ASSERT_EQUAL_FATAL(f.rate_claims->len, 2);
	c = &g_array_index(f.rate_claims, struct rate_claim, 1);
	CU_ASSERT_STRING_EQUAL(c->key, "leaf-1");
	CU_ASSERT_EQUAL(c->epoch, 1700000000000);
	CU_ASSERT_STRING_EQUAL(c->domain, "a");
	CU_ASSERT_TRUE(c->news.is_limited);
	CU_ASSERT_DOUBLE_EQUAL(c->news.per_s, 31.5, 0);
	CU_ASSERT_EQUAL(c->news.age_us, 2000);
	CU_ASSERT_DOUBLE_EQUAL(c->wanted_per_s, 60.25, 0);
	host_frame_clear(&f);
	/* A negative or infinite rate is not sent as a large one. */
	g_array_index(list, struct rate_claim, 0).wanted_per_s = -1;
	g_array_index(list, struct rate_claim, 1).wanted_per_s = INFINITY;
	CU_ASSERT_EQUAL_FATAL(decode_frame(host_frame_rate_claims(list), &f),
			      0);
	c = &g_array_index(f.rate_claims, struct rate_claim, 0);
	CU_ASSERT_DOUBLE_EQUAL(c[0].wanted_per_s, 0, 0);
	CU_ASSERT_DOUBLE_EQUAL(c[1].wanted_per_s, 1e12, 0);
	host_frame_clear(&f);
	g_array_free(list, TRUE);
	list = g_array_new(FALSE, FALSE, sizeof(grant));
	g_array_append_val(list, grant);
	CU_ASSERT_EQUAL_FATAL(decode_frame(host_frame_rate_grants(list), &f),
			      0);
	CU_ASSERT_EQUAL_FATAL(f.rate_grants->len, 1);
	g = &g_array_index(f.rate_grants, struct rate_grant, 0);
	CU_ASSERT_FALSE(g->news.is_limited);
	CU_ASSERT_DOUBLE_EQUAL(g->share_per_s, 4.5, 0);
	CU_ASSERT_EQUAL(g->valid_us, 1000000);
	CU_ASSERT_EQUAL(g->refresh_us, 250000);
	host_frame_clear(&f);
	g_array_free(list, TRUE);
}

/* Guards against reads past the end of a truncated or altered frame. */
static void test_broken(void)
{
	GArray *headers = create_headers();
	struct gather_request g = { .request_id = "r",
				    .method = "GET",
				    .host = "h",
				    .target = "/",
				    .headers = headers };
	GByteArray *whole = host_frame_gather(&g);
	GRand *random = g_rand_new_with_seed(1);
	struct host_frame f;

	for (guint len = 0; len < whole->len; len++)
		CU_ASSERT_EQUAL(host_frame_decode(whole->data, len, &f),
				-ERR_FRAME);
	for (int i = 0; i < 20000; i++) {
		guint at =
			(guint)g_rand_int_range(random, 0, (gint32)whole->len);
		guint8 old = whole->data[at];

		whole->data[at] = (guint8)g_rand_int(random);
		if (!host_frame_decode(whole->data, whole->len, &f))
			host_frame_clear(&f);
		whole->data[at] = old;
	}
	g_rand_free(random);
	g_byte_array_free(whole, TRUE);
	g_array_free(headers, TRUE);
}

CU_TestInfo host_frame_tests[] = {
	{ "no era", test_no_era },	     { "era", test_era },
	{ "gather", test_gather },	     { "gathered", test_gathered },
	{ "handed back", test_handed_back }, { "changes", test_changes },
	{ "odd item", test_odd_item },	     { "rates", test_rates },
	{ "broken", test_broken },	     CU_TEST_INFO_NULL,
};
