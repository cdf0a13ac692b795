#ifndef EDGE_INTERNAL_H
#define EDGE_INTERNAL_H

#include <glib.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdint.h>

#include "edge/exchange.h"

typedef enum {
	EXCHANGE_READING,   /* the head or body is being received */
	EXCHANGE_WAITING,   /* passed to on_request, no answer yet */
	EXCHANGE_ANSWERED,  /* an answer is ready for libmicrohttpd */
	EXCHANGE_DELIVERING /* the answer was queued in libmicrohttpd */
} exchange_state_t;

struct exchange {
	gint refs;
	pthread_mutex_t lock;
	struct edge_server *server;
	struct MHD_Connection *connection; /* NULL once closed */
	char *method;
	char *path;
	GString *request_body;
	size_t body_received; /* bytes received, including discarded ones */
	bool body_refused;
	bool suspended;
	exchange_state_t state;
	struct MHD_Response *response;
	int status;
	GPtrArray *headers; /* name, value, name, value ... */
	bool streaming;
	GString *buffer;
	size_t offset; /* bytes of buffer already delivered */
	bool notify_drained;
	bool ended;
	bool complete;
	void *data;
};

struct edge_server {
	struct MHD_Daemon *daemon;
	GPtrArray *old_daemons;	  /* daemons that serve only old connections */
	GArray *listen_fd_copies; /* one per daemon; closed after all stopped */
	edge_handlers_t handlers;
	size_t body_limit;
	uint64_t memory_limit;
	uint64_t memory;
	int listen_fd;
	struct edge_server_settings *settings;
};

exchange_t *exchange_create(struct edge_server *server,
    struct MHD_Connection *connection, const char *url, const char *method);

/*
 * Returns whether a request head is unambiguous: it has at most one
 * Content-Length, and no bytes that libmicrohttpd 0.9.75 doesn't report. That
 * version ends a value at a NUL byte and takes the name of a folded line for a
 * part of the header's name; both leave a gap between what it reports and the
 * next header. method and version point into the head, as the access handler
 * receives them.
 */
bool head_is_unambiguous(
    struct MHD_Connection *connection, const char *method, const char *version);

/* Suspends the connection unless an answer is ready; lock is held. */
void exchange_suspend(exchange_t *exchange);

/* Queues a ready answer in libmicrohttpd. */
enum MHD_Result exchange_queue(exchange_t *exchange);

/* Reserves memory for bodies and buffers; false when the limit is reached. */
bool server_memory_reserve(struct edge_server *server, size_t bytes);
void server_memory_release(struct edge_server *server, size_t bytes);

#endif
