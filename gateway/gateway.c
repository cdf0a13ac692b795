#include "gateway/gateway.h"

#include <errno.h>
#include <math.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>

#include "common/clock.h"
#include "common/error.h"
#include "core/random.h"
#include "internal.h"
#include "request.h"

/*
 * Interval at which the instances of a region report the load they put on
 * targets to each other. Dozens of instances choose among the same targets;
 * requests sent since the last report are unknown to the others, which would
 * all choose the same idle target.
 */
#define LOAD_INTERVAL_S 0.1

/* Time after the start until the view of the other instances is stable. */
#define VIEW_SETTLE_US (2500 * US_PER_MS)

/*
 * Maximum number of routes per service for which stream lengths are kept. When
 * one more is added, all others are discarded.
 */
#define STREAM_ROUTE_LIMIT 16

/* Weight of one request in the moving average of its route's stream length. */
#define STREAM_WEIGHT 0.02

/* Instances in a region from which on it has relays (RELAY_COUNT). */
#define RELAY_REGION_MIN 6

/* Key by which members_responsible() selects the relays: "store" in ASCII. */
#define RELAY_KEY 0x73746f7265

/*
 * Without a relay, an instance that can't reach the store for
 * STORE_UNREACHABLE_US reads from one that is a relay, else from one that has
 * read newer data, else from any of its region, and tries the store again after
 * FALLBACK_RELAY_US. Guards against a store that serves some instances and
 * refuses others.
 */
#define STORE_UNREACHABLE_US US_PER_S
#define FALLBACK_RELAY_US (5 * US_PER_S)

/* A report of a newer revision is used for this long. */
#define NEWEST_READER_MAX_AGE_US (2 * US_PER_S)

/*
 * An instance whose revision lags behind others for this long abandons its
 * relay, or counts the store as unreachable if it has none.
 */
#define RELAY_BEHIND_US (700 * US_PER_MS)

/* Ticks between checks of the settings file: 2 s. */
#define SETTINGS_TICKS 8

#define BYTES_PER_MB ((size_t)1024 * 1024)

/* Part of the memory that incomplete events may take. */
#define EVENT_MEMORY_DIVISOR 8

/* The same for answers to instances that read the store through this one. */
#define RELAY_MEMORY_DIVISOR 16

/*
 * Older configurations that a newer one can be sent relative to: at least the
 * one before, as a value of the store has 1 MB.
 */
#define CONFIG_BASES_BYTES BYTES_PER_MB

/* Maximum length of a queue. */
#define QUEUE_LIMIT 512

/* Queued requests of one team that are tried in turn for a free slot. */
#define QUEUE_DEPTH 8

/* Interval in seconds at which queues are processed while requests wait. */
#define QUEUE_INTERVAL_S 0.010

/*
 * A step of the boot time against the monotonic time that indicates that the
 * machine was suspended.
 */
#define SUSPENDED_US (300 * US_PER_MS)

/*
 * After SIGTERM, callers have this long to look up other instances. Then new
 * requests are refused if another instance of the region accepts them, idle
 * connections are closed, and the process exits when its requests have ended
 * and its connections are closed. From 2 * CLIENT_IDLE_MIN_US later on, it no
 * longer waits for connections.
 */
#define LEAVE_ACCEPT_US (2500 * US_PER_MS)

/* Time before SIGKILL at which the process exits in any case. */
#define LEAVE_RESERVE_US (500 * US_PER_MS)

/*
 * A stopping instance accepts requests that are answered at least this long
 * before its exit, so that none is cut off.
 */
#define LEAVE_ANSWER_US (200 * US_PER_MS)

/*
 * Share of the retry slack that is used; the rest is for instances that this
 * one doesn't know of.
 */
#define RETRY_SLACK_SHARE 0.7

static ev_check iteration_start;
static time_us_t iteration_now;

time_us_t
gateway_now(gateway_t *gateway)
{
	if (iteration_now == 0)
		gateway_refresh_now(gateway);
	return iteration_now;
}

/*
 * Both clocks are read at the same moment: a timer whose time is computed from
 * one and counted from an older reading of the other would be early by the time
 * between them.
 */
void
gateway_refresh_now(gateway_t *gateway)
{
	ev_now_update(gateway->loop);
	iteration_now = clock_now();
}

void
gateway_start_timer(gateway_t *gateway, ev_timer *timer, time_us_t after)
{
	gateway_refresh_now(gateway);
	ev_timer_stop(gateway->loop, timer);
	ev_timer_set(timer, (double)MAX(after, 0) / US_PER_S, 0);
	ev_timer_start(gateway->loop, timer);
}

void
gateway_start_timer_at(gateway_t *gateway, ev_timer *timer, time_us_t at)
{
	gateway_refresh_now(gateway);
	gateway_start_timer(gateway, timer, at - gateway_now(gateway));
}

static void
on_iteration_start(struct ev_loop *loop, ev_check *watcher, int revents)
{
	iteration_now = 0;
}

static int64_t
boot_clock_offset(void)
{
	struct timespec steady;

	clock_gettime(CLOCK_MONOTONIC, &steady);
	return clock_now() -
	       ((int64_t)steady.tv_sec * US_PER_S + steady.tv_nsec / 1000);
}

bool
gateway_is_leaving(const gateway_t *gateway)
{
	return gateway->leaving_at != 0;
}

bool
gateway_leave_accept_is_over(gateway_t *gateway)
{
	return gateway->leaving_at != 0 &&
	       gateway_now(gateway) - gateway->leaving_at >= LEAVE_ACCEPT_US;
}

bool
gateway_refuses_requests(gateway_t *gateway)
{
	return gateway_leave_accept_is_over(gateway) &&
	       members_any_ready(
		   gateway->members, gateway->region, gateway_now(gateway));
}

