#include "fleet/update.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/errors.h"

#define CALL_TIMEOUT_US (3 * US_PER_S)
#define CONFLICT_DELAY_US (20 * US_PER_MS)
#define MAX_CONFLICT_SHIFT 6
#define STORE_DOWN_DELAY_US (2 * US_PER_S)

enum task_state {
	TASK_WAITING,
	TASK_READING,
	TASK_WRITING,
};

struct task {
	struct update update;
	enum task_state state;
	/** End of the wait before a retry, or timeout of the store call. */
	int64_t next_timer_us;
	uint64_t ticket;
	uint64_t revision;
	/** Highest revision that a write with unknown outcome expected. */
	uint64_t unknown_revision;
	/** Whether there was a write with unknown outcome. */
	bool has_unknown_write;
	uint32_t conflicts;
};

struct updater {
	struct updater_options options;
	GRand *rand;
	GPtrArray *tasks;
	uint64_t next_ticket;
	struct seat_table table;
};

static int64_t now_us(const struct updater *u)
{
	return clock_now(&u->options.clock);
}

static void format_key(const struct task *t, char *key, size_t size)
{
	snprintf(key, size, "np/seats/%s", t->update.domain);
}

static void start_read(struct updater *u, struct task *t)
{
	char key[DOMAIN_NAME_MAX + 16];

	format_key(t, key, sizeof(key));
	t->state = TASK_READING;
	t->ticket = ++u->next_ticket;
	t->next_timer_us = now_us(u) + CALL_TIMEOUT_US;
	u->options.ops->get(u->options.ctx, t->ticket, key);
}

static void schedule_read(struct updater *u, struct task *t, int64_t max)
{
	t->state = TASK_WAITING;
	t->ticket = 0;
	t->next_timer_us =
		now_us(u) +
		g_rand_int_range(u->rand, (gint32)(max / 4), (gint32)max + 1);
}

static void finish_task(struct updater *u, struct task *t, int code)
{
	struct update update = t->update;

	g_ptr_array_remove_fast(u->tasks, t);
	g_free(t);
	update.finished(update.ctx, code);
}

static void start_write(struct updater *u, struct task *t)
{
	char key[DOMAIN_NAME_MAX + 16];
	void *data;
	size_t len;

	if (seat_table_encode(&u->table, &data, &len)) {
		schedule_read(u, t, STORE_DOWN_DELAY_US);
		return;
	}
	format_key(t, key, sizeof(key));
	t->state = TASK_WRITING;
	t->ticket = ++u->next_ticket;
	t->next_timer_us = now_us(u) + CALL_TIMEOUT_US;
	u->options.ops->cas(u->options.ctx, t->ticket, key, t->revision, data,
			    len);
	free(data);
}

/*
 * A write with unknown outcome can still take effect while the store has the
 * revision that the write expected. Until the store has a higher one, the
 * change must not finish as aborted.
 */
static bool may_write_take_effect(const struct task *t)
{
	return t->has_unknown_write && t->revision <= t->unknown_revision;
}

static void run_edit(struct updater *u, struct task *t)
{
	switch (t->update.edit(t->update.ctx, &u->table)) {
	case UPDATE_WRITE:
		start_write(u, t);
		return;
	case UPDATE_DONE:
		finish_task(u, t, 0);
		return;
	case UPDATE_ABORT:
		if (may_write_take_effect(t))
			schedule_read(u, t, STORE_DOWN_DELAY_US);
		else
			finish_task(u, t, -ERR_STORE_CONFLICT);
		return;
	}
}

static void retry_conflict(struct updater *u, struct task *t)
{
	uint32_t shift = MIN(t->conflicts, MAX_CONFLICT_SHIFT);

	t->conflicts++;
	schedule_read(u, t, CONFLICT_DELAY_US << shift);
}

static void handle_read(struct updater *u, struct task *t, int code,
			uint64_t revision, const void *data, size_t len)
{
	if (code && code != -ERR_STORE_NOT_FOUND) {
		schedule_read(u, t, STORE_DOWN_DELAY_US);
		return;
	}
	t->revision = code ? 0 : revision;
	/* Keep a malformed value: overwriting it could lose leases. */
	if (seat_table_decode(&u->table, data, code ? 0 : len)) {
		schedule_read(u, t, STORE_DOWN_DELAY_US);
		return;
	}
	run_edit(u, t);
}

static void handle_unknown_write(struct updater *u, struct task *t)
{
	t->unknown_revision = MAX(t->unknown_revision, t->revision);
	t->has_unknown_write = true;
	retry_conflict(u, t);
}

static void handle_written(struct updater *u, struct task *t, int code)
{
	switch (code) {
	case 0:
		finish_task(u, t, 0);
		return;
	case -ERR_STORE_CONFLICT:
		retry_conflict(u, t);
		return;
	case -ERR_STORE_DOWN:
		schedule_read(u, t, STORE_DOWN_DELAY_US);
		return;
	default:
		handle_unknown_write(u, t);
	}
}

static struct task *find_task(struct updater *u, uint64_t ticket)
{
	struct task *t;

	for (uint32_t i = 0; i < u->tasks->len; i++) {
		t = u->tasks->pdata[i];
		if (t->ticket == ticket)
			return t;
	}
	return NULL;
}

void updater_receive_result(struct updater *u, uint64_t ticket, int code,
			    uint64_t revision, const void *data, size_t len)
{
	struct task *t = ticket ? find_task(u, ticket) : NULL;

	if (!t)
		return;
	if (t->state == TASK_READING)
		handle_read(u, t, code, revision, data, len);
	else
		handle_written(u, t, code);
}

void updater_start(struct updater *u, const struct update *update)
{
	struct task *t = g_new0(struct task, 1);

	t->update = *update;
	g_ptr_array_add(u->tasks, t);
	start_read(u, t);
}

static void run_task_timer(struct updater *u, struct task *t)
{
	switch (t->state) {
	case TASK_WAITING:
		start_read(u, t);
		return;
	case TASK_READING:
		schedule_read(u, t, STORE_DOWN_DELAY_US);
		return;
	case TASK_WRITING:
		handle_unknown_write(u, t);
		return;
	}
}

void updater_advance(struct updater *u)
{
	int64_t now = now_us(u);
	struct task *t;

	for (uint32_t i = u->tasks->len; i > 0; i--) {
		t = u->tasks->pdata[i - 1];
		if (now >= t->next_timer_us)
			run_task_timer(u, t);
	}
}

int64_t updater_next_timer(const struct updater *u)
{
	int64_t at = INT64_MAX;
	const struct task *t;

	for (uint32_t i = 0; i < u->tasks->len; i++) {
		t = u->tasks->pdata[i];
		at = MIN(at, t->next_timer_us);
	}
	return at;
}

int updater_create(struct updater **out, const struct updater_options *options)
{
	struct updater *u = calloc(1, sizeof(*u));

	if (!u)
		return -ERR_NOMEM;
	u->options = *options;
	u->rand = g_rand_new_with_seed((guint32)options->seed);
	u->tasks = g_ptr_array_new();
	*out = u;
	return 0;
}

void updater_destroy(struct updater *u)
{
	if (!u)
		return;
	for (uint32_t i = 0; i < u->tasks->len; i++)
		g_free(u->tasks->pdata[i]);
	g_ptr_array_free(u->tasks, TRUE);
	seat_table_clear(&u->table);
	g_rand_free(u->rand);
	free(u);
}
