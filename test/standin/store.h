#ifndef TEST_STANDIN_STORE_H
#define TEST_STANDIN_STORE_H

#include <stdint.h>

#include <jansson.h>

/**
 * In-memory stand-in for the platform's store: the JSON gateway of etcd v3
 * (range, txn with compares of mod_revision, watch, leases). The reply to a
 * watch is sent and ends at the first change or after 10 s; the client then
 * starts a new watch from the next revision.
 *
 * POST /control takes a JSON object with any of these fields:
 *   outage: bool                  every call is dropped without effect
 *   outage_after_writes: n        the outage starts after n more writes
 *   lose_reply_of_write: n        the n-th write from now takes effect, but
 *                                 its connection is closed without a reply
 *   latency_ms: n                 replies are delayed by n ms
 *   stale_by: n                   ranges outside transactions return the data
 *                                 of n revisions ago
 *   lapse_lease: id               the lease expires now; 0: all leases
 * GET /counts returns the number of calls by kind.
 */
struct store_standin;

/** Starts the store. Returns NULL if it cannot listen. */
struct store_standin *store_standin_create(const char *address);

uint16_t store_standin_port(const struct store_standin *s);

/** Applies the same fields as POST /control. */
void store_standin_control(struct store_standin *s, const json_t *changes);

#endif
