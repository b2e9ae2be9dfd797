#include "net/forward.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <msgpack.h>

#include "common/errors.h"
#include "common/packed.h"

#define QUERY_FIELDS 10
#define RESULT_FIELDS 4
#define NAME_MAX_LEN 255

/* Reads the fields of a frame in order. */
struct reader {
	const msgpack_object *fields;
	uint32_t count;
	uint32_t next;
	/* Copies of the strings and bodies. */
	char *buffer;
	size_t used;
	/* A field is missing or invalid. */
	bool is_broken;
};

static void pack_text(msgpack_packer *pk, const char *text)
{
	size_t len = text ? strlen(text) : 0;

	msgpack_pack_str(pk, len);
	msgpack_pack_str_body(pk, text ? text : "", len);
}

static void pack_bytes(msgpack_packer *pk, const void *data, size_t len)
{
	msgpack_pack_bin(pk, len);
	msgpack_pack_bin_body(pk, data, len);
}

static void pack_flag(msgpack_packer *pk, bool flag)
{
	if (flag)
		msgpack_pack_true(pk);
	else
		msgpack_pack_false(pk);
}

static void begin_frame(msgpack_sbuffer *buffer, msgpack_packer *pk,
			enum forward_type type, uint32_t fields)
{
	msgpack_sbuffer_init(buffer);
	msgpack_packer_init(pk, buffer, msgpack_sbuffer_write);
	msgpack_pack_array(pk, fields + 1);
	msgpack_pack_uint32(pk, type);
}

static struct forward_buffer end_frame(msgpack_sbuffer *buffer)
{
	struct forward_buffer b = { .len = buffer->size };

	b.data = msgpack_sbuffer_release(buffer);
	return b;
}

struct forward_buffer forward_encode_query(const struct forward_query *q)
{
	msgpack_sbuffer buffer;
	msgpack_packer pk;

	begin_frame(&buffer, &pk, FORWARD_QUERY, QUERY_FIELDS);
	msgpack_pack_uint64(&pk, q->id);
	pack_text(&pk, q->request_id);
	pack_text(&pk, q->service);
	pack_text(&pk, q->class);
	pack_text(&pk, q->key);
	msgpack_pack_int64(&pk, MAX(q->key_created_us, 0));
	msgpack_pack_int64(&pk, MAX(q->remaining_us, 0));
	pack_flag(&pk, q->is_first_attempt);
	pack_flag(&pk, q->is_non_idempotent);
	pack_bytes(&pk, q->body, q->body_len);
	return end_frame(&buffer);
}

struct forward_buffer forward_encode_result(enum forward_type type,
					    const struct forward_result *r)
{
	msgpack_sbuffer buffer;
	msgpack_packer pk;

	begin_frame(&buffer, &pk, type, RESULT_FIELDS);
	msgpack_pack_uint64(&pk, r->id);
	msgpack_pack_uint32(&pk, r->status);
	msgpack_pack_uint32(&pk, r->retry_after_s);
	pack_bytes(&pk, r->body, r->body_len);
	return end_frame(&buffer);
}

struct forward_buffer forward_encode_cancel(uint64_t id)
{
	msgpack_sbuffer buffer;
	msgpack_packer pk;

	begin_frame(&buffer, &pk, FORWARD_CANCEL, 1);
	msgpack_pack_uint64(&pk, id);
	return end_frame(&buffer);
}

struct forward_buffer forward_encode_explain(uint64_t id,
					     const char *request_id)
{
	msgpack_sbuffer buffer;
	msgpack_packer pk;

	begin_frame(&buffer, &pk, FORWARD_EXPLAIN, 2);
	msgpack_pack_uint64(&pk, id);
	pack_text(&pk, request_id);
	return end_frame(&buffer);
}

static const msgpack_object *next_field(struct reader *r,
					msgpack_object_type type)
{
	const msgpack_object *o;

	if (r->next >= r->count) {
		r->is_broken = true;
		return NULL;
	}
	o = &r->fields[r->next++];
	if (o->type != type) {
		r->is_broken = true;
		return NULL;
	}
	return o;
}

static uint64_t read_uint(struct reader *r, uint64_t max)
{
	const msgpack_object *o =
		next_field(r, MSGPACK_OBJECT_POSITIVE_INTEGER);

	if (!o || o->via.u64 > max) {
		r->is_broken = true;
		return 0;
	}
	return o->via.u64;
}

static bool read_flag(struct reader *r)
{
	const msgpack_object *o = next_field(r, MSGPACK_OBJECT_BOOLEAN);

	return o && o->via.boolean;
}

