#include "suites.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/errors.h"
#include "nutmegpickd/route_internal.h"
#include "nutmegpickd/route_metrics.h"
#include "platform/routes.h"

#define KEY "k3y-0f-acme-7f1c"
#define CALLERS 3
#define CALLS_MAX 64
#define EXCHANGE_WAIT_US (5 * US_PER_S)

#define CONFIGURATION(version, tenants)                                        \
	"{\"version\":" version                                                \
	",\"services\":[{\"name\":\"s0\",\"max_conns\":64}],\"routes\":[{"     \
	"\"name\":\"get\",\"host\":\"example\",\"prefix\":\"/get/\",\"kind\":" \
	"\"safe\",\"timeout_ms\":1500,\"latency_goal_ms\":300,"                \
	"\"max_attempts\":2,\"service\":\"s0\"}]" tenants "}"
#define TENANT(name, keys) \
	"{\"name\":\"" name "\",\"rate_per_s\":10,\"api_keys\":[" keys "]}"
#define TENANTS(list) ",\"tenants\":[" list "]"
#define ACME TENANTS(TENANT("acme", "\"" KEY "\""))

/** Requests of callers and of other hosts on a router without leaves. */
struct fixture {
	struct virtual_clock time;
	struct route_service s;
	struct http_server *server;
	/** Of struct http_exchange: requests that were not taken yet. */
	GAsyncQueue *exchanges;
	int callers[CALLERS];
	uint32_t caller_count;
	/** Request that the router refuses with its next answer. */
	struct caller_request *displaced;
	unsigned int statuses[CALLS_MAX];
	uint32_t answer_count;
	uint64_t calls[CALLS_MAX];
	uint32_t call_count;
	/** Of the last call. */
	char organisation[16];
};

/* Functions of other files of the daemon; no other host and no store exist. */

void route_send_frame(struct route_service *s, const char *address,
		      GByteArray *frame)
{
	g_byte_array_free(frame, TRUE);
}

void route_reply_frame(struct route_service *s, link_id link, GByteArray *frame)
{
	g_byte_array_free(frame, TRUE);
}

bool route_forward_request(struct route_service *s, struct caller_request *q)
{
	return false;
}

struct forward_view route_look_forward(struct route_service *s,
				       struct router *copy,
				       const struct route *route,
				       const char *organisation)
{
	return (struct forward_view){ .reason = FORWARD_NOT_GATHERED };
}

void route_cancel_forward(struct route_service *s, struct caller_request *q)
{
}

bool route_start_batch(struct route_service *s, const struct router_batch *b)
{
	return false;
}

void route_cancel_batch(struct route_service *s, uint64_t batch_id)
{
}

void route_send_result_to_sender(struct route_service *s,
				 const struct caller_request *q,
				 const struct router_answer *a, bool is_more)
{
}

void route_metrics_note_answer(const char *route, unsigned int status,
			       int64_t us)
{
}

void route_metrics_note_leaf_rate(const struct leaf_rate_report *report)
{
}

void registry_thread_note_time(struct registry_thread *t,
			       struct store_time time)
{
}

void registry_thread_mark_joined(struct registry_thread *t, uint64_t lease)
{
}

void registry_thread_request_check(struct registry_thread *t)
{
}

struct registry_check registry_thread_last_check(struct registry_thread *t)
{
	return (struct registry_check){ 0 };
}

struct registry_lease registry_thread_lease(struct registry_thread *t)
{
	return (struct registry_lease){ 0 };
}

int64_t registry_thread_news_us(const struct registry_thread *t)
{
	return 0;
}

static void handle_answer(void *ctx, void *user, const struct router_answer *a)
{
	struct router_answer refusal = { .status = 503,
					 .code = -ERR_ROUTE_LATE };
	struct fixture *f = ctx;
	struct caller_request *q = user;
	struct caller_request *displaced = f->displaced;

	f->statuses[f->answer_count++ % CALLS_MAX] = a->status;
	f->displaced = NULL;
	if (displaced) {
		router_cancel(f->s.router, displaced->id);
		route_answer(&f->s, displaced, &refusal);
	}
	if (q->exchange)
		route_answer(&f->s, q, a);
}

static void handle_start_call(void *ctx, const struct router_call *call)
{
	struct fixture *f = ctx;

	f->calls[f->call_count++ % CALLS_MAX] = call->id;
	g_strlcpy(f->organisation, call->organisation ? call->organisation : "",
		  sizeof(f->organisation));
}

static void handle_cancel_call(void *ctx, uint64_t call_id)
{
}

