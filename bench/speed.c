#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "core/directory.h"
#include "core/queue.h"
#include "core/route.h"
#include "experiments.h"
#include "random.h"
#include "table.h"

/* Decisions in one timed batch, and how long a measurement lasts. */
#define BATCH 200
#define MEASURE_US (100 * US_PER_MS)

#define NAME_SIZE 16

typedef void (*decide_t)(void *context, uint64_t random);

/* Decisions a second. */
static double
speed_measure(decide_t decide, void *context, uint64_t seed)
{
	time_us_t begin = clock_now();
	time_us_t end;
	int64_t n = 0;

	do {
		for (int i = 0; i < BATCH; i++)
			decide(context, random_next(&seed));
		n += BATCH;
		end = clock_now();
	} while (end - begin < MEASURE_US);
	return (double)n * US_PER_S / (double)(end - begin);
}

static char *
names_new(int n, const char *prefix)
{
	char *names = g_malloc0((size_t)n * NAME_SIZE);

	for (int i = 0; i < n; i++)
		snprintf(names + (size_t)i * NAME_SIZE, NAME_SIZE, "%s%d",
		    prefix, i);
	return names;
}

/* Route: pick, start and finish. */

typedef struct {
	route_t *route;
	uint32_t n_prefixes;
	handle_t running[64];
} route_speed_t;

static void
decide_route(void *context, uint64_t random)
{
	route_speed_t *speed = context;
	handle_t *slot = &speed->running[random % 64];
	uint64_t prefix = 1 + (random >> 32) % speed->n_prefixes;
	route_choice_t choice =
	    route_pick(speed->route, "writer", prefix, HANDLE_NONE, random, 0);

	if (*slot != HANDLE_NONE)
		route_finish(speed->route, *slot, ROUTE_OK, 0);
	route_start(speed->route, choice.target, 0);
	*slot = choice.target;
}

static uint32_t
slots_all(const target_t *target, void *context)
{
	return target->slots;
}

static void
route_row(json_t *table, int n_targets, int n_teams, uint64_t seed)
{
	char *names = names_new(n_targets, "w");
	target_t *targets = g_new0(target_t, n_targets);
	fleet_t fleet = {.targets = targets, .n_targets = (size_t)n_targets};
	route_speed_t speed = {.n_prefixes = (uint32_t)n_teams};
	double rate;

	for (int i = 0; i < n_targets; i++)
		targets[i] = (target_t){.name = names + (size_t)i * NAME_SIZE,
		    .zone = "z",
		    .service = "writer",
		    .url = "u",
		    .slots = 64,
		    .state = MEMBER_LIVE};
	speed.route = route_create(
	    (route_settings_t){ROUTE_POLICY_DEFAULT, ROUTE_WARM_UP_DEFAULT});
	route_sync(speed.route, &fleet, "z", slots_all, NULL, 0);
	rate = speed_measure(decide_route, &speed, seed);
	table_row(
	    table, json_pack("{s:i, s:i, s:o, s:o, s:o}", "targets", n_targets,
		       "teams", n_teams, "decisions/s", table_number(rate, 0),
		       "us each", table_number(1e6 / rate, 2), "state bytes",
		       json_integer((json_int_t)route_bytes(speed.route))));
	route_destroy(speed.route);
	g_free(targets);
	g_free(names);
}

void
speed_route(json_t *tables, uint64_t seed)
{
	static const int targets[] = {3, 26, 100};
	static const int teams[] = {5, 500, 16000};
	json_t *table = table_add(tables, "Speed of route_pick",
	    "Wall clock, one core: pick, start and finish. Each team has its "
	    "own prefix. 26 targets of a service in a zone is the planned "
	    "size (670 workers, 26 zones).");

	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++) {
		for (size_t k = 0; k < G_N_ELEMENTS(teams); k++)
			route_row(table, targets[i], teams[k], seed);
	}
}

/* Queue: push and pop, with one request of each team waiting. */

typedef struct {
	queue_t *queue;
	const char *names;
	uint32_t n_teams;
	time_us_t now;
} queue_speed_t;

static queue_decision_t
start_any(queue_item_t item, void *context)
{
	return QUEUE_START;
}

