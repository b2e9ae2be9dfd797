#include "engine/heap.h"

#include <glib.h>
#include <stdbool.h>

static bool is_before(const struct heap_node *a, const struct heap_node *b)
{
	if (a->key != b->key)
		return a->key < b->key;
	return a->order < b->order;
}

static void place(struct heap *h, struct heap_node *n, uint32_t position)
{
	h->nodes[position - 1] = n;
	n->position = position;
}

static void sift_up(struct heap *h, struct heap_node *n)
{
	uint32_t at = n->position;

	while (at > 1 && is_before(n, h->nodes[at / 2 - 1])) {
		place(h, h->nodes[at / 2 - 1], at);
		at /= 2;
	}
	place(h, n, at);
}

static void sift_down(struct heap *h, struct heap_node *n)
{
	uint32_t at = n->position;

	for (;;) {
		uint32_t child = 2 * at;

		if (child > h->count)
			break;
		if (child < h->count &&
		    is_before(h->nodes[child], h->nodes[child - 1]))
			child++;
		if (!is_before(h->nodes[child - 1], n))
			break;
		place(h, h->nodes[child - 1], at);
		at = child;
	}
	place(h, n, at);
}

void heap_push(struct heap *h, struct heap_node *n, int64_t key)
{
	heap_remove(h, n);
	if (h->count == h->capacity) {
		h->capacity = h->capacity ? 2 * h->capacity : 16;
		h->nodes = g_renew(struct heap_node *, h->nodes, h->capacity);
	}
	n->key = key;
	n->order = h->next_order++;
	place(h, n, ++h->count);
	sift_up(h, n);
}

void heap_remove(struct heap *h, struct heap_node *n)
{
	uint32_t at = n->position;
	struct heap_node *last;

	if (!at)
		return;
	n->position = 0;
	last = h->nodes[--h->count];
	if (last == n)
		return;
	place(h, last, at);
	sift_up(h, last);
	sift_down(h, last);
}

struct heap_node *heap_top(const struct heap *h)
{
	return h->count ? h->nodes[0] : NULL;
}

void heap_clear(struct heap *h)
{
	g_free(h->nodes);
	h->nodes = NULL;
	h->count = 0;
	h->capacity = 0;
}
