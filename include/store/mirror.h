#ifndef STORE_MIRROR_H
#define STORE_MIRROR_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** Last change of a key: its value, or a tombstone. */
struct store_item {
	char *key;
	/** NULL if the item is a tombstone. */
	guchar *value;
	gsize value_len;
	/** Store revision of the change. */
	uint64_t revision;
};

/** Changes of the store between two revisions. */
struct store_changes {
	/** Covers the changes after revision from, up to revision to. */
	uint64_t from;
	uint64_t to;
	/** The items are the whole store; a key without an item is deleted. */
	bool is_complete;
	/** Array of struct store_item. */
	GArray *items;
};

struct store_changes *store_changes_create(void);
void store_changes_free(struct store_changes *c);
/** Adds a copy of an item. */
void store_changes_add(struct store_changes *c, const struct store_item *i);

/**
 * Splits changes into pieces of at most max_bytes, or of one item. A mirror
 * that has applied some of the pieces in order misses no change up to its
 * revision. Returns an array of struct store_changes, which frees them.
 */
GPtrArray *store_changes_split(const struct store_changes *c, size_t max_bytes);

/** Local copy of the store keys that hosts use, at one revision. */
struct store_mirror {
	/** Items by key, including tombstones. */
	GHashTable *items;
	uint64_t revision;
	/** Tombstones up to this revision may have been dropped. */
	uint64_t dropped_revision;
};

void store_mirror_init(struct store_mirror *m);
void store_mirror_clear(struct store_mirror *m);

/**
 * Applies changes to the mirror, and removes from the changes the items that
 * the mirror has already and those that a later item supersedes. Complete
 * changes get a tombstone for each deleted key. Returns false and applies
 * nothing if changes between the mirror's revision and these are missing.
 */
bool store_mirror_apply(struct store_mirror *m, struct store_changes *c);

/**
 * Returns the changes after a revision, or NULL if tombstones after it may have
 * been dropped.
 */
struct store_changes *store_mirror_since(const struct store_mirror *m,
					 uint64_t revision);

#endif
