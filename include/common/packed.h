#ifndef COMMON_PACKED_H
#define COMMON_PACKED_H

#include <stddef.h>

/**
 * Checks that the bytes are exactly one msgpack value whose lengths fit, before
 * msgpack-c reads them: msgpack-c allocates an array for the claimed number of
 * elements, so 5 bytes could ask for 100 GB. Maps, floats, extensions and deep
 * nesting appear in no value of ours and are refused.
 * Returns 0, -ERR_FRAME or -ERR_FRAME_TRUNCATED.
 */
int packed_check(const void *data, size_t len);

#endif
