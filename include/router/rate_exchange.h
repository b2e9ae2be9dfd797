#ifndef ROUTER_RATE_EXCHANGE_H
#define ROUTER_RATE_EXCHANGE_H

#include <glib.h>

#include "common/clock.h"
#include "router/directory.h"
#include "router/rate_shares.h"

/**
 * Claims and grants of shares of rate limits between hosts. Claims go to the
 * first owner of a limit, and to the second one while the first is silent. As
 * an owner, this host answers claims.
 */
struct rate_exchange;

/** Operations of the adapter. They must not call the exchange. */
struct rate_exchange_ops {
	/** Sends claims, of struct rate_claim, to another host. */
	void (*send_claims)(void *ctx, const char *address,
			    const GArray *claims);
	/** Delivers a grant to the router. */
	void (*deliver_grant)(void *ctx, const struct rate_grant *grant);
};

struct rate_exchange_options {
	struct np_clock clock;
	struct host_directory *directory;
	/** This host has no links: it divides all limits alone. */
	bool is_alone;
	const struct rate_exchange_ops *ops;
	void *ctx;
};

struct rate_exchange *
rate_exchange_create(const struct rate_exchange_options *options);
void rate_exchange_free(struct rate_exchange *x);

/** Sends the claims of this host to the owners of the limits. */
void rate_exchange_claim(struct rate_exchange *x,
			 const struct rate_claim *claims, uint32_t count);

/**
 * Answers the claims of another host. Returns the grants, of struct rate_grant,
 * which borrow from the claims; free with g_array_free().
 */
GArray *rate_exchange_answer(struct rate_exchange *x, const char *address,
			     const GArray *claims);

/** Handles the answer of another host to claims. */
void rate_exchange_handle_grants(struct rate_exchange *x, const char *address,
				 const GArray *grants);

/** Delivers the answers to claims that this host owed to itself. */
void rate_exchange_deliver_own(struct rate_exchange *x);

/**
 * Handles the end of a link: a claim on it is not answered. The host counts as
 * silent only if it could not be reached.
 */
void rate_exchange_note_closed(struct rate_exchange *x, const char *address,
			       bool is_undelivered);

/** Frees what is kept of keys without claims. */
void rate_exchange_sweep(struct rate_exchange *x);

#endif
