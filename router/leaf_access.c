#include "router/internal.h"

#include <math.h>
#include <string.h>

#include "common/errors.h"
#include "common/events.h"

/*
 * Interval at which an ejected leaf may be called if there is no other leaf.
 * Requests in between are refused at once: most of them would fail after other
 * leaves have done their work.
 */
#define PROBE_INTERVAL_US (150 * US_PER_MS)
/*
 * Part of the connections that a leaf accepts from all hosts which one host may
 * use, and bounds of the result.
 */
#define CONNECTIONS_DIVISOR 8
#define CALLS_MIN 2
#define CALLS_MAX 64

/*
 * Rates of a leaf that all hosts share: its own limit, and that of its upstream
 * for cold leaves. Only the functions of this section ask for them.
 */

/* Returns when there is room; INT64_MAX if that is not known. */
static int64_t room_at(struct router *r, const struct route_part *p,
		       struct route_leaf *leaf, int64_t now)
{
	int64_t wait = rates_wait(r, leaf, p->request->priority);

	return wait < INT64_MAX ? now + wait : INT64_MAX;
}

bool leaf_access_has_rate(struct router *r, struct route_leaf *leaf)
{
	return rates_is_limited(r, leaf);
}

bool leaf_access_has_rates(const struct router *r)
{
	return rates_has_limits(r);
}

void leaf_access_note_wanted(struct router *r, const struct route_part *p,
			     struct route_leaf *leaf)
{
	rates_note_wanted(r, p, leaf);
}

double leaf_access_rate_share(struct router *r, struct route_leaf *leaf)
{
	return rates_share(r, leaf);
}

double leaf_access_rate_share_of(struct router *r, const struct route_part *p,
				 struct route_leaf *leaf)
{
	return rates_share_of(r, leaf, p->request->priority);
}

void leaf_access_note_call(struct router *r, const struct route_part *p,
			   struct route_leaf *leaf, bool is_extra)
{
	leaf->probed_at_us = router_now(r);
	rates_note_call(r, leaf, p->request->priority, is_extra);
}

/* Regions and failure domains */

uint64_t leaf_access_regions(const struct router *r, const struct route *route,
			     const struct organisation *organisation)
{
	uint64_t regions = leaf_set_regions(&r->leaves, route->regions);

	if (organisation)
		regions &= leaf_set_regions(&r->leaves, organisation->regions);
	return regions;
}

/* Returns the route of the same name in the table in force, or the one given. */
static const struct route *current_route(const struct router *r,
					 const struct route *route)
{
	const struct route_table *t = r->table;

	for (uint32_t i = 0; i < t->route_count; i++) {
		if (!strcmp(t->routes[i].name, route->name))
			return &t->routes[i];
	}
	return route;
}

static const struct organisation *
current_organisation(const struct router *r, const struct organisation *o)
{
	const struct organisation *current =
		o ? route_table_find_organisation(r->table, o->name) : NULL;

	return current ? current : o;
}

/*
 * Returns the regions that the table in force allows a request, which may be
 * newer than the table with which the request began. Limits of a route or
 * organisation that it no longer has remain.
 */
static uint64_t request_regions(const struct router *r, struct route_request *q)
{
	if (q->regions_version == r->table->version &&
	    q->regions_organisation == q->organisation)
		return q->regions;
	if (q->table == r->table)
		q->regions = leaf_access_regions(r, q->route, q->organisation);
	else
		q->regions = leaf_access_regions(
			r, current_route(r, q->route),
			current_organisation(r, q->organisation));
	q->regions_version = r->table->version;
	q->regions_organisation = q->organisation;
	return q->regions;
}

uint64_t leaf_access_part_regions(const struct router *r,
				  const struct route_part *p)
{
	return request_regions(r, p->request);
}

enum leaf_access_reason leaf_access_check_place(const struct route_leaf *leaf,
						uint64_t regions,
						int64_t now_us)
{
	if (regions != REGIONS_ALL && !(leaf->region & regions))
		return ACCESS_OTHER_REGION;
	if (leaf->is_evacuated)
		return ACCESS_EVACUATED;
	if (route_leaf_is_usable(leaf, now_us))
		return ACCESS_ALLOWED;
	return leaf->phase == LEAF_LEAVING ? ACCESS_LEAVING : ACCESS_REMOVED;
}

/* State of the leaf and its calls */

static bool is_ejected(const struct route_leaf *leaf, int64_t now)
{
	return now < leaf->ejected_until_us;
}

static bool may_probe(const struct route_leaf *leaf, int64_t now)
{
	return now - leaf->probed_at_us >= PROBE_INTERVAL_US;
}

double leaf_access_max_calls(const struct route_leaf *leaf)
{
	uint32_t share = leaf->pool->max_connections / CONNECTIONS_DIVISOR;

	return CLAMP(share, CALLS_MIN, CALLS_MAX);
}

static bool is_full(const struct route_leaf *leaf, int64_t now)
{
	return now < leaf->full_until_us ||
	       leaf->calls.length >= MIN(leaf->concurrency_limit,
					 leaf_access_max_calls(leaf));
}

static bool is_tried(const struct route_part *p, const struct route_leaf *leaf)
{
	for (uint32_t i = 0; i < p->tried_count; i++) {
		if (p->tried[i] == leaf)
			return true;
	}
	return false;
}

