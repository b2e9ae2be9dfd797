#include "engine/key_table.h"

#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "common/errors.h"

static void clear_outcome(struct engine_outcome *o)
{
	for (uint32_t i = 0; i < o->gap_count; i++)
		g_free((char *)o->gaps[i].shard);
	g_free((struct engine_gap *)o->gaps);
}

static void copy_outcome(struct engine_outcome *to,
			 const struct engine_outcome *from)
{
	struct engine_gap *gaps =
		g_memdup2(from->gaps, from->gap_count * sizeof(*gaps));

	for (uint32_t i = 0; i < from->gap_count; i++)
		gaps[i].shard = g_strdup(from->gaps[i].shard);
	*to = *from;
	to->gaps = gaps;
}

static void handle_free_entry(gpointer data)
{
	struct key_entry *entry = data;

	clear_outcome(&entry->outcome);
	g_free(entry->name);
	g_free(entry);
}

void key_table_init(struct key_table *t, uint32_t max_keys)
{
	memset(t, 0, sizeof(*t));
	t->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   handle_free_entry);
	t->max_keys = max_keys;
}

void key_table_clear(struct key_table *t)
{
	heap_clear(&t->expiry);
	g_hash_table_unref(t->entries);
}

static char *entry_name(const char *service, const char *key)
{
	return g_strconcat(service, "\n", key, NULL);
}

struct key_entry *key_table_find(struct key_table *t, const char *service,
				 const char *key)
{
	char *name = entry_name(service, key);
	struct key_entry *entry = g_hash_table_lookup(t->entries, name);

	g_free(name);
	return entry;
}

int key_table_add(struct key_table *t, const char *service, const char *key,
		  int64_t created_us, struct key_entry **out)
{
	struct key_entry *entry;

	if (g_hash_table_size(t->entries) >= t->max_keys)
		return -ERR_KEY_TABLE_FULL;
	entry = g_new0(struct key_entry, 1);
	entry->name = entry_name(service, key);
	entry->created_us = created_us;
	g_hash_table_insert(t->entries, entry->name, entry);
	*out = entry;
	return 0;
}

int key_table_check_created(const struct key_table *t, int64_t created_us,
			    int64_t tenure_start_us)
{
	if (created_us < tenure_start_us + KEY_SKEW_US)
		return -ERR_KEY_UNKNOWN;
	if (created_us < t->wall_us - KEY_WINDOW_US)
		return -ERR_KEY_UNKNOWN;
	/*
	 * A key that ran here with such a time could pass the tenure check of
	 * the next owner, which would run it again.
	 */
	if (created_us > t->wall_us + KEY_SKEW_US)
		return -ERR_KEY_UNKNOWN;
	return 0;
}

void key_table_keep(struct key_table *t, struct key_entry *entry,
		    const struct engine_outcome *outcome)
{
	copy_outcome(&entry->outcome, outcome);
	entry->state = outcome->run == RUN_DONE ? KEY_DONE : KEY_UNKNOWN;
	heap_push(&t->expiry, &entry->expiry,
		  entry->created_us + KEY_WINDOW_US + KEY_SKEW_US);
}

void key_table_remove(struct key_table *t, struct key_entry *entry)
{
	heap_remove(&t->expiry, &entry->expiry);
	g_hash_table_remove(t->entries, entry->name);
}

void key_table_set_time(struct key_table *t, int64_t wall_us)
{
	t->wall_us = MAX(t->wall_us, wall_us);
}

uint64_t key_table_expire(struct key_table *t)
{
	struct heap_node *top = heap_top(&t->expiry);
	struct key_entry *entry;
	uint64_t id;

	if (!top || top->key >= t->wall_us)
		return 0;
	entry = HEAP_OWNER(top, struct key_entry, expiry);
	id = entry->query_id;
	key_table_remove(t, entry);
	return id;
}
