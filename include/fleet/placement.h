#ifndef FLEET_PLACEMENT_H
#define FLEET_PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

#define PLACEMENT_MAX_DOMAINS 32
#define PLACEMENT_MAX_HOLDERS 256

/** Time after which every host is assumed to act on a new placement. */
#define PLACEMENT_SETTLE_US 12000000LL

/** Seat, by failure domain and number within it. */
struct seat_ref {
	uint16_t domain;
	uint16_t number;
};

/** Failure domain and its number of seats, as the fleet object declares. */
struct placement_domain {
	const char *name;
	uint16_t seats;
};

/** Input of the placement; it does not depend on the hosts. */
struct placement_layout {
	const struct placement_domain *domains;
	uint32_t domain_count;
};

/** Shard group with the limits of each of its leaves. */
struct placement_group {
	const char *name;
	uint32_t slots;
	uint32_t connections;
	/** Requested number of holders; 0 selects min(seats, slots). */
	uint32_t holders;
};

/** Share of the limits of one leaf that one holder may use. */
struct placement_share {
	uint32_t connections;
	uint32_t slots;
};

/** Returns the number of holders of a group. */
uint32_t placement_holder_count(const struct placement_layout *layout,
				const struct placement_group *group);

/**
 * Writes the holders of a group, in a fixed order, to out, which has room for
 * PLACEMENT_MAX_HOLDERS. Returns their number or -ERR_INVAL.
 */
int placement_holders(const struct placement_layout *layout,
		      const struct placement_group *group,
		      struct seat_ref *out);

/** Returns the position of a seat among the holders, or -1. */
int placement_rank(const struct seat_ref *holders, uint32_t count,
		   struct seat_ref seat);

/**
 * Returns the share of the holder at position rank of count holders. The
 * connections of all holders add up to the leaf's limit. So do the slots,
 * unless the group requests more holders than it has slots: then each holder
 * gets at least one slot.
 */
struct placement_share placement_share(const struct placement_group *group,
				       uint32_t count, uint32_t rank,
				       const char *leaf);

/**
 * Returns the share to use age_us after the change from an old placement to a
 * new one: the smaller of both until PLACEMENT_SETTLE_US, because other hosts
 * may still use their old shares.
 */
struct placement_share placement_transition(struct placement_share old,
					    struct placement_share new,
					    int64_t age_us);

/** Returns the position of the holder that owns a request key. */
uint32_t placement_key_owner(const struct placement_layout *layout,
			     const struct seat_ref *holders, uint32_t count,
			     const char *key);

#endif
