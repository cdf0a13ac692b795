#include "fake_http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct {
	fake_handler_t handler;
	void *user;
} fake_server_t;

static enum MHD_Result
request_handle(void *cls, struct MHD_Connection *connection, const char *url,
    const char *method, const char *version, const char *data, size_t *size,
    void **state)
{
	fake_server_t *server = cls;
	fake_request_t request = {
	    connection, method, url, *state, server->user};

	if (*state == NULL) {
		*state = g_string_new(NULL);
		return MHD_YES;
	}
	if (*size > 0) {
		g_string_append_len(request.body, data, (gssize)*size);
		*size = 0;
		return MHD_YES;
	}
	return server->handler(&request);
}

static void
request_completed(void *cls, struct MHD_Connection *connection, void **state,
    enum MHD_RequestTerminationCode code)
{
	if (*state != NULL)
		g_string_free(*state, TRUE);
	*state = NULL;
}

int
fake_http_serve(uint16_t port, fake_handler_t handler, void *user)
{
	fake_server_t server = {handler, user};
	struct sockaddr_in address = {.sin_family = AF_INET,
	    .sin_port = htons(port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	struct MHD_Daemon *daemon;
	sigset_t signals;
	int signal_number;

	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	signal(SIGPIPE, SIG_IGN);
	daemon =
	    MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION |
				 MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL,
		port, NULL, NULL, request_handle, &server, MHD_OPTION_SOCK_ADDR,
		&address, MHD_OPTION_NOTIFY_COMPLETED, request_completed, NULL,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
		MHD_OPTION_THREAD_STACK_SIZE, (size_t)256 * 1024,
		MHD_OPTION_CONNECTION_LIMIT, 3000u, MHD_OPTION_END);
	if (daemon == NULL) {
		fprintf(stderr, "can't listen on port %u; is it in use?\n",
		    (unsigned int)port);
		return EXIT_FAILURE;
	}
	sigwait(&signals, &signal_number);
	/* Handlers may still block in a slow answer; the process ends anyway.
	 */
	_exit(EXIT_SUCCESS);
}

enum MHD_Result
fake_http_reply(fake_request_t *request, unsigned int status,
    const char *content_type, const char *etag, const char *text, size_t len)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
	    len, (void *)text, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result;

	MHD_add_response_header(response, "Content-Type", content_type);
	if (etag != NULL)
		MHD_add_response_header(response, "ETag", etag);
	result = MHD_queue_response(request->connection, status, response);
	MHD_destroy_response(response);
	return result;
}

const char *
fake_http_query(fake_request_t *request, const char *name)
{
	return MHD_lookup_connection_value(
	    request->connection, MHD_GET_ARGUMENT_KIND, name);
}
