#include "router/internal.h"

#include <math.h>
#include <string.h>

#include "common/events.h"

#define REPORT_INTERVAL_US (1 * US_PER_S)
/* A share is logged if it changes by more than this part. */
#define SHARE_LOG_CHANGE 0.2

static void log_limit(const struct route_leaf *leaf, double previous,
		      const char *source)
{
	char limit[32] = "none";

	if (leaf->rate.is_limited)
		g_snprintf(limit, sizeof(limit), "%.3f",
			   leaf->rate.limit_per_s);
	event_log(EV_LEAF_LIMIT,
		  "leaf=%s service=%s limit=%s previous=%.3f source=%s",
		  leaf->entry.id, leaf->entry.service, limit, previous, source);
}

static void log_share(const struct route_leaf *leaf, double previous,
		      int64_t now)
{
	const struct leaf_rate *rate = &leaf->rate;

	if (fabs(rate->share_per_s - previous) <=
	    SHARE_LOG_CHANGE * MAX(previous, rate->share_per_s))
		return;
	event_log(EV_LEAF_SHARE,
		  "leaf=%s service=%s limit=%.3f share=%.3f previous=%.3f "
		  "wanted=%.3f news_ms=%lld",
		  leaf->entry.id, leaf->entry.service, rate->limit_per_s,
		  rate->share_per_s, previous, leaf_rate_wanted(rate, now),
		  (long long)((now - rate->news_at_us) / US_PER_MS));
}

static void schedule_claims(struct router *r, int64_t at_us)
{
	r->next_claims_us = MIN(r->next_claims_us, at_us);
}

static void add_limited_leaf(struct router *r, struct route_leaf *leaf)
{
	if (g_ptr_array_find(r->limited_leaves, leaf, NULL))
		return;
	g_ptr_array_add(r->limited_leaves, route_leaf_ref(leaf));
	leaf->rate.reported_at_us = router_now(r);
	leaf->rate.first_calls = 0;
	leaf->rate.extra_calls = 0;
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
	log_limit(leaf, previous, "reply");
	if (rate->is_limited)
		add_limited_leaf(r, leaf);
	schedule_claims(r, rate->claim_at_us);
}

void rates_note_wanted(struct router *r, const struct route_part *p,
		       struct route_leaf *leaf)
{
	leaf_rate_note_wanted(&leaf->rate, p->request->priority, router_now(r));
	schedule_claims(r, leaf->rate.claim_at_us);
}

void rates_log_no_room(struct router *r, const struct route_part *p)
{
	const struct route_leaf *first = NULL;
	int64_t now = router_now(r);
	uint32_t count = 0;

	for (guint i = 0; i < p->pool->leaves->len; i++) {
		const struct route_leaf *leaf = p->pool->leaves->pdata[i];

		if (!leaf->rate.is_limited || !route_leaf_is_usable(leaf, now))
			continue;
		first = first ? first : leaf;
		count++;
	}
	if (!first)
		return;
	event_log(EV_PART_LIMITED,
		  "request=%s service=%s limited=%u of=%u leaf=%s limit=%.3f "
		  "share=%.3f news_ms=%lld",
		  p->request->request_id, p->pool->name, count,
		  p->pool->leaves->len, first->entry.id,
		  first->rate.limit_per_s,
		  leaf_rate_share(&first->rate, r->host_count, now),
		  (long long)((now - first->rate.news_at_us) / US_PER_MS));
}

void router_handle_grant(struct router *r, const struct rate_grant *g)
{
	struct route_leaf *leaf =
		g_hash_table_lookup(r->leaves.leaves, g->leaf);
	int64_t now = router_now(r);
	struct leaf_rate *rate;
	double limit;
	double share;

	if (!leaf || leaf->entry.started_ms != g->leaf_started_ms ||
	    !leaf->rate.is_limited)
		return;
	rate = &leaf->rate;
	limit = rate->limit_per_s;
	share = now < rate->share_until_us ? rate->share_per_s : 0;
	if (leaf_rate_apply_grant(rate, g, r->host_count, now))
		log_limit(leaf, limit, "host");
	log_share(leaf, share, now);
	schedule_claims(r, rate->claim_at_us);
	waiting_start_all(r);
}

void rates_claim(struct router *r)
{
	int64_t now = router_now(r);
	GArray *claims;

	if (now < r->next_claims_us || !r->options.ops->claim_rates)
		return;
	claims = g_array_new(FALSE, TRUE, sizeof(struct rate_claim));
	r->next_claims_us = INT64_MAX;
	for (guint i = 0; i < r->limited_leaves->len; i++) {
		struct route_leaf *leaf = r->limited_leaves->pdata[i];
		struct rate_claim claim = {
			.leaf = leaf->entry.id,
			.leaf_started_ms = leaf->entry.started_ms,
			.leaf_domain = leaf->entry.domain,
		};

		if (leaf_rate_take_claim(&leaf->rate, now, &claim))
			g_array_append_val(claims, claim);
		schedule_claims(r, leaf->rate.claim_at_us);
	}
	if (claims->len)
		r->options.ops->claim_rates(r->options.ctx,
					    (struct rate_claim *)claims->data,
					    claims->len);
	g_array_free(claims, TRUE);
}

/* Reports the calls since the last report and starts to count anew. */
static void report_calls(struct router *r, struct route_leaf *leaf)
{
	struct leaf_rate *rate = &leaf->rate;
	int64_t now = router_now(r);
	struct leaf_rate_report report = {
		.leaf = leaf->entry.id,
		.service = leaf->entry.service,
		.is_limited = rate->is_limited,
		.limit_per_s = rate->limit_per_s,
		.share_per_s = leaf_rate_share(rate, r->host_count, now),
		.wanted_per_s = leaf_rate_wanted(rate, now),
		.news_age_us = now - rate->news_at_us,
		.first_calls = rate->first_calls,
		.extra_calls = rate->extra_calls,
	};

	if (report.first_calls || report.extra_calls)
		event_log(EV_LEAF_LIMIT_USE,
			  "leaf=%s service=%s limit=%.3f first=%u extra=%u "
			  "share=%.3f wanted=%.3f news_ms=%lld",
			  report.leaf, report.service, report.limit_per_s,
			  report.first_calls, report.extra_calls,
			  report.share_per_s, report.wanted_per_s,
			  (long long)(report.news_age_us / US_PER_MS));
	if (r->options.ops->report_rate)
		r->options.ops->report_rate(r->options.ctx, &report);
	rate->reported_at_us = now;
	rate->first_calls = 0;
	rate->extra_calls = 0;
}

static bool is_still_limited(const struct route_leaf *leaf, int64_t now)
{
	return route_leaf_is_usable(leaf, now) &&
	       (leaf->rate.is_limited || leaf->rate.claim_at_us != INT64_MAX);
}

void rates_sweep(struct router *r)
{
	int64_t now = router_now(r);

	for (guint i = r->limited_leaves->len; i-- > 0;) {
		struct route_leaf *leaf = r->limited_leaves->pdata[i];

		if (is_still_limited(leaf, now)) {
			if (now - leaf->rate.reported_at_us >=
			    REPORT_INTERVAL_US)
				report_calls(r, leaf);
			continue;
		}
		leaf->rate.is_limited = false;
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