static void
queue_speed_push(queue_speed_t *speed, uint32_t team, uint64_t random)
{
	queue_request_t request = {
	    .team = speed->names + (size_t)team * NAME_SIZE,
	    .priority = (int)(team % QUEUE_CLASSES),
	    .cost = 1 + (int64_t)(random >> 40) % 4000,
	    .deadline = speed->now + 3600 * US_PER_S};

	queue_push(speed->queue, &request, speed->now);
}

static void
decide_queue(void *context, uint64_t random)
{
	queue_speed_t *speed = context;
	queue_item_t item;

	speed->now += 10;
	queue_speed_push(speed, (uint32_t)random % speed->n_teams, random);
	queue_pop(speed->queue, start_any, NULL, speed->now, &item);
}

static void
queue_row(json_t *table, int n_teams, uint64_t seed)
{
	char *names = names_new(n_teams, "t");
	queue_speed_t speed = {
	    queue_create(32768), names, (uint32_t)n_teams, 0};
	double rate;

	for (int i = 0; i < n_teams; i++)
		queue_speed_push(&speed, (uint32_t)i, random_next(&seed));
	rate = speed_measure(decide_queue, &speed, seed);
	table_row(
	    table, json_pack("{s:i, s:i, s:o, s:o, s:o}", "teams", n_teams,
		       "waiting", (int)queue_length(speed.queue), "decisions/s",
		       table_number(rate, 0), "us each",
		       table_number(1e6 / rate, 2), "state bytes",
		       json_integer((json_int_t)queue_bytes(speed.queue))));
	queue_destroy(speed.queue);
	g_free(names);
}

void
speed_queue(json_t *tables, uint64_t seed)
{
	json_t *table = table_add(tables, "Speed of the queue",
	    "Wall clock, one core: one push and one pop with one request of "
	    "each team waiting; limit 32,768.");

	queue_row(table, 5, seed);
	queue_row(table, 500, seed);
	queue_row(table, 16000, seed);
}

/* Directory. */

typedef struct {
	directory_t *directory;
	const char *names; /* of 16,000 teams */
} directory_speed_t;

static void
decide_directory(void *context, uint64_t random)
{
	directory_speed_t *speed = context;
	const instance_t *out[8];
	directory_query_t query = {
	    .team = speed->names + (size_t)(random % 16000) * NAME_SIZE,
	    .preferred_region = "r0"};

	directory_order(speed->directory, &query, out, 8);
}

static void
directory_row(json_t *table, int n_instances, int n_zones, uint64_t seed)
{
	char *teams = names_new(16000, "t");
	char *names = names_new(n_instances, "i");
	char *zone_names = names_new(n_zones, "z");
	char *regions = names_new(7, "r");
	zone_t *zones = g_new0(zone_t, n_zones);
	instance_t *instances = g_new0(instance_t, n_instances);
	allowances_t allowances = {
	    .head = {.refs = 1}, .zones = zones, .n_zones = (size_t)n_zones};
	fleet_t fleet = {.head = {.refs = 1},
	    .instances = instances,
	    .n_instances = (size_t)n_instances};
	directory_speed_t speed = {.names = teams};
	double rate;

	for (int i = 0; i < n_zones; i++)
		zones[i] = (zone_t){zone_names + (size_t)i * NAME_SIZE,
		    regions + (size_t)(i % 7) * NAME_SIZE, 1};
	for (int i = 0; i < n_instances; i++)
		instances[i] =
		    (instance_t){.name = names + (size_t)i * NAME_SIZE,
			.zone = zone_names + (size_t)(i % n_zones) * NAME_SIZE};
	speed.directory = directory_create(&fleet, &allowances);
	rate = speed_measure(decide_directory, &speed, seed);
	table_row(table,
	    json_pack("{s:i, s:i, s:o, s:o, s:o}", "instances", n_instances,
		"zones", n_zones, "decisions/s", table_number(rate, 0),
		"us each", table_number(1e6 / rate, 2), "state bytes",
		json_integer((json_int_t)directory_bytes(speed.directory))));
	directory_destroy(speed.directory);
	g_free(instances);
	g_free(zones);
	g_free(regions);
	g_free(zone_names);
	g_free(names);
	g_free(teams);
}

void
speed_directory(json_t *tables, uint64_t seed)
{
	json_t *table = table_add(tables, "Speed of the directory",
	    "Wall clock, one core: the first 8 instances for one of 16,000 "
	    "teams; the state does not depend on the teams.");

	directory_row(table, 8, 3, seed);
	directory_row(table, 40, 8, seed);
	directory_row(table, 400, 26, seed);
}
