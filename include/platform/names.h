#ifndef PLATFORM_NAMES_H
#define PLATFORM_NAMES_H

#include <netinet/in.h>
#include <stdbool.h>

/**
 * Returns whether a name that another program has written is usable in headers
 * and logs: not empty, and without spaces and control characters.
 */
bool platform_is_name(const char *text);

/**
 * Parses the address of a leaf or host that another program has written.
 * Returns false if text is NULL or no process can listen there.
 */
bool platform_read_address(const char *text, struct sockaddr_in *out);

#endif
