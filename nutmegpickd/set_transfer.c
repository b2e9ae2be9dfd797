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

/* Chunks asked for at a time, so that a large set does not fill the link. */
#define MAX_REQUESTED 16

#define MAX_CHUNKS 65536

/* Manifest entry: hash and length, both big-endian. */
#define ENTRY_SIZE 12

struct wanted_chunk {
	uint64_t hash;
	uint32_t len;
	/** Bytes, once they are here. */
	char *data;
};

struct set_transfer {
	struct host *host;
	struct frame_codec *codec;
	/** Chunks of the set in force. */
	struct chunk_table *kept;
	uint64_t kept_version;
	/** Version that is being fetched, or 0. */
	uint64_t version;
	char address[PEER_ADDRESS_MAX];
	struct wanted_chunk *chunks;
	uint32_t chunk_count;
	/** First chunk that was not asked for yet. */
	uint32_t next;
	uint32_t requested;
	bool is_whole;
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
	t->next = 0;
	t->requested = 0;
	t->version = 0;
	t->is_whole = false;
}

void set_transfer_destroy(struct set_transfer *t)
{
	if (!t)
		return;
	stop_fetch(t);
	chunk_table_unref(t->kept);
	frame_codec_destroy(t->codec);
	g_free(t);
}

void set_transfer_keep(struct set_transfer *t, const struct object_set *set)
{
	char *text = object_set_encode(set);

	chunk_table_unref(t->kept);
	t->kept = chunk_table_create(text, strlen(text));
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
	peer_send(t->host->peer, address, (const uint8_t *)data + FRAME_PREFIX,
		  len - FRAME_PREFIX);
}

static void ask(struct set_transfer *t, const char *part)
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
	ask(t, MANIFEST);
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
	const struct chunk *chunks = chunk_table_list(t->kept, &count);
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

	/* The asker's fetch times out and it turns to another host. */
	if (!t->kept || f->pull.version != t->kept_version)
		return;
	if (!strcmp(f->pull.part, MANIFEST)) {
		send_manifest(t, address, &f->pull);
		return;
	}
	if (!parse_hash(f->pull.part, &hash))
		return;
	data = chunk_table_find(t->kept, hash, &len);
	if (data)
		send_part(t, address, &f->pull, data, len);
}

static void copy_known(struct set_transfer *t, struct wanted_chunk *c)
{
	uint32_t len;
	const char *data = t->kept ? chunk_table_find(t->kept, c->hash, &len)
				   : NULL;

	if (data && len == c->len)
		c->data = g_memdup2(data, len);
}

static void ask_more(struct set_transfer *t)
{
	char part[20];

	for (; t->next < t->chunk_count && t->requested < MAX_REQUESTED;
	     t->next++) {
		struct wanted_chunk *c = &t->chunks[t->next];

		if (c->data)
			continue;
		snprintf(part, sizeof(part), "%016" PRIx64, c->hash);
		ask(t, part);
		t->requested++;
	}
	t->is_whole = t->next == t->chunk_count && !t->requested;
}

static void take_manifest(struct set_transfer *t, const struct frame_set *s)
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
		copy_known(t, c);
	}
	ask_more(t);
}

static void take_chunk(struct set_transfer *t, const struct frame_set *s)
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
	if (is_new && t->requested)
		t->requested--;
	ask_more(t);
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
		take_manifest(t, &f->set);
	else
		take_chunk(t, &f->set);
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

	if (!t->is_whole)
		return;
	text = join_chunks(t);
	stop_fetch(t);
	ret = object_set_decode(text->str, text->len, &set, &faults);
	g_string_free(text, TRUE);
	fault_list_clear(&faults);
	if (ret) {
		event_log(EV_SET_REFUSED, "code=E%d version=%" PRIu64, -ret,
			  version);
		fleet_set_refused(t->host->fleet, version);
		return;
	}
	set->version = version;
	host_apply_set(t->host, set);
}
