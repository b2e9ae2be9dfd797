#include "fleet/frame.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "common/errors.h"
#include "common/packed.h"

#define MAX_UPDATES 65536
#define MAX_KEY_OWNERS 65536

#define HELLO_FIELDS 5
#define PING_FIELDS 3
#define PING_REQ_FIELDS 5
#define ACK_FIELDS 4
#define GOSSIP_FIELDS 2
#define PULL_FIELDS 5
#define SET_FIELDS 4
#define LEASE_FIELDS 7
#define LEASE_ACK_FIELDS 8
#define UPDATE_FIELDS 6
#define KEY_OWNER_FIELDS 4
#define GOSSIP_PART_FIELDS 5

struct frame_codec {
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	msgpack_zone zone;
	struct frame_update *updates;
	uint32_t update_capacity;
	struct frame_key_owner *owners;
	uint32_t key_owner_capacity;
};

/** Reader of the elements of one array; a failed read sets error. */
struct reader {
	const msgpack_object *next;
	uint32_t left;
	int error;
};

int frame_codec_create(struct frame_codec **out)
{
	struct frame_codec *c = calloc(1, sizeof(*c));

	if (!c)
		return -ERR_NOMEM;
	if (!msgpack_zone_init(&c->zone, MSGPACK_ZONE_CHUNK_SIZE)) {
		free(c);
		return -ERR_NOMEM;
	}
	msgpack_sbuffer_init(&c->buffer);
	msgpack_packer_init(&c->packer, &c->buffer, msgpack_sbuffer_write);
	*out = c;
	return 0;
}

void frame_codec_destroy(struct frame_codec *c)
{
	if (!c)
		return;
	msgpack_sbuffer_destroy(&c->buffer);
	msgpack_zone_destroy(&c->zone);
	free(c->updates);
	free(c->owners);
	free(c);
}

static void pack_text(msgpack_packer *p, const char *text)
{
	msgpack_pack_str_with_body(p, text, strlen(text));
}

static void pack_bool(msgpack_packer *p, bool v)
{
	if (v)
		msgpack_pack_true(p);
	else
		msgpack_pack_false(p);
}

static void pack_update(msgpack_packer *p, const struct frame_update *u)
{
	msgpack_pack_array(p, UPDATE_FIELDS);
	pack_text(p, u->host);
	pack_text(p, u->address);
	pack_text(p, u->domain);
	msgpack_pack_uint64(p, u->incarnation);
	msgpack_pack_int(p, u->state);
	msgpack_pack_int32(p, u->seat);
}

static void pack_key_owner(msgpack_packer *p, const struct frame_key_owner *o)
{
	msgpack_pack_array(p, KEY_OWNER_FIELDS);
	pack_text(p, o->domain);
	msgpack_pack_uint16(p, o->seat);
	msgpack_pack_uint64(p, o->epoch);
	pack_text(p, o->host);
}

static void pack_gossip(msgpack_packer *p, const struct frame_gossip *g)
{
	msgpack_pack_array(p, GOSSIP_PART_FIELDS);
	msgpack_pack_uint64(p, g->version);
	msgpack_pack_uint64(p, g->digest);
	pack_update(p, &g->sender);
	msgpack_pack_array(p, g->update_count);
	for (uint32_t i = 0; i < g->update_count; i++)
		pack_update(p, &g->updates[i]);
	msgpack_pack_array(p, g->owner_count);
	for (uint32_t i = 0; i < g->owner_count; i++)
		pack_key_owner(p, &g->owners[i]);
}

static void pack_head(msgpack_packer *p, size_t fields, enum frame_type type)
{
	msgpack_pack_array(p, fields);
	msgpack_pack_int(p, type);
}

static void pack_lease(msgpack_packer *p, const struct frame_lease *l)
{
	pack_text(p, l->domain);
	msgpack_pack_uint16(p, l->seat);
	msgpack_pack_uint64(p, l->epoch);
	msgpack_pack_uint64(p, l->seq);
	pack_text(p, l->host);
	msgpack_pack_uint64(p, l->incarnation);
}

