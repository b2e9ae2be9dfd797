#ifndef OBJECTS_TREE_H
#define OBJECTS_TREE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum tree_type {
	TREE_TABLE,
	TREE_ARRAY,
	TREE_STRING,
	TREE_INTEGER,
	TREE_REAL,
	TREE_BOOL,
	TREE_OTHER,
};

/** Value read from TOML or JSON, with its source line (0 if not known). */
struct tree_node {
	enum tree_type type;
	/** NULL for the root and for the elements of an array. */
	char *key;
	char *text;
	int64_t integer;
	double real;
	bool flag;
	int line;
	struct tree_node *first_child;
	struct tree_node *last_child;
	struct tree_node *next;
};

/** Returns a new node, or NULL if out of memory. */
struct tree_node *tree_create(enum tree_type type, const char *key, int line);

/** Appends a child and takes ownership of it. */
void tree_append(struct tree_node *parent, struct tree_node *child);

/** Returns the child with the key, or NULL. */
const struct tree_node *tree_find(const struct tree_node *table,
				  const char *key);

/** Frees the node and its children. */
void tree_destroy(struct tree_node *node);

/**
 * Parses TOML. Returns 0, or -ERR_OBJ_SYNTAX with the line and a message in a
 * buffer of size bytes.
 */
int tree_parse_toml(const char *text, size_t len, struct tree_node **out,
		    int *line, char *message, size_t size);

/** Parses JSON; same results as tree_parse_toml(). */
int tree_parse_json(const char *text, size_t len, struct tree_node **out,
		    int *line, char *message, size_t size);

#ifdef __cplusplus
}
#endif

#endif
