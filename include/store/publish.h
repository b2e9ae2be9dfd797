#ifndef STORE_PUBLISH_H
#define STORE_PUBLISH_H

#include "objects/objects.h"
#include "store/store.h"

#define PUBLISH_KEY_POINTER "np/current"
#define PUBLISH_KEY_HISTORY "np/history/"
#define PUBLISH_KEY_PART "np/part/"
#define PUBLISH_KEY_FENCE "np/fence/"

/** Largest part of a set, in bytes. */
#define PUBLISH_PART_MAX (512 * 1024)
/** Most parts of a set. */
#define PUBLISH_PARTS_MAX 256

/**
 * Record of a published version. The store keeps each record in the history,
 * and the newest one under PUBLISH_KEY_POINTER as well.
 */
struct publish_record {
	uint64_t version;
	/** "<version>-<token>", with the version that the publish writes. */
	char *publish_id;
	char *author;
	/** Wall time of the publish, ms since the epoch. */
	int64_t time_ms;
	/** Length of the set's canonical form. */
	size_t bytes;
	/** Content hashes of the parts, in order; NULL-terminated. */
	char **parts;
	/** Store revision of the record. */
	int64_t mod_revision;
};

enum publish_state {
	PUBLISH_ACCEPTED,
	/** The set is not published and will not be by a delayed write. */
	PUBLISH_REFUSED,
	/** The outcome is not known yet; publish_settle() determines it. */
	PUBLISH_UNKNOWN,
};

struct publish_options {
	/** Makes the publish id unique; letters, digits, '.' and '_'. */
	const char *token;
	const char *author;
	int64_t time_ms;
	/** Refuse unless this version is in force; -1: accept any version. */
	int64_t base_version;
};

struct publish_result {
	enum publish_state state;
	/** 0 if accepted, else the negative code of the failure. */
	int code;
	char *publish_id;
	/** The set was accepted because it was in force already. */
	bool is_unchanged;
	/**
	 * Accepted: the record of the set. Refused with -ERR_STORE_CONFLICT or
	 * -ERR_PUBLISH_FENCED: the record in force, or version 0 if there is
	 * none.
	 */
	struct publish_record record;
};

/**
 * Publishes a set as the next version: writes its parts, then the pointer and
 * the history record in one transaction. If the result is PUBLISH_UNKNOWN, call
 * publish_settle() with its publish id. Idempotent: a set that is in force
 * already is accepted without a new version.
 */
void publish_set(struct store *s, const struct object_set *set,
		 const struct publish_options *options,
		 struct publish_result *out);

/**
 * Determines the outcome of an earlier publish by its id. If the history does
 * not have the id, writes a fence key and only then sets the outcome, so that a
 * delayed write of that publish cannot take effect afterwards.
 */
void publish_settle(struct store *s, const char *publish_id,
		    struct publish_result *out);

/**
 * Reads the record in force; the read is never stale. Returns 0,
 * -ERR_PUBLISH_NONE, -ERR_PUBLISH_RECORD or the code of a store failure.
 */
int publish_read_pointer(struct store *s, struct publish_record *out);

/**
 * Reads the history record of a version. Returns the same codes as
 * publish_read_pointer().
 */
int publish_read_record(struct store *s, uint64_t version,
			struct publish_record *out);

/**
 * Reads and checks the parts of a record and decodes the set. Returns 0 and a
 * set with one reference, -ERR_PUBLISH_PART, -ERR_PUBLISH_HASH,
 * -ERR_OBJ_... with faults, or the code of a store failure.
 */
int publish_read_set(struct store *s, const struct publish_record *record,
		     struct object_set **out, struct fault_list *faults);

/** Parses the JSON text of a record. Returns 0 or -ERR_PUBLISH_RECORD. */
int publish_record_decode(const char *text, size_t len,
			  struct publish_record *out);

void publish_record_clear(struct publish_record *record);
void publish_result_clear(struct publish_result *result);

#endif
