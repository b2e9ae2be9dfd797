#ifndef OBJECTS_CHUNK_H
#define OBJECTS_CHUNK_H

#include <stddef.h>
#include <stdint.h>

/**
 * Canonical form of a set, cut into chunks whose boundaries depend on the
 * content alone. A changed object changes one or two chunks, so hosts fetch
 * only those from each other.
 */
struct chunk_table;

/** One chunk; its hash names it. */
struct chunk {
	uint64_t hash;
	uint32_t offset;
	uint32_t len;
};

/** Cuts a copy of the text. Returns NULL if memory is exhausted. */
struct chunk_table *chunk_table_create(const char *text, size_t len);

struct chunk_table *chunk_table_ref(struct chunk_table *t);
void chunk_table_unref(struct chunk_table *t);

const char *chunk_table_text(const struct chunk_table *t, size_t *len);
const struct chunk *chunk_table_list(const struct chunk_table *t,
				     uint32_t *count);

/** Returns a chunk's bytes, or NULL if the table does not hold it. */
const char *chunk_table_find(const struct chunk_table *t, uint64_t hash,
			     uint32_t *len);

#endif
