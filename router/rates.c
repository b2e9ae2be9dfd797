#include "router/internal.h"

#include <math.h>
#include <string.h>

#include "common/events.h"

#define REPORT_INTERVAL_US (1 * US_PER_S)
/* A share is logged if it changes by more than this part. */
#define SHARE_LOG_CHANGE 0.2
/* Keys of the tokens for cold leaves: no other user of tokens has them. */
#define COLD_KEY_PREFIX "l:"
/* Time in which a claim of tokens is mostly answered. */
#define TOKEN_GRANT_US (30 * US_PER_MS)

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
	const struct shared_rate *rate = &leaf->rate;

	if (fabs(rate->share_per_s - previous) <=
	    SHARE_LOG_CHANGE * MAX(previous, rate->share_per_s))
		return;
	event_log(EV_LEAF_SHARE,
		  "leaf=%s service=%s limit=%.3f share=%.3f previous=%.3f "
		  "wanted=%.3f news_ms=%lld",
		  leaf->entry.id, leaf->entry.service, rate->limit_per_s,
		  rate->share_per_s, previous, shared_rate_wanted(rate, now),
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

static struct lease_time lease_now(const struct router *r)
{
	return (struct lease_time){ router_now(r),
				    clock_boot(&r->options.clock) };
}

static bool is_cold(const struct router *r, const struct route_leaf *leaf)
{
	return route_leaf_is_cold(leaf, router_now(r)) &&
	       r->options.ops->claim_tokens;
}

static void begin_cold(struct route_leaf *leaf)
{
	leaf->is_listed_cold = true;
	leaf->cold_wanted = 0;
	token_lease_init(&leaf->cold);
}

void rates_prepare_copy(const struct router *r, struct route_leaf *copy)
{
	if (is_cold(r, copy) && !copy->is_listed_cold)
		begin_cold(copy);
}

static void add_cold_leaf(struct router *r, struct route_leaf *leaf)
{
	if (leaf->is_listed_cold)
		return;
	begin_cold(leaf);
	g_ptr_array_add(r->cold_leaves, route_leaf_ref(leaf));
	event_log(
		EV_LEAF_COLD_LIMITED,
		"leaf=%s service=%s per_s=%.3f warm_in_ms=%lld version=%llu",
		leaf->entry.id, leaf->entry.service, leaf->pool->warm_up_per_s,
		(long long)((leaf->cold_until_us - router_now(r)) / US_PER_MS),
		(unsigned long long)leaf->pool->warm_up_version);
}

bool rates_has_limits(const struct router *r)
{
	return r->limited_leaves->len || r->cold_leaves->len;
}

bool rates_is_limited(struct router *r, struct route_leaf *leaf)
{
	if (!is_cold(r, leaf))
		return leaf->rate.is_limited;
	add_cold_leaf(r, leaf);
	return true;
}

bool rates_has_room(struct router *r, struct route_leaf *leaf,
		    uint32_t priority)
{
	if (rates_is_limited(r, leaf) && is_cold(r, leaf) &&
	    !token_lease_has_token(&leaf->cold, lease_now(r)))
		return false;
	return shared_rate_has_room(&leaf->rate, priority, r->host_count,
				    router_now(r));
}

/* Returns the time until a token for a call to a cold leaf may be there. */
static int64_t cold_wait(const struct router *r, const struct route_leaf *leaf)
{
	int64_t now = router_now(r);

	if (!is_cold(r, leaf) ||
	    token_lease_has_token(&leaf->cold, lease_now(r)))
		return 0;
	return MIN(MAX(leaf->cold.dry_until_us - now, 0) + TOKEN_GRANT_US,
		   leaf->cold_until_us - now);
}

int64_t rates_wait(struct router *r, struct route_leaf *leaf, uint32_t priority)
{
	int64_t wait = leaf->rate.is_limited
			       ? shared_rate_wait(&leaf->rate, priority,
						  r->host_count, router_now(r))
			       : 0;

	return MAX(wait, cold_wait(r, leaf));
}

/* Returns the calls a second that this host may get tokens for. */
static double cold_share(const struct router *r, const struct route_leaf *leaf)
{
	double all = leaf->pool->warm_up_per_s;
	double equal = all / MAX(r->host_count, 1);

	if (!is_cold(r, leaf))
		return INFINITY;
	return MIN(MAX(token_lease_wanted(&leaf->cold, router_now(r)), equal),
		   all);
}

double rates_share(struct router *r, struct route_leaf *leaf)
{
	double share = INFINITY;

	if (leaf->rate.is_limited)
		share = shared_rate_share(&leaf->rate, r->host_count,
					  router_now(r));
	return MIN(share, cold_share(r, leaf));
}

double rates_share_of(struct router *r, struct route_leaf *leaf,
		      uint32_t priority)
{
	double share = INFINITY;

	if (leaf->rate.is_limited)
		share = shared_rate_share_of(&leaf->rate, priority,
					     r->host_count, router_now(r));
	return MIN(share, cold_share(r, leaf));
}

void rates_note_call(struct router *r, struct route_leaf *leaf,
		     uint32_t priority, bool is_extra)
{
	uint64_t ticket;

	if (is_cold(r, leaf))
		token_lease_use(&leaf->cold, lease_now(r), &ticket);
	shared_rate_note_call(&leaf->rate, priority, is_extra, r->host_count,
			      router_now(r));
}

void rates_note_result(struct router *r, const struct leaf_call *c,
		       const struct router_result *result)
{
	struct route_leaf *leaf = c->leaf;
	struct shared_rate *rate = &leaf->rate;
	double previous = rate->is_limited ? rate->limit_per_s : 0;

	if (!leaf_rate_note_reply(rate, &result->rate_limit, c->start_us,
				  router_now(r)))
		return;
	log_limit(leaf, previous, "reply");
	if (rate->is_limited)
		add_limited_leaf(r, leaf);
	schedule_claims(r, rate->claim_at_us);
}

static void note_cold_wanted(struct router *r, struct route_leaf *leaf)
{
	struct lease_time now = lease_now(r);

	if (!token_lease_has_token(&leaf->cold, now))
		leaf->cold_wanted++;
	token_lease_note_wanted(&leaf->cold, now);
	schedule_claims(r, leaf->cold.claim_at_us);
}

void rates_note_wanted(struct router *r, const struct route_part *p,
		       struct route_leaf *leaf)
{
	if (leaf->rate.is_limited) {
		shared_rate_note_wanted(&leaf->rate, p->request->priority,
					router_now(r));
		schedule_claims(r, leaf->rate.claim_at_us);
	}
	if (is_cold(r, leaf))
		note_cold_wanted(r, leaf);
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
		  shared_rate_share(&first->rate, r->host_count, now),
		  (long long)((now - first->rate.news_at_us) / US_PER_MS));
}

