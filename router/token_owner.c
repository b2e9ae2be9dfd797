#include "router/token_owner.h"

#include <string.h>

#include "common/events.h"
#include "common/hash.h"
#include "router/store_witness.h"

/* A host that has not heard of the store for this time asks others about it. */
#define STORE_NEWS_US (2200 * US_PER_MS)
#define WITNESS_INTERVAL_US (250 * US_PER_MS)
/*
 * Hosts agree that the store is lost if none has heard of it for this time. As
 * a watch takes 2.1 s, it was away for all for 3.1 s then, so that each host
 * has noticed a failed call.
 */
#define STORE_LOST_US (5200 * US_PER_MS)
/* Time for which a host with an old lease goes on after it knew of that. */
#define STORE_LOST_KEPT_US (2 * US_PER_S)
/*
 * A host that takes over the record of an earlier process does not know which
 * hosts before it have left. One of them may go on if the store was lost for
 * most, until 4 s after that.
 */
#define INHERIT_STEADY_US (5 * US_PER_S)
/* Answers that take longer do not count. */
#define ANSWER_MAX_US (1 * US_PER_S)
/* Longer gaps between news of the store are breaks of the contact. */
#define STEADY_GAP_US (4 * US_PER_S)
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
	/** This host had contact for a lease until then, without a break. */
	bool is_steady;
	/** From when the next host may grant; INT64_MAX if not known yet. */
	int64_t free_us;
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
	/** Last sign of the store; since when there was no break; 0 if none. */
	int64_t store_us;
	int64_t steady_us;
	/** The lease on the record, and the start of its last renewal. */
	uint64_t lease;
	struct lease_time renewed;
	/** Lease of an earlier process that had joined; 0 if there is none. */
	uint64_t inherited_lease;
	/** The mirror has all changes of the store until then. */
	int64_t mirror_us;
	/**
	 * This host had joined before a pause or a loss of contact, which began
	 * at a time by CLOCK_BOOTTIME and was last noticed at another one.
	 */
	bool is_resumable;
	int64_t break_boot_us;
	struct lease_time broken;
	struct token_handover *handover;
	/** When the mirror got this host's record; 0 if it has none. */
	int64_t record_us;
	struct store_witness *witness;
	int64_t witnesses_asked_us;
	/** Last time at which the hosts agreed that the store is lost. */
	int64_t store_lost_us;
	/** All hosts had the same records at that time; 0 if not yet. */
	int64_t confirmed_us;
	/**
	 * By then this host had waited and others had the store, or it resumed;
	 * or 0.
	 */
	int64_t proven_us;
	/** Rates are used, so that this host is to grant as soon as it may. */
	bool is_wanted;
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

/* Returns from when this host may grant, as far as it has waited itself. */
static int64_t join_time(const struct token_owner *o)
{
	if (o->confirmed_us)
		return o->confirmed_us;
	if (!o->options.is_leased)
		return o->joined_us + TOKEN_JOIN_US;
	return o->proven_us ? o->proven_us : INT64_MAX;
}

static bool has_joined(const struct token_owner *o, int64_t now)
{
	return now >= join_time(o);
}

static void join_anew(struct token_owner *o, int64_t now, const char *reason)
{
	/* Of no interest before it has joined, or if it has granted nothing. */
	if (has_joined(o, now) && o->has_granted)
		event_log(EV_TOKEN_OWNER_JOINS,
			  "host=%s reason=%s contact_ms=%lld",
			  o->options.directory->self, reason,
			  (long long)((now - o->contact_us) / US_PER_MS));
	o->joined_us = now;
	o->confirmed_us = 0;
	o->proven_us = 0;
	o->is_resumable = false;
	token_handover_clear(o->handover);
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

		o->view_hash +=
			hash_pair(hash_pair(h->name_hash,
					    hash_string(h->record.address, 0)),
				  h->record.lease);
	}
}

/* Returns for how long this host has had contact with the store. */
static int64_t steady_time(const struct token_owner *o)
{
	if (!o->steady_us || !has_store(o, now_us(o)))
		return 0;
	return o->store_us - o->steady_us;
}

/* question is the statement that this one answers, or NULL. */
static void send_view(struct token_owner *o, const char *address,
		      const struct token_view *question)
{
	struct token_view view = { .hash = o->view_hash,
				   .has_gone = has_gone(o, now_us(o)),
				   .has_store = has_store(o, now_us(o)),
				   .store_age_us = now_us(o) - o->store_us,
				   .store_steady_us = steady_time(o),
				   .is_deferring = token_handover_is_deferring(
					   o->handover, now_us(o)),
				   .is_answer = question != NULL,
				   .asked_us = question ? question->asked_us
							: now_us(o) };

	o->options.send_view(o->options.ctx, address, &view);
}

