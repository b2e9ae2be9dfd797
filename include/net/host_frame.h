#ifndef NET_HOST_FRAME_H
#define NET_HOST_FRAME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "router/rate_shares.h"
#include "router/token_exchange.h"
#include "store/mirror.h"

/** Types of the frames between hosts that serve the platform's routes. */
enum host_frame_type {
	/** First frame of each side of a link. */
	HOST_HELLO = 80,
	/** Subscribes to the changes of the store after a time. */
	HOST_SUBSCRIBE = 81,
	HOST_CHANGES = 82,
	/** Heartbeat with the time of the mirror and whether the store is up. */
	HOST_HEARTBEAT = 83,
	HOST_UNSUBSCRIBE = 84,
	/** Asks another host to gather the shards' answers to a request. */
	HOST_GATHER = 85,
	/** Accepts a HOST_GATHER; the result follows later. */
	HOST_GATHER_ACCEPTED = 86,
	HOST_GATHER_RESULT = 87,
	HOST_GATHER_CANCEL = 88,
	/** Claims shares of the rate limits of leaves. */
	HOST_RATE_CLAIMS = 89,
	/** Answers claims. */
	HOST_RATE_GRANTS = 90,
	/** Claims tokens of rates that all hosts share. */
	HOST_TOKEN_CLAIMS = 91,
	/** Answers claims of tokens. */
	HOST_TOKEN_GRANTS = 92,
	/** States which host records the sender has. */
	HOST_TOKEN_VIEW = 93,
	HOST_TOKEN_RELEASE = 94,
};

#define HOST_PROTOCOL 3

/** Request that a host forwards for gathering. Pointers are borrowed. */
struct gather_request {
	uint64_t id;
	const char *request_id;
	/** Version of the sender's routes in force. */
	uint64_t version;
	/** Time left for which the sender waits. */
	int64_t wait_us;
	/** Time left until the latency goal; a negative one is sent as 0. */
	int64_t goal_left_us;
	const char *method;
	const char *host;
	const char *target;
	/** Of struct http_header. */
	const GArray *headers;
	const char *body;
	size_t body_len;
	/** Shards to ask; an empty list selects all. */
	const char *const *shards;
	uint32_t shard_count;
	/** Number of hosts in all regions that gather; 0 if unknown. */
	uint32_t gatherers;
	/**
	 * Organisation of the caller, whose key the sender has checked; empty
	 * if there is none. NULL is sent as empty.
	 */
	const char *organisation;
};

/** Answer of the host that gathered. Pointers are borrowed. */
struct gather_result {
	uint64_t id;
	/** HTTP status; 0 if the host refused the request. */
	uint32_t status;
	int32_t code;
	int64_t retry_after_us;
	const char *const *stamps;
	uint32_t stamp_count;
	/** Shards of the stamps, if the request listed its shards. */
	const char *const *shards;
	uint32_t shard_count;
	/** Another frame follows with more of the listed shards. */
	bool is_more;
	uint32_t missing_count;
	const void *body;
	size_t body_len;
};

/** Decoded frame; only the fields of its type are set. */
struct host_frame {
	enum host_frame_type type;
	/** Listening address of the sender, in HOST_HELLO. */
	char *address;
	/** Set for HOST_SUBSCRIBE and HOST_HEARTBEAT. */
	struct store_time time;
	/** Set for HOST_HEARTBEAT. */
	bool is_store_up;
	/** Set for HOST_CHANGES. */
	struct store_changes *changes;
	/** Items of changes that cannot be read and are left out. */
	uint32_t unread_count;
	/** Set for HOST_GATHER. */
	struct gather_request request;
	/** Set for HOST_GATHER_RESULT. */
	struct gather_result result;
	/** Set for HOST_GATHER_ACCEPTED and HOST_GATHER_CANCEL. */
	uint64_t id;
	/** Set for HOST_RATE_CLAIMS, of struct rate_claim. */
	GArray *rate_claims;
	/** Set for HOST_RATE_GRANTS, of struct rate_grant. */
	GArray *rate_grants;
	/** Set for HOST_TOKEN_CLAIMS, of struct token_claim. */
	GArray *token_claims;
	/** Set for HOST_TOKEN_GRANTS, of struct token_grant. */
	GArray *token_grants;
	/** Set for HOST_TOKEN_VIEW. */
	struct token_view token_view;
	/** Set for HOST_TOKEN_RELEASE. */
	struct token_release token_release;
	/** Memory of the strings, bodies and arrays of the other fields. */
	GPtrArray *allocations;
	/** Headers of the request; the strings are in allocations. */
	GArray *headers;
};

/** Encode frames; free the result with g_byte_array_free(). */
GByteArray *host_frame_hello(const char *address);
GByteArray *host_frame_subscribe(struct store_time time);
GByteArray *host_frame_unsubscribe(void);
GByteArray *host_frame_heartbeat(struct store_time time, bool is_store_up);
GByteArray *host_frame_changes(const struct store_changes *c);
GByteArray *host_frame_gather(const struct gather_request *r);
GByteArray *host_frame_gather_accepted(uint64_t id);
GByteArray *host_frame_gather_cancel(uint64_t id);
GByteArray *host_frame_gather_result(const struct gather_result *r);
/** claims is of struct rate_claim, grants of struct rate_grant. */
GByteArray *host_frame_rate_claims(const GArray *claims);
GByteArray *host_frame_rate_grants(const GArray *grants);
/** claims is of struct token_claim, grants of struct token_grant. */
GByteArray *host_frame_token_claims(const GArray *claims);
GByteArray *host_frame_token_grants(const GArray *grants);
GByteArray *host_frame_token_view(const struct token_view *view);
GByteArray *host_frame_token_release(const struct token_release *release);

/** Decodes a frame. Returns 0, or -ERR_FRAME with out already cleared. */
int host_frame_decode(const void *data, size_t len, struct host_frame *out);
void host_frame_clear(struct host_frame *f);

#endif
