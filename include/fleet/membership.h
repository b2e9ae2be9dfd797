#ifndef FLEET_MEMBERSHIP_H
#define FLEET_MEMBERSHIP_H

#include <glib.h>

#include "common/clock.h"
#include "fleet/frame.h"

/** One host as this host knows it. */
struct member {
	struct frame_update info;
	/** Hash of the host id. */
	uint64_t hash;
	/** Last frame that came from the host itself. */
	int64_t heard_us;
	/** When the state last changed here. */
	int64_t changed_us;
	/** Since when this host itself cannot reach it; 0 if it can. */
	int64_t unreached_us;
	int64_t reprobe_us;
	uint32_t reprobes;
	/** Frames that still carry the state. */
	uint32_t transmits;
	bool is_queued;
	GList link;
	bool is_fresh;
};

/**
 * Table of hosts, kept by SWIM probing with suspicion and refutation. Uses no
 * sockets and no threads; time comes from the clock.
 */
struct membership;

struct membership_ops {
	/** Sends a frame whose gossip holds everything but the version. */
	void (*send)(void *ctx, const char *address, struct frame *f);
	/** A host appeared, changed its state or its seat. */
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
	/** Larger than at any earlier start of the same host id. */
	uint64_t incarnation;
	/** Addresses to join through; must outlive the table. */
	const char *const *seeds;
	uint32_t seed_count;
};

/** Creates a table with this host alone. Returns 0 or a negative code. */
int membership_create(struct membership **out,
		      const struct membership_options *options);
void membership_destroy(struct membership *m);

/** Takes a frame of type HELLO, PING, PING_REQ, ACK, GOSSIP or PULL. */
void membership_receive(struct membership *m, const struct frame *f);

/** Runs what is due. */
void membership_advance(struct membership *m);

/** Returns the monotonic time of the next timer. */
int64_t membership_next_timer(const struct membership *m);

/** Announces a seat of this host, or NO_SEAT. */
void membership_set_seat(struct membership *m, int32_t seat);

/** Announces that this host leaves; the table is not used afterwards. */
void membership_leave(struct membership *m);

/** Returns this host's own record. */
const struct frame_update *membership_self(const struct membership *m);

/** Returns a host by id, or NULL. */
const struct member *membership_find(const struct membership *m,
				     const char *host);

/** Returns the host that holds a seat, alive or suspect, or NULL. */
const struct member *membership_find_seat(const struct membership *m,
					  const char *domain, uint16_t seat);

/** Returns all known hosts but this one, dead ones included. */
const struct member *const *membership_list(const struct membership *m,
					    uint32_t *count);

/** Returns the number of hosts alive or suspect, this one included. */
uint32_t membership_size(const struct membership *m);

/** Returns whether the last timers ran so late that the host was paused. */
bool membership_was_paused(const struct membership *m);

/** Picks up to count distinct random live hosts. Returns their number. */
uint32_t membership_pick(struct membership *m, uint32_t count,
			 const struct member **out);

/** Sends a frame with gossip to an address. */
void membership_send(struct membership *m, const char *address,
		     struct frame *f);

/** Returns the bytes of memory that the table uses. */
size_t membership_memory(const struct membership *m);

#endif
