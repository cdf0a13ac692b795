#include "edge/exchange.h"

#include <string.h>

#include "edge/server.h"
#include "internal.h"

/* on_drained is called when the buffer falls to this size. */
#define BUFFER_RESUME_BYTES (EXCHANGE_BUFFER_BYTES / 2)

/* Bytes that libmicrohttpd requests at a time. */
#define READ_BLOCK_BYTES ((size_t)16 * 1024)

exchange_t *
exchange_create(struct edge_server *server, struct MHD_Connection *connection,
    const char *url, const char *method)
{
	exchange_t *exchange = g_new0(exchange_t, 1);

	exchange->refs = 1;
	pthread_mutex_init(&exchange->lock, NULL);
	exchange->server = server;
	exchange->connection = connection;
	exchange->method = g_strdup(method);
	exchange->path = g_strdup(url);
	exchange->request_body = g_string_new(NULL);
	exchange->headers = g_ptr_array_new_with_free_func(g_free);
	exchange->buffer = g_string_new(NULL);
	return exchange;
}

exchange_t *
exchange_ref(exchange_t *exchange)
{
	g_atomic_int_inc(&exchange->refs);
	return exchange;
}

void
exchange_unref(exchange_t *exchange)
{
	if (exchange == NULL || !g_atomic_int_dec_and_test(&exchange->refs))
		return;
	server_memory_release(exchange->server, exchange->request_body->len);
	server_memory_release(
	    exchange->server, exchange->buffer->len - exchange->offset);
	g_string_free(exchange->request_body, TRUE);
	g_string_free(exchange->buffer, TRUE);
	g_ptr_array_free(exchange->headers, TRUE);
	pthread_mutex_destroy(&exchange->lock);
	g_free(exchange->method);
	g_free(exchange->path);
	g_free(exchange);
}

const char *
exchange_method(const exchange_t *exchange)
{
	return exchange->method;
}

const char *
exchange_path(const exchange_t *exchange)
{
	return exchange->path;
}

const char *
exchange_body(const exchange_t *exchange, size_t *len)
{
	*len = exchange->request_body->len;
	return exchange->request_body->str;
}

const char *
exchange_header(const exchange_t *exchange, const char *name)
{
	return MHD_lookup_connection_value(
	    exchange->connection, MHD_HEADER_KIND, name);
}

const char *
exchange_query(const exchange_t *exchange, const char *name)
{
	return MHD_lookup_connection_value(
	    exchange->connection, MHD_GET_ARGUMENT_KIND, name);
}

static enum MHD_Result
query_append(
    void *cls, enum MHD_ValueKind kind, const char *name, const char *value)
{
	GString *text = cls;

	if (text->len > 0)
		g_string_append_c(text, '&');
	g_string_append_uri_escaped(text, name, NULL, FALSE);
	if (value != NULL) {
		g_string_append_c(text, '=');
		g_string_append_uri_escaped(text, value, NULL, FALSE);
	}
	return MHD_YES;
}

char *
exchange_query_text(const exchange_t *exchange)
{
	GString *text = g_string_new(NULL);

	MHD_get_connection_values(
	    exchange->connection, MHD_GET_ARGUMENT_KIND, query_append, text);
	return g_string_free(text, text->len == 0);
}

size_t
exchange_server_memory(const exchange_t *exchange)
{
	return edge_server_memory(exchange->server);
}

void
exchange_set_data(exchange_t *exchange, void *data)
{
	exchange->data = data;
}

void *
exchange_data(const exchange_t *exchange)
{
	return exchange->data;
}

void
exchange_add_header(exchange_t *exchange, const char *name, const char *value)
{
	g_ptr_array_add(exchange->headers, g_strdup(name));
	g_ptr_array_add(exchange->headers, g_strdup(value));
}

void
exchange_suspend(exchange_t *exchange)
{
	if (exchange->suspended || exchange->connection == NULL)
		return;
	exchange->suspended = true;
	MHD_suspend_connection(exchange->connection);
}

/* Resumes a suspended connection; lock is held. */
static void
exchange_resume(exchange_t *exchange)
{
	if (!exchange->suspended || exchange->connection == NULL)
		return;
	exchange->suspended = false;
	MHD_resume_connection(exchange->connection);
}

/* Appends to the answer's buffer; lock is held. */
static void
buffer_append(exchange_t *exchange, const char *data, size_t len)
{
	g_string_erase(exchange->buffer, 0, (gssize)exchange->offset);
	exchange->offset = 0;
	g_string_append_len(exchange->buffer, data, (gssize)len);
	/*
	 * Answers in progress may exceed the memory limit; new requests are
	 * refused instead.
	 */
	__atomic_add_fetch(&exchange->server->memory, len, __ATOMIC_RELAXED);
}

