#include "nutmegpickd/host.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void reply_to_caller(struct origin *o, unsigned int status,
			    uint32_t retry_after_s, const char *body,
			    size_t len)
{
	char seconds[16];

	if (retry_after_s) {
		snprintf(seconds, sizeof(seconds), "%u", retry_after_s);
		http_exchange_add_header(o->exchange, "Retry-After", seconds);
	}
	http_exchange_reply(o->exchange, status, "application/json", body, len);
}

static void reply_to_peer(struct host *h, const struct origin *o,
			  unsigned int status, uint32_t retry_after_s,
			  const char *body, size_t len)
{
	struct forward_result r = {
		.id = o->forward_id,
		.status = status,
		.retry_after_s = retry_after_s,
		.body = body,
		.body_len = len,
	};
	struct forward_buffer b = forward_encode_result(FORWARD_RESULT, &r);

	/*
	 * If the frame is lost, the other host's query ends at its deadline,
	 * with an unknown outcome.
	 */
	transport_reply(h->transport, o->link, b.data, b.len);
	free(b.data);
}

bool origin_is_open(const struct origin *o)
{
	return o->exchange || o->link;
}

void origin_reply(struct host *h, struct origin *o, unsigned int status,
		  uint32_t retry_after_s, const char *body, size_t len)
{
	if (o->exchange)
		reply_to_caller(o, status, retry_after_s, body, len);
	else if (o->link)
		reply_to_peer(h, o, status, retry_after_s, body, len);
	memset(o, 0, sizeof(*o));
}
