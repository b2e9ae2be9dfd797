#include <stdio.h>
#include <stdlib.h>

#include "common/errors.h"
#include "common/events.h"
#include "nutmegpick/trace.h"

/* Prints the setup, the counts and one row for each request. */
int main(int argc, char **argv)
{
	struct replay_counts counts;
	struct replay_trace t;

	event_set_level(EVENT_ERROR);
	if (argc != 2 || trace_load(&t, argv[1])) {
		fprintf(stderr, "Usage: replay TRACE\n");
		return EXIT_FAILURE;
	}
	replay_run(&t, &counts);
	printf("{\"setup\":");
	json_dumpf(t.setup, stdout, JSON_COMPACT);
	printf(",\"counts\":{\"slot_peak\":%.3f,\"connection_peak\":%.3f",
	       counts.slot_peak, counts.connection_peak);
#define COUNT(name) printf(",\"" #name "\":%d", counts.name);
#include "bench/counts.def"
	printf("},\"classes\":{");
	for (uint32_t i = 0; i < t.set->class_count; i++)
		printf("%s\"%s\":{\"kind\":\"%s\",\"worth\":%u}", i ? "," : "",
		       t.set->classes[i].name, t.set->classes[i].kind,
		       t.set->classes[i].worth);
	printf("},\"requests\":[");
	for (guint i = 0; i < t.requests->len; i++) {
		const struct replay_request *r =
			&g_array_index(t.requests, struct replay_request, i);

		printf("%s[%.3f,%.3f,%.3f,\"%s\",\"%s\",%.6f,%u,%u,%u]",
		       i ? "," : "", (double)r->at_us / 1000,
		       (double)r->latency_us / 1000,
		       (double)r->deadline_us / 1000,
		       t.set->classes[r->class].name, error_name(r->code),
		       r->coverage, r->needed_calls, r->extra_calls, r->runs);
	}
	printf("]}\n");
	trace_clear(&t);
	return EXIT_SUCCESS;
}
