#include "call.h"

#include <string.h>

#include "events.h"

/*
 * Responses up to this size are buffered completely before they are passed on,
 * so that one that breaks off can still be replaced by a retry.
 */
#define COLLECT_LIMIT 65536

/* Unsent bytes to a slow caller at which reading from the target pauses. */
#define BACKLOG_LIMIT 262144

/* Time reserved so that the response reaches the caller before its deadline. */
#define DEADLINE_MARGIN_US (15 * US_PER_MS)

static void
on_timer(struct ev_loop *loop, ev_timer *watcher, int revents)
{
	call_expire(watcher->data);
}

static void
peer_fields_read(call_t *call, const http_head_t *head)
{
	const http_field_t *team = http_head_find(head, PEER_FIELD_TEAM);

	if (team != NULL)
		call->peer_team = g_strndup(team->value.text, team->value.len);
}

call_t *
call_create(client_t *client, gateway_t *gateway, const http_head_t *head,
    bool from_peer)
{
	call_t *call = g_rc_box_new0(call_t);
	g_autoptr(GError) error = NULL;
	bool keyed =
	    gateway->catalog == NULL || catalog_keyed(gateway->catalog);

	if (!platform_request_read(head, &call->request, &error) ||
	    head->target.len == 0 || head->target.text[0] != '/') {
		log_event(LOG_NOTICE, "request_unreadable",
		    LOG_S("error", error ? error->message : "no path"));
		g_rc_box_release(call);
		return NULL;
	}
	call->gateway = gateway;
	call->client = client;
	call->from_peer = from_peer;
	call->team_index = -1;
	call->host = g_strndup(call->request.host.text, call->request.host.len);
	call->path = g_strndup(head->target.text, head->target.len);
	if (call->request.has_key)
		call->key =
		    g_strndup(call->request.key.text, call->request.key.len);
	call->no_answer_body = http_slice_is(head->method, "head");
	call->has_body =
	    head->chunked || head->content_length != HTTP_LENGTH_UNKNOWN;
	call->body = g_byte_array_new();
	call->forward = g_string_sized_new(512);
	platform_request_forward(call->forward, head, keyed);
	if (from_peer)
		peer_fields_read(call, head);
	g_strlcpy(call->resume_after, call->request.resume_after,
	    sizeof(call->resume_after));
	call->arrived_at = gateway_now(gateway);
	call->time_left_at =
	    call->arrived_at + MAX(call->request.time_left_ms, 0) * US_PER_MS;
	ev_timer_init(&call->timer, on_timer, 0, 0);
	call->timer.data = call;
	gateway->n_calls++;
	return call;
}

static void
call_clear(gpointer data)
{
	call_t *call = data;

	call->gateway->n_calls--;
	ev_timer_stop(call->gateway->loop, &call->timer);
	g_free(call->host);
	g_free(call->path);
	g_free(call->key);
	g_free(call->peer_team);
	g_string_free(call->forward, TRUE);
	g_byte_array_unref(call->body);
	catalog_unref(call->catalog);
	if (call->answer_head != NULL)
		g_string_free(call->answer_head, TRUE);
	if (call->answer != NULL)
		g_byte_array_unref(call->answer);
}

call_t *
call_ref(call_t *call)
{
	return g_rc_box_acquire(call);
}

void
call_unref(call_t *call)
{
	g_rc_box_release_full(call, call_clear);
}

int64_t
call_left_ms(const call_t *call)
{
	time_us_t left = call->ends_at - gateway_now(call->gateway);

	return MAX(left, 0) / US_PER_MS;
}

void
call_body(call_t *call, const uint8_t *data, size_t len)
{
	g_byte_array_append(call->body, data, (guint)len);
}

void
call_start(call_t *call)
{
	gateway_t *gateway = call->gateway;
	time_us_t left;

	call_ref(call);
	if (call_admit(call)) {
		left =
		    call->ends_at - DEADLINE_MARGIN_US - gateway_now(gateway);
		ev_timer_set(&call->timer, MAX(left, 0) / (double)US_PER_S, 0);
		ev_timer_start(gateway->loop, &call->timer);
		call_dispatch(call);
	}
	call_unref(call);
}

/* Removes the request from its queue and cancels its attempt. */
static void
call_withdraw(call_t *call)
{
	if (call->queued != HANDLE_NONE)
		queue_remove(call->line->queue, call->queued,
		    gateway_now(call->gateway));
	call->queued = HANDLE_NONE;
	if (call->attempt != NULL)
		attempt_cancel(call->attempt);
	call->attempt = NULL;
}

void
call_cancel(call_t *call)
{
	call->client = NULL;
	ev_timer_stop(call->gateway->loop, &call->timer);
	if (call->state == CALL_ENDED)
		return;
	if (call->state != CALL_READING) {
		counter_count("requests_cancelled", NULL, NULL);
		decision_log(call, "request_cancelled", "caller_left");
	}
	call_withdraw(call);
	call->state = CALL_ENDED;
}

