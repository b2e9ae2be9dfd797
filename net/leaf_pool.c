#include "net/leaf_pool.h"

#include <stdlib.h>
#include <string.h>

struct leaf_pool *leaf_pool_create(const char *address, uint32_t limit,
				   double opens_per_second, double burst,
				   struct rate_limit *host_rate, int64_t now_us)
{
	struct leaf_pool *p = calloc(1, sizeof(*p));

	p->address = strdup(address);
	p->limit = limit;
	p->host_rate = host_rate;
	rate_limit_init(&p->rate, opens_per_second, burst, now_us);
	g_queue_init(&p->waiting);
	return p;
}

void leaf_pool_destroy(struct leaf_pool *p)
{
	g_queue_clear(&p->waiting);
	free(p->address);
	free(p);
}

static bool may_open_connection(struct leaf_pool *p, int64_t now_us)
{
	return p->open + p->opening < p->limit &&
	       rate_limit_has_token(&p->rate, now_us) &&
	       rate_limit_has_token(p->host_rate, now_us);
}

static void take_tokens(struct leaf_pool *p)
{
	rate_limit_take_token(&p->rate);
	rate_limit_take_token(p->host_rate);
}

enum pool_grant leaf_pool_begin_call(struct leaf_pool *p, int64_t now_us)
{
	if (p->active >= p->limit)
		return POOL_WAIT;
	if (p->open + p->opening > p->active) {
		p->active++;
		return POOL_REUSE;
	}
	if (!may_open_connection(p, now_us))
		return POOL_WAIT;
	take_tokens(p);
	p->opening++;
	p->active++;
	return POOL_OPEN;
}

bool leaf_pool_add_connection(struct leaf_pool *p, bool is_granted,
			      int64_t now_us)
{
	if (is_granted) {
		p->opening--;
	} else {
		if (!may_open_connection(p, now_us))
			return false;
		take_tokens(p);
	}
	p->open++;
	return true;
}

void leaf_pool_remove_connection(struct leaf_pool *p)
{
	p->open--;
}

void leaf_pool_end_call(struct leaf_pool *p, bool is_granted)
{
	p->active--;
	if (!is_granted)
		return;
	/* The call used an idle connection instead of opening one. */
	p->opening--;
	rate_limit_return_token(&p->rate);
	rate_limit_return_token(p->host_rate);
}
