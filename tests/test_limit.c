#include <glib.h>
#include <string.h>

#include "core/members.h"
#include "core/random.h"
#include "core/targets.h"
#include "test.h"

/*
 * Instances of one region in virtual time, each of which would send many
 * requests a second to one target that names a limit. They know of it from
 * their own answers and from notices that travel with the messages of the
 * membership.
 */
#define INSTANCES_MAX 300
#define STEP_US (10 * US_PER_MS)
#define STABLE_US (6 * US_PER_S)
#define WINDOW_STEPS (4 * US_PER_S / STEP_US)
#define STEPS_MAX 4000
#define NOTICE_LIMIT 32
#define ANSWER_US (40 * US_PER_MS)

typedef struct {
	members_t *members;
	targets_t *targets;
	target_t *target;
	time_us_t sent_at; /* of the request in flight; 0: none */
	int group;	   /* messages only pass within one */
} instance_t;

typedef struct {
	topology_t *topology;
	instance_t instances[INSTANCES_MAX];
	size_t n;
	time_us_t now;
	uint64_t random;
	double limit; /* that the target names; TARGET_NO_LIMIT: none */
	unsigned arrivals[STEPS_MAX];
	size_t n_steps;
} sim_t;

static void
sim_create(sim_t *sim, size_t n)
{
	memset(sim, 0, sizeof(*sim));
	sim->topology = topology_create();
	topology_add(sim->topology, "a-1", "a");
	topology_add(sim->topology, "a-2", "a");
	sim->n = n;
	sim->now = US_PER_S;
	sim->random = 7;
	sim->limit = TARGET_NO_LIMIT;
	for (size_t i = 0; i < n; i++) {
		instance_t *instance = &sim->instances[i];
		uint32_t seeds[] = {0x0a000001u, 0x0a000002u};
		member_entry_t self = {.ip = 0x0a000001u + (uint32_t)i,
		    .zone = (int)(i % 2),
		    .incarnation = 1,
		    .ready = true};
		target_entry_t entry = {.id = "t1",
		    .service = "engine",
		    .slots = 128,
		    .started_ms = 1};

		instance->members = members_create(sim->topology, &self, seeds,
		    MIN(n, G_N_ELEMENTS(seeds)), random_next(&sim->random),
		    sim->now);
		instance->targets = targets_create(sim->topology, 0);
		instance->target =
		    targets_put(instance->targets, &entry, sim->now);
	}
}

static void
sim_destroy(sim_t *sim)
{
	for (size_t i = 0; i < sim->n; i++) {
		members_destroy(sim->instances[i].members);
		targets_destroy(sim->instances[i].targets);
	}
	topology_destroy(sim->topology);
}

static void
notices_pass(const sim_t *sim, instance_t *from, instance_t *to)
{
	target_notice_t notices[NOTICE_LIMIT];
	size_t n = targets_export_notices(
	    from->targets, notices, NOTICE_LIMIT, true, sim->now);

	for (size_t i = 0; i < n; i++)
		targets_import_notice(to->targets, &notices[i], sim->now);
}

static void
message_pass(sim_t *sim, instance_t *from, uint32_t ip)
{
	size_t to = ip - 0x0a000001u;
	member_entry_t entries[MEMBER_DIGEST_LIMIT];
	size_t n;

	if (to >= sim->n || sim->instances[to].group != from->group)
		return;
	n = members_digest(
	    from->members, sim->now, entries, MEMBER_DIGEST_LIMIT);
	members_merge(sim->instances[to].members, entries, n, sim->now);
	notices_pass(sim, from, &sim->instances[to]);
}

static void
round_run(sim_t *sim, instance_t *instance)
{
	uint32_t ips[32];
	size_t n = members_begin_round(instance->members, sim->now, ips, 32);
	uint32_t n_senders = target_n_senders(instance->target, sim->now);

	for (size_t i = 0; i < n; i++)
		message_pass(sim, instance, ips[i]);
	instance->target->sender_share =
	    n_senders > 0 &&
		    members_may_use_share(instance->members,
			instance->target->short_id, n_senders, sim->now)
		? 1.0 / MIN(n_senders,
			    members_n_known(instance->members, sim->now))
		: 0;
}

/* Each instance sends whenever it may and has no request in flight. */
static void
requests_run(sim_t *sim, instance_t *instance)
{
	target_attempt_t attempt;

	if (instance->sent_at != 0) {
		if (sim->now - instance->sent_at < ANSWER_US)
			return;
		if (target_note_rate(instance->target, TARGET_RATE_REQUESTS,
			sim->limit, instance->sent_at, sim->now))
			round_run(sim, instance);
		instance->sent_at = 0;
	}
	if (target_admits(instance->targets, instance->target, 0, sim->now) !=
	    TARGET_OPEN)
		return;
	target_attempt_begin(instance->target, 0, 0, sim->now, &attempt);
	instance->sent_at = sim->now;
	sim->arrivals[sim->n_steps]++;
}