static void pack_hello(msgpack_packer *p, const struct frame_hello *h)
{
	msgpack_pack_uint32(p, h->version_low);
	msgpack_pack_uint32(p, h->version_high);
	pack_bool(p, h->is_reply);
	pack_update(p, &h->sender);
}

static void pack_set(msgpack_packer *p, const struct frame_set *s)
{
	msgpack_pack_uint64(p, s->version);
	pack_text(p, s->part);
	msgpack_pack_bin_with_body(p, s->data, s->size);
}

static int pack_frame(msgpack_packer *p, const struct frame *f)
{
	switch (f->type) {
	case FRAME_HELLO:
		pack_head(p, HELLO_FIELDS, f->type);
		pack_hello(p, &f->hello);
		return 0;
	case FRAME_PING:
		pack_head(p, PING_FIELDS, f->type);
		msgpack_pack_uint64(p, f->ping.seq);
		break;
	case FRAME_PING_REQ:
		pack_head(p, PING_REQ_FIELDS, f->type);
		msgpack_pack_uint64(p, f->ping_req.seq);
		pack_text(p, f->ping_req.target);
		pack_text(p, f->ping_req.address);
		break;
	case FRAME_ACK:
		pack_head(p, ACK_FIELDS, f->type);
		msgpack_pack_uint64(p, f->ack.seq);
		pack_text(p, f->ack.subject);
		break;
	case FRAME_GOSSIP:
		pack_head(p, GOSSIP_FIELDS, f->type);
		break;
	case FRAME_PULL:
		pack_head(p, PULL_FIELDS, f->type);
		pack_bool(p, f->pull.is_full);
		pack_text(p, f->pull.part);
		msgpack_pack_uint64(p, f->pull.version);
		break;
	case FRAME_SET:
		pack_head(p, SET_FIELDS, f->type);
		pack_set(p, &f->set);
		return 0;
	case FRAME_LEASE:
		pack_head(p, LEASE_FIELDS, f->type);
		pack_lease(p, &f->lease);
		return 0;
	case FRAME_LEASE_ACK:
		pack_head(p, LEASE_ACK_FIELDS, f->type);
		pack_lease(p, &f->lease);
		msgpack_pack_int(p, f->lease.answer);
		return 0;
	default:
		return -ERR_FRAME_TYPE;
	}
	pack_gossip(p, &f->gossip);
	return 0;
}

static void write_prefix(char *data, size_t size)
{
	data[0] = (char)(size >> 24);
	data[1] = (char)(size >> 16);
	data[2] = (char)(size >> 8);
	data[3] = (char)size;
}

int frame_encode(struct frame_codec *c, const struct frame *f,
		 const void **data, size_t *len)
{
	static const char prefix[FRAME_PREFIX];
	int r;

	msgpack_sbuffer_clear(&c->buffer);
	if (msgpack_sbuffer_write(&c->buffer, prefix, FRAME_PREFIX))
		return -ERR_NOMEM;
	r = pack_frame(&c->packer, f);
	if (r)
		return r;
	if (c->buffer.size - FRAME_PREFIX > FRAME_MAX)
		return -ERR_FRAME_SIZE;
	write_prefix(c->buffer.data, c->buffer.size - FRAME_PREFIX);
	*data = c->buffer.data;
	*len = c->buffer.size;
	return 0;
}

int frame_payload_size(const void *prefix)
{
	const unsigned char *b = prefix;
	uint32_t size = (uint32_t)b[0] << 24 | (uint32_t)b[1] << 16 |
			(uint32_t)b[2] << 8 | b[3];

	if (!size || size > FRAME_MAX)
		return -ERR_FRAME_SIZE;
	return (int)size;
}

