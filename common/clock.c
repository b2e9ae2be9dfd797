#include "common/clock.h"

#include <time.h>

static int64_t read_clock(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return ts.tv_sec * US_PER_S + ts.tv_nsec / 1000;
}

static int64_t handle_system_monotonic(void *ctx)
{
	return read_clock(CLOCK_MONOTONIC);
}

static int64_t handle_system_wall(void *ctx)
{
	return read_clock(CLOCK_REALTIME);
}

static int64_t handle_system_boot(void *ctx)
{
	return read_clock(CLOCK_BOOTTIME);
}

static int64_t handle_virtual_monotonic(void *ctx)
{
	const struct virtual_clock *v = ctx;

	return v->now_us;
}

static int64_t handle_virtual_wall(void *ctx)
{
	const struct virtual_clock *v = ctx;

	return v->now_us + v->wall_offset_us;
}

static int64_t handle_virtual_boot(void *ctx)
{
	const struct virtual_clock *v = ctx;

	return v->now_us + v->boot_offset_us;
}

struct np_clock clock_system(void)
{
	struct np_clock c = {
		.monotonic_us = handle_system_monotonic,
		.wall_us = handle_system_wall,
		.boot_us = handle_system_boot,
	};

	return c;
}

struct np_clock clock_virtual(struct virtual_clock *v)
{
	struct np_clock c = {
		.monotonic_us = handle_virtual_monotonic,
		.wall_us = handle_virtual_wall,
		.boot_us = handle_virtual_boot,
		.ctx = v,
	};

	return c;
}
