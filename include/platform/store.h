#ifndef PLATFORM_STORE_H
#define PLATFORM_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "router/directory.h"
#include "store/mirror.h"

/** Key of the operator's configuration. */
#define PLATFORM_CONFIG_KEY "op/config"
/** Prefix of the keys of leaf entries. */
#define PLATFORM_LEAF_PREFIX "servers/"
/** Prefix of the keys that name evacuated failure domains. */
#define PLATFORM_EVACUATION_PREFIX "op/evacuate/"
/** Prefix of the keys under which hosts publish their records. */
#define PLATFORM_HOST_PREFIX "nutmegpick/hosts/"

/** What a header line of a reply tells about the era of the store. */
enum store_era_line {
	/** The line is another header. */
	STORE_ERA_ABSENT,
	STORE_ERA_READ,
	STORE_ERA_UNREADABLE,
};

/** Reads a header line of a reply, which need not be terminated. */
enum store_era_line platform_store_read_era(const char *line, size_t len,
					    uint64_t *era);

/** HTTP request to the store. */
struct store_call {
	/** Path and query. */
	char *path;
	/** Body of a POST; NULL for other methods. */
	char *body;
};

void store_call_clear(struct store_call *c);

/**
 * Builds a GET that lists the keys with a prefix. Starts behind the key whose
 * bytes after holds, or at the first key if after is NULL or empty.
 */
struct store_call platform_store_list(const char *prefix,
				      const GByteArray *after);

/** Builds a GET that waits up to wait_ms for changes after a revision. */
struct store_call platform_store_watch(const char *prefix, uint64_t after,
				       int64_t wait_ms);

/** Builds a POST that grants a lease. */
struct store_call platform_store_grant_lease(int64_t ttl_ms);

/** Builds a POST that renews a lease. */
struct store_call platform_store_renew_lease(uint64_t lease);

/** Builds a DELETE that revokes a lease; the store deletes its keys. */
struct store_call platform_store_revoke_lease(uint64_t lease);

/** Builds a POST that writes or replaces a host's record under its lease. */
struct store_call platform_store_publish_host(const struct host_record *r);

/** Reply to a list or watch request. */
struct store_page {
	/** The items and the revision of the store. The era is 0. */
	struct store_changes *changes;
	/** Bytes of the last key if more pages follow, else empty. */
	GByteArray *next;
	/** Items that are left out, as their keys cannot be read. */
	uint32_t unread_count;
	/** Key of the first of them that has one, escaped; or NULL. */
	char *unread_key;
};

/**
 * Decodes the reply to a list or watch request. An item without a readable
 * value has an empty one, and an item without a readable revision has the
 * latest possible. Returns 0, or -ERR_INVAL, also for a page that does not tell
 * where the next one begins.
 */
int platform_store_decode_page(const char *data, size_t len,
			       struct store_page *out);

void store_page_clear(struct store_page *p);

/** Returns the lease of a platform_store_grant_lease() reply; 0 if none. */
uint64_t platform_store_decode_lease(const char *data, size_t len);

/** Decodes the record of a host. Returns 0 or -ERR_INVAL. */
int platform_decode_host(const char *name, const char *data, size_t len,
			 struct host_record *out);

#endif
