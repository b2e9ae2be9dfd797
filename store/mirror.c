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

	if (value)
		memcpy(value, i->value, i->value_len);
	return (struct store_item){
		.key = g_strdup(i->key),
		.value = value,
		.value_len = i->value_len,
		.time = i->time,
	};
}

struct store_changes *store_changes_create(void)
{
	struct store_changes *c = g_new0(struct store_changes, 1);

	c->items = g_array_new(FALSE, TRUE, sizeof(struct store_item));
	g_array_set_clear_func(c->items, handle_clear_item);
	return c;
}

struct store_changes *store_changes_between(struct store_time from,
					    struct store_time to)
{
	struct store_changes *c = store_changes_create();

	c->from = from;
	c->to = to;
	return c;
}

void store_changes_set_era(struct store_changes *c, uint64_t era)
{
	c->from.era = era;
	c->to.era = era;
	for (guint i = 0; i < c->items->len; i++)
		g_array_index(c->items, struct store_item, i).time.era = era;
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

/* Returns whether an item is of an earlier era than the mirror. */
static bool is_held(const struct store_mirror *m, const struct store_item *i)
{
	return i->time.era < m->now.era;
}

/*
 * Returns whether an item is newer than what the mirror has. The mirror has all
 * keys of its time, so a key that it lacks in this era was deleted by then.
 */
static bool is_newer(const struct store_mirror *m, const struct store_item *i)
{
	const struct store_item *known = g_hash_table_lookup(m->items, i->key);

	if (!known || is_held(m, known))
		return store_time_is_before(m->now, i->time);
	if (!known->value)
		return store_time_is_before(
			store_time_latest(known->time, m->now), i->time);
	return store_time_is_before(known->time, i->time);
}

static void save_item(struct store_mirror *m, const struct store_item *i)
{
	const struct store_item *known = g_hash_table_lookup(m->items, i->key);
	struct store_item *copy = g_new(struct store_item, 1);

	if (known && is_held(m, known))
		m->held_count--;
	*copy = copy_item(i);
	g_hash_table_replace(m->items, copy->key, copy);
}

/*
 * Adds a tombstone for every known key that complete changes do not list, also
 * to the mirror. Items that are held over have their own end.
 */
static void add_tombstones(struct store_mirror *m, struct store_changes *c)
{
	GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
	guint count = c->items->len;
	GHashTableIter iter;
	gpointer value;

	for (guint i = 0; i < count; i++)
		g_hash_table_add(
			listed,
			g_array_index(c->items, struct store_item, i).key);
	g_hash_table_iter_init(&iter, m->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct store_item *known = value;
		struct store_item gone = { .time = c->to };

		if (!known->value || is_held(m, known) ||
		    store_time_is_before(c->to, known->time) ||
		    !store_time_is_before(c->from, known->time) ||
		    g_hash_table_contains(listed, known->key))
			continue;
		gone.key = g_strdup(known->key);
		g_array_append_val(c->items, gone);
	}
	for (guint i = count; i < c->items->len; i++)
		save_item(m, &g_array_index(c->items, struct store_item, i));
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
	m->dropped = m->now;
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
		    !store_time_is_before(
			    item->time,
			    g_array_index(c->items, struct store_item, at - 1)
				    .time))
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

/* Returns whether changes before these are missing in the mirror. */
static bool is_gap(const struct store_mirror *m, const struct store_changes *c)
{
	if (!c->is_complete)
		return store_time_is_before(m->now, c->from);
	return c->from.revision && store_time_compare(m->listed, c->from) != 0;
}

static gboolean is_tombstone(gpointer key, gpointer value, gpointer ctx)
{
	return !((const struct store_item *)value)->value;
}

/* Holds over the items of the earlier era until complete changes replace them. */
static void begin_era(struct store_mirror *m, uint64_t era)
{
	g_hash_table_foreach_remove(m->items, is_tombstone, NULL);
	m->held_count = g_hash_table_size(m->items);
	m->now = (struct store_time){ .era = era };
	m->dropped = m->now;
}

/*
 * Applies the part of complete changes that does not follow from their items:
 * what is deleted, and for followers which span they cover.
 */
static void apply_complete(struct store_mirror *m, struct store_changes *c)
{
	bool had_state = m->now.revision > 0;
	bool is_new_era = c->to.era > m->now.era;

	if (is_new_era)
		begin_era(m, c->to.era);
	/* Of what was deleted in the era before, there are no tombstones. */
	if (is_new_era ? had_state
		       : c->from.revision &&
				 c->from.revision == m->dropped.revision)
		m->dropped = c->to;
	m->listed = c->to;
	add_tombstones(m, c);
	if (is_new_era)
		return;
	/* What the mirror has already is removed from the items. */
	c->from = m->now;
	c->is_complete = false;
}

bool store_mirror_apply(struct store_mirror *m, struct store_changes *c)
{
	guint count;

	if (c->to.era < m->now.era) {
		g_array_set_size(c->items, 0);
		return true;
	}
	if (is_gap(m, c)) {
		/* Pieces of two lists must not be taken for one. */
		if (c->is_complete)
			m->listed = (struct store_time){ 0 };
		return false;
	}
	drop_superseded(c);
	count = c->items->len;
	if (c->is_complete)
		apply_complete(m, c);
	for (guint i = 0; i < count;) {
		const struct store_item *item =
			&g_array_index(c->items, struct store_item, i);

		if (!is_newer(m, item)) {
			g_array_remove_index(c->items, i);
			count--;
			continue;
		}
		save_item(m, item);
		i++;
	}
	m->now = store_time_latest(m->now, c->to);
	drop_tombstones(m);
	return true;
}

struct store_changes *store_mirror_since(const struct store_mirror *m,
					 struct store_time time)
{
	bool is_complete = time.era != m->now.era ||
			   store_time_is_before(time, m->dropped);
	struct store_time from = { .era = m->now.era };
	struct store_changes *c;
	GHashTableIter iter;
	gpointer value;

	if (!is_complete)
		from = time;
	c = store_changes_between(from, m->now);
	c->is_complete = is_complete;
	g_hash_table_iter_init(&iter, m->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct store_item *item = value;

		if (store_time_is_before(from, item->time) &&
		    (item->value || !is_complete))
			store_changes_add(c, item);
	}
	return c;
}

GPtrArray *store_mirror_drop_held(struct store_mirror *m,
				  bool (*is_due)(void *ctx, const char *key),
				  void *ctx)
{
	GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer value;

	if (!m->held_count)
		return keys;
	g_hash_table_iter_init(&iter, m->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct store_item *item = value;

		if (!is_held(m, item) || !is_due(ctx, item->key))
			continue;
		g_ptr_array_add(keys, g_strdup(item->key));
		g_hash_table_iter_remove(&iter);
		m->held_count--;
	}
	return keys;
}

static gint compare_times(gconstpointer a, gconstpointer b)
{
	const struct store_item *x = *(const struct store_item *const *)a;
	const struct store_item *y = *(const struct store_item *const *)b;

	return store_time_compare(x->time, y->time);
}

static size_t item_bytes(const struct store_item *i)
{
	return strlen(i->key) + i->value_len + sizeof(*i);
}

static struct store_changes *begin_piece(GPtrArray *pieces,
					 const struct store_changes *whole,
					 struct store_time from)
{
	struct store_changes *c = store_changes_between(from, whole->to);

	c->is_complete = whole->is_complete;
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
	struct store_changes *piece = begin_piece(pieces, c, c->from);
	size_t bytes = 0;

	for (guint i = 0; i < c->items->len; i++)
		g_ptr_array_add(items,
				&g_array_index(c->items, struct store_item, i));
	g_ptr_array_sort(items, compare_times);
	for (guint i = 0; i < items->len; i++) {
		const struct store_item *item = items->pdata[i];

		bytes += item_bytes(item);
		if (bytes > max_bytes && piece->items->len) {
			/* One revision may have changed several keys. */
			piece->to.revision =
				CLAMP(MAX(item->time.revision, 1) - 1,
				      piece->from.revision, c->to.revision);
			piece = begin_piece(pieces, c, piece->to);
			bytes = item_bytes(item);
		}
		store_changes_add(piece, item);
	}
	g_ptr_array_free(items, TRUE);
	return pieces;
}
