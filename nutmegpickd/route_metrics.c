#include "nutmegpickd/route_metrics.h"

#include <glib.h>
#include <pthread.h>

#include "common/clock.h"
#include "common/counter.h"
#include "nutmegpickd/organisation_metrics.h"

/* Bounds double from 1 ms; the last bucket holds all above 16.384 s. */
#define BUCKET_COUNT 16
#define FIRST_BUCKET_US 1000
/*
 * Limit of series, since each version of the configuration may name new routes.
 * Routes beyond it share the series "other".
 */
#define ROUTES_MAX 256

/** Answers on one route. */
struct route_series {
	uint64_t buckets[BUCKET_COUNT];
	uint64_t count;
	uint64_t sum_us;
	/** Answers by the first digit of the status. */
	uint64_t statuses[6];
};

/* Guards series, which the router thread updates and another thread renders. */
static pthread_mutex_t series_lock = PTHREAD_MUTEX_INITIALIZER;
static GHashTable *series;

/*
 * Limit of leaves with series of their own. The others are left out: the log
 * still has them.
 */
#define LIMITED_LEAVES_MAX 256

/** Leaf that names a rate limit. */
struct leaf_rate_series {
	char *service;
	/** Calls a second: of all hosts, of this one, and wanted by this one. */
	double limit_per_s;
	double share_per_s;
	double wanted_per_s;
	int64_t news_age_us;
	uint64_t first_calls;
	uint64_t extra_calls;
};

/* By id of the leaf; guarded by series_lock. */
static GHashTable *leaf_rates;

/* Routes in force; guarded by series_lock. */
static uint64_t routes_version;
static int64_t routes_news_age_us = -1;

/* Guarded by series_lock. */
static struct router_place_counts places;

void route_metrics_note_routes(uint64_t version, int64_t news_age_us)
{
	pthread_mutex_lock(&series_lock);
	routes_version = version;
	routes_news_age_us = news_age_us;
	pthread_mutex_unlock(&series_lock);
}

static void render_routes(GString *out)
{
	g_string_append_printf(out,
			       "nutmegpick_routes_version %" G_GUINT64_FORMAT
			       "\n",
			       routes_version);
	if (routes_news_age_us >= 0)
		g_string_append_printf(out,
				       "nutmegpick_routes_news_seconds %.3f\n",
				       (double)routes_news_age_us / US_PER_S);
}

void route_metrics_note_places(const struct router_place_counts *c)
{
	pthread_mutex_lock(&series_lock);
	places = *c;
	pthread_mutex_unlock(&series_lock);
}

static void render_places(GString *out)
{
	g_string_append_printf(
		out,
		"# TYPE nutmegpick_domains_evacuated gauge\n"
		"nutmegpick_domains_evacuated %u\n"
		"# TYPE nutmegpick_leaves_evacuated gauge\n"
		"nutmegpick_leaves_evacuated %u\n"
		"# TYPE nutmegpick_leaves_cold gauge\n"
		"nutmegpick_leaves_cold %u\n"
		"# TYPE nutmegpick_parts_excluded_total counter\n"
		"nutmegpick_parts_excluded_total{cause=\"region\"} "
		"%" G_GUINT64_FORMAT "\n"
		"nutmegpick_parts_excluded_total{cause=\"evacuated\"} "
		"%" G_GUINT64_FORMAT "\n"
		"nutmegpick_parts_excluded_total{cause=\"cold\"} "
		"%" G_GUINT64_FORMAT "\n"
		"# TYPE nutmegpick_calls_moved_total counter\n"
		"nutmegpick_calls_moved_total %" G_GUINT64_FORMAT "\n",
		places.evacuated_domains, places.evacuated_leaves,
		places.cold_leaves, places.other_region_parts,
		places.evacuated_parts, places.cold_parts, places.moved_calls);
}

static void handle_free_leaf_rate(gpointer data)
{
	struct leaf_rate_series *s = data;

	g_free(s->service);
	g_free(s);
}

static struct leaf_rate_series *
find_leaf_rate(const struct leaf_rate_report *report)
{
	struct leaf_rate_series *s;

	if (!leaf_rates)
		leaf_rates = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, handle_free_leaf_rate);
	s = g_hash_table_lookup(leaf_rates, report->leaf);
	if (s || g_hash_table_size(leaf_rates) >= LIMITED_LEAVES_MAX)
		return s;
	s = g_new0(struct leaf_rate_series, 1);
	s->service = g_strdup(report->service);
	g_hash_table_insert(leaf_rates, g_strdup(report->leaf), s);
	return s;
}

void route_metrics_note_leaf_rate(const struct leaf_rate_report *report)
{
	struct leaf_rate_series *s;

	pthread_mutex_lock(&series_lock);
	s = find_leaf_rate(report);
	if (s && !report->is_limited) {
		g_hash_table_remove(leaf_rates, report->leaf);
	} else if (s) {
		s->limit_per_s = report->limit_per_s;
		s->share_per_s = report->share_per_s;
		s->wanted_per_s = report->wanted_per_s;
		s->news_age_us = report->news_age_us;
		s->first_calls += report->first_calls;
		s->extra_calls += report->extra_calls;
	}
	pthread_mutex_unlock(&series_lock);
}

