#include "suites.h"

#include <string.h>

#include "router/store_witness.h"
#include "router/token_owner.h"

#define HOSTS 4
#define START_US (1000 * US_PER_S)
#define STEP_US (500 * US_PER_MS)
#define KEY "q:o0"
/* Wait of a host that does not take keys over. */
#define WAIT_US (TOKEN_JOIN_US + TOKEN_DEFER_US)
#define RENEW_US (5 * US_PER_S)

struct fixture {
	struct virtual_clock time;
	struct leaf_set leaves;
	struct host_directory directory;
	struct token_owner *owner;
	bool is_store_lost;
	int64_t lost_us;
	/** What the other hosts state; hosts that are down do not answer. */
	struct token_view view;
	bool are_others_down;
	/** This many of the others do not answer. */
	guint missing;
	/** Questions for keys, and answers, that this host has sent. */
	guint question_count;
	guint release_count;
	/** Of struct asked: questions of this host that are not answered yet. */
	GArray *asked;
};

struct asked {
	char address[32];
	struct token_view view;
};

static const struct token_claim claim = { .key = KEY, .domain = "" };

static void put_host(struct fixture *f, const char *name)
{
	struct host_record r = {
		.name = g_strdup(name),
		.address = g_strdup_printf("10.0.0.%s:7000", name + 1),
		.domain = g_strdup(name[1] % 2 ? "a" : "b"),
		.lease = 1,
	};

	host_directory_put(&f->directory, &r);
}

/* Returns the host that comes before all others by hash, or the one after. */
static char *ranked_host(int rank)
{
	struct fixture f = { 0 };
	struct rate_owners owners;
	char *name;

	leaf_set_init(&f.leaves, "h0", "b", NULL);
	host_directory_init(&f.directory, "h0", &f.leaves);
	for (int i = 0; i < HOSTS; i++) {
		name = g_strdup_printf("h%d", i);
		put_host(&f, name);
		g_free(name);
	}
	owners = host_directory_rate_owners(&f.directory, KEY, "");
	name = g_strdup(rank ? owners.second->record.name
			     : owners.first->record.name);
	host_directory_clear(&f.directory);
	leaf_set_clear(&f.leaves);
	return name;
}

static void handle_send_view(void *ctx, const char *address,
			     const struct token_view *view)
{
	struct fixture *f = ctx;
	struct asked a = { .view = *view };

	g_strlcpy(a.address, address, sizeof(a.address));
	g_array_append_val(f->asked, a);
}

static void handle_send_release(void *ctx, const char *address,
				const struct token_release *release)
{
	struct fixture *f = ctx;

	if (release->is_answer)
		f->release_count++;
	else
		f->question_count++;
}

static void answer_questions(struct fixture *f)
{
	GArray *asked = f->asked;

	f->asked = g_array_new(FALSE, FALSE, sizeof(struct asked));
	for (guint i = 0; i < asked->len && !f->are_others_down; i++) {
		const struct asked *a = &g_array_index(asked, struct asked, i);
		struct token_view view = f->view;
		guint number = (guint)(a->address[strlen("10.0.0.")] - '0');

		if (number < f->missing)
			continue;
		view.is_answer = true;
		if (!view.has_store && f->lost_us)
			view.store_age_us = f->time.now_us - f->lost_us;
		view.asked_us = a->view.asked_us;
		token_owner_handle_view(f->owner, a->address, &view);
	}
	g_array_free(asked, TRUE);
}

static void renew(struct fixture *f, uint64_t lease)
{
	struct lease_time now = { f->time.now_us,
				  f->time.now_us + f->time.boot_offset_us };

	token_owner_note_renewal(f->owner, lease, &now);
}

static void advance(struct fixture *f, int64_t us)
{
	for (int64_t end = f->time.now_us + us; f->time.now_us < end;) {
		f->time.now_us += STEP_US;
		if (!f->is_store_lost)
			token_owner_note_store(f->owner, f->time.now_us);
		token_owner_advance(f->owner, true);
		answer_questions(f);
	}
}

