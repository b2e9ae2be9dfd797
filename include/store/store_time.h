#ifndef STORE_STORE_TIME_H
#define STORE_STORE_TIME_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Position in the history of the store. A store that is restored from a copy
 * loses its last revisions and assigns their numbers again; it then begins a
 * new era. So revisions of different eras cannot be compared.
 */
struct store_time {
	/** 0 if the store does not state its era. */
	uint64_t era;
	/** 0 is before the first change of the era. */
	uint64_t revision;
};

/** Returns a negative number, 0 or a positive one, like strcmp(). */
int store_time_compare(struct store_time a, struct store_time b);

bool store_time_is_before(struct store_time a, struct store_time b);

struct store_time store_time_latest(struct store_time a, struct store_time b);

#endif
