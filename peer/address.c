#include "address.h"

#include <netdb.h>
#include <string.h>

#include "common/error.h"

static bool
address_invalid(const char *text, GError **error)
{
	g_set_error(error, CS_ERROR, CS_ERROR_INVALID,
	    "%s is not a peer address; write it as 127.0.0.1:8201", text);
	return false;
}

bool
address_parse(const char *text, struct sockaddr_storage *address,
    socklen_t *len, GError **error)
{
	const struct addrinfo hints = {.ai_socktype = SOCK_STREAM,
	    .ai_flags = AI_NUMERICHOST | AI_NUMERICSERV | AI_PASSIVE};
	g_autofree char *host = g_strdup(text);
	char *colon = strrchr(host, ':');
	char *start = host;
	struct addrinfo *found;

	if (colon == NULL || colon == host || colon[1] == '\0')
		return address_invalid(text, error);
	*colon = '\0';
	if (host[0] == '[' && colon[-1] == ']') {
		colon[-1] = '\0';
		start++;
	}
	if (getaddrinfo(start, colon + 1, &hints, &found) != 0)
		return address_invalid(text, error);
	memcpy(address, found->ai_addr, found->ai_addrlen);
	*len = found->ai_addrlen;
	freeaddrinfo(found);
	return true;
}

static char *
address_format(const struct sockaddr_storage *address, socklen_t len)
{
	char host[NI_MAXHOST];
	char port[NI_MAXSERV];

	if (getnameinfo((const struct sockaddr *)address, len, host,
		sizeof(host), port, sizeof(port),
		NI_NUMERICHOST | NI_NUMERICSERV) != 0)
		return g_strdup("unknown");
	if (address->ss_family == AF_INET6)
		return g_strdup_printf("[%s]:%s", host, port);
	return g_strdup_printf("%s:%s", host, port);
}

char *
address_of_socket(int fd)
{
	struct sockaddr_storage address = {0};
	socklen_t len = sizeof(address);

	if (getsockname(fd, (struct sockaddr *)&address, &len) != 0)
		return g_strdup("unknown");
	return address_format(&address, len);
}

char *
address_of_peer(int fd)
{
	struct sockaddr_storage address = {0};
	socklen_t len = sizeof(address);

	if (getpeername(fd, (struct sockaddr *)&address, &len) != 0)
		return g_strdup("unknown");
	return address_format(&address, len);
}
