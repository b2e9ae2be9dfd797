#ifndef FLEET_LEASE_H
#define FLEET_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "fleet/update.h"

/** Promise of a successor, counted from the sending of the heartbeat. */
#define LEASE_US (5 * US_PER_S)
/** Allowance of the successor for clocks that run at different rates. */
#define LEASE_DRIFT_US (1 * US_PER_S)
/** Largest difference between the clocks of callers and hosts. */
#define LEASE_SKEW_US (2 * US_PER_S)
/** Oldest request key that may be run. */
#define LEASE_KEY_AGE_US (600 * US_PER_S)
#define LEASE_NEVER INT64_MAX

/** Key ownership of this host: of its own seat and of seats taken over. */
struct leases;

/** Ownership of the request keys of one seat, as it is on this host. */
struct lease_state {
	const char *domain;
	uint16_t seat;
	uint64_t epoch;
	bool is_owner;
	/** Wall time at which the tenure began. */
	int64_t tenure_us;
	/** Monotonic time until which requests may be handed out. */
	int64_t until_us;
};

struct lease_ops {
	/** Sends a LEASE or LEASE_ACK frame to a host. */
	void (*send)(void *ctx, const struct host_ref *to, struct frame *f);
	/**
	 * Chooses a live host with a seat as successor, not this host and not
	 * the given one. Returns false if there is none.
	 */
	bool (*choose_successor)(void *ctx, const char *domain, uint16_t seat,
				 const struct host_ref *not_this,
				 struct host_ref *out);
	/** Returns whether a host is alive. */
	bool (*is_alive)(void *ctx, const struct host_ref *host);
	/** The tenure began or ended, or the lease was extended. */
	void (*changed)(void *ctx, const struct lease_state *state);
};

struct lease_options {
	struct np_clock clock;
	uint64_t seed;
	const struct lease_ops *ops;
	void *ctx;
	struct updater *updater;
	struct host_ref host;
	/** Time after which keys go back to the seat's host; 0 selects 30 s. */
	int64_t hand_back_us;
};

int leases_create(struct leases **out, const struct lease_options *options);
void leases_destroy(struct leases *l);

/** This host took a seat and wrote the record. */
void leases_begin(struct leases *l, const char *domain,
		  const struct seat_record *record);

/** Ends the tenure of a seat before it is released. */
void leases_end(struct leases *l, const char *domain, uint16_t seat);

/** The seat was released in the store; its successor is told. */
void leases_released(struct leases *l, const char *domain, uint16_t seat);

/** Takes a LEASE or LEASE_ACK frame. */
void leases_receive(struct leases *l, const struct frame *f);

/**
 * Decides immediately before a request is handed to an upstream whether a key
 * that was not seen in this tenure may be run. Returns 0, -ERR_NOT_OWNER or
 * -ERR_LEASE_LAPSED (not run), or -ERR_KEY_UNKNOWN (too old, or from before
 * the tenure).
 */
int leases_check(const struct leases *l, const char *domain, uint16_t seat,
		 int64_t created_wall_us);

/** Returns the state of a seat's keys; false if this host has no part in it. */
bool leases_state(const struct leases *l, const char *domain, uint16_t seat,
		  struct lease_state *out);

void leases_advance(struct leases *l);
int64_t leases_next_timer(const struct leases *l);

#endif
