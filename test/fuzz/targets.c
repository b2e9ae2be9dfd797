#include "targets.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/errors.h"
#include "net/host_frame.h"
#include "net/reply_reader.h"
#include "net/request_reader.h"
#include "platform/headers.h"
#include "platform/routes.h"
#include "platform/store.h"

#define ECHO "Request-Id"
#define OWN_ID "own"
#define STAMP "Nutmegpick-Response-Stamp"
#define NOT_RUN "Nutmegpick-Not-Executed"

/* Aborts if the property does not hold; both runners report it as a crash. */
static void require_property(int holds, const char *property)
{
	if (holds)
		return;
	fprintf(stderr, "property does not hold: %s\n", property);
	abort();
}

static const struct reply_limits reply_limits = { .body_max_bytes = 4096,
						  .other_max_bytes = 2048 };

/* Result of reading the bytes of an input. */
struct reading {
	enum reply_state state;
	struct leaf_reply *reply;
	bool is_reusable;
	/** Bytes read until the reply was complete or broken. */
	size_t used_bytes;
};

/* Reads the bytes in pieces of the given length. */
static struct reading read_reply(const char *data, size_t len, size_t piece,
				 bool is_used)
{
	struct reading out = { .state = REPLY_INCOMPLETE };
	struct reply_reader r;

	reply_reader_init(&r, &reply_limits, ECHO);
	if (is_used)
		reply_reader_begin(&r, "earlier", false);
	reply_reader_begin(&r, OWN_ID, false);
	while (out.used_bytes < len && out.state == REPLY_INCOMPLETE) {
		size_t n = MIN(piece, len - out.used_bytes);

		out.state = reply_reader_feed(&r, data + out.used_bytes, n);
		out.used_bytes += n;
		require_property(reply_reader_buffered_bytes(&r) <=
					 reply_limits.body_max_bytes,
				 "a body stays within its limit");
	}
	if (out.state == REPLY_INCOMPLETE)
		require_property(r.other_bytes <= reply_limits.other_max_bytes,
				 "other bytes stay within their limit");
	if (out.state == REPLY_BROKEN)
		require_property(r.cause != NULL, "a broken reply has a cause");
	if (out.state == REPLY_COMPLETE)
		out.reply = reply_reader_take(&r);
	out.is_reusable = r.is_reusable;
	reply_reader_clear(&r);
	return out;
}

static void require_own_reply(const struct reading *r, bool is_used)
{
	const char *echo = leaf_reply_header(r->reply, ECHO);

	if (echo)
		require_property(!strcmp(echo, OWN_ID),
				 "a reply repeats the id of its request");
	else
		require_property(
			r->reply->status / 100 != 2 && !is_used,
			"only a failure on a new connection may lack the id");
}

static uint32_t count_headers(const struct leaf_reply *r, const char *name)
{
	uint32_t count = 0;

	for (guint i = 0; i < r->headers->len; i++)
		count += !g_ascii_strcasecmp(
			g_array_index(r->headers, struct http_header, i).name,
			name);
	return count;
}

/* Checks what docs/decisions/replies.md states of replies passed on. */
static void require_use(struct leaf_reply *r)
{
	const char *coding = leaf_reply_header(r, "Transfer-Encoding");
	struct router_result result = { 0 };

	platform_read_reply(r, &result);
	require_property((result.outcome == CALL_ANSWERED) ==
				 (router_may_pass_on(&result) &&
				  r->status / 100 == 2),
			 "a 2xx is passed on only as a success");
	if (!router_may_pass_on(&result))
		return;
	require_property(count_headers(r, STAMP) == 1,
			 "a reply that is passed on has one stamp");
	require_property(!leaf_reply_header(r, "Content-Encoding") &&
				 (!coding ||
				  !g_ascii_strcasecmp(coding, "chunked")),
			 "a reply that is passed on is not encoded");
	require_property(!leaf_reply_header(r, NOT_RUN) && r->status != 408 &&
				 r->status != 421 && r->status != 429 &&
				 r->status != 503,
			 "a reply that is passed on may have run");
}

