#include "suites.h"

#include <string.h>

#include "common/errors.h"
#include "common/events.h"
#include "fake_router.h"
#include "net/host_frame.h"
#include "net/http_header.h"
#include "platform/headers.h"
#include "platform/routes.h"
#include "router/internal.h"
#include "router/key_index.h"

#define KEY_A "k3y-0f-acme-7f1c"
#define KEY_B "k3y-0f-bolt-92d0"
#define KEY_OLD "k3y-0f-acme-a41e"

#define ROUTE(name, fields)                                                  \
	"{\"name\":\"" name "\",\"host\":\"example\",\"prefix\":\"/" name    \
	"/\",\"kind\":\"safe\",\"timeout_ms\":1500,\"latency_goal_ms\":300," \
	"\"max_attempts\":2,\"service\":\"s0\"" fields "}"
#define CONFIGURATION(version, tenants)                               \
	"{\"version\":" version ",\"services\":[{\"name\":\"s0\","    \
	"\"max_conns\":64}],\"routes\":[" ROUTE("get", "") "," ROUTE( \
		"open", ",\"public\":true") "]" tenants "}"
#define TENANT(name, keys) "{\"name\":\"" name "\",\"api_keys\":[" keys "]}"
#define TENANTS(list) ",\"tenants\":[" list "]"
#define TWO_TENANTS                                       \
	TENANTS(TENANT("acme", "\"" KEY_OLD "\",\"" KEY_A \
			       "\"") "," TENANT("bolt", "\"" KEY_B "\""))

static int decode(const char *text, struct route_table **out, char *message,
		  size_t len)
{
	return platform_decode_routes(text, strlen(text), out, message, len);
}

static struct route_table *decode_table(const char *text)
{
	struct route_table *t = NULL;
	char message[256];

	g_assert(!decode(text, &t, message, sizeof(message)));
	return t;
}

static GArray *create_headers(const char *const *values)
{
	GArray *headers = g_array_new(FALSE, TRUE, sizeof(struct http_header));
	struct http_header host = { "Host", "example" };

	g_array_append_val(headers, host);
	for (size_t i = 0; values[i]; i++) {
		struct http_header h = { "authorization", (char *)values[i] };

		g_array_append_val(headers, h);
	}
	return headers;
}

static struct credentials read_credentials(const char *const *values)
{
	GArray *headers = create_headers(values);
	struct credentials c = platform_read_credentials(headers);

	g_array_free(headers, TRUE);
	return c;
}

static struct credentials bearer(const char *key)
{
	char *text = g_strdup_printf("Bearer %s", key);
	struct credentials c = read_credentials((const char *[]){ text, NULL });

	g_free(text);
	return c;
}

/* Guards against digests that are lost or confused when the index grows. */
static void test_index(void)
{
	struct key_index *x = key_index_create();
	struct key_digest d;
	char key[32];

	for (uint32_t i = 0; i < 5000; i++) {
		g_snprintf(key, sizeof(key), "key-%u", i);
		d = key_digest_create(key, strlen(key));
		CU_ASSERT_EQUAL(key_index_add(x, &d, i / 2), i / 2);
	}
	CU_ASSERT_EQUAL(key_index_count(x), 5000);
	for (uint32_t i = 0; i < 10000; i++) {
		g_snprintf(key, sizeof(key), "key-%u", i);
		d = key_digest_create(key, strlen(key));
		CU_ASSERT_EQUAL(key_index_find(x, &d),
				i < 5000 ? i / 2 : KEY_OWNER_NONE);
	}
	CU_ASSERT_EQUAL(key_index_add(x, &d, 7), 7);
	CU_ASSERT_EQUAL(key_index_add(x, &d, 8), 7);
	CU_ASSERT_EQUAL(key_index_find(NULL, &d), KEY_OWNER_NONE);
	key_index_free(x);
}

struct header_case {
	const char *values[3];
	enum identity_verdict verdict;
	enum identity_verdict public_verdict;
};

