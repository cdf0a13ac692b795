#include "edge/server.h"

#include <arpa/inet.h>
#include <ck_pr.h>
#include <errno.h>
#include <fcntl.h>
#include <netdb.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include "common/error.h"
#include "internal.h"

/* Maximum size of a request head; libmicrohttpd answers 431 to larger ones. */
#define HEAD_LIMIT_BYTES ((size_t)16 * 1024)

#define LISTEN_BACKLOG 1024

/* A refused body is read and discarded up to this many times the limit. */
#define BODY_DISCARD_FACTOR 4

/* A connection that sends no byte of a body for this long is closed. */
#define BODY_IDLE_TIMEOUT_S 10u

struct edge_server_settings {
	unsigned int threads;
	unsigned int connection_limit;
	unsigned int idle_timeout_s;
	char *certificate;
	char *key;
};

bool
server_memory_reserve(struct edge_server *server, size_t bytes)
{
	if (ck_pr_faa_64(&server->memory, bytes) + bytes <=
	    server->memory_limit)
		return true;
	ck_pr_sub_64(&server->memory, bytes);
	return false;
}

void
server_memory_release(struct edge_server *server, size_t bytes)
{
	ck_pr_sub_64(&server->memory, bytes);
}

size_t
edge_server_memory(const edge_server_t *server)
{
	return (size_t)ck_pr_load_64(&server->memory);
}

/*
 * Whether the body of a refused request is read and discarded before the answer
 * is sent. Closing the connection while the caller still sends resets it, and
 * the caller may lose the answer. A caller that waits for "100 Continue" gets
 * the answer at once, and a very large body is not read at all.
 */
static bool
body_is_discarded(const edge_server_t *server, const exchange_t *exchange)
{
	const char *length = exchange_header(exchange, "Content-Length");

	if (exchange_header(exchange, "Expect") != NULL)
		return false;
	if (length == NULL)
		return exchange_header(exchange, "Transfer-Encoding") != NULL;
	return strcmp(length, "0") != 0 &&
	       g_ascii_strtoull(length, NULL, 10) <=
		   BODY_DISCARD_FACTOR * server->body_limit;
}

static enum MHD_Result
head_handle(edge_server_t *server, exchange_t *exchange)
{
	MHD_set_connection_option(exchange->connection,
	    MHD_CONNECTION_OPTION_TIMEOUT, BODY_IDLE_TIMEOUT_S);
	server->handlers.on_head(exchange, server->handlers.user);
	if (exchange->state != EXCHANGE_ANSWERED)
		return MHD_YES;
	if (!body_is_discarded(server, exchange))
		return exchange_queue(exchange);
	exchange->body_refused = true;
	return MHD_YES;
}

static enum MHD_Result
body_refuse(edge_server_t *server, exchange_t *exchange, bool memory)
{
	exchange->body_refused = true;
	server_memory_release(server, exchange->request_body->len);
	g_string_truncate(exchange->request_body, 0);
	server->handlers.on_body_refused(
	    exchange, memory, server->handlers.user);
	return MHD_YES;
}

static enum MHD_Result
body_handle(
    edge_server_t *server, exchange_t *exchange, const char *data, size_t len)
{
	exchange->body_received += len;
	if (exchange->body_refused) {
		if (exchange->body_received >
		    BODY_DISCARD_FACTOR * server->body_limit)
			return MHD_NO;
		return MHD_YES;
	}
	if (exchange->body_received > server->body_limit)
		return body_refuse(server, exchange, false);
	if (!server_memory_reserve(server, len))
		return body_refuse(server, exchange, true);
	g_string_append_len(exchange->request_body, data, (gssize)len);
	return MHD_YES;
}

static enum MHD_Result
body_end_handle(edge_server_t *server, exchange_t *exchange)
{
	bool answered;

	if (exchange->state == EXCHANGE_READING) {
		pthread_mutex_lock(&exchange->lock);
		exchange->state = EXCHANGE_WAITING;
		exchange_suspend(exchange);
		pthread_mutex_unlock(&exchange->lock);
		server->handlers.on_request(exchange, server->handlers.user);
		return MHD_YES;
	}
	pthread_mutex_lock(&exchange->lock);
	answered = exchange->state == EXCHANGE_ANSWERED;
	pthread_mutex_unlock(&exchange->lock);
	if (!answered)
		return MHD_YES;
	MHD_set_connection_option(exchange->connection,
	    MHD_CONNECTION_OPTION_TIMEOUT, server->settings->idle_timeout_s);
	return exchange_queue(exchange);
}

