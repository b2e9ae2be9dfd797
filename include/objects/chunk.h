#ifndef OBJECTS_CHUNK_H
#define OBJECTS_CHUNK_H

#include <stddef.h>
#include <stdint.h>

/**
 * Canonical form of a set, split into content-defined chunks: boundaries depend
 * on the text alone. A changed object changes one or two chunks, so a host
 * fetches only those from another host.
 */
struct chunk_table;

/** One chunk, identified by its hash. */
struct chunk {
	uint64_t hash;
	uint32_t offset;
	uint32_t len;
};

/** Splits a copy of the text into chunks. Returns NULL if out of memory. */
struct chunk_table *chunk_table_create(const char *text, size_t len);

struct chunk_table *chunk_table_ref(struct chunk_table *t);
void chunk_table_unref(struct chunk_table *t);

const char *chunk_table_text(const struct chunk_table *t, size_t *len);
const struct chunk *chunk_table_list(const struct chunk_table *t,
				     uint32_t *count);

/** Returns the bytes of the chunk with the hash, or NULL. */
const char *chunk_table_find(const struct chunk_table *t, uint64_t hash,
			     uint32_t *len);

#endif
