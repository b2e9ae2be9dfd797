#ifndef NUTMEGPICKD_ORGANISATION_METRICS_H
#define NUTMEGPICKD_ORGANISATION_METRICS_H

#include <glib.h>

/**
 * Counts an answer by the organisation of its caller, which may be NULL, and a
 * refusal of the caller by its result code.
 */
void organisation_metrics_note_answer(const char *organisation,
				      unsigned int status, int code);

/**
 * Adds the metrics as Prometheus text: the organisations with most answers one
 * by one, the others as one entry. Adds nothing before the first count.
 */
void organisation_metrics_render(GString *out);

#endif
