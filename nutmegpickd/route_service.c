#include "nutmegpickd/route_service.h"

#include <string.h>

#include "common/errors.h"
#include "common/events.h"
#include "nutmegpickd/route_internal.h"
#include "nutmegpickd/route_metrics.h"
#include "platform/headers.h"

#define EVENT_RING_SIZE 8192
/* Interval of the check for idle connections to leaves and for late calls. */
#define SWEEP_US (100 * US_PER_MS)
/*
 * Interval of the check for callers that have closed their connection. Calls to
 * leaves for such callers must end within half a second.
 */
#define GONE_CHECK_US (150 * US_PER_MS)
/* Interval of the check for idle and slow connections of callers. */
#define CALLERS_CHECK_US (1 * US_PER_S)
/* Timeout for the body of a request; the configuration limits its length. */
#define BODY_TIMEOUT_US (30 * US_PER_S)
/* A wait that ends this much too late means that the process was paused. */
#define STALL_US (200 * US_PER_MS)
#define IDLE_WAIT_US (1 * US_PER_S)
/* Interval at which leaves without claims are forgotten. */
#define RATES_SWEEP_US (5 * US_PER_S)
/* Time between the last answers of a stop and the exit, for sending them. */
#define STOP_FLUSH_US (400 * US_PER_MS)
/* Interval at which a stop checks for requests of other hosts. */
#define STOP_POLL_US (5 * US_PER_MS)

void route_service_send_event(struct route_service *s, struct route_event event)
{
	struct route_event *e = g_new(struct route_event, 1);

	*e = event;
	while (ring_push(s->events, e))
		g_usleep(1000);
}

/* Router thread */

static void handle_call_end(void *ctx, const struct leaf_call_result *t)
{
	struct route_service *s = ctx;
	struct pending_result pending = {
		.call_id = t->call_id,
		.end = t->end,
		.reply = t->reply ? leaf_reply_ref(t->reply) : NULL,
		.cause = t->cause,
	};

	/* This may run in a router callback, which must not call the router. */
	g_array_append_val(s->pending_results, pending);
}

static void deliver_result(struct route_service *s,
			   const struct pending_result *pending)
{
	struct router_result result = {
		.call_id = pending->call_id,
		.outcome = pending->end == LEAF_CALL_NOT_SENT ? CALL_NOT_SENT
							      : CALL_BROKEN,
		.cause = pending->cause,
	};

	if (pending->reply)
		platform_read_reply(pending->reply, &result);
	router_call_result(s->router, &result);
}

static void deliver_results(struct route_service *s)
{
	for (guint i = 0; i < s->pending_results->len; i++) {
		struct pending_result pending = g_array_index(
			s->pending_results, struct pending_result, i);

		deliver_result(s, &pending);
		leaf_reply_unref(pending.reply);
	}
	g_array_set_size(s->pending_results, 0);
}

static void process_changes(struct route_service *s, struct store_changes *c)
{
	if (!catalog_apply(&s->catalog, c)) {
		event_log(EV_STORE_GAP, "era=%llu revision=%llu from=%llu",
			  (unsigned long long)s->catalog.mirror.now.era,
			  (unsigned long long)s->catalog.mirror.now.revision,
			  (unsigned long long)c->from.revision);
		registry_thread_request_list(s->registry);
	} else if (c->items->len || store_time_is_before(c->from, c->to)) {
		feed_publish(s->feed, c);
	}
	store_changes_free(c);
}

static void process_store_state(struct route_service *s, bool is_up)
{
	if (is_up)
		s->catalog.store_back_at_us = clock_now(&s->clock);
	else
		start_hold_note_lost(&s->hold);
	if (!is_up)
		token_owner_note_store_lost(token_exchange_owner(s->tokens));
	feed_note_store(s->feed, is_up);
}

static int64_t last_news(const struct route_service *s)
{
	int64_t news = MAX(registry_thread_news_us(s->registry),
			   feed_news_us(s->feed));

	/* The feed that is followed may have been lost since. */
	return MAX(news, s->news_us);
}

/*
 * Keys may have been revoked since this host last heard from the store. It then
 * refuses them if the operator asks for that.
 */
