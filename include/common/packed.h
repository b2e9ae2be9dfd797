#ifndef COMMON_PACKED_H
#define COMMON_PACKED_H

#include <stddef.h>

/**
 * Checks that the bytes are exactly one msgpack value whose lengths fit in the
 * input. To be called before msgpack-c reads the input: msgpack-c allocates
 * arrays of the stated length, so that 5 bytes could make it allocate 100 GB.
 * Refuses maps, floats, extensions and more than 6 levels of values, since no
 * frame or record uses them.
 * Returns 0, -ERR_FRAME or -ERR_FRAME_TRUNCATED.
 */
int packed_check(const void *data, size_t len);

#endif
