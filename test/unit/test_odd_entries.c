#include "suites.h"

#include <string.h>

#include "common/errors.h"
#include "nutmegpickd/catalog.h"
#include "platform/routes.h"
#include "platform/store.h"
#include "router/router.h"

/* Fields of an entry that a test may replace, and their proper values. */
static const char *const fields[][2] = {
	{ "service", "\"s\"" },
	{ "address", "\"10.0.0.1:80\"" },
	{ "zone", "\"a\"" },
	{ "version", "\"v1\"" },
	{ "slots", "4" },
	{ "state", "\"ready\"" },
	{ "warmup_left_ms", "0" },
	{ "sequence", "1" },
	{ "born", "1700000000000" },
};

/* Values that name no leaf to use, by field. */
static const char *const odd_values[][2] = {
	{ "slots", "0" },
	{ "slots", "-1" },
	{ "slots", "4294967296" },
	{ "slots", "9223372036854775807" },
	{ "slots", "9223372036854775808" },
	{ "slots", "1e999" },
	{ "slots", "4.5" },
	{ "slots", "\"4\"" },
	{ "slots", "null" },
	{ "warmup_left_ms", "-1" },
	{ "warmup_left_ms", "9223372036854775807" },
	{ "warmup_left_ms", "1e400" },
	{ "sequence", "9223372036854775807" },
	{ "sequence", "123456789012345678901234567890" },
	{ "born", "9223372036854775807" },
	{ "born", "-1" },
	{ "born", "1.5" },
	{ "address", "\"10.0.0.1:0\"" },
	{ "address", "\"10.0.0.1:65536\"" },
	{ "address", "\"10.0.0.1:-1\"" },
	{ "address", "\"10.0.0.1:99999999999999999999\"" },
	{ "address", "\"10.0.0.1:http\"" },
	{ "address", "\"10.0.0.1\"" },
	{ "address", "\"10.0.0.256:80\"" },
	{ "address", "\"0.0.0.0:80\"" },
	{ "address", "\"224.0.0.1:80\"" },
	{ "address", "\"255.255.255.255:80\"" },
	{ "address", "\":80\"" },
	{ "address", "80" },
	{ "service", "\"\"" },
	{ "service", "\"s\\nlevel=error\"" },
	{ "service", "\"s\\u0000\"" },
	{ "service", "{}" },
	{ "zone", "\"a\\r\\nb\"" },
	{ "zone", "[]" },
	{ "state", "\"\"" },
	{ "state", "\"READY\"" },
	{ "version", "7" },
};

static const char *const odd_ids[] = {
	"", "i 1", "i-1\r\nNutmegpick-Not-Executed: 1", "i-1\n", "i\t1", "\x7f",
};

/* Builds an entry; the value of one field is replaced, or NULL for none. */
static char *build_entry(const char *field, const char *value)
{
	GString *text = g_string_new("{");

	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		bool is_odd = field && !strcmp(fields[i][0], field);

		g_string_append_printf(text, "%s\"%s\":%s", i ? "," : "",
				       fields[i][0],
				       is_odd ? value : fields[i][1]);
	}
	g_string_append_c(text, '}');
	return g_string_free(text, FALSE);
}

/* Builds a value that is nested to a depth, closed or cut off. */
static char *build_nested(const char *open, const char *close, int depth,
			  bool is_closed)
{
	GString *text = g_string_new(NULL);

	for (int i = 0; i < depth; i++)
		g_string_append(text, open);
	if (is_closed) {
		g_string_append(text, "1");
		for (int i = 0; i < depth; i++)
			g_string_append(text, close);
	}
	return g_string_free(text, FALSE);
}

static int decode(const char *id, const char *text)
{
	struct leaf_entry entry = { 0 };
	int ret = platform_decode_leaf(id, text, strlen(text), &entry);

	if (!ret)
		leaf_entry_clear(&entry);
	return ret;
}

/* Guards against an odd entry that is taken for a leaf. */
static void test_odd_values(void)
{
	char *text = build_entry(NULL, NULL);

	CU_ASSERT_EQUAL(decode("i-1", text), 0);
	for (size_t i = 0; i < G_N_ELEMENTS(odd_ids); i++)
		CU_ASSERT_EQUAL(decode(odd_ids[i], text), -ERR_INVAL);
	g_free(text);
	for (size_t i = 0; i < G_N_ELEMENTS(odd_values); i++) {
		text = build_entry(odd_values[i][0], odd_values[i][1]);
		CU_ASSERT_EQUAL(decode("i-1", text), -ERR_INVAL);
		g_free(text);
	}
}

