#include "suites.h"

#include <stdio.h>

#include "engine/merge.h"

/* Guards against hits being lost when adds follow a sorted read. */
static void test_top_k(void)
{
	struct merge *m;
	const struct hit *hits;
	char id[16];
	size_t count;

	CU_ASSERT_EQUAL_FATAL(merge_create(&m, 3), 0);
	for (int i = 0; i < 20; i++) {
		snprintf(id, sizeof(id), "d%02d", i);
		merge_add(m, id, "s", (i * 7) % 20);
		merge_sorted(m, &count);
	}
	hits = merge_sorted(m, &count);
	CU_ASSERT_EQUAL_FATAL(count, 3);
	CU_ASSERT_EQUAL(hits[0].score, 19);
	CU_ASSERT_EQUAL(hits[1].score, 18);
	CU_ASSERT_EQUAL(hits[2].score, 17);
	merge_destroy(m);
}

CU_TestInfo merge_tests[] = {
	{ "top k", test_top_k },
	CU_TEST_INFO_NULL,
};
