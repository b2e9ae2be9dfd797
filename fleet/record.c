#include "fleet/record.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "common/errors.h"
#include "common/packed.h"

#define RECORD_FIELDS 9

int host_ref_equals(const struct host_ref *a, const struct host_ref *b)
{
	return a->incarnation == b->incarnation && !strcmp(a->id, b->id);
}

struct seat_record *seat_table_find(const struct seat_table *t, uint16_t number)
{
	for (uint32_t i = 0; i < t->count; i++) {
		if (t->records[i].number == number)
			return &t->records[i];
	}
	return NULL;
}

struct seat_record *seat_table_add(struct seat_table *t, uint16_t number)
{
	struct seat_record *grown;
	uint32_t capacity = t->capacity ? 2 * t->capacity : 4;

	if (t->count == t->capacity) {
		grown = realloc(t->records, capacity * sizeof(*grown));
		if (!grown)
			return NULL;
		t->records = grown;
		t->capacity = capacity;
	}
	memset(&t->records[t->count], 0, sizeof(*t->records));
	t->records[t->count].number = number;
	return &t->records[t->count++];
}

void seat_table_clear(struct seat_table *t)
{
	free(t->records);
	memset(t, 0, sizeof(*t));
}

static void pack_host(msgpack_packer *p, const struct host_ref *h)
{
	msgpack_pack_str_with_body(p, h->id, strlen(h->id));
	msgpack_pack_uint64(p, h->incarnation);
}

static void pack_record(msgpack_packer *p, const struct seat_record *r)
{
	msgpack_pack_array(p, RECORD_FIELDS);
	msgpack_pack_uint16(p, r->number);
	pack_host(p, &r->host);
	pack_host(p, &r->owner);
	pack_host(p, &r->successor);
	msgpack_pack_uint64(p, r->epoch);
	msgpack_pack_int64(p, r->tenure_us);
}

int seat_table_encode(const struct seat_table *t, void **data, size_t *len)
{
	msgpack_sbuffer buffer;
	msgpack_packer p;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&p, &buffer, msgpack_sbuffer_write);
	if (msgpack_pack_array(&p, t->count)) {
		msgpack_sbuffer_destroy(&buffer);
		return -ERR_NOMEM;
	}
	for (uint32_t i = 0; i < t->count; i++)
		pack_record(&p, &t->records[i]);
	*len = buffer.size;
	*data = msgpack_sbuffer_release(&buffer);
	return 0;
}

static int read_host(const msgpack_object *o, struct host_ref *h)
{
	if (o[0].type != MSGPACK_OBJECT_STR ||
	    o[0].via.str.size >= sizeof(h->id) ||
	    o[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return -ERR_SEAT_RECORD;
	/* The pointer of an empty string may be NULL. */
	if (o[0].via.str.size)
		memcpy(h->id, o[0].via.str.ptr, o[0].via.str.size);
	h->id[o[0].via.str.size] = 0;
	h->incarnation = o[1].via.u64;
	return 0;
}

static int read_record(const msgpack_object *o, struct seat_table *t)
{
	const msgpack_object *fields;
	struct seat_record *r;

	if (o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size != RECORD_FIELDS)
		return -ERR_SEAT_RECORD;
	fields = o->via.array.ptr;
	if (fields[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    fields[0].via.u64 >= MAX_SEATS ||
	    fields[7].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    fields[8].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    seat_table_find(t, (uint16_t)fields[0].via.u64))
		return -ERR_SEAT_RECORD;
	r = seat_table_add(t, (uint16_t)fields[0].via.u64);
	if (!r)
		return -ERR_NOMEM;
	r->epoch = fields[7].via.u64;
	r->tenure_us = (int64_t)fields[8].via.u64;
	if (read_host(&fields[1], &r->host) || read_host(&fields[3], &r->owner))
		return -ERR_SEAT_RECORD;
	return read_host(&fields[5], &r->successor);
}

static int read_table(const msgpack_object *o, struct seat_table *t)
{
	int r = 0;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size > MAX_SEATS)
		return -ERR_SEAT_RECORD;
	for (uint32_t i = 0; !r && i < o->via.array.size; i++)
		r = read_record(&o->via.array.ptr[i], t);
	if (r)
		t->count = 0;
	return r;
}

int seat_table_decode(struct seat_table *t, const void *data, size_t len)
{
	msgpack_unpacked value;
	size_t offset = 0;
	int r;

	t->count = 0;
	if (!len)
		return 0;
	if (packed_check(data, len))
		return -ERR_SEAT_RECORD;
	msgpack_unpacked_init(&value);
	r = -ERR_SEAT_RECORD;
	if (msgpack_unpack_next(&value, data, len, &offset) ==
		    MSGPACK_UNPACK_SUCCESS &&
	    offset == len)
		r = read_table(&value.data, t);
	msgpack_unpacked_destroy(&value);
	return r;
}