time_us_t
gateway_leave_limit(gateway_t *gateway)
{
	if (!gateway_is_leaving(gateway))
		return 0;
	return gateway->leaving_at + gateway->settings->grace_s * US_PER_S -
	       LEAVE_RESERVE_US - LEAVE_ANSWER_US;
}

static void
service_state_free(gpointer data)
{
	service_state_t *service_state = data;

	queue_destroy(service_state->queue);
	g_array_unref(service_state->streams);
	g_free(service_state->name);
	g_free(service_state);
}

/* n_instances: live instances, this one included. */
static void
service_state_set_limits(service_state_t *service_state,
    const gateway_settings_t *settings, uint32_t n_instances)
{
	double slack = RETRY_SLACK_SHARE * settings->retry_slack / n_instances;

	retry_budget_set_limits(&service_state->retries,
	    (int64_t)settings->retry_percent * 10, MAX(1, (int64_t)slack));
}

service_state_t *
gateway_service_state(gateway_t *gateway, const char *service)
{
	service_state_t *service_state =
	    g_hash_table_lookup(gateway->service_states, service);

	if (service_state != NULL)
		return service_state;
	service_state = g_new0(service_state_t, 1);
	service_state->name = g_strdup(service);
	service_state->queue = queue_create(QUEUE_LIMIT);
	queue_set_scan_depth(service_state->queue, QUEUE_DEPTH);
	service_state->streams =
	    g_array_new(FALSE, TRUE, sizeof(stream_length_t));
	retry_budget_init(&service_state->retries, gateway_now(gateway));
	service_state_set_limits(service_state, gateway->settings,
	    members_n_live(
		gateway->members, TOPOLOGY_NONE, gateway_now(gateway)));
	retry_budget_fill(&service_state->retries);
	g_hash_table_insert(
	    gateway->service_states, service_state->name, service_state);
	return service_state;
}

static stream_length_t *
stream_length(service_state_t *service_state, const catalog_route_t *route)
{
	stream_length_t length = {.timeout_ms = route->timeout_ms};

	for (guint i = 0; i < service_state->streams->len; i++) {
		stream_length_t *known =
		    &g_array_index(service_state->streams, stream_length_t, i);

		if (strcmp(known->name, route->name) == 0)
			return known;
	}
	if (service_state->streams->len >= STREAM_ROUTE_LIMIT)
		g_array_set_size(service_state->streams, 0);
	g_strlcpy(length.name, route->name, sizeof(length.name));
	g_array_append_val(service_state->streams, length);
	return &g_array_index(service_state->streams, stream_length_t,
	    service_state->streams->len - 1);
}

void
service_state_note_stream(
    service_state_t *service_state, const catalog_route_t *route, double events)
{
	stream_length_t *length = stream_length(service_state, route);
	double limit = INFINITY;

	length->timeout_ms = route->timeout_ms;
	length->max_gap_ms = route->max_event_gap_ms;
	if (length->events <= 0)
		length->events = events;
	else
		length->events += STREAM_WEIGHT * (events - length->events);
	for (guint i = 0; i < service_state->streams->len; i++) {
		length =
		    &g_array_index(service_state->streams, stream_length_t, i);
		limit = MIN(limit, placement_gap_limit_ms(length->events,
				       length->timeout_ms, length->max_gap_ms));
	}
	service_state->gap_limit_ms = limit;
}

const char *
gateway_config_version(const gateway_t *gateway)
{
	return gateway->catalog ? catalog_version(gateway->catalog)
				: VERSION_NONE;
}

void
gateway_note_unreadable_config(
    gateway_t *gateway, const char *source, const char *error)
{
	log_event(LOG_ERR, "config_unreadable", LOG_S("source", source),
	    LOG_S("in_force", gateway_config_version(gateway)),
	    LOG_S("error", error));
	g_free(gateway->config_error);
	gateway->config_error = g_strdup(error);
	readiness_update(gateway);
}

/*
 * Versions that are not newer are ignored, whatever their source. One that
 * can't be read is better than none, and the store has the newest of those.
 */
static bool
config_is_newer(
    gateway_t *gateway, const catalog_t *catalog, const char *source)
{
	const char *before = gateway_config_version(gateway);

	if (strcmp(catalog_version(catalog), VERSION_NONE) != 0)
		return version_compare(catalog_version(catalog), before) > 0;
	if (strcmp(before, VERSION_NONE) == 0)
		return true;
	gateway_note_unreadable_config(
	    gateway, source, catalog_problem(catalog, 0));
	return false;
}

static void
config_log(const catalog_t *catalog, const char *before, const char *source,
    size_t bytes, time_us_t heard)
{
	log_event(LOG_NOTICE, "config",
	    LOG_S("version", catalog_version(catalog)), LOG_S("before", before),
	    LOG_S("source", source), LOG_I("bytes", bytes),
	    LOG_I("heard_ms", heard < 0 ? -1 : heard / US_PER_MS),
	    LOG_I("idle_timeout_ms", catalog_limits(catalog)->idle_timeout_ms),
	    LOG_I("unreadable_parts", catalog_n_problems(catalog)));
	for (size_t i = 0; catalog_problem(catalog, i) != NULL; i++)
		log_event(LOG_WARNING, "config_part_skipped",
		    LOG_S("version", catalog_version(catalog)),
		    LOG_S("error", catalog_problem(catalog, i)));
	counter_set(counter_get("config_unreadable_parts", NULL, NULL),
	    (int64_t)catalog_n_problems(catalog));
}