static void
sim_run(sim_t *sim, time_us_t duration)
{
	for (time_us_t end = sim->now + duration; sim->now < end;) {
		ck_assert_uint_lt(sim->n_steps, STEPS_MAX);
		for (size_t i = 0; i < sim->n; i++) {
			if ((sim->n_steps + i) % (MEMBER_ROUND_US / STEP_US) ==
			    0)
				round_run(sim, &sim->instances[i]);
			requests_run(sim, &sim->instances[i]);
		}
		sim->n_steps++;
		sim->now += STEP_US;
	}
}

/* Highest number of arrivals in a window that begins after step. */
static unsigned
busiest_window(const sim_t *sim, size_t step)
{
	unsigned busiest = 0;

	for (; step + WINDOW_STEPS <= sim->n_steps; step++) {
		unsigned n = 0;

		for (size_t i = 0; i < WINDOW_STEPS; i++)
			n += sim->arrivals[step + i];
		busiest = MAX(busiest, n);
	}
	return busiest;
}

static unsigned
allowed(double limit)
{
	return (unsigned)(1.5 * limit * 4 + 5);
}

static unsigned
arrivals_since(const sim_t *sim, size_t step)
{
	unsigned n = 0;

	for (; step < sim->n_steps; step++)
		n += sim->arrivals[step];
	return n;
}

static const size_t sizes[] = {1, 2, 3, 8, 84, 300};

/* Each instance that kept to the limit by itself would multiply it. */
TEST(limit_holds_over_all_instances)
{
	static const double limits[] = {0, 0.3, 1, 1.4, 7.5};

	for (size_t i = 0; i < G_N_ELEMENTS(sizes) * G_N_ELEMENTS(limits);
	     i++) {
		double limit = limits[i % G_N_ELEMENTS(limits)];
		sim_t sim;
		size_t named;

		sim_create(&sim, sizes[i / G_N_ELEMENTS(limits)]);
		sim_run(&sim, 3 * US_PER_S);
		sim.limit = limit;
		sim_run(&sim, STABLE_US);
		named = sim.n_steps;
		sim_run(&sim, 12 * US_PER_S);
		ck_assert_uint_le(busiest_window(&sim, named), allowed(limit));
		/*
		 * Its capacity is used. One alone leaves a half to the zone of
		 * which it has heard nothing yet.
		 */
		ck_assert_uint_ge(arrivals_since(&sim, named),
		    (unsigned)((sim.n > 1 ? 0.8 : 0.4) * 12 * limit));
		sim_destroy(&sim);
	}
}

/* Half hears of no change of the limit for as long as the cut lasts. */
TEST(limit_holds_in_a_cut_and_ends_after_it)
{
	sim_t sim;
	size_t cut;

	sim_create(&sim, 84);
	sim_run(&sim, 3 * US_PER_S);
	sim.limit = 1;
	sim_run(&sim, STABLE_US);
	for (size_t i = 0; i < sim.n; i++)
		sim.instances[i].group = i % 4 < 2;
	cut = sim.n_steps;
	sim_run(&sim, 10 * US_PER_S);
	ck_assert_uint_le(busiest_window(&sim, cut), allowed(1));
	sim.limit = TARGET_NO_LIMIT;
	sim_run(&sim, 10 * US_PER_S);
	for (size_t i = 0; i < sim.n; i++)
		sim.instances[i].group = 0;
	sim_run(&sim, 4 * US_PER_S);
	for (size_t i = 0; i < sim.n; i++)
		ck_assert(!target_is_limited(sim.instances[i].target));
	sim_destroy(&sim);
}

/* A target in growing need lowers its limit, one that recovers raises it. */
TEST(changed_limit_is_kept_by_all)
{
	sim_t sim;
	size_t changed;

	sim_create(&sim, 84);
	sim_run(&sim, 3 * US_PER_S);
	sim.limit = 8;
	sim_run(&sim, STABLE_US);
	sim.limit = 1;
	sim_run(&sim, STABLE_US);
	changed = sim.n_steps;
	sim_run(&sim, 6 * US_PER_S);
	ck_assert_uint_le(busiest_window(&sim, changed), allowed(1));
	sim.limit = 8;
	sim_run(&sim, STABLE_US);
	changed = sim.n_steps;
	sim_run(&sim, 8 * US_PER_S);
	ck_assert_uint_le(busiest_window(&sim, changed), allowed(8));
	ck_assert_uint_ge(arrivals_since(&sim, changed), (unsigned)(0.8 * 64));
	sim_destroy(&sim);
}

/* An answer that was on its way when the limit was named doesn't end it. */
TEST(older_answer_ends_no_limit)
{
	sim_t sim;
	target_t *target;

	sim_create(&sim, 1);
	target = sim.instances[0].target;
	ck_assert(target_note_rate(
	    target, TARGET_RATE_REQUESTS, 2, sim.now - 5, sim.now));
	ck_assert(!target_note_rate(target, TARGET_RATE_REQUESTS,
	    TARGET_NO_LIMIT, sim.now - 1, sim.now + 1));
	ck_assert(target_is_limited(target));
	ck_assert(target_note_rate(target, TARGET_RATE_REQUESTS,
	    TARGET_NO_LIMIT, sim.now + 1, sim.now + 2));
	ck_assert(!target_is_limited(target));
	sim_destroy(&sim);
}

