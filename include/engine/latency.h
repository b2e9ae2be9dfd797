#ifndef ENGINE_LATENCY_H
#define ENGINE_LATENCY_H

#include <stdint.h>

#define LATENCY_CACHE_MAX 4

/** Cached quantile. */
struct latency_quantile {
	double quantile;
	int64_t value_us;
	/** Value of sample_count when the quantile was computed. */
	uint64_t at_sample;
};

/**
 * Histogram of durations with logarithmic bins. Older samples lose weight as
 * new ones are added.
 */
struct latency {
	void *histogram;
	/** Sum of the weights of all samples. */
	double decayed_count;
	/** Number of samples added, whatever their weight. */
	uint64_t sample_count;
	struct latency_quantile cache[LATENCY_CACHE_MAX];
	uint32_t cache_next;
};

/** Adds a duration; allocates the histogram on first use. */
void latency_add(struct latency *l, int64_t us);

/** Returns a quantile in microseconds, or 0 if there are too few samples. */
int64_t latency_quantile(struct latency *l, double quantile);

void latency_clear(struct latency *l);

#endif
