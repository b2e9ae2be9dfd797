#include "net/host_frame.h"

#include <msgpack.h>
#include <string.h>

#include "common/errors.h"
#include "common/packed.h"
#include "net/http_header.h"

/* Rates are sent as whole numbers of thousandths of a call a second. */
#define RATE_SCALE 1000.0
#define RATE_MAX_PER_S 1e12

/* Number of fields of an item in its list. */
#define CHANGE_FIELDS 4
/* Number of fields of a claim and of a grant in their lists. */
#define RATE_CLAIM_FIELDS 7
#define RATE_GRANT_FIELDS 8
#define TOKEN_CLAIM_FIELDS 12
#define TOKEN_GRANT_FIELDS 7

static int handle_write(void *ctx, const char *data, size_t len)
{
	g_byte_array_append(ctx, (const guint8 *)data, (guint)len);
	return 0;
}

static GByteArray *begin_frame(msgpack_packer *pk, enum host_frame_type type,
			       size_t fields)
{
	GByteArray *out = g_byte_array_new();

	msgpack_packer_init(pk, out, handle_write);
	msgpack_pack_array(pk, fields + 1);
	msgpack_pack_uint32(pk, type);
	return out;
}

static void pack_text(msgpack_packer *pk, const char *text)
{
	size_t len = text ? strlen(text) : 0;

	msgpack_pack_str(pk, len);
	msgpack_pack_str_body(pk, text ? text : "", len);
}

static void pack_bytes(msgpack_packer *pk, const void *data, size_t len)
{
	msgpack_pack_bin(pk, len);
	msgpack_pack_bin_body(pk, data ? data : "", len);
}

static void pack_flag(msgpack_packer *pk, bool flag)
{
	if (flag)
		msgpack_pack_true(pk);
	else
		msgpack_pack_false(pk);
}

GByteArray *host_frame_hello(const char *address)
{
	msgpack_packer pk;
	GByteArray *out = begin_frame(&pk, HOST_HELLO, 2);

	msgpack_pack_uint32(&pk, HOST_PROTOCOL);
	pack_text(&pk, address);
	return out;
}

static GByteArray *encode_number_frame(enum host_frame_type type,
				       uint64_t number)
{
	msgpack_packer pk;
	GByteArray *out = begin_frame(&pk, type, 1);

	msgpack_pack_uint64(&pk, number);
	return out;
}

/*
 * Eras come last in their frames: hosts of earlier releases ignore further
 * fields, and send none.
 */
GByteArray *host_frame_subscribe(struct store_time time)
{
	msgpack_packer pk;
	GByteArray *out = begin_frame(&pk, HOST_SUBSCRIBE, 2);

	msgpack_pack_uint64(&pk, time.revision);
	msgpack_pack_uint64(&pk, time.era);
	return out;
}

GByteArray *host_frame_gather_accepted(uint64_t id)
{
	return encode_number_frame(HOST_GATHER_ACCEPTED, id);
}

GByteArray *host_frame_gather_cancel(uint64_t id)
{
	return encode_number_frame(HOST_GATHER_CANCEL, id);
}

GByteArray *host_frame_unsubscribe(void)
{
	msgpack_packer pk;

	return begin_frame(&pk, HOST_UNSUBSCRIBE, 0);
}

GByteArray *host_frame_heartbeat(struct store_time time, bool is_store_up)
{
	msgpack_packer pk;
	GByteArray *out = begin_frame(&pk, HOST_HEARTBEAT, 3);

	msgpack_pack_uint64(&pk, time.revision);
	pack_flag(&pk, is_store_up);
	msgpack_pack_uint64(&pk, time.era);
	return out;
}

GByteArray *host_frame_changes(const struct store_changes *c)
{
	msgpack_packer pk;
	GByteArray *out = begin_frame(&pk, HOST_CHANGES, 5);

	msgpack_pack_uint64(&pk, c->from.revision);
	msgpack_pack_uint64(&pk, c->to.revision);
	msgpack_pack_array(&pk, (size_t)c->items->len * CHANGE_FIELDS);
	for (guint i = 0; i < c->items->len; i++) {
		const struct store_item *item =
			&g_array_index(c->items, struct store_item, i);

		pack_text(&pk, item->key);
		msgpack_pack_uint64(&pk, item->time.revision);
		pack_flag(&pk, item->value != NULL);
		pack_bytes(&pk, item->value, item->value_len);
	}
	msgpack_pack_uint64(&pk, c->to.era);
	pack_flag(&pk, c->is_complete);
	return out;
}

