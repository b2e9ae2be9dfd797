#ifndef TEST_UNIT_FAKE_LOAD_H
#define TEST_UNIT_FAKE_LOAD_H

#include <stdbool.h>
#include <stdint.h>

#define LOAD_SHARDS 6
#define LOAD_ORGANISATIONS 10
/** Time from the end of the warm-up to the last request. */
#define LOAD_SECONDS 12

/** triage.mode of the hosts. */
enum load_mode {
	LOAD_MODE_ALWAYS,
	LOAD_MODE_ORGANISATIONS,
	LOAD_MODE_NEVER,
};

/** What a caller got in the end, after its repeats. */
struct load_outcome {
	uint32_t route;
	uint32_t organisation;
	unsigned int status;
	/** Result code of a refusal or failure, or 0. */
	int code;
	bool is_in_goal;
	/** Between 0 and 1. */
	double worth;
};

/** How a pattern changes from start_us to end_us, after a warm-up. */
struct load_pattern {
	const char *name;
	/** Factors on the rates of the large and of the small gathers. */
	double large;
	double small;
	/** Factor on the rate of the first organisation; 0: there are none. */
	double organisation;
	/** Factors on the work of all routes and of the large gathers. */
	double work;
	double large_work;
	/** Leaves that are removed, as a share. */
	double lost;
	/** Callers repeat a refused request at once, otherwise as told. */
	bool is_impatient;
	/** The change ends with the first half of the run. */
	bool is_short;
	/** The priorities of the routes are equal. */
	bool is_flat;
	enum load_mode mode;
	/** Organisation n sends in proportion to 1/n to this power. */
	double skew;
	/** Share of the requests whose key is of no organisation. */
	double unknown_keys;
	/** Quota as a factor on the usual rate, for one host; 0: none. */
	double quota;
	/** The first organisation may use one of three regions. */
	bool is_regional;
	/** Called for each caller whose first request follows the warm-up. */
	void (*handle_outcome)(void *ctx, const struct load_outcome *o);
	void *ctx;
};

struct load_figures {
	uint32_t offered;
	/** Worth of all answers, and that of the oracle. */
	double worth;
	double oracle;
	/**
	 * Worth of the oracle if it does not know the work of single requests,
	 * which no scheduler learns before it has called leaves for them.
	 */
	double bound;
	/** By route: requests, and those that were answered within the goal. */
	uint32_t offered_by_route[2];
	uint32_t in_goal_by_route[2];
	/** By organisation, the first one and the others. */
	uint32_t offered_by_organisation[2];
	uint32_t in_goal_by_organisation[2];
	uint32_t late;
	uint32_t refused;
	uint32_t refused_soon;
	/** Refused after more than a quarter of the goal. */
	uint32_t refused_held;
	uint32_t unanswered;
	uint32_t failed;
	/** Work of the leaves, and the part that was of no use. */
	double work_us;
	double wasted_us;
	/** Calls outside of the regions of an organisation. */
	uint32_t outside;
	/** The same for the second half of the run. */
	uint32_t offered_at_end;
	uint32_t in_goal_at_end;
};

/** Returns the load before the change as a share of the capacity. */
double load_usual_share(void);

/**
 * Runs several hosts that share the leaves of LOAD_SHARDS shards: three leaves
 * of four slots each, with a queue of 24. The two routes gather all shards.
 */
void load_run(const struct load_pattern *pattern, uint32_t hosts, uint64_t seed,
	      struct load_figures *out);

#endif
