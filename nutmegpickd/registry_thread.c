#include "nutmegpickd/registry_thread.h"

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <string.h>

#include "common/counter.h"
#include "common/errors.h"
#include "common/events.h"
#include "net/reply_head.h"
#include "nutmegpickd/store_faults.h"
#include "platform/store.h"

/*
 * Longest wait of one watch, and the time beyond it until the call fails. A
 * store that accepts a watch and never answers it is detected soon enough for
 * the followers of this host to learn within 3 s from another one what they
 * missed. A shorter wait needs more calls to the store, and each of them is
 * charged.
 */
#define WATCH_WAIT_US (1300 * US_PER_MS)
#define WATCH_TIMEOUT_MS 800
#define WATCH_WAIT_MIN_US (500 * US_PER_MS)
/* Wait of the first watch after the store was lost: its reply tells the era. */
#define WATCH_WAIT_LOST_US (1 * US_PER_MS)
#define CALL_TIMEOUT_MS 1500
#define CONNECT_TIMEOUT_MS 800
/* Backoff after failed calls, which are charged as well. */
#define BACKOFF_MIN_US (150 * US_PER_MS)
#define BACKOFF_MAX_US (1 * US_PER_S)
/* Longer waits while kinds of keys are listed one by one, in more calls. */
#define BACKOFF_SPLIT_MAX_US (1500 * US_PER_MS)
#define BACKOFF_GROWTH 2
#define BACKOFF_SPLIT_GROWTH 4
/*
 * Wait after a watch that returned changes. Changes come in groups, and the
 * next call then returns several of them.
 */
#define BATCH_CHANGES_US (200 * US_PER_MS)
/* The record of a host that stops without withdrawing it expires after this. */
#define LEASE_MS 15000
#define RENEW_US (5 * US_PER_S)
/*
 * The same after a renewal that failed, where the host grants rates: it does so
 * for 14 s after the last one that did not fail.
 */
#define RENEW_RETRY_US (2 * US_PER_S)
/* Longest wait until the lease on this host's record is checked again. */
#define IDLE_US (1 * US_PER_S)
/* Hosts that start together spread their first publications over this time. */
#define PUBLISH_SPREAD_US (300 * US_PER_MS)
/*
 * Mean interval between the publications of all hosts in a new era. Each takes
 * two writes, and the smallest stores take 400 a second.
 */
#define PUBLISH_INTERVAL_US (10 * US_PER_MS)
/* A page holds 1 MB of values, which take a third more in base64. */
#define REPLY_MAX_BYTES (8u * 1024 * 1024)
#define HEADERS_MAX_BYTES (64u * 1024)
#define STOP_POLL_US (100 * US_PER_MS)
/*
 * Waits of a host under FEED_WATCH_RARELY: before its first watch, and after a
 * watch that failed. Other hosts are more likely to be served meanwhile. A
 * fleet that has such hosts is so large that 5 s are permitted to put a
 * configuration in force.
 */
#define RARE_FIRST_MIN_MS 1000
#define RARE_FIRST_MAX_MS 2500
#define RARE_NEXT_MIN_MS 2000
#define RARE_NEXT_MAX_MS 4000

struct registry_thread {
	struct registry_thread_options options;
	CURL *curl;
	GByteArray *body;
	size_t header_bytes;
	/** The reply exceeded REPLY_MAX_BYTES. */
	bool is_reply_too_long;
	struct reply_head head;
	/** Era that the headers of the current call state. */
	enum store_era_line era_line;
	uint64_t header_era;
	/**
	 * Era of the last complete reply. One without a readable era counts as
	 * of the era that is known.
	 */
	uint64_t reply_era;
	/** A reply without a usable era was logged, and none with one since. */
	bool is_era_fault_logged;
	/** What this thread cannot read of the store. */
	struct store_faults faults;
	bool is_listed;
	/**
	 * A list of all keys could not be read, and no watch has been since:
	 * the kinds of keys that hosts use are listed one by one.
	 */
	bool is_list_split;
	bool is_store_lost;
	int64_t backoff_us;
	/** Lists since the last watch that the store answered. */
	uint32_t refused_watches;
	int64_t relist_backoff_us;
	/** Era in which lease and earlier_lease were granted. */
	uint64_t lease_era;
	uint64_t lease;
	bool is_published;
	/** Lease of an earlier process of this host, to be taken over; or 0. */
	uint64_t earlier_lease;
	bool is_inherited;
	int64_t next_renewal_us;
	/** Earliest time at which the mark in the record is written. */
	int64_t next_mark_us;
	pthread_t thread;
	/* Guards the fields below, which other threads set as well. */
	pthread_mutex_t lock;
	pthread_cond_t changed;
	/**
	 * Latest time of the store that is known. Its revision is 0 if only the
	 * era is known; the state of that era has not been read then.
	 */
	struct store_time time;
	uint32_t host_count;
	enum feed_watch watch;
	/**
	 * Earliest time of the next watch under FEED_WATCH_RARELY; 0 once the
	 * store has answered.
	 */
	int64_t next_rare_watch_us;
	bool is_withdrawn;
	bool is_stopping;
	struct registry_lease renewed;
	uint64_t joined_lease;
	bool is_list_requested;
	bool is_check_requested;
	struct registry_check check;
	/** When the store last answered a list or watch; read by any thread. */
	int64_t news_us;
};

