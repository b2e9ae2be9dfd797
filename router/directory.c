#include "router/directory.h"

#include <math.h>
#include <string.h>

#include "common/clock.h"
#include "common/hash.h"

/*
 * Number of hosts in each region that others may follow. The first by rank, the
 * feed, watches the store. The second, the standby, follows the feed and
 * watches only while the feed is lost, since each watch of the store is
 * charged. The store may reject a third of the hosts and serve the others: of
 * six hosts, at least one is nearly always served.
 */
#define FEED_CANDIDATES 6
#define STANDBY_RANK 1
/*
 * Minimum number of hosts in each region that gather for the others. It is
 * small, so that leaves hold few connections and each gathering host has recent
 * data on its leaves. When a gathering host refuses a request as busy, the
 * number grows; the growth decays with the half-life.
 */
#define GATHERERS_MIN 2
#define GATHERERS_GROWTH 1.25
#define GATHERERS_HALF_LIFE_US (5 * US_PER_S)
/*
 * In a region with at most this many hosts every host gathers its own requests:
 * a forward would cost more than it saves.
 */
#define GATHERERS_ALL_MAX_HOSTS 4
/* Removed hosts that are kept until they are taken out. */
#define GONE_MAX 65536
/* Before the names of regions in keys; domains are set as "domain=region". */
#define REGION_MARK "="

void host_record_clear(struct host_record *r)
{
	g_free(r->name);
	g_free(r->address);
	g_free(r->domain);
	memset(r, 0, sizeof(*r));
}

static void handle_free_host(gpointer data)
{
	struct known_host *h = data;

	host_record_clear(&h->record);
	g_free(h);
}

void host_directory_init(struct host_directory *d, const char *self,
			 const struct leaf_set *leaves)
{
	d->leaves = leaves;
	d->self = g_strdup(self);
	d->gone = g_array_new(FALSE, FALSE, sizeof(struct gone_host));
	d->left_regions = g_hash_table_new(g_str_hash, g_str_equal);
	d->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					 handle_free_host);
}

void host_directory_clear(struct host_directory *d)
{
	g_hash_table_destroy(d->hosts);
	g_array_free(d->gone, TRUE);
	g_hash_table_destroy(d->left_regions);
	g_free(d->self);
}

const char *host_directory_rate_region(const struct host_directory *d,
				       const char *domain)
{
	const char *name = g_hash_table_lookup(d->leaves->regions, domain);
	char *region = g_strconcat(REGION_MARK, name, NULL);
	const char *interned = g_intern_string(region);

	g_free(region);
	return interned;
}

/* Region names outlive the hosts: those of the set, or interned domains. */
static const char *lasting_region(const struct host_directory *d,
				  const struct known_host *h)
{
	const char *region =
		g_hash_table_lookup(d->leaves->regions, h->record.domain);

	return region ? region : g_intern_string(h->record.domain);
}

static void note_gone(struct host_directory *d, const struct known_host *h,
		      bool is_running)
{
	struct gone_host gone = {
		.name_hash = h->name_hash,
		.capacity = h->record.capacity,
		.region = lasting_region(d, h),
		.rate_region = h->rate_region,
		.is_running = is_running,
	};

	if (d->gone->len < GONE_MAX)
		g_array_append_val(d->gone, gone);
}

/*
 * A host with another capacity may own other keys: to hosts that may grant, its
 * earlier place among the owners is that of a host that has left.
 */
static void change_capacity(struct host_directory *d, struct known_host *h,
			    uint32_t capacity)
{
	note_gone(d, h, true);
	h->record.capacity = capacity;
	d->generation++;
}

static void update_host(struct host_directory *d, struct known_host *h,
			const struct host_record *r)
{
	if (h->record.capacity != r->capacity)
		change_capacity(d, h, r->capacity);
	/* A record with another lease may have been gone meanwhile. */
	if (h->record.lease != r->lease)
		d->generation++;
	h->record.lease = r->lease;
	if (h->record.is_stopping != r->is_stopping)
		h->suspect_until_us = r->is_stopping ? INT64_MAX : 0;
	h->record.is_stopping = r->is_stopping;
}

bool host_record_has_same_rank(const struct host_record *a,
			       const struct host_record *b)
{
	return a->capacity == b->capacity && !strcmp(a->domain, b->domain);
}

