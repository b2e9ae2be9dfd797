#include "objects/build.h"

#include <glib.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/duration.h"
#include "common/errors.h"
#include "objects/fault.h"

enum kind {
	KIND_FLEET,
	KIND_DEADLINE,
	KIND_RETRY,
	KIND_HEDGE,
	KIND_CLASS,
	KIND_DRAIN,
	KIND_GROUP,
	KIND_SERVICE,
	KIND_COUNT,
};

static const char *const kind_names[KIND_COUNT] = {
	"fleet", "deadline", "retry", "hedge",
	"class", "drain",    "group", "service",
};

enum field_type {
	FIELD_STRING,
	FIELD_UINT,
	FIELD_UINT64,
	FIELD_REAL,
	FIELD_BOOL,
	FIELD_DURATION,
	FIELD_REFERENCE,
	FIELD_CHOICE,
	/** Read by a function of the kind, not by read_field(). */
	FIELD_NESTED,
};

struct field_spec {
	const char *name;
	enum field_type type;
	size_t offset;
	bool is_required;
	/** Range of a number; of a duration, in microseconds. */
	double min;
	double max;
	/** Kind of the object that a reference names. */
	enum kind target;
	/** Accepted strings of a choice; NULL-terminated. */
	const char *const *choices;
};

struct build {
	struct object_set *set;
	struct fault_list *faults;
	const char *file;
	/** Object that is read, such as "service.browse"; for faults. */
	const char *object_path;
};

#define DURATION_FIELD(type, field, name, required, min, max)               \
	{                                                                   \
		name, FIELD_DURATION, offsetof(type, field), required, min, \
			max                                                 \
	}

static const struct field_spec deadline_fields[] = {
	DURATION_FIELD(struct deadline_object, default_us, "default", true,
		       1000, 600e6),
	DURATION_FIELD(struct deadline_object, max_us, "max", true, 1000,
		       600e6),
	{ NULL },
};

static const struct field_spec retry_fields[] = {
	{ "attempts", FIELD_UINT, offsetof(struct retry_object, attempts), true,
	  1, 10 },
	DURATION_FIELD(struct retry_object, backoff_us, "backoff", false, 0,
		       60e6),
	{ "budget", FIELD_REAL, offsetof(struct retry_object, budget_percent),
	  false, 0, 100 },
	{ NULL },
};

static const struct field_spec hedge_fields[] = {
	{ "quantile", FIELD_REAL, offsetof(struct hedge_object, quantile),
	  false, 0.5, 0.9999 },
	DURATION_FIELD(struct hedge_object, min_delay_us, "min_delay", false, 0,
		       60e6),
	DURATION_FIELD(struct hedge_object, max_delay_us, "max_delay", true, 0,
		       60e6),
	{ NULL },
};

static const struct field_spec class_fields[] = {
	{ "kind", FIELD_STRING, offsetof(struct class_object, kind), true },
	{ "worth", FIELD_UINT, offsetof(struct class_object, worth), true, 1,
	  1000 },
	{ "floor", FIELD_REAL, offsetof(struct class_object, floor_percent),
	  false, 0, 100 },
	{ NULL },
};

static const struct field_spec drain_fields[] = {
	DURATION_FIELD(struct drain_object, notice_us, "notice", true, 0,
		       3600e6),
	DURATION_FIELD(struct drain_object, linger_us, "linger", true, 0,
		       3600e6),
	{ NULL },
};

static const struct field_spec group_fields[] = {
	{ "slots", FIELD_UINT, offsetof(struct group_object, slots), true, 1,
	  100000 },
	{ "connections", FIELD_UINT, offsetof(struct group_object, connections),
	  true, 1, 100000 },
	DURATION_FIELD(struct group_object, connect_cost_us, "connect_cost",
		       false, 0, 10e6),
	{ "holders", FIELD_UINT, offsetof(struct group_object, holders), false,
	  0, 10000 },
	{ "shards", FIELD_NESTED, 0, true },
	{ NULL },
};

