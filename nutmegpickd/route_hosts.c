#include <string.h>

#include "common/errors.h"
#include "common/events.h"
#include "nutmegpickd/route_internal.h"
#include "platform/headers.h"

/*
 * A host that does not accept a request in this time is treated as stopped.
 * The time covers a new link and the way between the failure domains of a
 * region. It is shorter than REMOTE_HEDGE_MIN_US: when it ends, the other host
 * has called one leaf of a shard at most, and this host may call the second one
 * that routes allow.
 */
#define ACCEPT_TIMEOUT_US (45 * US_PER_MS)
/* A host that failed gets no further requests for this time. */
#define AVOID_US (3 * US_PER_S)
/*
 * Round trip of a request to another host and of its answer, within a failure
 * domain and within a region.
 */
#define HOP_DOMAIN_US (2 * US_PER_MS)
#define HOP_REGION_US (11 * US_PER_MS)
/* Time reserved for sending the answer to the caller. */
#define ANSWER_MARGIN_US (5 * US_PER_MS)

void route_send_frame(struct route_service *s, const char *address,
		      GByteArray *frame)
{
	if (transport_send(s->transport, address, frame->data, frame->len))
		event_log(EV_FORWARD_FAILED, "address=%s reason=queue_full",
			  address);
	g_byte_array_free(frame, TRUE);
}

void route_reply_frame(struct route_service *s, link_id link, GByteArray *frame)
{
	if (transport_reply(s->transport, link, frame->data, frame->len))
		event_log(EV_FORWARD_FAILED, "link=%llu reason=queue_full",
			  (unsigned long long)link);
	g_byte_array_free(frame, TRUE);
}

/*
 * Callbacks of the feed, which relays the changes of the store between hosts:
 * send frames to other hosts and set the watch at the store.
 */
static void send_subscribe(void *ctx, const char *address,
			   struct store_time time)
{
	route_send_frame(ctx, address, host_frame_subscribe(time));
}

static void send_unsubscribe(void *ctx, const char *address)
{
	route_send_frame(ctx, address, host_frame_unsubscribe());
}

static void send_changes(void *ctx, const char *address,
			 const struct store_changes *c)
{
	route_send_frame(ctx, address, host_frame_changes(c));
}

static void send_feed_heartbeat(void *ctx, const char *address,
				struct store_time time, bool is_store_up)
{
	route_send_frame(ctx, address, host_frame_heartbeat(time, is_store_up));
}

static void set_registry_watch(void *ctx, enum feed_watch watch)
{
	struct route_service *s = ctx;

	registry_thread_set_watch(s->registry, watch, s->catalog.mirror.now);
}

static void note_store_back(void *ctx)
{
	struct route_service *s = ctx;

	s->catalog.store_back_at_us = clock_now(&s->clock);
}

static void note_feed_lost(void *ctx)
{
	struct route_service *s = ctx;

	s->catalog.feed_lost_at_us = clock_now(&s->clock);
}

const struct feed_ops route_feed_ops = {
	.subscribe = send_subscribe,
	.unsubscribe = send_unsubscribe,
	.send_changes = send_changes,
	.send_feed_heartbeat = send_feed_heartbeat,
	.set_watch = set_registry_watch,
	.note_store_back = note_store_back,
	.note_feed_lost = note_feed_lost,
};

/*
 * Callbacks on the thread of the links: check the first frame of a link, and
 * queue further frames and the end of the link for the router thread.
 */
static int handle_hello(void *ctx, const void *data, size_t len,
			char address[PEER_ADDRESS_MAX])
{
	struct host_frame f;
	int ret = host_frame_decode(data, len, &f);

	if (ret)
		return ret;
	if (f.type != HOST_HELLO || strlen(f.address) >= PEER_ADDRESS_MAX)
		ret = -ERR_FRAME;
	else
		g_strlcpy(address, f.address, PEER_ADDRESS_MAX);
	host_frame_clear(&f);
	return ret;
}

static void queue_link_frame(void *ctx, link_id link, const char *address,
			     const void *data, size_t len)
{
	struct route_event e = { .type = ROUTE_EVENT_FRAME, .link = link };
	struct host_frame *f = g_new(struct host_frame, 1);

	if (host_frame_decode(data, len, f)) {
		event_log(EV_LINK_REFUSE, "code=E%d address=%s", ERR_FRAME,
			  address);
		g_free(f);
		return;
	}
	e.frame = f;
	g_strlcpy(e.address, address, sizeof(e.address));
	route_service_send_event(ctx, e);
}

