#include "router/internal.h"

#include <string.h>

/* Calls beyond this quantile are late. */
#define LATE_QUANTILE 0.92
/* Time kept for a second call, in times of what is late for the first. */
#define SECOND_CALL_FACTOR 2.2
/* A call is never late sooner than this, so that noise sends no hedges. */
#define LATE_MIN_US 12000
/* Shares of the latency goal assumed while nothing is known of a route. */
#define TYPICAL_GOAL_SHARE 0.15
#define LATE_GOAL_SHARE 0.35

static void handle_free_count(gpointer count)
{
	g_free(count);
}

struct route_stats *route_stats_get(struct router *r, const struct route *route)
{
	struct route_stats *s = g_hash_table_lookup(r->stats, route->name);

	if (s)
		return s;
	s = g_new0(struct route_stats, 1);
	s->name = g_strdup(route->name);
	s->split_sent = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      handle_free_count);
	g_hash_table_insert(r->stats, s->name, s);
	return s;
}

void route_stats_free(gpointer stats)
{
	struct route_stats *s = stats;

	latency_clear(&s->calls);
	if (s->local_leaves)
		g_hash_table_destroy(s->local_leaves);
	g_hash_table_destroy(s->split_sent);
	g_free(s->name);
	g_free(s);
}

static double *sent_count(struct route_stats *s, const char *upstream)
{
	double *count = g_hash_table_lookup(s->split_sent, upstream);

	if (!count) {
		count = g_new0(double, 1);
		g_hash_table_insert(s->split_sent, g_strdup(upstream), count);
	}
	return count;
}

uint32_t route_stats_pick_target(struct route_stats *s,
				 const struct route_table *t,
				 const struct route *route)
{
	double total_weight = 0;
	double *best_credit = NULL;
	uint32_t best = 0;

	/* Smooth weighted round robin: every target earns its weight. */
	for (uint32_t i = 0; i < route->target_count; i++) {
		const struct route_target *x = &route->targets[i];
		double *credit = sent_count(s, t->upstreams[x->upstream].name);

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

int64_t route_stats_typical(struct route_stats *s, const struct route *route)
{
	int64_t us = latency_quantile(&s->calls, 0.5);

	return us ? us : (int64_t)(TYPICAL_GOAL_SHARE * (double)route->goal_us);
}

int64_t route_stats_late_after(struct route_stats *s, const struct route *route)
{
	int64_t us = latency_quantile(&s->calls, LATE_QUANTILE);

	if (!us)
		us = (int64_t)(LATE_GOAL_SHARE * (double)route->goal_us);
	return CLAMP(us, LATE_MIN_US, MAX(LATE_MIN_US, route->goal_us / 2));
}

int64_t route_stats_hedge_after(struct route_stats *s,
				const struct route *route, int64_t left_us)
{
	int64_t late = route_stats_late_after(s, route);
	int64_t latest = left_us - (int64_t)(SECOND_CALL_FACTOR * (double)late);

	return MAX(late, latest);
}
