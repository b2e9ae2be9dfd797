#include "router/quota.h"

#include <math.h>
#include <string.h>

#include "common/events.h"
#include "engine/heap.h"

/* Longest wait for the answer to a claim; a round trip may take 24 ms. */
#define WAIT_MAX_US (60 * US_PER_MS)
/* The same as a share of the latency goal, counted from the arrival. */
#define WAIT_GOAL_SHARE 0.25
/* Backoff for callers of refused requests. */
#define RETRY_AFTER_MIN_US (100 * US_PER_MS)
#define RETRY_AFTER_SPREAD_US (300 * US_PER_MS)
#define RETRY_AFTER_MAX_US (5 * US_PER_S)
/* Callers accept a backoff of up to a third of the time to their deadline. */
#define RETRY_AFTER_SHARE 0.32
#define COUNT_HALF_LIFE_US (1 * US_PER_S)
/* Refusals of an organisation are logged together at this interval. */
#define REPORT_INTERVAL_US (1 * US_PER_S)
/* An organisation without requests is forgotten after this time. */
#define FORGET_US (10 * US_PER_S)
#define SWEEP_INTERVAL_US (1 * US_PER_S)
#define KEY_PREFIX "q:"

struct quota_waiter {
	void *user;
	int64_t until_us;
	int64_t left_us;
};

struct quota_entry {
	/** In the heap while a claim is due or requests wait. */
	struct heap_node node;
	char *name;
	/** Key of the tokens: no other user of tokens has it. */
	char *key;
	struct token_limit limit;
	struct token_lease lease;
	/** Of struct quota_waiter, the earliest first. */
	GQueue waiters;
	/** Of waiters: the first time at which one has waited too long. */
	int64_t wait_until_us;
	/** Requests of late, as exponentially decaying sums. */
	double admitted;
	double refused;
	int64_t counted_at_us;
	int64_t asked_at_us;
	uint32_t unreported;
	int64_t reported_at_us;
};

struct quota {
	struct quota_options options;
	/** Of struct quota_entry, by name. */
	GHashTable *entries;
	/** Of struct quota_entry, by the time of the next claim or refusal. */
	struct heap timers;
	GRand *random;
	int64_t next_sweep_us;
	struct quota_counts counts;
};

static void handle_free_entry(gpointer data)
{
	struct quota_entry *e = data;

	g_queue_clear_full(&e->waiters, g_free);
	g_free(e->name);
	g_free(e->key);
	g_free(e);
}

struct quota *quota_create(const struct quota_options *options)
{
	struct quota *q = g_new0(struct quota, 1);

	q->options = *options;
	q->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   handle_free_entry);
	q->random = g_rand_new_with_seed(options->seed);
	return q;
}

void quota_free(struct quota *q)
{
	heap_clear(&q->timers);
	g_hash_table_destroy(q->entries);
	g_rand_free(q->random);
	g_free(q);
}

static struct quota_entry *
get_entry(struct quota *q, const struct quota_request *in, int64_t now)
{
	const struct organisation *o = in->organisation;
	struct quota_entry *e = g_hash_table_lookup(q->entries, o->name);

	if (!e) {
		e = g_new0(struct quota_entry, 1);
		e->name = g_strdup(o->name);
		e->key = g_strconcat(KEY_PREFIX, o->name, NULL);
		token_lease_init(&e->lease);
		g_queue_init(&e->waiters);
		e->wait_until_us = INT64_MAX;
		e->counted_at_us = now;
		g_hash_table_insert(q->entries, e->name, e);
	}
	if (in->version >= e->limit.version)
		e->limit = (struct token_limit){
			.max_per_s = o->max_per_s,
			.burst = o->burst,
			.version = in->version,
		};
	e->asked_at_us = now;
	return e;
}

static void arm_timer(struct quota *q, struct quota_entry *e)
{
	int64_t at = e->lease.claim_at_us;

	if (e->waiters.length)
		at = MIN(at, e->wait_until_us);
	if (at == INT64_MAX)
		heap_remove(&q->timers, &e->node);
	else if (!e->node.position || e->node.key != at)
		heap_push(&q->timers, &e->node, at);
}

/* Returns an entry with a timer that is due, or NULL. */
static struct quota_entry *due_entry(const struct quota *q, int64_t now)
{
	const struct heap_node *top = heap_top(&q->timers);

	return top && top->key <= now
		       ? HEAP_OWNER(top, struct quota_entry, node)
		       : NULL;
}

static void decay_counts(struct quota_entry *e, int64_t now)
{
	double factor = exp2(-(double)(now - e->counted_at_us) /
			     (double)COUNT_HALF_LIFE_US);

	e->admitted *= factor;
	e->refused *= factor;
	e->counted_at_us = now;
}

