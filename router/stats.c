#include "router/internal.h"

#include <math.h>

#include "common/hash.h"

/* Calls that take longer than this quantile of durations are late. */
#define LATE_QUANTILE 0.92
/* Time reserved for the hedge, as a factor on the duration of a late call. */
#define SECOND_CALL_FACTOR 2.2
/* Recent calls that differ by this factor show that the work has changed. */
#define CHANGE_FACTOR 2
/* Minimum duration of a late call, so that noise causes no hedges. */
#define LATE_MIN_US 12000
/*
 * Step of a Weyl sequence: 2^64 divided by the golden ratio. Any number of
 * successive positions divides the range of 64 bits evenly.
 */
#define SPLIT_STEP 0x9e3779b97f4a7c15ULL
/* Durations assumed without answered calls, as shares of the latency goal. */
#define TYPICAL_GOAL_SHARE 0.15
#define LATE_GOAL_SHARE 0.35

static uint64_t hash_upstreams(const struct route_table *t,
			       const struct route *route)
{
	uint64_t hash = 0;

	for (uint32_t i = 0; i < route->target_count; i++) {
		uint32_t at = route->targets[i].upstream;

		hash += hash_string(t->upstreams[at].name, 0);
	}
	return hash_pair(hash, route->shape);
}

struct route_stats *route_stats_get(struct router *r, const struct route *route)
{
	struct route_stats *s = g_hash_table_lookup(r->stats, route->name);

	if (s)
		return s;
	s = g_new0(struct route_stats, 1);
	s->refs = 1;
	s->id = ++r->last_stats_id;
	s->name = g_strdup(route->name);
	s->upstreams_hash = hash_upstreams(r->table, route);
	/* Hosts begin at different positions: each may get few requests. */
	s->split_position = (uint64_t)g_rand_int(r->random) << 32;
	g_hash_table_insert(r->stats, s->name, s);
	return s;
}

struct route_stats *route_stats_ref(struct route_stats *s)
{
	s->refs++;
	return s;
}

static void clear_shard_counts(struct route_stats *s)
{
	if (s->shard_counts)
		g_hash_table_destroy(s->shard_counts);
	s->shard_counts = NULL;
}

void route_stats_unref(gpointer stats)
{
	struct route_stats *s = stats;

	if (--s->refs)
		return;
	latency_clear(&s->call_latency);
	latency_clear(&s->call_work);
	clear_shard_counts(s);
	g_free(s->name);
	g_free(s);
}

void route_stats_apply_table(struct router *r)
{
	const struct route_table *t = r->table;
	GHashTable *kept = g_hash_table_new(NULL, NULL);
	GHashTableIter iter;
	gpointer stats;

	for (uint32_t i = 0; i < t->route_count; i++) {
		struct route_stats *s =
			g_hash_table_lookup(r->stats, t->routes[i].name);

		if (s && s->upstreams_hash == hash_upstreams(t, &t->routes[i]))
			g_hash_table_add(kept, s);
	}
	g_hash_table_iter_init(&iter, r->stats);
	while (g_hash_table_iter_next(&iter, NULL, &stats)) {
		if (!g_hash_table_contains(kept, stats))
			g_hash_table_iter_remove(&iter);
	}
	g_hash_table_destroy(kept);
}

uint32_t route_stats_pick_target(struct route_stats *s,
				 const struct route *route)
{
	double at = 0;
	uint32_t pick = 0;

	for (uint32_t i = 0; i < route->target_count; i++)
		at += route->targets[i].weight;
	s->split_position += SPLIT_STEP;
	at *= ldexp((double)(s->split_position >> 11), -53);
	for (uint32_t i = 0; i < route->target_count; i++) {
		if (route->targets[i].weight <= 0)
			continue;
		pick = i;
		if (at < route->targets[i].weight)
			break;
		at -= route->targets[i].weight;
	}
	return pick;
}

int64_t route_stats_typical_duration(struct route_stats *s,
				     const struct route *route)
{
	int64_t us = latency_quantile(&s->call_work, 0.5);
	int64_t recent = work_estimate_typical(&s->work);

	/* The histogram follows a change of the work only after many calls. */
	if (us && recent && MAX(us, recent) > CHANGE_FACTOR * MIN(us, recent))
		return recent;
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
				const struct route *route, int64_t left_us,
				double work_factor)
{
	int64_t late = route_stats_late_threshold(s, route);
	int64_t latest = left_us - (int64_t)(SECOND_CALL_FACTOR * (double)late);
	int64_t scaled = (int64_t)((double)late * MAX(work_factor, 1));

	return MAX(MAX(late, latest), MIN(scaled, left_us - late));
}
