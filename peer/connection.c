#include "connection.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "traffic.h"

#define LAST_FRAGMENT UINT32_C(0x80000000)

connection_t *
connection_create(int fd, time_us_t now)
{
	connection_t *connection = g_new0(connection_t, 1);

	connection->fd = fd;
	connection->record = g_byte_array_new();
	connection->opened_at = now;
	connection->active_at = now;
	return connection;
}

void
connection_destroy(connection_t *connection)
{
	close(connection->fd);
	g_byte_array_unref(connection->record);
	if (connection->out != NULL)
		g_byte_array_unref(connection->out);
	g_free(connection);
}

/* Returns the number of bytes, 0 for "none now", or -1 when closed. */
static ssize_t
socket_read(connection_t *connection, void *data, size_t len, time_us_t now)
{
	ssize_t n = recv(connection->fd, data, len, MSG_DONTWAIT);

	if (n > 0) {
		traffic_in(n);
		connection->active_at = now;
		if (connection->record_at == 0)
			connection->record_at = now;
		return n;
	}
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return 0;
	return -1;
}

static connection_state_t
connection_ended(const connection_t *connection)
{
	return connection->record_at != 0 ? CONNECTION_TRUNCATED
					  : CONNECTION_CLOSED;
}

static connection_state_t
mark_read(connection_t *connection, size_t limit, time_us_t now)
{
	uint32_t mark;
	ssize_t n =
	    socket_read(connection, connection->mark + connection->mark_len,
		sizeof(connection->mark) - connection->mark_len, now);

	if (n < 0)
		return connection_ended(connection);
	connection->mark_len += (size_t)n;
	if (connection->mark_len < sizeof(connection->mark))
		return CONNECTION_OPEN;
	memcpy(&mark, connection->mark, sizeof(mark));
	mark = g_ntohl(mark);
	connection->last_fragment = (mark & LAST_FRAGMENT) != 0;
	connection->fragment_left = mark & ~LAST_FRAGMENT;
	if (connection->fragment_left > limit - connection->record->len)
		return CONNECTION_OVERSIZED;
	/* Empty fragments would be read without an end. */
	if (connection->fragment_left == 0)
		return CONNECTION_MALFORMED;
	return CONNECTION_RECORD;
}

static connection_state_t
fragment_read(connection_t *connection, time_us_t now)
{
	uint8_t chunk[4096];
	ssize_t n = socket_read(connection, chunk,
	    MIN(sizeof(chunk), connection->fragment_left), now);

	if (n < 0)
		return connection_ended(connection);
	if (n == 0)
		return CONNECTION_OPEN;
	g_byte_array_append(connection->record, chunk, (guint)n);
	connection->fragment_left -= (uint32_t)n;
	if (connection->fragment_left == 0)
		connection->mark_len = 0;
	return CONNECTION_RECORD;
}

connection_state_t
connection_read(connection_t *connection, size_t limit, time_us_t now)
{
	connection_state_t state;
	int reads = 0;

	do {
		if (reads++ == CONNECTION_READS)
			return CONNECTION_OPEN;
		if (connection->mark_len < sizeof(connection->mark))
			state = mark_read(connection, limit, now);
		else
			state = fragment_read(connection, now);
		if (state != CONNECTION_RECORD)
			return state;
	} while (connection->fragment_left > 0 || !connection->last_fragment);
	connection->record_at = 0;
	return CONNECTION_RECORD;
}

connection_state_t
connection_send(
    connection_t *connection, const void *data, size_t len, time_us_t now)
{
	uint32_t mark = g_htonl((uint32_t)len | LAST_FRAGMENT);

	connection->out = g_byte_array_sized_new((guint)(len + sizeof(mark)));
	g_byte_array_append(
	    connection->out, (const guint8 *)&mark, sizeof(mark));
	g_byte_array_append(connection->out, data, (guint)len);
	connection->out_sent = 0;
	connection->out_at = now;
	return connection_write(connection, now);
}

connection_state_t
connection_write(connection_t *connection, time_us_t now)
{
	while (connection->out_sent < connection->out->len) {
		ssize_t n = send(connection->fd,
		    connection->out->data + connection->out_sent,
		    connection->out->len - connection->out_sent,
		    MSG_DONTWAIT | MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			return CONNECTION_OPEN;
		if (n <= 0)
			return CONNECTION_CLOSED;
		traffic_out(n);
		connection->active_at = now;
		connection->out_sent += (size_t)n;
	}
	g_byte_array_unref(connection->out);
	connection->out = NULL;
	return connection->close_after ? CONNECTION_CLOSED : CONNECTION_OPEN;
}
