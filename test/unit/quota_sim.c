#include "quota_sim.h"

#include <string.h>

#define WINDOW_US (5 * US_PER_S)
#define LEASE_US (15 * US_PER_S)
#define RENEWAL_US (5 * US_PER_S)
#define NEWS_US (1 * US_PER_S)
#define STOP_US (6 * US_PER_S)
#define RENEWAL_RETRY_US (2 * US_PER_S)
/* Longest time from the start of a renewal until it reaches the store. */
#define RENEWAL_MAX_MS 800
/* Interval of the checks of a host after a break. */
#define CHECK_US (1 * US_PER_S)
#define FRAME_DELAY_US (5 * US_PER_S)
#define SETTLE_US (12 * US_PER_S)

struct sim_frame {
	int64_t at_us;
	uint32_t from;
	uint32_t to;
	bool is_grants;
	bool is_view;
	bool is_lost;
	bool is_release;
	struct token_release release;
	struct token_view view;
	/** Of struct token_claim or struct token_grant; keys are interned. */
	GArray *items;
};

struct record_event {
	int64_t at_us;
	int64_t published_us;
	uint32_t host;
	uint64_t lease;
	bool is_present;
};

/* Of two failure domains in each region; host i is in region i % 3. */
static const char *const domains[] = { "a", "b", "c", "a2", "b2", "c2" };
static char *regions[] = { "a=ra",  "b=rb",  "c=rc", "a2=ra",
			   "b2=rb", "c2=rc", NULL };

static char *host_address(uint32_t i)
{
	return g_strdup_printf("10.0.0.%u:7000", i);
}

static uint32_t address_index(const char *address)
{
	return (uint32_t)g_ascii_strtoull(address + strlen("10.0.0."), NULL,
					  10);
}

static void put_record(struct qsim_host *h, uint32_t other, uint64_t lease)
{
	struct host_record r = {
		.name = g_strdup_printf("h%u", other),
		.address = host_address(other),
		.domain = g_strdup(domains[other % 6]),
		.lease = lease,
	};

	host_directory_put(&h->directory, &r);
}

static void remove_record(struct qsim_host *h, uint32_t other)
{
	char name[16];

	g_snprintf(name, sizeof(name), "h%u", other);
	host_directory_remove(&h->directory, name);
}

static struct lease_time host_now(const struct qsim_host *h)
{
	return (struct lease_time){ h->time.now_us,
				    h->time.now_us + h->time.boot_offset_us };
}

static bool is_drawn(struct quota_sim *s, double part)
{
	return part > 0 && g_rand_double(s->random) < part;
}

static struct sim_frame *send_frame(struct quota_sim *s, uint32_t from,
				    uint32_t to, bool is_grants,
				    const GArray *items, guint size)
{
	struct sim_frame *f = g_new0(struct sim_frame, 1);

	f->at_us =
		s->now_us + (from % 3 == to % 3 ? s->link_us : s->far_link_us);
	f->from = from;
	f->to = to;
	f->is_grants = is_grants;
	f->items = g_array_new(FALSE, FALSE, size);
	if (items->len)
		g_array_append_vals(f->items, items->data, items->len);
	for (guint i = 0; i < f->items->len; i++) {
		const char **key =
			(const char **)(void *)(f->items->data + i * size);

		*key = g_intern_string(*key);
	}
	for (guint i = 0; i < f->items->len && !is_grants; i++) {
		struct token_claim *c =
			&g_array_index(f->items, struct token_claim, i);

		c->domain = g_intern_string(c->domain);
	}
	s->frame_count++;
	s->claim_count += is_grants ? 0 : items->len;
	if (is_drawn(s, s->delayed_part))
		f->at_us += g_rand_int_range(s->random, 0, FRAME_DELAY_US);
	f->is_lost = is_drawn(s, s->lost_part);
	g_queue_push_tail(&s->frames, f);
	return f;
}

/* Repeats a frame other than claims and grants, which links do not repeat. */
static void repeat_frame(struct quota_sim *s, const struct sim_frame *f)
{
	struct sim_frame *copy = g_memdup2(f, sizeof(*f));

	copy->items = g_array_copy(f->items);
	copy->at_us += g_rand_int_range(s->random, 0, FRAME_DELAY_US);
	g_queue_push_tail(&s->frames, copy);
}

