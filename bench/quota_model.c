/*
 * Compares ways to divide the quotas of organisations among hosts, with the
 * requests of a fleet at 7 to 2,200 hosts and 71 or 5,000 organisations whose
 * rates follow a power law. Then measures the processor time, bytes and memory
 * of the way that is used. Grants arrive at once in the model: it shows what a
 * division can do at best.
 */
#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "net/host_frame.h"
#include "router/quota.h"
#include "router/shared_rate.h"
#include "router/token_cache.h"

#define SKEW 1.2
/* Quota of an organisation as a factor on its usual rate. */
#define QUOTA_FACTOR 1.6
#define BURST_S 1.0
/* Rate of an organisation that exceeds its quota, as a factor on its usual. */
#define EXCESS_FACTOR 7.5
#define FEW_HOSTS 2
#define WINDOW_US (5 * US_PER_S)
#define REQUESTS_MAX 40000
#define TIME_MAX_US (100 * US_PER_S)
#define TIME_MIN_US (10 * US_PER_S)
#define SETTLE_US (5 * US_PER_S)
#define WAIT_MAX_US (60 * US_PER_MS)
/* Regions of the hosts, each with an owner, which is its first host. */
#define REGIONS 3
#define PREDICTION_US (1 * US_PER_S)

enum scheme {
	EQUAL_SHARES,
	CLAIMS_BY_DEMAND,
	PREDICTION,
	POOL_AT_OWNER,
	SCHEME_COUNT,
};

static const char *const scheme_names[] = {
	"equal shares",
	"claims by demand",
	"prediction",
	"pool at the owner",
};

/** State of one host for one organisation. */
struct model_host {
	double tokens;
	int64_t tokens_at_us;
	double max_per_s;
	uint32_t asked;
	struct shared_rate share;
	struct token_lease lease;
	struct token_cache *cache;
	/** Regions with too few tokens are not asked before these times. */
	int64_t empty_until_us[REGIONS];
};

struct model {
	enum scheme scheme;
	uint32_t host_count;
	struct model_host *hosts;
	double rate;
	double burst;
	struct rate_shares *shares;
	struct token_pool *pool;
	int64_t next_prediction_us;
	/** Claims are sent in that many frames, each of which is answered. */
	uint64_t messages;
	/** Of claims and grants, without the links. */
	uint64_t bytes;
};

/** Results of one organisation. */
struct outcome {
	uint64_t asked;
	uint64_t admitted;
	uint64_t messages;
	uint64_t bytes;
	double seconds;
	uint32_t most;
};

static double host_burst(const struct model *m)
{
	return MAX(1, (1.1 * m->burst + 20) / m->host_count);
}

static bool take_saved(const struct model *m, struct model_host *h, int64_t now)
{
	h->tokens =
		MIN(h->tokens + h->max_per_s * (double)(now - h->tokens_at_us) /
					US_PER_S,
		    host_burst(m));
	h->tokens_at_us = now;
	if (h->tokens < 1)
		return false;
	h->tokens -= 1;
	return true;
}

/* Divides the rate by what the hosts were asked in the last interval. */
static void predict(struct model *m, int64_t now)
{
	double sum = 0;

	if (now < m->next_prediction_us)
		return;
	m->next_prediction_us = now + PREDICTION_US;
	for (uint32_t i = 0; i < m->host_count; i++)
		sum += m->hosts[i].asked;
	for (uint32_t i = 0; i < m->host_count; i++) {
		struct model_host *h = &m->hosts[i];

		/* Half is divided equally, for hosts without requests yet. */
		h->max_per_s = m->rate / 2 / m->host_count;
		h->max_per_s += sum > 0 ? m->rate / 2 * h->asked / sum
					: m->rate / 2 / m->host_count;
		h->asked = 0;
	}
	m->messages += m->host_count;
}

static bool take_share(struct model *m, struct model_host *h, int64_t now)
{
	struct rate_claim claim = { .key = "o", .domain = "" };
	struct rate_grant g;
	char name[16];

	if (!h->share.is_limited)
		shared_rate_note_limit(&h->share, m->rate, now);
	shared_rate_note_wanted(&h->share, 0, now);
	if (shared_rate_take_claim(&h->share, now, &claim)) {
		g_snprintf(name, sizeof(name), "%u", (uint32_t)(h - m->hosts));
		rate_shares_claim(m->shares, name, &claim, 1, now, &g);
		shared_rate_apply_grant(&h->share, &g, m->host_count, now);
		m->messages++;
	}
	now += MIN(shared_rate_wait(&h->share, 0, m->host_count, now),
		   WAIT_MAX_US);
	if (!shared_rate_has_room(&h->share, 0, m->host_count, now))
		return false;
	shared_rate_note_call(&h->share, 0, false, m->host_count, now);
	return true;
}