static void queue_link_closed(void *ctx, link_id link, const char *address,
			      bool is_undelivered)
{
	struct route_event e = {
		.type = ROUTE_EVENT_LINK_CLOSED,
		.link = link,
		.is_undelivered = is_undelivered,
	};

	g_strlcpy(e.address, address, sizeof(e.address));
	route_service_send_event(ctx, e);
}

int route_hosts_start(struct route_service *s)
{
	GByteArray *hello = host_frame_hello(s->settings.listen_peer);
	struct transport_options options = {
		.address = s->settings.listen_peer,
		.clock = s->clock,
		.hello = hello->data,
		.hello_len = hello->len,
		.handle_hello = handle_hello,
		.handle_frame = queue_link_frame,
		.handle_closed = queue_link_closed,
		.ctx = s,
	};
	int ret = transport_create(&s->transport, &options);

	g_byte_array_free(hello, TRUE);
	return ret;
}

/*
 * Forwards, on the host that sends a request: choose the host that gathers for
 * it, send the request there and check its timeouts.
 */
static struct known_host *choose_gatherer(struct route_service *s,
					  struct caller_request *q,
					  const struct route *route)
{
	int64_t now = clock_now(&s->clock);
	bool is_gatherer;
	struct known_host *h = host_directory_choose_gatherer(
		&s->directory, router_shard_counts(s->router, route), s->random,
		now, &is_gatherer);

	q->gatherers =
		is_gatherer ? host_directory_count_gatherers(&s->directory, now)
			    : 0;
	return h;
}

static int64_t hop_time(const struct known_host *h)
{
	return h->distance == LEAF_SAME_DOMAIN ? HOP_DOMAIN_US : HOP_REGION_US;
}

/* Returns the time that is left for a request of which some has passed. */
static struct router_way time_left(const struct route *route, int64_t wait_us,
				   int64_t elapsed_us)
{
	int64_t wait = wait_us > 0 ? MIN(wait_us, route->timeout_us)
				   : route->timeout_us;

	return (struct router_way){
		.goal_us = router_goal_left(route) - elapsed_us,
		.wait_us = wait - elapsed_us,
	};
}

/* Returns whether a request of which some time has passed may go to a host. */
static bool has_time_to_forward(struct router *r, const struct known_host *h,
				const struct route *route, int64_t wait_us,
				int64_t elapsed_us)
{
	struct router_way way = time_left(route, wait_us, elapsed_us);

	way.way_us = hop_time(h);
	return router_may_forward(r, route, &way);
}

/* Returns why no other host may gather for a route, or FORWARD_ALLOWED. */
static enum forward_reason check_forward(const struct route_service *s,
					 struct router *r,
					 const struct route *route,
					 const char *organisation)
{
	if (!s->transport || !route || route->shape != ROUTE_GATHER)
		return FORWARD_NOT_GATHERED;
	if (!router_may_start(r, route))
		return FORWARD_STOPPING;
	if (!router_region_allows(r, route, organisation))
		return FORWARD_REGION;
	return FORWARD_ALLOWED;
}

struct forward_view route_look_forward(struct route_service *s,
				       struct router *copy,
				       const struct route *route,
				       const char *organisation)
{
	struct forward_view v = {
		.reason = check_forward(s, copy, route, organisation),
	};
	bool is_gatherer;

	if (v.reason != FORWARD_ALLOWED)
		return v;
	v.hosts = host_directory_list_gatherers(
		&s->directory, router_shard_counts(copy, route),
		clock_now(&s->clock), &is_gatherer);
	if (!v.hosts->len)
		v.reason = FORWARD_GATHERS_ITSELF;
	for (guint i = v.hosts->len; i-- > 0;) {
		if (!has_time_to_forward(copy, v.hosts->pdata[i], route, 0, 0))
			g_ptr_array_remove_index(v.hosts, i);
	}
	if (v.reason == FORWARD_ALLOWED && !v.hosts->len)
		v.reason = FORWARD_NO_TIME;
	return v;
}

