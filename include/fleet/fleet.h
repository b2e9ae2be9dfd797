#ifndef FLEET_FLEET_H
#define FLEET_FLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"
#include "fleet/lease.h"
#include "fleet/membership.h"

/**
 * Coordination between hosts: membership, dissemination of the object set,
 * seats and key leases. The caller reports events through functions and
 * performs the actions in struct fleet_ops. The code uses no sockets and no
 * threads and reads the time from the given clock. Only one thread may use a
 * fleet at a time.
 */
struct fleet;

/** Actions that the caller performs. Callbacks must not call the fleet. */
struct fleet_ops {
	/**
	 * Sends one whole frame, with its length prefix, to the peer that
	 * listens on the address. A frame may be lost.
	 */
	void (*send)(void *ctx, const char *address, const void *data,
		     size_t len);
	/**
	 * Fetches a version from a peer, or from the store if address is NULL.
	 */
	void (*fetch_set)(void *ctx, const char *address, uint64_t version);
	/** Starts or stops watching the store for the current version. */
	void (*watch)(void *ctx, bool is_wanted);
	/** Reads a key; the result goes to fleet_receive_store_result(). */
	void (*store_get)(void *ctx, uint64_t ticket, const char *key);
	/** Writes a key if its revision equals the given one (0: absent). */
	void (*store_cas)(void *ctx, uint64_t ticket, const char *key,
			  uint64_t revision, const void *data, size_t len);
	/**
	 * The seat of this host changed; NO_SEAT stands for none. The caller
	 * recomputes its shard groups and its shares of the leaves.
	 */
	void (*placement_changed)(void *ctx, int32_t seat);
	/** A tenure of request keys began, ended or was extended. */
	void (*lease_changed)(void *ctx, const struct lease_state *state);
	/**
	 * Takes a PULL frame that names a part, or a SET frame. The frame is
	 * valid during the call.
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
	/**
	 * Wall time of the start in us. It must be larger than at any earlier
	 * start of the same host id.
	 */
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
 * Announces the seat that this host occupies in its failure domain, or
 * NO_SEAT.
 */
void fleet_set_seat(struct fleet *f, int32_t seat);

/** Takes the version that a watch or a read of the store returned. */
void fleet_receive_store_version(struct fleet *f, uint64_t version);

/** Reports that a fetched version passed its check and is in force here. */
void fleet_mark_in_force(struct fleet *f, uint64_t version);

/** Reports that a fetched version failed its check; the last one stays. */
void fleet_mark_refused(struct fleet *f, uint64_t version);

/** Reports that the fetch of a version failed. */
void fleet_fetch_failed(struct fleet *f, uint64_t version);

/** Returns the version in force; 0 means none, and the host is not ready. */
uint64_t fleet_version(const struct fleet *f);

/**
 * Takes the result of store_get() or store_cas(): 0, -ERR_STORE_NOT_FOUND,
 * -ERR_STORE_CONFLICT, -ERR_STORE_DOWN (not done) or -ERR_STORE_UNKNOWN
 * (perhaps done). Only a read has a revision and data.
 */
void fleet_receive_store_result(struct fleet *f, uint64_t ticket, int code,
				uint64_t revision, const void *data,
				size_t len);

/** Takes the platform's list of the ids of live and leaving hosts. */
void fleet_set_host_list(struct fleet *f, const char *const *hosts,
			 uint32_t count);

/** Sets the number of seats that the set in force gives this host's domain. */
void fleet_set_seats(struct fleet *f, uint32_t seats);

/** Returns the seat that this host holds, or NO_SEAT. */
int32_t fleet_seat(const struct fleet *f);

/**
 * Returns the host that owns the request keys of a seat, or NULL if it is
 * unknown. A host that took the keys over is returned even if it is dead.
 */
const struct member *fleet_key_owner(const struct fleet *f, const char *domain,
				     uint16_t seat);

/**
 * Checks whether a request key that was not seen in this tenure may be run.
 * Call it immediately before the request is passed to an upstream. Returns as
 * leases_check_key().
 */
int fleet_check_key(const struct fleet *f, const char *domain, uint16_t seat,
		    int64_t created_wall_us);

/**
 * Begins a graceful stop: releases the seat in the store and announces the
 * departure to the peers. Call fleet_advance() until fleet_is_stopped()
 * returns true or a deadline passes.
 */
void fleet_stop(struct fleet *f);
bool fleet_is_stopped(const struct fleet *f);

/** Runs the timers that are due. */
void fleet_advance(struct fleet *f);

/** Returns the monotonic time of the next timer. */
int64_t fleet_next_timer(const struct fleet *f);

/** Returns the member table. */
const struct membership *fleet_members(const struct fleet *f);

/** Returns the bytes of memory in use, approximately. */
size_t fleet_memory(const struct fleet *f);

#endif
