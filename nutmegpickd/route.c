#include "nutmegpickd/route.h"

#include <stdlib.h>
#include <string.h>

#include "common/errors.h"
#include "common/events.h"
#include "common/hash.h"
#include "fleet/fleet.h"
#include "fleet/placement.h"
#include "objects/unit.h"

/*
 * Weight of a new result in the exponential moving average of the latency; the
 * half-life is about 6.6 results.
 */
#define LATENCY_WEIGHT 0.1
#define INITIAL_LATENCY_US 1000.0

/* A query without an answer counts as this factor times the average latency. */
#define FAILURE_PENALTY 2.0
#define MAX_LATENCY_US (10.0 * US_PER_S)

/* A key owner without any result for this long gets no more keyed requests. */
#define SILENCE_US (500 * US_PER_MS)

/**
 * Holder of a placement unit: a seat whose host may call the leaves of all
 * groups of the unit. Load and latency are those that this host sees.
 */
struct holder {
	struct seat_ref seat;
	/** Queries forwarded to the holder and not ended. */
	uint32_t outstanding;
	/** Exponential moving average. */
	double latency_us;
	/**
	 * Time of the last result, or of the first of the outstanding queries
	 * if there was no result after it.
	 */
	int64_t waiting_since_us;
};

/**
 * Placement unit: shard groups that have the same holders. Each group belongs
 * to one unit. Each holder has the same share of the connections and slots of
 * each leaf, see holder_share(). A request key belongs to the seat of one of
 * the holders.
 */
struct unit {
	struct placement_unit limits;
	struct holder *holders;
	uint32_t holder_count;
};

/** Units and holders of all groups of one object set. */
struct holder_table {
	/** Set that owns the names and handles of this table. */
	struct object_set *set;
	struct placement_domain *domains;
	struct placement_layout layout;
	/** Index of the unit of each group. */
	uint32_t *unit_of;
	struct unit *units;
	uint32_t unit_count;
	/**
	 * This host's shares under the previous set, by group name; NULL once
	 * settled.
	 */
	GHashTable *old_shares;
	int64_t changed_us;
	GRand *random;
};

/**
 * Seat whose request keys this host owns: its own seat, or that of a lost host
 * whose successor it is. A successor that is not a holder of a unit itself has
 * a share of one connection and one slot of each leaf of the unit.
 */
struct owned_seat {
	/** Time until which reports of leaves of the seat may be missing. */
	int64_t ready_us;
};

static void free_table(struct holder_table *t)
{
	if (!t)
		return;
	for (uint32_t i = 0; i < t->unit_count; i++)
		free(t->units[i].holders);
	if (t->old_shares)
		g_hash_table_destroy(t->old_shares);
	g_rand_free(t->random);
	free(t->units);
	free(t->unit_of);
	free(t->domains);
	object_set_unref(t->set);
	free(t);
}

static void place_unit(const struct holder_table *t, struct unit *u)
{
	struct placement_group group = {
		.name = u->limits.name,
		.slots = u->limits.slots,
		.connections = u->limits.connections,
		.holders = u->limits.holders,
	};
	struct seat_ref seats[PLACEMENT_MAX_HOLDERS];
	int n = placement_holders(&t->layout, &group, seats);

	u->holder_count = n > 0 ? (uint32_t)n : 0;
	u->holders = calloc(u->holder_count + 1, sizeof(*u->holders));
	for (uint32_t i = 0; i < u->holder_count; i++) {
		u->holders[i].seat = seats[i];
		u->holders[i].latency_us = INITIAL_LATENCY_US;
	}
}

static struct holder_table *create_table(struct host *h)
{
	struct holder_table *t = calloc(1, sizeof(*t));
	const struct object_set *set = h->set;
	struct placement_unit *limits =
		calloc(set->group_count + 1, sizeof(*limits));

	t->set = object_set_ref(h->set);
	t->random = g_rand_new();
	t->domains = calloc(set->domain_count + 1, sizeof(*t->domains));
	for (uint32_t i = 0; i < set->domain_count; i++) {
		t->domains[i].name = set->domains[i].name;
		t->domains[i].seats = (uint16_t)set->domains[i].seats;
	}
	t->layout.domains = t->domains;
	t->layout.domain_count = set->domain_count;
	t->unit_of = calloc(set->group_count + 1, sizeof(*t->unit_of));
	t->unit_count = object_set_units(set, t->unit_of, limits);
	t->units = calloc(t->unit_count + 1, sizeof(*t->units));
	for (uint32_t i = 0; i < t->unit_count; i++) {
		t->units[i].limits = limits[i];
		place_unit(t, &t->units[i]);
	}
	free(limits);
	return t;
}

