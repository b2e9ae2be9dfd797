#include "fleet/lease.h"

#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "common/errors.h"
#include "common/events.h"

#define HEARTBEAT_US US_PER_S
/*
 * A successor is replaced after two heartbeats without an answer. The rest of
 * the lease leaves time to name another one.
 */
#define SUCCESSOR_LOST_US (2500 * US_PER_MS)
#define NAME_RETRY_US US_PER_S
#define HAND_BACK_DELAY_US (30 * US_PER_S)
#define HAND_BACK_RETRY_US (10 * US_PER_S)
#define HEARTBEAT_HISTORY 8

enum lease_role {
	/** Neither owner nor successor; the entry keeps the latest epoch. */
	ROLE_NONE,
	/** Host of the seat that does not own the keys and tries to. */
	ROLE_WAITING,
	ROLE_OWNER,
	ROLE_SUCCESSOR,
};

/** Change of the record in the store that is in flight. */
enum lease_action {
	ACTION_NONE,
	/** The owner names a successor. */
	ACTION_NAMING,
	/** The successor, or the seat's host, becomes owner. */
	ACTION_TAKING_OVER,
	/** The owner hands the keys back to the seat's host. */
	ACTION_HANDING_BACK,
};

struct lease {
	struct leases *leases;
	char domain[DOMAIN_NAME_MAX];
	uint16_t seat;
	enum lease_role role;
	enum lease_action action;
	/** Whether this host occupies the seat. */
	bool is_host;
	/** Whether leases_end_tenure() ended the tenure. */
	bool is_ending;
	/** Whether the last read showed that another host owns the keys. */
	bool is_lost;
	uint64_t epoch;
	int64_t tenure_us;
	int64_t until_us;
	/** The owner's successor, or the owner if this host is successor. */
	struct host_ref peer;
	/**
	 * Time of the last promise that an owner received or a successor sent;
	 * a write of the owner counts as one.
	 */
	int64_t last_contact_us;
	/** Time of the next heartbeat. */
	int64_t next_heartbeat_us;
	/** Times at which the last heartbeats were sent, by sequence number. */
	int64_t heartbeat_sent_us[HEARTBEAT_HISTORY];
	uint64_t seq;
	/** Time of the next attempt to name, take or hand back. */
	int64_t next_attempt_us;
	int64_t owner_since_us;
	/** Content of the write in flight, and when it was first sent. */
	struct host_ref written_peer;
	uint64_t written_epoch;
	int64_t written_tenure_us;
	int64_t write_sent_us;
};

struct leases {
	struct lease_options options;
	GRand *rand;
	GPtrArray *entries;
};

static int64_t now_us(const struct leases *l)
{
	return clock_now(&l->options.clock);
}

