/*
 * replay CORPUS RUNS [TARGET]: runs one target or all of them on the files in
 * CORPUS/<target> and on RUNS mutations of these, the same ones each time. Each
 * input is first written to fuzz-last-<target> in the folder for temporary
 * files, where a crash leaves it.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "targets.h"

#define INPUT_MAX 8192
#define MUTATIONS_MAX 6

static const char *const tokens[] = {
	"POST /a?b HTTP/1.1\r\n",
	"Host: a\r\n",
	"HTTP/1.1 200 OK\r\n",
	"HTTP/1.1 503 X\r\n",
	"HTTP/1.1 103 Early Hints\r\n\r\n",
	"Request-Id: own\r\n",
	"Request-Id: earlier\r\n",
	"Content-Length: 4\r\n",
	"Content-Length: 18446744073709551615\r\n",
	"Transfer-Encoding: chunked\r\n",
	"Connection: close\r\n",
	"\r\n\r\n",
	"ffffffff\r\n",
	"0\r\n\r\n",
	"9223372036854775807",
	"-1",
	"null",
	"[]",
	"{}",
	"\"\"",
	"1e999",
	"\\u0000",
	"\xff\xff\xff\xff",
	"\xdf\xff\xff\xff\xff",
};

static gint compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

static GPtrArray *load_corpus(const char *folder, const char *target)
{
	GPtrArray *list = g_ptr_array_new();
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	char *path = g_build_filename(folder, target, NULL);
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir)))
		g_ptr_array_add(names, g_build_filename(path, name, NULL));
	g_ptr_array_sort(names, compare_names);
	for (guint i = 0; i < names->len; i++) {
		char *text;
		gsize len;

		if (!g_file_get_contents(names->pdata[i], &text, &len, NULL))
			continue;
		g_ptr_array_add(list, g_bytes_new_take(text, len));
	}
	g_ptr_array_free(names, TRUE);
	if (dir)
		g_dir_close(dir);
	g_free(path);
	return list;
}

static void insert_bytes(GByteArray *b, guint at, const void *data, gsize len)
{
	guint old = b->len;

	if (b->len + len > INPUT_MAX)
		return;
	g_byte_array_set_size(b, (guint)(old + len));
	memmove(b->data + at + len, b->data + at, old - at);
	memcpy(b->data + at, data, len);
}

static void insert_from_corpus(GByteArray *b, guint at, GRand *random,
			       GPtrArray *corpus)
{
	GBytes *other =
		corpus->pdata[g_rand_int_range(random, 0, (gint32)corpus->len)];
	gsize len;
	const guint8 *data = g_bytes_get_data(other, &len);
	gsize from = len ? (gsize)g_rand_int_range(random, 0, (gint32)len) : 0;

	insert_bytes(b, at, data + from, MIN(len - from, 64));
}

static void mutate_input(GByteArray *b, GRand *random, GPtrArray *corpus)
{
	guint at = b->len ? (guint)g_rand_int_range(random, 0, (gint32)b->len)
			  : 0;
	const char *token;
	guint8 byte;
	guint count;

	switch (g_rand_int_range(random, 0, 6)) {
	case 0:
		if (b->len)
			b->data[at] ^=
				(guint8)(1 << g_rand_int_range(random, 0, 8));
		return;
	case 1:
		byte = (guint8)g_rand_int_range(random, 0, 256);
		insert_bytes(b, at, &byte, 1);
		return;
	case 2:
		count = (guint)g_rand_int_range(random, 1, 32);
		if (b->len)
			g_byte_array_remove_range(b, at,
						  MIN(b->len - at, count));
		return;
	case 3:
		token = tokens[g_rand_int_range(random, 0,
						G_N_ELEMENTS(tokens))];
		insert_bytes(b, at, token, strlen(token));
		return;
	case 4:
		insert_from_corpus(b, at, random, corpus);
		return;
	default:
		g_byte_array_set_size(b, at);
	}
}

static void run_input(const struct fuzz_target *t, const guint8 *data,
		      gsize len, const char *last)
{
	g_file_set_contents_full(last, (const char *)data, (gssize)len,
				 G_FILE_SET_CONTENTS_NONE, 0600, NULL);
	t->run(data, len);
}

static void run_target(const struct fuzz_target *t, const char *folder,
		       guint runs)
{
	GPtrArray *corpus = load_corpus(folder, t->name);
	GRand *random = g_rand_new_with_seed(1);
	char *last =
		g_strdup_printf("%s/fuzz-last-%s", g_get_tmp_dir(), t->name);

	for (guint i = 0; i < corpus->len; i++) {
		gsize len;
		const guint8 *data = g_bytes_get_data(corpus->pdata[i], &len);

		run_input(t, data, len, last);
	}
	for (guint i = 0; corpus->len && i < runs; i++) {
		gsize len;
		const guint8 *data =
			g_bytes_get_data(corpus->pdata[i % corpus->len], &len);
		GByteArray *b = g_byte_array_new();

		g_byte_array_append(b, data, (guint)len);
		for (int k = g_rand_int_range(random, 1, MUTATIONS_MAX); k; k--)
			mutate_input(b, random, corpus);
		run_input(t, b->data, b->len, last);
		g_byte_array_free(b, TRUE);
	}
	printf("%s: %u inputs of the corpus, %u mutations\n", t->name,
	       corpus->len, corpus->len ? runs : 0);
	g_ptr_array_set_free_func(corpus, (GDestroyNotify)g_bytes_unref);
	g_ptr_array_free(corpus, TRUE);
	g_rand_free(random);
	g_free(last);
}

int main(int argc, char **argv)
{
	guint runs = argc > 2 ? (guint)strtoul(argv[2], NULL, 10) : 0;

	if (argc < 3) {
		fprintf(stderr, "usage: replay CORPUS RUNS [TARGET]\n");
		return EXIT_FAILURE;
	}
	for (const struct fuzz_target *t = fuzz_targets; t->name; t++) {
		if (argc < 4 || !strcmp(argv[3], t->name))
			run_target(t, argv[1], runs);
	}
	return EXIT_SUCCESS;
}
