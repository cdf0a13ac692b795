/*
 * Stand-in for a target: a model engine (POST /generate) and a plain service
 * (POST /orders, GET /trees/ID) in one program.
 *
 *     POST /generate {"prompt": TEXT, "max_tokens": N, "stream": BOOL,
 *                     "resume_from": K}
 *         With "stream", one server-sent event a token from token K on, then
 *         "data: [DONE]". Without, one JSON object with a usage member.
 *     POST /orders    records the order and answers 201 with its number.
 *     GET /trees/ID   answers with the ID.
 *     GET /record     what this target has seen, as JSON.
 *     GET /state      the engine's model, version, adapters, role, highest
 *                     fence and whether it is busy.
 *     POST /command   {"fence": N, "action": "load"|"role", "limit_ms": N, ...}
 *                     takes load_ms and answers 200, 409 for an old fence if
 *                     refuse_fences is set, 503 while busy, 500 above limit_ms.
 *     POST /control?NAME=VALUE  sets first_ms, token_ms, close_orders (close
 *                     the connection after an order was recorded), die_after
 *                     (exit after so many tokens), order_ms, load_ms,
 *                     refuse_fences.
 *
 * A body that contains the crash marker ends the process, like a request that
 * crashes each engine that runs it.
 */
#include <errno.h>
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fake_engine.h"
#include "fake_http.h"

#define RECORD_LIMIT 200000

/* Bytes of a prompt or an order that are recorded to tell requests apart. */
#define MARKER_BYTES 64

typedef struct {
	int first_ms;
	int token_ms;
	int order_ms;
	int close_orders;
	int die_after;
} behaviour_t;

typedef struct {
	const char *name;
	const char *crash_marker;
	unsigned int slots;
	behaviour_t behaviour;
	pthread_mutex_t lock;
	unsigned int in_flight;
	unsigned int max_in_flight;
	unsigned int above_slots;
	unsigned long requests;
	unsigned long tokens;
	unsigned long cancelled;
	json_t *orders;
	json_t *arrivals; /* [microseconds, tokens asked for, marker] */
	fake_engine_t engine;
	GString *headers; /* every header value seen, for leak checks */
} fake_target_t;

typedef struct {
	fake_target_t *target;
	long index;
	long end;
	bool done;
	bool released;
	GString *pending;
	size_t offset;
} token_stream_t;

static void
target_enter(fake_target_t *target)
{
	pthread_mutex_lock(&target->lock);
	target->requests++;
	target->in_flight++;
	if (target->in_flight > target->max_in_flight)
		target->max_in_flight = target->in_flight;
	if (target->in_flight > target->slots)
		target->above_slots++;
	pthread_mutex_unlock(&target->lock);
}

static void
target_leave(fake_target_t *target)
{
	pthread_mutex_lock(&target->lock);
	target->in_flight--;
	pthread_mutex_unlock(&target->lock);
}

static enum MHD_Result
header_record(
    void *cls, enum MHD_ValueKind kind, const char *key, const char *value)
{
	fake_target_t *target = cls;

	if (target->headers->len < RECORD_LIMIT)
		g_string_append_printf(
		    target->headers, "%s=%s\n", key, value ? value : "");
	return MHD_YES;
}

static void
arrival_record(fake_target_t *target, fake_request_t *request, long tokens,
    const char *marker)
{
	g_autofree char *start = g_strndup(marker, MARKER_BYTES);

	pthread_mutex_lock(&target->lock);
	MHD_get_connection_values(request->connection,
	    MHD_HEADER_KIND | MHD_GET_ARGUMENT_KIND | MHD_COOKIE_KIND,
	    header_record, target);
	if (json_array_size(target->arrivals) < RECORD_LIMIT)
		json_array_append_new(target->arrivals,
		    json_pack("[I,I,s]", (json_int_t)g_get_monotonic_time(),
			(json_int_t)tokens, start));
	pthread_mutex_unlock(&target->lock);
}

static void
stream_release(token_stream_t *stream)
{
	if (!stream->released)
		target_leave(stream->target);
	stream->released = true;
}

static void
stream_free(void *cls)
{
	token_stream_t *stream = cls;

	if (!stream->done)
		__atomic_add_fetch(
		    &stream->target->cancelled, 1, __ATOMIC_RELAXED);
	stream_release(stream);
	g_string_free(stream->pending, TRUE);
	g_free(stream);
}

