#include "router/internal.h"

#include <string.h>

/* Size of a record; a shorter remainder at the end of a part is ignored. */
#define RECORD_BYTES 16

/* The greatest records so far, as a heap with the least on top. */
struct top_records {
	const guint8 **items;
	uint32_t count;
	uint32_t max;
};

static int compare_records(const guint8 *a, const guint8 *b)
{
	return memcmp(a, b, RECORD_BYTES);
}

static void sift_down(struct top_records *t, uint32_t at)
{
	for (;;) {
		uint32_t least = at;

		for (uint32_t i = 2 * at + 1; i <= 2 * at + 2; i++) {
			if (i < t->count &&
			    compare_records(t->items[i], t->items[least]) < 0)
				least = i;
		}
		if (least == at)
			return;
		const guint8 *item = t->items[at];

		t->items[at] = t->items[least];
		t->items[least] = item;
		at = least;
	}
}

static void sift_up(struct top_records *t, uint32_t at)
{
	while (at) {
		uint32_t parent = (at - 1) / 2;
		const guint8 *item = t->items[at];

		if (compare_records(item, t->items[parent]) >= 0)
			return;
		t->items[at] = t->items[parent];
		t->items[parent] = item;
		at = parent;
	}
}

static void add_record(struct top_records *t, const guint8 *record)
{
	if (t->count < t->max) {
		t->items[t->count++] = record;
		sift_up(t, t->count - 1);
		return;
	}
	if (!t->max || compare_records(record, t->items[0]) <= 0)
		return;
	t->items[0] = record;
	sift_down(t, 0);
}

static void add_records(struct top_records *t, const GByteArray *body)
{
	for (guint at = 0; body->len - at >= RECORD_BYTES; at += RECORD_BYTES)
		add_record(t, body->data + at);
}

static void add_batches(struct top_records *t, const struct route_request *q,
			GPtrArray *stamps)
{
	for (uint32_t i = 0; i < q->batch_count; i++) {
		const struct part_batch *b = q->batches[i];

		add_records(t, b->body);
		for (guint k = 0; k < b->stamps->len; k++)
			g_ptr_array_add(stamps, b->stamps->pdata[k]);
	}
}

/* Writes the records in descending order; leaves the heap empty. */
static void write_descending(struct top_records *t, GByteArray *body)
{
	uint32_t count = t->count;

	g_byte_array_set_size(body, count * RECORD_BYTES);
	while (t->count) {
		memcpy(body->data + (size_t)(t->count - 1) * RECORD_BYTES,
		       t->items[0], RECORD_BYTES);
		t->items[0] = t->items[--t->count];
		sift_down(t, 0);
	}
}

/* Adds the failed parts that were not reported to the batch's sender before. */
static void add_failures(const struct route_request *q, GPtrArray *stamps,
			 GPtrArray *shards)
{
	for (uint32_t i = 0; i < q->part_count; i++) {
		const struct route_part *p = &q->parts[i];

		if (p->phase != PART_FAILED || p->is_sent)
			continue;
		g_ptr_array_add(stamps,
				p->run_count ? STAMP_FAILED : STAMP_NOT_RUN);
		g_ptr_array_add(shards, p->pool->name);
	}
}

void gather_build_answer(struct router *r, struct route_request *q,
			 struct router_answer *a, GPtrArray *stamps,
			 GPtrArray *shards, GByteArray *body)
{
	struct top_records top = {
		.items = g_new(const guint8 *, q->route->top_k + 1),
		.max = q->route->top_k,
	};

	for (uint32_t i = 0; i < q->part_count; i++) {
		const struct route_part *p = &q->parts[i];

		if (p->phase != PART_ANSWERED || p->is_in_batch || p->is_sent)
			continue;
		add_records(&top, p->reply->body);
		g_ptr_array_add(stamps, (gpointer)p->stamp);
		g_ptr_array_add(shards, p->pool->name);
	}
	add_batches(&top, q, stamps);
	if (q->is_partial)
		add_failures(q, stamps, shards);
	write_descending(&top, body);
	g_free(top.items);
	a->status = 200;
	a->stamps = (const char *const *)stamps->pdata;
	a->stamp_count = stamps->len;
	a->shards = (const char *const *)shards->pdata;
	a->missing_count = q->part_count - q->answered_count;
	a->body = body->data;
	a->body_len = body->len;
}

bool gather_reaches_coverage(const struct route_request *q, uint32_t parts)
{
	/* The margin absorbs rounding, such as in 0.9 times 10. */
	return parts && (double)parts + 1e-9 >=
				q->route->min_coverage * (double)q->part_count;
}

bool gather_has_coverage(const struct route_request *q)
{
	return gather_reaches_coverage(q, q->answered_count);
}

bool gather_can_reach_coverage(const struct route_request *q)
{
	return gather_reaches_coverage(q, q->part_count - q->failed_count);
}
