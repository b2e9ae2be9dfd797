#include "suites.h"

#include <stdint.h>

#include "common/duration.h"
#include "common/errors.h"
#include "common/ring.h"

/* Guards against accepting a duration without a unit, or a malformed one. */
static void test_duration(void)
{
	static const char *const bad[] = { "",	 "5",  "ms",  "5 ms",  "-5ms",
					   "5d", "1e", "nan", "1e300s" };
	int64_t us = 0;

	CU_ASSERT_EQUAL(duration_parse("1.5s", &us), 0);
	CU_ASSERT_EQUAL(us, 1500000);
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		CU_ASSERT_EQUAL(duration_parse(bad[i], &us), -ERR_DURATION);
}

/* Guards against entries being lost or reordered when the ring is full. */
static void test_ring_bound(void)
{
	int items[8];
	struct ring *r;
	int pushed = 0;

	CU_ASSERT_EQUAL_FATAL(ring_create(&r, 3), 0);
	while (pushed < 8 && !ring_push(r, &items[pushed]))
		pushed++;
	CU_ASSERT(pushed >= 3 && pushed < 8);
	for (int i = 0; i < pushed; i++)
		CU_ASSERT_PTR_EQUAL(ring_pop(r), &items[i]);
	CU_ASSERT_PTR_NULL(ring_pop(r));
	ring_destroy(r);
}

CU_TestInfo common_tests[] = {
	{ "duration", test_duration },
	{ "ring bound", test_ring_bound },
	CU_TEST_INFO_NULL,
};
