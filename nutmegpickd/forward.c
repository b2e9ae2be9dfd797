#include "nutmegpickd/host.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "common/errors.h"
#include "common/events.h"
#include "nutmegpickd/route.h"

/* Minimum time before the deadline in which a second holder is tried. */
#define MIN_RETRY_US (5 * US_PER_MS)

/* Time after the deadline in which a refusal by the holder may still arrive. */
#define RESULT_GRACE_US (20 * US_PER_MS)

/* Status from a host that is no holder or key owner: the query was not run. */
#define STATUS_MISDIRECTED 421

/** Query of a caller that another host runs. */
struct forward {
	uint64_t id;
	struct origin origin;
	struct engine_request request;
	char *service;
	char *class;
	int64_t deadline_us;
	struct holder_route route;
	/** Waits until the owner of its key is reached; ends at deadline_us. */
	bool is_waiting;
	bool is_retried;
};

static struct counter forwards_total = {
	.name = "nutmegpick_forwards_total",
	.help = "Queries forwarded to a holder.",
};

__attribute__((constructor)) static void register_counters(void)
{
	counter_register(&forwards_total);
}

static int64_t service_deadline(const struct host *h,
				const struct engine_request *r)
{
	const struct deadline_object *d;
	obj_handle s = object_set_find_service(h->set, r->service);

	if (s == OBJ_NONE)
		return r->deadline_us;
	d = &h->set->deadlines[h->set->services[s].deadline];
	if (r->deadline_us <= 0)
		return d->default_us;
	return MIN(r->deadline_us, d->max_us);
}

static bool is_keyed(const struct host *h, const struct engine_request *r)
{
	obj_handle s = object_set_find_service(h->set, r->service);

	return r->is_non_idempotent ||
	       (s != OBJ_NONE && !h->set->services[s].idempotent);
}

static int send_query(struct host *h, struct forward *f)
{
	struct forward_query q = {
		.id = f->id,
		.service = f->service,
		.class = f->class,
		.key_created_us = f->request.key_created_us,
		.remaining_us = f->deadline_us - clock_now(&h->clock),
		.is_first_attempt = f->request.is_first_attempt,
		.is_non_idempotent = f->request.is_non_idempotent,
	};
	struct forward_buffer b;
	int ret;

	g_strlcpy(q.request_id, f->request.id, sizeof(q.request_id));
	g_strlcpy(q.key, f->request.key, sizeof(q.key));
	q.body = http_exchange_body(f->origin.exchange, &q.body_len);
	b = forward_encode_query(&q);
	ret = transport_send(h->transport, f->route.address, b.data, b.len);
	free(b.data);
	if (ret)
		return ret;
	route_begin_forward(h, &f->route);
	counter_add(&forwards_total, 1);
	event_log(EV_FORWARD, "request=%s service=%s to=%s retry=%d",
		  f->request.id, f->service, f->route.address, f->is_retried);
	return 0;
}

static void free_forward(struct forward *f)
{
	free(f->service);
	free(f->class);
	g_free(f);
}

static void end_forward(struct host *h, struct forward *f, bool is_answered)
{
	if (!f->is_waiting)
		route_end_forward(h, &f->route, is_answered);
	g_hash_table_remove(h->forwards, &f->id);
	free_forward(f);
}

static void refuse_forward(struct host *h, struct forward *f, int code,
			   enum run_state run)
{
	event_log(EV_QUERY_REFUSE, "request=%s code=E%d to=%s", f->request.id,
		  -code, f->route.address);
	if (origin_is_open(&f->origin))
		answer_refuse(h, &f->origin, f->request.id, code, run, 0);
	end_forward(h, f, false);
}

static struct forward *create_forward(struct host *h, struct http_exchange *x,
				      const struct engine_request *request)
{
	struct forward *f = g_new0(struct forward, 1);

	f->id = ++h->last_forward_id;
	f->origin.exchange = x;
	f->request = *request;
	f->service = strdup(request->service);
	f->class = request->class ? strdup(request->class) : NULL;
	f->request.service = f->service;
	f->request.class = f->class;
	f->deadline_us = clock_now(&h->clock) + service_deadline(h, request);
	return f;
}

int forward_start(struct host *h, struct http_exchange *x,
		  const struct engine_request *request)
{
	struct forward *f;
	struct holder_route route;
	int ret;

	if (!h->transport || !h->set)
		return 0;
	ret = route_choose_host(h, request, NULL, &route);
	/* A keyed request waits: a new owner takes over the keys in seconds. */
	if (ret && !is_keyed(h, request))
		return ret;
	if (!ret && route.is_local)
		return 0;
	f = create_forward(h, x, request);
	f->route = route;
	f->is_waiting = ret != 0;
	if (!ret && send_query(h, f)) {
		free_forward(f);
		return -ERR_OVERLOAD;
	}
	g_hash_table_insert(h->forwards, &f->id, f);
	return 1;
}

