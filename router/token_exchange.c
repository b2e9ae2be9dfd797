#include "router/token_exchange.h"

#include <string.h>

#include "common/events.h"
#include "common/hash.h"

/* A host that has not answered a claim for this time counts as silent. */
#define SILENT_US (400 * US_PER_MS)
/* Interval of the empty claims that find out whether a host answers. */
#define PROBE_INTERVAL_US (250 * US_PER_MS)
/* A host that does not own a key is asked for it again after this time. */
#define ELSEWHERE_US (500 * US_PER_MS)
/*
 * Claims go to another region while an owner has not answered for this time: a
 * round trip to another region over a new link takes 72 ms.
 */
#define SLOW_US (100 * US_PER_MS)
/*
 * A region that is gone counts for this time: its owners may grant for 9 s, and
 * the tokens of a host are valid for 6 s, counted in slots of 0.5 s.
 */
#define REGION_KEPT_US (TOKEN_JOIN_US + TOKEN_STANDING_US + 500 * US_PER_MS)
/*
 * Factor on the time until the next claim from another region that granted
 * nothing: its own hosts ask it already.
 */
/* Most tokens of other regions that an owner adds to a grant. */
#define LENT_MAX 2
#define EMPTY_REGION_FACTOR 4
#define EMPTY_REGION_MAX_US (1 * US_PER_S)
/* Links without claims are used at this interval; they close after 60 s. */
#define LINK_INTERVAL_US (20 * US_PER_S)
/* Links beyond this number open when they are first used. */
#define LINKED_OWNERS_MAX 24
/* Keys whose owners are kept; the table is emptied beyond that. */
#define OWNERS_MAX 32768

/*
 * A host that has not heard of the store for this time asks so many hosts of
 * other regions at this interval.
 */
#define OUTSIDE_NEWS_US (2200 * US_PER_MS)
#define OUTSIDE_INTERVAL_US (250 * US_PER_MS)
#define OUTSIDE_HOSTS 3

/** Owners of a key in a region, or of the key of a cold leaf. */
struct key_owners {
	/** Of the table; its strings belong to the entry. */
	struct token_key key;
	struct rate_owners hosts;
	/** The first owner has answered that it may not grant. */
	int64_t avoid_first_until_us;
	/** The first owner has no tokens for this host. */
	int64_t first_empty_until_us;
	/** The second owner has no tokens for this host, or may not grant. */
	int64_t avoid_second_until_us;
	/** Time that the last answer took. */
	int64_t answer_us;
};

/** Owners from which this host claims the tokens of a key. */
struct key_route {
	/** Of a quota: this host's region and then the others; domains. */
	GPtrArray *regions;
	/** Where the last claim went. */
	struct key_owners *asked;
	bool is_second_asked;
	int64_t asked_at_us;
	/** Of an owner: the other region whose tokens its cache claims. */
	guint lender;
	/** Regions that have had none for it since one had some. */
	guint empty_lenders;
};

/** Region that divides the quotas with others. */
struct token_region {
	/** Interned. */
	const char *name;
	/** Hosts of it are in the mirror. */
	bool is_present;
	/** When a host was last seen to leave it; 0 if none was. */
	int64_t left_us;
};