static void pack_texts(msgpack_packer *pk, const char *const *texts,
		       uint32_t count)
{
	msgpack_pack_array(pk, count);
	for (uint32_t i = 0; i < count; i++)
		pack_text(pk, texts[i]);
}

GByteArray *host_frame_gather(const struct gather_request *r)
{
	msgpack_packer pk;
	GByteArray *out = begin_frame(&pk, HOST_GATHER, 13);

	msgpack_pack_uint64(&pk, r->id);
	pack_text(&pk, r->request_id);
	msgpack_pack_uint64(&pk, r->version);
	msgpack_pack_uint64(&pk, (uint64_t)MAX(r->wait_us, 0));
	msgpack_pack_uint64(&pk, (uint64_t)MAX(r->goal_left_us, 0));
	pack_text(&pk, r->method);
	pack_text(&pk, r->host);
	pack_text(&pk, r->target);
	msgpack_pack_array(&pk, (size_t)r->headers->len * 2);
	for (guint i = 0; i < r->headers->len; i++) {
		const struct http_header *h =
			&g_array_index(r->headers, struct http_header, i);

		pack_text(&pk, h->name);
		pack_text(&pk, h->value);
	}
	pack_bytes(&pk, r->body, r->body_len);
	pack_texts(&pk, r->shards, r->shard_count);
	msgpack_pack_uint32(&pk, r->gatherers);
	pack_text(&pk, r->organisation);
	return out;
}

GByteArray *host_frame_gather_result(const struct gather_result *r)
{
	msgpack_packer pk;
	GByteArray *out = begin_frame(&pk, HOST_GATHER_RESULT, 9);

	msgpack_pack_uint64(&pk, r->id);
	msgpack_pack_uint32(&pk, r->status);
	msgpack_pack_uint32(&pk, (uint32_t)-r->code);
	msgpack_pack_uint64(&pk, (uint64_t)MAX(r->retry_after_us, 0));
	pack_texts(&pk, r->stamps, r->stamp_count);
	pack_texts(&pk, r->shards, r->shard_count);
	pack_flag(&pk, r->is_more);
	msgpack_pack_uint32(&pk, r->missing_count);
	pack_bytes(&pk, r->body, r->body_len);
	return out;
}

static void pack_rate(msgpack_packer *pk, double per_s)
{
	msgpack_pack_uint64(
		pk,
		(uint64_t)(CLAMP(per_s, 0, RATE_MAX_PER_S) * RATE_SCALE + 0.5));
}

static void pack_rate_news(msgpack_packer *pk, const struct rate_limit_news *n)
{
	pack_flag(pk, n->is_limited);
	pack_rate(pk, n->per_s);
	msgpack_pack_uint64(pk, (uint64_t)MAX(n->age_us, 0));
}

GByteArray *host_frame_rate_claims(const GArray *claims)
{
	msgpack_packer pk;
	GByteArray *out = begin_frame(&pk, HOST_RATE_CLAIMS, 1);

	msgpack_pack_array(&pk, (size_t)claims->len * RATE_CLAIM_FIELDS);
	for (guint i = 0; i < claims->len; i++) {
		const struct rate_claim *c =
			&g_array_index(claims, struct rate_claim, i);

		pack_text(&pk, c->key);
		msgpack_pack_uint64(&pk, (uint64_t)c->epoch);
		pack_text(&pk, c->domain);
		pack_rate_news(&pk, &c->news);
		pack_rate(&pk, c->wanted_per_s);
	}
	return out;
}

GByteArray *host_frame_rate_grants(const GArray *grants)
{
	msgpack_packer pk;
	GByteArray *out = begin_frame(&pk, HOST_RATE_GRANTS, 1);

	msgpack_pack_array(&pk, (size_t)grants->len * RATE_GRANT_FIELDS);
	for (guint i = 0; i < grants->len; i++) {
		const struct rate_grant *g =
			&g_array_index(grants, struct rate_grant, i);

		pack_text(&pk, g->key);
		msgpack_pack_uint64(&pk, (uint64_t)g->epoch);
		pack_rate_news(&pk, &g->news);
		pack_rate(&pk, g->share_per_s);
		msgpack_pack_uint64(&pk, (uint64_t)MAX(g->valid_us, 0));
		msgpack_pack_uint64(&pk, (uint64_t)MAX(g->refresh_us, 0));
	}
	return out;
}