static const char *const regions[REGIONS] = { "=region-a", "=region-b",
					      "=region-c" };

static uint32_t host_index(const struct model *m, const struct model_host *h)
{
	return (uint32_t)(h - m->hosts);
}

static void count_frame(struct model *m, GByteArray *frame)
{
	m->bytes += frame->len;
	g_byte_array_free(frame, TRUE);
}

/* Answers claims of a host at the owner of a region, as one frame each way. */
static void ask_region(struct model *m, const struct model_host *h,
		       uint32_t region, GArray *claims, GArray *grants,
		       int64_t now)
{
	for (guint i = 0; i < claims->len; i++) {
		struct token_claim *c =
			&g_array_index(claims, struct token_claim, i);
		struct token_grant g;

		c->domain = regions[region];
		c->limit.regions = MIN(REGIONS, m->host_count);
		token_pool_claim(m->pool, c, TOKEN_PART_ALL, 0, now, &g);
		g_array_append_val(grants, g);
	}
	/* The owner itself sends nothing. */
	if (host_index(m, h) == region)
		return;
	m->messages++;
	count_frame(m, host_frame_token_claims(claims));
	count_frame(m, host_frame_token_grants(grants));
}

/* Claims for the cache of a host, with another claim if there is one. */
static bool ask_with_cache(struct model *m, struct model_host *h,
			   uint32_t region, const struct token_claim *claim,
			   struct lease_time t, struct token_grant *out)
{
	bool is_own = host_index(m, h) % REGIONS == region;
	GArray *claims = is_own && host_index(m, h) != region
				 ? token_cache_take_claims(h->cache, t)
				 : NULL;
	GArray *grants = g_array_new(FALSE, FALSE, sizeof(*out));

	if (!claims)
		claims = g_array_new(FALSE, FALSE, sizeof(*claim));
	if (claim)
		g_array_append_val(claims, *claim);
	if (claims->len)
		ask_region(m, h, region, claims, grants, t.monotonic_us);
	for (guint i = 0; i < grants->len; i++) {
		struct token_grant *g =
			&g_array_index(grants, struct token_grant, i);

		if (g->is_standing)
			token_cache_apply_grant(h->cache, g, t);
		else
			*out = *g;
	}
	g_array_free(claims, TRUE);
	g_array_free(grants, TRUE);
	return claim != NULL;
}

/* Returns the first region in the order of a host that has tokens for it. */
static int choose_region(const struct model *m, const struct model_host *h,
			 int64_t now)
{
	for (uint32_t i = 0; i < MIN(REGIONS, m->host_count); i++) {
		uint32_t region = (host_index(m, h) + i) % REGIONS;

		if (now >= h->empty_until_us[region])
			return (int)region;
	}
	return -1;
}

/* Claims from one region after the other until one has enough tokens. */
static void claim_tokens(struct model *m, struct model_host *h,
			 struct token_claim *claim, struct lease_time t)
{
	struct token_grant g = { .retry_us = US_PER_S };
	int64_t from = INT64_MAX;
	int region = choose_region(m, h, t.monotonic_us);

	if (region >= 0) {
		ask_with_cache(m, h, (uint32_t)region, claim, t, &g);
		if (g.retry_us)
			h->empty_until_us[region] = t.monotonic_us + g.retry_us;
	}
	for (uint32_t i = 0; i < MIN(REGIONS, m->host_count); i++)
		from = MIN(from, h->empty_until_us[i]);
	g.sequence = claim->sequence;
	g.retry_us = g.retry_us ? MAX(from - t.monotonic_us, 0) : 0;
	token_lease_apply_grant(&h->lease, &g, t);
	if (g.tokens < claim->wanted && !g.retry_us)
		token_lease_claim_again(&h->lease, t);
}

