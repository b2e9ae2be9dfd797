#ifndef TEST_STANDIN_STORE_H
#define TEST_STANDIN_STORE_H

#include <stdint.h>

#include <jansson.h>

/**
 * Stand-in for the platform's store: the JSON gateway of etcd v3 (range, txn
 * with compares of mod_revision, watch, leases) from memory. A watch is
 * answered when a change arrives or after 10 s, and its body ends there; a
 * client renews it from the next revision.
 *
 * POST /control takes a JSON object with any of these fields:
 *   outage: bool                  every connection is closed without effect
 *   outage_after_writes: n        the outage starts after n more writes
 *   lose_reply_of_write: n        the n-th write from now takes effect, and
 *                                 its connection is closed without a reply
 *   latency_ms: n                 replies are delayed
 *   stale_by: n                   ranges outside transactions are answered as
 *                                 of n revisions ago
 *   lapse_lease: id               the lease ends now; 0 ends all
 * GET /counts returns the number of calls by kind.
 */
struct store_standin;

/** Returns NULL if it cannot listen. */
struct store_standin *store_standin_create(const char *address);

uint16_t store_standin_port(const struct store_standin *s);

/** Takes the same changes as POST /control. */
void store_standin_control(struct store_standin *s, const json_t *changes);

#endif
