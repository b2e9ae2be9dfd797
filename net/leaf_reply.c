#include "net/leaf_reply.h"

static void handle_clear_header(gpointer data)
{
	struct http_header *h = data;

	g_free(h->name);
	g_free(h->value);
}

struct leaf_reply *leaf_reply_create(void)
{
	struct leaf_reply *r = g_new0(struct leaf_reply, 1);

	r->refs = 1;
	r->headers = g_array_new(FALSE, TRUE, sizeof(struct http_header));
	g_array_set_clear_func(r->headers, handle_clear_header);
	r->body = g_byte_array_new();
	return r;
}

struct leaf_reply *leaf_reply_ref(struct leaf_reply *r)
{
	r->refs++;
	return r;
}

void leaf_reply_unref(struct leaf_reply *r)
{
	if (!r || --r->refs > 0)
		return;
	g_array_free(r->headers, TRUE);
	g_byte_array_free(r->body, TRUE);
	g_free(r);
}

const char *leaf_reply_header(const struct leaf_reply *r, const char *name)
{
	for (guint i = 0; i < r->headers->len; i++) {
		const struct http_header *h =
			&g_array_index(r->headers, struct http_header, i);

		if (!g_ascii_strcasecmp(h->name, name))
			return h->value;
	}
	return NULL;
}
