#include "router/table.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#include "common/errors.h"
#include "router/key_index.h"

#define HOST_NAME_MAX_BYTES 256

struct route_table *route_table_create(uint32_t routes, uint32_t upstreams)
{
	struct route_table *t = g_new0(struct route_table, 1);

	t->refs = 1;
	t->routes = g_new0(struct route, routes);
	t->route_count = routes;
	t->upstreams = g_new0(struct route_upstream, upstreams);
	t->upstream_count = upstreams;
	return t;
}

void route_table_add_organisations(struct route_table *t, uint32_t count)
{
	t->has_organisations = true;
	t->organisations = g_new0(struct organisation, count);
	t->organisation_count = count;
	t->keys = key_index_create();
}

uint32_t route_table_add_key(struct route_table *t, uint32_t organisation,
			     const char *key)
{
	struct key_digest d;

	if (!*key)
		return organisation;
	d = key_digest_create(key, strlen(key));
	return key_index_add(t->keys, &d, organisation);
}

struct route_table *route_table_ref(struct route_table *t)
{
	__atomic_add_fetch(&t->refs, 1, __ATOMIC_RELAXED);
	return t;
}

static void clear_route(struct route *r)
{
	g_free(r->name);
	g_free(r->host);
	g_free(r->prefix);
	g_strfreev(r->regions);
	g_free(r->targets);
}

void route_table_unref(struct route_table *t)
{
	if (!t || __atomic_sub_fetch(&t->refs, 1, __ATOMIC_ACQ_REL) > 0)
		return;
	for (uint32_t i = 0; i < t->route_count; i++)
		clear_route(&t->routes[i]);
	for (uint32_t i = 0; i < t->upstream_count; i++) {
		g_free(t->upstreams[i].name);
		g_free(t->upstreams[i].health_path);
	}
	for (uint32_t i = 0; i < t->organisation_count; i++) {
		g_free(t->organisations[i].name);
		g_strfreev(t->organisations[i].regions);
	}
	if (t->hosts)
		g_hash_table_destroy(t->hosts);
	if (t->organisation_names)
		g_hash_table_destroy(t->organisation_names);
	key_index_free(t->keys);
	g_free(t->organisations);
	g_free(t->routes);
	g_free(t->upstreams);
	g_free(t);
}

static const char *check_targets(const struct route_table *t,
				 const struct route *r)
{
	double weight = 0;

	if (!r->target_count)
		return "has no upstream";
	if (r->shape == ROUTE_SINGLE && r->target_count != 1)
		return "has more than one upstream";
	for (uint32_t i = 0; i < r->target_count; i++) {
		if (r->targets[i].upstream >= t->upstream_count)
			return "names an unknown upstream";
		for (uint32_t k = 0; k < i && r->shape == ROUTE_GATHER; k++) {
			if (r->targets[k].upstream == r->targets[i].upstream)
				return "names a shard twice";
		}
		if (!(r->targets[i].weight >= 0))
			return "has an upstream whose weight is not 0 or more";
		weight += r->targets[i].weight;
	}
	if (r->shape == ROUTE_SPLIT && !(weight > 0 && isfinite(weight)))
		return "has no upstream with a positive weight, or weights "
		       "without a finite sum";
	return NULL;
}

static const char *check_route(const struct route_table *t,
			       const struct route *r)
{
	size_t len;

	if (!r->name || !*r->name || !r->host || !*r->host || !r->prefix)
		return "lacks a name, host or prefix";
	len = strlen(r->prefix);
	if (r->prefix[0] != '/' || r->prefix[len - 1] != '/')
		return "has a prefix that does not begin and end with a slash";
	if (r->timeout_us <= 0 || r->goal_us <= 0)
		return "has a timeout or latency goal that is not positive";
	if (!r->max_attempts)
		return "allows 0 attempts, expected at least 1";
	if (r->shape == ROUTE_GATHER && !r->is_idempotent)
		return "gathers requests that are not idempotent";
	if (r->min_coverage < 0 || r->min_coverage > 1)
		return "has a minimum coverage outside of 0 to 1";
	return check_targets(t, r);
}

