#ifndef NET_UPSTREAM_REPLY_H
#define NET_UPSTREAM_REPLY_H

#include "net/upstream.h"

/** What the HTTP library knows of a finished transfer. */
struct upstream_transfer {
	const char *request_id;
	const char *shard;
	/** Snapshot that was asked for; 0 if the leaf was to choose. */
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
 * Judges a transfer. Only a whole reply that names the attempt, request,
 * shard and snapshot that were asked yields CALL_OK with its hits.
 */
void upstream_judge(const struct upstream_transfer *t,
		    struct upstream_reply *reply);

#endif
