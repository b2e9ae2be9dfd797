#include "router/store_witness.h"

#include <string.h>

/* Hosts of each failure domain that are asked at a time. */
#define ASKED_PER_DOMAIN 2
/* Answers and hosts without an answer count for this time. */
#define KEPT_US (2 * US_PER_S)
/* If one of the hosts that are asked has the store, the others wait so long. */
#define PRESENT_KEPT_US (300 * US_PER_MS)
#define PRESENT_US (2200 * US_PER_MS)
/*
 * If the store is away for all, hosts have last heard of it at most so far
 * apart: a watch of 2.1 s, and the same until a feed tells its followers.
 */
#define HEARD_SPREAD_US (4400 * US_PER_MS)
/* Of this many hosts that are asked, one may be missing. */
#define ASKED_PER_MISSING 4

struct witness {
	const char *domain;
	/** First question that has not been answered, and the last one. */
	int64_t unanswered_us;
	int64_t asked_us;
	int64_t answered_us;
	/** As of its answer. */
	struct store_contact contact;
};

struct store_witness {
	struct host_directory *directory;
	/** Of struct witness, by name hash. */
	GHashTable *witnesses;
	/** Name hash of the last host that was asked, by domain. */
	GHashTable *last;
	/** Last statement of a host that has the store. */
	int64_t present_us;
	/** Latest time at which another host heard of the store. */
	int64_t heard_us;
};

static struct witness *get_witness(struct store_witness *w,
				   const struct known_host *h)
{
	struct witness *known =
		g_hash_table_lookup(w->witnesses, &h->name_hash);
	uint64_t *key;

	if (known) {
		/* A host that restarts may be in another one. */
		known->domain = g_intern_string(h->record.domain);
		return known;
	}
	known = g_new0(struct witness, 1);
	known->answered_us = INT64_MIN / 2;
	known->unanswered_us = known->asked_us = INT64_MIN / 2;
	known->domain = g_intern_string(h->record.domain);
	key = g_new(uint64_t, 1);
	*key = h->name_hash;
	g_hash_table_insert(w->witnesses, key, known);
	return known;
}

static gint compare_by_hash(gconstpointer a, gconstpointer b)
{
	const struct known_host *x = *(const struct known_host *const *)a;
	const struct known_host *y = *(const struct known_host *const *)b;

	return x->name_hash < y->name_hash   ? -1
	       : x->name_hash > y->name_hash ? 1
					     : 0;
}

/* Returns lists of the other hosts by domain, each in the order of hashes. */
static GHashTable *list_domains(const struct store_witness *w)
{
	GHashTable *domains =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				      (GDestroyNotify)g_ptr_array_unref);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, w->directory->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct known_host *h = value;
		GPtrArray *list =
			g_hash_table_lookup(domains, h->record.domain);

		if (host_directory_is_self(w->directory, h))
			continue;
		if (!list) {
			list = g_ptr_array_new();
			g_hash_table_insert(domains, h->record.domain, list);
		}
		g_ptr_array_add(list, h);
	}
	g_hash_table_iter_init(&iter, domains);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_sort(value, compare_by_hash);
	return domains;
}

/* Asks the hosts that follow the last one of their domain. */
static void choose_in_domain(struct store_witness *w, const GPtrArray *list,
			     GPtrArray *chosen, int64_t now)
{
	struct known_host *h = list->pdata[0];
	const uint64_t *last = g_hash_table_lookup(w->last, h->record.domain);
	guint count = MIN(list->len, ASKED_PER_DOMAIN);
	guint start = 0;

	while (last && start < list->len) {
		h = list->pdata[start];
		if (h->name_hash > *last)
			break;
		start++;
	}
	for (guint i = 0; i < count; i++) {
		struct witness *asked;

		h = list->pdata[(start + i) % list->len];
		asked = get_witness(w, h);
		if (asked->answered_us >= asked->unanswered_us)
			asked->unanswered_us = now;
		asked->asked_us = now;
		g_ptr_array_add(chosen, h);
	}
	g_hash_table_replace(w->last, g_strdup(h->record.domain),
			     g_memdup2(&h->name_hash, sizeof(h->name_hash)));
}

/* Answers and questions that do not count any more may be of former hosts. */
static void drop_old_witnesses(struct store_witness *w, int64_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, w->witnesses);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct witness *known = value;

		if (now - known->asked_us > KEPT_US &&
		    now - known->answered_us > KEPT_US)
			g_hash_table_iter_remove(&iter);
	}
}