static void check_keys_age(struct route_service *s)
{
	int64_t now = clock_now(&s->clock);
	bool are_stale;

	s->news_us = last_news(s);
	are_stale = s->settings.revoke_strict &&
		    router_has_organisations(s->router) &&
		    now - s->news_us > s->settings.revoke_after_us;
	if (are_stale == s->are_keys_stale)
		return;
	s->are_keys_stale = are_stale;
	event_log(are_stale ? EV_KEYS_STALE : EV_KEYS_TRUSTED,
		  "version=%llu age_ms=%lld limit_ms=%lld",
		  (unsigned long long)router_version(s->router),
		  (long long)((now - s->news_us) / US_PER_MS),
		  (long long)(s->settings.revoke_after_us / US_PER_MS));
	router_set_keys_stale(s->router, are_stale);
}

static void process_event(struct route_service *s, struct route_event *e)
{
	switch (e->type) {
	case ROUTE_EVENT_REQUEST:
		route_start_request(s, e->exchange);
		return;
	case ROUTE_EVENT_QUESTION:
		route_answer_question(s, e->exchange);
		return;
	case ROUTE_EVENT_CHANGES:
		process_changes(s, e->changes);
		return;
	case ROUTE_EVENT_STORE:
		process_store_state(s, e->is_store_up);
		return;
	case ROUTE_EVENT_FRAME:
		route_handle_link_frame(s, e);
		return;
	case ROUTE_EVENT_LINK_CLOSED:
		route_handle_link_closed(s, e);
		return;
	case ROUTE_EVENT_SETTINGS:
		router_set_extra_calls(s->router, e->extra_calls);
		router_set_triage(s->router, e->triage);
		s->settings.revoke_strict = e->revoke_strict;
		s->settings.revoke_after_us = e->revoke_after_us;
		return;
	case ROUTE_EVENT_DRAIN:
		s->is_draining = true;
		s->stop_us = e->stop_us;
		start_hold_note_stop(&s->hold);
		/* Before others can learn that this host stops. */
		token_owner_stop(token_exchange_owner(s->tokens));
		registry_thread_withdraw(s->registry);
		router_stop_at(s->router, e->stop_us);
		route_limit_forwards(s);
		return;
	case ROUTE_EVENT_EXIT:
		s->is_exiting = true;
		return;
	}
}

static bool is_cancelled_by(const struct route_event *gather,
			    const struct route_event *e)
{
	return e->type == ROUTE_EVENT_FRAME &&
	       e->frame->type == HOST_GATHER_CANCEL &&
	       e->link == gather->link &&
	       e->frame->id == gather->frame->request.id;
}

/*
 * Returns whether a request of another host is followed by its cancel. A
 * request that was delayed on the way arrives together with the cancel, and its
 * sender has run it elsewhere by then.
 */
static bool is_cancelled(const GPtrArray *events, guint at)
{
	const struct route_event *e = events->pdata[at];

	if (e->type != ROUTE_EVENT_FRAME || e->frame->type != HOST_GATHER)
		return false;
	for (guint i = at + 1; i < events->len; i++) {
		if (is_cancelled_by(e, events->pdata[i]))
			return true;
	}
	return false;
}

static void drop_frame(struct route_event *e)
{
	host_frame_clear(e->frame);
	g_free(e->frame);
}

static void process_events(struct route_service *s)
{
	GPtrArray *events = g_ptr_array_new_with_free_func(g_free);
	struct route_event *e;

	ring_clear_wakeup(s->events);
	while ((e = ring_pop(s->events)))
		g_ptr_array_add(events, e);
	for (guint i = 0; i < events->len; i++) {
		if (is_cancelled(events, i))
			drop_frame(events->pdata[i]);
		else
			process_event(s, events->pdata[i]);
	}
	g_ptr_array_free(events, TRUE);
}