void router_handle_grant(struct router *r, const struct rate_grant *g)
{
	struct route_leaf *leaf = g_hash_table_lookup(r->leaves.leaves, g->key);
	int64_t now = router_now(r);
	struct shared_rate *rate;
	double limit;
	double share;

	if (!leaf || leaf->entry.started_ms != g->epoch ||
	    !leaf->rate.is_limited)
		return;
	rate = &leaf->rate;
	limit = rate->limit_per_s;
	share = now < rate->share_until_us ? rate->share_per_s : 0;
	if (shared_rate_apply_grant(rate, g, r->host_count, now))
		log_limit(leaf, limit, "host");
	log_share(leaf, share, now);
	schedule_claims(r, rate->claim_at_us);
	waiting_start_all(r);
}

static void claim_shares(struct router *r)
{
	GArray *claims = g_array_new(FALSE, TRUE, sizeof(struct rate_claim));
	int64_t now = router_now(r);

	for (guint i = 0; i < r->limited_leaves->len; i++) {
		struct route_leaf *leaf = r->limited_leaves->pdata[i];
		struct rate_claim claim = {
			.key = leaf->entry.id,
			.epoch = leaf->entry.started_ms,
			.domain = leaf->entry.domain,
		};

		if (shared_rate_take_claim(&leaf->rate, now, &claim))
			g_array_append_val(claims, claim);
		schedule_claims(r, leaf->rate.claim_at_us);
	}
	if (claims->len)
		r->options.ops->claim_rates(r->options.ctx,
					    (struct rate_claim *)claims->data,
					    claims->len);
	g_array_free(claims, TRUE);
}