static void handle_send_claims(void *ctx, const char *address,
			       const GArray *claims)
{
	struct qsim_host *h = ctx;

	send_frame(h->sim, h->index, address_index(address), false, claims,
		   sizeof(struct token_claim));
}

static void handle_send_view(void *ctx, const char *address,
			     const struct token_view *view)
{
	struct qsim_host *h = ctx;
	GArray *none = g_array_new(FALSE, FALSE, sizeof(struct token_claim));
	struct sim_frame *f;

	f = send_frame(h->sim, h->index, address_index(address), false, none,
		       sizeof(struct token_claim));
	f->is_view = true;
	f->view = *view;
	if (h->sim->is_large)
		f->view.hash += h->index + 1;
	if (is_drawn(h->sim, h->sim->repeated_part))
		repeat_frame(h->sim, f);
	g_array_free(none, TRUE);
}

static void handle_send_release(void *ctx, const char *address,
				const struct token_release *release)
{
	struct qsim_host *h = ctx;
	GArray *none = g_array_new(FALSE, FALSE, sizeof(struct token_claim));
	struct sim_frame *f;

	f = send_frame(h->sim, h->index, address_index(address), false, none,
		       sizeof(struct token_claim));
	f->is_release = true;
	f->release = *release;
	f->release.key = g_intern_string(release->key);
	f->release.domain = g_intern_string(release->domain);
	if (is_drawn(h->sim, h->sim->repeated_part))
		repeat_frame(h->sim, f);
	g_array_free(none, TRUE);
}

static void handle_deliver_grant(void *ctx, const struct token_grant *g)
{
	struct qsim_host *h = ctx;

	quota_handle_grant(h->quota, g, host_now(h));
}

static void handle_update_limit(void *ctx, const char *key,
				struct token_limit *limit)
{
	const struct qsim_host *h = ctx;
	const struct organisation *o;

	if (h->version + 1 <= limit->version)
		return;
	o = &h->sim->organisations[h->version][key[strlen("q:o")] - '0'];
	*limit = (struct token_limit){ .max_per_s = o->max_per_s,
				       .burst = o->burst,
				       .version = h->version + 1 };
}

static const struct token_exchange_ops exchange_ops = {
	.send_view = handle_send_view,
	.send_release = handle_send_release,
	.send_claims = handle_send_claims,
	.deliver_grant = handle_deliver_grant,
	.update_limit = handle_update_limit,
};

static void note_admitted(struct quota_sim *s, uint32_t o)
{
	g_array_append_val(s->admitted[o], s->now_us);
}

static void handle_admit(void *ctx, void *user, uint64_t ticket)
{
	struct qsim_host *h = ctx;

	note_admitted(h->sim, GPOINTER_TO_UINT(user));
}

static void handle_refuse(void *ctx, void *user, int64_t retry_after_us)
{
	struct qsim_host *h = ctx;

	h->sim->refused[GPOINTER_TO_UINT(user)]++;
}

static const struct quota_ops quota_ops = {
	.admit = handle_admit,
	.refuse = handle_refuse,
};

static int64_t event_delay(struct quota_sim *s)
{
	return g_rand_int_range(s->random, 10, 50) * US_PER_MS +
	       (int64_t)(g_rand_double(s->random) * (double)s->event_delay_us);
}

/* Tells all hosts of a change of a record, in order. */
static void publish(struct quota_sim *s, uint32_t host, bool is_present)
{
	s->hosts[host].has_record = is_present;
	for (uint32_t i = 0; i < s->count; i++) {
		struct qsim_host *h = &s->hosts[i];
		struct record_event *e = g_new0(struct record_event, 1);

		e->at_us = MAX(h->last_event_us, s->now_us + event_delay(s));
		e->published_us = s->now_us;
		e->host = host;
		e->lease = s->hosts[host].lease;
		e->is_present = is_present;
		h->last_event_us = e->at_us;
		g_queue_push_tail(&h->events, e);
	}
}

