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
#include "request.h"

#define START_LIMIT_US (1 * US_PER_S)
#define CONNECT_TIMEOUT_US (1 * US_PER_S)
#define TARGET_IDLE_TIMEOUT_US (60 * US_PER_S)

/* Longest answer of an order that is kept to be replayed. */
#define CAPTURE_LIMIT_BYTES ((size_t)64 * 1024)

/* An answer without the header comes from a target. */
static execution_t
execution_parse(const char *text)
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
	daemon_request_t *request = user;

	pthread_mutex_lock(&request->lock);
	request->reported_load = head->reported_load;
	/* Accepted from another instance only; a target's header is ignored. */
	request->forward_execution = request->forwarded
					 ? execution_parse(head->execution)
					 : EXECUTION_COMPLETED;
	if (request->answer_started) {
		/* A resumed stream must have the same status and type. */
		request->resume_mismatch =
		    head->status != request->status ||
		    strcmp(head->content_type, request->content_type) != 0;
		pthread_mutex_unlock(&request->lock);
		return;
	}
	request->status = head->status;
	g_strlcpy(request->content_type, head->content_type,
	    sizeof(request->content_type));
	sse_reset(&request->sse,
	    g_str_has_prefix(head->content_type, "text/event-stream"));
	if (!request->answer_ended) {
		if (head->content_type[0] != '\0')
			exchange_add_header(request->exchange, "Content-Type",
			    head->content_type);
		if (head->retry_after != NULL)
			exchange_add_header(request->exchange, "Retry-After",
			    head->retry_after);
		if (request->forwarded && head->execution != NULL)
			exchange_add_header(request->exchange,
			    "X-Cyclamensail-Ran", head->execution);
	}
	pthread_mutex_unlock(&request->lock);
}

static void
capture_append(daemon_request_t *request, const char *data, size_t len)
{
	if (request->sse.active || request->capture->len > CAPTURE_LIMIT_BYTES)
		return;
	g_string_append_len(request->capture, data, (gssize)len);
}

static bool
attempt_on_data(void *user, const char *data, size_t len)
{
	daemon_request_t *request = user;
	size_t complete_len;
	bool accepted = true;

	pthread_mutex_lock(&request->lock);
	if (request->resume_mismatch)
		goto out;
	daemon_request_start_answer(request);
	if (!request->sse.active) {
		accepted = request->answer_ended ||
			   exchange_stream_write(request->exchange, data, len);
		if (accepted) {
			capture_append(request, data, len);
			request->delivered += len;
		}
		goto out;
	}
	/* Passes complete events only, so that a lost stream can be resumed. */
	complete_len = sse_append(&request->sse, data, len);
	accepted = complete_len == 0 || request->answer_ended ||
		   exchange_stream_write(request->exchange,
		       request->sse.pending->str, complete_len);
	if (!accepted) {
		sse_undo(&request->sse, len);
	} else {
		sse_consume(&request->sse, complete_len);
		request->delivered += complete_len;
	}
out:
	pthread_mutex_unlock(&request->lock);
	return accepted;
}

static int64_t
tokens_used(const daemon_request_t *request)
{
	if (!request->info.engine)
		return 1;
	if (request->sse.active)
		return request->body.prompt_tokens + request->sse.tokens;
	return answer_tokens(request->capture->str, request->capture->len,
	    request->body.prompt_tokens);
}

static gate_attempt_result_t
attempt_result(transfer_result_t result)
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
attempt_report(daemon_request_t *request, gate_attempt_result_t result)
{
	daemon_t *daemon = request->daemon;
	GArray *actions = daemon_actions_create();
	g_autofree char *answer = NULL;
	gate_attempt_outcome_t outcome;

	pthread_mutex_lock(&request->lock);
	if (request->resume_mismatch && result == GATE_ATTEMPT_OK)
		result = GATE_ATTEMPT_LOST;
	answer = g_strndup(request->capture->str, request->capture->len);
	outcome = (gate_attempt_outcome_t){.result = result,
	    .status = request->status,
	    .used = result == GATE_ATTEMPT_OK ? tokens_used(request) : -1,
	    .delivered = request->delivered,
	    .resumable = request->sse.active,
	    .reported_load = request->reported_load,
	    .content_type = request->content_type,
	    .answer = answer,
	    .answer_len = request->capture->len,
	    .forward_execution = request->forward_execution,
	    .wall_s = clock_wall_s()};
	if (request->sse.active && result != GATE_ATTEMPT_OK &&
	    request->delivered > 0)
		outcome.used = tokens_used(request);
	if (result != GATE_ATTEMPT_OK && !request->answer_started)
		g_string_truncate(request->capture, 0);
	pthread_mutex_unlock(&request->lock);
	pthread_mutex_lock(&daemon->gate_lock);
	gate_attempt_ended(
	    daemon->gate, request->handle, &outcome, clock_now(), actions);
	pthread_mutex_unlock(&daemon->gate_lock);
	daemon_execute(daemon, actions);
}