/* Waits until the next token is due and puts its event into pending. */
static void
stream_produce(token_stream_t *stream)
{
	fake_target_t *target = stream->target;

	if (stream->index == stream->end) {
		g_string_assign(stream->pending, "data: [DONE]\n\n");
		stream->done = true;
		/* The slot is free once the last token is computed. */
		stream_release(stream);
		return;
	}
	usleep((useconds_t)target->behaviour.token_ms * 1000);
	if (target->behaviour.die_after > 0 &&
	    target->tokens >= (unsigned long)target->behaviour.die_after)
		_exit(3);
	__atomic_add_fetch(&target->tokens, 1, __ATOMIC_RELAXED);
	g_string_printf(stream->pending,
	    "data: {\"index\":%ld,\"text\":\"word%ld \"}\n\n", stream->index,
	    stream->index);
	stream->index++;
}

static ssize_t
stream_read(void *cls, uint64_t pos, char *buffer, size_t max)
{
	token_stream_t *stream = cls;
	size_t len;

	if (stream->offset == stream->pending->len) {
		if (stream->done)
			return MHD_CONTENT_READER_END_OF_STREAM;
		stream_produce(stream);
		stream->offset = 0;
	}
	len = MIN(max, stream->pending->len - stream->offset);
	memcpy(buffer, stream->pending->str + stream->offset, len);
	stream->offset += len;
	return (ssize_t)len;
}

static enum MHD_Result
stream_reply(
    fake_target_t *target, fake_request_t *request, long from, long end)
{
	token_stream_t *stream = g_new0(token_stream_t, 1);
	struct MHD_Response *response;
	enum MHD_Result result;

	stream->target = target;
	stream->index = from;
	stream->end = end;
	stream->pending = g_string_new(NULL);
	response = MHD_create_response_from_callback(
	    MHD_SIZE_UNKNOWN, 4096, stream_read, stream, stream_free);
	MHD_add_response_header(response, "Content-Type", "text/event-stream");
	result = MHD_queue_response(request->connection, 200, response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result
whole_reply(fake_target_t *target, fake_request_t *request, long tokens,
    size_t prompt_bytes)
{
	GString *text = g_string_new("{\"text\":\"");
	enum MHD_Result result;

	for (long i = 0; i < tokens; i++) {
		usleep((useconds_t)target->behaviour.token_ms * 1000);
		g_string_append_printf(text, "word%ld ", i);
	}
	__atomic_add_fetch(
	    &target->tokens, (unsigned long)tokens, __ATOMIC_RELAXED);
	g_string_append_printf(text,
	    "\",\"usage\":{\"prompt_tokens\":%zu,\"output_tokens\":%ld}}\n",
	    prompt_bytes / 4 + 1, tokens);
	target_leave(target);
	result = fake_http_reply(
	    request, 200, "application/json", NULL, text->str, text->len);
	g_string_free(text, TRUE);
	return result;
}

static enum MHD_Result
generate_handle(fake_target_t *target, fake_request_t *request)
{
	json_t *body =
	    json_loadb(request->body->str, request->body->len, 0, NULL);
	const char *prompt = json_string_value(json_object_get(body, "prompt"));
	long tokens =
	    (long)json_integer_value(json_object_get(body, "max_tokens"));
	long from =
	    (long)json_integer_value(json_object_get(body, "resume_from"));
	bool stream = json_is_true(json_object_get(body, "stream"));
	size_t prompt_bytes = prompt ? strlen(prompt) : 0;

	if (prompt == NULL) {
		json_decref(body);
		return fake_http_reply(request, 400, "application/json", NULL,
		    "{\"error\":\"prompt is missing\"}\n", 30);
	}
	arrival_record(target, request,
	    tokens - from + (long)prompt_bytes / 4 + 1, prompt);
	json_decref(body);
	target_enter(target);
	usleep((useconds_t)target->behaviour.first_ms * 1000);
	if (stream)
		return stream_reply(target, request, MIN(from, tokens), tokens);
	return whole_reply(target, request, tokens, prompt_bytes);
}

static enum MHD_Result
order_handle(fake_target_t *target, fake_request_t *request)
{
	g_autofree char *answer = NULL;
	size_t number;

	arrival_record(target, request, 1, request->body->str);
	target_enter(target);
	pthread_mutex_lock(&target->lock);
	json_array_append_new(target->orders, json_string(request->body->str));
	number = json_array_size(target->orders);
	pthread_mutex_unlock(&target->lock);
	usleep((useconds_t)target->behaviour.order_ms * 1000);
	target_leave(target);
	if (target->behaviour.close_orders)
		return MHD_NO;
	answer =
	    g_strdup_printf("{\"order\":\"%s-%zu\"}\n", target->name, number);
	return fake_http_reply(
	    request, 201, "application/json", NULL, answer, strlen(answer));
}

static enum MHD_Result
tree_handle(fake_target_t *target, fake_request_t *request)
{
	g_autofree char *answer =
	    g_strdup_printf("{\"tree\":\"%s\"}\n", request->path + 7);

	arrival_record(target, request, 1, request->path);
	target_enter(target);
	target_leave(target);
	return fake_http_reply(
	    request, 200, "application/json", NULL, answer, strlen(answer));
}

static enum MHD_Result
record_handle(fake_target_t *target, fake_request_t *request)
{
	json_t *record;
	char *text;
	enum MHD_Result result;

	pthread_mutex_lock(&target->lock);
	record = json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:O,s:O,s:s}", "requests",
	    (json_int_t)target->requests, "in_flight",
	    (json_int_t)target->in_flight, "max_in_flight",
	    (json_int_t)target->max_in_flight, "above_slots",
	    (json_int_t)target->above_slots, "tokens",
	    (json_int_t)target->tokens, "cancelled",
	    (json_int_t)target->cancelled, "orders", target->orders, "arrivals",
	    target->arrivals, "headers", target->headers->str);
	text = json_dumps(record, JSON_COMPACT);
	pthread_mutex_unlock(&target->lock);
	result = fake_http_reply(
	    request, 200, "application/json", NULL, text, strlen(text));
	json_decref(record);
	free(text);
	return result;
}

