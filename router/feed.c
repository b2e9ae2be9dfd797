#include "router/feed.h"

#include <string.h>

#include "common/events.h"

#define CHECK_INTERVAL_US (250 * US_PER_MS)
#define HEARTBEAT_INTERVAL_US (500 * US_PER_MS)
/*
 * A host without a heartbeat for this time is no longer followed. Together with
 * the time of a watch this stays below 3 s, the shortest time within which a
 * configuration must be in force.
 */
#define SILENCE_MAX_US (1500 * US_PER_MS)
/* Less for the standby: it must watch before the other hosts follow it. */
#define STANDBY_SILENCE_MAX_US (1150 * US_PER_MS)
/* A host that failed as a feed is not followed again for this time. */
#define AVOID_US (4 * US_PER_S)
/*
 * A feed that has been behind another feed for this time fetches the changes
 * from it. Changes that are collected into groups are delayed by less.
 */
#define LAG_US (400 * US_PER_MS)
/*
 * A host has read the state of the store when it starts. It waits this long
 * before it watches, so that the records of hosts that start at the same time
 * do not need a watch each.
 */
#define START_DELAY_US (700 * US_PER_MS)

/*
 * Changes are sent to a follower in pieces of this size. The largest value of
 * the store takes 1 MB, and a frame at most 2 MB.
 */
#define PIECE_MAX_BYTES (1024u * 1024)

/*
 * Limit of the restrictions that are sent ahead: a first piece with them must
 * fit into a frame.
 */
#define RESTRICTIONS_MAX_BYTES (64u * 1024)

struct feed {
	struct feed_options options;
	/** Address of the host to which this one has subscribed, or NULL. */
	char *followed;
	/** A heartbeat has shown that the followed host watches the store. */
	bool is_following;
	/** This host has followed another one at least once. */
	bool was_following;
	/** A followed host lost the store, and no host was followed since. */
	bool is_store_lost;
	enum feed_watch watch;
	/** Before this time, a host that is not the feed does not watch. */
	int64_t watch_from_us;
	/** Time of the last subscription or heartbeat of the followed host. */
	int64_t last_contact_us;
	bool is_store_up;
	/** Addresses of the hosts that follow this one. */
	GHashTable *subscribers;
	/**
	 * Time of another host's mirror that this one has not reached, the
	 * address of the last host with a newer mirror, and the time since
	 * which this one is behind. Ignored once it has reached ahead.
	 */
	struct store_time ahead;
	char *ahead_address;
	int64_t ahead_since_us;
	int64_t next_check_us;
	int64_t next_heartbeat_us;
};

void feed_create(struct feed **out, const struct feed_options *options)
{
	struct feed *f = g_new0(struct feed, 1);

	f->options = *options;
	f->is_store_up = true;
	f->watch_from_us = clock_now(&options->clock) + START_DELAY_US;
	f->subscribers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	*out = f;
}

void feed_destroy(struct feed *f)
{
	g_hash_table_destroy(f->subscribers);
	g_free(f->followed);
	g_free(f->ahead_address);
	g_free(f);
}

static int64_t now_us(const struct feed *f)
{
	return clock_now(&f->options.clock);
}

static bool is_followed(const struct feed *f, const char *address)
{
	return f->followed && !strcmp(f->followed, address);
}

static enum feed_watch wanted_watch(const struct feed *f)
{
	struct host_directory *d = f->options.directory;

	if (f->is_following)
		return FEED_WATCH_OFF;
	if (host_directory_is_feed(d))
		return FEED_WATCH_ON;
	if (now_us(f) < f->watch_from_us)
		return FEED_WATCH_OFF;
	/* A host that never followed another may not have the records yet. */
	if (!f->was_following || host_directory_may_feed(d, NULL))
		return FEED_WATCH_ON;
	return FEED_WATCH_RARELY;
}

static void update_watch(struct feed *f)
{
	enum feed_watch watch = wanted_watch(f);

	if (watch == f->watch)
		return;
	f->watch = watch;
	f->options.ops->set_watch(f->options.ctx, watch);
}

static void stop_following(struct feed *f, const char *reason)
{
	event_log(EV_FEED_LOST, "address=%s reason=%s era=%llu revision=%llu",
		  f->followed, reason,
		  (unsigned long long)f->options.mirror->now.era,
		  (unsigned long long)f->options.mirror->now.revision);
	g_clear_pointer(&f->followed, g_free);
	f->is_following = false;
	update_watch(f);
}

static struct known_host *find_followed(struct feed *f)
{
	return host_directory_find(f->options.directory, f->followed);
}

/*
 * Stops following a host that did not respond, and marks it as suspect so that
 * no requests are forwarded to it either.
 */
static void drop_failed_feed(struct feed *f, const char *reason)
{
	struct known_host *h = find_followed(f);

	if (h)
		known_host_avoid(h, now_us(f) + AVOID_US);
	f->options.ops->note_feed_lost(f->options.ctx);
	stop_following(f, reason);
}

/*
 * Stops following a host that has lost the store. Requests are still forwarded
 * to it.
 */
