#include "suites.h"

#include <string.h>

#include "common/errors.h"
#include "platform/lenient_json.h"
#include "platform/store.h"

/* Entries of which no key can be used. */
static const char *const keyless[] = {
	"{\"key\":\"servers/odd\\u0000x\",\"value\":\"dg==\",\"revision\":5}",
	"{\"key\":\"servers/odd\\ud800x\",\"value\":\"dg==\",\"revision\":5}",
	"{\"key\":\"servers/odd\\udc00\",\"value\":\"dg==\",\"revision\":5}",
	"{\"key\":\"\\ud800\\ud800\\udc00\",\"value\":\"dg==\",\"revision\":5}",
	"{\"key\":\"servers/odd\\uD83D\",\"revision\":5,\"deleted\":true}",
	"{\"key\":\"servers/odd\xff\",\"value\":\"dg==\",\"revision\":5}",
	"{\"key\":\"servers/odd\xed\xa0\x80\",\"value\":\"dg==\"}",
	"{\"key\":\"servers/odd\\q\",\"value\":\"dg==\",\"revision\":5}",
	"{\"key\":\"servers/odd\\u12\",\"value\":\"dg==\",\"revision\":5}",
	"{\"key\":7,\"value\":\"dg==\",\"revision\":5}",
	"{\"value\":\"dg==\",\"revision\":5}",
	"{\"key\":nonsense,\"revision\":5}",
	"{\"key\"}",
	"{}",
	"[]",
	"null",
	"-",
	"",
};

/* Entries whose key is servers/b, and the revision and value they are read as. */
static const struct {
	const char *text;
	uint64_t list_revision;
	uint64_t event_revision;
	/** NULL for a deletion. */
	const char *value;
} odd[] = {
	{ "{\"key\":\"servers/b\",\"value\":\"dg==\",\"revision\":1e999}", 9, 6,
	  "v" },
	{ "{\"key\":\"servers/b\",\"value\":\"dg==\",\"revision\":"
	  "123456789012345678901234567890}",
	  9, 6, "v" },
	{ "{\"key\":\"servers/b\",\"value\":\"dg==\",\"revision\":-1}", 9, 6,
	  "v" },
	{ "{\"key\":\"servers/b\",\"value\":\"dg==\",\"revision\":10}", 9, 6,
	  "v" },
	{ "{\"key\":\"servers/b\",\"value\":\"dg==\",\"revision\":\"5\"}", 9, 6,
	  "v" },
	{ "{\"key\":\"servers/b\",\"value\":\"dg==\"}", 9, 6, "v" },
	{ "{\"key\":\"servers/b\",\"revision\":1e999,\"deleted\":true}", 9, 6,
	  NULL },
	{ "{\"key\":\"servers/b\",\"value\":\"dg==\",\"revision\":5,"
	  "\"created\":1e999}",
	  5, 5, "v" },
	{ "{\"key\":\"servers/b\",\"value\":\"dg==\",\"revision\":5,"
	  "\"note\":\"\\udfff\"}",
	  5, 5, "v" },
	{ "{\"key\":\"servers/b\",\"value\":\"dg==\",\"revision\":5,"
	  "\"no\\u0000te\":1}",
	  5, 5, "v" },
	{ "{\"key\":\"servers/b\",\"value\":\"dg==\",\"revision\":5,"
	  "\"\\ud800\":{\"a\":[1,2]}}",
	  5, 5, "v" },
	{ "{\"key\":\"servers/b\",\"value\":1e999,\"revision\":5}", 5, 5, "" },
	{ "{\"key\":\"servers/b\",\"value\":{},\"revision\":5}", 5, 5, "" },
	{ "{\"key\":\"servers/b\",\"revision\":5}", 5, 5, "" },
};

/* Builds a reply with an entry between two proper ones. */
static char *build_reply(bool is_list, const char *entry)
{
	return g_strdup_printf(
		"{\"%s\":[{\"key\":\"servers/a\",\"value\":\"dg==\","
		"\"revision\":4},%s,{\"key\":\"servers/c\",\"value\":\"dg==\","
		"\"revision\":6}],\"has_more\":true,\"current_rev\":9}",
		is_list ? "items" : "events", entry);
}

static void require_item(const struct store_changes *c, guint at,
			 const char *key, uint64_t revision, const char *value)
{
	const struct store_item *item;

	CU_ASSERT_FATAL(c->items->len > at);
	item = &g_array_index(c->items, struct store_item, at);
	CU_ASSERT_STRING_EQUAL(item->key, key);
	CU_ASSERT_EQUAL(item->time.revision, revision);
	CU_ASSERT_EQUAL(item->value != NULL, value != NULL);
	if (item->value && value) {
		CU_ASSERT_EQUAL(item->value_len, strlen(value));
		CU_ASSERT_EQUAL(memcmp(item->value, value, strlen(value)), 0);
	}
}

/* Decodes a reply with an entry and checks the entries beside it. */
static void decode_beside(struct store_page *p, bool is_list, const char *entry)
{
	char *reply = build_reply(is_list, entry);

	CU_ASSERT_EQUAL_FATAL(
		platform_store_decode_page(reply, strlen(reply), p), 0);
	CU_ASSERT_EQUAL(p->changes->to.revision, 9);
	CU_ASSERT_EQUAL(p->next->len, strlen("servers/c"));
	require_item(p->changes, 0, "servers/a", 4, "v");
	require_item(p->changes, p->changes->items->len - 1, "servers/c", 6,
		     "v");
	g_free(reply);
}