void
gateway_set_catalog(
    gateway_t *gateway, catalog_t *catalog, GBytes *text, const char *source)
{
	g_autofree char *before = g_strdup(gateway_config_version(gateway));
	time_us_t heard;

	if (!config_is_newer(gateway, catalog, source))
		return;
	catalog_unref(gateway->catalog);
	gateway->catalog = catalog_ref(catalog);
	packing_put(gateway->packing, text);
	g_clear_pointer(&gateway->config_error, g_free);
	/* A route's streams may have begun at another service until now. */
	streams_note_gap(gateway->streams, gateway_now(gateway));
	team_rates_set_catalog(gateway->rates, catalog, gateway_now(gateway));
	heard = rollout_note_own(&gateway->rollout,
	    gateway_config_version(gateway), gateway_now(gateway));
	if (heard >= 0)
		latencies_record_config_lag(gateway->latencies, heard);
	config_log(catalog, before, source, g_bytes_get_size(text), heard);
	readiness_update(gateway);
	pending_retry_all(gateway);
}

void
gateway_note_revision(gateway_t *gateway, uint32_t ip, revision_t revision)
{
	time_us_t now = gateway_now(gateway);
	revision_t own = store_known_revision(gateway->store);
	time_us_t lag;

	/* Of an instance of an earlier version: it may be of any era. */
	if (revision.era == 0 && own.era != 0)
		return;
	if (revision_compare(revision, gateway->newest_revision) > 0 ||
	    now - gateway->newest_reported_at > NEWEST_READER_MAX_AGE_US) {
		gateway->newest_reader_ip = ip;
		gateway->newest_revision = revision;
		gateway->newest_reported_at = now;
	}
	lag = lag_note(&gateway->store_lag, own, revision, now);
	/* What it missed before doesn't count against its present source. */
	if (MIN(lag, now - store_source_since(gateway->store)) <
	    RELAY_BEHIND_US)
		return;
	streams_note_gap(gateway->streams, now);
	store_note_behind(gateway->store, gateway->store_lag.wanted);
	lag_restart(&gateway->store_lag, now);
}

bool
gateway_config_is_loaded(
    const gateway_t *gateway, const uint8_t *text, size_t len)
{
	GBytes *document = packing_newest(gateway->packing);
	gsize loaded_len;
	const void *loaded;

	if (document == NULL)
		return false;
	loaded = g_bytes_get_data(document, &loaded_len);
	return loaded_len == len && memcmp(loaded, text, len) == 0;
}

static bool
on_config_is_loaded(void *owner, const uint8_t *text, size_t len)
{
	return gateway_config_is_loaded(owner, text, len);
}

static void
on_config_unreadable(void *owner, const char *error)
{
	gateway_note_unreadable_config(owner, "store", error);
}

static void
on_config(void *owner, catalog_t *catalog, GBytes *text)
{
	gateway_set_catalog(owner, catalog, text, "store");
}

/*
 * Updates whether this instance is one of the few of its region that send
 * requests to a cold or limited target.
 */
static void
sender_update(gateway_t *gateway, target_t *target)
{
	time_us_t now = gateway_now(gateway);

	uint32_t n_senders = target_n_senders(target, now);

	if (target->region != gateway->region || n_senders == 0)
		return;
	/*
	 * Instances that have just started, possibly all at once, don't know of
	 * each other yet, and each would choose itself.
	 */
	target->sender_share = 0;
	if (now - gateway->started_at >= VIEW_SETTLE_US &&
	    members_may_use_share(
		gateway->members, target->short_id, n_senders, now))
		target->sender_share =
		    1.0 /
		    MIN(n_senders, members_n_known(gateway->members, now));
}

/* For the log: in 1,000 s; -1: none. */
static double
rate_milli(const stated_rate_t *rate)
{
	return rate->per_s < 0 ? -1 : rate->per_s * 1000;
}

void
gateway_note_target(gateway_t *gateway, target_t *target, const char *source)
{
	time_us_t now = gateway_now(gateway);
	const stated_rate_t *requests = &target->rates[TARGET_RATE_REQUESTS];
	const stated_rate_t *refusals = &target->rates[TARGET_RATE_REFUSALS];

	sender_update(gateway, target);
	counter_increment("target_notices", "source", source);
	log_event(LOG_INFO, "target_notice", LOG_S("target", target->entry.id),
	    LOG_S("source", source),
	    LOG_I(
		"cold_ms", MAX(target->stated_cold_until - now, 0) / US_PER_MS),
	    LOG_I("limit_milli", rate_milli(requests)),
	    LOG_I("refusals_milli", rate_milli(refusals)),
	    LOG_I("age_ms", (now - MAX(target->stated_at,
				       MAX(requests->at, refusals->at))) /
				US_PER_MS),
	    LOG_I("started_ms", target->entry.started_ms),
	    LOG_I("sender", target->sender_share > 0));
}

/* source: where this instance learnt of it, for the log. */
void
gateway_note_departure(
    gateway_t *gateway, const target_t *target, const char *source)
{
	static const char *const kinds[] = {
	    [DEPARTURE_REMOVED] = "removed",
	    [DEPARTURE_LEFT] = "left",
	    [DEPARTURE_LEAVING] = "leaving",
	};
	const departure_t *departure =
	    targets_departure(gateway->targets, target);
	time_us_t late;

	if (departure == NULL)
		return;
	late = target->last_sent_at - departure->known_at;
	counter_increment("target_departures", "source", source);
	log_event(LOG_INFO, "target_departure",
	    LOG_S("target", target->entry.id),
	    LOG_S("kind", kinds[departure->kind]), LOG_S("source", source),
	    LOG_I("age_ms",
		(gateway_now(gateway) - departure->known_at) / US_PER_MS),
	    LOG_I("late_ms", MAX(late, 0) / US_PER_MS),
	    LOG_I("started_ms", target->entry.started_ms));
}