static void send_request_to_gatherer(struct route_service *s,
				     struct caller_request *q,
				     const struct known_host *h,
				     const struct route *route)
{
	struct http_exchange *x = q->exchange;
	int64_t hop = hop_time(h);
	int64_t elapsed = clock_now(&s->clock) - q->start_us;
	struct gather_request g = {
		.id = q->forward.id,
		.request_id = http_exchange_header(x, PLATFORM_REQUEST_ID),
		.version = router_version(s->router),
		.wait_us = MAX(q->wait_us - hop - elapsed, 1),
		.goal_left_us = MAX(router_goal_left(route) - hop - elapsed, 1),
		.gatherers = host_directory_count_gatherers(
			&s->directory, clock_now(&s->clock)),
		.method = http_exchange_method(x),
		.host = http_exchange_header(x, "Host"),
		.target = http_exchange_target(x),
		.headers = http_exchange_headers(x),
		.organisation = q->organisation,
	};

	g.body = http_exchange_body(x, &g.body_len);
	route_send_frame(s, h->record.address, host_frame_gather(&g));
}

static void limit_wait(const struct route_service *s, struct caller_request *q)
{
	q->wait_us = MIN(q->wait_us, MAX(s->stop_us - q->start_us, 1));
}

bool route_forward_request(struct route_service *s, struct caller_request *q)
{
	const char *host = http_exchange_header(q->exchange, "Host");
	const char *id = http_exchange_header(q->exchange, PLATFORM_REQUEST_ID);
	const struct route *route = router_match(
		s->router, host, http_exchange_target(q->exchange));
	enum forward_reason reason =
		check_forward(s, s->router, route, q->organisation);
	struct known_host *h;

	if (!id)
		return false;
	if (reason == FORWARD_REGION) {
		event_log(EV_FORWARD_BARRED, "request=%s route=%s version=%llu",
			  id, route->name,
			  (unsigned long long)router_version(s->router));
		return false;
	}
	if (reason != FORWARD_ALLOWED)
		return false;
	h = choose_gatherer(s, q, route);
	if (!h ||
	    !has_time_to_forward(s->router, h, route, q->wait_us,
				 clock_now(&s->clock) - q->start_us) ||
	    (q->forward.was_handed_back &&
	     !strcmp(h->record.address, q->forward.address)))
		return false;
	q->wait_us = q->wait_us > 0 ? MIN(q->wait_us, route->timeout_us)
				    : route->timeout_us;
	limit_wait(s, q);
	q->forward.id = ++s->last_forward_id;
	q->forward.sent_us = clock_now(&s->clock);
	q->forward.is_accepted = false;
	g_strlcpy(q->forward.address, h->record.address,
		  sizeof(q->forward.address));
	g_hash_table_insert(s->forwards, &q->forward.id, q);
	event_log(EV_REQUEST_FORWARDED, "request=%s host=%s version=%llu", id,
		  h->record.name,
		  (unsigned long long)router_version(s->router));
	send_request_to_gatherer(s, q, h, route);
	return true;
}

void route_limit_forwards(struct route_service *s)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->forwards);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		limit_wait(s, value);
}

static void end_forward(struct route_service *s, struct caller_request *q)
{
	g_hash_table_remove(s->forwards, &q->forward.id);
	q->forward.id = 0;
}

void route_cancel_forward(struct route_service *s, struct caller_request *q)
{
	if (!q->forward.id)
		return;
	route_send_frame(s, q->forward.address,
			 host_frame_gather_cancel(q->forward.id));
	end_forward(s, q);
}

static void avoid_host(struct route_service *s, const char *address)
{
	struct known_host *h = host_directory_find(&s->directory, address);

	if (h)
		known_host_avoid(h, clock_now(&s->clock) + AVOID_US);
}

/* Runs a request on this host after the other host failed or refused it. */
static void run_forward_locally(struct route_service *s,
				struct caller_request *q, const char *reason,
				bool is_repeat)
{
	event_log(EV_FORWARD_FAILED,
		  "request=%s address=%s reason=%s age_ms=%lld",
		  http_exchange_header(q->exchange, PLATFORM_REQUEST_ID),
		  q->forward.address, reason,
		  (long long)((clock_now(&s->clock) - q->forward.sent_us) /
			      US_PER_MS));
	end_forward(s, q);
	route_run_locally(s, q, is_repeat);
}

