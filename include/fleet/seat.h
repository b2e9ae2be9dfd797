#ifndef FLEET_SEAT_H
#define FLEET_SEAT_H

#include "common/clock.h"
#include "fleet/update.h"

/** Absence from the host list after which a seat may be taken over. */
#define SEAT_ABSENCE_US (20 * US_PER_S)

/** The seat of this host: claimed, held, verified and released. */
struct seat;

struct seat_ops {
	/**
	 * The seat changed; number is NO_SEAT without one. The record is set
	 * when a seat was gained, and valid during the call.
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
void seat_set_count(struct seat *s, uint32_t seats);

/** Takes the platform's list of the ids of live and leaving hosts. */
void seat_host_list(struct seat *s, const char *const *hosts, uint32_t count);

/** Gives the seat back at a graceful stop; no other one is claimed. */
void seat_release(struct seat *s);

/**
 * The host was paused. The seat counts as not held until the store confirmed
 * it, if the pause was long enough for a takeover.
 */
void seat_note_pause(struct seat *s, int64_t pause_us);

void seat_advance(struct seat *s);
int64_t seat_next_timer(const struct seat *s);

/** Returns the seat that is held for sure, or NO_SEAT. */
int32_t seat_number(const struct seat *s);

/** Returns whether no call of the store is under way. */
bool seat_is_settled(const struct seat *s);

#endif
