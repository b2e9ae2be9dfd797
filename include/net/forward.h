#ifndef NET_FORWARD_H
#define NET_FORWARD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "engine/engine.h"

/** Types of the frames that carry a query between hosts. */
enum forward_type {
	FORWARD_QUERY = 64,
	FORWARD_RESULT = 65,
	FORWARD_CANCEL = 66,
	FORWARD_EXPLAIN = 67,
	FORWARD_EXPLAIN_RESULT = 68,
};

/** Query of a caller that a host forwards to a holder. */
struct forward_query {
	uint64_t id;
	char request_id[ENGINE_ID_MAX];
	const char *service;
	/** NULL selects the service's own class. */
	const char *class;
	char key[ENGINE_ID_MAX];
	int64_t key_created_us;
	int64_t remaining_us;
	bool is_first_attempt;
	bool is_non_idempotent;
	/** The caller's request body. */
	const char *body;
	size_t body_len;
};

/** Result of a query or of FORWARD_EXPLAIN, from the holder. */
struct forward_result {
	uint64_t id;
	/** HTTP status for the caller. */
	uint32_t status;
	/** Retry-After for the caller; 0 omits the header. */
	uint32_t retry_after_s;
	const char *body;
	size_t body_len;
};

/** Decoded frame; strings point into buffer, which forward_free() frees. */
struct forward_frame {
	enum forward_type type;
	struct forward_query query;
	struct forward_result result;
	/** Set for FORWARD_CANCEL and FORWARD_EXPLAIN. */
	uint64_t id;
	/** Set for FORWARD_EXPLAIN. */
	char request_id[ENGINE_ID_MAX];
	char *buffer;
};

/** Encoded frame; free data with free(). */
struct forward_buffer {
	void *data;
	size_t len;
};

struct forward_buffer forward_encode_query(const struct forward_query *q);
struct forward_buffer forward_encode_result(enum forward_type type,
					    const struct forward_result *r);
struct forward_buffer forward_encode_cancel(uint64_t id);
struct forward_buffer forward_encode_explain(uint64_t id,
					     const char *request_id);

/** Returns whether the type of a frame is in enum forward_type. */
bool forward_is_frame(const void *data, size_t len);

/** Decodes a frame. Returns 0, or -ERR_FRAME with nothing to free. */
int forward_decode(const void *data, size_t len, struct forward_frame *out);

void forward_free(struct forward_frame *f);

#endif
