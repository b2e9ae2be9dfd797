#include "store/publish.h"

#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "common/errors.h"
#include "store/record.h"

#define HASH_HEX_DIGITS 64

char *publish_record_encode(const struct publish_record *r)
{
	json_t *parts = json_array();
	json_t *root;
	char *text;

	for (size_t i = 0; r->parts[i]; i++)
		json_array_append_new(parts, json_string(r->parts[i]));
	root = json_pack("{s:I,s:s,s:s,s:I,s:I,s:o}", "version",
			 (json_int_t)r->version, "publish_id", r->publish_id,
			 "author", r->author, "time_ms", (json_int_t)r->time_ms,
			 "bytes", (json_int_t)r->bytes, "parts", parts);
	text = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(root);
	return text;
}

static bool is_hash(const char *text)
{
	return text && strlen(text) == HASH_HEX_DIGITS &&
	       strspn(text, "0123456789abcdef") == HASH_HEX_DIGITS;
}

static int read_parts(const json_t *parts, struct publish_record *out)
{
	size_t count = json_array_size(parts);
	json_t *item;
	size_t i;

	if (!count || count > PUBLISH_PARTS_MAX)
		return -ERR_PUBLISH_RECORD;
	out->parts = g_new0(char *, count + 1);
	json_array_foreach (parts, i, item) {
		if (!is_hash(json_string_value(item)))
			return -ERR_PUBLISH_RECORD;
		out->parts[i] = g_strdup(json_string_value(item));
	}
	return 0;
}

static int read_record(json_t *root, struct publish_record *out)
{
	json_int_t version;
	json_int_t bytes;
	json_int_t time_ms;
	const char *author;
	const char *id;
	json_t *parts;

	if (json_unpack(root, "{s:I,s:s,s:s,s:I,s:I,s:o}", "version", &version,
			"publish_id", &id, "author", &author, "time_ms",
			&time_ms, "bytes", &bytes, "parts", &parts))
		return -ERR_PUBLISH_RECORD;
	if (version < 1 || bytes < 1 || !*id)
		return -ERR_PUBLISH_RECORD;
	out->version = (uint64_t)version;
	out->bytes = (size_t)bytes;
	out->time_ms = time_ms;
	out->publish_id = g_strdup(id);
	out->author = g_strdup(author);
	return read_parts(parts, out);
}

int publish_record_decode(const char *text, size_t len,
			  struct publish_record *out)
{
	json_t *root = json_loadb(text, len, JSON_REJECT_DUPLICATES, NULL);
	int ret;

	memset(out, 0, sizeof(*out));
	ret = root ? read_record(root, out) : -ERR_PUBLISH_RECORD;
	json_decref(root);
	if (ret)
		publish_record_clear(out);
	return ret;
}

void publish_record_clear(struct publish_record *record)
{
	g_free(record->publish_id);
	g_free(record->author);
	g_strfreev(record->parts);
	memset(record, 0, sizeof(*record));
}

int publish_record_find(const struct store_reply *reply, const char *key,
			struct publish_record *out)
{
	const struct store_entry *e = store_reply_find(reply, key);
	int ret;

	memset(out, 0, sizeof(*out));
	if (!e)
		return -ERR_PUBLISH_NONE;
	ret = publish_record_decode(e->value, e->len, out);
	if (!ret)
		out->mod_revision = e->mod_revision;
	return ret;
}

char *publish_history_key(uint64_t version)
{
	return g_strdup_printf(PUBLISH_KEY_HISTORY "%" G_GUINT64_FORMAT,
			       version);
}

char *publish_part_hash(const char *data, size_t len)
{
	return g_compute_checksum_for_data(G_CHECKSUM_SHA256,
					   (const guchar *)data, len);
}

int publish_check_part(const struct store_entry *e, const char *hash)
{
	char *found = publish_part_hash(e->value, e->len);
	bool is_equal = !strcmp(found, hash);

	g_free(found);
	return is_equal ? 0 : -ERR_PUBLISH_HASH;
}
