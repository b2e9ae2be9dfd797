/*
 * Measures the division of one leaf's rate limit among 7 to 2,200 hosts: the
 * processor time of a claim at the host that divides it, the time to find that
 * host, and the bytes of a claim and its grant.
 */
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "common/clock.h"
#include "net/host_frame.h"
#include "router/directory.h"
#include "router/rate_shares.h"

#define LIMIT_PER_S 1000.0
#define ROUNDS 5
#define LOOKUPS 1000

static double cpu_now_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

static struct rate_claim create_claim(void)
{
	return (struct rate_claim){
		.key = "i-18ca9fbafc",
		.epoch = 1700000000000,
		.domain = "a",
		.news = { true, LIMIT_PER_S, 100000 },
		.wanted_per_s = 12.5,
	};
}

/* Returns the time of a claim; the last grant is that of all hosts together. */
static double measure_claims(uint32_t hosts, struct rate_grant *grant)
{
	struct rate_shares *s = rate_shares_create();
	struct rate_claim claim = create_claim();
	double start = 0;
	double us;

	for (uint32_t round = 0; round <= ROUNDS; round++) {
		if (round == 1)
			start = cpu_now_us();
		for (uint32_t i = 0; i < hosts; i++) {
			char name[32];

			g_snprintf(name, sizeof(name), "10.0.%u.%u:7000",
				   i / 256, i % 256);
			rate_shares_claim(s, name, &claim, 1, US_PER_S, grant);
		}
	}
	us = (cpu_now_us() - start) / (ROUNDS * hosts);
	rate_shares_free(s);
	return us;
}

/* Returns the time to find the owners of a limit. */
static double measure_lookup(uint32_t hosts)
{
	static char *const regions[] = { "a=north", "b=north", "c=south",
					 NULL };
	static const char *const domains[] = { "a", "b", "c" };
	struct leaf_set leaves;
	struct host_directory d;
	double start;
	double us;

	leaf_set_init(&leaves, "h0", "a", regions);
	host_directory_init(&d, "h0", &leaves);
	for (uint32_t i = 0; i < hosts; i++) {
		struct host_record r = {
			.name = g_strdup_printf("h%u", i),
			.address = g_strdup_printf("10.0.%u.%u:7000", i / 256,
						   i % 256),
			.domain = g_strdup(domains[i % 3]),
		};

		host_directory_put(&d, &r);
	}
	start = cpu_now_us();
	for (int i = 0; i < LOOKUPS; i++)
		host_directory_rate_owners(&d, "i-18ca9fbafc", "b");
	us = (cpu_now_us() - start) / LOOKUPS;
	host_directory_clear(&d);
	leaf_set_clear(&leaves);
	return us;
}

static guint frame_bytes(GByteArray *frame)
{
	guint len = frame->len;

	g_byte_array_free(frame, TRUE);
	return len;
}

int main(void)
{
	static const uint32_t counts[] = { 7, 82, 195, 1000, 2200 };
	struct rate_claim claim = create_claim();
	GArray *claims = g_array_new(FALSE, FALSE, sizeof(claim));
	GArray *grants = g_array_new(FALSE, FALSE, sizeof(struct rate_grant));

	g_array_append_val(claims, claim);
	printf("| hosts | us a claim | claims/s at the owner | us/s at the owner "
	       "| us to find the owner | claims/s of a host |\n");
	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
		struct rate_grant grant;
		double us = measure_claims(counts[i], &grant);
		double per_s = 1e6 / (double)grant.refresh_us;

		if (!grants->len)
			g_array_append_val(grants, grant);
		printf("| %u | %.2f | %.0f | %.0f | %.1f | %.2f |\n", counts[i],
		       us, per_s * counts[i], us * per_s * counts[i],
		       measure_lookup(counts[i]), per_s);
	}
	printf("bytes: claim %u, grant %u\n",
	       frame_bytes(host_frame_rate_claims(claims)),
	       frame_bytes(host_frame_rate_grants(grants)));
	g_array_free(claims, TRUE);
	g_array_free(grants, TRUE);
	return 0;
}
