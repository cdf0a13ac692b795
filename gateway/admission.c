#include "call.h"

#include <string.h>

#include "core/random.h"

/* Minimum Retry-After. */
#define RETRY_AFTER_MIN_US (100 * US_PER_MS)

/* Retry-After is at most the remaining time divided by this. */
#define RETRY_AFTER_PART 3

static time_us_t
retry_after_clip(const call_t *call, time_us_t after)
{
	time_us_t left = call->time_left_at - gateway_now(call->gateway);

	return MAX(RETRY_AFTER_MIN_US, MIN(after, left / RETRY_AFTER_PART));
}

void
call_refuse(
    call_t *call, unsigned status, const char *reason, time_us_t retry_after)
{
	g_autoptr(GString) fields = g_string_new(NULL);
	g_autofree char *body = g_strdup_printf("{\"error\":\"%s\"}", reason);
	client_t *client = call->client;
	bool not_run;

	if (call->head_sent) {
		call_broken(call, reason);
		return;
	}
	/*
	 * 503 states that the request was not executed, so one that may have
	 * been executed gets 502.
	 */
	if (status == 503 && call->n_runs > 0)
		status = 502;
	not_run = status == 503 || status == 429;
	counter_count("requests_refused", "reason", reason);
	call->status = status;
	call->state = CALL_ENDED;
	ev_timer_stop(call->gateway->loop, &call->timer);
	if (not_run && call->n_runs == 0 && !call->from_peer)
		team_rates_refund(
		    call->gateway->rates, call->team_index, call->cost);
	decision_log(call, "request_refused", reason);
	platform_answer_id(fields, call->request.id);
	if (not_run) {
		time_us_t after = retry_after_clip(call, retry_after);

		g_string_append_printf(
		    fields, "Retry-After: %.3f\r\n", (double)after / US_PER_S);
		platform_answer_not_run(fields);
	}
	call->client = NULL;
	if (client != NULL)
		client_answer(
		    client, status, fields->str, "application/json", body);
}

static double
request_cost(const call_t *call)
{
	const prompt_t *prompt = &call->request.prompt;

	if (call->team == NULL)
		return 0;
	if (!call->team->counts_tokens)
		return 1;
	if (!call->request.has_tokens)
		return call->team->plain_tokens;
	return (double)prompt->tokens_in + prompt->tokens_out;
}

/* Finds the request's team. Returns false if the key is unknown. */
static bool
team_find(call_t *call)
{
	const catalog_t *catalog = call->catalog;

	call->team_index = -1;
	if (!catalog_keyed(catalog) || call->route->open)
		return true;
	if (call->from_peer)
		call->team_index =
		    call->peer_team != NULL
			? catalog_team_index(catalog, call->peer_team)
			: -1;
	else if (call->key != NULL)
		call->team_index =
		    catalog_key_team(catalog, call->key, strlen(call->key));
	call->team = catalog_team(catalog, call->team_index);
	return call->team != NULL;
}

static void
times_set(call_t *call)
{
	time_us_t timeout =
	    call->arrived_at + call->route->timeout_ms * US_PER_MS;

	if (call->request.time_left_ms < 0)
		call->time_left_at = timeout;
	call->ends_at = MIN(timeout, call->time_left_at);
}

static bool
charge(call_t *call)
{
	time_us_t retry_after;

	call->cost = request_cost(call);
	if (call->from_peer ||
	    team_rates_charge(call->gateway->rates, call->team_index,
		call->cost, gateway_now(call->gateway), &retry_after))
		return true;
	call->cost = 0; /* nothing to refund */
	call_refuse(call, 429, "team_over_rate", retry_after);
	return false;
}

/*
 * Refuses a request that the configuration doesn't know. The configuration of
 * an instance that forwarded it has the route and may be newer, so that
 * instance is told only that the request was not executed here.
 */
static void
call_refuse_unknown(call_t *call, unsigned status, const char *reason)
{
	if (call->from_peer)
		call_refuse(call, 503, "config_differs", RETRY_AFTER_MIN_US);
	else
		call_refuse(call, status, reason, 0);
}

static void
stream_note(call_t *call)
{
	const prompt_t *prompt = &call->request.prompt;
	double tokens = call->request.answer_hint > 0
			    ? call->request.answer_hint
			    : prompt->tokens_out;

	if (call->route->kind != ROUTE_STREAM || tokens <= 0 ||
	    call->service->event_tokens <= 0)
		return;
	call->events = tokens / call->service->event_tokens;
	line_note_stream(call->line, call->route, call->events);
}

/* Retry-After before the first configuration is loaded. */
#define NO_CONFIG_RETRY_US (500 * US_PER_MS)

bool
call_admit(call_t *call)
{
	gateway_t *gateway = call->gateway;
	size_t path_len = strcspn(call->path, "?");
	const catalog_route_t *route;

	if (gateway_is_closed(gateway)) {
		call_refuse(call, 503, "stopping", RETRY_AFTER_MIN_US);
		return false;
	}
	if (gateway->catalog == NULL) {
		call_refuse(call, 503, "no_config", NO_CONFIG_RETRY_US);
		return false;
	}
	call->catalog = catalog_ref(gateway->catalog);
	route = catalog_route(call->catalog, call->host, strlen(call->host),
	    call->path, path_len);
	if (route == NULL) {
		call_refuse_unknown(call, 404, "no_route");
		return false;
	}
	call->route = route;
	if (!team_find(call)) {
		call_refuse_unknown(call, 401, "key_unknown");
		return false;
	}
	times_set(call);
	call->regions = route->regions &
			(call->team ? call->team->regions : REGION_SET_ALL);
	call->priority = call->team && call->team->priority >= 0
			     ? call->team->priority
			     : route->priority;
	call->service = catalog_service(call->catalog,
	    catalog_pick_service(route, random_next(&gateway->random)));
	if (call->service == NULL) {
		call_refuse(call, 503, "no_service", US_PER_S);
		return false;
	}
	call->line = gateway_line(gateway, call->service->name);
	stream_note(call);
	return charge(call);
}