static const msgpack_object *read_next(struct reader *r)
{
	if (!r->left) {
		r->error = -ERR_FRAME;
		return NULL;
	}
	r->left--;
	return r->next++;
}

static uint64_t read_uint(struct reader *r, uint64_t max)
{
	const msgpack_object *o = read_next(r);

	if (!o || o->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    o->via.u64 > max) {
		r->error = -ERR_FRAME;
		return 0;
	}
	return o->via.u64;
}

static int32_t read_seat(struct reader *r)
{
	const msgpack_object *o = r->next;

	if (r->left && o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER &&
	    o->via.i64 == NO_SEAT) {
		read_next(r);
		return NO_SEAT;
	}
	return (int32_t)read_uint(r, MAX_SEATS - 1);
}

static bool read_bool(struct reader *r)
{
	const msgpack_object *o = read_next(r);

	if (!o || o->type != MSGPACK_OBJECT_BOOLEAN) {
		r->error = -ERR_FRAME;
		return false;
	}
	return o->via.boolean;
}

/* Refuses spaces and control characters, because the text is logged. */
static bool is_printable(const char *text, uint32_t size)
{
	for (uint32_t i = 0; i < size; i++) {
		if ((unsigned char)text[i] <= ' ' || text[i] == 0x7f)
			return false;
	}
	return true;
}

static void read_text(struct reader *r, char *out, size_t max,
		      bool may_be_empty)
{
	const msgpack_object *o = read_next(r);
	uint32_t size;

	out[0] = 0;
	if (!o || o->type != MSGPACK_OBJECT_STR) {
		r->error = -ERR_FRAME;
		return;
	}
	size = o->via.str.size;
	if (size >= max || (!size && !may_be_empty) ||
	    !is_printable(o->via.str.ptr, size)) {
		r->error = -ERR_FRAME;
		return;
	}
	/* The pointer of an empty string may be NULL. */
	if (size)
		memcpy(out, o->via.str.ptr, size);
	out[size] = 0;
}

/* Opens a nested array; with fields 0, it may have up to max elements. */
static struct reader read_array(struct reader *r, uint32_t fields, uint32_t max)
{
	const msgpack_object *o = read_next(r);
	struct reader inner = { NULL, 0, 0 };

	if (!o || o->type != MSGPACK_OBJECT_ARRAY ||
	    (fields && o->via.array.size != fields) ||
	    o->via.array.size > max) {
		r->error = -ERR_FRAME;
		inner.error = -ERR_FRAME;
		return inner;
	}
	inner.next = o->via.array.ptr;
	inner.left = o->via.array.size;
	return inner;
}

static void read_update(struct reader *r, struct frame_update *u)
{
	struct reader in = read_array(r, UPDATE_FIELDS, UPDATE_FIELDS);

	read_text(&in, u->host, sizeof(u->host), false);
	read_text(&in, u->address, sizeof(u->address), false);
	read_text(&in, u->domain, sizeof(u->domain), false);
	u->incarnation = read_uint(&in, UINT64_MAX);
	u->state = (enum member_state)read_uint(&in, MEMBER_LEFT);
	u->seat = read_seat(&in);
	if (in.error)
		r->error = in.error;
}

static void read_key_owner(struct reader *r, struct frame_key_owner *o)
{
	struct reader in = read_array(r, KEY_OWNER_FIELDS, KEY_OWNER_FIELDS);

	read_text(&in, o->domain, sizeof(o->domain), false);
	o->seat = (uint16_t)read_uint(&in, MAX_SEATS - 1);
	o->epoch = read_uint(&in, UINT64_MAX);
	read_text(&in, o->host, sizeof(o->host), true);
	if (in.error)
		r->error = in.error;
}

static int reserve_items(void **items, uint32_t *capacity, uint32_t count,
			 size_t size)
{
	void *grown;

	if (count <= *capacity)
		return 0;
	grown = realloc(*items, count * size);
	if (!grown)
		return -ERR_NOMEM;
	*items = grown;
	*capacity = count;
	return 0;
}

