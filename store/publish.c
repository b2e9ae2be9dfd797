#include "store/publish.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "common/errors.h"
#include "common/events.h"
#include "store/record.h"

/*
 * Attempts of one write while its outcome is unknown. Retries are safe here: a
 * part is named by its content, and the write of the pointer compares a
 * revision that the first successful write changes.
 */
#define WRITE_ATTEMPTS 3

#define TOKEN_CHARS \
	"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._"
#define TOKEN_MAX 64

/** One publish in progress. */
struct publish_job {
	struct store *store;
	const struct publish_options *options;
	/** Record that the publish writes. */
	struct publish_record record;
	/** Expected revision of the pointer; 0: there is no pointer yet. */
	int64_t pointer_revision;
	char *history_key;
	char *fence_key;
	struct publish_result *out;
};

static void set_outcome(struct publish_result *out, enum publish_state state,
			int code)
{
	out->state = state;
	out->code = code;
}

/* Sets the outcome to accepted; moves the record of the set into the result. */
static void set_outcome_accepted(struct publish_result *out,
				 struct publish_record *record)
{
	set_outcome(out, PUBLISH_ACCEPTED, 0);
	publish_record_clear(&out->record);
	out->record = *record;
	memset(record, 0, sizeof(*record));
}

/* Sets the outcome to a conflict; moves the record in force into the result. */
static void set_outcome_conflict(struct publish_result *out,
				 struct publish_record *in_force)
{
	set_outcome_accepted(out, in_force);
	set_outcome(out, PUBLISH_REFUSED, -ERR_STORE_CONFLICT);
}

/* Writes a part if its last change is at the revision; 0: no such key yet. */
static int put_part(struct store *s, const char *key, const char *data,
		    size_t len, int64_t revision, bool *is_applied)
{
	struct store_compare compare = { key, revision };
	struct store_put put = { .key = key, .value = data, .len = len };
	struct store_txn txn = {
		.compares = &compare,
		.compare_count = 1,
		.puts = &put,
		.put_count = 1,
	};
	struct store_reply reply = { 0 };
	int ret = store_txn_wait(s, &txn, &reply);

	*is_applied = reply.is_applied;
	store_reply_clear(&reply);
	return ret;
}

/* Replaces the stored value of a part if it differs from the data. */
static int repair_part(struct store *s, const char *key, const char *data,
		       size_t len)
{
	struct store_txn txn = { .reads = &key, .read_count = 1 };
	struct store_reply reply = { 0 };
	const struct store_entry *e;
	bool is_applied;
	int ret = store_txn_wait(s, &txn, &reply);

	e = store_reply_find(&reply, key);
	if (!ret && e && (e->len != len || memcmp(e->value, data, len) != 0))
		ret = put_part(s, key, data, len, e->mod_revision, &is_applied);
	store_reply_clear(&reply);
	return ret;
}

static int write_part_once(struct store *s, const char *key, const char *data,
			   size_t len)
{
	bool is_applied;
	int ret = put_part(s, key, data, len, 0, &is_applied);

	return ret || is_applied ? ret : repair_part(s, key, data, len);
}

static int write_part(struct store *s, const char *hash, const char *data,
		      size_t len)
{
	char *key = g_strconcat(PUBLISH_KEY_PART, hash, NULL);
	int ret = -ERR_STORE_UNKNOWN;

	for (int i = 0; i < WRITE_ATTEMPTS && ret == -ERR_STORE_UNKNOWN; i++)
		ret = write_part_once(s, key, data, len);
	event_log(EV_PUBLISH_STEP, "step=part key=%s code=E%d", key, -ret);
	g_free(key);
	/* A part has no effect without a pointer: unknown counts as failed. */
	return ret == -ERR_STORE_UNKNOWN ? -ERR_STORE_DOWN : ret;
}

static size_t part_length(const char *text, size_t offset)
{
	return MIN(strlen(text + offset), PUBLISH_PART_MAX);
}