void quota_sim_start_host(struct quota_sim *s, uint32_t i)
{
	struct qsim_host *h = &s->hosts[i];
	char name[16];
	struct token_exchange_options options = {
		.directory = &h->directory,
		.is_leased = true,
		.seed = ++s->seed,
		.ops = &exchange_ops,
		.ctx = h,
	};
	struct quota_options quota_options = {
		.seed = s->seed,
		.ops = &quota_ops,
		.ctx = h,
	};

	g_snprintf(name, sizeof(name), "h%u", i);
	h->is_running = true;
	h->stop_at_us = 0;
	h->is_listed = false;
	h->is_published = false;
	h->listed_at_us =
		s->now_us + g_rand_int_range(s->random, 50, 500) * US_PER_MS;
	h->frozen_until_us = 0;
	memset(&h->directory, 0, sizeof(h->directory));
	leaf_set_init(&h->leaves, name, domains[i % 6], regions);
	host_directory_init(&h->directory, name, &h->leaves);
	options.clock = clock_virtual(&h->time);
	h->exchange = token_exchange_create(&options);
	h->quota = quota_create(&quota_options);
}

void quota_sim_kill_host(struct quota_sim *s, uint32_t i)
{
	struct qsim_host *h = &s->hosts[i];

	if (!h->is_running)
		return;
	h->is_running = false;
	quota_free(h->quota);
	token_exchange_free(h->exchange);
	host_directory_clear(&h->directory);
	leaf_set_clear(&h->leaves);
}

static bool is_on_island(const struct quota_sim *s, uint32_t host)
{
	return s->now_us < s->island_until_us && (s->island >> host & 1);
}

static bool reaches_store(const struct quota_sim *s, const struct qsim_host *h)
{
	bool is_cut = s->now_us < s->region_cut_until_us &&
		      (int)h->index % 3 == s->cut_region;

	if (s->now_us < s->island_until_us &&
	    is_on_island(s, h->index) != s->has_island_store)
		return false;
	return !is_cut && s->now_us >= s->store_away_until_us &&
	       s->now_us >= h->cut_from_store_until_us;
}

void quota_sim_stop_host(struct quota_sim *s, uint32_t i)
{
	struct qsim_host *h = &s->hosts[i];

	if (!h->is_running || h->stop_at_us)
		return;
	token_owner_stop(token_exchange_owner(h->exchange));
	if (h->has_record && reaches_store(s, h))
		publish(s, i, false);
	h->next_renewal_us = INT64_MAX;
	h->stop_at_us = s->now_us + STOP_US;
}

void quota_sim_freeze_host(struct quota_sim *s, uint32_t i, int64_t us,
			   bool is_suspended)
{
	struct qsim_host *h = &s->hosts[i];

	h->frozen_until_us = s->now_us + us;
	h->events_from_us = h->frozen_until_us + event_delay(s);
	if (!is_suspended)
		return;
	h->time.now_us -= us;
	h->time.boot_offset_us += us;
}

/* The first listing has the records of the moment. */
static void list_store(struct quota_sim *s, struct qsim_host *h)
{
	h->is_listed = true;
	g_queue_clear_full(&h->events, g_free);
	for (uint32_t i = 0; i < s->count; i++) {
		if (s->hosts[i].has_record)
			put_record(h, i, s->hosts[i].lease);
	}
	h->next_renewal_us = s->now_us;
	h->earlier_lease = h->has_record && h->is_marked ? h->lease : 0;
}

static void apply_events(struct quota_sim *s, struct qsim_host *h)
{
	struct record_event *e;

	if (s->now_us < h->events_from_us)
		return;
	while ((e = g_queue_peek_head(&h->events)) && e->at_us <= s->now_us) {
		if (e->is_present)
			put_record(h, e->host, e->lease);
		else
			remove_record(h, e->host);
		g_free(g_queue_pop_head(&h->events));
	}
}

