#include "call.h"

#include <string.h>

#include "core/random.h"

/* Round-trip time to another region in ms, weighed against waiting here. */
#define HOP_MS 170.0

/*
 * A request stops waiting for a target that has its prefix cached this long
 * before its latest start.
 */
#define PREFIX_WAIT_RESERVE_US (150 * US_PER_MS)

/* Time after which the reported load of another region is ignored. */
#define NEWS_LIFE_US (2 * US_PER_S)

/*
 * Minimum time to serve a request on an engine or a plain service; a request
 * with less time left is not started.
 */
#define ENGINE_TIME_MIN_US (120 * US_PER_MS)
#define PLAIN_TIME_MIN_US (40 * US_PER_MS)

/* Retry-After when the service has no target. */
#define NO_TARGET_RETRY_US (700 * US_PER_MS)

/* Time that a queued request must have left when it starts. */
static time_us_t
time_min(const call_t *call)
{
	time_us_t whole = call->ends_at - call->arrived_at;
	double stream_ms = call->events * call->line->gap_limit_ms;

	if (!call->service->engine)
		return PLAIN_TIME_MIN_US;
	/*
	 * A length hint that is far too high must not refuse the request at
	 * once.
	 */
	return ENGINE_TIME_MIN_US +
	       MIN((time_us_t)(stream_ms * US_PER_MS), whole / 2);
}

/*
 * Latest start of a queued request. At a load peak, more requests arrive for
 * seconds than can be served. A stream that waits longer than its objective is
 * late and delays those behind it, so it is refused while its caller still has
 * time to retry.
 */
static time_us_t
latest_start(const call_t *call)
{
	time_us_t latest = call->ends_at - time_min(call);
	const catalog_route_t *route = call->route;

	if (route->kind != ROUTE_STREAM || route->patience_ms == 0)
		return latest;
	return MIN(latest, call->arrived_at +
			       MIN(route->patience_ms * US_PER_MS / 2,
				   route->objective_ms * US_PER_MS) -
			       ENGINE_TIME_MIN_US);
}

/* Whether the request may be forwarded to an instance of the region. */
static bool
region_is_open(const call_t *call, int region)
{
	gateway_t *gateway = call->gateway;

	return region != gateway->region &&
	       region_set_has(call->regions, region) &&
	       members_any_ready(
		   gateway->members, region, gateway_now(gateway));
}

/*
 * Expected time to the first byte in ms if the request is forwarded to the
 * region, or a negative value if it can't be.
 */
static double
region_cost(const call_t *call, int region)
{
	gateway_t *gateway = call->gateway;
	const region_news_t *news = &gateway->news[region];
	uint32_t service = target_short_id(call->service->name);

	if (!region_is_open(call, region))
		return -1;
	if (gateway_now(gateway) - news->heard_at < NEWS_LIFE_US) {
		for (size_t i = 0; i < news->n; i++) {
			if (news->services[i].service == service)
				return news->services[i].free > 0
					   ? HOP_MS +
						 news->services[i].expected_ms
					   : -1;
		}
	}
	return -1;
}

/*
 * The other region with free slots and the lowest expected time. If there is
 * none and any is set, a random permitted region.
 */
static int
region_pick(const call_t *call, bool any)
{
	gateway_t *gateway = call->gateway;
	int best = PLACE_NONE;
	double best_cost = 0;
	uint64_t seen = 0;

	if (call->from_peer || call->peer_tried)
		return PLACE_NONE;
	for (int i = 0; i < places_n_regions(gateway->places); i++) {
		double cost = region_cost(call, i);

		if (cost >= 0 && (best == PLACE_NONE || cost < best_cost)) {
			best = i;
			best_cost = cost;
		}
	}
	if (best != PLACE_NONE || !any)
		return best;
	for (int i = 0; i < places_n_regions(gateway->places); i++) {
		if (!region_is_open(call, i))
			continue;
		seen++;
		if (random_next(&gateway->random) % seen == 0)
			best = i;
	}
	return best;
}

