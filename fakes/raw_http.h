#ifndef FAKES_RAW_HTTP_H
#define FAKES_RAW_HTTP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * A server for stand-ins that must be able to answer wrongly: one thread a
 * connection, blocking sockets, and full control over the bytes.
 */
typedef struct raw_server raw_server_t;

typedef struct {
	char *method;
	char *path;	    /* without the query */
	char *query;	    /* "" without one */
	GHashTable *fields; /* lower-case name -> value */
	GByteArray *body;
} raw_request_t;

/* Answers on fd. Returns false to close the connection. */
typedef bool (*raw_handler_t)(
    int fd, const raw_request_t *request, void *owner);

/* Listens on 127.0.0.1 and returns the port in *port. */
raw_server_t *raw_server_create(
    raw_handler_t handler, void *owner, uint16_t *port);

/*
 * Calls this handler before the body of a request is read. Returns false to
 * close the connection then. Set it before the first connection.
 */
void raw_server_set_head_handler(raw_server_t *server, raw_handler_t handler);

/* Closes all connections, with a reset, and waits for the threads. */
void raw_server_destroy(raw_server_t *server);

/* Resets the open connections; new ones are accepted. */
void raw_server_reset(raw_server_t *server);

/*
 * Refuses connections for down_ms and resets the open ones; then listens on the
 * same port again. Returns false if the server is down already.
 */
bool raw_server_crash(raw_server_t *server, int down_ms);

/* Return false when the peer is gone. */
bool raw_send(int fd, const char *text);
bool raw_send_answer(
    int fd, unsigned status, const char *fields, const char *body);

/* The connection will be closed with a reset. */
void raw_reset_on_close(int fd);

/* Waits up to ms for the peer to close. */
bool raw_wait_closed(int fd, int ms);

const char *raw_field(const raw_request_t *request, const char *name);

#endif
