#include "store_data.h"

#include <stdlib.h>
#include <string.h>

static void change_free(void *p)
{
	struct store_change *c = p;

	g_free(c->value);
	g_free(c);
}

static int compare_keys(const void *a, const void *b, void *ctx)
{
	return strcmp(a, b);
}

void store_data_init(struct store_data *d)
{
	memset(d, 0, sizeof(*d));
	d->revision = 1;
	d->last_lease_id = 1000;
	d->keys = g_tree_new_full(compare_keys, NULL, g_free,
				  (GDestroyNotify)g_ptr_array_unref);
	d->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					  g_free);
}

int64_t store_data_integer(const json_t *object, const char *field)
{
	const json_t *v = json_object_get(object, field);

	if (json_is_string(v))
		return strtoll(json_string_value(v), NULL, 10);
	return json_integer_value(v);
}

static json_t *format_integer(int64_t v)
{
	return json_sprintf("%lld", (long long)v);
}

json_t *store_data_header(const struct store_data *d)
{
	return json_pack("{s:s,s:s,s:o,s:s}", "cluster_id", "1", "member_id",
			 "1", "revision", format_integer(d->revision),
			 "raft_term", "1");
}

/* Returns the decoded key, or NULL. */
static char *decode_key(const json_t *object, const char *field)
{
	const char *text = json_string_value(json_object_get(object, field));
	char *data;
	char *key;
	gsize len;

	if (!text)
		return NULL;
	data = (char *)g_base64_decode(text, &len);
	key = g_strndup(data, len);
	g_free(data);
	return key;
}

static const struct store_change *find_change(struct store_data *d,
					      const char *key, int64_t revision)
{
	const GPtrArray *changes = g_tree_lookup(d->keys, key);

	for (guint i = changes ? changes->len : 0; i > 0; i--) {
		const struct store_change *c = changes->pdata[i - 1];

		if (c->revision <= revision)
			return c->value ? c : NULL;
	}
	return NULL;
}

static void add_change(struct store_data *d, const char *key, const char *value,
		       int64_t lease)
{
	const struct store_change *before = find_change(d, key, d->revision);
	struct store_change *c = g_new0(struct store_change, 1);
	GPtrArray *changes = g_tree_lookup(d->keys, key);

	c->revision = d->revision;
	c->create_revision = before ? before->create_revision : d->revision;
	c->version = before ? before->version + 1 : 1;
	c->lease = lease;
	c->value = g_strdup(value);
	if (!changes) {
		changes = g_ptr_array_new_with_free_func(change_free);
		g_tree_insert(d->keys, g_strdup(key), changes);
	}
	g_ptr_array_add(changes, c);
	d->is_changed = true;
}

static json_t *format_entry(const char *key, const struct store_change *c)
{
	char *text = g_base64_encode((const guchar *)key, strlen(key));
	json_t *kv = json_pack("{s:s,s:o}", "key", text, "mod_revision",
			       format_integer(c->revision));

	g_free(text);
	if (!c->value)
		return kv;
	json_object_set_new(kv, "create_revision",
			    format_integer(c->create_revision));
	json_object_set_new(kv, "version", format_integer(c->version));
	json_object_set_new(kv, "value", json_string(c->value));
	if (c->lease)
		json_object_set_new(kv, "lease", format_integer(c->lease));
	return kv;
}

/** Context of a walk over the keys of a range. */
struct range_walk {
	struct store_data *data;
	char *key;
	char *end;
	int64_t revision;
	int64_t from_revision;
	json_t *out;
};

static bool is_in_range(const struct range_walk *w, const char *key)
{
	if (!w->end)
		return !strcmp(key, w->key);
	return strcmp(key, w->key) >= 0 && strcmp(key, w->end) < 0;
}

static gboolean add_entry(void *key, void *value, void *ctx)
{
	struct range_walk *w = ctx;
	const struct store_change *c;

	if (!is_in_range(w, key))
		return FALSE;
	c = find_change(w->data, key, w->revision);
	if (c)
		json_array_append_new(w->out, format_entry(key, c));
	return FALSE;
}

static gboolean add_events(void *key, void *value, void *ctx)
{
	const GPtrArray *changes = value;
	struct range_walk *w = ctx;

	if (!is_in_range(w, key))
		return FALSE;
	for (guint i = 0; i < changes->len; i++) {
		const struct store_change *c = changes->pdata[i];
		json_t *event;

		if (c->revision < w->from_revision)
			continue;
		event = json_pack("{s:o}", "kv", format_entry(key, c));
		if (!c->value)
			json_object_set_new(event, "type",
					    json_string("DELETE"));
		json_array_append_new(w->out, event);
	}
	return FALSE;
}

static json_t *walk_range(struct range_walk *w, const json_t *request,
			  GTraverseFunc visit)
{
	w->key = decode_key(request, "key");
	w->end = decode_key(request, "range_end");
	w->out = json_array();
	if (w->key)
		g_tree_foreach(w->data->keys, visit, w);
	g_free(w->key);
	g_free(w->end);
	return w->out;
}

json_t *store_data_range(struct store_data *d, const json_t *request,
			 int64_t revision)
{
	struct range_walk w = { .data = d, .revision = revision };
	json_t *reply = json_pack("{s:o}", "header", store_data_header(d));
	json_t *kvs;

	if (!json_is_string(json_object_get(request, "key"))) {
		json_decref(reply);
		return NULL;
	}
	kvs = walk_range(&w, request, add_entry);
	if (!json_array_size(kvs)) {
		json_decref(kvs);
		return reply;
	}
	json_object_set_new(reply, "count",
			    format_integer((int64_t)json_array_size(kvs)));
	json_object_set_new(reply, "kvs", kvs);
	return reply;
}

