#include "internal.h"

/* Silence of all targets with requests from which on probes are opened. */
#define SUSPECT_SILENCE_US (500 * US_PER_MS)

/* Silence of all targets, once lost, after which attempts are ended. */
#define HANGING_SILENCE_US US_PER_S

/* Targets with requests that must be silent, or all if there are fewer. */
#define SILENT_TARGETS_MIN 2

static size_t
n_usable_targets(const gateway_t *gateway)
{
	size_t n = 0;

	for (size_t i = 0; i < targets_count(gateway->targets); i++)
		n += target_is_usable(
		    gateway->targets, targets_at(gateway->targets, i));
	return n;
}

static void
reach_changed(gateway_t *gateway)
{
	bool lost = reach_is_lost(&gateway->reach);
	time_us_t now = gateway_now(gateway);

	members_set_lost(gateway->members, lost);
	log_event(LOG_NOTICE, lost ? "targets_lost" : "targets_reached",
	    LOG_I("targets", n_usable_targets(gateway)),
	    LOG_I("heard_ms", (now - gateway->target_heard_at) / US_PER_MS),
	    LOG_I("lost_ms",
		lost ? 0 : (now - gateway->reach.lost_at) / US_PER_MS),
	    LOG_I("region_serves",
		members_any_serving(gateway->members, gateway->region, now)));
	counter_set(counter_get("targets_lost", NULL, NULL), lost);
	gossip_round(gateway->gossip);
	gateway_schedule_queues(gateway);
}

void
gateway_note_target_connected(gateway_t *gateway)
{
	if (reach_note_connected(&gateway->reach, gateway_now(gateway)))
		reach_changed(gateway);
}

void
gateway_note_target_failed(gateway_t *gateway, uint32_t target)
{
	if (reach_note_failed(&gateway->reach, target,
		n_usable_targets(gateway), gateway_now(gateway)))
		reach_changed(gateway);
}

/* Whether no target that has requests of this instance sends anything. */
static bool
all_are_silent(const gateway_t *gateway, time_us_t now)
{
	size_t n_silent = 0;
	size_t n_usable = 0;

	for (size_t i = 0; i < targets_count(gateway->targets); i++) {
		const target_t *target = targets_at(gateway->targets, i);

		n_usable += target_is_usable(gateway->targets, target);
		if (target->last_activity_at == 0)
			continue;
		if (now - target->last_activity_at < SUSPECT_SILENCE_US)
			return false;
		n_silent++;
	}
	return n_silent > 0 && n_silent >= MIN(SILENT_TARGETS_MIN, n_usable);
}

static void
probe_next(gateway_t *gateway)
{
	size_t n = targets_count(gateway->targets);

	for (size_t i = 0; i < n; i++) {
		target_t *target =
		    targets_at(gateway->targets, ++gateway->reach_cursor % n);

		if (!target_is_usable(gateway->targets, target))
			continue;
		counter_increment("target_probes", NULL, NULL);
		pool_probe(pool_of_target(gateway, target), target->short_id);
		return;
	}
}

/* The requests of connections that hang go on where targets are reached. */
static void
leave_hanging(gateway_t *gateway, time_us_t now)
{
	g_autoptr(GList) clients = g_hash_table_get_keys(gateway->clients);

	for (GList *item = clients; item != NULL; item = item->next) {
		request_t *request;

		/* An earlier one may have closed this connection. */
		if (!g_hash_table_contains(gateway->clients, item->data))
			continue;
		request = client_request(item->data);
		if (request != NULL)
			request_leave_target(request, now - HANGING_SILENCE_US);
	}
}

void
reach_update(gateway_t *gateway)
{
	time_us_t now = gateway_now(gateway);

	if (reach_take_probe(
		&gateway->reach, all_are_silent(gateway, now), now))
		probe_next(gateway);
	if (reach_is_lost(&gateway->reach) &&
	    now - gateway->target_heard_at >= HANGING_SILENCE_US)
		leave_hanging(gateway, now);
}