/*
 * Instances that all have more work for a fragile target than it takes. It has
 * less room than its entry says, of which only refusals tell.
 */
#define FRAGILE_SLOTS 24
#define FRAGILE_ROOM 16
#define ENDURED_PER_S 10
#define RUN_STEPS 20
#define LOAD_STEPS 10
#define FRAGILE_STEPS 2000
#define STEPS_PER_S (US_PER_S / STEP_US)

typedef struct {
	unsigned n_running;
	unsigned n_refused;
	unsigned n_served;
	unsigned refused_by_step[FRAGILE_STEPS];
	target_attempt_t attempts[INSTANCES_MAX];
} fragile_t;

static void
loads_report(sim_t *sim)
{
	target_load_t load;

	for (size_t i = 0; i < sim->n; i++) {
		instance_t *from = &sim->instances[i];
		size_t n = targets_own_load(from->targets, &load, 1, sim->now);

		for (size_t j = 0; j < sim->n; j++) {
			if (j == i)
				continue;
			targets_peer_load(sim->instances[j].targets,
			    (uint32_t)i + 1, &load, n, sim->now);
			if (j % 2 == i % 2)
				notices_pass(sim, from, &sim->instances[j]);
		}
	}
	for (size_t i = 0; i < sim->n; i++)
		targets_divide_slots(sim->instances[i].targets,
		    (uint32_t)sim->n, &sim->random, sim->now);
}

/* Each instance has one request at a time, and sends it as soon as it may. */
static void
fragile_step(sim_t *sim, fragile_t *fragile, size_t i)
{
	instance_t *instance = &sim->instances[i];
	target_attempt_t *attempt = &fragile->attempts[i];

	if (instance->sent_at != 0) {
		if (sim->now - instance->sent_at < RUN_STEPS * STEP_US)
			return;
		fragile->n_running--;
		fragile->n_served++;
		target_attempt_finish(
		    instance->target, attempt, TARGET_RESULT_OK, sim->now);
		instance->sent_at = 0;
	}
	if (!target_has_slot(instance->target, (uint32_t)sim->n, sim->now))
		return;
	target_attempt_begin(instance->target, 0, 0, sim->now, attempt);
	if (fragile->n_running < FRAGILE_ROOM) {
		fragile->n_running++;
		instance->sent_at = sim->now;
		return;
	}
	fragile->n_refused++;
	if (target_attempt_finish(
		instance->target, attempt, TARGET_RESULT_REFUSED, sim->now))
		round_run(sim, instance);
}

/* Asserts that a fragile target endures what this many instances send. */
static void
fragile_check(size_t n_instances)
{
	sim_t sim;
	g_autofree fragile_t *fragile = g_new0(fragile_t, 1);

	sim_create(&sim, n_instances);
	for (size_t i = 0; i < sim.n; i++) {
		sim.instances[i].target->entry.slots = FRAGILE_SLOTS;
		target_note_rate(sim.instances[i].target, TARGET_RATE_REFUSALS,
		    ENDURED_PER_S, sim.now, sim.now);
	}
	for (int step = 0; step < FRAGILE_STEPS; step++) {
		int before = MAX(0, step - (int)STEPS_PER_S);

		if (step % LOAD_STEPS == 0)
			loads_report(&sim);
		for (size_t i = 0; i < sim.n; i++) {
			if ((step + (int)i) % (MEMBER_ROUND_US / STEP_US) == 0)
				round_run(&sim, &sim.instances[i]);
			fragile_step(&sim, fragile, i);
		}
		fragile->refused_by_step[step] = fragile->n_refused;
		ck_assert_uint_le(
		    fragile->n_refused - fragile->refused_by_step[before],
		    ENDURED_PER_S);
		sim.now += STEP_US;
	}
	ck_assert_uint_ge(fragile->n_served,
	    FRAGILE_ROOM * FRAGILE_STEPS / RUN_STEPS * 3 / 4);
	sim_destroy(&sim);
}

TEST(refusals_stay_below_what_a_fragile_target_endures)
{
	fragile_check(32);
	fragile_check(84);
	fragile_check(INSTANCES_MAX);
}

/* What one instance reads of it, the others hear; and that it has ended. */
TEST(instances_hear_that_a_target_is_fragile)
{
	sim_t sim;
	target_t *first;
	target_t *second;

	sim_create(&sim, 2);
	first = sim.instances[0].target;
	second = sim.instances[1].target;
	target_note_rate(first, TARGET_RATE_REFUSALS, 3, sim.now, sim.now);
	round_run(&sim, &sim.instances[0]);
	ck_assert(target_is_fragile(second));
	ck_assert(!target_is_limited(second));
	sim.now += US_PER_S;
	target_note_rate(
	    second, TARGET_RATE_REFUSALS, TARGET_NO_LIMIT, sim.now, sim.now);
	round_run(&sim, &sim.instances[1]);
	ck_assert(!target_is_fragile(first));
	sim_destroy(&sim);
}

TEST_MAIN("limit")