static void read_updates(struct frame_codec *c, struct reader *r,
			 struct frame_gossip *g)
{
	struct reader in = read_array(r, 0, MAX_UPDATES);
	uint32_t count = in.left;

	if (r->error)
		return;
	r->error = reserve_items((void **)&c->updates, &c->update_capacity,
				 count, sizeof(*c->updates));
	if (r->error)
		return;
	for (uint32_t i = 0; i < count; i++)
		read_update(&in, &c->updates[i]);
	r->error = in.error;
	g->updates = c->updates;
	g->update_count = count;
}

static void read_key_owners(struct frame_codec *c, struct reader *r,
			    struct frame_gossip *g)
{
	struct reader in = read_array(r, 0, MAX_KEY_OWNERS);
	uint32_t count = in.left;

	if (r->error)
		return;
	r->error = reserve_items((void **)&c->owners, &c->key_owner_capacity,
				 count, sizeof(*c->owners));
	if (r->error)
		return;
	for (uint32_t i = 0; i < count; i++)
		read_key_owner(&in, &c->owners[i]);
	r->error = in.error;
	g->owners = c->owners;
	g->owner_count = count;
}

static void read_gossip(struct frame_codec *c, struct reader *r,
			struct frame_gossip *g)
{
	struct reader in =
		read_array(r, GOSSIP_PART_FIELDS, GOSSIP_PART_FIELDS);

	g->version = read_uint(&in, UINT64_MAX);
	g->digest = read_uint(&in, UINT64_MAX);
	read_update(&in, &g->sender);
	if (!in.error)
		read_updates(c, &in, g);
	if (!in.error)
		read_key_owners(c, &in, g);
	if (in.error)
		r->error = in.error;
}

static void read_hello(struct reader *r, struct frame_hello *h)
{
	h->version_low = (uint32_t)read_uint(r, UINT32_MAX);
	h->version_high = (uint32_t)read_uint(r, UINT32_MAX);
	h->is_reply = read_bool(r);
	read_update(r, &h->sender);
	if (h->version_low > h->version_high)
		r->error = -ERR_FRAME;
}

static void read_set(struct reader *r, struct frame_set *s)
{
	const msgpack_object *o;

	s->version = read_uint(r, UINT64_MAX);
	read_text(r, s->part, sizeof(s->part), false);
	o = read_next(r);
	if (!o || o->type != MSGPACK_OBJECT_BIN) {
		r->error = -ERR_FRAME;
		return;
	}
	s->data = o->via.bin.ptr;
	s->size = o->via.bin.size;
}

static void read_lease(struct reader *r, struct frame_lease *l)
{
	read_text(r, l->domain, sizeof(l->domain), false);
	l->seat = (uint16_t)read_uint(r, MAX_SEATS - 1);
	l->epoch = read_uint(r, UINT64_MAX);
	l->seq = read_uint(r, UINT64_MAX);
	read_text(r, l->host, sizeof(l->host), false);
	l->incarnation = read_uint(r, UINT64_MAX);
}

static void read_pull(struct reader *r, struct frame_pull *p)
{
	p->is_full = read_bool(r);
	read_text(r, p->part, sizeof(p->part), true);
	p->version = read_uint(r, UINT64_MAX);
}

static void read_ping_req(struct reader *r, struct frame_ping_req *p)
{
	p->seq = read_uint(r, UINT64_MAX);
	read_text(r, p->target, sizeof(p->target), false);
	read_text(r, p->address, sizeof(p->address), false);
}