static struct counter era_gauge = {
	.name = "nutmegpick_store_era",
	.help = "Era of the platform's store.",
	.is_gauge = 1,
};
static struct counter era_fault_counter = {
	.name = "nutmegpick_store_era_faults_total",
	.help = "Replies of the platform's store without a usable era.",
};
static pthread_once_t era_counters_once = PTHREAD_ONCE_INIT;

static void register_era_counters(void)
{
	counter_register(&era_gauge);
	counter_register(&era_fault_counter);
}

static bool read_flag(struct registry_thread *t, const bool *flag)
{
	bool value;

	pthread_mutex_lock(&t->lock);
	value = *flag;
	pthread_mutex_unlock(&t->lock);
	return value;
}

static int64_t now_us(const struct registry_thread *t)
{
	return clock_now(&t->options.clock);
}

/* For libcurl; the call fails if the result is less than size * count. */
static size_t handle_data(char *data, size_t size, size_t count, void *ctx)
{
	struct registry_thread *t = ctx;

	t->is_reply_too_long = t->body->len + size * count > REPLY_MAX_BYTES;
	if (t->is_reply_too_long)
		return 0;
	g_byte_array_append(t->body, (const guint8 *)data,
			    (guint)(size * count));
	return size * count;
}

static size_t handle_header(char *data, size_t size, size_t count, void *ctx)
{
	struct registry_thread *t = ctx;
	enum store_era_line line =
		platform_store_read_era(data, size * count, &t->header_era);

	t->header_bytes += size * count;
	reply_head_add_line(&t->head, data, size * count);
	if (line != STORE_ERA_ABSENT)
		t->era_line = line;
	return t->header_bytes > HEADERS_MAX_BYTES ? 0 : size * count;
}

/* For libcurl; aborts a call if the thread has to stop or to withdraw. */
static int handle_progress(void *ctx, curl_off_t a, curl_off_t b, curl_off_t c,
			   curl_off_t d)
{
	struct registry_thread *t = ctx;
	bool is_done;

	pthread_mutex_lock(&t->lock);
	is_done = t->is_stopping || (t->is_withdrawn && t->is_published);
	pthread_mutex_unlock(&t->lock);
	return is_done;
}

/*
 * For libcurl; enables TCP keep-alive with a probe after 1 s of silence, and
 * one lost probe ends the connection. A feed that is cut off from the store has
 * to notify its followers within 2 s, since a configuration has to be in force
 * within 3 s.
 */
static int handle_socket(void *ctx, curl_socket_t fd, curlsocktype purpose)
{
	int one = 1;
	int probes = 1;
	unsigned int timeout = 3000;

	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
		   sizeof(timeout));
	return CURL_SOCKOPT_OK;
}

static struct store_time read_time(struct registry_thread *t)
{
	struct store_time time;

	pthread_mutex_lock(&t->lock);
	time = t->time;
	pthread_mutex_unlock(&t->lock);
	return time;
}

static void raise_time(struct registry_thread *t, struct store_time time)
{
	pthread_mutex_lock(&t->lock);
	t->time = store_time_latest(t->time, time);
	pthread_mutex_unlock(&t->lock);
}

static void note_era_fault(struct registry_thread *t, uint64_t known,
			   const char *fault)
{
	pthread_once(&era_counters_once, register_era_counters);
	counter_add(&era_fault_counter, 1);
	if (t->is_era_fault_logged)
		return;
	t->is_era_fault_logged = true;
	event_log(EV_STORE_ERA_FAULT, "fault=%s known=%llu", fault,
		  (unsigned long long)known);
}

/* Learns of a new era from any reply. */
static void note_reply_era(struct registry_thread *t)
{
	struct store_time known = read_time(t);

	t->reply_era = t->era_line == STORE_ERA_READ ? t->header_era
						     : known.era;
	if (t->era_line != STORE_ERA_READ) {
		if (known.era || t->era_line == STORE_ERA_UNREADABLE)
			note_era_fault(t, known.era,
				       t->era_line == STORE_ERA_UNREADABLE
					       ? "unreadable"
					       : "missing");
		return;
	}
	if (t->reply_era < known.era) {
		note_era_fault(t, known.era, "earlier");
		return;
	}
	t->is_era_fault_logged = false;
	pthread_once(&era_counters_once, register_era_counters);
	counter_set(&era_gauge, t->reply_era);
	if (t->reply_era == known.era)
		return;
	raise_time(t, (struct store_time){ .era = t->reply_era });
	if (known.era || known.revision)
		event_log(EV_STORE_ERA, "era=%llu previous=%llu revision=%llu",
			  (unsigned long long)t->reply_era,
			  (unsigned long long)known.era,
			  (unsigned long long)known.revision);
}

