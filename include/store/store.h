#ifndef STORE_STORE_H
#define STORE_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Largest value that the platform's store accepts, in bytes. */
#define STORE_VALUE_MAX (1024 * 1024)

enum store_call {
	STORE_GET,
	STORE_TXN,
	STORE_WATCH,
	STORE_LEASE_GRANT,
	STORE_LEASE_KEEPALIVE,
	STORE_LEASE_REVOKE,
	STORE_CALL_COUNT,
};

/** Value of one key; len does not count the terminating NUL. */
struct store_entry {
	char *key;
	char *value;
	size_t len;
	/** Store revision of the last change. */
	int64_t mod_revision;
	/** Lease that the key is bound to, or 0. */
	int64_t lease_id;
	/** Set in watch events only. */
	bool is_deleted;
};

/** Reply to a call; which fields are set depends on the call. */
struct store_reply {
	/**
	 * 0 or a negative result code. -ERR_STORE_UNKNOWN: a write may or may
	 * not have taken effect. Any other failure of a write states that it
	 * had no effect.
	 */
	int code;
	/** Failure that led to -ERR_STORE_UNKNOWN, or 0. */
	int cause;
	/** Store revision at which the call was answered. */
	int64_t revision;
	/** Whether all compares of a transaction held. */
	bool is_applied;
	/** Result of a get or of a transaction's reads, or watch events. */
	struct store_entry *entries;
	size_t count;
	int64_t lease_id;
	int64_t ttl_s;
};

/** Callback for a reply; the reply is valid only until it returns. */
struct store_callback {
	void (*handle_reply)(void *ctx, struct store_reply *reply);
	void *ctx;
};

struct store_get {
	const char *key;
	/** Read every key that starts with key. */
	bool is_prefix;
};

struct store_compare {
	const char *key;
	/** Expected revision of the key's last change; 0: no such key. */
	int64_t mod_revision;
};

struct store_put {
	const char *key;
	/** NULL deletes the key. */
	const char *value;
	size_t len;
	int64_t lease_id;
};

/**
 * Applies all puts if all compares hold, else none. In both cases the reads
 * belong to the same atomic step, come after the puts and are never stale.
 */
struct store_txn {
	const struct store_compare *compares;
	size_t compare_count;
	const struct store_put *puts;
	size_t put_count;
	const char *const *reads;
	size_t read_count;
};

struct store_watch {
	const char *key;
	bool is_prefix;
	/** First revision whose changes are sent; 0: changes from now on. */
	int64_t from_revision;
};

/**
 * Operations of a key-value store. Calls do not block; run() delivers their
 * replies on the thread that calls it. A watch gets one reply per batch of
 * changes, and ends with a reply whose code is negative; the code of a normal
 * end is -ERR_STORE_WATCH_END.
 */
struct store_ops {
	void (*get)(void *ctx, const struct store_get *get,
		    struct store_callback done);
	void (*txn)(void *ctx, const struct store_txn *txn,
		    struct store_callback done);
	uint64_t (*watch)(void *ctx, const struct store_watch *watch,
			  struct store_callback done);
	/** Cancels a watch; its callback is not called again. */
	void (*watch_cancel)(void *ctx, uint64_t watch_id);
	void (*lease_grant)(void *ctx, int64_t ttl_s,
			    struct store_callback done);
	/** Replies -ERR_STORE_LEASE_GONE if the lease no longer exists. */
	void (*lease_keepalive)(void *ctx, int64_t lease_id,
				struct store_callback done);
	void (*lease_revoke)(void *ctx, int64_t lease_id,
			     struct store_callback done);
	/** Waits for replies for at most timeout_us and delivers them. */
	void (*run)(void *ctx, int64_t timeout_us);
	/** Makes run() return early; only this may run on other threads. */
	void (*wake)(void *ctx);
};

struct store {
	const struct store_ops *ops;
	void *ctx;
};

/** Asynchronous calls. They increment the counter of their kind. */
void store_get(struct store *s, const struct store_get *get,
	       struct store_callback done);
void store_txn(struct store *s, const struct store_txn *txn,
	       struct store_callback done);
uint64_t store_watch(struct store *s, const struct store_watch *watch,
		     struct store_callback done);
void store_watch_cancel(struct store *s, uint64_t watch_id);
void store_lease_grant(struct store *s, int64_t ttl_s,
		       struct store_callback done);
void store_lease_keepalive(struct store *s, int64_t lease_id,
			   struct store_callback done);
void store_lease_revoke(struct store *s, int64_t lease_id,
			struct store_callback done);
void store_run(struct store *s, int64_t timeout_us);
void store_wake(struct store *s);

/**
 * Blocking calls: they run the store until the reply arrives. They return the
 * reply's code; the caller clears the reply in every case.
 */
int store_get_wait(struct store *s, const struct store_get *get,
		   struct store_reply *out);
int store_txn_wait(struct store *s, const struct store_txn *txn,
		   struct store_reply *out);

void store_reply_clear(struct store_reply *reply);

/** Appends an entry with copies of the key and the value. */
struct store_entry *store_reply_add(struct store_reply *reply, const char *key,
				    const char *value, size_t len);

/** Returns the first entry with the key, or NULL. */
const struct store_entry *store_reply_find(const struct store_reply *reply,
					   const char *key);

/**
 * Delivers the reply to its callback and clears it, and counts a failed call;
 * for adapters.
 */
void store_deliver_reply(enum store_call call, struct store_callback done,
			 struct store_reply *reply);

/** Counts one more call of a kind; for adapters that retry a call. */
void store_count_call(enum store_call call);

/** Returns the number of calls of a kind since the process started. */
uint64_t store_call_count(enum store_call call);

const char *store_call_name(enum store_call call);

#endif
