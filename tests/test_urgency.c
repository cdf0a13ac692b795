#include "balance/urgency.h"

#include <stdio.h>
#include <string.h>

#include "core/placement.h"
#include "core/random.h"
#include "test.h"

TEST(team_comes_before_route)
{
	ck_assert_int_eq(urgency_class(-1, 0), 0);
	ck_assert_int_eq(urgency_class(-1, 2), 2);
	ck_assert_int_lt(urgency_class(0, 2), urgency_class(1, 0));
	ck_assert_int_lt(urgency_class(1, 0), urgency_class(1, 2));
	ck_assert_int_lt(urgency_class(1, 100), URGENCY_CLASSES);
	ck_assert_int_lt(urgency_class(100, 100), URGENCY_CLASSES);
}

TEST(reserve_follows_the_share_of_urgent_requests)
{
	urgency_t urgency = {0};
	time_us_t now = 10 * US_PER_S;

	ck_assert_double_eq(urgency_reserve(&urgency, 3), 0);
	for (int i = 0; i < 90; i++)
		urgency_note(&urgency, 3, now);
	ck_assert_double_eq(urgency_reserve(&urgency, 3), 0);
	for (int i = 0; i < 10; i++)
		urgency_note(&urgency, 2, now);
	ck_assert_double_eq_tol(urgency_reserve(&urgency, 3), 0.1, 1e-9);
	ck_assert_double_eq(urgency_reserve(&urgency, 2), 0);
	for (int i = 0; i < 900; i++)
		urgency_note(&urgency, 2, now);
	ck_assert_double_eq(urgency_reserve(&urgency, 3), URGENCY_RESERVE_MAX);
	/* Requests that no longer come don't hold room. */
	urgency_note(&urgency, 3, now + 20 * URGENCY_TAU_US);
	ck_assert_double_le(urgency_reserve(&urgency, 3), 0.01);
}

/*
 * Overload of a region: instances that know of each other's requests every 100
 * ms, engines that are full for seconds, short urgent requests that fit in and
 * long less urgent ones that don't. A request that waits too long is refused.
 */
#define INSTANCES 16
#define ENGINES 20
#define SLOTS 16
#define STEP_US (10 * US_PER_MS)
#define STEPS 600
#define LOAD_STEPS 10
#define WAITING_LIMIT 64
#define URGENT_PER_S 160.0 /* of all instances; 0.75 of the slots */
#define OTHER_PER_S 480.0
#define URGENT_WAIT_STEPS 15
#define OTHER_WAIT_STEPS 150

typedef enum { URGENT, OTHER, KIND_COUNT } kind_t;

static const int class_of_kind[KIND_COUNT] = {2, 3};
static const int run_steps_of_kind[KIND_COUNT] = {150, 100};
static const int wait_steps_of_kind[KIND_COUNT] = {
    URGENT_WAIT_STEPS, OTHER_WAIT_STEPS};

typedef struct {
	target_t *target;
	target_attempt_t attempt;
	int ends_at;
	bool answered;
} run_t;

typedef struct {
	targets_t *targets;
	urgency_t urgency;
	int since[KIND_COUNT][WAITING_LIMIT];
	int n_waiting[KIND_COUNT];
	GArray *runs; /* run_t */
} instance_t;

typedef struct {
	topology_t *topology;
	catalog_service_t service;
	instance_t instances[INSTANCES];
	bool reserves;
	uint64_t random;
	int step;
	unsigned n_asked[KIND_COUNT];
	unsigned n_started[KIND_COUNT];
	double used; /* part of all slots, over all steps */
} world_t;

static time_us_t
world_now(const world_t *world)
{
	return 10 * US_PER_S + world->step * STEP_US;
}

static world_t *
world_create(bool reserves)
{
	world_t *world = g_new0(world_t, 1);

	world->topology = topology_create();
	topology_add(world->topology, "a-1", "a");
	world->service = (catalog_service_t){.name = "engine", .engine = true};
	world->reserves = reserves;
	world->random = 7;
	for (int i = 0; i < INSTANCES; i++) {
		instance_t *instance = &world->instances[i];

		instance->targets = targets_create(world->topology, 0);
		instance->runs = g_array_new(FALSE, TRUE, sizeof(run_t));
		for (int n = 0; n < ENGINES; n++) {
			target_entry_t entry = {.ip = 1,
			    .port = (uint16_t)(80 + n),
			    .slots = SLOTS,
			    .started_ms = 1};

			snprintf(entry.id, sizeof(entry.id), "t%d", n);
			snprintf(
			    entry.service, sizeof(entry.service), "engine");
			targets_put(instance->targets, &entry, 0);
		}
	}
	return world;
}

static void
runs_update(world_t *world, instance_t *instance, bool end_all)
{
	time_us_t now = world_now(world);

	for (guint i = instance->runs->len; i > 0; i--) {
		run_t *run = &g_array_index(instance->runs, run_t, i - 1);

		if (!run->answered) {
			target_first_byte(run->target, &run->attempt, now);
			run->answered = true;
		}
		target_byte_received(run->target, now);
		if (!end_all && run->ends_at > world->step)
			continue;
		target_attempt_finish(
		    run->target, &run->attempt, TARGET_RESULT_OK, now);
		g_array_remove_index_fast(instance->runs, i - 1);
	}
	world->used += instance->runs->len / (double)(SLOTS * ENGINES * STEPS);
}

