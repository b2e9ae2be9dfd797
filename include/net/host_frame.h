#ifndef NET_HOST_FRAME_H
#define NET_HOST_FRAME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "store/mirror.h"

/** Types of the frames between hosts that serve the platform's routes. */
enum host_frame_type {
	/** First frame of a link. */
	HOST_HELLO = 80,
	/** Asks for the changes of the store from a revision on. */
	HOST_SUBSCRIBE = 81,
	HOST_CHANGES = 82,
	/** Tells that the sender watches the store, and its revision. */
	HOST_PULSE = 83,
	HOST_UNSUBSCRIBE = 84,
	/** Asks another host to gather for a request. */
	HOST_GATHER = 85,
	HOST_GATHER_TAKEN = 86,
	HOST_GATHERED = 87,
	HOST_GATHER_CANCEL = 88,
};

#define HOST_PROTOCOL 2

/** Request that a host hands to another. Pointers are borrowed. */
struct gather_request {
	uint64_t id;
	const char *request_id;
	/** Version of the routes that the sender has in force. */
	uint64_t version;
	int64_t wait_us;
	/** Time left until the latency goal; may be negative. */
	int64_t goal_left_us;
	const char *method;
	const char *host;
	const char *target;
	/** Of struct http_header. */
	const GArray *headers;
	const char *body;
	size_t body_len;
	/** Shards to answer; none for all. */
	const char *const *shards;
	uint32_t shard_count;
	/** Hosts that gather such requests, of all regions; 0 if not known. */
	uint32_t gatherers;
};

/** Answer of the host that gathered. */
struct gather_result {
	uint64_t id;
	/** HTTP status; 0 if the host did not take the request. */
	uint32_t status;
	int32_t code;
	int64_t retry_after_us;
	const char *const *stamps;
	uint32_t stamp_count;
	/** Shards of the stamps, if some of the shards were asked for. */
	const char *const *shards;
	uint32_t shard_count;
	/** More shards of those asked for follow. */
	bool is_more;
	uint32_t missing_count;
	const void *body;
	size_t body_len;
};

/** Decoded frame. Texts and arrays are owned by the frame. */
struct host_frame {
	enum host_frame_type type;
	/** Of HOST_HELLO. */
	char *address;
	/** Of HOST_SUBSCRIBE and HOST_PULSE. */
	uint64_t revision;
	bool is_store_up;
	/** Of HOST_CHANGES. */
	struct store_changes *changes;
	struct gather_request request;
	struct gather_result result;
	/** Of HOST_GATHER_TAKEN and HOST_GATHER_CANCEL. */
	uint64_t id;
	GPtrArray *texts;
	GArray *headers;
};

/** Encoded frames; free with g_byte_array_free(). */
GByteArray *host_frame_hello(const char *address);
GByteArray *host_frame_subscribe(uint64_t revision);
GByteArray *host_frame_unsubscribe(void);
GByteArray *host_frame_pulse(uint64_t revision, bool is_store_up);
GByteArray *host_frame_changes(const struct store_changes *c);
GByteArray *host_frame_gather(const struct gather_request *r);
GByteArray *host_frame_taken(uint64_t id);
GByteArray *host_frame_cancel(uint64_t id);
GByteArray *host_frame_gathered(const struct gather_result *r);

/** Decodes a frame. Returns 0 or -ERR_FRAME; nothing is to be freed then. */
int host_frame_decode(const void *data, size_t len, struct host_frame *out);
void host_frame_clear(struct host_frame *f);

#endif