static const char *const fan_out_names[] = { "all", "key", NULL };
static const char *const policy_names[] = { "nutmegpick", "round_robin",
					    "naive_retry", NULL };

static const struct field_spec service_fields[] = {
	{ "groups", FIELD_NESTED, 0, true },
	{ "deadline", FIELD_REFERENCE,
	  offsetof(struct service_object, deadline), true, 0, 0,
	  KIND_DEADLINE },
	{ "retry", FIELD_REFERENCE, offsetof(struct service_object, retry),
	  false, 0, 0, KIND_RETRY },
	{ "hedge", FIELD_REFERENCE, offsetof(struct service_object, hedge),
	  false, 0, 0, KIND_HEDGE },
	{ "class", FIELD_REFERENCE, offsetof(struct service_object, class),
	  true, 0, 0, KIND_CLASS },
	{ "drain", FIELD_REFERENCE, offsetof(struct service_object, drain),
	  false, 0, 0, KIND_DRAIN },
	{ "min_coverage", FIELD_REAL,
	  offsetof(struct service_object, min_coverage_percent), false, 0,
	  100 },
	{ "early_answer", FIELD_BOOL,
	  offsetof(struct service_object, early_answer) },
	{ "idempotent", FIELD_BOOL,
	  offsetof(struct service_object, idempotent) },
	{ "fan_out", FIELD_CHOICE, offsetof(struct service_object, fan_out),
	  false, 0, 0, 0, fan_out_names },
	{ "top_k", FIELD_UINT, offsetof(struct service_object, top_k), false, 1,
	  10000 },
	{ "policy", FIELD_CHOICE, offsetof(struct service_object, policy),
	  false, 0, 0, 0, policy_names },
	{ NULL },
};

static const struct field_spec fleet_fields[] = {
	{ "domains", FIELD_NESTED, 0, true },
	{ NULL },
};

static const struct field_spec domain_fields[] = {
	{ "name", FIELD_STRING, offsetof(struct domain_object, name), true },
	{ "region", FIELD_STRING, offsetof(struct domain_object, region),
	  true },
	{ "seats", FIELD_UINT, offsetof(struct domain_object, seats), true, 1,
	  10000 },
	{ NULL },
};

static const struct field_spec shard_fields[] = {
	{ "name", FIELD_STRING, offsetof(struct shard_object, name), true },
	{ "weight", FIELD_UINT64, offsetof(struct shard_object, weight), true,
	  1, 1e15 },
	{ "leaves", FIELD_NESTED, 0, true },
	{ NULL },
};

struct leaf_fields {
	char *address;
	char *domain;
};

static const struct field_spec leaf_field_specs[] = {
	{ "address", FIELD_STRING, offsetof(struct leaf_fields, address),
	  true },
	{ "domain", FIELD_STRING, offsetof(struct leaf_fields, domain), true },
	{ NULL },
};

static const struct field_spec *const kind_fields[KIND_COUNT] = {
	[KIND_FLEET] = fleet_fields, [KIND_DEADLINE] = deadline_fields,
	[KIND_RETRY] = retry_fields, [KIND_HEDGE] = hedge_fields,
	[KIND_CLASS] = class_fields, [KIND_DRAIN] = drain_fields,
	[KIND_GROUP] = group_fields, [KIND_SERVICE] = service_fields,
};

static void add_fault(struct build *b, int line, int code, const char *field,
		      const char *message)
{
	char *path = g_strdup_printf("%s%s%s", b->object_path,
				     *field ? "." : "", field);

	fault_add(b->faults, b->file, line, code, path, "%s", message);
	g_free(path);
}

static size_t edit_distance(const char *a, const char *b)
{
	size_t la = strlen(a);
	size_t lb = MIN(strlen(b), 63);
	size_t row[64];

	for (size_t j = 0; j <= lb; j++)
		row[j] = j;
	for (size_t i = 1; i <= la; i++) {
		size_t diagonal = row[0];

		row[0] = i;
		for (size_t j = 1; j <= lb; j++) {
			size_t cost = diagonal + (a[i - 1] != b[j - 1]);

			diagonal = row[j];
			row[j] = MIN(MIN(row[j], row[j - 1]) + 1, cost);
		}
	}
	return row[lb];
}

