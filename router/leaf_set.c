#include "router/leaf_set.h"

#include <string.h>

#include "common/clock.h"
#include "common/events.h"
#include "common/hash.h"

/*
 * The store may carry a leaf's write out seconds late, after newer ones. An
 * older entry that comes later than this is no late write: another writer has
 * overwritten the leaf's entry in between.
 */
#define LATE_WRITE_MAX_US (10 * US_PER_S)

/*
 * An entry that states less time until a leaf is warm than a reply of the leaf
 * did is ignored for this time: it may have been written before the reply.
 */
#define COLD_NEWS_US LATE_WRITE_MAX_US
/* Changes of the time at which a leaf is warm are logged if they are larger. */
#define COLD_LOG_CHANGE_US (1 * US_PER_S)

/*
 * Regions beyond this number have no bit, so requests that are limited to them
 * reach no leaf. A set of all bits stands for no limit.
 */
#define REGIONS_MAX 63

/* Minimum of the initial concurrency limit of a leaf. */
#define CONCURRENCY_START_MIN 2

void leaf_entry_clear(struct leaf_entry *e)
{
	g_free(e->id);
	g_free(e->service);
	g_free(e->domain);
	memset(e, 0, sizeof(*e));
}

static void handle_free_pool(gpointer data)
{
	struct upstream_pool *p = data;

	g_ptr_array_free(p->leaves, TRUE);
	triage_queue_clear(&p->waiting);
	g_free(p->name);
	g_free(p);
}

static void add_region(struct leaf_set *s, const char *domain,
		       const char *region)
{
	guint count = g_hash_table_size(s->region_bits);
	char *name = g_strdup(region);

	g_hash_table_insert(s->regions, g_strdup(domain), name);
	if (count < REGIONS_MAX && !g_hash_table_contains(s->region_bits, name))
		g_hash_table_insert(s->region_bits, g_strdup(name),
				    GUINT_TO_POINTER(count + 1));
}

void leaf_set_init(struct leaf_set *s, const char *host, const char *domain,
		   char *const *domains)
{
	memset(s, 0, sizeof(*s));
	s->host = g_strdup(host ? host : "");
	s->domain = g_strdup(domain ? domain : "");
	s->regions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->region_bits =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->evacuated =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (size_t i = 0; domains && domains[i]; i++) {
		char **pair = g_strsplit(domains[i], "=", 2);

		if (pair[0] && pair[1])
			add_region(s, pair[0], pair[1]);
		g_strfreev(pair);
	}
	s->pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					 handle_free_pool);
	s->leaves = g_hash_table_new(g_str_hash, g_str_equal);
	s->leaving_grace_us = LEAVING_GRACE_US;
}

struct route_leaf *route_leaf_ref(struct route_leaf *leaf)
{
	leaf->refs++;
	return leaf;
}

void route_leaf_unref(struct leaf_set *s, struct route_leaf *leaf)
{
	if (--leaf->refs > 0)
		return;
	if (s->handle_leaf_free)
		s->handle_leaf_free(s->ctx, leaf);
	leaf_entry_clear(&leaf->entry);
	g_queue_clear(&leaf->calls);
	g_free(leaf);
}

void leaf_set_clear(struct leaf_set *s)
{
	GHashTableIter iter;
	gpointer leaf;

	g_hash_table_iter_init(&iter, s->leaves);
	while (g_hash_table_iter_next(&iter, NULL, &leaf)) {
		g_hash_table_iter_steal(&iter);
		route_leaf_unref(s, leaf);
	}
	g_hash_table_destroy(s->leaves);
	g_hash_table_destroy(s->pools);
	g_hash_table_destroy(s->regions);
	g_hash_table_destroy(s->region_bits);
	g_hash_table_destroy(s->evacuated);
	g_free(s->host);
	g_free(s->domain);
}

struct upstream_pool *leaf_set_get_pool(struct leaf_set *s, const char *service)
{
	struct upstream_pool *p = g_hash_table_lookup(s->pools, service);

