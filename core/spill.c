#include "core/spill.h"

#include <string.h>

/* Last load report of one instance for one service. */
typedef struct {
	char service[NAME_LIMIT + 1];
	uint32_t free_slots;
	uint32_t forwarded; /* requests forwarded to it since the report */
} report_t;

typedef struct {
	char name[NAME_LIMIT + 1];
	char zone[NAME_LIMIT + 1];
	time_us_t reported_at;
	report_t reports[HEARTBEAT_LOAD_LIMIT];
	size_t n_reports;
} peer_t;

typedef struct {
	bool spilling[2]; /* [0]: to zones of the region, [1]: to regions */
} service_state_t;

struct spill {
	spill_settings_t settings;
	GPtrArray *peers;     /* peer_t, in order of first appearance */
	GHashTable *services; /* name -> service_state_t */
	GHashTable *links;    /* region -> time at which its link is idle */
};

/* An instance with free slots in an allowed region. */
typedef struct {
	peer_t *peer;
	report_t *report;
	const zone_t *zone;
	int64_t weight; /* free slots x 1000, reduced by age */
} candidate_t;

spill_t *
spill_create(spill_settings_t settings)
{
	spill_t *spill = g_new0(spill_t, 1);

	spill->settings = settings;
	spill->peers = g_ptr_array_new_with_free_func(g_free);
	spill->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	spill->links =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return spill;
}

void
spill_destroy(spill_t *spill)
{
	if (spill == NULL)
		return;
	g_ptr_array_free(spill->peers, TRUE);
	g_hash_table_destroy(spill->services);
	g_hash_table_destroy(spill->links);
	g_free(spill);
}

static peer_t *
peer_find(const spill_t *spill, const char *name)
{
	for (guint i = 0; i < spill->peers->len; i++) {
		peer_t *peer = g_ptr_array_index(spill->peers, i);

		if (strcmp(peer->name, name) == 0)
			return peer;
	}
	return NULL;
}

void
spill_remove_instance(spill_t *spill, const char *instance)
{
	peer_t *peer = peer_find(spill, instance);

	if (peer != NULL)
		g_ptr_array_remove(spill->peers, peer);
}

static void
report_fill(report_t *report, const service_load_t *load)
{
	uint32_t demand = load->in_flight + load->queued;

	g_strlcpy(report->service, load->service, sizeof(report->service));
	report->free_slots = load->slots > demand ? load->slots - demand : 0;
	report->forwarded = 0;
}

void
spill_record_load(spill_t *spill, const heartbeat_t *heartbeat, time_us_t now)
{
	peer_t *peer;

	if (!heartbeat->ready || heartbeat->draining) {
		spill_remove_instance(spill, heartbeat->sender);
		return;
	}
	if (heartbeat->brief)
		return;
	peer = peer_find(spill, heartbeat->sender);
	if (peer == NULL) {
		peer = g_new0(peer_t, 1);
		g_strlcpy(peer->name, heartbeat->sender, sizeof(peer->name));
		g_ptr_array_add(spill->peers, peer);
	}
	g_strlcpy(peer->zone, heartbeat->zone, sizeof(peer->zone));
	peer->reported_at = now;
	peer->n_reports = MIN(heartbeat->n_load, HEARTBEAT_LOAD_LIMIT);
	for (size_t i = 0; i < peer->n_reports; i++)
		report_fill(&peer->reports[i], &heartbeat->load[i]);
}

/* Candidates. */

static bool
region_allowed(const spill_query_t *query, const char *region)
{
	if (query->home != NULL && strcmp(query->home, region) != 0)
		return false;
	for (char *const *allowed = query->regions;
	     allowed != NULL && *allowed != NULL; allowed++) {
		if (strcmp(*allowed, region) == 0)
			return true;
	}
	return false;
}

static report_t *
peer_report(peer_t *peer, const char *service)
{
	for (size_t i = 0; i < peer->n_reports; i++) {
		if (strcmp(peer->reports[i].service, service) == 0)
			return &peer->reports[i];
	}
	return NULL;
}

/* Free slots x 1000, less forwarded requests and reduced by age. */
static int64_t
report_weight(const peer_t *peer, const report_t *report, time_us_t now)
{
	time_us_t age = MAX(now - peer->reported_at, 0);

	if (age >= SPILL_REPORT_MAX_AGE_US ||
	    report->free_slots <= report->forwarded)
		return 0;
	return (int64_t)(report->free_slots - report->forwarded) * 1000 *
	       (SPILL_REPORT_MAX_AGE_US - age) / SPILL_REPORT_MAX_AGE_US;
}

