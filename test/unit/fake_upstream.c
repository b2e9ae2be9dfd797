#include "fake_upstream.h"

#include <CUnit/CUnit.h>
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/events.h"

#define WALL_US (1000000000 * US_PER_S)

static const char set_text[] =
	"[fleet.f]\ndomains = [{name = \"a\", region = \"r\", seats = 1}]\n"
	"[deadline.d]\ndefault = \"200ms\"\nmax = \"2s\"\n"
	"[retry.r]\nattempts = 3\nbackoff = \"1ms\"\nbudget = 5\n"
	"[hedge.h]\nquantile = 0.95\nmin_delay = \"5ms\"\n"
	"max_delay = \"50ms\"\n"
	"[class.low]\nkind = \"search\"\nworth = 10\nfloor = 10\n"
	"[class.high]\nkind = \"order\"\nworth = 500\nfloor = 10\n"
	"[service.search]\ngroups = [\"g\"]\ndeadline = \"d\"\n"
	"class = \"low\"\n%s\n"
	"[service.book]\ngroups = [\"g\"]\ndeadline = \"d\"\n"
	"class = \"high\"\nmin_coverage = 100\nidempotent = false\n"
	"fan_out = \"key\"\n"
	"[group.g]\nslots = 4\nconnections = 8\n";

static void serve_call(struct fake_engine *f, struct fake_engine_call *c)
{
	struct fake_leaf *leaf = &f->leaves[c->call.leaf];
	int64_t *slot = &leaf->free_at_us[0];
	double us = (double)f->service_us * leaf->service_factor *
		    g_rand_double_range(f->random, 0.5, 1.5);

	leaf->calls++;
	leaf->outstanding++;
	leaf->max_outstanding = MAX(leaf->max_outstanding, leaf->outstanding);
	if (leaf->service_factor < 0)
		return;
	for (int i = 1; i < FAKE_SLOTS; i++)
		slot = leaf->free_at_us[i] < *slot ? &leaf->free_at_us[i]
						   : slot;
	if (leaf->status != CALL_OK)
		us = 0;
	*slot = MAX(*slot, f->clock.now_us + f->network_us) + (int64_t)us;
	heap_push(&f->call_ends, &c->end_node, *slot + f->network_us);
}

static void handle_start(void *ctx, const struct engine_call *call)
{
	struct fake_engine *f = ctx;
	uint32_t index = f->call_count++ % FAKE_ENGINE_CALLS_MAX;
	struct fake_engine_call *c = &f->calls[index];

	heap_remove(&f->call_ends, &c->end_node);
	*c = (struct fake_engine_call){ .call = *call };
	f->index_by_slot[(uint32_t)call->call_id % FAKE_ENGINE_CALLS_MAX] =
		index;
	if (f->is_serving)
		serve_call(f, c);
}

static void handle_cancel(void *ctx, uint64_t call_id)
{
	struct fake_engine *f = ctx;

	uint32_t index =
		f->index_by_slot[(uint32_t)call_id % FAKE_ENGINE_CALLS_MAX];
	struct fake_engine_call *c = &f->calls[index];

	CU_ASSERT(c->call.call_id == call_id && !c->is_answered);
	c->is_cancelled = true;
	heap_remove(&f->call_ends, &c->end_node);
	if (f->is_serving)
		f->leaves[c->call.leaf].outstanding--;
}

static void handle_reset(void *ctx, uint64_t query_id, void *user)
{
	struct fake_engine *f = ctx;

	f->reset_count++;
}

static void handle_finish(void *ctx, uint64_t query_id,
			  const struct engine_outcome *outcome)
{
	struct fake_engine *f = ctx;
	struct fake_engine_end *end =
		&f->ends[f->end_count++ % FAKE_ENGINE_ENDS_MAX];
	struct fake_load *load = outcome->user;

	end->query_id = query_id;
	end->outcome = *outcome;
	end->first_gap = outcome->gap_count ? outcome->gaps[0].reason : 0;
	if (!load)
		return;
	load->needed_calls += outcome->needed_calls;
	load->extra_calls += outcome->extra_calls;
	load->failed += outcome->code || outcome->total_us > load->deadline_us;
	if (outcome->code)
		return;
	load->complete += outcome->weight == outcome->total_weight;
	load->in_time += outcome->total_us <= load->deadline_us;
	load->durations_us[load->answered++ % FAKE_ENGINE_CALLS_MAX] =
		outcome->total_us;
}