/* Guards against a caller accepted, or refused, for the form of its header. */
static void test_headers(void)
{
	static const struct header_case cases[] = {
		{ { "Bearer " KEY_A }, IDENTITY_ACCEPTED, IDENTITY_ACCEPTED },
		{ { "bEARER\t \t" KEY_A " \t" },
		  IDENTITY_ACCEPTED,
		  IDENTITY_ACCEPTED },
		{ { NULL }, IDENTITY_MISSING, IDENTITY_ACCEPTED },
		{ { "Bearer k3y" }, IDENTITY_UNKNOWN, IDENTITY_UNKNOWN },
		{ { "Bearer " KEY_A " " KEY_A },
		  IDENTITY_UNKNOWN,
		  IDENTITY_UNKNOWN },
		{ { "" }, IDENTITY_MALFORMED, IDENTITY_MALFORMED },
		{ { "Bearer" }, IDENTITY_MALFORMED, IDENTITY_MALFORMED },
		{ { "Bearer \t " }, IDENTITY_MALFORMED, IDENTITY_MALFORMED },
		{ { "Bearer" KEY_A }, IDENTITY_MALFORMED, IDENTITY_MALFORMED },
		{ { "Basic " KEY_A }, IDENTITY_MALFORMED, IDENTITY_MALFORMED },
		{ { KEY_A }, IDENTITY_MALFORMED, IDENTITY_MALFORMED },
		{ { "Bearer " KEY_A, "Bearer " KEY_A },
		  IDENTITY_MALFORMED,
		  IDENTITY_MALFORMED },
		{ { "", "Bearer " KEY_A },
		  IDENTITY_MALFORMED,
		  IDENTITY_MALFORMED },
	};
	struct route_table *t = decode_table(CONFIGURATION("1", TWO_TENANTS));
	struct route_table *plain = decode_table(CONFIGURATION("1", ""));
	struct route_table *empty =
		decode_table(CONFIGURATION("1", TENANTS("")));

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct identity_claim claim = {
			.credentials = read_credentials(cases[i].values),
		};

		CU_ASSERT_EQUAL(
			identity_check(t, &t->routes[0], &claim).verdict,
			cases[i].verdict);
		CU_ASSERT_EQUAL(
			identity_check(t, &t->routes[1], &claim).verdict,
			cases[i].public_verdict);
		CU_ASSERT_EQUAL(
			identity_check(plain, &plain->routes[0], &claim).verdict,
			IDENTITY_ACCEPTED);
		/* The last organisation may have been removed. */
		CU_ASSERT_NOT_EQUAL(
			identity_check(empty, &empty->routes[0], &claim).verdict,
			IDENTITY_ACCEPTED);
		CU_ASSERT_EQUAL(identity_check(NULL, NULL, &claim).verdict,
				IDENTITY_UNREADY);
	}
	route_table_unref(t);
	route_table_unref(plain);
	route_table_unref(empty);
}

/*
 * Guards against a key that two organisations share, and against keys in the
 * reasons for which a configuration is refused.
 */
static void test_configurations(void)
{
	static const char *const texts[] = {
		CONFIGURATION(
			"1", TENANTS(TENANT("acme", "\"" KEY_A "\"") "," TENANT(
				     "bolt", "\"" KEY_A "\""))),
		CONFIGURATION("1", TENANTS(TENANT("acme", "\"" KEY_A
							  "\" \"" KEY_A "\""))),
		CONFIGURATION("1", TENANTS(TENANT("acme", "\"\\u" KEY_A "\""))),
		CONFIGURATION("1",
			      TENANTS(TENANT("acme", "{\"" KEY_A "\":1}"))),
		CONFIGURATION("1",
			      TENANTS("{\"name\":\"acme\",\"api_keys\":\"" KEY_A
				      "\"}")),
		CONFIGURATION("1", TENANTS(TENANT("a\\nb", "\"" KEY_A "\""))),
	};
	struct route_table *t;
	char message[256];

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		CU_ASSERT_EQUAL(decode(texts[i], &t, message, sizeof(message)),
				-ERR_ROUTE_TABLE);
		CU_ASSERT_PTR_NULL(strstr(message, KEY_A));
		CU_ASSERT_PTR_NULL(strstr(message, "k3y"));
		if (!i)
			CU_ASSERT_STRING_EQUAL(message,
					       "organisations acme and bolt "
					       "have the same key");
	}
	/* One organisation may list a key twice; an empty key is no key. */
	t = decode_table(CONFIGURATION(
		"1",
		TENANTS(TENANT("acme", "\"" KEY_A "\",\"" KEY_A
				       "\",\"\"") ",{\"name\":\"bolt\"}")));
	CU_ASSERT_EQUAL(key_index_count(t->keys), 1);
	route_table_unref(t);
}