/*
 * Returns whether the mirror has the record that this process has written. The
 * one of an earlier process, or of an earlier lease, may be gone from the store.
 */
static bool has_own_record(const struct token_owner *o)
{
	const struct host_directory *d = o->options.directory;
	const struct known_host *self = g_hash_table_lookup(d->hosts, d->self);

	return self &&
	       (!o->options.is_leased || self->record.lease == o->lease);
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
			send_view(o, h->record.address, NULL);
	}
}

/* Notes whether a host has the same records; all must have stated it. */
static void note_view(struct token_owner *o, const char *address,
		      const struct token_view *view)
{
	struct host_directory *d = o->options.directory;
	int64_t now = now_us(o);

	if (view->hash != o->view_hash || view->has_gone || has_gone(o, now) ||
	    !view->has_store || !has_store(o, now) || view->is_deferring ||
	    !host_directory_find(d, address) || o->confirmed_us ||
	    !has_own_record(o))
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
			.host = g_array_index(gone, struct gone_host, i),
			.at_us = now,
			.is_steady = !g_array_index(gone, struct gone_host, i)
					      .is_running &&
				     o->steady_us &&
				     now - o->steady_us >= TOKEN_STORE_LEASE_US,
			.free_us = o->options.is_leased ? INT64_MAX
							: now + TOKEN_JOIN_US,
		};

		g_array_append_val(o->gone, d);
		token_handover_note_gone(o->handover, d.host.name_hash);
	}
	g_array_free(gone, TRUE);
}

/* Asks some hosts of all failure domains whether the store is away for all. */
static void ask_witnesses(struct token_owner *o)
{
	GPtrArray *hosts = store_witness_choose(o->witness, now_us(o));

	o->witnesses_asked_us = now_us(o);
	update_view(o);
	for (guint i = 0; i < hosts->len; i++) {
		const struct known_host *h = hosts->pdata[i];

		send_view(o, h->record.address, NULL);
	}
	g_ptr_array_free(hosts, TRUE);
}

/* Begins anew after a pause or a loss of contact, but may resume sooner. */
static void note_break(struct token_owner *o, const struct lease_time *now,
		       int64_t since_boot_us, const char *reason)
{
	bool is_resumable = o->is_resumable;

	if (has_joined(o, now->monotonic_us)) {
		is_resumable = true;
		o->break_boot_us = since_boot_us;
	}
	join_anew(o, now->monotonic_us, reason);
	o->inherited_lease = 0;
	o->is_resumable = is_resumable;
	o->broken = *now;
}

/* Returns by CLOCK_BOOTTIME the time of the last contact. */
static int64_t contact_boot(const struct token_owner *o,
			    const struct lease_time *now)
{
	return now->boot_us - (now->monotonic_us - o->contact_us);
}

/*
 * Grants again after a break if the same lease has been renewed since: then the
 * record did not expire, so no other host has taken over. A host that came
 * before this one meanwhile is in the mirror if that is newer. After a longer
 * break, such a host may have come, granted and gone.
 */
static void check_break(struct token_owner *o, const struct lease_time *now)
{
	if (!o->is_resumable || has_joined(o, now->monotonic_us) ||
	    now->boot_us - o->break_boot_us > TOKEN_STORE_LEASE_US ||
	    o->renewed.monotonic_us <= o->broken.monotonic_us ||
	    o->renewed.boot_us <= o->broken.boot_us ||
	    o->store_us <= o->broken.monotonic_us ||
	    o->mirror_us <= o->broken.monotonic_us)
		return;
	o->is_resumable = false;
	o->proven_us = now->monotonic_us;
	if (o->has_granted)
		event_log(EV_TOKEN_OWNER_RESUMED, "host=%s after_ms=%lld",
			  o->options.directory->self,
			  (long long)((now->boot_us - o->break_boot_us) /
				      US_PER_MS));
}

bool token_owner_needs_check(const struct token_owner *o)
{
	int64_t now = now_us(o);

	return o->is_resumable && !has_joined(o, now) && has_store(o, now);
}