/* Renews the lease on the record; one that has expired is not renewed. */
static void renew_record(struct quota_sim *s, struct qsim_host *h)
{
	int64_t call_us =
		g_rand_int_range(s->random, 0, RENEWAL_MAX_MS) * US_PER_MS;
	struct lease_time started = host_now(h);

	started.monotonic_us -= call_us;
	started.boot_us -= call_us;
	h->next_renewal_us = s->now_us + RENEWAL_US;
	h->lease_until_us = s->now_us + LEASE_US;
	if (!h->is_published && h->has_record && h->earlier_lease == h->lease) {
		publish(s, h->index, true);
		token_owner_note_inherited(token_exchange_owner(h->exchange),
					   h->lease);
	} else if (!h->has_record || !h->is_published) {
		h->lease = ++s->last_lease;
		h->is_marked = false;
		publish(s, h->index, true);
	}
	h->is_published = true;
	token_owner_note_renewal(token_exchange_owner(h->exchange), h->lease,
				 &started);
}

static bool is_check_due(const struct quota_sim *s, const struct qsim_host *h)
{
	return !h->stop_at_us &&
	       token_owner_needs_check(token_exchange_owner(h->exchange)) &&
	       s->now_us - (h->next_renewal_us - RENEWAL_US) >= CHECK_US;
}

/* The mirror has the changes up to the first one that has not arrived. */
static void note_mirror(struct quota_sim *s, struct qsim_host *h)
{
	const struct record_event *e = g_queue_peek_head(&h->events);
	int64_t age = e ? s->now_us - e->published_us + 1 : 0;

	if (s->now_us >= h->events_from_us)
		token_owner_note_mirror(token_exchange_owner(h->exchange),
					h->time.now_us - age);
}

static void run_store_client(struct quota_sim *s, struct qsim_host *h)
{
	if (!reaches_store(s, h)) {
		h->events_from_us = s->now_us + s->event_delay_us;
		h->next_renewal_us =
			MAX(h->next_renewal_us, s->now_us + RENEWAL_RETRY_US);
		if (s->now_us >= h->next_news_us)
			token_owner_note_store_lost(
				token_exchange_owner(h->exchange));
		return;
	}
	if (!h->is_listed) {
		if (s->now_us >= h->listed_at_us)
			list_store(s, h);
		return;
	}
	apply_events(s, h);
	note_mirror(s, h);
	if (h->is_published && h->has_record &&
	    token_owner_has_joined(token_exchange_owner(h->exchange)))
		h->is_marked = true;
	if (s->now_us >= h->renewals_fail_until_us &&
	    (s->now_us >= h->next_renewal_us || is_check_due(s, h)))
		renew_record(s, h);
	if (s->now_us >= h->next_news_us) {
		h->next_news_us = s->now_us + NEWS_US;
		token_owner_note_store(token_exchange_owner(h->exchange),
				       h->time.now_us);
	}
}

static void expire_records(struct quota_sim *s)
{
	if (s->now_us < s->store_away_until_us) {
		for (uint32_t i = 0; i < s->count && s->is_keeping_leases; i++)
			s->hosts[i].lease_until_us += QSIM_STEP_US;
		return;
	}
	for (uint32_t i = 0; i < s->count; i++) {
		if (s->hosts[i].has_record &&
		    s->now_us >= s->hosts[i].lease_until_us)
			publish(s, i, false);
	}
}

static void free_frame(struct sim_frame *f)
{
	g_array_free(f->items, TRUE);
	g_free(f);
}

static bool is_lost(const struct quota_sim *s, const struct sim_frame *f)
{
	int from = (int)f->from;
	int to = (int)f->to;

	bool is_far = from % 3 != to % 3;
	bool is_cut = s->now_us < s->region_cut_until_us &&
		      (from % 3 == s->cut_region || to % 3 == s->cut_region);

	return f->is_lost || (is_far && is_cut) ||
	       is_on_island(s, f->from) != is_on_island(s, f->to) ||
	       s->now_us < s->hosts[f->from].cut_from_hosts_until_us ||
	       s->now_us < s->hosts[f->to].cut_from_hosts_until_us ||
	       !s->hosts[f->to].is_running ||
	       (s->lost_link[0] == from && s->lost_link[1] == to) ||
	       (s->lost_link[0] == to && s->lost_link[1] == from);
}

