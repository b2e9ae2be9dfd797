#include "suites.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/placement.h"
#include "fleet_sim.h"

#define HOSTS 8
#define DOMAINS 3
#define SEATS 2
#define STEPS 26
/* FLEET_FAULT_SCHEDULES sets another number; 5,000 take about a minute. */
#define DEFAULT_SCHEDULES 1000
#define CONNECTIONS 10
#define SLOTS 4

/** Faults that affect the coordination between hosts. */
enum fault {
	FAULT_HOST_LOST,
	FAULT_HOST_PAUSED,
	FAULT_STORE_DOWN,
	FAULT_STORE_SLOW,
	FAULT_REPLY_LOST,
	FAULT_STALE_READ,
	FAULT_PUBLISH_RACE,
	FAULT_REGION_CUT,
	FAULT_COUNT,
};

static const char *const fault_names[] = { "host lost",	   "host paused",
					   "store down",   "store slow",
					   "reply lost",   "stale read",
					   "publish race", "region cut" };

struct checks {
	uint64_t versions[HOSTS];
	int32_t seats[HOSTS];
	uint32_t reverted_versions;
	uint32_t double_seats;
	uint32_t exceeded_shares;
	uint32_t double_owners;
};

static struct checks checks;
static struct placement_domain domains[DOMAINS] = { { "d0", SEATS },
						    { "d1", SEATS },
						    { "d2", SEATS } };
static const struct placement_layout layout = { domains, DOMAINS };

static void check_shares(struct sim *s)
{
	struct placement_group g = { "g", SLOTS, CONNECTIONS, 0 };
	struct seat_ref holders[PLACEMENT_MAX_HOLDERS];
	uint32_t count = (uint32_t)placement_holders(&layout, &g, holders);
	uint32_t connections = 0, slots = 0;

	for (uint32_t i = 0; i < HOSTS; i++) {
		struct seat_ref seat = { (uint16_t)s->hosts[i].domain,
					 (uint16_t)checks.seats[i] };
		struct placement_share share;
		int rank = placement_rank(holders, count, seat);

		if (checks.seats[i] == NO_SEAT || rank < 0)
			continue;
		share = placement_share(&g, count, (uint32_t)rank, "leaf");
		connections += share.connections;
		slots += share.slots;
	}
	checks.exceeded_shares += connections > CONNECTIONS || slots > SLOTS;
}

static void check_seat(struct sim *s, const struct sim_host *h, int32_t seat)
{
	checks.seats[h->index] = seat;
	for (uint32_t i = 0; i < HOSTS && seat != NO_SEAT; i++) {
		const struct sim_host *o = &s->hosts[i];

		/* A paused host does not act on its seat. */
		if (i == h->index || o->domain != h->domain || !o->is_up ||
		    o->is_paused)
			continue;
		checks.double_seats += checks.seats[i] == seat;
	}
	check_shares(s);
}

/* A request created now must not be accepted by two running hosts. */
static void check_owners(struct sim *s, const struct sim_host *h)
{
	int64_t wall = s->clock.now_us + s->clock.wall_offset_us;

	for (uint16_t seat = 0; seat < SEATS; seat++) {
		uint32_t owners = 0;

		for (uint32_t i = 0; i < HOSTS; i++) {
			const struct sim_host *o = &s->hosts[i];

			if (o->is_up && !o->is_paused)
				owners += !fleet_check_key(
					o->fleet, domains[h->domain].name, seat,
					wall);
		}
		checks.double_owners += owners > 1;
	}
}

static void check_invariants(struct sim *s, struct sim_host *h)
{
	uint64_t version = fleet_version(h->fleet);
	int32_t seat = fleet_seat(h->fleet);

	checks.reverted_versions += version < checks.versions[h->index];
	checks.versions[h->index] = version;
	if (seat != checks.seats[h->index])
		check_seat(s, h, seat);
	if (s->next_order % 16 == 0)
		check_owners(s, h);
}

static void kill_host(struct sim *s, uint32_t host)
{
	sim_kill(s, host);
	checks.seats[host] = NO_SEAT;
	checks.versions[host] = 0;
}

static void begin_fault(struct sim *s, enum fault fault, uint32_t host)
{
	switch (fault) {
	case FAULT_HOST_LOST:
		kill_host(s, host);
		return;
	case FAULT_HOST_PAUSED:
		sim_pause(s, host, true);
		return;
	case FAULT_STORE_DOWN:
		s->is_store_down = true;
		return;
	case FAULT_STORE_SLOW:
		s->store_delay_us = 4 * US_PER_S;
		return;
	case FAULT_REPLY_LOST:
		s->lost_replies = 0.5;
		return;
	case FAULT_STALE_READ:
		s->stale_reads = 0.5;
		s->stale_version = s->version > 1 ? s->version - 1 : 1;
		return;
	case FAULT_PUBLISH_RACE:
		sim_publish(s, s->version + 1);
		sim_publish(s, s->version + 1);
		return;
	default:
		s->cut_region = (int)(host % SIM_REGIONS);
	}
}

