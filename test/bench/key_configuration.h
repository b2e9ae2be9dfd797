#ifndef TEST_BENCH_KEY_CONFIGURATION_H
#define TEST_BENCH_KEY_CONFIGURATION_H

#include <stddef.h>
#include <stdint.h>

#define KEYS_PER_ORGANISATION 2
/** Size of a key with its terminating null byte. */
#define KEY_SIZE 33

/** Writes a key of KEY_SIZE - 1 characters that no other number has. */
void key_write(char out[KEY_SIZE], uint32_t number);

/**
 * Returns a configuration with one route and with organisations that together
 * have the keys 0 to count - 1; freed with g_free().
 */
char *key_configuration_build(uint32_t count);

#endif
