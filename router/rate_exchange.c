#include "router/rate_exchange.h"

#include <string.h>

#include "common/events.h"

/* A host that has not answered a claim for this time counts as silent. */
#define SILENT_US (500 * US_PER_MS)
/* Shares that a host has granted have lapsed after it was silent for so long. */
#define LAPSED_US (1200 * US_PER_MS)
/* Interval of the empty claims that find out whether a host answers. */
#define PROBE_INTERVAL_US (250 * US_PER_MS)
/*
 * Part of a limit that the second owner divides while the first one answers it.
 * The first one divides the whole limit among the hosts that reach it.
 */
#define SECOND_OWNER_PART 0.25

/* Keys whose owners are kept; the table is emptied beyond that. */
#define OWNERS_MAX 1024

struct rate_exchange {
	struct rate_exchange_options options;
	/** Division of the limits that this host owns. */
	struct rate_shares *shares;
	/**
	 * Of struct rate_grant: answers to this host's own claims. Their key
	 * is a copy.
	 */
	GArray *own_grants;
	/** Of struct rate_owners by key, for one generation of the directory. */
	GHashTable *owners;
	uint64_t owners_generation;
};

static bool is_self(const struct rate_exchange *x, const struct known_host *h)
{
	return host_directory_is_self(x->options.directory, h);
}

/* Returns the owners of a key, computed once while no host changes. */
static struct rate_owners get_owners(struct rate_exchange *x,
				     const struct rate_claim *c)
{
	struct host_directory *d = x->options.directory;
	struct rate_owners *known;

	if (x->owners_generation != d->generation) {
		g_hash_table_remove_all(x->owners);
		x->owners_generation = d->generation;
	}
	known = g_hash_table_lookup(x->owners, c->key);
	if (known)
		return *known;
	known = g_new(struct rate_owners, 1);
	*known = host_directory_rate_owners(d, c->key, c->domain);
	g_hash_table_insert(x->owners, g_strdup(c->key), known);
	return *known;
}

static bool is_silent(const struct known_host *h, int64_t us, int64_t now)
{
	return h->rates_asked_us && now - h->rates_asked_us >= us;
}

static void send_claims(struct rate_exchange *x, struct known_host *h,
			const GArray *claims)
{
	if (!h->rates_asked_us)
		h->rates_asked_us = clock_now(&x->options.clock);
	x->options.ops->send_claims(x->options.ctx, h->record.address, claims);
}

/* Sends an empty list of claims to learn whether a host answers. */
static void probe_owner(struct rate_exchange *x, struct known_host *h)
{
	int64_t now = clock_now(&x->options.clock);
	GArray *claims;

	if (now - h->rates_probed_us < PROBE_INTERVAL_US)
		return;
	h->rates_probed_us = now;
	claims = g_array_new(FALSE, FALSE, sizeof(struct rate_claim));
	send_claims(x, h, claims);
	g_array_free(claims, TRUE);
}

/*
 * Returns whether the first owner is lost: it answers neither this host nor the
 * third host that asks this one. One lost link is no sign of that.
 */
static bool is_owner_lost(const struct known_host *h, int64_t now)
{
	return is_silent(h, LAPSED_US, now) && h->rates_missed_us &&
	       now - h->rates_missed_us < LAPSED_US;
}

/* Returns the part of a limit that this host may divide. */
static double own_part(struct rate_exchange *x, const struct rate_claim *c,
		       bool is_own_claim)
{
	int64_t now = clock_now(&x->options.clock);
	struct rate_owners owners = get_owners(x, c);

	if (x->options.is_alone || (owners.first && is_self(x, owners.first)))
		return 1;
	if (!owners.first || !owners.second || !is_self(x, owners.second))
		return 0;
	if (!is_own_claim)
		owners.first->rates_missed_us = now;
	probe_owner(x, owners.first);
	return is_owner_lost(owners.first, now) ? 1 : SECOND_OWNER_PART;
}

static struct rate_grant answer_claim(struct rate_exchange *x, const char *host,
				      const struct rate_claim *c)
{
	bool is_own_claim = !strcmp(host, x->options.directory->self);
	struct rate_grant g;

	rate_shares_claim(x->shares, host, c, own_part(x, c, is_own_claim),
			  clock_now(&x->options.clock), &g);
	return g;
}

/* The key may be freed before the grant is delivered. */
static void queue_own_grant(struct rate_exchange *x, const struct rate_claim *c)
{
	struct rate_grant g = answer_claim(x, x->options.directory->self, c);

	g.key = g_strdup(g.key);
	g_array_append_val(x->own_grants, g);
}

static void log_silence(struct known_host *h, const char *key, int64_t now)
{
	if (h->is_silence_logged)
		return;
	h->is_silence_logged = true;
	event_log(EV_RATE_OWNER_LOST, "key=%s host=%s silent_ms=%lld", key,
		  h->record.name,
		  (long long)((now - h->rates_asked_us) / US_PER_MS));
}

