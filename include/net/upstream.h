#ifndef NET_UPSTREAM_H
#define NET_UPSTREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "common/clock.h"
#include "engine/engine.h"

/** Thread that sends leaf calls and report requests over HTTP. */
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

/** Outcome of a call, report or host list request. */
struct upstream_reply {
	/** 0 unless it was a call. */
	uint64_t call_id;
	struct engine_result result;
	/** Hits of a valid reply to a call, or the document; may be NULL. */
	json_t *body;
	/** Address that a report or host list was fetched from. */
	char *address;
	/** The body is the platform's host list. */
	bool is_host_list;
	/** Shard that was called. */
	char *shard;
	/** Time from the submission of the request, waiting included. */
	int64_t elapsed_us;
};

struct upstream_options {
	struct np_clock clock;
	/** Most commands queued to the thread; 0 selects 65536. */
	size_t queue_size;
	/** Connection limit of leaves without one of their own; 0: 32. */
	long max_connections_per_leaf;
	/** Rates of opening connections, and bursts; 0 selects a default. */
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

/** Joins the thread and drops all calls; they get no reply. */
void upstream_destroy(struct upstream *u);

/**
 * Queues a call. A call waits while its leaf's connections are all in use, and
 * is sent at most once. Returns 0, or -ERR_FULL and sends nothing.
 */
int upstream_start_call(struct upstream *u, const struct upstream_call *call);

/**
 * Cancels a call, which gets no reply. Its connection is closed if the request
 * has begun and no part of the reply has arrived.
 */
void upstream_cancel_call(struct upstream *u, uint64_t call_id);

/**
 * Sets the most connections to the leaf at an address. Open connections above
 * a lowered limit close as their calls end. Returns 0 or -ERR_FULL.
 */
int upstream_set_limit(struct upstream *u, const char *address,
		       uint32_t connections);

/** Requests the report of a leaf. Returns 0 or -ERR_FULL. */
int upstream_fetch_report(struct upstream *u, const char *address,
			  int64_t timeout_us);

/** Requests the host list of the platform. Returns 0 or -ERR_FULL. */
int upstream_fetch_host_list(struct upstream *u, const char *address,
			     int64_t timeout_us);

void upstream_reply_free(struct upstream_reply *reply);

#endif
