#ifndef NET_LEAF_REPLY_H
#define NET_LEAF_REPLY_H

#include <glib.h>

#include "net/http_header.h"

/** Complete HTTP reply of a leaf, with a reference count for one thread. */
struct leaf_reply {
	int refs;
	unsigned int status;
	/** Of struct http_header, in the order of arrival. */
	GArray *headers;
	GByteArray *body;
};

struct leaf_reply *leaf_reply_create(void);
struct leaf_reply *leaf_reply_ref(struct leaf_reply *r);
void leaf_reply_unref(struct leaf_reply *r);

/** Returns the value of the first header with a name, or NULL. */
const char *leaf_reply_header(const struct leaf_reply *r, const char *name);

#endif