static void add_unknown_fault(struct build *b, int line, int code,
			      const char *name, const char *nearest)
{
	char *message;

	if (nearest && edit_distance(name, nearest) <= 3)
		message = g_strdup_printf("unknown name, did you mean \"%s\"?",
					  nearest);
	else
		message = g_strdup("unknown name");
	add_fault(b, line, code, name, message);
	g_free(message);
}

static void check_unknown_fields(struct build *b, const struct tree_node *table,
				 const struct field_spec *specs)
{
	for (const struct tree_node *n = table->first_child; n; n = n->next) {
		const char *nearest = NULL;
		const struct field_spec *s;

		for (s = specs; s->name; s++) {
			if (!strcmp(s->name, n->key))
				break;
			if (!nearest || edit_distance(n->key, s->name) <
						edit_distance(n->key, nearest))
				nearest = s->name;
		}
		if (!s->name)
			add_unknown_fault(b, n->line, ERR_OBJ_UNKNOWN_KEY,
					  n->key, nearest);
	}
}

static bool check_range(struct build *b, const struct tree_node *n,
			const struct field_spec *s, double v, const char *unit)
{
	char *message;

	if (v >= s->min && v <= s->max)
		return true;
	message = g_strdup_printf("must be between %.15g and %.15g%s", s->min,
				  s->max, unit);
	add_fault(b, n->line, ERR_OBJ_RANGE, s->name, message);
	g_free(message);
	return false;
}

static void add_type_fault(struct build *b, const struct tree_node *n,
			   const char *name, const char *expected)
{
	char *message = g_strdup_printf("must be %s", expected);

	add_fault(b, n->line, ERR_OBJ_TYPE, name, message);
	g_free(message);
}

static void read_duration(struct build *b, const struct tree_node *n,
			  const struct field_spec *s, int64_t *out)
{
	int64_t us;

	if (n->type == TREE_INTEGER || n->type == TREE_REAL) {
		add_fault(b, n->line, ERR_OBJ_UNIT, s->name,
			  "needs a unit, such as \"200ms\"");
		return;
	}
	if (n->type != TREE_STRING) {
		add_type_fault(b, n, s->name, "a duration string");
		return;
	}
	if (duration_parse(n->text, &us)) {
		add_fault(b, n->line, ERR_OBJ_UNIT, s->name,
			  "not a duration with a unit (us, ms, s, m, h)");
		return;
	}
	if (check_range(b, n, s, (double)us, " us"))
		*out = us;
}

static void read_string(struct build *b, const struct tree_node *n,
			const struct field_spec *s, char **out)
{
	if (n->type != TREE_STRING) {
		add_type_fault(b, n, s->name, "a string");
		return;
	}
	if (!*n->text || strlen(n->text) > 255) {
		add_fault(b, n->line, ERR_OBJ_RANGE, s->name,
			  "must have 1 to 255 bytes");
		return;
	}
	/* An object that is defined twice is read twice; free the first. */
	free(*out);
	*out = strdup(n->text);
}

static void read_choice(struct build *b, const struct tree_node *n,
			const struct field_spec *s, int *out)
{
	char *names;

	if (n->type != TREE_STRING) {
		add_type_fault(b, n, s->name, "a string");
		return;
	}
	for (int i = 0; s->choices[i]; i++) {
		if (!strcmp(s->choices[i], n->text)) {
			*out = i;
			return;
		}
	}
	names = g_strjoinv(", ", (char **)s->choices);
	add_type_fault(b, n, s->name, names);
	g_free(names);
}

static void read_integer(struct build *b, const struct tree_node *n,
			 const struct field_spec *s, void *out)
{
	if (n->type != TREE_INTEGER) {
		add_type_fault(b, n, s->name, "an integer");
		return;
	}
	if (!check_range(b, n, s, (double)n->integer, ""))
		return;
	if (s->type == FIELD_UINT)
		*(uint32_t *)out = (uint32_t)n->integer;
	else
		*(uint64_t *)out = (uint64_t)n->integer;
}

