#include "objects/build.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "common/errors.h"
#include "objects/fault.h"

/* Longest time for which a draining upstream may still get new work. */
#define DRAIN_NOTICE_MAX_US 3000000

struct check {
	const struct object_set *set;
	const struct set_source *sources;
	size_t source_count;
	struct fault_list *faults;
};

struct source_position {
	const char *file;
	int line;
};

static const struct tree_node *find_object_node(const struct tree_node *root,
						const char *kind,
						const char *name)
{
	const struct tree_node *table = tree_find(root, kind);

	if (!table || table->type != TREE_TABLE)
		return NULL;
	return tree_find(table, name);
}

/* Returns the position of a field, or of its object if it lacks the field. */
static struct source_position locate_field(const struct check *c,
					   const char *kind, const char *name,
					   const char *field)
{
	struct source_position p = { c->sources[0].file, 0 };

	for (size_t i = 0; i < c->source_count; i++) {
		const struct tree_node *object =
			find_object_node(c->sources[i].root, kind, name);
		const struct tree_node *n;

		if (!object)
			continue;
		n = tree_find(object, field);
		p.file = c->sources[i].file;
		p.line = n ? n->line : object->line;
		break;
	}
	return p;
}

static const struct tree_node *nth_child(const struct tree_node *array,
					 uint32_t index)
{
	const struct tree_node *n = array->first_child;

	while (n && index--)
		n = n->next;
	return n;
}

static struct source_position locate_leaf(const struct check *c,
					  obj_handle leaf)
{
	const struct shard_object *shard =
		&c->set->shards[c->set->leaves[leaf].shard];
	const struct group_object *group = &c->set->groups[shard->group];
	obj_handle index = c->set->leaves[leaf].shard - group->first_shard;
	struct source_position p =
		locate_field(c, "group", group->name, "shards");

	for (size_t i = 0; i < c->source_count; i++) {
		const struct tree_node *n = find_object_node(
			c->sources[i].root, "group", group->name);

		if (!n)
			continue;
		n = nth_child(tree_find(n, "shards"), index);
		n = nth_child(tree_find(n, "leaves"), leaf - shard->first_leaf);
		p.line = n->line;
		break;
	}
	return p;
}

static void add_contradiction(struct check *c, const char *kind,
			      const char *name, const char *field,
			      const char *message)
{
	struct source_position p = locate_field(c, kind, name, field);
	char *path = g_strdup_printf("%s.%s.%s", kind, name, field);

	fault_add(c->faults, p.file, p.line, ERR_OBJ_CONTRADICTION, path, "%s",
		  message);
	g_free(path);
}

static void check_service(struct check *c, const struct service_object *s)
{
	const struct object_set *set = c->set;
	const struct deadline_object *deadline = &set->deadlines[s->deadline];

	if (s->hedge != OBJ_NONE &&
	    set->hedges[s->hedge].max_delay_us >= deadline->default_us)
		add_contradiction(c, "service", s->name, "hedge",
				  "hedge delay is not below the deadline");
	if (s->retry != OBJ_NONE &&
	    set->retries[s->retry].backoff_us >= deadline->default_us)
		add_contradiction(c, "service", s->name, "retry",
				  "retry backoff is not below the deadline");
	if (!s->idempotent && s->hedge != OBJ_NONE)
		add_contradiction(c, "service", s->name, "hedge",
				  "non-idempotent service cannot hedge");
	if (!s->idempotent && s->retry != OBJ_NONE)
		add_contradiction(c, "service", s->name, "retry",
				  "non-idempotent service cannot retry");
	if (!s->idempotent && s->early_answer)
		add_contradiction(c, "service", s->name, "early_answer",
				  "non-idempotent service cannot answer early");
	if (s->idempotent && s->fan_out == FAN_OUT_KEY)
		add_contradiction(c, "service", s->name, "fan_out",
				  "\"key\" needs a non-idempotent service");
}

static uint32_t count_seats(const struct object_set *set)
{
	uint32_t seats = 0;

	for (uint32_t i = 0; i < set->domain_count; i++)
		seats += set->domains[i].seats;
	return seats;
}

