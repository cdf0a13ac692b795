#include "raw_http.h"

#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEAD_LIMIT 65536
#define BACKLOG 64

struct raw_server {
	int fd;
	raw_handler_t handler;
	raw_handler_t head_handler; /* NULL: none */
	void *owner;
	GThread *acceptor;
	GMutex lock;
	GCond changed;
	GPtrArray *connections; /* connection_t */
	unsigned n_threads;
	gint64 down_until; /* 0: listening */
	bool stopping;
};

typedef struct {
	raw_server_t *server;
	int fd;
	bool crashed; /* handles no further request */
} connection_t;

static void
request_clear(raw_request_t *request)
{
	g_free(request->method);
	g_free(request->path);
	g_free(request->query);
	if (request->fields != NULL)
		g_hash_table_destroy(request->fields);
	if (request->body != NULL)
		g_byte_array_unref(request->body);
	memset(request, 0, sizeof(*request));
}

static bool
bytes_read(int fd, GByteArray *bytes, size_t want)
{
	uint8_t chunk[4096];

	while (bytes->len < want) {
		ssize_t n =
		    recv(fd, chunk, MIN(sizeof(chunk), want - bytes->len), 0);

		if (n <= 0)
			return false;
		g_byte_array_append(bytes, chunk, (guint)n);
	}
	return true;
}

/* Reads byte by byte, so that nothing of the next request is taken. */
static char *
head_read(int fd)
{
	g_autoptr(GString) head = g_string_new(NULL);
	char byte;

	while (head->len < HEAD_LIMIT) {
		if (recv(fd, &byte, 1, 0) != 1)
			return NULL;
		g_string_append_c(head, byte);
		if (head->len >= 4 &&
		    memcmp(head->str + head->len - 4, "\r\n\r\n", 4) == 0)
			return g_strdup(head->str);
	}
	return NULL;
}

/* Reads all but the body. */
static bool
request_head_read(int fd, raw_request_t *request)
{
	g_autofree char *head = head_read(fd);
	g_auto(GStrv) lines = NULL;
	g_auto(GStrv) words = NULL;
	char *question;

	if (head == NULL)
		return false;
	lines = g_strsplit(head, "\r\n", 0);
	words = g_strsplit(lines[0], " ", 3);
	if (g_strv_length(words) != 3)
		return false;
	question = strchr(words[1], '?');
	request->method = g_strdup(words[0]);
	request->query = g_strdup(question ? question + 1 : "");
	request->path = question
			    ? g_strndup(words[1], (gsize)(question - words[1]))
			    : g_strdup(words[1]);
	request->fields =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (char **line = lines + 1; **line != '\0'; line++) {
		char *colon = strchr(*line, ':');

		if (colon == NULL)
			return false;
		*colon = '\0';
		g_hash_table_insert(request->fields, g_ascii_strdown(*line, -1),
		    g_strstrip(g_strdup(colon + 1)));
	}
	request->body = g_byte_array_new();
	return true;
}

static bool
request_body_read(int fd, raw_request_t *request)
{
	const char *length = raw_field(request, "content-length");

	return length == NULL ||
	       bytes_read(fd, request->body, (size_t)atol(length));
}

/* Returns false when the connection is to be closed. */
static bool
request_read(raw_server_t *server, int fd, raw_request_t *request)
{
	if (!request_head_read(fd, request))
		return false;
	if (server->head_handler != NULL &&
	    !server->head_handler(fd, request, server->owner))
		return false;
	return request_body_read(fd, request);
}

static void
connection_forget(connection_t *connection)
{
	raw_server_t *server = connection->server;

	g_mutex_lock(&server->lock);
	g_ptr_array_remove_fast(server->connections, connection);
	close(connection->fd);
	g_free(connection);
	server->n_threads--;
	g_cond_broadcast(&server->changed);
	g_mutex_unlock(&server->lock);
}

static bool
connection_crashed(connection_t *connection)
{
	bool crashed;

	g_mutex_lock(&connection->server->lock);
	crashed = connection->crashed;
	g_mutex_unlock(&connection->server->lock);
	return crashed;
}

static gpointer
connection_run(gpointer data)
{
	connection_t *connection = data;
	raw_server_t *server = connection->server;
	raw_request_t request = {0};
	bool open = true;

	while (open && request_read(server, connection->fd, &request) &&
	       !connection_crashed(connection)) {
		open = server->handler(connection->fd, &request, server->owner);
		request_clear(&request);
	}
	request_clear(&request);
	connection_forget(connection);
	return NULL;
}

/* Waits for the end of a crash. Returns false when the server stops. */
static bool
listen_again(raw_server_t *server)
{
	bool listening;

	g_mutex_lock(&server->lock);
	while (!server->stopping && g_get_monotonic_time() < server->down_until)
		g_cond_wait_until(
		    &server->changed, &server->lock, server->down_until);
	listening = !server->stopping && server->down_until != 0;
	if (listening && listen(server->fd, BACKLOG) != 0)
		g_error("stand-in can't listen again: %s", g_strerror(errno));
	server->down_until = 0;
	g_mutex_unlock(&server->lock);
	return listening;
}

