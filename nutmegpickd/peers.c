#include "nutmegpickd/host.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "common/errors.h"
#include "common/events.h"
#include "fleet/frame.h"
#include "nutmegpickd/route.h"
#include "nutmegpickd/set_transfer.h"
#include "nutmegpickd/store_thread.h"

/*
 * Interval between reads of the host list. The fleet accepts up to 5 s between
 * two lists, so one may fail.
 */
#define HOST_LIST_PERIOD_US (2 * US_PER_S)

struct peers {
	struct host *host;
	/** Decodes hello frames on the thread of the links. */
	struct frame_codec *codec;
};

/* Restores the length prefix of a fleet frame, which the link removes. */
static void *add_prefix(const void *data, size_t len)
{
	uint32_t prefix = htonl((uint32_t)len);
	uint8_t *frame = malloc(FRAME_PREFIX + len);

	if (!frame)
		return NULL;
	memcpy(frame, &prefix, FRAME_PREFIX);
	memcpy(frame + FRAME_PREFIX, data, len);
	return frame;
}

static void handle_send(void *ctx, const char *address, const void *data,
			size_t len)
{
	struct host *h = ctx;

	transport_send(h->transport, address,
		       (const uint8_t *)data + FRAME_PREFIX,
		       len - FRAME_PREFIX);
}

static void handle_fetch_set(void *ctx, const char *address, uint64_t version)
{
	struct host *h = ctx;

	/* Without an address, the store thread fetches the set. */
	if (address)
		set_transfer_fetch(h->transfer, address, version);
}

static void handle_watch(void *ctx, bool is_wanted)
{
	struct host *h = ctx;

	if (h->store_thread)
		store_thread_set_active(h->store_thread, is_wanted);
}

static void handle_part(void *ctx, const struct frame *frame)
{
	struct host *h = ctx;

	set_transfer_handle(h->transfer, frame);
}

static void handle_store_get(void *ctx, uint64_t ticket, const char *key)
{
	struct host *h = ctx;

	store_thread_get(h->store_thread, ticket, key);
}

static void handle_store_cas(void *ctx, uint64_t ticket, const char *key,
			     uint64_t revision, const void *data, size_t len)
{
	struct host *h = ctx;

	store_thread_cas(h->store_thread, ticket, key, revision, data, len);
}

static void handle_placement(void *ctx, int32_t seat)
{
	struct host *h = ctx;

	/* A callback must not call the fleet; peers_advance() rebuilds. */
	h->seat = seat;
	h->is_holder_table_stale = true;
}

static void handle_lease(void *ctx, const struct lease_state *state)
{
	struct host *h = ctx;
	uint32_t range = route_key_range(state->domain, state->seat);

	engine_set_tenure(h->engine, range, state->tenure_us,
			  state->is_owner ? state->until_us : INT64_MIN);
	/* A new owner has no reports yet of the leaves that it takes over. */
	if (state->is_owner)
		h->next_report_us = 0;
	route_set_owner(h, state->domain, state->seat, state->is_owner);
	h->is_holder_table_stale = true;
}

static const struct fleet_ops fleet_ops = {
	.store_get = handle_store_get,
	.store_cas = handle_store_cas,
	.placement_changed = handle_placement,
	.lease_changed = handle_lease,
	.send = handle_send,
	.fetch_set = handle_fetch_set,
	.watch = handle_watch,
	.part = handle_part,
};

static int handle_hello(void *ctx, const void *data, size_t len,
			char address[PEER_ADDRESS_MAX])
{
	struct peers *p = ctx;
	void *whole = add_prefix(data, len);
	struct frame frame;
	int ret = frame_decode(p->codec, whole, len + FRAME_PREFIX, &frame);

	if (!ret && frame.type != FRAME_HELLO)
		ret = -ERR_FRAME_TYPE;
	if (!ret)
		ret = frame_select_version(&frame.hello);
	if (ret >= 0)
		g_strlcpy(address, frame.hello.sender.address,
			  PEER_ADDRESS_MAX);
	free(whole);
	return MIN(ret, 0);
}

static void send_event(struct peers *p, struct host_event e,
		       const char *address)
{
	g_strlcpy(e.address, address, sizeof(e.address));
	if (host_send_event(p->host, e))
		free(e.data);
}

static void handle_frame(void *ctx, link_id link, const char *address,
			 const void *data, size_t len)
{
	struct host_event e = {
		.type = HOST_FRAME,
		.link = link,
		.data = add_prefix(data, len),
		.len = len + FRAME_PREFIX,
	};

	/* A full ring drops the frame, as backpressure on peers' queries. */
	if (e.data)
		send_event(ctx, e, address);
}

static void handle_closed(void *ctx, link_id link, const char *address,
			  bool is_undelivered)
{
	struct host_event e = {
		.type = HOST_LINK_CLOSED,
		.link = link,
		.is_undelivered = is_undelivered,
	};

	send_event(ctx, e, address);
}

static int encode_hello(struct host *h, struct frame_codec *codec,
			const void **data, size_t *len)
{
	struct frame frame = { .type = FRAME_HELLO };

	frame.hello.version_low = FRAME_VERSION_LOW;
	frame.hello.version_high = FRAME_VERSION_HIGH;
	frame.hello.sender = *membership_self(fleet_members(h->fleet));
	return frame_encode(codec, &frame, data, len);
}