/* Advances with renewals of the record. */
static void advance_renewed(struct fixture *f, int64_t us)
{
	int64_t end = f->time.now_us + us;

	renew(f, 1);
	while (f->time.now_us < end) {
		advance(f, MIN(RENEW_US, end - f->time.now_us));
		renew(f, 1);
	}
}

/* Lets this host join, with others that have the store. */
static void join(struct fixture *f)
{
	f->view = (struct token_view){
		.has_store = true,
		.store_steady_us = TOKEN_STORE_LEASE_US,
	};
	advance_renewed(f, WAIT_US + 2 * STEP_US);
}

/* The store is lost for this host and for the others. */
static void lose_store(struct fixture *f)
{
	f->is_store_lost = true;
	f->lost_us = f->time.now_us;
	f->view = (struct token_view){ 0 };
}

/* Starts the host of a rank, which knows all hosts. */
static void set_up(struct fixture *f, int rank)
{
	struct token_owner_options options = {
		.directory = &f->directory,
		.is_leased = true,
		.send_view = handle_send_view,
		.send_release = handle_send_release,
		.ctx = f,
	};
	char *self = ranked_host(rank);

	*f = (struct fixture){ .time.now_us = START_US };
	f->asked = g_array_new(FALSE, FALSE, sizeof(struct asked));
	leaf_set_init(&f->leaves, self, "b", NULL);
	host_directory_init(&f->directory, self, &f->leaves);
	for (int i = 0; i < HOSTS; i++) {
		char *name = g_strdup_printf("h%d", i);

		put_host(f, name);
		g_free(name);
	}
	options.clock = clock_virtual(&f->time);
	f->owner = token_owner_create(&options);
	g_free(self);
}

static void tear_down(struct fixture *f)
{
	token_owner_free(f->owner);
	g_array_free(f->asked, TRUE);
	host_directory_clear(&f->directory);
	leaf_set_clear(&f->leaves);
}

static enum token_part part_of(struct fixture *f, int64_t *since)
{
	struct rate_owners owners =
		host_directory_rate_owners(&f->directory, KEY, "");

	token_owner_advance(f->owner, true);
	return token_owner_part(f->owner, &claim, &owners, since);
}

static enum token_part part(struct fixture *f)
{
	int64_t since;

	return part_of(f, &since);
}

/* Guards against grants of a host that has withdrawn its record. */
static void test_stop(void)
{
	struct fixture f;

	set_up(&f, 0);
	join(&f);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_ALL);
	token_owner_stop(f.owner);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_NONE);
	tear_down(&f);
}

/* Guards against grants before an owner with an older mirror has stopped. */
static void test_start(void)
{
	struct fixture f;
	int64_t since;

	set_up(&f, 0);
	f.view = (struct token_view){ .has_store = true,
				      .store_steady_us = TOKEN_JOIN_US };
	advance_renewed(&f, WAIT_US - STEP_US);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_NONE);
	advance_renewed(&f, 3 * STEP_US);
	CU_ASSERT_EQUAL(part_of(&f, &since), TOKEN_PART_ALL);
	CU_ASSERT_TRUE(since >= START_US + WAIT_US);
	tear_down(&f);
}

/* Puts new hosts that come after the first one by hash. */
static void put_new_hosts(struct fixture *f, int count)
{
	for (int i = HOSTS; count > 0; i++) {
		char *name = g_strdup_printf("h%d", i);
		struct rate_owners owners;

		put_host(f, name);
		owners = host_directory_rate_owners(&f->directory, KEY, "");
		if (host_directory_is_self(&f->directory, owners.first))
			count--;
		else
			host_directory_remove(&f->directory, name);
		g_free(name);
	}
}

/*
 * Guards against a start of a whole large fleet that waits for owners that
 * cannot be there, and against a host that does not wait for them although
 * few others are new, or came later.
 */
