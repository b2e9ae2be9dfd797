#include "router/explain.h"

#include "common/errors.h"
#include "router/internal.h"

/*
 * Copy of a router: what a decision on one route may change is copied, all else
 * is shared. The copy must be freed before the router changes.
 */

static struct route_leaf *copy_leaf(const struct router *copy,
				    const struct route_leaf *leaf,
				    struct upstream_pool *pool)
{
	struct route_leaf *l = g_memdup2(leaf, sizeof(*leaf));

	l->pool = pool;
	rates_prepare_copy(copy, l);
	return l;
}

static void free_pool_copy(gpointer data)
{
	struct upstream_pool *p = data;

	g_ptr_array_free(p->leaves, TRUE);
	g_free(p);
}

static void copy_pool(struct router *copy, const struct upstream_pool *pool)
{
	struct upstream_pool *p = g_memdup2(pool, sizeof(*pool));

	p->leaves = g_ptr_array_new_full(pool->leaves->len, g_free);
	for (guint i = 0; i < pool->leaves->len; i++)
		g_ptr_array_add(p->leaves,
				copy_leaf(copy, pool->leaves->pdata[i], p));
	g_hash_table_insert(copy->leaves.pools, p->name, p);
}

static void copy_pools(struct router *copy, const struct router *r,
		       const struct route *route)
{
	copy->leaves.pools = g_hash_table_new_full(g_str_hash, g_str_equal,
						   NULL, free_pool_copy);
	for (uint32_t i = 0; i < route->target_count; i++) {
		uint32_t at = route->targets[i].upstream;
		const struct upstream_pool *pool = g_hash_table_lookup(
			r->leaves.pools, r->table->upstreams[at].name);

		/* A split may name an upstream twice. */
		if (pool &&
		    !g_hash_table_contains(copy->leaves.pools, pool->name))
			copy_pool(copy, pool);
	}
}

/* Frees the statistics of a route without the histograms, which are shared. */
static void free_stats_copy(gpointer data)
{
	struct route_stats *s = data;

	s->call_latency.histogram = NULL;
	s->call_work.histogram = NULL;
	route_stats_unref(s);
}

static void copy_stats(struct router *copy, const struct router *r,
		       const struct route *route)
{
	const struct route_stats *stats =
		g_hash_table_lookup(r->stats, route->name);
	struct route_stats *s;

	copy->stats = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    free_stats_copy);
	if (!stats)
		return;
	s = g_memdup2(stats, sizeof(*stats));
	s->refs = 1;
	s->name = g_strdup(stats->name);
	s->shard_counts = NULL;
	g_hash_table_insert(copy->stats, s->name, s);
}

static void copy_organisation(struct router *copy, const struct router *r,
			      const char *name)
{
	const struct organisation_stats *stats =
		name ? g_hash_table_lookup(r->organisations, name) : NULL;
	struct organisation_stats *s;

	copy->organisations = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, organisation_stats_unref);
	if (!stats)
		return;
	s = g_memdup2(stats, sizeof(*stats));
	s->refs = 1;
	g_hash_table_insert(copy->organisations, g_strdup(name), s);
}

static struct router *copy_router(const struct router *r,
				  const struct route *route,
				  const char *organisation)
{
	struct router *copy = g_memdup2(r, sizeof(*r));

	copy->random = g_rand_copy(r->random);
	copy->cold_leaves = g_ptr_array_new();
	copy_pools(copy, r, route);
	copy_stats(copy, r, route);
	copy_organisation(copy, r, organisation);
	return copy;
}

static void free_copy(struct router *copy)
{
	g_hash_table_destroy(copy->organisations);
	g_hash_table_destroy(copy->stats);
	g_hash_table_destroy(copy->leaves.pools);
	g_ptr_array_free(copy->cold_leaves, TRUE);
	g_rand_free(copy->random);
	g_free(copy);
}

/* Explanation of one request, on a copy of the router */

static int64_t time_until(int64_t at_us, int64_t now)
{
	return at_us == INT64_MAX ? -1 : MAX(at_us - now, 0);
}

