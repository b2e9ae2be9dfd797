#include <cstdio>
#include <cstring>
#include <string>
#include <string_view>

#include <toml++/toml.h>

#include "common/errors.h"
#include "objects/tree.h"

static struct tree_node *convert_node(const toml::node &v, const char *key);

static void convert_array(struct tree_node *node, const toml::array &array)
{
	for (const auto &item : array)
		tree_append(node, convert_node(item, nullptr));
}

static void convert_table(struct tree_node *node, const toml::table &table)
{
	for (const auto &[key, item] : table) {
		std::string name(key.str());
		struct tree_node *child = convert_node(item, name.c_str());

		/* Faults report the line of the key, not that of its value. */
		if (key.source().begin)
			child->line = (int)key.source().begin.line;
		tree_append(node, child);
	}
}

static struct tree_node *convert_node(const toml::node &v, const char *key)
{
	int line = v.source().begin ? (int)v.source().begin.line : 0;
	struct tree_node *n = tree_create(TREE_OTHER, key, line);

	if (const toml::table *table = v.as_table()) {
		n->type = TREE_TABLE;
		convert_table(n, *table);
	} else if (const toml::array *array = v.as_array()) {
		n->type = TREE_ARRAY;
		convert_array(n, *array);
	} else if (const auto *text = v.as_string()) {
		n->type = TREE_STRING;
		n->text = strdup(text->get().c_str());
	} else if (const auto *integer = v.as_integer()) {
		n->type = TREE_INTEGER;
		n->integer = integer->get();
	} else if (const auto *real = v.as_floating_point()) {
		n->type = TREE_REAL;
		n->real = real->get();
	} else if (const auto *flag = v.as_boolean()) {
		n->type = TREE_BOOL;
		n->flag = flag->get();
	}
	return n;
}

extern "C" int tree_parse_toml(const char *text, size_t len,
			       struct tree_node **out, int *line, char *message,
			       size_t size)
{
	try {
		toml::table table = toml::parse(std::string_view(text, len));

		*out = convert_node(table, nullptr);
		return 0;
	} catch (const toml::parse_error &e) {
		*line = (int)e.source().begin.line;
		snprintf(message, size, "%s",
			 std::string(e.description()).c_str());
		return -ERR_OBJ_SYNTAX;
	} catch (const std::exception &e) {
		*line = 0;
		snprintf(message, size, "%s", e.what());
		return -ERR_OBJ_SYNTAX;
	}
}