static bool has_control_character(const char *text)
{
	while (*text && !g_ascii_iscntrl(*text))
		text++;
	return *text;
}

static const char *check_organisation(const struct organisation *o)
{
	if (!o->name || !*o->name)
		return "lacks a name";
	/* The name becomes the value of a header. */
	if (has_control_character(o->name))
		return "has a name with control characters";
	if (!(o->max_per_s >= 0 && isfinite(o->max_per_s)) ||
	    !(o->burst >= 0 && isfinite(o->burst)))
		return "has a rate or burst that is not 0 or more";
	return NULL;
}

/* Returns a fault of the organisations, and the faulty one, or NULL. */
static const char *index_organisations(struct route_table *t,
				       const struct organisation **faulty)
{
	t->organisation_names = g_hash_table_new(g_str_hash, g_str_equal);
	for (uint32_t i = 0; i < t->organisation_count; i++) {
		struct organisation *o = &t->organisations[i];
		const char *fault = check_organisation(o);

		*faulty = o;
		if (fault)
			return fault;
		if (!g_hash_table_insert(t->organisation_names, o->name, o))
			return "is defined twice";
	}
	return NULL;
}

static gint compare_prefixes(gconstpointer a, gconstpointer b)
{
	const struct route *x = *(const struct route *const *)a;
	const struct route *y = *(const struct route *const *)b;
	size_t x_len = strlen(x->prefix);
	size_t y_len = strlen(y->prefix);

	return x_len < y_len ? 1 : x_len > y_len ? -1 : 0;
}

static void handle_free_routes(gpointer routes)
{
	g_ptr_array_free(routes, TRUE);
}

static void build_index(struct route_table *t)
{
	GHashTableIter iter;
	gpointer list;

	t->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 handle_free_routes);
	for (uint32_t i = 0; i < t->route_count; i++) {
		char *host = g_ascii_strdown(t->routes[i].host, -1);

		list = g_hash_table_lookup(t->hosts, host);
		if (!list) {
			list = g_ptr_array_new();
			g_hash_table_insert(t->hosts, g_strdup(host), list);
		}
		g_ptr_array_add(list, &t->routes[i]);
		g_free(host);
	}
	g_hash_table_iter_init(&iter, t->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &list))
		g_ptr_array_sort(list, compare_prefixes);
}

int route_table_seal(struct route_table *t, char *message, size_t len)
{
	const struct organisation *faulty;
	const char *fault = index_organisations(t, &faulty);

	if (fault) {
		snprintf(message, len, "organisation %s %s",
			 faulty->name ? faulty->name : "?", fault);
		return -ERR_ROUTE_TABLE;
	}
	for (uint32_t i = 0; i < t->route_count; i++) {
		const char *name = t->routes[i].name;

		fault = check_route(t, &t->routes[i]);
		if (!fault)
			continue;
		snprintf(message, len, "route %s %s", name ? name : "?", fault);
		return -ERR_ROUTE_TABLE;
	}
	build_index(t);
	return 0;
}

static bool copy_host(const char *host, char *out, size_t size)
{
	size_t len = strcspn(host, ":");

	if (!len || len >= size)
		return false;
	for (size_t i = 0; i < len; i++)
		out[i] = g_ascii_tolower(host[i]);
	out[len] = '\0';
	return true;
}

const struct route *route_table_match(const struct route_table *t,
				      const char *host, const char *path)
{
	char name[HOST_NAME_MAX_BYTES];
	size_t path_len = strcspn(path, "?#");
	const GPtrArray *list;

	if (!host || !copy_host(host, name, sizeof(name)))
		return NULL;
	list = g_hash_table_lookup(t->hosts, name);
	for (guint i = 0; list && i < list->len; i++) {
		const struct route *r = list->pdata[i];
		size_t len = strlen(r->prefix);

		if (len <= path_len && !memcmp(r->prefix, path, len))
			return r;
	}
	return NULL;
}

const struct organisation *
route_table_find_organisation(const struct route_table *t, const char *name)
{
	return name ? g_hash_table_lookup(t->organisation_names, name) : NULL;
}
