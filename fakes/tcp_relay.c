#include "tcp_relay.h"

#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <poll.h>
#include <pthread.h>
#include <stdbool.h>
#include <sys/socket.h>
#include <unistd.h>

#define POLL_MS 20 /* longest time until a changed mode is noticed */

/* Bytes read from one side that the other has not taken yet. */
typedef struct {
	char data[16384];
	size_t len;
	size_t offset;
	bool ended;
} buffer_t;

typedef struct {
	int fds[2];
	int source;
	bool failed;
	buffer_t buffers[2]; /* [i]: from fds[i] to fds[1 - i] */
} link_t;

struct tcp_relay {
	pthread_t thread;
	tcp_relay_source_t source;
	void *user;
	int listener;
	int port;
	int to_port;
	int modes[RELAY_SOURCES];
	int stopping;
	GPtrArray *links;
};

static struct sockaddr_in
loopback(int port)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
	    .sin_port = htons((uint16_t)port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};

	return address;
}

static void
link_free(gpointer data)
{
	link_t *link = data;
	struct linger reset = {.l_onoff = 1, .l_linger = 0};

	for (int i = 0; i < 2; i++) {
		if (link->failed)
			setsockopt(link->fds[i], SOL_SOCKET, SO_LINGER, &reset,
			    sizeof(reset));
		close(link->fds[i]);
	}
	g_free(link);
}

static tcp_relay_mode_t
relay_mode(const tcp_relay_t *relay, int source)
{
	return (tcp_relay_mode_t)__atomic_load_n(
	    &relay->modes[source], __ATOMIC_ACQUIRE);
}

static void
relay_accept(tcp_relay_t *relay)
{
	struct sockaddr_in from = {0};
	struct sockaddr_in to = loopback(relay->to_port);
	socklen_t size = sizeof(from);
	int fd = accept(relay->listener, (struct sockaddr *)&from, &size);
	link_t *link;

	if (fd < 0)
		return;
	link = g_new0(link_t, 1);
	link->fds[0] = fd;
	link->fds[1] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (relay->source != NULL)
		link->source = relay->source(
		    relay->user, ntohs(from.sin_port), relay->port);
	link->failed =
	    relay_mode(relay, link->source) == RELAY_DROP ||
	    connect(link->fds[1], (struct sockaddr *)&to, sizeof(to)) < 0;
	for (int i = 0; i < 2; i++) {
		fcntl(link->fds[i], F_SETFD, FD_CLOEXEC);
		fcntl(link->fds[i], F_SETFL, O_NONBLOCK);
	}
	g_ptr_array_add(relay->links, link);
}

static void
link_move(link_t *link, int from, short revents)
{
	buffer_t *buffer = &link->buffers[from];
	ssize_t n;

	if (buffer->len == 0 && !buffer->ended &&
	    (revents & (POLLIN | POLLHUP | POLLERR))) {
		n = recv(
		    link->fds[from], buffer->data, sizeof(buffer->data), 0);
		if (n < 0 && errno != EAGAIN)
			link->failed = true;
		buffer->ended = n == 0;
		buffer->len = n > 0 ? (size_t)n : 0;
		buffer->offset = 0;
		if (buffer->ended)
			shutdown(link->fds[1 - from], SHUT_WR);
	}
	if (buffer->len == 0)
		return;
	n = send(link->fds[1 - from], buffer->data + buffer->offset,
	    buffer->len - buffer->offset, MSG_NOSIGNAL);
	if (n < 0 && errno != EAGAIN)
		link->failed = true;
	buffer->offset += n > 0 ? (size_t)n : 0;
	if (buffer->offset == buffer->len)
		buffer->len = 0;
}

static short
link_events(const link_t *link, int side)
{
	return (
	    short)((link->buffers[side].len == 0 && !link->buffers[side].ended
			   ? POLLIN
			   : 0) |
		   (link->buffers[1 - side].len > 0 ? POLLOUT : 0));
}

static void
relay_poll(tcp_relay_t *relay)
{
	guint n = relay->links->len;
	struct pollfd *polls = g_new0(struct pollfd, 1 + 2 * (size_t)n);

	polls[0] = (struct pollfd){relay->listener, POLLIN, 0};
	for (guint i = 0; i < 2 * n; i++) {
		link_t *link = g_ptr_array_index(relay->links, i / 2);
		short events = link_events(link, (int)(i % 2));

		polls[i + 1].fd = -1;
		if (events != 0 &&
		    relay_mode(relay, link->source) == RELAY_PASS)
			polls[i + 1] =
			    (struct pollfd){link->fds[i % 2], events, 0};
	}
	poll(polls, 1 + 2 * (nfds_t)n, POLL_MS);
	for (guint i = n; i-- > 0;) {
		link_t *link = g_ptr_array_index(relay->links, i);

		if (relay_mode(relay, link->source) == RELAY_PASS) {
			link_move(link, 0, polls[2 * i + 1].revents);
			link_move(link, 1, polls[2 * i + 2].revents);
		}
		if (relay_mode(relay, link->source) == RELAY_DROP)
			link->failed = true;
		if (link->failed ||
		    (link->buffers[0].ended && link->buffers[1].ended &&
			link->buffers[0].len + link->buffers[1].len == 0))
			g_ptr_array_remove_index_fast(relay->links, i);
	}
	if (polls[0].revents & POLLIN)
		relay_accept(relay);
	g_free(polls);
}

static void *
relay_run(void *user)
{
	tcp_relay_t *relay = user;

	while (!__atomic_load_n(&relay->stopping, __ATOMIC_ACQUIRE))
		relay_poll(relay);
	return NULL;
}

tcp_relay_t *
tcp_relay_create(int to_port, tcp_relay_source_t source, void *user)
{
	tcp_relay_t *relay = g_new0(tcp_relay_t, 1);
	struct sockaddr_in address = loopback(0);
	socklen_t size = sizeof(address);

	relay->to_port = to_port;
	relay->source = source;
	relay->user = user;
	relay->links = g_ptr_array_new_with_free_func(link_free);
	relay->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	ck_assert_int_eq(
	    bind(relay->listener, (struct sockaddr *)&address, size), 0);
	ck_assert_int_eq(listen(relay->listener, 512), 0);
	getsockname(relay->listener, (struct sockaddr *)&address, &size);
	relay->port = ntohs(address.sin_port);
	ck_assert_int_eq(
	    pthread_create(&relay->thread, NULL, relay_run, relay), 0);
	return relay;
}

void
tcp_relay_destroy(tcp_relay_t *relay)
{
	__atomic_store_n(&relay->stopping, 1, __ATOMIC_RELEASE);
	pthread_join(relay->thread, NULL);
	g_ptr_array_free(relay->links, TRUE);
	close(relay->listener);
	g_free(relay);
}

int
tcp_relay_port(const tcp_relay_t *relay)
{
	return relay->port;
}

void
tcp_relay_set(tcp_relay_t *relay, int source, tcp_relay_mode_t mode)
{
	__atomic_store_n(&relay->modes[source], (int)mode, __ATOMIC_RELEASE);
}
