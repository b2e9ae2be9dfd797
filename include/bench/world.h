#ifndef BENCH_WORLD_H
#define BENCH_WORLD_H

#include "bench/replay.h"

#define LOAD_HISTORY 16
#define MAX_DOMAINS 64

enum call_stage { CALL_IN_TRANSIT, CALL_QUEUED, CALL_IN_SERVICE, CALL_DONE };

/* One attempt of a caller to have its request answered. */
struct attempt {
	struct replay_request *request;
	struct host *entry, *holder;
	int64_t deadline_us;
	/* Total weight and snapshot of the results accepted in this round. */
	uint64_t weight, snapshot;
	bool is_first, is_mixed, is_finished, is_answered;
	uint32_t key_range, runs;
	int code;
	enum run_state run;
	double coverage;
	/*
	 * Per shard: 0 if not called, 1 if called, otherwise the round in which
	 * a result was accepted. Rounds start at 2; a reset of the results
	 * starts the next round.
	 */
	uint8_t round, shards[];
};

/* One leaf call; freed at the end of the run. */
struct call {
	struct host *host;
	struct leaf *leaf;
	struct attempt *attempt;
	obj_handle shard;
	uint64_t snapshot;
	int64_t deadline_us;
	/* Hash that the service time is derived from. */
	uint64_t service_hash;
	enum call_stage stage;
	uint32_t host_epoch, leaf_epoch;
	bool is_connected, is_cancelled, is_ended;
	struct engine_result result;
};

/*
 * The epoch of a leaf or host identifies one run of its process. A call whose
 * epoch differs belongs to a process that has ended.
 */
struct leaf {
	obj_handle domain;
	const struct group_object *group;
	/* Calls in service and queued, by arrival. */
	GQueue calls;
	/* Idle connections are counted per host. */
	uint32_t in_service, open_connections, *idle_connections, epoch;
	double slow_factor;
	bool is_down;
	int64_t draining_since_us, cold_until_us;
	uint64_t snapshot;
	uint32_t load_history[LOAD_HISTORY];
};

struct host {
	struct world *world;
	uint32_t index, epoch;
	obj_handle domain;
	struct engine *engine;
	struct virtual_clock clock;
	GHashTable *calls;
	bool is_down, is_paused;
	int64_t timer_us, silent_since_us, tenure_us, lease_renewed_us;
	/* Host that owns the request keys of the seat of this host. */
	struct host *key_owner;
};

/* State of the simulation: hosts, leaves and scheduled events. */
struct world {
	struct replay_trace *trace;
	struct object_set *set;
	struct replay_counts *counts;
	GSequence *events;
	int64_t now_us, end_us;
	GRand *random;
	struct leaf *leaves;
	struct host *hosts;
	uint32_t host_count;
	bool domain_down[MAX_DOMAINS];
	double fault_values[FAULT_KINDS];
	GPtrArray *attempts, *calls;
};

typedef void event_fn(struct world *w, void *ctx);

/* Schedules run(w, ctx) after a delay. */
void world_schedule(struct world *w, int64_t delay_us, event_fn *run,
		    void *ctx);
int64_t world_base_delay(const struct world *w, obj_handle a, obj_handle b);
/* Returns a one-way delay with jitter and retransmissions. */
int64_t world_network_delay(struct world *w, obj_handle a, obj_handle b);

/* Sends a call to its leaf; the result arrives by host_handle_result(). */
void leaf_send_call(struct world *w, struct call *c);
void leaf_cancel_call(struct world *w, struct call *c);
int leaf_reported_load(const struct world *w, const struct leaf *l);
void call_close_connection(struct call *c);
event_fn leaf_stop, request_send, host_handle_result, host_advance;
void host_start(struct world *w, struct host *h);
void host_stop(struct world *w, struct host *h);
void host_handle_reports(struct world *w, struct host *h);
/*
 * Renews the lease of the host on its seat's request keys. If the host has been
 * silent, and its lease not renewed for 6 s, the next host takes the keys over.
 * The host takes them back when it is no longer silent.
 */
void host_renew_lease(struct world *w, struct host *h);

#endif