/* Returns the HTTP status, or 0 if no complete reply was received. */
static long perform_call(struct registry_thread *t, struct store_call c,
			 const char *method, long timeout_ms)
{
	char *url = g_strdup_printf("http://%s%s", t->options.address, c.path);
	struct curl_slist *headers =
		curl_slist_append(NULL, "Content-Type: application/json");
	long status = 0;

	g_byte_array_set_size(t->body, 0);
	t->header_bytes = 0;
	t->is_reply_too_long = false;
	t->head = (struct reply_head){ 0 };
	t->era_line = STORE_ERA_ABSENT;
	curl_easy_setopt(t->curl, CURLOPT_URL, url);
	curl_easy_setopt(t->curl, CURLOPT_TIMEOUT_MS, timeout_ms);
	if (c.body) {
		curl_easy_setopt(t->curl, CURLOPT_POSTFIELDS, c.body);
		curl_easy_setopt(t->curl, CURLOPT_HTTPHEADER, headers);
	} else {
		curl_easy_setopt(t->curl, CURLOPT_HTTPGET, 1L);
		curl_easy_setopt(t->curl, CURLOPT_HTTPHEADER, NULL);
	}
	curl_easy_setopt(t->curl, CURLOPT_CUSTOMREQUEST, method);
	if (curl_easy_perform(t->curl) == CURLE_OK && t->head.is_complete)
		curl_easy_getinfo(t->curl, CURLINFO_RESPONSE_CODE, &status);
	if (status)
		note_reply_era(t);
	curl_slist_free_all(headers);
	g_free(url);
	store_call_clear(&c);
	return status;
}

static void note_store_lost(struct registry_thread *t, const char *what,
			    long status)
{
	if (t->is_store_lost)
		return;
	t->is_store_lost = true;
	event_log(EV_REGISTRY_LOST, "call=%s status=%ld", what, status);
	t->options.handle_store(t->options.ctx, false);
}

static void note_store_returned(struct registry_thread *t)
{
	t->backoff_us = BACKOFF_MIN_US;
	if (!t->is_store_lost)
		return;
	t->is_store_lost = false;
	event_log(EV_REGISTRY_BACK, "address=%s", t->options.address);
	t->options.handle_store(t->options.ctx, true);
}

static void wait_us(struct registry_thread *t, int64_t us)
{
	int64_t end = now_us(t) + us;

	while (!read_flag(t, &t->is_stopping)) {
		int64_t left = end - now_us(t);

		if (left <= 0)
			return;
		g_usleep((gulong)MIN(left, STOP_POLL_US));
	}
}

static void wait_backoff(struct registry_thread *t, int64_t *backoff_us)
{
	double jitter = g_random_double_range(0.7, 1.3);

	wait_us(t, (int64_t)((double)*backoff_us * jitter));
	if (t->is_list_split)
		*backoff_us = MIN(BACKOFF_SPLIT_GROWTH * *backoff_us,
				  BACKOFF_SPLIT_MAX_US);
	else
		*backoff_us = MIN(BACKOFF_GROWTH * *backoff_us, BACKOFF_MAX_US);
}

static void back_off(struct registry_thread *t)
{
	wait_backoff(t, &t->backoff_us);
}

static void schedule_rare_watch(struct registry_thread *t, int min_ms,
				int max_ms)
{
	t->next_rare_watch_us =
		now_us(t) + g_random_int_range(min_ms, max_ms) * US_PER_MS;
}

/* Delays the next watch after one that failed. */
static void delay_next_watch(struct registry_thread *t)
{
	bool is_rare;

	pthread_mutex_lock(&t->lock);
	is_rare = t->watch == FEED_WATCH_RARELY;
	if (is_rare)
		schedule_rare_watch(t, RARE_NEXT_MIN_MS, RARE_NEXT_MAX_MS);
	pthread_mutex_unlock(&t->lock);
	if (!is_rare)
		back_off(t);
}

/*
 * Returns the time until the next watch, at most IDLE_US; 0 if it is due. The
 * caller holds the lock.
 */
static int64_t watch_delay(struct registry_thread *t)
{
	if (t->watch == FEED_WATCH_OFF)
		return IDLE_US;
	if (t->watch == FEED_WATCH_ON || !t->next_rare_watch_us)
		return 0;
	return CLAMP(t->next_rare_watch_us - now_us(t), 0, IDLE_US);
}