GByteArray *host_frame_token_claims(const GArray *claims)
{
	msgpack_packer pk;
	GByteArray *out = begin_frame(&pk, HOST_TOKEN_CLAIMS, 1);

	msgpack_pack_array(&pk, (size_t)claims->len * TOKEN_CLAIM_FIELDS);
	for (guint i = 0; i < claims->len; i++) {
		const struct token_claim *c =
			&g_array_index(claims, struct token_claim, i);

		pack_text(&pk, c->key);
		pack_text(&pk, c->domain);
		msgpack_pack_uint32(&pk, c->kind);
		pack_rate(&pk, c->limit.max_per_s);
		pack_rate(&pk, c->limit.burst);
		pack_flag(&pk, c->limit.is_cold_leaf);
		msgpack_pack_uint64(&pk, c->limit.version);
		msgpack_pack_uint32(&pk, c->sequence);
		msgpack_pack_uint32(&pk, c->wanted);
		msgpack_pack_uint32(&pk, c->spent);
		msgpack_pack_uint32(&pk, c->returned);
		msgpack_pack_uint64(
			&pk, c->returned || c->spent ? c->returned_ticket : 0);
	}
	return out;
}

GByteArray *host_frame_token_grants(const GArray *grants)
{
	msgpack_packer pk;
	GByteArray *out = begin_frame(&pk, HOST_TOKEN_GRANTS, 1);

	msgpack_pack_array(&pk, (size_t)grants->len * TOKEN_GRANT_FIELDS);
	for (guint i = 0; i < grants->len; i++) {
		const struct token_grant *g =
			&g_array_index(grants, struct token_grant, i);

		pack_text(&pk, g->key);
		msgpack_pack_uint32(&pk, g->sequence);
		msgpack_pack_uint32(&pk, g->tokens);
		msgpack_pack_uint64(&pk, g->tokens ? g->ticket : 0);
		msgpack_pack_uint64(&pk, (uint64_t)MAX(g->retry_us, 0));
		pack_flag(&pk, g->is_standing);
		pack_flag(&pk, g->is_elsewhere);
	}
	return out;
}

GByteArray *host_frame_token_view(const struct token_view *view)
{
	msgpack_packer pk;
	GByteArray *out = begin_frame(&pk, HOST_TOKEN_VIEW, 8);

	msgpack_pack_uint64(&pk, view->hash);
	pack_flag(&pk, view->has_gone);
	pack_flag(&pk, view->has_store);
	pack_flag(&pk, view->is_answer);
	pack_flag(&pk, view->is_deferring);
	msgpack_pack_uint64(&pk, (uint64_t)MAX(view->store_age_us, 0));
	msgpack_pack_uint64(&pk, (uint64_t)MAX(view->store_steady_us, 0));
	msgpack_pack_uint64(&pk, (uint64_t)MAX(view->asked_us, 0));
	return out;
}

GByteArray *host_frame_token_release(const struct token_release *release)
{
	msgpack_packer pk;
	GByteArray *out = begin_frame(&pk, HOST_TOKEN_RELEASE, 4);

	pack_text(&pk, release->key);
	pack_text(&pk, release->domain);
	msgpack_pack_uint64(&pk, release->lease);
	pack_flag(&pk, release->is_answer);
	return out;
}

/**
 * Reads the fields of an array in order. A field that is missing or of another
 * type sets is_broken and reads as empty.
 */
struct reader {
	const msgpack_object_array *fields;
	uint32_t next;
	bool is_broken;
	/** Owner of the strings that are read. */
	struct host_frame *frame;
};

static const msgpack_object *next_field(struct reader *r,
					msgpack_object_type type)
{
	const msgpack_object *o = NULL;

	if (r->next < r->fields->size)
		o = &r->fields->ptr[r->next++];
	if (o && o->type == type)
		return o;
	r->is_broken = true;
	return NULL;
}

static uint64_t read_number(struct reader *r)
{
	const msgpack_object *o =
		next_field(r, MSGPACK_OBJECT_POSITIVE_INTEGER);

	return o ? o->via.u64 : 0;
}

/* Times are limited so that sums of them do not overflow. */
static int64_t read_time(struct reader *r)
{
	uint64_t us = read_number(r);

	return (int64_t)MIN(us, (uint64_t)INT64_MAX / 4);
}

