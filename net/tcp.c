#include "net/tcp.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/counter.h"

/* Empty output buffers larger than this are freed instead of reused. */
#define OUTPUT_KEEP_BYTES 32768

struct net {
	struct ev_loop *loop;
	ev_prepare flush;
	GPtrArray *flush_queue; /* connections to flush in this iteration */
	GQueue finishing;	/* in STATE_FINISHING, oldest first */
	uint8_t read_buffer[NET_READ_BYTES];
};

typedef enum {
	STATE_CONNECTING,
	STATE_OPEN,
	STATE_FINISHING,
	STATE_CLOSED
} state_t;

struct tcp {
	net_t *net;
	int fd;
	state_t state;
	const tcp_events_t *events;
	void *owner;
	ev_io reader;
	ev_io writer;
	ev_timer linger;
	GByteArray *output;
	size_t written; /* bytes of output already sent */
	bool flush_pending;
	bool paused;
	bool shutdown_sent;
	int connect_error;
	int write_error; /* of the first write that failed; 0: none */
	GList finishing_link;
	size_t *output_total; /* see tcp_count_output(); may be NULL */
	size_t output_counted;
};

bool
net_address_parse(const char *text, net_address_t *address)
{
	char ip[INET_ADDRSTRLEN];
	struct in_addr in;
	unsigned port;
	char rest;

	if (sscanf(text, "%15[0-9.]:%5u%c", ip, &port, &rest) != 2 ||
	    inet_pton(AF_INET, ip, &in) != 1 || port == 0 || port > UINT16_MAX)
		return false;
	address->ip = ntohl(in.s_addr);
	address->port = (uint16_t)port;
	return true;
}

static struct sockaddr_in
socket_address(net_address_t address)
{
	return (struct sockaddr_in){
	    .sin_family = AF_INET,
	    .sin_port = htons(address.port),
	    .sin_addr.s_addr = htonl(address.ip),
	};
}