static void end_fault(struct sim *s, enum fault fault, uint32_t host)
{
	switch (fault) {
	case FAULT_HOST_LOST:
		if (!s->hosts[host].is_up)
			sim_start(s, host);
		return;
	case FAULT_HOST_PAUSED:
		sim_pause(s, host, false);
		return;
	case FAULT_STORE_DOWN:
		s->is_store_down = false;
		return;
	case FAULT_STORE_SLOW:
		s->store_delay_us = 0;
		return;
	case FAULT_REPLY_LOST:
		s->lost_replies = 0;
		return;
	case FAULT_STALE_READ:
		s->stale_reads = 0;
		s->stale_version = 0;
		return;
	case FAULT_PUBLISH_RACE:
		return;
	default:
		s->cut_region = -1;
	}
}

struct planned_fault {
	enum fault fault;
	uint32_t host;
	int from;
	int until;
};

static struct planned_fault plan_fault(struct sim *s, enum fault fault)
{
	struct planned_fault p = { fault, (uint32_t)g_rand_int_range(s->rand, 0,
								     HOSTS) };

	p.from = g_rand_int_range(s->rand, 0, STEPS - 2);
	p.until = g_rand_int_range(s->rand, p.from + 1, STEPS);
	return p;
}

static void run_step(struct sim *s, const struct planned_fault *plan, int step)
{
	for (int i = 0; i < 2; i++) {
		if (plan[i].from == step)
			begin_fault(s, plan[i].fault, plan[i].host);
		if (plan[i].until == step)
			end_fault(s, plan[i].fault, plan[i].host);
	}
	sim_send_host_list(s);
	sim_run(s, US_PER_S);
}

/*
 * Runs a schedule of two faults. If first and second are the same, that fault
 * happens twice; if second is FAULT_COUNT, first happens alone.
 */
static uint32_t run_schedule(uint32_t seed, enum fault first, enum fault second)
{
	struct planned_fault plan[2];
	struct sim s;

	memset(&checks, 0, sizeof(checks));
	for (uint32_t i = 0; i < HOSTS; i++)
		checks.seats[i] = NO_SEAT;
	sim_create(&s, HOSTS, DOMAINS, seed);
	s.seats = SEATS;
	s.version = 1;
	s.check = check_invariants;
	plan[0] = plan_fault(&s, first);
	plan[1] = plan_fault(&s, second == FAULT_COUNT ? first : second);
	if (second == FAULT_COUNT)
		plan[1].from = plan[1].until = -1;
	for (uint32_t i = 0; i < HOSTS; i++)
		sim_start(&s, i);
	sim_run(&s, 3 * US_PER_S);
	for (int step = 0; step < STEPS; step++)
		run_step(&s, plan, step);
	sim_destroy(&s);
	return checks.reverted_versions + checks.double_seats +
	       checks.exceeded_shares + checks.double_owners;
}

static void print_failure(uint32_t seed, enum fault first, enum fault second)
{
	printf("seed %u, %s and %s: version lower %u, seat held twice %u, "
	       "share exceeded %u, two owners %u\n",
	       seed, fault_names[first],
	       second == FAULT_COUNT ? "nothing" : fault_names[second],
	       checks.reverted_versions, checks.double_seats,
	       checks.exceeded_shares, checks.double_owners);
}

/*
 * Guards against a version that reverts, a seat held by two hosts, exceeded
 * limits of a leaf and two owners of a key. Each fault occurs alone, twice
 * and with each other one; the schedules cycle through these cases.
 */
static void test_faults(void)
{
	const char *text = getenv("FLEET_FAULT_SCHEDULES");
	uint32_t count = text ? (uint32_t)atoi(text) : DEFAULT_SCHEDULES;
	uint32_t failed = 0, seed = 1;

	while (seed <= count) {
		for (int a = 0; a < FAULT_COUNT; a++) {
			for (int b = a; b <= FAULT_COUNT && seed <= count;
			     b++, seed++) {
				if (!run_schedule(seed, (enum fault)a,
						  (enum fault)b))
					continue;
				if (!failed++)
					print_failure(seed, (enum fault)a,
						      (enum fault)b);
			}
		}
	}
	CU_ASSERT_EQUAL(failed, 0);
}

CU_TestInfo fleet_fault_tests[] = {
	{ "failures alone, in pairs and twice", test_faults },
	CU_TEST_INFO_NULL,
};
