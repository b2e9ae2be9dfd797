#include "common/events.h"

#include <glib.h>
#include <stdarg.h>
#include <stdio.h>

struct entry {
	int number;
	enum event_level level;
	const char *text;
};

static const struct entry entries[] = {
#define EVENT(name, number, level, text) { number, level, text },
#include "common/events.def"
#include "objects/events.def"
#include "store/events.def"
#include "engine/events.def"
#include "fleet/events.def"
#include "net/events.def"
#include "router/events.def"
#undef EVENT
};

static const GLogLevelFlags glib_levels[] = {
	[EVENT_DEBUG] = G_LOG_LEVEL_DEBUG,
	[EVENT_INFO] = G_LOG_LEVEL_MESSAGE,
	[EVENT_WARNING] = G_LOG_LEVEL_WARNING,
	[EVENT_ERROR] = G_LOG_LEVEL_CRITICAL,
};

static enum event_level min_level = EVENT_INFO;
static void (*test_sink)(void *ctx, enum event_id id, const char *fields);
static void *test_sink_ctx;
static void (*line_sink)(void *ctx, enum event_level level, char *line);
static void *line_sink_ctx;

static const char *const level_names[] = { "debug", "info", "warning",
					   "error" };

static const struct entry *find_entry(enum event_id id)
{
	for (size_t i = 0; i < G_N_ELEMENTS(entries); i++) {
		if (entries[i].number == (int)id)
			return &entries[i];
	}
	return &entries[0];
}

static const char *level_name(GLogLevelFlags level)
{
	if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
		return "ERROR";
	if (level & G_LOG_LEVEL_WARNING)
		return "WARNING";
	if (level & G_LOG_LEVEL_DEBUG)
		return "DEBUG";
	return "INFO";
}

static const char *find_message(const GLogField *fields, gsize count)
{
	for (gsize i = 0; i < count; i++) {
		if (!g_strcmp0(fields[i].key, "MESSAGE"))
			return fields[i].value;
	}
	return "";
}

static GLogWriterOutput handle_log_line(GLogLevelFlags level,
					const GLogField *fields, gsize count,
					gpointer ctx)
{
	GDateTime *now = g_date_time_new_now_utc();
	char *time = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S");
	char *message = g_strdup(find_message(fields, count));

	g_strdelimit(message, "\r\n", ' ');
	/* One call per line, so that lines of several threads do not mix. */
	fprintf(stderr, "%s.%03dZ %s %s\n", time,
		g_date_time_get_microsecond(now) / 1000, level_name(level),
		message);
	g_free(message);
	g_free(time);
	g_date_time_unref(now);
	return G_LOG_WRITER_HANDLED;
}

void event_use_line_writer(void)
{
	g_log_set_writer_func(handle_log_line, NULL, NULL);
}

const char *event_text(enum event_id id)
{
	return find_entry(id)->text;
}

/* A switch rather than a search, since it runs for disabled events too. */
enum event_level event_level(enum event_id id)
{
	switch (id) {
#define EVENT(name, number, level, text) \
	case EV_##name:                  \
		return level;
#include "common/events.def"
#include "objects/events.def"
#include "store/events.def"
#include "engine/events.def"
#include "fleet/events.def"
#include "net/events.def"
#include "router/events.def"
#undef EVENT
	}
	return EVENT_DEBUG;
}

void event_set_level(enum event_level level)
{
	min_level = level;
}

int event_is_enabled(enum event_id id)
{
	if (test_sink || min_level == EVENT_DEBUG)
		return 1;
	return event_level(id) >= min_level;
}

void event_set_sink(void (*sink)(void *ctx, enum event_id id,
				 const char *fields),
		    void *ctx)
{
	test_sink = sink;
	test_sink_ctx = ctx;
}

void event_set_line_sink(void (*sink)(void *ctx, enum event_level level,
				      char *line),
			 void *ctx)
{
	line_sink_ctx = ctx;
	__atomic_store_n(&line_sink, sink, __ATOMIC_RELEASE);
}

static void write_logfmt(const struct entry *e, const char *fields,
			 void (*sink)(void *ctx, enum event_level level,
				      char *line))
{
	gint64 now = g_get_real_time();
	GDateTime *time = g_date_time_new_from_unix_utc(now / G_USEC_PER_SEC);
	char *text = g_date_time_format(time, "%Y-%m-%dT%H:%M:%S");
	char *line = g_strdup_printf(
		"ts=%s.%03dZ level=%s event=N%d msg=\"%s\" %s\n", text,
		(int)(now % G_USEC_PER_SEC / 1000), level_names[e->level],
		e->number, e->text, fields);

	g_free(text);
	g_date_time_unref(time);
	sink(line_sink_ctx, e->level, line);
}

void event_log(enum event_id id, const char *fmt, ...)
{
	char fields[1024];
	/* Another thread may remove the sink meanwhile, as the process ends. */
	void (*sink)(void *ctx, enum event_level level, char *line) =
		__atomic_load_n(&line_sink, __ATOMIC_ACQUIRE);
	const struct entry *e;
	va_list ap;

	if (!event_is_enabled(id))
		return;
	va_start(ap, fmt);
	vsnprintf(fields, sizeof(fields), fmt, ap);
	va_end(ap);
	if (test_sink) {
		test_sink(test_sink_ctx, id, fields);
		return;
	}
	e = find_entry(id);
	if (sink) {
		g_strdelimit(fields, "\r\n", ' ');
		write_logfmt(e, fields, sink);
		return;
	}
	g_log("nutmegpick", glib_levels[e->level], "N%d %s: %s", e->number,
	      e->text, fields);
}