/*
 * Guards against entries whose nesting ends the process, on a thread with the
 * stack that threads get.
 */
static gpointer decode_nested(gpointer ctx)
{
	static const char *const brackets[][2] = { { "[", "]" },
						   { "{\"a\":", "}" },
						   { "[{\"a\":", "}]" } };
	int *refused = ctx;

	for (size_t i = 0; i < G_N_ELEMENTS(brackets); i++) {
		for (int depth = 1; depth < 2000000; depth *= 11) {
			for (int is_closed = 0; is_closed < 2; is_closed++) {
				char *value = build_nested(brackets[i][0],
							   brackets[i][1],
							   depth, is_closed);
				char *text = build_entry("slots", value);

				*refused += decode("i-1", text) == -ERR_INVAL;
				*refused += decode("i-1", value) == -ERR_INVAL;
				g_free(text);
				g_free(value);
			}
		}
	}
	return NULL;
}

static void test_nesting(void)
{
	int refused = 0;

	g_thread_join(g_thread_new("decode", decode_nested, &refused));
	CU_ASSERT_EQUAL(refused, 3 * 7 * 2 * 2);
}

static void append_item(GString *page, const char *key, const char *value,
			uint64_t revision)
{
	char *coded = g_base64_encode((const guchar *)value, strlen(value));

	g_string_append_printf(page,
			       "%s{\"key\":\"%s\",\"value\":\"%s\","
			       "\"revision\":%llu}",
			       page->str[page->len - 1] == '[' ? "" : ",", key,
			       coded, (unsigned long long)revision);
	g_free(coded);
}

/* Catalog with a router and no other hosts. */
struct fixture {
	struct virtual_clock time;
	struct host_directory directory;
	struct catalog catalog;
	uint64_t revision;
};

static void handle_free_endpoint(void *ctx, struct route_leaf *leaf)
{
}

static void setup(struct fixture *f)
{
	static const struct router_ops ops = {
		.free_endpoint = handle_free_endpoint,
	};
	struct router_options options = { .ops = &ops };

	memset(f, 0, sizeof(*f));
	f->time.now_us = US_PER_S;
	options.clock = clock_virtual(&f->time);
	router_create(&f->catalog.router, &options);
	host_directory_init(&f->directory, "host",
			    router_leaves(f->catalog.router));
	f->catalog.clock = clock_virtual(&f->time);
	f->catalog.directory = &f->directory;
	store_mirror_init(&f->catalog.mirror);
}

static void teardown(struct fixture *f)
{
	store_mirror_clear(&f->catalog.mirror);
	host_directory_clear(&f->directory);
	router_destroy(f->catalog.router);
}

/* Applies a page of the store to the catalog. */
static void apply(struct fixture *f, GString *page)
{
	struct store_page p;

	g_string_append_printf(page, "],\"current_rev\":%llu}",
			       (unsigned long long)f->revision);
	CU_ASSERT_EQUAL_FATAL(
		platform_store_decode_page(page->str, page->len, &p), 0);
	p.changes->from = f->catalog.mirror.now;
	CU_ASSERT_TRUE(catalog_apply(&f->catalog, p.changes));
	store_page_clear(&p);
	g_string_free(page, TRUE);
}

static bool is_in_service(struct fixture *f, const char *id)
{
	const struct route_leaf *leaf = g_hash_table_lookup(
		router_leaves(f->catalog.router)->leaves, id);

	return leaf && leaf->phase == LEAF_IN_SERVICE;
}

/*
 * Guards against a list that is no longer followed because of an odd entry:
 * the entries beside it hold, and so do those that come later.
 */
