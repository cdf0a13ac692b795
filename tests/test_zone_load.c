#include "core/zone_load.h"

#include <string.h>

#include "core/members.h"
#include "core/targets.h"
#include "core/team_rates.h"
#include "test.h"

#define REGION_INSTANCES 69
#define NOW (10 * US_PER_S)

static topology_t *
two_zones(void)
{
	topology_t *topology = topology_create();

	topology_add(topology, "a-1", "a");
	topology_add(topology, "a-2", "a");
	return topology;
}

static uint32_t
instance_ip(int i)
{
	return 0x0a000001u + (uint32_t)i;
}

/* Instances that all know one another, in the two zones in turn. */
static void
region_create(const topology_t *topology, members_t **nodes)
{
	member_entry_t entries[REGION_INSTANCES] = {{0}};

	for (int i = 0; i < REGION_INSTANCES; i++)
		entries[i] = (member_entry_t){.ip = instance_ip(i),
		    .zone = i % 2,
		    .incarnation = 1,
		    .heartbeat = 1,
		    .ready = true};
	for (int i = 0; i < REGION_INSTANCES; i++) {
		nodes[i] = members_create(
		    topology, &entries[i], NULL, 0, (uint64_t)i + 1, NOW);
		members_merge(nodes[i], entries, REGION_INSTANCES, NOW);
	}
}

static void
region_destroy(members_t **nodes)
{
	for (int i = 0; i < REGION_INSTANCES; i++)
		members_destroy(nodes[i]);
}

static bool
is_speaker(const members_t *node, time_us_t now)
{
	return members_is_zone_responsible(
	    node, ZONE_SPEAKER_KEY, ZONE_SPEAKERS, now);
}

/*
 * Load pattern of core/zone_load.h. Guards against reports between zones that
 * grow with the square of the instances, and against instances of a large
 * region that get none (a limit of 64 once left out the same five all the
 * time).
 */
TEST(reports_between_zones_grow_with_the_instances)
{
	topology_t *topology = two_zones();
	members_t *nodes[REGION_INSTANCES];
	uint32_t ips[MEMBER_LIMIT];
	unsigned received[REGION_INSTANCES] = {0};
	size_t sent = 0;
	const size_t expected = (size_t)ZONE_SPEAKERS * REGION_INSTANCES;

	region_create(topology, nodes);
	for (int i = 0; i < REGION_INSTANCES; i++) {
		size_t n;

		if (!is_speaker(nodes[i], NOW))
			continue;
		n = members_at(
		    nodes[i], MEMBER_SAME_REGION, NOW, ips, MEMBER_LIMIT);
		sent += n;
		for (size_t j = 0; j < n; j++)
			received[ips[j] - instance_ip(0)]++;
	}
	ck_assert_uint_eq(sent, expected);
	for (int i = 0; i < REGION_INSTANCES; i++)
		ck_assert_uint_eq(received[i], ZONE_SPEAKERS);
	region_destroy(nodes);
	topology_destroy(topology);
}

/* Guards against a zone whose load nobody reports after its speakers died. */
TEST(dead_speakers_are_replaced)
{
	topology_t *topology = two_zones();
	members_t *nodes[REGION_INSTANCES];
	time_us_t later = NOW + MEMBER_LOCAL_TIMEOUT_US;
	unsigned n_speakers = 0;

	region_create(topology, nodes);
	for (int i = 0; i < REGION_INSTANCES; i++) {
		/* All but the speakers of before increase their heartbeats. */
		for (int j = 0; j < REGION_INSTANCES; j++) {
			member_entry_t entry = *members_self(nodes[j]);

			entry.heartbeat = 2;
			if (!is_speaker(nodes[j], NOW))
				members_merge(nodes[i], &entry, 1, later);
		}
	}
	for (int i = 0; i < REGION_INSTANCES; i += 2)
		n_speakers +=
		    !is_speaker(nodes[i], NOW) && is_speaker(nodes[i], later);
	ck_assert_uint_eq(n_speakers, ZONE_SPEAKERS);
	region_destroy(nodes);
	topology_destroy(topology);
}

