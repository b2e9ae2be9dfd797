#include "engine/budget.h"

#include <glib.h>

#define HEALTHY_PERCENT_MAX 5.0
#define FAULTY_FACTOR 2.0

/* Bounds a burst of extra calls after a quiet time. */
#define TOKENS_MAX 100.0

/*
 * Hedges leave these tokens to retries, which repair a failure that has
 * happened. A new bucket holds no more than them, so that hedges alone stay
 * within their percentage from the first call on.
 */
#define RETRY_RESERVE 5.0

/* The failure rate follows about the last 500 calls. */
#define RATE_SMOOTHING (1.0 / 512)
#define FAULTS_ABOVE 0.01
#define FAULTS_BELOW 0.005

void budget_init(struct budget *b)
{
	*b = (struct budget){ .tokens = RETRY_RESERVE };
}

void budget_deposit(struct budget *b, double percent)
{
	double rate = MIN(percent, HEALTHY_PERCENT_MAX) / 100.0;

	if (b->has_faults)
		rate *= FAULTY_FACTOR;
	b->tokens = MIN(b->tokens + rate, TOKENS_MAX);
}

bool budget_note_result(struct budget *b, bool is_failure)
{
	bool had_faults = b->has_faults;

	b->failure_rate += (is_failure - b->failure_rate) * RATE_SMOOTHING;
	if (b->failure_rate > FAULTS_ABOVE)
		b->has_faults = true;
	if (b->failure_rate < FAULTS_BELOW)
		b->has_faults = false;
	return b->has_faults != had_faults;
}

static bool take(struct budget *b, double reserve)
{
	if (b->tokens < reserve + 1)
		return false;
	b->tokens -= 1;
	return true;
}

bool budget_take_hedge(struct budget *b)
{
	return take(b, RETRY_RESERVE);
}

bool budget_take_retry(struct budget *b)
{
	return take(b, 0);
}

void budget_charge(struct budget *b, double calls)
{
	b->tokens = MAX(b->tokens - calls, -TOKENS_MAX);
}