/*
 * Notes that a host has moved to another failure domain or address. In another
 * domain or with another capacity it owns other keys, as in change_capacity().
 */
static void note_moved(struct host_directory *d, const struct known_host *h,
		       const struct host_record *r)
{
	if (host_record_has_same_rank(&h->record, r))
		return;
	note_gone(d, h, true);
	g_hash_table_add(d->left_regions, (gpointer)h->rate_region);
}

void host_directory_put(struct host_directory *d, struct host_record *r)
{
	struct known_host *h = g_hash_table_lookup(d->hosts, r->name);

	if (h && !strcmp(h->record.address, r->address) &&
	    !strcmp(h->record.domain, r->domain)) {
		update_host(d, h, r);
		host_record_clear(r);
		return;
	}
	if (h)
		note_moved(d, h, r);
	h = g_new0(struct known_host, 1);
	h->record = *r;
	memset(r, 0, sizeof(*r));
	if (h->record.is_stopping)
		h->suspect_until_us = INT64_MAX;
	h->distance = leaf_set_distance(d->leaves, h->record.domain);
	h->name_hash = hash_string(h->record.name, 0);
	h->rate_region = host_directory_rate_region(d, h->record.domain);
	g_hash_table_replace(d->hosts, h->record.name, h);
	d->generation++;
}

void host_directory_remove(struct host_directory *d, const char *name)
{
	const struct known_host *h = g_hash_table_lookup(d->hosts, name);

	if (!h)
		return;
	note_gone(d, h, false);
	g_hash_table_add(d->left_regions, (gpointer)h->rate_region);
	g_hash_table_remove(d->hosts, name);
	d->generation++;
}

GPtrArray *host_directory_list_regions(const struct host_directory *d)
{
	GHashTable *names = g_hash_table_new(NULL, NULL);
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct known_host *h = value;

		if (g_hash_table_add(names, (gpointer)h->rate_region))
			g_ptr_array_add(list, (gpointer)h->rate_region);
	}
	g_hash_table_destroy(names);
	return list;
}

GPtrArray *host_directory_take_left_regions(struct host_directory *d)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init(&iter, d->left_regions);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		g_ptr_array_add(list, name);
	g_hash_table_remove_all(d->left_regions);
	return list;
}

GArray *host_directory_take_gone(struct host_directory *d)
{
	GArray *gone = d->gone;

	d->gone = g_array_new(FALSE, FALSE, sizeof(struct gone_host));
	return gone;
}

void known_host_avoid(struct known_host *h, int64_t until_us)
{
	h->suspect_until_us = MAX(h->suspect_until_us, until_us);
}

struct known_host *host_directory_find(struct host_directory *d,
				       const char *address)
{
	GHashTableIter iter;
	gpointer host;

	g_hash_table_iter_init(&iter, d->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &host)) {
		const struct known_host *h = host;

		if (!strcmp(h->record.address, address))
			return host;
	}
	return NULL;
}

bool host_directory_is_self(const struct host_directory *d,
			    const struct known_host *h)
{
	return !strcmp(h->record.name, d->self);
}

/* Returns the hosts of this region. */
static GPtrArray *list_region_hosts(struct host_directory *d)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer host;

	g_hash_table_iter_init(&iter, d->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &host)) {
		const struct known_host *h = host;

		if (h->distance != LEAF_OTHER_REGION)
			g_ptr_array_add(list, host);
	}
	return list;
}

static gint compare_hosts(gconstpointer a, gconstpointer b)
{
	const struct known_host *x = *(const struct known_host *const *)a;
	const struct known_host *y = *(const struct known_host *const *)b;

	if (x->record.capacity != y->record.capacity)
		return x->record.capacity > y->record.capacity ? -1 : 1;
	return x->name_hash < y->name_hash   ? -1
	       : x->name_hash > y->name_hash ? 1
					     : 0;
}

/* Returns the hosts of this region that others may follow, by rank. */
static GPtrArray *list_feed_candidates(struct host_directory *d)
{
	GPtrArray *list = list_region_hosts(d);

	g_ptr_array_sort(list, compare_hosts);
	if (list->len > FEED_CANDIDATES)
		g_ptr_array_set_size(list, FEED_CANDIDATES);
	return list;
}