/* Lists the requests forwarded to one host, or to any host if NULL. */
static GPtrArray *list_forwards(struct route_service *s, const char *address)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->forwards);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct caller_request *q = value;

		if (!address || !strcmp(q->forward.address, address))
			g_ptr_array_add(list, value);
	}
	return list;
}

static int64_t next_forward_check_us(const struct caller_request *q)
{
	if (!q->forward.is_accepted)
		return q->forward.sent_us + ACCEPT_TIMEOUT_US;
	return q->start_us + q->wait_us - ANSWER_MARGIN_US;
}

int64_t route_next_forward_check(const struct route_service *s)
{
	int64_t next = INT64_MAX;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->forwards);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		next = MIN(next, next_forward_check_us(value));
	return next;
}

static void fail_timed_out_forward(struct route_service *s,
				   struct caller_request *q)
{
	struct router_answer a = { .status = 504, .code = -ERR_NET_TIMEOUT };

	event_log(EV_REQUEST_FAILED, "request=%s status=504 code=E%d host=%s",
		  http_exchange_header(q->exchange, PLATFORM_REQUEST_ID),
		  ERR_NET_TIMEOUT, q->forward.address);
	route_cancel_forward(s, q);
	route_answer(s, q, &a);
}

void route_check_forwards(struct route_service *s)
{
	int64_t now = clock_now(&s->clock);
	GPtrArray *list;

	if (!g_hash_table_size(s->forwards) ||
	    now < route_next_forward_check(s))
		return;
	list = list_forwards(s, NULL);
	for (guint i = 0; i < list->len; i++) {
		struct caller_request *q = list->pdata[i];
		char address[PEER_ADDRESS_MAX];

		/* A request handled before in this loop may have ended it. */
		if (!q->forward.id || now < next_forward_check_us(q))
			continue;
		if (q->forward.is_accepted) {
			fail_timed_out_forward(s, q);
			continue;
		}
		g_strlcpy(address, q->forward.address, sizeof(address));
		avoid_host(s, address);
		route_send_frame(s, address,
				 host_frame_gather_cancel(q->forward.id));
		run_forward_locally(s, q, "not_taken", true);
		break;
	}
	g_ptr_array_free(list, TRUE);
}

/*
 * Forwarded requests and batches share the id field of frames; this bit marks
 * the id of a batch.
 */
#define BATCH_BIT (1ULL << 62)

/*
 * Batches, on the host that sends them: send a request with a list of shards to
 * a host in their failure domain, and deliver its results to the router.
 */
bool route_start_batch(struct route_service *s, const struct router_batch *b)
{
	const struct caller_request *q = b->user;
	struct known_host *h;
	struct sent_batch *sent;
	struct gather_request g;

	if (!s->transport)
		return false;
	h = host_directory_choose_in_domain(&s->directory, b->domain, s->random,
					    clock_now(&s->clock));
	if (!h)
		return false;
	if (q->frame)
		g = q->frame->request;
	else
		g = (struct gather_request){
			.request_id = http_exchange_header(q->exchange,
							   PLATFORM_REQUEST_ID),
			.method = http_exchange_method(q->exchange),
			.host = http_exchange_header(q->exchange, "Host"),
			.target = http_exchange_target(q->exchange),
			.headers = http_exchange_headers(q->exchange),
		};
	if (!q->frame)
		g.body = http_exchange_body(q->exchange, &g.body_len);
	if (!q->frame && b->has_organisations)
		http_exchange_remove_headers(q->exchange,
					     platform_is_identity_header);
	g.organisation = b->organisation;
	g.id = b->id | BATCH_BIT;
	g.version = router_version(s->router);
	g.wait_us = b->wait_us;
	g.goal_left_us = b->goal_us;
	g.shards = b->shards;
	g.shard_count = b->shard_count;
	if (!g.request_id)
		return false;
	sent = g_new0(struct sent_batch, 1);
	sent->id = b->id;
	g_strlcpy(sent->address, h->record.address, sizeof(sent->address));
	g_hash_table_insert(s->batches, &sent->id, sent);
	route_send_frame(s, h->record.address, host_frame_gather(&g));
	return true;
}

