#ifndef COMMON_DURATION_H
#define COMMON_DURATION_H

#include <stdint.h>

/**
 * Parses a non-negative duration with a unit, such as "200ms" or "1.5s", into
 * microseconds. Returns 0 or -ERR_DURATION.
 */
int duration_parse(const char *text, int64_t *us);

#endif
