#ifndef ENGINE_VIEW_H
#define ENGINE_VIEW_H

#include <glib.h>

#include "engine/admission.h"
#include "engine/engine.h"
#include "engine/heap.h"
#include "engine/latency.h"
#include "engine/leaf.h"

/** Most query durations per adaptation of the admission limit. */
#define SERVICE_WINDOW_MAX 64

/** State of a shard, kept across object sets. */
struct shard_state {
	char *name;
	/** Hash of the name, to choose a shard by request key. */
	uint64_t hash;
	/** Query shards that wait for a replica, the highest worth first. */
	struct heap waiting;
	/** Counter of the baseline policies' round robin over the replicas. */
	uint32_t next;
};

/** State of a shard group, kept across object sets. */
struct group_state {
	char *name;
	bool has_share;
	struct leaf_share share;
	/** Durations of answered leaf calls. */
	struct latency latency;
};

/** State of a service, kept across object sets. */
struct service_state {
	char *name;
	/** Snapshot that was pinned last. */
	uint64_t pinned_snapshot;
	/** Value of the engine's snapshot_epoch when it was pinned. */
	uint64_t pin_epoch;
	/** Durations of queries, without the time in the admission queue. */
	struct latency latency;
	/** Query durations since the admission limit was last adapted. */
	int64_t window_us[SERVICE_WINDOW_MAX];
	uint32_t window_count;
	int64_t window_start_us;
	/** Lowest recent median duration: the latency without load. */
	double base_us;
};

/**
 * An object set and the state of the objects that its handles name. Views share
 * the state of objects with the same name. Queries hold a reference to the view
 * they started with.
 */
struct set_view {
	struct object_set *set;
	struct leaf **leaves;
	struct shard_state **shards;
	struct group_state **groups;
	struct service_state **services;
	/** Admission pools by service. */
	struct admission_pool **pools;
	/** The same state by name; the tables own the references. */
	GHashTable *leaf_names;
	GHashTable *shard_names;
	GHashTable *group_names;
	GHashTable *service_names;
	GHashTable *pool_names;
};

/**
 * Creates the view of a set, with one reference. Shares state with the previous
 * view, which may be NULL; leaves that it did not have begin a slow start.
 */
struct set_view *view_create(struct object_set *set,
			     const struct set_view *previous, int64_t now_us);
struct set_view *view_ref(struct set_view *v);
void view_unref(struct set_view *v);

/** Returns this host's share of each leaf of the group. */
struct leaf_share view_share(const struct set_view *v, obj_handle group);

#endif
