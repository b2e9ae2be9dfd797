#include "objects/fault.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void fault_add(struct fault_list *faults, const char *file, int line, int code,
	       const char *field, const char *fmt, ...)
{
	struct object_fault *f;
	va_list ap;

	if (faults->count == faults->capacity) {
		faults->capacity = faults->capacity ? 2 * faults->capacity : 16;
		faults->items =
			realloc(faults->items, faults->capacity * sizeof(*f));
	}
	f = &faults->items[faults->count++];
	f->file = strdup(file);
	f->line = line;
	f->code = code;
	f->field = strdup(field);
	va_start(ap, fmt);
	if (vasprintf(&f->message, fmt, ap) < 0)
		f->message = NULL;
	va_end(ap);
}

char *object_fault_format(const struct object_fault *fault)
{
	char *text;

	if (asprintf(&text, "%s:%d: E%d %s: %s", fault->file, fault->line,
		     fault->code, fault->field, fault->message) < 0)
		return NULL;
	return text;
}

void fault_list_clear(struct fault_list *faults)
{
	for (size_t i = 0; i < faults->count; i++) {
		free(faults->items[i].file);
		free(faults->items[i].field);
		free(faults->items[i].message);
	}
	free(faults->items);
	memset(faults, 0, sizeof(*faults));
}
