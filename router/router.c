#include "router/internal.h"

#include <string.h>

#include "common/errors.h"
#include "common/events.h"

/* Interval at which removed leaves are freed. */
#define SWEEP_INTERVAL_US (250 * US_PER_MS)
/* Longest interval between retries of the parts that wait for a leaf. */
#define WAITING_RETRY_US (20 * US_PER_MS)
/*
 * Share of options.extra_calls, the common allowance, that all hosts together
 * use. The rest covers restarts of hosts.
 */
#define EXTRA_USED_SHARE 0.9
/* Maximum allowance of one host. */
#define EXTRA_HOST_MAX 8.0
/* Allowance of a host while the number of hosts is not known. */
#define EXTRA_UNKNOWN_HOSTS 2.0
/*
 * Shares of the common allowance where only some hosts gather. The gathering
 * hosts divide EXTRA_GATHERERS_SHARE among them. When other hosts take over the
 * gathering, old and new gathering hosts use this share in the same window.
 * All hosts divide EXTRA_OTHERS_SHARE among them, for requests that a host
 * gathers itself because no gathering host did.
 */
#define EXTRA_GATHERERS_SHARE 0.35
#define EXTRA_GATHERER_MAX 24.0
#define EXTRA_OTHERS_SHARE 0.25
/* Maximum age of the cached counts of shards by failure domain. */
#define SHARD_COUNTS_MAX_AGE_US (500 * US_PER_MS)

void router_timer_arm(struct router *r, struct router_timer *t, int64_t at_us,
		      void (*fire)(struct router *r, struct router_timer *t))
{
	t->fire = fire;
	heap_push(&r->timers, &t->node, at_us);
}

void router_timer_disarm(struct router *r, struct router_timer *t)
{
	heap_remove(&r->timers, &t->node);
}

static void handle_leaf_free(void *ctx, struct route_leaf *leaf)
{
	struct router *r = ctx;

	r->options.ops->free_endpoint(r->options.ctx, leaf);
}

int router_create(struct router **out, const struct router_options *options)
{
	struct router *r = g_new0(struct router, 1);

	r->options = *options;
	leaf_set_init(&r->leaves, options->host, options->domain,
		      options->domains);
	r->leaves.handle_leaf_free = handle_leaf_free;
	r->leaves.ctx = r;
	r->stats = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					 route_stats_unref);
	r->batches = g_hash_table_new(g_int64_hash, g_int64_equal);
	id_table_init(&r->requests, sizeof(struct route_request));
	id_table_init(&r->calls, sizeof(struct leaf_call));
	r->waiting_pools = g_ptr_array_new();
	r->organisations = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, organisation_stats_unref);
	r->limited_leaves = g_ptr_array_new();
	r->cold_leaves = g_ptr_array_new();
	r->next_claims_us = INT64_MAX;
	r->stop_us = INT64_MAX;
	router_set_host_count(r, 0);
	r->random = g_rand_new_with_seed((guint32)options->seed);
	*out = r;
	return 0;
}

void router_destroy(struct router *r)
{
	rates_clear(r);
	leaf_set_clear(&r->leaves);
	g_hash_table_destroy(r->stats);
	g_hash_table_destroy(r->batches);
	id_table_clear(&r->requests);
	id_table_clear(&r->calls);
	heap_clear(&r->timers);
	g_ptr_array_free(r->waiting_pools, TRUE);
	g_hash_table_destroy(r->organisations);
	route_table_unref(r->table);
	g_rand_free(r->random);
	g_free(r);
}

void router_set_host_count(struct router *r, uint32_t hosts)
{
	r->host_count = hosts;
}

static void update_triage(struct router *r)
{
	enum triage_mode mode = r->options.triage;

	r->has_triage = mode == TRIAGE_ALWAYS ||
			(mode == TRIAGE_WITH_ORGANISATIONS &&
			 router_has_organisations(r));
}

void router_set_triage(struct router *r, enum triage_mode mode)
{
	r->options.triage = mode;
	update_triage(r);
}

void router_set_extra_calls(struct router *r, uint32_t extra_calls)
{
	r->options.extra_calls = extra_calls;
}

double router_extra_allowance(const struct router *r,
			      const struct route_request *q)
{
	double all = r->options.extra_calls;

	/* The number of hosts is unknown and may be large. */
	if (!r->host_count)
		return EXTRA_UNKNOWN_HOSTS;
	if (q->route->shape != ROUTE_GATHER || q->gatherers >= r->host_count)
		return MIN(all * EXTRA_USED_SHARE / r->host_count,
			   EXTRA_HOST_MAX);
	if (!q->gatherers)
		return MIN(all * EXTRA_OTHERS_SHARE / r->host_count,
			   EXTRA_HOST_MAX);
	return MIN(all * EXTRA_GATHERERS_SHARE / q->gatherers,
		   EXTRA_GATHERER_MAX);
}

