#include "objects/tree.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/errors.h"

struct tree_node *tree_create(enum tree_type type, const char *key, int line)
{
	struct tree_node *n = calloc(1, sizeof(*n));

	if (!n)
		return NULL;
	n->type = type;
	n->line = line;
	if (key)
		n->key = strdup(key);
	return n;
}

void tree_append(struct tree_node *parent, struct tree_node *child)
{
	if (parent->last_child)
		parent->last_child->next = child;
	else
		parent->first_child = child;
	parent->last_child = child;
}

const struct tree_node *tree_find(const struct tree_node *table,
				  const char *key)
{
	for (const struct tree_node *n = table->first_child; n; n = n->next) {
		if (n->key && !strcmp(n->key, key))
			return n;
	}
	return NULL;
}

void tree_destroy(struct tree_node *node)
{
	struct tree_node *next;

	if (!node)
		return;
	for (struct tree_node *n = node->first_child; n; n = next) {
		next = n->next;
		tree_destroy(n);
	}
	free(node->key);
	free(node->text);
	free(node);
}

static struct tree_node *convert_json(const json_t *v, const char *key);

static void convert_members(struct tree_node *node, const json_t *v)
{
	const char *key;
	json_t *item;
	size_t i;

	if (json_is_array(v)) {
		json_array_foreach (v, i, item)
			tree_append(node, convert_json(item, NULL));
		return;
	}
	json_object_foreach ((json_t *)v, key, item)
		tree_append(node, convert_json(item, key));
}

static struct tree_node *convert_json(const json_t *v, const char *key)
{
	struct tree_node *n = tree_create(TREE_OTHER, key, 0);

	switch (json_typeof(v)) {
	case JSON_OBJECT:
		n->type = TREE_TABLE;
		convert_members(n, v);
		break;
	case JSON_ARRAY:
		n->type = TREE_ARRAY;
		convert_members(n, v);
		break;
	case JSON_STRING:
		n->type = TREE_STRING;
		n->text = strdup(json_string_value(v));
		break;
	case JSON_INTEGER:
		n->type = TREE_INTEGER;
		n->integer = json_integer_value(v);
		break;
	case JSON_REAL:
		n->type = TREE_REAL;
		n->real = json_real_value(v);
		break;
	case JSON_TRUE:
	case JSON_FALSE:
		n->type = TREE_BOOL;
		n->flag = json_is_true(v);
		break;
	default:
		break;
	}
	return n;
}

int tree_parse_json(const char *text, size_t len, struct tree_node **out,
		    int *line, char *message, size_t size)
{
	json_error_t error;
	json_t *v = json_loadb(text, len, JSON_REJECT_DUPLICATES, &error);

	if (!v) {
		*line = error.line;
		snprintf(message, size, "%s", error.text);
		return -ERR_OBJ_SYNTAX;
	}
	*out = convert_json(v, NULL);
	json_decref(v);
	return 0;
}
