#include "internal.h"

#include <string.h>

/* Instances of a region that check one target, so that one can stop. */
#define CHECKERS 2

/*
 * Time between checks of a target. Bounds how long instances that are cut off
 * from the publisher go on at their usual rate to a target that turned cold.
 */
#define CHECK_INTERVAL_US (500 * US_PER_MS)

#define CHECK_TIMEOUT_US (400 * US_PER_MS)
#define HEAD_LIMIT 8192

/* A check that is running. */
typedef struct {
	health_checks_t *checks;
	handle_t target;
	tcp_t *connection;
	http_reader_t *reader;
	target_health_t health;
	ev_timer timer;
} health_check_t;

struct health_checks {
	gateway_t *gateway;
	GHashTable *running; /* target handle -> health_check_t */
	bool stale;	     /* as of the last update */
};

static void
check_free(gpointer data)
{
	health_check_t *check = data;

	ev_timer_stop(check->checks->gateway->loop, &check->timer);
	if (check->connection != NULL) {
		tcp_close(check->connection);
		tcp_unref(check->connection);
	}
	if (check->reader != NULL)
		http_reader_destroy(check->reader);
	g_free(check);
}

health_checks_t *
health_checks_create(gateway_t *gateway)
{
	health_checks_t *checks = g_new0(health_checks_t, 1);

	checks->gateway = gateway;
	checks->running = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, check_free);
	return checks;
}

void
health_checks_destroy(health_checks_t *checks)
{
	g_hash_table_destroy(checks->running);
	g_free(checks);
}

static void
check_end(health_check_t *check)
{
	g_hash_table_remove(check->checks->running, &check->target);
}

/*
 * Decides a removal that is doubted. Returns whether the target isn't in
 * service; it may be freed then.
 */
static bool
check_removal(const health_check_t *check, target_t *target)
{
	gateway_t *gateway = check->checks->gateway;
	time_us_t now = gateway_now(gateway);
	bool in_service = check->health.status == 200 &&
			  strcmp(check->health.target, target->entry.id) == 0;

	if (target->removal_at == 0)
		return false;
	counter_increment(
	    "removals_checked", "result", in_service ? "in_service" : "left");
	if (in_service) {
		targets_note_health(gateway->targets, target, true, now);
		return false;
	}
	log_event(LOG_INFO, "target_removal_confirmed",
	    LOG_S("target", target->entry.id),
	    LOG_I("status", check->health.status),
	    LOG_I("age_ms", (now - target->removed_at) / US_PER_MS));
	targets_note_health(gateway->targets, target, false, now);
	gossip_round(gateway->gossip);
	return true;
}

/* The address may meanwhile belong to another target. */
static void
check_apply(const health_check_t *check)
{
	gateway_t *gateway = check->checks->gateway;
	target_t *target = targets_get(gateway->targets, check->target);
	time_us_t now = gateway_now(gateway);
	bool was_cold;

	if (target == NULL || check->health.refused ||
	    *check->health.target == '\0')
		return;
	if (check_removal(check, target))
		return;
	if (strcmp(check->health.target, target->entry.id) != 0)
		return;
	if (check->health.leaving &&
	    targets_note_leaving(gateway->targets, target, now)) {
		gateway_note_departure(gateway, target, "health");
		gossip_round(gateway->gossip);
	}
	was_cold = target_is_cold(target, now);
	/* A target that states no cold time is warm. */
	target_note_cold(target, MAX(check->health.cold_ms, 0), now);
	if (target_is_cold(target, now) == was_cold)
		return;
	gateway_note_target(gateway, target, "target");
	gossip_round(gateway->gossip);
}

static bool
on_head(void *owner, const http_head_t *head)
{
	platform_health_read(head, &((health_check_t *)owner)->health);
	return true;
}

static void
on_body(void *owner, const uint8_t *data, size_t len)
{
}

static const http_sink_t sink = {on_head, on_body};

