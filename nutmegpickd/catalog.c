#include "nutmegpickd/catalog.h"

#include <string.h>

#include "common/errors.h"
#include "common/events.h"
#include "platform/names.h"
#include "platform/routes.h"
#include "platform/store.h"

/*
 * Time for which a leaf is still called after its entry is removed. The leaf
 * serves for at least 3 s more.
 */
#define REMOVED_GRACE_US (1200 * US_PER_MS)
/*
 * The same time for an entry that is removed soon after the store was regained.
 * Leaves whose leases expired while the store was lost write their entries
 * again within about 2 s after that.
 */
#define RETURN_GRACE_US (2300 * US_PER_MS)

/*
 * Changes that arrive so soon after a feed was lost were made up to 2.5 s ago:
 * a watch that the store does not answer fails after 2.1 s. The leaves that
 * they take away serve for 3 s since then, and are not called any more.
 */
#define FEED_CHANGE_US (1 * US_PER_S)

/*
 * Time for which entries that a restored store lacks are held over, so that
 * their writers can write them again. The record of a silent host lasts for
 * 15 s without a return as well, and the owners of rates rely on that.
 */
#define HELD_LEAF_US RETURN_GRACE_US
#define HELD_OPERATOR_US (4 * US_PER_S)
#define HELD_HOST_US (15 * US_PER_S)
#define HELD_PER_HOST_US (10 * US_PER_MS)
/* Interval of the check for entries that are held over. */
#define HELD_CHECK_US (250 * US_PER_MS)

static void apply_routes(struct catalog *c, const struct store_item *i)
{
	struct route_table *table;
	char message[256];
	int ret;

	if (!i->value)
		return;
	ret = platform_decode_routes((const char *)i->value, i->value_len,
				     &table, message, sizeof(message));
	if (ret)
		event_log(EV_ROUTES_REFUSED, "code=E%d revision=%llu reason=%s",
			  -ret, (unsigned long long)i->time.revision, message);
	else
		router_apply_table(c->router, table);
}

static bool is_old_news(const struct catalog *c, int64_t now)
{
	return c->feed_lost_at_us && now - c->feed_lost_at_us < FEED_CHANGE_US;
}

static int64_t removal_grace(const struct catalog *c, int64_t now)
{
	if (is_old_news(c, now))
		return 0;
	if (c->store_back_at_us && now - c->store_back_at_us < RETURN_GRACE_US)
		return RETURN_GRACE_US;
	return REMOVED_GRACE_US;
}

static void apply_leaf(struct catalog *c, const struct store_item *i)
{
	const char *id = i->key + strlen(PLATFORM_LEAF_PREFIX);
	struct leaf_set *leaves = router_leaves(c->router);
	int64_t now = clock_now(&c->clock);
	struct leaf_entry entry;

	leaves->leaving_grace_us = is_old_news(c, now) ? 0 : LEAVING_GRACE_US;
	if (i->value && !platform_decode_leaf(id, (const char *)i->value,
					      i->value_len, &entry)) {
		leaf_set_put(leaves, &entry, now);
		return;
	}
	if (i->value)
		event_log(EV_LEAF_ENTRY_BAD, "leaf=%s revision=%llu", id,
			  (unsigned long long)i->time.revision);
	leaf_set_remove(leaves, id, removal_grace(c, now), now);
}

static void apply_host(struct catalog *c, const struct store_item *i)
{
	const char *name = i->key + strlen(PLATFORM_HOST_PREFIX);
	struct host_record record;

	if (!i->value)
		host_directory_remove(c->directory, name);
	else if (!platform_decode_host(name, (const char *)i->value,
				       i->value_len, &record))
		host_directory_put(c->directory, &record);
	else
		event_log(EV_HOST_RECORD_BAD, "host=%s revision=%llu", name,
			  (unsigned long long)i->time.revision);
}

/* The value of the key says nothing: the domain is evacuated while it exists. */
static void apply_evacuation(struct catalog *c, const struct store_item *i)
{
	const char *domain = i->key + strlen(PLATFORM_EVACUATION_PREFIX);

	/* No leaf can be in a domain of another name. */
	if (platform_is_name(domain))
		router_set_evacuated(c->router, domain, i->value != NULL);
}

static bool is_catalog_key(const struct store_item *i)
{
	return !strcmp(i->key, PLATFORM_CONFIG_KEY) ||
	       g_str_has_prefix(i->key, PLATFORM_LEAF_PREFIX) ||
	       g_str_has_prefix(i->key, PLATFORM_EVACUATION_PREFIX) ||
	       g_str_has_prefix(i->key, PLATFORM_HOST_PREFIX);
}