static void test_many_join(void)
{
	for (int i = 0; i < 3; i++) {
		int64_t later = i == 2 ? 4 * US_PER_S : 0;
		struct fixture f;

		set_up(&f, 0);
		f.view =
			(struct token_view){ .has_store = true,
					     .store_steady_us = TOKEN_JOIN_US };
		token_owner_note_listed(f.owner);
		advance_renewed(&f, STEP_US + later);
		put_new_hosts(&f, i == 1 ? 1 : HOSTS);
		advance_renewed(&f, TOKEN_JOIN_US - 2 * STEP_US);
		CU_ASSERT_EQUAL(part(&f), TOKEN_PART_NONE);
		advance_renewed(&f, 4 * STEP_US);
		CU_ASSERT_EQUAL(part(&f),
				i == 0 ? TOKEN_PART_ALL : TOKEN_PART_NONE);
		tear_down(&f);
	}
}

/*
 * Guards against grants of a host that joins while most others are without the
 * store: one of them may go on granting.
 */
static void test_start_without_others(void)
{
	struct fixture f;

	set_up(&f, 0);
	f.view = (struct token_view){ .store_age_us = TOKEN_JOIN_US };
	advance_renewed(&f, WAIT_US + 2 * STEP_US);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_NONE);
	tear_down(&f);
}

/* Guards against grants after the record may have expired. */
static void test_lease(void)
{
	struct fixture f;

	set_up(&f, 0);
	join(&f);
	advance(&f, TOKEN_LEASE_US - STEP_US);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_ALL);
	advance(&f, STEP_US);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_NONE);
	tear_down(&f);
}

/* Guards against a lease that is counted without the time of a suspension. */
static void test_suspended_lease(void)
{
	struct fixture f;

	set_up(&f, 0);
	join(&f);
	for (int i = 0; i < 10; i++) {
		f.time.boot_offset_us += TOKEN_PAUSE_US - STEP_US;
		advance(&f, STEP_US);
	}
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_NONE);
	tear_down(&f);
}

/* Guards against quotas without an owner while the store is away for all. */
static void test_store_lost(void)
{
	struct fixture f;

	set_up(&f, 0);
	join(&f);
	lose_store(&f);
	advance(&f, 60 * US_PER_S);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_ALL);
	/* Another host has the store: this one's record has expired there. */
	f.view = (struct token_view){ .has_store = true };
	advance(&f, TOKEN_CONTACT_US + STEP_US);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_NONE);
	tear_down(&f);
}

/* Guards against an owner that goes on while it is cut off with its domain. */
static void test_cut_off(void)
{
	struct fixture f;

	set_up(&f, 0);
	join(&f);
	lose_store(&f);
	f.are_others_down = true;
	advance(&f, TOKEN_CONTACT_US + STEP_US);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_NONE);
	tear_down(&f);
}

static void remove_first(struct fixture *f)
{
	char *first = ranked_host(0);

	host_directory_remove(&f->directory, first);
	g_free(first);
}

/* Guards against a wait after an owner whose record has expired. */
static void test_expired(void)
{
	struct fixture f;

	set_up(&f, 1);
	join(&f);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_SECOND);
	remove_first(&f);
	advance(&f, 2 * STEP_US);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_ALL);
	tear_down(&f);
}

/*
 * Guards against grants beside an owner that goes on since the store was lost
 * when its record expired: the next host waits then.
 */
static void test_expired_while_lost(void)
{
	struct fixture f;

	set_up(&f, 1);
	join(&f);
	token_owner_note_store_lost(f.owner);
	advance(&f, US_PER_S);
	remove_first(&f);
	renew(&f, 1);
	advance(&f, TOKEN_JOIN_US - STEP_US);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_NONE);
	advance(&f, 2 * STEP_US);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_ALL);
	tear_down(&f);
}