static void
on_received(void *owner, const uint8_t *data, size_t len)
{
	health_check_t *check = owner;
	size_t consumed;
	http_feed_t result =
	    http_reader_feed(check->reader, data, len, &consumed);

	if (result == HTTP_FEED_MORE)
		return;
	if (result == HTTP_FEED_COMPLETE)
		check_apply(check);
	check_end(check);
}

static void
on_ended(void *owner, tcp_end_t end)
{
	check_end(owner);
}

static const tcp_events_t connection_events = {
    .received = on_received,
    .ended = on_ended,
};

static void
on_timeout(struct ev_loop *loop, ev_timer *watcher, int revents)
{
	check_end(watcher->data);
}

static void
check_start(health_checks_t *checks, const target_t *target, const char *path)
{
	gateway_t *gateway = checks->gateway;
	net_address_t address = {target->entry.ip, target->entry.port};
	health_check_t *check = g_new0(health_check_t, 1);
	g_autoptr(GString) request = platform_health_request(path, address);

	check->checks = checks;
	check->target = target->handle;
	check->health.cold_ms = -1;
	ev_timer_init(&check->timer, on_timeout, 0, 0);
	check->timer.data = check;
	check->connection =
	    tcp_connect(gateway->net, address, &connection_events, check);
	if (check->connection == NULL) {
		check_free(check);
		return;
	}
	check->reader =
	    http_reader_create(HTTP_RESPONSES, &sink, check, HEAD_LIMIT);
	g_hash_table_insert(checks->running, &check->target, check);
	counter_increment("health_checks", NULL, NULL);
	tcp_send(check->connection, request->str, request->len);
	gateway_start_timer(gateway, &check->timer, CHECK_TIMEOUT_US);
}

/* NULL: there is no configuration, or it doesn't have the service. */
static const catalog_service_t *
target_service(const gateway_t *gateway, const target_t *target)
{
	int index;

	if (gateway->catalog == NULL)
		return NULL;
	index = catalog_service_index(gateway->catalog, target->entry.service);
	return index < 0 ? NULL : catalog_service(gateway->catalog, index);
}

void
health_checks_note_refused(health_checks_t *checks, target_t *target)
{
	const catalog_service_t *service =
	    target_service(checks->gateway, target);

	if (service == NULL || service->health_path == NULL ||
	    service->cold_per_s <= 0 || target->maybe_restarted)
		return;
	target->maybe_restarted = true;
	log_event(LOG_INFO, "target_maybe_restarted",
	    LOG_S("target", target->entry.id),
	    LOG_I("started_ms", target->entry.started_ms));
}

/* Whether it is time for this instance to ask the target. */
static bool
is_due(const health_checks_t *checks, const target_t *target, time_us_t now)
{
	const gateway_t *gateway = checks->gateway;
	bool responsible;

	if (now < target->next_check_at ||
	    !target_is_usable(gateway->targets, target) ||
	    g_hash_table_contains(checks->running, &target->handle))
		return false;
	if (!target->maybe_restarted && target->removal_at == 0 &&
	    !checks->stale)
		return false;
	responsible = members_is_responsible(
	    gateway->members, target->short_id, CHECKERS, now);
	return target->maybe_restarted ||
	       target_removal_wants_check(target, responsible, now) ||
	       (checks->stale && responsible);
}

void
health_checks_update(health_checks_t *checks)
{
	gateway_t *gateway = checks->gateway;
	time_us_t now = gateway_now(gateway);
	bool stale = targets_list_is_stale(gateway->targets, now);

	if (stale != checks->stale && gateway->targets_loaded)
		log_event(LOG_NOTICE,
		    stale ? "targets_stale" : "targets_current",
		    LOG_I("targets", targets_count(gateway->targets)));
	checks->stale = stale;
	for (size_t i = 0; i < targets_count(gateway->targets); i++) {
		target_t *target = targets_at(gateway->targets, i);
		const catalog_service_t *service;

		if (!is_due(checks, target, now))
			continue;
		service = target_service(gateway, target);
		if (service == NULL || service->health_path == NULL) {
			target->maybe_restarted = false;
			continue;
		}
		target->next_check_at = now + CHECK_INTERVAL_US;
		check_start(checks, target, service->health_path);
	}
}
