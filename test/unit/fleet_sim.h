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
	bool is_watching;
	uint64_t fetches;
	/** Time of the timer event in the queue; later ones are ignored. */
	int64_t timer_us;
	uint64_t sent;
	uint64_t sent_bytes;
};

enum sim_kind {
	SIM_TIMER,
	SIM_FRAME,
	/** Answer of the store to a watch. */
	SIM_VERSION,
	/** Request for a set at the host that announced it. */
	SIM_FETCH,
	/** Its reply. */
	SIM_FETCHED,
	/** Request at the store and its result at the host. */
	SIM_STORE,
	SIM_STORE_RESULT,
};

/** Call of the store, then its result. */
struct sim_store_call {
	uint64_t ticket;
	char key[64];
	bool is_write;
	uint64_t revision;
	int code;
	GBytes *value;
};

/** Value of the store with the one before, for stale reads. */
struct sim_value {
	char key[64];
	uint64_t revision;
	GBytes *value;
	uint64_t old_revision;
	GBytes *old_value;
};

struct sim_event {
	int64_t at_us;
	uint64_t order;
	uint32_t host;
	enum sim_kind kind;
	/** Frame, for SIM_FRAME. */
	GBytes *frame;
	/** Version, for SIM_VERSION and SIM_FETCH; host that fetches. */
	uint64_t version;
	uint32_t from;
	struct sim_store_call *call;
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
	/** Version in the store. */
	uint64_t version;
	bool is_store_down;
	/** Added to each call of the store. */
	int64_t store_delay_us;
	struct sim_value values[8];
	uint32_t value_count;
	/** Shares of writes without a reply and of stale reads. */
	double lost_replies;
	double stale_reads;
	uint64_t store_calls;
	/** Seats per domain; 0 runs without seats. */
	uint32_t seats;
	/** Version that a stale read returns, or 0. */
	uint64_t stale_version;
	/** Called after each event, if set. */
	void (*check)(struct sim *s, struct sim_host *h);
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

/** Gives all running hosts the list of running and paused hosts. */
void sim_host_list(struct sim *s);

/** Puts a version in the store; watchers are told. */
void sim_publish(struct sim *s, uint64_t version);
/** Returns whether the version is in force on all running hosts. */
bool sim_is_in_force(struct sim *s, uint64_t version);

/** Returns how many running hosts have the host in one of the states. */
uint32_t sim_count_state(struct sim *s, uint32_t host, unsigned int states);

#define SIM_STATE(state) (1U << (state))
/** State bit of a host that the table does not hold. */
#define SIM_UNKNOWN (1U << 31)

#endif