static void log_table(const struct router *r, const struct route_table *t)
{
	char counts[64] = "";

	if (t->has_organisations)
		g_snprintf(counts, sizeof(counts), " organisations=%u keys=%u",
			   t->organisation_count, key_index_count(t->keys));
	event_log(EV_ROUTES_IN_FORCE,
		  "version=%llu previous=%llu routes=%u upstreams=%u%s",
		  (unsigned long long)t->version,
		  (unsigned long long)router_version(r), t->route_count,
		  t->upstream_count, counts);
}

int router_apply_table(struct router *r, struct route_table *t)
{
	if (r->table && t->version <= r->table->version) {
		route_table_unref(t);
		return -ERR_ROUTE_VERSION;
	}
	log_table(r, t);
	route_table_unref(r->table);
	r->table = t;
	for (uint32_t i = 0; i < t->upstream_count; i++) {
		struct upstream_pool *pool =
			leaf_set_get_pool(&r->leaves, t->upstreams[i].name);

		pool->warm_up_per_s = t->upstreams[i].warm_up_per_s;
		pool->warm_up_version = t->version;
	}
	r->identity_epoch++;
	update_triage(r);
	route_stats_apply_table(r);
	waiting_apply_table(r);
	return 0;
}

const struct route *router_match(const struct router *r, const char *host,
				 const char *path)
{
	return r->table ? route_table_match(r->table, host, path) : NULL;
}

struct identity identify_caller(const struct router *r,
				const struct router_request *request,
				const struct route *route)
{
	struct identity_claim claim = {
		.credentials = request->credentials,
		.organisation = request->organisation,
		.are_keys_stale = r->are_keys_stale,
	};

	return identity_check(r->table, route, &claim);
}

struct identity router_identify(const struct router *r,
				const struct router_request *request)
{
	const struct route *route = NULL;

	if (router_has_organisations(r))
		route = router_match(r, request->host, request->path);
	return identify_caller(r, request, route);
}

void router_set_keys_stale(struct router *r, bool are_stale)
{
	if (r->are_keys_stale == are_stale)
		return;
	r->are_keys_stale = are_stale;
	r->identity_epoch++;
}

bool router_has_organisations(const struct router *r)
{
	return r->table && r->table->has_organisations;
}

const struct organisation *router_find_organisation(const struct router *r,
						    const char *name)
{
	return r->table ? route_table_find_organisation(r->table, name) : NULL;
}

bool router_has_quotas(const struct router *r)
{
	const struct route_table *t = r->table;

	for (uint32_t i = 0; t && i < t->organisation_count; i++) {
		if (t->organisations[i].max_per_s > 0)
			return true;
	}
	for (uint32_t i = 0; t && i < t->upstream_count; i++) {
		if (t->upstreams[i].warm_up_per_s > 0)
			return true;
	}
	return false;
}

static void count_domains(GHashTable *counts, struct upstream_pool *pool,
			  uint64_t regions, int64_t now)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < pool->leaves->len; i++) {
		const struct route_leaf *leaf = pool->leaves->pdata[i];
		gpointer count;

		if (leaf_access_check_place(leaf, regions, now) !=
			    ACCESS_ALLOWED ||
		    !g_hash_table_add(seen, leaf->entry.domain))
			continue;
		count = g_hash_table_lookup(counts, leaf->entry.domain);
		g_hash_table_insert(
			counts, g_strdup(leaf->entry.domain),
			GUINT_TO_POINTER(GPOINTER_TO_UINT(count) + 1));
	}
	g_hash_table_destroy(seen);
}

GHashTable *router_shard_counts(struct router *r, const struct route *route)
{
	struct route_stats *s = route_stats_get(r, route);
	uint64_t regions = leaf_access_regions(r, route, NULL);
	int64_t now = router_now(r);

	if (s->shard_counts &&
	    now - s->shard_counts_at_us < SHARD_COUNTS_MAX_AGE_US)
		return s->shard_counts;
	if (s->shard_counts)
		g_hash_table_destroy(s->shard_counts);
	s->shard_counts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->shard_counts_at_us = now;
	for (uint32_t i = 0; i < route->target_count; i++) {
		const struct route_upstream *u =
			&r->table->upstreams[route->targets[i].upstream];

		count_domains(s->shard_counts,
			      leaf_set_get_pool(&r->leaves, u->name), regions,
			      now);
	}
	return s->shard_counts;
}

bool router_region_allows(const struct router *r, const struct route *route,
			  const char *organisation)
{
	uint64_t regions = leaf_access_regions(
		r, route,
		route_table_find_organisation(r->table, organisation));

	return regions == REGIONS_ALL ||
	       (regions & leaf_set_region(&r->leaves, r->leaves.domain));
}

