#ifndef FLEET_UPDATE_H
#define FLEET_UPDATE_H

#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"
#include "fleet/record.h"

/**
 * Reads, edits and writes seat tables in the store by compare-and-swap.
 * Conflicts are retried with jitter; a write with unknown outcome is resolved
 * by reading back.
 */
struct updater;

enum update_decision {
	/** The edited table is to be written. */
	UPDATE_WRITE,
	/** The table already holds the change. */
	UPDATE_DONE,
	/** The change no longer applies. */
	UPDATE_ABORT,
};

/** One change of one table. */
struct update {
	const char *domain;
	/** Decides on a table that was just read; may be called repeatedly. */
	enum update_decision (*edit)(void *ctx, struct seat_table *t);
	/** Called once: 0, or -ERR_STORE_CONFLICT if edit() aborted. */
	void (*finished)(void *ctx, int code);
	void *ctx;
};

struct updater_ops {
	/** Reads a key; the result comes through updater_result(). */
	void (*get)(void *ctx, uint64_t ticket, const char *key);
	/** Writes a key if its revision is still the given one (0: absent). */
	void (*cas)(void *ctx, uint64_t ticket, const char *key,
		    uint64_t revision, const void *data, size_t len);
};

struct updater_options {
	struct np_clock clock;
	uint64_t seed;
	const struct updater_ops *ops;
	void *ctx;
};

int updater_create(struct updater **out, const struct updater_options *options);
void updater_destroy(struct updater *u);

/** Starts a change; it goes on until it is finished. */
void updater_start(struct updater *u, const struct update *update);

/**
 * Result of a call. Code is 0, -ERR_STORE_NOT_FOUND, -ERR_STORE_CONFLICT,
 * -ERR_STORE_DOWN (not done) or -ERR_STORE_UNKNOWN (perhaps done). Revision and
 * data belong to a read.
 */
void updater_result(struct updater *u, uint64_t ticket, int code,
		    uint64_t revision, const void *data, size_t len);

void updater_advance(struct updater *u);
int64_t updater_next_timer(const struct updater *u);

#endif