static bool take_token(struct model *m, struct model_host *h, int64_t now)
{
	struct lease_time t = { now, now };
	struct token_claim claim = {
		.key = "q:organisation-1",
		.domain = "",
		.limit = { .max_per_s = m->rate,
			   .burst = m->burst,
			   .version = 1 },
	};
	struct token_claim next = claim;
	struct token_grant g;
	uint64_t ticket;
	bool is_taken = token_lease_take(&h->lease, t, &ticket);
	bool is_owner = host_index(m, h) < REGIONS;

	/* A request waits for the claims that are due soon. */
	for (int i = 0; i < REGIONS; i++) {
		if (!is_taken && h->lease.claim_at_us <= now + WAIT_MAX_US)
			t.monotonic_us = t.boot_us =
				MAX(t.monotonic_us, h->lease.claim_at_us);
		claim = next;
		if (!token_lease_take_claim(&h->lease, !is_taken, t, &claim))
			break;
		g.is_elsewhere = true;
		if (claim.kind == TOKEN_CLAIM_CACHED && !is_owner)
			token_cache_claim(h->cache, &claim, t, &g);
		claim.kind = TOKEN_CLAIM_USE;
		if (g.is_elsewhere)
			claim_tokens(m, h, &claim, t);
		else
			token_lease_apply_grant(&h->lease, &g, t);
		is_taken = is_taken || token_lease_use(&h->lease, t, &ticket);
		if (is_taken)
			break;
	}
	if (token_cache_next_claim(h->cache) <= t.monotonic_us)
		ask_with_cache(m, h, host_index(m, h) % REGIONS, NULL, t, &g);
	return is_taken;
}

static bool admit(struct model *m, uint32_t host, int64_t now)
{
	struct model_host *h = &m->hosts[host];

	h->asked++;
	switch (m->scheme) {
	case PREDICTION:
		predict(m, now);
		return take_saved(m, h, now);
	case CLAIMS_BY_DEMAND:
		return take_share(m, h, now);
	case POOL_AT_OWNER:
		return take_token(m, h, now);
	default:
		return take_saved(m, h, now);
	}
}

static void model_init(struct model *m, enum scheme scheme, uint32_t hosts,
		       double usual)
{
	*m = (struct model){
		.scheme = scheme,
		.host_count = hosts,
		.hosts = g_new0(struct model_host, hosts),
		.rate = usual * QUOTA_FACTOR,
		.burst = usual * QUOTA_FACTOR * BURST_S,
		.shares = rate_shares_create(),
		.pool = token_pool_create(1),
	};
	for (uint32_t i = 0; i < hosts; i++) {
		m->hosts[i].max_per_s = m->rate / hosts;
		m->hosts[i].tokens = host_burst(m);
		m->hosts[i].tokens_at_us = 100 * US_PER_S;
		token_lease_init(&m->hosts[i].lease);
		m->hosts[i].cache = token_cache_create();
	}
}

static void model_clear(struct model *m)
{
	for (uint32_t i = 0; i < m->host_count; i++)
		token_cache_free(m->hosts[i].cache);
	rate_shares_free(m->shares);
	token_pool_free(m->pool);
	g_free(m->hosts);
}

static uint32_t most_in_window(const GArray *list)
{
	const int64_t *times = (const int64_t *)(void *)list->data;
	guint first = 0;
	guint most = 0;

	for (guint last = 0; last < list->len; last++) {
		while (times[last] - times[first] >= WINDOW_US)
			first++;
		most = MAX(most, last - first + 1);
	}
	return most;
}

/* Runs one organisation at per_s requests a second through some hosts. */
static struct outcome run(enum scheme scheme, uint32_t hosts, uint32_t users,
			  double usual, double per_s)
{
	GRand *random = g_rand_new_with_seed(1);
	GArray *times = g_array_new(FALSE, FALSE, sizeof(int64_t));
	double us = CLAMP(REQUESTS_MAX / per_s * US_PER_S, (double)TIME_MIN_US,
			  (double)TIME_MAX_US);
	int64_t start = 100 * US_PER_S;
	int64_t end = start + SETTLE_US + (int64_t)us;
	struct outcome out = { .seconds = us / US_PER_S };
	int64_t now = start;
	struct model m;

	model_init(&m, scheme, hosts, usual);
	for (;;) {
		uint32_t host;
		bool is_admitted;

		now += (int64_t)(-log(1 - g_rand_double(random)) / per_s *
				 US_PER_S) +
		       1;
		if (now >= end)
			break;
		host = (uint32_t)g_rand_int_range(random, 0, (gint32)users);
		if (now < start + SETTLE_US)
			m.messages = m.bytes = 0;
		is_admitted = admit(&m, host, now);
		if (is_admitted)
			g_array_append_val(times, now);
		if (now < start + SETTLE_US)
			continue;
		out.asked++;
		out.admitted += is_admitted;
	}
	out.messages = m.messages;
	out.bytes = m.bytes;
	out.most = most_in_window(times);
	model_clear(&m);
	g_array_free(times, TRUE);
	g_rand_free(random);
	return out;
}

