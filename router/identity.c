#include "router/identity.h"

#include "common/errors.h"

static struct identity check_name(const struct route_table *t, const char *name)
{
	const struct organisation *o = route_table_find_organisation(t, name);

	return (struct identity){ o ? IDENTITY_ACCEPTED : IDENTITY_FOREIGN, o };
}

static struct identity check_key(const struct route_table *t,
				 const struct key_digest *key)
{
	uint32_t owner = key_index_find(t->keys, key);

	if (owner == KEY_OWNER_NONE)
		return (struct identity){ IDENTITY_UNKNOWN, NULL };
	return (struct identity){ IDENTITY_ACCEPTED, &t->organisations[owner] };
}

struct identity identity_check(const struct route_table *t,
			       const struct route *route,
			       const struct identity_claim *claim)
{
	static const struct identity anyone = { IDENTITY_ACCEPTED, NULL };

	if (!t)
		return (struct identity){ IDENTITY_UNREADY, NULL };
	if (!t->has_organisations || !route)
		return anyone;
	if (!claim->organisation && claim->credentials.kind == CREDENTIALS_NONE)
		return route->is_public
			       ? anyone
			       : (struct identity){ IDENTITY_MISSING, NULL };
	if (!claim->organisation &&
	    claim->credentials.kind == CREDENTIALS_MALFORMED)
		return (struct identity){ IDENTITY_MALFORMED, NULL };
	if (claim->are_keys_stale)
		return (struct identity){ IDENTITY_STALE, NULL };
	return claim->organisation ? check_name(t, claim->organisation)
				   : check_key(t, &claim->credentials.key);
}

unsigned int identity_status(enum identity_verdict verdict)
{
	switch (verdict) {
	case IDENTITY_ACCEPTED:
		return 200;
	case IDENTITY_MISSING:
	case IDENTITY_MALFORMED:
	case IDENTITY_UNKNOWN:
		return 401;
	case IDENTITY_UNREADY:
	case IDENTITY_FOREIGN:
	case IDENTITY_STALE:
		break;
	}
	return 503;
}

int identity_code(enum identity_verdict verdict)
{
	switch (verdict) {
	case IDENTITY_ACCEPTED:
		return 0;
	case IDENTITY_UNREADY:
		return -ERR_ROUTE_UNREADY;
	case IDENTITY_MISSING:
		return -ERR_ROUTE_KEY_MISSING;
	case IDENTITY_MALFORMED:
		return -ERR_ROUTE_KEY_MALFORMED;
	case IDENTITY_UNKNOWN:
		return -ERR_ROUTE_KEY_UNKNOWN;
	case IDENTITY_FOREIGN:
		return -ERR_ROUTE_ORGANISATION;
	case IDENTITY_STALE:
		return -ERR_ROUTE_KEYS_STALE;
	}
	return -ERR_INVAL;
}

const char *identity_verdict_name(enum identity_verdict verdict)
{
	switch (verdict) {
	case IDENTITY_ACCEPTED:
		return "accepted";
	case IDENTITY_UNREADY:
		return "unready";
	case IDENTITY_MISSING:
		return "missing";
	case IDENTITY_MALFORMED:
		return "malformed";
	case IDENTITY_UNKNOWN:
		return "unknown";
	case IDENTITY_FOREIGN:
		return "foreign";
	case IDENTITY_STALE:
		return "stale";
	}
	return "invalid";
}
