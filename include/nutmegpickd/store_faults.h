#ifndef NUTMEGPICKD_STORE_FAULTS_H
#define NUTMEGPICKD_STORE_FAULTS_H

#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"

/**
 * Counts and logs what one thread cannot read of the platform's store. Lines of
 * one kind are spaced out, and each counts those since the line before.
 */
struct store_faults {
	struct np_clock clock;
	/** Entries since the last line, and the earliest time of the next. */
	uint64_t entries;
	int64_t next_entry_line_us;
	/** The same for replies. */
	uint64_t replies;
	int64_t next_reply_line_us;
};

void store_faults_init(struct store_faults *f, struct np_clock clock);

/**
 * Notes entries of a reply that are left out. The key is that of the first one,
 * in printable characters, or NULL if it has none.
 */
void store_faults_note_entries(struct store_faults *f, const char *call,
			       uint32_t count, const char *key);

/** Notes a complete reply of which nothing can be used. */
void store_faults_note_reply(struct store_faults *f, const char *call,
			     uint64_t revision, size_t bytes);

#endif
