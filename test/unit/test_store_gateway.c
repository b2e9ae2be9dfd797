#include "suites.h"

#include <string.h>

#include <glib.h>

#include "common/errors.h"
#include "store/gateway.h"

#define HEADER "\"header\":{\"revision\":\"9\"}"
/* "np/current" and "v" */
#define KEY "\"key\":\"bnAvY3VycmVudA==\""
#define VALUE "\"value\":\"dg==\""
#define KV "{" KEY "," VALUE ",\"mod_revision\":\"7\"}"

struct broken_reply {
	enum store_call call;
	const char *body;
	int code;
};

static const struct broken_reply broken_replies[] = {
	/* Not JSON, or cut off. */
	{STORE_GET, "", ERR_STORE_REPLY_JSON},
	{STORE_GET, "{", ERR_STORE_REPLY_JSON},
	{STORE_GET, "<html>", ERR_STORE_REPLY_JSON},
	{STORE_GET, "{" HEADER ",\"kvs\":[" KV, ERR_STORE_REPLY_JSON},
	{STORE_GET, "{" HEADER "} {}", ERR_STORE_REPLY_JSON},
	{STORE_GET, "{" HEADER "," HEADER "}", ERR_STORE_REPLY_JSON},
	{STORE_TXN, "{" HEADER ",\"succeeded\":tru", ERR_STORE_REPLY_JSON},
	{STORE_WATCH, "{\"result\":{" HEADER, ERR_STORE_REPLY_JSON},
	{STORE_LEASE_GRANT, "\xff\xfe", ERR_STORE_REPLY_JSON},
	/* Wrong shape. */
	{STORE_GET, "[]", ERR_STORE_REPLY_FIELD},
	{STORE_GET, "{}", ERR_STORE_REPLY_FIELD},
	{STORE_GET, "{\"header\":3}", ERR_STORE_REPLY_FIELD},
	{STORE_GET, "{\"header\":{\"revision\":\"x\"}}", ERR_STORE_REPLY_FIELD},
	{STORE_GET, "{\"header\":{\"revision\":\"9 \"}}",
	 ERR_STORE_REPLY_FIELD},
	{STORE_GET, "{\"header\":{\"revision\":\"99999999999999999999\"}}",
	 ERR_STORE_REPLY_FIELD},
	{STORE_GET, "{" HEADER ",\"kvs\":{}}", ERR_STORE_REPLY_FIELD},
	{STORE_GET, "{" HEADER ",\"kvs\":[3],\"count\":\"1\"}",
	 ERR_STORE_REPLY_FIELD},
	{STORE_GET, "{" HEADER ",\"kvs\":[" KV "]}", ERR_STORE_REPLY_FIELD},
	{STORE_GET, "{" HEADER ",\"count\":\"1\"}", ERR_STORE_REPLY_FIELD},
	{STORE_GET, "{" HEADER ",\"kvs\":[" KV "],\"count\":-1}",
	 ERR_STORE_REPLY_FIELD},
	{STORE_GET, "{" HEADER ",\"kvs\":[{\"key\":5}],\"count\":\"1\"}",
	 ERR_STORE_REPLY_FIELD},
	{STORE_GET, "{" HEADER ",\"kvs\":[{" KEY ",\"value\":{}}]}",
	 ERR_STORE_REPLY_FIELD},
	{STORE_GET,
	 "{" HEADER ",\"kvs\":[{" KEY ",\"mod_revision\":true}],"
	 "\"count\":\"1\"}",
	 ERR_STORE_REPLY_FIELD},
	{STORE_TXN, "{" HEADER ",\"succeeded\":\"yes\"}",
	 ERR_STORE_REPLY_FIELD},
	{STORE_TXN, "{" HEADER ",\"succeeded\":true}", ERR_STORE_REPLY_FIELD},
	{STORE_TXN, "{" HEADER ",\"succeeded\":true,\"responses\":3}",
	 ERR_STORE_REPLY_FIELD},
	{STORE_TXN, "{" HEADER ",\"succeeded\":true,\"responses\":[{},{}]}",
	 ERR_STORE_REPLY_FIELD},
	{STORE_TXN,
	 "{" HEADER ",\"succeeded\":true,\"responses\":"
	 "[{\"response_put\":{}},{\"response_put\":{}}]}",
	 ERR_STORE_REPLY_FIELD},
	{STORE_TXN, "{" HEADER ",\"responses\":[]}", ERR_STORE_REPLY_FIELD},
	{STORE_TXN, "{" HEADER ",\"responses\":[{\"response_range\":{}},{}]}",
	 ERR_STORE_REPLY_FIELD},
	{STORE_WATCH, "{" HEADER "}", ERR_STORE_REPLY_FIELD},
	{STORE_WATCH, "{\"result\":{" HEADER ",\"events\":{}}}",
	 ERR_STORE_REPLY_FIELD},
	{STORE_WATCH, "{\"result\":{" HEADER ",\"events\":[{}]}}",
	 ERR_STORE_REPLY_FIELD},
	{STORE_WATCH,
	 "{\"result\":{" HEADER ",\"events\":[{\"type\":\"MOVE\",\"kv\":" KV
	 "}]}}",
	 ERR_STORE_REPLY_FIELD},
	{STORE_WATCH, "{\"result\":{" HEADER ",\"canceled\":1}}",
	 ERR_STORE_REPLY_FIELD},
	{STORE_WATCH, "{\"error\":{\"code\":\"x\"}}", ERR_STORE_REPLY_FIELD},
	{STORE_LEASE_GRANT, "{" HEADER "}", ERR_STORE_REPLY_FIELD},
	{STORE_LEASE_GRANT, "{" HEADER ",\"ID\":\"0\",\"TTL\":\"5\"}",
	 ERR_STORE_REPLY_FIELD},
	{STORE_LEASE_GRANT, "{" HEADER ",\"ID\":\"4\",\"TTL\":\"-5\"}",
	 ERR_STORE_REPLY_FIELD},
	{STORE_LEASE_REVOKE, "{}", ERR_STORE_REPLY_FIELD},
	/* Not base64. */
	{STORE_GET, "{" HEADER ",\"kvs\":[{\"key\":\"bnA\"}],\"count\":\"1\"}",
	 ERR_STORE_REPLY_BASE64},
	{STORE_GET, "{" HEADER ",\"kvs\":[{\"key\":\"b!==\"}]}",
	 ERR_STORE_REPLY_BASE64},
	{STORE_GET, "{" HEADER ",\"kvs\":[{" KEY ",\"value\":\"d=g=\"}]}",
	 ERR_STORE_REPLY_BASE64},
	/* Keys that were not asked for. */
	{STORE_GET, "{" HEADER ",\"kvs\":[{\"key\":\"eA==\"}]}",
	 ERR_STORE_REPLY_KEY},
	{STORE_GET, "{" HEADER ",\"kvs\":[{" VALUE "}]}", ERR_STORE_REPLY_KEY},
	{STORE_GET, "{" HEADER ",\"kvs\":[" KV "," KV "],\"count\":\"2\"}",
	 ERR_STORE_REPLY_KEY},
	{STORE_GET, "{" HEADER ",\"kvs\":[{\"key\":\"bnAvY3VycmVudAA=\"}]}",
	 ERR_STORE_REPLY_KEY},
	{STORE_LEASE_KEEPALIVE,
	 "{\"result\":{" HEADER ",\"ID\":\"5\",\"TTL\":\"5\"}}",
	 ERR_STORE_REPLY_KEY},
	/* Revisions. */
	{STORE_GET, "{\"header\":{}}", ERR_STORE_REPLY_REVISION},
	{STORE_GET, "{" HEADER ",\"kvs\":[{" KEY ",\"mod_revision\":\"10\"}]}",
	 ERR_STORE_REPLY_REVISION},
	{STORE_GET, "{" HEADER ",\"kvs\":[{" KEY "}]}",
	 ERR_STORE_REPLY_REVISION},
	/* Well-formed replies that say that the call failed. */
	{STORE_LEASE_KEEPALIVE, "{\"result\":{" HEADER ",\"ID\":\"4\"}}",
	 ERR_STORE_LEASE_GONE},
	{STORE_WATCH,
	 "{\"result\":{" HEADER ",\"canceled\":true,"
	 "\"compact_revision\":\"8\"}}",
	 ERR_STORE_COMPACTED},
	{STORE_WATCH, "{\"result\":{" HEADER ",\"canceled\":true}}",
	 ERR_STORE_WATCH_END},
	{STORE_WATCH, "{\"error\":{\"grpc_code\":14}}", ERR_STORE_DOWN},
};

