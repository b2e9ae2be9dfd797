#include "suites.h"

#include "common/clock.h"
#include "router/start_hold.h"

/*
 * Guards against requests that are refused because a new host has no routes for
 * its first tenth of a second, and against requests that wait though the store
 * is lost.
 */
static void test_hold(void)
{
	struct start_hold h;

	start_hold_init(&h, US_PER_S);
	CU_ASSERT_TRUE(start_hold_is_open(&h, false, US_PER_S));
	CU_ASSERT_FALSE(start_hold_is_open(&h, true, US_PER_S));
	CU_ASSERT_TRUE(
		start_hold_is_open(&h, false, US_PER_S + 300 * US_PER_MS));
	CU_ASSERT_FALSE(
		start_hold_is_open(&h, false, US_PER_S + 600 * US_PER_MS));
	start_hold_note_lost(&h);
	CU_ASSERT_FALSE(start_hold_is_open(&h, false, US_PER_S));
}

/* Guards against requests that wait for routes at a host that stops. */
static void test_stop_while_held(void)
{
	struct start_hold h;

	start_hold_init(&h, US_PER_S);
	CU_ASSERT_TRUE(start_hold_is_open(&h, false, US_PER_S));
	start_hold_note_stop(&h);
	CU_ASSERT_FALSE(start_hold_is_open(&h, false, US_PER_S));
}

CU_TestInfo start_hold_tests[] = {
	{ "hold", test_hold },
	{ "stop while held", test_stop_while_held },
	CU_TEST_INFO_NULL,
};
