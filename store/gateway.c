#include "store/gateway.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "common/errors.h"

/* gRPC status codes that the gateway sends in error replies. */
enum grpc_code {
	GRPC_INVALID_ARGUMENT = 3,
	GRPC_NOT_FOUND = 5,
	GRPC_PERMISSION_DENIED = 7,
	GRPC_RESOURCE_EXHAUSTED = 8,
	GRPC_FAILED_PRECONDITION = 9,
	GRPC_OUT_OF_RANGE = 11,
	GRPC_UNIMPLEMENTED = 12,
	GRPC_UNAUTHENTICATED = 16,
};

const char *gateway_path(enum store_call call)
{
	static const char *const paths[] = {
		"/v3/kv/range",	   "/v3/kv/txn",	  "/v3/watch",
		"/v3/lease/grant", "/v3/lease/keepalive", "/v3/lease/revoke",
	};

	return paths[call];
}

static json_t *encode_bytes(const char *data, size_t len)
{
	char *text = g_base64_encode((const guchar *)data, len);
	json_t *v = json_string(text);

	g_free(text);
	return v;
}

static json_t *encode_integer(int64_t v)
{
	return json_sprintf("%lld", (long long)v);
}

static json_t *encode_range(const char *key, bool is_prefix)
{
	size_t len = strlen(key);
	json_t *o = json_pack("{s:o}", "key", encode_bytes(key, len));
	char *end;

	if (!is_prefix)
		return o;
	end = g_strdup(key);
	end[len - 1]++;
	json_object_set_new(o, "range_end", encode_bytes(end, len));
	g_free(end);
	return o;
}

static char *dump_json(json_t *document)
{
	char *text = json_dumps(document, JSON_COMPACT);

	json_decref(document);
	return text;
}

char *gateway_encode_get(const struct store_get *get)
{
	return dump_json(encode_range(get->key, get->is_prefix));
}

static json_t *encode_compare(const struct store_compare *c)
{
	return json_pack("{s:s,s:s,s:o,s:o}", "target", "MOD", "result",
			 "EQUAL", "key", encode_bytes(c->key, strlen(c->key)),
			 "mod_revision", encode_integer(c->mod_revision));
}

static json_t *encode_put(const struct store_put *p)
{
	json_t *key = encode_bytes(p->key, strlen(p->key));

	if (!p->value)
		return json_pack("{s:{s:o}}", "requestDeleteRange", "key", key);
	return json_pack("{s:{s:o,s:o,s:o}}", "requestPut", "key", key, "value",
			 encode_bytes(p->value, p->len), "lease",
			 encode_integer(p->lease_id));
}

static void append_reads(json_t *list, const struct store_txn *txn)
{
	for (size_t i = 0; i < txn->read_count; i++)
		json_array_append_new(
			list, json_pack("{s:o}", "requestRange",
					encode_range(txn->reads[i], false)));
}

char *gateway_encode_txn(const struct store_txn *txn)
{
	json_t *compare = json_array();
	json_t *success = json_array();
	json_t *failure = json_array();

	for (size_t i = 0; i < txn->compare_count; i++)
		json_array_append_new(compare,
				      encode_compare(&txn->compares[i]));
	for (size_t i = 0; i < txn->put_count; i++)
		json_array_append_new(success, encode_put(&txn->puts[i]));
	append_reads(success, txn);
	append_reads(failure, txn);
	return dump_json(json_pack("{s:o,s:o,s:o}", "compare", compare,
				   "success", success, "failure", failure));
}

char *gateway_encode_watch(const struct store_watch *watch)
{
	json_t *request = encode_range(watch->key, watch->is_prefix);

	if (watch->from_revision)
		json_object_set_new(request, "start_revision",
				    encode_integer(watch->from_revision));
	return dump_json(json_pack("{s:o}", "create_request", request));
}

char *gateway_encode_grant(int64_t ttl_s)
{
	return dump_json(json_pack("{s:o}", "TTL", encode_integer(ttl_s)));
}