static target_t *
target_put(targets_t *targets)
{
	target_entry_t entry = {.ip = 1,
	    .port = 80,
	    .slots = 16,
	    .state = TARGET_READY,
	    .started_ms = 1};

	g_strlcpy(entry.id, "t1", sizeof(entry.id));
	g_strlcpy(entry.service, "engine", sizeof(entry.service));
	return targets_put(targets, &entry, NOW);
}

/*
 * Guards against load that is lost or counted twice on its way: the sum of a
 * zone has each of its instances once, and a sum received from another zone is
 * not passed on as part of the own one.
 */
TEST(sum_has_each_instance_of_the_zone_once)
{
	topology_t *topology = two_zones();
	targets_t *targets = targets_create(topology, 0);
	target_t *target = target_put(targets);
	target_load_t load = {target->short_id, 3, 640, 40};
	target_load_t other_zone = {target->short_id, 9, 6400, 40};
	target_load_t sum[4];
	target_attempt_t attempt;
	uint32_t n_instances;

	target_attempt_begin(target, 128, 100, NOW, &attempt);
	targets_peer_load(targets, instance_ip(1), &load, 1, NOW);
	targets_peer_load(targets, instance_ip(2), &load, 1, NOW);
	targets_peer_load(targets, instance_ip(3), NULL, 0, NOW);
	targets_peer_load(targets, load_sender_of_zone(1), &other_zone, 1, NOW);
	ck_assert_uint_eq(target_in_flight(target, NOW), 1 + 3 + 3 + 9);
	ck_assert_uint_eq(
	    targets_zone_load(targets, sum, 4, &n_instances, NOW), 1);
	ck_assert_uint_eq(n_instances, 4);
	ck_assert_uint_eq(sum[0].in_flight, 1 + 3 + 3);
	ck_assert_uint_eq(sum[0].pending_tokens, 128 + 640 + 640);
	/* A newer sum, of either speaker, replaces the one before. */
	other_zone.in_flight = 2;
	targets_peer_load(targets, load_sender_of_zone(1), &other_zone, 1, NOW);
	ck_assert_uint_eq(target_in_flight(target, NOW), 1 + 3 + 3 + 2);
	targets_destroy(targets);
	topology_destroy(topology);
}

TEST(demand_of_a_zone_leaves_out_the_other_zones)
{
	catalog_t *catalog = catalog_create("1");
	catalog_team_t team = {.name = g_strdup("parish"), .rate = 1000};
	team_demand_t demand = {team_short_id("parish"), 100};
	team_demand_t sum[4];
	team_rates_t *rates = team_rates_create(0);

	catalog_add_team(catalog, &team);
	team_rates_set_catalog(rates, catalog, NOW);
	team_rates_report_instance(rates, instance_ip(1), &demand, 1, NOW);
	team_rates_report_instance(
	    rates, load_sender_of_zone(1), &demand, 1, NOW);
	ck_assert_uint_eq(team_rates_zone_demand(rates, sum, 4, NOW), 1);
	ck_assert_uint_eq(sum[0].per_s, 100);
	ck_assert_uint_eq(team_rates_region_demand(rates, sum, 4, NOW), 1);
	ck_assert_uint_eq(sum[0].per_s, 200);
	team_rates_destroy(rates);
	catalog_unref(catalog);
}

/*
 * Guards against targets that seem idle because one speaker is cut off from its
 * zone, or has just started, and sends a sum of nearly nobody.
 */
TEST(sum_of_few_instances_does_not_replace_one_of_many)
{
	zone_sum_t sum = {0};
	time_us_t now = NOW;

	for (int i = 0; i < 50; i++) {
		now += 100 * US_PER_MS;
		ck_assert(zone_sum_accept(&sum, 35, now));
		ck_assert(!zone_sum_accept(&sum, 1, now + US_PER_MS));
	}
	/* The zone has really shrunk: nobody sends a sum of many any more. */
	now += ZONE_SUM_HOLD_US;
	ck_assert(zone_sum_accept(&sum, 1, now));
	ck_assert(zone_sum_accept(&sum, 35, now));
}

TEST_MAIN("zone_load")