static void apply(struct fake_router *f, const char *text)
{
	CU_ASSERT_EQUAL(router_apply_table(f->router, decode_table(text)), 0);
}

static uint64_t start(struct fake_router *f, const char *path,
		      struct credentials credentials, const char *organisation)
{
	struct router_request in = {
		.id = "r",
		.host = "example",
		.path = path,
		.credentials = credentials,
		.organisation = organisation,
	};

	return router_start(f->router, &in);
}

/* Guards against calls for another organisation than that of the key. */
static void test_arrival(void)
{
	struct fake_router *f = fake_router_create(1);
	struct credentials none = { .kind = CREDENTIALS_NONE };

	CU_ASSERT_NOT_EQUAL(start(f, "/get/", none, NULL), 0);
	CU_ASSERT_FALSE(f->calls[0].has_organisations);
	apply(f, CONFIGURATION("2", TWO_TENANTS));
	CU_ASSERT_NOT_EQUAL(start(f, "/get/", bearer(KEY_A), NULL), 0);
	CU_ASSERT_NOT_EQUAL(start(f, "/get/", bearer(KEY_B), NULL), 0);
	CU_ASSERT_NOT_EQUAL(start(f, "/open/", none, NULL), 0);
	CU_ASSERT_NOT_EQUAL(start(f, "/get/", none, "bolt"), 0);
	CU_ASSERT_EQUAL_FATAL(f->call_count, 5);
	CU_ASSERT_STRING_EQUAL(f->calls[1].organisation, "acme");
	CU_ASSERT_STRING_EQUAL(f->calls[2].organisation, "bolt");
	CU_ASSERT_STRING_EQUAL(f->calls[3].organisation, "");
	CU_ASSERT_TRUE(f->calls[3].has_organisations);
	CU_ASSERT_STRING_EQUAL(f->calls[4].organisation, "bolt");
	CU_ASSERT_EQUAL(start(f, "/get/", none, NULL), 0);
	CU_ASSERT_EQUAL(f->answers[0].status, 401);
	CU_ASSERT_EQUAL(f->answers[0].code, -ERR_ROUTE_KEY_MISSING);
	CU_ASSERT_EQUAL(start(f, "/open/", bearer("k3y"), NULL), 0);
	CU_ASSERT_EQUAL(f->answers[1].status, 401);
	CU_ASSERT_EQUAL(f->answers[1].code, -ERR_ROUTE_KEY_UNKNOWN);
	CU_ASSERT_EQUAL(start(f, "/get/", none, "gone"), 0);
	CU_ASSERT_EQUAL(f->answers[2].status, 503);
	CU_ASSERT_EQUAL(f->answers[2].code, -ERR_ROUTE_ORGANISATION);
	CU_ASSERT_TRUE(f->answers[2].retry_after_us > 0);
	CU_ASSERT_EQUAL(f->call_count, 5);
	fake_router_answer_all(f);
	fake_router_destroy(f);
}

#define NO_TENANTS ""
#define ONLY_BOLT TENANTS(TENANT("bolt", "\"" KEY_B "\""))
#define REVOKED                                                      \
	TENANTS(TENANT("acme", "\"" KEY_OLD "\"") "," TENANT("bolt", \
							     "\"" KEY_B "\""))
#define MOVED                                                        \
	TENANTS(TENANT("acme", "\"" KEY_OLD "\"") "," TENANT("bolt", \
							     "\"" KEY_A "\""))

/* Starts requests until one waits for a leaf. Returns the number of calls. */
static uint32_t fill_leaves(struct fake_router *f, const char *path,
			    struct credentials credentials,
			    const char *organisation)
{
	uint32_t calls;

	do {
		calls = f->call_count;
		CU_ASSERT_NOT_EQUAL_FATAL(
			start(f, path, credentials, organisation), 0);
	} while (f->call_count > calls);
	return calls;
}

struct waiting_case {
	const char *before;
	const char *after;
	bool has_key;
	/** Name sent by another host, in place of a key. */
	const char *name;
	bool are_keys_stale;
	/** Answer to a request that waits; 0 if it is sent to a leaf. */
	unsigned int status;
	int code;
	const char *organisation;
};

#define BEFORE CONFIGURATION("2", TWO_TENANTS)