static void
on_target(void *owner, const target_entry_t *entry)
{
	gateway_t *gateway = owner;
	target_t *target;
	const target_t *old = targets_find(gateway->targets, entry->id);
	bool same = old != NULL && old->removal_at == 0 &&
		    old->entry.state == entry->state &&
		    old->entry.cold_ms == entry->cold_ms &&
		    old->entry.started_ms == entry->started_ms &&
		    strcmp(old->entry.version, entry->version) == 0;
	store_origin_t origin = store_origin(gateway->store);

	g_assert(entry != NULL);
	target = targets_put(gateway->targets, entry, gateway_now(gateway));
	sender_update(gateway, target);
	streams_note_version(gateway->streams, target_short_id(entry->service),
	    target->version, gateway_now(gateway));
	if (!same)
		log_event(LOG_INFO, "target", LOG_S("target", entry->id),
		    LOG_S("service", entry->service),
		    LOG_S("version", entry->version),
		    LOG_S("zone",
			topology_zone_name(gateway->topology, entry->zone)),
		    LOG_S("state",
			entry->state == TARGET_READY ? "ready" : "draining"),
		    LOG_I("cold_ms", entry->cold_ms),
		    LOG_I("started_ms", entry->started_ms),
		    LOG_S("source", origin.source), LOG_S("by", origin.by),
		    LOG_I("revision", origin.revision.number));
	gateway_schedule_queues(gateway);
}

static void
on_target_removed(void *owner, const char *id)
{
	gateway_t *gateway = owner;

	time_us_t now = gateway_now(gateway);
	store_origin_t origin;
	const target_t *target;

	if (targets_find(gateway->targets, id) == NULL)
		return;
	origin = store_origin(gateway->store);
	targets_remove(gateway->targets, id, origin.revision, now);
	target = targets_find(gateway->targets, id);
	log_event(LOG_INFO, "target_removed", LOG_S("target", id),
	    LOG_S("source", origin.source), LOG_S("by", origin.by),
	    LOG_I("revision", origin.revision.number),
	    LOG_I("kept_ms",
		target ? (target->removal_at - now) / US_PER_MS : 0));
}

static void
on_evacuation(void *owner, const char *zone, bool evacuated)
{
	gateway_t *gateway = owner;
	int index = topology_zone(gateway->topology, zone);

	if (index == TOPOLOGY_NONE ||
	    targets_is_evacuated(gateway->targets, index) == evacuated)
		return;
	targets_set_evacuated(gateway->targets, index, evacuated);
	log_event(LOG_NOTICE, evacuated ? "zone_evacuated" : "zone_returned",
	    LOG_S("zone", zone));
}

static void
on_targets_listed(void *owner, time_us_t requested_at)
{
	gateway_t *gateway = owner;

	targets_note_listed(gateway->targets,
	    store_targets_revision(gateway->store), gateway_now(gateway));
	if (requested_at == 0)
		return;
	contact_note_confirmed(&gateway->contact, requested_at);
	resumptions_retry(gateway);
	gossip_answer_deferred(gateway->gossip);
}

bool
gateway_list_is_current(gateway_t *gateway)
{
	return contact_holds(&gateway->contact, gateway_now(gateway));
}

static void
on_store_reachable(void *owner, bool reachable, const char *cause)
{
	gateway_t *gateway = owner;

	targets_set_publisher_reachable(
	    gateway->targets, reachable, gateway_now(gateway));
	gateway->store_unreachable_since = reachable ? 0 : gateway_now(gateway);
	/* What it missed before doesn't count against the source now. */
	if (reachable)
		lag_restart(&gateway->store_lag, gateway_now(gateway));
	log_event(LOG_NOTICE, reachable ? "store_regained" : "store_lost",
	    LOG_S("cause", cause));
}

static void
on_store_loaded(void *owner)
{
	gateway_t *gateway = owner;

	gateway->targets_loaded = true;
	readiness_update(gateway);
}

static const store_events_t store_events = {
    .config_is_loaded = on_config_is_loaded,
    .config = on_config,
    .config_unreadable = on_config_unreadable,
    .target = on_target,
    .target_removed = on_target_removed,
    .evacuation = on_evacuation,
    .targets_listed = on_targets_listed,
    .reachable = on_store_reachable,
    .loaded = on_store_loaded,
};

static queue_decision_t
can_start(queue_item_t item, void *context)
{
	return request_choose_queued(item.item);
}

static void
service_queue_process(gateway_t *gateway, service_state_t *service_state)
{
	time_us_t now = gateway_now(gateway);
	queue_item_t item;

	while (queue_expire(service_state->queue, now, &item)) {
		request_t *request = item.item;

		request->queued = HANDLE_NONE;
		request_refuse(request, 503, "no_time_left",
		    queue_retry_after(service_state->queue, now));
	}
	while (queue_pop(service_state->queue, can_start, NULL, now, &item)) {
		request_t *request = item.item;

		request_ref(request);
		request_dispatch_queued(request);
		request_unref(request);
	}
}

static bool
any_request_queued(gateway_t *gateway)
{
	GHashTableIter iter;
	gpointer service_state;

	g_hash_table_iter_init(&iter, gateway->service_states);
	while (g_hash_table_iter_next(&iter, NULL, &service_state)) {
		if (queue_length(((service_state_t *)service_state)->queue) > 0)
			return true;
	}
	return false;
}

void
gateway_process_queues(gateway_t *gateway)
{
	GHashTableIter iter;
	gpointer service_state;

	g_hash_table_iter_init(&iter, gateway->service_states);
	while (g_hash_table_iter_next(&iter, NULL, &service_state))
		service_queue_process(gateway, service_state);
	gateway_schedule_queues(gateway);
}