static void read_real(struct build *b, const struct tree_node *n,
		      const struct field_spec *s, double *out)
{
	double v = n->type == TREE_INTEGER ? (double)n->integer : n->real;

	if (n->type != TREE_INTEGER && n->type != TREE_REAL) {
		add_type_fault(b, n, s->name, "a number");
		return;
	}
	if (check_range(b, n, s, v, ""))
		*out = v;
}

static obj_handle find_named(const void *table, uint32_t count, size_t size,
			     const char *name)
{
	for (uint32_t i = 0; i < count; i++) {
		const char *other =
			*(char *const *)((const char *)table + i * size);

		if (other && !strcmp(other, name))
			return i;
	}
	return OBJ_NONE;
}

#define FIND_NAMED(set, table, count, name) \
	find_named((set)->table, (set)->count, sizeof(*(set)->table), name)

static obj_handle find_object(const struct object_set *set, enum kind kind,
			      const char *name)
{
	switch (kind) {
	case KIND_DEADLINE:
		return FIND_NAMED(set, deadlines, deadline_count, name);
	case KIND_RETRY:
		return FIND_NAMED(set, retries, retry_count, name);
	case KIND_HEDGE:
		return FIND_NAMED(set, hedges, hedge_count, name);
	case KIND_CLASS:
		return FIND_NAMED(set, classes, class_count, name);
	case KIND_DRAIN:
		return FIND_NAMED(set, drains, drain_count, name);
	case KIND_GROUP:
		return FIND_NAMED(set, groups, group_count, name);
	case KIND_SERVICE:
		return FIND_NAMED(set, services, service_count, name);
	default:
		return OBJ_NONE;
	}
}

static obj_handle resolve_reference(struct build *b, const struct tree_node *n,
				    const char *field, enum kind target)
{
	obj_handle h;
	char *message;

	if (n->type != TREE_STRING) {
		add_type_fault(b, n, field, "the name of an object");
		return OBJ_NONE;
	}
	h = find_object(b->set, target, n->text);
	if (h != OBJ_NONE)
		return h;
	message = g_strdup_printf("%s \"%s\" does not exist",
				  kind_names[target], n->text);
	add_fault(b, n->line, ERR_OBJ_DANGLING, field, message);
	g_free(message);
	return OBJ_NONE;
}

static void read_field(struct build *b, const struct tree_node *n,
		       const struct field_spec *s, void *out)
{
	switch (s->type) {
	case FIELD_STRING:
		read_string(b, n, s, out);
		break;
	case FIELD_UINT:
	case FIELD_UINT64:
		read_integer(b, n, s, out);
		break;
	case FIELD_REAL:
		read_real(b, n, s, out);
		break;
	case FIELD_BOOL:
		if (n->type == TREE_BOOL)
			*(bool *)out = n->flag;
		else
			add_type_fault(b, n, s->name, "true or false");
		break;
	case FIELD_DURATION:
		read_duration(b, n, s, out);
		break;
	case FIELD_REFERENCE:
		*(obj_handle *)out =
			resolve_reference(b, n, s->name, s->target);
		break;
	case FIELD_CHOICE:
		read_choice(b, n, s, out);
		break;
	default:
		break;
	}
}

static void read_fields(struct build *b, const struct tree_node *table,
			const struct field_spec *specs, void *object)
{
	check_unknown_fields(b, table, specs);
	for (const struct field_spec *s = specs; s->name; s++) {
		const struct tree_node *n = tree_find(table, s->name);

		if (n && object && s->type != FIELD_NESTED)
			read_field(b, n, s, (char *)object + s->offset);
		else if (!n && s->is_required)
			add_fault(b, table->line, ERR_OBJ_MISSING, s->name,
				  "is required");
	}
}