/* The same if only the other hosts had lost the store. */
static void test_expired_for_others(void)
{
	struct fixture f;

	set_up(&f, 1);
	join(&f);
	f.view.store_steady_us = TOKEN_JOIN_US - 1;
	/* Earlier answers count for 2 s. */
	advance_renewed(&f, 3 * US_PER_S);
	remove_first(&f);
	advance(&f, TOKEN_JOIN_US - STEP_US);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_NONE);
	f.view.store_steady_us = TOKEN_JOIN_US;
	advance(&f, 2 * STEP_US);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_ALL);
	tear_down(&f);
}

/* Lets this host stand still, after which the others have other records. */
static void pause_host(struct fixture *f, int64_t us)
{
	f->time.now_us += us;
	f->are_others_down = true;
	CU_ASSERT_EQUAL(part(f), TOKEN_PART_NONE);
}

/* Guards against a wait after a pause in which the record did not expire. */
static void test_resume(void)
{
	struct fixture f;
	int64_t since;

	set_up(&f, 0);
	join(&f);
	pause_host(&f, 5 * US_PER_S);
	CU_ASSERT_TRUE(!token_owner_needs_check(f.owner));
	advance(&f, 2 * STEP_US);
	CU_ASSERT_TRUE(token_owner_needs_check(f.owner));
	renew(&f, 1);
	token_owner_note_mirror(f.owner, f.time.now_us);
	CU_ASSERT_EQUAL(part_of(&f, &since), TOKEN_PART_ALL);
	CU_ASSERT_EQUAL(since, f.time.now_us);
	tear_down(&f);
}

/* Guards against grants after a pause in which the record had expired. */
static void test_resume_new_lease(void)
{
	struct fixture f;

	set_up(&f, 0);
	join(&f);
	pause_host(&f, 5 * US_PER_S);
	advance(&f, 2 * STEP_US);
	renew(&f, 2);
	token_owner_note_mirror(f.owner, f.time.now_us);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_NONE);
	tear_down(&f);
}

/* Guards against a renewal that was started before the pause. */
static void test_resume_old_renewal(void)
{
	struct lease_time started;
	struct fixture f;

	set_up(&f, 0);
	join(&f);
	started = (struct lease_time){ f.time.now_us, f.time.now_us };
	pause_host(&f, 5 * US_PER_S);
	advance(&f, 2 * STEP_US);
	token_owner_note_renewal(f.owner, 1, &started);
	token_owner_note_mirror(f.owner, f.time.now_us);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_NONE);
	tear_down(&f);
}

/* Guards against grants beside a host that came during the pause. */
static void test_resume_old_mirror(void)
{
	struct fixture f;

	set_up(&f, 0);
	join(&f);
	token_owner_note_mirror(f.owner, f.time.now_us);
	pause_host(&f, 5 * US_PER_S);
	advance(&f, 2 * STEP_US);
	renew(&f, 1);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_NONE);
	tear_down(&f);
}

/* Guards against grants beside a host that came and went during the break. */
static void test_resume_late(void)
{
	struct fixture f;

	set_up(&f, 0);
	join(&f);
	for (int i = 0; i < 4; i++) {
		f.time.now_us += 4 * US_PER_S;
		renew(&f, 1);
		CU_ASSERT_EQUAL(part(&f), TOKEN_PART_NONE);
	}
	f.are_others_down = true;
	advance(&f, 2 * STEP_US);
	renew(&f, 1);
	token_owner_note_mirror(f.owner, f.time.now_us);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_NONE);
	tear_down(&f);
}

/*
 * Guards against agreement on records of which this host's had expired and was
 * written again: the others may not have seen that yet.
 */
static void test_rewritten_record(void)
{
	struct fixture f;

	set_up(&f, 0);
	join(&f);
	renew(&f, 2);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_NONE);
	advance(&f, TOKEN_JOIN_US + STEP_US);
	renew(&f, 2);
	advance(&f, WAIT_US - TOKEN_JOIN_US);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_NONE);
	tear_down(&f);
}

