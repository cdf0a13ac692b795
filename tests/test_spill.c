#include <stdio.h>
#include <string.h>

#include "core/spill.h"
#include "random.h"
#include "test.h"

G_DEFINE_AUTOPTR_CLEANUP_FUNC(spill_t, spill_destroy)

#define SERVICE "writer"
#define LONG_WAIT (5 * US_PER_S)

static zone_t zones[] = {
    {"a1", "a", 1}, {"a2", "a", 1}, {"b1", "b", 1}, {"c1", "c", 1}};
static const allowances_t allowances = {.zones = zones, .n_zones = 4};
static char *all_regions[] = {"a", "b", "c", NULL};
static const spill_settings_t settings = {
    SPILL_ZONE_DELAY_US, SPILL_REGION_DELAY_US, SPILL_REGION_BANDWIDTH};

static void
observe(spill_t *spill, const char *sender, const char *zone,
    uint32_t free_slots, time_us_t now)
{
	heartbeat_t heartbeat = {.ready = true, .n_load = 1};

	g_strlcpy(heartbeat.sender, sender, sizeof(heartbeat.sender));
	g_strlcpy(heartbeat.zone, zone, sizeof(heartbeat.zone));
	g_strlcpy(heartbeat.load[0].service, SERVICE, NAME_LIMIT);
	heartbeat.load[0].slots = free_slots + 3;
	heartbeat.load[0].in_flight = 2;
	heartbeat.load[0].queued = 1;
	spill_record_load(spill, &heartbeat, now);
}

static spill_query_t
query_new(time_us_t local_wait)
{
	return (spill_query_t){.service = SERVICE,
	    .zone = "a1",
	    .regions = all_regions,
	    .local_wait = local_wait};
}

static spill_choice_t
decide(spill_t *spill, time_us_t local_wait, time_us_t now)
{
	spill_query_t query = query_new(local_wait);

	return spill_decide(spill, &allowances, &query, 0, now);
}

/* Guards against sending a request to another region while its own has free
 * slots. */
TEST(own_region_is_preferred)
{
	g_autoptr(spill_t) spill = spill_create(settings);

	observe(spill, "near", "a2", 1, 0);
	observe(spill, "far", "b1", 9, 0);
	observe(spill, "same", "a1", 9, 0);
	ck_assert_str_eq(decide(spill, LONG_WAIT, 0).instance, "near");
	/* The first forward has used the only free slot of a2. */
	ck_assert_str_eq(decide(spill, LONG_WAIT, 0).instance, "far");
	spill_remove_instance(spill, "far");
	ck_assert_int_eq(decide(spill, LONG_WAIT, 0).verdict, SPILL_LOCAL);
}

/* Guards against a decision that alternates when the wait is near the cost. */
TEST(spilling_has_hysteresis)
{
	g_autoptr(spill_t) spill = spill_create(settings);

	observe(spill, "far", "b1", 9, 0);
	ck_assert_int_eq(
	    decide(spill, 340 * US_PER_MS, 0).verdict, SPILL_LOCAL);
	ck_assert_int_eq(
	    decide(spill, 341 * US_PER_MS, 0).verdict, SPILL_FORWARD_REGION);
	ck_assert_int_eq(
	    decide(spill, 161 * US_PER_MS, 0).verdict, SPILL_FORWARD_REGION);
	ck_assert_int_eq(
	    decide(spill, 160 * US_PER_MS, 0).verdict, SPILL_LOCAL);
	ck_assert_int_eq(
	    decide(spill, 340 * US_PER_MS, 0).verdict, SPILL_LOCAL);
}

/* Guards against forwards by an expired report, to a draining instance, or over
 * a link that is busy with earlier forwards. */
