#include "fleet/fleet.h"

#include <stdlib.h>

#include "common/errors.h"

struct fleet {
	struct fleet_options options;
	struct membership *membership;
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

static int create_parts(struct fleet *f)
{
	int r = frame_codec_create(&f->encoder);

	if (!r)
		r = frame_codec_create(&f->decoder);
	if (!r)
		r = create_membership(f);
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
	membership_destroy(f->membership);
	frame_codec_destroy(f->encoder);
	frame_codec_destroy(f->decoder);
	free(f);
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
	case FRAME_PULL:
		membership_receive(f->membership, &frame);
		return 0;
	default:
		return 0;
	}
}

void fleet_advance(struct fleet *f)
{
	membership_advance(f->membership);
}

int64_t fleet_next_timer(const struct fleet *f)
{
	return membership_next_timer(f->membership);
}

const struct membership *fleet_members(const struct fleet *f)
{
	return f->membership;
}

size_t fleet_memory(const struct fleet *f)
{
	return sizeof(*f) + membership_memory(f->membership);
}