static const struct waiting_case waiting_cases[] = {
	{ BEFORE, BEFORE, true, NULL, false, 0, 0, "acme" },
	{ BEFORE, CONFIGURATION("3", REVOKED), true, NULL, false, 401,
	  -ERR_ROUTE_KEY_REVOKED },
	{ BEFORE, CONFIGURATION("3", MOVED), true, NULL, false, 0, 0, "bolt" },
	{ BEFORE, CONFIGURATION("3", REVOKED), false, "acme", false, 0, 0,
	  "acme" },
	{ BEFORE, CONFIGURATION("3", ONLY_BOLT), false, "acme", false, 401,
	  -ERR_ROUTE_KEY_REVOKED },
	{ BEFORE, CONFIGURATION("3", TENANTS("")), true, NULL, false, 401,
	  -ERR_ROUTE_KEY_REVOKED },
	{ BEFORE, CONFIGURATION("3", NO_TENANTS), true, NULL, false, 0, 0, "" },
	{ CONFIGURATION("2", NO_TENANTS), CONFIGURATION("3", TWO_TENANTS), true,
	  NULL, false, 0, 0, "acme" },
	{ CONFIGURATION("2", NO_TENANTS), CONFIGURATION("3", TWO_TENANTS),
	  false, NULL, false, 401, -ERR_ROUTE_KEY_MISSING },
	{ BEFORE, BEFORE, true, NULL, true, 503, -ERR_ROUTE_KEYS_STALE },
	{ CONFIGURATION("2", NO_TENANTS), BEFORE, true, NULL, true, 0, 0, "" },
};

static void run_waiting_case(const struct waiting_case *c)
{
	struct fake_router *f = fake_router_create(1);
	struct credentials key = bearer(KEY_A);
	uint32_t calls;

	apply(f, c->before);
	if (!c->has_key)
		key.kind = CREDENTIALS_NONE;
	calls = fill_leaves(f, "/get/", key, c->name);
	if (c->after != c->before)
		router_apply_table(f->router, decode_table(c->after));
	router_set_keys_stale(f->router, c->are_keys_stale);
	router_leaves_changed(f->router);
	/* Calls in flight go on. */
	CU_ASSERT_EQUAL(f->answer_count, c->status ? 1 : 0);
	if (c->status) {
		CU_ASSERT_EQUAL(f->answers[0].status, c->status);
		CU_ASSERT_EQUAL(f->answers[0].code, c->code);
		CU_ASSERT_EQUAL(f->answers[0].retry_after_us > 0,
				c->status == 503);
	}
	fake_router_end_call(f, 0, CALL_ANSWERED, 200, "0123456789abcdef");
	fake_router_advance(f, 25 * US_PER_MS);
	CU_ASSERT_EQUAL_FATAL(f->call_count, calls + (c->status ? 0 : 1));
	if (!c->status)
		CU_ASSERT_STRING_EQUAL(f->calls[calls].organisation,
				       c->organisation);
	fake_router_answer_all(f);
	CU_ASSERT_EQUAL(f->answer_count, calls + 1);
	fake_router_destroy(f);
}

/* Guards against a revoked key that still runs a request which waits. */
static void test_waiting(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(waiting_cases); i++)
		run_waiting_case(&waiting_cases[i]);
}

/*
 * Guards against figures of an organisation that are used after a new table has
 * freed them: its key has moved to another organisation, or needs none.
 */
static void test_figures(void)
{
	static const char *const tables[] = {
		CONFIGURATION("3", TENANTS(TENANT("bolt", "\"" KEY_A "\""))),
		CONFIGURATION("3", NO_TENANTS),
		CONFIGURATION("3", TWO_TENANTS),
	};

	for (size_t i = 0; i < G_N_ELEMENTS(tables); i++) {
		struct fake_router *f = fake_router_create(1);
		const struct route_request *q;
		uint32_t calls;

		router_set_triage(f->router, TRIAGE_ALWAYS);
		apply(f, BEFORE);
		do {
			calls = f->call_count;
			q = id_table_find(&f->router->requests,
					  start(f, "/get/", bearer(KEY_A),
						NULL));
		} while (f->call_count > calls);
		CU_ASSERT_TRUE_FATAL(q && q->organisation_stats);
		if (!q || !q->organisation_stats)
			return;
		apply(f, tables[i]);
		fake_router_end_call(f, 0, CALL_ANSWERED, 200, NULL);
		CU_ASSERT_EQUAL(f->call_count, calls + 1);
		CU_ASSERT_EQUAL(q->organisation_stats->class.started,
				calls + 1);
		fake_router_answer_all(f);
		fake_router_destroy(f);
	}
}

