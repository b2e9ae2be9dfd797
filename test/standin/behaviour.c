#include "behaviour.h"

#include <math.h>
#include <stddef.h>
#include <string.h>

struct field_offset {
	const char *name;
	size_t offset;
};

static const struct field_offset integer_fields[] = {
	{ "slots", offsetof(struct behaviour, slots) },
	{ "queue", offsetof(struct behaviour, queue_limit) },
	{ "connect_us", offsetof(struct behaviour, connect_us) },
	{ "service_us", offsetof(struct behaviour, service_us) },
	{ "cold_us", offsetof(struct behaviour, cold_us) },
	{ "fault_count", offsetof(struct behaviour, fault_count) },
	{ "report_load", offsetof(struct behaviour, report_load) },
};

static const struct field_offset real_fields[] = {
	{ "sigma", offsetof(struct behaviour, sigma) },
	{ "straggle", offsetof(struct behaviour, straggle) },
	{ "cold_factor", offsetof(struct behaviour, cold_factor) },
};

static const struct field_offset flag_fields[] = {
	{ "shed", offsetof(struct behaviour, is_shedding) },
	{ "drain", offsetof(struct behaviour, is_draining) },
	{ "repartitioned", offsetof(struct behaviour, is_repartitioned) },
	{ "hold", offsetof(struct behaviour, is_holding) },
	{ "report_inverted", offsetof(struct behaviour, is_report_inverted) },
};

static const char *const fault_names[] = {
	"none", "drop_before", "drop_after", "truncate", "cross", "duplicate",
};

void behaviour_init(struct behaviour *b)
{
	memset(b, 0, sizeof(*b));
	b->slots = 1;
	b->queue_limit = 100;
	b->service_us = 1000;
	b->straggle = 1;
	b->cold_factor = 1;
	b->fault_count = -1;
	b->report_load = -1;
}

static const json_t *get_field(const json_t *changes, const char *name,
			       size_t *known_count)
{
	const json_t *v = json_object_get(changes, name);

	*known_count += v != NULL;
	return v;
}

static bool update_numbers(struct behaviour *b, const json_t *changes,
			   size_t *known_count)
{
	for (size_t i = 0; i < G_N_ELEMENTS(integer_fields); i++) {
		const json_t *v =
			get_field(changes, integer_fields[i].name, known_count);

		if (v && !json_is_integer(v))
			return false;
		if (v)
			*(int64_t *)((char *)b + integer_fields[i].offset) =
				json_integer_value(v);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(real_fields); i++) {
		const json_t *v =
			get_field(changes, real_fields[i].name, known_count);

		if (v && !json_is_number(v))
			return false;
		if (v)
			*(double *)((char *)b + real_fields[i].offset) =
				json_number_value(v);
	}
	return true;
}

static bool update_flags(struct behaviour *b, const json_t *changes,
			 size_t *known_count)
{
	for (size_t i = 0; i < G_N_ELEMENTS(flag_fields); i++) {
		const json_t *v =
			get_field(changes, flag_fields[i].name, known_count);

		if (v && !json_is_boolean(v))
			return false;
		if (v)
			*(bool *)((char *)b + flag_fields[i].offset) =
				json_is_true(v);
	}
	return true;
}

static bool update_fault(struct behaviour *b, const json_t *changes,
			 size_t *known_count)
{
	const json_t *v = get_field(changes, "fault", known_count);

	if (!v)
		return true;
	if (!json_is_string(v))
		return false;
	for (size_t i = 0; i < G_N_ELEMENTS(fault_names); i++) {
		if (strcmp(json_string_value(v), fault_names[i]))
			continue;
		b->fault = (enum leaf_fault)i;
		return true;
	}
	return false;
}

static bool update_snapshots(struct behaviour *b, const json_t *changes,
			     size_t *known_count)
{
	const json_t *v = get_field(changes, "snapshots", known_count);
	json_t *item;
	size_t i;

	if (!v)
		return true;
	if (!json_is_array(v) || json_array_size(v) > MAX_SNAPSHOTS)
		return false;
	b->snapshot_count = 0;
	json_array_foreach (v, i, item)
		b->snapshots[b->snapshot_count++] = json_integer_value(item);
	return true;
}

bool behaviour_update(struct behaviour *b, const json_t *changes)
{
	size_t known_count = 0;
	struct behaviour next = *b;

	if (!update_numbers(&next, changes, &known_count) ||
	    !update_flags(&next, changes, &known_count) ||
	    !update_fault(&next, changes, &known_count) ||
	    !update_snapshots(&next, changes, &known_count) ||
	    known_count != json_object_size(changes))
		return false;
	*b = next;
	return true;
}

bool behaviour_has_snapshot(const struct behaviour *b, int64_t id)
{
	for (int i = 0; i < b->snapshot_count; i++) {
		if (b->snapshots[i] == id)
			return true;
	}
	return false;
}

int64_t behaviour_newest_snapshot(const struct behaviour *b)
{
	int64_t newest = 0;

	for (int i = 0; i < b->snapshot_count; i++)
		newest = MAX(newest, b->snapshots[i]);
	return newest;
}

static double draw_normal(GRand *random)
{
	double u = 1 - g_rand_double(random);
	double v = g_rand_double(random);

	return sqrt(-2 * log(u)) * cos(2 * G_PI * v);
}

int64_t behaviour_service_us(const struct behaviour *b, GRand *random,
			     int64_t age_us)
{
	double us = (double)b->service_us * b->straggle;

	if (b->sigma > 0)
		us *= exp(b->sigma * draw_normal(random));
	if (age_us < b->cold_us)
		us *= 1 + (b->cold_factor - 1) *
				  (1 - (double)age_us / (double)b->cold_us);
	return (int64_t)us;
}

int64_t behaviour_reported_load(const struct behaviour *b, int64_t load)
{
	if (b->report_load >= 0)
		return b->report_load;
	if (b->is_report_inverted)
		return MAX(b->slots + b->queue_limit - load, 0);
	return load;
}