/* Guards against a reply that is lost with an entry whose key is unreadable. */
static void test_keyless(void)
{
	for (size_t i = 0; i < 2 * G_N_ELEMENTS(keyless); i++) {
		struct store_page p;

		decode_beside(&p, i % 2, keyless[i / 2]);
		CU_ASSERT_EQUAL(p.changes->items->len, 2);
		CU_ASSERT_EQUAL(p.unread_count, 1);
		store_page_clear(&p);
	}
}

/* Guards against a reply that is lost with an entry that has an odd field. */
static void test_odd_fields(void)
{
	for (size_t i = 0; i < 2 * G_N_ELEMENTS(odd); i++) {
		bool is_list = i % 2;
		struct store_page p;

		decode_beside(&p, is_list, odd[i / 2].text);
		CU_ASSERT_EQUAL_FATAL(p.changes->items->len, 3);
		CU_ASSERT_EQUAL(p.unread_count, 0);
		require_item(p.changes, 1, "servers/b",
			     is_list ? odd[i / 2].list_revision
				     : odd[i / 2].event_revision,
			     odd[i / 2].value);
		store_page_clear(&p);
	}
}

/* Guards against a reply that is lost with an entry that is nested deeply. */
static void test_depth(void)
{
	for (size_t depth = 1; depth < 300000; depth *= 7) {
		GString *entry = g_string_new("{\"key\":\"servers/b\",\"value\""
					      ":\"dg==\",\"revision\":5,"
					      "\"note\":");
		struct store_page p;

		for (size_t i = 0; i < depth; i++)
			g_string_append(entry, i % 2 ? "[" : "{\"a\":");
		g_string_append(entry, "0");
		for (size_t i = depth; i-- > 0;)
			g_string_append_c(entry, i % 2 ? ']' : '}');
		g_string_append_c(entry, '}');
		decode_beside(&p, depth % 2, entry->str);
		CU_ASSERT_EQUAL_FATAL(p.changes->items->len, 3);
		require_item(p.changes, 1, "servers/b", 5, "v");
		store_page_clear(&p);
		g_string_free(entry, TRUE);
	}
}

/* Guards against a reply whose end is missing and that is taken for a whole. */
static void test_broken_replies(void)
{
	static const char *const replies[] = {
		"",
		"nonsense",
		"\"\\ud800\"",
		"[{\"key\":\"\\ud800\"}]",
		"{\"items\":{},\"current_rev\":4}",
		"{\"items\":[{\"key\":\"\\ud800\"}],\"current_rev\":1e999}",
		"{\"items\":[{\"key\":\"\\ud800\"}],\"current_rev\":-1}",
		"{\"items\":[{\"key\":\"\\ud800\"}]}",
		"{\"items\":[{\"key\":\"\\ud800\"}],\"current_rev\":4}}",
		"{\"items\":[{\"key\":\"\\ud800\"}],\"current_rev\":4]",
		"{\"items\":[{\"key\":\"\\ud800\"},\"current_rev\":4}",
		"{\"items\":[{\"key\":\"\\ud800\",\"current_rev\":4}",
		"{\"items\":[{\"key\":\"\\ud800}],\"current_rev\":4}",
	};
	char *whole = build_reply(true, keyless[1]);
	struct store_page p;

	for (size_t i = 0; i < G_N_ELEMENTS(replies); i++)
		CU_ASSERT_EQUAL(platform_store_decode_page(
					replies[i], strlen(replies[i]), &p),
				-ERR_INVAL);
	for (size_t len = 0; len < strlen(whole); len++)
		CU_ASSERT_EQUAL(platform_store_decode_page(whole, len, &p),
				-ERR_INVAL);
	g_free(whole);
}

/* Guards against a log line that an unreadable key breaks. */
static void test_unread_key(void)
{
	static const char reply[] =
		"{\"items\":[{\"key\":7},{\"key\":\"a\\r\\n\\u0000\\ud800\"},"
		"{\"key\":\"b\\u0000\"}],\"current_rev\":4}";
	struct store_page p;

	CU_ASSERT_EQUAL_FATAL(
		platform_store_decode_page(reply, strlen(reply), &p), 0);
	CU_ASSERT_EQUAL(p.unread_count, 3);
	CU_ASSERT_STRING_EQUAL(p.unread_key, "a\\015\\012\\000\\355\\240\\200");
	store_page_clear(&p);
}

/* Guards against a lease that is lost with a field beside it. */
static void test_lease(void)
{
	static const char reply[] = "{\"lease\":7,\"ttl_ms\":1e999}";

	CU_ASSERT_EQUAL(platform_store_decode_lease(reply, strlen(reply)), 7);
}

/* Guards against values that decode differently beside a refused one. */
static void test_lenient(void)
{
	static const char text[] =
		" { \"a\" : [ \"\\ud800\" , \"x\\\"],\\\\\" , 1.5 , [ ] ] ,\n"
		"\"b\" : { \"c\" : null , \"\" : true } , \"\\u0062\" : [ {} ] } ";
	json_t *expected =
		json_pack("{s:[n,s,f,[]],s:[{}]}", "a", "x\"],\\", 1.5, "b");
	json_t *v = lenient_json_load(text, strlen(text), 2);

	json_array_set_new(json_object_get(expected, "a"), 0,
			   json_stringn_nocheck("\xed\xa0\x80", 3));
	CU_ASSERT_TRUE(json_equal(v, expected));
	json_decref(expected);
	json_decref(v);
}

CU_TestInfo store_reply_tests[] = {
	{ "keyless", test_keyless },
	{ "odd fields", test_odd_fields },
	{ "depth", test_depth },
	{ "broken replies", test_broken_replies },
	{ "unread key", test_unread_key },
	{ "lease", test_lease },
	{ "lenient", test_lenient },
	CU_TEST_INFO_NULL,
};
