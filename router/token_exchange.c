#include "router/token_exchange.h"

#include <string.h>

#include "common/events.h"

/* A host that has not answered a claim for this time counts as silent. */
#define SILENT_US (400 * US_PER_MS)
/* Interval of the empty claims that find out whether a host answers. */
#define PROBE_INTERVAL_US (250 * US_PER_MS)
/* A host that does not own a key is asked for it again after this time. */
#define ELSEWHERE_US (500 * US_PER_MS)
/* The same for a cache with too few tokens, which claims some meanwhile. */
#define CACHE_EMPTY_US (50 * US_PER_MS)
/* Links without claims are used at this interval; they close after 60 s. */
#define LINK_INTERVAL_US (20 * US_PER_S)
/* In larger fleets the links to owners open when they are first used. */
#define LINKED_OWNERS_MAX 24
/* Keys whose owners are kept; the table is emptied beyond that. */
#define OWNERS_MAX 16384

struct key_owners {
	struct rate_owners hosts;
	/** This host, if its cache has tokens of the key; or NULL. */
	struct known_host *cache;
	/** The cache has too few tokens. */
	int64_t avoid_cache_until_us;
	/** The first owner has answered that it may not grant. */
	int64_t avoid_first_until_us;
};

struct token_exchange {
	struct token_exchange_options options;
	/** Tokens of the keys that this host owns. */
	struct token_pool *pool;
	/** Tokens of other owners, for requests that may come. */
	struct token_cache *cache;
	/** Of struct token_grant; their keys are copies. */
	GArray *own_grants;
	/** Of struct key_owners by key, for one generation of the directory. */
	GHashTable *owners;
	uint64_t owners_generation;
	/** Decides what this host may grant. */
	struct token_owner *owner;
};

static int64_t now_us(const struct token_exchange *x)
{
	return clock_now(&x->options.clock);
}

static bool is_self(const struct token_exchange *x, const struct known_host *h)
{
	return host_directory_is_self(x->options.directory, h);
}

static struct lease_time lease_now(const struct token_exchange *x)
{
	return (struct lease_time){ now_us(x), clock_boot(&x->options.clock) };
}

void token_exchange_advance(struct token_exchange *x)
{
	token_owner_advance(x->owner, token_pool_count(x->pool) > 0);
}

struct token_owner *token_exchange_owner(struct token_exchange *x)
{
	return x->owner;
}

/*
 * Returns the host whose cache has tokens of a key, or NULL: this one for a
 * quota, since callers mostly stay with a host. The rate of a cold leaf is too
 * low for tokens that nobody uses.
 */
static struct known_host *find_cache(struct token_exchange *x,
				     const struct token_claim *c,
				     const struct known_host *owner)
{
	struct host_directory *d = x->options.directory;

	if (c->limit.is_cold_leaf || !owner || is_self(x, owner))
		return NULL;
	return g_hash_table_lookup(d->hosts, d->self);
}

static struct key_owners *get_owners(struct token_exchange *x,
				     const struct token_claim *c)
{
	struct host_directory *d = x->options.directory;
	struct key_owners *known;

	if (x->owners_generation != d->generation) {
		g_hash_table_remove_all(x->owners);
		x->owners_generation = d->generation;
	}
	known = g_hash_table_lookup(x->owners, c->key);
	if (known)
		return known;
	known = g_new0(struct key_owners, 1);
	known->hosts = host_directory_rate_owners(d, c->key, c->domain);
	known->cache = find_cache(x, c, known->hosts.first);
	g_hash_table_insert(x->owners, g_strdup(c->key), known);
	return known;
}

/* Returns what this host may grant, and since when. */
static enum token_part own_part(struct token_exchange *x,
				const struct token_claim *c, int64_t *since)
{
	*since = 0;
	if (x->options.is_alone)
		return TOKEN_PART_ALL;
	return token_owner_part(x->owner, c, &get_owners(x, c)->hosts, since);
}

static struct token_grant answer_claim(struct token_exchange *x,
				       const struct token_claim *c)
{
	struct token_claim claim = *c;
	struct token_grant g;
	enum token_part part;
	int64_t since;

	if (x->options.ops->update_limit)
		x->options.ops->update_limit(x->options.ctx, c->key,
					     &claim.limit);
	if (claim.kind == TOKEN_CLAIM_CACHED) {
		token_cache_claim(x->cache, &claim, lease_now(x), &g);
		return g;
	}
	part = own_part(x, &claim, &since);
	token_pool_claim(x->pool, &claim, part, since, now_us(x), &g);
	return g;
}

