#ifndef ENGINE_LATENCY_H
#define ENGINE_LATENCY_H

#include <stdint.h>

#define LATENCY_CACHE_MAX 4

/** Quantile that was computed lately. */
struct latency_quantile {
	double quantile;
	int64_t value_us;
	/** Number of samples at which it was computed. */
	uint64_t at_sample;
};

/** Decaying histogram of durations with logarithmic bins. */
struct latency {
	void *histogram;
	double total;
	uint64_t samples;
	struct latency_quantile cache[LATENCY_CACHE_MAX];
	uint32_t cache_next;
};

/** Adds a duration; allocates the histogram on first use. */
void latency_add(struct latency *l, int64_t us);

/** Returns a quantile in microseconds, or 0 if there are too few samples. */
int64_t latency_quantile(struct latency *l, double quantile);

void latency_clear(struct latency *l);

#endif