/* Collects candidates in other zones of the region, or in other regions. */
static size_t
candidates_collect(const spill_t *spill, const allowances_t *allowances,
    const spill_query_t *query, bool remote_region, candidate_t *out,
    time_us_t now)
{
	const zone_t *own_zone = allowances_find_zone(allowances, query->zone);
	size_t n = 0;

	/* Requests of teams whose home is another region are refused at
	 * admission, so they are not forwarded. */
	if (own_zone == NULL ||
	    (query->home != NULL && strcmp(query->home, own_zone->region) != 0))
		return 0;
	for (guint i = 0; i < spill->peers->len; i++) {
		peer_t *peer = g_ptr_array_index(spill->peers, i);
		report_t *report = peer_report(peer, query->service);
		const zone_t *zone;
		int64_t weight;

		if (report == NULL || strcmp(peer->zone, own_zone->name) == 0)
			continue;
		zone = allowances_find_zone(allowances, peer->zone);
		if (zone == NULL || !region_allowed(query, zone->region) ||
		    (strcmp(zone->region, own_zone->region) != 0) !=
			remote_region)
			continue;
		weight = report_weight(peer, report, now);
		if (weight > 0)
			out[n++] = (candidate_t){peer, report, zone, weight};
	}
	return n;
}

static const candidate_t *
candidate_pick(const candidate_t *candidates, size_t n, uint64_t seed)
{
	int64_t sum = 0;
	int64_t offset;

	for (size_t i = 0; i < n; i++)
		sum += candidates[i].weight;
	offset = (int64_t)(seed % (uint64_t)sum);
	for (size_t i = 0; i < n; i++) {
		offset -= candidates[i].weight;
		if (offset < 0)
			return &candidates[i];
	}
	return &candidates[n - 1];
}

/* Cost of a forward. */

static time_us_t
link_idle_at(const spill_t *spill, const char *region, time_us_t now)
{
	const time_us_t *idle_at = g_hash_table_lookup(spill->links, region);

	return idle_at == NULL || *idle_at < now ? now : *idle_at;
}

static time_us_t
transfer_time(const spill_t *spill, int64_t bytes)
{
	if (spill->settings.bandwidth <= 0)
		return 0;
	return bytes * US_PER_S / spill->settings.bandwidth;
}

/* Round trip, plus to other regions: wait for the link and transfer time. */
static time_us_t
forward_cost(const spill_t *spill, const spill_query_t *query,
    const char *region, bool remote_region, time_us_t now)
{
	if (!remote_region)
		return 2 * spill->settings.zone_delay;
	return 2 * spill->settings.region_delay +
	       link_idle_at(spill, region, now) - now +
	       transfer_time(spill, query->bytes);
}

static void
link_occupy(spill_t *spill, const char *region, int64_t bytes, time_us_t now)
{
	time_us_t *idle_at = g_new(time_us_t, 1);

	*idle_at =
	    link_idle_at(spill, region, now) + transfer_time(spill, bytes);
	g_hash_table_replace(spill->links, g_strdup(region), idle_at);
}

/* Decision. */

static service_state_t *
service_state(spill_t *spill, const char *service)
{
	service_state_t *state = g_hash_table_lookup(spill->services, service);

	if (state == NULL) {
		state = g_new0(service_state_t, 1);
		g_hash_table_insert(spill->services, g_strdup(service), state);
	}
	return state;
}

/* Updates the hysteresis flag and returns it. */
static bool
hysteresis_update(bool *spilling, time_us_t local_wait, time_us_t cost)
{
	time_us_t start = SPILL_START_FACTOR * cost + SPILL_START_MARGIN_US;

	*spilling = local_wait > (*spilling ? cost : start);
	return *spilling;
}

static bool
tier_decide(spill_t *spill, const allowances_t *allowances,
    const spill_query_t *query, bool remote_region, uint64_t seed,
    time_us_t now, spill_choice_t *choice)
{
	candidate_t *candidates = g_new(candidate_t, spill->peers->len);
	size_t n = candidates_collect(
	    spill, allowances, query, remote_region, candidates, now);
	service_state_t *state = service_state(spill, query->service);
	const candidate_t *picked = NULL;

	if (n > 0) {
		picked = candidate_pick(candidates, n, seed);
		choice->cost = forward_cost(
		    spill, query, picked->zone->region, remote_region, now);
		if (!hysteresis_update(&state->spilling[remote_region],
			query->local_wait, choice->cost))
			picked = NULL;
	}
	if (picked != NULL) {
		choice->verdict =
		    remote_region ? SPILL_FORWARD_REGION : SPILL_FORWARD_ZONE;
		g_strlcpy(choice->instance, picked->peer->name,
		    sizeof(choice->instance));
		picked->report->forwarded++;
		if (remote_region)
			link_occupy(
			    spill, picked->zone->region, query->bytes, now);
	}
	g_free(candidates);
	return picked != NULL;
}

spill_choice_t
spill_decide(spill_t *spill, const allowances_t *allowances,
    const spill_query_t *query, uint64_t seed, time_us_t now)
{
	spill_choice_t choice = {.verdict = SPILL_LOCAL};

	if (!tier_decide(spill, allowances, query, false, seed, now, &choice) &&
	    !tier_decide(spill, allowances, query, true, seed, now, &choice))
		choice.cost = 0;
	return choice;
}

size_t
spill_bytes(const spill_t *spill)
{
	return sizeof(*spill) + spill->peers->len * sizeof(peer_t) +
	       g_hash_table_size(spill->services) *
		   (sizeof(service_state_t) + NAME_LIMIT) +
	       g_hash_table_size(spill->links) *
		   (sizeof(time_us_t) + NAME_LIMIT);
}