void
gateway_schedule_queues(gateway_t *gateway)
{
	if (ev_is_active(&gateway->queue_timer) || !any_request_queued(gateway))
		return;
	ev_timer_set(&gateway->queue_timer, QUEUE_INTERVAL_S, 0);
	ev_timer_start(gateway->loop, &gateway->queue_timer);
}

static void
on_queue_timer(struct ev_loop *loop, ev_timer *watcher, int revents)
{
	gateway_process_queues(watcher->data);
}

/*
 * Refreshes the data from the store after a suspension, as it may be stale.
 */
static void
suspension_check(gateway_t *gateway)
{
	int64_t offset = boot_clock_offset();

	if (ABS(offset - gateway->boot_clock_offset_us) > SUSPENDED_US) {
		log_event(LOG_WARNING, "suspended",
		    LOG_I("ms",
			(offset - gateway->boot_clock_offset_us) / US_PER_MS));
		store_refresh(gateway->store);
	}
	gateway->boot_clock_offset_us = offset;
}

/*
 * Instance that has read newer data than this one, which may be of another
 * region if none of the own can reach the store. 0: none is known.
 */
static uint32_t
newest_reader(const gateway_t *gateway, time_us_t now)
{
	net_address_t address = {
	    gateway->newest_reader_ip, gateway->own_peer.port};

	if (address.ip == 0 ||
	    revision_compare(gateway->newest_revision,
		store_known_revision(gateway->store)) <= 0 ||
	    now - gateway->newest_reported_at > NEWEST_READER_MAX_AGE_US ||
	    store_relay_is_paused(gateway->store, &address))
		return 0;
	return address.ip;
}

/*
 * An instance that reads from the store itself, as far as is known, and wasn't
 * left. In a large region most others read from relays, and refuse. 0: none is
 * known.
 */
static uint32_t
direct_reader(const gateway_t *gateway, time_us_t now)
{
	int n_regions = topology_n_regions(gateway->topology);

	/* The own region first. */
	for (int i = 0; i < n_regions; i++) {
		int region = (gateway->region + i) % n_regions;
		uint32_t ips[RELAY_COUNT];
		size_t n;

		if (members_n_live(gateway->members, region, now) <
		    RELAY_REGION_MIN)
			continue;
		n = members_first(
		    gateway->members, region, RELAY_KEY, RELAY_COUNT, now, ips);
		for (size_t j = 0; j < n; j++) {
			net_address_t relay = {
			    ips[(gateway->own_peer.ip + j) % n],
			    gateway->own_peer.port};

			if (!store_relay_is_paused(gateway->store, &relay))
				return relay.ip;
		}
	}
	return 0;
}

/*
 * Whether to read from fallback_relay instead of the store. Chooses one when
 * the store has been unreachable for STORE_UNREACHABLE_US; the choice holds for
 * FALLBACK_RELAY_US, or until that instance refuses or fails.
 */
static bool
fallback_relay_pick(gateway_t *gateway, time_us_t now)
{
	net_address_t relay = {0, gateway->own_peer.port};
	const member_t *member;

	if (now < gateway->fallback_until &&
	    !store_relay_is_paused(gateway->store, &gateway->fallback_relay))
		return true;
	/* After an instance that refused, the store gets as much time again. */
	if (gateway->store_unreachable_since == 0 ||
	    now - gateway->store_unreachable_since < STORE_UNREACHABLE_US ||
	    now - store_source_since(gateway->store) < STORE_UNREACHABLE_US)
		return false;
	relay.ip = direct_reader(gateway, now);
	if (relay.ip == 0)
		relay.ip = newest_reader(gateway, now);
	if (relay.ip == 0) {
		member =
		    members_pick(gateway->members, gateway->region, 0, now);
		if (member == NULL)
			return false;
		relay.ip = member->entry.ip;
	}
	gateway->fallback_relay = relay;
	gateway->fallback_until = now + FALLBACK_RELAY_US;
	/*
	 * This instance lags because it couldn't read, not because of the
	 * relay.
	 */
	lag_restart(&gateway->store_lag, now);
	return true;
}

/*
 * In a large region, a few instances read from the store and the others read
 * from them.
 */
size_t
gateway_relays(gateway_t *gateway, uint32_t ips[RELAY_COUNT])
{
	return members_responsible(gateway->members, RELAY_KEY, RELAY_COUNT,
	    gateway_now(gateway), ips);
}

static void
relay_update(gateway_t *gateway, time_us_t now)
{
	uint32_t ips[RELAY_COUNT];
	size_t n = 0;

	if (gateway->region_instances >= RELAY_REGION_MIN &&
	    now - gateway->started_at >= VIEW_SETTLE_US)
		n = gateway_relays(gateway, ips);
	for (size_t i = 0; i < n; i++) {
		net_address_t relay = {ips[(gateway->own_peer.ip + i) % n],
		    gateway->own_peer.port};

		if (store_relay_is_paused(gateway->store, &relay))
			continue;
		store_set_relay(gateway->store, &relay);
		return;
	}
	store_set_relay(gateway->store, fallback_relay_pick(gateway, now)
					    ? &gateway->fallback_relay
					    : NULL);
}

static void
pools_sweep(gateway_t *gateway, time_us_t now)
{
	GHashTableIter iter;
	gpointer pool;

	for (size_t i = 0; i < targets_count(gateway->targets); i++) {
		target_t *target = targets_at(gateway->targets, i);

		if (target->user != NULL)
			pool_sweep(target->user, now);
	}
	g_hash_table_iter_init(&iter, gateway->peer_pools);
	while (g_hash_table_iter_next(&iter, NULL, &pool))
		pool_sweep(pool, now);
}

static void
clients_close_idle(gateway_t *gateway)
{
	g_autoptr(GList) clients = g_hash_table_get_keys(gateway->clients);

	for (GList *item = clients; item != NULL; item = item->next)
		client_close_idle(item->data);
}

