#include <string.h>

#include "gate_internal.h"

/* Ends a request whose answer is complete. */
static void
complete_request(gate_t *gate, gate_request_t *request,
    const gate_attempt_outcome_t *outcome, time_us_t now, GArray *actions)
{
	gate_settle(gate, request, outcome->used, now);
	if (request->order_begun)
		order_settle_completed(gate->orders, request->order_handle,
		    outcome->status, outcome->content_type, outcome->answer,
		    outcome->answer_len);
	gate_action(gate, actions, ACTION_DONE, request);
	gate_free_request(gate, request);
}

/* Ends a request that was written to a target and has no complete answer. */
static void
fail_request(gate_t *gate, gate_request_t *request,
    const gate_attempt_outcome_t *outcome, refusal_t reason, time_us_t now,
    GArray *actions)
{
	request->written = true;
	gate_settle(gate, request, outcome->used, now);
	if (request->order_begun) {
		order_settle_unknown(gate->orders, request->order_handle);
		request->order_begun = false;
	}
	gate_refuse(gate, request, reason, 0, now, actions);
}

/* No byte was written, so the request can't have run: another target is safe.
 */
static void
retry_unsent(
    gate_t *gate, gate_request_t *request, time_us_t now, GArray *actions)
{
	request->unsent_attempts++;
	if (request->cancelled)
		gate_refuse(
		    gate, request, request->cancel_reason, 0, now, actions);
	else if (request->unsent_attempts >= UNSENT_LIMIT)
		gate_refuse(
		    gate, request, REFUSAL_NO_TARGET, US_PER_S, now, actions);
	else
		gate_dispatch(gate, request, now, actions);
}

static refusal_t
failure_reason(gate_attempt_result_t result)
{
	return result == GATE_ATTEMPT_TIMEOUT ? REFUSAL_TARGET_TIMEOUT
					      : REFUSAL_TARGET_LOST;
}

/* The attempt was lost after bytes were written. */
static void
retry_or_fail(gate_t *gate, gate_request_t *request,
    const gate_attempt_outcome_t *outcome, uint32_t targets_lost, time_us_t now,
    GArray *actions)
{
	retry_facts_t facts = {.loss = outcome->result == GATE_ATTEMPT_TIMEOUT
					   ? RETRY_LOSS_TIMEOUT
					   : RETRY_LOSS_CLOSED,
	    .idempotent = request->idempotent,
	    .resumable = request->engine && outcome->resumable,
	    .bytes_to_target = 1,
	    .bytes_to_caller = outcome->delivered,
	    .attempts = request->attempts,
	    .deadline = request->deadline,
	    .targets_lost = targets_lost};
	retry_reason_t decision = retry_decide(&gate->retries, &facts, now);

	request->written = true;
	request->retry_reason = retry_reason_name(decision);
	switch (decision) {
	case RETRY_GRANTED:
	case RETRY_RESUME:
		gate_dispatch(gate, request, now, actions);
		break;
	case RETRY_POISON:
		fail_request(
		    gate, request, outcome, REFUSAL_POISON, now, actions);
		break;
	default:
		fail_request(gate, request, outcome,
		    failure_reason(outcome->result), now, actions);
		break;
	}
}

/*
 * Records that a target was lost while it ran the request body. Must precede
 * any retry. Heartbeats report it at once (in a large fleet to the own zone and
 * one instance of each other zone), because the caller may repeat its request
 * at another instance before the next heartbeat is due.
 */
static uint32_t
loss_record(gate_t *gate, const gate_request_t *request,
    const gate_attempt_outcome_t *outcome, time_us_t now, GArray *actions)
{
	const team_t *team = plans_find_team(gate->view.plans, request->team);
	route_view_t view;
	uint32_t lost;

	if (outcome->result != GATE_ATTEMPT_LOST ||
	    !route_view(gate->route, request->target, now, &view))
		return 0;
	lost = poison_record_loss(gate->poison, request->body.digest, view.name,
	    request->sent_at, now);
	if (team == NULL || team->home == NULL)
		poison_allow_remote(gate->poison, request->body.digest);
	gate_send_heartbeats(gate, now, actions);
	return lost;
}

static route_result_t
route_result(const gate_attempt_outcome_t *outcome)
{
	switch (outcome->result) {
	case GATE_ATTEMPT_OK:
		return outcome->status >= 500 ? ROUTE_FAILED : ROUTE_OK;
	case GATE_ATTEMPT_CANCELLED:
		return ROUTE_CANCELLED;
	case GATE_ATTEMPT_UNSENT:
	case GATE_ATTEMPT_LOST:
	case GATE_ATTEMPT_TIMEOUT:
		break;
	}
	return ROUTE_FAILED;
}

