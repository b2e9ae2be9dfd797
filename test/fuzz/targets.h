#ifndef TEST_FUZZ_TARGETS_H
#define TEST_FUZZ_TARGETS_H

#include <stddef.h>
#include <stdint.h>

/** Parser under test, which must accept or reject any input. */
struct fuzz_target {
	const char *name;
	/** Aborts the process if a property of the parser does not hold. */
	void (*run)(const uint8_t *data, size_t len);
};

/** All targets; the last one has no name. */
extern const struct fuzz_target fuzz_targets[];

#endif