/* Appends a zeroed row to a table of the set and returns the row. */
#define ADD_ROW(set, table, count)                                           \
	((set)->table = realloc((set)->table,                                \
				((set)->count + 1) * sizeof(*(set)->table)), \
	 memset(&(set)->table[(set)->count], 0, sizeof(*(set)->table)),      \
	 &(set)->table[(set)->count++])

static const struct tree_node *find_table_array(struct build *b,
						const struct tree_node *table,
						const char *field)
{
	const struct tree_node *n = tree_find(table, field);

	if (!n)
		return NULL;
	if (n->type != TREE_ARRAY) {
		add_type_fault(b, n, field, "an array of tables");
		return NULL;
	}
	for (const struct tree_node *c = n->first_child; c; c = c->next) {
		if (c->type == TREE_TABLE)
			continue;
		add_type_fault(b, c, field, "an array of tables");
		return NULL;
	}
	if (!n->first_child)
		add_fault(b, n->line, ERR_OBJ_CONTRADICTION, field,
			  "must not be empty");
	return n;
}

static void read_leaf(struct build *b, const struct tree_node *table,
		      obj_handle shard)
{
	struct object_set *set = b->set;
	struct leaf_fields fields = { NULL, NULL };
	struct leaf_object *leaf;
	char *message;

	read_fields(b, table, leaf_field_specs, &fields);
	leaf = ADD_ROW(set, leaves, leaf_count);
	leaf->shard = shard;
	leaf->domain = OBJ_NONE;
	leaf->address = fields.address;
	if (!fields.domain)
		return;
	leaf->domain = FIND_NAMED(set, domains, domain_count, fields.domain);
	if (leaf->domain == OBJ_NONE) {
		message = g_strdup_printf("domain \"%s\" is not in the fleet",
					  fields.domain);
		add_fault(b, table->line, ERR_OBJ_DANGLING, "domain", message);
		g_free(message);
	}
	free(fields.domain);
}

static void read_shard(struct build *b, const struct tree_node *table,
		       obj_handle group)
{
	struct object_set *set = b->set;
	obj_handle h = set->shard_count;
	struct shard_object *shard = ADD_ROW(set, shards, shard_count);
	const struct tree_node *leaves;

	shard->group = group;
	read_fields(b, table, shard_fields, shard);
	if (shard->name &&
	    find_named(set->shards + set->groups[group].first_shard,
		       h - set->groups[group].first_shard, sizeof(*shard),
		       shard->name) != OBJ_NONE)
		add_fault(b, table->line, ERR_OBJ_DUPLICATE, "shards",
			  shard->name);
	shard->first_leaf = set->leaf_count;
	leaves = find_table_array(b, table, "leaves");
	if (!leaves)
		return;
	for (const struct tree_node *n = leaves->first_child; n; n = n->next)
		read_leaf(b, n, h);
	set->shards[h].leaf_count = set->leaf_count - set->shards[h].first_leaf;
}

static void read_group(struct build *b, const struct tree_node *table,
		       obj_handle group)
{
	struct object_set *set = b->set;
	const struct tree_node *shards;

	read_fields(b, table, group_fields, &set->groups[group]);
	set->groups[group].first_shard = set->shard_count;
	shards = find_table_array(b, table, "shards");
	if (!shards)
		return;
	for (const struct tree_node *n = shards->first_child; n; n = n->next)
		read_shard(b, n, group);
	set->groups[group].shard_count =
		set->shard_count - set->groups[group].first_shard;
}

static void read_group_references(struct build *b,
				  const struct tree_node *table,
				  struct service_object *service)
{
	const struct tree_node *n = tree_find(table, "groups");

	if (!n)
		return;
	if (n->type != TREE_ARRAY || !n->first_child) {
		add_type_fault(b, n, "groups",
			       "an array of one or more group names");
		return;
	}
	for (const struct tree_node *c = n->first_child; c; c = c->next) {
		obj_handle h = resolve_reference(b, c, "groups", KIND_GROUP);

		if (h == OBJ_NONE)
			continue;
		for (uint32_t i = 0; i < service->group_count; i++) {
			if (service->groups[i] == h)
				add_fault(b, c->line, ERR_OBJ_DUPLICATE,
					  "groups", c->text);
		}
		service->groups =
			realloc(service->groups, (service->group_count + 1) *
							 sizeof(obj_handle));
		service->groups[service->group_count++] = h;
	}
}