void
exchange_respond(exchange_t *exchange, int status, const char *body, size_t len)
{
	pthread_mutex_lock(&exchange->lock);
	if (exchange->state < EXCHANGE_ANSWERED) {
		exchange->state = EXCHANGE_ANSWERED;
		exchange->status = status;
		exchange->ended = true;
		exchange->complete = true;
		buffer_append(exchange, body, len);
		exchange_resume(exchange);
	}
	pthread_mutex_unlock(&exchange->lock);
}

void
exchange_stream_begin(exchange_t *exchange, int status)
{
	pthread_mutex_lock(&exchange->lock);
	if (exchange->state < EXCHANGE_ANSWERED) {
		exchange->state = EXCHANGE_ANSWERED;
		exchange->status = status;
		exchange->streaming = true;
		exchange_resume(exchange);
	}
	pthread_mutex_unlock(&exchange->lock);
}

bool
exchange_stream_write(exchange_t *exchange, const char *data, size_t len)
{
	bool accepted = true;

	pthread_mutex_lock(&exchange->lock);
	if (exchange->connection != NULL) {
		size_t buffered = exchange->buffer->len - exchange->offset;

		/* An empty buffer accepts a piece larger than its limit. */
		accepted =
		    buffered == 0 || buffered + len <= EXCHANGE_BUFFER_BYTES;
		if (accepted) {
			buffer_append(exchange, data, len);
			exchange_resume(exchange);
		} else {
			exchange->notify_drained = true;
		}
	}
	pthread_mutex_unlock(&exchange->lock);
	return accepted;
}

void
exchange_stream_end(exchange_t *exchange, const char *last, bool complete)
{
	pthread_mutex_lock(&exchange->lock);
	if (!exchange->ended) {
		if (last != NULL && exchange->connection != NULL)
			buffer_append(exchange, last, strlen(last));
		exchange->ended = true;
		exchange->complete = complete;
		exchange_resume(exchange);
	}
	pthread_mutex_unlock(&exchange->lock);
}

/* Called by libmicrohttpd for the next bytes of a streamed answer. */
static ssize_t
stream_read(void *cls, uint64_t pos, char *out, size_t max)
{
	exchange_t *exchange = cls;
	bool drained = false;
	ssize_t result = 0;
	size_t buffered;

	pthread_mutex_lock(&exchange->lock);
	buffered = exchange->buffer->len - exchange->offset;
	if (buffered > 0) {
		size_t len = MIN(buffered, max);

		memcpy(out, exchange->buffer->str + exchange->offset, len);
		exchange->offset += len;
		server_memory_release(exchange->server, len);
		result = (ssize_t)len;
		drained = exchange->notify_drained &&
			  buffered - len <= BUFFER_RESUME_BYTES;
		if (drained)
			exchange->notify_drained = false;
	} else if (exchange->ended) {
		result = exchange->complete ? MHD_CONTENT_READER_END_OF_STREAM
					    : MHD_CONTENT_READER_END_WITH_ERROR;
	} else {
		exchange_suspend(exchange);
	}
	pthread_mutex_unlock(&exchange->lock);
	if (drained)
		exchange->server->handlers.on_drained(
		    exchange, exchange->server->handlers.user);
	return result;
}

static void
stream_release(void *cls)
{
	exchange_unref(cls);
}

/*
 * A streamed answer to HEAD is sent without a stream: libmicrohttpd 0.9.75
 * would end it with a chunk, which the caller would read as the start of the
 * next answer.
 */
static struct MHD_Response *
response_create(exchange_t *exchange)
{
	if (exchange->streaming && strcmp(exchange->method, "HEAD") == 0)
		return MHD_create_response_from_buffer(
		    0, NULL, MHD_RESPMEM_PERSISTENT);
	if (exchange->streaming)
		return MHD_create_response_from_callback(MHD_SIZE_UNKNOWN,
		    READ_BLOCK_BYTES, stream_read, exchange_ref(exchange),
		    stream_release);
	return MHD_create_response_from_buffer(exchange->buffer->len,
	    exchange->buffer->str, MHD_RESPMEM_MUST_COPY);
}

enum MHD_Result
exchange_queue(exchange_t *exchange)
{
	struct MHD_Response *response;
	enum MHD_Result result;

	pthread_mutex_lock(&exchange->lock);
	exchange->state = EXCHANGE_DELIVERING;
	response = response_create(exchange);
	for (guint i = 0; i + 1 < exchange->headers->len; i += 2)
		MHD_add_response_header(response,
		    g_ptr_array_index(exchange->headers, i),
		    g_ptr_array_index(exchange->headers, i + 1));
	pthread_mutex_unlock(&exchange->lock);
	result = MHD_queue_response(
	    exchange->connection, (unsigned int)exchange->status, response);
	MHD_destroy_response(response);
	return result;
}
