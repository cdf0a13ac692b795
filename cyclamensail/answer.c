/* Error answers and the headers that all answers have. */
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "common/counter.h"
#include "common/log.h"
#include "internal.h"

/* Maximum endpoints listed in a refusal. */
#define ENDPOINT_LIMIT 4

char *
answer_error_text(const answer_error_t *error, const gate_endpoint_t *endpoints,
    size_t n_endpoints, const char *ticket)
{
	const refusal_info_t *info = refusal_info(error->reason);
	json_t *json = json_pack("{s:s,s:s,s:s,s:s,s:s}", "code", info->code,
	    "ran", execution_name(error->execution), "message", info->message,
	    "remedy", info->remedy, "request_id", error->request_id);
	json_t *root = json_pack("{s:o}", "error", json);
	char *text;

	if (error->detail != NULL)
		json_object_set_new(json, "detail", json_string(error->detail));
	if (ticket != NULL)
		json_object_set_new(json, "ticket", json_string(ticket));
	if (n_endpoints > 0) {
		json_t *list = json_array();

		for (size_t i = 0; i < n_endpoints; i++)
			json_array_append_new(
			    list, json_string(endpoints[i].http));
		json_object_set_new(json, "instances", list);
	}
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

void
answer_add_headers(
    daemon_t *daemon, exchange_t *exchange, const char *request_id)
{
	uint64_t versions[LIST_COUNT];
	char text[64];

	pthread_mutex_lock(&daemon->gate_lock);
	gate_list_versions(daemon->gate, versions);
	pthread_mutex_unlock(&daemon->gate_lock);
	snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT,
	    versions[LIST_PLANS], versions[LIST_ALLOWANCES]);
	exchange_add_header(exchange, "X-Config-Version", text);
	exchange_add_header(exchange, "X-Request-Id", request_id);
}

/* Whether the answer lists endpoints that may accept the request instead. */
static bool
refusal_lists_endpoints(refusal_t reason)
{
	switch (reason) {
	case REFUSAL_WRONG_REGION:
	case REFUSAL_DRAINING:
	case REFUSAL_STARTING:
	case REFUSAL_NO_SHARE:
	case REFUSAL_NO_TARGET:
	case REFUSAL_ORDER_TABLE_FULL:
		return true;
	default:
		return false;
	}
}

static void
retry_after_add(exchange_t *exchange, time_us_t retry_after)
{
	char text[24];

	if (retry_after <= 0)
		return;
	/*
	 * The header has whole seconds; rounded up, so that the caller doesn't
	 * retry too early.
	 */
	snprintf(text, sizeof(text), "%" G_GINT64_FORMAT,
	    (retry_after + US_PER_S - 1) / US_PER_S);
	exchange_add_header(exchange, "Retry-After", text);
}

void
answer_refuse(
    daemon_t *daemon, exchange_t *exchange, const answer_error_t *error)
{
	const refusal_info_t *info = refusal_info(error->reason);
	gate_endpoint_t endpoints[ENDPOINT_LIMIT];
	char ticket[TICKET_LIMIT] = "";
	size_t n_endpoints = 0;
	char *text;

	counter_increment("refusals", "reason", info->code);
	log_event(LOG_INFO, "refused", LOG_S("request_id", error->request_id),
	    LOG_S("reason", info->code), LOG_S("team", error->team),
	    LOG_S("ran", execution_name(error->execution)),
	    LOG_S("detail", error->detail));
	pthread_mutex_lock(&daemon->gate_lock);
	if (refusal_lists_endpoints(error->reason))
		n_endpoints = gate_directory(daemon->gate, error->team, NULL,
		    clock_now(), endpoints, ENDPOINT_LIMIT);
	if (error->reason == REFUSAL_TICKET_REQUIRED && error->team != NULL)
		gate_ticket(daemon->gate, error->team, clock_wall_s(), ticket);
	pthread_mutex_unlock(&daemon->gate_lock);
	text = answer_error_text(
	    error, endpoints, n_endpoints, ticket[0] ? ticket : NULL);
	exchange_add_header(exchange, "Content-Type", "application/json");
	exchange_add_header(
	    exchange, "X-Cyclamensail-Ran", execution_name(error->execution));
	if (info->status == 401)
		exchange_add_header(exchange, "WWW-Authenticate", "Bearer");
	if (info->status == 405)
		exchange_add_header(exchange, "Allow", "GET, HEAD, POST");
	retry_after_add(exchange, error->retry_after);
	answer_add_headers(daemon, exchange, error->request_id);
	exchange_respond(exchange, info->status, text, strlen(text));
	free(text);
}
