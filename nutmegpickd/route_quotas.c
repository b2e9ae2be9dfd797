#include "common/counter.h"
#include "common/errors.h"
#include "common/events.h"
#include "nutmegpickd/route_internal.h"
#include "nutmegpickd/route_metrics.h"
#include "platform/headers.h"

/* Interval of the checks of a host's record after a break of its grants. */
#define CHECK_INTERVAL_US (1 * US_PER_S)

static struct lease_time lease_now(const struct route_service *s)
{
	return (struct lease_time){ clock_now(&s->clock),
				    clock_boot(&s->clock) };
}

static void handle_send_claims(void *ctx, const char *address,
			       const GArray *claims)
{
	route_send_frame(ctx, address, host_frame_token_claims(claims));
}

static void handle_send_view(void *ctx, const char *address,
			     const struct token_view *view)
{
	route_send_frame(ctx, address, host_frame_token_view(view));
}

static void handle_send_release(void *ctx, const char *address,
				const struct token_release *release)
{
	route_send_frame(ctx, address, host_frame_token_release(release));
}

static void handle_deliver_grant(void *ctx, const struct token_grant *grant)
{
	struct route_service *s = ctx;

	if (quota_key_organisation(grant->key))
		quota_handle_grant(s->quota, grant, lease_now(s));
	else
		router_handle_token_grant(s->router, grant);
}

/*
 * Replaces the limit of a quota if this host has a newer table. A quota that
 * has no limit any more stays as it is for hosts with the older table.
 */
static void handle_update_limit(void *ctx, const char *key,
				struct token_limit *limit)
{
	struct route_service *s = ctx;
	const char *name = quota_key_organisation(key);
	uint64_t version = router_version(s->router);
	const struct organisation *o;

	if (!name || version <= limit->version)
		return;
	o = router_find_organisation(s->router, name);
	if (o && o->max_per_s <= 0)
		return;
	*limit = (struct token_limit){
		.max_per_s = o ? o->max_per_s : 0,
		.burst = o ? o->burst : 0,
		.version = version,
	};
}

const struct token_exchange_ops route_token_ops = {
	.send_view = handle_send_view,
	.send_release = handle_send_release,
	.send_claims = handle_send_claims,
	.deliver_grant = handle_deliver_grant,
	.update_limit = handle_update_limit,
};

static void refuse_request(struct route_service *s, struct caller_request *q,
			   int64_t retry_after_us)
{
	struct router_answer a = {
		.status = 429,
		.code = -ERR_ROUTE_QUOTA,
		.retry_after_us = retry_after_us,
	};
	const char *id = http_exchange_header(q->exchange, PLATFORM_REQUEST_ID);

	event_log(EV_REQUEST_REFUSED,
		  "request=%s version=%llu status=429 code=E%d organisation=%s "
		  "ms=%lld retry_ms=%lld",
		  id ? id : "", (unsigned long long)router_version(s->router),
		  ERR_ROUTE_QUOTA, q->organisation,
		  (long long)((clock_now(&s->clock) - q->start_us) / US_PER_MS),
		  (long long)(retry_after_us / US_PER_MS));
	route_answer(s, q, &a);
}

static void handle_admit(void *ctx, void *user, uint64_t ticket)
{
	struct caller_request *q = user;

	q->is_quota_waiting = false;
	q->quota_ticket = ticket;
	route_start_charged(ctx, q);
}

static void handle_refuse(void *ctx, void *user, int64_t retry_after_us)
{
	struct caller_request *q = user;

	q->is_quota_waiting = false;
	refuse_request(ctx, q, retry_after_us);
}

const struct quota_ops route_quota_ops = {
	.admit = handle_admit,
	.refuse = handle_refuse,
};

/* Describes a request of which some time has passed to the quotas. */
static struct quota_request
describe_request(const struct route_service *s, const struct route *route,
		 const char *organisation, int64_t wait_us, int64_t elapsed_us)
{
	struct quota_request in = {
		.organisation =
			router_find_organisation(s->router, organisation),
		.version = router_version(s->router),
		.goal_us = route->goal_us,
		.elapsed_us = elapsed_us,
		.left_us = route->timeout_us - elapsed_us,
	};

	if (wait_us > 0)
		in.left_us = MIN(in.left_us, wait_us - elapsed_us);
	return in;
}

struct quota_view route_look_quota(const struct route_service *s,
				   const struct route *route,
				   const char *organisation)
{
	struct quota_request in =
		describe_request(s, route, organisation, 0, 0);

	return quota_look(s->quota, &in, lease_now(s));
}

bool route_charge_quota(struct route_service *s, struct caller_request *q)
{
	int64_t elapsed = clock_now(&s->clock) - q->start_us;
	const struct route *route = router_match(
		s->router, http_exchange_header(q->exchange, "Host"),
		http_exchange_target(q->exchange));
	struct quota_request in;
	int64_t retry_after_us = 0;

	if (!route)
		return true;
	in = describe_request(s, route, q->organisation, q->wait_us, elapsed);
	in.user = q;
	if (!in.organisation)
		return true;
	g_free(q->charged_organisation);
	q->charged_organisation = g_strdup(q->organisation);
	switch (quota_ask(s->quota, &in, lease_now(s), &q->quota_ticket,
			  &retry_after_us)) {
	case QUOTA_ADMITTED:
		return true;
	case QUOTA_WAITS:
		q->is_quota_waiting = true;
		return false;
	case QUOTA_EXCEEDED:
		refuse_request(s, q, retry_after_us);
		return false;
	}
	return true;
}

