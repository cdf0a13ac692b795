#ifndef TESTS_SOCKETS_H
#define TESTS_SOCKETS_H

#include <arpa/inet.h>
#include <check.h>
#include <sys/socket.h>

/* Sockets on loopback. */

static inline struct sockaddr_in
loopback_address(int port)
{
	return (struct sockaddr_in){.sin_family = AF_INET,
	    .sin_port = htons((uint16_t)port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
}

static inline int
loopback_connect(int port)
{
	struct sockaddr_in to = loopback_address(port);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
	return fd;
}

/* Listens on a free port. Child processes don't inherit the socket. */
static inline int
loopback_listen(int backlog, int *port)
{
	struct sockaddr_in at = loopback_address(0);
	socklen_t len = sizeof(at);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	ck_assert_int_eq(bind(fd, (struct sockaddr *)&at, len), 0);
	ck_assert_int_eq(listen(fd, backlog), 0);
	getsockname(fd, (struct sockaddr *)&at, &len);
	*port = ntohs(at.sin_port);
	return fd;
}

#endif