static struct explained_leaf explain_leaf(struct router *r,
					  const struct route_part *p,
					  struct route_leaf *leaf)
{
	int64_t now = router_now(r);
	struct leaf_estimate estimate = leaf_estimate(r, p, leaf);
	struct explained_leaf out = {
		.leaf = leaf,
		.region = g_hash_table_lookup(r->leaves.regions,
					      leaf->entry.domain),
		.access = leaf_access_check(r, p, leaf, now),
		.expected_us = estimate.expected_us,
		.cost_us = estimate.cost_us,
		.is_left_free = estimate.is_left_free,
	};

	out.wait_us = out.access.reason == ACCESS_ALLOWED
			      ? 0
			      : time_until(out.access.until_us, now);
	return out;
}

static struct explained_part explain_part(struct router *r,
					  struct route_part *p)
{
	struct leaf_choice choice = part_decide(r, p);

	return (struct explained_part){
		.upstream = p->pool->name,
		.leaf = choice.leaf,
		.is_infeasible = p->is_infeasible,
		.wait_us = choice.wait_us,
		.expected_us = choice.expected_us,
		.waiting_count = triage_queue_count(&p->pool->waiting),
		.leaf_count = p->pool->leaves->len,
	};
}

static void list_leaves(struct router *r, const struct route_part *p,
			struct explained_part *out)
{
	out->leaves = g_array_new(FALSE, FALSE, sizeof(struct explained_leaf));
	for (guint i = 0; i < p->pool->leaves->len; i++) {
		struct explained_leaf l =
			explain_leaf(r, p, p->pool->leaves->pdata[i]);

		g_array_append_val(out->leaves, l);
	}
}

/* Lists the leaves of some parts, first of those that lack a leaf. */
static void list_some_leaves(struct route_explanation *e, struct router *r,
			     const struct route_request *q, uint32_t most)
{
	for (int has_leaf = 0; has_leaf < 2; has_leaf++) {
		for (uint32_t i = 0; i < q->part_count && most; i++) {
			struct explained_part *p = &g_array_index(
				e->parts, struct explained_part, i);

			if ((p->leaf != NULL) != has_leaf)
				continue;
			list_leaves(r, &q->parts[i], p);
			most--;
		}
	}
}

static enum route_outcome outcome_of(const struct route_explanation *e,
				     const struct route_request *q)
{
	for (guint i = 0; i < e->parts->len; i++) {
		const struct explained_part *p =
			&g_array_index(e->parts, struct explained_part, i);

		if (!p->leaf && !q->parts[i].is_infeasible)
			return ROUTE_WOULD_WAIT;
	}
	return ROUTE_WOULD_START;
}

/*
 * Returns whether enough parts are feasible if waiting requests give way to the
 * parts that lack room.
 */
static bool may_displace(struct router *r, struct route_request *q)
{
	bool has_displaced = false;

	for (uint32_t i = 0; i < q->part_count; i++) {
		struct route_part *p = &q->parts[i];

		if (!request_may_make_room(p) || !waiting_may_displace(r, p))
			continue;
		p->is_infeasible = false;
		q->failed_count--;
		has_displaced = true;
	}
	return has_displaced && request_can_be_answered(r, q);
}

static void refuse(struct route_explanation *e, unsigned int status, int code)
{
	e->outcome = ROUTE_WOULD_BE_REFUSED;
	e->status = status;
	e->code = code;
}

static void explain_parts(struct route_explanation *e, struct router *r,
			  struct route_request *q)
{
	for (uint32_t i = 0; i < q->part_count; i++) {
		struct explained_part p = explain_part(r, &q->parts[i]);

		q->failed_count += p.is_infeasible;
		g_array_append_val(e->parts, p);
	}
	e->infeasible_count = q->failed_count;
}

static void note_refusal(struct route_explanation *e,
			 const struct route_request *q)
{
	e->reason = q->refusal.reason;
	e->wait_us = q->refusal.wait_us;
	e->work_us = q->refusal.work_us;
	e->left_us = q->refusal.left_us;
	e->waiting_count = q->refusal.waiting_count;
}

