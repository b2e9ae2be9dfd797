#include "fleet/fleet.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "common/errors.h"
#include "fleet/config.h"
#include "fleet/owners.h"
#include "fleet/seat.h"
#include "fleet/update.h"

#define PAUSE_US US_PER_S
#define MAX_FRAME_OWNERS 4
#define MAX_SUCCESSOR_TRIES 32
/*
 * A member increments its incarnation to refute and to announce a seat. The
 * bits above START_SHIFT hold the start of the process in ms, which seat
 * records have as incarnation.
 */
#define START_SHIFT 16
#define START_UNIT_US 1000

struct fleet {
	struct fleet_options options;
	struct membership *membership;
	struct config *config;
	struct updater *updater;
	struct seat *seat;
	struct leases *leases;
	struct owners *owners;
	GRand *rand;
	/** Wall time of the start of the process in ms. */
	uint64_t start_ms;
	/** Seat that this host gained last, or NO_SEAT; kept after its loss. */
	int32_t leased_seat;
	int64_t next_timer_us;
	bool is_stopping;
	bool has_left;
	struct frame_codec *encoder;
	struct frame_codec *decoder;
};

static void send_frame(struct fleet *f, const char *address,
		       const struct frame *frame)
{
	const void *data;
	size_t len;

	if (!frame_encode(f->encoder, frame, &data, &len))
		f->options.ops->send(f->options.ctx, address, data, len);
}

static void handle_send(void *ctx, const char *address, struct frame *frame)
{
	struct fleet *f = ctx;
	struct frame_key_owner entries[MAX_FRAME_OWNERS];

	if (frame->type != FRAME_HELLO) {
		frame->gossip.version = config_version(f->config);
		frame->gossip.owners = entries;
		frame->gossip.owner_count = owners_take_pending(
			f->owners, entries, MAX_FRAME_OWNERS);
	}
	send_frame(f, address, frame);
}

static void handle_member_changed(void *ctx, const struct member *m,
				  enum member_state old)
{
}

static const struct membership_ops membership_ops = {
	.send = handle_send,
	.changed = handle_member_changed,
};

static int create_membership(struct fleet *f)
{
	struct membership_options o = {
		.clock = f->options.clock,
		.seed = f->options.seed,
		.ops = &membership_ops,
		.ctx = f,
		.host = f->options.host,
		.address = f->options.address,
		.domain = f->options.domain,
		.incarnation = f->start_ms << START_SHIFT,
		.seeds = f->options.seeds,
		.seed_count = f->options.seed_count,
	};

	return membership_create(&f->membership, &o);
}

static void handle_fetch(void *ctx, const char *address, uint64_t version)
{
	struct fleet *f = ctx;

	f->options.ops->fetch_set(f->options.ctx, address, version);
}

static void handle_watch(void *ctx, bool is_wanted)
{
	struct fleet *f = ctx;

	f->options.ops->watch(f->options.ctx, is_wanted);
}

static const struct config_ops config_ops = {
	.fetch = handle_fetch,
	.watch = handle_watch,
};

static int create_config(struct fleet *f)
{
	struct config_options o = {
		.clock = f->options.clock,
		.seed = f->options.seed + 1,
		.ops = &config_ops,
		.ctx = f,
		.host = f->options.host,
		.membership = f->membership,
	};

	return config_create(&f->config, &o);
}

static void handle_store_get(void *ctx, uint64_t ticket, const char *key)
{
	struct fleet *f = ctx;

	f->options.ops->store_get(f->options.ctx, ticket, key);
}

static void handle_store_cas(void *ctx, uint64_t ticket, const char *key,
			     uint64_t revision, const void *data, size_t len)
{
	struct fleet *f = ctx;

	f->options.ops->store_cas(f->options.ctx, ticket, key, revision, data,
				  len);
}

static const struct updater_ops updater_ops = {
	.get = handle_store_get,
	.cas = handle_store_cas,
};