static const char *region_of_domain(const struct host_directory *d,
				    const char *domain)
{
	const char *region = g_hash_table_lookup(d->leaves->regions, domain);

	return region ? region : domain;
}

static const char *region_of(const struct host_directory *d,
			     const struct known_host *h)
{
	return region_of_domain(d, h->record.domain);
}

GPtrArray *host_directory_other_feeds(struct host_directory *d)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTable *counts = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer host;

	g_hash_table_iter_init(&iter, d->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &host))
		g_ptr_array_add(list, host);
	g_ptr_array_sort(list, compare_hosts);
	for (guint i = 0; i < list->len;) {
		const struct known_host *h = list->pdata[i];
		const char *region = region_of(d, h);
		guint count =
			GPOINTER_TO_UINT(g_hash_table_lookup(counts, region));

		g_hash_table_insert(counts, (gpointer)region,
				    GUINT_TO_POINTER(count + 1));
		if (count || host_directory_is_self(d, h))
			g_ptr_array_remove_index(list, i);
		else
			i++;
	}
	g_hash_table_destroy(counts);
	return list;
}

/* Returns the rank of this host among the feed candidates, or -1. */
static int own_feed_rank(struct host_directory *d)
{
	GPtrArray *list = list_feed_candidates(d);
	int rank = -1;

	for (guint i = 0; i < list->len && rank < 0; i++) {
		if (host_directory_is_self(d, list->pdata[i]))
			rank = (int)i;
	}
	g_ptr_array_free(list, TRUE);
	return rank;
}

bool host_directory_is_feed(struct host_directory *d)
{
	return own_feed_rank(d) == 0;
}

bool host_directory_is_standby(struct host_directory *d)
{
	return own_feed_rank(d) == STANDBY_RANK;
}

bool host_directory_may_feed(struct host_directory *d, const char *address)
{
	GPtrArray *list = list_feed_candidates(d);
	bool is_found = false;

	for (guint i = 0; i < list->len && !is_found; i++) {
		const struct known_host *h = list->pdata[i];

		/* A host follows only hosts before it: there are no cycles. */
		if (host_directory_is_self(d, h)) {
			is_found = !address;
			break;
		}
		is_found = address && !strcmp(h->record.address, address);
	}
	g_ptr_array_free(list, TRUE);
	return is_found;
}

struct known_host *host_directory_choose_feed(struct host_directory *d,
					      int64_t now_us)
{
	GPtrArray *list = list_feed_candidates(d);
	struct known_host *chosen = NULL;

	for (guint i = 0; i < list->len && !chosen; i++) {
		struct known_host *h = list->pdata[i];

		/* A host follows only hosts before it: there are no cycles. */
		if (host_directory_is_self(d, h))
			break;
		if (now_us >= h->suspect_until_us &&
		    now_us >= h->no_feed_until_us)
			chosen = h;
	}
	g_ptr_array_free(list, TRUE);
	return chosen;
}

/* Host that may gather. */
struct gather_candidate {
	struct known_host *host;
	/** Shards that have a leaf in the failure domain of the host. */
	uint32_t shard_count;
};

static gint compare_gather_candidates(gconstpointer a, gconstpointer b)
{
	const struct gather_candidate *x = a;
	const struct gather_candidate *y = b;

	if (x->shard_count != y->shard_count)
		return x->shard_count > y->shard_count ? -1 : 1;
	return compare_hosts(&x->host, &y->host);
}

/* Returns the number of gathering hosts; the part above the minimum decays. */
static double current_gatherers(const struct host_directory *d, int64_t now_us)
{
	double more = MAX(d->gatherers - GATHERERS_MIN, 0);
	int64_t age = MAX(now_us - d->gatherers_at_us, 0);

	return GATHERERS_MIN +
	       more * exp2(-(double)age / (double)GATHERERS_HALF_LIFE_US);
}

void host_directory_note_busy(struct host_directory *d, int64_t now_us)
{
	double hosts = MAX(g_hash_table_size(d->hosts), GATHERERS_MIN);
	double count = current_gatherers(d, now_us) * GATHERERS_GROWTH;

	d->gatherers = MIN(count, hosts);
	d->gatherers_at_us = now_us;
}

