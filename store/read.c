#include "store/publish.h"

#include <string.h>

#include <glib.h>

#include "common/errors.h"
#include "store/record.h"

/* Reads in a transaction, since only a transaction's reads are never stale. */
static int read_latest(struct store *s, const char *key,
		       struct store_reply *reply)
{
	struct store_txn txn = { .reads = &key, .read_count = 1 };

	return store_txn_wait(s, &txn, reply);
}

static int read_record(struct store *s, const char *key,
		       struct publish_record *out)
{
	struct store_reply reply = { 0 };
	int ret = read_latest(s, key, &reply);

	memset(out, 0, sizeof(*out));
	if (!ret)
		ret = publish_record_find(&reply, key, out);
	store_reply_clear(&reply);
	return ret;
}

int publish_read_pointer(struct store *s, struct publish_record *out)
{
	return read_record(s, PUBLISH_KEY_POINTER, out);
}

int publish_read_record(struct store *s, uint64_t version,
			struct publish_record *out)
{
	char *key = publish_history_key(version);
	int ret = read_record(s, key, out);

	g_free(key);
	if (!ret && out->version != version) {
		publish_record_clear(out);
		return -ERR_PUBLISH_RECORD;
	}
	return ret;
}

static int read_part(struct store *s, const char *hash, GString *text)
{
	char *key = g_strconcat(PUBLISH_KEY_PART, hash, NULL);
	struct store_get get = { .key = key };
	struct store_reply reply = { 0 };
	const struct store_entry *e;
	int ret = store_get_wait(s, &get, &reply);

	/* A get may be stale and miss a part that was just written. */
	if (!ret && !store_reply_find(&reply, key)) {
		store_reply_clear(&reply);
		ret = read_latest(s, key, &reply);
	}
	e = store_reply_find(&reply, key);
	if (!ret && !e)
		ret = -ERR_PUBLISH_PART;
	if (!ret)
		ret = publish_check_part(e, hash);
	if (!ret)
		g_string_append_len(text, e->value, (gssize)e->len);
	store_reply_clear(&reply);
	g_free(key);
	return ret;
}

int publish_read_set(struct store *s, const struct publish_record *record,
		     struct object_set **out, struct fault_list *faults)
{
	GString *text = g_string_new(NULL);
	int ret = 0;

	for (size_t i = 0; !ret && record->parts[i]; i++)
		ret = read_part(s, record->parts[i], text);
	if (!ret && text->len != record->bytes)
		ret = -ERR_PUBLISH_HASH;
	if (!ret)
		ret = object_set_decode(text->str, text->len, out, faults);
	if (!ret)
		(*out)->version = record->version;
	g_string_free(text, TRUE);
	return ret;
}