static void handle_expire_result(void *ctx, uint64_t query_id)
{
	struct fake_engine *f = ctx;

	f->expired_count++;
}

static const struct engine_ops ops = {
	.start_call = handle_start,
	.cancel_call = handle_cancel,
	.reset_results = handle_reset,
	.finish_query = handle_finish,
	.expire_result = handle_expire_result,
};

static struct object_set *parse_set(uint32_t shards, const char *fields)
{
	GString *text = g_string_new(NULL);
	struct fault_list faults = { 0 };
	struct object_set *set = NULL;

	g_string_printf(text, set_text, fields);
	for (uint32_t i = 0; i < shards; i++) {
		g_string_append_printf(
			text, "[[group.g.shards]]\nname = \"s%u\"\n", i);
		g_string_append(text, "weight = 100\nleaves = [\n");
		for (uint32_t j = 0; j < 3; j++)
			g_string_append_printf(
				text,
				"{address=\"127.0.0.1:%u\",domain=\"a\"},\n",
				1024 + 3 * i + j);
		g_string_append(text, "]\n");
	}
	object_set_parse(text->str, "test", &set, &faults);
	for (size_t i = 0; i < faults.count; i++)
		fprintf(stderr, "%s: %s\n", faults.items[i].field,
			faults.items[i].message);
	fault_list_clear(&faults);
	g_string_free(text, TRUE);
	return set;
}

struct fake_engine *fake_engine_create(uint32_t shards, const char *fields)
{
	struct fake_engine *f = g_new0(struct fake_engine, 1);
	struct engine_options options = {
		.seed = 7,
		.ops = &ops,
		.ctx = f,
	};

	event_set_level(EVENT_ERROR);
	f->random = g_rand_new_with_seed(11);
	f->service_us = 10 * US_PER_MS;
	for (uint32_t i = 0; i < FAKE_LEAVES_MAX; i++)
		f->leaves[i].service_factor = 1;
	f->clock.now_us = US_PER_S;
	f->clock.wall_offset_us = WALL_US;
	options.clock = clock_virtual(&f->clock);
	f->set = parse_set(shards, fields);
	CU_ASSERT_PTR_NOT_NULL_FATAL(f->set);
	CU_ASSERT_EQUAL_FATAL(engine_create(&f->engine, &options), 0);
	CU_ASSERT_EQUAL_FATAL(engine_apply_set(f->engine, f->set), 0);
	for (uint32_t i = 0; i < f->set->leaf_count; i++)
		fake_engine_report_leaf(f, i, LEAF_SERVING, 1);
	/* Age the tenure by more than KEY_SKEW_US: new keys are accepted. */
	fake_engine_advance(f, 10 * US_PER_S);
	return f;
}

void fake_engine_destroy(struct fake_engine *f)
{
	engine_unref(f->engine);
	object_set_unref(f->set);
	heap_clear(&f->call_ends);
	g_rand_free(f->random);
	g_free(f);
}

static uint64_t submit_request(struct fake_engine *f,
			       const struct engine_request *request)
{
	uint64_t id = 0;

	f->code = engine_submit(f->engine, request, &id, &f->retry_after_us);
	return f->code ? 0 : id;
}

uint64_t fake_engine_submit(struct fake_engine *f, const char *service,
			    int64_t deadline_us)
{
	struct engine_request request = {
		.id = "r",
		.service = service,
		.deadline_us = deadline_us,
	};

	return submit_request(f, &request);
}

uint64_t fake_engine_book(struct fake_engine *f, const char *key,
			  int64_t age_us)
{
	struct engine_request request = {
		.id = "b",
		.service = "book",
		.key_created_us =
			f->clock.now_us + f->clock.wall_offset_us - age_us,
	};

	g_strlcpy(request.key, key, sizeof(request.key));
	return submit_request(f, &request);
}

void fake_engine_advance(struct fake_engine *f, int64_t us)
{
	int64_t end = f->clock.now_us + us;

	engine_advance(f->engine);
	while (engine_next_timer(f->engine) <= end) {
		f->clock.now_us =
			MAX(f->clock.now_us, engine_next_timer(f->engine));
		engine_advance(f->engine);
	}
	f->clock.now_us = end;
	engine_advance(f->engine);
}