static int64_t next_wait(const struct route_service *s, int64_t now)
{
	int64_t next = MIN(router_next_timer(s->router), now + IDLE_WAIT_US);

	next = MIN(next, route_next_forward_check(s));
	next = MIN(next, quota_next_timer(s->quota));
	next = MIN(next, token_exchange_next_timer(s->tokens));
	next = MIN(next, s->next_feed_us);
	next = MIN(next, catalog_next_timer(&s->catalog));
	if (leaf_client_get_counts(s->client).open)
		next = MIN(next, s->next_sweep_us);
	if (s->requests.length)
		next = MIN(next, s->next_gone_check_us);
	if (s->held_count)
		next = MIN(next, s->hold.until_us);
	return MAX(next - now, 0);
}

static void check_callers(struct route_service *s)
{
	const struct caller_limits *l = router_caller_limits(s->router);
	struct http_limits limits = { .body_us = BODY_TIMEOUT_US };

	/* This thread starts before the server for callers. */
	if (!l || !__atomic_load_n(&s->is_listening, __ATOMIC_ACQUIRE))
		return;
	limits.max_head = l->max_header_bytes;
	limits.max_body = l->max_body_bytes;
	limits.idle_us = l->idle_timeout_us;
	limits.head_us = l->header_timeout_us;
	http_server_set_limits(s->server, &limits);
	http_server_close_expired(s->server);
}

static void report_routes(struct route_service *s, int64_t now)
{
	struct router_place_counts places = router_place_counts(s->router);
	int64_t news = MAX(registry_thread_news_us(s->registry),
			   feed_news_us(s->feed));

	route_metrics_note_routes(router_version(s->router),
				  news ? now - news : -1);
	route_metrics_note_places(&places);
}

static void run_due_work(struct route_service *s)
{
	int64_t now = clock_now(&s->clock);

	if (now >= s->next_sweep_us) {
		s->next_sweep_us = now + SWEEP_US;
		leaf_client_sweep(s->client);
	}
	check_keys_age(s);
	deliver_results(s);
	route_release_held(s);
	if (now >= s->next_gone_check_us) {
		s->next_gone_check_us = now + GONE_CHECK_US;
		route_drop_gone_callers(s);
	}
	if (now >= s->next_callers_check_us) {
		s->next_callers_check_us = now + CALLERS_CHECK_US;
		check_callers(s);
		report_routes(s, now);
		registry_thread_set_host_count(
			s->registry, g_hash_table_size(s->directory.hosts));
		route_report_quotas(s);
	}
	if (s->transport) {
		route_check_forwards(s);
		s->next_feed_us = feed_advance(s->feed);
	}
	catalog_drop_held(&s->catalog);
	router_advance(s->router);
	rate_exchange_deliver_own(s->rates);
	route_note_token_contact(s);
	route_advance_quotas(s);
	if (now >= s->next_rates_sweep_us) {
		s->next_rates_sweep_us = now + RATES_SWEEP_US;
		rate_exchange_sweep(s->rates);
		token_exchange_sweep(s->tokens);
	}
	deliver_results(s);
}

/* The host is ready once it has routes, from the store or another host. */
static void update_ready(struct route_service *s)
{
	__atomic_store_n(&s->is_ready,
			 !s->is_draining && router_version(s->router),
			 __ATOMIC_RELEASE);
}

static bool is_stalled(const struct route_service *s, int64_t until_us)
{
	return leaf_client_wakeup_us(s->client) - until_us > STALL_US;
}

static void *run_router(void *ctx)
{
	struct route_service *s = ctx;

	s->next_feed_us = s->transport ? 0 : INT64_MAX;
	while (!s->is_exiting) {
		int64_t now = clock_now(&s->clock);
		int64_t wait = next_wait(s, now);

		if (s->woke_us)
			work_share_note(&s->work, s->woke_us, now);
		if (leaf_client_poll(s->client, wait)) {
			s->is_stalled = is_stalled(s, now + wait);
			check_keys_age(s);
			process_events(s);
			update_ready(s);
		}
		s->woke_us = leaf_client_wakeup_us(s->client);
		run_due_work(s);
		__atomic_store_n(&s->request_count, s->requests.length,
				 __ATOMIC_RELEASE);
	}
	return NULL;
}

/* Functions on other threads */

static void handle_request(void *ctx, struct http_exchange *x)
{
	route_service_send_event(
		ctx, (struct route_event){ .type = ROUTE_EVENT_REQUEST,
					   .exchange = x });
}

