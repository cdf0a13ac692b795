#include "peer/server.h"

#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <sodium.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "address.h"
#include "common/clock.h"
#include "common/counter.h"
#include "common/error.h"
#include "common/log.h"
#include "common/thread.h"
#include "connection.h"
#include "dispatch.h"

#define LISTEN_BACKLOG 128
/* One window for each process start that called lately; 400 nodes planned. */
#define WINDOW_LIMIT 2048

enum { POLL_WAKE, POLL_LISTEN, POLL_FIXED };

struct peer_server {
	dispatch_t dispatch;
	char *address;
	int listen_fd;
	int wake[2]; /* written to stop the thread */
	pthread_t thread;
	GPtrArray *connections;
	time_us_t logged_at;
	int64_t unlogged; /* refusals since the last log line */
};

static void
server_refuse(peer_server_t *server, const connection_t *connection,
    const char *reason, const char *sender)
{
	time_us_t now = clock_now();
	g_autofree char *from = NULL;

	counter_increment("peer_refused", "reason", reason);
	server->unlogged++;
	if (server->logged_at != 0 && now - server->logged_at < US_PER_S)
		return;
	from = address_of_peer(connection->fd);
	log_event(LOG_WARNING, "peer_refused", LOG_S("reason", reason),
	    LOG_S("from", from), LOG_S("sender", sender),
	    LOG_I("count", server->unlogged));
	server->logged_at = now;
	server->unlogged = 0;
}

static size_t
server_unread(const peer_server_t *server)
{
	size_t sum = 0;

	for (guint i = 0; i < server->connections->len; i++) {
		const connection_t *connection =
		    g_ptr_array_index(server->connections, i);

		if (connection->out != NULL)
			sum += connection->out->len;
	}
	return sum;
}

static const char *
state_reason(connection_state_t state)
{
	switch (state) {
	case CONNECTION_TRUNCATED:
		return "truncated";
	case CONNECTION_OVERSIZED:
		return "oversized";
	case CONNECTION_MALFORMED:
		return "malformed";
	case CONNECTION_OPEN:
	case CONNECTION_RECORD:
	case CONNECTION_CLOSED:
		break;
	}
	return NULL;
}

/* Runs the record that the connection holds. Returns false to close it. */
static bool
connection_run(peer_server_t *server, connection_t *connection, time_us_t now)
{
	dispatch_result_t result = dispatch_record(&server->dispatch,
	    connection->record->data, connection->record->len);
	connection_state_t state;

	g_byte_array_set_size(connection->record, 0);
	connection->authentic |= result.authentic;
	if (result.refused != NULL) {
		server_refuse(
		    server, connection, result.refused, result.sender.name);
		connection->close_after = true;
	}
	if (result.reply == NULL)
		return false;
	if (server_unread(server) + result.reply->len > PEER_UNREAD_LIMIT) {
		server_refuse(server, connection, "memory", result.sender.name);
		g_byte_array_unref(result.reply);
		return false;
	}
	state = connection_send(
	    connection, result.reply->data, result.reply->len, now);
	g_byte_array_unref(result.reply);
	return state == CONNECTION_OPEN;
}

/* Serves one ready connection. Returns false to close it. */
static bool
connection_serve(peer_server_t *server, connection_t *connection, time_us_t now)
{
	connection_state_t state;
	const char *reason;

	if (connection->out != NULL)
		return connection_write(connection, now) == CONNECTION_OPEN;
	state = connection_read(connection, DISPATCH_RECORD_BYTES, now);
	if (state == CONNECTION_RECORD)
		return connection_run(server, connection, now);
	reason = state_reason(state);
	if (reason != NULL)
		server_refuse(server, connection, reason, "");
	return state == CONNECTION_OPEN;
}

/* Returns the time at which the connection is closed if nothing happens, and
 * the reason that is counted then, or NULL for none. */
static time_us_t
connection_deadline(const connection_t *connection, const char **reason)
{
	*reason = NULL;
	if (connection->out != NULL) {
		*reason = "slow_reader";
		return connection->out_at + PEER_WRITE_US;
	}
	if (connection->record_at != 0) {
		*reason = "truncated";
		return connection->record_at + PEER_RECORD_US;
	}
	if (!connection->authentic)
		return connection->opened_at + PEER_STRANGER_US;
	return connection->active_at + PEER_IDLE_US;
}

/* Closes connections past their deadline. Returns the next deadline. */
static time_us_t
server_expire(peer_server_t *server, time_us_t now)
{
	time_us_t next = now + PEER_IDLE_US;

	for (guint i = server->connections->len; i-- > 0;) {
		const connection_t *connection =
		    g_ptr_array_index(server->connections, i);
		const char *reason;
		time_us_t deadline = connection_deadline(connection, &reason);

		if (deadline > now) {
			next = MIN(next, deadline);
			continue;
		}
		if (reason != NULL)
			server_refuse(server, connection, reason, "");
		g_ptr_array_remove_index_fast(server->connections, i);
	}
	return next;
}

/* Makes room for a connection: first those without an authentic call go. */
static void
server_evict(peer_server_t *server)
{
	const connection_t *victim = NULL;
	guint victim_index = 0;

	for (guint i = 0; i < server->connections->len; i++) {
		const connection_t *connection =
		    g_ptr_array_index(server->connections, i);

		if (victim == NULL ||
		    (!connection->authentic && victim->authentic) ||
		    (connection->authentic == victim->authentic &&
			connection->active_at < victim->active_at)) {
			victim = connection;
			victim_index = i;
		}
	}
	if (victim == NULL)
		return;
	server_refuse(server, victim, "connections", "");
	g_ptr_array_remove_index_fast(server->connections, victim_index);
}

