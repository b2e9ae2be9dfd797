#include "nutmegpickd/settings.h"

#include <arpa/inet.h>
#include <glib.h>
#include <inttypes.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/duration.h"
#include "common/errors.h"
#include "fleet/frame.h"
#include "objects/fault.h"
#include "objects/tree.h"

enum setting_type {
	SETTING_STRING,
	SETTING_ADDRESS,
	SETTING_ADDRESSES,
	SETTING_DOMAINS,
	SETTING_DURATION,
	SETTING_LEVEL,
	SETTING_SEAT,
	SETTING_CAPACITY,
	SETTING_COUNT,
	/** true or false; the default if it is empty. */
	SETTING_FLAG,
	/** Number of ms; the default if it is empty. */
	SETTING_MS,
	SETTING_TRIAGE,
};

struct setting_spec {
	const char *section;
	const char *name;
	enum setting_type type;
	size_t offset;
	/** Default; NULL if there is none. */
	const char *fallback;
	bool is_required;
	/** Bounds of a duration or a number of ms. */
	int64_t min_us;
	int64_t max_us;
};

static const struct setting_spec specs[] = {
	{ "host", "id", SETTING_STRING, offsetof(struct settings, host_id),
	  NULL, true },
	{ "host", "domain", SETTING_STRING, offsetof(struct settings, domain),
	  NULL, true },
	{ "host", "domains", SETTING_DOMAINS,
	  offsetof(struct settings, domains), NULL, false },
	{ "host", "cores", SETTING_CAPACITY,
	  offsetof(struct settings, capacity), "1", false },
	{ "host", "seat", SETTING_SEAT, offsetof(struct settings, seat), "none",
	  false },
	{ "listen", "http", SETTING_ADDRESS,
	  offsetof(struct settings, listen_http), NULL, true },
	{ "listen", "peer", SETTING_ADDRESS,
	  offsetof(struct settings, listen_peer), NULL, false },
	{ "listen", "ready", SETTING_ADDRESS,
	  offsetof(struct settings, listen_ready), NULL, false },
	{ "listen", "metrics", SETTING_ADDRESS,
	  offsetof(struct settings, listen_metrics), NULL, false },
	{ "registry", "store", SETTING_ADDRESS,
	  offsetof(struct settings, registry), NULL, false },
	{ "peers", "seeds", SETTING_ADDRESSES,
	  offsetof(struct settings, peer_seeds), NULL, false },
	{ "platform", "host_list", SETTING_ADDRESS,
	  offsetof(struct settings, host_list), NULL, false },
	{ "objects", "path", SETTING_STRING,
	  offsetof(struct settings, objects_path), NULL, false },
	{ "store", "endpoints", SETTING_ADDRESSES,
	  offsetof(struct settings, store_endpoints), NULL, false },
	{ "budget", "extra_calls", SETTING_COUNT,
	  offsetof(struct settings, extra_calls), "0", false },
	{ "organisations", "revoke_strict", SETTING_FLAG,
	  offsetof(struct settings, revoke_strict), "false", false },
	{ "organisations", "revoke_ms", SETTING_MS,
	  offsetof(struct settings, revoke_after_us), "5000", false, US_PER_MS,
	  3600 * US_PER_S },
	{ "triage", "mode", SETTING_TRIAGE, offsetof(struct settings, triage),
	  "organisations", false },
	{ "log", "level", SETTING_LEVEL, offsetof(struct settings, log_level),
	  "info", false },
	{ "lifecycle", "drain_delay", SETTING_DURATION,
	  offsetof(struct settings, drain_delay_us), "3s", false, 0,
	  3600 * US_PER_S },
	{ "lifecycle", "stop_timeout", SETTING_DURATION,
	  offsetof(struct settings, stop_timeout_us), "30s", false, 0,
	  3600 * US_PER_S },
	{ "lifecycle", "grace", SETTING_DURATION,
	  offsetof(struct settings, grace_us), "0s", false, 0,
	  3600 * US_PER_S },
	{ "reports", "interval", SETTING_DURATION,
	  offsetof(struct settings, report_interval_us), "1s", false,
	  10 * US_PER_MS, 3600 * US_PER_S },
};

static const char *const level_names[] = { "debug", "info", "warning",
					   "error" };

struct reader {
	const char *file;
	struct fault_list *faults;
};

static void add_fault(struct reader *r, int line, const char *section,
		      const char *name, const char *message)
{
	char *field =
		g_strdup_printf("%s%s%s", section, *name ? "." : "", name);

	fault_add(r->faults, r->file, line, ERR_SETTINGS, field, "%s", message);
	g_free(field);
}