static void read_body(struct frame_codec *c, struct reader *r, struct frame *f)
{
	switch (f->type) {
	case FRAME_HELLO:
		read_hello(r, &f->hello);
		return;
	case FRAME_PING:
		f->ping.seq = read_uint(r, UINT64_MAX);
		break;
	case FRAME_PING_REQ:
		read_ping_req(r, &f->ping_req);
		break;
	case FRAME_ACK:
		f->ack.seq = read_uint(r, UINT64_MAX);
		read_text(r, f->ack.subject, sizeof(f->ack.subject), false);
		break;
	case FRAME_GOSSIP:
		break;
	case FRAME_PULL:
		read_pull(r, &f->pull);
		break;
	case FRAME_SET:
		read_set(r, &f->set);
		return;
	case FRAME_LEASE:
		read_lease(r, &f->lease);
		return;
	case FRAME_LEASE_ACK:
		read_lease(r, &f->lease);
		f->lease.answer = (enum lease_answer)read_uint(r, LEASE_HANDED);
		return;
	default:
		r->error = -ERR_FRAME_TYPE;
		return;
	}
	if (!r->error)
		read_gossip(c, r, &f->gossip);
}

static int read_frame(struct frame_codec *c, const msgpack_object *o,
		      struct frame *out)
{
	struct reader r = { NULL, 0, 0 };
	uint64_t type;

	if (o->type != MSGPACK_OBJECT_ARRAY)
		return -ERR_FRAME;
	r.next = o->via.array.ptr;
	r.left = o->via.array.size;
	type = read_uint(&r, UINT64_MAX);
	if (r.error)
		return r.error;
	if (type < FRAME_HELLO || type > FRAME_EXPLAIN_RESULT)
		return -ERR_FRAME_TYPE;
	memset(out, 0, sizeof(*out));
	out->type = (enum frame_type)type;
	read_body(c, &r, out);
	if (r.error)
		return r.error;
	return r.left ? -ERR_FRAME : 0;
}

static int check_prefix(const void *data, size_t len)
{
	int size;

	if (len < FRAME_PREFIX)
		return -ERR_FRAME_TRUNCATED;
	size = frame_payload_size(data);
	if (size < 0)
		return size;
	if ((size_t)size > len - FRAME_PREFIX)
		return -ERR_FRAME_TRUNCATED;
	return (size_t)size < len - FRAME_PREFIX ? -ERR_FRAME : 0;
}

int frame_decode(struct frame_codec *c, const void *data, size_t len,
		 struct frame *out)
{
	const unsigned char *payload = (const unsigned char *)data;
	msgpack_object o;
	size_t at = 0;
	int r = check_prefix(data, len);

	if (r)
		return r;
	payload += FRAME_PREFIX;
	len -= FRAME_PREFIX;
	r = packed_check(payload, len);
	if (r)
		return r;
	msgpack_zone_clear(&c->zone);
	if (msgpack_unpack((const char *)payload, len, &at, &c->zone, &o) !=
	    MSGPACK_UNPACK_SUCCESS)
		return -ERR_FRAME;
	return read_frame(c, &o, out);
}

int frame_peek_type(const void *data, size_t len)
{
	const unsigned char *b = data;
	int r = check_prefix(data, len);

	if (r)
		return r;
	if (len < FRAME_PREFIX + 2)
		return -ERR_FRAME_TRUNCATED;
	if ((b[FRAME_PREFIX] & 0xf0) != 0x90)
		return -ERR_FRAME;
	if (b[FRAME_PREFIX + 1] < FRAME_HELLO ||
	    b[FRAME_PREFIX + 1] > FRAME_EXPLAIN_RESULT)
		return -ERR_FRAME_TYPE;
	return b[FRAME_PREFIX + 1];
}

int frame_select_version(const struct frame_hello *hello)
{
	if (hello->version_low > FRAME_VERSION_HIGH ||
	    hello->version_high < FRAME_VERSION_LOW)
		return -ERR_FRAME_VERSION;
	if (hello->version_high < FRAME_VERSION_HIGH)
		return (int)hello->version_high;
	return FRAME_VERSION_HIGH;
}
