#include "fleet/lease.h"

#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "common/errors.h"
#include "common/events.h"

#define HEARTBEAT_US US_PER_S
/* Two heartbeats without an answer, and time to name another successor. */
#define SUCCESSOR_LOST_US (2500 * US_PER_MS)
#define NAME_RETRY_US US_PER_S
#define HAND_BACK_US (30 * US_PER_S)
#define HAND_BACK_RETRY_US (10 * US_PER_S)
#define REMEMBERED_HEARTBEATS 8

enum lease_role {
	/** No part in the seat; the epoch is remembered. */
	ROLE_NONE,
	/** The host of the seat, while another host owns its keys. */
	ROLE_WAITING,
	ROLE_OWNER,
	ROLE_SUCCESSOR,
};

enum lease_action {
	ACTION_NONE,
	/** An owner names a successor. */
	ACTION_NAMING,
	/** A successor, or the seat's host, becomes owner. */
	ACTION_TAKING,
	/** An owner gives the keys to the seat's host. */
	ACTION_HANDING,
};

struct lease {
	struct leases *leases;
	char domain[DOMAIN_NAME_MAX];
	uint16_t seat;
	enum lease_role role;
	enum lease_action action;
	/** This host occupies the seat. */
	bool is_host;
	/** The tenure was ended here for good. */
	bool is_ending;
	/** Another host owns the keys, as the last read showed. */
	bool is_lost;
	uint64_t epoch;
	int64_t tenure_us;
	int64_t until_us;
	/** The successor of an owner, or the owner of a successor. */
	struct host_ref peer;
	/** Last answer of the successor, or last promise to the owner. */
	int64_t contact_us;
	int64_t heartbeat_us;
	int64_t sent_us[REMEMBERED_HEARTBEATS];
	uint64_t seq;
	/** Next try of naming, taking or handing. */
	int64_t retry_us;
	int64_t owner_since_us;
	/** What the write under way says, and when it was first sent. */
	struct host_ref named;
	uint64_t named_epoch;
	int64_t named_tenure_us;
	int64_t written_us;
};

struct leases {
	struct lease_options options;
	GRand *rand;
	GPtrArray *list;
};

static int64_t now_us(const struct leases *l)
{
	return clock_now(&l->options.clock);
}

static struct lease *find_lease(const struct leases *l, const char *domain,
				uint16_t seat)
{
	struct lease *e;

	for (uint32_t i = 0; i < l->list->len; i++) {
		e = l->list->pdata[i];
		if (e->seat == seat && !strcmp(e->domain, domain))
			return e;
	}
	return NULL;
}

static struct lease *add_lease(struct leases *l, const char *domain,
			       uint16_t seat)
{
	struct lease *e = g_new0(struct lease, 1);

	e->leases = l;
	e->seat = seat;
	g_strlcpy(e->domain, domain, sizeof(e->domain));
	g_ptr_array_add(l->list, e);
	return e;
}

/*
 * The entry stays, with the latest epoch. A host that forgot it would promise
 * to a paused owner of an older epoch, whose tenure would then continue next to
 * that of the present owner.
 */
static void retire(struct lease *e)
{
	e->role = ROLE_NONE;
	e->is_host = false;
	e->until_us = 0;
	memset(&e->peer, 0, sizeof(e->peer));
}

static void fill_state(const struct lease *e, struct lease_state *out)
{
	out->domain = e->domain;
	out->seat = e->seat;
	out->epoch = e->epoch;
	out->is_owner = e->role == ROLE_OWNER;
	out->tenure_us = e->tenure_us;
	out->until_us = e->until_us;
}

static void report(const struct lease *e)
{
	struct lease_state state;

	fill_state(e, &state);
	e->leases->options.ops->changed(e->leases->options.ctx, &state);
}

static void log_lease(enum event_id id, const struct lease *e)
{
	event_log(id,
		  "host=%s domain=%s seat=%u epoch=%" PRIu64
		  " peer=%s tenure=%" PRId64,
		  e->leases->options.host.id, e->domain, e->seat, e->epoch,
		  e->peer.id[0] ? e->peer.id : "none", e->tenure_us);
}

static int64_t draw_delay(struct leases *l, int64_t period)
{
	return g_rand_int_range(l->rand, (gint32)(period / 2),
				(gint32)(period + period / 2));
}

