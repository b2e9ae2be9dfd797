#include "engine/engine.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "common/errors.h"
#include "engine/internal.h"

#define DEFAULT_MAX_QUERIES 4096
#define DEFAULT_MAX_KEYS 65536

int engine_create(struct engine **out, const struct engine_options *options)
{
	struct engine *e = calloc(1, sizeof(*e));

	if (!e)
		return -ERR_NOMEM;
	e->refs = 1;
	e->options = *options;
	if (!e->options.max_queries)
		e->options.max_queries = DEFAULT_MAX_QUERIES;
	if (!e->options.max_keys)
		e->options.max_keys = DEFAULT_MAX_KEYS;
	id_table_init(&e->queries, sizeof(struct query));
	id_table_init(&e->calls, sizeof(struct call));
	budget_init(&e->budget);
	key_table_init(&e->keys, e->options.max_keys);
	e->random = g_rand_new_with_seed((guint32)options->seed);
	e->start_wall_us = clock_wall(&e->options.clock);
	e->snapshot_epoch = 1;
	e->tenures = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	*out = e;
	return 0;
}

struct engine *engine_ref(struct engine *e)
{
	__atomic_fetch_add(&e->refs, 1, __ATOMIC_RELAXED);
	return e;
}

static void release_queries(struct engine *e)
{
	for (uint32_t i = 0; i < e->queries.capacity; i++) {
		struct query *q = e->queries.items[i];

		if (q->id)
			query_release(e, q);
	}
}

void engine_unref(struct engine *e)
{
	if (!e || __atomic_sub_fetch(&e->refs, 1, __ATOMIC_ACQ_REL) > 0)
		return;
	release_queries(e);
	id_table_clear(&e->queries);
	id_table_clear(&e->calls);
	key_table_clear(&e->keys);
	heap_clear(&e->timers);
	heap_clear(&e->ended);
	heap_clear(&e->ready_pools);
	g_hash_table_destroy(e->tenures);
	view_unref(e->view);
	g_rand_free(e->random);
	free(e);
}

int engine_apply_set(struct engine *e, struct object_set *set)
{
	struct set_view *previous = e->view;

	e->view = view_create(set, previous, engine_now(e));
	view_unref(previous);
	e->snapshot_epoch++;
	LOG(SET_IN_FORCE, "version=%" PRIu64 " services=%u leaves=%u",
	    set->version, set->service_count, set->leaf_count);
	return 0;
}

int engine_set_share(struct engine *e, obj_handle group,
		     struct leaf_share share)
{
	if (!e->view || group >= e->view->set->group_count)
		return -ERR_INVAL;
	e->view->groups[group]->has_share = true;
	e->view->groups[group]->share = share;
	return 0;
}

void engine_set_tenure(struct engine *e, uint32_t key_range,
		       int64_t start_wall_us, int64_t lease_until_us)
{
	struct tenure t = {
		.start_us = start_wall_us,
		.lease_until_us = lease_until_us,
	};

	g_hash_table_insert(e->tenures, GUINT_TO_POINTER(key_range),
			    g_memdup2(&t, sizeof(t)));
}

static int refuse_request(const struct engine_request *request, int code)
{
	LOG(QUERY_REFUSE, "request=%s code=E%d", request->id, -code);
	return code;
}

static int check_ready(const struct engine *e, const struct engine_request *r)
{
	if (!e->view)
		return -ERR_NO_CONFIG;
	if (object_set_find_service(e->view->set, r->service) == OBJ_NONE)
		return -ERR_NO_SERVICE;
	return 0;
}

static int add_key(struct engine *e, struct query *q,
		   const struct engine_request *r)
{
	int ret = key_table_add(&e->keys, r->service, r->key, r->key_created_us,
				&q->key);
	if (ret)
		return ret;
	q->key->query_id = q->id;
	return 0;
}

/* Returns the named class, or the service's class if the set lacks it. */
static obj_handle choose_class(const struct query *q, const char *name)
{
	const struct object_set *set = q->view->set;

	for (uint32_t i = 0; name && i < set->class_count; i++) {
		if (!strcmp(set->classes[i].name, name))
			return i;
	}
	return query_service(q)->class;
}

static int prepare_query(struct engine *e, struct query *q,
			 const struct engine_request *r)
{
	int ret = 0;

	q->is_non_idempotent = request_is_non_idempotent(e, r);
	/*
	 * The key is checked first, since the refusals below state that the
	 * request was not run.
	 */
	if (q->is_non_idempotent)
		ret = request_key_check(e, r, q);
	if (ret)
		return ret;
	if (e->is_stopping)
		return -ERR_STOPPING;
	query_add_shards(q, r->key[0] ? r->key : r->id);
	q->pool = q->view->pools[q->service];
	q->class_handle = choose_class(q, r->class);
	if (!snapshot_choose(e, q, 0))
		return -ERR_NO_SNAPSHOT;
	return q->is_non_idempotent ? add_key(e, q, r) : 0;
}

