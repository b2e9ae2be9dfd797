#ifndef ROUTER_TOKEN_EXCHANGE_H
#define ROUTER_TOKEN_EXCHANGE_H

#include <glib.h>

#include "router/directory.h"
#include "router/token_cache.h"

/**
 * Claims and grants of tokens between hosts. Claims go to the first owner of a
 * key, and to the second one while the first is silent. As an owner this host
 * answers claims, and decides what it may grant: at no time do two hosts grant
 * all of a rate.
 *
 * The regions divide each quota equally, and each has its own owners. Claims go
 * to the owners of this host's region, and to those of the other regions if
 * they are silent, may not grant or have too few tokens.
 *
 * A host grants all if it is the first host by hash in its own mirror of the
 * host records, and has heard of the store for TOKEN_JOIN_US without a break,
 * and no host before it has left within that time. It need not wait if every
 * host of its mirror states that it has the same one, and has seen no host
 * leave within TOKEN_JOIN_US: then no host with an older mirror grants.
 *
 * A host that has not heard of the store grants nothing, unless hosts of other
 * failure domains have not heard of it either: then the records do not change.
 *
 * Claims of single tokens of a quota are first answered by this host's own
 * cache.
 */
struct token_exchange;

/**
 * A host without contact for this time grants nothing. Hosts that watch the
 * store hear of it each 2.1 s at least. When it is away for all, this leaves
 * time to learn it from other hosts.
 */
#define TOKEN_CONTACT_US (5 * US_PER_S)
/**
 * Time from the start of a host, or from the record of an earlier owner being
 * gone, until this host grants. It exceeds the time within which a host that
 * grants learns of a change of the records: a watch of 2.1 s, TOKEN_CONTACT_US
 * and TOKEN_PAUSE_US.
 */
#define TOKEN_JOIN_US (9 * US_PER_S)
/** A host that was paused for longer has lost contact meanwhile. */
#define TOKEN_PAUSE_US (1500 * US_PER_MS)

/** Statement of a host about its mirror of the host records. */
struct token_view {
	/** Hash of the names and addresses of the hosts. */
	uint64_t hash;
	/** A host has left the mirror within TOKEN_JOIN_US. */
	bool has_gone;
	/** The host has heard of the store lately. */
	bool has_store;
	/** Answers the statement of another host. */
	bool is_answer;
};

/** Operations of the adapter. They must not call the exchange. */
struct token_exchange_ops {
	/** Sends the statement of this host to another one. */
	void (*send_view)(void *ctx, const char *address,
			  const struct token_view *view);
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
	const struct token_exchange_ops *ops;
	void *ctx;
};

struct token_exchange *
token_exchange_create(const struct token_exchange_options *options);
void token_exchange_free(struct token_exchange *x);

/**
 * Notes the changes of the host records and pauses of this process. To be
 * called at least every TOKEN_PAUSE_US, before claims are handled.
 */
void token_exchange_advance(struct token_exchange *x);

/**
 * Lets this host grant as soon as it may, before it gets the first claim. Only
 * for hosts with rates in their configuration.
 */
void token_exchange_prepare(struct token_exchange *x);

/** Notes that this host heard of the store, itself or through its feed. */
void token_exchange_note_store(struct token_exchange *x, int64_t at_us);

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

/** Handles the statement of another host. */
void token_exchange_handle_view(struct token_exchange *x, const char *address,
				const struct token_view *view);

/** This host stops: it grants nothing any more. */
void token_exchange_stop(struct token_exchange *x);

/** Handles the end of a link. */
void token_exchange_note_closed(struct token_exchange *x, const char *address,
				bool is_undelivered);

/** Frees what is kept of keys without claims. */
void token_exchange_sweep(struct token_exchange *x);

#endif
