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
#include "relay.h"

#define EARLY_RETRY_AFTER_US (1 * US_PER_S)

relay_t *
relay_ref(relay_t *relay)
{
	g_atomic_int_inc(&relay->refs);
	return relay;
}

void
relay_unref(relay_t *relay)
{
	if (!g_atomic_int_dec_and_test(&relay->refs))
		return;
	exchange_unref(relay->exchange);
	pthread_mutex_destroy(&relay->lock);
	sse_clear(&relay->sse);
	g_string_free(relay->capture, TRUE);
	g_ptr_array_free(relay->headers, TRUE);
	g_free(relay->path);
	g_free(relay->hop);
	g_free(relay->ticket);
	free(relay->body.adjusted);
	g_free(relay);
}

/* Uses the caller's request id if it is well-formed, or generates one. */
static void
request_id_choose(const exchange_t *exchange, char id[REQUEST_ID_LIMIT + 1])
{
	const char *given = exchange_header(exchange, "X-Request-Id");
	uint8_t random[8];
	size_t len = given ? strlen(given) : 0;

	if (len > 0 && len <= REQUEST_ID_LIMIT &&
	    strspn(given, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
			  "0123456789-_.") == len) {
		g_strlcpy(id, given, REQUEST_ID_LIMIT + 1);
		return;
	}
	randombytes_buf(random, sizeof(random));
	sodium_bin2hex(id, REQUEST_ID_LIMIT + 1, random, sizeof(random));
}

static void
header_pass(relay_t *relay, const char *name)
{
	const char *value = exchange_header(relay->exchange, name);

	if (value != NULL)
		g_ptr_array_add(
		    relay->headers, g_strdup_printf("%s: %s", name, value));
}

static relay_t *
relay_create(daemon_t *daemon, exchange_t *exchange, const char *request_id)
{
	relay_t *relay = g_new0(relay_t, 1);
	g_autofree char *query = exchange_query_text(exchange);
	const char *rest = exchange_path(exchange) + strlen(SERVICE_PREFIX);
	const char *slash = strchr(rest, '/');
	g_autofree char *path = NULL;

	relay->refs = 2; /* held by the exchange and the gate */
	pthread_mutex_init(&relay->lock, NULL);
	relay->daemon = daemon;
	relay->exchange = exchange_ref(exchange);
	relay->capture = g_string_new(NULL);
	relay->headers = g_ptr_array_new_with_free_func(g_free);
	relay->started_at = clock_now();
	relay->reported_load = -1;
	g_strlcpy(relay->request_id, request_id, sizeof(relay->request_id));
	path =
	    g_uri_escape_string(slash ? slash : "/", "/:@!$&'()*+,;=", FALSE);
	relay->path = query ? g_strdup_printf("%s?%s", path, query)
			    : g_steal_pointer(&path);
	header_pass(relay, "Content-Type");
	header_pass(relay, "Accept");
	header_pass(relay, "Accept-Language");
	g_ptr_array_add(
	    relay->headers, g_strdup_printf("X-Request-Id: %s", request_id));
	relay->ticket = g_strdup(exchange_header(exchange, "Idempotency-Key"));
	relay->hop = g_strdup(exchange_header(exchange, HOP_HEADER));
	return relay;
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
flight_open(relay_t *relay)
{
	daemon_t *daemon = relay->daemon;
	const exchange_t *exchange = relay->exchange;
	const char *rest = exchange_path(exchange) + strlen(SERVICE_PREFIX);
	const char *key = key_of_exchange(exchange);
	uint8_t hash[KEY_HASH_BYTES];
	hop_t hop;
	gate_head_t head = {.method = exchange_method(exchange),
	    .service = relay->service,
	    .user = relay};
	refusal_t reason;

	if (strcspn(rest, "/") > NAME_LIMIT)
		return REFUSAL_SERVICE_UNKNOWN;
	memcpy(relay->service, rest, strcspn(rest, "/"));
	head.path = rest + strcspn(rest, "/");
	if (relay->hop != NULL) {
		if (!hop_parse(relay->hop, &hop))
			return REFUSAL_PEER_UNAUTHENTIC;
		head.forwarded = true;
		head.forwarded_team = hop.team;
		head.forwarded_by = hop.sender;
	} else if (key != NULL) {
		key_hash_compute(key, hash);
		head.key_hash = hash;
	}
	head.deadline = relay->started_at +
			daemon->settings->request_deadline_ms * US_PER_MS;
	pthread_mutex_lock(&daemon->gate_lock);
	reason =
	    gate_open(daemon->gate, &head, relay->started_at, &relay->flight);
	if (reason == REFUSAL_NONE)
		gate_request_info(daemon->gate, relay->flight, &relay->info);
	pthread_mutex_unlock(&daemon->gate_lock);
	return reason;
}

/* Returns the key's team, for the endpoints listed in a refusal, or NULL. */
static const char *
team_of_key(
    daemon_t *daemon, const exchange_t *exchange, char team[NAME_LIMIT + 1])
{
	const char *key = key_of_exchange(exchange);
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
	    .team = team_of_key(daemon, exchange, team),
	    .detail = detail,
	    .request_id = request_id};

	if (reason == REFUSAL_MEMORY || reason == REFUSAL_STARTING)
		error.retry_after = EARLY_RETRY_AFTER_US;
	pthread_mutex_lock(&daemon->gate_lock);
	error.ran = gate_execution(daemon->gate, reason, error.team,
	    exchange_header(exchange, "Idempotency-Key"), clock_wall_s());
	pthread_mutex_unlock(&daemon->gate_lock);
	answer_refuse(daemon, exchange, &error);
}