static void handle_changes(void *ctx, struct store_changes *c)
{
	route_service_send_event(
		ctx, (struct route_event){ .type = ROUTE_EVENT_CHANGES,
					   .changes = c });
}

static void handle_store(void *ctx, bool is_up)
{
	route_service_send_event(
		ctx, (struct route_event){ .type = ROUTE_EVENT_STORE,
					   .is_store_up = is_up });
}

static void handle_ready_check(void *ctx, struct http_exchange *x)
{
	struct route_service *s = ctx;
	bool is_ready = !strcmp(http_exchange_path(x), PLATFORM_READY_PATH) &&
			__atomic_load_n(&s->is_ready, __ATOMIC_ACQUIRE);

	http_exchange_reply(x, is_ready ? 200 : 503, "text/plain",
			    is_ready ? "ready\n" : "not ready\n",
			    is_ready ? 6 : 10);
}

static void handle_metrics(void *ctx, struct http_exchange *x)
{
	char *text;

	if (!strcmp(http_exchange_path(x), ROUTE_EXPLAIN_PATH)) {
		route_service_send_event(
			ctx, (struct route_event){ .type = ROUTE_EVENT_QUESTION,
						   .exchange = x });
		return;
	}
	text = route_metrics_render();
	http_exchange_reply(x, 200, "text/plain; version=0.0.4", text,
			    strlen(text));
	g_free(text);
}

static int start_server(struct route_service *s, const char *address,
			void (*handle)(void *ctx, struct http_exchange *x),
			struct http_server **out)
{
	struct http_server_options options = {
		.address = address,
		.handle_request = handle,
		.ctx = s,
	};

	return address ? http_server_create(out, &options) : 0;
}

static int start_servers(struct route_service *s)
{
	const struct settings *o = &s->settings;
	int ret = start_server(s, o->listen_http, handle_request, &s->server);

	if (!ret)
		http_server_set_keep_alive(s->server, settings_keep_alive(o));
	if (!ret)
		ret = start_server(s, o->listen_ready, handle_ready_check,
				   &s->ready_server);
	if (!ret)
		ret = start_server(s, o->listen_metrics, handle_metrics,
				   &s->metrics_server);
	return ret;
}

static int create_router(struct route_service *s)
{
	struct leaf_client_options client_options = {
		.clock = s->clock,
		.echo_header = PLATFORM_REQUEST_ID,
		.handle_end = handle_call_end,
		.ctx = s,
	};
	struct router_options router_options = {
		.clock = s->clock,
		.seed = (uint64_t)clock_wall(&s->clock),
		.host = s->settings.host_id,
		.domain = s->settings.domain,
		.domains = s->settings.domains,
		.extra_calls = s->settings.extra_calls,
		.triage = s->settings.triage,
		.ops = &route_router_ops,
		.ctx = s,
	};
	struct feed_options feed_options = {
		.clock = s->clock,
		.directory = &s->directory,
		.mirror = &s->catalog.mirror,
		.is_restriction = catalog_is_restriction,
		.ops = &route_feed_ops,
		.ctx = s,
	};
	struct rate_exchange_options rate_options = {
		.clock = s->clock,
		.directory = &s->directory,
		.is_alone = !s->settings.listen_peer,
		.ops = &route_rate_ops,
		.ctx = s,
	};
	int ret = ring_create(&s->events, EVENT_RING_SIZE);

	if (!ret)
		ret = leaf_client_create(&s->client, &client_options);
	if (!ret)
		ret = leaf_client_watch_fd(s->client, ring_fd(s->events));
	if (!ret)
		ret = router_create(&s->router, &router_options);
	if (ret)
		return ret;
	host_directory_init(&s->directory, s->settings.host_id,
			    router_leaves(s->router));
	store_faults_init(&s->faults, s->clock);
	s->catalog.clock = s->clock;
	s->catalog.router = s->router;
	s->catalog.directory = &s->directory;
	store_mirror_init(&s->catalog.mirror);
	feed_create(&s->feed, &feed_options);
	s->rates = rate_exchange_create(&rate_options);
	route_create_quotas(s);
	return 0;
}