	if (p)
		return p;
	p = g_new0(struct upstream_pool, 1);
	p->name = g_strdup(service);
	p->leaves = g_ptr_array_new();
	g_hash_table_insert(s->pools, p->name, p);
	return p;
}

static void drop_leaf(struct leaf_set *s, struct route_leaf *leaf)
{
	g_ptr_array_remove(leaf->pool->leaves, leaf);
	g_hash_table_remove(s->leaves, leaf->entry.id);
	route_leaf_unref(s, leaf);
}

static bool is_older(const struct leaf_entry *e, const struct leaf_entry *known)
{
	if (e->started_ms != known->started_ms)
		return e->started_ms < known->started_ms;
	return e->sequence < known->sequence;
}

static bool is_late_write(const struct leaf_set *s, const struct leaf_entry *e,
			  const struct route_leaf *leaf, int64_t now_us)
{
	return is_older(e, &leaf->entry) &&
	       (s->is_reading_copy ||
		now_us - leaf->written_us < LATE_WRITE_MAX_US);
}

/*
 * Returns whether two entries are of the same leaf. After a restart or a change
 * of its address, service or failure domain, a leaf is replaced by a new one.
 */
static bool is_same_leaf(const struct leaf_entry *a, const struct leaf_entry *b)
{
	return a->started_ms == b->started_ms &&
	       !strcmp(a->service, b->service) &&
	       !strcmp(a->domain, b->domain) &&
	       a->address.sin_port == b->address.sin_port &&
	       a->address.sin_addr.s_addr == b->address.sin_addr.s_addr;
}

enum leaf_distance leaf_set_distance(const struct leaf_set *s,
				     const char *domain)
{
	const char *here = g_hash_table_lookup(s->regions, s->domain);
	const char *there = g_hash_table_lookup(s->regions, domain);

	if (!strcmp(domain, s->domain))
		return LEAF_SAME_DOMAIN;
	return here && there && !strcmp(here, there) ? LEAF_SAME_REGION
						     : LEAF_OTHER_REGION;
}

uint64_t leaf_set_region(const struct leaf_set *s, const char *domain)
{
	const char *region = g_hash_table_lookup(s->regions, domain);
	guint bit;

	if (!region)
		return 0;
	bit = GPOINTER_TO_UINT(g_hash_table_lookup(s->region_bits, region));
	return bit ? 1ULL << (bit - 1) : 0;
}

uint64_t leaf_set_regions(const struct leaf_set *s, char *const *regions)
{
	uint64_t bits = 0;

	if (!regions)
		return UINT64_MAX;
	for (; *regions; regions++) {
		guint bit = GPOINTER_TO_UINT(
			g_hash_table_lookup(s->region_bits, *regions));

		if (bit)
			bits |= 1ULL << (bit - 1);
	}
	return bits;
}

bool leaf_set_set_evacuated(struct leaf_set *s, const char *domain,
			    bool is_evacuated)
{
	GHashTableIter iter;
	gpointer value;

	if (is_evacuated == g_hash_table_contains(s->evacuated, domain))
		return false;
	if (is_evacuated)
		g_hash_table_add(s->evacuated, g_strdup(domain));
	else
		g_hash_table_remove(s->evacuated, domain);
	g_hash_table_iter_init(&iter, s->leaves);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct route_leaf *leaf = value;

		if (!strcmp(leaf->entry.domain, domain))
			leaf->is_evacuated = is_evacuated;
	}
	return true;
}

static double preference_for(const struct leaf_set *s, const char *id)
{
	uint64_t hash = hash_pair(hash_string(s->host, 0), hash_string(id, 0));

	return (double)(hash >> 11) / (double)(1ULL << 53);
}

double leaf_set_initial_concurrency(const struct route_leaf *leaf)
{
	return MAX(leaf->entry.slots, CONCURRENCY_START_MIN);
}