static int write_parts(struct store *s, const struct publish_record *r,
		       const char *text)
{
	size_t offset = 0;
	int ret = 0;

	for (size_t i = 0; !ret && r->parts[i]; i++) {
		size_t len = part_length(text, offset);

		ret = write_part(s, r->parts[i], text + offset, len);
		offset += len;
	}
	return ret;
}

static int hash_parts(struct publish_record *r, const char *text)
{
	size_t count;

	r->bytes = strlen(text);
	count = (r->bytes + PUBLISH_PART_MAX - 1) / PUBLISH_PART_MAX;
	if (count > PUBLISH_PARTS_MAX)
		return -ERR_STORE_TOO_LARGE;
	r->parts = g_new0(char *, count + 1);
	for (size_t i = 0; i < count; i++) {
		size_t offset = i * PUBLISH_PART_MAX;

		r->parts[i] = publish_part_hash(text + offset,
						part_length(text, offset));
	}
	return 0;
}

static bool has_id(const struct publish_record *r, const char *publish_id)
{
	return r->publish_id && !strcmp(r->publish_id, publish_id);
}

/*
 * Makes one attempt to write the pointer and the history record, in one
 * transaction. The transaction also reads the keys that show the outcome, for
 * set_outcome_from_reply().
 */
static int write_pointer_once(struct publish_job *job,
			      struct store_reply *reply)
{
	char *text = publish_record_encode(&job->record);
	const struct store_compare compares[] = {
		{ PUBLISH_KEY_POINTER, job->pointer_revision },
		{ job->fence_key, 0 },
	};
	const struct store_put puts[] = {
		{ PUBLISH_KEY_POINTER, text, strlen(text), 0 },
		{ job->history_key, text, strlen(text), 0 },
	};
	const char *const reads[] = {
		PUBLISH_KEY_POINTER,
		job->history_key,
		job->fence_key,
	};
	const struct store_txn txn = {
		.compares = compares,
		.compare_count = G_N_ELEMENTS(compares),
		.puts = puts,
		.put_count = G_N_ELEMENTS(puts),
		.reads = reads,
		.read_count = G_N_ELEMENTS(reads),
	};
	int ret = store_txn_wait(job->store, &txn, reply);

	event_log(EV_PUBLISH_STEP, "step=pointer id=%s code=E%d",
		  job->record.publish_id, -ret);
	free(text);
	return ret;
}

/*
 * Sets the outcome from the reply to the transaction that wrote the pointer or
 * the fence key: accepted if the history record of the version has the publish
 * id, otherwise refused.
 */
static void set_outcome_from_reply(const struct store_reply *reply,
				   const char *publish_id,
				   const char *history_key,
				   struct publish_result *out)
{
	struct publish_record entry = { 0 };
	struct publish_record pointer = { 0 };
	int ret = publish_record_find(reply, history_key, &entry);

	if (!ret && has_id(&entry, publish_id)) {
		set_outcome_accepted(out, &entry);
		return;
	}
	publish_record_clear(&entry);
	ret = publish_record_find(reply, PUBLISH_KEY_POINTER, &pointer);
	set_outcome_conflict(out, &pointer);
	if (ret == -ERR_PUBLISH_RECORD)
		out->code = ret;
}

static bool is_fenced(const struct publish_job *job,
		      const struct store_reply *reply)
{
	return store_reply_find(reply, job->fence_key) != NULL;
}

/*
 * Reads the history record of the version, in case an attempt with an unknown
 * outcome has written it. If the record has the publish id, sets the outcome to
 * accepted and returns true.
 */
static bool read_back_outcome(struct publish_job *job)
{
	struct publish_record entry;
	int ret = publish_read_record(job->store, job->record.version, &entry);

	event_log(EV_PUBLISH_STEP, "step=read-back id=%s code=E%d",
		  job->record.publish_id, -ret);
	if (!ret && has_id(&entry, job->record.publish_id)) {
		set_outcome_accepted(job->out, &entry);
		return true;
	}
	publish_record_clear(&entry);
	return false;
}

