/*
 * The caller's side of a request: checks the head, opens and submits the
 * request at the gate, and ends the answer.
 */
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/counter.h"
#include "common/log.h"
#include "core/hop.h"
#include "request.h"

#define EARLY_RETRY_AFTER_US (1 * US_PER_S)

daemon_request_t *
daemon_request_ref(daemon_request_t *request)
{
	g_atomic_int_inc(&request->refs);
	return request;
}

void
daemon_request_unref(daemon_request_t *request)
{
	if (!g_atomic_int_dec_and_test(&request->refs))
		return;
	exchange_unref(request->exchange);
	pthread_mutex_destroy(&request->lock);
	sse_clear(&request->sse);
	g_string_free(request->capture, TRUE);
	g_ptr_array_free(request->headers, TRUE);
	g_free(request->path);
	g_free(request->hop);
	g_free(request->ticket);
	free(request->body.adjusted_body);
	g_free(request);
}

/* Uses the caller's request id if it is well-formed, or generates one. */
static void
daemon_request_id_choose(
    const exchange_t *exchange, char id[REQUEST_ID_LIMIT + 1])
{
	const char *supplied = exchange_header(exchange, "X-Request-Id");
	uint8_t random[8];
	size_t len = supplied ? strlen(supplied) : 0;

	if (len > 0 && len <= REQUEST_ID_LIMIT &&
	    strspn(supplied,
		"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
		"0123456789-_.") == len) {
		g_strlcpy(id, supplied, REQUEST_ID_LIMIT + 1);
		return;
	}
	randombytes_buf(random, sizeof(random));
	sodium_bin2hex(id, REQUEST_ID_LIMIT + 1, random, sizeof(random));
}

static void
header_forward(daemon_request_t *request, const char *name)
{
	const char *value = exchange_header(request->exchange, name);

	if (value != NULL)
		g_ptr_array_add(
		    request->headers, g_strdup_printf("%s: %s", name, value));
}

static daemon_request_t *
daemon_request_create(
    daemon_t *daemon, exchange_t *exchange, const char *request_id)
{
	daemon_request_t *request = g_new0(daemon_request_t, 1);
	g_autofree char *query = exchange_query_text(exchange);
	const char *service_path =
	    exchange_path(exchange) + strlen(SERVICE_PREFIX);
	const char *slash = strchr(service_path, '/');
	g_autofree char *path = NULL;

	request->refs = 2; /* held by the exchange and the gate */
	pthread_mutex_init(&request->lock, NULL);
	request->daemon = daemon;
	request->exchange = exchange_ref(exchange);
	request->capture = g_string_new(NULL);
	request->headers = g_ptr_array_new_with_free_func(g_free);
	request->started_at = clock_now();
	request->reported_load = -1;
	g_strlcpy(request->request_id, request_id, sizeof(request->request_id));
	path =
	    g_uri_escape_string(slash ? slash : "/", "/:@!$&'()*+,;=", FALSE);
	request->path = query ? g_strdup_printf("%s?%s", path, query)
			      : g_steal_pointer(&path);
	header_forward(request, "Content-Type");
	header_forward(request, "Accept");
	header_forward(request, "Accept-Language");
	g_ptr_array_add(
	    request->headers, g_strdup_printf("X-Request-Id: %s", request_id));
	request->ticket =
	    g_strdup(exchange_header(exchange, "Idempotency-Key"));
	request->hop = g_strdup(exchange_header(exchange, HOP_HEADER));
	return request;
}

static bool
query_has_key(const exchange_t *exchange)
{
	static const char *const names[] = {
	    "key", "api_key", "apikey", "api-key", "token", "access_token"};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (exchange_query(exchange, names[i]) != NULL)
			return true;
	}
	return false;
}

