#include "suites.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "common/errors.h"
#include "common/events.h"
#include "../standin/store.h"
#include "store/etcd.h"

#define OK_HEAD "HTTP/1.1 200 OK\r\nContent-Length: "
#define GET_BODY "{\"header\":{\"revision\":\"3\"}}"
#define TXN_BODY                                                             \
	"{\"header\":{\"revision\":\"3\"},\"succeeded\":true,\"responses\":" \
	"[{\"response_put\":{}}]}"

/** Server that answers each request with the same bytes and then closes. */
struct canned_server {
	int fd;
	char address[32];
	const char *reply;
	int requests;
	pthread_t thread;
};

static void read_request(int fd)
{
	GString *text = g_string_new(NULL);
	const char *body;
	char buf[4096];
	ssize_t n;

	while ((n = read(fd, buf, sizeof(buf))) > 0) {
		const char *len;

		g_string_append_len(text, buf, n);
		body = strstr(text->str, "\r\n\r\n");
		len = strstr(text->str, "Content-Length: ");
		if (body && len &&
		    strlen(body + 4) >= g_ascii_strtoull(len + 16, NULL, 10))
			break;
	}
	g_string_free(text, TRUE);
}

static void *run_server(void *ctx)
{
	struct canned_server *s = ctx;
	int fd;

	while ((fd = accept(s->fd, NULL, NULL)) >= 0) {
		ssize_t n;

		read_request(fd);
		__atomic_fetch_add(&s->requests, 1, __ATOMIC_RELAXED);
		n = write(fd, s->reply, strlen(s->reply));
		(void)n;
		close(fd);
	}
	return NULL;
}

static void server_start(struct canned_server *s, const char *reply)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };
	socklen_t len = sizeof(addr);

	memset(s, 0, sizeof(*s));
	s->reply = reply;
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	s->fd = socket(AF_INET, SOCK_STREAM, 0);
	CU_ASSERT_EQUAL_FATAL(bind(s->fd, (void *)&addr, len), 0);
	CU_ASSERT_EQUAL_FATAL(listen(s->fd, 16), 0);
	getsockname(s->fd, (void *)&addr, &len);
	g_snprintf(s->address, sizeof(s->address), "127.0.0.1:%u",
		   ntohs(addr.sin_port));
	pthread_create(&s->thread, NULL, run_server, s);
}

static void server_stop(struct canned_server *s)
{
	shutdown(s->fd, SHUT_RDWR);
	pthread_join(s->thread, NULL);
	close(s->fd);
}

static struct etcd *create_adapter(const char *const *endpoints, size_t count)
{
	struct etcd_options options = {
		.clock = clock_system(),
		.seed = 1,
		.endpoints = endpoints,
		.endpoint_count = count,
		.backoff_us = 1,
	};
	struct etcd *e;

	/* Injected failures log warnings; keep them out of the output. */
	event_set_level(EVENT_ERROR);
	CU_ASSERT_EQUAL_FATAL(etcd_create(&e, &options), 0);
	return e;
}

static int call_txn(struct store *s, struct store_reply *reply)
{
	struct store_compare compare = { .key = "np/current" };
	struct store_put put = { .key = "np/current", .value = "v", .len = 1 };
	struct store_txn txn = {
		.compares = &compare,
		.compare_count = 1,
		.puts = &put,
		.put_count = 1,
	};

	return store_txn_wait(s, &txn, reply);
}

/*
 * Guards against retrying a write whose outcome is unknown, accepting a
 * truncated or malformed reply, and retries that the call counter misses.
 */