static void run_reply(const uint8_t *data, size_t len)
{
	bool is_used = len && data[0] & 1;
	const char *text = (const char *)data + 1;
	struct reading at_once;
	struct reading bytewise;

	if (!len)
		return;
	at_once = read_reply(text, len - 1, len, is_used);
	bytewise = read_reply(text, len - 1, 1, is_used);
	/*
	 * other_bytes is checked after each piece, so a reply that is complete
	 * when read at once may exceed the limit when read bytewise.
	 */
	if (at_once.state == REPLY_COMPLETE &&
	    bytewise.state == REPLY_COMPLETE) {
		require_property(
			at_once.reply->status == bytewise.reply->status &&
				at_once.reply->body->len ==
					bytewise.reply->body->len &&
				!memcmp(at_once.reply->body->data,
					bytewise.reply->body->data,
					at_once.reply->body->len),
			"a reply does not depend on the pieces it is read in");
		require_own_reply(&at_once, is_used);
	}
	if (bytewise.state == REPLY_COMPLETE) {
		require_own_reply(&bytewise, is_used);
		require_use(bytewise.reply);
		require_property(
			at_once.state == REPLY_COMPLETE,
			"a reply read bytewise is also complete at once");
		require_property(
			bytewise.used_bytes == len - 1 || !at_once.is_reusable,
			"bytes after a reply prevent reuse of the connection");
	}
	leaf_reply_unref(at_once.reply);
	leaf_reply_unref(bytewise.reply);
}

static const struct request_limits request_limits = { .head_max_bytes = 2048,
						      .body_max_bytes = 1024 };

/* Reads one request in pieces; sets used to the bytes up to its end. */
static struct http_request *read_request(const char *data, size_t len,
					 size_t piece, size_t *used,
					 unsigned int *status)
{
	enum request_state state = REQUEST_INCOMPLETE;
	struct http_request *request = NULL;
	struct request_reader r = { 0 };

	*used = 0;
	while (state == REQUEST_INCOMPLETE || state == REQUEST_HEAD_READ) {
		size_t n = MIN(piece, len - *used);
		size_t taken;

		if (!n && state == REQUEST_INCOMPLETE)
			break;
		state = request_reader_feed(&r, &request_limits, data + *used,
					    n, &taken);
		require_property(taken <= n, "a reader takes what it gets");
		*used += taken;
	}
	*status = r.status;
	require_property((state == REQUEST_REFUSED) == (r.status >= 400),
			 "a refusal has a status");
	if (state == REQUEST_COMPLETE)
		request = request_reader_take(&r);
	request_reader_clear(&r);
	require_property(!request_reader_memory(&r),
			 "a cleared reader holds no memory");
	return request;
}

/* Returns the texts of a request, one a line. */
static char *describe_request(const struct http_request *q)
{
	GString *out = g_string_new(NULL);

	g_string_append_printf(out, "%s\n%s\n%s\n%d\n%zu\n", q->method,
			       q->target, q->path, q->is_kept, q->body->len);
	for (guint i = 0; i < q->headers->len; i++) {
		const struct http_header *h =
			&g_array_index(q->headers, struct http_header, i);

		g_string_append_printf(out, "%s: %s\n", h->name, h->value);
	}
	return g_string_free(out, FALSE);
}

/* Checks that the call which a host makes for a request is that request. */
static void require_one_call(const struct http_request *q)
{
	struct route_leaf leaf = { .entry.id = (char *)"leaf" };
	struct router_call call = { .remaining_us = 1000000, .leaf = &leaf };
	struct platform_request in = {
		.method = q->method,
		.target = q->target,
		.headers = q->headers,
		.body_len = q->body->len,
	};
	GString *text = g_string_new(NULL);
	struct request_reader r = { 0 };
	const struct request_limits limits = { 65536, 65536 };
	size_t used;
	size_t rest;

	platform_write_call_head(text, &in, &call);
	g_string_append_len(text, q->body->str, (gssize)q->body->len);
	require_property(request_reader_feed(&r, &limits, text->str, text->len,
					     &used) == REQUEST_HEAD_READ,
			 "a call is a proper request");
	require_property(request_reader_feed(&r, &limits, text->str + used,
					     text->len - used,
					     &rest) == REQUEST_COMPLETE,
			 "a call is complete");
	require_property(used + rest == text->len, "a call is one request");
	require_property(!strcmp(r.request->method, q->method) &&
				 !strcmp(r.request->target, q->target) &&
				 g_string_equal(r.request->body, q->body),
			 "a call has the method, target and body of its "
			 "request");
	request_reader_clear(&r);
	g_string_free(text, TRUE);
}

static void run_request(const uint8_t *data, size_t len)
{
	const char *text = (const char *)data;

	while (len) {
		size_t used;
		size_t bytewise_used;
		unsigned int status;
		unsigned int bytewise_status;
		struct http_request *q =
			read_request(text, len, len, &used, &status);
		struct http_request *bytewise = read_request(
			text, len, 1, &bytewise_used, &bytewise_status);
		char *described;
		char *bytewise_described;

		require_property(status == bytewise_status && !q == !bytewise,
				 "a verdict does not depend on the pieces");
		if (!q)
			return;
		described = describe_request(q);
		bytewise_described = describe_request(bytewise);
		require_property(
			used == bytewise_used &&
				!strcmp(described, bytewise_described) &&
				g_string_equal(q->body, bytewise->body),
			"a request does not depend on the pieces it is read "
			"in");
		require_one_call(q);
		g_free(described);
		g_free(bytewise_described);
		http_request_free(q);
		http_request_free(bytewise);
		text += used;
		len -= used;
	}
}

