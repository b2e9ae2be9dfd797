#include "nutmegpickd/route_internal.h"

static void handle_send_claims(void *ctx, const char *address,
			       const GArray *claims)
{
	route_send_frame(ctx, address, host_frame_rate_claims(claims));
}

static void handle_deliver_grant(void *ctx, const struct rate_grant *grant)
{
	struct route_service *s = ctx;

	router_handle_grant(s->router, grant);
}

const struct rate_exchange_ops route_rate_ops = {
	.send_claims = handle_send_claims,
	.deliver_grant = handle_deliver_grant,
};

void route_answer_claims(struct route_service *s, link_id link,
			 const char *address, const GArray *claims)
{
	GArray *grants = rate_exchange_answer(s->rates, address, claims);

	route_reply_frame(s, link, host_frame_rate_grants(grants));
	g_array_free(grants, TRUE);
}