static char *const reads[] = {(char *)"np/current", NULL};

static struct gateway_call make_call(enum store_call call)
{
	return (struct gateway_call){
		.call = call,
		.key = (char *)"np/current",
		.put_count = 1,
		.reads = call == STORE_TXN ? (char **)reads : NULL,
		.lease_id = call == STORE_LEASE_KEEPALIVE ? 4 : 0,
	};
}

/* Guards against a broken reply being taken as an answer. */
static void test_broken_replies(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(broken_replies); i++) {
		const struct broken_reply *b = &broken_replies[i];
		struct gateway_call call = make_call(b->call);
		struct store_reply reply;
		int ret =
			gateway_decode(&call, b->body, strlen(b->body), &reply);

		if (ret != -b->code)
			fprintf(stderr, "reply %zu: %d: %s\n", i, ret, b->body);
		CU_ASSERT_EQUAL(ret, -b->code);
		store_reply_clear(&reply);
	}
}

/* Guards against every prefix of a good reply being taken as an answer. */
static void test_truncated_reply(void)
{
	static const char good[] = "{" HEADER ",\"kvs\":[" KV
				   "],\"count\":\"1\"}";
	struct gateway_call call = make_call(STORE_GET);
	struct store_reply reply;

	for (size_t len = 0; len < sizeof(good) - 1; len++) {
		CU_ASSERT_EQUAL(gateway_decode(&call, good, len, &reply),
				-ERR_STORE_REPLY_JSON);
		store_reply_clear(&reply);
	}
	CU_ASSERT_EQUAL(gateway_decode(&call, good, sizeof(good) - 1, &reply),
			0);
	CU_ASSERT_EQUAL_FATAL(reply.count, 1);
	CU_ASSERT_STRING_EQUAL(reply.entries[0].value, "v");
	CU_ASSERT_EQUAL(reply.entries[0].mod_revision, 7);
	store_reply_clear(&reply);
}

