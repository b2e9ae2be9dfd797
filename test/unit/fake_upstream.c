#include "fake_upstream.h"

#include <CUnit/CUnit.h>
#include <glib.h>
#include <stdio.h>

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

static void handle_start(void *ctx, const struct engine_call *call)
{
	struct fake *f = ctx;

	CU_ASSERT_FATAL(f->call_count < FAKE_CALLS_MAX);
	f->calls[f->call_count++].call = *call;
}

static void handle_cancel(void *ctx, uint64_t call_id)
{
	struct fake *f = ctx;

	for (uint32_t i = 0; i < f->call_count; i++) {
		if (f->calls[i].call.call_id == call_id)
			f->calls[i].is_cancelled = true;
	}
}

static void handle_reset(void *ctx, uint64_t query_id, void *user)
{
	struct fake *f = ctx;

	f->resets++;
}

static void handle_finish(void *ctx, uint64_t query_id,
			  const struct engine_outcome *outcome)
{
	struct fake *f = ctx;
	struct fake_end *end = &f->ends[f->end_count++ % FAKE_ENDS_MAX];

	end->query_id = query_id;
	end->outcome = *outcome;
	end->first_gap = outcome->gap_count ? outcome->gaps[0].reason : 0;
}

static void handle_forget(void *ctx, uint64_t query_id)
{
	struct fake *f = ctx;

	f->forgotten++;
}

static const struct engine_ops ops = {
	.start_call = handle_start,
	.cancel_call = handle_cancel,
	.reset_results = handle_reset,
	.finish_query = handle_finish,
	.forget_result = handle_forget,
};

static struct object_set *parse_set(uint32_t shards, const char *fields)
{
	GString *text = g_string_new(NULL);
	struct fault_list faults = {0};
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

struct fake *fake_create(uint32_t shards, const char *fields)
{
	struct fake *f = g_new0(struct fake, 1);
	struct engine_options options = {
		.seed = 7,
		.ops = &ops,
		.ctx = f,
	};

	event_set_level(EVENT_ERROR);
	f->clock.now_us = US_PER_S;
	f->clock.wall_offset_us = WALL_US;
	options.clock = clock_virtual(&f->clock);
	f->set = parse_set(shards, fields);
	CU_ASSERT_PTR_NOT_NULL_FATAL(f->set);
	CU_ASSERT_EQUAL_FATAL(engine_create(&f->engine, &options), 0);
	CU_ASSERT_EQUAL_FATAL(engine_apply_set(f->engine, f->set), 0);
	for (uint32_t i = 0; i < f->set->leaf_count; i++)
		fake_report(f, i, LEAF_SERVING, 1);
	/* Keys made from now on are within the tenure. */
	fake_advance(f, 10 * US_PER_S);
	return f;
}

void fake_destroy(struct fake *f)
{
	engine_unref(f->engine);
	object_set_unref(f->set);
	g_free(f);
}

static uint64_t submit(struct fake *f, const struct engine_request *request)
{
	uint64_t id = 0;

	f->code = engine_submit(f->engine, request, &id, &f->retry_after_us);
	return f->code ? 0 : id;
}

uint64_t fake_submit(struct fake *f, const char *service, int64_t deadline_us)
{
	struct engine_request request = {
		.id = "r",
		.service = service,
		.deadline_us = deadline_us,
	};

	return submit(f, &request);
}

uint64_t fake_book(struct fake *f, const char *key, int64_t age_us)
{
	struct engine_request request = {
		.id = "b",
		.service = "book",
		.key_created_us =
			f->clock.now_us + f->clock.wall_offset_us - age_us,
	};

	g_strlcpy(request.key, key, sizeof(request.key));
	return submit(f, &request);
}

void fake_advance(struct fake *f, int64_t us)
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

bool fake_reply(struct fake *f, uint32_t call, enum call_status status)
{
	struct engine_result result = {
		.call_id = f->calls[call].call.call_id,
		.status = status,
		.bytes_sent = status != CALL_CONNECT_FAILED,
		.snapshot = f->calls[call].call.snapshot,
		.load = -1,
	};

	f->calls[call].is_answered = true;
	return engine_call_result(f->engine, &result);
}

void fake_report(struct fake *f, obj_handle leaf, enum leaf_state state,
		 uint64_t snapshot)
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

const struct fake_end *fake_last(const struct fake *f)
{
	static const struct fake_end none;

	return f->end_count ? &f->ends[(f->end_count - 1) % FAKE_ENDS_MAX]
			    : &none;
}
