#include "fleet/config.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "common/errors.h"
#include "common/events.h"
#include "common/hash.h"

#define WATCHERS_PER_DOMAIN 2
#define PUSH_PEERS 4
#define FETCH_TIMEOUT_US (2 * US_PER_S)
#define FETCH_RETRY_US (200 * US_PER_MS)
/* Members change in bursts, so watchers are chosen only once per period. */
#define WATCH_CHECK_PERIOD_US (500 * US_PER_MS)
#define MAX_SOURCES 8

struct source {
	uint64_t version;
	/** Address of a peer; empty stands for the store. */
	char address[HOST_ADDRESS_MAX];
};

struct config {
	struct config_options options;
	GRand *rand;
	uint64_t version;
	uint64_t refused_version;
	/** Version that is being fetched or whose fetch has failed, or 0. */
	uint64_t fetch_version;
	/** Timeout of the fetch, or end of the delay after a failed one. */
	int64_t fetch_timer_us;
	/** Sources that announced a version above the one in force. */
	struct source sources[MAX_SOURCES];
	uint32_t source_count;
	bool is_watching;
	int64_t next_watch_check_us;
};

static int64_t now_us(const struct config *c)
{
	return clock_now(&c->options.clock);
}

static int64_t draw_delay(struct config *c, int64_t max)
{
	return g_rand_int_range(c->rand, (int)(max / 2), (int)max);
}

static bool is_version_wanted(const struct config *c, uint64_t version)
{
	return version > c->version && version > c->refused_version;
}

static void drop_source(struct config *c, uint32_t at)
{
	c->sources[at] = c->sources[--c->source_count];
}

static void drop_old_sources(struct config *c)
{
	for (uint32_t i = c->source_count; i > 0; i--) {
		if (!is_version_wanted(c, c->sources[i - 1].version))
			drop_source(c, i - 1);
	}
}

/* Keeps one entry per address; replaces a random one if the list is full. */
static void add_source(struct config *c, uint64_t version, const char *address)
{
	struct source *s = NULL;

	for (uint32_t i = 0; i < c->source_count && !s; i++) {
		if (!strcmp(c->sources[i].address, address))
			s = &c->sources[i];
	}
	if (!s && c->source_count < MAX_SOURCES)
		s = &c->sources[c->source_count++];
	if (!s)
		s = &c->sources[g_rand_int_range(c->rand, 0, MAX_SOURCES)];
	s->version = version;
	g_strlcpy(s->address, address, sizeof(s->address));
}

static void start_fetch(struct config *c)
{
	struct source *best = NULL;
	const char *address;

	for (uint32_t i = 0; i < c->source_count; i++) {
		if (!best || c->sources[i].version > best->version)
			best = &c->sources[i];
	}
	if (!best)
		return;
	c->fetch_version = best->version;
	c->fetch_timer_us = now_us(c) + FETCH_TIMEOUT_US;
	address = best->address[0] ? best->address : NULL;
	event_log(EV_VERSION_FETCH, "host=%s version=%" PRIu64 " from=%s",
		  c->options.host, best->version, address ? address : "store");
	c->options.ops->fetch(c->options.ctx, address, best->version);
}

void config_receive_version(struct config *c, uint64_t version,
			    const char *address)
{
	if (version < c->version && !address)
		event_log(EV_VERSION_STALE,
			  "host=%s version=%" PRIu64 " in_force=%" PRIu64,
			  c->options.host, version, c->version);
	if (!is_version_wanted(c, version))
		return;
	add_source(c, version, address ? address : "");
	if (version > c->fetch_version)
		start_fetch(c);
}

/*
 * Announces the version to random peers. They fetch it from this host, so this
 * happens only when the version is in force here.
 */
static void push_version(struct config *c)
{
	const struct member *peers[PUSH_PEERS];
	uint32_t count =
		membership_pick(c->options.membership, PUSH_PEERS, peers);

	for (uint32_t i = 0; i < count; i++) {
		struct frame f = { .type = FRAME_GOSSIP };

		membership_send(c->options.membership, peers[i]->info.address,
				&f);
	}
}

