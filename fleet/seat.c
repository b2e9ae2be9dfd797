#include "fleet/seat.h"

#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "common/errors.h"
#include "common/events.h"

#define CLAIM_DELAY_US (500 * US_PER_MS)
/* A spare host, one without a seat, tries to claim one at this interval. */
#define SPARE_DELAY_US (10 * US_PER_S)
/* A host list older than this does not show that a host is absent. */
#define LIST_FRESH_US (5 * US_PER_S)
/*
 * Entries of hosts that were absent for longer are dropped. The absence of such
 * a host is counted anew when its entry is next needed.
 */
#define HOST_ENTRY_LIFETIME_US (3600 * US_PER_S)
/* A seat is verified after a pause of half the time that frees a seat. */
#define VERIFY_PAUSE_US (SEAT_ABSENCE_US / 2)

enum seat_action {
	SEAT_IDLE,
	SEAT_CLAIMING,
	SEAT_VERIFYING,
	SEAT_RELEASING,
};

/** Host that was on the host list, or that a seat record names. */
struct known_host {
	/** Start of the host's absence from the list; 0 if it is listed. */
	int64_t absent_since_us;
};

struct seat {
	struct seat_options options;
	GRand *rand;
	GHashTable *known_hosts;
	int64_t host_list_us;
	uint32_t seat_count;
	int32_t number;
	bool is_verified;
	bool is_stopping;
	enum seat_action action;
	int64_t next_claim_us;
	struct seat_record record;
};

static int64_t now_us(const struct seat *s)
{
	return clock_now(&s->options.clock);
}

static int64_t draw_delay(struct seat *s, int64_t max)
{
	return g_rand_int_range(s->rand, (gint32)(max / 4), (gint32)max);
}

static struct known_host *find_or_add_host(struct seat *s, const char *host)
{
	struct known_host *l = g_hash_table_lookup(s->known_hosts, host);

	if (l)
		return l;
	l = g_new0(struct known_host, 1);
	l->absent_since_us = now_us(s);
	g_hash_table_insert(s->known_hosts, g_strdup(host), l);
	return l;
}

static bool is_host_list_fresh(const struct seat *s)
{
	return s->host_list_us && now_us(s) - s->host_list_us <= LIST_FRESH_US;
}

static bool is_absent_long_enough(struct seat *s, const char *host)
{
	const struct known_host *l;

	if (!is_host_list_fresh(s))
		return false;
	l = find_or_add_host(s, host);
	return l->absent_since_us &&
	       now_us(s) - l->absent_since_us >= SEAT_ABSENCE_US;
}

/*
 * Starts the absence of each host that was listed; the caller resets it if the
 * new list has the host. Restarts all absences after a gap without host lists.
 */
static void update_absences(struct seat *s, bool is_gap)
{
	GHashTableIter iter;
	gpointer value;
	struct known_host *l;

	g_hash_table_iter_init(&iter, s->known_hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		l = value;
		if (l->absent_since_us &&
		    now_us(s) - l->absent_since_us > HOST_ENTRY_LIFETIME_US) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		if (!l->absent_since_us || is_gap)
			l->absent_since_us = now_us(s);
	}
}

void seat_set_host_list(struct seat *s, const char *const *hosts,
			uint32_t count)
{
	GHashTable *present = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer key;

	for (uint32_t i = 0; i < count; i++) {
		g_hash_table_add(present, (gpointer)hosts[i]);
		find_or_add_host(s, hosts[i]);
	}
	update_absences(s, !is_host_list_fresh(s));
	g_hash_table_iter_init(&iter, present);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		find_or_add_host(s, key)->absent_since_us = 0;
	g_hash_table_destroy(present);
	s->host_list_us = now_us(s);
}

static bool is_seat_free(struct seat *s, const struct seat_record *r)
{
	if (!r || !r->host.id[0])
		return true;
	if (!strcmp(r->host.id, s->options.host.id))
		return true;
	return is_absent_long_enough(s, r->host.id);
}