/* Does the checks that need no state of the gate. */
static refusal_t
head_check(daemon_t *daemon, const exchange_t *exchange)
{
	const char *method = exchange_method(exchange);
	const char *length = exchange_header(exchange, "Content-Length");
	size_t limit = (size_t)daemon->settings->body_limit_kb * 1024;

	if (strcmp(method, "GET") != 0 && strcmp(method, "HEAD") != 0 &&
	    strcmp(method, "POST") != 0)
		return REFUSAL_METHOD;
	if (query_has_key(exchange))
		return REFUSAL_KEY_IN_QUERY;
	if (length != NULL && g_ascii_strtoull(length, NULL, 10) > limit)
		return REFUSAL_BODY_TOO_LARGE;
	if (exchange_server_memory(exchange) + EXCHANGE_BUFFER_BYTES >
	    (size_t)daemon->settings->memory_mb * 1024 * 1024)
		return REFUSAL_MEMORY;
	return REFUSAL_NONE;
}

static refusal_t
daemon_request_open(daemon_request_t *request)
{
	daemon_t *daemon = request->daemon;
	const exchange_t *exchange = request->exchange;
	const char *service_path =
	    exchange_path(exchange) + strlen(SERVICE_PREFIX);
	const char *key = exchange_bearer_key(exchange);
	uint8_t hash[KEY_HASH_BYTES];
	hop_t hop;
	gate_head_t head = {.method = exchange_method(exchange),
	    .service = request->service,
	    .user = request};
	refusal_t reason;

	if (strcspn(service_path, "/") > NAME_LIMIT)
		return REFUSAL_SERVICE_UNKNOWN;
	memcpy(request->service, service_path, strcspn(service_path, "/"));
	head.path = service_path + strcspn(service_path, "/");
	if (request->hop != NULL) {
		if (!hop_parse(request->hop, &hop))
			return REFUSAL_PEER_UNAUTHENTIC;
		head.forwarded = true;
		head.forwarded_team = hop.team;
		head.forwarded_by = hop.sender;
	} else if (key != NULL) {
		key_hash_compute(key, hash);
		head.key_hash = hash;
	}
	head.deadline = request->started_at +
			daemon->settings->request_deadline_ms * US_PER_MS;
	pthread_mutex_lock(&daemon->gate_lock);
	reason = gate_open(
	    daemon->gate, &head, request->started_at, &request->handle);
	if (reason == REFUSAL_NONE)
		gate_request_info(
		    daemon->gate, request->handle, &request->info);
	pthread_mutex_unlock(&daemon->gate_lock);
	return reason;
}

/* Returns the key's team, for the endpoints listed in a refusal, or NULL. */
static const char *
key_team(
    daemon_t *daemon, const exchange_t *exchange, char team[NAME_LIMIT + 1])
{
	const char *key = exchange_bearer_key(exchange);
	uint8_t hash[KEY_HASH_BYTES];
	char key_id[NAME_LIMIT + 1];
	bool found;

	if (key == NULL)
		return NULL;
	key_hash_compute(key, hash);
	pthread_mutex_lock(&daemon->gate_lock);
	found = gate_find_key(daemon->gate, hash, team, key_id);
	pthread_mutex_unlock(&daemon->gate_lock);
	return found ? team : NULL;
}

/* Refuses a request before its body was read. */
static void
head_refuse(daemon_t *daemon, exchange_t *exchange, refusal_t reason,
    const char *detail, const char *request_id)
{
	char team[NAME_LIMIT + 1];
	answer_error_t error = {.reason = reason,
	    .team = key_team(daemon, exchange, team),
	    .detail = detail,
	    .request_id = request_id};

	if (reason == REFUSAL_MEMORY || reason == REFUSAL_STARTING)
		error.retry_after = EARLY_RETRY_AFTER_US;
	pthread_mutex_lock(&daemon->gate_lock);
	error.execution = gate_execution(daemon->gate, reason, error.team,
	    exchange_header(exchange, "Idempotency-Key"), clock_wall_s());
	pthread_mutex_unlock(&daemon->gate_lock);
	answer_refuse(daemon, exchange, &error);
}