static int start_links(struct host *h, struct peers *p)
{
	struct transport_options options = {
		.address = h->settings.listen_peer,
		.clock = h->clock,
		.handle_hello = handle_hello,
		.handle_frame = handle_frame,
		.handle_closed = handle_closed,
		.ctx = p,
	};
	const void *hello;
	size_t len;
	int ret = encode_hello(h, p->codec, &hello, &len);

	if (ret)
		return ret;
	options.hello = (const uint8_t *)hello + FRAME_PREFIX;
	options.hello_len = len - FRAME_PREFIX;
	return transport_create(&h->transport, &options);
}

static int start_fleet(struct host *h)
{
	struct fleet_options options = {
		.clock = h->clock,
		.seed = (uint64_t)clock_wall(&h->clock),
		.ops = &fleet_ops,
		.ctx = h,
		.host = h->settings.host_id,
		.address = h->settings.listen_peer,
		.domain = h->settings.domain,
		.incarnation = (uint64_t)clock_wall(&h->clock),
		.seeds = (const char *const *)h->settings.peer_seeds,
	};

	for (char **s = h->settings.peer_seeds; s && *s; s++)
		options.seed_count++;
	return fleet_create(&h->fleet, &options);
}

int peers_start(struct host *h)
{
	struct peers *p;
	int ret;

	h->seat = NO_SEAT;
	h->owned_seats = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	h->forwards = g_hash_table_new(g_int64_hash, g_int64_equal);
	if (!h->settings.listen_peer)
		return 0;
	p = g_new0(struct peers, 1);
	p->host = h;
	h->peers = p;
	h->transfer = set_transfer_create(h);
	ret = frame_codec_create(&p->codec);
	if (!ret)
		ret = start_fleet(h);
	if (!ret)
		ret = start_links(h, p);
	if (ret)
		return ret;
	h->seat = h->settings.seat;
	if (h->seat != NO_SEAT)
		fleet_set_seat(h->fleet, h->seat);
	event_log(EV_LISTEN, "address=%s port=%u", h->settings.listen_peer,
		  transport_port(h->transport));
	return 0;
}

void peers_stop(struct host *h)
{
	if (h->transport)
		transport_destroy(h->transport);
	fleet_destroy(h->fleet);
	route_free_table(h);
	set_transfer_destroy(h->transfer);
	if (h->peers)
		frame_codec_destroy(h->peers->codec);
	g_free(h->peers);
	g_hash_table_destroy(h->owned_seats);
	g_hash_table_destroy(h->forwards);
}

void peers_handle_frame(struct host *h, const struct host_event *e)
{
	const uint8_t *frame = (const uint8_t *)e->data + FRAME_PREFIX;
	int ret;

	if (forward_is_frame(frame, e->len - FRAME_PREFIX)) {
		forward_handle_frame(h, e, frame, e->len - FRAME_PREFIX);
		return;
	}
	ret = fleet_receive(h->fleet, e->data, e->len);
	if (ret)
		event_log(EV_LINK_REFUSE, "code=E%d address=%s", -ret,
			  e->address);
}

/* Returns the number of seats of this host's failure domain. */
static uint32_t count_seats(const struct host *h)
{
	for (uint32_t i = 0; i < h->set->domain_count; i++) {
		if (!strcmp(h->set->domains[i].name, h->settings.domain))
			return h->set->domains[i].seats;
	}
	return 0;
}

void peers_announce_set(struct host *h)
{
	route_rebuild_table(h);
	if (h->store_thread)
		fleet_set_seats(h->fleet, count_seats(h));
	set_transfer_keep_set(h->transfer, h->set);
	if (h->set->version)
		fleet_mark_in_force(h->fleet, h->set->version);
}

/*
 * Only a host without a seat reads the list, so the platform's load does not
 * grow with the fleet.
 */
static void poll_host_list(struct host *h)
{
	int64_t now = clock_now(&h->clock);

	if (!h->settings.host_list || h->is_draining || !h->store_thread ||
	    fleet_seat(h->fleet) != NO_SEAT || now < h->next_host_list_us)
		return;
	h->next_host_list_us = now + HOST_LIST_PERIOD_US;
	upstream_fetch_host_list(h->upstream, h->settings.host_list,
				 HOST_LIST_PERIOD_US);
}

void peers_handle_host_list(struct host *h, const struct upstream_reply *reply)
{
	const json_t *hosts = json_object_get(reply->body, "hosts");
	const char **ids;
	uint32_t count = 0;
	json_t *host;
	size_t i;

	/* A missing or malformed list does not mean that hosts are gone. */
	if (!h->fleet || reply->result.status != CALL_OK ||
	    !json_is_array(hosts))
		return;
	ids = g_new0(const char *, json_array_size(hosts) + 1);
	json_array_foreach (hosts, i, host) {
		const char *id = json_string_value(json_object_get(host, "id"));

		if (id)
			ids[count++] = id;
	}
	if (count == json_array_size(hosts))
		fleet_set_host_list(h->fleet, ids, count);
	g_free(ids);
}

void peers_advance(struct host *h)
{
	if (!h->fleet)
		return;
	poll_host_list(h);
	fleet_advance(h->fleet);
	set_transfer_advance(h->transfer);
	if (h->is_holder_table_stale) {
		h->is_holder_table_stale = false;
		route_rebuild_table(h);
	}
	route_settle_shares(h);
	forward_check_all(h);
}
