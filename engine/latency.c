#include "engine/latency.h"

#include <glib.h>
#include <gsl/gsl_histogram.h>
#include <math.h>

/* Upper bounds of the 96 bins grow by 15% each, from 50 us to 29 s. */
#define BINS 96
#define FIRST_BIN_US 50.0
#define BIN_GROWTH 1.15

/* The weight of all samples is halved after each DECAY_SAMPLES samples. */
#define DECAY_SAMPLES 1024
#define DECAY_FACTOR 0.5

/* A cached quantile is computed again after this many samples. */
#define REFRESH_SAMPLES 64
#define MIN_SAMPLES 16

static gsl_histogram *create_histogram(void)
{
	gsl_histogram *h = gsl_histogram_alloc(BINS);
	double edges[BINS + 1];

	edges[0] = 0;
	for (int i = 1; i <= BINS; i++)
		edges[i] = FIRST_BIN_US * pow(BIN_GROWTH, i - 1);
	gsl_histogram_set_ranges(h, edges, BINS + 1);
	return h;
}

void latency_add(struct latency *l, int64_t us)
{
	static const double max_us = 28e6;

	if (!l->histogram)
		l->histogram = create_histogram();
	gsl_histogram_increment(l->histogram, CLAMP((double)us, 0, max_us));
	l->decayed_count += 1;
	if (++l->sample_count % DECAY_SAMPLES)
		return;
	gsl_histogram_scale(l->histogram, DECAY_FACTOR);
	l->decayed_count *= DECAY_FACTOR;
}

static int64_t compute_quantile(const struct latency *l, double quantile)
{
	const gsl_histogram *h = l->histogram;
	double wanted = quantile * l->decayed_count;
	double seen = 0;

	for (size_t i = 0; i < BINS; i++) {
		double count = gsl_histogram_get(h, i);
		double low;
		double high;

		if (seen + count < wanted || count <= 0) {
			seen += count;
			continue;
		}
		gsl_histogram_get_range(h, i, &low, &high);
		return (int64_t)(low + (high - low) * (wanted - seen) / count);
	}
	return (int64_t)gsl_histogram_max(h);
}

static struct latency_quantile *find_cached(struct latency *l, double quantile)
{
	struct latency_quantile *c;

	for (uint32_t i = 0; i < LATENCY_CACHE_MAX; i++) {
		if (l->cache[i].quantile == quantile)
			return &l->cache[i];
	}
	c = &l->cache[l->cache_next++ % LATENCY_CACHE_MAX];
	c->quantile = quantile;
	c->at_sample = 0;
	return c;
}

int64_t latency_quantile(struct latency *l, double quantile)
{
	struct latency_quantile *c;

	if (l->sample_count < MIN_SAMPLES)
		return 0;
	c = find_cached(l, quantile);
	if (c->at_sample && l->sample_count < c->at_sample + REFRESH_SAMPLES)
		return c->value_us;
	c->value_us = compute_quantile(l, quantile);
	c->at_sample = l->sample_count;
	return c->value_us;
}

void latency_clear(struct latency *l)
{
	if (l->histogram)
		gsl_histogram_free(l->histogram);
	l->histogram = NULL;
}
