#ifndef NET_HTTP_CODING_H
#define NET_HTTP_CODING_H

#include <stdbool.h>
#include <stddef.h>

#include <http_parser.h>

/**
 * Corrects the state of a parser after a header's name. http_parser 2.9 takes a
 * name that only begins with "Transfer-Encoding" for that header: it then
 * refuses a length, and forgets that the body comes in chunks. has_coding,
 * false at the begin of a message, is set once the header itself was read. No
 * coding but chunked is supported, so that one is restored.
 */
void http_coding_correct(http_parser *parser, bool *has_coding,
			 const char *name, size_t len);

#endif
