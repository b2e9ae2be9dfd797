#ifndef ROUTER_KEY_INDEX_H
#define ROUTER_KEY_INDEX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Keyed digest of the key of an organisation. The secret is chosen at random
 * when a process first needs it, so a digest is of use in this process only and
 * does not tell the key.
 */
struct key_digest {
	uint64_t words[2];
};

struct key_digest key_digest_create(const char *key, size_t len);

/** Compares in a time that does not depend on the digests. */
bool key_digest_equal(const struct key_digest *a, const struct key_digest *b);

/** Index of the owners of keys by digest. The keys are not kept. */
struct key_index;

/** Returned if a digest has no owner. */
#define KEY_OWNER_NONE UINT32_MAX

struct key_index *key_index_create(void);
void key_index_free(struct key_index *x);

/**
 * Adds a digest of an owner. Returns the owner of the digest, which is another
 * one if the digest was added for it before.
 */
uint32_t key_index_add(struct key_index *x, const struct key_digest *d,
		       uint32_t owner);

/** Returns the owner of a digest, or KEY_OWNER_NONE. The index may be NULL. */
uint32_t key_index_find(const struct key_index *x, const struct key_digest *d);

/** Returns the memory of the index. */
size_t key_index_bytes(const struct key_index *x);

/** Returns the number of digests. The index may be NULL. */
uint32_t key_index_count(const struct key_index *x);

#endif