/* Guards against a wait of a process that takes over its host's record. */
static void test_inherited(void)
{
	struct fixture f;

	set_up(&f, 0);
	f.view = (struct token_view){ .has_store = true,
				      .store_steady_us = 5 * US_PER_S };
	token_owner_note_inherited(f.owner, 1);
	renew(&f, 1);
	advance(&f, 2 * STEP_US);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_ALL);
	tear_down(&f);
}

/*
 * Guards against grants beside an owner before this host that has left and goes
 * on, since most hosts were without the store.
 */
static void test_inherited_early(void)
{
	struct fixture f;

	set_up(&f, 0);
	f.view = (struct token_view){ .has_store = true,
				      .store_steady_us = 4 * US_PER_S };
	token_owner_note_inherited(f.owner, 1);
	renew(&f, 1);
	advance(&f, 2 * STEP_US);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_NONE);
	tear_down(&f);
}

/* Guards against a record that is taken over after it had expired. */
static void test_not_inherited(void)
{
	struct fixture f;

	set_up(&f, 0);
	f.view = (struct token_view){ .has_store = true,
				      .store_steady_us = 5 * US_PER_S };
	token_owner_note_inherited(f.owner, 7);
	renew(&f, 1);
	advance(&f, 2 * STEP_US);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_NONE);
	tear_down(&f);
}

/* Removes the first host before this one joins, and adds it afterwards. */
static void join_before_first(struct fixture *f)
{
	char *first = ranked_host(0);

	set_up(f, 1);
	remove_first(f);
	join(f);
	CU_ASSERT_EQUAL(part(f), TOKEN_PART_ALL);
	put_host(f, first);
	CU_ASSERT_EQUAL(part(f), TOKEN_PART_ALL);
	g_free(first);
}

/* Asks for a key in the name of the first host. */
static void ask_for_key(struct fixture *f, uint64_t lease)
{
	char *first = ranked_host(0);
	char *address = g_strdup_printf("10.0.0.%s:7000", first + 1);
	struct token_release question = { .key = KEY,
					  .domain = "",
					  .lease = lease };

	token_owner_handle_release(f->owner, address, &question);
	g_free(address);
	g_free(first);
}

/* Guards against an owner that stops when a host comes before it, or never. */
static void test_defer(void)
{
	struct fixture f;

	join_before_first(&f);
	advance_renewed(&f, TOKEN_DEFER_US - STEP_US);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_ALL);
	advance_renewed(&f, STEP_US);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_SECOND);
	tear_down(&f);
}

/* Guards against an owner that hands a key over and takes it back. */
static void test_release(void)
{
	struct fixture f;

	join_before_first(&f);
	advance_renewed(&f, TOKEN_JOIN_US - STEP_US);
	ask_for_key(&f, 1);
	CU_ASSERT_EQUAL(f.release_count, 0);
	advance_renewed(&f, STEP_US);
	/* Of an earlier process of that host. */
	ask_for_key(&f, 7);
	CU_ASSERT_EQUAL(f.release_count, 0);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_ALL);
	ask_for_key(&f, 1);
	CU_ASSERT_EQUAL(f.release_count, 1);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_SECOND);
	/* The answer may have been lost. */
	ask_for_key(&f, 1);
	CU_ASSERT_EQUAL(f.release_count, 2);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_SECOND);
	tear_down(&f);
}

