#ifndef COMMON_CLOCK_H
#define COMMON_CLOCK_H

#include <stdint.h>

#define US_PER_MS 1000LL
#define US_PER_S 1000000LL

/** Source of time; tests pass a virtual clock. */
struct np_clock {
	/** Returns monotonic time in microseconds. */
	int64_t (*monotonic_us)(void *ctx);
	/** Returns wall time in microseconds since the epoch. */
	int64_t (*wall_us)(void *ctx);
	void *ctx;
	/**
	 * Returns monotonic time that includes the time for which the machine
	 * was suspended, in microseconds; NULL if it never is.
	 */
	int64_t (*boot_us)(void *ctx);
};

/** Clock that advances only when its fields are set. */
struct virtual_clock {
	int64_t now_us;
	int64_t wall_offset_us;
	int64_t boot_offset_us;
};

/** Returns the operating system's clock. */
struct np_clock clock_system(void);

/** Returns a clock that reads v, which must outlive it. */
struct np_clock clock_virtual(struct virtual_clock *v);

/** Returns monotonic time in microseconds. */
static inline int64_t clock_now(const struct np_clock *c)
{
	return c->monotonic_us(c->ctx);
}

/** Returns wall time in microseconds since the epoch. */
static inline int64_t clock_wall(const struct np_clock *c)
{
	return c->wall_us(c->ctx);
}

/**
 * Returns monotonic time in microseconds, with the time for which the machine
 * was suspended.
 */
static inline int64_t clock_boot(const struct np_clock *c)
{
	return c->boot_us ? c->boot_us(c->ctx) : c->monotonic_us(c->ctx);
}

#endif
