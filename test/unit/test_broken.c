#include "suites.h"

#include <glib.h>
#include <glib/gstdio.h>
#include <stdio.h>
#include <stdlib.h>
#include <inttypes.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/errors.h"
#include "net/upstream_reply.h"
#include "nutmegpickd/settings.h"
#include "objects/objects.h"

/*
 * Line of test/broken/sets.tsv or settings.tsv. Its fields are the expected
 * code, the expected line, a text of the base file and its replacement.
 */
struct broken_case {
	int code;
	/* Line of the fault; 0 for any. */
	int line;
	/* Base file with the text replaced. */
	char *text;
};

static char *read_file(const char *name)
{
	char *path = g_build_filename("test", "broken", name, NULL);
	char *text = NULL;

	CU_ASSERT_FATAL(g_file_get_contents(path, &text, NULL, NULL));
	g_free(path);
	return text;
}

static char *replace_text(const char *base, const char *old, const char *new)
{
	const char *at = strstr(base, old);

	CU_ASSERT_PTR_NOT_NULL_FATAL(at);
	return g_strdup_printf("%.*s%s%s", (int)(at - base), base, new,
			       at + strlen(old));
}

static void parse_case(const char *line, const char *base,
		       struct broken_case *out)
{
	char **fields = g_strsplit(line, "\t", 4);
	char *old = g_strcompress(fields[2]);
	char *new = g_strcompress(fields[3]);

	out->code = (int)strtol(fields[0] + 1, NULL, 10);
	out->line = (int)strtol(fields[1], NULL, 10);
	out->text = replace_text(base, old, new);
	g_free(old);
	g_free(new);
	g_strfreev(fields);
}

static bool has_expected_fault(const struct broken_case *c,
			       const struct fault_list *faults)
{
	for (size_t i = 0; i < faults->count; i++) {
		const struct object_fault *f = &faults->items[i];

		if (f->code == c->code && (!c->line || f->line == c->line))
			return true;
	}
	return false;
}

static void check_faults(const char *name, int number,
			 const struct broken_case *c, struct fault_list *faults)
{
	bool ok = has_expected_fault(c, faults);

	for (size_t i = 0; i < faults->count; i++) {
		const struct object_fault *f = &faults->items[i];

		ok = ok && *f->field && *f->message;
		/* Faults of a missing object or a setting may lack a line. */
		ok = ok &&
		     (f->line || f->code == ERR_OBJ_MISSING ||
		      f->code == ERR_OBJ_EMPTY || f->code == ERR_SETTINGS);
	}
	if (!ok)
		fprintf(stderr, "%s:%d: no E%d at line %d\n", name, number,
			c->code, c->line);
	CU_ASSERT(ok);
	fault_list_clear(faults);
}

static int load_set(const char *text, struct fault_list *faults)
{
	struct object_set *set = NULL;
	int ret = object_set_parse(text, "set.toml", &set, faults);

	object_set_unref(set);
	return ret;
}

static int read_settings(const char *text, struct settings *out,
			 struct fault_list *faults)
{
	char *path = g_strdup("/tmp/nutmegpick-settings-XXXXXX");
	int fd = g_mkstemp(path);
	int ret;

	CU_ASSERT_FATAL(g_file_set_contents(path, text, -1, NULL));
	ret = settings_load(path, out, faults);
	close(fd);
	g_unlink(path);
	g_free(path);
	return ret;
}

static int load_settings(const char *text, struct fault_list *faults)
{
	struct settings settings;
	int ret = read_settings(text, &settings, faults);

	settings_clear(&settings);
	return ret;
}

static void run_cases(const char *name, const char *base_name,
		      int (*load)(const char *text, struct fault_list *faults))
{
	char *base = read_file(base_name);
	char *text = read_file(name);
	char **lines = g_strsplit(g_strchomp(text), "\n", -1);
	struct fault_list faults = { 0 };

	CU_ASSERT_EQUAL(load(base, &faults), 0);
	fault_list_clear(&faults);
	for (int i = 0; lines[i]; i++) {
		struct broken_case c;

		parse_case(lines[i], base, &c);
		CU_ASSERT(load(c.text, &faults) < 0);
		check_faults(name, i + 1, &c, &faults);
		g_free(c.text);
	}
	g_strfreev(lines);
	g_free(text);
	g_free(base);
}

/* Guards against accepting an invalid set, and faults without a position. */
static void test_sets(void)
{
	run_cases("sets.tsv", "base-set.toml", load_set);
}

/*
 * Guards against a host that does not start because the platform has no value
 * for a placeholder of its settings.
 */
