/*
 * Measures the cost of the coordination between hosts, for 7 to 1,000 hosts in
 * one process on virtual time, and extrapolates to 2,200 hosts. Processor time
 * includes the simulated network, so it is an upper bound.
 */
#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "unit/fleet_sim.h"

#define TARGET_HOSTS 2200
#define FAILURES_PER_DAY 57
#define REPLACEMENTS_PER_DAY 3400
#define CHANGES_PER_DAY 8200
#define SECONDS_PER_DAY 86400
/* Each minute of a run has the failures and replacements of an hour. */
#define TIME_SCALE 60
#define WARM_SECONDS 30
#define RUN_SECONDS 60
#define GRACE_SECONDS 2

#define LIMIT_CORE_PERCENT 3.5
#define LIMIT_MB 32.0
#define LIMIT_KB_PER_S 12.0

/*
 * Cost per host; store_calls_per_s, watches and events are of the whole fleet.
 */
struct cost {
	double state_bytes;
	double messages_per_s;
	double bytes_per_s;
	double cpu_us_per_s;
	double store_calls_per_s;
	uint32_t watches;
	uint32_t events;
};

struct counters {
	double cpu_us;
	uint64_t messages;
	uint64_t bytes;
	uint64_t store_calls;
};

static uint32_t replacement_count;

static double cpu_now_us(void)
{
	struct rusage u;

	getrusage(RUSAGE_SELF, &u);
	return (double)(u.ru_utime.tv_sec + u.ru_stime.tv_sec) * 1e6 +
	       (double)(u.ru_utime.tv_usec + u.ru_stime.tv_usec);
}

static struct counters read_counters(const struct sim *s)
{
	struct counters p = { .cpu_us = cpu_now_us(),
			      .store_calls = s->store_calls };

	for (uint32_t i = 0; i < s->host_count; i++) {
		p.messages += s->hosts[i].sent_frames;
		p.bytes += s->hosts[i].sent_bytes;
	}
	return p;
}

/* Replaces a host by one with a new id and the same index. */
static void replace_host(struct sim *s, uint32_t host)
{
	sim_kill(s, host);
	snprintf(s->hosts[host].id, sizeof(s->hosts[host].id), "host-%u-%u",
		 host, ++replacement_count);
	sim_start(s, host);
}

static uint32_t draw_event_count(struct sim *s, double expected)
{
	uint32_t count = (uint32_t)expected;

	return count + (g_rand_double(s->rand) < expected - count);
}

struct churn {
	uint32_t *stopping;
	uint32_t stopping_count;
};

/* Replaces the hosts that were stopped in the previous step. */
static void finish_stops(struct sim *s, struct churn *c)
{
	for (uint32_t i = 0; i < c->stopping_count; i++)
		replace_host(s, c->stopping[i]);
	c->stopping_count = 0;
}

static uint32_t run_churn(struct sim *s, struct churn *c)
{
	double per_step = (double)s->host_count / TARGET_HOSTS * TIME_SCALE *
			  GRACE_SECONDS / SECONDS_PER_DAY;
	uint32_t stops = draw_event_count(s, REPLACEMENTS_PER_DAY * per_step);
	uint32_t failures = draw_event_count(s, FAILURES_PER_DAY * per_step);

	finish_stops(s, c);
	for (uint32_t i = 0; i < stops; i++) {
		uint32_t host = (uint32_t)g_rand_int_range(
			s->rand, 0, (gint32)s->host_count);

		fleet_stop(s->hosts[host].fleet);
		c->stopping[c->stopping_count++] = host;
	}
	for (uint32_t i = 0; i < failures; i++)
		replace_host(s, (uint32_t)g_rand_int_range(
					s->rand, 0, (gint32)s->host_count));
	return stops + failures;
}

static uint32_t run_seconds(struct sim *s, int seconds, struct churn *c)
{
	uint32_t events = 0;

	for (int i = 0; i < seconds; i++) {
		if (i % (SECONDS_PER_DAY / CHANGES_PER_DAY) == 0)
			sim_publish(s, s->version + 1);
		if (c && i % GRACE_SECONDS == 0)
			events += run_churn(s, c);
		sim_send_host_list(s);
		sim_run(s, US_PER_S);
	}
	return events;
}

static uint32_t count_watches(const struct sim *s)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < s->host_count; i++)
		count += s->hosts[i].is_up && s->hosts[i].is_watching;
	return count;
}

static struct cost measure_cost(struct sim *s, struct churn *c)
{
	struct counters before = read_counters(s);
	struct cost cost = { .events = run_seconds(s, RUN_SECONDS, c) };
	struct counters after = read_counters(s);
	double host_seconds = (double)s->host_count * RUN_SECONDS;

	cost.messages_per_s =
		(double)(after.messages - before.messages) / host_seconds;
	cost.bytes_per_s = (double)(after.bytes - before.bytes) / host_seconds;
	cost.cpu_us_per_s = (after.cpu_us - before.cpu_us) / host_seconds;
	cost.store_calls_per_s =
		(double)(after.store_calls - before.store_calls) / RUN_SECONDS;
	cost.watches = count_watches(s);
	return cost;
}

