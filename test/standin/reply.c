#include "reply.h"

#include <stdlib.h>
#include <string.h>

void reply_json(struct http_exchange *x, unsigned int status, json_t *document)
{
	char *text = json_dumps(document, JSON_COMPACT);

	json_decref(document);
	http_exchange_reply(x, status, "application/json", text, strlen(text));
	free(text);
}
