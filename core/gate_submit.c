#include <string.h>

#include "gate_internal.h"

ran_t
gate_ran(gate_t *gate, refusal_t reason, const char *team, const char *ticket,
    int64_t wall_s)
{
	ran_t ran = refusal_info(reason)->ran;

	if (ran != RAN_NOT_RUN || ticket == NULL || ticket[0] == '\0' ||
	    reason == REFUSAL_TICKET_INVALID)
		return ran;
	return order_ran(gate->orders, team ? team : "", ticket, wall_s);
}

void
gate_refuse(gate_t *gate, flight_t *flight, refusal_t reason,
    time_us_t retry_after, time_us_t now, GArray *actions)
{
	gate_action_t *action;

	/* If an attempt wrote bytes, its token usage is unknown. */
	gate_settle(gate, flight, flight->written ? -1 : 0, now);
	if (flight->order_begun)
		order_unsent(gate->orders, flight->order_handle);
	action = gate_action(gate, actions, ACTION_REFUSE, flight);
	action->u.refuse.reason = reason;
	action->u.refuse.retry_after = retry_after;
	action->u.refuse.ran = flight->written
				   ? RAN_UNKNOWN
				   : gate_ran(gate, reason, flight->team,
					 flight->order ? flight->ticket : NULL,
					 flight->body.wall_s);
	gate_close(gate, flight);
}

void
gate_settle(gate_t *gate, flight_t *flight, int64_t used, time_us_t now)
{
	if (!flight->charged)
		return;
	flight->charged = false;
	if (used < 0 || used > flight->body.cost)
		used = flight->body.cost;
	allotment_settle(
	    gate->allotment, flight->team, &flight->reservation, used, now);
}

queue_t *
gate_queue(gate_t *gate, const char *service)
{
	queue_t *queue = g_hash_table_lookup(gate->queues, service);

	if (queue == NULL) {
		queue = queue_create(gate->queue_limit);
		g_hash_table_insert(gate->queues, g_strdup(service), queue);
	}
	return queue;
}

/* Sends the request to a target. Returns false if it has no free slot. */
static bool
flight_send(gate_t *gate, flight_t *flight, handle_t target, time_us_t now,
    GArray *actions)
{
	gate_action_t *action;
	route_view_t view;

	if (!route_start(gate->route, target, now))
		return false;
	route_view(gate->route, target, now, &view);
	flight->target = target;
	flight->state = FLIGHT_RUNNING;
	flight->sent_at = now;
	if (flight->tries++ == 0)
		retry_first_try(&gate->retries);
	action = gate_action(gate, actions, ACTION_SEND, flight);
	flight->retry_reason = NULL;
	g_strlcpy(action->u.send.url, view.url, sizeof(action->u.send.url));
	/* libcurl must not repeat a POST by itself, as it may not be
	 * idempotent.
	 */
	action->u.send.single_send = strcmp(flight->method, "POST") == 0;
	return true;
}

static void
flight_forward(gate_t *gate, flight_t *flight, const char *instance,
    const char *cause, GArray *actions)
{
	const instance_t *peer =
	    fleet_find_instance(gate->view.fleet, instance);
	gate_action_t *action;

	flight->state = FLIGHT_FORWARDED;
	action = gate_action(gate, actions, ACTION_FORWARD, flight);
	g_strlcpy(
	    action->u.forward.http, peer->http, sizeof(action->u.forward.http));
	g_strlcpy(action->u.forward.team, flight->team,
	    sizeof(action->u.forward.team));
	action->u.forward.cause = cause;
	action->u.forward.single_send = strcmp(flight->method, "POST") == 0;
}

static const char *
forward_cause(const gate_t *gate, const char *instance)
{
	const instance_t *peer =
	    fleet_find_instance(gate->view.fleet, instance);

	return strcmp(gate_zone_region(gate, peer->zone), gate->region) == 0
		   ? "zone"
		   : "region";
}

/* Whether the team's plan and home allow the service in the region. */
static bool
region_allowed(const gate_t *gate, const flight_t *flight, const char *region)
{
	const team_t *team = plans_find_team(gate->view.plans, flight->team);
	const plan_t *plan;
	const plan_use_t *use;

	if (team == NULL)
		return flight->team[0] == '\0'; /* open service */
	if (team->home != NULL && strcmp(team->home, region) != 0)
		return false;
	plan = allowances_find_plan(gate->view.allowances, team->plan);
	use = plan ? plan_find_use(plan, flight->service) : NULL;
	return use != NULL &&
	       g_strv_contains((const char *const *)use->regions, region);
}

/*
 * Refuses the request if its body is known to crash targets; that may have
 * become known while it waited. Returns false if it was refused.
 */
