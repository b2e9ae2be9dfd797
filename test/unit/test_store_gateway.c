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

#define OPEN "{" HEADER
#define KVS OPEN ",\"kvs\":["
#define RESULT "{\"result\":{" HEADER

/* Short names keep a reply on one line of the table. */
enum {
	GET = STORE_GET,
	TXN = STORE_TXN,
	WATCH = STORE_WATCH,
	GRANT = STORE_LEASE_GRANT,
	KEEPALIVE = STORE_LEASE_KEEPALIVE,
	REVOKE = STORE_LEASE_REVOKE,
	BAD_JSON = ERR_STORE_REPLY_JSON,
	BAD_FIELD = ERR_STORE_REPLY_FIELD,
	BAD_BASE64 = ERR_STORE_REPLY_BASE64,
	BAD_KEY = ERR_STORE_REPLY_KEY,
	BAD_REVISION = ERR_STORE_REPLY_REVISION,
};

struct broken_reply {
	int call;
	const char *body;
	int code;
};

static const struct broken_reply broken_replies[] = {
	/* Not JSON, or truncated. */
	{ GET, "", BAD_JSON },
	{ GET, "{", BAD_JSON },
	{ GET, "<html>", BAD_JSON },
	{ GET, KVS KV, BAD_JSON },
	{ GET, OPEN "} {}", BAD_JSON },
	{ GET, OPEN "," HEADER "}", BAD_JSON },
	{ TXN, OPEN ",\"succeeded\":tru", BAD_JSON },
	{ WATCH, RESULT, BAD_JSON },
	{ GRANT, "\xff\xfe", BAD_JSON },
	/* Missing field, or field of the wrong type. */
	{ GET, "[]", BAD_FIELD },
	{ GET, "{}", BAD_FIELD },
	{ GET, "{\"header\":3}", BAD_FIELD },
	{ GET, "{\"header\":{\"revision\":\"x\"}}", BAD_FIELD },
	{ GET, "{\"header\":{\"revision\":\"9 \"}}", BAD_FIELD },
	{ GET, "{\"header\":{\"revision\":\"99999999999999999999\"}}",
	  BAD_FIELD },
	{ GET, OPEN ",\"kvs\":{}}", BAD_FIELD },
	{ GET, KVS "3],\"count\":\"1\"}", BAD_FIELD },
	{ GET, KVS KV "]}", BAD_FIELD },
	{ GET, OPEN ",\"count\":\"1\"}", BAD_FIELD },
	{ GET, KVS KV "],\"count\":-1}", BAD_FIELD },
	{ GET, KVS "{\"key\":5}],\"count\":\"1\"}", BAD_FIELD },
	{ GET, KVS "{" KEY ",\"value\":{}}]}", BAD_FIELD },
	{ GET, KVS "{" KEY ",\"mod_revision\":true}],\"count\":\"1\"}",
	  BAD_FIELD },
	{ TXN, OPEN ",\"succeeded\":\"yes\"}", BAD_FIELD },
	{ TXN, OPEN ",\"succeeded\":true}", BAD_FIELD },
	{ TXN, OPEN ",\"succeeded\":true,\"responses\":3}", BAD_FIELD },
	{ TXN, OPEN ",\"succeeded\":true,\"responses\":[{},{}]}", BAD_FIELD },
	{ TXN,
	  OPEN ",\"succeeded\":true,\"responses\":"
	       "[{\"response_put\":{}},{\"response_put\":{}}]}",
	  BAD_FIELD },
	{ TXN, OPEN ",\"responses\":[]}", BAD_FIELD },
	{ TXN, OPEN ",\"responses\":[{\"response_range\":{}},{}]}", BAD_FIELD },
	{ WATCH, OPEN "}", BAD_FIELD },
	{ WATCH, RESULT ",\"events\":{}}}", BAD_FIELD },
	{ WATCH, RESULT ",\"events\":[{}]}}", BAD_FIELD },
	{ WATCH, RESULT ",\"events\":[{\"type\":\"MOVE\",\"kv\":" KV "}]}}",
	  BAD_FIELD },
	{ WATCH, RESULT ",\"canceled\":1}}", BAD_FIELD },
	{ WATCH, "{\"error\":{\"code\":\"x\"}}", BAD_FIELD },
	{ GRANT, OPEN "}", BAD_FIELD },
	{ GRANT, OPEN ",\"ID\":\"0\",\"TTL\":\"5\"}", BAD_FIELD },
	{ GRANT, OPEN ",\"ID\":\"4\",\"TTL\":\"-5\"}", BAD_FIELD },
	{ REVOKE, "{}", BAD_FIELD },
	/* Not base64. */
	{ GET, KVS "{\"key\":\"bnA\"}],\"count\":\"1\"}", BAD_BASE64 },
	{ GET, KVS "{\"key\":\"b!==\"}]}", BAD_BASE64 },
	{ GET, KVS "{" KEY ",\"value\":\"d=g=\"}]}", BAD_BASE64 },
	/* Keys that were not requested. */
	{ GET, KVS "{\"key\":\"eA==\"}]}", BAD_KEY },
	{ GET, KVS "{" VALUE "}]}", BAD_KEY },
	{ GET, KVS KV "," KV "],\"count\":\"2\"}", BAD_KEY },
	{ GET, KVS "{\"key\":\"bnAvY3VycmVudAA=\"}]}", BAD_KEY },
	{ KEEPALIVE, RESULT ",\"ID\":\"5\",\"TTL\":\"5\"}}", BAD_KEY },
	/* Missing or contradicting revisions. */
	{ GET, "{\"header\":{}}", BAD_REVISION },
	{ GET, KVS "{" KEY ",\"mod_revision\":\"10\"}]}", BAD_REVISION },
	{ GET, KVS "{" KEY "}]}", BAD_REVISION },
	/* Well-formed replies that report a failure. */
	{ KEEPALIVE, RESULT ",\"ID\":\"4\"}}", ERR_STORE_LEASE_GONE },
	{ WATCH, RESULT ",\"canceled\":true,\"compact_revision\":\"8\"}}",
	  ERR_STORE_COMPACTED },
	{ WATCH, RESULT ",\"canceled\":true}}", ERR_STORE_WATCH_END },
	{ WATCH, "{\"error\":{\"grpc_code\":14}}", ERR_STORE_DOWN },
};

