/* Prints the engine's processor time per leaf call for several sizes. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include <glib.h>

#include "common/events.h"
#include "engine/engine.h"

#define FAN_OUT 69
#define REPLICAS 3
#define CALL_US 10000
#define RING_SIZE (1u << 18)

/* Each call ends CALL_US after its start, so calls end in order of start. */
struct workload {
	struct engine *engine;
	struct virtual_clock clock;
	struct engine_result results[RING_SIZE];
	int64_t due_us[RING_SIZE];
	uint32_t first;
	uint32_t last;
	uint64_t call_count;
	uint64_t ended_count;
	uint64_t failed_count;
};

static void handle_start(void *ctx, const struct engine_call *call)
{
	struct workload *w = ctx;
	uint32_t i = w->last++ % RING_SIZE;

	w->call_count++;
	w->due_us[i] = w->clock.now_us + CALL_US;
	w->results[i] = (struct engine_result){
		.call_id = call->call_id,
		.status = CALL_OK,
		.is_sent = true,
		.snapshot = call->snapshot,
		.load = 1,
	};
}

static void handle_cancel(void *ctx, uint64_t call_id)
{
}

static void handle_reset(void *ctx, uint64_t query_id, void *user)
{
}

static void handle_finish(void *ctx, uint64_t query_id,
			  const struct engine_outcome *outcome)
{
	struct workload *w = ctx;

	w->ended_count++;
	w->failed_count += outcome->code != 0;
}

static const struct engine_ops ops = {
	.start_call = handle_start,
	.cancel_call = handle_cancel,
	.reset_results = handle_reset,
	.finish_query = handle_finish,
};

/*
 * Builds services of FAN_OUT shards each: more services make the set larger,
 * but not the fan-out of a query.
 */
static struct object_set *build_set(uint32_t services)
{
	GString *text = g_string_new(
		"[fleet.f]\ndomains=[{name=\"a\",region=\"r\",seats=1}]\n"
		"[deadline.d]\ndefault=\"500ms\"\nmax=\"1s\"\n"
		"[retry.r]\nattempts=2\n"
		"[hedge.h]\nquantile=0.95\nmax_delay=\"100ms\"\n"
		"[class.c]\nkind=\"search\"\nworth=10\n");
	struct fault_list faults = { 0 };
	struct object_set *set = NULL;
	uint32_t leaf = 0;

	for (uint32_t i = 0; i < services; i++) {
		g_string_append_printf(
			text,
			"[service.s%u]\ngroups=[\"g%u\"]\ndeadline=\"d\"\n"
			"retry=\"r\"\nhedge=\"h\"\nclass=\"c\"\n"
			"[group.g%u]\nslots=2000\nconnections=2000\n",
			i, i, i);
		for (uint32_t j = 0; j < FAN_OUT; j++) {
			g_string_append_printf(text,
					       "[[group.g%u.shards]]\n"
					       "name=\"%u\"\nweight=1\n"
					       "leaves=[",
					       i, j);
			for (int k = 0; k < REPLICAS; k++, leaf++)
				g_string_append_printf(
					text,
					"{address=\"127.%u.%u.%u:80\","
					"domain=\"a\"},",
					leaf >> 16, leaf >> 8 & 255,
					leaf & 255);
			g_string_append(text, "]\n");
		}
	}
	object_set_parse(text->str, "cost", &set, &faults);
	g_string_free(text, TRUE);
	return set;
}

static void report_leaves(struct workload *w, const struct object_set *set)
{
	uint64_t snapshot = 1;
	struct leaf_report report = {
		.snapshots = &snapshot,
		.snapshot_count = 1,
	};

	for (uint32_t i = 0; i < set->leaf_count; i++) {
		report.leaf = i;
		engine_report(w->engine, &report);
	}
}

static void answer_due_calls(struct workload *w)
{
	while (w->first != w->last &&
	       w->due_us[w->first % RING_SIZE] <= w->clock.now_us)
		engine_call_result(w->engine,
				   &w->results[w->first++ % RING_SIZE]);
	engine_advance(w->engine);
}

/* Submits queries at a rate that keeps about `in_flight` of them in flight. */
static void submit_queries(struct workload *w, uint32_t services,
			   uint32_t in_flight, uint32_t queries)
{
	struct engine_request request = { .id = "cost" };
	char name[16];
	uint64_t id;
	int64_t retry_after;

	request.service = name;
	for (uint32_t i = 0; i < queries; i++) {
		w->clock.now_us += MAX(CALL_US / in_flight, 1);
		snprintf(name, sizeof(name), "s%u", i % services);
		answer_due_calls(w);
		engine_submit(w->engine, &request, &id, &retry_after);
	}
}

static double cpu_seconds(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static void measure_call_cost(uint32_t services, uint32_t in_flight,
			      uint32_t queries)
{
	struct workload *w = g_new0(struct workload, 1);
	struct engine_options options = {
		.clock = clock_virtual(&w->clock),
		.seed = 1,
		.ops = &ops,
		.ctx = w,
	};
	struct object_set *set = build_set(services);
	double start;
	double cpu_s;

	if (!set || engine_create(&w->engine, &options) ||
	    engine_apply_set(w->engine, set))
		exit(EXIT_FAILURE);
	report_leaves(w, set);
	submit_queries(w, services, in_flight, queries);
	w->call_count = 0;
	w->ended_count = 0;
	w->failed_count = 0;
	start = cpu_seconds();
	submit_queries(w, services, in_flight, queries);
	cpu_s = cpu_seconds() - start;
	printf("%8u %10u %10" G_GUINT64_FORMAT " %8" G_GUINT64_FORMAT
	       " %8" G_GUINT64_FORMAT " %10.0f\n",
	       set->leaf_count, in_flight, w->call_count, w->ended_count,
	       w->failed_count, cpu_s * 1e9 / (double)w->call_count);
	engine_unref(w->engine);
	object_set_unref(set);
	g_free(w);
}

int main(void)
{
	static const uint32_t services[] = { 1, 5, 48, 232 };
	static const uint32_t in_flight[] = { 10, 100, 1000 };

	event_set_level(EVENT_WARNING);
	printf("%8s %10s %10s %8s %8s %10s\n", "leaves", "in flight", "calls",
	       "queries", "failed", "ns/call");
	for (size_t i = 0; i < G_N_ELEMENTS(services); i++) {
		for (size_t j = 0; j < G_N_ELEMENTS(in_flight); j++)
			measure_call_cost(services[i], in_flight[j], 20000);
	}
	return EXIT_SUCCESS;
}
