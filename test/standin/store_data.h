#ifndef TEST_STANDIN_STORE_DATA_H
#define TEST_STANDIN_STORE_DATA_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

/** One change of a key. */
struct store_change {
	int64_t revision;
	int64_t create_revision;
	int64_t version;
	int64_t lease;
	/** Base64, as received; NULL where the key was deleted. */
	char *value;
};

struct store_lease {
	int64_t id;
	int64_t ttl_s;
	int64_t end_us;
};

/** Keys with all their changes, and leases. */
struct store_data {
	int64_t revision;
	/** Changes of each key, oldest first, by the key's bytes. */
	GTree *keys;
	GHashTable *leases;
	int64_t last_lease;
	/** Changes between two revisions are one transaction. */
	bool is_changed;
};

void store_data_init(struct store_data *d);

/** Returns the JSON reply header. */
json_t *store_data_header(const struct store_data *d);

/** Answers a range request as of a revision; NULL if it is malformed. */
json_t *store_data_range(struct store_data *d, const json_t *request,
			 int64_t revision);

/** Runs a transaction; NULL if it is malformed. */
json_t *store_data_txn(struct store_data *d, const json_t *request);

/**
 * Returns the events of a watch's create request since from_revision, or NULL
 * if there are none.
 */
json_t *store_data_events(struct store_data *d, const json_t *create,
			  int64_t from_revision);

json_t *store_data_grant(struct store_data *d, const json_t *request,
			 int64_t now_us);

/** Returns NULL if the lease does not exist. */
json_t *store_data_keepalive(struct store_data *d, const json_t *request,
			     int64_t now_us);

/** Ends a lease and deletes its keys. Returns whether it existed. */
bool store_data_revoke(struct store_data *d, int64_t id);

/** Ends every lease whose time is over, or all of them. */
void store_data_lapse(struct store_data *d, int64_t now_us, bool is_all);

/** Returns an integer that is given as a number or as a string. */
int64_t store_data_integer(const json_t *object, const char *field);

#endif