void
call_time(const call_t *call, latency_t latency)
{
	latencies_record(call->gateway->latencies, latency, call->route->kind,
	    gateway_now(call->gateway) - call->arrived_at);
}

static void
call_finished(call_t *call, const char *reason)
{
	client_t *client = call->client;

	call->state = CALL_ENDED;
	call->client = NULL;
	ev_timer_stop(call->gateway->loop, &call->timer);
	call_time(call, LATENCY_ANSWER);
	counter_count("requests_answered", "reason", reason);
	decision_log(call, "request_done", reason);
	if (client != NULL)
		client_end(client);
}

void
call_broken(call_t *call, const char *reason)
{
	client_t *client = call->client;

	call->state = CALL_ENDED;
	call->client = NULL;
	ev_timer_stop(call->gateway->loop, &call->timer);
	counter_count("answers_broken", "reason", reason);
	decision_log(call, "answer_broken", reason);
	if (client != NULL)
		client_break(client);
}

void
call_expire(call_t *call)
{
	bool sent = call->attempt != NULL || call->n_runs > 0;

	call_ref(call);
	call_withdraw(call);
	if (call->head_sent)
		call_broken(call, "timeout");
	else if (sent)
		call_refuse(call, 504, "timeout", 0);
	else
		call_refuse(call, 503, "timeout_waiting", US_PER_S);
	call_unref(call);
}

static void
answer_head_send(call_t *call)
{
	call->head_sent = true;
	client_begin(call->client, call->answer_head, call->answer_length);
}

static void
answer_pass(call_t *call, const void *data, size_t len)
{
	if (len == 0)
		return;
	if (!call->head_sent)
		answer_head_send(call);
	if (call->first_byte_at == 0) {
		call->first_byte_at = gateway_now(call->gateway);
		call_time(call, LATENCY_FIRST_BYTE);
	}
	client_body(call->client, data, len);
	call->bytes_to_caller += len;
	if (!call->paused && call->attempt != NULL &&
	    client_pending(call->client) > BACKLOG_LIMIT) {
		call->paused = true;
		attempt_pause(call->attempt, true);
	}
}

void
call_drained(call_t *call)
{
	if (!call->paused || call->attempt == NULL)
		return;
	call->paused = false;
	attempt_pause(call->attempt, false);
}

/* Prepares for the body of a response that is passed on to the caller. */
static void
answer_begin(
    call_t *call, const http_head_t *head, const target_answer_t *answer)
{
	call->status = answer->status;
	call->streaming = answer->event_stream && answer->status == 200;
	/*
	 * A stream may be resumed from another target, so its length is
	 * unknown.
	 */
	call->answer_length = head->chunked || call->streaming
				  ? HTTP_LENGTH_UNKNOWN
				  : head->content_length;
	if (call->answer == NULL)
		call->answer = g_byte_array_new();
	g_byte_array_set_size(call->answer, 0);
	if (call->head_sent)
		return;
	if (call->answer_head == NULL)
		call->answer_head = g_string_sized_new(512);
	g_string_truncate(call->answer_head, 0);
	platform_answer_forward(call->answer_head, head);
	call->passing = !call->streaming &&
			call->answer_length != HTTP_LENGTH_UNKNOWN &&
			call->answer_length > COLLECT_LIMIT;
}

/* Asks the retry budget for another attempt. Returns true if granted. */
static bool
call_retry(call_t *call, const retry_facts_t *facts)
{
	retry_reason_t reason = retry_decide(
	    &call->line->retries, facts, gateway_now(call->gateway));

	counter_count("retries", "reason", retry_reason_name(reason));
	if (reason != RETRY_GRANTED && reason != RETRY_RESUME) {
		decision_log(call, "retry_refused", retry_reason_name(reason));
		return false;
	}
	decision_log(call, "retry", retry_reason_name(reason));
	return true;
}

static bool
may_run_again(const call_t *call)
{
	return call->route->kind == ROUTE_SAFE ||
	       (call->route->kind == ROUTE_STREAM && call->route->resumable);
}

static retry_facts_t
retry_facts(const call_t *call, bool not_run)
{
	return (retry_facts_t){
	    .loss = RETRY_LOSS_CLOSED,
	    .idempotent = not_run || may_run_again(call),
	    .resumable = call->route->resumable,
	    .bytes_to_target = 1,
	    .bytes_to_caller = call->bytes_to_caller,
	    .tries = not_run ? call->n_sends : call->n_runs,
	    .max_tries =
		not_run ? PLACEMENT_TRIED_LIMIT : call->route->max_attempts,
	    .deadline = call->ends_at,
	    .targets_lost = 1,
	};
}