static void print_cost(uint32_t hosts, const char *label, const struct cost *c)
{
	printf("%6u  %-10s %9.0f %8.2f %8.0f %9.1f %8.3f %9.2f %7u %7u\n",
	       hosts, label, c->state_bytes / 1024, c->messages_per_s,
	       c->bytes_per_s, c->cpu_us_per_s, c->cpu_us_per_s / 1e4,
	       c->store_calls_per_s, c->watches, c->events);
}

static void measure_size(uint32_t hosts, struct cost *healthy,
			 struct cost *changing)
{
	struct churn c = { .stopping = g_new(uint32_t, hosts + 16) };
	size_t before = mallinfo2().uordblks;
	struct sim s;

	sim_create(&s, hosts, hosts > 7 ? 6 : 3, 7);
	s.seats = hosts / s.domain_count + 1;
	s.version = 1;
	sim_start_all(&s);
	run_seconds(&s, WARM_SECONDS, NULL);
	*healthy = measure_cost(&s, NULL);
	healthy->state_bytes = (double)(mallinfo2().uordblks - before) / hosts;
	*changing = measure_cost(&s, &c);
	changing->state_bytes = (double)(mallinfo2().uordblks - before) / hosts;
	finish_stops(&s, &c);
	print_cost(hosts, "healthy", healthy);
	print_cost(hosts, "changing", changing);
	sim_destroy(&s);
	g_free(c.stopping);
}

static double extrapolate(double a, double b, uint32_t na, uint32_t nb,
			  bool is_log)
{
	double x = is_log ? log(TARGET_HOSTS) : TARGET_HOSTS;
	double xa = is_log ? log(na) : na;
	double xb = is_log ? log(nb) : nb;

	return b + (b - a) / (xb - xa) * (x - xb);
}

static void print_target(const char *label, const struct cost *a,
			 const struct cost *b, uint32_t na, uint32_t nb,
			 bool is_log)
{
	struct cost c = { 0 };

	c.state_bytes =
		extrapolate(a->state_bytes, b->state_bytes, na, nb, is_log);
	c.messages_per_s = extrapolate(a->messages_per_s, b->messages_per_s, na,
				       nb, is_log);
	c.bytes_per_s =
		extrapolate(a->bytes_per_s, b->bytes_per_s, na, nb, is_log);
	c.cpu_us_per_s =
		extrapolate(a->cpu_us_per_s, b->cpu_us_per_s, na, nb, is_log);
	c.store_calls_per_s = extrapolate(a->store_calls_per_s,
					  b->store_calls_per_s, na, nb, is_log);
	c.watches = b->watches;
	print_cost(TARGET_HOSTS, label, &c);
}

/*
 * Returns the cost at the real rate of failures and replacements: their extra
 * cost is divided by TIME_SCALE.
 */
static struct cost scale_to_real_rate(const struct cost *healthy,
				      const struct cost *changing)
{
	struct cost c = *changing;

	c.messages_per_s = healthy->messages_per_s + (changing->messages_per_s -
						      healthy->messages_per_s) /
							     TIME_SCALE;
	c.bytes_per_s =
		healthy->bytes_per_s +
		(changing->bytes_per_s - healthy->bytes_per_s) / TIME_SCALE;
	c.cpu_us_per_s =
		healthy->cpu_us_per_s +
		(changing->cpu_us_per_s - healthy->cpu_us_per_s) / TIME_SCALE;
	c.store_calls_per_s =
		healthy->store_calls_per_s +
		(changing->store_calls_per_s - healthy->store_calls_per_s) /
			TIME_SCALE;
	c.events = 0;
	return c;
}

int main(void)
{
	static const uint32_t sizes[] = { 7, 50, 200, 1000 };
	struct cost healthy[4], changing[4], real[4];

	printf("per host unless noted; changing: %d failures and %d "
	       "replacements a day at %d hosts, %d times as fast\n",
	       FAILURES_PER_DAY, REPLACEMENTS_PER_DAY, TARGET_HOSTS,
	       TIME_SCALE);
	printf("%6s  %-10s %9s %8s %8s %9s %8s %9s %7s %7s\n", "hosts", "case",
	       "state KB", "frames/s", "B/s", "cpu us/s", "core %", "store/s",
	       "watches", "events");
	for (int i = 0; i < 4; i++) {
		measure_size(sizes[i], &healthy[i], &changing[i]);
		real[i] = scale_to_real_rate(&healthy[i], &changing[i]);
	}
	print_target("linear", &healthy[2], &healthy[3], 200, 1000, false);
	print_target("log", &healthy[2], &healthy[3], 200, 1000, true);
	print_target("lin real", &real[2], &real[3], 200, 1000, false);
	print_target("lin fast", &changing[2], &changing[3], 200, 1000, false);
	printf("limits per host: %.1f%% of a core, %.0f MB, %.0f KB/s; store "
	       "calls are those of the fleet\n",
	       LIMIT_CORE_PERCENT, LIMIT_MB, LIMIT_KB_PER_S);
	return 0;
}
