#ifndef ROUTER_IDENTITY_H
#define ROUTER_IDENTITY_H

#include "router/key_index.h"
#include "router/table.h"

/** How a caller has stated who it is. */
enum credentials_kind {
	CREDENTIALS_NONE,
	CREDENTIALS_KEY,
	/** Not in the expected form. */
	CREDENTIALS_MALFORMED,
};

struct credentials {
	enum credentials_kind kind;
	/** Digest of the key, of CREDENTIALS_KEY. */
	struct key_digest key;
};

enum identity_verdict {
	IDENTITY_ACCEPTED,
	/** No table is in force. */
	IDENTITY_UNREADY,
	/** The route needs a key, and the request has none. */
	IDENTITY_MISSING,
	IDENTITY_MALFORMED,
	IDENTITY_UNKNOWN,
	/** Another host names an organisation that the table does not have. */
	IDENTITY_FOREIGN,
	/** The keys may be out of date, and may not be used then. */
	IDENTITY_STALE,
};

/** Answer to the question who sends a request and whether it may. */
struct identity {
	enum identity_verdict verdict;
	/** In the table; NULL if the request has none. */
	const struct organisation *organisation;
};

/** Who sends a request, as far as the request itself tells. */
struct identity_claim {
	struct credentials credentials;
	/**
	 * Organisation as named by the host that has checked the credentials,
	 * or NULL: the credentials count.
	 */
	const char *organisation;
	/** Keys are not to be trusted: this host may have missed changes. */
	bool are_keys_stale;
};

/**
 * Checks a claim against a table, which may be NULL. The route is the one that
 * the request takes, or NULL if there is none; nothing runs then, and no key is
 * needed for that answer.
 */
struct identity identity_check(const struct route_table *t,
			       const struct route *route,
			       const struct identity_claim *claim);

/** Returns the status of the answer to a request that was not accepted. */
unsigned int identity_status(enum identity_verdict verdict);

/** Returns the result code of a verdict; 0 for IDENTITY_ACCEPTED. */
int identity_code(enum identity_verdict verdict);

/** Returns the name of a verdict for logs and metrics. */
const char *identity_verdict_name(enum identity_verdict verdict);

#endif
