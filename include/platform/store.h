#ifndef PLATFORM_STORE_H
#define PLATFORM_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/** Item of the store as it was written, or the note that it was deleted. */
struct store_item {
	char *key;
	/** Decoded value; NULL if the key was deleted. */
	guchar *value;
	gsize value_len;
	uint64_t revision;
};

/** Decoded answer to a list or watch call. */
struct store_page {
	/** Of struct store_item. */
	GArray *items;
	/** Revision of the store at the answer. */
	uint64_t revision;
	bool has_more;
};

/** Returns the path and query of a call that lists keys; free with g_free(). */
char *platform_store_list_path(const char *prefix, const char *after);

/**
 * Returns the path and query of a call that waits for changes after a
 * revision; free with g_free().
 */
char *platform_store_watch_path(const char *prefix, uint64_t after,
				int64_t wait_ms);

/** Decodes the answer to either call. Returns 0 or -ERR_INVAL. */
int platform_store_decode(const char *data, size_t len, struct store_page *out);
void store_page_clear(struct store_page *p);

#endif
