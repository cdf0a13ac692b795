#include "request.h"

#include <string.h>

#include "core/random.h"

/*
 * A request stops waiting for a target that has its prefix cached this long
 * before its latest start.
 */
#define PREFIX_WAIT_RESERVE_US (150 * US_PER_MS)

/* Time after which the reported load of another region is ignored. */
#define REGION_LOAD_TTL_US (2 * US_PER_S)

/*
 * Minimum time to serve a request on an engine or a plain service. A queued
 * request with less time left is refused; a request that is dispatched on
 * arrival is not checked.
 */
#define ENGINE_TIME_MIN_US (120 * US_PER_MS)
#define PLAIN_TIME_MIN_US (40 * US_PER_MS)

/* Retry-After when no target and no other region can take the request. */
#define NO_TARGET_RETRY_US (700 * US_PER_MS)

/*
 * Instances that a request is passed to, one after the other, while this one
 * reaches no target.
 */
#define LOST_FORWARDS_MAX 3

/* Time that a queued request must have left when it starts. */
static time_us_t
time_min(const request_t *request)
{
	time_us_t whole = request->deadline - request->arrived_at;
	double stream_ms =
	    request->expected_events * request->service_state->gap_limit_ms;

	if (!request->service->engine)
		return PLAIN_TIME_MIN_US;
	/*
	 * Limits the effect of a length hint that is far too high, which would
	 * otherwise cause the request to be refused at once.
	 */
	return ENGINE_TIME_MIN_US +
	       MIN((time_us_t)(stream_ms * US_PER_MS), whole / 2);
}

/*
 * Latest start of a queued request. At a load peak, more requests arrive for
 * seconds than can be served. A stream with a silence timeout must start
 * ENGINE_TIME_MIN_US before the earlier of its first-byte objective and half of
 * its silence timeout. One that waits longer is late and delays those behind
 * it, so it is refused while its caller still has time to retry.
 */
static time_us_t
latest_start(const request_t *request)
{
	time_us_t latest = request->deadline - time_min(request);
	const catalog_route_t *route = request->route;

	if (route->kind != ROUTE_STREAM || route->silence_timeout_ms == 0)
		return latest;
	return MIN(latest, request->arrived_at +
			       MIN(route->silence_timeout_ms * US_PER_MS / 2,
				   route->first_byte_objective_ms * US_PER_MS) -
			       ENGINE_TIME_MIN_US);
}

/* Whether the request may be forwarded to an instance of the region. */
static bool
region_is_allowed(const request_t *request, int region)
{
	gateway_t *gateway = request->gateway;

	return region != gateway->region &&
	       region_set_has(request->regions, region) &&
	       members_any_serving(
		   gateway->members, region, gateway_now(gateway));
}

/* Index of the request's service in a region's report, or the report's size. */
static size_t
service_index(const request_t *request, const region_load_t *load)
{
	uint32_t service = target_short_id(request->service->name);
	size_t i = 0;

	while (i < load->n && load->services[i].service != service)
		i++;
	return i;
}

/*
 * What this instance may send of the request's service to another region.
 * Nothing if the request may not be forwarded there, or if there is no recent
 * report of the service.
 */
static overflow_share_t
region_share(const request_t *request, int region)
{
	gateway_t *gateway = request->gateway;
	const region_load_t *load = &gateway->region_loads[region];
	size_t i = service_index(request, load);

	if (i == load->n || !region_is_allowed(request, region) ||
	    gateway_now(gateway) - load->received_at >= REGION_LOAD_TTL_US)
		return (overflow_share_t){0};
	return load->shares[i];
}

/* Counts a request that is forwarded to the region. */
static void
region_note_sent(const request_t *request, int region)
{
	region_load_t *load = &request->gateway->region_loads[region];
	size_t i = service_index(request, load);

	if (i < load->n)
		overflow_note_sent(&load->shares[i]);
}

/*
 * Another region with room. If there is none and any is set, a random permitted
 * region.
 */
static int
region_pick(const request_t *request, bool any)
{
	gateway_t *gateway = request->gateway;
	overflow_share_t shares[TOPOLOGY_REGION_LIMIT];
	int n = topology_n_regions(gateway->topology);
	int best = TOPOLOGY_NONE;
	uint64_t seen = 0;
	size_t picked;

	for (int i = 0; i < n; i++)
		shares[i] = region_share(request, i);
	picked =
	    overflow_pick(shares, (size_t)n, random_next(&gateway->random));
	if (picked != OVERFLOW_NONE)
		return (int)picked;
	if (!any)
		return TOPOLOGY_NONE;
	for (int i = 0; i < n; i++) {
		if (!region_is_allowed(request, i))
			continue;
		seen++;
		if (random_next(&gateway->random) % seen == 0)
			best = i;
	}
	return best;
}