void route_cancel_batch(struct route_service *s, uint64_t batch_id)
{
	struct sent_batch *sent = g_hash_table_lookup(s->batches, &batch_id);

	if (!sent)
		return;
	if (!sent->is_accepted)
		avoid_host(s, sent->address);
	route_send_frame(s, sent->address,
			 host_frame_gather_cancel(batch_id | BATCH_BIT));
	g_hash_table_remove(s->batches, &batch_id);
}

static void deliver_batch_result(struct route_service *s,
				 const struct router_batch_result *result)
{
	if (result->is_final)
		g_hash_table_remove(s->batches, &result->id);
	router_handle_batch_result(s->router, result);
}

static void handle_batch_result(struct route_service *s,
				const struct gather_result *g)
{
	struct router_batch_result result = {
		.id = g->id & ~BATCH_BIT,
		.is_refused = !g->status,
		.is_final = !g->is_more,
		.shards = g->shards,
		.stamps = g->stamps,
		.count = g->shard_count,
		.body = g->body,
		.body_len = g->body_len,
	};

	/* A failed batch has no parts; leaves may have been called for it. */
	if (g->status != 200 || g->stamp_count != g->shard_count)
		result.count = 0;
	deliver_batch_result(s, &result);
}

static void fail_batches(struct route_service *s, const char *address,
			 bool is_undelivered)
{
	GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->batches);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct sent_batch *sent = value;

		if (!strcmp(sent->address, address))
			g_ptr_array_add(ids,
					g_memdup2(&sent->id, sizeof(sent->id)));
	}
	for (guint i = 0; i < ids->len; i++) {
		struct router_batch_result result = {
			.id = *(const uint64_t *)ids->pdata[i],
			.is_refused = is_undelivered,
			.is_final = true,
		};

		deliver_batch_result(s, &result);
	}
	g_ptr_array_free(ids, TRUE);
}

/*
 * Answers of a gathering host, on the host that sent it a request or a batch.
 *
 * Tries one more host after a refusal as overloaded, then runs locally.
 */
static void retry_busy_forward(struct route_service *s,
			       struct caller_request *q)
{
	host_directory_note_busy(&s->directory, clock_now(&s->clock));
	if (q->forward.was_busy || q->forward.was_handed_back) {
		run_forward_locally(s, q, "busy", false);
		return;
	}
	event_log(EV_FORWARD_FAILED, "request=%s address=%s reason=busy",
		  http_exchange_header(q->exchange, PLATFORM_REQUEST_ID),
		  q->forward.address);
	end_forward(s, q);
	q->forward.was_busy = true;
	if (!route_identify_caller(s, q) || !route_forward_request(s, q))
		route_run_locally(s, q, false);
}

/*
 * Tries one other host after a refusal for lack of capacity, or runs locally,
 * while the request can meet its goal. Otherwise, and after a second refusal,
 * its caller gets the answer: nothing has run.
 */
static void retry_handed_back(struct route_service *s, struct caller_request *q,
			      const struct gather_result *g)
{
	const char *id = http_exchange_header(q->exchange, PLATFORM_REQUEST_ID);
	const struct route *route = router_match(
		s->router, http_exchange_header(q->exchange, "Host"),
		http_exchange_target(q->exchange));
	struct router_way way = { 0 };
	struct router_answer a = {
		.status = 503,
		.code = g->code,
		.retry_after_us = g->retry_after_us,
	};
	bool may_retry;

	if (route)
		way = time_left(route, q->wait_us,
				clock_now(&s->clock) - q->start_us);
	may_retry = route && !q->forward.was_handed_back &&
		    router_may_retry_forward(s->router, route, &way);
	event_log(EV_FORWARD_HANDED_BACK,
		  "request=%s address=%s retry=%d left_ms=%lld", id,
		  q->forward.address, may_retry,
		  (long long)(way.goal_us / US_PER_MS));
	end_forward(s, q);
	if (!may_retry) {
		route_answer(s, q, &a);
		return;
	}
	q->forward.was_handed_back = true;
	if (!route_identify_caller(s, q) || !route_forward_request(s, q))
		route_run_locally(s, q, false);
}

