#ifndef ROUTER_FEED_H
#define ROUTER_FEED_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "router/directory.h"
#include "store/mirror.h"

/**
 * Selects the source from which this host gets the changes of the store. A few
 * hosts of each region watch the store and relay its changes; the others follow
 * one of them, since each call to the store is charged. A host that finds no
 * other host to follow watches the store itself.
 */
struct feed;

/** How a host watches the store. */
enum feed_watch {
	FEED_WATCH_OFF,
	/** All the time. */
	FEED_WATCH_ON,
	/**
	 * At long intervals until the store answers: other hosts are more
	 * likely to be served, and many hosts must not add load to a store that
	 * is failing.
	 */
	FEED_WATCH_RARELY,
};

struct feed_ops {
	/** Asks a host to send all changes after a time of the store. */
	void (*subscribe)(void *ctx, const char *address,
			  struct store_time time);
	void (*unsubscribe)(void *ctx, const char *address);
	/** Sends changes to a follower. */
	void (*send_changes)(void *ctx, const char *address,
			     const struct store_changes *c);
	/**
	 * Sends a heartbeat with the time of this host's mirror and whether
	 * the receiver may follow this host.
	 */
	void (*send_feed_heartbeat)(void *ctx, const char *address,
				    struct store_time time, bool is_store_up);
	void (*set_watch)(void *ctx, enum feed_watch watch);
	/**
	 * Notes that the store is reached again after a followed host had lost
	 * it: the leases of leaf entries may have expired in between.
	 */
	void (*note_store_back)(void *ctx);
	/**
	 * Notes that the followed host has failed or lost the store. Changes
	 * that arrive next may be old.
	 */
	void (*note_feed_lost)(void *ctx);
};

struct feed_options {
	struct np_clock clock;
	struct host_directory *directory;
	const struct store_mirror *mirror;
	/**
	 * Returns whether a key limits the use of what others hold, so that no
	 * host may know these without it. NULL if there are no such keys.
	 */
	bool (*is_restriction)(const char *key);
	const struct feed_ops *ops;
	void *ctx;
};

void feed_create(struct feed **out, const struct feed_options *options);
void feed_destroy(struct feed *f);

/** Runs the timers that are due; returns the time of the next one. */
int64_t feed_advance(struct feed *f);

/** Notes whether the store answers this host. */
void feed_note_store(struct feed *f, bool is_up);

/** Sends changes that this host has read from the store to its followers. */
void feed_publish(struct feed *f, const struct store_changes *c);

/** Handles the request of another host to follow this one. */
void feed_handle_subscribe(struct feed *f, const char *address,
			   struct store_time time);
void feed_handle_unsubscribe(struct feed *f, const char *address);

/**
 * Handles a heartbeat of another host: the time of its mirror, and whether it
 * watches the store and reaches it.
 */
void feed_handle_heartbeat(struct feed *f, const char *address,
			   struct store_time time, bool is_store_up);

/** Notes that changes of another host do not follow on those of the mirror. */
void feed_handle_gap(struct feed *f, const char *address);

/** Notes that the link to a host has closed. */
void feed_handle_closed(struct feed *f, const char *address);

/** Returns whether this host follows another one. */
bool feed_is_following(const struct feed *f);

/**
 * Returns when the followed host last told that it watches the store; 0 if none
 * is followed.
 */
int64_t feed_news_us(const struct feed *f);

#endif
