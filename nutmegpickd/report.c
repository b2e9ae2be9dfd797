#include "nutmegpickd/host.h"

#include <string.h>

#include <jansson.h>

#include "common/errors.h"
#include "nutmegpickd/route.h"

#define MAX_SNAPSHOTS 8

void report_poll(struct host *h)
{
	int64_t now = clock_now(&h->clock);

	if (!h->set || now < h->next_report_us)
		return;
	h->next_report_us = now + h->settings.report_interval_us;
	for (uint32_t i = 0; i < h->set->leaf_count; i++) {
		const struct leaf_object *leaf = &h->set->leaves[i];

		if (route_is_holder(h, h->set->shards[leaf->shard].group))
			upstream_fetch_report(h->upstream, leaf->address,
					      h->settings.report_interval_us);
	}
}

static enum leaf_state parse_state(const json_t *document)
{
	const char *text =
		json_string_value(json_object_get(document, "state"));

	if (text && !strcmp(text, "draining"))
		return LEAF_DRAINING;
	if (text && !strcmp(text, "cold"))
		return LEAF_COLD;
	return LEAF_SERVING;
}

static uint32_t parse_snapshots(const json_t *document, uint64_t *out)
{
	const json_t *array = json_object_get(document, "snapshots");
	uint32_t count = 0;
	json_t *item;
	size_t i;

	json_array_foreach (array, i, item) {
		const json_t *id = json_object_get(item, "id");

		if (count < MAX_SNAPSHOTS && json_is_integer(id))
			out[count++] = (uint64_t)json_integer_value(id);
	}
	return count;
}

void report_handle(struct host *h, const struct upstream_reply *reply)
{
	uint64_t snapshots[MAX_SNAPSHOTS];
	struct leaf_report report = { .snapshots = snapshots };

	if (!h->set || reply->result.status != CALL_OK)
		return;
	report.snapshot_count = parse_snapshots(reply->body, snapshots);
	report.state = parse_state(reply->body);
	report.load =
		(int)json_integer_value(json_object_get(reply->body, "load"));
	report.age_us = reply->elapsed_us;
	for (uint32_t i = 0; i < h->set->leaf_count; i++) {
		if (strcmp(h->set->leaves[i].address, reply->address))
			continue;
		report.leaf = i;
		engine_report(h->engine, &report);
	}
}
