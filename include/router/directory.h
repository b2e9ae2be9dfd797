#ifndef ROUTER_DIRECTORY_H
#define ROUTER_DIRECTORY_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "router/leaf_set.h"

/** Record of a host, as hosts publish it of themselves. */
struct host_record {
	char *name;
	/** IP number and port for links between hosts. */
	char *address;
	char *domain;
	/** Processor time that the host may use, in thousandths of a core. */
	uint32_t capacity;
};

/** Host as this one knows it. */
struct known_host {
	struct host_record record;
	enum leaf_distance distance;
	/** The host did not respond; it is not chosen until this time. */
	int64_t suspect_until_us;
	/** The host has lost the store; it is not followed until this time. */
	int64_t no_feed_until_us;
	/** Requests forwarded to the host that are not answered yet. */
	uint32_t outstanding;
	uint64_t rank;
};

/**
 * Hosts of the fleet. All hosts compute the same ranks from the same records,
 * so they agree on who watches the store and who gathers without messages.
 */
struct host_directory {
	const struct leaf_set *leaves;
	char *self;
	GHashTable *hosts;
	/**
	 * Hosts of the region that gather, and when that was so. It grows when
	 * they are busy and falls back by itself.
	 */
	double gatherers;
	int64_t gatherers_at_us;
};

void host_directory_init(struct host_directory *d, const char *self,
			 const struct leaf_set *leaves);
void host_directory_clear(struct host_directory *d);

void host_record_clear(struct host_record *r);

/** Takes a record and leaves it empty. */
void host_directory_put(struct host_directory *d, struct host_record *r);
void host_directory_remove(struct host_directory *d, const char *name);
struct known_host *host_directory_find(struct host_directory *d,
				       const char *address);

/** Returns whether this host watches the store for the others of its region. */
bool host_directory_is_feed(struct host_directory *d);

/** Returns whether this host watches the store while the feed is lost. */
bool host_directory_is_standby(struct host_directory *d);

/**
 * Returns whether this host may follow the one with the address; with NULL,
 * whether others may follow this host.
 */
bool host_directory_may_feed(struct host_directory *d, const char *address);

/**
 * Returns the feeds of all regions but this host. The caller frees
 * the array.
 */
GPtrArray *host_directory_other_feeds(struct host_directory *d);

/** Returns the host to follow in place of the store, or NULL. */
struct known_host *host_directory_choose_feed(struct host_directory *d,
					      int64_t now_us);

/**
 * Returns the host of this region that is to gather for a route, or NULL if
 * this host gathers itself. local_leaves counts the shards with a leaf in
 * each failure domain. is_gatherer tells whether this host is one of those
 * that gather for others.
 */
struct known_host *host_directory_choose_gatherer(struct host_directory *d,
						  GHashTable *local_leaves,
						  GRand *random, int64_t now_us,
						  bool *is_gatherer);

/** Returns the number of hosts that gather, of all regions. */
uint32_t host_directory_count_gatherers(struct host_directory *d,
					int64_t now_us);

/** Notes that a gathering host had no time: more hosts gather for a while. */
void host_directory_note_busy(struct host_directory *d, int64_t now_us);

/** Returns a strong host of a failure domain, or NULL. */
struct known_host *host_directory_choose_in(struct host_directory *d,
					    const char *domain, GRand *random,
					    int64_t now_us);

#endif