/*
 * Returns 0, -ERR_INVAL for a reply that cannot be read, or -ERR_IO for none or
 * one of an earlier era.
 */
static int decode_page(struct registry_thread *t, long status, const char *what,
		       struct store_page *page)
{
	/* A reply that was delayed tells nothing about the present era. */
	if (status && t->reply_era < read_time(t).era)
		return -ERR_IO;
	if (status != 200) {
		note_store_lost(t, what, status);
		return -ERR_IO;
	}
	if (platform_store_decode_page((const char *)t->body->data,
				       t->body->len, page)) {
		store_faults_note_reply(&t->faults, what, read_time(t).revision,
					t->body->len);
		return -ERR_INVAL;
	}
	store_faults_note_entries(&t->faults, what, page->unread_count,
				  page->unread_key);
	store_changes_set_era(page->changes, t->reply_era);
	return 0;
}

/* Only lists and watches bring the mirror up to date. */
static void note_news(struct registry_thread *t)
{
	__atomic_store_n(&t->news_us, now_us(t), __ATOMIC_RELAXED);
}

static void add_page(struct store_changes *all,
		     const struct store_changes *page)
{
	if (!all->to.revision) {
		all->to = page->to;
		all->from.era = page->to.era;
	}
	if (store_time_is_before(page->to, all->to))
		all->to = page->to;
	for (guint i = 0; i < page->items->len; i++)
		store_changes_add(all, &g_array_index(page->items,
						      struct store_item, i));
}

static bool is_same_key(const GByteArray *a, const GByteArray *b)
{
	return a->len == b->len && !memcmp(a->data, b->data, a->len);
}

/* Reads the page that begins behind a key, and replaces that by its last one. */
static int list_page(struct registry_thread *t, const char *prefix,
		     struct store_changes *all, GByteArray *after)
{
	long status = perform_call(t, platform_store_list(prefix, after), "GET",
				   CALL_TIMEOUT_MS);
	struct store_page page;
	int ret = decode_page(t, status, "list", &page);

	if (ret)
		return ret;
	if (page.next->len && is_same_key(page.next, after)) {
		/* The store cannot go on behind this key. */
		store_faults_note_reply(&t->faults, "list",
					page.changes->to.revision,
					t->body->len);
		ret = -ERR_INVAL;
	} else if (all->to.revision && page.changes->to.era != all->to.era) {
		ret = -ERR_IO;
	} else {
		note_news(t);
		add_page(all, page.changes);
		g_byte_array_set_size(after, 0);
		g_byte_array_append(after, page.next->data, page.next->len);
	}
	store_page_clear(&page);
	return ret;
}

static int list_pages(struct registry_thread *t, const char *prefix,
		      struct store_changes *all)
{
	GByteArray *after = g_byte_array_new();
	int ret;

	do {
		ret = list_page(t, prefix, all, after);
	} while (!ret && after->len);
	g_byte_array_free(after, TRUE);
	return ret;
}

/*
 * Reads the keys that hosts use, one kind after the other, past a page of one
 * kind that cannot be read. Returns -ERR_INVAL if there was such a page.
 */
static int list_kinds(struct registry_thread *t, struct store_changes *all)
{
	static const char *const prefixes[] = {
		PLATFORM_CONFIG_KEY,
		PLATFORM_EVACUATION_PREFIX,
		PLATFORM_HOST_PREFIX,
		PLATFORM_LEAF_PREFIX,
	};
	int result = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(prefixes); i++) {
		int ret = list_pages(t, prefixes[i], all);

		if (ret == -ERR_IO)
			return ret;
		if (ret)
			result = ret;
	}
	return result;
}

/*
 * Reads all pages. They are not one snapshot of the store, so the result has
 * the earliest time of a page, and the watch repeats the changes after it.
 * Pages of different eras are no list of either. If this fails with -ERR_INVAL,
 * all has what could be read.
 */
static int list_all(struct registry_thread *t, struct store_changes *all)
{
	int ret;

	if (t->is_list_split)
		return list_kinds(t, all);
	ret = list_pages(t, "", all);
	t->is_list_split = ret == -ERR_INVAL;
	return ret;
}

/*
 * Notes the lease of the record that an earlier process has left. With another
 * capacity or failure domain this process owns keys that the earlier one did
 * not own, so it has to wait as any host that joins. So it does if the record
 * is of an earlier era: others may have taken over in the time that was lost.
 */
