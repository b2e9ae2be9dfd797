#include "engine/view.h"

#include <string.h>

#include "common/hash.h"

static void handle_clear_leaf(gpointer state)
{
	g_free(*(char **)state);
}

static void handle_clear_shard(gpointer state)
{
	struct shard_state *s = state;

	heap_clear(&s->waiting);
	g_free(s->name);
}

static void handle_clear_group(gpointer state)
{
	struct group_state *g = state;

	latency_clear(&g->latency);
	g_free(g->name);
}

static void handle_clear_service(gpointer state)
{
	struct service_state *s = state;

	latency_clear(&s->latency);
	g_free(s->name);
}

static void handle_clear_pool(gpointer state)
{
	struct admission_pool *p = state;

	admission_pool_clear(p);
	g_free(p->name);
}

static void handle_release_leaf(gpointer state)
{
	g_rc_box_release_full(state, handle_clear_leaf);
}

static void handle_release_shard(gpointer state)
{
	g_rc_box_release_full(state, handle_clear_shard);
}

static void handle_release_group(gpointer state)
{
	g_rc_box_release_full(state, handle_clear_group);
}

static void handle_release_service(gpointer state)
{
	g_rc_box_release_full(state, handle_clear_service);
}

static void handle_release_pool(gpointer state)
{
	g_rc_box_release_full(state, handle_clear_pool);
}

static GHashTable *new_table(GDestroyNotify release)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, NULL, release);
}

/*
 * Returns the state with the name, shared with the previous table or new, and
 * adds it to the table, which owns the reference. Takes ownership of the name.
 * Every state struct begins with its name.
 */
static gpointer take_state(GHashTable *table, GHashTable *previous, char *name,
			   size_t size)
{
	gpointer state = previous ? g_hash_table_lookup(previous, name) : NULL;

	if (state) {
		g_rc_box_acquire(state);
		g_free(name);
	} else {
		state = g_rc_box_alloc0(size);
		*(char **)state = name;
	}
	g_hash_table_replace(table, *(char **)state, state);
	return state;
}

static void take_groups(struct set_view *v, GHashTable *previous)
{
	v->groups = g_new0(struct group_state *, v->set->group_count);
	for (uint32_t i = 0; i < v->set->group_count; i++)
		v->groups[i] = take_state(v->group_names, previous,
					  g_strdup(v->set->groups[i].name),
					  sizeof(struct group_state));
}

static char *shard_name(const struct set_view *v, obj_handle shard)
{
	const struct shard_object *s = &v->set->shards[shard];

	return g_strconcat(v->set->groups[s->group].name, "/", s->name, NULL);
}

static void take_shards(struct set_view *v, GHashTable *previous)
{
	v->shards = g_new0(struct shard_state *, v->set->shard_count);
	for (uint32_t i = 0; i < v->set->shard_count; i++) {
		v->shards[i] = take_state(v->shard_names, previous,
					  shard_name(v, i),
					  sizeof(struct shard_state));
		v->shards[i]->hash = hash_string(v->shards[i]->name, 0);
	}
}

static void take_leaves(struct set_view *v, GHashTable *previous,
			int64_t now_us)
{
	v->leaves = g_new0(struct leaf *, v->set->leaf_count);
	for (uint32_t i = 0; i < v->set->leaf_count; i++) {
		const struct leaf_object *l = &v->set->leaves[i];
		char *name = g_strconcat(v->shards[l->shard]->name, "/",
					 l->address, NULL);
		bool is_new = previous &&
			      !g_hash_table_contains(previous, name);

		v->leaves[i] = take_state(v->leaf_names, previous, name,
					  sizeof(struct leaf));
		if (is_new)
			v->leaves[i]->slow_start_at_us = now_us;
	}
}