static bool has_successor(const struct lease *e)
{
	return e->peer.id[0] != 0;
}

/*
 * After a compare-and-swap by the owner nobody holds a promise for the new
 * epoch. A successor learns of the epoch only from a heartbeat that is sent
 * later, so the lease may be counted from the sending of the write.
 */
static void renew_after_write(struct lease *e)
{
	e->until_us = LEASE_NEVER;
	if (has_successor(e))
		e->until_us = e->written_us + LEASE_US;
	e->contact_us = now_us(e->leases);
	e->heartbeat_us = e->contact_us;
	e->seq += REMEMBERED_HEARTBEATS;
	memset(e->sent_us, 0, sizeof(e->sent_us));
}

static void become_owner(struct lease *e)
{
	e->role = ROLE_OWNER;
	e->owner_since_us = now_us(e->leases);
	e->retry_us = e->owner_since_us;
	renew_after_write(e);
	log_lease(EV_LEASE_OWNER, e);
	report(e);
}

static void lose_keys(struct lease *e)
{
	bool was_owner = e->role == ROLE_OWNER;

	e->role = ROLE_WAITING;
	e->until_us = 0;
	e->retry_us = now_us(e->leases) + draw_delay(e->leases, LEASE_US);
	if (!was_owner)
		return;
	log_lease(EV_LEASE_LOST, e);
	report(e);
}

/* Only the seat's host waits for the keys to come back. */
static void give_up(struct lease *e)
{
	lose_keys(e);
	if (!e->is_host)
		retire(e);
}

static void start_update(struct lease *e, enum lease_action action,
			 enum update_decision (*edit)(void *,
						      struct seat_table *),
			 void (*finished)(void *, int))
{
	struct update u = { e->domain, edit, finished, e };

	e->action = action;
	e->is_lost = false;
	e->written_us = 0;
	e->named_epoch = 0;
	updater_start(e->leases->options.updater, &u);
}

static bool is_own(const struct lease *e, const struct host_ref *h)
{
	return host_ref_equals(h, &e->leases->options.host);
}

static bool owns_record(const struct lease *e, const struct seat_record *r)
{
	return is_own(e, &r->owner) && r->epoch == e->epoch;
}

/* Notes what a write says; an earlier try of the same write counts. */
static void note_write(struct lease *e, const struct seat_record *r)
{
	if (!e->written_us)
		e->written_us = now_us(e->leases);
	e->named_epoch = r->epoch;
	e->named_tenure_us = r->tenure_us;
}

static bool is_written(const struct lease *e, const struct seat_record *r)
{
	return e->named_epoch && r->epoch == e->named_epoch;
}

static enum update_decision edit_naming(void *ctx, struct seat_table *t)
{
	struct lease *e = ctx;
	struct seat_record *r = seat_table_find(t, e->seat);

	/* Stale read; the next one decides. */
	if (r && r->epoch < e->epoch)
		return UPDATE_ABORT;
	if (!r || !is_own(e, &r->owner)) {
		e->is_lost = true;
		return UPDATE_ABORT;
	}
	if (is_written(e, r) && host_ref_equals(&r->successor, &e->named))
		return UPDATE_DONE;
	if (!owns_record(e, r)) {
		e->is_lost = true;
		return UPDATE_ABORT;
	}
	r->successor = e->named;
	r->epoch++;
	note_write(e, r);
	return UPDATE_WRITE;
}

static void handle_named(void *ctx, int code)
{
	struct lease *e = ctx;

	e->action = ACTION_NONE;
	e->retry_us = now_us(e->leases) + draw_delay(e->leases, NAME_RETRY_US);
	if (e->is_ending)
		return;
	if (code) {
		if (e->is_lost)
			give_up(e);
		return;
	}
	e->epoch = e->named_epoch;
	e->peer = e->named;
	renew_after_write(e);
	log_lease(EV_LEASE_NAMED, e);
	report(e);
}

static void name_successor(struct lease *e)
{
	struct leases *l = e->leases;

	memset(&e->named, 0, sizeof(e->named));
	if (!l->options.ops->choose_successor(l->options.ctx, e->domain,
					      e->seat, &e->peer, &e->named) &&
	    !has_successor(e)) {
		e->retry_us = now_us(l) + draw_delay(l, NAME_RETRY_US);
		return;
	}
	start_update(e, ACTION_NAMING, edit_naming, handle_named);
}