void
relay_on_head(exchange_t *exchange, void *user)
{
	daemon_t *daemon = user;
	char request_id[REQUEST_ID_LIMIT + 1];
	refusal_t reason;
	relay_t *relay;

	if (!g_str_has_prefix(exchange_path(exchange), SERVICE_PREFIX))
		return;
	request_id_choose(exchange, request_id);
	reason = head_check(daemon, exchange);
	if (reason != REFUSAL_NONE) {
		head_refuse(daemon, exchange, reason, NULL, request_id);
		return;
	}
	relay = relay_create(daemon, exchange, request_id);
	reason = flight_open(relay);
	if (reason != REFUSAL_NONE) {
		head_refuse(daemon, exchange, reason, NULL, request_id);
		relay->refs = 1; /* the gate holds no reference */
		relay_unref(relay);
		return;
	}
	exchange_set_data(exchange, relay);
}

/* Refuses a request that is open at the gate, and aborts it there. */
static void
relay_reject(relay_t *relay, refusal_t reason, const char *detail)
{
	daemon_t *daemon = relay->daemon;
	GArray *actions = daemon_actions_create();
	answer_error_t error = {.reason = reason,
	    .team = relay->info.team,
	    .detail = detail,
	    .request_id = relay->request_id};

	if (reason == REFUSAL_MEMORY)
		error.retry_after = EARLY_RETRY_AFTER_US;
	pthread_mutex_lock(&relay->lock);
	relay->over = true;
	pthread_mutex_unlock(&relay->lock);
	pthread_mutex_lock(&daemon->gate_lock);
	error.ran = gate_execution(daemon->gate, reason, relay->info.team,
	    relay->ticket, clock_wall_s());
	pthread_mutex_unlock(&daemon->gate_lock);
	answer_refuse(daemon, relay->exchange, &error);
	pthread_mutex_lock(&daemon->gate_lock);
	gate_abort(daemon->gate, relay->flight, reason, clock_now(), actions);
	pthread_mutex_unlock(&daemon->gate_lock);
	daemon_act(daemon, actions);
}