/* Another region for a request of which the own one has no room. */
static int
overflow_region(const request_t *request, bool any)
{
	if (request->from_peer || request->n_forwards > 0)
		return TOPOLOGY_NONE;
	return region_pick(request, any);
}

/*
 * Chooses the region that a request is passed to while this instance reaches no
 * target: the own one if another instance there does, as its prompts are cached
 * there, or else another. Instances that it was passed to may have lost the
 * targets as well, so it may be passed on again. Returns whether the choice is
 * made: without anybody to pass it to, it is refused if it was passed on
 * before, and otherwise tried here.
 */
static bool
choose_instance(const request_t *request, choice_t *choice)
{
	gateway_t *gateway = request->gateway;

	if (request->from_peer || !reach_is_lost(&gateway->reach))
		return false;
	choice->region = TOPOLOGY_NONE;
	if (request->n_forwards < LOST_FORWARDS_MAX) {
		if (region_set_has(request->regions, gateway->region) &&
		    members_any_serving(gateway->members, gateway->region,
			gateway_now(gateway)))
			choice->region = gateway->region;
		else
			choice->region = region_pick(request, true);
	}
	if (choice->region == TOPOLOGY_NONE)
		return request->n_forwards > 0;
	choice->probe = false;
	choice->kind = CHOICE_REGION;
	return true;
}

/*
 * Whether this instance may probe a held feature: at first one of a region,
 * then more and more of each region.
 */
static bool
may_probe(gateway_t *gateway, const quarantine_check_t *check)
{
	uint64_t n_regions = (uint64_t)topology_n_regions(gateway->topology);

	if (check->probe_stage == 0 &&
	    (int)(check->probe_turn % n_regions) != gateway->region)
		return false;
	return members_is_responsible(gateway->members, check->probe_turn,
	    1u << (check->probe_stage > 0 ? check->probe_stage - 1 : 0),
	    gateway_now(gateway));
}

/* Returns whether the quarantine holds the request; sets choice if so. */
static bool
quarantine_choose(const request_t *request, choice_t *choice)
{
	gateway_t *gateway = request->gateway;
	quarantine_check_t check = quarantine_check(
	    gateway->quarantine, &request->features, gateway_now(gateway));

	*choice = (choice_t){.kind = CHOICE_NONE, .region = TOPOLOGY_NONE};
	/* Its own events show that its parts are sound. */
	if (request->bytes_to_caller > 0)
		return false;
	choice->retry_after = check.retry_after;
	switch (check.verdict) {
	case QUARANTINE_PASS:
		return false;
	case QUARANTINE_PROBE:
		choice->probe =
		    region_set_has(request->regions, gateway->region) &&
		    may_probe(gateway, &check);
		if (choice->probe)
			return false;
		choice->retry_after = QUARANTINE_PROBE_TURN_US;
		break;
	case QUARANTINE_HOLD:
		break;
	}
	choice->kind = CHOICE_HELD;
	return true;
}

static void
request_choose(request_t *request, choice_t *choice)
{
	gateway_t *gateway = request->gateway;
	bool local = region_set_has(request->regions, gateway->region);
	double reserve =
	    urgency_reserve(&request->service_state->urgency, request->class);
	placement_request_t criteria = {
	    .service = request->service,
	    .prompt = request->service->engine ? &request->parsed.prompt : NULL,
	    .n_tried = request->n_tried,
	    .region_instances = gateway->region_instances,
	    .reserve = reserve,
	    .gap_limit_ms = request->service_state->gap_limit_ms,
	    .wait_limit_ms =
		urgency_wait_limit_ms(reserve, PLACEMENT_MAX_EXPECTED_MS,
		    request->route->first_byte_objective_ms),
	    .version =
		request_keeps_version(request) ? request->stream_version : 0,
	    .may_wait_for_cached =
		gateway_now(gateway) <
		latest_start(request) - PREFIX_WAIT_RESERVE_US,
	    .random = random_next(&gateway->random),
	};

	if (quarantine_choose(request, choice))
		return;
	if (request_keeps_version(request) &&
	    request->stream_version == STREAM_VERSION_UNKNOWN)
		return;
	if (choose_instance(request, choice))
		return;
	memcpy(criteria.tried, request->tried, sizeof(criteria.tried));
	if (local) {
		choice->placement = placement_pick(
		    gateway->targets, &criteria, gateway_now(gateway));
		if (choice->placement.outcome == PLACEMENT_START) {
			choice->kind = CHOICE_TARGET;
			return;
		}
		if (choice->placement.outcome == PLACEMENT_WAIT)
			choice->kind = CHOICE_WAIT;
		if (choice->placement.slot_left_free)
			return;
	}
	/* Only targets of the own region are probed. */
	if (choice->probe)
		return;
	choice->region = overflow_region(request, choice->kind == CHOICE_NONE);
	if (choice->region != TOPOLOGY_NONE)
		choice->kind = CHOICE_REGION;
}

