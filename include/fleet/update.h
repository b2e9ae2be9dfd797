#ifndef FLEET_UPDATE_H
#define FLEET_UPDATE_H

#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"
#include "fleet/record.h"

/**
 * Reads, edits and writes seat tables in the store by compare-and-swap.
 * Conflicts are retried with backoff and jitter. After a write with unknown
 * outcome the table is read again.
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

/** Change of the seat table of one failure domain. */
struct update {
	const char *domain;
	/** Edits the table that was read; called again after each read. */
	enum update_decision (*edit)(void *ctx, struct seat_table *t);
	/** Called once with 0, or -ERR_STORE_CONFLICT if edit() aborted. */
	void (*finished)(void *ctx, int code);
	void *ctx;
};

struct updater_ops {
	/** Reads a key; the result goes to updater_receive_result(). */
	void (*get)(void *ctx, uint64_t ticket, const char *key);
	/** Writes a key if its revision equals the given one (0: absent). */
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

/** Starts a change, which is retried until it succeeds or edit() aborts. */
void updater_start(struct updater *u, const struct update *update);

/**
 * Takes the result of get() or cas(): 0, -ERR_STORE_NOT_FOUND,
 * -ERR_STORE_CONFLICT, -ERR_STORE_DOWN (not done) or -ERR_STORE_UNKNOWN
 * (perhaps done). Only a read has a revision and data.
 */
void updater_receive_result(struct updater *u, uint64_t ticket, int code,
			    uint64_t revision, const void *data, size_t len);

void updater_advance(struct updater *u);
int64_t updater_next_timer(const struct updater *u);

#endif