struct token_exchange {
	struct token_exchange_options options;
	/** Tokens of the keys that this host owns. */
	struct token_pool *pool;
	/** Tokens of other owners, for requests that may come. */
	struct token_cache *cache;
	/** Of struct token_grant; their keys are copies. */
	GArray *own_grants;
	/**
	 * Of struct key_owners by struct token_key, and of struct key_route by
	 * key, for one generation of the directory.
	 */
	GHashTable *owners;
	GHashTable *routes;
	uint64_t owners_generation;
	/** Of struct token_region, for one generation of the directory. */
	GArray *regions;
	uint64_t regions_generation;
	uint32_t region_count;
	/**
	 * Last sign of the store or of a host of another region, and the time
	 * from which there were such signs without a break; 0 from the start.
	 */
	int64_t outside_us;
	int64_t outside_since_us;
	/** Hosts of other regions were asked then, the next time from here. */
	int64_t outside_asked_us;
	uint32_t outside_start;
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

static void handle_free_owners(gpointer data)
{
	struct key_owners *o = data;

	g_free((char *)o->key.key);
	g_free((char *)o->key.domain);
	g_free(o);
}

static void handle_free_route(gpointer data)
{
	struct key_route *r = data;

	g_ptr_array_free(r->regions, TRUE);
	g_free(r);
}

static void forget_owners(struct token_exchange *x)
{
	g_hash_table_remove_all(x->routes);
	g_hash_table_remove_all(x->owners);
}

static void drop_old_owners(struct token_exchange *x)
{
	if (x->owners_generation == x->options.directory->generation)
		return;
	forget_owners(x);
	x->owners_generation = x->options.directory->generation;
}

static struct key_owners *get_owners(struct token_exchange *x,
				     const struct token_claim *c)
{
	struct token_key key = { c->key, c->domain };
	struct key_owners *known;

	drop_old_owners(x);
	known = g_hash_table_lookup(x->owners, &key);
	if (known)
		return known;
	known = g_new0(struct key_owners, 1);
	known->key.key = g_strdup(c->key);
	known->key.domain = g_strdup(c->domain);
	known->hosts = host_directory_rate_owners(x->options.directory, c->key,
						  c->domain);
	g_hash_table_insert(x->owners, &known->key, known);
	return known;
}

static struct token_region *find_region(struct token_exchange *x,
					const char *name)
{
	for (guint i = 0; i < x->regions->len; i++) {
		struct token_region *r =
			&g_array_index(x->regions, struct token_region, i);

		if (!strcmp(r->name, name))
			return r;
	}
	return NULL;
}

static struct token_region *get_region(struct token_exchange *x,
				       const char *name)
{
	struct token_region new = { .name = name };
	struct token_region *r = find_region(x, name);

	if (r)
		return r;
	g_array_append_val(x->regions, new);
	return find_region(x, name);
}

/* Notes which regions have hosts, and which had some since the last call. */
static void update_regions(struct token_exchange *x)
{
	struct host_directory *d = x->options.directory;
	GPtrArray *list;

	if (x->regions_generation == d->generation)
		return;
	x->regions_generation = d->generation;
	for (guint i = 0; i < x->regions->len; i++)
		g_array_index(x->regions, struct token_region, i).is_present =
			false;
	list = host_directory_list_regions(d);
	for (guint i = 0; i < list->len; i++)
		get_region(x, list->pdata[i])->is_present = true;
	g_ptr_array_free(list, TRUE);
	/* Also one that came and went since: its owners may still grant. */
	list = host_directory_take_left_regions(d);
	for (guint i = 0; i < list->len; i++)
		get_region(x, list->pdata[i])->left_us = now_us(x);
	g_ptr_array_free(list, TRUE);
}

/*
 * Returns the number of regions that divide the quotas. A new region counts at
 * once, since it begins to grant when all hosts that grant know it. One that is
 * gone counts until its owners have stopped, which this host knows only if it
 * had contact for all of that time, and until their tokens have lapsed.
 */
static uint32_t count_regions(struct token_exchange *x)
{
	int64_t joined = token_owner_joined_us(x->owner);
	int64_t now = now_us(x);
	uint32_t count = 0;

	if (x->options.is_alone)
		return 1;
	update_regions(x);
	for (guint i = 0; i < x->regions->len;) {
		const struct token_region *r =
			&g_array_index(x->regions, struct token_region, i);

		if (!r->is_present &&
		    now - MAX(r->left_us, joined) >= REGION_KEPT_US) {
			g_array_remove_index_fast(x->regions, i);
			continue;
		}
		count++;
		i++;
	}
	if (count != x->region_count)
		event_log(EV_TOKEN_REGIONS, "host=%s regions=%u before=%u",
			  x->options.directory->self, count, x->region_count);
	x->region_count = count;
	return MAX(count, 1);
}

struct ordered_region {
	const char *name;
	bool is_other;
	uint64_t hash;
};

static gint compare_regions(gconstpointer a, gconstpointer b)
{
	const struct ordered_region *x = a;
	const struct ordered_region *y = b;

	if (x->is_other != y->is_other)
		return x->is_other ? 1 : -1;
	return x->hash < y->hash ? -1 : x->hash > y->hash;
}

/* Returns the regions with hosts, of struct ordered_region, in their order. */
static GArray *order_regions(struct token_exchange *x, uint64_t key_hash)
{
	struct host_directory *d = x->options.directory;
	const char *own = host_directory_rate_region(d, d->leaves->domain);
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct ordered_region));

	update_regions(x);
	for (guint i = 0; i < x->regions->len; i++) {
		const struct token_region *r =
			&g_array_index(x->regions, struct token_region, i);
		struct ordered_region o = {
			.name = r->name,
			.is_other = strcmp(r->name, own) != 0,
			.hash = hash_pair(hash_string(r->name, 0), key_hash),
		};

		if (r->is_present)
			g_array_append_val(list, o);
	}
	g_array_sort(list, compare_regions);
	return list;
}

