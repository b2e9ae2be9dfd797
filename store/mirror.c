#include "store/mirror.h"

#include <string.h>

/* Most tombstones that are kept for hosts with an older revision. */
#define MAX_TOMBSTONES 4096

static void clear_item(struct store_item *i)
{
	g_free(i->key);
	g_free(i->value);
}

static void handle_clear_item(gpointer data)
{
	clear_item(data);
}

static void handle_free_item(gpointer data)
{
	clear_item(data);
	g_free(data);
}

static struct store_item copy_item(const struct store_item *i)
{
	/* An empty value is a value: only tombstones have none. */
	guchar *value = i->value ? g_malloc0(i->value_len + 1) : NULL;

	if (i->value_len)
		memcpy(value, i->value, i->value_len);
	return (struct store_item){
		.key = g_strdup(i->key),
		.value = value,
		.value_len = i->value_len,
		.revision = i->revision,
	};
}

struct store_changes *store_changes_create(void)
{
	struct store_changes *c = g_new0(struct store_changes, 1);

	c->items = g_array_new(FALSE, TRUE, sizeof(struct store_item));
	g_array_set_clear_func(c->items, handle_clear_item);
	return c;
}

void store_changes_free(struct store_changes *c)
{
	if (!c)
		return;
	g_array_free(c->items, TRUE);
	g_free(c);
}

void store_changes_add(struct store_changes *c, const struct store_item *i)
{
	struct store_item copy = copy_item(i);

	g_array_append_val(c->items, copy);
}

void store_mirror_init(struct store_mirror *m)
{
	memset(m, 0, sizeof(*m));
	m->items = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					 handle_free_item);
}

void store_mirror_clear(struct store_mirror *m)
{
	g_hash_table_destroy(m->items);
}

static bool is_newer(const struct store_mirror *m, const struct store_item *i)
{
	const struct store_item *known = g_hash_table_lookup(m->items, i->key);

	return !known || i->revision > known->revision;
}

static void save_item(struct store_mirror *m, const struct store_item *i)
{
	struct store_item *copy = g_new(struct store_item, 1);

	*copy = copy_item(i);
	g_hash_table_replace(m->items, copy->key, copy);
}

/* Adds a tombstone for every known key that complete changes do not list. */
static void add_tombstones(const struct store_mirror *m,
			   struct store_changes *c)
{
	GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer value;

	for (guint i = 0; i < c->items->len; i++)
		g_hash_table_add(
			listed,
			g_array_index(c->items, struct store_item, i).key);
	g_hash_table_iter_init(&iter, m->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct store_item *known = value;
		struct store_item gone = { .revision = c->to };

		if (!known->value || known->revision > c->to ||
		    g_hash_table_contains(listed, known->key))
			continue;
		gone.key = g_strdup(known->key);
		g_array_append_val(c->items, gone);
	}
	g_hash_table_destroy(listed);
}

static void drop_tombstones(struct store_mirror *m)
{
	uint32_t deleted = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, m->items);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		deleted += !((const struct store_item *)value)->value;
	if (deleted <= MAX_TOMBSTONES)
		return;
	m->dropped_revision = m->revision;
	g_hash_table_iter_init(&iter, m->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!((const struct store_item *)value)->value)
			g_hash_table_iter_remove(&iter);
	}
}

/* Drops the changes of a key that later ones of the same changes supersede. */
static void drop_superseded(struct store_changes *c)
{
	/* Index of the newest change by key, plus one. */
	GHashTable *newest = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < c->items->len; i++) {
		const struct store_item *item =
			&g_array_index(c->items, struct store_item, i);
		guint at = GPOINTER_TO_UINT(
			g_hash_table_lookup(newest, item->key));

		if (!at ||
		    item->revision >=
			    g_array_index(c->items, struct store_item, at - 1)
				    .revision)
			g_hash_table_replace(newest, item->key,
					     GUINT_TO_POINTER(i + 1));
	}
	for (guint i = c->items->len; i-- > 0;) {
		const char *key =
			g_array_index(c->items, struct store_item, i).key;

		if (GPOINTER_TO_UINT(g_hash_table_lookup(newest, key)) != i + 1)
			g_array_remove_index(c->items, i);
	}
	g_hash_table_destroy(newest);
}

bool store_mirror_apply(struct store_mirror *m, struct store_changes *c)
{
	if (!c->is_complete && c->from > m->revision)
		return false;
	drop_superseded(c);
	if (c->is_complete && c->to < m->revision) {
		g_array_set_size(c->items, 0);
	} else if (c->is_complete) {
		add_tombstones(m, c);
		/* What the mirror has already is removed below. */
		c->from = m->revision;
	}
	for (guint i = 0; i < c->items->len;) {
		const struct store_item *item =
			&g_array_index(c->items, struct store_item, i);

		if (!is_newer(m, item)) {
			g_array_remove_index(c->items, i);
			continue;
		}
		save_item(m, item);
		i++;
	}
	m->revision = MAX(m->revision, c->to);
	drop_tombstones(m);
	return true;
}

struct store_changes *store_mirror_since(const struct store_mirror *m,
					 uint64_t revision)
{
	struct store_changes *c;
	GHashTableIter iter;
	gpointer value;

	if (revision < m->dropped_revision)
		return NULL;
	c = store_changes_create();
	c->from = revision;
	c->to = m->revision;
	g_hash_table_iter_init(&iter, m->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct store_item *item = value;

		if (item->revision > revision)
			store_changes_add(c, item);
	}
	return c;
}

static gint compare_revisions(gconstpointer a, gconstpointer b)
{
	const struct store_item *x = *(const struct store_item *const *)a;
	const struct store_item *y = *(const struct store_item *const *)b;

	return x->revision < y->revision ? -1 : x->revision > y->revision;
}

static size_t item_bytes(const struct store_item *i)
{
	return strlen(i->key) + i->value_len + sizeof(*i);
}

static struct store_changes *begin_piece(GPtrArray *pieces, uint64_t from,
					 uint64_t to)
{
	struct store_changes *c = store_changes_create();

	c->from = from;
	c->to = to;
	g_ptr_array_add(pieces, c);
	return c;
}

static void handle_free_changes(gpointer changes)
{
	store_changes_free(changes);
}

GPtrArray *store_changes_split(const struct store_changes *c, size_t max_bytes)
{
	GPtrArray *pieces = g_ptr_array_new_with_free_func(handle_free_changes);
	GPtrArray *items = g_ptr_array_new();
	struct store_changes *piece = begin_piece(pieces, c->from, c->to);
	size_t bytes = 0;

	for (guint i = 0; i < c->items->len; i++)
		g_ptr_array_add(items,
				&g_array_index(c->items, struct store_item, i));
	g_ptr_array_sort(items, compare_revisions);
	for (guint i = 0; i < items->len; i++) {
		const struct store_item *item = items->pdata[i];

		bytes += item_bytes(item);
		if (bytes > max_bytes && piece->items->len) {
			/* One revision may have changed several keys. */
			piece->to = MIN(MAX(item->revision, 1) - 1, c->to);
			piece->to = MAX(piece->to, piece->from);
			piece = begin_piece(pieces, piece->to, c->to);
			bytes = item_bytes(item);
		}
		store_changes_add(piece, item);
	}
	g_ptr_array_free(items, TRUE);
	return pieces;
}
