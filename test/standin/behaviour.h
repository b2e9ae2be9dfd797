#ifndef TEST_STANDIN_BEHAVIOUR_H
#define TEST_STANDIN_BEHAVIOUR_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#define MAX_SNAPSHOTS 8

/** Faults that a leaf injects into its replies. */
enum leaf_fault {
	FAULT_NONE,
	/** Closes the connection without running the request. */
	FAULT_DROP_BEFORE,
	/** Runs the request, then closes the connection. */
	FAULT_DROP_AFTER,
	FAULT_TRUNCATE,
	/** Sends the reply of another request and attempt. */
	FAULT_CROSS,
	FAULT_DUPLICATE,
};

/** Behaviour of a leaf; test/standin/README.md lists the fields. */
struct behaviour {
	int64_t slots;
	int64_t queue_limit;
	int64_t connect_us;
	int64_t service_us;
	/** Spread of a log-normal service time; 0 for a fixed time. */
	double sigma;
	/** Factor on the service time. */
	double straggle;
	int64_t cold_us;
	double cold_factor;
	bool is_shedding;
	bool is_draining;
	bool is_repartitioned;
	bool is_holding;
	enum leaf_fault fault;
	/** Requests that the fault still affects; negative for all. */
	int64_t fault_count;
	/** Load to report; negative to report the true load. */
	int64_t report_load;
	bool is_report_inverted;
	int64_t snapshots[MAX_SNAPSHOTS];
	int snapshot_count;
};

/** Sets the defaults. */
void behaviour_init(struct behaviour *b);

/**
 * Applies the fields that are present. Returns false, without a change, if a
 * field is unknown or has a wrong type.
 */
bool behaviour_update(struct behaviour *b, const json_t *changes);

bool behaviour_has_snapshot(const struct behaviour *b, int64_t id);

/** Returns the newest snapshot, or 0 if there is none. */
int64_t behaviour_newest_snapshot(const struct behaviour *b);

/** Returns the service time of a request, age_us after the cold start. */
int64_t behaviour_service_us(const struct behaviour *b, GRand *random,
			     int64_t age_us);

/** Returns the load that a leaf with this true load reports. */
int64_t behaviour_reported_load(const struct behaviour *b, int64_t load);

#endif
