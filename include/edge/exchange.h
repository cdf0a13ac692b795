#ifndef EDGE_EXCHANGE_H
#define EDGE_EXCHANGE_H

#include <stdbool.h>
#include <stddef.h>

#include "core/types.h"

/*
 * One HTTP request of a caller and its answer. The server reads the head and
 * the body, passes the exchange to the handlers and keeps the connection open
 * until any thread answers.
 *
 * An exchange is reference-counted. Between exchange_stream_begin() and
 * exchange_stream_end() at most EXCHANGE_BUFFER_BYTES are buffered for a slow
 * caller.
 */
typedef struct exchange exchange_t;
typedef struct edge_server edge_server_t;

#define EXCHANGE_BUFFER_BYTES ((size_t)64 * 1024)

typedef struct {
	/*
	 * The head was read. Answer now to refuse the request before its body
	 * is read; on_request is not called then.
	 */
	void (*on_head)(exchange_t *exchange, void *user);
	/* The head is ambiguous: answer now. The connection is closed then. */
	void (*on_head_malformed)(exchange_t *exchange, void *user);
	/* The body is complete; answer now or later. */
	void (*on_request)(exchange_t *exchange, void *user);
	/* The body exceeded the limit, or memory for it ran out: answer now. */
	void (*on_body_refused)(exchange_t *exchange, bool memory, void *user);
	/* Buffer space became free after exchange_stream_write() refused. */
	void (*on_drained)(exchange_t *exchange, void *user);
	/* The exchange has ended; complete: the answer was fully delivered. */
	void (*on_closed)(exchange_t *exchange, bool complete, void *user);
	void *user;
} edge_handlers_t;

exchange_t *exchange_ref(exchange_t *exchange);
void exchange_unref(exchange_t *exchange);

const char *exchange_method(const exchange_t *exchange);
const char *exchange_path(const exchange_t *exchange);
const char *exchange_body(const exchange_t *exchange, size_t *len);

/*
 * Return a header's or query argument's value, or NULL. Valid until the
 * exchange is answered, and only inside on_head and on_request.
 */
const char *exchange_header(const exchange_t *exchange, const char *name);
const char *exchange_query(const exchange_t *exchange, const char *name);

/*
 * Returns the query arguments, escaped, as "a=1&b=2", or NULL when there are
 * none. The caller frees it.
 */
char *exchange_query_text(const exchange_t *exchange);

/* Attaches data to the exchange, which does not free it. */
void exchange_set_data(exchange_t *exchange, void *data);
void *exchange_data(const exchange_t *exchange);

/* Adds a header to the answer; call before answering. */
void exchange_add_header(
    exchange_t *exchange, const char *name, const char *value);

/* Answers with a complete body, which is copied. */
void exchange_respond(
    exchange_t *exchange, int status, const char *body, size_t len);

/* Starts an answer whose body is written in pieces. */
void exchange_stream_begin(exchange_t *exchange, int status);

/*
 * Appends to the answer. Returns false and appends nothing when the buffer
 * lacks space; on_drained is called later. Bytes for a closed connection are
 * discarded.
 */
bool exchange_stream_write(exchange_t *exchange, const char *data, size_t len);

/*
 * Ends the answer. last is appended regardless of the buffer limit (NULL:
 * nothing). complete false closes the connection without the final chunk, so
 * that the caller sees that the answer is incomplete.
 */
void exchange_stream_end(exchange_t *exchange, const char *last, bool complete);

/*
 * Returns the bytes held by all exchanges of this exchange's server. A request
 * can arrive before edge_server_create has returned the server.
 */
size_t exchange_server_memory(const exchange_t *exchange);

#endif