static int create_updater(struct fleet *f)
{
	struct updater_options o = {
		.clock = f->options.clock,
		.seed = f->options.seed + 2,
		.ops = &updater_ops,
		.ctx = f,
	};

	return updater_create(&f->updater, &o);
}

static void handle_seat_changed(void *ctx, int32_t number,
				const struct seat_record *record)
{
	struct fleet *f = ctx;
	const char *domain = membership_self(f->membership)->domain;

	if (record)
		leases_add_seat(f->leases, domain, record);
	else if (f->leased_seat != NO_SEAT)
		leases_end_tenure(f->leases, domain, (uint16_t)f->leased_seat);
	if (record)
		f->leased_seat = number;
	membership_set_seat(f->membership, number);
	f->options.ops->placement_changed(f->options.ctx, number);
}

static const struct seat_ops seat_ops = {
	.changed = handle_seat_changed,
};

static struct host_ref make_own_ref(const struct fleet *f)
{
	struct host_ref h = { .incarnation = f->start_ms };

	g_strlcpy(h.id, f->options.host, sizeof(h.id));
	return h;
}

static int create_seat(struct fleet *f)
{
	struct seat_options o = {
		.clock = f->options.clock,
		.seed = f->options.seed + 3,
		.ops = &seat_ops,
		.ctx = f,
		.updater = f->updater,
		.host = make_own_ref(f),
		.domain = membership_self(f->membership)->domain,
	};

	return seat_create(&f->seat, &o);
}

static const struct member *find_member_by_ref(const struct fleet *f,
					       const struct host_ref *h)
{
	const struct member *m = membership_find(f->membership, h->id);

	if (!m || m->info.incarnation >> START_SHIFT != h->incarnation)
		return NULL;
	return m;
}

static void handle_send_lease(void *ctx, const struct host_ref *to,
			      struct frame *frame)
{
	struct fleet *f = ctx;
	const struct member *m = find_member_by_ref(f, to);

	if (m)
		send_frame(f, m->info.address, frame);
}

static bool handle_is_alive(void *ctx, const struct host_ref *host)
{
	const struct member *m = find_member_by_ref(ctx, host);

	return m && m->info.state == MEMBER_ALIVE;
}

static bool may_be_successor(const struct member *m,
			     const struct host_ref *excluded)
{
	return m->info.state == MEMBER_ALIVE && m->info.seat != NO_SEAT &&
	       strcmp(m->info.host, excluded->id) != 0;
}

/* Prefers a host of another failure domain than the seat's. */
static bool handle_choose_successor(void *ctx, const char *domain,
				    uint16_t seat,
				    const struct host_ref *excluded,
				    struct host_ref *out)
{
	struct fleet *f = ctx;
	const struct member *best = NULL;
	const struct member *const *list;
	uint32_t count;

	list = membership_list(f->membership, &count);
	for (uint32_t i = 0; count && i < MAX_SUCCESSOR_TRIES; i++) {
		const struct member *m =
			list[g_rand_int_range(f->rand, 0, (gint32)count)];

		if (!may_be_successor(m, excluded))
			continue;
		best = m;
		if (strcmp(m->info.domain, domain) != 0)
			break;
	}
	if (!best)
		return false;
	g_strlcpy(out->id, best->info.host, sizeof(out->id));
	out->incarnation = best->info.incarnation >> START_SHIFT;
	return true;
}

/*
 * Announces this host as the owner of a seat's keys. This is not necessary for
 * the seat's host, unless another host was announced before.
 */
static void announce_owner(struct fleet *f, const struct lease_state *state)
{
	const struct frame_update *self = membership_self(f->membership);
	struct frame_key_owner entry = { .seat = state->seat,
					 .epoch = state->epoch };

	if (!state->is_owner)
		return;
	if (self->seat == state->seat && !strcmp(self->domain, state->domain) &&
	    !owners_find(f->owners, state->domain, state->seat))
		return;
	g_strlcpy(entry.domain, state->domain, sizeof(entry.domain));
	g_strlcpy(entry.host, self->host, sizeof(entry.host));
	owners_apply(f->owners, &entry);
}

