#ifndef TEST_UNIT_QUOTA_SIM_H
#define TEST_UNIT_QUOTA_SIM_H

#include <glib.h>

#include "router/quota.h"
#include "router/token_exchange.h"

/*
 * Hosts in three regions of two domains each, that share the quotas of some
 * organisations. Each has its own clocks, its own mirror of the host records
 * and its own process, which can be frozen, suspended, killed or cut off. The
 * records are kept by a store with leases, which can be away.
 */

#define QSIM_HOSTS_MAX 12
#define QSIM_ORGANISATIONS_MAX 8
#define QSIM_STEP_US (5 * US_PER_MS)

struct quota_sim;

struct qsim_host {
	struct quota_sim *sim;
	uint32_t index;
	bool is_running;
	struct virtual_clock time;
	struct leaf_set leaves;
	struct host_directory directory;
	struct token_exchange *exchange;
	struct quota *quota;
	/** When the process reads the store for the first time. */
	int64_t listed_at_us;
	bool is_listed;
	/** The process does not run before. */
	int64_t frozen_until_us;
	int64_t cut_from_hosts_until_us;
	int64_t cut_from_store_until_us;
	/** The host hears of the store, but does not renew its record. */
	int64_t renewals_fail_until_us;
	/** Of struct record_event: changes that have not arrived yet. */
	GQueue events;
	int64_t last_event_us;
	/** After a pause or a cut, events arrive late, but not frames. */
	int64_t events_from_us;
	/** The record in the store. */
	bool has_record;
	int64_t lease_until_us;
	uint64_t lease;
	/** The process has published its record. */
	bool is_published;
	/** The record is marked: a process had joined under its lease. */
	bool is_marked;
	/** The process found a marked record with this lease; or 0. */
	uint64_t earlier_lease;
	int64_t next_renewal_us;
	/** When a process that has withdrawn its record ends; 0 if it goes on. */
	int64_t stop_at_us;
	int64_t next_news_us;
	double per_s[QSIM_ORGANISATIONS_MAX];
	/** Version of the table of the process, an index to limits. */
	uint32_t version;
};

struct quota_sim {
	int64_t now_us;
	uint32_t count;
	uint32_t organisation_count;
	struct qsim_host hosts[QSIM_HOSTS_MAX];
	struct organisation organisations[2][QSIM_ORGANISATIONS_MAX];
	int64_t store_away_until_us;
	/** While it is away, the store keeps the leases or lets them expire. */
	bool is_keeping_leases;
	/** Hosts, by bit, that are cut off from the others until then. */
	uint32_t island;
	int64_t island_until_us;
	bool has_island_store;
	/** Between hosts of a region and of two regions, one way. */
	int64_t link_us;
	int64_t far_link_us;
	/** Latency goal of the requests. */
	int64_t goal_us;
	/** Longest delay of an event of the store to a host in contact. */
	int64_t event_delay_us;
	/** Of struct sim_frame. */
	GQueue frames;
	int lost_link[2];
	/** Parts of the frames that are lost, sent twice and delayed by 5 s. */
	double lost_part;
	double repeated_part;
	double delayed_part;
	/** A region that reaches neither the store nor the other regions. */
	int cut_region;
	int64_t region_cut_until_us;
	/** Times of the requests that were admitted, by organisation. */
	GArray *admitted[QSIM_ORGANISATIONS_MAX];
	uint64_t asked[QSIM_ORGANISATIONS_MAX];
	uint64_t refused[QSIM_ORGANISATIONS_MAX];
	/** Frames sent, and the claims in them. */
	uint64_t frame_count;
	uint64_t claim_count;
	/** Hosts never agree on their records, as in fleets of over 256 hosts. */
	bool is_large;
	/** Checks at each step that one host at most grants all of a rate. */
	bool is_checking_owners;
	/** First time at which two hosts granted all of o0; 0 if none. */
	int64_t overlap_us;
	int64_t overlap_sum_us;
	uint32_t overlap_hosts[2];
	/** Time in which a host granted all of it. */
	int64_t owned_us;
	uint32_t seed;
	uint64_t last_lease;
	GRand *random;
};

/** Creates hosts of which the first `running` run; all have settled. */
struct quota_sim *quota_sim_create(uint32_t count, uint32_t running,
				   uint32_t organisations, double rate,
				   double burst, guint32 seed);
void quota_sim_destroy(struct quota_sim *s);

/** Advances the time; each host sends requests at its rates. */
void quota_sim_run(struct quota_sim *s, int64_t us);

void quota_sim_start_host(struct quota_sim *s, uint32_t i);
/** Ends a process without notice. */
void quota_sim_kill_host(struct quota_sim *s, uint32_t i);
/** Stops grants and withdraws the record of a process, which ends 6 s later. */
void quota_sim_stop_host(struct quota_sim *s, uint32_t i);
/** Stops a process; its clocks go on, or only the one of the machine. */
void quota_sim_freeze_host(struct quota_sim *s, uint32_t i, int64_t us,
			   bool is_suspended);

/** Sets the rates of all hosts for an organisation. */
void quota_sim_set_rates(struct quota_sim *s, uint32_t organisation,
			 double per_s);
void quota_sim_clear_counts(struct quota_sim *s);

/** Returns the most requests in any window of 5 s that were admitted. */
uint32_t quota_sim_most_in_window(const struct quota_sim *s, uint32_t o);

#endif