static double rank_weight(uint32_t rank)
{
	return pow(rank, -SKEW);
}

/** Sums over the organisations, each with its part of the requests. */
struct summary {
	double used_all;
	double used_few;
	double refused;
	double most;
	double messages;
	double bytes;
};

/* Adds a rank that stands for `count` organisations. */
static void add_rank(struct summary *s, enum scheme scheme, uint32_t hosts,
		     double usual, double part, uint32_t count)
{
	double quota = usual * QUOTA_FACTOR;
	double bound = (quota * 5 + quota * BURST_S) * 1.1 + 20;
	uint32_t few = MIN(FEW_HOSTS, hosts);
	struct outcome all =
		run(scheme, hosts, hosts, usual, usual * EXCESS_FACTOR);
	struct outcome by_few =
		run(scheme, hosts, few, usual, usual * EXCESS_FACTOR);
	struct outcome below = run(scheme, hosts, hosts, usual, usual);

	s->used_all +=
		part * MIN(1, (double)all.admitted / (quota * all.seconds));
	s->used_few += part * MIN(1, (double)by_few.admitted /
					     (quota * by_few.seconds));
	s->refused += part * (double)(below.asked - below.admitted) /
		      (double)MAX(below.asked, 1);
	s->most = MAX(s->most, MAX(all.most, by_few.most) / bound);
	s->messages += count * (double)below.messages / below.seconds / hosts;
	s->bytes += count * (double)below.bytes / below.seconds / hosts;
}

/* Ranks grow by half, and each stands for those up to the next one. */
static struct summary summarize(enum scheme scheme, uint32_t hosts,
				uint32_t organisations, double total_per_s)
{
	struct summary s = { 0 };
	double sum = 0;

	for (uint32_t rank = 1; rank <= organisations; rank++)
		sum += rank_weight(rank);
	for (uint32_t rank = 1, next; rank <= organisations; rank = next) {
		double part = 0;

		next = MIN(rank + MAX(rank / 2, 1), organisations + 1);
		for (uint32_t i = rank; i < next; i++)
			part += rank_weight(i) / sum;
		add_rank(&s, scheme, hosts, total_per_s * part / (next - rank),
			 part, next - rank);
	}
	return s;
}

static double cpu_now_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

#define COST_ROUNDS 20000
#define COST_KEYS 5000

static void handle_admit(void *ctx, void *user, uint64_t ticket)
{
}

static void handle_refuse(void *ctx, void *user, int64_t retry_after_us)
{
}

static char *key_name(uint32_t i)
{
	return g_strdup_printf("q:organisation-%u", i);
}

static void measure_owner(void)
{
	struct token_pool *p = token_pool_create(1);
	GArray *claims = g_array_new(FALSE, FALSE, sizeof(struct token_claim));
	GArray *grants = g_array_new(FALSE, FALSE, sizeof(struct token_grant));
	size_t before = mallinfo2().uordblks;
	guint claim_bytes = 0;
	guint grant_bytes = 0;
	double us = cpu_now_us();

	for (uint32_t i = 0; i < COST_ROUNDS; i++) {
		char *key = key_name(i % COST_KEYS);
		struct token_claim c = {
			.key = key,
			.domain = regions[0],
			.limit = { .max_per_s = 1000,
				   .burst = 1000,
				   .version = 12 },
			.sequence = 1000,
			.wanted = 3,
			.returned = 1,
			.returned_ticket = UINT64_MAX / 2,
		};
		struct token_grant g;
		struct host_frame f;
		GByteArray *frame;

		g_array_set_size(claims, 0);
		g_array_append_val(claims, c);
		frame = host_frame_token_claims(claims);
		claim_bytes = frame->len;
		host_frame_decode(frame->data, frame->len, &f);
		g_byte_array_free(frame, TRUE);
		token_pool_claim(
			p,
			&g_array_index(f.token_claims, struct token_claim, 0),
			TOKEN_PART_ALL, 0, 100 * US_PER_S + i * 100, &g);
		g_array_set_size(grants, 0);
		g_array_append_val(grants, g);
		frame = host_frame_token_grants(grants);
		grant_bytes = frame->len;
		g_byte_array_free(frame, TRUE);
		host_frame_clear(&f);
		g_free(key);
	}
	us = (cpu_now_us() - us) / COST_ROUNDS;
	printf("owner: %.2f us a claim with its frames, %zu bytes a key, frames "
	       "of %u and %u bytes\n",
	       us, (mallinfo2().uordblks - before) / COST_KEYS, claim_bytes,
	       grant_bytes);
	token_pool_free(p);
	g_array_free(claims, TRUE);
	g_array_free(grants, TRUE);
}