static void report_refused(struct quota_entry *e, int64_t now)
{
	if (!e->unreported || now - e->reported_at_us < REPORT_INTERVAL_US)
		return;
	event_log(EV_QUOTA_EXCEEDED,
		  "organisation=%s refused=%u rate=%.3f burst=%.3f "
		  "admitted_lately=%.1f wanted=%.3f version=%llu",
		  e->name, e->unreported, e->limit.max_per_s, e->limit.burst,
		  e->admitted, token_lease_wanted(&e->lease, now),
		  (unsigned long long)e->limit.version);
	e->unreported = 0;
	e->reported_at_us = now;
}

/*
 * Returns the backoff of a refused request. Refused callers return evenly over
 * the time in which their number could be admitted here.
 */
static int64_t note_refused(struct quota *q, struct quota_entry *e,
			    int64_t left_us, int64_t now)
{
	double longest = MIN(RETRY_AFTER_SHARE * (double)left_us,
			     (double)RETRY_AFTER_MAX_US);
	double spread;

	decay_counts(e, now);
	e->refused += 1;
	spread = e->refused / MAX(e->admitted, 1) * COUNT_HALF_LIFE_US;
	spread = MAX(MIN(spread, longest - (double)RETRY_AFTER_MIN_US),
		     (double)RETRY_AFTER_SPREAD_US);
	q->counts.refused++;
	e->unreported++;
	report_refused(e, now);
	return RETRY_AFTER_MIN_US +
	       (int64_t)(g_rand_double(q->random) * spread);
}

static void note_admitted(struct quota *q, struct quota_entry *e, int64_t now)
{
	decay_counts(e, now);
	e->admitted += 1;
	q->counts.admitted++;
}

/* Returns how long a request may wait for a token. */
static int64_t longest_wait(const struct quota_request *in)
{
	int64_t wait = (int64_t)(WAIT_GOAL_SHARE * (double)in->goal_us) -
		       in->elapsed_us;

	return CLAMP(wait, 0, WAIT_MAX_US);
}

static void add_waiter(struct quota_entry *e, const struct quota_request *in,
		       int64_t now)
{
	struct quota_waiter *w = g_new0(struct quota_waiter, 1);

	w->user = in->user;
	w->until_us = now + longest_wait(in);
	w->left_us = in->left_us;
	e->wait_until_us = MIN(e->wait_until_us, w->until_us);
	g_queue_push_tail(&e->waiters, w);
}

/* Earlier requests come first, so one behind them takes no token. */
static enum quota_decision decide(const struct quota_entry *e,
				  struct lease_time now)
{
	if (!e->waiters.length && token_lease_has_token(&e->lease, now))
		return QUOTA_ADMITTED;
	return token_lease_is_dry(&e->lease, now.monotonic_us) ? QUOTA_EXCEEDED
							       : QUOTA_WAITS;
}

struct quota_view quota_look(const struct quota *q,
			     const struct quota_request *in,
			     struct lease_time now)
{
	const struct organisation *o = in->organisation;
	struct quota_view v = { .decision = QUOTA_ADMITTED };
	const struct quota_entry *e;

	if (!o || o->max_per_s <= 0)
		return v;
	e = g_hash_table_lookup(q->entries, o->name);
	v.longest_wait_us = longest_wait(in);
	v.decision = QUOTA_WAITS;
	if (!e)
		return v;
	v.decision = decide(e, now);
	v.tokens = token_lease_count(&e->lease, now);
	v.waiting = e->waiters.length;
	v.wanted_per_s = token_lease_wanted(&e->lease, now.monotonic_us);
	v.dry_us = MAX(e->lease.dry_until_us - now.monotonic_us, 0);
	return v;
}

enum quota_decision quota_ask(struct quota *q, const struct quota_request *in,
			      struct lease_time now, uint64_t *ticket,
			      int64_t *retry_after_us)
{
	const struct organisation *o = in->organisation;
	enum quota_decision decision;
	struct quota_entry *e;

	*ticket = 0;
	if (!o || o->max_per_s <= 0)
		return QUOTA_ADMITTED;
	e = get_entry(q, in, now.monotonic_us);
	decision = decide(e, now);
	if (e->waiters.length)
		token_lease_note_wanted(&e->lease, now);
	else
		token_lease_take(&e->lease, now, ticket);
	arm_timer(q, e);
	switch (decision) {
	case QUOTA_ADMITTED:
		note_admitted(q, e, now.monotonic_us);
		break;
	case QUOTA_EXCEEDED:
		*retry_after_us =
			note_refused(q, e, in->left_us, now.monotonic_us);
		break;
	case QUOTA_WAITS:
		add_waiter(e, in, now.monotonic_us);
		arm_timer(q, e);
		break;
	}
	return decision;
}

