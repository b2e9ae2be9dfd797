#ifndef NUTMEGPICKD_CATALOG_H
#define NUTMEGPICKD_CATALOG_H

#include "router/directory.h"
#include "router/router.h"
#include "store/mirror.h"

/** Routes, leaves and hosts as the store holds them. */
struct catalog {
	struct np_clock clock;
	struct router *router;
	struct host_directory *directory;
	struct store_mirror mirror;
	/** When the store came back last; 0 if it was never away. */
	int64_t back_at_us;
};

/**
 * Puts changes of the store in force and leaves in them only what is new.
 * Returns false if changes before them are missing.
 */
bool catalog_apply(struct catalog *c, struct store_changes *changes);

#endif