static void continue_fetch(struct config *c)
{
	drop_old_sources(c);
	if (c->fetch_version && is_version_wanted(c, c->fetch_version))
		return;
	c->fetch_version = 0;
	start_fetch(c);
}

void config_mark_in_force(struct config *c, uint64_t version)
{
	if (version <= c->version)
		return;
	event_log(EV_VERSION_IN_FORCE,
		  "host=%s version=%" PRIu64 " before=%" PRIu64,
		  c->options.host, version, c->version);
	c->version = version;
	push_version(c);
	continue_fetch(c);
}

void config_mark_refused(struct config *c, uint64_t version)
{
	if (!is_version_wanted(c, version))
		return;
	event_log(EV_VERSION_REFUSED,
		  "host=%s version=%" PRIu64 " in_force=%" PRIu64,
		  c->options.host, version, c->version);
	c->refused_version = version;
	continue_fetch(c);
}

/* Drops the source of a failed fetch until it announces a version again. */
static void drop_failed_source(struct config *c)
{
	for (uint32_t i = 0; i < c->source_count; i++) {
		if (c->sources[i].version != c->fetch_version)
			continue;
		drop_source(c, i);
		return;
	}
}

void config_fetch_failed(struct config *c, uint64_t version)
{
	if (!c->fetch_version || version != c->fetch_version)
		return;
	event_log(EV_VERSION_FETCH_FAILED, "host=%s version=%" PRIu64,
		  c->options.host, version);
	drop_failed_source(c);
	c->fetch_timer_us = now_us(c) + draw_delay(c, FETCH_RETRY_US);
}

/*
 * Hosts with a seat rank first, by seat number, and then the others by hash,
 * because a new fleet has no seats before the first object set is in force.
 */
static uint64_t get_watch_rank(const struct frame_update *u)
{
	if (u->seat != NO_SEAT)
		return (uint64_t)u->seat;
	return MAX_SEATS + hash_string(u->host, 0) / 2;
}

static bool should_watch(const struct config *c)
{
	const struct frame_update *self =
		membership_self(c->options.membership);
	uint64_t rank = get_watch_rank(self);
	const struct member *const *list;
	uint32_t lower = 0;
	uint32_t count;

	list = membership_list(c->options.membership, &count);
	for (uint32_t i = 0; i < count; i++) {
		if (list[i]->info.state != MEMBER_ALIVE ||
		    strcmp(list[i]->info.domain, self->domain) != 0)
			continue;
		lower += get_watch_rank(&list[i]->info) < rank;
	}
	return lower < WATCHERS_PER_DOMAIN;
}

static void update_watch(struct config *c)
{
	bool is_watching = should_watch(c);

	if (is_watching == c->is_watching)
		return;
	c->is_watching = is_watching;
	event_log(EV_STORE_WATCH, "host=%s watch=%d", c->options.host,
		  is_watching);
	c->options.ops->watch(c->options.ctx, is_watching);
}

void config_advance(struct config *c)
{
	int64_t now = now_us(c);

	if (now >= c->next_watch_check_us) {
		c->next_watch_check_us =
			now + draw_delay(c, WATCH_CHECK_PERIOD_US);
		update_watch(c);
	}
	if (!c->fetch_version || now < c->fetch_timer_us)
		return;
	drop_failed_source(c);
	c->fetch_version = 0;
	start_fetch(c);
}

int64_t config_next_timer(const struct config *c)
{
	if (!c->fetch_version)
		return c->next_watch_check_us;
	return MIN(c->next_watch_check_us, c->fetch_timer_us);
}

uint64_t config_version(const struct config *c)
{
	return c->version;
}

bool config_is_watching(const struct config *c)
{
	return c->is_watching;
}

int config_create(struct config **out, const struct config_options *options)
{
	struct config *c = calloc(1, sizeof(*c));

	if (!c)
		return -ERR_NOMEM;
	c->options = *options;
	c->rand = g_rand_new_with_seed((guint32)options->seed);
	/* A host that has just started knows no other host of its domain. */
	c->next_watch_check_us = now_us(c) + US_PER_S + draw_delay(c, US_PER_S);
	*out = c;
	return 0;
}

void config_destroy(struct config *c)
{
	if (!c)
		return;
	g_rand_free(c->rand);
	free(c);
}
