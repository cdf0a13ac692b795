#include "request.h"

#include <string.h>

/*
 * Responses up to this size, other than event streams, are buffered completely
 * before they are passed on, so that an incomplete one can still be replaced by
 * a retry.
 */
#define BUFFERED_RESPONSE_LIMIT 65536

/* Size limit for an event of a stream, which is kept until it is complete. */
#define EVENT_LIMIT (1 << 20)

/* Unsent bytes to a slow caller at which reading from the target pauses. */
#define BACKLOG_LIMIT 262144

/* Time in which an answer that is unread at the deadline is read. */
#define UNREAD_RECHECK_US (50 * US_PER_MS)

/* Time reserved so that the response reaches the caller before its deadline. */
#define DEADLINE_MARGIN_US (15 * US_PER_MS)

static void
peer_fields_read(request_t *request, const http_head_t *head)
{
	const http_field_t *team = http_head_find(head, PEER_FIELD_TEAM);
	const http_field_t *version = http_head_find(head, PEER_FIELD_VERSION);
	uint64_t number;

	if (team != NULL)
		request->peer_team =
		    g_strndup(team->value.text, team->value.len);
	if (version != NULL && http_slice_number(version->value, &number) &&
	    number <= UINT32_MAX) {
		request->has_peer_version = true;
		request->peer_version = (uint32_t)number;
	}
}

static void on_timer(struct ev_loop *loop, ev_timer *watcher, int revents);

request_t *
request_create(client_t *client, gateway_t *gateway, const http_head_t *head,
    bool from_peer)
{
	request_t *request = g_rc_box_new0(request_t);
	g_autoptr(GError) error = NULL;
	bool keyed =
	    gateway->catalog == NULL || catalog_requires_key(gateway->catalog);

	if (!platform_request_read(head, &request->parsed, &error) ||
	    head->target.len == 0 || head->target.text[0] != '/') {
		log_event(LOG_NOTICE, "request_unreadable",
		    LOG_S("error", error ? error->message : "no path"));
		g_rc_box_release(request);
		return NULL;
	}
	request->gateway = gateway;
	request->client = client;
	request->from_peer = from_peer;
	request->team_index = -1;
	request->host =
	    g_strndup(request->parsed.host.text, request->parsed.host.len);
	request->path = g_strndup(head->target.text, head->target.len);
	if (request->parsed.has_key)
		request->key = g_strndup(
		    request->parsed.key.text, request->parsed.key.len);
	request->no_response_body = http_slice_is(head->method, "head");
	request->has_body =
	    head->chunked || head->content_length != HTTP_LENGTH_UNKNOWN;
	request->body = g_byte_array_new();
	request->forward_head = g_string_sized_new(512);
	platform_request_forward(request->forward_head, head, keyed);
	if (from_peer)
		peer_fields_read(request, head);
	g_strlcpy(request->resume_after, request->parsed.resume_after,
	    sizeof(request->resume_after));
	request->arrived_at = client_request_arrival(client);
	request->caller_deadline =
	    request->arrived_at +
	    MAX(request->parsed.time_left_ms, 0) * US_PER_MS;
	ev_timer_init(&request->timer, on_timer, 0, 0);
	request->timer.data = request;
	gateway->n_requests++;
	return request;
}

size_t
request_buffered(const request_t *request)
{
	return request->body->len +
	       (request->response ? request->response->len : 0);
}

/* Drops what was received and isn't passed on. */
static void
response_clear(request_t *request)
{
	memory_release(&request->gateway->event_memory, &request->event_memory);
	request->scan = (events_scan_t){0};
	if (request->response == NULL)
		return;
	if (request->response->len <= BUFFERED_RESPONSE_LIMIT) {
		g_byte_array_set_size(request->response, 0);
		return;
	}
	g_byte_array_unref(request->response);
	request->response = g_byte_array_new();
}

static void
request_clear(gpointer data)
{
	request_t *request = data;

	request->gateway->n_requests--;
	ev_timer_stop(request->gateway->loop, &request->timer);
	g_free(request->host);
	g_free(request->path);
	g_free(request->key);
	g_free(request->peer_team);
	g_string_free(request->forward_head, TRUE);
	g_byte_array_unref(request->body);
	if (request->config_version != NULL)
		g_ref_string_release(request->config_version);
	catalog_route_unref(request->route);
	catalog_team_unref(request->team);
	if (request->response_head != NULL)
		g_string_free(request->response_head, TRUE);
	response_clear(request);
	if (request->response != NULL)
		g_byte_array_unref(request->response);
}

