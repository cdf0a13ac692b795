/*
 * Attempts of a request: starts the transfer to a target or another instance,
 * passes the answer on to the caller and reports the outcome to the gate.
 */
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/counter.h"
#include "core/hop.h"
#include "relay.h"

#define START_LIMIT_US (1 * US_PER_S)
#define CONNECT_TIMEOUT_US (1 * US_PER_S)
#define TARGET_IDLE_TIMEOUT_US (60 * US_PER_S)

/* Longest answer of an order that is kept to be replayed. */
#define CAPTURE_LIMIT_BYTES ((size_t)64 * 1024)

/* An answer without the header comes from a target. */
static execution_t
ran_parse(const char *text)
{
	if (text == NULL ||
	    strcmp(text, execution_name(EXECUTION_COMPLETED)) == 0)
		return EXECUTION_COMPLETED;
	return strcmp(text, execution_name(EXECUTION_NOT_RUN)) == 0
		   ? EXECUTION_NOT_RUN
		   : EXECUTION_UNKNOWN;
}

/* Receives the head of an attempt's answer. */
static void
attempt_on_head(void *user, const transfer_head_t *head)
{
	relay_t *relay = user;

	pthread_mutex_lock(&relay->lock);
	relay->reported_load = head->reported_load;
	/* Accepted from another instance only; a target's header is ignored. */
	relay->forward_ran =
	    relay->forwarded ? ran_parse(head->ran) : EXECUTION_COMPLETED;
	if (relay->begun) {
		/* A resumed stream must have the same status and type. */
		relay->mismatch =
		    head->status != relay->status ||
		    strcmp(head->content_type, relay->content_type) != 0;
		pthread_mutex_unlock(&relay->lock);
		return;
	}
	relay->status = head->status;
	g_strlcpy(relay->content_type, head->content_type,
	    sizeof(relay->content_type));
	sse_reset(&relay->sse,
	    g_str_has_prefix(head->content_type, "text/event-stream"));
	if (!relay->over) {
		if (head->content_type[0] != '\0')
			exchange_add_header(relay->exchange, "Content-Type",
			    head->content_type);
		if (head->retry_after != NULL)
			exchange_add_header(
			    relay->exchange, "Retry-After", head->retry_after);
		if (relay->forwarded && head->ran != NULL)
			exchange_add_header(
			    relay->exchange, "X-Cyclamensail-Ran", head->ran);
	}
	pthread_mutex_unlock(&relay->lock);
}

static void
capture_append(relay_t *relay, const char *data, size_t len)
{
	if (relay->sse.active || relay->capture->len > CAPTURE_LIMIT_BYTES)
		return;
	g_string_append_len(relay->capture, data, (gssize)len);
}

static bool
attempt_on_data(void *user, const char *data, size_t len)
{
	relay_t *relay = user;
	size_t whole;
	bool taken = true;

	pthread_mutex_lock(&relay->lock);
	if (relay->mismatch)
		goto out;
	relay_begin(relay);
	if (!relay->sse.active) {
		taken = relay->over ||
			exchange_stream_write(relay->exchange, data, len);
		if (taken) {
			capture_append(relay, data, len);
			relay->delivered += len;
		}
		goto out;
	}
	/* Passes complete events only, so that a lost stream can be resumed. */
	whole = sse_append(&relay->sse, data, len);
	taken = whole == 0 || relay->over ||
		exchange_stream_write(
		    relay->exchange, relay->sse.pending->str, whole);
	if (!taken) {
		sse_undo(&relay->sse, len);
	} else {
		sse_consume(&relay->sse, whole);
		relay->delivered += whole;
	}
out:
	pthread_mutex_unlock(&relay->lock);
	return taken;
}

static int64_t
tokens_used(const relay_t *relay)
{
	if (!relay->info.engine)
		return 1;
	if (relay->sse.active)
		return relay->body.prompt_tokens + relay->sse.tokens;
	return answer_tokens(relay->capture->str, relay->capture->len,
	    relay->body.prompt_tokens);
}

static gate_attempt_result_t
result_map(transfer_result_t result)
{
	switch (result) {
	case TRANSFER_OK:
		return GATE_ATTEMPT_OK;
	case TRANSFER_UNSENT:
		return GATE_ATTEMPT_UNSENT;
	case TRANSFER_LOST:
		return GATE_ATTEMPT_LOST;
	case TRANSFER_TIMEOUT:
		return GATE_ATTEMPT_TIMEOUT;
	case TRANSFER_CANCELLED:
		break;
	}
	return GATE_ATTEMPT_CANCELLED;
}