/* Releases the slot at the target. */
static void
target_release(gate_t *gate, gate_request_t *request,
    const gate_attempt_outcome_t *outcome, time_us_t now)
{
	if (outcome->reported_load >= 0)
		route_report(gate->route, request->target,
		    (uint32_t)outcome->reported_load, now);
	route_finish(gate->route, request->target, route_result(outcome), now);
	if (outcome->result != GATE_ATTEMPT_OK)
		request->last_target = request->target;
	request->target = HANDLE_NONE;
}

static void
target_attempt_end(gate_t *gate, gate_request_t *request,
    const gate_attempt_outcome_t *outcome, time_us_t now, GArray *actions)
{
	uint32_t targets_lost =
	    loss_record(gate, request, outcome, now, actions);

	target_release(gate, request, outcome, now);
	switch (outcome->result) {
	case GATE_ATTEMPT_OK:
		complete_request(gate, request, outcome, now, actions);
		break;
	case GATE_ATTEMPT_UNSENT:
		retry_unsent(gate, request, now, actions);
		break;
	case GATE_ATTEMPT_CANCELLED:
		fail_request(gate, request, outcome,
		    request->cancelled ? request->cancel_reason
				       : REFUSAL_CALLER_GONE,
		    now, actions);
		break;
	case GATE_ATTEMPT_LOST:
	case GATE_ATTEMPT_TIMEOUT:
		if (request->cancelled)
			fail_request(gate, request, outcome,
			    request->cancel_reason, now, actions);
		else
			retry_or_fail(
			    gate, request, outcome, targets_lost, now, actions);
		break;
	}
}

/*
 * Settles a request that another instance answered. A refusal by it is passed
 * to the caller, but is not recorded as the outcome of an order.
 */
static void
forward_settle(gate_t *gate, gate_request_t *request,
    const gate_attempt_outcome_t *outcome, time_us_t now)
{
	if (outcome->forward_execution == EXECUTION_COMPLETED)
		return;
	if (outcome->forward_execution == EXECUTION_NOT_RUN)
		gate_settle(gate, request, 0, now);
	if (!request->order_begun)
		return;
	/*
	 * Bytes were written, so the ticket is not released even if the other
	 * instance reports that it did not run the order: a copy of the message
	 * that is still in transit would run it.
	 */
	request->order_begun = false;
	order_settle_unknown(gate->orders, request->order_handle);
}

/* Ends a forwarded request. It is not retried elsewhere. */
static void
forward_end(gate_t *gate, gate_request_t *request,
    const gate_attempt_outcome_t *outcome, time_us_t now, GArray *actions)
{
	refusal_t reason = REFUSAL_PEER_UNREACHABLE;

	switch (outcome->result) {
	case GATE_ATTEMPT_OK:
		forward_settle(gate, request, outcome, now);
		complete_request(gate, request, outcome, now, actions);
		break;
	case GATE_ATTEMPT_UNSENT:
		/* Only the issuer of the ticket knows whether the order ran. */
		if (request->order && !request->order_begun)
			reason = REFUSAL_TICKET_UNKNOWN;
		gate_refuse(gate, request,
		    request->cancelled ? request->cancel_reason : reason,
		    US_PER_S, now, actions);
		break;
	case GATE_ATTEMPT_LOST:
	case GATE_ATTEMPT_TIMEOUT:
	case GATE_ATTEMPT_CANCELLED:
		fail_request(gate, request, outcome,
		    request->cancelled ? request->cancel_reason
				       : failure_reason(outcome->result),
		    now, actions);
		break;
	}
}

void
gate_attempt_ended(gate_t *gate, gate_request_handle_t id,
    const gate_attempt_outcome_t *outcome, time_us_t now, GArray *actions)
{
	gate_request_t *request = gate_request(gate, id);
	char service[NAME_LIMIT + 1];

	if (request == NULL)
		return;
	gate_sync_share(gate, now);
	request->body.wall_s = outcome->wall_s;
	g_strlcpy(service, request->service, sizeof(service));
	if (request->state == GATE_REQUEST_FORWARDED)
		forward_end(gate, request, outcome, now, actions);
	else
		target_attempt_end(gate, request, outcome, now, actions);
	gate_start_queued(gate, service, now, actions);
}

