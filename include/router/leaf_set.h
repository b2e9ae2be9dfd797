#ifndef ROUTER_LEAF_SET_H
#define ROUTER_LEAF_SET_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "engine/latency.h"
#include "router/extra_calls.h"
#include "router/shared_rate.h"
#include "router/token_lease.h"
#include "router/triage.h"

/** Maximum number of routes whose call durations are kept for a leaf. */
#define LEAF_ROUTES_MAX 4

/**
 * A draining leaf still serves for the drain time of the platform, which is at
 * least 3 s. It gets calls for this time if there is no other leaf.
 */
#define LEAVING_GRACE_US (1200 * US_PER_MS)

/** Entry of one leaf in the service registry. */
struct leaf_entry {
	char *id;
	char *service;
	struct sockaddr_in address;
	char *domain;
	uint32_t slots;
	bool is_draining;
	/** Time left until the leaf has warmed up after its start. */
	int64_t warm_up_us;
	/** Start of the leaf, Unix time in ms; greater after a restart. */
	int64_t started_ms;
	/** Grows with every report between two starts of the leaf. */
	int64_t sequence;
};

enum leaf_phase {
	LEAF_IN_SERVICE,
	/** The registry lists the leaf as draining. */
	LEAF_LEAVING,
	/**
	 * No longer in the registry, or its address belongs to another leaf.
	 */
	LEAF_REMOVED,
};

struct route_stats;

/** Moving average of the duration of one route's calls to a leaf. */
struct leaf_duration {
	/** Id of the route's struct route_stats. */
	uint64_t route_id;
	double mean_us;
	int64_t at_us;
};

enum leaf_distance {
	LEAF_SAME_DOMAIN,
	LEAF_SAME_REGION,
	LEAF_OTHER_REGION,
};

/** Leaf, with its state as seen by this host. */
struct route_leaf {
	int refs;
	struct leaf_entry entry;
	/** When the entry was last written, as far as this host has seen. */
	int64_t written_us;
	struct upstream_pool *pool;
	enum leaf_phase phase;
	/**
	 * A draining or removed leaf is called until this time if there is no
	 * other.
	 */
	int64_t usable_until_us;
	/**
	 * The leaf is cold until this time, as its entry or a reply stated
	 * last: calls are expected to take longer, and the warm-up rate of its
	 * upstream applies.
	 */
	int64_t cold_until_us;
	/** When a reply last stated that time, or 0. */
	int64_t cold_told_us;
	enum leaf_distance distance;
	/** Bit of the region; 0 if the region is not known. */
	uint64_t region;
	/** Nothing may be sent to the leaf: its failure domain is evacuated. */
	bool is_evacuated;
	/** Constant between 0 and 1 for each pair of host and leaf. */
	double preference;
	/** Calls of this host in flight, oldest first. */
	GQueue calls;
	/** Maximum number of calls of this host in flight. */
	double concurrency_limit;
	int64_t shrunk_at_us;
	/** The leaf refused a call as full: it gets none until this time. */
	int64_t full_until_us;
	/** Calls of other hosts at the leaf, when it last reported its load. */
	double other_host_calls;
	int64_t reported_at_us;
	/**
	 * Time that work took at the leaf when it last told, as a factor on the
	 * usual time; 0 if it has never told.
	 */
	double work_factor;
	int64_t work_factor_at_us;
	/** Moving average of the share of failed calls, and its last update. */
	double failure_rate;
	int64_t failure_rate_at_us;
	uint32_t consecutive_failures;
	int64_t ejected_until_us;
	/** When the leaf was last called or ejected. */
	int64_t probed_at_us;
	struct leaf_duration durations[LEAF_ROUTES_MAX];
	uint32_t duration_count;
	/** Entries added so far; the next index modulo LEAF_ROUTES_MAX. */
	uint32_t duration_next;
	struct shared_rate rate;
	/** Tokens for calls while the leaf is cold. */
	struct token_lease cold;
	/** Calls wanted since the last claim that had no token. */
	uint32_t cold_wanted;
	/** The leaf is in the list of cold leaves. */
	bool is_listed_cold;
	/** State of the adapter that holds the connections. */
	void *endpoint;
};

