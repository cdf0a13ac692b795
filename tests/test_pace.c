#include "balance/pace.h"

#include <math.h>
#include <stdio.h>

#include "core/random.h"
#include "core/targets.h"
#include "test.h"

/* Engines far from the initial line. */
#define TRUE_FIRST_MS 64.0
#define TRUE_TOKEN_MS (1.0 / 32.4)

static double
uniform(uint64_t *random)
{
	return (double)(random_next(random) >> 11) / (double)(1ULL << 53);
}

static double
true_ms(double tokens)
{
	return TRUE_FIRST_MS + TRUE_TOKEN_MS * tokens;
}

/* Short and long prompts in turn, with noise of up to a fifth. */
static void
learn(pace_model_t *model, int n, uint64_t *random)
{
	for (int i = 0; i < n; i++) {
		double tokens =
		    (i % 2 == 0 ? 600 : 2900) * (0.5 + uniform(random));

		pace_model_learn(model, tokens,
		    true_ms(tokens) * (0.8 + 0.4 * uniform(random)));
	}
}

static void
check_model(const pace_model_t *model, double tolerance)
{
	static const double sizes[] = {200, 800, 3000, 9000};

	for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++)
		ck_assert_double_eq_tol(pace_model_ms(model, sizes[i]),
		    true_ms(sizes[i]), tolerance * true_ms(sizes[i]));
}

TEST(model_is_learnt_from_answers)
{
	pace_model_t model;
	uint64_t random = 1;

	pace_model_init(&model);
	learn(&model, 300, &random);
	check_model(&model, 0.15);
}

/* Answers after a stall or a wait for a slot say little of the engine. */
TEST(few_stalled_answers_move_the_model_little)
{
	pace_model_t model;
	uint64_t random = 1;

	pace_model_init(&model);
	for (int i = 0; i < 60; i++) {
		learn(&model, 19, &random);
		pace_model_learn(&model, 700, 20 * true_ms(700));
	}
	check_model(&model, 0.2);
}

/* All prompts of one size must not tilt the line. */
TEST(line_stays_positive_with_prompts_of_one_size)
{
	pace_model_t model;

	pace_model_init(&model);
	for (int i = 0; i < 2000; i++)
		pace_model_learn(&model, 800, 30);
	ck_assert_double_gt(model.first_ms, 0);
	ck_assert_double_gt(model.token_ms, 0);
	ck_assert_double_eq_tol(pace_model_ms(&model, 800), 30, 3);
}

TEST(slowness_is_known_after_a_few_answers)
{
	pace_t pace;

	pace_init(&pace);
	for (int i = 0; i < 8; i++)
		pace_learn(&pace, 1.8);
	ck_assert_double_eq_tol(pace.slowness, 1.8, 0.25);
	/* It recovers. */
	for (int i = 0; i < 30; i++)
		pace_learn(&pace, 1.0);
	ck_assert_double_eq_tol(pace.slowness, 1.0, 0.1);
}

TEST(stated_pace_acts_at_once_and_fades)
{
	pace_t pace;
	time_us_t now = 10 * US_PER_S;

	pace_init(&pace);
	ck_assert(pace_note_stated(&pace, 2.5, now));
	ck_assert_double_eq_tol(pace_factor(&pace, now), 2.5, 0.01);
	now += 600 * US_PER_MS;
	ck_assert_double_lt(pace_factor(&pace, now), 1.3);
	ck_assert_double_gt(pace_factor(&pace, now), 1.0);
}

TEST(absurd_stated_paces_are_refused)
{
	static const double bad[] = {0, -1, 0.01, 21, 1e9, INFINITY, NAN};
	pace_t pace;

	pace_init(&pace);
	ck_assert(pace_note_stated(&pace, 1.5, US_PER_S));
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		ck_assert_msg(!pace_note_stated(&pace, bad[i], 2 * US_PER_S),
		    "%g is accepted", bad[i]);
	ck_assert_double_eq(pace.stated, 1.5);
}

TEST(newest_observations_are_told_once)
{
	pace_log_t *log = pace_log_create(4);
	pace_observation_t observations[4];
	size_t n_dropped = 0;

	for (uint32_t i = 0; i < 6; i++)
		pace_log_add(log, &(pace_observation_t){.target = i});
	ck_assert_uint_eq(pace_log_take(log, observations, 3, &n_dropped), 3);
	for (uint32_t i = 0; i < 3; i++)
		ck_assert_uint_eq(observations[i].target, 3 + i);
	ck_assert_uint_eq(n_dropped, 3);
	/* One that doesn't fit a message isn't told as another. */
	pace_log_add(log, &(pace_observation_t){.ms = PACE_TOLD_MS_MAX + 1});
	ck_assert_uint_eq(pace_log_take(log, observations, 4, &n_dropped), 0);
	ck_assert_uint_eq(n_dropped, 4);
	pace_log_destroy(log);
}