json_t *store_data_events(struct store_data *d, const json_t *create,
			  int64_t from_revision)
{
	struct range_walk w = { .data = d, .from_revision = from_revision };
	json_t *events = walk_range(&w, create, add_events);

	if (json_array_size(events))
		return events;
	json_decref(events);
	return NULL;
}

static bool compare_holds(struct store_data *d, const json_t *compare)
{
	char *key = decode_key(compare, "key");
	const struct store_change *c = key ? find_change(d, key, d->revision)
					   : NULL;

	g_free(key);
	return (c ? c->revision : 0) ==
	       store_data_integer(compare, "mod_revision");
}

static bool all_compares_hold(struct store_data *d, const json_t *compares)
{
	json_t *item;
	size_t i;

	json_array_foreach (compares, i, item) {
		if (!compare_holds(d, item))
			return false;
	}
	return true;
}

static json_t *get_either(const json_t *object, const char *a, const char *b)
{
	json_t *v = json_object_get(object, a);

	return v ? v : json_object_get(object, b);
}

static json_t *run_put(struct store_data *d, const json_t *request)
{
	char *key = decode_key(request, "key");
	const char *value =
		json_string_value(json_object_get(request, "value"));

	if (!key)
		return NULL;
	add_change(d, key, value ? value : "",
		   store_data_integer(request, "lease"));
	g_free(key);
	return json_pack("{s:{s:o}}", "response_put", "header",
			 store_data_header(d));
}

static json_t *run_delete(struct store_data *d, const json_t *request)
{
	char *key = decode_key(request, "key");

	if (!key)
		return NULL;
	if (find_change(d, key, d->revision))
		add_change(d, key, NULL, 0);
	g_free(key);
	return json_pack("{s:{s:o}}", "response_delete_range", "header",
			 store_data_header(d));
}

static json_t *run_operation(struct store_data *d, const json_t *op)
{
	const json_t *request = get_either(op, "requestPut", "request_put");

	if (request)
		return run_put(d, request);
	request = get_either(op, "requestDeleteRange", "request_delete_range");
	if (request)
		return run_delete(d, request);
	request = get_either(op, "requestRange", "request_range");
	if (!request)
		return NULL;
	return json_pack("{s:o}", "response_range",
			 store_data_range(d, request, d->revision));
}

static bool has_writes(const json_t *ops)
{
	json_t *op;
	size_t i;

	json_array_foreach (ops, i, op) {
		if (!get_either(op, "requestRange", "request_range"))
			return true;
	}
	return false;
}

json_t *store_data_txn(struct store_data *d, const json_t *request)
{
	bool holds = all_compares_hold(d, json_object_get(request, "compare"));
	const json_t *ops =
		json_object_get(request, holds ? "success" : "failure");
	json_t *responses = json_array();
	json_t *op;
	size_t i;

	if (has_writes(ops))
		d->revision++;
	json_array_foreach (ops, i, op) {
		json_t *response = run_operation(d, op);

		if (!response) {
			json_decref(responses);
			return NULL;
		}
		json_array_append_new(responses, response);
	}
	return json_pack("{s:o,s:b,s:o}", "header", store_data_header(d),
			 "succeeded", holds, "responses", responses);
}

json_t *store_data_grant_lease(struct store_data *d, const json_t *request,
			       int64_t now_us)
{
	struct store_lease *l = g_new0(struct store_lease, 1);

	l->id = ++d->last_lease_id;
	l->ttl_s = MAX(store_data_integer(request, "TTL"), 1);
	l->expires_us = now_us + l->ttl_s * G_USEC_PER_SEC;
	g_hash_table_insert(d->leases, &l->id, l);
	return json_pack("{s:o,s:o,s:o}", "header", store_data_header(d), "ID",
			 format_integer(l->id), "TTL",
			 format_integer(l->ttl_s));
}

json_t *store_data_renew_lease(struct store_data *d, const json_t *request,
			       int64_t now_us)
{
	int64_t id = store_data_integer(request, "ID");
	struct store_lease *l = g_hash_table_lookup(d->leases, &id);

	if (!l)
		return NULL;
	l->expires_us = now_us + l->ttl_s * G_USEC_PER_SEC;
	return json_pack("{s:o,s:o,s:o}", "header", store_data_header(d), "ID",
			 format_integer(id), "TTL", format_integer(l->ttl_s));
}

/** Context of a walk that collects the keys of a lease. */
struct lease_walk {
	struct store_data *data;
	int64_t id;
	GPtrArray *keys;
};

static gboolean add_leased_key(void *key, void *value, void *ctx)
{
	struct lease_walk *w = ctx;
	const struct store_change *c =
		find_change(w->data, key, w->data->revision);

	if (c && c->lease == w->id)
		g_ptr_array_add(w->keys, key);
	return FALSE;
}

bool store_data_revoke_lease(struct store_data *d, int64_t id)
{
	struct lease_walk w = {
		.data = d,
		.id = id,
		.keys = g_ptr_array_new(),
	};
	bool is_known = g_hash_table_remove(d->leases, &id);

	g_tree_foreach(d->keys, add_leased_key, &w);
	if (is_known && w.keys->len) {
		d->revision++;
		for (guint i = 0; i < w.keys->len; i++)
			add_change(d, w.keys->pdata[i], NULL, 0);
	}
	g_ptr_array_free(w.keys, TRUE);
	return is_known;
}

void store_data_expire_leases(struct store_data *d, int64_t now_us, bool is_all)
{
	GList *leases = g_hash_table_get_values(d->leases);

	for (GList *i = leases; i; i = i->next) {
		const struct store_lease *l = i->data;

		if (is_all || l->expires_us <= now_us)
			store_data_revoke_lease(d, l->id);
	}
	g_list_free(leases);
}
