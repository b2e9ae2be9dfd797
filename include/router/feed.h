#ifndef ROUTER_FEED_H
#define ROUTER_FEED_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "router/directory.h"
#include "store/mirror.h"

/**
 * Decides from whom this host learns the changes of the store. A few hosts of
 * each region watch it; the others follow one of them, since each call to the
 * store is paid for. A host without anybody to follow watches by itself.
 */
struct feed;

/** How a host watches the store. */
enum feed_watch {
	FEED_WATCH_OFF,
	/** Without a break. */
	FEED_WATCH_ON,
	/**
	 * Now and then until the store answers: other hosts are more likely to
	 * be served, and all together must not burden a store in trouble.
	 */
	FEED_WATCH_RARELY,
};

struct feed_ops {
	/** Asks a host for changes after the revision of the mirror. */
	void (*subscribe)(void *ctx, const char *address, uint64_t revision);
	void (*unsubscribe)(void *ctx, const char *address);
	/** Sends changes to a follower. */
	void (*send_changes)(void *ctx, const char *address,
			     const struct store_changes *c);
	void (*send_pulse)(void *ctx, const char *address, uint64_t revision,
			   bool is_store_up);
	void (*set_watch)(void *ctx, enum feed_watch watch);
	/**
	 * Tells that the store is back after the followed host had lost it:
	 * entries of leaves may have lapsed meanwhile.
	 */
	void (*note_store_back)(void *ctx);
};

struct feed_options {
	struct np_clock clock;
	struct host_directory *directory;
	const struct store_mirror *mirror;
	const struct feed_ops *ops;
	void *ctx;
};

void feed_create(struct feed **out, const struct feed_options *options);
void feed_destroy(struct feed *f);

/** Runs what is due; returns the monotonic time of the next call. */
int64_t feed_advance(struct feed *f);

/** Tells whether the store answers this host. */
void feed_note_store(struct feed *f, bool is_up);

/** Hands on changes that this host has taken from the store. */
void feed_publish(struct feed *f, const struct store_changes *c);

/** Takes the request of another host to follow this one. */
void feed_handle_subscribe(struct feed *f, const char *address,
			   uint64_t revision);
void feed_handle_unsubscribe(struct feed *f, const char *address);

/** Takes a pulse of another host: its revision and whether it watches. */
void feed_handle_pulse(struct feed *f, const char *address, uint64_t revision,
		       bool is_store_up);

/** Notes that changes of another host could not be taken: some are missing. */
void feed_handle_gap(struct feed *f, const char *address);

/** Notes that the link to a host has closed. */
void feed_handle_closed(struct feed *f, const char *address);

/** Returns whether this host takes the changes from another one. */
bool feed_is_following(const struct feed *f);

#endif