static void handle_result_from_gatherer(struct route_service *s,
					const struct gather_result *g)
{
	struct caller_request *q = g_hash_table_lookup(s->forwards, &g->id);
	struct router_answer a = {
		.status = g->status,
		.code = g->code,
		.retry_after_us = g->retry_after_us,
		.stamps = g->stamps,
		.stamp_count = g->stamp_count,
		.missing_count = g->missing_count,
		.body = g->body,
		.body_len = g->body_len,
	};

	if (g->id & BATCH_BIT) {
		handle_batch_result(s, g);
		return;
	}
	if (!q)
		return;
	if (g->code == -ERR_ROUTE_BUSY && !g->status) {
		retry_busy_forward(s, q);
		return;
	}
	if (g->code == -ERR_ROUTE_LATE && !g->status) {
		retry_handed_back(s, q, g);
		return;
	}
	if (!g->status) {
		run_forward_locally(s, q, "refused", false);
		return;
	}
	end_forward(s, q);
	route_answer(s, q, &a);
}

static void handle_accepted_from_gatherer(struct route_service *s, uint64_t id)
{
	struct caller_request *q = g_hash_table_lookup(s->forwards, &id);
	uint64_t batch_id = id & ~BATCH_BIT;
	struct sent_batch *sent = g_hash_table_lookup(s->batches, &batch_id);

	if (id & BATCH_BIT) {
		if (sent)
			sent->is_accepted = true;
	} else if (q) {
		q->forward.is_accepted = true;
	}
}

/*
 * Requests of other hosts, on the host that gathers for them: accept or refuse
 * a request and send its result to the host that sent it.
 */
void route_send_result_to_sender(struct route_service *s,
				 const struct caller_request *q,
				 const struct router_answer *a, bool is_more)
{
	struct gather_result g = {
		.id = q->remote_id,
		.status = a->status,
		.code = a->code,
		.retry_after_us = a->retry_after_us,
		.stamps = a->stamps,
		.stamp_count = a->stamp_count,
		.missing_count = a->missing_count,
		.body = a->body,
		.body_len = a->body_len,
	};

	if (q->frame->request.shard_count) {
		g.shards = a->shards;
		g.shard_count = a->shards ? a->stamp_count : 0;
		g.is_more = is_more;
	} else if (!q->id && router_hands_back(s->router, a)) {
		/* Refused on arrival: id is set once the request waits. */
		event_log(EV_GATHER_HANDED_BACK, "request=%s retry_ms=%lld",
			  q->frame->request.request_id,
			  (long long)(a->retry_after_us / US_PER_MS));
		g.status = 0;
	}
	route_reply_frame(s, q->link, host_frame_gather_result(&g));
}

/*
 * Returns whether the caller of a request of another host is accepted here. The
 * other host has checked the key, which it does not pass on.
 */
static bool is_caller_accepted(const struct route_service *s,
			       const struct gather_request *g)
{
	struct router_request in = {
		.host = g->host,
		.path = g->target,
		.organisation = *g->organisation ? g->organisation : NULL,
	};
	struct identity who = router_identify(s->router, &in);

	if (who.verdict == IDENTITY_ACCEPTED)
		return true;
	event_log(EV_GATHER_REFUSED,
		  "request=%s organisation=\"%s\" verdict=%s version=%llu",
		  g->request_id, g->organisation,
		  identity_verdict_name(who.verdict),
		  (unsigned long long)router_version(s->router));
	return false;
}

/* Returns whether the request was started, which then owns the frame. */
static bool handle_gather_from_sender(struct route_service *s, link_id link,
				      struct host_frame *f)
{
	struct gather_result refused = { .id = f->request.id };
	const struct route *route =
		router_match(s->router, f->request.host, f->request.target);

	/*
	 * This host may have a newer version of the routes than the sender. The
	 * sender's callers would see that version, and the older one again with
	 * the next request.
	 */
	if (s->is_draining || !route || route->shape != ROUTE_GATHER ||
	    f->request.version != router_version(s->router) ||
	    !is_caller_accepted(s, &f->request)) {
		route_reply_frame(s, link, host_frame_gather_result(&refused));
		return false;
	}
	if (work_share_is_high(&s->work)) {
		refused.code = -ERR_ROUTE_BUSY;
		route_reply_frame(s, link, host_frame_gather_result(&refused));
		return false;
	}
	route_reply_frame(s, link, host_frame_gather_accepted(f->request.id));
	route_start_remote(s, link, f);
	return true;
}

