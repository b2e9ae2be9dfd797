#ifndef TEST_UNIT_FAKE_STORE_H
#define TEST_UNIT_FAKE_STORE_H

#include <glib.h>

#include "objects/objects.h"
#include "store/publish.h"
#include "store/store.h"

/** In-memory key-value store with fault injection. */
struct fake_store {
	struct store store;
	int64_t revision;
	/** All changes (struct change), oldest first. */
	GPtrArray *changes;
	/** All calls fail without effect. */
	bool is_down;
	/** Revision whose values are read; 0: the newest. */
	int64_t stale_revision;
	/**
	 * Bit i applies to the i-th transaction with puts, counted from 0: with
	 * lost_replies it takes effect but its reply is lost, with lost_writes
	 * it is lost and has no effect.
	 */
	uint64_t lost_replies;
	uint64_t lost_writes;
	/** The store is down from this write on; -1: never. */
	int down_after_writes;
	/** Number of transactions with puts so far. */
	int write_count;
	/** Called before the write with the number before_write_number. */
	void (*before_write)(void *ctx);
	void *before_write_ctx;
	int before_write_number;
	/** Callback of the only watch, if is_watched. */
	struct store_callback watcher;
	bool is_watched;
	/** Number of gets and of transactions without puts so far. */
	int read_count;
};

void fake_store_init(struct fake_store *f);
void fake_store_clear(struct fake_store *f);

/** Writes a key as another client would; a NULL value deletes it. */
void fake_store_put(struct fake_store *f, const char *key, const char *value);

/** Ends the watch with a negative code. */
void fake_store_end_watch(struct fake_store *f, int code);

/** Returns a valid set with one domain of this name and some services. */
struct object_set *fake_set_create(const char *domain, int services);

/** Publishes a set with one service; the author is the token. */
void fake_publish(struct fake_store *f, const char *domain, const char *token,
		  struct publish_result *out);

#endif
