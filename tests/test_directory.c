#include <stdio.h>
#include <string.h>

#include "core/directory.h"
#include "random.h"
#include "test.h"

G_DEFINE_AUTOPTR_CLEANUP_FUNC(directory_t, directory_destroy)

#define N_INSTANCES 12

/* Regions r0..r2; r0 has the zones z0 and z1, r1 has z2 and r2 has z3. */
static zone_t zones[] = {
    {"z0", "r0", 1}, {"z1", "r0", 1}, {"z2", "r1", 1}, {"z3", "r2", 1}};
static char names[N_INSTANCES][8];
static char zone_names[N_INSTANCES][4];
static instance_t instances[N_INSTANCES];
static directory_state_t states[N_INSTANCES];
/* The additional reference prevents the static lists from being freed. */
static allowances_t allowances = {
    .head = {.refs = 1}, .zones = zones, .n_zones = 4};
static fleet_t fleet = {
    .head = {.refs = 1}, .instances = instances, .n_instances = N_INSTANCES};

static directory_state_t
state_of(const instance_t *instance, void *context)
{
	return states[instance - instances];
}

static directory_t *
directory_new(void)
{
	for (size_t i = 0; i < N_INSTANCES; i++) {
		snprintf(names[i], sizeof(names[i]), "i%zu", i);
		snprintf(zone_names[i], sizeof(zone_names[i]), "z%zu", i % 4);
		instances[i] = (instance_t){.name = names[i],
		    .zone = zone_names[i],
		    .state = MEMBER_LIVE};
		states[i] = DIRECTORY_READY;
	}
	return directory_create(&fleet, &allowances);
}

static const char *
region_of(const instance_t *instance)
{
	return allowances_find_zone(&allowances, instance->zone)->region;
}

/* Guards against teams that are not distributed evenly over the instances of
 * the preferred region. */
TEST(teams_are_spread_evenly)
{
	g_autoptr(directory_t) directory = directory_new();
	const instance_t *out[1];
	int first[N_INSTANCES] = {0};
	char team[16];

	for (int i = 0; i < 6000; i++) {
		directory_query_t query = {
		    .team = team, .preferred_region = "r0"};

		snprintf(team, sizeof(team), "team-%d", i);
		ck_assert_uint_eq(
		    directory_order(directory, &query, out, 1), 1);
		first[out[0] - instances]++;
	}
	for (int i = 0; i < N_INSTANCES; i++) {
		if (strcmp(region_of(&instances[i]), "r0") != 0)
			ck_assert_int_eq(first[i], 0);
		else
			ck_assert_msg(first[i] > 850 && first[i] < 1150,
			    "%s comes first for %d of 6000 teams", names[i],
			    first[i]);
	}
}

/* Guards against zones that rank first regardless of their weight. */
TEST(zones_get_teams_by_weight)
{
	g_autoptr(directory_t) directory = NULL;
	const instance_t *out[1];
	int heavy = 0;
	char team[16];

	zones[1].weight = 9;
	directory = directory_new();
	for (int i = 0; i < 4000; i++) {
		directory_query_t query = {
		    .team = team, .preferred_region = "r0"};

		snprintf(team, sizeof(team), "team-%d", i);
		directory_order(directory, &query, out, 1);
		heavy += strcmp(out[0]->zone, "z1") == 0;
	}
	zones[1].weight = 1;
	ck_assert_msg(heavy > 3480 && heavy < 3720, "%d of 4000", heavy);
}

static void
order_check(uint64_t seed, const directory_query_t *query,
    const instance_t **out, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		directory_state_t state = states[out[i] - instances];

		SEED_CHECK(seed, out[i]->state == MEMBER_LIVE);
		SEED_CHECK(seed, state != DIRECTORY_LEAVING);
		SEED_CHECK(
		    seed, query->home == NULL ||
			      strcmp(region_of(out[i]), query->home) == 0);
		SEED_CHECK(seed,
		    query->regions == NULL ||
			g_strv_contains((const char *const *)query->regions,
			    region_of(out[i])));
		if (i == 0)
			continue;
		SEED_CHECK(seed, states[out[i - 1] - instances] <= state);
		if (states[out[i - 1] - instances] == state &&
		    query->preferred_region != NULL &&
		    strcmp(region_of(out[i]), query->preferred_region) == 0)
			SEED_CHECK(seed, strcmp(region_of(out[i - 1]),
					     query->preferred_region) == 0);
	}
}

static size_t
instances_expected(const directory_query_t *query)
{
	size_t n = 0;

	for (size_t i = 0; i < N_INSTANCES; i++) {
		const char *region = region_of(&instances[i]);

		n +=
		    instances[i].state == MEMBER_LIVE &&
		    states[i] != DIRECTORY_LEAVING &&
		    (query->home == NULL || strcmp(region, query->home) == 0) &&
		    (query->regions == NULL ||
			g_strv_contains(
			    (const char *const *)query->regions, region));
	}
	return n;
}

static void
schedule_run(uint64_t seed)
{
	static char *regions[] = {"r0", "r2", NULL};
	static const char *const region_choices[] = {"r0", "r1", "r2", NULL};
	uint64_t random = seed;
	directory_t *directory = directory_new();
	const instance_t *out[N_INSTANCES];
	directory_query_t query = {.team = "t", .state_of = state_of};
	size_t limit = random_below(&random, N_INSTANCES + 1);
	size_t expected;
	size_t n;

	directory_destroy(directory);
	for (size_t i = 0; i < N_INSTANCES; i++) {
		instances[i].state = random_below(&random, 4) == 0
					 ? MEMBER_LEAVING
					 : MEMBER_LIVE;
		states[i] = (directory_state_t)random_below(&random, 4);
	}
	directory = directory_create(&fleet, &allowances);
	query.home = region_choices[random_below(&random, 4)];
	query.preferred_region = region_choices[random_below(&random, 4)];
	query.regions = random_below(&random, 2) == 0 ? regions : NULL;
	expected = instances_expected(&query);
	n = directory_order(directory, &query, out, limit);
	SEED_CHECK(seed, n == MIN(expected, limit));
	order_check(seed, &query, out, n);
	directory_destroy(directory);
}

/* Guards against an instance outside the home or the allowed regions, a leaving
 * instance, a wrong order and more results than the limit. */
TEST(random_fleets_respect_rules)
{
	RANDOM_SCHEDULES(schedule_run);
}

TEST_MAIN("directory")
