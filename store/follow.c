#include "store/follow.h"

#include <string.h>

#include <glib.h>

#include "common/errors.h"
#include "common/events.h"
#include "store/record.h"

#define MIN_BACKOFF_US (100 * US_PER_MS)
#define MAX_BACKOFF_US (2 * US_PER_S)
/*
 * Mean delay before the pointer is read after a watch ended. With its jitter
 * it spreads the reads of hosts whose watches end at the same time.
 */
#define REREAD_DELAY_US (50 * US_PER_MS)
/* Longest wait while nothing is due; a reply ends the wait earlier. */
#define IDLE_WAIT_US (1 * US_PER_S)

enum follower_state {
	/** The pointer is read at due_us. */
	FOLLOW_WAIT,
	/** The read of the pointer is in flight. */
	FOLLOW_POINTER_REPLY,
	/** The read of the next part must be started. */
	FOLLOW_PART,
	/** The read of a part is in flight. */
	FOLLOW_PART_REPLY,
	/** No read is due until the watch reports a change or ends. */
	FOLLOW_IDLE,
};

struct follower {
	struct follower_options options;
	GRand *rand;
	enum follower_state state;
	int64_t due_us;
	int failures;
	bool is_store_down;
	bool is_paused;
	/** Version of the last set passed to handle_set(). */
	uint64_t version;
	/** Publish id of the last refused record; it is not read again. */
	char *refused_id;
	/** Record whose parts are read; version 0 if there is none. */
	struct publish_record target;
	/** Newer record that arrived during a read; version 0: none. */
	struct publish_record next;
	size_t part_index;
	GString *text;
	bool is_watching;
	uint64_t watch_id;
	/** First revision that the next watch covers. */
	int64_t watch_revision;
};

static int64_t add_jitter(struct follower *f, int64_t mean_us)
{
	return (int64_t)((double)mean_us *
			 g_rand_double_range(f->rand, 0.5, 1.5));
}

static void schedule_read(struct follower *f, int64_t mean_us)
{
	f->state = FOLLOW_WAIT;
	f->due_us = clock_now(&f->options.clock) + add_jitter(f, mean_us);
}

static void back_off(struct follower *f)
{
	int64_t mean = MIN_BACKOFF_US << MIN(f->failures, 10);

	f->failures++;
	publish_record_clear(&f->target);
	schedule_read(f, MIN(mean, MAX_BACKOFF_US));
}

static void retry_store(struct follower *f, int code)
{
	if (!f->is_store_down)
		event_log(EV_STORE_DOWN, "code=E%d version=%" G_GUINT64_FORMAT,
			  -code, f->version);
	f->is_store_down = true;
	back_off(f);
}

static void retry_set(struct follower *f, int code)
{
	if (!f->failures)
		event_log(EV_SET_UNREADABLE,
			  "code=E%d version=%" G_GUINT64_FORMAT, -code,
			  f->target.version);
	back_off(f);
}

static void mark_store_up(struct follower *f)
{
	if (f->is_store_down)
		event_log(EV_STORE_UP, "version=%" G_GUINT64_FORMAT,
			  f->version);
	f->is_store_down = false;
}

static void refuse_record(struct follower *f, const struct publish_record *r,
			  int code)
{
	event_log(EV_SET_REFUSED,
		  "code=E%d version=%" G_GUINT64_FORMAT " publish_id=%s", -code,
		  r->version, r->publish_id ? r->publish_id : "-");
	g_free(f->refused_id);
	f->refused_id = g_strdup(r->publish_id);
}

static void start_target(struct follower *f)
{
	f->part_index = 0;
	g_string_truncate(f->text, 0);
	f->state = f->target.version ? FOLLOW_PART : FOLLOW_IDLE;
}

/* Starts on the record that arrived during a read, if it is newer. */
static void start_next(struct follower *f)
{
	if (f->next.version <= f->target.version) {
		publish_record_clear(&f->next);
		return;
	}
	publish_record_clear(&f->target);
	f->target = f->next;
	memset(&f->next, 0, sizeof(f->next));
	start_target(f);
}

static bool is_wanted(const struct follower *f, const struct publish_record *r)
{
	if (r->version < f->version)
		event_log(EV_SET_STALE,
			  "version=%" G_GUINT64_FORMAT
			  " in_force=%" G_GUINT64_FORMAT,
			  r->version, f->version);
	if (r->version <= f->version || r->version <= f->target.version ||
	    r->version <= f->next.version)
		return false;
	return !f->refused_id || strcmp(f->refused_id, r->publish_id) != 0;
}

/* Takes ownership of the record. */
static void take_record(struct follower *f, struct publish_record *r)
{
	if (!is_wanted(f, r)) {
		publish_record_clear(r);
		return;
	}
	if (f->state == FOLLOW_PART_REPLY || f->state == FOLLOW_POINTER_REPLY) {
		publish_record_clear(&f->next);
		f->next = *r;
		return;
	}
	publish_record_clear(&f->target);
	f->target = *r;
	start_target(f);
}

static void apply_event(struct follower *f, const struct store_entry *e)
{
	struct publish_record r;
	int ret;

	f->watch_revision = e->mod_revision + 1;
	if (e->is_deleted)
		return;
	ret = publish_record_decode(e->value, e->len, &r);
	if (ret)
		refuse_record(f, &r, ret);
	else
		take_record(f, &r);
}

static void handle_watch(void *ctx, struct store_reply *reply)
{
	struct follower *f = ctx;

	if (!reply->code) {
		for (size_t i = 0; i < reply->count; i++)
			apply_event(f, &reply->entries[i]);
		return;
	}
	f->is_watching = false;
	/* If a read is in flight, its reply decides what happens next. */
	if (reply->code != -ERR_STORE_WATCH_END &&
	    (f->state == FOLLOW_IDLE || f->state == FOLLOW_WAIT))
		retry_store(f, reply->code);
}

