#ifndef COMMON_ADDRESS_H
#define COMMON_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>

/**
 * Parses an IPv4 number and a port from 0 to 65535, such as "10.0.0.1:80".
 * Returns 0 or -ERR_INVAL.
 */
int address_parse(const char *text, struct sockaddr_in *out);

/** Returns whether a process may listen there: one host and a port above 0. */
bool address_is_peer(const struct sockaddr_in *a);

#endif