static bool is_promise_over(const struct lease *e)
{
	return now_us(e->leases) - e->contact_us >= LEASE_US + LEASE_DRIFT_US;
}

/* A handover frame may be old; only the record or the time permits a change. */
static bool may_take(const struct lease *e, const struct seat_record *r)
{
	if (is_own(e, &r->owner))
		return true;
	return is_promise_over(e) && e->role == ROLE_SUCCESSOR &&
	       r->epoch == e->epoch && host_ref_equals(&r->owner, &e->peer) &&
	       is_own(e, &r->successor);
}

/*
 * Writes even if the record already names this host: a stale read must not
 * bring an old tenure back.
 */
static enum update_decision edit_taking(void *ctx, struct seat_table *t)
{
	struct lease *e = ctx;
	struct seat_record *r = seat_table_find(t, e->seat);

	if (!r)
		return UPDATE_ABORT;
	if (is_written(e, r) && is_own(e, &r->owner)) {
		e->named_tenure_us = r->tenure_us;
		return UPDATE_DONE;
	}
	if (!may_take(e, r)) {
		e->epoch = MAX(e->epoch, r->epoch);
		return UPDATE_ABORT;
	}
	r->owner = e->leases->options.host;
	memset(&r->successor, 0, sizeof(r->successor));
	r->epoch++;
	r->tenure_us = clock_wall(&e->leases->options.clock);
	note_write(e, r);
	return UPDATE_WRITE;
}

static void handle_taken(void *ctx, int code)
{
	struct lease *e = ctx;

	e->action = ACTION_NONE;
	if (e->is_ending)
		return;
	if (code) {
		give_up(e);
		return;
	}
	e->epoch = e->named_epoch;
	e->tenure_us = e->named_tenure_us;
	memset(&e->peer, 0, sizeof(e->peer));
	become_owner(e);
}

static void take_keys(struct lease *e)
{
	log_lease(EV_LEASE_TAKEOVER, e);
	start_update(e, ACTION_TAKING, edit_taking, handle_taken);
}

static enum update_decision edit_handing(void *ctx, struct seat_table *t)
{
	struct lease *e = ctx;
	struct seat_record *r = seat_table_find(t, e->seat);
	const struct lease_options *o = &e->leases->options;

	if (!r || (!owns_record(e, r) && !is_written(e, r))) {
		e->is_lost = true;
		return UPDATE_ABORT;
	}
	if (is_written(e, r))
		return UPDATE_DONE;
	if (!r->host.id[0] || is_own(e, &r->host) ||
	    !o->ops->is_alive(o->ctx, &r->host))
		return UPDATE_ABORT;
	/* The tenure ends before the write can take effect. */
	e->until_us = 0;
	report(e);
	e->named = r->host;
	r->owner = r->host;
	r->successor = o->host;
	r->epoch++;
	r->tenure_us = clock_wall(&o->clock);
	note_write(e, r);
	return UPDATE_WRITE;
}

static void send_lease(struct lease *e, const struct host_ref *to,
		       enum frame_type type, uint64_t seq,
		       enum lease_answer answer)
{
	const struct lease_options *o = &e->leases->options;
	struct frame f = { .type = type };

	g_strlcpy(f.lease.domain, e->domain, sizeof(f.lease.domain));
	f.lease.seat = e->seat;
	f.lease.epoch = e->epoch;
	f.lease.seq = seq;
	g_strlcpy(f.lease.host, o->host.id, sizeof(f.lease.host));
	f.lease.incarnation = o->host.incarnation;
	f.lease.answer = answer;
	o->ops->send(o->ctx, to, &f);
}

static void handle_handed(void *ctx, int code)
{
	struct lease *e = ctx;
	struct leases *l = e->leases;

	e->action = ACTION_NONE;
	if (e->is_ending)
		return;
	e->retry_us = now_us(l) + draw_delay(l, HAND_BACK_RETRY_US);
	if (code) {
		/* A write that was sent ends the tenure even if it failed. */
		if (e->is_lost || e->written_us)
			give_up(e);
		return;
	}
	e->epoch = e->named_epoch;
	e->peer = e->named;
	send_lease(e, &e->peer, FRAME_LEASE_ACK, 0, LEASE_HANDED);
	give_up(e);
}

