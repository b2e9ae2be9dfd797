#include "objects/objects.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

static json_t *encode_duration(int64_t us)
{
	return json_sprintf("%lldus", (long long)us);
}

static void set_reference(json_t *object, const char *field, const char *name)
{
	json_object_set_new(object, field, json_string(name));
}

static json_t *encode_fleet(const struct object_set *set)
{
	json_t *domains = json_array();

	for (uint32_t i = 0; i < set->domain_count; i++) {
		const struct domain_object *d = &set->domains[i];

		json_array_append_new(domains,
				      json_pack("{s:s,s:s,s:I}", "name",
						d->name, "region", d->region,
						"seats", (json_int_t)d->seats));
	}
	return json_pack("{s:{s:o}}", "main", "domains", domains);
}

static json_t *encode_deadlines(const struct object_set *set)
{
	json_t *table = json_object();

	for (uint32_t i = 0; i < set->deadline_count; i++) {
		const struct deadline_object *d = &set->deadlines[i];

		json_object_set_new(table, d->name,
				    json_pack("{s:o,s:o}", "default",
					      encode_duration(d->default_us),
					      "max",
					      encode_duration(d->max_us)));
	}
	return table;
}

static json_t *encode_retries(const struct object_set *set)
{
	json_t *table = json_object();

	for (uint32_t i = 0; i < set->retry_count; i++) {
		const struct retry_object *r = &set->retries[i];

		json_object_set_new(table, r->name,
				    json_pack("{s:I,s:o,s:f}", "attempts",
					      (json_int_t)r->attempts,
					      "backoff",
					      encode_duration(r->backoff_us),
					      "budget", r->budget_percent));
	}
	return table;
}

static json_t *encode_hedges(const struct object_set *set)
{
	json_t *table = json_object();

	for (uint32_t i = 0; i < set->hedge_count; i++) {
		const struct hedge_object *h = &set->hedges[i];

		json_object_set_new(
			table, h->name,
			json_pack("{s:f,s:o,s:o}", "quantile", h->quantile,
				  "min_delay", encode_duration(h->min_delay_us),
				  "max_delay",
				  encode_duration(h->max_delay_us)));
	}
	return table;
}

static json_t *encode_classes(const struct object_set *set)
{
	json_t *table = json_object();

	for (uint32_t i = 0; i < set->class_count; i++) {
		const struct class_object *c = &set->classes[i];

		json_object_set_new(table, c->name,
				    json_pack("{s:s,s:I,s:f}", "kind", c->kind,
					      "worth", (json_int_t)c->worth,
					      "floor", c->floor_percent));
	}
	return table;
}

static json_t *encode_drains(const struct object_set *set)
{
	json_t *table = json_object();

	for (uint32_t i = 0; i < set->drain_count; i++) {
		const struct drain_object *d = &set->drains[i];

		json_object_set_new(table, d->name,
				    json_pack("{s:o,s:o}", "notice",
					      encode_duration(d->notice_us),
					      "linger",
					      encode_duration(d->linger_us)));
	}
	return table;
}

static json_t *encode_shard(const struct object_set *set,
			    const struct shard_object *s)
{
	json_t *leaves = json_array();

	for (uint32_t i = 0; i < s->leaf_count; i++) {
		const struct leaf_object *l = &set->leaves[s->first_leaf + i];

		json_array_append_new(leaves,
				      json_pack("{s:s,s:s}", "address",
						l->address, "domain",
						set->domains[l->domain].name));
	}
	return json_pack("{s:s,s:I,s:o}", "name", s->name, "weight",
			 (json_int_t)s->weight, "leaves", leaves);
}

static json_t *encode_groups(const struct object_set *set)
{
	json_t *table = json_object();

	for (uint32_t i = 0; i < set->group_count; i++) {
		const struct group_object *g = &set->groups[i];
		json_t *shards = json_array();

		for (uint32_t j = 0; j < g->shard_count; j++)
			json_array_append_new(
				shards,
				encode_shard(set,
					     &set->shards[g->first_shard + j]));
		json_object_set_new(
			table, g->name,
			json_pack("{s:I,s:I,s:o,s:I,s:o}", "slots",
				  (json_int_t)g->slots, "connections",
				  (json_int_t)g->connections, "connect_cost",
				  encode_duration(g->connect_cost_us),
				  "holders", (json_int_t)g->holders, "shards",
				  shards));
	}
	return table;
}

static json_t *encode_service(const struct object_set *set,
			      const struct service_object *s)
{
	static const char *const policies[] = { "nutmegpick", "round_robin",
						"naive_retry" };
	json_t *groups = json_array();
	json_t *o;

	for (uint32_t i = 0; i < s->group_count; i++)
		json_array_append_new(
			groups, json_string(set->groups[s->groups[i]].name));
	o = json_pack("{s:o,s:f,s:b,s:b,s:s,s:I,s:s}", "groups", groups,
		      "min_coverage", s->min_coverage_percent, "early_answer",
		      s->early_answer, "idempotent", s->idempotent, "fan_out",
		      s->fan_out == FAN_OUT_KEY ? "key" : "all", "top_k",
		      (json_int_t)s->top_k, "policy", policies[s->policy]);
	set_reference(o, "deadline", set->deadlines[s->deadline].name);
	set_reference(o, "class", set->classes[s->class].name);
	if (s->retry != OBJ_NONE)
		set_reference(o, "retry", set->retries[s->retry].name);
	if (s->hedge != OBJ_NONE)
		set_reference(o, "hedge", set->hedges[s->hedge].name);
	if (s->drain != OBJ_NONE)
		set_reference(o, "drain", set->drains[s->drain].name);
	return o;
}

static json_t *encode_services(const struct object_set *set)
{
	json_t *table = json_object();

	for (uint32_t i = 0; i < set->service_count; i++)
		json_object_set_new(table, set->services[i].name,
				    encode_service(set, &set->services[i]));
	return table;
}

char *object_set_encode(const struct object_set *set)
{
	json_t *root = json_pack(
		"{s:o,s:o,s:o,s:o,s:o,s:o,s:o,s:o}", "fleet", encode_fleet(set),
		"deadline", encode_deadlines(set), "retry", encode_retries(set),
		"hedge", encode_hedges(set), "class", encode_classes(set),
		"drain", encode_drains(set), "group", encode_groups(set),
		"service", encode_services(set));
	char *text = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);

	json_decref(root);
	return text;
}
