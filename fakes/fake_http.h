#ifndef FAKES_FAKE_HTTP_H
#define FAKES_FAKE_HTTP_H

#include <glib.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stddef.h>

/* A request as a stand-in sees it: the whole body is already read. */
typedef struct {
	struct MHD_Connection *connection;
	const char *method;
	const char *path;
	GString *body;
	void *user;
} fake_request_t;

/*
 * Handles one request on a thread of its own, so it may block. Returns MHD_NO
 * to close the connection without an answer.
 */
typedef enum MHD_Result (*fake_handler_t)(fake_request_t *request);

/* Serves on 127.0.0.1:port until SIGTERM or SIGINT. Returns an exit status. */
int fake_http_serve(uint16_t port, fake_handler_t handler, void *user);

/* Answers with a whole body. etag may be NULL. */
enum MHD_Result fake_http_reply(fake_request_t *request, unsigned int status,
    const char *content_type, const char *etag, const char *text, size_t len);

/* Returns a query argument, or NULL. */
const char *fake_http_query(fake_request_t *request, const char *name);

#endif
