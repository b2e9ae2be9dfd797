#ifndef NUTMEGPICKD_SETTINGS_H
#define NUTMEGPICKD_SETTINGS_H

#include <stdint.h>

#include "common/events.h"
#include "objects/objects.h"

/** Settings of one host, read once at the start. */
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
	/** Address of the readiness check; NULL where it has none of its own. */
	char *listen_ready;
	/** Address of the metrics; NULL where they are not served. */
	char *listen_metrics;
	/** Store that holds routes and leaves; NULL where sets are published. */
	char *registry;
	/** Address for other hosts; NULL where the host works alone. */
	char *listen_peer;
	/** Addresses of other hosts to join through; may be NULL. */
	char **peer_seeds;
	/** Path of a local object set; NULL where a store is used. */
	char *objects_path;
	/** Addresses of the store; NULL-terminated, NULL where none is used. */
	char **store_endpoints;
	/** Address of the platform's host list; NULL where there is none. */
	char *host_list;
	/** Extra calls in 10 s that all hosts may make besides their ratio. */
	uint32_t extra_calls;
	enum event_level log_level;
	/** Time between the negative health check and the end of listening. */
	int64_t drain_delay_us;
	/** Longest wait for requests in flight at a stop. */
	int64_t stop_timeout_us;
	/**
	 * Time from SIGTERM until the process is killed, or 0. Where it is set,
	 * the two times above are made to fit.
	 */
	int64_t grace_us;
	int64_t report_interval_us;
};

/**
 * Reads settings from a TOML file. Returns 0, or a negative result code with
 * every fault in the list.
 */
int settings_load(const char *path, struct settings *out,
		  struct fault_list *faults);

/**
 * Returns the name of a setting that differs and cannot change while the
 * process runs, or NULL.
 */
const char *settings_fixed_difference(const struct settings *a,
				      const struct settings *b);

/** Prints every setting with its value. */
void settings_print(const struct settings *s);

void settings_clear(struct settings *s);

#endif
