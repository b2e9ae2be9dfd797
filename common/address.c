#include "common/address.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

#include "common/errors.h"

int address_parse(const char *text, struct sockaddr_in *out)
{
	const char *colon = strrchr(text, ':');
	char ip[INET_ADDRSTRLEN];
	guint64 port;

	memset(out, 0, sizeof(*out));
	if (!colon || (size_t)(colon - text) >= sizeof(ip) ||
	    !g_ascii_string_to_unsigned(colon + 1, 10, 0, 65535, &port, NULL))
		return -ERR_INVAL;
	g_strlcpy(ip, text, (gsize)(colon - text) + 1);
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, ip, &out->sin_addr) == 1 ? 0 : -ERR_INVAL;
}

bool address_is_peer(const struct sockaddr_in *a)
{
	in_addr_t ip = ntohl(a->sin_addr.s_addr);

	return a->sin_port && ip != INADDR_ANY && ip != INADDR_BROADCAST &&
	       !IN_MULTICAST(ip);
}