/* Returns the host from which to claim a share, or NULL if none answers. */
static struct known_host *choose_owner(struct rate_exchange *x,
				       const struct rate_claim *c)
{
	struct rate_owners owners = get_owners(x, c);
	struct known_host *const list[] = { owners.first, owners.second };
	int64_t now = clock_now(&x->options.clock);

	for (size_t i = 0; i < G_N_ELEMENTS(list) && list[i]; i++) {
		if (is_self(x, list[i]) || !is_silent(list[i], SILENT_US, now))
			return list[i];
		log_silence(list[i], c->key, now);
		probe_owner(x, list[i]);
	}
	return NULL;
}

static void handle_free_claims(gpointer data)
{
	g_array_free(data, TRUE);
}

static void add_claim(GHashTable *by_host, struct known_host *h,
		      const struct rate_claim *c)
{
	GArray *claims = g_hash_table_lookup(by_host, h);

	if (!claims) {
		claims = g_array_new(FALSE, FALSE, sizeof(*c));
		g_hash_table_insert(by_host, h, claims);
	}
	g_array_append_vals(claims, c, 1);
}

void rate_exchange_claim(struct rate_exchange *x,
			 const struct rate_claim *claims, uint32_t count)
{
	GHashTable *by_host =
		g_hash_table_new_full(NULL, NULL, NULL, handle_free_claims);
	GHashTableIter iter;
	gpointer host;
	gpointer list;

	for (uint32_t i = 0; i < count; i++) {
		struct known_host *h = choose_owner(x, &claims[i]);

		if (x->options.is_alone || (h && is_self(x, h)))
			queue_own_grant(x, &claims[i]);
		else if (h)
			add_claim(by_host, h, &claims[i]);
	}
	g_hash_table_iter_init(&iter, by_host);
	while (g_hash_table_iter_next(&iter, &host, &list))
		send_claims(x, host, list);
	g_hash_table_destroy(by_host);
}

GArray *rate_exchange_answer(struct rate_exchange *x, const char *address,
			     const GArray *claims)
{
	GArray *grants = g_array_new(FALSE, FALSE, sizeof(struct rate_grant));

	for (guint i = 0; i < claims->len; i++) {
		struct rate_grant g = answer_claim(
			x, address,
			&g_array_index(claims, struct rate_claim, i));

		g_array_append_val(grants, g);
	}
	return grants;
}

static void deliver_grants(struct rate_exchange *x, const GArray *grants)
{
	for (guint i = 0; i < grants->len; i++)
		x->options.ops->deliver_grant(
			x->options.ctx,
			&g_array_index(grants, struct rate_grant, i));
}

void rate_exchange_handle_grants(struct rate_exchange *x, const char *address,
				 const GArray *grants)
{
	struct known_host *h =
		host_directory_find(x->options.directory, address);

	if (h) {
		h->rates_asked_us = 0;
		h->is_silence_logged = false;
	}
	deliver_grants(x, grants);
}

static void free_own_grants(GArray *grants)
{
	for (guint i = 0; i < grants->len; i++)
		g_free((char *)g_array_index(grants, struct rate_grant, i).key);
	g_array_free(grants, TRUE);
}

void rate_exchange_deliver_own(struct rate_exchange *x)
{
	GArray *grants = x->own_grants;

	if (!grants->len)
		return;
	/* A grant lets waiting requests start, which may claim again. */
	x->own_grants = g_array_new(FALSE, FALSE, sizeof(struct rate_grant));
	deliver_grants(x, grants);
	free_own_grants(grants);
}

void rate_exchange_note_closed(struct rate_exchange *x, const char *address,
			       bool is_undelivered)
{
	struct known_host *h =
		host_directory_find(x->options.directory, address);
	int64_t silent_us = clock_now(&x->options.clock) - SILENT_US;

	if (!h || !h->rates_asked_us)
		return;
	h->rates_asked_us = is_undelivered ? MIN(h->rates_asked_us, silent_us)
					   : 0;
}

void rate_exchange_sweep(struct rate_exchange *x)
{
	rate_shares_sweep(x->shares, clock_now(&x->options.clock));
	if (g_hash_table_size(x->owners) > OWNERS_MAX)
		g_hash_table_remove_all(x->owners);
}

struct rate_exchange *
rate_exchange_create(const struct rate_exchange_options *options)
{
	struct rate_exchange *x = g_new0(struct rate_exchange, 1);

	x->options = *options;
	x->shares = rate_shares_create();
	x->owners =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	x->own_grants = g_array_new(FALSE, FALSE, sizeof(struct rate_grant));
	return x;
}

void rate_exchange_free(struct rate_exchange *x)
{
	rate_shares_free(x->shares);
	g_hash_table_destroy(x->owners);
	free_own_grants(x->own_grants);
	g_free(x);
}
