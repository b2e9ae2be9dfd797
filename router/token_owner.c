#include "router/token_owner.h"

#include <string.h>

#include "common/events.h"
#include "common/hash.h"

/* A host that has not heard of the store for this time asks others about it. */
#define STORE_NEWS_US (2200 * US_PER_MS)
#define WITNESS_INTERVAL_US (250 * US_PER_MS)
#define WITNESSES 3
/* If one of the hosts that are asked has the store, the others do not count. */
#define STORE_ELSEWHERE_US (300 * US_PER_MS)
/*
 * Interval at which hosts are asked for their views, and the most hosts: each
 * needs a link.
 */
#define VIEWS_INTERVAL_US (250 * US_PER_MS)
#define VIEWS_HOSTS_MAX 256
/*
 * Hosts that are gone are kept for this time: a bucket that is created later
 * was not filled before they had gone.
 */
#define GONE_KEPT_US (60 * US_PER_S)

struct dated_host {
	struct gone_host host;
	int64_t at_us;
};

struct token_owner {
	struct token_owner_options options;
	/** This host holds buckets of keys. */
	bool has_granted;
	/** Of struct dated_host, the earliest first. */
	GArray *gone;
	/** This host has had contact and its record since then. */
	int64_t joined_us;
	int64_t contact_us;
	/** Last sign of the store, and that another host has it. */
	int64_t store_us;
	int64_t store_elsewhere_us;
	int64_t witnesses_asked_us;
	uint32_t witness_start;
	/** All hosts had the same records at that time; 0 if not yet. */
	int64_t confirmed_us;
	/** Hash of the records, for one generation of the directory. */
	uint64_t view_hash;
	uint64_t view_generation;
	/** Addresses of the hosts that have stated the same hash. */
	GHashTable *agreeing;
	int64_t views_asked_us;
	bool is_stopping;
	/** Last call of token_owner_advance(). */
	struct lease_time advanced;
};

static int64_t now_us(const struct token_owner *o)
{
	return clock_now(&o->options.clock);
}

static bool is_self(const struct token_owner *o, const struct known_host *h)
{
	return host_directory_is_self(o->options.directory, h);
}

static struct lease_time lease_now(const struct token_owner *o)
{
	return (struct lease_time){ now_us(o), clock_boot(&o->options.clock) };
}

static void join_anew(struct token_owner *o, int64_t now, const char *reason)
{
	/* Of no interest before it has joined, or if it has granted nothing. */
	if (now - o->joined_us >= TOKEN_JOIN_US && o->has_granted)
		event_log(EV_TOKEN_OWNER_JOINS,
			  "host=%s reason=%s contact_ms=%lld",
			  o->options.directory->self, reason,
			  (long long)((now - o->contact_us) / US_PER_MS));
	o->joined_us = now;
	o->confirmed_us = 0;
	g_hash_table_remove_all(o->agreeing);
}

static bool has_store(const struct token_owner *o, int64_t now)
{
	return now - o->store_us <= STORE_NEWS_US;
}

/* Returns whether a host has left the records within TOKEN_JOIN_US. */
static bool has_gone(const struct token_owner *o, int64_t now)
{
	const struct dated_host *last;

	if (!o->gone->len)
		return false;
	last = &g_array_index(o->gone, struct dated_host, o->gone->len - 1);
	return now - last->at_us < TOKEN_JOIN_US;
}

/* Computes the hash of the records; their order does not matter. */
static void update_view(struct token_owner *o)
{
	struct host_directory *d = o->options.directory;
	GHashTableIter iter;
	gpointer value;

	if (o->view_generation == d->generation)
		return;
	o->view_generation = d->generation;
	o->view_hash = 0;
	g_hash_table_remove_all(o->agreeing);
	g_hash_table_iter_init(&iter, d->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct known_host *h = value;

		o->view_hash += hash_pair(h->name_hash,
					  hash_string(h->record.address, 0));
	}
}

static void send_view(struct token_owner *o, const char *address,
		      bool is_answer)
{
	struct token_view view = { .hash = o->view_hash,
				   .has_gone = has_gone(o, now_us(o)),
				   .has_store = has_store(o, now_us(o)),
				   .is_answer = is_answer };

	o->options.send_view(o->options.ctx, address, &view);
}