static bool
flight_check_poison(
    gate_t *gate, flight_t *flight, time_us_t now, GArray *actions)
{
	time_us_t until =
	    poison_refused_until(gate->poison, flight->body.digest, now);

	if (until <= now)
		return true;
	gate_refuse(gate, flight, REFUSAL_POISON, until - now, now, actions);
	return false;
}

/* Repeats the checks of an old decision. Returns false if it was refused. */
static bool
flight_recheck(gate_t *gate, flight_t *flight, time_us_t now, GArray *actions)
{
	refusal_t reason;

	if (now - flight->checked_at <= RECHECK_US)
		return true;
	flight->checked_at = now;
	reason = gate_check_rules(gate, flight);
	if (reason == REFUSAL_NONE && flight->order_begun &&
	    !order_may_dispatch(
		gate->orders, flight->order_handle, flight->body.wall_s))
		reason = REFUSAL_TICKET_UNKNOWN;
	if (reason == REFUSAL_NONE && flight->charged &&
	    allotment_in_use(gate->allotment, flight->team, now) == 0)
		reason = REFUSAL_NO_SHARE;
	if (reason == REFUSAL_NONE)
		return true;
	gate_refuse(gate, flight, reason,
	    reason == REFUSAL_NO_SHARE ? US_PER_S : 0, now, actions);
	return false;
}

bool
gate_yields(const gate_t *gate, const flight_t *flight, time_us_t now)
{
	return now < flight->yield_until &&
	       route_nearly_full(gate->route, flight->service, now);
}

queue_request_t
gate_queue_request(const gate_t *gate, const flight_t *flight)
{
	return (queue_request_t){.team = flight->team,
	    .priority = flight->priority + (flight->yield_until != 0),
	    .cost = MAX(flight->body.cost, 1),
	    .deadline = flight->deadline,
	    .item = GSIZE_TO_POINTER(gate_flight_id(gate, flight))};
}

static void
flight_enqueue(gate_t *gate, flight_t *flight, time_us_t now, GArray *actions)
{
	queue_t *queue = gate_queue(gate, flight->service);
	queue_request_t request = gate_queue_request(gate, flight);
	queue_push_t push = queue_push(queue, &request, now);
	time_us_t retry_after = queue_retry_after(queue, now);
	flight_t *evicted;

	switch (push.verdict) {
	case QUEUE_QUEUED:
		flight->state = FLIGHT_QUEUED;
		flight->queue_handle = push.handle;
		break;
	case QUEUE_FULL:
		gate_refuse(gate, flight, REFUSAL_QUEUE_FULL, retry_after, now,
		    actions);
		break;
	case QUEUE_DEADLINE_UNREACHABLE:
		gate_refuse(
		    gate, flight, REFUSAL_DEADLINE, retry_after, now, actions);
		break;
	}
	if (push.evicted.handle == HANDLE_NONE)
		return;
	evicted = gate_flight(gate, GPOINTER_TO_SIZE(push.evicted.item));
	if (evicted != NULL)
		gate_refuse(gate, evicted, REFUSAL_QUEUE_FULL, retry_after, now,
		    actions);
}

/*
 * Forwards the request if another instance serves it sooner. After an attempt
 * that wrote bytes it stays here: another instance doesn't know of the attempt
 * and would refuse with "not run". local: targets of this zone can take it
 * later.
 */
static bool
flight_spill(
    gate_t *gate, flight_t *flight, bool local, time_us_t now, GArray *actions)
{
	char instance[NAME_LIMIT + 1];

	if (flight->forwarded || flight->written ||
	    !gate_spill(gate, flight, local, now, instance))
		return false;
	flight_forward(
	    gate, flight, instance, forward_cause(gate, instance), actions);
	return true;
}

void
gate_dispatch(gate_t *gate, flight_t *flight, time_us_t now, GArray *actions)
{
	route_choice_t choice = {ROUTE_NO_TARGET, HANDLE_NONE};
	bool local = region_allowed(gate, flight, gate->region);

	if (!flight_recheck(gate, flight, now, actions) ||
	    !flight_check_poison(gate, flight, now, actions))
		return;
	if (local)
		choice = route_pick(gate->route, flight->service,
		    flight->body.prefix_hash, flight->last_target,
		    gate_random(gate), now);
	if (choice.verdict == ROUTE_PICKED &&
	    flight_send(gate, flight, choice.target, now, actions))
		return;
	if (flight_spill(gate, flight,
		local && choice.verdict != ROUTE_NO_TARGET, now, actions))
		return;
	if (choice.verdict == ROUTE_NO_TARGET)
		gate_refuse(
		    gate, flight, REFUSAL_NO_TARGET, US_PER_S, now, actions);
	else
		flight_enqueue(gate, flight, now, actions);
}

