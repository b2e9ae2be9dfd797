#ifndef COMMON_COUNTER_H
#define COMMON_COUNTER_H

#include <stdint.h>

/** Metric, a monotonic counter or a gauge; any thread may change it. */
struct counter {
	const char *name;
	const char *help;
	const char *label;
	uint64_t value;
	int is_gauge;
	struct counter *next;
};

/**
 * Registers a counter, which must have static storage, as must its name, help
 * and label. The label is a Prometheus label list such as reason="shed", or
 * NULL. Counters of one name must be registered in succession.
 */
void counter_register(struct counter *c);

/** Adds to the counter. */
void counter_add(struct counter *c, uint64_t n);

/** Sets a gauge. */
void counter_set(struct counter *c, uint64_t v);

/** Returns the current value. */
uint64_t counter_get(const struct counter *c);

/**
 * Returns all registered counters in the Prometheus text format; free with
 * g_free().
 */
char *counter_render(void);

#endif