/* Watches from the revision after the last read, so no change is missed. */
static void start_watch(struct follower *f)
{
	struct store_watch watch = {
		.key = PUBLISH_KEY_POINTER,
		.from_revision = f->watch_revision,
	};
	uint64_t id;

	if (f->is_watching)
		return;
	f->is_watching = true;
	id = store_watch(f->options.store, &watch,
			 (struct store_callback){ handle_watch, f });
	f->watch_id = id;
}

static void handle_pointer(void *ctx, struct store_reply *reply)
{
	struct follower *f = ctx;
	struct publish_record r = { 0 };
	int ret = reply->code;

	f->state = FOLLOW_IDLE;
	if (ret) {
		retry_store(f, ret);
		return;
	}
	mark_store_up(f);
	ret = publish_record_find(reply, PUBLISH_KEY_POINTER, &r);
	f->watch_revision = reply->revision + 1;
	if (ret == -ERR_PUBLISH_RECORD)
		refuse_record(f, &r, ret);
	if (!ret)
		take_record(f, &r);
	start_next(f);
	if (f->state == FOLLOW_IDLE)
		f->failures = 0;
	if (!f->is_paused)
		start_watch(f);
}

/* Reads in a transaction, since only a transaction's reads are never stale. */
static void read_key(struct follower *f, const char *key,
		     void (*handle)(void *ctx, struct store_reply *reply))
{
	struct store_txn txn = { .reads = &key, .read_count = 1 };

	store_txn(f->options.store, &txn, (struct store_callback){ handle, f });
}

static void finish_target(struct follower *f)
{
	struct fault_list faults = { 0 };
	struct object_set *set = NULL;
	int ret = f->text->len == f->target.bytes ? 0 : -ERR_PUBLISH_HASH;

	if (!ret)
		ret = object_set_decode(f->text->str, f->text->len, &set,
					&faults);
	if (ret) {
		refuse_record(f, &f->target, ret);
	} else {
		set->version = f->target.version;
		f->version = set->version;
		f->options.handle_set(f->options.ctx, set);
	}
	fault_list_clear(&faults);
	f->failures = 0;
	publish_record_clear(&f->target);
	f->state = FOLLOW_IDLE;
	start_next(f);
}

static int append_part(struct follower *f, const struct store_reply *reply)
{
	const char *hash = f->target.parts[f->part_index];
	char *key = g_strconcat(PUBLISH_KEY_PART, hash, NULL);
	const struct store_entry *e = store_reply_find(reply, key);

	g_free(key);
	if (reply->code)
		return reply->code;
	if (!e)
		return -ERR_PUBLISH_PART;
	if (publish_check_part(e, hash))
		return -ERR_PUBLISH_HASH;
	g_string_append_len(f->text, e->value, (gssize)e->len);
	return 0;
}

static void handle_part(void *ctx, struct store_reply *reply)
{
	struct follower *f = ctx;
	int ret;

	f->state = FOLLOW_PART;
	if (f->next.version) {
		start_next(f);
		return;
	}
	ret = append_part(f, reply);
	if (ret == -ERR_PUBLISH_PART || ret == -ERR_PUBLISH_HASH) {
		retry_set(f, ret);
		return;
	}
	if (ret) {
		retry_store(f, ret);
		return;
	}
	if (f->target.parts[++f->part_index])
		return;
	finish_target(f);
}

static void read_part(struct follower *f)
{
	char *key = g_strconcat(PUBLISH_KEY_PART,
				f->target.parts[f->part_index], NULL);

	f->state = FOLLOW_PART_REPLY;
	read_key(f, key, handle_part);
	g_free(key);
}

void follower_set_active(struct follower *f, bool is_active)
{
	f->is_paused = !is_active;
	if (!f->is_paused || !f->is_watching)
		return;
	store_watch_cancel(f->options.store, f->watch_id);
	f->is_watching = false;
}

void follower_step(struct follower *f)
{
	if (f->is_paused)
		return;
	while (f->state == FOLLOW_PART)
		read_part(f);
	if (f->state == FOLLOW_IDLE && !f->is_watching)
		schedule_read(f, REREAD_DELAY_US);
	if (f->state != FOLLOW_WAIT || follower_wait_us(f) > 0)
		return;
	f->state = FOLLOW_POINTER_REPLY;
	read_key(f, PUBLISH_KEY_POINTER, handle_pointer);
}

int64_t follower_wait_us(const struct follower *f)
{
	if (f->is_paused)
		return IDLE_WAIT_US;
	if (f->state == FOLLOW_PART)
		return 0;
	if (f->state != FOLLOW_WAIT)
		return IDLE_WAIT_US;
	return MAX(f->due_us - clock_now(&f->options.clock), 0);
}

uint64_t follower_version(const struct follower *f)
{
	return f->version;
}

struct follower *follower_create(const struct follower_options *options)
{
	struct follower *f = g_new0(struct follower, 1);

	f->options = *options;
	f->rand = g_rand_new_with_seed(options->seed);
	f->text = g_string_new(NULL);
	f->due_us = clock_now(&options->clock);
	return f;
}

void follower_destroy(struct follower *f)
{
	if (f->is_watching)
		store_watch_cancel(f->options.store, f->watch_id);
	publish_record_clear(&f->target);
	publish_record_clear(&f->next);
	g_string_free(f->text, TRUE);
	g_free(f->refused_id);
	g_rand_free(f->rand);
	g_free(f);
}