static void drop_feed_without_store(struct feed *f)
{
	struct known_host *h = find_followed(f);

	if (h)
		h->no_feed_until_us = now_us(f) + AVOID_US;
	f->is_store_lost = f->is_store_lost || f->is_following;
	f->options.ops->note_feed_lost(f->options.ctx);
	stop_following(f, "store_lost");
}

static void subscribe_to(struct feed *f, const char *address)
{
	f->last_contact_us = now_us(f);
	f->options.ops->subscribe(f->options.ctx, address,
				  f->options.mirror->now);
}

static int64_t max_silence_us(const struct feed *f)
{
	return host_directory_is_standby(f->options.directory)
		       ? STANDBY_SILENCE_MAX_US
		       : SILENCE_MAX_US;
}

static bool is_watching_feed(const struct feed *f)
{
	return !f->followed && host_directory_is_feed(f->options.directory);
}

static bool is_behind(const struct feed *f, struct store_time time)
{
	return store_time_is_before(f->options.mirror->now, time);
}

/*
 * Notes that another host has a newer mirror. The store may accept a watch and
 * never answer it. The watch itself does not show that before its timeout, but
 * another host has the change by then.
 */
static void note_newer_mirror(struct feed *f, const char *address,
			      struct store_time time)
{
	if (!is_behind(f, time))
		return;
	if (!is_behind(f, f->ahead)) {
		f->ahead = time;
		f->ahead_since_us = now_us(f);
	}
	g_free(f->ahead_address);
	f->ahead_address = g_strdup(address);
}

static void check_lag(struct feed *f)
{
	const struct store_time *now = &f->options.mirror->now;

	if (!is_behind(f, f->ahead) || now_us(f) - f->ahead_since_us < LAG_US)
		return;
	event_log(EV_FEED_LAGS,
		  "address=%s era=%llu revision=%llu newer_era=%llu newer=%llu",
		  f->ahead_address, (unsigned long long)now->era,
		  (unsigned long long)now->revision,
		  (unsigned long long)f->ahead.era,
		  (unsigned long long)f->ahead.revision);
	f->ahead_since_us = now_us(f);
	/* The other host sends the missing changes when it is subscribed to. */
	f->options.ops->subscribe(f->options.ctx, f->ahead_address, *now);
	f->options.ops->unsubscribe(f->options.ctx, f->ahead_address);
}

static void update_followed(struct feed *f)
{
	struct known_host *h;

	if (f->followed && now_us(f) - f->last_contact_us > max_silence_us(f))
		drop_failed_feed(f, "silent");
	if (host_directory_is_feed(f->options.directory)) {
		check_lag(f);
		if (!f->followed)
			return;
		f->options.ops->unsubscribe(f->options.ctx, f->followed);
		stop_following(f, "is_feed");
		return;
	}
	if (f->followed)
		return;
	h = host_directory_choose_feed(f->options.directory, now_us(f));
	if (!h)
		return;
	f->followed = g_strdup(h->record.address);
	subscribe_to(f, f->followed);
}

static void send_feed_heartbeat(struct feed *f, const char *address)
{
	/*
	 * A host that does not watch must not be followed; otherwise two hosts
	 * could follow each other.
	 */
	f->options.ops->send_feed_heartbeat(
		f->options.ctx, address, f->options.mirror->now,
		f->is_store_up && f->watch == FEED_WATCH_ON &&
			f->options.mirror->now.revision);
}

static void send_heartbeats(struct feed *f)
{
	GHashTableIter iter;
	gpointer address;

	g_hash_table_iter_init(&iter, f->subscribers);
	while (g_hash_table_iter_next(&iter, &address, NULL))
		send_feed_heartbeat(f, address);
}

static void send_heartbeats_to_feeds(struct feed *f)
{
	GPtrArray *feeds;

	if (!is_watching_feed(f) || !f->is_store_up)
		return;
	feeds = host_directory_other_feeds(f->options.directory);
	for (guint i = 0; i < feeds->len; i++) {
		const struct known_host *h = feeds->pdata[i];

		if (!g_hash_table_contains(f->subscribers, h->record.address))
			send_feed_heartbeat(f, h->record.address);
	}
	g_ptr_array_free(feeds, TRUE);
}

int64_t feed_advance(struct feed *f)
{
	int64_t now = now_us(f);

	if (now >= f->next_check_us) {
		f->next_check_us = now + CHECK_INTERVAL_US;
		update_followed(f);
		update_watch(f);
	}
	if (now >= f->next_heartbeat_us) {
		f->next_heartbeat_us = now + HEARTBEAT_INTERVAL_US;
		send_heartbeats(f);
		send_heartbeats_to_feeds(f);
	}
	return MIN(f->next_check_us, f->next_heartbeat_us);
}

void feed_note_store(struct feed *f, bool is_up)
{
	f->is_store_up = is_up;
	send_heartbeats(f);
}

/*
 * Splits changes into pieces that fit into a frame between hosts. Restrictions
 * come with the first piece too: a host that starts puts each piece in force as
 * it arrives, and must not call what a later one excludes.
 */
