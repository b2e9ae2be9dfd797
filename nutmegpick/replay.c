#include "nutmegpick/commands.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/errors.h"
#include "common/events.h"
#include "nutmegpick/trace.h"

struct check_state {
	const char *path;
	const struct replay_trace *trace;
	struct replay_counts counts;
	int failures;
};

static void report_mismatch(struct check_state *s, int line, const char *what,
			    double stated, double seen)
{
	printf("%s:%d: %s: stated %g, seen %g\n", s->path, line, what, stated,
	       seen);
	s->failures++;
}

static void check_at_most(struct check_state *s, int line, const json_t *expect,
			  const char *name, double seen)
{
	const json_t *limit = json_object_get(expect, name);

	if (limit && !(seen <= json_number_value(limit)))
		report_mismatch(s, line, name, json_number_value(limit), seen);
}

static void check_at_least(struct check_state *s, int line,
			   const json_t *expect, const char *name, double seen)
{
	const json_t *limit = json_object_get(expect, name);

	if (limit && !(seen >= json_number_value(limit)))
		report_mismatch(s, line, name, json_number_value(limit), seen);
}

/* Checks the expected outcomes of the requests of one trace line. */
static void check_requests(struct check_state *s, int line,
			   const json_t *expect)
{
	const GArray *requests = s->trace->requests;
	double total = 0, completed = 0, coverage = 100, latency_ms = 0;
	double needed = 0, extra = 0;
	uint32_t runs = 0;

	for (guint i = 0; i < requests->len; i++) {
		const struct replay_request *r =
			&g_array_index(requests, struct replay_request, i);

		if (r->line != line)
			continue;
		total++;
		needed += r->needed_calls;
		extra += r->extra_calls;
		runs = MAX(runs, r->runs);
		if (r->code)
			continue;
		completed++;
		coverage = MIN(coverage, 100 * r->coverage);
		latency_ms = MAX(latency_ms, (double)r->latency_us / US_PER_MS);
	}
	check_at_least(s, line, expect, "completed_percent",
		       100 * completed / total);
	check_at_most(s, line, expect, "completed_percent_max",
		      100 * completed / total);
	check_at_least(s, line, expect, "coverage", coverage);
	check_at_most(s, line, expect, "latency_ms", latency_ms);
	check_at_most(s, line, expect, "runs", runs);
	check_at_most(s, line, expect, "extra_percent",
		      100 * extra / MAX(needed, 1));
}

/* Checks the expected outcomes of the whole run. */
static void check_run(struct check_state *s, int line, const json_t *expect)
{
	check_at_most(s, line, expect, "slot_peak", s->counts.slot_peak);
	check_at_most(s, line, expect, "connection_peak",
		      s->counts.connection_peak);
#define COUNT(name) check_at_most(s, line, expect, #name, s->counts.name);
#include "bench/counts.def"
#undef COUNT
}

static error_t handle_option(int key, char *arg, struct argp_state *state)
{
	const char **path = state->input;

	switch (key) {
	case ARGP_KEY_ARG:
		if (state->arg_num)
			argp_usage(state);
		*path = arg;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	NULL,
	handle_option,
	"TRACE",
	"Replays a trace under a virtual clock and checks the outcomes that it "
	"states, line by line.",
	NULL,
	NULL,
	NULL,
};

int command_replay(int argc, char **argv)
{
	struct check_state s = { 0 };
	struct replay_trace t;

	argp_parse(&argp, argc, argv, 0, NULL, &s.path);
	event_set_level(EVENT_ERROR);
	if (trace_load(&t, s.path))
		return EXIT_FAILURE;
	s.trace = &t;
	replay_run(&t, &s.counts);
	for (guint i = 0; i < t.expectations->len; i++) {
		const struct trace_expectation *e = &g_array_index(
			t.expectations, struct trace_expectation, i);

		if (e->is_run)
			check_run(&s, e->line, e->outcome);
		else
			check_requests(&s, e->line, e->outcome);
	}
	printf("%s: %u requests, %u stated outcomes, %d failed\n", s.path,
	       t.requests->len, t.expectations->len, s.failures);
	trace_clear(&t);
	return s.failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