static bool is_foreign(const struct lease *e)
{
	int64_t hand_back = e->leases->options.hand_back_us;

	if (e->is_host)
		return false;
	if (!hand_back)
		hand_back = HAND_BACK_US;
	return e->owner_since_us + hand_back <= now_us(e->leases);
}

static void send_heartbeat(struct lease *e, int64_t now)
{
	e->heartbeat_us = now + HEARTBEAT_US;
	e->seq++;
	e->sent_us[e->seq % REMEMBERED_HEARTBEATS] = now;
	send_lease(e, &e->peer, FRAME_LEASE, e->seq, LEASE_PROMISED);
}

static void run_owner(struct lease *e, int64_t now)
{
	bool is_lost = now - e->contact_us >= SUCCESSOR_LOST_US;

	if (has_successor(e) && now >= e->heartbeat_us)
		send_heartbeat(e, now);
	if (e->action != ACTION_NONE || now < e->retry_us)
		return;
	if (!has_successor(e) || is_lost)
		name_successor(e);
	else if (is_foreign(e))
		start_update(e, ACTION_HANDING, edit_handing, handle_handed);
}

static void run_lease(struct lease *e, int64_t now)
{
	switch (e->role) {
	case ROLE_OWNER:
		run_owner(e, now);
		return;
	case ROLE_SUCCESSOR:
		if (e->action == ACTION_NONE && is_promise_over(e))
			take_keys(e);
		return;
	case ROLE_NONE:
		return;
	case ROLE_WAITING:
		if (e->action == ACTION_NONE && now >= e->retry_us)
			take_keys(e);
		return;
	}
}

void leases_advance(struct leases *l)
{
	int64_t now = now_us(l);

	for (uint32_t i = 0; i < l->list->len; i++)
		run_lease(l->list->pdata[i], now);
}

static int64_t next_timer(const struct lease *e)
{
	int64_t at = INT64_MAX;

	if (e->role == ROLE_OWNER && has_successor(e))
		at = e->heartbeat_us;
	if (e->action != ACTION_NONE)
		return at;
	switch (e->role) {
	case ROLE_OWNER:
		if (!has_successor(e))
			return MIN(at, e->retry_us);
		return MIN(at,
			   MAX(e->retry_us, e->contact_us + SUCCESSOR_LOST_US));
	case ROLE_SUCCESSOR:
		return e->contact_us + LEASE_US + LEASE_DRIFT_US;
	case ROLE_NONE:
		return at;
	case ROLE_WAITING:
		return e->retry_us;
	}
	return at;
}

int64_t leases_next_timer(const struct leases *l)
{
	int64_t at = INT64_MAX;

	for (uint32_t i = 0; i < l->list->len; i++)
		at = MIN(at, next_timer(l->list->pdata[i]));
	return at;
}

static struct host_ref sender_of(const struct frame_lease *f)
{
	struct host_ref h = { .incarnation = f->incarnation };

	g_strlcpy(h.id, f->host, sizeof(h.id));
	return h;
}

/*
 * No promise while a takeover is under way: it may already be in the store, and
 * the owner would count on a promise that is no longer kept.
 */
static bool may_promise(const struct lease *e, const struct frame_lease *f)
{
	return (e->role == ROLE_SUCCESSOR || e->role == ROLE_NONE ||
		e->is_ending) &&
	       e->action == ACTION_NONE && f->epoch >= e->epoch;
}

static void refuse(struct leases *l, const struct lease *e,
		   const struct frame_lease *f)
{
	struct host_ref to = sender_of(f);

	send_lease((struct lease *)e, &to, FRAME_LEASE_ACK, f->seq,
		   LEASE_REFUSED);
}

static void handle_heartbeat(struct leases *l, const struct frame_lease *f)
{
	struct lease *e = find_lease(l, f->domain, f->seat);

	if (!e)
		e = add_lease(l, f->domain, f->seat);
	if (!may_promise(e, f)) {
		refuse(l, e, f);
		return;
	}
	e->role = ROLE_SUCCESSOR;
	e->is_ending = false;
	e->peer = sender_of(f);
	e->epoch = f->epoch;
	e->contact_us = now_us(l);
	send_lease(e, &e->peer, FRAME_LEASE_ACK, f->seq, LEASE_PROMISED);
}

