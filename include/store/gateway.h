#ifndef STORE_GATEWAY_H
#define STORE_GATEWAY_H

#include "store/store.h"

/** Size limit of a reply and of one message of a watch, in bytes. */
#define GATEWAY_REPLY_MAX (8 * 1024 * 1024)

/** Fields of a call that its reply is checked against. */
struct gateway_call {
	enum store_call call;
	char *key;
	bool is_prefix;
	/** Number of puts and deletions of a transaction. */
	size_t put_count;
	/** Keys read by a transaction; NULL-terminated, or NULL. */
	char **reads;
	int64_t lease_id;
};

/** Returns the path of a call in the etcd v3 JSON gateway. */
const char *gateway_path(enum store_call call);

/** These return the JSON body of a request; free with free(). */
char *gateway_encode_get(const struct store_get *get);
char *gateway_encode_txn(const struct store_txn *txn);
char *gateway_encode_watch(const struct store_watch *watch);
char *gateway_encode_grant(int64_t ttl_s);
char *gateway_encode_lease(int64_t lease_id);

/**
 * Decodes the body of a 200 reply, or one message of a watch, into out. Returns
 * 0 or the negative code of the first fault: -ERR_STORE_REPLY_...,
 * -ERR_STORE_LEASE_GONE, -ERR_STORE_COMPACTED, -ERR_STORE_WATCH_END, or a code
 * of gateway_decode_error() for an error in the message. The caller clears out
 * in every case.
 */
int gateway_decode(const struct gateway_call *call, const char *body,
		   size_t len, struct store_reply *out);

/**
 * Decodes the body of an error reply. Returns -ERR_STORE_REFUSED or
 * -ERR_STORE_LEASE_GONE if the call certainly had no effect, else
 * -ERR_STORE_DOWN or -ERR_STORE_REPLY_...
 */
int gateway_decode_error(const struct gateway_call *call, const char *body,
			 size_t len);

#endif
