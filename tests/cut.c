#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "platform_world.h"

/*
 * Preloaded into an instance: while the file CUT_FILE exists, connections to
 * targets go to the port that it holds. All stand-ins but the store, at
 * CUT_STORE_PORT, are targets.
 */
static int
cut_port(void)
{
	FILE *file = fopen(getenv("CUT_FILE"), "r");
	int port = 0;

	if (file == NULL)
		return 0;
	if (fscanf(file, "%d", &port) != 1)
		port = 0;
	fclose(file);
	return port;
}

int
connect(int fd, const struct sockaddr *address, socklen_t len)
{
	static int (*real)(int, const struct sockaddr *, socklen_t);
	const char *store_port = getenv("CUT_STORE_PORT");
	struct sockaddr_in to;
	int port;

	if (real == NULL)
		real = (int (*)(int, const struct sockaddr *, socklen_t))dlsym(
		    RTLD_NEXT, "connect");
	if (len != sizeof(to) || store_port == NULL)
		return real(fd, address, len);
	to = *(const struct sockaddr_in *)(const void *)address;
	if (ntohl(to.sin_addr.s_addr) == INADDR_LOOPBACK &&
	    ntohs(to.sin_port) != atoi(store_port)) {
		port = cut_port();
		if (port != 0)
			to.sin_port = htons((uint16_t)port);
	}
	return real(fd, (struct sockaddr *)&to, len);
}