/* Answers without reading the body, whose length may be ambiguous. */
static enum MHD_Result
head_refuse(edge_server_t *server, exchange_t *exchange)
{
	exchange_add_header(exchange, "Connection", "close");
	server->handlers.on_head_malformed(exchange, server->handlers.user);
	return exchange_queue(exchange);
}

static enum MHD_Result
connection_handle(void *cls, struct MHD_Connection *connection, const char *url,
    const char *method, const char *version, const char *data, size_t *len,
    void **state)
{
	edge_server_t *server = cls;
	exchange_t *exchange = *state;
	enum MHD_Result result;

	if (exchange == NULL) {
		exchange = exchange_create(server, connection, url, method);
		*state = exchange;
		if (!head_is_unambiguous(connection, method, version))
			return head_refuse(server, exchange);
		return head_handle(server, exchange);
	}
	if (*len == 0)
		return body_end_handle(server, exchange);
	result = body_handle(server, exchange, data, *len);
	*len = 0;
	return result;
}

static void
connection_completed(void *cls, struct MHD_Connection *connection, void **state,
    enum MHD_RequestTerminationCode code)
{
	edge_server_t *server = cls;
	exchange_t *exchange = *state;

	if (exchange == NULL)
		return;
	*state = NULL;
	pthread_mutex_lock(&exchange->lock);
	exchange->connection = NULL;
	pthread_mutex_unlock(&exchange->lock);
	server->handlers.on_closed(exchange,
	    code == MHD_REQUEST_TERMINATED_COMPLETED_OK, server->handlers.user);
	exchange_unref(exchange);
}

/*
 * Closes the listen socket copy of a daemon that failed to start, unless
 * libmicrohttpd has closed it: whether it does depends on where the start
 * failed. The descriptor may have been reused for another file by then, so the
 * files are compared.
 */
static void
listen_copy_close(const edge_server_t *server, int copy)
{
	struct stat original;
	struct stat current;

	if (fstat(server->listen_fd, &original) == 0 &&
	    fstat(copy, &current) == 0 && current.st_dev == original.st_dev &&
	    current.st_ino == original.st_ino)
		close(copy);
}

/*
 * Starts a daemon on a copy of the server's listen socket, since libmicrohttpd
 * closes the socket passed to it when the certificate can't be used.
 */
static struct MHD_Daemon *
daemon_start(edge_server_t *server)
{
	struct MHD_Daemon *daemon;
	int copy;
	struct edge_server_settings *settings = server->settings;
	unsigned int flags =
	    MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME;
	struct MHD_OptionItem tls[] = {
	    {MHD_OPTION_HTTPS_MEM_CERT, 0, settings->certificate},
	    {MHD_OPTION_HTTPS_MEM_KEY, 0, settings->key},
	    {MHD_OPTION_END, 0, NULL}};
	struct MHD_OptionItem no_tls[] = {{MHD_OPTION_END, 0, NULL}};

	if (settings->certificate != NULL)
		flags |= MHD_USE_TLS;
	copy = fcntl(server->listen_fd, F_DUPFD_CLOEXEC, 0);
	if (copy < 0)
		return NULL;
	daemon = MHD_start_daemon(flags, 0, NULL, NULL, connection_handle,
	    server, MHD_OPTION_LISTEN_SOCKET, copy, MHD_OPTION_NOTIFY_COMPLETED,
	    connection_completed, server, MHD_OPTION_THREAD_POOL_SIZE,
	    settings->threads, MHD_OPTION_CONNECTION_LIMIT,
	    MAX(settings->connection_limit, settings->threads),
	    MHD_OPTION_CONNECTION_TIMEOUT, settings->idle_timeout_s,
	    MHD_OPTION_CONNECTION_MEMORY_LIMIT, 2 * HEAD_LIMIT_BYTES,
	    MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_ARRAY,
	    settings->certificate ? tls : no_tls, MHD_OPTION_END);
	if (daemon == NULL)
		listen_copy_close(server, copy);
	else
		g_array_append_val(server->listen_fd_copies, copy);
	return daemon;
}

