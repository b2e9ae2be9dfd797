#ifndef NET_TRANSPORT_H
#define NET_TRANSPORT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"

/**
 * All links of this host to its peers, the other hosts: length-prefixed frames
 * over TCP, on one thread. Each side of a link sends a hello frame first. The
 * first frame to an address opens a link, which is closed when it has been idle
 * for long.
 */
struct transport;

/** Id of a link; 0 is no link. Ids are never reused. */
typedef uint64_t link_id;

/** Size of a peer's address string, with its NUL. */
#define PEER_ADDRESS_MAX 32

struct transport_options {
	/** IP number and port to listen on. */
	const char *address;
	struct np_clock clock;
	/** Hello frame of this host; copied. */
	const void *hello;
	size_t hello_len;
	/** Largest frame in bytes; 0 selects 2 MB. */
	size_t max_frame_bytes;
	/**
	 * Most bytes of incomplete frames on all links; above that, the link
	 * with the most is closed. 0 selects 32 MiB.
	 */
	size_t max_unread_bytes;
	/** Most bytes waiting to be sent on a link; 0 selects 8 MB. */
	size_t max_queue_bytes;
	/** Most links; above that, the one idle longest is closed. 0: 512. */
	unsigned int max_links;
	/** Timeout of a connection and its hello; 0 selects 2 s. */
	int64_t connect_timeout_us;
	/** Idle time after which a link is closed; 0 selects 60 s. */
	int64_t idle_us;
	/**
	 * Checks a hello frame and writes the peer's listening address. The
	 * link is closed if the result is negative.
	 */
	int (*handle_hello)(void *ctx, const void *data, size_t len,
			    char address[PEER_ADDRESS_MAX]);
	/** Handles a frame. The data is valid during the call. */
	void (*handle_frame)(void *ctx, link_id link, const char *address,
			     const void *data, size_t len);
	/**
	 * Called when a link is closed; frames queued on it may be lost. If
	 * is_undelivered is set, the connection was never established and no
	 * frame has reached the peer.
	 */
	void (*handle_closed)(void *ctx, link_id link, const char *address,
			      bool is_undelivered);
	void *ctx;
};

/** Starts the thread. Returns 0, -ERR_INVAL, -ERR_NOMEM or -ERR_NET_LISTEN. */
int transport_create(struct transport **out,
		     const struct transport_options *options);

/** Closes all links and joins the thread. */
void transport_destroy(struct transport *t);

/** Returns the port that this host listens on for links. */
uint16_t transport_port(const struct transport *t);

/**
 * Queues a frame to the peer at an address. Returns 0, -ERR_NOMEM or -ERR_FULL.
 * A frame is dropped if the link fails, which handle_closed() reports, or if
 * the link's queue is full.
 */
int transport_send(struct transport *t, const char *address, const void *data,
		   size_t len);

/** Queues a frame on a link. Returns as transport_send(). */
int transport_reply(struct transport *t, link_id link, const void *data,
		    size_t len);

/** Counts of frames and bytes since the start. */
struct transport_counts {
	uint64_t frames_in;
	uint64_t frames_out;
	uint64_t bytes_in;
	uint64_t bytes_out;
	uint64_t frames_dropped;
};

struct transport_counts transport_get_counts(const struct transport *t);

#endif