static int64_t read_duration(struct reader *r)
{
	uint64_t us = read_number(r);

	return (int64_t)MIN(us, (uint64_t)INT64_MAX / 4);
}

static double read_rate(struct reader *r)
{
	uint64_t thousandths = read_number(r);

	return MIN((double)thousandths / RATE_SCALE, RATE_MAX_PER_S);
}

static bool read_flag(struct reader *r)
{
	const msgpack_object *o = next_field(r, MSGPACK_OBJECT_BOOLEAN);

	return o && o->via.boolean;
}

static char *copy_text(struct reader *r, const msgpack_object *o)
{
	char *text = NULL;

	if (o->type != MSGPACK_OBJECT_STR ||
	    (o->via.str.size && memchr(o->via.str.ptr, '\0', o->via.str.size)))
		r->is_broken = true;
	else
		text = g_strndup(o->via.str.ptr, o->via.str.size);
	if (text)
		g_ptr_array_add(r->frame->allocations, text);
	return text ? text : "";
}

static char *read_text(struct reader *r)
{
	const msgpack_object *o = next_field(r, MSGPACK_OBJECT_STR);

	return o ? copy_text(r, o) : "";
}

static const msgpack_object_array *read_array(struct reader *r)
{
	static const msgpack_object_array empty;
	const msgpack_object *o = next_field(r, MSGPACK_OBJECT_ARRAY);

	return o ? &o->via.array : &empty;
}

static char *read_bytes(struct reader *r, size_t *len)
{
	const msgpack_object *o = next_field(r, MSGPACK_OBJECT_BIN);
	char *data;

	*len = o ? o->via.bin.size : 0;
	data = g_memdup2(o ? o->via.bin.ptr : "", MAX(*len, 1));
	g_ptr_array_add(r->frame->allocations, data);
	return data;
}

static bool has_next(const struct reader *r)
{
	return r->next < r->fields->size;
}

/* Reads the era at the end of a frame; earlier releases do not send it. */
static uint64_t read_era(struct reader *r)
{
	return has_next(r) ? read_number(r) : 0;
}

/* Reads the fields of one item. Returns false if one is not usable. */
static bool read_item(struct reader *r, struct store_item *out)
{
	bool has_value;
	char *value;

	out->key = read_text(r);
	out->time.revision = read_number(r);
	has_value = read_flag(r);
	value = read_bytes(r, &out->value_len);
	if (has_value)
		out->value = (guchar *)value;
	else if (out->value_len)
		r->is_broken = true;
	return !r->is_broken;
}

/* An item that cannot be read is left out, and the others hold. */
static void read_changes(struct reader *r)
{
	struct store_changes *c = store_changes_create();
	const msgpack_object_array *items;

	r->frame->changes = c;
	c->from.revision = read_number(r);
	c->to.revision = read_number(r);
	items = read_array(r);
	if (items->size % CHANGE_FIELDS)
		r->is_broken = true;
	for (uint32_t at = 0; at + CHANGE_FIELDS <= items->size;
	     at += CHANGE_FIELDS) {
		const msgpack_object_array fields = { CHANGE_FIELDS,
						      items->ptr + at };
		struct reader item_reader = { .fields = &fields,
					      .frame = r->frame };
		struct store_item item = { 0 };

		if (read_item(&item_reader, &item))
			store_changes_add(c, &item);
		else
			r->frame->unread_count++;
	}
	store_changes_set_era(c, read_era(r));
	c->is_complete = has_next(r) && read_flag(r);
}

static const char *const *read_texts(struct reader *r, uint32_t *count)
{
	const msgpack_object_array *array = read_array(r);
	const char **list = g_new0(const char *, array->size + 1);

	g_ptr_array_add(r->frame->allocations, list);
	for (uint32_t i = 0; i < array->size; i++)
		list[i] = copy_text(r, &array->ptr[i]);
	*count = array->size;
	return list;
}