static bool is_region_small(struct host_directory *d)
{
	GPtrArray *region = list_region_hosts(d);
	bool is_small = region->len <= GATHERERS_ALL_MAX_HOSTS;

	g_ptr_array_free(region, TRUE);
	return is_small;
}

static GArray *list_gather_candidates(struct host_directory *d,
				      GHashTable *shard_counts, int64_t now_us)
{
	GArray *list =
		g_array_new(FALSE, FALSE, sizeof(struct gather_candidate));
	GPtrArray *region = list_region_hosts(d);

	for (guint i = 0; i < region->len; i++) {
		struct gather_candidate c = { .host = region->pdata[i] };

		if (region->len <= GATHERERS_ALL_MAX_HOSTS ||
		    now_us < c.host->suspect_until_us)
			continue;
		c.shard_count = GPOINTER_TO_UINT(g_hash_table_lookup(
			shard_counts, c.host->record.domain));
		g_array_append_val(list, c);
	}
	g_array_sort(list, compare_gather_candidates);
	if (list->len)
		g_array_set_size(
			list, MIN(list->len,
				  (guint)lround(current_gatherers(d, now_us))));
	g_ptr_array_free(region, TRUE);
	return list;
}

struct known_host *host_directory_choose_in_domain(struct host_directory *d,
						   const char *domain,
						   GRand *random,
						   int64_t now_us)
{
	GPtrArray *list = list_region_hosts(d);
	struct known_host *chosen = NULL;
	guint strongest;

	for (guint i = list->len; i-- > 0;) {
		const struct known_host *h = list->pdata[i];

		if (strcmp(h->record.domain, domain) ||
		    host_directory_is_self(d, h) ||
		    now_us < h->suspect_until_us)
			g_ptr_array_remove_index(list, i);
	}
	g_ptr_array_sort(list, compare_hosts);
	strongest = MIN(list->len, GATHERERS_MIN);
	if (strongest)
		chosen = list->pdata[g_rand_int_range(random, 0,
						      (gint32)strongest)];
	g_ptr_array_free(list, TRUE);
	return chosen;
}

/* Order of a host among those that may divide a rate. */
struct rate_rank {
	bool is_remote;
	/** Keys of quotas have the strongest hosts as owners. */
	uint32_t weakness;
	uint64_t hash;
};

/** Hosts that come before others as owners of a key. */
struct rate_home {
	const char *region;
	/** The key is one of a region, rather than of a failure domain. */
	bool is_region;
};

static bool is_rank_before(const struct rate_rank *a, const struct rate_rank *b)
{
	if (a->is_remote != b->is_remote)
		return b->is_remote;
	return a->weakness != b->weakness ? a->weakness < b->weakness
					  : a->hash < b->hash;
}

static struct rate_home home_of(const struct host_directory *d,
				const char *domain)
{
	bool is_region = g_str_has_prefix(domain, REGION_MARK);

	return (struct rate_home){
		.region = is_region ? domain : region_of_domain(d, domain),
		.is_region = is_region,
	};
}

static struct rate_rank rank_of(const struct gone_host *h, uint64_t key_hash,
				const struct rate_home *home)
{
	const char *region = home->is_region ? h->rate_region : h->region;
	bool is_of_all = *home->region == '\0';
	bool is_by_capacity = is_of_all || home->is_region;

	return (struct rate_rank){
		.is_remote = !is_of_all && strcmp(region, home->region) != 0,
		.weakness = is_by_capacity ? UINT32_MAX - h->capacity : 0,
		.hash = hash_pair(h->name_hash, key_hash),
	};
}

static struct rate_rank rank_of_host(const struct host_directory *d,
				     const struct known_host *h,
				     uint64_t key_hash,
				     const struct rate_home *home)
{
	struct gone_host host = {
		.name_hash = h->name_hash,
		.capacity = h->record.capacity,
		.region = region_of(d, h),
		.rate_region = h->rate_region,
	};

	return rank_of(&host, key_hash, home);
}

bool host_directory_was_before(const struct host_directory *d,
			       const struct gone_host *gone,
			       const struct known_host *h, const char *key,
			       const char *domain)
{
	struct rate_home home = home_of(d, domain);
	uint64_t key_hash = hash_string(key, 0);
	struct rate_rank a = rank_of(gone, key_hash, &home);
	struct rate_rank b = rank_of_host(d, h, key_hash, &home);

	return is_rank_before(&a, &b);
}

