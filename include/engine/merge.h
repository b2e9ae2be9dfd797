#ifndef ENGINE_MERGE_H
#define ENGINE_MERGE_H

#include <stddef.h>
#include <stdint.h>

/** One hit of an answer. */
struct hit {
	char *id;
	char *shard;
	double score;
};

/** Collects the k best hits. Of equal scores the smaller id is better. */
struct merge;

/** Creates a merge of at most k hits. Returns 0 or -ERR_NOMEM. */
int merge_create(struct merge **out, size_t k);
void merge_destroy(struct merge *m);

/**
 * Adds a copy of a hit if it is among the k best. Returns 0 or -ERR_NOMEM.
 */
int merge_add(struct merge *m, const char *id, const char *shard, double score);

/** Drops all hits. */
void merge_reset(struct merge *m);

/** Returns the hits, best first. They are valid until the next change. */
const struct hit *merge_sorted(struct merge *m, size_t *count);

#endif
