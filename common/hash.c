#include "common/hash.h"

#include <string.h>
#include <xxhash.h>

uint64_t hash_bytes(const void *data, size_t len, uint64_t seed)
{
	return XXH3_64bits_withSeed(data, len, seed);
}

uint64_t hash_string(const char *text, uint64_t seed)
{
	return hash_bytes(text, strlen(text), seed);
}

uint64_t hash_pair(uint64_t a, uint64_t b)
{
	uint64_t pair[2] = { a, b };

	return hash_bytes(pair, sizeof(pair), 0);
}
