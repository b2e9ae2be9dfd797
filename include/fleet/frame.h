#ifndef FLEET_FRAME_H
#define FLEET_FRAME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Size of the length prefix of a frame and limit of the rest, in bytes. */
#define FRAME_PREFIX 4
#define FRAME_MAX 2097152

/** Lowest and highest protocol version that this release supports. */
#define FRAME_VERSION_LOW 1
#define FRAME_VERSION_HIGH 1

/** Sizes of text fields in bytes, including the final NUL. */
#define HOST_ID_MAX 40
#define HOST_ADDRESS_MAX 48
#define DOMAIN_NAME_MAX 32
#define PART_NAME_MAX 72

#define NO_SEAT (-1)
#define MAX_SEATS 65536

/**
 * Types of the frames between hosts. FORWARD, RESULT, CANCEL, EXPLAIN and
 * EXPLAIN_RESULT are reserved: queries are sent as the frames of net/forward.h,
 * which have types of their own.
 */
enum frame_type {
	FRAME_HELLO = 1,
	FRAME_PING = 2,
	FRAME_PING_REQ = 3,
	FRAME_ACK = 4,
	FRAME_GOSSIP = 5,
	FRAME_PULL = 6,
	FRAME_SET = 7,
	FRAME_FORWARD = 8,
	FRAME_RESULT = 9,
	FRAME_CANCEL = 10,
	FRAME_LEASE = 11,
	FRAME_LEASE_ACK = 12,
	FRAME_EXPLAIN = 13,
	FRAME_EXPLAIN_RESULT = 14,
};

enum member_state {
	MEMBER_ALIVE,
	MEMBER_SUSPECT,
	MEMBER_DEAD,
	MEMBER_LEFT,
};

/** Membership record of one host, as the sender of a frame has it. */
struct frame_update {
	char host[HOST_ID_MAX];
	char address[HOST_ADDRESS_MAX];
	char domain[DOMAIN_NAME_MAX];
	uint64_t incarnation;
	enum member_state state;
	/** Seat number in the host's domain, or NO_SEAT. */
	int32_t seat;
};

/**
 * Owner of a seat's request keys. Sent only if another host than the seat's
 * owns the keys or has owned them.
 */
struct frame_key_owner {
	char domain[DOMAIN_NAME_MAX];
	uint16_t seat;
	uint64_t epoch;
	char host[HOST_ID_MAX];
};

/** State of the sender that PING, PING_REQ, ACK, GOSSIP and PULL carry. */
struct frame_gossip {
	/** Version of the object set in force on the sender. */
	uint64_t version;
	/** Digest of the sender's table of live members. */
	uint64_t digest;
	struct frame_update sender;
	const struct frame_update *updates;
	uint32_t update_count;
	const struct frame_key_owner *owners;
	uint32_t owner_count;
};

struct frame_hello {
	uint32_t version_low;
	uint32_t version_high;
	bool is_reply;
	struct frame_update sender;
};

struct frame_ping {
	uint64_t seq;
};

struct frame_ping_req {
	uint64_t seq;
	char target[HOST_ID_MAX];
	char address[HOST_ADDRESS_MAX];
};

struct frame_ack {
	uint64_t seq;
	/** Host that was probed; an indirect probe's ACK is relayed. */
	char subject[HOST_ID_MAX];
};

struct frame_pull {
	/** Asks for the whole member table. */
	bool is_full;
	/** Asks for this part of the object set; empty asks for gossip only. */
	char part[PART_NAME_MAX];
	uint64_t version;
};

struct frame_set {
	uint64_t version;
	char part[PART_NAME_MAX];
	const void *data;
	uint32_t size;
};

enum lease_answer {
	/** The successor does not take the keys over for the lease time. */
	LEASE_PROMISED,
	/** The sender makes no promise. */
	LEASE_REFUSED,
	/** The record in the store names the receiver as the new owner. */
	LEASE_HANDED,
};

/** Heartbeat of a key owner, the answer to one, or a handover. */
struct frame_lease {
	char domain[DOMAIN_NAME_MAX];
	uint16_t seat;
	uint64_t epoch;
	uint64_t seq;
	char host[HOST_ID_MAX];
	uint64_t incarnation;
	/** Sent in LEASE_ACK only. */
	enum lease_answer answer;
};

/** One frame; gossip is set for PING, PING_REQ, ACK, GOSSIP and PULL. */
struct frame {
	enum frame_type type;
	struct frame_gossip gossip;
	union {
		struct frame_hello hello;
		struct frame_ping ping;
		struct frame_ping_req ping_req;
		struct frame_ack ack;
		struct frame_pull pull;
		struct frame_set set;
		struct frame_lease lease;
	};
};

/** Encoder and decoder of frames that reuses its buffers between calls. */
struct frame_codec;

/** Creates a codec. Returns 0 or -ERR_NOMEM. */
int frame_codec_create(struct frame_codec **out);
void frame_codec_destroy(struct frame_codec *c);

/**
 * Encodes a frame with its length prefix. The bytes are valid until the next
 * call. Returns 0, -ERR_FRAME_TYPE, -ERR_FRAME_SIZE or -ERR_NOMEM.
 */
int frame_encode(struct frame_codec *c, const struct frame *f,
		 const void **data, size_t *len);

/**
 * Decodes one whole frame with its prefix. Pointers in the frame are valid
 * until the next call; the data of a SET frame is valid as long as the input.
 * Returns 0, -ERR_FRAME (malformed), -ERR_FRAME_TRUNCATED, -ERR_FRAME_SIZE,
 * -ERR_FRAME_TYPE or -ERR_NOMEM; the link is closed on any error.
 */
int frame_decode(struct frame_codec *c, const void *data, size_t len,
		 struct frame *out);

/**
 * Reads a length prefix of FRAME_PREFIX bytes. Returns the size of the payload
 * or -ERR_FRAME_SIZE.
 */
int frame_payload_size(const void *prefix);

/**
 * Returns the type of a frame or a negative result code. The rest is not
 * decoded, so a link can pass frames to the libraries that decode them.
 */
int frame_peek_type(const void *data, size_t len);

/** Returns the highest common protocol version, or -ERR_FRAME_VERSION. */
int frame_select_version(const struct frame_hello *hello);

#endif
