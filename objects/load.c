#include "objects/objects.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "common/errors.h"
#include "objects/build.h"
#include "objects/fault.h"

static int finish_load(struct set_source *sources, size_t count,
		       struct object_set **out, struct fault_list *faults)
{
	struct object_set *set = build_set(sources, count, faults);

	if (!faults->count)
		check_set(set, sources, count, faults);
	for (size_t i = 0; i < count; i++)
		tree_destroy(sources[i].root);
	if (faults->count) {
		object_set_unref(set);
		return -faults->items[0].code;
	}
	*out = set;
	return 0;
}

static int parse_source(const char *text, size_t len, const char *file,
			struct set_source *source, struct fault_list *faults)
{
	char message[256];
	int line = 0;
	int ret;

	source->file = file;
	ret = tree_parse_toml(text, len, &source->root, &line, message,
			      sizeof(message));
	if (ret)
		fault_add(faults, file, line, -ret, "file", "%s", message);
	return ret;
}

int object_set_parse(const char *text, const char *name,
		     struct object_set **out, struct fault_list *faults)
{
	struct set_source source;
	int ret = parse_source(text, strlen(text), name, &source, faults);

	if (ret)
		return ret;
	return finish_load(&source, 1, out, faults);
}

int object_set_decode(const char *json, size_t len, struct object_set **out,
		      struct fault_list *faults)
{
	struct set_source source = { .file = "set" };
	char message[256];
	int line = 0;
	int ret;

	ret = tree_parse_json(json, len, &source.root, &line, message,
			      sizeof(message));
	if (ret) {
		fault_add(faults, "set", line, -ret, "set", "%s", message);
		return ret;
	}
	if (source.root->type != TREE_TABLE) {
		fault_add(faults, "set", 0, ERR_OBJ_TYPE, "set",
			  "must be an object");
		tree_destroy(source.root);
		return -ERR_OBJ_TYPE;
	}
	return finish_load(&source, 1, out, faults);
}

static int compare_paths(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static GPtrArray *list_files(const char *path)
{
	GPtrArray *files = g_ptr_array_new_with_free_func(g_free);
	const char *name;
	GDir *dir;

	if (!g_file_test(path, G_FILE_TEST_IS_DIR)) {
		g_ptr_array_add(files, g_strdup(path));
		return files;
	}
	dir = g_dir_open(path, 0, NULL);
	while (dir && (name = g_dir_read_name(dir))) {
		if (g_str_has_suffix(name, ".toml"))
			g_ptr_array_add(files,
					g_build_filename(path, name, NULL));
	}
	if (dir)
		g_dir_close(dir);
	g_ptr_array_sort(files, compare_paths);
	return files;
}

int object_set_load(const char *path, struct object_set **out,
		    struct fault_list *faults)
{
	GPtrArray *files = list_files(path);
	struct set_source *sources = g_new0(struct set_source, files->len + 1);
	size_t count = 0;
	int ret = 0;

	if (!files->len)
		fault_add(faults, path, 0, ERR_OBJ_FILE, "file",
			  "no *.toml file in the folder");
	for (guint i = 0; i < files->len; i++) {
		const char *file = g_ptr_array_index(files, i);
		GError *error = NULL;
		char *text;
		gsize len;

		if (!g_file_get_contents(file, &text, &len, &error)) {
			fault_add(faults, file, 0, ERR_OBJ_FILE, "file", "%s",
				  error->message);
			g_error_free(error);
			continue;
		}
		if (!parse_source(text, len, file, &sources[count], faults))
			count++;
		g_free(text);
	}
	if (count)
		ret = finish_load(sources, count, out, faults);
	else
		ret = -faults->items[0].code;
	g_free(sources);
	g_ptr_array_free(files, TRUE);
	return ret;
}