static void add_leaf(struct leaf_set *s, struct leaf_entry *e)
{
	struct route_leaf *leaf = g_new0(struct route_leaf, 1);

	leaf->refs = 1;
	leaf->entry = *e;
	memset(e, 0, sizeof(*e));
	g_queue_init(&leaf->calls);
	leaf->concurrency_limit = leaf_set_initial_concurrency(leaf);
	leaf->pool = leaf_set_get_pool(s, leaf->entry.service);
	leaf->distance = leaf_set_distance(s, leaf->entry.domain);
	leaf->region = leaf_set_region(s, leaf->entry.domain);
	leaf->is_evacuated =
		g_hash_table_contains(s->evacuated, leaf->entry.domain);
	leaf->preference = preference_for(s, leaf->entry.id);
	g_ptr_array_add(leaf->pool->leaves, leaf);
	g_hash_table_insert(s->leaves, leaf->entry.id, leaf);
}

static void log_cold(const struct route_leaf *leaf, int64_t previous_us,
		     int64_t now_us, const char *source)
{
	int64_t change = leaf->cold_until_us - previous_us;
	int64_t left = leaf->cold_until_us - now_us;

	if (leaf->pool->warm_up_per_s <= 0 ||
	    ABS(change) <= COLD_LOG_CHANGE_US ||
	    (left <= 0 && previous_us <= now_us))
		return;
	event_log(EV_LEAF_COLD,
		  "leaf=%s service=%s left_ms=%lld previous_ms=%lld "
		  "per_s=%.3f source=%s",
		  leaf->entry.id, leaf->entry.service,
		  (long long)(MAX(left, 0) / US_PER_MS),
		  (long long)(MAX(previous_us - now_us, 0) / US_PER_MS),
		  leaf->pool->warm_up_per_s, source);
}

static void set_cold_until(struct leaf_set *s, struct route_leaf *leaf,
			   int64_t until_us, int64_t now_us, const char *source)
{
	int64_t previous = leaf->cold_until_us;

	leaf->cold_until_us = until_us;
	s->cold_until_us = MAX(s->cold_until_us, until_us);
	log_cold(leaf, previous, now_us, source);
}

static void note_entry_warm_up(struct leaf_set *s, struct route_leaf *leaf,
			       int64_t left_us, int64_t now_us)
{
	bool is_told = leaf->cold_told_us &&
		       now_us - leaf->cold_told_us < COLD_NEWS_US;

	if (is_told && now_us + left_us < leaf->cold_until_us)
		return;
	set_cold_until(s, leaf, now_us + left_us, now_us, "entry");
}

void leaf_set_note_warm_up(struct leaf_set *s, struct route_leaf *leaf,
			   int64_t left_us, int64_t now_us)
{
	leaf->cold_told_us = now_us;
	set_cold_until(s, leaf, now_us + left_us, now_us, "reply");
}

static void update_leaf(struct leaf_set *s, struct route_leaf *leaf,
			const struct leaf_entry *e, int64_t now_us)
{
	enum leaf_phase phase = e->is_draining ? LEAF_LEAVING : LEAF_IN_SERVICE;

	leaf->written_us = now_us;
	leaf->entry.slots = e->slots;
	leaf->entry.sequence = e->sequence;
	leaf->entry.is_draining = e->is_draining;
	note_entry_warm_up(s, leaf, e->warm_up_us, now_us);
	if (leaf->phase != phase)
		event_log(EV_LEAF_STATE, "leaf=%s service=%s state=%s seq=%lld",
			  leaf->entry.id, leaf->entry.service,
			  phase == LEAF_LEAVING ? "leaving" : "in_service",
			  (long long)e->sequence);
	if (phase == LEAF_LEAVING && leaf->phase == LEAF_IN_SERVICE)
		leaf->usable_until_us = now_us + s->leaving_grace_us;
	leaf->phase = phase;
}

