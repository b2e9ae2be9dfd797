#ifndef ROUTER_TABLE_H
#define ROUTER_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

struct key_index;

/** Upstream service to which routes refer. */
struct route_upstream {
	char *name;
	char *health_path;
	/** Connections that a leaf accepts from all hosts together. */
	uint32_t max_connections;
	/** Time for which a leaf is cold after its start. */
	int64_t warm_up_us;
	/** Calls a second that a cold leaf takes from all hosts; 0: no limit. */
	double warm_up_per_s;
};

/** Tenant whose callers are known by their keys. */
struct organisation {
	char *name;
	/** The priority replaces that of the routes. */
	bool has_priority;
	uint32_t priority;
	/** Quota of all hosts together; no limit if both are 0. */
	double max_per_s;
	double burst;
	/** Regions in which its requests may be served; NULL for all. */
	char **regions;
};

/** Destination of a route: a shard, or one upstream of a weighted split. */
struct route_target {
	/** Index into the upstreams of the table. */
	uint32_t upstream;
	/** Of a split: 0 or more; only the ratio to the others matters. */
	double weight;
};

enum route_shape {
	/** One upstream answers. */
	ROUTE_SINGLE,
	/** One of several upstreams answers, chosen by weight. */
	ROUTE_SPLIT,
	/** Every upstream is a shard and answers a part of the request. */
	ROUTE_GATHER,
};

struct route {
	char *name;
	char *host;
	/** Begins and ends with a slash. */
	char *prefix;
	enum route_shape shape;
	bool is_idempotent;
	/** Maximum number of calls of a request that a target's leaves run. */
	uint32_t max_attempts;
	int64_t timeout_us;
	/** Time within which an answer has its full value. */
	int64_t goal_us;
	/** 0 is the most urgent. */
	uint32_t priority;
	/** Maximum number of records in a gathered answer. */
	uint32_t top_k;
	/** Minimum share of the shards in a gathered answer. */
	double min_coverage;
	/** Requests need no key. */
	bool is_public;
	/** Regions in which requests may be served; NULL for all. */
	char **regions;
	struct route_target *targets;
	uint32_t target_count;
};

/** Limits on the requests and connections of callers. */
struct caller_limits {
	uint32_t max_header_bytes;
	uint32_t max_body_bytes;
	int64_t header_timeout_us;
	int64_t idle_timeout_us;
};

/** One version of the operator's routes. Immutable; reference-counted. */
struct route_table {
	int refs;
	uint64_t version;
	struct route *routes;
	uint32_t route_count;
	struct route_upstream *upstreams;
	uint32_t upstream_count;
	/** Callers need a key of an organisation. */
	bool has_organisations;
	struct organisation *organisations;
	uint32_t organisation_count;
	/** Organisations by name. */
	GHashTable *organisation_names;
	/** Indexes of organisations by the digests of their keys. */
	struct key_index *keys;
	struct caller_limits limits;
	/** Routes of each host, longest prefix first. */
	GHashTable *hosts;
};

/** Creates an empty table with one reference; fill it, then seal it. */
struct route_table *route_table_create(uint32_t routes, uint32_t upstreams);
/** Makes room for organisations. Callers need a key from now on. */
void route_table_add_organisations(struct route_table *t, uint32_t count);
/**
 * Adds a key of an organisation, given by its index. Only a digest is kept.
 * Returns the index of the organisation that has the key: another one if the
 * key was added for it before, which makes the table invalid. An empty key is
 * ignored, since requests cannot have it.
 */
uint32_t route_table_add_key(struct route_table *t, uint32_t organisation,
			     const char *key);
struct route_table *route_table_ref(struct route_table *t);
void route_table_unref(struct route_table *t);

/**
 * Checks the whole table and builds its index. Returns 0, or -ERR_ROUTE_TABLE
 * with the name of the bad route and its fault in message.
 */
int route_table_seal(struct route_table *t, char *message, size_t len);

/**
 * Returns the route with the longest matching prefix, or NULL. The host may
 * include a port; the path may include a query.
 */
const struct route *route_table_match(const struct route_table *t,
				      const char *host, const char *path);

/** Returns the organisation with a name, or NULL. The name may be NULL. */
const struct organisation *
route_table_find_organisation(const struct route_table *t, const char *name);

#endif