void
daemon_request_on_head(exchange_t *exchange, void *user)
{
	daemon_t *daemon = user;
	char request_id[REQUEST_ID_LIMIT + 1];
	refusal_t reason;
	daemon_request_t *request;

	if (!g_str_has_prefix(exchange_path(exchange), SERVICE_PREFIX))
		return;
	daemon_request_id_choose(exchange, request_id);
	reason = head_check(daemon, exchange);
	if (reason != REFUSAL_NONE) {
		head_refuse(daemon, exchange, reason, NULL, request_id);
		return;
	}
	request = daemon_request_create(daemon, exchange, request_id);
	reason = daemon_request_open(request);
	if (reason != REFUSAL_NONE) {
		head_refuse(daemon, exchange, reason, NULL, request_id);
		request->refs = 1; /* the gate holds no reference */
		daemon_request_unref(request);
		return;
	}
	exchange_set_data(exchange, request);
}

/* Refuses a request that is open at the gate, and aborts it there. */
static void
daemon_request_reject(
    daemon_request_t *request, refusal_t reason, const char *detail)
{
	daemon_t *daemon = request->daemon;
	GArray *actions = daemon_actions_create();
	answer_error_t error = {.reason = reason,
	    .team = request->info.team,
	    .detail = detail,
	    .request_id = request->request_id};

	if (reason == REFUSAL_MEMORY)
		error.retry_after = EARLY_RETRY_AFTER_US;
	pthread_mutex_lock(&request->lock);
	request->answer_ended = true;
	pthread_mutex_unlock(&request->lock);
	pthread_mutex_lock(&daemon->gate_lock);
	error.execution = gate_execution(daemon->gate, reason,
	    request->info.team, request->ticket, clock_wall_s());
	pthread_mutex_unlock(&daemon->gate_lock);
	answer_refuse(daemon, request->exchange, &error);
	pthread_mutex_lock(&daemon->gate_lock);
	gate_abort(daemon->gate, request->handle, reason, clock_now(), actions);
	pthread_mutex_unlock(&daemon->gate_lock);
	daemon_execute(daemon, actions);
}

static bool
hop_is_authentic(const daemon_request_t *request)
{
	hop_request_t hop_request = {
	    .method = exchange_method(request->exchange),
	    .path = exchange_path(request->exchange)};

	hop_request.body =
	    exchange_body(request->exchange, &hop_request.body_len);
	return hop_verify(request->hop, &hop_request, request->daemon->secrets,
	    request->daemon->n_secrets, clock_wall_s());
}

/* Computes a keyed digest of a request, the same on all instances. */
static void
body_digest(const daemon_t *daemon, const char *path, const char *body,
    size_t len, uint8_t digest[DIGEST_BYTES])
{
	crypto_generichash_state state;

	crypto_generichash_init(&state, daemon->digest_key,
	    sizeof(daemon->digest_key), DIGEST_BYTES);
	crypto_generichash_update(
	    &state, (const unsigned char *)path, strlen(path) + 1);
	crypto_generichash_update(&state, (const unsigned char *)body, len);
	crypto_generichash_final(&state, digest, DIGEST_BYTES);
}

static void
daemon_request_submit(daemon_request_t *request)
{
	daemon_t *daemon = request->daemon;
	GArray *actions = daemon_actions_create();
	gate_body_t gate_body = {.cost = request->body.cost,
	    .prefix_hash = request->body.prefix_hash,
	    .ticket = request->ticket,
	    .wall_s = clock_wall_s()};
	const char *body;
	size_t len;

	body = exchange_body(request->exchange, &len);
	body_digest(daemon, exchange_path(request->exchange), body, len,
	    gate_body.digest);
	pthread_mutex_lock(&daemon->gate_lock);
	gate_submit(
	    daemon->gate, request->handle, &gate_body, clock_now(), actions);
	pthread_mutex_unlock(&daemon->gate_lock);
	daemon_execute(daemon, actions);
}