char *gateway_encode_lease(int64_t lease_id)
{
	return dump_json(json_pack("{s:o}", "ID", encode_integer(lease_id)));
}

/* The gateway writes 64-bit integers as strings and leaves out zeros. */
static int read_integer(const json_t *object, const char *field, int64_t *out)
{
	const json_t *v = json_object_get(object, field);
	const char *text = json_string_value(v);
	char *end;

	*out = 0;
	if (!v)
		return 0;
	if (json_is_integer(v)) {
		*out = json_integer_value(v);
		return *out < 0 ? -ERR_STORE_REPLY_FIELD : 0;
	}
	if (!text || !g_ascii_isdigit(*text))
		return -ERR_STORE_REPLY_FIELD;
	errno = 0;
	*out = strtoll(text, &end, 10);
	return errno || *end ? -ERR_STORE_REPLY_FIELD : 0;
}

static int read_flag(const json_t *object, const char *field, bool *out)
{
	const json_t *v = json_object_get(object, field);

	*out = json_is_true(v);
	return v && !json_is_boolean(v) ? -ERR_STORE_REPLY_FIELD : 0;
}

/* g_base64_decode() skips invalid characters, so this check comes first. */
static bool is_base64(const char *text, size_t len)
{
	size_t pad = 0;

	if (len % 4)
		return false;
	while (pad < 2 && pad < len && text[len - 1 - pad] == '=')
		pad++;
	for (size_t i = 0; i < len - pad; i++) {
		if (!g_ascii_isalnum(text[i]) && text[i] != '+' &&
		    text[i] != '/')
			return false;
	}
	return true;
}

static int read_bytes(const json_t *object, const char *field, char **out,
		      size_t *out_len)
{
	const json_t *v = json_object_get(object, field);
	gsize len = 0;
	char *data;

	*out = NULL;
	*out_len = 0;
	if (v && !json_is_string(v))
		return -ERR_STORE_REPLY_FIELD;
	if (v && !is_base64(json_string_value(v), json_string_length(v)))
		return -ERR_STORE_REPLY_BASE64;
	data = v ? (char *)g_base64_decode(json_string_value(v), &len) : NULL;
	*out = g_malloc(len + 1);
	if (len)
		memcpy(*out, data, len);
	(*out)[len] = '\0';
	*out_len = len;
	g_free(data);
	return 0;
}

static int read_header(const json_t *object, int64_t *revision)
{
	const json_t *header = json_object_get(object, "header");

	if (!json_is_object(header))
		return -ERR_STORE_REPLY_FIELD;
	if (read_integer(header, "revision", revision))
		return -ERR_STORE_REPLY_FIELD;
	return *revision < 1 ? -ERR_STORE_REPLY_REVISION : 0;
}

static bool is_expected_key(const char *key, size_t len, const char *asked,
			    bool is_prefix)
{
	if (strlen(key) != len)
		return false;
	return is_prefix ? g_str_has_prefix(key, asked) : !strcmp(key, asked);
}

static int read_revisions(const json_t *kv, int64_t revision,
			  struct store_entry *e)
{
	if (read_integer(kv, "mod_revision", &e->mod_revision) ||
	    read_integer(kv, "lease", &e->lease_id))
		return -ERR_STORE_REPLY_FIELD;
	if (e->mod_revision < 1 || e->mod_revision > revision)
		return -ERR_STORE_REPLY_REVISION;
	return 0;
}

static int read_entry(const json_t *kv, const char *asked, bool is_prefix,
		      struct store_reply *out)
{
	struct store_entry found = { 0 };
	struct store_entry *e;
	char *value = NULL;
	char *key = NULL;
	size_t key_len;
	size_t len;
	int ret;