static void
attempt_on_done(void *user, transfer_result_t result)
{
	daemon_request_t *request = user;
	transfer_t *transfer;

	pthread_mutex_lock(&request->lock);
	transfer = request->transfer;
	request->transfer = NULL;
	if (result != TRANSFER_OK)
		sse_drop_partial(&request->sse);
	pthread_mutex_unlock(&request->lock);
	transfer_unref(transfer);
	attempt_report(request, attempt_result(result));
	daemon_request_unref(request);
}

static const transfer_callbacks_t attempt_callbacks = {
    attempt_on_head, attempt_on_data, attempt_on_done};

/* Starts an attempt; extra_header is an additional header line or NULL. */
static void
attempt_start(daemon_request_t *request, const char *url,
    const char *extra_header, bool single_send, bool forwarded)
{
	g_autoptr(GPtrArray) headers = g_ptr_array_new();
	g_autofree char *resumed = NULL;
	transfer_spec_t spec = {.method = exchange_method(request->exchange),
	    .url = url,
	    .single_send = single_send,
	    .start_by = clock_now() + START_LIMIT_US,
	    .connect_timeout_us = CONNECT_TIMEOUT_US,
	    .idle_timeout_us = TARGET_IDLE_TIMEOUT_US};
	bool started = false;
	bool answer_needed;

	for (guint i = 0; i < request->headers->len; i++)
		g_ptr_array_add(
		    headers, g_ptr_array_index(request->headers, i));
	if (extra_header != NULL)
		g_ptr_array_add(headers, (void *)extra_header);
	g_ptr_array_add(headers, NULL);
	spec.headers = (const char *const *)headers->pdata;
	spec.body = exchange_body(request->exchange, &spec.body_len);
	if (request->body.adjusted_body != NULL && !forwarded) {
		spec.body = request->body.adjusted_body;
		spec.body_len = strlen(spec.body);
	}
	pthread_mutex_lock(&request->lock);
	if (request->answer_started && request->sse.tokens > 0) {
		resumed =
		    body_resume(spec.body, spec.body_len, request->sse.tokens);
		spec.body = resumed;
		spec.body_len = strlen(resumed);
	}
	request->forwarded = forwarded;
	if (forwarded)
		spec.authority = request->daemon->settings->tls_authority;
	answer_needed = !request->answer_ended || request->info.order;
	if (answer_needed) {
		daemon_request_ref(request);
		request->transfer = transfer_start(request->daemon->transfers,
		    &spec, &attempt_callbacks, request);
		started = request->transfer != NULL;
	}
	pthread_mutex_unlock(&request->lock);
	if (started)
		return;
	attempt_report(request, GATE_ATTEMPT_UNSENT);
	if (answer_needed)
		daemon_request_unref(request);
}

void
attempt_send(daemon_request_t *request, const gate_action_t *action)
{
	g_autofree char *url =
	    g_strconcat(action->u.send.url, request->path, NULL);

	attempt_start(request, url, NULL, action->u.send.single_send, false);
}

void
attempt_forward(daemon_request_t *request, const gate_action_t *action)
{
	daemon_t *daemon = request->daemon;
	const char *path = exchange_path(request->exchange);
	g_autofree char *url = g_strdup_printf("%s://%s%s%s%s",
	    daemon->settings->tls_certificate ? "https" : "http",
	    action->u.forward.http, SERVICE_PREFIX, request->service,
	    request->path);
	hop_request_t hop_request = {
	    .method = exchange_method(request->exchange), .path = path};
	hop_t hop = {.wall_s = clock_wall_s()};
	char text[HOP_TEXT_LIMIT];
	g_autofree char *line = NULL;

	g_strlcpy(hop.sender, daemon->settings->instance, sizeof(hop.sender));
	g_strlcpy(hop.team, action->u.forward.team, sizeof(hop.team));
	counter_increment("forwards", "cause", action->u.forward.cause);
	randombytes_buf(&hop.nonce, sizeof(hop.nonce));
	hop_request.body =
	    exchange_body(request->exchange, &hop_request.body_len);
	hop_sign(&hop, &hop_request, daemon->secrets[0], text, sizeof(text));
	line = request->ticket
		   ? g_strdup_printf("%s: %s\r\nIdempotency-Key: %s",
			 HOP_HEADER, text, request->ticket)
		   : g_strdup_printf("%s: %s", HOP_HEADER, text);
	attempt_start(request, url, line, action->u.forward.single_send, true);
}