static struct key_route *get_route(struct token_exchange *x,
				   const struct token_claim *c)
{
	struct key_route *known;
	GArray *list;

	drop_old_owners(x);
	known = g_hash_table_lookup(x->routes, c->key);
	if (known)
		return known;
	known = g_new0(struct key_route, 1);
	known->regions = g_ptr_array_new();
	g_hash_table_insert(x->routes, g_strdup(c->key), known);
	if (c->limit.is_cold_leaf) {
		g_ptr_array_add(known->regions,
				(gpointer)g_intern_string(c->domain));
		return known;
	}
	list = order_regions(x, hash_string(c->key, 0));
	for (guint i = 0; i < list->len; i++)
		g_ptr_array_add(
			known->regions,
			(gpointer)g_array_index(list, struct ordered_region, i)
				.name);
	g_array_free(list, TRUE);
	return known;
}

/*
 * Returns whether this host's cache has tokens of a key: of quotas, since
 * callers mostly stay with a host. The rate of a cold leaf is too low for
 * tokens that nobody uses. The owner itself needs none.
 */
static bool has_cache(struct token_exchange *x, const struct token_claim *c)
{
	const struct key_route *r;
	struct token_claim own = *c;

	if (x->options.is_alone || c->limit.is_cold_leaf)
		return false;
	r = get_route(x, c);
	if (!r->regions->len)
		return false;
	own.domain = r->regions->pdata[0];
	return !is_self(x, get_owners(x, &own)->hosts.first);
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

/*
 * Returns whether a claim may be granted here. Only hosts of a region grant its
 * part: while it has none, or new ones that do not grant yet, other regions may
 * divide the quota without it.
 */
static bool may_answer(struct token_exchange *x, const struct token_claim *c)
{
	const struct host_directory *d = x->options.directory;

	return x->options.is_alone || c->limit.is_cold_leaf ||
	       !strcmp(c->domain,
		       host_directory_rate_region(d, d->leaves->domain));
}

static void update_limit(struct token_exchange *x, struct token_claim *c)
{
	if (x->options.ops->update_limit)
		x->options.ops->update_limit(x->options.ctx, c->key, &c->limit);
}

/*
 * An owner whose bucket is nearly empty holds some tokens of other regions in
 * its cache: a host that had to claim them itself would wait for two answers.
 */
static void add_lent(struct token_exchange *x, const struct token_claim *c,
		     struct token_grant *g)
{
	struct token_claim rest = *c;
	struct token_grant lent;

	if (!g->is_low || c->wanted > LENT_MAX ||
	    c->kind == TOKEN_CLAIM_STANDING || c->limit.is_cold_leaf ||
	    x->options.is_alone || get_route(x, c)->regions->len < 2 ||
	    !is_self(x, get_owners(x, c)->hosts.first))
		return;
	rest.wanted -= MIN(g->tokens, rest.wanted);
	token_cache_claim(x->cache, &rest, lease_now(x), &lent);
	if (!lent.tokens)
		return;
	g->tokens += lent.tokens;
	g->retry_us = 0;
	/* The bucket does not take tokens of another one back. */
	g->ticket = 0;
}

static void note_outside(struct token_exchange *x, int64_t at)
{
	if (at - x->outside_us > TOKEN_CONTACT_US)
		x->outside_since_us = at;
	x->outside_us = MAX(x->outside_us, at);
}

/*
 * Returns what this host may grant of a quota. A region that is cut off from
 * the store and from all others may not learn that they divide the quota
 * without it: its hosts only find that none of them has the store.
 */
static enum token_part quota_part(struct token_exchange *x,
				  const struct token_claim *c, int64_t *since)
{
	enum token_part part = own_part(x, c, since);
	int64_t now = now_us(x);
	int64_t from = 0;

	if (c->limit.is_cold_leaf || c->limit.regions < 2)
		return part;
	note_outside(x, token_owner_store_us(x->owner));
	if (x->outside_since_us)
		from = x->outside_since_us + TOKEN_JOIN_US;
	*since = MAX(*since, from);
	if (now < from || now - x->outside_us > TOKEN_CONTACT_US)
		return TOKEN_PART_NONE;
	return part;
}

static struct token_grant answer_claim(struct token_exchange *x,
				       const struct token_claim *c)
{
	struct token_claim claim = *c;
	enum token_part part = TOKEN_PART_NONE;
	struct token_grant g;
	int64_t since = 0;

	update_limit(x, &claim);
	if (!claim.limit.is_cold_leaf)
		claim.limit.regions = count_regions(x);
	if (may_answer(x, &claim))
		part = quota_part(x, &claim, &since);
	token_pool_claim(x->pool, &claim, part, since, now_us(x), &g);
	add_lent(x, &claim, &g);
	return g;
}

/* Keeps a grant to this host until token_exchange_deliver_own(). */
static void queue_own_grant(struct token_exchange *x, struct token_grant g)
{
	g.key = g_strdup(g.key);
	g_array_append_val(x->own_grants, g);
}

/* Answers a claim of single tokens; returns whether the cache has them. */
static bool take_cached(struct token_exchange *x, struct token_claim *c)
{
	struct token_claim claim = *c;
	struct token_grant g;

	c->kind = TOKEN_CLAIM_USE;
	if (!has_cache(x, &claim))
		return false;
	update_limit(x, &claim);
	token_cache_claim(x->cache, &claim, lease_now(x), &g);
	if (g.is_elsewhere)
		return false;
	queue_own_grant(x, g);
	return true;
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

/* While this host does not hear of the store, it asks for other regions. */
static void ask_outside(struct token_exchange *x)
{
	struct host_directory *d = x->options.directory;
	const char *own = host_directory_rate_region(d, d->leaves->domain);
	int64_t now = now_us(x);
	uint32_t left = OUTSIDE_HOSTS;
	uint32_t skipped = 0;
	GHashTableIter iter;
	gpointer value;

	if (!token_pool_count(x->pool) ||
	    now - token_owner_store_us(x->owner) <= OUTSIDE_NEWS_US ||
	    now - x->outside_asked_us < OUTSIDE_INTERVAL_US)
		return;
	x->outside_asked_us = now;
	/* Others each time, since some may not run any more. */
	x->outside_start = (x->outside_start + OUTSIDE_HOSTS) %
			   MAX(g_hash_table_size(d->hosts), 1);
	for (int round = 0; round < 2 && left; round++) {
		g_hash_table_iter_init(&iter, d->hosts);
		while (left && g_hash_table_iter_next(&iter, NULL, &value)) {
			struct known_host *h = value;

			if (!round && skipped++ < x->outside_start)
				continue;
			if (!strcmp(h->rate_region, own))
				continue;
			probe_owner(x, h);
			left--;
		}
	}
}

static void keep_links(struct token_exchange *x, const char *region,
		       guint *left)
{
	GPtrArray *owners =
		host_directory_strongest(x->options.directory, region);
	int64_t now = now_us(x);

	for (guint i = 0; i < owners->len && *left; i++, --*left) {
		struct known_host *h = owners->pdata[i];

		if (!h->tokens_sent_us ||
		    now - h->tokens_sent_us >= LINK_INTERVAL_US)
			probe_owner(x, h);
	}
	g_ptr_array_free(owners, TRUE);
}

void token_exchange_keep_links(struct token_exchange *x)
{
	GArray *regions = order_regions(x, 0);
	guint left = LINKED_OWNERS_MAX;

	for (guint i = 0; i < regions->len && left; i++)
		keep_links(
			x,
			g_array_index(regions, struct ordered_region, i).name,
			&left);
	g_array_free(regions, TRUE);
}

static bool is_slow(const struct token_exchange *x, const struct known_host *h)
{
	return !is_self(x, h) && h->tokens_asked_us &&
	       now_us(x) - h->tokens_asked_us >= SLOW_US;
}

static void note_silent(struct token_exchange *x, const char *key,
			struct known_host *h)
{
	int64_t silent_us = now_us(x) - h->tokens_asked_us;

	if (is_silent(h, now_us(x)) && !h->is_token_silence_logged) {
		event_log(EV_TOKEN_OWNER_LOST, "key=%s host=%s silent_ms=%lld",
			  key, h->record.name,
			  (long long)(silent_us / US_PER_MS));
		h->is_token_silence_logged = true;
	}
	probe_owner(x, h);
}

/* Returns the owner from which to claim in one region, or NULL. */
static struct known_host *choose_owner(struct token_exchange *x,
				       const struct key_owners *o)
{
	struct known_host *first = o->hosts.first;
	int64_t now = now_us(x);

	if (!first || !o->hosts.second)
		return first;
	if (now < o->avoid_first_until_us)
		return o->hosts.second;
	if (is_self(x, first) || !is_silent(first, now))
		return first;
	note_silent(x, o->key.key, first);
	return o->hosts.second;
}

static struct key_owners *route_owners(struct token_exchange *x,
				       const struct key_route *r,
				       const struct token_claim *c, guint i)
{
	struct token_claim claim = { .key = c->key,
				     .domain = r->regions->pdata[i] };

	return get_owners(x, &claim);
}

static struct known_host *ask(const struct token_exchange *x,
			      struct key_route *r, struct token_claim *c,
			      struct key_owners *o, struct known_host *h)
{
	c->domain = o->key.domain;
	r->asked = o;
	r->asked_at_us = now_us(x);
	r->is_second_asked = h != o->hosts.first;
	return h;
}

/*
 * Returns when the first owner, or the second one, of a region can be asked;
 * INT64_MAX if that depends on an answer that is late.
 */
static int64_t first_from(const struct token_exchange *x,
			  const struct key_owners *o)
{
	if (is_slow(x, o->hosts.first))
		return INT64_MAX;
	return MAX(o->avoid_first_until_us, o->first_empty_until_us);
}

static bool is_lost(const struct token_exchange *x, const struct key_owners *o)
{
	return is_slow(x, o->hosts.first) ||
	       now_us(x) < o->avoid_first_until_us;
}

static int64_t second_from(const struct token_exchange *x,
			   const struct key_owners *o)
{
	const struct known_host *second = o->hosts.second;

	return second && !is_slow(x, second) ? o->avoid_second_until_us
					     : INT64_MAX;
}

/*
 * Returns whether second owners may be asked: while the first owner of a region
 * does not grant. At other times they would only add messages.
 */
static bool uses_seconds(struct token_exchange *x, const struct key_route *r,
			 const struct token_claim *c)
{
	for (guint i = 0; i < r->regions->len; i++) {
		if (is_lost(x, route_owners(x, r, c, i)))
			return true;
	}
	return false;
}

/*
 * Chooses among the owners of all regions: the first owners in the order of the
 * regions, then the second owners.
 */
static struct known_host *choose_region(struct token_exchange *x,
					struct key_route *r,
					struct token_claim *c)
{
	int64_t now = now_us(x);
	struct key_owners *o;

	for (guint i = 0; i < r->regions->len; i++) {
		o = route_owners(x, r, c, i);
		if (now >= first_from(x, o))
			return ask(x, r, c, o, o->hosts.first);
		if (is_slow(x, o->hosts.first))
			note_silent(x, c->key, o->hosts.first);
	}
	for (guint i = 0; i < r->regions->len && uses_seconds(x, r, c); i++) {
		o = route_owners(x, r, c, i);
		if (now >= second_from(x, o))
			return ask(x, r, c, o, o->hosts.second);
	}
	o = route_owners(x, r, c, 0);
	return ask(x, r, c, o, choose_owner(x, o));
}

/*
 * Returns the owners that fill this host's cache: those of its region, which
 * know the tokens that were used, or those of another one if it is the owner.
 */
static struct key_owners *choose_lender(struct token_exchange *x,
					const struct key_route *r,
					struct token_claim *c)
{
	struct key_owners *o = route_owners(x, r, c, 0);

	if (r->regions->len < 2 || !is_self(x, o->hosts.first))
		return o;
	c->wanted = MAX(c->wanted, LENT_MAX);
	return route_owners(x, r, c, 1 + r->lender % (r->regions->len - 1));
}

/* Returns the host to which a claim goes, or NULL if none is known. */
static struct known_host *choose_host(struct token_exchange *x,
				      struct token_claim *c)
{
	struct key_route *r = get_route(x, c);
	struct key_owners *o;

	if (!r->regions->len)
		return NULL;
	if (c->kind == TOKEN_CLAIM_STANDING) {
		o = choose_lender(x, r, c);
		c->domain = o->key.domain;
		return choose_owner(x, o);
	}
	if (r->regions->len > 1)
		return choose_region(x, r, c);
	o = route_owners(x, r, c, 0);
	return ask(x, r, c, o, choose_owner(x, o));
}

static void handle_free_claims(gpointer data)
{
	g_array_free(data, TRUE);
}

static void add_claims(struct token_exchange *x, GHashTable *by_host,
		       const GArray *claims)
{
	for (guint i = 0; i < claims->len; i++) {
		struct token_claim c =
			g_array_index(claims, struct token_claim, i);
		struct known_host *h = NULL;
		GArray *of_host;

		if (c.kind == TOKEN_CLAIM_CACHED && take_cached(x, &c))
			continue;
		if (!x->options.is_alone)
			h = choose_host(x, &c);
		if (!h || is_self(x, h)) {
			queue_own_grant(x, answer_claim(x, &c));
			continue;
		}
		of_host = g_hash_table_lookup(by_host, h);
		if (!of_host) {
			of_host = g_array_new(FALSE, FALSE, sizeof(c));
			g_hash_table_insert(by_host, h, of_host);
		}
		g_array_append_val(of_host, c);
	}
}

/* Sends claims, and those of the cache that are due, in one frame a host. */
static void send_all_claims(struct token_exchange *x, const GArray *claims)
{
	GHashTable *by_host =
		g_hash_table_new_full(NULL, NULL, NULL, handle_free_claims);
	GHashTableIter iter;
	GArray *cached;
	gpointer host;
	gpointer list;

	if (claims)
		add_claims(x, by_host, claims);
	cached = token_cache_take_claims(x->cache, lease_now(x));
	if (cached) {
		add_claims(x, by_host, cached);
		g_array_free(cached, TRUE);
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
	note_outside(x, token_owner_store_us(x->owner));
	ask_outside(x);
	if (token_cache_next_claim(x->cache) <= now_us(x))
		send_all_claims(x, NULL);
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
 * Sets the time until one of the owners of all regions can be asked, and the
 * time that its answer will take.
 */
static void set_retry(struct token_exchange *x, const struct key_route *r,
		      struct token_grant *g)
{
	struct token_claim c = { .key = g->key };
	bool has_seconds = uses_seconds(x, r, &c);
	int64_t best = INT64_MAX;

	for (guint i = 0; i < r->regions->len; i++) {
		const struct key_owners *o = route_owners(x, r, &c, i);
		int64_t from = first_from(x, o);

		if (has_seconds)
			from = MIN(from, second_from(x, o));
		from = MAX(from, now_us(x));
		if (from >= best)
			continue;
		best = from;
		g->next_answer_us = o->answer_us;
	}
	g->retry_us = best == INT64_MAX ? SLOW_US : best - now_us(x);
}

/*
 * Notes that an owner has too few tokens or may not grant: the next claim goes
 * to another region at once, or waits until an owner can be asked.
 */
static void note_regions(struct token_exchange *x, struct key_route *r,
			 struct token_grant *g)
{
	struct key_owners *o = r->asked;
	int64_t wait = g->retry_us;
	int64_t now = now_us(x);

	o->answer_us = now - r->asked_at_us;
	if (!g->is_elsewhere && !wait)
		return;
	if (!g->tokens && !g->is_elsewhere &&
	    strcmp(o->key.domain, r->regions->pdata[0]) != 0)
		wait = MIN(wait * EMPTY_REGION_FACTOR, EMPTY_REGION_MAX_US);
	if (r->is_second_asked)
		o->avoid_second_until_us = now + wait;
	else if (g->is_elsewhere)
		o->avoid_first_until_us = now + ELSEWHERE_US;
	else
		o->first_empty_until_us = now + wait;
	set_retry(x, r, g);
}

/*
 * If the first owner may not grant, the next claim goes to the second one at
 * once. If that is this host or may not grant either, it waits.
 */
static void note_elsewhere(struct token_exchange *x, struct key_owners *o,
			   const struct known_host *from, struct token_grant *g)
{
	int64_t now = now_us(x);

	if (!g->is_elsewhere || from != o->hosts.first || !o->hosts.second ||
	    now < o->avoid_first_until_us)
		return;
	o->avoid_first_until_us = now + ELSEWHERE_US;
	g->retry_us = 0;
}

/* If another region has no tokens for the cache, the next one is asked. */
static void note_lender(struct token_exchange *x, struct key_route *r,
			struct token_grant *g)
{
	struct token_claim c = { .key = g->key };

	if (r->regions->len < 2 ||
	    !is_self(x, route_owners(x, r, &c, 0)->hosts.first))
		return;
	if (g->tokens) {
		r->empty_lenders = 0;
		return;
	}
	r->lender++;
	r->empty_lenders++;
	if (r->empty_lenders % (r->regions->len - 1))
		g->retry_us = 0;
}

static void deliver(struct token_exchange *x, const struct known_host *from,
		    struct token_grant g)
{
	struct key_route *r;

	drop_old_owners(x);
	r = g_hash_table_lookup(x->routes, g.key);
	if (g.is_standing) {
		if (r)
			note_lender(x, r, &g);
		token_cache_apply_grant(x->cache, &g, lease_now(x));
		return;
	}
	if (r && r->asked && from && r->regions->len == 1)
		note_elsewhere(x, r->asked, from, &g);
	else if (r && r->asked && from &&
		 from == (r->is_second_asked ? r->asked->hosts.second
					     : r->asked->hosts.first))
		note_regions(x, r, &g);
	x->options.ops->deliver_grant(x->options.ctx, &g);
}

static void note_answer(struct token_exchange *x, const struct known_host *h)
{
	const struct host_directory *d = x->options.directory;

	if (h->rate_region != host_directory_rate_region(d, d->leaves->domain))
		note_outside(x, now_us(x));
}

void token_exchange_handle_grants(struct token_exchange *x, const char *address,
				  const GArray *grants)
{
	struct known_host *h =
		host_directory_find(x->options.directory, address);

	if (h) {
		h->tokens_asked_us = 0;
		h->is_token_silence_logged = false;
		note_answer(x, h);
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
		forget_owners(x);
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
	x->owners = g_hash_table_new_full(token_key_hash, token_key_equal, NULL,
					  handle_free_owners);
	x->routes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  handle_free_route);
	x->regions = g_array_new(FALSE, FALSE, sizeof(struct token_region));
	x->regions_generation = UINT64_MAX;
	x->outside_us = now_us(x);
	x->own_grants = g_array_new(FALSE, FALSE, sizeof(struct token_grant));
	x->owner = token_owner_create(&owner_options);
	return x;
}

void token_exchange_free(struct token_exchange *x)
{
	token_pool_free(x->pool);
	token_cache_free(x->cache);
	g_hash_table_destroy(x->routes);
	g_hash_table_destroy(x->owners);
	g_array_free(x->regions, TRUE);
	free_own_grants(x->own_grants);
	token_owner_free(x->owner);
	g_free(x);
}