static bool is_address(const char *text)
{
	const char *colon = strrchr(text, ':');
	struct in_addr addr;
	char *ip;
	char *end;
	long port;
	bool ok;

	if (!colon)
		return false;
	ip = g_strndup(text, (gsize)(colon - text));
	port = strtol(colon + 1, &end, 10);
	ok = inet_pton(AF_INET, ip, &addr) == 1 && end != colon + 1 && !*end &&
	     port >= 0 && port <= 65535;
	g_free(ip);
	return ok;
}

static const char *const triage_names[] = {
	[TRIAGE_WITH_ORGANISATIONS] = "organisations",
	[TRIAGE_ALWAYS] = "always",
	[TRIAGE_NEVER] = "never",
};

static bool parse_triage(const char *text, enum triage_mode *out)
{
	for (size_t i = 0; i < G_N_ELEMENTS(triage_names); i++) {
		if (strcmp(text, triage_names[i]))
			continue;
		*out = (enum triage_mode)i;
		return true;
	}
	return false;
}

static bool parse_level(const char *text, enum event_level *out)
{
	for (size_t i = 0; i < G_N_ELEMENTS(level_names); i++) {
		if (strcmp(text, level_names[i]))
			continue;
		*out = (enum event_level)i;
		return true;
	}
	return false;
}

static bool parse_seat(const char *text, int32_t *out)
{
	guint64 number;

	*out = NO_SEAT;
	if (!strcmp(text, "none"))
		return true;
	if (!g_ascii_string_to_unsigned(text, 10, 0, MAX_SEATS - 1, &number,
					NULL))
		return false;
	*out = (int32_t)number;
	return true;
}

static bool parse_capacity(const char *text, uint32_t *out)
{
	char *end;
	double cores = g_ascii_strtod(text, &end);

	if (end == text || *end || !(cores > 0) || cores > 1024)
		return false;
	*out = (uint32_t)(cores * 1000);
	return true;
}

static bool parse_flag(const char *text, bool *out)
{
	*out = !strcmp(text, "true");
	return *out || !strcmp(text, "false");
}

/* Parses a number of ms, which may have a fraction. */
static bool parse_ms(const char *text, int64_t *out_us)
{
	char *end;
	double ms = g_ascii_strtod(text, &end);

	if (end == text || *end || !(ms >= 0 && ms < 1e12))
		return false;
	*out_us = (int64_t)(ms * US_PER_MS);
	return true;
}

static const char *parse_value(const struct setting_spec *s, const char *text,
			       void *out)
{
	guint64 number;

	switch (s->type) {
	case SETTING_ADDRESS:
		if (!is_address(text))
			return "must be an IP number and a port";
		*(char **)out = strdup(text);
		return NULL;
	case SETTING_ADDRESSES:
	case SETTING_DOMAINS:
		return NULL;
	case SETTING_STRING:
		if (!*text || strlen(text) > 255)
			return "must have 1 to 255 bytes";
		*(char **)out = strdup(text);
		return NULL;
	case SETTING_DURATION:
		if (duration_parse(text, out))
			return "must be a duration with a unit";
		if (*(int64_t *)out < s->min_us || *(int64_t *)out > s->max_us)
			return "is out of range (docs/operating.md)";
		return NULL;
	case SETTING_LEVEL:
		if (!parse_level(text, out))
			return "must be debug, info, warning or error";
		return NULL;
	case SETTING_TRIAGE:
		if (!parse_triage(text, out))
			return "must be organisations, always or never";
		return NULL;
	case SETTING_SEAT:
		if (!parse_seat(text, out))
			return "must be \"none\" or a number below 65536";
		return NULL;
	case SETTING_COUNT:
		if (!g_ascii_string_to_unsigned(text, 10, 0, UINT32_MAX,
						&number, NULL))
			return "must be a whole number";
		*(uint32_t *)out = (uint32_t)number;
		return NULL;
	case SETTING_CAPACITY:
		if (!parse_capacity(text, out))
			return "must be a number of cores up to 1024";
		return NULL;
	case SETTING_FLAG:
		return parse_flag(text, out) ? NULL : "must be true or false";
	case SETTING_MS:
		if (!parse_ms(text, out))
			return "must be a number of ms";
		if (*(int64_t *)out < s->min_us || *(int64_t *)out > s->max_us)
			return "is out of range (docs/operating.md)";
		return NULL;
	}
	return NULL;
}