request_t *
request_ref(request_t *request)
{
	return g_rc_box_acquire(request);
}

void
request_unref(request_t *request)
{
	g_rc_box_release_full(request, request_clear);
}

int64_t
request_time_left_ms(const request_t *request)
{
	time_us_t left = request->deadline - gateway_now(request->gateway);

	return MAX(left, 0) / US_PER_MS;
}

void
request_append_body(request_t *request, const uint8_t *data, size_t len)
{
	g_byte_array_append(request->body, data, (guint)len);
}

void
request_start(request_t *request)
{
	request_ref(request);
	if (request_admit(request)) {
		gateway_start_timer_at(request->gateway, &request->timer,
		    request->deadline - DEADLINE_MARGIN_US);
		if (resumption_begin(request))
			request_dispatch(request);
	}
	request_unref(request);
}

/* Removes the request from its queue and cancels its attempt. */
static void
request_withdraw(request_t *request)
{
	if (request->queued != HANDLE_NONE)
		queue_remove(request->service_state->queue, request->queued,
		    gateway_now(request->gateway));
	request->queued = HANDLE_NONE;
	pending_cancel(request);
	resumption_cancel(request);
	if (request->attempt != NULL)
		attempt_cancel(request->attempt);
	request->attempt = NULL;
}

void
request_cancel(request_t *request)
{
	request->client = NULL;
	ev_timer_stop(request->gateway->loop, &request->timer);
	if (request->state == REQUEST_ENDED)
		return;
	if (request->state != REQUEST_READING) {
		counter_increment("requests_cancelled", NULL, NULL);
		decision_log(request, "request_cancelled", "caller_left");
	}
	request_withdraw(request);
	request->state = REQUEST_ENDED;
}

void
request_record_latency(const request_t *request, latency_t latency)
{
	latencies_record(request->gateway->latencies, latency,
	    request->route->kind,
	    gateway_now(request->gateway) - request->arrived_at);
}

static void
request_finish(request_t *request, const char *reason)
{
	client_t *client = request->client;

	request->state = REQUEST_ENDED;
	request->client = NULL;
	ev_timer_stop(request->gateway->loop, &request->timer);
	request_record_latency(request, LATENCY_RESPONSE);
	counter_increment("requests_answered", "reason", reason);
	decision_log(request, "request_done", reason);
	if (client != NULL)
		client_end_response(client);
}

void
request_abort_response(request_t *request, const char *reason)
{
	client_t *client = request->client;

	request->state = REQUEST_ENDED;
	request->client = NULL;
	ev_timer_stop(request->gateway->loop, &request->timer);
	counter_increment("answers_broken", "reason", reason);
	decision_log(request, "answer_broken", reason);
	if (client != NULL)
		client_abort(client);
}

/* Ends the request at its deadline. */
static void
request_expire(request_t *request)
{
	bool sent = request->attempt != NULL || request->awaiting_check ||
		    request->n_maybe_executed > 0;

	request_ref(request);
	request_withdraw(request);
	if (request->head_sent)
		request_abort_response(request, "timeout");
	else if (sent)
		request_refuse(request, 504, "timeout", 0);
	else
		request_refuse(request, 503, "timeout_waiting", US_PER_S);
	request_unref(request);
}

/*
 * After a stall, the answer may have arrived before the deadline and be unread:
 * it is delivered, though late.
 */
static void
on_timer(struct ev_loop *loop, ev_timer *watcher, int revents)
{
	request_t *request = watcher->data;

	if (!request->rechecking && request->attempt != NULL &&
	    attempt_has_unread(request->attempt)) {
		request->rechecking = true;
		gateway_start_timer(
		    request->gateway, &request->timer, UNREAD_RECHECK_US);
		return;
	}
	request_expire(request);
}

static void
response_head_send(request_t *request)
{
	request->head_sent = true;
	client_begin_response(
	    request->client, request->response_head, request->response_length);
}

