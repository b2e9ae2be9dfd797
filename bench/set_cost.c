#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include <glib.h>

#include "common/clock.h"
#include "objects/chunk.h"
#include "objects/objects.h"

/*
 * Prints the cost of an object set on a host: its size, the time to decode and
 * check it, the time to split it into chunks, the chunks that one changed
 * object replaces, and the peak resident size of the process. Needs one run per
 * size, because the peak never falls within a process: bench/set-cost LEAVES.
 */

#define SHARDS_PER_GROUP 69
#define REPLICAS 3

static int64_t cpu_time_us(void)
{
	struct rusage u;

	getrusage(RUSAGE_SELF, &u);
	return (u.ru_utime.tv_sec + u.ru_stime.tv_sec) * US_PER_S +
	       u.ru_utime.tv_usec + u.ru_stime.tv_usec;
}

static long peak_resident_kb(void)
{
	struct rusage u;

	getrusage(RUSAGE_SELF, &u);
	return u.ru_maxrss;
}

static void add_group(GString *s, int group, int *leaf, int leaves)
{
	g_string_append_printf(s,
			       "\"g%d\":{\"slots\":5,\"connections\":40,"
			       "\"connect_cost\":\"6000us\",\"holders\":0,"
			       "\"shards\":[",
			       group);
	for (int i = 0; i < SHARDS_PER_GROUP && *leaf < leaves; i++) {
		g_string_append_printf(s,
				       "%s{\"name\":\"s%d\",\"weight\":1000,"
				       "\"leaves\":[",
				       i ? "," : "", i);
		for (int j = 0; j < REPLICAS; j++, (*leaf)++)
			g_string_append_printf(
				s,
				"%s{\"address\":\"10.%d.%d.%d:80\",\"domain\":"
				"\"d%d\"}",
				j ? "," : "", *leaf >> 16, *leaf >> 8 & 255,
				*leaf & 255, j);
		g_string_append(s, "]}");
	}
	g_string_append(s, "]}");
}

static GString *build_set(int leaves)
{
	GString *s = g_string_new("{\"fleet\":{\"main\":{\"domains\":[");
	int groups = 0;
	int leaf = 0;

	for (int i = 0; i < 6; i++)
		g_string_append_printf(s,
				       "%s{\"name\":\"d%d\",\"region\":\"r%d\","
				       "\"seats\":367}",
				       i ? "," : "", i, i / 2);
	g_string_append(s, "]}},\"deadline\":{\"d\":{\"default\":\"200ms\","
			   "\"max\":\"1s\"}},\"class\":{\"c\":{\"kind\":"
			   "\"search\",\"worth\":10}},\"group\":{");
	for (; leaf < leaves; groups++) {
		if (groups)
			g_string_append(s, ",");
		add_group(s, groups, &leaf, leaves);
	}
	g_string_append(s, "},\"service\":{");
	for (int i = 0; i < groups; i++)
		g_string_append_printf(s,
				       "%s\"s%d\":{\"groups\":[\"g%d\"],"
				       "\"deadline\":\"d\",\"class\":\"c\"}",
				       i ? "," : "", i, i);
	g_string_append(s, "}}");
	return s;
}

static size_t count_changed_chunks(const struct chunk_table *a,
				   const struct chunk_table *b, size_t *bytes)
{
	const struct chunk *list;
	size_t changed = 0;
	uint32_t count;
	uint32_t len;

	*bytes = 0;
	list = chunk_table_list(b, &count);
	for (uint32_t i = 0; i < count; i++) {
		if (chunk_table_find(a, list[i].hash, &len))
			continue;
		changed++;
		*bytes += list[i].len;
	}
	return changed;
}

int main(int argc, char **argv)
{
	int leaves = argc > 1 ? atoi(argv[1]) : 1000;
	struct fault_list faults = { 0 };
	struct chunk_table *before;
	struct chunk_table *after;
	struct object_set *set;
	int64_t decode_us;
	int64_t chunk_us;
	uint32_t chunks;
	size_t changed;
	size_t bytes;
	GString *text = build_set(leaves);
	char *canonical;

	decode_us = cpu_time_us();
	if (object_set_decode(text->str, text->len, &set, &faults)) {
		char *fault = object_fault_format(&faults.items[0]);

		fprintf(stderr, "%s\n", fault);
		free(fault);
		return EXIT_FAILURE;
	}
	decode_us = cpu_time_us() - decode_us;
	g_string_free(text, TRUE);
	canonical = object_set_encode(set);
	chunk_us = cpu_time_us();
	before = chunk_table_create(canonical, strlen(canonical));
	chunk_us = cpu_time_us() - chunk_us;
	free(canonical);
	set->groups[set->group_count / 2].slots = 4;
	canonical = object_set_encode(set);
	after = chunk_table_create(canonical, strlen(canonical));
	changed = count_changed_chunks(before, after, &bytes);
	chunk_table_list(before, &chunks);
	printf("%d leaves: %zu bytes, decode %lld us, chunks %u in %lld us, "
	       "one change: %zu chunks of %zu bytes and a list of %u bytes, "
	       "largest resident size %ld KB\n",
	       leaves, strlen(canonical), (long long)decode_us, chunks,
	       (long long)chunk_us, changed, bytes, chunks * 12,
	       peak_resident_kb());
	free(canonical);
	chunk_table_unref(before);
	chunk_table_unref(after);
	object_set_unref(set);
	return EXIT_SUCCESS;
}
