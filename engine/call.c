#include <inttypes.h>

#include "common/errors.h"
#include "engine/internal.h"

static struct call *add_call(struct engine *e, struct query_shard *s,
			     obj_handle leaf, enum call_kind kind)
{
	struct call *c = id_table_take(&e->calls);

	c->shard = s;
	c->leaf_handle = leaf;
	c->leaf = s->query->view->leaves[leaf];
	c->leaf->outstanding++;
	c->start_us = engine_now(e);
	c->is_hedge = kind == CALL_HEDGE;
	c->is_retry = kind == CALL_RETRY;
	c->is_late = false;
	s->calls[s->call_count++] = c;
	s->tried[s->tried_count++ % SHARD_TRIED_MAX] = c->leaf;
	s->attempts++;
	if (kind != CALL_FIRST)
		s->query->extra_calls++;
	else if (!s->query->restarts)
		budget_deposit(&e->budget, retry_budget_percent(s->query));
	return c;
}

static void send_call(struct engine *e, const struct call *c)
{
	const struct query *q = c->shard->query;
	const struct object_set *set = q->view->set;
	struct engine_call out = {
		.query_id = q->id,
		.call_id = c->id,
		.leaf = c->leaf_handle,
		.shard = c->shard->shard,
		.address = set->leaves[c->leaf_handle].address,
		.shard_name = set->shards[c->shard->shard].name,
		.request_id = q->request_id,
		.snapshot = q->snapshot,
		.remaining_us = q->deadline_us - c->start_us,
		.is_hedge = c->is_hedge,
		.is_retry = c->is_retry,
		.is_non_idempotent = q->is_non_idempotent,
		.user = q->user,
	};

	LOG(CALL_ROUTE, "request=%s shard=%s leaf=%s attempt=%" PRIu64,
	    q->request_id, out.shard_name, out.address, c->id);
	e->options.ops->start_call(e->options.ctx, &out);
}

static void add_waiting_shard(struct engine *e, struct query_shard *s,
			      enum call_kind kind)
{
	const struct query *q = s->query;

	s->is_waiting_retry = kind == CALL_RETRY;
	heap_push(&q->view->shards[s->shard]->waiting, &s->waiting,
		  -(int64_t)q->class->worth);
	LOG(CALL_WAIT, "request=%s shard=%s", q->request_id,
	    query_shard_object(s)->name);
}

void call_start_on(struct engine *e, struct query_shard *s, enum call_kind kind,
		   obj_handle leaf)
{
	if (!replica_can_answer(e, s->query, leaf)) {
		query_mark_shard_missing(e, s, ERR_DEADLINE);
		return;
	}
	/* Checked last, so that no keyed call starts after its lease ended. */
	if (s->query->key && !request_key_has_lease(e, s->query)) {
		query_mark_shard_missing(e, s, ERR_LEASE_LAPSED);
		return;
	}
	send_call(e, add_call(e, s, leaf, kind));
	if (kind != CALL_HEDGE)
		hedge_arm(e, s);
}

void call_start(struct engine *e, struct query_shard *s, enum call_kind kind)
{
	obj_handle leaf;

	switch (replica_choose(e, s, kind, &leaf)) {
	case CHOICE_LEAF:
		call_start_on(e, s, kind, leaf);
		return;
	case CHOICE_WAIT:
		add_waiting_shard(e, s, kind);
		return;
	case CHOICE_NONE:
		query_mark_shard_missing(e, s, ERR_UPSTREAM);
		return;
	}
}

void call_start_waiting(struct engine *e, struct shard_state *state)
{
	struct heap_node *top;

	while ((top = heap_top(&state->waiting))) {
		struct query_shard *s =
			HEAP_OWNER(top, struct query_shard, waiting);
		enum call_kind kind = s->is_waiting_retry ? CALL_RETRY
							  : CALL_FIRST;
		obj_handle leaf;
		enum replica_choice choice = replica_choose(e, s, kind, &leaf);

		if (choice == CHOICE_WAIT)
			return;
		heap_remove(&state->waiting, top);
		if (choice == CHOICE_LEAF)
			call_start_on(e, s, kind, leaf);
		else
			query_mark_shard_missing(e, s, ERR_UPSTREAM);
	}
}

void call_release(struct engine *e, struct call *c)
{
	struct query_shard *s = c->shard;

	for (uint32_t i = 0; i < s->call_count; i++) {
		if (s->calls[i] == c)
			s->calls[i--] = s->calls[--s->call_count];
	}
	c->leaf->outstanding--;
	id_table_release(&e->calls, c);
	call_start_waiting(e, s->query->view->shards[s->shard]);
}

void call_cancel(struct engine *e, struct call *c)
{
	if (c->is_late)
		replica_note_cancelled(e, c);
	/* The leaf may have run the call before the cancellation arrives. */
	c->shard->query->may_have_run = true;
	/* Before the release, which may start a waiting call in its place. */
	e->options.ops->cancel_call(e->options.ctx, c->id);
	call_release(e, c);
}

bool call_may_have_run(const struct engine_result *result)
{
	switch (result->status) {
	case CALL_SHED:
	case CALL_DRAINING:
	case CALL_SNAPSHOT_GONE:
	case CALL_REPARTITIONED:
	case CALL_EXPIRED:
		return false;
	case CALL_CONNECT_FAILED:
	case CALL_RESET:
	case CALL_TIMEOUT:
		return result->is_sent;
	default:
		return true;
	}
}

bool call_is_snapshot_refusal(const struct engine_result *result)
{
	return result->status == CALL_SNAPSHOT_GONE ||
	       result->status == CALL_REPARTITIONED;
}
