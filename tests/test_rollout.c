#include <check.h>

#include <glib.h>
#include <string.h>

#include "core/random.h"
#include "core/rollout.h"
#include "test.h"

static void
note(rollout_t *rollout, const char *own, const char *version, time_us_t now)
{
	rollout_note(rollout, own,
	    &(rollout_report_t){version, 1, MEMBER_SAME_ZONE}, now);
}

/* Guards against counting the time of an instance that keeps up. */
TEST(lag_counts_from_the_first_report_of_the_version_that_is_missing)
{
	rollout_t rollout = {0};

	note(&rollout, "5", "4", US_PER_S);
	ck_assert_int_eq(rollout_lag(&rollout, 2 * US_PER_S), 0);
	note(&rollout, "5", "6", 2 * US_PER_S);
	note(&rollout, "5", "8", 3 * US_PER_S);
	ck_assert_int_eq(rollout_lag(&rollout, 3 * US_PER_S), US_PER_S);
	ck_assert_int_eq(
	    rollout_note_own(&rollout, "6", 3 * US_PER_S), US_PER_S);
	note(&rollout, "6", "8", 4 * US_PER_S);
	ck_assert_int_eq(rollout_lag(&rollout, 4 * US_PER_S), 0);
}

TEST(version_that_nobody_reports_any_more_is_not_missing)
{
	rollout_t rollout = {0};
	time_us_t later = US_PER_S + ROLLOUT_REPORT_MAX_AGE_US + 1;

	note(&rollout, "5", "6", US_PER_S);
	ck_assert_int_eq(rollout_lag(&rollout, later), 0);
	ck_assert_int_eq(rollout_note_own(&rollout, "6", later), -1);
}

/* Guards against a final refusal by a version that is known to be old. */
TEST(request_waits_only_while_a_newer_version_is_known)
{
	rollout_t rollout = {0};
	time_us_t now = US_PER_S;

	ck_assert_int_eq(rollout_wait_end(&rollout, now, 9 * US_PER_S, now), 0);
	note(&rollout, "5", "6", now);
	ck_assert_int_eq(
	    rollout_wait_end(&rollout, now, -1, now), now + ROLLOUT_WAIT_US);
	ck_assert_int_eq(rollout_wait_end(&rollout, now, 600, now), now + 200);
	ck_assert_int_gt(rollout_note_own(&rollout, "6", now + 1), 0);
	ck_assert_int_eq(rollout_wait_end(&rollout, now, -1, now + 1), 0);
}

static void
report(rollout_t *rollout, const char *version, uint32_t ip,
    member_place_t place, time_us_t now)
{
	rollout_note(
	    rollout, "5", &(rollout_report_t){version, ip, place}, now);
}

/* Guards against all instances asking the few that have a version first. */
TEST(near_instances_are_asked_first_and_busy_ones_left)
{
	rollout_t rollout = {0};
	time_us_t now = US_PER_S;

	ck_assert_uint_eq(rollout_pick(&rollout, "5", true, 0, 0, now), 0);
	report(&rollout, "7", 30, MEMBER_OTHER_REGION, now);
	ck_assert_uint_eq(rollout_pick(&rollout, "5", false, 0, 0, now), 0);
	ck_assert_uint_eq(rollout_pick(&rollout, "5", true, 0, 0, now), 30);
	report(&rollout, "6", 20, MEMBER_SAME_REGION, now);
	ck_assert_uint_eq(rollout_pick(&rollout, "5", true, 0, 0, now), 20);
	report(&rollout, "6", 10, MEMBER_SAME_ZONE, now);
	report(&rollout, "7", 11, MEMBER_SAME_ZONE, now);
	ck_assert_uint_eq(rollout_pick(&rollout, "5", true, 0, 0, now), 11);
	rollout_note_failed(&rollout, 11, true, now);
	ck_assert_uint_eq(rollout_pick(&rollout, "5", true, 0, 0, now), 10);
	ck_assert_uint_eq(rollout_pick(&rollout, "5", true, 10, 0, now), 20);
	ck_assert_uint_eq(rollout_pick(&rollout, "6", true, 0, 0, now), 30);
	now += ROLLOUT_BUSY_US;
	ck_assert_uint_eq(rollout_pick(&rollout, "5", true, 0, 0, now), 11);
	/* Nobody near has a later one. */
	rollout_note_failed(&rollout, 11, false, now);
	now += ROLLOUT_FAR_US;
	ck_assert_uint_eq(rollout_pick(&rollout, "6", false, 0, 0, now), 30);
}

/*
 * A version that adds routes, on its way to the last instance: links of 10
 * Mbit/s, of which few copies fill 100 ms, lost messages, and instances that
 * fail to answer.
 */
#define REGIONS 3
#define ZONES 6
#define FRAME_BYTES 40000
#define LINK_BYTES_PER_S 1250000
#define OUTPUT_LIMIT 65536
#define STEP_US (10 * US_PER_MS)
#define FAR_US (320 * US_PER_MS) /* connecting and asking */
#define NEAR_US (4 * US_PER_MS)
#define FIRST_READERS 2
#define SEEDS 10 /* by hand more, in TEST_SEEDS */

/* Less than the 5 s that operators expect: the first ones read the store. */
#define LATEST_US (4 * US_PER_S)

