#include "request.h"

#include <string.h>

#include "core/random.h"

/* Minimum Retry-After. */
#define RETRY_AFTER_MIN_US (100 * US_PER_MS)

/*
 * Retry-After is at most the remaining time divided by this, but never less
 * than RETRY_AFTER_MIN_US.
 */
#define RETRY_AFTER_DIVISOR 3

static time_us_t
retry_after_clamp(const request_t *request, time_us_t after)
{
	time_us_t left =
	    request->caller_deadline - gateway_now(request->gateway);

	return MAX(RETRY_AFTER_MIN_US, MIN(after, left / RETRY_AFTER_DIVISOR));
}

static void
refuse(request_t *request, unsigned status, const char *reason,
    time_us_t retry_after)
{
	g_autoptr(GString) fields = g_string_new(NULL);
	g_autofree char *body = g_strdup_printf("{\"error\":\"%s\"}", reason);
	client_t *client = request->client;
	bool not_executed;

	if (request->head_sent) {
		request_abort_response(request, reason);
		return;
	}
	/*
	 * 503 states that the request was not executed, so one that may have
	 * been executed gets 502.
	 */
	if (status == 503 && request->n_maybe_executed > 0)
		status = 502;
	not_executed = status == 503 || status == 429;
	counter_increment("requests_refused", "reason", reason);
	request->status = status;
	request->state = REQUEST_ENDED;
	ev_timer_stop(request->gateway->loop, &request->timer);
	if (not_executed && request->n_maybe_executed == 0 &&
	    !request->from_peer)
		team_rates_refund(request->gateway->rates, request->team_index,
		    request->cost);
	decision_log(request, "request_refused", reason);
	platform_response_append_id(fields, request->parsed.id);
	if (not_executed) {
		g_string_append_printf(fields, "Retry-After: %.3f\r\n",
		    (double)retry_after / US_PER_S);
		platform_response_append_not_executed(fields);
	}
	request->client = NULL;
	if (client != NULL)
		client_respond(
		    client, status, fields->str, "application/json", body);
}

void
request_refuse(request_t *request, unsigned status, const char *reason,
    time_us_t retry_after)
{
	refuse(
	    request, status, reason, retry_after_clamp(request, retry_after));
}

void
request_refuse_held(request_t *request, time_us_t retry_after)
{
	refuse(request, 503, "quarantined", retry_after);
}

static double
request_cost(const request_t *request)
{
	const prompt_t *prompt = &request->parsed.prompt;

	if (request->team == NULL)
		return 0;
	if (!request->team->counts_tokens)
		return 1;
	if (!request->parsed.has_token_count)
		return request->team->plain_tokens;
	return (double)prompt->tokens_in + prompt->tokens_out;
}

/*
 * Finds the request's team. Returns false if a team is required and the key, or
 * the team named by another instance, is missing or unknown.
 */
static bool
team_find(request_t *request)
{
	const catalog_t *catalog = request->gateway->catalog;
	const catalog_team_t *team;

	request->team_index = -1;
	if (!catalog_requires_key(catalog) || request->route->open)
		return true;
	if (request->from_peer)
		request->team_index =
		    request->peer_team != NULL
			? catalog_team_index(catalog, request->peer_team)
			: -1;
	else if (request->key != NULL)
		request->team_index = catalog_key_team(
		    catalog, request->key, strlen(request->key));
	team = catalog_team(catalog, request->team_index);
	if (team == NULL)
		return false;
	request->team = catalog_team_ref(team);
	return true;
}

static void
deadlines_set(request_t *request)
{
	time_us_t timeout =
	    request->arrived_at + request->route->timeout_ms * US_PER_MS;

	if (request->parsed.time_left_ms < 0)
		request->caller_deadline = timeout;
	request->deadline = MIN(timeout, request->caller_deadline);
}

/* Time in which a stopping instance can still answer a plain request. */
#define LEAVE_PLAIN_MIN_US US_PER_S

/* From the exit of a stopping instance until it serves again. */
#define RESTART_US (1500 * US_PER_MS)

/*
 * Load pattern: instances are restarted in turn, and in a small region all of
 * them are stopping at once while callers still have their addresses. Plain
 * requests take milliseconds and get the time that is left. A stream is
 * accepted only if its whole deadline fits, as it can't be answered partly,
 * unless its caller can resume it and still has this address only.
 */
static bool
leave_limit_apply(request_t *request)
{
	gateway_t *gateway = request->gateway;
	const catalog_route_t *route = request->route;
	time_us_t limit = gateway_leave_limit(gateway);
	time_us_t left = limit - gateway_now(gateway);

	if (limit == 0 || request->deadline <= limit)
		return true;
	if (route->kind == ROUTE_STREAM && route->resumable &&
	    !gateway_leave_accept_is_over(gateway))
		return true;
	if (request->route->kind != ROUTE_STREAM &&
	    left >= LEAVE_PLAIN_MIN_US) {
		request->deadline = limit;
		return true;
	}
	request_refuse(request, 503, "stopping",
	    members_any_ready(
		gateway->members, gateway->region, gateway_now(gateway))
		? RETRY_AFTER_MIN_US
		: MAX(left, 0) + RESTART_US);
	return false;
}

