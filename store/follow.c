#include "store/follow.h"

#include <string.h>

#include <glib.h>

#include "common/errors.h"
#include "common/events.h"
#include "store/record.h"

#define MIN_BACKOFF_US (100 * US_PER_MS)
#define MAX_BACKOFF_US (2 * US_PER_S)
/* Spread of reads when watches of many hosts end at the same time. */
#define RENEW_US (50 * US_PER_MS)
/* Longest sleep while a reply is awaited; replies end the wait earlier. */
#define IDLE_US (1 * US_PER_S)

enum follower_state {
	/** Waits until due_us to read the pointer. */
	FOLLOW_WAIT,
	/** A reply to the read of the pointer is awaited. */
	FOLLOW_POINTER,
	/** The next part is to be read. */
	FOLLOW_PART,
	/** A reply to the read of a part is awaited. */
	FOLLOW_PART_REPLY,
	/** Nothing to do until the watch reports a change. */
	FOLLOW_IDLE,
};

struct follower {
	struct follower_options options;
	GRand *rand;
	enum follower_state state;
	int64_t due_us;
	int failures;
	bool is_down;
	bool is_paused;
	/** Version handed out last. */
	uint64_t version;
	/** Publish id of a set that failed its check. */
	char *refused_id;
	/** Record that is being read; version 0 if there is none. */
	struct publish_record target;
	/** Newer record that arrived meanwhile. */
	struct publish_record next;
	size_t part;
	GString *text;
	bool is_watching;
	uint64_t watch_id;
	int64_t watch_from;
};

static int64_t jitter(struct follower *f, int64_t mean_us)
{
	return (int64_t)((double)mean_us *
			 g_rand_double_range(f->rand, 0.5, 1.5));
}

static void wait_for(struct follower *f, int64_t mean_us)
{
	f->state = FOLLOW_WAIT;
	f->due_us = clock_now(&f->options.clock) + jitter(f, mean_us);
}

static void back_off(struct follower *f)
{
	int64_t mean = MIN_BACKOFF_US << MIN(f->failures, 10);

	f->failures++;
	publish_record_clear(&f->target);
	wait_for(f, MIN(mean, MAX_BACKOFF_US));
}

static void note_failure(struct follower *f, int code)
{
	if (!f->is_down)
		event_log(EV_STORE_DOWN, "code=E%d version=%" G_GUINT64_FORMAT,
			  -code, f->version);
	f->is_down = true;
	back_off(f);
}

static void note_unreadable(struct follower *f, int code)
{
	if (!f->failures)
		event_log(EV_SET_UNREADABLE,
			  "code=E%d version=%" G_GUINT64_FORMAT, -code,
			  f->target.version);
	back_off(f);
}

static void note_success(struct follower *f)
{
	if (f->is_down)
		event_log(EV_STORE_UP, "version=%" G_GUINT64_FORMAT,
			  f->version);
	f->is_down = false;
}

static void refuse(struct follower *f, const struct publish_record *r, int code)
{
	event_log(EV_SET_REFUSED,
		  "code=E%d version=%" G_GUINT64_FORMAT " publish_id=%s", -code,
		  r->version, r->publish_id ? r->publish_id : "-");
	g_free(f->refused_id);
	f->refused_id = g_strdup(r->publish_id);
}

static void start_target(struct follower *f)
{
	f->part = 0;
	g_string_truncate(f->text, 0);
	f->state = f->target.version ? FOLLOW_PART : FOLLOW_IDLE;
}

/* Goes on with the record that arrived during a read, if it is newer. */
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
	if (f->state == FOLLOW_PART_REPLY || f->state == FOLLOW_POINTER) {
		publish_record_clear(&f->next);
		f->next = *r;
		return;
	}
	publish_record_clear(&f->target);
	f->target = *r;
	start_target(f);
}

static void take_event(struct follower *f, const struct store_entry *e)
{
	struct publish_record r;
	int ret;

	f->watch_from = e->mod_revision + 1;
	if (e->is_deleted)
		return;
	ret = publish_record_decode(e->value, e->len, &r);
	if (ret)
		refuse(f, &r, ret);
	else
		take_record(f, &r);
}

static void handle_watch(void *ctx, struct store_reply *reply)
{
	struct follower *f = ctx;

	if (!reply->code) {
		for (size_t i = 0; i < reply->count; i++)
			take_event(f, &reply->entries[i]);
		return;
	}
	f->is_watching = false;
	/* A reply that is awaited decides how to go on. */
	if (reply->code != -ERR_STORE_WATCH_END &&
	    (f->state == FOLLOW_IDLE || f->state == FOLLOW_WAIT))
		note_failure(f, reply->code);
}

/* Watches from the pointer that was read, so that no change is missed. */
static void start_watch(struct follower *f)
{
	struct store_watch watch = {
		.key = PUBLISH_KEY_POINTER,
		.from_revision = f->watch_from,
	};
	uint64_t id;

	if (f->is_watching)
		return;
	f->is_watching = true;
	id = store_watch(f->options.store, &watch,
			 (struct store_done){ handle_watch, f });
	f->watch_id = id;
}

static void handle_pointer(void *ctx, struct store_reply *reply)
{
	struct follower *f = ctx;
	struct publish_record r = { 0 };
	int ret = reply->code;

	f->state = FOLLOW_IDLE;
	if (ret) {
		note_failure(f, ret);
		return;
	}
	note_success(f);
	ret = publish_record_find(reply, PUBLISH_KEY_POINTER, &r);
	f->watch_from = reply->revision + 1;
	if (ret == -ERR_PUBLISH_RECORD)
		refuse(f, &r, ret);
	if (!ret)
		take_record(f, &r);
	start_next(f);
	if (f->state == FOLLOW_IDLE)
		f->failures = 0;
	if (!f->is_paused)
		start_watch(f);
}

/* A transaction's reads are never stale. */
static void read_key(struct follower *f, const char *key,
		     void (*handle)(void *ctx, struct store_reply *reply))
{
	struct store_txn txn = { .reads = &key, .read_count = 1 };

	store_txn(f->options.store, &txn, (struct store_done){ handle, f });
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
		refuse(f, &f->target, ret);
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

static int take_part(struct follower *f, const struct store_reply *reply)
{
	const char *hash = f->target.parts[f->part];
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
	ret = take_part(f, reply);
	if (ret == -ERR_PUBLISH_PART || ret == -ERR_PUBLISH_HASH) {
		note_unreadable(f, ret);
		return;
	}
	if (ret) {
		note_failure(f, ret);
		return;
	}
	if (f->target.parts[++f->part])
		return;
	finish_target(f);
}

static void read_part(struct follower *f)
{
	char *key =
		g_strconcat(PUBLISH_KEY_PART, f->target.parts[f->part], NULL);

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
		wait_for(f, RENEW_US);
	if (f->state != FOLLOW_WAIT || follower_wait_us(f) > 0)
		return;
	f->state = FOLLOW_POINTER;
	read_key(f, PUBLISH_KEY_POINTER, handle_pointer);
}

int64_t follower_wait_us(const struct follower *f)
{
	if (f->is_paused)
		return IDLE_US;
	if (f->state == FOLLOW_PART)
		return 0;
	if (f->state != FOLLOW_WAIT)
		return IDLE_US;
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