static struct lease *find_lease(const struct leases *l, const char *domain,
				uint16_t seat)
{
	struct lease *e;

	for (uint32_t i = 0; i < l->entries->len; i++) {
		e = l->entries->pdata[i];
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
	g_ptr_array_add(l->entries, e);
	return e;
}

/*
 * Keeps the entry with the latest epoch. Without it, this host could answer
 * the heartbeat of a paused owner of an older epoch with a promise, and that
 * tenure would continue beside the tenure of the present owner.
 */
static void clear_role(struct lease *e)
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

static void report_state(const struct lease *e)
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
 * After a compare-and-swap by the owner no successor has given a promise for
 * the new epoch. The successor learns the epoch only from a heartbeat that is
 * sent later, so the lease may start when the write was sent.
 */
static void renew_after_write(struct lease *e)
{
	e->until_us = LEASE_NEVER;
	if (has_successor(e))
		e->until_us = e->write_sent_us + LEASE_US;
	e->last_contact_us = now_us(e->leases);
	e->next_heartbeat_us = e->last_contact_us;
	e->seq += HEARTBEAT_HISTORY;
	memset(e->heartbeat_sent_us, 0, sizeof(e->heartbeat_sent_us));
}

static void become_owner(struct lease *e)
{
	e->role = ROLE_OWNER;
	e->owner_since_us = now_us(e->leases);
	e->next_attempt_us = e->owner_since_us;
	renew_after_write(e);
	log_lease(EV_LEASE_OWNER, e);
	report_state(e);
}

static void end_tenure(struct lease *e)
{
	bool was_owner = e->role == ROLE_OWNER;

	e->role = ROLE_WAITING;
	e->until_us = 0;
	e->next_attempt_us =
		now_us(e->leases) + draw_delay(e->leases, LEASE_US);
	if (!was_owner)
		return;
	log_lease(EV_LEASE_LOST, e);
	report_state(e);
}

/* Ends the tenure. Only the seat's host waits to own the keys again. */
static void give_up_keys(struct lease *e)
{
	end_tenure(e);
	if (!e->is_host)
		clear_role(e);
}

static void start_update(struct lease *e, enum lease_action action,
			 enum update_decision (*edit)(void *,
						      struct seat_table *),
			 void (*finished)(void *, int))
{
	struct update u = { e->domain, edit, finished, e };

	e->action = action;
	e->is_lost = false;
	e->write_sent_us = 0;
	e->written_epoch = 0;
	updater_start(e->leases->options.updater, &u);
}

static bool is_this_host(const struct lease *e, const struct host_ref *h)
{
	return host_ref_equals(h, &e->leases->options.host);
}

static bool is_own_record(const struct lease *e, const struct seat_record *r)
{
	return is_this_host(e, &r->owner) && r->epoch == e->epoch;
}

/* Notes the content of a write. The time of its first attempt stays. */
static void note_write(struct lease *e, const struct seat_record *r)
{
	if (!e->write_sent_us)
		e->write_sent_us = now_us(e->leases);
	e->written_epoch = r->epoch;
	e->written_tenure_us = r->tenure_us;
}

static bool is_own_write(const struct lease *e, const struct seat_record *r)
{
	return e->written_epoch && r->epoch == e->written_epoch;
}

static enum update_decision edit_naming(void *ctx, struct seat_table *t)
{
	struct lease *e = ctx;
	struct seat_record *r = seat_table_find(t, e->seat);

	/* The read is stale; naming is tried again later. */
	if (r && r->epoch < e->epoch)
		return UPDATE_ABORT;
	if (!r || !is_this_host(e, &r->owner)) {
		e->is_lost = true;
		return UPDATE_ABORT;
	}
	if (is_own_write(e, r) &&
	    host_ref_equals(&r->successor, &e->written_peer))
		return UPDATE_DONE;
	if (!is_own_record(e, r)) {
		e->is_lost = true;
		return UPDATE_ABORT;
	}
	r->successor = e->written_peer;
	r->epoch++;
	note_write(e, r);
	return UPDATE_WRITE;
}

static void handle_naming_written(void *ctx, int code)
{
	struct lease *e = ctx;

	e->action = ACTION_NONE;
	e->next_attempt_us =
		now_us(e->leases) + draw_delay(e->leases, NAME_RETRY_US);
	if (e->is_ending)
		return;
	if (code) {
		if (e->is_lost)
			give_up_keys(e);
		return;
	}
	e->epoch = e->written_epoch;
	e->peer = e->written_peer;
	renew_after_write(e);
	log_lease(EV_LEASE_NAMED, e);
	report_state(e);
}

static void name_successor(struct lease *e)
{
	struct leases *l = e->leases;

	memset(&e->written_peer, 0, sizeof(e->written_peer));
	if (!l->options.ops->choose_successor(l->options.ctx, e->domain,
					      e->seat, &e->peer,
					      &e->written_peer) &&
	    !has_successor(e)) {
		e->next_attempt_us = now_us(l) + draw_delay(l, NAME_RETRY_US);
		return;
	}
	start_update(e, ACTION_NAMING, edit_naming, handle_naming_written);
}

static bool is_promise_over(const struct lease *e)
{
	return now_us(e->leases) - e->last_contact_us >=
	       LEASE_US + LEASE_DRIFT_US;
}

/*
 * A handover frame may be old, so it does not permit a takeover. Either the
 * record names this host as owner, or the promise of this successor is over.
 */
static bool may_take_keys(const struct lease *e, const struct seat_record *r)
{
	if (is_this_host(e, &r->owner))
		return true;
	return is_promise_over(e) && e->role == ROLE_SUCCESSOR &&
	       r->epoch == e->epoch && host_ref_equals(&r->owner, &e->peer) &&
	       is_this_host(e, &r->successor);
}

/*
 * Writes even if the record already names this host as owner: the read may be
 * stale, and an old tenure must not be resumed.
 */
static enum update_decision edit_takeover(void *ctx, struct seat_table *t)
{
	struct lease *e = ctx;
	struct seat_record *r = seat_table_find(t, e->seat);

	if (!r)
		return UPDATE_ABORT;
	if (is_own_write(e, r) && is_this_host(e, &r->owner)) {
		e->written_tenure_us = r->tenure_us;
		return UPDATE_DONE;
	}
	if (!may_take_keys(e, r)) {
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

static void handle_takeover_written(void *ctx, int code)
{
	struct lease *e = ctx;

	e->action = ACTION_NONE;
	if (e->is_ending)
		return;
	if (code) {
		give_up_keys(e);
		return;
	}
	e->epoch = e->written_epoch;
	e->tenure_us = e->written_tenure_us;
	memset(&e->peer, 0, sizeof(e->peer));
	become_owner(e);
}

static void start_takeover(struct lease *e)
{
	log_lease(EV_LEASE_TAKEOVER, e);
	start_update(e, ACTION_TAKING_OVER, edit_takeover,
		     handle_takeover_written);
}

static enum update_decision edit_hand_back(void *ctx, struct seat_table *t)
{
	struct lease *e = ctx;
	struct seat_record *r = seat_table_find(t, e->seat);
	const struct lease_options *o = &e->leases->options;

	if (!r || (!is_own_record(e, r) && !is_own_write(e, r))) {
		e->is_lost = true;
		return UPDATE_ABORT;
	}
	if (is_own_write(e, r))
		return UPDATE_DONE;
	if (!r->host.id[0] || is_this_host(e, &r->host) ||
	    !o->ops->is_alive(o->ctx, &r->host))
		return UPDATE_ABORT;
	/* End the tenure here before the write can take effect. */
	e->until_us = 0;
	report_state(e);
	e->written_peer = r->host;
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

static void handle_hand_back_written(void *ctx, int code)
{
	struct lease *e = ctx;
	struct leases *l = e->leases;

	e->action = ACTION_NONE;
	if (e->is_ending)
		return;
	e->next_attempt_us = now_us(l) + draw_delay(l, HAND_BACK_RETRY_US);
	if (code) {
		/* The tenure ended when the write was sent. */
		if (e->is_lost || e->write_sent_us)
			give_up_keys(e);
		return;
	}
	e->epoch = e->written_epoch;
	e->peer = e->written_peer;
	send_lease(e, &e->peer, FRAME_LEASE_ACK, 0, LEASE_HANDED);
	give_up_keys(e);
}

static bool is_hand_back_due(const struct lease *e)
{
	int64_t hand_back = e->leases->options.hand_back_delay_us;

	if (e->is_host)
		return false;
	if (!hand_back)
		hand_back = HAND_BACK_DELAY_US;
	return e->owner_since_us + hand_back <= now_us(e->leases);
}

static void send_heartbeat(struct lease *e, int64_t now)
{
	e->next_heartbeat_us = now + HEARTBEAT_US;
	e->seq++;
	e->heartbeat_sent_us[e->seq % HEARTBEAT_HISTORY] = now;
	send_lease(e, &e->peer, FRAME_LEASE, e->seq, LEASE_PROMISED);
}

static void run_owner_timers(struct lease *e, int64_t now)
{
	bool is_successor_lost = now - e->last_contact_us >= SUCCESSOR_LOST_US;

	if (has_successor(e) && now >= e->next_heartbeat_us)
		send_heartbeat(e, now);
	if (e->action != ACTION_NONE || now < e->next_attempt_us)
		return;
	if (!has_successor(e) || is_successor_lost)
		name_successor(e);
	else if (is_hand_back_due(e))
		start_update(e, ACTION_HANDING_BACK, edit_hand_back,
			     handle_hand_back_written);
}

static void run_lease_timers(struct lease *e, int64_t now)
{
	switch (e->role) {
	case ROLE_OWNER:
		run_owner_timers(e, now);
		return;
	case ROLE_SUCCESSOR:
		if (e->action == ACTION_NONE && is_promise_over(e))
			start_takeover(e);
		return;
	case ROLE_NONE:
		return;
	case ROLE_WAITING:
		if (e->action == ACTION_NONE && now >= e->next_attempt_us)
			start_takeover(e);
		return;
	}
}

void leases_advance(struct leases *l)
{
	int64_t now = now_us(l);

	for (uint32_t i = 0; i < l->entries->len; i++)
		run_lease_timers(l->entries->pdata[i], now);
}

static int64_t get_next_timer(const struct lease *e)
{
	int64_t at = INT64_MAX;

	if (e->role == ROLE_OWNER && has_successor(e))
		at = e->next_heartbeat_us;
	if (e->action != ACTION_NONE)
		return at;
	switch (e->role) {
	case ROLE_OWNER:
		if (!has_successor(e))
			return MIN(at, e->next_attempt_us);
		return MIN(at, MAX(e->next_attempt_us,
				   e->last_contact_us + SUCCESSOR_LOST_US));
	case ROLE_SUCCESSOR:
		return e->last_contact_us + LEASE_US + LEASE_DRIFT_US;
	case ROLE_NONE:
		return at;
	case ROLE_WAITING:
		return e->next_attempt_us;
	}
	return at;
}

int64_t leases_next_timer(const struct leases *l)
{
	int64_t at = INT64_MAX;

	for (uint32_t i = 0; i < l->entries->len; i++)
		at = MIN(at, get_next_timer(l->entries->pdata[i]));
	return at;
}

static struct host_ref get_sender(const struct frame_lease *f)
{
	struct host_ref h = { .incarnation = f->incarnation };

	g_strlcpy(h.id, f->host, sizeof(h.id));
	return h;
}

/*
 * Makes no promise while a takeover is in flight: the write may already be in
 * the store, and the owner would rely on a promise that is not kept.
 */
static bool may_promise(const struct lease *e, const struct frame_lease *f)
{
	return (e->role == ROLE_SUCCESSOR || e->role == ROLE_NONE ||
		e->is_ending) &&
	       e->action == ACTION_NONE && f->epoch >= e->epoch;
}

static void refuse_heartbeat(struct leases *l, const struct lease *e,
			     const struct frame_lease *f)
{
	struct host_ref to = get_sender(f);

	send_lease((struct lease *)e, &to, FRAME_LEASE_ACK, f->seq,
		   LEASE_REFUSED);
}

static void handle_heartbeat(struct leases *l, const struct frame_lease *f)
{
	struct lease *e = find_lease(l, f->domain, f->seat);

	if (!e)
		e = add_lease(l, f->domain, f->seat);
	if (!may_promise(e, f)) {
		refuse_heartbeat(l, e, f);
		return;
	}
	e->role = ROLE_SUCCESSOR;
	e->is_ending = false;
	e->peer = get_sender(f);
	e->epoch = f->epoch;
	e->last_contact_us = now_us(l);
	send_lease(e, &e->peer, FRAME_LEASE_ACK, f->seq, LEASE_PROMISED);
}

static void handle_promise(struct lease *e, const struct frame_lease *f)
{
	struct host_ref from = get_sender(f);
	int64_t sent;

	if (e->role != ROLE_OWNER || f->epoch != e->epoch ||
	    !host_ref_equals(&from, &e->peer) || f->seq > e->seq ||
	    f->seq + HEARTBEAT_HISTORY <= e->seq)
		return;
	sent = e->heartbeat_sent_us[f->seq % HEARTBEAT_HISTORY];
	if (!sent)
		return;
	e->last_contact_us = now_us(e->leases);
	if (e->action == ACTION_HANDING_BACK || sent + LEASE_US <= e->until_us)
		return;
	e->until_us = sent + LEASE_US;
	report_state(e);
}

/*
 * Takes the keys after an owner has handed them back to the seat's host, or
 * after a stopping owner has released the seat to its successor.
 */
static void handle_handover(struct leases *l, const struct frame_lease *f)
{
	struct lease *e = find_lease(l, f->domain, f->seat);

	if (!e)
		e = add_lease(l, f->domain, f->seat);
	if (e->role != ROLE_OWNER && e->action == ACTION_NONE)
		start_takeover(e);
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

void leases_add_seat(struct leases *l, const char *domain,
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
	e->next_attempt_us = now_us(l);
}

void leases_end_tenure(struct leases *l, const char *domain, uint16_t seat)
{
	struct lease *e = find_lease(l, domain, seat);

	if (!e)
		return;
	end_tenure(e);
	e->is_ending = true;
	e->is_host = false;
	e->next_attempt_us = INT64_MAX;
}

void leases_notify_successor(struct leases *l, const char *domain,
			     uint16_t seat)
{
	struct lease *e = find_lease(l, domain, seat);

	if (e && has_successor(e))
		send_lease(e, &e->peer, FRAME_LEASE_ACK, 0, LEASE_HANDED);
}

int leases_check_key(const struct leases *l, const char *domain, uint16_t seat,
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
	l->entries = g_ptr_array_new();
	*out = l;
	return 0;
}

void leases_destroy(struct leases *l)
{
	if (!l)
		return;
	for (uint32_t i = 0; i < l->entries->len; i++)
		g_free(l->entries->pdata[i]);
	g_ptr_array_free(l->entries, TRUE);
	g_rand_free(l->rand);
	free(l);
}