static void find_earlier_lease(struct registry_thread *t,
			       const struct store_changes *all)
{
	char *key =
		g_strconcat(PLATFORM_HOST_PREFIX, t->options.self.name, NULL);

	for (guint i = 0; i < all->items->len; i++) {
		const struct store_item *item =
			&g_array_index(all->items, struct store_item, i);
		struct host_record r;

		if (strcmp(item->key, key) || !item->value ||
		    platform_decode_host(t->options.self.name,
					 (const char *)item->value,
					 item->value_len, &r))
			continue;
		if (r.has_joined && r.era == all->to.era &&
		    host_record_has_same_rank(&r, &t->options.self)) {
			t->earlier_lease = r.lease;
			t->lease_era = r.era;
		}
		host_record_clear(&r);
	}
	g_free(key);
}

/*
 * Passes on a part of a list whose other parts cannot be read. What it lacks is
 * not deleted, and the time of the store stays.
 */
static void apply_part(struct registry_thread *t, struct store_changes *part)
{
	struct store_time era = { .era = part->to.era };

	if (!part->items->len || !read_time(t).revision) {
		store_changes_free(part);
		return;
	}
	part->from = era;
	part->to = era;
	t->options.handle_changes(t->options.ctx, part);
}

static bool list_store(struct registry_thread *t)
{
	struct store_changes *all = store_changes_create();
	int ret = list_all(t, all);

	if (ret == -ERR_INVAL) {
		note_store_lost(t, "list", 200);
		apply_part(t, all);
		return false;
	}
	if (ret) {
		store_changes_free(all);
		return false;
	}
	note_store_returned(t);
	all->is_complete = true;
	/* Before that, a record of this host is one of an earlier process. */
	if (!t->lease && t->options.self.address)
		find_earlier_lease(t, all);
	raise_time(t, all->to);
	event_log(EV_REGISTRY_LISTED, "era=%llu revision=%llu items=%u",
		  (unsigned long long)all->to.era,
		  (unsigned long long)all->to.revision, all->items->len);
	t->options.handle_changes(t->options.ctx, all);
	return true;
}

/* Ends the waits of FEED_WATCH_RARELY, since the store serves this host. */
static void clear_rare_watch(struct registry_thread *t)
{
	pthread_mutex_lock(&t->lock);
	t->next_rare_watch_us = 0;
	pthread_mutex_unlock(&t->lock);
}

static int64_t watch_wait_us(const struct registry_thread *t, uint64_t era)
{
	int64_t wait = WATCH_WAIT_US;

	if (t->is_store_lost && era)
		return WATCH_WAIT_LOST_US;
	if (t->options.self.address)
		wait = MIN(wait, t->next_renewal_us - now_us(t));
	return MAX(wait, WATCH_WAIT_MIN_US);
}

/*
 * Lists the store anew after a watch that it cannot answer. If it refuses the
 * next watch too, the list has not helped, and further ones are spaced out.
 */
static void request_list(struct registry_thread *t)
{
	t->is_listed = false;
	if (!t->refused_watches++)
		t->relist_backoff_us = BACKOFF_MIN_US;
	else
		wait_backoff(t, &t->relist_backoff_us);
}

/* Passes on the changes of a watch. */
static void take_watched(struct registry_thread *t, struct store_time since,
			 struct store_page *page)
{
	struct store_changes *changes = g_steal_pointer(&page->changes);

	store_page_clear(page);
	changes->from = since;
	raise_time(t, changes->to);
	/* Changes that cannot be read move the mirror on as well. */
	if (!changes->items->len && !store_time_is_before(since, changes->to)) {
		store_changes_free(changes);
		return;
	}
	t->options.handle_changes(t->options.ctx, changes);
	wait_us(t, BATCH_CHANGES_US);
}

static void watch_once(struct registry_thread *t)
{
	struct store_time since = read_time(t);
	int64_t wait_ms = watch_wait_us(t, since.era) / US_PER_MS;
	struct store_page page;
	long status;
	int ret;

	if (!since.revision) {
		t->is_listed = false;
		return;
	}
	status = perform_call(t,
			      platform_store_watch("", since.revision, wait_ms),
			      "GET", (long)wait_ms + WATCH_TIMEOUT_MS);
	/* The revision that was asked for is one of another era. */
	if (status && t->reply_era > since.era)
		return;
	if (status == 410 && t->reply_era == since.era) {
		request_list(t);
		return;
	}
	/*
	 * A watch returns each version of a value since the revision, a list
	 * only the last one. To ask again would return even more.
	 */
	if (t->is_reply_too_long) {
		event_log(EV_WATCH_TOO_LONG, "revision=%llu bytes=%u",
			  (unsigned long long)since.revision, t->body->len);
		request_list(t);
		return;
	}
	/* A watch that handle_progress() aborted is no failure of the store. */
	if (!status && handle_progress(t, 0, 0, 0, 0))
		return;
	ret = decode_page(t, status, "watch", &page);
	if (ret == -ERR_INVAL) {
		/* The list tells what follows the changes of this reply. */
		request_list(t);
		return;
	}
	if (ret) {
		delay_next_watch(t);
		return;
	}
	note_store_returned(t);
	note_news(t);
	clear_rare_watch(t);
	t->refused_watches = 0;
	t->is_list_split = false;
	take_watched(t, since, &page);
}