/* Lists the ids of the calls in flight to the leaves of a failure domain. */
static GArray *list_calls(struct router *r, const char *domain)
{
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->leaves.leaves);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct route_leaf *leaf = value;

		if (strcmp(leaf->entry.domain, domain))
			continue;
		for (GList *i = leaf->calls.head; i; i = i->next) {
			const struct leaf_call *c = i->data;

			g_array_append_val(ids, c->id);
		}
	}
	return ids;
}

/* Moves the calls that are not sent yet to other leaves. */
static uint32_t move_unsent_calls(struct router *r, const char *domain)
{
	GArray *ids;
	uint32_t count = 0;

	if (!r->options.ops->withdraw_call)
		return 0;
	ids = list_calls(r, domain);
	for (guint i = 0; i < ids->len; i++) {
		struct leaf_call *c = id_table_find(
			&r->calls, g_array_index(ids, uint64_t, i));

		/* The end of a request also ends its other calls. */
		if (c)
			count += part_move_call(r, c);
	}
	g_array_free(ids, TRUE);
	return count;
}

/* Closes the idle connections to a domain and returns the number of leaves. */
static uint32_t close_idle(struct router *r, const char *domain)
{
	uint32_t count = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->leaves.leaves);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct route_leaf *leaf = value;

		if (strcmp(leaf->entry.domain, domain))
			continue;
		count++;
		if (leaf->is_evacuated && r->options.ops->close_idle)
			r->options.ops->close_idle(r->options.ctx, leaf);
	}
	return count;
}

static void drop_shard_counts(struct router *r)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->stats);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct route_stats *s = value;

		s->shard_counts_at_us = -SHARD_COUNTS_MAX_AGE_US;
	}
}

void router_set_evacuated(struct router *r, const char *domain,
			  bool is_evacuated)
{
	uint32_t moved = 0;
	uint32_t leaves;

	if (!leaf_set_set_evacuated(&r->leaves, domain, is_evacuated))
		return;
	drop_shard_counts(r);
	leaves = close_idle(r, domain);
	if (is_evacuated)
		moved = move_unsent_calls(r, domain);
	r->place_counts.moved_calls += moved;
	event_log(EV_EVACUATION, "domain=%s state=%s leaves=%u moved_calls=%u",
		  domain, is_evacuated ? "evacuated" : "in_use", leaves, moved);
	waiting_start_all(r);
}

struct router_place_counts router_place_counts(const struct router *r)
{
	struct router_place_counts c = r->place_counts;

	c.evacuated_domains = g_hash_table_size(r->leaves.evacuated);
	c.evacuated_leaves = r->leaves.evacuated_count;
	c.cold_leaves = r->leaves.cold_count;
	return c;
}

uint64_t router_version(const struct router *r)
{
	return r->table ? r->table->version : 0;
}

const struct caller_limits *router_caller_limits(const struct router *r)
{
	return r->table ? &r->table->limits : NULL;
}

struct leaf_set *router_leaves(struct router *r)
{
	return &r->leaves;
}

void router_leaves_changed(struct router *r)
{
	waiting_start_all(r);
}

void router_call_result(struct router *r, const struct router_result *result)
{
	struct leaf_call *c = id_table_find(&r->calls, result->call_id);
	struct upstream_pool *pool;

	if (!c)
		return;
	pool = c->leaf->pool;
	part_handle_result(r, c, result);
	waiting_start_pool(r, pool);
}

int64_t router_next_timer(const struct router *r)
{
	const struct heap_node *top = heap_top(&r->timers);
	int64_t next = top ? top->key : INT64_MAX;

	if (!waiting_is_empty(r))
		next = MIN(next, r->next_retry_us);
	next = MIN(next, r->next_claims_us);
	return next;
}

void router_advance(struct router *r)
{
	int64_t now = router_now(r);
	struct heap_node *top;

	while ((top = heap_top(&r->timers)) && top->key <= now) {
		struct router_timer *t =
			HEAP_OWNER(top, struct router_timer, node);

		heap_remove(&r->timers, top);
		t->fire(r, t);
	}
	if (!waiting_is_empty(r) && now >= r->next_retry_us) {
		r->next_retry_us = now + WAITING_RETRY_US;
		waiting_start_all(r);
	}
	rates_claim(r);
	if (now >= r->next_sweep_us) {
		r->next_sweep_us = now + SWEEP_INTERVAL_US;
		rates_sweep(r);
		leaf_set_sweep(&r->leaves, now);
	}
}

uint32_t router_request_count(const struct router *r)
{
	return r->requests.count;
}
