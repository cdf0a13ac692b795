#include <string.h>

#include "gate_internal.h"

execution_t
gate_execution(gate_t *gate, refusal_t reason, const char *team,
    const char *ticket, int64_t wall_s)
{
	execution_t ran = refusal_info(reason)->execution;

	if (ran != EXECUTION_NOT_RUN || ticket == NULL || ticket[0] == '\0' ||
	    reason == REFUSAL_TICKET_INVALID)
		return ran;
	return order_execution(gate->orders, team ? team : "", ticket, wall_s);
}

void
gate_refuse(gate_t *gate, gate_request_t *request, refusal_t reason,
    time_us_t retry_after, time_us_t now, GArray *actions)
{
	gate_action_t *action;

	/* If an attempt wrote bytes, its token usage is unknown. */
	gate_settle(gate, request, request->written ? -1 : 0, now);
	if (request->order_begun)
		order_settle_unsent(gate->orders, request->order_handle);
	action = gate_action(gate, actions, ACTION_REFUSE, request);
	action->u.refuse.reason = reason;
	action->u.refuse.retry_after = retry_after;
	action->u.refuse.execution =
	    request->written ? EXECUTION_UNKNOWN
			     : gate_execution(gate, reason, request->team,
				   request->order ? request->ticket : NULL,
				   request->body.wall_s);
	gate_free_request(gate, request);
}