static void drop_other_keys(struct store_changes *changes)
{
	for (guint i = changes->items->len; i-- > 0;) {
		if (!is_catalog_key(&g_array_index(changes->items,
						   struct store_item, i)))
			g_array_remove_index(changes->items, i);
	}
}

bool catalog_is_restriction(const char *key)
{
	return g_str_has_prefix(key, PLATFORM_EVACUATION_PREFIX);
}

static void apply_item(struct catalog *c, const struct store_item *i)
{
	if (g_str_has_prefix(i->key, PLATFORM_LEAF_PREFIX))
		apply_leaf(c, i);
	else if (g_str_has_prefix(i->key, PLATFORM_HOST_PREFIX))
		apply_host(c, i);
	else if (g_str_has_prefix(i->key, PLATFORM_EVACUATION_PREFIX))
		apply_evacuation(c, i);
	else
		apply_routes(c, i);
}

static void note_new_era(struct catalog *c, struct store_time previous)
{
	const struct store_mirror *m = &c->mirror;

	event_log(EV_STORE_RESTORED,
		  "era=%llu previous=%llu revision=%llu previous_revision=%llu "
		  "held=%u",
		  (unsigned long long)m->now.era,
		  (unsigned long long)previous.era,
		  (unsigned long long)m->now.revision,
		  (unsigned long long)previous.revision, m->held_count);
	c->store_back_at_us = clock_now(&c->clock);
}

bool catalog_apply(struct catalog *c, struct store_changes *changes)
{
	struct leaf_set *leaves = router_leaves(c->router);
	struct store_time previous = c->mirror.now;
	bool is_next_piece = changes->is_complete && changes->from.revision;
	bool is_new_era;

	drop_other_keys(changes);
	if (!store_mirror_apply(&c->mirror, changes))
		return false;
	is_new_era = previous.revision && c->mirror.now.era != previous.era;
	if (is_new_era)
		note_new_era(c, previous);
	if (is_new_era || is_next_piece)
		c->era_read_at_us = clock_now(&c->clock);
	leaves->is_reading_copy = is_new_era || is_next_piece;
	for (guint i = 0; i < changes->items->len; i++)
		apply_item(c, &g_array_index(changes->items, struct store_item,
					     i));
	leaves->is_reading_copy = false;
	router_set_host_count(c->router,
			      g_hash_table_size(c->directory->hosts));
	if (changes->items->len)
		router_leaves_changed(c->router);
	return true;
}

static int64_t held_time(const struct catalog *c, const char *key)
{
	if (g_str_has_prefix(key, PLATFORM_LEAF_PREFIX))
		return HELD_LEAF_US;
	if (g_str_has_prefix(key, PLATFORM_HOST_PREFIX))
		return HELD_HOST_US + g_hash_table_size(c->directory->hosts) *
					      HELD_PER_HOST_US;
	return HELD_OPERATOR_US;
}

static bool is_held_time_over(void *ctx, const char *key)
{
	const struct catalog *c = ctx;

	return clock_now(&c->clock) - c->era_read_at_us >= held_time(c, key);
}

static void drop_key(struct catalog *c, const char *key)
{
	struct store_item gone = { .key = (char *)key, .time = c->mirror.now };

	if (g_str_has_prefix(key, PLATFORM_LEAF_PREFIX))
		leaf_set_remove(router_leaves(c->router),
				key + strlen(PLATFORM_LEAF_PREFIX), 0,
				clock_now(&c->clock));
	else
		apply_item(c, &gone);
}

void catalog_drop_held(struct catalog *c)
{
	int64_t now = clock_now(&c->clock);
	GPtrArray *keys;

	if (now < catalog_next_timer(c))
		return;
	c->next_held_check_us = now + HELD_CHECK_US;
	keys = store_mirror_drop_held(&c->mirror, is_held_time_over, c);
	for (guint i = 0; i < keys->len; i++)
		drop_key(c, keys->pdata[i]);
	if (keys->len) {
		event_log(EV_STORE_ENTRIES_GONE, "era=%llu gone=%u held=%u",
			  (unsigned long long)c->mirror.now.era, keys->len,
			  c->mirror.held_count);
		router_set_host_count(c->router,
				      g_hash_table_size(c->directory->hosts));
		router_leaves_changed(c->router);
	}
	g_ptr_array_free(keys, TRUE);
}

int64_t catalog_next_timer(const struct catalog *c)
{
	return c->mirror.held_count ? c->next_held_check_us : INT64_MAX;
}
