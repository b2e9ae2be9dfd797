#include "engine/internal.h"

void timer_arm(struct engine *e, struct timer *t, int64_t at_us,
	       void (*fire)(struct engine *e, struct timer *t))
{
	t->fire = fire;
	heap_push(&e->timers, &t->node, at_us);
}

void timer_disarm(struct engine *e, struct timer *t)
{
	heap_remove(&e->timers, &t->node);
}

void timer_run(struct engine *e)
{
	int64_t now = engine_now(e);
	struct heap_node *top;

	while ((top = heap_top(&e->timers)) && top->key <= now) {
		struct timer *t = HEAP_OWNER(top, struct timer, node);

		heap_remove(&e->timers, top);
		t->fire(e, t);
	}
}
