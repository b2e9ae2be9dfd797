#ifndef TEST_STANDIN_REPLY_H
#define TEST_STANDIN_REPLY_H

#include <jansson.h>

#include "net/http_server.h"

/** Sends a JSON document and frees it. */
void reply_json(struct http_exchange *x, unsigned int status, json_t *document);

#endif