static void take_services(struct set_view *v, GHashTable *previous)
{
	v->services = g_new0(struct service_state *, v->set->service_count);
	for (uint32_t i = 0; i < v->set->service_count; i++) {
		v->services[i] = take_state(v->service_names, previous,
					    g_strdup(v->set->services[i].name),
					    sizeof(struct service_state));
		v->services[i]->pin_epoch = 0;
	}
}

/* Returns the root of a service in the union-find forest; shortens its path. */
static uint32_t find_root(uint32_t *roots, uint32_t i)
{
	while (roots[i] != i) {
		roots[i] = roots[roots[i]];
		i = roots[i];
	}
	return i;
}

/*
 * Joins the services that use the same groups into pools by union-find. The
 * root of each pool is its first service, which names the pool.
 */
static uint32_t *join_services(const struct object_set *set)
{
	uint32_t *roots = g_new(uint32_t, set->service_count);
	uint32_t *owners = g_new(uint32_t, set->group_count);

	memset(owners, 0xff, set->group_count * sizeof(*owners));
	for (uint32_t i = 0; i < set->service_count; i++) {
		const struct service_object *s = &set->services[i];

		roots[i] = i;
		for (uint32_t j = 0; j < s->group_count; j++) {
			uint32_t *owner = &owners[s->groups[j]];
			uint32_t a = find_root(roots, i);
			uint32_t b = *owner == OBJ_NONE
					     ? a
					     : find_root(roots, *owner);

			roots[MAX(a, b)] = MIN(a, b);
			*owner = i;
		}
	}
	g_free(owners);
	return roots;
}

static void take_pools(struct set_view *v, GHashTable *previous)
{
	uint32_t *roots = join_services(v->set);

	v->pools = g_new0(struct admission_pool *, v->set->service_count);
	for (uint32_t i = 0; i < v->set->service_count; i++) {
		uint32_t root = find_root(roots, i);

		if (root != i) {
			v->pools[i] = v->pools[root];
			continue;
		}
		v->pools[i] = take_state(v->pool_names, previous,
					 g_strdup(v->set->services[i].name),
					 sizeof(struct admission_pool));
		if (!v->pools[i]->classes)
			admission_pool_init(v->pools[i]);
	}
	g_free(roots);
}

struct set_view *view_create(struct object_set *set,
			     const struct set_view *previous, int64_t now_us)
{
	struct set_view *v = g_rc_box_new0(struct set_view);
	static const struct set_view none;

	if (!previous)
		previous = &none;
	v->set = object_set_ref(set);
	v->leaf_names = new_table(handle_release_leaf);
	v->shard_names = new_table(handle_release_shard);
	v->group_names = new_table(handle_release_group);
	v->service_names = new_table(handle_release_service);
	v->pool_names = new_table(handle_release_pool);
	take_groups(v, previous->group_names);
	take_shards(v, previous->shard_names);
	take_leaves(v, previous->leaf_names, now_us);
	take_services(v, previous->service_names);
	take_pools(v, previous->pool_names);
	return v;
}

struct set_view *view_ref(struct set_view *v)
{
	return g_rc_box_acquire(v);
}

static void handle_clear_view(gpointer data)
{
	struct set_view *v = data;

	g_hash_table_unref(v->leaf_names);
	g_hash_table_unref(v->shard_names);
	g_hash_table_unref(v->group_names);
	g_hash_table_unref(v->service_names);
	g_hash_table_unref(v->pool_names);
	g_free(v->leaves);
	g_free(v->shards);
	g_free(v->groups);
	g_free(v->services);
	g_free(v->pools);
	object_set_unref(v->set);
}

void view_unref(struct set_view *v)
{
	if (v)
		g_rc_box_release_full(v, handle_clear_view);
}

struct leaf_share view_share(const struct set_view *v, obj_handle group)
{
	const struct group_object *g = &v->set->groups[group];
	struct leaf_share whole = {
		.connections = g->connections,
		.slots = g->slots,
	};

	return v->groups[group]->has_share ? v->groups[group]->share : whole;
}