static GByteArray *encode_frame(const struct host_frame *f)
{
	switch (f->type) {
	case HOST_HELLO:
		return host_frame_hello(f->address);
	case HOST_SUBSCRIBE:
		return host_frame_subscribe(f->time);
	case HOST_UNSUBSCRIBE:
		return host_frame_unsubscribe();
	case HOST_CHANGES:
		return host_frame_changes(f->changes);
	case HOST_HEARTBEAT:
		return host_frame_heartbeat(f->time, f->is_store_up);
	case HOST_GATHER:
		return host_frame_gather(&f->request);
	case HOST_GATHER_ACCEPTED:
		return host_frame_gather_accepted(f->id);
	case HOST_GATHER_RESULT:
		return host_frame_gather_result(&f->result);
	case HOST_GATHER_CANCEL:
		return host_frame_gather_cancel(f->id);
	case HOST_RATE_CLAIMS:
		return host_frame_rate_claims(f->rate_claims);
	case HOST_RATE_GRANTS:
		return host_frame_rate_grants(f->rate_grants);
	case HOST_TOKEN_CLAIMS:
		return host_frame_token_claims(f->token_claims);
	case HOST_TOKEN_GRANTS:
		return host_frame_token_grants(f->token_grants);
	case HOST_TOKEN_VIEW:
		return host_frame_token_view(&f->token_view);
	case HOST_TOKEN_RELEASE:
		return host_frame_token_release(&f->token_release);
	}
	return NULL;
}

/* Checks that encoding and decoding an accepted frame does not change it. */
static void run_frame(const uint8_t *data, size_t len)
{
	struct host_frame f;
	struct host_frame again;
	GByteArray *first;
	GByteArray *second;

	if (host_frame_decode(data, len, &f))
		return;
	first = encode_frame(&f);
	require_property(first != NULL, "an accepted frame has a known type");
	require_property(!host_frame_decode(first->data, first->len, &again),
			 "an accepted frame can be encoded and decoded again");
	second = encode_frame(&again);
	require_property(first->len == second->len &&
				 !memcmp(first->data, second->data, first->len),
			 "a frame does not change when encoded and decoded");
	g_byte_array_free(first, TRUE);
	g_byte_array_free(second, TRUE);
	host_frame_clear(&f);
	host_frame_clear(&again);
}

static void run_store_page(const uint8_t *data, size_t len)
{
	struct store_page p;
	uint64_t era;

	platform_store_read_era((const char *)data, len, &era);
	platform_store_decode_lease((const char *)data, len);
	if (platform_store_decode_page((const char *)data, len, &p))
		return;
	/* Half of a surrogate pair is replaced by another character. */
	require_property(p.next->len <= len + 3,
			 "a key is no longer than its message");
	for (guint i = 0; i < p.changes->items->len; i++) {
		const struct store_item *item =
			&g_array_index(p.changes->items, struct store_item, i);

		require_property(item->key != NULL, "an item has a key");
		require_property(!item->value || item->value_len <= len,
				 "a value is no longer than its message");
		require_property(item->time.revision <= p.changes->to.revision,
				 "an item is not newer than its page");
	}
	store_page_clear(&p);
}

/* Places of an odd entry that an input of run_entry() replaces. */
enum entry_place {
	PLACE_KEY,
	PLACE_VALUE,
	PLACE_REVISION,
	PLACE_NAME,
	PLACE_MEMBER,
	PLACE_DEPTH,
	PLACE_COUNT,
};

/* Appends the bytes of an input that do not end the string they stand in. */
static void append_in_string(GString *out, const char *text, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		if (text[i] == '\\' && ++i < len) {
			g_string_append_c(out, '\\');
			g_string_append_c(out, text[i]);
		} else if (i < len && text[i] != '"') {
			g_string_append_c(out, text[i]);
		}
	}
}

/* Appends the bytes of an input that do not end the value they stand for. */
static void append_scalar(GString *out, const char *text, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		if (!memchr("\"[]{},", text[i], 7))
			g_string_append_c(out, text[i]);
	}
}

/* Appends brackets to a depth of some thousands. */
static void append_nested(GString *out, const char *text, size_t len)
{
	size_t depth = 0;

	for (size_t i = 0; i < len && i < 64; i++)
		depth += (unsigned char)text[i];
	for (size_t i = 0; i < depth; i++)
		g_string_append_c(out, '[');
	for (size_t i = 0; i < depth; i++)
		g_string_append_c(out, ']');
}

