#include "nutmegpickd/set_transfer.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/errors.h"
#include "common/events.h"
#include "objects/chunk.h"

/* Name of the part that lists the chunks of a version. */
#define MANIFEST "manifest"

/* Maximum chunk requests in flight; a large set must not fill the link. */
#define MAX_REQUESTED 16

#define MAX_CHUNKS 65536

/* Manifest entry: hash and length, both big-endian. */
#define ENTRY_SIZE 12

struct wanted_chunk {
	uint64_t hash;
	uint32_t len;
	/** NULL until the chunk has arrived. */
	char *data;
};

struct set_transfer {
	struct host *host;
	struct frame_codec *codec;
	/** Chunks of the set in force. */
	struct chunk_table *kept_chunks;
	uint64_t kept_version;
	/** Version being fetched, or 0. */
	uint64_t version;
	char address[PEER_ADDRESS_MAX];
	struct wanted_chunk *chunks;
	uint32_t chunk_count;
	/** Index of the first chunk that was not requested yet. */
	uint32_t next_chunk;
	uint32_t requested_count;
	bool is_complete;
};

struct set_transfer *set_transfer_create(struct host *h)
{
	struct set_transfer *t = g_new0(struct set_transfer, 1);

	t->host = h;
	if (frame_codec_create(&t->codec)) {
		g_free(t);
		return NULL;
	}
	return t;
}

static void stop_fetch(struct set_transfer *t)
{
	for (uint32_t i = 0; i < t->chunk_count; i++)
		free(t->chunks[i].data);
	free(t->chunks);
	t->chunks = NULL;
	t->chunk_count = 0;
	t->next_chunk = 0;
	t->requested_count = 0;
	t->version = 0;
	t->is_complete = false;
}

void set_transfer_destroy(struct set_transfer *t)
{
	if (!t)
		return;
	stop_fetch(t);
	chunk_table_unref(t->kept_chunks);
	frame_codec_destroy(t->codec);
	g_free(t);
}

void set_transfer_keep_set(struct set_transfer *t, const struct object_set *set)
{
	char *text = object_set_encode(set);

	chunk_table_unref(t->kept_chunks);
	t->kept_chunks = chunk_table_create(text, strlen(text));
	t->kept_version = set->version;
	free(text);
}

static void send_frame(struct set_transfer *t, const char *address,
		       const struct frame *f)
{
	const void *data;
	size_t len;

	if (frame_encode(t->codec, f, &data, &len))
		return;
	transport_send(t->host->transport, address,
		       (const uint8_t *)data + FRAME_PREFIX,
		       len - FRAME_PREFIX);
}

static void request_part(struct set_transfer *t, const char *part)
{
	struct frame f = { .type = FRAME_PULL };

	f.gossip.sender = *membership_self(fleet_members(t->host->fleet));
	f.gossip.version = fleet_version(t->host->fleet);
	f.pull.version = t->version;
	g_strlcpy(f.pull.part, part, sizeof(f.pull.part));
	send_frame(t, t->address, &f);
}

void set_transfer_fetch(struct set_transfer *t, const char *address,
			uint64_t version)
{
	stop_fetch(t);
	t->version = version;
	g_strlcpy(t->address, address, sizeof(t->address));
	request_part(t, MANIFEST);
}

static void send_part(struct set_transfer *t, const char *address,
		      const struct frame_pull *pull, const void *data,
		      uint32_t size)
{
	struct frame f = { .type = FRAME_SET };

	f.set.version = pull->version;
	g_strlcpy(f.set.part, pull->part, sizeof(f.set.part));
	f.set.data = data;
	f.set.size = size;
	send_frame(t, address, &f);
}

static void send_manifest(struct set_transfer *t, const char *address,
			  const struct frame_pull *pull)
{
	uint32_t count;
	const struct chunk *chunks = chunk_table_list(t->kept_chunks, &count);
	uint8_t *data = malloc((size_t)count * ENTRY_SIZE + 1);

	for (uint32_t i = 0; i < count; i++) {
		uint64_t hash = GUINT64_TO_BE(chunks[i].hash);
		uint32_t len = GUINT32_TO_BE(chunks[i].len);

		memcpy(data + i * ENTRY_SIZE, &hash, sizeof(hash));
		memcpy(data + i * ENTRY_SIZE + sizeof(hash), &len, sizeof(len));
	}
	send_part(t, address, pull, data, count * ENTRY_SIZE);
	free(data);
}