void route_free_table(struct host *h)
{
	free_table(h->holder_table);
	h->holder_table = NULL;
}

static bool is_self(const struct host *h, const char *domain, uint16_t seat)
{
	return h->seat == seat && !strcmp(h->settings.domain, domain);
}

/* Returns the address of the host on a holder's seat, or NULL. */
static const char *find_address(const struct host *h,
				const struct holder *holder)
{
	const char *domain = h->holder_table->domains[holder->seat.domain].name;
	const struct member *m = membership_find_seat(
		fleet_members(h->fleet), domain, holder->seat.number);

	return m && m->info.state == MEMBER_ALIVE ? m->info.address : NULL;
}

static int find_self(const struct host *h, const struct unit *u)
{
	for (uint32_t i = 0; i < u->holder_count; i++) {
		const struct seat_ref *seat = &u->holders[i].seat;

		if (is_self(h, h->holder_table->domains[seat->domain].name,
			    seat->number))
			return (int)i;
	}
	return -1;
}

uint32_t route_key_range(const char *domain, uint16_t seat)
{
	return (uint32_t)hash_string(domain, seat);
}

static bool is_owner_of_keys(const struct host *h, const struct holder *holder)
{
	const char *domain = h->holder_table->domains[holder->seat.domain].name;
	uint32_t range = route_key_range(domain, holder->seat.number);
	const struct owned_seat *s;

	/* Without a store there are no leases; a seat's host owns its keys. */
	if (!h->store_thread)
		return is_self(h, domain, holder->seat.number);
	s = g_hash_table_lookup(h->owned_seats, GUINT_TO_POINTER(range));
	return s && clock_now(&h->clock) >= s->ready_us;
}

/* Returns whether this host owns the keys of one of the holders' seats. */
static bool is_successor(const struct host *h, const struct unit *u)
{
	for (uint32_t i = 0; i < u->holder_count; i++) {
		const struct seat_ref *seat = &u->holders[i].seat;
		const char *domain =
			h->holder_table->domains[seat->domain].name;
		uint32_t range = route_key_range(domain, seat->number);

		if (g_hash_table_contains(h->owned_seats,
					  GUINT_TO_POINTER(range)))
			return true;
	}
	return false;
}

bool route_is_holder(const struct host *h, obj_handle group)
{
	const struct holder_table *t = h->holder_table;
	const struct unit *u;

	if (!t)
		return true;
	u = &t->units[t->unit_of[group]];
	return find_self(h, u) >= 0 || is_successor(h, u);
}

static void limit_connections(struct host *h, obj_handle group, uint32_t limit)
{
	const struct group_object *g = &h->set->groups[group];

	for (uint32_t s = 0; s < g->shard_count; s++) {
		const struct shard_object *shard =
			&h->set->shards[g->first_shard + s];

		for (uint32_t l = 0; l < shard->leaf_count; l++)
			upstream_set_limit(
				h->upstream,
				h->set->leaves[shard->first_leaf + l].address,
				limit);
	}
}

/*
 * One connection of each leaf is reserved for the successor of a holder that
 * was lost.
 */
static struct leaf_share holder_share(const struct group_object *g,
				      uint32_t holders)
{
	struct leaf_share share = {
		.connections = (g->connections - 1) / holders,
		.slots = MAX(g->slots / holders, 1),
	};

	/* With no more connections than holders, none is reserved. */
	if (!share.connections)
		share.connections = g->connections / holders;
	return share;
}

static struct leaf_share own_share(const struct host *h, obj_handle group)
{
	const struct unit *u =
		&h->holder_table->units[h->holder_table->unit_of[group]];
	struct leaf_share share = { 0, 0 };

	if (u->holder_count && find_self(h, u) >= 0)
		share = holder_share(&h->holder_table->set->groups[group],
				     u->holder_count);
	else if (is_successor(h, u))
		share = (struct leaf_share){ 1, 1 };
	return share;
}

