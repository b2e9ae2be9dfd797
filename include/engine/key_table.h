#ifndef ENGINE_KEY_TABLE_H
#define ENGINE_KEY_TABLE_H

#include <stdbool.h>

#include <glib.h>

#include "engine/engine.h"
#include "engine/heap.h"

/** Time after its creation for which the outcome of a request key is kept. */
#define KEY_WINDOW_US (600 * US_PER_S)

/** Largest clock skew assumed between callers and hosts. */
#define KEY_SKEW_US (2 * US_PER_S)

enum key_state {
	KEY_RUNNING,
	KEY_DONE,
	KEY_UNKNOWN,
};

struct query;

/** One request key and the outcome of its run. */
struct key_entry {
	char *name;
	enum key_state state;
	/** Query that runs or ran for the key. */
	uint64_t query_id;
	/** List of the queries that wait for the run to end. */
	struct query *waiters;
	int64_t created_us;
	/** Copy of the run's outcome; set when the run ends. */
	struct engine_outcome outcome;
	struct heap_node expiry;
};

struct key_table {
	GHashTable *entries;
	struct heap expiry;
	uint32_t max_keys;
	/**
	 * Latest wall time seen. It never decreases, so that a clock set back
	 * does not let an expired key run again.
	 */
	int64_t wall_us;
};

void key_table_init(struct key_table *t, uint32_t max_keys);
void key_table_clear(struct key_table *t);

/** Returns the entry of a service's key, or NULL. */
struct key_entry *key_table_find(struct key_table *t, const char *service,
				 const char *key);

/** Adds a key in state KEY_RUNNING. Returns 0 or -ERR_KEY_TABLE_FULL. */
int key_table_add(struct key_table *t, const char *service, const char *key,
		  int64_t created_us, struct key_entry **out);

/**
 * Returns 0 if a key that is not in the table cannot have run, or
 * -ERR_KEY_UNKNOWN if it may have: its creation time is before the tenure,
 * older than the window, or in the future.
 */
int key_table_check_created(const struct key_table *t, int64_t created_us,
			    int64_t tenure_start_us);

/** Keeps the outcome of a run that was done, or may have been, until expiry. */
void key_table_keep(struct key_table *t, struct key_entry *entry,
		    const struct engine_outcome *outcome);

/** Removes a key and its outcome. */
void key_table_remove(struct key_table *t, struct key_entry *entry);

/** Advances the table's wall time; an earlier time is ignored. */
void key_table_set_time(struct key_table *t, int64_t wall_us);

/** Removes one key whose window has passed; returns its query id, or 0. */
uint64_t key_table_expire(struct key_table *t);

#endif