GPtrArray *store_witness_choose(struct store_witness *w, int64_t now_us)
{
	GHashTable *domains = list_domains(w);
	GPtrArray *chosen = g_ptr_array_new();
	GHashTableIter iter;
	gpointer list;

	drop_old_witnesses(w, now_us);
	g_hash_table_iter_init(&iter, domains);
	while (g_hash_table_iter_next(&iter, NULL, &list))
		choose_in_domain(w, list, chosen, now_us);
	g_hash_table_destroy(domains);
	return chosen;
}

void store_witness_note(struct store_witness *w, const struct known_host *h,
			const struct store_contact *contact, int64_t now_us)
{
	struct witness *known = get_witness(w, h);

	known->answered_us = now_us;
	known->contact = *contact;
	w->heard_us = MAX(w->heard_us, now_us - contact->age_us);
	if (contact->age_us <= PRESENT_US)
		w->present_us = now_us;
}

/* Returns whether all domains but that of this host have answered. */
static bool have_domains_answered(const struct store_witness *w,
				  GHashTable *answered)
{
	struct host_directory *d = w->directory;
	const struct known_host *self = g_hash_table_lookup(d->hosts, d->self);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct known_host *h = value;

		if (self && strcmp(h->record.domain, self->record.domain) &&
		    !g_hash_table_contains(answered, h->record.domain))
			return false;
	}
	return true;
}

static bool has_answered(const struct witness *known, int64_t now)
{
	return now - known->answered_us <= KEPT_US &&
	       known->answered_us >= known->unanswered_us;
}

static bool is_missing(const struct witness *known, int64_t now)
{
	return now - known->asked_us <= KEPT_US &&
	       known->answered_us < known->unanswered_us;
}

/* Adds the part of the hosts that are gone to those that are missing. */
static double count_missing(const struct store_witness *w, guint missing,
			    guint answered, guint gone)
{
	double hosts = g_hash_table_size(w->directory->hosts) - 1.0;

	return missing + gone * (missing + answered) / MAX(hosts, 1);
}

bool store_witness_agree(const struct store_witness *w, int64_t heard_us,
			 int64_t silent_us, guint gone, int64_t now_us)
{
	GHashTable *domains = g_hash_table_new(g_str_hash, g_str_equal);
	guint answered = 0;
	guint missing = 0;
	double absent;
	GHashTableIter iter;
	gpointer value;
	bool is_agreed;

	g_hash_table_iter_init(&iter, w->witnesses);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct witness *known = value;

		missing += is_missing(known, now_us);
		if (!has_answered(known, now_us) ||
		    known->contact.age_us < silent_us)
			continue;
		answered++;
		g_hash_table_add(domains, (gpointer)known->domain);
	}
	absent = count_missing(w, missing, answered, gone);
	is_agreed = answered && w->heard_us <= heard_us + HEARD_SPREAD_US &&
		    w->heard_us <= now_us - silent_us &&
		    now_us - w->present_us > PRESENT_KEPT_US &&
		    absent * ASKED_PER_MISSING <= answered + absent &&
		    have_domains_answered(w, domains);
	g_hash_table_destroy(domains);
	return is_agreed;
}

bool store_witness_is_steady(const struct store_witness *w, int64_t steady_us,
			     guint gone, int64_t now_us)
{
	guint hosts = g_hash_table_size(w->directory->hosts);
	guint steady = 0;
	guint others = 0;
	GHashTableIter iter;
	gpointer value;

	if (hosts <= 1)
		return !gone;
	g_hash_table_iter_init(&iter, w->witnesses);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct witness *known = value;

		if (has_answered(known, now_us) &&
		    known->contact.steady_us >= steady_us)
			steady++;
		else if (has_answered(known, now_us) ||
			 is_missing(known, now_us))
			others++;
	}
	return steady && steady >= count_missing(w, others, steady, gone);
}

guint store_witness_count(const struct store_witness *w)
{
	return g_hash_table_size(w->witnesses);
}

struct store_witness *store_witness_create(struct host_directory *d)
{
	struct store_witness *w = g_new0(struct store_witness, 1);

	w->directory = d;
	w->present_us = w->heard_us = INT64_MIN / 2;
	w->witnesses = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, g_free);
	w->last =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return w;
}

void store_witness_free(struct store_witness *w)
{
	g_hash_table_destroy(w->witnesses);
	g_hash_table_destroy(w->last);
	g_free(w);
}