/** Leaves of one upstream service, kept when a new table is put in force. */
struct upstream_pool {
	char *name;
	GPtrArray *leaves;
	struct extra_calls extra;
	/** Parts that wait for a leaf of the pool. */
	struct triage_queue waiting;
	/** One-based index among the pools with such parts, or 0. */
	guint waiting_position;
	/** Work of waiting parts that starts in each microsecond. */
	double drain;
	/** When a part that may be sent to all leaves told so. */
	int64_t drain_at_us;
	/** Requests that were started or refused for lack of capacity. */
	struct triage_class classes[TRIAGE_PRIORITIES];
	/** Work of a call of any route. */
	struct work_estimate work;
	/** The same by the priority of the request. */
	struct work_estimate priority_work[TRIAGE_PRIORITIES];
	/** Shortest latency goal of the routes to the pool; 0 if none. */
	int64_t shortest_goal_us;
	/** Connections that a leaf accepts from all hosts together. */
	uint32_t max_connections;
	/** Calls a second that a cold leaf takes from all hosts; 0: no limit. */
	double warm_up_per_s;
	/** Version of the table that says so. */
	uint64_t warm_up_version;
};

/** All leaves of the registry. */
struct leaf_set {
	/** Time for which a leaf that begins to drain is called if need be. */
	int64_t leaving_grace_us;
	/**
	 * The entries that are put come from a copy of the registry: older ones
	 * than those known are never news.
	 */
	bool is_reading_copy;
	char *host;
	char *domain;
	/** Region by failure domain. */
	GHashTable *regions;
	/** Bit number plus one by region. */
	GHashTable *region_bits;
	/** Failure domains that are evacuated. */
	GHashTable *evacuated;
	GHashTable *pools;
	GHashTable *leaves;
	/** Latest cold_until_us of all leaves. */
	int64_t cold_until_us;
	/** Counts of the last sweep. */
	uint32_t evacuated_count;
	uint32_t cold_count;
	/** Called before the memory of a leaf is freed. */
	void (*handle_leaf_free)(void *ctx, struct route_leaf *leaf);
	void *ctx;
};

void leaf_entry_clear(struct leaf_entry *e);

/**
 * Creates an empty set for a host in a failure domain. domains lists entries
 * "domain=region" and may be NULL.
 */
void leaf_set_init(struct leaf_set *s, const char *host, const char *domain,
		   char *const *domains);
void leaf_set_clear(struct leaf_set *s);

/** Returns how far a failure domain is from this host's own. */
enum leaf_distance leaf_set_distance(const struct leaf_set *s,
				     const char *domain);

/**
 * Returns the bit of the region of a failure domain, or 0 if the region is not
 * known.
 */
uint64_t leaf_set_region(const struct leaf_set *s, const char *domain);

/**
 * Returns the bits of the regions in a list, or UINT64_MAX for NULL: no limit.
 * Names of unknown regions have no bit.
 */
uint64_t leaf_set_regions(const struct leaf_set *s, char *const *regions);

/**
 * Notes whether a failure domain is evacuated, also for leaves that are added
 * later. Returns whether that is a change.
 */
bool leaf_set_set_evacuated(struct leaf_set *s, const char *domain,
			    bool is_evacuated);

/** Returns the pool of a service; creates it on first use. */
struct upstream_pool *leaf_set_get_pool(struct leaf_set *s,
					const char *service);

/**
 * Adds or updates a leaf from an entry of the registry, which is cleared.
 * Returns false if the entry is older than the current one of the leaf.
 */
bool leaf_set_put(struct leaf_set *s, struct leaf_entry *e, int64_t now_us);

/**
 * Notes that the registry no longer lists a leaf. It may be called for grace_us
 * more if there is no other.
 */
void leaf_set_remove(struct leaf_set *s, const char *id, int64_t grace_us,
		     int64_t now_us);

/**
 * Notes that the address of a leaf now belongs to another one. The leaf is not
 * called until the registry sends a new entry for it.
 */
void route_leaf_lose_address(struct route_leaf *leaf, int64_t now_us);

/** Notes that a reply of a leaf states for how long it remains cold. */
void leaf_set_note_warm_up(struct leaf_set *s, struct route_leaf *leaf,
			   int64_t left_us, int64_t now_us);

/** Like leaf_set_remove() for every leaf whose id is not in the table. */
void leaf_set_retain(struct leaf_set *s, GHashTable *ids, int64_t grace_us,
		     int64_t now_us);

/**
 * Frees removed leaves that are not usable and have no calls in flight, and
 * counts the evacuated and cold ones.
 */
void leaf_set_sweep(struct leaf_set *s, int64_t now_us);

struct route_leaf *route_leaf_ref(struct route_leaf *leaf);
void route_leaf_unref(struct leaf_set *s, struct route_leaf *leaf);

/** Returns whether the warm-up rate of its upstream limits the leaf now. */
bool route_leaf_is_cold(const struct route_leaf *leaf, int64_t now_us);

/** Returns whether new calls may be sent to the leaf. */
bool route_leaf_is_usable(const struct route_leaf *leaf, int64_t now_us);

/** Returns the concurrency limit of a leaf of which no reply is known yet. */
double leaf_set_initial_concurrency(const struct route_leaf *leaf);

#endif