/*
 * Retries a request that is safe to repeat after a 5xx response. Returns false
 * if the response must be passed on.
 */
static bool
failure_is_retried(call_t *call, const target_answer_t *answer)
{
	retry_facts_t facts;

	if (answer->status < 500 || call->from_peer ||
	    call->route->kind != ROUTE_SAFE || call->peer_tried)
		return false;
	call->n_runs++;
	facts = retry_facts(call, false);
	if (call_retry(call, &facts)) {
		attempt_t *attempt = call->attempt;

		call->attempt = NULL;
		attempt_detach(attempt);
		call_dispatch(call);
		return true;
	}
	call->n_runs--;
	return false;
}

void
call_on_answer(
    call_t *call, const http_head_t *head, const target_answer_t *answer)
{
	attempt_t *attempt = call->attempt;
	/*
	 * Copied, as the attempt that owns the response may be freed before its
	 * last use here.
	 */
	const target_answer_t told = *answer;

	call_ref(call);
	if (told.not_run) {
		call->attempt = NULL;
		attempt_detach(attempt);
		call_on_loss(call, LOSS_NOT_RUN, &told);
	} else if ((told.status < 300 && !told.stamped) ||
		   (call->head_sent && told.status != 200)) {
		/*
		 * A success without the target's stamp, or another status in
		 * the middle of a stream, can't be passed on.
		 */
		call->attempt = NULL;
		attempt_cancel(attempt);
		call_on_loss(call, LOSS_BROKEN, &told);
	} else if (!failure_is_retried(call, &told)) {
		answer_begin(call, head, &told);
	}
	call_unref(call);
}

/* Passes on the events that are complete. */
static void
events_pass(call_t *call)
{
	size_t complete = events_complete((const char *)call->answer->data,
	    call->answer->len, call->resume_after, sizeof(call->resume_after));

	if (complete == 0)
		return;
	answer_pass(call, call->answer->data, complete);
	g_byte_array_remove_range(call->answer, 0, (guint)complete);
}

void
call_on_body(call_t *call, const uint8_t *data, size_t len)
{
	if (call->passing) {
		answer_pass(call, data, len);
		return;
	}
	g_byte_array_append(call->answer, data, (guint)len);
	if (call->streaming) {
		events_pass(call);
	} else if (call->answer->len > COLLECT_LIMIT) {
		call->passing = true;
		answer_pass(call, call->answer->data, call->answer->len);
		g_byte_array_set_size(call->answer, 0);
	}
}

void
call_on_complete(call_t *call)
{
	call->attempt = NULL;
	call_ref(call);
	if (!call->head_sent) {
		/*
		 * The length is known now, unless the body isn't sent (HEAD).
		 */
		if (call->answer_length == HTTP_LENGTH_UNKNOWN ||
		    !call->no_answer_body)
			call->answer_length = call->answer->len;
		answer_head_send(call);
	}
	if (call->answer->len > 0) {
		client_body(
		    call->client, call->answer->data, call->answer->len);
		call->bytes_to_caller += call->answer->len;
	}
	call_finished(call, call->status < 400 ? "success" : "target_failed");
	call_unref(call);
}

/* Ends a request whose last attempt failed and can't be retried. */
static void
call_give_up(call_t *call, loss_t loss, const target_answer_t *answer)
{
	time_us_t after =
	    queue_retry_after(call->line->queue, gateway_now(call->gateway));

	if (answer != NULL && answer->retry_after_ms > 0)
		after = answer->retry_after_ms * US_PER_MS;
	if (call->head_sent)
		call_broken(call, "target_lost");
	else if (call->n_runs > 0)
		call_refuse(call, 502, "target_lost", 0);
	else
		call_refuse(call, 503,
		    loss == LOSS_NOT_RUN ? "target_full" : "target_unreachable",
		    after);
}

void
call_on_loss(call_t *call, loss_t loss, const target_answer_t *answer)
{
	bool not_run = loss == LOSS_UNREACHABLE || loss == LOSS_NOT_RUN;
	retry_facts_t facts;
	bool again;

	call->attempt = NULL;
	call->paused = false;
	call->passing = false;
	if (call->client == NULL)
		return;
	call_ref(call);
	if (!not_run)
		call->n_runs++;
	facts = retry_facts(call, not_run);
	/*
	 * An attempt that reached no target costs the targets nothing, so it
	 * doesn't need the retry budget.
	 */
	again = loss == LOSS_UNREACHABLE || (not_run && call->at_peer)
		    ? call->n_sends < PLACEMENT_TRIED_LIMIT &&
			  gateway_now(call->gateway) < call->ends_at
		    : call_retry(call, &facts);
	if (again)
		call_dispatch(call);
	else
		call_give_up(call, loss, answer);
	call_unref(call);
}
