#include "nutmegpick/difference.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

/** Field of a set, such as "group.g" and "shards[a].weight". */
struct flat_field {
	char *object;
	char *field;
	/** Compact JSON. */
	char *value;
};

static void field_free(void *p)
{
	struct flat_field *f = p;

	g_free(f->object);
	g_free(f->field);
	free(f->value);
	g_free(f);
}

static void add_field(GPtrArray *out, const char *object, const char *field,
		      const json_t *value)
{
	struct flat_field *f = g_new0(struct flat_field, 1);

	f->object = g_strdup(object);
	f->field = g_strdup(field);
	f->value = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY |
					     JSON_REAL_PRECISION(15));
	g_ptr_array_add(out, f);
}

/* Returns the name or address that identifies an array element, or NULL. */
static const char *element_key(const json_t *element)
{
	const json_t *key = json_object_get(element, "name");

	if (!key)
		key = json_object_get(element, "address");
	return json_string_value(key);
}

static bool is_table_array(const json_t *value)
{
	return json_array_size(value) && element_key(json_array_get(value, 0));
}

// NOLINTNEXTLINE(misc-no-recursion)
static void flatten(GPtrArray *out, const char *object, const char *path,
		    json_t *value)
{
	const char *key;
	json_t *item;
	size_t i;

	if (json_is_object(value)) {
		json_object_foreach (value, key, item) {
			char *p = *path ? g_strdup_printf("%s.%s", path, key)
					: g_strdup(key);

			flatten(out, object, p, item);
			g_free(p);
		}
	} else if (is_table_array(value)) {
		json_array_foreach (value, i, item) {
			char *p = g_strdup_printf("%s[%s]", path,
						  element_key(item));

			flatten(out, object, p, item);
			g_free(p);
		}
	} else {
		add_field(out, object, path, value);
	}
}

static int compare_fields(const void *a, const void *b)
{
	const struct flat_field *x = *(const struct flat_field *const *)a;
	const struct flat_field *y = *(const struct flat_field *const *)b;
	int order = strcmp(x->object, y->object);

	return order ? order : strcmp(x->field, y->field);
}

static void flatten_kind(GPtrArray *out, const char *kind, json_t *objects)
{
	const char *name;
	json_t *object;

	json_object_foreach (objects, name, object) {
		char *id = g_strdup_printf("%s.%s", kind, name);

		flatten(out, id, "", object);
		g_free(id);
	}
}

static GPtrArray *flatten_set(const struct object_set *set)
{
	GPtrArray *out = g_ptr_array_new_with_free_func(field_free);
	const char *kind;
	json_t *objects;
	json_t *root;
	char *text;

	if (!set)
		return out;
	text = object_set_encode(set);
	root = json_loads(text, 0, NULL);
	free(text);
	json_object_foreach (root, kind, objects)
		flatten_kind(out, kind, objects);
	json_decref(root);
	g_ptr_array_sort(out, compare_fields);
	return out;
}

static GHashTable *list_objects(const GPtrArray *fields)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < fields->len; i++) {
		struct flat_field *f = fields->pdata[i];

		g_hash_table_add(names, f->object);
	}
	return names;
}

/* Lists the objects of a that are not in b_names, in the order of a. */
static json_t *list_missing(const GPtrArray *a, GHashTable *b_names)
{
	json_t *out = json_array();
	const char *last = NULL;

	for (guint i = 0; i < a->len; i++) {
		const struct flat_field *f = a->pdata[i];

		if (last && !strcmp(last, f->object))
			continue;
		last = f->object;
		if (!g_hash_table_contains(b_names, last))
			json_array_append_new(out, json_string(last));
	}
	return out;
}

/** Both sides of a comparison. */
struct comparison {
	GPtrArray *before;
	GPtrArray *after;
	GHashTable *before_names;
	GHashTable *after_names;
};

static json_t *format_change(const struct flat_field *before,
			     const struct flat_field *after)
{
	const struct flat_field *f = before ? before : after;

	return json_pack("{s:s,s:s,s:s?,s:s?}", "object", f->object, "field",
			 f->field, "before", before ? before->value : NULL,
			 "after", after ? after->value : NULL);
}

static void add_change(const struct comparison *c, json_t *out,
		       const struct flat_field *before,
		       const struct flat_field *after)
{
	const char *object = before ? before->object : after->object;

	if (before && after && !strcmp(before->value, after->value))
		return;
	if (!g_hash_table_contains(c->before_names, object) ||
	    !g_hash_table_contains(c->after_names, object))
		return;
	json_array_append_new(out, format_change(before, after));
}

/* Lists the changed fields in one pass over both sorted lists of fields. */
static json_t *list_changes(const struct comparison *c)
{
	json_t *out = json_array();
	guint i = 0;
	guint j = 0;

	while (i < c->before->len || j < c->after->len) {
		int order = 0;

		if (i == c->before->len)
			order = 1;
		else if (j == c->after->len)
			order = -1;
		else
			order = compare_fields(&c->before->pdata[i],
					       &c->after->pdata[j]);
		add_change(c, out, order <= 0 ? c->before->pdata[i] : NULL,
			   order >= 0 ? c->after->pdata[j] : NULL);
		i += order <= 0;
		j += order >= 0;
	}
	return out;
}

json_t *difference_build(const struct object_set *before,
			 const struct object_set *after)
{
	struct comparison c = { flatten_set(before), flatten_set(after) };
	json_t *out;

	c.before_names = list_objects(c.before);
	c.after_names = list_objects(c.after);
	out = json_pack("{s:o,s:o,s:o}", "added",
			list_missing(c.after, c.before_names), "removed",
			list_missing(c.before, c.after_names), "changed",
			list_changes(&c));
	g_hash_table_destroy(c.before_names);
	g_hash_table_destroy(c.after_names);
	g_ptr_array_free(c.before, TRUE);
	g_ptr_array_free(c.after, TRUE);
	return out;
}

bool difference_is_empty(const json_t *difference)
{
	return !json_array_size(json_object_get(difference, "added")) &&
	       !json_array_size(json_object_get(difference, "removed")) &&
	       !json_array_size(json_object_get(difference, "changed"));
}

static const char *get_field_text(const json_t *object, const char *field)
{
	const char *text = json_string_value(json_object_get(object, field));

	return text ? text : "(none)";
}

void difference_print(const json_t *difference)
{
	json_t *item;
	size_t i;

	json_array_foreach (json_object_get(difference, "added"), i, item)
		printf("+ %s\n", json_string_value(item));
	json_array_foreach (json_object_get(difference, "removed"), i, item)
		printf("- %s\n", json_string_value(item));
	json_array_foreach (json_object_get(difference, "changed"), i, item)
		printf("~ %s.%s: %s -> %s\n", get_field_text(item, "object"),
		       get_field_text(item, "field"),
		       get_field_text(item, "before"),
		       get_field_text(item, "after"));
}

void set_print(const struct object_set *set)
{
	GPtrArray *fields = flatten_set(set);

	for (guint i = 0; i < fields->len; i++) {
		const struct flat_field *f = fields->pdata[i];

		printf("%s.%s = %s\n", f->object, f->field, f->value);
	}
	g_ptr_array_free(fields, TRUE);
}
