#ifndef FLEET_SEAT_H
#define FLEET_SEAT_H

#include "common/clock.h"
#include "fleet/update.h"

/** Time that a host is absent from the host list before its seat is free. */
#define SEAT_ABSENCE_US (20 * US_PER_S)

/** State machine that claims, verifies and releases the seat of this host. */
struct seat;

struct seat_ops {
	/**
	 * Called with the number and the record of a seat that was gained, or
	 * with NO_SEAT and NULL when the seat was lost. The record is valid
	 * during the call.
	 */
	void (*changed)(void *ctx, int32_t number,
			const struct seat_record *record);
};

struct seat_options {
	struct np_clock clock;
	uint64_t seed;
	const struct seat_ops *ops;
	void *ctx;
	struct updater *updater;
	struct host_ref host;
	const char *domain;
};

int seat_create(struct seat **out, const struct seat_options *options);
void seat_destroy(struct seat *s);

/** Sets the number of seats of this host's failure domain. */
void seat_set_count(struct seat *s, uint32_t seat_count);

/** Takes the platform's list of the ids of live and leaving hosts. */
void seat_set_host_list(struct seat *s, const char *const *hosts,
			uint32_t count);

/** Releases the seat for a graceful stop and claims no other. */
void seat_release(struct seat *s);

/**
 * Reports that the host was paused. If the pause was half of SEAT_ABSENCE_US
 * or longer, the seat counts as not held until the store has confirmed it.
 */
void seat_note_pause(struct seat *s, int64_t pause_us);

void seat_advance(struct seat *s);
int64_t seat_next_timer(const struct seat *s);

/** Returns the seat that is held and verified, or NO_SEAT. */
int32_t seat_number(const struct seat *s);

/** Returns whether no claim, verification or release is in flight. */
bool seat_is_settled(const struct seat *s);

#endif