static void handle_lease_changed(void *ctx, const struct lease_state *state)
{
	struct fleet *f = ctx;

	announce_owner(f, state);
	f->options.ops->lease_changed(f->options.ctx, state);
}

static const struct lease_ops lease_ops = {
	.send = handle_send_lease,
	.choose_successor = handle_choose_successor,
	.is_alive = handle_is_alive,
	.changed = handle_lease_changed,
};

static int create_leases(struct fleet *f)
{
	struct lease_options o = {
		.clock = f->options.clock,
		.seed = f->options.seed + 4,
		.ops = &lease_ops,
		.ctx = f,
		.updater = f->updater,
		.host = make_own_ref(f),
	};

	return leases_create(&f->leases, &o);
}

static int create_parts(struct fleet *f)
{
	int r = frame_codec_create(&f->encoder);

	if (!r)
		r = frame_codec_create(&f->decoder);
	if (!r)
		r = create_membership(f);
	if (!r)
		r = create_config(f);
	if (!r)
		r = create_updater(f);
	if (!r)
		r = create_seat(f);
	if (!r)
		r = create_leases(f);
	if (!r)
		r = owners_create(&f->owners);
	return r;
}

int fleet_create(struct fleet **out, const struct fleet_options *options)
{
	struct fleet *f;
	int r;

	f = calloc(1, sizeof(*f));
	if (!f)
		return -ERR_NOMEM;
	f->options = *options;
	f->start_ms = options->incarnation / START_UNIT_US;
	f->leased_seat = NO_SEAT;
	f->rand = g_rand_new_with_seed((guint32)options->seed + 5);
	r = create_parts(f);
	if (r) {
		fleet_destroy(f);
		return r;
	}
	*out = f;
	return 0;
}

void fleet_destroy(struct fleet *f)
{
	if (!f)
		return;
	owners_destroy(f->owners);
	leases_destroy(f->leases);
	seat_destroy(f->seat);
	updater_destroy(f->updater);
	config_destroy(f->config);
	membership_destroy(f->membership);
	frame_codec_destroy(f->encoder);
	frame_codec_destroy(f->decoder);
	g_rand_free(f->rand);
	free(f);
}

static void receive_gossip(struct fleet *f, const struct frame *frame)
{
	for (uint32_t i = 0; i < frame->gossip.owner_count; i++)
		owners_apply(f->owners, &frame->gossip.owners[i]);
	membership_receive(f->membership, frame);
	config_receive_version(f->config, frame->gossip.version,
			       frame->gossip.sender.address);
}

static void receive_pull(struct fleet *f, const struct frame *frame)
{
	if (frame->pull.part[0])
		f->options.ops->part(f->options.ctx, frame);
	else
		receive_gossip(f, frame);
}

/* Also called for frames: after a pause they may come before the timers. */
static void check_pause(struct fleet *f)
{
	int64_t now = clock_now(&f->options.clock);
	int64_t late = now - f->next_timer_us;

	if (!f->next_timer_us || late < PAUSE_US)
		return;
	f->next_timer_us = now;
	seat_note_pause(f->seat, late);
}

static int dispatch_frame(struct fleet *f, const struct frame *frame)
{
	int r;

	switch (frame->type) {
	case FRAME_HELLO:
		r = frame_select_version(&frame->hello);
		membership_receive(f->membership, frame);
		return r < 0 ? r : 0;
	case FRAME_PING:
	case FRAME_PING_REQ:
	case FRAME_ACK:
	case FRAME_GOSSIP:
		receive_gossip(f, frame);
		return 0;
	case FRAME_PULL:
		receive_pull(f, frame);
		return 0;
	case FRAME_LEASE:
	case FRAME_LEASE_ACK:
		leases_receive(f->leases, frame);
		return 0;
	case FRAME_SET:
		f->options.ops->part(f->options.ctx, frame);
		return 0;
	default:
		return 0;
	}
}