/* Guards against a new host that does not take its keys over. */
static void test_take(void)
{
	struct token_release answer = {
		.key = KEY, .domain = "", .lease = 1, .is_answer = true
	};
	struct fixture f;

	set_up(&f, 0);
	f.view.is_deferring = true;
	advance_renewed(&f, TOKEN_JOIN_US);
	/* Not asked for: it may be late. */
	token_owner_handle_release(f.owner, "10.0.0.1:7000", &answer);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_NONE);
	advance_renewed(&f, STEP_US);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_NONE);
	CU_ASSERT_TRUE(f.question_count > 0);
	answer.lease = 7;
	token_owner_handle_release(f.owner, "10.0.0.1:7000", &answer);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_NONE);
	answer.lease = 1;
	advance_renewed(&f, 2 * US_PER_S);
	token_owner_handle_release(f.owner, "10.0.0.1:7000", &answer);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_NONE);
	token_owner_handle_release(f.owner, "10.0.0.1:7000", &answer);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_ALL);
	tear_down(&f);
}

/* Guards against an owner that goes on although some hosts do not answer. */
static void test_missing(void)
{
	struct fixture f;

	set_up(&f, 0);
	join(&f);
	lose_store(&f);
	f.missing = 2;
	advance(&f, TOKEN_CONTACT_US + STEP_US);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_NONE);
	tear_down(&f);
}

/*
 * Guards against an owner with an old lease that goes on after a short time
 * without the store, which the next host may not have noticed.
 */
static void test_short_loss(void)
{
	struct fixture f;

	set_up(&f, 0);
	join(&f);
	advance(&f, TOKEN_LEASE_US - 3 * US_PER_S);
	lose_store(&f);
	advance(&f, 3 * US_PER_S + STEP_US);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_NONE);
	tear_down(&f);
}

/* Guards against a new lease whose record comes at the same time. */
static void test_new_record(void)
{
	struct fixture f;
	struct known_host *self;

	set_up(&f, 0);
	join(&f);
	self = g_hash_table_lookup(f.directory.hosts, f.directory.self);
	self->record.lease = 2;
	renew(&f, 2);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_NONE);
	tear_down(&f);
}

/* Returns the name of a host that is neither this one nor the first. */
static char *other_host(const struct fixture *f)
{
	char *first = ranked_host(0);
	char *name = NULL;

	for (int i = 0; i < HOSTS && !name; i++) {
		name = g_strdup_printf("h%d", i);
		if (!strcmp(name, first) || !strcmp(name, f->directory.self))
			g_clear_pointer(&name, g_free);
	}
	g_free(first);
	return name;
}

/* Guards against an owner that goes on beside a host that has just left. */
static void test_missing_gone(void)
{
	struct fixture f;
	char *name;

	set_up(&f, 0);
	join(&f);
	name = other_host(&f);
	host_directory_remove(&f.directory, name);
	g_free(name);
	advance(&f, STEP_US);
	lose_store(&f);
	advance(&f, TOKEN_CONTACT_US + STEP_US);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_NONE);
	tear_down(&f);
}

/* Guards against answers that were true before the store came back. */
static void test_old_answers(void)
{
	struct token_view view = { .store_age_us = 6 * US_PER_S,
				   .is_answer = true };
	struct fixture f;

	set_up(&f, 0);
	join(&f);
	lose_store(&f);
	f.are_others_down = true;
	advance(&f, TOKEN_CONTACT_US - STEP_US);
	view.asked_us = f.time.now_us - 2 * US_PER_S;
	for (int i = 0; i < HOSTS; i++) {
		char *address = g_strdup_printf("10.0.0.%d:7000", i);

		token_owner_handle_view(f.owner, address, &view);
		g_free(address);
	}
	advance(&f, 2 * STEP_US);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_NONE);
	tear_down(&f);
}

/* Returns what this host states when it is asked. */
static struct token_view statement(struct fixture *f)
{
	struct token_view question = { 0 };
	struct token_view answer;

	token_owner_handle_view(f->owner, "10.0.0.1:7000", &question);
	answer = g_array_index(f->asked, struct asked, f->asked->len - 1).view;
	g_array_set_size(f->asked, 0);
	return answer;
}