/* Returns whether the text has the form "domain=region". */
static bool is_domain_region(const char *text)
{
	const char *sign = strchr(text, '=');

	return sign && sign != text && sign[1];
}

static void read_list(struct reader *r, const struct tree_node *n,
		      const struct setting_spec *s, char ***out)
{
	bool is_addresses = s->type == SETTING_ADDRESSES;
	GPtrArray *list = g_ptr_array_new();

	for (const struct tree_node *i = n->first_child; i; i = i->next) {
		if (i->type == TREE_STRING &&
		    (is_addresses ? is_address(i->text)
				  : is_domain_region(i->text)))
			g_ptr_array_add(list, g_strdup(i->text));
		else
			add_fault(r, i->line, s->section, s->name,
				  is_addresses ? "must be IP numbers and ports"
					       : "must be domain=region");
	}
	if (n->type != TREE_ARRAY || !n->first_child)
		add_fault(r, n->line, s->section, s->name,
			  is_addresses ? "must be an array of addresses"
				       : "must be an array of domains");
	g_ptr_array_add(list, NULL);
	*out = (char **)g_ptr_array_free(list, FALSE);
}

/* The platform's template leaves these empty where it has no value. */
static bool may_be_empty(enum setting_type type)
{
	return type == SETTING_FLAG || type == SETTING_MS;
}

static void read_setting(struct reader *r, const struct tree_node *root,
			 const struct setting_spec *s, struct settings *out)
{
	const struct tree_node *table = tree_find(root, s->section);
	const struct tree_node *n = NULL;
	const char *text = s->fallback;
	const char *message;

	if (table && table->type == TREE_TABLE)
		n = tree_find(table, s->name);
	if (s->type == SETTING_ADDRESSES || s->type == SETTING_DOMAINS) {
		if (n)
			read_list(r, n, s, (char ***)((char *)out + s->offset));
		return;
	}
	if (n && n->type != TREE_STRING) {
		add_fault(r, n->line, s->section, s->name, "must be a string");
		return;
	}
	if (n && (*n->text || !may_be_empty(s->type)))
		text = n->text;
	if (!text) {
		if (s->is_required)
			add_fault(r, 0, s->section, s->name, "is required");
		return;
	}
	message = parse_value(s, text, (char *)out + s->offset);
	if (message)
		add_fault(r, n ? n->line : 0, s->section, s->name, message);
}

static bool is_known(const char *section, const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(specs); i++) {
		if (!strcmp(specs[i].section, section) &&
		    (!name || !strcmp(specs[i].name, name)))
			return true;
	}
	return false;
}

static void check_unknown(struct reader *r, const struct tree_node *root)
{
	for (const struct tree_node *t = root->first_child; t; t = t->next) {
		if (!is_known(t->key, NULL)) {
			add_fault(r, t->line, t->key, "", "unknown section");
			continue;
		}
		if (t->type != TREE_TABLE) {
			add_fault(r, t->line, t->key, "", "must be a table");
			continue;
		}
		for (const struct tree_node *n = t->first_child; n;
		     n = n->next) {
			if (!is_known(t->key, n->key))
				add_fault(r, n->line, t->key, n->key,
					  "unknown setting");
		}
	}
}

/*
 * Shares of the grace time: GRACE_DRAIN bounds drain_delay, and GRACE_USED
 * bounds drain_delay and stop_timeout together. With a grace time of 6 s,
 * drain_delay covers two readiness checks at an interval of 1 s and a
 * connection that is being opened. The rest of the grace time is needed for the
 * exit itself.
 */
#define GRACE_DRAIN 0.37
#define GRACE_USED 0.84

static void fit_stop_times(struct settings *s)
{
	int64_t used = (int64_t)(GRACE_USED * (double)s->grace_us);

	if (!s->grace_us)
		return;
	s->drain_delay_us = MIN(s->drain_delay_us,
				(int64_t)(GRACE_DRAIN * (double)s->grace_us));
	s->stop_timeout_us = MIN(s->stop_timeout_us, used - s->drain_delay_us);
}

/*
 * Longest time for which callers may reuse an idle connection, and what a stop
 * needs beyond it: for a request on its way and for its answer.
 */
#define KEEP_ALIVE_MAX_US (5 * US_PER_S)
#define KEEP_ALIVE_MARGIN_US (1 * US_PER_S)

