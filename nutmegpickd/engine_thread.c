#include "nutmegpickd/host.h"

#include <poll.h>
#include <stdlib.h>

#include "common/errors.h"
#include "common/events.h"
#include "nutmegpickd/route.h"

/* Longest sleep, so that a caller's disconnect is detected in time. */
#define MAX_SLEEP_US (20 * US_PER_MS)

/* Longest wait for the release of the seat if the store is down. */
#define RELEASE_WAIT_US (3 * US_PER_S)

int host_send_event(struct host *h, struct host_event event)
{
	struct host_event *copy = g_memdup2(&event, sizeof(event));
	int ret = ring_push(h->events, copy);

	if (ret)
		g_free(copy);
	return ret;
}

void host_drop_events(struct host *h)
{
	struct host_event *e;

	while ((e = ring_pop(h->events))) {
		if (e->reply)
			upstream_reply_free(e->reply);
		if (e->set)
			object_set_unref(e->set);
		free(e->data);
		g_free(e);
	}
}

static void apply_limits(struct host *h, const struct object_set *set)
{
	for (uint32_t i = 0; i < set->leaf_count; i++) {
		const struct shard_object *shard =
			&set->shards[set->leaves[i].shard];

		upstream_set_limit(h->upstream, set->leaves[i].address,
				   set->groups[shard->group].connections);
	}
}

static bool is_stale(const struct host *h, const struct object_set *set)
{
	/* Sets from a local path have no version. */
	return h->set && set->version && set->version <= h->set->version;
}

void host_apply_set(struct host *h, struct object_set *set)
{
	if (is_stale(h, set)) {
		event_log(EV_SET_STALE,
			  "version=%" G_GUINT64_FORMAT
			  " in_force=%" G_GUINT64_FORMAT,
			  set->version, h->set->version);
		object_set_unref(set);
		return;
	}
	if (engine_apply_set(h->engine, set)) {
		event_log(EV_SET_REFUSED, "version=%" G_GUINT64_FORMAT,
			  set->version);
		if (h->fleet)
			fleet_mark_refused(h->fleet, set->version);
		object_set_unref(set);
		return;
	}
	event_log(EV_SET_IN_FORCE, "version=%" G_GUINT64_FORMAT, set->version);
	object_set_unref(h->set);
	h->set = set;
	h->set_since_us = clock_wall(&h->clock);
	if (h->fleet)
		peers_announce_set(h);
	else
		apply_limits(h, set);
	h->next_report_us = 0;
}

static void start_drain(struct host *h)
{
	h->is_draining = true;
	/* Other hosts then choose other holders; this one keeps its shares. */
	if (h->fleet)
		fleet_set_seat(h->fleet, NO_SEAT);
}

static void start_exit(struct host *h)
{
	h->is_exiting = true;
	h->exit_deadline_us =
		clock_now(&h->clock) + h->settings.stop_timeout_us;
}

/* Returns whether the exit waits for other hosts' queries or for the seat. */
static bool is_exit_pending(struct host *h)
{
	if (!h->fleet || clock_now(&h->clock) >= h->exit_deadline_us)
		return false;
	if (g_hash_table_size(h->queries))
		return true;
	/* Without a store the seat is fixed and needs no release. */
	if (!h->store_thread)
		return false;
	if (!h->is_releasing_seat) {
		fleet_stop(h->fleet);
		h->exit_deadline_us = clock_now(&h->clock) + RELEASE_WAIT_US;
	}
	h->is_releasing_seat = true;
	return !fleet_is_stopped(h->fleet);
}

static void handle_event(struct host *h, struct host_event *e)
{
	switch (e->type) {
	case HOST_REQUEST:
		query_start(h, e->exchange);
		break;
	case HOST_REPLY:
		if (e->reply->call_id)
			query_handle_reply(h, e->reply);
		else if (e->reply->is_host_list)
			peers_handle_host_list(h, e->reply);
		else
			report_handle(h, e->reply);
		upstream_reply_free(e->reply);
		break;
	case HOST_SET:
		host_apply_set(h, e->set);
		break;
	case HOST_FRAME:
		peers_handle_frame(h, e);
		free(e->data);
		break;
	case HOST_STORE_RESULT:
		fleet_receive_store_result(h->fleet, e->ticket, e->code,
					   e->revision, e->data, e->len);
		free(e->data);
		break;
	case HOST_LINK_CLOSED:
		forward_handle_closed(h, e);
		break;
	case HOST_DRAIN:
		start_drain(h);
		break;
	case HOST_STOP:
		h->is_stopping = true;
		engine_stop_admission(h->engine);
		query_refuse_all(h, false);
		break;
	case HOST_EXIT:
		start_exit(h);
		break;
	}
	g_free(e);
}

static int sleep_ms(struct host *h)
{
	int64_t now = clock_now(&h->clock);
	int64_t wait = MIN(engine_next_timer(h->engine) - now, MAX_SLEEP_US);

	if (h->fleet)
		wait = MIN(wait, fleet_next_timer(h->fleet) - now);

	if (wait <= 0)
		return 0;
	return (int)((wait + US_PER_MS - 1) / US_PER_MS);
}

void *host_run_engine(void *ctx)
{
	struct host *h = ctx;
	struct pollfd p = { .fd = ring_fd(h->events), .events = POLLIN };

	while (!h->is_exiting || is_exit_pending(h)) {
		struct host_event *e;

		poll(&p, 1, sleep_ms(h));
		ring_clear_wakeup(h->events);
		while ((e = ring_pop(h->events)))
			handle_event(h, e);
		engine_advance(h->engine);
		peers_advance(h);
		report_poll(h);
		query_cancel_gone(h);
	}
	query_refuse_all(h, true);
	return NULL;
}