/* Decides on a request that is not refused before its parts are planned. */
static void decide_by_parts(struct route_explanation *e, struct router *r,
			    struct route_request *q)
{
	if (request_can_be_answered(r, q)) {
		request_keep_crowded_parts(r, q);
		e->outcome = outcome_of(e, q);
	} else if (may_displace(r, q)) {
		e->outcome = ROUTE_WOULD_DISPLACE;
	} else {
		note_refusal(e, q);
		refuse(e, 503,
		       leaf_access_refusal_code(r, q, request_late_code(r)));
	}
}

/* Decides on a request in the order of router_start(). */
static void explain_request(struct route_explanation *e, struct router *r,
			    struct route_request *q)
{
	int code;

	request_classify(r, q);
	e->rank = triage_rank(&q->value);
	code = request_check_arrival(r, q);
	if (code) {
		note_refusal(e, q);
		refuse(e, 503, code);
	}
	explain_parts(e, r, q);
	if (!code)
		decide_by_parts(e, r, q);
}

static void explain_route(struct route_explanation *e, struct router *r,
			  const struct router_request *in,
			  const struct request_admission *admission,
			  bool is_full)
{
	struct route_request q = { 0 };
	int64_t now = router_now(r);

	request_init(r, &q, in, admission);
	q.stats = route_stats_ref(route_stats_get(r, q.route));
	request_add_parts(r, &q, in);
	e->priority = q.priority;
	e->goal_us = q.goal_at_us - now;
	e->deadline_us = q.deadline_us - now;
	explain_request(e, r, &q);
	list_some_leaves(e, r, &q, is_full ? q.part_count : EXPLAINED_SHARDS);
	g_free(q.parts);
	organisation_stats_unref(q.organisation_stats);
	route_stats_unref(q.stats);
}

struct route_explanation *router_explain(struct router *r,
					 const struct route_question *question)
{
	struct router_request in = {
		.host = question->host,
		.path = question->path,
		.organisation = question->organisation,
	};
	struct request_admission admission = request_admit(r, &in);
	struct route_explanation *e = g_new0(struct route_explanation, 1);

	e->version = router_version(r);
	e->is_stopping = router_is_stopping(r);
	e->stop_left_us = e->is_stopping ? MAX(stop_time_left(r), 0) : 0;
	e->route = admission.route;
	e->organisation = admission.who.organisation;
	e->has_triage = r->has_triage;
	e->parts = g_array_new(FALSE, FALSE, sizeof(struct explained_part));
	e->host_region = r->leaves.domain
				 ? g_hash_table_lookup(r->leaves.regions,
						       r->leaves.domain)
				 : NULL;
	if (admission.code) {
		refuse(e, admission.status, admission.code);
		return e;
	}
	e->copy = copy_router(r, e->route,
			      e->organisation ? e->organisation->name : NULL);
	explain_route(e, e->copy, &in, &admission, question->is_full);
	return e;
}

void route_explanation_free(struct route_explanation *e)
{
	for (guint i = 0; i < e->parts->len; i++) {
		GArray *leaves =
			g_array_index(e->parts, struct explained_part, i).leaves;

		if (leaves)
			g_array_free(leaves, TRUE);
	}
	g_array_free(e->parts, TRUE);
	if (e->copy)
		free_copy(e->copy);
	g_free(e);
}

const char *route_outcome_name(enum route_outcome outcome)
{
	switch (outcome) {
	case ROUTE_WOULD_START:
		return "start";
	case ROUTE_WOULD_WAIT:
		return "wait";
	case ROUTE_WOULD_DISPLACE:
		return "displace";
	case ROUTE_WOULD_BE_REFUSED:
		break;
	}
	return "refuse";
}

const char *leaf_access_reason_name(enum leaf_access_reason reason)
{
	static const char *const names[] = {
		[ACCESS_ALLOWED] = "allowed",
		[ACCESS_TRIED] = "tried",
		[ACCESS_FULL] = "full",
		[ACCESS_COLD] = "cold",
		[ACCESS_RATE_LIMIT] = "rate_limit",
		[ACCESS_EJECTED] = "ejected",
		[ACCESS_LEAVING] = "leaving",
		[ACCESS_REMOVED] = "removed",
		[ACCESS_OTHER_DOMAIN] = "other_domain",
		[ACCESS_EVACUATED] = "evacuated",
		[ACCESS_OTHER_REGION] = "other_region",
	};

	return names[reason];
}