int engine_submit(struct engine *e, const struct engine_request *request,
		  uint64_t *query_id, int64_t *retry_after_us)
{
	struct query *q;
	int ret;

	*retry_after_us = 0;
	key_table_set_time(&e->keys, clock_wall(&e->options.clock));
	if (request_key_join(e, request, query_id))
		return 0;
	ret = check_ready(e, request);
	if (ret)
		return refuse_request(request, ret);
	q = query_create(e, request, e->view);
	ret = prepare_query(e, q, request);
	if (!ret)
		ret = admission_submit(e, q, retry_after_us);
	*query_id = q->id;
	if (!ret)
		return 0;
	refuse_request(request, ret);
	if (ret == -ERR_KEY_UNKNOWN) {
		/* A returned code means not run; an outcome can say unknown. */
		q->may_have_run = true;
		query_end(e, q, ret);
		return 0;
	}
	if (q->key)
		key_table_remove(&e->keys, q->key);
	query_release(e, q);
	return ret;
}

static bool accept_reply(struct engine *e, struct query_shard *s)
{
	struct query *q = s->query;

	timer_disarm(e, &s->timer);
	while (s->call_count)
		call_cancel(e, s->calls[0]);
	s->phase = SHARD_ANSWERED;
	q->weight += query_shard_object(s)->weight;
	q->pending_count--;
	query_end_if_ready(e, q);
	return true;
}

bool engine_call_result(struct engine *e, const struct engine_result *result)
{
	struct call *c = id_table_find(&e->calls, result->call_id);
	struct query_shard *s;
	struct query *q;

	if (!c) {
		LOG(CALL_DROP, "attempt=%" PRIu64 " reason=ended",
		    result->call_id);
		return false;
	}
	s = c->shard;
	q = s->query;
	replica_note_result(e, c, result);
	if (call_may_have_run(result))
		q->may_have_run = true;
	if (s->call_count == 1)
		timer_disarm(e, &s->timer);
	call_release(e, c);
	if (result->status == CALL_OK && result->snapshot == q->snapshot)
		return accept_reply(e, s);
	if (result->status == CALL_OK)
		LOG(CALL_DROP, "attempt=%" PRIu64 " reason=snapshot",
		    result->call_id);
	if (s->call_count)
		return false;
	if (call_is_snapshot_refusal(result))
		snapshot_handle_gone(e, s, result);
	else
		retry_shard(e, s, result);
	return false;
}

void engine_report(struct engine *e, const struct leaf_report *report)
{
	obj_handle shard;

	if (!e->view || report->leaf >= e->view->set->leaf_count)
		return;
	replica_note_report(e, e->view->leaves[report->leaf], report);
	shard = e->view->set->leaves[report->leaf].shard;
	call_start_waiting(e, e->view->shards[shard]);
}

bool engine_cancel(struct engine *e, uint64_t query_id)
{
	struct query *q = id_table_find(&e->queries, query_id);

	if (!q)
		return true;
	if (q->key && !q->duplicate_of) {
		q->is_detached = true;
		return false;
	}
	if (q->phase == QUERY_WAITS_KEY)
		request_key_remove_waiter(q);
	query_cancel_calls(e, q);
	query_release(e, q);
	return true;
}

int64_t engine_next_timer(const struct engine *e)
{
	const struct heap_node *top = heap_top(&e->timers);

	if (heap_top(&e->ended) || heap_top(&e->ready_pools))
		return 0;
	return top ? top->key : INT64_MAX;
}

static void expire_keys(struct engine *e)
{
	uint64_t id;

	key_table_set_time(&e->keys, clock_wall(&e->options.clock));
	while ((id = key_table_expire(&e->keys))) {
		if (e->options.ops->expire_result)
			e->options.ops->expire_result(e->options.ctx, id);
	}
}

static void deliver_ended(struct engine *e)
{
	struct heap_node *top;

	while ((top = heap_top(&e->ended)))
		outcome_deliver(e, HEAP_OWNER(top, struct query, ended));
}

void engine_advance(struct engine *e)
{
	timer_run(e);
	do {
		deliver_ended(e);
	} while (admission_run_next(e));
	expire_keys(e);
}

void engine_stop_admission(struct engine *e)
{
	e->is_stopping = true;
}

uint32_t engine_query_count(const struct engine *e)
{
	return e->queries.count;
}