/*
 * Whether an exit would lose a request that has arrived, or the end of an
 * answer.
 */
static bool
any_data_in_transit(gateway_t *gateway)
{
	GHashTableIter iter;
	gpointer client;

	g_hash_table_iter_init(&iter, gateway->clients);
	while (g_hash_table_iter_next(&iter, &client, NULL)) {
		if (client_has_data_in_transit(client))
			return true;
	}
	return endpoints_have_unread(gateway->endpoints) ||
	       net_has_unsent(gateway->net);
}

static void
leave_advance(gateway_t *gateway, time_us_t now)
{
	time_us_t since = now - gateway->leaving_at;
	time_us_t limit =
	    gateway->settings->grace_s * US_PER_S - LEAVE_RESERVE_US;

	if (gateway_refuses_requests(gateway)) {
		/*
		 * Close the listener: new connections are refused at once and
		 * callers use other instances.
		 */
		listener_destroy(gateway->caller_listener);
		gateway->caller_listener = NULL;
		clients_close_idle(gateway);
	}
	if ((gateway_leave_accept_is_over(gateway) &&
		gateway->n_requests == 0 && !any_data_in_transit(gateway) &&
		(g_hash_table_size(gateway->clients) == 0 ||
		    since >= LEAVE_ACCEPT_US + 2 * CLIENT_IDLE_MIN_US)) ||
	    since >= limit)
		ev_break(gateway->loop, EVBREAK_ALL);
}

/*
 * Whether the settings that can't be reloaded are equal. Only callers, peer,
 * store and zone are compared; a change of any of them needs a restart. Limits
 * and the log level take effect on a reload.
 */
static bool
same_fixed_settings(const gateway_settings_t *a, const gateway_settings_t *b)
{
	return strcmp(a->callers, b->callers) == 0 &&
	       strcmp(a->peer, b->peer) == 0 &&
	       strcmp(a->store, b->store) == 0 && strcmp(a->zone, b->zone) == 0;
}

static void
settings_reload(gateway_t *gateway, const char *cause)
{
	g_autoptr(GError) error = NULL;
	gateway_settings_t *settings =
	    gateway_settings_load(gateway->settings_path, &error);

	if (settings == NULL) {
		log_event(LOG_ERR, "reload", LOG_S("cause", cause),
		    LOG_S("result", "refused"), LOG_S("error", error->message));
		return;
	}
	if (!same_fixed_settings(gateway->settings, settings)) {
		log_event(LOG_WARNING, "reload", LOG_S("cause", cause),
		    LOG_S("result", "needs_restart"));
		gateway_settings_free(settings);
		return;
	}
	gateway_settings_free(gateway->reloaded);
	gateway->reloaded = settings;
	gateway->settings = settings;
	log_open("cyclamensail", settings->log_level);
	log_event(LOG_NOTICE, "reload", LOG_S("cause", cause),
	    LOG_S("result", "applied"));
}

/*
 * Reloads the settings when the mtime of the file has changed since the last
 * check. A change that was already reloaded on a signal is reloaded again.
 */
static void
settings_check(gateway_t *gateway, const char *cause)
{
	struct stat file;

	if (stat(gateway->settings_path, &file) != 0)
		return;
	if (file.st_mtim.tv_sec == gateway->settings_mtime.tv_sec &&
	    file.st_mtim.tv_nsec == gateway->settings_mtime.tv_nsec)
		return;
	gateway->settings_mtime = file.st_mtim;
	settings_reload(gateway, cause);
}

static void
isolation_update(gateway_t *gateway, time_us_t now)
{
	uint32_t n_known = members_n_known(gateway->members, now);
	bool isolated = gateway->targets_loaded &&
			targets_list_is_stale(gateway->targets, now) &&
			members_is_isolated(gateway->members, now);

	targets_set_isolated(gateway->targets, isolated ? n_known : 0);
	if (isolated == gateway->isolated)
		return;
	gateway->isolated = isolated;
	log_event(LOG_NOTICE, isolated ? "isolation_began" : "isolation_ended",
	    LOG_I("known", isolated ? n_known : 0));
}

/* Keeps the history of the versions in service. */
static void
versions_update(gateway_t *gateway, time_us_t now)
{
	if (!gateway->targets_loaded || gateway->isolated ||
	    targets_list_is_stale(gateway->targets, now))
		streams_note_gap(gateway->streams, now);
	for (size_t i = 0; i < targets_count(gateway->targets); i++) {
		const target_t *target = targets_at(gateway->targets, i);

		streams_note_version(gateway->streams,
		    target_short_id(target->entry.service), target->version,
		    now);
	}
	streams_expire(gateway->streams, now);
}

static void
on_tick(struct ev_loop *loop, ev_timer *watcher, int revents)
{
	gateway_t *gateway = watcher->data;
	time_us_t now = gateway_now(gateway);
	uint32_t n_instances =
	    members_n_live(gateway->members, TOPOLOGY_NONE, now);
	GHashTableIter iter;
	gpointer service_state;

	suspension_check(gateway);
	if (++gateway->n_ticks % SETTINGS_TICKS == 0)
		settings_check(gateway, "file");
	targets_expire(gateway->targets, now);
	quarantine_expire(gateway->quarantine, now);
	counter_set(counter_get("quarantine_features", NULL, NULL),
	    (int64_t)quarantine_n_held(gateway->quarantine));
	gateway->region_instances =
	    members_n_live(gateway->members, gateway->region, now);
	team_rates_update(gateway->rates, n_instances, now);
	g_hash_table_iter_init(&iter, gateway->service_states);
	while (g_hash_table_iter_next(&iter, NULL, &service_state))
		service_state_set_limits(
		    service_state, gateway->settings, n_instances);
	isolation_update(gateway, now);
	for (size_t i = 0; i < targets_count(gateway->targets); i++)
		sender_update(gateway, targets_at(gateway->targets, i));
	versions_update(gateway, now);
	relay_update(gateway, now);
	pools_sweep(gateway, now);
	readiness_update(gateway);
	gossip_round(gateway->gossip);
	if (gateway_is_leaving(gateway))
		leave_advance(gateway, now);
}