bool fake_engine_end_call(struct fake_engine *f, uint32_t call,
			  enum call_status status)
{
	struct engine_result result = {
		.call_id = f->calls[call].call.call_id,
		.status = status,
		.is_sent = status != CALL_CONNECT_FAILED,
		.snapshot = f->calls[call].call.snapshot,
		.load = -1,
	};

	f->calls[call].is_answered = true;
	return engine_call_result(f->engine, &result);
}

void fake_engine_report_leaf(struct fake_engine *f, obj_handle leaf,
			     enum leaf_state state, uint64_t snapshot)
{
	struct leaf_report report = {
		.leaf = leaf,
		.state = state,
		.load = -1,
		.snapshots = &snapshot,
		.snapshot_count = 1,
	};

	engine_report(f->engine, &report);
}

static void submit_load_request(struct fake_engine *f, struct fake_load *load)
{
	struct engine_request request = {
		.id = "l",
		.service = load->service,
		.deadline_us = load->deadline_us,
		.key_created_us = f->clock.now_us + f->clock.wall_offset_us,
		.user = load,
	};

	snprintf(request.key, sizeof(request.key), "%s%u", load->service,
		 load->sent++);
	load->failed += !submit_request(f, &request);
	load->next_us += (int64_t)(-log(1 - g_rand_double(f->random)) *
				   US_PER_S / load->per_second);
}

static void finish_call(struct fake_engine *f, struct fake_engine_call *c)
{
	struct fake_leaf *leaf = &f->leaves[c->call.leaf];
	struct engine_result result = {
		.call_id = c->call.call_id,
		.status = leaf->status,
		.is_sent = leaf->status != CALL_CONNECT_FAILED,
		.snapshot = c->call.snapshot,
		.load = (int)leaf->outstanding,
		.is_draining = leaf->is_draining,
	};

	heap_remove(&f->call_ends, &c->end_node);
	c->is_answered = true;
	leaf->outstanding--;
	engine_call_result(f->engine, &result);
}

/* Runs the earliest event. Returns false if it lies after end_us. */
static bool run_next_event(struct fake_engine *f, struct fake_load *loads,
			   int count, int64_t end_us)
{
	struct heap_node *done = heap_top(&f->call_ends);
	struct fake_load *load = &loads[0];
	int64_t next = done ? done->key : INT64_MAX;

	for (int i = 1; i < count; i++)
		load = loads[i].next_us < load->next_us ? &loads[i] : load;
	next = MIN(next, load->next_us);
	next = MIN(next, engine_next_timer(f->engine));
	if (next > end_us)
		return false;
	f->clock.now_us = MAX(f->clock.now_us, next);
	if (done && done->key <= next)
		finish_call(f, HEAP_OWNER(done, struct fake_engine_call,
					  end_node));
	else if (load->next_us <= next)
		submit_load_request(f, load);
	engine_advance(f->engine);
	return true;
}

static int compare_durations(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

void fake_engine_run_loads(struct fake_engine *f, struct fake_load *loads,
			   int count, int64_t duration_us)
{
	int64_t end = f->clock.now_us + duration_us;

	f->is_serving = true;
	for (int i = 0; i < count; i++) {
		loads[i].answered = 0;
		loads[i].next_us = f->clock.now_us;
	}
	while (run_next_event(f, loads, count, end))
		continue;
	f->clock.now_us = end;
	for (int i = 0; i < count; i++)
		qsort(loads[i].durations_us,
		      MIN(loads[i].answered, FAKE_ENGINE_CALLS_MAX),
		      sizeof(int64_t), compare_durations);
}

int64_t fake_load_duration_quantile(const struct fake_load *load,
				    double quantile)
{
	uint32_t count = MIN(load->answered, FAKE_ENGINE_CALLS_MAX);

	return count ? load->durations_us[(uint32_t)(quantile * (count - 1))]
		     : 0;
}

const struct fake_engine_end *fake_engine_last_end(const struct fake_engine *f)
{
	static const struct fake_engine_end none;

	return f->end_count
		       ? &f->ends[(f->end_count - 1) % FAKE_ENGINE_ENDS_MAX]
		       : &none;
}
