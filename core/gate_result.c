#include <string.h>

#include "gate_internal.h"

/* Ends a request whose answer is complete. */
static void
flight_done(gate_t *gate, flight_t *flight, const flight_outcome_t *outcome,
    time_us_t now, GArray *actions)
{
	gate_settle(gate, flight, outcome->used, now);
	if (flight->order_begun)
		order_complete(gate->orders, flight->order_handle,
		    outcome->status, outcome->content_type, outcome->answer,
		    outcome->answer_len);
	gate_action(gate, actions, ACTION_DONE, flight);
	gate_close(gate, flight);
}

/* Ends a request that was written to a target and has no complete answer. */
static void
flight_fail(gate_t *gate, flight_t *flight, const flight_outcome_t *outcome,
    refusal_t reason, time_us_t now, GArray *actions)
{
	flight->written = true;
	gate_settle(gate, flight, outcome->used, now);
	if (flight->order_begun) {
		order_unknown(gate->orders, flight->order_handle);
		flight->order_begun = false;
	}
	gate_refuse(gate, flight, reason, 0, now, actions);
}

/* No byte was written, so the request can't have run: another target is safe.
 */
static void
flight_unsent(gate_t *gate, flight_t *flight, time_us_t now, GArray *actions)
{
	flight->unsent++;
	if (flight->cancelled)
		gate_refuse(
		    gate, flight, flight->cancel_reason, 0, now, actions);
	else if (flight->unsent >= UNSENT_LIMIT)
		gate_refuse(
		    gate, flight, REFUSAL_NO_TARGET, US_PER_S, now, actions);
	else
		gate_dispatch(gate, flight, now, actions);
}

static refusal_t
failure_reason(flight_result_t result)
{
	return result == FLIGHT_TIMEOUT ? REFUSAL_TARGET_TIMEOUT
					: REFUSAL_TARGET_LOST;
}

/* The attempt was lost after bytes were written. */
static void
flight_lost(gate_t *gate, flight_t *flight, const flight_outcome_t *outcome,
    uint32_t targets_lost, time_us_t now, GArray *actions)
{
	retry_facts_t facts = {.loss = outcome->result == FLIGHT_TIMEOUT
					   ? RETRY_LOSS_TIMEOUT
					   : RETRY_LOSS_CLOSED,
	    .idempotent = flight->idempotent,
	    .resumable = flight->engine && outcome->resumable,
	    .bytes_to_target = 1,
	    .bytes_to_caller = outcome->delivered,
	    .tries = flight->tries,
	    .deadline = flight->deadline,
	    .targets_lost = targets_lost};
	retry_reason_t decision = retry_decide(&gate->retries, &facts, now);

	flight->written = true;
	flight->retry_reason = retry_reason_name(decision);
	switch (decision) {
	case RETRY_GRANTED:
	case RETRY_RESUME:
		gate_dispatch(gate, flight, now, actions);
		break;
	case RETRY_POISON:
		flight_fail(
		    gate, flight, outcome, REFUSAL_POISON, now, actions);
		break;
	default:
		flight_fail(gate, flight, outcome,
		    failure_reason(outcome->result), now, actions);
		break;
	}
}

/*
 * Records that a target was lost while it ran the request body. Must precede
 * any retry. It is reported to the other instances at once, because the caller
 * may repeat its request at one of them before the next heartbeat is due.
 */
static uint32_t
loss_record(gate_t *gate, const flight_t *flight,
    const flight_outcome_t *outcome, time_us_t now, GArray *actions)
{
	const team_t *team = plans_find_team(gate->view.plans, flight->team);
	route_view_t view;
	uint32_t lost;

	if (outcome->result != FLIGHT_LOST ||
	    !route_view(gate->route, flight->target, now, &view))
		return 0;
	lost = poison_lost(
	    gate->poison, flight->body.digest, view.name, flight->sent_at, now);
	if (team == NULL || team->home == NULL)
		poison_allow_abroad(gate->poison, flight->body.digest);
	gate_hasten_heartbeats(gate, now, actions);
	return lost;
}

static route_result_t
route_result(const flight_outcome_t *outcome)
{
	switch (outcome->result) {
	case FLIGHT_OK:
		return outcome->status >= 500 ? ROUTE_FAILED : ROUTE_OK;
	case FLIGHT_CANCELLED:
		return ROUTE_CANCELLED;
	case FLIGHT_UNSENT:
	case FLIGHT_LOST:
	case FLIGHT_TIMEOUT:
		break;
	}
	return ROUTE_FAILED;
}

