#include <inttypes.h>

#include "engine/internal.h"

#define DEFAULT_QUANTILE 0.95

/* Without a hedge rule, a call is late after twice the default quantile. */
#define LATE_FACTOR 2

/* An early answer omits the missing shards after this many hedge delays. */
#define EARLY_ANSWER_FACTOR 3

static const struct hedge_object *find_hedge_rule(const struct query *q)
{
	const struct service_object *service = query_service(q);

	if (service->hedge == OBJ_NONE)
		return NULL;
	return &q->view->set->hedges[service->hedge];
}

int64_t hedge_delay(const struct query *q, obj_handle group)
{
	const struct hedge_object *rule = find_hedge_rule(q);
	double quantile = rule && rule->quantile > 0 ? rule->quantile
						     : DEFAULT_QUANTILE;
	int64_t us =
		latency_quantile(&q->view->groups[group]->latency, quantile);

	if (!rule)
		return LATE_FACTOR * us;
	return us ? CLAMP(us, rule->min_delay_us, rule->max_delay_us)
		  : rule->max_delay_us;
}

int64_t hedge_early_delay(const struct query *q)
{
	const struct service_object *service = query_service(q);
	int64_t delay = 0;

	for (uint32_t i = 0; i < service->group_count; i++)
		delay = MAX(delay, hedge_delay(q, service->groups[i]));
	return EARLY_ANSWER_FACTOR * delay;
}

/* Chooses a replica for a hedge and takes a token for it. */
static bool reserve_hedge(struct engine *e, const struct query_shard *s,
			  obj_handle *leaf)
{
	if (replica_choose(e, s, CALL_HEDGE, leaf) != CHOICE_LEAF)
		return false;
	if (!replica_can_answer(e, s->query, *leaf))
		return false;
	return budget_take_hedge(&e->budget);
}

static void handle_late(struct engine *e, struct timer *t);

void hedge_arm(struct engine *e, struct query_shard *s)
{
	const struct query *q = s->query;
	int64_t delay;

	if (!query_has_limits(q))
		return;
	delay = hedge_delay(q, query_shard_object(s)->group);
	if (delay && engine_now(e) + delay < q->deadline_us)
		timer_arm(e, &s->timer, engine_now(e) + delay, handle_late);
}

static void handle_late(struct engine *e, struct timer *t)
{
	struct query_shard *s = HEAP_OWNER(t, struct query_shard, timer);
	struct call *late = s->calls[0];
	obj_handle leaf;

	if (!late->is_late)
		replica_note_late(e, late);
	late->is_late = true;
	if (!find_hedge_rule(s->query) || s->query->is_non_idempotent)
		return;
	if (!reserve_hedge(e, s, &leaf)) {
		/* Try again: a replica or a token may become free. */
		hedge_arm(e, s);
		return;
	}
	LOG(CALL_HEDGE, "request=%s shard=%s late_leaf=%s after_us=%" PRId64,
	    s->query->request_id, query_shard_object(s)->name, late->leaf->name,
	    engine_now(e) - late->start_us);
	call_start_on(e, s, CALL_HEDGE, leaf);
}
