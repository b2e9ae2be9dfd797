#ifndef ROUTER_TOKEN_HANDOVER_H
#define ROUTER_TOKEN_HANDOVER_H

#include "router/directory.h"

/**
 * Keys that pass from the present owner to a host that joins and comes before
 * it by hash. The owner goes on until it hands the key over or for
 * TOKEN_DEFER_US, and never takes it back while the record of the other host
 * remains.
 */
struct token_handover;

/** Time for which an owner goes on after it saw the record of a new host. */
#define TOKEN_DEFER_US (12 * US_PER_S)

/** Question of a new host for a key, or the answer: the key is handed over. */
struct token_release {
	/** Borrowed. */
	const char *key;
	const char *domain;
	/** Lease on the record of the new host. */
	uint64_t lease;
	bool is_answer;
};

struct token_handover *token_handover_create(struct host_directory *d);
void token_handover_free(struct token_handover *h);

/** Forgets new hosts and keys that were handed over. */
void token_handover_clear(struct token_handover *h);

/** Notes that a host has left; before token_handover_update(). */
void token_handover_note_gone(struct token_handover *h, uint64_t name_hash);

/** Notes that the directory has the whole list of the store. */
void token_handover_note_listed(struct token_handover *h, int64_t now_us);

/**
 * Returns when so many hosts had joined beside this one that no owner goes on
 * for them; 0 if there were fewer. record_us is the time of this host's record.
 */
int64_t token_handover_many_arrived(const struct token_handover *h,
				    int64_t record_us);

/** Notes the hosts that are new; has_joined says whether this one may grant. */
void token_handover_update(struct token_handover *h, bool has_joined,
			   int64_t now_us);

/** Returns whether this host goes on in place of any new host. */
bool token_handover_is_deferring(const struct token_handover *h,
				 int64_t now_us);

/**
 * Returns whether this host, which grants a key since a time, goes on in place
 * of the first host.
 */
bool token_handover_defers(const struct token_handover *h,
			   const struct known_host *first, const char *key,
			   const char *domain, int64_t since_us,
			   int64_t now_us);

/**
 * Hands a key over that this host grants, or granted until it stopped, since a
 * time. Returns false if the first host is not new or has not waited;
 * is_stopping says that this host grants nothing any more.
 */
bool token_handover_release(struct token_handover *h,
			    const struct known_host *first, const char *key,
			    const char *domain, int64_t since_us,
			    bool is_stopping, int64_t now_us);

/** Returns whether the owner of a key is to be asked for it now; notes it. */
bool token_handover_ask(struct token_handover *h, const char *key,
			const char *domain, int64_t now_us);

/** Notes that the owner has handed over a key that this host has asked for. */
void token_handover_take(struct token_handover *h, const char *key,
			 const char *domain, int64_t now_us);

/** Returns when a key was handed over to this host; 0 if it was not. */
int64_t token_handover_taken(const struct token_handover *h, const char *key,
			     const char *domain);

#endif