static void test_odd_page(void)
{
	struct fixture f;
	char *good = build_entry(NULL, NULL);
	char *deep = build_nested("[", "]", 100000, true);

	setup(&f);
	for (size_t i = 0; i < G_N_ELEMENTS(odd_values); i++) {
		char *odd = build_entry(odd_values[i][0], odd_values[i][1]);
		GString *page = g_string_new("{\"items\":[");
		char *before = g_strdup_printf("servers/b%zu", i);
		char *after = g_strdup_printf("servers/c%zu", i);

		append_item(page, before, good, ++f.revision);
		append_item(page, "servers/odd", odd, ++f.revision);
		append_item(page, "servers/deep", deep, ++f.revision);
		append_item(page, "servers/nul\\u0000nul", good, ++f.revision);
		append_item(page, "servers/cr\\r\\nlf", good, ++f.revision);
		g_string_append(page, ",{\"key\":7},{},[],null,"
				      "{\"key\":\"servers/x\",\"value\":{}}");
		append_item(page, after, good, ++f.revision);
		apply(&f, page);
		CU_ASSERT_TRUE(is_in_service(&f, before + 8));
		CU_ASSERT_TRUE(is_in_service(&f, after + 8));
		CU_ASSERT_FALSE(is_in_service(&f, "odd"));
		CU_ASSERT_FALSE(is_in_service(&f, "deep"));
		g_free(odd);
		g_free(before);
		g_free(after);
	}
	CU_ASSERT_EQUAL(
		g_hash_table_size(router_leaves(f.catalog.router)->leaves),
		2 * G_N_ELEMENTS(odd_values));
	g_free(good);
	g_free(deep);
	teardown(&f);
}

/*
 * Guards against a list that ends at a page of which no entry can be read, or
 * that begins the next page at another key than the last one.
 */
