#ifndef ROUTER_DIRECTORY_H
#define ROUTER_DIRECTORY_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "router/leaf_set.h"

/** Record that a host publishes about itself. */
struct host_record {
	char *name;
	/** IP number and port for links between hosts. */
	char *address;
	char *domain;
	/** Processor time that the host may use, in thousandths of a core. */
	uint32_t capacity;
	/** Lease under which the record was written; 0 if not known. */
	uint64_t lease;
	/** Era of the store in which the lease was granted; 0 if not known. */
	uint64_t era;
	/** The host has waited until it may grant, under this lease. */
	bool has_joined;
	/** The host stops: no requests are sent to it. */
	bool is_stopping;
};

/** Host of the fleet, with its state as seen by this host. */
struct known_host {
	struct host_record record;
	enum leaf_distance distance;
	/** The host did not respond; it is not chosen before this time. */
	int64_t suspect_until_us;
	/** The host has lost the store; it is not followed before this time. */
	int64_t no_feed_until_us;
	/** First claim of a share that the host has not answered, or 0. */
	int64_t rates_asked_us;
	/** Last empty claim, sent to find out whether the host answers. */
	int64_t rates_probed_us;
	/** Last claim of a third host for a limit that this one should divide. */
	int64_t rates_missed_us;
	/** First claim of tokens that the host has not answered, or 0. */
	int64_t tokens_asked_us;
	/** Last claim that was sent to the host. */
	int64_t tokens_sent_us;
	/** Last empty claim, sent to find out whether the host answers. */
	int64_t tokens_probed_us;
	bool is_token_silence_logged;
	/** Its silence has been logged. */
	bool is_silence_logged;
	/** Not used. */
	uint32_t outstanding;
	/** Orders hosts of equal capacity. */
	uint64_t name_hash;
	/** As of host_directory_rate_region(); interned. */
	const char *rate_region;
};

/** Host whose record was removed. */
struct gone_host {
	uint64_t name_hash;
	uint32_t capacity;
	/** Region of the host; borrowed from the names of regions or domains. */
	const char *region;
	const char *rate_region;
	/**
	 * It has another capacity or failure domain, and may grant until it
	 * learns of that.
	 */
	bool is_running;
};

/**
 * Hosts of the fleet. All hosts compute the same ranks from the same records.
 * So they agree, without messages, on which hosts watch the store and which
 * hosts gather.
 */
struct host_directory {
	const struct leaf_set *leaves;
	char *self;
	GHashTable *hosts;
	/** Grows when a host is added, replaced or removed. */
	uint64_t generation;
	/** Of struct gone_host, until they are taken out; the latest last. */
	GArray *gone;
	/** Rate regions that hosts have left, until they are taken out. */
	GHashTable *left_regions;
	/**
	 * Number of hosts in the region that gather, as of gatherers_at_us. It
	 * grows when a gathering host is busy and decays exponentially.
	 */
	double gatherers;
	int64_t gatherers_at_us;
};

void host_directory_init(struct host_directory *d, const char *self,
			 const struct leaf_set *leaves);
void host_directory_clear(struct host_directory *d);

void host_record_clear(struct host_record *r);

/**
 * Returns whether a host has the same place among the owners of keys under both
 * records.
 */
bool host_record_has_same_rank(const struct host_record *a,
			       const struct host_record *b);

/**
 * Sends no requests to a host that did not respond until a time. A host that
 * stops is avoided for as long as its record states that.
 */
void known_host_avoid(struct known_host *h, int64_t until_us);

/** Adds or updates a host. Takes over the strings of the record; clears it. */
void host_directory_put(struct host_directory *d, struct host_record *r);
void host_directory_remove(struct host_directory *d, const char *name);
struct known_host *host_directory_find(struct host_directory *d,
				       const char *address);

/** Returns whether a host of the directory is this host. */
bool host_directory_is_self(const struct host_directory *d,
			    const struct known_host *h);

/** Returns whether this host watches the store for its region. */
bool host_directory_is_feed(struct host_directory *d);

/** Returns whether this host is to watch the store when the feed is lost. */
bool host_directory_is_standby(struct host_directory *d);

/**
 * Returns whether this host may follow the host with the address. If address is
 * NULL, returns whether other hosts may follow this host.
 */
bool host_directory_may_feed(struct host_directory *d, const char *address);

/** Returns the feeds of all regions except this host; free the array. */
GPtrArray *host_directory_other_feeds(struct host_directory *d);

/** Returns the host to follow instead of watching the store, or NULL. */
struct known_host *host_directory_choose_feed(struct host_directory *d,
					      int64_t now_us);

/**
 * Returns the host of this region that is to gather for a route, or NULL if
 * this host gathers itself. shard_counts holds, by failure domain, the number
 * of shards that have a leaf there. Sets is_gatherer to whether this host
 * gathers for others.
 */
struct known_host *host_directory_choose_gatherer(struct host_directory *d,
						  GHashTable *shard_counts,
						  GRand *random, int64_t now_us,
						  bool *is_gatherer);

/**
 * Returns the hosts of which the function above chooses one, of struct
 * known_host; empty if this host gathers itself. Free the array.
 */
GPtrArray *host_directory_list_gatherers(struct host_directory *d,
					 GHashTable *shard_counts,
					 int64_t now_us, bool *is_gatherer);

/** Returns the number of hosts that gather, in all regions together. */
uint32_t host_directory_count_gatherers(struct host_directory *d,
					int64_t now_us);

/** Hosts that divide the rate of a key; NULL where none is known. */
struct rate_owners {
	struct known_host *first;
	/** Stands in for the first while it is silent. */
	struct known_host *second;
};

/**
 * Returns the owners of a key: the first two hosts by a hash, those of the
 * region of a failure domain before others. If domain is empty, or a region as
 * of host_directory_rate_region(), hosts with more capacity come first.
 */
struct rate_owners host_directory_rate_owners(struct host_directory *d,
					      const char *key,
					      const char *domain);

/**
 * Returns the region of a failure domain in the form that the keys of rates
 * have: "=" and its name, which no failure domain has, or "=" if none is
 * configured. The text is interned.
 */
const char *host_directory_rate_region(const struct host_directory *d,
				       const char *domain);

/** Returns the regions of all hosts in this form; free the array. */
GPtrArray *host_directory_list_regions(const struct host_directory *d);

/** Returns the regions that hosts have left since the last call; free it. */
GPtrArray *host_directory_take_left_regions(struct host_directory *d);

/** Returns the hosts removed since the last call; free the array. */
GArray *host_directory_take_gone(struct host_directory *d);

/**
 * Returns whether a host that is gone came before a present host among the
 * owners of a key.
 */
bool host_directory_was_before(const struct host_directory *d,
			       const struct gone_host *gone,
			       const struct known_host *h, const char *key,
			       const char *domain);

/**
 * Returns the other hosts with the most capacity of a region, which own its
 * quotas, in an order that is the same for all hosts. Free the array.
 */
GPtrArray *host_directory_strongest(struct host_directory *d,
				    const char *region);

/** Notes that a gathering host was busy: more hosts gather for a while. */
void host_directory_note_busy(struct host_directory *d, int64_t now_us);

/**
 * Returns one of the two other hosts with the most capacity in a failure domain
 * of this region, or NULL.
 */
struct known_host *host_directory_choose_in_domain(struct host_directory *d,
						   const char *domain,
						   GRand *random,
						   int64_t now_us);

#endif