static void test_empty_settings(void)
{
	static const char *const head = "[host]\nid = \"h\"\ndomain = \"d\"\n"
					"[listen]\nhttp = \"127.0.0.1:1\"\n"
					"[organisations]\n";
	static const struct {
		const char *text;
		bool is_strict;
		int64_t after_us;
	} cases[] = {
		{ "revoke_strict = \"\"\nrevoke_ms = \"\"\n", false,
		  5 * US_PER_S },
		{ "revoke_strict = \"true\"\nrevoke_ms = \"2500\"\n", true,
		  2500 * US_PER_MS },
		{ "revoke_strict = \"false\"\nrevoke_ms = \"5000.0\"\n", false,
		  5 * US_PER_S },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fault_list faults = { 0 };
		struct settings s;
		char *text = g_strconcat(head, cases[i].text, NULL);

		CU_ASSERT_EQUAL(read_settings(text, &s, &faults), 0);
		CU_ASSERT_EQUAL(s.revoke_strict, cases[i].is_strict);
		CU_ASSERT_EQUAL(s.revoke_after_us, cases[i].after_us);
		settings_clear(&s);
		fault_list_clear(&faults);
		g_free(text);
	}
}

/* Guards against a stop that takes longer than the platform's grace time. */
static void test_grace(void)
{
	static const int64_t graces_ms[] = { 1000, 2000, 4000, 6000, 20000 };

	for (size_t i = 0; i < G_N_ELEMENTS(graces_ms); i++) {
		struct fault_list faults = { 0 };
		struct settings s;
		char *text = g_strdup_printf(
			"[host]\nid = \"h\"\ndomain = \"d\"\n[listen]\n"
			"http = \"127.0.0.1:1\"\n[lifecycle]\n"
			"drain_delay = \"2200ms\"\ngrace = \"%" PRId64 "ms\"\n",
			graces_ms[i]);
		int64_t grace_us = graces_ms[i] * US_PER_MS;

		CU_ASSERT_EQUAL(read_settings(text, &s, &faults), 0);
		CU_ASSERT_TRUE(s.drain_delay_us + s.stop_timeout_us <
			       grace_us * 9 / 10);
		CU_ASSERT_TRUE(s.stop_timeout_us >= grace_us / 4);
		settings_clear(&s);
		fault_list_clear(&faults);
		g_free(text);
	}
}

/* Guards against a changed address that a reload reports as in force. */
static void test_fixed_settings(void)
{
	struct settings a = { .host_id = "h",
			      .listen_http = "127.0.0.1:1",
			      .extra_calls = 5 };
	struct settings b = a;

	b.extra_calls = 6;
	CU_ASSERT_PTR_NULL(settings_fixed_difference(&a, &b));
	b.listen_http = "127.0.0.1:2";
	CU_ASSERT_STRING_EQUAL(settings_fixed_difference(&a, &b), "http");
}

/* Guards against ignoring an invalid setting. */
static void test_settings(void)
{
	run_cases("settings.tsv", "base-settings.toml", load_settings);
}

/* Guards against a crash on a stored set of the wrong form, or accepting it. */
static void test_documents(void)
{
	static const char *const documents[] = {
		"",
		"[]",
		"[1]",
		"1",
		"null",
		"{",
		"{\"a\":{}}",
		"{\"service\":[]}",
		"{}",
		"\"x\"",
		"{\"service\":{\"s\":[]}}",
		"{\"fleet\":{\"f\":{\"domains\":[[]]}}}",
	};
	struct fault_list faults = { 0 };
	struct object_set *set;

	for (size_t i = 0; i < G_N_ELEMENTS(documents); i++) {
		CU_ASSERT(object_set_decode(documents[i], strlen(documents[i]),
					    &set, &faults) < 0);
		CU_ASSERT(faults.count > 0);
		fault_list_clear(&faults);
	}
}

/* Guards against using hits of a malformed reply or of another call's. */
static void test_replies(void)
{
	char *text = read_file("replies.tsv");
	char **lines = g_strsplit(g_strchomp(text), "\n", -1);

	for (int i = 0; lines[i]; i++) {
		bool is_good = g_str_has_prefix(lines[i], "ok\t");
		const char *body = strchr(lines[i], '\t') + 1;
		struct upstream_reply *reply = calloc(1, sizeof(*reply));
		struct upstream_transfer t = {
			.request_id = "r1",
			.shard = "s",
			.snapshot = 3,
			.is_connected = true,
			.bytes_sent = 1,
			.status = 200,
			.body = body,
			.body_len = strlen(body),
		};

		reply->call_id = 7;
		upstream_classify_transfer(&t, reply);
		if ((reply->result.status == CALL_OK) != is_good)
			fprintf(stderr, "replies.tsv:%d: %.60s\n", i + 1, body);
		CU_ASSERT_EQUAL(reply->result.status,
				is_good ? CALL_OK : CALL_BAD_REPLY);
		CU_ASSERT_EQUAL(reply->body != NULL, is_good);
		upstream_reply_free(reply);
	}
	g_strfreev(lines);
	g_free(text);
}

CU_TestInfo broken_tests[] = {
	{ "sets", test_sets },
	{ "settings", test_settings },
	{ "empty settings", test_empty_settings },
	{ "grace", test_grace },
	{ "fixed settings", test_fixed_settings },
	{ "documents", test_documents },
	{ "replies", test_replies },
	CU_TEST_INFO_NULL,
};