static void
attempt_count(request_t *request, const char *to, const char *version)
{
	if (request->n_attempts++ == 0)
		request_record_latency(request, LATENCY_WAIT);
	request->sent_at = gateway_now(request->gateway);
	request->state = REQUEST_SENT;
	request->status = 0;
	request->version_checked = false;
	g_strlcpy(request->sent_to, to, sizeof(request->sent_to));
	g_strlcpy(
	    request->sent_version, version, sizeof(request->sent_version));
}

static bool
is_repeatable(const request_t *request)
{
	switch (request->route->kind) {
	case ROUTE_SAFE:
		return true;
	case ROUTE_UNSAFE:
		return false;
	case ROUTE_STREAM:
		return request->route->resumable;
	}
	return false;
}

static void
request_send(request_t *request, attempt_plan_t *plan, const char *to)
{
	plan->body = request->has_body ? request->body : NULL;
	plan->request_id = request->parsed.id;
	plan->no_response_body = request->no_response_body;
	plan->repeatable = is_repeatable(request);
	plan->features = &request->features;
	attempt_count(request, to,
	    plan->target != NULL ? plan->target->entry.version : "");
	request->attempt = attempt_create(request->gateway, request, plan);
	if (request->attempt == NULL)
		request_on_failure(request, FAILURE_UNREACHABLE, NULL);
}

static GString *
attempt_head(const request_t *request)
{
	GString *head = g_string_sized_new(request->forward_head->len + 256);

	g_string_append_len(head, request->forward_head->str,
	    (gssize)request->forward_head->len);
	return head;
}

static void
request_send_target(request_t *request, const choice_t *choice)
{
	const placement_t *placement = &choice->placement;
	target_t *target = placement->target;
	const prompt_t *prompt = &request->parsed.prompt;
	attempt_plan_t plan = {.target = target,
	    .tokens = placement->tokens,
	    .expected_ms = placement->expected_ms,
	    .cache_miss_ms = placement->cache_miss_ms,
	    .head = attempt_head(request),
	    .probe = choice->probe};

	g_assert(target != NULL);
	platform_request_append_fields(plan.head,
	    &(gateway_fields_t){.time_left_ms = request_time_left_ms(request),
		.target = target->entry.id,
		.team = request->team ? request->team->name : NULL,
		.priority = request->service->engine ? request->class : -1,
		.resume_after = request->resume_after,
		.has_body = request->has_body,
		.body_len = request->body->len});
	if (request->service->engine)
		target_prefix_add(target, prompt->chain, prompt->tokens,
		    prompt->n_parts, request->service->cache_tokens,
		    gateway_now(request->gateway));
	/*
	 * Counted by the instance that sends to targets, not by one that
	 * forwards.
	 */
	if (choice->probe) {
		log_event(LOG_NOTICE, "quarantine_probe",
		    LOG_S("request", request->parsed.id),
		    LOG_S("target", target->entry.id));
		quarantine_begin_probe(request->gateway->quarantine,
		    &request->features, gateway_now(request->gateway));
		gossip_round(request->gateway->gossip);
	}
	if (request->n_tried == 0)
		retry_first_attempt(&request->service_state->retries);
	request->sent_to_peer = false;
	if (request->n_tried < PLACEMENT_TRIED_LIMIT)
		request->tried[request->n_tried++] = target->handle;
	request_send(request, &plan, target->entry.id);
}