static void
response_pass(request_t *request, const void *data, size_t len)
{
	if (len == 0)
		return;
	if (!request->head_sent)
		response_head_send(request);
	if (request->first_byte_at == 0) {
		request->first_byte_at = gateway_now(request->gateway);
		request_record_latency(request, LATENCY_FIRST_BYTE);
	}
	client_send_body(request->client, data, len);
	request->bytes_to_caller += len;
	if (!request->paused && request->attempt != NULL &&
	    client_pending(request->client) > BACKLOG_LIMIT) {
		request->paused = true;
		attempt_pause(request->attempt, true);
	}
}

void
request_on_drained(request_t *request)
{
	if (!request->paused || request->attempt == NULL)
		return;
	request->paused = false;
	attempt_pause(request->attempt, false);
}

/* Prepares for the body of a response that is passed on to the caller. */
static void
response_begin(request_t *request, const http_head_t *head,
    const target_response_t *response)
{
	request->status = response->status;
	request->streaming = response->event_stream && response->status == 200;
	/*
	 * A stream may be resumed from another target, so its length is
	 * unknown.
	 */
	request->response_length = head->chunked || request->streaming
				       ? HTTP_LENGTH_UNKNOWN
				       : head->content_length;
	if (request->response == NULL)
		request->response = g_byte_array_new();
	response_clear(request);
	if (request->head_sent)
		return;
	if (request->response_head == NULL)
		request->response_head = g_string_sized_new(512);
	g_string_truncate(request->response_head, 0);
	platform_response_forward(request->response_head, head);
	request->pass_through =
	    !request->streaming &&
	    request->response_length != HTTP_LENGTH_UNKNOWN &&
	    request->response_length > BUFFERED_RESPONSE_LIMIT;
}

/* Asks the retry budget for another attempt. Returns true if granted. */
static bool
request_ask_retry(request_t *request, const retry_facts_t *facts)
{
	retry_reason_t reason = retry_decide(&request->service_state->retries,
	    facts, gateway_now(request->gateway));

	counter_increment("retries", "reason", retry_reason_name(reason));
	if (reason != RETRY_GRANTED && reason != RETRY_RESUME) {
		decision_log(
		    request, "retry_refused", retry_reason_name(reason));
		return false;
	}
	decision_log(request, "retry", retry_reason_name(reason));
	return true;
}

static bool
may_run_again(const request_t *request)
{
	return request->route->kind == ROUTE_SAFE ||
	       (request->route->kind == ROUTE_STREAM &&
		   request->route->resumable);
}

static retry_facts_t
retry_facts(const request_t *request, bool not_executed)
{
	return (retry_facts_t){
	    .loss = RETRY_LOSS_CLOSED,
	    .idempotent = not_executed || may_run_again(request),
	    .resumable = request->route->resumable,
	    .bytes_to_target = 1,
	    .bytes_to_caller = request->bytes_to_caller,
	    .attempts =
		not_executed ? request->n_attempts : request->n_maybe_executed,
	    .max_attempts = not_executed ? PLACEMENT_TRIED_LIMIT
					 : request->route->max_attempts,
	    .deadline = request->deadline,
	    .targets_lost = 1,
	};
}

/*
 * Retries a request of a safe route after a 5xx response, unless the request
 * came from another instance or was forwarded to one. Returns false if it is
 * not retried; the response must then be passed on.
 */
static bool
retry_on_error_response(request_t *request, const target_response_t *response)
{
	retry_facts_t facts;

	if (response->status < 500 || request->from_peer ||
	    request->route->kind != ROUTE_SAFE || request->n_forwards > 0)
		return false;
	request->n_maybe_executed++;
	facts = retry_facts(request, false);
	if (request_ask_retry(request, &facts)) {
		attempt_t *attempt = request->attempt;

		request->attempt = NULL;
		attempt_detach(attempt);
		request_dispatch(request);
		return true;
	}
	request->n_maybe_executed--;
	return false;
}