void
gate_settle(gate_t *gate, gate_request_t *request, int64_t used, time_us_t now)
{
	if (!request->charged)
		return;
	request->charged = false;
	if (used < 0 || used > request->body.cost)
		used = request->body.cost;
	limiter_settle(
	    gate->limiter, request->team, &request->reservation, used, now);
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
send_request(gate_t *gate, gate_request_t *request, handle_t target,
    time_us_t now, GArray *actions)
{
	gate_action_t *action;
	route_view_t view;

	if (!route_start(gate->route, target, now))
		return false;
	route_view(gate->route, target, now, &view);
	request->target = target;
	request->state = GATE_REQUEST_RUNNING;
	request->sent_at = now;
	if (request->attempts++ == 0)
		retry_first_attempt(&gate->retries);
	action = gate_action(gate, actions, ACTION_SEND, request);
	request->retry_reason = NULL;
	g_strlcpy(action->u.send.url, view.url, sizeof(action->u.send.url));
	/* libcurl must not repeat a POST by itself, as it may not be
	 * idempotent.
	 */
	action->u.send.single_send = strcmp(request->method, "POST") == 0;
	return true;
}

static void
forward_request(gate_t *gate, gate_request_t *request, const char *instance,
    const char *cause, GArray *actions)
{
	const instance_t *peer =
	    fleet_find_instance(gate->view.fleet, instance);
	gate_action_t *action;

	request->state = GATE_REQUEST_FORWARDED;
	action = gate_action(gate, actions, ACTION_FORWARD, request);
	g_strlcpy(
	    action->u.forward.http, peer->http, sizeof(action->u.forward.http));
	g_strlcpy(action->u.forward.team, request->team,
	    sizeof(action->u.forward.team));
	action->u.forward.cause = cause;
	action->u.forward.single_send = strcmp(request->method, "POST") == 0;
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
region_allowed(
    const gate_t *gate, const gate_request_t *request, const char *region)
{
	const team_t *team = plans_find_team(gate->view.plans, request->team);
	const plan_t *plan;
	const plan_use_t *use;

	if (team == NULL)
		return request->team[0] == '\0'; /* open service */
	if (team->home != NULL && strcmp(team->home, region) != 0)
		return false;
	plan = allowances_find_plan(gate->view.allowances, team->plan);
	use = plan ? plan_find_use(plan, request->service) : NULL;
	return use != NULL &&
	       g_strv_contains((const char *const *)use->regions, region);
}

/*
 * Refuses the request if its body is known to crash targets; that may have
 * become known while it waited. Returns false if it was refused.
 */
static bool
check_poison_body(
    gate_t *gate, gate_request_t *request, time_us_t now, GArray *actions)
{
	time_us_t until =
	    poison_refused_until(gate->poison, request->body.digest, now);

	if (until <= now)
		return true;
	gate_refuse(gate, request, REFUSAL_POISON, until - now, now, actions);
	return false;
}

/* Repeats the checks of an old decision. Returns false if it was refused. */
static bool
recheck_request(
    gate_t *gate, gate_request_t *request, time_us_t now, GArray *actions)
{
	refusal_t reason;

	if (now - request->checked_at <= RECHECK_US)
		return true;
	request->checked_at = now;
	reason = gate_check_rules(gate, request);
	if (reason == REFUSAL_NONE && request->order_begun &&
	    !order_may_dispatch(
		gate->orders, request->order_handle, request->body.wall_s))
		reason = REFUSAL_TICKET_UNKNOWN;
	if (reason == REFUSAL_NONE && request->charged &&
	    limiter_in_use(gate->limiter, request->team, now) == 0)
		reason = REFUSAL_NO_SHARE;
	if (reason == REFUSAL_NONE)
		return true;
	gate_refuse(gate, request, reason,
	    reason == REFUSAL_NO_SHARE ? US_PER_S : 0, now, actions);
	return false;
}

bool
gate_yields(const gate_t *gate, const gate_request_t *request, time_us_t now)
{
	return now < request->yield_until &&
	       route_nearly_full(gate->route, request->service, now);
}

queue_request_t
gate_queue_request(const gate_t *gate, const gate_request_t *request)
{
	return (queue_request_t){.team = request->team,
	    .priority = request->priority + (request->yield_until != 0),
	    .cost = MAX(request->body.cost, 1),
	    .deadline = request->deadline,
	    .item = GSIZE_TO_POINTER(gate_request_handle(gate, request))};
}

static void
enqueue_request(
    gate_t *gate, gate_request_t *request, time_us_t now, GArray *actions)
{
	queue_t *queue = gate_queue(gate, request->service);
	queue_request_t entry = gate_queue_request(gate, request);
	queue_push_result_t push = queue_push(queue, &entry, now);
	time_us_t retry_after = queue_retry_after(queue, now);
	gate_request_t *evicted;

	switch (push.verdict) {
	case QUEUE_QUEUED:
		request->state = GATE_REQUEST_QUEUED;
		request->queue_handle = push.handle;
		break;
	case QUEUE_FULL:
		gate_refuse(gate, request, REFUSAL_QUEUE_FULL, retry_after, now,
		    actions);
		break;
	case QUEUE_DEADLINE_UNREACHABLE:
		gate_refuse(
		    gate, request, REFUSAL_DEADLINE, retry_after, now, actions);
		break;
	}
	if (push.evicted.handle == HANDLE_NONE)
		return;
	evicted = gate_request(gate, GPOINTER_TO_SIZE(push.evicted.item));
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
spill_request(gate_t *gate, gate_request_t *request, bool local, time_us_t now,
    GArray *actions)
{
	char instance[NAME_LIMIT + 1];

	if (request->forwarded || request->written ||
	    !gate_spill(gate, request, local, now, instance))
		return false;
	forward_request(
	    gate, request, instance, forward_cause(gate, instance), actions);
	return true;
}

void
gate_dispatch(
    gate_t *gate, gate_request_t *request, time_us_t now, GArray *actions)
{
	route_choice_t choice = {ROUTE_NO_TARGET, HANDLE_NONE};
	bool local = region_allowed(gate, request, gate->region);

	if (!recheck_request(gate, request, now, actions) ||
	    !check_poison_body(gate, request, now, actions))
		return;
	if (local)
		choice = route_pick(gate->route, request->service,
		    request->body.prefix_hash, request->last_target,
		    gate_random(gate), now);
	if (choice.verdict == ROUTE_PICKED &&
	    send_request(gate, request, choice.target, now, actions))
		return;
	if (spill_request(gate, request,
		local && choice.verdict != ROUTE_NO_TARGET, now, actions))
		return;
	if (choice.verdict == ROUTE_NO_TARGET)
		gate_refuse(
		    gate, request, REFUSAL_NO_TARGET, US_PER_S, now, actions);
	else
		enqueue_request(gate, request, now, actions);
}

/* Whether all targets that could take the request are full. */
static bool
targets_are_full(
    const gate_t *gate, const gate_request_t *request, time_us_t now)
{
	return route_pick(gate->route, request->service,
		   request->body.prefix_hash, request->last_target, 0, now)
		   .verdict == ROUTE_ALL_FULL;
}

/*
 * Starts a request for the first time. Requests already queued for the service
 * come first, so that a new one can't take a slot that became free. A request
 * that yields is queued as well. Forwarding is considered here too, because
 * only while requests are queued is there a wait to compare with the delay of
 * another instance.
 */
static void
start_request(
    gate_t *gate, gate_request_t *request, time_us_t now, GArray *actions)
{
	queue_t *queue = g_hash_table_lookup(gate->queues, request->service);
	char service[NAME_LIMIT + 1];
	bool waits = gate_yields(gate, request, now) ||
		     (queue != NULL && queue_length(queue) > 0);

	if (!waits || !region_allowed(gate, request, gate->region)) {
		gate_dispatch(gate, request, now, actions);
		return;
	}
	if (targets_are_full(gate, request, now) &&
	    spill_request(gate, request, true, now, actions))
		return;
	g_strlcpy(service, request->service, sizeof(service));
	enqueue_request(gate, request, now, actions);
	gate_start_queued(gate, service, now, actions);
}

static void
refuse_without_tokens(gate_t *gate, gate_request_t *request,
    const limiter_result_t *result, time_us_t now, GArray *actions)
{
	refusal_t reason = REFUSAL_RATE_EXCEEDED;
	time_us_t retry_after = US_PER_S;

	if (result->ready_at == INT64_MAX)
		reason = REFUSAL_NO_SHARE;
	else
		retry_after = MAX(result->ready_at - now, US_PER_MS);
	gate_refuse(gate, request, reason, retry_after, now, actions);
}

void
gate_token_wait_leave(gate_t *gate, gate_request_handle_t id)
{
	for (GList *item = gate->token_waiters.head; item != NULL;
	     item = item->next) {
		if (*(gate_request_handle_t *)item->data != id)
			continue;
		g_free(item->data);
		g_queue_delete_link(&gate->token_waiters, item);
		return;
	}
}

void
gate_charge(
    gate_t *gate, gate_request_t *request, time_us_t now, GArray *actions)
{
	limiter_result_t result;
	gate_request_handle_t id = gate_request_handle(gate, request);
	bool first = !request->tokens_tried;

	request->tokens_tried = true;
	if (first)
		request->token_deadline =
		    MIN(now + TOKEN_MAX_WAIT_US, request->deadline);
	result = limiter_reserve(
	    gate->limiter, request->team, request->body.cost, first, now);
	switch (result.verdict) {
	case LIMITER_ADMITTED:
		gate_token_wait_leave(gate, id);
		request->charged = true;
		request->reservation = result.reservation;
		request->yield_until =
		    result.above_rate ? now + YIELD_LIMIT_US : 0;
		start_request(gate, request, now, actions);
		break;
	case LIMITER_NEVER:
		gate_token_wait_leave(gate, id);
		gate_refuse(
		    gate, request, REFUSAL_COST_ABOVE_BURST, 0, now, actions);
		break;
	case LIMITER_WAIT:
		if (now >= request->token_deadline ||
		    (!result.needs_loan &&
			result.ready_at > request->token_deadline)) {
			gate_token_wait_leave(gate, id);
			refuse_without_tokens(
			    gate, request, &result, now, actions);
		} else if (request->state != GATE_REQUEST_WAIT_TOKENS) {
			request->state = GATE_REQUEST_WAIT_TOKENS;
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
gate_retry_token_waiters(gate_t *gate, time_us_t now, GArray *actions)
{
	g_autoptr(GHashTable) blocked =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GList *next;

	for (GList *item = gate->token_waiters.head; item != NULL;
	     item = next) {
		gate_request_handle_t id = *(gate_request_handle_t *)item->data;
		gate_request_t *request = gate_request(gate, id);

		next = item->next;
		if (g_hash_table_contains(blocked, request->team) &&
		    now < request->token_deadline)
			continue;
		g_hash_table_add(blocked, g_strdup(request->team));
		gate_charge(gate, request, now, actions);
		request = gate_request(gate, id);
		if (request == NULL ||
		    request->state != GATE_REQUEST_WAIT_TOKENS) {
			/* Admitted or refused: the next of its team may try. */
			if (request != NULL)
				g_hash_table_remove(blocked, request->team);
			continue;
		}
		gate_request_loan(gate, request->team, now, actions);
	}
}

/* Admits a request whose ticket, if it needs one, was accepted. */
static void
admit_request(
    gate_t *gate, gate_request_t *request, time_us_t now, GArray *actions)
{
	/* The instance that forwarded a request has charged its tokens. */
	if (request->forwarded || request->team[0] == '\0') {
		start_request(gate, request, now, actions);
		return;
	}
	gate_charge(gate, request, now, actions);
	gate_request_loan(gate, request->team, now, actions);
}

static void
order_replay(gate_t *gate, gate_request_t *request, const order_begin_t *begin,
    GArray *actions)
{
	gate_action_t *action =
	    gate_action(gate, actions, ACTION_REPLAY, request);

	action->u.replay.status = begin->replay.status;
	g_strlcpy(action->u.replay.content_type, begin->replay.content_type,
	    sizeof(action->u.replay.content_type));
	action->u.replay.answer = begin->replay.body;
	gate_free_request(gate, request);
}

/* Forwards an order to the instance that issued its ticket. */
static void
order_forward(gate_t *gate, gate_request_t *request, const char *issuer,
    time_us_t now, GArray *actions)
{
	const instance_t *peer = fleet_find_instance(gate->view.fleet, issuer);
	limiter_result_t result;

	/* An issuer that is no longer listed may have run the order, and one
	 * outside the team's home region must not receive it. */
	if (peer == NULL || !region_allowed(gate, request,
				gate_zone_region(gate, peer->zone))) {
		gate_refuse(
		    gate, request, REFUSAL_TICKET_UNKNOWN, 0, now, actions);
		return;
	}
	result = limiter_reserve(
	    gate->limiter, request->team, request->body.cost, true, now);
	if (result.verdict != LIMITER_ADMITTED) {
		gate_refuse(gate, request, REFUSAL_RATE_EXCEEDED,
		    MIN(MAX(result.ready_at - now, US_PER_MS), US_PER_S), now,
		    actions);
		return;
	}
	request->charged = true;
	request->reservation = result.reservation;
	forward_request(gate, request, issuer, "issuer", actions);
}

static order_origin_t
order_origin(const gate_request_t *request, const char *text)
{
	order_ticket_t ticket;

	if (!request->forwarded)
		return ORDER_FROM_CALLER;
	if (order_ticket_parse(text, &ticket) &&
	    strcmp(ticket.instance, request->sender) == 0)
		return ORDER_FROM_ISSUER;
	return ORDER_FROM_PEER;
}

static void
order_submit(gate_t *gate, gate_request_t *request, const gate_body_t *body,
    time_us_t now, GArray *actions)
{
	order_begin_t begin;

	if (body->ticket == NULL) {
		gate_refuse(
		    gate, request, REFUSAL_TICKET_REQUIRED, 0, now, actions);
		return;
	}
	begin = order_begin(gate->orders, request->team, body->ticket,
	    body->digest, order_origin(request, body->ticket), body->wall_s);
	switch (begin.action) {
	case ORDER_RUN:
		request->order_begun = true;
		request->order_handle = begin.handle;
		admit_request(gate, request, now, actions);
		break;
	case ORDER_REPLAY:
		order_replay(gate, request, &begin, actions);
		break;
	case ORDER_REFUSE:
		gate_refuse(gate, request, begin.refusal,
		    begin.refusal == REFUSAL_ORDER_RUNNING ? US_PER_S : 0, now,
		    actions);
		break;
	case ORDER_FORWARD:
		order_forward(
		    gate, request, begin.forward.instance, now, actions);
		break;
	}
}

void
gate_submit(gate_t *gate, gate_request_handle_t id, const gate_body_t *body,
    time_us_t now, GArray *actions)
{
	gate_request_t *request = gate_request(gate, id);

	if (request == NULL)
		return;
	gate_sync_share(gate, now);
	request->body = *body;
	request->body.ticket = NULL;
	if (body->ticket != NULL)
		g_strlcpy(
		    request->ticket, body->ticket, sizeof(request->ticket));
	if (!check_poison_body(gate, request, now, actions))
		return;
	if (request->order)
		order_submit(gate, request, body, now, actions);
	else
		admit_request(gate, request, now, actions);
}