static void handle_free_endpoint(void *ctx, struct route_leaf *leaf)
{
}

static const struct router_ops router_ops = {
	.start_call = handle_start_call,
	.cancel_call = handle_cancel_call,
	.answer = handle_answer,
	.free_endpoint = handle_free_endpoint,
};

static void handle_request(void *ctx, struct http_exchange *x)
{
	g_async_queue_push(ctx, x);
}

static struct fixture *create_fixture(void)
{
	struct fixture *f = g_new0(struct fixture, 1);
	struct router_options router_options = {
		.clock = clock_virtual(&f->time),
		.ops = &router_ops,
		.ctx = f,
	};
	struct http_server_options server_options = {
		.address = "127.0.0.1:0",
		.handle_request = handle_request,
	};

	f->time.now_us = 100 * US_PER_S;
	f->s.clock = clock_virtual(&f->time);
	f->s.forwards = g_hash_table_new(g_int64_hash, g_int64_equal);
	start_hold_init(&f->s.hold, f->time.now_us);
	g_assert(!router_create(&f->s.router, &router_options));
	host_directory_init(&f->s.directory, "self",
			    router_leaves(f->s.router));
	f->s.random = g_rand_new_with_seed(1);
	route_create_quotas(&f->s);
	f->exchanges = g_async_queue_new();
	server_options.ctx = f->exchanges;
	g_assert(!http_server_create(&f->server, &server_options));
	return f;
}

static void destroy_fixture(struct fixture *f)
{
	CU_ASSERT_EQUAL_FATAL(f->s.requests.length, 0);
	for (uint32_t i = 0; i < f->caller_count; i++)
		close(f->callers[i]);
	http_server_destroy(f->server, US_PER_S);
	g_async_queue_unref(f->exchanges);
	token_exchange_free(f->s.tokens);
	quota_free(f->s.quota);
	host_directory_clear(&f->s.directory);
	router_destroy(f->s.router);
	g_rand_free(f->s.random);
	g_hash_table_destroy(f->s.forwards);
	g_free(f);
}

static void apply(struct fixture *f, const char *text)
{
	struct route_table *t = NULL;
	char message[256];

	g_assert(!platform_decode_routes(text, strlen(text), &t, message,
					 sizeof(message)));
	CU_ASSERT_EQUAL(router_apply_table(f->s.router, t), 0);
}