/* Guards against a retry or a hedge with a key that was revoked. */
static void test_extra_calls(void)
{
	static const struct {
		enum call_outcome outcome;
		unsigned int reply;
		unsigned int status;
		int code;
	} cases[] = {
		{ CALL_NOT_RUN, 503, 401, -ERR_ROUTE_KEY_REVOKED },
		{ CALL_NOT_SENT, 0, 401, -ERR_ROUTE_KEY_REVOKED },
		{ CALL_BROKEN, 0, 502, -ERR_ROUTE_REPLY },
		{ CALL_ANSWERED, 200, 200, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fake_router *f = fake_router_create(1);

		apply(f, BEFORE);
		start(f, "/get/", bearer(KEY_A), NULL);
		apply(f, CONFIGURATION("3", REVOKED));
		fake_router_advance(f, 400 * US_PER_MS);
		CU_ASSERT_EQUAL(f->call_count, 1);
		fake_router_end_call(f, 0, cases[i].outcome, cases[i].reply,
				     NULL);
		CU_ASSERT_EQUAL(f->call_count, 1);
		CU_ASSERT_EQUAL_FATAL(f->answer_count, 1);
		CU_ASSERT_EQUAL(f->answers[0].status, cases[i].status);
		CU_ASSERT_EQUAL(f->answers[0].code, cases[i].code);
		fake_router_destroy(f);
	}
}

/*
 * Guards against 401 for a request that another host may have run before it was
 * taken back: its caller would take it as not run.
 */
static void test_repeat(void)
{
	struct fake_router *f = fake_router_create(1);
	struct router_request in = {
		.id = "r",
		.host = "example",
		.path = "/get/",
		.credentials = bearer("k3y"),
		.is_repeat = true,
	};

	apply(f, BEFORE);
	CU_ASSERT_EQUAL(router_start(f->router, &in), 0);
	CU_ASSERT_EQUAL(f->answers[0].status, 502);
	CU_ASSERT_EQUAL(f->call_count, 0);
	fake_router_destroy(f);
}

static char *write_call_head(bool has_organisations, const char *organisation)
{
	struct http_header list[] = {
		{ "Host", "example" },
		{ "AUTHORIZATION ", "Bearer " KEY_A },
		{ "nutmegpick-tenant-id", "forged" },
		{ "Authorization-Info", "kept" },
	};
	GArray *headers = g_array_new(FALSE, TRUE, sizeof(struct http_header));
	struct platform_request in = {
		.method = "GET",
		.target = "/get/",
		.headers = headers,
	};
	struct route_leaf leaf = { .entry.id = "s0-a" };
	struct router_call call = {
		.leaf = &leaf,
		.has_organisations = has_organisations,
		.organisation = organisation,
	};
	GString *out = g_string_new(NULL);

	g_array_append_vals(headers, list, G_N_ELEMENTS(list));
	platform_write_call_head(out, &in, &call);
	g_array_free(headers, TRUE);
	return g_string_free(out, FALSE);
}

/* Guards against a leaf that is sent the key, or an organisation of choice. */
static void test_call_head(void)
{
	char *head = write_call_head(true, "acme");

	CU_ASSERT_PTR_NULL(strstr(head, KEY_A));
	CU_ASSERT_PTR_NULL(strstr(head, "forged"));
	CU_ASSERT_PTR_NOT_NULL(strstr(head, "Nutmegpick-Tenant-Id: acme\r\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(head, "Authorization-Info: kept\r\n"));
	g_free(head);
	head = write_call_head(true, NULL);
	CU_ASSERT_PTR_NULL(strstr(head, KEY_A));
	CU_ASSERT_PTR_NULL(strcasestr(head, "tenant"));
	g_free(head);
	head = write_call_head(false, NULL);
	CU_ASSERT_PTR_NOT_NULL(strstr(head,
				      "AUTHORIZATION : Bearer " KEY_A "\r\n"
				      "nutmegpick-tenant-id: forged\r\n"));
	g_free(head);
}

CU_TestInfo identity_tests[] = {
	{ "index", test_index },
	{ "headers", test_headers },
	{ "configurations", test_configurations },
	{ "arrival", test_arrival },
	{ "waiting", test_waiting },
	{ "figures", test_figures },
	{ "extra calls", test_extra_calls },
	{ "repeat", test_repeat },
	{ "call head", test_call_head },
	CU_TEST_INFO_NULL,
};
