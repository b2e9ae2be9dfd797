#ifndef ROUTER_TOKEN_OWNER_H
#define ROUTER_TOKEN_OWNER_H

#include <glib.h>

#include "router/directory.h"
#include "router/token_handover.h"
#include "router/token_lease.h"
#include "router/token_pool.h"

/**
 * Decides what this host may grant of the rates that all hosts share, and since
 * when. At no time do two hosts grant all of a rate.
 *
 * A host grants all if it is the first host by hash in its own mirror of the
 * host records, and has heard of the store for TOKEN_JOIN_US without a break.
 * It need not wait if every host of its mirror states that it has the same one,
 * and has seen no host leave within TOKEN_JOIN_US: then no host with an older
 * mirror grants.
 *
 * A host grants only while its record cannot have expired. So the next host may
 * grant as soon as the record is gone. It waits for TOKEN_JOIN_US if it had no
 * contact with the store within the last 15 s.
 *
 * A host that comes before the present owner takes each key over from it 9 s
 * after the owner saw its record. Without an answer it waits until the owner
 * has stopped by itself, which it does after TOKEN_DEFER_US.
 *
 * A process that takes over the record of an earlier one of the same host,
 * which had joined, need not wait for TOKEN_JOIN_US.
 *
 * A host that grants nothing for a while, since it was paused or without
 * contact, goes on if the same lease has been renewed after that, its mirror is
 * up to date, and this took less than a lease.
 *
 * A host that has not heard of the store grants nothing, unless hosts of other
 * failure domains have not heard of it either: then the records do not change,
 * and they may expire while their hosts go on.
 */
struct token_owner;

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

/** Shortest time for which the store keeps a record that is not renewed. */
#define TOKEN_STORE_LEASE_US (15 * US_PER_S)
/**
 * A host grants for this time after the start of the last renewal of its
 * record, so that it has stopped when the record expires.
 */
#define TOKEN_LEASE_US (14 * US_PER_S)

/** Statement of a host about its mirror of the host records. */
struct token_view {
	/** Hash of the names, addresses and leases of the hosts. */
	uint64_t hash;
	/** A host has left the mirror within TOKEN_JOIN_US. */
	bool has_gone;
	/** The host has heard of the store lately. */
	bool has_store;
	/** Time since it last has. */
	int64_t store_age_us;
	/** Time for which it had contact with the store without a break. */
	int64_t store_steady_us;
	/** The host goes on in place of a new one, see token_handover.h. */
	bool is_deferring;
	/** Answers the statement of another host. */
	bool is_answer;
	/** When the other host asked, by its clock. */
	int64_t asked_us;
};

struct token_owner_options {
	struct np_clock clock;
	struct host_directory *directory;
	/**
	 * The renewals of the record's lease are reported; if not, this host
	 * waits for TOKEN_JOIN_US after another one has left.
	 */
	bool is_leased;
	/**
	 * Sends the statement of this host to another one; NULL if there are no
	 * links. It must not call the owner.
	 */
	void (*send_view)(void *ctx, const char *address,
			  const struct token_view *view);
	/** Sends a question for a key, or the answer, in the same way. */
	void (*send_release)(void *ctx, const char *address,
			     const struct token_release *release);
	void *ctx;
};

struct token_owner *
token_owner_create(const struct token_owner_options *options);
void token_owner_free(struct token_owner *o);

/**
 * Notes the changes of the host records and pauses of this process. To be
 * called at least every TOKEN_PAUSE_US, before claims are handled. has_granted
 * says whether this host holds buckets of keys.
 */
void token_owner_advance(struct token_owner *o, bool has_granted);

/**
 * Lets this host grant as soon as it may, before it gets the first claim. Only
 * for hosts with rates in their configuration.
 */
void token_owner_prepare(struct token_owner *o);

/** Notes that this host heard of the store, itself or through its feed. */
void token_owner_note_store(struct token_owner *o, int64_t at_us);

/** Notes that the mirror has the whole list of the store. */
void token_owner_note_listed(struct token_owner *o);

/** Notes that a call to the store has failed, or the store is lost. */
void token_owner_note_store_lost(struct token_owner *o);

/**
 * Notes that the store has renewed, or granted, the lease on this host's
 * record, with the time at which the call was started.
 */
void token_owner_note_renewal(struct token_owner *o, uint64_t lease,
			      const struct lease_time *started);

/**
 * Notes that a lease, and with it the record, was taken over from an earlier
 * process of this host, which had joined: this one need not wait. To be called
 * before the first renewal is reported.
 */
void token_owner_note_inherited(struct token_owner *o, uint64_t lease);

/** Returns whether this host may grant and rates are used. */
bool token_owner_has_joined(const struct token_owner *o);

/** Returns the time since which this host has had contact and its record. */
int64_t token_owner_joined_us(const struct token_owner *o);

/** Returns when this host last heard of the store. */
int64_t token_owner_store_us(const struct token_owner *o);

/** Notes that the mirror has all changes of the store made before a time. */
void token_owner_note_mirror(struct token_owner *o, int64_t at_us);

/**
 * Returns whether this host grants nothing until its record has been renewed
 * and its mirror is known to be up to date.
 */
bool token_owner_needs_check(const struct token_owner *o);

/** Handles the statement of another host. */
void token_owner_handle_view(struct token_owner *o, const char *address,
			     const struct token_view *view);

/** Handles a question for a key, or an answer. */
void token_owner_handle_release(struct token_owner *o, const char *address,
				const struct token_release *release);

/** This host stops: it grants nothing any more. */
void token_owner_stop(struct token_owner *o);

/**
 * Returns what this host may grant of the key of a claim, and since when. The
 * owners are those of the key by the directory; they may be any hosts of it.
 */
enum token_part token_owner_part(struct token_owner *o,
				 const struct token_claim *c,
				 const struct rate_owners *owners,
				 int64_t *since_us);

#endif