bool leaf_set_put(struct leaf_set *s, struct leaf_entry *e, int64_t now_us)
{
	struct route_leaf *leaf = g_hash_table_lookup(s->leaves, e->id);
	char *id;

	if (leaf && is_late_write(s, e, leaf, now_us)) {
		event_log(EV_LEAF_STALE, "leaf=%s seq=%lld known=%lld", e->id,
			  (long long)e->sequence,
			  (long long)leaf->entry.sequence);
		leaf_entry_clear(e);
		return false;
	}
	if (leaf && is_same_leaf(e, &leaf->entry)) {
		update_leaf(s, leaf, e, now_us);
		leaf_entry_clear(e);
		return true;
	}
	if (leaf)
		drop_leaf(s, leaf);
	id = g_strdup(e->id);
	event_log(EV_LEAF_ADDED, "leaf=%s service=%s domain=%s", id, e->service,
		  e->domain);
	add_leaf(s, e);
	leaf = g_hash_table_lookup(s->leaves, id);
	leaf->written_us = now_us;
	leaf->phase = leaf->entry.is_draining ? LEAF_LEAVING : LEAF_IN_SERVICE;
	note_entry_warm_up(s, leaf, leaf->entry.warm_up_us, now_us);
	g_free(id);
	return true;
}

static void mark_removed(struct route_leaf *leaf, int64_t grace_us,
			 int64_t now_us)
{
	if (leaf->phase == LEAF_REMOVED)
		return;
	event_log(EV_LEAF_STATE,
		  "leaf=%s service=%s state=removed grace_ms=%lld",
		  leaf->entry.id, leaf->entry.service,
		  (long long)(grace_us / 1000));
	if (leaf->phase == LEAF_IN_SERVICE)
		leaf->usable_until_us = now_us + grace_us;
	leaf->phase = LEAF_REMOVED;
}

void leaf_set_remove(struct leaf_set *s, const char *id, int64_t grace_us,
		     int64_t now_us)
{
	struct route_leaf *leaf = g_hash_table_lookup(s->leaves, id);

	if (leaf)
		mark_removed(leaf, grace_us, now_us);
}

void route_leaf_lose_address(struct route_leaf *leaf, int64_t now_us)
{
	mark_removed(leaf, 0, now_us);
	leaf->usable_until_us = now_us;
}

void leaf_set_retain(struct leaf_set *s, GHashTable *ids, int64_t grace_us,
		     int64_t now_us)
{
	GHashTableIter iter;
	gpointer leaf;

	g_hash_table_iter_init(&iter, s->leaves);
	while (g_hash_table_iter_next(&iter, NULL, &leaf)) {
		const struct route_leaf *l = leaf;

		if (!g_hash_table_contains(ids, l->entry.id))
			mark_removed(leaf, grace_us, now_us);
	}
}

bool route_leaf_is_cold(const struct route_leaf *leaf, int64_t now_us)
{
	return now_us < leaf->cold_until_us && leaf->pool->warm_up_per_s > 0;
}

void leaf_set_sweep(struct leaf_set *s, int64_t now_us)
{
	GPtrArray *ended = g_ptr_array_new();
	GHashTableIter iter;
	gpointer data;

	s->evacuated_count = 0;
	s->cold_count = 0;
	g_hash_table_iter_init(&iter, s->leaves);
	while (g_hash_table_iter_next(&iter, NULL, &data)) {
		const struct route_leaf *leaf = data;

		s->evacuated_count += leaf->is_evacuated;
		s->cold_count += route_leaf_is_cold(leaf, now_us);
		if (leaf->phase == LEAF_REMOVED &&
		    now_us >= leaf->usable_until_us &&
		    g_queue_is_empty((GQueue *)&leaf->calls))
			g_ptr_array_add(ended, data);
	}
	for (guint i = 0; i < ended->len; i++)
		drop_leaf(s, ended->pdata[i]);
	g_ptr_array_free(ended, TRUE);
}

bool route_leaf_is_usable(const struct route_leaf *leaf, int64_t now_us)
{
	return leaf->phase == LEAF_IN_SERVICE || now_us < leaf->usable_until_us;
}
