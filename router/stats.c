#include "router/internal.h"

#include <string.h>

/* Calls that take longer than this quantile of durations are late. */
#define LATE_QUANTILE 0.92
/* Time reserved for the hedge, as a factor on the duration of a late call. */
#define SECOND_CALL_FACTOR 2.2
/* Minimum duration of a late call, so that noise causes no hedges. */
#define LATE_MIN_US 12000
/* Durations assumed without answered calls, as shares of the latency goal. */
#define TYPICAL_GOAL_SHARE 0.15
#define LATE_GOAL_SHARE 0.35

static void handle_free_credit(gpointer credit)
{
	g_free(credit);
}

struct route_stats *route_stats_get(struct router *r, const struct route *route)
{
	struct route_stats *s = g_hash_table_lookup(r->stats, route->name);

	if (s)
		return s;
	s = g_new0(struct route_stats, 1);
	s->name = g_strdup(route->name);
	s->split_credits = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, handle_free_credit);
	g_hash_table_insert(r->stats, s->name, s);
	return s;
}

void route_stats_free(gpointer stats)
{
	struct route_stats *s = stats;

	latency_clear(&s->call_latency);
	if (s->shard_counts)
		g_hash_table_destroy(s->shard_counts);
	g_hash_table_destroy(s->split_credits);
	g_free(s->name);
	g_free(s);
}

static double *find_credit(struct route_stats *s, const char *upstream)
{
	double *credit = g_hash_table_lookup(s->split_credits, upstream);

	if (!credit) {
		credit = g_new0(double, 1);
		g_hash_table_insert(s->split_credits, g_strdup(upstream),
				    credit);
	}
	return credit;
}

uint32_t route_stats_pick_target(struct route_stats *s,
				 const struct route_table *t,
				 const struct route *route)
{
	double total_weight = 0;
	double *best_credit = NULL;
	uint32_t best = 0;

	/* Smooth weighted round robin: each target's credit grows by weight. */
	for (uint32_t i = 0; i < route->target_count; i++) {
		const struct route_target *x = &route->targets[i];
		double *credit = find_credit(s, t->upstreams[x->upstream].name);

		total_weight += x->weight;
		*credit += x->weight;
		if (!best_credit || *credit > *best_credit) {
			best_credit = credit;
			best = i;
		}
	}
	if (best_credit)
		*best_credit -= total_weight;
	return best;
}

int64_t route_stats_typical_duration(struct route_stats *s,
				     const struct route *route)
{
	int64_t us = latency_quantile(&s->call_latency, 0.5);

	return us ? us : (int64_t)(TYPICAL_GOAL_SHARE * (double)route->goal_us);
}

int64_t route_stats_late_threshold(struct route_stats *s,
				   const struct route *route)
{
	int64_t us = latency_quantile(&s->call_latency, LATE_QUANTILE);

	if (!us)
		us = (int64_t)(LATE_GOAL_SHARE * (double)route->goal_us);
	return CLAMP(us, LATE_MIN_US, MAX(LATE_MIN_US, route->goal_us / 2));
}

int64_t route_stats_hedge_delay(struct route_stats *s,
				const struct route *route, int64_t left_us)
{
	int64_t late = route_stats_late_threshold(s, route);
	int64_t latest = left_us - (int64_t)(SECOND_CALL_FACTOR * (double)late);

	return MAX(late, latest);
}