static void test_replies(void)
{
	static const struct {
		const char *reply;
		int get_code;
		int txn_code;
		int txn_cause;
	} cases[] = {
		{ "", ERR_STORE_DOWN, ERR_STORE_UNKNOWN, ERR_STORE_DOWN },
		{ "HTTP/1.1 200 OK\r\n", ERR_STORE_REPLY_JSON,
		  ERR_STORE_UNKNOWN, ERR_STORE_REPLY_JSON },
		{ OK_HEAD "90\r\n\r\n" GET_BODY, ERR_STORE_REPLY_TRUNCATED,
		  ERR_STORE_UNKNOWN, ERR_STORE_REPLY_TRUNCATED },
		{ OK_HEAD "3\r\n\r\n{}}", ERR_STORE_REPLY_JSON,
		  ERR_STORE_UNKNOWN, ERR_STORE_REPLY_JSON },
		{ OK_HEAD "99999999\r\n\r\n", ERR_STORE_REPLY_TRUNCATED,
		  ERR_STORE_UNKNOWN, ERR_STORE_REPLY_TRUNCATED },
		{ "HTTP/1.1 503 Busy\r\nContent-Length: 11\r\n\r\n{\"code\":14}",
		  ERR_STORE_DOWN, ERR_STORE_UNKNOWN, ERR_STORE_DOWN },
		{ "HTTP/1.1 400 Bad\r\nContent-Length: 10\r\n\r\n{\"code\":3}",
		  ERR_STORE_REFUSED, ERR_STORE_REFUSED, 0 },
		{ "nonsense\r\n\r\n", ERR_STORE_PROTOCOL, ERR_STORE_UNKNOWN,
		  ERR_STORE_PROTOCOL },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct store_get get = { .key = "np/current" };
		struct store_reply reply = { 0 };
		struct canned_server server;
		const char *endpoint;
		uint64_t before;
		struct etcd *e;
		struct store s;

		server_start(&server, cases[i].reply);
		endpoint = server.address;
		e = create_adapter(&endpoint, 1);
		s = etcd_store(e);
		CU_ASSERT_EQUAL(call_txn(&s, &reply), -cases[i].txn_code);
		CU_ASSERT_EQUAL(reply.cause, -cases[i].txn_cause);
		CU_ASSERT_EQUAL(server.requests, 1);
		store_reply_clear(&reply);
		before = store_call_count(STORE_GET);
		CU_ASSERT_EQUAL(store_get_wait(&s, &get, &reply),
				-cases[i].get_code);
		CU_ASSERT_EQUAL(store_call_count(STORE_GET) - before,
				server.requests - 1);
		store_reply_clear(&reply);
		etcd_destroy(e);
		server_stop(&server);
	}
}

/* Guards against a store call that fails because one endpoint is down. */
static void test_failover(void)
{
	static const char reply[] = OK_HEAD "78\r\n\r\n" TXN_BODY;
	const char *endpoints[2];
	struct store_reply out = { 0 };
	struct canned_server lost;
	struct canned_server good;
	uint64_t before = store_call_count(STORE_TXN);
	struct etcd *e;
	struct store s;

	server_start(&lost, "");
	server_start(&good, reply);
	server_stop(&lost);
	endpoints[0] = lost.address;
	endpoints[1] = good.address;
	e = create_adapter(endpoints, 2);
	s = etcd_store(e);
	/* Nothing was sent to the stopped server, so the write is retried. */
	CU_ASSERT_EQUAL(call_txn(&s, &out), 0);
	CU_ASSERT(out.is_applied);
	CU_ASSERT_EQUAL(store_call_count(STORE_TXN), before + 1);
	store_reply_clear(&out);
	server_stop(&good);
	/* With both endpoints down the write fails and has no effect. */
	CU_ASSERT_EQUAL(call_txn(&s, &out), -ERR_STORE_DOWN);
	store_reply_clear(&out);
	etcd_destroy(e);
}

struct watch_log {
	int events;
	int end;
	char last[16];
};

static void handle_watch(void *ctx, struct store_reply *reply)
{
	struct watch_log *log = ctx;

	log->end = reply->code;
	log->events += (int)reply->count;
	if (reply->count)
		g_strlcpy(log->last, reply->entries[reply->count - 1].value,
			  sizeof(log->last));
}

