#include "router/token_handover.h"

#include "common/clock.h"
#include "router/token_owner.h"

/* A new host is known as such for this time. */
#define NEW_US (30 * US_PER_S)
/*
 * If more hosts are new than this and a part of all, most claims do not reach
 * the present owner any more: it stops, and the new hosts may agree on their
 * records.
 */
#define NEW_HOSTS_MIN 1
#define NEW_HOSTS_PART 8
/*
 * If so large a part of all hosts joins within this time after the list, all
 * owners have seen more new hosts at a time than NEW_HOSTS_PART allows, even if
 * each learns of them up to 8.6 s late.
 */
#define ARRIVED_PART 4
#define ARRIVED_WINDOW_US (3 * US_PER_S)
/* Interval of the questions for a key; later answers do not count. */
#define ASK_INTERVAL_US (250 * US_PER_MS)
#define ANSWER_MAX_US (1 * US_PER_S)
/* Keys that are asked for; the table is emptied beyond that. */
#define ASKED_MAX 16384

struct new_host {
	int64_t seen_us;
	/** Too many hosts were new: this one has stopped to grant for it. */
	bool is_abandoned;
	/** Names of the keys that were handed over to it. */
	GHashTable *released;
};

struct asked_key {
	int64_t asked_us;
	/** 0 if the key was not handed over. */
	int64_t taken_us;
};

struct token_handover {
	struct host_directory *directory;
	/** Name hashes of the hosts of the directory, as of a generation. */
	GHashTable *known;
	uint64_t generation;
	/** The directory had the list of the store; 0 before. */
	int64_t listed_us;
	/** Hosts that have joined since, and when they were many; or 0. */
	guint arrived;
	int64_t many_arrived_us;
	/** Of struct new_host, by name hash. */
	GHashTable *hosts;
	/** Of struct asked_key, by name of the key. */
	GHashTable *asked;
};

static char *key_name(const char *key, const char *domain)
{
	return g_strconcat(domain, "\n", key, NULL);
}

static void handle_free_host(gpointer data)
{
	struct new_host *n = data;

	g_hash_table_destroy(n->released);
	g_free(n);
}

static uint64_t *copy_hash(uint64_t hash)
{
	return g_memdup2(&hash, sizeof(hash));
}

void token_handover_clear(struct token_handover *h)
{
	g_hash_table_remove_all(h->hosts);
	g_hash_table_remove_all(h->asked);
}

void token_handover_note_gone(struct token_handover *h, uint64_t name_hash)
{
	g_hash_table_remove(h->known, &name_hash);
	g_hash_table_remove(h->hosts, &name_hash);
	/* It may be back already, with the same generation as before. */
	h->generation = UINT64_MAX;
}

static void add_new_host(struct token_handover *h, uint64_t name_hash,
			 int64_t now)
{
	struct new_host *n = g_new0(struct new_host, 1);

	n->seen_us = now;
	n->released =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_hash_table_insert(h->hosts, copy_hash(name_hash), n);
}

static void drop_old_hosts(struct token_handover *h, int64_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, h->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (now - ((struct new_host *)value)->seen_us >= NEW_US)
			g_hash_table_iter_remove(&iter);
	}
}

/* Once the present owner has stopped for a new host, it does not go on. */
static void abandon_hosts(struct token_handover *h, int64_t now)
{
	guint most = NEW_HOSTS_MIN +
		     g_hash_table_size(h->directory->hosts) / NEW_HOSTS_PART;
	guint count = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, h->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count += now - ((struct new_host *)value)->seen_us <
			 TOKEN_DEFER_US;
	if (count <= most)
		return;
	g_hash_table_iter_init(&iter, h->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct new_host *)value)->is_abandoned = true;
}

static bool is_arriving(const struct token_handover *h, int64_t now)
{
	return h->listed_us && now - h->listed_us < ARRIVED_WINDOW_US;
}

void token_handover_note_listed(struct token_handover *h, int64_t now_us)
{
	if (h->listed_us)
		return;
	token_handover_update(h, false, now_us);
	h->listed_us = now_us;
}

int64_t token_handover_many_arrived(const struct token_handover *h,
				    int64_t record_us)
{
	if (!h->many_arrived_us ||
	    record_us - h->listed_us >= ARRIVED_WINDOW_US)
		return 0;
	return MAX(h->many_arrived_us, record_us);
}