/* Returns the number of hosts that have left lately and not returned. */
static guint count_gone(const struct token_owner *o)
{
	GHashTable *names = g_hash_table_new(g_int64_hash, g_int64_equal);
	guint count;
	GHashTableIter iter;
	gpointer value;

	for (guint i = 0; i < o->gone->len; i++) {
		struct dated_host *d =
			&g_array_index(o->gone, struct dated_host, i);

		g_hash_table_add(names, &d->host.name_hash);
	}
	g_hash_table_iter_init(&iter, o->options.directory->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_hash_table_remove(names,
				    &((struct known_host *)value)->name_hash);
	count = g_hash_table_size(names);
	g_hash_table_destroy(names);
	return count;
}

static bool is_inheriting(const struct token_owner *o)
{
	return o->inherited_lease && o->lease == o->inherited_lease &&
	       has_own_record(o);
}

/* Returns whether all owners with an older mirror have stopped by themselves. */
static bool has_waited(const struct token_owner *o, int64_t now)
{
	int64_t many;

	if (!o->record_us || now - o->joined_us < TOKEN_JOIN_US)
		return false;
	if (now - o->record_us >= TOKEN_JOIN_US + TOKEN_DEFER_US)
		return true;
	/* An owner that sees many new hosts does not go on for them. */
	many = token_handover_many_arrived(o->handover, o->record_us);
	return many && now - many >= TOKEN_JOIN_US;
}

/* Returns whether this host has waited for a host that is gone. */
static bool is_free_due(const struct dated_host *d, int64_t now)
{
	return d->free_us == INT64_MAX &&
	       (d->is_steady || now - d->at_us >= TOKEN_JOIN_US);
}

static bool is_proof_due(const struct token_owner *o, int64_t now)
{
	if (!o->options.is_leased)
		return false;
	if (!has_joined(o, now) && (has_waited(o, now) || is_inheriting(o)))
		return true;
	for (guint i = 0; i < o->gone->len; i++) {
		const struct dated_host *d =
			&g_array_index(o->gone, struct dated_host, i);

		if (is_free_due(d, now))
			return true;
	}
	return false;
}

/*
 * An owner goes on without the store if most hosts do not have it, for 4 s
 * after it last learned that. So this host waits until at least half of them
 * have had it for longer.
 */
static void check_proof(struct token_owner *o, int64_t now)
{
	guint gone;

	if (!is_proof_due(o, now))
		return;
	gone = count_gone(o);
	if (!o->proven_us && is_inheriting(o) &&
	    store_witness_is_steady(o->witness, INHERIT_STEADY_US, gone, now))
		o->proven_us = now;
	if (!store_witness_is_steady(o->witness, TOKEN_JOIN_US, gone, now))
		return;
	if (!o->proven_us && has_waited(o, now))
		o->proven_us = now;
	for (guint i = 0; i < o->gone->len; i++) {
		struct dated_host *d =
			&g_array_index(o->gone, struct dated_host, i);

		if (is_free_due(d, now))
			d->free_us = now;
	}
}

/*
 * Returns whether this host's record cannot have expired, or no other host
 * grants at once if it has, since the store was lost for all.
 */
static bool has_lease(const struct token_owner *o, const struct lease_time *now)
{
	if (!o->options.is_leased)
		return true;
	if (!o->lease)
		return false;
	return (now->monotonic_us - o->renewed.monotonic_us < TOKEN_LEASE_US &&
		now->boot_us - o->renewed.boot_us < TOKEN_LEASE_US) ||
	       now->monotonic_us - o->store_lost_us < STORE_LOST_KEPT_US;
}

static bool needs_witnesses(const struct token_owner *o, int64_t now)
{
	if (has_store(o, now))
		return (o->has_granted || o->is_wanted) && is_proof_due(o, now);
	return o->has_granted && has_joined(o, now);
}

void token_owner_advance(struct token_owner *o, bool has_granted)
{
	struct lease_time now = lease_now(o);

	bool is_paused = now.boot_us - o->advanced.boot_us > TOKEN_PAUSE_US;

	o->has_granted = has_granted;
	/* News that came during the pause may hide that the store was away. */
	if (is_paused)
		o->steady_us = 0;
	note_gone_hosts(o, now.monotonic_us);
	if (!has_own_record(o))
		o->record_us = 0;
	else if (!o->record_us)
		o->record_us = now.monotonic_us;
	if (!o->record_us)
		join_anew(o, now.monotonic_us, "no_record");
	else if (is_paused)
		note_break(o, &now, o->advanced.boot_us, "paused");
	else if (now.monotonic_us - o->contact_us > TOKEN_CONTACT_US)
		note_break(o, &now, contact_boot(o, &now), "no_contact");
	else if (!has_lease(o, &now))
		note_break(o, &now, now.boot_us, "no_lease");
	else if (!has_joined(o, now.monotonic_us) &&
		 now.monotonic_us - o->store_us > TOKEN_CONTACT_US)
		/* Its own record may not have reached the other hosts. */
		note_break(o, &now, contact_boot(o, &now), "no_store");
	else
		check_break(o, &now);
	token_handover_update(o->handover, has_joined(o, now.monotonic_us),
			      now.monotonic_us);
	check_proof(o, now.monotonic_us);
	if (o->options.send_view && needs_witnesses(o, now.monotonic_us) &&
	    now.monotonic_us - o->witnesses_asked_us > WITNESS_INTERVAL_US)
		ask_witnesses(o);
	o->advanced = now;
}

void token_owner_prepare(struct token_owner *o)
{
	o->is_wanted = true;
	if (!has_joined(o, now_us(o)) && has_own_record(o))
		ask_views(o);
}

static void note_contact(struct token_owner *o, int64_t at_us)
{
	struct lease_time now = lease_now(o);

	if (at_us - o->contact_us > TOKEN_CONTACT_US)
		note_break(o, &now, contact_boot(o, &now), "no_contact");
	o->contact_us = MAX(o->contact_us, at_us);
}

void token_owner_note_store(struct token_owner *o, int64_t at_us)
{
	note_contact(o, at_us);
	if (!o->steady_us || at_us - o->store_us > STEADY_GAP_US)
		o->steady_us = at_us;
	o->store_us = MAX(o->store_us, at_us);
}

void token_owner_note_listed(struct token_owner *o)
{
	token_handover_note_listed(o->handover, now_us(o));
}

void token_owner_note_store_lost(struct token_owner *o)
{
	o->steady_us = 0;
}

void token_owner_note_inherited(struct token_owner *o, uint64_t lease)
{
	/* Later leases are this process's own. */
	if (!o->lease)
		o->inherited_lease = lease;
}

bool token_owner_has_joined(const struct token_owner *o)
{
	return o->is_wanted && has_joined(o, now_us(o));
}

int64_t token_owner_joined_us(const struct token_owner *o)
{
	return o->joined_us;
}

int64_t token_owner_store_us(const struct token_owner *o)
{
	return o->store_us;
}

void token_owner_note_mirror(struct token_owner *o, int64_t at_us)
{
	o->mirror_us = MAX(o->mirror_us, at_us);
}

void token_owner_note_renewal(struct token_owner *o, uint64_t lease,
			      const struct lease_time *started)
{
	/* Its record may have been gone in between. */
	if (o->lease && lease != o->lease)
		join_anew(o, now_us(o), "new_lease");
	o->lease = lease;
	o->renewed = *started;
}

/*
 * While the store is away for all, the records do not change. If another host
 * has the store, this one's records may be old.
 */
static void note_witness(struct token_owner *o, const char *address,
			 const struct token_view *view)
{
	const struct known_host *h =
		host_directory_find(o->options.directory, address);
	int64_t now = now_us(o);

	struct store_contact contact = { view->store_age_us,
					 view->store_steady_us };
	guint gone;

	if (!h)
		return;
	store_witness_note(o->witness, h, &contact, now);
	check_proof(o, now);
	if (has_store(o, now))
		return;
	gone = count_gone(o);
	if (store_witness_agree(o->witness, o->store_us, STORE_NEWS_US, gone,
				now))
		note_contact(o, now);
	if (now - o->store_us >= STORE_LOST_US &&
	    store_witness_agree(o->witness, o->store_us, STORE_LOST_US, gone,
				now))
		o->store_lost_us = now;
}

void token_owner_handle_view(struct token_owner *o, const char *address,
			     const struct token_view *view)
{
	token_owner_advance(o, o->has_granted);
	update_view(o);
	if (!view->is_answer) {
		send_view(o, address, view);
		return;
	}
	/* The host may have heard of the store or of a change since then. */
	if (now_us(o) - view->asked_us > ANSWER_MAX_US)
		return;
	note_witness(o, address, view);
	note_view(o, address, view);
}

/*
 * Returns the time from which this host may have a part, as far as it depends
 * on hosts that have left. An earlier second host learns late that a host
 * before both has left, and it does not stop before that.
 */
static int64_t free_time(const struct token_owner *o,
			 const struct token_claim *c,
			 const struct known_host *self, enum token_part part)
{
	int64_t from = 0;

	for (guint i = 0; i < o->gone->len; i++) {
		const struct dated_host *d =
			&g_array_index(o->gone, struct dated_host, i);

		if (!host_directory_was_before(o->options.directory, &d->host,
					       self, c->key, c->domain))
			continue;
		from = MAX(from, part == TOKEN_PART_ALL
					 ? d->free_us
					 : d->at_us + TOKEN_JOIN_US);
	}
	return from;
}

/* Returns the time from which no host before this one can grant any more. */
static int64_t charge_time(const struct token_owner *o,
			   const struct token_claim *c,
			   const struct known_host *self)
{
	int64_t from = join_time(o);
	int64_t taken = token_handover_taken(o->handover, c->key, c->domain);

	if (taken && is_self(o, self))
		from = MIN(from, taken);
	return MAX(from, free_time(o, c, self, TOKEN_PART_ALL));
}

/* Asks the owner of a key for it. */
static void ask_release(struct token_owner *o, const struct token_claim *c,
			const struct known_host *second)
{
	struct token_release question = { .key = c->key,
					  .domain = c->domain,
					  .lease = o->lease };
	int64_t now = now_us(o);

	if (!o->options.send_release || !second || !o->record_us ||
	    now - o->record_us < TOKEN_JOIN_US ||
	    !token_handover_ask(o->handover, c->key, c->domain, now))
		return;
	o->options.send_release(o->options.ctx, second->record.address,
				&question);
}

/* Returns the part of the first host of a key, which is this one. */
static enum token_part first_part(struct token_owner *o,
				  const struct token_claim *c,
				  const struct rate_owners *owners,
				  int64_t *since)
{
	int64_t now = now_us(o);

	*since = charge_time(o, c, owners->first);
	if (now >= *since)
		return TOKEN_PART_ALL;
	ask_views(o);
	if (!has_joined(o, now))
		ask_release(o, c, owners->second);
	return TOKEN_PART_NONE;
}

/* Returns the part of the second host of a key, which is this one. */
static enum token_part second_part(struct token_owner *o,
				   const struct token_claim *c,
				   const struct rate_owners *owners,
				   int64_t *since)
{
	int64_t now = now_us(o);

	*since = charge_time(o, c, owners->second);
	if (now < *since)
		return TOKEN_PART_NONE;
	if (token_handover_defers(o->handover, owners->first, c->key, c->domain,
				  *since, now))
		return TOKEN_PART_ALL;
	*since =
		MAX(*since, free_time(o, c, owners->second, TOKEN_PART_SECOND));
	return now >= *since ? TOKEN_PART_SECOND : TOKEN_PART_NONE;
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
	o->is_wanted = true;
	if (is_self(o, first))
		return first_part(o, c, owners, since);
	if (!second || !is_self(o, second))
		return TOKEN_PART_NONE;
	return second_part(o, c, owners, since);
}

/* Hands a key over to a new host that comes before this one. */
static void release_key(struct token_owner *o, const char *address,
			const struct token_release *question)
{
	struct token_claim c = { .key = question->key,
				 .domain = question->domain };
	struct token_release answer = *question;
	struct rate_owners owners = host_directory_rate_owners(
		o->options.directory, c.key, c.domain);
	int64_t now = now_us(o);

	if (!owners.second || !is_self(o, owners.second) ||
	    strcmp(owners.first->record.address, address) ||
	    owners.first->record.lease != question->lease ||
	    !token_handover_release(o->handover, owners.first, c.key, c.domain,
				    charge_time(o, &c, owners.second),
				    o->is_stopping, now))
		return;
	event_log(EV_TOKEN_OWNER_RELEASED, "key=%s host=%s", c.key,
		  owners.first->record.name);
	answer.is_answer = true;
	o->options.send_release(o->options.ctx, address, &answer);
}

void token_owner_handle_release(struct token_owner *o, const char *address,
				const struct token_release *release)
{
	token_owner_advance(o, o->has_granted);
	if (!release->is_answer)
		release_key(o, address, release);
	else if (release->lease == o->lease && has_own_record(o))
		token_handover_take(o->handover, release->key, release->domain,
				    now_us(o));
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
	o->store_lost_us = INT64_MIN / 2;
	o->witness = store_witness_create(options->directory);
	o->handover = token_handover_create(options->directory);
	o->advanced = (struct lease_time){ o->joined_us,
					   clock_boot(&options->clock) };
	return o;
}

void token_owner_free(struct token_owner *o)
{
	store_witness_free(o->witness);
	token_handover_free(o->handover);
	g_array_free(o->gone, TRUE);
	g_hash_table_destroy(o->agreeing);
	g_free(o);
}