/* Asks the other hosts for their views, so that this one need not wait. */
static void ask_views(struct token_owner *o)
{
	struct host_directory *d = o->options.directory;
	int64_t now = now_us(o);
	GHashTableIter iter;
	gpointer value;

	if (!o->options.send_view || o->confirmed_us ||
	    now - o->views_asked_us < VIEWS_INTERVAL_US ||
	    g_hash_table_size(d->hosts) > VIEWS_HOSTS_MAX || has_gone(o, now))
		return;
	o->views_asked_us = now;
	update_view(o);
	g_hash_table_iter_init(&iter, d->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct known_host *h = value;

		if (!is_self(o, h) &&
		    !g_hash_table_contains(o->agreeing, h->record.address))
			send_view(o, h->record.address, false);
	}
}

/* Notes whether a host has the same records; all must have stated it. */
static void note_view(struct token_owner *o, const char *address,
		      const struct token_view *view)
{
	struct host_directory *d = o->options.directory;
	int64_t now = now_us(o);

	if (view->hash != o->view_hash || view->has_gone || has_gone(o, now) ||
	    !host_directory_find(d, address) || o->confirmed_us ||
	    !g_hash_table_contains(d->hosts, d->self))
		return;
	g_hash_table_add(o->agreeing, g_strdup(address));
	if (g_hash_table_size(o->agreeing) + 1 < g_hash_table_size(d->hosts))
		return;
	o->confirmed_us = now;
	event_log(EV_TOKEN_OWNER_JOINED, "host=%s hosts=%u after_ms=%lld",
		  d->self, g_hash_table_size(d->hosts),
		  (long long)((now - o->joined_us) / US_PER_MS));
}

void token_owner_stop(struct token_owner *o)
{
	o->is_stopping = true;
}

static void note_gone_hosts(struct token_owner *o, int64_t now)
{
	GArray *gone;
	guint old = 0;

	while (old < o->gone->len &&
	       now - g_array_index(o->gone, struct dated_host, old).at_us >=
		       GONE_KEPT_US)
		old++;
	if (old)
		g_array_remove_range(o->gone, 0, old);
	if (!o->options.directory->gone->len)
		return;
	gone = host_directory_take_gone(o->options.directory);
	for (guint i = 0; i < gone->len; i++) {
		struct dated_host d = {
			g_array_index(gone, struct gone_host, i), now
		};

		g_array_append_val(o->gone, d);
	}
	g_array_free(gone, TRUE);
}

/* Returns a host whose state tells whether the store is away for all. */
static bool is_witness(const struct token_owner *o,
		       const struct known_host *self,
		       const struct known_host *h, bool has_other_domain)
{
	return !is_self(o, h) &&
	       (!has_other_domain ||
		strcmp(h->record.domain, self->record.domain) != 0);
}

static bool has_other_domain(const struct token_owner *o,
			     const struct known_host *self)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, o->options.directory->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (is_witness(o, self, value, true))
			return true;
	}
	return false;
}

/* Asks some hosts of other failure domains whether the store is away for all. */
static void ask_witnesses(struct token_owner *o)
{
	struct host_directory *d = o->options.directory;
	const struct known_host *self = g_hash_table_lookup(d->hosts, d->self);
	uint32_t skipped = 0;
	uint32_t left = WITNESSES;
	GHashTableIter iter;
	gpointer value;
	bool is_far;

	o->witnesses_asked_us = now_us(o);
	if (!self)
		return;
	update_view(o);
	is_far = has_other_domain(o, self);
	/* Others each time, since some may not run any more. */
	o->witness_start = (o->witness_start + WITNESSES) %
			   MAX(g_hash_table_size(d->hosts), 1);
	for (int round = 0; round < 2 && left; round++) {
		g_hash_table_iter_init(&iter, d->hosts);
		while (left && g_hash_table_iter_next(&iter, NULL, &value)) {
			const struct known_host *h = value;

			if (!round && skipped++ < o->witness_start)
				continue;
			if (!is_witness(o, self, h, is_far))
				continue;
			send_view(o, h->record.address, false);
			left--;
		}
	}
}

static bool has_joined(const struct token_owner *o, int64_t now)
{
	return o->confirmed_us || now - o->joined_us >= TOKEN_JOIN_US;
}

void token_owner_advance(struct token_owner *o, bool has_granted)
{
	const struct host_directory *d = o->options.directory;
	struct lease_time now = lease_now(o);

	o->has_granted = has_granted;
	note_gone_hosts(o, now.monotonic_us);
	if (!g_hash_table_contains(d->hosts, d->self))
		join_anew(o, now.monotonic_us, "no_record");
	else if (now.boot_us - o->advanced.boot_us > TOKEN_PAUSE_US)
		join_anew(o, now.monotonic_us, "paused");
	else if (now.monotonic_us - o->contact_us > TOKEN_CONTACT_US)
		join_anew(o, now.monotonic_us, "no_contact");
	else if (!has_joined(o, now.monotonic_us) &&
		 now.monotonic_us - o->store_us > TOKEN_CONTACT_US)
		/* Its own record may not have reached the other hosts. */
		join_anew(o, now.monotonic_us, "no_store");
	if (o->has_granted && has_joined(o, now.monotonic_us) &&
	    o->options.send_view &&
	    now.monotonic_us - o->store_us > STORE_NEWS_US &&
	    now.monotonic_us - o->witnesses_asked_us > WITNESS_INTERVAL_US)
		ask_witnesses(o);
	o->advanced = now;
}

