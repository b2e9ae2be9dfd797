#include "nutmegpickd/host.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "common/errors.h"
#include "nutmegpickd/metrics.h"

static void send_text(struct http_exchange *x, unsigned int status,
		      const char *text)
{
	http_exchange_reply(x, status, "text/plain", text, strlen(text));
}

static void send_status(struct host *h, struct http_exchange *x)
{
	json_t *document = json_pack("{s:s,s:s,s:I,s:I,s:b,s:I}", "host",
				     h->settings.host_id, "domain",
				     h->settings.domain, "version",
				     (json_int_t)(h->set ? h->set->version : 0),
				     "in_force_since_ms",
				     (json_int_t)(h->set_since_us / US_PER_MS),
				     "draining", h->is_draining, "queries",
				     (json_int_t)engine_query_count(h->engine));
	char *text = json_dumps(document, JSON_COMPACT);

	json_decref(document);
	http_exchange_reply(x, 200, "application/json", text, strlen(text));
	free(text);
}

static void send_metrics(struct http_exchange *x)
{
	char *text = metrics_render();

	http_exchange_reply(x, 200, "text/plain; version=0.0.4", text,
			    strlen(text));
	g_free(text);
}

static void send_not_found(struct host *h, struct http_exchange *x)
{
	struct origin o = { .exchange = x };

	answer_refuse(h, &o, "", -ERR_NET_NOT_FOUND, RUN_NOT_RUN, 0);
}

void page_send(struct host *h, struct http_exchange *x)
{
	const char *path = http_exchange_path(x);

	if (!strcmp(path, "/healthz"))
		send_text(x, 200, "ok\n");
	else if (!strcmp(path, "/readyz") && (h->is_draining || !h->set))
		send_text(x, 503,
			  h->is_draining ? "draining\n" : "no configuration\n");
	else if (!strcmp(path, "/readyz"))
		send_text(x, 200, "ready\n");
	else if (!strcmp(path, "/statusz"))
		send_status(h, x);
	else if (!strcmp(path, "/metrics"))
		send_metrics(x);
	else
		send_not_found(h, x);
}
