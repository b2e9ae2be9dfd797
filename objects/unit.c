#include "objects/unit.h"

#include <stdlib.h>
#include <string.h>

/* Finds the root of a group in a union-find forest, with path halving. */
static uint32_t find_root(uint32_t *parents, uint32_t i)
{
	while (parents[i] != i) {
		parents[i] = parents[parents[i]];
		i = parents[i];
	}
	return i;
}

static void join_groups(const struct object_set *set, uint32_t *parents)
{
	for (uint32_t i = 0; i < set->service_count; i++) {
		const struct service_object *s = &set->services[i];

		for (uint32_t j = 1; j < s->group_count; j++)
			parents[find_root(parents, s->groups[j])] =
				find_root(parents, s->groups[0]);
	}
}

static uint32_t min_nonzero(uint32_t a, uint32_t b)
{
	if (!a || !b)
		return a ? a : b;
	return a < b ? a : b;
}

static void add_group(struct placement_unit *u, const struct group_object *g)
{
	if (strcmp(g->name, u->name) < 0)
		u->name = g->name;
	if (g->slots < u->slots)
		u->slots = g->slots;
	if (g->connections < u->connections)
		u->connections = g->connections;
	u->holders = min_nonzero(u->holders, g->holders);
}

uint32_t object_set_units(const struct object_set *set, uint32_t *unit_of,
			  struct placement_unit *units)
{
	uint32_t *parents = malloc((set->group_count + 1) * sizeof(*parents));
	uint32_t *index = malloc((set->group_count + 1) * sizeof(*index));
	uint32_t count = 0;

	for (uint32_t i = 0; i < set->group_count; i++) {
		parents[i] = i;
		index[i] = UINT32_MAX;
	}
	join_groups(set, parents);
	for (uint32_t i = 0; i < set->group_count; i++) {
		const struct group_object *g = &set->groups[i];
		uint32_t root = find_root(parents, i);

		if (index[root] == UINT32_MAX) {
			index[root] = count;
			units[count++] = (struct placement_unit){
				.name = g->name,
				.slots = g->slots,
				.connections = g->connections,
				.holders = g->holders,
			};
		}
		unit_of[i] = index[root];
		add_group(&units[unit_of[i]], g);
	}
	free(index);
	free(parents);
	return count;
}