static GPtrArray *split_changes(const struct feed *f,
				const struct store_changes *c)
{
	GPtrArray *pieces = store_changes_split(c, PIECE_MAX_BYTES);
	size_t bytes = 0;

	for (guint i = 1; i < pieces->len && f->options.is_restriction; i++) {
		const struct store_changes *piece = pieces->pdata[i];

		for (guint k = 0; k < piece->items->len; k++) {
			const struct store_item *item = &g_array_index(
				piece->items, struct store_item, k);

			if (!f->options.is_restriction(item->key))
				continue;
			bytes += strlen(item->key) + item->value_len;
			if (bytes <= RESTRICTIONS_MAX_BYTES)
				store_changes_add(pieces->pdata[0], item);
		}
	}
	return pieces;
}

/* Sends changes in pieces that fit into a frame between hosts. */
static void send_changes(struct feed *f, const char *address,
			 const GPtrArray *pieces)
{
	for (guint i = 0; i < pieces->len; i++)
		f->options.ops->send_changes(f->options.ctx, address,
					     pieces->pdata[i]);
}

void feed_publish(struct feed *f, const struct store_changes *c)
{
	GHashTableIter iter;
	GPtrArray *pieces;
	gpointer address;

	if (f->is_following || !g_hash_table_size(f->subscribers))
		return;
	pieces = split_changes(f, c);
	g_hash_table_iter_init(&iter, f->subscribers);
	while (g_hash_table_iter_next(&iter, &address, NULL))
		send_changes(f, address, pieces);
	g_ptr_array_free(pieces, TRUE);
}

void feed_handle_subscribe(struct feed *f, const char *address,
			   struct store_time time)
{
	struct store_changes *c;

	g_hash_table_add(f->subscribers, g_strdup(address));
	/* The subscriber has learned of an era that this host does not know. */
	if (time.era > f->options.mirror->now.era) {
		if (is_watching_feed(f))
			note_newer_mirror(f, address, time);
		send_feed_heartbeat(f, address);
		return;
	}
	c = store_mirror_since(f->options.mirror, time);
	/* Without an item, they still move the follower's mirror on. */
	if (c->items->len || store_time_is_before(c->from, c->to)) {
		GPtrArray *pieces = split_changes(f, c);

		send_changes(f, address, pieces);
		g_ptr_array_free(pieces, TRUE);
	}
	store_changes_free(c);
	send_feed_heartbeat(f, address);
}

void feed_handle_unsubscribe(struct feed *f, const char *address)
{
	g_hash_table_remove(f->subscribers, address);
}

/*
 * Handles a heartbeat of a host that is not followed. A feed that has lost the
 * store continues to send heartbeats, so that its followers return as soon as
 * it reaches the store again. Returns whether the host is followed now.
 */
static bool handle_unfollowed_heartbeat(struct feed *f, const char *address,
					bool is_store_up)
{
	bool is_open = !f->followed &&
		       host_directory_may_feed(f->options.directory, address);

	if (is_open && is_store_up) {
		f->followed = g_strdup(address);
		subscribe_to(f, address);
		return true;
	}
	if (!is_open)
		f->options.ops->unsubscribe(f->options.ctx, address);
	return false;
}

void feed_handle_heartbeat(struct feed *f, const char *address,
			   struct store_time time, bool is_store_up)
{
	/* A host in an earlier era has not reached the store since. */
	if (time.era < f->options.mirror->now.era)
		is_store_up = false;
	if (!is_followed(f, address) && is_watching_feed(f)) {
		note_newer_mirror(f, address, time);
		return;
	}
	if (!is_followed(f, address) &&
	    !handle_unfollowed_heartbeat(f, address, is_store_up))
		return;
	f->last_contact_us = now_us(f);
	if (!is_store_up) {
		drop_feed_without_store(f);
		return;
	}
	/*
	 * The host may have changes that it did not send: those that it got
	 * from another feed before it began to watch.
	 */
	if (is_behind(f, time))
		subscribe_to(f, address);
	if (f->is_following)
		return;
	f->is_following = true;
	f->was_following = true;
	if (f->is_store_lost)
		f->options.ops->note_store_back(f->options.ctx);
	f->is_store_lost = false;
	event_log(EV_FEED_FOLLOWED, "address=%s era=%llu revision=%llu",
		  address, (unsigned long long)f->options.mirror->now.era,
		  (unsigned long long)f->options.mirror->now.revision);
	update_watch(f);
}

void feed_handle_gap(struct feed *f, const char *address)
{
	if (is_followed(f, address))
		subscribe_to(f, address);
}

void feed_handle_closed(struct feed *f, const char *address)
{
	g_hash_table_remove(f->subscribers, address);
	if (is_followed(f, address))
		drop_failed_feed(f, "closed");
}

bool feed_is_following(const struct feed *f)
{
	return f->is_following;
}

int64_t feed_news_us(const struct feed *f)
{
	return f->is_following ? f->last_contact_us : 0;
}