static void read_gather(struct reader *r)
{
	struct gather_request *q = &r->frame->request;
	const msgpack_object_array *headers;
	uint64_t gatherers;

	q->id = read_number(r);
	q->request_id = read_text(r);
	q->version = read_number(r);
	q->wait_us = read_duration(r);
	q->goal_left_us = read_duration(r);
	q->method = read_text(r);
	q->host = read_text(r);
	q->target = read_text(r);
	headers = read_array(r);
	r->frame->headers =
		g_array_new(FALSE, TRUE, sizeof(struct http_header));
	for (uint32_t i = 0; i + 1 < headers->size; i += 2) {
		struct http_header h = { copy_text(r, &headers->ptr[i]),
					 copy_text(r, &headers->ptr[i + 1]) };

		g_array_append_val(r->frame->headers, h);
	}
	q->headers = r->frame->headers;
	q->body = read_bytes(r, &q->body_len);
	q->shards = read_texts(r, &q->shard_count);
	gatherers = read_number(r);
	q->gatherers = (uint32_t)MIN(gatherers, UINT32_MAX);
	q->organisation = read_text(r);
}

static void read_gather_result(struct reader *r)
{
	struct gather_result *a = &r->frame->result;

	a->id = read_number(r);
	a->status = (uint32_t)read_number(r);
	a->code = -(int32_t)(read_number(r) & 0xffff);
	a->retry_after_us = read_duration(r);
	a->stamps = read_texts(r, &a->stamp_count);
	a->shards = read_texts(r, &a->shard_count);
	a->is_more = read_flag(r);
	a->missing_count = (uint32_t)read_number(r);
	a->body = read_bytes(r, &a->body_len);
}

static void read_rate_news(struct reader *r, struct rate_limit_news *n)
{
	n->is_limited = read_flag(r);
	n->per_s = read_rate(r);
	n->age_us = read_duration(r);
}

static void read_rate_claims(struct reader *r)
{
	struct reader items = { .frame = r->frame };

	r->frame->rate_claims =
		g_array_new(FALSE, TRUE, sizeof(struct rate_claim));
	items.fields = read_array(r);
	while (items.next < items.fields->size && !items.is_broken) {
		struct rate_claim c = { .key = read_text(&items) };

		c.epoch = read_duration(&items);
		c.domain = read_text(&items);
		read_rate_news(&items, &c.news);
		c.wanted_per_s = read_rate(&items);
		if (!items.is_broken)
			g_array_append_val(r->frame->rate_claims, c);
	}
	r->is_broken = r->is_broken || items.is_broken;
}

static void read_rate_grants(struct reader *r)
{
	struct reader items = { .frame = r->frame };

	r->frame->rate_grants =
		g_array_new(FALSE, TRUE, sizeof(struct rate_grant));
	items.fields = read_array(r);
	while (items.next < items.fields->size && !items.is_broken) {
		struct rate_grant g = { .key = read_text(&items) };

		g.epoch = read_duration(&items);
		read_rate_news(&items, &g.news);
		g.share_per_s = read_rate(&items);
		g.valid_us = read_duration(&items);
		g.refresh_us = read_duration(&items);
		if (!items.is_broken)
			g_array_append_val(r->frame->rate_grants, g);
	}
	r->is_broken = r->is_broken || items.is_broken;
}

static uint32_t read_count(struct reader *r)
{
	uint64_t n = read_number(r);

	if (n > UINT32_MAX)
		r->is_broken = true;
	return (uint32_t)n;
}

static void read_token_claims(struct reader *r)
{
	struct reader items = { .frame = r->frame };

	r->frame->token_claims =
		g_array_new(FALSE, TRUE, sizeof(struct token_claim));
	items.fields = read_array(r);
	while (items.next < items.fields->size && !items.is_broken) {
		struct token_claim c = { .key = read_text(&items) };

		c.domain = read_text(&items);
		c.kind = (enum token_claim_kind)read_count(&items);
		if (c.kind > TOKEN_CLAIM_STANDING)
			items.is_broken = true;
		c.limit.max_per_s = read_rate(&items);
		c.limit.burst = read_rate(&items);
		c.limit.is_cold_leaf = read_flag(&items);
		c.limit.version = read_number(&items);
		c.sequence = read_count(&items);
		c.wanted = read_count(&items);
		c.spent = read_count(&items);
		c.returned = read_count(&items);
		c.returned_ticket = read_number(&items);
		if (!items.is_broken)
			g_array_append_val(r->frame->token_claims, c);
	}
	r->is_broken = r->is_broken || items.is_broken;
}