static struct seat_record *find_own_record(const struct seat *s,
					   const struct seat_table *t)
{
	for (uint32_t i = 0; i < t->count; i++) {
		if (host_ref_equals(&t->records[i].host, &s->options.host))
			return &t->records[i];
	}
	return NULL;
}

/* Starts at a random seat, so that hosts that join at once rarely collide. */
static int32_t choose_free_seat(struct seat *s, const struct seat_table *t)
{
	uint32_t first;

	if (!s->seat_count)
		return NO_SEAT;
	first = (uint32_t)g_rand_int_range(s->rand, 0, (gint32)s->seat_count);
	for (uint32_t i = 0; i < s->seat_count; i++) {
		uint16_t number = (uint16_t)((first + i) % s->seat_count);

		if (is_seat_free(s, seat_table_find(t, number)))
			return number;
	}
	return NO_SEAT;
}

/* A live host that took the keys over keeps them until it hands them back. */
static bool may_take_keys(struct seat *s, const struct seat_record *r)
{
	if (!r->owner.id[0] || !strcmp(r->owner.id, s->options.host.id))
		return true;
	return is_absent_long_enough(s, r->owner.id);
}

static void occupy_seat(struct seat *s, struct seat_record *r)
{
	bool takes_keys = may_take_keys(s, r);

	r->host = s->options.host;
	if (!takes_keys)
		return;
	r->owner = s->options.host;
	memset(&r->successor, 0, sizeof(r->successor));
	r->epoch++;
	r->tenure_us = clock_wall(&s->options.clock);
}

static enum update_decision edit_claim(void *ctx, struct seat_table *t)
{
	struct seat *s = ctx;
	struct seat_record *r = find_own_record(s, t);
	int32_t number;

	/* Write again: the read may be stale and the seat taken since. */
	if (r && r->number < s->seat_count) {
		s->record = *r;
		return UPDATE_WRITE;
	}
	if (r)
		memset(&r->host, 0, sizeof(r->host));
	number = choose_free_seat(s, t);
	if (number == NO_SEAT || s->is_stopping)
		return UPDATE_ABORT;
	r = seat_table_find(t, (uint16_t)number);
	if (!r)
		r = seat_table_add(t, (uint16_t)number);
	if (!r)
		return UPDATE_ABORT;
	occupy_seat(s, r);
	s->record = *r;
	return UPDATE_WRITE;
}

static void set_seat(struct seat *s, int32_t number)
{
	bool is_gained = number != NO_SEAT;

	s->number = number;
	s->is_verified = is_gained;
	event_log(is_gained ? EV_SEAT_HELD : EV_SEAT_LOST,
		  "host=%s domain=%s seat=%d", s->options.host.id,
		  s->options.domain, is_gained ? number : s->record.number);
	s->options.ops->changed(s->options.ctx, number,
				is_gained ? &s->record : NULL);
}

static void handle_claim_written(void *ctx, int code)
{
	struct seat *s = ctx;

	s->action = SEAT_IDLE;
	s->next_claim_us = now_us(s) + draw_delay(s, SPARE_DELAY_US);
	if (!code)
		set_seat(s, s->record.number);
}

static enum update_decision edit_verify(void *ctx, struct seat_table *t)
{
	struct seat *s = ctx;
	const struct seat_record *r = find_own_record(s, t);

	/* The write proves that the read was not stale. */
	return r && r->number == s->number ? UPDATE_WRITE : UPDATE_ABORT;
}

static void handle_verify_written(void *ctx, int code)
{
	struct seat *s = ctx;

	s->action = SEAT_IDLE;
	if (!code)
		s->is_verified = true;
	else if (s->number != NO_SEAT)
		set_seat(s, NO_SEAT);
}