/*
 * Returns the HTTP status, 0 if there was no complete reply, or 404 if the
 * lease was granted in another era than that of the reply.
 */
static long renew_lease(struct registry_thread *t, uint64_t lease)
{
	long status = perform_call(t, platform_store_renew_lease(lease), "POST",
				   CALL_TIMEOUT_MS);

	return status && t->reply_era != t->lease_era ? 404 : status;
}

/*
 * Leaves the record until its lease expires, with a mark that no requests are
 * to be sent: the next process of this host takes it over and with it the rates
 * that the host owns. If it were removed, each restart would change their
 * owners twice.
 */
static bool leave_host_record(struct registry_thread *t, uint64_t lease)
{
	if (renew_lease(t, lease) != 200)
		return false;
	t->options.self.lease = lease;
	t->options.self.is_stopping = true;
	return perform_call(t, platform_store_publish_host(&t->options.self),
			    "POST", CALL_TIMEOUT_MS) == 200;
}

/*
 * Returns whether a lease is still this host's: in a new era its number may be
 * that of another host's lease.
 */
static bool is_lease_own(struct registry_thread *t, uint64_t lease)
{
	if (!t->lease_era)
		return true;
	return renew_lease(t, lease) == 200;
}

static void withdraw_host_record(struct registry_thread *t)
{
	uint64_t lease = t->lease;

	/* handle_progress() would abort the call while is_published is set. */
	t->lease = 0;
	t->is_published = false;
	if (!lease ||
	    (t->options.self.has_joined && leave_host_record(t, lease)))
		return;
	if (!is_lease_own(t, lease) ||
	    perform_call(t, platform_store_revoke_lease(lease), "DELETE",
			 CALL_TIMEOUT_MS) != 200)
		event_log(EV_RECORD_LEFT, "host=%s lease=%llu",
			  t->options.self.name, (unsigned long long)lease);
}

static struct lease_time lease_now(const struct registry_thread *t)
{
	return (struct lease_time){ now_us(t), clock_boot(&t->options.clock) };
}

static void note_lease(struct registry_thread *t, struct lease_time started)
{
	pthread_mutex_lock(&t->lock);
	t->renewed =
		(struct registry_lease){ t->lease, started, t->is_inherited };
	pthread_mutex_unlock(&t->lock);
}

static bool write_host_record(struct registry_thread *t)
{
	t->options.self.lease = t->lease;
	t->options.self.era = t->lease_era;
	return perform_call(t, platform_store_publish_host(&t->options.self),
			    "POST", CALL_TIMEOUT_MS) == 200 &&
	       t->reply_era == t->lease_era;
}

/*
 * Takes over the record of an earlier process of this host. It has not
 * disappeared if its lease can still be renewed.
 */
static void inherit_host_record(struct registry_thread *t)
{
	struct lease_time started = lease_now(t);

	if (renew_lease(t, t->earlier_lease) != 200) {
		t->earlier_lease = 0;
		return;
	}
	t->lease = t->earlier_lease;
	t->earlier_lease = 0;
	t->options.self.has_joined = true;
	t->is_published = write_host_record(t);
	t->is_inherited = t->is_published;
	if (t->is_published)
		note_lease(t, started);
}

static void publish_host_record(struct registry_thread *t)
{
	struct lease_time started = lease_now(t);
	long status = perform_call(t, platform_store_grant_lease(LEASE_MS),
				   "POST", CALL_TIMEOUT_MS);

	t->lease = 0;
	if (status == 200)
		t->lease = platform_store_decode_lease(
			(const char *)t->body->data, t->body->len);
	if (!t->lease)
		return;
	t->lease_era = t->reply_era;
	t->is_inherited = false;
	t->options.self.has_joined = false;
	t->is_published = write_host_record(t);
	if (t->is_published)
		note_lease(t, started);
}

/* Writes the mark that lets the next process of this host inherit the record. */
static void mark_host_record(struct registry_thread *t)
{
	uint64_t lease;

	pthread_mutex_lock(&t->lock);
	lease = t->joined_lease;
	pthread_mutex_unlock(&t->lock);
	if (!t->is_published || t->options.self.has_joined ||
	    lease != t->lease || now_us(t) < t->next_mark_us)
		return;
	t->next_mark_us = now_us(t) + RENEW_US;
	t->options.self.has_joined = true;
	t->options.self.has_joined = write_host_record(t);
}

/*
 * Gives up a lease of an earlier era. The copy may lack the record, and the
 * number of the lease may be that of another host's; so the record is written
 * again under a new one. Returns whether there was such a lease.
 */
