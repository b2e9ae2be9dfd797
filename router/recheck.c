#include <string.h>

#include "common/errors.h"
#include "common/events.h"
#include "router/internal.h"

/*
 * Returns the route of a request in the table in force, which may be public or
 * not any more; a route that is gone counts as it was.
 */
static const struct route *find_current_route(const struct router *r,
					      const struct route_request *q)
{
	for (uint32_t i = 0; i < r->table->route_count; i++) {
		if (!strcmp(r->table->routes[i].name, q->route->name))
			return &r->table->routes[i];
	}
	return q->route;
}

static struct identity check_caller(const struct router *r,
				    const struct route_request *q)
{
	struct identity_claim claim = {
		.credentials = q->credentials,
		.organisation = q->claimed_organisation,
		.are_keys_stale = r->are_keys_stale,
	};
	bool is_named = claim.organisation ||
			claim.credentials.kind != CREDENTIALS_NONE;

	/* Only a request without a key depends on the route. */
	return identity_check(r->table,
			      is_named ? q->route : find_current_route(r, q),
			      &claim);
}

static void note_denied(const struct router *r, struct route_request *q,
			enum identity_verdict verdict)
{
	bool is_revoked = verdict == IDENTITY_UNKNOWN ||
			  verdict == IDENTITY_FOREIGN;
	bool is_first = !q->denied_code;

	q->denied_status = is_revoked ? 401 : identity_status(verdict);
	q->denied_code = is_revoked ? -ERR_ROUTE_KEY_REVOKED
				    : identity_code(verdict);
	if (!is_first)
		return;
	event_log(EV_REQUEST_REVOKED,
		  "request=%s route=%s organisation=\"%s\" verdict=%s "
		  "version=%llu previous=%llu ms=%lld",
		  q->request_id, q->route->name,
		  q->organisation ? q->organisation->name : "",
		  identity_verdict_name(verdict),
		  (unsigned long long)router_version(r),
		  (unsigned long long)q->identity_table->version,
		  (long long)((router_now(r) - q->start_us) / US_PER_MS));
}

bool recheck_caller(struct router *r, struct route_request *q)
{
	struct identity who;

	if (q->identity_epoch == r->identity_epoch)
		return !q->denied_code;
	q->identity_epoch = r->identity_epoch;
	who = check_caller(r, q);
	if (who.verdict != IDENTITY_ACCEPTED) {
		note_denied(r, q, who.verdict);
		return false;
	}
	q->denied_code = 0;
	q->organisation = who.organisation;
	route_table_ref(r->table);
	route_table_unref(q->identity_table);
	q->identity_table = r->table;
	return true;
}