static char *const reads[] = { (char *)"np/current", NULL };

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

/* Guards against accepting a malformed reply. */
static void test_broken_replies(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(broken_replies); i++) {
		const struct broken_reply *b = &broken_replies[i];
		struct gateway_call call = make_call((enum store_call)b->call);
		struct store_reply reply;
		int ret =
			gateway_decode(&call, b->body, strlen(b->body), &reply);

		if (ret != -b->code)
			fprintf(stderr, "reply %zu: %d: %s\n", i, ret, b->body);
		CU_ASSERT_EQUAL(ret, -b->code);
		store_reply_clear(&reply);
	}
}

/* Guards against accepting a truncated reply: tries each prefix of one. */
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

/* Guards against unbounded memory use by an oversized reply or value. */
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

/* Guards against reporting a write as without effect when it may have one. */
static void test_error_replies(void)
{
	static const struct {
		enum store_call call;
		const char *body;
		int code;
	} cases[] = {
		{ STORE_TXN, "{\"code\":3}", ERR_STORE_REFUSED },
		{ STORE_TXN, "{\"code\":8}", ERR_STORE_REFUSED },
		{ STORE_TXN, "{\"code\":14}", ERR_STORE_DOWN },
		{ STORE_TXN, "{\"code\":4}", ERR_STORE_DOWN },
		{ STORE_TXN, "{\"code\":2}", ERR_STORE_DOWN },
		{ STORE_TXN, "{}", ERR_STORE_REPLY_FIELD },
		{ STORE_TXN, "Bad Gateway", ERR_STORE_REPLY_JSON },
		{ STORE_LEASE_REVOKE, "{\"code\":5}", ERR_STORE_LEASE_GONE },
		{ STORE_TXN, "{\"code\":5}", ERR_STORE_REFUSED },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct gateway_call call = make_call(cases[i].call);

		CU_ASSERT_EQUAL(gateway_decode_error(&call, cases[i].body,
						     strlen(cases[i].body)),
				-cases[i].code);
	}
}

CU_TestInfo store_gateway_tests[] = {
	{ "broken replies", test_broken_replies },
	{ "truncated reply", test_truncated_reply },
	{ "oversized reply", test_oversized_reply },
	{ "error replies", test_error_replies },
	CU_TEST_INFO_NULL,
};
