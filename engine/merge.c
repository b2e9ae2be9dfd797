#include "engine/merge.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "common/errors.h"

/* Binary heap with the worst hit at the root. */
struct merge {
	struct hit *hits;
	size_t count;
	size_t limit;
	bool is_sorted;
};

/* Orders hits from best to worst; of equal scores the smaller id is first. */
static int compare_hits(const void *a, const void *b)
{
	const struct hit *x = a;
	const struct hit *y = b;

	if (x->score != y->score)
		return x->score > y->score ? -1 : 1;
	return strcmp(x->id, y->id);
}

static void free_hit(struct hit *h)
{
	free(h->id);
	free(h->shard);
}

static void swap_hits(struct merge *m, size_t a, size_t b)
{
	struct hit h = m->hits[a];

	m->hits[a] = m->hits[b];
	m->hits[b] = h;
}

static void sift_up(struct merge *m, size_t i)
{
	while (i && compare_hits(&m->hits[i], &m->hits[(i - 1) / 2]) > 0) {
		swap_hits(m, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static void sift_down(struct merge *m, size_t i)
{
	for (;;) {
		size_t worst = i;

		for (size_t c = 2 * i + 1; c <= 2 * i + 2 && c < m->count;
		     c++) {
			if (compare_hits(&m->hits[c], &m->hits[worst]) > 0)
				worst = c;
		}
		if (worst == i)
			return;
		swap_hits(m, i, worst);
		i = worst;
	}
}

/* Restores the heap order, which merge_sorted() breaks, before an add. */
static void restore_heap(struct merge *m)
{
	if (!m->is_sorted)
		return;
	m->is_sorted = false;
	for (size_t i = m->count / 2; i-- > 0;)
		sift_down(m, i);
}

int merge_create(struct merge **out, size_t k)
{
	struct merge *m = calloc(1, sizeof(*m));

	if (!m)
		return -ERR_NOMEM;
	m->limit = k;
	m->hits = calloc(k ? k : 1, sizeof(*m->hits));
	if (!m->hits) {
		free(m);
		return -ERR_NOMEM;
	}
	*out = m;
	return 0;
}

void merge_destroy(struct merge *m)
{
	if (!m)
		return;
	merge_reset(m);
	free(m->hits);
	free(m);
}

int merge_add(struct merge *m, const char *id, const char *shard, double score)
{
	struct hit probe = { (char *)id, NULL, score };
	struct hit copy;

	if (!m->limit)
		return 0;
	restore_heap(m);
	if (m->count == m->limit && compare_hits(&probe, &m->hits[0]) >= 0)
		return 0;
	copy.id = strdup(id);
	copy.shard = strdup(shard);
	copy.score = score;
	if (!copy.id || !copy.shard) {
		free_hit(&copy);
		return -ERR_NOMEM;
	}
	if (m->count < m->limit) {
		m->hits[m->count] = copy;
		sift_up(m, m->count++);
		return 0;
	}
	free_hit(&m->hits[0]);
	m->hits[0] = copy;
	sift_down(m, 0);
	return 0;
}

void merge_reset(struct merge *m)
{
	for (size_t i = 0; i < m->count; i++)
		free_hit(&m->hits[i]);
	m->count = 0;
}

const struct hit *merge_sorted(struct merge *m, size_t *count)
{
	qsort(m->hits, m->count, sizeof(*m->hits), compare_hits);
	m->is_sorted = true;
	*count = m->count;
	return m->hits;
}