/*
 * Frames and closed links, on the router thread: each goes to the feed, to the
 * sending side or to the gathering side.
 */
static void handle_changes_from_feed(struct route_service *s,
				     const char *address,
				     const struct host_frame *f)
{
	struct store_changes *c = f->changes;

	store_faults_note_entries(&s->faults, "feed", f->unread_count, NULL);
	if (!catalog_apply(&s->catalog, c)) {
		feed_handle_gap(s->feed, address);
	} else {
		registry_thread_note_time(s->registry, s->catalog.mirror.now);
		feed_publish(s->feed, c);
	}
	s->news_us = clock_now(&s->clock);
}

void route_handle_link_frame(struct route_service *s, struct route_event *e)
{
	struct host_frame *f = e->frame;
	bool is_kept = false;

	switch (f->type) {
	case HOST_HELLO:
		break;
	case HOST_SUBSCRIBE:
		feed_handle_subscribe(s->feed, e->address, f->time);
		break;
	case HOST_UNSUBSCRIBE:
		feed_handle_unsubscribe(s->feed, e->address);
		break;
	case HOST_CHANGES:
		handle_changes_from_feed(s, e->address, f);
		break;
	case HOST_HEARTBEAT:
		feed_handle_heartbeat(s->feed, e->address, f->time,
				      f->is_store_up);
		break;
	case HOST_GATHER:
		is_kept = handle_gather_from_sender(s, e->link, f);
		break;
	case HOST_GATHER_ACCEPTED:
		handle_accepted_from_gatherer(s, f->id);
		break;
	case HOST_GATHER_RESULT:
		handle_result_from_gatherer(s, &f->result);
		break;
	case HOST_GATHER_CANCEL:
		route_cancel_remote(s, e->link, f->id);
		break;
	case HOST_RATE_CLAIMS:
		route_answer_claims(s, e->link, e->address, f->rate_claims);
		break;
	case HOST_RATE_GRANTS:
		rate_exchange_handle_grants(s->rates, e->address,
					    f->rate_grants);
		break;
	case HOST_TOKEN_CLAIMS:
		route_answer_token_claims(s, e->link, f->token_claims);
		break;
	case HOST_TOKEN_VIEW:
		token_owner_handle_view(token_exchange_owner(s->tokens),
					e->address, &f->token_view);
		break;
	case HOST_TOKEN_RELEASE:
		token_owner_handle_release(token_exchange_owner(s->tokens),
					   e->address, &f->token_release);
		break;
	case HOST_TOKEN_GRANTS:
		token_exchange_handle_grants(s->tokens, e->address,
					     f->token_grants);
		break;
	}
	if (is_kept)
		return;
	host_frame_clear(f);
	g_free(f);
}

/*
 * Fails a request that the other host had accepted. Leaves may have been
 * called for it as often as the route allows, so it is not run again here. The
 * caller may retry it under another id.
 */
static void fail_disconnected_forward(struct route_service *s,
				      struct caller_request *q)
{
	struct router_answer a = { .status = 502, .code = -ERR_NET_RESET };

	event_log(EV_REQUEST_FAILED, "request=%s status=502 code=E%d host=%s",
		  http_exchange_header(q->exchange, PLATFORM_REQUEST_ID),
		  ERR_NET_RESET, q->forward.address);
	end_forward(s, q);
	route_answer(s, q, &a);
}

void route_handle_link_closed(struct route_service *s,
			      const struct route_event *e)
{
	GPtrArray *list = list_forwards(s, e->address);

	feed_handle_closed(s->feed, e->address);
	if (e->link)
		route_cancel_link_requests(s, e->link);
	avoid_host(s, e->address);
	rate_exchange_note_closed(s->rates, e->address, e->is_undelivered);
	token_exchange_note_closed(s->tokens, e->address, e->is_undelivered);
	fail_batches(s, e->address, e->is_undelivered);
	for (guint i = 0; i < list->len; i++) {
		struct caller_request *q = list->pdata[i];

		if (q->forward.is_accepted)
			fail_disconnected_forward(s, q);
		else
			run_forward_locally(s, q, "link_closed",
					    !e->is_undelivered);
	}
	g_ptr_array_free(list, TRUE);
}
