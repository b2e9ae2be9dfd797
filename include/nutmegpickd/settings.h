#ifndef NUTMEGPICKD_SETTINGS_H
#define NUTMEGPICKD_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "common/events.h"
#include "objects/objects.h"
#include "router/router.h"

/** Settings of one host, read at the start and at a reload. */
struct settings {
	char *host_id;
	char *domain;
	/** Region of each failure domain, as "domain=region"; may be NULL. */
	char **domains;
	/** Processor time of the host in thousandths of a core. */
	uint32_t capacity;
	/** Fixed seat in the failure domain, or NO_SEAT. */
	int32_t seat;
	char *listen_http;
	/** Address of the readiness check; NULL if it has none of its own. */
	char *listen_ready;
	/** Address of the metrics; NULL if they are not served. */
	char *listen_metrics;
	/** Store that holds routes and leaves; NULL if object sets are used. */
	char *registry;
	/** Address for other hosts; NULL if the host works alone. */
	char *listen_peer;
	/** Addresses of other hosts to join through; may be NULL. */
	char **peer_seeds;
	/** Path of a local object set; NULL if a store is used. */
	char *objects_path;
	/** Addresses of the store; NULL-terminated. NULL if none is used. */
	char **store_endpoints;
	/** Address of the platform's host list; NULL if there is none. */
	char *host_list;
	/**
	 * Extra calls in 10 s that all hosts together may make to an upstream
	 * in addition to those that the ratio permits.
	 */
	uint32_t extra_calls;
	/** Refuse keys when the store was not heard for revoke_after_us. */
	bool revoke_strict;
	enum triage_mode triage;
	int64_t revoke_after_us;
	enum event_level log_level;
	/** Time from the negative readiness check to the end of listening. */
	int64_t drain_delay_us;
	/** Longest wait for requests in flight at a stop. */
	int64_t stop_timeout_us;
	/**
	 * Time from SIGTERM until the process is killed, or 0 if not known. If
	 * set, it bounds the two times above.
	 */
	int64_t grace_us;
	int64_t report_interval_us;
};

/**
 * Reads settings from a TOML file. Returns 0, or a negative result code after
 * adding every fault to the list.
 */
int settings_load(const char *path, struct settings *out,
		  struct fault_list *faults);

/**
 * Returns the idle time for which callers may reuse a connection, in us: a stop
 * outlasts it, so it closes no connection on which a request is on its way.
 * 0 if the stop is too short for that.
 */
int64_t settings_keep_alive(const struct settings *s);

/**
 * Returns the name of a string or address setting that differs, or NULL. Such a
 * setting cannot change while the process runs.
 */
const char *settings_fixed_difference(const struct settings *a,
				      const struct settings *b);

/** Prints every setting with its value. */
void settings_print(const struct settings *s);

void settings_clear(struct settings *s);

#endif