static void test_next_page(void)
{
	static const struct {
		const char *page;
		/** Path of the next call; NULL if there is none. */
		const char *path;
		bool is_bad;
	} rows[] = {
		{ "{\"items\":[{\"key\":\"a\"},{\"key\":\"b/c d\"}],"
		  "\"has_more\":true,\"current_rev\":4}",
		  "/-/kv-range?prefix=&after=b/c%20d", false },
		{ "{\"items\":[{\"key\":\"a\\u0000b\"}],\"has_more\":true,"
		  "\"current_rev\":4}",
		  "/-/kv-range?prefix=&after=a%00b", false },
		{ "{\"items\":[{\"key\":\"a\"},{\"key\":7},null],"
		  "\"has_more\":true,\"current_rev\":4}",
		  "/-/kv-range?prefix=&after=a", false },
		{ "{\"items\":[{\"key\":\"a\"},{\"key\":\"b\\ud800c\"}],"
		  "\"has_more\":true,\"current_rev\":4}",
		  "/-/kv-range?prefix=&after=b%EE%80%80", false },
		{ "{\"items\":[{\"key\":\"a\\ud83d\\ude00\\udfff\"}],"
		  "\"has_more\":true,\"current_rev\":4}",
		  "/-/kv-range?prefix=&after=a%F0%9F%98%80%EE%80%80", false },
		{ "{\"items\":[{\"key\":\"a\",\"revision\":1e999},{\"key\":"
		  "\"b\xff\"}],\"has_more\":true,\"current_rev\":4}",
		  "/-/kv-range?prefix=&after=b%FF", false },
		{ "{\"items\":[{\"key\":\"a\"}],\"has_more\":false,"
		  "\"current_rev\":4}",
		  NULL, false },
		{ "{\"items\":[],\"current_rev\":4}", NULL, false },
		{ "{\"items\":[],\"has_more\":true,\"current_rev\":4}", NULL,
		  true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct store_page p;
		int ret = platform_store_decode_page(rows[i].page,
						     strlen(rows[i].page), &p);

		CU_ASSERT_EQUAL(ret != 0, rows[i].is_bad);
		if (ret)
			continue;
		CU_ASSERT_EQUAL(p.next->len != 0, rows[i].path != NULL);
		if (p.next->len && rows[i].path) {
			struct store_call call =
				platform_store_list("", p.next);

			CU_ASSERT_STRING_EQUAL(call.path, rows[i].path);
			store_call_clear(&call);
		}
		store_page_clear(&p);
	}
}

/*
 * Guards against a leaf that stays unused after another writer has overwritten
 * its entry for a moment.
 */
static void test_overwritten_entry(void)
{
	struct fixture f;
	char *good = build_entry(NULL, NULL);

	setup(&f);
	for (size_t i = 0; i < G_N_ELEMENTS(odd_values); i++) {
		char *odd = build_entry(odd_values[i][0], odd_values[i][1]);
		const char *const values[] = { good, odd, good };

		for (int k = 0; k < 3; k++) {
			GString *page = g_string_new("{\"events\":[");

			append_item(page, "servers/i-1", values[k],
				    ++f.revision);
			apply(&f, page);
			CU_ASSERT_EQUAL(is_in_service(&f, "i-1"), k != 1);
		}
		g_free(odd);
	}
	g_free(good);
	teardown(&f);
}

/* Writes the entry of i-1 with another sequence and start. */
static void put_entry(struct fixture *f, const char *sequence, const char *born,
		      const char *state)
{
	GString *page = g_string_new("{\"events\":[");
	char *text = g_strdup_printf(
		"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":"
		"\"a\",\"version\":\"v1\",\"slots\":4,\"state\":\"%s\","
		"\"warmup_left_ms\":0,\"sequence\":%s,\"born\":%s}",
		state, sequence, born);

	append_item(page, "servers/i-1", text, ++f->revision);
	apply(f, page);
	g_free(text);
}

/*
 * Guards against a leaf that stays out of use after another writer has put an
 * entry with a later start or number under its key, and against late writes of
 * the leaf itself that are taken for news.
 */
static void test_later_than_own(void)
{
	static const char *const later[][2] = {
		{ "1000000", "1700000000000" },
		{ "9007199254740992", "1700000000000" },
		{ "1", "1700000000001" },
		{ "7", "9007199254740992" },
	};
	struct fixture f;

	for (size_t i = 0; i < G_N_ELEMENTS(later); i++) {
		bool is_used = false;

		setup(&f);
		put_entry(&f, "5", "1700000000000", "ready");
		put_entry(&f, later[i][0], later[i][1], "draining");
		for (int s = 0; s < 12 && !is_used; s++) {
			f.time.now_us += US_PER_S;
			put_entry(&f, "6", "1700000000000", "ready");
			is_used = is_in_service(&f, "i-1");
			/* A late write comes within seconds. */
			CU_ASSERT(!is_used || s >= 5);
		}
		CU_ASSERT_TRUE(is_used);
		teardown(&f);
	}
}

static int decode_host(const char *name, const char *address,
		       const char *domain)
{
	char *text = g_strdup_printf("{\"address\":\"%s\",\"domain\":\"%s\","
				     "\"capacity\":%s}",
				     address, domain, "250");
	struct host_record record = { 0 };
	int ret = platform_decode_host(name, text, strlen(text), &record);

	if (!ret)
		host_record_clear(&record);
	g_free(text);
	return ret;
}

/* Guards against an odd record of a host that others then try to follow. */
static void test_odd_hosts(void)
{
	CU_ASSERT_EQUAL(decode_host("h", "10.0.0.1:80", "a"), 0);
	for (size_t i = 0; i < G_N_ELEMENTS(odd_ids); i++)
		CU_ASSERT_EQUAL(decode_host(odd_ids[i], "10.0.0.1:80", "a"),
				-ERR_INVAL);
	CU_ASSERT_EQUAL(decode_host("h", "10.0.0.1:65536", "a"), -ERR_INVAL);
	CU_ASSERT_EQUAL(decode_host("h", "10.0.0.1", "a"), -ERR_INVAL);
	CU_ASSERT_EQUAL(decode_host("h", "0.0.0.0:80", "a"), -ERR_INVAL);
	CU_ASSERT_EQUAL(decode_host("h", "", "a"), -ERR_INVAL);
	CU_ASSERT_EQUAL(decode_host("h", "10.0.0.1:80", ""), -ERR_INVAL);
	CU_ASSERT_EQUAL(decode_host("h", "10.0.0.1:80", "a\\n"), -ERR_INVAL);
}

CU_TestInfo odd_entry_tests[] = {
	{ "next page", test_next_page },
	{ "odd values", test_odd_values },
	{ "nesting", test_nesting },
	{ "odd page", test_odd_page },
	{ "overwritten entry", test_overwritten_entry },
	{ "later than own", test_later_than_own },
	{ "odd hosts", test_odd_hosts },
	CU_TEST_INFO_NULL,
};
