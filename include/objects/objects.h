#ifndef OBJECTS_OBJECTS_H
#define OBJECTS_OBJECTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Handle that refers to no object. */
#define OBJ_NONE UINT32_MAX

/** Index into one of the tables of an object set. */
typedef uint32_t obj_handle;

/** Failure domain of the fleet. */
struct domain_object {
	char *name;
	char *region;
	uint32_t seats;
};

/** Default and upper limit of a request's deadline, in microseconds. */
struct deadline_object {
	char *name;
	int64_t default_us;
	int64_t max_us;
};

struct retry_object {
	char *name;
	uint32_t attempts;
	int64_t backoff_us;
	/** Limit of extra calls, in percent of needed calls. */
	double budget_percent;
};

struct hedge_object {
	char *name;
	double quantile;
	int64_t min_delay_us;
	int64_t max_delay_us;
};

/** Admission class: kind and worth of requests. */
struct class_object {
	char *name;
	char *kind;
	uint32_t worth;
	/** Share of capacity reserved for the class, in percent. */
	double floor_percent;
};

struct drain_object {
	char *name;
	/** Time after the first notice in which new work is still sent. */
	int64_t notice_us;
	/** Time in which work in flight must finish. */
	int64_t linger_us;
};

/** Upstream that serves one replica of one shard. */
struct leaf_object {
	char *address;
	obj_handle domain;
	obj_handle shard;
};

/** Part of an index; its leaves are consecutive rows of the leaf table. */
struct shard_object {
	char *name;
	obj_handle group;
	uint64_t weight;
	obj_handle first_leaf;
	uint32_t leaf_count;
};

/** Shard group; its shards are consecutive rows of the shard table. */
struct group_object {
	char *name;
	uint32_t slots;
	uint32_t connections;
	int64_t connect_cost_us;
	/** Number of holders; 0 selects min(seats, slots). */
	uint32_t holders;
	obj_handle first_shard;
	uint32_t shard_count;
};

/** Routing policies; those after the first are baselines for comparison. */
enum service_policy {
	POLICY_NUTMEGPICK,
	POLICY_ROUND_ROBIN,
	POLICY_NAIVE_RETRY,
};

/** Shards that a query goes to. */
enum fan_out {
	FAN_OUT_ALL,
	/**
	 * The one shard with the highest rendezvous hash of the request key.
	 */
	FAN_OUT_KEY,
};

struct service_object {
	char *name;
	obj_handle *groups;
	uint32_t group_count;
	obj_handle deadline;
	/** retry, hedge and drain are OBJ_NONE if the service has none. */
	obj_handle retry;
	obj_handle hedge;
	obj_handle class;
	obj_handle drain;
	double min_coverage_percent;
	bool early_answer;
	bool idempotent;
	enum fan_out fan_out;
	uint32_t top_k;
	enum service_policy policy;
};

/** Checked, immutable set of objects; handles index its arrays. */
struct object_set {
	int refs;
	/** Version under which the set was published; 0: not published. */
	uint64_t version;
	struct domain_object *domains;
	uint32_t domain_count;
	struct deadline_object *deadlines;
	uint32_t deadline_count;
	struct retry_object *retries;
	uint32_t retry_count;
	struct hedge_object *hedges;
	uint32_t hedge_count;
	struct class_object *classes;
	uint32_t class_count;
	struct drain_object *drains;
	uint32_t drain_count;
	struct group_object *groups;
	uint32_t group_count;
	struct shard_object *shards;
	uint32_t shard_count;
	struct leaf_object *leaves;
	uint32_t leaf_count;
	struct service_object *services;
	uint32_t service_count;
};

/** One fault found while a set was read or checked. */
struct object_fault {
	char *file;
	int line;
	/** Positive result code, ERR_OBJ_... */
	int code;
	/** Object and field, such as "service.browse.hedge". */
	char *field;
	char *message;
};

/** Growing list of faults. */
struct fault_list {
	struct object_fault *items;
	size_t count;
	size_t capacity;
};

/**
 * Reads and checks the TOML file at path, or every *.toml file if path is a
 * folder. Adds all faults to the list. Returns 0 and a set with one reference,
 * or the negative code of the first fault and no set.
 */
int object_set_load(const char *path, struct object_set **out,
		    struct fault_list *faults);

/** Same as object_set_load() for one TOML text; faults have name as file. */
int object_set_parse(const char *text, const char *name,
		     struct object_set **out, struct fault_list *faults);

/**
 * Reads and checks the canonical JSON form that object_set_encode() returns.
 * Returns the same as object_set_load().
 */
int object_set_decode(const char *json, size_t len, struct object_set **out,
		      struct fault_list *faults);

/**
 * Returns the canonical JSON form, equal for equal sets; free with free().
 */
char *object_set_encode(const struct object_set *set);

struct object_set *object_set_ref(struct object_set *set);
void object_set_unref(struct object_set *set);

/** Returns the handle of the named service, or OBJ_NONE. */
obj_handle object_set_find_service(const struct object_set *set,
				   const char *name);

/** Formats a fault as "file:line: E<code> field: message"; free with free(). */
char *object_fault_format(const struct object_fault *fault);

void fault_list_clear(struct fault_list *faults);

#endif