static enum MHD_Result
control_handle(fake_target_t *target, fake_request_t *request)
{
	struct {
		const char *name;
		int *value;
	} controls[] = {{"first_ms", &target->behaviour.first_ms},
	    {"token_ms", &target->behaviour.token_ms},
	    {"order_ms", &target->behaviour.order_ms},
	    {"close_orders", &target->behaviour.close_orders},
	    {"die_after", &target->behaviour.die_after},
	    {"load_ms", &target->engine.load_ms},
	    {"refuse_fences", &target->engine.refuse_fences}};

	for (size_t i = 0; i < G_N_ELEMENTS(controls); i++) {
		const char *value = fake_http_query(request, controls[i].name);

		if (value != NULL)
			*controls[i].value = atoi(value);
	}
	return fake_http_reply(request, 200, "text/plain", NULL, "ok\n", 3);
}

static enum MHD_Result
request_handle(fake_request_t *request)
{
	fake_target_t *target = request->user;

	if (strcmp(request->path, "/record") == 0)
		return record_handle(target, request);
	if (strcmp(request->path, "/control") == 0)
		return control_handle(target, request);
	if (strcmp(request->path, "/state") == 0)
		return fake_engine_state(&target->engine, request);
	if (strcmp(request->path, "/command") == 0)
		return fake_engine_command(&target->engine, request);
	if (strstr(request->body->str, target->crash_marker) != NULL)
		_exit(3);
	if (strcmp(request->path, "/generate") == 0)
		return generate_handle(target, request);
	if (strcmp(request->path, "/orders") == 0)
		return order_handle(target, request);
	if (g_str_has_prefix(request->path, "/trees/"))
		return tree_handle(target, request);
	return fake_http_reply(
	    request, 404, "text/plain", NULL, "not found\n", 10);
}

int
main(int argc, char **argv)
{
	fake_target_t target = {.crash_marker = "CRASH-THE-ENGINE",
	    .behaviour = {.first_ms = 5, .token_ms = 2},
	    .lock = PTHREAD_MUTEX_INITIALIZER};

	if (argc < 4) {
		fprintf(stderr,
		    "usage: fake_target PORT NAME SLOTS [FIRST_MS TOKEN_MS]\n");
		return 2;
	}
	target.name = argv[2];
	target.slots = (unsigned int)atoi(argv[3]);
	if (argc >= 6) {
		target.behaviour.first_ms = atoi(argv[4]);
		target.behaviour.token_ms = atoi(argv[5]);
	}
	fake_engine_init(&target.engine);
	target.orders = json_array();
	target.arrivals = json_array();
	target.headers = g_string_new(NULL);
	return fake_http_serve(
	    (uint16_t)atoi(argv[1]), request_handle, &target);
}
