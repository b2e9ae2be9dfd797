#ifndef TEST_UNIT_FLEET_SIM_H
#define TEST_UNIT_FLEET_SIM_H

#include <glib.h>

#include "common/clock.h"
#include "fleet/fleet.h"

#define SIM_REGIONS 3

/**
 * Hosts on one virtual clock, joined by a network with delay, jitter, loss and
 * cuts between regions. Domain d is in region d % SIM_REGIONS.
 */
struct sim;

struct sim_host {
	struct sim *sim;
	struct fleet *fleet;
	uint32_t index;
	char id[HOST_ID_MAX];
	char address[HOST_ADDRESS_MAX];
	uint32_t domain;
	bool is_up;
	bool is_paused;
	/** Time of the timer event in the queue; later ones are ignored. */
	int64_t timer_us;
	uint64_t sent;
	uint64_t sent_bytes;
};

struct sim_event {
	int64_t at_us;
	uint64_t order;
	uint32_t host;
	/** Frame, or NULL for a timer. */
	GBytes *frame;
};

struct sim {
	struct virtual_clock clock;
	GRand *rand;
	struct sim_host *hosts;
	uint32_t host_count;
	uint32_t domain_count;
	struct sim_event *events;
	uint32_t event_count;
	uint32_t event_capacity;
	uint64_t next_order;
	double loss;
	int64_t jitter_us;
	/** Region without contact to the others, or -1. */
	int cut_region;
	const char *seeds[8];
};

/** Creates hosts that are not started. */
void sim_create(struct sim *s, uint32_t hosts, uint32_t domains, uint32_t seed);
void sim_destroy(struct sim *s);

/** Starts a host, or starts it anew with empty state. */
void sim_start(struct sim *s, uint32_t host);
/** Starts all hosts and runs until every host knows all others. */
void sim_start_all(struct sim *s);
/** Stops a host at once. */
void sim_kill(struct sim *s, uint32_t host);
/** Holds back all events of a host, or delivers those held back. */
void sim_pause(struct sim *s, uint32_t host, bool is_paused);
/** Runs events up to a time from now. */
void sim_run(struct sim *s, int64_t us);

/** Returns how many running hosts have the host in one of the states. */
uint32_t sim_count_state(struct sim *s, uint32_t host, unsigned int states);

#define SIM_STATE(state) (1U << (state))
/** State bit of a host that the table does not hold. */
#define SIM_UNKNOWN (1U << 31)

#endif