/*
 * Until a change of the set has settled, other hosts may still use their shares
 * under the previous set. The smaller of both shares keeps the sum of all hosts
 * within the limits of the leaves.
 */
static struct leaf_share effective_share(const struct host *h, obj_handle group)
{
	const struct holder_table *t = h->holder_table;
	struct leaf_share share = own_share(h, group);
	const struct leaf_share *old = NULL;

	if (t->old_shares)
		old = g_hash_table_lookup(t->old_shares,
					  h->set->groups[group].name);
	if (!old)
		return share;
	share.connections = MIN(share.connections, old->connections);
	share.slots = MIN(share.slots, old->slots);
	return share;
}

static void apply_shares(struct host *h)
{
	for (uint32_t g = 0; g < h->set->group_count; g++) {
		struct leaf_share share = effective_share(h, g);

		engine_set_share(h->engine, g, share);
		limit_connections(h, g, share.connections);
	}
}

static GHashTable *list_shares(const struct host *h,
			       const struct object_set *set)
{
	GHashTable *shares =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);

	for (uint32_t g = 0; g < set->group_count; g++) {
		struct leaf_share share = own_share(h, g);

		g_hash_table_insert(shares, g_strdup(set->groups[g].name),
				    g_memdup2(&share, sizeof(share)));
	}
	return shares;
}

void route_rebuild_table(struct host *h)
{
	GHashTable *old = NULL;

	if (!h->fleet || !h->set)
		return;
	if (!h->holder_table || h->holder_table->set != h->set) {
		if (h->holder_table)
			old = list_shares(h, h->holder_table->set);
		route_free_table(h);
		h->holder_table = create_table(h);
		h->holder_table->old_shares = old;
		h->holder_table->changed_us = clock_now(&h->clock);
	}
	apply_shares(h);
}

void route_settle_shares(struct host *h)
{
	struct holder_table *t = h->holder_table;

	if (!t || !t->old_shares ||
	    clock_now(&h->clock) < t->changed_us + PLACEMENT_SETTLE_US)
		return;
	g_hash_table_destroy(t->old_shares);
	t->old_shares = NULL;
	apply_shares(h);
}

static double holder_score(const struct holder *holder)
{
	return (holder->outstanding + 1) * holder->latency_us;
}

/*
 * Compares two reachable holders, from a random start, and returns the one with
 * the lower score, or -1 if none is reachable.
 */
static int pick_holder(struct host *h, const struct unit *u, const char *avoid)
{
	uint32_t start = 0;
	int best = -1;
	int seen = 0;

	if (u->holder_count)
		start = g_rand_int_range(h->holder_table->random, 0,
					 (gint32)u->holder_count);
	for (uint32_t i = 0; i < u->holder_count && seen < 2; i++) {
		uint32_t at = (start + i) % u->holder_count;
		const char *address = find_address(h, &u->holders[at]);

		if (!address || (avoid && !strcmp(address, avoid)))
			continue;
		seen++;
		if (best < 0 || holder_score(&u->holders[at]) <
					holder_score(&u->holders[best]))
			best = (int)at;
	}
	return best;
}

/*
 * The outcome of a keyed request that is sent to a paused host is unknown. This
 * check holds the request back before membership detects the pause.
 */
static bool is_silent(const struct host *h, const struct holder *holder)
{
	return holder->outstanding &&
	       clock_now(&h->clock) > holder->waiting_since_us + SILENCE_US;
}

static uint32_t key_owner(const struct host *h, const struct unit *u,
			  const char *key)
{
	struct seat_ref seats[PLACEMENT_MAX_HOLDERS];

	for (uint32_t i = 0; i < u->holder_count; i++)
		seats[i] = u->holders[i].seat;
	return placement_key_owner(&h->holder_table->layout, seats,
				   u->holder_count, key);
}

static int set_remote_route(struct host *h, uint32_t unit, uint32_t holder,
			    struct holder_route *out)
{
	const char *address =
		find_address(h, &h->holder_table->units[unit].holders[holder]);

	if (!address)
		return -ERR_NO_HOLDER;
	out->unit = unit;
	out->holder = holder;
	g_strlcpy(out->address, address, sizeof(out->address));
	return 0;
}

static bool find_unit(const struct host *h,
		      const struct engine_request *request, uint32_t *unit)
{
	obj_handle s = object_set_find_service(h->set, request->service);

	if (s == OBJ_NONE || !h->holder_table)
		return false;
	*unit = h->holder_table->unit_of[h->set->services[s].groups[0]];
	return true;
}