/* Guards against a watch that drops a truncated message without an error. */
static void test_watch(void)
{
	static const char event[] =
		"{\"result\":{\"header\":{\"revision\":\"9\"},\"events\":"
		"[{\"kv\":{\"key\":\"bnAvY3VycmVudA==\",\"value\":\"dg==\","
		"\"mod_revision\":\"9\"}}]}}\n";
	static const struct {
		const char *tail;
		int code;
	} cases[] = {
		{ "", ERR_STORE_WATCH_END },
		{ "{\"result\":{", ERR_STORE_REPLY_TRUNCATED },
		{ "{}\n", ERR_STORE_REPLY_FIELD },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct store_watch watch = { .key = "np/current" };
		struct watch_log log = { 0 };
		struct canned_server server;
		const char *endpoint;
		struct etcd *e;
		struct store s;
		char *reply = g_strdup_printf(
			"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
			"{\"result\":{\"header\":{\"revision\":\"8\"},"
			"\"created\":true}}\n%s%s",
			event, cases[i].tail);

		server_start(&server, reply);
		endpoint = server.address;
		e = create_adapter(&endpoint, 1);
		s = etcd_store(e);
		store_watch(&s, &watch,
			    (struct store_callback){ handle_watch, &log });
		while (!log.end)
			store_run(&s, 1000000);
		CU_ASSERT_EQUAL(log.end, -cases[i].code);
		CU_ASSERT_EQUAL(log.events, 1);
		CU_ASSERT_STRING_EQUAL(log.last, "v");
		etcd_destroy(e);
		server_stop(&server);
		g_free(reply);
	}
}

/** Adapter connected to the stand-in store. */
struct session {
	struct store_standin *standin;
	struct etcd *etcd;
	struct store store;
	struct store_reply reply;
};

static void session_start(struct session *s)
{
	char address[32];
	const char *endpoint = address;

	memset(s, 0, sizeof(*s));
	s->standin = store_standin_create("127.0.0.1:0");
	CU_ASSERT_PTR_NOT_NULL_FATAL(s->standin);
	g_snprintf(address, sizeof(address), "127.0.0.1:%u",
		   store_standin_port(s->standin));
	s->etcd = create_adapter(&endpoint, 1);
	s->store = etcd_store(s->etcd);
}

static void session_stop(struct session *s)
{
	etcd_destroy(s->etcd);
	store_reply_clear(&s->reply);
}

static void control_standin(struct session *s, const char *field, int value)
{
	json_t *changes = json_pack("{s:i}", field, value);

	store_standin_control(s->standin, changes);
	json_decref(changes);
}

/* Moves the reply into the session; a cause of 1 marks that it arrived. */
static void handle_session_reply(void *ctx, struct store_reply *reply)
{
	struct session *s = ctx;

	store_reply_clear(&s->reply);
	s->reply = *reply;
	s->reply.cause = 1;
	memset(reply, 0, sizeof(*reply));
}

static int wait_reply(struct session *s)
{
	while (!s->reply.cause)
		store_run(&s->store, 1000000);
	s->reply.cause = 0;
	return s->reply.code;
}

static int put_key(struct session *s, const char *key, const char *value,
		   int64_t lease_id)
{
	struct store_put put = { key, value, strlen(value), lease_id };
	struct store_txn txn = { .puts = &put, .put_count = 1 };

	store_txn(&s->store, &txn,
		  (struct store_callback){ handle_session_reply, s });
	return wait_reply(s);
}

static size_t count_keys(struct session *s, const char *prefix)
{
	struct store_get get = { .key = prefix, .is_prefix = true };

	store_get(&s->store, &get,
		  (struct store_callback){ handle_session_reply, s });
	CU_ASSERT_EQUAL(wait_reply(s), 0);
	return s->reply.count;
}

