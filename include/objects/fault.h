#ifndef OBJECTS_FAULT_H
#define OBJECTS_FAULT_H

#include "objects/objects.h"

/** Appends a fault with a formatted message; code is a positive ERR_OBJ_... */
void fault_add(struct fault_list *faults, const char *file, int line, int code,
	       const char *field, const char *fmt, ...)
	__attribute__((format(printf, 6, 7)));

#endif
