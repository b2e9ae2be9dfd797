#ifndef ROUTER_TOKEN_EXCHANGE_H
#define ROUTER_TOKEN_EXCHANGE_H

#include <glib.h>

#include "router/directory.h"
#include "router/token_cache.h"
#include "router/token_owner.h"

/**
 * Claims and grants of tokens between hosts. Claims go to the first owner of a
 * key, and to the second one while the first is silent. As an owner this host
 * answers claims with what struct token_owner permits.
 *
 * The regions divide each quota equally, and each has its own owners. Claims go
 * to the owners of this host's region, and to those of the other regions if
 * they are silent, may not grant or have too few tokens.
 *
 * Claims of single tokens of a quota are first answered by this host's own
 * cache.
 */
struct token_exchange;

/** Operations of the adapter. They must not call the exchange. */
struct token_exchange_ops {
	/** Sends the statement of this host to another one. */
	void (*send_view)(void *ctx, const char *address,
			  const struct token_view *view);
	/** Sends a question for a key, or the answer, to another host. */
	void (*send_release)(void *ctx, const char *address,
			     const struct token_release *release);
	/** Sends claims, of struct token_claim, to another host. */
	void (*send_claims)(void *ctx, const char *address,
			    const GArray *claims);
	/** Delivers a grant to the claimant of its key on this host. */
	void (*deliver_grant)(void *ctx, const struct token_grant *grant);
	/**
	 * Replaces the limit in a claim by this host's if that is newer; NULL
	 * if claims are to be taken as they are.
	 */
	void (*update_limit)(void *ctx, const char *key,
			     struct token_limit *limit);
};

struct token_exchange_options {
	struct np_clock clock;
	struct host_directory *directory;
	/** Distinguishes this process from others. */
	uint32_t seed;
	/** This host has no links: it owns all keys. */
	bool is_alone;
	/** As in struct token_owner_options. */
	bool is_leased;
	const struct token_exchange_ops *ops;
	void *ctx;
};

struct token_exchange *
token_exchange_create(const struct token_exchange_options *options);
void token_exchange_free(struct token_exchange *x);

/**
 * Notes the changes of the host records and pauses of this process. To be
 * called at least every TOKEN_PAUSE_US.
 */
void token_exchange_advance(struct token_exchange *x);

/** Returns the part that decides what this host may grant. */
struct token_owner *token_exchange_owner(struct token_exchange *x);

/** Sends claims, of struct token_claim, to the owners. */
void token_exchange_claim(struct token_exchange *x, const GArray *claims);

/**
 * Answers the claims of another host. Returns the grants, of struct
 * token_grant, which borrow from the claims; free with g_array_free().
 */
GArray *token_exchange_answer(struct token_exchange *x, const GArray *claims);

/** Handles the answer of another host to claims. */
void token_exchange_handle_grants(struct token_exchange *x, const char *address,
				  const GArray *grants);

/**
 * Opens links to up to 24 owners of quotas, those of this host's region first,
 * and keeps them open: a claim over a new link takes three times as long, which
 * the first requests of an organisation at a host would wait for. To be called
 * each second while there are quotas.
 */
void token_exchange_keep_links(struct token_exchange *x);

/**
 * Claims tokens for the cache of this host, as far as they are due. To be
 * called as often as token_exchange_advance().
 */
void token_exchange_fill_cache(struct token_exchange *x);

/** Returns the time of the next such claim; INT64_MAX if none is due. */
int64_t token_exchange_next_timer(const struct token_exchange *x);

/** Delivers the answers to claims that this host owed to itself. */
void token_exchange_deliver_own(struct token_exchange *x);

/** Handles the end of a link. */
void token_exchange_note_closed(struct token_exchange *x, const char *address,
				bool is_undelivered);

/** Frees what is kept of keys without claims. */
void token_exchange_sweep(struct token_exchange *x);

#endif
