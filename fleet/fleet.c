#include "fleet/fleet.h"

#include <stdlib.h>

#include "common/errors.h"
#include "fleet/config.h"

struct fleet {
	struct fleet_options options;
	struct membership *membership;
	struct config *config;
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

	/* Frames go out before the other parts exist, from the first HELLO. */
	if (f->config)
		frame->gossip.version = config_version(f->config);
	send_frame(f, address, frame);
}

static void handle_changed(void *ctx, const struct member *m,
			   enum member_state old)
{
}

static const struct membership_ops membership_ops = {
	.send = handle_send,
	.changed = handle_changed,
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
		.incarnation = f->options.incarnation,
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

static int create_parts(struct fleet *f)
{
	int r = frame_codec_create(&f->encoder);

	if (!r)
		r = frame_codec_create(&f->decoder);
	if (!r)
		r = create_membership(f);
	if (!r)
		r = create_config(f);
	return r;
}

int fleet_create(struct fleet **out, const struct fleet_options *options)
{
	struct fleet *f = calloc(1, sizeof(*f));
	int r;

	if (!f)
		return -ERR_NOMEM;
	f->options = *options;
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
	config_destroy(f->config);
	membership_destroy(f->membership);
	frame_codec_destroy(f->encoder);
	frame_codec_destroy(f->decoder);
	free(f);
}

static void receive_gossip(struct fleet *f, const struct frame *frame)
{
	membership_receive(f->membership, frame);
	config_seen(f->config, frame->gossip.version,
		    frame->gossip.sender.address);
}

static void receive_pull(struct fleet *f, const struct frame *frame)
{
	if (frame->pull.part[0])
		f->options.ops->part(f->options.ctx, frame);
	else
		receive_gossip(f, frame);
}

int fleet_receive(struct fleet *f, const void *data, size_t len)
{
	struct frame frame;
	int r = frame_decode(f->decoder, data, len, &frame);

	if (r)
		return r;
	switch (frame.type) {
	case FRAME_HELLO:
		r = frame_select_version(&frame.hello);
		membership_receive(f->membership, &frame);
		return r < 0 ? r : 0;
	case FRAME_PING:
	case FRAME_PING_REQ:
	case FRAME_ACK:
	case FRAME_GOSSIP:
		receive_gossip(f, &frame);
		return 0;
	case FRAME_PULL:
		receive_pull(f, &frame);
		return 0;
	case FRAME_SET:
		f->options.ops->part(f->options.ctx, &frame);
		return 0;
	default:
		return 0;
	}
}

void fleet_set_seat(struct fleet *f, int32_t seat)
{
	membership_set_seat(f->membership, seat);
}

void fleet_store_version(struct fleet *f, uint64_t version)
{
	config_seen(f->config, version, NULL);
}

void fleet_set_in_force(struct fleet *f, uint64_t version)
{
	config_in_force(f->config, version);
}

void fleet_set_refused(struct fleet *f, uint64_t version)
{
	config_refused(f->config, version);
}

void fleet_fetch_failed(struct fleet *f, uint64_t version)
{
	config_fetch_failed(f->config, version);
}

uint64_t fleet_version(const struct fleet *f)
{
	return config_version(f->config);
}

void fleet_advance(struct fleet *f)
{
	membership_advance(f->membership);
	config_advance(f->config);
}

int64_t fleet_next_timer(const struct fleet *f)
{
	return MIN(membership_next_timer(f->membership),
		   config_next_timer(f->config));
}

const struct membership *fleet_members(const struct fleet *f)
{
	return f->membership;
}

size_t fleet_memory(const struct fleet *f)
{
	return sizeof(*f) + membership_memory(f->membership);
}
