#include "request.h"

/*
 * Writes one log line for each decision on a request: its id, the facts the
 * decision was based on, and the outcome. Paths, keys and content are never
 * logged.
 */

#define FIELD_LIMIT 30

static int64_t
since_ms(const request_t *request, time_us_t at)
{
	return at == 0 ? -1 : (at - request->arrived_at) / US_PER_MS;
}

void
decision_log(const request_t *request, const char *event, const char *reason)
{
	time_us_t now = gateway_now(request->gateway);
	log_field_t fields[FIELD_LIMIT];
	size_t n = 0;

	fields[n++] = LOG_S("request", request->parsed.id);
	fields[n++] = LOG_S("reason", reason);
	fields[n++] = LOG_I("status", request->status);
	fields[n++] =
	    LOG_S("route", request->route ? request->route->name : "");
	fields[n++] = LOG_S("team", request->team ? request->team->name : "");
	fields[n++] = LOG_S("target", request->sent_to);
	fields[n++] = LOG_S("version", request->sent_version);
	fields[n++] = LOG_S("resumes", request->parsed.resumes);
	fields[n++] = LOG_S("after", request->parsed.resume_after);
	fields[n++] = LOG_I("sends", request->n_attempts);
	fields[n++] = LOG_I("runs", request->n_maybe_executed);
	fields[n++] = LOG_I("ms", since_ms(request, now));
	fields[n++] = LOG_I("sent_ms", since_ms(request, request->sent_at));
	fields[n++] =
	    LOG_I("first_ms", since_ms(request, request->first_byte_at));
	fields[n++] = LOG_I("left_ms",
	    request->deadline ? (request->deadline - now) / US_PER_MS : -1);
	fields[n++] =
	    LOG_I("expected_ms", request->choice.placement.expected_ms);
	fields[n++] =
	    LOG_I("pace_percent", 100 * request->choice.placement.pace);
	fields[n++] = LOG_I("class", request->class);
	fields[n++] = LOG_I("reserve_percent",
	    request->service_state
		? 100 * urgency_reserve(
			    &request->service_state->urgency, request->class)
		: 0);
	fields[n++] = LOG_I("home", request->choice.placement.preference_rank);
	fields[n++] = LOG_I("usable", request->choice.placement.n_usable);
	fields[n++] = LOG_I("queued",
	    request->service_state ? queue_length(request->service_state->queue)
				   : 0);
	fields[n++] = LOG_S(
	    "config", request->config_version ? request->config_version : "0");
	fields[n++] = LOG_I("behind_ms",
	    rollout_lag(&request->gateway->rollout, now) / US_PER_MS);
	fields[n++] = LOG_S("from", request->from_peer ? "instance" : "caller");
	fields[n] = (log_field_t){NULL, NULL, 0};
	log_write(LOG_INFO, event, fields);
}
