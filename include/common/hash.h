#ifndef COMMON_HASH_H
#define COMMON_HASH_H

#include <stddef.h>
#include <stdint.h>

/** Returns a 64-bit hash of the bytes, the same on every host and release. */
uint64_t hash_bytes(const void *data, size_t len, uint64_t seed);

/** Returns a 64-bit hash of a string. */
uint64_t hash_string(const char *text, uint64_t seed);

/** Returns a 64-bit hash of two integers. */
uint64_t hash_pair(uint64_t a, uint64_t b);

#endif
