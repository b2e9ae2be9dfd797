#include "fleet/placement.h"

#include <string.h>

#include "common/errors.h"
#include "common/hash.h"

struct candidate {
	uint64_t score;
	uint16_t index;
};

static uint32_t min_u32(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

static uint32_t count_seats(const struct placement_layout *layout)
{
	uint32_t total = 0;

	for (uint32_t i = 0; i < layout->domain_count; i++)
		total += layout->domains[i].seats;
	return total;
}

uint32_t placement_holder_count(const struct placement_layout *layout,
				const struct placement_group *group)
{
	uint32_t wanted = group->slots;

	if (group->holders)
		wanted = min_u32(group->holders, group->connections / 2);
	if (!wanted)
		wanted = 1;
	wanted = min_u32(wanted, count_seats(layout));
	return min_u32(wanted, PLACEMENT_MAX_HOLDERS);
}

static int ranks_before(const struct candidate *a, const struct candidate *b)
{
	if (a->score != b->score)
		return a->score > b->score;
	return a->index < b->index;
}

/* Inserts c if it is among the max best candidates; the best is first. */
static void insert_candidate(struct candidate *best, uint32_t *count,
			     uint32_t max, struct candidate c)
{
	uint32_t at = *count;

	if (at == max && (max == 0 || !ranks_before(&c, &best[max - 1])))
		return;
	if (at == max)
		at--;
	else
		(*count)++;
	for (; at > 0 && ranks_before(&c, &best[at - 1]); at--)
		best[at] = best[at - 1];
	best[at] = c;
}

/*
 * The order of the domains depends only on the names of the group and of the
 * domains, so a change of the number of seats does not reorder them.
 */
static void order_domains(const struct placement_layout *layout,
			  uint64_t group_hash, struct candidate *order)
{
	uint32_t count = 0;
	struct candidate c;

	for (uint32_t i = 0; i < layout->domain_count; i++) {
		c.index = (uint16_t)i;
		c.score = hash_string(layout->domains[i].name, group_hash);
		insert_candidate(order, &count, layout->domain_count, c);
	}
}

/* Assigns holders round robin to the domains that have seats left. */
static void assign_quotas(const struct placement_layout *layout,
			  const struct candidate *order, uint32_t holders,
			  uint32_t *quota)
{
	uint32_t d;

	memset(quota, 0, sizeof(*quota) * PLACEMENT_MAX_DOMAINS);
	for (uint32_t i = 0; holders; i = (i + 1) % layout->domain_count) {
		d = order[i].index;
		if (quota[d] == layout->domains[d].seats)
			continue;
		quota[d]++;
		holders--;
	}
}

static uint32_t pick_seats(const struct placement_layout *layout,
			   uint32_t domain, uint32_t quota, uint64_t group_hash,
			   struct seat_ref *out)
{
	struct candidate best[PLACEMENT_MAX_HOLDERS];
	uint64_t base = hash_string(layout->domains[domain].name, group_hash);
	uint32_t count = 0;
	struct candidate c;

	for (uint32_t i = 0; i < layout->domains[domain].seats; i++) {
		c.index = (uint16_t)i;
		c.score = hash_pair(base, i);
		insert_candidate(best, &count, quota, c);
	}
	for (uint32_t i = 0; i < count; i++) {
		out[i].domain = (uint16_t)domain;
		out[i].number = best[i].index;
	}
	return count;
}

int placement_holders(const struct placement_layout *layout,
		      const struct placement_group *group, struct seat_ref *out)
{
	struct candidate order[PLACEMENT_MAX_DOMAINS];
	uint32_t quota[PLACEMENT_MAX_DOMAINS];
	uint64_t group_hash = hash_string(group->name, 0);
	uint32_t count = 0;

	if (!layout->domain_count ||
	    layout->domain_count > PLACEMENT_MAX_DOMAINS)
		return -ERR_INVAL;
	order_domains(layout, group_hash, order);
	assign_quotas(layout, order, placement_holder_count(layout, group),
		      quota);
	for (uint32_t i = 0; i < layout->domain_count; i++) {
		uint32_t d = order[i].index;

		count += pick_seats(layout, d, quota[d], group_hash,
				    out + count);
	}
	return (int)count;
}

int placement_rank(const struct seat_ref *holders, uint32_t count,
		   struct seat_ref seat)
{
	for (uint32_t i = 0; i < count; i++) {
		if (holders[i].domain == seat.domain &&
		    holders[i].number == seat.number)
			return (int)i;
	}
	return -1;
}

/*
 * Returns the part of a limit for one of count holders. The leaf's hash selects
 * the holders that get one more, so they differ between leaves.
 */
static uint32_t divide_limit(uint32_t limit, uint32_t count, uint32_t rank,
			     uint64_t leaf_hash)
{
	uint32_t position = (rank + leaf_hash % count) % count;

	return limit / count + (position < limit % count);
}

struct placement_share placement_share(const struct placement_group *group,
				       uint32_t count, uint32_t rank,
				       const char *leaf)
{
	struct placement_share share = { 0, 0 };
	uint64_t leaf_hash = hash_string(leaf, 0);

	if (!count || rank >= count)
		return share;
	share.connections =
		divide_limit(group->connections, count, rank, leaf_hash);
	share.slots = divide_limit(group->slots, count, rank, leaf_hash);
	if (group->holders > group->slots && !share.slots)
		share.slots = 1;
	return share;
}

struct placement_share placement_transition(struct placement_share old,
					    struct placement_share new,
					    int64_t age_us)
{
	struct placement_share share;

	if (age_us >= PLACEMENT_SETTLE_US)
		return new;
	share.connections = min_u32(old.connections, new.connections);
	share.slots = min_u32(old.slots, new.slots);
	return share;
}

uint32_t placement_key_owner(const struct placement_layout *layout,
			     const struct seat_ref *holders, uint32_t count,
			     const char *key)
{
	uint64_t key_hash = hash_string(key, 0);
	uint64_t best = 0;
	uint32_t owner = 0;

	for (uint32_t i = 0; i < count; i++) {
		const char *name = layout->domains[holders[i].domain].name;
		uint64_t score = hash_pair(hash_string(name, key_hash),
					   holders[i].number);

		if (i && score <= best)
			continue;
		best = score;
		owner = i;
	}
	return owner;
}
