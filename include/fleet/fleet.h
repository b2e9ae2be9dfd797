#ifndef FLEET_FLEET_H
#define FLEET_FLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"
#include "fleet/membership.h"

/**
 * Decisions between hosts: membership, dissemination of the object set, seats
 * and key leases. Events go in through functions, actions come out through
 * struct fleet_ops. There are no sockets and no threads, and time comes from
 * the clock. It is used by one thread at a time.
 */
struct fleet;

/** Actions. Callbacks must not call the fleet. */
struct fleet_ops {
	/**
	 * Sends one whole frame, with its length prefix, to the peer that
	 * listens on the address. A frame may be lost.
	 */
	void (*send)(void *ctx, const char *address, const void *data,
		     size_t len);
	/** Fetches a version from a peer, or from the store if address is NULL.
	 */
	void (*fetch_set)(void *ctx, const char *address, uint64_t version);
	/** Starts or stops watching the pointer in the store. */
	void (*watch)(void *ctx, bool is_wanted);
	/**
	 * Hands over a PULL that names a part, or a SET; valid during the call.
	 */
	void (*part)(void *ctx, const struct frame *frame);
};

struct fleet_options {
	struct np_clock clock;
	uint64_t seed;
	const struct fleet_ops *ops;
	void *ctx;
	/** Host id, listening address and failure domain of this host. */
	const char *host;
	const char *address;
	const char *domain;
	/** Larger than at any earlier start of the same host id. */
	uint64_t incarnation;
	/** Addresses to join through; must outlive the fleet. */
	const char *const *seeds;
	uint32_t seed_count;
};

/** Creates the state of a host. Returns 0 or a negative result code. */
int fleet_create(struct fleet **out, const struct fleet_options *options);
void fleet_destroy(struct fleet *f);

/**
 * Takes one whole frame from a peer. Returns 0 or a negative result code, after
 * which the link is closed.
 */
int fleet_receive(struct fleet *f, const void *data, size_t len);

/**
 * Announces that this host occupies a seat of its failure domain, or NO_SEAT.
 */
void fleet_set_seat(struct fleet *f, int32_t seat);

/** Takes the version that a watch or a read of the store returned. */
void fleet_store_version(struct fleet *f, uint64_t version);

/** A fetched version passed its check and is in force on this host. */
void fleet_set_in_force(struct fleet *f, uint64_t version);

/** A fetched version failed its check; the last good one stays. */
void fleet_set_refused(struct fleet *f, uint64_t version);

/** A fetch failed. */
void fleet_fetch_failed(struct fleet *f, uint64_t version);

/** Returns the version in force, or 0: the host is not ready. */
uint64_t fleet_version(const struct fleet *f);

/** Runs what is due. */
void fleet_advance(struct fleet *f);

/** Returns the monotonic time of the next timer. */
int64_t fleet_next_timer(const struct fleet *f);

/** Returns the member table, for reading. */
const struct membership *fleet_members(const struct fleet *f);

/** Returns the bytes of memory in use, approximately. */
size_t fleet_memory(const struct fleet *f);

#endif