/* Guards against a reply or a value of any size being held in memory. */
static void test_oversized_reply(void)
{
	struct gateway_call call = make_call(STORE_GET);
	char *value = g_strnfill((STORE_VALUE_MAX / 3 + 1) * 4, 'A');
	char *body = g_strdup_printf(
		"{" HEADER ",\"kvs\":[{" KEY ",\"value\":\"%s\"}]}", value);
	char *huge = g_strnfill(GATEWAY_REPLY_MAX + 1, ' ');
	struct store_reply reply;

	CU_ASSERT_EQUAL(gateway_decode(&call, body, strlen(body), &reply),
			-ERR_STORE_REPLY_SIZE);
	store_reply_clear(&reply);
	CU_ASSERT_EQUAL(gateway_decode(&call, huge, strlen(huge), &reply),
			-ERR_STORE_REPLY_SIZE);
	store_reply_clear(&reply);
	g_free(value);
	g_free(body);
	g_free(huge);
}

/* Guards against a write being reported as not done when it may be. */
static void test_error_replies(void)
{
	static const struct {
		enum store_call call;
		const char *body;
		int code;
	} cases[] = {
		{STORE_TXN, "{\"code\":3}", ERR_STORE_REFUSED},
		{STORE_TXN, "{\"code\":8}", ERR_STORE_REFUSED},
		{STORE_TXN, "{\"code\":14}", ERR_STORE_DOWN},
		{STORE_TXN, "{\"code\":4}", ERR_STORE_DOWN},
		{STORE_TXN, "{\"code\":2}", ERR_STORE_DOWN},
		{STORE_TXN, "{}", ERR_STORE_REPLY_FIELD},
		{STORE_TXN, "Bad Gateway", ERR_STORE_REPLY_JSON},
		{STORE_LEASE_REVOKE, "{\"code\":5}", ERR_STORE_LEASE_GONE},
		{STORE_TXN, "{\"code\":5}", ERR_STORE_REFUSED},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct gateway_call call = make_call(cases[i].call);

		CU_ASSERT_EQUAL(gateway_decode_error(&call, cases[i].body,
						     strlen(cases[i].body)),
				-cases[i].code);
	}
}

CU_TestInfo store_gateway_tests[] = {
	{"broken replies", test_broken_replies},
	{"truncated reply", test_truncated_reply},
	{"oversized reply", test_oversized_reply},
	{"error replies", test_error_replies},
	CU_TEST_INFO_NULL,
};