int fleet_receive(struct fleet *f, const void *data, size_t len)
{
	struct frame frame;
	int r = frame_decode(f->decoder, data, len, &frame);

	if (r)
		return r;
	check_pause(f);
	r = dispatch_frame(f, &frame);
	f->next_timer_us = fleet_next_timer(f);
	return r;
}

void fleet_set_seat(struct fleet *f, int32_t seat)
{
	membership_set_seat(f->membership, seat);
}

void fleet_receive_store_version(struct fleet *f, uint64_t version)
{
	config_receive_version(f->config, version, NULL);
}

void fleet_mark_in_force(struct fleet *f, uint64_t version)
{
	config_mark_in_force(f->config, version);
}

void fleet_mark_refused(struct fleet *f, uint64_t version)
{
	config_mark_refused(f->config, version);
}

void fleet_fetch_failed(struct fleet *f, uint64_t version)
{
	config_fetch_failed(f->config, version);
}

uint64_t fleet_version(const struct fleet *f)
{
	return config_version(f->config);
}

/*
 * Leaves the fleet only after the seat is released in the store, so that peers
 * can reach the owner of its keys until then.
 */
static void leave_after_release(struct fleet *f)
{
	if (!f->is_stopping || f->has_left || !seat_is_settled(f->seat))
		return;
	if (f->leased_seat != NO_SEAT)
		leases_notify_successor(f->leases,
					membership_self(f->membership)->domain,
					(uint16_t)f->leased_seat);
	membership_leave(f->membership);
	f->has_left = true;
}

void fleet_advance(struct fleet *f)
{
	check_pause(f);
	if (!f->has_left)
		membership_advance(f->membership);
	config_advance(f->config);
	updater_advance(f->updater);
	seat_advance(f->seat);
	leases_advance(f->leases);
	leave_after_release(f);
	f->next_timer_us = fleet_next_timer(f);
}

int64_t fleet_next_timer(const struct fleet *f)
{
	int64_t at = MIN(config_next_timer(f->config),
			 updater_next_timer(f->updater));

	if (!f->has_left)
		at = MIN(at, membership_next_timer(f->membership));
	at = MIN(at, leases_next_timer(f->leases));
	return MIN(at, seat_next_timer(f->seat));
}

void fleet_receive_store_result(struct fleet *f, uint64_t ticket, int code,
				uint64_t revision, const void *data, size_t len)
{
	updater_receive_result(f->updater, ticket, code, revision, data, len);
}

void fleet_set_host_list(struct fleet *f, const char *const *hosts,
			 uint32_t count)
{
	seat_set_host_list(f->seat, hosts, count);
}

void fleet_set_seats(struct fleet *f, uint32_t seats)
{
	seat_set_count(f->seat, seats);
}

int32_t fleet_seat(const struct fleet *f)
{
	return seat_number(f->seat);
}

const struct member *fleet_key_owner(const struct fleet *f, const char *domain,
				     uint16_t seat)
{
	const struct frame_key_owner *o = owners_find(f->owners, domain, seat);

	if (!o)
		return membership_find_seat(f->membership, domain, seat);
	return membership_find(f->membership, o->host);
}

int fleet_check_key(const struct fleet *f, const char *domain, uint16_t seat,
		    int64_t created_wall_us)
{
	return leases_check_key(f->leases, domain, seat, created_wall_us);
}

void fleet_stop(struct fleet *f)
{
	f->is_stopping = true;
	seat_release(f->seat);
}

bool fleet_is_stopped(const struct fleet *f)
{
	return f->has_left;
}

const struct membership *fleet_members(const struct fleet *f)
{
	return f->membership;
}

size_t fleet_memory(const struct fleet *f)
{
	return sizeof(*f) + membership_memory(f->membership);
}