static void
contact_tick(gateway_t *gateway, time_us_t now)
{
	bool held = contact_holds(&gateway->contact, now);

	contact_update(&gateway->contact,
	    members_hears_most(gateway->members, CONTACT_HEARD_US, now),
	    lag_time(&gateway->store_lag, now), now);
	if (!held && contact_holds(&gateway->contact, now))
		resumptions_retry(gateway);
}

static void
on_load_tick(struct ev_loop *loop, ev_timer *watcher, int revents)
{
	gateway_t *gateway = watcher->data;

	contact_tick(gateway, gateway_now(gateway));
	store_expire(gateway->store, gateway_now(gateway) / US_PER_MS);
	targets_divide_slots(gateway->targets, gateway->region_instances,
	    &gateway->random, gateway_now(gateway));
	health_checks_update(gateway->health_checks);
	reach_update(gateway);
	gossip_send_load(gateway->gossip);
	fetch_update(gateway->fetch);
}

static void
on_stop(struct ev_loop *loop, ev_signal *watcher, int revents)
{
	gateway_t *gateway = watcher->data;

	if (gateway_is_leaving(gateway))
		return;
	gateway->leaving_at = gateway_now(gateway);
	members_set_leaving(gateway->members);
	readiness_update(gateway);
	log_event(LOG_NOTICE, "stopping", LOG_I("signal", watcher->signum),
	    LOG_I("requests", gateway->n_requests),
	    LOG_I("connections", g_hash_table_size(gateway->clients)));
	gossip_round(gateway->gossip);
}

static void
on_reload(struct ev_loop *loop, ev_signal *watcher, int revents)
{
	settings_reload(watcher->data, "signal");
}

static void
on_log_flush(struct ev_loop *loop, ev_prepare *watcher, int revents)
{
	log_flush();
}

static void
on_caller(void *owner, int fd)
{
	client_accept(owner, fd, false);
}

static void
on_peer(void *owner, int fd)
{
	client_accept(owner, fd, true);
}

static bool
listen_at(gateway_t *gateway, const char *text, listener_t **listener,
    void (*accepted)(void *owner, int fd), GError **error)
{
	net_address_t address;

	if (net_address_parse(text, &address))
		*listener =
		    listener_create(gateway->net, address, accepted, gateway);
	if (*listener != NULL)
		return true;
	g_set_error(error, CS_ERROR, CS_ERROR_IO,
	    "%s: %s; use a free address of this machine", text,
	    g_strerror(errno));
	return false;
}

static uint32_t *
seeds_parse(char **texts, size_t *n)
{
	uint32_t *seeds = g_new0(uint32_t, g_strv_length(texts) + 1);

	*n = 0;
	for (; *texts != NULL; texts++) {
		net_address_t address;

		if (net_address_parse(*texts, &address))
			seeds[(*n)++] = address.ip;
	}
	return seeds;
}

static void
members_start(gateway_t *gateway)
{
	size_t n_seeds;
	uint32_t *seeds = seeds_parse(gateway->settings->seeds, &n_seeds);
	member_entry_t self = {
	    .ip = gateway->own_peer.ip,
	    .zone = gateway->zone,
	    .incarnation = (incarnation_t)g_get_real_time(),
	};

	gateway->members = members_create(gateway->topology, &self, seeds,
	    n_seeds, random_next(&gateway->random), gateway_now(gateway));
	g_free(seeds);
}

static void
on_target_free(target_t *target, void *context)
{
	if (target->user != NULL)
		pool_destroy(target->user);
}

static void
signal_start(gateway_t *gateway, ev_signal *watcher, int signum,
    void (*handler)(struct ev_loop *, ev_signal *, int))
{
	ev_signal_init(watcher, handler, signum);
	watcher->data = gateway;
	ev_signal_start(gateway->loop, watcher);
}

static void
timers_start(gateway_t *gateway)
{
	static ev_prepare log_watcher;

	ev_check_init(&iteration_start, on_iteration_start);
	ev_set_priority(&iteration_start, EV_MAXPRI);
	ev_check_start(gateway->loop, &iteration_start);
	ev_prepare_init(&log_watcher, on_log_flush);
	ev_prepare_start(gateway->loop, &log_watcher);
	ev_timer_init(&gateway->queue_timer, on_queue_timer, 0, 0);
	gateway->queue_timer.data = gateway;
	ev_timer_init(&gateway->tick, on_tick,
	    MEMBER_ROUND_US / (double)US_PER_S,
	    MEMBER_ROUND_US / (double)US_PER_S);
	gateway->tick.data = gateway;
	ev_timer_start(gateway->loop, &gateway->tick);
	ev_timer_init(&gateway->load_tick, on_load_tick, LOAD_INTERVAL_S,
	    LOAD_INTERVAL_S);
	gateway->load_tick.data = gateway;
	ev_timer_start(gateway->loop, &gateway->load_tick);
	signal_start(gateway, &gateway->on_term, SIGTERM, on_stop);
	signal_start(gateway, &gateway->on_int, SIGINT, on_stop);
	signal_start(gateway, &gateway->on_hup, SIGHUP, on_reload);
}