/*
 * Writes the pointer and sets the outcome. Once the outcome of an attempt is
 * unknown, each failed attempt is followed by read_back_outcome(), and by the
 * next attempt only if the history lacks the publish id.
 */
static void write_pointer(struct publish_job *job)
{
	bool is_unknown = false;
	int ret = 0;

	for (int i = 0; i < WRITE_ATTEMPTS; i++) {
		struct store_reply reply = { 0 };

		ret = write_pointer_once(job, &reply);
		if (!ret) {
			set_outcome_from_reply(&reply, job->record.publish_id,
					       job->history_key, job->out);
			if (job->out->state == PUBLISH_REFUSED &&
			    is_fenced(job, &reply))
				job->out->code = -ERR_PUBLISH_FENCED;
		}
		store_reply_clear(&reply);
		if (!ret)
			return;
		if (ret == -ERR_STORE_UNKNOWN)
			is_unknown = true;
		if (!is_unknown)
			break;
		if (read_back_outcome(job))
			return;
	}
	set_outcome(job->out, is_unknown ? PUBLISH_UNKNOWN : PUBLISH_REFUSED,
		    ret);
}

static bool is_same_content(const struct publish_record *a,
			    const struct publish_record *b)
{
	return a->bytes == b->bytes &&
	       g_strv_equal((const gchar *const *)a->parts,
			    (const gchar *const *)b->parts);
}

/*
 * Reads the pointer and sets the version to write. Returns false if nothing is
 * left to publish; the outcome is then set: the read failed, the set is in
 * force already, or the base version is not in force.
 */
static bool choose_version(struct publish_job *job)
{
	const struct publish_options *o = job->options;
	struct publish_record pointer;
	int ret = publish_read_pointer(job->store, &pointer);

	if (ret && ret != -ERR_PUBLISH_NONE) {
		set_outcome(job->out, PUBLISH_REFUSED, ret);
		return false;
	}
	if (!ret && is_same_content(&pointer, &job->record)) {
		job->out->is_unchanged = true;
		set_outcome_accepted(job->out, &pointer);
		return false;
	}
	if (o->base_version >= 0 &&
	    pointer.version != (uint64_t)o->base_version) {
		set_outcome_conflict(job->out, &pointer);
		return false;
	}
	job->pointer_revision = pointer.mod_revision;
	job->record.version = pointer.version + 1;
	publish_record_clear(&pointer);
	return true;
}

static void set_id_and_keys(struct publish_job *job)
{
	struct publish_record *r = &job->record;

	r->publish_id = g_strdup_printf("%" G_GUINT64_FORMAT "-%s", r->version,
					job->options->token);
	r->author = g_strdup(job->options->author);
	r->time_ms = job->options->time_ms;
	job->out->publish_id = g_strdup(r->publish_id);
	job->history_key = publish_history_key(r->version);
	job->fence_key = g_strconcat(PUBLISH_KEY_FENCE, r->publish_id, NULL);
}

/* Writes the parts of the set in force again, which repairs damaged ones. */
static void rewrite_parts(struct publish_job *job, const char *text)
{
	int ret = write_parts(job->store, &job->record, text);

	if (!ret)
		return;
	job->out->is_unchanged = false;
	set_outcome(job->out, PUBLISH_REFUSED, ret);
}

/*
 * Publishes the encoded set, in this order, so that the pointer never names a
 * part that is not stored:
 * 1. hash_parts() names the parts by their content.
 * 2. choose_version() reads the pointer; set_id_and_keys() uses the version.
 * 3. write_parts() writes the parts.
 * 4. write_pointer() puts the version in force and sets the outcome.
 */
static void run_publish(struct publish_job *job, const char *text)
{
	int ret = hash_parts(&job->record, text);

	if (ret) {
		set_outcome(job->out, PUBLISH_REFUSED, ret);
		return;
	}
	if (!choose_version(job)) {
		if (job->out->is_unchanged)
			rewrite_parts(job, text);
		return;
	}
	set_id_and_keys(job);
	ret = write_parts(job->store, &job->record, text);
	if (ret) {
		/* Parts without a pointer have no effect. */
		set_outcome(job->out, PUBLISH_REFUSED, ret);
		return;
	}
	write_pointer(job);
}