void
daemon_request_on_received(exchange_t *exchange, void *user)
{
	daemon_request_t *request = exchange_data(exchange);
	g_autoptr(GError) error = NULL;
	const char *body;
	size_t len;

	if (request == NULL) {
		pages_serve(user, exchange, false);
		return;
	}
	if (request->hop != NULL && !hop_is_authentic(request)) {
		daemon_request_reject(request, REFUSAL_PEER_UNAUTHENTIC, NULL);
		return;
	}
	body = exchange_body(exchange, &len);
	if (!body_read(body, len,
		request->info.engine &&
		    strcmp(exchange_method(exchange), "POST") == 0,
		&request->body, &error)) {
		daemon_request_reject(
		    request, REFUSAL_BAD_REQUEST, error->message);
		return;
	}
	daemon_request_submit(request);
}

void
daemon_request_on_head_malformed(exchange_t *exchange, void *user)
{
	char request_id[REQUEST_ID_LIMIT + 1];

	daemon_request_id_choose(exchange, request_id);
	head_refuse(user, exchange, REFUSAL_BAD_REQUEST,
	    "The request head has a NUL byte, a folded header line or more "
	    "than one Content-Length.",
	    request_id);
}

void
daemon_request_on_body_refused(exchange_t *exchange, bool memory, void *user)
{
	daemon_request_t *request = exchange_data(exchange);
	refusal_t reason = memory ? REFUSAL_MEMORY : REFUSAL_BODY_TOO_LARGE;

	if (request != NULL)
		daemon_request_reject(request, reason, NULL);
	else
		head_refuse(user, exchange, reason, NULL, "page");
}

void
daemon_request_on_drained(exchange_t *exchange, void *user)
{
	daemon_request_t *request = exchange_data(exchange);

	if (request == NULL)
		return;
	pthread_mutex_lock(&request->lock);
	if (request->transfer != NULL)
		transfer_resume(request->transfer);
	pthread_mutex_unlock(&request->lock);
}

void
daemon_request_on_closed(exchange_t *exchange, bool complete, void *user)
{
	daemon_request_t *request = exchange_data(exchange);
	daemon_t *daemon = user;
	GArray *actions;

	if (request == NULL)
		return;
	exchange_set_data(exchange, NULL);
	actions = daemon_actions_create();
	pthread_mutex_lock(&daemon->gate_lock);
	gate_abort(daemon->gate, request->handle, REFUSAL_CALLER_GONE,
	    clock_now(), actions);
	pthread_mutex_unlock(&daemon->gate_lock);
	daemon_execute(daemon, actions);
	daemon_request_unref(request);
}

void
daemon_request_start_answer(daemon_request_t *request)
{
	if (request->answer_started || request->answer_ended)
		return;
	request->answer_started = true;
	answer_add_headers(
	    request->daemon, request->exchange, request->request_id);
	exchange_stream_begin(request->exchange, request->status);
}

static void
daemon_request_log(const daemon_request_t *request, refusal_t reason)
{
	log_event(LOG_INFO, "request", LOG_S("request_id", request->request_id),
	    LOG_S("team", request->info.team),
	    LOG_S("service", request->service),
	    LOG_S("reason", refusal_info(reason)->code),
	    LOG_I("status", request->status),
	    LOG_I("bytes", request->delivered),
	    LOG_I("tokens", request->sse.tokens),
	    LOG_I("us", clock_now() - request->started_at));
}

