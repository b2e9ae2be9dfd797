#ifndef NET_HTTP_HEADER_H
#define NET_HTTP_HEADER_H

/**
 * One header of a request or reply. The texts belong to the list that holds the
 * header.
 */
struct http_header {
	char *name;
	char *value;
};

#endif