static void read_token_grants(struct reader *r)
{
	struct reader items = { .frame = r->frame };

	r->frame->token_grants =
		g_array_new(FALSE, TRUE, sizeof(struct token_grant));
	items.fields = read_array(r);
	while (items.next < items.fields->size && !items.is_broken) {
		struct token_grant g = { .key = read_text(&items) };

		g.sequence = read_count(&items);
		g.tokens = read_count(&items);
		g.ticket = read_number(&items);
		g.retry_us = read_duration(&items);
		g.is_standing = read_flag(&items);
		g.is_elsewhere = read_flag(&items);
		if (!items.is_broken)
			g_array_append_val(r->frame->token_grants, g);
	}
	r->is_broken = r->is_broken || items.is_broken;
}

static void read_hello(struct reader *r)
{
	if (read_number(r) != HOST_PROTOCOL)
		r->is_broken = true;
	r->frame->address = read_text(r);
}

static void read_fields(struct reader *r)
{
	switch (r->frame->type) {
	case HOST_HELLO:
		read_hello(r);
		return;
	case HOST_SUBSCRIBE:
		r->frame->time.revision = read_number(r);
		r->frame->time.era = read_era(r);
		return;
	case HOST_CHANGES:
		read_changes(r);
		return;
	case HOST_HEARTBEAT:
		r->frame->time.revision = read_number(r);
		r->frame->is_store_up = read_flag(r);
		r->frame->time.era = read_era(r);
		return;
	case HOST_UNSUBSCRIBE:
		return;
	case HOST_GATHER:
		read_gather(r);
		return;
	case HOST_GATHER_ACCEPTED:
	case HOST_GATHER_CANCEL:
		r->frame->id = read_number(r);
		return;
	case HOST_GATHER_RESULT:
		read_gather_result(r);
		return;
	case HOST_RATE_CLAIMS:
		read_rate_claims(r);
		return;
	case HOST_RATE_GRANTS:
		read_rate_grants(r);
		return;
	case HOST_TOKEN_CLAIMS:
		read_token_claims(r);
		return;
	case HOST_TOKEN_GRANTS:
		read_token_grants(r);
		return;
	case HOST_TOKEN_VIEW:
		r->frame->token_view.hash = read_number(r);
		r->frame->token_view.has_gone = read_flag(r);
		r->frame->token_view.has_store = read_flag(r);
		r->frame->token_view.is_answer = read_flag(r);
		r->frame->token_view.is_deferring = read_flag(r);
		r->frame->token_view.store_age_us = read_time(r);
		r->frame->token_view.store_steady_us = read_time(r);
		r->frame->token_view.asked_us = read_time(r);
		return;
	case HOST_TOKEN_RELEASE:
		r->frame->token_release.key = read_text(r);
		r->frame->token_release.domain = read_text(r);
		r->frame->token_release.lease = read_number(r);
		r->frame->token_release.is_answer = read_flag(r);
		return;
	}
	r->is_broken = true;
}

void host_frame_clear(struct host_frame *f)
{
	store_changes_free(f->changes);
	if (f->headers)
		g_array_free(f->headers, TRUE);
	if (f->rate_claims)
		g_array_free(f->rate_claims, TRUE);
	if (f->rate_grants)
		g_array_free(f->rate_grants, TRUE);
	if (f->token_claims)
		g_array_free(f->token_claims, TRUE);
	if (f->token_grants)
		g_array_free(f->token_grants, TRUE);
	if (f->allocations)
		g_ptr_array_free(f->allocations, TRUE);
	memset(f, 0, sizeof(*f));
}

int host_frame_decode(const void *data, size_t len, struct host_frame *out)
{
	struct reader r = { .frame = out };
	msgpack_unpacked unpacked;

	memset(out, 0, sizeof(*out));
	if (packed_check(data, len))
		return -ERR_FRAME;
	msgpack_unpacked_init(&unpacked);
	out->allocations = g_ptr_array_new_with_free_func(g_free);
	if (msgpack_unpack_next(&unpacked, data, len, NULL) !=
		    MSGPACK_UNPACK_SUCCESS ||
	    unpacked.data.type != MSGPACK_OBJECT_ARRAY) {
		r.is_broken = true;
	} else {
		r.fields = &unpacked.data.via.array;
		out->type = (enum host_frame_type)read_number(&r);
		if (!r.is_broken)
			read_fields(&r);
	}
	msgpack_unpacked_destroy(&unpacked);
	if (!r.is_broken)
		return 0;
	host_frame_clear(out);
	return -ERR_FRAME;
}