void route_cancel_quota(struct route_service *s, struct caller_request *q)
{
	if (q->is_quota_waiting)
		quota_cancel(s->quota, q->charged_organisation, q);
	q->is_quota_waiting = false;
}

void route_return_quota(struct route_service *s, struct caller_request *q)
{
	if (q->quota_ticket)
		quota_give_back(s->quota, q->charged_organisation,
				q->quota_ticket, lease_now(s));
	q->quota_ticket = 0;
}

void route_answer_token_claims(struct route_service *s, link_id link,
			       const GArray *claims)
{
	GArray *grants = token_exchange_answer(s->tokens, claims);

	route_reply_frame(s, link, host_frame_token_grants(grants));
	g_array_free(grants, TRUE);
}

void route_advance_quotas(struct route_service *s)
{
	GArray *claims = quota_advance(s->quota, lease_now(s));

	if (claims) {
		token_exchange_claim(s->tokens, claims);
		g_array_free(claims, TRUE);
	}
	token_exchange_fill_cache(s->tokens);
	token_exchange_deliver_own(s->tokens);
}

static struct counter admitted_counter = {
	.name = "nutmegpick_quota_requests_total",
	.help = "Requests of organisations with a quota.",
	.label = "decision=\"admitted\"",
};
static struct counter refused_counter = {
	.name = "nutmegpick_quota_requests_total",
	.help = "Requests of organisations with a quota.",
	.label = "decision=\"refused\"",
};
static struct counter returned_counter = {
	.name = "nutmegpick_quota_returned_total",
	.help = "Charges of requests that were refused and did not run.",
};

void route_report_quotas(struct route_service *s)
{
	struct quota_counts now = quota_counts(s->quota);
	const struct quota_counts *last = &s->quota_counts;

	if (s->transport && router_has_quotas(s->router))
		token_exchange_keep_links(s->tokens);
	/* Hosts without quotas have no such metrics. */
	if (!now.admitted && !now.refused)
		return;
	if (!last->admitted && !last->refused) {
		counter_register(&admitted_counter);
		counter_register(&refused_counter);
		counter_register(&returned_counter);
	}
	counter_add(&admitted_counter, now.admitted - last->admitted);
	counter_add(&refused_counter, now.refused - last->refused);
	counter_add(&returned_counter, now.given_back - last->given_back);
	s->quota_counts = now;
}

/* Tells what the registry thread did for this host's record. */
static void note_lease(struct route_service *s)
{
	struct token_owner *owner = token_exchange_owner(s->tokens);
	struct registry_lease lease = registry_thread_lease(s->registry);

	if (!lease.id)
		return;
	if (lease.is_inherited)
		token_owner_note_inherited(owner, lease.id);
	token_owner_note_renewal(owner, lease.id, &lease.started);
	if (token_owner_has_joined(owner))
		registry_thread_mark_joined(s->registry, lease.id);
}

/*
 * After a break of this host's grants, has its record renewed and learns
 * whether its mirror is up to date.
 */
static void check_break(struct route_service *s)
{
	struct token_owner *owner = token_exchange_owner(s->tokens);
	struct registry_check check = registry_thread_last_check(s->registry);
	int64_t now = clock_now(&s->clock);

	if (check.time.revision &&
	    !store_time_is_before(s->catalog.mirror.now, check.time))
		token_owner_note_mirror(owner, check.started_us);
	if (!token_owner_needs_check(owner) ||
	    now - s->checked_us < CHECK_INTERVAL_US)
		return;
	s->checked_us = now;
	registry_thread_request_check(s->registry);
}

/* A feed that is lost may not have noticed that the store was away. */
static void check_feed(struct route_service *s)
{
	bool is_following = feed_is_following(s->feed);

	if (s->was_following && !is_following)
		token_owner_note_store_lost(token_exchange_owner(s->tokens));
	s->was_following = is_following;
}

void route_note_token_contact(struct route_service *s)
{
	int64_t news = MAX(registry_thread_news_us(s->registry),
			   feed_news_us(s->feed));

	check_feed(s);
	note_lease(s);
	check_break(s);
	if (s->catalog.mirror.now.revision)
		token_owner_note_listed(token_exchange_owner(s->tokens));
	if (news)
		token_owner_note_store(token_exchange_owner(s->tokens), news);
	token_exchange_advance(s->tokens);
	if (s->quotas_version != router_version(s->router)) {
		s->quotas_version = router_version(s->router);
		s->has_quotas = router_has_quotas(s->router);
	}
	if (s->has_quotas)
		token_owner_prepare(token_exchange_owner(s->tokens));
}

void route_create_quotas(struct route_service *s)
{
	struct quota_options options = {
		.seed = g_rand_int(s->random),
		.ops = &route_quota_ops,
		.ctx = s,
	};
	struct token_exchange_options exchange_options = {
		.clock = s->clock,
		.directory = &s->directory,
		.seed = g_rand_int(s->random),
		.is_alone = !s->settings.listen_peer,
		.is_leased = true,
		.ops = &route_token_ops,
		.ctx = s,
	};

	s->quota = quota_create(&options);
	s->tokens = token_exchange_create(&exchange_options);
}
