#ifndef NET_UPSTREAM_REPLY_H
#define NET_UPSTREAM_REPLY_H

#include "net/upstream.h"

/** State of a finished transfer, as the HTTP library reports it. */
struct upstream_transfer {
	const char *request_id;
	const char *shard;
	/** Requested snapshot; 0 lets the leaf choose. */
	uint64_t snapshot;
	bool is_connected;
	bool is_timed_out;
	bool is_failed;
	long bytes_sent;
	long status;
	/** Values of reply headers; NULL where absent. */
	const char *run;
	const char *state;
	const char *load;
	const char *body;
	size_t body_len;
};

/**
 * Sets the result of a reply from its transfer. CALL_OK with the hits needs a
 * complete reply with the attempt, request, shard and snapshot of the call.
 */
void upstream_classify_transfer(const struct upstream_transfer *t,
				struct upstream_reply *reply);

#endif
