#ifndef ENGINE_HEAP_H
#define ENGINE_HEAP_H

#include <stddef.h>
#include <stdint.h>

/** Returns the struct that embeds a node. */
#define HEAP_OWNER(node, type, member) \
	((type *)(void *)((char *)(node)-offsetof(type, member)))

/** Member of a heap, embedded in its owner. */
struct heap_node {
	int64_t key;
	/** One-based place in the heap; 0 outside of it. */
	uint32_t position;
};

/** Place of a heap; holds the key, so that comparisons touch no node. */
struct heap_entry {
	int64_t key;
	/** Insertion number; equal keys leave in insertion order. */
	uint64_t order;
	struct heap_node *node;
};

/** Binary heap with the smallest key at the top. */
struct heap {
	struct heap_entry *entries;
	uint32_t count;
	uint32_t capacity;
	uint64_t next_order;
};

/** Adds a node, or moves it if it is in the heap already. */
void heap_push(struct heap *h, struct heap_node *n, int64_t key);

/** Removes a node; does nothing if it is in no heap. */
void heap_remove(struct heap *h, struct heap_node *n);

/** Returns the node with the smallest key, or NULL. */
struct heap_node *heap_top(const struct heap *h);

/** Frees the heap's own memory. */
void heap_clear(struct heap *h);

#endif