/* Makes the successor the key owner; without one the keys have no owner. */
static enum update_decision edit_release(void *ctx, struct seat_table *t)
{
	struct seat *s = ctx;
	struct seat_record *r = find_own_record(s, t);

	if (!r)
		return UPDATE_DONE;
	memset(&r->host, 0, sizeof(r->host));
	if (host_ref_equals(&r->owner, &s->options.host)) {
		r->owner = r->successor;
		memset(&r->successor, 0, sizeof(r->successor));
		r->epoch++;
		r->tenure_us = clock_wall(&s->options.clock);
	}
	return UPDATE_WRITE;
}

static void handle_release_written(void *ctx, int code)
{
	struct seat *s = ctx;

	s->action = SEAT_IDLE;
	event_log(EV_SEAT_RELEASED, "host=%s domain=%s seat=%u",
		  s->options.host.id, s->options.domain, s->record.number);
}

static void start_update(struct seat *s, enum seat_action action,
			 enum update_decision (*edit)(void *,
						      struct seat_table *),
			 void (*finished)(void *, int))
{
	struct update u = { s->options.domain, edit, finished, s };

	s->action = action;
	updater_start(s->options.updater, &u);
}

void seat_set_count(struct seat *s, uint32_t seat_count)
{
	s->seat_count = MIN(seat_count, MAX_SEATS);
	if (s->number != NO_SEAT && (uint32_t)s->number >= s->seat_count)
		set_seat(s, NO_SEAT);
}

/*
 * Waits until no change is in flight: a claim may already be in the store.
 * seat_advance() calls this again.
 */
static void start_release(struct seat *s)
{
	if (s->action != SEAT_IDLE)
		return;
	s->next_claim_us = INT64_MAX;
	start_update(s, SEAT_RELEASING, edit_release, handle_release_written);
}

void seat_release(struct seat *s)
{
	if (s->is_stopping)
		return;
	s->is_stopping = true;
	s->next_claim_us = 0;
	if (s->number != NO_SEAT)
		set_seat(s, NO_SEAT);
	start_release(s);
}

void seat_note_pause(struct seat *s, int64_t pause_us)
{
	if (pause_us < VERIFY_PAUSE_US || s->number == NO_SEAT)
		return;
	s->is_verified = false;
}

void seat_advance(struct seat *s)
{
	if (s->action != SEAT_IDLE || now_us(s) < s->next_claim_us)
		return;
	if (s->is_stopping)
		start_release(s);
	else if (s->number != NO_SEAT && !s->is_verified)
		start_update(s, SEAT_VERIFYING, edit_verify,
			     handle_verify_written);
	else if (s->number == NO_SEAT && s->seat_count)
		start_update(s, SEAT_CLAIMING, edit_claim,
			     handle_claim_written);
}

int64_t seat_next_timer(const struct seat *s)
{
	bool is_complete = s->number != NO_SEAT && s->is_verified;

	if (s->action != SEAT_IDLE || (is_complete && !s->is_stopping) ||
	    (!s->seat_count && !s->is_stopping))
		return INT64_MAX;
	return s->next_claim_us;
}

int32_t seat_number(const struct seat *s)
{
	return s->is_verified ? s->number : NO_SEAT;
}

bool seat_is_settled(const struct seat *s)
{
	return s->action == SEAT_IDLE;
}

int seat_create(struct seat **out, const struct seat_options *options)
{
	struct seat *s = calloc(1, sizeof(*s));

	if (!s)
		return -ERR_NOMEM;
	s->options = *options;
	s->number = NO_SEAT;
	s->rand = g_rand_new_with_seed((guint32)options->seed);
	s->known_hosts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->next_claim_us = now_us(s) + draw_delay(s, CLAIM_DELAY_US);
	*out = s;
	return 0;
}

void seat_destroy(struct seat *s)
{
	if (!s)
		return;
	g_hash_table_destroy(s->known_hosts);
	g_rand_free(s->rand);
	free(s);
}