static void
request_forward(request_t *request, int region)
{
	gateway_t *gateway = request->gateway;
	time_us_t now = gateway_now(gateway);
	const member_t *member = members_pick_serving(
	    gateway->members, region, request->peer_ip, now);
	attempt_plan_t plan = {.head = attempt_head(request)};

	/* The only one of the region may be the one that refused. */
	if (member == NULL)
		member = members_pick_serving(gateway->members, region, 0, now);
	plan.peer_ip = member->entry.ip;
	request->peer_ip = member->entry.ip;
	request->n_forwards++;
	request->sent_to_peer = true;
	region_note_sent(request, region);
	g_string_append(plan.head, PEER_FIELD_HOP ": 1\r\n");
	if (request->team != NULL)
		g_string_append_printf(
		    plan.head, PEER_FIELD_TEAM ": %s\r\n", request->team->name);
	if (request_keeps_version(request))
		g_string_append_printf(plan.head, PEER_FIELD_VERSION ": %u\r\n",
		    request->stream_version);
	platform_request_append_fields(plan.head,
	    &(gateway_fields_t){.time_left_ms = request_time_left_ms(request),
		.priority = -1,
		.resume_after = request->resume_after,
		.has_body = request->has_body,
		.body_len = request->body->len});
	counter_increment("requests_passed_on", "region",
	    topology_region_name(gateway->topology, region));
	request_send(
	    request, &plan, topology_region_name(gateway->topology, region));
}

static void
request_enqueue(request_t *request)
{
	time_us_t now = gateway_now(request->gateway);
	const prompt_t *prompt = &request->parsed.prompt;
	queue_request_t entry = {
	    .team = request->team ? request->team->name : "",
	    .priority = request->class,
	    .cost = MAX(1, (int64_t)prompt->tokens_in),
	    .deadline = latest_start(request),
	    .item = request,
	};
	queue_push_result_t pushed;

	pushed = queue_push(request->service_state->queue, &entry, now);
	if (pushed.verdict != QUEUE_QUEUED) {
		request_refuse(request, 503,
		    pushed.verdict == QUEUE_FULL ? "queue_full"
						 : "no_time_left",
		    queue_retry_after(request->service_state->queue, now));
		return;
	}
	request->state = REQUEST_QUEUED;
	request->queued = pushed.handle;
	gateway_schedule_queues(request->gateway);
	if (pushed.evicted.handle != HANDLE_NONE) {
		request_t *evicted = pushed.evicted.item;

		evicted->queued = HANDLE_NONE;
		request_refuse(evicted, 503, "queue_full",
		    queue_retry_after(request->service_state->queue, now));
	}
}

/*
 * Returns whether the caller has left, which cancels the request. After a stall
 * the end of its connection may wait in the socket behind the request, and is
 * only read in the next iteration of the loop.
 */
static bool
caller_has_left(request_t *request)
{
	bool left;

	request_ref(request);
	left = request->client != NULL && client_check_end(request->client);
	if (left) {
		counter_increment("requests_not_sent", "reason", "caller_left");
		decision_log(request, "request_not_sent", "caller_left");
		if (request->n_maybe_executed == 0 && !request->from_peer)
			team_rates_refund(request->gateway->rates,
			    request->team_index, request->cost);
	}
	request_unref(request);
	return left;
}

static void
choice_apply(request_t *request, const choice_t *choice)
{
	if ((choice->kind == CHOICE_TARGET || choice->kind == CHOICE_REGION) &&
	    caller_has_left(request))
		return;
	switch (choice->kind) {
	case CHOICE_TARGET:
		request_send_target(request, choice);
		return;
	case CHOICE_REGION:
		request_forward(request, choice->region);
		return;
	case CHOICE_WAIT:
		request_enqueue(request);
		return;
	case CHOICE_NONE:
		request_refuse(request,
		    request->n_maybe_executed > 0 ? 502 : 503, "no_target",
		    NO_TARGET_RETRY_US);
		return;
	case CHOICE_HELD:
		request_refuse_held(request, choice->retry_after);
		return;
	}
}

void
request_dispatch(request_t *request)
{
	if (quarantine_choose(request, &request->choice)) {
		choice_apply(request, &request->choice);
		return;
	}
	/* New requests queue behind those that already wait. */
	if (queue_length(request->service_state->queue) > 0 &&
	    request->n_attempts == 0 &&
	    (request->from_peer || !reach_is_lost(&request->gateway->reach)) &&
	    region_set_has(request->regions, request->gateway->region)) {
		request_enqueue(request);
		return;
	}
	request_choose(request, &request->choice);
	choice_apply(request, &request->choice);
}

queue_decision_t
request_choose_queued(request_t *request)
{
	request_choose(request, &request->choice);
	switch (request->choice.kind) {
	case CHOICE_TARGET:
	case CHOICE_REGION:
	case CHOICE_NONE:
	case CHOICE_HELD:
		return QUEUE_START;
	case CHOICE_WAIT:
		return QUEUE_SKIP;
	}
	return QUEUE_SKIP;
}

void
request_dispatch_queued(request_t *request)
{
	request->queued = HANDLE_NONE;
	choice_apply(request, &request->choice);
}
