#ifndef NUTMEGPICK_OUTPUT_H
#define NUTMEGPICK_OUTPUT_H

#include <stdbool.h>

#include <jansson.h>

#include "store/publish.h"

/** Prints a document as one line of JSON and frees it. */
void output_json(json_t *document);

/** Returns a publish record as JSON, with its time in UTC. */
json_t *output_record(const struct publish_record *r);

/** Prints "version 3, publish id 3-x, author ann, TIME". */
void output_print_record(const struct publish_record *r);

/**
 * Prints the name and text of a result code, as JSON if is_json is set.
 * Returns the exit status for the code.
 */
int output_failure(bool is_json, int code);

/** Returns the faults as a JSON array of texts. */
json_t *output_faults(const struct fault_list *faults);

/** Prints every fault to stderr. */
void output_print_faults(const struct fault_list *faults);

#endif
