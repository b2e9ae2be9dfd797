#include "suites.h"

#include <string.h>

#include "store/mirror.h"

#define SEEDS 200
#define KEYS 20
#define PIECE_BYTES 2000

/* Store of which each key has a last change, as a mirror has it. */
static void put(struct store_changes *c, int key, uint64_t revision,
		GRand *rand)
{
	gsize len = (gsize)g_rand_int_range(rand, 0, PIECE_BYTES);
	struct store_item item = {
		.key = g_strdup_printf("k%d", key),
		.time.revision = revision,
	};

	if (g_rand_int_range(rand, 0, 4)) {
		item.value = g_malloc0(len + 1);
		item.value_len = len;
	}
	store_changes_add(c, &item);
	g_free(item.key);
	g_free(item.value);
}

/* Draws changes; one revision may change several keys, and a key many times. */
static struct store_changes *draw_changes(GRand *rand, uint64_t from)
{
	struct store_changes *c = store_changes_create();
	uint64_t revision = from;

	for (int i = g_rand_int_range(rand, 0, 60); i > 0; i--) {
		revision += (uint64_t)g_rand_int_range(rand, 0, 3);
		put(c, g_rand_int_range(rand, 0, KEYS), MAX(revision, from + 1),
		    rand);
	}
	c->from.revision = from;
	c->to.revision = MAX(revision, from + 1);
	return c;
}

/* Returns whether a mirror has the last change of each key up to its revision. */
static bool is_current(const struct store_mirror *m,
		       const struct store_mirror *whole)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, whole->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct store_item *want = value;
		const struct store_item *have =
			g_hash_table_lookup(m->items, want->key);

		if (!store_time_is_before(m->now, want->time) &&
		    (!have || store_time_compare(have->time, want->time) ||
		     have->value_len != want->value_len))
			return false;
	}
	return true;
}

static size_t count_bytes(const struct store_changes *c)
{
	size_t bytes = 0;

	for (guint i = 0; i < c->items->len; i++)
		bytes +=
			g_array_index(c->items, struct store_item, i).value_len;
	return bytes;
}

/*
 * Guards against a follower that counts as up to date although it lacks a
 * change: any number of the first pieces may reach it.
 */
static void test_pieces(void)
{
	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		GRand *rand = g_rand_new_with_seed(seed);
		struct store_mirror whole;
		struct store_mirror follower;

		store_mirror_init(&whole);
		store_mirror_init(&follower);
		for (int round = 0; round < 8; round++) {
			struct store_changes *c =
				draw_changes(rand, whole.now.revision);
			GPtrArray *pieces;
			guint sent;

			CU_ASSERT_TRUE(store_mirror_apply(&whole, c));
			store_changes_free(c);
			c = store_mirror_since(&whole, follower.now);
			pieces = store_changes_split(c, PIECE_BYTES);
			sent = (guint)g_rand_int_range(rand, 0,
						       (gint)pieces->len + 1);
			for (guint i = 0; i < sent; i++) {
				struct store_changes *piece = pieces->pdata[i];

				CU_ASSERT(piece->items->len <= 1 ||
					  count_bytes(piece) <= PIECE_BYTES);
				CU_ASSERT_TRUE(
					store_mirror_apply(&follower, piece));
				CU_ASSERT_TRUE(is_current(&follower, &whole));
			}
			CU_ASSERT(sent < pieces->len ||
				  follower.now.revision == whole.now.revision);
			g_ptr_array_free(pieces, TRUE);
			store_changes_free(c);
		}
		store_mirror_clear(&whole);
		store_mirror_clear(&follower);
		g_rand_free(rand);
	}
}

/*
 * Guards against versions that are decoded and sent on although a later one of
 * the same changes supersedes them.
 */
static void test_superseded(void)
{
	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		GRand *rand = g_rand_new_with_seed(seed);
		struct store_changes *c = draw_changes(rand, 7);
		GHashTable *keys = g_hash_table_new(g_str_hash, g_str_equal);
		struct store_mirror m;

		store_mirror_init(&m);
		m.now.revision = 7;
		CU_ASSERT_TRUE(store_mirror_apply(&m, c));
		for (guint i = 0; i < c->items->len; i++) {
			const struct store_item *item =
				&g_array_index(c->items, struct store_item, i);
			const struct store_item *kept =
				g_hash_table_lookup(m.items, item->key);

			CU_ASSERT_TRUE(g_hash_table_add(keys, item->key));
			CU_ASSERT_EQUAL(kept->time.revision,
					item->time.revision);
		}
		g_hash_table_destroy(keys);
		store_changes_free(c);
		store_mirror_clear(&m);
		g_rand_free(rand);
	}
}

/*
 * Guards against a list that is sent on as changes since the beginning: it
 * holds only what the host that listed the store did not have.
 */
static void test_list_sent_on(void)
{
	struct store_changes *c = store_changes_create();
	GRand *rand = g_rand_new_with_seed(1);
	struct store_mirror m;

	store_mirror_init(&m);
	put(c, 1, 5, rand);
	c->to.revision = 5;
	c->is_complete = true;
	CU_ASSERT_TRUE(store_mirror_apply(&m, c));
	c->to.revision = 9;
	c->is_complete = true;
	put(c, 1, 5, rand);
	put(c, 2, 8, rand);
	CU_ASSERT_TRUE(store_mirror_apply(&m, c));
	CU_ASSERT_EQUAL(c->items->len, 1);
	CU_ASSERT_EQUAL(c->from.revision, 5);
	store_changes_free(c);
	store_mirror_clear(&m);
	g_rand_free(rand);
}

/*
 * Guards against a key with an empty value that counts as deleted, such as one
 * that evacuates a failure domain.
 */
static void test_empty_value(void)
{
	struct store_item item = {
		.key = "a",
		.value = (guchar *)"",
		.time.revision = 3,
	};
	struct store_changes *c = store_changes_create();
	struct store_mirror m;

	store_mirror_init(&m);
	c->to.revision = 3;
	store_changes_add(c, &item);
	CU_ASSERT_TRUE(store_mirror_apply(&m, c));
	store_changes_free(c);
	c = store_mirror_since(&m, (struct store_time){ 0 });
	CU_ASSERT_EQUAL_FATAL(c->items->len, 1);
	CU_ASSERT_PTR_NOT_NULL(
		g_array_index(c->items, struct store_item, 0).value);
	store_changes_free(c);
	store_mirror_clear(&m);
}

CU_TestInfo store_change_tests[] = {
	{ "empty value", test_empty_value },
	{ "pieces", test_pieces },
	{ "superseded", test_superseded },
	{ "list sent on", test_list_sent_on },
	CU_TEST_INFO_NULL,
};
