#ifndef FLEET_LEASE_H
#define FLEET_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "fleet/update.h"

/**
 * Duration of a lease, from the sending of the heartbeat that the successor
 * answered with its promise not to take the keys over.
 */
#define LEASE_US (5 * US_PER_S)
/**
 * Time that the successor adds before a takeover, because clocks run at
 * different rates.
 */
#define LEASE_DRIFT_US (1 * US_PER_S)
/** Largest difference between the clocks of callers and hosts. */
#define LEASE_SKEW_US (2 * US_PER_S)
/** Largest age of a request key that may be run. */
#define LEASE_KEY_AGE_US (600 * US_PER_S)
/** Value of until_us while the owner has no successor. */
#define LEASE_NEVER INT64_MAX

/**
 * Key leases of this host: of its own seat, of seats whose keys it took over
 * and of seats for which it is the successor.
 */
struct leases;

/** Lease on the request keys of one seat, as this host holds it. */
struct lease_state {
	const char *domain;
	uint16_t seat;
	uint64_t epoch;
	bool is_owner;
	/** Wall time at which the tenure began. */
	int64_t tenure_us;
	/** Monotonic time until which requests may be passed to upstreams. */
	int64_t until_us;
};

struct lease_ops {
	/** Sends a LEASE or LEASE_ACK frame to a host. */
	void (*send)(void *ctx, const struct host_ref *to, struct frame *f);
	/**
	 * Chooses a live host with a seat as successor, but neither this host
	 * nor excluded. Returns false if there is none.
	 */
	bool (*choose_successor)(void *ctx, const char *domain, uint16_t seat,
				 const struct host_ref *excluded,
				 struct host_ref *out);
	/** Returns whether a host is alive. */
	bool (*is_alive)(void *ctx, const struct host_ref *host);
	/** Takes the new state after a tenure began, ended or was extended. */
	void (*changed)(void *ctx, const struct lease_state *state);
};

struct lease_options {
	struct np_clock clock;
	uint64_t seed;
	const struct lease_ops *ops;
	void *ctx;
	struct updater *updater;
	struct host_ref host;
	/**
	 * Time after a takeover before the keys are handed back to the seat's
	 * host; 0 selects 30 s.
	 */
	int64_t hand_back_delay_us;
};

int leases_create(struct leases **out, const struct lease_options *options);
void leases_destroy(struct leases *l);

/** Starts to take over the keys of a seat that this host has claimed. */
void leases_add_seat(struct leases *l, const char *domain,
		     const struct seat_record *record);

/** Ends the tenure of a seat that this host gives up or has lost. */
void leases_end_tenure(struct leases *l, const char *domain, uint16_t seat);

/** Notifies the successor after the seat was released in the store. */
void leases_notify_successor(struct leases *l, const char *domain,
			     uint16_t seat);

/** Handles a LEASE or LEASE_ACK frame. */
void leases_receive(struct leases *l, const struct frame *f);

/**
 * Checks whether a request key that was not seen in this tenure may be run.
 * Call it immediately before the request is passed to an upstream. Returns 0,
 * -ERR_NOT_OWNER or -ERR_LEASE_LAPSED (the request was not run), or
 * -ERR_KEY_UNKNOWN (created too long ago, before the tenure or in the future).
 */
int leases_check_key(const struct leases *l, const char *domain, uint16_t seat,
		     int64_t created_wall_us);

/** Writes the lease state of a seat. Returns false if this host has none. */
bool leases_state(const struct leases *l, const char *domain, uint16_t seat,
		  struct lease_state *out);

void leases_advance(struct leases *l);
int64_t leases_next_timer(const struct leases *l);

#endif