/* Reports the outcome of an attempt to the gate. */
static void
attempt_report(relay_t *relay, gate_attempt_result_t result)
{
	daemon_t *daemon = relay->daemon;
	GArray *actions = daemon_actions_create();
	g_autofree char *answer = NULL;
	gate_attempt_outcome_t outcome;

	pthread_mutex_lock(&relay->lock);
	if (relay->mismatch && result == GATE_ATTEMPT_OK)
		result = GATE_ATTEMPT_LOST;
	answer = g_strndup(relay->capture->str, relay->capture->len);
	outcome = (gate_attempt_outcome_t){.result = result,
	    .status = relay->status,
	    .used = result == GATE_ATTEMPT_OK ? tokens_used(relay) : -1,
	    .delivered = relay->delivered,
	    .resumable = relay->sse.active,
	    .reported_load = relay->reported_load,
	    .content_type = relay->content_type,
	    .answer = answer,
	    .answer_len = relay->capture->len,
	    .forward_execution = relay->forward_ran,
	    .wall_s = clock_wall_s()};
	if (relay->sse.active && result != GATE_ATTEMPT_OK &&
	    relay->delivered > 0)
		outcome.used = tokens_used(relay);
	if (result != GATE_ATTEMPT_OK && !relay->begun)
		g_string_truncate(relay->capture, 0);
	pthread_mutex_unlock(&relay->lock);
	pthread_mutex_lock(&daemon->gate_lock);
	gate_attempt_ended(
	    daemon->gate, relay->flight, &outcome, clock_now(), actions);
	pthread_mutex_unlock(&daemon->gate_lock);
	daemon_act(daemon, actions);
}

static void
attempt_on_done(void *user, transfer_result_t result)
{
	relay_t *relay = user;
	transfer_t *transfer;

	pthread_mutex_lock(&relay->lock);
	transfer = relay->transfer;
	relay->transfer = NULL;
	if (result != TRANSFER_OK)
		sse_drop_partial(&relay->sse);
	pthread_mutex_unlock(&relay->lock);
	transfer_unref(transfer);
	attempt_report(relay, result_map(result));
	relay_unref(relay);
}

static const transfer_callbacks_t attempt_callbacks = {
    attempt_on_head, attempt_on_data, attempt_on_done};

/* Starts an attempt; extra is an additional header line or NULL. */
static void
attempt_start(relay_t *relay, const char *url, const char *extra,
    bool single_send, bool forwarded)
{
	g_autoptr(GPtrArray) headers = g_ptr_array_new();
	g_autofree char *resumed = NULL;
	transfer_spec_t spec = {.method = exchange_method(relay->exchange),
	    .url = url,
	    .single_send = single_send,
	    .start_by = clock_now() + START_LIMIT_US,
	    .connect_timeout_us = CONNECT_TIMEOUT_US,
	    .idle_timeout_us = TARGET_IDLE_TIMEOUT_US};
	bool started = false;
	bool wanted;

	for (guint i = 0; i < relay->headers->len; i++)
		g_ptr_array_add(headers, g_ptr_array_index(relay->headers, i));
	if (extra != NULL)
		g_ptr_array_add(headers, (void *)extra);
	g_ptr_array_add(headers, NULL);
	spec.headers = (const char *const *)headers->pdata;
	spec.body = exchange_body(relay->exchange, &spec.body_len);
	if (relay->body.adjusted != NULL && !forwarded) {
		spec.body = relay->body.adjusted;
		spec.body_len = strlen(spec.body);
	}
	pthread_mutex_lock(&relay->lock);
	if (relay->begun && relay->sse.tokens > 0) {
		resumed =
		    body_resume(spec.body, spec.body_len, relay->sse.tokens);
		spec.body = resumed;
		spec.body_len = strlen(resumed);
	}
	relay->forwarded = forwarded;
	if (forwarded)
		spec.authority = relay->daemon->settings->tls_authority;
	wanted = !relay->over || relay->info.order;
	if (wanted) {
		relay_ref(relay);
		relay->transfer = transfer_start(
		    relay->daemon->transfers, &spec, &attempt_callbacks, relay);
		started = relay->transfer != NULL;
	}
	pthread_mutex_unlock(&relay->lock);
	if (started)
		return;
	attempt_report(relay, GATE_ATTEMPT_UNSENT);
	if (wanted)
		relay_unref(relay);
}

void
attempt_send(relay_t *relay, const gate_action_t *action)
{
	g_autofree char *url =
	    g_strconcat(action->u.send.url, relay->path, NULL);

	attempt_start(relay, url, NULL, action->u.send.single_send, false);
}

void
attempt_forward(relay_t *relay, const gate_action_t *action)
{
	daemon_t *daemon = relay->daemon;
	const char *path = exchange_path(relay->exchange);
	g_autofree char *url = g_strdup_printf("%s://%s%s%s%s",
	    daemon->settings->tls_certificate ? "https" : "http",
	    action->u.forward.http, SERVICE_PREFIX, relay->service,
	    relay->path);
	hop_request_t request = {
	    .method = exchange_method(relay->exchange), .path = path};
	hop_t hop = {.wall_s = clock_wall_s()};
	char text[HOP_TEXT_LIMIT];
	g_autofree char *line = NULL;

	g_strlcpy(hop.sender, daemon->settings->instance, sizeof(hop.sender));
	g_strlcpy(hop.team, action->u.forward.team, sizeof(hop.team));
	counter_increment("forwards", "cause", action->u.forward.cause);
	randombytes_buf(&hop.nonce, sizeof(hop.nonce));
	request.body = exchange_body(relay->exchange, &request.body_len);
	hop_sign(&hop, &request, daemon->secrets[0], text, sizeof(text));
	line = relay->ticket ? g_strdup_printf("%s: %s\r\nIdempotency-Key: %s",
				   HOP_HEADER, text, relay->ticket)
			     : g_strdup_printf("%s: %s", HOP_HEADER, text);
	attempt_start(relay, url, line, action->u.forward.single_send, true);
}
