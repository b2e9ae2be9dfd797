#ifndef FLEET_RECORD_H
#define FLEET_RECORD_H

#include <stddef.h>
#include <stdint.h>

#include "fleet/frame.h"

/** One start of a host: its id and incarnation. An empty id is no host. */
struct host_ref {
	char id[HOST_ID_MAX];
	uint64_t incarnation;
};

/** Record of one seat in the store. */
struct seat_record {
	uint16_t number;
	/** Host that occupies the seat; no host after a release. */
	struct host_ref host;
	/** Owner of the seat's request keys, normally the seat's host. */
	struct host_ref owner;
	/** Host that may take the keys over from the owner. */
	struct host_ref successor;
	/** Increases with each change of owner or successor. */
	uint64_t epoch;
	/** Wall time at which the owner's tenure began. */
	int64_t tenure_us;
};

/** Seat records of one failure domain, stored as one value. */
struct seat_table {
	struct seat_record *records;
	uint32_t count;
	uint32_t capacity;
};

/** Returns the record of a seat, or NULL. */
struct seat_record *seat_table_find(const struct seat_table *t,
				    uint16_t number);

/** Adds an empty record. Returns NULL if out of memory. */
struct seat_record *seat_table_add(struct seat_table *t, uint16_t number);

/** Frees the records and empties the table. */
void seat_table_clear(struct seat_table *t);

/** Encodes a table; free data with free(). Returns 0 or -ERR_NOMEM. */
int seat_table_encode(const struct seat_table *t, void **data, size_t *len);

/**
 * Replaces the table with a stored value; length 0 gives an empty table.
 * Returns 0, or -ERR_SEAT_RECORD or -ERR_NOMEM with an empty table.
 */
int seat_table_decode(struct seat_table *t, const void *data, size_t len);

/** Returns whether both refer to the same start of the same host. */
int host_ref_equals(const struct host_ref *a, const struct host_ref *b);

#endif
