#ifndef TEST_STANDIN_HOST_LIST_H
#define TEST_STANDIN_HOST_LIST_H

/**
 * Stand-in for the platform's host list: GET on any path returns
 * {"hosts":[{"id","address","domain","state"}]}, and POST /control replaces
 * the document.
 */
struct host_list_standin;

/** Starts the host list. Returns NULL if it cannot listen. */
struct host_list_standin *host_list_standin_create(const char *address);

#endif