/* Releases the slot at the target. */
static void
target_release(gate_t *gate, flight_t *flight, const flight_outcome_t *outcome,
    time_us_t now)
{
	if (outcome->reported_load >= 0)
		route_report(gate->route, flight->target,
		    (uint32_t)outcome->reported_load, now);
	route_finish(gate->route, flight->target, route_result(outcome), now);
	if (outcome->result != FLIGHT_OK)
		flight->last_target = flight->target;
	flight->target = HANDLE_NONE;
}

static void
own_attempt_end(gate_t *gate, flight_t *flight, const flight_outcome_t *outcome,
    time_us_t now, GArray *actions)
{
	uint32_t targets_lost =
	    loss_record(gate, flight, outcome, now, actions);

	target_release(gate, flight, outcome, now);
	switch (outcome->result) {
	case FLIGHT_OK:
		flight_done(gate, flight, outcome, now, actions);
		break;
	case FLIGHT_UNSENT:
		flight_unsent(gate, flight, now, actions);
		break;
	case FLIGHT_CANCELLED:
		flight_fail(gate, flight, outcome,
		    flight->cancelled ? flight->cancel_reason
				      : REFUSAL_CALLER_GONE,
		    now, actions);
		break;
	case FLIGHT_LOST:
	case FLIGHT_TIMEOUT:
		if (flight->cancelled)
			flight_fail(gate, flight, outcome,
			    flight->cancel_reason, now, actions);
		else
			flight_lost(
			    gate, flight, outcome, targets_lost, now, actions);
		break;
	}
}

/*
 * Settles a request that another instance answered. A refusal by it is passed
 * to the caller, but is not recorded as the outcome of an order.
 */
static void
forward_settle(gate_t *gate, flight_t *flight, const flight_outcome_t *outcome,
    time_us_t now)
{
	if (outcome->forward_ran == RAN_COMPLETED)
		return;
	if (outcome->forward_ran == RAN_NOT_RUN)
		gate_settle(gate, flight, 0, now);
	if (!flight->order_begun)
		return;
	/*
	 * Bytes were written, so the ticket is not released even if the other
	 * instance reports that it did not run the order: a copy of the message
	 * that is still in transit would run it.
	 */
	flight->order_begun = false;
	order_unknown(gate->orders, flight->order_handle);
}

/* Ends a forwarded request. It is not retried elsewhere. */
static void
forward_end(gate_t *gate, flight_t *flight, const flight_outcome_t *outcome,
    time_us_t now, GArray *actions)
{
	refusal_t reason = REFUSAL_PEER_UNREACHABLE;

	switch (outcome->result) {
	case FLIGHT_OK:
		forward_settle(gate, flight, outcome, now);
		flight_done(gate, flight, outcome, now, actions);
		break;
	case FLIGHT_UNSENT:
		/* Only the issuer of the ticket knows whether the order ran. */
		if (flight->order && !flight->order_begun)
			reason = REFUSAL_TICKET_UNKNOWN;
		gate_refuse(gate, flight,
		    flight->cancelled ? flight->cancel_reason : reason,
		    US_PER_S, now, actions);
		break;
	case FLIGHT_LOST:
	case FLIGHT_TIMEOUT:
	case FLIGHT_CANCELLED:
		flight_fail(gate, flight, outcome,
		    flight->cancelled ? flight->cancel_reason
				      : failure_reason(outcome->result),
		    now, actions);
		break;
	}
}

void
gate_result(gate_t *gate, flight_id_t id, const flight_outcome_t *outcome,
    time_us_t now, GArray *actions)
{
	flight_t *flight = gate_flight(gate, id);
	char service[NAME_LIMIT + 1];

	if (flight == NULL)
		return;
	gate_follow_share(gate, now);
	flight->body.wall_s = outcome->wall_s;
	g_strlcpy(service, flight->service, sizeof(service));
	if (flight->state == FLIGHT_FORWARDED)
		forward_end(gate, flight, outcome, now, actions);
	else
		own_attempt_end(gate, flight, outcome, now, actions);
	gate_pump(gate, service, now, actions);
}

