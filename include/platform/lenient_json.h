#ifndef PLATFORM_LENIENT_JSON_H
#define PLATFORM_LENIENT_JSON_H

#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

/**
 * Decodes a JSON text so that a value which Jansson refuses, such as a number
 * out of range, deep nesting or a string that is no valid Unicode, does not
 * affect the values beside it. The text is taken apart down to the given number
 * of levels:
 *
 * - a refused number, object or array becomes null;
 * - a refused string keeps its bytes, which are no valid UTF-8. Each half of a
 *   surrogate pair without the other takes the three bytes of its code point;
 * - a member of an object is left out if its name is refused.
 *
 * Returns NULL if the brackets or quotes of the text do not match.
 */
json_t *lenient_json_load(const char *text, size_t len, uint32_t levels);

#endif