static bool drop_earlier_lease(struct registry_thread *t)
{
	int64_t spread = PUBLISH_SPREAD_US;
	uint64_t era;

	pthread_mutex_lock(&t->lock);
	era = t->time.era;
	spread = MAX(spread, t->host_count * PUBLISH_INTERVAL_US);
	pthread_mutex_unlock(&t->lock);
	if (t->lease_era == era || (!t->lease && !t->earlier_lease))
		return false;
	t->lease = 0;
	t->earlier_lease = 0;
	t->is_published = false;
	t->next_renewal_us =
		now_us(t) + (int64_t)g_random_double_range(0, (double)spread);
	return true;
}

/* Renews the lease on this host's record, or publishes the record. */
static void renew_host_record(struct registry_thread *t)
{
	struct lease_time started = lease_now(t);

	t->next_renewal_us = now_us(t) + RENEW_US;
	if (t->is_published) {
		long status = renew_lease(t, t->lease);

		if (drop_earlier_lease(t))
			return;
		if (status == 200)
			note_lease(t, started);
		else if (t->options.self.has_joined)
			t->next_renewal_us = now_us(t) + RENEW_RETRY_US;
		if (status != 404)
			return;
		t->is_published = false;
	}
	if (t->earlier_lease)
		inherit_host_record(t);
	if (!t->is_published)
		publish_host_record(t);
}

/* Reads the record of this host for the time of the store. */
static void read_current_time(struct registry_thread *t)
{
	char *key =
		g_strconcat(PLATFORM_HOST_PREFIX, t->options.self.name, NULL);
	int64_t started_us = now_us(t);
	long status = perform_call(t, platform_store_list(key, NULL), "GET",
				   CALL_TIMEOUT_MS);
	struct store_page page;

	g_free(key);
	if (decode_page(t, status, "check", &page))
		return;
	note_store_returned(t);
	pthread_mutex_lock(&t->lock);
	t->check = (struct registry_check){ page.changes->to, started_us };
	pthread_mutex_unlock(&t->lock);
	store_page_clear(&page);
}

/* Returns whether another thread has set the flag, and clears it. */
static bool take_request(struct registry_thread *t, bool *flag)
{
	bool is_requested;

	pthread_mutex_lock(&t->lock);
	is_requested = *flag;
	*flag = false;
	pthread_mutex_unlock(&t->lock);
	return is_requested;
}

static void keep_host_record(struct registry_thread *t)
{
	bool is_check;

	if (!t->options.self.address || !t->is_listed)
		return;
	drop_earlier_lease(t);
	if (read_flag(t, &t->is_withdrawn)) {
		withdraw_host_record(t);
		return;
	}
	is_check = take_request(t, &t->is_check_requested);
	if (is_check || now_us(t) >= t->next_renewal_us)
		renew_host_record(t);
	if (is_check)
		read_current_time(t);
	mark_host_record(t);
}

/*
 * Returns true at once if a watch is due. Otherwise waits until one may be due,
 * the record may need a renewal or another thread has changed the state, and
 * returns false.
 */
static bool wait_idle(struct registry_thread *t)
{
	struct timespec until;
	int64_t delay;

	pthread_mutex_lock(&t->lock);
	delay = watch_delay(t);
	if (delay && !t->is_stopping) {
		clock_gettime(CLOCK_MONOTONIC, &until);
		until.tv_nsec += (delay % US_PER_S) * 1000;
		until.tv_sec += delay / US_PER_S + until.tv_nsec / 1000000000;
		until.tv_nsec %= 1000000000;
		pthread_cond_timedwait(&t->changed, &t->lock, &until);
	}
	pthread_mutex_unlock(&t->lock);
	return !delay;
}

static void *run_registry(void *ctx)
{
	struct registry_thread *t = ctx;

	t->next_renewal_us =
		now_us(t) + g_random_int_range(0, PUBLISH_SPREAD_US);
	while (!read_flag(t, &t->is_stopping)) {
		if (take_request(t, &t->is_list_requested))
			request_list(t);
		if (!t->is_listed) {
			t->is_listed = list_store(t);
			if (!t->is_listed)
				back_off(t);
			continue;
		}
		keep_host_record(t);
		if (wait_idle(t))
			watch_once(t);
	}
	return NULL;
}