	if (!json_is_object(kv))
		return -ERR_STORE_REPLY_FIELD;
	ret = read_bytes(kv, "key", &key, &key_len);
	if (!ret && !is_expected_key(key, key_len, asked, is_prefix))
		ret = -ERR_STORE_REPLY_KEY;
	if (!ret)
		ret = read_bytes(kv, "value", &value, &len);
	if (!ret && len > STORE_VALUE_MAX)
		ret = -ERR_STORE_REPLY_SIZE;
	if (!ret)
		ret = read_revisions(kv, out->revision, &found);
	if (!ret) {
		e = store_reply_add(out, key, value, len);
		e->mod_revision = found.mod_revision;
		e->lease_id = found.lease_id;
	}
	g_free(key);
	g_free(value);
	return ret;
}

static int read_range(const json_t *range, const char *asked, bool is_prefix,
		      struct store_reply *out)
{
	const json_t *kvs = json_object_get(range, "kvs");
	size_t before = out->count;
	int64_t count;
	json_t *kv;
	size_t i;
	int ret;

	if (!json_is_object(range) || (kvs && !json_is_array(kvs)))
		return -ERR_STORE_REPLY_FIELD;
	json_array_foreach (kvs, i, kv) {
		const char *last = i ? out->entries[out->count - 1].key : NULL;

		ret = read_entry(kv, asked, is_prefix, out);
		if (ret)
			return ret;
		/* Keys must ascend, which also excludes duplicates. */
		if (last && strcmp(out->entries[out->count - 1].key, last) <= 0)
			return -ERR_STORE_REPLY_KEY;
	}
	if (read_integer(range, "count", &count) ||
	    (size_t)count != out->count - before)
		return -ERR_STORE_REPLY_FIELD;
	return 0;
}

static int read_txn_reads(const struct gateway_call *call,
			  const json_t *responses, size_t first,
			  struct store_reply *out)
{
	for (size_t i = 0; call->reads && call->reads[i]; i++) {
		const json_t *r = json_array_get(responses, first + i);
		int ret = read_range(json_object_get(r, "response_range"),
				     call->reads[i], false, out);

		if (ret)
			return ret;
	}
	return 0;
}

static int read_txn(const struct gateway_call *call, const json_t *root,
		    struct store_reply *out)
{
	const json_t *responses = json_object_get(root, "responses");
	size_t reads = call->reads ? g_strv_length(call->reads) : 0;
	size_t first;

	if (read_flag(root, "succeeded", &out->is_applied) ||
	    (responses && !json_is_array(responses)))
		return -ERR_STORE_REPLY_FIELD;
	first = out->is_applied ? call->put_count : 0;
	if (json_array_size(responses) != first + reads)
		return -ERR_STORE_REPLY_FIELD;
	for (size_t i = 0; i < first; i++) {
		const json_t *r = json_array_get(responses, i);

		if (!json_is_object(json_object_get(r, "response_put")) &&
		    !json_is_object(
			    json_object_get(r, "response_delete_range")))
			return -ERR_STORE_REPLY_FIELD;
	}
	return read_txn_reads(call, responses, first, out);
}

static int read_lease(const struct gateway_call *call, const json_t *root,
		      struct store_reply *out)
{
	if (read_integer(root, "ID", &out->lease_id) ||
	    read_integer(root, "TTL", &out->ttl_s))
		return -ERR_STORE_REPLY_FIELD;
	if (call->call == STORE_LEASE_KEEPALIVE && !out->ttl_s)
		return -ERR_STORE_LEASE_GONE;
	if (out->lease_id < 1 || out->ttl_s < 1)
		return -ERR_STORE_REPLY_FIELD;
	if (call->lease_id && out->lease_id != call->lease_id)
		return -ERR_STORE_REPLY_KEY;
	return 0;
}

static int read_event(const struct gateway_call *call, const json_t *event,
		      struct store_reply *out)
{
	const json_t *type = json_object_get(event, "type");
	const char *name = type ? json_string_value(type) : "PUT";
	int ret;

