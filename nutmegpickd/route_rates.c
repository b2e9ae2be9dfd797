#include "common/events.h"
#include "nutmegpickd/route_internal.h"

/* After so many claims without an answer, the next host is asked. */
#define UNANSWERED_MAX 2
/*
 * Part of a limit that a host divides while another one should. The other one
 * may still divide the whole limit among the hosts that reach it.
 */
#define STANDBY_PART 0.4

static double own_part(struct route_service *s, const struct rate_claim *c)
{
	return host_directory_is_rate_owner(&s->directory, c->leaf,
					    c->leaf_domain)
		       ? 1
		       : STANDBY_PART;
}

static struct rate_grant answer_claim(struct route_service *s, const char *host,
				      const struct rate_claim *c)
{
	struct rate_grant g;

	rate_shares_claim(s->rate_shares, host, c, own_part(s, c),
			  clock_now(&s->clock), &g);
	return g;
}

/* The leaf may be freed before the grant is delivered. */
static void queue_own_grant(struct route_service *s, const struct rate_claim *c)
{
	struct rate_grant g = answer_claim(s, s->settings.host_id, c);

	g.leaf = g_strdup(g.leaf);
	g_array_append_val(s->own_grants, g);
}

/* Returns the host that divides the limit of the claimed leaf, or NULL. */
static const struct known_host *choose_owner(struct route_service *s,
					     const struct rate_claim *c)
{
	int64_t now = clock_now(&s->clock);
	struct known_host *h = host_directory_choose_rate_owner(
		&s->directory, c->leaf, c->leaf_domain, now);

	if (!h || c->unanswered < UNANSWERED_MAX)
		return h;
	event_log(EV_RATE_OWNER_LOST, "leaf=%s host=%s claims=%u", c->leaf,
		  h->record.name, c->unanswered);
	route_avoid_host(s, h->record.address);
	return host_directory_choose_rate_owner(&s->directory, c->leaf,
						c->leaf_domain, now);
}

static void handle_free_claims(gpointer data)
{
	g_array_free(data, TRUE);
}

static void add_claim(GHashTable *by_address, const char *address,
		      const struct rate_claim *c)
{
	GArray *claims = g_hash_table_lookup(by_address, address);

	if (!claims) {
		claims = g_array_new(FALSE, FALSE, sizeof(*c));
		g_hash_table_insert(by_address, g_strdup(address), claims);
	}
	g_array_append_vals(claims, c, 1);
}

void route_claim_rates(struct route_service *s, const struct rate_claim *claims,
		       uint32_t count)
{
	GHashTable *by_address = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, handle_free_claims);
	GHashTableIter iter;
	gpointer address;
	gpointer list;

	for (uint32_t i = 0; i < count; i++) {
		const struct known_host *h = choose_owner(s, &claims[i]);

		if (!s->transport ||
		    (h && host_directory_is_self(&s->directory, h)))
			queue_own_grant(s, &claims[i]);
		else if (h)
			add_claim(by_address, h->record.address, &claims[i]);
	}
	g_hash_table_iter_init(&iter, by_address);
	while (g_hash_table_iter_next(&iter, &address, &list))
		route_send_frame(s, address, host_frame_rate_claims(list));
	g_hash_table_destroy(by_address);
}

void route_answer_claims(struct route_service *s, link_id link,
			 const char *address, const GArray *claims)
{
	GArray *grants = g_array_new(FALSE, FALSE, sizeof(struct rate_grant));

	for (guint i = 0; i < claims->len; i++) {
		struct rate_grant g = answer_claim(
			s, address,
			&g_array_index(claims, struct rate_claim, i));

		g_array_append_val(grants, g);
	}
	route_reply_frame(s, link, host_frame_rate_grants(grants));
	g_array_free(grants, TRUE);
}

void route_deliver_grants(struct route_service *s, const GArray *grants)
{
	for (guint i = 0; i < grants->len; i++)
		router_handle_grant(s->router,
				    &g_array_index(grants, struct rate_grant,
						   i));
}

void route_deliver_own_grants(struct route_service *s)
{
	GArray *grants = s->own_grants;

	if (!grants->len)
		return;
	/* A grant lets waiting requests start, which may claim again. */
	s->own_grants = g_array_new(FALSE, FALSE, sizeof(struct rate_grant));
	route_deliver_grants(s, grants);
	for (guint i = 0; i < grants->len; i++)
		g_free((char *)g_array_index(grants, struct rate_grant, i).leaf);
	g_array_free(grants, TRUE);
}