/* Removes a waiting request from its queue. */
static void
leave_wait(gate_t *gate, gate_request_t *request, time_us_t now)
{
	gate_request_handle_t id = gate_request_handle(gate, request);

	if (request->state == GATE_REQUEST_QUEUED)
		queue_remove(gate_queue(gate, request->service),
		    request->queue_handle, now);
	if (request->state == GATE_REQUEST_WAIT_TOKENS)
		gate_token_wait_leave(gate, id);
}

/* Ends a request early, in any state. */
static void
cancel_request(gate_t *gate, gate_request_t *request, refusal_t waiting_reason,
    refusal_t running_reason, time_us_t now, GArray *actions)
{
	gate_action_t *action;

	switch (request->state) {
	case GATE_REQUEST_FREE:
		break;
	case GATE_REQUEST_READING:
	case GATE_REQUEST_WAIT_TOKENS:
	case GATE_REQUEST_QUEUED:
		leave_wait(gate, request, now);
		gate_refuse(gate, request, waiting_reason, 0, now, actions);
		break;
	case GATE_REQUEST_RUNNING:
	case GATE_REQUEST_FORWARDED:
		if (request->cancelled)
			break;
		request->cancelled = true;
		request->cancel_reason = running_reason;
		action = gate_action(gate, actions, ACTION_CANCEL, request);
		action->u.refuse.reason = running_reason;
		action->u.refuse.execution = EXECUTION_UNKNOWN;
		break;
	}
}

void
gate_abort(gate_t *gate, gate_request_handle_t id, refusal_t reason,
    time_us_t now, GArray *actions)
{
	gate_request_t *request = gate_request(gate, id);

	if (request == NULL)
		return;
	if (request->order && (request->state == GATE_REQUEST_RUNNING ||
				  request->state == GATE_REQUEST_FORWARDED))
		return;
	cancel_request(gate, request, reason, reason, now, actions);
}

void
gate_recheck_requests(gate_t *gate, time_us_t now, GArray *actions)
{
	for (size_t i = 0; i < gate->n_entries; i++) {
		gate_request_t *request = &gate->requests[i];
		refusal_t reason;

		/* Includes requests whose body is still being read. */
		if (request->state == GATE_REQUEST_FREE)
			continue;
		reason = gate_check_rules(gate, request);
		if (reason == REFUSAL_NONE)
			continue;
		cancel_request(
		    gate, request, reason, REFUSAL_KEY_WITHDRAWN, now, actions);
	}
}

static queue_decision_t
can_start(queue_item_t item, void *context)
{
	gate_t *gate = context;
	const gate_request_t *request =
	    gate_request(gate, GPOINTER_TO_SIZE(item.item));
	route_choice_t choice;

	if (gate_yields(gate, request, gate->queue_pop_now))
		return QUEUE_SKIP;
	choice =
	    route_pick(gate->route, request->service, request->body.prefix_hash,
		request->last_target, 0, gate->queue_pop_now);
	/* All wait for the same targets, so no other can start either. */
	return choice.verdict == ROUTE_PICKED ? QUEUE_START : QUEUE_STOP;
}

static void
queue_expire_all(gate_t *gate, queue_t *queue, time_us_t now, GArray *actions)
{
	queue_item_t item;

	while (queue_expire(queue, now, &item)) {
		gate_request_t *request =
		    gate_request(gate, GPOINTER_TO_SIZE(item.item));

		gate_refuse(gate, request, REFUSAL_DEADLINE,
		    queue_retry_after(queue, now), now, actions);
	}
}

static void
queue_start_requests(
    gate_t *gate, queue_t *queue, time_us_t now, GArray *actions)
{
	queue_item_t item;

	queue_expire_all(gate, queue, now, actions);
	gate->queue_pop_now = now;
	while (queue_pop(queue, can_start, gate, now, &item)) {
		gate_request_t *request =
		    gate_request(gate, GPOINTER_TO_SIZE(item.item));

		gate_dispatch(gate, request, now, actions);
	}
}

void
gate_start_queued(
    gate_t *gate, const char *service, time_us_t now, GArray *actions)
{
	queue_t *queue = g_hash_table_lookup(gate->queues, service);

	if (queue != NULL)
		queue_start_requests(gate, queue, now, actions);
}

void
gate_start_queued_all(gate_t *gate, time_us_t now, GArray *actions)
{
	GHashTableIter iter;
	gpointer queue;

	g_hash_table_iter_init(&iter, gate->queues);
	while (g_hash_table_iter_next(&iter, NULL, &queue))
		queue_start_requests(gate, queue, now, actions);
}
