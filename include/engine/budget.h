#ifndef ENGINE_BUDGET_H
#define ENGINE_BUDGET_H

#include <stdbool.h>

/**
 * Token bucket for extra calls: hedges, retries and the calls that a restarted
 * query repeats.
 */
struct budget {
	double tokens;
	/** Exponential moving average of the share of calls that failed. */
	double failure_rate;
	/** Set and cleared with hysteresis on failure_rate. */
	bool has_faults;
};

void budget_init(struct budget *b);

/**
 * Adds the tokens that one first call to a shard earns: percent / 100, at most
 * 0.05. Twice as much, at most 0.1, while has_faults is set.
 */
void budget_deposit(struct budget *b, double percent);

/** Records how a call ended; returns whether has_faults changed. */
bool budget_note_result(struct budget *b, bool is_failure);

/** Takes a token for a hedge; returns false if only the reserve is left. */
bool budget_take_hedge(struct budget *b);

/** Takes a token for a retry; returns false if there is none. */
bool budget_take_retry(struct budget *b);

/** Charges calls that do not wait for tokens; tokens may become negative. */
void budget_charge(struct budget *b, double calls);

#endif
