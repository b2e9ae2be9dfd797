/*
 * Runs hosts with the router's code over leaves under a virtual clock, at one
 * load and with one triage.mode. Prints what callers get as a line of JSON.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "common/errors.h"
#include "unit/fake_load.h"

struct load_case {
	const char *name;
	uint32_t hosts;
	struct load_pattern pattern;
};

/* Loads are multiples of the capacity; 0 leaves the usual load. */
static const struct load_case cases[] = {
	{ "plain", 3, { 0 } },
	{ "organisations",
	  3,
	  { .organisation = 1, .skew = 1.2, .unknown_keys = 0.01 } },
	{ "regions",
	  3,
	  { .organisation = 1, .skew = 1.2, .is_regional = true } },
	/* The exchange of tokens between hosts is not part of the runs. */
	{ "quotas", 1, { .organisation = 1, .skew = 1.2, .quota = 1.6 } },
	{ "excess", 3, { .organisation = 7.5, .skew = 1.2 } },
	{ "excess-quota",
	  1,
	  { .organisation = 7.5, .skew = 1.2, .quota = 1.6 } },
};

static const char *const modes[] = {
	[LOAD_MODE_ALWAYS] = "always",
	[LOAD_MODE_ORGANISATIONS] = "organisations",
	[LOAD_MODE_NEVER] = "never",
};

static const char *const routes[] = { "large", "small" };

struct report {
	json_t *routes;
	json_t *organisations;
	bool has_organisations;
};

static void add_to(json_t *group, const char *name, double value)
{
	double sum = json_number_value(json_object_get(group, name));

	json_object_set_new(group, name, json_real(sum + value));
}

static void count_outcome(json_t *groups, const char *group,
			  const struct load_outcome *o)
{
	json_t *counts = json_object_get(groups, group);
	char cause[64];

	if (!counts) {
		counts = json_object();
		json_object_set_new(groups, group, counts);
	}
	g_snprintf(cause, sizeof(cause), "%u %s", o->status,
		   error_name(o->code));
	add_to(counts, "callers", 1);
	add_to(counts, "worth", o->worth);
	if (o->status == 200)
		add_to(counts, o->is_in_goal ? "in_goal" : "late", 1);
	else
		add_to(counts, cause, 1);
}

static void handle_outcome(void *ctx, const struct load_outcome *o)
{
	const struct report *r = ctx;
	char name[16];

	count_outcome(r->routes, routes[o->route], o);
	g_snprintf(name, sizeof(name), "o%u", o->organisation);
	if (r->has_organisations)
		count_outcome(r->organisations, name, o);
}

static int run(const struct load_case *c, enum load_mode mode, double load,
	       uint64_t seed)
{
	struct report r = { json_object(), json_object(),
			    c->pattern.organisation > 0 };
	struct load_pattern p = c->pattern;
	struct load_figures f;
	json_t *out;

	p.name = c->name;
	p.mode = mode;
	p.large = p.small = load > 0 ? load / load_usual_share() : 1;
	p.work = p.large_work = 1;
	p.handle_outcome = handle_outcome;
	p.ctx = &r;
	load_run(&p, c->hosts, seed, &f);
	out = json_pack("{s:s, s:s, s:f, s:I, s:i, s:i, s:f, s:f, s:f, s:i, "
			"s:i, s:o, s:o}",
			"case", c->name, "mode", modes[mode], "load", load,
			"seed", (json_int_t)seed, "seconds", LOAD_SECONDS,
			"callers", f.offered, "worth", f.worth, "bound",
			f.oracle, "wasted",
			f.work_us > 0 ? f.wasted_us / f.work_us : 0,
			"refused_held", f.refused_held, "outside", f.outside,
			"routes", r.routes, "organisations", r.organisations);
	json_dumpf(out, stdout, JSON_COMPACT);
	putchar('\n');
	json_decref(out);
	return EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	for (size_t i = 0; argc == 5 && i < G_N_ELEMENTS(cases); i++) {
		if (strcmp(argv[1], cases[i].name) != 0)
			continue;
		for (size_t k = 0; k < G_N_ELEMENTS(modes); k++) {
			if (!strcmp(argv[2], modes[k]))
				return run(&cases[i], (enum load_mode)k,
					   g_ascii_strtod(argv[3], NULL),
					   g_ascii_strtoull(argv[4], NULL, 10));
		}
	}
	fprintf(stderr, "Usage: triage-load CASE MODE LOAD SEED\n");
	return EXIT_FAILURE;
}
