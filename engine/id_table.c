#include <string.h>

#include "engine/query.h"

/* Keeps ids, whose high half is the generation, positive as JSON integers. */
#define GENERATION_MAX 0x7fffffffu

void id_table_init(struct id_table *t, size_t item_size)
{
	memset(t, 0, sizeof(*t));
	t->item_size = item_size;
}

void id_table_clear(struct id_table *t)
{
	for (uint32_t i = 0; i < t->capacity; i++)
		g_free(t->items[i]);
	g_free(t->items);
	g_free(t->free_slots);
}

/* Allocates each item by itself, so that pointers to items stay valid. */
static void grow_table(struct id_table *t)
{
	uint32_t capacity = t->capacity ? 2 * t->capacity : 64;

	t->items = g_renew(void *, t->items, capacity);
	t->free_slots = g_renew(uint32_t, t->free_slots, capacity);
	for (uint32_t i = capacity; i-- > t->capacity;) {
		t->items[i] = g_malloc0(t->item_size);
		t->free_slots[t->free_count++] = i;
	}
	t->capacity = capacity;
}

void *id_table_take(struct id_table *t)
{
	uint32_t slot;
	uint64_t *item;

	if (!t->free_count)
		grow_table(t);
	slot = t->free_slots[--t->free_count];
	item = t->items[slot];
	t->generation = t->generation % GENERATION_MAX + 1;
	*item = (uint64_t)t->generation << 32 | slot;
	t->count++;
	return item;
}

void *id_table_find(const struct id_table *t, uint64_t id)
{
	uint32_t slot = (uint32_t)id;
	uint64_t *item;

	if (slot >= t->capacity)
		return NULL;
	item = t->items[slot];
	return id && *item == id ? item : NULL;
}

void id_table_release(struct id_table *t, void *item)
{
	uint64_t *id = item;

	t->free_slots[t->free_count++] = (uint32_t)*id;
	t->count--;
	*id = 0;
}
