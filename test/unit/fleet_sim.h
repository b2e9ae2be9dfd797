#ifndef TEST_UNIT_FLEET_SIM_H
#define TEST_UNIT_FLEET_SIM_H

#include <glib.h>

#include "common/clock.h"
#include "fleet/fleet.h"

#define SIM_REGIONS 3

/**
 * Simulated hosts on one virtual clock and a network with delay, jitter, loss
 * and partitions between regions. Domain d is in region d % SIM_REGIONS.
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
	uint64_t fetch_count;
	/** Time of the valid timer event; those at other times are ignored. */
	int64_t timer_us;
	uint64_t sent_frames;
	uint64_t sent_bytes;
};

enum sim_kind {
	SIM_TIMER,
	SIM_FRAME,
	/** Version that a store watch returns to a host. */
	SIM_VERSION,
	/** Fetch request, at the host that announced the version. */
	SIM_FETCH,
	/** Fetched version, at the host that requested it. */
	SIM_FETCHED,
	/** Request at the store, and its result at the host. */
	SIM_STORE,
	SIM_STORE_RESULT,
};

/** Request to the store; the store adds the result. */
struct sim_store_call {
	uint64_t ticket;
	char key[64];
	bool is_write;
	uint64_t revision;
	int code;
	GBytes *value;
};

/** Value in the store, and the previous one for stale reads. */
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
	/** Version, for SIM_VERSION, SIM_FETCH and SIM_FETCHED. */
	uint64_t version;
	/** Host that fetches, for SIM_FETCH. */
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
	/** Fraction of lost messages; frames in a domain are never lost. */
	double loss;
	int64_t jitter_us;
	/** Region that is cut off from the others, or -1. */
	int cut_region;
	/** Version in the store. */
	uint64_t version;
	bool is_store_down;
	/** Additional delay of each request to and result from the store. */
	int64_t store_delay_us;
	struct sim_value values[8];
	uint32_t value_count;
	/** Fractions of writes with a lost reply and of stale reads. */
	double lost_replies;
	double stale_reads;
	uint64_t store_calls;
	/** Seats per domain; 0 runs without seats. */
	uint32_t seats;
	/** Version that store watches return instead of version, or 0. */
	uint64_t stale_version;
	/** Called after each event of a host, if set. */
	void (*check)(struct sim *s, struct sim_host *h);
	const char *seeds[8];
};

/** Creates hosts that are not started. */
void sim_create(struct sim *s, uint32_t hosts, uint32_t domains, uint32_t seed);
void sim_destroy(struct sim *s);

/** Starts or restarts a host with empty state. */
void sim_start(struct sim *s, uint32_t host);
/** Starts all hosts and runs until each has all others in its table. */
void sim_start_all(struct sim *s);
/** Stops a host at once. */
void sim_kill(struct sim *s, uint32_t host);
/** Pauses a host, which postpones its events, or resumes it. */
void sim_pause(struct sim *s, uint32_t host, bool is_paused);
/** Runs the events of the next us microseconds. */
void sim_run(struct sim *s, int64_t us);

/** Passes the list of all started hosts to those that are not paused. */
void sim_send_host_list(struct sim *s);

/** Stores a version and sends it to the hosts that watch the store. */
void sim_publish(struct sim *s, uint64_t version);
/** Returns whether the version is in force on all running hosts. */
bool sim_is_in_force(struct sim *s, uint64_t version);

/** Returns the number of hosts whose table has the host in one of states. */
uint32_t sim_count_state(struct sim *s, uint32_t host, unsigned int states);

#define SIM_STATE(state) (1U << (state))
/** State bit for a host that is not in the table. */
#define SIM_UNKNOWN (1U << 31)

#endif
