#include "net/http_coding.h"

#include <string.h>

#include <glib.h>

#define CODING_HEADER "Transfer-Encoding"

void http_coding_correct(http_parser *parser, bool *has_coding,
			 const char *name, size_t len)
{
	if (len == strlen(CODING_HEADER) &&
	    !g_ascii_strncasecmp(name, CODING_HEADER, len)) {
		*has_coding = true;
		return;
	}
	parser->uses_transfer_encoding = *has_coding;
	if (*has_coding)
		parser->flags |= F_CHUNKED;
}