static void deliver_frame(struct quota_sim *s, const struct sim_frame *f)
{
	struct qsim_host *h = &s->hosts[f->to];
	char *from = host_address(f->from);
	GArray *grants;

	if (f->is_view) {
		token_owner_handle_view(token_exchange_owner(h->exchange), from,
					&f->view);
	} else if (f->is_release) {
		token_owner_handle_release(token_exchange_owner(h->exchange),
					   from, &f->release);
	} else if (f->is_grants) {
		token_exchange_handle_grants(h->exchange, from, f->items);
	} else {
		grants = token_exchange_answer(h->exchange, f->items);
		send_frame(s, f->to, f->from, true, grants,
			   sizeof(struct token_grant));
		g_array_free(grants, TRUE);
	}
	g_free(from);
}

/* Delivers the frames that are due; those to frozen hosts wait. */
static void deliver_frames(struct quota_sim *s)
{
	guint count = s->frames.length;

	while (count--) {
		struct sim_frame *f = g_queue_pop_head(&s->frames);

		if (is_lost(s, f)) {
			free_frame(f);
		} else if (s->now_us < f->at_us ||
			   s->now_us < s->hosts[f->to].frozen_until_us) {
			g_queue_push_tail(&s->frames, f);
		} else {
			deliver_frame(s, f);
			free_frame(f);
		}
	}
}

static void ask(struct quota_sim *s, struct qsim_host *h, uint32_t o)
{
	struct quota_request in = {
		.user = GUINT_TO_POINTER(o),
		.organisation = &s->organisations[h->version][o],
		.version = h->version + 1,
		.goal_us = s->goal_us,
		.left_us = 2 * US_PER_S,
	};
	uint64_t ticket;
	int64_t retry_after_us;

	s->asked[o]++;
	switch (quota_ask(h->quota, &in, host_now(h), &ticket,
			  &retry_after_us)) {
	case QUOTA_ADMITTED:
		note_admitted(s, o);
		return;
	case QUOTA_EXCEEDED:
		s->refused[o]++;
		return;
	case QUOTA_WAITS:
		return;
	}
}

/* Sends the requests of one step, with the spread of independent callers. */
static void send_requests(struct quota_sim *s, struct qsim_host *h, uint32_t o)
{
	double mean = h->per_s[o] * QSIM_STEP_US / US_PER_S;
	int count = (int)(mean + g_rand_double(s->random));

	while (count-- > 0)
		ask(s, h, o);
}

static void run_host(struct quota_sim *s, struct qsim_host *h)
{
	GArray *claims;

	if (h->stop_at_us && s->now_us >= h->stop_at_us) {
		quota_sim_kill_host(s, h->index);
		return;
	}
	run_store_client(s, h);
	for (uint32_t o = 0; o < s->organisation_count; o++)
		send_requests(s, h, o);
	if (h->is_listed)
		token_owner_note_listed(token_exchange_owner(h->exchange));
	token_exchange_advance(h->exchange);
	token_owner_prepare(token_exchange_owner(h->exchange));
	claims = quota_advance(h->quota, host_now(h));
	if (claims) {
		token_exchange_claim(h->exchange, claims);
		g_array_free(claims, TRUE);
	}
	token_exchange_fill_cache(h->exchange);
	token_exchange_deliver_own(h->exchange);
}

static bool is_owner(struct qsim_host *h)
{
	struct token_claim claim = { .key = "q:o0", .domain = "" };
	struct rate_owners owners =
		host_directory_rate_owners(&h->directory, claim.key, "");
	int64_t since;

	return token_owner_part(token_exchange_owner(h->exchange), &claim,
				&owners, &since) == TOKEN_PART_ALL;
}

/* Counts the hosts that would grant all of a rate at this moment. */
static void check_owners(struct quota_sim *s)
{
	uint32_t found[2] = { 0, 0 };
	uint32_t count = 0;

	for (uint32_t i = 0; i < s->count; i++) {
		struct qsim_host *h = &s->hosts[i];

		if (!h->is_running || s->now_us < h->frozen_until_us ||
		    !is_owner(h))
			continue;
		found[MIN(count, 1)] = i;
		count++;
	}
	if (count)
		s->owned_us += QSIM_STEP_US;
	if (count < 2)
		return;
	s->overlap_sum_us += QSIM_STEP_US;
	if (s->overlap_us)
		return;
	s->overlap_us = s->now_us;
	memcpy(s->overlap_hosts, found, sizeof(found));
}

