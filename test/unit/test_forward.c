#include "suites.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "common/errors.h"
#include "net/forward.h"

static struct forward_buffer encode_sample(void)
{
	struct forward_query q = {
		.id = 0x1122334455667788,
		.request_id = "r-1",
		.service = "booking",
		.key = "k-1",
		.key_created_us = 1700000000000000,
		.remaining_us = 150000,
		.is_non_idempotent = true,
		.body = "{\"query\":1}",
		.body_len = 11,
	};

	return forward_encode_query(&q);
}

/* Guards against a request key or deadline that is lost when forwarded. */
static void test_query_round_trip(void)
{
	struct forward_buffer b = encode_sample();
	struct forward_frame f;

	CU_ASSERT(forward_is_frame(b.data, b.len));
	CU_ASSERT_EQUAL_FATAL(forward_decode(b.data, b.len, &f), 0);
	CU_ASSERT_EQUAL(f.query.id, 0x1122334455667788);
	CU_ASSERT_STRING_EQUAL(f.query.key, "k-1");
	CU_ASSERT_PTR_NULL(f.query.class);
	CU_ASSERT_EQUAL(f.query.key_created_us, 1700000000000000);
	CU_ASSERT_EQUAL(f.query.remaining_us, 150000);
	CU_ASSERT(f.query.is_non_idempotent);
	CU_ASSERT_STRING_EQUAL(f.query.body, "{\"query\":1}");
	forward_free(&f);
	free(b.data);
}

/* Guards against a crash on a truncated frame, and against accepting one. */
static void test_truncated(void)
{
	struct forward_buffer b = encode_sample();
	struct forward_frame f;

	for (size_t len = 0; len < b.len; len++) {
		char *copy = g_memdup2(b.data, len);

		CU_ASSERT_EQUAL(forward_decode(copy, len, &f), -ERR_FRAME);
		g_free(copy);
	}
	free(b.data);
}

/*
 * Guards against allocating the length that a frame declares, although the
 * frame is much shorter.
 */
static void test_claimed_length(void)
{
	static const unsigned char huge[] = { 0xdd, 0xff, 0xff, 0xff, 0xff };
	struct forward_frame f;

	CU_ASSERT_EQUAL(forward_decode(huge, sizeof(huge), &f), -ERR_FRAME);
}

/* Guards against a crash on a frame with a changed byte. */
static void test_mutated(void)
{
	struct forward_buffer b = encode_sample();
	struct forward_frame f;
	GRand *random = g_rand_new_with_seed(7);

	for (int i = 0; i < 20000; i++) {
		guint8 *copy = g_memdup2(b.data, b.len);
		guint32 at = (guint32)g_rand_int_range(random, 0, (gint)b.len);

		copy[at] = (guint8)g_rand_int(random);
		if (!forward_decode(copy, b.len, &f))
			forward_free(&f);
		g_free(copy);
	}
	g_rand_free(random);
	free(b.data);
}

CU_TestInfo forward_tests[] = {
	{ "query round trip", test_query_round_trip },
	{ "truncated", test_truncated },
	{ "claimed length", test_claimed_length },
	{ "mutated", test_mutated },
	CU_TEST_INFO_NULL,
};
