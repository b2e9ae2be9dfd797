#ifndef COMMON_ERRORS_H
#define COMMON_ERRORS_H

/**
 * Result codes. Functions return 0 or the negative of one of these values.
 * Each library lists its codes in its own errors.def, in its own range;
 * docs/errors.md holds the table for operators.
 */
enum result_code {
	ERR_OK = 0,
#define ERR(name, number, text) ERR_##name = number,
#include "common/errors.def"
#include "objects/errors.def"
#include "store/errors.def"
#include "engine/errors.def"
#include "fleet/errors.def"
#include "net/errors.def"
#include "router/errors.def"
#undef ERR
};

/** Returns the text of a result code, given with either sign. */
const char *error_text(int code);

/** Returns the symbolic name of a result code, given with either sign. */
const char *error_name(int code);

#endif
