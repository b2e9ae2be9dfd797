#include "objects/chunk.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "common/hash.h"

/* Chunks end at a '}', so that a small object is not cut. */
#define BOUNDARY_CHAR '}'
/* The hash of the last 32 bytes decides whether a boundary ends a chunk. */
#define HASH_WINDOW_BYTES 32
/* One boundary in 64 ends a chunk: about 4 KB of text that lists leaves. */
#define BOUNDARY_MASK 63
#define MIN_CHUNK_BYTES 512
#define MAX_CHUNK_BYTES 65536

struct chunk_table {
	int refs;
	char *text;
	size_t len;
	GArray *chunks;
	/** Elements of chunks by hash. */
	GHashTable *by_hash;
};

static int is_chunk_end(const char *text, size_t start, size_t at)
{
	size_t len = at + 1 - start;

	if (len >= MAX_CHUNK_BYTES)
		return 1;
	if (text[at] != BOUNDARY_CHAR || len < MIN_CHUNK_BYTES)
		return 0;
	return (hash_bytes(text + at + 1 - HASH_WINDOW_BYTES, HASH_WINDOW_BYTES,
			   0) &
		BOUNDARY_MASK) == 0;
}

static void add_chunk(struct chunk_table *t, size_t start, size_t end)
{
	struct chunk c = {
		.hash = hash_bytes(t->text + start, end - start, 0),
		.offset = (uint32_t)start,
		.len = (uint32_t)(end - start),
	};

	g_array_append_val(t->chunks, c);
}

static void index_chunks(struct chunk_table *t)
{
	t->by_hash = g_hash_table_new(g_int64_hash, g_int64_equal);
	for (guint i = 0; i < t->chunks->len; i++) {
		struct chunk *c = &g_array_index(t->chunks, struct chunk, i);

		g_hash_table_insert(t->by_hash, &c->hash, c);
	}
}

struct chunk_table *chunk_table_create(const char *text, size_t len)
{
	struct chunk_table *t = calloc(1, sizeof(*t));
	size_t start = 0;

	if (!t)
		return NULL;
	t->refs = 1;
	t->text = malloc(len + 1);
	memcpy(t->text, text, len);
	t->text[len] = '\0';
	t->len = len;
	t->chunks = g_array_new(FALSE, FALSE, sizeof(struct chunk));
	for (size_t i = 0; i < len; i++) {
		if (!is_chunk_end(text, start, i))
			continue;
		add_chunk(t, start, i + 1);
		start = i + 1;
	}
	if (start < len)
		add_chunk(t, start, len);
	index_chunks(t);
	return t;
}

struct chunk_table *chunk_table_ref(struct chunk_table *t)
{
	__atomic_fetch_add(&t->refs, 1, __ATOMIC_RELAXED);
	return t;
}

void chunk_table_unref(struct chunk_table *t)
{
	if (!t || __atomic_sub_fetch(&t->refs, 1, __ATOMIC_ACQ_REL) > 0)
		return;
	g_hash_table_destroy(t->by_hash);
	g_array_free(t->chunks, TRUE);
	free(t->text);
	free(t);
}

const char *chunk_table_text(const struct chunk_table *t, size_t *len)
{
	*len = t->len;
	return t->text;
}

const struct chunk *chunk_table_list(const struct chunk_table *t,
				     uint32_t *count)
{
	*count = t->chunks->len;
	return (const struct chunk *)t->chunks->data;
}

const char *chunk_table_find(const struct chunk_table *t, uint64_t hash,
			     uint32_t *len)
{
	const struct chunk *c = g_hash_table_lookup(t->by_hash, &hash);

	if (!c)
		return NULL;
	*len = c->len;
	return t->text + c->offset;
}
