#ifndef ENGINE_VIEW_H
#define ENGINE_VIEW_H

#include <glib.h>

#include "engine/admission.h"
#include "engine/engine.h"
#include "engine/heap.h"
#include "engine/latency.h"
#include "engine/leaf.h"

/** Durations from which the admission limit is adapted once. */
#define SERVICE_WINDOW_MAX 64

/** State of a shard that is the same under every set. */
struct shard_slot {
	char *name;
	/** Hash for the choice of a shard by request key. */
	uint64_t hash;
	/** Shards of queries that wait for a free share of a replica. */
	struct heap waiting;
	/** Next replica of the baseline policies. */
	uint32_t next;
};

/** State of a shard group. */
struct group_state {
	char *name;
	bool has_share;
	struct leaf_share share;
	/** Durations of answered leaf calls. */
	struct latency latency;
};

/** State of a service. */
struct service_state {
	char *name;
	/** Pin of the last query and the epoch in which it was made. */
	uint64_t pinned;
	uint64_t pin_epoch;
	/** Durations of whole queries, without the wait for admission. */
	struct latency latency;
	int64_t window[SERVICE_WINDOW_MAX];
	uint32_t window_count;
	int64_t window_start_us;
	/** Lowest recent median duration. */
	double base_us;
};

/**
 * An object set with the state behind its handles. State with the same name is
 * shared between sets; queries hold a reference to the view they began with.
 */
struct set_view {
	struct object_set *set;
	struct leaf **leaves;
	struct shard_slot **shards;
	struct group_state **groups;
	struct service_state **services;
	/** Admission pools by service. */
	struct admission_pool **pools;
	/** The same state by name. */
	GHashTable *leaf_names;
	GHashTable *shard_names;
	GHashTable *group_names;
	GHashTable *service_names;
	GHashTable *pool_names;
};

/**
 * Creates the view of a set, with one reference. State is taken over from the
 * previous view, which may be NULL; leaves that it did not have start cold.
 */
struct set_view *view_create(struct object_set *set,
			     const struct set_view *previous, int64_t now_us);
struct set_view *view_ref(struct set_view *v);
void view_unref(struct set_view *v);

/** Returns this host's share of a leaf of the group. */
struct leaf_share view_share(const struct set_view *v, obj_handle group);

#endif