/* Ends the caller's answer with an error; lock is held. */
static void
daemon_request_answer_error(daemon_request_t *request, refusal_t reason,
    execution_t execution, time_us_t retry_after)
{
	answer_error_t error = {.reason = reason,
	    .execution = execution,
	    .retry_after = retry_after,
	    .team = request->info.team,
	    .request_id = request->request_id};
	g_autofree char *event = NULL;
	char *text;

	if (request->answer_ended)
		return;
	request->answer_ended = true;
	if (!request->answer_started) {
		answer_refuse(request->daemon, request->exchange, &error);
		return;
	}
	counter_increment("refusals", "reason", refusal_info(reason)->code);
	if (!request->sse.active) {
		exchange_stream_end(request->exchange, NULL, false);
		return;
	}
	text = answer_error_text(&error, NULL, 0, NULL);
	event = g_strdup_printf("event: error\ndata: %s\n\n", text);
	free(text);
	exchange_stream_end(request->exchange, event, true);
}

static void
daemon_request_refuse(daemon_request_t *request, const gate_action_t *action)
{
	pthread_mutex_lock(&request->lock);
	daemon_request_answer_error(request, action->u.refuse.reason,
	    action->u.refuse.execution, action->u.refuse.retry_after);
	pthread_mutex_unlock(&request->lock);
	daemon_request_log(request, action->u.refuse.reason);
}

static void
daemon_request_complete(daemon_request_t *request)
{
	counter_increment("requests_answered", "service", request->service);
	pthread_mutex_lock(&request->lock);
	if (!request->answer_ended) {
		daemon_request_start_answer(request);
		request->answer_ended = true;
		/* A last event without a final blank line is still pending. */
		exchange_stream_end(request->exchange,
		    request->sse.active ? request->sse.pending->str : NULL,
		    true);
	}
	pthread_mutex_unlock(&request->lock);
	daemon_request_log(request, REFUSAL_NONE);
}

static void
daemon_request_replay(daemon_request_t *request, const gate_action_t *action)
{
	GBytes *answer = action->u.replay.answer;
	gsize len = 0;
	const char *body = answer ? g_bytes_get_data(answer, &len) : "";

	exchange_add_header(
	    request->exchange, "X-Cyclamensail-Ran", "completed");
	exchange_add_header(request->exchange, "Idempotent-Replayed", "true");
	if (action->u.replay.content_type[0] != '\0')
		exchange_add_header(request->exchange, "Content-Type",
		    action->u.replay.content_type);
	answer_add_headers(
	    request->daemon, request->exchange, request->request_id);
	pthread_mutex_lock(&request->lock);
	request->answer_ended = true;
	request->status = action->u.replay.status;
	exchange_respond(
	    request->exchange, request->status, body ? body : "", len);
	pthread_mutex_unlock(&request->lock);
	daemon_request_log(request, REFUSAL_NONE);
}

static void
daemon_request_cancel(daemon_request_t *request, const gate_action_t *action)
{
	pthread_mutex_lock(&request->lock);
	daemon_request_answer_error(
	    request, action->u.refuse.reason, action->u.refuse.execution, 0);
	if (request->transfer != NULL && !request->info.order)
		transfer_cancel(request->transfer);
	pthread_mutex_unlock(&request->lock);
}

void
daemon_request_execute(daemon_t *daemon, const gate_action_t *action)
{
	daemon_request_t *request = action->user;

	if (action->retry_reason != NULL)
		counter_increment("retries", "reason", action->retry_reason);
	switch (action->kind) {
	case ACTION_SEND:
		attempt_send(request, action);
		return;
	case ACTION_FORWARD:
		attempt_forward(request, action);
		return;
	case ACTION_CANCEL:
		daemon_request_cancel(request, action);
		return;
	case ACTION_REFUSE:
		daemon_request_refuse(request, action);
		break;
	case ACTION_REPLAY:
		daemon_request_replay(request, action);
		break;
	case ACTION_DONE:
		daemon_request_complete(request);
		break;
	case ACTION_BORROW:
	case ACTION_RETURN:
	case ACTION_FETCH:
	case ACTION_COMMAND:
	case ACTION_ENGINE_STATE:
	case ACTION_HEARTBEAT:
		return;
	}
	/* The request has ended at the gate, which gives up its reference. */
	daemon_request_unref(request);
}