static double ask_all(struct quota *q, char **names, int64_t now,
		      enum quota_decision expected)
{
	double us = cpu_now_us();

	for (uint32_t i = 0; i < COST_KEYS; i++) {
		struct organisation o = {
			.name = names[i],
			.max_per_s = 1000,
			.burst = 1000,
		};
		struct quota_request in = {
			.organisation = &o,
			.version = 1,
			.goal_us = US_PER_S,
			.left_us = US_PER_S,
		};
		uint64_t ticket;
		int64_t retry;

		if (quota_ask(q, &in, (struct lease_time){ now, now }, &ticket,
			      &retry) != expected)
			printf("unexpected decision\n");
	}
	return (cpu_now_us() - us) / COST_KEYS;
}

static void measure_claimant(void)
{
	static const struct quota_ops ops = { handle_admit, handle_refuse };
	struct quota_options options = { .seed = 1, .ops = &ops };
	struct quota *q = quota_create(&options);
	char **names = g_new0(char *, COST_KEYS);
	int64_t now = 100 * US_PER_S;
	double first;
	double next;
	size_t before;
	GArray *claims;

	for (uint32_t i = 0; i < COST_KEYS; i++)
		names[i] = g_strdup_printf("organisation-%u", i);
	before = mallinfo2().uordblks;
	first = ask_all(q, names, now, QUOTA_WAITS);
	claims = quota_advance(q, (struct lease_time){ now, now });
	for (guint i = 0; i < claims->len; i++) {
		const struct token_claim *c =
			&g_array_index(claims, struct token_claim, i);
		struct token_grant g = {
			.key = c->key,
			.sequence = c->sequence,
			.tokens = 100,
			.ticket = 1,
		};

		quota_handle_grant(q, &g, (struct lease_time){ now, now });
	}
	g_array_free(claims, TRUE);
	next = ask_all(q, names, now + US_PER_MS, QUOTA_ADMITTED);
	printf("host of callers: %.2f us for a first request, %.2f us for one "
	       "with a token, %zu bytes an organisation\n",
	       first, next, (mallinfo2().uordblks - before) / COST_KEYS);
	quota_free(q);
	for (uint32_t i = 0; i < COST_KEYS; i++)
		g_free(names[i]);
	g_free(names);
}

int main(void)
{
	static const struct {
		uint32_t hosts;
		double per_s;
	} fleets[] = {
		{ 7, 100 }, { 58, 120 }, { 300, 30000 }, { 2200, 1900000 }
	};
	static const uint32_t counts[] = { 71, 5000 };

	printf("| hosts | organisations | requests/s | division | used, all "
	       "hosts | used, two hosts | refused below | most/bound | "
	       "messages/s a host | bytes/s a host, each way |\n");
	for (size_t i = 0; i < G_N_ELEMENTS(fleets); i++) {
		for (size_t k = 0; k < G_N_ELEMENTS(counts); k++) {
			for (int s = 0; s < SCHEME_COUNT; s++) {
				struct summary r = summarize((enum scheme)s,
							     fleets[i].hosts,
							     counts[k],
							     fleets[i].per_s);

				printf("| %u | %u | %.0f | %s | %.3f | %.3f | "
				       "%.5f | %.2f | %.2f | %.0f |\n",
				       fleets[i].hosts, counts[k],
				       fleets[i].per_s, scheme_names[s],
				       r.used_all, r.used_few, r.refused,
				       r.most, r.messages, r.bytes);
				fflush(stdout);
			}
		}
	}
	measure_owner();
	measure_claimant();
	return 0;
}
