#include "nutmegpickd/organisation_metrics.h"

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include "common/errors.h"

/* Organisations with series of their own. */
#define SHOWN_MAX 32
/*
 * Limit of organisations that are counted one by one, since each version of the
 * configuration may name new ones.
 */
#define COUNTED_MAX 10000
/* Answers are counted by the first digit of the status. */
#define STATUS_CLASSES 6

struct organisation_series {
	/** NULL for those beyond COUNTED_MAX. */
	char *name;
	uint64_t total;
	uint64_t statuses[STATUS_CLASSES];
};

struct refusal_cause {
	int code;
	const char *name;
	uint64_t count;
};

/* The router thread updates what follows and another thread renders it. */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static GHashTable *series;
static struct organisation_series uncounted;
static struct refusal_cause causes[] = {
	{ ERR_ROUTE_KEY_MISSING, "missing" },
	{ ERR_ROUTE_KEY_MALFORMED, "malformed" },
	{ ERR_ROUTE_KEY_UNKNOWN, "unknown" },
	{ ERR_ROUTE_KEY_REVOKED, "revoked" },
	{ ERR_ROUTE_KEYS_STALE, "stale" },
	{ ERR_ROUTE_ORGANISATION, "foreign" },
};

static struct organisation_series *find_series(const char *name)
{
	struct organisation_series *s;

	if (!series)
		series = g_hash_table_new(g_str_hash, g_str_equal);
	s = g_hash_table_lookup(series, name);
	if (s)
		return s;
	if (g_hash_table_size(series) >= COUNTED_MAX)
		return &uncounted;
	s = g_new0(struct organisation_series, 1);
	s->name = g_strdup(name);
	g_hash_table_insert(series, s->name, s);
	return s;
}

static void note_refusal(int code)
{
	for (size_t i = 0; i < G_N_ELEMENTS(causes); i++)
		causes[i].count += causes[i].code == -code;
}

void organisation_metrics_note_answer(const char *organisation,
				      unsigned int status, int code)
{
	struct organisation_series *s;

	if (!organisation && !code)
		return;
	pthread_mutex_lock(&lock);
	note_refusal(code);
	if (organisation) {
		s = find_series(organisation);
		s->total++;
		s->statuses[MIN(status / 100, STATUS_CLASSES - 1)]++;
	}
	pthread_mutex_unlock(&lock);
}

static gint compare_totals(gconstpointer a, gconstpointer b)
{
	const struct organisation_series *x =
		*(const struct organisation_series *const *)a;
	const struct organisation_series *y =
		*(const struct organisation_series *const *)b;

	return x->total < y->total ? 1 : x->total > y->total ? -1 : 0;
}

/* Appends a label value; quotes and backslashes would end it early. */
static void append_label(GString *out, const char *text)
{
	for (; *text; text++) {
		if (strchr("\"\\", *text))
			g_string_append_c(out, '\\');
		g_string_append_c(out, *text);
	}
}

static void render_shown(GString *out, const struct organisation_series *s)
{
	for (int i = 1; i < STATUS_CLASSES; i++) {
		g_string_append(
			out,
			"nutmegpick_organisation_answers_total{organisation=\"");
		append_label(out, s->name);
		g_string_append_printf(out,
				       "\",status=\"%dxx\"} %" G_GUINT64_FORMAT
				       "\n",
				       i, s->statuses[i]);
	}
}

static void add_series(struct organisation_series *sum,
		       const struct organisation_series *s)
{
	for (int i = 0; i < STATUS_CLASSES; i++)
		sum->statuses[i] += s->statuses[i];
}

/* A gauge: an organisation leaves the rest when it is shown by itself. */
static void render_rest(GString *out, const struct organisation_series *rest,
			guint organisations)
{
	g_string_append_printf(out,
			       "# TYPE nutmegpick_organisations_rest gauge\n"
			       "nutmegpick_organisations_rest %u\n"
			       "# TYPE nutmegpick_organisations_rest_answers "
			       "gauge\n",
			       organisations);
	for (int i = 1; i < STATUS_CLASSES; i++)
		g_string_append_printf(out,
				       "nutmegpick_organisations_rest_answers"
				       "{status=\"%dxx\"} %" G_GUINT64_FORMAT
				       "\n",
				       i, rest->statuses[i]);
}

static void render_organisations(GString *out)
{
	GPtrArray *list = g_ptr_array_new();
	struct organisation_series rest = uncounted;
	GHashTableIter iter;
	gpointer s;

	g_hash_table_iter_init(&iter, series);
	while (g_hash_table_iter_next(&iter, NULL, &s))
		g_ptr_array_add(list, s);
	g_ptr_array_sort(list, compare_totals);
	g_string_append(
		out, "# TYPE nutmegpick_organisation_answers_total counter\n");
	for (guint i = 0; i < list->len; i++) {
		if (i < SHOWN_MAX)
			render_shown(out, list->pdata[i]);
		else
			add_series(&rest, list->pdata[i]);
	}
	render_rest(out, &rest, list->len - MIN(list->len, (guint)SHOWN_MAX));
	g_ptr_array_free(list, TRUE);
}

static void render_causes(GString *out)
{
	bool is_any = false;

	for (size_t i = 0; i < G_N_ELEMENTS(causes); i++)
		is_any = is_any || causes[i].count;
	if (!is_any)
		return;
	g_string_append(out,
			"# TYPE nutmegpick_caller_refusals_total counter\n");
	for (size_t i = 0; i < G_N_ELEMENTS(causes); i++)
		g_string_append_printf(out,
				       "nutmegpick_caller_refusals_total"
				       "{cause=\"%s\"} %" G_GUINT64_FORMAT "\n",
				       causes[i].name, causes[i].count);
}

void organisation_metrics_render(GString *out)
{
	pthread_mutex_lock(&lock);
	if (series)
		render_organisations(out);
	render_causes(out);
	pthread_mutex_unlock(&lock);
}
