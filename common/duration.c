#include "common/duration.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "common/errors.h"

struct unit {
	const char *suffix;
	double us;
};

static const struct unit units[] = {
	{ "us", 1 },   { "ms", 1e3 },	{ "s", 1e6 },
	{ "m", 60e6 }, { "h", 3600e6 },
};

#define DURATION_MAX_US (30LL * 24 * 3600 * 1000000)

int duration_parse(const char *text, int64_t *us)
{
	char *end;
	double v;

	if (!g_ascii_isdigit(text[0]))
		return -ERR_DURATION;
	v = g_ascii_strtod(text, &end);
	for (size_t i = 0; i < G_N_ELEMENTS(units); i++) {
		if (strcmp(end, units[i].suffix))
			continue;
		v = round(v * units[i].us);
		if (!(v <= (double)DURATION_MAX_US))
			return -ERR_DURATION;
		*us = (int64_t)v;
		return 0;
	}
	return -ERR_DURATION;
}