/* Guards against a lease, or a key bound to it, that outlives its expiry. */
static void test_lease(void)
{
	struct store_callback done = { handle_session_reply, NULL };
	struct session s;
	int64_t lease;

	session_start(&s);
	done.ctx = &s;
	store_lease_grant(&s.store, 60, done);
	CU_ASSERT_EQUAL(wait_reply(&s), 0);
	lease = s.reply.lease_id;
	CU_ASSERT_EQUAL(s.reply.ttl_s, 60);
	CU_ASSERT_EQUAL(put_key(&s, "seat/a", "1", lease), 0);
	CU_ASSERT_EQUAL(put_key(&s, "seat/b", "2", 0), 0);
	CU_ASSERT_EQUAL(count_keys(&s, "seat/"), 2);
	store_lease_keepalive(&s.store, lease, done);
	CU_ASSERT_EQUAL(wait_reply(&s), 0);
	control_standin(&s, "lapse_lease", (int)lease);
	CU_ASSERT_EQUAL(count_keys(&s, "seat/"), 1);
	store_lease_keepalive(&s.store, lease, done);
	CU_ASSERT_EQUAL(wait_reply(&s), -ERR_STORE_LEASE_GONE);
	store_lease_revoke(&s.store, lease, done);
	CU_ASSERT_EQUAL(wait_reply(&s), -ERR_STORE_LEASE_GONE);
	session_stop(&s);
}

/* Guards against losing the changes between a read and the next watch. */
static void test_watch_revision(void)
{
	struct store_watch watch = { .key = "k" };
	struct watch_log log = { 0 };
	struct session s;

	session_start(&s);
	CU_ASSERT_EQUAL(put_key(&s, "k", "1", 0), 0);
	watch.from_revision = s.reply.revision + 1;
	CU_ASSERT_EQUAL(put_key(&s, "k", "2", 0), 0);
	CU_ASSERT_EQUAL(put_key(&s, "k", "3", 0), 0);
	store_watch(&s.store, &watch,
		    (struct store_callback){ handle_watch, &log });
	while (!log.end)
		store_run(&s.store, 1000000);
	CU_ASSERT_EQUAL(log.end, -ERR_STORE_WATCH_END);
	CU_ASSERT_EQUAL(log.events, 2);
	CU_ASSERT_STRING_EQUAL(log.last, "3");
	session_stop(&s);
}

/* Guards against broken fault injection in the stand-in store. */
static void test_standin_faults(void)
{
	struct store_get get = { .key = "k" };
	struct session s;

	session_start(&s);
	CU_ASSERT_EQUAL(put_key(&s, "k", "1", 0), 0);
	control_standin(&s, "lose_reply_of_write", 1);
	CU_ASSERT_EQUAL(put_key(&s, "k", "2", 0), -ERR_STORE_UNKNOWN);
	CU_ASSERT_EQUAL(store_get_wait(&s.store, &get, &s.reply), 0);
	CU_ASSERT_STRING_EQUAL(s.reply.entries[0].value, "2");
	store_reply_clear(&s.reply);
	control_standin(&s, "stale_by", 1);
	CU_ASSERT_EQUAL(store_get_wait(&s.store, &get, &s.reply), 0);
	CU_ASSERT_STRING_EQUAL(s.reply.entries[0].value, "1");
	control_standin(&s, "outage_after_writes", 1);
	CU_ASSERT_EQUAL(put_key(&s, "k", "3", 0), 0);
	CU_ASSERT_EQUAL(put_key(&s, "k", "4", 0), -ERR_STORE_UNKNOWN);
	session_stop(&s);
}

CU_TestInfo store_etcd_tests[] = {
	{ "replies", test_replies },
	{ "failover", test_failover },
	{ "watch", test_watch },
	{ "lease", test_lease },
	{ "watch revision", test_watch_revision },
	{ "stand-in faults", test_standin_faults },
	CU_TEST_INFO_NULL,
};