/* Guards against agreement with a host that has seen another one leave. */
static void test_gone_in_view(void)
{
	struct fixture f;
	char *name;

	set_up(&f, 0);
	CU_ASSERT_FALSE(statement(&f).has_gone);
	name = other_host(&f);
	host_directory_remove(&f.directory, name);
	g_free(name);
	CU_ASSERT_TRUE(statement(&f).has_gone);
	advance(&f, TOKEN_JOIN_US);
	CU_ASSERT_FALSE(statement(&f).has_gone);
	tear_down(&f);
}

/* Guards against agreement with hosts that know an earlier record of a host. */
static void test_lease_in_view(void)
{
	struct host_record r = { .name = g_strdup("h1"),
				 .address = g_strdup("10.0.0.1:7000"),
				 .domain = g_strdup("a"),
				 .lease = 2 };
	struct fixture f;
	uint64_t hash;

	set_up(&f, 0);
	hash = statement(&f).hash;
	host_directory_put(&f.directory, &r);
	CU_ASSERT_NOT_EQUAL(statement(&f).hash, hash);
	tear_down(&f);
}

/*
 * Guards against a host that goes on for the first one although it did not
 * grant before: the first one left and came back, and this one may only grant
 * after it has seen both.
 */
static void test_defer_since(void)
{
	char *first = ranked_host(0);
	struct fixture f;

	set_up(&f, 1);
	join(&f);
	/* Earlier answers of others count for 2 s. */
	advance_renewed(&f, 3 * US_PER_S);
	remove_first(&f);
	put_host(&f, first);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_NONE);
	/* Another host may be the second one in its older mirror. */
	advance_renewed(&f, TOKEN_JOIN_US - STEP_US);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_NONE);
	advance_renewed(&f, 2 * STEP_US);
	CU_ASSERT_EQUAL(part(&f), TOKEN_PART_SECOND);
	tear_down(&f);
	g_free(first);
}

/* Asks eight hosts, of which the last is alone in its domain. */
static struct store_witness *ask_witnesses(struct fixture *f,
					   struct store_contact contact,
					   bool is_last_missing)
{
	struct store_witness *w;
	struct host_record last = { .name = g_strdup("z"),
				    .address = g_strdup("10.0.0.9:7000"),
				    .domain = g_strdup("c") };

	set_up(f, 0);
	for (int i = HOSTS; i < 2 * HOSTS; i++) {
		char *name = g_strdup_printf("h%d", i);

		put_host(f, name);
		g_free(name);
	}
	host_directory_put(&f->directory, &last);
	w = store_witness_create(&f->directory);
	for (int i = 0; i < 8; i++) {
		GPtrArray *asked = store_witness_choose(w, f->time.now_us);

		f->time.now_us += 10 * US_PER_MS;
		for (guint k = 0; k < asked->len; k++) {
			const struct known_host *h = asked->pdata[k];

			if (!is_last_missing || *h->record.name != 'z')
				store_witness_note(w, h, &contact,
						   f->time.now_us);
		}
		g_ptr_array_free(asked, TRUE);
	}
	f->time.now_us += US_PER_S;
	return w;
}

static bool agree(const struct fixture *f, const struct store_witness *w,
		  int64_t heard_ago_us)
{
	return store_witness_agree(w, f->time.now_us - heard_ago_us,
				   5 * US_PER_S, 0, f->time.now_us);
}

/*
 * Guards against an agreement in which the answer of a host that has moved
 * counts for its earlier failure domain, of which no host has answered.
 */
static void test_moved_witness(void)
{
	struct store_contact contact = { .age_us = 6 * US_PER_S };
	struct fixture f;
	struct store_witness *w = ask_witnesses(&f, contact, false);
	struct host_record moved = { .name = g_strdup("z"),
				     .address = g_strdup("10.0.0.9:7000"),
				     .domain = g_strdup("b") };
	struct host_record silent = { .name = g_strdup("y"),
				      .address = g_strdup("10.0.0.8:7000"),
				      .domain = g_strdup("c") };
	const struct known_host *h;

	host_directory_put(&f.directory, &moved);
	host_directory_put(&f.directory, &silent);
	h = host_directory_find(&f.directory, "10.0.0.9:7000");
	store_witness_note(w, h, &contact, f.time.now_us);
	CU_ASSERT_FALSE(agree(&f, w, 6 * US_PER_S));
	store_witness_free(w);
	tear_down(&f);
}

