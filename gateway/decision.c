#include "call.h"

/*
 * Writes one log line for each decision on a request: its id, the facts the
 * decision was based on, and the outcome. Paths, keys and content are never
 * logged.
 */

#define FIELD_LIMIT 24

static int64_t
since_ms(const call_t *call, time_us_t at)
{
	return at == 0 ? -1 : (at - call->arrived_at) / US_PER_MS;
}

void
decision_log(const call_t *call, const char *event, const char *reason)
{
	time_us_t now = gateway_now(call->gateway);
	log_field_t all[FIELD_LIMIT];
	size_t n = 0;

	all[n++] = LOG_S("request", call->request.id);
	all[n++] = LOG_S("reason", reason);
	all[n++] = LOG_I("status", call->status);
	all[n++] = LOG_S("route", call->route ? call->route->name : "");
	all[n++] = LOG_S("team", call->team ? call->team->name : "");
	all[n++] = LOG_S("target", call->sent_to);
	all[n++] = LOG_I("sends", call->n_sends);
	all[n++] = LOG_I("runs", call->n_runs);
	all[n++] = LOG_I("ms", since_ms(call, now));
	all[n++] = LOG_I("sent_ms", since_ms(call, call->sent_at));
	all[n++] = LOG_I("first_ms", since_ms(call, call->first_byte_at));
	all[n++] = LOG_I(
	    "left_ms", call->ends_at ? (call->ends_at - now) / US_PER_MS : -1);
	all[n++] = LOG_I("expected_ms", call->choice.placement.expected_ms);
	all[n++] = LOG_I("home", call->choice.placement.home);
	all[n++] = LOG_I("usable", call->choice.placement.n_usable);
	all[n++] =
	    LOG_I("queued", call->line ? queue_length(call->line->queue) : 0);
	all[n++] = LOG_I("config",
	    call->catalog ? (int64_t)catalog_version(call->catalog) : 0);
	all[n++] = LOG_S("from", call->from_peer ? "instance" : "caller");
	all[n] = (log_field_t){NULL, NULL, 0};
	log_write(LOG_INFO, event, all);
}
