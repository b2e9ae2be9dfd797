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

/** Record that names a published version; the pointer is the newest one. */
struct publish_record {
	uint64_t version;
	/** "<version>-<token>": the version that the publish was meant for. */
	char *publish_id;
	char *author;
	/** Wall time of the publish, ms since the epoch. */
	int64_t time_ms;
	/** Length of the canonical form. */
	size_t bytes;
	/** Content hashes; NULL-terminated. */
	char **parts;
	/** Store revision of the record. */
	int64_t mod_revision;
};

enum publish_state {
	PUBLISH_ACCEPTED,
	/** Not published, and it cannot take effect later. */
	PUBLISH_REFUSED,
	/** The store could not be asked; publish_settle() decides. */
	PUBLISH_UNKNOWN,
};

struct publish_options {
	/** Makes the publish id unique; letters, digits, '.' and '_'. */
	const char *token;
	const char *author;
	int64_t time_ms;
	/** Refuses if another version is in force; -1: any version. */
	int64_t base_version;
};

struct publish_result {
	enum publish_state state;
	/** Cause of a refusal or of an unknown outcome; 0 or negative. */
	int code;
	char *publish_id;
	/** Set if accepted: the set was already in force, nothing changed. */
	bool is_unchanged;
	/**
	 * Accepted: the record of the set. Refused with -ERR_STORE_CONFLICT or
	 * -ERR_PUBLISH_FENCED: the record in force; version 0 where none is.
	 */
	struct publish_record record;
};

/**
 * Publishes a set as the next version. Safe to run again: a set that is in
 * force already is accepted without a new version.
 */
void publish_set(struct store *s, const struct object_set *set,
		 const struct publish_options *options,
		 struct publish_result *out);

/**
 * Settles an earlier publish by its id. An id that is not found is fenced
 * first, so that a delayed write of it cannot take effect after the answer.
 */
void publish_settle(struct store *s, const char *publish_id,
		    struct publish_result *out);

/**
 * Reads the pointer; the answer is not stale. Returns 0, -ERR_PUBLISH_NONE,
 * -ERR_PUBLISH_RECORD or a store failure.
 */
int publish_read_pointer(struct store *s, struct publish_record *out);

/** Reads the history entry of a version; same as publish_read_pointer(). */
int publish_read_record(struct store *s, uint64_t version,
			struct publish_record *out);

/**
 * Reads and checks the parts of a record and decodes the set. Returns 0 and a
 * set with one reference, -ERR_PUBLISH_PART, -ERR_PUBLISH_HASH,
 * -ERR_OBJ_... with faults, or a store failure.
 */
int publish_read_set(struct store *s, const struct publish_record *record,
		     struct object_set **out, struct fault_list *faults);

/** Parses a record. Returns 0 or -ERR_PUBLISH_RECORD. */
int publish_record_decode(const char *text, size_t len,
			  struct publish_record *out);

void publish_record_clear(struct publish_record *record);
void publish_result_clear(struct publish_result *result);

#endif