static void read_service(struct build *b, const struct tree_node *table,
			 struct service_object *service)
{
	service->retry = OBJ_NONE;
	service->hedge = OBJ_NONE;
	service->drain = OBJ_NONE;
	service->idempotent = true;
	service->top_k = 10;
	read_fields(b, table, service_fields, service);
	read_group_references(b, table, service);
}

static void read_fleet(struct build *b, const struct tree_node *table)
{
	struct object_set *set = b->set;
	const struct tree_node *domains;

	read_fields(b, table, fleet_fields, set);
	domains = find_table_array(b, table, "domains");
	if (!domains)
		return;
	for (const struct tree_node *n = domains->first_child; n; n = n->next) {
		struct domain_object *domain =
			ADD_ROW(set, domains, domain_count);

		read_fields(b, n, domain_fields, domain);
		if (domain->name &&
		    find_named(set->domains, set->domain_count - 1,
			       sizeof(*domain), domain->name) != OBJ_NONE)
			add_fault(b, n->line, ERR_OBJ_DUPLICATE, "domains",
				  domain->name);
	}
}

/* Reserves an object's row, so that references resolve in any order. */
static void reserve_row(struct object_set *set, enum kind kind,
			const char *name)
{
	char *copy = strdup(name);

	switch (kind) {
	case KIND_DEADLINE:
		ADD_ROW(set, deadlines, deadline_count)->name = copy;
		return;
	case KIND_RETRY:
		ADD_ROW(set, retries, retry_count)->name = copy;
		return;
	case KIND_HEDGE:
		ADD_ROW(set, hedges, hedge_count)->name = copy;
		return;
	case KIND_CLASS:
		ADD_ROW(set, classes, class_count)->name = copy;
		return;
	case KIND_DRAIN:
		ADD_ROW(set, drains, drain_count)->name = copy;
		return;
	case KIND_GROUP:
		ADD_ROW(set, groups, group_count)->name = copy;
		return;
	case KIND_SERVICE:
		ADD_ROW(set, services, service_count)->name = copy;
		return;
	default:
		free(copy);
	}
}

static void read_object(struct build *b, enum kind kind, obj_handle h,
			const struct tree_node *table)
{
	struct object_set *set = b->set;

	switch (kind) {
	case KIND_FLEET:
		read_fleet(b, table);
		break;
	case KIND_DEADLINE:
		read_fields(b, table, kind_fields[kind], &set->deadlines[h]);
		break;
	case KIND_RETRY:
		set->retries[h].budget_percent = 5;
		read_fields(b, table, kind_fields[kind], &set->retries[h]);
		break;
	case KIND_HEDGE:
		set->hedges[h].quantile = 0.95;
		read_fields(b, table, kind_fields[kind], &set->hedges[h]);
		break;
	case KIND_CLASS:
		read_fields(b, table, kind_fields[kind], &set->classes[h]);
		break;
	case KIND_DRAIN:
		read_fields(b, table, kind_fields[kind], &set->drains[h]);
		break;
	case KIND_GROUP:
		read_group(b, table, h);
		break;
	case KIND_SERVICE:
		read_service(b, table, &set->services[h]);
		break;
	case KIND_COUNT:
		break;
	}
}

static enum kind find_kind(const char *name)
{
	int k = 0;

	while (k < KIND_COUNT && strcmp(kind_names[k], name))
		k++;
	return k;
}

/* Names appear in URL paths, log lines and metric labels. */
static bool is_valid_name(const char *text)
{
	size_t len = strlen(text);

	for (size_t i = 0; i < len; i++) {
		if (!g_ascii_isalnum(text[i]) && !strchr("._-", text[i]))
			return false;
	}
	return len > 0 && len < 64;
}