void token_owner_prepare(struct token_owner *o)
{
	const struct host_directory *d = o->options.directory;

	if (!has_joined(o, now_us(o)) &&
	    g_hash_table_contains(d->hosts, d->self))
		ask_views(o);
}

static void note_contact(struct token_owner *o, int64_t at_us)
{
	if (at_us - o->contact_us > TOKEN_CONTACT_US)
		join_anew(o, at_us, "no_contact");
	o->contact_us = MAX(o->contact_us, at_us);
}

void token_owner_note_store(struct token_owner *o, int64_t at_us)
{
	note_contact(o, at_us);
	o->store_us = MAX(o->store_us, at_us);
}

/*
 * While the store is away for all, the records do not change. If another host
 * has the store, this one's records may be old.
 */
static void note_witness(struct token_owner *o, const char *address,
			 const struct token_view *view)
{
	struct host_directory *d = o->options.directory;
	const struct known_host *self = g_hash_table_lookup(d->hosts, d->self);
	const struct known_host *h = host_directory_find(d, address);
	int64_t now = now_us(o);

	if (has_store(o, now) || !self || !h)
		return;
	if (view->has_store)
		o->store_elsewhere_us = now;
	else if (now - o->store_elsewhere_us > STORE_ELSEWHERE_US &&
		 is_witness(o, self, h, has_other_domain(o, self)))
		note_contact(o, now);
}

void token_owner_handle_view(struct token_owner *o, const char *address,
			     const struct token_view *view)
{
	token_owner_advance(o, o->has_granted);
	update_view(o);
	note_witness(o, address, view);
	if (view->is_answer)
		note_view(o, address, view);
	else
		send_view(o, address, true);
}

/* Returns the time from which no host before this one can grant any more. */
static int64_t charge_time(const struct token_owner *o,
			   const struct token_claim *c,
			   const struct known_host *self)
{
	int64_t from = o->joined_us + TOKEN_JOIN_US;

	if (o->confirmed_us)
		from = MIN(from, o->confirmed_us);
	for (guint i = 0; i < o->gone->len; i++) {
		const struct dated_host *d =
			&g_array_index(o->gone, struct dated_host, i);

		if (host_directory_was_before(o->options.directory, &d->host,
					      self, c->key, c->domain))
			from = MAX(from, d->at_us + TOKEN_JOIN_US);
	}
	return from;
}

enum token_part token_owner_part(struct token_owner *o,
				 const struct token_claim *c,
				 const struct rate_owners *owners,
				 int64_t *since)
{
	const struct known_host *first = owners->first;
	const struct known_host *second = owners->second;
	int64_t now = now_us(o);

	*since = o->joined_us;
	if (now - o->contact_us > TOKEN_CONTACT_US || !first || o->is_stopping)
		return TOKEN_PART_NONE;
	if (is_self(o, first)) {
		*since = charge_time(o, c, first);
		if (now < *since)
			ask_views(o);
		return now >= *since ? TOKEN_PART_ALL : TOKEN_PART_NONE;
	}
	if (!second || !is_self(o, second))
		return TOKEN_PART_NONE;
	*since = charge_time(o, c, second);
	return now >= *since ? TOKEN_PART_SECOND : TOKEN_PART_NONE;
}

struct token_owner *
token_owner_create(const struct token_owner_options *options)
{
	struct token_owner *o = g_new0(struct token_owner, 1);

	o->options = *options;
	o->gone = g_array_new(FALSE, FALSE, sizeof(struct dated_host));
	o->agreeing =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	o->view_generation = UINT64_MAX;
	o->joined_us = now_us(o);
	o->contact_us = o->joined_us;
	o->store_us = o->joined_us;
	o->store_elsewhere_us = o->joined_us - STORE_ELSEWHERE_US;
	o->advanced = (struct lease_time){ o->joined_us,
					   clock_boot(&options->clock) };
	return o;
}

void token_owner_free(struct token_owner *o)
{
	g_array_free(o->gone, TRUE);
	g_hash_table_destroy(o->agreeing);
	g_free(o);
}