static void
world_destroy(world_t *world)
{
	for (int i = 0; i < INSTANCES; i++) {
		runs_update(world, &world->instances[i], true);
		g_array_unref(world->instances[i].runs);
		targets_destroy(world->instances[i].targets);
	}
	topology_destroy(world->topology);
	g_free(world);
}

static void
loads_report(world_t *world)
{
	time_us_t now = world_now(world);

	for (int i = 0; i < INSTANCES; i++) {
		target_load_t loads[ENGINES];
		size_t n = targets_own_load(
		    world->instances[i].targets, loads, ENGINES, now);

		for (int j = 0; j < INSTANCES; j++) {
			if (j != i)
				targets_peer_load(world->instances[j].targets,
				    (uint32_t)i + 1, loads, n, now);
		}
	}
	for (int i = 0; i < INSTANCES; i++)
		targets_divide_slots(world->instances[i].targets, INSTANCES,
		    &world->random, now);
}

static void
arrive(world_t *world, instance_t *instance, kind_t kind, double per_s)
{
	double n = per_s / INSTANCES * (double)STEP_US / US_PER_S;

	if ((double)(random_next(&world->random) % 100000) >= 100000 * n)
		return;
	world->n_asked[kind]++;
	urgency_note(&instance->urgency, class_of_kind[kind], world_now(world));
	if (instance->n_waiting[kind] < WAITING_LIMIT)
		instance->since[kind][instance->n_waiting[kind]++] =
		    world->step;
}

/* A short prompt about one of many subjects. */
static void
prompt_make(prompt_t *prompt, uint64_t *random)
{
	char parts[64];

	memset(prompt, 0, sizeof(*prompt));
	snprintf(parts, sizeof(parts), "aa:20,b%x:30,c%x:50",
	    (unsigned)(random_next(random) % 500),
	    (unsigned)random_next(random));
	ck_assert(prompt_parse_parts(prompt, parts, strlen(parts)));
	prompt->tokens_in = 100;
	prompt->tokens_out = 50;
}

/* Starts or drops what waits, oldest first. */
static void
dispatch(world_t *world, instance_t *instance, kind_t kind)
{
	prompt_t prompt;
	placement_request_t request = {.service = &world->service,
	    .prompt = &prompt,
	    .region_instances = INSTANCES};
	int n = 0;

	if (world->reserves)
		request.reserve =
		    urgency_reserve(&instance->urgency, class_of_kind[kind]);
	for (int i = 0; i < instance->n_waiting[kind]; i++) {
		int since = instance->since[kind][i];
		placement_t placement;
		run_t run = {0};

		if (world->step - since >= wait_steps_of_kind[kind])
			continue;
		prompt_make(&prompt, &world->random);
		request.random = random_next(&world->random);
		placement = placement_pick(
		    instance->targets, &request, world_now(world));
		if (placement.outcome != PLACEMENT_START) {
			instance->since[kind][n++] = since;
			continue;
		}
		run.target = placement.target;
		run.ends_at = world->step + run_steps_of_kind[kind] / 2 +
			      (int)(random_next(&world->random) %
				    (uint64_t)run_steps_of_kind[kind]);
		target_attempt_begin(run.target, placement.tokens,
		    placement.expected_ms, world_now(world), &run.attempt);
		g_array_append_val(instance->runs, run);
		world->n_started[kind]++;
	}
	instance->n_waiting[kind] = n;
}

static world_t *
world_run(bool reserves)
{
	world_t *world = world_create(reserves);

	for (world->step = 0; world->step < STEPS; world->step++) {
		if (world->step % LOAD_STEPS == 0)
			loads_report(world);
		for (int i = 0; i < INSTANCES; i++) {
			instance_t *instance = &world->instances[i];

			runs_update(world, instance, false);
			arrive(world, instance, URGENT, URGENT_PER_S);
			arrive(world, instance, OTHER, OTHER_PER_S);
			dispatch(world, instance, URGENT);
			dispatch(world, instance, OTHER);
		}
	}
	return world;
}

static double
served(const world_t *world, kind_t kind)
{
	return (double)world->n_started[kind] / world->n_asked[kind];
}

/*
 * The urgent requests alone need three quarters of the slots. Without a reserve
 * the others take a large part of these; with it nearly all urgent ones must
 * start in their time, and the slots must still be used.
 */
TEST(urgent_requests_are_served_under_overload)
{
	world_t *without = world_run(false);
	world_t *with = world_run(true);

	ck_assert_double_le(served(without, URGENT), 0.9);
	ck_assert_double_ge(served(with, URGENT), 0.95);
	ck_assert_double_ge(served(with, URGENT), served(with, OTHER));
	ck_assert_double_ge(with->used, 0.7);
	ck_assert_uint_gt(with->n_started[OTHER], 0);
	world_destroy(without);
	world_destroy(with);
}

TEST_MAIN("urgency")