static int start_registry(struct route_service *s)
{
	struct registry_thread_options options = {
		.clock = s->clock,
		.address = s->settings.registry,
		.self = { .name = s->settings.host_id,
			  .address = s->settings.listen_peer,
			  .domain = s->settings.domain,
			  .capacity = s->settings.capacity },
		.handle_changes = handle_changes,
		.handle_store = handle_store,
		.ctx = s,
	};

	return registry_thread_start(&s->registry, &options);
}

int route_service_start(struct route_service **out,
			const struct settings *settings, struct np_clock clock)
{
	struct route_service *s = g_new0(struct route_service, 1);
	int ret;

	s->settings = *settings;
	s->clock = clock;
	start_hold_init(&s->hold, clock_now(&clock));
	s->call_head = g_string_sized_new(1024);
	s->pending_results =
		g_array_new(FALSE, TRUE, sizeof(struct pending_result));
	s->forwards = g_hash_table_new(g_int64_hash, g_int64_equal);
	s->batches = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   g_free);
	s->random = g_rand_new();
	s->stop_us = INT64_MAX;
	ret = create_router(s);
	if (!ret && settings->listen_peer)
		ret = route_hosts_start(s);
	if (!ret)
		ret = start_registry(s);
	if (ret)
		return ret;
	pthread_create(&s->thread, NULL, run_router, s);
	ret = start_servers(s);
	__atomic_store_n(&s->is_listening, !ret, __ATOMIC_RELEASE);
	*out = s;
	return ret;
}

void route_service_reload(struct route_service *s,
			  const struct settings *settings)
{
	s->settings.drain_delay_us = settings->drain_delay_us;
	s->settings.stop_timeout_us = settings->stop_timeout_us;
	http_server_set_keep_alive(s->server, settings_keep_alive(settings));
	route_service_send_event(
		s, (struct route_event){
			   .type = ROUTE_EVENT_SETTINGS,
			   .extra_calls = settings->extra_calls,
			   .triage = settings->triage,
			   .revoke_strict = settings->revoke_strict,
			   .revoke_after_us = settings->revoke_after_us,
		   });
}

/* Returns the time for sending answers, out of the rest of the grace time. */
static int64_t flush_time(const struct settings *o)
{
	int64_t rest = o->grace_us - o->drain_delay_us - o->stop_timeout_us;

	return o->grace_us ? CLAMP(rest / 2, 0, STOP_FLUSH_US) : STOP_FLUSH_US;
}

/*
 * Waits for the requests that other hosts have sent, which hold no connection
 * of a caller. The router answers each of them by the end of the stop.
 */
static void wait_for_requests(const struct route_service *s, int64_t end_us)
{
	while (__atomic_load_n(&s->request_count, __ATOMIC_ACQUIRE) &&
	       clock_now(&s->clock) < end_us)
		g_usleep(STOP_POLL_US);
}

void route_service_stop(struct route_service *s)
{
	int64_t stop_us = clock_now(&s->clock) + s->settings.drain_delay_us +
			  s->settings.stop_timeout_us;
	unsigned int left;

	__atomic_store_n(&s->is_listening, false, __ATOMIC_RELEASE);
	__atomic_store_n(&s->is_ready, false, __ATOMIC_RELEASE);
	route_service_send_event(
		s, (struct route_event){ .type = ROUTE_EVENT_DRAIN,
					 .stop_us = stop_us });
	http_server_drain(s->server);
	g_usleep((gulong)s->settings.drain_delay_us);
	/*
	 * A call to the store takes up to a second to end. The requests in
	 * flight are drained meanwhile.
	 */
	registry_thread_request_stop(s->registry);
	left = http_server_stop(s->server,
				MAX(stop_us - clock_now(&s->clock), 0),
				flush_time(&s->settings));
	wait_for_requests(s, stop_us + flush_time(&s->settings));
	if (left)
		event_log(EV_STOP_TIMEOUT, "host=%s connections=%u",
			  s->settings.host_id, left);
	/* The router thread uses the registry and the links until it ends. */
	route_service_send_event(
		s, (struct route_event){ .type = ROUTE_EVENT_EXIT });
	pthread_join(s->thread, NULL);
	registry_thread_stop(s->registry);
	if (s->transport)
		transport_destroy(s->transport);
}
