#ifndef NET_HTTP_HEADER_H
#define NET_HTTP_HEADER_H

/** One header of a request or reply; both texts are owned. */
struct http_header {
	char *name;
	char *value;
};

#endif