static bool
hop_is_authentic(const relay_t *relay)
{
	hop_request_t request = {.method = exchange_method(relay->exchange),
	    .path = exchange_path(relay->exchange)};

	request.body = exchange_body(relay->exchange, &request.body_len);
	return hop_verify(relay->hop, &request, relay->daemon->secrets,
	    relay->daemon->n_secrets, clock_wall_s());
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
relay_submit(relay_t *relay)
{
	daemon_t *daemon = relay->daemon;
	GArray *actions = daemon_actions_create();
	gate_body_t facts = {.cost = relay->body.cost,
	    .prefix_hash = relay->body.prefix_hash,
	    .ticket = relay->ticket,
	    .wall_s = clock_wall_s()};
	const char *body;
	size_t len;

	body = exchange_body(relay->exchange, &len);
	body_digest(
	    daemon, exchange_path(relay->exchange), body, len, facts.digest);
	pthread_mutex_lock(&daemon->gate_lock);
	gate_submit(daemon->gate, relay->flight, &facts, clock_now(), actions);
	pthread_mutex_unlock(&daemon->gate_lock);
	daemon_act(daemon, actions);
}

void
relay_on_request(exchange_t *exchange, void *user)
{
	relay_t *relay = exchange_data(exchange);
	g_autoptr(GError) error = NULL;
	const char *body;
	size_t len;

	if (relay == NULL) {
		pages_serve(user, exchange, false);
		return;
	}
	if (relay->hop != NULL && !hop_is_authentic(relay)) {
		relay_reject(relay, REFUSAL_PEER_UNAUTHENTIC, NULL);
		return;
	}
	body = exchange_body(exchange, &len);
	if (!body_read(body, len,
		relay->info.engine &&
		    strcmp(exchange_method(exchange), "POST") == 0,
		&relay->body, &error)) {
		relay_reject(relay, REFUSAL_BAD_REQUEST, error->message);
		return;
	}
	relay_submit(relay);
}

void
relay_on_head_malformed(exchange_t *exchange, void *user)
{
	char request_id[REQUEST_ID_LIMIT + 1];

	request_id_choose(exchange, request_id);
	head_refuse(user, exchange, REFUSAL_BAD_REQUEST,
	    "The request head has a NUL byte, a folded header line or more "
	    "than one Content-Length.",
	    request_id);
}

void
relay_on_body_refused(exchange_t *exchange, bool memory, void *user)
{
	relay_t *relay = exchange_data(exchange);
	refusal_t reason = memory ? REFUSAL_MEMORY : REFUSAL_BODY_TOO_LARGE;

	if (relay != NULL)
		relay_reject(relay, reason, NULL);
	else
		head_refuse(user, exchange, reason, NULL, "page");
}

void
relay_on_drained(exchange_t *exchange, void *user)
{
	relay_t *relay = exchange_data(exchange);

	if (relay == NULL)
		return;
	pthread_mutex_lock(&relay->lock);
	if (relay->transfer != NULL)
		transfer_resume(relay->transfer);
	pthread_mutex_unlock(&relay->lock);
}

void
relay_on_closed(exchange_t *exchange, bool whole, void *user)
{
	relay_t *relay = exchange_data(exchange);
	daemon_t *daemon = user;
	GArray *actions;

	if (relay == NULL)
		return;
	exchange_set_data(exchange, NULL);
	actions = daemon_actions_create();
	pthread_mutex_lock(&daemon->gate_lock);
	gate_abort(daemon->gate, relay->flight, REFUSAL_CALLER_GONE,
	    clock_now(), actions);
	pthread_mutex_unlock(&daemon->gate_lock);
	daemon_act(daemon, actions);
	relay_unref(relay);
}

void
relay_begin(relay_t *relay)
{
	if (relay->begun || relay->over)
		return;
	relay->begun = true;
	answer_add_headers(relay->daemon, relay->exchange, relay->request_id);
	exchange_stream_begin(relay->exchange, relay->status);
}

static void
relay_log(const relay_t *relay, refusal_t reason)
{
	log_event(LOG_INFO, "request", LOG_S("request_id", relay->request_id),
	    LOG_S("team", relay->info.team), LOG_S("service", relay->service),
	    LOG_S("reason", refusal_info(reason)->code),
	    LOG_I("status", relay->status), LOG_I("bytes", relay->delivered),
	    LOG_I("tokens", relay->sse.tokens),
	    LOG_I("us", clock_now() - relay->started_at));
}

/* Ends the caller's answer with an error; lock is held. */
static void
relay_fail(
    relay_t *relay, refusal_t reason, execution_t ran, time_us_t retry_after)
{
	answer_error_t error = {.reason = reason,
	    .ran = ran,
	    .retry_after = retry_after,
	    .team = relay->info.team,
	    .request_id = relay->request_id};
	g_autofree char *event = NULL;
	char *text;

	if (relay->over)
		return;
	relay->over = true;
	if (!relay->begun) {
		answer_refuse(relay->daemon, relay->exchange, &error);
		return;
	}
	counter_increment("refusals", "reason", refusal_info(reason)->code);
	if (!relay->sse.active) {
		exchange_stream_end(relay->exchange, NULL, false);
		return;
	}
	text = answer_error_text(&error, NULL, 0, NULL);
	event = g_strdup_printf("event: error\ndata: %s\n\n", text);
	free(text);
	exchange_stream_end(relay->exchange, event, true);
}

static void
relay_refuse(relay_t *relay, const gate_action_t *action)
{
	pthread_mutex_lock(&relay->lock);
	relay_fail(relay, action->u.refuse.reason, action->u.refuse.execution,
	    action->u.refuse.retry_after);
	pthread_mutex_unlock(&relay->lock);
	relay_log(relay, action->u.refuse.reason);
}

static void
relay_done(relay_t *relay)
{
	counter_increment("requests_answered", "service", relay->service);
	pthread_mutex_lock(&relay->lock);
	if (!relay->over) {
		relay_begin(relay);
		relay->over = true;
		/* A last event without a final blank line is still pending. */
		exchange_stream_end(relay->exchange,
		    relay->sse.active ? relay->sse.pending->str : NULL, true);
	}
	pthread_mutex_unlock(&relay->lock);
	relay_log(relay, REFUSAL_NONE);
}

static void
relay_replay(relay_t *relay, const gate_action_t *action)
{
	GBytes *answer = action->u.replay.answer;
	gsize len = 0;
	const char *body = answer ? g_bytes_get_data(answer, &len) : "";

	exchange_add_header(relay->exchange, "X-Cyclamensail-Ran", "completed");
	exchange_add_header(relay->exchange, "Idempotent-Replayed", "true");
	if (action->u.replay.content_type[0] != '\0')
		exchange_add_header(relay->exchange, "Content-Type",
		    action->u.replay.content_type);
	answer_add_headers(relay->daemon, relay->exchange, relay->request_id);
	pthread_mutex_lock(&relay->lock);
	relay->over = true;
	relay->status = action->u.replay.status;
	exchange_respond(relay->exchange, relay->status, body ? body : "", len);
	pthread_mutex_unlock(&relay->lock);
	relay_log(relay, REFUSAL_NONE);
}

static void
relay_cancel(relay_t *relay, const gate_action_t *action)
{
	pthread_mutex_lock(&relay->lock);
	relay_fail(
	    relay, action->u.refuse.reason, action->u.refuse.execution, 0);
	if (relay->transfer != NULL && !relay->info.order)
		transfer_cancel(relay->transfer);
	pthread_mutex_unlock(&relay->lock);
}

void
relay_act(daemon_t *daemon, const gate_action_t *action)
{
	relay_t *relay = action->user;

	if (action->retry_reason != NULL)
		counter_increment("retries", "reason", action->retry_reason);
	switch (action->kind) {
	case ACTION_SEND:
		attempt_send(relay, action);
		return;
	case ACTION_FORWARD:
		attempt_forward(relay, action);
		return;
	case ACTION_CANCEL:
		relay_cancel(relay, action);
		return;
	case ACTION_REFUSE:
		relay_refuse(relay, action);
		break;
	case ACTION_REPLAY:
		relay_replay(relay, action);
		break;
	case ACTION_DONE:
		relay_done(relay);
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
	relay_unref(relay);
}