static bool may_join_batch(const struct router *r, const struct route_part *p,
			   const struct route_leaf *leaf, int64_t now)
{
	const struct route_request *q = p->request;

	return !p->is_planned && !route_leaf_is_cold(leaf, now) &&
	       r->options.ops->start_batch && q->route->shape == ROUTE_GATHER &&
	       !q->is_partial && !q->is_repeat &&
	       leaf->distance == LEAF_SAME_REGION;
}

/* Fills in the answer for a leaf whose place and state allow calls. */
static void check_calls(struct router *r, const struct route_part *p,
			struct route_leaf *leaf, int64_t now,
			struct leaf_access *a)
{
	a->may_join_batch = may_join_batch(r, p, leaf, now);
	a->has_room = a->may_join_batch ||
		      rates_has_room(r, leaf, p->request->priority);
	if (is_tried(p, leaf)) {
		a->reason = ACCESS_TRIED;
	} else if (!a->has_room) {
		a->reason = route_leaf_is_cold(leaf, now) ? ACCESS_COLD
							  : ACCESS_RATE_LIMIT;
		a->until_us = room_at(r, p, leaf, now);
	} else if (is_full(leaf, now)) {
		a->reason = ACCESS_FULL;
		if (now < leaf->full_until_us)
			a->until_us = leaf->full_until_us;
	}
}

struct leaf_access leaf_access_check(struct router *r,
				     const struct route_part *p,
				     struct route_leaf *leaf, int64_t now_us)
{
	struct route_request *q = p->request;
	struct leaf_access a = {
		.reason = leaf_access_check_place(leaf, request_regions(r, q),
						  now_us),
		.until_us = INT64_MAX,
		.is_last_resort = is_ejected(leaf, now_us) ||
				  leaf->phase != LEAF_IN_SERVICE,
	};

	if (a.reason != ACCESS_ALLOWED)
		return a;
	if (q->is_partial && leaf->distance != LEAF_SAME_DOMAIN) {
		a.reason = ACCESS_OTHER_DOMAIN;
	} else if (is_ejected(leaf, now_us) && !may_probe(leaf, now_us)) {
		a.reason = ACCESS_EJECTED;
		a.until_us = MIN(leaf->ejected_until_us,
				 leaf->probed_at_us + PROBE_INTERVAL_US);
	} else {
		check_calls(r, p, leaf, now_us, &a);
	}
	return a;
}

/* Leaves of a part that its limits exclude. */
struct excluded_leaves {
	uint32_t other_region;
	uint32_t evacuated;
	uint32_t cold;
	/** Leaves that are neither excluded nor gone, including cold ones. */
	uint32_t usable;
};

static struct excluded_leaves count_excluded(struct router *r,
					     const struct route_part *p)
{
	uint64_t regions = request_regions(r, p->request);
	int64_t now = router_now(r);
	struct excluded_leaves n = { 0 };

	for (guint i = 0; i < p->pool->leaves->len; i++) {
		const struct route_leaf *leaf = p->pool->leaves->pdata[i];

		switch (leaf_access_check_place(leaf, regions, now)) {
		case ACCESS_ALLOWED:
			n.usable++;
			n.cold += route_leaf_is_cold(leaf, now);
			break;
		case ACCESS_OTHER_REGION:
			n.other_region++;
			break;
		case ACCESS_EVACUATED:
			n.evacuated++;
			break;
		default:
			break;
		}
	}
	return n;
}

void leaf_access_log_none(struct router *r, const struct route_part *p)
{
	struct excluded_leaves n = count_excluded(r, p);

	rates_log_no_room(r, p);
	r->place_counts.other_region_parts += n.other_region > 0;
	r->place_counts.evacuated_parts += n.evacuated > 0;
	r->place_counts.cold_parts += n.cold > 0;
	if (n.other_region || n.evacuated || n.cold)
		event_log(EV_PART_EXCLUDED,
			  "request=%s service=%s leaves=%u other_region=%u "
			  "evacuated=%u cold=%u usable=%u",
			  p->request->request_id, p->pool->name,
			  p->pool->leaves->len, n.other_region, n.evacuated,
			  n.cold, n.usable);
}

static bool can_do_without(const struct route_request *q, uint32_t parts)
{
	return !parts || (q->route->shape == ROUTE_GATHER &&
			  gather_reaches_coverage(q, q->part_count - parts));
}

int leaf_access_refusal_code(struct router *r, struct route_request *q,
			     int code)
{
	uint32_t other_region = 0;
	uint32_t evacuated = 0;

	if (code == -ERR_ROUTE_STOPPING)
		return code;
	for (uint32_t i = 0; i < q->part_count; i++) {
		const struct route_part *p = &q->parts[i];
		struct excluded_leaves n;

		if (p->phase != PART_FAILED && !p->is_infeasible)
			continue;
		n = count_excluded(r, p);
		other_region += !n.usable && n.other_region;
		evacuated += !n.usable && !n.other_region && n.evacuated;
	}
	if (can_do_without(q, other_region + evacuated))
		return code;
	return other_region ? -ERR_ROUTE_REGION : -ERR_ROUTE_EVACUATED;
}
