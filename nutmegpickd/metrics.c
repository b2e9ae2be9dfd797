#include "nutmegpickd/metrics.h"

#include <glib.h>
#include <inttypes.h>

#include "common/clock.h"
#include "common/counter.h"
#include "common/errors.h"

/* Bounds double from 1 ms; the last bucket holds all above 16.384 s. */
#define BUCKET_COUNT 16
#define FIRST_BUCKET_US 1000

struct refusal {
	int code;
	uint64_t count;
};

#define CODE(name, number, text) { number, 0 },

/* Result codes with which a request can be refused. */
static struct refusal refusals[] = {
#define ERR CODE
#include "engine/errors.def"
#include "fleet/errors.def"
#include "net/errors.def"
#undef ERR
};

static uint64_t buckets[BUCKET_COUNT];
static uint64_t duration_sum_us;

static struct counter outcomes[] = {
	{ .name = "nutmegpick_query_outcomes_total",
	  .help = "Queries ended, by outcome.",
	  .label = "outcome=\"answered\"" },
	{ .name = "nutmegpick_query_outcomes_total",
	  .help = "Queries ended, by outcome.",
	  .label = "outcome=\"not_run\"" },
	{ .name = "nutmegpick_query_outcomes_total",
	  .help = "Queries ended, by outcome.",
	  .label = "outcome=\"unknown\"" },
};

static struct counter calls[] = {
	{ .name = "nutmegpick_leaf_calls_total",
	  .help = "Calls sent to leaves, by cause.",
	  .label = "cause=\"first\"" },
	{ .name = "nutmegpick_leaf_calls_total",
	  .help = "Calls sent to leaves, by cause.",
	  .label = "cause=\"hedge\"" },
	{ .name = "nutmegpick_leaf_calls_total",
	  .help = "Calls sent to leaves, by cause.",
	  .label = "cause=\"retry\"" },
};

__attribute__((constructor)) static void register_counters(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(outcomes); i++)
		counter_register(&outcomes[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(calls); i++)
		counter_register(&calls[i]);
}

void metrics_count_call(const struct engine_call *call)
{
	if (call->is_hedge)
		counter_add(&calls[1], 1);
	else if (call->is_retry)
		counter_add(&calls[2], 1);
	else
		counter_add(&calls[0], 1);
}

void metrics_count_answer(int64_t total_us)
{
	int64_t bound = FIRST_BUCKET_US;
	int i = 0;

	while (i < BUCKET_COUNT - 1 && total_us > bound) {
		bound *= 2;
		i++;
	}
	counter_add(&outcomes[0], 1);
	__atomic_fetch_add(&buckets[i], 1, __ATOMIC_RELAXED);
	__atomic_fetch_add(&duration_sum_us, (uint64_t)MAX(total_us, 0),
			   __ATOMIC_RELAXED);
}

void metrics_count_refusal(int code, enum run_state run)
{
	counter_add(&outcomes[run == RUN_NOT_RUN ? 1 : 2], 1);
	for (size_t i = 0; i < G_N_ELEMENTS(refusals); i++) {
		if (refusals[i].code == ABS(code))
			__atomic_fetch_add(&refusals[i].count, 1,
					   __ATOMIC_RELAXED);
	}
}

static void render_refusals(GString *s)
{
	const char *name = "nutmegpick_refusals_total";

	g_string_append_printf(s,
			       "# HELP %s Requests refused, by reason.\n"
			       "# TYPE %s counter\n",
			       name, name);
	for (size_t i = 0; i < G_N_ELEMENTS(refusals); i++) {
		uint64_t n =
			__atomic_load_n(&refusals[i].count, __ATOMIC_RELAXED);

		if (n)
			g_string_append_printf(s,
					       "%s{reason=\"E%d\"} %" PRIu64
					       "\n",
					       name, refusals[i].code, n);
	}
}

static void render_duration(GString *s)
{
	const char *name = "nutmegpick_query_duration_seconds";
	double bound = (double)FIRST_BUCKET_US / (double)US_PER_S;
	uint64_t sum = __atomic_load_n(&duration_sum_us, __ATOMIC_RELAXED);
	uint64_t count = 0;

	g_string_append_printf(s,
			       "# HELP %s Duration of answered queries.\n"
			       "# TYPE %s histogram\n",
			       name, name);
	for (int i = 0; i < BUCKET_COUNT; i++) {
		count += __atomic_load_n(&buckets[i], __ATOMIC_RELAXED);
		if (i == BUCKET_COUNT - 1)
			g_string_append_printf(s,
					       "%s_bucket{le=\"+Inf\"} %" PRIu64
					       "\n",
					       name, count);
		else
			g_string_append_printf(s,
					       "%s_bucket{le=\"%g\"} %" PRIu64
					       "\n",
					       name, bound, count);
		bound *= 2;
	}
	g_string_append_printf(s, "%s_sum %.6f\n%s_count %" PRIu64 "\n", name,
			       (double)sum / (double)US_PER_S, name, count);
}

char *metrics_render(void)
{
	char *counters = counter_render();
	GString *s = g_string_new(counters);

	g_free(counters);
	render_refusals(s);
	render_duration(s);
	return g_string_free(s, FALSE);
}
