#include "engine/budget.h"

#include <glib.h>

#define HEALTHY_PERCENT_MAX 5.0
#define FAULTY_FACTOR 2.0

/* Bounds the burst of extra calls after a time without any. */
#define TOKENS_MAX 100.0

/*
 * Tokens that hedges leave to retries, since a retry replaces a call that has
 * failed and a hedge only one that is late. A new bucket holds no more than
 * these tokens, so that hedges stay within their percentage from the first call
 * on.
 */
#define RETRY_RESERVE 5.0

/* Weight of a call in failure_rate: about the last 500 calls count. */
#define RATE_SMOOTHING (1.0 / 512)
/* Hysteresis of has_faults. */
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

static bool take_token(struct budget *b, double reserve)
{
	if (b->tokens < reserve + 1)
		return false;
	b->tokens -= 1;
	return true;
}

bool budget_take_hedge(struct budget *b)
{
	return take_token(b, RETRY_RESERVE);
}

bool budget_take_retry(struct budget *b)
{
	return take_token(b, 0);
}

void budget_charge(struct budget *b, double calls)
{
	b->tokens = MAX(b->tokens - calls, -TOKENS_MAX);
}