void
request_on_response(request_t *request, const http_head_t *head,
    const target_response_t *response)
{
	attempt_t *attempt = request->attempt;
	/*
	 * Copied, as the attempt that owns the response may be freed before its
	 * last use here.
	 */
	const target_response_t copy = *response;

	request_ref(request);
	if (copy.not_run) {
		request->attempt = NULL;
		attempt_detach(attempt);
		request_on_failure(request, FAILURE_NOT_EXECUTED, &copy);
	} else if ((copy.status < 300 && !copy.stamped) ||
		   (request->head_sent &&
		       (copy.status != 200 || !copy.event_stream))) {
		/*
		 * A success without the stamp of its target, or anything but
		 * events when a stream is resumed, can't be passed on.
		 */
		request->attempt = NULL;
		attempt_cancel(attempt);
		request_on_failure(request, FAILURE_MAYBE_EXECUTED, &copy);
	} else if (!retry_on_error_response(request, &copy)) {
		response_begin(request, head, &copy);
	}
	request_unref(request);
}

bool
request_keeps_version(const request_t *request)
{
	return request->route->kind == ROUTE_STREAM &&
	       (request->continues || request->bytes_to_caller > 0);
}

/* Tells which version the stream has, before the caller gets its events. */
static void
stream_version_tell(request_t *request)
{
	gateway_t *gateway = request->gateway;
	stream_record_t record = {stream_id(request->parsed.id),
	    target_short_id(request->service->name), request->stream_version};

	if (request->from_peer)
		g_string_append_printf(request->response_head,
		    PEER_FIELD_VERSION ": %u\r\n", request->stream_version);
	else if (!request->continues && request->route->resumable &&
		 *request->parsed.id != '\0')
		streams_begin(gateway->streams, &record, gateway_now(gateway));
}

/*
 * Returns whether the events of the current attempt may follow those that the
 * caller has.
 */
static bool
version_holds(request_t *request)
{
	uint32_t version;

	if (request->version_checked)
		return true;
	version = attempt_version(request->attempt);
	if (request_keeps_version(request)) {
		if (version != request->stream_version)
			return false;
	} else {
		request->stream_version = version;
	}
	request->version_checked = true;
	if (!request->head_sent)
		stream_version_tell(request);
	return true;
}

/* Removes what was passed on. */
static void
response_remove(request_t *request, size_t len)
{
	GByteArray *rest;

	if (len <= BUFFERED_RESPONSE_LIMIT) {
		g_byte_array_remove_range(request->response, 0, (guint)len);
		return;
	}
	/* The array would keep the memory of a large event. */
	rest = g_byte_array_new();
	g_byte_array_append(rest, request->response->data + len,
	    request->response->len - (guint)len);
	g_byte_array_unref(request->response);
	request->response = rest;
}

/* Passes on the events that are complete. */
static void
events_pass(request_t *request)
{
	char last_id[sizeof(request->resume_after)];
	size_t complete;

	g_strlcpy(last_id, request->resume_after, sizeof(last_id));
	complete = events_complete(&request->scan,
	    (const char *)request->response->data, request->response->len,
	    last_id, sizeof(last_id));
	if (complete == 0)
		return;
	if (!version_holds(request)) {
		attempt_t *attempt = request->attempt;

		request->attempt = NULL;
		attempt_cancel(attempt);
		request_on_failure(request, FAILURE_MAYBE_EXECUTED, NULL);
		return;
	}
	g_strlcpy(
	    request->resume_after, last_id, sizeof(request->resume_after));
	response_pass(request, request->response->data, complete);
	response_remove(request, complete);
}

/*
 * Ends the attempt if the event that is being received exceeds its limit or the
 * memory left for such events.
 */
static void
event_bound(request_t *request)
{
	gateway_t *gateway = request->gateway;
	size_t held = request->response->len;
	bool too_large = held > EVENT_LIMIT;
	attempt_t *attempt = request->attempt;

	if (!too_large &&
	    memory_claim(&gateway->event_memory, &request->event_memory, held))
		return;
	counter_increment(
	    "events_cut", "reason", too_large ? "too_large" : "memory");
	log_event(LOG_WARNING, "event_cut",
	    LOG_S("request", request->parsed.id),
	    LOG_S("target", request->sent_to),
	    LOG_S("reason", too_large ? "too_large" : "memory"),
	    LOG_I("bytes", held));
	request->attempt = NULL;
	if (too_large)
		attempt_reject(attempt);
	else
		attempt_cancel(attempt);
	request_on_failure(request, FAILURE_MAYBE_EXECUTED, NULL);
}

