/*
 * Measures the check of a request's key with 71 to 100,000 keys: the time to
 * read it from the headers and find its organisation, the time to decode a
 * configuration with that many keys, and the memory of their index.
 */
#include <stdio.h>
#include <string.h>
#include <time.h>

#include <glib.h>

#include "bench/key_configuration.h"
#include "net/http_header.h"
#include "platform/headers.h"
#include "platform/routes.h"
#include "router/identity.h"

#define CHECKS 2000000
#define HEADERS 8

static double cpu_now_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

static GArray *create_headers(char *credentials)
{
	GArray *headers = g_array_new(FALSE, TRUE, sizeof(struct http_header));

	for (int i = 0; i < HEADERS; i++) {
		struct http_header h = { "X-Header", "value" };

		if (i == HEADERS / 2)
			h = (struct http_header){ "Authorization",
						  credentials };
		g_array_append_val(headers, h);
	}
	return headers;
}

/*
 * Returns the time to read the key of a request and to check it twice, as is
 * done for one that another host may run. The headers are in the cache, as
 * those of a request that was just read; the slot of the key is not.
 */
static double measure_checks(const struct route_table *t, uint32_t keys)
{
	char credentials[sizeof("Bearer ") - 1 + KEY_SIZE] = "Bearer ";
	char *key = credentials + strlen("Bearer ");
	char(*texts)[KEY_SIZE] = g_malloc(keys * sizeof(*texts));
	GArray *headers = create_headers(credentials);
	uint32_t accepted = 0;
	double us;

	for (uint32_t i = 0; i < keys; i++)
		key_write(texts[i], i);
	us = cpu_now_us();
	for (uint32_t i = 0; i < CHECKS; i++) {
		struct identity_claim claim = { 0 };

		memcpy(key, texts[i % keys], sizeof(*texts));
		claim.credentials = platform_read_credentials(headers);
		for (int k = 0; k < 2; k++)
			accepted += identity_check(t, &t->routes[0], &claim)
					    .verdict == IDENTITY_ACCEPTED;
	}
	us = cpu_now_us() - us;
	if (accepted != 2 * CHECKS)
		g_error("%u of %u checks accepted", accepted, 2 * CHECKS);
	g_array_free(headers, TRUE);
	g_free(texts);
	return us / CHECKS;
}

static void measure(uint32_t keys)
{
	char *text = key_configuration_build(keys);
	struct route_table *t = NULL;
	char message[256];
	double us = cpu_now_us();

	if (platform_decode_routes(text, strlen(text), &t, message,
				   sizeof(message)))
		g_error("%s", message);
	us = cpu_now_us() - us;
	printf("| %u | %.3f | %.1f | %zu |\n", keys, measure_checks(t, keys),
	       us / 1e3, key_index_bytes(t->keys) / 1024);
	route_table_unref(t);
	g_free(text);
}

int main(void)
{
	static const uint32_t counts[] = { 71, 1000, 10000, 100000 };

	printf("| keys | us a request | ms to decode | KB of the index |\n");
	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++)
		measure(counts[i]);
	return 0;
}