/* Copies bytes to the frame's buffer and puts a NUL behind them. */
static const char *copy_bytes(struct reader *r, const char *data, size_t len)
{
	char *copy = r->buffer + r->used;

	memcpy(copy, data, len);
	copy[len] = '\0';
	r->used += len + 1;
	return copy;
}

static const char *read_text(struct reader *r, size_t max)
{
	const msgpack_object *o = next_field(r, MSGPACK_OBJECT_STR);

	if (!o || o->via.str.size > max ||
	    memchr(o->via.str.ptr, 0, o->via.str.size)) {
		r->is_broken = true;
		return "";
	}
	return copy_bytes(r, o->via.str.ptr, o->via.str.size);
}

static void read_id(struct reader *r, char out[ENGINE_ID_MAX])
{
	g_strlcpy(out, read_text(r, ENGINE_ID_MAX - 1), ENGINE_ID_MAX);
}

static const char *read_bytes(struct reader *r, size_t *len)
{
	const msgpack_object *o = next_field(r, MSGPACK_OBJECT_BIN);

	*len = o ? o->via.bin.size : 0;
	return o ? copy_bytes(r, o->via.bin.ptr, o->via.bin.size) : "";
}

static void read_query(struct reader *r, struct forward_query *q)
{
	q->id = read_uint(r, UINT64_MAX);
	read_id(r, q->request_id);
	q->service = read_text(r, NAME_MAX_LEN);
	q->class = read_text(r, NAME_MAX_LEN);
	if (!*q->class)
		q->class = NULL;
	read_id(r, q->key);
	q->key_created_us = (int64_t)read_uint(r, INT64_MAX);
	q->remaining_us = (int64_t)read_uint(r, INT64_MAX);
	q->is_first_attempt = read_flag(r);
	q->is_non_idempotent = read_flag(r);
	q->body = read_bytes(r, &q->body_len);
}

static void read_result(struct reader *r, struct forward_result *result)
{
	result->id = read_uint(r, UINT64_MAX);
	result->status = (uint32_t)read_uint(r, 599);
	result->retry_after_s = (uint32_t)read_uint(r, UINT32_MAX);
	result->body = read_bytes(r, &result->body_len);
}

static void read_frame(struct reader *r, struct forward_frame *f)
{
	f->type = (enum forward_type)read_uint(r, UINT32_MAX);
	switch (f->type) {
	case FORWARD_QUERY:
		read_query(r, &f->query);
		break;
	case FORWARD_RESULT:
	case FORWARD_EXPLAIN_RESULT:
		read_result(r, &f->result);
		break;
	case FORWARD_CANCEL:
		f->id = read_uint(r, UINT64_MAX);
		break;
	case FORWARD_EXPLAIN:
		f->id = read_uint(r, UINT64_MAX);
		read_id(r, f->request_id);
		break;
	default:
		r->is_broken = true;
	}
}

bool forward_is_frame(const void *data, size_t len)
{
	const uint8_t *bytes = data;

	/*
	 * The encoder writes a fixarray (0x90 to 0x9f) whose first item, the
	 * type, is a fixint of one byte.
	 */
	return len > 1 && (bytes[0] & 0xf0) == 0x90 &&
	       bytes[1] >= FORWARD_QUERY && bytes[1] <= FORWARD_EXPLAIN_RESULT;
}

int forward_decode(const void *data, size_t len, struct forward_frame *out)
{
	struct reader r = { 0 };
	msgpack_unpacked message;
	size_t offset = 0;

	memset(out, 0, sizeof(*out));
	if (packed_check(data, len))
		return -ERR_FRAME;
	msgpack_unpacked_init(&message);
	if (msgpack_unpack_next(&message, data, len, &offset) !=
		    MSGPACK_UNPACK_SUCCESS ||
	    offset != len || message.data.type != MSGPACK_OBJECT_ARRAY) {
		msgpack_unpacked_destroy(&message);
		return -ERR_FRAME;
	}
	r.fields = message.data.via.array.ptr;
	r.count = message.data.via.array.size;
	/* Room for the data of all fields, with a NUL behind each. */
	r.buffer = malloc(len + QUERY_FIELDS + 1);
	read_frame(&r, out);
	msgpack_unpacked_destroy(&message);
	if (r.is_broken || r.next != r.count) {
		free(r.buffer);
		return -ERR_FRAME;
	}
	out->buffer = r.buffer;
	return 0;
}

void forward_free(struct forward_frame *f)
{
	free(f->buffer);
	f->buffer = NULL;
}
