#ifndef EDGE_SERVER_H
#define EDGE_SERVER_H

#include <glib.h>
#include <stdint.h>

#include "edge/exchange.h"

/* HTTP server for callers (libmicrohttpd with a pool of epoll threads). */

typedef struct {
	const char *address; /* IP address, without brackets */
	uint16_t port;	     /* 0: any free port */
	unsigned int threads;
	unsigned int connection_limit;
	size_t body_limit;	     /* maximum bytes of a request body */
	size_t memory_limit;	     /* of all bodies and buffers, bytes */
	unsigned int idle_timeout_s; /* connection without progress */
	const char *tls_certificate; /* PEM text; NULL: no TLS */
	const char *tls_key;
} edge_options_t;

/* Starts the server. Returns NULL and sets error (CS_ERROR_IO) on failure. */
edge_server_t *edge_server_create(const edge_options_t *options,
    const edge_handlers_t *handlers, GError **error);

/* Returns the bytes currently held in request bodies and answer buffers. */
size_t edge_server_memory(const edge_server_t *server);

/*
 * Serves new connections with another certificate; open connections keep the
 * old one. Returns false, sets error and changes nothing when the certificate
 * and key are not usable.
 */
bool edge_server_set_certificate(edge_server_t *server, const char *certificate,
    const char *key, GError **error);

/* Stops accepting connections and frees the server; answers are cut off. */
void edge_server_destroy(edge_server_t *server);

#endif