/* Guards against a table that keeps all hosts that were ever asked. */
static void test_former_witnesses(void)
{
	struct store_contact contact = { .age_us = 6 * US_PER_S };
	struct fixture f;
	struct store_witness *w = ask_witnesses(&f, contact, false);
	GPtrArray *asked;

	CU_ASSERT(store_witness_count(w) > 1);
	for (int i = 0; i < 2 * HOSTS; i++) {
		char *name = g_strdup_printf("h%d", i);

		host_directory_remove(&f.directory, name);
		g_free(name);
	}
	f.time.now_us += 3 * US_PER_S;
	asked = store_witness_choose(w, f.time.now_us);
	CU_ASSERT_EQUAL(asked->len, 1);
	CU_ASSERT_EQUAL(store_witness_count(w), 1);
	g_ptr_array_free(asked, TRUE);
	store_witness_free(w);
	tear_down(&f);
}

/* Guards against an agreement without a failure domain that is cut off. */
static void test_missing_domain(void)
{
	struct store_contact contact = { .age_us = 6 * US_PER_S };
	struct fixture f;
	struct store_witness *w = ask_witnesses(&f, contact, false);

	CU_ASSERT_TRUE(agree(&f, w, 6 * US_PER_S));
	store_witness_free(w);
	tear_down(&f);
	w = ask_witnesses(&f, contact, true);
	CU_ASSERT_FALSE(agree(&f, w, 6 * US_PER_S));
	store_witness_free(w);
	tear_down(&f);
}

/*
 * Guards against an agreement of hosts that lost the store later than this one:
 * it was cut off from it before.
 */
static void test_heard_later(void)
{
	struct store_contact contact = { .age_us = 6 * US_PER_S };
	struct fixture f;
	struct store_witness *w = ask_witnesses(&f, contact, false);

	CU_ASSERT_FALSE(agree(&f, w, 12 * US_PER_S));
	store_witness_free(w);
	tear_down(&f);
}

CU_TestInfo token_owner_tests[] = {
	{ "stop", test_stop },
	{ "start", test_start },
	{ "many join", test_many_join },
	{ "start without others", test_start_without_others },
	{ "lease", test_lease },
	{ "suspended lease", test_suspended_lease },
	{ "store lost", test_store_lost },
	{ "cut off", test_cut_off },
	{ "expired", test_expired },
	{ "expired while lost", test_expired_while_lost },
	{ "expired for others", test_expired_for_others },
	{ "resume", test_resume },
	{ "resume with new lease", test_resume_new_lease },
	{ "resume with old renewal", test_resume_old_renewal },
	{ "resume with old mirror", test_resume_old_mirror },
	{ "resume late", test_resume_late },
	{ "rewritten record", test_rewritten_record },
	{ "former witnesses", test_former_witnesses },
	{ "inherited", test_inherited },
	{ "inherited early", test_inherited_early },
	{ "moved witness", test_moved_witness },
	{ "not inherited", test_not_inherited },
	{ "defer", test_defer },
	{ "release", test_release },
	{ "take", test_take },
	{ "missing", test_missing },
	{ "short loss", test_short_loss },
	{ "new record", test_new_record },
	{ "missing domain", test_missing_domain },
	{ "heard later", test_heard_later },
	{ "missing gone", test_missing_gone },
	{ "old answers", test_old_answers },
	{ "gone in view", test_gone_in_view },
	{ "lease in view", test_lease_in_view },
	{ "defer since", test_defer_since },
	CU_TEST_INFO_NULL,
};
