#include "link.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "address.h"
#include "common/clock.h"
#include "common/error.h"
#include "connection.h"

struct link {
	char *address_text;
	struct sockaddr_storage address;
	socklen_t address_len;
	connection_t *connection; /* NULL: closed */
	time_us_t sent_at;
};

link_t *
link_create(const char *address, GError **error)
{
	link_t *link = g_new0(link_t, 1);

	if (!address_parse(
		address, &link->address, &link->address_len, error)) {
		g_free(link);
		return NULL;
	}
	link->address_text = g_strdup(address);
	return link;
}

void
link_destroy(link_t *link)
{
	link_close(link);
	g_free(link->address_text);
	g_free(link);
}

void
link_close(link_t *link)
{
	if (link->connection != NULL)
		connection_destroy(link->connection);
	link->connection = NULL;
}

bool
link_is_open(const link_t *link)
{
	return link->connection != NULL;
}

int
link_fd(const link_t *link)
{
	return link->connection->fd;
}

const char *
link_address(const link_t *link)
{
	return link->address_text;
}

void
link_set_error(const link_t *link, int failed, GError **error)
{
	g_set_error(error, CS_ERROR,
	    failed == ETIMEDOUT ? CS_ERROR_TIMEOUT : CS_ERROR_IO,
	    "can't connect to peer %s: %s; check that it runs and is reachable",
	    link->address_text, g_strerror(failed));
}

bool
link_open(link_t *link, GError **error)
{
	const int on = 1;
	int fd = socket(link->address.ss_family,
	    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd >= 0) {
		link->connection = connection_create(fd, clock_now());
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		if (connect(fd, (struct sockaddr *)&link->address,
			link->address_len) == 0 ||
		    errno == EINPROGRESS)
			return true;
	}
	link_set_error(link, errno, error);
	return false;
}

bool
link_finish(link_t *link, GError **error)
{
	int failed = 0;
	socklen_t len = sizeof(failed);

	if (getsockopt(
		link->connection->fd, SOL_SOCKET, SO_ERROR, &failed, &len) != 0)
		failed = errno;
	if (failed == 0)
		return true;
	link_set_error(link, failed, error);
	return false;
}

bool
link_send(link_t *link, const void *record, size_t len)
{
	link->sent_at = clock_now();
	return connection_send(link->connection, record, len, link->sent_at) !=
	       CONNECTION_CLOSED;
}

bool
link_is_sending(const link_t *link)
{
	return link->connection->out != NULL;
}

time_us_t
link_active_at(const link_t *link)
{
	return MAX(link->sent_at, link->connection->active_at);
}

static const char *
failure_text(connection_state_t state)
{
	switch (state) {
	case CONNECTION_OVERSIZED:
		return "reply is too long";
	case CONNECTION_MALFORMED:
		return "reply has an empty fragment";
	case CONNECTION_TRUNCATED:
		return "connection was closed within the reply";
	case CONNECTION_OPEN:
	case CONNECTION_RECORD:
	case CONNECTION_CLOSED:
		break;
	}
	return "connection was closed";
}

link_state_t
link_serve(link_t *link, size_t limit, GError **error)
{
	connection_t *connection = link->connection;
	connection_state_t state;
	bool wrong;

	if (connection->out != NULL)
		state = connection_write(connection, clock_now());
	else
		state = connection_read(connection, limit, clock_now());
	if (state == CONNECTION_OPEN)
		return LINK_WAIT;
	if (state == CONNECTION_RECORD)
		return LINK_RECORD;
	wrong = state == CONNECTION_OVERSIZED || state == CONNECTION_MALFORMED;
	g_set_error(error, CS_ERROR, wrong ? CS_ERROR_SYNTAX : CS_ERROR_IO,
	    "call to peer %s failed: %s; %s", link->address_text,
	    failure_text(state),
	    wrong ? "run the same version of the program on both"
		  : "try again later or ask another peer");
	return LINK_FAILED;
}

GByteArray *
link_take_record(link_t *link)
{
	GByteArray *record = link->connection->record;

	/* A new array, because the room for a list would be kept for ever. */
	link->connection->record = g_byte_array_new();
	return record;
}
