#include "common/counter.h"

#include <glib.h>
#include <inttypes.h>
#include <pthread.h>
#include <string.h>

static pthread_mutex_t counters_lock = PTHREAD_MUTEX_INITIALIZER;
static struct counter *first_counter;
static struct counter **last_link = &first_counter;

void counter_register(struct counter *c)
{
	pthread_mutex_lock(&counters_lock);
	c->next = NULL;
	*last_link = c;
	last_link = &c->next;
	pthread_mutex_unlock(&counters_lock);
}

void counter_add(struct counter *c, uint64_t n)
{
	__atomic_fetch_add(&c->value, n, __ATOMIC_RELAXED);
}

void counter_set(struct counter *c, uint64_t v)
{
	__atomic_store_n(&c->value, v, __ATOMIC_RELAXED);
}

uint64_t counter_get(const struct counter *c)
{
	return __atomic_load_n(&c->value, __ATOMIC_RELAXED);
}

static void append_counter(GString *s, const struct counter *c)
{
	g_string_append(s, c->name);
	if (c->label)
		g_string_append_printf(s, "{%s}", c->label);
	g_string_append_printf(s, " %" PRIu64 "\n", counter_get(c));
}

char *counter_render(void)
{
	GString *s = g_string_new(NULL);
	const char *name = "";

	pthread_mutex_lock(&counters_lock);
	for (struct counter *c = first_counter; c; c = c->next) {
		if (strcmp(c->name, name)) {
			name = c->name;
			g_string_append_printf(s, "# HELP %s %s\n", name,
					       c->help);
			g_string_append_printf(s, "# TYPE %s %s\n", name,
					       c->is_gauge ? "gauge"
							   : "counter");
		}
		append_counter(s, c);
	}
	pthread_mutex_unlock(&counters_lock);
	return g_string_free(s, FALSE);
}