void quota_cancel(struct quota *q, const char *organisation, const void *user)
{
	struct quota_entry *e = g_hash_table_lookup(q->entries, organisation);

	if (!e)
		return;
	for (GList *i = e->waiters.head; i; i = i->next) {
		struct quota_waiter *w = i->data;

		if (w->user != user)
			continue;
		g_queue_delete_link(&e->waiters, i);
		g_free(w);
		break;
	}
	arm_timer(q, e);
}

void quota_give_back(struct quota *q, const char *organisation, uint64_t ticket,
		     struct lease_time now)
{
	struct quota_entry *e = g_hash_table_lookup(q->entries, organisation);

	if (!e || !ticket)
		return;
	token_lease_give_back(&e->lease, ticket, now);
	q->counts.given_back++;
}

static void refuse_waiter(struct quota *q, struct quota_entry *e,
			  struct quota_waiter *w, int64_t now)
{
	q->options.ops->refuse(q->options.ctx, w->user,
			       note_refused(q, e, w->left_us, now));
	g_free(w);
}

static void admit_waiters(struct quota *q, struct quota_entry *e,
			  struct lease_time now)
{
	struct quota_waiter *w;
	uint64_t ticket;

	while (e->waiters.length && token_lease_use(&e->lease, now, &ticket)) {
		w = g_queue_pop_head(&e->waiters);
		note_admitted(q, e, now.monotonic_us);
		q->options.ops->admit(q->options.ctx, w->user, ticket);
		g_free(w);
	}
}

/* Refuses the requests that wait no longer than until a time. */
static void refuse_waiters(struct quota *q, struct quota_entry *e,
			   int64_t until, int64_t now)
{
	GList *next;

	e->wait_until_us = INT64_MAX;
	for (GList *i = e->waiters.head; i; i = next) {
		struct quota_waiter *w = i->data;

		next = i->next;
		if (w->until_us > until) {
			e->wait_until_us = MIN(e->wait_until_us, w->until_us);
			continue;
		}
		g_queue_delete_link(&e->waiters, i);
		refuse_waiter(q, e, w, now);
	}
}

void quota_handle_grant(struct quota *q, const struct token_grant *g,
			struct lease_time now)
{
	struct quota_entry *e = NULL;

	if (g_str_has_prefix(g->key, KEY_PREFIX))
		e = g_hash_table_lookup(q->entries,
					g->key + strlen(KEY_PREFIX));
	if (!e || !token_lease_apply_grant(&e->lease, g, now))
		return;
	admit_waiters(q, e, now);
	/* A token that comes after the wait would mostly lapse unused. */
	if (token_lease_is_dry(&e->lease, now.monotonic_us))
		refuse_waiters(q, e, INT64_MAX, now.monotonic_us);
	else if (e->waiters.length)
		refuse_waiters(q, e, now.monotonic_us + g->next_answer_us,
			       now.monotonic_us);
	if (e->waiters.length)
		token_lease_claim_again(&e->lease, now);
	arm_timer(q, e);
}

int64_t quota_next_timer(const struct quota *q)
{
	const struct heap_node *top = heap_top(&q->timers);

	return top ? top->key : INT64_MAX;
}

static void sweep(struct quota *q, int64_t now)
{
	GHashTableIter iter;
	gpointer value;

	q->next_sweep_us = now + SWEEP_INTERVAL_US;
	g_hash_table_iter_init(&iter, q->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct quota_entry *e = value;

		report_refused(e, now);
		if (now - e->asked_at_us < FORGET_US || e->waiters.length)
			continue;
		heap_remove(&q->timers, &e->node);
		g_hash_table_iter_remove(&iter);
	}
}

GArray *quota_advance(struct quota *q, struct lease_time now)
{
	GArray *claims = NULL;
	struct quota_entry *e;

	while ((e = due_entry(q, now.monotonic_us))) {
		struct token_claim c = {
			.key = e->key,
			.domain = "",
			.limit = e->limit,
		};

		if (e->waiters.length && now.monotonic_us >= e->wait_until_us)
			refuse_waiters(q, e, now.monotonic_us,
				       now.monotonic_us);
		if (token_lease_take_claim(&e->lease, e->waiters.length, now,
					   &c)) {
			if (!claims)
				claims = g_array_new(FALSE, FALSE, sizeof(c));
			g_array_append_val(claims, c);
		}
		arm_timer(q, e);
	}
	if (now.monotonic_us >= q->next_sweep_us)
		sweep(q, now.monotonic_us);
	return claims;
}

const char *quota_key_organisation(const char *key)
{
	return g_str_has_prefix(key, KEY_PREFIX) ? key + strlen(KEY_PREFIX)
						 : NULL;
}

struct quota_counts quota_counts(const struct quota *q)
{
	struct quota_counts c = q->counts;

	c.organisations = g_hash_table_size(q->entries);
	return c;
}