static bool is_valid_token(const char *text)
{
	size_t len = strlen(text);

	return len && len <= TOKEN_MAX && strspn(text, TOKEN_CHARS) == len;
}

void publish_set(struct store *s, const struct object_set *set,
		 const struct publish_options *options,
		 struct publish_result *out)
{
	struct publish_job job = {
		.store = s,
		.options = options,
		.out = out,
	};
	char *text;

	memset(out, 0, sizeof(*out));
	if (!is_valid_token(options->token)) {
		set_outcome(out, PUBLISH_REFUSED, -ERR_PUBLISH_ID);
		return;
	}
	text = object_set_encode(set);
	run_publish(&job, text);
	free(text);
	publish_record_clear(&job.record);
	g_free(job.history_key);
	g_free(job.fence_key);
}

static bool parse_id(const char *publish_id, uint64_t *version)
{
	char *end;

	if (!g_ascii_isdigit(*publish_id))
		return false;
	*version = g_ascii_strtoull(publish_id, &end, 10);
	return *version && *version < INT64_MAX && *end == '-' &&
	       is_valid_token(end + 1);
}

/* Writes the fence key; the transaction also reads the pointer and history. */
static int write_fence(struct store *s, const char *publish_id,
		       const char *history_key, struct store_reply *reply)
{
	char *key = g_strconcat(PUBLISH_KEY_FENCE, publish_id, NULL);
	struct store_compare compare = { .key = key };
	struct store_put put = { .key = key, .value = "", .len = 0 };
	const char *const reads[] = { PUBLISH_KEY_POINTER, history_key };
	const struct store_txn txn = {
		.compares = &compare,
		.compare_count = 1,
		.puts = &put,
		.put_count = 1,
		.reads = reads,
		.read_count = G_N_ELEMENTS(reads),
	};
	int ret = -ERR_STORE_UNKNOWN;

	for (int i = 0; i < WRITE_ATTEMPTS && ret == -ERR_STORE_UNKNOWN; i++) {
		store_reply_clear(reply);
		ret = store_txn_wait(s, &txn, reply);
	}
	g_free(key);
	return ret;
}

/*
 * Writes the fence key, then sets the outcome from the history and pointer that
 * the same transaction read.
 */
static void settle_with_fence(struct store *s, const char *publish_id,
			      uint64_t version, struct publish_result *out)
{
	char *history_key = publish_history_key(version);
	struct store_reply reply = { 0 };
	int ret = write_fence(s, publish_id, history_key, &reply);

	if (ret)
		set_outcome(out, PUBLISH_UNKNOWN, ret);
	else
		set_outcome_from_reply(&reply, publish_id, history_key, out);
	if (out->code == -ERR_STORE_CONFLICT)
		out->code = -ERR_PUBLISH_FENCED;
	store_reply_clear(&reply);
	g_free(history_key);
}

void publish_settle(struct store *s, const char *publish_id,
		    struct publish_result *out)
{
	struct publish_record entry = { 0 };
	uint64_t version;
	int ret;

	memset(out, 0, sizeof(*out));
	if (!parse_id(publish_id, &version)) {
		set_outcome(out, PUBLISH_REFUSED, -ERR_PUBLISH_ID);
		return;
	}
	out->publish_id = g_strdup(publish_id);
	ret = publish_read_record(s, version, &entry);
	if (!ret && has_id(&entry, publish_id)) {
		set_outcome_accepted(out, &entry);
		return;
	}
	publish_record_clear(&entry);
	settle_with_fence(s, publish_id, version, out);
}

void publish_result_clear(struct publish_result *result)
{
	g_free(result->publish_id);
	publish_record_clear(&result->record);
	memset(result, 0, sizeof(*result));
}
