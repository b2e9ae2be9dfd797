#include "store/store_time.h"

int store_time_compare(struct store_time a, struct store_time b)
{
	if (a.era != b.era)
		return a.era < b.era ? -1 : 1;
	if (a.revision != b.revision)
		return a.revision < b.revision ? -1 : 1;
	return 0;
}

bool store_time_is_before(struct store_time a, struct store_time b)
{
	return store_time_compare(a, b) < 0;
}

struct store_time store_time_latest(struct store_time a, struct store_time b)
{
	return store_time_is_before(a, b) ? b : a;
}
