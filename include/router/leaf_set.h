#ifndef ROUTER_LEAF_SET_H
#define ROUTER_LEAF_SET_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "engine/latency.h"
#include "router/extra_calls.h"

/** Routes whose call durations a leaf remembers separately. */
#define LEAF_ROUTES_MAX 4

/** Entry of one leaf in the service registry. */
struct leaf_entry {
	char *id;
	char *service;
	struct sockaddr_in address;
	char *domain;
	uint32_t slots;
	bool is_draining;
	/** Time for which the leaf is still slow after its start. */
	int64_t warm_up_us;
	/** Start of the leaf, Unix time in ms; a restart raises it. */
	int64_t started_ms;
	/** Grows with every report of one start. */
	int64_t sequence;
};

enum leaf_phase {
	LEAF_IN_SERVICE,
	LEAF_LEAVING,
	/** Not in the registry any more. */
	LEAF_REMOVED,
};

struct route_stats;

/** Smoothed duration of the calls of one route to a leaf. */
struct leaf_duration {
	const struct route_stats *route;
	double mean_us;
	int64_t at_us;
};

enum leaf_distance {
	LEAF_SAME_DOMAIN,
	LEAF_SAME_REGION,
	LEAF_OTHER_REGION,
};

/** Leaf as this host knows it. */
struct route_leaf {
	int refs;
	struct leaf_entry entry;
	struct upstream_pool *pool;
	enum leaf_phase phase;
	/** Until when a leaf that leaves may be used for want of another. */
	int64_t usable_until_us;
	int64_t warm_at_us;
	enum leaf_distance distance;
	/** Between 0 and 1; the same for a host and leaf at all times. */
	double preference;
	/** Calls of this host under way, oldest first. */
	GQueue calls;
	/** Calls that this host may have under way at the leaf. */
	double window;
	int64_t shrunk_at_us;
	/** The leaf has refused a call for want of room. */
	int64_t full_until_us;
	/** Requests of other hosts at the last reply, and its time. */
	double others;
	int64_t reported_at_us;
	/** Smoothed share of calls that failed. */
	double failure_rate;
	int64_t failed_at_us;
	uint32_t failures_in_row;
	int64_t ejected_until_us;
	/** Last time that an ejected leaf was tried, or was ejected. */
	int64_t probed_at_us;
	struct leaf_duration durations[LEAF_ROUTES_MAX];
	uint32_t duration_count;
	uint32_t duration_next;
	/** State of the adapter that holds the connections. */
	void *endpoint;
};

/** Leaves of one upstream service, kept across versions of the routes. */
struct upstream_pool {
	char *name;
	GPtrArray *leaves;
	struct extra_calls extra;
	/** Parts that wait for a leaf of the pool. */
	uint32_t waiting;
	/** Connections that a leaf of the pool accepts from all hosts. */
	uint32_t max_connections;
};

/** All leaves of the registry. */
struct leaf_set {
	char *host;
	char *domain;
	/** Region by failure domain. */
	GHashTable *regions;
	GHashTable *pools;
	GHashTable *leaves;
	/** Called before a leaf's memory is freed. */
	void (*handle_leaf_end)(void *ctx, struct route_leaf *leaf);
	void *ctx;
};

void leaf_entry_clear(struct leaf_entry *e);

/**
 * Creates an empty set for a host in a failure domain. The domains, as
 * "domain=region", may be NULL.
 */
void leaf_set_init(struct leaf_set *s, const char *host, const char *domain,
		   char *const *domains);
void leaf_set_clear(struct leaf_set *s);

/** Returns how far a failure domain is from this host's own. */
enum leaf_distance leaf_set_distance(const struct leaf_set *s,
				     const char *domain);

/** Returns the pool of a service; creates it on first use. */
struct upstream_pool *leaf_set_pool(struct leaf_set *s, const char *service);

/**
 * Takes an entry of the registry and leaves it empty. Returns false if it is
 * older than what is known of the leaf.
 */
bool leaf_set_put(struct leaf_set *s, struct leaf_entry *e, int64_t now_us);

/**
 * Notes that the registry no longer holds a leaf, which may be used for
 * grace_us more.
 */
void leaf_set_remove(struct leaf_set *s, const char *id, int64_t grace_us,
		     int64_t now_us);

/**
 * Notes that the leaf no longer has its address. It is not used again unless
 * the registry has news of it.
 */
void leaf_set_lose(struct route_leaf *leaf, int64_t now_us);

/** Removes every leaf whose id is not in the table. */
void leaf_set_retain(struct leaf_set *s, GHashTable *ids, int64_t grace_us,
		     int64_t now_us);

/** Forgets leaves that are out of use and have no calls under way. */
void leaf_set_sweep(struct leaf_set *s, int64_t now_us);

struct route_leaf *route_leaf_ref(struct route_leaf *leaf);
void route_leaf_unref(struct leaf_set *s, struct route_leaf *leaf);

/** Returns whether the leaf may be sent new requests. */
bool route_leaf_is_usable(const struct route_leaf *leaf, int64_t now_us);

#endif