static gint compare_name_hashes(gconstpointer a, gconstpointer b)
{
	const struct known_host *x = *(const struct known_host *const *)a;
	const struct known_host *y = *(const struct known_host *const *)b;

	return x->name_hash < y->name_hash ? -1 : x->name_hash > y->name_hash;
}

GPtrArray *host_directory_strongest(struct host_directory *d,
				    const char *region)
{
	GPtrArray *list = g_ptr_array_new();
	uint32_t capacity = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct known_host *h = value;

		if (strcmp(h->rate_region, region) != 0)
			continue;
		if (h->record.capacity > capacity)
			g_ptr_array_set_size(list, 0);
		capacity = MAX(capacity, h->record.capacity);
		if (h->record.capacity == capacity &&
		    !host_directory_is_self(d, h))
			g_ptr_array_add(list, h);
	}
	g_ptr_array_sort(list, compare_name_hashes);
	return list;
}

struct rate_owners host_directory_rate_owners(struct host_directory *d,
					      const char *key,
					      const char *domain)
{
	struct rate_home home = home_of(d, domain);
	uint64_t key_hash = hash_string(key, 0);
	struct rate_owners owners = { NULL, NULL };
	struct rate_rank first = { true, UINT32_MAX, UINT64_MAX };
	struct rate_rank second = first;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct known_host *h = value;
		struct rate_rank rank = rank_of_host(d, h, key_hash, &home);

		if (!owners.first || is_rank_before(&rank, &first)) {
			owners.second = owners.first;
			second = first;
			owners.first = h;
			first = rank;
		} else if (!owners.second || is_rank_before(&rank, &second)) {
			owners.second = h;
			second = rank;
		}
	}
	return owners;
}

uint32_t host_directory_count_gatherers(struct host_directory *d,
					int64_t now_us)
{
	GHashTable *counts = g_hash_table_new(g_str_hash, g_str_equal);
	guint most = (guint)lround(current_gatherers(d, now_us));
	GHashTableIter iter;
	gpointer value;
	uint32_t sum = 0;

	g_hash_table_iter_init(&iter, d->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const char *region = region_of(d, value);
		gpointer count = g_hash_table_lookup(counts, region);

		g_hash_table_insert(
			counts, (gpointer)region,
			GUINT_TO_POINTER(GPOINTER_TO_UINT(count) + 1));
	}
	g_hash_table_iter_init(&iter, counts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		guint hosts = GPOINTER_TO_UINT(value);

		sum += hosts <= GATHERERS_ALL_MAX_HOSTS ? hosts
							: MIN(hosts, most);
	}
	g_hash_table_destroy(counts);
	return sum;
}

GPtrArray *host_directory_list_gatherers(struct host_directory *d,
					 GHashTable *shard_counts,
					 int64_t now_us, bool *is_gatherer)
{
	GArray *list = list_gather_candidates(d, shard_counts, now_us);
	GPtrArray *hosts = g_ptr_array_new();

	*is_gatherer = is_region_small(d);
	for (guint i = 0; i < list->len; i++) {
		struct known_host *h =
			g_array_index(list, struct gather_candidate, i).host;

		if (host_directory_is_self(d, h)) {
			*is_gatherer = true;
			g_ptr_array_set_size(hosts, 0);
			break;
		}
		g_ptr_array_add(hosts, h);
	}
	g_array_free(list, TRUE);
	return hosts;
}

struct known_host *host_directory_choose_gatherer(struct host_directory *d,
						  GHashTable *shard_counts,
						  GRand *random, int64_t now_us,
						  bool *is_gatherer)
{
	GPtrArray *list = host_directory_list_gatherers(d, shard_counts, now_us,
							is_gatherer);
	struct known_host *chosen = NULL;
	double total = 0;

	for (guint i = 0; i < list->len; i++) {
		struct known_host *h = list->pdata[i];

		/* Weighted reservoir sampling; the weight is the capacity. */
		total += h->record.capacity + 1;
		if (g_rand_double(random) * total < h->record.capacity + 1)
			chosen = h;
	}
	g_ptr_array_free(list, TRUE);
	return chosen;
}
