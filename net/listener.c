#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/tcp.h"

/* Connections that the kernel queues until they are accepted. */
#define LISTEN_BACKLOG 512

/* Connections accepted per loop iteration, so that other events get a turn. */
#define ACCEPT_BATCH 16

struct listener {
	net_t *net;
	ev_io watcher;
	void (*accepted)(void *owner, int fd);
	void *owner;
};

static void
on_acceptable(struct ev_loop *loop, ev_io *watcher, int revents)
{
	listener_t *listener = watcher->data;

	for (int i = 0; i < ACCEPT_BATCH; i++) {
		int fd = accept4(
		    watcher->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd < 0)
			return;
		listener->accepted(listener->owner, fd);
	}
}

listener_t *
listener_create(net_t *net, net_address_t address,
    void (*accepted)(void *owner, int fd), void *owner)
{
	struct sockaddr_in local = {
	    .sin_family = AF_INET,
	    .sin_port = htons(address.port),
	    .sin_addr.s_addr = htonl(address.ip),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int on = 1;
	listener_t *listener;

	if (fd < 0)
		return NULL;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&local, sizeof(local)) != 0 ||
	    listen(fd, LISTEN_BACKLOG) != 0) {
		int saved_errno = errno;

		close(fd);
		errno = saved_errno;
		return NULL;
	}
	listener = g_new0(listener_t, 1);
	listener->net = net;
	listener->accepted = accepted;
	listener->owner = owner;
	ev_io_init(&listener->watcher, on_acceptable, fd, EV_READ);
	listener->watcher.data = listener;
	ev_io_start(net_loop(net), &listener->watcher);
	return listener;
}

void
listener_destroy(listener_t *listener)
{
	if (listener == NULL)
		return;
	ev_io_stop(net_loop(listener->net), &listener->watcher);
	close(listener->watcher.fd);
	g_free(listener);
}