/* Retries the query at another holder; returns whether it was sent. */
static bool retry_forward(struct host *h, struct forward *f)
{
	struct holder_route next;
	int64_t left = f->deadline_us - clock_now(&h->clock);

	if (f->is_retried || left < MIN_RETRY_US ||
	    !origin_is_open(&f->origin) || is_keyed(h, &f->request))
		return false;
	if (route_choose_host(h, &f->request, f->route.address, &next) ||
	    next.is_local)
		return false;
	route_end_forward(h, &f->route, false);
	f->route = next;
	f->is_retried = true;
	return !send_query(h, f);
}

/*
 * Makes a keyed request wait for another owner of its key. The last one did not
 * run it.
 */
static void wait_for_owner(struct host *h, struct forward *f)
{
	route_end_forward(h, &f->route, true);
	f->is_waiting = true;
}

static void handle_result(struct host *h, const char *address,
			  const struct forward_result *r)
{
	struct forward *f = g_hash_table_lookup(h->forwards, &r->id);

	/* The query has ended, or the result is not from its current holder. */
	if (!f || f->is_waiting || strcmp(f->route.address, address)) {
		event_log(EV_CALL_DROP, "forward=%" PRIu64 " from=%s", r->id,
			  address);
		return;
	}
	if (r->status == STATUS_MISDIRECTED) {
		if (retry_forward(h, f))
			return;
		if (is_keyed(h, &f->request) && origin_is_open(&f->origin)) {
			wait_for_owner(h, f);
			return;
		}
	}
	if (origin_is_open(&f->origin))
		origin_reply(h, &f->origin, r->status, r->retry_after_s,
			     r->body, r->body_len);
	end_forward(h, f, true);
}

void forward_handle_frame(struct host *h, const struct host_event *e,
			  const void *data, size_t len)
{
	struct forward_frame frame;

	if (forward_decode(data, len, &frame)) {
		event_log(EV_LINK_REFUSE, "code=E%d address=%s", ERR_FRAME,
			  e->address);
		return;
	}
	switch (frame.type) {
	case FORWARD_QUERY:
		query_start_forwarded(h, e->link, &frame.query);
		break;
	case FORWARD_RESULT:
		handle_result(h, e->address, &frame.result);
		break;
	case FORWARD_CANCEL:
		query_cancel_forwarded(h, e->link, frame.id);
		break;
	default:
		break;
	}
	forward_free(&frame);
}

void forward_handle_closed(struct host *h, const struct host_event *e)
{
	GList *all = g_hash_table_get_values(h->forwards);

	for (GList *l = all; l; l = l->next) {
		struct forward *f = l->data;

		if (f->is_waiting || strcmp(f->route.address, e->address) ||
		    retry_forward(h, f))
			continue;
		if (e->is_undelivered && is_keyed(h, &f->request)) {
			wait_for_owner(h, f);
			continue;
		}
		refuse_forward(h, f, -ERR_NO_HOLDER,
			       e->is_undelivered ? RUN_NOT_RUN : RUN_UNKNOWN);
	}
	g_list_free(all);
}

static void send_cancel(struct host *h, struct forward *f)
{
	struct forward_buffer b = forward_encode_cancel(f->id);

	transport_send(h->transport, f->route.address, b.data, b.len);
	free(b.data);
}

/*
 * Sends a waiting request to the owner of its key, if one can be reached.
 * Returns true if this host is the owner.
 */
static bool try_owner(struct host *h, struct forward *f)
{
	struct holder_route route;

	if (route_choose_host(h, &f->request, NULL, &route))
		return false;
	if (route.is_local)
		return true;
	f->route = route;
	f->is_waiting = send_query(h, f) != 0;
	return false;
}

/*
 * Runs a waiting request on this host. It continues to wait if it cannot run
 * yet because reports of leaves are missing or the host is no longer the owner.
 */
static void run_locally(struct host *h, struct forward *f)
{
	int ret;

	f->request.deadline_us = f->deadline_us - clock_now(&h->clock);
	ret = query_start_local(h, f->origin, &f->request);
	if (ret == -ERR_NO_SNAPSHOT || ret == -ERR_NOT_OWNER)
		return;
	if (ret) {
		refuse_forward(h, f, ret, RUN_NOT_RUN);
		return;
	}
	memset(&f->origin, 0, sizeof(f->origin));
	end_forward(h, f, false);
}

static void check_forward(struct host *h, struct forward *f, int64_t now)
{
	bool is_gone = f->origin.exchange &&
		       http_exchange_is_caller_gone(f->origin.exchange);
	enum run_state run = f->is_waiting ? RUN_NOT_RUN : RUN_UNKNOWN;
	int64_t end = f->deadline_us + (f->is_waiting ? 0 : RESULT_GRACE_US);

	if (!is_gone && now < end) {
		if (f->is_waiting && try_owner(h, f))
			run_locally(h, f);
		return;
	}
	if (!f->is_waiting)
		send_cancel(h, f);
	if (is_gone)
		refuse_forward(h, f, -ERR_CANCELLED, run);
	else
		refuse_forward(h, f,
			       f->is_waiting ? -ERR_NO_HOLDER : -ERR_DEADLINE,
			       run);
}

void forward_check_all(struct host *h)
{
	GList *all = g_hash_table_get_values(h->forwards);
	int64_t now = clock_now(&h->clock);

	for (GList *l = all; l; l = l->next)
		check_forward(h, l->data, now);
	g_list_free(all);
}
