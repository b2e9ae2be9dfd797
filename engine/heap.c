#include "engine/heap.h"

#include <glib.h>
#include <stdbool.h>

static bool is_before(const struct heap_entry *a, const struct heap_entry *b)
{
	if (a->key != b->key)
		return a->key < b->key;
	return a->order < b->order;
}

static void place_entry(struct heap *h, struct heap_entry entry,
			uint32_t position)
{
	h->entries[position - 1] = entry;
	entry.node->position = position;
}

static void sift_up(struct heap *h, struct heap_entry entry, uint32_t at)
{
	while (at > 1 && is_before(&entry, &h->entries[at / 2 - 1])) {
		place_entry(h, h->entries[at / 2 - 1], at);
		at /= 2;
	}
	place_entry(h, entry, at);
}

static void sift_down(struct heap *h, struct heap_entry entry, uint32_t at)
{
	for (;;) {
		uint32_t child = 2 * at;

		if (child > h->count)
			break;
		if (child < h->count &&
		    is_before(&h->entries[child], &h->entries[child - 1]))
			child++;
		if (!is_before(&h->entries[child - 1], &entry))
			break;
		place_entry(h, h->entries[child - 1], at);
		at = child;
	}
	place_entry(h, entry, at);
}

void heap_push(struct heap *h, struct heap_node *n, int64_t key)
{
	struct heap_entry entry = { .key = key, .node = n };

	heap_remove(h, n);
	if (h->count == h->capacity) {
		h->capacity = h->capacity ? 2 * h->capacity : 16;
		h->entries =
			g_renew(struct heap_entry, h->entries, h->capacity);
	}
	n->key = key;
	entry.order = h->next_order++;
	sift_up(h, entry, ++h->count);
}

void heap_remove(struct heap *h, struct heap_node *n)
{
	uint32_t at = n->position;
	struct heap_entry last;

	if (!at)
		return;
	n->position = 0;
	last = h->entries[--h->count];
	if (last.node == n)
		return;
	if (at > 1 && is_before(&last, &h->entries[at / 2 - 1]))
		sift_up(h, last, at);
	else
		sift_down(h, last, at);
}

struct heap_node *heap_top(const struct heap *h)
{
	return h->count ? h->entries[0].node : NULL;
}

uint32_t heap_list(const struct heap *h, struct heap_node **out, uint32_t max)
{
	/* Positions of the entries whose parents are listed. */
	uint32_t next[HEAP_LIST_MAX + 1] = { 1 };
	uint32_t next_count = h->count ? 1 : 0;
	uint32_t count = 0;

	max = MIN(max, HEAP_LIST_MAX);
	while (next_count && count < max) {
		uint32_t best = 0;
		uint32_t child;

		for (uint32_t i = 1; i < next_count; i++) {
			if (is_before(&h->entries[next[i] - 1],
				      &h->entries[next[best] - 1]))
				best = i;
		}
		child = 2 * next[best];
		out[count++] = h->entries[next[best] - 1].node;
		next[best] = next[--next_count];
		if (child <= h->count)
			next[next_count++] = child;
		if (child < h->count)
			next[next_count++] = child + 1;
	}
	return count;
}

void heap_clear(struct heap *h)
{
	g_free(h->entries);
	h->entries = NULL;
	h->count = 0;
	h->capacity = 0;
}
