#include <inttypes.h>

#include "common/errors.h"
#include "engine/internal.h"

bool request_is_non_idempotent(const struct engine *e,
			       const struct engine_request *r)
{
	obj_handle h = object_set_find_service(e->view->set, r->service);

	return r->is_non_idempotent || !e->view->set->services[h].idempotent;
}

static void handle_wait_expired(struct engine *e, struct timer *t)
{
	struct query *q = HEAP_OWNER(t, struct query, timer);

	request_key_remove_waiter(q);
	q->may_have_run = true;
	query_end(e, q, -ERR_DEADLINE);
}

bool request_key_join(struct engine *e, const struct engine_request *r,
		      uint64_t *query_id)
{
	struct key_entry *entry;
	struct query *q;

	if (!r->key[0])
		return false;
	entry = key_table_find(&e->keys, r->service, r->key);
	if (!entry)
		return false;
	q = query_create(e, r, e->view);
	*query_id = q->id;
	q->key = entry;
	q->duplicate_of = entry->query_id;
	LOG(KEY_REPEAT, "request=%s key=%s state=%d run=%" PRIu64, r->id,
	    r->key, entry->state, entry->query_id);
	if (entry->state != KEY_RUNNING) {
		query_end(e, q, 0);
		return true;
	}
	q->phase = QUERY_WAITS_KEY;
	q->next_waiter = entry->waiters;
	entry->waiters = q;
	timer_arm(e, &q->timer, q->deadline_us, handle_wait_expired);
	return true;
}

static struct tenure find_tenure(const struct engine *e, const struct query *q)
{
	const struct tenure *t =
		g_hash_table_lookup(e->tenures, GUINT_TO_POINTER(q->key_range));
	struct tenure none = {
		.start_us = e->start_wall_us,
		.lease_until_us = e->options.requires_tenure ? INT64_MIN
							     : INT64_MAX,
	};

	return t ? *t : none;
}

bool request_key_has_lease(const struct engine *e, const struct query *q)
{
	return find_tenure(e, q).lease_until_us > engine_now(e);
}

int request_key_check(struct engine *e, const struct engine_request *r,
		      const struct query *q)
{
	int64_t start = find_tenure(e, q).start_us;

	if (!r->key[0] || r->key_created_us <= 0)
		return -ERR_KEY_REQUIRED;
	if (!request_key_has_lease(e, q))
		return -ERR_LEASE_LAPSED;
	/* No other host got the key, so no earlier owner can have run it. */
	if (r->is_first_attempt)
		start = INT64_MIN / 2;
	return key_table_check_created(&e->keys, r->key_created_us, start);
}

/* Delivers the outcome of a run to its waiters and frees these queries. */
static void deliver_to_waiters(struct engine *e, struct query *waiters,
			       const struct engine_outcome *outcome)
{
	while (waiters) {
		struct query *q = waiters;
		struct engine_outcome out = *outcome;

		waiters = q->next_waiter;
		out.request_id = q->request_id;
		out.user = q->user;
		out.duplicate_of = q->duplicate_of;
		out.is_kept = false;
		out.needed_calls = 0;
		out.extra_calls = 0;
		out.total_us = engine_now(e) - q->start_us;
		e->options.ops->finish_query(e->options.ctx, q->id, &out);
		query_release(e, q);
	}
}

void request_key_store_outcome(struct engine *e, struct query *q,
			       const struct engine_outcome *outcome)
{
	struct key_entry *entry = q->key;
	struct query *waiters = entry->waiters;

	entry->waiters = NULL;
	if (outcome->run == RUN_NOT_RUN)
		key_table_remove(&e->keys, entry);
	else
		key_table_keep(&e->keys, entry, outcome);
	deliver_to_waiters(e, waiters, outcome);
}

void request_key_remove_waiter(struct query *q)
{
	struct query **link = &q->key->waiters;

	while (*link != q)
		link = &(*link)->next_waiter;
	*link = q->next_waiter;
}