static void
call_choose(call_t *call, choice_t *choice)
{
	gateway_t *gateway = call->gateway;
	bool here = region_set_has(call->regions, gateway->region);
	placement_request_t request = {
	    .service = call->service,
	    .prompt = call->service->engine ? &call->request.prompt : NULL,
	    .n_tried = call->n_tried,
	    .region_instances = gateway->region_instances,
	    .gap_limit_ms = call->line->gap_limit_ms,
	    .may_wait = gateway_now(gateway) <
			latest_start(call) - PREFIX_WAIT_RESERVE_US,
	    .random = random_next(&gateway->random),
	};

	*choice = (choice_t){.kind = CHOICE_NOWHERE, .region = PLACE_NONE};
	memcpy(request.tried, call->tried, sizeof(request.tried));
	if (here) {
		choice->placement = placement_pick(
		    gateway->targets, &request, gateway_now(gateway));
		if (choice->placement.verdict == PLACEMENT_START) {
			choice->kind = CHOICE_TARGET;
			return;
		}
		if (choice->placement.verdict == PLACEMENT_WAIT)
			choice->kind = CHOICE_WAIT;
		if (choice->placement.held_back)
			return;
	}
	choice->region = region_pick(call, choice->kind == CHOICE_NOWHERE);
	if (choice->region != PLACE_NONE)
		choice->kind = CHOICE_REGION;
}

static void
sends_count(call_t *call, const char *to)
{
	if (call->n_sends++ == 0)
		call_time(call, LATENCY_WAIT);
	call->sent_at = gateway_now(call->gateway);
	call->state = CALL_SENT;
	call->status = 0;
	g_strlcpy(call->sent_to, to, sizeof(call->sent_to));
}

static bool
is_repeatable(const call_t *call)
{
	switch (call->route->kind) {
	case ROUTE_SAFE:
		return true;
	case ROUTE_UNSAFE:
		return false;
	case ROUTE_STREAM:
		return call->route->resumable;
	}
	return false;
}

static void
call_send(call_t *call, attempt_plan_t *plan, const char *to)
{
	plan->body = call->has_body ? call->body : NULL;
	plan->request_id = call->request.id;
	plan->no_answer_body = call->no_answer_body;
	plan->repeatable = is_repeatable(call);
	sends_count(call, to);
	call->attempt = attempt_create(call->gateway, call, plan);
	if (call->attempt == NULL)
		call_on_loss(call, LOSS_UNREACHABLE, NULL);
}

static GString *
send_head(const call_t *call)
{
	GString *head = g_string_sized_new(call->forward->len + 256);

	g_string_append_len(
	    head, call->forward->str, (gssize)call->forward->len);
	return head;
}

static void
call_send_target(call_t *call, const placement_t *placement)
{
	target_t *target = placement->target;
	const prompt_t *prompt = &call->request.prompt;
	attempt_plan_t plan = {.target = target,
	    .tokens = placement->tokens,
	    .expected_ms = placement->expected_ms,
	    .doubt_ms = placement->doubt_ms,
	    .head = send_head(call)};

	g_assert(target != NULL);
	platform_request_complete(plan.head,
	    &(send_fields_t){.time_left_ms = call_left_ms(call),
		.target = target->entry.id,
		.team = call->team ? call->team->name : NULL,
		.priority = call->service->engine ? call->priority : -1,
		.resume_after = call->resume_after,
		.has_body = call->has_body,
		.body_len = call->body->len});
	if (call->service->engine)
		target_prefix_add(target, prompt->chain, prompt->tokens,
		    prompt->n_parts, call->service->cache_tokens,
		    gateway_now(call->gateway));
	/*
	 * Counted by the instance that sends to targets, not by one that
	 * forwards.
	 */
	if (call->n_tried == 0)
		retry_first_try(&call->line->retries);
	call->at_peer = false;
	if (call->n_tried < PLACEMENT_TRIED_LIMIT)
		call->tried[call->n_tried++] = target->handle;
	call_send(call, &plan, target->entry.id);
}