static void reserve_rows(struct build *b, const struct tree_node *table)
{
	enum kind kind = find_kind(table->key);
	const char *nearest = kind_names[0];

	for (int i = 1; i < KIND_COUNT; i++) {
		if (edit_distance(table->key, kind_names[i]) <
		    edit_distance(table->key, nearest))
			nearest = kind_names[i];
	}
	b->object_path = "set";
	if (kind == KIND_COUNT) {
		add_unknown_fault(b, table->line, ERR_OBJ_UNKNOWN_KIND,
				  table->key, nearest);
		return;
	}
	if (table->type != TREE_TABLE) {
		add_type_fault(b, table, table->key,
			       "a table of named objects");
		return;
	}
	b->object_path = table->key;
	for (const struct tree_node *n = table->first_child; n; n = n->next) {
		if (n->type != TREE_TABLE)
			add_type_fault(b, n, n->key, "a table");
		else if (!is_valid_name(n->key))
			add_fault(b, n->line, ERR_OBJ_RANGE, n->key,
				  "a name has 1 to 63 letters, digits, '.', "
				  "'_' or '-'");
		else if (find_object(b->set, kind, n->key) != OBJ_NONE)
			add_fault(b, n->line, ERR_OBJ_DUPLICATE, n->key,
				  "object is defined twice");
		else
			reserve_row(b->set, kind, n->key);
	}
}

static void read_kind(struct build *b, enum kind kind,
		      const struct set_source *source)
{
	const struct tree_node *table =
		tree_find(source->root, kind_names[kind]);

	if (!table || table->type != TREE_TABLE)
		return;
	b->file = source->file;
	for (const struct tree_node *n = table->first_child; n; n = n->next) {
		obj_handle h = find_object(b->set, kind, n->key);
		char *object;

		/* An object with an invalid name has no row. */
		if (n->type != TREE_TABLE ||
		    (kind != KIND_FLEET && h == OBJ_NONE))
			continue;
		object = g_strdup_printf("%s.%s", kind_names[kind], n->key);
		b->object_path = object;
		read_object(b, kind, h, n);
		g_free(object);
	}
}

/*
 * Adds the fleet objects of one file to the count of the files before it.
 * Adds a fault for the second object.
 */
static size_t count_fleets(struct build *b, const struct set_source *source,
			   size_t count)
{
	const struct tree_node *fleet = tree_find(source->root, "fleet");

	if (!fleet || fleet->type != TREE_TABLE)
		return count;
	b->file = source->file;
	for (const struct tree_node *n = fleet->first_child; n; n = n->next) {
		if (++count == 2)
			add_fault(b, n->line, ERR_OBJ_DUPLICATE, "fleet",
				  "a set has only one fleet object");
	}
	return count;
}

static void check_fleet_count(struct build *b, const struct set_source *sources,
			      size_t count)
{
	size_t fleets = 0;

	b->object_path = "set";
	for (size_t i = 0; i < count; i++)
		fleets = count_fleets(b, &sources[i], fleets);
	b->file = sources[0].file;
	if (!fleets)
		add_fault(b, 0, ERR_OBJ_MISSING, "fleet",
			  "a set needs one fleet object");
	if (!b->set->service_count)
		add_fault(b, 0, ERR_OBJ_EMPTY, "service",
			  "a set needs at least one service");
}

struct object_set *build_set(const struct set_source *sources, size_t count,
			     struct fault_list *faults)
{
	struct build b = { .faults = faults };

	b.set = calloc(1, sizeof(*b.set));
	b.set->refs = 1;
	for (size_t i = 0; i < count; i++) {
		b.file = sources[i].file;
		for (const struct tree_node *n = sources[i].root->first_child;
		     n; n = n->next)
			reserve_rows(&b, n);
	}
	for (int kind = 0; kind < KIND_COUNT; kind++) {
		for (size_t i = 0; i < count; i++)
			read_kind(&b, kind, &sources[i]);
	}
	check_fleet_count(&b, sources, count);
	return b.set;
}