static void handle_promise(struct lease *e, const struct frame_lease *f)
{
	struct host_ref from = sender_of(f);
	int64_t sent;

	if (e->role != ROLE_OWNER || f->epoch != e->epoch ||
	    !host_ref_equals(&from, &e->peer) || f->seq > e->seq ||
	    f->seq + REMEMBERED_HEARTBEATS <= e->seq)
		return;
	sent = e->sent_us[f->seq % REMEMBERED_HEARTBEATS];
	if (!sent)
		return;
	e->contact_us = now_us(e->leases);
	if (e->action == ACTION_HANDING || sent + LEASE_US <= e->until_us)
		return;
	e->until_us = sent + LEASE_US;
	report(e);
}

/* The keys of this host's seat come back, or those of a stopping owner. */
static void handle_handover(struct leases *l, const struct frame_lease *f)
{
	struct lease *e = find_lease(l, f->domain, f->seat);

	if (!e)
		e = add_lease(l, f->domain, f->seat);
	if (e->role != ROLE_OWNER && e->action == ACTION_NONE)
		take_keys(e);
}

void leases_receive(struct leases *l, const struct frame *f)
{
	struct lease *e;

	if (f->type == FRAME_LEASE) {
		handle_heartbeat(l, &f->lease);
		return;
	}
	if (f->lease.answer == LEASE_HANDED) {
		handle_handover(l, &f->lease);
		return;
	}
	e = find_lease(l, f->lease.domain, f->lease.seat);
	if (e && f->lease.answer == LEASE_PROMISED)
		handle_promise(e, &f->lease);
}

void leases_begin(struct leases *l, const char *domain,
		  const struct seat_record *record)
{
	struct lease *e = find_lease(l, domain, record->number);

	if (!e)
		e = add_lease(l, domain, record->number);
	e->is_host = true;
	e->is_ending = false;
	if (e->action != ACTION_NONE || e->role == ROLE_OWNER)
		return;
	e->role = ROLE_WAITING;
	e->retry_us = now_us(l);
}

void leases_end(struct leases *l, const char *domain, uint16_t seat)
{
	struct lease *e = find_lease(l, domain, seat);

	if (!e)
		return;
	lose_keys(e);
	e->is_ending = true;
	e->is_host = false;
	e->retry_us = INT64_MAX;
}

void leases_released(struct leases *l, const char *domain, uint16_t seat)
{
	struct lease *e = find_lease(l, domain, seat);

	if (e && has_successor(e))
		send_lease(e, &e->peer, FRAME_LEASE_ACK, 0, LEASE_HANDED);
}

int leases_check(const struct leases *l, const char *domain, uint16_t seat,
		 int64_t created_wall_us)
{
	const struct lease *e = find_lease(l, domain, seat);
	int64_t wall = clock_wall(&l->options.clock);

	if (!e || e->role != ROLE_OWNER)
		return -ERR_NOT_OWNER;
	if (now_us(l) >= e->until_us)
		return -ERR_LEASE_LAPSED;
	if (created_wall_us <= e->tenure_us + LEASE_SKEW_US ||
	    created_wall_us > wall + LEASE_SKEW_US ||
	    created_wall_us < wall - LEASE_KEY_AGE_US)
		return -ERR_KEY_UNKNOWN;
	return 0;
}

bool leases_state(const struct leases *l, const char *domain, uint16_t seat,
		  struct lease_state *out)
{
	const struct lease *e = find_lease(l, domain, seat);

	if (!e)
		return false;
	fill_state(e, out);
	return true;
}

int leases_create(struct leases **out, const struct lease_options *options)
{
	struct leases *l = calloc(1, sizeof(*l));

	if (!l)
		return -ERR_NOMEM;
	l->options = *options;
	l->rand = g_rand_new_with_seed((guint32)options->seed);
	l->list = g_ptr_array_new();
	*out = l;
	return 0;
}

void leases_destroy(struct leases *l)
{
	if (!l)
		return;
	for (uint32_t i = 0; i < l->list->len; i++)
		g_free(l->list->pdata[i]);
	g_ptr_array_free(l->list, TRUE);
	g_rand_free(l->rand);
	free(l);
}