/* Whether all targets that could take the request are full. */
static bool
flight_is_blocked(const gate_t *gate, const flight_t *flight, time_us_t now)
{
	return route_pick(gate->route, flight->service,
		   flight->body.prefix_hash, flight->last_target, 0, now)
		   .verdict == ROUTE_ALL_FULL;
}

/*
 * Starts a request for the first time. Requests already queued for the service
 * come first, so that a new one can't take a slot that became free. A request
 * that yields is queued as well. The queue wait is compared with the delay of
 * another instance here too, as there is one only while requests are queued.
 */
static void
flight_start(gate_t *gate, flight_t *flight, time_us_t now, GArray *actions)
{
	queue_t *queue = g_hash_table_lookup(gate->queues, flight->service);
	char service[NAME_LIMIT + 1];
	bool waits = gate_yields(gate, flight, now) ||
		     (queue != NULL && queue_length(queue) > 0);

	if (!waits || !region_allowed(gate, flight, gate->region)) {
		gate_dispatch(gate, flight, now, actions);
		return;
	}
	if (flight_is_blocked(gate, flight, now) &&
	    flight_spill(gate, flight, true, now, actions))
		return;
	g_strlcpy(service, flight->service, sizeof(service));
	flight_enqueue(gate, flight, now, actions);
	gate_pump(gate, service, now, actions);
}

static void
flight_refuse_tokens(gate_t *gate, flight_t *flight,
    const allotment_result_t *result, time_us_t now, GArray *actions)
{
	refusal_t reason = REFUSAL_RATE_EXCEEDED;
	time_us_t retry_after = US_PER_S;

	if (result->ready_at == INT64_MAX)
		reason = REFUSAL_NO_SHARE;
	else
		retry_after = MAX(result->ready_at - now, US_PER_MS);
	gate_refuse(gate, flight, reason, retry_after, now, actions);
}

void
gate_token_wait_leave(gate_t *gate, flight_id_t id)
{
	for (GList *item = gate->token_waiters.head; item != NULL;
	     item = item->next) {
		if (*(flight_id_t *)item->data != id)
			continue;
		g_free(item->data);
		g_queue_delete_link(&gate->token_waiters, item);
		return;
	}
}

void
gate_charge(gate_t *gate, flight_t *flight, time_us_t now, GArray *actions)
{
	allotment_result_t result;
	flight_id_t id = gate_flight_id(gate, flight);
	bool first = !flight->token_tried;

	flight->token_tried = true;
	if (first)
		flight->token_deadline =
		    MIN(now + TOKEN_WAIT_US, flight->deadline);
	result = allotment_reserve(
	    gate->allotment, flight->team, flight->body.cost, first, now);
	switch (result.verdict) {
	case ALLOTMENT_ADMITTED:
		gate_token_wait_leave(gate, id);
		flight->charged = true;
		flight->reservation = result.reservation;
		flight->yield_until =
		    result.above_rate ? now + YIELD_LIMIT_US : 0;
		flight_start(gate, flight, now, actions);
		break;
	case ALLOTMENT_NEVER:
		gate_token_wait_leave(gate, id);
		gate_refuse(
		    gate, flight, REFUSAL_COST_ABOVE_BURST, 0, now, actions);
		break;
	case ALLOTMENT_WAIT:
		if (now >= flight->token_deadline ||
		    (!result.needs_loan &&
			result.ready_at > flight->token_deadline)) {
			gate_token_wait_leave(gate, id);
			flight_refuse_tokens(
			    gate, flight, &result, now, actions);
		} else if (flight->state != FLIGHT_WAIT_TOKENS) {
			flight->state = FLIGHT_WAIT_TOKENS;
			g_queue_push_tail(
			    &gate->token_waiters, g_memdup2(&id, sizeof(id)));
		}
		break;
	}
}

/*
 * Retries waiting requests in order of arrival. Within a team the first that
 * still waits blocks the others, so that small requests can't starve a large
 * one.
 */
void
gate_pump_tokens(gate_t *gate, time_us_t now, GArray *actions)
{
	g_autoptr(GHashTable) blocked =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GList *next;

	for (GList *item = gate->token_waiters.head; item != NULL;
	     item = next) {
		flight_id_t id = *(flight_id_t *)item->data;
		flight_t *flight = gate_flight(gate, id);

		next = item->next;
		if (g_hash_table_contains(blocked, flight->team) &&
		    now < flight->token_deadline)
			continue;
		g_hash_table_add(blocked, g_strdup(flight->team));
		gate_charge(gate, flight, now, actions);
		flight = gate_flight(gate, id);
		if (flight == NULL || flight->state != FLIGHT_WAIT_TOKENS) {
			/* Admitted or refused: the next of its team may try. */
			if (flight != NULL)
				g_hash_table_remove(blocked, flight->team);
			continue;
		}
		gate_ask_loan(gate, flight->team, now, actions);
	}
}