static gpointer
acceptor_run(gpointer data)
{
	raw_server_t *server = data;

	for (;;) {
		int fd = accept(server->fd, NULL, NULL);
		connection_t *connection;

		if (fd < 0) {
			if (!listen_again(server))
				return NULL;
			continue;
		}
		g_mutex_lock(&server->lock);
		if (server->stopping || server->down_until != 0) {
			raw_reset_on_close(fd);
			close(fd);
			g_mutex_unlock(&server->lock);
			continue;
		}
		connection = g_new(connection_t, 1);
		*connection = (connection_t){server, fd, false};
		g_ptr_array_add(server->connections, connection);
		server->n_threads++;
		g_thread_unref(
		    g_thread_new("connection", connection_run, connection));
		g_mutex_unlock(&server->lock);
	}
}

/* Returns a socket that is bound to the address; with port 0, to a free one. */
static int
socket_bind(struct sockaddr_in *at)
{
	socklen_t len = sizeof(*at);
	int reuse = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	/* Without it, listening again fails while a connection is left. */
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
	if (fd < 0 || bind(fd, (struct sockaddr *)at, len) != 0 ||
	    getsockname(fd, (struct sockaddr *)at, &len) != 0)
		g_error("stand-in can't bind: %s", g_strerror(errno));
	return fd;
}

raw_server_t *
raw_server_create(raw_handler_t handler, void *owner, uint16_t *port)
{
	struct sockaddr_in at = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	raw_server_t *server = g_new0(raw_server_t, 1);
	int chosen = socket_bind(&at);

	/* Only a port that is bound by its number stays after shutdown(). */
	server->fd = socket_bind(&at);
	close(chosen);
	if (listen(server->fd, BACKLOG) != 0)
		g_error("stand-in can't listen: %s", g_strerror(errno));
	*port = ntohs(at.sin_port);
	server->handler = handler;
	server->owner = owner;
	server->connections = g_ptr_array_new();
	g_mutex_init(&server->lock);
	g_cond_init(&server->changed);
	server->acceptor = g_thread_new("acceptor", acceptor_run, server);
	return server;
}

void
raw_server_set_head_handler(raw_server_t *server, raw_handler_t handler)
{
	server->head_handler = handler;
}

void
raw_server_reset(raw_server_t *server)
{
	g_mutex_lock(&server->lock);
	for (guint i = 0; i < server->connections->len; i++) {
		const connection_t *connection =
		    g_ptr_array_index(server->connections, i);

		raw_reset_on_close(connection->fd);
		shutdown(connection->fd, SHUT_RDWR);
	}
	g_mutex_unlock(&server->lock);
}

bool
raw_server_crash(raw_server_t *server, int down_ms)
{
	gint64 now = g_get_monotonic_time();

	g_mutex_lock(&server->lock);
	if (server->stopping || server->down_until != 0) {
		g_mutex_unlock(&server->lock);
		return false;
	}
	server->down_until = now + (gint64)down_ms * 1000;
	/* The socket keeps its port, so that nobody takes it meanwhile. */
	shutdown(server->fd, SHUT_RDWR);
	for (guint i = 0; i < server->connections->len; i++) {
		connection_t *connection =
		    g_ptr_array_index(server->connections, i);

		connection->crashed = true;
		raw_reset_on_close(connection->fd);
		/* Wakes the thread, and sends no end before the reset. */
		shutdown(connection->fd, SHUT_RD);
	}
	g_mutex_unlock(&server->lock);
	return true;
}

void
raw_server_destroy(raw_server_t *server)
{
	g_mutex_lock(&server->lock);
	server->stopping = true;
	g_cond_broadcast(&server->changed);
	g_mutex_unlock(&server->lock);
	shutdown(server->fd, SHUT_RDWR);
	g_thread_join(server->acceptor);
	close(server->fd);
	raw_server_reset(server);
	g_mutex_lock(&server->lock);
	while (server->n_threads > 0)
		g_cond_wait(&server->changed, &server->lock);
	g_mutex_unlock(&server->lock);
	g_ptr_array_unref(server->connections);
	g_mutex_clear(&server->lock);
	g_cond_clear(&server->changed);
	g_free(server);
}

bool
raw_send(int fd, const char *text)
{
	size_t len = strlen(text);

	while (len > 0) {
		ssize_t n = send(fd, text, len, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		text += n;
		len -= (size_t)n;
	}
	return true;
}

bool
raw_send_answer(int fd, unsigned status, const char *fields, const char *body)
{
	g_autofree char *answer = g_strdup_printf(
	    "HTTP/1.1 %u Answer\r\n%sContent-Length: %zu\r\n\r\n%s", status,
	    fields, strlen(body), body);

	return raw_send(fd, answer);
}

void
raw_reset_on_close(int fd)
{
	struct linger reset = {1, 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

bool
raw_wait_closed(int fd, int ms)
{
	struct pollfd waited = {fd, POLLIN, 0};
	char byte;

	return poll(&waited, 1, ms) == 1 && recv(fd, &byte, 1, MSG_PEEK) <= 0;
}

const char *
raw_field(const raw_request_t *request, const char *name)
{
	return g_hash_table_lookup(request->fields, name);
}