static int choose_owner(struct host *h, uint32_t unit, const char *key,
			struct holder_route *out)
{
	const struct unit *u = &h->holder_table->units[unit];
	const struct holder *holder;
	const struct member *m;

	if (!u->holder_count)
		return -ERR_NO_HOLDER;
	out->unit = unit;
	out->holder = key_owner(h, u, key);
	holder = &u->holders[out->holder];
	out->is_local = is_owner_of_keys(h, holder);
	if (out->is_local)
		return 0;
	if (is_silent(h, holder))
		return -ERR_NO_HOLDER;
	m = fleet_key_owner(h->fleet,
			    h->holder_table->domains[holder->seat.domain].name,
			    holder->seat.number);
	if (!m || m->info.state != MEMBER_ALIVE)
		return -ERR_NO_HOLDER;
	g_strlcpy(out->address, m->info.address, sizeof(out->address));
	return 0;
}

int route_choose_host(struct host *h, const struct engine_request *request,
		      const char *avoid, struct holder_route *out)
{
	const struct unit *u;
	uint32_t unit;
	int at;

	memset(out, 0, sizeof(*out));
	if (!find_unit(h, request, &unit)) {
		out->is_local = true;
		return 0;
	}
	u = &h->holder_table->units[unit];
	if (*request->key)
		return choose_owner(h, unit, request->key, out);
	if (find_self(h, u) >= 0 && !avoid) {
		out->is_local = true;
		return 0;
	}
	at = pick_holder(h, u, avoid);
	return at < 0 ? -ERR_NO_HOLDER
		      : set_remote_route(h, unit, (uint32_t)at, out);
}

int route_check_holder(struct host *h, struct engine_request *request)
{
	const struct holder *holder;
	const struct unit *u;
	uint32_t unit;

	if (!h->fleet || !h->set || !find_unit(h, request, &unit))
		return 0;
	u = &h->holder_table->units[unit];
	if (!*request->key)
		return find_self(h, u) < 0 ? -ERR_NOT_OWNER : 0;
	if (!u->holder_count)
		return -ERR_NOT_OWNER;
	holder = &u->holders[key_owner(h, u, request->key)];
	request->key_range = route_key_range(
		h->holder_table->domains[holder->seat.domain].name,
		holder->seat.number);
	return is_owner_of_keys(h, holder) ? 0 : -ERR_NOT_OWNER;
}

void route_set_owner(struct host *h, const char *domain, uint16_t seat,
		     bool is_owner)
{
	gpointer range = GUINT_TO_POINTER(route_key_range(domain, seat));
	struct owned_seat *s;

	if (!is_owner) {
		g_hash_table_remove(h->owned_seats, range);
		return;
	}
	if (g_hash_table_contains(h->owned_seats, range))
		return;
	s = g_new0(struct owned_seat, 1);
	s->ready_us = clock_now(&h->clock) + h->settings.report_interval_us;
	g_hash_table_insert(h->owned_seats, range, s);
}

static struct holder *find_holder(struct host *h, const struct holder_route *r)
{
	if (!h->holder_table || r->unit >= h->holder_table->unit_count ||
	    r->holder >= h->holder_table->units[r->unit].holder_count)
		return NULL;
	return &h->holder_table->units[r->unit].holders[r->holder];
}

void route_begin_forward(struct host *h, struct holder_route *r)
{
	struct holder *holder = find_holder(h, r);

	r->start_us = clock_now(&h->clock);
	if (!holder)
		return;
	if (!holder->outstanding++)
		holder->waiting_since_us = r->start_us;
}

void route_end_forward(struct host *h, const struct holder_route *r,
		       bool is_answered)
{
	struct holder *holder = find_holder(h, r);
	double us = (double)(clock_now(&h->clock) - r->start_us);

	if (!holder)
		return;
	/* The count may be 0 if the table was rebuilt meanwhile. */
	if (holder->outstanding)
		holder->outstanding--;
	if (is_answered)
		holder->waiting_since_us = clock_now(&h->clock);
	if (!is_answered)
		us = MIN(holder->latency_us * FAILURE_PENALTY, MAX_LATENCY_US);
	holder->latency_us += (us - holder->latency_us) * LATENCY_WEIGHT;
}