static bool take_cold_claim(struct router *r, struct route_leaf *leaf,
			    struct token_claim *out)
{
	*out = (struct token_claim){
		.domain = leaf->entry.domain,
		.limit = { .max_per_s = leaf->pool->warm_up_per_s,
			   .is_cold_leaf = true,
			   .version = leaf->pool->warm_up_version },
	};
	if (!token_lease_take_claim(&leaf->cold, leaf->cold_wanted,
				    lease_now(r), out))
		return false;
	/* Hosts of other regions may call a cold leaf a little later. */
	out->kind = TOKEN_CLAIM_USE;
	leaf->cold_wanted = 0;
	out->key = g_strconcat(COLD_KEY_PREFIX, leaf->entry.id, NULL);
	return true;
}

static void claim_cold_tokens(struct router *r)
{
	GArray *claims = g_array_new(FALSE, TRUE, sizeof(struct token_claim));

	for (guint i = 0; i < r->cold_leaves->len; i++) {
		struct route_leaf *leaf = r->cold_leaves->pdata[i];
		struct token_claim claim;

		if (take_cold_claim(r, leaf, &claim))
			g_array_append_val(claims, claim);
		schedule_claims(r, leaf->cold.claim_at_us);
	}
	if (claims->len)
		r->options.ops->claim_tokens(r->options.ctx, claims);
	for (guint i = 0; i < claims->len; i++)
		g_free((char *)g_array_index(claims, struct token_claim, i).key);
	g_array_free(claims, TRUE);
}

void rates_claim(struct router *r)
{
	if (router_now(r) < r->next_claims_us)
		return;
	r->next_claims_us = INT64_MAX;
	if (r->options.ops->claim_rates)
		claim_shares(r);
	if (r->cold_leaves->len)
		claim_cold_tokens(r);
}

void router_handle_token_grant(struct router *r, const struct token_grant *g)
{
	struct route_leaf *leaf = NULL;

	if (g_str_has_prefix(g->key, COLD_KEY_PREFIX))
		leaf = g_hash_table_lookup(r->leaves.leaves,
					   g->key + strlen(COLD_KEY_PREFIX));
	if (!leaf || !leaf->is_listed_cold ||
	    !token_lease_apply_grant(&leaf->cold, g, lease_now(r)))
		return;
	waiting_start_all(r);
}

/* Reports the calls since the last report and starts to count anew. */
static void report_calls(struct router *r, struct route_leaf *leaf)
{
	struct shared_rate *rate = &leaf->rate;
	int64_t now = router_now(r);
	struct leaf_rate_report report = {
		.leaf = leaf->entry.id,
		.service = leaf->entry.service,
		.is_limited = rate->is_limited,
		.limit_per_s = rate->limit_per_s,
		.share_per_s = shared_rate_share(rate, r->host_count, now),
		.wanted_per_s = shared_rate_wanted(rate, now),
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

static void sweep_cold_leaves(struct router *r)
{
	for (guint i = r->cold_leaves->len; i-- > 0;) {
		struct route_leaf *leaf = r->cold_leaves->pdata[i];

		if (is_cold(r, leaf) &&
		    route_leaf_is_usable(leaf, router_now(r)))
			continue;
		leaf->is_listed_cold = false;
		g_ptr_array_remove_index_fast(r->cold_leaves, i);
		route_leaf_unref(&r->leaves, leaf);
	}
}

void rates_sweep(struct router *r)
{
	int64_t now = router_now(r);

	sweep_cold_leaves(r);
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
	for (guint i = 0; i < r->cold_leaves->len; i++)
		route_leaf_unref(&r->leaves, r->cold_leaves->pdata[i]);
	g_ptr_array_free(r->cold_leaves, TRUE);
}
