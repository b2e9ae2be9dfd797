#include "fleet/update.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/errors.h"

#define CALL_TIMEOUT_US (3 * US_PER_S)
#define CONFLICT_DELAY_US (20 * US_PER_MS)
#define MAX_CONFLICT_SHIFT 6
#define DOWN_DELAY_US (2 * US_PER_S)

enum task_state {
	TASK_WAITING,
	TASK_READING,
	TASK_WRITING,
};

struct task {
	struct update update;
	enum task_state state;
	/** End of the wait, or timeout of the call. */
	int64_t until_us;
	uint64_t ticket;
	uint64_t revision;
	/** Highest revision that a write with unknown outcome expects. */
	uint64_t open_revision;
	bool is_open;
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

static void make_key(const struct task *t, char *key, size_t size)
{
	snprintf(key, size, "np/seats/%s", t->update.domain);
}

static void start_read(struct updater *u, struct task *t)
{
	char key[DOMAIN_NAME_MAX + 16];

	make_key(t, key, sizeof(key));
	t->state = TASK_READING;
	t->ticket = ++u->next_ticket;
	t->until_us = now_us(u) + CALL_TIMEOUT_US;
	u->options.ops->get(u->options.ctx, t->ticket, key);
}

static void wait_for(struct updater *u, struct task *t, int64_t max)
{
	t->state = TASK_WAITING;
	t->ticket = 0;
	t->until_us = now_us(u) + g_rand_int_range(u->rand, (gint32)(max / 4),
						   (gint32)max + 1);
}

static void finish(struct updater *u, struct task *t, int code)
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
		wait_for(u, t, DOWN_DELAY_US);
		return;
	}
	make_key(t, key, sizeof(key));
	t->state = TASK_WRITING;
	t->ticket = ++u->next_ticket;
	t->until_us = now_us(u) + CALL_TIMEOUT_US;
	u->options.ops->cas(u->options.ctx, t->ticket, key, t->revision, data,
			    len);
	free(data);
}

/*
 * A write with unknown outcome can still take effect while the store is at the
 * revision that it expects. The change is not given up before the revision has
 * moved on.
 */
static bool is_write_open(const struct task *t)
{
	return t->is_open && t->revision <= t->open_revision;
}

static void decide(struct updater *u, struct task *t)
{
	switch (t->update.edit(t->update.ctx, &u->table)) {
	case UPDATE_WRITE:
		start_write(u, t);
		return;
	case UPDATE_DONE:
		finish(u, t, 0);
		return;
	case UPDATE_ABORT:
		if (is_write_open(t))
			wait_for(u, t, DOWN_DELAY_US);
		else
			finish(u, t, -ERR_STORE_CONFLICT);
		return;
	}
}

static void retry_conflict(struct updater *u, struct task *t)
{
	uint32_t shift = MIN(t->conflicts, MAX_CONFLICT_SHIFT);

	t->conflicts++;
	wait_for(u, t, CONFLICT_DELAY_US << shift);
}

static void handle_read(struct updater *u, struct task *t, int code,
			uint64_t revision, const void *data, size_t len)
{
	if (code && code != -ERR_STORE_NOT_FOUND) {
		wait_for(u, t, DOWN_DELAY_US);
		return;
	}
	t->revision = code ? 0 : revision;
	/* A damaged value is left alone: overwriting it could lose leases. */
	if (seat_table_decode(&u->table, data, code ? 0 : len)) {
		wait_for(u, t, DOWN_DELAY_US);
		return;
	}
	decide(u, t);
}

static void leave_open(struct updater *u, struct task *t)
{
	t->open_revision = MAX(t->open_revision, t->revision);
	t->is_open = true;
	retry_conflict(u, t);
}

static void handle_written(struct updater *u, struct task *t, int code)
{
	switch (code) {
	case 0:
		finish(u, t, 0);
		return;
	case -ERR_STORE_CONFLICT:
		retry_conflict(u, t);
		return;
	case -ERR_STORE_DOWN:
		wait_for(u, t, DOWN_DELAY_US);
		return;
	default:
		leave_open(u, t);
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

void updater_result(struct updater *u, uint64_t ticket, int code,
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

static void run_task(struct updater *u, struct task *t)
{
	switch (t->state) {
	case TASK_WAITING:
		start_read(u, t);
		return;
	case TASK_READING:
		wait_for(u, t, DOWN_DELAY_US);
		return;
	case TASK_WRITING:
		leave_open(u, t);
		return;
	}
}

void updater_advance(struct updater *u)
{
	int64_t now = now_us(u);
	struct task *t;

	for (uint32_t i = u->tasks->len; i > 0; i--) {
		t = u->tasks->pdata[i - 1];
		if (now >= t->until_us)
			run_task(u, t);
	}
}

int64_t updater_next_timer(const struct updater *u)
{
	int64_t at = INT64_MAX;
	const struct task *t;

	for (uint32_t i = 0; i < u->tasks->len; i++) {
		t = u->tasks->pdata[i];
		at = MIN(at, t->until_us);
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
