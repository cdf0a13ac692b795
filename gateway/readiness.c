#include "internal.h"

/*
 * An instance that knows no other waits this long for messages from others
 * before it becomes ready.
 */
#define JOIN_WAIT_US (700 * US_PER_MS)

/*
 * Callers that still have the address of an instance from before its restart
 * connect while it reads the configuration and the targets, which takes about a
 * second. Their requests wait for at most this long after the start instead of
 * being refused.
 */
#define START_HOLD_US (1500 * US_PER_MS)

/* Interval of the reports why an instance isn't ready. */
#define REPORT_INTERVAL_US (3 * US_PER_S)

bool
gateway_holds_callers(gateway_t *gateway)
{
	return (gateway->catalog == NULL || !gateway->targets_loaded) &&
	       gateway_now(gateway) - gateway->started_at < START_HOLD_US;
}

static void
clients_release_held(gateway_t *gateway)
{
	g_autoptr(GList) clients = g_hash_table_get_keys(gateway->clients);

	for (GList *item = clients; item != NULL; item = item->next)
		client_release_held(item->data);
	gateway->callers_released = true;
}

/* Returns why the instance isn't ready, or NULL if it is. */
static const char *
missing(const gateway_t *gateway, time_us_t now)
{
	if (gateway_is_leaving(gateway))
		return "stopping";
	if (gateway->catalog == NULL)
		return gateway->config_error ? "config_unreadable"
					     : "no_config";
	if (!gateway->targets_loaded)
		return "no_target_list";
	if (members_n_live(gateway->members, TOPOLOGY_NONE, now) <= 1 &&
	    now - gateway->started_at <= JOIN_WAIT_US)
		return "joining";
	return NULL;
}

static void
report(gateway_t *gateway, const char *reason, time_us_t now)
{
	log_event(reason == NULL ? LOG_NOTICE : LOG_WARNING,
	    reason == NULL ? "ready" : "not_ready",
	    LOG_S("reason", reason ? reason : ""),
	    LOG_I("ms", (now - gateway->started_at) / US_PER_MS),
	    LOG_I("instances",
		members_n_live(gateway->members, TOPOLOGY_NONE, now)),
	    LOG_I("targets", targets_count(gateway->targets)),
	    LOG_S("config", gateway_config_version(gateway)),
	    LOG_S("config_error", gateway->config_error),
	    LOG_S("store", gateway->store_unreachable_since == 0
			       ? "reachable"
			       : "unreachable"),
	    LOG_S("store_failure",
		gateway->store ? store_last_failure(gateway->store) : ""));
	gateway->readiness_reported_at = now;
}

void
readiness_update(gateway_t *gateway)
{
	time_us_t now = gateway_now(gateway);
	const char *reason = missing(gateway, now);
	bool ready = reason == NULL;
	time_us_t reported_at =
	    MAX(gateway->readiness_reported_at, gateway->started_at);

	/*
	 * A stopping instance stays ready for other instances for a moment, in
	 * case no other one is near.
	 */
	members_set_ready(
	    gateway->members, ready || (gateway->leaving_at != 0 &&
					   !gateway_refuses_requests(gateway)));
	if (!gateway->callers_released && !gateway_holds_callers(gateway))
		clients_release_held(gateway);
	if (ready != gateway->ready ||
	    (!ready && !gateway_is_leaving(gateway) &&
		now - reported_at >= REPORT_INTERVAL_US)) {
		gateway->ready = ready;
		report(gateway, reason, now);
	}
}