	if (!name || (strcmp(name, "PUT") && strcmp(name, "DELETE")))
		return -ERR_STORE_REPLY_FIELD;
	ret = read_entry(json_object_get(event, "kv"), call->key,
			 call->is_prefix, out);
	if (!ret)
		out->entries[out->count - 1].is_deleted =
			!strcmp(name, "DELETE");
	return ret;
}

static int read_watch(const struct gateway_call *call, const json_t *root,
		      struct store_reply *out)
{
	const json_t *events = json_object_get(root, "events");
	int64_t compacted;
	bool is_canceled;
	json_t *event;
	size_t i;

	if (read_flag(root, "canceled", &is_canceled) ||
	    read_integer(root, "compact_revision", &compacted) ||
	    (events && !json_is_array(events)))
		return -ERR_STORE_REPLY_FIELD;
	if (compacted)
		return -ERR_STORE_COMPACTED;
	if (is_canceled)
		return -ERR_STORE_WATCH_END;
	json_array_foreach (events, i, event) {
		int ret = read_event(call, event, out);

		if (ret)
			return ret;
	}
	return 0;
}

static int read_reply(const struct gateway_call *call, const json_t *root,
		      struct store_reply *out)
{
	int ret = read_header(root, &out->revision);

	if (ret)
		return ret;
	switch (call->call) {
	case STORE_GET:
		return read_range(root, call->key, call->is_prefix, out);
	case STORE_TXN:
		return read_txn(call, root, out);
	case STORE_WATCH:
		return read_watch(call, root, out);
	case STORE_LEASE_GRANT:
	case STORE_LEASE_KEEPALIVE:
		return read_lease(call, root, out);
	default:
		return 0;
	}
}

static bool is_stream(enum store_call call)
{
	return call == STORE_WATCH || call == STORE_LEASE_KEEPALIVE;
}

static int read_error(const struct gateway_call *call, const json_t *root)
{
	const json_t *code = json_object_get(root, "code");

	if (!code)
		code = json_object_get(root, "grpc_code");
	if (!json_is_integer(code))
		return -ERR_STORE_REPLY_FIELD;
	switch (json_integer_value(code)) {
	case GRPC_NOT_FOUND:
		return call->call == STORE_LEASE_KEEPALIVE ||
				       call->call == STORE_LEASE_REVOKE
			       ? -ERR_STORE_LEASE_GONE
			       : -ERR_STORE_REFUSED;
	case GRPC_INVALID_ARGUMENT:
	case GRPC_PERMISSION_DENIED:
	case GRPC_RESOURCE_EXHAUSTED:
	case GRPC_FAILED_PRECONDITION:
	case GRPC_OUT_OF_RANGE:
	case GRPC_UNIMPLEMENTED:
	case GRPC_UNAUTHENTICATED:
		return -ERR_STORE_REFUSED;
	default:
		return -ERR_STORE_DOWN;
	}
}

int gateway_decode(const struct gateway_call *call, const char *body,
		   size_t len, struct store_reply *out)
{
	const json_t *result;
	json_t *root;
	int ret;

	memset(out, 0, sizeof(*out));
	if (len > GATEWAY_REPLY_MAX)
		return -ERR_STORE_REPLY_SIZE;
	root = json_loadb(body, len, JSON_REJECT_DUPLICATES, NULL);
	if (!root)
		return -ERR_STORE_REPLY_JSON;
	result = is_stream(call->call) ? json_object_get(root, "result") : root;
	if (json_is_object(json_object_get(root, "error")))
		ret = read_error(call, json_object_get(root, "error"));
	else if (!json_is_object(result))
		ret = -ERR_STORE_REPLY_FIELD;
	else
		ret = read_reply(call, result, out);
	json_decref(root);
	return ret;
}

int gateway_decode_error(const struct gateway_call *call, const char *body,
			 size_t len)
{
	json_t *root = json_loadb(body, len, JSON_REJECT_DUPLICATES, NULL);
	int ret;

	if (!root)
		return -ERR_STORE_REPLY_JSON;
	ret = read_error(call, root);
	json_decref(root);
	return ret;
}