/*
 * Instances of one zone that tell each other what they observe every 100 ms.
 * Together they send each target ten requests a second, so that a single one of
 * many hears of a target every few seconds.
 */
#define POOL_TARGETS 40
#define POOL_TICKS 20
#define POOL_PER_TICK 40 /* requests of all instances together */
#define POOL_TELL 24	 /* observations in a message */

typedef struct {
	topology_t *topology;
	targets_t **instances;
	size_t n;
	double slowness[POOL_TARGETS]; /* true ones */
	time_us_t now;
	uint64_t random;
} pool_world_t;

static target_t *
pool_target(const pool_world_t *world, size_t instance, int target)
{
	char id[16];

	snprintf(id, sizeof(id), "t%d", target);
	return targets_find(world->instances[instance], id);
}

static pool_world_t
pool_create(size_t n)
{
	pool_world_t world = {.topology = topology_create(),
	    .instances = g_new(targets_t *, n),
	    .n = n,
	    .now = 10 * US_PER_S,
	    .random = n};

	topology_add(world.topology, "a-1", "a");
	for (int t = 0; t < POOL_TARGETS; t++)
		world.slowness[t] = t % 4 == 0 ? 1.7 : 0.8;
	for (size_t i = 0; i < n; i++) {
		world.instances[i] = targets_create(world.topology, 0);
		for (int t = 0; t < POOL_TARGETS; t++) {
			target_entry_t entry = {
			    .ip = 1, .port = 80, .slots = 16, .started_ms = 1};

			snprintf(entry.id, sizeof(entry.id), "t%d", t);
			snprintf(
			    entry.service, sizeof(entry.service), "engine");
			targets_put(world.instances[i], &entry, world.now);
		}
	}
	return world;
}

static void
pool_destroy(pool_world_t *world)
{
	for (size_t i = 0; i < world->n; i++)
		targets_destroy(world->instances[i]);
	g_free(world->instances);
	topology_destroy(world->topology);
}

/* One request of a random instance to a random target, answered later. */
static void
pool_request(pool_world_t *world)
{
	int t = (int)(random_next(&world->random) % POOL_TARGETS);
	target_t *target =
	    pool_target(world, random_next(&world->random) % world->n, t);
	double tokens = 300 + 4000 * uniform(&world->random);
	double ms = true_ms(tokens) * world->slowness[t] *
		    (0.8 + 0.4 * uniform(&world->random));
	target_attempt_t attempt;

	target_attempt_begin(target, tokens,
	    target_expected_ms(target, tokens, world->now), world->now,
	    &attempt);
	target_first_byte(
	    target, &attempt, world->now + (time_us_t)(ms * US_PER_MS));
	target_attempt_finish(target, &attempt, TARGET_RESULT_OK, world->now);
}

/* lost: one message in this many doesn't arrive, 1 all of them; 0: none. */
static void
pool_tell(pool_world_t *world, unsigned lost)
{
	for (size_t from = 0; from < world->n; from++) {
		pace_observation_t observations[POOL_TELL];
		size_t n_dropped = 0;
		size_t n = targets_export_paces(world->instances[from],
		    PACE_FOR_ZONE, observations, POOL_TELL, &n_dropped);

		for (size_t to = 0; n > 0 && to < world->n; to++) {
			if (to == from ||
			    (lost > 0 &&
				random_next(&world->random) % lost == 0))
				continue;
			targets_import_paces(world->instances[to], observations,
			    n, true, world->now);
		}
	}
}

/* Fraction of all instances' estimates that are near the true time. */
static double
pool_known(size_t n_instances, unsigned lost)
{
	pool_world_t world = pool_create(n_instances);
	size_t n_near = 0;

	for (int tick = 0; tick < POOL_TICKS; tick++) {
		for (int i = 0; i < POOL_PER_TICK; i++)
			pool_request(&world);
		world.now += 100 * US_PER_MS;
		pool_tell(&world, lost);
	}
	for (size_t i = 0; i < n_instances; i++) {
		for (int t = 0; t < POOL_TARGETS; t++) {
			double expected = target_expected_ms(
			    pool_target(&world, i, t), 2000, world.now);
			double ratio =
			    expected / (true_ms(2000) * world.slowness[t]);

			n_near += ratio > 0.75 && ratio < 1.33;
		}
	}
	pool_destroy(&world);
	return (double)n_near / (double)(n_instances * POOL_TARGETS);
}

TEST(paces_are_known_to_all_after_two_seconds)
{
	/* Without a message an instance knows of its own answers only. */
	ck_assert_double_le(pool_known(84, 1), 0.8);
	ck_assert_double_ge(pool_known(8, 0), 0.9);
	ck_assert_double_ge(pool_known(84, 0), 0.9);
	ck_assert_double_ge(pool_known(300, 0), 0.9);
}

/* A link that loses a fifth of the messages delays what is known. */
TEST(lost_messages_delay_paces_only)
{
	ck_assert_double_ge(pool_known(84, 5), 0.85);
}

TEST_MAIN("pace")
