#include "nutmegpickd/store_faults.h"

#include <pthread.h>
#include <stdbool.h>

#include "common/counter.h"
#include "common/events.h"

/* Shortest time between two lines of one kind. */
#define LINE_INTERVAL_US (10 * US_PER_S)

static struct counter entry_counter = {
	.name = "nutmegpick_store_entries_unreadable_total",
	.help = "Entries of the platform's store that are left out.",
};
static struct counter reply_counter = {
	.name = "nutmegpick_store_replies_unreadable_total",
	.help = "Replies of the platform's store that cannot be read.",
};
static pthread_once_t counters_once = PTHREAD_ONCE_INIT;

static void register_counters(void)
{
	counter_register(&entry_counter);
	counter_register(&reply_counter);
}

void store_faults_init(struct store_faults *f, struct np_clock clock)
{
	*f = (struct store_faults){ .clock = clock };
	pthread_once(&counters_once, register_counters);
}

/* Returns whether a line is due, and then puts off the next one. */
static bool is_line_due(const struct store_faults *f, int64_t *next_us)
{
	int64_t now = clock_now(&f->clock);

	if (now < *next_us)
		return false;
	*next_us = now + LINE_INTERVAL_US;
	return true;
}

void store_faults_note_entries(struct store_faults *f, const char *call,
			       uint32_t count, const char *key)
{
	counter_add(&entry_counter, count);
	f->entries += count;
	if (!count || !is_line_due(f, &f->next_entry_line_us))
		return;
	event_log(EV_STORE_ENTRY_UNREAD, "call=%s entries=%llu key=\"%s\"",
		  call, (unsigned long long)f->entries, key ? key : "");
	f->entries = 0;
}

void store_faults_note_reply(struct store_faults *f, const char *call,
			     uint64_t revision, size_t bytes)
{
	counter_add(&reply_counter, 1);
	f->replies++;
	if (!is_line_due(f, &f->next_reply_line_us))
		return;
	event_log(EV_STORE_REPLY_UNREAD,
		  "call=%s replies=%llu revision=%llu bytes=%zu", call,
		  (unsigned long long)f->replies, (unsigned long long)revision,
		  bytes);
	f->replies = 0;
}
