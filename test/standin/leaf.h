#ifndef TEST_STANDIN_LEAF_H
#define TEST_STANDIN_LEAF_H

#include <stdint.h>

/** Stand-in for a leaf with its own port; see test/standin/README.md. */
struct leaf;

struct leaf_options {
	/** IP number and port. */
	const char *address;
	const char *shard;
	int64_t slots;
	/** Limit of open connections; others wait to be accepted. */
	unsigned int connections;
	int64_t service_us;
};

/** Starts a leaf. Returns NULL if it cannot listen. */
struct leaf *leaf_create(const struct leaf_options *options);

#endif
