#ifndef STORE_MIRROR_H
#define STORE_MIRROR_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** Key of the store as it was written, or the note that it was deleted. */
struct store_item {
	char *key;
	/** NULL if the key was deleted. */
	guchar *value;
	gsize value_len;
	uint64_t revision;
};

/** Changes of the store from one revision to another. */
struct store_changes {
	/** All changes after this revision are contained. */
	uint64_t from;
	uint64_t to;
	/** The items are all that the store holds. */
	bool is_complete;
	/** Of struct store_item, oldest first. */
	GArray *items;
};

struct store_changes *store_changes_create(void);
void store_changes_free(struct store_changes *c);
/** Adds a copy of an item. */
void store_changes_add(struct store_changes *c, const struct store_item *i);

/** Copy of the keys of the store that hosts use, at one revision. */
struct store_mirror {
	GHashTable *items;
	uint64_t revision;
	/** Deletions up to this revision are forgotten. */
	uint64_t forgotten;
};

void store_mirror_init(struct store_mirror *m);
void store_mirror_clear(struct store_mirror *m);

/**
 * Takes changes and leaves in them only the items that are new. Returns false
 * if changes in between are missing; nothing was taken then.
 */
bool store_mirror_apply(struct store_mirror *m, struct store_changes *c);

/**
 * Returns the changes after a revision, or NULL if some of them are no longer
 * known.
 */
struct store_changes *store_mirror_since(const struct store_mirror *m,
					 uint64_t revision);

#endif
