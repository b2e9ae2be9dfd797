#include "suites.h"

#include <stdio.h>

#include "common/errors.h"
#include "fleet/placement.h"

#define GROUPS 400

static struct placement_domain domains[6] = {
	{ "a1", 3 }, { "a2", 2 }, { "b1", 2 },
	{ "b2", 0 }, { "c1", 0 }, { "c2", 0 },
};

static struct placement_layout make_layout(uint32_t count, const int *seats)
{
	struct placement_layout layout = { domains, count };

	for (uint32_t i = 0; i < count; i++)
		domains[i].seats = (uint16_t)seats[i];
	return layout;
}

static void name_group(struct placement_group *g, char *name, int number)
{
	sprintf(name, "group-%d", number);
	g->name = name;
}

/*
 * Guards against more holders of a group in one failure domain than an even
 * spread gives it: the loss of that domain could take all holders.
 */
static void test_spread(void)
{
	struct placement_layout layout = make_layout(3, (int[]){ 3, 2, 2 });
	struct placement_group g = { .slots = 2, .connections = 100 };
	struct seat_ref h[PLACEMENT_MAX_HOLDERS];
	char name[32];

	for (int i = 0; i < GROUPS; i++) {
		int per_domain[3] = { 0 };

		name_group(&g, name, i);
		g.slots = 1 + i % 7;
		CU_ASSERT_EQUAL_FATAL(placement_holders(&layout, &g, h),
				      (int)g.slots);
		for (uint32_t k = 0; k < g.slots; k++)
			per_domain[h[k].domain]++;
		for (uint32_t d = 0; d < 3; d++)
			CU_ASSERT(per_domain[d] <= (int)(g.slots + 2) / 3);
	}
	layout.domain_count = 0;
	CU_ASSERT_EQUAL(placement_holders(&layout, &g, h), -ERR_INVAL);
}

/* Guards against shares whose sum is not the leaf's limit. */
static void test_shares(void)
{
	struct placement_group g = { .name = "g" };
	struct placement_share s;
	char leaf[16];

	for (uint32_t count = 1; count <= 50; count++) {
		uint32_t connections = 0, slots = 0;

		g.slots = 7;
		g.connections = 100;
		sprintf(leaf, "leaf-%u", count);
		for (uint32_t rank = 0; rank < count; rank++) {
			s = placement_share(&g, count, rank, leaf);
			CU_ASSERT(s.connections >= 2);
			connections += s.connections;
			slots += s.slots;
		}
		CU_ASSERT_EQUAL(connections, 100);
		CU_ASSERT_EQUAL(slots, 7);
	}
	s = placement_share(&g, 0, 0, "leaf");
	CU_ASSERT_EQUAL(s.connections, 0);
}

/*
 * Guards against a leaf's limit being exceeded during a change of placement,
 * when some hosts use their old and some their new shares.
 */
static void test_transition(void)
{
	struct placement_share old = { 50, 1 }, new = { 34, 2 }, s;

	s = placement_transition(old, new, PLACEMENT_SETTLE_US - 1);
	CU_ASSERT_EQUAL(s.connections, 34);
	CU_ASSERT_EQUAL(s.slots, 1);
	s = placement_transition(old, new, PLACEMENT_SETTLE_US);
	CU_ASSERT_EQUAL(s.slots, 2);
}

/* Counts the holders that a change of the layout removes. */
static int count_lost(const struct placement_layout *before,
		      const struct placement_layout *after, uint32_t slots,
		      int groups, int *total)
{
	struct placement_group g = { .slots = slots, .connections = 100 };
	struct seat_ref a[PLACEMENT_MAX_HOLDERS], b[PLACEMENT_MAX_HOLDERS];
	char name[32];
	int lost = 0;

	*total = 0;
	for (int i = 0; i < groups; i++) {
		int na, nb;

		name_group(&g, name, i);
		na = placement_holders(before, &g, a);
		nb = placement_holders(after, &g, b);
		for (int k = 0; k < na; k++)
			lost += placement_rank(b, (uint32_t)nb, a[k]) < 0;
		*total += na;
	}
	return lost;
}

/*
 * Guards against the addition or removal of one seat moving more than twice its
 * share of the holders.
 */
static void test_movement(void)
{
	struct placement_domain grown[6];
	struct placement_layout small, large;
	static const int sizes[][6] = { { 3, 2, 2 },
					{ 5, 5, 5, 5, 5, 5 },
					{ 367, 367, 367, 367, 366, 366 } };
	static const uint32_t counts[] = { 3, 6, 6 };
	/* Enough groups that several moves are expected at each size. */
	static const int groups[] = { 2000, 2000, 8000 };
	static const uint32_t min_slots[] = { 1, 1, 5 };

	for (int s = 0; s < 3; s++) {
		for (uint32_t slots = min_slots[s]; slots <= 5; slots++) {
			uint32_t n = 1;
			int lost, total;

			small = make_layout(counts[s], sizes[s]);
			for (uint32_t d = 0; d < counts[s]; d++) {
				grown[d] = domains[d];
				n += domains[d].seats;
			}
			grown[s].seats++;
			large = small;
			large.domains = grown;
			lost = count_lost(&small, &large, slots, groups[s],
					  &total);
			CU_ASSERT((uint32_t)lost * n <= 2 * (uint32_t)total);
			lost = count_lost(&large, &small, slots, groups[s],
					  &total);
			CU_ASSERT((uint32_t)lost * n <= 2 * (uint32_t)total);
		}
	}
}

/*
 * Guards against two hosts owning the same key because they list the holders in
 * different orders, and against one holder owning most keys.
 */
static void test_key_owner(void)
{
	struct placement_layout layout = make_layout(3, (int[]){ 3, 2, 2 });
	struct placement_group g = { .name = "booking",
				     .slots = 3,
				     .connections = 100 };
	struct seat_ref h[PLACEMENT_MAX_HOLDERS], swapped[3];
	int owned[3] = { 0 };
	char key[16];

	CU_ASSERT_EQUAL_FATAL(placement_holders(&layout, &g, h), 3);
	for (int i = 0; i < 3; i++)
		swapped[i] = h[2 - i];
	for (int i = 0; i < 3000; i++) {
		uint32_t owner;

		sprintf(key, "key-%d", i);
		owner = placement_key_owner(&layout, h, 3, key);
		owned[owner]++;
		CU_ASSERT_EQUAL(placement_key_owner(&layout, swapped, 3, key),
				2 - owner);
	}
	for (int i = 0; i < 3; i++)
		CU_ASSERT(owned[i] > 800);
}

CU_TestInfo fleet_placement_tests[] = {
	{ "holders spread over domains", test_spread },
	{ "shares add up to the limit", test_shares },
	{ "transition takes the smaller share", test_transition },
	{ "one seat moves few placements", test_movement },
	{ "key owner", test_key_owner },
	CU_TEST_INFO_NULL,
};