int64_t settings_keep_alive(const struct settings *s)
{
	return CLAMP(s->drain_delay_us + s->stop_timeout_us -
			     KEEP_ALIVE_MARGIN_US,
		     0, KEEP_ALIVE_MAX_US);
}

const char *settings_fixed_difference(const struct settings *a,
				      const struct settings *b)
{
	for (size_t i = 0; i < G_N_ELEMENTS(specs); i++) {
		const char *x = (const char *)a + specs[i].offset;
		const char *y = (const char *)b + specs[i].offset;

		if ((specs[i].type == SETTING_STRING ||
		     specs[i].type == SETTING_ADDRESS) &&
		    g_strcmp0(*(char *const *)x, *(char *const *)y))
			return specs[i].name;
	}
	return NULL;
}

int settings_load(const char *path, struct settings *out,
		  struct fault_list *faults)
{
	struct reader r = { .file = path, .faults = faults };
	struct tree_node *root;
	GError *error = NULL;
	char message[256];
	char *text;
	int line = 0;
	gsize len;

	memset(out, 0, sizeof(*out));
	if (!g_file_get_contents(path, &text, &len, &error)) {
		add_fault(&r, 0, "file", "", error->message);
		g_error_free(error);
		return -ERR_SETTINGS;
	}
	if (tree_parse_toml(text, len, &root, &line, message,
			    sizeof(message))) {
		add_fault(&r, line, "file", "", message);
		g_free(text);
		return -ERR_SETTINGS;
	}
	g_free(text);
	check_unknown(&r, root);
	for (size_t i = 0; i < G_N_ELEMENTS(specs); i++)
		read_setting(&r, root, &specs[i], out);
	if (out->peer_seeds && !out->listen_peer)
		add_fault(&r, 0, "peers", "seeds", "needs listen.peer");
	if (out->objects_path && out->store_endpoints)
		add_fault(&r, 0, "objects", "path",
			  "contradicts store.endpoints");
	if (out->registry && (out->objects_path || out->store_endpoints))
		add_fault(&r, 0, "registry", "store",
			  "contradicts objects.path and store.endpoints");
	fit_stop_times(out);
	tree_destroy(root);
	return faults->count ? -ERR_SETTINGS : 0;
}

static void print_list(char *const *addresses)
{
	printf("[");
	for (size_t i = 0; addresses && addresses[i]; i++)
		printf("%s\"%s\"", i ? ", " : "", addresses[i]);
	printf("]\n");
}

void settings_print(const struct settings *s)
{
	for (size_t i = 0; i < G_N_ELEMENTS(specs); i++) {
		const void *field = (const char *)s + specs[i].offset;
		const char *text;

		printf("%s.%s = ", specs[i].section, specs[i].name);
		switch (specs[i].type) {
		case SETTING_STRING:
		case SETTING_ADDRESS:
			text = *(char *const *)field;
			printf("\"%s\"\n", text ? text : "");
			break;
		case SETTING_ADDRESSES:
		case SETTING_DOMAINS:
			print_list(*(char **const *)field);
			break;
		case SETTING_DURATION:
			printf("\"%" PRId64 "us\"\n", *(const int64_t *)field);
			break;
		case SETTING_SEAT:
			printf("\"%" PRId32 "\"\n", *(const int32_t *)field);
			break;
		case SETTING_COUNT:
			printf("\"%" PRIu32 "\"\n", *(const uint32_t *)field);
			break;
		case SETTING_CAPACITY:
			printf("\"%g\"\n", *(const uint32_t *)field / 1000.0);
			break;
		case SETTING_FLAG:
			printf("\"%s\"\n",
			       *(const bool *)field ? "true" : "false");
			break;
		case SETTING_MS:
			printf("\"%g\"\n",
			       (double)*(const int64_t *)field / US_PER_MS);
			break;
		case SETTING_TRIAGE:
			printf("\"%s\"\n",
			       triage_names[*(const enum triage_mode *)field]);
			break;
		case SETTING_LEVEL:
			printf("\"%s\"\n",
			       level_names[*(const enum event_level *)field]);
			break;
		}
	}
}

void settings_clear(struct settings *s)
{
	free(s->host_id);
	free(s->domain);
	free(s->listen_http);
	free(s->listen_ready);
	free(s->listen_metrics);
	free(s->registry);
	free(s->objects_path);
	free(s->listen_peer);
	free(s->host_list);
	g_strfreev(s->domains);
	g_strfreev(s->peer_seeds);
	g_strfreev(s->store_endpoints);
	memset(s, 0, sizeof(*s));
}
