#ifndef TEST_UNIT_FAKE_STORE_H
#define TEST_UNIT_FAKE_STORE_H

#include <glib.h>

#include "objects/objects.h"
#include "store/publish.h"
#include "store/store.h"

/** Key-value store in memory with failures on demand. */
struct fake_store {
	struct store store;
	int64_t revision;
	/** Every change so far, oldest first. */
	GPtrArray *changes;
	/** All calls fail; nothing takes effect. */
	bool is_down;
	/** Gets are answered as of this revision; 0: the newest. */
	int64_t stale_revision;
	/**
	 * Bit i: the reply to transaction i that writes is lost after it took
	 * effect (lost_replies) or before it could (lost_writes). Numbered
	 * from 0.
	 */
	uint64_t lost_replies;
	uint64_t lost_writes;
	/** The store is down from this transaction on; -1: never. */
	int down_after;
	int writes;
	/** Runs before transaction hook_at that writes. */
	void (*hook)(void *ctx);
	void *hook_ctx;
	int hook_at;
	/** The one watch, if is_watched. */
	struct store_done watcher;
	bool is_watched;
	/** Calls that change nothing. */
	int reads;
};

void fake_store_init(struct fake_store *f);
void fake_store_clear(struct fake_store *f);

/** Changes a key, as another client would. */
void fake_store_put(struct fake_store *f, const char *key, const char *value);

/** Ends the watch with a code. */
void fake_store_end_watch(struct fake_store *f, int code);

/** Returns a valid set whose one domain has this name. */
struct object_set *fake_set(const char *domain, int services);

/** Publishes such a set; the token is the author as well. */
void fake_publish(struct fake_store *f, const char *domain, const char *token,
		  struct publish_result *out);

#endif
