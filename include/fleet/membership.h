#ifndef FLEET_MEMBERSHIP_H
#define FLEET_MEMBERSHIP_H

#include <glib.h>

#include "common/clock.h"
#include "fleet/frame.h"

/** Entry of another host in the member table. */
struct member {
	struct frame_update info;
	/** Hash of the host id. */
	uint64_t hash;
	/** Time of the last frame that the host itself sent. */
	int64_t last_heard_us;
	/**
	 * Time of the last change of the state or seat in this table, or of
	 * the last probe because of a suspicion by others.
	 */
	int64_t changed_us;
	/**
	 * Time at which probes by this host began to fail; 0 if the last one
	 * succeeded.
	 */
	int64_t unreachable_since_us;
	/** Time of the next additional probe, and the number that remains. */
	int64_t next_reprobe_us;
	uint32_t reprobes_left;
	/** Number of frames that are still to carry the entry. */
	uint32_t transmits_left;
	/** Whether the entry is in the gossip queue, and its link there. */
	bool is_gossip_queued;
	GList gossip_link;
	/** Whether the entry is in the push queue. */
	bool is_push_queued;
};

/**
 * Member table: the hosts of the fleet, kept up to date by SWIM probing with
 * suspicion and refutation. Uses no sockets and no threads, and reads the time
 * from the given clock.
 */
struct membership;

struct membership_ops {
	/** Adds the version and the key owners to a frame and sends it. */
	void (*send)(void *ctx, const char *address, struct frame *f);
	/** Called when a host appears or its state or seat changes. */
	void (*changed)(void *ctx, const struct member *m,
			enum member_state old);
};

struct membership_options {
	struct np_clock clock;
	uint64_t seed;
	const struct membership_ops *ops;
	void *ctx;
	const char *host;
	const char *address;
	const char *domain;
	/** Must be larger than at any earlier start of the same host id. */
	uint64_t incarnation;
	/** Addresses to join through; must outlive the table. */
	const char *const *seeds;
	uint32_t seed_count;
};

/** Creates a table of this host alone. Returns 0 or a negative result code. */
int membership_create(struct membership **out,
		      const struct membership_options *options);
void membership_destroy(struct membership *m);

/** Handles a frame of type HELLO, PING, PING_REQ, ACK, GOSSIP or PULL. */
void membership_receive(struct membership *m, const struct frame *f);

/** Runs the timers that are due. */
void membership_advance(struct membership *m);

/** Returns the monotonic time of the next timer. */
int64_t membership_next_timer(const struct membership *m);

/** Sets and announces the seat of this host, or NO_SEAT. */
void membership_set_seat(struct membership *m, int32_t seat);

/** Announces that this host leaves; do not advance the table afterwards. */
void membership_leave(struct membership *m);

/** Returns this host's own record. */
const struct frame_update *membership_self(const struct membership *m);

/** Returns a host by id, or NULL. */
const struct member *membership_find(const struct membership *m,
				     const char *host);

/** Returns the host that holds a seat, alive or suspect, or NULL. */
const struct member *membership_find_seat(const struct membership *m,
					  const char *domain, uint16_t seat);

/** Returns all known hosts except this one, including dead ones. */
const struct member *const *membership_list(const struct membership *m,
					    uint32_t *count);

/** Returns the number of alive or suspect hosts, including this one. */
uint32_t membership_size(const struct membership *m);

/**
 * Returns whether the last membership_advance() or membership_receive() found
 * a timer so late that this host must have been paused.
 */
bool membership_was_paused(const struct membership *m);

/** Picks up to count distinct random alive hosts. Returns their number. */
uint32_t membership_pick(struct membership *m, uint32_t count,
			 const struct member **out);

/** Sends a frame with gossip to an address. */
void membership_send(struct membership *m, const char *address,
		     struct frame *f);

/** Returns the approximate memory use of the table in bytes. */
size_t membership_memory(const struct membership *m);

#endif