static void queue_own_grant(struct token_exchange *x,
			    const struct token_claim *c)
{
	struct token_grant g = answer_claim(x, c);

	g.key = g_strdup(g.key);
	g_array_append_val(x->own_grants, g);
}

static bool is_silent(const struct known_host *h, int64_t now)
{
	return h->tokens_asked_us && now - h->tokens_asked_us >= SILENT_US;
}

static void send_claims(struct token_exchange *x, struct known_host *h,
			const GArray *claims)
{
	h->tokens_sent_us = now_us(x);
	if (!h->tokens_asked_us)
		h->tokens_asked_us = h->tokens_sent_us;
	x->options.ops->send_claims(x->options.ctx, h->record.address, claims);
}

/* Sends an empty list of claims to learn whether a host answers. */
static void probe_owner(struct token_exchange *x, struct known_host *h)
{
	int64_t now = now_us(x);
	GArray *claims;

	if (now - h->tokens_probed_us < PROBE_INTERVAL_US)
		return;
	h->tokens_probed_us = now;
	claims = g_array_new(FALSE, FALSE, sizeof(struct token_claim));
	send_claims(x, h, claims);
	g_array_free(claims, TRUE);
}

void token_exchange_keep_links(struct token_exchange *x)
{
	GPtrArray *owners = host_directory_strongest(x->options.directory,
						     LINKED_OWNERS_MAX);
	int64_t now = now_us(x);

	for (guint i = 0; i < owners->len; i++) {
		struct known_host *h = owners->pdata[i];

		if (!h->tokens_sent_us ||
		    now - h->tokens_sent_us >= LINK_INTERVAL_US)
			probe_owner(x, h);
	}
	g_ptr_array_free(owners, TRUE);
}

/* Returns the host from which to claim, or NULL if none is known. */
static struct known_host *choose_owner(struct token_exchange *x,
				       const struct token_claim *c)
{
	const struct key_owners *o = get_owners(x, c);
	struct known_host *first = o->hosts.first;
	int64_t now = now_us(x);

	if (!first || !o->hosts.second)
		return first;
	if (now < o->avoid_first_until_us)
		return o->hosts.second;
	if (is_self(x, first) || !is_silent(first, now))
		return first;
	if (!first->is_token_silence_logged)
		event_log(EV_TOKEN_OWNER_LOST, "key=%s host=%s silent_ms=%lld",
			  c->key, first->record.name,
			  (long long)((now - first->tokens_asked_us) /
				      US_PER_MS));
	first->is_token_silence_logged = true;
	probe_owner(x, first);
	return o->hosts.second;
}

static void handle_free_claims(gpointer data)
{
	g_array_free(data, TRUE);
}

/* Returns the host to which a claim goes; a cached one may go to the owner. */
static struct known_host *choose_host(struct token_exchange *x,
				      struct token_claim *c)
{
	const struct key_owners *o = get_owners(x, c);
	int64_t now = now_us(x);

	if (c->kind != TOKEN_CLAIM_CACHED)
		return choose_owner(x, c);
	if (o->cache && now >= o->avoid_cache_until_us &&
	    (is_self(x, o->cache) || !is_silent(o->cache, now)))
		return o->cache;
	if (o->cache && !is_self(x, o->cache) && is_silent(o->cache, now))
		probe_owner(x, o->cache);
	c->kind = TOKEN_CLAIM_USE;
	return choose_owner(x, c);
}

static void send_all_claims(struct token_exchange *x, const GArray *claims)
{
	GHashTable *by_host =
		g_hash_table_new_full(NULL, NULL, NULL, handle_free_claims);
	GHashTableIter iter;
	gpointer host;
	gpointer list;

	for (guint i = 0; i < claims->len; i++) {
		struct token_claim *c =
			&g_array_index(claims, struct token_claim, i);
		struct known_host *h = NULL;
		GArray *of_host;

		if (!x->options.is_alone)
			h = choose_host(x, c);
		else if (c->kind == TOKEN_CLAIM_CACHED)
			c->kind = TOKEN_CLAIM_USE;
		if (!h || is_self(x, h)) {
			queue_own_grant(x, c);
			continue;
		}
		of_host = g_hash_table_lookup(by_host, h);
		if (!of_host) {
			of_host = g_array_new(FALSE, FALSE, sizeof(*c));
			g_hash_table_insert(by_host, h, of_host);
		}
		g_array_append_vals(of_host, c, 1);
	}
	g_hash_table_iter_init(&iter, by_host);
	while (g_hash_table_iter_next(&iter, &host, &list))
		send_claims(x, host, list);
	g_hash_table_destroy(by_host);
}

void token_exchange_claim(struct token_exchange *x, const GArray *claims)
{
	token_exchange_advance(x);
	send_all_claims(x, claims);
}

