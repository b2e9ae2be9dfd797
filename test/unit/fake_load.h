#ifndef TEST_UNIT_FAKE_LOAD_H
#define TEST_UNIT_FAKE_LOAD_H

#include <stdbool.h>
#include <stdint.h>

#define LOAD_SHARDS 6
#define LOAD_ORGANISATIONS 10

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
	/** The same for the second half of the run. */
	uint32_t offered_at_end;
	uint32_t in_goal_at_end;
};

/**
 * Runs several hosts that share the leaves of LOAD_SHARDS shards: three leaves
 * of four slots each, with a queue of 24. The two routes gather all shards.
 */
void load_run(const struct load_pattern *pattern, uint32_t hosts, uint64_t seed,
	      struct load_figures *out);

#endif
