#include "router/internal.h"

#include "common/events.h"

#define REPORT_INTERVAL_US (1 * US_PER_S)

static void log_limit(const struct route_leaf *leaf, bool is_limited,
		      double previous)
{
	if (is_limited)
		event_log(EV_LEAF_LIMIT,
			  "leaf=%s service=%s limit=%.3f previous=%.3f",
			  leaf->entry.id, leaf->entry.service,
			  leaf->rate.limit_per_s, previous);
	else
		event_log(EV_LEAF_LIMIT,
			  "leaf=%s service=%s limit=none previous=%.3f",
			  leaf->entry.id, leaf->entry.service, previous);
}

void rates_note_result(struct router *r, const struct leaf_call *c,
		       const struct router_result *result)
{
	struct route_leaf *leaf = c->leaf;
	struct leaf_rate *rate = &leaf->rate;
	double previous = rate->is_limited ? rate->limit_per_s : 0;

	if (!leaf_rate_note_reply(rate, &result->rate_limit, c->start_us,
				  router_now(r)))
		return;
	log_limit(leaf, rate->is_limited, previous);
	if (!rate->is_limited ||
	    g_ptr_array_find(r->limited_leaves, leaf, NULL))
		return;
	g_ptr_array_add(r->limited_leaves, route_leaf_ref(leaf));
	rate->reported_at_us = router_now(r);
	rate->first_calls = 0;
	rate->extra_calls = 0;
}

/* Reports the calls since the last report and starts to count anew. */
static void report_calls(struct router *r, struct route_leaf *leaf)
{
	struct leaf_rate *rate = &leaf->rate;
	int64_t now = router_now(r);

	if (rate->first_calls || rate->extra_calls)
		event_log(EV_LEAF_LIMIT_USE,
			  "leaf=%s service=%s limit=%.3f first=%u extra=%u "
			  "news_ms=%lld",
			  leaf->entry.id, leaf->entry.service,
			  rate->limit_per_s, rate->first_calls,
			  rate->extra_calls,
			  (long long)((now - rate->news_at_us) / US_PER_MS));
	if (r->options.ops->report_rate)
		r->options.ops->report_rate(r->options.ctx, leaf);
	rate->reported_at_us = now;
	rate->first_calls = 0;
	rate->extra_calls = 0;
}

void rates_sweep(struct router *r)
{
	int64_t now = router_now(r);

	for (guint i = r->limited_leaves->len; i-- > 0;) {
		struct route_leaf *leaf = r->limited_leaves->pdata[i];
		struct leaf_rate *rate = &leaf->rate;

		if (rate->is_limited && route_leaf_is_usable(leaf, now)) {
			if (now - rate->reported_at_us >= REPORT_INTERVAL_US)
				report_calls(r, leaf);
			continue;
		}
		rate->is_limited = false;
		report_calls(r, leaf);
		g_ptr_array_remove_index_fast(r->limited_leaves, i);
		route_leaf_unref(&r->leaves, leaf);
	}
}

void rates_clear(struct router *r)
{
	for (guint i = 0; i < r->limited_leaves->len; i++)
		route_leaf_unref(&r->leaves, r->limited_leaves->pdata[i]);
	g_ptr_array_free(r->limited_leaves, TRUE);
}