static void check_group(struct check *c, const struct group_object *g)
{
	if (g->slots > g->connections)
		add_contradiction(c, "group", g->name, "slots",
				  "more slots than connections");
	if (g->holders > count_seats(c->set))
		add_contradiction(c, "group", g->name, "holders",
				  "more holders than seats in the fleet");
	if (g->holders > g->slots && g->holders > g->connections / 2)
		add_contradiction(c, "group", g->name, "holders",
				  "more holders than slots, and than half of "
				  "the connections");
}

static bool is_leaf_address(const char *text)
{
	const char *colon = strrchr(text, ':');
	struct in_addr addr;
	char ip[INET_ADDRSTRLEN];
	char *end;
	long port;

	if (!colon || (size_t)(colon - text) >= sizeof(ip) ||
	    !g_ascii_isdigit(colon[1]))
		return false;
	g_strlcpy(ip, text, (gsize)(colon - text) + 1);
	port = strtol(colon + 1, &end, 10);
	return inet_pton(AF_INET, ip, &addr) == 1 && !*end && port > 0 &&
	       port <= 65535;
}

static void add_leaf_fault(struct check *c, obj_handle leaf, int code,
			   const char *message)
{
	const struct object_set *set = c->set;
	const struct shard_object *shard =
		&set->shards[set->leaves[leaf].shard];
	struct source_position p = locate_leaf(c, leaf);
	char *path = g_strdup_printf("group.%s.shards.%s.leaves",
				     set->groups[shard->group].name,
				     shard->name);

	fault_add(c->faults, p.file, p.line, code, path, "leaf \"%s\" %s",
		  set->leaves[leaf].address, message);
	g_free(path);
}

static void check_leaves(struct check *c)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

	for (uint32_t i = 0; i < c->set->leaf_count; i++) {
		char *address = c->set->leaves[i].address;

		if (!is_leaf_address(address))
			add_leaf_fault(c, i, ERR_OBJ_RANGE,
				       "needs an IP number and a port");
		/*
		 * A leaf that is listed twice gets two concurrency limits and
		 * could receive more calls than either permits.
		 */
		if (!g_hash_table_add(seen, address))
			add_leaf_fault(c, i, ERR_OBJ_DUPLICATE,
				       "is listed twice");
	}
	g_hash_table_destroy(seen);
}

static void check_classes(struct check *c)
{
	double sum = 0;

	for (uint32_t i = 0; i < c->set->class_count; i++) {
		const struct class_object *class = &c->set->classes[i];

		sum += class->floor_percent;
		if (sum > 100 && sum - class->floor_percent <= 100)
			add_contradiction(c, "class", class->name, "floor",
					  "floors of all classes exceed 100%");
	}
}

void check_set(const struct object_set *set, const struct set_source *sources,
	       size_t count, struct fault_list *faults)
{
	struct check c = {
		.set = set,
		.sources = sources,
		.source_count = count,
		.faults = faults,
	};

	for (uint32_t i = 0; i < set->deadline_count; i++) {
		const struct deadline_object *d = &set->deadlines[i];

		if (d->default_us > d->max_us)
			add_contradiction(&c, "deadline", d->name, "default",
					  "default is above max");
	}
	for (uint32_t i = 0; i < set->hedge_count; i++) {
		const struct hedge_object *h = &set->hedges[i];

		if (h->min_delay_us > h->max_delay_us)
			add_contradiction(&c, "hedge", h->name, "min_delay",
					  "min_delay is above max_delay");
	}
	for (uint32_t i = 0; i < set->drain_count; i++) {
		const struct drain_object *d = &set->drains[i];

		if (d->notice_us > DRAIN_NOTICE_MAX_US)
			add_contradiction(&c, "drain", d->name, "notice",
					  "notice is above 3 s");
	}
	for (uint32_t i = 0; i < set->group_count; i++)
		check_group(&c, &set->groups[i]);
	for (uint32_t i = 0; i < set->service_count; i++)
		check_service(&c, &set->services[i]);
	check_classes(&c);
	check_leaves(&c);
}