TEST(stale_draining_or_congested_peer_is_not_used)
{
	g_autoptr(spill_t) spill = spill_create(settings);
	spill_query_t query = query_new(LONG_WAIT);
	heartbeat_t draining_peer = {
	    .sender = "far", .zone = "b1", .ready = true, .draining = true};

	observe(spill, "far", "b1", 9, 0);
	query.bytes = 2 * SPILL_REGION_BANDWIDTH;
	ck_assert_int_eq(spill_decide(spill, &allowances, &query, 0, 0).verdict,
	    SPILL_FORWARD_REGION);
	ck_assert_int_eq(
	    spill_decide(spill, &allowances, &query, 0, 0).cost, 4160000);
	query.bytes = 1;
	query.local_wait = 4 * US_PER_S;
	ck_assert_int_eq(spill_decide(spill, &allowances, &query, 0, 0).verdict,
	    SPILL_LOCAL);
	ck_assert_int_eq(
	    decide(spill, LONG_WAIT, SPILL_REPORT_MAX_AGE_US).verdict,
	    SPILL_LOCAL);
	spill_record_load(spill, &draining_peer, 5 * US_PER_S);
	ck_assert_int_eq(
	    decide(spill, LONG_WAIT, 5 * US_PER_S).verdict, SPILL_LOCAL);
}

typedef struct {
	time_us_t reported_at;
	uint32_t zone;
	uint32_t free_slots;
	uint32_t forwarded;
	bool known;
	char name[8];
} model_peer_t;

#define N_PEERS 6

static void
schedule_decide(uint64_t seed, uint64_t *random, spill_t *spill,
    model_peer_t *peers, time_us_t now)
{
	static char *regions_b[] = {"a", "b", NULL};
	static const char *const homes[] = {"a", "b", NULL, NULL};
	spill_query_t query = query_new(random_below(random, 2000000));
	spill_choice_t choice;

	query.home = homes[random_below(random, 4)];
	query.regions = random_below(random, 2) == 0 ? regions_b : all_regions;
	query.bytes = random_below(random, 1000000);
	choice =
	    spill_decide(spill, &allowances, &query, random_next(random), now);
	SEED_CHECK(seed,
	    (choice.verdict == SPILL_LOCAL) == (choice.instance[0] == '\0'));
	for (int i = 0; i < N_PEERS; i++) {
		model_peer_t *peer = &peers[i];
		const zone_t *zone = &zones[peer->zone];

		if (strcmp(peer->name, choice.instance) != 0)
			continue;
		peer->forwarded++;
		SEED_CHECK(
		    seed, peer->known && peer->forwarded <= peer->free_slots);
		SEED_CHECK(
		    seed, now - peer->reported_at < SPILL_REPORT_MAX_AGE_US);
		SEED_CHECK(seed, strcmp(zone->name, "a1") != 0);
		SEED_CHECK(seed,
		    query.home == NULL || (strcmp(query.home, "a") == 0 &&
					      strcmp(zone->region, "a") == 0));
		SEED_CHECK(seed, strcmp(zone->region, "c") != 0 ||
				     query.regions == all_regions);
		SEED_CHECK(seed, query.local_wait > choice.cost);
	}
}

static void
schedule_run(uint64_t seed)
{
	uint64_t random = seed;
	g_autoptr(spill_t) spill = spill_create(settings);
	model_peer_t peers[N_PEERS] = {0};
	time_us_t now = 0;

	for (int i = 0; i < N_PEERS; i++)
		snprintf(peers[i].name, sizeof(peers[i].name), "p%d", i);
	for (int step = 0; step < 400; step++) {
		model_peer_t *peer = &peers[random_below(&random, N_PEERS)];
		uint32_t action = random_below(&random, 10);

		now += random_below(&random, 2000000);
		if (action == 0) {
			spill_remove_instance(spill, peer->name);
			peer->known = false;
		} else if (action < 4) {
			peer->zone = random_below(&random, 4);
			peer->free_slots = random_below(&random, 5);
			peer->forwarded = 0;
			peer->reported_at = now;
			peer->known = true;
			observe(spill, peer->name, zones[peer->zone].name,
			    peer->free_slots, now);
		} else {
			schedule_decide(seed, &random, spill, peers, now);
		}
	}
}

/* Guards against requests that leave their home or the allowed regions, and
 * against more forwards than an instance has reported free slots. */
TEST(random_schedules_respect_regions_and_free_slots)
{
	RANDOM_SCHEDULES(schedule_run);
}

TEST_MAIN("spill")
