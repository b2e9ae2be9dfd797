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

/** Returns the event's fixed text. */
const char *event_text(enum event_id id);

/** Returns the event's level. */
enum event_level event_level(enum event_id id);

/**
 * Writes one line: level, event number, text, then the formatted key=value
 * fields. Lines below the level of event_set_level() are dropped.
 */
void event_log(enum event_id id, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/** Sets the lowest level that is written; EVENT_INFO at start. */
void event_set_level(enum event_level level);

/** Returns whether a line of this event would be written. */
int event_is_enabled(enum event_id id);

/**
 * Makes GLib's log write each message to stderr as one line: UTC time, level
 * and text. Line breaks inside a message become spaces.
 */
void event_use_line_writer(void);

/**
 * Routes lines in the logfmt format to a callback that takes them over, and
 * ends the use of GLib's log; NULL restores it.
 */
void event_set_line_sink(void (*sink)(void *ctx, enum event_level level,
				      char *line),
			 void *ctx);

/** Routes lines to a callback in place of GLib's log, for tests. */
void event_set_sink(void (*sink)(void *ctx, enum event_id id,
				 const char *fields),
		    void *ctx);

#endif
