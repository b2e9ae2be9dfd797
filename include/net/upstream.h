#ifndef NET_UPSTREAM_H
#define NET_UPSTREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "common/clock.h"
#include "engine/engine.h"

/** Thread that carries leaf calls and report requests over HTTP. */
struct upstream;

/** One leaf call; the strings are copied. */
struct upstream_call {
	uint64_t call_id;
	const char *address;
	const char *request_id;
	const char *shard;
	uint64_t snapshot;
	int64_t remaining_us;
	const char *body;
	size_t body_len;
};

/** Outcome of a call or of a report request; owned by the receiver. */
struct upstream_reply {
	/** 0 for a report. */
	uint64_t call_id;
	struct engine_result result;
	/** Hits of a reply that fits, or the report document; may be NULL. */
	json_t *body;
	/** Address that a report was asked from. */
	char *address;
	/** The body is the platform's host list. */
	bool is_host_list;
	/** Shard that a call was for. */
	char *shard;
	/** Time between request and reply. */
	int64_t elapsed_us;
};

struct upstream_options {
	struct np_clock clock;
	/** Most calls queued between threads; 0 selects 65536. */
	size_t queue_size;
	/** Most connections to a leaf without a limit of its own; 0: 32. */
	long max_connections_per_leaf;
	/** Connections opened per second, and at once; 0 selects a default. */
	double host_opens_per_second;
	double host_open_burst;
	double leaf_opens_per_second;
	double leaf_open_burst;
	/** Called on the upstream thread; the callee owns the reply. */
	void (*handle_reply)(void *ctx, struct upstream_reply *reply);
	void *ctx;
};

/** Starts the thread. Returns 0 or a negative result code. */
int upstream_create(struct upstream **out,
		    const struct upstream_options *options);

/** Cancels all calls without replies and joins the thread. */
void upstream_destroy(struct upstream *u);

/**
 * Queues a call. A call waits while its leaf's connections are all in use, and
 * is sent at most once. Returns 0 or -ERR_FULL: nothing was sent then.
 */
int upstream_start(struct upstream *u, const struct upstream_call *call);

/**
 * Cancels a call, which gets no reply. Its connection is closed if the request
 * was begun and no reply has come yet.
 */
void upstream_cancel(struct upstream *u, uint64_t call_id);

/**
 * Sets the most connections to the leaf at an address. Open connections above
 * a lowered limit close as their calls end. Returns 0 or -ERR_FULL.
 */
int upstream_set_limit(struct upstream *u, const char *address,
		       uint32_t connections);

/** Asks a leaf for its report. Returns 0 or -ERR_FULL. */
int upstream_fetch_report(struct upstream *u, const char *address,
			  int64_t timeout_us);

/** Asks the platform for its host list. Returns 0 or -ERR_FULL. */
int upstream_fetch_host_list(struct upstream *u, const char *address,
			     int64_t timeout_us);

void upstream_reply_free(struct upstream_reply *reply);

#endif
