#ifndef ROUTER_STORE_WITNESS_H
#define ROUTER_STORE_WITNESS_H

#include "router/directory.h"

/**
 * Finds out from statements of other hosts whether the store is away for all.
 * Some hosts of each failure domain are asked, others each time.
 */
struct store_witness;

struct store_witness *store_witness_create(struct host_directory *d);
void store_witness_free(struct store_witness *w);

/**
 * Returns the hosts to be asked now, of struct known_host, and notes that they
 * are; free the array.
 */
GPtrArray *store_witness_choose(struct store_witness *w, int64_t now_us);

/** What a host states about its contact with the store. */
struct store_contact {
	/** Time since it last heard of the store. */
	int64_t age_us;
	/** Time for which it has heard of the store without a break. */
	int64_t steady_us;
};

/** Notes the statement of a host. */
void store_witness_note(struct store_witness *w, const struct known_host *h,
			const struct store_contact *contact, int64_t now_us);

/**
 * Returns whether the hosts agree that the store is away: all other failure
 * domains and at least three of four hosts that were asked have stated within
 * 2 s that they have not heard of it for silent_us, and none has heard of it
 * much later than this host, which heard of it at heard_us. Hosts that have
 * left the records lately, gone of them, count as hosts without an answer.
 */
bool store_witness_agree(const struct store_witness *w, int64_t heard_us,
			 int64_t silent_us, guint gone, int64_t now_us);

/**
 * Returns whether at least half of the hosts that were asked, of those with
 * gone ones too, have stated within 2 s that they have heard of the store
 * without a break for steady_us. Then no host has found the opposite meanwhile.
 */
bool store_witness_is_steady(const struct store_witness *w, int64_t steady_us,
			     guint gone, int64_t now_us);

/** Returns the number of hosts of which questions or answers are kept. */
guint store_witness_count(const struct store_witness *w);

#endif
