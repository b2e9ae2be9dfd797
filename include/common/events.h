#ifndef COMMON_EVENTS_H
#define COMMON_EVENTS_H

#include <stdint.h>

/**
 * Numbered log events. Each library lists its events in its own events.def;
 * docs/events.md holds the catalogue.
 */
enum event_id {
#define EVENT(name, number, level, text) EV_##name = number,
#include "common/events.def"
#include "objects/events.def"
#include "store/events.def"
#include "engine/events.def"
#include "fleet/events.def"
#include "net/events.def"
#include "router/events.def"
#undef EVENT
};

enum event_level {
	EVENT_DEBUG,
	EVENT_INFO,
	EVENT_WARNING,
	EVENT_ERROR,
};

/** Returns the event's message, without fields. */
const char *event_text(enum event_id id);

/** Returns the event's level. */
enum event_level event_level(enum event_id id);

/**
 * Writes one line: level, event number, message, then the formatted key=value
 * fields. Does nothing if the event is below the level of event_set_level().
 */
void event_log(enum event_id id, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/** Sets the lowest level that is written; the default is EVENT_INFO. */
void event_set_level(enum event_level level);

/** Returns whether a line of this event would be written. */
int event_is_enabled(enum event_id id);

/**
 * Makes GLib's log write each message to stderr as one line: UTC time, level
 * and message. Line breaks inside a message become spaces.
 */
void event_use_line_writer(void);

/**
 * Passes each line, in the logfmt format, to a callback in place of GLib's log.
 * The callback owns the line and frees it with g_free(). NULL restores GLib's
 * log.
 */
void event_set_line_sink(void (*sink)(void *ctx, enum event_level level,
				      char *line),
			 void *ctx);

/** For tests: passes all events, at every level, to a callback. */
void event_set_sink(void (*sink)(void *ctx, enum event_id id,
				 const char *fields),
		    void *ctx);

#endif
