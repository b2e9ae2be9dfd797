#ifndef BENCH_WORLD_H
#define BENCH_WORLD_H

#include "bench/replay.h"

#define LOAD_HISTORY 16
#define MAX_DOMAINS 64

enum call_place { CALL_TRAVELLING, CALL_QUEUED, CALL_IN_SERVICE, CALL_LEFT };

/* One try of a caller to have its request answered. */
struct attempt {
	struct replay_request *request;
	struct host *entry, *holder;
	int64_t deadline_us;
	uint64_t weight, snapshot;
	bool is_first, is_mixed, is_finished, is_answered;
	uint32_t key_range, runs;
	int code;
	enum run_state run;
	double coverage;
	/* By shard: 0 not called, 1 called, above: accepted in this round. */
	uint8_t round, shards[];
};

/* One leaf call; kept until the end of the run. */
struct call {
	struct host *host;
	struct leaf *leaf;
	struct attempt *attempt;
	obj_handle shard;
	uint64_t snapshot;
	int64_t deadline_us;
	/* Hash that the service time is derived from. */
	uint64_t draw;
	enum call_place place;
	uint32_t host_epoch, leaf_epoch;
	bool is_connected, is_cancelled, is_ended;
	struct engine_result result;
};

/* The epoch of a leaf or host changes when its process ends. */
struct leaf {
	obj_handle domain;
	const struct group_object *group;
	/* Calls in service and queued, by arrival. */
	GQueue calls;
	/* Open connections; those that are idle by host. */
	uint32_t in_service, open, *idle, epoch;
	double slowness;
	bool is_down;
	int64_t draining_us, cold_until_us;
	uint64_t snapshot;
	uint32_t loads[LOAD_HISTORY];
};

struct host {
	struct world *world;
	uint32_t index, epoch;
	obj_handle domain;
	struct engine *engine;
	struct virtual_clock clock;
	GHashTable *calls;
	bool is_down, is_paused;
	int64_t timer_us, silent_us, tenure_us, renewed_us;
	/* Host that owns the request keys of this host's seat. */
	struct host *key_owner;
};

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
	double settings[FAULT_KINDS];
	GPtrArray *attempts, *calls;
};

typedef void event_fn(struct world *w, void *ctx);

/* Schedules run(w, ctx). */
void world_after(struct world *w, int64_t delay_us, event_fn *run, void *ctx);
int64_t world_base_delay(const struct world *w, obj_handle a, obj_handle b);
/* Returns a one-way delay with jitter and retransmissions. */
int64_t world_delay(struct world *w, obj_handle a, obj_handle b);

/* The end of a sent call comes through host_take_result(). */
void leaf_send(struct world *w, struct call *c);
void leaf_cancel(struct world *w, struct call *c);
int leaf_reported_load(const struct world *w, const struct leaf *l);
void call_close(struct call *c);
event_fn leaf_stop, request_send, host_take_result, host_advance;
void host_start(struct world *w, struct host *h);
void host_stop(struct world *w, struct host *h);
void host_take_reports(struct world *w, struct host *h);
/* Renews the key lease, or hands the seat's keys over or back. */
void host_renew_lease(struct world *w, struct host *h);

#endif