static bool
sockets_start(gateway_t *gateway, GError **error)
{
	const gateway_settings_t *settings = gateway->settings;

	gateway->gossip = gossip_create(gateway, error);
	if (gateway->gossip == NULL)
		return false;
	gateway->endpoints = endpoints_create(gateway, error);
	return gateway->endpoints != NULL &&
	       listen_at(gateway, settings->callers, &gateway->caller_listener,
		   on_caller, error) &&
	       listen_at(gateway, settings->peer, &gateway->peer_listener,
		   on_peer, error);
}

static void
gateway_init(gateway_t *gateway, const gateway_settings_t *settings)
{
	net_address_t callers;

	gateway->settings = settings;
	gateway->loop = ev_loop_new(EVBACKEND_EPOLL | EVFLAG_NOENV);
	gateway->net = net_create(gateway->loop);
	gateway->topology = settings->places;
	gateway->zone = topology_zone(settings->places, settings->zone);
	gateway->region = topology_region_of(settings->places, gateway->zone);
	net_address_parse(settings->peer, &gateway->own_peer);
	net_address_parse(settings->callers, &callers);
	gateway->caller_port = callers.port;
	gateway->random = (uint64_t)g_get_real_time() ^
			  ((uint64_t)gateway->own_peer.ip << 32);
	gateway->started_at = gateway_now(gateway);
	gateway->boot_clock_offset_us = boot_clock_offset();
	gateway->region_instances = 1;
	gateway->targets = targets_create(settings->places, gateway->region);
	targets_on_free(gateway->targets, on_target_free, gateway);
	gateway->rates = team_rates_create(gateway->region);
	gateway->quarantine = quarantine_create();
	gateway->crash_checks = crash_checks_create(gateway);
	gateway->health_checks = health_checks_create(gateway);
	gateway->service_states = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, service_state_free);
	gateway->peer_pools = g_hash_table_new(NULL, NULL);
	gateway->clients = g_hash_table_new(NULL, NULL);
	gateway->streams = streams_create(gateway->started_at);
	gateway->event_memory.limit =
	    settings->memory_mb * BYTES_PER_MB / EVENT_MEMORY_DIVISOR;
	gateway->relay_memory.limit =
	    settings->memory_mb * BYTES_PER_MB / RELAY_MEMORY_DIVISOR;
	gateway->packing = packing_create(CONFIG_BASES_BYTES);
	gateway->pending = g_ptr_array_new();
	gateway->resumptions = g_ptr_array_new();
}

static void
clients_destroy(gateway_t *gateway)
{
	g_autoptr(GList) clients = g_hash_table_get_keys(gateway->clients);

	for (GList *item = clients; item != NULL; item = item->next)
		client_exit(item->data);
}

static void
gateway_clear(gateway_t *gateway)
{
	GHashTableIter iter;
	gpointer pool;

	clients_destroy(gateway);
	fetch_destroy(gateway->fetch);
	latencies_destroy(gateway->latencies);
	if (gateway->store != NULL)
		store_destroy(gateway->store);
	listener_destroy(gateway->caller_listener);
	listener_destroy(gateway->peer_listener);
	if (gateway->endpoints != NULL)
		endpoints_destroy(gateway->endpoints);
	if (gateway->gossip != NULL)
		gossip_destroy(gateway->gossip);
	g_hash_table_iter_init(&iter, gateway->peer_pools);
	while (g_hash_table_iter_next(&iter, NULL, &pool))
		pool_destroy(pool);
	crash_checks_destroy(gateway->crash_checks);
	health_checks_destroy(gateway->health_checks);
	targets_destroy(gateway->targets);
	if (gateway->members != NULL)
		members_destroy(gateway->members);
	team_rates_destroy(gateway->rates);
	quarantine_destroy(gateway->quarantine);
	g_hash_table_destroy(gateway->service_states);
	g_hash_table_destroy(gateway->peer_pools);
	g_hash_table_destroy(gateway->clients);
	streams_destroy(gateway->streams);
	g_ptr_array_unref(gateway->pending);
	g_ptr_array_unref(gateway->resumptions);
	catalog_unref(gateway->catalog);
	packing_destroy(gateway->packing);
	g_free(gateway->config_error);
	gateway_settings_free(gateway->reloaded);
	net_destroy(gateway->net);
	ev_loop_destroy(gateway->loop);
}

int
gateway_run(const gateway_settings_t *settings, const char *settings_path,
    GError **error)
{
	gateway_t gateway = {0};
	net_address_t store;
	struct stat file;
	int status = -1;

	signal(SIGPIPE, SIG_IGN);
	gateway_init(&gateway, settings);
	gateway.settings_path = settings_path;
	if (stat(settings_path, &file) == 0)
		gateway.settings_mtime = file.st_mtim;
	members_start(&gateway);
	gateway.fetch = fetch_create(&gateway);
	gateway.latencies = latencies_create();
	gateway.store_unreachable_since = gateway.started_at;
	net_address_parse(settings->store, &store);
	log_enable_buffering();
	if (sockets_start(&gateway, error)) {
		timers_start(&gateway);
		log_event(LOG_NOTICE, "started",
		    LOG_S("instance", settings->instance),
		    LOG_S("zone", settings->zone),
		    LOG_S("callers", settings->callers),
		    LOG_S("peer", settings->peer), LOG_S("version", VERSION));
		gateway.store =
		    store_create(gateway.net, store, gateway.topology,
			&store_events, &gateway, random_next(&gateway.random),
			&gateway.relay_memory, gateway.packing);
		gossip_round(gateway.gossip);
		ev_run(gateway.loop, 0);
		log_event(LOG_NOTICE, "stopped",
		    LOG_S("instance", settings->instance),
		    LOG_I("requests", gateway.n_requests));
		status = 0;
	}
	gateway_clear(&gateway);
	log_flush();
	return status;
}
