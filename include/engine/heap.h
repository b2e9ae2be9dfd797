#ifndef ENGINE_HEAP_H
#define ENGINE_HEAP_H

#include <stddef.h>
#include <stdint.h>

/** Returns a pointer to the struct that embeds a node. */
#define HEAP_OWNER(node, type, member) \
	((type *)(void *)((char *)(node)-offsetof(type, member)))

/** Element of a heap, embedded in the struct that owns it. */
struct heap_node {
	int64_t key;
	/** One-based index in the heap; 0 if the node is in no heap. */
	uint32_t position;
};

/** Array entry. It holds a copy of the key, so comparisons read no node. */
struct heap_entry {
	int64_t key;
	/** Insertion number; equal keys are ordered by it. */
	uint64_t order;
	struct heap_node *node;
};

#define HEAP_LIST_MAX 16

/** Binary heap with the smallest key at the top. */
struct heap {
	struct heap_entry *entries;
	uint32_t count;
	uint32_t capacity;
	uint64_t next_order;
};

/** Adds a node, or changes its key if it is in the heap already. */
void heap_push(struct heap *h, struct heap_node *n, int64_t key);

/** Removes a node; does nothing if it is in no heap. */
void heap_remove(struct heap *h, struct heap_node *n);

/** Returns the node with the smallest key, or NULL. */
struct heap_node *heap_top(const struct heap *h);

/**
 * Fills in the nodes with the smallest keys, in their order, at most max of
 * them and at most HEAP_LIST_MAX. Returns their number.
 */
uint32_t heap_list(const struct heap *h, struct heap_node **out, uint32_t max);

/** Frees the heap's array; the nodes belong to their owners. */
void heap_clear(struct heap *h);

#endif