static bool
team_charge(request_t *request)
{
	time_us_t retry_after;

	request->cost = request_cost(request);
	if (request->from_peer ||
	    team_rates_charge(request->gateway->rates, request->team_index,
		request->cost, gateway_now(request->gateway), &retry_after))
		return true;
	request->cost = 0; /* nothing to refund */
	request_refuse(request, 429, "team_over_rate", retry_after);
	return false;
}

/*
 * Retry-After where the route or the team can't be read, until operators
 * publish a version that can.
 */
#define UNREADABLE_RETRY_US (2 * US_PER_S)

/*
 * Refuses a request that the configuration doesn't know, unless it waits for a
 * newer one. The configuration of
 * an instance that forwarded it has the route and may be newer, so that
 * instance is told only that the request was not executed here.
 */
static void
request_refuse_unknown(request_t *request, unsigned status, const char *reason)
{
	if (request->from_peer)
		request_refuse(
		    request, 503, "config_differs", RETRY_AFTER_MIN_US);
	else if (catalog_is_incomplete(request->gateway->catalog))
		request_refuse(
		    request, 503, "config_unreadable", UNREADABLE_RETRY_US);
	else if (!pending_begin(request))
		request_refuse(request, status, reason, 0);
}

/* Tokens of the response, by the caller's hint if there is one. */
static uint32_t
expected_tokens_out(const request_t *request)
{
	return request->parsed.output_hint > 0
		   ? request->parsed.output_hint
		   : request->parsed.prompt.tokens_out;
}

static void
stream_length_note(request_t *request)
{
	double tokens = expected_tokens_out(request);

	if (request->route->kind != ROUTE_STREAM || tokens <= 0 ||
	    request->service->event_tokens <= 0)
		return;
	request->expected_events = tokens / request->service->event_tokens;
	service_state_note_stream(
	    request->service_state, request->route, request->expected_events);
}

/* Requests that are not served in this region take no room here. */
static void
urgency_update(request_t *request)
{
	if (!region_set_has(request->regions, request->gateway->region))
		return;
	urgency_note(&request->service_state->urgency, request->class,
	    urgency_work(
		request->parsed.prompt.tokens_in, expected_tokens_out(request)),
	    gateway_now(request->gateway));
}

static void
features_find(request_t *request)
{
	const prompt_t *prompt = &request->parsed.prompt;

	for (size_t i = 0; i < prompt->n_shared_ids; i++)
		features_add_part(&request->features, request->service->name,
		    prompt->shared_ids[i]);
	features_add_request(&request->features, request->service->name,
	    request->team ? request->team->name : NULL, request->path,
	    request->body->data, request->body->len);
}

/* Retry-After before the first configuration is loaded. */
#define NO_CONFIG_RETRY_US (500 * US_PER_MS)

bool
request_admit(request_t *request)
{
	gateway_t *gateway = request->gateway;
	size_t path_len = strcspn(request->path, "?");
	const catalog_route_t *route;

	if (gateway_refuses_requests(gateway)) {
		request_refuse(request, 503, "stopping", RETRY_AFTER_MIN_US);
		return false;
	}
	if (gateway->catalog == NULL) {
		request_refuse(request, 503, "no_config", NO_CONFIG_RETRY_US);
		return false;
	}
	/* A request that has waited for a configuration was admitted before. */
	if (request->config_version != NULL)
		g_ref_string_release(request->config_version);
	catalog_route_unref(request->route);
	request->route = NULL;
	request->config_version =
	    g_ref_string_acquire((char *)catalog_version(gateway->catalog));
	route = catalog_route(gateway->catalog, request->host,
	    strlen(request->host), request->path, path_len);
	if (route == NULL) {
		request_refuse_unknown(request, 404, "no_route");
		return false;
	}
	request->route = catalog_route_ref(route);
	if (!route->unreadable && !team_find(request)) {
		request_refuse_unknown(request, 401, "key_unknown");
		return false;
	}
	if (route->unreadable ||
	    (request->team != NULL && request->team->unreadable)) {
		request_refuse(
		    request, 503, "config_unreadable", UNREADABLE_RETRY_US);
		return false;
	}
	deadlines_set(request);
	if (!leave_limit_apply(request))
		return false;
	request->regions =
	    route->regions &
	    (request->team ? request->team->regions : REGION_SET_ALL);
	request->class = urgency_class(
	    request->team ? request->team->priority : -1, route->priority);
	request->service =
	    catalog_pick_service(route, random_next(&gateway->random));
	if (request->service == NULL) {
		request_refuse(request, 503, "no_service", US_PER_S);
		return false;
	}
	request->service_state =
	    gateway_service_state(gateway, request->service->name);
	urgency_update(request);
	features_find(request);
	stream_length_note(request);
	return team_charge(request);
}
