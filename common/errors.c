#include "common/errors.h"

#include <stdlib.h>

struct entry {
	int number;
	const char *name;
	const char *text;
};

static const struct entry entries[] = {
	{ 0, "OK", "success" },
#define ERR(name, number, text) { number, #name, text },
#include "common/errors.def"
#include "objects/errors.def"
#include "store/errors.def"
#include "engine/errors.def"
#include "fleet/errors.def"
#include "net/errors.def"
#include "router/errors.def"
#undef ERR
};

static const struct entry *find_entry(int code)
{
	static const struct entry unknown = { -1, "UNKNOWN", "unknown error" };

	code = abs(code);
	for (size_t i = 0; i < sizeof(entries) / sizeof(entries[0]); i++) {
		if (entries[i].number == code)
			return &entries[i];
	}
	return &unknown;
}

const char *error_text(int code)
{
	return find_entry(code)->text;
}

const char *error_name(int code)
{
	return find_entry(code)->name;
}