static void
call_send_region(call_t *call, int region)
{
	gateway_t *gateway = call->gateway;
	const member_t *member =
	    members_pick(gateway->members, region, 0, gateway_now(gateway));
	attempt_plan_t plan = {
	    .peer_ip = member->entry.ip, .head = send_head(call)};

	call->peer_tried = true;
	call->at_peer = true;
	g_string_append(plan.head, PEER_FIELD_HOP ": 1\r\n");
	if (call->team != NULL)
		g_string_append_printf(
		    plan.head, PEER_FIELD_TEAM ": %s\r\n", call->team->name);
	platform_request_complete(
	    plan.head, &(send_fields_t){.time_left_ms = call_left_ms(call),
			   .priority = -1,
			   .resume_after = call->resume_after,
			   .has_body = call->has_body,
			   .body_len = call->body->len});
	counter_count("requests_passed_on", "region",
	    places_region_name(gateway->places, region));
	call_send(call, &plan, places_region_name(gateway->places, region));
}

static void
call_enqueue(call_t *call)
{
	time_us_t now = gateway_now(call->gateway);
	const prompt_t *prompt = &call->request.prompt;
	queue_request_t request = {
	    .team = call->team ? call->team->name : "",
	    .priority = call->priority,
	    .cost = MAX(1, (int64_t)prompt->tokens_in),
	    .deadline = latest_start(call),
	    .item = call,
	};
	queue_push_t pushed;

	pushed = queue_push(call->line->queue, &request, now);
	if (pushed.verdict != QUEUE_QUEUED) {
		call_refuse(call, 503,
		    pushed.verdict == QUEUE_FULL ? "queue_full"
						 : "no_time_left",
		    queue_retry_after(call->line->queue, now));
		return;
	}
	call->state = CALL_WAITING;
	call->queued = pushed.handle;
	if (pushed.evicted.handle != HANDLE_NONE) {
		call_t *evicted = pushed.evicted.item;

		evicted->queued = HANDLE_NONE;
		call_refuse(evicted, 503, "queue_full",
		    queue_retry_after(call->line->queue, now));
	}
}

static void
choice_carry_out(call_t *call, const choice_t *choice)
{
	switch (choice->kind) {
	case CHOICE_TARGET:
		call_send_target(call, &choice->placement);
		return;
	case CHOICE_REGION:
		call_send_region(call, choice->region);
		return;
	case CHOICE_WAIT:
		call_enqueue(call);
		return;
	case CHOICE_NOWHERE:
		call_refuse(call, call->n_runs > 0 ? 502 : 503, "no_target",
		    NO_TARGET_RETRY_US);
		return;
	}
}

void
call_dispatch(call_t *call)
{
	/* New requests queue behind those that already wait. */
	if (queue_length(call->line->queue) > 0 && call->n_sends == 0 &&
	    region_set_has(call->regions, call->gateway->region)) {
		call_enqueue(call);
		if (call->state == CALL_WAITING)
			gateway_schedule_pump(call->gateway);
		return;
	}
	call_choose(call, &call->choice);
	choice_carry_out(call, &call->choice);
}

queue_answer_t
call_can_start(call_t *call)
{
	call_choose(call, &call->choice);
	switch (call->choice.kind) {
	case CHOICE_TARGET:
	case CHOICE_REGION:
	case CHOICE_NOWHERE:
		return QUEUE_START;
	case CHOICE_WAIT:
		return QUEUE_SKIP;
	}
	return QUEUE_SKIP;
}

void
call_dispatch_queued(call_t *call)
{
	call->queued = HANDLE_NONE;
	choice_carry_out(call, &call->choice);
}
