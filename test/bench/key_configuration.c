#include "bench/key_configuration.h"

#include <stdbool.h>

#include <glib.h>

void key_write(char out[KEY_SIZE], uint32_t number)
{
	g_snprintf(out, KEY_SIZE, "nk_%08x%08x%08xabcde", number * 2654435761u,
		   number, number * 40503u);
}

char *key_configuration_build(uint32_t count)
{
	GString *s = g_string_new(
		"{\"version\":1,\"services\":[{\"name\":\"s\"}],\"routes\":["
		"{\"name\":\"r\",\"host\":\"h\",\"prefix\":\"/\",\"kind\":"
		"\"safe\",\"timeout_ms\":500,\"service\":\"s\"}],"
		"\"tenants\":[");
	char key[KEY_SIZE];

	for (uint32_t i = 0; i < count; i++) {
		bool is_first = i % KEYS_PER_ORGANISATION == 0;
		bool is_last = (i + 1) % KEYS_PER_ORGANISATION == 0 ||
			       i + 1 == count;

		key_write(key, i);
		if (is_first)
			g_string_append_printf(
				s, "%s{\"name\":\"o%u\",\"api_keys\":[",
				i ? "," : "", i);
		g_string_append_printf(s, "%s\"%s\"%s", is_first ? "" : ",",
				       key, is_last ? "]}" : "");
	}
	g_string_append(s, "]}");
	return g_string_free(s, FALSE);
}