void token_exchange_fill_cache(struct token_exchange *x)
{
	GArray *claims = token_cache_take_claims(x->cache, lease_now(x));

	if (!claims)
		return;
	send_all_claims(x, claims);
	g_array_free(claims, TRUE);
}

int64_t token_exchange_next_timer(const struct token_exchange *x)
{
	return token_cache_next_claim(x->cache);
}

GArray *token_exchange_answer(struct token_exchange *x, const GArray *claims)
{
	GArray *grants = g_array_new(FALSE, FALSE, sizeof(struct token_grant));

	token_exchange_advance(x);
	for (guint i = 0; i < claims->len; i++) {
		struct token_grant g = answer_claim(
			x, &g_array_index(claims, struct token_claim, i));

		g_array_append_val(grants, g);
	}
	return grants;
}

/*
 * If the first owner may not grant, the next claim goes to the second one at
 * once. If that is this host or may not grant either, it waits.
 */
static void deliver(struct token_exchange *x, const struct known_host *from,
		    struct token_grant g)
{
	struct key_owners *o = NULL;
	int64_t now = now_us(x);

	if (g.is_standing) {
		token_cache_apply_grant(x->cache, &g, lease_now(x));
		return;
	}
	if (x->owners_generation == x->options.directory->generation)
		o = g_hash_table_lookup(x->owners, g.key);
	if (g.is_elsewhere && o && from && from == o->cache && !g.retry_us)
		o->avoid_cache_until_us = now + CACHE_EMPTY_US;
	else if (g.is_elsewhere && o && from && from == o->hosts.first &&
		 o->hosts.second && now >= o->avoid_first_until_us) {
		o->avoid_first_until_us = now + ELSEWHERE_US;
		g.retry_us = 0;
	}
	x->options.ops->deliver_grant(x->options.ctx, &g);
}

void token_exchange_handle_grants(struct token_exchange *x, const char *address,
				  const GArray *grants)
{
	struct known_host *h =
		host_directory_find(x->options.directory, address);

	if (h) {
		h->tokens_asked_us = 0;
		h->is_token_silence_logged = false;
	}
	for (guint i = 0; i < grants->len; i++)
		deliver(x, h, g_array_index(grants, struct token_grant, i));
}

static void free_own_grants(GArray *grants)
{
	for (guint i = 0; i < grants->len; i++)
		g_free((char *)g_array_index(grants, struct token_grant, i).key);
	g_array_free(grants, TRUE);
}

void token_exchange_deliver_own(struct token_exchange *x)
{
	const struct host_directory *d = x->options.directory;
	GArray *grants = x->own_grants;

	if (!grants->len)
		return;
	x->own_grants = g_array_new(FALSE, FALSE, sizeof(struct token_grant));
	for (guint i = 0; i < grants->len; i++)
		deliver(x, g_hash_table_lookup(d->hosts, d->self),
			g_array_index(grants, struct token_grant, i));
	free_own_grants(grants);
}

void token_exchange_note_closed(struct token_exchange *x, const char *address,
				bool is_undelivered)
{
	struct known_host *h =
		host_directory_find(x->options.directory, address);

	if (!h || !h->tokens_asked_us)
		return;
	h->tokens_asked_us =
		is_undelivered ? MIN(h->tokens_asked_us, now_us(x) - SILENT_US)
			       : 0;
}

void token_exchange_sweep(struct token_exchange *x)
{
	token_pool_sweep(x->pool, now_us(x));
	token_cache_sweep(x->cache, lease_now(x));
	if (g_hash_table_size(x->owners) > OWNERS_MAX)
		g_hash_table_remove_all(x->owners);
}

struct token_exchange *
token_exchange_create(const struct token_exchange_options *options)
{
	struct token_exchange *x = g_new0(struct token_exchange, 1);
	struct token_owner_options owner_options = {
		.clock = options->clock,
		.directory = options->directory,
		.is_leased = options->is_leased,
		.send_view = options->ops->send_view,
		.send_release = options->ops->send_release,
		.ctx = options->ctx,
	};

	x->options = *options;
	x->pool = token_pool_create(options->seed);
	x->cache = token_cache_create();
	x->owners =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	x->own_grants = g_array_new(FALSE, FALSE, sizeof(struct token_grant));
	x->owner = token_owner_create(&owner_options);
	return x;
}

void token_exchange_free(struct token_exchange *x)
{
	token_pool_free(x->pool);
	token_cache_free(x->cache);
	g_hash_table_destroy(x->owners);
	free_own_grants(x->own_grants);
	token_owner_free(x->owner);
	g_free(x);
}
