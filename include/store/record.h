#ifndef STORE_RECORD_H
#define STORE_RECORD_H

#include "store/publish.h"

/** Returns the JSON text of a record; free with free(). */
char *publish_record_encode(const struct publish_record *r);

/**
 * Decodes the record stored under key in a reply. Returns 0, or
 * -ERR_PUBLISH_NONE if the reply lacks the key, or -ERR_PUBLISH_RECORD.
 */
int publish_record_find(const struct store_reply *reply, const char *key,
			struct publish_record *out);

/** Returns the history key of a version; free with g_free(). */
char *publish_history_key(uint64_t version);

/** Returns the content hash that names a part; free with g_free(). */
char *publish_part_hash(const char *data, size_t len);

/** Returns 0, or -ERR_PUBLISH_HASH if the value does not match its hash. */
int publish_check_part(const struct store_entry *e, const char *hash);

#endif