/* Admits a request whose ticket, if it needs one, was accepted. */
static void
flight_admit(gate_t *gate, flight_t *flight, time_us_t now, GArray *actions)
{
	/* The instance that forwarded a request has charged its tokens. */
	if (flight->forwarded || flight->team[0] == '\0') {
		flight_start(gate, flight, now, actions);
		return;
	}
	gate_charge(gate, flight, now, actions);
	gate_ask_loan(gate, flight->team, now, actions);
}

static void
order_replay(
    gate_t *gate, flight_t *flight, const order_begin_t *begin, GArray *actions)
{
	gate_action_t *action =
	    gate_action(gate, actions, ACTION_REPLAY, flight);

	action->u.replay.status = begin->replay.status;
	g_strlcpy(action->u.replay.content_type, begin->replay.content_type,
	    sizeof(action->u.replay.content_type));
	action->u.replay.answer = begin->replay.body;
	gate_close(gate, flight);
}

/* Forwards an order to the instance that issued its ticket. */
static void
order_forward(gate_t *gate, flight_t *flight, const char *issuer, time_us_t now,
    GArray *actions)
{
	const instance_t *peer = fleet_find_instance(gate->view.fleet, issuer);
	allotment_result_t result;

	/* An issuer that is no longer listed may have run the order, and one
	 * outside the team's home region must not receive it. */
	if (peer == NULL ||
	    !region_allowed(gate, flight, gate_zone_region(gate, peer->zone))) {
		gate_refuse(
		    gate, flight, REFUSAL_TICKET_UNKNOWN, 0, now, actions);
		return;
	}
	result = allotment_reserve(
	    gate->allotment, flight->team, flight->body.cost, true, now);
	if (result.verdict != ALLOTMENT_ADMITTED) {
		gate_refuse(gate, flight, REFUSAL_RATE_EXCEEDED,
		    MIN(MAX(result.ready_at - now, US_PER_MS), US_PER_S), now,
		    actions);
		return;
	}
	flight->charged = true;
	flight->reservation = result.reservation;
	flight_forward(gate, flight, issuer, "issuer", actions);
}

static order_origin_t
order_origin(const flight_t *flight, const char *text)
{
	order_ticket_t ticket;

	if (!flight->forwarded)
		return ORDER_FROM_CALLER;
	if (order_ticket_parse(text, &ticket) &&
	    strcmp(ticket.instance, flight->sender) == 0)
		return ORDER_FROM_ISSUER;
	return ORDER_FROM_PEER;
}

static void
order_submit(gate_t *gate, flight_t *flight, const gate_body_t *body,
    time_us_t now, GArray *actions)
{
	order_begin_t begin;

	if (body->ticket == NULL) {
		gate_refuse(
		    gate, flight, REFUSAL_TICKET_REQUIRED, 0, now, actions);
		return;
	}
	begin = order_begin(gate->orders, flight->team, body->ticket,
	    body->digest, order_origin(flight, body->ticket), body->wall_s);
	switch (begin.action) {
	case ORDER_RUN:
		flight->order_begun = true;
		flight->order_handle = begin.handle;
		flight_admit(gate, flight, now, actions);
		break;
	case ORDER_REPLAY:
		order_replay(gate, flight, &begin, actions);
		break;
	case ORDER_REFUSE:
		gate_refuse(gate, flight, begin.refusal,
		    begin.refusal == REFUSAL_ORDER_RUNNING ? US_PER_S : 0, now,
		    actions);
		break;
	case ORDER_FORWARD:
		order_forward(
		    gate, flight, begin.forward.instance, now, actions);
		break;
	}
}

void
gate_submit(gate_t *gate, flight_id_t id, const gate_body_t *body,
    time_us_t now, GArray *actions)
{
	flight_t *flight = gate_flight(gate, id);

	if (flight == NULL)
		return;
	gate_follow_share(gate, now);
	flight->body = *body;
	flight->body.ticket = NULL;
	if (body->ticket != NULL)
		g_strlcpy(flight->ticket, body->ticket, sizeof(flight->ticket));
	if (!flight_check_poison(gate, flight, now, actions))
		return;
	if (flight->order)
		order_submit(gate, flight, body, now, actions);
	else
		flight_admit(gate, flight, now, actions);
}