void quota_sim_run(struct quota_sim *s, int64_t us)
{
	for (int64_t end = s->now_us + us; s->now_us < end;) {
		s->now_us += QSIM_STEP_US;
		for (uint32_t i = 0; i < s->count; i++)
			s->hosts[i].time.now_us += QSIM_STEP_US;
		expire_records(s);
		deliver_frames(s);
		for (uint32_t i = 0; i < s->count; i++) {
			struct qsim_host *h = &s->hosts[i];

			if (h->is_running && s->now_us >= h->frozen_until_us)
				run_host(s, h);
		}
		if (s->is_checking_owners)
			check_owners(s);
	}
}

struct quota_sim *quota_sim_create(uint32_t count, uint32_t running,
				   uint32_t organisations, double rate,
				   double burst, guint32 seed)
{
	struct quota_sim *s = g_new0(struct quota_sim, 1);

	s->now_us = 1000 * US_PER_S;
	s->count = count;
	s->organisation_count = organisations;
	s->link_us = 1 * US_PER_MS;
	s->far_link_us = 12 * US_PER_MS;
	s->goal_us = 400 * US_PER_MS;
	s->event_delay_us = 200 * US_PER_MS;
	s->random = g_rand_new_with_seed(seed);
	s->lost_link[0] = s->lost_link[1] = -1;
	g_queue_init(&s->frames);
	for (uint32_t o = 0; o < organisations; o++) {
		s->admitted[o] = g_array_new(FALSE, FALSE, sizeof(int64_t));
		for (int v = 0; v < 2; v++)
			s->organisations[v][o] = (struct organisation){
				.name = g_strdup_printf("o%u", o),
				.max_per_s = rate,
				.burst = burst,
			};
	}
	for (uint32_t i = 0; i < count; i++) {
		struct qsim_host *h = &s->hosts[i];

		h->sim = s;
		h->index = i;
		h->time.now_us =
			s->now_us +
			g_rand_int_range(s->random, 0, 1000) * US_PER_S;
		g_queue_init(&h->events);
	}
	for (uint32_t i = 0; i < running; i++)
		quota_sim_start_host(s, i);
	quota_sim_run(s, SETTLE_US);
	return s;
}

void quota_sim_destroy(struct quota_sim *s)
{
	struct sim_frame *f;

	while ((f = g_queue_pop_head(&s->frames)))
		free_frame(f);
	for (uint32_t i = 0; i < s->count; i++) {
		quota_sim_kill_host(s, i);
		g_queue_clear_full(&s->hosts[i].events, g_free);
	}
	for (uint32_t o = 0; o < s->organisation_count; o++) {
		g_array_free(s->admitted[o], TRUE);
		g_free(s->organisations[0][o].name);
		g_free(s->organisations[1][o].name);
	}
	g_rand_free(s->random);
	g_free(s);
}

void quota_sim_set_rates(struct quota_sim *s, uint32_t organisation,
			 double per_s)
{
	for (uint32_t i = 0; i < s->count; i++)
		s->hosts[i].per_s[organisation] = per_s;
}

void quota_sim_clear_counts(struct quota_sim *s)
{
	for (uint32_t o = 0; o < s->organisation_count; o++) {
		g_array_set_size(s->admitted[o], 0);
		s->asked[o] = 0;
		s->refused[o] = 0;
	}
	s->frame_count = 0;
	s->claim_count = 0;
	s->owned_us = 0;
}

uint32_t quota_sim_most_in_window(const struct quota_sim *s, uint32_t o)
{
	const int64_t *times = (const int64_t *)(void *)s->admitted[o]->data;
	guint first = 0;
	guint most = 0;

	for (guint last = 0; last < s->admitted[o]->len; last++) {
		while (times[last] - times[first] >= WINDOW_US)
			first++;
		most = MAX(most, last - first + 1);
	}
	return most;
}
