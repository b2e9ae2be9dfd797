#include "objects/objects.h"

#include <stdlib.h>
#include <string.h>

struct object_set *object_set_ref(struct object_set *set)
{
	__atomic_fetch_add(&set->refs, 1, __ATOMIC_RELAXED);
	return set;
}

#define FREE_TABLE(table, count)                          \
	do {                                              \
		for (uint32_t i_ = 0; i_ < (count); i_++) \
			free((table)[i_].name);           \
		free(table);                              \
	} while (0)

void object_set_unref(struct object_set *set)
{
	if (!set || __atomic_sub_fetch(&set->refs, 1, __ATOMIC_ACQ_REL) > 0)
		return;
	for (uint32_t i = 0; i < set->domain_count; i++)
		free(set->domains[i].region);
	for (uint32_t i = 0; i < set->class_count; i++)
		free(set->classes[i].kind);
	for (uint32_t i = 0; i < set->service_count; i++)
		free(set->services[i].groups);
	for (uint32_t i = 0; i < set->leaf_count; i++)
		free(set->leaves[i].address);
	FREE_TABLE(set->domains, set->domain_count);
	FREE_TABLE(set->deadlines, set->deadline_count);
	FREE_TABLE(set->retries, set->retry_count);
	FREE_TABLE(set->hedges, set->hedge_count);
	FREE_TABLE(set->classes, set->class_count);
	FREE_TABLE(set->drains, set->drain_count);
	FREE_TABLE(set->groups, set->group_count);
	FREE_TABLE(set->shards, set->shard_count);
	FREE_TABLE(set->services, set->service_count);
	free(set->leaves);
	free(set);
}

obj_handle object_set_find_service(const struct object_set *set,
				   const char *name)
{
	for (uint32_t i = 0; i < set->service_count; i++) {
		if (!strcmp(set->services[i].name, name))
			return i;
	}
	return OBJ_NONE;
}