/* Lets a caller send a request, and starts it. */
static void start_request(struct fixture *f, const char *path)
{
	struct sockaddr_in to = {
		.sin_family = AF_INET,
		.sin_port = htons(http_server_port(f->server)),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	char *text = g_strdup_printf("GET %s HTTP/1.1\r\nHost: example\r\n"
				     "Nutmegpick-Request-Id: r\r\n"
				     "Authorization: Bearer " KEY "\r\n\r\n",
				     path);
	struct http_exchange *x;

	g_assert(!connect(fd, (const struct sockaddr *)&to, sizeof(to)));
	g_assert(send(fd, text, strlen(text), MSG_NOSIGNAL) ==
		 (ssize_t)strlen(text));
	g_free(text);
	f->callers[f->caller_count++] = fd;
	x = g_async_queue_timeout_pop(f->exchanges, EXCHANGE_WAIT_US);
	g_assert(x);
	route_start_request(&f->s, x);
}

/* Answers the claim of a token by the first request of an organisation. */
static void grant_token(struct fixture *f)
{
	struct lease_time now = { f->time.now_us, f->time.now_us };
	GArray *claims = quota_advance(f->s.quota, now);
	struct token_grant grant = { .key = "q:acme",
				     .tokens = 1,
				     .ticket = 7 };

	CU_ASSERT_PTR_NOT_NULL_FATAL(claims);
	if (!claims)
		return;
	grant.sequence = g_array_index(claims, struct token_claim, 0).sequence;
	g_array_free(claims, TRUE);
	quota_handle_grant(f->s.quota, &grant, now);
}

struct charge_case {
	/** Table that comes in force while the request waits for a token. */
	const char *table;
	unsigned int status;
};

/*
 * Guards against a token that is returned for no organisation, which ends the
 * process, or for another one than it was taken from: a new table may take the
 * key from the organisation while the request waits.
 */
static void test_charge(void)
{
	static const struct charge_case cases[] = {
		{ CONFIGURATION("2", TENANTS(TENANT("acme", ""))), 401 },
		{ CONFIGURATION("2", TENANTS(TENANT("bolt", "\"" KEY "\""))),
		  503 },
		{ CONFIGURATION("2", ""), 503 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture *f = create_fixture();

		apply(f, CONFIGURATION("1", ACME));
		start_request(f, "/get/x");
		CU_ASSERT_EQUAL(f->answer_count, 0);
		apply(f, cases[i].table);
		grant_token(f);
		CU_ASSERT_EQUAL(f->answer_count, 1);
		CU_ASSERT_EQUAL(f->statuses[0], cases[i].status);
		/* The token is there for the next request. */
		CU_ASSERT_EQUAL(quota_counts(f->s.quota).given_back, 1);
		apply(f, CONFIGURATION("3", ACME));
		start_request(f, "/get/x");
		CU_ASSERT_EQUAL(f->answer_count, 2);
		destroy_fixture(f);
	}
}

static struct caller_request *request_at(struct fixture *f, guint at)
{
	return g_queue_peek_nth(&f->s.requests, at);
}

static void add_leaf(struct fixture *f)
{
	struct leaf_entry e = {
		.id = g_strdup("s0-a"),
		.service = g_strdup("s0"),
		.domain = g_strdup("a"),
		.slots = 4,
		.sequence = 1,
	};

	leaf_set_put(router_leaves(f->s.router), &e, f->time.now_us);
	router_leaves_changed(f->s.router);
}

/*
 * Guards against a request that is used after it is freed: one that was held
 * starts and displaces the next request of the list.
 */
static void test_held(void)
{
	struct fixture *f = create_fixture();
	struct caller_request *q;

	for (int i = 0; i < 3; i++)
		start_request(f, i == 1 ? "/get/x" : "/none/x");
	CU_ASSERT_EQUAL_FATAL(f->s.held_count, 3);
	apply(f, CONFIGURATION("1", ""));
	add_leaf(f);
	q = request_at(f, 1);
	q->is_held = false;
	f->s.held_count--;
	route_run_locally(&f->s, q, false);
	CU_ASSERT_EQUAL(f->call_count, 1);
	f->displaced = q;
	route_release_held(&f->s);
	CU_ASSERT_EQUAL(f->answer_count, 2);
	CU_ASSERT_EQUAL(f->statuses[1], 404);
	CU_ASSERT_EQUAL(f->s.held_count, 0);
	destroy_fixture(f);
}

/* Starts a request of another host whose table names no organisations. */
static void start_remote(struct fixture *f)
{
	struct http_header key = { "Authorization", "Bearer " KEY };
	GArray *headers = g_array_new(FALSE, TRUE, sizeof(key));
	struct gather_request g = {
		.request_id = "r",
		.version = 1,
		.wait_us = 1500 * US_PER_MS,
		.goal_left_us = 278 * US_PER_MS,
		.method = "GET",
		.host = "example",
		.target = "/get/x",
		.headers = headers,
	};
	struct host_frame *frame = g_new0(struct host_frame, 1);
	GByteArray *data;

	g_array_append_val(headers, key);
	data = host_frame_gather(&g);
	g_assert(!host_frame_decode(data->data, data->len, frame));
	g_byte_array_free(data, TRUE);
	g_array_free(headers, TRUE);
	route_start_remote(&f->s, 1, frame);
}

/*
 * Guards against 401 for a request of another host that waits when the first
 * organisations come in force: its key is one of theirs.
 */
static void test_remote(void)
{
	struct fixture *f = create_fixture();
	struct router_result result = { .outcome = CALL_ANSWERED,
					.stamp = "stamp" };
	uint32_t calls;

	apply(f, CONFIGURATION("1", ""));
	add_leaf(f);
	do {
		calls = f->call_count;
		start_remote(f);
	} while (f->call_count > calls);
	CU_ASSERT_EQUAL(f->answer_count, 0);
	apply(f, CONFIGURATION("2", ACME));
	result.call_id = f->calls[0];
	result.reply = leaf_reply_create();
	result.reply->status = 200;
	router_call_result(f->s.router, &result);
	leaf_reply_unref(result.reply);
	CU_ASSERT_EQUAL(f->answer_count, 1);
	CU_ASSERT_EQUAL(f->statuses[0], 200);
	CU_ASSERT_EQUAL(f->call_count, calls + 1);
	CU_ASSERT_STRING_EQUAL(f->organisation, "acme");
	route_cancel_link_requests(&f->s, 1);
	destroy_fixture(f);
}

CU_TestInfo route_caller_tests[] = {
	{ "charge", test_charge },
	{ "held", test_held },
	{ "remote", test_remote },
	CU_TEST_INFO_NULL,
};
