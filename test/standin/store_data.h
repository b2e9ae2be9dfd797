#ifndef TEST_STANDIN_STORE_DATA_H
#define TEST_STANDIN_STORE_DATA_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

/** One change of a key. */
struct store_change {
	/** Changes of one transaction have the same revision. */
	int64_t revision;
	int64_t create_revision;
	int64_t version;
	int64_t lease;
	/** Base64, as received; NULL if the change deleted the key. */
	char *value;
};

struct store_lease {
	int64_t id;
	int64_t ttl_s;
	int64_t expires_us;
};

/** Keys with their full history of changes, and leases. */
struct store_data {
	int64_t revision;
	/** Arrays of changes, oldest first; ordered by the key's bytes. */
	GTree *keys;
	GHashTable *leases;
	int64_t last_lease_id;
	/** Set by the first change. */
	bool is_changed;
};

void store_data_init(struct store_data *d);

/** Returns the JSON reply header. */
json_t *store_data_header(const struct store_data *d);

/**
 * Returns the reply to a range request with the data as of a revision, or NULL
 * if the request is malformed.
 */
json_t *store_data_range(struct store_data *d, const json_t *request,
			 int64_t revision);

/** Runs a transaction. Returns the reply, or NULL if it is malformed. */
json_t *store_data_txn(struct store_data *d, const json_t *request);

/**
 * Returns the events since from_revision in the range of a watch's create
 * request, or NULL if there are none.
 */
json_t *store_data_events(struct store_data *d, const json_t *create,
			  int64_t from_revision);

json_t *store_data_grant_lease(struct store_data *d, const json_t *request,
			       int64_t now_us);

/** Returns NULL if the lease does not exist. */
json_t *store_data_renew_lease(struct store_data *d, const json_t *request,
			       int64_t now_us);

/** Revokes a lease and deletes its keys. Returns whether it existed. */
bool store_data_revoke_lease(struct store_data *d, int64_t id);

/** Revokes every lease that has expired, or all leases if is_all is set. */
void store_data_expire_leases(struct store_data *d, int64_t now_us,
			      bool is_all);

/** Returns an integer field, which may be a JSON number or a string. */
int64_t store_data_integer(const json_t *object, const char *field);

#endif