/* Removes a waiting request from its queue. */
static void
flight_unwait(gate_t *gate, flight_t *flight, time_us_t now)
{
	flight_id_t id = gate_flight_id(gate, flight);

	if (flight->state == FLIGHT_QUEUED)
		queue_remove(gate_queue(gate, flight->service),
		    flight->queue_handle, now);
	if (flight->state == FLIGHT_WAIT_TOKENS)
		gate_token_wait_leave(gate, id);
}

/* Ends a request early, in any state. */
static void
flight_cancel(gate_t *gate, flight_t *flight, refusal_t waiting_reason,
    refusal_t running_reason, time_us_t now, GArray *actions)
{
	gate_action_t *action;

	switch (flight->state) {
	case FLIGHT_FREE:
		break;
	case FLIGHT_OPEN:
	case FLIGHT_WAIT_TOKENS:
	case FLIGHT_QUEUED:
		flight_unwait(gate, flight, now);
		gate_refuse(gate, flight, waiting_reason, 0, now, actions);
		break;
	case FLIGHT_RUNNING:
	case FLIGHT_FORWARDED:
		if (flight->cancelled)
			break;
		flight->cancelled = true;
		flight->cancel_reason = running_reason;
		action = gate_action(gate, actions, ACTION_CANCEL, flight);
		action->u.refuse.reason = running_reason;
		action->u.refuse.ran = RAN_UNKNOWN;
		break;
	}
}

void
gate_abort(gate_t *gate, flight_id_t id, refusal_t reason, time_us_t now,
    GArray *actions)
{
	flight_t *flight = gate_flight(gate, id);

	if (flight == NULL)
		return;
	if (flight->order && (flight->state == FLIGHT_RUNNING ||
				 flight->state == FLIGHT_FORWARDED))
		return;
	flight_cancel(gate, flight, reason, reason, now, actions);
}

void
gate_recheck_flights(gate_t *gate, time_us_t now, GArray *actions)
{
	for (size_t i = 0; i < gate->n_flights; i++) {
		flight_t *flight = &gate->flights[i];
		refusal_t reason;

		/* Includes requests whose body is still being read. */
		if (flight->state == FLIGHT_FREE)
			continue;
		reason = gate_check_rules(gate, flight);
		if (reason == REFUSAL_NONE)
			continue;
		flight_cancel(
		    gate, flight, reason, REFUSAL_KEY_WITHDRAWN, now, actions);
	}
}

static queue_answer_t
flight_can_start(queue_item_t item, void *context)
{
	gate_t *gate = context;
	const flight_t *flight = gate_flight(gate, GPOINTER_TO_SIZE(item.item));
	route_choice_t choice;

	if (gate_yields(gate, flight, gate->pump_now))
		return QUEUE_SKIP;
	choice = route_pick(gate->route, flight->service,
	    flight->body.prefix_hash, flight->last_target, 0, gate->pump_now);
	/* All wait for the same targets, so no other can start either. */
	return choice.verdict == ROUTE_PICKED ? QUEUE_START : QUEUE_STOP;
}

static void
queue_expire_all(gate_t *gate, queue_t *queue, time_us_t now, GArray *actions)
{
	queue_item_t item;

	while (queue_expire(queue, now, &item)) {
		flight_t *flight =
		    gate_flight(gate, GPOINTER_TO_SIZE(item.item));

		gate_refuse(gate, flight, REFUSAL_DEADLINE,
		    queue_retry_after(queue, now), now, actions);
	}
}

static void
queue_pump(gate_t *gate, queue_t *queue, time_us_t now, GArray *actions)
{
	queue_item_t item;

	queue_expire_all(gate, queue, now, actions);
	gate->pump_now = now;
	while (queue_pop(queue, flight_can_start, gate, now, &item)) {
		flight_t *flight =
		    gate_flight(gate, GPOINTER_TO_SIZE(item.item));

		gate_dispatch(gate, flight, now, actions);
	}
}

void
gate_pump(gate_t *gate, const char *service, time_us_t now, GArray *actions)
{
	queue_t *queue = g_hash_table_lookup(gate->queues, service);

	if (queue != NULL)
		queue_pump(gate, queue, now, actions);
}

void
gate_pump_all(gate_t *gate, time_us_t now, GArray *actions)
{
	GHashTableIter iter;
	gpointer queue;

	g_hash_table_iter_init(&iter, gate->queues);
	while (g_hash_table_iter_next(&iter, NULL, &queue))
		queue_pump(gate, queue, now, actions);
}