static void render_leaf_rate(GString *out, const char *leaf,
			     const struct leaf_rate_series *s)
{
	char *labels =
		g_strdup_printf("leaf=\"%s\",service=\"%s\"", leaf, s->service);

	g_string_append_printf(
		out,
		"nutmegpick_leaf_rate_limit{%s} %g\n"
		"nutmegpick_leaf_rate_share{%s} %g\n"
		"nutmegpick_leaf_rate_wanted{%s} %g\n"
		"nutmegpick_leaf_rate_news_seconds{%s} %.3f\n"
		"nutmegpick_leaf_limited_calls_total{%s,kind=\"first\"} "
		"%" G_GUINT64_FORMAT "\n"
		"nutmegpick_leaf_limited_calls_total{%s,kind=\"extra\"} "
		"%" G_GUINT64_FORMAT "\n",
		labels, s->limit_per_s, labels, s->share_per_s, labels,
		s->wanted_per_s, labels, (double)s->news_age_us / US_PER_S,
		labels, s->first_calls, labels, s->extra_calls);
	g_free(labels);
}

static void render_leaf_rates(GString *out)
{
	GHashTableIter iter;
	gpointer leaf;
	gpointer s;

	g_string_append(out, "# TYPE nutmegpick_leaf_rate_limit gauge\n"
			     "# TYPE nutmegpick_leaf_rate_share gauge\n"
			     "# TYPE nutmegpick_leaf_rate_wanted gauge\n"
			     "# TYPE nutmegpick_leaf_rate_news_seconds gauge\n"
			     "# TYPE nutmegpick_leaf_limited_calls_total "
			     "counter\n");
	if (!leaf_rates)
		return;
	g_hash_table_iter_init(&iter, leaf_rates);
	while (g_hash_table_iter_next(&iter, &leaf, &s))
		render_leaf_rate(out, leaf, s);
}

static struct route_series *find_series(const char *route)
{
	struct route_series *s;

	if (!series)
		series = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       g_free);
	s = g_hash_table_lookup(series, route);
	if (s)
		return s;
	if (g_hash_table_size(series) >= ROUTES_MAX) {
		route = "other";
		s = g_hash_table_lookup(series, route);
		if (s)
			return s;
	}
	s = g_new0(struct route_series, 1);
	g_hash_table_insert(series, g_strdup(route), s);
	return s;
}

void route_metrics_note_answer(const char *route, unsigned int status,
			       int64_t us)
{
	struct route_series *s;
	uint32_t bucket = 0;

	while (bucket < BUCKET_COUNT - 1 && us > (int64_t)FIRST_BUCKET_US
							    << bucket)
		bucket++;
	pthread_mutex_lock(&series_lock);
	s = find_series(route);
	s->buckets[bucket]++;
	s->count++;
	s->sum_us += (uint64_t)MAX(us, 0);
	s->statuses[MIN(status / 100, 5)]++;
	pthread_mutex_unlock(&series_lock);
}

static void render_route(GString *out, const char *route,
			 const struct route_series *s)
{
	uint64_t seen = 0;

	for (uint32_t i = 0; i < BUCKET_COUNT - 1; i++) {
		seen += s->buckets[i];
		g_string_append_printf(
			out,
			"nutmegpick_request_seconds_bucket{route=\"%s\","
			"le=\"%g\"} %" G_GUINT64_FORMAT "\n",
			route,
			(double)((int64_t)FIRST_BUCKET_US << i) / US_PER_S,
			seen);
	}
	g_string_append_printf(
		out,
		"nutmegpick_request_seconds_bucket{route=\"%s\",le=\"+Inf\"} "
		"%" G_GUINT64_FORMAT "\n"
		"nutmegpick_request_seconds_sum{route=\"%s\"} %.6f\n"
		"nutmegpick_request_seconds_count{route=\"%s\"} "
		"%" G_GUINT64_FORMAT "\n",
		route, s->count, route, (double)s->sum_us / US_PER_S, route,
		s->count);
	for (uint32_t i = 1; i < G_N_ELEMENTS(s->statuses); i++)
		g_string_append_printf(
			out,
			"nutmegpick_answers_total{route=\"%s\",status=\"%uxx\"} "
			"%" G_GUINT64_FORMAT "\n",
			route, i, s->statuses[i]);
}

char *route_metrics_render(void)
{
	char *counters = counter_render();
	GString *out = g_string_new(counters);
	GHashTableIter iter;
	gpointer route;
	gpointer s;

	g_free(counters);
	g_string_append(out, "# TYPE nutmegpick_request_seconds histogram\n"
			     "# TYPE nutmegpick_answers_total counter\n");
	pthread_mutex_lock(&series_lock);
	if (series) {
		g_hash_table_iter_init(&iter, series);
		while (g_hash_table_iter_next(&iter, &route, &s))
			render_route(out, route, s);
	}
	render_leaf_rates(out);
	render_routes(out);
	render_places(out);
	pthread_mutex_unlock(&series_lock);
	organisation_metrics_render(out);
	return g_string_free(out, FALSE);
}