void
request_on_body(request_t *request, const uint8_t *data, size_t len)
{
	if (request->pass_through) {
		response_pass(request, data, len);
		return;
	}
	g_byte_array_append(request->response, data, (guint)len);
	if (request->streaming) {
		request_ref(request);
		events_pass(request);
		if (request->attempt != NULL)
			event_bound(request);
		request_unref(request);
	} else if (request->response->len > BUFFERED_RESPONSE_LIMIT) {
		request->pass_through = true;
		response_pass(
		    request, request->response->data, request->response->len);
		g_byte_array_set_size(request->response, 0);
	}
}

bool
request_response_is_whole(request_t *request)
{
	if (!request->streaming)
		return true;
	if (events_truncated(
		(const char *)request->response->data, request->response->len))
		return false;
	/* Events whose lines end with CR alone are passed on at the end. */
	return request->response->len == 0 || version_holds(request);
}

void
request_on_complete(request_t *request)
{
	request->attempt = NULL;
	request_ref(request);
	if (!request->head_sent) {
		/*
		 * The whole body is buffered, so its length is known. A
		 * response to HEAD has no body and keeps the length that the
		 * target stated, or gets 0.
		 */
		if (request->response_length == HTTP_LENGTH_UNKNOWN ||
		    !request->no_response_body)
			request->response_length = request->response->len;
		response_head_send(request);
	}
	if (request->response->len > 0) {
		client_send_body(request->client, request->response->data,
		    request->response->len);
		request->bytes_to_caller += request->response->len;
	}
	request_finish(
	    request, request->status < 400 ? "success" : "target_failed");
	request_unref(request);
}

/* Ends a request whose last attempt failed and can't be retried. */
static void
request_fail(
    request_t *request, failure_t failure, const target_response_t *response)
{
	time_us_t after = queue_retry_after(
	    request->service_state->queue, gateway_now(request->gateway));

	if (response != NULL && response->retry_after_ms > 0)
		after = response->retry_after_ms * US_PER_MS;
	if (request->head_sent)
		request_abort_response(request, "target_lost");
	else if (request->n_maybe_executed > 0)
		request_refuse(request, 502, "target_lost", 0);
	else
		request_refuse(request, 503,
		    failure == FAILURE_NOT_EXECUTED ? "target_full"
						    : "target_unreachable",
		    after);
}

void
request_leave_target(request_t *request, time_us_t began_before)
{
	attempt_t *attempt = request->attempt;

	if (attempt == NULL || request->sent_to_peer ||
	    request->sent_at > began_before || !may_run_again(request))
		return;
	request->attempt = NULL;
	attempt_cancel(attempt);
	request_on_failure(request, FAILURE_MAYBE_EXECUTED, NULL);
}

void
request_await_check(request_t *request)
{
	request->attempt = NULL;
	request->awaiting_check = true;
}

void
request_on_failure(
    request_t *request, failure_t failure, const target_response_t *response)
{
	bool not_executed =
	    failure == FAILURE_UNREACHABLE || failure == FAILURE_NOT_EXECUTED;
	retry_facts_t facts;
	bool retrying;

	request->attempt = NULL;
	request->awaiting_check = false;
	request->paused = false;
	request->pass_through = false;
	response_clear(request);
	if (request->client == NULL)
		return;
	request_ref(request);
	if (!not_executed)
		request->n_maybe_executed++;
	if (request_keeps_version(request) &&
	    request->stream_version == STREAM_VERSION_UNKNOWN) {
		request_fail(request, failure, response);
		request_unref(request);
		return;
	}
	facts = retry_facts(request, not_executed);
	/*
	 * An attempt that reached no target costs the targets nothing, so it
	 * doesn't need the retry budget.
	 */
	retrying = failure == FAILURE_UNREACHABLE ||
			   (not_executed && request->sent_to_peer)
		       ? request->n_attempts < PLACEMENT_TRIED_LIMIT &&
			     gateway_now(request->gateway) < request->deadline
		       : request_ask_retry(request, &facts);
	if (retrying)
		request_dispatch(request);
	else
		request_fail(request, failure, response);
	request_unref(request);
}