/* Opens a socket for one numeric address; -1 with errno on failure. */
static int
socket_open(const struct addrinfo *info)
{
	int one = 1;
	int fd = socket(
	    info->ai_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, info->ai_addr, info->ai_addrlen) == 0 &&
	    listen(fd, LISTEN_BACKLOG) == 0)
		return fd;
	close(fd);
	return -1;
}

static int
socket_listen(const edge_options_t *options, GError **error)
{
	struct addrinfo hints = {
	    .ai_flags = AI_NUMERICHOST | AI_NUMERICSERV | AI_PASSIVE,
	    .ai_socktype = SOCK_STREAM};
	g_autofree char *service =
	    g_strdup_printf("%u", (unsigned int)options->port);
	struct addrinfo *info;
	int fd;

	if (getaddrinfo(options->address, service, &hints, &info) != 0) {
		g_set_error(error, CS_ERROR, CS_ERROR_INVALID,
		    "'%s' is not an IP address; write ADDRESS:PORT with a "
		    "numeric address",
		    options->address);
		return -1;
	}
	fd = socket_open(info);
	freeaddrinfo(info);
	if (fd < 0) {
		g_set_error(error, CS_ERROR, CS_ERROR_IO,
		    "can't listen on %s port %s: %s; choose a free port",
		    options->address, service, g_strerror(errno));
		return -1;
	}
	return fd;
}

edge_server_t *
edge_server_create(const edge_options_t *options,
    const edge_handlers_t *handlers, GError **error)
{
	edge_server_t *server = g_new0(edge_server_t, 1);

	server->settings = g_new0(struct edge_server_settings, 1);
	server->old_daemons = g_ptr_array_new();
	server->listen_fd_copies = g_array_new(FALSE, FALSE, sizeof(int));
	server->handlers = *handlers;
	server->body_limit = options->body_limit;
	server->memory_limit = options->memory_limit;
	server->settings->threads = options->threads;
	server->settings->connection_limit = options->connection_limit;
	server->settings->idle_timeout_s = options->idle_timeout_s;
	server->settings->certificate = g_strdup(options->tls_certificate);
	server->settings->key = g_strdup(options->tls_key);
	server->listen_fd = socket_listen(options, error);
	if (server->listen_fd >= 0) {
		server->daemon = daemon_start(server);
		if (server->daemon != NULL)
			return server;
		g_set_error(error, CS_ERROR, CS_ERROR_IO,
		    "can't start the HTTP server; check the TLS certificate "
		    "and key");
	}
	edge_server_destroy(server);
	return NULL;
}

bool
edge_server_set_certificate(edge_server_t *server, const char *certificate,
    const char *key, GError **error)
{
	struct edge_server_settings *settings = server->settings;
	char *old_certificate = settings->certificate;
	char *old_key = settings->key;
	struct MHD_Daemon *old = server->daemon;
	struct MHD_Daemon *started;

	settings->certificate = g_strdup(certificate);
	settings->key = g_strdup(key);
	started = daemon_start(server);
	if (started == NULL) {
		g_free(settings->certificate);
		g_free(settings->key);
		settings->certificate = old_certificate;
		settings->key = old_key;
		g_set_error(error, CS_ERROR, CS_ERROR_INVALID,
		    "the certificate and key can't be used; check that they "
		    "are PEM files that belong together");
		return false;
	}
	server->daemon = started;
	MHD_quiesce_daemon(old);
	g_ptr_array_add(server->old_daemons, old);
	g_free(old_certificate);
	g_free(old_key);
	return true;
}

void
edge_server_destroy(edge_server_t *server)
{
	if (server == NULL)
		return;
	if (server->daemon != NULL) {
		MHD_quiesce_daemon(server->daemon);
		MHD_stop_daemon(server->daemon);
	}
	for (guint i = 0; i < server->old_daemons->len; i++)
		MHD_stop_daemon(g_ptr_array_index(server->old_daemons, i));
	for (guint i = 0; i < server->listen_fd_copies->len; i++)
		close(g_array_index(server->listen_fd_copies, int, i));
	if (server->listen_fd >= 0)
		close(server->listen_fd);
	g_array_free(server->listen_fd_copies, TRUE);
	g_ptr_array_free(server->old_daemons, TRUE);
	g_free(server->settings->certificate);
	g_free(server->settings->key);
	g_free(server->settings);
	g_free(server);
}