static void append_odd_entry(GString *out, enum entry_place place,
			     const char *text, size_t len)
{
	g_string_append(out, "{\"key\":\"servers/odd");
	if (place == PLACE_KEY)
		append_in_string(out, text, len);
	g_string_append(out, "\",\"value\":\"");
	if (place == PLACE_VALUE)
		append_in_string(out, text, len);
	g_string_append(out, "\",\"revision\":5");
	if (place == PLACE_REVISION)
		append_scalar(out, text, len);
	g_string_append(out, ",\"name");
	if (place == PLACE_NAME)
		append_in_string(out, text, len);
	g_string_append(out, "\":0");
	if (place == PLACE_MEMBER)
		append_scalar(out, text, len);
	if (place == PLACE_DEPTH)
		append_nested(out, text, len);
	g_string_append(out, "}");
}

static const struct store_item *find_item(const struct store_changes *c,
					  const char *key)
{
	for (guint i = 0; i < c->items->len; i++) {
		const struct store_item *item =
			&g_array_index(c->items, struct store_item, i);

		if (!strcmp(item->key, key))
			return item;
	}
	return NULL;
}

/* Checks that an odd entry costs no other entry of its reply. */
static void run_entry(const uint8_t *data, size_t len)
{
	GString *reply;
	struct store_page p;

	if (!len)
		return;
	reply = g_string_new(data[0] & 0x80 ? "{\"events\":["
					    : "{\"current_rev\":9,\"items\":[");
	g_string_append(reply, "{\"key\":\"servers/a\",\"value\":\"dg==\","
			       "\"revision\":4},");
	append_odd_entry(reply, (data[0] & 0x7f) % PLACE_COUNT,
			 (const char *)data + 1, len - 1);
	g_string_append(reply, ",{\"key\":\"servers/z\",\"value\":\"dg==\","
			       "\"revision\":6}]");
	if (data[0] & 0x80)
		g_string_append(reply, ",\"current_rev\":9");
	g_string_append(reply, "}");
	require_property(!platform_store_decode_page(reply->str, reply->len,
						     &p),
			 "an odd entry does not make its reply unreadable");
	for (int i = 0; i < 2; i++) {
		const struct store_item *item =
			find_item(p.changes, i ? "servers/z" : "servers/a");

		require_property(item && item->value_len == 1 &&
					 item->time.revision == (i ? 6 : 4),
				 "an odd entry costs no entry beside it");
	}
	require_property(p.changes->items->len + p.unread_count == 3,
			 "an entry is read or counted");
	store_page_clear(&p);
	g_string_free(reply, TRUE);
}

static void require_route(const struct route_table *t, const struct route *r)
{
	require_property(r->timeout_us > 0 && r->goal_us > 0 &&
				 r->max_attempts > 0,
			 "a route has positive times and attempts");
	require_property(r->shape != ROUTE_GATHER || r->is_idempotent,
			 "gathered requests may be repeated");
	for (uint32_t i = 0; i < r->target_count; i++) {
		require_property(r->targets[i].upstream < t->upstream_count,
				 "a target names an upstream");
		for (uint32_t k = 0; k < i && r->shape == ROUTE_GATHER; k++)
			require_property(r->targets[k].upstream !=
						 r->targets[i].upstream,
					 "a gather names a shard once");
	}
}

static void run_routes(const uint8_t *data, size_t len)
{
	char message[128];
	struct route_table *t;

	if (platform_decode_routes((const char *)data, len, &t, message,
				   sizeof(message)))
		return;
	require_property(t->version > 0, "a table has a version");
	for (uint32_t i = 0; i < t->route_count; i++)
		require_route(t, &t->routes[i]);
	route_table_match(t, "example", "/a/b?c");
	route_table_unref(t);
}

static void run_leaf(const uint8_t *data, size_t len)
{
	struct leaf_entry leaf;
	struct host_record host;

	if (!platform_decode_leaf("id", (const char *)data, len, &leaf)) {
		require_property(leaf.service && leaf.domain &&
					 leaf.slots > 0 && leaf.warm_up_us >= 0,
				 "an accepted leaf can be used");
		leaf_entry_clear(&leaf);
	}
	if (!platform_decode_host("h", (const char *)data, len, &host)) {
		require_property(host.address && host.domain,
				 "a host can be reached");
		host_record_clear(&host);
	}
}

const struct fuzz_target fuzz_targets[] = {
	{ "reply", run_reply },	  { "request", run_request },
	{ "frame", run_frame },	  { "page", run_store_page },
	{ "routes", run_routes }, { "leaf", run_leaf },
	{ "entry", run_entry },	  { NULL, NULL },
};