void token_handover_update(struct token_handover *h, bool has_joined,
			   int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	drop_old_hosts(h, now_us);
	if (h->generation == h->directory->generation)
		return;
	h->generation = h->directory->generation;
	g_hash_table_iter_init(&iter, h->directory->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct known_host *host = value;

		if (g_hash_table_contains(h->known, &host->name_hash))
			continue;
		g_hash_table_add(h->known, copy_hash(host->name_hash));
		if (host_directory_is_self(h->directory, host))
			continue;
		h->arrived += is_arriving(h, now_us);
		if (has_joined)
			add_new_host(h, host->name_hash, now_us);
	}
	if (!h->many_arrived_us && is_arriving(h, now_us) &&
	    h->arrived >=
		    NEW_HOSTS_MIN + g_hash_table_size(h->directory->hosts) /
					    ARRIVED_PART)
		h->many_arrived_us = now_us;
	abandon_hosts(h, now_us);
}

bool token_handover_is_deferring(const struct token_handover *h, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, h->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct new_host *n = value;

		if (!n->is_abandoned && now_us - n->seen_us < TOKEN_DEFER_US)
			return true;
	}
	return false;
}

static bool is_released(const struct new_host *n, const char *key,
			const char *domain)
{
	char *name = key_name(key, domain);
	bool is_known = g_hash_table_contains(n->released, name);

	g_free(name);
	return is_known;
}

bool token_handover_defers(const struct token_handover *h,
			   const struct known_host *first, const char *key,
			   const char *domain, int64_t since_us, int64_t now_us)
{
	const struct new_host *n =
		g_hash_table_lookup(h->hosts, &first->name_hash);

	return n && !n->is_abandoned && since_us <= n->seen_us &&
	       now_us - n->seen_us < TOKEN_DEFER_US &&
	       !is_released(n, key, domain);
}

bool token_handover_release(struct token_handover *h,
			    const struct known_host *first, const char *key,
			    const char *domain, int64_t since_us,
			    bool is_stopping, int64_t now_us)
{
	struct new_host *n = g_hash_table_lookup(h->hosts, &first->name_hash);

	if (!n || n->is_abandoned || since_us > n->seen_us ||
	    (!is_stopping && now_us - n->seen_us < TOKEN_JOIN_US))
		return false;
	g_hash_table_add(n->released, key_name(key, domain));
	return true;
}

bool token_handover_ask(struct token_handover *h, const char *key,
			const char *domain, int64_t now_us)
{
	char *name = key_name(key, domain);
	struct asked_key *k = g_hash_table_lookup(h->asked, name);

	if (k && now_us - k->asked_us < ASK_INTERVAL_US) {
		g_free(name);
		return false;
	}
	if (k) {
		g_free(name);
	} else {
		if (g_hash_table_size(h->asked) >= ASKED_MAX)
			g_hash_table_remove_all(h->asked);
		k = g_new0(struct asked_key, 1);
		g_hash_table_insert(h->asked, name, k);
	}
	k->asked_us = now_us;
	return true;
}

void token_handover_take(struct token_handover *h, const char *key,
			 const char *domain, int64_t now_us)
{
	char *name = key_name(key, domain);
	struct asked_key *k = g_hash_table_lookup(h->asked, name);

	g_free(name);
	if (k && !k->taken_us && now_us - k->asked_us <= ANSWER_MAX_US)
		k->taken_us = now_us;
}

int64_t token_handover_taken(const struct token_handover *h, const char *key,
			     const char *domain)
{
	char *name;
	const struct asked_key *k;

	if (!g_hash_table_size(h->asked))
		return 0;
	name = key_name(key, domain);
	k = g_hash_table_lookup(h->asked, name);
	g_free(name);
	return k ? k->taken_us : 0;
}

struct token_handover *token_handover_create(struct host_directory *d)
{
	struct token_handover *h = g_new0(struct token_handover, 1);

	h->directory = d;
	h->generation = UINT64_MAX;
	h->known = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					 NULL);
	h->hosts = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					 handle_free_host);
	h->asked =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return h;
}

void token_handover_free(struct token_handover *h)
{
	g_hash_table_destroy(h->known);
	g_hash_table_destroy(h->hosts);
	g_hash_table_destroy(h->asked);
	g_free(h);
}