static void
server_accept(peer_server_t *server, time_us_t now)
{
	const int on = 1;
	int fd = accept4(
	    server->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (fd < 0) {
		/* Out of descriptors: poll would return at once for ever. */
		if (errno == EMFILE || errno == ENFILE)
			server_evict(server);
		return;
	}
	if (server->connections->len >= PEER_CONNECTION_LIMIT)
		server_evict(server);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	g_ptr_array_add(server->connections, connection_create(fd, now));
}

static nfds_t
server_poll_set(const peer_server_t *server, struct pollfd *fds)
{
	fds[POLL_WAKE] = (struct pollfd){server->wake[0], POLLIN, 0};
	fds[POLL_LISTEN] = (struct pollfd){server->listen_fd, POLLIN, 0};
	for (guint i = 0; i < server->connections->len; i++) {
		const connection_t *connection =
		    g_ptr_array_index(server->connections, i);

		fds[POLL_FIXED + i] = (struct pollfd){connection->fd,
		    connection->out != NULL ? POLLOUT : POLLIN, 0};
	}
	return POLL_FIXED + server->connections->len;
}

static void *
server_run(void *arg)
{
	peer_server_t *server = arg;
	struct pollfd fds[POLL_FIXED + PEER_CONNECTION_LIMIT];
	nfds_t n;

	for (;;) {
		time_us_t now = clock_now();
		time_us_t next = server_expire(server, now);

		n = server_poll_set(server, fds);
		if (poll(fds, n, (int)((next - now) / US_PER_MS + 1)) <= 0)
			continue;
		if (fds[POLL_WAKE].revents != 0)
			return NULL;
		now = clock_now();
		/* Backwards, so that a removal moves only what is done. */
		for (nfds_t i = n; i-- > POLL_FIXED;) {
			guint index = (guint)(i - POLL_FIXED);

			if (fds[i].revents != 0 &&
			    !connection_serve(server,
				g_ptr_array_index(server->connections, index),
				now))
				g_ptr_array_remove_index_fast(
				    server->connections, index);
		}
		if (fds[POLL_LISTEN].revents != 0)
			server_accept(server, now);
	}
}

static bool
server_listen(peer_server_t *server, const char *address, GError **error)
{
	struct sockaddr_storage parsed;
	socklen_t len;
	const int on = 1;

	if (!address_parse(address, &parsed, &len, error))
		return false;
	server->listen_fd = socket(
	    parsed.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (server->listen_fd >= 0) {
		setsockopt(server->listen_fd, SOL_SOCKET, SO_REUSEADDR, &on,
		    sizeof(on));
		if (bind(server->listen_fd, (struct sockaddr *)&parsed, len) ==
			0 &&
		    listen(server->listen_fd, LISTEN_BACKLOG) == 0)
			return true;
	}
	g_set_error(error, CS_ERROR, CS_ERROR_IO,
	    "can't listen for peers on %s: %s; choose a free local address",
	    address, g_strerror(errno));
	return false;
}

static bool
server_start(peer_server_t *server, const char *address, GError **error)
{
	int failed;

	if (!server_listen(server, address, error))
		return false;
	if (pipe2(server->wake, O_CLOEXEC | O_NONBLOCK) == 0) {
		server->address = address_of_socket(server->listen_fd);
		failed = thread_start(&server->thread, server_run, server);
		if (failed == 0)
			return true;
	} else {
		failed = errno;
	}
	g_set_error(error, CS_ERROR, CS_ERROR_IO,
	    "can't start the peer server: %s; raise the limits of the process",
	    g_strerror(failed));
	return false;
}

static void
server_free(peer_server_t *server)
{
	const int fds[] = {server->listen_fd, server->wake[0], server->wake[1]};

	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++) {
		if (fds[i] >= 0)
			close(fds[i]);
	}
	g_ptr_array_unref(server->connections);
	replay_guard_destroy(server->dispatch.guard);
	sodium_memzero(&server->dispatch.keys, sizeof(server->dispatch.keys));
	g_free(server->address);
	g_free(server);
}

peer_server_t *
peer_server_create(const char *address, const peer_sender_t *self,
    const envelope_keys_t *keys, const peer_handlers_t *handlers,
    GError **error)
{
	peer_server_t *server = g_new0(peer_server_t, 1);

	server->dispatch.self = *self;
	server->dispatch.keys = *keys;
	server->dispatch.handlers = *handlers;
	server->dispatch.guard = replay_guard_create(WINDOW_LIMIT);
	server->connections =
	    g_ptr_array_new_with_free_func((GDestroyNotify)connection_destroy);
	server->listen_fd = -1;
	server->wake[0] = server->wake[1] = -1;
	if (server_start(server, address, error))
		return server;
	server_free(server);
	return NULL;
}

const char *
peer_server_address(const peer_server_t *server)
{
	return server->address;
}

void
peer_server_destroy(peer_server_t *server)
{
	const char byte = 0;
	ssize_t n;

	if (server == NULL)
		return;
	do {
		n = write(server->wake[1], &byte, 1);
	} while (n < 0 && errno == EINTR);
	pthread_join(server->thread, NULL);
	server_free(server);
}