/* Failures are ignored: the connection works without these options. */
static void
socket_set_options(int fd, unsigned timeout)
{
	int on = 1;
	int idle = NET_KEEPALIVE_IDLE_S;
	int interval = NET_KEEPALIVE_INTERVAL_S;
	int probes = NET_KEEPALIVE_PROBES;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
	setsockopt(
	    fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

static void
output_count(tcp_t *connection, size_t bytes)
{
	if (connection->output_total == NULL)
		return;
	*connection->output_total += bytes - connection->output_counted;
	connection->output_counted = bytes;
}

static void
tcp_close_socket(tcp_t *connection)
{
	if (connection->state == STATE_CLOSED)
		return;
	if (connection->state == STATE_FINISHING)
		g_queue_unlink(
		    &connection->net->finishing, &connection->finishing_link);
	connection->state = STATE_CLOSED;
	ev_io_stop(connection->net->loop, &connection->reader);
	ev_io_stop(connection->net->loop, &connection->writer);
	ev_timer_stop(connection->net->loop, &connection->linger);
	close(connection->fd);
	connection->fd = -1;
	output_count(connection, 0);
	tcp_unref(connection);
}

static void
tcp_close_and_notify(tcp_t *connection, tcp_end_t end)
{
	bool notify = connection->state != STATE_FINISHING &&
		      connection->state != STATE_CLOSED;

	tcp_ref(connection);
	tcp_close_socket(connection);
	if (notify)
		connection->events->ended(connection->owner, end);
	tcp_unref(connection);
}

static void
output_clear(tcp_t *connection)
{
	connection->written = 0;
	if (connection->output->len > OUTPUT_KEEP_BYTES) {
		g_byte_array_unref(connection->output);
		connection->output = g_byte_array_new();
	} else {
		g_byte_array_set_size(connection->output, 0);
	}
	output_count(connection, 0);
}

static void
finish_timer_set(tcp_t *connection, double seconds)
{
	ev_timer_stop(connection->net->loop, &connection->linger);
	ev_timer_set(&connection->linger, seconds, 0);
	ev_timer_start(connection->net->loop, &connection->linger);
}

static void
shutdown_if_finishing(tcp_t *connection)
{
	if (connection->state == STATE_FINISHING &&
	    !connection->shutdown_sent) {
		connection->shutdown_sent = true;
		shutdown(connection->fd, SHUT_WR);
		finish_timer_set(connection, NET_LINGER_S);
	}
}

/* Writes as much output as the socket accepts. */
static void
tcp_flush(tcp_t *connection)
{
	while (connection->written < connection->output->len) {
		ssize_t n = send(connection->fd,
		    connection->output->data + connection->written,
		    connection->output->len - connection->written,
		    MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
			ev_io_start(connection->net->loop, &connection->writer);
			return;
		}
		if (n < 0) {
			/* Data received before the reset may contain a
			 * response, so the reader ends the connection, after
			 * that data. A paused connection isn't read, so it is
			 * closed here. */
			if (connection->write_error == 0)
				connection->write_error = errno;
			output_clear(connection);
			ev_io_stop(connection->net->loop, &connection->writer);
			if (connection->paused)
				tcp_close_and_notify(connection, TCP_RESET);
			return;
		}
		connection->written += (size_t)n;
		if (connection->state == STATE_FINISHING)
			finish_timer_set(
			    connection, NET_OUTPUT_STALL_MS / 1000.0);
	}
	ev_io_stop(connection->net->loop, &connection->writer);
	output_clear(connection);
	shutdown_if_finishing(connection);
	if (connection->state == STATE_OPEN && connection->events->drained)
		connection->events->drained(connection->owner);
}

static void
on_flush(struct ev_loop *loop, ev_prepare *watcher, int revents)
{
	net_t *net = watcher->data;

	for (guint i = 0; i < net->flush_queue->len; i++) {
		tcp_t *connection = g_ptr_array_index(net->flush_queue, i);

		connection->flush_pending = false;
		if (connection->state == STATE_OPEN ||
		    connection->state == STATE_FINISHING)
			tcp_flush(connection);
		tcp_unref(connection);
	}
	g_ptr_array_set_size(net->flush_queue, 0);
}

net_t *
net_create(struct ev_loop *loop)
{
	net_t *net = g_new0(net_t, 1);

	net->loop = loop;
	net->flush_queue = g_ptr_array_new();
	ev_prepare_init(&net->flush, on_flush);
	net->flush.data = net;
	ev_prepare_start(loop, &net->flush);
	return net;
}

static void tcp_close_finishing(tcp_t *connection, const char *reason);

void
net_destroy(net_t *net)
{
	on_flush(net->loop, &net->flush, 0);
	ev_prepare_stop(net->loop, &net->flush);
	while (!g_queue_is_empty(&net->finishing))
		tcp_close_finishing(g_queue_peek_head(&net->finishing), "exit");
	g_ptr_array_unref(net->flush_queue);
	g_free(net);
}

bool
net_has_unsent(const net_t *net)
{
	for (const GList *item = net->finishing.head; item != NULL;
	     item = item->next) {
		if (tcp_pending(item->data) > 0)
			return true;
	}
	return false;
}

size_t
net_n_finishing(const net_t *net)
{
	return net->finishing.length;
}

void
net_close_oldest_finishing(net_t *net)
{
	tcp_t *connection = g_queue_peek_head(&net->finishing);

	if (connection != NULL)
		tcp_close_finishing(connection, "limit");
}

struct ev_loop *
net_loop(const net_t *net)
{
	return net->loop;
}

static void
tcp_established(tcp_t *connection)
{
	int error = 0;
	socklen_t len = sizeof(error);

	if (getsockopt(connection->fd, SOL_SOCKET, SO_ERROR, &error, &len) !=
		0 ||
	    error != 0) {
		connection->connect_error = error;
		tcp_close_and_notify(connection, TCP_CONNECT_FAILED);
		return;
	}
	connection->state = STATE_OPEN;
	if (!connection->paused)
		ev_io_start(connection->net->loop, &connection->reader);
	if (connection->events->connected != NULL)
		connection->events->connected(connection->owner);
}

static void
on_writable(struct ev_loop *loop, ev_io *watcher, int revents)
{
	tcp_t *connection = watcher->data;

	tcp_ref(connection);
	if (connection->state == STATE_CONNECTING)
		tcp_established(connection);
	if (connection->state == STATE_OPEN ||
	    connection->state == STATE_FINISHING)
		tcp_flush(connection);
	tcp_unref(connection);
}

/*
 * The kind of an end that a read reports without an error. A write that failed
 * has taken the socket's error: the read then returns 0 after a reset as well.
 * EPIPE is the error of a reset that came after the peer's orderly end.
 */
static tcp_end_t
tcp_end_kind(const tcp_t *connection)
{
	return connection->write_error == 0 || connection->write_error == EPIPE
		   ? TCP_CLOSED_BY_PEER
		   : TCP_RESET;
}

static void
on_readable(struct ev_loop *loop, ev_io *watcher, int revents)
{
	tcp_t *connection = watcher->data;
	uint8_t *read_buffer = connection->net->read_buffer;
	ssize_t n = recv(connection->fd, read_buffer, NET_READ_BYTES, 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		tcp_close_and_notify(
		    connection, n == 0 ? tcp_end_kind(connection) : TCP_RESET);
		return;
	}
	if (connection->state == STATE_FINISHING) {
		counter_increment("input_discarded", NULL, NULL);
		return;
	}
	tcp_ref(connection);
	connection->events->received(connection->owner, read_buffer, (size_t)n);
	tcp_unref(connection);
}

/* Closes a finishing connection that the peer hasn't closed. */
static void
tcp_close_finishing(tcp_t *connection, const char *reason)
{
	if (tcp_pending(connection) > 0)
		counter_increment("output_discarded", "reason", reason);
	tcp_close_socket(connection);
}

static void
on_linger(struct ev_loop *loop, ev_timer *watcher, int revents)
{
	tcp_t *connection = watcher->data;
	size_t pending = tcp_pending(connection);

	/* After a stall the peer may have read, and be about to read more. */
	tcp_ref(connection);
	if (pending > 0)
		tcp_flush(connection);
	if (connection->state != STATE_CLOSED &&
	    (pending == 0 || tcp_pending(connection) == pending))
		tcp_close_finishing(connection, "linger");
	tcp_unref(connection);
}

static tcp_t *
tcp_create(
    net_t *net, int fd, state_t state, const tcp_events_t *events, void *owner)
{
	/* One reference for the creator, one for the loop. */
	tcp_t *connection = tcp_ref(g_rc_box_new0(tcp_t));

	connection->net = net;
	connection->fd = fd;
	connection->state = state;
	connection->events = events;
	connection->owner = owner;
	connection->output = g_byte_array_new();
	ev_io_init(&connection->reader, on_readable, fd, EV_READ);
	ev_set_priority(&connection->reader, NET_SOCKET_PRIORITY);
	ev_io_init(&connection->writer, on_writable, fd, EV_WRITE);
	ev_set_priority(&connection->writer, NET_SOCKET_PRIORITY);
	ev_timer_init(&connection->linger, on_linger, 0, 0);
	connection->reader.data = connection;
	connection->writer.data = connection;
	connection->linger.data = connection;
	socket_set_options(fd, state == STATE_CONNECTING ? NET_USER_TIMEOUT_MS
							 : NET_OUTPUT_STALL_MS);
	if (state == STATE_CONNECTING)
		ev_io_start(net->loop, &connection->writer);
	else
		ev_io_start(net->loop, &connection->reader);
	return connection;
}

tcp_t *
tcp_connect(
    net_t *net, net_address_t address, const tcp_events_t *events, void *owner)
{
	struct sockaddr_in remote = socket_address(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return NULL;
	if (connect(fd, (struct sockaddr *)&remote, sizeof(remote)) != 0 &&
	    errno != EINPROGRESS) {
		int error = errno;

		close(fd);
		errno = error;
		return NULL;
	}
	return tcp_create(net, fd, STATE_CONNECTING, events, owner);
}

tcp_t *
tcp_adopt(net_t *net, int fd, const tcp_events_t *events, void *owner)
{
	return tcp_create(net, fd, STATE_OPEN, events, owner);
}

tcp_t *
tcp_ref(tcp_t *connection)
{
	return g_rc_box_acquire(connection);
}

static void
tcp_clear(gpointer data)
{
	g_byte_array_unref(((tcp_t *)data)->output);
}

void
tcp_unref(tcp_t *connection)
{
	g_rc_box_release_full(connection, tcp_clear);
}

void
tcp_set_owner(tcp_t *connection, const tcp_events_t *events, void *owner)
{
	connection->events = events;
	connection->owner = owner;
}

void
tcp_send(tcp_t *connection, const void *data, size_t len)
{
	if (connection->state == STATE_CLOSED || len == 0)
		return;
	g_byte_array_append(connection->output, data, (guint)len);
	output_count(connection, connection->output->len);
	if (connection->flush_pending ||
	    connection->state == STATE_CONNECTING ||
	    ev_is_active(&connection->writer))
		return;
	connection->flush_pending = true;
	g_ptr_array_add(connection->net->flush_queue, tcp_ref(connection));
}

void
tcp_count_output(tcp_t *connection, size_t *total)
{
	output_count(connection, 0);
	connection->output_total = total;
	output_count(connection,
	    connection->state == STATE_CLOSED ? 0 : connection->output->len);
}

size_t
tcp_pending(const tcp_t *connection)
{
	return connection->output->len - connection->written;
}

void
tcp_pause(tcp_t *connection, bool paused)
{
	connection->paused = paused;
	if (connection->state != STATE_OPEN)
		return;
	if (paused)
		ev_io_stop(connection->net->loop, &connection->reader);
	else
		ev_io_start(connection->net->loop, &connection->reader);
}

void
tcp_close(tcp_t *connection)
{
	tcp_close_socket(connection);
}

void
tcp_abort(tcp_t *connection)
{
	struct linger reset = {1, 0};

	if (connection->state != STATE_CLOSED)
		setsockopt(connection->fd, SOL_SOCKET, SO_LINGER, &reset,
		    sizeof(reset));
	tcp_close_socket(connection);
}

void
tcp_finish(tcp_t *connection)
{
	if (connection->state != STATE_OPEN) {
		tcp_close_socket(connection);
		return;
	}
	connection->state = STATE_FINISHING;
	connection->finishing_link.data = connection;
	g_queue_push_tail_link(
	    &connection->net->finishing, &connection->finishing_link);
	finish_timer_set(connection, NET_OUTPUT_STALL_MS / 1000.0);
	ev_io_start(connection->net->loop, &connection->reader);
	if (tcp_pending(connection) == 0)
		shutdown_if_finishing(connection);
}

int
tcp_connect_error(const tcp_t *connection)
{
	return connection->connect_error;
}

size_t
tcp_unread(const tcp_t *connection)
{
	int n = 0;

	if (connection->state != STATE_OPEN ||
	    ioctl(connection->fd, FIONREAD, &n) != 0)
		return 0;
	return (size_t)MAX(n, 0);
}

size_t
tcp_undelivered(const tcp_t *connection)
{
	int n = 0;

	if (connection->fd < 0 || ioctl(connection->fd, SIOCOUTQ, &n) != 0)
		n = 0;
	return tcp_pending(connection) + (size_t)MAX(n, 0);
}

bool
tcp_check_end(tcp_t *connection)
{
	char byte;
	ssize_t n;

	if (connection->state != STATE_OPEN)
		return connection->state == STATE_CLOSED;
	n = recv(connection->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	if (n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK ||
				   errno == EINTR)))
		return false;
	tcp_close_and_notify(
	    connection, n == 0 ? tcp_end_kind(connection) : TCP_RESET);
	return true;
}

bool
tcp_is_stale(const tcp_t *connection)
{
	char byte;

	if (connection->state != STATE_OPEN)
		return true;
	return recv(connection->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 ||
	       (errno != EAGAIN && errno != EWOULDBLOCK);
}