typedef struct {
	rollout_t rollout;
	bool has;
	time_us_t output_until; /* its link is busy */
	uint32_t source;	/* index + 1; 0: no fetch is running */
	time_us_t answered_at;
} sim_instance_t;

typedef struct {
	sim_instance_t *instances;
	uint32_t n;
	time_us_t now;
	uint64_t random;
	uint32_t n_far;
	bool only_first; /* a fault: nobody passes a version on */
} sim_t;

static member_place_t
sim_place(uint32_t a, uint32_t b)
{
	if (a % ZONES == b % ZONES)
		return MEMBER_SAME_ZONE;
	return a % REGIONS == b % REGIONS ? MEMBER_SAME_REGION
					  : MEMBER_OTHER_REGION;
}

static void
sim_tell(sim_t *sim, uint32_t from, uint32_t to)
{
	sim_instance_t *reader = &sim->instances[to];
	bool has = sim->instances[from].has &&
		   (!sim->only_first || from < FIRST_READERS);

	if (to == from || !has || reader->has ||
	    random_next(&sim->random) % 20 == 0)
		return;
	rollout_note(&reader->rollout, "5",
	    &(rollout_report_t){"6", from + 1, sim_place(from, to)}, sim->now);
}

static void
sim_gossip(sim_t *sim, uint32_t from)
{
	if ((sim->now / STEP_US + from) % 10 == 0) {
		for (uint32_t to = from % ZONES; to < sim->n; to += ZONES)
			sim_tell(sim, from, to);
	}
	if ((sim->now / STEP_US + from) % 25 == 0) {
		for (int i = 0; i < 4; i++)
			sim_tell(sim, from,
			    (uint32_t)(random_next(&sim->random) % sim->n));
	}
}

static void
sim_fetch_end(sim_t *sim, sim_instance_t *reader)
{
	sim_instance_t *source = &sim->instances[reader->source - 1];
	time_us_t frame_us =
	    (time_us_t)FRAME_BYTES * US_PER_S / LINK_BYTES_PER_S;
	time_us_t waiting = MAX(source->output_until - sim->now, 0);
	bool fails = random_next(&sim->random) % 10 == 0;

	/* The answer arrives. */
	if (reader->answered_at < 0) {
		reader->has = true;
		reader->source = 0;
		return;
	}
	if (fails || (waiting > 0 && (waiting + frame_us) * LINK_BYTES_PER_S >
					 (time_us_t)OUTPUT_LIMIT * US_PER_S)) {
		rollout_note_failed(
		    &reader->rollout, reader->source, !fails, sim->now);
		reader->source = 0;
		return;
	}
	source->output_until = sim->now + waiting + frame_us;
	reader->answered_at = -source->output_until;
}

static void
sim_fetch(sim_t *sim, uint32_t i)
{
	sim_instance_t *reader = &sim->instances[i];
	bool far = i < ROLLOUT_FAR_READERS * REGIONS;
	bool is_far;

	if (reader->source != 0) {
		if (sim->now >= ABS(reader->answered_at))
			sim_fetch_end(sim, reader);
		return;
	}
	reader->source = rollout_pick(
	    &reader->rollout, "5", far, 0, random_next(&sim->random), sim->now);
	if (reader->source == 0)
		return;
	is_far = sim_place(reader->source - 1, i) == MEMBER_OTHER_REGION;
	sim->n_far += is_far;
	reader->answered_at = sim->now + (is_far ? FAR_US : NEAR_US);
}

/* Returns when the last instance has the version; LATEST_US: not by then. */
static time_us_t
sim_run(sim_t *sim, uint32_t n, uint64_t seed)
{
	uint32_t n_missing = n - FIRST_READERS;

	sim->n = n;
	sim->instances = g_new0(sim_instance_t, n);
	sim->random = seed;
	sim->n_far = 0;
	/* Of one region. */
	for (uint32_t i = 0; i < FIRST_READERS; i++)
		sim->instances[(size_t)i * REGIONS].has = true;
	for (sim->now = US_PER_S;
	     n_missing > 0 && sim->now < US_PER_S + LATEST_US;
	     sim->now += STEP_US) {
		for (uint32_t i = 0; i < n; i++)
			sim_gossip(sim, i);
		n_missing = 0;
		for (uint32_t i = 0; i < n; i++) {
			if (!sim->instances[i].has)
				sim_fetch(sim, i);
			n_missing += !sim->instances[i].has;
		}
	}
	g_free(sim->instances);
	return sim->now - US_PER_S;
}

TEST(last_of_many_instances_has_a_version_in_time)
{
	static const uint32_t sizes[] = {8, 84, 300};
	const char *seeds = g_getenv("TEST_SEEDS");
	uint64_t n_seeds = seeds ? g_ascii_strtoull(seeds, NULL, 10) : SEEDS;
	sim_t sim = {0};

	ck_assert_uint_gt(n_seeds, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		for (uint64_t seed = 1; seed <= n_seeds; seed++) {
			ck_assert_int_lt(
			    sim_run(&sim, sizes[i], seed), LATEST_US);
			/* Most get it from within their region. */
			ck_assert_uint_lt(sim.n_far, sizes[i] / 2 + 8);
		}
	}
}

/* The check above can fail. */
TEST(version_that_only_its_first_readers_send_is_late)
{
	sim_t sim = {.only_first = true};

	ck_assert_int_ge(sim_run(&sim, 300, 1), LATEST_US);
}

TEST_MAIN("rollout")