static bool parse_hash(const char *part, uint64_t *hash)
{
	char *end;

	*hash = g_ascii_strtoull(part, &end, 16);
	return strlen(part) == 16 && !*end;
}

static void handle_pull(struct set_transfer *t, const struct frame *f)
{
	const char *address = f->gossip.sender.address;
	const char *data;
	uint64_t hash;
	uint32_t len;

	/* Without an answer the fetch times out, and the host tries another. */
	if (!t->kept_chunks || f->pull.version != t->kept_version)
		return;
	if (!strcmp(f->pull.part, MANIFEST)) {
		send_manifest(t, address, &f->pull);
		return;
	}
	if (!parse_hash(f->pull.part, &hash))
		return;
	data = chunk_table_find(t->kept_chunks, hash, &len);
	if (data)
		send_part(t, address, &f->pull, data, len);
}

static void copy_kept_chunk(struct set_transfer *t, struct wanted_chunk *c)
{
	uint32_t len;
	const char *data =
		t->kept_chunks ? chunk_table_find(t->kept_chunks, c->hash, &len)
			       : NULL;

	if (data && len == c->len)
		c->data = g_memdup2(data, len);
}

static void request_more_chunks(struct set_transfer *t)
{
	char part[20];

	for (; t->next_chunk < t->chunk_count &&
	       t->requested_count < MAX_REQUESTED;
	     t->next_chunk++) {
		struct wanted_chunk *c = &t->chunks[t->next_chunk];

		if (c->data)
			continue;
		snprintf(part, sizeof(part), "%016" PRIx64, c->hash);
		request_part(t, part);
		t->requested_count++;
	}
	t->is_complete = t->next_chunk == t->chunk_count && !t->requested_count;
}

static void handle_manifest(struct set_transfer *t, const struct frame_set *s)
{
	const uint8_t *data = s->data;
	uint32_t count = s->size / ENTRY_SIZE;

	if (t->chunks || !count || s->size % ENTRY_SIZE || count > MAX_CHUNKS)
		return;
	t->chunks = calloc(count, sizeof(*t->chunks));
	t->chunk_count = count;
	for (uint32_t i = 0; i < count; i++) {
		struct wanted_chunk *c = &t->chunks[i];

		memcpy(&c->hash, data + i * ENTRY_SIZE, sizeof(c->hash));
		memcpy(&c->len, data + i * ENTRY_SIZE + sizeof(c->hash),
		       sizeof(c->len));
		c->hash = GUINT64_FROM_BE(c->hash);
		c->len = GUINT32_FROM_BE(c->len);
		copy_kept_chunk(t, c);
	}
	request_more_chunks(t);
}

static void handle_chunk(struct set_transfer *t, const struct frame_set *s)
{
	uint64_t hash;
	bool is_new = false;

	if (!parse_hash(s->part, &hash))
		return;
	for (uint32_t i = 0; i < t->chunk_count; i++) {
		struct wanted_chunk *c = &t->chunks[i];

		if (c->hash != hash || c->len != s->size || c->data)
			continue;
		c->data = g_memdup2(s->data, s->size);
		is_new = true;
	}
	if (is_new && t->requested_count)
		t->requested_count--;
	request_more_chunks(t);
}

void set_transfer_handle(struct set_transfer *t, const struct frame *f)
{
	if (f->type == FRAME_PULL) {
		handle_pull(t, f);
		return;
	}
	if (!t->version || f->set.version != t->version)
		return;
	if (!strcmp(f->set.part, MANIFEST))
		handle_manifest(t, &f->set);
	else
		handle_chunk(t, &f->set);
}

static GString *join_chunks(const struct set_transfer *t)
{
	GString *text = g_string_new(NULL);

	for (uint32_t i = 0; i < t->chunk_count; i++)
		g_string_append_len(text, t->chunks[i].data, t->chunks[i].len);
	return text;
}

void set_transfer_advance(struct set_transfer *t)
{
	struct fault_list faults = { 0 };
	uint64_t version = t->version;
	struct object_set *set;
	GString *text;
	int ret;

	if (!t->is_complete)
		return;
	text = join_chunks(t);
	stop_fetch(t);
	ret = object_set_decode(text->str, text->len, &set, &faults);
	g_string_free(text, TRUE);
	fault_list_clear(&faults);
	if (ret) {
		event_log(EV_SET_REFUSED, "code=E%d version=%" PRIu64, -ret,
			  version);
		fleet_mark_refused(t->host->fleet, version);
		return;
	}
	set->version = version;
	host_apply_set(t->host, set);
}
