#ifndef ENGINE_BUDGET_H
#define ENGINE_BUDGET_H

#include <stdbool.h>

/** Token bucket for all extra calls: hedges, retries and probes. */
struct budget {
	double tokens;
	/** Smoothed share of calls that failed. */
	double failure_rate;
	bool has_faults;
};

void budget_init(struct budget *b);

/**
 * Adds the share of one needed call: percent in health, twice as much under
 * faults, and at most 5% or 10%.
 */
void budget_deposit(struct budget *b, double percent);

/** Takes the end of a call; returns whether has_faults changed. */
bool budget_note_result(struct budget *b, bool is_failure);

/** Takes the token of a hedge; returns false if there is none. */
bool budget_take_hedge(struct budget *b);

/** Takes the token of a retry; returns false if there is none. */
bool budget_take_retry(struct budget *b);

/** Charges calls that are sent whether or not there are tokens. */
void budget_charge(struct budget *b, double calls);

#endif