static void set_curl_options(struct registry_thread *t)
{
	curl_easy_setopt(t->curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(t->curl, CURLOPT_WRITEFUNCTION, handle_data);
	curl_easy_setopt(t->curl, CURLOPT_WRITEDATA, t);
	curl_easy_setopt(t->curl, CURLOPT_HEADERFUNCTION, handle_header);
	curl_easy_setopt(t->curl, CURLOPT_HEADERDATA, t);
	curl_easy_setopt(t->curl, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)CONNECT_TIMEOUT_MS);
	curl_easy_setopt(t->curl, CURLOPT_NOPROGRESS, 0L);
	curl_easy_setopt(t->curl, CURLOPT_XFERINFOFUNCTION, handle_progress);
	curl_easy_setopt(t->curl, CURLOPT_XFERINFODATA, t);
	curl_easy_setopt(t->curl, CURLOPT_SOCKOPTFUNCTION, handle_socket);
}

int registry_thread_start(struct registry_thread **out,
			  const struct registry_thread_options *options)
{
	struct registry_thread *t = g_new0(struct registry_thread, 1);
	pthread_condattr_t attributes;

	t->options = *options;
	t->backoff_us = BACKOFF_MIN_US;
	store_faults_init(&t->faults, options->clock);
	t->watch = options->self.address ? FEED_WATCH_OFF : FEED_WATCH_ON;
	pthread_mutex_init(&t->lock, NULL);
	/* Wall-clock time may jump, so the wait uses the monotonic clock. */
	pthread_condattr_init(&attributes);
	pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	pthread_cond_init(&t->changed, &attributes);
	pthread_condattr_destroy(&attributes);
	curl_global_init(CURL_GLOBAL_NOTHING);
	t->curl = curl_easy_init();
	if (!t->curl) {
		g_free(t);
		return -ERR_NOMEM;
	}
	t->body = g_byte_array_new();
	set_curl_options(t);
	pthread_create(&t->thread, NULL, run_registry, t);
	*out = t;
	return 0;
}

void registry_thread_set_watch(struct registry_thread *t, enum feed_watch watch,
			       struct store_time time)
{
	pthread_mutex_lock(&t->lock);
	t->watch = watch;
	if (watch == FEED_WATCH_RARELY)
		schedule_rare_watch(t, RARE_FIRST_MIN_MS, RARE_FIRST_MAX_MS);
	t->time = store_time_latest(t->time, time);
	pthread_cond_signal(&t->changed);
	pthread_mutex_unlock(&t->lock);
}

void registry_thread_note_time(struct registry_thread *t,
			       struct store_time time)
{
	pthread_mutex_lock(&t->lock);
	t->time = store_time_latest(t->time, time);
	pthread_cond_signal(&t->changed);
	pthread_mutex_unlock(&t->lock);
}

void registry_thread_set_host_count(struct registry_thread *t, uint32_t count)
{
	pthread_mutex_lock(&t->lock);
	t->host_count = count;
	pthread_mutex_unlock(&t->lock);
}

void registry_thread_request_list(struct registry_thread *t)
{
	pthread_mutex_lock(&t->lock);
	t->is_list_requested = true;
	pthread_cond_signal(&t->changed);
	pthread_mutex_unlock(&t->lock);
}

void registry_thread_withdraw(struct registry_thread *t)
{
	pthread_mutex_lock(&t->lock);
	t->is_withdrawn = true;
	pthread_cond_signal(&t->changed);
	pthread_mutex_unlock(&t->lock);
}

void registry_thread_request_stop(struct registry_thread *t)
{
	pthread_mutex_lock(&t->lock);
	t->is_stopping = true;
	pthread_cond_signal(&t->changed);
	pthread_mutex_unlock(&t->lock);
}

void registry_thread_stop(struct registry_thread *t)
{
	registry_thread_request_stop(t);
	pthread_join(t->thread, NULL);
	curl_easy_cleanup(t->curl);
	g_byte_array_free(t->body, TRUE);
	pthread_mutex_destroy(&t->lock);
	pthread_cond_destroy(&t->changed);
	g_free(t);
}

void registry_thread_mark_joined(struct registry_thread *t, uint64_t lease)
{
	pthread_mutex_lock(&t->lock);
	t->joined_lease = lease;
	pthread_mutex_unlock(&t->lock);
}

void registry_thread_request_check(struct registry_thread *t)
{
	pthread_mutex_lock(&t->lock);
	t->is_check_requested = true;
	pthread_cond_signal(&t->changed);
	pthread_mutex_unlock(&t->lock);
}

struct registry_check registry_thread_last_check(struct registry_thread *t)
{
	struct registry_check check;

	pthread_mutex_lock(&t->lock);
	check = t->check;
	pthread_mutex_unlock(&t->lock);
	return check;
}

struct registry_lease registry_thread_lease(struct registry_thread *t)
{
	struct registry_lease lease;

	pthread_mutex_lock(&t->lock);
	lease = t->renewed;
	pthread_mutex_unlock(&t->lock);
	return lease;
}

int64_t registry_thread_news_us(const struct registry_thread *t)
{
	return __atomic_load_n(&t->news_us, __ATOMIC_RELAXED);
}
