#ifndef STORE_MIRROR_H
#define STORE_MIRROR_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "store/store_time.h"

/** Last change of a key: its value, or a tombstone. */
struct store_item {
	char *key;
	/** NULL if the item is a tombstone. */
	guchar *value;
	gsize value_len;
	/** Time of the change. */
	struct store_time time;
};

/** Changes of the store between two times of one era. */
struct store_changes {
	/** Covers the changes after from, up to to. */
	struct store_time from;
	struct store_time to;
	/**
	 * The items are all keys of the store whose last change is in this
	 * span. A key that was last changed in it and has no item is deleted,
	 * or changed again after to.
	 */
	bool is_complete;
	/** Array of struct store_item. */
	GArray *items;
};

struct store_changes *store_changes_create(void);
/** Creates changes of one span. */
struct store_changes *store_changes_between(struct store_time from,
					    struct store_time to);
/** Sets the era of the span and of all items. */
void store_changes_set_era(struct store_changes *c, uint64_t era);
void store_changes_free(struct store_changes *c);
/** Adds a copy of an item. */
void store_changes_add(struct store_changes *c, const struct store_item *i);

/**
 * Splits changes into pieces of at most max_bytes, or of one item. A mirror
 * that has applied some of the pieces in order misses no change up to its
 * time. Returns an array of struct store_changes, which frees them.
 */
GPtrArray *store_changes_split(const struct store_changes *c, size_t max_bytes);

/**
 * Local copy of the store keys that hosts use, at one time. When the store
 * begins a new era, keys that it lacks are held over: their writers may be
 * alive and write them again.
 */
struct store_mirror {
	/** Items by key, including tombstones of the present era. */
	GHashTable *items;
	struct store_time now;
	/** Tombstones up to this time may be missing. */
	struct store_time dropped;
	/**
	 * End of the last complete changes. Those that come in several pieces
	 * are applied in order.
	 */
	struct store_time listed;
	/** Number of items of earlier eras. */
	uint32_t held_count;
};

void store_mirror_init(struct store_mirror *m);
void store_mirror_clear(struct store_mirror *m);

/**
 * Applies changes to the mirror, and removes from the changes the items that
 * the mirror has already and those that a later item supersedes. Complete
 * changes get a tombstone for each deleted key, and remain complete only if
 * they begin a new era. Changes of an earlier era than the mirror's are
 * emptied. Returns false and applies nothing if changes between the mirror's
 * time and these are missing.
 */
bool store_mirror_apply(struct store_mirror *m, struct store_changes *c);

/**
 * Returns the changes after a time. They are complete, from the beginning of
 * the era, if the time is in another era or tombstones after it may be missing.
 */
struct store_changes *store_mirror_since(const struct store_mirror *m,
					 struct store_time time);

/**
 * Forgets the items of earlier eras for which is_due() returns true. Returns
 * an array of their keys, which frees them.
 */
GPtrArray *store_mirror_drop_held(struct store_mirror *m,
				  bool (*is_due)(void *ctx, const char *key),
				  void *ctx);

#endif
